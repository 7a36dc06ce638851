package fleet

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Broken is one breach of a rule, as seen from outside.
type Broken struct {
	Rule   string
	At     time.Duration
	Detail string
}

// String is one line.
func (broken Broken) String() string {
	return fmt.Sprintf("%s at %v: %s", broken.Rule, broken.At.Round(time.Millisecond), broken.Detail)
}

// Facts are what the operators and the faults did, for the checkers.
type Facts struct {
	// Acked are configurations by serial: when each was acknowledged and what
	// its contents were.
	Acked map[uint64]Ack
	// Evacuated are spans of zones being out: from an acknowledgement to the
	// hand-back's beginning, 0 while it is out.
	Evacuated []Evacuation
	// Bad is a version that fails, BadFrom when its handover started, and Moved
	// when a region's route went over to it.
	Bad     string
	BadFrom time.Duration
	Moved   map[string]time.Duration
	// Planned says that nothing but planned work was done, so nothing may be lost.
	Planned bool
	// From is since when; before it the fleet is still warming up.
	From time.Duration
	// Homes are the regions of each home tag; a later entry replaces an earlier
	// one from OldConfigBound after its acknowledgement.
	Homes []Homes
	// SmallShare is the most of a kind's requests that the bad version may have
	// got in a region before the route moved.
	SmallShare float64
	// Books are the configurations with routes, in the order in which they were asked
	// for.
	Books []Book
	// Missed is what had to have happened and did not: the run showed nothing.
	Missed []error
}

// Ack is an acknowledgement.
type Ack struct {
	At   time.Duration
	Mark uint64
}

// Evacuation is a zone out of service.
type Evacuation struct {
	Zone        string
	From, Until time.Duration
}

// Homes are home tags since an acknowledgement.
type Homes struct {
	From, Since time.Duration // asked for, and acknowledged
	Of          map[string][]string
}

// The brief's bounds.
const (
	OldConfigBound = 3 * time.Second
	LeavingBound   = 5 * time.Second
	BadBound       = 5 * time.Second
	EvacuatedBound = 5 * time.Second
	RetryBound     = 0.2
)

// Check applies every rule to what callers, replicas and operators saw. Judged
// tells how many cases each rule had to judge: a rule that judged none has shown
// nothing.
func Check(park *Park, facts Facts) (all []Broken, judged map[string]int) {
	return apply(Rules, park, facts)
}

func apply(rules []Rule, park *Park, facts Facts) (all []Broken, judged map[string]int) {
	judged = map[string]int{}
	for _, rule := range rules {
		broken, count := rule.Check(park, facts)
		judged[rule.Name] = count
		all = append(all, broken...)
	}
	return all, judged
}

// Rule is one line of what must never happen.
type Rule struct {
	Name  string
	Check func(park *Park, facts Facts) (broken []Broken, judged int)
}

// Rules are all of them.
var Rules = []Rule{
	{"twice", twice}, {"foreign", foreign}, {"lost", lost}, {"old config", oldConfig}, {"fallback", fallback}, {"leaving", leaving},
	{"bad version", badVersion}, {"flooded", flooded}, {"home", home}, {"evacuated", evacuated}, {"retries", retries},
}

// twice: a request id that reached a model twice ran twice; so did one that ran
// before or after its caller was told not_run, except by a try that was sent
// after that word. Callers here send an id under a new ticket only after
// not_run. A user gets one whole answer at the most. Judged: ids tried more than
// once.
func twice(park *Park, _ Facts) (all []Broken, judged int) {
	ran := map[string]*Served{}
	for _, one := range park.Logs() {
		if before := ran[one.ID]; before != nil {
			all = append(all, Broken{"twice", one.At, fmt.Sprintf("%s ran at %s by %s at %v and at %s by %s", one.ID, before.Replica, before.Daemon, before.At, one.Replica, one.Daemon)})
		}
		ran[one.ID] = one
	}
	sent := map[string][]Told{}
	for _, one := range park.Told {
		sent[one.ID] = append(sent[one.ID], one)
	}
	for id, told := range sent {
		if len(told) > 1 {
			judged++
		}
		served := ran[id]
		if served == nil {
			continue
		}
		for _, one := range told {
			if one.Verdict != "not_run" || one.Code == "unreached" {
				continue // unreached is the caller's own finding, of that try only
			}
			later := false
			for _, other := range told {
				later = later || other.Sent >= one.At && other.Sent <= served.At
			}
			if served.At <= one.At || !later {
				all = append(all, Broken{"twice", one.At, fmt.Sprintf("%s was told not_run (%s by %s) but ran at %v by %s", id, one.Code, one.Daemon, served.At, served.Daemon)})
			}
		}
	}
	for _, one := range park.Requests {
		if one.Wholes > 1 {
			all = append(all, Broken{"twice", one.End, fmt.Sprintf("%s: the user got %d whole answers", one.ID, one.Wholes)})
		}
	}
	return all, judged
}

// foreign: bytes of another request, or a cut answer that looks whole. Judged:
// answers that ended.
func foreign(park *Park, _ Facts) (all []Broken, judged int) {
	for _, one := range park.Requests {
		if one.Verdict == "ok" || one.Verdict == "cut" {
			judged++
		}
		if one.Foreign {
			all = append(all, Broken{"foreign", one.End, one.ID + " got another's bytes"})
		}
		if one.Verdict == "ok" && !one.Whole {
			all = append(all, Broken{"foreign", one.End, one.ID + " looked whole and was not"})
		}
	}
	return all, judged
}

// lost: in planned work every request ends well, also those that were under way
// when it began. One that never ended is lost. Judged: requests.
func lost(park *Park, facts Facts) (all []Broken, judged int) {
	if !facts.Planned {
		return nil, 0
	}
	const underWay = 3 * time.Second
	for _, one := range park.Requests {
		if one.At < facts.From-underWay {
			continue
		}
		judged++
		switch {
		case one.End == 0:
			all = append(all, Broken{"lost", one.At, fmt.Sprintf("%s (%s) never ended, after %d tries", one.ID, one.Crowd, one.Tries)})
		case one.Verdict != "ok":
			all = append(all, Broken{"lost", one.End, fmt.Sprintf("%s (%s, from %v) ended %s (%s) after %d tries", one.ID, one.Crowd, one.At.Round(time.Millisecond), one.Verdict, one.Code, one.Tries)})
		}
	}
	return all, judged
}

// oldConfig: nothing is dispatched under a serial below an acknowledged one from
// the bound on, and what a serial holds is the same everywhere, and what its
// operator was told. Judged: dispatches after an acknowledgement's bound.
func oldConfig(park *Park, facts Facts) (all []Broken, judged int) {
	for _, one := range park.Logs() {
		newest := uint64(0)
		for serial, ack := range facts.Acked {
			if one.Sent > ack.At+OldConfigBound {
				newest = max(newest, serial)
			}
		}
		if newest > 0 {
			judged++
		}
		if one.Serial < newest {
			all = append(all, Broken{"old config", one.Sent, fmt.Sprintf("%s under serial %d, though %d was acknowledged at %v", one.ID, one.Serial, newest, facts.Acked[newest].At)})
		}
	}
	marks := map[uint64]uint64{}
	for serial, ack := range facts.Acked {
		marks[serial] = ack.Mark
	}
	for _, one := range park.Adopted {
		if have, known := marks[one.Serial]; known && have != one.Mark && have != 0 {
			all = append(all, Broken{"old config", one.At, fmt.Sprintf("%s goes by other contents of serial %d", one.Daemon, one.Serial)})
		}
		marks[one.Serial] = one.Mark
	}
	return all, judged
}

// fallback, over the whole system: no process goes by a lower serial than it went
// by before; none that began, or woke from a freeze longer than a permit, goes by
// or dispatches under a lower one than anybody went by until then. Judged: lives
// that began when there was a configuration.
func fallback(park *Park, _ Facts) (all []Broken, judged int) {
	lives := map[string][]Life{}
	for _, one := range park.Lives {
		lives[one.Daemon] = append(lives[one.Daemon], one)
		if one.Least > 0 {
			judged++
		}
	}
	least := func(daemon string, at time.Duration) (serial uint64) {
		for _, one := range lives[daemon] {
			if one.At <= at {
				serial = max(serial, one.Least)
			}
		}
		return serial
	}
	last := map[string]uint64{}
	for _, one := range park.Adopted {
		key := one.Daemon + "#" + one.Life
		if one.Serial < last[key] {
			all = append(all, Broken{"fallback", one.At, fmt.Sprintf("%s went from serial %d to %d", one.Daemon, last[key], one.Serial)})
		}
		last[key] = one.Serial
		if bound := least(one.Daemon, one.At); one.Serial < bound {
			all = append(all, Broken{"fallback", one.At, fmt.Sprintf("%s took up serial %d; when it began or woke, %d was known", one.Daemon, one.Serial, bound)})
		}
	}
	highest := map[string]uint64{}
	logs := park.Logs()
	sort.SliceStable(logs, func(a, b int) bool { return logs[a].Sent < logs[b].Sent })
	for _, one := range logs {
		if bound := max(highest[one.Daemon], least(one.Daemon, one.Sent)); one.Serial < bound {
			all = append(all, Broken{"fallback", one.At, fmt.Sprintf("%s dispatched under serial %d; it had to know %d", one.Daemon, one.Serial, bound)})
		}
		highest[one.Daemon] = max(highest[one.Daemon], one.Serial)
	}
	return all, judged
}

// leaving: a life of a replica gets nothing from the bound on, counted from when
// the first daemon learned that it ends. Judged: lives that stood on past it, and were in
// use when that was learned.
func leaving(park *Park, _ Facts) (all []Broken, judged int) {
	for _, one := range park.Arrivals {
		if since, known := park.Learned[one.Replica+"/"+one.Boot]; known && one.Sent > since+LeavingBound {
			all = append(all, Broken{"leaving", one.At, fmt.Sprintf("%s (%s) got %s by %s, known to be leaving since %v", one.Replica, one.Boot, one.ID, one.Daemon, since)})
		}
	}
	isUsed := map[string]bool{}
	for _, one := range park.Arrivals {
		life := one.Replica + "/" + one.Boot
		if since, known := park.Learned[life]; known && one.Sent > since-lateSpan && one.Sent <= since+LeavingBound {
			isUsed[life] = true
		}
	}
	for life, since := range park.Learned {
		if !isUsed[life] {
			continue
		}
		for _, one := range append(append([]*Replica{}, park.past...), park.stands()...) {
			ended := park.Now()
			if one.Gone > 0 {
				ended = one.Gone
			}
			if one.ID+"/"+one.Boot == life && ended > since+LeavingBound+time.Second {
				judged++
			}
		}
	}
	return all, judged
}

// badVersion: plain is the third failure of the version on a kind; from five
// seconds after that it gets nothing. At no moment from the handover's start
// until its route moved has a kind in a region given it more than a small share.
// Judged: requests that it got.
func badVersion(park *Park, facts Facts) (all []Broken, judged int) {
	if facts.Bad == "" {
		return nil, 0
	}
	mishaps := map[string]int{}
	plain := time.Duration(0)
	logs := park.Logs()
	var ends []*Served
	for _, one := range logs {
		if one.Version == facts.Bad && one.Failed {
			ends = append(ends, one)
		}
	}
	sort.SliceStable(ends, func(a, b int) bool { return ends[a].FailedAt < ends[b].FailedAt })
	for _, one := range ends {
		if mishaps[one.Kind]++; mishaps[one.Kind] == 3 && plain == 0 {
			plain = one.FailedAt
		}
	}
	type lot struct{ region, kind string }
	mine, whole := map[lot]int{}, map[lot]int{}
	told := map[lot]bool{}
	for _, one := range logs {
		if one.At < facts.BadFrom {
			continue
		}
		region := Region(park.zones[one.Replica])
		at := lot{region, one.Kind}
		whole[at]++
		if one.Version != facts.Bad {
			continue
		}
		judged++
		if plain > 0 && one.At > plain+BadBound {
			all = append(all, Broken{"bad version", one.At, fmt.Sprintf("%s (%s) got %s by %s, plainly failing since %v", one.ID, one.Kind, facts.Bad, one.Daemon, plain)})
		}
		if moved, has := facts.Moved[region]; has && one.At >= moved {
			continue
		}
		mine[at]++
		// A request counts as demand where it is asked, shortly before it comes.
		if facts.SmallShare > 0 && float64(mine[at]) > facts.SmallShare*float64(whole[at]+shareRounding) && !told[at] {
			told[at] = true
			all = append(all, Broken{"bad version", one.At, fmt.Sprintf("%s got %d of the first %d %s in %s", facts.Bad, mine[at], whole[at], one.Kind, region)})
		}
	}
	return all, judged
}

// shareRounding is how many requests of a kind may be on their way, counted as
// demand already and not yet seen at replicas.
const shareRounding = 10

// offeredFlood is how much of what a cold replica is sent it may turn away itself,
// where it bears less than the settings say: what it takes to learn that.
const offeredFlood = 0.25

// flooded: by the stand-ins' own count, of what they took beyond what they bear
// and of what they turned away. Judged: requests taken while cold.
func flooded(park *Park, _ Facts) (all []Broken, judged int) {
	for _, one := range append(append([]*Replica{}, park.past...), park.stands()...) {
		judged += one.ColdTaken
		if away := float64(one.TurnedAway); away > 3 && away > offeredFlood*float64(one.ColdTaken+one.TurnedAway) {
			all = append(all, Broken{"flooded", 0, fmt.Sprintf("%s (%s) turned away %d requests while cold, and took %d", one.ID, one.Boot, one.TurnedAway, one.ColdTaken)})
		}
		if one.Flooded > 0 {
			all = append(all, Broken{"flooded", 0, fmt.Sprintf("%s (%s) took %d requests beyond what it could bear, peak %d", one.ID, one.Boot, one.Flooded, one.Peak)})
		}
	}
	return all, judged
}

func (park *Park) stands() (list []*Replica) {
	for _, name := range park.ids() {
		list = append(list, park.Replicas[name])
	}
	return list
}

// home: no node outside a request's homes reads its body, relays it, or is sent
// it. Judged: bodies and dispatches of home-bound requests.
func home(park *Park, facts Facts) (all []Broken, judged int) {
	// From when a change was asked for until its bound, both homes will do.
	within := func(tag, node string, at time.Duration) bool {
		for index := len(facts.Homes) - 1; index >= 0; index-- {
			one := facts.Homes[index]
			if at < one.From {
				continue
			}
			if slices.Contains(one.Of[tag], Region(park.zones[node])) {
				return true
			}
			if at > one.Since+OldConfigBound {
				return false
			}
		}
		return false
	}
	hold := func(at time.Duration, what, id, tag, node string) {
		if tag == "" {
			return
		}
		judged++
		if !within(tag, node, at) {
			all = append(all, Broken{"home", at, fmt.Sprintf("%s (%s) %s %s", id, tag, what, node)})
		}
	}
	for _, one := range park.Entered {
		hold(one.At, "was read at", one.ID, one.Home, one.Daemon)
	}
	for _, one := range park.Arrivals {
		hold(one.At, "was relayed by", one.ID, one.Home, one.Daemon)
		hold(one.At, "was sent to", one.ID, one.Home, one.Replica)
	}
	for _, one := range park.Logs() {
		hold(one.At, "was cached at", one.ID, one.Home, one.Replica)
	}
	return all, judged
}

// evacuated: from the bound on no request is let in by a daemon of the zone or
// reaches a replica there, and no caller is sent there. Judged: arrivals and
// answers while a zone was out.
func evacuated(park *Park, facts Facts) (all []Broken, judged int) {
	out := func(zone string, at time.Duration) bool {
		for _, span := range facts.Evacuated {
			if span.Zone == zone && at > span.From+EvacuatedBound && (span.Until == 0 || at < span.Until) {
				return true
			}
		}
		return false
	}
	anyOut := func(at time.Duration) bool {
		for _, span := range facts.Evacuated {
			if out(span.Zone, at) {
				return true
			}
		}
		return false
	}
	hold := func(at time.Duration, what, zone string) {
		if anyOut(at) {
			judged++
		}
		if out(zone, at) {
			all = append(all, Broken{"evacuated", at, what + " in the evacuated zone " + zone})
		}
	}
	for _, one := range park.Arrivals {
		hold(one.Sent, one.ID+" reached "+one.Replica, park.zones[one.Replica])
		hold(one.Sent, one.ID+" was relayed by "+one.Daemon, park.zones[one.Daemon])
	}
	for _, one := range park.Entered {
		hold(one.At, one.ID+" was let in by "+one.Daemon, park.zones[one.Daemon])
	}
	for _, one := range park.Locates {
		for _, zone := range one.Zones {
			hold(one.At, one.By+" named a daemon", zone)
		}
	}
	return all, judged
}

// retries: what reaches replicas as a repeat (of a request that was sent before,
// by its caller or by us), against real demand, in every window of ten seconds
// that ends with one. A repeat may have waited in a queue since it was let in, so
// demand counts from that much earlier; one is granted per daemon for rounding.
// Judged: repeats.
func retries(park *Park, _ Facts) (all []Broken, judged int) {
	var told time.Duration
	eachRepeat(park, func(at time.Duration, count, fresh int) {
		judged++
		if float64(count) > RetryBound*float64(fresh)+float64(len(park.Plan.Datas)) && (told == 0 || at > told+retryWindow) {
			told = at
			all = append(all, Broken{"retries", at, fmt.Sprintf("%d repeats against %d new requests", count, fresh)})
		}
	})
	return all, judged
}

// retryWindow is what repeats are counted in, and retryQueued how long one may
// have waited in a queue since it was let in.
const (
	retryWindow = 10 * time.Second
	retryQueued = 1500 * time.Millisecond
)

// eachRepeat visits, for every repeat, the window that ends with it: how many
// repeats came in it, and against how many new requests.
func eachRepeat(park *Park, visit func(at time.Duration, count, fresh int)) {
	fresh := append([]*Request{}, park.Requests...)
	sort.SliceStable(fresh, func(a, b int) bool { return fresh[a].At < fresh[b].At })
	again := repeats(park)
	begin := 0
	for index, at := range again {
		for again[begin] <= at-retryWindow {
			begin++
		}
		from := sort.Search(len(fresh), func(n int) bool { return fresh[n].At > at-retryWindow-retryQueued })
		until := sort.Search(len(fresh), func(n int) bool { return fresh[n].At > at })
		visit(at, index-begin+1, until-from)
	}
}

// repeats are when replicas were sent a request that had been sent before.
func repeats(park *Park) (again []time.Duration) {
	first := map[string]bool{}
	arrivals := append([]Arrival{}, park.Arrivals...)
	sort.SliceStable(arrivals, func(a, b int) bool { return arrivals[a].At < arrivals[b].At })
	for _, one := range arrivals {
		if one.Try > 1 || first[one.ID] {
			again = append(again, one.At)
		}
		first[one.ID] = true
	}
	return again
}

// Rate counts answers that ended whole within a span of time.
func Rate(park *Park, from, until time.Duration) (answered, asked int) {
	for _, one := range park.Requests {
		if one.End >= from && one.End < until && one.Verdict == "ok" {
			answered++
		}
		if one.At >= from && one.At < until {
			asked++
		}
	}
	return answered, asked
}
