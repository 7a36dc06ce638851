package execute

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"time"

	"github.com/valyala/fasthttp"

	"swifttiller/decide"
	"swifttiller/replica"
	"swifttiller/verdict"
)

// Response is the answer to a routed request, as it is streamed to the caller. Read returns io.EOF
// only after the whole answer; any other error means that the answer was cut off, which must be
// made visible to the caller. Closing it early ends the request at its replica.
//
// Invariants: the head is that of the first replica that answered, whichever replicas continue the
// answer. For an event stream, Read returns the bytes of whole events, each event once and in
// order.
type Response struct {
	replica.Head
	Header *fasthttp.ResponseHeader
	Length int // body length; negative if it is not known in advance

	answer    *replica.Answer
	executor  *Executor
	routed    *decide.Routed
	request   replica.RoutedRequest
	leaver    *CallerState
	selection *decide.Selection
	avoid     decide.Avoid
	record    Record
	// hedge is the attempt beside the present one, nil for none.
	hedge *hedge
	// hasRetry is true if a retry was taken from the budget before the present attempt was given up.
	hasRetry bool
	// mayHaveRun is the latest failure after which the request ran or may have run.
	mayHaveRun *verdict.Error
	// sent counts the replicas to which the request was sent, unreached those that could not be
	// reached.
	sent, unreached int
	// firstAt is the time of the first piece of the answer, on the clock of World; lastAt is that of
	// the latest piece, or of the head of the present answer if no piece followed that.
	firstAt, lastAt time.Duration
	// hasPiece is true once a piece of the present answer came.
	hasPiece bool
	pending  []byte
	err      error // io.EOF or the failure that ended the response
}

// Timeouts, factors and limits of an attempt for a routed request.
const (
	connectTimeout       = 150 * time.Millisecond
	unackedTimeout       = 2 * time.Second
	silenceCheckInterval = 100 * time.Millisecond
	maxUnreached         = 4
	// silentOverdueFactor is by what factor a request must exceed its overdue time at a replica
	// that is silent but not otherwise suspected of failing.
	silentOverdueFactor = 2
	// aliveValidity is how long a replica is assumed to be alive after it was last seen alive.
	aliveValidity = 100 * time.Millisecond
	// rejectedRetryDelay is the delay after which a caller may retry a request that a replica
	// rejected.
	rejectedRetryDelay = 75 * time.Millisecond
	// gapFactor is how many times the longest normal gap between events a resumable stream may stay
	// silent before another replica continues it.
	gapFactor = 3
)

// Proxy sends a routed request to a replica and returns its answer, retrying at other replicas
// while that is allowed. The leaver tells whether the caller has disconnected.
func (executor *Executor) Proxy(routed *decide.Routed, request replica.RoutedRequest, leaver *CallerState) (*Response, *verdict.Error) {
	response := &Response{executor: executor, routed: routed, request: request, leaver: leaver, avoid: decide.Avoid{}}
	response.record = Record{ID: routed.ID, Model: routed.Model, Kind: routed.Route.Name, Began: routed.ReceivedAt, At: executor.World.WallTime()}
	if failure := response.send(); failure != nil {
		response.finish(failure)
		if failure.Verdict == verdict.NotRun {
			executor.Decider.RefundQuota(routed)
		}
		return nil, failure
	}
	return response, nil
}

// send sends the request, or the rest of a resumed one, until a replica has begun to answer.
func (response *Response) send() *verdict.Error {
	executor, routed := response.executor, response.routed
	for {
		selection, failure := executor.Decider.Route(routed, response.avoid)
		if failure != nil {
			return response.result(failure)
		}
		if response.leaver.IsDisconnected() {
			executor.Decider.EndRouted(selection, callerGone(verdict.NotRun, nil), 0)
			return response.result(callerGone(verdict.NotRun, nil))
		}
		response.selection = selection
		executor.address(&response.request, routed, selection)
		response.request.OnAbort = response.leaver.OnAbort
		response.request.SilenceInterval, response.request.OnSilence = silenceCheckInterval, response.silenceCheck(executor.World.Now())
		answer, failure := executor.ProxyClient.Send(&response.request)
		if response.hedge != nil {
			answer, failure = response.settleHedge(answer, failure)
		}
		if failure == nil {
			if isFinal := response.begin(answer); isFinal {
				return nil
			}
			continue
		}
		if final := response.attemptFailed(failure); final != nil {
			return final
		}
	}
}

// result is the failure that the caller gets for the failure of the last attempt: it says that
// nothing ran only if no attempt can have run the request.
func (response *Response) result(failure *verdict.Error) *verdict.Error {
	if failure.Verdict == verdict.NotRun && response.mayHaveRun != nil {
		return response.mayHaveRun
	}
	if (failure.Code == "replica_declined" || failure.Code == replica.RestartedCode) && failure.ComeBack == 0 {
		// A retry by the caller will be routed to another replica.
		withDelay := *failure
		withDelay.ComeBack = rejectedRetryDelay
		return &withDelay
	}
	return failure
}

// address addresses a request to the selected replica.
func (executor *Executor) address(request *replica.RoutedRequest, routed *decide.Routed, selection *decide.Selection) {
	now := executor.World.Now()
	request.Replica, request.Address, request.ID = selection.Replica, selection.Address, routed.ID
	request.Remaining, request.Urgency, request.Version = routed.Deadline-now, routed.Urgency(), ""
	if routed.Tenant != nil {
		request.Tenant = routed.Tenant.Name
	}
	request.NotRepeatable = !routed.Route.Idempotent()
	request.ConnectTimeout, request.UnackedTimeout = connectTimeout, unackedTimeout
	if selection.Spill {
		request.ConnectTimeout *= 3
	}
	// A request that must not be sent twice is lost if the replica has just gone away. A new
	// connection detects that before anything is sent, and costs little within the region. It
	// is also used for another region if the network path there is in doubt.
	request.NewConnection = request.NotRepeatable && (selection.IsRegionProbe || !selection.Spill && now-selection.LastAlive > aliveValidity)
	request.Gate = func() *verdict.Error {
		_, failure := executor.Decider.Gate(selection)
		return failure
	}
}

// begin handles the head of an answer. It returns false if the request is to be sent to another
// replica, as this one failed to serve it.
func (response *Response) begin(answer *replica.Answer) (isFinal bool) {
	response.sent++
	var load *decide.Load
	if answer.HasLoad {
		load = &decide.Load{Running: answer.Running, Waiting: answer.Waiting, Slots: answer.Slots}
	}
	response.executor.Decider.NoteAlive(response.selection, load)
	if failure := replicaFailed(); answer.Status >= 500 && response.takeRetry(failure) {
		answer.Close()
		response.avoid[response.selection.Replica] = true
		response.release(failure)
		response.mayHaveRun = failure
		return false
	}
	if response.Head.Status == 0 {
		response.Head, response.Header, response.Length = answer.Head, answer.Header, answer.Length
	}
	response.answer, response.lastAt, response.hasPiece = answer, response.executor.World.Now(), false
	return true
}

// attemptFailed handles the failure of the present attempt. It returns the failure that the caller
// gets, or nil if the request is to be sent to another replica.
func (response *Response) attemptFailed(failure *verdict.Error) *verdict.Error {
	if failure.Verdict != verdict.NotRun {
		response.mayHaveRun = failure
	}
	selection := response.selection
	response.release(failure)
	if response.leaver.IsDisconnected() {
		return response.result(callerGone(failure.Verdict, failure.Cause))
	}
	if selection == nil {
		return response.result(failure) // a hedge that found no replica
	}
	switch failure.Code {
	case "moved_on":
		return nil // nothing was sent
	case "no_permit":
		return response.result(failure)
	case replica.RestartedCode, "replica_unreached":
		// Nothing ran, and nothing arrived except at a replica that has restarted. That request
		// counts as one more arrival at the replica, and the next attempt as a retry like any
		// other.
		response.avoid[selection.Replica] = true
		if response.unreached++; response.unreached >= maxUnreached || failure.Code == replica.RestartedCode && !response.executor.Decider.AllowRetry(response.routed) {
			return response.result(failure)
		}
		return nil
	}
	response.sent++
	response.avoid[selection.Replica] = true
	if !response.takeRetry(failure) {
		return response.result(failure)
	}
	return nil
}

// settleHedge decides between the present attempt, which ended, and its hedge: it returns the answer
// of the present attempt if it has one, else what becomes of the hedge, which is then the present
// attempt.
func (response *Response) settleHedge(answer *replica.Answer, failure *verdict.Error) (*replica.Answer, *verdict.Error) {
	hedge := response.hedge
	response.hedge = nil
	if failure == nil {
		if hedge.abandon() {
			response.sent++
		}
		return answer, nil
	}
	response.sent++
	if failure.Verdict != verdict.NotRun {
		response.mayHaveRun = failure
	}
	response.release(failure)
	result := hedge.await(response.leaver)
	response.selection = result.selection
	if result.selection != nil {
		response.avoid[result.selection.Replica] = true
		hedge.request.OnSilence = response.silenceCheck(response.executor.World.Now())
	}
	return result.answer, result.failure
}

// ProxyClient is the client that sends routed requests to replicas.
type ProxyClient interface {
	Send(request *replica.RoutedRequest) (*replica.Answer, *verdict.Error)
}

// silenceCheck returns the function that is called while a replica sends nothing; it reports
// whether to stop waiting for the replica. That is done only for an answer from another one, or to
// continue a stream there with a retry from the budget.
func (response *Response) silenceCheck(since time.Duration) func(bool) bool {
	selection, route := response.selection, response.routed.Route
	return func(hasBegun bool) bool {
		if !hasBegun && response.hedge != nil {
			return response.hedge.hasAnswered()
		}
		now := response.executor.World.Now()
		suspicion := response.executor.Decider.Suspicion(selection)
		if hasBegun {
			return route.Resume && route.Gap > 0 && now-response.lastAt > response.maxPause() && response.reserveRetry()
		}
		if !route.Idempotent() || !response.mayRetry() {
			return false
		}
		overdue := response.executor.Decider.Overdue(selection)
		if now-since > overdue && (suspicion == decide.Failing || now-since > silentOverdueFactor*overdue) {
			response.startHedge()
		}
		return false
	}
}

// maxPause is how long a resumable stream may stay silent before another replica continues it.
func (response *Response) maxPause() time.Duration {
	maxPause := gapFactor * response.routed.Route.Gap
	if response.hasPiece {
		return maxPause
	}
	return max(maxPause, silentOverdueFactor*response.executor.Decider.Overdue(response.selection))
}

// reserveRetry takes a retry from the budget in advance, if another replica may get the request.
func (response *Response) reserveRetry() bool {
	if !response.mayRetry() {
		return false
	}
	avoid := maps.Clone(response.avoid)
	avoid[response.selection.Replica] = true
	decider := response.executor.Decider
	response.hasRetry = decider.HasReplica(response.routed, avoid) && decider.AllowRetry(response.routed)
	return response.hasRetry
}

// mayRetry reports whether the request may be sent to another replica, not counting the retry
// budget.
func (response *Response) mayRetry() bool {
	return response.sent+1 < response.routed.Route.MaxAttempts && response.routed.Deadline-response.executor.World.Now() > 2*connectTimeout
}

// takeRetry reports whether the request may be sent to another replica after the failure, and takes
// the retry from the retry budget.
//
// Invariant: a request that may have run is sent again only on a route whose requests may run more
// than once.
func (response *Response) takeRetry(failure *verdict.Error) bool {
	route := response.routed.Route
	if failure.Verdict != verdict.NotRun && !route.Idempotent() || response.sent >= route.MaxAttempts ||
		response.routed.Deadline-response.executor.World.Now() <= 0 || failure.Code == "expired" {
		return false
	}
	if response.hasRetry {
		response.hasRetry = false
		return true
	}
	return response.executor.Decider.AllowRetry(response.routed)
}

// release returns the selection to the decider and records the attempt.
func (response *Response) release(failure *verdict.Error) {
	if response.selection == nil {
		return
	}
	first := time.Duration(0)
	if response.firstAt > 0 {
		first = max(1, response.firstAt-response.routed.ReceivedAt)
	}
	selection := response.selection
	response.selection = nil
	attempt := Attempt{Replica: selection.Replica, Version: selection.Version, Region: selection.Region, Serial: selection.Serial, Trial: selection.Trial, Spill: selection.Spill, Verdict: verdict.Ran.String(), Code: "ok"}
	if failure != nil {
		attempt.Verdict, attempt.Code = failure.Verdict.String(), failure.Code
	}
	response.record.Dispatches = append(response.record.Dispatches, attempt)
	response.executor.Decider.EndRouted(selection, failure, first)
}

// Read reads the next bytes of the body.
func (response *Response) Read(buffer []byte) (int, error) {
	for len(response.pending) == 0 {
		if response.err != nil {
			return 0, response.err
		}
		response.next()
	}
	count := copy(buffer, response.pending)
	response.pending = response.pending[count:]
	return count, nil
}

// next reads the next piece from the replica, or continues the stream at another replica after a
// failure.
func (response *Response) next() {
	piece, err := response.answer.Next()
	now := response.executor.World.Now()
	switch {
	case err == nil:
		if response.firstAt == 0 {
			response.firstAt = now
			response.record.First = now - response.routed.ReceivedAt
		}
		response.lastAt, response.hasPiece = now, true
		response.executor.Decider.NoteFirstChunk(response.selection, response.answer.Status < 500)
		response.executor.Decider.NoteChunk(response.selection)
		if response.Events {
			response.record.Events++
			if id := lastID(piece); id != "" {
				response.request.After = id
			}
		}
		response.pending = piece
	case errors.Is(err, io.EOF):
		response.err = io.EOF
		response.answer.Close()
		if response.answer.Status >= 500 {
			// The answer is passed on unchanged, but still counts as a failure of the replica.
			response.release(replicaFailed())
		}
		response.finish(nil)
	default:
		response.answer.Close()
		failure := &verdict.Error{Verdict: verdict.MayHaveRun, Code: "cut", Message: "the replica's answer ended early", Status: 502, Cause: err}
		if response.leaver.IsDisconnected() {
			failure = callerGone(verdict.MayHaveRun, err)
		}
		selection := response.selection
		response.release(failure)
		// A resumable stream continues at another replica after the last whole event.
		if !response.leaver.IsDisconnected() && response.Events && response.routed.Route.Resume && response.Status < 300 && response.takeRetry(failure) {
			response.avoid[selection.Replica] = true
			if response.send() == nil && response.isContinuable() {
				return
			}
		}
		response.err = failure
		response.finish(failure)
	}
}

// isContinuable reports whether the new answer may continue the stream that was passed on so far.
func (response *Response) isContinuable() bool {
	if status := response.answer.Status; status >= 200 && status < 300 {
		return true
	}
	response.answer.Close()
	response.release(replicaFailed())
	return false
}

// replicaFailed is the failure of a replica that answered with a server error.
func replicaFailed() *verdict.Error {
	return &verdict.Error{Verdict: verdict.Ran, Code: "replica_failed", Message: "the replica failed to serve the request", Status: 502}
}

// lastID returns the id of the last event in the piece, or "" if it has none.
func lastID(piece []byte) string {
	at := bytes.LastIndex(piece, []byte("\nid:"))
	switch {
	case at >= 0:
		at += len("\nid:")
	case bytes.HasPrefix(piece, []byte("id:")):
		at = len("id:")
	default:
		return ""
	}
	id, _, _ := bytes.Cut(piece[at:], []byte("\n"))
	return string(bytes.TrimSpace(id))
}

// Close ends the response. A response that was not read to its end is ended at its replica.
func (response *Response) Close() error {
	if response.err == nil {
		response.err = io.ErrClosedPipe
		response.answer.Close()
		failure := callerGone(verdict.MayHaveRun, nil)
		response.release(failure)
		response.finish(failure)
	}
	return nil
}

// finish releases the replica and stores the record of the request.
func (response *Response) finish(failure *verdict.Error) {
	response.release(failure)
	record := &response.record
	record.Took = response.executor.World.Now() - record.Began
	record.Verdict, record.Code = verdict.Ran.String(), "ok"
	if failure != nil {
		record.Verdict, record.Code = failure.Verdict.String(), failure.Code
	}
	response.executor.addRecord(*record)
}
