package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
	"swifttiller/routing"
	"swifttiller/sim"
)

// Limits of a deployment that allows 5 s between the notice that a replica leaves and the last
// request to it.
const (
	listInterval     = 1250 * time.Millisecond
	fiveSecondLimits = `"limits":{"platform_ms":1250,"permit_ms":2400,"session_ms":1800,"dark_ms":900,"probe_ms":450,"alone_ms":3600000,`
)

// awaitRemoval runs the simulation until the replica is in no routing table of the named data
// daemons, and returns the time of that.
func awaitRemoval(t *testing.T, cluster *fleet.Cluster, replica string, names []string) time.Duration {
	t.Helper()
	isOut := func() bool {
		for _, name := range names {
			for _, table := range cluster.Datas[name].Holder.View().RoutingTables {
				for _, row := range table.Rows {
					if row.Replica == replica {
						return false
					}
				}
			}
		}
		return true
	}
	for spent := time.Duration(0); !isOut(); spent += 10 * time.Millisecond {
		if spent > 20*time.Second {
			t.Fatal("the replica was never removed from all routing tables")
		}
		cluster.Run(10 * time.Millisecond)
	}
	return cluster.Now()
}

// newCalmCluster returns a large cluster without callers under fiveSecondLimits (5 s), and the
// names of its data daemons.
func newCalmCluster(seed uint64) (*fleet.Cluster, []string) {
	plan := grownPlan(24, 30, 6)
	plan.Document = strings.Replace(plan.Document, `"limits":{`, fiveSecondLimits, 1)
	plan.MinListInterval = 0
	cluster := newSeparatedCluster(seed, plan)
	return cluster, slices.Sorted(maps.Keys(cluster.Datas))
}

// TestLeavingIsToldAtOnce verifies on a large fleet that a leaving replica is removed from every
// data daemon's routing table soon after the platform lists it as leaving, also at daemons whose
// lease renewals go unanswered at that moment.
func TestLeavingIsToldAtOnce(t *testing.T) {
	t.Parallel()
	skipLong(t)
	cluster, names := newCalmCluster(7)
	defer cluster.Close()
	normal, degraded := time.Duration(0), time.Duration(0)
	for turn := range 12 {
		replica := cluster.Plan.Replicas[turn]
		// The control daemons of one zone are partitioned from the data daemons of their zone:
		// their renewals time out and are retried at other control daemons.
		holder := cluster.RegionLeader(fleet.Region(replica.Zone))
		var controls, datas []string
		if turn%2 == 1 {
			zone := cluster.Plan.Replicas[turn+1].Zone
			for name := range cluster.Controls {
				if cluster.Zone(name) == zone && name != holder {
					controls = append(controls, name)
				}
			}
			for _, name := range names {
				if cluster.Zone(name) == zone {
					datas = append(datas, name)
				}
			}
		}
		cluster.Run(time.Duration(turn) * 97 * time.Millisecond) // at a different phase of the polling each time
		cluster.MarkLeavingInList(replica.ID)
		cluster.Run(cluster.Plan.Lag)
		listed := cluster.Now()
		cluster.Split(controls, datas, true)
		took := awaitRemoval(t, cluster, replica.ID, names) - listed
		cluster.Split(controls, datas, false)
		if turn%2 == 1 {
			degraded = max(degraded, took)
		} else {
			normal = max(normal, took)
		}
		cluster.Run(4 * time.Second)
	}
	t.Logf("the last daemon removes a leaving replica %v after it is listed, %v where renewals go unanswered", normal, degraded)
	if bound := listInterval*11/10 + 400*time.Millisecond; normal > bound || degraded > bound {
		t.Errorf("leaving: a replica was removed later than %v after it was listed", bound)
	}
}

// TestDarkIsToldAtOnce verifies that an unreachable replica is removed from every data daemon's
// routing table soon after the failed health checks allow it, and is back in all of them once it
// is reachable again.
func TestDarkIsToldAtOnce(t *testing.T) {
	t.Parallel()
	skipLong(t)
	cluster, names := newCalmCluster(8)
	defer cluster.Close()
	worst := time.Duration(0)
	for turn := range 10 {
		name := cluster.Plan.Replicas[turn].ID
		cluster.Run(time.Duration(turn) * 97 * time.Millisecond)
		began := cluster.Now()
		cluster.Split([]string{name}, otherNodes(cluster, name), true)
		took := awaitRemoval(t, cluster, name, names) - began
		worst = max(worst, took)
		cluster.Split([]string{name}, otherNodes(cluster, name), false)
		isBack := func() bool {
			for _, daemon := range cluster.Datas {
				table := daemon.Holder.View().RoutingTables[fleet.Region(cluster.Zone(name))]
				if !slices.ContainsFunc(table.Places, func(place routing.Endpoint) bool { return place.ID == name }) {
					return false
				}
			}
			return true
		}
		if !cluster.Until(6*time.Second, isBack) {
			t.Fatalf("%s is not back in all routing tables", name)
		}
		cluster.Run(time.Second)
	}
	t.Logf("the last daemon removes an unreachable replica after %v", worst)
	// The time without an answer, one more probe interval, and the computation and writing of the
	// routing table.
	if bound := 900*time.Millisecond + 450*time.Millisecond + 600*time.Millisecond; worst > bound {
		t.Errorf("an unreachable replica was removed only after more than %v", bound)
	}
}

// TestLeavingWithoutNotice covers data daemons that get no notice of a leaving replica, because notices
// are lost or because they start after all notices. The region's routing table alone must keep
// them from using the replica, whether the platform's list or the replica's own health checks
// report that it leaves.
func TestLeavingWithoutNotice(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for name, leave := range map[string]func(cluster *fleet.Cluster, id string){
		"by the list":   func(cluster *fleet.Cluster, id string) { cluster.MarkLeavingInList(id) },
		"by its probes": func(cluster *fleet.Cluster, id string) { cluster.Replicas[id].Leave() },
	} {
		for _, isLost := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, notices lost: %v", name, isLost), func(t *testing.T) {
				t.Parallel()
				cluster := fleet.NewCluster(3, fleet.Sahayogi())
				defer cluster.Close()
				cluster.Run(warmupTime)
				facts := cluster.Begin()
				if isLost {
					cluster.OnCall = func(_, _, method string) sim.Fate {
						if method == "Permit.Heed" {
							return sim.RequestLost
						}
						return sim.Delivered
					}
				}
				replica := cluster.BusiestReplica().ID
				cluster.Replicas[replica].ServesWhileLeaving = true
				leave(cluster, replica)
				if !isLost {
					cluster.Run(4 * time.Second) // until all daemons have the notice
					for _, daemon := range []string{"d1", "d2"} {
						cluster.Crash(daemon)
						cluster.StartData(daemon)
					}
				}
				cluster.Run(12 * time.Second)
				cluster.Quiet = true
				cluster.Run(4 * time.Second)
				violations, checked := fleet.Check(cluster, facts)
				if checked["leaving"] == 0 {
					t.Error("vacuous: the replica was not in use, or did not linger")
				}
				reportViolations(t, 3, violations)
			})
		}
	}
}
