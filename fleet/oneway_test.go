package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
)

// olderThan describes a data daemon that serves under an older version of the configuration than the
// given one; it returns "" if none does.
func olderThan(cluster *fleet.Cluster, version uint64) string {
	for name, daemon := range cluster.Datas {
		node := cluster.Node(name)
		if !node.Up() {
			continue
		}
		if view := daemon.Holder.View(); view.MayServe(node.Now()) && view.Serial < version {
			return fmt.Sprintf("%s serves under version %d", name, view.Serial)
		}
	}
	return ""
}

// towards delays or cuts the network paths from all control daemons to the data daemon, but not the
// paths back.
func towards(cluster *fleet.Cluster, data string, delay time.Duration, isCut bool) {
	for _, control := range []string{"c1", "c2", "c3"} {
		cluster.Delay(control, data, delay)
		cluster.Cut(control, data, isCut)
	}
}

// TestAnswersLateOneWay delays all replies to a data daemon by almost its timeout for lease requests,
// and then cuts them off. No configuration may be acknowledged while the daemon still serves under
// the previous one.
func TestAnswersLateOneWay(t *testing.T) {
	t.Parallel()
	shape := fleet.RoutedShapes["large"]
	length := 1800 * time.Millisecond
	last := uint64(3)
	if testing.Short() {
		last = 1
	}
	for seed := uint64(1); seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			cluster := fleet.NewCluster(seed, shape.Plan())
			defer cluster.Close()
			cluster.Run(routedWarmupTime)
			acknowledged := 0
			for round := range 8 {
				data := fmt.Sprintf("d-%s-1", shape.Regions[round%3])
				towards(cluster, data, length/2-50*time.Millisecond, false)
				cluster.Run(time.Duration(cluster.Draw(int64(length))))
				towards(cluster, data, length/2-50*time.Millisecond, true)
				document := []byte(shape.Document(shape.Routes()))
				if round%2 == 0 {
					document = []byte(shape.Document(fleet.RouteTexts{"check": shape.Routes()["check"]}))
				}
				version := uint64(0)
				err := cluster.Do("c2", 5*time.Second, func(daemon *controlplane.Daemon) error {
					applied, err := daemon.Apply(document, nil, false)
					version = applied.Serial
					return err
				})
				if err != nil {
					t.Errorf("round %d: %v", round, err)
					continue
				}
				acknowledged++
				for range 60 {
					if older := olderThan(cluster, version); older != "" {
						t.Fatalf("old config: %s, but version %d is acknowledged", older, version)
					}
					cluster.Run(30 * time.Millisecond)
				}
				towards(cluster, data, 0, false)
				cluster.Run(3 * time.Second)
			}
			if acknowledged < 6 {
				t.Errorf("vacuous: only %d changes were acknowledged", acknowledged)
			}
		})
	}
}
