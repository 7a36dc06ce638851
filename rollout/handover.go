package rollout

import (
	"slices"
	"time"

	"swifttiller/routing"
	"swifttiller/workflow"
)

// The move of a timed roll-out. Once all regions have passed the trial, the routes say when the old
// replicas may stop, which is shortly before the duration is over. Data daemons move each kind of
// requests at the moment from which on its streams would outlast that, and no earlier than the
// version's share allows. The run then looks at the outcomes once more and completes the order.

// Parts of the time before the end of the duration from which on the old replicas may stop: for the
// data daemons' reports that nothing runs there any more, and for the last writes, which the
// regions make to one register.
const (
	reportLead       = 600 * time.Millisecond
	leadWrites       = 3
	maxFinishDivisor = 16 // of the duration
)

// finishLead returns how long before the end of the duration the old replicas may stop.
func (runner *Runner) finishLead(contents Contents) time.Duration {
	return min(reportLead+leadWrites*runner.lastWrite, contents.Over/maxFinishDivisor)
}

// scheduled returns the handover of the order once its routes have moved, or nil if the traffic is
// at the version already.
func (order *Order) scheduled(lead time.Duration) *routing.Handover {
	if order.Proved {
		return nil
	}
	return &routing.Handover{Run: order.ID, Version: order.Version, Over: order.Over, IsScheduled: true, Lead: lead}
}

// awaitDrained waits, after the move, until every data daemon uses the new route, the old replicas
// may stop, and nothing runs on them.
func (runner *Runner) awaitDrained(scene RegionView, log *workflow.Log, contents Contents, lead time.Duration) error {
	if !runner.isApplied(scene, log, contents) {
		return runner.wait(pollDelay(scene))
	}
	if elapsed := runner.elapsed(log, contents); !contents.Proved && elapsed < contents.Over-lead {
		return runner.wait(contents.Over - lead - elapsed)
	}
	if runner.waited(waitKey(log, contents, "drain")) > contents.fraction(maxDrainShare) {
		return nil
	}
	if !scene.knowsAllDaemons() || !contents.Proved && !hasMovedEverywhere(scene, contents) || hasOldStreams(scene, contents) {
		return runner.wait(0) // the time left is short
	}
	return nil
}

// hasMovedEverywhere reports whether no data daemon sends requests to other versions any more.
func hasMovedEverywhere(scene RegionView, contents Contents) bool {
	moved := routing.ReplicaVersion{Model: contents.Model, Version: contents.Version}
	return !slices.ContainsFunc(scene.Daemons, func(daemon routing.Daemon) bool { return !slices.Contains(daemon.Report.Moved, moved) })
}

// isApplied reports whether every data daemon uses a routing table with the new route.
func (runner *Runner) isApplied(scene RegionView, log *workflow.Log, contents Contents) bool {
	key := waitKey(log, contents, "shown")
	if _, isKnown := runner.movedSerial[key]; !isKnown && tableMoved(scene, contents) {
		runner.movedSerial[key] = scene.RoutingTable.Serial
	}
	serial, isShown := runner.movedSerial[key]
	if !isShown {
		return false
	}
	isEverywhere := scene.knowsAllDaemons()
	for _, daemon := range scene.Daemons {
		isEverywhere = isEverywhere && daemon.Report.Standing[scene.Region] >= serial
	}
	lease := scene.Tree.Duration("permit_ms", "")
	return isEverywhere || runner.waited(key) > lease+lease/4 // all leases on older routing tables have expired
}

// tableMoved reports whether the region's routing table shows the new route.
func tableMoved(scene RegionView, contents Contents) bool {
	if scene.RoutingTable == nil {
		return false
	}
	for _, row := range scene.RoutingTable.Rows {
		if row.Model == contents.Model && (row.Trial || row.Version != contents.Version && !row.Back) {
			return false
		}
	}
	return true
}

// hasOldStreams reports whether a stream is running on replicas of other versions in
// the region.
func hasOldStreams(scene RegionView, contents Contents) bool {
	for _, daemon := range scene.Daemons {
		for held, count := range daemon.Report.Streams {
			if held.Model == contents.Model && held.Version != contents.Version && count > 0 && isInRegion(scene, held.Replica) {
				return true
			}
		}
	}
	return false
}
