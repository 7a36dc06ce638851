package routing

import "time"

// Handover describes a timed roll-out of a model in a region. Data daemons take what the version on
// trial may get, and when which requests go to it, from this and from their own counts.
type Handover struct {
	// Run is the roll-out's ID and Version the one that it moves the traffic to.
	Run, Version string
	// Over is the roll-out's duration, and Elapsed how much of it had passed when the table was
	// computed.
	Over, Elapsed time.Duration
	// IsScheduled is set once all regions have passed the trial. From Lead before the end of the
	// duration on, replicas of other versions may stop.
	IsScheduled bool
	Lead        time.Duration
}

// isSame reports whether both describe the same state of a roll-out. Elapsed time does not count.
func (handover Handover) isSame(other Handover) bool {
	handover.Elapsed = other.Elapsed
	return handover == other
}

// handovers returns the timed roll-outs of the region's models that accept any version.
func (input Input) handovers() map[string]Handover {
	var out map[string]Handover
	for _, model := range input.Tree.Models(input.Region) {
		handover := input.Routes[model].Handover
		placement, _ := input.Tree.Placement(model, input.Region)
		if handover == nil || !placement.AcceptsAnyVersion() {
			continue
		}
		if out == nil {
			out = map[string]Handover{}
		}
		current := *handover
		current.Elapsed = input.Elapsed[model]
		if input.Previous != nil {
			if previous, isKnown := input.Previous.Handovers[model]; isKnown && previous.Run == current.Run {
				current.Elapsed = max(current.Elapsed, previous.Elapsed+input.Since)
			}
		}
		out[model] = current
	}
	return out
}
