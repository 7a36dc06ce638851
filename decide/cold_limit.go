package decide

import (
	"time"

	"swifttiller/lease"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
)

// Rate limiting of cold replicas.

// coldWait returns for how long a replica must get no request, because it is cold and this
// daemon's share of its rate limit is used up; zero if it may get one.
//
// Invariant: in every second, all data daemons that know of each other send a cold replica at
// most ColdRate times cold_excess requests together, or one if that is below one.
func (decider *Decider) coldWait(view *lease.View, config *settings.Engine, endpoint *routing.Endpoint, state *replicaState, now time.Duration) time.Duration {
	if config == nil || config.ColdRate <= 0 || !decider.isCold(view, endpoint, state, now) {
		state.coldShare = nil
		return 0
	}
	if state.coldShare == nil || state.coldShare.view != view {
		daemons := 0
		for _, table := range view.RoutingTables {
			daemons = max(daemons, table.Daemons)
		}
		total := max(1, int(config.ColdRate*view.Tree.Limit("cold_excess", decider.Self.Zone)))
		state.coldShare = &coldShare{view, coldLimit(total, view.Members, decider.Self, endpoint, daemons)}
	}
	limit := state.coldShare.limit
	switch {
	case limit == 0:
		return noShareWait
	case state.sentWithin(now, time.Second) < limit:
		return 0
	}
	return time.Second - (now - state.sent[len(state.sent)-limit])
}

// noShareWait is for how long a daemon without a share of a cold replica's rate limit leaves it
// alone unless a new view gives it one: longer than any request waits.
const noShareWait = time.Hour

// coldShare is the number of requests per second that a daemon may send to a cold replica under a view.
type coldShare struct {
	view  *lease.View
	limit int
}

// coldLimit returns this daemon's share of the total requests per second that a cold replica
// may be sent: an even share, with the remainder given out by rank. The ranks alternate between
// daemons of the replica's region and the others, since some requests that arrive elsewhere may
// run in this region alone. The count of daemons includes those that are not members
// but may still send; the remainder that their ranks would get is left unused.
//
// Invariant: the shares of daemons that know the same members add up to at most the total,
// however many daemons there are.
func coldLimit(total int, members []session.Member, self session.Member, endpoint *routing.Endpoint, daemons int) int {
	key := nameHash(endpoint.ID + "/" + endpoint.Boot)
	isNear, ownScore := self.Region == endpoint.Region, score(key, self.Name)
	sideRank, otherSide, count := 0, 0, 1 // the rank among daemons on the same side of isNear, and how many are on the other
	for _, member := range members {
		if member.Role != session.Data || member.Name == self.Name {
			continue
		}
		count++
		otherScore := score(key, member.Name)
		switch {
		case member.Region == endpoint.Region != isNear:
			otherSide++
		case otherScore > ownScore || otherScore == ownScore && member.Name < self.Name:
			sideRank++
		}
	}
	rank := sideRank + min(sideRank, otherSide)
	if !isNear {
		rank = sideRank + min(sideRank+1, otherSide)
	}
	divisor := max(count, daemons)
	limit := total / divisor
	if rank < total%divisor*count/divisor {
		limit++
	}
	return limit
}

// nameHash is the hash of a name.
func nameHash(name string) uint64 { return score(0, name) }
