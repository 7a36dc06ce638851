package decide

import (
	"time"

	"swifttiller/lease"
)

// Prediction of the time to first token.

// routingCosts are the configured costs of other regions and of prefill, read once per decision.
type routingCosts struct {
	berths                        int
	crossRegion, duplicatePrefill time.Duration
	// crossRegionKiB is in milliseconds per KiB.
	crossRegionKiB float64
}

func (decider *Decider) routingCosts(view *lease.View, model string) routingCosts {
	zone := decider.Self.Zone
	berths := 0
	if config := view.Tree.Engine(model); config != nil {
		berths = config.Slots
	}
	return routingCosts{berths: berths, crossRegion: view.Tree.Duration("far_ms", zone), duplicatePrefill: view.Tree.Duration("again_ms", zone), crossRegionKiB: view.Tree.Limit("far_kb_ms", zone)}
}

// contention returns the delay of the first chunk by running requests: a little for each, and
// more the fuller the replica is.
func (costs routingCosts) contention(running float64) time.Duration {
	share := 0.0
	if costs.berths > 0 {
		share = running / float64(costs.berths)
	}
	return time.Duration(running*float64(delayPerRunning)) + time.Duration(share*share*float64(fullReplicaDelay))
}

// predict sets the predicted time to first token and the cost of a candidate, at which the given
// numbers of requests are expected to run and to wait.
func (decider *Decider) predict(costs routingCosts, routed *Routed, candidate *routeCandidate, running, waiting float64, now time.Duration) {
	state := candidate.state
	own, shared := state.uncachedTokens(routed.Parts, routed.Tokens, candidate.isOwner)
	candidate.uncached, candidate.uncachedShared = own+shared, shared
	candidate.running, candidate.waiting = running, waiting
	candidate.ttft = decider.baseLatency + decider.prefillTime(state.prefillTokens) + decider.prefillTime(candidate.uncached) + costs.contention(running) + time.Duration(waiting*float64(delayPerWaiting)) + state.decayedLag(now)
	duplicateCost := float64(shared) / 1000 * float64(costs.duplicatePrefill)
	if candidate.isSuccessor {
		duplicateCost *= successorCostShare
	}
	candidate.cost = candidate.ttft + time.Duration(duplicateCost)
	if candidate.endpoint.Region != decider.Self.Region {
		candidate.ttft += costs.crossRegion
		candidate.cost += 2*costs.crossRegion + time.Duration(costs.crossRegionKiB*float64(routed.Bytes)/1024*float64(time.Millisecond))
	}
	if over := candidate.ttft - routed.Route.Target*4/5; over > 0 && routed.Route.Target > 0 {
		candidate.cost += latePenalty + over
	}
	if candidate.endpoint.Slow {
		candidate.cost += candidate.ttft
	}
	if candidate.endpoint.Warm < 1 {
		candidate.cost += coldPenalty
	}
	candidate.cost += state.health.penalty(now, routed.Route.Idempotent(), state.reported(candidate.endpoint.Boot, now))
	if !routed.Route.Idempotent() && now < decider.cautiousUntil && now-state.lastAlive > livenessLifetime && state.health.failures < minFailures {
		candidate.cost += staleLivenessPenalty
	}
	// A random amount spreads requests over candidates of equal cost.
	candidate.cost += time.Duration(decider.World.RandN(int64(time.Millisecond)))
}

// prefillTime returns the prefill time of a prompt: a constant for each token, and a little for each
// token that precedes it.
func (decider *Decider) prefillTime(tokens int) time.Duration {
	pairs := float64(tokens) * float64(tokens) / 2
	return time.Duration((float64(tokens)/decider.prefillRate() + pairs*msPerTokenPair) * float64(time.Millisecond))
}

// latePenalty is the cost of a predicted time to first token above four fifths of the target,
// besides the excess itself.
const latePenalty = 300 * time.Millisecond

// coldPenalty is the cost of a cold replica.
const coldPenalty = 30 * time.Millisecond

// staleLivenessPenalty is the cost of a replica that has shown no sign of life for
// livenessLifetime. It applies to requests that may be sent only once, within cautionSpan after a
// failure or a silent replica anywhere, since failures seldom come alone.
const (
	staleLivenessPenalty = 10 * time.Millisecond
	livenessLifetime     = time.Second
	cautionSpan          = 4 * time.Second
)

// prefillRate returns the learned prefill rate in tokens per millisecond.
func (decider *Decider) prefillRate() float64 {
	if decider.learnedPrefillRate == 0 {
		return initialPrefillRate
	}
	return decider.learnedPrefillRate
}

// minLearnTokens is the least number of uncached tokens for which the time to first token shows
// the prefill rate.
const minLearnTokens = 2000
