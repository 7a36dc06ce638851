package fleet_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"swifttiller/fleet"
)

// countCrossRegionCalls returns the bytes and messages sent between regions while the step runs,
// by rpc method.
func countCrossRegionCalls(cluster *fleet.Cluster, step func()) (bytes, calls map[string]int) {
	bytes, calls = map[string]int{}, map[string]int{}
	cluster.OnBytes = func(from, to, method string, count int) {
		if fleet.Region(cluster.Zone(from)) != fleet.Region(cluster.Zone(to)) {
			bytes[method] += count
			calls[method]++
		}
	}
	step()
	cluster.OnBytes = nil
	return bytes, calls
}

// TestLongValuesTravelOnce verifies that the register traffic between regions for a long
// configuration depends on the number of acceptors and not on the number of reads or readers, and
// that an unchanged configuration is not sent again when the core changes.
func TestLongValuesTravelOnce(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("88 data daemons")
	}
	cluster := newSeparatedCluster(1, grownPlan(88, 90, 6))
	defer cluster.Close()
	measureStep := func(phase string, step func()) (queries, accepts, copies int) {
		bytes, calls := countCrossRegionCalls(cluster, step)
		for _, method := range slices.Sorted(maps.Keys(bytes)) {
			t.Logf("%s: %s: %d messages, %d bytes", phase, method, calls[method], bytes[method])
		}
		return bytes["Register.Query"], bytes["Register.Accept"], calls["Register.Accept"]
	}
	idle, _, _ := measureStep("calm, 5 s", func() { cluster.Run(5 * time.Second) })
	packed := 0
	for label := uint64(1); label <= 3; label++ {
		document := manyRoutes(cluster.Document, label, 1400)
		queries, accepts, _ := measureStep("a change, 2 s", func() {
			if _, err := replace(cluster, "c1", document, label-1); err != nil {
				t.Error(err)
			}
			cluster.Run(2 * time.Second)
		})
		// Three acceptors are in other regions than the writer, and each gets the value once.
		if packed = accepts / 3; packed < 50e3 {
			t.Fatalf("vacuous: the configuration has %d bytes", packed)
		}
		if queries > idle+2*packed {
			t.Errorf("control traffic: a change: %d bytes of queries between regions, %d at rest, for a configuration of %d bytes", queries, idle, packed)
		}
	}
	queries, accepts, _ := measureStep("a core machine that lost its disk, 10 s", func() {
		cluster.Crash("c3")
		cluster.Node("c3").Disk.Wipe()
		cluster.Run(time.Second)
		cluster.StartControl("c3")
		cluster.Run(9 * time.Second)
	})
	if queries > 4*idle+2*packed || accepts > 2*packed {
		t.Errorf("control traffic: a core machine that lost its disk: %d bytes of queries and %d of accepts between regions, %d of queries at rest, for a configuration of %d bytes", queries, accepts, idle, packed)
	}
}

// loadedPlan returns the plan of a large fleet whose engines have callers.
func loadedPlan(busy float64) fleet.Plan {
	plan := fleet.RoutedShape{Regions: []string{"east", "middle", "west"}, Engines: []int{40, 30, 20}, Datas: []int{29, 31, 28}, LoadFactor: busy, Reports: true}.Plan()
	for index, spec := range plan.Controls {
		plan.Controls = append(plan.Controls, "c"+string(rune('4'+index))+spec[2:])
	}
	return plan
}

// TestFailureReportsAreBounded bounds the session reports that control daemons share between regions
// for data daemons with callers: 900 bytes per second and data daemon at rest, and 1,300 while
// replicas fail and after a region was partitioned.
func TestFailureReportsAreBounded(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("88 data daemons")
	}
	cluster := newSeparatedCluster(1, loadedPlan(3))
	defer cluster.Close()
	measureShares := func(phase string) int {
		bytes, calls := countCrossRegionCalls(cluster, func() { cluster.Run(4 * time.Second) })
		t.Logf("%s, 4 s: %d shares between regions, %d bytes; %d requests and %d runs since the start", phase, calls["Session.Share"], bytes["Session.Share"], len(cluster.RoutedRequests), len(cluster.Runs))
		return bytes["Session.Share"]
	}
	idle := measureShares("calm")
	if idle > 4*900*len(cluster.Datas) || idle == 0 {
		t.Errorf("control traffic: %d bytes of shares between regions in 4 s at rest", idle)
	}
	for index, options := range cluster.Plan.Engines {
		if index%8 == 0 {
			cluster.Engines[options.Name].Grey = fleet.GrayFailure{How: "errors", Share: 0.5}
		}
	}
	before := len(cluster.Runs)
	if failing := measureShares("an eighth of the replicas fails"); failing > 4*1300*len(cluster.Datas) || len(cluster.Runs)-before < 500 {
		t.Errorf("control traffic: %d bytes of shares between regions in 4 s while replicas fail, %d at rest", failing, idle)
	}
	var west, rest []string
	for _, name := range cluster.NodeNames() {
		if fleet.Region(cluster.Zone(name)) == "west" {
			west = append(west, name)
		} else {
			rest = append(rest, name)
		}
	}
	cluster.Split(west, rest, true)
	cluster.Run(4 * time.Second) // messages sent meanwhile are lost
	cluster.Split(west, rest, false)
	if healed := measureShares("a region is back"); healed > 4*1300*len(cluster.Datas) {
		t.Errorf("control traffic: %d bytes of shares between regions in 4 s after a partition, %d at rest", healed, idle)
	}
}

// TestStandingStaysOverConfigurations verifies that a configuration that does not affect what a
// region's replicas may be sent causes no write of its routing table, so that no new table is
// sent to the data daemons.
func TestStandingStaysOverConfigurations(t *testing.T) {
	t.Parallel()
	skipLong(t)
	cluster := newSeparatedCluster(3, grownPlan(12, 36, 3))
	defer cluster.Close()
	serials := func() map[string]uint64 {
		out := map[string]uint64{}
		for region, table := range cluster.Datas["d1"].Holder.View().RoutingTables {
			out[region] = table.Serial
		}
		return out
	}
	before := serials()
	for label := uint64(1); label <= 4; label++ {
		if _, err := replace(cluster, "c1", manyRoutes(cluster.Document, label, 20), label-1); err != nil {
			t.Fatal(err)
		}
		cluster.Run(time.Second)
	}
	cluster.Run(2 * time.Second)
	if after := serials(); len(before) != 3 || !maps.Equal(before, after) {
		t.Errorf("control traffic: routing tables went from serials %v to %v over four configurations", before, after)
	}
	if label := cluster.Datas["d1"].Holder.View().Config().Label(); label != 4 {
		t.Errorf("vacuous: the data daemon applies the configuration with label %d", label)
	}
	cluster.MarkLeavingInList(cluster.Plan.Replicas[0].ID)
	cluster.Run(3 * time.Second)
	if maps.Equal(before, serials()) {
		t.Error("vacuous: no routing table is ever written")
	}
}
