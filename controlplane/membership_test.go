package controlplane

import (
	"testing"
	"time"

	"swifttiller/register"
	"swifttiller/session"
)

// TestPlanCoreChange checks which change of the core is planned for a core and what is known of its
// acceptors, and that the next core has as many members as the change implies.
func TestPlanCoreChange(t *testing.T) {
	const replaceAfter = 1500 * time.Millisecond
	core := register.Core{Epoch: 4, Members: []register.Member{{ID: "a-1", Address: "a", Name: "a"}, {ID: "b-1", Address: "b", Name: "b"}, {ID: "c-1", Address: "c", Name: "c"}}}
	four := register.Core{Epoch: 4, Members: append([]register.Member{{ID: "d-1", Address: "d", Name: "d"}}, core.Members...)}
	live := func(name, region string) AcceptorView {
		return AcceptorView{Member: session.Member{Name: name, Wire: name, Region: region, Zone: region + "-1", Acceptor: name + "-1"}, IsMember: true}
	}
	silent := func(silentFor time.Duration) AcceptorView { return AcceptorView{SilentFor: silentFor} }
	for _, testCase := range []struct {
		name  string
		core  register.Core
		seen  map[string]AcceptorView
		step  CoreChange
		isDue bool
	}{
		{"all acceptors are live", core, map[string]AcceptorView{}, CoreChange{}, false},
		{"one is silent, no spare", core, map[string]AcceptorView{"a-1": silent(time.Hour)}, CoreChange{}, false},
		{"two are silent, no spare", core, map[string]AcceptorView{"a-1": silent(time.Hour), "b-1": silent(time.Hour)}, CoreChange{}, false},
		{"one is silent for replaceAfter, one spare", core, map[string]AcceptorView{"a-1": silent(replaceAfter), "x-1": live("x", "east")}, CoreChange{Add: "x-1", Remove: "a-1"}, true},
		{"one is silent for less than replaceAfter, one spare", core, map[string]AcceptorView{"a-1": silent(replaceAfter - 1), "x-1": live("x", "east")}, CoreChange{}, false},
		{"a daemon is back with another disk", core, map[string]AcceptorView{"a-1": silent(0), "a-2": {Member: session.Member{Name: "a", Wire: "elsewhere", Acceptor: "a-2"}, IsMember: true}}, CoreChange{Add: "a-2", Remove: "a-1"}, true},
		{"another daemon runs at a silent one's address", core, map[string]AcceptorView{"a-1": silent(0), "x-1": {Member: session.Member{Name: "x", Wire: "a", Acceptor: "x-1"}, IsMember: true}}, CoreChange{Add: "x-1", Remove: "a-1"}, true},
		{"a daemon of the core has moved to a silent one's address", core, map[string]AcceptorView{"a-1": silent(time.Hour), "b-1": {Member: session.Member{Name: "b", Wire: "a", Acceptor: "b-1"}, IsMember: true}}, CoreChange{NeedsAll: true}, true},
		{"a daemon is back with another disk, which is in the core already", register.Core{Epoch: 4, Members: append([]register.Member{{ID: "a-2", Address: "a", Name: "a"}}, core.Members...)},
			map[string]AcceptorView{"a-1": silent(0), "a-2": {Member: session.Member{Name: "a", Wire: "a", Acceptor: "a-2"}, IsMember: true}}, CoreChange{Remove: "a-1"}, true},
		{"two spares, one in a region without an acceptor of the core", core, map[string]AcceptorView{"x-1": live("x", "a"), "y-1": live("y", "east")}, CoreChange{Add: "y-1", NeedsAll: true}, true},
		{"one spare, which is leaving", core, map[string]AcceptorView{"x-1": {Member: session.Member{Name: "x", Wire: "x", Acceptor: "x-1", Leaving: true}, IsMember: true}}, CoreChange{}, false},
		{"core of four, one is silent for shrinkAfter times replaceAfter", four, map[string]AcceptorView{"d-1": silent(shrinkAfter * replaceAfter)}, CoreChange{Remove: "d-1"}, true},
		{"core of four, one is silent for less than that", four, map[string]AcceptorView{"d-1": silent(shrinkAfter*replaceAfter - 1)}, CoreChange{}, false},
		{"core of four, one is silent, one spare", four, map[string]AcceptorView{"d-1": silent(shrinkAfter * replaceAfter), "x-1": live("x", "east")}, CoreChange{Add: "x-1", Remove: "d-1"}, true},
		{"core of four, one was shut down properly", four, map[string]AcceptorView{"d-1": {Member: session.Member{Name: "d", Leaving: true}, SilentFor: replaceAfter}}, CoreChange{Remove: "d-1"}, true},
		{"core of four, one is leaving", four, map[string]AcceptorView{"d-1": {Member: session.Member{Name: "d", Wire: "d", Leaving: true}, IsMember: true}}, CoreChange{}, false},
		{"core of two, one is silent, one spare, which is leaving", register.Core{Epoch: 4, Members: core.Members[:2]}, map[string]AcceptorView{"a-1": silent(time.Hour), "c-1": {Member: session.Member{Name: "c", Wire: "c", Leaving: true}, IsMember: true}}, CoreChange{}, false},
		{"core of seven, one spare", register.Core{Epoch: 4, Members: append([]register.Member{{ID: "d-1", Address: "d"}, {ID: "e-1", Address: "e"}, {ID: "f-1", Address: "f"}, {ID: "g-1", Address: "g"}}, core.Members...)},
			map[string]AcceptorView{"d-1": live("d", "d"), "e-1": live("e", "e"), "f-1": live("f", "f"), "g-1": live("g", "g"), "x-1": live("x", "x")}, CoreChange{}, false},
	} {
		for _, name := range []string{"a", "b", "c"} {
			if _, set := testCase.seen[name+"-1"]; !set {
				testCase.seen[name+"-1"] = live(name, name)
			}
		}
		step, isDue := PlanCoreChange(testCase.core, testCase.seen, replaceAfter)
		if step != testCase.step || isDue != testCase.isDue {
			t.Errorf("%s: planned %+v, due %v", testCase.name, step, isDue)
		}
		next := step.Next(testCase.core, testCase.seen)
		votes := len(testCase.core.Members)
		if step.Add != "" {
			votes++
		}
		if step.Remove != "" {
			votes--
		}
		if len(next) != votes {
			t.Errorf("%s: %d members after the change, not %d: %v", testCase.name, len(next), votes, next)
		}
	}
}
