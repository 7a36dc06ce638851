package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/routing"
	"swifttiller/settings"
)

func tree() *settings.Tree {
	tree, problems := settings.Parse([]byte(`{"whole":{"placements":{"m":{"version":"v1","capacity":8}}},"regions":{"a":{"zones":{"a-1":{},"a-2":{}}},"b":{"zones":{"b-1":{}}}}}`))
	if len(problems) > 0 {
		panic(problems)
	}
	return tree
}

func replicas(count int) (list []routing.Replica) {
	for index := 0; index < count; index++ {
		list = append(list, routing.Replica{ID: fmt.Sprint("r", index), Zone: "a-1", Region: "a", Alive: true, Boot: "b", Held: map[string]string{"m/v1": routing.Ready, "m/v2": routing.Ready}})
	}
	return list
}

// simDaemon is a simulated data daemon that respects its credits.
type simDaemon struct {
	credits     map[string]int
	serial      uint64
	running     map[string]int
	mayRunHeavy map[string]bool // replicas at which it may run one request of any cost
	runsHeavy   map[string]bool // replicas at which it runs one
}

func newSimDaemon() *simDaemon {
	return &simDaemon{credits: map[string]int{}, running: map[string]int{}, mayRunHeavy: map[string]bool{}, runsHeavy: map[string]bool{}}
}

func TestCreditsNeverExceedCapacity(t *testing.T) {
	Convey("in whatever order daemons apply the routing tables, and whichever of them restart", t, func() {
		heavyRuns := 0
		defer func() { So(heavyRuns, ShouldBeGreaterThan, 50) }()
		for seed := uint64(1); seed <= 60; seed++ {
			random := rand.New(rand.NewPCG(seed, 1))
			names := []string{"d1", "d2", "d3", "d4"}
			daemons := map[string]*simDaemon{}
			for _, name := range names {
				daemons[name] = newSimDaemon()
			}
			list := replicas(2)
			var previous *routing.Table
			history := []routing.Table{}
			previousMax := map[string]int{}
			for round := 0; round < 200; round++ {
				input := routing.Input{Region: "a", Tree: tree(), Replicas: list, Routes: map[string]routing.Route{"m": {Version: "v1"}}, Previous: previous, Since: 300 * time.Millisecond, AbsentFor: map[string]time.Duration{}}
				for _, name := range names {
					daemon := daemons[name]
					zone, region := "a-1", "a"
					if name == "d4" {
						zone, region = "b-1", "b"
					}
					report := routing.Report{Standing: map[string]uint64{"a": daemon.serial}, Demand: map[string]float64{"m": float64(random.IntN(12))}, Overflow: map[string]float64{"m": float64(random.IntN(6))}, InFlight: map[string]int{}}
					for id, units := range daemon.running {
						report.InFlight[id] = units
					}
					for _, replica := range list {
						report.Recent = append(report.Recent, routing.Outcome{Replica: replica.ID, Model: "m", Version: "v1", Kind: "k", Boot: replica.Boot, OK: random.IntN(40)})
					}
					if random.IntN(10) > 0 {
						input.Daemons = append(input.Daemons, routing.Daemon{Name: name, Zone: zone, Region: region, Report: report})
					} else {
						input.AbsentFor[name] = time.Second // without a session, but its lease may still be valid
					}
				}
				next := routing.Compute(input)
				next.Serial = uint64(round + 1)
				previous = &next
				history = append(history, next)
				for _, name := range names {
					daemon := daemons[name]
					// Some daemons apply the newest table, some an older one, some none.
					if random.IntN(2) == 0 {
						applied := history[max(0, len(history)-1-random.IntN(3))]
						if applied.Serial > daemon.serial {
							daemon.serial, daemon.credits, daemon.mayRunHeavy = applied.Serial, map[string]int{}, map[string]bool{}
							for _, endpoint := range applied.Places {
								daemon.credits[endpoint.ID], daemon.mayRunHeavy[endpoint.ID] = endpoint.Credits[name], endpoint.IsExclusive(name)
							}
						}
					}
					for _, replica := range list {
						if daemon.running[replica.ID] == 0 && daemon.mayRunHeavy[replica.ID] && random.IntN(3) == 0 {
							daemon.running[replica.ID], daemon.runsHeavy[replica.ID] = routing.MaxRequestCost, true
							heavyRuns++
						} else if running := daemon.running[replica.ID]; running < daemon.credits[replica.ID] {
							daemon.running[replica.ID] += random.IntN(daemon.credits[replica.ID] - running + 1)
						} else if daemon.runsHeavy[replica.ID] {
							if random.IntN(3) == 0 {
								daemon.running[replica.ID], daemon.runsHeavy[replica.ID] = 0, false
							}
						} else if running > 0 {
							daemon.running[replica.ID] -= random.IntN(running + 1)
						}
					}
					if random.IntN(60) == 0 { // killed and restarted
						daemons[name] = newSimDaemon()
					}
				}
				for _, endpoint := range next.Places {
					inForce, credits, allowed, active := 0, 0, 0, 0
					busyDaemons, hasHeavy := 0, false
					for _, name := range names {
						if units := max(endpoint.Credits[name], endpoint.InForce[name]); units > 0 {
							active++
						}
						if running := daemons[name].running[endpoint.ID]; running > 0 {
							busyDaemons++
							hasHeavy = hasHeavy || running > daemons[name].credits[endpoint.ID] && running == routing.MaxRequestCost && daemons[name].runsHeavy[endpoint.ID]
						}
						if endpoint.IsExclusive(name) {
							allowed += routing.MaxRequestCost
						}
						inForce += max(daemons[name].running[endpoint.ID], daemons[name].credits[endpoint.ID])
						credits += endpoint.Credits[name]
						allowed += max(endpoint.Credits[name], endpoint.InForce[name])
					}
					if hasHeavy && busyDaemons > 1 {
						t.Fatalf("seed %d turn %d: flooded: %s runs a heavy request together with others (credits %v, older credits in force %v)", seed, round, endpoint.ID, endpoint.Credits, endpoint.InForce)
					}
					if credits > endpoint.Capacity {
						t.Fatalf("seed %d turn %d: the credits of %s add up to %d, capacity %d", seed, round, endpoint.ID, credits, endpoint.Capacity)
					}
					// Daemons that apply this table and daemons that apply the previous
					// one must fit the capacity together, apart from credits left over
					// from older tables.
					if len(history) > 1 {
						both := 0
						for _, earlier := range history[len(history)-2].Places {
							if earlier.ID == endpoint.ID && earlier.Capacity == endpoint.Capacity {
								for _, name := range names {
									both += max(endpoint.Credits[name], earlier.Credits[name])
								}
							}
						}
						if both > endpoint.Capacity {
							t.Fatalf("seed %d turn %d: the credits of %s in the last two tables add up to %d, capacity %d", seed, round, endpoint.ID, both, endpoint.Capacity)
						}
					}
					if inForce > allowed {
						t.Fatalf("seed %d turn %d: %s has %d units in force, at most %d are allowed (credits %v, older credits in force %v)", seed, round, endpoint.ID, inForce, allowed, endpoint.Credits, endpoint.InForce)
					}
					// The total exceeds the capacity only by what a larger earlier
					// capacity left over, and that part may only shrink.
					if active > 1 && allowed > endpoint.Capacity && allowed > previousMax[endpoint.ID] {
						t.Fatalf("seed %d turn %d: %s may have %d units in force, capacity %d, in the previous table %d (credits %v, older credits in force %v)", seed, round, endpoint.ID, allowed, endpoint.Capacity, previousMax[endpoint.ID], endpoint.Credits, endpoint.InForce)
					}
					previousMax[endpoint.ID] = allowed
				}
				if random.IntN(40) == 0 { // a replica restarts cold
					list[0].Boot += "x"
					for _, name := range names {
						daemons[name].running[list[0].ID], daemons[name].runsHeavy[list[0].ID] = 0, false
					}
				}
			}
		}
	})
}

func daemonReporting(recent ...routing.Outcome) []routing.Daemon {
	return []routing.Daemon{{Name: "d1", Zone: "a-1", Region: "a", Report: routing.Report{Recent: recent}}}
}

func outcome(id, version, kind string, ok, failures int, firstToken time.Duration) routing.Outcome {
	return routing.Outcome{Replica: id, Model: "m", Version: version, Kind: kind, Boot: "b", OK: ok, Mishaps: failures, Least: firstToken}
}

func TestRows(t *testing.T) {
	compute := func(change func(*routing.Input)) routing.Table {
		input := routing.Input{Region: "a", Tree: tree(), Replicas: replicas(4), Routes: map[string]routing.Route{"m": {Version: "v1"}}, Daemons: daemonReporting()}
		change(&input)
		return routing.Compute(input)
	}
	ids := func(out routing.Table) (list []string) {
		for _, row := range out.Rows {
			list = append(list, row.Replica)
		}
		return list
	}
	Convey("leaving, unresponsive, evacuated and unloaded replicas get no rows", t, func() {
		So(ids(compute(func(input *routing.Input) {
			input.Replicas[0].Leaving = true
			input.Replicas[1].Alive = false
			input.Replicas[2].Held = map[string]string{"m/v1": routing.Loading}
		})), ShouldResemble, []string{"r3"})
		So(ids(compute(func(input *routing.Input) { input.Evacuated = map[string]bool{"a-1": true} })), ShouldBeEmpty)
	})
	Convey("a replica that alone fails at a kind is denied that kind; when all fail, none is denied", t, func() {
		alone := compute(func(input *routing.Input) {
			input.Daemons = daemonReporting(outcome("r0", "v1", "k", 1, 5, 0), outcome("r1", "v1", "k", 20, 0, 0), outcome("r0", "v1", "j", 9, 0, 0))
		})
		So(alone.Rows[0].Deny, ShouldResemble, []string{"k"})
		So(alone.Rows[1].Deny, ShouldBeEmpty)
		all := compute(func(input *routing.Input) {
			input.Daemons = daemonReporting(outcome("r0", "v1", "k", 1, 5, 0), outcome("r1", "v1", "k", 1, 5, 0))
		})
		So(all.Rows[0].Deny, ShouldBeEmpty)
	})
	Convey("a slow replica is marked; when the whole region slows down, none is", t, func() {
		withLatencies := func(latencies ...time.Duration) routing.Table {
			return compute(func(input *routing.Input) {
				var list []routing.Outcome
				for index, latency := range latencies {
					list = append(list, outcome(fmt.Sprint("r", index), "v1", "k", 9, 0, latency))
				}
				input.Daemons = daemonReporting(list...)
			})
		}
		slowed := withLatencies(3*time.Second, 200*time.Millisecond, 220*time.Millisecond, 180*time.Millisecond)
		So(slowed.Places[0].Slow, ShouldBeTrue)
		So(slowed.Places[1].Slow, ShouldBeFalse)
		for _, endpoint := range withLatencies(3*time.Second, 2900*time.Millisecond, 3100*time.Millisecond, 2500*time.Millisecond).Places {
			So(endpoint.Slow, ShouldBeFalse)
		}
	})
	Convey("a replica with only one prefix cache hit is not slow", t, func() {
		out := compute(func(input *routing.Input) {
			mostlyNew := outcome("r0", "v1", "k", 9, 0, 900*time.Millisecond)
			mostlyNew.Least = 40 * time.Millisecond
			input.Daemons = daemonReporting(mostlyNew, outcome("r1", "v1", "k", 9, 0, 30*time.Millisecond), outcome("r2", "v1", "k", 9, 0, 30*time.Millisecond))
		})
		So(out.Places[0].Slow, ShouldBeFalse)
	})
	Convey("a trial has rows on its replicas until it clearly fails", t, func() {
		trialRows := func(recent ...routing.Outcome) (rows int) {
			out := compute(func(input *routing.Input) {
				input.Routes = map[string]routing.Route{"m": {Version: "v1", Trial: "v2", TrialReplicas: []string{"r1"}}}
				input.Daemons = daemonReporting(recent...)
			})
			for _, row := range out.Rows {
				if row.Trial {
					rows++
				}
			}
			return rows
		}
		So(trialRows(), ShouldEqual, 1)
		So(trialRows(outcome("r1", "v2", "k", 30, 1, 0)), ShouldEqual, 1)
		So(trialRows(outcome("r1", "v2", "k", 30, 0, 0), outcome("r1", "v2", "j", 0, 3, 0)), ShouldEqual, 0)
	})
	Convey("a region lends spare capacity to daemons of other regions, after its own demand", t, func() {
		lentUnits := func(localDemand float64) (units int) {
			warmth := map[string]float64{}
			for index := 0; index < 4; index++ {
				warmth[fmt.Sprintf("r%d/b", index)] = 1
			}
			out := compute(func(input *routing.Input) {
				input.Previous = &routing.Table{Warmth: warmth}
				input.Daemons = []routing.Daemon{
					{Name: "near", Zone: "a-1", Region: "a", Report: routing.Report{Demand: map[string]float64{"m": localDemand}}},
					{Name: "far", Zone: "b-1", Region: "b", Report: routing.Report{Overflow: map[string]float64{"m": 20}}},
				}
			})
			for _, endpoint := range out.Places {
				units += endpoint.Credits["far"]
			}
			return units
		}
		So(lentUnits(30), ShouldEqual, 0)
		So(lentUnits(2), ShouldBeGreaterThan, 8)
		So(lentUnits(2), ShouldBeLessThanOrEqualTo, 20)
	})
}

// TestFrozenDaemonKeepsItsCredits guards against overloading a cold replica: a frozen daemon
// looks like a killed one from outside, but its requests continue on the replica.
func TestFrozenDaemonKeepsItsCredits(t *testing.T) {
	Convey("no other daemon gets credits at a cold replica until the streams there must have ended", t, func() {
		input := routing.Input{Region: "a", Tree: tree(), Replicas: replicas(1), Routes: map[string]routing.Route{"m": {Version: "v1"}}, Since: 300 * time.Millisecond, AbsentFor: map[string]time.Duration{}}
		reporting := func(name string, serial uint64, running int) routing.Daemon {
			return routing.Daemon{Name: name, Zone: "a-1", Region: "a", Report: routing.Report{Standing: map[string]uint64{"a": serial}, Demand: map[string]float64{"m": 4}, InFlight: map[string]int{"r0": running}}}
		}
		compute := func(daemons ...routing.Daemon) routing.Endpoint {
			input.Daemons = daemons
			serial := uint64(1)
			if input.Previous != nil {
				serial = input.Previous.Serial + 1
			}
			next := routing.Compute(input)
			next.Serial = serial
			input.Previous = &next
			return next.Places[0]
		}
		So(compute(reporting("d1", 0, 0)).IsExclusive("d1"), ShouldBeTrue)
		endpoint := compute(reporting("d1", 1, routing.MaxRequestCost))
		So(endpoint.InForce["d1"], ShouldEqual, routing.MaxRequestCost)
		for _, absentFor := range []time.Duration{0, time.Second, 4 * time.Second, 9 * time.Second} {
			input.AbsentFor["d1"] = absentFor
			So(compute(reporting("d2", input.Previous.Serial, 0)).Credits["d2"], ShouldEqual, 0)
		}
		input.AbsentFor["d1"] = 11 * time.Second
		So(compute(reporting("d2", input.Previous.Serial, 0)).Credits["d2"], ShouldBeGreaterThan, 0)
	})
}
