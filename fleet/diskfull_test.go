package fleet_test

import (
	"testing"
	"time"

	"swifttiller/controlplane"
)

// TestDiskTakesWritesAgain: a core machine whose disk was full votes again once there is room,
// without a start, so that another one may be lost: orders are acknowledged, and what was
// acknowledged before stands (a day of the users' bench: docs/incidents/full-disk.md).
func TestDiskTakesWritesAgain(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		cluster := ordering(seed)
		defer cluster.Close()
		zone := cluster.Zone(cluster.Plan.Replicas[0].ID)
		evacuate := func(at string, back bool) {
			t.Helper()
			if err := cluster.Do(at, 10*time.Second, func(daemon *controlplane.Daemon) error {
				_, err := daemon.Evacuate(zone, back)
				return err
			}); err != nil {
				t.Errorf("at %s: %v", at, err)
			}
		}
		cluster.Node("c1").Disk.Full = true
		evacuate("c2", false)
		cluster.Run(3 * time.Second)
		cluster.Node("c1").Disk.Full = false
		cluster.Run(5 * time.Second)
		// The one that leaves for good has a copy that c1 lacked.
		cluster.Kill("c3")
		cluster.Run(3 * time.Second)
		if _, config := newest(t, cluster, "c1"); len(config.Evacuated) != 1 || config.Evacuated[0] != zone {
			t.Errorf("evacuated: %v", config.Evacuated)
		}
		evacuate("c2", true)
		// What c1 has lasts.
		cluster.Kill("c1")
		cluster.Run(time.Second)
		cluster.StartControl("c1")
		cluster.Run(3 * time.Second)
		if _, config := newest(t, cluster, "c1"); len(config.Evacuated) != 0 {
			t.Errorf("evacuated after it was taken back: %v", config.Evacuated)
		}
	})
}
