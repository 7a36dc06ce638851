package fleet_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"swifttiller/fleet"
)

// daemonNames returns the names of the control daemons and then of the data daemons, each sorted.
func daemonNames(cluster *fleet.Cluster) []string {
	return slices.Concat(slices.Sorted(maps.Keys(cluster.Controls)), slices.Sorted(maps.Keys(cluster.Datas)))
}

// checkUnplaced counts, by zone, the attempts of notice requests that arrived between from and
// until, and those that found no replica. It fails the test if these are more than one in oneIn
// in any zone.
func checkUnplaced(t *testing.T, cluster *fleet.Cluster, from, until time.Duration, oneIn int) {
	t.Helper()
	all, rejected := map[string]int{}, map[string]int{}
	for _, request := range cluster.RoutedRequests {
		if request.At < from || request.At > until || request.Crowd.Target != 600*time.Millisecond {
			continue
		}
		for _, attempt := range request.Tries {
			all[request.Crowd.Zone]++
			if attempt.Code == "no_replica" {
				rejected[request.Crowd.Zone]++
			}
		}
	}
	t.Logf("of %v attempts of notices, by zone, %v found no replica", all, rejected)
	for zone := range all {
		if rejected[zone]*oneIn > all[zone] {
			t.Errorf("%s: %d of %d attempts found no replica", zone, rejected[zone], all[zone])
		}
	}
}

// TestColdFleetServesAllRegions verifies that after a loss of all daemons, requests that cannot
// be served in their caller's region are served elsewhere at once, although all replicas count as
// cold for a while and those of a large fleet have a capacity of less than one request per
// daemon.
func TestColdFleetServesAllRegions(t *testing.T) {
	t.Parallel()
	skipLong(t)
	shape := fleet.GrownShape
	shape.Limits = map[string]float64{"alone_ms": 3600e3}
	cluster := fleet.NewCluster(1, shape.Plan())
	defer cluster.Close()
	cluster.Run(routedWarmupTime)
	facts := cluster.BeginRouted()
	lost := cluster.CrashAll(daemonNames(cluster))
	cluster.Run(800 * time.Millisecond)
	cluster.RestartAll(lost)
	began := cluster.Now()
	cluster.Run(8 * time.Second)
	checkUnplaced(t, cluster, began+time.Second, began+5*time.Second, 10)
	cluster.Quiet = true
	cluster.Run(6500 * time.Millisecond)
	violations, _ := fleet.CheckRouted(cluster, facts)
	reportViolations(t, 1, violations)
}

// TestSurgeAfterAPowerCut verifies that the callers of a large fleet, which all return at once
// after a power cut, are served although no leader maintains the routing tables yet: data daemons
// query the replicas themselves. Every third engine has become cold meanwhile and must not be
// sent more than a cold engine can handle.
func TestSurgeAfterAPowerCut(t *testing.T) {
	t.Parallel()
	skipLong(t)
	shape := fleet.GrownShape
	shape.LoadFactor = 3
	shape.Limits = map[string]float64{"alone_ms": 3600e3}
	cluster := fleet.NewCluster(1, shape.Plan())
	defer cluster.Close()
	cluster.Run(routedWarmupTime)
	facts := cluster.BeginRouted()
	lost := cluster.CrashAll(daemonNames(cluster))
	cluster.Run(800 * time.Millisecond)
	for index, options := range cluster.Plan.Engines {
		if index%3 == 0 {
			cluster.Engines[options.Name].MakeCold()
		}
	}
	cluster.RestartAll(lost)
	began := cluster.Now()
	cluster.Run(6 * time.Second)
	checkUnplaced(t, cluster, began-time.Second, began+5*time.Second, 50)
	cluster.Quiet = true
	cluster.Run(6500 * time.Millisecond)
	violations, checked := fleet.CheckRouted(cluster, facts)
	reportViolations(t, 1, violations)
	if checked["cold"] == 0 {
		t.Error("vacuous: no engine was cold")
	}
}
