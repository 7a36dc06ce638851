package controlplane

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// compareRounds is every how many turns of the core's reconciler, six of which are a session's
// span, its holder compares the acceptors' copies.
const compareRounds = 12

// absenceTracker remembers since when acceptors of the core have lacked copies, or have not been
// heard, as far as this daemon has seen.
//
// Invariant: since has exactly the acceptors that lacked something the last time, each with the
// first of the times in a row.
type absenceTracker struct {
	mu    sync.Mutex
	since map[string]time.Duration
}

// update notes who lacks something now.
func (tracker *absenceTracker) update(now time.Duration, ids []string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.since == nil {
		tracker.since = map[string]time.Duration{}
	}
	maps.DeleteFunc(tracker.since, func(id string, _ time.Duration) bool { return !slices.Contains(ids, id) })
	for _, id := range ids {
		if _, isKnown := tracker.since[id]; !isKnown {
			tracker.since[id] = now
		}
	}
}

// addTo puts into the ages for how long each has lacked something, where that is longer.
func (tracker *absenceTracker) addTo(ages map[string]time.Duration, now time.Duration) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for id, since := range tracker.since {
		ages[id] = max(ages[id], now-since)
	}
}

// compareCopies notes which acceptors lack copies now; the holder of the core's duty does it.
func (daemon *Daemon) compareCopies() {
	redundancy := computeRedundancy(daemon.Core(), daemon.Compare())
	daemon.behind.update(daemon.World.Now(), redundancy.lacking())
}

// lacking tells for how long acceptors have lacked copies or have not been heard, as far as
// this daemon has seen.
func (daemon *Daemon) lacking() map[string]time.Duration {
	ages := map[string]time.Duration{}
	now := daemon.World.Now()
	daemon.behind.addTo(ages, now)
	daemon.silent.addTo(ages, now)
	return ages
}

// lackingFor gives, for each acceptor that lacks something now, the longest time that any
// daemon has seen it so.
func (redundancy Redundancy) lackingFor(locals map[string]Local) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for _, id := range redundancy.lacking() {
		for _, local := range locals {
			ages[id] = max(ages[id], local.Lacking[id])
		}
	}
	return ages
}
