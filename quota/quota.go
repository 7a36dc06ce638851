// Package quota counts tenants' requests over all data daemons as one whole. The daemons of a
// region tell one of them, the hub, what they let through; hubs tell one another. Each hub
// keeps the same bucket of every tenant, and how far a daemon or a hub may run ahead of what
// the others know bounds the error. Control daemons have no part in it.
package quota

import (
	"hash/fnv"
	"time"

	"swifttiller/session"
)

// Limit is what a tenant may make over all data daemons together: PerSecond requests a second,
// and Burst on top.
type Limit struct {
	Tenant           string
	PerSecond, Burst float64
}

// Terms say how exactly limits are kept: in no span of Window does a tenant make more than
// (PerSecond x Window + Burst) x (1 + Excess) + Slack.
type Terms struct {
	Window        time.Duration
	Excess, Slack float64
	// Reserve is for how long a daemon that is not heard any more keeps its share.
	Reserve time.Duration
}

// Ratios of the window.
const (
	tellParts  = 20  // of a window: how often a daemon tells its hub, and hubs one another
	waitParts  = 50  // how long an answer of a hub in the region is waited for
	quietParts = 8   // after how long who was not heard is taken to be out of touch
	hurryParts = 125 // how long a hub that hurries leaves a colleague alone
	shunParts  = 5   // for how long a hub that gave no answer is left alone
)

// errorParts are the four parts of the error that the terms allow, each of which has a use of
// its own: what a bucket holds above the burst; what daemons let through that their hub has
// not heard of; what a region lets through that other hubs have not heard of; and what a hub
// that begins without knowledge starts with.
const errorParts = 4

func (terms Terms) tell() time.Duration  { return terms.Window / tellParts }
func (terms Terms) wait() time.Duration  { return terms.Window / waitParts }
func (terms Terms) quiet() time.Duration { return terms.Window / quietParts }

// Limits are those that a daemon goes by. They are never changed once made.
type Limits struct {
	Terms
	named map[string]*known
	keyed map[uint64]*known
}

// known is a limit with what follows from it.
type known struct {
	Limit
	key uint64
	// part is one of the parts of the error, in requests; most is what a bucket holds.
	part, most float64
}

// keyBits are those of a tenant's key, by which it goes over the wire: of 21,000 tenants two
// share one in 5,000 fleets.
const keyBits = 40

func keyOf(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return session.Spread(sum.Sum64()) & (1<<keyBits - 1)
}

// weight is by how much a name comes before others for a key.
func weight(key uint64, name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return session.Spread(sum.Sum64() ^ session.Spread(key))
}

// Index makes limits be found. Tenants without PerSecond have none.
func Index(terms Terms, list []Limit) *Limits {
	out := &Limits{Terms: terms, named: map[string]*known{}, keyed: map[uint64]*known{}}
	for _, one := range list {
		if one.PerSecond <= 0 {
			continue
		}
		limit := &known{Limit: one, key: keyOf(one.Tenant)}
		limit.part = (terms.Excess*(one.PerSecond*terms.Window.Seconds()+one.Burst) + terms.Slack) / errorParts
		limit.most = one.Burst + limit.part
		out.named[one.Tenant], out.keyed[limit.key] = limit, limit
	}
	return out
}
