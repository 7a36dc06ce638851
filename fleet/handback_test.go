package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestHandBackNeedsNoRoutingTable verifies that a zone whose evacuation is revoked serves again as
// soon as the data daemons have the configuration, even if the leader that writes its region's
// routing table has just crashed. No request may be sent there before that, and afterwards no
// more than cold replicas can handle.
func TestHandBackNeedsNoRoutingTable(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for seed := uint64(1); seed <= 4; seed++ {
		cluster := fleet.NewCluster(seed, fleet.RoutedShapes["large"].Plan())
		cluster.Run(routedWarmupTime)
		facts := cluster.BeginRouted()
		if err := cluster.Evacuate(&facts, "east-1", false); err != nil {
			t.Fatal(err)
		}
		cluster.Run(4 * time.Second)
		holder := cluster.RegionLeader("east")
		if holder == "" {
			t.Fatal("the region has no leader")
		}
		cluster.Crash(holder)
		for _, options := range cluster.Plan.Engines {
			if options.Zone == "east-1" {
				cluster.Engines[options.Name].MakeCold()
			}
		}
		if err := cluster.Evacuate(&facts, "east-1", true); err != nil {
			t.Fatal(err)
		}
		back := cluster.Now()
		cluster.Run(800 * time.Millisecond)
		served := 0
		for _, run := range cluster.Runs {
			if run.At >= back && cluster.Zone(run.Engine) == "east-1" {
				served++
			}
		}
		t.Logf("seed %d: %d requests in the zone within 0.8 s after the evacuation was revoked", seed, served)
		if served < 5 {
			t.Error("too few requests were served in the zone")
		}
		cluster.StartControl(holder)
		cluster.Run(5 * time.Second)
		cluster.Quiet = true
		cluster.Run(6500 * time.Millisecond)
		violations, checked := fleet.CheckRouted(cluster, facts)
		reportViolations(t, seed, violations)
		if checked["cold"] == 0 {
			t.Error("vacuous: no engine was cold")
		}
		cluster.Close()
	}
}
