package register

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
)

// SealRequest closes an epoch at an acceptor in favour of the next core. Have are the marks of
// the copies that the asker has already.
type SealRequest struct {
	Epoch uint64
	Next  Core
	Have  map[BallotHash]bool
}

// SealReply answers with everything that the acceptor holds and the asker does not have. Absent
// are the marks of what it has and the acceptor does not hold.
type SealReply struct {
	Vote
	Cells  map[string]Cell
	Absent map[BallotHash]bool
}

// Seal declines ballots of the epoch for good and gives up what is held. An
// acceptor that has moved on to the very next core holds all that a sealed
// majority gave up, and maybe more; it counts as sealed too.
func (acceptor *Acceptor) Seal(request SealRequest, reply *SealReply) error {
	err := acceptor.applyOne(func(state *state) *record {
		vote := &reply.Vote
		vote.ID, vote.Core, vote.Sealed, vote.Next = state.ID, state.Core, state.Sealed, state.Next
		isNextEpoch := state.Core.Epoch == request.Epoch+1
		if !isNextEpoch && (state.Core.Epoch != request.Epoch || !state.Core.Has(state.ID)) {
			vote.Kind = WrongEpoch
			return nil
		}
		var entry *record
		if !state.Sealed && !isNextEpoch {
			state.Sealed, state.Next = true, request.Next
			entry = &record{Whole: state}
		}
		vote.Sealed, vote.Next = state.Sealed, state.Next
		reply.Cells, reply.Absent = map[string]Cell{}, maps.Clone(request.Have)
		for key, cell := range state.Cells {
			if mark := copyHash(key, cell.Accepted); request.Have[mark] {
				delete(reply.Absent, mark)
			} else {
				reply.Cells[key] = cell
			}
		}
		return entry
	})
	if err != nil {
		*reply = SealReply{Vote: Vote{ID: reply.ID, Kind: DiskFailed, Mishap: err.Error()}}
	}
	return nil
}

// InstallRequest brings an acceptor into a core with all that was decided before it, of which what
// it was seen to hold when it was sealed is left out.
type InstallRequest struct {
	Core  Core
	Cells map[string]Cell
}

// Install takes part in a new core. It is an upsert: what is held already is
// kept where it is newer.
func (acceptor *Acceptor) Install(request InstallRequest, vote *Vote) error {
	var isInstalled bool
	vote.setDiskError(acceptor.applyOne(func(state *state) *record {
		vote.ID, vote.Core, vote.Sealed, vote.Next = state.ID, state.Core, state.Sealed, state.Next
		isSame := state.Core.Epoch == request.Core.Epoch
		if !request.Core.Has(state.ID) || state.Core.Epoch > request.Core.Epoch || isSame && !state.Core.hasSameMembers(request.Core) {
			vote.Kind = WrongEpoch
			return nil
		}
		if isSame {
			return nil
		}
		for key, cell := range request.Cells {
			local := state.Cells[key]
			if local.Accepted.Less(cell.Accepted) {
				local.Accepted, local.Value = cell.Accepted, cell.Value
			}
			if local.Promised.Less(cell.Accepted) {
				local.Promised = cell.Accepted
			}
			state.Cells[key] = local
		}
		state.Core, state.Sealed, state.Next = request.Core, false, Core{}
		vote.Core, vote.Sealed, isInstalled = request.Core, false, true
		return &record{Whole: state}
	}))
	if isInstalled && vote.Kind == Granted && acceptor.Moved != nil {
		acceptor.Moved(request.Core)
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
func (acceptor *Acceptor) Digest(query Query, digests *Digests) error {
	err := acceptor.applyOne(func(state *state) *record {
		if acceptor.rejectEpoch(state, query.Epoch, &digests.Vote) {
			return nil
		}
		for _, key := range slices.Sorted(maps.Keys(state.Cells)) {
			cell := state.Cells[key]
			bucket := Bucket(key)
			digests.Sums[bucket] = sha256.Sum256(fmt.Appendf(digests.Sums[bucket][:], "%q %d %d %q", key, cell.Accepted.Epoch, cell.Accepted.Round, cell.Accepted.Proposer))
		}
		return nil
	})
	if err != nil {
		*digests = Digests{Vote: Vote{ID: digests.ID, Kind: DiskFailed, Mishap: err.Error()}}
	}
	return nil
}

// FetchRequest asks for the accepted cells of one range. Have are the marks of the asker's own
// copies, by key; those that are the same are left out of the answer.
type FetchRequest struct {
	Epoch  uint64
	Bucket int
	Have   map[BallotHash]bool
}

// copyHash marks a copy of a key that was accepted under the ballot.
func copyHash(key string, accepted Ballot) BallotHash {
	accepted.Proposer += "/" + key
	return accepted.hash()
}

// Fetch gives the cells of a range.
func (acceptor *Acceptor) Fetch(request FetchRequest, reply *QueryReply) error {
	err := acceptor.applyOne(func(state *state) *record {
		if acceptor.rejectEpoch(state, request.Epoch, &reply.Vote) {
			return nil
		}
		reply.Cells = map[string]Cell{}
		for key, cell := range state.Cells {
			if Bucket(key) == request.Bucket && !request.Have[copyHash(key, cell.Accepted)] {
				reply.Cells[key] = cell
			}
		}
		return nil
	})
	if err != nil {
		*reply = QueryReply{Vote: Vote{ID: reply.ID, Kind: DiskFailed, Mishap: err.Error()}}
	}
	return nil
}
