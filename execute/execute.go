// Package execute forwards an admitted request to the replica that package decide selected, streams
// the answer back to the caller, and reports one outcome for the request.
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
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/replica"
	"swifttiller/verdict"
)

// Sink receives the events of an answer. An error from Event means that the caller has
// disconnected. The sink may notice a disconnect earlier: IsDisconnected then returns true, and the abort
// function that was bound last is run once, so that an attempt that waits for its replica ends.
type Sink interface {
	Event(event []byte) error
	IsDisconnected() bool
	OnAbort(abort func())
}

// CallerState is the part of a sink that tracks whether the caller has disconnected and holds the
// function that aborts the running attempt.
//
// Invariant: abort runs with mu held and only while it is bound. After OnAbort(nil) the abort function
// of an ended attempt is never called.
type CallerState struct {
	mu    sync.Mutex
	gone  bool
	abort func()
}

// Disconnect records that the caller has disconnected and aborts the running attempt, if one is bound.
func (leaver *CallerState) Disconnect() {
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	leaver.gone = true
	if leaver.abort != nil {
		leaver.abort()
		leaver.abort = nil
	}
}

// IsDisconnected reports whether the caller has disconnected.
func (leaver *CallerState) IsDisconnected() bool {
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	return leaver.gone
}

// OnAbort sets the function to run when the caller disconnects, or clears it if abort is nil. If the
// caller is already gone, abort runs at once.
func (leaver *CallerState) OnAbort(abort func()) {
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	leaver.abort = abort
	if leaver.gone && abort != nil {
		abort()
		leaver.abort = nil
	}
}

// Options configures an Executor.
type Options struct {
	World   loop.World
	Decider *decide.Decider
	Client  replica.Client
	// ProxyClient, if set, sends routed requests.
	ProxyClient ProxyClient
	Holder      func() *lease.View
	Log         *zap.Logger
	// OnFinished, if set, is called with the record of every finished request.
	OnFinished func(Record)
}

// Record describes one finished request and the attempts that were made for it.
type Record struct {
	ID, Model, Kind, Home string
	Began, Took, First    time.Duration
	At                    time.Time
	Events                int
	Dispatches            []Attempt
	Verdict               string
	Code                  string
}

// Attempt is one attempt at a replica.
type Attempt struct {
	Replica, Version, Region string
	Serial                   uint64
	Trial, Spill, Affine     bool
	Verdict, Code            string
}

// Executor runs requests at replicas and keeps a ring of records of the most recent ones.
type Executor struct {
	Options
	mu      sync.Mutex
	records []Record // ring buffer; once it is full, oldest is the index of the oldest record
	oldest  int
}

// maxRecords is the number of finished requests whose records are kept for lookup by id.
const maxRecords = 4096

// maxAttempts limits the attempts for one request, each of which is made only while no replica has
// run it.
const maxAttempts = 3

// Serve runs an admitted call. When it returns, the sink has received every event that the caller
// is to get. A failure after the first event means that the answer was cut off, which must be made
// visible to the caller.
func (executor *Executor) Serve(call *decide.Call, body []byte, sink Sink) *verdict.Error {
	record := Record{ID: call.ID, Model: call.Model, Kind: call.Kind, Home: call.Home, Began: executor.World.Now(), At: executor.World.WallTime()}
	failure := executor.serve(call, body, sink, &record)
	executor.Decider.Settled(call, failure)
	record.Took = executor.World.Now() - record.Began
	record.Verdict, record.Code = verdict.Ran.String(), "ok"
	if failure != nil {
		record.Verdict, record.Code = failure.Verdict.String(), failure.Code
	}
	executor.addRecord(record)
	return failure
}

func (executor *Executor) serve(call *decide.Call, body []byte, sink Sink, record *Record) *verdict.Error {
	avoid := map[string]bool{}
	for {
		selection, failure := executor.Decider.Select(call, avoid)
		if failure != nil {
			return failure
		}
		if sink.IsDisconnected() {
			executor.Decider.Release(selection, callerGone(verdict.NotRun, nil), 0)
			return callerGone(verdict.NotRun, nil)
		}
		first, events, failure := executor.attemptOn(call, selection, body, sink)
		executor.Decider.Release(selection, failure, first)
		record.Events += events
		if events > 0 {
			record.First = first
		}
		attempt := Attempt{Replica: selection.Replica, Version: selection.Version, Region: selection.Region, Serial: selection.Serial, Trial: selection.Trial, Spill: selection.Spill, Affine: selection.Affine, Verdict: verdict.Ran.String(), Code: "ok"}
		if failure != nil {
			attempt.Verdict, attempt.Code = failure.Verdict.String(), failure.Code
		}
		record.Dispatches = append(record.Dispatches, attempt)
		if failure == nil || failure.Verdict != verdict.NotRun || failure.Code == "no_permit" || failure.Code == "replica_rejected" || len(record.Dispatches) >= maxAttempts {
			return failure
		}
		// No model has run the request, so another replica may get it, within the retry budget. A
		// rejection by the gate, or by a replica that has restarted since it was selected, put no
		// load on a replica and is not charged.
		if failure.Code != "moved_on" && failure.Code != replica.RestartedCode {
			avoid[selection.Replica] = true
			if !executor.Decider.Redispatch() {
				return failure
			}
		}
	}
}

// attemptOn makes one attempt at the selected replica.
func (executor *Executor) attemptOn(call *decide.Call, selection *decide.Selection, body []byte, sink Sink) (first time.Duration, events int, failure *verdict.Error) {
	renamed, ok := replica.ReplaceModel(body, replica.VersionName(call.Model, selection.Version))
	if !ok {
		return 0, 0, verdict.Reject(400, "bad_request", "the request body has no model field", 0)
	}
	tree := executor.Holder().Tree
	began := executor.World.Now()
	stream, failure := executor.Client.Send(replica.Request{
		Replica: selection.Replica, Address: selection.Address, Path: call.Path, Body: renamed, Model: call.Model, Version: selection.Version,
		Kind: call.Kind, Home: call.Home, ID: call.ID,
		Gate:    func() (uint64, *verdict.Error) { return executor.Decider.Gate(selection) },
		Timeout: tree.Duration("request_ms", ""), StallTimeout: tree.Duration("stall_ms", ""), OnAbort: sink.OnAbort,
		Boot: selection.Boot, IdentifyTimeout: tree.Duration("dark_ms", "") / 2,
	})
	defer sink.OnAbort(nil)
	if failure != nil {
		if failure.Verdict != verdict.NotRun && sink.IsDisconnected() {
			return 0, 0, callerGone(failure.Verdict, failure.Cause)
		}
		return 0, 0, failure
	}
	defer stream.Close()
	defer sink.OnAbort(nil) // runs before stream.Close returns the connection to the pool
	for {
		event, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF):
			return first, events, nil
		case err != nil && sink.IsDisconnected():
			return first, events, callerGone(verdict.MayHaveRun, err)
		case err != nil:
			return first, events, &verdict.Error{Verdict: verdict.MayHaveRun, Code: "cut", Message: "the replica's answer ended early", Status: 502, Cause: err}
		}
		if events == 0 {
			first = executor.World.Now() - began
			executor.Decider.First(selection)
		}
		if code := invalidEvent(event, events); code != "" {
			return first, events, &verdict.Error{Verdict: verdict.MayHaveRun, Code: code, Message: "the replica sent an invalid answer", Status: 502}
		}
		events++
		if err := sink.Event(event); err != nil {
			return first, events, callerGone(verdict.MayHaveRun, err)
		}
	}
}

// callerGone is the failure of a request whose caller disconnected.
func callerGone(ran verdict.Verdict, cause error) *verdict.Error {
	return &verdict.Error{Verdict: ran, Code: "caller_gone", Message: "the caller disconnected", Status: 499, Cause: cause}
}

// invalidEvent returns the failure code of an invalid event, or "" if the event is valid. An event
// whose data is not JSON, or a terminal event without any event before it, is not passed on to the
// caller.
func invalidEvent(event []byte, earlierEvents int) string {
	if replica.IsTerminalEvent(event) {
		if earlierEvents == 0 {
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

// RecordRejected records a request that was rejected before it was run.
func (executor *Executor) RecordRejected(call *decide.Call, failure *verdict.Error) {
	executor.addRecord(Record{ID: call.ID, Model: call.Model, Kind: call.Kind, Home: call.Home, Began: executor.World.Now(), At: executor.World.WallTime(), Verdict: failure.Verdict.String(), Code: failure.Code})
}

func (executor *Executor) addRecord(record Record) {
	executor.mu.Lock()
	if len(executor.records) < maxRecords {
		executor.records = append(executor.records, record)
	} else {
		executor.records[executor.oldest] = record
		executor.oldest = (executor.oldest + 1) % maxRecords
	}
	executor.mu.Unlock()
	if executor.Log != nil && executor.Log.Core().Enabled(zap.InfoLevel) {
		fields := []zap.Field{zap.String("request", record.ID), zap.String("model", record.Model), zap.String("kind", record.Kind),
			zap.String("verdict", record.Verdict), zap.String("code", record.Code), zap.Duration("took", record.Took), zap.Duration("first", record.First), zap.Int("events", record.Events)}
		if count := len(record.Dispatches); count > 0 {
			last := record.Dispatches[count-1]
			fields = append(fields, zap.String("replica", last.Replica), zap.String("version", last.Version), zap.Uint64("serial", last.Serial), zap.Int("dispatches", count))
		}
		executor.Log.Info("request", fields...)
	}
	if executor.OnFinished != nil {
		executor.OnFinished(record)
	}
}

// Find returns the records kept for a request id, oldest first.
func (executor *Executor) Find(id string) (found []Record) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	for index := range executor.records {
		record := executor.records[(executor.oldest+index)%len(executor.records)]
		if record.ID == id {
			found = append(found, record)
		}
	}
	return found
}
