package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestHandBackNeedsNoStanding: a zone that is handed back serves as soon as the data daemons have
// the configuration, also where whoever writes its region's standing is lost just then; and
// until it was, and beyond what cold replicas bear after, nothing is sent there.
func TestHandBackNeedsNoStanding(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for seed := uint64(1); seed <= 4; seed++ {
		cluster := fleet.NewPark(seed, fleet.RoutedShapes["large"].Plan())
		cluster.Run(warmRouted)
		facts := cluster.BeginRouted()
		if err := cluster.Evacuate(&facts, "east-1", false); err != nil {
			t.Fatal(err)
		}
		cluster.Run(4 * time.Second)
		holder := cluster.Holder("east")
		if holder == "" {
			t.Fatal("nobody holds the duty")
		}
		cluster.Crash(holder)
		for _, options := range cluster.Plan.Engines {
			if options.Zone == "east-1" {
				cluster.Engines[options.Name].Chill()
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
		t.Logf("seed %d: %d requests in the zone in 0.8 s", seed, served)
		if served < 5 {
			t.Error("too few")
		}
		cluster.StartControl(holder)
		cluster.Run(5 * time.Second)
		cluster.Quiet = true
		cluster.Run(6500 * time.Millisecond)
		broken, judged := fleet.CheckRouted(cluster, facts)
		show(t, seed, broken)
		if judged["cold"] == 0 {
			t.Error("vacuous: no engine was cold")
		}
		cluster.Close()
	}
}
