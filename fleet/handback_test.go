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
		park := fleet.NewPark(seed, fleet.RoutedShapes["large"].Plan())
		park.Run(warmRouted)
		facts := park.BeginRouted()
		if err := park.Evacuate(&facts, "east-1", false); err != nil {
			t.Fatal(err)
		}
		park.Run(4 * time.Second)
		holder := park.Holder("east")
		if holder == "" {
			t.Fatal("nobody holds the duty")
		}
		park.Crash(holder)
		for _, options := range park.Plan.Engines {
			if options.Zone == "east-1" {
				park.Engines[options.Name].Chill()
			}
		}
		if err := park.Evacuate(&facts, "east-1", true); err != nil {
			t.Fatal(err)
		}
		back := park.Now()
		park.Run(800 * time.Millisecond)
		served := 0
		for _, run := range park.Runs {
			if run.At >= back && park.Zone(run.Engine) == "east-1" {
				served++
			}
		}
		t.Logf("seed %d: %d requests in the zone in 0.8 s", seed, served)
		if served < 5 {
			t.Error("too few")
		}
		park.StartControl(holder)
		park.Run(5 * time.Second)
		park.Quiet = true
		park.Run(6500 * time.Millisecond)
		broken, judged := fleet.CheckRouted(park, facts)
		show(t, seed, broken)
		if judged["cold"] == 0 {
			t.Error("vacuous: no engine was cold")
		}
		park.Close()
	}
}
