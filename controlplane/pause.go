package controlplane

import (
	"sync"
	"time"

	"swifttiller/loop"
)

// Bounds of the pause detector.
const (
	// pauseInterval is how often the detector notes that the process runs, and pauseLeast is
	// how long it must not have run for that to be a pause, and no busy machine.
	pauseInterval = 100 * time.Millisecond
	minPause      = 3 * pauseInterval
	// pauseBacklog is for how long after a pause what is read may have come during it: the
	// sockets are read at once, and a loaded machine takes longer.
	pauseBacklog = 500 * time.Millisecond
)

// pauseDetector finds out that this process did not run for a while, as its machine was frozen
// or suspended: what it reads right after that may have lain in a socket for as long.
//
// Invariants: ran never falls and is the last time at which the process is known to have run by
// its timer; pausedAt is the value of ran before the last pause, resumed when that was over.
type pauseDetector struct {
	world               loop.World
	mu                  sync.Mutex
	ranAt               time.Duration
	pausedAt, resumedAt time.Duration
	isRunning           bool
}

// run notes at each interval that the process runs, until the daemon stops.
func (detector *pauseDetector) run(isStopped func() bool) {
	loop.Every(detector.world, func() time.Duration { return pauseInterval }, func() bool {
		detector.note()
		return !isStopped()
	})
}

// note notes that the process runs now.
func (detector *pauseDetector) note() {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	now := detector.world.Now()
	if detector.isRunning && now-detector.ranAt >= minPause {
		detector.pausedAt, detector.resumedAt = detector.ranAt, now
	}
	detector.ranAt, detector.isRunning = now, true
}

// earliestArrival is the earliest time at which something that is read now may have arrived at this
// machine.
func (detector *pauseDetector) earliestArrival() time.Duration {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	now := detector.world.Now()
	switch {
	case !detector.isRunning:
		return now
	case now-detector.ranAt >= minPause:
		return detector.ranAt // the timer of before the pause has not run yet
	case detector.resumedAt > 0 && now-detector.resumedAt < pauseBacklog:
		return detector.pausedAt
	}
	return now
}
