package fleet_test

import (
	"slices"
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestLivesThatAreOverAreTold: where all machines of a region were lost and come back, its
// engines under new lives, the data daemons there do not each find out by requests of their
// own which lives are over: whoever holds the region's duty tells them.
func TestLivesThatAreOverAreTold(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for seed := uint64(1); seed <= 2; seed++ {
		shape := fleet.GrownShape
		shape.Limits = map[string]float64{"alone_ms": 3600e3}
		park := fleet.NewPark(seed, shape.Plan())
		park.Run(warmRouted)
		facts := park.BeginRouted()
		var inside []string
		for _, name := range park.NodeNames() {
			if fleet.Region(park.Zone(name)) == "sea" {
				inside = append(inside, name)
			}
		}
		ends := park.Lose(inside)
		park.Run(6 * time.Second)
		before := len(park.Runs)
		// Daemons have their permits sooner than the list shows the engines' new lives.
		park.Return(slices.DeleteFunc(slices.Clone(ends), func(name string) bool { return park.Engines[name] == nil }))
		park.Run(500 * time.Millisecond)
		park.Return(slices.DeleteFunc(slices.Clone(ends), func(name string) bool { return park.Engines[name] != nil }))
		began := park.Now()
		park.Run(4 * time.Second)
		elsewhere := 0
		for _, run := range park.Runs[before:] {
			if run.Elsewhere {
				elsewhere++
			}
		}
		asked, declined := 0, 0
		for _, one := range park.RoutedRequests {
			if one.At < began || one.At > began+4*time.Second || fleet.Region(one.Crowd.Zone) != "sea" {
				continue
			}
			asked++
			if last := one.Tries[len(one.Tries)-1]; one.Verdict != "ok" && last.Status == 503 {
				declined++
			}
		}
		t.Logf("seed %d: %d requests came to lives that are over; of %d of the region's callers %d were declined", seed, elsewhere, asked, declined)
		if elsewhere > 2*shape.Engines[2] || asked == 0 {
			t.Errorf("seed %d: %d requests came to lives that are over", seed, elsewhere)
		}
		park.Quiet = true
		park.Run(6500 * time.Millisecond)
		broken, _ := fleet.CheckRouted(park, facts)
		show(t, seed, broken)
		park.Close()
	}
}
