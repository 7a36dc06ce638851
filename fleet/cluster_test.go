package fleet_test

import (
	"os"
	"runtime/debug"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/fleet"
)

// checkRules checks every rule and fails the test with each violation, the seed and a command to replay it.
func checkRules(t *testing.T, park *fleet.Cluster, facts fleet.Facts) {
	t.Helper()
	broken, _ := fleet.Check(park, facts)
	reportViolations(t, park.Seed, broken)
	for _, missed := range facts.FailedPreconditions {
		t.Errorf("seed %d: vacuous: %v", park.Seed, missed)
	}
	if t.Failed() {
		t.Fatalf("replay: go test ./fleet -run '%s' -count=1", t.Name())
	}
}

// factsSinceWarm returns the facts of a warm cluster, for checks from the time when it became warm.
func factsSinceWarm(park *fleet.Cluster, isPlanned bool) fleet.Facts {
	facts := park.Begin()
	facts.From, facts.Planned = warmupTime, isPlanned
	return facts
}

// warmupTime is the time after which a cold-started fleet has warmed up.
const warmupTime = 15 * time.Second

// TestCalmFleet checks that no rule is broken in a minute without faults.
func TestCalmFleet(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation with one task at a time, of little use under the race detector")
	}
	Convey("both deployments serve a calm minute whole", t, func() {
		for name, plan := range fleet.Plans {
			park := fleet.NewCluster(1, plan())
			defer park.Close()
			park.Run(60 * time.Second)
			park.Quiet = true
			park.Run(10 * time.Second)
			answered, asked := fleet.Rate(park, warmupTime, park.Now())
			t.Logf("%s: %d of %d requests answered, %d steps, %d lease renewals", name, answered, asked, park.Steps, park.Messages["Permit.Renew"])
			checkRules(t, park, factsSinceWarm(park, true))
			So(asked, ShouldBeGreaterThan, 1000)
		}
	})
}

// TestMain runs the package's tests with a garbage collector tuned for simulations.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400) // many short-lived messages: collects garbage less often
	os.Exit(m.Run())
}
