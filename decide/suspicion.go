package decide

import (
	"time"

	"swifttiller/permit"
)

// Suspicion: what speaks against a replica that says nothing.

// Suspicion is what speaks against a replica from which a first piece is overdue.
type Suspicion int

// Suspicions, each worse than the one before it.
const (
	// Unsuspected replicas have shown of late that they are alive.
	Unsuspected Suspicion = iota
	// Silent ones have told this daemon nothing for longer than it takes. That alone says
	// little: one daemon of many hears each replica seldom, and one that reads a long prompt
	// says nothing meanwhile.
	Silent
	// Failing ones stand out by their failures, or are silent and in the routing table no
	// more, or in a region that seems to be out of reach.
	Failing
)

// Suspect tells what speaks against the replica of a selection. One that has been silent for
// so long that others should get its requests gets none for a while.
func (decider *Decider) Suspect(selection *Selection) Suspicion {
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	seat := selection.seat
	if decider.overdueAt(selection, now) {
		return Failing
	}
	if now-max(seat.silent, seat.vouched) < seat.silence(selection) {
		return Unsuspected
	}
	decider.wary = now + warySpan
	decider.shun(seat, now)
	decider.missed(seat, now)
	if decider.isDoubted(selection.Region) || !isListed(decider.Holder(), selection) {
		return Failing
	}
	return Silent
}

// isListed tells whether the life of a selection's replica is in the routing table.
func isListed(view *permit.View, selection *Selection) bool {
	placed := places{list: view.Standings[selection.Region].Places}
	place := placed.of(selection.Replica)
	return place != nil && place.Boot == selection.Boot
}

// silence is how long a replica may say nothing at all while something is to come from
// it: not long where streams flow, whose pieces come one after the other.
func (engine *engine) silence(selection *Selection) time.Duration {
	if engine.flowing > 0 {
		return flowSilence
	}
	return leastSilence + silenceTimes*selection.Foreseen
}

const (
	flowSilence  = 400 * time.Millisecond
	leastSilence = 300 * time.Millisecond
	silenceTimes = 3
	firstShun    = 300 * time.Millisecond
	mostShun     = 3 * time.Second
)

// shun leaves a replica alone for a while, longer each time in a row, never for good.
func (decider *Decider) shun(seat *engine, now time.Duration) {
	if now < seat.shunned {
		return
	}
	seat.shunned = now + min(firstShun<<min(seat.strikes, 8), mostShun)
	seat.strikes++
}

// Overdue is by when a first piece should have come, counted from the dispatch; after
// that a request that may run again is worth another replica.
func (decider *Decider) Overdue(selection *Selection) time.Duration {
	return leastSilence + silenceTimes*max(selection.Foreseen, decider.reading(selection.routed.Tokens))
}
