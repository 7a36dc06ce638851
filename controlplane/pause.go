package controlplane

import (
	"sync"
	"time"

	"swifttiller/loop"
)

// Bounds of the pause detector.
const (
	// pauseInterval is how often the detector records that the process runs. A gap of minPause
	// counts as a pause; shorter ones occur on a busy machine.
	pauseInterval = 100 * time.Millisecond
	minPause      = 3 * pauseInterval
	// pauseBacklog is for how long after a pause data that is read may have arrived during it.
	// Sockets are normally read at once, but that takes longer on a loaded machine.
	pauseBacklog = 500 * time.Millisecond
)

// pauseDetector detects that this process did not run for a while because its machine was frozen
// or suspended. Data that is read right after that may have waited in a socket for as long.
//
// Invariants: ranAt never decreases and is the last time at which the timer fired; pausedAt is the
// value of ranAt before the last pause, and resumedAt is when that pause was detected to be over.
type pauseDetector struct {
	world               loop.World
	mu                  sync.Mutex
	ranAt               time.Duration
	pausedAt, resumedAt time.Duration
	isRunning           bool
}

// run records at each interval that the process runs, until the daemon stops.
func (detector *pauseDetector) run(isStopped func() bool) {
	loop.Every(detector.world, func() time.Duration { return pauseInterval }, func() bool {
		detector.note()
		return !isStopped()
	})
}

// note records that the process runs now.
func (detector *pauseDetector) note() {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	now := detector.world.Now()
	if detector.isRunning && now-detector.ranAt >= minPause {
		detector.pausedAt, detector.resumedAt = detector.ranAt, now
	}
	detector.ranAt, detector.isRunning = now, true
}

// earliestArrival is the earliest time at which data that is read now may have arrived at this
// machine.
func (detector *pauseDetector) earliestArrival() time.Duration {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	now := detector.world.Now()
	switch {
	case !detector.isRunning:
		return now
	case now-detector.ranAt >= minPause:
		return detector.ranAt // paused: the timer that was set before the pause has not fired yet
	case detector.resumedAt > 0 && now-detector.resumedAt < pauseBacklog:
		return detector.pausedAt
	}
	return now
}
