package decide

import (
	"maps"
	"math"
	"slices"
	"time"

	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/routing"
	"swifttiller/session"
)

// Timed roll-outs: which requests the new version may get until the duration is over, and when the
// kinds of requests move to it.
//
// The bound on a bad version covers the whole duration, whenever it turns bad, so every version is
// held to it. Each data daemon keeps its own part: rollout_share of its own requests and an equal
// part of rollout_slack. What the daemons have not used by the move decides how early they may move.

// takeover is what a data daemon knows of a model's timed roll-out.
//
// Invariant: a kind moves only if the requests to the version until endsAt then stay within the
// daemon's part of the bound at the present rates, but for chance. It moves back if they do not any
// more, as in a burst. Once isComplete is set, no kind moves back.
type takeover struct {
	run, version string
	// startedAt is when this daemon began to count. endsAt is the end of the duration, and stopsAt is when other
	// versions' replicas may stop; zero until that is scheduled.
	startedAt, endsAt, stopsAt time.Duration
	attempts, given            int // all attempts, and those at the version
	kinds                      []*kindFlow
	// isComplete is set once all kinds have moved and other versions may stop soon.
	isComplete bool
}

// kindFlow is the flow of one kind of requests during a timed roll-out.
type kindFlow struct {
	kind    string
	recent  smoothedRate
	count   int
	isMoved bool
}

// spanEstimate is the usual time of whole answers and their usual deviation from it.
type spanEstimate struct{ mean, deviation time.Duration }

// Weights of a new sample, as in the estimate of round-trip times by TCP (RFC 6298), and how many
// deviations above the mean nearly all answers end.
const (
	spanWeight      = 8
	deviationWeight = 4
	spanDeviations  = 4
)

const (
	// takeoverSlack covers what the daemons know differently of the end of the duration.
	takeoverSlack = 100 * time.Millisecond
	// watchSpan is for how long a kind's requests go to the new version at least before the others
	// may stop, if the bound allows it, so that a version that fails only then is noticed.
	watchSpan = time.Second
	// completeLead is how long before other versions may stop the kinds have moved for good, so that
	// the run knows it by then.
	completeLead = 200 * time.Millisecond
	// expectedLead is how long before the end the others may stop, before that is known.
	expectedLead = 600 * time.Millisecond
	// minTrialShareRatio is the least part of small_share that a trial gets.
	minTrialShareRatio = 0.25
)

// bound is the part of the rollout_share and of the rollout_slack that a decision may use.
type bound struct{ share, slack float64 }

// What is planned for leaves a margin for rates that change.
var (
	plannedBound = bound{0.95, 0.8}
	wholeBound   = bound{1, 1}
)

// learn adds the time of one whole answer.
func (estimate *spanEstimate) learn(span time.Duration) {
	if estimate.mean == 0 {
		estimate.mean, estimate.deviation = span, span/2
		return
	}
	estimate.deviation += ((span - estimate.mean).Abs() - estimate.deviation) / deviationWeight
	estimate.mean += (span - estimate.mean) / spanWeight
}

// upper is a time that nearly all answers take at most.
func (estimate spanEstimate) upper() time.Duration {
	return estimate.mean + spanDeviations*estimate.deviation
}

// refreshTakeovers reads the timed roll-outs from the routing tables of a new view. The earliest
// end that any table gave holds, since tables arrive late and never early.
func (decider *Decider) refreshTakeovers(view *lease.View) {
	monitor, now := &decider.trialMonitor, decider.World.Now()
	shown := map[string]bool{}
	for _, table := range view.RoutingTables {
		for model, handover := range table.Handovers {
			shown[model] = true
			current := monitor.takeovers[model]
			if current == nil || current.run != handover.Run {
				current = &takeover{run: handover.Run, version: handover.Version, startedAt: now, endsAt: now + handover.Over}
				monitor.takeovers[model] = current
			}
			age := handover.Elapsed + view.TableAge(table.Region, now)
			current.endsAt = min(current.endsAt, now+max(0, handover.Over-age))
			if handover.IsScheduled {
				isNew := current.stopsAt == 0
				if current.stopsAt = current.endsAt - handover.Lead; isNew {
					decider.reportAt(current.stopsAt - completeLead)
				}
			}
		}
	}
	for model := range monitor.takeovers {
		if !shown[model] {
			delete(monitor.takeovers, model)
		}
	}
}

// reportAt asks for a report at the given time, from which on kinds have moved for good.
func (decider *Decider) reportAt(at time.Duration) {
	decider.World.Go(func() {
		if loop.Sleep(decider.World, at-decider.World.Now()) {
			decider.reportNow()
		}
	})
}

// flow returns the flow of the kind.
func (takeover *takeover) flow(kind string) *kindFlow {
	for _, flow := range takeover.kinds {
		if flow.kind == kind {
			return flow
		}
	}
	flow := &kindFlow{kind: kind}
	takeover.kinds = append(takeover.kinds, flow)
	return flow
}

// countTakeover counts an attempt during a timed roll-out. An attempt that the replica turned away
// counts too, as it reached the version.
func (decider *Decider) countTakeover(view *lease.View, selection *Selection) {
	decider.refreshTrials(view)
	current := decider.trialMonitor.takeovers[selection.call.Model]
	if current == nil {
		return
	}
	current.attempts++
	flow := current.flow(selection.call.Kind)
	flow.recent.add(decider.World.Now(), 1)
	flow.count++
	if selection.Version == current.version {
		current.given++
	}
}

// burstDeviations is by how many standard deviations the requests of the last seconds exceed the mean in
// a burst.
const burstDeviations = 3

// rateOf returns the rate of a flow per second: the mean since this daemon began to count, or that of
// the last seconds in a burst.
func (takeover *takeover) rateOf(flow *kindFlow, now time.Duration) (rate float64, isBurst bool) {
	mean := float64(flow.count) / max(time.Second, now-takeover.startedAt).Seconds()
	recent := flow.recent.rate(now)
	if recent > mean+burstDeviations*math.Sqrt(mean/smoothingSpan.Seconds()) {
		return recent, true
	}
	return mean, false
}

// rate returns the rate of all attempts per second.
func (takeover *takeover) rate(now time.Duration) (sum float64) {
	for _, flow := range takeover.kinds {
		rate, _ := takeover.rateOf(flow, now)
		sum += rate
	}
	return sum
}

// allowance is how many more requests the version may get from this daemon until the end.
func (decider *Decider) allowance(view *lease.View, current *takeover, now time.Duration, used bound) float64 {
	daemons := 0
	for _, member := range view.Members {
		if member.Role == session.Data && !member.Leaving {
			daemons++
		}
	}
	zone := decider.Self.Zone
	share := used.share * view.Tree.Limit("rollout_share", zone)
	slack := used.slack * view.Tree.Limit("rollout_slack", zone) / float64(max(1, daemons))
	expected := float64(current.attempts) + current.rate(now)*(current.endsAt-now).Seconds()
	return share*expected + slack - float64(current.given)
}

// trialShare is the share of requests that the model's trial may get now: small_share, or less
// where that would leave too little for the time after the move.
func (decider *Decider) trialShare(view *lease.View, model string) float64 {
	small := view.Tree.Limit("small_share", decider.Self.Zone)
	decider.refreshTrials(view)
	current, now := decider.trialMonitor.takeovers[model], decider.World.Now()
	if current == nil {
		return small
	}
	remaining := current.rate(now) * (current.endsAt - now - expectedLead).Seconds()
	if remaining <= 0 {
		return small * minTrialShareRatio
	}
	available := decider.allowance(view, current, now, plannedBound) - decider.reserved(current, model, now)
	return min(small, max(small*minTrialShareRatio, available/remaining))
}

// reserved is how many requests are kept for the time after the move.
func (decider *Decider) reserved(current *takeover, model string, now time.Duration) (requests float64) {
	for _, flow := range current.kinds {
		rate, _ := current.rateOf(flow, now)
		requests += rate * (expectedLead + decider.leadOf(model, flow.kind)).Seconds()
	}
	return requests
}

// leadOf is how long before other versions may stop the kind must move so that its answers there end
// by then.
func (decider *Decider) leadOf(model, kind string) time.Duration {
	if estimate := decider.trialMonitor.spans[model+"/"+kind]; estimate != nil {
		return takeoverSlack + estimate.upper()
	}
	return takeoverSlack
}

// following is how many requests the version gets until the end if the kind moves now, or has moved:
// those of the kinds that have moved, and of the others from when they are due. isBurst tells that
// a kind comes in a burst.
func (decider *Decider) following(current *takeover, model, kind string, now time.Duration) (requests float64, isBurst bool) {
	for _, flow := range current.kinds {
		from := now
		if !flow.isMoved && flow.kind != kind {
			from = max(now, current.stopsAt-decider.leadOf(model, flow.kind))
		}
		rate, isFlowBurst := current.rateOf(flow, now)
		requests += rate * (current.endsAt - from).Seconds()
		isBurst = isBurst || isFlowBurst
	}
	return requests, isBurst
}

// hasMoved reports whether requests of the kind go to the new version of a timed roll-out: from when
// requests that began at other versions could outlast these, or the version is to be watched, as
// soon as all that follows until the end fits into what the version may get. A kind moves back if
// that is not so any more.
func (decider *Decider) hasMoved(view *lease.View, current *takeover, model, kind string) bool {
	now := decider.World.Now()
	dueAt := current.stopsAt - decider.leadOf(model, kind)
	earliest := min(dueAt, current.stopsAt-watchSpan)
	switch {
	case current.isComplete || now >= current.endsAt:
		return true
	case now < earliest:
		return false
	}
	flow := current.flow(kind)
	following, isBurst := decider.following(current, model, kind, now)
	switch {
	case isBurst:
		flow.isMoved = following <= decider.allowance(view, current, now, plannedBound)
	case !flow.isMoved && now < dueAt:
		// Kinds that are due later may come more often by chance.
		flow.isMoved = following+2*math.Sqrt(following) <= decider.allowance(view, current, now, plannedBound)
	case flow.isMoved:
		flow.isMoved = following <= decider.allowance(view, current, now, wholeBound)+math.Sqrt(following)
	default:
		flow.isMoved = following <= decider.allowance(view, current, now, wholeBound)+math.Sqrt(following)/2
	}
	return flow.isMoved
}

// pendingTakeover returns the model's timed roll-out if requests of the kind do not go to its
// version yet although the routes have moved.
func (decider *Decider) pendingTakeover(view *lease.View, call *Call) *takeover {
	decider.refreshTrials(view)
	current := decider.trialMonitor.takeovers[call.Model]
	if current == nil || current.stopsAt == 0 || decider.hasMoved(view, current, call.Model, call.Kind) {
		return nil
	}
	return current
}

// rowFor returns the row as it applies to a call: until the call's kind moves, the new version is
// still on trial, and the others are not in reserve.
func rowFor(row routing.Row, pending *takeover) routing.Row {
	if pending == nil {
		return row
	}
	row.Trial, row.Back = row.Version == pending.version, false
	return row
}

// completes reports whether all kinds of the model's requests have left the other versions for good.
func (decider *Decider) completes(view *lease.View, current *takeover, model string) bool {
	if now := decider.World.Now(); current.isComplete || current.stopsAt == 0 || now < current.stopsAt-completeLead {
		return current.isComplete
	}
	for _, flow := range current.kinds {
		if !decider.hasMoved(view, current, model, flow.kind) {
			return false
		}
	}
	current.isComplete = true
	return true
}

// movedVersions lists the versions of timed roll-outs to which all kinds of requests have moved for
// good.
func (decider *Decider) movedVersions(view *lease.View) (out []routing.ReplicaVersion) {
	decider.refreshTrials(view)
	for _, model := range slices.Sorted(maps.Keys(decider.trialMonitor.takeovers)) {
		if current := decider.trialMonitor.takeovers[model]; decider.completes(view, current, model) {
			out = append(out, routing.ReplicaVersion{Model: model, Version: current.version})
		}
	}
	return out
}

// isMovingTo reports whether the traffic is about to move to the selection's version, so that the run
// needs to know each failure at once.
func (decider *Decider) isMovingTo(selection *Selection) bool {
	current := decider.trialMonitor.takeovers[selection.call.Model]
	return current != nil && current.stopsAt > 0 && selection.Version == current.version
}

// isDrained reports whether the selection was the last one at a version that requests of all kinds
// have left.
func (decider *Decider) isDrained(selection *Selection) bool {
	model := selection.call.Model
	current := decider.trialMonitor.takeovers[model]
	if current == nil || selection.Version == current.version || !decider.completes(decider.View(), current, model) {
		return false
	}
	for _, used := range decider.uses {
		for held, count := range used.rows {
			if held.Model == model && held.Version == selection.Version && count > 0 {
				return false
			}
		}
	}
	return true
}
