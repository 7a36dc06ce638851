package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

// TestColdFleetServesAllRegions: after all machines were lost, requests that may not be
// served in their caller's region are served elsewhere at once, too, though all replicas
// count as cold for a while and those of a grown fleet bear less than one request a daemon.
func TestColdFleetServesAllRegions(t *testing.T) {
	skipLong(t)
	shape := fleet.GrownShape
	shape.Limits = map[string]float64{"alone_ms": 3600e3}
	park := fleet.NewPark(1, shape.Plan())
	defer park.Close()
	park.Run(warmRouted)
	var processes []string
	for name := range park.Controls {
		processes = append(processes, name)
	}
	for name := range park.Datas {
		processes = append(processes, name)
	}
	facts := park.BeginRouted()
	ends := park.Lose(processes)
	park.Run(800 * time.Millisecond)
	park.Return(ends)
	began := park.Now()
	park.Run(8 * time.Second)
	all, declined := map[string]int{}, map[string]int{}
	for _, one := range park.RoutedRequests {
		if one.At < began+time.Second || one.At > began+5*time.Second || one.Crowd.Host == "" || one.Crowd.Target != 600*time.Millisecond {
			continue
		}
		zone := one.Crowd.Zone
		for _, try := range one.Tries {
			all[zone]++
			if try.Code == "no_replica" {
				declined[zone]++
			}
		}
	}
	t.Logf("of %v tries of notices, by zone, %v found no replica", all, declined)
	for zone := range all {
		if declined[zone]*10 > all[zone] {
			t.Errorf("%s: %d of %d", zone, declined[zone], all[zone])
		}
	}
	park.Quiet = true
	park.Run(6500 * time.Millisecond)
	broken, _ := fleet.CheckRouted(park, facts)
	show(t, 1, broken)
}

// TestSurgeAfterAPowerCut: the callers of a grown fleet that come back all at once after its
// machines were lost are served, though nobody keeps the standings yet: data daemons ask the
// replicas themselves. Every third engine has become cold meanwhile, and is sent no more than
// a cold one bears.
func TestSurgeAfterAPowerCut(t *testing.T) {
	skipLong(t)
	shape := fleet.GrownShape
	shape.Busy = 3
	shape.Limits = map[string]float64{"alone_ms": 3600e3}
	park := fleet.NewPark(1, shape.Plan())
	defer park.Close()
	park.Run(warmRouted)
	var processes []string
	for name := range park.Controls {
		processes = append(processes, name)
	}
	for name := range park.Datas {
		processes = append(processes, name)
	}
	facts := park.BeginRouted()
	ends := park.Lose(processes)
	park.Run(800 * time.Millisecond)
	for index, options := range park.Plan.Engines {
		if index%3 == 0 {
			park.Engines[options.Name].Chill()
		}
	}
	park.Return(ends)
	began := park.Now()
	park.Run(6 * time.Second)
	all, declined := map[string]int{}, map[string]int{}
	for _, one := range park.RoutedRequests {
		if one.At < began-time.Second || one.At > began+5*time.Second || one.Crowd.Target != 600*time.Millisecond {
			continue
		}
		for _, try := range one.Tries {
			all[one.Crowd.Zone]++
			if try.Code == "no_replica" {
				declined[one.Crowd.Zone]++
			}
		}
	}
	t.Logf("of %v tries of notices, by zone, %v found no replica", all, declined)
	for zone := range all {
		if declined[zone]*50 > all[zone] {
			t.Errorf("%s: %d of %d", zone, declined[zone], all[zone])
		}
	}
	park.Quiet = true
	park.Run(6500 * time.Millisecond)
	broken, judged := fleet.CheckRouted(park, facts)
	show(t, 1, broken)
	if judged["cold"] == 0 {
		t.Error("vacuous: no engine was cold")
	}
}
