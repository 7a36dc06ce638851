package fleet_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

var printMeasurements = flag.Bool("measure", false, "print the figures of docs/measurements.md")

// spread formats the minimum, median and maximum of a value over seeds.
func spread(list []float64) string {
	slices.Sort(list)
	return fmt.Sprintf("%.3g / %.3g / %.3g", list[0], list[len(list)/2], list[len(list)-1])
}

// TestMeasure prints measurements in virtual time, and counts. It checks nothing.
func TestMeasure(t *testing.T) {
	t.Parallel()
	if !*printMeasurements {
		t.Skip("only with -measure")
	}
	const runs = 5
	figures := map[string][]float64{}
	add := func(name string, value float64) { figures[name] = append(figures[name], value) }
	for name, newPlan := range fleet.Plans {
		for seed := uint64(1); seed <= runs; seed++ {
			cluster := fleet.NewCluster(seed, newPlan())
			cluster.Run(30 * time.Second)
			asked := cluster.Messages["Register.Query"]
			renewed := cluster.Messages["Permit.Renew"]
			greeted, arrived := cluster.IdentityChecks, len(cluster.Arrivals)
			cluster.Run(20 * time.Second)
			add(name+": new connections to replicas per request", float64(cluster.IdentityChecks-greeted)/float64(len(cluster.Arrivals)-arrived))
			add(name+": register queries per second", float64(cluster.Messages["Register.Query"]-asked)/20)
			add(name+": permit renewals per second", float64(cluster.Messages["Permit.Renew"]-renewed)/20)
			// A leaving replica: from the time when the first daemon learns that it leaves.
			first := cluster.Plan.Replicas[0].ID
			boot := cluster.Replicas[first].Boot
			cluster.MarkLeavingInList(first)
			cluster.Run(6 * time.Second)
			last := time.Duration(0)
			for _, entry := range cluster.Arrivals {
				if entry.Replica == first {
					last = max(last, entry.At)
				}
			}
			add(name+": leaving replica, word to last request, s", max(0, (last-cluster.TerminationLearned[first+"/"+boot]).Seconds()))
			// An evacuation: from its acknowledgement to the last request in the zone.
			facts := fleet.Facts{}
			zone := cluster.Plan.Replicas[len(cluster.Plan.Replicas)-1].Zone
			if err := cluster.Evacuate(&facts, zone, false); err != nil {
				t.Fatal(err)
			}
			cluster.Run(6 * time.Second)
			last = 0
			for _, entry := range cluster.Arrivals {
				if cluster.Zone(entry.Replica) == zone {
					last = max(last, entry.At)
				}
			}
			add(name+": evacuation, acknowledgement to last request, s", (last - facts.Evacuated[0].From).Seconds())
			// A configuration change while one data daemon is frozen.
			frozen := strings.SplitN(cluster.Plan.Datas[0], ":", 2)[0]
			cluster.Freeze(frozen, 6*time.Second)
			began := cluster.Now()
			if err := cluster.Apply(&facts, "c1"); err != nil {
				t.Fatal(err)
			}
			add(name+": apply with a silent holder, s", (cluster.Now() - began).Seconds())
			cluster.Run(8 * time.Second)
			serial := uint64(0)
			for entry := range facts.Acked {
				serial = max(serial, entry)
			}
			last = 0
			for _, entry := range cluster.Logs() {
				if entry.Serial < serial {
					last = max(last, entry.At)
				}
			}
			add(name+": acknowledgement to last dispatch under an older serial, s", (last - facts.Acked[serial].At).Seconds())
			before := map[string]int{}
			for method, count := range cluster.Messages {
				before[method] = count
			}
			began = cluster.Now()
			if err := cluster.Apply(&facts, "c1"); err != nil {
				t.Fatal(err)
			}
			add(name+": apply, s", (cluster.Now() - began).Seconds())
			add(name+": apply, accepts sent by all in that time", float64(cluster.Messages["Register.Accept"]-before["Register.Accept"]))
			add(name+": apply, offers sent", float64(cluster.Messages["Permit.Take"]-before["Permit.Take"]))
			cluster.Close()
			measureAffinity(name, seed, newPlan, add)
			measureSaturation(name, seed, newPlan(), add)
			measureFullLoss(name, seed, newPlan(), add)
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

// measureAffinity compares prefix cache hits with and without affinity of prompts to replicas,
// where the shared rosters of a zone are four times what a replica's cache holds.
func measureAffinity(name string, seed uint64, newPlan func() fleet.Plan, add func(string, float64)) {
	for variant, document := range map[string]string{"with": `"trial_ms"`, "without": `"affinity_slack":0,"trial_ms"`} {
		plan := newPlan()
		plan.Document = strings.Replace(plan.Document, `"trial_ms"`, document, 1)
		for index := range plan.Callers {
			if plan.Callers[index].Bytes > 1000 {
				plan.Callers[index].PromptGroups = 24
			}
		}
		cluster := fleet.NewCluster(seed, plan)
		cluster.Run(50 * time.Second)
		hit, all, prefilled := 0, 0, 0
		for _, entry := range cluster.Logs() {
			if entry.At > 15*time.Second && entry.Bytes > 1000 {
				all++
				if entry.Hit {
					hit++
					prefilled += entry.Bytes / 16
				} else {
					prefilled += entry.Bytes
				}
			}
		}
		add(name+": shared prompts, prefix hit ratio, "+variant+" affinity", float64(hit)/float64(all))
		add(name+": shared prompts, bytes of prompt read per request, "+variant+" affinity", float64(prefilled)/float64(all))
		cluster.Close()
	}
}

// measureSaturation offers far more load than the replicas' capacity and measures how much of the
// capacity is used.
func measureSaturation(name string, seed uint64, plan fleet.Plan, add func(string, float64)) {
	for index := range plan.Callers {
		plan.Callers[index].Every /= 4
		plan.Callers[index].Tokens = 256 // a second or more each
		plan.Callers[index].Retries = 0
	}
	cluster := fleet.NewCluster(seed, plan)
	defer cluster.Close()
	cluster.Run(30 * time.Second)
	used, capacity, over := 0.0, 0.0, 0
	for turn := 0; turn < 40; turn++ {
		cluster.Run(100 * time.Millisecond)
		for _, replica := range cluster.Replicas {
			used += float64(replica.Units())
			capacity += float64(replica.Capacity)
		}
	}
	for _, replica := range cluster.Replicas {
		over += replica.WarmOverload
	}
	add(name+": saturated, share of what replicas bear that is used", used/capacity)
	add(name+": saturated, requests beyond what a warm replica bears", float64(over))
}

// measureFullLoss crashes everything at once and measures the share of requests answered after
// the restart.
func measureFullLoss(name string, seed uint64, plan fleet.Plan, add func(string, float64)) {
	cluster := fleet.NewCluster(seed, plan)
	defer cluster.Close()
	cluster.Run(20 * time.Second)
	before, _ := fleet.Rate(cluster, cluster.Now()-5*time.Second, cluster.Now())
	back := restartAll(cluster)
	for _, second := range []int{2, 4, 6, 8, 12} {
		cluster.Run(back + time.Duration(second)*time.Second - cluster.Now())
		answered, _ := fleet.Rate(cluster, cluster.Now()-2*time.Second, cluster.Now())
		add(fmt.Sprintf("%s: full loss, served in the two seconds before second %02d, share of before", name, second), float64(answered)*2.5/float64(before))
	}
}

// restartAll crashes every daemon and replica, restarts all of them 3 s later, and returns the
// time of the restart.
func restartAll(cluster *fleet.Cluster) (back time.Duration) {
	lost := cluster.CrashAll(cluster.NodeNames())
	cluster.Run(3 * time.Second)
	back = cluster.Now()
	cluster.RestartAll(lost)
	return back
}
