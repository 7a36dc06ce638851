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

// left says how long a life is out: in standings below a serial, all if that is zero.
type left struct {
	below uint64
	until time.Duration // when it is forgotten
}

// noticedSpan is how long a life that was said to leave is left out of older standings:
// far longer than one that shows it can still come.
const noticedSpan = time.Minute

// Heed takes a notice: what it names is in no view from now on, below its serial. It is
// true however late it comes, as a life that leaves never comes back, and it lengthens
// nothing.
func (holder *Holder) Heed(notice Notice, heeded *bool) error {
	now := holder.World.Now()
	holder.guard.Lock()
	if holder.leavers == nil {
		holder.leavers = map[Leaver]left{}
	}
	for one, has := range holder.leavers {
		if now >= has.until {
			delete(holder.leavers, one)
		}
	}
	for _, one := range notice.Leavers {
		if has, known := holder.leavers[one]; known && (has.below == 0 || notice.Serial != 0 && notice.Serial < has.below) {
			continue // it says less than is known
		}
		holder.leavers[one] = left{notice.Serial, now + noticedSpan}
	}
	have := holder.View()
	next := *have
	next.Standings = make(map[string]standing.Standing, len(have.Standings))
	for region, one := range have.Standings {
		if region == notice.Region {
			one = holder.without(one)
		}
		next.Standings[region] = one
	}
	holder.view.Store(&next)
	holder.guard.Unlock()
	*heeded = true
	if holder.Changed != nil {
		holder.Changed(&next)
	}
	return nil
}

// without is the standing without the lives that were said to leave; who holds the guard
// calls it. What it is given is not changed, as others may be reading it.
func (holder *Holder) without(one standing.Standing) standing.Standing {
	isOut := map[string]bool{}
	for _, place := range one.Places {
		if has, known := holder.leavers[Leaver{place.ID, place.Boot}]; known && (has.below == 0 || one.Serial < has.below) {
			isOut[place.ID] = true
		}
	}
	if len(isOut) == 0 {
		return one
	}
	places := make([]standing.Place, 0, len(one.Places))
	for _, place := range one.Places {
		if !isOut[place.ID] {
			places = append(places, place)
		}
	}
	rows := make([]standing.Row, 0, len(one.Rows))
	for _, row := range one.Rows {
		if !isOut[row.Replica] {
			rows = append(rows, row)
		}
	}
	one.Places, one.Rows = places, rows
	return one
}
