package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/fleet"
)

// TestExplain verifies that each late first token is assigned one cause, and that the error of the
// forecast covers only the attempts whose first token arrived.
func TestExplain(t *testing.T) {
	t.Parallel()
	const second = int64(time.Second)
	line := func(id, rank, from string, waited, foreseen, first float64, unreadShared int, code string) string {
		return fmt.Sprintf(`  1.2 counter-a {"level":"info","msg":"choice","choice":{"Request":%q,"Route":"r","From":%q,"Region":"a","Owner":"i-1","Rank":%q,"UnreadShared":%d,"Waited":%d,"Foreseen":%d,"First":%d,"Target":%d,"Code":%q}}`,
			id, from, rank, unreadShared, int64(waited*float64(second)), int64(foreseen*float64(second)), int64(first*float64(second)), second, code)
	}
	log := strings.Join([]string{
		`{"level":"info","msg":"permit"}`, "no JSON at all", `{"msg":"choice", broken`,
		line("well", "owner", "a", 0, 0.1, 0.2, 0, ""),
		line("twice", "owner", "a", 0, 0.1, 0, 0, "replica_cut"),
		line("twice", "successor", "a", 0.9, 0.1, 0.2, 500, ""),
		line("held", "owner", "a", 0.9, 0.1, 0.2, 0, ""),
		line("long", "owner", "a", 0, 1.5, 1.6, 0, ""),
		line("moved", "successor", "a", 0, 0.4, 1.2, 700, ""),
		line("busy", "owner", "a", 0, 0.1, 1.2, 0, ""),
		line("far", "none", "b", 0, 0.1, 1.05, 0, ""),
		line("queued", "none", "a", 0, 0.1, 1.05, 0, ""),
	}, "\n")
	choices, err := fleet.ReadChoices(strings.NewReader(log))
	if err != nil || len(choices) != 9 {
		t.Fatalf("%d choices: %v", len(choices), err)
	}
	list := fleet.Explain(choices)
	if len(list) != 1 || list[0].Attempts != 9 || list[0].Failed != 1 || list[0].Late != 7 || list[0].ReadAgain != 1200 {
		t.Fatalf("%+v", list)
	}
	for _, cause := range []fleet.Cause{fleet.CauseTriedBefore, fleet.CauseHeld, fleet.CauseTooLong, fleet.CauseReadAgain, fleet.CauseQueuedAtOwner, fleet.CauseFar, fleet.CauseQueued} {
		if list[0].Causes[cause] != 1 {
			t.Errorf("%d attempts are late for the cause %s, want 1", list[0].Causes[cause], cause)
		}
	}
	if list[0].Median != 800*time.Millisecond || list[0].P95 != 1100*time.Millisecond {
		t.Errorf("the forecast's error: %v %v %v", list[0].Bias, list[0].Median, list[0].P95)
	}
	text := &strings.Builder{}
	fleet.WriteExplained(text, list)
	if !strings.Contains(text.String(), "1 late: queued at the owner") {
		t.Error(text)
	}
	if len(fleet.Explain(nil)) > 0 || decide.RankOwner == "" {
		t.Error("no choices yield an explanation, or the rank of the owner is empty")
	}
}
