package fleet_test

import (
	"slices"
	"testing"
	"time"

	"swifttiller/fleet"
)

// regional counts the bytes between regions by the method of their calls, what a call costs
// beside its body left out, from now on.
func regional(park *fleet.Park) map[string]int {
	out := map[string]int{}
	park.OnBytes = func(from, to, method string, bytes int) {
		if fleet.Region(park.Zone(from)) != fleet.Region(park.Zone(to)) {
			out[method] += bytes
		}
	}
	return out
}

// distant is a park whose regions are the way between apart from the very start.
func distant(seed uint64, plan fleet.Plan) *fleet.Park {
	park := fleet.NewPark(seed, plan)
	for _, from := range park.NodeNames() {
		for _, to := range park.NodeNames() {
			if fleet.Region(park.Zone(from)) != fleet.Region(park.Zone(to)) {
				park.Delay(from, to, between)
			}
		}
	}
	return park
}

// within checks the bytes between regions by method, against bounds by method.
func within(t *testing.T, what string, bytes map[string]int, bounds map[string]int) {
	t.Helper()
	names := make([]string, 0, len(bytes))
	for name := range bytes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.Logf("%s: %d bytes of %s between regions", what, bytes[name], name)
	}
	for name, bound := range bounds {
		if bytes[name] > bound {
			t.Errorf("%s: %d bytes of %s between regions", what, bytes[name], name)
		}
	}
}

// TestStartOfAllBytes: where all daemons begin at once, and again after a power cut, first
// grants are short, repairs bring what differs alone, and reads name what is held by marks; a
// core that changes carries little to who holds it already.
func TestStartOfAllBytes(t *testing.T) {
	t.Parallel()
	skipLong(t)
	plan := grown(88, 90, 6)
	park := distant(1, plan)
	defer park.Close()
	park.Run(15 * time.Second)
	controls, datas := powerCut(park)
	park.Run(3 * time.Second)
	again := regional(park)
	for _, name := range datas {
		park.StartData(name)
	}
	for _, name := range controls {
		park.Run(80 * time.Millisecond)
		park.StartControl(name)
	}
	park.Run(15 * time.Second)
	within(t, "after a power cut", again, map[string]int{"Permit.Renew": 130e3, "Register.Fetch": 50e3})
	for name, daemon := range park.Datas {
		if view := daemon.Holder.View(); !view.IsValid(park.Now()) || len(view.Members) != len(controls)+len(datas) {
			t.Errorf("%s knows %d members", name, len(view.Members))
		}
	}
	calm := regional(park)
	park.Run(10 * time.Second)
	within(t, "ten seconds of calm", calm, map[string]int{"Register.Query": 240e3, "Session.Share": 150e3})
	moved := regional(park)
	park.Crash("c6")
	park.Run(8 * time.Second)
	park.Place("fresh", "west-1")
	park.StartControl("fresh")
	if !park.Until(catchUp, func() bool { return park.Votes("fresh") }) {
		t.Error("the newcomer has no vote")
	}
	within(t, "a core machine that is replaced", moved, map[string]int{"Register.Seal": 25e3, "Register.Install": 30e3})
}
