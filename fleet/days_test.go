package fleet_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

var days = flag.Int("days", 4, "how many drawn days to play in each fleet")

// TestDays plays days on which mishaps and operators' work overlap, as drawn by the
// seed, and checks every rule over them. CI plays a few; -days and -seed search.
func TestDays(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation; the race detector has one task at a time to look at")
	}
	for name, plan := range fleet.Plans {
		for seed := *first; seed < *first+uint64(*days); seed++ {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				park := fleet.NewPark(seed, plan())
				defer park.Close()
				park.Run(warm)
				facts := park.Begin()
				facts.SmallShare = 0.1
				passed := park.Day(&facts, seed, 6+int(seed%20), 45*time.Second)
				answered, asked := ends(park)
				broken, judged := fleet.Check(park, facts)
				show(t, seed, broken)
				for _, missed := range facts.Missed {
					t.Errorf("seed %d: %v", seed, missed)
				}
				if answered*10 < asked*9 {
					t.Errorf("seed %d: serves %d of %d in the end", seed, answered, asked)
				}
				if judged["twice"] == 0 || judged["foreign"] == 0 || len(passed) < 3 {
					t.Errorf("seed %d: vacuous: judged %v on %v", seed, judged, passed)
				}
				if t.Failed() {
					t.Log(strings.Join(passed, "; "))
					t.Logf("replay: go test ./fleet -run 'TestDays/%s/%d$' -days 1 -seed %d", name, seed, seed)
				}
			})
		}
	}
}
