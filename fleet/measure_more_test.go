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

// everyView reports whether the predicate holds for every data daemon's view.
func everyView(cluster *fleet.Cluster, holds func(view *lease.View) bool) bool {
	for _, daemon := range cluster.Datas {
		if !holds(daemon.Holder.View()) {
			return false
		}
	}
	return true
}

// countSlowEndpoints returns the number of endpoints that the view marks as slow.
func countSlowEndpoints(view *lease.View) (count int) {
	for _, table := range view.RoutingTables {
		for _, endpoint := range table.Places {
			if endpoint.Slow {
				count++
			}
		}
	}
	return count
}

// TestMeasureMore prints measurements of failure detection, core changes and fleet size. It
// checks nothing.
func TestMeasureMore(t *testing.T) {
	t.Parallel()
	if !*printMeasurements {
		t.Skip("only with -measure")
	}
	figures := map[string][]float64{}
	add := func(name string, value float64) { figures[name] = append(figures[name], value) }
	for name, newPlan := range fleet.Plans {
		for seed := uint64(1); seed <= 5; seed++ {
			cluster := fleet.NewCluster(seed, newPlan())
			cluster.Run(20 * time.Second)
			dark := cluster.Plan.Replicas[1].ID
			others := slices.DeleteFunc(slices.Clone(cluster.NodeNames()), func(name string) bool { return name == dark })
			began := cluster.Now()
			cluster.Split([]string{dark}, others, true)
			cluster.Until(10*time.Second, func() bool {
				return everyView(cluster, func(view *lease.View) bool {
					return !slices.ContainsFunc(view.RoutingTables[fleet.Region(cluster.Zone(dark))].Rows, func(row routing.Row) bool { return row.Replica == dark })
				})
			})
			add(name+": dark replica, until no data daemon may send to it, s", (cluster.Now() - began).Seconds())
			cluster.Split([]string{dark}, others, false)
			cluster.Run(8 * time.Second)
			for _, replica := range cluster.Replicas {
				if cluster.Zone(replica.ID) == cluster.Plan.Replicas[0].Zone {
					replica.Slowdown = 4
				}
			}
			maxSlow := 0
			for turn := 0; turn < 20; turn++ {
				cluster.Run(500 * time.Millisecond)
				for _, daemon := range cluster.Datas {
					maxSlow = max(maxSlow, countSlowEndpoints(daemon.Holder.View()))
				}
			}
			add(name+": whole region four times slower, replicas blamed", float64(maxSlow))
			for _, replica := range cluster.Replicas {
				replica.Slowdown = 1
			}
			cluster.Run(8 * time.Second)
			before := map[string]int{}
			for method, count := range cluster.Messages {
				before[method] = count
			}
			digests := cluster.Messages["Register.Digest"]
			at := cluster.Now()
			cluster.Run(24 * time.Second)
			add(name+": repair while copies agree, digests asked for per second", float64(cluster.Messages["Register.Digest"]-digests)/(cluster.Now()-at).Seconds())
			cluster.Crash("c3")
			cluster.Node("c3").Disk.Wipe()
			cluster.Run(time.Second)
			cluster.StartControl("c3")
			cluster.Run(4 * time.Second)
			for method, count := range cluster.Messages {
				before[method] = count
			}
			at = cluster.Now()
			cluster.RejoinCore("c3")
			add(name+": core machine replaced, s", (cluster.Now() - at).Seconds())
			add(name+": core machine replaced, seals and installs sent", float64(cluster.Messages["Register.Seal"]-before["Register.Seal"]+cluster.Messages["Register.Install"]-before["Register.Install"]))
			cluster.Close()
		}
		for count := 1; count <= 7; count++ {
			plan := newPlan()
			kept := map[string]int{}
			plan.Replicas = slices.DeleteFunc(plan.Replicas, func(replica fleet.ReplicaOptions) bool {
				kept[replica.Zone]++
				return kept[replica.Zone] > count
			})
			if count > 1 && len(plan.Replicas) == len(newPlan().Replicas) && !strings.Contains(plan.Replicas[len(plan.Replicas)-1].ID, fmt.Sprint("r", count)) {
				break
			}
			cluster := fleet.NewCluster(1, plan)
			cluster.Run(45 * time.Second)
			answered, asked := fleet.Rate(cluster, 25*time.Second, 44*time.Second)
			add(fmt.Sprintf("%s: %d replicas in all (at most %d a region), share of the plan's load answered", name, len(plan.Replicas), count), float64(answered)/float64(asked))
			cluster.Close()
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
