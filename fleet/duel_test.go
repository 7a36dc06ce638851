package fleet_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestPermitsGoOnThroughChanges: on a grown fleet whose regions are far apart permits are
// renewed in time while configurations are written one after the other. Control daemons
// that read what is being written do not outvote its writer, or one another.
func TestPermitsGoOnThroughChanges(t *testing.T) {
	t.Parallel()
	skipLong(t)
	const far = 55 * time.Millisecond
	least := time.Duration(1 << 62)
	var slowest time.Duration
	for seed := uint64(1); seed <= 3; seed++ {
		plan := grown(64, 30, 6)
		plan.Document = strings.Replace(plan.Document, `"limits":{`, limitsOf5, 1)
		park := apartBy(far, seed, plan)
		for turn := range 6 {
			label := uint64(turn + 1)
			document := bytes.Replace([]byte(park.Document), []byte("{"), fmt.Appendf(nil, `{"label":%d,`, label), 1)
			began := park.Now()
			if _, err := replace(park, fmt.Sprintf("c%d", turn%6+1), document, label-1); err != nil {
				t.Fatal(err)
			}
			slowest = max(slowest, park.Now()-began)
			for range 60 {
				park.Run(20 * time.Millisecond)
				for _, daemon := range park.Datas {
					least = min(least, daemon.Holder.View().Deadline-park.Now())
				}
			}
		}
		park.Close()
	}
	t.Logf("the permit that came nearest to its end had %v left, the slowest change took %v", least, slowest)
	// One that got no grant asks again after a sixth.
	if least < 400*time.Millisecond {
		t.Errorf("a permit of 2.4 s had only %v left", least)
	}
}
