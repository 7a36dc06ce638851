package fleet_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"swifttiller/fleet"
)

var bounds = flag.Int("bounds", 0, "over how many seeds to print the worst seen value against each bound")

// TestBounds prints, for each never-happen rule with a bound, the worst value of a
// run, over seeds: least, median, most. The checkers judge the runs as well.
func TestBounds(t *testing.T) {
	t.Parallel()
	if *bounds == 0 {
		t.Skip("only with -bounds")
	}
	var guard sync.Mutex
	figures := map[string][]float64{}
	add := func(name string, value float64) {
		guard.Lock()
		defer guard.Unlock()
		figures[name] = append(figures[name], value)
	}
	t.Cleanup(func() {
		var names []string
		for name := range figures {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Printf("| %s | %s | %d |\n", name, spread(figures[name]), len(figures[name]))
		}
	})
	for name, plan := range fleet.Plans {
		for seed := uint64(1); seed <= uint64(*bounds); seed++ {
			for _, fault := range fleet.Faults {
				wanted := map[string]string{
					"data daemon frozen over a new configuration": "old config", "data daemon cut off over an evacuation": "evacuated", "replica lingers and whoever knows of it dies": "leaving",
					"replica lingers, known by the list only": "leaving", "evacuation under a restart, a roll-out, a crowd and a dying duty holder": "evacuated",
					"two of three core machines lost and back": "retries", "several tries of a request in flight": "retries", "region lost and back": "flooded", "calls lost, repeated and late": "old config",
				}
				rule, isWanted := wanted[fault.Name]
				if !isWanted {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%d", name, fault.Name, seed), func(t *testing.T) {
					t.Parallel()
					park := fleet.NewPark(seed, plan())
					defer park.Close()
					park.Run(warm)
					facts := park.Begin()
					fault.Run(park, &facts)
					park.Run(10 * time.Second)
					park.Quiet = true
					park.Run(8 * time.Second)
					clean(t, park, facts)
					if value, seen := fleet.Worst(park, facts)[rule]; seen {
						add(name+": "+rule+", "+fault.Name, value)
					}
				})
			}
			t.Run(fmt.Sprintf("%s/full loss/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				loseAll(name, seed, plan(), func(figure string, value float64) {
					if strings.Contains(figure, "second 12") {
						add(figure, value)
					}
				})
			})
		}
	}
}
