package controlplane

import (
	"sort"
	"time"

	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/replica"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/verdict"
)

// watchedReplica is a replica as this daemon's probes have seen it.
type watchedReplica struct {
	listing.Listed
	health replica.Vitals
	probed bool
	// answeredAt is when a probe was last answered; before the first answer, when
	// the replica came into the table.
	answeredAt time.Duration
	// isDark tells that a probe has found it unanswered for dark_ms.
	isDark   bool
	leaving  bool
	unlisted bool
	// hasEnded tells that another one answered at its address, so that its life is over,
	// whatever the list still shows; a later answer of its own would take that back.
	hasEnded bool
	// wasHealthy tells whether it ever answered that it is well. condemned is until when it
	// is out, as it says that it is ill and what daemons sent it bears that out.
	wasHealthy    bool
	excludedUntil time.Duration
	// coldUntil is until when it is cold, as far as list and probes have told.
	coldUntil time.Duration
}

// engine is what the tree says of the replica's kind; nil where probes tell all.
func (watched *watchedReplica) engine(tree *settings.Tree) *settings.Engine {
	if watched.Model == "" {
		return nil
	}
	return tree.Engine(watched.Model)
}

// boot is the life that a standing shows: what its probes told, or, where they tell nothing
// of that, the name under which the platform lists it.
func (watched *watchedReplica) boot(tree *settings.Tree) string {
	if watched.health.Boot == "" && watched.engine(tree) != nil {
		return watched.ID
	}
	return watched.health.Boot
}

// probeAll asks every replica in the table.
func (region *region) probeAll(_ uint64, tree *settings.Tree) {
	hasJustRestarted := region.hasJustRestarted()
	// Those that did not answer yet are asked more often.
	region.probeSelected(tree, func(watched *watchedReplica) bool { return !hasJustRestarted || !watched.probed })
}

// probeSelected probes those of the table that are to be asked. The first answer of one is a reason to
// compute the standing at once.
func (region *region) probeSelected(tree *settings.Tree, isSelected func(watched *watchedReplica) bool) {
	// The rows themselves are touched under the guard alone: the list may change them
	// meanwhile.
	type target struct {
		*watchedReplica
		id, address string
		engine      *settings.Engine
	}
	region.mu.Lock()
	var targets []target
	for id, watched := range region.replicas {
		if isSelected(watched) {
			targets = append(targets, target{watched, id, watched.Address, watched.engine(tree)})
		}
	}
	region.mu.Unlock()
	sort.Slice(targets, func(a, b int) bool { return targets[a].id < targets[b].id })
	timeout := tree.Span("dark_ms", region.name) / 2
	outcomes := region.recentOutcomes()
	for _, watched := range targets {
		region.World.Go(func() {
			sentAt := region.World.Now()
			var health replica.Vitals
			var err error
			if watched.engine != nil && region.Dialect != nil {
				health, err = region.Dialect.Probe(replica.Target{ID: watched.id, Address: watched.address, Path: watched.engine.ProbePath}, timeout)
			} else {
				health, err = region.Replicas.Probe(watched.address, timeout)
			}
			region.mu.Lock()
			defer region.mu.Unlock()
			if failure, isFailure := err.(*verdict.Mishap); isFailure && failure.Code == replica.AnewCode && !watched.hasEnded {
				// Else each data daemon would find out by a request of its own.
				watched.hasEnded = true
				region.announceEnded(permit.Leaver{Replica: watched.id, Boot: watched.boot(tree)})
				region.computeWaker.Wake()
			}
			if err != nil && watched.probed && !watched.isDark && region.World.Now()-watched.answeredAt >= tree.Span("dark_ms", region.name) {
				// Data daemons send it requests until a standing without it reaches them.
				watched.isDark = true
				region.computeWaker.Wake()
			}
			if err != nil || sentAt < watched.answeredAt {
				return
			}
			watched.isDark = false
			watched.hasEnded = false
			if health.Ill && !watched.wasHealthy && outcomes[watched.id].OK == 0 {
				return // it is not there yet
			}
			watched.wasHealthy = watched.wasHealthy || !health.Ill
			if !health.Ill {
				watched.excludedUntil = 0
			}
			if health.Boot != watched.health.Boot {
				watched.leaving = watched.Leaving
			}
			if !watched.probed {
				region.computeWaker.Wake()
			}
			watched.health, watched.probed, watched.answeredAt = health, true, sentAt
			watched.coldUntil = max(watched.coldUntil, sentAt+health.Cold)
			watched.leaving = watched.leaving || health.Leaving
		})
	}
}

// endedBatchDelay is how long lives that are over are gathered before they are told: where a zone's
// machines come back, there are many.
const endedBatchDelay = 30 * time.Millisecond

// announceEnded tells data daemons soon that a life is over, before a standing is written without it.
// Who holds the guard calls it.
func (region *region) announceEnded(boot permit.Leaver) {
	if region.endedBoots = append(region.endedBoots, boot); len(region.endedBoots) > 1 {
		return // it goes with the others
	}
	region.World.Go(func() {
		loop.Sleep(region.World, endedBatchDelay)
		region.mu.Lock()
		boots := region.endedBoots
		region.endedBoots = nil
		region.mu.Unlock()
		region.notifyLeaving(boots, 0)
	})
}

// recentOutcomes are what data daemons report of their latest requests, by replica.
func (region *region) recentOutcomes() map[string]standing.Outcome {
	out := map[string]standing.Outcome{}
	for _, dataDaemon := range region.Table.Live(session.Data) {
		for _, list := range [][]standing.Outcome{dataDaemon.Report.Recent, dataDaemon.Report.Near} {
			for _, outcome := range list {
				sum := out[outcome.Replica]
				sum.Add(outcome)
				out[outcome.Replica] = sum
			}
		}
	}
	return out
}

// exclusionPeriod is how long a replica is out that says that it is ill, and fails.
const exclusionPeriod = 10 * time.Second

// isExcluded tells whether a replica that says that it is ill gets no requests. Its own word
// is not enough: it is out while most of what daemons sent it of late failed. Whoever
// leaves says the same and is marked in the list soon after.
func (watched *watchedReplica) isExcluded(outcome standing.Outcome, now time.Duration) bool {
	if !watched.health.Ill {
		return false
	}
	if outcome.Mishaps+outcome.Unreached > outcome.OK {
		watched.excludedUntil = now + exclusionPeriod
	}
	return now < watched.excludedUntil
}
