package decide

import (
	"cmp"
	"maps"
	"slices"

	"swifttiller/permit"
	"swifttiller/standing"
)

// Reports to the control plane.

// Report says to the standing what this daemon holds and lacks.
func (decider *Decider) Report() standing.Report {
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	// Under the guard, as in Select: what runs by an older standing than the one
	// that is reported is in the report.
	view := decider.Holder()
	report := standing.Report{
		Config: view.Serial, Standing: map[string]uint64{}, Permit: view.Expiry - now, Demand: map[string]float64{}, Overflow: map[string]float64{},
		InFlight: map[string]int{}, Streams: map[standing.Held]int{}, Queue: len(decider.queue),
		Demanded: decider.counts.Demanded, Retries: decider.counts.Retries, Allowed: decider.counts.Allowed + decider.counts.Redispatches, Declined: map[string]uint64{},
	}
	for region, one := range view.Standings {
		report.Standing[region] = one.Serial
	}
	maps.DeleteFunc(decider.digests, func(region string, _ *digest) bool { _, isShown := view.Standings[region]; return !isShown })
	if view.Tree != nil {
		report.Tenants = decider.tenants.Turn(now, view.Tree.Span("tenant_ms", ""))
	}
	for version := range decider.judging.failed {
		report.Failed = append(report.Failed, version)
	}
	slices.SortFunc(report.Failed, func(a, b standing.Held) int { return cmp.Compare(a.Model+"|"+a.Version, b.Model+"|"+b.Version) })
	isSteady := decider.steady(view)
	for _, one := range ordered(decider.recent(now)) {
		if isSteady(one.Model) {
			report.Near = append(report.Near, one)
		} else {
			report.Recent = append(report.Recent, one)
		}
	}
	for _, one := range ordered(decider.totals(now)) {
		if !isSteady(one.Model) {
			report.Total = append(report.Total, one)
		}
	}
	for code, count := range decider.counts.Declined {
		report.Declined[code] = count
	}
	local, here := map[string]float64{}, map[string]bool{}
	if one, known := view.Standings[decider.Self.Region]; known {
		digest := decider.digest(decider.Self.Region, one)
		local, here = digest.credits, digest.here
	}
	held := map[string]float64{}
	away := map[string]float64{}
	for name, used := range decider.uses {
		all, areSteady := 0, len(used.rows) > 0
		for row, count := range used.rows {
			all += count
			areSteady = areSteady && isSteady(row.Model)
		}
		if areSteady {
			continue
		}
		report.InFlight[name] = used.units
		for row, count := range used.rows {
			report.Streams[row] = count
			units := float64(used.units) * float64(count) / float64(all)
			held[row.Model] += units
			if !here[name] {
				away[row.Model] += units
			}
		}
	}
	for _, one := range decider.queue {
		held[one.model] += float64(one.cost)
	}
	for model, flow := range decider.demand {
		if isSteady(model) {
			continue
		}
		// What it holds now, and what comes within a queue's time.
		report.Demand[model] = held[model] + flow.rate(now)*0.25
		if lack := held[model] - local[model]; lack > 0 {
			report.Overflow[model] = max(lack, away[model])
		} else if away[model] > 0 {
			report.Overflow[model] = away[model]
		}
		if local[model] == 0 {
			report.Overflow[model] = max(report.Overflow[model], held[model]+flow.rate(now))
		}
	}
	return report
}

// digest is what reports go by of a region's standing. It is never changed.
type digest struct {
	// rows and places are those that it was made of.
	rows   []standing.Row
	places []standing.Place
	// versions has one version of each model, and mixed the models that have several, or
	// rows on trial or standing by.
	versions map[string]string
	mixed    map[string]bool
	// credits are this daemon's, by model, and here the replicas that have rows.
	credits map[string]float64
	here    map[string]bool
}

// digest gives the digest of a region's standing; who holds the guard calls it. A new view
// has the rows and places of the one before where nothing changed, and these are never
// changed: so most often it is there already.
func (decider *Decider) digest(region string, one standing.Standing) *digest {
	have := decider.digests[region]
	if have != nil && isOne(have.rows, one.Rows) && isOne(have.places, one.Places) {
		return have
	}
	out := &digest{rows: one.Rows, places: one.Places, versions: map[string]string{}, mixed: map[string]bool{}, credits: map[string]float64{}, here: map[string]bool{}}
	credits := map[string]int{}
	for _, place := range one.Places {
		credits[place.ID] = place.Credits[decider.Self.Name]
	}
	counted := map[[2]string]bool{}
	for _, row := range one.Rows {
		if version, known := out.versions[row.Model]; known && version != row.Version || row.Trial || row.Back {
			out.mixed[row.Model] = true
		}
		out.versions[row.Model] = row.Version
		out.here[row.Replica] = true
		if at := [2]string{row.Model, row.Replica}; !counted[at] {
			counted[at] = true
			out.credits[row.Model] += float64(credits[row.Replica])
		}
	}
	decider.digests[region] = out
	return out
}

// isOne tells whether two slices are one and the same.
func isOne[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// steady tells which models need no more than a word on mishaps: nobody deals their
// credits, as they have an engine, and no run can be about them, as replicas hold what
// they will; and all hold the same version.
func (decider *Decider) steady(view *permit.View) func(model string) bool {
	if view.Tree == nil {
		return func(string) bool { return false }
	}
	versions := map[string]string{}
	unsteady := map[string]bool{}
	for region, one := range view.Standings {
		digest := decider.digest(region, one)
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
				if placement, placed := view.Tree.Placement(model, region); placed && !placement.Any() {
					isSteady = false
				}
			}
			known[model] = isSteady
		}
		return isSteady
	}
}
