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

// Fault is something that goes wrong, or an operator's work, put into a running
// park. It may let time pass and fills in the facts that checkers need.
type Fault struct {
	Name string
	// Planned faults may lose no request.
	Planned bool
	// Run brings it about. What has to have happened for it to be one is stated
	// by facts.Need; what did not makes the run vacuous, which is a failure.
	Run func(park *Park, facts *Facts)
	// Judges are the rules that must have had cases to judge in such a run.
	Judges []string
}

// Need notes what did not happen that had to.
func (facts *Facts) Need(what string, err error) {
	if err != nil {
		facts.Missed = append(facts.Missed, fmt.Errorf("%s: %w", what, err))
	}
}

// Must notes that something was not so that had to be.
func (facts *Facts) Must(what string, isIt bool) {
	if !isIt {
		facts.Missed = append(facts.Missed, errors.New(what))
	}
}

func (park *Park) pick(words []string) string {
	name, _ := split(words[park.Draw(int64(len(words)))])
	return name
}

func (park *Park) anyReplica() string {
	names := park.ids()
	return names[park.Draw(int64(len(names)))]
}

// control gives a running control daemon that isn't frozen.
func (park *Park) control() string {
	for _, word := range park.Plan.Controls {
		if name, _ := split(word); park.Node(name).Up() && !park.Node(name).Frozen() {
			return name
		}
	}
	panic("no control daemon runs")
}

// Acknowledge notes a configuration's acknowledgement by the daemon, and the
// contents that it was given for.
func (park *Park) acknowledge(facts *Facts, daemon *controlplane.Daemon, serial uint64) {
	if facts.Acked == nil {
		facts.Acked = map[uint64]Ack{}
	}
	ack := Ack{At: park.Now()}
	if at, config, _ := daemon.Issuer.Current(); at == serial {
		ack.Mark = mark(config)
	}
	facts.Acked[serial] = ack
}

// Vary gives the plan's document with a difference from every one before.
func (park *Park) Vary() []byte {
	park.varied++
	return []byte(strings.Replace(park.Document, `"limits":{`, fmt.Sprintf(`"limits":{"archive_ms":%d,`, 21600000+park.varied), 1))
}

// Apply applies the plan's document anew, with a difference.
func (park *Park) Apply(facts *Facts, at string) error {
	return park.ApplyExpecting(facts, at, nil)
}

// ApplyExpecting is Apply with an expectation of the current serial. It notes the
// homes that the document has.
func (park *Park) ApplyExpecting(facts *Facts, at string, expect *uint64) error {
	document := park.Vary()
	homes := park.homesOf(document)
	asked := park.Now()
	return park.Do(at, 20*time.Second, func(daemon *controlplane.Daemon) error {
		applied, err := daemon.Apply(document, expect, false)
		if err == nil {
			park.acknowledge(facts, daemon, applied.Serial)
			facts.Homes = append(facts.Homes, Homes{From: asked, Since: park.Now(), Of: homes})
		}
		return err
	})
}

// homesOf reads the homes of a document.
func (park *Park) homesOf(document []byte) map[string][]string {
	tree, problems := settings.Parse(document)
	if len(problems) > 0 {
		panic(problems.Error())
	}
	out := map[string][]string{}
	leaves, _ := tree.Effective("")
	for key := range leaves {
		if tag, isHome := strings.CutPrefix(key, "homes."); isHome {
			out[tag], _ = tree.Homes(tag, "")
		}
	}
	return out
}

// Start gives the facts that hold before anything is done.
func (park *Park) Begin() Facts {
	return Facts{From: park.Now(), Homes: []Homes{{Of: park.homesOf([]byte(park.Document))}}}
}

// Evacuate takes a zone out, or hands it back.
func (park *Park) Evacuate(facts *Facts, zone string, back bool) error {
	if back {
		for index := range facts.Evacuated {
			if span := &facts.Evacuated[index]; span.Zone == zone && span.Until == 0 {
				span.Until = park.Now()
			}
		}
	}
	return park.Do(park.control(), 20*time.Second, func(daemon *controlplane.Daemon) error {
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

// StopData is a planned stop of a data daemon, and its return.
func (park *Park) StopData(name string) {
	done := false
	daemon := park.Datas[name]
	park.Node(name).Go(func() { daemon.Stop(8 * time.Second); done = true })
	park.Until(10*time.Second, func() bool { return done })
	// The listener closes; what came before gets its answer.
	park.closed[name] = true
	park.Run(200 * time.Millisecond)
	park.closed[name] = false
	park.Crash(name)
}

// StopControl is a planned stop of a control daemon.
func (park *Park) StopControl(name string) {
	done := false
	daemon := park.Controls[name]
	park.Node(name).Go(func() { daemon.Stop(); done = true })
	park.Until(5*time.Second, func() bool { return done })
	park.Crash(name)
}

// Lose crashes all of the named that run, callers aside, and tells which.
func (park *Park) Lose(names []string) (ends []string) {
	for _, name := range names {
		if park.Node(name).Up() && !strings.HasPrefix(name, "caller") {
			park.Crash(name)
			ends = append(ends, name)
		}
	}
	return ends
}

// Return starts the named again, whatever they are; replicas come back cold.
func (park *Park) Return(names []string) {
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

// Replace ends a replica as platforms do: it is marked, gets a short grace, and
// comes back under its name, cold.
func (park *Park) Replace(name string) {
	options := park.Replicas[name].ReplicaOptions
	park.Replicas[name].Leave()
	park.LeaveByPlatform(name)
	park.Run(park.Grace)
	park.Crash(name)
	park.Platform.Remove(name)
	park.Run(3 * time.Second)
	park.StartReplica(options)
	park.Platform.Add(Region(options.Zone), name, name, options.Zone)
}

func (park *Park) rest(name string) (others []string) {
	for _, other := range park.NodeNames() {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

func (park *Park) inRegion(region string) (inside, outside []string) {
	for _, name := range park.NodeNames() {
		if Region(park.zones[name]) == region {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	return inside, outside
}

func firstZone(park *Park) string { return park.Plan.Replicas[0].Zone }
func lastZone(park *Park) string  { return park.Plan.Replicas[len(park.Plan.Replicas)-1].Zone }

// Faults are all that is tried, singly and in pairs.
var Faults = []Fault{
	{"configuration storm", true, func(park *Park, facts *Facts) {
		for turn := 0; turn < 6; turn++ {
			facts.Need("apply", park.Apply(facts, park.control()))
		}
	}, []string{"old config", "lost"}},
	{"limits of time changed under traffic, and changed back", true, func(park *Park, facts *Facts) {
		before := park.Document
		park.Document = strings.Replace(before, `"limits":{`, `"limits":{"permit_ms":300,"session_ms":600,"probe_ms":50,"dark_ms":300,"platform_ms":300,`, 1)
		facts.Need("apply", park.Apply(facts, park.control()))
		park.Run(8 * time.Second)
		park.Document = before
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"old config", "lost"}},
	{"two operators at once", true, func(park *Park, facts *Facts) {
		for turn := 0; turn < 3; turn++ {
			park.twoOperators(facts, false)
		}
	}, []string{"old config"}},
	{"two operators with the same expectation", true, func(park *Park, facts *Facts) {
		for turn := 0; turn < 3; turn++ {
			park.twoOperators(facts, true)
		}
	}, []string{"old config"}},
	{"evacuation and hand-back", true, func(park *Park, facts *Facts) {
		zone := lastZone(park)
		// Some callers of the zone come back, with the ticket that they kept, only
		// when the bound is over.
		idle := park.Plan.Callers[len(park.Plan.Callers)-1]
		idle.Name, idle.Zone, idle.Lanes, idle.Every, idle.Until = fmt.Sprint("idle-", park.Now().Milliseconds()), zone, 14, 500*time.Millisecond, park.Now()+24*time.Second
		park.crowd(&idle)
		park.Run(8 * time.Second)
		facts.Need("evacuate", park.Evacuate(facts, zone, false))
		park.Run(12 * time.Second)
		facts.Need("evacuate", park.Evacuate(facts, zone, true))
	}, []string{"evacuated", "lost"}},
	{"data daemons restarted one by one", true, func(park *Park, facts *Facts) {
		for _, word := range park.Plan.Datas[:3] {
			name, _ := split(word)
			park.StopData(name)
			park.Run(500 * time.Millisecond)
			park.StartData(name)
			park.Run(4 * time.Second)
		}
	}, []string{"lost", "fallback"}},
	{"control daemons restarted one by one", true, func(park *Park, facts *Facts) {
		for _, word := range park.Plan.Controls {
			name, _ := split(word)
			if !park.Node(name).Up() {
				continue
			}
			park.StopControl(name)
			park.Run(500 * time.Millisecond)
			park.StartControl(name)
			park.Run(5 * time.Second)
		}
	}, []string{"lost", "fallback"}},
	{"replicas replaced one by one", true, func(park *Park, facts *Facts) {
		for turn := 0; turn < 2; turn++ {
			park.Replace(park.Plan.Replicas[turn].ID)
			park.Run(4 * time.Second)
		}
	}, nil},
	{"replica crashes and comes back cold", false, func(park *Park, facts *Facts) {
		name := park.anyReplica()
		options := park.Replicas[name].ReplicaOptions
		park.Crash(name)
		park.Run(time.Duration(park.Draw(int64(6 * time.Second))))
		park.StartReplica(options)
	}, nil},
	{"replica goes dark", false, func(park *Park, facts *Facts) {
		name := park.anyReplica()
		park.Split([]string{name}, park.rest(name), true)
		park.Run(6 * time.Second)
		park.Split([]string{name}, park.rest(name), false)
	}, nil},
	{"replica freezes", false, func(park *Park, facts *Facts) { park.Freeze(park.anyReplica(), 5*time.Second) }, nil},
	{"data daemon killed", false, func(park *Park, facts *Facts) {
		name := park.pick(park.Plan.Datas)
		park.Crash(name)
		park.Run(2 * time.Second)
		park.StartData(name)
	}, nil},
	{"herd of data daemons killed", false, func(park *Park, facts *Facts) {
		for _, word := range park.Plan.Datas[1:] {
			name, _ := split(word)
			park.Crash(name)
		}
		park.Run(3 * time.Second)
		for _, word := range park.Plan.Datas[1:] {
			name, _ := split(word)
			park.StartData(name)
		}
	}, nil},
	{"data daemon frozen over a new configuration", false, func(park *Park, facts *Facts) {
		park.Freeze(park.pick(park.Plan.Datas), 7*time.Second)
		park.Run(300 * time.Millisecond)
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"old config", "fallback"}},
	{"data daemon frozen over one configuration, and cut off over the next", false, func(park *Park, facts *Facts) {
		// The first one's offer waits in its line; of the second it hears nothing.
		name := park.pick(park.Plan.Datas)
		park.Freeze(name, 7*time.Second)
		park.Run(300 * time.Millisecond)
		facts.Need("apply", park.Apply(facts, park.control()))
		park.Split([]string{name}, park.controls(), true)
		facts.Need("apply", park.Apply(facts, park.control()))
		facts.Must("it sleeps over both", park.Node(name).Frozen())
		park.Run(5 * time.Second)
		park.Split([]string{name}, park.controls(), false)
	}, []string{"old config", "fallback"}},
	{"data daemon cut off over an evacuation", false, func(park *Park, facts *Facts) {
		name := park.pick(park.Plan.Datas)
		var controls []string
		for _, word := range append(append([]string{}, park.Plan.Controls...), park.Plan.Diskless...) {
			control, _ := split(word)
			controls = append(controls, control)
		}
		park.Split([]string{name}, controls, true)
		facts.Need("evacuate", park.Evacuate(facts, firstZone(park), false))
		park.Run(6 * time.Second)
		park.Split([]string{name}, controls, false)
		facts.Need("evacuate", park.Evacuate(facts, firstZone(park), true))
	}, []string{"old config"}},
	{"control daemon killed", false, func(park *Park, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		park.Crash(name)
		park.Run(4 * time.Second)
		park.StartControl(name)
	}, nil},
	{"control daemon frozen", false, func(park *Park, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		park.Freeze(name, 5*time.Second)
	}, nil},
	{"one way cut", false, func(park *Park, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		for _, other := range park.rest(name) {
			park.Cut(name, other, true)
		}
		park.Run(5 * time.Second)
		for _, other := range park.rest(name) {
			park.Cut(name, other, false)
		}
	}, nil},
	{"core split", false, func(park *Park, facts *Facts) {
		a, _ := split(park.Plan.Controls[0])
		b, _ := split(park.Plan.Controls[1])
		c, _ := split(park.Plan.Controls[2])
		park.Split([]string{a}, []string{b, c}, true)
		park.Run(5 * time.Second)
		facts.Need("apply", park.Apply(facts, b))
		// One that begins beside the cut-off acceptor must not take its word.
		lonely := fmt.Sprint("lonely-", park.Now().Milliseconds())
		park.zones[lonely] = park.zones[a]
		park.SeedsOf = map[string][]string{lonely: {a}}
		park.StartData(lonely)
		park.Run(6 * time.Second)
		park.Split([]string{a}, []string{b, c}, false)
	}, []string{"fallback", "old config"}},
	{"region cut off", false, func(park *Park, facts *Facts) {
		inside, outside := park.inRegion(Region(lastZone(park)))
		park.Split(inside, outside, true)
		park.Run(8 * time.Second)
		park.Split(inside, outside, false)
	}, nil},
	{"slow disk", false, func(park *Park, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		park.Node(name).Disk.SyncDelay = 900 * time.Millisecond
		park.Run(8 * time.Second)
		facts.Need("apply", park.Apply(facts, park.control()))
		park.Node(name).Disk.SyncDelay = 0
	}, nil},
	{"full disk", false, func(park *Park, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		park.Node(name).Disk.Full = true
		park.Run(6 * time.Second)
		facts.Need("apply", park.Apply(facts, park.control()))
		park.Node(name).Disk.Full = false
		park.Crash(name)
		park.Run(time.Second)
		park.StartControl(name)
	}, nil},
	{"disk lost after an acknowledgement", false, func(park *Park, facts *Facts) {
		name, _ := split(park.Plan.Controls[park.Draw(3)])
		facts.Need("apply", park.Apply(facts, park.control()))
		park.Crash(name)
		park.Node(name).Disk.Wipe()
		park.Run(time.Second)
		park.StartControl(name)
		park.Run(4 * time.Second)
		facts.Need("readmit", park.Readd(name))
	}, nil},
	{"core machines replaced in turn", true, func(park *Park, facts *Facts) {
		for _, word := range park.Plan.Controls {
			name, _ := split(word)
			if !park.Node(name).Up() {
				continue
			}
			park.StopControl(name)
			park.Node(name).Disk.Wipe()
			park.Run(500 * time.Millisecond)
			park.StartControl(name)
			park.Run(4 * time.Second)
			facts.Need("readmit", park.Readd(name))
			park.Run(2 * time.Second)
		}
		facts.Need("apply", park.Apply(facts, park.control()))
	}, nil},
	{"core machine returns empty at a new address", false, func(park *Park, facts *Facts) {
		old, zone := split(park.Plan.Controls[1])
		facts.Need("apply", park.Apply(facts, park.control()))
		park.Crash(old)
		park.Run(2 * time.Second)
		fresh := fmt.Sprint(old, "-at-", park.Now().Milliseconds())
		park.zones[fresh] = zone
		park.StartControl(fresh)
		park.Run(4 * time.Second)
		at := park.control()
		facts.Must("the new machine has the old one's vote, without an operator", park.Votes(fresh) && len(park.Controls[at].Core().Members) == 3)
		// The new core decides without the old machine, and one more lost.
		facts.Need("apply", park.Apply(facts, at))
	}, nil},
	{"seeds swapped", false, func(park *Park, facts *Facts) {
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
	{"one machine isolated", false, func(park *Park, facts *Facts) {
		words := append(append([]string{}, park.Plan.Controls...), park.Plan.Datas...)
		name := park.pick(words)
		park.Split([]string{name}, park.rest(name), true)
		park.Run(6 * time.Second)
		park.Split([]string{name}, park.rest(name), false)
	}, nil},
	{"region lost and back", false, func(park *Park, facts *Facts) {
		inside, _ := park.inRegion(Region(lastZone(park)))
		ends := park.Lose(inside)
		park.Run(8 * time.Second)
		park.Return(ends)
		park.Run(4 * time.Second)
	}, []string{"flooded", "fallback"}},
	{"whole region slows", false, func(park *Park, facts *Facts) {
		for name, one := range park.Replicas {
			if park.zones[name] == firstZone(park) {
				one.Slower = 4
			}
		}
		park.Run(8 * time.Second)
		for _, one := range park.Replicas {
			one.Slower = 1
		}
	}, nil},
	{"replicas taken at short notice", true, func(park *Park, facts *Facts) {
		// Several at once, with the platform's grace and no more.
		for _, one := range park.Plan.Replicas[:2] {
			park.Replicas[one.ID].Leave()
			park.LeaveByPlatform(one.ID)
		}
		park.Run(park.Grace)
		for _, one := range park.Plan.Replicas[:2] {
			park.Crash(one.ID)
			park.Platform.Remove(one.ID)
		}
		park.Run(6 * time.Second)
		for _, one := range park.Plan.Replicas[:2] {
			park.StartReplica(one)
			park.Platform.Add(Region(one.Zone), one.ID, one.ID, one.Zone)
		}
	}, nil},
	{"crowd", false, func(park *Park, facts *Facts) {
		first := park.Plan.Callers[0]
		first.Name, first.Every, first.Eager, first.Retries = fmt.Sprint("crowd-", park.Now().Milliseconds()), first.Every/8, true, 6
		first.From, first.Until = 0, park.Now()+6*time.Second
		park.crowd(&first)
		park.Run(8 * time.Second)
	}, []string{"retries"}},
	{"callers move between zones", true, func(park *Park, facts *Facts) {
		for _, crowd := range park.Plan.Callers[:2] {
			moving := crowd
			moving.Name, moving.Moves, moving.Until = fmt.Sprint("moving-", crowd.Kind, park.Now().Milliseconds()), true, park.Now()+8*time.Second
			moving.Every *= 3
			park.crowd(&moving)
		}
		park.Run(9 * time.Second)
	}, nil},
	{"mix swings to long answers", false, func(park *Park, facts *Facts) {
		long := park.Plan.Callers[1]
		long.Name, long.Every, long.Until = fmt.Sprint("long-", park.Now().Milliseconds()), 60*time.Millisecond, park.Now()+6*time.Second
		park.crowd(&long)
		park.Run(8 * time.Second)
	}, nil},
	{"replica lingers, known by the list only", true, func(park *Park, facts *Facts) {
		one := park.Used()
		park.LeaveByPlatform(one.ID)
		park.Run(park.Lag + 14*time.Second)
		park.swap(one)
	}, []string{"leaving", "lost"}},
	{"replica lingers, known by its probes only", true, func(park *Park, facts *Facts) {
		one := park.Used()
		park.Replicas[one.ID].Lingers = true
		park.Replicas[one.ID].Leave()
		park.Run(14 * time.Second)
		park.swap(one)
	}, []string{"leaving", "lost"}},
	{"replica lingers and whoever knows of it dies", false, func(park *Park, facts *Facts) {
		// Its word gets to one daemon, once, by the list.
		one := park.Used()
		park.LeaveByPlatform(one.ID)
		key := one.ID + "/" + park.Replicas[one.ID].Boot
		for spent := time.Duration(0); spent < 10*time.Second && park.Learned[key] == 0; spent += 2 * time.Millisecond {
			park.Run(2 * time.Millisecond)
		}
		holder := park.Holder(Region(one.Zone))
		facts.Must("somebody knew of the replica's end", park.Learned[key] > 0 && holder != "")
		if holder != "" {
			park.Crash(holder)
			park.Run(14 * time.Second)
			park.StartControl(holder)
		}
		park.swap(one)
	}, []string{"leaving"}},
	{"all control daemons killed at once", false, func(park *Park, facts *Facts) {
		ends := park.Lose(park.controls())
		park.Run(1 * time.Second)
		park.Return(ends)
		park.Run(6 * time.Second)
	}, []string{"fallback"}},
	{"two of three core machines lost and back", false, func(park *Park, facts *Facts) {
		facts.Need("apply", park.Apply(facts, park.control()))
		ends := park.Lose(park.seeds()[:2])
		park.Run(7 * time.Second)
		park.Return(ends)
		park.Run(6 * time.Second)
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"old config", "fallback"}},
	{"three-way core split", false, func(park *Park, facts *Facts) {
		park.shatter(true)
		park.Run(4 * time.Second)
		facts.Must("no majority, and yet a configuration was acknowledged", park.Apply(&Facts{}, park.seeds()[0]) != nil)
		park.shatter(false)
		park.Run(4 * time.Second)
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"old config"}},
	{"a replica's end is learned while core machines can't reach each other", false, func(park *Park, facts *Facts) {
		park.endUnwritten(facts, func() { park.shatter(true) }, func() { park.shatter(false) })
	}, []string{"leaving"}},
	{"a replica's end is learned while two core machines are down", false, func(park *Park, facts *Facts) {
		holder := park.Holder(Region(firstZone(park)))
		facts.Must("the region's duty is held", holder != "")
		var ends []string
		for _, name := range park.seeds() {
			if name != holder && len(ends) < 2 {
				ends = append(ends, name)
			}
		}
		park.endUnwritten(facts, func() { park.Lose(ends) }, func() { park.Return(ends) })
	}, []string{"leaving"}},
	{"core machines can't reach each other while a region's replicas begin anew", false, func(park *Park, facts *Facts) {
		holder := park.Holder(Region(firstZone(park)))
		facts.Must("the region's duty is held", holder != "")
		park.shatter(true)
		park.Run(1500 * time.Millisecond)
		var ends []string
		for _, one := range park.Plan.Replicas {
			if one.Zone == firstZone(park) {
				ends = append(ends, one.ID)
				park.Crash(one.ID)
			}
		}
		park.Run(time.Second)
		park.Return(ends)
		crowd := park.Plan.Callers[0]
		crowd.Name, crowd.Every, crowd.Until = fmt.Sprint("again-", park.Now().Milliseconds()), crowd.Every/8, park.Now()+8*time.Second
		park.crowd(&crowd)
		park.Run(time.Duration(1500+park.Draw(3000)) * time.Millisecond)
		park.shatter(false)
		park.Run(6 * time.Second)
		facts.Must("the holder lived through it", park.Node(holder).Up())
	}, []string{"flooded"}},
	{"all core disks slow at once", true, func(park *Park, facts *Facts) {
		park.disks(func(name string) { park.Node(name).Disk.SyncDelay = 400 * time.Millisecond })
		// Whether it is decided in time may remain unknown; serving goes on.
		_ = park.Apply(facts, park.control())
		park.Run(8 * time.Second)
		park.disks(func(name string) { park.Node(name).Disk.SyncDelay = 0 })
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"old config", "lost"}},
	{"all core disks full at once", false, func(park *Park, facts *Facts) {
		park.disks(func(name string) { park.Node(name).Disk.Full = true })
		facts.Must("all disks are full, and yet a configuration was acknowledged", park.Apply(&Facts{}, park.control()) != nil)
		park.Run(4 * time.Second)
		park.disks(func(name string) {
			park.Node(name).Disk.Full = false
			park.Crash(name)
			park.Run(500 * time.Millisecond)
			park.StartControl(name)
		})
		park.Run(6 * time.Second)
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"old config", "fallback"}},
	{"disk that fails on sync only", false, func(park *Park, facts *Facts) {
		name := park.seeds()[park.Draw(3)]
		park.Node(name).Disk.FailSyncs = true
		facts.Need("apply", park.Apply(facts, park.control()))
		park.Run(5 * time.Second)
		park.Node(name).Disk.FailSyncs = false
		park.Crash(name)
		park.Run(time.Second)
		park.StartControl(name)
		park.Run(4 * time.Second)
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"old config"}},
	{"data daemon's line flaps, one way", false, func(park *Park, facts *Facts) {
		name := park.pick(park.Plan.Datas)
		for turn := 0; turn < 12; turn++ {
			for _, other := range park.rest(name) {
				if turn%4 < 2 {
					park.Cut(name, other, turn%2 == 0)
				} else {
					park.Cut(other, name, turn%2 == 0)
				}
			}
			park.Run(time.Duration(200+park.Draw(900)) * time.Millisecond)
			if turn == 5 {
				facts.Need("apply", park.Apply(facts, park.control()))
			}
		}
	}, []string{"old config"}},
	{"frozen for longer than every bound, one of each kind", false, func(park *Park, facts *Facts) {
		park.Freeze(park.pick(park.Plan.Datas), 20*time.Second)
		park.Freeze(park.seeds()[park.Draw(3)], 20*time.Second)
		park.Freeze(park.anyReplica(), 20*time.Second)
		park.Run(4 * time.Second)
		facts.Need("apply", park.Apply(facts, park.control()))
		park.Run(20 * time.Second)
	}, []string{"old config", "fallback"}},
	{"herd of replicas frozen", false, func(park *Park, facts *Facts) {
		for index, one := range park.Plan.Replicas {
			if index%2 == 0 {
				park.Freeze(one.ID, 6*time.Second)
			}
		}
		park.Run(8 * time.Second)
	}, []string{"retries"}},
	{"clocks of unequal pace, calendars that jump", true, func(park *Park, facts *Facts) {
		for index, name := range append(park.controls(), park.datas()...) {
			park.Node(name).SetClockRate([]float64{0.02, -0.02, 0}[index%3])
			park.Node(name).Skew = time.Duration(index%3-1) * time.Hour
		}
		facts.Need("apply", park.Apply(facts, park.control()))
		park.Run(10 * time.Second)
		for _, name := range append(park.controls(), park.datas()...) {
			park.Node(name).SetClockRate(0)
			park.Node(name).Skew = 0
		}
	}, []string{"old config", "lost"}},
	{"calls lost, repeated and late", false, func(park *Park, facts *Facts) {
		park.Faults = sim.NetworkFaults{Lost: 0.05, Duplicated: 0.1, Delayed: 0.1, MaxDelay: 1500 * time.Millisecond}
		for turn := 0; turn < 3; turn++ {
			// What got no answer is looked up, never guessed.
			if err := park.Apply(facts, park.control()); err != nil {
				park.Run(time.Second)
			}
			park.Run(2 * time.Second)
		}
		park.Faults = sim.NetworkFaults{}
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"old config"}},
	{"homes narrowed under traffic", false, func(park *Park, facts *Facts) {
		wide := park.Document
		park.Document = narrow(park.Document)
		facts.Must("the document has homes to narrow", park.Document != wide)
		facts.Need("apply", park.Apply(facts, park.control()))
		park.Run(8 * time.Second)
		park.Document = wide
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"home", "old config"}},
	{"the only home is evacuated", false, func(park *Park, facts *Facts) {
		wide := park.Document
		park.Document = narrow(park.Document)
		facts.Need("apply", park.Apply(facts, park.control()))
		zone := firstZone(park)
		facts.Need("evacuate", park.Evacuate(facts, zone, false))
		park.Run(9 * time.Second)
		facts.Need("hand back", park.Evacuate(facts, zone, true))
		park.Document = wide
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"home", "evacuated"}},
	{"a home region loses most of its replicas and its load spills", false, func(park *Park, facts *Facts) {
		spilled := func() (count uint64) {
			for _, name := range park.datas() {
				count += park.Datas[name].Decider.Count().Spilled
			}
			return count
		}
		before := spilled()
		var ends []string
		for _, one := range park.Plan.Replicas {
			if one.Zone == firstZone(park) && len(ends) < 3 {
				ends = append(ends, one.ID)
				park.Crash(one.ID)
			}
		}
		for _, crowd := range park.Plan.Callers[:2] {
			crowd.Name, crowd.Home, crowd.Every, crowd.Until = fmt.Sprint("spill-", crowd.Kind, park.Now().Milliseconds()), park.anyHome(), crowd.Every/8, park.Now()+9*time.Second
			crowd.Tokens *= 4
			park.crowd(&crowd)
		}
		park.Run(10 * time.Second)
		facts.Must("load crossed into another region", spilled() > before)
		park.Return(ends)
	}, []string{"home", "flooded"}},
	{"a home region is cut off", false, func(park *Park, facts *Facts) {
		inside, outside := park.inRegion(Region(firstZone(park)))
		park.Split(inside, outside, true)
		park.Run(8 * time.Second)
		park.Split(inside, outside, false)
	}, []string{"home"}},
	{"callers ask outside their home", false, func(park *Park, facts *Facts) {
		bound := park.Plan.Callers[0]
		for _, crowd := range park.Plan.Callers {
			if crowd.Home != "" {
				bound = crowd
			}
		}
		facts.Must("a crowd is bound to homes", bound.Home != "")
		bound.Name, bound.Zone, bound.Astray, bound.Until = fmt.Sprint("astray-", park.Now().Milliseconds()), lastZone(park), true, park.Now()+7*time.Second
		bound.Every = 100 * time.Millisecond
		declined := len(park.Told)
		park.crowd(&bound)
		park.Run(8 * time.Second)
		outside := 0
		for _, one := range park.Told[declined:] {
			if one.Code == "outside_home" {
				outside++
			}
		}
		facts.Must("daemons outside the home were asked", outside > 10)
	}, []string{"home"}},
	{"several tries of a request in flight", false, func(park *Park, facts *Facts) {
		for _, crowd := range park.Plan.Callers[:4] {
			crowd.Name, crowd.Hasty, crowd.Eager, crowd.Until = fmt.Sprint("hasty-", crowd.Name, park.Now().Milliseconds()), true, true, park.Now()+14*time.Second
			crowd.Every *= 2
			crowd.Every = min(crowd.Every, 150*time.Millisecond)
			park.crowd(&crowd)
		}
		// Permits lapse and come back between two tries of a request.
		for turn := 0; turn < 3; turn++ {
			park.Split(park.datas()[:2], park.controls(), true)
			park.Run(2200 * time.Millisecond)
			park.Split(park.datas()[:2], park.controls(), false)
			park.Run(300 * time.Millisecond)
		}
		park.Run(2 * time.Second)
		park.StopData(park.datas()[0])
		park.StartData(park.datas()[0])
		park.Run(6 * time.Second)
	}, []string{"twice", "retries"}},
	{"evacuation under a restart, a roll-out, a crowd and a dying duty holder", false, func(park *Park, facts *Facts) {
		zone := firstZone(park)
		facts.Need("handover", park.Do(park.control(), 20*time.Second, func(daemon *controlplane.Daemon) error {
			_, err := daemon.Handover(fmt.Sprint("h", park.Now()), park.Model, fmt.Sprint("v", park.Now().Milliseconds()), nil)
			return err
		}))
		crowd := park.Plan.Callers[2]
		crowd.Name, crowd.Every, crowd.Until = fmt.Sprint("near-", park.Now().Milliseconds()), crowd.Every/4, park.Now()+10*time.Second
		park.crowd(&crowd)
		park.Run(2 * time.Second)
		facts.Need("evacuate", park.Evacuate(facts, zone, false))
		holder := park.Holder(Region(zone))
		facts.Must("the region's duty is held", holder != "")
		if holder != "" {
			park.Crash(holder)
		}
		for _, name := range park.datas()[:2] {
			park.Crash(name)
			park.StartData(name)
		}
		park.Run(12 * time.Second)
		if holder != "" {
			park.StartControl(holder)
		}
		facts.Need("hand back", park.Evacuate(facts, zone, true))
	}, []string{"evacuated"}},
	{"seeds swapped on every daemon in turn", true, func(park *Park, facts *Facts) {
		park.SeedsOf = map[string][]string{}
		for index, name := range append(park.datas(), park.controls()...) {
			park.SeedsOf[name] = []string{"nobody", park.controls()[(index+1)%len(park.controls())]}
			if park.Datas[name] != nil {
				park.StopData(name)
				park.StartData(name)
			} else {
				park.StopControl(name)
				park.StartControl(name)
			}
			park.Run(3500 * time.Millisecond)
		}
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"lost", "old config"}},
	{"settings reloaded on every daemon, good ones and bad", true, func(park *Park, facts *Facts) {
		park.SeedsOf = map[string][]string{}
		for index, name := range append(park.datas(), park.controls()...) {
			old := park.seedsNow(name)
			park.SeedsOf[name] = []string{"nobody", park.controls()[(index+1)%len(park.controls())]}
			park.Spoilt[name] = true
			_, err := park.reload(name)
			facts.Must(name+" declines a bad settings file with its path", err != nil && strings.Contains(err.Error(), "$.seeds.0"))
			facts.Must(name+" keeps its settings then", slices.Equal(park.seedsNow(name), old))
			park.Spoilt[name] = false
			reloaded, err := park.reload(name)
			facts.Need("reload", err)
			facts.Must(name+" changes its seeds in place", slices.Equal(reloaded.Changed, []string{"seeds"}) && slices.Equal(park.seedsNow(name), park.SeedsOf[name]))
			park.Run(700 * time.Millisecond)
		}
		_, err := park.reload("nobody-here")
		facts.Must("a daemon that is no member is not reloaded", err != nil)
		// From here on the new seeds have to do.
		park.StopControl(park.controls()[1])
		park.Run(500 * time.Millisecond)
		park.StartControl(park.controls()[1])
		park.Run(5 * time.Second)
		facts.Need("apply", park.Apply(facts, park.control()))
	}, []string{"lost", "old config"}},
	{"data daemons killed in a configuration storm", false, func(park *Park, facts *Facts) {
		for turn := 0; turn < 12; turn++ {
			name := park.datas()[turn%len(park.Plan.Datas)]
			park.Crash(name)
			at := park.control()
			daemon, document := park.Controls[at], park.Vary()
			isDone := false
			park.Node(at).Go(func() {
				if applied, err := daemon.Apply(document, nil, false); err == nil {
					park.acknowledge(facts, daemon, applied.Serial)
				}
				isDone = true
			})
			park.Run(time.Duration(20+park.Draw(60)) * time.Millisecond)
			park.StartData(name)
			facts.Must("the operator was answered", park.Until(8*time.Second, func() bool { return isDone }))
		}
		park.Run(4 * time.Second)
		// Daemons that were never seen before begin at the moment of an
		// acknowledgement that had to wait for nobody.
		facts.Need("apply", park.Apply(facts, park.seeds()[2]))
		for index, word := range append(append([]string{}, park.Plan.Controls...), park.Plan.Diskless...) {
			_, zone := split(word)
			fresh := fmt.Sprint("fresh-", index, "-", park.Now().Milliseconds())
			park.zones[fresh] = zone
			park.StartData(fresh)
		}
		park.Run(3 * time.Second)
	}, []string{"fallback", "old config"}},
	{"replicas return that warm more slowly than the settings say, and say so", false, func(park *Park, facts *Facts) {
		var ends []string
		for _, one := range park.Plan.Replicas {
			if one.Zone == firstZone(park) {
				ends = append(ends, one.ID)
				options := park.Replicas[one.ID].ReplicaOptions
				options.ColdAnswers, options.Guards = int(100+park.Draw(300)), true
				park.Crash(one.ID)
				park.Replicas[one.ID].ReplicaOptions = options
			}
		}
		park.Run(2 * time.Second)
		park.Return(ends)
		park.Crash(park.datas()[0])
		crowd := park.Plan.Callers[0]
		crowd.Name, crowd.Every, crowd.Until = fmt.Sprint("warmer-", park.Now().Milliseconds()), crowd.Every/10, park.Now()+14*time.Second
		crowd.Tokens *= 6
		park.crowd(&crowd)
		park.Run(3 * time.Second)
		if holder := park.Holder(Region(firstZone(park))); holder != "" {
			park.Crash(holder)
			park.Run(7 * time.Second)
			park.StartControl(holder)
		}
		park.StartData(park.datas()[0])
		park.Run(5 * time.Second)
		cold := 0
		for _, name := range ends {
			cold += park.Replicas[name].ColdTaken
		}
		facts.Must("cold replicas were sent to", cold > 50)
	}, []string{"flooded"}},
	{"regions return one after another after a full loss, a core disk gone", false, func(park *Park, facts *Facts) {
		facts.Need("apply", park.Apply(facts, park.control()))
		ends := park.Lose(park.NodeNames())
		park.Node(park.seeds()[0]).Disk.Wipe()
		crowd := park.Plan.Callers[0]
		crowd.Name, crowd.Every, crowd.Eager, crowd.Retries, crowd.Until = fmt.Sprint("return-", park.Now().Milliseconds()), crowd.Every/4, true, 6, park.Now()+12*time.Second
		park.crowd(&crowd)
		park.Run(2 * time.Second)
		for _, region := range park.Regions() {
			for _, name := range ends {
				if Region(park.zones[name]) == region {
					park.Return([]string{name})
				}
			}
			park.Run(2 * time.Second)
		}
		park.Run(3 * time.Second)
		facts.Need("readmit", park.Readd(park.seeds()[0]))
	}, []string{"fallback", "flooded", "retries"}},
}

// Used is the replica of the first one's zone that got most requests of late: one that
// gets none anyway proves nothing by getting none.
func (park *Park) Used() ReplicaOptions {
	counts := map[string]int{}
	for _, one := range park.Arrivals {
		if one.Sent > park.Now()-lateSpan {
			counts[one.Replica]++
		}
	}
	best := park.Plan.Replicas[0]
	for _, one := range park.Plan.Replicas {
		if one.Zone == best.Zone && counts[one.ID] > counts[best.ID] {
			best = one
		}
	}
	return best
}

// lateSpan is how far back what a replica got of late reaches.
const lateSpan = 5 * time.Second

// endUnwritten has a replica's end learned by a duty's holder that can't write it,
// from the loss until longer than the bound.
func (park *Park) endUnwritten(facts *Facts, loss, back func()) {
	one := park.Used()
	key := one.ID + "/" + park.Replicas[one.ID].Boot
	loss()
	park.Replicas[one.ID].Lingers = true
	park.Replicas[one.ID].Leave()
	park.LeaveByPlatform(one.ID)
	park.Run(7 * time.Second)
	facts.Must("somebody learned of it in time", park.Learned[key] > 0 && park.Learned[key] < park.Now()-LeavingBound)
	crowd := park.Plan.Callers[0]
	crowd.Name, crowd.Every, crowd.Until = fmt.Sprint("still-", park.Now().Milliseconds()), crowd.Every/8, park.Now()+6*time.Second
	park.crowd(&crowd)
	back()
	park.Run(6 * time.Second)
	park.swap(one)
}

// shatter parts every core machine from every other, or mends that.
func (park *Park) shatter(isCut bool) {
	seeds := park.seeds()
	park.Split(seeds[:1], seeds[1:], isCut)
	park.Split(seeds[1:2], seeds[2:], isCut)
}

// narrow leaves the first region of each home.
func narrow(document string) string {
	return homesShape.ReplaceAllString(document, `"homes":{"$1":["$2"]}`)
}

var homesShape = regexp.MustCompile(`"homes":\{"(\w+)":\["(\w+)"[^\]]*\]\}`)

func (park *Park) controls() (names []string) {
	for _, word := range append(append([]string{}, park.Plan.Controls...), park.Plan.Diskless...) {
		name, _ := split(word)
		names = append(names, name)
	}
	return names
}

func (park *Park) datas() (names []string) {
	for _, word := range park.Plan.Datas {
		name, _ := split(word)
		names = append(names, name)
	}
	return names
}

// Regions are the regions, in the order of their control daemons.
func (park *Park) Regions() (regions []string) {
	for _, word := range park.Plan.Controls {
		_, zone := split(word)
		regions = append(regions, Region(zone))
	}
	return regions
}

func (park *Park) disks(each func(name string)) {
	for _, name := range park.seeds() {
		if park.Node(name).Up() {
			each(name)
		}
	}
}

// Holder is the running control daemon that holds a region's duty.
func (park *Park) Holder(region string) string {
	for _, name := range park.controls() {
		if park.Node(name).Up() && park.Controls[name] != nil {
			if _, held := park.Controls[name].Elections.Term(controlplane.RegionElection + region); held {
				return name
			}
		}
	}
	return ""
}

func (park *Park) seedsNow(name string) []string {
	if daemon := park.Datas[name]; daemon != nil {
		return daemon.Live.Seeds()
	}
	return park.Controls[name].Live.Seeds()
}

// reload is an operator's command at some control daemon.
func (park *Park) reload(name string) (out settings.ReloadResult, err error) {
	err = park.Do(park.control(), 5*time.Second, func(daemon *controlplane.Daemon) error {
		var err error
		out, err = daemon.Reload(name)
		return err
	})
	return out, err
}

// anyHome is a home tag of the plan.
func (park *Park) anyHome() string {
	for _, crowd := range park.Plan.Callers {
		if crowd.Home != "" {
			return crowd.Home
		}
	}
	return ""
}

// swap ends a replica that was told to leave, and brings a new one in its place.
func (park *Park) swap(options ReplicaOptions) {
	park.Crash(options.ID)
	park.Platform.Remove(options.ID)
	park.Run(3 * time.Second)
	park.StartReplica(options)
	park.Platform.Add(Region(options.Zone), options.ID, options.ID, options.Zone)
}

// twoOperators applies two documents at once at two control daemons. With the
// same expectation exactly one wins; without, the one decided last stands. No
// acknowledged change vanishes: its serial keeps its contents everywhere.
func (park *Park) twoOperators(facts *Facts, expecting bool) {
	type ending struct {
		serial uint64
		err    error
		mark   uint64
	}
	var ends []ending
	var expect *uint64
	if expecting {
		at := park.highest
		expect = &at
	}
	started := 0
	for _, name := range park.seeds() {
		if !park.Node(name).Up() || started == 2 {
			continue
		}
		started++
		daemon, document := park.Controls[name], park.Vary()
		park.Node(name).Go(func() {
			applied, err := daemon.Apply(document, expect, false)
			if err == nil {
				park.acknowledge(facts, daemon, applied.Serial)
			}
			ends = append(ends, ending{applied.Serial, err, mark(lease.Config{Document: document, Evacuated: park.out(facts)})})
		})
	}
	facts.Must("both operators were answered", park.Until(12*time.Second, func() bool { return len(ends) == started }))
	won := 0
	last := ending{}
	for _, one := range ends {
		if one.err == nil {
			won++
			if one.serial > last.serial {
				last = one
			}
		}
	}
	if expecting {
		facts.Must(fmt.Sprintf("exactly one of two operators with the same expectation wins, %d did", won), won == 1)
	} else {
		facts.Must("both operators without an expectation are served", won == started)
	}
	park.Run(3 * time.Second)
	for _, name := range park.datas() {
		if !park.Node(name).Up() {
			continue
		}
		view := park.Datas[name].Holder.View()
		facts.Must(fmt.Sprintf("%s goes by the configuration decided last, serial %d", name, last.serial), view.Serial != last.serial || mark(view.Config()) == last.mark)
	}
}

// out lists the zones that are evacuated.
func (park *Park) out(facts *Facts) (zones []string) {
	for _, one := range facts.Evacuated {
		if one.Until == 0 {
			zones = append(zones, one.Zone)
		}
	}
	return zones
}

// Votes tells whether every running control daemon knows the machine's present
// acceptor to be in the core, in which nobody else has its name or address.
func (park *Park) Votes(name string) bool {
	for _, at := range park.controls() {
		if !park.Node(at).Up() || park.Node(at).Frozen() {
			continue
		}
		if park.Controls[name] == nil {
			return false // starting
		}
		is := false
		for _, member := range park.Controls[at].Core().Members {
			if member.ID == park.Controls[name].Acceptor.ID() {
				is = true
			} else if member.Name == name || member.Address == name {
				return false
			}
		}
		if !is {
			return false
		}
	}
	return true
}

// Readd puts a control machine that came back without its disk into the core
// in the place of its former self, unless the core did so by itself.
func (park *Park) Readd(name string) error {
	if park.Until(2*time.Second, func() bool { return park.Votes(name) }) {
		return nil
	}
	at := ""
	for _, word := range park.Plan.Controls {
		if other, _ := split(word); other != name && park.Node(other).Up() && !park.Node(other).Frozen() {
			at = other
		}
	}
	return park.Do(at, 20*time.Second, func(daemon *controlplane.Daemon) error {
		fresh := park.Controls[name].Acceptor.ID()
		var gone []string
		for _, member := range daemon.Core().Members {
			if member.Address == name && member.ID != fresh {
				gone = append(gone, member.ID)
			}
		}
		_, err := daemon.ChangeCoreMembers([]string{fresh}, gone)
		return err
	})
}
