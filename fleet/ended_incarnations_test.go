package fleet_test

import (
	"slices"
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestEndedIncarnationsAreAnnounced loses all machines of a region and restarts them, its engines with new
// incarnations. The region's leader must announce which incarnations have ended, so that the data
// daemons there do not each find out by failed requests of their own.
func TestEndedIncarnationsAreAnnounced(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for seed := uint64(1); seed <= 2; seed++ {
		shape := fleet.GrownShape
		shape.Limits = map[string]float64{"alone_ms": 3600e3}
		cluster := fleet.NewCluster(seed, shape.Plan())
		cluster.Run(routedWarmupTime)
		facts := cluster.BeginRouted()
		var nodes []string
		for _, name := range cluster.NodeNames() {
			if fleet.Region(cluster.Zone(name)) == "sea" {
				nodes = append(nodes, name)
			}
		}
		lost := cluster.CrashAll(nodes)
		cluster.Run(6 * time.Second)
		before := len(cluster.Runs)
		// Daemons get their leases before the platform's list shows the engines' new incarnations.
		cluster.RestartAll(slices.DeleteFunc(slices.Clone(lost), func(name string) bool { return cluster.Engines[name] == nil }))
		cluster.Run(500 * time.Millisecond)
		cluster.RestartAll(slices.DeleteFunc(slices.Clone(lost), func(name string) bool { return cluster.Engines[name] != nil }))
		began := cluster.Now()
		cluster.Run(4 * time.Second)
		elsewhere := 0
		for _, run := range cluster.Runs[before:] {
			if run.Elsewhere {
				elsewhere++
			}
		}
		asked, rejected := 0, 0
		for _, request := range cluster.RoutedRequests {
			if request.At < began || request.At > began+4*time.Second || fleet.Region(request.Crowd.Zone) != "sea" {
				continue
			}
			asked++
			if last := request.Tries[len(request.Tries)-1]; request.Verdict != "ok" && last.Status == 503 {
				rejected++
			}
		}
		t.Logf("seed %d: %d requests were sent to ended incarnations; of %d requests of the region's callers %d were rejected", seed, elsewhere, asked, rejected)
		if elsewhere > 2*shape.Engines[2] || asked == 0 {
			t.Errorf("seed %d: %d requests were sent to ended incarnations", seed, elsewhere)
		}
		cluster.Quiet = true
		cluster.Run(6500 * time.Millisecond)
		violations, _ := fleet.CheckRouted(cluster, facts)
		reportViolations(t, seed, violations)
		cluster.Close()
	}
}
