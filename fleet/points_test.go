package fleet_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/sim"
)

var points = flag.Int("points", 1, "number of points of each step and fate, spread evenly, where a fault is injected; 0: at every point")

// step is an operation of an operator or of the system itself whose calls and disk syncs are
// numbered. It records its outcome in the facts, if that must hold even with one fault.
type step struct {
	name string
	run  func(park *fleet.Cluster, facts *fleet.Facts)
}

var steps = []step{
	{"apply", func(park *fleet.Cluster, facts *fleet.Facts) { _ = park.Apply(facts, "c1") }},
	{"evacuate and hand back", func(park *fleet.Cluster, facts *fleet.Facts) {
		_ = park.Evacuate(facts, "west-1", false)
		park.Run(time.Second)
		_ = park.Evacuate(facts, "west-1", true)
	}},
	{"core change", func(park *fleet.Cluster, _ *fleet.Facts) {
		park.Crash("c3")
		park.Node("c3").Disk.Wipe()
		park.StartControl("c3")
		park.Run(2 * time.Second)
		_ = park.RejoinCore("c3")
	}},
	{"handover", func(park *fleet.Cluster, _ *fleet.Facts) {
		_ = park.Do("c1", 5*time.Second, func(daemon *controlplane.Daemon) error {
			_, err := daemon.Handover("h1", park.Model, "v2", []string{"east"})
			return err
		})
		park.Run(16 * time.Second)
	}},
	{"rollback", func(park *fleet.Cluster, _ *fleet.Facts) {
		_ = park.Do("c1", 5*time.Second, func(daemon *controlplane.Daemon) error {
			_, err := daemon.Objects.Rollback(park.Model, nil, time.Minute)
			return err
		})
	}},
	{"duty change", func(park *fleet.Cluster, _ *fleet.Facts) {
		if leader := park.RegionLeader("east"); leader != "" {
			park.StopControl(leader)
			park.Run(5 * time.Second)
			park.StartControl(leader)
		}
	}},
	{"planned stop", func(park *fleet.Cluster, _ *fleet.Facts) {
		park.StopData("d1")
		park.StartData("d1")
	}},
}

// counted reports whether calls of the method are numbered: those that carry out the steps.
// Heartbeats, lease renewals and reads, which are sent all the time, aren't.
func counted(method string) bool {
	for _, name := range []string{"Register.Prepare", "Register.Accept", "Register.Seal", "Register.Install", "Permit.Take", "Permit.Fetch", "Ticket."} {
		if strings.HasPrefix(method, name) {
			return true
		}
	}
	return false
}

const diskDies = sim.Fate(100) // the process is killed at a numbered disk sync

// pointed runs a step with one fault at the numbered point, or without one if point is 0. It
// returns the number of points that the step has.
func pointed(t *testing.T, operation step, fate sim.Fate, point int) (total int) {
	park := fleet.NewCluster(5, quickPlan())
	defer park.Close()
	park.Run(10 * time.Second)
	if operation.name == "rollback" {
		beginHandover(park, "h0")
		for _, region := range park.Regions() {
			waitForRun(park, region, 60*time.Second)
		}
	}
	facts := park.Begin()
	var dead []string
	park.OnKill = func(name string) {
		if park.Node(name).Up() {
			park.Crash(name)
			dead = append(dead, name)
			park.At(1500*time.Millisecond, func() {
				if !park.Node(name).Up() {
					park.RestartAll([]string{name})
				}
			})
		}
	}
	struck := false
	if fate == diskDies {
		park.SetHook("disk.sync", func(node *sim.Node, _ int) {
			if total++; total == point {
				struck = true
				park.ScheduleKill(node.Name)
			}
		})
	} else {
		park.OnCall = func(from, to, method string) sim.Fate {
			if !counted(method) {
				return sim.Delivered
			}
			if total++; total == point {
				struck = true
				return fate
			}
			return sim.Delivered
		}
	}
	operation.run(park, &facts)
	count := total
	park.OnCall = nil
	park.SetHook("disk.sync", nil)
	if point == 0 {
		return count
	}
	if !struck {
		t.Errorf("vacuous: %s has only %d points, want a fault at point %d", operation.name, count, point)
	}
	park.Run(8 * time.Second)
	facts.Need("a configuration afterwards", park.Apply(&facts, "c2"))
	from := park.Now()
	park.Run(5 * time.Second)
	if answered, asked := fleet.Rate(park, from, park.Now()); answered*10 < asked*9 {
		t.Errorf("%d of %d requests were answered after the fault", answered, asked)
	}
	if operation.name == "handover" {
		if run := waitForRun(park, "east", 60*time.Second); run.ID != "" && run.State == "running" {
			t.Errorf("the rollout's run never ends: it is at %s, last %s", run.At, run.Last)
		}
	}
	park.Quiet = true
	park.Run(8 * time.Second)
	checkRules(t, park, facts)
	return count
}

// TestNumberedPoints numbers all calls and disk syncs of each step in a run without faults, and then
// injects one fault at each point in turn: the call or its reply is lost, the call is delayed or
// duplicated, its sender or receiver crashes, or the process crashes at a disk sync. CI runs an
// evenly spread part of the points; -points 0 runs all.
func TestNumberedPoints(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation with one task at a time, of little use under the race detector")
	}
	fates := map[string]sim.Fate{"call lost": sim.RequestLost, "answer lost": sim.ResponseLost, "late": sim.RequestDelayed, "twice": sim.RequestDuplicated, "sender dies": sim.SenderKilled, "receiver dies": sim.ReceiverKilled, "dies at the disk": diskDies}
	for _, operation := range steps {
		t.Run(operation.name, func(t *testing.T) {
			t.Parallel()
			calls, disks := pointed(t, operation, sim.Delivered, 0), pointed(t, operation, diskDies, 0)
			t.Logf("%s: %d calls, %d disk syncs", operation.name, calls, disks)
			if calls == 0 || disks == 0 {
				t.Fatal("vacuous: the step has no points for a fault")
			}
			for name, fate := range fates {
				total := calls
				if fate == diskDies {
					total = disks
				}
				count := *points
				if count == 0 || count > total {
					count = total
				}
				for index := 0; index < count; index++ {
					point := 1 + (2*index+1)*total/(2*count)
					point = min(point, total)
					t.Run(fmt.Sprintf("%s/%d", name, point), func(t *testing.T) {
						t.Parallel()
						pointed(t, operation, fate, point)
					})
				}
			}
		})
	}
}
