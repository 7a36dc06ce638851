package execute

import (
	"maps"
	"sync"
	"time"

	"swifttiller/decide"
	"swifttiller/loop"
	"swifttiller/replica"
	"swifttiller/verdict"
)

// hedge is a further attempt of a repeatable request at another replica, made beside one whose
// replica is silent. The first of the two to answer supplies the answer: a silent replica may be at
// work, so its attempt goes on until then.
//
// Invariant: the selection is ended once, by the response if it took the result, else by the hedge.
type hedge struct {
	executor *Executor
	routed   *decide.Routed
	request  replica.RoutedRequest
	avoid    decide.Avoid
	// caller aborts the attempt.
	caller CallerState
	// ended gets a message when the attempt has a result.
	ended loop.Mailbox

	mu          sync.Mutex
	result      *hedgeResult
	isAbandoned bool
}

// hedgeResult is an answer or a failure, and the selection of the replica, nil if none was selected.
type hedgeResult struct {
	selection *decide.Selection
	answer    *replica.Answer
	failure   *verdict.Error
}

// hedgePollInterval is how often the waiting attempt looks for the result of its hedge.
const hedgePollInterval = 10 * time.Millisecond

// startHedge starts a hedge beside the present attempt if another replica may get the request and the
// retry budget allows that.
func (response *Response) startHedge() {
	executor, routed := response.executor, response.routed
	response.avoid[response.selection.Replica] = true
	if !executor.Decider.HasReplica(routed, response.avoid) || !executor.Decider.AllowRetry(routed) {
		return
	}
	response.hedge = &hedge{executor: executor, routed: routed, request: response.request, avoid: maps.Clone(response.avoid), ended: executor.World.Mailbox()}
	response.request.SilenceInterval = hedgePollInterval
	executor.World.Go(response.hedge.run)
}

// run makes the attempt.
func (hedge *hedge) run() {
	selection, failure := hedge.executor.Decider.Route(hedge.routed, hedge.avoid)
	if failure != nil {
		hedge.end(&hedgeResult{failure: failure})
		return
	}
	hedge.executor.address(&hedge.request, hedge.routed, selection)
	hedge.request.OnAbort = hedge.caller.OnAbort
	hedge.request.SilenceInterval, hedge.request.OnSilence = silenceCheckInterval, func(bool) bool {
		hedge.executor.Decider.Suspicion(selection)
		return false
	}
	if hedge.caller.IsDisconnected() {
		hedge.end(&hedgeResult{selection: selection, failure: callerGone(verdict.NotRun, nil)})
		return
	}
	answer, failure := hedge.executor.ProxyClient.Send(&hedge.request)
	hedge.end(&hedgeResult{selection: selection, answer: answer, failure: failure})
}

// end stores the result, or discards it if the hedge was abandoned meanwhile.
func (hedge *hedge) end(result *hedgeResult) {
	hedge.mu.Lock()
	isAbandoned := hedge.isAbandoned
	hedge.result = result
	hedge.mu.Unlock()
	if !isAbandoned {
		hedge.ended.Put(nil)
		return
	}
	if result.failure == nil || result.failure.Verdict != verdict.NotRun {
		result.failure = callerGone(verdict.MayHaveRun, nil) // it was aborted, which shows nothing about its replica
	}
	hedge.discard(result)
}

// hasAnswered reports whether the hedge has an answer.
func (hedge *hedge) hasAnswered() bool {
	hedge.mu.Lock()
	defer hedge.mu.Unlock()
	return hedge.result != nil && hedge.result.failure == nil
}

// await waits for the result, which the response has to handle from then on. If the caller
// disconnects, also later, that aborts the hedge.
func (hedge *hedge) await(leaver *CallerState) *hedgeResult {
	leaver.OnAbort(hedge.caller.Disconnect)
	for {
		hedge.mu.Lock()
		result := hedge.result
		hedge.mu.Unlock()
		if result != nil {
			return result
		}
		if _, isWoken := hedge.ended.Take(loop.Forever); !isWoken {
			hedge.abandon() // the process ends
			return &hedgeResult{failure: &verdict.Error{Verdict: verdict.MayHaveRun, Code: "stopped", Status: 502, Message: "this daemon stopped before the answer began"}}
		}
	}
}

// abandon aborts the hedge and discards its result, now or when it comes. It reports whether a
// replica may have got the request.
func (hedge *hedge) abandon() (mayBeSent bool) {
	hedge.mu.Lock()
	hedge.isAbandoned = true
	result := hedge.result
	hedge.mu.Unlock()
	hedge.caller.Disconnect()
	if result == nil {
		return true
	}
	if result.failure == nil {
		result.failure = callerGone(verdict.MayHaveRun, nil)
	}
	hedge.discard(result)
	return result.selection != nil
}

// discard closes an answer that nobody reads and ends the selection.
func (hedge *hedge) discard(result *hedgeResult) {
	if result.answer != nil {
		result.answer.Close()
	}
	if result.selection != nil {
		hedge.executor.Decider.EndRouted(result.selection, result.failure, 0)
	}
}
