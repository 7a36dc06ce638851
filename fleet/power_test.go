package fleet_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

// powerCut crashes all daemons and returns their names, sorted.
func powerCut(park *fleet.Cluster) (controls, datas []string) {
	controls, datas = slices.Sorted(maps.Keys(park.Controls)), slices.Sorted(maps.Keys(park.Datas))
	for _, name := range slices.Concat(controls, datas) {
		park.Crash(name)
	}
	return controls, datas
}

// TestPowerCutRoutingTablesConfirmed checks the recovery after a power cut of all daemons, where
// the control daemons restart one by one. All data daemons must have leases 0.5 s after the last
// control daemon starts, and confirmed routing tables 1.8 s after it. Until then they go by
// unconfirmed routing tables, which count all replicas as cold.
func TestPowerCutRoutingTablesConfirmed(t *testing.T) {
	t.Parallel()
	skipLong(t)
	worst := time.Duration(0)
	for seed := uint64(1); seed <= 4; seed++ {
		plan := grownPlan(36, 90, 6)
		plan.Document = strings.Replace(plan.Document, `"limits":{`, `"limits":{"alone_ms":60000,"permit_ms":1800,"session_ms":1200,"platform_ms":1000,"dark_ms":900,"probe_ms":450,`, 1)
		park := newSeparatedCluster(seed, plan)
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
			t.Errorf("seed %d: data daemons without a lease after %v", seed, park.Now()-began)
		}
		if !park.Until(10*time.Second, has(true)) {
			t.Errorf("seed %d: routing tables are never confirmed", seed)
		}
		t.Logf("seed %d: routing tables confirmed %v after the last control daemon started", seed, park.Now()-began)
		worst = max(worst, park.Now()-began)
		park.Close()
	}
	if worst > 1800*time.Millisecond {
		t.Errorf("routing tables are confirmed only %v after the last control daemon started", worst)
	}
}

// TestPowerCutAsksAreSpread checks that data daemons that all start together with the control
// daemons don't all request their leases from the control daemon that starts a little before
// the others: it would serve them one after the other.
func TestPowerCutAsksAreSpread(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for _, earlier := range []time.Duration{0, 150 * time.Millisecond} {
		t.Run(earlier.String(), func(t *testing.T) { checkSpread(t, earlier) })
	}
}

func checkSpread(t *testing.T, earlier time.Duration) {
	plan := grownPlan(36, 9, 6)
	park := newSeparatedCluster(1, plan)
	defer park.Close()
	controls, datas := powerCut(park)
	park.Run(3 * time.Second)                  // the leases from before the power cut have expired
	requesters := map[string]map[string]bool{} // by control daemon, the data daemons that requested a lease there while they had none
	park.OnBytes = func(from, to, method string, _ int) {
		daemon := park.Datas[from]
		if method != "Permit.Renew" || daemon == nil || daemon.Holder.View().Tree != nil {
			return
		}
		if requesters[to] == nil {
			requesters[to] = map[string]bool{}
		}
		requesters[to][from] = true
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
		t.Fatal("data daemons without a lease")
	}
	for name, sources := range requesters {
		t.Logf("%s got lease requests of %d of %d", name, len(sources), len(datas))
		if len(sources) > len(datas)/2 {
			t.Errorf("%s got lease requests of %d of %d data daemons", name, len(sources), len(datas))
		}
	}
}

// TestPowerCutOfALargeFleet restarts 294 data daemons at once with six control daemons that take
// 1 ms for each call and whose disks take 5 ms for a sync. All data daemons must have leases
// 1.5 s after the last control daemon starts, which requires that lease records are written in
// batches.
func TestPowerCutOfALargeFleet(t *testing.T) {
	t.Parallel()
	skipLong(t)
	plan := grownPlan(294, 192, 6)
	plan.Document = strings.Replace(plan.Document, `"limits":{`, `"limits":{"alone_ms":60000,"permit_ms":1800,"session_ms":1200,"platform_ms":1000,"dark_ms":900,"probe_ms":450,`, 1)
	park := newSeparatedCluster(1, plan)
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
	began, leased := park.Now(), 0
	if !park.Until(10*time.Second, func() bool {
		leased = 0
		for _, daemon := range park.Datas {
			if daemon.Holder.View().IsValid(park.Now()) {
				leased++
			}
		}
		return leased == len(datas)
	}) {
		t.Fatalf("%d of %d data daemons have leases", leased, len(datas))
	}
	took := park.Now() - began
	t.Logf("%d data daemons have leases after %v", leased, took)
	if took > 1500*time.Millisecond {
		t.Errorf("control traffic: all leases are valid only after %v", took)
	}
}
