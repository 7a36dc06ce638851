package fleet_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

var days = flag.Int("days", 4, "number of random days to simulate in each fleet")

// TestDays simulates days on which failures and operators' work overlap at random, as determined
// by the seed, and checks every rule. CI runs a few; -days and -seed search further.
func TestDays(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation that runs one goroutine at a time, which gives the race detector nothing to check")
	}
	for name, plan := range fleet.Plans {
		for seed := *firstSeed; seed < *firstSeed+uint64(*days); seed++ {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				cluster := fleet.NewCluster(seed, plan())
				defer cluster.Close()
				cluster.Run(warmupTime)
				facts := cluster.Begin()
				facts.SmallShare = 0.1
				passed := cluster.Day(&facts, seed, 6+int(seed%20), 45*time.Second)
				answered, asked := settleAndFinish(cluster)
				violations, checked := fleet.Check(cluster, facts)
				reportViolations(t, seed, violations)
				for _, missed := range facts.FailedPreconditions {
					t.Errorf("seed %d: a fault did not take effect: %v", seed, missed)
				}
				if answered*10 < asked*9 {
					t.Errorf("seed %d: answered only %d of %d requests after the faults", seed, answered, asked)
				}
				if checked["twice"] == 0 || checked["foreign"] == 0 || len(passed) < 3 {
					t.Errorf("seed %d: vacuous: judged %v on %v", seed, checked, passed)
				}
				if t.Failed() {
					t.Log(strings.Join(passed, "; "))
					t.Logf("replay: go test ./fleet -run 'TestDays/%s/%d$' -days 1 -seed %d", name, seed, seed)
				}
			})
		}
	}
}
