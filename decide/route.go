package decide

import (
	"time"

	"swifttiller/settings"
	"swifttiller/verdict"
)

// Routed is a request that is routed by host and path. It carries no ticket: each try of a
// caller is a request of its own and is handled by a single daemon.
type Routed struct {
	ID, Host, Path string
	// Tokens is the length of the prompt and MaxAnswerTokens the limit on the answer, in tokens. Parts
	// are the pieces of the prompt; all but the last may be shared with other requests.
	Tokens, MaxAnswerTokens int
	Parts                   []Part
	Bytes                   int
	// Deadline is the caller's deadline, on the clock of the world.
	Deadline time.Duration
	// Key is the caller's API key, empty for none.
	Key string
	// ReceivedAt is when the request was read.
	ReceivedAt time.Duration

	// Route, Model and Tenant are set by Resolve. Tenant is nil for requests on a keyless
	// route, and for all requests if the configuration has no tenants.
	Route  *settings.Route
	Model  string
	Tenant *settings.Tenant
	// IsTenanted reports whether the configuration has tenants at all.
	IsTenanted bool
	call       Call
	// sharedKey is the hash that requests with the same shared parts have in common; ownerKey is
	// the key by which the owner of these parts is found.
	sharedKey, ownerKey uint64
	// isQuotaCharged is set while the request counts against its tenant's limit.
	isQuotaCharged bool
}

// Resolve finds the route and the model of a request by the configuration of the current
// lease, or rejects the request.
//
// A request above its tenant's limit is rejected. The check may wait for another daemon's
// reply, so it runs outside of the lock.
func (decider *Decider) Resolve(routed *Routed) *verdict.Error {
	if failure := decider.resolve(routed); failure != nil {
		return failure
	}
	if decider.Quota == nil || routed.Tenant == nil {
		return nil
	}
	retryAfter, isAllowed := decider.Quota.Take(routed.Tenant.Name)
	if routed.isQuotaCharged = isAllowed; isAllowed {
		return nil
	}
	decider.mu.Lock()
	defer decider.mu.Unlock()
	return decider.reject(429, "over_quota", "the tenant is above its rate limit", retryAfter)
}

// RefundQuota refunds a request that was admitted by Resolve and not run to its tenant's limit.
func (decider *Decider) RefundQuota(routed *Routed) {
	if routed.isQuotaCharged {
		routed.isQuotaCharged = false
		decider.Quota.Refund(routed.Tenant.Name)
	}
}

func (decider *Decider) resolve(routed *Routed) *verdict.Error {
	view := decider.View()
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	switch {
	case decider.stopped:
		return decider.reject(503, "stopping", "this daemon is shutting down", retryAfterSoon)
	case !view.MayServe(now):
		return decider.reject(503, "no_permit", "this daemon holds no valid lease; try another daemon", retryAfterRestart)
	}
	route := view.Tree.Route(routed.Host, routed.Path)
	if route == nil {
		return decider.reject(404, "no_route", "no route matches this host and path", 0)
	}
	routed.Tenant, routed.IsTenanted = nil, view.Tree.HasTenants()
	if routed.IsTenanted && !route.Keyless {
		if routed.Tenant = view.Tree.TenantByKey(routed.Key); routed.Tenant == nil {
			return decider.reject(401, "unknown_key", "no tenant has the API key of this request", 0)
		}
	}
	routed.Route, routed.ReceivedAt = route, now
	decider.lastAdmitted = now
	routed.Model = decider.pickModel(route)
	if route.Idempotent() {
		decider.lastRepeatable[routed.Model] = now
	}
	if limit := now + route.Timeout; route.Timeout > 0 && (routed.Deadline == 0 || routed.Deadline > limit) {
		routed.Deadline = limit
	}
	if routed.Deadline <= now {
		return decider.reject(503, "too_late", "the caller's deadline has passed", 0)
	}
	if failure := decider.checkDrain(now, routed.Deadline, retryAfterSoon); failure != nil {
		return failure
	}
	routed.call = Call{ID: routed.ID, Model: routed.Model, Kind: route.Name, Path: routed.Path, Bytes: routed.Bytes}
	routed.sharedKey = sharedPrefixKey(routed)
	decider.countTenantRequest(view, routed)
	decider.counts.Demanded++
	decider.repeatBudget(routed.Model).slice(now).firstTries++
	decider.flow(decider.demand, routed.Model).add(now, 1)
	return nil
}

// within reports whether the request may be served in the region: the homes of its route and
// those of its tenant, where set, must both include it.
func (routed *Routed) within(region string) bool {
	return routed.Route.AllowedIn(region) && routed.Tenant.AllowedIn(region)
}

// Urgency returns the priority of the request, 0 first: that of its tenant if set, else that of its route.
func (routed *Routed) Urgency() int {
	if routed.Tenant != nil && routed.Tenant.HasUrgency {
		return routed.Tenant.Urgency
	}
	return routed.Route.Urgency
}

// repeatBudget returns the retry budget for the routed requests of a model.
func (decider *Decider) repeatBudget(model string) *retryBudget {
	if decider.repeatBudgets[model] == nil {
		decider.repeatBudgets[model] = &retryBudget{}
	}
	return decider.repeatBudgets[model]
}

// AllowRetry reports whether a routed request may be sent to one more replica. If so, it takes
// one retry from the budget of the model.
func (decider *Decider) AllowRetry(routed *Routed) bool {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	view := decider.View()
	if view.Tree == nil || !decider.takeRetry(view, decider.repeatBudget(routed.Model)) {
		return false
	}
	decider.counts.Redispatches++
	return true
}

// HasReplica reports whether a replica other than those to avoid may get the request now.
func (decider *Decider) HasReplica(routed *Routed, avoid Avoid) bool {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	view := decider.View()
	if view.Tree == nil {
		return false
	}
	best, _, _ := decider.routeCandidates(view, routed, avoid, decider.World.Now())
	return best != nil
}

// retryAfterSoon is the retry delay for a request that another daemon can take.
const retryAfterSoon = 50 * time.Millisecond

// pickModel picks a model at random by the weights of the route.
func (decider *Decider) pickModel(route *settings.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Model
	}
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	drawn := float64(decider.World.RandN(1<<30)) / (1 << 30) * total
	for _, share := range route.Shares {
		if drawn -= share.Weight; drawn < 0 {
			return share.Model
		}
	}
	return route.Shares[len(route.Shares)-1].Model
}

// Route selects a replica for a request that was admitted by Resolve. If none is available
// now, it waits for a short time. The caller must end the selection with EndRouted.
func (decider *Decider) Route(routed *Routed, avoid Avoid) (*Selection, *verdict.Error) {
	until := decider.World.Now() + min(routed.Route.Target/queueWaitDivisor, maxQueueWait)
	for {
		decider.mu.Lock()
		view := decider.View()
		now := decider.World.Now()
		if !view.MayServe(now) {
			failure := decider.reject(503, "no_permit", "this daemon holds no valid lease; try another daemon", retryAfterSoon)
			decider.mu.Unlock()
			return nil, failure
		}
		best, candidates, wait := decider.routeCandidates(view, routed, avoid, now)
		if best != nil && best.ttft > time.Duration(maxTimeoutShare*float64(routed.Deadline-now)) {
			// The caller would give up before the answer begins, and the request would delay others meanwhile.
			failure := decider.reject(503, "too_late", "no replica can begin to answer in time", min(best.ttft/2, maxRetryAfter))
			decider.mu.Unlock()
			return nil, failure
		}
		if best != nil {
			selection := decider.reserve(view, routed, best, now)
			selection.choice = decider.recordChoice(routed, best, candidates, now)
			decider.mu.Unlock()
			return selection, nil
		}
		if wait == 0 || now+wait > until {
			failure := decider.reject(503, "no_replica", "no replica can serve this request now", max(retryAfterSoon, min(wait, retryAfterLater)))
			if wait == 0 {
				failure.ComeBack = decider.noReplicaRetryAfter(routed.Route.Name, now)
			}
			decider.mu.Unlock()
			return nil, failure
		}
		entry := &queuedRequest{mailbox: decider.World.Mailbox(), model: routed.Model, cost: 1}
		decider.queue = append(decider.queue, entry)
		decider.mu.Unlock()
		entry.mailbox.Take(min(wait, until-now))
		decider.mu.Lock()
		decider.dequeue(entry)
		decider.mu.Unlock()
	}
}

// noReplicaRetryAfter returns the retry delay for a route without any available replica: the
// time for which that has lasted so far, within bounds, as nothing else tells how long it
// will last.
func (decider *Decider) noReplicaRetryAfter(route string, now time.Duration) time.Duration {
	since, has := decider.noReplicaSince[route]
	if !has {
		since = now
		decider.noReplicaSince[route] = now
	}
	return max(retryAfterLater, min(now-since, maxRetryAfter))
}

// Limits on waiting. A routed request waits for a replica for at most its route's target
// divided by queueWaitDivisor, and at most maxQueueWait; after that it is rejected with a
// retry delay of at most maxRetryAfter.
const (
	queueWaitDivisor = 6
	maxQueueWait     = 200 * time.Millisecond
	retryAfterLater  = 500 * time.Millisecond
	maxRetryAfter    = 2 * time.Second
	// maxTimeoutShare is the share of the caller's remaining time by which the first token must be predicted.
	maxTimeoutShare = 0.7
	// retryAfterRestart is how long a restarted daemon takes to get a lease.
	retryAfterRestart = time.Second
)

// dequeue removes a request from the queue.
func (decider *Decider) dequeue(entry *queuedRequest) {
	for index, waiting := range decider.queue {
		if waiting == entry {
			decider.queue = append(decider.queue[:index:index], decider.queue[index+1:]...)
			return
		}
	}
}
