package decide

import (
	"container/list"
	"time"

	"swifttiller/settings"
)

// Part is one piece of a prompt, in order; parts with equal ids are equal.
type Part struct {
	ID     uint64
	Tokens int
}

// Load is the load that a replica reports with a response.
type Load struct {
	Running, Waiting, Slots int
}

// prefixCache is an LRU estimate of the prompt parts that a replica has cached, from the
// prompts that this daemon sent it.
//
// Invariants: order is from the least to the most recently used part; tokens is the sum over
// order; a part is in index exactly if it is in order.
type prefixCache struct {
	index  map[uint64]*list.Element
	order  *list.List
	tokens int
}

func (cache *prefixCache) contains(id uint64) bool { _, isCached := cache.index[id]; return isCached }

// touch marks the parts as just used and evicts the least recently used ones beyond the bound.
func (cache *prefixCache) touch(parts []Part, bound int) {
	if cache.index == nil {
		cache.index, cache.order = map[uint64]*list.Element{}, list.New()
	}
	for _, part := range parts {
		if element, isCached := cache.index[part.ID]; isCached {
			cache.order.MoveToBack(element)
			continue
		}
		cache.index[part.ID] = cache.order.PushBack(part)
		cache.tokens += part.Tokens
	}
	for cache.tokens > bound && cache.order.Len() > 0 {
		oldest := cache.order.Remove(cache.order.Front()).(Part)
		delete(cache.index, oldest.ID)
		cache.tokens -= oldest.Tokens
	}
}

// replicaState is the state that this daemon has about one boot of a replica: the attempts that
// it runs there, the load last reported, and how long requests have waited for an answer.
//
// Invariants: running and prefillTokens count this daemon's own attempts alone. While an
// attempt waits for its first chunk, silent is since when nothing has come from the replica.
type replicaState struct {
	running int
	// prefillTokens is the number of prompt tokens sent whose answer has not begun.
	prefillTokens int
	cache         prefixCache
	load          Load
	loadAt        time.Duration
	// lag is the smoothed delay of first chunks beyond the predicted time, as of lagAt.
	lag   time.Duration
	lagAt time.Duration
	// sent are the times of recent attempts, for the rate limit of a cold replica.
	sent []time.Duration
	// coldShare is this daemon's share of the rate limit while the replica is cold; nil while
	// it is warm.
	coldShare     *coldShare
	silentSince   time.Duration
	awaitingFirst int
	// backOffUntil is until when the replica gets nothing, in backoff after a connection failure, a
	// silence or a rejection; failuresInRow is the number of these in a row.
	backOffUntil  time.Duration
	failuresInRow int
	// isUnreachable is set if a connection could not be opened and none has been since.
	isUnreachable bool
	// lastAlive is when the replica last showed that it is alive.
	lastAlive time.Duration
	// streams is the number of streams that have begun and not ended.
	streams int
	health  health
	// reports are the health reports of peers, by peer name.
	reports map[string]healthReport
	// queryReply is the replica's last reply to a probe of its warmth, lastQuery when it was last probed.
	queryReply queryReply
	lastQuery  time.Duration
	// region and model are those of the last attempt, or of the peer report that made it held.
	region, model string
}

// admits reports whether a replica without a sign of life since its last backoff may get a
// request: one at a time, and after a second failure in a row only requests that may be repeated
// elsewhere, unless the backoff ended more than maxBackOff ago.
func (state *replicaState) admits(now time.Duration, isRepeatable bool) bool {
	if state.failuresInRow == 0 {
		return true
	}
	return state.awaitingFirst == 0 && (state.failuresInRow == 1 || isRepeatable || now-state.backOffUntil > maxBackOff)
}

// decayedLag returns the lag, halved for each half second since it was measured, as queues drain.
func (state *replicaState) decayedLag(now time.Duration) time.Duration {
	lag := state.lag
	for span := now - state.lagAt; span > 0 && lag >= minLag; span -= lagHalfLife {
		lag /= 2
	}
	if lag < minLag {
		return 0
	}
	return lag
}

// Constants of the prediction of the time to first token. Rates are in tokens per millisecond.
const (
	lagHalfLife = 500 * time.Millisecond
	// minLag is the lag below which a replica counts as having none. Otherwise each daemon
	// would stay with the few replicas whose first answers happened to be the fastest.
	minLag = time.Millisecond
	// initialPrefillRate is the assumed prefill rate until it is learned from responses,
	// within minPrefillRate and maxPrefillRate.
	initialPrefillRate = 50.0
	minPrefillRate     = 2.0
	maxPrefillRate     = 2000.0
	// delayPerRunning is the delay of the first chunk per running request, and delayPerWaiting
	// that per request in the replica's queue.
	delayPerRunning = 300 * time.Microsecond
	// fullReplicaDelay is the additional delay at a replica whose slots are all taken.
	fullReplicaDelay = 64 * time.Millisecond
	// msPerTokenPair is the prefill time of a token per token that precedes it, in ms.
	// initialBaseLatency bounds the first samples of the base latency, which is the time to
	// first token of the shortest prompts.
	msPerTokenPair     = 0.25e-6
	initialBaseLatency = 60 * time.Millisecond
	delayPerWaiting    = 40 * time.Millisecond
	// cacheFillShare is the share of a replica's cache that is assumed to hold prompt parts.
	cacheFillShare = 0.8
)

// utilization returns the number of running requests as a share of half of the replica's slots, at
// most one: beyond half of the slots, streams are slow.
func (state *replicaState) utilization(config *settings.Engine, now time.Duration) float64 {
	if config == nil || config.Slots <= 0 {
		return 0
	}
	running := state.running
	if now-state.loadAt < time.Second {
		running = max(running, state.load.Running+state.load.Waiting)
	}
	return min(1, 2*float64(running)/float64(config.Slots))
}

// sentWithin returns the number of attempts in the span before now and drops older ones.
func (state *replicaState) sentWithin(now, span time.Duration) int {
	for len(state.sent) > 0 && now-state.sent[0] >= span {
		state.sent = state.sent[1:]
	}
	return len(state.sent)
}

// uncachedTokens returns how many prompt tokens the replica would have to prefill: those from
// the first part on that is not assumed to be cached. At the owner, only a quarter of a shared
// part counts, since peers send requests with that part there too.
func (state *replicaState) uncachedTokens(parts []Part, tokens int, isOwner bool) (own, shared int) {
	sum, isMiss := 0, false
	for index, part := range parts {
		sum += part.Tokens
		isShared := index < len(parts)-1
		isMiss = isMiss || !state.cache.contains(part.ID)
		switch {
		case !isMiss:
		case isShared && isOwner:
			shared += part.Tokens / 4
		case isShared:
			shared += part.Tokens
		default:
			own += part.Tokens
		}
	}
	return own + max(0, tokens-sum), shared
}
