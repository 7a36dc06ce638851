package standing

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

// allocateCredits splits each place's capacity among the data daemons.
//
// Local demand comes first; what a region can spare beyond a fifth more than
// its own demand it lends, up to spill_share, to daemons elsewhere that tell of
// overflow. A credit grows only by what nobody else may still have in force.
func allocateCredits(input Input, out *Standing) {
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
	lentShares := map[string]float64{} // share of each model's supply that is lent
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

// splitCapacity shares the capacity by weight, whole units only. Each near daemon gets
// one unit first where there are enough; the odd units go by a hash, so that
// over many replicas everyone gets some.
func splitCapacity(endpoint *Place, localDaemons []string, weights map[string]float64) map[string]int {
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
		name string
		rest float64
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
	sort.SliceStable(parts, func(a, b int) bool { return parts[a].rest > parts[b].rest })
	for index := 0; assigned < remaining && len(parts) > 0; index++ {
		shares[parts[index%len(parts)].name]++
		assigned++
	}
	return shares
}

// hashPair is a hash of two names.
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

// Heaviest is what a request weighs at the most.
const Heaviest = 8

// Alone tells whether nobody but the daemon may have anything running at a cold
// replica. Then it may give it one request of any weight, as one alone any replica
// bears.
func (endpoint Place) Alone(daemon string) bool {
	for other, units := range endpoint.InForce {
		if other != daemon && units > 0 {
			return false
		}
	}
	return endpoint.Warm < 1 && endpoint.Credits[daemon] > 0 && endpoint.Credits[daemon] >= endpoint.Capacity
}

// grantCredits turns wanted credits into granted ones.
func grantCredits(input Input, endpoint *Place, wanted map[string]int) {
	var previous Place
	var serial uint64
	if input.Before != nil {
		serial = input.Before.Serial
		for _, candidate := range input.Before.Places {
			if candidate.ID == endpoint.ID {
				previous = candidate
			}
		}
	}
	reports := map[string]Report{}
	for _, daemon := range input.Daemons {
		reports[daemon.Name] = daemon.Report
	}
	// A permit outlives its daemon's last word by at most its length.
	expireAfter := input.Tree.Span("permit_ms", "")
	expireAfter += expireAfter / 10
	if endpoint.Warm < 1 {
		// What a frozen or cut-off daemon has running goes on at the replica, where a
		// killed one's ends; from here the two look alike.
		expireAfter = max(expireAfter, input.Tree.Span("stall_ms", endpoint.Zone))
	}
	inForce := map[string]int{}
	for name := range unionKeys(previous.Credits, previous.InForce) {
		report, isMember := reports[name]
		// Others get a part only once that daemon has seen that it is not alone any
		// more.
		soloUnits := 0
		if previous.Alone(name) {
			soloUnits = Heaviest
		}
		switch {
		case isMember && report.Standing[input.Region] >= serial && serial > 0:
			inForce[name] = max(soloUnits, previous.Credits[name])
		case !isMember && input.Gone[name] > expireAfter:
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
	// Who lacks most is served first; ties by hash.
	sort.Slice(names, func(a, b int) bool {
		shortfallA, shortfallB := wanted[names[a]]-inForce[names[a]], wanted[names[b]]-inForce[names[b]]
		if shortfallA != shortfallB {
			return shortfallA > shortfallB
		}
		return hashPair(endpoint.ID, names[a]) < hashPair(endpoint.ID, names[b])
	})
	for _, name := range names {
		// What was granted last may be granted again. More than that, even if
		// this daemon may still act on more, only into room that nobody else
		// can be using.
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

// trimCredits keeps the sum of credits within the capacity when it has shrunk.
func trimCredits(endpoint *Place) {
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

func unionKeys(tables ...map[string]int) map[string]bool {
	out := map[string]bool{}
	for _, table := range tables {
		for name := range table {
			out[name] = true
		}
	}
	return out
}

// Same tells whether two standings say the same to data daemons and to the next
// computation, small steps of warmth aside.
func Same(a, b Standing) bool { return Changed(a, b) == "" }

// Changed names the first thing in which two standings differ for data daemons or for
// the next computation; nothing if they say the same.
func Changed(a, b Standing) string {
	switch {
	case a.Duty != b.Duty:
		return "duty"
	case a.Daemons != b.Daemons:
		return "daemons"
	case !slices.Equal(a.Failed, b.Failed):
		return "failed versions"
	case len(a.Rows) != len(b.Rows), len(a.Places) != len(b.Places):
		return "replicas"
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

// Tick is how often a standing is computed, as a ratio of the permit: often
// enough that a leaving replica is out well within a second of its notice.
func Tick(lease time.Duration) time.Duration { return lease / 8 }
