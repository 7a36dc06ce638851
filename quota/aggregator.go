package quota

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Report is a daemon's message to its aggregator. It reports counts and requests grants.
type Report struct {
	// From is the incarnation of the daemon.
	From       string
	Seq, Since uint64
	Sums       Sums
	// Keys are the tenants with requests waiting for a grant, Wants the number of these requests.
	Keys, Wants []uint64
	// Former is set if this aggregator is not the one that answered last: it is the pressure that
	// the last one reported, Age ago. IsBare is set if the daemon has already moved its share of
	// the buckets to another aggregator within this window, so that it contributes none.
	Former *Pressure
	Age    time.Duration
	IsBare bool
}

// ReportReply is an aggregator's reply to a report.
type ReportReply struct {
	Hub string
	// Granted is the number of requests granted for each entry of Report.Wants, in the same order.
	// Waits is the time in ms after which the next request may be granted, where some were rejected.
	Granted, Waits []uint64
	Pressure       Pressure
}

// Pressure lists the tenants near their limit with the levels of their buckets, and the share of
// the limits by which the sender's buckets fill. The buckets of all other tenants are at least half
// full.
type Pressure struct {
	Keys   []uint64
	Levels []float64
	Share  float64
}

// GossipMessage is a gossip message from one aggregator to another.
type GossipMessage struct {
	From, Address string
	Seq, Since    uint64
	Sums          Sums
	// Count is the number of daemons that report to the sender. InTouch is the number of daemons
	// that report to the sender or to an aggregator that it can reach in both directions.
	Count, InTouch int
	// IsTouched is set if, in the sender's view, sender and receiver reach each other.
	// IsParted is set if the sender fills its buckets by the share of its own daemons only.
	IsTouched, IsParted bool
	// IsNew requests the receiver's table of buckets.
	IsNew bool
	// Age is for how long the sender has been an aggregator, in ms.
	Age      uint64
	Pressure Pressure
}

// GossipReply is the reply to a gossip message. Table, sent only to a new aggregator, holds all buckets
// that are not full.
type GossipReply struct {
	From  string
	Table *Pressure
}

// bucket is the local replica of a tenant's token bucket. It gains PerSecond tokens a second times
// the aggregator's share and loses one token for each request let through anywhere. A negative
// level is debt.
type bucket struct {
	level   float64
	updated time.Duration
	// contributed is the sum of the tokens that daemons brought along to a newly started aggregator.
	contributed float64
	// ownDemand and totalDemand are exponentially decaying counts of the requests made recently,
	// by this aggregator's daemons and by those of all aggregators.
	ownDemand, totalDemand float64
}

// peer is another aggregator, or a daemon that may be one.
type peer struct {
	address, incarnation string
	out                  outbox
	in                   inbox
	daemons              int
	// discovered is when the first message was sent to it or received from it; lastReply is when
	// it last answered.
	discovered, lastReply time.Duration
	// isExcluded is set if the peer was unreachable or isolated, or this aggregator isolated, at
	// the last update. Then neither is sent the other's counts, as each uses its own share only.
	isExcluded bool
	// reachable is the number of daemons that the peer reaches, by its last message: those that
	// report to it or to an aggregator that it reaches in both directions.
	reachable int
	// isMutual is set if the peer, too, considers the two reachable in both directions;
	// isIsolated if it uses the share of its own daemons only nevertheless.
	isMutual, isIsolated bool
}

// isIncluded reports whether the counts that the peer has not confirmed limit what may be granted.
func (peer *peer) isIncluded() bool { return peer.lastReply > 0 && !peer.isExcluded }

// aggregator is the part of a daemon that counts requests for the daemons that report to it.
//
// The bound of the error rests on these invariants (docs/notes/quota.md):
// A bucket that is not in the table is full. The level of a bucket rises only with time, and by
// what an earlier aggregator is known to have had in it.
// Aggregators that can reach one another fill their buckets by no more than their common share, and
// the shares of groups that cannot reach one another add up to at most one.
// A request is granted only if the bucket holds a token for it, and if the requests that peers have not
// confirmed stay within this aggregator's portion of the bucket, or of the error.
type aggregator struct {
	mutex       sync.Mutex
	incarnation string // incarnation of the daemon
	activations int
	isActive    bool // daemons report to it
	hasTable    bool // another aggregator has sent its table
	isStarting  bool // the daemon has only just received its first member list
	lastProbed  time.Duration
	activated   time.Duration
	lastUpdate  time.Duration
	limits      *Limits
	buckets     map[uint64]*bucket
	nearLimit   map[uint64]bool
	reporters   map[string]*inbox
	peers       map[string]*peer
	isUrgent    bool // peers should get a message before the next interval
	// share is the fraction of the limits by which the buckets fill.
	share float64
	// reachable is the value of GossipMessage.InTouch in messages; lastAgreed is when the reachable peers
	// last reported the same value.
	reachable  int
	lastAgreed time.Duration
	allDaemons int // number of all data daemons
}

func newAggregator(incarnation string, limits *Limits) *aggregator {
	return &aggregator{incarnation: incarnation, limits: limits, buckets: map[uint64]*bucket{}, nearLimit: map[uint64]bool{}, reporters: map[string]*inbox{}, peers: map[string]*peer{}}
}

func (agg *aggregator) id() string { return fmt.Sprint(agg.incarnation, "/", agg.activations) }

// activate starts the aggregator on its first report. It starts it anew, with empty buckets, if it
// was stalled, since it missed what tenants used in the meantime.
func (agg *aggregator) activate(now time.Duration) {
	if agg.isActive && now-agg.lastUpdate > agg.limits.unreachableAfter() {
		agg.isActive = false
	}
	if agg.isActive {
		return
	}
	agg.activations++
	agg.isActive, agg.hasTable, agg.activated, agg.lastUpdate, agg.lastAgreed = true, false, now, now, now
	agg.reporters, agg.peers = map[string]*inbox{}, map[string]*peer{}
	agg.buckets, agg.nearLimit = map[uint64]*bucket{}, map[uint64]bool{}
	agg.share = 0
	for _, limit := range agg.limits.byName {
		agg.buckets[limit.key] = &bucket{updated: now}
	}
}

// admit takes in a daemon that has not reported recently. The daemon contributes its fraction of the
// limits, and its fraction of one part of the error or of the bucket level that its former
// aggregator reported, whichever is less.
func (agg *aggregator) admit(now time.Duration, report Report) {
	fraction := 1 / float64(max(1, agg.allDaemons))
	agg.share = min(1, agg.share+fraction)
	levels := map[uint64]float64{}
	former := report.Former
	hasFormer := former != nil && former.Share > 0 && report.Age <= agg.limits.unreachableAfter()
	if hasFormer {
		for i, key := range former.Keys {
			levels[key] = former.Levels[i]
		}
	}
	for key, bucket := range agg.buckets {
		limit := agg.limits.byKey[key]
		if limit == nil {
			continue
		}
		level := limit.errorPart
		if hasFormer {
			if formerLevel, isNearLimit := levels[key]; isNearLimit {
				level = min(max(formerLevel/former.Share, -limit.errorPart), limit.errorPart)
			}
		}
		agg.currentBucket(now, limit)
		if report.IsBare || agg.isStarting {
			level = min(0, level)
		}
		contributed := agg.roundToWhole(limit, report.From, level*fraction)
		bucket.level = min(bucket.level+contributed, agg.capacity(limit))
		bucket.contributed += contributed
		agg.updateNearLimit(limit, bucket)
	}
}

// roundToWhole rounds a daemon's contribution to whole requests. It rounds up or down by a hash of
// tenant and daemon, so that a single daemon can serve some tenants instead of none; over all
// daemons the sum stays the same on average.
func (agg *aggregator) roundToWhole(limit *tenantLimit, from string, level float64) float64 {
	if level <= 0 {
		return level
	}
	whole := math.Floor(level)
	if float64(weight(limit.key, from)>>1)/(1<<63) < level-whole {
		whole++
	}
	return whole
}

// capacity returns the most tokens that a tenant's bucket holds at the current share.
func (agg *aggregator) capacity(limit *tenantLimit) float64 {
	if agg.share <= 0 {
		return 0
	}
	return max(1, limit.capacity*agg.share)
}

// loadTable initializes the buckets from another aggregator's table, which takes precedence over
// the daemons' contributions, less what was granted since.
func (agg *aggregator) loadTable(now time.Duration, table *Pressure) {
	if table == nil || agg.hasTable || now-agg.activated > agg.limits.unreachableAfter() {
		return
	}
	agg.hasTable = true
	agg.share = max(agg.share, table.Share)
	levels := make(map[uint64]float64, len(table.Keys))
	for i, key := range table.Keys {
		levels[key] = table.Levels[i]
	}
	for key, limit := range agg.limits.byKey {
		level, isListed := levels[key]
		if !isListed {
			level = limit.capacity * table.Share
		}
		bucket := agg.currentBucket(now, limit)
		bucket.level = min(level-max(0, bucket.contributed-bucket.level), agg.capacity(limit))
		agg.updateNearLimit(limit, bucket)
	}
}

// currentBucket returns a tenant's bucket, refilled up to now.
func (agg *aggregator) currentBucket(now time.Duration, limit *tenantLimit) *bucket {
	current := agg.buckets[limit.key]
	if current == nil {
		current = &bucket{level: agg.capacity(limit), updated: now}
		agg.buckets[limit.key] = current
		return current
	}
	if elapsed := now - current.updated; elapsed > 0 {
		current.level += limit.PerSecond * agg.share * elapsed.Seconds()
		decay := math.Exp(-float64(elapsed) / float64(agg.limits.Window/errorParts))
		current.ownDemand, current.totalDemand, current.updated = current.ownDemand*decay, current.totalDemand*decay, now
	}
	current.level = min(current.level, agg.capacity(limit))
	return current
}

// updateNearLimit records whether a tenant is near its limit, i.e. its bucket less than half full.
func (agg *aggregator) updateNearLimit(limit *tenantLimit, bucket *bucket) {
	if agg.share <= 0 || bucket.level < agg.capacity(limit)/2 {
		agg.nearLimit[limit.key] = true
	} else {
		delete(agg.nearLimit, limit.key)
	}
}

// isMutuallyReachable reports whether this aggregator and a peer reach each other, in the view of both.
func (agg *aggregator) isMutuallyReachable(now time.Duration, peer *peer) bool {
	return peer.isMutual && agg.isReachable(now, peer)
}

// isReachable reports whether the two reach each other in this aggregator's own view: the peer's last
// message and its last reply are both recent.
func (agg *aggregator) isReachable(now time.Duration, peer *peer) bool {
	return peer.in.lastHeard > 0 && peer.lastReply > 0 && now-peer.in.lastHeard < agg.limits.unreachableAfter() && now-peer.lastReply < agg.limits.unreachableAfter()
}

// unconfirmed returns the highest unconfirmed counts of a tenant over all included peers: of used
// requests and of all requests; peerCount is the number of these peers.
func (agg *aggregator) unconfirmed(key uint64) (maxUsed int64, maxRequested float64, peerCount int) {
	for _, peer := range agg.peers {
		if peer.isIncluded() {
			pending := peer.out.pending[key]
			maxUsed, maxRequested, peerCount = max(maxUsed, pending.used), max(maxRequested, float64(pending.requested)), peerCount+1
		}
	}
	return maxUsed, maxRequested, peerCount
}

// unconfirmedLimit returns how many requests of a tenant this aggregator may always grant before
// peers confirm them. One part of the error is divided evenly over the aggregators in whole requests; the
// remainder goes to those with the highest rendezvous hashing weight for the tenant.
func (agg *aggregator) unconfirmedLimit(limit *tenantLimit) float64 {
	rank, own, aggregators := 0, weight(limit.key, agg.id()), 1
	for _, peer := range agg.peers {
		if peer.isIncluded() && peer.daemons > 0 {
			if aggregators++; weight(limit.key, peer.incarnation) > own {
				rank++
			}
		}
	}
	whole := int(limit.errorPart)
	allowance := whole / aggregators
	if rank < whole%aggregators {
		allowance++
	}
	return float64(allowance)
}

// recordForPeers adds this aggregator's counts to the outbox of each peer.
func (agg *aggregator) recordForPeers(limit *tenantLimit, used int64, requested uint64) {
	maxUnconfirmed := int64(0)
	for _, peer := range agg.peers {
		if peer.isExcluded {
			continue
		}
		peer.out.add(limit.key, used, requested)
		if peer.isIncluded() {
			maxUnconfirmed = max(maxUnconfirmed, peer.out.unconfirmed(limit.key))
		}
	}
	if used > 0 && maxUnconfirmed > 0 && (agg.nearLimit[limit.key] || float64(maxUnconfirmed) >= max(1, agg.unconfirmedLimit(limit))) {
		agg.isUrgent = true
	}
}

// charge deducts requests that were let through from a tenant's bucket.
func (agg *aggregator) charge(now time.Duration, limit *tenantLimit, counts usage, isOwn bool) {
	bucket := agg.currentBucket(now, limit)
	// Debt beyond the whole error is impossible, so it would mean that requests were charged twice.
	bucket.level = max(min(bucket.level-float64(counts.used), agg.capacity(limit)), -errorParts*limit.errorPart)
	bucket.totalDemand += float64(counts.requested)
	if isOwn {
		bucket.ownDemand += float64(counts.requested)
	}
	agg.updateNearLimit(limit, bucket)
	if isOwn {
		agg.recordForPeers(limit, counts.used, counts.requested)
	}
}

// grant grants as many of the wanted requests as the limit allows. If it rejects some, it also returns
// how long to wait for the next one.
func (agg *aggregator) grant(now time.Duration, limit *tenantLimit, wanted uint64) (granted uint64, wait time.Duration) {
	bucket := agg.currentBucket(now, limit)
	unconfirmed, pendingDemand, peerCount := agg.unconfirmed(limit.key)
	// Until they are informed, peers may draw on the same bucket, in proportion to their demand.
	// This aggregator's demand counts only as far as the peers know of it.
	fraction, maxUnconfirmed := 1.0, math.Inf(1)
	if peerCount > 0 {
		ownDemand, totalDemand := max(0, bucket.ownDemand-pendingDemand), max(0, bucket.totalDemand-pendingDemand)
		fraction, maxUnconfirmed = (ownDemand+1)/(max(ownDemand, totalDemand)+1+float64(peerCount)), agg.unconfirmedLimit(limit)
	}
	bucket.ownDemand, bucket.totalDemand = bucket.ownDemand+float64(wanted), bucket.totalDemand+float64(wanted)
	for granted < wanted && bucket.level >= 1 && float64(unconfirmed+1) <= max(fraction*(bucket.level+float64(max(0, unconfirmed))), maxUnconfirmed) {
		bucket.level--
		granted, unconfirmed = granted+1, unconfirmed+1
	}
	agg.updateNearLimit(limit, bucket)
	agg.recordForPeers(limit, int64(granted), wanted)
	if granted < wanted {
		rate := limit.PerSecond * agg.share
		if rate <= 0 {
			return granted, agg.limits.Window
		}
		// While demand exceeds the limit, a request that retries soon is rejected again. So the
		// higher the excess, the larger the part of the window that it should wait.
		demandRate := bucket.totalDemand / (agg.limits.Window / errorParts).Seconds()
		wait = time.Duration(max(0, 1-bucket.level) / rate * float64(time.Second))
		wait = max(wait, agg.limits.Window/replyTimeoutParts, time.Duration((1-rate/max(demandRate, rate))*float64(agg.limits.Window)))
		wait = min(wait, agg.limits.Window)
	}
	return granted, wait
}

// report processes a daemon's report and returns the reply. isUrgent means that peers should be
// informed before the next interval.
func (agg *aggregator) report(now time.Duration, report Report) (reply ReportReply, isUrgent bool) {
	agg.mutex.Lock()
	defer agg.mutex.Unlock()
	agg.activate(now)
	in := agg.reporters[report.From]
	if in == nil {
		in = &inbox{}
		agg.reporters[report.From] = in
	}
	if in.lastHeard == 0 || in.isUnreachable {
		agg.admit(now, report)
	}
	in.lastHeard, in.isUnreachable = now, false
	for key, counts := range in.accept(report.Seq, report.Since, report.Sums) {
		if limit := agg.limits.byKey[key]; limit != nil {
			agg.charge(now, limit, counts, true)
		}
	}
	for i, key := range report.Keys[:min(len(report.Keys), len(report.Wants))] {
		granted, wait := report.Wants[i], time.Duration(0)
		if limit := agg.limits.byKey[key]; limit != nil {
			granted, wait = agg.grant(now, limit, granted)
		}
		reply.Granted = append(reply.Granted, granted)
		reply.Waits = append(reply.Waits, uint64((wait+time.Millisecond-1)/time.Millisecond))
	}
	reply.Hub, reply.Pressure = agg.id(), agg.pressure(now)
	return reply, agg.isUrgent
}

// pressure returns the tenants near their limit and the levels of their buckets.
func (agg *aggregator) pressure(now time.Duration) (out Pressure) {
	out.Share = agg.share
	for key := range agg.nearLimit {
		out.Keys = append(out.Keys, key)
	}
	slices.Sort(out.Keys)
	for _, key := range out.Keys {
		level := 0.0
		if limit := agg.limits.byKey[key]; limit != nil {
			level = math.Floor(agg.currentBucket(now, limit).level)
		}
		out.Levels = append(out.Levels, level)
	}
	return out
}

// receiveGossip processes a gossip message from another aggregator.
func (agg *aggregator) receiveGossip(now time.Duration, message GossipMessage) (reply GossipReply) {
	agg.mutex.Lock()
	defer agg.mutex.Unlock()
	if agg.isActive && now-agg.lastUpdate > agg.limits.unreachableAfter() {
		agg.isActive = false // stalled, or no daemon reports to it any more
	}
	reply.From = agg.id()
	if !agg.isActive {
		return reply
	}
	sender := agg.peer(now, message.Address)
	if sender.incarnation != message.From {
		// A new incarnation gets all counts from now on, but not those already in its table.
		*sender = peer{address: message.Address, incarnation: message.From, discovered: now, out: outbox{seq: sender.out.seq, since: sender.out.seq}}
	}
	sender.in.lastHeard, sender.daemons, sender.reachable, sender.isMutual, sender.isIsolated = now, message.Count, message.InTouch, message.IsTouched, message.IsParted
	if now-agg.activated >= agg.limits.unreachableAfter() && message.IsNew {
		// The sender is already a peer, so later counts reach it by gossip.
		reply.Table = agg.table(now)
	}
	for key, counts := range sender.in.accept(message.Seq, message.Since, message.Sums) {
		if limit := agg.limits.byKey[key]; limit != nil && !sender.isExcluded {
			agg.charge(now, limit, counts, false)
		}
	}
	if agg.isMutuallyReachable(now, sender) && !sender.isExcluded {
		age := time.Duration(message.Age) * time.Millisecond
		if age >= min(now-agg.activated, matureWindows*agg.limits.Window) && math.Abs(message.Pressure.Share-agg.share) < shareTolerance {
			agg.lowerToPeer(now, message.Pressure)
		}
	}
	return reply
}

// matureWindows is the number of windows after which an aggregator knows as much as any older one.
const matureWindows = 2

// lowerToPeer lowers buckets to a peer's levels plus half a part of the error. Otherwise counts that
// were lost on the way to one aggregator but not to another would leave the two apart for good.
func (agg *aggregator) lowerToPeer(now time.Duration, pressure Pressure) {
	for i, key := range pressure.Keys[:min(len(pressure.Keys), len(pressure.Levels))] {
		if limit := agg.limits.byKey[key]; limit != nil {
			bucket := agg.currentBucket(now, limit)
			bucket.level = min(bucket.level, pressure.Levels[i]+limit.errorPart/2)
			agg.updateNearLimit(limit, bucket)
		}
	}
}

// table returns all buckets that are not full.
func (agg *aggregator) table(now time.Duration) *Pressure {
	out := &Pressure{Share: agg.share}
	for _, key := range slices.Sorted(maps.Keys(agg.buckets)) {
		if limit := agg.limits.byKey[key]; limit != nil {
			if bucket := agg.currentBucket(now, limit); bucket.level < agg.capacity(limit) {
				out.Keys, out.Levels = append(out.Keys, key), append(out.Levels, math.Floor(bucket.level))
			}
		}
	}
	return out
}

// prepare gets this daemon ready to become an aggregator, after another daemon has probed it:
// it obtains the bucket levels from other aggregators before it accepts any report. isReady is set
// once it has them, or once it has waited for unreachableAfter without getting any.
func (agg *aggregator) prepare(now time.Duration) (isReady bool) {
	agg.mutex.Lock()
	defer agg.mutex.Unlock()
	if agg.isStarting {
		return false
	}
	agg.activate(now)
	agg.lastProbed = now
	return agg.hasTable || now-agg.activated >= agg.limits.unreachableAfter()
}

// composeGossip returns the next message to a peer. isActive is false if no daemon reports to this
// aggregator, in which case there is nothing to send.
func (agg *aggregator) composeGossip(now time.Duration, address, ownAddress string) (message GossipMessage, isActive bool) {
	agg.mutex.Lock()
	defer agg.mutex.Unlock()
	if !agg.isActive {
		return GossipMessage{}, false
	}
	peer := agg.peer(now, address)
	message = GossipMessage{From: agg.id(), Address: ownAddress, Count: agg.countReporters(now), InTouch: agg.reachable, IsTouched: agg.isReachable(now, peer), IsParted: agg.isIsolated(now), Pressure: agg.pressure(now), Age: uint64((now - agg.activated) / time.Millisecond)}
	message.IsNew = !agg.hasTable && now-agg.activated < agg.limits.unreachableAfter()
	message.Seq, message.Since, message.Sums = peer.out.compose()
	return message, true
}

// confirmGossip processes a peer's reply, which confirms the message.
func (agg *aggregator) confirmGossip(now time.Duration, address string, message GossipMessage, reply GossipReply) {
	agg.mutex.Lock()
	defer agg.mutex.Unlock()
	peer := agg.peers[address]
	if peer == nil || message.From != agg.id() || peer.out.seq != message.Seq {
		return
	}
	peer.out.confirm()
	peer.lastReply = now
	agg.loadTable(now, reply.Table)
}

func (agg *aggregator) peer(now time.Duration, address string) *peer {
	found := agg.peers[address]
	if found == nil {
		found = &peer{address: address, discovered: now}
		agg.peers[address] = found
	}
	return found
}

// countReporters returns how many reachable daemons report to this aggregator, and marks the others
// as unreachable.
func (agg *aggregator) countReporters(now time.Duration) (count int) {
	for _, reporter := range agg.reporters {
		if reporter.isUnreachable = reporter.isUnreachable || now-reporter.lastHeard >= agg.limits.unreachableAfter(); !reporter.isUnreachable {
			count++
		}
	}
	return count
}

// update determines which peers are reachable, recalculates the share of the limits, and refills the
// buckets.
//
// A daemon that has just started knows too few of the others to count, so its share is 0.
func (agg *aggregator) update(now time.Duration, limits *Limits, allDaemons int, isStarting, isExpired bool) {
	agg.mutex.Lock()
	defer agg.mutex.Unlock()
	agg.allDaemons, agg.isStarting = allDaemons, isStarting
	agg.limits = limits
	if !agg.isActive {
		return
	}
	if now-agg.lastUpdate > limits.unreachableAfter() {
		agg.isActive = false
		return
	}
	agg.lastUpdate = now
	count := agg.countReporters(now)
	if count == 0 && now-agg.lastProbed >= limits.unreachableAfter() {
		agg.isActive = false
		return
	}
	for incarnation, reporter := range agg.reporters {
		if now-reporter.lastHeard > forgetFactor*limits.unreachableAfter() {
			delete(agg.reporters, incarnation)
		}
	}
	agg.reachable = count
	for _, peer := range agg.peers {
		if agg.isMutuallyReachable(now, peer) {
			agg.reachable += peer.daemons
		}
	}
	agg.reachable = min(agg.reachable, max(1, allDaemons))
	isDivided := agg.checkAgreement(now, allDaemons)
	excluded := map[*peer]bool{}
	for address, peer := range agg.peers {
		isReachable := agg.isMutuallyReachable(now, peer)
		// A peer that was discovered only just now gets all counts from the start.
		isExcluded := isDivided || peer.isIsolated || !isReachable && now-peer.discovered >= limits.unreachableAfter()
		if isExcluded && !peer.isExcluded {
			excluded[peer] = true
		}
		peer.isExcluded = isExcluded
		if !isReachable && now-max(peer.discovered, peer.in.lastHeard, peer.lastReply) > forgetFactor*limits.unreachableAfter() {
			delete(agg.peers, address)
		}
		if isReachable && !isExcluded {
			count += peer.daemons
		}
	}
	share := min(1, float64(count)/float64(max(1, allDaemons)))
	if agg.hasTable && now-agg.activated < limits.unreachableAfter() {
		share = max(share, agg.share) // the other daemons have yet to report here
	}
	if isStarting || isExpired {
		share = 0
	}
	agg.rescale(now, share, excluded)
	for peer := range excluded {
		// While a peer is excluded, each side uses its own share only.
		peer.out.discard()
	}
	for key, bucket := range agg.buckets {
		limit := limits.byKey[key]
		if limit == nil {
			delete(agg.buckets, key)
			delete(agg.nearLimit, key)
			continue
		}
		agg.currentBucket(now, limit)
		agg.updateNearLimit(limit, bucket)
		if bucket.level >= agg.capacity(limit) && bucket.totalDemand < idleDemand {
			delete(agg.buckets, key)
		}
	}
}

// checkAgreement reports whether the reachable peers have for some time disagreed with this aggregator
// on how many daemons are reachable. Two aggregators that cannot reach each other would both count the
// share of a third one that reaches both, so in that case each one uses the share of its own daemons only.
func (agg *aggregator) checkAgreement(now time.Duration, allDaemons int) bool {
	isAgreed := true
	for _, peer := range agg.peers {
		if agg.isMutuallyReachable(now, peer) && peer.daemons > 0 && math.Abs(float64(peer.reachable-agg.reachable)) > 1+shareTolerance*float64(allDaemons) {
			isAgreed = false
		}
	}
	if isAgreed {
		agg.lastAgreed = now
	}
	return agg.isIsolated(now)
}

func (agg *aggregator) isIsolated(now time.Duration) bool {
	return now-agg.lastAgreed >= agg.limits.unreachableAfter()
}

// forgetFactor times unreachableAfter is the time after which a silent daemon or peer is forgotten.
const forgetFactor = 4

// idleDemand is the recent demand below which a tenant with a full bucket is dropped from the table.
const idleDemand = 0.1

// shareTolerance is the change of share up to which two shares count as equal. When the share grows by
// more, full buckets are first put into the table at their old capacity, since that is
// all they hold.
const shareTolerance = 1.0 / 16

// rescale changes the share of the limits. If the share shrinks, bucket levels shrink in proportion,
// less what the newly excluded peers have not confirmed; if it grows, buckets only fill faster.
func (agg *aggregator) rescale(now time.Duration, share float64, excluded map[*peer]bool) {
	if share == agg.share {
		return
	}
	before := agg.share
	if share > before+shareTolerance {
		for _, limit := range agg.limits.byName {
			agg.currentBucket(now, limit)
		}
	}
	for key, bucket := range agg.buckets {
		limit := agg.limits.byKey[key]
		if limit == nil {
			continue
		}
		agg.currentBucket(now, limit)
		if share < before && bucket.level > 0 {
			unconfirmed := 0.0
			for peer := range excluded {
				unconfirmed = max(unconfirmed, float64(peer.out.unconfirmed(key)))
			}
			bucket.level = (bucket.level+unconfirmed)*share/before - unconfirmed
		}
	}
	agg.share = share
}
