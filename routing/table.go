// Package routing computes a region's routing table as a pure function of its inputs:
// which replica may receive which requests, how many credits each data daemon may spend
// there, and how much capacity the region lends to other regions.
package routing

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

// Outcome counts the results of requests of one kind at one replica and version.
type Outcome struct {
	Replica, Model, Version, Kind string
	// Boot identifies the replica's process, which changes when the replica restarts.
	Boot string
	// OK counts requests that completed. Mishaps counts those that were sent and
	// failed. Unreached counts attempts that got no response at all. Late counts requests
	// whose first token arrived, or is still due, far later than users wait; those of them
	// that completed are in OK too.
	OK, Mishaps, Unreached, Late int
	// Slow counts the requests in OK whose time to first token was at least SlowFactor times
	// what is usual for the kind, whether or not a user would notice.
	Slow int
	// Full counts requests that the replica rejected because it was at capacity.
	Full int
	// Least is the shortest time to first token among the requests in OK.
	Least time.Duration
}

// Key returns the outcome without its counts, for use as a map key.
func (outcome Outcome) Key() Outcome {
	return Outcome{Replica: outcome.Replica, Model: outcome.Model, Version: outcome.Version, Kind: outcome.Kind, Boot: outcome.Boot}
}

// WithFailures returns the outcomes that have failed, unreached or late requests.
func WithFailures(outcomes []Outcome) (failed []Outcome) {
	for _, outcome := range outcomes {
		if outcome.Mishaps+outcome.Unreached+outcome.Late > 0 {
			failed = append(failed, outcome)
		}
	}
	return failed
}

// RecentWindow is the age up to which outcomes are part of a report's Recent.
const RecentWindow = 6 * time.Second

// Add adds the counts of another outcome that has the same key.
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

// Report is what a data daemon sends with each heartbeat of its session.
type Report struct {
	Config   uint64            // version of the applied configuration
	Standing map[string]uint64 // by region: version of the applied routing table
	Permit   time.Duration     // time left of its lease
	// Demand is the cost of the requests that the daemon has, by model, and Overflow the
	// part that it could not place in its own region. Both are in cost units.
	Demand, Overflow map[string]float64
	// InFlight is the cost of its running requests, in cost units, by replica.
	InFlight map[string]int
	// Streams counts the running streams by replica, model and version.
	Streams map[ReplicaVersion]int
	// Recent covers the last few seconds (see RecentWindow). Total covers the time since the
	// daemon started, with the region in place of the replica.
	Recent, Total []Outcome
	// Near lists recent outcomes of models that have no rollout in progress and no credits.
	// The daemon's own region needs all of them; other regions receive only those with
	// failures.
	Near []Outcome
	// Failed lists versions on trial or under watch that clearly fail by the daemon's own
	// counts.
	Failed []ReplicaVersion
	// Moved lists the versions of timed rollouts to which all of the daemon's requests go for good.
	Moved []ReplicaVersion
	// Demanded, Retries and Allowed count the demanded requests, the retries, and the
	// retries that the retry budget let through.
	Demanded, Retries, Allowed uint64
	Declined                   map[string]uint64
	Queue                      int
	// Tenants holds the heaviest tenants of the last window, in the first report after that
	// window. In a control daemon's report they are those of all data daemons that send it
	// heartbeats directly.
	Tenants *tenant.WindowReport
}

// ReplicaVersion identifies a version of a model on a replica.
type ReplicaVersion struct{ Replica, Model, Version string }

// MarshalText encodes the ReplicaVersion as "replica|model|version", so that it can be a key in JSON.
func (held ReplicaVersion) MarshalText() ([]byte, error) {
	return []byte(held.Replica + "|" + held.Model + "|" + held.Version), nil
}

// UnmarshalText decodes the text made by MarshalText.
func (held *ReplicaVersion) UnmarshalText(text []byte) error {
	parts := strings.SplitN(string(text), "|", 3)
	if len(parts) != 3 {
		return fmt.Errorf("%q does not have the form replica|model|version", text)
	}
	held.Replica, held.Model, held.Version = parts[0], parts[1], parts[2]
	return nil
}

// Daemon is a data daemon and its last report, as input to the computation.
type Daemon struct {
	Name, Zone, Region string
	Report             Report
}

// States of a version on a replica, as reported by health probes.
const (
	Loading = "loading"
	Ready   = "ready"
	Standby = "standby"
)

// Replica is what the platform's listing and the health probes say about a replica.
type Replica struct {
	ID, Address, Zone, Region string
	// Leaving is set by the first notice that the replica will shut down, and is never
	// reset.
	Leaving bool
	// Alive is false once probes have gone unanswered for dark_ms.
	Alive bool
	// Boot changes when the replica restarts. A restarted replica counts as cold.
	Boot string
	// Held is the state of each version, by "model/version".
	Held map[string]string
	// Load is the utilization that the replica reports, as a share. It is negative if the
	// replica reports none.
	Load float64
	// Cold reports whether listing or probes show a replica as cold. It is used only for
	// replicas whose model has an engine.
	Cold bool
}

// Route says which version of a model gets the traffic in a region.
//
// Invariant: only the rollout of the model writes it. Serial is the revision of the
// region's register at that write.
type Route struct {
	Version, Previous string
	Trial             string
	TrialReplicas     []string
	Serial            uint64
	Run               string // the rollout run that may write it next
	// Banned versions failed a trial or a watch in this region. Automatic rollouts skip
	// them until an operator promotes them.
	Banned []string
	Moved  time.Time
	// Watched is set from the switch to Version until the run has finished watching it.
	// During that time the previous version is kept as a fallback.
	Watched bool
	// Handover describes the timed roll-out in progress, if any, without its elapsed time.
	Handover *Handover `json:",omitempty"`
	// Left lists versions that a rollout has moved away from, for placements that accept
	// any version. They get no requests until no replica of theirs is listed any more.
	Left []string
}

// IsBanned reports whether the version is banned in this region.
func (route Route) IsBanned(version string) bool {
	for _, banned := range route.Banned {
		if banned == version {
			return true
		}
	}
	return false
}

// Row allows a replica to receive requests of one model at one version.
type Row struct {
	Replica, Model, Version string
	Trial                   bool
	// Back marks rows of the previous version, which takes over at once if the version
	// under watch clearly fails.
	Back bool
	// Deny lists the kinds of requests that must not use this row.
	Deny []string
}

// Endpoint is an endpoint of the routing table: a replica with its capacity and its credits.
//
// Invariants: the sum of Credits never exceeds Capacity. The sum over all daemons of the
// greater of Credits and InForce exceeds Capacity only after Capacity itself has shrunk,
// and then it doesn't grow.
type Endpoint struct {
	ID, Address, Zone, Region, Boot string
	Capacity                        int
	Whole                           int // its capacity when warm
	Warm                            float64
	// Pace is the speed at which the replica warms up, relative to the settings. It falls
	// when the replica rejects requests as full. 0 means the speed of the settings.
	Pace    float64
	Credits map[string]int
	// Slot is the replica's number within its region. The replica keeps it as long as it is
	// listed; then the next new replica gets it. Choices that depend on slots thus change
	// as little as possible when replicas come and go.
	Slot int
	// InForce holds, by daemon, earlier credits that the daemon may still act on.
	InForce map[string]int
	Slow    bool
}

// Table is a region's routing table.
type Table struct {
	Region string
	Serial uint64 // revision of the register that stores the table
	Duty   uint64 // term of the leader that wrote the table
	// Daemons is the number of data daemons that may send requests to the region. A daemon
	// without a session is counted for some time longer, because it may still be sending.
	Daemons int
	// Failed lists the versions on trial or under watch that some data daemon found to
	// clearly fail. The other daemons then need not gather failures of their own, in
	// particular not after a time without a lease, in which their own counts have expired.
	Failed []ReplicaVersion
	Rows   []Row
	Places []Endpoint
	// Handovers are the timed roll-outs in progress, by model.
	Handovers map[string]Handover `json:",omitempty"`
	// Warmth keeps the warmth of replicas that have no rows at present, by ID and boot, so
	// that a replica that was only unreachable for a while does not count as cold.
	Warmth map[string]float64
	// Reserved holds the slots of listed replicas that have no rows at present, by ID.
	Reserved map[string]int
}

// ReplicaNames returns the names of the replicas in the table for log messages, with cold ones
// marked.
func (table Table) ReplicaNames() (names []string) {
	for _, endpoint := range table.Places {
		name := endpoint.ID
		if endpoint.Warm < 1 {
			name += " (cold)"
		}
		names = append(names, name)
	}
	return names
}

// Input is everything that a routing table is computed from.
type Input struct {
	Region    string
	Tree      *settings.Tree
	Term      uint64
	Evacuated map[string]bool
	Replicas  []Replica
	Daemons   []Daemon
	// AbsentFor is the time for which a daemon has had no session.
	AbsentFor map[string]time.Duration
	Routes    map[string]Route // of this region, by model
	// Elapsed is, by model, how much of the duration of its timed roll-out has passed.
	Elapsed  map[string]time.Duration
	Previous *Table
	// Since is the time since Previous was computed.
	Since time.Duration
}

// Compute returns the region's next routing table.
func Compute(input Input) Table {
	out := Table{Region: input.Region, Duty: input.Term, Daemons: len(input.Daemons)}
	if input.Previous != nil && input.Since < daemonGrace {
		out.Daemons = max(out.Daemons, input.Previous.Daemons)
	}
	replicas := append([]Replica{}, input.Replicas...)
	sort.Slice(replicas, func(a, b int) bool { return replicas[a].ID < replicas[b].ID })
	recent := SumOutcomes(input.Daemons)
	slow := slowReplicas(replicas, recent)
	out.Rows = buildRows(input, replicas, recent)
	routed := map[string]bool{}
	for _, row := range out.Rows {
		routed[row.Replica] = true
	}
	warmth, paces := previousWarmth(input.Previous)
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
	out.Failed, out.Handovers = failedVersions(input), input.handovers()
	assignSlots(input, replicas, &out)
	allocateCredits(input, &out)
	return out
}

// failedVersions returns the versions on trial or under watch that any data daemon reports
// as failing, without duplicates.
func failedVersions(input Input) (out []ReplicaVersion) {
	for _, daemon := range input.Daemons {
		for _, held := range daemon.Report.Failed {
			route := input.Routes[held.Model]
			isCurrent := route.Trial == held.Version || route.Watched && route.Version == held.Version
			if isCurrent && !slices.Contains(out, held) {
				out = append(out, held)
			}
		}
	}
	slices.SortFunc(out, func(a, b ReplicaVersion) int { return strings.Compare(a.Model+"|"+a.Version, b.Model+"|"+b.Version) })
	return out
}

// assignSlots gives every endpoint a slot: its previous one, or the lowest that is free.
//
// Invariant: no two endpoints have the same slot, and no endpoint has a reserved one.
func assignSlots(input Input, replicas []Replica, out *Table) {
	previous := map[string]int{}
	if input.Previous != nil {
		for id, slot := range input.Previous.Reserved {
			previous[id] = slot
		}
		for _, endpoint := range input.Previous.Places {
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

// daemonGrace is the time for which data daemons without a session still count.
const daemonGrace = 15 * time.Second

// SumOutcomes adds up the recent outcomes of all daemons, by Outcome.Key.
func SumOutcomes(daemons []Daemon) map[Outcome]Outcome {
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

// FailsClearly reports whether the failures of the judged version clearly exceed the
// baseline: at least MinFailures of them, and a share above both MinFailureShare and twice
// the baseline's.
func FailsClearly(judged, baseline Outcome) bool {
	return judged.Mishaps >= MinFailures && exceedsFailureShare(judged, baseline)
}

// MayFail is VersionFailsClearly without a minimum number of failures, for versions with few
// outcomes.
func MayFail(judged, baseline Outcome) bool {
	return judged.lateAsFailed().Mishaps > 0 && exceedsFailureShare(judged.lateAsFailed(), baseline.lateAsFailed())
}

// exceedsFailureShare reports whether the judged share of failures is above both
// MinFailureShare and twice the baseline's. A baseline with fewer than MinFailures
// outcomes is ignored.
func exceedsFailureShare(judged, baseline Outcome) bool {
	share := float64(judged.Mishaps) / float64(judged.Mishaps+judged.OK)
	baselineShare := 0.0
	if total := baseline.Mishaps + baseline.OK; total >= MinFailures {
		baselineShare = float64(baseline.Mishaps) / float64(total)
	}
	return share > max(MinFailureShare, 2*baselineShare)
}

// VersionFailsClearly is FailsClearly for judging a version. Late responses count as failures
// here, since a version that keeps its users waiting fails them. A late replica is just
// slow, and only gets less capacity.
func VersionFailsClearly(judged, baseline Outcome) bool {
	return FailsClearly(judged.lateAsFailed(), baseline.lateAsFailed())
}

// lateAsFailed returns the outcome with late requests counted as failures.
func (outcome Outcome) lateAsFailed() Outcome {
	total := outcome.OK + outcome.Mishaps
	outcome.Mishaps += outcome.Late
	outcome.OK = max(0, total-outcome.Mishaps)
	return outcome
}

// MinFailures and MinFailureShare are the number of failures and the share of all outcomes
// from which on failures are clear.
const (
	MinFailures     = 3
	MinFailureShare = 0.15
)

// buildRows returns the table's rows: the model versions that each replica may get requests
// for.
func buildRows(input Input, replicas []Replica, recent map[Outcome]Outcome) (rows []Row) {
	models := input.Tree.Models(input.Region)
	for _, model := range models {
		route := input.Routes[model]
		if placement, _ := input.Tree.Placement(model, input.Region); placement.AcceptsAnyVersion() {
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
			if route.Watched && !route.IsBanned(route.Previous) {
				add(route.Previous, false, true)
			}
			if isTrialActive && slices.Contains(route.TrialReplicas, replica.ID) {
				add(route.Trial, true, false)
			}
		}
	}
	return rows
}

// isDrained reports whether a replica gets no rows because its zone is evacuated.
//
// Data daemons know the evacuation from the configuration itself. If the model has an
// engine, so that they ramp up cold replicas by themselves, and no rollout is in progress,
// the replica stays in the table as a cold one. The zone can then serve at once when it is
// released, even if no new table can be written at that moment.
func (input Input) isDrained(model string, route Route, replica Replica) bool {
	isCalm := route.Trial == "" && !route.Watched && len(route.Left) == 0
	return input.Evacuated[replica.Zone] && (!isCalm || input.Tree.Engine(model) == nil)
}

// isEligible reports whether the replica is in a zone of the region in which the model is
// placed. A placement may cover only one of several zones.
func (input Input) isEligible(model string, replica Replica) bool {
	if region, known := input.Tree.RegionOf(replica.Zone); !known || region != input.Region {
		return false
	}
	_, placed := input.Tree.Placement(model, replica.Zone)
	return placed
}

// Versions returns the sorted versions of the model that are ready on the replica.
func (replica Replica) Versions(model string) (versions []string) {
	for name, state := range replica.Held {
		if version, isModel := strings.CutPrefix(name, model+"/"); isModel && state == Ready {
			versions = append(versions, version)
		}
	}
	sort.Strings(versions)
	return versions
}

// buildAnyVersionRows returns the rows of a model whose placement accepts any version. All
// versions are equal, except during and after a rollout: the version on trial gets trial
// rows; while the new version is watched, the previous ones are fallbacks; versions that
// failed or were replaced for good get no rows.
//
// A version on trial is served like any other if no replica of another version is listed in
// the region, because there is no traffic to shift.
func buildAnyVersionRows(input Input, model string, route Route, replicas []Replica, recent map[Outcome]Outcome) (rows []Row) {
	hasOthers := false // whether versions other than the one on trial are listed
	for _, replica := range replicas {
		if replica.Leaving || !input.isEligible(model, replica) {
			continue
		}
		for _, version := range replica.Versions(model) {
			hasOthers = hasOthers || version != route.Trial && !route.IsBanned(version) && !slices.Contains(route.Left, version)
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
			case route.IsBanned(version), isLeft && !route.Watched, version == route.Trial && !isTrialActive:
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

// SlowFactor is the multiple of the usual time to first token from which on a response
// counts as slow. MinSlowAnswers and MinSlowShare are the number of slow responses and
// their share from which on a version counts as slower than the others.
const (
	SlowFactor     = 2.5
	MinSlowAnswers = 5
	MinSlowShare   = 0.2
)

// IsSlower reports whether the judged version's responses are clearly slower than the
// baseline's, even if each of them is in time.
func IsSlower(judged, baseline Outcome) bool {
	if judged.Slow < MinSlowAnswers || judged.OK == 0 || baseline.OK < 4*MinSlowAnswers {
		return false
	}
	baselineShare := float64(baseline.Slow) / float64(baseline.OK)
	return float64(judged.Slow)/float64(judged.OK) > max(MinSlowShare, 3*baselineShare)
}

// FailsMore reports whether the judged version has significantly more failures than the
// baseline's share explains, however small its own share is. It is the test before all
// traffic moves to the version. A failure share of one percent is always tolerated.
func FailsMore(judged, baseline Outcome) bool { return failsMore(judged, baseline, MinFailures) }

// MayFailMore is FailsMore with one failure less, for versions with so few requests that they could
// not show more.
func MayFailMore(judged, baseline Outcome) bool { return failsMore(judged, baseline, MinFailures-1) }

// failsMore reports whether there are at least minFailures failures and more than three
// standard deviations above the expected number.
func failsMore(judged, baseline Outcome, minFailures int) bool {
	judged, baseline = judged.lateAsFailed(), baseline.lateAsFailed()
	mean := expectedFailures(judged, baseline)
	return judged.Mishaps >= minFailures && float64(judged.Mishaps) > mean+3*math.Sqrt(mean)
}

// FailsAboveExpected reports whether the judged version has more failures than the baseline's share
// explains, though they may be too few to reject it.
func FailsAboveExpected(judged, baseline Outcome) bool {
	judged, baseline = judged.lateAsFailed(), baseline.lateAsFailed()
	return float64(judged.Mishaps) > expectedFailures(judged, baseline)
}

// expectedFailures returns the number of failures that the judged version would have at the
// baseline's share, and at least one percent.
func expectedFailures(judged, baseline Outcome) float64 {
	share := 0.01
	if total := baseline.OK + baseline.Mishaps; total >= 4*MinSlowAnswers {
		share = max(share, 1.5*float64(baseline.Mishaps)/float64(total))
	}
	return share * float64(judged.OK+judged.Mishaps)
}

// TrialFails reports whether the version on trial clearly fails for any kind of request,
// compared with the route's version, or with all other versions if that is AnyVersion.
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
			if versionKind[0] == route.Trial && (VersionFailsClearly(judged, others[versionKind[1]]) || IsSlower(judged, others[versionKind[1]])) {
				return true
			}
		}
		return false
	}
	for versionKind, judged := range sums {
		if versionKind[0] == route.Trial && VersionFailsClearly(judged, sums[[2]string{route.Version, versionKind[1]}]) {
			return true
		}
	}
	return false
}

// deniedKinds returns the kinds of requests that fail on this replica but not on the
// others.
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
		// Other replicas must answer this kind. If all of them fail, the version or the
		// kind itself is at fault, and denying replicas would only make the kind
		// unavailable.
		if FailsClearly(outcome, others[kind]) && others[kind].OK > 0 {
			kinds = append(kinds, kind)
		}
	}
	sort.Strings(kinds)
	return kinds
}

// fullBackoff is the part of its warmth that a replica loses for each request that it
// rejected as full, spread over the window in which the rejection is counted. minPace is
// the lower bound of Endpoint.Pace.
const (
	fullBackoff = 0.3
	minPace     = 0.02
)

// minLatencySamples is the number of responses of a kind that are needed to judge a
// replica's latency.
const minLatencySamples = 5

// slowReplicas returns the replicas whose shortest time to first token is far above that of
// the other replicas with the same model and kind. The minimum is compared because the mean
// depends more on how many prompts missed the prefix cache than on the replica's speed. If
// a whole region slows down, the median rises with it and no replica is marked.
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

// previousWarmth returns the warmth and the pace of each replica in the previous table, by
// ID and boot.
func previousWarmth(previous *Table) (warmth, paces map[string]float64) {
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

// hasEngine reports whether the replica holds a model with an engine. Data daemons limit
// what they send to such a replica by themselves, so it has no credits.
func hasEngine(input Input, replica Replica) bool {
	for held := range replica.Held {
		model, _, _ := strings.Cut(held, "/")
		if input.Tree.Engine(model) != nil {
			return true
		}
	}
	return false
}

// newEndpoint computes a replica's present capacity. warmth and pace are its previous
// values; a warmth of 0 means that the replica is new.
func newEndpoint(input Input, replica Replica, recent map[Outcome]Outcome, slow bool, warmth, pace float64) Endpoint {
	fullCapacity := 0
	for _, model := range input.Tree.Models(replica.Zone) {
		if placement, placed := input.Tree.Placement(model, replica.Zone); placed {
			fullCapacity = max(fullCapacity, placement.Capacity)
		}
	}
	coldShare := input.Tree.Limit("cold_share", replica.Zone)
	out := Endpoint{ID: replica.ID, Address: replica.Address, Zone: replica.Zone, Region: replica.Region, Boot: replica.Boot, Whole: fullCapacity, Warm: coldShare, Credits: map[string]int{}, InForce: map[string]int{}, Slow: slow}
	if warmth > 0 {
		out.Warm = max(warmth, coldShare)
		answers, full := 0, 0
		for key, outcome := range recent {
			if key.Replica == replica.ID && key.Boot == replica.Boot {
				answers += outcome.OK
				full += outcome.Full
			}
		}
		// Only responses warm a replica up: warm_answers of them at their present rate for
		// full warmth, and no faster than within warm_ms.
		step := float64(answers) * float64(input.Since) / float64(RecentWindow) / input.Tree.Limit("warm_answers", replica.Zone)
		if warm := input.Tree.Duration("warm_ms", replica.Zone); warm > 0 {
			step = min(step, float64(input.Since)/float64(warm))
		}
		out.Pace = 1
		if pace > 0 {
			out.Pace = pace
		}
		step *= out.Pace
		if full > 0 && warmth < 1 {
			// The replica is at capacity although the settings take it for warmer. Its
			// warmth shrinks in proportion to the rejections, it doesn't grow until they
			// stop, and from then on it grows more slowly.
			part := min(0.5, fullBackoff*float64(full)*float64(input.Since)/float64(RecentWindow))
			step = -out.Warm * part
			out.Pace = max(minPace, (1-part)*out.Pace)
		}
		out.Warm = max(coldShare, min(1, out.Warm+(1-coldShare)*step))
	}
	if hasEngine(input, replica) {
		out.Warm, out.Pace, out.Capacity, out.Slow = 1, 0, fullCapacity, false // data daemons measure these themselves
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
