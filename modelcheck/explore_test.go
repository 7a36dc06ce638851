package modelcheck

import (
	"testing"
)

// Bounds of the search in each world. They are counts and not durations, so that the result of the
// test is the same each time.
const (
	ciRuns        = 3000
	ciDaemonRuns  = 1200 // runs with whole daemons take longer
	shortRuns     = 300
	maxDeviations = 6
)

// TestWorlds explores all worlds within fixed bounds. It fails if a run violates an invariant, and if
// a world reaches so few states that the search would show nothing.
func TestWorlds(t *testing.T) {
	for name, world := range AllWorlds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bounds := Bounds{Runs: ciRuns, Deviations: maxDeviations}
			if _, isOfRegisters := Worlds[name]; !isOfRegisters {
				bounds.Runs = ciDaemonRuns
			}
			if testing.Short() {
				bounds.Runs = shortRuns
			}
			report := Explore(world, bounds)
			t.Log(report)
			if report.Counterexample != nil {
				t.Errorf("broken promise: %s", name)
			}
			if report.States < 100 {
				t.Errorf("vacuous: the search visited only %d states", report.States)
			}
		})
	}
}
