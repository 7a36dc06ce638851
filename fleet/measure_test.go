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

var measure = flag.Bool("measure", false, "print the figures of docs/measurements.md")

// spread is a figure over seeds: least, median, most.
func spread(list []float64) string {
	slices.Sort(list)
	return fmt.Sprintf("%.3g / %.3g / %.3g", list[0], list[len(list)/2], list[len(list)-1])
}

// TestMeasure prints figures in virtual time or counts; it judges nothing.
func TestMeasure(t *testing.T) {
	t.Parallel()
	if !*measure {
		t.Skip("only with -measure")
	}
	const runs = 5
	figures := map[string][]float64{}
	add := func(name string, value float64) { figures[name] = append(figures[name], value) }
	for name, make := range fleet.Plans {
		for seed := uint64(1); seed <= runs; seed++ {
			park := fleet.NewPark(seed, make())
			park.Run(30 * time.Second)
			asked := park.Messages["Register.Query"]
			renewed := park.Messages["Permit.Renew"]
			greeted, arrived := park.Greeted, len(park.Arrivals)
			park.Run(20 * time.Second)
			add(name+": new connections to replicas per request", float64(park.Greeted-greeted)/float64(len(park.Arrivals)-arrived))
			add(name+": register queries per second", float64(park.Messages["Register.Query"]-asked)/20)
			add(name+": permit renewals per second", float64(park.Messages["Permit.Renew"]-renewed)/20)
			// A leaving replica: from the first word that reaches us.
			first := park.Plan.Replicas[0].ID
			boot := park.Replicas[first].Boot
			park.LeaveByPlatform(first)
			park.Run(6 * time.Second)
			last := time.Duration(0)
			for _, one := range park.Arrivals {
				if one.Replica == first {
					last = max(last, one.At)
				}
			}
			add(name+": leaving replica, word to last request, s", max(0, (last-park.Learned[first+"/"+boot]).Seconds()))
			// An evacuation: from its acknowledgement.
			facts := fleet.Facts{}
			zone := park.Plan.Replicas[len(park.Plan.Replicas)-1].Zone
			if err := park.Evacuate(&facts, zone, false); err != nil {
				t.Fatal(err)
			}
			park.Run(6 * time.Second)
			last = 0
			for _, one := range park.Arrivals {
				if park.Zone(one.Replica) == zone {
					last = max(last, one.At)
				}
			}
			add(name+": evacuation, acknowledgement to last request, s", (last - facts.Evacuated[0].From).Seconds())
			// A configuration with one data daemon frozen.
			frozen := strings.SplitN(park.Plan.Datas[0], ":", 2)[0]
			park.Freeze(frozen, 6*time.Second)
			began := park.Now()
			if err := park.Apply(&facts, "c1"); err != nil {
				t.Fatal(err)
			}
			add(name+": apply with a silent holder, s", (park.Now() - began).Seconds())
			park.Run(8 * time.Second)
			serial := uint64(0)
			for one := range facts.Acked {
				serial = max(serial, one)
			}
			last = 0
			for _, one := range park.Logs() {
				if one.Serial < serial {
					last = max(last, one.At)
				}
			}
			add(name+": acknowledgement to last dispatch under an older serial, s", (last - facts.Acked[serial].At).Seconds())
			before := map[string]int{}
			for method, count := range park.Messages {
				before[method] = count
			}
			began = park.Now()
			if err := park.Apply(&facts, "c1"); err != nil {
				t.Fatal(err)
			}
			add(name+": apply, s", (park.Now() - began).Seconds())
			add(name+": apply, accepts sent by all in that time", float64(park.Messages["Register.Accept"]-before["Register.Accept"]))
			add(name+": apply, offers sent", float64(park.Messages["Permit.Take"]-before["Permit.Take"]))
			park.Close()
			affinity(name, seed, make, add)
			saturate(name, seed, make(), add)
			loseAll(name, seed, make(), add)
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

// affinity compares prompts' own replicas with none, where a zone's shared
// rosters are four times what a replica's cache keeps.
func affinity(name string, seed uint64, make func() fleet.Plan, add func(string, float64)) {
	for word, document := range map[string]string{"with": `"trial_ms"`, "without": `"affinity_slack":0,"trial_ms"`} {
		plan := make()
		plan.Document = strings.Replace(plan.Document, `"trial_ms"`, document, 1)
		for index := range plan.Callers {
			if plan.Callers[index].Bytes > 1000 {
				plan.Callers[index].Rosters = 24
			}
		}
		park := fleet.NewPark(seed, plan)
		park.Run(50 * time.Second)
		hit, all, read := 0, 0, 0
		for _, one := range park.Logs() {
			if one.At > 15*time.Second && one.Bytes > 1000 {
				all++
				if one.Hit {
					hit++
					read += one.Bytes / 16
				} else {
					read += one.Bytes
				}
			}
		}
		add(name+": shared prompts, prefix hit ratio, "+word+" affinity", float64(hit)/float64(all))
		add(name+": shared prompts, bytes of prompt read per request, "+word+" affinity", float64(read)/float64(all))
		park.Close()
	}
}

// saturate offers far more than the replicas bear and shows how much of what replicas bear
// is used.
func saturate(name string, seed uint64, plan fleet.Plan, add func(string, float64)) {
	for index := range plan.Callers {
		plan.Callers[index].Every /= 4
		plan.Callers[index].Tokens = 256 // a second each, and more
		plan.Callers[index].Retries = 0
	}
	park := fleet.NewPark(seed, plan)
	defer park.Close()
	park.Run(30 * time.Second)
	used, bears, over := 0.0, 0.0, 0
	for turn := 0; turn < 40; turn++ {
		park.Run(100 * time.Millisecond)
		for _, one := range park.Replicas {
			used += float64(one.Units())
			bears += float64(one.Capacity)
		}
	}
	for _, one := range park.Replicas {
		over += one.Over
	}
	add(name+": saturated, share of what replicas bear that is used", used/bears)
	add(name+": saturated, requests beyond what a warm replica bears", float64(over))
}

// loseAll ends everything at once and shows what is served after the return.
func loseAll(name string, seed uint64, plan fleet.Plan, add func(string, float64)) {
	park := fleet.NewPark(seed, plan)
	defer park.Close()
	park.Run(20 * time.Second)
	before, _ := fleet.Rate(park, park.Now()-5*time.Second, park.Now())
	back := loseAndReturn(park)
	for _, second := range []int{2, 4, 6, 8, 12} {
		park.Run(back + time.Duration(second)*time.Second - park.Now())
		answered, _ := fleet.Rate(park, park.Now()-2*time.Second, park.Now())
		add(fmt.Sprintf("%s: full loss, served in the two seconds before second %02d, share of before", name, second), float64(answered)*2.5/float64(before))
	}
}

// loseAndReturn crashes every daemon and replica and starts all again 3 s later.
func loseAndReturn(park *fleet.Park) (back time.Duration) {
	ends := park.Lose(park.NodeNames())
	park.Run(3 * time.Second)
	back = park.Now()
	park.Return(ends)
	return back
}
