package decide

import (
	"fmt"
	"math"
	"time"

	"swifttiller/lease"
	"swifttiller/verdict"
)

// Bookkeeping of the attempts of routed requests, from the reservation to the end.

// replicaState returns the state of a replica, which it creates if need be.
func (decider *Decider) replicaState(id string) *replicaState {
	state := decider.replicas[id]
	if state == nil {
		state = &replicaState{}
		decider.replicas[id] = state
	}
	return state
}

// reserve records a new attempt at the replica of the candidate.
func (decider *Decider) reserve(view *lease.View, routed *Routed, best *routeCandidate, now time.Duration) *Selection {
	state := best.state
	selection := &Selection{
		Replica: best.row.Replica, Address: best.endpoint.Address, Version: best.row.Version, Boot: best.endpoint.Boot, Region: best.endpoint.Region,
		Serial: view.Serial, Cost: 1, Trial: best.isTrial, Spill: best.endpoint.Region != decider.Self.Region, call: &routed.call,
		PredictedTTFT: best.ttft, Allowance: decider.prefillTime(best.uncached), uncached: best.uncached, routed: routed, sent: now, state: state, isCold: best.endpoint.Warm < 1,
		LastAlive: state.lastAlive, IsRegionProbe: decider.isBreakerOpen(best.endpoint.Region),
	}
	if best.isProbe {
		decider.lastProbes[best.endpoint.Region] = now
	}
	if selection.IsRegionProbe {
		decider.breakers[best.endpoint.Region].lastProbe = now
	}
	state.running++
	state.region, state.model, state.health.lastSent = best.endpoint.Region, best.row.Model, now
	state.prefillTokens += best.uncached
	if state.awaitingFirst == 0 {
		state.silentSince = now
	}
	state.awaitingFirst++
	state.sent = append(state.sent, now)
	state.sentWithin(now, 2*time.Second)
	if config := view.Tree.Engine(routed.Model); config != nil && config.CacheTokens > 0 {
		state.cache.touch(routed.Parts, int(cacheFillShare*float64(config.CacheTokens)))
	}
	decider.countSelection(view, selection)
	return selection
}

// NoteAlive records that something came from the replica of a selection, and the load that the
// replica reports, if any.
func (decider *Decider) NoteAlive(selection *Selection, load *Load) {
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	state := selection.state
	decider.noteAlive(state, now)
	if state.awaitingFirst > 0 {
		state.silentSince = now
	}
	if load != nil {
		state.load, state.loadAt = *load, now
	}
}

// NoteFirstChunk records the first chunk of an answer, or the end of an attempt that had none.
func (decider *Decider) NoteFirstChunk(selection *Selection, isChunk bool) {
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	decider.noteBegun(selection, isChunk, now)
}

func (decider *Decider) noteBegun(selection *Selection, isChunk bool, now time.Duration) {
	if selection.hasBegun {
		return
	}
	selection.hasBegun = true
	state := selection.state
	state.prefillTokens -= selection.uncached
	state.awaitingFirst--
	delete(decider.trialMonitor.waiting, selection)
	if !isChunk {
		return
	}
	state.streams++
	selection.isStreaming = true
	delete(decider.noReplicaSince, selection.call.Kind)
	took := now - selection.sent
	if selection.choice != nil {
		selection.choice.First = took
	}
	if selection.uncached < minLearnTokens && !selection.Spill {
		decider.baseLatency = max(0, decider.baseLatency+(min(took, 2*decider.baseLatency+initialBaseLatency)-decider.baseLatency)/32)
	}
	if took > slowFactor*selection.PredictedTTFT+slowMore {
		if !selection.isLate {
			decider.recordLate(selection, slowWeight, now)
		}
	} else {
		state.health.recordSuccess(now)
	}
	over := took - selection.PredictedTTFT
	state.lag = max(0, state.decayedLag(now)*3/4+over/4)
	state.lagAt = now
	if selection.uncached > minLearnTokens && state.prefillTokens == 0 && !selection.Spill {
		// As far as this daemon knows, nothing else was in prefill there, so this prompt took the time.
		pairs := float64(selection.uncached) * float64(selection.uncached) / 2 * msPerTokenPair
		sample := float64(selection.uncached) / max(1, float64(took-decider.baseLatency)/float64(time.Millisecond)-pairs)
		decider.learnedPrefillRate = math.Min(maxPrefillRate, math.Max(minPrefillRate, decider.prefillRate()+(sample-decider.prefillRate())/16))
	}
}

// noteAlive records that a replica has just shown that it is alive. The caller holds mu.
func (decider *Decider) noteAlive(state *replicaState, now time.Duration) {
	state.lastAlive, state.failuresInRow, state.backOffUntil, state.isUnreachable = now, 0, 0, false
	decider.closeBreaker(state)
}

// NoteChunk records that a chunk of a stream came from the replica of a selection.
func (decider *Decider) NoteChunk(selection *Selection) {
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	decider.noteAlive(selection.state, now)
}

// EndRouted ends a routed selection with its failure, if any, and the time to first token.
func (decider *Decider) EndRouted(selection *Selection, failure *verdict.Error, first time.Duration) {
	now := decider.World.Now()
	decider.mu.Lock()
	decider.noteBegun(selection, false, now)
	isEmpty := false
	if view := decider.View(); view.Tree != nil {
		isEmpty = selection.state.isLightlyLoaded(view.Tree.Engine(selection.call.Model), now)
	}
	selection.state.running--
	decider.countTenantEnd(selection, now)
	if selection.isStreaming {
		selection.state.streams--
	}
	if bad := failureWeight(failure, isEmpty, decider.latenessCertainty(selection, now)); bad > 0 {
		decider.recordFailure(selection, bad, now)
		if isCertainFailure(failure) {
			decider.queueReport(selection)
		}
	}
	if failure != nil {
		selection.state.isUnreachable = selection.state.isUnreachable || failure.Code == "replica_unreached"
		switch failure.Code {
		case "replica_unreached", "replica_cut", "cut":
			decider.cautiousUntil = now + cautionSpan
			decider.backOff(selection.state, now)
			decider.noteUnreachable(selection.state, now)
		case "replica_declined":
			decider.backOff(selection.state, now)
		}
	}
	decider.mu.Unlock()
	decider.Release(selection, failure, first)
	if choice := selection.choice; choice != nil {
		if failure != nil {
			choice.Code = failure.Code
		}
		decider.OnChoice(*choice)
	}
}

// DropUnlisted drops the state of replicas that no routing table lists. It does nothing while the
// routing table of a region is missing.
func (decider *Decider) DropUnlisted() {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	view := decider.View()
	if view.Tree == nil || len(view.RoutingTables) < len(view.Tree.Regions()) {
		return
	}
	listed := map[string]bool{}
	for _, table := range view.RoutingTables {
		for _, endpoint := range table.Places {
			listed[endpoint.ID] = true
		}
	}
	for id, state := range decider.replicas {
		if !listed[id] && state.running == 0 {
			delete(decider.replicas, id)
		}
	}
}

// String describes the target of a selection for logs.
func (selection *Selection) String() string {
	return fmt.Sprintf("%s@%s predicted %v", selection.Replica, selection.Address, selection.PredictedTTFT)
}
