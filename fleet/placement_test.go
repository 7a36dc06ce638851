package fleet_test

import (
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/workflow"
)

// TestPlacementsOfSeveralModels places one model in all zones, with an own capacity in one of them,
// and a second model in a single zone whose region is its only home. Each model must be served by its
// own replicas, and be rolled out on these alone.
func TestPlacementsOfSeveralModels(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation with one task at a time, of little use under the race detector")
	}
	plan := quickPlan()
	plan.Document = strings.NewReplacer(
		`"homes":{`, `"homes":{"eastern":["east"],`,
		`"zones":{"east-1":{}}`, `"zones":{"east-1":{"placements":{"roster":{"capacity":4}}},"east-2":{"placements":{"tutor":{"version":"t1","capacity":6,"home":"eastern"}}}}`,
	).Replace(plan.Document)
	for index := range plan.Replicas {
		replica := &plan.Replicas[index]
		if replica.ID == "east-1-r6" || replica.ID == "east-1-r7" {
			replica.Zone, replica.Held = "east-2", []string{"roster/v1", "tutor/t1"}
		}
	}
	plan.Datas = append(plan.Datas, "d7:east-2")
	tutor := fleet.CallerGroup{Name: "tutor", Model: "tutor", Zone: "west-1", Kind: "lesson", Every: 150 * time.Millisecond, Bytes: 400, Tokens: 64, PromptGroups: 5, Retries: 4}
	plan.Callers = append(plan.Callers, tutor)
	park := fleet.NewCluster(4, plan)
	defer park.Close()
	park.Run(warmupTime)
	facts := factsSinceWarm(park, true)
	park.Must("c2", func(daemon *controlplane.Daemon) error {
		runs, err := daemon.Handover("lessons", "tutor", "t2", nil)
		if err == nil && (len(runs) != 1 || runs["east"].ID == "") {
			t.Errorf("the rollout covers the regions %v", runs)
		}
		return err
	})
	var run workflow.Run
	park.Until(60*time.Second, func() bool {
		park.Must("c1", func(daemon *controlplane.Daemon) error {
			models, err := daemon.Handovers()
			if rollouts := models["tutor"].Shelves["east"]; rollouts.Run != nil {
				run = *rollouts.Run
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
	for _, request := range park.Logs() {
		if served[request.Model] == nil {
			served[request.Model] = map[string]int{}
		}
		served[request.Model][park.Zone(request.Replica)]++
		if request.Model == "tutor" && (park.Zone(request.Replica) != "east-2" || park.Zone(request.Daemon) != "east-2") {
			t.Errorf("home: a request to tutor went through %s to %s", request.Daemon, request.Replica)
		}
	}
	t.Logf("served: %v", served)
	if served["tutor"]["east-2"] < 100 || served["roster"]["east-1"] < 100 || served["roster"]["west-1"] < 100 {
		t.Errorf("vacuous: %v", served)
	}
	for name, replica := range park.Replicas {
		for _, order := range replica.Loads {
			if strings.Contains(order, "tutor") && replica.Zone != "east-2" {
				t.Errorf("%s got the load order %s", name, order)
			}
		}
		if replica.Zone == "east-1" && replica.Peak > 4 {
			t.Errorf("%s had a load of %d units; its zone's capacity is 4", name, replica.Peak)
		}
	}
	checkRules(t, park, facts)
}
