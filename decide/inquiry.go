package decide

import (
	"sort"
	"time"

	"swifttiller/permit"
	"swifttiller/settings"
	"swifttiller/standing"
)

// Inquiry is a replica that is to be asked how it does: this daemon's standing shows it as
// warm, and nobody keeps that standing up to date.
type Inquiry struct{ Replica, Address, Boot, Path string }

// word is what a replica told this daemon itself when it was asked.
//
// Invariant: a word vouches for the life of boot alone, and for a permit's length from when
// it was asked for, as long as a standing that is kept up to date may be behind.
type word struct {
	boot   string
	asked  time.Duration
	isWarm bool
}

// Ratios of a permit's length: after which time a replica is asked anew that was found warm,
// and one that was not, or did not answer.
const (
	warmAnew    = 0.75
	unknownAnew = 0.3
)

// vouches tells whether the replica said of late that it is not cold.
func (word word) vouches(boot string, now, span time.Duration) bool {
	return word.isWarm && word.boot == boot && now-word.asked < span
}

// wantedSpan is for how long a request that found a replica paced, as nobody keeps its
// standing, gives a reason to ask.
const wantedSpan = time.Second

// Inquiries gives the replicas to be asked now, those of this daemon's own region first;
// each comes again only after a while, and none while no request wants them. What they
// answer is for Inquired.
func (decider *Decider) Inquiries() (list []Inquiry) {
	view := decider.Holder()
	now := decider.World.Now()
	decider.guard.Lock()
	defer decider.guard.Unlock()
	if view.Tree == nil || decider.wanted == 0 || now-decider.wanted >= wantedSpan {
		return nil
	}
	span := view.Tree.Span("permit_ms", "")
	near := map[string]bool{}
	for region := range view.Unkept {
		one := view.Standings[region]
		known := engines(view.Tree, one)
		for at := range one.Places {
			place := &one.Places[at]
			seat, engine := decider.engine(place.ID), known[place.ID]
			wait := unknownAnew
			if seat.word.isWarm {
				wait = warmAnew
			}
			if engine == nil || place.Warm < 1 || view.Evacuated[place.Zone] || seat.inquired > 0 && now-seat.inquired < time.Duration(wait*float64(span)) {
				continue
			}
			seat.inquired = now
			near[place.ID] = region == decider.Self.Region
			list = append(list, Inquiry{Replica: place.ID, Address: place.Address, Boot: place.Boot, Path: engine.ProbePath})
		}
	}
	// Not all daemons ask the same ones first.
	own := nameKey(decider.Self.Name)
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a].Replica, list[b].Replica
		if near[x] != near[y] {
			return near[x]
		}
		return score(own, x) > score(own, y)
	})
	return list
}

// engines are those of a standing's replicas, by id.
func engines(tree *settings.Tree, one standing.Standing) map[string]*settings.Engine {
	known := map[string]*settings.Engine{}
	for _, row := range one.Rows {
		known[row.Replica] = tree.Engine(row.Model)
	}
	return known
}

// Inquired takes what became of an inquiry that was sent at the time.
func (decider *Decider) Inquired(inquiry Inquiry, asked time.Duration, isWarm bool) {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	seat := decider.engine(inquiry.Replica)
	if asked < seat.word.asked {
		return
	}
	seat.word = word{boot: inquiry.Boot, asked: asked, isWarm: isWarm}
	if !isWarm {
		return
	}
	for _, one := range decider.queue {
		one.box.Put(nil)
	}
}

// isCold tells whether a replica counts as cold: the standing says so, or nobody keeps that
// up to date and the replica itself has not said otherwise of late.
func (decider *Decider) isCold(view *permit.View, place *standing.Place, seat *engine, now time.Duration) bool {
	return place.Warm < 1 || view.Unkept[place.Region] && !seat.word.vouches(place.Boot, now, view.Tree.Span("permit_ms", ""))
}
