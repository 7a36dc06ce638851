package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestRegionOutOfReach checks requests that may be sent only once when one of their home regions is
// partitioned: the data daemons of a region that isn't one of the homes must lose few of them.
func TestRegionOutOfReach(t *testing.T) {
	t.Parallel()
	skipLong(t)
	lost, rejected, requests, inTime := 0, 0, 0, 0
	for seed := uint64(1); seed <= 2; seed++ {
		shape := fleet.GrownShape
		shape.LoadFactor = 1.6
		park := fleet.NewCluster(seed, shape.Plan())
		park.Run(routedWarmupTime)
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
		for _, request := range park.RoutedRequests {
			if request.At < began+20*time.Millisecond || request.At > began+5*time.Second || request.Crowd.Target != 600*time.Millisecond || fleet.Region(request.Crowd.Zone) == "sea" {
				continue
			}
			requests++
			last := request.Tries[len(request.Tries)-1]
			switch {
			case request.Verdict == "ok" && request.First-request.At <= request.Crowd.Target:
				inTime++
			case request.Verdict == "ok":
			case last.Status == 503:
				rejected++
			default:
				lost++
			}
		}
		park.Quiet = true
		park.Run(6500 * time.Millisecond)
		broken, _ := fleet.CheckRouted(park, facts)
		reportViolations(t, seed, broken)
		park.Close()
	}
	t.Logf("of %d requests, %d in time, %d lost, %d rejected", requests, inTime, lost, rejected)
	if requests == 0 || lost*100 > requests || inTime*100 < 87*requests {
		t.Error("too many requests are lost or late")
	}
}
