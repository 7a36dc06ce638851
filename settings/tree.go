package settings

import (
	"sort"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// Bound is a limit's default and range.
type Bound struct {
	Default, Least, Most float64
	What                 string
}

// Limits are the limits that the tree may set, each with its default, range and
// meaning. Times are in milliseconds.
var Limits = map[string]Bound{
	"permit_ms":          {2000, 300, 2800, "how long a data daemon may serve after it last asked a core majority"},
	"quota_window_ms":    {5000, 500, 600000, "the span within which a tenant's requests are counted against its limit"},
	"quota_excess":       {0.1, 0.01, 1, "by how much a tenant's limit may be exceeded within the window, as a ratio"},
	"quota_slack":        {20, 4, 100000, "requests that a tenant may make above that within the window"},
	"quota_reserve_ms":   {60000, 1000, 86400000, "how long a data daemon that is not heard any more keeps its share of tenants' limits"},
	"alone_ms":           {0, 0, 86400000, "how long a data daemon serves routed requests by what it last knew, once its permit has ended"},
	"session_ms":         {1500, 300, 3000, "how long a daemon stays a member unheard"},
	"replace_ms":         {1500, 200, 600000, "how long an acceptor of the core may be unheard before one that waits takes its place"},
	"queue_ms":           {1500, 10, 60000, "how long a request may wait for a replica"},
	"queue_length":       {128, 1, 100000, "how many requests may wait in one data daemon"},
	"request_ms":         {120000, 100, 3600000, "how long one dispatch may take"},
	"stall_ms":           {10000, 100, 600000, "how long a stream may stay silent"},
	"ticket_ms":          {60000, 1000, 3600000, "how long a ticket lasts"},
	"retry_share":        {0.2, 0, 0.2, "retries as a share of real demand"},
	"small_share":        {0.08, 0.001, 0.1, "share of a model's requests that a version on trial may get"},
	"dark_ms":            {1200, 100, 10000, "how long a replica may leave probes unanswered"},
	"probe_ms":           {300, 20, 10000, "how often replicas are probed"},
	"platform_ms":        {1000, 50, 60000, "how often the platform is asked for its list"},
	"cold_share":         {0.125, 0.01, 1, "share of its capacity that a cold replica may get at first"},
	"warm_ms":            {8000, 0, 600000, "least time for a cold replica to reach its whole capacity"},
	"warm_answers":       {40, 1, 100000, "least answers for a cold replica to reach its whole capacity"},
	"spill_share":        {0.6, 0, 1, "share of its spare capacity that a region lends to others"},
	"standby_ms":         {1800000, 0, 604800000, "how long a replaced version stays loaded"},
	"archive_ms":         {21600000, 0, 2592000000, "how long a version stays on standby"},
	"unload_wait_ms":     {30000, 0, 600000, "how long an unload waits for streams in flight"},
	"trial_ms":           {15000, 100, 86400000, "how long a trial lasts at the least"},
	"trial_most_ms":      {120000, 100, 86400000, "how long a trial waits for its samples at the most"},
	"trial_samples":      {20, 1, 100000, "answers per kind that a trial wants to see"},
	"trial_replicas":     {1, 1, 100, "replicas per region that a trial uses"},
	"watch_ms":           {30000, 0, 86400000, "how long a version is watched after the route moved"},
	"load_ms":            {600000, 100, 86400000, "how long replicas may take to load a version"},
	"ready_share":        {0.75, 0.01, 1, "share of a region's replicas that must be ready before the route moves"},
	"prompt_unit_bytes":  {8192, 64, 1048576, "prompt bytes per unit of cost"},
	"answer_unit_tokens": {512, 1, 1048576, "answer tokens per unit of cost"},
	"far_ms":             {80, 0, 10000, "what the way to another region adds to a first piece"},
	"far_kb_ms":          {4, 0, 10000, "what a KiB sent to another region is weighed as, in ms of waiting"},
	"cold_excess":        {1, 0.1, 2, "how much of its cold rate a cold replica is sent by all together, as a ratio"},
	"again_ms":           {60, 0, 10000, "what a thousand shared tokens read again elsewhere are weighed as, in ms of waiting"},
	"tenant_ms":          {0, 0, 600000, "how often it is looked whether tenants' sessions have changed and need new placement; 0: never"},
	"tenant_change":      {0.25, 0.05, 1, "how far a tenant's sessions must have moved to be judged anew, as a share"},
	"tenant_again":       {0.1, 0.001, 1, "which part of all prompt tokens may be read again for tenants that are placed anew"},
	"affinity_slack":     {1.5, 0, 100, "how far above the average load a prompt's own replica may go; 0: prompts have no own replica"},
}

// RemovedLimits are limits of earlier releases, each with why it is no more. A document that
// sets one is taken, for one release, and the value means nothing.
var RemovedLimits = map[string]string{
	"reader_share": "long and short prompts go to the same replicas, by the time that each would take there",
}

var (
	placementKeys = map[string]gjson.Type{"version": gjson.String, "capacity": gjson.Number, "home": gjson.String}
	handoverKeys  = map[string]gjson.Type{"automatic": gjson.True}
)

// Leaf is one effective value and the level that it came from.
type Leaf struct {
	Value gjson.Result
	From  string
}

// Tree is a checked document.
//
// Invariant: a tree is never changed once it is parsed; every zone's leaves are
// resolved in it, so reading it takes no lock and no search.
type Tree struct {
	chunks        []*Chunk
	whole         map[string]Leaf
	regions       map[string]map[string]Leaf
	zones         map[string]map[string]Leaf
	regionOf      map[string]string
	platform      map[string]string
	routes        map[string][]*Route // by host, the longest prefix first
	routeList     []*Route            // as they stand in the document; from its chunks
	tenants       []*Tenant           // as well
	tenantsByName map[string]*Tenant  // by name
	tenantsByKey  map[string]*Tenant  // by key
	engines       map[string]*Engine
	intake        Intake
	label         uint64

	hasTenants bool
	warnings   Problems
}

// Warnings are what the document sets that means nothing any more, at its paths.
func (tree *Tree) Warnings() Problems { return tree.warnings }

// parse checks a document in chunks, each of which is JSON. The tree is nil when there
// are problems.
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
								problems.add(path, "the zone stands in region %s too", other)
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

func checkName(name, path string, problems *Problems) {
	if !namePattern.MatchString(name) {
		problems.add(path, "%q is no name: letters, digits, dots, underscores and dashes", name)
	}
}

// eachMember walks an object and reports keys that stand twice.
func eachMember(object gjson.Result, path string, problems *Problems, visit func(key string, value gjson.Result, path string)) {
	if !object.IsObject() {
		problems.add(path, "must be an object")
		return
	}
	seen := map[string]bool{}
	object.ForEach(func(key, value gjson.Result) bool {
		memberPath := path + "." + key.Str
		if seen[key.Str] {
			problems.add(memberPath, "stands twice")
			return true
		}
		seen[key.Str] = true
		visit(key.Str, value, memberPath)
		return true
	})
}

func inheritLeaves(leaves, from map[string]Leaf) {
	for key, leaf := range from {
		if _, isSet := leaves[key]; !isSet {
			leaves[key] = leaf
		}
	}
}

// readLevel reads the four sections of a level into leaves.
func (tree *Tree) readLevel(object gjson.Result, path, from string, leaves map[string]Leaf, problems *Problems, other func(string, gjson.Result, string) bool) {
	eachMember(object, path, problems, func(section string, value gjson.Result, path string) {
		store := func(key string, value gjson.Result) { leaves[section+"."+key] = Leaf{value, from} }
		switch section {
		case "limits":
			eachMember(value, path, problems, func(name string, value gjson.Result, path string) {
				bound, known := Limits[name]
				if reason, isRemoved := RemovedLimits[name]; isRemoved {
					tree.warnings.add(path, "is a limit no more: %s", reason)
					return
				}
				switch {
				case !known:
					problems.add(path, "is no limit")
				case value.Type != gjson.Number:
					problems.add(path, "must be a number")
				case value.Num < bound.Least || value.Num > bound.Most:
					problems.add(path, "%v is not within %v to %v", value.Num, bound.Least, bound.Most)
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
				problems.add(path, "%v is no whole number within 1 to 100000", value.Num)
			case key == "version" && !namePattern.MatchString(value.Str):
				problems.add(path, "%q is no name of a version", value.Str)
			}
			store(model+"."+key, value)
		})
	})
}

// liftZoneVersions gives a region the version of a model that only zones of it place, so
// that its runs and routes cover them. A route is one per model and region, so all
// zones of a region that hold a model hold the same version of it.
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
				problems.add("$.regions."+region+".zones."+zone+"."+key, "%q, but region %s has %q (from %s): a route is one per region, so a group that is to hold another version needs a region of its own", leaf.Value.Str, region, regional.Value.Str, regional.From)
			}
		}
	}
}

// checkProbeLimits checks limits against each other, where they are in force.
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
			problems.add(path, "is %g, and dark_ms is %g: a replica must be probed twice before it counts as dark", probe, dark)
		}
	}
}

// checkReferences checks what points elsewhere.
func (tree *Tree) checkReferences(problems *Problems) {
	check := func(path, from string, leaves map[string]Leaf) {
		for key, leaf := range leaves {
			if leaf.From != from {
				continue // told where it stands
			}
			section, rest, _ := strings.Cut(key, ".")
			switch section {
			case "homes":
				for _, region := range leaf.Value.Array() {
					if _, known := tree.regions[region.String()]; !known {
						problems.add(path+"."+key, "names region %q, which the tree does not have", region.String())
					}
				}
			case "placements":
				model, name := cutLast(rest)
				if name == "home" {
					if _, known := leaves["homes."+leaf.Value.Str]; !known {
						problems.add(path+"."+key, "names home %q, which homes does not have", leaf.Value.Str)
					}
				}
				if _, placed := leaves["placements."+model+".version"]; !placed && name != "version" {
					problems.add(path+".placements."+model, "has no version, here or above")
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

func cutLast(text string) (string, string) {
	at := strings.LastIndexByte(text, '.')
	return text[:at], text[at+1:]
}

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

// Effective gives every value that holds in a zone, a region or, for an empty
// name, the whole, defaults included.
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

func (tree *Tree) leaves(scope string) map[string]Leaf {
	if scope == "" {
		return tree.whole
	}
	if leaves, ok := tree.zones[scope]; ok {
		return leaves
	}
	return tree.regions[scope]
}

// Limit is a limit at a place: a zone, a region, or empty for the whole. Where there is no
// tree yet it is the default.
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

// Span is a limit that is a time.
func (tree *Tree) Span(name, scope string) time.Duration {
	return time.Duration(tree.Limit(name, scope) * float64(time.Millisecond))
}

// Placement is how a model is placed somewhere.
type Placement struct {
	Model, Version, Home string
	Capacity             int
}

// DefaultCapacity is the cost units that a replica can bear at once, unless the
// placement says otherwise.
const DefaultCapacity = 8

// AnyVersion is the version of a placement that leaves open which weights replicas
// hold: whichever they say that they have.
const AnyVersion = "any"

// Any tells whether the placement leaves the version open.
func (placement Placement) Any() bool { return placement.Version == AnyVersion }

// Placement is a model's at a place; false when it is not placed there.
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

// Models are the models placed at a place, in order.
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

// Automatic tells whether a changed version in the tree starts a roll-out.
func (tree *Tree) Automatic(model, scope string) bool {
	leaf, set := tree.leaves(scope)["handovers."+model+".automatic"]
	return !set || leaf.Value.Bool()
}

// Homes are the regions of a home tag; false when there is no such tag.
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

// Allowed tells whether a request with the home tag may be in the region.
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

// Regions are all regions, in order.
func (tree *Tree) Regions() []string {
	regions := make([]string, 0, len(tree.regions))
	for region := range tree.regions {
		regions = append(regions, region)
	}
	sort.Strings(regions)
	return regions
}

// Zones are a region's zones, in order.
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

// RegionOf is the region of a zone; false for a zone not in the tree.
func (tree *Tree) RegionOf(zone string) (string, bool) {
	region, known := tree.regionOf[zone]
	return region, known
}

// Platform is where a region's list of replicas is asked for.
func (tree *Tree) Platform(region string) string { return tree.platform[region] }
