package fleet_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"swifttiller/fleet"
)

var (
	seedCount = flag.Int("seeds", 1, "number of seeds to search")
	firstSeed = flag.Uint64("seed", 1, "the first seed")
)

// reportViolations fails the test with up to three violations of each rule.
func reportViolations(t *testing.T, seed uint64, violations []fleet.Violation) {
	t.Helper()
	shown := map[string]int{}
	for _, violation := range violations {
		if shown[violation.Rule]++; shown[violation.Rule] <= 3 {
			t.Errorf("seed %d: %v", seed, violation)
		}
	}
}

// settleAndFinish lets the cluster settle after faults, counts the requests answered from then on, and lets the
// callers finish.
func settleAndFinish(cluster *fleet.Cluster) (answered, asked int) {
	cluster.Run(10 * time.Second)
	from := cluster.Now()
	cluster.Run(8 * time.Second)
	answered, asked = fleet.Rate(cluster, from, cluster.Now())
	cluster.Quiet = true
	cluster.Run(12 * time.Second)
	return answered, asked
}

// runFaults injects the faults one after the other into a warm fleet and checks every rule. At least nine
// tenths of the requests must be answered at the end.
func runFaults(t *testing.T, plan string, seed uint64, faults ...fleet.Fault) {
	t.Helper()
	cluster := fleet.NewCluster(seed, fleet.Plans[plan]())
	defer cluster.Close()
	cluster.Run(warmupTime)
	facts := cluster.Begin()
	facts.Planned = true
	for _, fault := range faults {
		facts.Planned = facts.Planned && fault.Planned
		fault.Run(cluster, &facts)
		cluster.Run(time.Duration(cluster.Draw(int64(3 * time.Second))))
	}
	answered, asked := settleAndFinish(cluster)
	violations, checked := fleet.Check(cluster, facts)
	reportViolations(t, seed, violations)
	for _, missed := range facts.FailedPreconditions {
		t.Errorf("%s seed %d: vacuous: %v", plan, seed, missed)
	}
	if len(faults) == 1 {
		for _, rule := range faults[0].Judges {
			if checked[rule] == 0 {
				t.Errorf("%s seed %d: vacuous: the checker for %q had nothing to check", plan, seed, rule)
			}
		}
	}
	if answered*10 < asked*9 {
		t.Errorf("%s seed %d: answered only %d of %d requests after the faults", plan, seed, answered, asked)
	}
}

func TestFaultsSingly(t *testing.T) {
	t.Parallel()
	for offset := uint64(0); offset < uint64(*seedCount); offset++ {
		for name := range fleet.Plans {
			for index, fault := range fleet.Faults {
				if testing.Short() && index%9 != 2 {
					continue
				}
				seed := *firstSeed + offset
				t.Run(fmt.Sprintf("%s/%s/%d", name, fault.Name, seed), func(t *testing.T) {
					t.Parallel()
					runFaults(t, name, seed, fault)
					if t.Failed() {
						t.Logf("replay: go test ./fleet -run '%s' -seed %d", t.Name(), seed)
					}
				})
			}
		}
	}
}

// TestFaultsInPairs injects two faults, chosen by the seed, one after the other. CI runs
// a few seeds; -seeds and -seed search further.
func TestFaultsInPairs(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation that runs one goroutine at a time, which gives the race detector nothing to check")
	}
	for offset := uint64(0); offset < uint64(*seedCount)*4; offset++ {
		seed := *firstSeed + offset
		name := []string{"sahayogi", "sklepik"}[seed%2]
		draw := rand.New(rand.NewPCG(seed, 5))
		earlier := fleet.Faults[draw.IntN(len(fleet.Faults))]
		later := fleet.Faults[draw.IntN(len(fleet.Faults))]
		t.Run(fmt.Sprintf("%s/%s then %s/%d", name, earlier.Name, later.Name, seed), func(t *testing.T) {
			t.Parallel()
			runFaults(t, name, seed, earlier, later)
			if t.Failed() {
				t.Logf("replay: go test ./fleet -run 'TestFaultsInPairs/.*/.*/%d$' -seed %d", seed, seed)
			}
		})
	}
}

// TestSameSeedSameRun verifies that a run depends only on its seed, so that a failing seed can be
// replayed.
func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation that runs one goroutine at a time, which gives the race detector nothing to check")
	}
	for _, fault := range fleet.Faults {
		if !slices.Contains([]string{"evacuation and hand-back", "data daemon killed", "core split", "calls lost, repeated and late"}, fault.Name) {
			continue
		}
		t.Run(fault.Name, func(t *testing.T) {
			t.Parallel()
			run := func() (steps, served int) {
				cluster := fleet.NewCluster(77, fleet.Sklepik())
				defer cluster.Close()
				cluster.Run(8 * time.Second)
				facts := cluster.Begin()
				fault.Run(cluster, &facts)
				cluster.Run(5 * time.Second)
				return cluster.Steps, len(cluster.Logs())
			}
			steps, served := run()
			if stepsAgain, servedAgain := run(); stepsAgain != steps || servedAgain != served {
				t.Errorf("the same seed took %d steps and %d, served %d and %d", steps, stepsAgain, served, servedAgain)
			}
		})
	}
}
