package soak

import (
	"fmt"
	"slices"
	"time"
)

// checker holds a history to the rules of the configuration.
type checker struct {
	*history
	bounds
	controls map[string]bool
	core     int // how many control daemons there are at a time
	services []string
	latest   latest
	over     time.Duration // when the run was over
	// judgedWithOneGone counts the answers that were held to the bound of a settled core while a core machine was gone.
	judgedWithOneGone int
}

// latest is the answer that followed a change latest, whether a bound held for it or not.
type latest struct {
	behind  time.Duration
	edition int
	outcome outcome
}

// disturbed lists the machines that were disturbed in a span, among those that fit.
func (checker *checker) disturbed(during span, fits func(machine string) bool) map[string]bool {
	out := map[string]bool{}
	for _, one := range checker.disturbances {
		if fits(one.machine) && one.overlaps(during) {
			out[one.machine] = true
		}
	}
	return out
}

// isCore tells whether a machine is one of the core.
func (checker *checker) isCore(machine string) bool { return checker.controls[machine] }

// isSettled tells whether the core was settled throughout a span: none of its machines was killed, stopped, started,
// frozen, thawed or removed in it, none was slowed, and more than half of them ran.
func (checker *checker) isSettled(during span) bool {
	for _, one := range checker.disturbances {
		if !checker.isCore(one.machine) || !one.overlaps(during) {
			continue
		}
		if one.isSlowed || during.contains(one.from) || during.contains(one.to) {
			return false
		}
	}
	return 2*len(checker.disturbed(during, checker.isCore)) < checker.core
}

// lateness is how much later than the bound of a calm core a machine may follow a change, and false
// where no bound holds: it was disturbed itself, or most of the core was. A core machine that has been gone for a while
// doesn't unsettle the core.
func (checker *checker) lateness(one outcome, since time.Duration) (time.Duration, bool) {
	decided := one.answered
	if one.arrived > 0 {
		decided = one.arrived
	}
	if len(checker.disturbed(span{one.sent - checker.contact, decided}, func(machine string) bool { return machine == one.machine })) > 0 {
		return 0, false
	}
	if checker.isSettled(span{one.sent - checker.contact, decided}) {
		return 0, true
	}
	disturbed := checker.disturbed(span{min(since, one.sent) - checker.contact, decided}, checker.isCore)
	return checker.stretch, 2*len(disturbed) < checker.core
}

// mayBeInForce tells whether a version may be what a request was handled by.
func (change *change) mayBeInForce(at time.Duration) bool {
	return !change.isInvalid && !change.isRefused && change.sent <= at
}

// checkOutcomes: no machine in touch handles a request as only versions allow that were replaced long
// enough before, and none goes back within a life.
func (checker *checker) checkOutcomes() (judged int) {
	type life struct {
		machine string
		number  int
	}
	type effect struct {
		at    time.Duration
		floor int // the oldest version that allows it
	}
	changes := slices.Clone(checker.changes)
	slices.SortStableFunc(changes, func(a, b *change) int { return a.edition - b.edition })
	effects := map[life][]effect{}
	outcomes := slices.Clone(checker.outcomes)
	slices.SortFunc(outcomes, func(a, b outcome) int { return int(a.answered - b.answered) })
	for _, one := range outcomes {
		if one.status != 404 && one.service == "" {
			continue
		}
		judged++
		oldest, newest := 0, 0
		for _, version := range changes {
			if version.mayBeInForce(one.answered) && version.document.allows(one) {
				if oldest == 0 {
					oldest = version.edition
				}
				newest = version.edition
			}
		}
		if newest == 0 {
			checker.broken(one, "as no version allows", 0)
			continue
		}
		if more, isBound := checker.lateness(one, one.sent); isBound && more == 0 && len(checker.disturbed(span{one.sent, one.answered}, checker.isCore)) > 0 {
			checker.judgedWithOneGone++
		}
		for _, version := range changes {
			if version.acknowledged == 0 || version.edition <= newest || version.acknowledged >= one.sent {
				continue
			}
			if behind := one.sent - version.acknowledged; behind > checker.latest.behind {
				checker.latest = latest{behind, version.edition, one}
			}
			more, isBound := checker.lateness(one, version.acknowledged)
			if isBound && one.sent > version.acknowledged+checker.apply+more {
				checker.broken(one, fmt.Sprintf("as only versions up to %d allow, %v after %d was acknowledged (bound %v)", newest, one.sent-version.acknowledged, version.edition, checker.apply+more), version.edition)
				break
			}
		}
		at := life{one.machine, one.life}
		isBack := slices.ContainsFunc(effects[at], func(seen effect) bool { return seen.floor > newest && one.sent > seen.at+checker.downgrade })
		if isBack {
			checker.broken(one, fmt.Sprintf("as only versions up to %d allow, though it had shown a later one", newest), 0)
		}
		if one.arrived > 0 {
			effects[at] = append(effects[at], effect{one.arrived, oldest})
		}
	}
	return judged
}

// tally counts requests and those that were served.
type tally struct{ sent, served int }

func (tally *tally) add(one outcome) {
	tally.sent++
	if one.service != "" {
		tally.served++
	}
}

// The rule on added routes binds from so many requests on, and asks for that part of the first routes'
// share.
const (
	leastAdded = 20
	addedPart  = 0.25
)

// checkAdded: in calm times a machine serves routes that were added later not much less often than the
// first ones. It gives the sums over all machines.
func (checker *checker) checkAdded() (first, added tally) {
	acknowledged := slices.DeleteFunc(slices.Clone(checker.changes), func(one *change) bool { return one.acknowledged == 0 })
	ofFirst, ofAdded := map[string]*tally{}, map[string]*tally{}
	for _, one := range checker.outcomes {
		if more, isBound := checker.lateness(one, 0); !isBound || more > 0 {
			continue
		}
		var newest *change
		isChanging := false
		for _, version := range acknowledged {
			isChanging = isChanging || version.sent <= one.answered && version.acknowledged+checker.apply > one.sent
			if version.acknowledged < one.sent && (newest == nil || newest.edition < version.edition) {
				newest = version
			}
		}
		if newest == nil {
			continue
		}
		route, isFound := newest.document.find(one.host, one.path)
		before, wasFound := acknowledged[0].document.find(one.host, one.path)
		isFirst := wasFound && isFound && before.Prefix == route.Prefix
		// A route that was just taken away may be answered either way.
		if !isFound || isChanging && one.status == 404 {
			continue
		}
		tallies, sum := ofAdded, &added
		if isFirst {
			tallies, sum = ofFirst, &first
		}
		if tallies[one.machine] == nil {
			tallies[one.machine] = &tally{}
		}
		tallies[one.machine].add(one)
		sum.add(one)
	}
	for machine, one := range ofAdded {
		other := ofFirst[machine]
		if other == nil || one.sent < leastAdded {
			continue
		}
		if float64(one.served)/float64(one.sent) < addedPart*float64(other.served)/float64(other.sent) {
			checker.fail("CONFIG: %s served %d of %d requests on added routes, and %d of %d on the first ones", machine, one.served, one.sent, other.served, other.sent)
		}
	}
	return first, added
}

func (checker *checker) broken(one outcome, what string, version int) {
	id := fmt.Sprintf("%s/%d/%d/%s%s", one.machine, one.life, version, one.host, one.path)
	if checker.contradicted[id] {
		return // told once
	}
	checker.contradicted[id] = true
	checker.fail("CONFIG: %s (life %d) handled %s%s (sent %.3f, answered %.3f: %d %s) %s", one.machine, one.life, one.host, one.path, one.sent.Seconds(), one.answered.Seconds(), one.status, one.service, what)
}

// checkReadings: what is read back is not older than what was acknowledged before it was asked for,
// and is what was sent under its number.
func (checker *checker) checkReadings() {
	for _, one := range checker.readings {
		for _, version := range checker.changes {
			if version.acknowledged > 0 && version.acknowledged < one.sent && version.edition > one.edition {
				checker.fail("CONFIG: %s read back %d at %.3f, though %d was acknowledged at %.3f", one.machine, one.edition, one.sent.Seconds(), version.edition, version.acknowledged.Seconds())
			}
		}
		isSent := slices.ContainsFunc(checker.changes, func(version *change) bool {
			return version.mayBeInForce(one.answered) && version.edition == one.edition && string(version.document.body(version.edition, checker.services)) == string(one.body)
		})
		if !isSent {
			checker.fail("CONFIG: %s read back %d at %.3f, which differs from what was sent", one.machine, one.edition, one.sent.Seconds())
		}
	}
}

// checkRaces: no two changes on top of one version are both acknowledged.
func (checker *checker) checkRaces() {
	on := map[int]*change{}
	for _, one := range checker.changes {
		if one.acknowledged == 0 {
			continue
		}
		if other := on[one.basedOn]; other != nil {
			checker.fail("CONFIG: %d and %d, both on %d, were acknowledged by %s and %s", other.edition, one.edition, one.basedOn, other.acknowledgedBy, one.acknowledgedBy)
		}
		on[one.basedOn] = one
	}
}

// countInvalid counts the invalid configurations that were sent.
func (checker *checker) countInvalid() (count int) {
	for _, one := range checker.changes {
		if one.isInvalid {
			count++
		}
	}
	return count
}

// countRaces counts the versions on top of which two valid changes were sent or more.
func (checker *checker) countRaces() (count int) {
	on := map[int]int{}
	for _, one := range checker.changes {
		if one.isInvalid {
			continue
		}
		if on[one.basedOn]++; on[one.basedOn] == 2 {
			count++
		}
	}
	return count
}
