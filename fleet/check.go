package fleet

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Violation is one violation of a rule, judged from what callers, replicas and operators observed.
type Violation struct {
	Rule   string
	At     time.Duration
	Detail string
}

// String formats the violation as one line.
func (broken Violation) String() string {
	return fmt.Sprintf("%s at %v: %s", broken.Rule, broken.At.Round(time.Millisecond), broken.Detail)
}

// Facts records what operators and faults did during a run, for the checkers.
type Facts struct {
	// Acked holds the acknowledged configurations by document version: the time of the
	// acknowledgement and a hash of the contents.
	Acked map[uint64]Ack
	// Evacuated holds the periods in which zones were evacuated: from the acknowledgement to
	// the start of the hand-back, which is 0 while the zone is still evacuated.
	Evacuated []Evacuation
	// Bad is a model version that fails, BadFrom the start of its rollout, and Moved the
	// time at which a region routed all its traffic to it.
	Bad     string
	BadFrom time.Duration
	Moved   map[string]time.Duration
	// Planned is set if only planned maintenance was done, during which no request may be lost.
	Planned bool
	// From is the start of the measured period; before it the fleet is warming up.
	From time.Duration
	// Homes lists the regions of each home tag. A later entry replaces an earlier one
	// OldConfigBound after it was acknowledged.
	Homes []Homes
	// SmallShare is the largest share of a request kind that the bad version may get in a
	// region before that region routes all its traffic to it.
	SmallShare float64
	// RoutedConfigs lists the configurations with routes in the order in which they were submitted.
	RoutedConfigs []RoutedConfig
	// FailedPreconditions lists preconditions of the fault that did not come about. The run proves
	// nothing if there are any.
	FailedPreconditions []error
}

// Ack records when a configuration was acknowledged, and a hash of its contents.
type Ack struct {
	At   time.Duration
	Mark uint64
}

// Evacuation is a period in which a zone was out of service.
type Evacuation struct {
	Zone        string
	From, Until time.Duration
}

// Homes holds the regions of each home tag as of one configuration.
type Homes struct {
	From, Since time.Duration // submitted and acknowledged
	Of          map[string][]string
}

// Bounds of the requirements: how long after the triggering event the system may still act
// on the previous state, and how many retries it may send per new request.
const (
	OldConfigBound = 3 * time.Second
	LeavingBound   = 5 * time.Second
	BadBound       = 5 * time.Second
	EvacuatedBound = 5 * time.Second
	RetryBound     = 0.2
)

// Check applies every rule to what callers, replicas and operators observed. judged holds
// how many cases each rule had to judge; a rule without any has proved nothing.
func Check(park *Cluster, facts Facts) (all []Violation, judged map[string]int) {
	return apply(Rules, park, facts)
}

func apply(rules []Rule, park *Cluster, facts Facts) (all []Violation, judged map[string]int) {
	judged = map[string]int{}
	for _, rule := range rules {
		broken, count := rule.Check(park, facts)
		judged[rule.Name] = count
		all = append(all, broken...)
	}
	return all, judged
}

// Rule is an invariant that must hold in every run. Check returns the violations and the
// number of cases that it judged.
type Rule struct {
	Name  string
	Check func(park *Cluster, facts Facts) (broken []Violation, judged int)
}

// Rules are the invariants for requests that are addressed to a model by name.
var Rules = []Rule{
	{"twice", twice}, {"foreign", foreign}, {"lost", lost}, {"old config", oldConfig}, {"fallback", fallback}, {"leaving", leaving},
	{"bad version", badVersion}, {"flooded", flooded}, {"home", home}, {"evacuated", evacuated}, {"retries", retries},
}

// twice checks that no request runs more than once. A violation is a request ID that reached
// a model twice, or one that ran before or after its caller got the verdict not_run, unless it
// ran because of an attempt sent after that reply. Simulated callers send an ID with a new
// ticket only after not_run. A user gets at most one complete answer. Judged are the IDs with
// more than one attempt.
func twice(park *Cluster, _ Facts) (all []Violation, judged int) {
	ran := map[string]*Served{}
	for _, served := range park.Logs() {
		if before := ran[served.ID]; before != nil {
			all = append(all, Violation{"twice", served.At, fmt.Sprintf("%s ran on %s, sent by %s, at %v and on %s, sent by %s", served.ID, before.Replica, before.Daemon, before.At, served.Replica, served.Daemon)})
		}
		ran[served.ID] = served
	}
	sent := map[string][]AttemptOutcome{}
	for _, reply := range park.Outcomes {
		sent[reply.ID] = append(sent[reply.ID], reply)
	}
	for id, replies := range sent {
		if len(replies) > 1 {
			judged++
		}
		served := ran[id]
		if served == nil {
			continue
		}
		for _, reply := range replies {
			if reply.Verdict != "not_run" || reply.Code == "unreached" {
				continue // the caller itself reports unreached, and only for that attempt
			}
			later := false
			for _, other := range replies {
				later = later || other.Sent >= reply.At && other.Sent <= served.At
			}
			if served.At <= reply.At || !later {
				all = append(all, Violation{"twice", reply.At, fmt.Sprintf("%s got the verdict not_run (%s from %s) but ran at %v, sent by %s", id, reply.Code, reply.Daemon, served.At, served.Daemon)})
			}
		}
	}
	for _, request := range park.Requests {
		if request.CompleteAnswers > 1 {
			all = append(all, Violation{"twice", request.End, fmt.Sprintf("%s: the user got %d complete answers", request.ID, request.CompleteAnswers)})
		}
	}
	return all, judged
}

// foreign checks that no caller gets bytes of another request, or a truncated answer that
// looks complete. Judged are the requests whose answer ended.
func foreign(park *Cluster, _ Facts) (all []Violation, judged int) {
	for _, request := range park.Requests {
		if request.Verdict == "ok" || request.Verdict == "cut" {
			judged++
		}
		if request.WrongAnswer {
			all = append(all, Violation{"foreign", request.End, request.ID + " got bytes of another request"})
		}
		if request.Verdict == "ok" && !request.Whole {
			all = append(all, Violation{"foreign", request.End, request.ID + " looked complete but was not"})
		}
	}
	return all, judged
}

// lost checks that during planned maintenance every request succeeds, including those in flight when
// it began, which are the ones from three seconds before. A request that never ended counts as lost.
// Judged are all these requests.
func lost(park *Cluster, facts Facts) (all []Violation, judged int) {
	if !facts.Planned {
		return nil, 0
	}
	const underWay = 3 * time.Second
	for _, request := range park.Requests {
		if request.At < facts.From-underWay {
			continue
		}
		judged++
		switch {
		case request.End == 0:
			all = append(all, Violation{"lost", request.At, fmt.Sprintf("%s (%s) never ended, after %d attempts", request.ID, request.Crowd, request.Tries)})
		case request.Verdict != "ok":
			all = append(all, Violation{"lost", request.End, fmt.Sprintf("%s (%s, from %v) ended %s (%s) after %d attempts", request.ID, request.Crowd, request.At.Round(time.Millisecond), request.Verdict, request.Code, request.Tries)})
		}
	}
	return all, judged
}

// oldConfig checks that no request is sent under a document version that is older than one
// acknowledged more than OldConfigBound earlier, and that a version has the same contents on
// every process, namely those that were acknowledged to its operator. Judged are the requests
// sent more than OldConfigBound after an acknowledgement.
func oldConfig(park *Cluster, facts Facts) (all []Violation, judged int) {
	for _, served := range park.Logs() {
		newest := uint64(0)
		for serial, ack := range facts.Acked {
			if served.Sent > ack.At+OldConfigBound {
				newest = max(newest, serial)
			}
		}
		if newest > 0 {
			judged++
		}
		if served.Serial < newest {
			all = append(all, Violation{"old config", served.Sent, fmt.Sprintf("%s was sent under version %d, though %d was acknowledged at %v", served.ID, served.Serial, newest, facts.Acked[newest].At)})
		}
	}
	marks := map[uint64]uint64{}
	for serial, ack := range facts.Acked {
		marks[serial] = ack.Mark
	}
	for _, adopted := range park.Adopted {
		if mark, known := marks[adopted.Serial]; known && mark != adopted.Mark && mark != 0 {
			all = append(all, Violation{"old config", adopted.At, fmt.Sprintf("%s uses different contents of version %d", adopted.Daemon, adopted.Serial)})
		}
		marks[adopted.Serial] = adopted.Mark
	}
	return all, judged
}

// fallback checks that document versions never go backwards, over the whole system. No process
// uses a lower version than it used before. A process that started, or resumed after a freeze
// longer than a lease, neither uses nor sends requests under a lower version than the highest
// that any process had used by then. Judged are the process starts that followed a first
// configuration.
func fallback(park *Cluster, _ Facts) (all []Violation, judged int) {
	lives := map[string][]Start{}
	for _, life := range park.Starts {
		lives[life.Daemon] = append(lives[life.Daemon], life)
		if life.MinVersion > 0 {
			judged++
		}
	}
	least := func(daemon string, at time.Duration) (serial uint64) {
		for _, life := range lives[daemon] {
			if life.At <= at {
				serial = max(serial, life.MinVersion)
			}
		}
		return serial
	}
	lastSerials := map[string]uint64{}
	for _, adopted := range park.Adopted {
		key := adopted.Daemon + "#" + adopted.Life
		if adopted.Serial < lastSerials[key] {
			all = append(all, Violation{"fallback", adopted.At, fmt.Sprintf("%s went from version %d to %d", adopted.Daemon, lastSerials[key], adopted.Serial)})
		}
		lastSerials[key] = adopted.Serial
		if bound := least(adopted.Daemon, adopted.At); adopted.Serial < bound {
			all = append(all, Violation{"fallback", adopted.At, fmt.Sprintf("%s adopted version %d; when it started or resumed, %d was in use", adopted.Daemon, adopted.Serial, bound)})
		}
	}
	highestSent := map[string]uint64{}
	logs := park.Logs()
	sort.SliceStable(logs, func(a, b int) bool { return logs[a].Sent < logs[b].Sent })
	for _, served := range logs {
		if bound := max(highestSent[served.Daemon], least(served.Daemon, served.Sent)); served.Serial < bound {
			all = append(all, Violation{"fallback", served.At, fmt.Sprintf("%s sent a request under version %d; it had to use at least %d", served.Daemon, served.Serial, bound)})
		}
		highestSent[served.Daemon] = max(highestSent[served.Daemon], served.Serial)
	}
	return all, judged
}

// leaving checks that a replica process gets no request sent more than LeavingBound after the
// first daemon learned that it is being terminated. Judged are the processes that ran on
// for at least a second past the bound and got requests when the termination was learned.
func leaving(park *Cluster, _ Facts) (all []Violation, judged int) {
	for _, arrival := range park.Arrivals {
		if since, known := park.TerminationLearned[arrival.Replica+"/"+arrival.Boot]; known && arrival.Sent > since+LeavingBound {
			all = append(all, Violation{"leaving", arrival.At, fmt.Sprintf("%s (%s) got %s from %s, though its termination was known since %v", arrival.Replica, arrival.Boot, arrival.ID, arrival.Daemon, since)})
		}
	}
	isUsed := map[string]bool{}
	for _, arrival := range park.Arrivals {
		life := arrival.Replica + "/" + arrival.Boot
		if since, known := park.TerminationLearned[life]; known && arrival.Sent > since-recentSpan && arrival.Sent <= since+LeavingBound {
			isUsed[life] = true
		}
	}
	for life, since := range park.TerminationLearned {
		if !isUsed[life] {
			continue
		}
		for _, replica := range append(append([]*Replica{}, park.pastReplicas...), park.currentReplicas()...) {
			ended := park.Now()
			if replica.Gone > 0 {
				ended = replica.Gone
			}
			if replica.ID+"/"+replica.Boot == life && ended > since+LeavingBound+time.Second {
				judged++
			}
		}
	}
	return all, judged
}

// badVersion checks the damage that a failing model version does. The version counts as
// failing from its third failure on one kind of request; BadBound (five seconds) later it gets
// nothing. From the start of the rollout until a region routes all its traffic to the version,
// no kind of request in that region gives it more than SmallShare. Judged are the requests that
// the version got.
func badVersion(park *Cluster, facts Facts) (all []Violation, judged int) {
	if facts.Bad == "" {
		return nil, 0
	}
	failures := map[string]int{}
	failingSince := time.Duration(0)
	logs := park.Logs()
	var failed []*Served
	for _, served := range logs {
		if served.Version == facts.Bad && served.Failed {
			failed = append(failed, served)
		}
	}
	sort.SliceStable(failed, func(a, b int) bool { return failed[a].FailedAt < failed[b].FailedAt })
	for _, failure := range failed {
		if failures[failure.Kind]++; failures[failure.Kind] == 3 && failingSince == 0 {
			failingSince = failure.FailedAt
		}
	}
	type group struct{ region, kind string }
	toBad, total := map[group]int{}, map[group]int{}
	reported := map[group]bool{}
	for _, served := range logs {
		if served.At < facts.BadFrom {
			continue
		}
		region := Region(park.zones[served.Replica])
		key := group{region, served.Kind}
		total[key]++
		if served.Version != facts.Bad {
			continue
		}
		judged++
		if failingSince > 0 && served.At > failingSince+BadBound {
			all = append(all, Violation{"bad version", served.At, fmt.Sprintf("%s (%s) got %s from %s, which was known to fail since %v", served.ID, served.Kind, facts.Bad, served.Daemon, failingSince)})
		}
		if moved, has := facts.Moved[region]; has && served.At >= moved {
			continue
		}
		toBad[key]++
		// A request counts as demand when it is received, shortly before it reaches a replica.
		if facts.SmallShare > 0 && float64(toBad[key]) > facts.SmallShare*float64(total[key]+shareRounding) && !reported[key] {
			reported[key] = true
			all = append(all, Violation{"bad version", served.At, fmt.Sprintf("%s got %d of the first %d %s in %s", facts.Bad, toBad[key], total[key], served.Kind, region)})
		}
	}
	return all, judged
}

// shareRounding is how many requests of a kind may be in flight: already counted as demand
// but not yet at a replica.
const shareRounding = 10

// maxColdRejectedShare is the largest share of the requests sent to a cold replica that it may reject
// itself. A replica that bears less load than the settings say rejects some until the routing
// has learned its limit.
const maxColdRejectedShare = 0.25

// flooded checks that cold replicas are not overloaded, by the counts of the simulated
// replicas: requests taken beyond their capacity, and requests rejected. Judged are the
// requests taken while cold.
func flooded(park *Cluster, _ Facts) (all []Violation, judged int) {
	for _, replica := range append(append([]*Replica{}, park.pastReplicas...), park.currentReplicas()...) {
		judged += replica.ColdTaken
		if rejected := float64(replica.ColdRejections); rejected > 3 && rejected > maxColdRejectedShare*float64(replica.ColdTaken+replica.ColdRejections) {
			all = append(all, Violation{"flooded", 0, fmt.Sprintf("%s (%s) rejected %d requests while cold, and took %d", replica.ID, replica.Boot, replica.ColdRejections, replica.ColdTaken)})
		}
		if replica.ColdOverload > 0 {
			all = append(all, Violation{"flooded", 0, fmt.Sprintf("%s (%s) took %d requests beyond its capacity, peak %d", replica.ID, replica.Boot, replica.ColdOverload, replica.Peak)})
		}
	}
	return all, judged
}

// currentReplicas returns the current replicas in the order of their names.
func (park *Cluster) currentReplicas() (list []*Replica) {
	for _, name := range park.ids() {
		list = append(list, park.Replicas[name])
	}
	return list
}

// home checks that no node outside a request's home regions reads its body, proxies it, gets it
// or caches it. Judged are the bodies read and the requests sent that are bound to homes.
func home(park *Cluster, facts Facts) (all []Violation, judged int) {
	// Both the old and the new homes are allowed from the submission of a change until
	// OldConfigBound after its acknowledgement.
	within := func(tag, node string, at time.Duration) bool {
		for index := len(facts.Homes) - 1; index >= 0; index-- {
			homes := facts.Homes[index]
			if at < homes.From {
				continue
			}
			if slices.Contains(homes.Of[tag], Region(park.zones[node])) {
				return true
			}
			if at > homes.Since+OldConfigBound {
				return false
			}
		}
		return false
	}
	check := func(at time.Duration, action, id, tag, node string) {
		if tag == "" {
			return
		}
		judged++
		if !within(tag, node, at) {
			all = append(all, Violation{"home", at, fmt.Sprintf("%s (%s) %s %s", id, tag, action, node)})
		}
	}
	for _, entered := range park.Entered {
		check(entered.At, "was read at", entered.ID, entered.Home, entered.Daemon)
	}
	for _, arrival := range park.Arrivals {
		check(arrival.At, "was proxied by", arrival.ID, arrival.Home, arrival.Daemon)
		check(arrival.At, "was sent to", arrival.ID, arrival.Home, arrival.Replica)
	}
	for _, served := range park.Logs() {
		check(served.At, "was cached at", served.ID, served.Home, served.Replica)
	}
	return all, judged
}

// evacuated checks that more than EvacuatedBound after a zone's evacuation no daemon of the zone
// accepts a request, no replica there gets one, and no caller is sent there. Judged are the
// arrivals and replies while any zone was evacuated.
func evacuated(park *Cluster, facts Facts) (all []Violation, judged int) {
	isOut := func(zone string, at time.Duration) bool {
		for _, span := range facts.Evacuated {
			if span.Zone == zone && at > span.From+EvacuatedBound && (span.Until == 0 || at < span.Until) {
				return true
			}
		}
		return false
	}
	anyOut := func(at time.Duration) bool {
		for _, span := range facts.Evacuated {
			if isOut(span.Zone, at) {
				return true
			}
		}
		return false
	}
	check := func(at time.Duration, event, zone string) {
		if anyOut(at) {
			judged++
		}
		if isOut(zone, at) {
			all = append(all, Violation{"evacuated", at, event + " in the evacuated zone " + zone})
		}
	}
	for _, arrival := range park.Arrivals {
		check(arrival.Sent, arrival.ID+" reached "+arrival.Replica, park.zones[arrival.Replica])
		check(arrival.Sent, arrival.ID+" was proxied by "+arrival.Daemon, park.zones[arrival.Daemon])
	}
	for _, entered := range park.Entered {
		check(entered.At, entered.ID+" was accepted by "+entered.Daemon, park.zones[entered.Daemon])
	}
	for _, located := range park.LocateReplies {
		for _, zone := range located.Zones {
			check(located.At, located.By+" sent a caller to a daemon", zone)
		}
	}
	return all, judged
}

// retries checks the retry budget: requests that reach replicas repeatedly, whether the caller
// or the system retried, against new requests, in every window of ten seconds that ends with a
// repeat. A repeat may have waited in a queue since it was accepted, so new requests count from
// retryQueued before the window. One repeat per data daemon is allowed for rounding. Judged are
// the repeats.
func retries(park *Cluster, _ Facts) (all []Violation, judged int) {
	var reportedAt time.Duration
	eachRepeat(park, func(at time.Duration, count, fresh int) {
		judged++
		if float64(count) > RetryBound*float64(fresh)+float64(len(park.Plan.Datas)) && (reportedAt == 0 || at > reportedAt+retryWindow) {
			reportedAt = at
			all = append(all, Violation{"retries", at, fmt.Sprintf("%d repeats against %d new requests", count, fresh)})
		}
	})
	return all, judged
}

// retryWindow is the window over which repeats are counted, and retryQueued how long a repeat
// may have waited in a queue since it was accepted.
const (
	retryWindow = 10 * time.Second
	retryQueued = 1500 * time.Millisecond
)

// eachRepeat visits, for every repeat, the window that ends with it, with the number of repeats
// in the window and the number of new requests that they count against.
func eachRepeat(park *Cluster, visit func(at time.Duration, count, fresh int)) {
	fresh := append([]*Request{}, park.Requests...)
	sort.SliceStable(fresh, func(a, b int) bool { return fresh[a].At < fresh[b].At })
	repeated := repeats(park)
	begin := 0
	for index, at := range repeated {
		for repeated[begin] <= at-retryWindow {
			begin++
		}
		from := sort.Search(len(fresh), func(n int) bool { return fresh[n].At > at-retryWindow-retryQueued })
		until := sort.Search(len(fresh), func(n int) bool { return fresh[n].At > at })
		visit(at, index-begin+1, until-from)
	}
}

// repeats returns the times at which replicas got a request that had been sent before.
func repeats(park *Cluster) (repeated []time.Duration) {
	first := map[string]bool{}
	arrivals := append([]Arrival{}, park.Arrivals...)
	sort.SliceStable(arrivals, func(a, b int) bool { return arrivals[a].At < arrivals[b].At })
	for _, arrival := range arrivals {
		if arrival.Try > 1 || first[arrival.ID] {
			repeated = append(repeated, arrival.At)
		}
		first[arrival.ID] = true
	}
	return repeated
}

// Rate counts the requests that ended with a complete answer within a period, and those that started
// in it.
func Rate(park *Cluster, from, until time.Duration) (answered, asked int) {
	for _, request := range park.Requests {
		if request.End >= from && request.End < until && request.Verdict == "ok" {
			answered++
		}
		if request.At >= from && request.At < until {
			asked++
		}
	}
	return answered, asked
}
