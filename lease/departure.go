package lease

import (
	"time"

	"swifttiller/routing"
)

// DepartingReplica is one incarnation of a replica that is about to end.
type DepartingReplica struct{ Replica, Boot string }

// DepartureNotice tells a data daemon which replica incarnations get no more requests, before a
// lease renewal brings a routing table without them.
type DepartureNotice struct {
	Region  string
	Leavers []DepartingReplica
	// Serial is the version of the first routing table without them, if that is already
	// written; later versions may include them again. Zero means that they are shutting
	// down and are in no later version.
	Serial uint64
}

// departure tells which routing tables a departed incarnation is removed from: those with a
// version below belowSerial, or all if that is zero.
type departure struct {
	belowSerial uint64
	forgetAt    time.Duration // when the departure is dropped
}

// departureRetention is how long a departed incarnation is removed from older routing
// tables. It is far longer than a table that still contains it may take to arrive.
const departureRetention = time.Minute

// Heed handles a notice: from now on no view contains the incarnations that it names, in
// routing tables below its version. A late notice is still correct, as an incarnation that
// shuts down never returns. It does not extend the lease.
func (holder *Holder) Heed(notice DepartureNotice, acknowledged *bool) error {
	now := holder.World.Now()
	holder.mutex.Lock()
	if holder.departed == nil {
		holder.departed = map[DepartingReplica]departure{}
	}
	for leaver, known := range holder.departed {
		if now >= known.forgetAt {
			delete(holder.departed, leaver)
		}
	}
	for _, leaver := range notice.Leavers {
		if known, isKnown := holder.departed[leaver]; isKnown && (known.belowSerial == 0 || notice.Serial != 0 && notice.Serial < known.belowSerial) {
			continue // a weaker notice than the one that is known
		}
		holder.departed[leaver] = departure{notice.Serial, now + departureRetention}
	}
	current := holder.View()
	next := *current
	next.RoutingTables = make(map[string]routing.Table, len(current.RoutingTables))
	for region, table := range current.RoutingTables {
		if region == notice.Region {
			table = holder.withoutDeparted(table)
		}
		next.RoutingTables[region] = table
	}
	holder.view.Store(&next)
	holder.mutex.Unlock()
	*acknowledged = true
	if holder.OnChange != nil {
		holder.OnChange(&next)
	}
	return nil
}

// withoutDeparted returns the routing table without the departed incarnations. It doesn't
// modify its argument, which others may be reading. The caller holds the mutex.
func (holder *Holder) withoutDeparted(table routing.Table) routing.Table {
	isRemoved := map[string]bool{}
	for _, endpoint := range table.Places {
		if known, isKnown := holder.departed[DepartingReplica{endpoint.ID, endpoint.Boot}]; isKnown && (known.belowSerial == 0 || table.Serial < known.belowSerial) {
			isRemoved[endpoint.ID] = true
		}
	}
	if len(isRemoved) == 0 {
		return table
	}
	endpoints := make([]routing.Endpoint, 0, len(table.Places))
	for _, endpoint := range table.Places {
		if !isRemoved[endpoint.ID] {
			endpoints = append(endpoints, endpoint)
		}
	}
	rows := make([]routing.Row, 0, len(table.Rows))
	for _, row := range table.Rows {
		if !isRemoved[row.Replica] {
			rows = append(rows, row)
		}
	}
	table.Places, table.Rows = endpoints, rows
	return table
}
