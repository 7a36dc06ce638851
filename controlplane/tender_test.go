package controlplane

import (
	"testing"
	"time"

	"swifttiller/register"
	"swifttiller/session"
)

func TestTend(t *testing.T) {
	const bound = 1500 * time.Millisecond
	core := register.Core{Epoch: 4, Members: []register.Member{{ID: "a-1", Address: "a", Name: "a"}, {ID: "b-1", Address: "b", Name: "b"}, {ID: "c-1", Address: "c", Name: "c"}}}
	four := register.Core{Epoch: 4, Members: append([]register.Member{{ID: "d-1", Address: "d", Name: "d"}}, core.Members...)}
	here := func(name, region string) Sighting {
		return Sighting{Member: session.Member{Name: name, Wire: name, Region: region, Zone: region + "-1", Acceptor: name + "-1"}, IsMember: true}
	}
	gone := func(unheard time.Duration) Sighting { return Sighting{Unheard: unheard} }
	for _, one := range []struct {
		name  string
		core  register.Core
		seen  map[string]Sighting
		step  Tended
		isDue bool
	}{
		{"all there", core, map[string]Sighting{}, Tended{}, false},
		{"one silent, nobody waits", core, map[string]Sighting{"a-1": gone(time.Hour)}, Tended{}, false},
		{"two silent, nobody waits", core, map[string]Sighting{"a-1": gone(time.Hour), "b-1": gone(time.Hour)}, Tended{}, false},
		{"one silent for long, one waits", core, map[string]Sighting{"a-1": gone(bound), "x-1": here("x", "east")}, Tended{Add: "x-1", Remove: "a-1"}, true},
		{"one silent for a moment, one waits", core, map[string]Sighting{"a-1": gone(bound - 1), "x-1": here("x", "east")}, Tended{}, false},
		{"one back with another disk", core, map[string]Sighting{"a-1": gone(0), "a-2": {Member: session.Member{Name: "a", Wire: "elsewhere", Acceptor: "a-2"}, IsMember: true}}, Tended{Add: "a-2", Remove: "a-1"}, true},
		{"another at its address", core, map[string]Sighting{"a-1": gone(0), "x-1": {Member: session.Member{Name: "x", Wire: "a", Acceptor: "x-1"}, IsMember: true}}, Tended{Add: "x-1", Remove: "a-1"}, true},
		{"one of the core has moved to a silent one's address", core, map[string]Sighting{"a-1": gone(time.Hour), "b-1": {Member: session.Member{Name: "b", Wire: "a", Acceptor: "b-1"}, IsMember: true}}, Tended{Whole: true}, true},
		{"back with another disk, which votes already", register.Core{Epoch: 4, Members: append([]register.Member{{ID: "a-2", Address: "a", Name: "a"}}, core.Members...)},
			map[string]Sighting{"a-1": gone(0), "a-2": {Member: session.Member{Name: "a", Wire: "a", Acceptor: "a-2"}, IsMember: true}}, Tended{Remove: "a-1"}, true},
		{"one waits where there is no vote yet", core, map[string]Sighting{"x-1": here("x", "a"), "y-1": here("y", "east")}, Tended{Add: "y-1", Whole: true}, true},
		{"one waits that is about to stop", core, map[string]Sighting{"x-1": {Member: session.Member{Name: "x", Wire: "x", Acceptor: "x-1", Leaving: true}, IsMember: true}}, Tended{}, false},
		{"four, one silent for long", four, map[string]Sighting{"d-1": gone(dropAfter * bound)}, Tended{Remove: "d-1"}, true},
		{"four, one silent, not for long", four, map[string]Sighting{"d-1": gone(dropAfter*bound - 1)}, Tended{}, false},
		{"four, one silent, one waits", four, map[string]Sighting{"d-1": gone(dropAfter * bound), "x-1": here("x", "east")}, Tended{Add: "x-1", Remove: "d-1"}, true},
		{"four, one gone in order", four, map[string]Sighting{"d-1": {Member: session.Member{Name: "d", Leaving: true}, Unheard: bound}}, Tended{Remove: "d-1"}, true},
		{"four, one going in order", four, map[string]Sighting{"d-1": {Member: session.Member{Name: "d", Wire: "d", Leaving: true}, IsMember: true}}, Tended{}, false},
		{"two, one silent for long", register.Core{Epoch: 4, Members: core.Members[:2]}, map[string]Sighting{"a-1": gone(time.Hour), "c-1": {Member: session.Member{Name: "c", Wire: "c", Leaving: true}, IsMember: true}}, Tended{}, false},
		{"seven vote", register.Core{Epoch: 4, Members: append([]register.Member{{ID: "d-1", Address: "d"}, {ID: "e-1", Address: "e"}, {ID: "f-1", Address: "f"}, {ID: "g-1", Address: "g"}}, core.Members...)},
			map[string]Sighting{"d-1": here("d", "d"), "e-1": here("e", "e"), "f-1": here("f", "f"), "g-1": here("g", "g"), "x-1": here("x", "x")}, Tended{}, false},
	} {
		for _, name := range []string{"a", "b", "c"} {
			if _, set := one.seen[name+"-1"]; !set {
				one.seen[name+"-1"] = here(name, name)
			}
		}
		step, isDue := Tend(one.core, one.seen, bound)
		if step != one.step || isDue != one.isDue {
			t.Errorf("%s: %+v, %v", one.name, step, isDue)
		}
		next := step.Next(one.core, one.seen)
		votes := len(one.core.Members)
		if step.Add != "" {
			votes++
		}
		if step.Remove != "" {
			votes--
		}
		if len(next) != votes {
			t.Errorf("%s: %d votes after the step, not %d: %v", one.name, len(next), votes, next)
		}
	}
}
