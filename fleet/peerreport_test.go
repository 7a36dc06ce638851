package fleet_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"swifttiller/fleet"
)

// manyDaemons is a deployment whose first region has more data daemons than engines.
var manyDaemons = fleet.RoutedShape{Regions: []string{"north", "south"}, Engines: []int{10, 4}, Datas: []int{16, 2}, LoadFactor: 8, Reports: true}

// lostAt returns how many requests are lost in the 10 s after two engines of the first region begin
// to fail all requests, and how many were made. With areCutOff, data daemons can't reach each other.
func lostAt(t *testing.T, seed uint64, areCutOff bool) (lost, asked int) {
	t.Helper()
	cluster := fleet.NewCluster(seed, manyDaemons.Plan())
	defer cluster.Close()
	cluster.Run(routedWarmupTime)
	if areCutOff {
		names := slices.Sorted(maps.Keys(cluster.Datas))
		for _, name := range names {
			for _, other := range names {
				cluster.Cut(name, other, name != other)
			}
		}
	}
	for _, name := range []string{"e-north-3", "e-north-7"} {
		cluster.Engines[name].Grey = fleet.GrayFailure{How: "errors", Share: 1}
	}
	from := cluster.Now()
	cluster.Run(14 * time.Second)
	answered, asked := fleet.RoutedRate(cluster, from, from+10*time.Second)
	return asked - answered, asked
}

// TestPeersLearnOfFailures checks that daemons share reports of failing engines: without the reports,
// each daemon of a region loses requests of its own at an engine that fails all.
func TestPeersLearnOfFailures(t *testing.T) {
	t.Parallel()
	connected, apart := 0, 0
	seeds := []uint64{1, 2, 3, 4}
	if testing.Short() {
		seeds = seeds[1:2] // a simulation has one task at a time, so the race detector gains little from more
	}
	for _, seed := range seeds {
		lost, asked := lostAt(t, seed, false)
		t.Logf("seed %d: %d of %d requests lost with reports between daemons", seed, lost, asked)
		connected += lost
		lost, asked = lostAt(t, seed, true)
		t.Logf("seed %d: %d of %d requests lost without", seed, lost, asked)
		apart += lost
	}
	if connected*2 > apart {
		t.Errorf("worth: %d requests were lost with reports between daemons, %d without", connected, apart)
	}
}
