package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swifttiller/controlplane"
	"swifttiller/sim"
)

// day is a random sequence of failures and operators' actions that may overlap, whereas Faults are
// injected one at a time. Every event begins at its time and is repaired later, whatever else is
// going on by then.
//
// Invariants: at most one disk of the core is lost per day, which is what the registers tolerate.
// At most one zone is evacuated at a time. An operator's action is answered before the next one
// begins, so that the replies can be judged.
type day struct {
	*Cluster
	facts          *Facts
	rng            *rand.Rand
	evacuatedZone  string // empty if none is
	isOperatorBusy bool
	isDiskLost     bool // a core disk was wiped; its machine must be readmitted to the core
	hasBadVersion  bool // the rollout of a failing version was started
	started        []string
	isNarrowed     bool
	wideDocument   string
}

// Event is something that may begin during a day. Run reports whether it did; it does not if the event
// makes no sense in the current state.
type Event struct {
	Name string
	Run  func(day *day) bool
}

// span draws a duration of at least least and below most.
func (day *day) span(least, most time.Duration) time.Duration {
	return least + time.Duration(day.rng.Int64N(int64(most-least)))
}

// choose draws one of the names.
func (day *day) choose(names []string) string { return names[day.rng.IntN(len(names))] }

// running returns those of the named nodes that are up and not frozen.
func (day *day) running(names []string) (up []string) {
	for _, name := range names {
		if day.Node(name).Up() && !day.Node(name).Frozen() {
			up = append(up, name)
		}
	}
	return up
}

func (day *day) daemons() []string { return append(day.controlDaemons(), day.dataDaemons()...) }

// restartAfter restarts those of the named nodes that are down after the delay.
func (day *day) restartAfter(after time.Duration, names ...string) {
	day.At(after, func() {
		for _, name := range names {
			if !day.Node(name).Up() {
				day.RestartAll([]string{name})
			}
		}
	})
}

// crashOne crashes one of the named nodes that are running, and restarts it later.
func (day *day) crashOne(names []string, least, most time.Duration) bool {
	up := day.running(names)
	if len(up) == 0 {
		return false
	}
	name := day.choose(up)
	day.Crash(name)
	day.restartAfter(day.span(least, most), name)
	return true
}

// freeze freezes one of the named nodes that are running, for at least 300 ms.
func (day *day) freeze(names []string, most time.Duration) bool {
	up := day.running(names)
	if len(up) == 0 {
		return false
	}
	day.Freeze(day.choose(up), day.span(300*time.Millisecond, most))
	return true
}

// partition disconnects the named nodes from all others for a while, in one direction or both.
func (day *day) partition(inside []string) bool {
	var outside []string
	for _, name := range day.NodeNames() {
		if !slices.Contains(inside, name) {
			outside = append(outside, name)
		}
	}
	direction := day.rng.IntN(4) // 0 and 1: one direction only
	cut := func(isCut bool) {
		for _, a := range inside {
			for _, b := range outside {
				if direction != 0 {
					day.Cut(a, b, isCut)
				}
				if direction != 1 {
					day.Cut(b, a, isCut)
				}
			}
		}
	}
	cut(true)
	day.At(day.span(500*time.Millisecond, 10*time.Second), func() { cut(false) })
	return true
}

// operate runs an operator's action at a running control daemon, unless another action is pending.
func (day *day) operate(operation func(daemon *controlplane.Daemon)) bool {
	up := day.running(day.controlDaemons())
	if day.isOperatorBusy || len(up) == 0 {
		return false
	}
	name := day.choose(up)
	daemon := day.Controls[name]
	day.isOperatorBusy = true
	day.Node(name).Go(func() { operation(daemon); day.isOperatorBusy = false })
	// A daemon that crashes during the action never replies.
	day.At(25*time.Second, func() { day.isOperatorBusy = false })
	return true
}

// apply applies the current document.
func (day *day) apply(daemon *controlplane.Daemon) {
	document := day.VariedDocument()
	homes, submitted := day.homesOf(document), day.Now()
	// Both the old and the new homes are allowed until the outcome is known.
	index := len(day.facts.Homes)
	day.facts.Homes = append(day.facts.Homes, Homes{From: submitted, Since: 1 << 60, Of: homes})
	if applied, err := daemon.Apply(document, nil, false); err == nil {
		day.acknowledge(day.facts, daemon, applied.Serial)
		day.facts.Homes[index].Since = day.Now()
	}
}

// evacuate takes a zone out of service or hands it back, as an operator would.
func (day *day) evacuate(zone string, isBack bool) bool {
	return day.operate(func(daemon *controlplane.Daemon) {
		if isBack {
			for index := range day.facts.Evacuated {
				if span := &day.facts.Evacuated[index]; span.Until == 0 {
					span.Until = day.Now()
				}
			}
		}
		applied, err := daemon.Evacuate(zone, isBack)
		switch {
		case err != nil:
		case isBack:
			day.evacuatedZone = ""
			day.acknowledge(day.facts, daemon, applied.Serial)
		default:
			day.acknowledge(day.facts, daemon, applied.Serial)
			day.facts.Evacuated = append(day.facts.Evacuated, Evacuation{Zone: zone, From: day.Now()})
		}
	})
}

// leave ends a replica as hosting platforms do. Its end is announced by the replica's probes, by the
// platform's list or by both, as drawn.
func (day *day) leave() bool {
	up := day.running(day.ids())
	if len(up) == 0 {
		return false
	}
	name := day.choose(up)
	replica := day.Replicas[name]
	if replica.Leaving {
		return false
	}
	notice := day.rng.IntN(3)
	if notice != 0 {
		replica.ServesWhileLeaving = true
		replica.Leave()
	}
	if notice != 1 {
		day.MarkLeavingInList(name)
	}
	day.At(day.span(day.Grace, 14*time.Second), func() {
		if day.Replicas[name] == replica && day.Node(name).Up() {
			day.Crash(name)
		}
		day.Platform.Remove(name)
		day.At(day.span(time.Second, 4*time.Second), func() {
			if day.Node(name).Up() {
				day.Crash(name)
			}
			options := replica.ReplicaOptions
			options.ServesWhileLeaving = false
			day.StartReplica(options)
			day.Platform.Add(Region(options.Zone), name, name, options.Zone)
		})
	})
	return true
}

// stop begins a planned stop and restart of a data daemon, and does not wait for it.
func (day *day) stop() bool {
	up := day.running(day.dataDaemons())
	if len(up) < 2 {
		return false
	}
	name := day.choose(up)
	daemon := day.Datas[name]
	day.Node(name).Go(func() {
		daemon.Stop(8 * time.Second)
		day.closed[name] = true
		day.At(200*time.Millisecond, func() {
			day.closed[name] = false
			day.Crash(name)
			day.restartAfter(300*time.Millisecond, name)
		})
	})
	day.At(12*time.Second, func() { day.closed[name] = false })
	return true
}

// addCallers starts more callers for a while, modelled after drawn callers of the plan.
func (day *day) addCallers(modify func(crowd *CallerGroup)) bool {
	crowd := day.Plan.Callers[day.rng.IntN(len(day.Plan.Callers))]
	crowd.Name, crowd.From, crowd.Until = fmt.Sprint("day-", day.rng.Uint32(), "-", crowd.Name), 0, day.Now()+day.span(2*time.Second, 10*time.Second)
	crowd.Every = min(crowd.Every/4, 60*time.Millisecond)
	modify(&crowd)
	day.crowd(&crowd)
	return true
}

// disk makes the disk of a running core machine fail for a while. If isCrashing is set, the machine
// crashes at the end of it and is restarted.
func (day *day) disk(breakDisk func(disk *sim.Disk), restore func(disk *sim.Disk), isCrashing bool) bool {
	up := day.running(day.seeds())
	if len(up) == 0 {
		return false
	}
	name := day.choose(up)
	breakDisk(day.Node(name).Disk)
	day.At(day.span(time.Second, 9*time.Second), func() {
		restore(day.Node(name).Disk)
		if isCrashing && day.Node(name).Up() {
			day.Crash(name)
			day.restartAfter(500*time.Millisecond, name)
		}
	})
	return true
}

// handover starts a rollout to a version that works, or that fails in a drawn way.
func (day *day) handover(isBad bool) bool {
	if isBad && day.hasBadVersion {
		return false
	}
	version := fmt.Sprint("v", day.rng.IntN(1000)+2)
	if isBad {
		failure := []FailureMode{Errs, Cut, Empty, Garbled}[day.rng.IntN(4)]
		isFailing := func(heldVersion, _ string, _ int) bool { return heldVersion == "bad" }
		for index := range day.Plan.Replicas {
			day.Plan.Replicas[index].Bad, day.Plan.Replicas[index].Failure = isFailing, failure
		}
		for _, name := range day.ids() {
			day.Replicas[name].Bad, day.Replicas[name].Failure = isFailing, failure
		}
		version = "bad"
	}
	return day.operate(func(daemon *controlplane.Daemon) {
		if isBad && !day.hasBadVersion {
			day.hasBadVersion, day.facts.Bad, day.facts.BadFrom = true, version, day.Now()
		}
		_, _ = daemon.Handover(fmt.Sprint("day-", version, "-", day.Now().Milliseconds()), day.Model, version, nil)
	})
}

// watchRouting records when a region is first seen to route its traffic to the bad version.
func (day *day) watchRouting() {
	for _, name := range day.dataDaemons() {
		for region, table := range day.Datas[name].Holder.View().RoutingTables {
			for _, row := range table.Rows {
				if row.Version == day.facts.Bad && !row.Trial && !row.Back && day.facts.Moved[region] == 0 {
					day.facts.Moved[region] = day.Now()
				}
			}
		}
	}
	day.At(observeInterval, day.watchRouting)
}

// Events are all events that a day may consist of.
var Events = []Event{
	{"data daemon killed", func(day *day) bool { return day.crashOne(day.dataDaemons(), 300*time.Millisecond, 5*time.Second) }},
	{"control daemon killed", func(day *day) bool { return day.crashOne(day.controlDaemons(), 300*time.Millisecond, 8*time.Second) }},
	{"replica killed", func(day *day) bool { return day.crashOne(day.ids(), 300*time.Millisecond, 8*time.Second) }},
	{"daemons killed in a herd", func(day *day) bool {
		up := day.running(day.daemons())
		day.rng.Shuffle(len(up), func(a, b int) { up[a], up[b] = up[b], up[a] })
		for _, name := range up[:len(up)/2] {
			day.Crash(name)
			day.restartAfter(day.span(300*time.Millisecond, 5*time.Second), name)
		}
		return len(up) > 1
	}},
	{"a stop and start", (*day).stop},
	{"data daemon frozen", func(day *day) bool { return day.freeze(day.dataDaemons(), 9*time.Second) }},
	{"control daemon frozen", func(day *day) bool { return day.freeze(day.controlDaemons(), 9*time.Second) }},
	{"replica frozen", func(day *day) bool { return day.freeze(day.ids(), 9*time.Second) }},
	{"a machine parted", func(day *day) bool { return day.partition([]string{day.choose(append(day.daemons(), day.ids()...))}) }},
	{"core machine parted", func(day *day) bool { return day.partition([]string{day.choose(day.seeds())}) }},
	{"region parted", func(day *day) bool {
		inside, _ := day.splitByRegion(day.choose(day.Regions()))
		return day.partition(inside)
	}},
	{"region lost", func(day *day) bool {
		inside, _ := day.splitByRegion(day.choose(day.Regions()))
		crashed := day.CrashAll(inside)
		day.restartAfter(day.span(time.Second, 8*time.Second), crashed...)
		return len(crashed) > 0
	}},
	{"everything lost", func(day *day) bool {
		if day.rng.IntN(4) > 0 {
			return false
		}
		crashed := day.CrashAll(day.NodeNames())
		for _, name := range crashed {
			day.restartAfter(day.span(500*time.Millisecond, 3*time.Second), name)
		}
		return true
	}},
	{"disk slow", func(day *day) bool {
		slow := day.span(100*time.Millisecond, time.Second)
		return day.disk(func(disk *sim.Disk) { disk.SyncDelay = slow }, func(disk *sim.Disk) { disk.SyncDelay = 0 }, false)
	}},
	{"disk full", func(day *day) bool {
		return day.disk(func(disk *sim.Disk) { disk.Full = true }, func(disk *sim.Disk) { disk.Full = false }, true)
	}},
	{"disk sick", func(day *day) bool {
		return day.disk(func(disk *sim.Disk) { disk.FailSyncs = true }, func(disk *sim.Disk) { disk.FailSyncs = false }, true)
	}},
	{"disk lost", func(day *day) bool {
		up := day.running(day.seeds())
		if day.isDiskLost || len(up) < 3 {
			return false
		}
		day.isDiskLost = true
		name := day.choose(up)
		day.Crash(name)
		day.Node(name).Disk.Wipe()
		day.restartAfter(day.span(300*time.Millisecond, 3*time.Second), name)
		return true
	}},
	{"calls mistreated", func(day *day) bool {
		day.Faults = sim.NetworkFaults{Lost: 0.05, Duplicated: 0.1, Delayed: 0.1, MaxDelay: 1500 * time.Millisecond}
		day.At(day.span(time.Second, 8*time.Second), func() { day.Faults = sim.NetworkFaults{} })
		return true
	}},
	{"a configuration", func(day *day) bool { return day.operate(day.apply) }},
	{"homes change", func(day *day) bool {
		return day.operate(func(daemon *controlplane.Daemon) {
			if day.isNarrowed = !day.isNarrowed; day.isNarrowed {
				day.Document = narrowHomes(day.wideDocument)
			} else {
				day.Document = day.wideDocument
			}
			day.apply(daemon)
		})
	}},
	{"a zone evacuated", func(day *day) bool {
		if day.evacuatedZone != "" {
			return false
		}
		day.evacuatedZone = day.zones[day.choose(day.dataDaemons())]
		if !day.evacuate(day.evacuatedZone, false) {
			day.evacuatedZone = ""
			return false
		}
		return true
	}},
	{"a zone handed back", func(day *day) bool { return day.evacuatedZone != "" && day.evacuate(day.evacuatedZone, true) }},
	{"a replica leaves", (*day).leave},
	{"a handover", func(day *day) bool { return day.handover(false) }},
	{"a bad version", func(day *day) bool { return day.handover(true) }},
	{"a rollback", func(day *day) bool {
		return day.operate(func(daemon *controlplane.Daemon) {
			_, _ = daemon.Objects.Rollback(day.Model, nil, 10*time.Second)
		})
	}},
	{"a crowd", func(day *day) bool { return day.addCallers(func(*CallerGroup) {}) }},
	{"an eager crowd", func(day *day) bool {
		return day.addCallers(func(crowd *CallerGroup) { crowd.Eager, crowd.Retries = true, 6 })
	}},
	{"a hasty crowd", func(day *day) bool {
		return day.addCallers(func(crowd *CallerGroup) {
			crowd.Concurrent, crowd.Eager, crowd.Every = true, true, 200*time.Millisecond
		})
	}},
	{"callers astray", func(day *day) bool {
		return day.addCallers(func(crowd *CallerGroup) { crowd.WrongDaemonFirst, crowd.Home = true, day.anyHome() })
	}},
	{"long answers", func(day *day) bool { return day.addCallers(func(crowd *CallerGroup) { crowd.Tokens *= 12 }) }},
	{"a region slows", func(day *day) bool {
		region := day.choose(day.Regions())
		pace := func(slower float64) {
			for _, name := range day.ids() {
				if Region(day.zones[name]) == region {
					day.Replicas[name].Slowdown = slower
				}
			}
		}
		pace(3)
		day.At(day.span(2*time.Second, 8*time.Second), func() { pace(1) })
		return true
	}},
	{"clocks part", func(day *day) bool {
		for _, name := range day.daemons() {
			day.Node(name).SetClockRate(float64(day.rng.IntN(5)-2) / 100)
			day.Node(name).Skew = time.Duration(day.rng.IntN(7200)-3600) * time.Second
		}
		return true
	}},
}

// Day runs a day of count events, drawn from the seed, at times within the span, and repairs everything
// afterwards. It returns the events that began, in order.
func (park *Cluster) Day(facts *Facts, seed uint64, count int, span time.Duration) []string {
	day := &day{Cluster: park, facts: facts, rng: rand.New(rand.NewPCG(seed, 9)), wideDocument: park.Document}
	start := park.Now()
	facts.Moved = map[string]time.Duration{}
	day.watchRouting()
	for index := 0; index < count; index++ {
		event := Events[day.rng.IntN(len(Events))]
		day.At(day.span(0, span), func() {
			if event.Run(day) {
				day.started = append(day.started, fmt.Sprintf("%s at %v", event.Name, (day.Now()-start).Round(10*time.Millisecond)))
			}
		})
	}
	park.Run(span + 15*time.Second)
	// Machines restart by their own timers; everything else is repaired here, as an operator would.
	park.Faults = sim.NetworkFaults{}
	for _, name := range day.daemons() {
		park.Node(name).SetClockRate(0)
		park.Node(name).Skew = 0
	}
	facts.Must("every machine is running again", park.Until(20*time.Second, func() bool {
		for _, name := range append(day.daemons(), park.ids()...) {
			if !park.Node(name).Up() || park.Node(name).Frozen() {
				return false
			}
		}
		return !day.isOperatorBusy
	}))
	if day.isDiskLost {
		for _, name := range park.seeds() {
			if !isVoter(park, name) {
				facts.Need("readmit "+name, park.RejoinCore(name))
			}
		}
	}
	if day.evacuatedZone != "" {
		facts.Need("hand back", park.Evacuate(facts, day.evacuatedZone, true))
	}
	facts.Need("apply a configuration after the day", park.Apply(facts, park.anyControl()))
	return day.started
}

// isVoter reports whether the machine's current acceptor is a member of the core, according to a
// running control daemon.
func isVoter(park *Cluster, name string) bool {
	for _, member := range park.Controls[park.anyControl()].Core().Members {
		if member.ID == park.Controls[name].Acceptor.ID() {
			return true
		}
	}
	return false
}
