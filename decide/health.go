package decide

import (
	"math"
	"time"

	"swifttiller/permit"
	"swifttiller/settings"
	"swifttiller/verdict"
)

// health is the state of a replica by the outcomes of this daemon's own requests there,
// whatever its health checks say. A replica whose failures stand out is ejected, as in
// outlier detection: it is held out of use for a while and readmitted by a few probe requests.
//
// Invariants: successes and bad are counts that halve each healthHalfLife, as of the time
// at, and successes is at most maxSuccesses. A replica is ejected from the failure that made
// it an outlier until it has served enough probes: it gets nothing before ejectedUntil, and
// few requests after it. No ejection is permanent: ejectedUntil is at most maxEjection ahead,
// or maxExtended after ejectedSince if peers report that their ejections go on, and after that
// only successes count.
type health struct {
	successes, bad float64
	at             time.Duration
	// isHeld is set while the replica is ejected; ejections counts its recent ejections.
	isHeld       bool
	ejections    int
	ejectedUntil time.Duration
	// ejectedSince is when the present ejection began.
	ejectedSince time.Duration
	// ejectionSpan is the length of the present ejection, probeSuccesses the number of requests
	// that succeeded since ejectedUntil, and asked the time at which the last request was sent.
	ejectionSpan   time.Duration
	probeSuccesses int
	asked          time.Duration
	// readmitted is when the last ejection ended.
	readmitted time.Duration
}

// Constants of ejections. A replica is an outlier if its failures exceed minOutlierFailures
// plus outlierFactor times the failures that it would have at the failure share of the other
// replicas; that share is taken to be minUsualShare at least.
const (
	healthHalfLife     = 4 * time.Second
	minOutlierFailures = 0.5
	outlierFactor      = 3
	minUsualShare      = 0.02
	// maxSuccesses bounds how many successes count in a replica's favor.
	maxSuccesses   = 20
	priorSuccesses = 4 // successes that are added to those of the other replicas
	// firstEjection doubles with each ejection up to maxEjection. A replica that has been
	// healthy for twice maxEjection starts again at firstEjection.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// maxEjectedShare bounds the share of a region's replicas of a model that are ejected at once.
	maxEjectedShare = 0.4
	// probeInterval is the shortest time between requests to a replica after an ejection.
	// Requests that can't be repeated are sent there later than others, by minUnsafeWait or
	// half the ejection's length, whichever is longer. If repeatable requests come for the
	// model they wait for the first success of one, for up to unsafeWaitFactor times the
	// ejection's length and maxUnsafeWait. The replica is readmitted after minProbes
	// successes, and extraProbes more for each further ejection.
	probeInterval    = 150 * time.Millisecond
	minUnsafeWait    = time.Second
	unsafeWaitFactor = 4
	maxUnsafeWait    = 2 * maxEjection
	minProbes        = 3
	extraProbes      = 2
	// A first token is late if it takes longer than slowTimes the forecast plus slowMore;
	// slowBad is its weight as a failure.
	slowTimes = 3
	slowMore  = 300 * time.Millisecond
	slowBad   = 0.4
	// overdueWeight is the weight of a request that is overdue and has no answer.
	overdueWeight = 0.6
	// unknownLoadShare is the share of its weight that a late long prompt counts if the
	// replica does not report its load: it may first have had to read the prompts of other daemons.
	unknownLoadShare = 0.5
	// leastBad is the count of failures below which they are ignored.
	leastBad = 0.25
	// repeatablePenalty and unsafePenalty are the time by which a certain failure would
	// worsen a replica's forecast, for requests that can be repeated and for others.
	repeatablePenalty = 300 * time.Millisecond
	unsafePenalty     = 2 * time.Second
)

func (health *health) decay(now time.Duration) {
	if span := now - health.at; span > 0 {
		factor := math.Exp2(-span.Seconds() / healthHalfLife.Seconds())
		health.successes *= factor
		health.bad *= factor
		health.at = now
	}
}

// failureShare is the share of failures, including those that peers report. A few outcomes
// are not enough for a large share.
func (health *health) failureShare(now time.Duration, reported float64) float64 {
	health.decay(now)
	failures := health.bad + reported
	return failures / (health.successes + failures + 1)
}

// isOutlier reports whether the failures, including those that peers report, are plainly more
// than those of the other replicas, of whose requests the usual share fails.
func (health *health) isOutlier(usual, reported float64) bool {
	failures := health.bad + reported
	return failures > minOutlierFailures+outlierFactor*usual*(health.successes+failures)
}

// eject takes the replica out of use, longer each time.
func (health *health) eject(now time.Duration) {
	if !health.isHeld && health.ejections > 0 && now-health.readmitted > 2*maxEjection {
		health.ejections = 0
	}
	health.ejectionSpan = min(firstEjection<<min(health.ejections, 8), maxEjection)
	health.ejections++
	health.isHeld, health.ejectedSince, health.ejectedUntil, health.probeSuccesses = true, now, now+health.ejectionSpan, 0
}

// well counts a success, and readmits a replica that has served enough probes.
func (health *health) well(now time.Duration) {
	health.decay(now)
	health.successes = min(maxSuccesses, health.successes+1)
	if !health.isHeld || now < health.ejectedUntil {
		return
	}
	if health.probeSuccesses++; health.probeSuccesses >= minProbes+extraProbes*(health.ejections-1) {
		health.isHeld, health.readmitted, health.bad = false, now, 0
	}
}

// opens returns how long an ejected replica still gets no request of the kind; zero if it may
// get one now. othersAre tells that repeatable requests come for the model: these then probe
// the replica, so that one that can't be repeated does not have to.
func (health *health) opens(now time.Duration, isRepeatable, othersAre bool) time.Duration {
	if !health.isHeld {
		return 0
	}
	due := max(health.ejectedUntil, health.asked+probeInterval)
	if !isRepeatable {
		wait := max(minUnsafeWait, health.ejectionSpan/2)
		if othersAre && health.probeSuccesses == 0 {
			wait = max(minUnsafeWait, min(unsafeWaitFactor*health.ejectionSpan, maxUnsafeWait))
		}
		due = max(due, health.ejectedUntil+wait)
	}
	return max(0, due-now)
}

// badness is the weight of an outcome as a failure of the replica: zero if it shows nothing
// about the replica, and for a late answer the certainty that the replica caused it.
func badness(mishap *verdict.Mishap, isEmpty bool, certainty float64) float64 {
	if mishap == nil {
		return 0
	}
	switch mishap.Code {
	case "replica_failed", "replica_cut", "cut", "replica_garbled":
		return 1
	case "replica_declined":
		if isEmpty {
			return 1 // it rejected the request though most of its slots were free
		}
	case "replica_silent", "expired":
		if isEmpty {
			return certainty // it was late though most of its slots were free
		}
	}
	return 0
}

// isSure reports whether a failure is certainly the replica's own. Lateness is not: it also
// comes from load, which all daemons of a region observe alike, so that they would all move
// away from the replica at once.
func isSure(mishap *verdict.Mishap) bool {
	return mishap.Code != "replica_silent" && mishap.Code != "expired"
}

// judgeHealth adds the weight of a routed request's failure to its replica's health, and
// ejects the replica if that makes it an outlier. The caller holds guard.
func (decider *Decider) judgeHealth(selection *Selection, weight float64, now time.Duration) {
	health := &selection.seat.health
	health.decay(now)
	health.bad += weight
	decider.wary = now + warySpan
	switch {
	case health.isHeld:
		// A failed probe ejects it again; requests sent before the probing do not.
		if now >= health.ejectedUntil && selection.sent >= health.ejectedUntil && weight >= minOutlierFailures {
			health.eject(now)
		}
	case health.isOutlier(decider.usualFailureShare(selection.seat, selection.Region, selection.call.Model, now), selection.seat.reported(selection.Boot, now)) &&
		decider.mayEject(decider.Holder(), selection.Region, selection.call.Model):
		health.eject(now)
	}
}

// judgeLate is judgeHealth for a late first token. That shows nothing about a replica that
// is busy or cold.
func (decider *Decider) judgeLate(selection *Selection, weight float64, now time.Duration) {
	view := decider.Holder()
	if view.Tree == nil || selection.isCold || !selection.seat.isEmpty(view.Tree.Engine(selection.call.Model), now) {
		return
	}
	decider.judgeHealth(selection, weight*decider.certainty(selection, now), now)
}

// certainty is the share of its weight that a late answer counts against its replica.
func (decider *Decider) certainty(selection *Selection, now time.Duration) float64 {
	if selection.seat.freshness(now) > 0 || !decider.isLong(selection.routed) {
		return 1
	}
	return unknownLoadShare
}

// overdueAt counts a request that is overdue without an answer once, and reports whether its
// replica is ejected. The caller holds guard.
func (decider *Decider) overdueAt(selection *Selection, now time.Duration) bool {
	if !selection.hasBegun && !selection.isLate && now-selection.sent > decider.Overdue(selection) {
		selection.isLate = true
		decider.judgeLate(selection, overdueWeight, now)
	}
	return selection.seat.health.isHeld
}

// usualFailureShare is the share of failures at the other replicas of the region and model,
// without the ejected ones.
func (decider *Decider) usualFailureShare(state *engine, region, model string, now time.Duration) float64 {
	good, bad := float64(priorSuccesses), 0.0
	for _, other := range decider.engines {
		if other == state || other.health.isHeld || other.region != region || other.model != model {
			continue
		}
		other.health.decay(now)
		good += other.health.successes
		bad += other.health.bad
	}
	return max(minUsualShare, bad/(good+bad))
}

// mayEject reports whether one more of the region's replicas of the model may be ejected.
//
// Invariant: at most maxEjectedShare of those in the region's routing table are.
func (decider *Decider) mayEject(view *permit.View, region, model string) bool {
	all, ejected := 0, 0
	table := view.Standings[region]
	placed := places{list: table.Places}
	for _, row := range table.Rows {
		if place := placed.of(row.Replica); row.Model != model || place == nil || view.Evacuated[place.Zone] {
			continue
		}
		all++
		if state := decider.engines[row.Replica]; state != nil && state.health.isHeld {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(all)
}

// penalty is the time by which the replica's forecast is worsened for the failures there, by
// this daemon's own counts and those that peers report.
func (health *health) penalty(now time.Duration, isRepeatable bool, reported float64) time.Duration {
	if health.bad+reported < leastBad || health.isHeld && now >= health.ejectedUntil {
		return 0 // a replica that is being probed gets few requests anyway
	}
	weight := unsafePenalty
	if isRepeatable {
		weight = repeatablePenalty
	}
	return time.Duration(health.failureShare(now, reported) * float64(weight))
}

// isEmpty reports whether less than half of the replica's slots are in use, as far as is known.
func (engine *engine) isEmpty(known *settings.Engine, now time.Duration) bool {
	return known != nil && known.Berths > 0 && engine.filled(known, now) < 1
}

// repeatableSpan is how long after a model's last repeatable request more of them are
// expected.
const repeatableSpan = 2 * time.Second

// hasRepeatable reports whether repeatable requests come for the model at present.
func (decider *Decider) hasRepeatable(model string, now time.Duration) bool {
	at, has := decider.repeatable[model]
	return has && now-at < repeatableSpan
}
