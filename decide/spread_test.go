package decide_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/sim"
)

// TestShortPromptsUseAllReplicas checks that, where replicas don't report their load, the short
// prompts of a region are spread over all its replicas, whatever long prompts these also get.
func TestShortPromptsUseAllReplicas(t *testing.T) {
	bench := newHealthBench(t, 30, oncePath)
	bench.Run(20 * time.Second)
	most, least := 0, bench.total
	for index := range 30 {
		if region := index % 6; region > 2 {
			continue // in another region
		}
		count := len(bench.sent[fmt.Sprint("i-", index)])
		most, least = max(most, count), min(least, count)
	}
	if least == 0 || most > 4*least {
		t.Errorf("the busiest of 15 replicas got %d of %d requests, the least busy %d", most, bench.total, least)
	}
}

// TestSilenceAlone checks that silence alone makes a replica Silent, and that it is Failing only
// on further evidence, here that the routing table no longer lists it.
func TestSilenceAlone(t *testing.T) {
	view := routedView(30)
	world := sim.New(1)
	t.Cleanup(world.Close)
	var suspicions []decide.Suspicion
	world.Start("x", func(node *sim.Node) {
		decider := decide.New(decide.Options{World: node, View: func() *lease.View { return view }, Self: session.Member{Name: "x", Role: session.Data, Region: "a", Zone: "a-1"}})
		routed := &decide.Routed{ID: "r", Host: "h.example", Path: resumedPath, Tokens: 17020, MaxAnswerTokens: 48, Deadline: node.Now() + time.Minute}
		if failure := decider.Resolve(routed); failure != nil {
			t.Error(failure.Code)
			return
		}
		selection, failure := decider.Route(routed, nil)
		if failure != nil {
			t.Error(failure.Code)
			return
		}
		suspectAfter := func(span time.Duration) {
			loop.Sleep(node, span)
			suspicions = append(suspicions, decider.Suspicion(selection))
		}
		suspectAfter(100 * time.Millisecond)
		suspectAfter(10 * time.Second)
		others := *view
		others.RoutingTables = map[string]routing.Table{"a": {Region: "a"}}
		view = &others
		suspectAfter(time.Second)
	})
	world.Run(20 * time.Second)
	if want := []decide.Suspicion{decide.Unsuspected, decide.Silent, decide.Failing}; fmt.Sprint(suspicions) != fmt.Sprint(want) {
		t.Errorf("suspected %v, not %v", suspicions, want)
	}
}
