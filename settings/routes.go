package settings

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// Kinds of routes: what may be done with a request that may have run.
const (
	Safe     = "safe"     // may run more than once
	Unsafe   = "unsafe"   // runs at most once
	Streamed = "streamed" // as unsafe, unless the route lets streams be resumed
)

// Share is a part of a route's traffic.
type Share struct {
	Model  string
	Weight float64
}

// Route says by host and path where a request goes and what it may cost.
//
// Invariants: Shares is not empty and its weights add up to more than zero; every
// model in it is placed in the tree; Prefix begins and ends with a slash; no two
// routes of a tree have the same Host and Prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               string
	// Timeout is the longest time that a request is held; Target the time to the first
	// piece within which an answer is worth most; Gap the longest pause within a stream
	// that is still in time, zero when none is stated.
	Timeout, Target, Gap time.Duration
	// Urgency is the rank, 0 first. Tries is the largest number of replicas that one
	// request may be sent to.
	Urgency, Tries int
	// Resume lets a stream be continued at another replica. Keyless requests need no key
	// and are nobody's, where the tree has tenants.
	Resume, Keyless bool
	// Homes are the only regions that may serve it; none means anywhere.
	Homes  []string
	Shares []Share
}

// Repeatable tells whether a request on the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Safe || route.Kind == Streamed && route.Resume
}

// Address is what its requests are addressed to: its host and prefix.
func (route *Route) Address() string { return route.Host + route.Prefix }

// RouteAt is the route with that address; nil when there is none.
func (tree *Tree) RouteAt(address string) *Route {
	host, path, _ := strings.Cut(address, "/")
	if route := tree.Route(host, "/"+path); route != nil && route.Address() == address {
		return route
	}
	return nil
}

// Within tells whether the route may be served in the region.
func (route *Route) Within(region string) bool {
	if len(route.Homes) == 0 {
		return true
	}
	for _, home := range route.Homes {
		if home == region {
			return true
		}
	}
	return false
}

// Engine is what is known beforehand of the replicas that hold a model.
type Engine struct {
	// ProbePath is where a replica is asked how it does.
	ProbePath string
	// ConnCap is how many connections a replica takes from all callers together.
	ConnCap int
	// Cold is how long a replica stays cold after its start, and ColdRate the requests a
	// second, from all callers together, that it bears meanwhile.
	Cold     time.Duration
	ColdRate float64
	// Berths are the requests that it works on at once, CacheTokens its memory for
	// running requests and kept parts, Spacing the tokens in one event of a stream.
	Berths, CacheTokens, Spacing int
}

// Intake bounds what a caller may send and how long it may take.
type Intake struct {
	HeaderBytes, BodyBytes int
	Header, Idle           time.Duration
}

// Route is the one with the host whose prefix begins the path and is the longest;
// nil when there is none. The host is compared without its port and letter case.
func (tree *Tree) Route(host, path string) *Route {
	for _, route := range tree.routes[hostOf(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// AtHome tells whether all routes of a host may be served in the region.
func (tree *Tree) AtHome(host, region string) bool {
	for _, route := range tree.routes[hostOf(host)] {
		if !route.Within(region) {
			return false
		}
	}
	return true
}

// Routed tells whether the tree has routes at all.
func (tree *Tree) Routed() bool { return len(tree.routes) > 0 }

// Engine is what is known of a model's replicas; nil when the tree does not say.
func (tree *Tree) Engine(model string) *Engine { return tree.engines[model] }

// Intake is what callers may send.
func (tree *Tree) Intake() Intake { return tree.intake }

// Label is the operator's own number of the document, zero when it has none.
func (tree *Tree) Label() uint64 { return tree.label }

// hostOf is a host as routes are looked up by it: without port and letter case.
func hostOf(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// index puts the routes of each host in the order in which they are looked at. No two
// routes may have the same host and prefix.
func (tree *Tree) index(problems *Problems) {
	tree.routes = make(map[string][]*Route, len(tree.listed))
	for at, route := range tree.listed {
		host := hostOf(route.Host)
		if list := tree.routes[host]; len(list) > 0 {
			tree.routes[host] = append(list, route)
		} else {
			tree.routes[host] = tree.listed[at : at+1 : at+1]
		}
	}
	for _, list := range tree.routes {
		if len(list) == 1 {
			continue
		}
		slices.SortStableFunc(list, func(a, b *Route) int {
			if longer := len(b.Prefix) - len(a.Prefix); longer != 0 {
				return longer
			}
			return strings.Compare(a.Prefix, b.Prefix)
		})
		first := list[0]
		for _, route := range list[1:] {
			if route.Prefix != first.Prefix {
				first = route
			} else if route.Host != "" && route.Prefix != "" {
				(&spot{nil, "routes", slices.Index(tree.listed, route)}).tell(problems, "", "has the host and prefix of routes.%d", slices.Index(tree.listed, first))
			}
		}
	}
}

// shape is what a key may hold. The kind True stands for booleans, JSON for lists;
// least and most bound numbers.
type shape struct {
	kind              gjson.Type
	least, most       float64
	isWhole, isNeeded bool
}

const (
	// No span is as short as nothing or longer than a day, in milliseconds.
	shortest, longest = 0.001, 86400000.0
	// most is the highest of numbers that have no bound of their own.
	most = 1 << 40
)

var (
	routeShapes = map[string]shape{
		"name": {kind: gjson.String, isNeeded: true}, "host": {kind: gjson.String, isNeeded: true}, "prefix": {kind: gjson.String, isNeeded: true}, "kind": {kind: gjson.String, isNeeded: true},
		"timeout_ms": {kind: gjson.Number, least: shortest, most: longest, isNeeded: true}, "target_ms": {kind: gjson.Number, most: longest}, "gap_ms": {kind: gjson.Number, most: longest},
		"urgency": {kind: gjson.Number, most: 9, isWhole: true}, "tries": {kind: gjson.Number, least: 1, most: 1000, isWhole: true}, "resume": {kind: gjson.True}, "keyless": {kind: gjson.True},
		"homes": {kind: gjson.JSON}, "shares": {kind: gjson.JSON, isNeeded: true},
	}
	shareShapes  = map[string]shape{"model": {kind: gjson.String, isNeeded: true}, "weight": {kind: gjson.Number, most: most, isNeeded: true}}
	engineShapes = map[string]shape{
		"probe_path": {kind: gjson.String, isNeeded: true}, "conn_cap": {kind: gjson.Number, most: most, isWhole: true}, "cold_ms": {kind: gjson.Number, most: longest}, "cold_per_s": {kind: gjson.Number, most: most},
		"berths": {kind: gjson.Number, least: 1, most: 100000, isWhole: true}, "cache_tokens": {kind: gjson.Number, most: most, isWhole: true}, "spacing": {kind: gjson.Number, most: most, isWhole: true},
	}
	intakeShapes = map[string]shape{
		"header_bytes": {kind: gjson.Number, least: 1, most: most, isWhole: true}, "body_bytes": {kind: gjson.Number, least: 1, most: most, isWhole: true},
		"header_ms": {kind: gjson.Number, least: shortest, most: longest}, "idle_ms": {kind: gjson.Number, least: shortest, most: longest},
	}
	kindNames = map[gjson.Type]string{gjson.String: "string", gjson.Number: "number", gjson.True: "boolean", gjson.JSON: "list"}
)

// spot is a place in a document; its path is only made where there is a problem, as
// documents may have thousands of routes.
type spot struct {
	above *spot
	key   string
	index int // within the list of that key; -1 for the key itself
}

func (spot *spot) String() string {
	if spot == nil {
		return "$"
	}
	if spot.index < 0 {
		return spot.above.String() + "." + spot.key
	}
	return fmt.Sprintf("%s.%s.%d", spot.above, spot.key, spot.index)
}

func (spot *spot) tell(problems *Problems, key, reason string, values ...any) {
	path := spot.String()
	if key != "" {
		path += "." + key
	}
	problems.add(path, reason, values...)
}

// fields are an object's members that hold what they may.
type fields []field

type field struct {
	key   string
	value gjson.Result
	isBad bool
}

// get gives a member, and false when it is not there or does not hold what it may.
func (fields fields) get(key string) (gjson.Result, bool) {
	for index := range fields {
		if one := &fields[index]; one.key == key && !one.isBad {
			return one.value, true
		}
	}
	return gjson.Result{}, false
}

func (fields fields) text(key string) string { value, _ := fields.get(key); return value.Str }
func (fields fields) number(key string) float64 {
	value, _ := fields.get(key)
	return value.Num
}
func (fields fields) span(key string) time.Duration {
	return time.Duration(fields.number(key) * float64(time.Millisecond))
}

// texts gives a list of strings; what is none, or empty, is a problem.
func (fields fields) texts(key string, at *spot, problems *Problems) (out []string) {
	list, _ := fields.get(key)
	list.ForEach(func(_, one gjson.Result) bool {
		if one.Type != gjson.String || one.Str == "" {
			(&spot{at, key, len(out)}).tell(problems, "", "must be a string that is not empty")
		}
		out = append(out, one.Str)
		return true
	})
	return out
}

func (fields fields) has(key string) bool {
	for index := range fields {
		if fields[index].key == key {
			return true
		}
	}
	return false
}

// members checks an object's keys.
func members(object gjson.Result, at *spot, shapes map[string]shape, problems *Problems) fields {
	if !object.IsObject() {
		at.tell(problems, "", "must be an object")
		return nil
	}
	got := make(fields, 0, len(shapes))
	object.ForEach(func(key, value gjson.Result) bool {
		if got.has(key.Str) {
			at.tell(problems, key.Str, "stands twice")
			return true
		}
		shape, known := shapes[key.Str]
		fits := value.Type == shape.kind
		switch shape.kind {
		case gjson.True:
			fits = value.IsBool()
		case gjson.JSON:
			fits = value.IsArray()
		}
		one := field{key: key.Str, value: value, isBad: true}
		switch {
		case !known:
			at.tell(problems, key.Str, "is unknown")
		case !fits:
			at.tell(problems, key.Str, "must be a %s", kindNames[shape.kind])
		case shape.kind == gjson.Number && (value.Num < shape.least || value.Num > shape.most):
			at.tell(problems, key.Str, "%v is not within %v to %v", value.Num, shape.least, shape.most)
		case shape.isWhole && value.Num != math.Trunc(value.Num):
			at.tell(problems, key.Str, "%v is no whole number", value.Num)
		default:
			one.isBad = false
		}
		got = append(got, one)
		return true
	})
	for key, shape := range shapes {
		if shape.isNeeded && !got.has(key) {
			at.tell(problems, key, "is needed")
		}
	}
	return got
}

// sections reads what stands beside the levels; false when the key is none of them.
func (tree *Tree) sections(key string, value gjson.Result, path string, problems *Problems) bool {
	switch key {
	case "label":
		label, err := strconv.ParseUint(value.Raw, 10, 64)
		if err != nil {
			problems.add(path, "must be a whole number, 0 or above")
		}
		tree.label = label
	case "origin": // what the document was made from, kept as it is
	case "routes":
		if !value.IsArray() {
			problems.add(path, "must be a list")
			break
		}
		for _, chunk := range tree.runsOf(key) {
			chunk.read(len(tree.listed), problems)
			tree.listed = append(tree.listed, chunk.routes...)
		}
		tree.index(problems)
	case "tenants":
		if !value.IsArray() {
			problems.add(path, "must be a list")
			break
		}
		tree.isTenanted = true
		for _, chunk := range tree.runsOf(key) {
			chunk.read(len(tree.tenants), problems)
			tree.tenants = append(tree.tenants, chunk.tenants...)
		}
	case "engines":
		tree.engines = map[string]*Engine{}
		each(value, path, problems, func(model string, one gjson.Result, path string) {
			shaped(model, path, problems)
			at := &spot{&spot{nil, "engines", -1}, model, -1}
			got := members(one, at, engineShapes, problems)
			if probe, known := got.get("probe_path"); known && !strings.HasPrefix(probe.Str, "/") {
				at.tell(problems, "probe_path", "must begin with a slash")
			}
			tree.engines[model] = &Engine{ProbePath: got.text("probe_path"), ConnCap: int(got.number("conn_cap")), Cold: got.span("cold_ms"), ColdRate: got.number("cold_per_s"),
				Berths: int(got.number("berths")), CacheTokens: int(got.number("cache_tokens")), Spacing: int(got.number("spacing"))}
		})
	case "intake":
		got := members(value, &spot{nil, "intake", -1}, intakeShapes, problems)
		tree.intake = Intake{HeaderBytes: int(got.number("header_bytes")), BodyBytes: int(got.number("body_bytes")), Header: got.span("header_ms"), Idle: got.span("idle_ms")}
	default:
		return false
	}
	return true
}

// readRoute reads one route and checks what can be told without the rest of the
// tree.
func readRoute(value gjson.Result, at *spot, problems *Problems) *Route {
	got := members(value, at, routeShapes, problems)
	resume, _ := got.get("resume")
	keyless, _ := got.get("keyless")
	route := &Route{Name: got.text("name"), Host: got.text("host"), Prefix: got.text("prefix"), Kind: got.text("kind"), Timeout: got.span("timeout_ms"), Target: got.span("target_ms"), Gap: got.span("gap_ms"),
		Urgency: int(got.number("urgency")), Tries: max(1, int(got.number("tries"))), Resume: resume.Bool(), Keyless: keyless.Bool(), Homes: got.texts("homes", at, problems)}
	for _, key := range []string{"name", "host"} {
		if one, known := got.get(key); known && one.Str == "" {
			at.tell(problems, key, "is empty")
		}
	}
	if prefix, known := got.get("prefix"); known && (!strings.HasPrefix(prefix.Str, "/") || !strings.HasSuffix(prefix.Str, "/")) {
		at.tell(problems, "prefix", "%q must begin and end with a slash", prefix.Str)
	}
	if kind, known := got.get("kind"); known && kind.Str != Safe && kind.Str != Unsafe && kind.Str != Streamed {
		at.tell(problems, "kind", "%q is none of %s, %s, %s", kind.Str, Safe, Unsafe, Streamed)
	}
	shares, known := got.get("shares")
	sum := 0.0
	for index, share := range shares.Array() {
		place := &spot{at, "shares", index}
		got := members(share, place, shareShapes, problems)
		if model, known := got.get("model"); known && model.Str == "" {
			place.tell(problems, "model", "is empty")
		}
		route.Shares = append(route.Shares, Share{Model: got.text("model"), Weight: got.number("weight")})
		sum += got.number("weight")
	}
	if known && sum <= 0 {
		at.tell(problems, "shares", "its weights must add up to more than 0")
	}
	return route
}

// join checks what routes name elsewhere in the tree.
func (tree *Tree) join(problems *Problems) {
	placed := map[string]bool{}
	for _, leaves := range append(slices.Collect(maps.Values(tree.regions)), slices.Collect(maps.Values(tree.zones))...) {
		for key := range leaves {
			if rest, isPlacement := strings.CutPrefix(key, "placements."); isPlacement {
				model, _ := cutLast(rest)
				placed[model] = true
			}
		}
	}
	// Paths are only made where there is a problem.
	tell := func(route int, list string, index int, key, reason string, values ...any) {
		(&spot{&spot{nil, "routes", route}, list, index}).tell(problems, key, reason, values...)
	}
	for at, route := range tree.listed {
		for index, share := range route.Shares {
			switch {
			case share.Model == "": // told where it is read
			case !placed[share.Model]:
				tell(at, "shares", index, "model", "names model %q, which is placed nowhere", share.Model)
			case tree.engines[share.Model] == nil:
				tell(at, "shares", index, "model", "names model %q, which has no engine", share.Model)
			}
		}
		for index, home := range route.Homes {
			if _, known := tree.regions[home]; !known && home != "" {
				tell(at, "homes", index, "", "names region %q, which the tree does not have", home)
			}
		}
	}
}
