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

// newReport returns a report by a peer of region a about one of the bench's replicas there.
func newReport(replica string, bad float64, held time.Duration) decide.HealthReport {
	return decide.HealthReport{Replica: replica, Boot: replica, Region: "a", Model: "m", Bad: bad, Held: held}
}

// takeReports passes a peer's reports to the bench's daemon.
func (bench *healthBench) takeReports(from, zone string, replicas ...decide.HealthReport) {
	bench.decider.TakeReports(decide.HealthReports{From: from, Zone: zone, Replicas: replicas})
}

// TestReportsOfOneZoneEjectNothing: if only the network path from one zone is broken, its
// daemons report a replica that works for others. However many peers of one zone report it,
// and however often, it stays in use; with a report from a second zone, or after a failure
// of this daemon's own there, it is ejected.
func TestReportsOfOneZoneEjectNothing(t *testing.T) {
	bench := newHealthBench(t, 30, resumedPath)
	bench.Run(3 * time.Second)
	busiest := bench.busiest()
	unused := newReport("i-0", 1, 4*time.Second)
	bench.decider.ForgetHealth(unused.Replica)
	for round := range 5 {
		bench.takeReports(fmt.Sprint("d", round), "a-1", newReport(busiest, 1, 4*time.Second), unused)
		bench.takeReports(fmt.Sprint("d", round), "a-1", newReport(busiest, 1, 4*time.Second), unused)
	}
	if held := bench.decider.Held("a"); len(held) > 0 {
		t.Fatalf("worth: %v is ejected by reports of one zone alone", held)
	}
	bench.takeReports("e", "a-2", newReport(busiest, 1, 4*time.Second))
	if held := bench.decider.Held("a"); !slices.Equal(held, []string{busiest}) {
		t.Errorf("worth: by reports of two zones %v is ejected, want only %s", held, busiest)
	}

	bench = newHealthBench(t, 30, resumedPath)
	bench.Run(3 * time.Second)
	busiest = bench.busiest()
	bench.takeReports("d", "a-1", newReport(busiest, 1, 4*time.Second))
	failed := 0
	bench.fails = func(replica string) *verdict.Error {
		if replica == busiest {
			failed++
			return badAnswer
		}
		return nil
	}
	bench.Run(4 * time.Second)
	if failed > 1 {
		t.Errorf("worth: %d requests failed at a replica that a peer had reported, want 1 at most", failed)
	}
}

// TestReportsAboutOtherBootsAreIgnored: reports about an earlier run of a replica, or about one that the
// region's routing table does not show, change nothing.
func TestReportsAboutOtherBootsAreIgnored(t *testing.T) {
	bench := newHealthBench(t, 30, resumedPath)
	bench.Run(3 * time.Second)
	former := newReport(bench.busiest(), 1, 4*time.Second)
	former.Boot = "former"
	unknown := newReport("unknown", 1, 4*time.Second)
	elsewhere := newReport("i-3", 1, 4*time.Second) // in region b
	for _, zone := range []string{"a-1", "a-2", "a-3"} {
		bench.takeReports("of "+zone, zone, former, unknown, elsewhere)
	}
	if held := bench.decider.Held("a"); len(held) > 0 {
		t.Errorf("worth: %v is ejected by reports that are not about the present replicas", held)
	}
}

// TestReportsExtendAnEjection: a daemon does not probe an ejected replica while a peer's probes
// fail, but only up to the bound.
func TestReportsExtendAnEjection(t *testing.T) {
	bench := newHealthBench(t, 30, resumedPath)
	bench.Run(3 * time.Second)
	failing := bench.busiest()
	bench.fails = func(replica string) *verdict.Error {
		if replica == failing {
			return badAnswer
		}
		return nil
	}
	for len(bench.decider.Held("a")) == 0 {
		bench.Run(10 * time.Millisecond)
	}
	began := bench.Now()
	bench.fails = func(string) *verdict.Error { return nil } // it has recovered, though the peer still reports failures
	sent := len(bench.sent[failing])
	for bench.Now() < began+15*time.Second {
		bench.takeReports("d", "a-1", newReport(failing, 1, 8*time.Second))
		bench.Run(500 * time.Millisecond)
	}
	if more := len(bench.sent[failing]) - sent; more > 0 {
		t.Errorf("worth: %d requests went to the replica though a peer's requests still fail there", more)
	}
	for bench.Now() < began+25*time.Second {
		bench.takeReports("d", "a-1", newReport(failing, 1, 8*time.Second))
		bench.Run(500 * time.Millisecond)
	}
	if len(bench.sent[failing]) == sent {
		t.Error("worth: a peer whose own network path is broken keeps the replica ejected for good")
	}
}

// TestAnyReports: whatever is reported, in any order and any number of times, at most two in
// five replicas of the region are ejected, each request finds a replica, and the reports have
// no effect any more soon after.
func TestAnyReports(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		bench := newHealthBench(t, 30, rapid.SampledFrom([]string{resumedPath, oncePath}).Draw(draw, "path"))
		defer bench.Close()
		bench.Run(time.Second)
		for range rapid.IntRange(1, 30).Draw(draw, "reports") {
			var replicas []decide.HealthReport
			for range rapid.IntRange(1, 15).Draw(draw, "replicas") {
				id := fmt.Sprint("i-", rapid.IntRange(0, 29).Draw(draw, "replica"))
				replicas = append(replicas, newReport(id, rapid.Float64().Draw(draw, "bad"), time.Duration(rapid.Int64().Draw(draw, "held"))))
			}
			number := rapid.IntRange(0, 9).Draw(draw, "daemon")
			for range rapid.IntRange(1, 3).Draw(draw, "times") {
				bench.takeReports(fmt.Sprint("d", number), fmt.Sprint("a-", number%3), replicas...)
			}
			if held := bench.decider.Held("a"); len(held)*5 > 15*2 {
				draw.Fatalf("worth: %d of 15 replicas are ejected", len(held))
			}
			bench.Run(50 * time.Millisecond)
		}
		bench.Run(30 * time.Second)
		if names := bench.idle(2 * time.Second); len(names) > 0 {
			draw.Fatalf("worth: %v still get no requests", names)
		}
	})
}
