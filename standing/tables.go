// Package standing decides, as a pure function over tables, which replica may
// get which request, how many credits each data daemon may spend there, and
// what one region lends to another.
package standing

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"swifttiller/settings"
	"swifttiller/tenant"
)

// Outcome counts what became of requests of one kind at one replica and version.
type Outcome struct {
	Replica, Model, Version, Kind string
	// Boot is the replica's life that it happened in.
	Boot string
	// OK ended whole; Mishaps ran and failed; Unreached never got an answer to
	// the dispatch at all. Late are those whose first piece came, or is still to
	// come, far later than a user waits; the whole ones of them are OK too.
	OK, Mishaps, Unreached, Late int
	// Slow are those OK ones whose first piece took SlowUsual times what is usual for
	// the kind or more, whether or not a user minds.
	Slow int
	// Full are those that the replica turned away, as it had enough to do.
	Full int
	// Least is the shortest time to the first piece of the OK ones.
	Least time.Duration
}

// Key is the outcome without its counts.
func (outcome Outcome) Key() Outcome {
	return Outcome{Replica: outcome.Replica, Model: outcome.Model, Version: outcome.Version, Kind: outcome.Kind, Boot: outcome.Boot}
}

// Wrong are the outcomes of a list that have mishaps or late ones.
func Wrong(outcomes []Outcome) (failed []Outcome) {
	for _, outcome := range outcomes {
		if outcome.Mishaps+outcome.Unreached+outcome.Late > 0 {
			failed = append(failed, outcome)
		}
	}
	return failed
}

// Window is how far back the recent outcomes of a report reach.
const Window = 6 * time.Second

// Add sums two counts of the same thing.
func (outcome *Outcome) Add(other Outcome) {
	outcome.OK += other.OK
	outcome.Mishaps += other.Mishaps
	outcome.Unreached += other.Unreached
	outcome.Late += other.Late
	outcome.Slow += other.Slow
	outcome.Full += other.Full
	if other.Least > 0 && (outcome.Least == 0 || other.Least < outcome.Least) {
		outcome.Least = other.Least
	}
}

// Report is what a data daemon tells with each beat of its session.
type Report struct {
	Config   uint64            // the configuration that it applies
	Standing map[string]uint64 // by region: the standing that it applies
	Permit   time.Duration     // how long its permit still stands
	// Demand and Overflow are in cost units, by model: what it holds and what
	// it could not place in its own region.
	Demand, Overflow map[string]float64
	// InFlight is what it has running, in cost units, by replica.
	InFlight map[string]int
	// Streams are those running by replica, model and version.
	Streams map[Held]int
	// Recent covers the last few seconds; Total everything since its start, with
	// the region in the replica's place.
	Recent, Total []Outcome
	// Near are recent outcomes that its own region needs to hear of most, of models that
	// no run is about and whose credits nobody deals. Elsewhere the wrong ones are heard of.
	Near []Outcome
	// Failed are the versions on trial or watched that plainly fail by its own counts.
	Failed []Held
	// Retries and Allowed count what the retry budget saw and let pass.
	Demanded, Retries, Allowed uint64
	Declined                   map[string]uint64
	Queue                      int
	// Tenants are the heavy tenants of the last window, in the first report after it; of
	// a control daemon, those of all data daemons that it hears first hand.
	Tenants *tenant.Told
}

// Held names a version on a replica.
type Held struct{ Replica, Model, Version string }

// MarshalText makes it a key in JSON.
func (held Held) MarshalText() ([]byte, error) {
	return []byte(held.Replica + "|" + held.Model + "|" + held.Version), nil
}

// UnmarshalText reads such a key.
func (held *Held) UnmarshalText(text []byte) error {
	parts := strings.SplitN(string(text), "|", 3)
	if len(parts) != 3 {
		return fmt.Errorf("%q is no replica|model|version", text)
	}
	held.Replica, held.Model, held.Version = parts[0], parts[1], parts[2]
	return nil
}

// Daemon is a data daemon as the standing sees it.
type Daemon struct {
	Name, Zone, Region string
	Report             Report
}

// States of a version on a replica, as its probes tell.
const (
	Loading = "loading"
	Ready   = "ready"
	Standby = "standby"
)

// Replica is a row of the table of replicas: what the platform lists and what
// probes have shown.
type Replica struct {
	ID, Address, Zone, Region string
	// Leaving is true from the first word of it and stays so.
	Leaving bool
	// Alive is false once probes have gone unanswered for dark_ms.
	Alive bool
	// Boot changes when the replica starts anew, and makes it cold.
	Boot string
	// Held is the state of each model/version.
	Held map[string]string
	// Load is what the replica says of itself, in shares; below zero when it
	// says nothing.
	Load float64
	// Cold is what list and probes tell of a replica whose model has an engine.
	Cold bool
}

// Route is where a model's traffic goes in a region.
//
// Invariant: only the model's serializer writes it; Serial is the region's
// serial of the write.
type Route struct {
	Version, Previous string
	Trial             string
	TrialReplicas     []string
	Serial            uint64
	Run               string // the run that may write it next
	// Banned versions failed a trial or a watch here; automatic roll-outs pass
	// them over until a promote.
	Banned []string
	Moved  time.Time
	// Watched since the move until the run's watch is over: the version that was
	// left stands by.
	Watched bool
	// Left are, where a placement holds any version, those that a roll-out has moved
	// away from. They get nothing until no replica of theirs is listed any more.
	Left []string
}

// Bears tells whether the version is banned here.
func (route Route) Bears(version string) bool {
	for _, banned := range route.Banned {
		if banned == version {
			return true
		}
	}
	return false
}

// Row says that a replica may get requests of a model at a version.
type Row struct {
	Replica, Model, Version string
	Trial                   bool
	// Back rows are of the version that was left, to go back to at once should the
	// one that is watched plainly fail.
	Back bool
	// Deny are kinds that this row must not get.
	Deny []string
}

// Place is a replica of the standing, with its credits.
//
// Invariants: the sum of Credits is never above Capacity; the sum over all
// daemons of what may be in force (the greater of Credits and InForce) grows
// above Capacity only when Capacity itself shrank, and then gets no greater.
type Place struct {
	ID, Address, Zone, Region, Boot string
	Capacity                        int
	Whole                           int // what it bears when warm
	Warm                            float64
	// Pace is how fast it warms against what the settings say, as it has shown by
	// turning requests away; 0 is as they say.
	Pace    float64
	Credits map[string]int
	// Slot is the number that the replica has among its region's: its own as long as it
	// is listed, then the next newcomer's. What goes by it moves no more than it must.
	Slot int
	// InForce are older credits that their holders may still act on.
	InForce map[string]int
	Slow    bool
}

// Standing is a region's rows and credits.
type Standing struct {
	Region string
	Serial uint64 // of the register that holds it
	Duty   uint64 // serial of the duty that wrote it
	// Daemons is how many data daemons there are that may send here. One that is not
	// heard of counts for a while, as what it may send can't be known.
	Daemons int
	// Failed are the versions on trial or watched that some data daemon found to fail
	// plainly: the others need not find out for themselves, least of all anew, after a
	// time without permits in which their own counts have faded.
	Failed []Held
	Rows   []Row
	Places []Place
	// Warmth remembers replicas that get nothing now, by id and boot, so that
	// one that was only out of sight does not count as cold.
	Warmth map[string]float64
	// Reserved are the slots of listed replicas that get nothing now, by id.
	Reserved map[string]int
}

// Shown lists the replicas in the standing, for logs; cold ones are marked.
func (table Standing) Shown() (names []string) {
	for _, endpoint := range table.Places {
		name := endpoint.ID
		if endpoint.Warm < 1 {
			name += " (cold)"
		}
		names = append(names, name)
	}
	return names
}

// Input is everything that a standing is made of.
type Input struct {
	Region    string
	Tree      *settings.Tree
	Duty      uint64
	Evacuated map[string]bool
	Replicas  []Replica
	Daemons   []Daemon
	// Gone tells for how long a daemon has had no session.
	Gone   map[string]time.Duration
	Routes map[string]Route // by model, this region's
	Before *Standing
	// Since is the time since Before was computed.
	Since time.Duration
}

// Compute makes the region's next standing.
func Compute(input Input) Standing {
	out := Standing{Region: input.Region, Duty: input.Duty, Daemons: len(input.Daemons)}
	if input.Before != nil && input.Since < daemonGrace {
		out.Daemons = max(out.Daemons, input.Before.Daemons)
	}
	replicas := append([]Replica{}, input.Replicas...)
	sort.Slice(replicas, func(a, b int) bool { return replicas[a].ID < replicas[b].ID })
	recent := Gather(input.Daemons)
	slow := slowReplicas(replicas, recent)
	out.Rows = buildRows(input, replicas, recent)
	routed := map[string]bool{}
	for _, row := range out.Rows {
		routed[row.Replica] = true
	}
	warmth, paces := previousWarmth(input.Before)
	for _, replica := range replicas {
		key := replica.ID + "/" + replica.Boot
		if routed[replica.ID] {
			out.Places = append(out.Places, newEndpoint(input, replica, recent, slow[replica.ID], warmth[key], paces[key]))
		} else if warm := warmth[key]; warm > 0 {
			if out.Warmth == nil {
				out.Warmth = map[string]float64{}
			}
			out.Warmth[key] = warm
		}
	}
	out.Failed = failedVersions(input)
	assignSlots(input, replicas, &out)
	allocateCredits(input, &out)
	return out
}

// failedVersions lists what data daemons found of the versions that are on trial or watched.
func failedVersions(input Input) (out []Held) {
	for _, daemon := range input.Daemons {
		for _, held := range daemon.Report.Failed {
			route := input.Routes[held.Model]
			isCurrent := route.Trial == held.Version || route.Watched && route.Version == held.Version
			if isCurrent && !slices.Contains(out, held) {
				out = append(out, held)
			}
		}
	}
	slices.SortFunc(out, func(a, b Held) int { return strings.Compare(a.Model+"|"+a.Version, b.Model+"|"+b.Version) })
	return out
}

// assignSlots gives every place its slot: the one it had, or the lowest that is free.
//
// Invariant: no two places have the same slot, and none has one that is reserved.
func assignSlots(input Input, replicas []Replica, out *Standing) {
	previous := map[string]int{}
	if input.Before != nil {
		for id, slot := range input.Before.Reserved {
			previous[id] = slot
		}
		for _, endpoint := range input.Before.Places {
			previous[endpoint.ID] = endpoint.Slot
		}
	}
	isTaken := map[int]bool{}
	isRouted := map[string]bool{}
	var newcomers []int
	for index := range out.Places {
		endpoint := &out.Places[index]
		isRouted[endpoint.ID] = true
		if slot, known := previous[endpoint.ID]; known && !isTaken[slot] {
			endpoint.Slot, isTaken[slot] = slot, true
		} else {
			newcomers = append(newcomers, index)
		}
	}
	for _, replica := range replicas {
		if slot, known := previous[replica.ID]; known && !isRouted[replica.ID] && !replica.Leaving && !isTaken[slot] {
			if out.Reserved == nil {
				out.Reserved = map[string]int{}
			}
			out.Reserved[replica.ID], isTaken[slot] = slot, true
		}
	}
	slot := 0
	for _, index := range newcomers {
		for isTaken[slot] {
			slot++
		}
		out.Places[index].Slot, isTaken[slot] = slot, true
	}
}

// daemonGrace is for how long data daemons count that are not heard of any more.
const daemonGrace = 15 * time.Second

// Gather sums the daemons' recent outcomes.
func Gather(daemons []Daemon) map[Outcome]Outcome {
	sums := map[Outcome]Outcome{}
	for _, daemon := range daemons {
		for _, outcomes := range [][]Outcome{daemon.Report.Recent, daemon.Report.Near} {
			for _, outcome := range outcomes {
				key := outcome.Key()
				sum := sums[key]
				sum.Add(outcome)
				sums[key] = sum
			}
		}
	}
	return sums
}

// FailsClearly tells whether a version's mishaps are plain against another's: a few
// of them, a fair share, and well above what the other shows.
func FailsClearly(judged, baseline Outcome) bool {
	return judged.Mishaps >= PlainMishaps && exceedsFailureShare(judged, baseline)
}

// Doubtful tells whether a version's few outcomes look like plain mishaps.
func Doubtful(judged, baseline Outcome) bool {
	return judged.lateAsFailed().Mishaps > 0 && exceedsFailureShare(judged.lateAsFailed(), baseline.lateAsFailed())
}

func exceedsFailureShare(judged, baseline Outcome) bool {
	share := float64(judged.Mishaps) / float64(judged.Mishaps+judged.OK)
	baselineShare := 0.0
	if total := baseline.Mishaps + baseline.OK; total >= PlainMishaps {
		baselineShare = float64(baseline.Mishaps) / float64(total)
	}
	return share > max(MinFailureShare, 2*baselineShare)
}

// PlainVersion is Plain for a version's outcomes, where one that keeps its users
// waiting fails them. A replica that does is slow, and bears less.
func PlainVersion(judged, baseline Outcome) bool {
	return FailsClearly(judged.lateAsFailed(), baseline.lateAsFailed())
}

// lateAsFailed counts the late ones as mishaps.
func (outcome Outcome) lateAsFailed() Outcome {
	total := outcome.OK + outcome.Mishaps
	outcome.Mishaps += outcome.Late
	outcome.OK = max(0, total-outcome.Mishaps)
	return outcome
}

// PlainMishaps and PlainShare: a failure is plain from so many mishaps on, at
// such a share.
const (
	PlainMishaps    = 3
	MinFailureShare = 0.15
)

// buildRows lists what each replica may get.
func buildRows(input Input, replicas []Replica, recent map[Outcome]Outcome) (rows []Row) {
	models := input.Tree.Models(input.Region)
	for _, model := range models {
		route := input.Routes[model]
		if placement, _ := input.Tree.Placement(model, input.Region); placement.Any() {
			rows = append(rows, buildAnyVersionRows(input, model, route, replicas, recent)...)
			continue
		}
		isTrialActive := route.Trial != "" && !TrialFails(model, route, recent)
		for _, replica := range replicas {
			if !replica.Alive || replica.Leaving || input.Evacuated[replica.Zone] || !input.isEligible(model, replica) {
				continue
			}
			add := func(version string, isTrial, isFallback bool) {
				if version == "" || replica.Held[model+"/"+version] != Ready {
					return
				}
				rows = append(rows, Row{Replica: replica.ID, Model: model, Version: version, Trial: isTrial, Back: isFallback, Deny: deniedKinds(replica.ID, model, version, recent)})
			}
			add(route.Version, false, false)
			if route.Watched && !route.Bears(route.Previous) {
				add(route.Previous, false, true)
			}
			if isTrialActive && slices.Contains(route.TrialReplicas, replica.ID) {
				add(route.Trial, true, false)
			}
		}
	}
	return rows
}

// isDrained tells whether a replica has no rows as its zone is evacuated. Data daemons know that
// by the configuration itself; where they pace cold ones by themselves, and no roll-out
// is under way, a replica stays as a cold one, so that the zone that is handed back serves
// at once, whether or not a new standing can be written just then.
func (input Input) isDrained(model string, route Route, replica Replica) bool {
	isCalm := route.Trial == "" && !route.Watched && len(route.Left) == 0
	return input.Evacuated[replica.Zone] && (!isCalm || input.Tree.Engine(model) == nil)
}

// isEligible tells whether the replica stands in a zone of the region that the model is
// placed in; the group that holds it may be one zone of several.
func (input Input) isEligible(model string, replica Replica) bool {
	if region, known := input.Tree.RegionOf(replica.Zone); !known || region != input.Region {
		return false
	}
	_, placed := input.Tree.Placement(model, replica.Zone)
	return placed
}

// Versions are those of the model that the replica has ready, in order.
func (replica Replica) Versions(model string) (versions []string) {
	for name, state := range replica.Held {
		if version, isModel := strings.CutPrefix(name, model+"/"); isModel && state == Ready {
			versions = append(versions, version)
		}
	}
	sort.Strings(versions)
	return versions
}

// buildAnyVersionRows lists what each replica may get of a model whose placement holds any
// version: all versions as equals, but for what a roll-out says of them. The one on
// trial has trial rows; while the move is watched, those that were left stand by; one
// that failed, or was left for good, has none.
//
// A version on trial is served as any other where no replica of another is listed in
// the region: there is nothing to shift traffic from.
func buildAnyVersionRows(input Input, model string, route Route, replicas []Replica, recent map[Outcome]Outcome) (rows []Row) {
	hasOthers := false // whether there are versions beside the one on trial
	for _, replica := range replicas {
		if replica.Leaving || !input.isEligible(model, replica) {
			continue
		}
		for _, version := range replica.Versions(model) {
			hasOthers = hasOthers || version != route.Trial && !route.Bears(version) && !slices.Contains(route.Left, version)
		}
	}
	isTrialActive := !TrialFails(model, Route{Version: settings.AnyVersion, Trial: route.Trial}, recent)
	for _, replica := range replicas {
		if !replica.Alive || replica.Leaving || input.isDrained(model, route, replica) || !input.isEligible(model, replica) {
			continue
		}
		for _, version := range replica.Versions(model) {
			row := Row{Replica: replica.ID, Model: model, Version: version}
			switch isLeft := slices.Contains(route.Left, version) || route.Watched && version != route.Version; {
			case route.Bears(version), isLeft && !route.Watched, version == route.Trial && !isTrialActive:
				continue
			case isLeft:
				row.Back = true
			case version == route.Trial:
				row.Trial = hasOthers
			}
			row.Deny = deniedKinds(replica.ID, model, version, recent)
			rows = append(rows, row)
		}
	}
	return rows
}

// SlowUsual is from how many times the usual time to the first piece on an answer
// counts as slow; SlowAnswers and SlowShare say from how many of them on, and at which
// share, a version is slower than the others.
const (
	SlowUsual      = 2.5
	MinSlowAnswers = 5
	MinSlowShare   = 0.2
)

// Slower tells whether a version's answers come plainly slower than the others',
// though each may come in time.
func Slower(judged, baseline Outcome) bool {
	if judged.Slow < MinSlowAnswers || judged.OK == 0 || baseline.OK < 4*MinSlowAnswers {
		return false
	}
	baselineShare := float64(baseline.Slow) / float64(baseline.OK)
	return float64(judged.Slow)/float64(judged.OK) > max(MinSlowShare, 3*baselineShare)
}

// Worse tells whether a version's mishaps are more than chance and the others' share
// of them explain, however small their own share: what a version is judged by before
// all traffic goes to it. One in a hundred is held against nobody.
func Worse(judged, baseline Outcome) bool { return failsMore(judged, baseline, PlainMishaps) }

// Suspect is Worse for what was tried so seldom that it could not show more.
func Suspect(judged, baseline Outcome) bool { return failsMore(judged, baseline, PlainMishaps-1) }

func failsMore(judged, baseline Outcome, minFailures int) bool {
	judged, baseline = judged.lateAsFailed(), baseline.lateAsFailed()
	mean := expectedFailures(judged, baseline)
	return judged.Mishaps >= minFailures && float64(judged.Mishaps) > mean+3*math.Sqrt(mean)
}

// Unclear tells whether a version had mishaps, which the others' share of them does not
// explain, though they are too few to be held against it.
func Unclear(judged, baseline Outcome) bool {
	judged, baseline = judged.lateAsFailed(), baseline.lateAsFailed()
	return float64(judged.Mishaps) > expectedFailures(judged, baseline)
}

// expectedFailures is how many mishaps a version would have by the others' share of them.
func expectedFailures(judged, baseline Outcome) float64 {
	share := 0.01
	if total := baseline.OK + baseline.Mishaps; total >= 4*MinSlowAnswers {
		share = max(share, 1.5*float64(baseline.Mishaps)/float64(total))
	}
	return share * float64(judged.OK+judged.Mishaps)
}

// TrialFails tells whether a trial version's failures are plain on any kind, against
// those of the route's version; against all other versions where that is AnyVersion.
func TrialFails(model string, route Route, recent map[Outcome]Outcome) bool {
	sums := map[[2]string]Outcome{}
	for key, outcome := range recent {
		if key.Model == model {
			versionKind := [2]string{key.Version, key.Kind}
			sum := sums[versionKind]
			sum.Add(outcome)
			sums[versionKind] = sum
		}
	}
	if route.Version == settings.AnyVersion {
		others := map[string]Outcome{}
		for versionKind, outcome := range sums {
			if versionKind[0] != route.Trial {
				sum := others[versionKind[1]]
				sum.Add(outcome)
				others[versionKind[1]] = sum
			}
		}
		for versionKind, judged := range sums {
			if versionKind[0] == route.Trial && (PlainVersion(judged, others[versionKind[1]]) || Slower(judged, others[versionKind[1]])) {
				return true
			}
		}
		return false
	}
	for versionKind, judged := range sums {
		if versionKind[0] == route.Trial && PlainVersion(judged, sums[[2]string{route.Version, versionKind[1]}]) {
			return true
		}
	}
	return false
}

// deniedKinds lists the kinds that this replica alone fails at.
func deniedKinds(replica, model, version string, recent map[Outcome]Outcome) (kinds []string) {
	own, others := map[string]Outcome{}, map[string]Outcome{}
	for key, outcome := range recent {
		if key.Model != model || key.Version != version {
			continue
		}
		table := others
		if key.Replica == replica {
			table = own
		}
		sum := table[key.Kind]
		sum.Add(outcome)
		table[key.Kind] = sum
	}
	for kind, outcome := range own {
		// Alone: the others answer this kind. Where all fail it is the version's
		// fault, or the kind's, and denying replicas would only make it dark.
		if FailsClearly(outcome, others[kind]) && others[kind].OK > 0 {
			kinds = append(kinds, kind)
		}
	}
	sort.Strings(kinds)
	return kinds
}

// fullBackoff is by which part of its warmth a replica that turned a request away is
// taken back, spread over the window that counts it.
const (
	fullBackoff = 0.3
	minPace     = 0.02
)

// minLatencySamples is how many answers of a kind it takes to judge a replica's pace.
const minLatencySamples = 5

// slowReplicas finds replicas whose quickest first pieces come far later than their
// neighbours' of the same model and kind. The quickest, as a mean tells more of
// how many prompts were new to a replica than of how fast it is. When a whole
// region slows, the median moves along and nobody is blamed.
func slowReplicas(replicas []Replica, recent map[Outcome]Outcome) map[string]bool {
	type group struct{ model, kind string }
	fastest := map[group]map[string]float64{}
	for key, outcome := range recent {
		if outcome.OK < minLatencySamples {
			continue
		}
		groupKey := group{key.Model, key.Kind}
		if fastest[groupKey] == nil {
			fastest[groupKey] = map[string]float64{}
		}
		fastest[groupKey][key.Replica] = max(fastest[groupKey][key.Replica], float64(outcome.Least))
	}
	slow := map[string]bool{}
	for _, table := range fastest {
		if len(table) < 3 {
			continue
		}
		var sorted []float64
		for _, least := range table {
			sorted = append(sorted, least)
		}
		sort.Float64s(sorted)
		median := sorted[(len(sorted)-1)/2]
		for _, replica := range replicas {
			if least, isMeasured := table[replica.ID]; isMeasured && least > 4*median && least > float64(200*time.Millisecond) {
				slow[replica.ID] = true
			}
		}
	}
	return slow
}

// previousWarmth is how warm each replica was, and at which pace it warms, by id and
// boot.
func previousWarmth(previous *Standing) (warmth, paces map[string]float64) {
	warmth, paces = map[string]float64{}, map[string]float64{}
	if previous != nil {
		for key, warm := range previous.Warmth {
			warmth[key] = warm
		}
		for _, endpoint := range previous.Places {
			warmth[endpoint.ID+"/"+endpoint.Boot] = endpoint.Warm
			paces[endpoint.ID+"/"+endpoint.Boot] = endpoint.Pace
		}
	}
	return warmth, paces
}

// hasEngine tells whether the replica holds a model with an engine. Data daemons pace
// what they send to such a one by themselves: there are no credits for it.
func hasEngine(input Input, replica Replica) bool {
	for held := range replica.Held {
		model, _, _ := strings.Cut(held, "/")
		if input.Tree.Engine(model) != nil {
			return true
		}
	}
	return false
}

// newEndpoint says what a replica may bear now; before is how warm it was, and pace at
// which pace it warms.
func newEndpoint(input Input, replica Replica, recent map[Outcome]Outcome, slow bool, warmth, pace float64) Place {
	fullCapacity := 0
	for _, model := range input.Tree.Models(replica.Zone) {
		if placement, placed := input.Tree.Placement(model, replica.Zone); placed {
			fullCapacity = max(fullCapacity, placement.Capacity)
		}
	}
	coldShare := input.Tree.Limit("cold_share", replica.Zone)
	out := Place{ID: replica.ID, Address: replica.Address, Zone: replica.Zone, Region: replica.Region, Boot: replica.Boot, Whole: fullCapacity, Warm: coldShare, Credits: map[string]int{}, InForce: map[string]int{}, Slow: slow}
	if warmth > 0 {
		out.Warm = max(warmth, coldShare)
		answers, full := 0, 0
		for key, outcome := range recent {
			if key.Replica == replica.ID && key.Boot == replica.Boot {
				answers += outcome.OK
				full += outcome.Full
			}
		}
		// Only a replica that answers gets warmer: by its answers, as their rate
		// shows them, and no faster than warm_ms.
		step := float64(answers) * float64(input.Since) / float64(Window) / input.Tree.Limit("warm_answers", replica.Zone)
		if warm := input.Tree.Span("warm_ms", replica.Zone); warm > 0 {
			step = min(step, float64(input.Since)/float64(warm))
		}
		out.Pace = 1
		if pace > 0 {
			out.Pace = pace
		}
		step *= out.Pace
		if full > 0 && warmth < 1 {
			// It says that it has enough: the settings take it for warmer than it
			// is. Back by a part for each time, no further until it is quiet, and
			// more slowly from then on.
			part := min(0.5, fullBackoff*float64(full)*float64(input.Since)/float64(Window))
			step = -out.Warm * part
			out.Pace = max(minPace, (1-part)*out.Pace)
		}
		out.Warm = max(coldShare, min(1, out.Warm+(1-coldShare)*step))
	}
	if hasEngine(input, replica) {
		out.Warm, out.Pace, out.Capacity, out.Slow = 1, 0, fullCapacity, false // data daemons see for themselves
		if replica.Cold || input.Evacuated[replica.Zone] {
			out.Warm = coldShare
		}
		return out
	}
	share := out.Warm
	if slow {
		share /= 2
	}
	out.Capacity = max(1, int(float64(fullCapacity)*share))
	return out
}
