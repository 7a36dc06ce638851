package controlplane

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/session"
	"swifttiller/settings"
)

// unlisted is how long it is until the platform likes to be asked again.
func (region *region) unlisted() time.Duration {
	region.guard.Lock()
	defer region.guard.Unlock()
	if left := region.listAt - region.World.Now(); left > 0 {
		return left + leastUnlisted
	}
	return loop.Forever
}

// leastUnlisted keeps loops whose wakeups are drawn from being early too often.
const leastUnlisted = 20 * time.Millisecond

// tell gives data daemons the lives that the list has just shown to be leaving, so that
// they need not wait for a standing to be computed, written and renewed; and those that a
// written standing has no more. Whom it does not reach goes by the standing.
func (region *region) tell(leavers []permit.Leaver, serial uint64) {
	if len(leavers) == 0 {
		return
	}
	notice := permit.Notice{Region: region.name, Leavers: leavers, Serial: serial}
	for _, one := range region.Table.Live(session.Data) {
		region.World.Go(func() {
			for range toldTimes {
				heeded := false
				if region.Net.Call(one.Member.Wire, "Permit.Heed", notice, &heeded, region.span()/4) == nil {
					return
				}
			}
		})
	}
}

// toldTimes is how often a daemon is told that does not answer.
const toldTimes = 2

// list asks the platform, as often as it likes to be asked.
func (region *region) list(_ uint64, tree *settings.Tree) {
	region.guard.Lock()
	wait := region.World.Now() < region.listAt
	region.guard.Unlock()
	address := tree.Platform(region.name)
	if wait || address == "" {
		return
	}
	span := tree.Span("platform_ms", region.name)
	listed, err := region.Platform.List(address, tree.Zones(region.name), min(span, region.span()))
	leavers, hasNew := region.listed(tree, listed, err)
	region.tell(leavers, 0)
	if hasNew {
		region.ask(tree, func(one *watched) bool { return !one.probed })
	}
}

// The list is asked for lossTimes as often while a replica is dark, and for lossSpan after:
// those that come in its place are known by the list alone.
const (
	lossTimes = 3
	lossSpan  = 8 * time.Second
)

// listed takes in the platform's list, or why there is none, and gives the lives that it
// is the first one to show as leaving, and whether it shows some for the first time.
func (region *region) listed(tree *settings.Tree, listed []listing.Listed, err error) (leavers []permit.Leaver, hasNew bool) {
	span := tree.Span("platform_ms", region.name)
	now := region.World.Now()
	region.guard.Lock()
	defer region.guard.Unlock()
	for _, one := range region.table {
		if one.probed && !one.leaving && !one.unlisted && now-one.answered >= tree.Span("dark_ms", region.name) {
			region.lostAt = now
		}
	}
	region.listAt = now + span
	if region.lostAt > 0 && now-region.lostAt < lossSpan {
		region.listAt = now + span/lossTimes
	}
	var limited *listing.Limited
	if err != nil {
		// Asked again soon, as there may be no list yet, but not before it wants to be.
		region.listAt = now + min(span, tree.Span("dark_ms", region.name))
		if errors.As(err, &limited) {
			region.listAt = max(region.listAt, now+limited.ComeBack)
		}
		region.listErr = err.Error()
		return nil, false // the last list stands
	}
	region.listErr = ""
	seen := map[string]bool{}
	for _, one := range listed {
		if at, known := tree.RegionOf(one.Zone); one.Model != "" && (!known || at != region.name) {
			continue
		}
		seen[one.ID] = true
		have := region.table[one.ID]
		if have == nil || have.Address != one.Address {
			have = &watched{Listed: one, answered: now}
			have.probed, hasNew = false, true
			region.table[one.ID] = have
		}
		if one.Leaving && !have.leaving {
			region.Log.Info("a replica is leaving", zap.String("region", region.name), zap.String("replica", one.ID))
			if boot := have.boot(tree); boot != "" {
				leavers = append(leavers, permit.Leaver{Replica: one.ID, Boot: boot})
			}
		}
		have.Listed = one
		have.unlisted = false
		have.leaving = have.leaving || one.Leaving
		have.coldUntil = max(have.coldUntil, now+one.Cold)
	}
	for id, have := range region.table {
		if !seen[id] {
			have.unlisted = true
			if now-have.answered > 2*tree.Span("dark_ms", region.name) {
				delete(region.table, id)
			}
		}
	}
	region.seeded = true
	return leavers, hasNew
}
