package settings

import (
	"slices"

	"github.com/tidwall/gjson"
)

// Tenant is a customer, whose requests are recognized by its keys. Across all data daemons
// together its rate limit is PerSecond requests per second, and Burst on top of that; a
// PerSecond of zero means no limit.
//
// Invariants: no two tenants of a tree have the same Name or share a key; no number is
// negative; every home is a region of the tree.
type Tenant struct {
	Name             string
	Keys             []string
	PerSecond, Burst float64
	// Urgency, if HasUrgency is set, overrides that of the route.
	Urgency    int
	HasUrgency bool
	// Homes are the only regions, among those of the route, that may serve the tenant; if
	// empty, all regions of the route may.
	Homes []string
}

// AllowedIn reports whether the tenant's requests may be served in the region. A nil tenant
// stands for a request without tenant, which may be served in all regions.
func (tenant *Tenant) AllowedIn(region string) bool {
	return tenant == nil || len(tenant.Homes) == 0 || slices.Contains(tenant.Homes, region)
}

// HasTenants reports whether the document has a list of tenants, which may be empty. If so,
// every request needs a key, except on a keyless route.
func (tree *Tree) HasTenants() bool { return tree.hasTenants }

// Tenants returns all tenants in the order of the document.
func (tree *Tree) Tenants() []*Tenant { return tree.tenants }

// TenantByKey returns the tenant that has the key, or nil if there is none.
func (tree *Tree) TenantByKey(key string) *Tenant { return tree.tenantsByKey[key] }

// TenantByName returns the tenant with the name, or nil if there is none.
func (tree *Tree) TenantByName(name string) *Tenant { return tree.tenantsByName[name] }

var tenantFields = map[string]fieldRule{
	"name": {kind: gjson.String, isRequired: true}, "keys": {kind: gjson.JSON, isRequired: true}, "per_s": {kind: gjson.Number, max: maxNumber}, "burst": {kind: gjson.Number, max: maxNumber},
	"urgency": {kind: gjson.Number, max: 9, isInteger: true}, "homes": {kind: gjson.JSON},
}

// readTenant reads one tenant and makes the checks that don't need the rest of the tree.
func readTenant(value gjson.Result, at *location, problems *Problems) *Tenant {
	parsed := readFields(value, at, tenantFields, problems)
	tenant := &Tenant{Name: parsed.text("name"), Keys: parsed.stringList("keys", at, problems), PerSecond: parsed.number("per_s"), Burst: parsed.number("burst"), Homes: parsed.stringList("homes", at, problems)}
	if name, known := parsed.get("name"); known && name.Str == "" {
		at.report(problems, "name", "is empty")
	}
	if urgency, known := parsed.get("urgency"); known {
		tenant.Urgency, tenant.HasUrgency = int(urgency.Num), true
	}
	return tenant
}

// indexTenants indexes the tenants by name and by key, and checks that both are unique and
// that the regions that tenants refer to are in the tree.
func (tree *Tree) indexTenants(problems *Problems) {
	count := 0
	for _, tenant := range tree.tenants {
		count += len(tenant.Keys)
	}
	tree.tenantsByName, tree.tenantsByKey = make(map[string]*Tenant, len(tree.tenants)), make(map[string]*Tenant, count)
	for at, tenant := range tree.tenants {
		// Paths are built only when there is a problem.
		report := func(list string, index int, reason string, values ...any) {
			(&location{&location{nil, "tenants", at}, list, index}).report(problems, "", reason, values...)
		}
		if first := tree.tenantsByName[tenant.Name]; first != nil && tenant.Name != "" {
			report("name", -1, "%q is also the name of tenants.%d", tenant.Name, slices.Index(tree.tenants, first))
		} else {
			tree.tenantsByName[tenant.Name] = tenant
		}
		for index, key := range tenant.Keys {
			if first := tree.tenantsByKey[key]; first != nil && key != "" {
				report("keys", index, "is also a key of tenants.%d", slices.Index(tree.tenants, first))
			} else if key != "" {
				tree.tenantsByKey[key] = tenant
			}
		}
		for index, home := range tenant.Homes {
			if _, known := tree.regions[home]; !known && home != "" {
				report("homes", index, "names region %q, which is not in the tree", home)
			}
		}
	}
}
