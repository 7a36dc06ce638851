package tenant

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// Thresholds and weights of the watch. Durations are in windows unless stated otherwise.
const (
	// shortWeight and longWeight are the weights of a new window in the moving averages of
	// the short and the long profile.
	shortWeight = 0.5
	longWeight  = 1.0 / 16
	// warmupWindows is after how many windows a tenant gets its baseline; minSamples is how
	// many requests the short profile must be based on to detect a change.
	warmupWindows = 16
	minSamples    = 40
	// confirmWindows is in how many consecutive windows a change must be seen.
	// longFollowShare is by what fraction of TurnInputs.Change the long profile must have moved
	// too.
	confirmWindows  = 2
	longFollowShare = 0.25
	// minStayWindows is how long a placement stays at least. Each move that follows another
	// one within repeatStays times the minimum stay doubles it, up to maxStayFactor times
	// minStayWindows.
	minStayWindows, repeatStays, maxStayFactor = 10, 4, 16
	// settleWindows is the delay between detecting a change and planning a placement, so
	// that the profile shows the whole change; openWindows is for how long after that it
	// may lead to a move.
	settleWindows, openWindows = 2, 4
	// gainMargin is how many times the cost the predicted gain must exceed.
	gainMargin = 2
	// minShareSaved is the minimum fraction of a tenant's long prompts that a move must keep
	// from being sent to another region.
	minShareSaved = 0.15
	// minRegionShare is the minimum fraction of a tenant's callers for which a region gets
	// owners of its own.
	minRegionShare = 0.25
	// maxUtilization is the maximum fraction of a region's request slots, prefix cache and
	// prefill capacity that placed tenants may use.
	maxUtilization = 0.5
	// prefillRate is the assumed prefill throughput of a replica in tokens per second while
	// it also decodes other requests. maxOwnerUtilization caps the predicted utilization of
	// an owner.
	prefillRate, maxOwnerUtilization = 35000.0, 0.95
	// fullReplicaDelayMs is what a full replica adds to the time to first token, in ms.
	fullReplicaDelayMs = 64.0
	// maxOwners is the maximum number of owners of a hot prefix.
	maxOwners = 4
	// blindTurns is for how many turns a new watch detects no changes, as it may not have
	// the reports of all daemons yet. minReporterShare is the fraction of a region's usual
	// data daemons whose reports a turn needs to count. After maxIncompleteTurns turns in a
	// row without them, the lower number of daemons is accepted as the usual one.
	blindTurns, minReporterShare, maxIncompleteTurns = 4, 0.75, 20
	// idleRate is the rate in requests per second below which a tenant is forgotten.
	idleRate = 0.01
)

// Capacity describes the capacity of a region's replicas of a model.
type Capacity struct {
	// Replicas is the number of replicas that may get requests for the model.
	Replicas int
	// Slots is the number of request slots, and Cache the prefix cache in tokens, of one
	// replica; a Cache of zero is not checked.
	Slots, Cache int
}

// TurnInputs has the inputs of a turn.
//
// Invariant: Now never decreases from one turn of a watch to the next.
type TurnInputs struct {
	Now, Window time.Duration
	// Term is the leader's term.
	Term uint64
	// Capacities has the replicas by model and region.
	Capacities map[string]map[string]Capacity
	// Homes returns the regions that may serve a tenant, or none if the tenant has no route.
	Homes func(tenant string) []string
	// Costs in ms of waiting: RemoteMs of the network path to another region, RemoteKBMs of each KB
	// sent on it, and RecomputeMs of prefilling a thousand shared tokens again.
	RemoteMs, RemoteKBMs, RecomputeMs float64
	// Change is the distance from its baseline at which a tenant counts as changed. Budget
	// is the fraction of all prompt tokens that moves may cause to be prefilled again.
	Change, Budget float64
}

// Notice is a change that a turn detected or planned, with its figures, for the log.
type Notice struct {
	Tenant, Event, Reason string
	// Distance is how far the traffic is from its baseline. Gain, over the minimum stay of
	// the placement, and Cost are in ms of waiting. Tokens is how many tokens have to be
	// prefilled again.
	Distance, Gain, Cost, Tokens float64
	From, To                     []string
	// Part is how many partitions have moved.
	Part int
}

// tenantState is what the planner knows of one tenant.
type tenantState struct {
	// short and long are moving averages that follow changes quickly and slowly.
	short, long *Profile
	// baseline is the profile when a change was last detected, or at the end of the warm-up.
	// previousBaseline is the one before it while the change has not led to a move yet: it
	// is what Baselines hands over, so that the next leader detects the change too.
	baseline, previousBaseline *Profile
	// windows is for how many windows the tenant has been tracked.
	windows int
	// changedWindows is in how many consecutive windows the tenant seemed changed. openFrom
	// and openUntil are the first and last turn in which a detected change may lead to a
	// move; openUntil is zero if there is none.
	changedWindows      int
	openFrom, openUntil int
	// movedAt is when the placement last changed, minStay for how long it then stays.
	movedAt, minStay time.Duration
}

// Planner is the leader's table of tenants. It detects changes of their traffic and plans
// and advances moves.
//
// Invariants: it tracks at most MaxTracked tenants. tokenBudget is a token bucket that never
// holds more than what TurnInputs.Budget allows in a minimum stay, and moves never exceed it. No
// placement changes twice within its minimum stay, and a placement that existed when the
// planner began does not change within the first one.
type Planner struct {
	tenants     map[string]*tenantState
	lastTurn    time.Duration
	tokenBudget float64
	turn        int
	// usualReporters is the usual number of data daemons, by region, whose reports arrive;
	// incompleteTurns is in how many consecutive turns too few did.
	usualReporters  map[string]float64
	incompleteTurns int
}

// NewPlanner returns a planner that starts with the baselines of the previous leader, as
// returned by Baselines.
func NewPlanner(now time.Duration, baselines []Profile) *Planner {
	planner := &Planner{tenants: map[string]*tenantState{}, lastTurn: now, usualReporters: map[string]float64{}}
	for _, profile := range baselines[:min(len(baselines), MaxTracked)] {
		if profile.Rates != nil {
			planner.tenants[profile.Tenant] = &tenantState{short: profile.clone(), long: profile.clone(), baseline: profile.clone(), movedAt: now}
		}
	}
	return planner
}

// Baselines returns the tenants' baselines, which the next leader needs.
func (planner *Planner) Baselines() (out []Profile) {
	for _, name := range planner.names() {
		switch state := planner.tenants[name]; {
		case state.openUntil > 0 && state.previousBaseline != nil:
			out = append(out, *state.previousBaseline)
		case state.baseline != nil:
			out = append(out, *state.baseline)
		}
	}
	return out
}

// TenantStatus is the state of a tenant as shown to operators. Distance is how far Short is from
// the baseline and By the dimension that differs most; IsKnown reports whether there is a
// baseline.
type TenantStatus struct {
	Tenant   string
	Short    Profile
	Long     Profile
	Distance float64
	By       string
	IsKnown  bool
}

// Statuses returns the state of all tenants, heaviest first.
func (planner *Planner) Statuses() (out []TenantStatus) {
	for _, name := range planner.names() {
		state := planner.tenants[name]
		status := TenantStatus{Tenant: name, Short: *state.short.clone(), Long: *state.long.clone(), IsKnown: state.baseline != nil}
		if state.baseline != nil {
			status.Distance, status.By = Distance(state.baseline, state.short)
		}
		out = append(out, status)
	}
	return out
}

// names returns the names of the tenants, heaviest first.
func (planner *Planner) names() []string {
	names := slices.Sorted(maps.Keys(planner.tenants))
	sort.SliceStable(names, func(a, b int) bool { return planner.tenants[names[a]].weight() > planner.tenants[names[b]].weight() })
	return names
}

// weight returns the tenant's prompt and answer tokens per second.
func (state *tenantState) weight() float64 { return state.long.Prompt + state.long.Answer }

// Step processes the totals of a window. It returns the next placements and what it
// detected and changed.
func (planner *Planner) Step(scene TurnInputs, totals Totals, placements Placements) (next Placements, notices []Notice) {
	planner.turn++
	span := scene.Now - planner.lastTurn
	planner.lastTurn = scene.Now
	isComplete := planner.isComplete(totals.Reporters)
	if isComplete {
		planner.update(scene, buildProfiles(totals.Tallies), span)
	}
	minStay := minStayWindows * scene.Window
	tokenRate := 0.0
	for _, state := range planner.tenants {
		tokenRate += state.long.Prompt
	}
	planner.tokenBudget = min(planner.tokenBudget+scene.Budget*tokenRate*span.Seconds(), scene.Budget*tokenRate*minStay.Seconds())
	next = Placements{Duty: scene.Term}
	for _, placement := range placements.Placed {
		if placement.Pinned || len(scene.Homes(placement.Tenant)) > 0 {
			next.Placed = append(next.Placed, placement)
		} else {
			notices = append(notices, Notice{Tenant: placement.Tenant, Event: "no longer has a route", From: placement.Now})
		}
	}
	for _, name := range planner.names() {
		state := planner.tenants[name]
		if state.minStay < minStay {
			state.minStay = minStay
		}
		if isComplete {
			if notice, isNoticed := state.detect(scene, planner.turn); isNoticed {
				notices = append(notices, notice)
			}
		}
		current := Placement{Tenant: name}
		if found := next.Find(name); found != nil {
			current = *found
		}
		if current.Pinned {
			continue
		}
		plan := plan{scene: scene, profile: state.short, placement: current, otherLoads: planner.otherLoads(scene, next, name), minStay: state.minStay}
		switch {
		case current.Moving:
			current, notices = planner.advance(plan, state, notices)
		case !isComplete || state.openUntil == 0 || planner.turn < state.openFrom || state.movedAt > 0 && scene.Now-state.movedAt < state.minStay:
			continue
		default:
			current, notices = planner.start(plan, state, notices)
		}
		if len(next.Placed) < MaxTracked || next.Find(name) != nil {
			next = next.With(current)
		}
	}
	// Moves of tenants without traffic finish at once, as no tokens have to be prefilled
	// again.
	for _, placement := range slices.Clone(next.Placed) {
		if placement.Moving && planner.tenants[placement.Tenant] == nil && planner.turn > warmupWindows {
			placement.Part = Parts
			if placement.Back {
				placement.Part = 0
			}
			next = next.With(placement.finished())
			notices = append(notices, Notice{Tenant: placement.Tenant, Event: "has moved", From: placement.Now, To: placement.Next, Part: Parts, Reason: "the tenant is idle"})
		}
	}
	return next, notices
}

// isComplete reports whether enough data daemons of every region have reported. Without
// this check, a region that is cut off from the leader, or whose control daemon is down,
// would seem to have lost its callers.
func (planner *Planner) isComplete(reporters map[string]int) bool {
	isIncomplete := false
	for region, usualCount := range planner.usualReporters {
		isIncomplete = isIncomplete || float64(reporters[region]) < minReporterShare*usualCount
	}
	if isIncomplete && planner.incompleteTurns < maxIncompleteTurns {
		planner.incompleteTurns++
		return false
	}
	if isIncomplete {
		planner.usualReporters = map[string]float64{}
	}
	planner.incompleteTurns = 0
	for region, count := range reporters {
		if usualCount, known := planner.usualReporters[region]; known {
			planner.usualReporters[region] = usualCount + (float64(count)-usualCount)/4
		} else {
			planner.usualReporters[region] = float64(count)
		}
	}
	return true
}

// update blends the fresh profiles into the table and drops tenants that are idle, have no
// route, or are the lightest beyond MaxTracked.
func (planner *Planner) update(scene TurnInputs, fresh map[string]*Profile, span time.Duration) {
	for name, profile := range fresh {
		if planner.tenants[name] == nil {
			planner.tenants[name] = &tenantState{short: profile.clone(), long: profile.clone()}
		}
	}
	for name, state := range planner.tenants {
		current := fresh[name]
		if current == nil {
			current = &Profile{Tenant: name, Model: state.short.Model}
		}
		state.windows++
		state.short.blend(current, max(shortWeight, 1/float64(state.windows)), span)
		state.long.blend(current, max(longWeight, 1/float64(state.windows)), span)
		if len(scene.Homes(name)) == 0 || state.long.Rate() < idleRate {
			delete(planner.tenants, name)
		}
	}
	names := planner.names()
	for _, name := range names[min(len(names), MaxTracked):] {
		delete(planner.tenants, name)
	}
}

// detect compares the tenant's profiles with its baseline. If they have changed, it makes
// the short profile the new baseline and opens the turns in which the tenant may move.
func (state *tenantState) detect(scene TurnInputs, turn int) (notice Notice, isNoticed bool) {
	if state.openUntil > 0 && turn > state.openUntil && scene.Now-state.movedAt >= state.minStay {
		state.openUntil, state.previousBaseline = 0, nil
	}
	if state.baseline == nil {
		if state.windows >= warmupWindows {
			state.baseline = state.long.clone()
		}
		return notice, false
	}
	samples := state.short.Rate() * scene.Window.Seconds() * (2 - shortWeight) / shortWeight
	short, by := Distance(state.baseline, state.short)
	long, _ := Distance(state.baseline, state.long)
	if turn <= blindTurns || samples < minSamples || short < scene.Change+noiseMargin(samples) || long < longFollowShare*scene.Change {
		state.changedWindows = 0
		return notice, false
	}
	if state.changedWindows++; state.changedWindows < confirmWindows {
		return notice, false
	}
	notice = Notice{Tenant: state.short.Tenant, Event: "has changed", Distance: short, Reason: fmt.Sprintf("%s; %s, was %s", by, state.short, state.baseline)}
	if state.openUntil == 0 {
		state.previousBaseline = state.baseline
	}
	state.changedWindows, state.baseline = 0, state.short.clone()
	state.openFrom = turn + settleWindows
	state.openUntil = state.openFrom + openWindows
	if state.movedAt > 0 {
		state.openUntil = max(state.openUntil, turn+openWindows+int(max(0, state.movedAt+state.minStay-scene.Now)/scene.Window))
	}
	return notice, true
}

// String returns the profile's main figures. Stored placements contain it in their reason.
func (profile *Profile) String() string {
	var shares []string
	for _, region := range slices.Sorted(maps.Keys(profile.Rates)) {
		shares = append(shares, fmt.Sprintf("%s %.0f%%", region, 100*profile.Share(region)))
	}
	return fmt.Sprintf("%.1f/s from %s, prompts of %.0f tokens, %.0f shared, answers of %.0f, %.0f ms each", profile.Rate(), strings.Join(shares, " "), divide(profile.Prompt, profile.Rate()), divide(profile.Shared, profile.Keyed), divide(profile.Answer, profile.Rate()), divide(profile.Held, profile.Ended))
}

// start plans a new placement for a tenant whose traffic has changed.
func (planner *Planner) start(plan plan, state *tenantState, notices []Notice) (Placement, []Notice) {
	current := plan.placement
	next, notice := plan.best()
	// A move draws on the token budget as its partitions move, any other change at once.
	if notice.Event == "" || !next.Moving && notice.Tokens > planner.tokenBudget {
		return current, notices
	}
	if !next.Moving {
		planner.tokenBudget -= notice.Tokens
	}
	if state.movedAt > 0 && plan.scene.Now-state.movedAt < repeatStays*state.minStay {
		state.minStay = min(2*state.minStay, maxStayFactor*minStayWindows*plan.scene.Window)
	} else {
		state.minStay = minStayWindows * plan.scene.Window
	}
	state.previousBaseline = nil
	planner.markMoved(state, plan.scene)
	return next, append(notices, notice)
}

// markMoved records that the placement has changed. It then stays for the minimum stay and
// may change in the openWindows turns after that.
func (planner *Planner) markMoved(state *tenantState, scene TurnInputs) {
	state.movedAt = scene.Now
	state.openUntil = planner.turn + int(state.minStay/scene.Window) + openWindows
}

// advance moves as many more partitions as the token budget allows, forward or back.
func (planner *Planner) advance(plan plan, state *tenantState, notices []Notice) (Placement, []Notice) {
	current := plan.placement
	planner.markMoved(state, plan.scene)
	if !current.Back && state.windows > confirmWindows {
		// Roll the move back if it no longer gains anything. The cost is left out, as that of
		// the partitions moved so far is already spent.
		if gain := plan.gain(current.Now, current.Next); gain <= 0 {
			current.Back = true
			notices = append(notices, Notice{Tenant: current.Tenant, Event: "starts to move back", Reason: "the move no longer gains anything; " + plan.profile.String(), Gain: gain, From: current.Next, To: current.Now, Part: current.Part})
		}
	}
	tokens := plan.recomputedTokens(current.Now, current.Next)
	if current.Back {
		tokens = plan.recomputedTokens(current.Next, current.Now)
	}
	parts := Parts
	if tokens > 0 {
		parts = int(planner.tokenBudget / tokens * Parts)
	}
	if parts <= 0 {
		return current, notices
	}
	previous := current.Part
	if current.Back {
		current.Part = max(0, current.Part-parts)
	} else {
		current.Part = min(Parts, current.Part+parts)
	}
	planner.tokenBudget -= tokens * math.Abs(float64(current.Part-previous)) / Parts
	notice := Notice{Tenant: current.Tenant, Event: "moves", Tokens: tokens * math.Abs(float64(current.Part-previous)) / Parts, From: current.Now, To: current.Next, Part: current.Part}
	if finished := current.finished(); !finished.Moving {
		current, notice.Event = finished, "has moved"
		if notice.Part == 0 {
			notice.Event = "is back"
		}
	}
	return current, append(notices, notice)
}

// finished returns the placement with its move completed if all partitions have moved, or
// cleared if all are back; otherwise it returns the placement unchanged.
func (placement Placement) finished() Placement {
	switch {
	case placement.Part >= Parts && !placement.Back:
		placement.Now = placement.Next
	case placement.Part > 0 || !placement.Back:
		return placement
	}
	placement.Next, placement.Moving, placement.Part, placement.Back = nil, false, 0, false
	return placement
}
