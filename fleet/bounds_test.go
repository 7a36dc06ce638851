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

var bounds = flag.Int("bounds", 0, "number of seeds over which to print the worst observed value for each bound")

// TestBounds prints, for each invariant that has a bound, the worst value of each run as
// minimum, median and maximum over the seeds. The checkers also verify every run.
func TestBounds(t *testing.T) {
	t.Parallel()
	if *bounds == 0 {
		t.Skip("only with -bounds")
	}
	var mutex sync.Mutex
	values := map[string][]float64{}
	add := func(name string, value float64) {
		mutex.Lock()
		defer mutex.Unlock()
		values[name] = append(values[name], value)
	}
	t.Cleanup(func() {
		var names []string
		for name := range values {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Printf("| %s | %s | %d |\n", name, spread(values[name]), len(values[name]))
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
					cluster := fleet.NewCluster(seed, plan())
					defer cluster.Close()
					cluster.Run(warmupTime)
					facts := cluster.Begin()
					fault.Run(cluster, &facts)
					cluster.Run(10 * time.Second)
					cluster.Quiet = true
					cluster.Run(8 * time.Second)
					checkRules(t, cluster, facts)
					if value, seen := fleet.Worst(cluster, facts)[rule]; seen {
						add(name+": "+rule+", "+fault.Name, value)
					}
				})
			}
			t.Run(fmt.Sprintf("%s/full loss/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				measureFullLoss(name, seed, plan(), func(figure string, value float64) {
					if strings.Contains(figure, "second 12") {
						add(figure, value)
					}
				})
			})
		}
	}
}
