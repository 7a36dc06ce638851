package decide

import (
	"time"

	"swifttiller/lease"
	"swifttiller/replica"
	"swifttiller/routing"
	"swifttiller/verdict"
)

// Ends of attempts, of calls with tickets and of routed requests.

// countSelection counts a selection that is about to be returned.
func (decider *Decider) countSelection(view *lease.View, selection *Selection) {
	decider.addUse(selection, 1)
	decider.counts.Attempts++
	selection.startedAt = decider.World.Now()
	decider.accrue(view, selection)
	decider.countTakeover(view, selection)
	decider.trialMonitor.waiting[selection] = selection.startedAt
	if selection.Trial {
		decider.counts.Trials++
	}
	if selection.Spill {
		decider.counts.Spilled++
	}
	if selection.Affine {
		decider.counts.Affine++
	}
}

func (decider *Decider) addUse(selection *Selection, sign int) {
	used := decider.uses[selection.Replica]
	if used == nil {
		used = &usage{rows: map[routing.ReplicaVersion]int{}}
		decider.uses[selection.Replica] = used
	}
	held := routing.ReplicaVersion{Replica: selection.Replica, Model: selection.call.Model, Version: selection.Version}
	used.units += sign * selection.Cost
	used.rows[held] += sign
	if used.rows[held] == 0 {
		delete(used.rows, held)
	}
	if used.units == 0 && len(used.rows) == 0 {
		delete(decider.uses, selection.Replica)
	}
}

// Release returns a selection with its outcome. first is the time to the first token, 0 if
// there was none.
func (decider *Decider) Release(selection *Selection, failure *verdict.Error, first time.Duration) {
	now := decider.World.Now()
	outcome := routing.Outcome{Replica: selection.Replica, Model: selection.call.Model, Version: selection.Version, Kind: selection.call.Kind, Boot: selection.Boot}
	decider.mu.Lock()
	defer decider.mu.Unlock()
	switch {
	case failure == nil:
		outcome.OK, outcome.Least = 1, first
		if first > selection.Allowance+decider.lateBound(selection) {
			outcome.Late = 1
		}
		if decider.isSlow(selection, first-selection.Allowance) {
			outcome.Slow = 1
		}
	case failure.Code == "caller_gone" && !decider.isLate(selection, now) || failure.Code == "no_permit" || failure.Code == "moved_on" || failure.Code == "replica_rejected":
		// No evidence about the replica.
	case failure.Code == replica.RestartedCode:
		decider.endedBoots[selection.Replica] = selection.Boot
	case failure.Code == "replica_unreached":
		outcome.Unreached = 1
	case failure.Code == "replica_declined":
		// Only a rejection with a delay comes from the replica itself; a 503 may have other
		// causes.
		if failure.ComeBack > 0 {
			outcome.Full = 1
		}
	default:
		outcome.Mishaps = 1
	}
	if failure != nil && failure.Verdict == verdict.NotRun {
		decider.refund(decider.View(), selection)
	}
	delete(decider.trialMonitor.waiting, selection)
	if outcome.OK > 0 {
		decider.learnSpan(selection, now-selection.startedAt)
	}
	if outcome.OK > 0 && outcome.Late == 0 && !(selection.Trial && outcome.Slow > 0) {
		decider.learnUsual(selection, max(0, first-selection.Allowance))
	}
	decider.addUse(selection, -1)
	if decider.isDrained(selection) || outcome.Mishaps+outcome.Late > 0 && decider.isMovingTo(selection) {
		decider.reportNow()
	}
	decider.flow(decider.released, selection.call.Model).add(now, float64(selection.Cost))
	if outcome.Full > 0 {
		// It gets nothing for a tick, after which the routing table shows it as full too.
		if view := decider.View(); view.Tree != nil {
			decider.fullUntil[selection.Replica] = now + routing.RecomputeInterval(view.Tree.Duration("permit_ms", ""))
		}
	}
	if failure != nil && (failure.Code == "replica_unreached" || failure.Code == "replica_cut" || failure.Code == "cut") {
		if view := decider.View(); view.Tree != nil {
			decider.suspects[selection.Replica] = suspect{now + view.Tree.Duration("dark_ms", decider.Self.Zone) + view.Tree.Duration("permit_ms", "")/2, selection.Region}
		}
	}
	decider.window.add(now, outcome, selection.Region)
	for _, waiting := range decider.queue {
		waiting.mailbox.Put(nil)
	}
}

// learnSpan adds the time of a whole answer to the estimate of its kind.
func (decider *Decider) learnSpan(selection *Selection, span time.Duration) {
	key := selection.call.Model + "/" + selection.call.Kind
	if decider.trialMonitor.spans[key] == nil {
		decider.trialMonitor.spans[key] = &spanEstimate{}
	}
	decider.trialMonitor.spans[key].learn(span)
}

// reportNow asks for a report at once.
func (decider *Decider) reportNow() {
	if decider.ReportNow != nil {
		decider.ReportNow()
	}
}

// Redispatch reports whether an attempt that did not run may be repeated; that uses a retry
// from the budget.
func (decider *Decider) Redispatch() bool {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	view := decider.View()
	if view.Tree == nil || !decider.takeRetry(view, &decider.budget) {
		return false
	}
	decider.counts.Redispatches++
	return true
}
