package fleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/sim"
)

// routesDocument returns the plan's document with the given label and count routes, one per
// tenant. The host of the route with index moved, if there is one, depends on the label.
func routesDocument(document string, label uint64, count, moved int) []byte {
	var routes []string
	for index := range count {
		host := fmt.Sprintf("t%d.example", index)
		if index == moved {
			host = fmt.Sprintf("moved-%d.example", label)
		}
		routes = append(routes, fmt.Sprintf(`{"name":"tenant-%d","host":%q,"prefix":"/","kind":"streamed","timeout_ms":10000,"target_ms":1000,"gap_ms":300,"tries":2,"shares":[{"model":"roster","weight":1}]}`, index, host))
	}
	return []byte(strings.Replace(document, "{", fmt.Sprintf(`{"label":%d,"routes":[%s],`, label, strings.Join(routes, ",")), 1))
}

// tenantsDocument returns the plan's document with the given label, 100 routes and count tenants
// of two keys each. One key of the tenant with index changed, if there is one, depends on the
// label.
func tenantsDocument(document string, label uint64, count, changed int) []byte {
	var list []string
	for index := range count {
		keyVersion := uint64(0)
		if index == changed {
			keyVersion = label
		}
		list = append(list, fmt.Sprintf(`{"name":"tenant-%d","keys":["own-%d","drawn-%d-%d"],"per_s":131,"burst":131,"urgency":1}`, index, index, index, keyVersion))
	}
	return []byte(strings.Replace(string(routesDocument(document, label, 100, -1)), `"routes"`, `"tenants":[`+strings.Join(list, ",")+`],"routes"`, 1))
}

// routedFleet returns a small fleet without callers whose model may have routes.
func routedFleet(seed uint64) *fleet.Cluster {
	return fleet.NewCluster(seed, grownPlan(6, 18, 3))
}

// fetchStats counts the bytes and copies of configurations sent to data daemons, and how many
// copies were in flight to the same daemon at once.
type fetchStats struct {
	bytes       map[string]int // to and from each data daemon
	copies      map[string]int // editions sent to each
	since       map[string]time.Duration
	maxInFlight int // copies in flight to one lease holder at once
}

// trackFetches starts counting fetches. A copy is in flight from its request until the reply, or
// until the caller has given up, which is after a second.
func trackFetches(cluster *fleet.Cluster) *fetchStats {
	stats := &fetchStats{bytes: map[string]int{}, copies: map[string]int{}, since: map[string]time.Duration{}}
	cluster.OnBytes = func(from, to, method string, bytes int) {
		if method != "Permit.Fetch" && method != "Permit.Take" {
			return
		}
		data, isFetchRequest := to, false
		if cluster.Datas[from] != nil {
			data, isFetchRequest = from, method == "Permit.Fetch"
		}
		stats.bytes[data] += bytes
		switch {
		case isFetchRequest:
			stats.maxInFlight = max(stats.maxInFlight, 1)
			if at, isInFlight := stats.since[data]; isInFlight && cluster.Now()-at < time.Second {
				stats.maxInFlight = 2
			}
			stats.since[data] = cluster.Now()
		case method == "Permit.Fetch":
			stats.copies[data]++
			delete(stats.since, data)
		}
	}
	return stats
}

// checkDataDaemonsApply verifies that all running data daemons apply exactly this document, with
// these zones evacuated.
func checkDataDaemonsApply(t *testing.T, cluster *fleet.Cluster, document []byte, zones ...string) {
	t.Helper()
	for name, daemon := range cluster.Datas {
		if view := daemon.Holder.View(); cluster.Node(name).Up() && (string(view.Config().Document) != tight(document) || !slices.Equal(view.Config().Evacuated, zones)) {
			t.Errorf("%s applies label %d, serial %d instead of the decided configuration", name, view.Config().Label(), view.Serial)
		}
	}
}

// TestRouteTravelsAlone verifies that a change of one route or tenant sends each data daemon at most
// 1200 bytes, however many routes or tenants there are. A restarted daemon fetches the whole
// configuration once.
func TestRouteTravelsAlone(t *testing.T) {
	t.Parallel()
	sizes := []struct{ datas, count int }{{25, 21000}, {88, 1300}, {6, 30}}
	if testing.Short() {
		sizes = sizes[2:]
	}
	for _, size := range sizes {
		checkUpdateSize(t, size.datas, size.count, "routes", routesDocument)
		checkUpdateSize(t, size.datas, size.count, "tenants", tenantsDocument)
	}
}

func checkUpdateSize(t *testing.T, datas, count int, kind string, compose func(document string, label uint64, count, changed int) []byte) {
	cluster := newSeparatedCluster(3, grownPlan(datas, 36, 3))
	defer cluster.Close()
	label := uint64(1)
	if _, err := replace(cluster, "c1", compose(cluster.Document, 1, count, -1), 0); err != nil {
		t.Fatal(err)
	}
	cluster.Run(time.Second)
	for at, changed := range []int{count / 2, 0, count - 1} {
		stats := trackFetches(cluster)
		label++
		document := compose(cluster.Document, label, count, changed)
		began := cluster.Now()
		if _, err := replace(cluster, fmt.Sprintf("c%d", 1+at), document, label-1); err != nil {
			t.Fatal(err)
		}
		took := cluster.Now() - began
		cluster.Run(2 * time.Second)
		checkDataDaemonsApply(t, cluster, document)
		most := 0
		for name := range cluster.Datas {
			most = max(most, stats.bytes[name])
			if stats.copies[name] != 1 {
				t.Errorf("%d daemons, %d %s: %d copies to %s", datas, count, kind, stats.copies[name], name)
			}
		}
		t.Logf("%d daemons, %d %s, %d bytes: one changes: acknowledged after %v, %d bytes to and from a data daemon", datas, count, kind, len(document), took, most)
		if most > 1200 || most == 0 || took > time.Second {
			t.Errorf("%d daemons, %d %s: acknowledged after %v, %d bytes to a data daemon", datas, count, kind, took, most)
		}
	}
	stats := trackFetches(cluster)
	cluster.Crash("d2")
	cluster.StartData("d2")
	cluster.Run(5 * time.Second)
	if view := cluster.Datas["d2"].Holder.View(); stats.copies["d2"] != 1 || !view.IsValid(cluster.Now()) || view.Config().Label() != label {
		t.Errorf("%d %s: a restarted daemon gets %d copies and applies label %d", count, kind, stats.copies["d2"], view.Config().Label())
	}
}

// TestFetchTrouble loses, delays or duplicates offers and copies of a configuration. The change must
// still be acknowledged and applied everywhere, with never two copies in flight to one daemon.
func TestFetchTrouble(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for _, method := range []string{"Permit.Take", "Permit.Fetch"} {
		for name, fate := range map[string]sim.Fate{"lost": sim.RequestLost, "answer lost": sim.ResponseLost, "late": sim.RequestDelayed, "twice": sim.RequestDuplicated} {
			for _, count := range []int{1, 2} { // consecutive faults
				cluster := routedFleet(21)
				if _, err := replace(cluster, "c1", routesDocument(cluster.Document, 1, 300, -1), 0); err != nil {
					t.Fatal(err)
				}
				cluster.Run(time.Second)
				stats, injected := trackFetches(cluster), 0
				cluster.OnCall = func(from, to, called string) sim.Fate {
					if called == method && (from == "d1" || to == "d1") && injected < count {
						injected++
						return fate
					}
					return sim.Delivered
				}
				document := routesDocument(cluster.Document, 2, 300, 7)
				began := cluster.Now()
				applied, err := replace(cluster, "c1", document, 1)
				took := cluster.Now() - began
				for data, daemon := range cluster.Datas {
					if view := daemon.Holder.View(); view.MayServe(cluster.Now()) && view.Serial < applied.Serial {
						t.Errorf("old config: %s %s, %d times: %s serves by serial %d, and %d is acknowledged", method, name, count, data, view.Serial, applied.Serial)
					}
				}
				cluster.Run(3 * time.Second)
				checkDataDaemonsApply(t, cluster, document)
				if err != nil || took > 2500*time.Millisecond || injected == 0 || stats.maxInFlight != 1 {
					t.Errorf("%s %s, %d times: %v %v after %v, %d faults injected, %d copies in flight at once", method, name, count, applied, err, took, injected, stats.maxInFlight)
				}
				cluster.Close()
			}
		}
	}
}

// TestFrozenOverChanges freezes one data daemon and partitions another from the control daemons
// during several changes. Neither may serve by an old configuration, and afterwards both
// fetch only the difference to what they have. If the control daemons were restarted
// meanwhile, both fetch the whole configuration.
func TestFrozenOverChanges(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for name, isRestarted := range map[string]bool{"same control daemons": false, "control daemons begun anew": true} {
		cluster := routedFleet(22)
		if _, err := replace(cluster, "c1", routesDocument(cluster.Document, 1, 300, -1), 0); err != nil {
			t.Fatal(err)
		}
		cluster.Run(time.Second)
		cluster.Freeze("d1", 14*time.Second)
		cluster.Split([]string{"d2"}, cluster.NodeNames()[:len(cluster.Plan.Controls)], true)
		var document []byte
		for label := uint64(2); label <= 6; label++ {
			document = routesDocument(cluster.Document, label, 300, int(label)*40)
			if _, err := replace(cluster, fmt.Sprintf("c%d", 1+label%3), document, label-1); err != nil {
				t.Fatal(err)
			}
		}
		if isRestarted {
			for _, machine := range []string{"c1", "c2", "c3"} {
				cluster.Crash(machine)
				cluster.StartControl(machine)
				cluster.Run(time.Second)
			}
		}
		stats := trackFetches(cluster)
		if view := cluster.Datas["d2"].Holder.View(); view.Config().Label() != 1 || view.MayServe(cluster.Now()) {
			t.Errorf("vacuous: %s: the partitioned daemon applies label %d", name, view.Config().Label())
		}
		cluster.Split([]string{"d2"}, cluster.NodeNames()[:len(cluster.Plan.Controls)], false)
		cluster.Run(16 * time.Second)
		checkDataDaemonsApply(t, cluster, document)
		for _, machine := range []string{"d1", "d2"} {
			if !cluster.Datas[machine].Holder.View().IsValid(cluster.Now()) || stats.copies[machine] != 1 {
				t.Errorf("%s: %s got %d copies", name, machine, stats.copies[machine])
			}
			if isSmall := stats.bytes[machine] < 1500; isSmall == isRestarted {
				t.Errorf("%s: %s got %d bytes", name, machine, stats.bytes[machine])
			}
		}
		checkOneContentPerVersion(t, cluster)
		cluster.Close()
	}
}

// TestCorruptedChunk corrupts a chunk of the configuration in a data daemon's memory. The daemon
// must not apply a configuration assembled with it; it fetches the whole and applies what was
// decided.
func TestCorruptedChunk(t *testing.T) {
	t.Parallel()
	cluster := routedFleet(23)
	defer cluster.Close()
	if _, err := replace(cluster, "c1", routesDocument(cluster.Document, 1, 300, -1), 0); err != nil {
		t.Fatal(err)
	}
	cluster.Run(time.Second)
	corrupted := 0
	for _, chunk := range cluster.Datas["d1"].Holder.View().Tree.Chunks() {
		if strings.Contains(chunk.Text, `"tenant-200"`) {
			chunk.Text = strings.Replace(chunk.Text, "t200.example", "t999.example", 1)
			corrupted++
		}
	}
	stats := trackFetches(cluster)
	document := routesDocument(cluster.Document, 2, 300, 7)
	if _, err := replace(cluster, "c1", document, 1); err != nil {
		t.Fatal(err)
	}
	cluster.Run(2 * time.Second)
	checkDataDaemonsApply(t, cluster, document)
	if view := cluster.Datas["d1"].Holder.View(); corrupted != 1 || stats.copies["d1"] != 2 || stats.copies["d2"] != 1 || !view.IsValid(cluster.Now()) {
		t.Errorf("%d chunks corrupted, %d copies to that daemon, %d to another", corrupted, stats.copies["d1"], stats.copies["d2"])
	}
	// From then on its chunks are intact, and it fetches only differences.
	stats = trackFetches(cluster)
	document = routesDocument(cluster.Document, 3, 300, 7)
	if _, err := replace(cluster, "c2", document, 2); err != nil || stats.copies["d1"] != 1 || stats.bytes["d1"] > 1500 {
		t.Errorf("after the repair: %v, %d copies, %d bytes", err, stats.copies["d1"], stats.bytes["d1"])
	}
	checkDataDaemonsApply(t, cluster, document)
}

// TestFetchStorm runs concurrent changes and evacuations while daemons restart or freeze and the
// network loses, duplicates and delays packets. No daemon may apply a mixture of configurations
// or go back to an older one, and at the end all apply the last one.
func TestFetchStorm(t *testing.T) {
	t.Parallel()
	seeds := uint64(4)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		cluster := routedFleet(31 + seed)
		if _, err := replace(cluster, "c1", routesDocument(cluster.Document, 1, 200, -1), 0); err != nil {
			t.Fatal(err)
		}
		cluster.Run(time.Second)
		stats := trackFetches(cluster)
		zone := cluster.Zone(cluster.Plan.Replicas[0].ID)
		began, finished, accepted := 0, 0, 0
		cluster.Faults = sim.NetworkFaults{Lost: 0.02, Duplicated: 0.02, Delayed: 0.02, MaxDelay: 800 * time.Millisecond}
		for index := range 60 {
			at := fmt.Sprintf("c%d", 1+index%3)
			cluster.At(time.Duration(index)*70*time.Millisecond, func() {
				if !cluster.Node(at).Up() {
					return
				}
				began++
				cluster.Node(at).Go(func() {
					defer func() { finished++ }()
					daemon := cluster.Controls[at]
					if index%10 == 9 {
						_, _ = daemon.Evacuate(zone, index%20 == 19)
						return
					}
					_, label, err := daemon.Current()
					if err != nil {
						return
					}
					if _, err := daemon.Replace(routesDocument(cluster.Document, label+1, 200+index%7, (index*13)%200), label); err == nil {
						accepted++
					}
				})
			})
		}
		cluster.At(700*time.Millisecond, func() { cluster.Crash("d2") })
		cluster.At(1500*time.Millisecond, func() { cluster.StartData("d2") })
		cluster.At(time.Second, func() { cluster.Freeze("d1", 2*time.Second) })
		if !cluster.Until(40*time.Second, func() bool { return began >= 60 && finished == began }) {
			t.Fatalf("seed %d: only %d of %d changes ended", seed, finished, began)
		}
		cluster.Faults = sim.NetworkFaults{}
		_, err := replace(cluster, "c2", routesDocument(cluster.Document, 1000, 200, 3), newestLabel(t, cluster))
		if err != nil {
			t.Fatal(err)
		}
		cluster.Run(3 * time.Second)
		label, config := currentConfig(t, cluster, "c3")
		checkDataDaemonsApply(t, cluster, config.Document, config.Evacuated...)
		if label != 1000 || accepted < 10 {
			t.Errorf("vacuous: seed %d: label %d, %d changes were accepted", seed, label, accepted)
		}
		if stats.maxInFlight != 1 {
			t.Errorf("two copies: seed %d: two copies of one serial were in flight to one daemon", seed)
		}
		checkOneContentPerVersion(t, cluster)
		cluster.Close()
	}
}

func newestLabel(t *testing.T, cluster *fleet.Cluster) (label uint64) {
	t.Helper()
	label, _ = currentConfig(t, cluster, "c1")
	return label
}

// countPrepares returns how many prepare messages, single or batched, acceptors were sent.
func countPrepares(cluster *fleet.Cluster) int {
	return cluster.Messages["Register.Prepare"] + cluster.Messages["Register.PrepareAll"]
}

// countWrites returns the number of successful register writes.
func countWrites(cluster *fleet.Cluster) (count int) {
	for _, daemon := range cluster.Controls {
		count += int(daemon.Client.RoundCounters().Writes)
	}
	return count
}

// TestStartOfAll starts all data daemons at once while every reply to a renewal is lost. Retries
// must not write a daemon's record more than once at each control daemon that it contacts.
func TestStartOfAll(t *testing.T) {
	t.Parallel()
	skipLong(t)
	plan := grownPlan(24, 18, 3)
	cluster := fleet.NewCluster(6, plan)
	defer cluster.Close()
	cluster.Run(10 * time.Second)
	for name := range cluster.Datas {
		cluster.Crash(name)
	}
	cluster.Run(3 * time.Second)
	renewals, writes, records := 0, countPrepares(cluster), countWrites(cluster)
	cluster.OnCall = func(_, to, method string) sim.Fate {
		if method == "Permit.Renew" {
			renewals++
			return sim.ResponseLost
		}
		return sim.Delivered
	}
	var names []string
	for name := range cluster.Datas {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		cluster.StartData(name)
	}
	cluster.Run(6 * time.Second)
	prepares := countPrepares(cluster) - writes
	t.Logf("24 daemons in 6 s: %d renewal requests, %d prepares", renewals, prepares)
	if renewals < 24*6 {
		t.Error("vacuous")
	}
	// A prepare goes to each of three acceptors. The bound leaves half as much again for routing
	// tables, which are written meanwhile.
	if most := 24 * 3 * 3 * 3 / 2; prepares > most {
		t.Errorf("%d prepares, at most %d are allowed", prepares, most)
	}
	if recordWrites, most := countWrites(cluster)-records, 24*3*3/2; recordWrites > most {
		t.Errorf("%d writes, at most %d are allowed", recordWrites, most)
	}
	cluster.OnCall = nil
	if !cluster.Until(6*time.Second, func() bool {
		for _, name := range names {
			if !cluster.Datas[name].Holder.View().IsValid(cluster.Now()) {
				return false
			}
		}
		return true
	}) {
		t.Error("not all data daemons have a lease in the end")
	}
}

// TestStartOfAllOnSlowMachines starts as many data daemons at once as the target deployment has.
// The control daemons' machines are so slow that writing all records concurrently would
// exceed the timeouts, and each round whose caller has given up would delay the others
// further. All data daemons must still get a lease.
func TestStartOfAllOnSlowMachines(t *testing.T) {
	t.Parallel()
	skipLong(t)
	plan := grownPlan(420, 36, 6)
	cluster := fleet.NewBareCluster(6, plan)
	defer cluster.Close()
	for name := range cluster.Datas {
		cluster.Crash(name)
	}
	cluster.Must("c1", func(daemon *controlplane.Daemon) error {
		_, err := daemon.Init([]string{"c1", "c2", "c3"})
		return err
	})
	cluster.Must("c1", func(daemon *controlplane.Daemon) error {
		_, err := daemon.Apply([]byte(plan.Document), nil, false)
		return err
	})
	cluster.Run(10 * time.Second)
	for _, from := range cluster.NodeNames() {
		for _, to := range cluster.NodeNames() {
			if fleet.Region(cluster.Zone(from)) != fleet.Region(cluster.Zone(to)) {
				cluster.Delay(from, to, between)
			}
		}
	}
	cluster.SyncTime, cluster.ServeTime = 20*time.Millisecond, time.Millisecond
	began, writes := cluster.Now(), countWrites(cluster)
	for _, spec := range plan.Datas {
		name, _, _ := strings.Cut(spec, ":")
		cluster.StartData(name)
	}
	valid := 0
	if !cluster.Until(10*time.Second, func() bool {
		valid = 0
		for _, daemon := range cluster.Datas {
			if daemon.Holder.View().IsValid(cluster.Now()) {
				valid++
			}
		}
		return valid == len(cluster.Datas)
	}) {
		t.Errorf("control traffic: only %d of %d data daemons have a lease in the end", valid, len(cluster.Datas))
	}
	records := countWrites(cluster) - writes
	t.Logf("%d of %d data daemons have a lease after %v, with %d writes", valid, len(cluster.Datas), cluster.Now()-began, records)
	if records < len(cluster.Datas) {
		t.Errorf("vacuous: %d writes", records)
	}
}
