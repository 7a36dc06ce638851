package fleet_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestALapsedDutyEmptiesNoRegion: where control daemons can't reach one another for a while
// duties lapse and come back, also while their holder waits for what a standing is computed
// from. No region is shown without replicas for that.
func TestALapsedDutyEmptiesNoRegion(t *testing.T) {
	t.Parallel()
	skipLong(t)
	lapses := 0
	for seed := uint64(1); seed <= 3; seed++ {
		plan := grown(24, 60, 6)
		plan.Document = strings.Replace(plan.Document, `"limits":{`, `"limits":{"alone_ms":60000,"permit_ms":1800,"session_ms":1200,"platform_ms":1000,"dark_ms":900,"probe_ms":450,`, 1)
		park := apart(seed, plan)
		controls := slices.Sorted(maps.Keys(park.Controls))
		for range 6 {
			split := func(isCut bool) {
				for at, name := range controls {
					park.Split([]string{name}, controls[at+1:], isCut)
				}
			}
			split(true)
			healed := time.Duration(1200+park.Draw(1200)) * time.Millisecond
			for spent := time.Duration(0); spent < 5*time.Second; spent += 20 * time.Millisecond {
				if spent >= healed && spent < healed+20*time.Millisecond {
					split(false)
				}
				park.Run(20 * time.Millisecond)
				for _, region := range park.Regions() {
					if park.Holder(region) == "" {
						lapses++
					}
				}
				for name, daemon := range park.Datas {
					for region, one := range daemon.Holder.View().RoutingTables {
						if len(one.Places) == 0 {
							t.Fatalf("emptied: seed %d, %v: %s goes by a standing of %s without replicas", seed, park.Now(), name, region)
						}
					}
				}
			}
		}
		park.Close()
	}
	t.Logf("%d sights of a duty that nobody held", lapses)
	if lapses < 20 {
		t.Error("vacuous: duties did not lapse")
	}
}
