package fleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
	"swifttiller/lease"
	"swifttiller/routing"
)

// everyView tells whether the question holds for every data daemon's view.
func everyView(park *fleet.Park, isIt func(view *lease.View) bool) bool {
	for _, daemon := range park.Datas {
		if !isIt(daemon.Holder.View()) {
			return false
		}
	}
	return true
}

// slowMarks counts the places that a view calls slow.
func slowMarks(view *lease.View) (count int) {
	for _, one := range view.RoutingTables {
		for _, place := range one.Places {
			if place.Slow {
				count++
			}
		}
	}
	return count
}

// TestMeasureMore prints figures of failure detection, core change and size; it
// judges nothing.
func TestMeasureMore(t *testing.T) {
	t.Parallel()
	if !*measure {
		t.Skip("only with -measure")
	}
	figures := map[string][]float64{}
	add := func(name string, value float64) { figures[name] = append(figures[name], value) }
	for name, make := range fleet.Plans {
		for seed := uint64(1); seed <= 5; seed++ {
			park := fleet.NewPark(seed, make())
			park.Run(20 * time.Second)
			dark := park.Plan.Replicas[1].ID
			others := slices.DeleteFunc(slices.Clone(park.NodeNames()), func(name string) bool { return name == dark })
			began := park.Now()
			park.Split([]string{dark}, others, true)
			park.Until(10*time.Second, func() bool {
				return everyView(park, func(view *lease.View) bool {
					return !slices.ContainsFunc(view.RoutingTables[fleet.Region(park.Zone(dark))].Rows, func(row routing.Row) bool { return row.Replica == dark })
				})
			})
			add(name+": dark replica, until no data daemon may send to it, s", (park.Now() - began).Seconds())
			park.Split([]string{dark}, others, false)
			park.Run(8 * time.Second)
			for _, one := range park.Replicas {
				if park.Zone(one.ID) == park.Plan.Replicas[0].Zone {
					one.Slower = 4
				}
			}
			marks := 0
			for turn := 0; turn < 20; turn++ {
				park.Run(500 * time.Millisecond)
				for _, daemon := range park.Datas {
					marks = max(marks, slowMarks(daemon.Holder.View()))
				}
			}
			add(name+": whole region four times slower, replicas blamed", float64(marks))
			for _, one := range park.Replicas {
				one.Slower = 1
			}
			park.Run(8 * time.Second)
			before := map[string]int{}
			for method, count := range park.Messages {
				before[method] = count
			}
			digests := park.Messages["Register.Digest"]
			at := park.Now()
			park.Run(24 * time.Second)
			add(name+": repair while copies agree, digests asked for per second", float64(park.Messages["Register.Digest"]-digests)/(park.Now()-at).Seconds())
			park.Crash("c3")
			park.Node("c3").Disk.Wipe()
			park.Run(time.Second)
			park.StartControl("c3")
			park.Run(4 * time.Second)
			for method, count := range park.Messages {
				before[method] = count
			}
			at = park.Now()
			park.Readd("c3")
			add(name+": core machine replaced, s", (park.Now() - at).Seconds())
			add(name+": core machine replaced, seals and installs sent", float64(park.Messages["Register.Seal"]-before["Register.Seal"]+park.Messages["Register.Install"]-before["Register.Install"]))
			park.Close()
		}
		for count := 1; count <= 7; count++ {
			plan := make()
			kept := map[string]int{}
			plan.Replicas = slices.DeleteFunc(plan.Replicas, func(one fleet.ReplicaOptions) bool {
				kept[one.Zone]++
				return kept[one.Zone] > count
			})
			if count > 1 && len(plan.Replicas) == len(make().Replicas) && !strings.Contains(plan.Replicas[len(plan.Replicas)-1].ID, fmt.Sprint("r", count)) {
				break
			}
			park := fleet.NewPark(1, plan)
			park.Run(45 * time.Second)
			answered, asked := fleet.Rate(park, 25*time.Second, 44*time.Second)
			add(fmt.Sprintf("%s: %d replicas in all (at most %d a region), share of the plan's load answered", name, len(plan.Replicas), count), float64(answered)/float64(asked))
			park.Close()
		}
	}
	names := []string{}
	for name := range figures {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("| %s | %s |\n", name, spread(figures[name]))
	}
}
