package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestDarkOnesCostFew: where a third of each region's engines go dark at once, of the requests
// that may be sent once only few are lost that many data daemons would each send there.
func TestDarkOnesCostFew(t *testing.T) {
	t.Parallel()
	skipLong(t)
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
