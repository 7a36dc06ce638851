package decide_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/session"
	"swifttiller/sim"
	"swifttiller/verdict"
)

// TestSuccessorReadsForAll: where the owner of a shared part can't be reached, all daemons send
// what has that part to the same other replica, so that it is read again once and not by
// each daemon elsewhere; once the owner is back, they go to one of the two.
func TestSuccessorReadsForAll(t *testing.T) {
	world := sim.New(1)
	t.Cleanup(world.Close)
	view := routedView(30)
	for _, one := range view.Standings {
		for at := range one.Places {
			one.Places[at].Slot = at + 1
		}
	}
	const daemons, parts = 12, 8
	deciders := map[string]*decide.Decider{}
	for index := range daemons {
		name := fmt.Sprint("d", index)
		region := []string{"a", "b", "c"}[index%3]
		world.Start(name, func(node *sim.Node) {
			deciders[name] = decide.New(decide.Options{World: node, Holder: func() *permit.View { return view }, Self: session.Member{Name: name, Role: session.Data, Region: region, Zone: region + "-1"}})
		})
	}
	world.Run(time.Millisecond)
	asked := 0
	// seats gives how many requests with the part went where, one of each daemon.
	seats := func(part int, failure func(replica string) *verdict.Mishap) map[string]int {
		where := map[string]int{}
		for name, decider := range deciders {
			world.Node(name).Go(func() {
				asked++
				routed := &decide.Routed{ID: "r", Host: "h.example", Path: resumedPath, Tokens: 17020, Most: 48, Bytes: 17000, Expiry: world.Now() + time.Minute,
					Parts: []decide.Part{{ID: uint64(part), Tokens: 13300}, {ID: uint64(1000 + asked), Tokens: 3720}}}
				if failure := decider.Direct(routed); failure != nil {
					t.Error(failure.Code)
					return
				}
				selection, routeFailure := decider.Route(routed, nil)
				if routeFailure != nil {
					t.Error(routeFailure.Code)
					return
				}
				where[selection.Replica]++
				ended := failure(selection.Replica)
				if ended == nil {
					loop.Sleep(world.Node(name), selection.Foreseen)
					decider.Heard(selection, nil)
					decider.Begun(selection, true)
				}
				decider.Unseat(selection, ended, time.Millisecond)
			})
			world.Run(time.Millisecond)
		}
		return where
	}
	well := func(string) *verdict.Mishap { return nil }
	for part := 1; part <= parts; part++ {
		owner := ""
		for name, count := range seats(part, well) {
			if owner = name; count != daemons {
				t.Fatalf("part %d has no owner: %d of %d went to %s", part, count, daemons, name)
			}
		}
		gone := func(replica string) *verdict.Mishap {
			if replica == owner {
				return &verdict.Mishap{Verdict: verdict.NotRun, Code: "replica_unreached"}
			}
			return nil
		}
		world.Run(2 * time.Second)
		if where := seats(part, gone); len(where) != 1 {
			t.Fatalf("part %d: %v before they know that %s is gone", part, where, owner)
		}
		if where := seats(part, well); len(where) != 1 || where[owner] > 0 {
			t.Errorf("part %d, whose owner %s is gone, is read at %v", part, owner, where)
		}
		world.Run(2 * time.Second)
		if where := seats(part, well); len(where) > 2 || where[owner] == 0 {
			t.Errorf("part %d, whose owner %s is back, is read at %v", part, owner, where)
		}
		world.Run(2 * time.Second)
	}
}
