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
	if doubted < 3 || doubted > int(6*time.Second/decide.WayTry)+1 || back {
		t.Errorf("%d went in doubt in six seconds", doubted)
	}
	isDark = false
	clinic.Run(5 * time.Second)
	if !back {
		t.Error("it is not used though it is back")
	}
}
