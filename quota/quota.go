// Package quota enforces per-tenant rate limits across all data daemons. The daemons of a region
// report the requests they let through to one of them, the region's aggregator; the aggregators
// exchange these counts by gossip. Each aggregator keeps a replica of every tenant's token bucket.
// The error is bounded by how many requests a daemon or an aggregator may let through before the
// others have confirmed that they know of them. Control daemons take no part in it.
package quota

import (
	"hash/fnv"
	"time"

	"swifttiller/session"
)

// Limit is a tenant's rate limit over all data daemons together: PerSecond requests a second
// with bursts of up to Burst requests.
type Limit struct {
	Tenant           string
	PerSecond, Burst float64
}

// Accuracy is the accuracy with which limits are enforced: within any span of Window, a tenant makes
// at most (PerSecond x Window + Burst) x (1 + Excess) + Slack requests.
type Accuracy struct {
	Window        time.Duration
	Excess, Slack float64
	// Reserve is for how long a daemon that is no longer heard from keeps its share of the limits.
	Reserve time.Duration
}

// Intervals and timeouts, as fractions of the window.
const (
	reportParts       = 20  // interval of a daemon's reports to its aggregator, and of the gossip between aggregators
	replyTimeoutParts = 50  // timeout of a call to an aggregator in the region
	unreachableParts  = 8   // a daemon not heard from for this long counts as unreachable
	urgentGapParts    = 125 // shortest interval between urgent gossip messages to the same peer
	avoidParts        = 5   // for how long an aggregator that did not answer is not contacted
)

// errorParts is the number of equal parts into which the permitted error is divided. They cover:
// the capacity of a bucket above the burst; requests that daemons let through and that their
// aggregator does not know of yet; requests that a region lets through and that other aggregators
// do not know of yet; and the tokens with which an aggregator without prior state starts.
const errorParts = 4

func (terms Accuracy) reportInterval() time.Duration   { return terms.Window / reportParts }
func (terms Accuracy) replyTimeout() time.Duration     { return terms.Window / replyTimeoutParts }
func (terms Accuracy) unreachableAfter() time.Duration { return terms.Window / unreachableParts }

// Limits are the limits that a daemon enforces. They are immutable.
type Limits struct {
	Accuracy
	byName map[string]*tenantLimit
	byKey  map[uint64]*tenantLimit
}

// tenantLimit is a limit together with values derived from it.
type tenantLimit struct {
	Limit
	key uint64
	// errorPart is the size of one part of the error, in requests; capacity is the most tokens
	// that the bucket holds.
	errorPart, capacity float64
}

// keyBits is the length of the hash that stands for a tenant in messages. With 21,000 tenants,
// two of them share a key in one of 5,000 fleets.
const keyBits = 40

func keyOf(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return session.MixHash(sum.Sum64()) & (1<<keyBits - 1)
}

// weight is the rendezvous hashing weight of a name for a key: names with a higher weight come first.
func weight(key uint64, name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return session.MixHash(sum.Sum64() ^ session.MixHash(key))
}

// NewLimits builds the lookup tables for a list of limits. A tenant whose PerSecond is not positive
// has no limit.
func NewLimits(terms Accuracy, list []Limit) *Limits {
	index := &Limits{Accuracy: terms, byName: map[string]*tenantLimit{}, byKey: map[uint64]*tenantLimit{}}
	for _, entry := range list {
		if entry.PerSecond <= 0 {
			continue
		}
		limit := &tenantLimit{Limit: entry, key: keyOf(entry.Tenant)}
		limit.errorPart = (terms.Excess*(entry.PerSecond*terms.Window.Seconds()+entry.Burst) + terms.Slack) / errorParts
		limit.capacity = entry.Burst + limit.errorPart
		index.byName[entry.Tenant], index.byKey[limit.key] = limit, limit
	}
	return index
}
