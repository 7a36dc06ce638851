package fleet_test

import (
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestNewLivesAreKnownSoon: where all replicas of a region crash and come back as new lives,
// every data daemon goes by these 1.7 s after they began, though the list is half a second
// behind and is asked for once a second in quiet times.
func TestNewLivesAreKnownSoon(t *testing.T) {
	t.Parallel()
	skipLong(t)
	worst, sum, count := time.Duration(0), time.Duration(0), 0
	for seed := uint64(1); seed <= 3; seed++ {
		park := fleet.NewPark(seed, fleet.RoutedShapes["large"].Plan())
		park.Run(warmRouted)
		facts := park.BeginRouted()
		for range 3 {
			each := func(do func(options fleet.EngineOptions)) {
				for _, options := range park.Plan.Engines {
					if strings.HasPrefix(options.Zone, "east") {
						do(options)
					}
				}
			}
			each(func(options fleet.EngineOptions) { park.Crash(options.Name) })
			park.Run(4 * time.Second)
			lives := map[string]bool{}
			each(func(options fleet.EngineOptions) {
				park.StartEngine(options)
				lives[park.Engines[options.Name].Life] = true
			})
			began := park.Now()
			isKnown := func() bool {
				for _, daemon := range park.Datas {
					known := 0
					for _, place := range daemon.Holder.View().RoutingTables["east"].Places {
						if lives[place.ID] {
							known++
						}
					}
					if known < len(lives) {
						return false
					}
				}
				return true
			}
			if !park.Until(8*time.Second, isKnown) {
				t.Fatalf("seed %d: not known", seed)
			}
			took := park.Now() - began
			worst, sum, count = max(worst, took), sum+took, count+1
			park.Run(4 * time.Second)
		}
		park.Quiet = true
		park.Run(6500 * time.Millisecond)
		broken, _ := fleet.CheckRouted(park, facts)
		show(t, seed, broken)
		park.Close()
	}
	t.Logf("known after %v, at the worst %v", sum/time.Duration(count), worst)
	if worst > 1700*time.Millisecond {
		t.Error("too late")
	}
}
