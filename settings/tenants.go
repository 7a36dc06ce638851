package settings

import (
	"slices"

	"github.com/tidwall/gjson"
)

// Tenant holds keys, by which its requests are known. Over all data daemons together it
// may make PerSecond requests a second and Burst on top; no PerSecond means no limit.
//
// Invariants: no two tenants of a tree have the same Name or share a key; no figure is
// below zero; every home is a region of the tree.
type Tenant struct {
	Name             string
	Keys             []string
	PerSecond, Burst float64
	// Urgency, where HasUrgency, goes before that of the route.
	Urgency    int
	HasUrgency bool
	// Homes are the only regions that may serve it, among those of the route; none means
	// wherever the route may be served.
	Homes []string
}

// Within tells whether the tenant's requests may be served in the region. A request
// without a tenant, nil, may be anywhere.
func (tenant *Tenant) Within(region string) bool {
	return tenant == nil || len(tenant.Homes) == 0 || slices.Contains(tenant.Homes, region)
}

// Tenanted tells whether the document has the list of tenants, be it empty: then every
// request needs a key, but on a keyless route.
func (tree *Tree) Tenanted() bool { return tree.isTenanted }

// Tenants are all of them, in their order in the document.
func (tree *Tree) Tenants() []*Tenant { return tree.tenants }

// KeyHolder is the tenant that holds the key; nil when none does.
func (tree *Tree) KeyHolder(key string) *Tenant { return tree.holders[key] }

// TenantNamed is the tenant of that name; nil when there is none.
func (tree *Tree) TenantNamed(name string) *Tenant { return tree.named[name] }

var tenantShapes = map[string]shape{
	"name": {kind: gjson.String, isNeeded: true}, "keys": {kind: gjson.JSON, isNeeded: true}, "per_s": {kind: gjson.Number, most: most}, "burst": {kind: gjson.Number, most: most},
	"urgency": {kind: gjson.Number, most: 9, isWhole: true}, "homes": {kind: gjson.JSON},
}

// readTenant reads one tenant and checks what can be told without the rest of the tree.
func readTenant(value gjson.Result, at *spot, problems *Problems) *Tenant {
	got := members(value, at, tenantShapes, problems)
	tenant := &Tenant{Name: got.text("name"), Keys: got.texts("keys", at, problems), PerSecond: got.number("per_s"), Burst: got.number("burst"), Homes: got.texts("homes", at, problems)}
	if name, known := got.get("name"); known && name.Str == "" {
		at.tell(problems, "name", "is empty")
	}
	if urgency, known := got.get("urgency"); known {
		tenant.Urgency, tenant.HasUrgency = int(urgency.Num), true
	}
	return tenant
}

// enlist makes the tenants be found by name and by key, and checks what they name
// elsewhere in the tree.
func (tree *Tree) enlist(problems *Problems) {
	count := 0
	for _, tenant := range tree.tenants {
		count += len(tenant.Keys)
	}
	tree.named, tree.holders = make(map[string]*Tenant, len(tree.tenants)), make(map[string]*Tenant, count)
	for at, tenant := range tree.tenants {
		// Paths are only made where there is a problem.
		tell := func(list string, index int, reason string, values ...any) {
			(&spot{&spot{nil, "tenants", at}, list, index}).tell(problems, "", reason, values...)
		}
		if first := tree.named[tenant.Name]; first != nil && tenant.Name != "" {
			tell("name", -1, "%q is that of tenants.%d too", tenant.Name, slices.Index(tree.tenants, first))
		} else {
			tree.named[tenant.Name] = tenant
		}
		for index, key := range tenant.Keys {
			if first := tree.holders[key]; first != nil && key != "" {
				tell("keys", index, "is held by tenants.%d too", slices.Index(tree.tenants, first))
			} else if key != "" {
				tree.holders[key] = tenant
			}
		}
		for index, home := range tenant.Homes {
			if _, known := tree.regions[home]; !known && home != "" {
				tell("homes", index, "names region %q, which the tree does not have", home)
			}
		}
	}
}
