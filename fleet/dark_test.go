package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestDarkOnesCostFew cuts off a third of each region's engines at once. Requests that may be
// sent only once are lost if they go to such an engine. Many data daemons could each lose some before
// they notice, but at most one request in a hundred may end with 502.
func TestDarkOnesCostFew(t *testing.T) {
	t.Parallel()
	skipLong(t)
	lost, asked := 0, 0
	for seed := uint64(1); seed <= 3; seed++ {
		shape := fleet.RoutedShapes["large"]
		shape.Datas = []int{8, 8, 8}
		cluster := fleet.NewCluster(seed, shape.Plan())
		cluster.Run(routedWarmupTime)
		facts := cluster.BeginRouted()
		for turn := range 4 {
			var dark []string
			for index, options := range cluster.Plan.Engines {
				if index%3 == turn%3 {
					dark = append(dark, options.Name)
				}
			}
			began := cluster.Now()
			for _, name := range dark {
				cluster.Split([]string{name}, otherNodes(cluster, name), true)
			}
			cluster.Run(2 * time.Second)
			for _, name := range dark {
				cluster.Split([]string{name}, otherNodes(cluster, name), false)
			}
			cluster.Run(6 * time.Second)
			for _, request := range cluster.RoutedRequests {
				// Requests in flight when the engines are cut off are lost in any case.
				if request.At < began+20*time.Millisecond || request.At > began+2*time.Second {
					continue
				}
				asked++
				if last := request.Tries[len(request.Tries)-1]; request.Verdict != "ok" && last.Status == 502 {
					lost++
				}
			}
		}
		cluster.Quiet = true
		cluster.Run(6500 * time.Millisecond)
		violations, _ := fleet.CheckRouted(cluster, facts)
		reportViolations(t, seed, violations)
		cluster.Close()
	}
	t.Logf("%d of %d ended with 502", lost, asked)
	if asked == 0 || lost*100 > asked {
		t.Error("too many requests were lost to unreachable engines")
	}
}
