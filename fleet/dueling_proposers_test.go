package fleet_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestLeasesRenewDuringChanges verifies that leases are renewed in time on a large fleet with a
// long delay between regions while configurations are written one after the other. It guards
// against dueling proposers: control daemons that read a register during a write must not outbid
// the ballot of its writer, or one another's.
func TestLeasesRenewDuringChanges(t *testing.T) {
	t.Parallel()
	skipLong(t)
	const regionDelay = 55 * time.Millisecond
	shortest := time.Duration(1 << 62)
	var slowest time.Duration
	for seed := uint64(1); seed <= 3; seed++ {
		plan := grownPlan(64, 30, 6)
		plan.Document = strings.Replace(plan.Document, `"limits":{`, fiveSecondLimits, 1)
		cluster := newClusterWithRegionDelay(regionDelay, seed, plan)
		for turn := range 6 {
			label := uint64(turn + 1)
			document := bytes.Replace([]byte(cluster.Document), []byte("{"), fmt.Appendf(nil, `{"label":%d,`, label), 1)
			began := cluster.Now()
			if _, err := replace(cluster, fmt.Sprintf("c%d", turn%6+1), document, label-1); err != nil {
				t.Fatal(err)
			}
			slowest = max(slowest, cluster.Now()-began)
			for range 60 {
				cluster.Run(20 * time.Millisecond)
				for _, daemon := range cluster.Datas {
					shortest = min(shortest, daemon.Holder.View().Deadline-cluster.Now())
				}
			}
		}
		cluster.Close()
	}
	t.Logf("the shortest remaining lease time was %v, the slowest change took %v", shortest, slowest)
	// A data daemon that got no grant retries after a sixth of the lease time.
	if shortest < 400*time.Millisecond {
		t.Errorf("a lease of 2.4 s had only %v left", shortest)
	}
}
