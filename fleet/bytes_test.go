package fleet_test

import (
	"slices"
	"testing"
	"time"

	"swifttiller/fleet"
)

// countCrossRegionBytes starts counting the bytes sent between regions, by rpc method. Only
// message bodies count, without the per-call overhead.
func countCrossRegionBytes(cluster *fleet.Cluster) map[string]int {
	counts := map[string]int{}
	cluster.OnBytes = func(from, to, method string, bytes int) {
		if fleet.Region(cluster.Zone(from)) != fleet.Region(cluster.Zone(to)) {
			counts[method] += bytes
		}
	}
	return counts
}

// newDistantCluster returns a simulated cluster whose regions are separated by the delay
// between from the start.
func newDistantCluster(seed uint64, plan fleet.Plan) *fleet.Cluster {
	cluster := fleet.NewCluster(seed, plan)
	for _, from := range cluster.NodeNames() {
		for _, to := range cluster.NodeNames() {
			if fleet.Region(cluster.Zone(from)) != fleet.Region(cluster.Zone(to)) {
				cluster.Delay(from, to, between)
			}
		}
	}
	return cluster
}

// checkByteBounds fails the test for each method whose bytes between regions exceed its bound.
func checkByteBounds(t *testing.T, phase string, bytes map[string]int, bounds map[string]int) {
	t.Helper()
	names := make([]string, 0, len(bytes))
	for name := range bytes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.Logf("%s: %d bytes of %s between regions", phase, bytes[name], name)
	}
	for name, bound := range bounds {
		if bytes[name] > bound {
			t.Errorf("%s: %d bytes of %s between regions", phase, bytes[name], name)
		}
	}
}

// TestStartOfAllBytes bounds the traffic between regions when all daemons restart at once after a
// power cut, during the ten seconds of rest that follow, and while a core machine is replaced.
// Initial grants must be short, anti-entropy repairs must transfer only what differs, and reads
// must refer to values that the reader already has by their version marks. A core change must
// send little to members that already have the data.
func TestStartOfAllBytes(t *testing.T) {
	t.Parallel()
	skipLong(t)
	plan := grownPlan(88, 90, 6)
	cluster := newDistantCluster(1, plan)
	defer cluster.Close()
	cluster.Run(15 * time.Second)
	controls, datas := powerCut(cluster)
	cluster.Run(3 * time.Second)
	afterPowerCut := countCrossRegionBytes(cluster)
	for _, name := range datas {
		cluster.StartData(name)
	}
	for _, name := range controls {
		cluster.Run(80 * time.Millisecond)
		cluster.StartControl(name)
	}
	cluster.Run(15 * time.Second)
	checkByteBounds(t, "after a power cut", afterPowerCut, map[string]int{"Permit.Renew": 130e3, "Register.Fetch": 50e3})
	for name, daemon := range cluster.Datas {
		if view := daemon.Holder.View(); !view.IsValid(cluster.Now()) || len(view.Members) != len(controls)+len(datas) {
			t.Errorf("%s has an invalid lease or the wrong number of members: %d", name, len(view.Members))
		}
	}
	steady := countCrossRegionBytes(cluster)
	cluster.Run(10 * time.Second)
	checkByteBounds(t, "ten seconds at rest", steady, map[string]int{"Register.Query": 240e3, "Session.Share": 150e3})
	replaced := countCrossRegionBytes(cluster)
	cluster.Crash("c6")
	cluster.Run(8 * time.Second)
	cluster.SetZone("fresh", "west-1")
	cluster.StartControl("fresh")
	if !cluster.Until(catchUp, func() bool { return cluster.IsCoreMember("fresh") }) {
		t.Error("the replacement core machine has no vote")
	}
	checkByteBounds(t, "a core machine that is replaced", replaced, map[string]int{"Register.Seal": 25e3, "Register.Install": 30e3})
}
