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
	listEvery = 1250 * time.Millisecond
	limitsOf5 = `"limits":{"platform_ms":1250,"permit_ms":2400,"session_ms":1800,"dark_ms":900,"probe_ms":450,"alone_ms":3600000,`
)

// lastSeen lets time pass until no data daemon of those named goes by the replica any
// more, and gives when that was so.
func lastSeen(t *testing.T, park *fleet.Park, replica string, names []string) time.Duration {
	t.Helper()
	isOut := func() bool {
		for _, name := range names {
			for _, one := range park.Datas[name].Holder.View().RoutingTables {
				for _, row := range one.Rows {
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
		park.Run(10 * time.Millisecond)
	}
	return park.Now()
}

// calmGrown is a calm grown fleet under limitsOf5, and its data daemons.
func calmGrown(seed uint64) (*fleet.Park, []string) {
	plan := grown(24, 30, 6)
	plan.Document = strings.Replace(plan.Document, `"limits":{`, limitsOf5, 1)
	plan.Least = 0
	park := apart(seed, plan)
	return park, slices.Sorted(maps.Keys(park.Datas))
}

// TestLeavingIsToldAtOnce: on a grown fleet a replica that leaves is out of every data
// daemon's view soon after the platform lists it, at the daemons, too, whose asks for a
// permit go unanswered just then.
func TestLeavingIsToldAtOnce(t *testing.T) {
	t.Parallel()
	skipLong(t)
	park, names := calmGrown(7)
	defer park.Close()
	calm, harmed := time.Duration(0), time.Duration(0)
	for turn := range 12 {
		one := park.Plan.Replicas[turn]
		// The control daemons of one zone lose touch with the data daemons of their zone:
		// those asks wait for nothing, and are asked elsewhere afterwards.
		holder := park.Holder(fleet.Region(one.Zone))
		var asked, asking []string
		if turn%2 == 1 {
			zone := park.Plan.Replicas[turn+1].Zone
			for name := range park.Controls {
				if park.Zone(name) == zone && name != holder {
					asked = append(asked, name)
				}
			}
			for _, name := range names {
				if park.Zone(name) == zone {
					asking = append(asking, name)
				}
			}
		}
		park.Run(time.Duration(turn) * 97 * time.Millisecond) // at another phase each time
		park.LeaveByPlatform(one.ID)
		park.Run(park.Plan.Lag)
		listed := park.Now()
		park.Split(asked, asking, true)
		took := lastSeen(t, park, one.ID, names) - listed
		park.Split(asked, asking, false)
		if turn%2 == 1 {
			harmed = max(harmed, took)
		} else {
			calm = max(calm, took)
		}
		park.Run(4 * time.Second)
	}
	t.Logf("the last daemon goes by a leaving replica until %v after it is listed, %v where asks go unanswered", calm, harmed)
	if bound := listEvery*11/10 + 400*time.Millisecond; calm > bound || harmed > bound {
		t.Errorf("leaving: later than %v", bound)
	}
}

// TestDarkIsToldAtOnce: a replica whose machine goes dark is out of every data daemon's
// view soon after its region's standing can say so, and in all again once it is back.
func TestDarkIsToldAtOnce(t *testing.T) {
	t.Parallel()
	skipLong(t)
	park, names := calmGrown(8)
	defer park.Close()
	worst := time.Duration(0)
	for turn := range 10 {
		name := park.Plan.Replicas[turn].ID
		park.Run(time.Duration(turn) * 97 * time.Millisecond)
		began := park.Now()
		park.Split([]string{name}, others(park, name), true)
		took := lastSeen(t, park, name, names) - began
		worst = max(worst, took)
		park.Split([]string{name}, others(park, name), false)
		isBack := func() bool {
			for _, daemon := range park.Datas {
				one := daemon.Holder.View().RoutingTables[fleet.Region(park.Zone(name))]
				if !slices.ContainsFunc(one.Places, func(place routing.Endpoint) bool { return place.ID == name }) {
					return false
				}
			}
			return true
		}
		if !park.Until(6*time.Second, isBack) {
			t.Fatalf("%s is not back everywhere", name)
		}
		park.Run(time.Second)
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
	for name, leave := range map[string]func(park *fleet.Park, id string){
		"by the list":   func(park *fleet.Park, id string) { park.LeaveByPlatform(id) },
		"by its probes": func(park *fleet.Park, id string) { park.Replicas[id].Leave() },
	} {
		for _, isLost := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, notices lost: %v", name, isLost), func(t *testing.T) {
				t.Parallel()
				park := fleet.NewPark(3, fleet.Sahayogi())
				defer park.Close()
				park.Run(warm)
				facts := park.Begin()
				if isLost {
					park.OnCall = func(_, _, method string) sim.Fate {
						if method == "Permit.Heed" {
							return sim.RequestLost
						}
						return sim.Delivered
					}
				}
				one := park.Used().ID
				park.Replicas[one].Lingers = true
				leave(park, one)
				if !isLost {
					park.Run(4 * time.Second) // all are told
					for _, daemon := range []string{"d1", "d2"} {
						park.Crash(daemon)
						park.StartData(daemon)
					}
				}
				park.Run(12 * time.Second)
				park.Quiet = true
				park.Run(4 * time.Second)
				broken, judged := fleet.Check(park, facts)
				if judged["leaving"] == 0 {
					t.Error("vacuous: the replica was not in use, or did not linger")
				}
				show(t, 3, broken)
			})
		}
	}
}
