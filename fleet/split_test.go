package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestLeasesComeFromAMajority checks that data daemons don't stay with a control daemon
// that still answers them but is partitioned from the core's majority: all must keep valid leases.
func TestLeasesComeFromAMajority(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation with one task at a time, of little use under the race detector")
	}
	for seed := uint64(1); seed <= 3; seed++ {
		park := fleet.NewCluster(seed, fleet.Sahayogi())
		park.Run(warmupTime)
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
			t.Errorf("seed %d: data daemons without a valid lease, by number of 40 samples: %v", seed, without)
		}
		park.Close()
	}
}
