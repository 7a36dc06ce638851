package fleet_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/session"
)

// newSeparatedCluster starts a large fleet without callers whose regions are separated by the delay between,
// and warms it up.
func newSeparatedCluster(seed uint64, plan fleet.Plan) *fleet.Cluster {
	return newClusterWithRegionDelay(between, seed, plan)
}

// newClusterWithRegionDelay is apart with the given one-way delay between regions.
func newClusterWithRegionDelay(delay time.Duration, seed uint64, plan fleet.Plan) *fleet.Cluster {
	cluster := fleet.NewCluster(seed, plan)
	for _, from := range cluster.NodeNames() {
		for _, to := range cluster.NodeNames() {
			if fleet.Region(cluster.Zone(from)) != fleet.Region(cluster.Zone(to)) {
				cluster.Delay(from, to, delay)
			}
		}
	}
	cluster.Run(15 * time.Second)
	return cluster
}

// manyRoutes returns the plan's document with the given label, count routes and an origin of similar
// length. Hosts and prefixes are random, as repetitive text would be compressed and hide the
// document's length.
func manyRoutes(document string, label uint64, count int) []byte {
	draw := rand.New(rand.NewPCG(label, 1))
	var routes, origin []string
	for index := range count {
		name := fmt.Sprintf("r%d-%x", index, draw.Uint64())
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"%x.example","prefix":"/%x/%x/","kind":"streamed","timeout_ms":10000,"target_ms":1000,"gap_ms":300,"tries":2,"resume":true,"shares":[{"model":"roster","weight":1}]}`, name, draw.Uint32(), draw.Uint32(), draw.Uint32()))
		origin = append(origin, fmt.Sprintf(`{"name":%q,"was":"%x"}`, name, draw.Uint64()))
	}
	document = strings.Replace(document, "{", fmt.Sprintf(`{"label":%d,"routes":[%s],`, label, strings.Join(routes, ",")), 1)
	last := strings.LastIndex(document, "}")
	return []byte(document[:last] + `,"origin":{"routes":[` + strings.Join(origin, ",") + "]}}")
}

// TestGrownConfiguration verifies that a configuration with 1,300 routes is applied by 88 data
// daemons and acknowledged within a second. It is sent to each of them compressed and without its
// origin, which stays with the control daemons and is returned unchanged.
func TestGrownConfiguration(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("88 data daemons")
	}
	cluster := newSeparatedCluster(1, grownPlan(88, 90, 6))
	defer cluster.Close()
	for label := uint64(1); label <= 2; label++ {
		document := manyRoutes(cluster.Document, label, 1000+300*int(label-1))
		if !json.Valid(document) {
			t.Fatal("vacuous")
		}
		crossRegion, bytesByDaemon := 0, map[string]int{}
		cluster.OnBytes = func(from, to, method string, bytes int) {
			if fleet.Region(cluster.Zone(from)) != fleet.Region(cluster.Zone(to)) {
				crossRegion += bytes
			}
			if cluster.Datas[to] != nil {
				bytesByDaemon[to] += bytes
			}
		}
		began := cluster.Now()
		if _, err := replace(cluster, "c1", document, label-1); err != nil {
			t.Fatal(err)
		}
		took := cluster.Now() - began
		most := 0
		for name, daemon := range cluster.Datas {
			most = max(most, bytesByDaemon[name])
			if view := daemon.Holder.View(); view.Config().Label() != label || len(view.Config().Origin) > 0 || strings.Contains(string(view.Config().Document), `"origin"`) {
				t.Fatalf("%s applies label %d, with an origin of %d bytes", name, view.Config().Label(), len(view.Config().Origin))
			}
		}
		t.Logf("%d bytes: acknowledged after %v, %d bytes to a data daemon, %d between regions", len(document), took, most, crossRegion)
		if took > time.Second {
			t.Errorf("acknowledged after %v", took)
		}
		// It is sent once, from a control daemon of the same region. At 10 Mbit/s, 45,000 bytes
		// take 36 ms.
		if most > len(document)/2 || most > 45e3 || crossRegion > 8*len(document) {
			t.Errorf("a document of %d bytes: %d bytes to a data daemon, %d between regions", len(document), most, crossRegion)
		}
		if read, config := currentConfig(t, cluster, "c5"); read != label || string(config.WithOrigin()) != tight(document) {
			t.Error("the configuration read back is not the one that was written")
		}
	}
}

// TestChangesTravelAlone verifies that a leaving replica and a restarted data daemon cost every other
// daemon far less than a transfer of the whole lists, and that all lists agree at the end.
func TestChangesTravelAlone(t *testing.T) {
	t.Parallel()
	cluster := newSeparatedCluster(2, grownPlan(24, 90, 6))
	defer cluster.Close()
	measureGrants := func(do func()) (most float64) {
		idle, changed := map[string]int{}, map[string]int{}
		count := func(table map[string]int) {
			cluster.OnBytes = func(from, to, method string, bytes int) {
				if cluster.Datas[to] != nil && method == "Permit.Renew" && to != "d1" {
					table[to] += bytes
				}
			}
		}
		count(idle)
		cluster.Run(3 * time.Second)
		do()
		count(changed)
		cluster.Run(3 * time.Second)
		for name := range changed {
			most = max(most, float64(changed[name]-idle[name]))
		}
		if most <= 0 {
			t.Error("vacuous: no change was sent to a data daemon")
		}
		return most
	}
	leaving := cluster.Plan.Replicas[7].ID
	if more := measureGrants(func() { cluster.MarkLeavingInList(leaving) }); more > 4000 {
		t.Errorf("a leaving replica costs a data daemon %.0f bytes", more)
	} else {
		t.Logf("a leaving replica: %.0f bytes to a data daemon", more)
	}
	if more := measureGrants(func() { cluster.Crash("d1"); cluster.StartData("d1") }); more > 4000 {
		t.Errorf("a restarted data daemon costs another one %.0f bytes", more)
	} else {
		t.Logf("a restarted data daemon: %.0f bytes to another one", more)
	}
	var live []session.Member
	cluster.Must("c1", func(daemon *controlplane.Daemon) error {
		for _, entry := range daemon.Sessions.Live("") {
			live = append(live, entry.Member)
		}
		return nil
	})
	for name, daemon := range cluster.Datas {
		view := daemon.Holder.View()
		if session.Checksum(view.Members) != session.Checksum(live) {
			t.Errorf("%s has %d members instead of %d, or different ones", name, len(view.Members), len(live))
		}
		for region, entry := range view.RoutingTables {
			for _, place := range entry.Places {
				if place.ID == leaving {
					t.Errorf("%s still has %s in %s", name, leaving, region)
				}
			}
		}
	}
}

// TestNearestControlDaemon verifies that data daemons renew their leases at a control daemon of
// their own zone where there is one, and return to it after it was down.
func TestNearestControlDaemon(t *testing.T) {
	t.Parallel()
	plan := grownPlan(12, 18, 6)
	plan.Document = strings.Replace(plan.Document, `"zones":{"east-1":{}}`, `"zones":{"east-1":{},"east-2":{}}`, 1)
	plan.Controls[3], plan.Datas[3], plan.Datas[9] = "c4:east-2", "d4:east-2", "d10:east-2"
	cluster := fleet.NewCluster(3, plan)
	defer cluster.Close()
	cluster.Run(15 * time.Second)
	countCrossZone := func() (count, all int) {
		cluster.OnBytes = func(from, to, method string, _ int) {
			if cluster.Datas[from] != nil && cluster.Controls[to] != nil && method == "Permit.Renew" {
				if all++; cluster.Zone(from) != cluster.Zone(to) {
					count++
				}
			}
		}
		cluster.Run(5 * time.Second)
		return count, all
	}
	if count, all := countCrossZone(); count > 0 || all == 0 {
		t.Errorf("%d of %d renewals went to another zone", count, all)
	}
	cluster.Crash("c4")
	if count, all := countCrossZone(); count == 0 || count == all {
		t.Errorf("vacuous: %d of %d renewals went to another zone", count, all)
	}
	cluster.StartControl("c4")
	cluster.Run(10 * time.Second)
	if count, all := countCrossZone(); count > 0 || all == 0 {
		t.Errorf("after a restart %d of %d renewals went to another zone", count, all)
	}
}

// TestUnprobedRegionStays verifies that a control daemon that becomes the leader of a region while
// the region's replicas answer no health checks does not publish a routing table without replicas.
func TestUnprobedRegionStays(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { checkUnprobedRegion(t, seed) })
	}
}

func checkUnprobedRegion(t *testing.T, seed uint64) {
	plan := grownPlan(6, 18, 3)
	for index := range plan.Replicas {
		plan.Replicas[index].HidesVersions = true // the platform's list says which versions the replica holds
	}
	cluster := fleet.NewCluster(seed, plan)
	defer cluster.Close()
	cluster.Run(15 * time.Second)
	var controls, replicas []string
	holder := ""
	for name, daemon := range cluster.Controls {
		controls = append(controls, name)
		if _, held := daemon.Elections.Term(controlplane.RegionElection + "east"); held {
			holder = name
		}
	}
	for _, replica := range cluster.Plan.Replicas {
		replicas = append(replicas, replica.ID)
	}
	oldestTerm := func() uint64 {
		least := uint64(0)
		for name, daemon := range cluster.Datas {
			table := daemon.Holder.View().RoutingTables["east"]
			if len(table.Places) == 0 {
				t.Fatalf("at %v the routing table of %s for the region has no replica, serial %d", cluster.Now(), name, table.Serial)
			}
			if least = min(least, table.Duty); least == 0 {
				least = table.Duty
			}
		}
		return least
	}
	before := oldestTerm()
	cluster.Split(controls, replicas, true)
	cluster.Crash(holder)
	for range 200 {
		cluster.Run(50 * time.Millisecond)
		oldestTerm()
	}
	if oldestTerm() == before {
		t.Error("vacuous: no daemon took over the region's leadership")
	}
}

// TestDimRegionStays verifies that a control daemon that has just become the leader of a region,
// and whose first health checks succeeded, does not publish a routing table without replicas when
// the next ones fail.
func TestDimRegionStays(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for _, answered := range []time.Duration{500 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond} {
		plan := grownPlan(6, 18, 3)
		for index := range plan.Replicas {
			plan.Replicas[index].HidesVersions = true
		}
		cluster := fleet.NewCluster(4, plan)
		cluster.Run(15 * time.Second)
		var controls, replicas []string
		for name := range cluster.Controls {
			controls = append(controls, name)
		}
		for _, replica := range cluster.Plan.Replicas {
			replicas = append(replicas, replica.ID)
		}
		before := cluster.RegionLeader("east")
		cluster.Crash(before)
		if !cluster.Until(10*time.Second, func() bool { holder := cluster.RegionLeader("east"); return holder != "" && holder != before }) {
			t.Fatal("vacuous: no daemon took over the region's leadership")
		}
		cluster.Run(answered)
		cluster.Split(controls, replicas, true)
		for range 100 {
			cluster.Run(50 * time.Millisecond)
			for name, daemon := range cluster.Datas {
				if table := daemon.Holder.View().RoutingTables["east"]; len(table.Places) == 0 {
					t.Fatalf("answered for %v: at %v the routing table of %s for the region has no replica, serial %d", answered, cluster.Now(), name, table.Serial)
				}
			}
		}
		cluster.Close()
	}
}
