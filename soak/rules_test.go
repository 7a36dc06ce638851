package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// requestRules holds what clients and replicas saw to the rules on requests, one by one.
type requestRules struct {
	*checker
	byID   map[string][]*arrival
	sentBy map[string]*attempt
	judged map[string]int // how many cases each rule was held to
}

func newRequestRules(checker *checker) *requestRules {
	rules := &requestRules{checker: checker, byID: map[string][]*arrival{}, sentBy: map[string]*attempt{}, judged: map[string]int{}}
	for _, one := range checker.arrivals {
		rules.byID[one.id] = append(rules.byID[one.id], one)
	}
	for _, one := range checker.attempts {
		rules.sentBy[one.id] = one
	}
	return rules
}

// check holds the run to all of them.
func (rules *requestRules) check() {
	for _, one := range rules.attempts {
		rules.checkAnswer(one)
		rules.checkPromise(one)
		rules.checkLost(one)
	}
	for _, one := range rules.arrivals {
		rules.checkArrival(one)
		rules.checkDrain(one)
		rules.checkEvacuated(one)
	}
	rules.checkRuns()
	rules.checkRepeats()
	rules.checkCold()
	rules.checkDenied()
	rules.checkTimeouts()
	rules.checkRollouts()
	for _, one := range rules.evacuations {
		if one.acknowledged > 0 {
			rules.judged["evacuations"]++
		}
	}
}

// describe tells of an attempt, with all that it met.
func (rules *requestRules) describe(one *attempt) string {
	out := fmt.Sprintf("%s %s%s by %s (life %d), began %.3f, sent %.3f, ended %.3f: %d %v", one.id, one.host, one.path, one.machine, one.life, one.began.Seconds(), one.sent.Seconds(), one.ended.Seconds(), one.status, one.err)
	for _, met := range rules.byID[one.id] {
		out += fmt.Sprintf("; at %s from %.3f to %.3f, ran %v, whole %v", met.replica, met.at.Seconds(), met.ended.Seconds(), met.hasRun, met.isWhole)
	}
	return out
}

// routes are those that may have been in force for an attempt.
func (rules *requestRules) routes(one *attempt) (out []route) {
	for _, version := range rules.changes {
		if version.mayBeInForce(one.ended) {
			if found, isFound := version.document.find(one.host, one.path); isFound {
				out = append(out, found)
			}
		}
	}
	return out
}

// mayRepeat tells whether a route's requests may run more than once.
func (route *route) mayRepeat() bool { return route.Kind == "safe" || route.Resume }

// checkAnswer: a success is the whole answer of a replica to this very request, with each event once and in order.
func (rules *requestRules) checkAnswer(one *attempt) {
	if one.err != nil || one.status < 200 || one.status > 299 {
		return
	}
	rules.judged["MIXED"]++
	if one.answerID != one.id || !strings.HasSuffix(one.postmark, "/"+one.id) {
		rules.fail("MIXED: the answer is of %q, stamp %q: %s", one.answerID, one.postmark, rules.describe(one))
		return
	}
	lines := strings.Split(strings.TrimSuffix(one.body, "\n"), "\n")
	if one.events > 0 {
		lines = slices.DeleteFunc(lines, func(line string) bool { return !strings.HasPrefix(line, "data: ") })
	}
	run, runs := 0, 0
	for index, line := range lines {
		var id string
		var of, from, number int
		if _, err := fmt.Sscanf(strings.TrimPrefix(line, "data: "), "%s %d %d/%d", &id, &from, &number, &of); err != nil || id != one.id || of != len(lines) {
			rules.fail("MIXED: line %d of %d is %q: %s", index+1, len(lines), line, rules.describe(one))
			return
		}
		if number != index+1 {
			rules.fail("ORDER: piece %d came where %d is due: %s", number, index+1, rules.describe(one))
			return
		}
		if from != run {
			run = from
			runs++
		}
	}
	if runs > 1 && (one.events == 0 || !slices.ContainsFunc(rules.routes(one), func(route route) bool { return route.Resume })) {
		rules.fail("ORDER: an answer that may not be resumed joins %d runs: %s", runs, rules.describe(one))
	}
	if one.events > 0 && len(lines) != one.events {
		rules.fail("ORDER: a stream of %d events ended as complete after %d: %s", one.events, len(lines), rules.describe(one))
	}
}

// checkPromise: what was refused with the promise that it has not run does not run.
func (rules *requestRules) checkPromise(one *attempt) {
	if one.err != nil || !slices.Contains([]int{408, 421, 429, 503}, one.status) {
		return
	}
	rules.judged["REFUSED"]++
	ran := slices.ContainsFunc(rules.byID[one.id], func(met *arrival) bool { return met.hasRun })
	if ran && !slices.ContainsFunc(rules.routes(one), func(route route) bool { return route.mayRepeat() }) {
		rules.fail("REFUSED: it has run: %s", rules.describe(one))
	}
}

// checkLost: a request that was read gets a whole answer or a refusal, unless its replica broke off, its time
// was over, its machine failed unplanned, or it was sent soon after SIGTERM and its replica was still at work in the last
// sixth of the grace.
func (rules *requestRules) checkLost(one *attempt) {
	if one.sent == 0 || one.ended > rules.over {
		return
	}
	rules.judged["LOST"]++
	if one.err == nil {
		return
	}
	met := rules.byID[one.id]
	switch {
	case len(met) == 0 && rules.cutAt(one)-one.sent <= rules.lossSlack,
		slices.ContainsFunc(met, func(met *arrival) bool { return met.brokeOff }),
		rules.hadNoTime(one), rules.failedUnplanned(one), rules.outlastedStop(one, met):
		rules.judged["LOST, excused"]++
		return
	}
	rules.fail("LOST: %s", rules.describe(one))
}

// cutAt is when an attempt's connection ended: what was killed by then does nothing more, however long its end takes.
func (rules *requestRules) cutAt(one *attempt) time.Duration {
	for _, end := range rules.ends {
		if end.machine == one.machine && end.life == one.life && end.killed > 0 {
			return min(one.ended, end.killed)
		}
	}
	return one.ended
}

// timerSlack is how much earlier than its deadline an answer may be seen to end.
const timerSlack = 50 * time.Millisecond

// hadNoTime tells whether the deadline or the route's timeout was reached.
func (rules *requestRules) hadNoTime(one *attempt) bool {
	limit := one.left
	for _, route := range rules.routes(one) {
		limit = min(limit, time.Duration(route.Timeout)*time.Millisecond)
	}
	return one.ended-one.began >= limit-timerSlack && one.ended-one.began < one.left+answerSlack
}

// failedUnplanned tells whether something unplanned happened to the machine while it had the request.
func (rules *requestRules) failedUnplanned(one *attempt) bool {
	return slices.ContainsFunc(rules.disturbances, func(other *disturbance) bool {
		return !other.isPlanned && other.machine == one.machine && other.overlaps(span{one.began, one.ended})
	})
}

// lastRead is how long after SIGTERM a request may have been sent that ends with the grace while its replica is at work.
const lastRead = 3 * time.Second

// outlastedStop tells whether a replica was still at work in the last sixth of the grace, for a request that was sent no
// later than lastRead after SIGTERM.
func (rules *requestRules) outlastedStop(one *attempt, met []*arrival) bool {
	return slices.ContainsFunc(rules.ends, func(end processEnd) bool {
		last := end.told + rules.grace - rules.grace/6
		return end.machine == one.machine && end.life == one.life && end.told > 0 && one.ended >= last && one.sent <= end.told+lastRead &&
			slices.ContainsFunc(met, func(met *arrival) bool { return met.hasRun && (met.ended == 0 || met.ended >= last) })
	})
}

// checkArrival: replicas get requests that clients sent, as they were sent, in regions that a route allows.
func (rules *requestRules) checkArrival(one *arrival) {
	rules.judged["UNASKED"]++
	sent := rules.sentBy[one.id]
	if sent == nil {
		rules.fail("UNASKED: %s got %q of nobody at %.3f", one.replica, one.request, one.at.Seconds())
		return
	}
	if sent.request != one.request {
		rules.fail("UNASKED: %s got %q: %s", one.replica, one.request, rules.describe(sent))
	}
	if one.isOther {
		return
	}
	isHome := slices.ContainsFunc(rules.routes(sent), func(route route) bool {
		return len(route.Homes) == 0 || slices.Contains(route.Homes, one.region)
	})
	if !isHome {
		rules.fail("HOME: %s in %s: %s", one.replica, one.region, rules.describe(sent))
	}
}

// checkRuns: what may not be repeated runs once.
func (rules *requestRules) checkRuns() {
	for id, met := range rules.byID {
		runs := 0
		for _, one := range met {
			if one.hasRun {
				runs++
			}
		}
		rules.judged["TWICE"]++
		sent := rules.sentBy[id]
		if runs > 1 && sent != nil && !slices.ContainsFunc(rules.routes(sent), func(route route) bool { return route.mayRepeat() }) {
			rules.fail("TWICE: %s", rules.describe(sent))
		}
	}
}

// sentThrough gives the outcome whose machine must be in touch for an arrival to be judged.
func (rules *requestRules) sentThrough(one *arrival) (outcome, bool) {
	sent := rules.sentBy[one.id]
	if sent == nil || one.isOther {
		return outcome{}, false
	}
	return outcome{machine: sent.machine, life: sent.life, sent: sent.began, answered: one.at, arrived: one.at}, true
}

// checkDrain: no machine in touch sends to a replica later than the bound after it was listed as leaving.
func (rules *requestRules) checkDrain(one *arrival) {
	left, isLeaving := rules.left[one.replica]
	through, isSent := rules.sentThrough(one)
	if !isLeaving || !isSent {
		return
	}
	rules.judged["DRAIN"]++
	late := one.at - left - rules.drain
	if late <= 0 {
		return
	}
	for _, outage := range rules.outages {
		if outage.overlaps(span{left, one.at}) {
			return
		}
	}
	if more, isBound := rules.lateness(through, left); isBound && more == 0 {
		rules.fail("DRAIN: %s got a request %v later than the bound: %s", one.replica, late, rules.describe(rules.sentBy[one.id]))
	}
}

// checkEvacuated: no machine in touch sends to a zone later than the bound after its evacuation was acknowledged.
func (rules *requestRules) checkEvacuated(one *arrival) {
	through, isSent := rules.sentThrough(one)
	if !isSent {
		return
	}
	for _, order := range rules.evacuations {
		isOver := order.takeBack > 0 && one.at >= order.takeBack
		if order.zone != one.zone || order.acknowledged == 0 || one.at < order.acknowledged || isOver {
			continue
		}
		rules.judged["EVAC"]++
		more, isBound := rules.lateness(through, order.acknowledged)
		if late := one.at - order.acknowledged - rules.evacuate - more; isBound && late > 0 {
			rules.fail("EVAC: %s in %s got a request %v later than the bound: %s", one.replica, one.zone, late, rules.describe(rules.sentBy[one.id]))
		}
	}
}

// slidingMost gives the most times that lie within a window, and when that ends. The times are sorted.
func slidingMost(times []time.Duration, window time.Duration) (most int, at time.Duration) {
	first := 0
	for index, last := range times {
		for times[first] <= last-window {
			first++
		}
		if count := index - first + 1; count > most {
			most, at = count, last
		}
	}
	return most, at
}

// within counts the times in (from, to]. The times are sorted.
func within(times []time.Duration, from, to time.Duration) int {
	low, _ := slices.BinarySearch(times, from+1)
	high, _ := slices.BinarySearch(times, to+1)
	return high - low
}

// checkRepeats: arrivals beyond the first of each request stay within the share that all daemons have together.
func (rules *requestRules) checkRepeats() {
	repeats, asked := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, met := range rules.byID {
		for _, one := range met[1:] {
			repeats[one.service] = append(repeats[one.service], one.at)
		}
	}
	for _, one := range rules.attempts {
		seen := map[string]bool{}
		for _, route := range rules.routes(one) {
			for _, service := range route.services() {
				if !seen[service] {
					seen[service] = true
					asked[service] = append(asked[service], one.began)
				}
			}
		}
	}
	for service, times := range repeats {
		slices.Sort(times)
		slices.Sort(asked[service])
		for _, at := range times {
			rules.judged["BUDGET"]++
			count := within(times, at-rules.retryWindow, at)
			demand := 0
			for _, shift := range []time.Duration{0, rules.retryWindow / 2, rules.retryWindow} {
				demand = max(demand, within(asked[service], at-shift-rules.retryWindow, at-shift))
			}
			if bound := rules.retryRatio*float64(demand) + rules.retrySlack; float64(count) > bound {
				rules.fail("BUDGET: %s got %d repeats in the window that ends at %.3f, bound %.0f", service, count, at.Seconds(), bound)
				break
			}
		}
	}
}

// checkCold: a cold replica gets no more requests in a second than it bears, of all machines together.
func (rules *requestRules) checkCold() {
	cold := map[string][]time.Duration{}
	for _, one := range rules.arrivals {
		if one.at < one.warmAt && !one.isOther {
			cold[one.replica] = append(cold[one.replica], one.at)
		}
	}
	bound := rules.coldPerSecond*rules.coldExcess + rules.coldSlack
	for replica, times := range cold {
		slices.Sort(times)
		rules.judged["FAILBACK"] += len(times)
		if most, at := slidingMost(times, time.Second); float64(most) > bound {
			rules.fail("FAILBACK: %s was cold and got %d requests in the second that ends at %.3f, bound %.0f", replica, most, at.Seconds(), bound)
		}
	}
}

// deniedBase and deniedShare are how many proper requests may be ended with a 3xx or 4xx of our own.
const (
	deniedBase  = 5
	deniedShare = 0.002
)

// checkDenied: proper requests are not ended with a 3xx or 4xx of our own.
func (rules *requestRules) checkDenied() {
	denied, example := 0, ""
	for _, one := range rules.attempts {
		isPromise := slices.Contains([]int{408, 421, 429}, one.status)
		// What a 404 says of the configuration is held to the rules on that.
		if one.err == nil && one.postmark == "" && one.status >= 300 && one.status < 500 && one.status != 404 && !isPromise {
			denied++
			example = rules.describe(one)
		}
	}
	rules.judged["DENIED"] += len(rules.attempts)
	if float64(denied) > deniedBase+deniedShare*float64(len(rules.attempts)) {
		rules.fail("DENIED: %d proper requests, such as %s", denied, example)
	}
}

// The rule on time-outs binds from so many requests on that were unanswered at their route's, and asks that half of them
// are answered so soon after it.
const (
	leastOverTimeout = 8
	overTimeoutSlack = 500 * time.Millisecond
	overTimeoutPart  = 0.5
)

// checkTimeouts: requests that are unanswered at their route's time-out get their answer soon after it.
func (rules *requestRules) checkTimeouts() {
	over, late, example := 0, 0, ""
	for _, one := range rules.attempts {
		routes := rules.routes(one)
		if one.sent == 0 || len(routes) == 0 || one.ended > rules.over {
			continue
		}
		timeout := time.Duration(slices.MaxFunc(routes, func(a, b route) int { return a.Timeout - b.Timeout }).Timeout) * time.Millisecond
		if timeout >= one.left || one.ended-one.sent <= timeout {
			continue
		}
		through := outcome{machine: one.machine, life: one.life, sent: one.began, answered: one.ended}
		if _, isBound := rules.lateness(through, one.began); !isBound {
			continue
		}
		over++
		if one.ended-one.sent > timeout+overTimeoutSlack {
			late++
			example = rules.describe(one)
		}
	}
	rules.judged["CONFIG, over the time-out"] += over
	if over >= leastOverTimeout && float64(late) > overTimeoutPart*float64(over) {
		rules.fail("CONFIG: %d of %d requests that were unanswered at their time-out had no answer %v later, such as %s", late, over, overTimeoutSlack, example)
	}
}
