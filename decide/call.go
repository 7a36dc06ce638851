package decide

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"time"

	"swifttiller/lease"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/verdict"
)

// Calls that carry a ticket: whether they may run, and which replica gets them.

// Allow decides from the headers alone, before any of the body is read, whether the
// request may run at all.
//
// The ticket is settled before any other check. A rejection with not_run is about the
// request and not only about this try of it, so it may be sent only once this daemon
// knows that no other try of the request is running or has run.
func (decider *Decider) Allow(call *Call) *verdict.Error {
	if rejection := decider.checkHeaders(call); rejection != nil {
		return rejection
	}
	if rejection := decider.settle(call); rejection != nil {
		return rejection
	}
	rejection := decider.checkPlacement(decider.View(), call)
	if rejection == nil {
		rejection = decider.chargeRetry(decider.View(), call)
	}
	if rejection != nil {
		decider.Settled(call, rejection)
	}
	return rejection
}

// checkHeaders checks the headers that identify the request.
func (decider *Decider) checkHeaders(call *Call) *verdict.Error {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	call.isRetry = call.Retried || decider.tickets.isRecent(call.ID)
	switch {
	case call.ID == "" || call.Model == "":
		return decider.reject(400, "bad_request", "the headers Swifttiller-Request-Id and Swifttiller-Model are needed", 0)
	case call.Ticket == "":
		// Without a ticket it can't be known whether another try has run.
		decider.counts.Rejected["ticket_needed"]++
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: "ticket_needed", Status: 428,
			Message: "the header Swifttiller-Ticket is needed: this try did not run, and without a ticket it can't be known whether another one did; call /v1/locate before the first try and send its ticket with all tries"}
	}
	return nil
}

// chargeRetry takes a retry from the budget, or counts a first try as demand.
//
// Invariant: in every budgetSpan that ends with an admitted retry, the admitted retries
// and this daemon's own further attempts are at most retry_share of the demand. A single
// one is always admitted if the span has no other.
func (decider *Decider) chargeRetry(view *lease.View, call *Call) *verdict.Error {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	if !call.isRetry {
		decider.counts.Demanded++
		decider.budget.slice(decider.World.Now()).firstTries++
		return nil
	}
	decider.counts.Retries++
	if !decider.takeRetry(view, &decider.budget) {
		return decider.reject(429, "retry_budget", "too many retries compared with first tries; retry later", retryDelay(view))
	}
	decider.counts.Allowed++
	return nil
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (decider *Decider) takeRetry(view *lease.View, budget *retryBudget) bool {
	now := decider.World.Now()
	fresh, retries := budget.sums(now)
	if retries > 0 && float64(retries+1) > view.Tree.Limit("retry_share", decider.Self.Zone)*float64(fresh) {
		return false
	}
	budget.slice(now).retries++
	return true
}

// retryDelay is the delay after which a rejected request may be retried.
func retryDelay(view *lease.View) time.Duration {
	return max(time.Second, view.Tree.Duration("queue_ms", ""))
}

// checkPlacement checks everything that depends on the daemon's location.
func (decider *Decider) checkPlacement(view *lease.View, call *Call) *verdict.Error {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	if rejection := decider.checkServing(view); rejection != nil {
		return rejection
	}
	placement, placed := view.Tree.Placement(call.Model, decider.Self.Zone)
	if !placed {
		return decider.reject(404, "no_model", fmt.Sprintf("model %q is not placed here", call.Model), 0)
	}
	for _, tag := range []string{call.Home, placement.Home} {
		if !view.Tree.Allowed(tag, decider.Self.Region) {
			return decider.reject(421, "outside_home", fmt.Sprintf("home %q does not include region %s; call /v1/locate again", tag, decider.Self.Region), 0)
		}
	}
	call.placementHome = placement.Home
	if call.Home == "" {
		call.Home = placement.Home
	}
	decider.lastAdmitted = decider.World.Now()
	// Nothing bounds how long the answer to a call takes: its timeout is one for its start.
	return decider.checkDrain(decider.lastAdmitted, 0, time.Second)
}

func (decider *Decider) checkServing(view *lease.View) *verdict.Error {
	switch {
	case decider.stopped:
		return decider.reject(503, "stopping", "this daemon is shutting down; call /v1/locate for another", time.Second)
	case !view.IsValid(decider.World.Now()):
		return decider.reject(503, "no_permit", "this daemon holds no valid lease; try another daemon", time.Second)
	case view.Evacuated[decider.Self.Zone]:
		return decider.reject(503, "evacuated", "this daemon's zone is evacuated; call /v1/locate for another daemon", time.Second)
	}
	return nil
}

type candidate struct {
	row      routing.Row
	endpoint *routing.Endpoint
	credit   int
	units    int
	isHome   bool // in this daemon's region
}

// candidates lists the rows of the view's routing tables that the call may use.
func (decider *Decider) candidates(view *lease.View, call *Call, avoid map[string]bool) (out []candidate) {
	now := decider.World.Now()
	for name, suspected := range decider.suspects {
		if now >= suspected.until && view.ConfirmedAt[suspected.region] >= suspected.until-view.Tree.Duration("permit_ms", "")/2 {
			delete(decider.suspects, name)
		}
	}
	for name, until := range decider.fullUntil {
		if now >= until {
			delete(decider.fullUntil, name)
		}
	}
	for _, region := range view.Tree.Regions() {
		table, known := view.RoutingTables[region]
		if !known || !call.within(view, region) {
			continue
		}
		index := map[string]*routing.Endpoint{}
		for at := range table.Places {
			endpoint := &table.Places[at]
			index[endpoint.ID] = endpoint
			if past, known := decider.endedBoots[endpoint.ID]; known && past != endpoint.Boot {
				delete(decider.endedBoots, endpoint.ID)
			}
		}
		isWatched, fails := decider.watchedVersion(view, region, call) != "", decider.watchedFails(view, region, call)
		pending := decider.pendingTakeover(view, call)
		for _, listed := range table.Rows {
			row := rowFor(listed, pending)
			endpoint := index[row.Replica]
			if row.Back != fails && (row.Back || isWatched) {
				continue
			}
			if row.Model != call.Model || endpoint == nil || view.Evacuated[endpoint.Zone] || avoid[row.Replica] || decider.suspects[row.Replica].until > 0 || decider.fullUntil[row.Replica] > 0 || deniesKind(row, call.Kind) {
				continue
			}
			if _, isPast := decider.endedBoots[row.Replica]; isPast {
				continue
			}
			if credit := endpoint.Credits[decider.Self.Name]; credit > 0 {
				units := 0
				if used := decider.uses[row.Replica]; used != nil {
					units = used.units
				}
				out = append(out, candidate{row, endpoint, credit, units, region == decider.Self.Region})
			}
		}
	}
	return out
}

func deniesKind(row routing.Row, kind string) bool {
	for _, denied := range row.Deny {
		if denied == kind {
			return true
		}
	}
	return false
}

// Cost returns the cost units of a call, at most routing.MaxRequestCost.
func Cost(tree *settings.Tree, zone string, call *Call) int {
	cost := 1 + call.Bytes/int(tree.Limit("prompt_unit_bytes", zone)) + call.MaxAnswerTokens/int(tree.Limit("answer_unit_tokens", zone))
	return min(cost, routing.MaxRequestCost)
}

// Select returns a replica for an allowed call, and waits in the queue if none is free.
// The caller must return the selection through Release.
func (decider *Decider) Select(call *Call, avoid map[string]bool) (*Selection, *verdict.Error) {
	began := decider.World.Now()
	var queued *queuedRequest
	leave := func() {
		if queued == nil {
			return
		}
		for index, other := range decider.queue {
			if other == queued {
				decider.queue = append(decider.queue[:index:index], decider.queue[index+1:]...)
				return
			}
		}
	}
	for {
		decider.mu.Lock()
		view := decider.View()
		now := decider.World.Now()
		if !view.IsValid(now) {
			rejection := decider.reject(503, "no_permit", "this daemon holds no valid lease; try another daemon", time.Second)
			leave()
			decider.mu.Unlock()
			return nil, rejection
		}
		bound := view.Tree.Duration("queue_ms", decider.Self.Zone)
		if call.QueueTimeout > 0 {
			bound = min(bound, call.QueueTimeout)
		}
		cost := Cost(view.Tree, decider.Self.Zone, call)
		list := decider.candidates(view, call, avoid)
		if queued == nil {
			decider.flow(decider.demand, call.Model).add(now, float64(cost))
		}
		late := now-began > bound/4 || decider.estimateWait(call.Model, cost) > bound/2
		if selection := decider.pick(view, call, list, cost, late); selection != nil {
			leave()
			decider.mu.Unlock()
			return selection, nil
		}
		if queued == nil {
			var rejection *verdict.Error
			switch {
			case len(list) == 0 && !decider.served(view, call):
				rejection = decider.reject(503, "no_replica", "no replica can serve this request now", retryDelay(view))
			case len(decider.queue) >= int(view.Tree.Limit("queue_length", decider.Self.Zone)):
				rejection = decider.reject(503, "queue_full", "the queue is full", retryDelay(view))
			case decider.estimateWait(call.Model, cost) > bound:
				rejection = decider.reject(503, "too_late", "the estimated queueing time exceeds the time allowed", max(time.Second, decider.estimateWait(call.Model, cost)))
			}
			if rejection != nil {
				decider.mu.Unlock()
				return nil, rejection
			}
			queued = &queuedRequest{mailbox: decider.World.Mailbox(), model: call.Model, cost: cost}
			decider.queue = append(decider.queue, queued)
		}
		if now-began >= bound {
			rejection := decider.reject(503, "too_late", "no replica became free within the queue timeout", retryDelay(view))
			leave()
			decider.mu.Unlock()
			return nil, rejection
		}
		decider.mu.Unlock()
		// A release or a new view wakes it up. It waits for a quarter of the bound at
		// most, as after that replicas of other regions may be used too.
		queued.mailbox.Take(min(began+bound-now, bound/4))
	}
}

// within reports whether the call may run in the region, by the caller's home and the
// placement's.
func (call *Call) within(view *lease.View, region string) bool {
	return view.Tree.Allowed(call.Home, region) && view.Tree.Allowed(call.placementHome, region)
}

// served reports whether any replica in any region could serve the call, whether or not
// this daemon has credits there.
func (decider *Decider) served(view *lease.View, call *Call) bool {
	for _, region := range view.Tree.Regions() {
		if !call.within(view, region) {
			continue
		}
		table := view.RoutingTables[region]
		placed := endpointIndex{list: table.Places}
		for _, row := range table.Rows {
			if endpoint := placed.of(row.Replica); row.Model == call.Model && !deniesKind(row, call.Kind) && endpoint != nil && !view.Evacuated[endpoint.Zone] {
				return true
			}
		}
	}
	return false
}

// estimateWait estimates how long a new call of the model would wait in the queue.
func (decider *Decider) estimateWait(model string, cost int) time.Duration {
	ahead := 0
	for _, queued := range decider.queue {
		if queued.model == model {
			ahead += queued.cost
		}
	}
	rate := decider.flow(decider.released, model).rate(decider.World.Now())
	if ahead == 0 || rate < 0.5 {
		return 0 // no estimate; the queue's length and timeout still apply
	}
	return time.Duration(float64(ahead+cost) / rate * float64(time.Second))
}

// pick selects among the candidates with free credit: the home region before others, the
// replica that has cached the prompt while it is not much busier than the rest, and
// otherwise the one whose credit is used least. It returns nil if there is none.
func (decider *Decider) pick(view *lease.View, call *Call, list []candidate, cost int, late bool) *Selection {
	var free []candidate
	anyHome := false
	for _, option := range list {
		anyHome = anyHome || option.isHome
	}
	maxCredit := 0
	for _, option := range list {
		maxCredit = max(maxCredit, option.credit)
	}
	// A request that costs more than all of this daemon's credits at any replica takes a
	// whole credit, and goes to a replica where this daemon runs nothing else. It goes to
	// a cold one only if no other daemon may send requests there.
	heavy := cost > maxCredit
	for _, option := range list {
		if heavy && (option.units > 0 || option.endpoint.Warm < 1 && !option.endpoint.IsExclusive(decider.Self.Name)) {
			continue
		}
		if !heavy && option.units+cost > option.credit || !option.isHome && anyHome && !late {
			continue
		}
		free = append(free, option)
	}
	free = decider.trial(view, call, free)
	if len(free) == 0 {
		return nil
	}
	best := func(home bool) (candidate, bool, bool) {
		var group []candidate
		total, credit := 0, 0
		for _, option := range list {
			if option.isHome == home {
				total += option.units
				credit += option.credit
			}
		}
		for _, option := range free {
			if option.isHome == home {
				group = append(group, option)
			}
		}
		if len(group) == 0 {
			return candidate{}, false, false
		}
		if group[0].row.Trial && decider.allowsAnyVersion(view, call.Model) {
			return slices.MaxFunc(group, func(a, b candidate) int {
				return cmp.Compare(trialRank(a.row.Model, a.row.Version, a.row.Replica), trialRank(b.row.Model, b.row.Version, b.row.Replica))
			}), false, true
		}
		sort.Slice(group, func(a, b int) bool {
			x, y := score(call.Prefix, group[a].row.Replica), score(call.Prefix, group[b].row.Replica)
			return x > y || x == y && group[a].row.Version < group[b].row.Version
		})
		if slack := view.Tree.Limit("affinity_slack", decider.Self.Zone); call.Prefix != 0 && slack > 0 {
			for _, option := range group {
				fairShare := float64(total+cost) * float64(option.credit) / float64(max(1, credit))
				if float64(option.units+cost) <= max(slack*fairShare, float64(option.credit)/2) {
					return option, true, true
				}
				break // only the replica with the highest score has the prompt cached
			}
		}
		least := group[0]
		for _, option := range group[1:] {
			if (option.units+cost)*least.credit < (least.units+cost)*option.credit {
				least = option
			}
		}
		return least, false, true
	}
	option, affine, ok := best(true)
	if !ok {
		if option, affine, ok = best(false); !ok {
			return nil
		}
	}
	selection := &Selection{Replica: option.row.Replica, Address: option.endpoint.Address, Version: option.row.Version, Boot: option.endpoint.Boot, Region: option.endpoint.Region, Serial: view.Serial, Cost: cost, Trial: option.row.Trial, Spill: !option.isHome, Affine: affine, call: call}
	decider.countSelection(view, selection)
	return selection
}

// score is the rendezvous hashing weight of a prompt prefix at a replica.
func score(prefix uint64, name string) uint64 {
	// The FNV-1a hash of "%x/%s" of the two, without formatting the text.
	const offset, prime = 14695981039346656037, 1099511628211
	var digits [17]byte
	value := uint64(offset)
	for _, char := range append(strconv.AppendUint(digits[:0], prefix, 16), '/') {
		value = (value ^ uint64(char)) * prime
	}
	for index := range len(name) {
		value = (value ^ uint64(name[index])) * prime
	}
	return session.MixHash(value)
}

// Prefix hashes the first 1024 bytes of a prompt; the hash is 0 only if the prompt is empty.
func Prefix(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	sum := fnv.New64a()
	_, _ = sum.Write(prompt[:min(len(prompt), 1024)])
	return sum.Sum64() | 1
}
