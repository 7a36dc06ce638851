package fleet_test

import (
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/workflow"
)

// TestPlacementsOfSeveralModels: one model everywhere, a second in one zone of one
// region and at home there only, a zone with a capacity of its own; each served by
// its own group, and rolled out there alone.
func TestPlacementsOfSeveralModels(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation; the race detector has one task at a time to look at")
	}
	plan := quick()
	plan.Document = strings.NewReplacer(
		`"homes":{`, `"homes":{"eastern":["east"],`,
		`"zones":{"east-1":{}}`, `"zones":{"east-1":{"placements":{"roster":{"capacity":4}}},"east-2":{"placements":{"tutor":{"version":"t1","capacity":6,"home":"eastern"}}}}`,
	).Replace(plan.Document)
	for index := range plan.Replicas {
		one := &plan.Replicas[index]
		if one.ID == "east-1-r6" || one.ID == "east-1-r7" {
			one.Zone, one.Held = "east-2", []string{"roster/v1", "tutor/t1"}
		}
	}
	plan.Datas = append(plan.Datas, "d7:east-2")
	tutor := fleet.Crowd{Name: "tutor", Model: "tutor", Zone: "west-1", Kind: "lesson", Every: 150 * time.Millisecond, Bytes: 400, Tokens: 64, Rosters: 5, Retries: 4}
	plan.Callers = append(plan.Callers, tutor)
	park := fleet.NewPark(4, plan)
	defer park.Close()
	park.Run(warm)
	facts := begun(park, true)
	park.Must("c2", func(daemon *controlplane.Daemon) error {
		runs, err := daemon.Handover("lessons", "tutor", "t2", nil)
		if err == nil && (len(runs) != 1 || runs["east"].ID == "") {
			t.Errorf("the run covers %v", runs)
		}
		return err
	})
	var run workflow.Run
	park.Until(60*time.Second, func() bool {
		park.Must("c1", func(daemon *controlplane.Daemon) error {
			models, err := daemon.Handovers()
			if shelf := models["tutor"].Shelves["east"]; shelf.Run != nil {
				run = *shelf.Run
			}
			return err
		})
		return run.State != workflow.Running && run.State != ""
	})
	if run.State != workflow.Done {
		t.Errorf("the run ended %q (%s) at %s %s", run.State, run.Reason, run.At, run.Last)
	}
	park.Run(5 * time.Second)
	park.Quiet = true
	park.Run(8 * time.Second)
	served := map[string]map[string]int{}
	for _, one := range park.Logs() {
		if served[one.Model] == nil {
			served[one.Model] = map[string]int{}
		}
		served[one.Model][park.Zone(one.Replica)]++
		if one.Model == "tutor" && (park.Zone(one.Replica) != "east-2" || park.Zone(one.Daemon) != "east-2") {
			t.Errorf("home: a lesson went by %s to %s", one.Daemon, one.Replica)
		}
	}
	t.Logf("served: %v", served)
	if served["tutor"]["east-2"] < 100 || served["roster"]["east-1"] < 100 || served["roster"]["west-1"] < 100 {
		t.Errorf("vacuous: %v", served)
	}
	for name, one := range park.Replicas {
		for _, order := range one.Loads {
			if strings.Contains(order, "tutor") && one.Zone != "east-2" {
				t.Errorf("%s was ordered %s", name, order)
			}
		}
		if one.Zone == "east-1" && one.Peak > 4 {
			t.Errorf("%s bore %d units; its zone says 4", name, one.Peak)
		}
	}
	clean(t, park, facts)
}
