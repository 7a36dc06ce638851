package controlplane

import (
	"slices"
	"time"

	"swifttiller/register"
)

// Redundancy is how many acceptors of the core hold what was decided, at a moment. While
// something is being written a copy may count as behind that is not.
type Redundancy struct {
	// Whole acceptors answer and hold the same copies as a majority of the core; Wanted is
	// the size of the core.
	Whole  int `json:"whole"`
	Wanted int `json:"wanted"`
	// Losable is how many of the whole ones may lose their disks at once with a majority of
	// the core left that holds all that was decided.
	Losable int `json:"losable"`
	// Behind are the acceptors that hold other copies, and Silent those that did not answer.
	Behind []string `json:"behind,omitempty"`
	Silent []string `json:"silent,omitempty"`
	// LackingFor is for how long each of these has been so, in nanoseconds, as the daemons that
	// answered have seen it: at least so long.
	LackingFor map[string]time.Duration `json:"lacking_for,omitempty"`
}

// computeRedundancy judges the acceptors' digests, by identity and range by range. A range has a
// right digest where a majority of the core agrees; without one nobody counts as whole.
func computeRedundancy(core register.Core, digests map[string][]string) Redundancy {
	out := Redundancy{Wanted: len(core.Members)}
	for _, member := range core.Members {
		own, answered := digests[member.ID]
		switch {
		case !answered:
			out.Silent = append(out.Silent, member.ID)
		case isAgreed(core, digests, own):
			out.Whole++
		default:
			out.Behind = append(out.Behind, member.ID)
		}
	}
	out.Losable = max(0, out.Whole-core.Majority())
	return out
}

// isAgreed tells whether a majority of the core has each of the digests.
func isAgreed(core register.Core, digests map[string][]string, own []string) bool {
	for index, digest := range own {
		same := 0
		for _, member := range core.Members {
			if others := digests[member.ID]; index < len(others) && others[index] == digest {
				same++
			}
		}
		if same < core.Majority() {
			return false
		}
	}
	return len(own) > 0
}

// IsWhole tells that every acceptor of the core holds what was decided.
func (redundancy Redundancy) IsWhole() bool { return redundancy.Whole == redundancy.Wanted }

// lacking are the acceptors that do not count towards what may be lost.
func (redundancy Redundancy) lacking() []string {
	return slices.Concat(redundancy.Behind, redundancy.Silent)
}
