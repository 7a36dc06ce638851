package permit

import (
	"encoding/json"
	"testing"
	"time"

	"swifttiller/session"
	"swifttiller/sim"
	"swifttiller/standing"
	"swifttiller/wire"
)

// TestNoticesLeaveOut: a life that leaves is in no view from the notice on, one that a
// written standing has no more in none that is older; other lives of the same replica stay,
// and what is known is not forgotten for a notice that says less.
func TestNoticesLeaveOut(t *testing.T) {
	park := sim.New(1)
	park.Start("d", func(*sim.Node) {})
	holder := NewHolder(HolderOptions{World: park.Node("d"), Self: func() session.Member { return session.Member{Name: "d"} }})
	granted := func(serial uint64, lives ...Leaver) {
		one := standing.Standing{Region: "r", Serial: serial}
		for _, life := range lives {
			one.Places = append(one.Places, standing.Place{ID: life.Replica, Boot: life.Boot})
			one.Rows = append(one.Rows, standing.Row{Replica: life.Replica})
		}
		text, err := json.Marshal(one)
		if err != nil {
			t.Fatal(err)
		}
		grant := &Grant{Length: time.Second, Kept: map[string]time.Duration{"r": 0}, Standings: []Told{{Region: "r", Serial: serial, Packed: wire.Pack(text, nil)}}}
		if !holder.take(grant, park.Now()) {
			t.Fatal("the grant is not taken")
		}
	}
	heed := func(serial uint64, life Leaver) {
		heeded := false
		if err := holder.Heed(Notice{Region: "r", Leavers: []Leaver{life}, Serial: serial}, &heeded); err != nil || !heeded {
			t.Fatal(err)
		}
	}
	shows := func(when string, want ...string) {
		t.Helper()
		one := holder.View().Standings["r"]
		var have []string
		for at, place := range one.Places {
			have = append(have, place.ID)
			if one.Rows[at].Replica != place.ID {
				t.Errorf("%s: rows and places differ", when)
			}
		}
		if len(have) != len(want) {
			t.Fatalf("%s: %v, not %v", when, have, want)
		}
		for at := range want {
			if have[at] != want[at] {
				t.Errorf("%s: %v, not %v", when, have, want)
			}
		}
	}
	a, b, c := Leaver{"a", "1"}, Leaver{"b", "1"}, Leaver{"c", "1"}
	granted(1, a, b, c)
	shows("at first", "a", "b", "c")
	heed(0, a)
	shows("a leaves", "b", "c")
	heed(3, b)
	shows("b is in none below the third", "c")
	heed(9, a)
	granted(2, a, b, c)
	shows("an older standing comes late", "c")
	granted(3, b, c)
	shows("b is back", "b", "c")
	heed(2, b)
	shows("a notice comes late", "b", "c")
	granted(10, Leaver{"a", "2"}, b, c)
	shows("another life of a", "a", "b", "c")
	granted(11, a, b, c)
	shows("a that leaves is in no later one", "b", "c")
	park.Run(noticedSpan + time.Second)
	heed(0, c)
	granted(12, a, b, c)
	shows("long after, a is forgotten", "a", "b")
}
