package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestRegionOutOfReach: where one of the homes of requests that may be sent once only goes
// dark, the data daemons of a region that is none of them lose few of them there.
func TestRegionOutOfReach(t *testing.T) {
	t.Parallel()
	skipLong(t)
	lost, declined, asked, inTime := 0, 0, 0, 0
	for seed := uint64(1); seed <= 2; seed++ {
		shape := fleet.GrownShape
		shape.Busy = 1.6
		park := fleet.NewPark(seed, shape.Plan())
		park.Run(warmRouted)
		facts := park.BeginRouted()
		var inside, outside []string
		for _, name := range park.NodeNames() {
			if fleet.Region(park.Zone(name)) == "sea" {
				inside = append(inside, name)
			} else {
				outside = append(outside, name)
			}
		}
		began := park.Now()
		park.Split(inside, outside, true)
		park.Run(5 * time.Second)
		park.Split(inside, outside, false)
		park.Run(5 * time.Second)
		for _, one := range park.RoutedRequests {
			if one.At < began+20*time.Millisecond || one.At > began+5*time.Second || one.Crowd.Target != 600*time.Millisecond || fleet.Region(one.Crowd.Zone) == "sea" {
				continue
			}
			asked++
			last := one.Tries[len(one.Tries)-1]
			switch {
			case one.Verdict == "ok" && one.First-one.At <= one.Crowd.Target:
				inTime++
			case one.Verdict == "ok":
			case last.Status == 503:
				declined++
			default:
				lost++
			}
		}
		park.Quiet = true
		park.Run(6500 * time.Millisecond)
		broken, _ := fleet.CheckRouted(park, facts)
		show(t, seed, broken)
		park.Close()
	}
	t.Logf("of %d, %d in time, %d lost, %d declined", asked, inTime, lost, declined)
	if asked == 0 || lost*100 > asked || inTime*100 < 87*asked {
		t.Error("too many are lost or late")
	}
}
