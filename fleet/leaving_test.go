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

// Limits of a deployment that allows 5 s between a notice and the last request.
const (
	listInterval     = 1250 * time.Millisecond
	fiveSecondLimits = `"limits":{"platform_ms":1250,"permit_ms":2400,"session_ms":1800,"dark_ms":900,"probe_ms":450,"alone_ms":3600000,`
)

// awaitRemoval lets time pass until no data daemon of those named goes by the replica any
// more, and gives when that was so.
func awaitRemoval(t *testing.T, cluster *fleet.Park, replica string, names []string) time.Duration {
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
			t.Fatal("it is never out")
		}
		cluster.Run(10 * time.Millisecond)
	}
	return cluster.Now()
}

// newCalmCluster is a calm grown fleet under limitsOf5, and its data daemons.
func newCalmCluster(seed uint64) (*fleet.Park, []string) {
	plan := grown(24, 30, 6)
	plan.Document = strings.Replace(plan.Document, `"limits":{`, fiveSecondLimits, 1)
	plan.Least = 0
	cluster := apart(seed, plan)
	return cluster, slices.Sorted(maps.Keys(cluster.Datas))
}

// TestLeavingIsToldAtOnce: on a grown fleet a replica that leaves is out of every data
// daemon's view soon after the platform lists it, at the daemons, too, whose asks for a
// permit go unanswered just then.
func TestLeavingIsToldAtOnce(t *testing.T) {
	t.Parallel()
	skipLong(t)
	cluster, names := newCalmCluster(7)
	defer cluster.Close()
	calm, degraded := time.Duration(0), time.Duration(0)
	for turn := range 12 {
		replica := cluster.Plan.Replicas[turn]
		// The control daemons of one zone lose touch with the data daemons of their zone:
		// those asks wait for nothing, and are asked elsewhere afterwards.
		holder := cluster.Holder(fleet.Region(replica.Zone))
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
		cluster.Run(time.Duration(turn) * 97 * time.Millisecond) // at another phase each time
		cluster.LeaveByPlatform(replica.ID)
		cluster.Run(cluster.Plan.Lag)
		listed := cluster.Now()
		cluster.Split(controls, datas, true)
		took := awaitRemoval(t, cluster, replica.ID, names) - listed
		cluster.Split(controls, datas, false)
		if turn%2 == 1 {
			degraded = max(degraded, took)
		} else {
			calm = max(calm, took)
		}
		cluster.Run(4 * time.Second)
	}
	t.Logf("the last daemon goes by a leaving replica until %v after it is listed, %v where asks go unanswered", calm, degraded)
	if bound := listInterval*11/10 + 400*time.Millisecond; calm > bound || degraded > bound {
		t.Errorf("leaving: later than %v", bound)
	}
}

// TestDarkIsToldAtOnce: a replica whose machine goes dark is out of every data daemon's
// view soon after its region's standing can say so, and in all again once it is back.
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
		cluster.Split([]string{name}, others(cluster, name), true)
		took := awaitRemoval(t, cluster, name, names) - began
		worst = max(worst, took)
		cluster.Split([]string{name}, others(cluster, name), false)
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
			t.Fatalf("%s is not back everywhere", name)
		}
		cluster.Run(time.Second)
	}
	t.Logf("the last daemon goes by a dark replica for %v", worst)
	// A probe and a half go unanswered, and the standing is computed and written.
	if bound := 900*time.Millisecond + 450*time.Millisecond + 600*time.Millisecond; worst > bound {
		t.Errorf("longer than %v", bound)
	}
}

// TestLeavingUntold: where no notice reaches a data daemon, and where one begins after all
// notices, the region's standing alone keeps it from a replica that is to end, whether the
// platform's list or the replica's own probes say so.
func TestLeavingUntold(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for name, leave := range map[string]func(cluster *fleet.Park, id string){
		"by the list":   func(cluster *fleet.Park, id string) { cluster.LeaveByPlatform(id) },
		"by its probes": func(cluster *fleet.Park, id string) { cluster.Replicas[id].Leave() },
	} {
		for _, isLost := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, notices lost: %v", name, isLost), func(t *testing.T) {
				t.Parallel()
				cluster := fleet.NewPark(3, fleet.Sahayogi())
				defer cluster.Close()
				cluster.Run(warm)
				facts := cluster.Begin()
				if isLost {
					cluster.OnCall = func(_, _, method string) sim.Fate {
						if method == "Permit.Heed" {
							return sim.RequestLost
						}
						return sim.Delivered
					}
				}
				replica := cluster.Used().ID
				cluster.Replicas[replica].Lingers = true
				leave(cluster, replica)
				if !isLost {
					cluster.Run(4 * time.Second) // all are told
					for _, daemon := range []string{"d1", "d2"} {
						cluster.Crash(daemon)
						cluster.StartData(daemon)
					}
				}
				cluster.Run(12 * time.Second)
				cluster.Quiet = true
				cluster.Run(4 * time.Second)
				broken, judged := fleet.Check(cluster, facts)
				if judged["leaving"] == 0 {
					t.Error("vacuous: the replica was not in use, or did not linger")
				}
				show(t, 3, broken)
			})
		}
	}
}
