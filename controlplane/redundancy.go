package controlplane

import (
	"slices"
	"time"

	"swifttiller/register"
)

// Redundancy is how many acceptors of the core hold all decided values, at one moment. During a
// write, an up-to-date copy may be counted as behind.
type Redundancy struct {
	// Whole is the number of acceptors that answer and hold the same copies as a majority of the
	// core; Wanted is the size of the core.
	Whole  int `json:"whole"`
	Wanted int `json:"wanted"`
	// Losable is how many of these acceptors may lose their disks at once so that a majority of
	// the core that holds all decided values remains.
	Losable int `json:"losable"`
	// Behind are the acceptors whose copies differ, and Silent those that did not answer.
	Behind []string `json:"behind,omitempty"`
	Silent []string `json:"silent,omitempty"`
	// LackingFor is for how many nanoseconds, at least, each of these has been behind or silent,
	// as observed by the daemons that answered.
	LackingFor map[string]time.Duration `json:"lacking_for,omitempty"`
}

// computeRedundancy compares the acceptors' digests, given by identity, with one digest per key
// range. The correct digest of a range is the one that a majority of the core has; if a range has
// none, no acceptor counts as whole.
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

// isAgreed tells whether, for each range, a majority of the core has the acceptor's own digest.
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

// IsWhole tells whether every acceptor of the core holds all decided values.
func (redundancy Redundancy) IsWhole() bool { return redundancy.Whole == redundancy.Wanted }

// lacking lists the acceptors that are behind or silent.
func (redundancy Redundancy) lacking() []string {
	return slices.Concat(redundancy.Behind, redundancy.Silent)
}
