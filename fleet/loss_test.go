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
