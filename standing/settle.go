package standing

import "time"

const (
	// SettledWhole is how many steps a newcomer takes until it owns its whole part of the
	// shared prompt parts; settleStep is how long each takes. A part that changes its owner is
	// read again there, at the price of a long prompt's beginning, while those that have it
	// serve it well: so the changes are spread over what is long beside the time between two
	// uses of a part, and short beside a replica's life.
	SettledWhole = 8
	settleStep   = 15 * time.Second
)

// settle says which part of its shared prompt parts each replica owns.
//
// Invariants: all newcomers take their steps at the same moments, at most one each
// settleStep, so that these cost one write for all of them; where newcomers are the most, as
// at a start, or nothing is known of who was there before, all own their whole part at once.
func settle(input Input, out *Standing) {
	type life struct{ id, boot string }
	had := map[life]int{}
	steps := 0
	if before := input.Before; before != nil {
		out.Age = before.Age + max(0, input.Since)
		steps = int(out.Age/settleStep) - int(before.Age/settleStep)
		for _, place := range before.Places {
			had[life{place.ID, place.Boot}] = place.Settled
		}
	}
	isFirst := input.Before == nil || input.Before.Age == 0
	newcomers := 0
	for at := range out.Places {
		place := &out.Places[at]
		settled, isKnown := had[life{place.ID, place.Boot}]
		if !isKnown {
			newcomers++
			continue
		}
		place.Settled = min(SettledWhole, settled+steps)
	}
	if 2*newcomers <= len(out.Places) && !isFirst {
		return
	}
	for at := range out.Places {
		out.Places[at].Settled = SettledWhole
	}
}
