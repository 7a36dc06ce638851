package fleet_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

// powerCut ends all daemons, and gives their names in order.
func powerCut(park *fleet.Park) (controls, datas []string) {
	controls, datas = slices.Sorted(maps.Keys(park.Controls)), slices.Sorted(maps.Keys(park.Datas))
	for _, name := range slices.Concat(controls, datas) {
		park.Crash(name)
	}
	return controls, datas
}

// TestPowerCutStandingsAreKeptSoon: after a power cut of all daemons, of which the control
// daemons come back one by one, all data daemons have permits 0.5 s after the last of
// them, and standings that are kept up to date 1.8 s after it; by those before, all
// replicas count as cold.
func TestPowerCutStandingsAreKeptSoon(t *testing.T) {
	t.Parallel()
	skipLong(t)
	worst := time.Duration(0)
	for seed := uint64(1); seed <= 4; seed++ {
		plan := grown(36, 90, 6)
		plan.Document = strings.Replace(plan.Document, `"limits":{`, `"limits":{"alone_ms":60000,"permit_ms":1800,"session_ms":1200,"platform_ms":1000,"dark_ms":900,"probe_ms":450,`, 1)
		park := apart(seed, plan)
		controls, datas := powerCut(park)
		park.Run(time.Second)
		for _, name := range datas {
			park.StartData(name)
		}
		for _, name := range controls {
			park.Run(80 * time.Millisecond)
			park.StartControl(name)
		}
		began := park.Now()
		has := func(isKept bool) func() bool {
			return func() bool {
				for _, daemon := range park.Datas {
					view := daemon.Holder.View()
					if !view.IsValid(park.Now()) || isKept && (len(view.RoutingTables) < 3 || len(view.Unconfirmed) > 0) {
						return false
					}
				}
				return true
			}
		}
		if has(true)() {
			t.Fatal("vacuous")
		}
		if !park.Until(500*time.Millisecond, has(false)) {
			t.Errorf("seed %d: no permits after %v", seed, park.Now()-began)
		}
		if !park.Until(10*time.Second, has(true)) {
			t.Errorf("seed %d: standings are not kept", seed)
		}
		t.Logf("seed %d: kept %v after the last control daemon", seed, park.Now()-began)
		worst = max(worst, park.Now()-began)
		park.Close()
	}
	if worst > 1800*time.Millisecond {
		t.Errorf("standings are kept %v after the last control daemon", worst)
	}
}

// TestPowerCutAsksAreSpread: data daemons that all begin at once with the control daemons,
// of which one is there a little earlier, do not all ask that one for their permits: it
// would take them one after the other.
func TestPowerCutAsksAreSpread(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for _, earlier := range []time.Duration{0, 150 * time.Millisecond} {
		t.Run(earlier.String(), func(t *testing.T) { asksAreSpread(t, earlier) })
	}
}

func asksAreSpread(t *testing.T, earlier time.Duration) {
	plan := grown(36, 9, 6)
	park := apart(1, plan)
	defer park.Close()
	controls, datas := powerCut(park)
	park.Run(3 * time.Second)             // the permits of before have ended
	asked := map[string]map[string]bool{} // who asked each control daemon before it had a permit
	park.OnBytes = func(from, to, method string, _ int) {
		daemon := park.Datas[from]
		if method != "Permit.Renew" || daemon == nil || daemon.Holder.View().Tree != nil {
			return
		}
		if asked[to] == nil {
			asked[to] = map[string]bool{}
		}
		asked[to][from] = true
	}
	park.StartControl(controls[0])
	for _, name := range datas {
		park.StartData(name)
	}
	park.Run(earlier)
	for _, name := range controls[1:] {
		park.StartControl(name)
	}
	has := func() bool {
		for _, daemon := range park.Datas {
			if !daemon.Holder.View().IsValid(park.Now()) {
				return false
			}
		}
		return true
	}
	if !park.Until(5*time.Second, has) {
		t.Fatal("no permits")
	}
	for name, by := range asked {
		t.Logf("%s was asked by %d of %d", name, len(by), len(datas))
		if len(by) > len(datas)/2 {
			t.Errorf("%s was asked by %d of %d data daemons", name, len(by), len(datas))
		}
	}
}

// TestPowerCutOfALargeFleet: when 294 data daemons begin anew at once with six control daemons
// that take a millisecond for each call, and whose disks take 5 ms, all have permits 1.5 s
// after the last control daemon: their records are written many at a time.
func TestPowerCutOfALargeFleet(t *testing.T) {
	t.Parallel()
	skipLong(t)
	plan := grown(294, 192, 6)
	plan.Document = strings.Replace(plan.Document, `"limits":{`, `"limits":{"alone_ms":60000,"permit_ms":1800,"session_ms":1200,"platform_ms":1000,"dark_ms":900,"probe_ms":450,`, 1)
	park := apart(1, plan)
	defer park.Close()
	controls, datas := powerCut(park)
	park.Run(time.Second)
	park.SyncTime, park.ServeTime = 5*time.Millisecond, time.Millisecond
	for _, name := range datas {
		park.StartData(name)
	}
	for _, name := range controls {
		park.Run(30 * time.Millisecond)
		park.StartControl(name)
	}
	began, stand := park.Now(), 0
	if !park.Until(10*time.Second, func() bool {
		stand = 0
		for _, daemon := range park.Datas {
			if daemon.Holder.View().IsValid(park.Now()) {
				stand++
			}
		}
		return stand == len(datas)
	}) {
		t.Fatalf("%d of %d have permits", stand, len(datas))
	}
	took := park.Now() - began
	t.Logf("%d have permits after %v", stand, took)
	if took > 1500*time.Millisecond {
		t.Errorf("control traffic: permits stand after %v", took)
	}
}
