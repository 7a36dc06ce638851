// Package traces writes completed requests to a file as spans in the OpenTelemetry JSON format, one
// line per request. It is off by default.
package traces

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"swifttiller/execute"
)

// Options configure a Writer: the daemon that it writes for and the file.
type Options struct {
	Daemon, Region, Zone string
	Path                 string
	// QueueLength limits how many requests wait to be written. Requests beyond it are dropped and
	// counted, because tracing must not delay requests.
	QueueLength int
}

// Writer writes spans to a file.
//
// Invariant: Trace never waits for the disk; only one goroutine writes the file.
type Writer struct {
	Options
	file    *os.File
	records chan execute.Record
	done    chan struct{}
	mutex   sync.Mutex
	closed  bool
	dropped uint64
	failed  error
}

// Open opens the file and starts the goroutine that writes to it.
func Open(options Options) (*Writer, error) {
	file, err := os.OpenFile(options.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	writer := &Writer{Options: options, file: file, records: make(chan execute.Record, options.QueueLength), done: make(chan struct{})}
	go writer.run()
	return writer, nil
}

// Switch sends traces to a file that can be replaced at run time, or to none.
type Switch struct {
	Options
	Log    *zap.Logger
	writer atomic.Pointer[Writer]
}

// To sends traces to the file at path from now on; an empty path turns them off. After an error
// the previous file remains in use.
func (sw *Switch) To(path string) error {
	var next *Writer
	if path != "" {
		options := sw.Options
		options.Path = path
		var err error
		if next, err = Open(options); err != nil {
			return err
		}
	}
	if old := sw.writer.Swap(next); old != nil {
		if err := old.Close(); err != nil || old.Dropped() > 0 {
			sw.Log.Warn("traces", zap.String("file", old.Path), zap.Uint64("left_out", old.Dropped()), zap.Error(err))
		}
	}
	return nil
}

// Trace records a completed request if a file is set.
func (sw *Switch) Trace(record execute.Record) {
	if writer := sw.writer.Load(); writer != nil {
		writer.Trace(record)
	}
}

// Trace queues a completed request for writing, or drops it if the queue is full.
func (writer *Writer) Trace(record execute.Record) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.closed {
		writer.dropped++
		return
	}
	select {
	case writer.records <- record:
	default:
		writer.dropped++
	}
}

// Dropped returns the number of dropped requests.
func (writer *Writer) Dropped() uint64 {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	return writer.dropped
}

// Close writes the queued requests and closes the file. Requests traced later are dropped.
func (writer *Writer) Close() error {
	writer.mutex.Lock()
	if !writer.closed {
		writer.closed = true
		close(writer.records)
	}
	writer.mutex.Unlock()
	<-writer.done
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if err := writer.file.Close(); err != nil && writer.failed == nil {
		writer.failed = err
	}
	return writer.failed
}

func (writer *Writer) run() {
	defer close(writer.done)
	for record := range writer.records {
		line, err := json.Marshal(writer.Spans(record))
		if err == nil {
			_, err = writer.file.Write(append(line, '\n'))
		}
		if err != nil {
			writer.mutex.Lock()
			writer.failed = err
			writer.mutex.Unlock()
		}
	}
}

// These types are the part of the OpenTelemetry JSON format that is written here. The OpenTelemetry
// library isn't used, because the users' platform takes its package name for tracing of other
// processes; the test parses the output with that library.
type (
	// Traces are the spans of one writer.
	Traces struct {
		ResourceSpans [1]resourceSpans `json:"resourceSpans"`
	}
	resourceSpans struct {
		Resource   resource      `json:"resource"`
		ScopeSpans [1]scopeSpans `json:"scopeSpans"`
	}
	resource struct {
		Attributes []attribute `json:"attributes"`
	}
	scopeSpans struct {
		Scope struct {
			Name string `json:"name"`
		} `json:"scope"`
		Spans []span `json:"spans"`
	}
	span struct {
		TraceID      string      `json:"traceId"`
		SpanID       string      `json:"spanId"`
		ParentSpanID string      `json:"parentSpanId,omitempty"`
		Name         string      `json:"name"`
		Kind         int         `json:"kind"`
		Start        string      `json:"startTimeUnixNano"`
		End          string      `json:"endTimeUnixNano"`
		Attributes   []attribute `json:"attributes"`
		Status       status      `json:"status"`
	}
	status struct {
		Message string `json:"message,omitempty"`
		Code    int    `json:"code,omitempty"`
	}
	attribute struct {
		Key   string         `json:"key"`
		Value map[string]any `json:"value"`
	}
)

const (
	kindServer = 2
	kindClient = 3
	codeError  = 2
)

func text(key, value string) attribute {
	return attribute{key, map[string]any{"stringValue": value}}
}

func integer(key string, value int64) attribute {
	return attribute{key, map[string]any{"intValue": strconv.FormatInt(value, 10)}}
}

func boolean(key string, value bool) attribute {
	return attribute{key, map[string]any{"boolValue": value}}
}

func (s *span) setStatus(code string) {
	if code != "ok" {
		s.Status = status{code, codeError}
	}
}

// Spans converts a request to spans: one for the request and one child span for each attempt. The
// trace id is derived from the request id, so that spans of one request from several daemons
// belong to the same trace.
func (writer *Writer) Spans(record execute.Record) Traces {
	var traces Traces
	resource := &traces.ResourceSpans[0]
	resource.Resource.Attributes = []attribute{
		text("service.name", "swifttiller-dataplane"), text("service.instance.id", writer.Daemon),
		text("cloud.region", writer.Region), text("cloud.availability_zone", writer.Zone),
	}
	scope := &resource.ScopeSpans[0]
	scope.Scope.Name = "swifttiller"
	traceSum := sha256.Sum256([]byte(record.ID))
	add := func(name string, kind int, index byte, parent string, attributes []attribute, code string) string {
		spanSum := sha256.Sum256([]byte(record.ID + writer.Daemon + record.At.String() + string(rune(index))))
		s := span{
			TraceID: hex.EncodeToString(traceSum[:16]), SpanID: hex.EncodeToString(spanSum[:8]), ParentSpanID: parent, Name: name, Kind: kind, Attributes: attributes,
			Start: strconv.FormatInt(record.At.UnixNano(), 10), End: strconv.FormatInt(record.At.Add(max(record.Took, time.Nanosecond)).UnixNano(), 10),
		}
		s.setStatus(code)
		scope.Spans = append(scope.Spans, s)
		return s.SpanID
	}
	requestSpan := add("request", kindServer, 0, "", []attribute{
		text("swifttiller.request", record.ID), text("swifttiller.model", record.Model), text("swifttiller.kind", record.Kind),
		text("swifttiller.verdict", record.Verdict), text("swifttiller.code", record.Code), integer("swifttiller.events", int64(record.Events)),
	}, record.Code)
	for index, attempt := range record.Dispatches {
		add("dispatch", kindClient, byte(index+1), requestSpan, []attribute{
			text("swifttiller.replica", attempt.Replica), text("swifttiller.version", attempt.Version), text("swifttiller.region", attempt.Region),
			integer("swifttiller.serial", int64(attempt.Serial)), boolean("swifttiller.trial", attempt.Trial), boolean("swifttiller.spill", attempt.Spill), text("swifttiller.verdict", attempt.Verdict),
		}, attempt.Code)
	}
	return traces
}
