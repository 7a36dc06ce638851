package traces_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/collector/pdata/ptrace"

	"swifttiller/execute"
	"swifttiller/traces"
)

func TestSpansAreReadBack(t *testing.T) {
	Convey("each request is one line, which the library parses as a span with its attempts as children", t, func() {
		path := filepath.Join(t.TempDir(), "traces.json")
		writer, err := traces.Open(traces.Options{Daemon: "d1", Region: "east", Zone: "east-1", Path: path, QueueLength: 10})
		So(err, ShouldBeNil)
		writer.Trace(execute.Record{ID: "q", Model: "m", Kind: "k", At: time.Unix(1000, 0), Took: time.Second, Verdict: "ran", Code: "ok", Events: 3,
			Dispatches: []execute.Attempt{{Replica: "r1", Verdict: "not_run", Code: "replica_unreached"}, {Replica: "r2", Version: "v1", Serial: 4, Verdict: "ran", Code: "ok"}}})
		So(writer.Close(), ShouldBeNil)
		text, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		var reader ptrace.JSONUnmarshaler
		read, err := reader.UnmarshalTraces([]byte(strings.TrimSpace(string(text))))
		So(err, ShouldBeNil)
		spans := read.ResourceSpans().At(0).ScopeSpans().At(0).Spans()
		So(spans.Len(), ShouldEqual, 3)
		So(spans.At(0).TraceID().IsEmpty(), ShouldBeFalse)
		So(spans.At(1).ParentSpanID(), ShouldResemble, spans.At(0).SpanID())
		So(spans.At(1).Status().Message(), ShouldEqual, "replica_unreached")
		So(spans.At(2).SpanID(), ShouldNotResemble, spans.At(1).SpanID())
		So(spans.At(0).EndTimestamp()-spans.At(0).StartTimestamp(), ShouldEqual, uint64(time.Second))
	})
	Convey("if the queue is full, records are dropped and counted without waiting", t, func() {
		writer, err := traces.Open(traces.Options{Path: filepath.Join(t.TempDir(), "t.json"), QueueLength: 0})
		So(err, ShouldBeNil)
		for turn := 0; turn < 20000; turn++ {
			writer.Trace(execute.Record{ID: "q"})
		}
		So(writer.Dropped(), ShouldBeGreaterThan, 0)
		So(writer.Close(), ShouldBeNil)
	})
}
