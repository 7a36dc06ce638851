package fleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

// trim limits the plan to the given numbers of replicas and data daemons per zone.
func trim(plan fleet.Plan, replicas, daemons int) fleet.Plan {
	kept := map[string]int{}
	plan.Replicas = slices.DeleteFunc(slices.Clone(plan.Replicas), func(replica fleet.ReplicaOptions) bool {
		kept[replica.Zone]++
		return kept[replica.Zone] > replicas
	})
	plan.Datas = slices.DeleteFunc(slices.Clone(plan.Datas), func(placed string) bool {
		_, zone, _ := strings.Cut(placed, ":")
		kept["d"+zone]++
		return kept["d"+zone] > daemons
	})
	return plan
}

// TestSize prints, for fleets of several sizes and loads, the least share of requests that are answered
// after the loss of any one region, whose callers go to other regions. It counts the 20 s that begin
// 10 s after the loss.
func TestSize(t *testing.T) {
	t.Parallel()
	if !*printMeasurements {
		t.Skip("only with -measure")
	}
	for name, make := range fleet.Plans {
		// Replicas and data daemons per region, and the factor on the plan's load.
		for _, size := range [][3]int{{1, 1, 1}, {1, 1, 2}, {2, 1, 2}, {2, 2, 2}, {2, 1, 4}, {3, 1, 4}, {4, 1, 4}, {4, 2, 4}} {
			for seed := uint64(1); seed <= 2; seed++ {
				t.Run(fmt.Sprintf("%s/%d replicas, %d data daemons a region, load times %d/%d", name, size[0], size[1], size[2], seed), func(t *testing.T) {
					t.Parallel()
					least, where := 2.0, ""
					for index := 0; index < 3; index++ {
						plan := trim(make(), size[0], size[1])
						for index := range plan.Callers {
							plan.Callers[index].Every /= time.Duration(size[2])
						}
						park := fleet.NewCluster(seed, plan)
						park.Run(warmupTime)
						region := park.Regions()[index]
						var inside []string
						for _, node := range park.NodeNames() {
							if fleet.Region(park.Zone(node)) == region {
								inside = append(inside, node)
							}
						}
						park.CrashAll(inside)
						park.Run(10 * time.Second)
						from := park.Now()
						park.Run(22 * time.Second)
						good, all := 0, 0
						for _, request := range park.Requests {
							if request.At >= from && request.At < from+20*time.Second {
								all++
								if request.Verdict == "ok" {
									good++
								}
							}
						}
						if share := float64(good) / float64(all); share < least {
							least, where = share, region
						}
						if all < 100 {
							t.Error("vacuous")
						}
						park.Close()
					}
					fmt.Printf("| %s | %d replicas and %d data daemons a region, load times %d | seed %d | %.3f | %s lost |\n", name, size[0], size[1], size[2], seed, least, where)
				})
			}
		}
	}
}
