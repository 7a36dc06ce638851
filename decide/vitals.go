package decide

import (
	"math"
	"time"

	"swifttiller/permit"
	"swifttiller/settings"
	"swifttiller/verdict"
)

// vitals is how a replica does, by what became of this daemon's own requests there,
// whatever its probes say.
//
// Invariants: good and bad are counts that halve each vitalsHalf, as of at, and good is at
// most mostGood. A replica is
// held from the mishap that made it stand out until it has served enough; it gets
// nothing before until, and few requests after it. Nothing holds it for ever: until is
// never more than mostHold away, and after that successes alone count.
type vitals struct {
	good, bad float64
	at        time.Duration
	// isHeld tells that it stands out; holds is how often it has of late.
	isHeld bool
	holds  int
	until  time.Duration
	// span is the present hold's, served how many requests went well since until, and
	// asked when the last of them was sent.
	span   time.Duration
	served int
	asked  time.Duration
	// freed is when it was last let go.
	freed time.Duration
}

// Constants of holds. A replica's mishaps stand out when there are more than
// standOut and usualTimes those that the others would have had, and usualLeast is the
// least share of mishaps that is taken for theirs.
const (
	vitalsHalf = 4 * time.Second
	standOut   = 0.5
	usualTimes = 3
	usualLeast = 0.02
	// mostGood bounds how many good ones speak for a replica.
	mostGood   = 20
	usualPrior = 4 // good ones that the others are taken to have had besides
	// firstHold doubles with each hold up to mostHold; one that has been well for
	// twice mostHold begins anew.
	firstHold = time.Second
	mostHold  = 8 * time.Second
	// heldShare bounds which part of a region's replicas of a model is held at once.
	heldShare = 0.4
	// tryGap is how long the requests to one that was held are apart, at least; those that can't
	// be repeated wait for unsafeWait longer, or half as long again as the hold was. Full service comes after enoughTries, and
	// moreTries more for each further hold.
	tryGap      = 150 * time.Millisecond
	unsafeWait  = time.Second
	enoughTries = 3
	moreTries   = 2
	// slowTimes and slowMore bound first pieces that are no later than foreseen ones may
	// be; slowBad is what a later one counts.
	slowTimes = 3
	slowMore  = 300 * time.Millisecond
	slowBad   = 0.4
	// overdueBad counts one that has no answer when it is overdue.
	overdueBad = 0.6
	// unknownShare is which part a late long prompt counts where the replica does not tell its
	// load: what others sent there may be read before it.
	unknownShare = 0.5
	// leastBad is the count of mishaps that weighs nothing any more.
	leastBad = 0.25
	// mishapWeight and unsafeWeight are what a sure mishap would weigh in a selection.
	mishapWeight = 300 * time.Millisecond
	unsafeWeight = 2 * time.Second
)

func (vitals *vitals) fade(now time.Duration) {
	if span := now - vitals.at; span > 0 {
		left := math.Exp2(-span.Seconds() / vitalsHalf.Seconds())
		vitals.good *= left
		vitals.bad *= left
		vitals.at = now
	}
}

// share is that of mishaps, of which a few outcomes say little.
func (vitals *vitals) share(now time.Duration) float64 {
	vitals.fade(now)
	return vitals.bad / (vitals.good + vitals.bad + 1)
}

// standsOut tells whether its mishaps are plainly more than those of the others, of whose
// requests the usual share fails.
func (vitals *vitals) standsOut(usual float64) bool {
	return vitals.bad > standOut+usualTimes*usual*(vitals.good+vitals.bad)
}

// hold leaves the replica alone, longer each time.
func (vitals *vitals) hold(now time.Duration) {
	if !vitals.isHeld && vitals.holds > 0 && now-vitals.freed > 2*mostHold {
		vitals.holds = 0
	}
	vitals.span = min(firstHold<<min(vitals.holds, 8), mostHold)
	vitals.holds++
	vitals.isHeld, vitals.until, vitals.served = true, now+vitals.span, 0
}

// well counts a success; one that has served enough since it was held is let go.
func (vitals *vitals) well(now time.Duration) {
	vitals.fade(now)
	vitals.good = min(mostGood, vitals.good+1)
	if !vitals.isHeld || now < vitals.until {
		return
	}
	if vitals.served++; vitals.served >= enoughTries+moreTries*(vitals.holds-1) {
		vitals.isHeld, vitals.freed, vitals.bad = false, now, 0
	}
}

// opens gives how long a held replica is to be left alone yet; zero when it may get a
// request of the kind now.
func (vitals *vitals) opens(now time.Duration, isRepeatable bool) time.Duration {
	if !vitals.isHeld {
		return 0
	}
	at := max(vitals.until, vitals.asked+tryGap)
	if !isRepeatable {
		at = max(at, vitals.until+max(unsafeWait, vitals.span/2))
	}
	return max(0, at-now)
}

// badness is what an outcome counts against the replica: nothing if it says nothing of it,
// and a late one as much as is certain.
func badness(mishap *verdict.Mishap, isEmpty bool, certainty float64) float64 {
	if mishap == nil {
		return 0
	}
	switch mishap.Code {
	case "replica_failed", "replica_cut", "cut", "replica_garbled":
		return 1
	case "replica_declined":
		if isEmpty {
			return 1 // it turned away while it had places
		}
	case "replica_silent", "expired":
		if isEmpty {
			return certainty // it was late while it had places
		}
	}
	return 0
}

// judgeVitals takes in what became of a routed request at its replica; who holds the
// guard calls it.
func (decider *Decider) judgeVitals(selection *Selection, bad float64, now time.Duration) {
	vitals := &selection.seat.vitals
	vitals.fade(now)
	vitals.bad += bad
	decider.wary = now + warySpan
	switch {
	case vitals.isHeld:
		// It fails what it was tried with, and not what was under way before.
		if now >= vitals.until && selection.sent >= vitals.until && bad >= standOut {
			vitals.hold(now)
		}
	case vitals.standsOut(decider.usual(selection, now)) && decider.mayHold(decider.Holder(), selection):
		vitals.hold(now)
	}
}

// judgeLate is judgeVitals for a late first piece, that says nothing of a replica that has
// much to do, or is cold.
func (decider *Decider) judgeLate(selection *Selection, bad float64, now time.Duration) {
	view := decider.Holder()
	if view.Tree == nil || selection.isCold || !selection.seat.isEmpty(view.Tree.Engine(selection.call.Model), now) {
		return
	}
	decider.judgeVitals(selection, bad*decider.certainty(selection, now), now)
}

// certainty is which part of what a late answer counts against its replica.
func (decider *Decider) certainty(selection *Selection, now time.Duration) float64 {
	if selection.seat.freshness(now) > 0 || !decider.isLong(selection.routed) {
		return 1
	}
	return unknownShare
}

// overdueAt notes once that a request has no answer though it is overdue, and tells
// whether its replica stands out; who holds the guard calls it.
func (decider *Decider) overdueAt(selection *Selection, now time.Duration) bool {
	if !selection.hasBegun && !selection.isLate && now-selection.sent > decider.Overdue(selection) {
		selection.isLate = true
		decider.judgeLate(selection, overdueBad, now)
	}
	return selection.seat.vitals.isHeld
}

// usual is the share of mishaps at the other replicas of the region and model that are
// not held.
func (decider *Decider) usual(selection *Selection, now time.Duration) float64 {
	good, bad := float64(usualPrior), 0.0
	for _, one := range decider.engines {
		if one == selection.seat || one.vitals.isHeld || one.region != selection.Region || one.model != selection.call.Model {
			continue
		}
		one.vitals.fade(now)
		good += one.vitals.good
		bad += one.vitals.bad
	}
	return max(usualLeast, bad/(good+bad))
}

// mayHold tells whether one more of the region's replicas of the model may be held.
//
// Invariant: at most heldShare of those that the standing shows are.
func (decider *Decider) mayHold(view *permit.View, selection *Selection) bool {
	all, held := 0, 0
	one := view.Standings[selection.Region]
	placed := places{list: one.Places}
	for _, row := range one.Rows {
		if place := placed.of(row.Replica); row.Model != selection.call.Model || place == nil || view.Evacuated[place.Zone] {
			continue
		}
		all++
		if one := decider.engines[row.Replica]; one != nil && one.vitals.isHeld {
			held++
		}
	}
	return float64(held+1) <= heldShare*float64(all)
}

// penalty is what a replica has to be better by for the requests that fail there.
func (vitals *vitals) penalty(now time.Duration, isRepeatable bool) time.Duration {
	if vitals.bad < leastBad || vitals.isHeld && now >= vitals.until {
		return 0 // one that is being tried gets few requests anyhow
	}
	weight := unsafeWeight
	if isRepeatable {
		weight = mishapWeight
	}
	return time.Duration(vitals.share(now) * float64(weight))
}

// isEmpty tells whether most of the replica's places were free, as far as is known.
func (engine *engine) isEmpty(known *settings.Engine, now time.Duration) bool {
	return known != nil && known.Berths > 0 && engine.filled(known, now) < 1
}
