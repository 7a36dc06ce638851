package decide

import (
	"time"

	"swifttiller/lease"
)

// Suspicion about replicas that send nothing.

// Suspicion is the level of evidence against a replica whose first token is overdue.
type Suspicion int

// Levels of suspicion, each worse than the one before.
const (
	// Unsuspected replicas have recently shown that they are alive.
	Unsuspected Suspicion = iota
	// Silent replicas have sent this daemon nothing for longer than expected. That alone is
	// weak evidence: one daemon of many rarely hears from each replica, and a replica that
	// reads a long prompt sends nothing meanwhile.
	Silent
	// Failing replicas are outliers by their failures; or they are silent and either no
	// longer in the routing table or in a region that seems to be unreachable.
	Failing
)

// Suspicion returns the suspicion against the replica of a selection. A replica that has been
// silent for too long gets no requests for a while.
func (decider *Decider) Suspicion(selection *Selection) Suspicion {
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	state := selection.state
	if decider.overdueAt(selection, now) {
		return Failing
	}
	if now-max(state.silentSince, state.lastAlive) < state.silenceLimit(selection) {
		return Unsuspected
	}
	decider.cautiousUntil = now + cautionSpan
	decider.backOff(state, now)
	decider.noteUnreachable(state, now)
	if decider.isBreakerOpen(selection.Region) || !isListed(decider.View(), selection) {
		return Failing
	}
	return Silent
}

// isListed reports whether this run (boot) of the selection's replica is in the routing table.
func isListed(view *lease.View, selection *Selection) bool {
	placed := endpointIndex{list: view.RoutingTables[selection.Region].Places}
	endpoint := placed.of(selection.Replica)
	return endpoint != nil && endpoint.Boot == selection.Boot
}

// silenceLimit is how long a replica may send nothing at all while a response is expected from
// it. It is short while streams are running, as their chunks come one after the other.
func (state *replicaState) silenceLimit(selection *Selection) time.Duration {
	if state.streams > 0 {
		return streamSilence
	}
	return minSilence + silenceFactor*selection.PredictedTTFT
}

const (
	streamSilence  = 400 * time.Millisecond
	minSilence     = 300 * time.Millisecond
	silenceFactor  = 3
	initialBackOff = 300 * time.Millisecond
	maxBackOff     = 3 * time.Second
)

// backOff keeps requests from a replica for a while, longer each time in a row, up to maxBackOff.
func (decider *Decider) backOff(state *replicaState, now time.Duration) {
	if now < state.backOffUntil {
		return
	}
	state.backOffUntil = now + min(initialBackOff<<min(state.failuresInRow, 8), maxBackOff)
	state.failuresInRow++
}

// Overdue is the time after its attempt by which a first token should have come. After that a
// repeatable request is worth sending to another replica.
func (decider *Decider) Overdue(selection *Selection) time.Duration {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	return decider.overdue(selection)
}

// overdue is Overdue for callers that hold mu.
func (decider *Decider) overdue(selection *Selection) time.Duration {
	return minSilence + silenceFactor*max(selection.PredictedTTFT, decider.prefillTime(selection.routed.Tokens))
}
