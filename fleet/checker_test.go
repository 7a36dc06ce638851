package fleet_test

import (
	"slices"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/replica"
)

// TestEveryCheckerCanFire violates each rule once, by breaking a component or by forging an entry
// of the history, and verifies that the rule's checker reports it.
func TestEveryCheckerCanFire(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation that runs one goroutine at a time, which gives the race detector nothing to check")
	}
	type run struct {
		rule string
		do   func(cluster *fleet.Cluster, facts *fleet.Facts)
		plan func() fleet.Plan
	}
	// Violations come from outside the code under test: from a simulated component that
	// misbehaves, or from one forbidden entry in the history that the checker gets.
	forge := func(change func(cluster *fleet.Cluster, served *fleet.Served)) func(*fleet.Cluster, *fleet.Facts) {
		return func(cluster *fleet.Cluster, _ *fleet.Facts) {
			logs := cluster.Logs()
			change(cluster, logs[len(logs)-1])
		}
	}
	for _, test := range []run{
		{"twice", forge(func(cluster *fleet.Cluster, served *fleet.Served) { served.ID = cluster.Logs()[0].ID }), nil},
		{"foreign", func(cluster *fleet.Cluster, _ *fleet.Facts) { cluster.Requests[3].WrongAnswer = true }, nil},
		{"lost", func(cluster *fleet.Cluster, facts *fleet.Facts) {
			// Daemons that are killed although the facts call their stop planned.
			for _, name := range []string{"d1", "d2", "d3", "d4", "d5"} {
				cluster.Crash(name)
			}
			cluster.Run(3 * time.Second)
		}, nil},
		{"old config", func(cluster *fleet.Cluster, facts *fleet.Facts) {
			// A configuration that counts as acknowledged but was sent to nobody.
			facts.Acked = map[uint64]fleet.Ack{7: {At: cluster.Now()}}
			cluster.Run(6 * time.Second)
		}, nil},
		{"fallback", func(cluster *fleet.Cluster, _ *fleet.Facts) {
			cluster.Crash("d1")
			cluster.StartData("d1")
			cluster.Run(5 * time.Second)
			logs := cluster.Logs()
			logs[len(logs)-1].Serial = 0
		}, nil},
		{"leaving", func(cluster *fleet.Cluster, _ *fleet.Facts) {
			// Replicas that count as leaving for the checker only.
			for name, server := range cluster.Replicas {
				cluster.TerminationLearned[name+"/"+server.Boot] = cluster.Now()
			}
			cluster.Run(9 * time.Second)
		}, nil},
		{"bad version", func(cluster *fleet.Cluster, facts *fleet.Facts) {
			// With the health watch of rollouts switched off, a bad version stays in use.
			facts.Bad = "v1"
			cluster.Run(10 * time.Second)
		}, func() fleet.Plan {
			return withFailures(quickPlan(), func(version, kind string, _ int) bool { return kind == "notice" })
		}},
		{"flooded", func(cluster *fleet.Cluster, _ *fleet.Facts) {
			// Replicas that warm up far more slowly than the settings say.
			for _, server := range cluster.Replicas {
				server.ColdAnswers = 1 << 20
			}
			cluster.Run(8 * time.Second)
		}, func() fleet.Plan {
			plan := quickPlan()
			for index := range plan.Callers {
				plan.Callers[index].Every /= 2
			}
			return plan
		}},
		{"home", forge(func(_ *fleet.Cluster, served *fleet.Served) { served.Home = "nowhere" }), nil},
		{"evacuated", func(cluster *fleet.Cluster, facts *fleet.Facts) {
			// A zone that counts as evacuated for the checker only.
			facts.Evacuated = []fleet.Evacuation{{Zone: "east-1", From: cluster.Now()}}
			cluster.Run(8 * time.Second)
		}, nil},
		{"retries", func(cluster *fleet.Cluster, _ *fleet.Facts) {
			// The retry budget is set to half of the requests, and every request is retried.
			for index := 0; index < 400; index++ {
				cluster.Arrivals = append(cluster.Arrivals, fleet.Arrival{At: cluster.Now(), ID: "x", Try: 2})
			}
		}, nil},
	} {
		t.Run(test.rule, func(t *testing.T) {
			t.Parallel()
			newPlan := quickPlan
			if test.plan != nil {
				newPlan = test.plan
			}
			cluster := fleet.NewCluster(7, newPlan())
			defer cluster.Close()
			cluster.Run(8 * time.Second)
			facts := cluster.Begin()
			facts.Planned = true
			test.do(cluster, &facts)
			cluster.Quiet = true
			cluster.Run(6 * time.Second)
			violations, checked := fleet.Check(cluster, facts)
			if checked[test.rule] == 0 {
				t.Errorf("the checker for %q judged nothing", test.rule)
			}
			for _, violation := range violations {
				if violation.Rule == test.rule {
					return
				}
			}
			t.Errorf("the checker for %q did not fire", test.rule)
		})
	}
}

func TestFullLoss(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation that runs one goroutine at a time, which gives the race detector nothing to check")
	}
	for name, plan := range fleet.Plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := fleet.NewCluster(8, plan())
			defer cluster.Close()
			cluster.Run(warmupTime)
			before, _ := fleet.Rate(cluster, cluster.Now()-5*time.Second, cluster.Now())
			cluster.Must("c1", func(daemon *controlplane.Daemon) error {
				_, err := daemon.Handover("h1", cluster.Model, "v2", nil)
				return err
			})
			cluster.Run(4 * time.Second)
			back := restartAll(cluster)
			var curve []int
			for second := 0; second < 24; second += 2 {
				cluster.Run(2 * time.Second)
				answered, _ := fleet.Rate(cluster, cluster.Now()-2*time.Second, cluster.Now())
				curve = append(curve, answered*100*5/2/max(1, before))
			}
			t.Logf("answers in each two seconds after the restart, in percent of the rate before: %v", curve)
			answered, _ := fleet.Rate(cluster, back+10*time.Second, back+12*time.Second)
			if answered*4*5 < before*2 {
				t.Errorf("recovery: %d answers in seconds 10 to 12 after the restart, %d in the five seconds before the loss", answered, before)
			}
			run := waitForRun(cluster, "east", 0)
			if name == "sklepik" {
				run = waitForRun(cluster, "north", 0)
			}
			if run.ID != "h1" {
				t.Errorf("the rollout's run was lost: %+v", run)
			}
			cluster.Quiet = true
			cluster.Run(12 * time.Second)
			checkRules(t, cluster, factsSinceWarm(cluster, false))
		})
	}
}

// TestFullLossOfAHolder loses all machines and restarts all but the leader of a region's election.
// Another daemon must take over soon after the restart. Restarted daemons reclaim at once the
// elections that they held before, so only the missing leader's election has to time out.
func TestFullLossOfAHolder(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for name, plan := range fleet.Plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := fleet.NewCluster(8, plan())
			defer cluster.Close()
			cluster.Run(warmupTime)
			region := cluster.Regions()[0]
			formerLeader := cluster.RegionLeader(region)
			lost := cluster.CrashAll(cluster.NodeNames())
			cluster.Run(3 * time.Second)
			cluster.RestartAll(slices.DeleteFunc(lost, func(name string) bool { return name == formerLeader }))
			back := cluster.Now()
			if !cluster.Until(25*time.Second, func() bool { return cluster.RegionLeader(region) != "" && cluster.Ready() }) {
				t.Fatalf("recovery: %s's replicas never came back into use", region)
			}
			took := cluster.Now() - back
			t.Logf("%s was the leader of %s; all replicas are known everywhere %v after the others' restart", formerLeader, region, took)
			if took > 8*time.Second {
				t.Errorf("recovery: %s's replicas were known everywhere only %v after the restart", region, took)
			}
			cluster.Quiet = true
			cluster.Run(12 * time.Second)
			checkRules(t, cluster, factsSinceWarm(cluster, false))
		})
	}
}

func TestEvacuationDuringRollout(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation that runs one goroutine at a time, which gives the race detector nothing to check")
	}
	cluster := fleet.NewCluster(9, quickPlan())
	defer cluster.Close()
	cluster.Run(warmupTime)
	facts := factsSinceWarm(cluster, true)
	beginHandover(cluster, "h1")
	cluster.Run(3 * time.Second)
	if err := cluster.Evacuate(&facts, "east-1", false); err != nil {
		t.Fatal(err)
	}
	cluster.Run(15 * time.Second)
	if err := cluster.Evacuate(&facts, "east-1", true); err != nil {
		t.Fatal(err)
	}
	for _, region := range []string{"east", "middle", "west"} {
		if run := waitForRun(cluster, region, 90*time.Second); run.State == "running" {
			t.Errorf("%s: the rollout's run never ended after %d steps, at %s: %s", region, len(run.Steps), run.At, run.Last)
		}
	}
	cluster.Quiet = true
	cluster.Run(8 * time.Second)
	checkRules(t, cluster, facts)
}

func TestFencedOrder(t *testing.T) {
	t.Parallel()
	cluster := fleet.NewCluster(10, quickPlan())
	defer cluster.Close()
	cluster.Run(4 * time.Second)
	target := cluster.Replicas["east-1-r1"]
	// An order that a paused leader of an older term could still send.
	status, _ := target.Order(replica.Order{ID: "old", Fence: 0, Model: "roster", Version: "v8", State: replica.Load})
	if status != 409 || target.Fenced != 1 {
		t.Errorf("an order with an older fence was answered %d", status)
	}
}
