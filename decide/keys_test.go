package decide_test

import (
	"strings"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/settings"
)

// keyedView returns a routed view with parts of its configuration replaced.
func keyedView(t *testing.T, changes ...string) *lease.View {
	t.Helper()
	view := routedView(30)
	tree, problems := settings.Parse([]byte(strings.NewReplacer(changes...).Replace(string(view.Tree.Document()))))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	view.Tree = tree
	return view
}

const tenantsJSON = `"tenants":[{"name":"one","keys":["k1","k2"],"urgency":0,"homes":["a","b"]},{"name":"two","keys":["k3"]}],"regions"`

// TestKeys: a request needs a key that a tenant has in the present configuration, unless its
// route is keyless; a missing route is reported first. A key that was revoked, or moved to
// another tenant, must not be accepted by an older configuration.
func TestKeys(t *testing.T) {
	tenanted := keyedView(t, `"regions"`, tenantsJSON, `"name":"o"`, `"keyless":true,"name":"o"`)
	moved := keyedView(t, `"regions"`, `"tenants":[{"name":"one","keys":["k2"]},{"name":"two","keys":["k1"]}],"regions"`)
	view := tenanted
	world := loop.NewMachine()
	decider := decide.New(decide.Options{World: world, View: func() *lease.View { return view }, Self: session.Member{Name: "x", Role: session.Data, Region: "a", Zone: "a-1"}})
	for _, test := range []struct {
		view         *lease.View
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
		{moved, resumedPath, "k1", 0, "two", ""},
		{moved, resumedPath, "k3", 401, "", "unknown_key"},
		{moved, oncePath, "", 401, "", "unknown_key"},
		{keyedView(t, `"regions"`, `"tenants":[],"regions"`), resumedPath, "k1", 401, "", "unknown_key"},
		{routedView(30), resumedPath, "", 0, "", ""},
		{routedView(30), resumedPath, "k1", 0, "", ""},
	} {
		view = test.view
		routed := &decide.Routed{Host: "h.example", Path: test.path, Key: test.key, Deadline: world.Now() + time.Minute}
		rejection := decider.Resolve(routed)
		switch {
		case (rejection != nil) != (test.status != 0), rejection != nil && (rejection.Status != test.status || rejection.Code != test.code):
			t.Errorf("%s with key %q: unexpected outcome %+v", test.path, test.key, rejection)
		case rejection == nil && routed.IsTenanted != test.view.Tree.HasTenants():
			t.Errorf("%s with key %q: IsTenanted is %v, unlike the configuration", test.path, test.key, routed.IsTenanted)
		}
		got := ""
		if rejection == nil && routed.Tenant != nil {
			got = routed.Tenant.Name
		}
		if got != test.tenant {
			t.Errorf("%s with key %q belongs to tenant %q", test.path, test.key, got)
		}
	}
}

// TestTenantRestrictsRegions: a request goes only to regions that are homes of both its route and its
// tenant, and its urgency is the tenant's if that has one, else the route's.
func TestTenantRestrictsRegions(t *testing.T) {
	view := keyedView(t, `"regions"`, tenantsJSON, `"name":"o"`, `"homes":["b","c"],"urgency":4,"name":"o"`, `"name":"r"`, `"urgency":4,"name":"r"`)
	world := loop.NewMachine()
	for _, own := range []string{"a", "b", "c"} {
		decider := decide.New(decide.Options{World: world, View: func() *lease.View { return view }, Self: session.Member{Name: "x", Role: session.Data, Region: own, Zone: own + "-1"}})
		for _, test := range []struct {
			path, key, allowed string
			urgency            int
		}{{resumedPath, "k1", "ab", 0}, {resumedPath, "k3", "abc", 4}, {oncePath, "k1", "b", 0}, {oncePath, "k3", "bc", 4}} {
			for index := range 200 {
				routed := &decide.Routed{Host: "h.example", Path: test.path, Key: test.key, Tokens: 17020, MaxAnswerTokens: 48, Deadline: world.Now() + time.Minute,
					Parts: []decide.Part{{ID: uint64(1 + index%12), Tokens: 13300}, {ID: uint64(1000 + index), Tokens: 3720}}}
				if rejection := decider.Resolve(routed); rejection != nil {
					t.Fatal(rejection.Code)
				}
				selection, rejection := decider.Route(routed, nil)
				if rejection != nil {
					t.Fatal(rejection.Code)
				}
				decider.NoteFirstChunk(selection, true)
				if !strings.Contains(test.allowed, selection.Region) || routed.Urgency() != test.urgency {
					t.Fatalf("home: %s with key %s from region %s went to %s, with urgency %d", test.path, test.key, own, selection.Region, routed.Urgency())
				}
				decider.EndRouted(selection, nil, time.Millisecond)
			}
		}
	}
	// If the two have no region in common, the request is rejected.
	view = keyedView(t, `"regions"`, tenantsJSON, `"name":"o"`, `"homes":["c"],"name":"o"`)
	decider := decide.New(decide.Options{World: world, View: func() *lease.View { return view }, Self: session.Member{Name: "x", Role: session.Data, Region: "a", Zone: "a-1"}})
	routed := &decide.Routed{Host: "h.example", Path: oncePath, Key: "k1", Tokens: 100, MaxAnswerTokens: 40, Deadline: world.Now() + time.Minute}
	if rejection := decider.Resolve(routed); rejection != nil {
		t.Fatal(rejection.Code)
	}
	if selection, rejection := decider.Route(routed, nil); rejection == nil || rejection.Status != 503 {
		t.Errorf("home: a request without a common home region went to %v, %v", selection, rejection)
	}
}
