package decide

import (
	"cmp"
	"maps"
	"slices"

	"swifttiller/lease"
	"swifttiller/routing"
)

// Reports to the control plane.

// Report is this daemon's report to the routing tables' leaders: its load, demand, outcomes and
// lack of capacity.
func (decider *Decider) Report() routing.Report {
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	// The view is read under mu, as in Select, so that attempts under an older routing
	// table than the reported one are in the report.
	view := decider.View()
	report := routing.Report{
		Config: view.Serial, Standing: map[string]uint64{}, Permit: view.Deadline - now, Demand: map[string]float64{}, Overflow: map[string]float64{},
		InFlight: map[string]int{}, Streams: map[routing.ReplicaVersion]int{}, Queue: len(decider.queue),
		Demanded: decider.counts.Demanded, Retries: decider.counts.Retries, Allowed: decider.counts.Allowed + decider.counts.Redispatches, Declined: map[string]uint64{},
	}
	for region, table := range view.RoutingTables {
		report.Standing[region] = table.Serial
	}
	maps.DeleteFunc(decider.digests, func(region string, _ *digest) bool { _, isShown := view.RoutingTables[region]; return !isShown })
	if view.Tree != nil {
		report.Tenants = decider.tenants.Close(now, view.Tree.Duration("tenant_ms", ""))
	}
	for version := range decider.trialMonitor.failed {
		report.Failed = append(report.Failed, version)
	}
	slices.SortFunc(report.Failed, func(a, b routing.ReplicaVersion) int {
		return cmp.Compare(a.Model+"|"+a.Version, b.Model+"|"+b.Version)
	})
	if view.Tree != nil {
		report.Moved = decider.movedVersions(view)
	}
	isSteady := decider.steadyModels(view)
	for _, outcome := range ordered(decider.recent(now)) {
		if isSteady(outcome.Model) {
			report.Near = append(report.Near, outcome)
		} else {
			report.Recent = append(report.Recent, outcome)
		}
	}
	for _, outcome := range ordered(decider.totals(now)) {
		if !isSteady(outcome.Model) {
			report.Total = append(report.Total, outcome)
		}
	}
	for code, count := range decider.counts.Rejected {
		report.Declined[code] = count
	}
	localCredits, localReplicas := map[string]float64{}, map[string]bool{}
	if table, known := view.RoutingTables[decider.Self.Region]; known {
		digest := decider.digest(decider.Self.Region, table)
		localCredits, localReplicas = digest.credits, digest.replicas
	}
	usedUnits := map[string]float64{}
	remoteUnits := map[string]float64{}
	for name, used := range decider.uses {
		all, allSteady := 0, len(used.rows) > 0
		for row, count := range used.rows {
			all += count
			allSteady = allSteady && isSteady(row.Model)
		}
		if allSteady {
			continue
		}
		report.InFlight[name] = used.units
		for row, count := range used.rows {
			report.Streams[row] = count
			units := float64(used.units) * float64(count) / float64(all)
			usedUnits[row.Model] += units
			if !localReplicas[name] {
				remoteUnits[row.Model] += units
			}
		}
	}
	for _, waiting := range decider.queue {
		usedUnits[waiting.model] += float64(waiting.cost)
	}
	for model, flow := range decider.demand {
		if isSteady(model) {
			continue
		}
		// What it uses now, and what arrives within a queue's time.
		report.Demand[model] = usedUnits[model] + flow.rate(now)*0.25
		if missing := usedUnits[model] - localCredits[model]; missing > 0 {
			report.Overflow[model] = max(missing, remoteUnits[model])
		} else if remoteUnits[model] > 0 {
			report.Overflow[model] = remoteUnits[model]
		}
		if localCredits[model] == 0 {
			report.Overflow[model] = max(report.Overflow[model], usedUnits[model]+flow.rate(now))
		}
	}
	return report
}

// digest is what Report needs to know of a region's routing table. It is immutable.
type digest struct {
	// rows and places are those that the digest was made of.
	rows      []routing.Row
	endpoints []routing.Endpoint
	// versions has one version of each model. mixed has the models with several versions,
	// or with rows that are on trial or stand by for a rollback.
	versions map[string]string
	mixed    map[string]bool
	// credits are this daemon's own, by model; replicas has those with rows.
	credits  map[string]float64
	replicas map[string]bool
}

// digest returns the digest of a region's routing table; the caller holds mu. A new view
// shares the rows and places of the previous one where nothing has changed, and these are
// immutable, so most often the digest is cached.
func (decider *Decider) digest(region string, table routing.Table) *digest {
	cached := decider.digests[region]
	if cached != nil && isSameSlice(cached.rows, table.Rows) && isSameSlice(cached.endpoints, table.Places) {
		return cached
	}
	fresh := &digest{rows: table.Rows, endpoints: table.Places, versions: map[string]string{}, mixed: map[string]bool{}, credits: map[string]float64{}, replicas: map[string]bool{}}
	credits := map[string]int{}
	for _, endpoint := range table.Places {
		credits[endpoint.ID] = endpoint.Credits[decider.Self.Name]
	}
	counted := map[[2]string]bool{}
	for _, row := range table.Rows {
		if version, known := fresh.versions[row.Model]; known && version != row.Version || row.Trial || row.Back {
			fresh.mixed[row.Model] = true
		}
		fresh.versions[row.Model] = row.Version
		fresh.replicas[row.Replica] = true
		if at := [2]string{row.Model, row.Replica}; !counted[at] {
			counted[at] = true
			fresh.credits[row.Model] += float64(credits[row.Replica])
		}
	}
	decider.digests[region] = fresh
	return fresh
}

// isSameSlice reports whether two slices share the same memory and length.
func isSameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// steadyModels returns a function that reports whether a model needs nothing but failures in
// the report. Three conditions must hold: the model has an engine, so that no credits are
// allocated for it; its placement allows any version in all regions, so that no rollout can be
// about it; and all its replicas hold the same version.
func (decider *Decider) steadyModels(view *lease.View) func(model string) bool {
	if view.Tree == nil {
		return func(string) bool { return false }
	}
	versions := map[string]string{}
	unsteady := map[string]bool{}
	for region, table := range view.RoutingTables {
		digest := decider.digest(region, table)
		for model, version := range digest.versions {
			if other, known := versions[model]; known && other != version || digest.mixed[model] {
				unsteady[model] = true
			}
			versions[model] = version
		}
	}
	known := map[string]bool{}
	return func(model string) bool {
		isSteady, isKnown := known[model]
		if !isKnown {
			isSteady = view.Tree.Engine(model) != nil && !unsteady[model]
			for _, region := range view.Tree.Regions() {
				if placement, placed := view.Tree.Placement(model, region); placed && !placement.AcceptsAnyVersion() {
					isSteady = false
				}
			}
			known[model] = isSteady
		}
		return isSteady
	}
}
