package decide_test

import (
	"strings"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/verdict"
)

// TestWayToARegion: replicas of another region that fail by themselves, one of them always and
// all of them now and then, put no doubt on the way there; that none of it answers any more
// does, and the first one that answers ends it.
func TestWayToARegion(t *testing.T) {
	clinic := newClinic(t, 60, resumedPath)
	clinic.view.Evacuated["a-1"] = true // its own region, so all goes to b and c
	doubted, back, isDark := 0, false, false
	clinic.hears = func(selection *decide.Selection) *verdict.Mishap {
		if selection.Doubted {
			doubted++
		}
		switch {
		case isDark && selection.Region == "b":
			return &verdict.Mishap{Verdict: verdict.NotRun, Code: "replica_unreached", Status: 503}
		case isDark:
		case strings.HasSuffix(selection.Replica, "3"), clinic.Draw(10) == 0:
			return &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: "replica_cut", Status: 502}
		}
		back = back || selection.Region == "b"
		return nil
	}
	clinic.Run(3 * time.Second)
	if doubted > 0 || !back {
		t.Fatalf("%d went in doubt, though most answer", doubted)
	}
	isDark, back = true, false
	clinic.Run(6 * time.Second)
	if doubted < 3 || doubted > int(6*time.Second/decide.RegionProbeInterval)+1 || back {
		t.Errorf("%d went in doubt in six seconds", doubted)
	}
	isDark = false
	clinic.Run(5 * time.Second)
	if !back {
		t.Error("it is not used though it is back")
	}
}

// TestNobodyInReach: while no connection opens to any replica, one request a while tries one, and
// the others are declined at once and told to come back the later the longer that lasts; all
// are used again soon after the first connection opens.
func TestNobodyInReach(t *testing.T) {
	for _, path := range []string{resumedPath, oncePath} {
		clinic := newClinic(t, 12, path)
		isGone, tries, declined, last := false, 0, 0, time.Duration(0)
		clinic.hears = func(*decide.Selection) *verdict.Mishap {
			if !isGone {
				return nil
			}
			tries++
			return &verdict.Mishap{Verdict: verdict.NotRun, Code: "replica_unreached", Status: 503}
		}
		clinic.declines = func(failure *verdict.Mishap) {
			declined++
			if failure.Verdict != verdict.NotRun || failure.ComeBack < min(last, 2*time.Second) {
				t.Errorf("%s: %s, come back in %v behind %v", path, failure.Code, failure.ComeBack, last)
			}
			last = failure.ComeBack
		}
		clinic.Run(2 * time.Second)
		isGone = true
		clinic.Run(3 * time.Second)
		// 300 requests came; each replica is found out once, and then all are tried in turns.
		if tries > 12+3*30 || declined < 180 || last < 2*time.Second {
			t.Errorf("%s: %d tries, %d declined, come back in %v at the last", path, tries, declined, last)
		}
		isGone = false
		clinic.Run(200 * time.Millisecond)
		declined = 0
		clinic.Run(time.Second)
		if declined > 0 {
			t.Errorf("%s: %d declined though all are back", path, declined)
		}
	}
}
