package fleet

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"swifttiller/controlplane"
	"swifttiller/settings"
	"swifttiller/sim"
)

// ApplyRoutes applies the shape's document with other routes, and records it in the facts.
func (park *Cluster) ApplyRoutes(facts *Facts, routes RouteTexts) error {
	park.Document = park.Shape.Document(routes)
	document := park.VariedDocument()
	tree, problems := settings.Parse(document)
	if len(problems) > 0 {
		return problems
	}
	index := len(facts.RoutedConfigs)
	facts.RoutedConfigs = append(facts.RoutedConfigs, RoutedConfig{Asked: park.Now(), Tree: tree})
	return park.Do(park.anyControl(), 20*time.Second, func(daemon *controlplane.Daemon) error {
		applied, err := daemon.Apply(document, nil, false)
		if err == nil {
			facts.RoutedConfigs[index].Acked = park.Now()
			park.acknowledge(facts, daemon, applied.Serial)
		}
		return err
	})
}

// ApplyTenants applies the shape's document with other tenants, and records it in the facts.
func (park *Cluster) ApplyTenants(facts *Facts, tenants TenantTexts) error {
	park.Shape.Tenants = tenants
	return park.ApplyRoutes(facts, park.Shape.Routes())
}

// startKeyedCallers starts callers for a while that use keys which the fault adds, drops or passes
// on to another tenant.
func (park *Cluster) startKeyedCallers(span time.Duration, keys ...string) {
	crowd := park.Plan.Routed[0]
	crowd.Name, crowd.Keys, crowd.Workers, crowd.Until = "keyed", keys, 2*len(keys), park.Now()+span
	crowd.Pause = 200 * time.Millisecond
	park.crowdRouted(&crowd)
}

// countAttempts counts the attempts with the key that were answered with the status, and the runs
// of attempts with the key that were sent for the tenant.
func (park *Cluster) countAttempts(key string, status int, tenant string) (attempts, runs int) {
	for _, request := range park.RoutedRequests {
		for _, attempt := range request.Tries {
			if attempt.Key == key && attempt.Status == status {
				attempts++
			}
		}
	}
	for _, run := range park.Runs {
		if run.Tenant == tenant && park.attempts[run.ID].Key == key {
			runs++
		}
	}
	return attempts, runs
}

// BeginRouted returns the facts that hold before anything is done.
func (park *Cluster) BeginRouted() Facts {
	facts := Facts{From: park.Now()}
	tree, _ := settings.Parse([]byte(park.Document))
	facts.RoutedConfigs = []RoutedConfig{{Asked: 0, Acked: time.Nanosecond, Tree: tree}}
	return facts
}

// anyEngine draws a running engine of the main model.
func (park *Cluster) anyEngine() string {
	var names []string
	for _, options := range park.Plan.Engines {
		if options.Model == mainModel && park.Node(options.Name).Up() {
			names = append(names, options.Name)
		}
	}
	return names[park.Draw(int64(len(names)))]
}

// eachEngine visits the engines in the order of the plan.
func (park *Cluster) eachEngine(visit func(engine *Engine)) {
	for _, options := range park.Plan.Engines {
		visit(park.Engines[options.Name])
	}
}

// ReplaceEngine ends an engine as hosting platforms do: it is marked as leaving and gets its grace
// period, then another one starts at its address.
func (park *Cluster) ReplaceEngine(name string, grace time.Duration) {
	options := park.Engines[name].EngineOptions
	park.Engines[name].Leaving = true
	park.EngineList.Leave(name)
	park.Run(park.Plan.Lag + grace)
	park.Crash(name)
	park.EngineList.Remove(name)
	park.Run(time.Second)
	park.StartEngine(options)
}

// withTroubles makes a share of all engines' answers fail for a while.
func withTroubles(troubles Troubles, span time.Duration) func(*Cluster, *Facts) {
	return func(park *Cluster, _ *Facts) {
		park.eachEngine(func(engine *Engine) { engine.Troubles = troubles })
		park.Run(span)
		park.eachEngine(func(engine *Engine) { engine.Troubles = Troubles{} })
	}
}

// anyData draws a data daemon.
func (park *Cluster) anyData() string { return park.pick(park.Plan.Datas) }

// floodFairTenant starts callers of the tenant "fair" in all regions for the span, with several
// times as many requests as its limit allows.
func (park *Cluster) floodFairTenant(span time.Duration) {
	for _, region := range park.Shape.Regions {
		for _, crowd := range park.Plan.Routed {
			if crowd.Name == "check-"+region {
				crowd.Name, crowd.Keys, crowd.Workers = "fair-"+region, []string{"fair-1"}, 12
				crowd.Pause, crowd.Shared, crowd.Own, crowd.AnswerTokens, crowd.Until = 200*time.Millisecond, 0, 100, 4, park.Now()+span
				park.crowdRouted(&crowd)
			}
		}
	}
}

// withFairFlood injects a failure while the tenant "fair" floods the system, and checks that the
// tenant used up its limit and had requests rejected.
func withFairFlood(failure func(park *Cluster, facts *Facts)) func(*Cluster, *Facts) {
	return func(park *Cluster, facts *Facts) {
		park.floodFairTenant(9 * time.Second)
		park.Run(time.Second)
		failure(park, facts)
		park.Run(10 * time.Second)
		ran, rejected := 0, 0
		for _, run := range park.Runs {
			if run.Tenant == "fair" && run.Ran > 0 {
				ran++
			}
		}
		for _, request := range park.RoutedRequests {
			for _, attempt := range request.Tries {
				if attempt.Key == "fair-1" && attempt.Code == "over_quota" {
					rejected++
				}
			}
		}
		facts.Must(fmt.Sprintf("of the requests of tenant fair %d ran and %d were rejected", ran, rejected), ran >= 30 && rejected >= 50)
	}
}

// aggregators returns the running data daemons that aggregate the rate limiters' counts for others.
func (park *Cluster) aggregators() (names []string) {
	for _, spec := range park.Plan.Datas {
		if name, _ := split(spec); park.Node(name).Up() && park.Datas[name].Limiter.Status().Aggregator == name {
			names = append(names, name)
		}
	}
	return names
}

// RoutedFaults are all faults that are tested with routed requests, singly.
var RoutedFaults = []Fault{
	{"a tenant far above its limit", true, withFairFlood(func(*Cluster, *Facts) {}), []string{"quota"}},
	{"a tenant far above its limit, and its hubs die", false, withFairFlood(func(park *Cluster, _ *Facts) {
		names := park.aggregators()
		for _, name := range names {
			park.Crash(name)
			park.Run(300 * time.Millisecond)
		}
		park.Run(2 * time.Second)
		for _, name := range names {
			park.StartData(name)
		}
	}), []string{"quota"}},
	{"a tenant far above its limit, and a hub freezes", false, withFairFlood(func(park *Cluster, _ *Facts) {
		park.Freeze(park.aggregators()[0], 2500*time.Millisecond)
		park.Run(3 * time.Second)
	}), []string{"quota"}},
	{"a tenant far above its limit, and a region is cut off", false, withFairFlood(func(park *Cluster, _ *Facts) {
		in, out := park.splitByRegion(park.Shape.Regions[1])
		park.Split(in, out, true)
		park.Run(4 * time.Second)
		park.Split(in, out, false)
	}), []string{"quota"}},
	{"a tenant far above its limit, and all control daemons die", false, withFairFlood(func(park *Cluster, _ *Facts) {
		for _, name := range park.controlDaemons() {
			park.Crash(name)
		}
		park.Run(4 * time.Second)
		for _, name := range park.controlDaemons() {
			park.StartControl(name)
		}
		park.Run(2 * time.Second)
	}), []string{"quota"}},
	{"engine crashes and comes back cold", false, func(park *Cluster, _ *Facts) {
		name := park.anyEngine()
		options := park.Engines[name].EngineOptions
		park.Crash(name)
		park.Run(2 * time.Second)
		park.StartEngine(options)
		park.Run(4 * time.Second)
	}, []string{"whole"}},
	{"engine crashes and its address goes to another model", false, func(park *Cluster, _ *Facts) {
		name := park.anyEngine()
		options := park.Engines[name].EngineOptions
		park.Crash(name)
		park.Run(300 * time.Millisecond)
		options.Model = spareModel
		park.StartEngine(options)
		park.Run(5 * time.Second)
	}, []string{"routes"}},
	{"engine goes dark", false, func(park *Cluster, _ *Facts) {
		name := park.anyEngine()
		park.Split([]string{name}, park.othersThan(name), true)
		park.Run(5 * time.Second)
		park.Split([]string{name}, park.othersThan(name), false)
	}, []string{"whole"}},
	{"engine freezes", false, func(park *Cluster, _ *Facts) {
		park.Freeze(park.anyEngine(), 4*time.Second)
		park.Run(4 * time.Second)
	}, []string{"whole"}},
	{"engine gets slow", false, func(park *Cluster, _ *Facts) {
		name := park.anyEngine()
		park.Engines[name].Slower = 8
		park.Run(6 * time.Second)
		park.Engines[name].Slower = 1
	}, []string{"whole"}},
	{"engine gone at short notice", false, func(park *Cluster, _ *Facts) {
		park.ReplaceEngine(park.anyEngine(), 1500*time.Millisecond)
		park.Run(4 * time.Second)
	}, []string{"whole"}},
	{"engines replaced one by one", true, func(park *Cluster, _ *Facts) {
		for range 2 {
			park.ReplaceEngine(park.anyEngine(), LeavingBound+4*time.Second)
			park.Run(time.Second)
		}
	}, []string{"routed leaving", "routed lost"}},
	{"zone comes back cold", false, func(park *Cluster, _ *Facts) {
		zone := park.Plan.Engines[0].Zone
		var names []string
		for _, options := range park.Plan.Engines {
			if options.Zone == zone {
				names = append(names, options.Name)
			}
		}
		park.CrashAll(names)
		park.Run(3 * time.Second)
		park.RestartAll(names)
		park.Run(5 * time.Second)
	}, []string{"cold"}},
	{"engines become cold at once", false, func(park *Cluster, _ *Facts) {
		park.eachEngine((*Engine).MakeCold)
		park.Run(5 * time.Second)
	}, nil},
	{"region lost", false, func(park *Cluster, _ *Facts) {
		inside, _ := park.splitByRegion(park.Shape.Regions[2])
		lost := park.CrashAll(inside)
		park.Run(5 * time.Second)
		park.RestartAll(lost)
		park.Run(5 * time.Second)
	}, []string{"cold"}},
	{"region cut", false, func(park *Cluster, _ *Facts) {
		inside, outside := park.splitByRegion(park.Shape.Regions[1])
		park.Split(inside, outside, true)
		park.Run(7 * time.Second)
		park.Split(inside, outside, false)
	}, []string{"promise"}},
	{"core machine killed", false, func(park *Cluster, _ *Facts) {
		name := park.pick(park.Plan.Controls)
		park.Crash(name)
		park.Run(5 * time.Second)
		park.StartControl(name)
	}, []string{"whole"}},
	{"core machine frozen", false, func(park *Cluster, _ *Facts) {
		park.Freeze(park.pick(park.Plan.Controls), 5*time.Second)
		park.Run(5 * time.Second)
	}, []string{"whole"}},
	{"core machine cut", false, func(park *Cluster, _ *Facts) {
		name := park.pick(park.Plan.Controls)
		park.Split([]string{name}, park.othersThan(name), true)
		park.Run(5 * time.Second)
		park.Split([]string{name}, park.othersThan(name), false)
	}, []string{"whole"}},
	{"data daemon killed", false, func(park *Cluster, _ *Facts) {
		name := park.anyData()
		park.Crash(name)
		park.Run(2 * time.Second)
		park.StartData(name)
	}, []string{"rerun"}},
	{"data daemon frozen", false, func(park *Cluster, _ *Facts) {
		// Two in turn, so that requests are in flight at a freeze with every seed.
		for _, spec := range park.Plan.Datas[:2] {
			name, _ := split(spec)
			park.Freeze(name, 5*time.Second)
			park.Run(6 * time.Second)
		}
	}, []string{"rerun"}},
	{"data daemons restarted", true, func(park *Cluster, _ *Facts) {
		for _, spec := range park.Plan.Datas[:2] {
			name, _ := split(spec)
			park.StopData(name)
			park.Run(500 * time.Millisecond)
			park.StartData(name)
			park.Run(2 * time.Second)
		}
	}, []string{"routed lost", "fallback"}},
	{"routes moved, added and dropped", true, func(park *Cluster, facts *Facts) {
		// Callers of the added route; daemons with an old view keep using it within
		// OldConfigBound.
		crowd := park.Plan.Routed[len(park.Plan.Routed)-1]
		crowd.Name, crowd.Path, crowd.Workers, crowd.From = "more", "/more/one", 3, park.Now()
		crowd.Until = park.Now() + 12*time.Second
		park.crowdRouted(&crowd)
		routes := park.Shape.Routes()
		before := routes["moved"]
		routes["moved"] = `"host":"office.example","prefix":"/moved/","kind":"streamed","timeout_ms":6000,"target_ms":800,"tries":1,"shares":[{"model":"scribe","weight":1}]`
		routes["more"] = `"host":"office.example","prefix":"/more/","kind":"streamed","timeout_ms":6000,"target_ms":800,"tries":1,"shares":[{"model":"clerk","weight":1}]`
		facts.Need("apply", park.ApplyRoutes(facts, routes))
		park.Run(4 * time.Second)
		routes["moved"] = before
		delete(routes, "more")
		facts.Need("apply", park.ApplyRoutes(facts, routes))
		park.Run(4 * time.Second)
		ran := 0
		for _, run := range park.Runs {
			if run.Model == spareModel && park.attempts[run.ID].request.Crowd.Name == "more" {
				ran++
			}
		}
		facts.Must("requests of an added route ran", ran > 0)
	}, []string{"routes", "routed lost"}},
	{"routes moved while a data daemon is cut from the core", false, func(park *Cluster, facts *Facts) {
		name := park.anyData()
		park.Split([]string{name}, park.controlDaemons(), true)
		routes := park.Shape.Routes()
		routes["moved"] = `"host":"office.example","prefix":"/moved/","kind":"streamed","timeout_ms":6000,"target_ms":800,"tries":1,"shares":[{"model":"scribe","weight":1}]`
		facts.Need("apply", park.ApplyRoutes(facts, routes))
		park.Run(5 * time.Second)
		park.Split([]string{name}, park.controlDaemons(), false)
	}, []string{"routes"}},
	{"keys added, dropped and passed on", true, func(park *Cluster, facts *Facts) {
		before := park.Shape.Tenants
		first, second := maps.Clone(before), maps.Clone(before)
		first["market"] = `"keys":["market-1","market-2","dropped","passed"]`
		second["school"] = `"keys":["school-1","added"],"urgency":3`
		second["harbour"] = strings.Replace(before["harbour"], `"keys":[`, `"keys":["passed",`, 1)
		park.startKeyedCallers(16*time.Second, "dropped", "passed", "added", "never")
		facts.Need("apply", park.ApplyTenants(facts, first))
		park.Run(4 * time.Second)
		facts.Need("apply", park.ApplyTenants(facts, second))
		park.Run(OldConfigBound + 3*time.Second)
		facts.Need("apply", park.ApplyTenants(facts, first))
		park.Run(4 * time.Second)
		facts.Need("apply", park.ApplyTenants(facts, before))
		park.Run(2 * time.Second)
		for key, tenants := range map[string][]string{"dropped": {"market"}, "passed": {"market", "harbour"}, "added": {"school"}} {
			for _, tenant := range tenants {
				unknown, runs := park.countAttempts(key, 401, tenant)
				facts.Must(fmt.Sprintf("key %s ran for tenant %s %d times, and was unknown %d times", key, tenant, runs, unknown), runs > 5 && unknown > 5)
			}
		}
		unknown, runs := park.countAttempts("never", 401, "")
		facts.Must("a key of no tenant was unknown, and did not run", unknown > 5 && runs == 0)
	}, []string{"keys", "tenant", "routed home", "routed lost"}},
	{"keys dropped while data daemons are cut from the core and frozen", false, func(park *Cluster, facts *Facts) {
		before := park.Shape.Tenants
		first := maps.Clone(before)
		first["market"] = `"keys":["market-1","market-2","dropped","passed"]`
		second := maps.Clone(before)
		second["school"] = `"keys":["school-1","passed"],"urgency":3`
		park.startKeyedCallers(14*time.Second, "dropped", "passed")
		facts.Need("apply", park.ApplyTenants(facts, first))
		park.Run(3 * time.Second)
		var names []string
		for _, spec := range park.Plan.Datas[:2] {
			name, _ := split(spec)
			names = append(names, name)
		}
		park.Split(names[:1], park.controlDaemons(), true)
		park.Freeze(names[1], 2*time.Second)
		facts.Need("apply", park.ApplyTenants(facts, second))
		park.Run(OldConfigBound + 3*time.Second)
		park.Split(names[:1], park.controlDaemons(), false)
		park.Run(2 * time.Second)
		facts.Need("apply", park.ApplyTenants(facts, before))
		unknown, runs := park.countAttempts("dropped", 401, "market")
		facts.Must("a dropped key ran, and was unknown later", unknown > 5 && runs > 5)
		_, runs = park.countAttempts("passed", 0, "school")
		facts.Must("a key ran for the tenant that it was passed on to", runs > 5)
	}, []string{"keys", "tenant"}},
	{"evacuation and return", true, func(park *Cluster, facts *Facts) {
		zone := park.Plan.Engines[0].Zone
		facts.Need("evacuate", park.Evacuate(facts, zone, false))
		park.Run(EvacuatedBound + 2*time.Second)
		for _, options := range park.Plan.Engines {
			if options.Zone == zone {
				park.Engines[options.Name].MakeCold()
			}
		}
		facts.Need("hand back", park.Evacuate(facts, zone, true))
		park.Run(4 * time.Second)
	}, []string{"routed evacuated", "routed lost", "cold"}},
	{"crowd", false, func(park *Cluster, _ *Facts) {
		for _, crowd := range append([]RoutedCallerGroup{}, park.Plan.Routed...) {
			crowd.Name, crowd.Workers, crowd.From, crowd.Until = "crowd-"+crowd.Name, crowd.Workers*3/2, park.Now(), park.Now()+8*time.Second
			park.crowdRouted(&crowd)
		}
		park.Run(9 * time.Second)
	}, []string{"whole"}},
	{"flood", false, func(park *Cluster, facts *Facts) {
		// Far more requests than the engines have capacity for, by callers that time out and
		// retry.
		park.eachEngine(func(engine *Engine) { engine.Slots, engine.Queue = 6, 3 })
		engines := 0
		for _, count := range park.Shape.Engines {
			engines += count
		}
		for _, region := range park.Shape.Regions {
			crowd := park.Plan.Routed[0]
			crowd.Name, crowd.Zone, crowd.Shared, crowd.Own, crowd.AnswerTokens = "flood-"+region, region+"-1", 0, 600, 200
			crowd.Workers, crowd.Pause, crowd.Until = 15*engines/len(park.Shape.Regions), 100*time.Millisecond, park.Now()+5*time.Second
			park.crowdRouted(&crowd)
		}
		park.Run(8 * time.Second)
		park.eachEngine(func(engine *Engine) { engine.Slots, engine.Queue = 64, 16 })
		park.Run(2 * time.Second)
		rejected := 0
		for _, run := range park.Runs {
			if run.NotRun {
				rejected++
			}
		}
		facts.Must("engines rejected requests", rejected > 0)
	}, []string{"whole", "promise", "routed retries"}},
	{"engines of the quiet model fail", false, func(park *Cluster, facts *Facts) {
		// The retry budget earned by the busy model's requests must not be usable for the other
		// model.
		routes := park.Shape.Routes()
		routes["more"] = `"host":"office.example","prefix":"/more/","kind":"streamed","timeout_ms":8000,"target_ms":800,"gap_ms":300,"urgency":2,"tries":3,"resume":true,"shares":[{"model":"clerk","weight":1}]`
		facts.Need("apply", park.ApplyRoutes(facts, routes))
		park.eachEngine(func(engine *Engine) {
			if engine.Model == spareModel {
				engine.Fails = 0.9
			}
		})
		crowd := park.Plan.Routed[2]
		crowd.Name, crowd.Path, crowd.Workers, crowd.Until, crowd.Repeatable, crowd.Resume = "more", "/more/one", 8, park.Now()+6*time.Second, true, true
		park.crowdRouted(&crowd)
		park.Run(8 * time.Second)
		park.eachEngine(func(engine *Engine) { engine.Fails = 0 })
	}, []string{"routed retries"}},
	{"late second answers", false, func(park *Cluster, facts *Facts) {
		withTroubles(Troubles{Repeats: 0.3}, 6*time.Second)(park, facts)
		facts.Must("some answers were sent twice", park.DuplicateAnswers > 0)
	}, []string{"whole"}},
	{"answers broken off", false, func(park *Cluster, facts *Facts) {
		withTroubles(Troubles{Breaks: 0.15}, 6*time.Second)(park, facts)
		resumed := 0
		for _, run := range park.Runs {
			if attempt := park.attempts[run.ID]; run.After > 0 && attempt.After == 0 && attempt.IsWhole {
				resumed++
			}
		}
		facts.Must("streams were resumed on other engines within one answer", resumed > 0)
	}, []string{"rerun", "routed retries"}},
	{"answers lost", false, withTroubles(Troubles{Loses: 0.1}, 6*time.Second), []string{"rerun"}},
	{"answers failed", false, withTroubles(Troubles{Fails: 0.15}, 6*time.Second), []string{"rerun", "routed retries"}},
	{"calls lost, repeated and late", false, func(park *Cluster, _ *Facts) {
		park.Faults = sim.NetworkFaults{Lost: 0.05, Duplicated: 0.1, Delayed: 0.1, MaxDelay: 1500 * time.Millisecond}
		park.Run(6 * time.Second)
		park.Faults = sim.NetworkFaults{}
	}, []string{"whole"}},
}

// String identifies the run in messages.
func (run *Run) String() string {
	return fmt.Sprintf("%s on %s (%s)", run.ID, run.Engine, run.Life)
}
