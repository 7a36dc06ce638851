package execute

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"swifttiller/decide"
	"swifttiller/replica"
	"swifttiller/verdict"
)

// Passage is the answer to a routed request on its way to the caller. It is read like
// a file: io.EOF comes only after the whole answer, any other error means that it was
// cut and must be seen to be. Closing it earlier ends the request at its replica.
//
// Invariants: the head is that of the first replica, whichever others go on with the
// answer; what Read gives of a stream of events are whole events, each once and in
// order.
type Passage struct {
	replica.Head
	Header *fasthttp.ResponseHeader
	Length int // of the body; below zero when it is not known beforehand

	answer    *replica.Answer
	executor  *Executor
	routed    *decide.Routed
	ask       replica.Ask
	leaver    *Leaver
	selection *decide.Selection
	avoid     decide.Avoid
	record    Record
	// sent is how many replicas the request was sent to, missed how many could not be
	// reached.
	sent, missed int
	// first is when the first piece came, heard when the last one did, on the world's
	// clock.
	first, heard time.Duration
	pending      []byte
	err          error // how it ended
}

// Ratios and bounds of a routed dispatch.
const (
	connectSpan = 150 * time.Millisecond
	unheardSpan = 2 * time.Second
	silentSpan  = 100 * time.Millisecond
	mostMissed  = 4
	// muteTimes is how many times overdue a request must be at a replica against which nothing
	// but its silence speaks.
	muteTimes = 2
	// vouchedSpan is for how long a replica that was alive is taken to be so.
	vouchedSpan = 100 * time.Millisecond
	// declinedSpan is when a request is worth another try that a replica turned away.
	declinedSpan = 75 * time.Millisecond
	// gapTimes is how many of the longest timely pauses a resumable stream waits for its
	// next event before another replica goes on with it.
	gapTimes = 3
)

// Relay sends a directed request to a replica and gives its answer, at others while
// that is allowed. The leaver tells when the caller goes away.
func (executor *Executor) Relay(routed *decide.Routed, ask replica.Ask, leaver *Leaver) (*Passage, *verdict.Mishap) {
	passage := &Passage{executor: executor, routed: routed, ask: ask, leaver: leaver, avoid: decide.Avoid{}}
	passage.record = Record{ID: routed.ID, Model: routed.Model, Kind: routed.Route.Name, Began: routed.Came, At: executor.World.Wall()}
	if mishap := passage.dispatch(); mishap != nil {
		passage.finish(mishap)
		if mishap.Verdict == verdict.NotRun {
			executor.Decider.Unran(routed)
		}
		return nil, mishap
	}
	return passage, nil
}

// dispatch sends the request, or the rest of it, until a replica has begun to answer.
func (passage *Passage) dispatch() *verdict.Mishap {
	executor, routed := passage.executor, passage.routed
	// doubt is the last mishap after which the request has run or may have.
	var doubt *verdict.Mishap
	// ended is what the caller is told: that nothing ran only if no dispatch may have.
	ended := func(mishap *verdict.Mishap) *verdict.Mishap {
		if mishap.Verdict == verdict.NotRun && doubt != nil {
			return doubt
		}
		if (mishap.Code == "replica_declined" || mishap.Code == replica.AnewCode) && mishap.ComeBack == 0 {
			// The caller's own further try goes elsewhere.
			again := *mishap
			again.ComeBack = declinedSpan
			return &again
		}
		return mishap
	}
	for {
		selection, mishap := executor.Decider.Route(routed, passage.avoid)
		if mishap != nil {
			return ended(mishap)
		}
		if passage.leaver.Gone() {
			executor.Decider.Unseat(selection, left(verdict.NotRun, nil), 0)
			return ended(left(verdict.NotRun, nil))
		}
		passage.selection = selection
		now := executor.World.Now()
		ask := &passage.ask
		ask.Replica, ask.Address, ask.ID = selection.Replica, selection.Address, routed.ID
		ask.Left, ask.Urgency, ask.Version = routed.Expiry-now, routed.Urgency(), ""
		if routed.Tenant != nil {
			ask.Tenant = routed.Tenant.Name
		}
		ask.Once = !routed.Route.Repeatable()
		ask.Bind, ask.Connect, ask.Unheard = passage.leaver.Bind, connectSpan, unheardSpan
		if selection.Spill {
			ask.Connect *= 3
		}
		// What may not be sent again is lost where the replica has just gone; a new
		// connection finds that out first, and costs little within the region.
		// Where the way to another region is in doubt, so does it there.
		ask.Anew = ask.Once && (selection.Doubted || !selection.Spill && now-selection.Vouched > vouchedSpan)
		ask.Gate = func() *verdict.Mishap {
			_, mishap := executor.Decider.Gate(selection)
			return mishap
		}
		ask.Span, ask.Silent = silentSpan, passage.silent(now)
		answer, mishap := executor.Relayer.Send(ask)
		if mishap == nil {
			passage.sent++
			var load *decide.Load
			if answer.HasLoad {
				load = &decide.Load{Running: answer.Running, Waiting: answer.Waiting, Slots: answer.Slots}
			}
			executor.Decider.Heard(selection, load)
			if mishap := failed(); answer.Status >= 500 && passage.again(mishap) {
				answer.Close()
				passage.unseat(mishap)
				passage.avoid[selection.Replica] = true
				doubt = mishap
				continue
			}
			if passage.Head.Status == 0 {
				passage.Head, passage.Header, passage.Length = answer.Head, answer.Header, answer.Length
			}
			passage.answer = answer
			return nil
		}
		if mishap.Verdict != verdict.NotRun {
			doubt = mishap
		}
		passage.unseat(mishap)
		if passage.leaver.Gone() {
			return ended(left(mishap.Verdict, mishap.Cause))
		}
		switch mishap.Code {
		case "moved_on":
			continue // nothing left this daemon
		case "no_permit":
			return ended(mishap)
		case replica.AnewCode, "replica_unreached":
			// Nothing ran and, but for one of a former life, nothing arrived. What did is one
			// more arrival there, and the next one a repeat as any other.
			passage.avoid[selection.Replica] = true
			if passage.missed++; passage.missed >= mostMissed || mishap.Code == replica.AnewCode && !executor.Decider.Repeat(routed) {
				return ended(mishap)
			}
			continue
		}
		passage.sent++
		passage.avoid[selection.Replica] = true
		if !passage.again(mishap) {
			return ended(mishap)
		}
	}
}

// Relayer is the client of routed requests.
type Relayer interface {
	Send(ask *replica.Ask) (*replica.Answer, *verdict.Mishap)
}

// silent makes what is asked while a replica says nothing: whether to give up waiting.
func (passage *Passage) silent(since time.Duration) func(bool) bool {
	selection, route := passage.selection, passage.routed.Route
	return func(hasBegun bool) bool {
		now := passage.executor.World.Now()
		suspicion := passage.executor.Decider.Suspect(selection)
		if hasBegun {
			return route.Resume && route.Gap > 0 && now-passage.heard > gapTimes*route.Gap && passage.mayGoOn()
		}
		if !route.Repeatable() || !passage.mayGoOn() {
			return false
		}
		overdue := passage.executor.Decider.Overdue(selection)
		return now-since > overdue && (suspicion == decide.Failing || now-since > muteTimes*overdue)
	}
}

// mayGoOn tells whether another replica may be sent the request, budget aside.
func (passage *Passage) mayGoOn() bool {
	return passage.sent+1 < passage.routed.Route.Tries && passage.routed.Expiry-passage.executor.World.Now() > 2*connectSpan
}

// again tells whether the request may be sent to another replica after the mishap,
// and takes that from the budget of retries.
//
// Invariant: one that may have run is sent again only on a route whose requests may
// run more than once.
func (passage *Passage) again(mishap *verdict.Mishap) bool {
	route := passage.routed.Route
	if mishap.Verdict != verdict.NotRun && !route.Repeatable() || passage.sent >= route.Tries ||
		passage.routed.Expiry-passage.executor.World.Now() <= 0 || mishap.Code == "expired" {
		return false
	}
	return passage.executor.Decider.Repeat(passage.routed)
}

// unseat hands the selection back.
func (passage *Passage) unseat(mishap *verdict.Mishap) {
	if passage.selection == nil {
		return
	}
	first := time.Duration(0)
	if passage.first > 0 {
		first = max(1, passage.first-passage.routed.Came)
	}
	selection := passage.selection
	passage.selection = nil
	tried := Dispatch{Replica: selection.Replica, Version: selection.Version, Region: selection.Region, Serial: selection.Serial, Trial: selection.Trial, Spill: selection.Spill, Verdict: verdict.Ran.String(), Code: "ok"}
	if mishap != nil {
		tried.Verdict, tried.Code = mishap.Verdict.String(), mishap.Code
	}
	passage.record.Dispatches = append(passage.record.Dispatches, tried)
	passage.executor.Decider.Unseat(selection, mishap, first)
}

// Read gives the next bytes of the body.
func (passage *Passage) Read(buffer []byte) (int, error) {
	for len(passage.pending) == 0 {
		if passage.err != nil {
			return 0, passage.err
		}
		passage.next()
	}
	count := copy(buffer, passage.pending)
	passage.pending = passage.pending[count:]
	return count, nil
}

// next takes the next bytes from the replica, or goes on at another one.
func (passage *Passage) next() {
	piece, err := passage.answer.Next()
	now := passage.executor.World.Now()
	switch {
	case err == nil:
		if passage.first == 0 {
			passage.first = now
			passage.record.First = now - passage.routed.Came
		}
		passage.heard = now
		passage.executor.Decider.Begun(passage.selection, passage.answer.Status < 500)
		passage.executor.Decider.Flowed(passage.selection)
		if passage.Events {
			passage.record.Events++
			if id := lastID(piece); id != "" {
				passage.ask.After = id
			}
		}
		passage.pending = piece
	case errors.Is(err, io.EOF):
		passage.err = io.EOF
		passage.answer.Close()
		if passage.answer.Status >= 500 {
			// Passed on as it is, and yet a mishap of the replica's.
			passage.unseat(failed())
		}
		passage.finish(nil)
	default:
		passage.answer.Close()
		mishap := &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: "cut", Message: "the replica's answer was cut", Status: 502, Cause: err}
		if passage.leaver.Gone() {
			mishap = left(verdict.MayHaveRun, err)
		}
		selection := passage.selection
		passage.unseat(mishap)
		// A stream that may be resumed goes on elsewhere behind the last whole event.
		if !passage.leaver.Gone() && passage.Events && passage.routed.Route.Resume && passage.Status < 300 && passage.again(mishap) {
			passage.avoid[selection.Replica] = true
			if passage.dispatch() == nil && passage.sound() {
				return
			}
		}
		passage.err = mishap
		passage.finish(mishap)
	}
}

// sound tells whether the answer that goes on with a stream may follow what was passed
// on.
func (passage *Passage) sound() bool {
	if status := passage.answer.Status; status >= 200 && status < 300 {
		return true
	}
	passage.answer.Close()
	passage.unseat(failed())
	return false
}

// failed is the mishap of a replica that answered that it failed.
func failed() *verdict.Mishap {
	return &verdict.Mishap{Verdict: verdict.Ran, Code: "replica_failed", Message: "the replica failed", Status: 502}
}

// lastID is the id of the last event in the piece.
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

// Close ends the passage; one that was not read to its end is given up.
func (passage *Passage) Close() error {
	if passage.err == nil {
		passage.err = io.ErrClosedPipe
		passage.answer.Close()
		mishap := left(verdict.MayHaveRun, nil)
		passage.unseat(mishap)
		passage.finish(mishap)
	}
	return nil
}

// finish keeps the record.
func (passage *Passage) finish(mishap *verdict.Mishap) {
	passage.unseat(mishap)
	record := &passage.record
	record.Took = passage.executor.World.Now() - record.Began
	record.Verdict, record.Code = verdict.Ran.String(), "ok"
	if mishap != nil {
		record.Verdict, record.Code = mishap.Verdict.String(), mishap.Code
	}
	passage.executor.keep(*record)
}
