package decide_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
)

// routedView returns a view with the given number of replicas in three regions, half of them in
// the first one, and with two routes: one whose requests may be repeated and one without.
func routedView(replicas int) *lease.View {
	tree, problems := settings.Parse([]byte(`{"whole":{"placements":{"m":{"version":"any","capacity":64}}},
 "engines":{"m":{"probe_path":"/vitals","cold_ms":3000,"cold_per_s":26,"berths":64,"cache_tokens":348621,"spacing":4}},
 "routes":[{"name":"r","host":"h.example","prefix":"/x/","kind":"streamed","timeout_ms":10000,"target_ms":1000,"gap_ms":300,"tries":2,"resume":true,"shares":[{"model":"m","weight":1}]},
  {"name":"o","host":"h.example","prefix":"/once/","kind":"streamed","timeout_ms":10000,"target_ms":1000,"gap_ms":300,"tries":1,"shares":[{"model":"m","weight":1}]}],
 "regions":{"a":{"zones":{"a-1":{}}},"b":{"zones":{"b-1":{}}},"c":{"zones":{"c-1":{}}}}}`))
	if len(problems) > 0 {
		panic(problems)
	}
	out := &lease.View{Serial: 3, Tree: tree, Deadline: loop.Forever, Evacuated: map[string]bool{}, RoutingTables: map[string]routing.Table{}}
	for index := range replicas {
		region := []string{"a", "a", "a", "b", "b", "c"}[index%6]
		id := fmt.Sprintf("i-%d", index)
		table := out.RoutingTables[region]
		table.Region = region
		table.Places = append(table.Places, routing.Endpoint{ID: id, Address: id, Zone: region + "-1", Region: region, Boot: id, Capacity: 64, Whole: 64, Warm: 1, Credits: map[string]int{"x": 64}})
		table.Rows = append(table.Rows, routing.Row{Replica: id, Model: "m", Version: "v1"})
		out.RoutingTables[region] = table
	}
	for index := range 8 {
		out.Members = append(out.Members, session.Member{Name: fmt.Sprint("d", index), Role: session.Data, Region: "a", Zone: "a-1", Door: "x"})
	}
	return out
}

// BenchmarkRoute measures one decision about a request with a shared part, including its end,
// among 90 replicas that this daemon knows from other requests.
func BenchmarkRoute(b *testing.B) {
	view := routedView(90)
	world := loop.NewMachine()
	decider := decide.New(decide.Options{World: world, View: func() *lease.View { return view }, Self: session.Member{Name: "x", Role: session.Data, Region: "a", Zone: "a-1"}, StartedAt: world.Now()})
	number := 0
	serve := func() {
		number++
		routed := &decide.Routed{ID: "r", Host: "h.example", Path: "/x/y", Tokens: 17020, MaxAnswerTokens: 48, Bytes: 68000, Deadline: world.Now() + time.Minute,
			Parts: []decide.Part{{ID: uint64(1 + number%12), Tokens: 13300}, {ID: uint64(1000 + number), Tokens: 3720}}}
		if failure := decider.Resolve(routed); failure != nil {
			b.Fatal(failure.Code)
		}
		selection, failure := decider.Route(routed, nil)
		if failure != nil {
			b.Fatal(failure.Code)
		}
		decider.NoteAlive(selection, &decide.Load{Running: 3, Slots: 64})
		decider.NoteFirstChunk(selection, true)
		decider.EndRouted(selection, nil, time.Millisecond)
	}
	for range 2000 {
		serve()
	}
	b.ReportAllocs()
	for b.Loop() {
		serve()
	}
}
