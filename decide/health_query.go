package decide

import (
	"sort"
	"time"

	"swifttiller/lease"
	"swifttiller/routing"
	"swifttiller/settings"
)

// HealthQuery is a replica whose health endpoint is to be queried directly: this daemon's routing
// table shows it as warm, and no leader keeps that table up to date.
type HealthQuery struct{ Replica, Address, Boot, Path string }

// queryReply is a replica's reply to a direct query by this daemon.
//
// Invariant: a reply is valid for the run (boot) that sent it, and for the length of a lease
// from when it was asked for; a routing table that is kept up to date may lag as much.
type queryReply struct {
	boot   string
	sentAt time.Duration
	isWarm bool
}

// Ratios of a lease's length: the time until a replica that was found warm is queried again,
// and until one that was not, or did not answer, is.
const (
	recheckWarm    = 0.75
	recheckUnknown = 0.3
)

// confirmsWarm reports whether the replica recently answered that it is not cold.
func (reply queryReply) confirmsWarm(boot string, now, span time.Duration) bool {
	return reply.isWarm && reply.boot == boot && now-reply.sentAt < span
}

// demandSpan is how long a request that found a replica throttled, because nobody maintains its
// routing table, is a reason for queries.
const demandSpan = time.Second

// HealthQueries lists the replicas to be queried now, those of this daemon's own region first.
// Each is listed again only after a while, and none is listed unless requests need them. The
// results are passed to RecordHealthQuery.
func (decider *Decider) HealthQueries() (list []HealthQuery) {
	view := decider.View()
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	if view.Tree == nil || decider.lastThrottled == 0 || now-decider.lastThrottled >= demandSpan {
		return nil
	}
	span := view.Tree.Duration("permit_ms", "")
	isNear := map[string]bool{}
	for region := range view.Unconfirmed {
		table := view.RoutingTables[region]
		known := enginesByReplica(view.Tree, table)
		for at := range table.Places {
			endpoint := &table.Places[at]
			state, engine := decider.replicaState(endpoint.ID), known[endpoint.ID]
			wait := recheckUnknown
			if state.queryReply.isWarm {
				wait = recheckWarm
			}
			if engine == nil || endpoint.Warm < 1 || view.Evacuated[endpoint.Zone] || state.lastQuery > 0 && now-state.lastQuery < time.Duration(wait*float64(span)) {
				continue
			}
			state.lastQuery = now
			isNear[endpoint.ID] = region == decider.Self.Region
			list = append(list, HealthQuery{Replica: endpoint.ID, Address: endpoint.Address, Boot: endpoint.Boot, Path: engine.ProbePath})
		}
	}
	// The order differs between daemons, so that they do not all query the same replicas first.
	ownKey := nameHash(decider.Self.Name)
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a].Replica, list[b].Replica
		if isNear[x] != isNear[y] {
			return isNear[x]
		}
		return score(ownKey, x) > score(ownKey, y)
	})
	return list
}

// enginesByReplica maps the ids of a routing table's replicas to their engines.
func enginesByReplica(tree *settings.Tree, table routing.Table) map[string]*settings.Engine {
	known := map[string]*settings.Engine{}
	for _, row := range table.Rows {
		known[row.Replica] = tree.Engine(row.Model)
	}
	return known
}

// RecordHealthQuery records the result of an inquiry that was sent at the given time.
func (decider *Decider) RecordHealthQuery(inquiry HealthQuery, sentAt time.Duration, isWarm bool) {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	state := decider.replicaState(inquiry.Replica)
	if sentAt < state.queryReply.sentAt {
		return
	}
	state.queryReply = queryReply{boot: inquiry.Boot, sentAt: sentAt, isWarm: isWarm}
	if !isWarm {
		return
	}
	for _, waiting := range decider.queue {
		waiting.mailbox.Put(nil)
	}
}

// isCold reports whether a replica counts as cold: its routing table says so, or nobody keeps
// that up to date and the replica has not recently answered otherwise.
func (decider *Decider) isCold(view *lease.View, endpoint *routing.Endpoint, state *replicaState, now time.Duration) bool {
	return endpoint.Warm < 1 || view.Unconfirmed[endpoint.Region] && !state.queryReply.confirmsWarm(endpoint.Boot, now, view.Tree.Duration("permit_ms", ""))
}
