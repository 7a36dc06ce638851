package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// RoutedShape is the shape of a deployment whose requests are routed by host and path.
type RoutedShape struct {
	// Regions are the regions; each has one zone with the region's name and the suffix -1.
	// Engines and Datas are the numbers of engines and data daemons in each region.
	Regions        []string
	Engines, Datas []int
	// LoadFactor is the number of callers in a region per engine of the region.
	LoadFactor float64
	// Reports makes engines report their load.
	Reports bool
	// Berths, Queue and CacheTokens are those of each engine; if Berths is zero, the default
	// values of function engine apply.
	Berths, Queue, CacheTokens int
	ColdRate                   float64
	// Checks and Notices, if set, are the numbers of callers in a region, in place of a number
	// derived from its engines. Groups is then the number of shared prompt prefixes of checks.
	Checks, Notices, Groups int
	// Limits are set in the document, by name, in addition to routedLimits.
	Limits map[string]float64
	// Tenants, if not nil, have the API keys that requests need; see Tenanted.
	Tenants TenantTexts
}

// TenantTexts are the tenants of a document: the JSON fields that follow a tenant's name, by
// name.
type TenantTexts map[string]string

// Tenanted returns the shape with tenants, whose keys its callers use. Requests of the tenant
// harbour may be served in the first two regions only, and the route of moved requests needs
// no key. The tenant fair has a rate limit, and callers in some faults only.
func (shape RoutedShape) Tenanted() RoutedShape {
	shape.Tenants = TenantTexts{
		"harbour": fmt.Sprintf(`"keys":["harbour-1","harbour-2"],"urgency":0,"homes":[%q,%q]`, shape.Regions[0], shape.Regions[1]),
		"market":  `"keys":["market-1","market-2"]`,
		"school":  `"keys":["school-1"],"urgency":3`,
		"fair":    `"keys":["fair-1"],"per_s":6,"burst":6`,
	}
	return shape
}

// callerKeys returns the keys that the callers of a crowd use in turn, none if there are no
// tenants.
func (shape RoutedShape) callerKeys(keys ...string) []string {
	if shape.Tenants == nil {
		return nil
	}
	return keys
}

// engine returns the options of one of the shape's engines.
func (shape RoutedShape) engine(name, zone, model string) EngineOptions {
	options := engine(name, zone, model, shape.Reports)
	if shape.Berths > 0 {
		options.Slots, options.Queue, options.CacheTokens, options.ColdRate = shape.Berths, shape.Queue, shape.CacheTokens, shape.ColdRate
	}
	return options
}

// routedLimits are the limits of every deployment.
var routedLimits = map[string]float64{"permit_ms": 1800, "session_ms": 1200, "platform_ms": 1000, "dark_ms": 900, "probe_ms": 450}

// engine returns the options of an engine with the parameters of a deployment's data sheet.
func engine(name, zone, model string, reports bool) EngineOptions {
	return EngineOptions{
		Name: name, Zone: zone, Model: model, Version: "v1", Slots: 64, Queue: 16, CacheTokens: 348621, Stride: 4, Chunk: 1024,
		Step: 5610 * time.Microsecond, StepEach: 121 * time.Microsecond, Prefill: 54.6, First: 61 * time.Millisecond,
		Cold: 3 * time.Second, ColdRate: 26, Reports: reports,
	}
}

// The models of the two kinds of requests, and the host of all routes.
const (
	mainModel  = "scribe"
	spareModel = "clerk"
	routedHost = "office.example"
)

// RouteTexts are the routes of a document: the JSON fields that follow a route's name, by
// name.
type RouteTexts map[string]string

// Routes returns the routes that callers use. Requests of the route notice stay in the first
// and last region.
func (shape RoutedShape) Routes() RouteTexts {
	homes, keyless := fmt.Sprintf("%q,%q", shape.Regions[0], shape.Regions[len(shape.Regions)-1]), ""
	if shape.Tenants != nil {
		keyless = `"keyless":true,`
	}
	return RouteTexts{
		"check":  `"host":"office.example","prefix":"/check/","kind":"streamed","timeout_ms":10000,"target_ms":1000,"gap_ms":300,"urgency":1,"tries":2,"resume":true,"shares":[{"model":"scribe","weight":1}]`,
		"notice": `"host":"office.example","prefix":"/notice/","kind":"streamed","timeout_ms":8000,"target_ms":600,"gap_ms":300,"urgency":0,"tries":1,"homes":[` + homes + `],"shares":[{"model":"scribe","weight":1}]`,
		"moved":  keyless + `"host":"office.example","prefix":"/moved/","kind":"streamed","timeout_ms":8000,"target_ms":800,"gap_ms":300,"urgency":2,"tries":1,"shares":[{"model":"clerk","weight":1}]`,
	}
}

// Document returns the configuration with the routes.
func (shape RoutedShape) Document(routes RouteTexts) string {
	var routeTexts, regions, limits []string
	values := maps.Clone(routedLimits)
	maps.Copy(values, shape.Limits)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		limits = append(limits, fmt.Sprintf("%q:%v", name, values[name]))
	}
	for _, name := range []string{"check", "notice", "moved", "more"} {
		if rest, has := routes[name]; has {
			routeTexts = append(routeTexts, fmt.Sprintf(`{"name":%q,%s}`, name, rest))
		}
	}
	tenants := ""
	if shape.Tenants != nil {
		var list []string
		for _, name := range slices.Sorted(maps.Keys(shape.Tenants)) {
			list = append(list, fmt.Sprintf(`{"name":%q,%s}`, name, shape.Tenants[name]))
		}
		tenants = fmt.Sprintf(`"tenants":[%s],`, strings.Join(list, ","))
	}
	for _, region := range shape.Regions {
		regions = append(regions, fmt.Sprintf(`%q:{"platform":"http://%s","zones":{"%s-1":{}}}`, region, region, region))
	}
	options := shape.engine("", "", "")
	engine := fmt.Sprintf(`{"probe_path":"/vitals","conn_cap":370,"cold_ms":3000,"cold_per_s":%v,"berths":%d,"cache_tokens":%d,"spacing":4}`, options.ColdRate, options.Slots, options.CacheTokens)
	return fmt.Sprintf(`{"whole":{"placements":{"scribe":{"version":"any","capacity":64},"clerk":{"version":"any","capacity":64}},
  "limits":{%s}},
 "engines":{"scribe":%s,"clerk":%s},"routes":[%s],%s"regions":{%s}}`, strings.Join(limits, ","), engine, engine, strings.Join(routeTexts, ","), tenants, strings.Join(regions, ","))
}

// Plan returns the cluster of the shape. Each region has one engine of the spare model in
// addition to its other engines.
func (shape RoutedShape) Plan() Plan {
	plan := Plan{Shape: shape, Model: mainModel, Lag: 500 * time.Millisecond, MinListInterval: 300 * time.Millisecond, Grace: 5 * time.Second, Document: shape.Document(shape.Routes())}
	for at, region := range shape.Regions {
		zone := region + "-1"
		plan.Controls = append(plan.Controls, fmt.Sprintf("c%d:%s", at+1, zone))
		for index := range shape.Datas[at] {
			plan.Datas = append(plan.Datas, fmt.Sprintf("d-%s-%d:%s", region, index+1, zone))
		}
		for index := range shape.Engines[at] {
			plan.Engines = append(plan.Engines, shape.engine(fmt.Sprintf("e-%s-%d", region, index+1), zone, mainModel))
		}
		plan.Engines = append(plan.Engines, shape.engine("s-"+region, zone, spareModel))
		busy := func(part float64) int { return max(1, int(part*shape.LoadFactor*float64(shape.Engines[at]))) }
		checks, notices, groups := busy(1), busy(0.5), 6
		if shape.Checks > 0 {
			checks, notices, groups = max(1, int(shape.LoadFactor*float64(shape.Checks))), max(1, int(shape.LoadFactor*float64(shape.Notices))), shape.Groups
		}
		plan.Routed = append(plan.Routed,
			RoutedCallerGroup{Name: "check-" + region, Zone: zone, Host: routedHost, Path: "/check/one", Workers: checks, Pause: 600 * time.Millisecond, Shared: 13300, Own: 3720, Groups: groups, AnswerTokens: 48, Keys: shape.callerKeys("market-1", "school-1", "market-2", "harbour-1"),
				Timeout: 4 * time.Second, Target: time.Second, Gap: 300 * time.Millisecond, Repeatable: true, Resume: true, Tries: 2},
			RoutedCallerGroup{Name: "notice-" + region, Zone: zone, Host: routedHost, Path: "/notice/one", Workers: notices, Pause: 800 * time.Millisecond, Own: 383, AnswerTokens: 120, Keys: shape.callerKeys("school-1", "harbour-2", "market-1", "market-2"),
				Timeout: 4 * time.Second, Target: 600 * time.Millisecond, Gap: 300 * time.Millisecond, Tries: 2},
			RoutedCallerGroup{Name: "moved-" + region, Zone: zone, Host: routedHost, Path: "/moved/one", Workers: 1, Pause: 200 * time.Millisecond, Own: 200, AnswerTokens: 8, Keys: shape.callerKeys("market-1"),
				Timeout: 4 * time.Second, Target: 800 * time.Millisecond, Gap: 300 * time.Millisecond, Tries: 2})
	}
	return plan
}

// RoutedShapes are the two deployments by name.
var RoutedShapes = map[string]RoutedShape{
	"large": {Regions: []string{"east", "middle", "west"}, Engines: []int{8, 6, 4}, Datas: []int{2, 2, 2}, LoadFactor: 2, Reports: true},
	"small": {Regions: []string{"north", "south", "sea"}, Engines: []int{4, 3, 2}, Datas: []int{3, 3, 2}, LoadFactor: 2},
}

// GrownShape has many daemons in front of many engines with few slots; its middle region gets
// no requests of the route notice. It is too large to run every fault on it.
var GrownShape = RoutedShape{Regions: []string{"north", "south", "sea"}, Engines: []int{50, 24, 36}, Datas: []int{22, 20, 22}, LoadFactor: 1, Reports: true, Berths: 12, Queue: 36, CacheTokens: 308003, ColdRate: 13, Checks: 50, Notices: 260, Groups: 351}

// ExperimentShapes returns the shapes for experiments, by name.
func ExperimentShapes() map[string]RoutedShape {
	shapes := maps.Clone(RoutedShapes)
	shapes["grown"] = GrownShape
	return shapes
}
