package decide

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"time"

	"swifttiller/permit"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/verdict"
)

// Calls that carry a ticket: whether they may go on, and which replica gets them.

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
