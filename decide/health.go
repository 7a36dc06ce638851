package decide

import (
	"math"
	"time"

	"swifttiller/lease"
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
	successes, failures float64
	at                  time.Duration
	// isEjected is set while the replica is ejected; ejections counts its recent ejections.
	isEjected    bool
	ejections    int
	ejectedUntil time.Duration
	// ejectedSince is when the present ejection began.
	ejectedSince time.Duration
	// ejectionSpan is the length of the present ejection, probeSuccesses the number of requests
	// that succeeded since ejectedUntil, and asked the time at which the last request was sent.
	ejectionSpan   time.Duration
	probeSuccesses int
	lastSent       time.Duration
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
	// A first token is late if it takes longer than slowFactor times the forecast plus slowMore;
	// slowWeight is its weight as a failure.
	slowFactor = 3
	slowMore   = 300 * time.Millisecond
	slowWeight = 0.4
	// overdueWeight is the weight of a request that is overdue and has no answer.
	overdueWeight = 0.6
	// unknownLoadShare is the share of its weight that a late long prompt counts if the
	// replica does not report its load: it may first have had to read the prompts of other daemons.
	unknownLoadShare = 0.5
	// minFailures is the count of failures below which they are ignored.
	minFailures = 0.25
	// repeatablePenalty and unsafePenalty are the time by which a certain failure would
	// worsen a replica's forecast, for requests that can be repeated and for others.
	repeatablePenalty = 300 * time.Millisecond
	unsafePenalty     = 2 * time.Second
)

func (health *health) decay(now time.Duration) {
	if span := now - health.at; span > 0 {
		factor := math.Exp2(-span.Seconds() / healthHalfLife.Seconds())
		health.successes *= factor
		health.failures *= factor
		health.at = now
	}
}

// failureShare is the share of failures, including those that peers report. A few outcomes
// are not enough for a large share.
func (health *health) failureShare(now time.Duration, reported float64) float64 {
	health.decay(now)
	failures := health.failures + reported
	return failures / (health.successes + failures + 1)
}

// isOutlier reports whether the failures, including those that peers report, are plainly more
// than those of the other replicas, of whose requests the usual share fails.
func (health *health) isOutlier(usual, reported float64) bool {
	failures := health.failures + reported
	return failures > minOutlierFailures+outlierFactor*usual*(health.successes+failures)
}

// eject takes the replica out of use, longer each time.
func (health *health) eject(now time.Duration) {
	if !health.isEjected && health.ejections > 0 && now-health.readmitted > 2*maxEjection {
		health.ejections = 0
	}
	health.ejectionSpan = min(firstEjection<<min(health.ejections, 8), maxEjection)
	health.ejections++
	health.isEjected, health.ejectedSince, health.ejectedUntil, health.probeSuccesses = true, now, now+health.ejectionSpan, 0
}

// recordSuccess counts a success, and readmits a replica that has served enough probes.
func (health *health) recordSuccess(now time.Duration) {
	health.decay(now)
	health.successes = min(maxSuccesses, health.successes+1)
	if !health.isEjected || now < health.ejectedUntil {
		return
	}
	if health.probeSuccesses++; health.probeSuccesses >= minProbes+extraProbes*(health.ejections-1) {
		health.isEjected, health.readmitted, health.failures = false, now, 0
	}
}

// probeDelay returns how long an ejected replica still gets no request of the kind; zero if it may
// get one now. othersAre tells that repeatable requests come for the model: these then probe
// the replica, so that one that can't be repeated does not have to.
func (health *health) probeDelay(now time.Duration, isRepeatable, othersAre bool) time.Duration {
	if !health.isEjected {
		return 0
	}
	due := max(health.ejectedUntil, health.lastSent+probeInterval)
	if !isRepeatable {
		wait := max(minUnsafeWait, health.ejectionSpan/2)
		if othersAre && health.probeSuccesses == 0 {
			wait = max(minUnsafeWait, min(unsafeWaitFactor*health.ejectionSpan, maxUnsafeWait))
		}
		due = max(due, health.ejectedUntil+wait)
	}
	return max(0, due-now)
}

// failureWeight is the weight of an outcome as a failure of the replica: zero if it shows nothing
// about the replica, and for a late answer the certainty that the replica caused it.
func failureWeight(failure *verdict.Error, isEmpty bool, certainty float64) float64 {
	if failure == nil {
		return 0
	}
	switch failure.Code {
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

// isCertainFailure reports whether a failure is certainly the replica's own. Lateness is not: it also
// comes from load, which all daemons of a region observe alike, so that they would all move
// away from the replica at once.
func isCertainFailure(failure *verdict.Error) bool {
	return failure.Code != "replica_silent" && failure.Code != "expired"
}

// recordFailure adds the weight of a routed request's failure to its replica's health, and
// ejects the replica if that makes it an outlier. The caller holds mu.
func (decider *Decider) recordFailure(selection *Selection, weight float64, now time.Duration) {
	health := &selection.state.health
	health.decay(now)
	health.failures += weight
	decider.cautiousUntil = now + cautionSpan
	switch {
	case health.isEjected:
		// A failed probe ejects it again; requests sent before the probing do not.
		if now >= health.ejectedUntil && selection.sent >= health.ejectedUntil && weight >= minOutlierFailures {
			health.eject(now)
		}
	case health.isOutlier(decider.usualFailureShare(selection.state, selection.Region, selection.call.Model, now), selection.state.reported(selection.Boot, now)) &&
		decider.mayEject(decider.View(), selection.Region, selection.call.Model):
		health.eject(now)
	}
}

// recordLate is recordFailure for a late first token. That shows nothing about a replica that
// is busy or cold.
func (decider *Decider) recordLate(selection *Selection, weight float64, now time.Duration) {
	view := decider.View()
	if view.Tree == nil || selection.isCold || !selection.state.isLightlyLoaded(view.Tree.Engine(selection.call.Model), now) {
		return
	}
	decider.recordFailure(selection, weight*decider.latenessCertainty(selection, now), now)
}

// latenessCertainty is the share of its weight that a late answer counts against its replica.
func (decider *Decider) latenessCertainty(selection *Selection, now time.Duration) float64 {
	if selection.state.freshness(now) > 0 || !decider.isLong(selection.routed) {
		return 1
	}
	return unknownLoadShare
}

// overdueAt counts a request that is overdue without an answer once, and reports whether its
// replica is ejected. The caller holds mu.
func (decider *Decider) overdueAt(selection *Selection, now time.Duration) bool {
	if !selection.hasBegun && !selection.isLate && now-selection.sent > decider.overdue(selection) {
		selection.isLate = true
		decider.recordLate(selection, overdueWeight, now)
	}
	return selection.state.health.isEjected
}

// usualFailureShare is the share of failures at the other replicas of the region and model,
// without the ejected ones.
func (decider *Decider) usualFailureShare(state *replicaState, region, model string, now time.Duration) float64 {
	good, bad := float64(priorSuccesses), 0.0
	for _, other := range decider.replicas {
		if other == state || other.health.isEjected || other.region != region || other.model != model {
			continue
		}
		other.health.decay(now)
		good += other.health.successes
		bad += other.health.failures
	}
	return max(minUsualShare, bad/(good+bad))
}

// mayEject reports whether one more of the region's replicas of the model may be ejected.
//
// Invariant: at most maxEjectedShare of those in the region's routing table are.
func (decider *Decider) mayEject(view *lease.View, region, model string) bool {
	all, ejected := 0, 0
	table := view.RoutingTables[region]
	placed := endpointIndex{list: table.Places}
	for _, row := range table.Rows {
		if endpoint := placed.of(row.Replica); row.Model != model || endpoint == nil || view.Evacuated[endpoint.Zone] {
			continue
		}
		all++
		if state := decider.replicas[row.Replica]; state != nil && state.health.isEjected {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(all)
}

// penalty is the time by which the replica's forecast is worsened for the failures there, by
// this daemon's own counts and those that peers report.
func (health *health) penalty(now time.Duration, isRepeatable bool, reported float64) time.Duration {
	if health.failures+reported < minFailures || health.isEjected && now >= health.ejectedUntil {
		return 0 // a replica that is being probed gets few requests anyway
	}
	weight := unsafePenalty
	if isRepeatable {
		weight = repeatablePenalty
	}
	return time.Duration(health.failureShare(now, reported) * float64(weight))
}

// isLightlyLoaded reports whether less than half of the replica's slots are in use, as far as is known.
func (state *replicaState) isLightlyLoaded(known *settings.Engine, now time.Duration) bool {
	return known != nil && known.Slots > 0 && state.utilization(known, now) < 1
}

// repeatableSpan is how long after a model's last repeatable request more of them are
// expected.
const repeatableSpan = 2 * time.Second

// hasRepeatable reports whether repeatable requests come for the model at present.
func (decider *Decider) hasRepeatable(model string, now time.Duration) bool {
	at, has := decider.lastRepeatable[model]
	return has && now-at < repeatableSpan
}
