package decide

import (
	"math"
	"time"

	"swifttiller/lease"
	"swifttiller/routing"
)

// Candidates of a routed request: the replicas that may get it.

// Avoid is the set of replicas that a request must not be sent to (again).
type Avoid map[string]bool

type routeCandidate struct {
	row      *routing.Row
	endpoint *routing.Endpoint
	state    *replicaState
	// ttft is the predicted time to first token. cost is what candidates are compared by, the
	// least first: ttft with the costs of another region, of duplicate prefill, and so on.
	ttft, cost               time.Duration
	uncached, uncachedShared int
	running, waiting         float64
	// isOwner and isSuccessor are set by assignOwners for the replicas that own the shared parts.
	isOwner, isSuccessor bool
	// isTrial is set if the request is one of the trial of the row's version.
	isTrial bool
	// isProbe is set if the replica was last found unreachable, so that a request to it is a probe.
	isProbe bool
}

// routeCandidates evaluates all replicas that may get the request and returns the best one. If
// there is none, next is the time until the first one may get it, zero if none is in sight.
func (decider *Decider) routeCandidates(view *lease.View, routed *Routed, avoid Avoid, now time.Duration) (best *routeCandidate, candidates []routeCandidate, next time.Duration) {
	rows := 0
	for _, table := range view.RoutingTables {
		rows += len(table.Rows)
	}
	candidates = make([]routeCandidate, 0, rows)
	retryIn := func(span time.Duration) {
		if span > 0 && (next == 0 || span < next) {
			next = span
		}
	}
	route := routed.Route
	config := view.Tree.Engine(routed.Model)
	routed.ownerKey = routed.sharedKey
	isLong := decider.isLong(routed)
	hasRepeatable := decider.hasRepeatable(routed.Model, now)
	home := "" // of a tenant that has a placement
	placement := decider.placement(view, routed, now)
	if placement != nil {
		routed.ownerKey = placement.Owner(routed.sharedKey, routed.Parts[len(routed.Parts)-1].ID)
		home = placement.Home(routed.sharedKey, decider.Self.Region, routed.within)
	}
	var backedOff, unreachable []routeCandidate
	for _, region := range view.Tree.Regions() {
		table, has := view.RoutingTables[region]
		if !has || !routed.within(region) {
			continue
		}
		endpoints := endpointIndex{list: table.Places}
		trial, isOpen := decider.opensTrial(view, &routed.call, region)
		for index := range table.Rows {
			row := &table.Rows[index]
			if row.Model != routed.Model {
				continue
			}
			endpoint := endpoints.of(row.Replica)
			if endpoint == nil || view.Evacuated[endpoint.Zone] || avoid[row.Replica] || deniesKind(*row, routed.call.Kind) {
				continue
			}
			if _, isPast := decider.endedBoots[row.Replica]; isPast {
				continue
			}
			isTrial := trial != "" && row.Version == trial
			if isTrial != isOpen || !isTrial && decider.barred(view, region, &routed.call, row.Version) {
				continue
			}
			state := decider.replicaState(endpoint.ID)
			if wait := decider.coldWait(view, config, endpoint, state, now); wait > 0 {
				if endpoint.Warm >= 1 {
					decider.lastThrottled = now
				}
				retryIn(wait)
				continue
			}
			wait := max(state.health.probeDelay(now, route.Idempotent(), hasRepeatable), decider.breakerWait(region, now))
			if wait > 0 || now < state.backOffUntil || !state.admits(now, route.Idempotent()) {
				candidate := routeCandidate{row: row, endpoint: endpoint, state: state, isTrial: isTrial, isProbe: state.isUnreachable}
				if candidate.isProbe {
					unreachable = append(unreachable, candidate)
					continue
				}
				retryIn(max(wait, state.backOffUntil-now, initialBackOff/2))
				backedOff = append(backedOff, candidate)
				continue
			}
			candidates = append(candidates, routeCandidate{row: row, endpoint: endpoint, state: state, isTrial: isTrial})
		}
	}
	if len(candidates) == 0 && len(backedOff) > 0 {
		// A replica in doubt is better than none.
		candidates = backedOff
	}
	if len(candidates) == 0 {
		candidates = decider.dueProbes(unreachable, now)
	}
	assignOwners(routed, candidates, home, func(endpoint *routing.Endpoint) bool {
		// A short prompt is not worth a request to another region, so each region has an owner of its own.
		return isLong || endpoint.Region == decider.Self.Region || !routed.within(decider.Self.Region)
	})
	costs := decider.routingCosts(view, routed.Model)
	loads := regionLoads{}
	for index := range candidates {
		candidate := &candidates[index]
		loads.of(candidate.endpoint.Region).add(candidate.state, now)
	}
	for index := range candidates {
		candidate := &candidates[index]
		running, waiting := loads.of(candidate.endpoint.Region).estimate(candidate.state, now)
		decider.predict(costs, routed, candidate, running, waiting, now)
		if candidate.isTrial {
			// All daemons send their trial requests to the same few replicas, as trialRank explains.
			candidate.cost = time.Duration(math.MaxInt64 - int64(trialRank(candidate.row.Model, candidate.row.Version, candidate.endpoint.ID)>>1))
		}
		if best == nil || candidate.cost < best.cost {
			best = candidate
		}
	}
	return best, candidates, next
}

// dueProbes returns the unreachable replicas that may be probed now, for use when there are no
// other candidates. Each region is probed by one request per interval, since further requests
// would only find out the same.
func (decider *Decider) dueProbes(unreachable []routeCandidate, now time.Duration) (due []routeCandidate) {
	for _, candidate := range unreachable {
		interval := localProbeInterval
		if candidate.endpoint.Region != decider.Self.Region {
			interval = regionProbeInterval
		}
		if last, has := decider.lastProbes[candidate.endpoint.Region]; !has || now-last >= interval {
			due = append(due, candidate)
		}
	}
	return due
}

// localProbeInterval is the interval between probes while no replica of this daemon's region
// can be reached.
const localProbeInterval = 100 * time.Millisecond

// endpointIndex looks up a region's endpoints by replica id. Rows are nearly always in the order of
// the endpoints, so it first looks at the endpoint after the last one found.
type endpointIndex struct {
	list []routing.Endpoint
	next int
}

func (index *endpointIndex) of(id string) *routing.Endpoint {
	if index.next > 0 && index.list[index.next-1].ID == id {
		return &index.list[index.next-1]
	}
	for range index.list {
		if index.next >= len(index.list) {
			index.next = 0
		}
		endpoint := &index.list[index.next]
		index.next++
		if endpoint.ID == id {
			return endpoint
		}
	}
	return nil
}
