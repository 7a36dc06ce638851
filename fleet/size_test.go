package fleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

// trim leaves so many replicas and data daemons a region.
func trim(plan fleet.Plan, replicas, daemons int) fleet.Plan {
	kept := map[string]int{}
	plan.Replicas = slices.DeleteFunc(slices.Clone(plan.Replicas), func(one fleet.ReplicaOptions) bool {
		kept[one.Zone]++
		return kept[one.Zone] > replicas
	})
	plan.Datas = slices.DeleteFunc(slices.Clone(plan.Datas), func(word string) bool {
		_, zone, _ := strings.Cut(word, ":")
		kept["d"+zone]++
		return kept["d"+zone] > daemons
	})
	return plan
}

// TestSize prints, for ever smaller fleets, the least share of the plan's load
// that is answered in the 20 s from ten after any one region was lost, its callers
// asking elsewhere.
func TestSize(t *testing.T) {
	t.Parallel()
	if !*measure {
		t.Skip("only with -measure")
	}
	for name, make := range fleet.Plans {
		// Replicas and data daemons a region, and how many times the plan's load.
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
						park := fleet.NewPark(seed, plan)
						park.Run(warm)
						region := park.Regions()[index]
						var inside []string
						for _, one := range park.NodeNames() {
							if fleet.Region(park.Zone(one)) == region {
								inside = append(inside, one)
							}
						}
						park.Lose(inside)
						park.Run(10 * time.Second)
						from := park.Now()
						park.Run(22 * time.Second)
						good, all := 0, 0
						for _, one := range park.Requests {
							if one.At >= from && one.At < from+20*time.Second {
								all++
								if one.Verdict == "ok" {
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
