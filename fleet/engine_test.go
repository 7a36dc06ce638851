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

// told is what became of one request that was sent to an engine.
type told struct {
	first, last, pause time.Duration // since it was sent
	events             int
	err                error
	mishap             *verdict.Error
	head               replica.Head
}

// lone is a park of one engine, and a node that sends to it.
type lone struct {
	*Park
	relayer *relayer
	count   int
}

func newLone(t *testing.T, change func(*EngineOptions)) *lone {
	options := engine("e", "a-1", mainModel, true)
	change(&options)
	park := NewBarePark(1, Plan{Engines: []EngineOptions{options}})
	t.Cleanup(park.Close)
	park.Latency, park.Jitter = time.Microsecond, 0
	park.zones["d"] = "a-1"
	park.Start("d", func(*sim.Node) {})
	return &lone{Park: park, relayer: &relayer{park, park.Node("d"), map[string][]*wireLine{}}}
}

// send sends a request now, and notes what becomes of it.
func (lone *lone) send(urgency, most int, left time.Duration, parts ...decide.Part) *told {
	lone.count++
	id, out := fmt.Sprint("r", lone.count), &told{}
	lone.askedOf[id] = asked{parts, most}
	lone.Node("d").Go(func() {
		sent := lone.Now()
		ask := &replica.RoutedRequest{Replica: lone.Engines["e"].Life, Address: "e", ID: id, Remaining: left, Urgency: urgency, ConnectTimeout: time.Second, UnackedTimeout: 2 * time.Second, Gate: func() *verdict.Error { return nil }}
		answer, mishap := lone.relayer.Send(ask)
		if mishap != nil {
			out.mishap = mishap
			return
		}
		out.head = answer.Head
		defer answer.Close()
		for {
			_, err := answer.Next()
			now := lone.Now() - sent
			if err != nil {
				out.err, out.last = err, now
				return
			}
			if out.events++; out.first == 0 {
				out.first = now
			} else {
				out.pause = max(out.pause, now-out.last)
			}
			out.last = now
		}
	})
	return out
}

func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want-want/50-time.Millisecond || got > want+want/50+time.Millisecond {
		t.Errorf("%s took %v, not %v", what, got, want)
	}
}

const someTime = 20 * time.Second

// TestEngine: the stand-in has the properties that it stands in for.
func TestEngine(t *testing.T) {
	t.Parallel()
	plain := func(*EngineOptions) {}
	reading := func(tokens int) time.Duration {
		return time.Duration(float64(tokens) / 54.6 * float64(time.Millisecond))
	}
	const step, each, first = 5610 * time.Microsecond, 121 * time.Microsecond, 61 * time.Millisecond
	shared, own := decide.Part{ID: 1, Tokens: 13300}, func(id uint64) decide.Part { return decide.Part{ID: id, Tokens: 3720} }

	t.Run("prompts are read, parts kept, and tokens come in strides", func(t *testing.T) {
		lone := newLone(t, plain)
		one := lone.send(5, 10, someTime, shared, own(2))
		lone.Run(2 * time.Second)
		near(t, "the first piece", one.first, reading(17020)+first+4*(step+each))
		near(t, "the whole", one.last, reading(17020)+first+10*(step+each))
		if one.events != 3 || !errors.Is(one.err, io.EOF) || !one.head.HasLoad || one.head.Running != 1 || one.head.Slots != 64 {
			t.Errorf("got %d events, %v, %+v", one.events, one.err, one.head)
		}
		two := lone.send(5, 4, someTime, shared, own(3))
		lone.Run(2 * time.Second)
		near(t, "the first piece behind kept parts", two.first, reading(3720)+first+4*(step+each))
		// The last part counts as kept only behind all before it.
		three := lone.send(5, 4, someTime, decide.Part{ID: 9, Tokens: 100}, own(3))
		lone.Run(2 * time.Second)
		near(t, "the first piece behind another beginning", three.first, reading(3820)+first+4*(step+each))
		if e := lone.Engines["e"]; e.ReadTokens != 17020+3720+3820 || e.KeptTokens != 13300 || e.AgainTokens != 3720 {
			t.Errorf("read %d, kept %d, again %d", e.ReadTokens, e.KeptTokens, e.AgainTokens)
		}
	})
	t.Run("tokens come more slowly as more run", func(t *testing.T) {
		lone := newLone(t, plain)
		var all []*told
		for id := range uint64(20) {
			all = append(all, lone.send(5, 400, someTime, decide.Part{ID: 100 + id, Tokens: 10}))
		}
		lone.Run(10 * time.Second)
		near(t, "400 tokens among 20", all[19].last-all[19].first, 396*(step+20*each))
	})
	t.Run("prompts are read between the tokens of others", func(t *testing.T) {
		lone := newLone(t, plain)
		one := lone.send(5, 400, someTime, decide.Part{ID: 4, Tokens: 10})
		lone.Run(time.Second)
		before := one.pause
		lone.send(5, 4, someTime, shared, own(5))
		lone.Run(2 * time.Second)
		near(t, "a pause beside reading", one.pause, 4*(step+each+reading(1024)))
		near(t, "a pause without", before, 4*(step+each))
	})
	t.Run("parts unused for longest give way", func(t *testing.T) {
		lone := newLone(t, func(options *EngineOptions) { options.CacheTokens = 1000 })
		for _, id := range []uint64{1, 2, 1, 3} { // 3 makes 2 give way
			lone.send(5, 1, someTime, decide.Part{ID: id, Tokens: 400})
			lone.Run(time.Second)
		}
		e := lone.Engines["e"]
		if e.ReadTokens != 1200 || e.KeptTokens != 400 {
			t.Errorf("read %d, kept %d", e.ReadTokens, e.KeptTokens)
		}
		lone.send(5, 1, someTime, decide.Part{ID: 1, Tokens: 400})
		lone.Run(time.Second)
		lone.send(5, 1, someTime, decide.Part{ID: 2, Tokens: 400})
		lone.Run(time.Second)
		if e.ReadTokens != 1600 || e.KeptTokens != 800 {
			t.Errorf("then read %d, kept %d", e.ReadTokens, e.KeptTokens)
		}
	})
	t.Run("the newest of the least urgent is put back when memory runs out", func(t *testing.T) {
		lone := newLone(t, func(options *EngineOptions) { options.CacheTokens = 1000 })
		urgent := lone.send(0, 300, someTime, decide.Part{ID: 1, Tokens: 300})
		lone.Run(50 * time.Millisecond)
		old := lone.send(5, 300, someTime, decide.Part{ID: 2, Tokens: 300})
		lone.Run(10 * time.Millisecond)
		lone.send(5, 100, someTime, decide.Part{ID: 3, Tokens: 10})
		lone.Run(10 * time.Second)
		e := lone.Engines["e"]
		if e.PutBack == 0 || e.AgainTokens == 0 {
			t.Errorf("put back %d, read again %d", e.PutBack, e.AgainTokens)
		}
		for _, one := range []*told{urgent, old} {
			if one.events != 75 || !errors.Is(one.err, io.EOF) {
				t.Errorf("got %d events, %v", one.events, one.err)
			}
		}
		if urgent.pause > 100*time.Millisecond {
			t.Errorf("the urgent one paused for %v", urgent.pause)
		}
	})
	t.Run("urgent ones get in first, and a full one turns away", func(t *testing.T) {
		lone := newLone(t, func(options *EngineOptions) { options.Berths, options.Queue = 1, 2 })
		var all []*told
		for id := range uint64(4) {
			all = append(all, lone.send(5, 100, someTime, decide.Part{ID: 10 + id, Tokens: 10}))
			lone.Run(5 * time.Millisecond)
		}
		urgent := lone.send(0, 100, someTime, decide.Part{ID: 20, Tokens: 10})
		lone.Run(10 * time.Second)
		turned := 0
		for _, one := range all {
			if one.mishap != nil {
				turned++
				if one.mishap.Verdict != verdict.NotRun || one.mishap.Code != "replica_declined" {
					t.Errorf("turned away with %v %s", one.mishap.Verdict, one.mishap.Code)
				}
			}
		}
		if turned != 2 || urgent.mishap != nil || urgent.last > 900*time.Millisecond {
			t.Errorf("%d were turned away; the urgent one took %v, %v", turned, urgent.last, urgent.mishap)
		}
	})
	t.Run("one larger than the memory, and one whose time ends in the queue", func(t *testing.T) {
		lone := newLone(t, func(options *EngineOptions) { options.CacheTokens, options.Berths = 1000, 1 })
		large := lone.send(5, 10, someTime, decide.Part{ID: 1, Tokens: 995})
		lone.send(5, 100, someTime, decide.Part{ID: 2, Tokens: 10})
		lone.Run(10 * time.Millisecond)
		late := lone.send(5, 10, 300*time.Millisecond, decide.Part{ID: 3, Tokens: 10})
		lone.Run(3 * time.Second)
		if large.mishap == nil || large.mishap.Verdict != verdict.NotRun {
			t.Errorf("the large one: %+v", large)
		}
		// Its client's own time ends first, and that says nothing of having run.
		if late.mishap == nil || late.mishap.Code != "expired" || lone.Runs[2].Ran != 0 {
			t.Errorf("the late one: %+v, %+v", late.mishap, lone.Runs[2])
		}
	})
	t.Run("another life, a leaving one, and a cold one that gets too much", func(t *testing.T) {
		lone := newLone(t, plain)
		lone.send(5, 1, someTime, decide.Part{ID: 1, Tokens: 10})
		lone.Run(time.Second)
		lone.Engines["e"].Leaving = true
		lone.send(5, 1, someTime, decide.Part{ID: 1, Tokens: 10})
		lone.Run(time.Second)
		if lone.Dialled != 1 || len(lone.relayer.idle["e"]) != 0 {
			t.Errorf("%d connections, %d kept to one that leaves", lone.Dialled, len(lone.relayer.idle["e"]))
		}
		meant := lone.Engines["e"].Life
		lone.Crash("e")
		lone.StartEngine(lone.Engines["e"].EngineOptions)
		lone.Run(10 * time.Millisecond)
		var mishap *verdict.Error
		lone.askedOf["x"] = asked{most: 1}
		lone.Node("d").Go(func() {
			_, mishap = lone.relayer.Send(&replica.RoutedRequest{Replica: meant, Address: "e", ID: "x", Remaining: someTime, ConnectTimeout: time.Second, Gate: func() *verdict.Error { return nil }})
		})
		lone.Run(100 * time.Millisecond)
		if mishap == nil || mishap.Code != replica.RestartedCode || !lone.Runs[2].Elsewhere {
			t.Errorf("meant for another life: %v", mishap)
		}
		for id := range uint64(100) {
			lone.send(5, 1, someTime, decide.Part{ID: 100 + id, Tokens: 10})
		}
		lone.Run(time.Second)
		if lone.Fallen != 1 || lone.Node("e").Up() {
			t.Errorf("fell over %d times", lone.Fallen)
		}
	})
}
