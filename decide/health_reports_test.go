package decide_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"swifttiller/decide"
	"swifttiller/verdict"
)

// Property tests draw the same cases each run, unless flags of the command line say otherwise.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// newReport returns a report by a peer of region a about one of the clinic's replicas there.
func newReport(replica string, bad float64, held time.Duration) decide.HealthReport {
	return decide.HealthReport{Replica: replica, Boot: replica, Region: "a", Model: "m", Bad: bad, Held: held}
}

// takeReports passes a peer's reports to the clinic's daemon.
func (clinic *healthBench) takeReports(from, zone string, replicas ...decide.HealthReport) {
	clinic.decider.TakeReports(decide.HealthReports{From: from, Zone: zone, Replicas: replicas})
}

// TestReportsOfOneZoneEjectNothing: if only the network path from one zone is broken, its
// daemons report a replica that works for others. However many peers of one zone report it,
// and however often, it stays in use; with a report from a second zone, or after a failure
// of this daemon's own there, it is ejected.
func TestReportsOfOneZoneEjectNothing(t *testing.T) {
	clinic := newHealthBench(t, 30, resumedPath)
	clinic.Run(3 * time.Second)
	busiest := clinic.busiest()
	unused := newReport("i-0", 1, 4*time.Second)
	clinic.decider.ForgetHealth(unused.Replica)
	for round := range 5 {
		clinic.takeReports(fmt.Sprint("d", round), "a-1", newReport(busiest, 1, 4*time.Second), unused)
		clinic.takeReports(fmt.Sprint("d", round), "a-1", newReport(busiest, 1, 4*time.Second), unused)
	}
	if held := clinic.decider.Held("a"); len(held) > 0 {
		t.Fatalf("worth: %v is ejected by reports of one zone alone", held)
	}
	clinic.takeReports("e", "a-2", newReport(busiest, 1, 4*time.Second))
	if held := clinic.decider.Held("a"); !slices.Equal(held, []string{busiest}) {
		t.Errorf("worth: by reports of two zones %v is ejected, want only %s", held, busiest)
	}

	clinic = newHealthBench(t, 30, resumedPath)
	clinic.Run(3 * time.Second)
	busiest = clinic.busiest()
	clinic.takeReports("d", "a-1", newReport(busiest, 1, 4*time.Second))
	failed := 0
	clinic.fails = func(replica string) *verdict.Error {
		if replica == busiest {
			failed++
			return badAnswer
		}
		return nil
	}
	clinic.Run(4 * time.Second)
	if failed > 1 {
		t.Errorf("worth: %d requests failed at a replica that a peer had reported, want 1 at most", failed)
	}
}

// TestReportsAboutOtherBootsAreIgnored: reports about an earlier run of a replica, or about one that the
// region's routing table does not show, change nothing.
func TestReportsAboutOtherBootsAreIgnored(t *testing.T) {
	clinic := newHealthBench(t, 30, resumedPath)
	clinic.Run(3 * time.Second)
	former := newReport(clinic.busiest(), 1, 4*time.Second)
	former.Boot = "former"
	unknown := newReport("unknown", 1, 4*time.Second)
	elsewhere := newReport("i-3", 1, 4*time.Second) // in region b
	for _, zone := range []string{"a-1", "a-2", "a-3"} {
		clinic.takeReports("of "+zone, zone, former, unknown, elsewhere)
	}
	if held := clinic.decider.Held("a"); len(held) > 0 {
		t.Errorf("worth: %v is ejected by reports that are not about the present replicas", held)
	}
}

// TestReportsExtendAnEjection: a daemon does not probe an ejected replica while a peer's probes
// fail, but only up to the bound.
func TestReportsExtendAnEjection(t *testing.T) {
	clinic := newHealthBench(t, 30, resumedPath)
	clinic.Run(3 * time.Second)
	failing := clinic.busiest()
	clinic.fails = func(replica string) *verdict.Error {
		if replica == failing {
			return badAnswer
		}
		return nil
	}
	for len(clinic.decider.Held("a")) == 0 {
		clinic.Run(10 * time.Millisecond)
	}
	began := clinic.Now()
	clinic.fails = func(string) *verdict.Error { return nil } // it has recovered, though the peer still reports failures
	sent := len(clinic.sent[failing])
	for clinic.Now() < began+15*time.Second {
		clinic.takeReports("d", "a-1", newReport(failing, 1, 8*time.Second))
		clinic.Run(500 * time.Millisecond)
	}
	if more := len(clinic.sent[failing]) - sent; more > 0 {
		t.Errorf("worth: %d requests went to the replica though a peer's requests still fail there", more)
	}
	for clinic.Now() < began+25*time.Second {
		clinic.takeReports("d", "a-1", newReport(failing, 1, 8*time.Second))
		clinic.Run(500 * time.Millisecond)
	}
	if len(clinic.sent[failing]) == sent {
		t.Error("worth: a peer whose own network path is broken keeps the replica ejected for good")
	}
}

// TestAnyReports: whatever is reported, in any order and any number of times, at most two in
// five replicas of the region are ejected, each request finds a replica, and the reports have
// no effect any more soon after.
func TestAnyReports(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		clinic := newHealthBench(t, 30, rapid.SampledFrom([]string{resumedPath, oncePath}).Draw(draw, "path"))
		defer clinic.Close()
		clinic.Run(time.Second)
		for range rapid.IntRange(1, 30).Draw(draw, "reports") {
			var replicas []decide.HealthReport
			for range rapid.IntRange(1, 15).Draw(draw, "replicas") {
				id := fmt.Sprint("i-", rapid.IntRange(0, 29).Draw(draw, "replica"))
				replicas = append(replicas, newReport(id, rapid.Float64().Draw(draw, "bad"), time.Duration(rapid.Int64().Draw(draw, "held"))))
			}
			number := rapid.IntRange(0, 9).Draw(draw, "daemon")
			for range rapid.IntRange(1, 3).Draw(draw, "times") {
				clinic.takeReports(fmt.Sprint("d", number), fmt.Sprint("a-", number%3), replicas...)
			}
			if held := clinic.decider.Held("a"); len(held)*5 > 15*2 {
				draw.Fatalf("worth: %d of 15 replicas are ejected", len(held))
			}
			clinic.Run(50 * time.Millisecond)
		}
		clinic.Run(30 * time.Second)
		if names := clinic.idle(2 * time.Second); len(names) > 0 {
			draw.Fatalf("worth: %v still get no requests", names)
		}
	})
}
