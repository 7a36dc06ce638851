// Package execute obeys: it carries an allowed request to the replica that was
// decided on, passes the answer on, and ends it plainly.
package execute

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"swifttiller/decide"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/replica"
	"swifttiller/verdict"
)

// Sink takes the events of an answer. An error from Event means that the caller
// went away. It may notice that earlier: then Gone says so, and what was bound
// last is run, once, so that a dispatch that waits for its replica ends.
type Sink interface {
	Event(event []byte) error
	Gone() bool
	Bind(abort func())
}

// Leaver is the part of a sink that keeps what to abort.
//
// Invariant: abort runs under guard and only while it is bound, so that after
// Bind(nil) nothing of an ended dispatch is touched any more.
type Leaver struct {
	guard sync.Mutex
	gone  bool
	abort func()
}

// Leave notes that the caller went away.
func (leaver *Leaver) Leave() {
	leaver.guard.Lock()
	defer leaver.guard.Unlock()
	leaver.gone = true
	if leaver.abort != nil {
		leaver.abort()
		leaver.abort = nil
	}
}

// Gone tells whether the caller went away.
func (leaver *Leaver) Gone() bool {
	leaver.guard.Lock()
	defer leaver.guard.Unlock()
	return leaver.gone
}

// Bind says what to do when the caller goes away; nil for nothing.
func (leaver *Leaver) Bind(abort func()) {
	leaver.guard.Lock()
	defer leaver.guard.Unlock()
	leaver.abort = abort
	if leaver.gone && abort != nil {
		abort()
		leaver.abort = nil
	}
}

// Options of an executor.
type Options struct {
	World   loop.World
	Decider *decide.Decider
	Client  replica.Client
	// Relayer, if set, takes routed requests.
	Relayer Relayer
	Holder  func() *permit.View
	Log     *zap.Logger
	// Traced, if set, is given every ended request.
	Traced func(Record)
}

// Record tells where one request went.
type Record struct {
	ID, Model, Kind, Home string
	Began, Took, First    time.Duration
	At                    time.Time
	Events                int
	Dispatches            []Dispatch
	Verdict               string
	Code                  string
}

// Dispatch is one try at a replica.
type Dispatch struct {
	Replica, Version, Region string
	Serial                   uint64
	Trial, Spill, Affine     bool
	Verdict, Code            string
}

// Executor serves requests.
type Executor struct {
	Options
	guard   sync.Mutex
	records []Record // a ring; next is where the oldest stands
	next    int
}

// keptRecords is how many ended requests can be asked about.
const keptRecords = 4096

// mostDispatches is how often one request is tried while nothing ran.
const mostDispatches = 3

// Serve runs an allowed call. Whatever it returns, the sink has got all events
// that the caller shall get; a mishap after the first event means that the
// answer is cut and must be seen to be.
func (executor *Executor) Serve(call *decide.Call, body []byte, sink Sink) *verdict.Mishap {
	record := Record{ID: call.ID, Model: call.Model, Kind: call.Kind, Home: call.Home, Began: executor.World.Now(), At: executor.World.Wall()}
	mishap := executor.serve(call, body, sink, &record)
	executor.Decider.Settled(call, mishap)
	record.Took = executor.World.Now() - record.Began
	record.Verdict, record.Code = verdict.Ran.String(), "ok"
	if mishap != nil {
		record.Verdict, record.Code = mishap.Verdict.String(), mishap.Code
	}
	executor.keep(record)
	return mishap
}

func (executor *Executor) serve(call *decide.Call, body []byte, sink Sink, record *Record) *verdict.Mishap {
	avoid := map[string]bool{}
	for {
		selection, mishap := executor.Decider.Select(call, avoid)
		if mishap != nil {
			return mishap
		}
		if sink.Gone() {
			executor.Decider.Release(selection, left(verdict.NotRun, nil), 0)
			return left(verdict.NotRun, nil)
		}
		first, events, mishap := executor.dispatch(call, selection, body, sink)
		executor.Decider.Release(selection, mishap, first)
		record.Events += events
		if events > 0 {
			record.First = first
		}
		tried := Dispatch{Replica: selection.Replica, Version: selection.Version, Region: selection.Region, Serial: selection.Serial, Trial: selection.Trial, Spill: selection.Spill, Affine: selection.Affine, Verdict: verdict.Ran.String(), Code: "ok"}
		if mishap != nil {
			tried.Verdict, tried.Code = mishap.Verdict.String(), mishap.Code
		}
		record.Dispatches = append(record.Dispatches, tried)
		if mishap == nil || mishap.Verdict != verdict.NotRun || mishap.Code == "no_permit" || mishap.Code == "replica_rejected" || len(record.Dispatches) >= mostDispatches {
			return mishap
		}
		// Nothing reached a model: another replica may have it, within the
		// budget. Being turned away by the gate, or meeting another life of the
		// replica, costs no replica anything.
		if mishap.Code != "moved_on" && mishap.Code != replica.AnewCode {
			avoid[selection.Replica] = true
			if !executor.Decider.Redispatch() {
				return mishap
			}
		}
	}
}

// dispatch makes one try.
func (executor *Executor) dispatch(call *decide.Call, selection *decide.Selection, body []byte, sink Sink) (first time.Duration, events int, mishap *verdict.Mishap) {
	named, ok := replica.Rename(body, replica.Name(call.Model, selection.Version))
	if !ok {
		return 0, 0, verdict.Decline(400, "bad_request", "the body names no model", 0)
	}
	tree := executor.Holder().Tree
	began := executor.World.Now()
	stream, mishap := executor.Client.Dispatch(replica.Request{
		Replica: selection.Replica, Address: selection.Address, Path: call.Path, Body: named, Model: call.Model, Version: selection.Version,
		Kind: call.Kind, Home: call.Home, ID: call.ID,
		Gate:     func() (uint64, *verdict.Mishap) { return executor.Decider.Gate(selection) },
		Patience: tree.Span("request_ms", ""), Stall: tree.Span("stall_ms", ""), Bind: sink.Bind,
		Boot: selection.Boot, Greet: tree.Span("dark_ms", "") / 2,
	})
	defer sink.Bind(nil)
	if mishap != nil {
		if mishap.Verdict != verdict.NotRun && sink.Gone() {
			return 0, 0, left(mishap.Verdict, mishap.Cause)
		}
		return 0, 0, mishap
	}
	defer stream.Close()
	defer sink.Bind(nil) // before the connection is anybody else's
	for {
		event, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF):
			return first, events, nil
		case err != nil && sink.Gone():
			return first, events, left(verdict.MayHaveRun, err)
		case err != nil:
			return first, events, &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: "cut", Message: "the replica's answer was cut", Status: 502, Cause: err}
		}
		if events == 0 {
			first = executor.World.Now() - began
			executor.Decider.First(selection)
		}
		if fault := unsound(event, events); fault != "" {
			return first, events, &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: fault, Message: "the replica's answer is no answer", Status: 502}
		}
		events++
		if err := sink.Event(event); err != nil {
			return first, events, left(verdict.MayHaveRun, err)
		}
	}
}

// left is the mishap of a caller that went away.
func left(what verdict.Verdict, cause error) *verdict.Mishap {
	return &verdict.Mishap{Verdict: what, Code: "caller_gone", Message: "the caller went away", Status: 499, Cause: cause}
}

// unsound tells what is wrong with an event: one that is not JSON, or an end with
// nothing before it, is no answer, and is not passed on as one.
func unsound(event []byte, before int) string {
	if replica.Terminal(event) {
		if before == 0 {
			return "replica_empty"
		}
		return ""
	}
	for _, line := range bytes.Split(bytes.TrimSpace(event), []byte("\n")) {
		if data, isData := bytes.CutPrefix(line, []byte("data:")); isData && !gjson.ValidBytes(bytes.TrimSpace(data)) {
			return "replica_garbled"
		}
	}
	return ""
}

// Note keeps a request that was declined before it was served.
func (executor *Executor) Note(call *decide.Call, mishap *verdict.Mishap) {
	executor.keep(Record{ID: call.ID, Model: call.Model, Kind: call.Kind, Home: call.Home, Began: executor.World.Now(), At: executor.World.Wall(), Verdict: mishap.Verdict.String(), Code: mishap.Code})
}

func (executor *Executor) keep(record Record) {
	executor.guard.Lock()
	if len(executor.records) < keptRecords {
		executor.records = append(executor.records, record)
	} else {
		executor.records[executor.next] = record
		executor.next = (executor.next + 1) % keptRecords
	}
	executor.guard.Unlock()
	if executor.Log != nil && executor.Log.Core().Enabled(zap.InfoLevel) {
		fields := []zap.Field{zap.String("request", record.ID), zap.String("model", record.Model), zap.String("kind", record.Kind),
			zap.String("verdict", record.Verdict), zap.String("code", record.Code), zap.Duration("took", record.Took), zap.Duration("first", record.First), zap.Int("events", record.Events)}
		if count := len(record.Dispatches); count > 0 {
			last := record.Dispatches[count-1]
			fields = append(fields, zap.String("replica", last.Replica), zap.String("version", last.Version), zap.Uint64("serial", last.Serial), zap.Int("dispatches", count))
		}
		executor.Log.Info("request", fields...)
	}
	if executor.Traced != nil {
		executor.Traced(record)
	}
}

// Find gives what is remembered of a request id, oldest first.
func (executor *Executor) Find(id string) (found []Record) {
	executor.guard.Lock()
	defer executor.guard.Unlock()
	for index := range executor.records {
		one := executor.records[(executor.next+index)%len(executor.records)]
		if one.ID == id {
			found = append(found, one)
		}
	}
	return found
}
