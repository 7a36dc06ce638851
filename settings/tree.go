package settings

import (
	"sort"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// Bound is the default, range and description of a limit.
type Bound struct {
	Default, Min, Max float64
	Description       string
}

// Limits are the limits that a document may set, each with its default, range and
// description. Times are in milliseconds.
var Limits = map[string]Bound{
	"permit_ms":          {2000, 300, 2800, "how long a data daemon's lease lasts after its last request to a majority of the core"},
	"quota_window_ms":    {5000, 500, 600000, "the window within which a tenant's requests are counted against its rate limit"},
	"quota_excess":       {0.1, 0.01, 1, "how far a tenant's rate limit may be exceeded within the window, as a ratio"},
	"quota_slack":        {20, 4, 100000, "requests that a tenant may make in addition to that within the window"},
	"quota_reserve_ms":   {60000, 1000, 86400000, "how long a data daemon that can't be reached keeps its share of tenants' rate limits"},
	"alone_ms":           {0, 0, 86400000, "how long a data daemon goes on serving routed requests with its last known state after its lease has expired"},
	"session_ms":         {1500, 300, 3000, "how long a daemon stays a member without heartbeats"},
	"replace_ms":         {1500, 200, 600000, "how long an acceptor of the core may be unreachable before a spare acceptor replaces it"},
	"queue_ms":           {1500, 10, 60000, "how long a request may wait for a replica"},
	"queue_length":       {128, 1, 100000, "how many requests may be queued in one data daemon"},
	"request_ms":         {120000, 100, 3600000, "how long one attempt of a request may take"},
	"stall_ms":           {10000, 100, 600000, "how long a stream may go without data"},
	"ticket_ms":          {60000, 1000, 3600000, "how long a ticket is valid"},
	"retry_share":        {0.2, 0, 0.2, "retry budget, as a share of the requests that are not retries"},
	"small_share":        {0.08, 0.001, 0.1, "share of a model's requests that a version on trial (canary) may get"},
	"rollout_share":      {0.1, 0.001, 1, "share of a model's requests that a version may get until the duration of its timed roll-out is over"},
	"rollout_slack":      {50, 0, 100000, "requests that a version may get in addition to that within the duration"},
	"dark_ms":            {1200, 100, 10000, "how long a replica may leave health checks unanswered before it counts as down"},
	"probe_ms":           {300, 20, 10000, "interval of the health checks of replicas"},
	"platform_ms":        {1000, 50, 60000, "interval at which the platform's list of replicas is fetched"},
	"cold_share":         {0.125, 0.01, 1, "share of its capacity that a cold replica may get at the start of its warm-up"},
	"warm_ms":            {8000, 0, 600000, "minimum time until a cold replica reaches its full capacity"},
	"warm_answers":       {40, 1, 100000, "minimum number of answers until a cold replica reaches its full capacity"},
	"spill_share":        {0.6, 0, 1, "share of its spare capacity that a region offers to other regions"},
	"standby_ms":         {1800000, 0, 604800000, "how long a replaced version stays loaded"},
	"archive_ms":         {21600000, 0, 2592000000, "how long a version stays on standby"},
	"unload_wait_ms":     {30000, 0, 600000, "how long an unload waits for streams in progress"},
	"trial_ms":           {15000, 100, 86400000, "minimum duration of a trial"},
	"trial_most_ms":      {120000, 100, 86400000, "how long a trial waits for its samples at most"},
	"trial_samples":      {20, 1, 100000, "answers per kind that a trial needs as samples"},
	"trial_replicas":     {1, 1, 100, "replicas per region that a trial uses"},
	"watch_ms":           {30000, 0, 86400000, "how long a version is monitored after the route has moved to it"},
	"load_ms":            {600000, 100, 86400000, "how long replicas may take to load a version"},
	"ready_share":        {0.75, 0.01, 1, "share of a region's replicas that must be ready before the route moves"},
	"prompt_unit_bytes":  {8192, 64, 1048576, "prompt bytes per unit of cost"},
	"answer_unit_tokens": {512, 1, 1048576, "answer tokens per unit of cost"},
	"far_ms":             {80, 0, 10000, "network delay that another region adds to the time to first token"},
	"far_kb_ms":          {4, 0, 10000, "cost of sending a KiB to another region, in ms of waiting time"},
	"cold_excess":        {1, 0.1, 2, "part of its cold rate that all data daemons together send to a cold replica, as a ratio"},
	"again_ms":           {60, 0, 10000, "cost of the prefill of a thousand shared tokens on another replica, in ms of waiting time"},
	"tenant_ms":          {0, 0, 600000, "interval at which tenants' sessions are checked for changes that need a new placement; 0: never"},
	"tenant_change":      {0.25, 0.05, 1, "how much a tenant's sessions must have changed before its placement is evaluated again, as a share"},
	"tenant_again":       {0.1, 0.001, 1, "share of all prompt tokens for which placing tenants anew may cause a second prefill"},
	"affinity_slack":     {1.5, 0, 100, "how far the load of a prompt's preferred replica may exceed the average; 0: prompts have no preferred replica"},
}

// RemovedLimits are limits of earlier releases, each with the reason for its removal. A
// document that sets one is accepted for one release with a warning; the value is ignored.
var RemovedLimits = map[string]string{
	"reader_share": "long and short prompts share replicas, chosen by the time that each prompt would take there",
}

var (
	placementKeys = map[string]gjson.Type{"version": gjson.String, "capacity": gjson.Number, "home": gjson.String}
	handoverKeys  = map[string]gjson.Type{"automatic": gjson.True}
)

// Leaf is one effective value and the level that it comes from.
type Leaf struct {
	Value gjson.Result
	From  string
}

// Tree is a parsed and checked document.
//
// Invariant: a tree is immutable once it is parsed. It contains the resolved leaves of
// every zone, so reading it needs neither a lock nor a search through the levels.
type Tree struct {
	chunks        []*Chunk
	whole         map[string]Leaf
	regions       map[string]map[string]Leaf
	zones         map[string]map[string]Leaf
	regionOf      map[string]string
	platform      map[string]string
	routes        map[string][]*Route // by host, longest prefix first
	routeList     []*Route            // in the order of the document; owned by its chunks
	tenants       []*Tenant           // in the order of the document; owned by its chunks
	tenantsByName map[string]*Tenant  // by name
	tenantsByKey  map[string]*Tenant  // by key
	engines       map[string]*Engine
	intake        RequestLimits
	label         uint64

	hasTenants bool
	warnings   Problems
}

// Warnings returns the settings of the document that are ignored, with their paths.
func (tree *Tree) Warnings() Problems { return tree.warnings }

// parse parses and checks a document given in chunks, each of which must be valid JSON. The
// tree is nil when there are problems.
func parse(chunks []*Chunk) (*Tree, Problems) {
	var problems Problems
	root := gjson.Parse(chunks[0].Text)
	if !root.IsObject() {
		problems.add("$", "must be an object")
		return nil, problems
	}
	tree := &Tree{chunks: chunks, whole: map[string]Leaf{}, regions: map[string]map[string]Leaf{}, zones: map[string]map[string]Leaf{}, regionOf: map[string]string{}, platform: map[string]string{}}
	eachMember(root, "$", &problems, func(key string, value gjson.Result, path string) {
		switch key {
		case "whole":
			tree.readLevel(value, path, "whole", tree.whole, &problems, nil)
		case "regions":
			eachMember(value, path, &problems, func(region string, value gjson.Result, path string) {
				checkName(region, path, &problems)
				tree.regions[region] = map[string]Leaf{}
				tree.readLevel(value, path, "region "+region, tree.regions[region], &problems, func(key string, value gjson.Result, path string) bool {
					switch key {
					case "platform":
						if value.Type != gjson.String || !strings.HasPrefix(value.Str, "http://") {
							problems.add(path, "must be an http:// address")
						}
						tree.platform[region] = value.Str
					case "zones":
						eachMember(value, path, &problems, func(zone string, value gjson.Result, path string) {
							checkName(zone, path, &problems)
							if other, taken := tree.regionOf[zone]; taken {
								problems.add(path, "the zone is also in region %s", other)
							}
							tree.regionOf[zone] = region
							tree.zones[zone] = map[string]Leaf{}
							tree.readLevel(value, path, "zone "+zone, tree.zones[zone], &problems, nil)
						})
					default:
						return false
					}
					return true
				})
			})
		default:
			if !tree.readSection(key, value, path, &problems) {
				problems.add(path, "is unknown; the tree has whole, regions, routes, tenants, engines, intake, label and origin")
			}
		}
	})
	if len(tree.regions) == 0 {
		problems.add("$.regions", "at least one region is needed")
	}
	for region := range tree.regions {
		inheritLeaves(tree.regions[region], tree.whole)
	}
	for zone, region := range tree.regionOf {
		inheritLeaves(tree.zones[zone], tree.regions[region])
	}
	tree.checkReferences(&problems)
	tree.checkRoutes(&problems)
	tree.indexTenants(&problems)
	tree.liftZoneVersions(&problems)
	tree.checkProbeLimits(&problems)
	sort.SliceStable(problems, func(a, b int) bool { return problems[a].Path < problems[b].Path })
	if len(problems) > 0 {
		return nil, problems
	}
	if !chunks[0].isParsed {
		chunks[0].isParsed = true
	}
	return tree, nil
}

// checkName adds a problem unless the name is a valid name.
func checkName(name, path string, problems *Problems) {
	if !namePattern.MatchString(name) {
		problems.add(path, "%q is no name: letters, digits, dots, underscores and dashes", name)
	}
}

// eachMember calls visit for each member of an object; a key that is given twice is a
// problem.
func eachMember(object gjson.Result, path string, problems *Problems, visit func(key string, value gjson.Result, path string)) {
	if !object.IsObject() {
		problems.add(path, "must be an object")
		return
	}
	seen := map[string]bool{}
	object.ForEach(func(key, value gjson.Result) bool {
		memberPath := path + "." + key.Str
		if seen[key.Str] {
			problems.add(memberPath, "is given twice")
			return true
		}
		seen[key.Str] = true
		visit(key.Str, value, memberPath)
		return true
	})
}

// inheritLeaves copies to leaves the values of the level above that it does not override.
func inheritLeaves(leaves, from map[string]Leaf) {
	for key, leaf := range from {
		if _, isSet := leaves[key]; !isSet {
			leaves[key] = leaf
		}
	}
}

// readLevel reads the four sections of a level into leaves. Other sections are passed to
// other, which returns false for those that are unknown.
func (tree *Tree) readLevel(object gjson.Result, path, from string, leaves map[string]Leaf, problems *Problems, other func(string, gjson.Result, string) bool) {
	eachMember(object, path, problems, func(section string, value gjson.Result, path string) {
		store := func(key string, value gjson.Result) { leaves[section+"."+key] = Leaf{value, from} }
		switch section {
		case "limits":
			eachMember(value, path, problems, func(name string, value gjson.Result, path string) {
				bound, known := Limits[name]
				if reason, isRemoved := RemovedLimits[name]; isRemoved {
					tree.warnings.add(path, "is no longer a limit: %s", reason)
					return
				}
				switch {
				case !known:
					problems.add(path, "is no limit")
				case value.Type != gjson.Number:
					problems.add(path, "must be a number")
				case value.Num < bound.Min || value.Num > bound.Max:
					problems.add(path, "%v is not within %v to %v", value.Num, bound.Min, bound.Max)
				}
				store(name, value)
			})
		case "placements":
			tree.readModels(value, path, placementKeys, problems, store)
		case "handovers":
			tree.readModels(value, path, handoverKeys, problems, store)
		case "homes":
			eachMember(value, path, problems, func(tag string, value gjson.Result, path string) {
				checkName(tag, path, problems)
				if !value.IsArray() || len(value.Array()) == 0 {
					problems.add(path, "must be a list of at least one region")
				}
				store(tag, value)
			})
		default:
			if other == nil || !other(section, value, path) {
				problems.add(path, "is unknown here; a level has placements, handovers, homes and limits")
			}
		}
	})
}

// readModels reads a section that has an object with the given keys for each model.
func (tree *Tree) readModels(object gjson.Result, path string, keys map[string]gjson.Type, problems *Problems, store func(string, gjson.Result)) {
	eachMember(object, path, problems, func(model string, value gjson.Result, path string) {
		checkName(model, path, problems)
		eachMember(value, path, problems, func(key string, value gjson.Result, path string) {
			kind, known := keys[key]
			boolean := kind == gjson.True && (value.Type == gjson.True || value.Type == gjson.False)
			switch {
			case !known:
				problems.add(path, "is unknown")
			case value.Type != kind && !boolean:
				problems.add(path, "must be a %s", map[gjson.Type]string{gjson.String: "string", gjson.Number: "number", gjson.True: "boolean"}[kind])
			case kind == gjson.Number && (value.Num < 1 || value.Num > 100000 || value.Num != float64(int(value.Num))):
				problems.add(path, "%v is not a whole number within 1 to 100000", value.Num)
			case key == "version" && !namePattern.MatchString(value.Str):
				problems.add(path, "%q is not a valid name of a version", value.Str)
			}
			store(model+"."+key, value)
		})
	})
}

// liftZoneVersions copies the version of a model that is placed only in zones of a region
// to the region, so that the region's rollout runs and routes cover those zones. There is
// one route per model and region, so all zones of a region that have the model must have
// the same version of it.
func (tree *Tree) liftZoneVersions(problems *Problems) {
	zones := make([]string, 0, len(tree.regionOf))
	for zone := range tree.regionOf {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	for _, zone := range zones {
		region := tree.regionOf[zone]
		for key, leaf := range tree.zones[zone] {
			rest, isPlacement := strings.CutPrefix(key, "placements.")
			if !isPlacement || !strings.HasSuffix(rest, ".version") || leaf.From != "zone "+zone {
				continue
			}
			regional, known := tree.regions[region][key]
			switch {
			case !known:
				tree.regions[region][key] = leaf
			case regional.Value.Str != leaf.Value.Str:
				problems.add("$.regions."+region+".zones."+zone+"."+key, "%q, but region %s has %q (from %s): a region has one route per model, so replicas with another version need a region of their own", leaf.Value.Str, region, regional.Value.Str, regional.From)
			}
		}
	}
}

// checkProbeLimits checks for the whole and each region that the health check's interval
// fits its timeout. A problem is reported only once, at the level where probe_ms or dark_ms
// is set.
func (tree *Tree) checkProbeLimits(problems *Problems) {
	reported := map[string]bool{}
	regions := append([]string{""}, tree.Regions()...)
	for _, region := range regions {
		probe, dark := tree.Limit("probe_ms", region), tree.Limit("dark_ms", region)
		if 2*probe <= dark {
			continue
		}
		path := "$.whole.limits.probe_ms"
		for _, name := range []string{"limits.probe_ms", "limits.dark_ms"} {
			if region != "" && tree.regions[region][name].From == "region "+region {
				path = "$.regions." + region + ".limits.probe_ms"
			}
		}
		if !reported[path] {
			reported[path] = true
			problems.add(path, "is %g, and dark_ms is %g: at least two probes must fit into dark_ms", probe, dark)
		}
	}
}

// checkReferences checks that the regions, home tags and models that a level refers to exist.
func (tree *Tree) checkReferences(problems *Problems) {
	check := func(path, from string, leaves map[string]Leaf) {
		for key, leaf := range leaves {
			if leaf.From != from {
				continue // inherited; checked at the level that sets it
			}
			section, rest, _ := strings.Cut(key, ".")
			switch section {
			case "homes":
				for _, region := range leaf.Value.Array() {
					if _, known := tree.regions[region.String()]; !known {
						problems.add(path+"."+key, "names region %q, which is not in the tree", region.String())
					}
				}
			case "placements":
				model, name := cutLast(rest)
				if name == "home" {
					if _, known := leaves["homes."+leaf.Value.Str]; !known {
						problems.add(path+"."+key, "names home %q, which is not in homes", leaf.Value.Str)
					}
				}
				if _, placed := leaves["placements."+model+".version"]; !placed && name != "version" {
					problems.add(path+".placements."+model, "has no version, neither here nor at a level above")
				}
			case "handovers":
				model, _ := cutLast(rest)
				if _, placed := leaves["placements."+model+".version"]; !placed {
					problems.add(path+"."+key, "names model %q, which is not placed here", model)
				}
			}
		}
	}
	check("$.whole", "whole", tree.whole)
	for region, leaves := range tree.regions {
		check("$.regions."+region, "region "+region, leaves)
		for zone, at := range tree.regionOf {
			if at == region {
				check("$.regions."+region+".zones."+zone, "zone "+zone, tree.zones[zone])
			}
		}
	}
	*problems = distinct(*problems)
}

// cutLast splits the text at its last dot.
func cutLast(text string) (string, string) {
	at := strings.LastIndexByte(text, '.')
	return text[:at], text[at+1:]
}

// distinct returns the problems without duplicates.
func distinct(problems Problems) Problems {
	seen := map[Problem]bool{}
	var out Problems
	for _, problem := range problems {
		if !seen[problem] {
			seen[problem] = true
			out = append(out, problem)
		}
	}
	return out
}

// Effective returns all values in force in a zone, a region or, for an empty name, the
// whole, including defaults. It returns false if the tree has no such zone or region.
func (tree *Tree) Effective(scope string) (map[string]Leaf, bool) {
	leaves := tree.leaves(scope)
	if leaves == nil {
		return nil, false
	}
	out := map[string]Leaf{}
	inheritLeaves(out, leaves)
	for name, bound := range Limits {
		if _, set := out["limits."+name]; !set {
			out["limits."+name] = Leaf{gjson.Result{Type: gjson.Number, Num: bound.Default}, "default"}
		}
	}
	return out, true
}

// leaves returns the leaves of a zone, a region or, for an empty name, the whole. If there
// is no such zone or region, it returns nil.
func (tree *Tree) leaves(scope string) map[string]Leaf {
	if scope == "" {
		return tree.whole
	}
	if leaves, ok := tree.zones[scope]; ok {
		return leaves
	}
	return tree.regions[scope]
}

// Limit returns the value of a limit in a zone, a region or, for an empty name, the whole.
// If the tree is nil, it returns the default.
func (tree *Tree) Limit(name, scope string) float64 {
	if tree == nil {
		return Limits[name].Default
	}
	if leaf, set := tree.leaves(scope)["limits."+name]; set {
		return leaf.Value.Num
	}
	if leaf, set := tree.whole["limits."+name]; set {
		return leaf.Value.Num
	}
	return Limits[name].Default
}

// Duration returns a limit in milliseconds as a duration.
func (tree *Tree) Duration(name, scope string) time.Duration {
	return time.Duration(tree.Limit(name, scope) * float64(time.Millisecond))
}

// Placement states which version of a model a zone or region has, the model's home tag, and
// the capacity of its replicas in units of cost.
type Placement struct {
	Model, Version, Home string
	Capacity             int
}

// DefaultCapacity is the number of cost units that a replica can process concurrently,
// unless the placement sets another.
const DefaultCapacity = 8

// AnyVersion is the version of a placement that accepts whichever version of the weights
// the replicas report.
const AnyVersion = "any"

// AcceptsAnyVersion reports whether the placement accepts any version.
func (placement Placement) AcceptsAnyVersion() bool { return placement.Version == AnyVersion }

// Placement returns the placement of a model in a zone, a region or the whole, and false
// if the model is not placed there.
func (tree *Tree) Placement(model, scope string) (Placement, bool) {
	leaves := tree.leaves(scope)
	version, placed := leaves["placements."+model+".version"]
	if !placed {
		return Placement{}, false
	}
	placement := Placement{Model: model, Version: version.Value.Str, Capacity: DefaultCapacity, Home: leaves["placements."+model+".home"].Value.Str}
	if capacity, set := leaves["placements."+model+".capacity"]; set {
		placement.Capacity = int(capacity.Value.Num)
	}
	return placement, true
}

// Models returns the models that are placed in a zone, a region or the whole, sorted.
func (tree *Tree) Models(scope string) []string {
	var models []string
	for key := range tree.leaves(scope) {
		if rest, ok := strings.CutPrefix(key, "placements."); ok {
			if model, found := strings.CutSuffix(rest, ".version"); found {
				models = append(models, model)
			}
		}
	}
	sort.Strings(models)
	return models
}

// AutomaticRollout reports whether a change of the model's version in the tree starts a rollout.
func (tree *Tree) AutomaticRollout(model, scope string) bool {
	leaf, set := tree.leaves(scope)["handovers."+model+".automatic"]
	return !set || leaf.Value.Bool()
}

// Homes returns the regions of a home tag, and false if there is no such tag.
func (tree *Tree) Homes(tag, scope string) ([]string, bool) {
	leaf, known := tree.leaves(scope)["homes."+tag]
	if !known {
		return nil, false
	}
	var regions []string
	for _, region := range leaf.Value.Array() {
		regions = append(regions, region.String())
	}
	return regions, true
}

// Allowed reports whether a request with the home tag may be served in the region.
func (tree *Tree) Allowed(tag, region string) bool {
	if tag == "" {
		return true
	}
	homes, known := tree.Homes(tag, region)
	if !known {
		return false
	}
	for _, home := range homes {
		if home == region {
			return true
		}
	}
	return false
}

// Regions returns all regions, sorted.
func (tree *Tree) Regions() []string {
	regions := make([]string, 0, len(tree.regions))
	for region := range tree.regions {
		regions = append(regions, region)
	}
	sort.Strings(regions)
	return regions
}

// Zones returns the zones of a region, sorted.
func (tree *Tree) Zones(region string) []string {
	var zones []string
	for zone, at := range tree.regionOf {
		if at == region {
			zones = append(zones, zone)
		}
	}
	sort.Strings(zones)
	return zones
}

// RegionOf returns the region of a zone, and false for a zone that is not in the tree.
func (tree *Tree) RegionOf(zone string) (string, bool) {
	region, known := tree.regionOf[zone]
	return region, known
}

// Platform returns the URL from which a region's list of replicas is fetched.
func (tree *Tree) Platform(region string) string { return tree.platform[region] }
