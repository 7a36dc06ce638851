package fleet_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/sim"
)

var points = flag.Int("points", 1, "at how many numbered points of each step and fate a fault is put, spread evenly; 0: at every one")

// step is an operator's or the system's own step whose calls and disk steps are
// numbered. It tells what it came to, if that has to be so even with one fault.
type step struct {
	name string
	run  func(park *fleet.Park, facts *fleet.Facts)
}

var steps = []step{
	{"apply", func(park *fleet.Park, facts *fleet.Facts) { _ = park.Apply(facts, "c1") }},
	{"evacuate and hand back", func(park *fleet.Park, facts *fleet.Facts) {
		_ = park.Evacuate(facts, "west-1", false)
		park.Run(time.Second)
		_ = park.Evacuate(facts, "west-1", true)
	}},
	{"core change", func(park *fleet.Park, _ *fleet.Facts) {
		park.Crash("c3")
		park.Node("c3").Disk.Wipe()
		park.StartControl("c3")
		park.Run(2 * time.Second)
		_ = park.Readd("c3")
	}},
	{"handover", func(park *fleet.Park, _ *fleet.Facts) {
		_ = park.Do("c1", 5*time.Second, func(daemon *controlplane.Daemon) error {
			_, err := daemon.Handover("h1", park.Model, "v2", []string{"east"})
			return err
		})
		park.Run(16 * time.Second)
	}},
	{"rollback", func(park *fleet.Park, _ *fleet.Facts) {
		_ = park.Do("c1", 5*time.Second, func(daemon *controlplane.Daemon) error {
			_, err := daemon.Objects.Rollback(park.Model, nil, time.Minute)
			return err
		})
	}},
	{"duty change", func(park *fleet.Park, _ *fleet.Facts) {
		if holder := park.Holder("east"); holder != "" {
			park.StopControl(holder)
			park.Run(5 * time.Second)
			park.StartControl(holder)
		}
	}},
	{"planned stop", func(park *fleet.Park, _ *fleet.Facts) {
		park.StopData("d1")
		park.StartData("d1")
	}},
}

// counted are the calls that carry the steps; beats, renewals and reads go on all
// the time.
func counted(method string) bool {
	for _, name := range []string{"Register.Prepare", "Register.Accept", "Register.Seal", "Register.Install", "Permit.Take", "Permit.Fetch", "Ticket."} {
		if strings.HasPrefix(method, name) {
			return true
		}
	}
	return false
}

const diskDies = sim.Fate(100) // the process dies at a numbered disk step

// pointed runs a step with one fault at a numbered point; 0 is none. It gives how
// many points the step has.
func pointed(t *testing.T, one step, fate sim.Fate, point int) (total int) {
	park := fleet.NewPark(5, quick())
	defer park.Close()
	park.Run(10 * time.Second)
	if one.name == "rollback" {
		begin(park, "h0")
		for _, region := range park.Regions() {
			settled(park, region, 60*time.Second)
		}
	}
	facts := park.Begin()
	var dead []string
	park.OnKill = func(name string) {
		if park.Node(name).Up() {
			park.Crash(name)
			dead = append(dead, name)
			park.At(1500*time.Millisecond, func() {
				if !park.Node(name).Up() {
					park.Return([]string{name})
				}
			})
		}
	}
	struck := false
	if fate == diskDies {
		park.SetHook("disk.sync", func(node *sim.Node, _ int) {
			if total++; total == point {
				struck = true
				park.ScheduleKill(node.Name)
			}
		})
	} else {
		park.OnCall = func(from, to, method string) sim.Fate {
			if !counted(method) {
				return sim.Delivered
			}
			if total++; total == point {
				struck = true
				return fate
			}
			return sim.Delivered
		}
	}
	one.run(park, &facts)
	count := total
	park.OnCall = nil
	park.SetHook("disk.sync", nil)
	if point == 0 {
		return count
	}
	if !struck {
		t.Errorf("vacuous: %s has only %d points, %d was meant", one.name, count, point)
	}
	park.Run(8 * time.Second)
	facts.Need("a configuration afterwards", park.Apply(&facts, "c2"))
	from := park.Now()
	park.Run(5 * time.Second)
	if answered, asked := fleet.Rate(park, from, park.Now()); answered*10 < asked*9 {
		t.Errorf("serves %d of %d afterwards", answered, asked)
	}
	if one.name == "handover" {
		if run := settled(park, "east", 60*time.Second); run.ID != "" && run.State == "running" {
			t.Errorf("the run never ends: at %s %s", run.At, run.Last)
		}
	}
	park.Quiet = true
	park.Run(8 * time.Second)
	clean(t, park, facts)
	return count
}

// TestNumberedPoints numbers every call and disk step of the steps in a recorded
// run and then puts a fault at each in turn: the call is lost, or its answer, or
// it comes late or twice, or its sender or receiver dies, or the process dies at
// the disk. CI takes a spread-out part; -points 0 takes all.
func TestNumberedPoints(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation; the race detector has one task at a time to look at")
	}
	fates := map[string]sim.Fate{"call lost": sim.RequestLost, "answer lost": sim.ResponseLost, "late": sim.RequestDelayed, "twice": sim.RequestDuplicated, "sender dies": sim.SenderKilled, "receiver dies": sim.ReceiverKilled, "dies at the disk": diskDies}
	for _, one := range steps {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			calls, disks := pointed(t, one, sim.Delivered, 0), pointed(t, one, diskDies, 0)
			t.Logf("%s: %d calls, %d disk steps", one.name, calls, disks)
			if calls == 0 || disks == 0 {
				t.Fatal("vacuous: nothing to put a fault at")
			}
			for name, fate := range fates {
				total := calls
				if fate == diskDies {
					total = disks
				}
				count := *points
				if count == 0 || count > total {
					count = total
				}
				for index := 0; index < count; index++ {
					point := 1 + (2*index+1)*total/(2*count)
					point = min(point, total)
					t.Run(fmt.Sprintf("%s/%d", name, point), func(t *testing.T) {
						t.Parallel()
						pointed(t, one, fate, point)
					})
				}
			}
		})
	}
}
