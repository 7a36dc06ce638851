package fleet_test

import (
	"testing"
	"time"

	"swifttiller/controlplane"
)

// TestDiskTakesWritesAgain verifies that a core machine whose disk was full votes again once there is
// space, without a restart, so that another core machine may fail. Changes are then acknowledged, and
// those acknowledged before persist. For the incident see docs/incidents/full-disk.md.
func TestDiskTakesWritesAgain(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		cluster := faultlessFleet(seed)
		defer cluster.Close()
		zone := cluster.Zone(cluster.Plan.Replicas[0].ID)
		evacuate := func(at string, back bool) {
			t.Helper()
			if err := cluster.Do(at, 10*time.Second, func(daemon *controlplane.Daemon) error {
				_, err := daemon.Evacuate(zone, back)
				return err
			}); err != nil {
				t.Errorf("evacuation order at %s: %v", at, err)
			}
		}
		cluster.Node("c1").Disk.Full = true
		evacuate("c2", false)
		cluster.Run(3 * time.Second)
		cluster.Node("c1").Disk.Full = false
		cluster.Run(5 * time.Second)
		// c3, which never returns, has a copy that c1 lacked.
		cluster.Kill("c3")
		cluster.Run(3 * time.Second)
		if _, config := currentConfig(t, cluster, "c1"); len(config.Evacuated) != 1 || config.Evacuated[0] != zone {
			t.Errorf("evacuated: %v", config.Evacuated)
		}
		evacuate("c2", true)
		// What c1 accepted survives its restart.
		cluster.Kill("c1")
		cluster.Run(time.Second)
		cluster.StartControl("c1")
		cluster.Run(3 * time.Second)
		if _, config := currentConfig(t, cluster, "c1"); len(config.Evacuated) != 0 {
			t.Errorf("still evacuated after the evacuation was revoked: %v", config.Evacuated)
		}
	})
}
