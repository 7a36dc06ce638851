package controlplane

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// compareRounds is the number of rounds of the membership reconciler, 6 of which are a session
// timeout, between two comparisons of the acceptors' copies by the leader of the core.
const compareRounds = 12

// absenceTracker records since when acceptors of the core have been behind or silent, as far as
// this daemon has observed.
//
// Invariant: since has exactly the acceptors of the last update, each with the time of the first
// of its consecutive updates.
type absenceTracker struct {
	mu    sync.Mutex
	since map[string]time.Duration
}

// update replaces the set of affected acceptors, keeping the times of those that it had already.
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

// addTo raises each acceptor's age to the time for which it has been affected.
func (tracker *absenceTracker) addTo(ages map[string]time.Duration, now time.Duration) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for id, since := range tracker.since {
		ages[id] = max(ages[id], now-since)
	}
}

// compareCopies records which acceptors are behind or silent. Only the leader of the core calls it.
func (daemon *Daemon) compareCopies() {
	redundancy := computeRedundancy(daemon.Core(), daemon.CompareDigests())
	daemon.behind.update(daemon.World.Now(), redundancy.lacking())
}

// lacking gives, by acceptor, for how long this daemon has observed it to be behind or silent.
func (daemon *Daemon) lacking() map[string]time.Duration {
	ages := map[string]time.Duration{}
	now := daemon.World.Now()
	daemon.behind.addTo(ages, now)
	daemon.silent.addTo(ages, now)
	return ages
}

// lackingFor gives, for each acceptor that is behind or silent now, the longest time for which any
// daemon has observed that.
func (redundancy Redundancy) lackingFor(locals map[string]Local) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for _, id := range redundancy.lacking() {
		for _, local := range locals {
			ages[id] = max(ages[id], local.Lacking[id])
		}
	}
	return ages
}
