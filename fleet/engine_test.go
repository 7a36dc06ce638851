package fleet

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/replica"
	"swifttiller/sim"
	"swifttiller/verdict"
)

// requestResult is the outcome of one request that was sent to an engine.
type requestResult struct {
	first, last, longestPause time.Duration // first and last event, since sending; longest time between two events
	events                    int
	err                       error
	failure                   *verdict.Error
	head                      replica.Head
}

// engineHarness is a simulated cluster with one engine and one node that sends requests to it.
type engineHarness struct {
	*Cluster
	relayer *engineProxy
	count   int
}

func newEngineHarness(t *testing.T, change func(*EngineOptions)) *engineHarness {
	options := engine("e", "a-1", mainModel, true)
	change(&options)
	cluster := NewBareCluster(1, Plan{Engines: []EngineOptions{options}})
	t.Cleanup(cluster.Close)
	cluster.Latency, cluster.Jitter = time.Microsecond, 0
	cluster.zones["d"] = "a-1"
	cluster.Start("d", func(*sim.Node) {})
	return &engineHarness{Cluster: cluster, relayer: &engineProxy{cluster, cluster.Node("d"), map[string][]*engineConn{}}}
}

// send starts a request now. The result is filled in as the simulation runs.
func (harness *engineHarness) send(urgency, maxTokens int, remaining time.Duration, parts ...decide.Part) *requestResult {
	harness.count++
	id, result := fmt.Sprint("r", harness.count), &requestResult{}
	harness.contentByAttempt[id] = requestContent{parts, maxTokens}
	harness.Node("d").Go(func() {
		sent := harness.Now()
		request := &replica.RoutedRequest{Replica: harness.Engines["e"].Life, Address: "e", ID: id, Remaining: remaining, Urgency: urgency, ConnectTimeout: time.Second, UnackedTimeout: 2 * time.Second, Gate: func() *verdict.Error { return nil }}
		answer, failure := harness.relayer.Send(request)
		if failure != nil {
			result.failure = failure
			return
		}
		result.head = answer.Head
		defer answer.Close()
		for {
			_, err := answer.Next()
			now := harness.Now() - sent
			if err != nil {
				result.err, result.last = err, now
				return
			}
			if result.events++; result.first == 0 {
				result.first = now
			} else {
				result.longestPause = max(result.longestPause, now-result.last)
			}
			result.last = now
		}
	})
	return result
}

func checkDuration(t *testing.T, phase string, took, want time.Duration) {
	t.Helper()
	if took < want-want/50-time.Millisecond || took > want+want/50+time.Millisecond {
		t.Errorf("%s took %v, want %v", phase, took, want)
	}
}

const ampleTime = 20 * time.Second

// TestEngine verifies that the simulated engine has the properties of a real one that the simulations
// depend on.
func TestEngine(t *testing.T) {
	t.Parallel()
	plain := func(*EngineOptions) {}
	prefillTime := func(tokens int) time.Duration {
		return time.Duration(float64(tokens) / 54.6 * float64(time.Millisecond))
	}
	const step, each, first = 5610 * time.Microsecond, 121 * time.Microsecond, 61 * time.Millisecond
	shared, own := decide.Part{ID: 1, Tokens: 13300}, func(id uint64) decide.Part { return decide.Part{ID: id, Tokens: 3720} }

	t.Run("prompts are read, parts kept, and tokens come in strides", func(t *testing.T) {
		harness := newEngineHarness(t, plain)
		request := harness.send(5, 10, ampleTime, shared, own(2))
		harness.Run(2 * time.Second)
		checkDuration(t, "time to first token", request.first, prefillTime(17020)+first+4*(step+each))
		checkDuration(t, "the whole answer", request.last, prefillTime(17020)+first+10*(step+each))
		if request.events != 3 || !errors.Is(request.err, io.EOF) || !request.head.HasLoad || request.head.Running != 1 || request.head.Slots != 64 {
			t.Errorf("got %d events, %v, %+v", request.events, request.err, request.head)
		}
		second := harness.send(5, 4, ampleTime, shared, own(3))
		harness.Run(2 * time.Second)
		checkDuration(t, "time to first token with a cached prefix", second.first, prefillTime(3720)+first+4*(step+each))
		// The last part is a cache hit only if all parts before it are the same.
		third := harness.send(5, 4, ampleTime, decide.Part{ID: 9, Tokens: 100}, own(3))
		harness.Run(2 * time.Second)
		checkDuration(t, "time to first token with a different prefix", third.first, prefillTime(3820)+first+4*(step+each))
		if e := harness.Engines["e"]; e.ReadTokens != 17020+3720+3820 || e.CachedTokens != 13300 || e.RereadTokens != 3720 {
			t.Errorf("%d tokens prefilled, %d from the cache, %d prefilled again", e.ReadTokens, e.CachedTokens, e.RereadTokens)
		}
	})
	t.Run("tokens come more slowly as more run", func(t *testing.T) {
		harness := newEngineHarness(t, plain)
		var requests []*requestResult
		for id := range uint64(20) {
			requests = append(requests, harness.send(5, 400, ampleTime, decide.Part{ID: 100 + id, Tokens: 10}))
		}
		harness.Run(10 * time.Second)
		checkDuration(t, "400 tokens with 20 running requests", requests[19].last-requests[19].first, 396*(step+20*each))
	})
	t.Run("prompts are read between the tokens of others", func(t *testing.T) {
		harness := newEngineHarness(t, plain)
		request := harness.send(5, 400, ampleTime, decide.Part{ID: 4, Tokens: 10})
		harness.Run(time.Second)
		before := request.longestPause
		harness.send(5, 4, ampleTime, shared, own(5))
		harness.Run(2 * time.Second)
		checkDuration(t, "a pause during another request's prefill", request.longestPause, 4*(step+each+prefillTime(1024)))
		checkDuration(t, "a pause without a prefill", before, 4*(step+each))
	})
	t.Run("parts unused for longest give way", func(t *testing.T) {
		harness := newEngineHarness(t, func(options *EngineOptions) { options.CacheTokens = 1000 })
		for _, id := range []uint64{1, 2, 1, 3} { // 3 evicts 2
			harness.send(5, 1, ampleTime, decide.Part{ID: id, Tokens: 400})
			harness.Run(time.Second)
		}
		e := harness.Engines["e"]
		if e.ReadTokens != 1200 || e.CachedTokens != 400 {
			t.Errorf("%d tokens prefilled, %d from the cache", e.ReadTokens, e.CachedTokens)
		}
		harness.send(5, 1, ampleTime, decide.Part{ID: 1, Tokens: 400})
		harness.Run(time.Second)
		harness.send(5, 1, ampleTime, decide.Part{ID: 2, Tokens: 400})
		harness.Run(time.Second)
		if e.ReadTokens != 1600 || e.CachedTokens != 800 {
			t.Errorf("then %d tokens prefilled, %d from the cache", e.ReadTokens, e.CachedTokens)
		}
	})
	t.Run("the newest of the least urgent is put back when memory runs out", func(t *testing.T) {
		harness := newEngineHarness(t, func(options *EngineOptions) { options.CacheTokens = 1000 })
		urgent := harness.send(0, 300, ampleTime, decide.Part{ID: 1, Tokens: 300})
		harness.Run(50 * time.Millisecond)
		old := harness.send(5, 300, ampleTime, decide.Part{ID: 2, Tokens: 300})
		harness.Run(10 * time.Millisecond)
		harness.send(5, 100, ampleTime, decide.Part{ID: 3, Tokens: 10})
		harness.Run(10 * time.Second)
		e := harness.Engines["e"]
		if e.Preemptions == 0 || e.RereadTokens == 0 {
			t.Errorf("%d requests preempted, %d tokens prefilled again", e.Preemptions, e.RereadTokens)
		}
		for _, request := range []*requestResult{urgent, old} {
			if request.events != 75 || !errors.Is(request.err, io.EOF) {
				t.Errorf("got %d events, %v", request.events, request.err)
			}
		}
		if urgent.longestPause > 100*time.Millisecond {
			t.Errorf("the urgent request paused for %v", urgent.longestPause)
		}
	})
	t.Run("urgent ones get in first, and a full one turns away", func(t *testing.T) {
		harness := newEngineHarness(t, func(options *EngineOptions) { options.Slots, options.Queue = 1, 2 })
		var requests []*requestResult
		for id := range uint64(4) {
			requests = append(requests, harness.send(5, 100, ampleTime, decide.Part{ID: 10 + id, Tokens: 10}))
			harness.Run(5 * time.Millisecond)
		}
		urgent := harness.send(0, 100, ampleTime, decide.Part{ID: 20, Tokens: 10})
		harness.Run(10 * time.Second)
		rejected := 0
		for _, request := range requests {
			if request.failure != nil {
				rejected++
				if request.failure.Verdict != verdict.NotRun || request.failure.Code != "replica_declined" {
					t.Errorf("rejected with %v %s", request.failure.Verdict, request.failure.Code)
				}
			}
		}
		if rejected != 2 || urgent.failure != nil || urgent.last > 900*time.Millisecond {
			t.Errorf("%d requests were rejected; the urgent request took %v, %v", rejected, urgent.last, urgent.failure)
		}
	})
	t.Run("one larger than the memory, and one whose time ends in the queue", func(t *testing.T) {
		harness := newEngineHarness(t, func(options *EngineOptions) { options.CacheTokens, options.Slots = 1000, 1 })
		large := harness.send(5, 10, ampleTime, decide.Part{ID: 1, Tokens: 995})
		harness.send(5, 100, ampleTime, decide.Part{ID: 2, Tokens: 10})
		harness.Run(10 * time.Millisecond)
		late := harness.send(5, 10, 300*time.Millisecond, decide.Part{ID: 3, Tokens: 10})
		harness.Run(3 * time.Second)
		if large.failure == nil || large.failure.Verdict != verdict.NotRun {
			t.Errorf("the request larger than the memory: %+v", large)
		}
		// The client's own deadline passes first, which does not tell whether the request ran.
		if late.failure == nil || late.failure.Code != "expired" || harness.Runs[2].Ran != 0 {
			t.Errorf("the request that expired in the queue: %+v, %+v", late.failure, harness.Runs[2])
		}
	})
	t.Run("another life, a leaving one, and a cold one that gets too much", func(t *testing.T) {
		harness := newEngineHarness(t, plain)
		harness.send(5, 1, ampleTime, decide.Part{ID: 1, Tokens: 10})
		harness.Run(time.Second)
		harness.Engines["e"].Leaving = true
		harness.send(5, 1, ampleTime, decide.Part{ID: 1, Tokens: 10})
		harness.Run(time.Second)
		if harness.EngineConnections != 1 || len(harness.relayer.idle["e"]) != 0 {
			t.Errorf("%d connections, %d kept open to a leaving engine", harness.EngineConnections, len(harness.relayer.idle["e"]))
		}
		previousLife := harness.Engines["e"].Life
		harness.Crash("e")
		harness.StartEngine(harness.Engines["e"].EngineOptions)
		harness.Run(10 * time.Millisecond)
		var failure *verdict.Error
		harness.contentByAttempt["x"] = requestContent{most: 1}
		harness.Node("d").Go(func() {
			_, failure = harness.relayer.Send(&replica.RoutedRequest{Replica: previousLife, Address: "e", ID: "x", Remaining: ampleTime, ConnectTimeout: time.Second, Gate: func() *verdict.Error { return nil }})
		})
		harness.Run(100 * time.Millisecond)
		if failure == nil || failure.Code != replica.RestartedCode || !harness.Runs[2].Elsewhere {
			t.Errorf("a request for a previous incarnation: %v", failure)
		}
		for id := range uint64(100) {
			harness.send(5, 1, ampleTime, decide.Part{ID: 100 + id, Tokens: 10})
		}
		harness.Run(time.Second)
		if harness.ColdCrashes != 1 || harness.Node("e").Up() {
			t.Errorf("the overloaded cold engine failed %d times", harness.ColdCrashes)
		}
	})
}
