package decide

import (
	"fmt"
	"math"
	"time"

	"swifttiller/permit"
	"swifttiller/verdict"
)

// Bookkeeping of the attempts of routed requests, from the reservation to the end.

// engine returns the state of a replica, which it creates if need be.
func (decider *Decider) engine(id string) *engine {
	state := decider.engines[id]
	if state == nil {
		state = &engine{}
		decider.engines[id] = state
	}
	return state
}

// reserve records a new attempt at the replica of the candidate.
func (decider *Decider) reserve(view *permit.View, routed *Routed, best *routeCandidate, now time.Duration) *Selection {
	state := best.state
	selection := &Selection{
		Replica: best.row.Replica, Address: best.endpoint.Address, Version: best.row.Version, Boot: best.endpoint.Boot, Region: best.endpoint.Region,
		Serial: view.Serial, Cost: 1, Trial: best.row.Trial, Spill: best.endpoint.Region != decider.Self.Region, call: &routed.call,
		Foreseen: best.ttft, Allowance: decider.reading(best.uncached), uncached: best.uncached, routed: routed, sent: now, seat: state, isCold: best.endpoint.Warm < 1,
		Vouched: state.vouched, Doubted: decider.isDoubted(best.endpoint.Region),
	}
	if best.isProbe {
		decider.lastProbes[best.endpoint.Region] = now
	}
	if selection.Doubted {
		decider.breakers[best.endpoint.Region].lastProbe = now
	}
	state.running++
	state.region, state.model, state.health.asked = best.endpoint.Region, best.row.Model, now
	state.prefillTokens += best.uncached
	if state.awaitingFirst == 0 {
		state.silent = now
	}
	state.awaitingFirst++
	state.sent = append(state.sent, now)
	state.sentWithin(now, 2*time.Second)
	if config := view.Tree.Engine(routed.Model); config != nil && config.CacheTokens > 0 {
		state.cache.touch(routed.Parts, int(cacheFillShare*float64(config.CacheTokens)))
	}
	decider.dispatched(view, selection)
	return selection
}

// Heard records that something came from the replica of a selection, and the load that the
// replica reports, if any.
func (decider *Decider) Heard(selection *Selection, load *Load) {
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	state := selection.seat
	decider.noteAlive(state, now)
	if state.awaitingFirst > 0 {
		state.silent = now
	}
	if load != nil {
		state.load, state.loadAt = *load, now
	}
}

// Begun records the first chunk of an answer, or the end of an attempt that had none.
func (decider *Decider) Begun(selection *Selection, isChunk bool) {
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	decider.noteBegun(selection, isChunk, now)
}

func (decider *Decider) noteBegun(selection *Selection, isChunk bool, now time.Duration) {
	if selection.hasBegun {
		return
	}
	selection.hasBegun = true
	state := selection.seat
	state.prefillTokens -= selection.uncached
	state.awaitingFirst--
	delete(decider.judging.waiting, selection)
	if !isChunk {
		return
	}
	state.flowing++
	selection.isStreaming = true
	delete(decider.noReplicaSince, selection.call.Kind)
	took := now - selection.sent
	if selection.choice != nil {
		selection.choice.First = took
	}
	if selection.uncached < minLearnTokens && !selection.Spill {
		decider.baseLatency = max(0, decider.baseLatency+(min(took, 2*decider.baseLatency+initialBaseLatency)-decider.baseLatency)/32)
	}
	if took > slowTimes*selection.Foreseen+slowMore {
		if !selection.isLate {
			decider.judgeLate(selection, slowBad, now)
		}
	} else {
		state.health.well(now)
	}
	over := took - selection.Foreseen
	state.lag = max(0, state.decayedLag(now)*3/4+over/4)
	state.lagAt = now
	if selection.uncached > minLearnTokens && state.prefillTokens == 0 && !selection.Spill {
		// As far as this daemon knows, nothing else was in prefill there, so this prompt took the time.
		pairs := float64(selection.uncached) * float64(selection.uncached) / 2 * msPerTokenPair
		sample := float64(selection.uncached) / max(1, float64(took-decider.baseLatency)/float64(time.Millisecond)-pairs)
		decider.learnedPrefillRate = math.Min(maxPrefillRate, math.Max(minPrefillRate, decider.prefillRate()+(sample-decider.prefillRate())/16))
	}
}

// noteAlive records that a replica has just shown that it is alive. The caller holds guard.
func (decider *Decider) noteAlive(state *engine, now time.Duration) {
	state.vouched, state.strikes, state.shunned, state.isUnreachable = now, 0, 0, false
	decider.closeBreaker(state)
}

// Flowed records that a chunk of a stream came from the replica of a selection.
func (decider *Decider) Flowed(selection *Selection) {
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	decider.noteAlive(selection.seat, now)
}

// Unseat ends a routed selection with its failure, if any, and the time to first token.
func (decider *Decider) Unseat(selection *Selection, failure *verdict.Mishap, first time.Duration) {
	now := decider.World.Now()
	decider.guard.Lock()
	decider.noteBegun(selection, false, now)
	isEmpty := false
	if view := decider.Holder(); view.Tree != nil {
		isEmpty = selection.seat.isEmpty(view.Tree.Engine(selection.call.Model), now)
	}
	selection.seat.running--
	decider.noteEnd(selection, now)
	if selection.isStreaming {
		selection.seat.flowing--
	}
	if bad := badness(failure, isEmpty, decider.certainty(selection, now)); bad > 0 {
		decider.judgeHealth(selection, bad, now)
		if isSure(failure) {
			decider.report(selection)
		}
	}
	if failure != nil {
		selection.seat.isUnreachable = selection.seat.isUnreachable || failure.Code == "replica_unreached"
		switch failure.Code {
		case "replica_unreached", "replica_cut", "cut":
			decider.wary = now + warySpan
			decider.shun(selection.seat, now)
			decider.missed(selection.seat, now)
		case "replica_declined":
			decider.shun(selection.seat, now)
		}
	}
	decider.guard.Unlock()
	decider.Release(selection, failure, first)
	if choice := selection.choice; choice != nil {
		if failure != nil {
			choice.Code = failure.Code
		}
		decider.Traced(*choice)
	}
}

// Sweep drops the state of replicas that no routing table lists. It does nothing while the
// routing table of a region is missing.
func (decider *Decider) Sweep() {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	view := decider.Holder()
	if view.Tree == nil || len(view.Standings) < len(view.Tree.Regions()) {
		return
	}
	listed := map[string]bool{}
	for _, table := range view.Standings {
		for _, endpoint := range table.Places {
			listed[endpoint.ID] = true
		}
	}
	for id, state := range decider.engines {
		if !listed[id] && state.running == 0 {
			delete(decider.engines, id)
		}
	}
}

// String describes the target of a selection for logs.
func (selection *Selection) String() string {
	return fmt.Sprintf("%s@%s predicted %v", selection.Replica, selection.Address, selection.Foreseen)
}
