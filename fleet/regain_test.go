package fleet_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
	"swifttiller/permit"
)

// namesOf are the names of a plan's words, which stand before their zones.
func namesOf(words []string) (names []string) {
	for _, word := range words {
		name, _, _ := strings.Cut(word, ":")
		names = append(names, name)
	}
	return names
}

// rowsOf are, by data daemon, how many rows of a region its view has.
func rowsOf(park *fleet.Park, region string) map[string]int {
	out := map[string]int{}
	for name, daemon := range park.Datas {
		if one, has := daemon.Holder.View().Standings[region]; has {
			out[name] = len(one.Rows)
		}
	}
	return out
}

// TestProbesThatGoUnansweredEmptyNoRegion: a new holder of a region's duty has heard all
// replicas once and then none, though they serve; its standing goes on to name them.
func TestProbesThatGoUnansweredEmptyNoRegion(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		park := fleet.NewPark(seed, fleet.RoutedShapes["small"].Plan())
		park.Run(warmRouted)
		region := park.Regions()[0]
		before := park.Holder(region)
		park.Crash(before)
		took := park.Until(15*time.Second, func() bool {
			view := park.Datas[namesOf(park.Plan.Datas)[0]].Holder.View()
			holder := park.Holder(region)
			return holder != "" && holder != before && view.Standings[region].Duty > 1 && !view.Unkept[region] && park.Now()-view.Kept[region] < time.Second
		})
		if !took {
			t.Fatal("vacuous: nobody took the duty over")
		}
		for _, engine := range park.Engines {
			engine.IsDeaf = true
		}
		from := park.Now()
		for park.Now() < from+4*time.Second {
			park.Run(50 * time.Millisecond)
			for name, count := range rowsOf(park, region) {
				if count == 0 {
					t.Fatalf("seed %d: %s goes by no replica of %s, %v after probes went unanswered", seed, name, region, park.Now()-from)
				}
			}
		}
		answered, asked := fleet.RoutedRate(park, from, park.Now()-time.Second)
		if answered*20 < asked*19 || asked == 0 {
			t.Errorf("%d of %d were answered meanwhile", answered, asked)
		}
		park.Close()
	}
}

// TestStandingsComeBackSoon: after all daemons were lost at once, with regions 55 ms apart
// as a deployment has them, every data daemon goes by standings that are kept.
func TestStandingsComeBackSoon(t *testing.T) {
	worst := time.Duration(0)
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		park := fleet.NewPark(seed, fleet.RoutedShapes["small"].Plan())
		for _, from := range park.Names() {
			for _, to := range park.Names() {
				if fleet.Region(park.Zone(from)) != fleet.Region(park.Zone(to)) {
					park.Delay(from, to, 55*time.Millisecond)
				}
			}
		}
		park.Run(warmRouted)
		controls, datas := namesOf(slices.Concat(park.Plan.Controls, park.Plan.Diskless)), namesOf(park.Plan.Datas)
		for _, name := range slices.Concat(controls, datas) {
			park.Crash(name)
		}
		park.Run(1400 * time.Millisecond)
		for _, name := range controls {
			park.StartControl(name)
		}
		for _, name := range datas {
			park.StartData(name)
		}
		from := park.Now()
		isKept := func(view *permit.View) bool {
			for _, region := range park.Regions() {
				if _, has := view.Standings[region]; !has || view.Unkept[region] || len(view.Standings[region].Rows) == 0 {
					return false
				}
			}
			return view.Stands(park.Now())
		}
		if !park.Until(20*time.Second, func() bool {
			for _, name := range datas {
				if !isKept(park.Datas[name].Holder.View()) {
					return false
				}
			}
			return true
		}) {
			t.Fatalf("seed %d: standings do not come back", seed)
		}
		took := park.Now() - from
		worst = max(worst, took)
		t.Logf("seed %d: %v", seed, took)
		park.Close()
	}
	if worst > 2800*time.Millisecond {
		t.Errorf("standings were kept again only after %v", worst)
	}
}
