package decide_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/sim"
	"swifttiller/verdict"
)

// TestSuccessorTakesOverPrefill guards against duplicate prefill. While the owner of a shared part is
// unreachable, all daemons must send the requests with that part to the same other replica, and
// not each daemon to another one. Once the owner is back, the requests go to one of the two.
func TestSuccessorTakesOverPrefill(t *testing.T) {
	world := sim.New(1)
	t.Cleanup(world.Close)
	view := routedView(30)
	for _, table := range view.RoutingTables {
		for at := range table.Places {
			table.Places[at].Slot = at + 1
		}
	}
	const daemons, parts = 12, 8
	deciders := map[string]*decide.Decider{}
	for index := range daemons {
		name := fmt.Sprint("d", index)
		region := []string{"a", "b", "c"}[index%3]
		world.Start(name, func(node *sim.Node) {
			deciders[name] = decide.New(decide.Options{World: node, View: func() *lease.View { return view }, Self: session.Member{Name: name, Role: session.Data, Region: region, Zone: region + "-1"}})
		})
	}
	world.Run(time.Millisecond)
	requests := 0
	// send sends one request with the part from each daemon, and returns how many went to each replica.
	send := func(part int, failureAt func(replica string) *verdict.Error) map[string]int {
		counts := map[string]int{}
		for name, decider := range deciders {
			world.Node(name).Go(func() {
				requests++
				routed := &decide.Routed{ID: "r", Host: "h.example", Path: resumedPath, Tokens: 17020, MaxAnswerTokens: 48, Bytes: 17000, Deadline: world.Now() + time.Minute,
					Parts: []decide.Part{{ID: uint64(part), Tokens: 13300}, {ID: uint64(1000 + requests), Tokens: 3720}}}
				if failure := decider.Resolve(routed); failure != nil {
					t.Error(failure.Code)
					return
				}
				selection, routeFailure := decider.Route(routed, nil)
				if routeFailure != nil {
					t.Error(routeFailure.Code)
					return
				}
				counts[selection.Replica]++
				ended := failureAt(selection.Replica)
				if ended == nil {
					loop.Sleep(world.Node(name), selection.PredictedTTFT)
					decider.NoteAlive(selection, nil)
					decider.NoteFirstChunk(selection, true)
				}
				decider.EndRouted(selection, ended, time.Millisecond)
			})
			world.Run(time.Millisecond)
		}
		return counts
	}
	succeed := func(string) *verdict.Error { return nil }
	for part := 1; part <= parts; part++ {
		owner := ""
		for name, count := range send(part, succeed) {
			if owner = name; count != daemons {
				t.Fatalf("part %d has no owner: %d of %d requests went to %s", part, count, daemons, name)
			}
		}
		failOwner := func(replica string) *verdict.Error {
			if replica == owner {
				return &verdict.Error{Verdict: verdict.NotRun, Code: "replica_unreached"}
			}
			return nil
		}
		world.Run(2 * time.Second)
		if counts := send(part, failOwner); len(counts) != 1 {
			t.Fatalf("part %d: requests went to %v before the daemons knew that owner %s is gone", part, counts, owner)
		}
		if counts := send(part, succeed); len(counts) != 1 || counts[owner] > 0 {
			t.Errorf("part %d, whose owner %s is gone: requests went to %v", part, owner, counts)
		}
		world.Run(2 * time.Second)
		if counts := send(part, succeed); len(counts) > 2 || counts[owner] == 0 {
			t.Errorf("part %d, whose owner %s is back: requests went to %v", part, owner, counts)
		}
		world.Run(2 * time.Second)
	}
}
