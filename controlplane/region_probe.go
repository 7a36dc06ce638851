package controlplane

import (
	"sort"
	"time"

	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/replica"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/verdict"
)

// watched is a replica as this daemon's probes have seen it.
type watched struct {
	listing.Listed
	vitals replica.Vitals
	probed bool
	// answered is when a probe was last answered; before the first answer, when
	// the replica came into the table.
	answered time.Duration
	// isDark tells that a probe has found it unanswered for dark_ms.
	isDark   bool
	leaving  bool
	unlisted bool
	// isOver tells that another one answered at its address, so that its life is over,
	// whatever the list still shows; a later answer of its own would take that back.
	isOver bool
	// wasWell tells whether it ever answered that it is well. condemned is until when it
	// is out, as it says that it is ill and what daemons sent it bears that out.
	wasWell   bool
	condemned time.Duration
	// coldUntil is until when it is cold, as far as list and probes have told.
	coldUntil time.Duration
}

// engine is what the tree says of the replica's kind; nil where probes tell all.
func (one *watched) engine(tree *settings.Tree) *settings.Engine {
	if one.Model == "" {
		return nil
	}
	return tree.Engine(one.Model)
}

// boot is the life that a standing shows: what its probes told, or, where they tell nothing
// of that, the name under which the platform lists it.
func (one *watched) boot(tree *settings.Tree) string {
	if one.vitals.Boot == "" && one.engine(tree) != nil {
		return one.ID
	}
	return one.vitals.Boot
}

// probe asks every replica in the table.
func (region *region) probe(_ uint64, tree *settings.Tree) {
	isFresh := region.isFresh()
	// Those that did not answer yet are asked more often.
	region.ask(tree, func(one *watched) bool { return !isFresh || !one.probed })
}

// ask probes those of the table that are to be asked. The first answer of one is a reason to
// compute the standing at once.
func (region *region) ask(tree *settings.Tree, isAsked func(one *watched) bool) {
	// The rows themselves are touched under the guard alone: the list may change them
	// meanwhile.
	type target struct {
		*watched
		id, address string
		engine      *settings.Engine
	}
	region.guard.Lock()
	var targets []target
	for id, one := range region.table {
		if isAsked(one) {
			targets = append(targets, target{one, id, one.Address, one.engine(tree)})
		}
	}
	region.guard.Unlock()
	sort.Slice(targets, func(a, b int) bool { return targets[a].id < targets[b].id })
	patience := tree.Span("dark_ms", region.name) / 2
	tallies := region.tallies()
	for _, one := range targets {
		region.World.Go(func() {
			asked := region.World.Now()
			var vitals replica.Vitals
			var err error
			if one.engine != nil && region.Dialect != nil {
				vitals, err = region.Dialect.Probe(replica.Target{ID: one.id, Address: one.address, Path: one.engine.ProbePath}, patience)
			} else {
				vitals, err = region.Replicas.Probe(one.address, patience)
			}
			region.guard.Lock()
			defer region.guard.Unlock()
			if mishap, isMishap := err.(*verdict.Mishap); isMishap && mishap.Code == replica.AnewCode && !one.isOver {
				// Else each data daemon would find out by a request of its own.
				one.isOver = true
				region.over(permit.Leaver{Replica: one.id, Boot: one.boot(tree)})
				region.computer.Wake()
			}
			if err != nil && one.probed && !one.isDark && region.World.Now()-one.answered >= tree.Span("dark_ms", region.name) {
				// Data daemons send it requests until a standing without it reaches them.
				one.isDark = true
				region.computer.Wake()
			}
			if err != nil || asked < one.answered {
				return
			}
			one.isDark = false
			one.isOver = false
			if vitals.Ill && !one.wasWell && tallies[one.id].OK == 0 {
				return // it is not there yet
			}
			one.wasWell = one.wasWell || !vitals.Ill
			if !vitals.Ill {
				one.condemned = 0
			}
			if vitals.Boot != one.vitals.Boot {
				one.leaving = one.Leaving
			}
			if !one.probed {
				region.computer.Wake()
			}
			one.vitals, one.probed, one.answered = vitals, true, asked
			one.coldUntil = max(one.coldUntil, asked+vitals.Cold)
			one.leaving = one.leaving || vitals.Leaving
		})
	}
}

// overSpan is how long lives that are over are gathered before they are told: where a zone's
// machines come back, there are many.
const overSpan = 30 * time.Millisecond

// over tells data daemons soon that a life is over, before a standing is written without it.
// Who holds the guard calls it.
func (region *region) over(life permit.Leaver) {
	if region.ended = append(region.ended, life); len(region.ended) > 1 {
		return // it goes with the others
	}
	region.World.Go(func() {
		loop.Sleep(region.World, overSpan)
		region.guard.Lock()
		lives := region.ended
		region.ended = nil
		region.guard.Unlock()
		region.tell(lives, 0)
	})
}

// tallies are what data daemons report of their latest requests, by replica.
func (region *region) tallies() map[string]standing.Outcome {
	out := map[string]standing.Outcome{}
	for _, one := range region.Table.Live(session.Data) {
		for _, list := range [][]standing.Outcome{one.Report.Recent, one.Report.Near} {
			for _, outcome := range list {
				sum := out[outcome.Replica]
				sum.Add(outcome)
				out[outcome.Replica] = sum
			}
		}
	}
	return out
}

// condemnedSpan is how long a replica is out that says that it is ill, and fails.
const condemnedSpan = 10 * time.Second

// isOut tells whether a replica that says that it is ill gets no requests. Its own word
// is not enough: it is out while most of what daemons sent it of late failed. Whoever
// leaves says the same and is marked in the list soon after.
func (one *watched) isOut(tally standing.Outcome, now time.Duration) bool {
	if !one.vitals.Ill {
		return false
	}
	if tally.Mishaps+tally.Unreached > tally.OK {
		one.condemned = now + condemnedSpan
	}
	return now < one.condemned
}
