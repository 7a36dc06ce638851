package decide

import (
	"time"

	"swifttiller/lease"
	"swifttiller/routing"
	"swifttiller/settings"
)

// trialMonitor is what a data daemon knows about versions on trial, and about versions that
// are watched after a rollout has moved a route to them. By its own counts alone, without
// asking other daemons, it stops sending requests to a version that plainly fails.
//
// Invariants: the tokens of a kind and region grow only while a version of its model is
// on trial there, by small_share for each attempt in that region. Of the attempts that
// reached replicas of the region, no kind thus ever gives a trial more than that share.
// Requests that are rejected, or go to another region, earn no tokens. A version stays in
// failed until a view of all regions shows it neither on trial nor watched; the decay of
// the counts does not clear it.
type trialMonitor struct {
	view     *lease.View       // the view that trials and watches were read from
	trials   map[string]string // by region/model: the version on trial
	watches  map[string]string // by region/model: the version that is watched
	previous map[string]string // by region/model: the version to go back to
	buckets  map[string]*tokenBucket
	failed   map[routing.ReplicaVersion]bool
	// sharedBuckets are the buckets of models whose placement allows any version, by
	// region/model.
	sharedBuckets map[string]*sharedBucket
	// waiting maps attempts without a first token to the time at which they started.
	// usualFirst is the smoothed time to first token, by model/kind.
	waiting      map[*Selection]time.Duration
	usualFirst   map[string]time.Duration
	firstSamples map[string]int // how many first tokens usualFirst was learned from
	// takeovers are the timed roll-outs in progress, by model. spans are the times of whole
	// answers, by model/kind.
	takeovers map[string]*takeover
	spans     map[string]*spanEstimate
}

// tokenBucket holds the attempts of one kind that have been saved up for a trial. They
// are spent in bursts, since a version may fail only under load.
type tokenBucket struct {
	value      float64
	rate       smoothedRate
	isSpending bool
}

// sharedBucket holds the attempts saved up for a trial where the placement allows any
// version. There all kinds share one bucket, because a trial is short: it ends with its
// term, and a rare kind would not save up a token of its own by then. Kinds that had
// fewer trial attempts than others go first, and one token is reserved for them.
//
// Invariant: value starts at zero and grows by small_share for each attempt in the
// region, so of the attempts that reached replicas there the trial never got more than
// that share.
type sharedBucket struct {
	tokenBucket
	version string
	kinds   map[string]*kindBucket
}

// kindBucket is the part of one kind of requests in a sharedBucket.
type kindBucket struct {
	value  float64 // attempts that the kind may still give, at most maxKindShare of its own
	rate   smoothedRate
	trials int
}

// maxKindShare is the largest share of one kind that a trial with a sharedBucket gets.
const maxKindShare = 0.3

// bucketOf returns the bucket of the kind; a new one starts with one token.
func (shared *sharedBucket) bucketOf(kind string) *kindBucket {
	bucket := shared.kinds[kind]
	if bucket == nil {
		bucket = &kindBucket{value: 1}
		shared.kinds[kind] = bucket
	}
	return bucket
}

// accrueShared counts an attempt in the shared bucket of its region and model.
func (decider *Decider) accrueShared(view *lease.View, selection *Selection) {
	key := selection.Region + "/" + selection.call.Model
	version := decider.trialVersion(view, selection.call, selection.Region)
	if version == "" {
		if decider.trialMonitor.takeovers[selection.call.Model] == nil {
			delete(decider.trialMonitor.sharedBuckets, key)
		}
		return
	}
	bucket := decider.trialMonitor.sharedBuckets[key]
	if bucket == nil || bucket.version != version {
		bucket = &sharedBucket{version: version, kinds: map[string]*kindBucket{}}
		decider.trialMonitor.sharedBuckets[key] = bucket
	}
	now := decider.World.Now()
	kind := bucket.bucketOf(selection.call.Kind)
	bucket.rate.add(now, 1)
	kind.rate.add(now, 1)
	selection.trialShare = decider.trialShare(view, selection.call.Model)
	bucket.value += selection.trialShare
	kind.value += maxKindShare
	if selection.Trial {
		bucket.value--
		kind.value--
		kind.trials++
	}
}

// refundShared reverses accrueShared for an attempt that did not run.
func (decider *Decider) refundShared(selection *Selection) {
	bucket := decider.trialMonitor.sharedBuckets[selection.Region+"/"+selection.call.Model]
	if bucket == nil || selection.Trial && selection.Version != bucket.version {
		return
	}
	kind := bucket.bucketOf(selection.call.Kind)
	bucket.value -= selection.trialShare
	kind.value -= maxKindShare
	if selection.Trial {
		bucket.value++
		kind.value++
		kind.trials--
	}
}

// sharedBurstSpan is the time for which attempts are saved up in a shared bucket before
// any is spent.
const sharedBurstSpan = time.Second

// minBurst is the smallest number of attempts to save up: a version that fails under load
// does not fail if it gets one request at a time.
const minBurst = 2

// allows reports whether the kind may give the trial an attempt now.
func (shared *sharedBucket) allows(kind string, share float64, now time.Duration) bool {
	own := shared.bucketOf(kind)
	if own.value < 1 {
		return false
	}
	reserved := 0.0
	for _, other := range shared.kinds {
		switch {
		case other.trials > 0 && own.trials == 0:
			return shared.value >= 1 // a kind without a trial attempt goes first
		case other.trials > own.trials:
			reserved = 0
		}
		if other.trials < own.trials && other.rate.rate(now) > 0 {
			reserved = 1
		}
	}
	switch {
	case shared.value < 1+reserved:
		shared.isSpending = false
	case shared.value >= reserved+max(minBurst, shared.rate.rate(now)*share*sharedBurstSpan.Seconds()):
		shared.isSpending = true
	}
	return shared.isSpending
}

func newTrialMonitor() trialMonitor {
	return trialMonitor{sharedBuckets: map[string]*sharedBucket{}, buckets: map[string]*tokenBucket{}, failed: map[routing.ReplicaVersion]bool{}, waiting: map[*Selection]time.Duration{}, usualFirst: map[string]time.Duration{}, firstSamples: map[string]int{},
		takeovers: map[string]*takeover{}, spans: map[string]*spanEstimate{}}
}

// refreshTrials reads the trials and the watched versions from the view if it is new.
func (decider *Decider) refreshTrials(view *lease.View) *trialMonitor {
	judging := &decider.trialMonitor
	if judging.view == view {
		return judging
	}
	judging.view = view
	decider.refreshTakeovers(view)
	judging.trials, judging.watches, judging.previous = map[string]string{}, map[string]string{}, map[string]string{}
	shown := map[routing.ReplicaVersion]bool{}
	for region, table := range view.RoutingTables {
		for _, row := range table.Rows {
			if row.Trial {
				judging.trials[region+"/"+row.Model] = row.Version
				shown[routing.ReplicaVersion{Model: row.Model, Version: row.Version}] = true
			}
			if row.Back {
				judging.previous[region+"/"+row.Model] = row.Version
			}
		}
		for _, row := range table.Rows {
			if key := region + "/" + row.Model; judging.previous[key] != "" && !row.Back && !row.Trial {
				judging.watches[key] = row.Version
				shown[routing.ReplicaVersion{Model: row.Model, Version: row.Version}] = true
			}
		}
	}
	for _, table := range view.RoutingTables {
		for _, version := range table.Failed {
			judging.failed[version] = true
		}
	}
	isWhole := true // a region without a routing table may still have the version
	for _, region := range view.Tree.Regions() {
		_, has := view.RoutingTables[region]
		isWhole = isWhole && has
	}
	for version := range judging.failed {
		if isWhole && !shown[version] {
			delete(judging.failed, version)
		}
	}
	return judging
}

// tokenKey is the key of the bucket of a call's kind in a region.
func tokenKey(region string, call *Call) string { return region + "/" + call.Model + "/" + call.Kind }

// accrue adds small_share of an attempt to the bucket of the trial of its model in the
// region, if there is one, and removes a token if the attempt went to the trial itself.
func (decider *Decider) accrue(view *lease.View, selection *Selection) {
	if decider.allowsAnyVersion(view, selection.call.Model) {
		decider.accrueShared(view, selection)
		return
	}
	call, key := selection.call, tokenKey(selection.Region, selection.call)
	if decider.refreshTrials(view).trials[selection.Region+"/"+call.Model] == "" {
		delete(decider.trialMonitor.buckets, key)
		return
	}
	bucket := decider.trialMonitor.buckets[key]
	if bucket == nil {
		bucket = &tokenBucket{}
		decider.trialMonitor.buckets[key] = bucket
	}
	bucket.rate.add(decider.World.Now(), 1)
	bucket.value += view.Tree.Limit("small_share", decider.Self.Zone)
	if selection.Trial {
		bucket.value--
	}
}

// refund reverses accrue for an attempt that did not run.
func (decider *Decider) refund(view *lease.View, selection *Selection) {
	if view.Tree == nil {
		return
	}
	if decider.allowsAnyVersion(view, selection.call.Model) {
		decider.refundShared(selection)
		return
	}
	bucket := decider.trialMonitor.buckets[tokenKey(selection.Region, selection.call)]
	if bucket == nil {
		return
	}
	bucket.value -= view.Tree.Limit("small_share", decider.Self.Zone)
	if selection.Trial {
		bucket.value++
	}
}

// burst is the number of attempts to save up before any is spent: as many as a third of
// the trial's time brings in.
func (decider *Decider) burst(view *lease.View, bucket *tokenBucket) float64 {
	rate := bucket.rate.rate(decider.World.Now()) * view.Tree.Limit("small_share", decider.Self.Zone)
	return max(1, rate*view.Tree.Duration("trial_ms", decider.Self.Region).Seconds()/3)
}

// allowsAnyVersion reports whether the model's placement allows any version.
func (decider *Decider) allowsAnyVersion(view *lease.View, model string) bool {
	placement, _ := view.Tree.Placement(model, decider.Self.Zone)
	return placement.AcceptsAnyVersion()
}

// trialVersion returns the version that is on trial for the call in the region, empty if there is
// none. The version of a timed roll-out is on trial until the call's kind moves to it.
func (decider *Decider) trialVersion(view *lease.View, call *Call, region string) string {
	if version := decider.refreshTrials(view).trials[region+"/"+call.Model]; version != "" {
		return version
	}
	if pending := decider.pendingTakeover(view, call); pending != nil && decider.trialMonitor.watches[region+"/"+call.Model] == pending.version {
		return pending.version
	}
	return ""
}

// opensTrial returns the version of the call's model that is on trial in the region, empty
// if there is none, and whether this request should go to it now rather than to any other
// version there. The caller holds mu, and counts what it selects through countSelection.
func (decider *Decider) opensTrial(view *lease.View, call *Call, region string) (version string, open bool) {
	version = decider.trialVersion(view, call, region)
	return version, version != "" && decider.allowsTrial(view, call, region, settings.AnyVersion, version)
}

// trialRank orders the replicas of a version on trial, the greatest first. The order is the
// same for all daemons, so that the few trial requests go to few replicas, whose load is
// then high enough to expose a version that fails under load.
func trialRank(model, version, replica string) uint64 {
	return score(Prefix([]byte(model+"@"+version)), replica)
}

// barred reports whether a version of a model gets none of the region's requests, unless
// opensTrial has opened it for the request at hand: it is on trial; or it is watched after
// a rollout and plainly fails by this daemon's own counts; or it is the previous version,
// which stands by while the watched one does not fail. The caller holds mu.
func (decider *Decider) barred(view *lease.View, region string, call *Call, version string) bool {
	if trial := decider.trialVersion(view, call, region); trial != "" {
		return trial == version
	}
	switch decider.watchedVersion(view, region, call) {
	case "":
		return false
	case version:
		return decider.watchedFails(view, region, call)
	}
	return !decider.watchedFails(view, region, call)
}

// allowsTrial reports whether the kind may give the region's trial an attempt now.
func (decider *Decider) allowsTrial(view *lease.View, call *Call, region, current, trial string) bool {
	if decider.allowsAnyVersion(view, call.Model) {
		shared := decider.trialMonitor.sharedBuckets[region+"/"+call.Model]
		if shared == nil || shared.version != trial || call.isRetry || decider.plainlyFails(call.Model, current, trial) {
			return false
		}
		return shared.allows(call.Kind, decider.trialShare(view, call.Model), decider.World.Now())
	}
	bucket := decider.trialMonitor.buckets[tokenKey(region, call)]
	if bucket == nil || call.isRetry || decider.plainlyFails(call.Model, current, trial) {
		return false
	}
	switch {
	case bucket.value < 1:
		bucket.isSpending = false
	case bucket.value >= decider.burst(view, bucket):
		bucket.isSpending = true
	}
	return bucket.isSpending
}

// plainlyFails reports whether a version plainly fails by this daemon's own counts.
func (decider *Decider) plainlyFails(model, current, version string) bool {
	modelVersion := routing.ReplicaVersion{Model: model, Version: version}
	if !decider.trialMonitor.failed[modelVersion] && routing.TrialFails(model, routing.Route{Version: current, Trial: version}, decider.recent(decider.World.Now())) {
		decider.trialMonitor.failed[modelVersion] = true
		decider.reportNow()
	}
	return decider.trialMonitor.failed[modelVersion]
}

// watchedVersion returns the version that the region's route moved to recently, or an empty
// string if there is no previous version to go back to, or if the call's kind has not moved yet.
// A region without replicas of the version of a timed roll-out has moved to it all the same.
func (decider *Decider) watchedVersion(view *lease.View, region string, call *Call) string {
	if decider.pendingTakeover(view, call) != nil {
		return ""
	}
	key := region + "/" + call.Model
	watched := decider.refreshTrials(view).watches[key]
	if current := decider.trialMonitor.takeovers[call.Model]; watched == "" && current != nil && current.stopsAt > 0 && decider.trialMonitor.previous[key] != "" {
		return current.version
	}
	return watched
}

// watchedFails reports whether the region's watched version plainly fails, so that the previous
// one is to be used.
func (decider *Decider) watchedFails(view *lease.View, region string, call *Call) bool {
	version := decider.watchedVersion(view, region, call)
	previous := decider.trialMonitor.previous[region+"/"+call.Model]
	if decider.allowsAnyVersion(view, call.Model) {
		previous = settings.AnyVersion // the rollout may have replaced several versions
	}
	return version != "" && decider.plainlyFails(call.Model, previous, version)
}

// trial drops from the candidates the rows that do not count now. Where a trial is open,
// its rows replace all others of the region if the placement allows any version, else only
// those of the same replicas; where it is not open, its rows are dropped. A trial is open
// while the small share allows it and the version does not plainly fail.
func (decider *Decider) trial(view *lease.View, call *Call, free []candidate) []candidate {
	trialVersions, currentVersions := map[string]string{}, map[string]string{} // by region
	replicasOnTrial := map[string]bool{}
	for _, option := range free {
		if option.row.Trial {
			trialVersions[option.endpoint.Region] = option.row.Version
			replicasOnTrial[option.row.Replica] = true
		} else {
			currentVersions[option.endpoint.Region] = option.row.Version
		}
	}
	if len(trialVersions) == 0 {
		return free
	}
	decider.refreshTrials(view)
	isOpen := map[string]bool{}
	holdsAny := decider.allowsAnyVersion(view, call.Model)
	for region, trial := range trialVersions {
		if holdsAny {
			currentVersions[region] = settings.AnyVersion
		}
		isOpen[region] = decider.allowsTrial(view, call, region, currentVersions[region], trial)
	}
	out := free[:0:0]
	for _, option := range free {
		opened := isOpen[option.endpoint.Region]
		if option.row.Trial && !opened || !option.row.Trial && opened && (holdsAny || replicasOnTrial[option.row.Replica]) {
			continue
		}
		out = append(out, option)
	}
	return out
}

// First notes that an attempt got its first token.
func (decider *Decider) First(selection *Selection) {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	delete(decider.trialMonitor.waiting, selection)
}

// Factors of the time after which a first token is late: the longer one of stall_ms divided
// by overdueStallShare and the usual time of the kind times overdueUsualFactor.
const (
	overdueStallShare  = 5
	overdueUsualFactor = 4
)

func (decider *Decider) lateBound(selection *Selection) time.Duration {
	bound := decider.trialMonitor.usualFirst[selection.call.Model+"/"+selection.call.Kind] * overdueUsualFactor
	if view := decider.View(); view.Tree != nil {
		bound = max(bound, view.Tree.Duration("stall_ms", decider.Self.Zone)/overdueStallShare)
	}
	return bound
}

// isLate reports whether the attempt has waited too long for a first token.
func (decider *Decider) isLate(selection *Selection, now time.Duration) bool {
	since, waits := decider.trialMonitor.waiting[selection]
	since += selection.Allowance
	return waits && now-since > decider.lateBound(selection)
}

// minFirstSamples is the number of first tokens from which the usual time is known.
const minFirstSamples = 32

// isSlow reports whether a first token took plainly longer than is usual for the kind.
func (decider *Decider) isSlow(selection *Selection, first time.Duration) bool {
	key := selection.call.Model + "/" + selection.call.Kind
	usual := decider.trialMonitor.usualFirst[key]
	return decider.trialMonitor.firstSamples[key] >= minFirstSamples && float64(first) > routing.SlowFactor*float64(usual)
}

// learnUsual adds a sample to the smoothed time to first token.
func (decider *Decider) learnUsual(selection *Selection, first time.Duration) {
	key := selection.call.Model + "/" + selection.call.Kind
	usual := decider.trialMonitor.usualFirst[key]
	decider.trialMonitor.usualFirst[key] = usual + (first-usual)/16
	decider.trialMonitor.firstSamples[key]++
}

// recent returns the outcomes of the last seconds, counting overdue attempts as late.
func (decider *Decider) recent(now time.Duration) map[routing.Outcome]routing.Outcome {
	out := decider.window.recent(now)
	decider.addLate(now, out, false)
	return out
}

// totals returns all outcomes, counting overdue attempts as late.
func (decider *Decider) totals(now time.Duration) map[routing.Outcome]routing.Outcome {
	out := map[routing.Outcome]routing.Outcome{}
	for key, outcome := range decider.window.totals {
		out[key] = outcome
	}
	decider.addLate(now, out, true)
	return out
}

func (decider *Decider) addLate(now time.Duration, out map[routing.Outcome]routing.Outcome, byRegion bool) {
	for selection := range decider.trialMonitor.waiting {
		if !decider.isLate(selection, now) {
			continue
		}
		key := routing.Outcome{Replica: selection.Replica, Model: selection.call.Model, Version: selection.Version, Kind: selection.call.Kind, Boot: selection.Boot}
		if byRegion {
			key.Replica, key.Boot = selection.Region, ""
		}
		sum, known := out[key]
		if !known {
			sum = key
		}
		sum.Late++
		out[key] = sum
	}
}
