package fleet_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

// partialFailureSeeds is the number of seeds over which the share of answered requests is
// computed. With a single seed two or three requests would decide.
const partialFailureSeeds = 4

// measurePartialFailure makes a quarter of the engines partly faulty for a while and returns the
// share of the requests made meanwhile that succeeded, over all seeds.
func measurePartialFailure(t *testing.T, change func(cluster *fleet.Cluster, engine *fleet.Engine, isFaulty bool)) float64 {
	t.Helper()
	answered, asked := 0, 0
	for seed := uint64(1); seed <= partialFailureSeeds; seed++ {
		succeeded, total := measurePartialFailureOnce(t, seed, change)
		answered, asked = answered+succeeded, asked+total
	}
	t.Logf("%s: %d of %d requests succeeded", t.Name(), answered, asked)
	return float64(answered) / float64(max(1, asked))
}

func measurePartialFailureOnce(t *testing.T, seed uint64, change func(cluster *fleet.Cluster, engine *fleet.Engine, isFaulty bool)) (answered, asked int) {
	t.Helper()
	cluster := fleet.NewCluster(seed, fleet.RoutedShapes["large"].Plan())
	defer cluster.Close()
	cluster.Run(routedWarmupTime)
	facts := cluster.BeginRouted()
	index, until := 0, cluster.Now()+20*time.Second
	for _, options := range cluster.Plan.Engines {
		index++
		change(cluster, cluster.Engines[options.Name], index%4 == 1)
	}
	cluster.Run(until - cluster.Now())
	answered, asked = fleet.RoutedRate(cluster, facts.From, until-3*time.Second)
	for _, options := range cluster.Plan.Engines {
		cluster.Engines[options.Name].Grey, cluster.Engines[options.Name].ReportsUnhealthy = fleet.GrayFailure{}, false
	}
	cluster.Run(4 * time.Second)
	cluster.Quiet = true
	cluster.Run(6500 * time.Millisecond)
	violations, _ := fleet.CheckRouted(cluster, facts)
	reportViolations(t, seed, violations)
	return answered, asked
}

// TestPartlyFailing verifies that data daemons stop using engines that fail a part of their requests
// although their health checks succeed.
func TestPartlyFailing(t *testing.T) {
	t.Parallel()
	for _, scenario := range []struct {
		name string
		grey fleet.GrayFailure
		slow float64
		// least is the share of requests that must succeed.
		least float64
	}{
		{"errors", fleet.GrayFailure{How: "errors", Share: 0.4}, 0, 0.967},
		{"all errors", fleet.GrayFailure{How: "errors", Share: 1}, 0, 0.96},
		{"shed", fleet.GrayFailure{How: "shed", Share: 0.8}, 0, 0.993},
		{"reset", fleet.GrayFailure{How: "reset", Share: 0.4}, 0, 0.967},
		{"hang", fleet.GrayFailure{How: "hang", Share: 0.3}, 0, 0.97},
		{"mute", fleet.GrayFailure{How: "mute", Share: 0.3}, 0, 0.97},
		{"for one zone", fleet.GrayFailure{How: "errors", Share: 0.8, Zone: "east-1"}, 0, 0.985},
		{"slow", fleet.GrayFailure{}, 8, 0.974},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			share := measurePartialFailure(t, func(_ *fleet.Cluster, engine *fleet.Engine, isFaulty bool) {
				if isFaulty {
					engine.Grey = scenario.grey
					if scenario.slow > 0 {
						engine.Slower = scenario.slow
					}
				}
			})
			if share < scenario.least {
				t.Errorf("only a share of %.3f of the requests succeeded", share)
			}
		})
	}
}

// TestFalseProbes verifies that engines that report failing health checks but serve well stay in
// use. For the opposite, engines that report that they are healthy but fail all requests, see
// TestPartlyFailing.
func TestFalseProbes(t *testing.T) {
	t.Parallel()
	share := measurePartialFailure(t, func(cluster *fleet.Cluster, engine *fleet.Engine, _ bool) {
		engine.ReportsUnhealthy = fleet.Region(engine.Zone) == cluster.Shape.Regions[0]
	})
	if share < 1 {
		t.Errorf("only a share of %.3f of the requests succeeded", share)
	}
}

// busiest returns up to count engines that got the most requests since the given time, the
// busiest first.
func busiest(cluster *fleet.Cluster, since time.Duration, count int) (names []string) {
	runs := map[string]int{}
	for _, run := range cluster.Runs {
		if run.At > since {
			runs[run.Engine]++
		}
	}
	for name := range runs {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(runs[b]-runs[a], strings.Compare(a, b)) })
	return names[:min(count, len(names))]
}

// startupWindow is how long the overload of the start may count against an engine: one whose first
// tokens were mostly late then may be taken out of use when it reports that it is unhealthy.
const startupWindow = 12 * time.Second

// TestHealthChecksAloneDoNotRemove verifies that busy engines that report that they are unhealthy but
// serve well still get requests.
func TestHealthChecksAloneDoNotRemove(t *testing.T) {
	t.Parallel()
	last := uint64(8)
	if testing.Short() {
		last = 1 // under the race detector, which has one goroutine at a time to check
	}
	for seed := uint64(1); seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			cluster := fleet.NewCluster(seed, fleet.RoutedShapes["large"].Plan())
			defer cluster.Close()
			cluster.Run(routedWarmupTime + startupWindow)
			unhealthy := busiest(cluster, 0, 5)
			for _, name := range unhealthy {
				cluster.Engines[name].ReportsUnhealthy = true
			}
			cluster.Run(8 * time.Second)
			from := cluster.Now()
			cluster.Run(6 * time.Second)
			used := busiest(cluster, from, 100)
			for _, name := range unhealthy {
				if !slices.Contains(used, name) {
					t.Errorf("%s reports that it is unhealthy but serves well, and gets no requests", name)
				}
			}
		})
	}
}

func otherNodes(cluster *fleet.Cluster, name string) []string {
	return slices.DeleteFunc(slices.Clone(cluster.NodeNames()), func(other string) bool { return other == name })
}

// TestFlapping makes engines repeatedly unreachable and reachable again. Nine tenths of the
// requests must succeed, and the engines must be used again once they stay reachable.
func TestFlapping(t *testing.T) {
	t.Parallel()
	cluster := fleet.NewCluster(1, fleet.RoutedShapes["large"].Plan())
	defer cluster.Close()
	cluster.Run(routedWarmupTime)
	facts := cluster.BeginRouted()
	names := busiest(cluster, 0, 2)
	for range 5 {
		for _, name := range names {
			cluster.Split([]string{name}, otherNodes(cluster, name), true)
		}
		cluster.Run(1200 * time.Millisecond)
		for _, name := range names {
			cluster.Split([]string{name}, otherNodes(cluster, name), false)
		}
		cluster.Run(1200 * time.Millisecond)
	}
	until := cluster.Now()
	cluster.Run(20 * time.Second)
	answered, asked := fleet.RoutedRate(cluster, facts.From, until)
	t.Logf("%d of %d requests succeeded", answered, asked)
	if answered*100 < asked*90 {
		t.Error("too few requests succeeded")
	}
	used := busiest(cluster, cluster.Now()-6*time.Second, 100)
	for _, name := range names {
		if !slices.Contains(used, name) {
			t.Errorf("%s is not used again", name)
		}
	}
}
