package decide_test

import (
	"slices"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/sim"
	"swifttiller/verdict"
)

// healthBench is a decider in a simulation with many replicas, some of which fail.
type healthBench struct {
	*sim.Sim
	t       *testing.T
	decider *decide.Decider
	// fails returns the outcome of a request at the replica; nil is a success.
	fails func(replica string) *verdict.Error
	// failsSelection, if set, takes the place of fails and gets the whole selection.
	failsSelection func(selection *decide.Selection) *verdict.Error
	// onReject, if set, gets the rejections of requests that no replica was found for.
	onReject func(rejection *verdict.Error)
	view     *lease.View
	// sent holds the times of the requests to each replica; failed and all count requests
	// since the last takeCounts.
	sent          map[string][]time.Duration
	failed, total int
}

// Routes of a healthBench: the requests of the first may be repeated, those of the other not.
const (
	resumedPath = "/x/y"
	oncePath    = "/once/y"
)

func newHealthBench(t *testing.T, replicas int, path string) *healthBench {
	bench := &healthBench{Sim: sim.New(1), t: t, sent: map[string][]time.Duration{}, fails: func(string) *verdict.Error { return nil }}
	t.Cleanup(bench.Close)
	view := routedView(replicas)
	bench.view = view
	bench.Start("x", func(node *sim.Node) {
		bench.decider = decide.New(decide.Options{World: node, View: func() *lease.View { return view }, Self: session.Member{Name: "x", Role: session.Data, Region: "a", Zone: "a-1"}})
		for {
			loop.Sleep(node, 10*time.Millisecond)
			node.Go(func() { bench.request(node, path) })
		}
	})
	return bench
}

// request sends one request of 30 ms to the replica that the decider selects.
func (bench *healthBench) request(node *sim.Node, path string) {
	routed := &decide.Routed{ID: "r", Host: "h.example", Path: path, Tokens: 100, MaxAnswerTokens: 40, Deadline: node.Now() + 10*time.Second}
	if rejection := bench.decider.Resolve(routed); rejection != nil {
		bench.t.Error(rejection.Code)
		return
	}
	selection, rejection := bench.decider.Route(routed, nil)
	if rejection != nil && bench.onReject != nil {
		bench.onReject(rejection)
		return
	}
	if rejection != nil {
		bench.t.Errorf("%s at %v", rejection.Code, node.Now())
		return
	}
	bench.total++
	bench.sent[selection.Replica] = append(bench.sent[selection.Replica], node.Now())
	rejection = bench.fails(selection.Replica)
	if bench.failsSelection != nil {
		rejection = bench.failsSelection(selection)
	}
	loop.Sleep(node, 30*time.Millisecond)
	if rejection == nil {
		bench.decider.NoteAlive(selection, nil)
		bench.decider.NoteFirstChunk(selection, true)
	} else {
		bench.failed++
	}
	bench.decider.EndRouted(selection, rejection, 30*time.Millisecond)
}

func (bench *healthBench) takeCounts() (failed, all int) {
	failed, all = bench.failed, bench.total
	bench.failed, bench.total = 0, 0
	return failed, all
}

// idle lists the replicas that got no request in the span before now.
func (bench *healthBench) idle(span time.Duration) (names []string) {
	for name, sent := range bench.sent {
		if bench.Now()-sent[len(sent)-1] > span {
			names = append(names, name)
		}
	}
	return names
}

// busiest returns the replica that got the most requests.
func (bench *healthBench) busiest() (most string) {
	for name, sent := range bench.sent {
		if count := len(bench.sent[most]); len(sent) > count || len(sent) == count && name < most {
			most = name
		}
	}
	return most
}

var badAnswer = &verdict.Error{Verdict: verdict.Ran, Code: "replica_failed", Status: 502}

// TestFailingReplicasAreEjected: a replica that fails 4 of 10 requests is ejected, longer
// each time, so that few requests fail; it serves again soon after it has recovered.
func TestFailingReplicasAreEjected(t *testing.T) {
	for _, path := range []string{resumedPath, oncePath} {
		bench := newHealthBench(t, 30, path)
		bench.Run(3 * time.Second)
		bench.takeCounts()
		failing := bench.busiest()
		bench.fails = func(replica string) *verdict.Error {
			if replica == failing && bench.Draw(10) < 4 {
				return badAnswer
			}
			return nil
		}
		from := bench.Now()
		bench.Run(20 * time.Second)
		if failed, all := bench.takeCounts(); failed == 0 || failed > 16 {
			t.Errorf("%s: %d of %d requests failed, want 1 to 16", path, failed, all)
		}
		// Gaps between requests there. The first one follows its first failure, which alone is
		// only a penalty in the selection.
		var gaps []time.Duration
		last := from
		for _, at := range bench.sent[failing] {
			if gap := at - last; at > from && gap > 700*time.Millisecond {
				gaps = append(gaps, gap)
			}
			last = max(last, at)
		}
		if len(gaps) < 3 || slices.Max(gaps[2:]) <= gaps[1] || slices.Max(gaps) > 11*time.Second {
			t.Errorf("%s: gaps between requests to the failing replica are %v, want growing ones of at most 11 s", path, gaps)
		}
		bench.fails = func(string) *verdict.Error { return nil }
		bench.Run(15 * time.Second)
		if names := bench.idle(time.Second); len(names) > 0 {
			t.Errorf("%s: %v still get no requests after they have recovered", path, names)
		}
	}
}

// TestEjectedReplicasAreProbedSlowly: the first requests to a replica after its ejection are at
// least 140 ms apart, so that few fail if it has not recovered.
func TestEjectedReplicasAreProbedSlowly(t *testing.T) {
	bench := newHealthBench(t, 30, resumedPath)
	bench.Run(2 * time.Second)
	failing := bench.busiest()
	bench.fails = func(replica string) *verdict.Error {
		if replica == failing {
			return badAnswer
		}
		return nil
	}
	from := bench.Now()
	bench.Run(20 * time.Second)
	late := 0
	for at, when := range bench.sent[failing] {
		if when > from+time.Second {
			late++
			if gap := when - bench.sent[failing][at-1]; gap < 140*time.Millisecond {
				t.Errorf("two probe requests are only %v apart", gap)
			}
		}
	}
	if late == 0 || late > 12 {
		t.Errorf("%d requests went to a replica that fails all, want 1 to 12", late)
	}
}

// TestEjectedShareIsBounded: however many replicas fail, at most two in five of a region's
// are ejected, and of two none is. Ejecting more would overload the rest.
func TestEjectedShareIsBounded(t *testing.T) {
	for _, replicas := range []int{2, 3, 12, 30, 60} {
		bench := newHealthBench(t, replicas, oncePath)
		bench.Run(3 * time.Second)
		bench.fails = func(string) *verdict.Error {
			if bench.Draw(10) < 3 {
				return badAnswer
			}
			return nil
		}
		most := 0
		for range 100 {
			bench.Run(100 * time.Millisecond)
			most = max(most, len(bench.decider.Held("a")))
			inRegion := (replicas + 5) / 6 * 3
			if replicas < 4 {
				inRegion = replicas
			}
			if ejected := len(bench.decider.Held("a")); ejected*5 > inRegion*2 {
				t.Fatalf("%d of %d replicas are ejected, more than two in five", ejected, inRegion)
			}
		}
		if replicas == 2 && most > 0 {
			t.Errorf("%d of 2 replicas were ejected, want none", most)
		}
	}
}
