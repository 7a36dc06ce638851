package permit

import (
	"time"

	"swifttiller/standing"
)

// Leaver is one life of a replica that is about to end.
type Leaver struct{ Replica, Boot string }

// Notice tells a data daemon which lives get nothing any more, before a permit brings a
// standing that says so.
type Notice struct {
	Region  string
	Leavers []Leaver
	// Serial is that of the first standing without them, if it is written: they may be in
	// later ones again. Zero means that they leave, and are in none.
	Serial uint64
}

// departure says how long a life is out: in standings below a serial, all if that is zero.
type departure struct {
	belowSerial uint64
	forgetAt    time.Duration // when it is forgotten
}

// departureRetention is how long a life that was said to leave is left out of older standings:
// far longer than one that shows it can still come.
const departureRetention = time.Minute

// Heed takes a notice: what it names is in no view from now on, below its serial. It is
// true however late it comes, as a life that leaves never comes back, and it lengthens
// nothing.
func (holder *Holder) Heed(notice Notice, acknowledged *bool) error {
	now := holder.World.Now()
	holder.mutex.Lock()
	if holder.departed == nil {
		holder.departed = map[Leaver]departure{}
	}
	for leaver, known := range holder.departed {
		if now >= known.forgetAt {
			delete(holder.departed, leaver)
		}
	}
	for _, leaver := range notice.Leavers {
		if known, isKnown := holder.departed[leaver]; isKnown && (known.belowSerial == 0 || notice.Serial != 0 && notice.Serial < known.belowSerial) {
			continue // it says less than is known
		}
		holder.departed[leaver] = departure{notice.Serial, now + departureRetention}
	}
	current := holder.View()
	next := *current
	next.Standings = make(map[string]standing.Standing, len(current.Standings))
	for region, table := range current.Standings {
		if region == notice.Region {
			table = holder.withoutDeparted(table)
		}
		next.Standings[region] = table
	}
	holder.view.Store(&next)
	holder.mutex.Unlock()
	*acknowledged = true
	if holder.Changed != nil {
		holder.Changed(&next)
	}
	return nil
}

// withoutDeparted is the standing without the lives that were said to leave; who holds the guard
// calls it. What it is given is not changed, as others may be reading it.
func (holder *Holder) withoutDeparted(table standing.Standing) standing.Standing {
	isRemoved := map[string]bool{}
	for _, endpoint := range table.Places {
		if known, isKnown := holder.departed[Leaver{endpoint.ID, endpoint.Boot}]; isKnown && (known.belowSerial == 0 || table.Serial < known.belowSerial) {
			isRemoved[endpoint.ID] = true
		}
	}
	if len(isRemoved) == 0 {
		return table
	}
	endpoints := make([]standing.Place, 0, len(table.Places))
	for _, endpoint := range table.Places {
		if !isRemoved[endpoint.ID] {
			endpoints = append(endpoints, endpoint)
		}
	}
	rows := make([]standing.Row, 0, len(table.Rows))
	for _, row := range table.Rows {
		if !isRemoved[row.Replica] {
			rows = append(rows, row)
		}
	}
	table.Places, table.Rows = endpoints, rows
	return table
}
