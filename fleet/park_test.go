package fleet_test

import (
	"os"
	"runtime/debug"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/fleet"
)

// clean fails the test with every breach, the seed and how to replay it.
func clean(t *testing.T, park *fleet.Park, facts fleet.Facts) {
	t.Helper()
	broken, _ := fleet.Check(park, facts)
	show(t, park.Seed, broken)
	for _, missed := range facts.Missed {
		t.Errorf("seed %d: vacuous: %v", park.Seed, missed)
	}
	if t.Failed() {
		t.Fatalf("replay: go test ./fleet -run '%s' -count=1", t.Name())
	}
}

// begun gives the facts of a park that was warm at the time.
func begun(park *fleet.Park, isPlanned bool) fleet.Facts {
	facts := park.Begin()
	facts.From, facts.Planned = warm, isPlanned
	return facts
}

// warm is when a fleet that started cold is warm.
const warm = 15 * time.Second

func TestCalmFleet(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation; the race detector has one task at a time to look at")
	}
	Convey("both deployments serve a calm minute whole", t, func() {
		for name, plan := range fleet.Plans {
			park := fleet.NewPark(1, plan())
			defer park.Close()
			park.Run(60 * time.Second)
			park.Quiet = true
			park.Run(10 * time.Second)
			answered, asked := fleet.Rate(park, warm, park.Now())
			t.Logf("%s: %d of %d answered, %d steps, %d messages", name, answered, asked, park.Steps, park.Messages["Permit.Renew"])
			clean(t, park, begun(park, true))
			So(asked, ShouldBeGreaterThan, 1000)
		}
	})
}

func TestMain(m *testing.M) {
	debug.SetGCPercent(400) // many short-lived messages; less sweeping
	os.Exit(m.Run())
}
