package fleet_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"swifttiller/fleet"
)

// daemons are the names of all daemons, in order.
func daemons(park *fleet.Park) []string {
	return slices.Concat(slices.Sorted(maps.Keys(park.Controls)), slices.Sorted(maps.Keys(park.Datas)))
}

// unplaced counts the tries of notices that were begun in the span, and those of them that
// found no replica, by zone. No zone has more than one in so many of these.
func unplaced(t *testing.T, park *fleet.Park, from, until time.Duration, oneIn int) {
	t.Helper()
	all, declined := map[string]int{}, map[string]int{}
	for _, one := range park.RoutedRequests {
		if one.At < from || one.At > until || one.Crowd.Target != 600*time.Millisecond {
			continue
		}
		for _, try := range one.Tries {
			all[one.Crowd.Zone]++
			if try.Code == "no_replica" {
				declined[one.Crowd.Zone]++
			}
		}
	}
	t.Logf("of %v tries of notices, by zone, %v found no replica", all, declined)
	for zone := range all {
		if declined[zone]*oneIn > all[zone] {
			t.Errorf("%s: %d of %d", zone, declined[zone], all[zone])
		}
	}
}

// TestColdFleetServesAllRegions: after all machines were lost, requests that may not be
// served in their caller's region are served elsewhere at once, too, though all replicas
// count as cold for a while and those of a grown fleet bear less than one request a daemon.
func TestColdFleetServesAllRegions(t *testing.T) {
	t.Parallel()
	skipLong(t)
	shape := fleet.GrownShape
	shape.Limits = map[string]float64{"alone_ms": 3600e3}
	park := fleet.NewPark(1, shape.Plan())
	defer park.Close()
	park.Run(warmRouted)
	facts := park.BeginRouted()
	ends := park.Lose(daemons(park))
	park.Run(800 * time.Millisecond)
	park.Return(ends)
	began := park.Now()
	park.Run(8 * time.Second)
	unplaced(t, park, began+time.Second, began+5*time.Second, 10)
	park.Quiet = true
	park.Run(6500 * time.Millisecond)
	broken, _ := fleet.CheckRouted(park, facts)
	show(t, 1, broken)
}

// TestSurgeAfterAPowerCut: the callers of a grown fleet that come back all at once after its
// machines were lost are served, though nobody keeps the standings yet: data daemons ask the
// replicas themselves. Every third engine has become cold meanwhile, and is sent no more than
// a cold one bears.
func TestSurgeAfterAPowerCut(t *testing.T) {
	t.Parallel()
	skipLong(t)
	shape := fleet.GrownShape
	shape.Busy = 3
	shape.Limits = map[string]float64{"alone_ms": 3600e3}
	park := fleet.NewPark(1, shape.Plan())
	defer park.Close()
	park.Run(warmRouted)
	facts := park.BeginRouted()
	ends := park.Lose(daemons(park))
	park.Run(800 * time.Millisecond)
	for index, options := range park.Plan.Engines {
		if index%3 == 0 {
			park.Engines[options.Name].Chill()
		}
	}
	park.Return(ends)
	began := park.Now()
	park.Run(6 * time.Second)
	unplaced(t, park, began-time.Second, began+5*time.Second, 50)
	park.Quiet = true
	park.Run(6500 * time.Millisecond)
	broken, judged := fleet.CheckRouted(park, facts)
	show(t, 1, broken)
	if judged["cold"] == 0 {
		t.Error("vacuous: no engine was cold")
	}
}
