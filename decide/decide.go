// Package decide is asked what may become of a request: allowed or declined,
// and which replica gets it. It decides; package execute obeys.
package decide

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/replica"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/tenant"
	"swifttiller/verdict"
	"swifttiller/wire"
)

// Call is one request of a caller, as its headers tell; none of it points into
// a handler's buffers.
type Call struct {
	ID, Ticket        string
	Model, Kind, Home string
	Path              string
	// Retried is the caller's own word that it asked before.
	Retried bool
	// Patience is how long the caller wants to wait for a replica; 0: as long
	// as the settings allow.
	Patience time.Duration
	// Bytes and Answer are what the cost is reckoned from; Prefix is the hash of
	// the prompt's beginning.
	Bytes, Answer int
	Prefix        uint64

	retry  bool // as recognised
	barred *ticketKey
	bound  string // the placement's own home, which binds beside the caller's
}

// Selection is where a dispatch goes.
type Selection struct {
	Replica, Address, Version string
	Boot                      string
	Region                    string
	Serial                    uint64
	Cost                      int
	Trial, Spill, Affine      bool
	// Foreseen is the time to the first piece that a routed request was sent for.
	Foreseen time.Duration
	// Vouched is when the replica had last shown that it is alive.
	Vouched time.Duration
	// Doubted tells that the region seems to be out of reach, and this one tries it.
	Doubted bool

	routed   *Routed
	choice   *Choice // nil where nobody asks
	seat     *engine
	unread   int
	sent     time.Duration
	hasBegun bool
	// isFlowing is from the first piece on.
	isFlowing bool
	// isLate tells that it was counted as overdue, isCold that its replica was cold.
	isLate, isCold bool
	// Allowance is what is known beforehand to pass before the first piece on top of
	// what is usual, such as the reading of what the replica does not keep; it is held
	// against nobody.
	Allowance time.Duration
	call      *Call
}

// Options of a decider.
type Options struct {
	World  loop.World
	Net    wire.Net
	Holder func() *permit.View
	Self   session.Member
	// Began is when this incarnation started, on the world's clock.
	Began time.Duration
	// Quota, if set, counts tenants' requests against their limits.
	Quota Quota
	// Traced, if set, gets the choice behind every dispatch of a routed request once that
	// has ended.
	Traced func(Choice)
}

// Quota is asked for each request of a tenant.
type Quota interface {
	// Ask tells whether it is within the tenant's limit, and when the next one may be.
	Ask(tenant string) (comeBack time.Duration, isAllowed bool)
	// Return gives back one that was, and has not run.
	Return(tenant string)
}

type use struct {
	units int
	rows  map[standing.Held]int
}

type suspect struct {
	until  time.Duration
	region string
}

type waiter struct {
	box   loop.Mailbox
	model string
	cost  int
}

// Decider holds a data daemon's tables.
//
// Lock order: guard alone; nothing waits under it.
// Invariants: uses[r].units is the summed cost of this daemon's running
// dispatches at r, and a new one is let in only while that sum stays within the
// credit of the view at hand.
type Decider struct {
	Options
	guard   sync.Mutex
	uses    map[string]*use
	queue   []*waiter
	stopped bool
	came    time.Duration // when the last request was let in, in the world's uptime
	budget  budget
	// repeats are the budgets of routed requests, by model: each has only what its own
	// demand allows.
	repeats map[string]*budget
	judging judging
	window  window
	demand  map[string]*flow
	// released is the smoothed rate of freed cost units per second, by model.
	released map[string]*flow
	// suspects are replicas whose connections broke, and until when to leave
	// them alone: by then a standing that is kept up to date shows whether they
	// started anew, cold.
	suspects map[string]suspect
	// fullUntil are replicas that turned a request away, as they had enough.
	fullUntil map[string]time.Duration
	// past are lives of replicas that are over, as a new connection has shown, which
	// the standing may show yet.
	past map[string]string
	// wary is until when replicas that showed no life of late are avoided.
	wary    time.Duration
	counts  Counts
	tickets tickets
	// engines are this daemon's knowledge of replicas, by id, for routed requests;
	// readRate is how fast they read prompts, zero until learned.
	engines map[string]*engine
	ways    map[string]*way // to other regions, by region
	// tried is when a region's replicas were last tried that can't be reached.
	tried map[string]time.Duration
	// lacks is since when no replica is in sight for a route, by its name.
	lacks map[string]time.Duration
	// wanted is when a request last found a replica paced only as nobody keeps its standing.
	wanted   time.Duration
	readRate float64
	// base is what the first piece takes whatever the prompt, as learned.
	base time.Duration
	// digests are of the standings that were reported on last, by region.
	digests map[string]*digest
	// tenants counts what is to be told of heavy tenants.
	tenants tenant.Counter
}

// Counts are what operators watch.
type Counts struct {
	Demanded, Retries, Allowed, Redispatches uint64
	Dispatches, Trials, Spilled, Affine      uint64
	Declined                                 map[string]uint64
	located                                  uint64
}

// New makes a decider.
func New(options Options) *Decider {
	decider := &Decider{Options: options, uses: map[string]*use{}, judging: newJudging(), demand: map[string]*flow{}, released: map[string]*flow{}, suspects: map[string]suspect{}, fullUntil: map[string]time.Duration{}, past: map[string]string{}, engines: map[string]*engine{}, ways: map[string]*way{}, tried: map[string]time.Duration{}, lacks: map[string]time.Duration{}, repeats: map[string]*budget{}, digests: map[string]*digest{}}
	decider.counts.Declined = map[string]uint64{}
	decider.window.totals = map[standing.Outcome]standing.Outcome{}
	decider.tickets.init()
	return decider
}

func (decider *Decider) decline(status int, code, message string, comeBack time.Duration) *verdict.Mishap {
	decider.counts.Declined[code]++
	return verdict.Decline(status, code, message, comeBack)
}

// Allow says whether the request may go on at all: by what the headers tell,
// before any of the body is read.
//
// The ticket is settled before anything else is looked at: a decline that says
// not_run speaks of the request and not only of this try, so it may be given only
// once it is known here that no other try of it runs or ran.
func (decider *Decider) Allow(call *Call) *verdict.Mishap {
	if mishap := decider.named(call); mishap != nil {
		return mishap
	}
	if mishap := decider.settle(call); mishap != nil {
		return mishap
	}
	mishap := decider.place(decider.Holder(), call)
	if mishap == nil {
		mishap = decider.afford(decider.Holder(), call)
	}
	if mishap != nil {
		decider.Settled(call, mishap)
	}
	return mishap
}

// named checks the headers that say which request this is.
func (decider *Decider) named(call *Call) *verdict.Mishap {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	call.retry = call.Retried || decider.tickets.recent(call.ID)
	switch {
	case call.ID == "" || call.Model == "":
		return decider.decline(400, "bad_request", "the headers Swifttiller-Request-Id and Swifttiller-Model are needed", 0)
	case call.Ticket == "":
		// Without one there is no telling whether another try of it ran.
		decider.counts.Declined["ticket_needed"]++
		return &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: "ticket_needed", Status: 428,
			Message: "the header Swifttiller-Ticket is needed: this try was not run, and without the ticket it can't be known whether another was; ask /v1/locate before the first try and keep its ticket for all of them"}
	}
	return nil
}

// afford draws a retry on the budget, or counts real demand.
//
// Invariant: over every span of budgetSpan that ends with a retry let in, those
// let in (and our own redispatches) are at most retry_share of the demand, and
// one more while nothing else was let in.
func (decider *Decider) afford(view *permit.View, call *Call) *verdict.Mishap {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	if !call.retry {
		decider.counts.Demanded++
		decider.budget.count(decider.World.Now()).fresh++
		return nil
	}
	decider.counts.Retries++
	if !decider.spend(view, &decider.budget) {
		return decider.decline(429, "retry_budget", "too many retries for the real demand; come back later", comeBackAfter(view))
	}
	decider.counts.Allowed++
	return nil
}

// spend takes one retry from the budget, if there is one.
func (decider *Decider) spend(view *permit.View, budget *budget) bool {
	now := decider.World.Now()
	fresh, again := budget.sums(now)
	if again > 0 && float64(again+1) > view.Tree.Limit("retry_share", decider.Self.Zone)*float64(fresh) {
		return false
	}
	budget.count(now).again++
	return true
}

// comeBackAfter is when a declined retry may be worth another.
func comeBackAfter(view *permit.View) time.Duration {
	return max(time.Second, view.Tree.Span("queue_ms", ""))
}

// place checks everything that depends on where the daemon is.
func (decider *Decider) place(view *permit.View, call *Call) *verdict.Mishap {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	if mishap := decider.serving(view); mishap != nil {
		return mishap
	}
	placement, placed := view.Tree.Placement(call.Model, decider.Self.Zone)
	if !placed {
		return decider.decline(404, "no_model", fmt.Sprintf("model %q is not placed here", call.Model), 0)
	}
	for _, tag := range []string{call.Home, placement.Home} {
		if !view.Tree.Allowed(tag, decider.Self.Region) {
			return decider.decline(421, "outside_home", fmt.Sprintf("home %q does not include region %s; locate again", tag, decider.Self.Region), 0)
		}
	}
	call.bound = placement.Home
	if call.Home == "" {
		call.Home = placement.Home
	}
	decider.came = decider.World.Now()
	return nil
}

func (decider *Decider) serving(view *permit.View) *verdict.Mishap {
	switch {
	case decider.stopped:
		return decider.decline(503, "stopping", "this daemon is about to stop; locate another", time.Second)
	case !view.Stands(decider.World.Now()):
		return decider.decline(503, "no_permit", "this daemon has no permit to serve; try another", time.Second)
	case view.Evacuated[decider.Self.Zone]:
		return decider.decline(503, "evacuated", "this daemon's zone is evacuated; locate another", time.Second)
	}
	return nil
}

// Gate is asked at the last moment before bytes go to a replica. It gives the
// serial of the configuration that the dispatch is made under.
func (decider *Decider) Gate(selection *Selection) (uint64, *verdict.Mishap) {
	view := decider.Holder()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	// A stop lets in what was allowed before it; a lost permit does not.
	stands := view.Stands(decider.World.Now()) || selection.routed != nil && view.Serves(decider.World.Now())
	if !stands {
		return 0, decider.decline(503, "no_permit", "the permit ran out before the dispatch", time.Second)
	}
	if row, _ := find(view, selection); row == nil {
		return 0, decider.decline(503, "moved_on", "the replica is no longer to be used", 0)
	}
	selection.Serial = view.Serial
	if selection.seat != nil {
		selection.seat.isUnreached = false // its connection stands
	}
	return view.Serial, nil
}

// find looks a selection up in a view: nil when it is no longer to be used.
func find(view *permit.View, selection *Selection) (*standing.Row, *standing.Place) {
	one, known := view.Standings[selection.Region]
	if !known {
		return nil, nil
	}
	for at := range one.Places {
		place := &one.Places[at]
		if place.ID != selection.Replica || view.Evacuated[place.Zone] {
			continue
		}
		for index := range one.Rows {
			row := &one.Rows[index]
			if row.Replica == selection.Replica && row.Model == selection.call.Model && row.Version == selection.Version {
				return row, place
			}
		}
	}
	return nil, nil
}

type candidate struct {
	row    standing.Row
	place  *standing.Place
	credit int
	units  int
	home   bool // in this daemon's region
}

// candidates lists the rows that the call may use under the view.
func (decider *Decider) candidates(view *permit.View, call *Call, avoid map[string]bool) (out []candidate) {
	now := decider.World.Now()
	for name, one := range decider.suspects {
		if now >= one.until && view.Kept[one.region] >= one.until-view.Tree.Span("permit_ms", "")/2 {
			delete(decider.suspects, name)
		}
	}
	for name, until := range decider.fullUntil {
		if now >= until {
			delete(decider.fullUntil, name)
		}
	}
	for _, region := range view.Tree.Regions() {
		one, known := view.Standings[region]
		if !known || !call.within(view, region) {
			continue
		}
		index := map[string]*standing.Place{}
		for at := range one.Places {
			place := &one.Places[at]
			index[place.ID] = place
			if past, known := decider.past[place.ID]; known && past != place.Boot {
				delete(decider.past, place.ID)
			}
		}
		isWatched, fails := decider.watched(view, region, call.Model) != "", decider.fails(view, region, call.Model)
		for _, row := range one.Rows {
			place := index[row.Replica]
			if row.Back != fails && (row.Back || isWatched) {
				continue
			}
			if row.Model != call.Model || place == nil || view.Evacuated[place.Zone] || avoid[row.Replica] || decider.suspects[row.Replica].until > 0 || decider.fullUntil[row.Replica] > 0 || denies(row, call.Kind) {
				continue
			}
			if _, isPast := decider.past[row.Replica]; isPast {
				continue
			}
			if credit := place.Credits[decider.Self.Name]; credit > 0 {
				units := 0
				if used := decider.uses[row.Replica]; used != nil {
					units = used.units
				}
				out = append(out, candidate{row, place, credit, units, region == decider.Self.Region})
			}
		}
	}
	return out
}

func denies(row standing.Row, kind string) bool {
	for _, denied := range row.Deny {
		if denied == kind {
			return true
		}
	}
	return false
}

// Cost is what a call weighs.
func Cost(tree *settings.Tree, zone string, call *Call) int {
	cost := 1 + call.Bytes/int(tree.Limit("prompt_unit_bytes", zone)) + call.Answer/int(tree.Limit("answer_unit_tokens", zone))
	return min(cost, standing.Heaviest)
}

// Select gives a replica to an allowed call, waiting in the queue if it must.
// What it gives must be handed back by Release.
func (decider *Decider) Select(call *Call, avoid map[string]bool) (*Selection, *verdict.Mishap) {
	began := decider.World.Now()
	var mine *waiter
	leave := func() {
		if mine == nil {
			return
		}
		for index, one := range decider.queue {
			if one == mine {
				decider.queue = append(decider.queue[:index:index], decider.queue[index+1:]...)
				return
			}
		}
	}
	for {
		decider.guard.Lock()
		view := decider.Holder()
		now := decider.World.Now()
		if !view.Stands(now) {
			mishap := decider.decline(503, "no_permit", "this daemon has no permit to serve; try another", time.Second)
			leave()
			decider.guard.Unlock()
			return nil, mishap
		}
		bound := view.Tree.Span("queue_ms", decider.Self.Zone)
		if call.Patience > 0 {
			bound = min(bound, call.Patience)
		}
		cost := Cost(view.Tree, decider.Self.Zone, call)
		list := decider.candidates(view, call, avoid)
		if mine == nil {
			decider.flow(decider.demand, call.Model).add(now, float64(cost))
		}
		late := now-began > bound/4 || decider.wait(call.Model, cost) > bound/2
		if selection := decider.pick(view, call, list, cost, late); selection != nil {
			leave()
			decider.guard.Unlock()
			return selection, nil
		}
		if mine == nil {
			var mishap *verdict.Mishap
			switch {
			case len(list) == 0 && !decider.served(view, call):
				mishap = decider.decline(503, "no_replica", "no replica can serve this now", comeBackAfter(view))
			case len(decider.queue) >= int(view.Tree.Limit("queue_length", decider.Self.Zone)):
				mishap = decider.decline(503, "queue_full", "the queue is full", comeBackAfter(view))
			case decider.wait(call.Model, cost) > bound:
				mishap = decider.decline(503, "too_late", "the queue would outlast the time allowed", max(time.Second, decider.wait(call.Model, cost)))
			}
			if mishap != nil {
				decider.guard.Unlock()
				return nil, mishap
			}
			mine = &waiter{box: decider.World.Mailbox(), model: call.Model, cost: cost}
			decider.queue = append(decider.queue, mine)
		}
		if now-began >= bound {
			mishap := decider.decline(503, "too_late", "no replica became free in time", comeBackAfter(view))
			leave()
			decider.guard.Unlock()
			return nil, mishap
		}
		decider.guard.Unlock()
		// Woken by a release or a new view; a quarter of the bound at the most,
		// as then another region may be asked.
		mine.box.Take(min(began+bound-now, bound/4))
	}
}

// within tells whether the call may be in the region, by all homes that bind it.
func (call *Call) within(view *permit.View, region string) bool {
	return view.Tree.Allowed(call.Home, region) && view.Tree.Allowed(call.bound, region)
}

// served tells whether any row anywhere would do for the call, credits aside.
func (decider *Decider) served(view *permit.View, call *Call) bool {
	for _, region := range view.Tree.Regions() {
		if !call.within(view, region) {
			continue
		}
		one := view.Standings[region]
		placed := places{list: one.Places}
		for _, row := range one.Rows {
			if place := placed.of(row.Replica); row.Model == call.Model && !denies(row, call.Kind) && place != nil && !view.Evacuated[place.Zone] {
				return true
			}
		}
	}
	return false
}

// wait estimates how long a newcomer would queue.
func (decider *Decider) wait(model string, cost int) time.Duration {
	ahead := 0
	for _, one := range decider.queue {
		if one.model == model {
			ahead += one.cost
		}
	}
	rate := decider.flow(decider.released, model).rate(decider.World.Now())
	if ahead == 0 || rate < 0.5 {
		return 0 // nothing is known; the queue's own bounds hold
	}
	return time.Duration(float64(ahead+cost) / rate * float64(time.Second))
}

// pick selects among candidates with free credit: home before spill, the
// prompt's own replica while it is not much busier than the rest, and else the
// one whose credit is used least.
func (decider *Decider) pick(view *permit.View, call *Call, list []candidate, cost int, late bool) *Selection {
	var free []candidate
	anyHome := false
	for _, one := range list {
		anyHome = anyHome || one.home
	}
	most := 0
	for _, one := range list {
		most = max(most, one.credit)
	}
	// A request that outweighs all that this daemon may spend at any replica
	// takes a whole credit, and goes where this daemon has nothing else; to a
	// cold replica only when nobody else may send it anything.
	heavy := cost > most
	for _, one := range list {
		if heavy && (one.units > 0 || one.place.Warm < 1 && !one.place.Alone(decider.Self.Name)) {
			continue
		}
		if !heavy && one.units+cost > one.credit || !one.home && anyHome && !late {
			continue
		}
		free = append(free, one)
	}
	free = decider.trial(view, call, free)
	if len(free) == 0 {
		return nil
	}
	best := func(home bool) (candidate, bool, bool) {
		var group []candidate
		total, credit := 0, 0
		for _, one := range list {
			if one.home == home {
				total += one.units
				credit += one.credit
			}
		}
		for _, one := range free {
			if one.home == home {
				group = append(group, one)
			}
		}
		if len(group) == 0 {
			return candidate{}, false, false
		}
		if group[0].row.Trial && decider.holdsAny(view, call.Model) {
			return slices.MaxFunc(group, func(a, b candidate) int {
				return cmp.Compare(trialRank(a.row.Model, a.row.Version, a.row.Replica), trialRank(b.row.Model, b.row.Version, b.row.Replica))
			}), false, true
		}
		sort.Slice(group, func(a, b int) bool {
			x, y := score(call.Prefix, group[a].row.Replica), score(call.Prefix, group[b].row.Replica)
			return x > y || x == y && group[a].row.Version < group[b].row.Version
		})
		if slack := view.Tree.Limit("affinity_slack", decider.Self.Zone); call.Prefix != 0 && slack > 0 {
			for _, one := range group {
				even := float64(total+cost) * float64(one.credit) / float64(max(1, credit))
				if float64(one.units+cost) <= max(slack*even, float64(one.credit)/2) {
					return one, true, true
				}
				break // only the prompt's own replica counts as warm
			}
		}
		least := group[0]
		for _, one := range group[1:] {
			if (one.units+cost)*least.credit < (least.units+cost)*one.credit {
				least = one
			}
		}
		return least, false, true
	}
	one, affine, ok := best(true)
	if !ok {
		if one, affine, ok = best(false); !ok {
			return nil
		}
	}
	selection := &Selection{Replica: one.row.Replica, Address: one.place.Address, Version: one.row.Version, Boot: one.place.Boot, Region: one.place.Region, Serial: view.Serial, Cost: cost, Trial: one.row.Trial, Spill: !one.home, Affine: affine, call: call}
	decider.dispatched(view, selection)
	return selection
}

// dispatched counts a selection that is about to be given out.
func (decider *Decider) dispatched(view *permit.View, selection *Selection) {
	decider.occupy(selection, 1)
	decider.counts.Dispatches++
	decider.accrue(view, selection)
	decider.judging.waiting[selection] = decider.World.Now()
	if selection.Trial {
		decider.counts.Trials++
	}
	if selection.Spill {
		decider.counts.Spilled++
	}
	if selection.Affine {
		decider.counts.Affine++
	}
}

// score is the rendezvous weight of a prompt's beginning at a replica.
func score(prefix uint64, name string) uint64 {
	// The FNV-1a sum of "%x/%s" of both, without writing that.
	const offset, prime = 14695981039346656037, 1099511628211
	var digits [17]byte
	value := uint64(offset)
	for _, one := range append(strconv.AppendUint(digits[:0], prefix, 16), '/') {
		value = (value ^ uint64(one)) * prime
	}
	for at := range len(name) {
		value = (value ^ uint64(name[at])) * prime
	}
	return session.Spread(value)
}

// Prefix hashes the beginning of a prompt.
func Prefix(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	sum := fnv.New64a()
	_, _ = sum.Write(prompt[:min(len(prompt), 1024)])
	return sum.Sum64() | 1
}

func (decider *Decider) occupy(selection *Selection, sign int) {
	used := decider.uses[selection.Replica]
	if used == nil {
		used = &use{rows: map[standing.Held]int{}}
		decider.uses[selection.Replica] = used
	}
	held := standing.Held{Replica: selection.Replica, Model: selection.call.Model, Version: selection.Version}
	used.units += sign * selection.Cost
	used.rows[held] += sign
	if used.rows[held] == 0 {
		delete(used.rows, held)
	}
	if used.units == 0 && len(used.rows) == 0 {
		delete(decider.uses, selection.Replica)
	}
}

// Release hands a selection back with what became of it. First is the time to the
// first piece, 0 if there was none.
func (decider *Decider) Release(selection *Selection, mishap *verdict.Mishap, first time.Duration) {
	now := decider.World.Now()
	outcome := standing.Outcome{Replica: selection.Replica, Model: selection.call.Model, Version: selection.Version, Kind: selection.call.Kind, Boot: selection.Boot}
	decider.guard.Lock()
	defer decider.guard.Unlock()
	switch {
	case mishap == nil:
		outcome.OK, outcome.Least = 1, first
		if first > selection.Allowance+decider.overdue(selection) {
			outcome.Late = 1
		}
		if decider.slow(selection, first-selection.Allowance) {
			outcome.Slow = 1
		}
	case mishap.Code == "caller_gone" && !decider.late(selection, now) || mishap.Code == "no_permit" || mishap.Code == "moved_on" || mishap.Code == "replica_rejected":
		// Says nothing about the replica.
	case mishap.Code == replica.AnewCode:
		decider.past[selection.Replica] = selection.Boot
	case mishap.Code == "replica_unreached":
		outcome.Unreached = 1
	case mishap.Code == "replica_declined":
		// Only this word is the replica's; 503 may have other reasons.
		if mishap.ComeBack > 0 {
			outcome.Full = 1
		}
	default:
		outcome.Mishaps = 1
	}
	if mishap != nil && mishap.Verdict == verdict.NotRun {
		decider.refund(decider.Holder(), selection)
	}
	delete(decider.judging.waiting, selection)
	if outcome.OK > 0 && outcome.Late == 0 && !(selection.Trial && outcome.Slow > 0) {
		decider.learn(selection, max(0, first-selection.Allowance))
	}
	decider.occupy(selection, -1)
	decider.flow(decider.released, selection.call.Model).add(now, float64(selection.Cost))
	if outcome.Full > 0 {
		// Left alone for a tick, in which the standing learns of it too.
		if view := decider.Holder(); view.Tree != nil {
			decider.fullUntil[selection.Replica] = now + standing.Tick(view.Tree.Span("permit_ms", ""))
		}
	}
	if mishap != nil && (mishap.Code == "replica_unreached" || mishap.Code == "replica_cut" || mishap.Code == "cut") {
		if view := decider.Holder(); view.Tree != nil {
			decider.suspects[selection.Replica] = suspect{now + view.Tree.Span("dark_ms", decider.Self.Zone) + view.Tree.Span("permit_ms", "")/2, selection.Region}
		}
	}
	decider.window.add(now, outcome, selection.Region)
	for _, one := range decider.queue {
		one.box.Put(nil)
	}
}

// Redispatch tells whether a dispatch that did not run may be tried again; it
// costs a retry.
func (decider *Decider) Redispatch() bool {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	view := decider.Holder()
	if view.Tree == nil || !decider.spend(view, &decider.budget) {
		return false
	}
	decider.counts.Redispatches++
	return true
}

// Wake lets all that wait look at a new view.
func (decider *Decider) Wake() {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	for _, one := range decider.queue {
		one.box.Put(nil)
	}
}

// Stop declines whatever comes from now on; what was allowed goes on.
func (decider *Decider) Stop() {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	decider.stopped = true
}

// Quiet tells for how long no request was let in, in the world's uptime.
func (decider *Decider) Quiet() time.Duration {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	return decider.World.Now() - decider.came
}

// Running tells how many dispatches and waiters there are.
func (decider *Decider) Running() int {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	running := len(decider.queue)
	for _, used := range decider.uses {
		for _, count := range used.rows {
			running += count
		}
	}
	return running
}

// Count gives the counters.
func (decider *Decider) Count() Counts {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	counts := decider.counts
	counts.Declined = map[string]uint64{}
	for code, count := range decider.counts.Declined {
		counts.Declined[code] = count
	}
	return counts
}

// Report says to the standing what this daemon holds and lacks.
func (decider *Decider) Report() standing.Report {
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	// Under the guard, as in Select: what runs by an older standing than the one
	// that is reported is in the report.
	view := decider.Holder()
	report := standing.Report{
		Config: view.Serial, Standing: map[string]uint64{}, Permit: view.Expiry - now, Demand: map[string]float64{}, Overflow: map[string]float64{},
		InFlight: map[string]int{}, Streams: map[standing.Held]int{}, Queue: len(decider.queue),
		Demanded: decider.counts.Demanded, Retries: decider.counts.Retries, Allowed: decider.counts.Allowed + decider.counts.Redispatches, Declined: map[string]uint64{},
	}
	for region, one := range view.Standings {
		report.Standing[region] = one.Serial
	}
	maps.DeleteFunc(decider.digests, func(region string, _ *digest) bool { _, isShown := view.Standings[region]; return !isShown })
	if view.Tree != nil {
		report.Tenants = decider.tenants.Turn(now, view.Tree.Span("tenant_ms", ""))
	}
	for version := range decider.judging.failed {
		report.Failed = append(report.Failed, version)
	}
	slices.SortFunc(report.Failed, func(a, b standing.Held) int { return cmp.Compare(a.Model+"|"+a.Version, b.Model+"|"+b.Version) })
	isSteady := decider.steady(view)
	for _, one := range ordered(decider.recent(now)) {
		if isSteady(one.Model) {
			report.Near = append(report.Near, one)
		} else {
			report.Recent = append(report.Recent, one)
		}
	}
	for _, one := range ordered(decider.totals(now)) {
		if !isSteady(one.Model) {
			report.Total = append(report.Total, one)
		}
	}
	for code, count := range decider.counts.Declined {
		report.Declined[code] = count
	}
	local, here := map[string]float64{}, map[string]bool{}
	if one, known := view.Standings[decider.Self.Region]; known {
		digest := decider.digest(decider.Self.Region, one)
		local, here = digest.credits, digest.here
	}
	held := map[string]float64{}
	away := map[string]float64{}
	for name, used := range decider.uses {
		all, areSteady := 0, len(used.rows) > 0
		for row, count := range used.rows {
			all += count
			areSteady = areSteady && isSteady(row.Model)
		}
		if areSteady {
			continue
		}
		report.InFlight[name] = used.units
		for row, count := range used.rows {
			report.Streams[row] = count
			units := float64(used.units) * float64(count) / float64(all)
			held[row.Model] += units
			if !here[name] {
				away[row.Model] += units
			}
		}
	}
	for _, one := range decider.queue {
		held[one.model] += float64(one.cost)
	}
	for model, flow := range decider.demand {
		if isSteady(model) {
			continue
		}
		// What it holds now, and what comes within a queue's time.
		report.Demand[model] = held[model] + flow.rate(now)*0.25
		if lack := held[model] - local[model]; lack > 0 {
			report.Overflow[model] = max(lack, away[model])
		} else if away[model] > 0 {
			report.Overflow[model] = away[model]
		}
		if local[model] == 0 {
			report.Overflow[model] = max(report.Overflow[model], held[model]+flow.rate(now))
		}
	}
	return report
}

// digest is what reports go by of a region's standing. It is never changed.
type digest struct {
	// rows and places are those that it was made of.
	rows   []standing.Row
	places []standing.Place
	// versions has one version of each model, and mixed the models that have several, or
	// rows on trial or standing by.
	versions map[string]string
	mixed    map[string]bool
	// credits are this daemon's, by model, and here the replicas that have rows.
	credits map[string]float64
	here    map[string]bool
}

// digest gives the digest of a region's standing; who holds the guard calls it. A new view
// has the rows and places of the one before where nothing changed, and these are never
// changed: so most often it is there already.
func (decider *Decider) digest(region string, one standing.Standing) *digest {
	have := decider.digests[region]
	if have != nil && isOne(have.rows, one.Rows) && isOne(have.places, one.Places) {
		return have
	}
	out := &digest{rows: one.Rows, places: one.Places, versions: map[string]string{}, mixed: map[string]bool{}, credits: map[string]float64{}, here: map[string]bool{}}
	credits := map[string]int{}
	for _, place := range one.Places {
		credits[place.ID] = place.Credits[decider.Self.Name]
	}
	counted := map[[2]string]bool{}
	for _, row := range one.Rows {
		if version, known := out.versions[row.Model]; known && version != row.Version || row.Trial || row.Back {
			out.mixed[row.Model] = true
		}
		out.versions[row.Model] = row.Version
		out.here[row.Replica] = true
		if at := [2]string{row.Model, row.Replica}; !counted[at] {
			counted[at] = true
			out.credits[row.Model] += float64(credits[row.Replica])
		}
	}
	decider.digests[region] = out
	return out
}

// isOne tells whether two slices are one and the same.
func isOne[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// steady tells which models need no more than a word on mishaps: nobody deals their
// credits, as they have an engine, and no run can be about them, as replicas hold what
// they will; and all hold the same version.
func (decider *Decider) steady(view *permit.View) func(model string) bool {
	if view.Tree == nil {
		return func(string) bool { return false }
	}
	versions := map[string]string{}
	unsteady := map[string]bool{}
	for region, one := range view.Standings {
		digest := decider.digest(region, one)
		for model, version := range digest.versions {
			if other, known := versions[model]; known && other != version || digest.mixed[model] {
				unsteady[model] = true
			}
			versions[model] = version
		}
	}
	known := map[string]bool{}
	return func(model string) bool {
		isSteady, isKnown := known[model]
		if !isKnown {
			isSteady = view.Tree.Engine(model) != nil && !unsteady[model]
			for _, region := range view.Tree.Regions() {
				if placement, placed := view.Tree.Placement(model, region); placed && !placement.Any() {
					isSteady = false
				}
			}
			known[model] = isSteady
		}
		return isSteady
	}
}

func (decider *Decider) flow(table map[string]*flow, model string) *flow {
	one := table[model]
	if one == nil {
		one = &flow{}
		table[model] = one
	}
	return one
}
