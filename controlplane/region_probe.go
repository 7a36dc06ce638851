package controlplane

import (
	"sort"
	"time"

	"swifttiller/lease"
	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/replica"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/verdict"
)

// watchedReplica is a replica's state by the platform's list and this daemon's health checks.
type watchedReplica struct {
	listing.Instance
	health replica.Health
	probed bool
	// answeredAt is when the last answered health check was sent; before the first answer, when
	// the replica was added.
	answeredAt time.Duration
	// isDark tells that a failed health check found the last answer to be dark_ms old.
	isDark   bool
	leaving  bool
	unlisted bool
	// hasEnded tells that another replica answered at its address, so that this one has ended
	// even if it is still listed. A later answer of its own resets it.
	hasEnded bool
	// wasHealthy tells whether it ever reported to be healthy. excludedUntil is until when it
	// gets no requests, because it reports to be unhealthy and requests to it fail.
	wasHealthy    bool
	excludedUntil time.Duration
	// coldUntil is until when it is cold according to the list and the health checks.
	coldUntil time.Duration
}

// engine gives the engine settings of the replica's model; nil if health checks report everything.
func (watched *watchedReplica) engine(tree *settings.Tree) *settings.Engine {
	if watched.Model == "" {
		return nil
	}
	return tree.Engine(watched.Model)
}

// boot is the replica's incarnation in the routing table: the one that its health checks report
// or, for an engine that reports none, its id in the platform's list.
func (watched *watchedReplica) boot(tree *settings.Tree) string {
	if watched.health.Boot == "" && watched.engine(tree) != nil {
		return watched.ID
	}
	return watched.health.Boot
}

// probeAll sends a health check to every replica.
func (region *region) probeAll(_ uint64, tree *settings.Tree) {
	hasJustRestarted := region.hasJustRestarted()
	// Right after a restart the loop runs more often, for those that have not answered yet.
	region.probeSelected(tree, func(watched *watchedReplica) bool { return !hasJustRestarted || !watched.probed })
}

// probeSelected sends health checks to the selected replicas. A replica's first answer triggers
// a computation of the routing table at once.
func (region *region) probeSelected(tree *settings.Tree, isSelected func(watched *watchedReplica) bool) {
	// The replicas' fields are accessed only under the lock, as a list may change them during
	// the health checks; so what is needed of them is copied.
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
	timeout := tree.Duration("dark_ms", region.name) / 2
	outcomes := region.recentOutcomes()
	for _, watched := range targets {
		region.World.Go(func() {
			sentAt := region.World.Now()
			var health replica.Health
			var err error
			if watched.engine != nil && region.Dialect != nil {
				health, err = region.Dialect.Probe(replica.Target{ID: watched.id, Address: watched.address, Path: watched.engine.ProbePath}, timeout)
			} else {
				health, err = region.Replicas.Probe(watched.address, timeout)
			}
			region.mu.Lock()
			defer region.mu.Unlock()
			if failure, isFailure := err.(*verdict.Error); isFailure && failure.Code == replica.RestartedCode && !watched.hasEnded {
				// Otherwise each data daemon would lose a request to find out.
				watched.hasEnded = true
				region.announceEnded(lease.DepartingReplica{Replica: watched.id, Boot: watched.boot(tree)})
				region.computeWaker.Wake()
			}
			if err != nil && watched.probed && !watched.isDark && region.World.Now()-watched.answeredAt >= tree.Duration("dark_ms", region.name) {
				// Data daemons send it requests until they have a routing table without it.
				watched.isDark = true
				region.computeWaker.Wake()
			}
			if err != nil || sentAt < watched.answeredAt {
				return
			}
			watched.isDark = false
			watched.hasEnded = false
			if health.Unhealthy && !watched.wasHealthy && outcomes[watched.id].OK == 0 {
				return // it is still starting
			}
			watched.wasHealthy = watched.wasHealthy || !health.Unhealthy
			if !health.Unhealthy {
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

// endedBatchDelay is how long ended incarnations are collected into one notice: when a whole
// zone's machines come back, there are many.
const endedBatchDelay = 30 * time.Millisecond

// announceEnded notifies data daemons within endedBatchDelay that a replica's incarnation has
// ended, ahead of the routing table without it. The caller holds the lock.
func (region *region) announceEnded(incarnation lease.DepartingReplica) {
	if region.endedReplicas = append(region.endedReplicas, incarnation); len(region.endedReplicas) > 1 {
		return // the pending notice includes it
	}
	region.World.Go(func() {
		loop.Sleep(region.World, endedBatchDelay)
		region.mu.Lock()
		incarnations := region.endedReplicas
		region.endedReplicas = nil
		region.mu.Unlock()
		region.notifyLeaving(incarnations, 0)
	})
}

// recentOutcomes sums up, by replica, the outcomes of recent requests that data daemons report.
func (region *region) recentOutcomes() map[string]routing.Outcome {
	out := map[string]routing.Outcome{}
	for _, dataDaemon := range region.Sessions.Live(session.Data) {
		for _, list := range [][]routing.Outcome{dataDaemon.Report.Recent, dataDaemon.Report.Near} {
			for _, outcome := range list {
				sum := out[outcome.Replica]
				sum.Add(outcome)
				out[outcome.Replica] = sum
			}
		}
	}
	return out
}

// exclusionPeriod is how long a replica gets no requests after it reported to be unhealthy while
// most requests to it failed.
const exclusionPeriod = 10 * time.Second

// isExcluded tells whether a replica gets no requests because it is unhealthy. Its own report is
// not enough, as a replica that is leaving reports the same and is marked in the list soon after:
// most of the recent requests to it must have failed too.
func (watched *watchedReplica) isExcluded(outcome routing.Outcome, now time.Duration) bool {
	if !watched.health.Unhealthy {
		return false
	}
	if outcome.Mishaps+outcome.Unreached > outcome.OK {
		watched.excludedUntil = now + exclusionPeriod
	}
	return now < watched.excludedUntil
}
