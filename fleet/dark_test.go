package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestDarkOnesCostFew: where a third of each region's engines go dark at once, of the requests
// that may be sent once only few are lost that many data daemons would each send there.
func TestDarkOnesCostFew(t *testing.T) {
	lost, asked := 0, 0
	for seed := uint64(1); seed <= 3; seed++ {
		shape := fleet.RoutedShapes["large"]
		shape.Datas = []int{8, 8, 8}
		park := fleet.NewPark(seed, shape.Plan())
		park.Run(warmRouted)
		facts := park.BeginRouted()
		for turn := range 4 {
			var dark []string
			for index, options := range park.Plan.Engines {
				if index%3 == turn%3 {
					dark = append(dark, options.Name)
				}
			}
			began := park.Now()
			for _, name := range dark {
				park.Split([]string{name}, others(park, name), true)
			}
			park.Run(2 * time.Second)
			for _, name := range dark {
				park.Split([]string{name}, others(park, name), false)
			}
			park.Run(6 * time.Second)
			for _, one := range park.RoutedRequests {
				// Those under way when the dark begins are lost in any case.
				if one.At < began+20*time.Millisecond || one.At > began+2*time.Second {
					continue
				}
				asked++
				if last := one.Tries[len(one.Tries)-1]; one.Verdict != "ok" && last.Status == 502 {
					lost++
				}
			}
		}
		park.Quiet = true
		park.Run(6500 * time.Millisecond)
		broken, _ := fleet.CheckRouted(park, facts)
		show(t, seed, broken)
		park.Close()
	}
	t.Logf("%d of %d ended with 502", lost, asked)
	if asked == 0 || lost*100 > asked {
		t.Error("too many")
	}
}

// TestCutRegionCostsFew: where the callers of an evacuated region are served in others, and
// the engines of one of these can't be reached of a sudden, few requests that may be sent
// once only are lost on the way there: nothing comes from it, which is found out first.
func TestCutRegionCostsFew(t *testing.T) {
	lost, well, asked := 0, 0, 0
	for seed := uint64(1); seed <= 4; seed++ {
		park := fleet.NewPark(seed, fleet.RoutedShapes["large"].Plan())
		park.Run(warmRouted)
		facts := park.BeginRouted()
		home := park.Zone(park.Plan.Engines[0].Name)
		if err := park.Evacuate(&facts, home, false); err != nil {
			t.Fatal(err)
		}
		park.Run(2 * time.Second)
		away := park.Zone(park.Plan.Engines[len(park.Plan.Engines)-1].Name)
		var cut, rest []string
		for _, name := range park.Names() {
			if park.Zone(name) == away && park.Engines[name] != nil {
				cut = append(cut, name)
			} else {
				rest = append(rest, name)
			}
		}
		began := park.Now()
		park.Split(cut, rest, true)
		park.Run(1500 * time.Millisecond)
		park.Split(cut, rest, false)
		park.Run(6 * time.Second)
		for _, one := range park.RoutedRequests {
			// Those under way when the cut begins, or sent within the quarter of a second in
			// which nobody can know of it, are lost in any case.
			if one.At < began+400*time.Millisecond || one.At > began+1500*time.Millisecond {
				continue
			}
			asked++
			if one.Verdict == "ok" {
				well++
			} else if one.Tries[len(one.Tries)-1].Status == 502 {
				lost++
			}
		}
		park.Quiet = true
		park.Run(6500 * time.Millisecond)
		broken, _ := fleet.CheckRouted(park, facts)
		show(t, seed, broken)
		park.Close()
	}
	t.Logf("%d of %d ended with 502, %d well", lost, asked, well)
	if asked == 0 || lost*100 > asked {
		t.Error("too many")
	}
}
