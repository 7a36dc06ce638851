package decide_test

import (
	"strings"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/verdict"
)

// TestRegionBreaker guards against a circuit breaker that opens for single replicas. Replicas of
// another region that fail by themselves, one of them always and all of them now and then, must
// not open it. It must open once no replica there answers, and close at the first answer.
func TestRegionBreaker(t *testing.T) {
	bench := newHealthBench(t, 60, resumedPath)
	bench.view.Evacuated["a-1"] = true // the daemon's own region, so that all requests go to b and c
	doubted, back, isDark := 0, false, false
	bench.failsSelection = func(selection *decide.Selection) *verdict.Error {
		if selection.IsRegionProbe {
			doubted++
		}
		switch {
		case isDark && selection.Region == "b":
			return &verdict.Error{Verdict: verdict.NotRun, Code: "replica_unreached", Status: 503}
		case isDark:
		case strings.HasSuffix(selection.Replica, "3"), bench.Draw(10) == 0:
			return &verdict.Error{Verdict: verdict.MayHaveRun, Code: "replica_cut", Status: 502}
		}
		back = back || selection.Region == "b"
		return nil
	}
	bench.Run(3 * time.Second)
	if doubted > 0 || !back {
		t.Fatalf("%d requests were probes, or region b was not used, though most replicas answer", doubted)
	}
	isDark, back = true, false
	bench.Run(6 * time.Second)
	if doubted < 3 || doubted > int(6*time.Second/decide.RegionProbeInterval)+1 || back {
		t.Errorf("%d requests were probes of the unreachable region in six seconds", doubted)
	}
	isDark = false
	bench.Run(5 * time.Second)
	if !back {
		t.Error("the region is not used though it is reachable again")
	}
}

// TestAllReplicasUnreachable checks the case that no connection opens to any replica. One request per
// interval probes a replica; the others are rejected at once, with a retry delay that grows
// with the outage. All replicas are used again soon after the first connection opens.
func TestAllReplicasUnreachable(t *testing.T) {
	for _, path := range []string{resumedPath, oncePath} {
		bench := newHealthBench(t, 12, path)
		isGone, tries, rejected, last := false, 0, 0, time.Duration(0)
		bench.failsSelection = func(*decide.Selection) *verdict.Error {
			if !isGone {
				return nil
			}
			tries++
			return &verdict.Error{Verdict: verdict.NotRun, Code: "replica_unreached", Status: 503}
		}
		bench.onReject = func(failure *verdict.Error) {
			rejected++
			if failure.Verdict != verdict.NotRun || failure.ComeBack < min(last, 2*time.Second) {
				t.Errorf("%s: %s, retry delay %v after one of %v", path, failure.Code, failure.ComeBack, last)
			}
			last = failure.ComeBack
		}
		bench.Run(2 * time.Second)
		isGone = true
		bench.Run(3 * time.Second)
		// 300 requests came. Each replica is found unreachable once, and then all are probed in turn.
		if tries > 12+3*30 || rejected < 180 || last < 2*time.Second {
			t.Errorf("%s: %d probes, %d rejected, last retry delay %v", path, tries, rejected, last)
		}
		isGone = false
		bench.Run(200 * time.Millisecond)
		rejected = 0
		bench.Run(time.Second)
		if rejected > 0 {
			t.Errorf("%s: %d rejected though all replicas are back", path, rejected)
		}
	}
}
