package decide_test

import (
	"strings"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/session"
	"swifttiller/settings"
)

// keyedView is a routed view whose tree has other words in the place of some.
func keyedView(t *testing.T, changes ...string) *permit.View {
	t.Helper()
	view := routedView(30)
	tree, problems := settings.Parse([]byte(strings.NewReplacer(changes...).Replace(string(view.Tree.Document()))))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	view.Tree = tree
	return view
}

const keyed = `"tenants":[{"name":"one","keys":["k1","k2"],"urgency":0,"homes":["a","b"]},{"name":"two","keys":["k3"]}],"regions"`

// TestKeys: a request needs a key that some tenant holds by the configuration of this very
// moment, unless its route is keyless; that it has no route is found first.
func TestKeys(t *testing.T) {
	tenanted := keyedView(t, `"regions"`, keyed, `"name":"o"`, `"keyless":true,"name":"o"`)
	passed := keyedView(t, `"regions"`, `"tenants":[{"name":"one","keys":["k2"]},{"name":"two","keys":["k1"]}],"regions"`)
	view := tenanted
	world := loop.NewMachine()
	decider := decide.New(decide.Options{World: world, Holder: func() *permit.View { return view }, Self: session.Member{Name: "x", Role: session.Data, Region: "a", Zone: "a-1"}})
	for _, test := range []struct {
		view         *permit.View
		path, key    string
		status       int
		tenant, code string
	}{
		{tenanted, resumedPath, "k1", 0, "one", ""},
		{tenanted, resumedPath, "k2", 0, "one", ""},
		{tenanted, resumedPath, "k3", 0, "two", ""},
		{tenanted, resumedPath, "k4", 401, "", "unknown_key"},
		{tenanted, resumedPath, "one", 401, "", "unknown_key"},
		{tenanted, resumedPath, "", 401, "", "unknown_key"},
		{tenanted, "/nowhere/", "k4", 404, "", "no_route"},
		{tenanted, oncePath, "", 0, "", ""},
		{tenanted, oncePath, "k1", 0, "", ""},
		{passed, resumedPath, "k1", 0, "two", ""},
		{passed, resumedPath, "k3", 401, "", "unknown_key"},
		{passed, oncePath, "", 401, "", "unknown_key"},
		{keyedView(t, `"regions"`, `"tenants":[],"regions"`), resumedPath, "k1", 401, "", "unknown_key"},
		{routedView(30), resumedPath, "", 0, "", ""},
		{routedView(30), resumedPath, "k1", 0, "", ""},
	} {
		view = test.view
		routed := &decide.Routed{Host: "h.example", Path: test.path, Key: test.key, Expiry: world.Now() + time.Minute}
		mishap := decider.Direct(routed)
		switch {
		case (mishap != nil) != (test.status != 0), mishap != nil && (mishap.Status != test.status || mishap.Code != test.code):
			t.Errorf("%s with key %q: %+v", test.path, test.key, mishap)
		case mishap == nil && routed.IsTenanted != test.view.Tree.Tenanted():
			t.Errorf("%s with key %q: tenanted: %v", test.path, test.key, routed.IsTenanted)
		}
		got := ""
		if mishap == nil && routed.Tenant != nil {
			got = routed.Tenant.Name
		}
		if got != test.tenant {
			t.Errorf("%s with key %q is of %q", test.path, test.key, got)
		}
	}
}

// TestTenantBindsToo: a request goes where its route and its tenant both allow it, and its
// rank is its tenant's where that has one.
func TestTenantBindsToo(t *testing.T) {
	view := keyedView(t, `"regions"`, keyed, `"name":"o"`, `"homes":["b","c"],"urgency":4,"name":"o"`, `"name":"r"`, `"urgency":4,"name":"r"`)
	world := loop.NewMachine()
	for _, own := range []string{"a", "b", "c"} {
		decider := decide.New(decide.Options{World: world, Holder: func() *permit.View { return view }, Self: session.Member{Name: "x", Role: session.Data, Region: own, Zone: own + "-1"}})
		for _, test := range []struct {
			path, key, allowed string
			urgency            int
		}{{resumedPath, "k1", "ab", 0}, {resumedPath, "k3", "abc", 4}, {oncePath, "k1", "b", 0}, {oncePath, "k3", "bc", 4}} {
			for index := range 200 {
				routed := &decide.Routed{Host: "h.example", Path: test.path, Key: test.key, Tokens: 17020, Most: 48, Expiry: world.Now() + time.Minute,
					Parts: []decide.Part{{ID: uint64(1 + index%12), Tokens: 13300}, {ID: uint64(1000 + index), Tokens: 3720}}}
				if mishap := decider.Direct(routed); mishap != nil {
					t.Fatal(mishap.Code)
				}
				selection, mishap := decider.Route(routed, nil)
				if mishap != nil {
					t.Fatal(mishap.Code)
				}
				decider.Begun(selection, true)
				if !strings.Contains(test.allowed, selection.Region) || routed.Urgency() != test.urgency {
					t.Fatalf("home: %s with %s from %s went to %s, with the rank %d", test.path, test.key, own, selection.Region, routed.Urgency())
				}
				decider.Unseat(selection, nil, time.Millisecond)
			}
		}
	}
	// Where the two have no region in common it goes nowhere.
	view = keyedView(t, `"regions"`, keyed, `"name":"o"`, `"homes":["c"],"name":"o"`)
	decider := decide.New(decide.Options{World: world, Holder: func() *permit.View { return view }, Self: session.Member{Name: "x", Role: session.Data, Region: "a", Zone: "a-1"}})
	routed := &decide.Routed{Host: "h.example", Path: oncePath, Key: "k1", Tokens: 100, Most: 40, Expiry: world.Now() + time.Minute}
	if mishap := decider.Direct(routed); mishap != nil {
		t.Fatal(mishap.Code)
	}
	if selection, mishap := decider.Route(routed, nil); mishap == nil || mishap.Status != 503 {
		t.Errorf("home: it went to %v, %v", selection, mishap)
	}
}
