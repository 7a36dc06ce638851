package decide_test

import (
	"slices"
	"testing"

	"swifttiller/decide"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/sim"
)

// TestEntryDaemonsPreferHomeRegions: if all daemons of a caller's region are leaving, callers are sent to
// the home regions of their host's routes, or to those of their own region that still serve;
// to other regions only if there are none of these. Otherwise requests would leave their home.
func TestEntryDaemonsPreferHomeRegions(t *testing.T) {
	tree, problems := settings.Parse([]byte(`{"whole":{"placements":{"m":{"version":"any","capacity":64}}},"engines":{"m":{"probe_path":"/vitals"}},
 "routes":[{"name":"r","host":"home.example","prefix":"/x/","kind":"safe","timeout_ms":1000,"homes":["a","b"],"shares":[{"model":"m","weight":1}]},
  {"name":"s","host":"home.example","prefix":"/y/","kind":"safe","timeout_ms":1000,"homes":["b","a"],"shares":[{"model":"m","weight":1}]},
  {"name":"t","host":"any.example","prefix":"/x/","kind":"safe","timeout_ms":1000,"shares":[{"model":"m","weight":1}]}],
 "regions":{"a":{"zones":{"a-1":{},"a-2":{}}},"b":{"zones":{"b-1":{}}},"c":{"zones":{"c-1":{}}}}}`))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	members := []session.Member{
		{Name: "a1", Region: "a", Zone: "a-1"}, {Name: "a2", Region: "a", Zone: "a-2"}, {Name: "b1", Region: "b", Zone: "b-1"}, {Name: "b2", Region: "b", Zone: "b-1"}, {Name: "c1", Region: "c", Zone: "c-1"},
	}
	world := sim.New(1)
	t.Cleanup(world.Close)
	for _, test := range []struct {
		name, host, region, zone string
		leaving, gone            []string
		want                     []string
	}{
		{name: "the zone", host: "home.example", region: "a", zone: "a-1", want: []string{"a1"}},
		{name: "the region", host: "home.example", region: "a", zone: "a-1", leaving: []string{"a1"}, want: []string{"a2"}},
		{name: "the other home", host: "home.example", region: "a", zone: "a-1", leaving: []string{"a1", "a2"}, want: []string{"b1", "b2"}},
		{name: "its own region, which is no home", host: "home.example", region: "c", zone: "c-1", want: []string{"c1"}},
		{name: "both homes", host: "home.example", region: "c", zone: "c-1", leaving: []string{"c1"}, want: []string{"a1", "a2", "b1", "b2"}},
		{name: "any that is not leaving, for a host without homes", host: "any.example", region: "b", zone: "b-1", leaving: []string{"b1", "b2"}, want: []string{"a1", "a2", "c1"}},
		{name: "those of its own region that still serve", host: "home.example", region: "b", zone: "b-1", leaving: []string{"a1", "a2", "b1", "b2"}, want: []string{"b1", "b2"}},
		{name: "those of a home that still serve", host: "home.example", region: "b", zone: "b-1", leaving: []string{"a1"}, gone: []string{"a2", "b1", "b2"}, want: []string{"a1"}},
		{name: "another region if nothing else is left", host: "home.example", region: "b", zone: "b-1", gone: []string{"a1", "a2", "b1", "b2"}, want: []string{"c1"}},
		{name: "an unknown host like one without homes", host: "other.example", region: "b", zone: "b-1", leaving: []string{"b1", "b2"}, want: []string{"a1", "a2", "c1"}},
		{name: "the caller's own region if all are leaving", host: "any.example", region: "c", zone: "c-1", leaving: []string{"a1", "a2", "b1", "b2", "c1"}, want: []string{"c1"}},
	} {
		view := &lease.View{Tree: tree, Deadline: loop.Forever}
		for _, member := range members {
			member.Role, member.Door, member.Leaving = session.Data, member.Name, slices.Contains(test.leaving, member.Name)
			if !slices.Contains(test.gone, member.Name) {
				view.Members = append(view.Members, member)
			}
		}
		var got []string
		world.Start("asked", func(node *sim.Node) {
			decider := decide.New(decide.Options{World: node, View: func() *lease.View { return view }, Self: view.Members[0]})
			for _, member := range decider.EntryDaemons(test.host, test.region, test.zone) {
				got = append(got, member.Door)
			}
		})
		world.Run(1)
		world.Kill("asked")
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
