package settings_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/settings"
)

// routedWithTenants is the document routed with tenants added.
var routedWithTenants = strings.Replace(routed, `"routes"`, `"tenants": [
  {"name": "one", "keys": ["k1", "k2"], "per_s": 2.5, "burst": 7, "urgency": 0, "homes": ["north"]},
  {"name": "two", "keys": ["k3"]},
  {"name": "three", "keys": []}],
 "routes"`, 1)

func TestTenants(t *testing.T) {
	Convey("a tenant is found by each of its keys, and by its name", t, func() {
		tree, problems := settings.Parse([]byte(routedWithTenants))
		So(problems, ShouldBeEmpty)
		So(tree.HasTenants(), ShouldBeTrue)
		So(*tree.TenantByKey("k2"), ShouldResemble, settings.Tenant{Name: "one", Keys: []string{"k1", "k2"}, PerSecond: 2.5, Burst: 7, HasUrgency: true, Homes: []string{"north"}})
		So(*tree.TenantByKey("k3"), ShouldResemble, settings.Tenant{Name: "two", Keys: []string{"k3"}})
		So(tree.TenantByKey("k4"), ShouldBeNil)
		So(tree.TenantByKey(""), ShouldBeNil)
		So(tree.TenantByName("three").Name, ShouldEqual, "three")
		So(tree.TenantByName("k1"), ShouldBeNil)
		So(tree.TenantByKey("k1").AllowedIn("south"), ShouldBeFalse)
		So(tree.TenantByKey("k3").AllowedIn("south"), ShouldBeTrue)
		So((*settings.Tenant)(nil).AllowedIn("south"), ShouldBeTrue)
	})
	Convey("a document with an empty list has tenants, one without the list has none", t, func() {
		tree, _ := settings.Parse([]byte(routed))
		So(tree.HasTenants(), ShouldBeFalse)
		So(tree.TenantByKey("k1"), ShouldBeNil)
		tree, problems := settings.Parse([]byte(strings.Replace(routed, `"routes"`, `"tenants": [], "routes"`, 1)))
		So(problems, ShouldBeEmpty)
		So(tree.HasTenants(), ShouldBeTrue)
		So(tree.TenantByKey(""), ShouldBeNil)
	})
	Convey("only a route with the keyless field set is keyless", t, func() {
		tree, _ := settings.Parse([]byte(strings.Replace(routedWithTenants, `"name": "b"`, `"keyless": true, "name": "b"`, 1)))
		So(tree.Route("one.example", "/p/q/").Keyless, ShouldBeTrue)
		So(tree.Route("one.example", "/p/").Keyless, ShouldBeFalse)
	})
	Convey("each problem is reported at its path, with no others", t, func() {
		for _, test := range []struct{ from, to, path, reason string }{
			{`"name": "two"`, `"name": ""`, "$.tenants.1.name", "empty"},
			{`"name": "two", `, ``, "$.tenants.1.name", "needed"},
			{`"name": "two"`, `"name": 2`, "$.tenants.1.name", "string"},
			{`"name": "two"`, `"name": "one"`, "$.tenants.1.name", "tenants.0"},
			{`"name": "two"`, `"name": "two", "colour": 1`, "$.tenants.1.colour", "unknown"},
			{`["k3"]`, `["k3", "k2"]`, "$.tenants.1.keys.1", "tenants.0"},
			{`["k3"]`, `["k3", "k3"]`, "$.tenants.1.keys.1", "tenants.1"},
			{`["k3"]`, `["k3", ""]`, "$.tenants.1.keys.1", "not empty"},
			{`["k3"]`, `[3]`, "$.tenants.1.keys.0", "string"},
			{`["k3"]`, `"k3"`, "$.tenants.1.keys", "list"},
			{`, "keys": ["k3"]`, ``, "$.tenants.1.keys", "needed"},
			{`"per_s": 2.5`, `"per_s": -1`, "$.tenants.0.per_s", "within"},
			{`"per_s": 2.5`, `"per_s": "2"`, "$.tenants.0.per_s", "number"},
			{`"burst": 7`, `"burst": -0.5`, "$.tenants.0.burst", "within"},
			{`"urgency": 0`, `"urgency": 10`, "$.tenants.0.urgency", "within"},
			{`"urgency": 0`, `"urgency": 0.5`, "$.tenants.0.urgency", "whole"},
			{`"urgency": 0, "homes": ["north"]`, `"urgency": 0, "homes": ["moon"]`, "$.tenants.0.homes.0", "moon"},
			{`"keyless": true`, `"keyless": 1`, "$.routes.1.keyless", "boolean"},
			{`{"name": "three", "keys": []}`, `7`, "$.tenants.2", "object"},
		} {
			text := strings.Replace(routedWithTenants, `"name": "b"`, `"keyless": true, "name": "b"`, 1)
			broken := strings.Replace(text, test.from, test.to, 1)
			So(broken, ShouldNotEqual, text)
			_, problems := settings.Parse([]byte(broken))
			if len(problems) != 1 || problems[0].Path != test.path || !strings.Contains(problems[0].Reason, test.reason) {
				t.Errorf("%s for %s: want one problem at %s (%s), got %v", test.to, test.from, test.path, test.reason, problems)
			}
		}
		_, problems := settings.Parse([]byte(strings.Replace(routed, `"routes"`, `"tenants": 3, "routes"`, 1)))
		So(len(problems), ShouldEqual, 1)
		So(problems[0].Path, ShouldEqual, "$.tenants")
	})
}
