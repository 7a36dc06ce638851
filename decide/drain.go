package decide

import (
	"time"

	"swifttiller/verdict"
)

// Drain limits what a stopping daemon admits. Times are on the clock of the world.
type Drain struct {
	// OpenUntil is the time until which every request is admitted. Later, a request is
	// admitted only if its deadline is not after EndsAt: one that is cut when the process ends
	// can't be taken back, and one that is rejected can be sent to another daemon.
	OpenUntil, EndsAt time.Duration
}

// admits reports whether a request that arrives now is admitted. A deadline of zero means
// that the request has none.
func (drain *Drain) admits(now, deadline time.Duration) bool {
	if drain == nil || now <= drain.OpenUntil {
		return true
	}
	return deadline > 0 && deadline <= drain.EndsAt
}

// Drain begins a stop: from now on, requests that the limits exclude are rejected.
func (decider *Decider) Drain(limits Drain) {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	decider.drain = &limits
}

// Stop rejects all new requests; those already admitted go on.
func (decider *Decider) Stop() {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	decider.stopped = true
}

// checkDrain rejects a request that a stopping daemon may not finish. The caller holds mu.
func (decider *Decider) checkDrain(now, deadline, retryAfter time.Duration) *verdict.Error {
	if decider.drain.admits(now, deadline) {
		return nil
	}
	return decider.reject(503, "stopping", "this daemon is shutting down and may not be able to finish this request; try another daemon", retryAfter)
}
