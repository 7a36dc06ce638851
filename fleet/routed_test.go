package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

func TestRoutedCalm(t *testing.T) {
	for name, shape := range fleet.RoutedShapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			park := fleet.NewPark(1, shape.Plan())
			defer park.Close()
			park.Run(20 * time.Second)
			park.Quiet = true
			park.Run(5 * time.Second)
			count := map[string]int{}
			for _, one := range park.RoutedRequests {
				count[one.Crowd.Name+" "+one.Verdict+" "+one.Tries[len(one.Tries)-1].Code]++
				if one.Wrong != "" {
					t.Error(one.ID, one.Wrong)
				}
			}
			read, kept := 0, 0
			for _, engine := range park.Engines {
				read += engine.ReadTokens
				kept += engine.KeptTokens
			}
			t.Log(count, len(park.Runs), park.Steps, park.Dialled, read, kept, park.Strayed)
		})
	}
}
