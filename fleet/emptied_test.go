package fleet_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestLapsedLeadershipKeepsReplicas partitions the control daemons from one another repeatedly, so that
// leaderships lapse and are regained, also while the leader waits for the inputs of a routing
// table. A region's routing table must never be without replicas because of that.
func TestLapsedLeadershipKeepsReplicas(t *testing.T) {
	t.Parallel()
	skipLong(t)
	lapses := 0
	for seed := uint64(1); seed <= 3; seed++ {
		plan := grownPlan(24, 60, 6)
		plan.Document = strings.Replace(plan.Document, `"limits":{`, `"limits":{"alone_ms":60000,"permit_ms":1800,"session_ms":1200,"platform_ms":1000,"dark_ms":900,"probe_ms":450,`, 1)
		cluster := newSeparatedCluster(seed, plan)
		controls := slices.Sorted(maps.Keys(cluster.Controls))
		for range 6 {
			split := func(isCut bool) {
				for at, name := range controls {
					cluster.Split([]string{name}, controls[at+1:], isCut)
				}
			}
			split(true)
			healed := time.Duration(1200+cluster.Draw(1200)) * time.Millisecond
			for spent := time.Duration(0); spent < 5*time.Second; spent += 20 * time.Millisecond {
				if spent >= healed && spent < healed+20*time.Millisecond {
					split(false)
				}
				cluster.Run(20 * time.Millisecond)
				for _, region := range cluster.Regions() {
					if cluster.RegionLeader(region) == "" {
						lapses++
					}
				}
				for name, daemon := range cluster.Datas {
					for region, table := range daemon.Holder.View().RoutingTables {
						if len(table.Places) == 0 {
							t.Fatalf("emptied: seed %d, %v: %s uses a routing table of %s without replicas", seed, cluster.Now(), name, region)
						}
					}
				}
			}
		}
		cluster.Close()
	}
	t.Logf("%d observations of a region without a leader", lapses)
	if lapses < 20 {
		t.Error("vacuous: leaderships did not lapse")
	}
}
