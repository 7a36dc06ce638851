package decide

import "time"

// regionBreaker is a circuit breaker for the network path to another region. When several
// replicas of the region in a row are in backoff for connection failures or silence, and
// nothing comes from any other replica there, the breaker opens for the whole region.
//
// Invariants: unreachable are the replicas that were put into backoff since something last
// came from the region. The breaker is open exactly while there are at least
// regionFailureThreshold of them. While it is open, one request per regionProbeInterval goes
// there, as long as other regions may serve the request. A request that may be sent only once
// goes there on a new connection only, which fails before anything is sent.
type regionBreaker struct {
	unreachable map[*replicaState]bool
	lastProbe   time.Duration
}

const (
	// regionFailureThreshold is how many replicas in a row must be unreachable for the breaker to open.
	regionFailureThreshold = 3
	// regionProbeInterval is the interval between requests to a region whose breaker is open.
	regionProbeInterval = 600 * time.Millisecond
)

// isBreakerOpen reports whether the circuit breaker of the region is open. There is none for this
// daemon's own region, where each replica is judged by itself.
func (decider *Decider) isBreakerOpen(region string) bool {
	breaker := decider.breakers[region]
	return breaker != nil && len(breaker.unreachable) >= regionFailureThreshold
}

// breakerWait returns for how long nothing must be sent to the region; zero if a request may be.
func (decider *Decider) breakerWait(region string, now time.Duration) time.Duration {
	if !decider.isBreakerOpen(region) {
		return 0
	}
	return max(0, decider.breakers[region].lastProbe+regionProbeInterval-now)
}

// noteUnreachable records that a replica was put into backoff.
func (decider *Decider) noteUnreachable(state *replicaState, now time.Duration) {
	if state.region == "" || state.region == decider.Self.Region {
		return
	}
	breaker := decider.breakers[state.region]
	if breaker == nil {
		breaker = &regionBreaker{unreachable: map[*replicaState]bool{}}
		decider.breakers[state.region] = breaker
	}
	breaker.unreachable[state] = true
	if decider.isBreakerOpen(state.region) {
		breaker.lastProbe = now
	}
}

// closeBreaker closes the circuit breaker of a replica's region, as something came from there.
func (decider *Decider) closeBreaker(state *replicaState) { delete(decider.breakers, state.region) }
