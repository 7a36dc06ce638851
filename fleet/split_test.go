package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

// A control daemon that has lost the core still answers; data daemons must not
// stay with it.
func TestPermitsComeFromWhoeverSeesAMajority(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation; the race detector has one task at a time to look at")
	}
	for seed := uint64(1); seed <= 3; seed++ {
		park := fleet.NewPark(seed, fleet.Sahayogi())
		park.Run(warm)
		park.Split([]string{"c1"}, []string{"c2", "c3", "c4"}, true)
		without := map[string]int{}
		for turn := 0; turn < 40; turn++ {
			park.Run(250 * time.Millisecond)
			for name, daemon := range park.Datas {
				if !daemon.Holder.View().IsValid(park.Now()) {
					without[name]++
				}
			}
		}
		if len(without) > 0 {
			t.Errorf("seed %d: without a permit, of 40 looks: %v", seed, without)
		}
		park.Close()
	}
}
