package routing

import (
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"time"
)

// allocateCredits splits each endpoint's capacity among the data daemons.
//
// Local demand comes first. The region lends part of its supply to daemons of other regions
// that report overflow: what exceeds 1.2 times its own demand, times spill_share. A
// daemon's credits grow only into capacity that no other daemon may still be using.
// Endpoints of models with an engine get no credits.
func allocateCredits(input Input, out *Table) {
	models := map[string][]string{} // by replica
	for _, row := range out.Rows {
		if !slices.Contains(models[row.Replica], row.Model) {
			models[row.Replica] = append(models[row.Replica], row.Model)
		}
	}
	supply, localDemand, remoteDemand := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, endpoint := range out.Places {
		for _, model := range models[endpoint.ID] {
			supply[model] += float64(endpoint.Capacity)
		}
	}
	daemons := append([]Daemon{}, input.Daemons...)
	sort.Slice(daemons, func(a, b int) bool { return daemons[a].Name < daemons[b].Name })
	for _, daemon := range daemons {
		for model := range supply {
			if daemon.Region == input.Region {
				localDemand[model] += daemon.Report.Demand[model]
			} else {
				remoteDemand[model] += daemon.Report.Overflow[model]
			}
		}
	}
	lentShares := map[string]float64{} // by model: the share of its supply lent to other regions
	for model, total := range supply {
		spare := max(0, total-1.2*localDemand[model]) * input.Tree.Limit("spill_share", input.Region)
		if total > 0 {
			lentShares[model] = min(spare, remoteDemand[model]*1.2) / total
		}
	}
	for index := range out.Places {
		endpoint := &out.Places[index]
		if len(models[endpoint.ID]) > 0 && input.Tree.Engine(models[endpoint.ID][0]) != nil {
			continue
		}
		weights := map[string]float64{}
		var localDaemons []string
		var lendShare float64
		for _, model := range models[endpoint.ID] {
			lendShare = max(lendShare, lentShares[model])
		}
		for _, daemon := range daemons {
			if input.Evacuated[daemon.Zone] {
				continue
			}
			for _, model := range models[endpoint.ID] {
				if daemon.Region == input.Region {
					weights[daemon.Name] += (1 - lendShare) * (daemon.Report.Demand[model] + 1) / (localDemand[model] + float64(len(daemons)))
				} else if overflow := daemon.Report.Overflow[model]; overflow > 0 && lendShare > 0 {
					weights[daemon.Name] += lendShare * overflow / remoteDemand[model]
				}
			}
			if daemon.Region == input.Region {
				localDaemons = append(localDaemons, daemon.Name)
			}
		}
		wanted := splitCapacity(endpoint, localDaemons, weights)
		grantCredits(input, endpoint, wanted)
	}
}

// splitCapacity splits the endpoint's capacity by weight into whole units. If the capacity
// is at least twice the number of local daemons, each of them gets one unit first. A hash
// of endpoint and daemon influences who gets the units left over by rounding, so that they
// spread over the daemons across many replicas.
func splitCapacity(endpoint *Endpoint, localDaemons []string, weights map[string]float64) map[string]int {
	shares := map[string]int{}
	remaining := endpoint.Capacity
	if len(localDaemons)*2 <= endpoint.Capacity {
		for _, name := range localDaemons {
			shares[name]++
			remaining--
		}
	}
	var total float64
	names := make([]string, 0, len(weights))
	for name := range weights {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		total += weights[name]
	}
	if total <= 0 {
		return shares
	}
	type part struct {
		name      string
		remainder float64
	}
	var parts []part
	assigned := 0
	for _, name := range names {
		exact := float64(remaining) * weights[name] / total
		floor := int(exact)
		shares[name] += floor
		assigned += floor
		parts = append(parts, part{name, exact - float64(floor) + 0.3*float64(hashPair(endpoint.ID, name)%1000)/1000})
	}
	sort.SliceStable(parts, func(a, b int) bool { return parts[a].remainder > parts[b].remainder })
	for index := 0; assigned < remaining && len(parts) > 0; index++ {
		shares[parts[index%len(parts)].name]++
		assigned++
	}
	return shares
}

// hashPair hashes a pair of names.
func hashPair(a, b string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(a))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(b))
	value := sum.Sum64()
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	return value ^ value>>33
}

// MaxRequestCost is the maximum cost of a request, in units.
const MaxRequestCost = 8

// IsExclusive reports whether the replica is cold and no other daemon may have anything running
// on it. The daemon may then send it one request of any cost, since every replica can take
// a single request.
func (endpoint Endpoint) IsExclusive(daemon string) bool {
	for other, units := range endpoint.InForce {
		if other != daemon && units > 0 {
			return false
		}
	}
	return endpoint.Warm < 1 && endpoint.Credits[daemon] > 0 && endpoint.Credits[daemon] >= endpoint.Capacity
}

// grantCredits decides how many of the wanted credits to grant at an endpoint, and records
// in InForce which earlier credits daemons may still act on.
func grantCredits(input Input, endpoint *Endpoint, wanted map[string]int) {
	var previous Endpoint
	var serial uint64
	if input.Previous != nil {
		serial = input.Previous.Serial
		for _, candidate := range input.Previous.Places {
			if candidate.ID == endpoint.ID {
				previous = candidate
			}
		}
	}
	reports := map[string]Report{}
	for _, daemon := range input.Daemons {
		reports[daemon.Name] = daemon.Report
	}
	// A lease ends at most one lease duration after its daemon was last heard from; 10% is
	// added as a margin.
	expireAfter := input.Tree.Duration("permit_ms", "")
	expireAfter += expireAfter / 10
	if endpoint.Warm < 1 {
		// Requests of a frozen or partitioned daemon continue on the replica, while those
		// of a killed daemon end. From here the two cases look the same.
		expireAfter = max(expireAfter, input.Tree.Duration("stall_ms", endpoint.Zone))
	}
	inForce := map[string]int{}
	for name := range unionKeys(previous.Credits, previous.InForce) {
		report, isMember := reports[name]
		// Until the daemon has applied a routing table in which it is no longer alone, it
		// may still send one request of any cost.
		soloUnits := 0
		if previous.IsExclusive(name) {
			soloUnits = MaxRequestCost
		}
		switch {
		case isMember && report.Standing[input.Region] >= serial && serial > 0:
			inForce[name] = max(soloUnits, previous.Credits[name])
		case !isMember && input.AbsentFor[name] > expireAfter:
			continue
		default:
			inForce[name] = max(soloUnits, previous.Credits[name], previous.InForce[name])
		}
	}
	for name, report := range reports {
		if running := report.InFlight[endpoint.ID]; running > inForce[name] {
			inForce[name] = running
		}
	}
	for name := range inForce {
		if inForce[name] == 0 {
			delete(inForce, name)
		}
	}
	endpoint.InForce = inForce
	names := make([]string, 0, len(wanted))
	for name := range wanted {
		names = append(names, name)
	}
	// The daemon with the largest shortfall comes first; ties are broken by hash.
	sort.Slice(names, func(a, b int) bool {
		shortfallA, shortfallB := wanted[names[a]]-inForce[names[a]], wanted[names[b]]-inForce[names[b]]
		if shortfallA != shortfallB {
			return shortfallA > shortfallB
		}
		return hashPair(endpoint.ID, names[a]) < hashPair(endpoint.ID, names[b])
	})
	for _, name := range names {
		// Credits of the previous table may be granted again. More than that is granted
		// only from capacity that no other daemon can be using, even if this daemon may
		// still act on more.
		room := endpoint.Capacity
		for other := range unionKeys(inForce, endpoint.Credits) {
			if other != name {
				room -= max(inForce[other], endpoint.Credits[other])
			}
		}
		if granted := min(wanted[name], max(previous.Credits[name], room)); granted > 0 {
			endpoint.Credits[name] = granted
		}
	}
	trimCredits(endpoint)
}

// trimCredits reduces the largest credits one by one until their sum fits the capacity,
// which may have shrunk.
func trimCredits(endpoint *Endpoint) {
	sum := 0
	names := make([]string, 0, len(endpoint.Credits))
	for name, credit := range endpoint.Credits {
		sum += credit
		names = append(names, name)
	}
	sort.Slice(names, func(a, b int) bool { return hashPair(endpoint.ID, names[a]) < hashPair(endpoint.ID, names[b]) })
	for sum > endpoint.Capacity {
		largest := names[0]
		for _, name := range names {
			if endpoint.Credits[name] > endpoint.Credits[largest] {
				largest = name
			}
		}
		endpoint.Credits[largest]--
		sum--
	}
}

// unionKeys returns the set of all keys of the tables.
func unionKeys(tables ...map[string]int) map[string]bool {
	out := map[string]bool{}
	for _, table := range tables {
		for name := range table {
			out[name] = true
		}
	}
	return out
}

// Equivalent reports whether two routing tables mean the same to data daemons and to the next
// computation. Small changes of warmth don't count.
func Equivalent(a, b Table) bool { return FirstDifference(a, b) == "" }

// FirstDifference names the first difference between two routing tables that matters to data
// daemons or to the next computation. It returns "" if there is none.
func FirstDifference(a, b Table) string {
	switch {
	case a.Duty != b.Duty:
		return "duty"
	case a.Daemons != b.Daemons:
		return "daemons"
	case !slices.Equal(a.Failed, b.Failed):
		return "failed versions"
	case len(a.Rows) != len(b.Rows), len(a.Places) != len(b.Places):
		return "replicas"
	case !maps.EqualFunc(a.Handovers, b.Handovers, Handover.isSame):
		return "handover"
	}
	for index := range a.Rows {
		x, y := a.Rows[index], b.Rows[index]
		if x.Replica != y.Replica || x.Model != y.Model || x.Version != y.Version || x.Trial != y.Trial || x.Back != y.Back {
			return "rows"
		}
		if !slices.Equal(x.Deny, y.Deny) {
			return "denied kinds"
		}
	}
	for index := range a.Places {
		x, y := a.Places[index], b.Places[index]
		switch {
		case x.ID != y.ID, x.Address != y.Address, x.Boot != y.Boot:
			return "replicas"
		case x.Capacity != y.Capacity, x.Slot != y.Slot, x.Slow != y.Slow:
			return "capacity"
		case !equalCounts(x.Credits, y.Credits):
			return "credits"
		case (x.Warm == 1) != (y.Warm == 1):
			return "warmth"
		}
	}
	return ""
}

func equalCounts(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for key, value := range a {
		if b[key] != value {
			return false
		}
	}
	return true
}

// RecomputeInterval returns the interval at which a region's routing table is recomputed, an eighth of
// the lease duration. This is often enough to drop a leaving replica from the table well
// within a second of its notice.
func RecomputeInterval(lease time.Duration) time.Duration { return lease / 8 }
