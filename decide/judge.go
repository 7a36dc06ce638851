package decide

import (
	"time"

	"swifttiller/permit"
	"swifttiller/settings"
	"swifttiller/standing"
)

// judging is what a data daemon knows of versions on trial, and of ones that are
// watched after their route moved. It stops what plainly fails by its own counts
// and asks nobody.
//
// Invariants: tokens of a kind and region grow only while a trial of its model
// stands there, by small_share for each dispatch into that region, so of what
// reached its replicas no kind ever gave a trial more than that share. What is
// asked and declined, or goes elsewhere, buys nothing. A version in failed stays there until a view of all regions shows it
// neither on trial nor watched; counts that fade do not clear it.
type judging struct {
	view    *permit.View      // that trials and watches were read from
	trials  map[string]string // by region/model: the version on trial
	watches map[string]string // by region/model: the version that is watched
	left    map[string]string // by region/model: the one to go back to
	tokens  map[string]*tokens
	failed  map[standing.Held]bool
	// pots are the tokens where placements hold any version, by region/model.
	pots map[string]*pot
	// waiting are dispatches without a piece so far, and since when; usual is how
	// long the first piece of a model and kind takes, smoothed.
	waiting map[*Selection]time.Duration
	usual   map[string]time.Duration
	learned map[string]int // how many first pieces that was learned from
}

// tokens are a kind's dispatches saved up for a trial. They are spent in bursts,
// since a version may fail only under load.
type tokens struct {
	value      float64
	rate       flow
	isSpending bool
}

// pot holds the dispatches saved up for a trial where the placement holds any version.
// There the small share is one of all kinds together, as a trial is short: it ends with
// its term, and a kind that comes seldom would save up nothing of its own until then.
// Kinds that had fewer trials than others come first, and one token is kept for them.
//
// Invariant: value grows from zero, by small_share for each dispatch into the region, so
// that of what reached its replicas never more than that share was the trial's.
type pot struct {
	tokens
	version string
	kinds   map[string]*kindPart
}

// kindPart is one kind's part in a pot.
type kindPart struct {
	value  float64 // what the kind may give yet, bounded by openKindShare of it
	rate   flow
	trials int
}

// openKindShare is the most of one kind that a trial of a pot gets.
const openKindShare = 0.3

// part is the kind's, which may give one at once.
func (pot *pot) part(kind string) *kindPart {
	one := pot.kinds[kind]
	if one == nil {
		one = &kindPart{value: 1}
		pot.kinds[kind] = one
	}
	return one
}

// save counts a dispatch for the region's pot.
func (decider *Decider) save(view *permit.View, selection *Selection) {
	at := selection.Region + "/" + selection.call.Model
	version := decider.scan(view).trials[at]
	if version == "" {
		delete(decider.judging.pots, at)
		return
	}
	purse := decider.judging.pots[at]
	if purse == nil || purse.version != version {
		purse = &pot{version: version, kinds: map[string]*kindPart{}}
		decider.judging.pots[at] = purse
	}
	now := decider.World.Now()
	part := purse.part(selection.call.Kind)
	purse.rate.add(now, 1)
	part.rate.add(now, 1)
	purse.value += view.Tree.Limit("small_share", decider.Self.Zone)
	part.value += openKindShare
	if selection.Trial {
		purse.value--
		part.value--
		part.trials++
	}
}

// unsave takes back what a dispatch that did not run was counted for.
func (decider *Decider) unsave(view *permit.View, selection *Selection) {
	purse := decider.judging.pots[selection.Region+"/"+selection.call.Model]
	if purse == nil || selection.Trial && selection.Version != purse.version {
		return
	}
	part := purse.part(selection.call.Kind)
	purse.value -= view.Tree.Limit("small_share", decider.Self.Zone)
	part.value -= openKindShare
	if selection.Trial {
		purse.value++
		part.value++
		part.trials--
	}
}

// openBurst is for how long dispatches are saved up in a pot before any is spent.
const openBurst = time.Second

// leastBurst is how many are saved up at the least: a version that fails under load does
// not show it to one request at a time.
const leastBurst = 2

// gives tells whether the kind may give the pot's trial a dispatch now.
func (pot *pot) gives(kind string, share float64, now time.Duration) bool {
	mine := pot.part(kind)
	if mine.value < 1 {
		return false
	}
	kept := 0.0
	for _, one := range pot.kinds {
		switch {
		case one.trials > 0 && mine.trials == 0:
			return pot.value >= 1 // it comes first
		case one.trials > mine.trials:
			kept = 0
		}
		if one.trials < mine.trials && one.rate.rate(now) > 0 {
			kept = 1
		}
	}
	switch {
	case pot.value < 1+kept:
		pot.isSpending = false
	case pot.value >= kept+max(leastBurst, pot.rate.rate(now)*share*openBurst.Seconds()):
		pot.isSpending = true
	}
	return pot.isSpending
}

func newJudging() judging {
	return judging{pots: map[string]*pot{}, tokens: map[string]*tokens{}, failed: map[standing.Held]bool{}, waiting: map[*Selection]time.Duration{}, usual: map[string]time.Duration{}, learned: map[string]int{}}
}

// scan reads from a new view what is on trial and what is watched.
func (decider *Decider) scan(view *permit.View) *judging {
	judging := &decider.judging
	if judging.view == view {
		return judging
	}
	judging.view = view
	judging.trials, judging.watches, judging.left = map[string]string{}, map[string]string{}, map[string]string{}
	shown := map[standing.Held]bool{}
	for region, one := range view.Standings {
		for _, row := range one.Rows {
			if row.Trial {
				judging.trials[region+"/"+row.Model] = row.Version
				shown[standing.Held{Model: row.Model, Version: row.Version}] = true
			}
			if row.Back {
				judging.left[region+"/"+row.Model] = row.Version
			}
		}
		for _, row := range one.Rows {
			if at := region + "/" + row.Model; judging.left[at] != "" && !row.Back && !row.Trial {
				judging.watches[at] = row.Version
				shown[standing.Held{Model: row.Model, Version: row.Version}] = true
			}
		}
	}
	for _, one := range view.Standings {
		for _, version := range one.Failed {
			judging.failed[version] = true
		}
	}
	isWhole := true // a region without a standing now may show it again
	for _, region := range view.Tree.Regions() {
		_, has := view.Standings[region]
		isWhole = isWhole && has
	}
	for version := range judging.failed {
		if isWhole && !shown[version] {
			delete(judging.failed, version)
		}
	}
	return judging
}

// tokenKey names the tokens of a call's kind in a region.
func tokenKey(region string, call *Call) string { return region + "/" + call.Model + "/" + call.Kind }

// accrue counts a dispatch into the region for the trial of its model there, if
// there is one, and takes what the trial itself was given.
func (decider *Decider) accrue(view *permit.View, selection *Selection) {
	if decider.holdsAny(view, selection.call.Model) {
		decider.save(view, selection)
		return
	}
	call, key := selection.call, tokenKey(selection.Region, selection.call)
	if decider.scan(view).trials[selection.Region+"/"+call.Model] == "" {
		delete(decider.judging.tokens, key)
		return
	}
	one := decider.judging.tokens[key]
	if one == nil {
		one = &tokens{}
		decider.judging.tokens[key] = one
	}
	one.rate.add(decider.World.Now(), 1)
	one.value += view.Tree.Limit("small_share", decider.Self.Zone)
	if selection.Trial {
		one.value--
	}
}

// refund takes back what a dispatch that did not run was counted for.
func (decider *Decider) refund(view *permit.View, selection *Selection) {
	if view.Tree == nil {
		return
	}
	if decider.holdsAny(view, selection.call.Model) {
		decider.unsave(view, selection)
		return
	}
	one := decider.judging.tokens[tokenKey(selection.Region, selection.call)]
	if one == nil {
		return
	}
	one.value -= view.Tree.Limit("small_share", decider.Self.Zone)
	if selection.Trial {
		one.value++
	}
}

// burst is how many dispatches are saved up before any is spent: what a third of
// the trial's time brings in.
func (decider *Decider) burst(view *permit.View, one *tokens) float64 {
	rate := one.rate.rate(decider.World.Now()) * view.Tree.Limit("small_share", decider.Self.Zone)
	return max(1, rate*view.Tree.Span("trial_ms", decider.Self.Region).Seconds()/3)
}

// holdsAny tells whether the model's placement holds any version.
func (decider *Decider) holdsAny(view *permit.View, model string) bool {
	placement, _ := view.Tree.Placement(model, decider.Self.Zone)
	return placement.Any()
}

// opensTrial gives the version of the call's model that is on trial in the region,
// empty when there is none, and whether this request is to go to it now: then it goes
// to none of the other versions there. The caller holds guard, and what it selects it
// counts by dispatched.
func (decider *Decider) opensTrial(view *permit.View, call *Call, region string) (version string, open bool) {
	version = decider.scan(view).trials[region+"/"+call.Model]
	return version, version != "" && decider.opens(view, call, region, settings.AnyVersion, version)
}

// trialRank orders the replicas of a version on trial, the greatest first. All daemons
// have the same order: what they may give goes to few replicas, which so bear a load at
// which a version that fails under load shows it.
func trialRank(model, version, replica string) uint64 {
	return score(Prefix([]byte(model+"@"+version)), replica)
}

// barred tells whether a version of a model gets none of the region's requests, unless
// opensTrial has opened it for the one at hand: it is on trial; it is watched after its
// move and plainly fails by this daemon's own counts; or it was left by that move and
// stands by. The caller holds guard.
func (decider *Decider) barred(view *permit.View, region, model, version string) bool {
	judging := decider.scan(view)
	at := region + "/" + model
	switch {
	case judging.trials[at] == version:
		return true
	case judging.watches[at] == "":
		return false
	case judging.watches[at] == version:
		return decider.fails(view, region, model)
	}
	return !decider.fails(view, region, model)
}

// opens tells whether the kind may give the region's trial a dispatch now.
func (decider *Decider) opens(view *permit.View, call *Call, region, old, trial string) bool {
	if decider.holdsAny(view, call.Model) {
		pot := decider.judging.pots[region+"/"+call.Model]
		if pot == nil || pot.version != trial || call.retry || decider.isPlain(call.Model, old, trial) {
			return false
		}
		return pot.gives(call.Kind, view.Tree.Limit("small_share", decider.Self.Zone), decider.World.Now())
	}
	one := decider.judging.tokens[tokenKey(region, call)]
	if one == nil || call.retry || decider.isPlain(call.Model, old, trial) {
		return false
	}
	switch {
	case one.value < 1:
		one.isSpending = false
	case one.value >= decider.burst(view, one):
		one.isSpending = true
	}
	return one.isSpending
}

// isPlain tells whether a version plainly fails by this daemon's own counts.
func (decider *Decider) isPlain(model, old, version string) bool {
	held := standing.Held{Model: model, Version: version}
	if !decider.judging.failed[held] && standing.TrialFails(model, standing.Route{Version: old, Trial: version}, decider.recent(decider.World.Now())) {
		decider.judging.failed[held] = true
	}
	return decider.judging.failed[held]
}

// watched is the version that the region's route moved to a short while ago; it
// is empty when there is nothing to go back to.
func (decider *Decider) watched(view *permit.View, region, model string) string {
	return decider.scan(view).watches[region+"/"+model]
}

// fails tells whether the region's watched version plainly fails, so that the
// one that was left is to be used.
func (decider *Decider) fails(view *permit.View, region, model string) bool {
	version := decider.watched(view, region, model)
	old := decider.judging.left[region+"/"+model]
	if decider.holdsAny(view, model) {
		old = settings.AnyVersion // several may have been left
	}
	return version != "" && decider.isPlain(model, old, version)
}

// trial decides, where a replica has both versions, which of its rows counts:
// the trial's while the small share allows it and its failures are not plain.
func (decider *Decider) trial(view *permit.View, call *Call, free []candidate) []candidate {
	trials, olds := map[string]string{}, map[string]string{} // by region
	trialled := map[string]bool{}
	for _, one := range free {
		if one.row.Trial {
			trials[one.place.Region] = one.row.Version
			trialled[one.row.Replica] = true
		} else {
			olds[one.place.Region] = one.row.Version
		}
	}
	if len(trials) == 0 {
		return free
	}
	decider.scan(view)
	isOpen := map[string]bool{}
	holdsAny := decider.holdsAny(view, call.Model)
	for region, trial := range trials {
		if holdsAny {
			olds[region] = settings.AnyVersion
		}
		isOpen[region] = decider.opens(view, call, region, olds[region], trial)
	}
	out := free[:0:0]
	for _, one := range free {
		opened := isOpen[one.place.Region]
		if one.row.Trial && !opened || !one.row.Trial && opened && (holdsAny || trialled[one.row.Replica]) {
			continue
		}
		out = append(out, one)
	}
	return out
}

// First notes that a dispatch got its first piece.
func (decider *Decider) First(selection *Selection) {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	delete(decider.judging.waiting, selection)
}

// Ratios of how long a first piece may take before it is late: to stall_ms, and to what is usual for the kind.
const (
	overdueShare = 5
	overdueUsual = 4
)

func (decider *Decider) overdue(selection *Selection) time.Duration {
	bound := decider.judging.usual[selection.call.Model+"/"+selection.call.Kind] * overdueUsual
	if view := decider.Holder(); view.Tree != nil {
		bound = max(bound, view.Tree.Span("stall_ms", decider.Self.Zone)/overdueShare)
	}
	return bound
}

// late tells whether the dispatch has waited too long for a piece.
func (decider *Decider) late(selection *Selection, now time.Duration) bool {
	since, waits := decider.judging.waiting[selection]
	since += selection.Allowance
	return waits && now-since > decider.overdue(selection)
}

// learnedEnough is from how many first pieces on it is known what is usual.
const learnedEnough = 32

// slow tells whether a first piece took plainly longer than is usual for the kind.
func (decider *Decider) slow(selection *Selection, first time.Duration) bool {
	key := selection.call.Model + "/" + selection.call.Kind
	usual := decider.judging.usual[key]
	return decider.judging.learned[key] >= learnedEnough && float64(first) > standing.SlowUsual*float64(usual)
}

// learn smooths what is usual.
func (decider *Decider) learn(selection *Selection, first time.Duration) {
	key := selection.call.Model + "/" + selection.call.Kind
	usual := decider.judging.usual[key]
	decider.judging.usual[key] = usual + (first-usual)/16
	decider.judging.learned[key]++
}

// recent are the last seconds' outcomes, with those that are overdue by now.
func (decider *Decider) recent(now time.Duration) map[standing.Outcome]standing.Outcome {
	out := decider.window.recent(now)
	decider.addLate(now, out, false)
	return out
}

// totals are all outcomes, with those that are overdue by now.
func (decider *Decider) totals(now time.Duration) map[standing.Outcome]standing.Outcome {
	out := map[standing.Outcome]standing.Outcome{}
	for key, one := range decider.window.totals {
		out[key] = one
	}
	decider.addLate(now, out, true)
	return out
}

func (decider *Decider) addLate(now time.Duration, out map[standing.Outcome]standing.Outcome, byRegion bool) {
	for selection := range decider.judging.waiting {
		if !decider.late(selection, now) {
			continue
		}
		key := standing.Outcome{Replica: selection.Replica, Model: selection.call.Model, Version: selection.Version, Kind: selection.call.Kind, Boot: selection.Boot}
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
