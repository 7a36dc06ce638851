package settings

import (
	"sort"
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
	// Resume lets a stream be continued at another replica.
	Resume bool
	// Homes are the only regions that may serve it; none means anywhere.
	Homes  []string
	Shares []Share
}

// Repeatable tells whether a request on the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Safe || route.Kind == Streamed && route.Resume
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
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	list := tree.routes[host]
	if list == nil {
		list = tree.routes[strings.ToLower(host)]
	}
	for _, route := range list {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Routed tells whether the tree has routes at all.
func (tree *Tree) Routed() bool { return len(tree.routes) > 0 }

// Engine is what is known of a model's replicas; nil when the tree does not say.
func (tree *Tree) Engine(model string) *Engine { return tree.engines[model] }

// Intake is what callers may send.
func (tree *Tree) Intake() Intake { return tree.intake }

// Label is the operator's own number of the document, zero when it has none.
func (tree *Tree) Label() uint64 { return tree.label }

// index puts the routes of each host in the order in which they are looked at.
func (tree *Tree) index(routes []*Route) {
	tree.routes = map[string][]*Route{}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		tree.routes[host] = append(tree.routes[host], route)
	}
	for _, list := range tree.routes {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].Prefix) > len(list[b].Prefix) })
	}
}

// sections reads what stands beside the levels; false when the key is none of them.
func (tree *Tree) sections(key string, value gjson.Result, path string, problems *Problems) bool {
	span := func(name string) time.Duration {
		return time.Duration(value.Get(name).Num * float64(time.Millisecond))
	}
	switch key {
	case "label":
		tree.label = value.Uint()
	case "origin": // what the document was made from, kept as it is
	case "routes":
		var routes []*Route
		for _, one := range value.Array() {
			value = one
			route := &Route{Name: one.Get("name").String(), Host: one.Get("host").String(), Prefix: one.Get("prefix").String(), Kind: one.Get("kind").String(),
				Timeout: span("timeout_ms"), Target: span("target_ms"), Gap: span("gap_ms"), Urgency: int(one.Get("urgency").Int()), Tries: int(one.Get("tries").Int()), Resume: one.Get("resume").Bool()}
			for _, home := range one.Get("homes").Array() {
				route.Homes = append(route.Homes, home.String())
			}
			for _, share := range one.Get("shares").Array() {
				route.Shares = append(route.Shares, Share{Model: share.Get("model").String(), Weight: share.Get("weight").Num})
			}
			routes = append(routes, route)
		}
		tree.index(routes)
	case "engines":
		tree.engines = map[string]*Engine{}
		each(value, path, problems, func(model string, one gjson.Result, path string) {
			value = one
			tree.engines[model] = &Engine{ProbePath: one.Get("probe_path").String(), ConnCap: int(one.Get("conn_cap").Int()), Cold: span("cold_ms"), ColdRate: one.Get("cold_per_s").Num,
				Berths: int(one.Get("berths").Int()), CacheTokens: int(one.Get("cache_tokens").Int()), Spacing: int(one.Get("spacing").Int())}
		})
	case "intake":
		tree.intake = Intake{HeaderBytes: int(value.Get("header_bytes").Int()), BodyBytes: int(value.Get("body_bytes").Int()), Header: span("header_ms"), Idle: span("idle_ms")}
	default:
		return false
	}
	return true
}
