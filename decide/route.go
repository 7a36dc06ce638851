package decide

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"swifttiller/permit"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/verdict"
)

// Routed is a request that goes by host and path. It carries no ticket: each try of a
// caller is a request of its own, and goes to one daemon.
type Routed struct {
	ID, Host, Path string
	// Tokens are those of the prompt, Most the most that the answer may have; Parts are
	// the prompt's pieces, the last one the request's own.
	Tokens, Most int
	Parts        []Part
	Bytes        int
	// Expiry is when the caller gives up, on the world's clock.
	Expiry time.Duration
	// Key is the caller's, empty for none.
	Key string
	// Came is when the request was read.
	Came time.Duration

	// Route, Model and Tenant are filled in by Direct. A request on a keyless route is
	// nobody's, and so is each where the configuration has no tenants: Tenant is nil.
	Route  *settings.Route
	Model  string
	Tenant *settings.Tenant
	// IsTenanted tells whether the configuration has tenants at all.
	IsTenanted bool
	call       Call
	// owner is what requests with the same shared parts have in common, key what their
	// owner is found by.
	owner, key uint64
	// isCounted tells that it counts against its tenant's limit.
	isCounted bool
}

// Direct finds the route of a request and the model that gets it, or declines. The
// configuration is the one that the permit stands under at this moment.
//
// What is above the tenant's limit is declined; that may wait for another daemon's word, and
// so is asked outside the lock.
func (decider *Decider) Direct(routed *Routed) *verdict.Mishap {
	if mishap := decider.direct(routed); mishap != nil {
		return mishap
	}
	if decider.Quota == nil || routed.Tenant == nil {
		return nil
	}
	comeBack, isAllowed := decider.Quota.Ask(routed.Tenant.Name)
	if routed.isCounted = isAllowed; isAllowed {
		return nil
	}
	decider.guard.Lock()
	defer decider.guard.Unlock()
	return decider.decline(429, "over_quota", "the tenant is above its limit", comeBack)
}

// Unran gives a directed request that has not run back to its tenant's limit.
func (decider *Decider) Unran(routed *Routed) {
	if routed.isCounted {
		routed.isCounted = false
		decider.Quota.Return(routed.Tenant.Name)
	}
}

func (decider *Decider) direct(routed *Routed) *verdict.Mishap {
	view := decider.Holder()
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	switch {
	case decider.stopped:
		return decider.decline(503, "stopping", "this daemon is about to stop", comeBackSoon)
	case !view.Serves(now):
		return decider.decline(503, "no_permit", "this daemon has no permit to serve; try another", comeBackBegun)
	}
	route := view.Tree.Route(routed.Host, routed.Path)
	if route == nil {
		return decider.decline(404, "no_route", "no route has this host and path", 0)
	}
	routed.Tenant, routed.IsTenanted = nil, view.Tree.Tenanted()
	if routed.IsTenanted && !route.Keyless {
		if routed.Tenant = view.Tree.KeyHolder(routed.Key); routed.Tenant == nil {
			return decider.decline(401, "unknown_key", "no tenant holds the key of this request", 0)
		}
	}
	routed.Route, routed.Came = route, now
	decider.came = now
	routed.Model = decider.share(route)
	if limit := now + route.Timeout; route.Timeout > 0 && (routed.Expiry == 0 || routed.Expiry > limit) {
		routed.Expiry = limit
	}
	if routed.Expiry <= now {
		return decider.decline(503, "too_late", "the caller's time is over", 0)
	}
	routed.call = Call{ID: routed.ID, Model: routed.Model, Kind: route.Name, Path: routed.Path, Bytes: routed.Bytes}
	routed.owner = ownerKey(routed)
	decider.note(view, routed)
	decider.counts.Demanded++
	decider.repeatsOf(routed.Model).count(now).fresh++
	decider.flow(decider.demand, routed.Model).add(now, 1)
	return nil
}

// within tells whether the request may be served in the region: where its route and its
// tenant both have homes, in those of both alone.
func (routed *Routed) within(region string) bool {
	return routed.Route.Within(region) && routed.Tenant.Within(region)
}

// Urgency is the request's rank, 0 first: its tenant's where that has one, or its route's.
func (routed *Routed) Urgency() int {
	if routed.Tenant != nil && routed.Tenant.HasUrgency {
		return routed.Tenant.Urgency
	}
	return routed.Route.Urgency
}

// repeatsOf is the budget of a model's routed requests.
func (decider *Decider) repeatsOf(model string) *budget {
	if decider.repeats[model] == nil {
		decider.repeats[model] = &budget{}
	}
	return decider.repeats[model]
}

// Repeat tells whether a routed request may be sent to one more replica; it costs a
// retry of its model.
func (decider *Decider) Repeat(routed *Routed) bool {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	view := decider.Holder()
	if view.Tree == nil || !decider.spend(view, decider.repeatsOf(routed.Model)) {
		return false
	}
	decider.counts.Redispatches++
	return true
}

// comeBackSoon is when a request that another daemon can take is worth another try.
const comeBackSoon = 50 * time.Millisecond

// share draws a model by the route's weights.
func (decider *Decider) share(route *settings.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Model
	}
	total := 0.0
	for _, one := range route.Shares {
		total += one.Weight
	}
	drawn := float64(decider.World.Draw(1<<30)) / (1 << 30) * total
	for _, one := range route.Shares {
		if drawn -= one.Weight; drawn < 0 {
			return one.Model
		}
	}
	return route.Shares[len(route.Shares)-1].Model
}

// ownerKey is what requests with the same shared parts have in common; zero when there
// is nothing shared.
func ownerKey(routed *Routed) uint64 {
	key := uint64(0)
	for at, part := range routed.Parts {
		if at == len(routed.Parts)-1 {
			break
		}
		key = key*0x9e3779b97f4a7c15 + part.ID + 1
	}
	return key
}

// Avoid are replicas that a request shall not go to (again).
type Avoid map[string]bool

type prospect struct {
	row   *standing.Row
	place *standing.Place
	seat  *engine
	// foreseen is the time to the first piece, weight what the selection goes by: the
	// same, and the price of the way and of reading what is kept elsewhere.
	foreseen, weight     time.Duration
	unread, unreadShared int
	running, waiting     float64
	// isOwner and isSuccessor tell whose the shared parts are, by claim.
	isOwner, isSuccessor bool
	// isTry tells that it can't be reached, as far as is known.
	isTry bool
}

// Route gives a replica to a directed request, waiting a little for one that may get
// it if none may now. What it gives must be handed back by Release, after Begun.
func (decider *Decider) Route(routed *Routed, avoid Avoid) (*Selection, *verdict.Mishap) {
	until := decider.World.Now() + min(routed.Route.Target/patienceShare, mostPatience)
	for {
		decider.guard.Lock()
		view := decider.Holder()
		now := decider.World.Now()
		if !view.Serves(now) {
			mishap := decider.decline(503, "no_permit", "this daemon has no permit to serve; try another", comeBackSoon)
			decider.guard.Unlock()
			return nil, mishap
		}
		best, all, next := decider.prospects(view, routed, avoid, now)
		if best != nil && best.foreseen > time.Duration(hopeless*float64(routed.Expiry-now)) {
			// It would be given up where it waits, and hold up others meanwhile.
			mishap := decider.decline(503, "too_late", "no replica can begin to answer in time", min(best.foreseen/2, comeBackMost))
			decider.guard.Unlock()
			return nil, mishap
		}
		if best != nil {
			selection := decider.seat(view, routed, best, now)
			selection.choice = decider.chosen(routed, best, all, now)
			decider.guard.Unlock()
			return selection, nil
		}
		if next == 0 || now+next > until {
			mishap := decider.decline(503, "no_replica", "no replica can serve this now", max(comeBackSoon, min(next, comeBackLater)))
			if next == 0 {
				mishap.ComeBack = decider.lacking(routed.Route.Name, now)
			}
			decider.guard.Unlock()
			return nil, mishap
		}
		mine := &waiter{box: decider.World.Mailbox(), model: routed.Model, cost: 1}
		decider.queue = append(decider.queue, mine)
		decider.guard.Unlock()
		mine.box.Take(min(next, until-now))
		decider.guard.Lock()
		decider.leave(mine)
		decider.guard.Unlock()
	}
}

// lacking gives when a request is worth another try for whose route no replica is in sight: in
// as long as none has been already, within bounds, as nothing else tells how long that lasts.
func (decider *Decider) lacking(route string, now time.Duration) time.Duration {
	since, has := decider.lacks[route]
	if !has {
		since = now
		decider.lacks[route] = now
	}
	return max(comeBackLater, min(now-since, comeBackMost))
}

// Ratios of a route's target: how long a request may wait before it is offered to a
// replica. What waits longer is declined, and told when to come back.
const (
	patienceShare = 6
	mostPatience  = 200 * time.Millisecond
	comeBackLater = 500 * time.Millisecond
	comeBackMost  = 2 * time.Second
	// hopeless is from which part of the caller's time on a first piece comes too late.
	hopeless = 0.7
	// comeBackBegun is how long a daemon that began anew takes to get a permit.
	comeBackBegun = time.Second
)

func (decider *Decider) leave(mine *waiter) {
	for index, one := range decider.queue {
		if one == mine {
			decider.queue = append(decider.queue[:index:index], decider.queue[index+1:]...)
			return
		}
	}
}

// prospects looks at every replica that may get the request, and gives the best; if
// there is none, when the first one may get it, zero for not in sight.
func (decider *Decider) prospects(view *permit.View, routed *Routed, avoid Avoid, now time.Duration) (best *prospect, all []prospect, next time.Duration) {
	rows := 0
	for _, one := range view.Standings {
		rows += len(one.Rows)
	}
	all = make([]prospect, 0, rows)
	soon := func(span time.Duration) {
		if span > 0 && (next == 0 || span < next) {
			next = span
		}
	}
	route := routed.Route
	known := view.Tree.Engine(routed.Model)
	routed.key = routed.owner
	isLong := decider.isLong(routed)
	home := "" // of a tenant that has a placement
	placement := decider.placement(view, routed, now)
	if placement != nil {
		routed.key = placement.Owner(routed.owner, routed.Parts[len(routed.Parts)-1].ID)
		home = placement.Home(routed.owner, decider.Self.Region, routed.within)
	}
	var shunned, unreached []prospect
	for _, region := range view.Tree.Regions() {
		one, has := view.Standings[region]
		if !has || !routed.within(region) {
			continue
		}
		placed := places{list: one.Places}
		trial, isOpen := decider.opensTrial(view, &routed.call, region)
		for at := range one.Rows {
			row := &one.Rows[at]
			if row.Model != routed.Model {
				continue
			}
			place := placed.of(row.Replica)
			if place == nil || view.Evacuated[place.Zone] || avoid[row.Replica] || denies(*row, routed.call.Kind) {
				continue
			}
			if _, isPast := decider.past[row.Replica]; isPast {
				continue
			}
			if isTrial := trial != "" && row.Version == trial; isTrial != isOpen || !isTrial && decider.barred(view, region, row.Model, row.Version) {
				continue
			}
			seat := decider.engine(place.ID)
			if wait := decider.paced(view, known, place, seat, now); wait > 0 {
				if place.Warm >= 1 {
					decider.wanted = now
				}
				soon(wait)
				continue
			}
			wait := max(seat.vitals.opens(now, route.Repeatable()), decider.closed(region, now))
			if wait > 0 || now < seat.shunned || !seat.opens(now, route.Repeatable()) {
				one := prospect{row: row, place: place, seat: seat, isTry: seat.isUnreached}
				if one.isTry {
					unreached = append(unreached, one)
					continue
				}
				soon(max(wait, seat.shunned-now, firstShun/2))
				shunned = append(shunned, one)
				continue
			}
			all = append(all, prospect{row: row, place: place, seat: seat})
		}
	}
	if len(all) == 0 && len(shunned) > 0 {
		// Better one in doubt than none at all.
		all = shunned
	}
	if len(all) == 0 {
		all = decider.tries(unreached, now)
	}
	claim(routed, all, home, func(place *standing.Place) bool {
		// A short prompt is not worth a far way: each region has an owner of its own.
		return isLong || place.Region == decider.Self.Region || !routed.within(decider.Self.Region)
	})
	prices := decider.prices(view, routed.Model)
	crowds := crowds{}
	for at := range all {
		one := &all[at]
		crowds.of(one.place.Region).note(one.seat, now)
	}
	for at := range all {
		one := &all[at]
		running, waiting := crowds.of(one.place.Region).expect(one.seat, now)
		decider.foresee(prices, routed, one, running, waiting, now)
		if one.row.Trial {
			// All daemons load the same few replicas with what they may give a trial.
			one.weight = time.Duration(math.MaxInt64 - int64(trialRank(one.row.Model, one.row.Version, one.place.ID)>>1))
		}
		if best == nil || one.weight < best.weight {
			best = one
		}
	}
	return best, all, next
}

// tries are those of the replicas out of reach that may be tried now, as there are no others:
// one of each region a while. Whatever else comes meanwhile would only find out the same.
func (decider *Decider) tries(unreached []prospect, now time.Duration) (due []prospect) {
	for _, one := range unreached {
		gap := nearTry
		if one.place.Region != decider.Self.Region {
			gap = wayTry
		}
		if tried, has := decider.tried[one.place.Region]; !has || now-tried >= gap {
			due = append(due, one)
		}
	}
	return due
}

// nearTry is how long requests to replicas of this daemon's region are apart none of which
// can be reached.
const nearTry = 100 * time.Millisecond

// successorShare is which part of the price of reading shared parts again their successor pays:
// less than others, so that all go to the same one, and not so little that they leave an owner
// that may get them.
const successorShare = 0.9

// claim marks whose the request's shared parts are among those that may get it now: the
// first by rendezvous is their owner, the next one their successor. All daemons rank alike, so
// what the owner can't get, as it is cold, held or has gone, they read again at one
// replica and not each at another. Where the home of a tenant's placement has some that
// may own, no others do.
func claim(routed *Routed, all []prospect, home string, isNear func(*standing.Place) bool) {
	if routed.owner == 0 && home == "" {
		return
	}
	owner, successor := rank(routed, all, home, isNear, func(place *standing.Place) bool { return owns(routed.key, place) })
	if owner == nil {
		// Only newcomers may get it.
		owner, successor = rank(routed, all, home, isNear, func(*standing.Place) bool { return true })
	}
	if owner != nil {
		owner.isOwner = true
	}
	if successor != nil {
		successor.isSuccessor = true
	}
}

// rank gives the first two by rendezvous of those that may own the shared parts; nil for
// none.
func rank(routed *Routed, all []prospect, home string, isNear, mayOwn func(*standing.Place) bool) (owner, successor *prospect) {
	var most, next uint64
	isPlaced := false
	for at := range all {
		one := &all[at]
		if !mayOwn(one.place) {
			continue
		}
		isHome := home != "" && one.place.Region == home
		if isHome && !isPlaced {
			isPlaced, owner, successor = true, nil, nil
		}
		if isPlaced && !isHome || !isPlaced && (!isNear(one.place) || routed.owner == 0) {
			continue
		}
		switch score := slotScore(routed.key, one.place); {
		case owner == nil || score > most:
			owner, successor, most, next = one, owner, score, most
		case successor == nil || score > next:
			successor, next = one, score
		}
	}
	return owner, successor
}

// owns tells whether a replica has settled so far that the shared parts of the key may be
// its own.
func owns(key uint64, place *standing.Place) bool {
	if place.Settled >= standing.SettledWhole {
		return true
	}
	return int(slotScore(^key, place)%standing.SettledWhole) < place.Settled
}

// paced gives how long a replica is to be left alone, as it is cold and this daemon's
// part of what it bears then is used up; zero when it may get a request.
//
// Invariant: over every second, all data daemons that know of each other send a cold
// replica at most ColdRate times cold_excess together, and one where that is below one.
func (decider *Decider) paced(view *permit.View, known *settings.Engine, place *standing.Place, seat *engine, now time.Duration) time.Duration {
	if known == nil || known.ColdRate <= 0 || !decider.isCold(view, place, seat, now) {
		seat.part = nil
		return 0
	}
	if seat.part == nil || seat.part.of != view {
		daemons := 0
		for _, one := range view.Standings {
			daemons = max(daemons, one.Daemons)
		}
		whole := max(1, int(known.ColdRate*view.Tree.Limit("cold_excess", decider.Self.Zone)))
		seat.part = &part{view, coldPart(whole, view.Members, decider.Self, place, daemons)}
	}
	most := seat.part.most
	switch {
	case most == 0:
		return othersOnly
	case seat.sentWithin(now, time.Second) < most:
		return 0
	}
	return time.Second - (now - seat.sent[len(seat.sent)-most])
}

// othersOnly is for how long a daemon without a part of a cold replica leaves it alone,
// unless it hears otherwise: longer than any request waits.
const othersOnly = time.Hour

// part is what a daemon may send to a cold replica in a second, by a view.
type part struct {
	of   *permit.View
	most int
}

// coldPart is this daemon's part of the whole that a cold replica may be sent in a
// second: as even as can be, and the rest by the daemons' ranks. Those of the replica's
// own region and the others take turns, as some of what comes elsewhere may run in this
// region alone. Daemons counts also those that are not members but may still send: what
// their ranks would bring is given to nobody.
//
// Invariant: the parts of daemons that go by the same members sum up to no more than the
// whole, however many they are.
func coldPart(whole int, members []session.Member, self session.Member, place *standing.Place, daemons int) int {
	key := nameKey(place.ID + "/" + place.Boot)
	isNear, own := self.Region == place.Region, score(key, self.Name)
	turn, unlike, count := 0, 0, 1 // the turn among those like this one, and how many are not
	for _, one := range members {
		if one.Role != session.Data || one.Name == self.Name {
			continue
		}
		count++
		other := score(key, one.Name)
		switch {
		case one.Region == place.Region != isNear:
			unlike++
		case other > own || other == own && one.Name < self.Name:
			turn++
		}
	}
	rank := turn + min(turn, unlike)
	if !isNear {
		rank = turn + min(turn+1, unlike)
	}
	all := max(count, daemons)
	out := whole / all
	if rank < whole%all*count/all {
		out++
	}
	return out
}

// nameKey is a number for a name.
func nameKey(name string) uint64 { return score(0, name) }

// places finds a region's places by their replicas. Rows come in the order of places,
// nearly always, so that what is wanted mostly stands next.
type places struct {
	list []standing.Place
	next int
}

func (places *places) of(id string) *standing.Place {
	if places.next > 0 && places.list[places.next-1].ID == id {
		return &places.list[places.next-1]
	}
	for range places.list {
		if places.next >= len(places.list) {
			places.next = 0
		}
		one := &places.list[places.next]
		places.next++
		if one.ID == id {
			return one
		}
	}
	return nil
}

// prices are what the settings say that ways and reading cost, read once a decision.
type prices struct {
	berths     int
	far, again time.Duration
	// farKB is in milliseconds a KiB.
	farKB float64
}

func (decider *Decider) prices(view *permit.View, model string) prices {
	zone := decider.Self.Zone
	berths := 0
	if known := view.Tree.Engine(model); known != nil {
		berths = known.Berths
	}
	return prices{berths: berths, far: view.Tree.Span("far_ms", zone), again: view.Tree.Span("again_ms", zone), farKB: view.Tree.Limit("far_kb_ms", zone)}
}

// crowd is what so many running requests add to a first piece: little each, and more
// the fuller the replica is.
func (prices prices) crowd(running float64) time.Duration {
	share := 0.0
	if prices.berths > 0 {
		share = running / float64(prices.berths)
	}
	return time.Duration(running*float64(eachRunning)) + time.Duration(share*share*float64(fullCrowd))
}

// foresee fills in how long the first piece would take at the replica, where so many are
// expected to run and to wait.
func (decider *Decider) foresee(prices prices, routed *Routed, one *prospect, running, waiting float64, now time.Duration) {
	seat := one.seat
	own, shared := seat.unread(routed.Parts, routed.Tokens, one.isOwner)
	one.unread, one.unreadShared = own+shared, shared
	one.running, one.waiting = running, waiting
	one.foreseen = decider.base + decider.reading(seat.reading) + decider.reading(one.unread) + prices.crowd(running) + time.Duration(waiting*float64(eachWaiting)) + seat.lagged(now)
	again := float64(shared) / 1000 * float64(prices.again)
	if one.isSuccessor {
		again *= successorShare
	}
	one.weight = one.foreseen + time.Duration(again)
	if one.place.Region != decider.Self.Region {
		one.foreseen += prices.far
		one.weight += 2*prices.far + time.Duration(prices.farKB*float64(routed.Bytes)/1024*float64(time.Millisecond))
	}
	if over := one.foreseen - routed.Route.Target*4/5; over > 0 && routed.Route.Target > 0 {
		one.weight += lateWeight + over
	}
	if one.place.Slow {
		one.weight += one.foreseen
	}
	if one.place.Warm < 1 {
		one.weight += coldWeight
	}
	one.weight += seat.vitals.penalty(now, routed.Route.Repeatable())
	if !routed.Route.Repeatable() && now < decider.wary && now-seat.vouched > vouchedLong && seat.vitals.bad < leastBad {
		one.weight += unvouchedWeight
	}
	// Equal ones take turns.
	one.weight += time.Duration(decider.World.Draw(int64(time.Millisecond)))
}

// reading is how long a replica reads a prompt of so many tokens: each costs the same,
// and a little for each that stands before it.
func (decider *Decider) reading(tokens int) time.Duration {
	pairs := float64(tokens) * float64(tokens) / 2
	return time.Duration((float64(tokens)/decider.rate() + pairs*eachPair) * float64(time.Millisecond))
}

// slotScore is the rendezvous weight of a key at a place's slot.
func slotScore(key uint64, place *standing.Place) uint64 {
	return score(key, place.Region+"/"+strconv.Itoa(place.Slot))
}

// longShare: a prompt that takes this part of its target to read is long.
const longShare = 8

// lateWeight is what an answer that is foreseen to be late is weighed as.
const lateWeight = 300 * time.Millisecond

// coldWeight is what a cold replica has to be better by.
const coldWeight = 30 * time.Millisecond

// unvouchedWeight is what a replica has to be better by that has not shown for vouchedLong
// that it is alive, for a request that may be sent once only, within warySpan after a mishap
// or a silence anywhere: those seldom come alone.
const (
	unvouchedWeight = 10 * time.Millisecond
	vouchedLong     = time.Second
	warySpan        = 4 * time.Second
)

// rate is the tokens that a replica reads in a millisecond, as learned.
func (decider *Decider) rate() float64 {
	if decider.readRate == 0 {
		return firstRate
	}
	return decider.readRate
}

// engine is this daemon's knowledge of a replica.
func (decider *Decider) engine(id string) *engine {
	one := decider.engines[id]
	if one == nil {
		one = &engine{}
		decider.engines[id] = one
	}
	return one
}

// seat books the request at the replica.
func (decider *Decider) seat(view *permit.View, routed *Routed, best *prospect, now time.Duration) *Selection {
	seat := best.seat
	selection := &Selection{
		Replica: best.row.Replica, Address: best.place.Address, Version: best.row.Version, Boot: best.place.Boot, Region: best.place.Region,
		Serial: view.Serial, Cost: 1, Trial: best.row.Trial, Spill: best.place.Region != decider.Self.Region, call: &routed.call,
		Foreseen: best.foreseen, Allowance: decider.reading(best.unread), unread: best.unread, routed: routed, sent: now, seat: seat, isCold: best.place.Warm < 1,
		Vouched: seat.vouched, Doubted: decider.isDoubted(best.place.Region),
	}
	if best.isTry {
		decider.tried[best.place.Region] = now
	}
	if selection.Doubted {
		decider.ways[best.place.Region].tried = now
	}
	seat.running++
	seat.region, seat.model, seat.vitals.asked = best.place.Region, best.row.Model, now
	seat.reading += best.unread
	if seat.waits == 0 {
		seat.silent = now
	}
	seat.waits++
	seat.sent = append(seat.sent, now)
	seat.sentWithin(now, 2*time.Second)
	if known := view.Tree.Engine(routed.Model); known != nil && known.CacheTokens > 0 {
		seat.kept.note(routed.Parts, int(keptShare*float64(known.CacheTokens)))
	}
	decider.dispatched(view, selection)
	return selection
}

// Heard notes that something came from the replica of a selection, and what the
// replica says of its load, if it does.
func (decider *Decider) Heard(selection *Selection, load *Load) {
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	seat := selection.seat
	seat.vouched, seat.strikes, seat.shunned, seat.isUnreached = now, 0, 0, false
	decider.alive(seat)
	if seat.waits > 0 {
		seat.silent = now
	}
	if load != nil {
		seat.load, seat.loadAt = *load, now
	}
}

// Begun notes the first piece of an answer, or the end of a dispatch that had none.
func (decider *Decider) Begun(selection *Selection, isPiece bool) {
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	decider.begun(selection, isPiece, now)
}

func (decider *Decider) begun(selection *Selection, isPiece bool, now time.Duration) {
	if selection.hasBegun {
		return
	}
	selection.hasBegun = true
	seat := selection.seat
	seat.reading -= selection.unread
	seat.waits--
	delete(decider.judging.waiting, selection)
	if !isPiece {
		return
	}
	seat.flowing++
	selection.isFlowing = true
	delete(decider.lacks, selection.call.Kind)
	took := now - selection.sent
	if selection.choice != nil {
		selection.choice.First = took
	}
	if selection.unread < learnTokens && !selection.Spill {
		decider.base = max(0, decider.base+(min(took, 2*decider.base+firstBase)-decider.base)/32)
	}
	if took > slowTimes*selection.Foreseen+slowMore {
		if !selection.isLate {
			decider.judgeLate(selection, slowBad, now)
		}
	} else {
		seat.vitals.well(now)
	}
	over := took - selection.Foreseen
	seat.lag = max(0, seat.lagged(now)*3/4+over/4)
	seat.lagAt = now
	if selection.unread > learnTokens && seat.reading == 0 && !selection.Spill {
		// Alone at its replica, as far as this daemon knows: the prompt took the time.
		pairs := float64(selection.unread) * float64(selection.unread) / 2 * eachPair
		sample := float64(selection.unread) / max(1, float64(took-decider.base)/float64(time.Millisecond)-pairs)
		decider.readRate = math.Min(mostRate, math.Max(leastRate, decider.rate()+(sample-decider.rate())/16))
	}
}

// learnTokens is how long a prompt must be for its first piece to tell the rate.
const learnTokens = 2000

// Suspicion is what speaks against a replica from which a first piece is overdue.
type Suspicion int

// Suspicions, each worse than the one before it.
const (
	// Unsuspected replicas have shown of late that they are alive.
	Unsuspected Suspicion = iota
	// Silent ones have told this daemon nothing for longer than it takes. That alone says
	// little: one daemon of many hears each replica seldom, and one that reads a long prompt
	// says nothing meanwhile.
	Silent
	// Failing ones stand out by their failures, or are silent and in the routing table no
	// more, or in a region that seems to be out of reach.
	Failing
)

// Suspect tells what speaks against the replica of a selection. One that has been silent for
// so long that others should get its requests gets none for a while.
func (decider *Decider) Suspect(selection *Selection) Suspicion {
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	seat := selection.seat
	if decider.overdueAt(selection, now) {
		return Failing
	}
	if now-max(seat.silent, seat.vouched) < seat.silence(selection) {
		return Unsuspected
	}
	decider.wary = now + warySpan
	decider.shun(seat, now)
	decider.missed(seat, now)
	if decider.isDoubted(selection.Region) || !isListed(decider.Holder(), selection) {
		return Failing
	}
	return Silent
}

// isListed tells whether the life of a selection's replica is in the routing table.
func isListed(view *permit.View, selection *Selection) bool {
	for _, place := range view.Standings[selection.Region].Places {
		if place.ID == selection.Replica {
			return place.Boot == selection.Boot
		}
	}
	return false
}

// Flowed notes that a piece of a stream came from the replica of a selection.
func (decider *Decider) Flowed(selection *Selection) {
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	seat := selection.seat
	seat.vouched, seat.strikes, seat.shunned, seat.isUnreached = now, 0, 0, false
	decider.alive(seat)
}

// silence is how long a replica may say nothing at all while something is to come from
// it: not long where streams flow, whose pieces come one after the other.
func (engine *engine) silence(selection *Selection) time.Duration {
	if engine.flowing > 0 {
		return flowSilence
	}
	return leastSilence + silenceTimes*selection.Foreseen
}

const (
	flowSilence  = 400 * time.Millisecond
	leastSilence = 300 * time.Millisecond
	silenceTimes = 3
	firstShun    = 300 * time.Millisecond
	mostShun     = 3 * time.Second
)

// shun leaves a replica alone for a while, longer each time in a row, never for good.
func (decider *Decider) shun(seat *engine, now time.Duration) {
	if now < seat.shunned {
		return
	}
	seat.shunned = now + min(firstShun<<min(seat.strikes, 8), mostShun)
	seat.strikes++
}

// Unseat ends a routed selection: what became of it, and the time to the first piece.
func (decider *Decider) Unseat(selection *Selection, mishap *verdict.Mishap, first time.Duration) {
	now := decider.World.Now()
	decider.guard.Lock()
	decider.begun(selection, false, now)
	isEmpty := false
	if view := decider.Holder(); view.Tree != nil {
		isEmpty = selection.seat.isEmpty(view.Tree.Engine(selection.call.Model), now)
	}
	selection.seat.running--
	decider.noteEnd(selection, now)
	if selection.isFlowing {
		selection.seat.flowing--
	}
	if bad := badness(mishap, isEmpty); bad > 0 {
		if mishap.Code == "replica_silent" || mishap.Code == "expired" {
			bad *= decider.certainty(selection, now)
		}
		decider.judgeVitals(selection, bad, now)
	}
	if mishap != nil {
		selection.seat.isUnreached = selection.seat.isUnreached || mishap.Code == "replica_unreached"
		switch mishap.Code {
		case "replica_unreached", "replica_cut", "cut":
			decider.wary = now + warySpan
			decider.shun(selection.seat, now)
			decider.missed(selection.seat, now)
		case "replica_declined":
			decider.shun(selection.seat, now)
		}
	}
	decider.guard.Unlock()
	decider.Release(selection, mishap, first)
	if choice := selection.choice; choice != nil {
		if mishap != nil {
			choice.Code = mishap.Code
		}
		decider.Traced(*choice)
	}
}

// Overdue is by when a first piece should have come, counted from the dispatch; after
// that a request that may run again is worth another replica.
func (decider *Decider) Overdue(selection *Selection) time.Duration {
	return leastSilence + silenceTimes*max(selection.Foreseen, decider.reading(selection.routed.Tokens))
}

// Doors gives the daemons that callers in the zone may go to with requests for the host:
// those in the zone; else in the region; else where all of the host's routes have a home;
// else those there that are about to stop, who serve late comers; else any. None while
// this daemon has no permit.
func (decider *Decider) Doors(host, region, zone string) []session.Member {
	view := decider.Holder()
	if !view.Serves(decider.World.Now()) {
		return nil
	}
	homes := map[string]bool{}
	for _, home := range view.Tree.Regions() {
		homes[home] = view.Tree.AtHome(host, home)
	}
	const none = 6
	distance := func(one session.Member) int {
		isHome := homes[one.Region]
		switch {
		case one.Role != session.Data || one.Door == "" || one.Leaving && one.Region != region && !isHome:
			return none
		case one.Leaving && one.Region == region:
			return 3
		case one.Leaving:
			return 4
		case one.Zone == zone:
			return 0
		case one.Region == region:
			return 1
		case isHome:
			return 2
		}
		return 5
	}
	var out []session.Member
	nearest := none
	for _, one := range view.Members {
		if at := distance(one); at < nearest {
			out, nearest = append(out[:0], one), at
		} else if at == nearest && at < none {
			out = append(out, one)
		}
	}
	return out
}

// Sweep forgets engines of replicas that no standing shows.
func (decider *Decider) Sweep() {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	view := decider.Holder()
	if view.Tree == nil || len(view.Standings) < len(view.Tree.Regions()) {
		return
	}
	shown := map[string]bool{}
	for _, one := range view.Standings {
		for _, place := range one.Places {
			shown[place.ID] = true
		}
	}
	for id, one := range decider.engines {
		if !shown[id] && one.running == 0 {
			delete(decider.engines, id)
		}
	}
}

// String says where a selection goes, for logs.
func (selection *Selection) String() string {
	return fmt.Sprintf("%s@%s foreseen %v", selection.Replica, selection.Address, selection.Foreseen)
}
