package register

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
)

// SealAsk closes an epoch at an acceptor in favour of the next core. Have are the marks of
// the copies that the asker has already.
type SealAsk struct {
	Epoch uint64
	Next  Core
	Have  map[Mark]bool
}

// Sealed answers with everything that the acceptor holds and the asker does not have. Absent
// are the marks of what it has and the acceptor does not hold.
type Sealed struct {
	Vote
	Cells  map[string]Cell
	Absent map[Mark]bool
}

// Seal declines ballots of the epoch for good and gives up what is held. An
// acceptor that has moved on to the very next core holds all that a sealed
// majority gave up, and maybe more; it counts as sealed too.
func (acceptor *Acceptor) Seal(ask SealAsk, sealed *Sealed) error {
	err := acceptor.change(func(state *state) *record {
		vote := &sealed.Vote
		vote.ID, vote.Core, vote.Sealed, vote.Next = state.ID, state.Core, state.Sealed, state.Next
		movedOn := state.Core.Epoch == ask.Epoch+1
		if !movedOn && (state.Core.Epoch != ask.Epoch || !state.Core.Has(state.ID)) {
			vote.Kind = Elsewhere
			return nil
		}
		var one *record
		if !state.Sealed && !movedOn {
			state.Sealed, state.Next = true, ask.Next
			one = &record{Whole: state}
		}
		vote.Sealed, vote.Next = state.Sealed, state.Next
		sealed.Cells, sealed.Absent = map[string]Cell{}, maps.Clone(ask.Have)
		for key, cell := range state.Cells {
			if mark := copied(key, cell.Accepted); ask.Have[mark] {
				delete(sealed.Absent, mark)
			} else {
				sealed.Cells[key] = cell
			}
		}
		return one
	})
	if err != nil {
		*sealed = Sealed{Vote: Vote{ID: sealed.ID, Kind: Sick, Mishap: err.Error()}}
	}
	return nil
}

// Move brings an acceptor into a core with all that was decided before it, of which what
// it was seen to hold when it was sealed is left out.
type Move struct {
	Core  Core
	Cells map[string]Cell
}

// Install takes part in a new core. It is an upsert: what is held already is
// kept where it is newer.
func (acceptor *Acceptor) Install(move Move, vote *Vote) error {
	var moved bool
	vote.settle(acceptor.change(func(state *state) *record {
		vote.ID, vote.Core, vote.Sealed, vote.Next = state.ID, state.Core, state.Sealed, state.Next
		isSame := state.Core.Epoch == move.Core.Epoch
		if !move.Core.Has(state.ID) || state.Core.Epoch > move.Core.Epoch || isSame && !state.Core.alike(move.Core) {
			vote.Kind = Elsewhere
			return nil
		}
		if isSame {
			return nil
		}
		for key, cell := range move.Cells {
			mine := state.Cells[key]
			if mine.Accepted.Less(cell.Accepted) {
				mine.Accepted, mine.Value = cell.Accepted, cell.Value
			}
			if mine.Promised.Less(cell.Accepted) {
				mine.Promised = cell.Accepted
			}
			state.Cells[key] = mine
		}
		state.Core, state.Sealed, state.Next = move.Core, false, Core{}
		vote.Core, vote.Sealed, moved = move.Core, false, true
		return &record{Whole: state}
	}))
	if moved && vote.Kind == Voted && acceptor.Moved != nil {
		acceptor.Moved(move.Core)
	}
	return nil
}

// Buckets is into how many ranges the keys are dealt for digests.
const Buckets = 16

// Bucket is the range of a key.
func Bucket(key string) int { return int(sha256.Sum256([]byte(key))[0]) % Buckets }

// Digests answers with one digest per range.
type Digests struct {
	Vote
	Sums [Buckets][32]byte
}

// Digest sums up what was accepted, range by range.
func (acceptor *Acceptor) Digest(look Look, digests *Digests) error {
	err := acceptor.change(func(state *state) *record {
		if acceptor.elsewhere(state, look.Epoch, &digests.Vote) {
			return nil
		}
		for _, key := range slices.Sorted(maps.Keys(state.Cells)) {
			cell := state.Cells[key]
			at := Bucket(key)
			digests.Sums[at] = sha256.Sum256(fmt.Appendf(digests.Sums[at][:], "%q %d %d %q", key, cell.Accepted.Epoch, cell.Accepted.Round, cell.Accepted.Proposer))
		}
		return nil
	})
	if err != nil {
		*digests = Digests{Vote: Vote{ID: digests.ID, Kind: Sick, Mishap: err.Error()}}
	}
	return nil
}

// Range asks for the accepted cells of one range. Have are the marks of the asker's own
// copies, by key; those that are the same are left out of the answer.
type Range struct {
	Epoch  uint64
	Bucket int
	Have   map[Mark]bool
}

// copied marks a copy of a key that was accepted under the ballot.
func copied(key string, accepted Ballot) Mark {
	accepted.Proposer += "/" + key
	return accepted.mark()
}

// Fetch gives the cells of a range.
func (acceptor *Acceptor) Fetch(ask Range, seen *Seen) error {
	err := acceptor.change(func(state *state) *record {
		if acceptor.elsewhere(state, ask.Epoch, &seen.Vote) {
			return nil
		}
		seen.Cells = map[string]Cell{}
		for key, cell := range state.Cells {
			if Bucket(key) == ask.Bucket && !ask.Have[copied(key, cell.Accepted)] {
				seen.Cells[key] = cell
			}
		}
		return nil
	})
	if err != nil {
		*seen = Seen{Vote: Vote{ID: seen.ID, Kind: Sick, Mishap: err.Error()}}
	}
	return nil
}
