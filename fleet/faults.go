package fleet

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"swifttiller/controlplane"
	"swifttiller/lease"
	"swifttiller/settings"
	"swifttiller/sim"
)

// Fault is a failure, or an operator's action, that is injected into a running simulated cluster.
// It may let time pass, and fills in the facts that checkers need.
type Fault struct {
	Name string
	// Planned faults are maintenance, during which no request may be lost.
	Planned bool
	// Run injects the fault. It states with facts.Need and facts.Must what has to happen for
	// the fault to be one; if any of it did not, the run proves nothing, which is a failure.
	Run func(park *Cluster, facts *Facts)
	// Judges are the rules that must have judged at least one case in such a run.
	Judges []string
}

// Need records a step that the run depends on and that failed.
func (facts *Facts) Need(step string, err error) {
	if err != nil {
		facts.FailedPreconditions = append(facts.FailedPreconditions, fmt.Errorf("%s: %w", step, err))
	}
}

// Must records a condition that the run depends on and that did not hold.
func (facts *Facts) Must(condition string, holds bool) {
	if !holds {
		facts.FailedPreconditions = append(facts.FailedPreconditions, errors.New(condition))
	}
}

// pick draws one of the machines, given as name:zone, and returns its name.
func (park *Cluster) pick(specs []string) string {
	name, _ := split(specs[park.Draw(int64(len(specs)))])
	return name
}

// anyReplica draws a replica.
func (park *Cluster) anyReplica() string {
	names := park.ids()
	return names[park.Draw(int64(len(names)))]
}

// anyControl returns the first running control daemon that is not frozen.
func (park *Cluster) anyControl() string {
	for _, spec := range park.Plan.Controls {
		if name, _ := split(spec); park.Node(name).Up() && !park.Node(name).Frozen() {
			return name
		}
	}
	panic("no control daemon runs")
}

// acknowledge records that the daemon acknowledged a document version, and a hash of the
// version's contents if it is still the current one.
func (park *Cluster) acknowledge(facts *Facts, daemon *controlplane.Daemon, serial uint64) {
	if facts.Acked == nil {
		facts.Acked = map[uint64]Ack{}
	}
	ack := Ack{At: park.Now()}
	if at, config, _ := daemon.Issuer.Current(); at == serial {
		ack.Mark = mark(config)
	}
	facts.Acked[serial] = ack
}

// VariedDocument returns the plan's document with a setting that differs from every earlier variant.
func (park *Cluster) VariedDocument() []byte {
	park.varied++
	return []byte(strings.Replace(park.Document, `"limits":{`, fmt.Sprintf(`"limits":{"archive_ms":%d,`, 21600000+park.varied), 1))
}

// Apply applies a new variant of the plan's document.
func (park *Cluster) Apply(facts *Facts, at string) error {
	return park.ApplyExpecting(facts, at, nil)
}

// ApplyExpecting is Apply with a precondition on the current document version. It records the
// document's homes.
func (park *Cluster) ApplyExpecting(facts *Facts, at string, expect *uint64) error {
	document := park.VariedDocument()
	homes := park.homesOf(document)
	submitted := park.Now()
	return park.Do(at, 20*time.Second, func(daemon *controlplane.Daemon) error {
		applied, err := daemon.Apply(document, expect, false)
		if err == nil {
			park.acknowledge(facts, daemon, applied.Serial)
			facts.Homes = append(facts.Homes, Homes{From: submitted, Since: park.Now(), Of: homes})
		}
		return err
	})
}

// homesOf returns the regions of each home tag in a document.
func (park *Cluster) homesOf(document []byte) map[string][]string {
	tree, problems := settings.Parse(document)
	if len(problems) > 0 {
		panic(problems.Error())
	}
	homes := map[string][]string{}
	leaves, _ := tree.Effective("")
	for key := range leaves {
		if tag, isHome := strings.CutPrefix(key, "homes."); isHome {
			homes[tag], _ = tree.Homes(tag, "")
		}
	}
	return homes
}

// Begin returns the facts that hold before anything is done.
func (park *Cluster) Begin() Facts {
	return Facts{From: park.Now(), Homes: []Homes{{Of: park.homesOf([]byte(park.Document))}}}
}

// Evacuate takes a zone out of service, or hands it back.
func (park *Cluster) Evacuate(facts *Facts, zone string, back bool) error {
	if back {
		for index := range facts.Evacuated {
			if span := &facts.Evacuated[index]; span.Zone == zone && span.Until == 0 {
				span.Until = park.Now()
			}
		}
	}
	return park.Do(park.anyControl(), 20*time.Second, func(daemon *controlplane.Daemon) error {
		applied, err := daemon.Evacuate(zone, back)
		if err == nil {
			park.acknowledge(facts, daemon, applied.Serial)
			if !back {
				facts.Evacuated = append(facts.Evacuated, Evacuation{Zone: zone, From: park.Now()})
			}
		}
		return err
	})
}

// StopData stops a data daemon as planned maintenance does. The caller starts it again.
func (park *Cluster) StopData(name string) {
	done := false
	daemon := park.Datas[name]
	park.Node(name).Go(func() { daemon.Stop(8 * time.Second); done = true })
	park.Until(10*time.Second, func() bool { return done })
	// Close the listener; requests that were accepted before still get their answers.
	park.closed[name] = true
	park.Run(200 * time.Millisecond)
	park.closed[name] = false
	park.Crash(name)
}

// StopControl stops a control daemon as planned maintenance does.
func (park *Cluster) StopControl(name string) {
	done := false
	daemon := park.Controls[name]
	park.Node(name).Go(func() { daemon.Stop(); done = true })
	park.Until(5*time.Second, func() bool { return done })
	park.Crash(name)
}

// CrashAll crashes those of the named nodes that run, except callers, and returns their names.
func (park *Cluster) CrashAll(names []string) (crashed []string) {
	for _, name := range names {
		if park.Node(name).Up() && !strings.HasPrefix(name, "caller") {
			park.Crash(name)
			crashed = append(crashed, name)
		}
	}
	return crashed
}

// RestartAll restarts the named nodes of any kind. Replicas come back with a cold cache.
func (park *Cluster) RestartAll(names []string) {
	for _, name := range names {
		switch {
		case park.Replicas[name] != nil:
			park.StartReplica(park.Replicas[name].ReplicaOptions)
		case park.Engines[name] != nil:
			park.StartEngine(park.Engines[name].EngineOptions)
		case park.Controls[name] != nil:
			park.StartControl(name)
		default:
			park.StartData(name)
		}
	}
}

// Replace ends a replica as hosting platforms do: it is marked as leaving, gets the grace period,
// and comes back under its name three seconds later, cold.
func (park *Cluster) Replace(name string) {
	options := park.Replicas[name].ReplicaOptions
	park.Replicas[name].Leave()
	park.MarkLeavingInList(name)
	park.Run(park.Grace)
	park.Crash(name)
	park.Platform.Remove(name)
	park.Run(3 * time.Second)
	park.StartReplica(options)
	park.Platform.Add(Region(options.Zone), name, name, options.Zone)
}

// othersThan returns all nodes but the named one.
func (park *Cluster) othersThan(name string) (others []string) {
	for _, other := range park.NodeNames() {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// splitByRegion splits the nodes into those of the region and all others.
func (park *Cluster) splitByRegion(region string) (inside, outside []string) {
	for _, name := range park.NodeNames() {
		if Region(park.zones[name]) == region {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	return inside, outside
}

// firstZone and lastZone return the zones of the first and the last replica of the plan.
func firstZone(park *Cluster) string { return park.Plan.Replicas[0].Zone }
func lastZone(park *Cluster) string  { return park.Plan.Replicas[len(park.Plan.Replicas)-1].Zone }

// Faults are all faults that are tested, singly and in pairs.
var Faults = []Fault{
	{"configuration storm", true, func(park *Cluster, facts *Facts) {
		for turn := 0; turn < 6; turn++ {
			facts.Need("apply", park.Apply(facts, park.anyControl()))
		}
	}, []string{"old config", "lost"}},
	{"limits of time changed under traffic, and changed back", true, func(park *Cluster, facts *Facts) {
		before := park.Document
		park.Document = strings.Replace(before, `"limits":{`, `"limits":{"permit_ms":300,"session_ms":600,"probe_ms":50,"dark_ms":300,"platform_ms":300,`, 1)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		park.Run(8 * time.Second)
		park.Document = before
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"old config", "lost"}},
	{"two operators at once", true, func(park *Cluster, facts *Facts) {
		for turn := 0; turn < 3; turn++ {
			park.twoOperators(facts, false)
		}
	}, []string{"old config"}},
	{"two operators with the same expectation", true, func(park *Cluster, facts *Facts) {
		for turn := 0; turn < 3; turn++ {
			park.twoOperators(facts, true)
		}
	}, []string{"old config"}},
	{"evacuation and hand-back", true, func(park *Cluster, facts *Facts) {
		zone := lastZone(park)
		// Some callers of the zone return only after EvacuatedBound, with a ticket that
		// they got before the evacuation.
		idle := park.Plan.Callers[len(park.Plan.Callers)-1]
		idle.Name, idle.Zone, idle.Lanes, idle.Every, idle.Until = fmt.Sprint("idle-", park.Now().Milliseconds()), zone, 14, 500*time.Millisecond, park.Now()+24*time.Second
		park.crowd(&idle)
		park.Run(8 * time.Second)
		facts.Need("evacuate", park.Evacuate(facts, zone, false))
		park.Run(12 * time.Second)
		facts.Need("evacuate", park.Evacuate(facts, zone, true))
	}, []string{"evacuated", "lost"}},
	{"data daemons restarted one by one", true, func(park *Cluster, facts *Facts) {
		for _, spec := range park.Plan.Datas[:3] {
			name, _ := split(spec)
			park.StopData(name)
			park.Run(500 * time.Millisecond)
			park.StartData(name)
			park.Run(4 * time.Second)
		}
	}, []string{"lost", "fallback"}},
	{"control daemons restarted one by one", true, func(park *Cluster, facts *Facts) {
		for _, spec := range park.Plan.Controls {
			name, _ := split(spec)
			if !park.Node(name).Up() {
				continue
			}
			park.StopControl(name)
			park.Run(500 * time.Millisecond)
			park.StartControl(name)
			park.Run(5 * time.Second)
		}
	}, []string{"lost", "fallback"}},
	{"replicas replaced one by one", true, func(park *Cluster, facts *Facts) {
		for turn := 0; turn < 2; turn++ {
			park.Replace(park.Plan.Replicas[turn].ID)
			park.Run(4 * time.Second)
		}
	}, nil},
	{"replica crashes and comes back cold", false, func(park *Cluster, facts *Facts) {
		name := park.anyReplica()
		options := park.Replicas[name].ReplicaOptions
		park.Crash(name)
		park.Run(time.Duration(park.Draw(int64(6 * time.Second))))
		park.StartReplica(options)
	}, nil},
	{"replica goes dark", false, func(park *Cluster, facts *Facts) {
		name := park.anyReplica()
		park.Split([]string{name}, park.othersThan(name), true)
		park.Run(6 * time.Second)
		park.Split([]string{name}, park.othersThan(name), false)
	}, nil},
	{"replica freezes", false, func(park *Cluster, facts *Facts) { park.Freeze(park.anyReplica(), 5*time.Second) }, nil},
	{"data daemon killed", false, func(park *Cluster, facts *Facts) {
		name := park.pick(park.Plan.Datas)
		park.Crash(name)
		park.Run(2 * time.Second)
		park.StartData(name)
	}, nil},
	{"herd of data daemons killed", false, func(park *Cluster, facts *Facts) {
		for _, spec := range park.Plan.Datas[1:] {
			name, _ := split(spec)
			park.Crash(name)
		}
		park.Run(3 * time.Second)
		for _, spec := range park.Plan.Datas[1:] {
			name, _ := split(spec)
			park.StartData(name)
		}
	}, nil},
	{"data daemon frozen over a new configuration", false, func(park *Cluster, facts *Facts) {
		park.Freeze(park.pick(park.Plan.Datas), 7*time.Second)
		park.Run(300 * time.Millisecond)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"old config", "fallback"}},
	{"data daemon frozen over one configuration, and cut off over the next", false, func(park *Cluster, facts *Facts) {
		// The first configuration is delivered when the daemon resumes; the second cannot reach it.
		name := park.pick(park.Plan.Datas)
		park.Freeze(name, 7*time.Second)
		park.Run(300 * time.Millisecond)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		park.Split([]string{name}, park.controlDaemons(), true)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		facts.Must("the daemon is frozen during both applies", park.Node(name).Frozen())
		park.Run(5 * time.Second)
		park.Split([]string{name}, park.controlDaemons(), false)
	}, []string{"old config", "fallback"}},
	{"data daemon cut off over an evacuation", false, func(park *Cluster, facts *Facts) {
		name := park.pick(park.Plan.Datas)
		var controls []string
		for _, spec := range append(append([]string{}, park.Plan.Controls...), park.Plan.Diskless...) {
			control, _ := split(spec)
			controls = append(controls, control)
		}
		park.Split([]string{name}, controls, true)
		facts.Need("evacuate", park.Evacuate(facts, firstZone(park), false))
		park.Run(6 * time.Second)
		park.Split([]string{name}, controls, false)
		facts.Need("evacuate", park.Evacuate(facts, firstZone(park), true))
	}, []string{"old config"}},
	{"control daemon killed", false, func(park *Cluster, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		park.Crash(name)
		park.Run(4 * time.Second)
		park.StartControl(name)
	}, nil},
	{"control daemon frozen", false, func(park *Cluster, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		park.Freeze(name, 5*time.Second)
	}, nil},
	{"one way cut", false, func(park *Cluster, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		for _, other := range park.othersThan(name) {
			park.Cut(name, other, true)
		}
		park.Run(5 * time.Second)
		for _, other := range park.othersThan(name) {
			park.Cut(name, other, false)
		}
	}, nil},
	{"core split", false, func(park *Cluster, facts *Facts) {
		a, _ := split(park.Plan.Controls[0])
		b, _ := split(park.Plan.Controls[1])
		c, _ := split(park.Plan.Controls[2])
		park.Split([]string{a}, []string{b, c}, true)
		park.Run(5 * time.Second)
		facts.Need("apply", park.Apply(facts, b))
		// A daemon that starts next to the isolated acceptor must not adopt that acceptor's state.
		isolated := fmt.Sprint("lonely-", park.Now().Milliseconds())
		park.zones[isolated] = park.zones[a]
		park.SeedsOf = map[string][]string{isolated: {a}}
		park.StartData(isolated)
		park.Run(6 * time.Second)
		park.Split([]string{a}, []string{b, c}, false)
	}, []string{"fallback", "old config"}},
	{"region cut off", false, func(park *Cluster, facts *Facts) {
		inside, outside := park.splitByRegion(Region(lastZone(park)))
		park.Split(inside, outside, true)
		park.Run(8 * time.Second)
		park.Split(inside, outside, false)
	}, nil},
	{"slow disk", false, func(park *Cluster, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		park.Node(name).Disk.SyncDelay = 900 * time.Millisecond
		park.Run(8 * time.Second)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		park.Node(name).Disk.SyncDelay = 0
	}, nil},
	{"full disk", false, func(park *Cluster, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		park.Node(name).Disk.Full = true
		park.Run(6 * time.Second)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		park.Node(name).Disk.Full = false
		park.Crash(name)
		park.Run(time.Second)
		park.StartControl(name)
	}, nil},
	{"disk lost after an acknowledgement", false, func(park *Cluster, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		park.Crash(name)
		park.Node(name).Disk.Wipe()
		park.Run(time.Second)
		park.StartControl(name)
		park.Run(4 * time.Second)
		facts.Need("readmit", park.RejoinCore(name))
	}, nil},
	{"core machines replaced in turn", true, func(park *Cluster, facts *Facts) {
		for _, spec := range park.Plan.Controls {
			name, _ := split(spec)
			if !park.Node(name).Up() {
				continue
			}
			park.StopControl(name)
			park.Node(name).Disk.Wipe()
			park.Run(500 * time.Millisecond)
			park.StartControl(name)
			park.Run(4 * time.Second)
			facts.Need("readmit", park.RejoinCore(name))
			park.Run(2 * time.Second)
		}
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, nil},
	{"core machine returns empty at a new address", false, func(park *Cluster, facts *Facts) {
		old, zone := split(park.Plan.Controls[1])
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		park.Crash(old)
		park.Run(2 * time.Second)
		fresh := fmt.Sprint(old, "-at-", park.Now().Milliseconds())
		park.zones[fresh] = zone
		park.StartControl(fresh)
		park.Run(4 * time.Second)
		at := park.anyControl()
		facts.Must("the new machine replaces the old one in the core without an operator", park.IsCoreMember(fresh) && len(park.Controls[at].Core().Members) == 3)
		// The new core must have a quorum without the old machine.
		facts.Need("apply", park.Apply(facts, at))
	}, nil},
	{"seeds swapped", false, func(park *Cluster, facts *Facts) {
		data, _ := split(park.Plan.Datas[0])
		diskless, _ := split(park.Plan.Diskless[0])
		park.SeedsOf = map[string][]string{data: {"nobody", "caller-none", diskless}, diskless: {"nobody", park.seeds()[2]}}
		park.StopData(data)
		park.Crash(diskless)
		park.Run(500 * time.Millisecond)
		park.StartControl(diskless)
		park.StartData(data)
		park.Run(4 * time.Second)
	}, nil},
	{"one machine isolated", false, func(park *Cluster, facts *Facts) {
		specs := append(append([]string{}, park.Plan.Controls...), park.Plan.Datas...)
		name := park.pick(specs)
		park.Split([]string{name}, park.othersThan(name), true)
		park.Run(6 * time.Second)
		park.Split([]string{name}, park.othersThan(name), false)
	}, nil},
	{"region lost and back", false, func(park *Cluster, facts *Facts) {
		inside, _ := park.splitByRegion(Region(lastZone(park)))
		crashed := park.CrashAll(inside)
		park.Run(8 * time.Second)
		park.RestartAll(crashed)
		park.Run(4 * time.Second)
	}, []string{"flooded", "fallback"}},
	{"whole region slows", false, func(park *Cluster, facts *Facts) {
		for name, replica := range park.Replicas {
			if park.zones[name] == firstZone(park) {
				replica.Slowdown = 4
			}
		}
		park.Run(8 * time.Second)
		for _, replica := range park.Replicas {
			replica.Slowdown = 1
		}
	}, nil},
	{"replicas taken at short notice", true, func(park *Cluster, facts *Facts) {
		// Two at once, with no more than the platform's grace period.
		for _, replica := range park.Plan.Replicas[:2] {
			park.Replicas[replica.ID].Leave()
			park.MarkLeavingInList(replica.ID)
		}
		park.Run(park.Grace)
		for _, replica := range park.Plan.Replicas[:2] {
			park.Crash(replica.ID)
			park.Platform.Remove(replica.ID)
		}
		park.Run(6 * time.Second)
		for _, replica := range park.Plan.Replicas[:2] {
			park.StartReplica(replica)
			park.Platform.Add(Region(replica.Zone), replica.ID, replica.ID, replica.Zone)
		}
	}, nil},
	{"crowd", false, func(park *Cluster, facts *Facts) {
		first := park.Plan.Callers[0]
		first.Name, first.Every, first.Eager, first.Retries = fmt.Sprint("crowd-", park.Now().Milliseconds()), first.Every/8, true, 6
		first.From, first.Until = 0, park.Now()+6*time.Second
		park.crowd(&first)
		park.Run(8 * time.Second)
	}, []string{"retries"}},
	{"callers move between zones", true, func(park *Cluster, facts *Facts) {
		for _, crowd := range park.Plan.Callers[:2] {
			moving := crowd
			moving.Name, moving.AnyZone, moving.Until = fmt.Sprint("moving-", crowd.Kind, park.Now().Milliseconds()), true, park.Now()+8*time.Second
			moving.Every *= 3
			park.crowd(&moving)
		}
		park.Run(9 * time.Second)
	}, nil},
	{"mix swings to long answers", false, func(park *Cluster, facts *Facts) {
		long := park.Plan.Callers[1]
		long.Name, long.Every, long.Until = fmt.Sprint("long-", park.Now().Milliseconds()), 60*time.Millisecond, park.Now()+6*time.Second
		park.crowd(&long)
		park.Run(8 * time.Second)
	}, nil},
	{"replica lingers, known by the list only", true, func(park *Cluster, facts *Facts) {
		replica := park.BusiestReplica()
		park.MarkLeavingInList(replica.ID)
		park.Run(park.Lag + 14*time.Second)
		park.replaceReplica(replica)
	}, []string{"leaving", "lost"}},
	{"replica lingers, known by its probes only", true, func(park *Cluster, facts *Facts) {
		replica := park.BusiestReplica()
		park.Replicas[replica.ID].ServesWhileLeaving = true
		park.Replicas[replica.ID].Leave()
		park.Run(14 * time.Second)
		park.replaceReplica(replica)
	}, []string{"leaving", "lost"}},
	{"replica lingers and whoever knows of it dies", false, func(park *Cluster, facts *Facts) {
		// Only one daemon learns of the termination, from the platform's list.
		replica := park.BusiestReplica()
		park.MarkLeavingInList(replica.ID)
		key := replica.ID + "/" + park.Replicas[replica.ID].Boot
		for spent := time.Duration(0); spent < 10*time.Second && park.TerminationLearned[key] == 0; spent += 2 * time.Millisecond {
			park.Run(2 * time.Millisecond)
		}
		leader := park.RegionLeader(Region(replica.Zone))
		facts.Must("a daemon learned of the replica's termination, and the region has a leader", park.TerminationLearned[key] > 0 && leader != "")
		if leader != "" {
			park.Crash(leader)
			park.Run(14 * time.Second)
			park.StartControl(leader)
		}
		park.replaceReplica(replica)
	}, []string{"leaving"}},
	{"all control daemons killed at once", false, func(park *Cluster, facts *Facts) {
		crashed := park.CrashAll(park.controlDaemons())
		park.Run(1 * time.Second)
		park.RestartAll(crashed)
		park.Run(6 * time.Second)
	}, []string{"fallback"}},
	{"two of three core machines lost and back", false, func(park *Cluster, facts *Facts) {
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		crashed := park.CrashAll(park.seeds()[:2])
		park.Run(7 * time.Second)
		park.RestartAll(crashed)
		park.Run(6 * time.Second)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"old config", "fallback"}},
	{"three-way core split", false, func(park *Cluster, facts *Facts) {
		park.splitCore(true)
		park.Run(4 * time.Second)
		facts.Must("no configuration is acknowledged without a majority", park.Apply(&Facts{}, park.seeds()[0]) != nil)
		park.splitCore(false)
		park.Run(4 * time.Second)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"old config"}},
	{"a replica's end is learned while core machines can't reach each other", false, func(park *Cluster, facts *Facts) {
		park.terminateUnrecorded(facts, func() { park.splitCore(true) }, func() { park.splitCore(false) })
	}, []string{"leaving"}},
	{"a replica's end is learned while two core machines are down", false, func(park *Cluster, facts *Facts) {
		leader := park.RegionLeader(Region(firstZone(park)))
		facts.Must("the region has a leader", leader != "")
		var crashed []string
		for _, name := range park.seeds() {
			if name != leader && len(crashed) < 2 {
				crashed = append(crashed, name)
			}
		}
		park.terminateUnrecorded(facts, func() { park.CrashAll(crashed) }, func() { park.RestartAll(crashed) })
	}, []string{"leaving"}},
	{"core machines can't reach each other while a region's replicas begin anew", false, func(park *Cluster, facts *Facts) {
		leader := park.RegionLeader(Region(firstZone(park)))
		facts.Must("the region has a leader", leader != "")
		park.splitCore(true)
		park.Run(1500 * time.Millisecond)
		var crashed []string
		for _, replica := range park.Plan.Replicas {
			if replica.Zone == firstZone(park) {
				crashed = append(crashed, replica.ID)
				park.Crash(replica.ID)
			}
		}
		park.Run(time.Second)
		park.RestartAll(crashed)
		crowd := park.Plan.Callers[0]
		crowd.Name, crowd.Every, crowd.Until = fmt.Sprint("again-", park.Now().Milliseconds()), crowd.Every/8, park.Now()+8*time.Second
		park.crowd(&crowd)
		park.Run(time.Duration(1500+park.Draw(3000)) * time.Millisecond)
		park.splitCore(false)
		park.Run(6 * time.Second)
		facts.Must("the leader is still running", park.Node(leader).Up())
	}, []string{"flooded"}},
	{"all core disks slow at once", true, func(park *Cluster, facts *Facts) {
		park.eachCoreMachine(func(name string) { park.Node(name).Disk.SyncDelay = 400 * time.Millisecond })
		// The outcome may stay unknown if no decision comes in time; requests must be served
		// meanwhile.
		_ = park.Apply(facts, park.anyControl())
		park.Run(8 * time.Second)
		park.eachCoreMachine(func(name string) { park.Node(name).Disk.SyncDelay = 0 })
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"old config", "lost"}},
	{"all core disks full at once", false, func(park *Cluster, facts *Facts) {
		park.eachCoreMachine(func(name string) { park.Node(name).Disk.Full = true })
		facts.Must("no configuration is acknowledged while all disks are full", park.Apply(&Facts{}, park.anyControl()) != nil)
		park.Run(4 * time.Second)
		park.eachCoreMachine(func(name string) {
			park.Node(name).Disk.Full = false
			park.Crash(name)
			park.Run(500 * time.Millisecond)
			park.StartControl(name)
		})
		park.Run(6 * time.Second)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"old config", "fallback"}},
	{"disk that fails on sync only", false, func(park *Cluster, facts *Facts) {
		name := park.seeds()[park.Draw(3)]
		park.Node(name).Disk.FailSyncs = true
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		park.Run(5 * time.Second)
		park.Node(name).Disk.FailSyncs = false
		park.Crash(name)
		park.Run(time.Second)
		park.StartControl(name)
		park.Run(4 * time.Second)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"old config"}},
	{"data daemon's line flaps, one way", false, func(park *Cluster, facts *Facts) {
		name := park.pick(park.Plan.Datas)
		for turn := 0; turn < 12; turn++ {
			for _, other := range park.othersThan(name) {
				if turn%4 < 2 {
					park.Cut(name, other, turn%2 == 0)
				} else {
					park.Cut(other, name, turn%2 == 0)
				}
			}
			park.Run(time.Duration(200+park.Draw(900)) * time.Millisecond)
			if turn == 5 {
				facts.Need("apply", park.Apply(facts, park.anyControl()))
			}
		}
	}, []string{"old config"}},
	{"frozen for longer than every bound, one of each kind", false, func(park *Cluster, facts *Facts) {
		park.Freeze(park.pick(park.Plan.Datas), 20*time.Second)
		park.Freeze(park.seeds()[park.Draw(3)], 20*time.Second)
		park.Freeze(park.anyReplica(), 20*time.Second)
		park.Run(4 * time.Second)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		park.Run(20 * time.Second)
	}, []string{"old config", "fallback"}},
	{"herd of replicas frozen", false, func(park *Cluster, facts *Facts) {
		for index, replica := range park.Plan.Replicas {
			if index%2 == 0 {
				park.Freeze(replica.ID, 6*time.Second)
			}
		}
		park.Run(8 * time.Second)
	}, []string{"retries"}},
	{"clocks of unequal pace, calendars that jump", true, func(park *Cluster, facts *Facts) {
		for index, name := range append(park.controlDaemons(), park.dataDaemons()...) {
			park.Node(name).SetClockRate([]float64{0.02, -0.02, 0}[index%3])
			park.Node(name).Skew = time.Duration(index%3-1) * time.Hour
		}
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		park.Run(10 * time.Second)
		for _, name := range append(park.controlDaemons(), park.dataDaemons()...) {
			park.Node(name).SetClockRate(0)
			park.Node(name).Skew = 0
		}
	}, []string{"old config", "lost"}},
	{"calls lost, repeated and late", false, func(park *Cluster, facts *Facts) {
		park.Faults = sim.NetworkFaults{Lost: 0.05, Duplicated: 0.1, Delayed: 0.1, MaxDelay: 1500 * time.Millisecond}
		for turn := 0; turn < 3; turn++ {
			// An apply without a reply may or may not have taken effect.
			if err := park.Apply(facts, park.anyControl()); err != nil {
				park.Run(time.Second)
			}
			park.Run(2 * time.Second)
		}
		park.Faults = sim.NetworkFaults{}
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"old config"}},
	{"homes narrowed under traffic", false, func(park *Cluster, facts *Facts) {
		wide := park.Document
		park.Document = narrowHomes(park.Document)
		facts.Must("the document has homes to narrow", park.Document != wide)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		park.Run(8 * time.Second)
		park.Document = wide
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"home", "old config"}},
	{"the only home is evacuated", false, func(park *Cluster, facts *Facts) {
		wide := park.Document
		park.Document = narrowHomes(park.Document)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		zone := firstZone(park)
		facts.Need("evacuate", park.Evacuate(facts, zone, false))
		park.Run(9 * time.Second)
		facts.Need("hand back", park.Evacuate(facts, zone, true))
		park.Document = wide
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"home", "evacuated"}},
	{"a home region loses most of its replicas and its load spills", false, func(park *Cluster, facts *Facts) {
		spilled := func() (count uint64) {
			for _, name := range park.dataDaemons() {
				count += park.Datas[name].Decider.Count().Spilled
			}
			return count
		}
		before := spilled()
		var crashed []string
		for _, replica := range park.Plan.Replicas {
			if replica.Zone == firstZone(park) && len(crashed) < 3 {
				crashed = append(crashed, replica.ID)
				park.Crash(replica.ID)
			}
		}
		for _, crowd := range park.Plan.Callers[:2] {
			crowd.Name, crowd.Home, crowd.Every, crowd.Until = fmt.Sprint("spill-", crowd.Kind, park.Now().Milliseconds()), park.anyHome(), crowd.Every/8, park.Now()+9*time.Second
			crowd.Tokens *= 4
			park.crowd(&crowd)
		}
		park.Run(10 * time.Second)
		facts.Must("load spilled into another region", spilled() > before)
		park.RestartAll(crashed)
	}, []string{"home", "flooded"}},
	{"a home region is cut off", false, func(park *Cluster, facts *Facts) {
		inside, outside := park.splitByRegion(Region(firstZone(park)))
		park.Split(inside, outside, true)
		park.Run(8 * time.Second)
		park.Split(inside, outside, false)
	}, []string{"home"}},
	{"callers ask outside their home", false, func(park *Cluster, facts *Facts) {
		bound := park.Plan.Callers[0]
		for _, crowd := range park.Plan.Callers {
			if crowd.Home != "" {
				bound = crowd
			}
		}
		facts.Must("the plan has callers bound to home regions", bound.Home != "")
		bound.Name, bound.Zone, bound.WrongDaemonFirst, bound.Until = fmt.Sprint("astray-", park.Now().Milliseconds()), lastZone(park), true, park.Now()+7*time.Second
		bound.Every = 100 * time.Millisecond
		declined := len(park.Outcomes)
		park.crowd(&bound)
		park.Run(8 * time.Second)
		outside := 0
		for _, reply := range park.Outcomes[declined:] {
			if reply.Code == "outside_home" {
				outside++
			}
		}
		facts.Must("daemons outside the home regions got requests", outside > 10)
	}, []string{"home"}},
	{"several tries of a request in flight", false, func(park *Cluster, facts *Facts) {
		for _, crowd := range park.Plan.Callers[:4] {
			crowd.Name, crowd.Concurrent, crowd.Eager, crowd.Until = fmt.Sprint("hasty-", crowd.Name, park.Now().Milliseconds()), true, true, park.Now()+14*time.Second
			crowd.Every *= 2
			crowd.Every = min(crowd.Every, 150*time.Millisecond)
			park.crowd(&crowd)
		}
		// Leases expire and are granted again between two attempts of a request.
		for turn := 0; turn < 3; turn++ {
			park.Split(park.dataDaemons()[:2], park.controlDaemons(), true)
			park.Run(2200 * time.Millisecond)
			park.Split(park.dataDaemons()[:2], park.controlDaemons(), false)
			park.Run(300 * time.Millisecond)
		}
		park.Run(2 * time.Second)
		park.StopData(park.dataDaemons()[0])
		park.StartData(park.dataDaemons()[0])
		park.Run(6 * time.Second)
	}, []string{"twice", "retries"}},
	{"evacuation under a restart, a roll-out, a crowd and a dying duty holder", false, func(park *Cluster, facts *Facts) {
		zone := firstZone(park)
		facts.Need("handover", park.Do(park.anyControl(), 20*time.Second, func(daemon *controlplane.Daemon) error {
			_, err := daemon.Handover(fmt.Sprint("h", park.Now()), park.Model, fmt.Sprint("v", park.Now().Milliseconds()), nil)
			return err
		}))
		crowd := park.Plan.Callers[2]
		crowd.Name, crowd.Every, crowd.Until = fmt.Sprint("near-", park.Now().Milliseconds()), crowd.Every/4, park.Now()+10*time.Second
		park.crowd(&crowd)
		park.Run(2 * time.Second)
		facts.Need("evacuate", park.Evacuate(facts, zone, false))
		leader := park.RegionLeader(Region(zone))
		facts.Must("the region has a leader", leader != "")
		if leader != "" {
			park.Crash(leader)
		}
		for _, name := range park.dataDaemons()[:2] {
			park.Crash(name)
			park.StartData(name)
		}
		park.Run(12 * time.Second)
		if leader != "" {
			park.StartControl(leader)
		}
		facts.Need("hand back", park.Evacuate(facts, zone, true))
	}, []string{"evacuated"}},
	{"seeds swapped on every daemon in turn", true, func(park *Cluster, facts *Facts) {
		park.SeedsOf = map[string][]string{}
		for index, name := range append(park.dataDaemons(), park.controlDaemons()...) {
			park.SeedsOf[name] = []string{"nobody", park.controlDaemons()[(index+1)%len(park.controlDaemons())]}
			if park.Datas[name] != nil {
				park.StopData(name)
				park.StartData(name)
			} else {
				park.StopControl(name)
				park.StartControl(name)
			}
			park.Run(3500 * time.Millisecond)
		}
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"lost", "old config"}},
	{"settings reloaded on every daemon, good ones and bad", true, func(park *Cluster, facts *Facts) {
		park.SeedsOf = map[string][]string{}
		for index, name := range append(park.dataDaemons(), park.controlDaemons()...) {
			old := park.seedsNow(name)
			park.SeedsOf[name] = []string{"nobody", park.controlDaemons()[(index+1)%len(park.controlDaemons())]}
			park.InvalidSettings[name] = true
			_, err := park.reload(name)
			facts.Must(name+" rejects an invalid settings file with the path of the error", err != nil && strings.Contains(err.Error(), "$.seeds.0"))
			facts.Must(name+" keeps its settings after an invalid file", slices.Equal(park.seedsNow(name), old))
			park.InvalidSettings[name] = false
			reloaded, err := park.reload(name)
			facts.Need("reload", err)
			facts.Must(name+" changes its seeds without a restart", slices.Equal(reloaded.Changed, []string{"seeds"}) && slices.Equal(park.seedsNow(name), park.SeedsOf[name]))
			park.Run(700 * time.Millisecond)
		}
		_, err := park.reload("nobody-here")
		facts.Must("reloading an unknown daemon fails", err != nil)
		// A restarted daemon has only the new seeds to find the core.
		park.StopControl(park.controlDaemons()[1])
		park.Run(500 * time.Millisecond)
		park.StartControl(park.controlDaemons()[1])
		park.Run(5 * time.Second)
		facts.Need("apply", park.Apply(facts, park.anyControl()))
	}, []string{"lost", "old config"}},
	{"data daemons killed in a configuration storm", false, func(park *Cluster, facts *Facts) {
		for turn := 0; turn < 12; turn++ {
			name := park.dataDaemons()[turn%len(park.Plan.Datas)]
			park.Crash(name)
			at := park.anyControl()
			daemon, document := park.Controls[at], park.VariedDocument()
			isDone := false
			park.Node(at).Go(func() {
				if applied, err := daemon.Apply(document, nil, false); err == nil {
					park.acknowledge(facts, daemon, applied.Serial)
				}
				isDone = true
			})
			park.Run(time.Duration(20+park.Draw(60)) * time.Millisecond)
			park.StartData(name)
			facts.Must("the operator got a reply", park.Until(8*time.Second, func() bool { return isDone }))
		}
		park.Run(4 * time.Second)
		// New daemons start right after an acknowledgement, which did not have to wait for
		// them.
		facts.Need("apply", park.Apply(facts, park.seeds()[2]))
		for index, spec := range append(append([]string{}, park.Plan.Controls...), park.Plan.Diskless...) {
			_, zone := split(spec)
			fresh := fmt.Sprint("fresh-", index, "-", park.Now().Milliseconds())
			park.zones[fresh] = zone
			park.StartData(fresh)
		}
		park.Run(3 * time.Second)
	}, []string{"fallback", "old config"}},
	{"replicas return that warm more slowly than the settings say, and say so", false, func(park *Cluster, facts *Facts) {
		var crashed []string
		for _, replica := range park.Plan.Replicas {
			if replica.Zone == firstZone(park) {
				crashed = append(crashed, replica.ID)
				options := park.Replicas[replica.ID].ReplicaOptions
				options.ColdAnswers, options.RejectsOverload = int(100+park.Draw(300)), true
				park.Crash(replica.ID)
				park.Replicas[replica.ID].ReplicaOptions = options
			}
		}
		park.Run(2 * time.Second)
		park.RestartAll(crashed)
		park.Crash(park.dataDaemons()[0])
		crowd := park.Plan.Callers[0]
		crowd.Name, crowd.Every, crowd.Until = fmt.Sprint("warmer-", park.Now().Milliseconds()), crowd.Every/10, park.Now()+14*time.Second
		crowd.Tokens *= 6
		park.crowd(&crowd)
		park.Run(3 * time.Second)
		if leader := park.RegionLeader(Region(firstZone(park))); leader != "" {
			park.Crash(leader)
			park.Run(7 * time.Second)
			park.StartControl(leader)
		}
		park.StartData(park.dataDaemons()[0])
		park.Run(5 * time.Second)
		cold := 0
		for _, name := range crashed {
			cold += park.Replicas[name].ColdTaken
		}
		facts.Must("cold replicas got requests", cold > 50)
	}, []string{"flooded"}},
	{"regions return one after another after a full loss, a core disk gone", false, func(park *Cluster, facts *Facts) {
		facts.Need("apply", park.Apply(facts, park.anyControl()))
		crashed := park.CrashAll(park.NodeNames())
		park.Node(park.seeds()[0]).Disk.Wipe()
		crowd := park.Plan.Callers[0]
		crowd.Name, crowd.Every, crowd.Eager, crowd.Retries, crowd.Until = fmt.Sprint("return-", park.Now().Milliseconds()), crowd.Every/4, true, 6, park.Now()+12*time.Second
		park.crowd(&crowd)
		park.Run(2 * time.Second)
		for _, region := range park.Regions() {
			for _, name := range crashed {
				if Region(park.zones[name]) == region {
					park.RestartAll([]string{name})
				}
			}
			park.Run(2 * time.Second)
		}
		park.Run(3 * time.Second)
		facts.Need("readmit", park.RejoinCore(park.seeds()[0]))
	}, []string{"fallback", "flooded", "retries"}},
}

// BusiestReplica returns the replica that got most requests recently, of those in the first replica's zone.
// Checking that a replica gets no more requests proves nothing for one that got none anyway.
func (park *Cluster) BusiestReplica() ReplicaOptions {
	counts := map[string]int{}
	for _, arrival := range park.Arrivals {
		if arrival.Sent > park.Now()-recentSpan {
			counts[arrival.Replica]++
		}
	}
	busiest := park.Plan.Replicas[0]
	for _, replica := range park.Plan.Replicas {
		if replica.Zone == busiest.Zone && counts[replica.ID] > counts[busiest.ID] {
			busiest = replica
		}
	}
	return busiest
}

// recentSpan is how long ago a replica may have got a request that still counts as recent.
const recentSpan = 5 * time.Second

// terminateUnrecorded terminates a replica while the core has no quorum, so that the region's leader
// learns of the termination but cannot record it, for longer than LeavingBound.
func (park *Cluster) terminateUnrecorded(facts *Facts, breakCore, restoreCore func()) {
	replica := park.BusiestReplica()
	key := replica.ID + "/" + park.Replicas[replica.ID].Boot
	breakCore()
	park.Replicas[replica.ID].ServesWhileLeaving = true
	park.Replicas[replica.ID].Leave()
	park.MarkLeavingInList(replica.ID)
	park.Run(7 * time.Second)
	facts.Must("a daemon learned of the termination longer than the bound ago", park.TerminationLearned[key] > 0 && park.TerminationLearned[key] < park.Now()-LeavingBound)
	crowd := park.Plan.Callers[0]
	crowd.Name, crowd.Every, crowd.Until = fmt.Sprint("still-", park.Now().Milliseconds()), crowd.Every/8, park.Now()+6*time.Second
	park.crowd(&crowd)
	restoreCore()
	park.Run(6 * time.Second)
	park.replaceReplica(replica)
}

// splitCore disconnects all core machines from each other, or reconnects them.
func (park *Cluster) splitCore(isCut bool) {
	seeds := park.seeds()
	park.Split(seeds[:1], seeds[1:], isCut)
	park.Split(seeds[1:2], seeds[2:], isCut)
}

// narrowHomes reduces each home tag of a document to its first region.
func narrowHomes(document string) string {
	return homesPattern.ReplaceAllString(document, `"homes":{"$1":["$2"]}`)
}

var homesPattern = regexp.MustCompile(`"homes":\{"(\w+)":\["(\w+)"[^\]]*\]\}`)

// controlDaemons returns the names of all control daemons, with and without a disk.
func (park *Cluster) controlDaemons() (names []string) {
	for _, spec := range append(append([]string{}, park.Plan.Controls...), park.Plan.Diskless...) {
		name, _ := split(spec)
		names = append(names, name)
	}
	return names
}

// dataDaemons returns the names of all data daemons.
func (park *Cluster) dataDaemons() (names []string) {
	for _, spec := range park.Plan.Datas {
		name, _ := split(spec)
		names = append(names, name)
	}
	return names
}

// Regions returns the regions in the order of their control daemons.
func (park *Cluster) Regions() (regions []string) {
	for _, spec := range park.Plan.Controls {
		_, zone := split(spec)
		regions = append(regions, Region(zone))
	}
	return regions
}

// eachCoreMachine visits the running core machines.
func (park *Cluster) eachCoreMachine(visit func(name string)) {
	for _, name := range park.seeds() {
		if park.Node(name).Up() {
			visit(name)
		}
	}
}

// RegionLeader returns the running control daemon that is the region's leader, or an empty name.
func (park *Cluster) RegionLeader(region string) string {
	for _, name := range park.controlDaemons() {
		if park.Node(name).Up() && park.Controls[name] != nil {
			if _, held := park.Controls[name].Elections.Term(controlplane.RegionElection + region); held {
				return name
			}
		}
	}
	return ""
}

// seedsNow returns the daemon's current seeds.
func (park *Cluster) seedsNow(name string) []string {
	if daemon := park.Datas[name]; daemon != nil {
		return daemon.Live.Seeds()
	}
	return park.Controls[name].Live.Seeds()
}

// reload has a control daemon reload the settings of the named daemon, as an operator would.
func (park *Cluster) reload(name string) (result settings.ReloadResult, err error) {
	err = park.Do(park.anyControl(), 5*time.Second, func(daemon *controlplane.Daemon) error {
		var err error
		result, err = daemon.Reload(name)
		return err
	})
	return result, err
}

// anyHome returns a home tag of the plan, or an empty one if it has none.
func (park *Cluster) anyHome() string {
	for _, crowd := range park.Plan.Callers {
		if crowd.Home != "" {
			return crowd.Home
		}
	}
	return ""
}

// replaceReplica ends a replica that was marked as leaving, and starts a new one in its place.
func (park *Cluster) replaceReplica(options ReplicaOptions) {
	park.Crash(options.ID)
	park.Platform.Remove(options.ID)
	park.Run(3 * time.Second)
	park.StartReplica(options)
	park.Platform.Add(Region(options.Zone), options.ID, options.ID, options.Zone)
}

// twoOperators applies two documents at the same time at two control daemons. If both expect the
// same current version, exactly one must succeed; otherwise both do, and the version decided last
// is in force. No acknowledged change may be lost: its version keeps its contents on all daemons.
func (park *Cluster) twoOperators(facts *Facts, expecting bool) {
	type result struct {
		serial uint64
		err    error
		mark   uint64
	}
	var results []result
	var expect *uint64
	if expecting {
		at := park.highestSerial
		expect = &at
	}
	started := 0
	for _, name := range park.seeds() {
		if !park.Node(name).Up() || started == 2 {
			continue
		}
		started++
		daemon, document := park.Controls[name], park.VariedDocument()
		park.Node(name).Go(func() {
			applied, err := daemon.Apply(document, expect, false)
			if err == nil {
				park.acknowledge(facts, daemon, applied.Serial)
			}
			results = append(results, result{applied.Serial, err, mark(lease.Config{Document: document, Evacuated: park.evacuatedZones(facts)})})
		})
	}
	facts.Must("both operators got a reply", park.Until(12*time.Second, func() bool { return len(results) == started }))
	succeeded := 0
	last := result{}
	for _, result := range results {
		if result.err == nil {
			succeeded++
			if result.serial > last.serial {
				last = result
			}
		}
	}
	if expecting {
		facts.Must(fmt.Sprintf("exactly one of two operators with the same expectation succeeds, %d did", succeeded), succeeded == 1)
	} else {
		facts.Must("both operators without an expectation succeed", succeeded == started)
	}
	park.Run(3 * time.Second)
	for _, name := range park.dataDaemons() {
		if !park.Node(name).Up() {
			continue
		}
		view := park.Datas[name].Holder.View()
		facts.Must(fmt.Sprintf("%s uses the configuration decided last, version %d", name, last.serial), view.Serial != last.serial || mark(view.Config()) == last.mark)
	}
}

// evacuatedZones returns the zones that are evacuated now.
func (park *Cluster) evacuatedZones(facts *Facts) (zones []string) {
	for _, span := range facts.Evacuated {
		if span.Until == 0 {
			zones = append(zones, span.Zone)
		}
	}
	return zones
}

// IsCoreMember reports whether every running control daemon counts the machine's current acceptor as a
// member of the core, and no other member has the machine's name or address.
func (park *Cluster) IsCoreMember(name string) bool {
	for _, peer := range park.controlDaemons() {
		if !park.Node(peer).Up() || park.Node(peer).Frozen() {
			continue
		}
		if park.Controls[name] == nil {
			return false // starting
		}
		isMember := false
		for _, member := range park.Controls[peer].Core().Members {
			if member.ID == park.Controls[name].Acceptor.ID() {
				isMember = true
			} else if member.Name == name || member.Address == name {
				return false
			}
		}
		if !isMember {
			return false
		}
	}
	return true
}

// RejoinCore adds a control machine that came back without its disk to the core, in place of its former
// acceptor, unless the core does so by itself within two seconds.
func (park *Cluster) RejoinCore(name string) error {
	if park.Until(2*time.Second, func() bool { return park.IsCoreMember(name) }) {
		return nil
	}
	peer := ""
	for _, spec := range park.Plan.Controls {
		if other, _ := split(spec); other != name && park.Node(other).Up() && !park.Node(other).Frozen() {
			peer = other
		}
	}
	return park.Do(peer, 20*time.Second, func(daemon *controlplane.Daemon) error {
		newID := park.Controls[name].Acceptor.ID()
		var oldIDs []string
		for _, member := range daemon.Core().Members {
			if member.Address == name && member.ID != newID {
				oldIDs = append(oldIDs, member.ID)
			}
		}
		_, err := daemon.ChangeCoreMembers([]string{newID}, oldIDs)
		return err
	})
}
