package standing_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/standing"
)

// settled gives the steps of each replica, by id.
func settled(one standing.Standing) map[string]int {
	out := map[string]int{}
	for _, place := range one.Places {
		out[place.ID] = place.Settled
	}
	return out
}

// TestNewcomersSettle: a replica that joins others, or comes back, takes its shared parts over
// in steps, all newcomers at the same moments; where all are new each has them at once.
func TestNewcomersSettle(t *testing.T) {
	input := openInput(standing.Route{})
	all := input.Replicas
	input.Replicas = all[:4]
	now := standing.Compute(input)
	for id, steps := range settled(now) {
		if steps != standing.SettledWhole {
			t.Errorf("%s, there from the start, has %d steps", id, steps)
		}
	}
	next := func(replicas []standing.Replica, span time.Duration) {
		before := now
		input.Before, input.Since, input.Replicas = &before, span, replicas
		now = standing.Compute(input)
	}
	next(all[:4], time.Second)
	next(all[:5], time.Second)
	next(all, time.Second)
	if steps := settled(now); steps["r0"] != standing.SettledWhole || steps["r4"] != 0 || steps["r5"] != 0 {
		t.Errorf("right after two came: %v", steps)
	}
	writes := 0
	for range 200 {
		before := now
		next(all, time.Second)
		if !standing.Same(before, now) {
			writes++
			if steps := settled(now); steps["r4"] != steps["r5"] || steps["r4"] != writes {
				t.Fatalf("after %d steps: %v", writes, steps)
			}
		}
	}
	if writes != standing.SettledWhole || settled(now)["r4"] != standing.SettledWhole {
		t.Errorf("%d writes: %v", writes, settled(now))
	}
	next(all[1:], time.Second)
	next(all, time.Second)
	if steps := settled(now); steps["r0"] != 0 || steps["r1"] != standing.SettledWhole {
		t.Errorf("after one was away: %v", steps)
	}
	for at := range all {
		all[at].Boot = fmt.Sprint("new-", at)
	}
	next(all, time.Second)
	if steps := settled(now); steps["r0"] != standing.SettledWhole || steps["r5"] != standing.SettledWhole {
		t.Errorf("after all began anew: %v", steps)
	}
}
