package decide

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"swifttiller/lease"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/sim"
)

// TestColdLimit guards against daemons that overload a cold replica. Daemons of several
// counts, in three regions, each send it all that they may as soon as they may, starting at
// different instants. Together they must keep within its limit in every second, and use most
// of it; half of the requests come from daemons of its own region where all shares are remainders.
func TestColdLimit(t *testing.T) {
	tree, problems := settings.Parse([]byte(`{"whole":{"placements":{"m":{"version":"any","capacity":24}},"limits":{"cold_excess":1.275}},
 "engines":{"m":{"probe_path":"/v","cold_ms":3000,"cold_per_s":19,"berths":24}},
 "regions":{"a":{"zones":{"a-1":{}}},"b":{"zones":{"b-1":{}}},"c":{"zones":{"c-1":{}}}}}`))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	const bound = 24 // 19 x 1.275
	for _, count := range []int{1, 6, 24, 25, 88} {
		world := sim.New(uint64(count))
		world.Start("w", func(*sim.Node) {})
		endpoint := &routing.Endpoint{ID: "i-1", Boot: "i-1", Region: "b", Zone: "b-1", Warm: 0.1}
		view := &lease.View{Tree: tree, RoutingTables: map[string]routing.Table{"b": {Daemons: count}}}
		for index := range count {
			region := []string{"a", "b", "c"}[index%3]
			view.Members = append(view.Members, session.Member{Name: fmt.Sprint("d", index), Role: session.Data, Region: region, Zone: region + "-1"})
		}
		var sent []time.Duration
		byRegion := map[string]int{}
		for index, member := range view.Members {
			decider := New(Options{World: world.Node("w"), Self: member, View: func() *lease.View { return view }})
			state := &replicaState{}
			for now := time.Duration(index*137%1000) * time.Millisecond; now < 10*time.Second; now += 7 * time.Millisecond {
				for decider.coldWait(view, tree.Engine("m"), endpoint, state, now) == 0 {
					state.sent = append(state.sent, now)
					sent = append(sent, now)
					byRegion[member.Region]++
				}
			}
		}
		sort.Slice(sent, func(a, b int) bool { return sent[a] < sent[b] })
		most := 0
		for from, to := 0, 0; to < len(sent); to++ {
			for sent[to]-sent[from] >= time.Second {
				from++
			}
			most = max(most, to-from+1)
		}
		t.Logf("%d daemons: at most %d in a second, %d in ten, by region %v", count, most, len(sent), byRegion)
		if most > bound {
			t.Errorf("%d daemons sent a cold replica %d requests in one second", count, most)
		}
		if len(sent) < 9*bound*9/10 {
			t.Errorf("%d daemons sent a cold replica only %d requests in ten seconds", count, len(sent))
		}
		if count == 88 && 2*byRegion["b"] != len(sent) {
			t.Errorf("requests by region %v: not half of them came from the replica's own region", byRegion)
		}
	}
	// Two halves of the daemons that don't know of each other keep within the limit together.
	var halves [2][]session.Member
	for index := range 88 {
		halves[index%2] = append(halves[index%2], session.Member{Name: fmt.Sprint("d", index), Role: session.Data, Region: "b"})
	}
	sum := 0
	for _, half := range halves {
		for _, member := range half {
			sum += coldLimit(bound, half, member, &routing.Endpoint{ID: "i-1", Region: "b"}, 88)
		}
	}
	if sum > bound || sum < bound/2 {
		t.Errorf("two halves of the daemons that don't know of each other may send %d requests", sum)
	}
}

// TestColdLimitAcrossRegions guards against daemons without a share in any cold replica. While all
// replicas are cold, each of many daemons must be able to send to replicas of its own region,
// and about as much to those of the two other regions, which may be the only homes of its
// callers' requests.
func TestColdLimitAcrossRegions(t *testing.T) {
	const bound = 24
	replicas := map[string]int{"a": 40, "b": 30, "c": 20}
	var members []session.Member
	for index := range 88 {
		members = append(members, session.Member{Name: fmt.Sprint("d", index), Role: session.Data, Region: []string{"a", "b", "c"}[index%3]})
	}
	sums := map[string]int{}
	for _, self := range members {
		parts := map[string]int{}
		for region, count := range replicas {
			for index := range count {
				id := fmt.Sprint(region, index)
				part := coldLimit(bound, members, self, &routing.Endpoint{ID: id, Region: region}, len(members))
				parts[region] += part
				sums[id] += part
			}
		}
		near := parts[self.Region]
		far := parts["a"] + parts["b"] + parts["c"] - near
		if near < replicas[self.Region]/5 || far < (90-replicas[self.Region])/10 {
			t.Errorf("%s in %s may send cold replicas %v in a second", self.Name, self.Region, parts)
		}
	}
	for id, sum := range sums {
		if sum != bound {
			t.Errorf("%s gets %d requests in a second", id, sum)
		}
	}
}

// TestWarmReplyOfAReplica checks that a replica's own reply that it is warm counts while no leader
// maintains its region's routing table: for the boot that sent it, for the length of a lease,
// and never against a routing table that lists the replica as cold.
func TestWarmReplyOfAReplica(t *testing.T) {
	tree, problems := settings.Parse([]byte(`{"whole":{"placements":{"m":{"version":"any","capacity":24}},"limits":{"permit_ms":2000}},
 "engines":{"m":{"probe_path":"/v","cold_ms":3000,"cold_per_s":19,"berths":24}},"regions":{"a":{"zones":{"a-1":{}}}}}`))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	warm := routing.Endpoint{ID: "i-1", Address: "x", Boot: "i-1", Region: "a", Zone: "a-1", Warm: 1}
	view := &lease.View{Tree: tree, Unconfirmed: map[string]bool{"a": true}, RoutingTables: map[string]routing.Table{"a": {Places: []routing.Endpoint{warm}, Rows: []routing.Row{{Replica: "i-1", Model: "m"}}}}}
	world := sim.New(1)
	defer world.Close()
	world.Start("w", func(*sim.Node) {})
	world.Run(time.Second)
	decider := New(Options{World: world.Node("w"), Self: session.Member{Name: "d", Region: "a"}, View: func() *lease.View { return view }})
	isCold := func(endpoint routing.Endpoint) bool {
		return decider.isCold(view, &endpoint, decider.replicaState(endpoint.ID), world.Now())
	}
	if len(decider.HealthQueries()) > 0 {
		t.Error("replicas are probed though no request needs it")
	}
	decider.lastThrottled = world.Now()
	list := decider.HealthQueries()
	if len(list) != 1 || list[0] != (HealthQuery{Replica: "i-1", Address: "x", Boot: "i-1", Path: "/v"}) || len(decider.HealthQueries()) > 0 {
		t.Fatalf("the probes are %v", list)
	}
	if !isCold(warm) {
		t.Error("the replica counts as warm before it replied")
	}
	decider.RecordHealthQuery(list[0], world.Now(), false)
	if !isCold(warm) {
		t.Error("the replica counts as warm though it replied that it is not")
	}
	decider.RecordHealthQuery(list[0], world.Now(), true)
	next, cold := warm, warm
	next.Boot, cold.Warm = "i-2", 0.5
	if isCold(warm) || !isCold(next) || !isCold(cold) {
		t.Errorf("cold: %v, after its restart %v, with a routing table that lists it as cold %v", isCold(warm), isCold(next), isCold(cold))
	}
	world.Run(1999 * time.Millisecond)
	decider.lastThrottled = world.Now()
	if isCold(warm) || len(decider.HealthQueries()) != 1 {
		t.Error("the reply expires before a lease's length, or the replica is not probed again before")
	}
	world.Run(time.Millisecond)
	if !isCold(warm) {
		t.Error("the reply never expires")
	}
}
