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

// Kinds of routes: whether a request that may already have run may be retried.
const (
	Safe     = "safe"     // may run more than once
	Unsafe   = "unsafe"   // runs at most once
	Streamed = "streamed" // like unsafe, unless the route allows streams to be resumed
)

// Share is the part of a route's traffic that goes to one model, by weight.
type Share struct {
	Model  string
	Weight float64
}

// Route determines by host and path which models serve a request, and the request's
// timeout, urgency and number of attempts.
//
// Invariants: Shares is not empty and its weights add up to more than zero; every
// model in it is placed in the tree; Prefix begins and ends with a slash; no two
// routes of a tree have the same Host and Prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               string
	// Timeout is the longest time that a request may take. Target is the time to first
	// token within which an answer has its full value. Gap is the longest pause within a
	// stream that still counts as in time; zero means that none is set.
	Timeout, Target, Gap time.Duration
	// Urgency is the priority class; 0 is the most urgent. MaxAttempts is the maximum number of
	// replicas that one request may be sent to.
	Urgency, MaxAttempts int
	// Resume allows a stream to be continued on another replica. Keyless means that
	// requests need no key and belong to no tenant, where the tree has tenants.
	Resume, Keyless bool
	// Homes are the only regions that may serve the route; if empty, all regions may.
	Homes  []string
	Shares []Share
}

// Idempotent reports whether a request on the route may run more than once.
func (route *Route) Idempotent() bool {
	return route.Kind == Safe || route.Kind == Streamed && route.Resume
}

// Address returns the route's host and prefix, which identify it in the tree.
func (route *Route) Address() string { return route.Host + route.Prefix }

// RouteByAddress returns the route with the address, or nil if there is none.
func (tree *Tree) RouteByAddress(address string) *Route {
	host, path, _ := strings.Cut(address, "/")
	if route := tree.Route(host, "/"+path); route != nil && route.Address() == address {
		return route
	}
	return nil
}

// AllowedIn reports whether the route may be served in the region.
func (route *Route) AllowedIn(region string) bool {
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

// Engine describes the replicas that serve a model, as far as the document states it.
type Engine struct {
	// ProbePath is the HTTP path of a replica's health check.
	ProbePath string
	// ConnCap is the maximum number of connections that a replica accepts from all callers
	// together.
	ConnCap int
	// ColdPeriod is how long a replica stays cold after its start. ColdRate is the number of
	// requests per second, from all callers together, that it can bear during that time.
	ColdPeriod time.Duration
	ColdRate   float64
	// Slots is the number of requests that a replica processes concurrently. CacheTokens
	// is the size of its key-value cache, for running requests and the prefix cache.
	// TokensPerEvent is the number of tokens in one event of a stream.
	Slots, CacheTokens, TokensPerEvent int
}

// RequestLimits limits the size of a caller's request and the time that its connection may take:
// Header is the timeout for reading the header, Idle that for an idle connection.
type RequestLimits struct {
	HeaderBytes, BodyBytes int
	Header, Idle           time.Duration
}

// Route returns the route of the host with the longest prefix that matches the path, or
// nil if there is none. Hosts are compared without port and regardless of letter case.
func (tree *Tree) Route(host, path string) *Route {
	for _, route := range tree.routes[hostOf(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// HostAllowed reports whether all routes of the host may be served in the region.
func (tree *Tree) HostAllowed(host, region string) bool {
	for _, route := range tree.routes[hostOf(host)] {
		if !route.AllowedIn(region) {
			return false
		}
	}
	return true
}

// HasRoutes reports whether the tree has any routes.
func (tree *Tree) HasRoutes() bool { return len(tree.routes) > 0 }

// Engine returns the description of the model's replicas, or nil if the tree has none.
func (tree *Tree) Engine(model string) *Engine { return tree.engines[model] }

// RequestLimits returns the limits on callers' requests.
func (tree *Tree) RequestLimits() RequestLimits { return tree.intake }

// Label returns the number that the operator gave the document, or zero.
func (tree *Tree) Label() uint64 { return tree.label }

// hostOf returns the host as the key for looking up routes: lower case and without port.
func hostOf(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// indexRoutes groups the routes by host and sorts those of a host by descending length of
// their prefixes. Two routes with the same host and prefix are a problem.
func (tree *Tree) indexRoutes(problems *Problems) {
	tree.routes = make(map[string][]*Route, len(tree.routeList))
	for at, route := range tree.routeList {
		host := hostOf(route.Host)
		if list := tree.routes[host]; len(list) > 0 {
			tree.routes[host] = append(list, route)
		} else {
			tree.routes[host] = tree.routeList[at : at+1 : at+1]
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
				(&location{nil, "routes", slices.Index(tree.routeList, route)}).report(problems, "", "has the same host and prefix as routes.%d", slices.Index(tree.routeList, first))
			}
		}
	}
}

// fieldRule states which values a key may have. The kind True stands for booleans and JSON
// for lists; min and max are the bounds of a number.
type fieldRule struct {
	kind                  gjson.Type
	min, max              float64
	isInteger, isRequired bool
}

const (
	// Durations, in milliseconds, must be above zero and at most one day.
	minMillis, maxMillis = 0.001, 86400000.0
	// maxNumber is the upper bound of numbers that have no other bound.
	maxNumber = 1 << 40
)

var (
	routeFields = map[string]fieldRule{
		"name": {kind: gjson.String, isRequired: true}, "host": {kind: gjson.String, isRequired: true}, "prefix": {kind: gjson.String, isRequired: true}, "kind": {kind: gjson.String, isRequired: true},
		"timeout_ms": {kind: gjson.Number, min: minMillis, max: maxMillis, isRequired: true}, "target_ms": {kind: gjson.Number, max: maxMillis}, "gap_ms": {kind: gjson.Number, max: maxMillis},
		"urgency": {kind: gjson.Number, max: 9, isInteger: true}, "tries": {kind: gjson.Number, min: 1, max: 1000, isInteger: true}, "resume": {kind: gjson.True}, "keyless": {kind: gjson.True},
		"homes": {kind: gjson.JSON}, "shares": {kind: gjson.JSON, isRequired: true},
	}
	shareFields  = map[string]fieldRule{"model": {kind: gjson.String, isRequired: true}, "weight": {kind: gjson.Number, max: maxNumber, isRequired: true}}
	engineFields = map[string]fieldRule{
		"probe_path": {kind: gjson.String, isRequired: true}, "conn_cap": {kind: gjson.Number, max: maxNumber, isInteger: true}, "cold_ms": {kind: gjson.Number, max: maxMillis}, "cold_per_s": {kind: gjson.Number, max: maxNumber},
		"berths": {kind: gjson.Number, min: 1, max: 100000, isInteger: true}, "cache_tokens": {kind: gjson.Number, max: maxNumber, isInteger: true}, "spacing": {kind: gjson.Number, max: maxNumber, isInteger: true},
	}
	intakeFields = map[string]fieldRule{
		"header_bytes": {kind: gjson.Number, min: 1, max: maxNumber, isInteger: true}, "body_bytes": {kind: gjson.Number, min: 1, max: maxNumber, isInteger: true},
		"header_ms": {kind: gjson.Number, min: minMillis, max: maxMillis}, "idle_ms": {kind: gjson.Number, min: minMillis, max: maxMillis},
	}
	kindNames = map[gjson.Type]string{gjson.String: "string", gjson.Number: "number", gjson.True: "boolean", gjson.JSON: "list"}
)

// location is a position in a document. Its path is built only when a problem is reported,
// as documents may have thousands of routes.
type location struct {
	parent *location
	key    string
	index  int // in the list of that key; -1 for the key itself
}

func (location *location) String() string {
	if location == nil {
		return "$"
	}
	if location.index < 0 {
		return location.parent.String() + "." + location.key
	}
	return fmt.Sprintf("%s.%s.%d", location.parent, location.key, location.index)
}

func (location *location) report(problems *Problems, key, reason string, values ...any) {
	path := location.String()
	if key != "" {
		path += "." + key
	}
	problems.add(path, reason, values...)
}

// fields holds the members of an object that were read, each marked if its value is invalid.
type fields []field

type field struct {
	key       string
	value     gjson.Result
	isInvalid bool
}

// get returns the value of a member, and false if it is missing or invalid.
func (fields fields) get(key string) (gjson.Result, bool) {
	for index := range fields {
		if member := &fields[index]; member.key == key && !member.isInvalid {
			return member.value, true
		}
	}
	return gjson.Result{}, false
}

func (fields fields) text(key string) string { value, _ := fields.get(key); return value.Str }
func (fields fields) number(key string) float64 {
	value, _ := fields.get(key)
	return value.Num
}
func (fields fields) duration(key string) time.Duration {
	return time.Duration(fields.number(key) * float64(time.Millisecond))
}

// stringList returns a list of strings. An element that is not a string, or is empty, is
// a problem.
func (fields fields) stringList(key string, at *location, problems *Problems) (out []string) {
	list, _ := fields.get(key)
	list.ForEach(func(_, element gjson.Result) bool {
		if element.Type != gjson.String || element.Str == "" {
			(&location{at, key, len(out)}).report(problems, "", "must be a string and not empty")
		}
		out = append(out, element.Str)
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

// readFields checks an object's members against the rules and returns them.
func readFields(object gjson.Result, at *location, rules map[string]fieldRule, problems *Problems) fields {
	if !object.IsObject() {
		at.report(problems, "", "must be an object")
		return nil
	}
	result := make(fields, 0, len(rules))
	object.ForEach(func(key, value gjson.Result) bool {
		if result.has(key.Str) {
			at.report(problems, key.Str, "is given twice")
			return true
		}
		rule, known := rules[key.Str]
		fits := value.Type == rule.kind
		switch rule.kind {
		case gjson.True:
			fits = value.IsBool()
		case gjson.JSON:
			fits = value.IsArray()
		}
		member := field{key: key.Str, value: value, isInvalid: true}
		switch {
		case !known:
			at.report(problems, key.Str, "is unknown")
		case !fits:
			at.report(problems, key.Str, "must be a %s", kindNames[rule.kind])
		case rule.kind == gjson.Number && (value.Num < rule.min || value.Num > rule.max):
			at.report(problems, key.Str, "%v is not within %v to %v", value.Num, rule.min, rule.max)
		case rule.isInteger && value.Num != math.Trunc(value.Num):
			at.report(problems, key.Str, "%v is not a whole number", value.Num)
		default:
			member.isInvalid = false
		}
		result = append(result, member)
		return true
	})
	for key, rule := range rules {
		if rule.isRequired && !result.has(key) {
			at.report(problems, key, "is needed")
		}
	}
	return result
}

// readSection reads a top-level section other than the levels (whole and regions). It
// returns false if the key is none of these sections.
func (tree *Tree) readSection(key string, value gjson.Result, path string, problems *Problems) bool {
	switch key {
	case "label":
		label, err := strconv.ParseUint(value.Raw, 10, 64)
		if err != nil {
			problems.add(path, "must be a whole number, 0 or above")
		}
		tree.label = label
	case "origin": // what the document was generated from; stored but not interpreted
	case "routes":
		if !value.IsArray() {
			problems.add(path, "must be a list")
			break
		}
		for _, chunk := range tree.chunksOf(key) {
			chunk.parse(len(tree.routeList), problems)
			tree.routeList = append(tree.routeList, chunk.routes...)
		}
		tree.indexRoutes(problems)
	case "tenants":
		if !value.IsArray() {
			problems.add(path, "must be a list")
			break
		}
		tree.hasTenants = true
		for _, chunk := range tree.chunksOf(key) {
			chunk.parse(len(tree.tenants), problems)
			tree.tenants = append(tree.tenants, chunk.tenants...)
		}
	case "engines":
		tree.engines = map[string]*Engine{}
		eachMember(value, path, problems, func(model string, engine gjson.Result, path string) {
			checkName(model, path, problems)
			at := &location{&location{nil, "engines", -1}, model, -1}
			parsed := readFields(engine, at, engineFields, problems)
			if probe, known := parsed.get("probe_path"); known && !strings.HasPrefix(probe.Str, "/") {
				at.report(problems, "probe_path", "must begin with a slash")
			}
			tree.engines[model] = &Engine{ProbePath: parsed.text("probe_path"), ConnCap: int(parsed.number("conn_cap")), ColdPeriod: parsed.duration("cold_ms"), ColdRate: parsed.number("cold_per_s"),
				Slots: int(parsed.number("berths")), CacheTokens: int(parsed.number("cache_tokens")), TokensPerEvent: int(parsed.number("spacing"))}
		})
	case "intake":
		parsed := readFields(value, &location{nil, "intake", -1}, intakeFields, problems)
		tree.intake = RequestLimits{HeaderBytes: int(parsed.number("header_bytes")), BodyBytes: int(parsed.number("body_bytes")), Header: parsed.duration("header_ms"), Idle: parsed.duration("idle_ms")}
	default:
		return false
	}
	return true
}

// readRoute reads one route and makes the checks that don't need the rest of the tree.
func readRoute(value gjson.Result, at *location, problems *Problems) *Route {
	parsed := readFields(value, at, routeFields, problems)
	resume, _ := parsed.get("resume")
	keyless, _ := parsed.get("keyless")
	route := &Route{Name: parsed.text("name"), Host: parsed.text("host"), Prefix: parsed.text("prefix"), Kind: parsed.text("kind"), Timeout: parsed.duration("timeout_ms"), Target: parsed.duration("target_ms"), Gap: parsed.duration("gap_ms"),
		Urgency: int(parsed.number("urgency")), MaxAttempts: max(1, int(parsed.number("tries"))), Resume: resume.Bool(), Keyless: keyless.Bool(), Homes: parsed.stringList("homes", at, problems)}
	for _, key := range []string{"name", "host"} {
		if text, known := parsed.get(key); known && text.Str == "" {
			at.report(problems, key, "is empty")
		}
	}
	if prefix, known := parsed.get("prefix"); known && (!strings.HasPrefix(prefix.Str, "/") || !strings.HasSuffix(prefix.Str, "/")) {
		at.report(problems, "prefix", "%q must begin and end with a slash", prefix.Str)
	}
	if kind, known := parsed.get("kind"); known && kind.Str != Safe && kind.Str != Unsafe && kind.Str != Streamed {
		at.report(problems, "kind", "%q is none of the kinds %s, %s, %s", kind.Str, Safe, Unsafe, Streamed)
	}
	shares, known := parsed.get("shares")
	sum := 0.0
	for index, share := range shares.Array() {
		location := &location{at, "shares", index}
		parsed := readFields(share, location, shareFields, problems)
		if model, known := parsed.get("model"); known && model.Str == "" {
			location.report(problems, "model", "is empty")
		}
		route.Shares = append(route.Shares, Share{Model: parsed.text("model"), Weight: parsed.number("weight")})
		sum += parsed.number("weight")
	}
	if known && sum <= 0 {
		at.report(problems, "shares", "its weights must add up to more than 0")
	}
	return route
}

// checkRoutes checks that the models and regions that routes refer to are in the tree.
func (tree *Tree) checkRoutes(problems *Problems) {
	placed := map[string]bool{}
	for _, leaves := range append(slices.Collect(maps.Values(tree.regions)), slices.Collect(maps.Values(tree.zones))...) {
		for key := range leaves {
			if rest, isPlacement := strings.CutPrefix(key, "placements."); isPlacement {
				model, _ := cutLast(rest)
				placed[model] = true
			}
		}
	}
	// Paths are built only when there is a problem.
	report := func(route int, list string, index int, key, reason string, values ...any) {
		(&location{&location{nil, "routes", route}, list, index}).report(problems, key, reason, values...)
	}
	for at, route := range tree.routeList {
		for index, share := range route.Shares {
			switch {
			case share.Model == "": // reported by readRoute
			case !placed[share.Model]:
				report(at, "shares", index, "model", "names model %q, which is placed nowhere", share.Model)
			case tree.engines[share.Model] == nil:
				report(at, "shares", index, "model", "names model %q, which has no engine", share.Model)
			}
		}
		for index, home := range route.Homes {
			if _, known := tree.regions[home]; !known && home != "" {
				report(at, "homes", index, "", "names region %q, which is not in the tree", home)
			}
		}
	}
}
