package decide

import (
	"time"

	"swifttiller/permit"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
)

// Pacing of cold replicas.

// paced gives how long a replica is to be left alone, as it is cold and this daemon's
// part of what it bears then is used up; zero when it may get a request.
//
// Invariant: over every second, all data daemons that know of each other send a cold
// replica at most ColdRate times cold_excess together, and one where that is below one.
func (decider *Decider) paced(view *permit.View, known *settings.Engine, place *standing.Place, seat *engine, now time.Duration) time.Duration {
	if known == nil || known.ColdRate <= 0 || !decider.isCold(view, place, seat, now) {
		seat.part = nil
		return 0
	}
	if seat.part == nil || seat.part.of != view {
		daemons := 0
		for _, one := range view.Standings {
			daemons = max(daemons, one.Daemons)
		}
		whole := max(1, int(known.ColdRate*view.Tree.Limit("cold_excess", decider.Self.Zone)))
		seat.part = &part{view, coldPart(whole, view.Members, decider.Self, place, daemons)}
	}
	most := seat.part.most
	switch {
	case most == 0:
		return othersOnly
	case seat.sentWithin(now, time.Second) < most:
		return 0
	}
	return time.Second - (now - seat.sent[len(seat.sent)-most])
}

// othersOnly is for how long a daemon without a part of a cold replica leaves it alone,
// unless it hears otherwise: longer than any request waits.
const othersOnly = time.Hour

// part is what a daemon may send to a cold replica in a second, by a view.
type part struct {
	of   *permit.View
	most int
}

// coldPart is this daemon's part of the whole that a cold replica may be sent in a
// second: as even as can be, and the rest by the daemons' ranks. Those of the replica's
// own region and the others take turns, as some of what comes elsewhere may run in this
// region alone. Daemons counts also those that are not members but may still send: what
// their ranks would bring is given to nobody.
//
// Invariant: the parts of daemons that go by the same members sum up to no more than the
// whole, however many they are.
func coldPart(whole int, members []session.Member, self session.Member, place *standing.Place, daemons int) int {
	key := nameKey(place.ID + "/" + place.Boot)
	isNear, own := self.Region == place.Region, score(key, self.Name)
	turn, unlike, count := 0, 0, 1 // the turn among those like this one, and how many are not
	for _, one := range members {
		if one.Role != session.Data || one.Name == self.Name {
			continue
		}
		count++
		other := score(key, one.Name)
		switch {
		case one.Region == place.Region != isNear:
			unlike++
		case other > own || other == own && one.Name < self.Name:
			turn++
		}
	}
	rank := turn + min(turn, unlike)
	if !isNear {
		rank = turn + min(turn+1, unlike)
	}
	all := max(count, daemons)
	out := whole / all
	if rank < whole%all*count/all {
		out++
	}
	return out
}

// nameKey is a number for a name.
func nameKey(name string) uint64 { return score(0, name) }
