package fleet_test

import (
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestNewIncarnationsAreKnownSoon crashes all replicas of a region and restarts them with new
// incarnations. Every data daemon's routing table must name the new incarnations within 1.7 s of the
// restart, although the platform's replica list lags by half a second and is polled only once
// a second when nothing changes.
func TestNewIncarnationsAreKnownSoon(t *testing.T) {
	t.Parallel()
	skipLong(t)
	worst, sum, count := time.Duration(0), time.Duration(0), 0
	for seed := uint64(1); seed <= 3; seed++ {
		cluster := fleet.NewCluster(seed, fleet.RoutedShapes["large"].Plan())
		cluster.Run(routedWarmupTime)
		facts := cluster.BeginRouted()
		for range 3 {
			each := func(do func(options fleet.EngineOptions)) {
				for _, options := range cluster.Plan.Engines {
					if strings.HasPrefix(options.Zone, "east") {
						do(options)
					}
				}
			}
			each(func(options fleet.EngineOptions) { cluster.Crash(options.Name) })
			cluster.Run(4 * time.Second)
			lives := map[string]bool{}
			each(func(options fleet.EngineOptions) {
				cluster.StartEngine(options)
				lives[cluster.Engines[options.Name].Life] = true
			})
			began := cluster.Now()
			isKnown := func() bool {
				for _, daemon := range cluster.Datas {
					seen := 0
					for _, endpoint := range daemon.Holder.View().RoutingTables["east"].Places {
						if lives[endpoint.ID] {
							seen++
						}
					}
					if seen < len(lives) {
						return false
					}
				}
				return true
			}
			if !cluster.Until(8*time.Second, isKnown) {
				t.Fatalf("seed %d: the new incarnations never reached all routing tables", seed)
			}
			took := cluster.Now() - began
			worst, sum, count = max(worst, took), sum+took, count+1
			cluster.Run(4 * time.Second)
		}
		cluster.Quiet = true
		cluster.Run(6500 * time.Millisecond)
		violations, _ := fleet.CheckRouted(cluster, facts)
		reportViolations(t, seed, violations)
		cluster.Close()
	}
	t.Logf("new incarnations known after %v on average, %v at the worst", sum/time.Duration(count), worst)
	if worst > 1700*time.Millisecond {
		t.Error("new incarnations became known too late")
	}
}
