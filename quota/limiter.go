package quota

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/wire"
)

// Options configure a Limiter.
type Options struct {
	World loop.World
	Net   wire.Net
	Self  session.Member
	// Limits returns the limits in force; never nil.
	Limits func() *Limits
	// Members returns the latest member list, which includes this daemon, and until when the list
	// is valid: a daemon that is not on it had no session at that time.
	Members func() (members []session.Member, listed time.Duration)
}

// Limiter is the rate limiter of a daemon: it decides whether a tenant's request is within its limit.
//
// Invariants: for a tenant not known to be near its limit, the daemon lets requests through without
// asking only while at most unreportedLimit of them are unconfirmed by its aggregator; for a tenant
// near its limit, it lets through what the aggregator granted. A request that was let through but did
// not run is returned once.
type Limiter struct {
	Options
	aggregator *aggregator

	mutex sync.Mutex
	out   outbox
	// aggregatorAddress is the aggregator that answered last, lastReply when it did, and
	// lastPressure the pressure in that reply.
	aggregatorAddress string
	lastReply         time.Duration
	// lastMove is when the daemon last moved its share to another aggregator.
	lastMove     time.Duration
	lastPressure Pressure
	nearLimit    map[uint64]bool
	// firstListed is when the first member list arrived. isSelfReady is set once the daemon may
	// be its own aggregator even if others are reachable.
	firstListed time.Duration
	isSelfReady bool
	isReporting bool
	isReportDue bool
	waiters     []*waiter
	// unresponsive holds the region's aggregators that failed to answer and have not answered a
	// probe since. avoidUntil is until when a peer that failed to answer is not contacted.
	unresponsive map[string]bool
	avoidUntil   map[string]time.Duration
	exchanges    map[string]*peerExchange
	directory
}

// waiter is a request that waits for its aggregator's reply.
type waiter struct {
	limit   *tenantLimit
	mailbox loop.Mailbox
}

// decision is the result that a waiter receives.
type decision struct {
	isAllowed  bool
	retryAfter time.Duration
}

// peerExchange is the gossip with one peer: at most one call at a time, repeated at once if isDue.
type peerExchange struct{ isRunning, isDue bool }

// directory holds the data daemons known to this one.
type directory struct {
	list    []session.Member // the latest member list
	members map[string]*daemon
	// regions holds, by region, the wire addresses of the listed daemons that are not leaving, in the
	// order in which they are chosen as aggregator.
	regions map[string][]string
}

// daemon is a known data daemon.
type daemon struct {
	session.Member
	// unlistedSince is when the daemon dropped off the member list; 0 if it is listed.
	unlistedSince time.Duration
	isListed      bool
}

// NewLimiter returns a rate limiter; Run starts its reports.
func NewLimiter(options Options) *Limiter {
	meter := &Limiter{Options: options, aggregator: newAggregator(options.Self.Incarnation, options.Limits()), unresponsive: map[string]bool{}, avoidUntil: map[string]time.Duration{}, exchanges: map[string]*peerExchange{}}
	meter.members = map[string]*daemon{}
	return meter
}

// Take reports whether a request of the tenant may proceed and, if not, after what time it may be
// retried. It may wait for the aggregator's reply.
func (meter *Limiter) Take(tenant string) (retryAfter time.Duration, isAllowed bool) {
	limits := meter.Limits()
	limit := limits.byName[tenant]
	if limit == nil {
		return 0, true
	}
	now := meter.World.Now()
	meter.mutex.Lock()
	isFresh := meter.lastReply > 0 && now-meter.lastReply < limits.unreachableAfter()
	if isFresh && !meter.nearLimit[limit.key] && meter.out.unconfirmed(limit.key) < meter.unreportedLimit(limit) {
		meter.out.add(limit.key, 1, 1)
		meter.mutex.Unlock()
		return 0, true
	}
	waiting := &waiter{limit, meter.World.Mailbox()}
	meter.waiters = append(meter.waiters, waiting)
	meter.startReport()
	meter.mutex.Unlock()
	value, isAnswered := waiting.mailbox.Take(maxReplyWaits * limits.replyTimeout())
	if !isAnswered {
		return limits.replyTimeout(), false
	}
	result := value.(decision)
	if !result.isAllowed {
		result.retryAfter += time.Duration(meter.World.RandN(int64(result.retryAfter) + 1))
	}
	return result.retryAfter, result.isAllowed
}

// maxReplyWaits is the number of reply timeouts for which a request waits at most.
const maxReplyWaits = 4

// unreportedLimit returns how many requests of a tenant that is not near its limit may be unconfirmed
// by the aggregator.
func (meter *Limiter) unreportedLimit(limit *tenantLimit) int64 {
	return max(1, int64(limit.errorPart/float64(max(1, len(meter.members)))))
}

// Refund gives back a request that was allowed but did not run.
func (meter *Limiter) Refund(tenant string) {
	if limit := meter.Limits().byName[tenant]; limit != nil {
		meter.mutex.Lock()
		meter.out.add(limit.key, -1, 0)
		meter.mutex.Unlock()
	}
}

// startReport starts a report to the aggregator, or has the one in progress followed by another. The
// caller holds the mutex.
func (meter *Limiter) startReport() {
	if meter.isReporting {
		meter.isReportDue = true
		return
	}
	meter.isReporting = true
	meter.World.Go(func() {
		for meter.reportOnce() {
		}
	})
}

// reportOnce sends one report to the aggregator and gives the waiters their decisions. It returns
// whether another report is due.
func (meter *Limiter) reportOnce() bool {
	limits := meter.Limits()
	meter.mutex.Lock()
	waiters := meter.waiters
	meter.waiters, meter.isReportDue = nil, false
	meter.mutex.Unlock()
	var reply *ReportReply
	report := Report{From: meter.Self.Incarnation}
	wants := map[*tenantLimit]uint64{}
	var order []*tenantLimit
	for _, waiter := range waiters {
		if wants[waiter.limit]++; wants[waiter.limit] == 1 {
			order = append(order, waiter.limit)
		}
	}
	for _, limit := range order {
		report.Keys, report.Wants = append(report.Keys, limit.key), append(report.Wants, wants[limit])
	}
	// If two aggregators in turn do not answer, this daemon is its own aggregator until one does.
	lastFailed := ""
	for attempt := 0; reply == nil; attempt++ {
		meter.mutex.Lock()
		now := meter.World.Now()
		if attempt == maxAttempts {
			for _, address := range meter.regions[meter.Self.Region] {
				meter.unresponsive[address] = true
			}
		}
		address := meter.bestAggregator()
		report.Former, report.Age = nil, 0
		if address != meter.aggregatorAddress && meter.lastReply > 0 {
			former := meter.lastPressure
			report.Former, report.Age = &former, now-meter.lastReply
			report.IsBare = meter.lastMove > 0 && now-meter.lastMove < limits.Window
		}
		report.Seq, report.Since, report.Sums = meter.out.compose()
		meter.mutex.Unlock()
		reply = meter.send(address, report, limits)
		meter.mutex.Lock()
		now = meter.World.Now()
		if reply == nil {
			// A single call may be lost or late even if the aggregator is healthy.
			if lastFailed == address || attempt > 0 {
				meter.unresponsive[address] = true
			}
			lastFailed = address
		} else {
			meter.out.confirm()
			if address != meter.aggregatorAddress && meter.lastReply > 0 && !report.IsBare {
				meter.lastMove = now
			}
			meter.aggregatorAddress, meter.lastReply, meter.lastPressure = address, now, reply.Pressure
			// If this aggregator fails, the ones after it are worth another attempt.
			addresses := meter.regions[meter.Self.Region]
			for _, other := range addresses[slices.Index(addresses, address)+1:] {
				delete(meter.unresponsive, other)
			}
			meter.nearLimit = make(map[uint64]bool, len(reply.Pressure.Keys))
			for _, key := range reply.Pressure.Keys {
				meter.nearLimit[key] = true
			}
		}
		meter.mutex.Unlock()
	}
	for i, limit := range order {
		remaining, wait := uint64(0), time.Duration(0)
		if i < len(reply.Granted) && i < len(reply.Waits) {
			remaining, wait = reply.Granted[i], time.Duration(reply.Waits[i])*time.Millisecond
		}
		for _, waiter := range waiters {
			if waiter.limit != limit {
				continue
			}
			if remaining > 0 {
				remaining--
				waiter.mailbox.Put(decision{isAllowed: true})
			} else {
				waiter.mailbox.Put(decision{retryAfter: wait})
			}
		}
	}
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.isReporting = meter.isReportDue
	return meter.isReporting
}

// send sends a report to an aggregator and returns its reply, or nil if there was none.
func (meter *Limiter) send(address string, report Report, limits *Limits) *ReportReply {
	if address == meter.Self.Wire {
		reply := meter.report(report)
		return &reply
	}
	reply := new(ReportReply)
	if meter.Net.Call(address, "Quota.Report", report, reply, limits.replyTimeout()) != nil {
		return nil
	}
	return reply
}

// maxAttempts is the number of calls before a daemon falls back to its own share: two to one
// aggregator and one to the next.
const maxAttempts = 3

// bestAggregator returns the address to report to: the first of the region's daemons that is not
// unresponsive, or this daemon itself.
func (meter *Limiter) bestAggregator() string {
	for _, address := range meter.regions[meter.Self.Region] {
		if address == meter.Self.Wire && meter.isSelfReady || address != meter.Self.Wire && !meter.unresponsive[address] {
			return address
		}
	}
	return meter.Self.Wire
}

// updateMembers takes over a new member list. A daemon that left gracefully is removed at once. A daemon
// that is no longer listed may still run in isolation, so it keeps its share for the reserve, and for
// longer while the mutually reachable daemons are not a majority.
func (meter *Limiter) updateMembers(now time.Duration, list []session.Member, reserve time.Duration, hasMajority bool) {
	if len(list) != len(meter.list) || len(list) > 0 && &list[0] != &meter.list[0] {
		meter.list, meter.regions = list, map[string][]string{}
		for _, member := range meter.members {
			member.isListed = false
		}
		for _, listed := range list {
			if listed.Role != session.Data {
				continue
			}
			known := meter.members[listed.Name]
			if known == nil {
				known = &daemon{}
				meter.members[listed.Name] = known
			}
			known.Member, known.isListed = listed, true
			if !listed.Leaving || listed.Name == meter.Self.Name {
				meter.regions[listed.Region] = append(meter.regions[listed.Region], listed.Wire)
			}
		}
		for region, addresses := range meter.regions {
			slices.SortFunc(addresses, func(a, b string) int { return cmp.Or(cmp.Compare(priority(b), priority(a)), cmp.Compare(a, b)) })
			meter.regions[region] = slices.Compact(addresses)
		}
		for _, member := range meter.members {
			if !member.isListed && member.unlistedSince == 0 {
				member.unlistedSince = now
			} else if member.isListed {
				member.unlistedSince = 0
			}
		}
	}
	for name, member := range meter.members {
		if !member.isListed && name != meter.Self.Name && (member.Leaving || hasMajority && now-member.unlistedSince > reserve) {
			delete(meter.members, name)
		}
	}
}

// priority is the rank of an address as aggregator: the highest comes first.
func priority(address string) uint64 { return weight(0, address) }

// Run sends reports to the aggregator and, as an aggregator, gossip to the peers. It returns only
// when its World ends.
func (meter *Limiter) Run() {
	loop.Every(meter.World, func() time.Duration { return meter.Limits().reportInterval() }, func() bool {
		meter.tick()
		return true
	})
}

// tick performs one round of Run.
func (meter *Limiter) tick() {
	limits := meter.Limits()
	now := meter.World.Now()
	list, validUntil := meter.Members()
	if len(list) == 0 {
		return // the daemon serves no requests yet and cannot count for others
	}
	meter.aggregator.mutex.Lock()
	reachable := meter.aggregator.reachable
	meter.aggregator.mutex.Unlock()
	meter.mutex.Lock()
	if meter.firstListed == 0 {
		meter.firstListed = max(1, now)
	}
	isStarting := now-meter.firstListed < limits.unreachableAfter()
	meter.updateMembers(now, list, limits.Reserve+limits.Window, 2*reachable > len(meter.members))
	allDaemons := len(meter.members)
	// After so long without a valid member list, the others may have taken over this daemon's share.
	isExpired := now > validUntil+limits.Reserve && 2*reachable <= allDaemons
	if len(limits.byName) == 0 {
		meter.mutex.Unlock()
		return // there is nothing to count
	}
	toProbe := meter.unresponsiveAggregators()
	outranksCurrent := !meter.isSelfReady && meter.aggregatorAddress != meter.Self.Wire && priority(meter.Self.Wire) > priority(meter.aggregatorAddress)
	meter.startReport()
	meter.mutex.Unlock()
	meter.aggregator.update(now, limits, allDaemons, isStarting, isExpired)
	if isReady := !outranksCurrent || meter.aggregator.prepare(now); isReady && !isStarting {
		meter.mutex.Lock()
		meter.isSelfReady = true
		meter.mutex.Unlock()
	}
	for _, address := range toProbe {
		meter.World.Go(func() { meter.probe(address, limits.replyTimeout()) })
	}
	meter.gossip()
}

// unresponsiveAggregators returns the aggregators to probe: of those that precede the current one and
// did not answer, the first and a random selection of the others.
func (meter *Limiter) unresponsiveAggregators() (out []string) {
	for _, address := range meter.regions[meter.Self.Region] {
		if address == meter.Self.Wire && !meter.isSelfReady {
			continue
		}
		if !meter.unresponsive[address] || address == meter.Self.Wire {
			break
		}
		out = append(out, address)
	}
	for i := 1; i < len(out); i++ {
		other := i + int(meter.World.RandN(int64(len(out)-i)))
		out[i], out[other] = out[other], out[i]
	}
	return out[:min(len(out), maxProbes)]
}

// maxProbes is the number of unresponsive aggregators to probe per round.
const maxProbes = 4

// probe checks an unresponsive aggregator and makes it eligible again if it answers.
func (meter *Limiter) probe(address string, timeout time.Duration) {
	answered := ""
	if meter.Net.Call(address, "Quota.Hail", meter.Self.Incarnation, &answered, timeout) == nil {
		meter.mutex.Lock()
		delete(meter.unresponsive, address)
		meter.mutex.Unlock()
	}
}

// peerAddresses returns the peers to send gossip to: the first responsive daemon of each region that
// precedes this one in its order. gossip adds those that this aggregator heard from recently.
func (meter *Limiter) peerAddresses(now time.Duration) (out []string) {
	for _, addresses := range meter.regions {
		for _, address := range addresses {
			if address == meter.Self.Wire {
				break
			}
			if now >= meter.avoidUntil[address] {
				out = append(out, address)
				break
			}
		}
	}
	return out
}

// gossip sends a message to each peer. If one is already in progress, the next follows it.
func (meter *Limiter) gossip() {
	now := meter.World.Now()
	meter.aggregator.mutex.Lock()
	isActive := meter.aggregator.isActive
	meter.aggregator.isUrgent = false
	var addresses []string
	for address, peer := range meter.aggregator.peers {
		if now-peer.in.lastHeard < 2*meter.aggregator.limits.unreachableAfter() && peer.in.lastHeard > 0 {
			addresses = append(addresses, address)
		}
	}
	meter.aggregator.mutex.Unlock()
	if !isActive {
		return
	}
	meter.mutex.Lock()
	addresses = append(addresses, meter.peerAddresses(now)...)
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		exchange := meter.exchanges[address]
		if exchange == nil {
			exchange = &peerExchange{}
			meter.exchanges[address] = exchange
		}
		exchange.isDue = true
		if exchange.isRunning {
			continue
		}
		exchange.isRunning = true
		meter.World.Go(func() {
			for meter.gossipOnce(address, exchange) {
			}
		})
	}
	meter.mutex.Unlock()
}

// gossipOnce sends one message to a peer and returns whether another one is due.
func (meter *Limiter) gossipOnce(address string, exchange *peerExchange) bool {
	limits := meter.Limits()
	meter.mutex.Lock()
	exchange.isDue = false
	meter.mutex.Unlock()
	message, isActive := meter.aggregator.composeGossip(meter.World.Now(), address, meter.Self.Wire)
	var reply GossipReply
	if isActive {
		err := meter.Net.Call(address, "Quota.Share", message, &reply, limits.unreachableAfter()/2)
		now := meter.World.Now()
		if err == nil {
			meter.aggregator.confirmGossip(now, address, message, reply)
		} else {
			meter.mutex.Lock()
			meter.avoidUntil[address] = now + limits.Window/avoidParts
			meter.mutex.Unlock()
		}
		loop.Sleep(meter.World, limits.Window/urgentGapParts)
	}
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	exchange.isRunning = exchange.isDue && isActive
	return exchange.isRunning
}

// report processes a report as the aggregator and, if it is urgent, sends gossip at once.
func (meter *Limiter) report(report Report) ReportReply {
	reply, isUrgent := meter.aggregator.report(meter.World.Now(), report)
	if isUrgent {
		meter.gossip()
	}
	return reply
}

// errNotReady is the error of a daemon that has not had a member list for long enough, or that has
// not yet obtained the bucket levels from other aggregators.
var errNotReady = errors.New("this daemon is not ready to aggregate quota reports yet")

// isStarting reports whether the daemon has no member list yet, or has had one for too short a time
// for the list to be complete.
func (meter *Limiter) isStarting() bool {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	return meter.firstListed == 0 || meter.World.Now()-meter.firstListed < meter.Limits().unreachableAfter()
}

// Service holds the methods that daemons call on one another.
type Service struct{ Meter *Limiter }

// Report processes a daemon's report.
func (service Service) Report(report Report, reply *ReportReply) error {
	if service.Meter.isStarting() {
		return errNotReady
	}
	*reply = service.Meter.report(report)
	return nil
}

// Share processes another aggregator's gossip message.
func (service Service) Share(message GossipMessage, reply *GossipReply) error {
	*reply = service.Meter.aggregator.receiveGossip(service.Meter.World.Now(), message)
	return nil
}

// Hail answers a probe. It fails until this daemon is ready to be an aggregator.
func (service Service) Hail(_ string, incarnation *string) error {
	meter := service.Meter
	if meter.isStarting() || !meter.aggregator.prepare(meter.World.Now()) {
		meter.gossip()
		return errNotReady
	}
	*incarnation = service.Meter.Self.Incarnation
	return nil
}

// Tenant is a tenant near its limit, as last reported by the aggregator.
type Tenant struct {
	Name  string  `json:"tenant"`
	Level float64 `json:"level"`
	// PerSecond and Burst are the tenant's limit.
	PerSecond float64 `json:"per_s"`
	Burst     float64 `json:"burst"`
}

// Status is a daemon's view of the limits.
type Status struct {
	// Aggregator is the wire address of the daemon's aggregator, Age the time since its last reply.
	Aggregator string `json:"hub"`
	Age        int64  `json:"age_ms"`
	// Share is the fraction of the limits that this group of mutually reachable daemons uses.
	Share     float64  `json:"share"`
	NearLimit []Tenant `json:"near_limit"`
}

// Status returns the daemon's current view of the limits.
func (meter *Limiter) Status() Status {
	limits := meter.Limits()
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	status := Status{Aggregator: meter.aggregatorAddress, Age: (meter.World.Now() - meter.lastReply).Milliseconds(), Share: meter.lastPressure.Share, NearLimit: []Tenant{}}
	for i, key := range meter.lastPressure.Keys {
		if limit := limits.byKey[key]; limit != nil {
			status.NearLimit = append(status.NearLimit, Tenant{limit.Tenant, meter.lastPressure.Levels[i], limit.PerSecond, limit.Burst})
		}
	}
	return status
}
