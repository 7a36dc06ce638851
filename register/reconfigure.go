package register

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
)

// SealRequest closes an epoch at an acceptor in favor of the next core. Have are the hashes of the
// copies that the client has already.
type SealRequest struct {
	Epoch uint64
	Next  Core
	Have  map[BallotHash]bool
}

// SealReply contains every cell of the acceptor that the client does not have. Absent are the
// hashes of the client's copies that the acceptor does not hold.
type SealReply struct {
	Vote
	Cells  map[string]Cell
	Absent map[BallotHash]bool
}

// Seal makes the acceptor reject all ballots of the epoch from now on, and returns its cells. An
// acceptor that has installed the very next core holds at least everything that a sealed majority
// returned, so it counts as sealed too.
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
			if hash := copyHash(key, cell.Accepted); request.Have[hash] {
				delete(reply.Absent, hash)
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

// InstallRequest installs a core at an acceptor, with everything that was decided before it,
// except for the cells that the acceptor was seen to hold when it was sealed.
type InstallRequest struct {
	Core  Core
	Cells map[string]Cell
	// Proposed is set for the first core: the ballot under which all of its members accepted it.
	Proposed Ballot
}

// Install joins the acceptor to a new core. It is idempotent: cells of the acceptor that are newer
// than those of the request are kept.
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
		if isFirst := request.Proposed != (Ballot{}); isFirst && (state.Core.Epoch > 0 || state.Proposal.Ballot != request.Proposed) {
			vote.Kind = Rejected // another proposal was accepted since
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

// Buckets is the number of ranges that keys are hashed into for digests.
const Buckets = 16

// Bucket returns the range of a key.
func Bucket(key string) int { return int(sha256.Sum256([]byte(key))[0]) % Buckets }

// Digests contains one digest per range.
type Digests struct {
	Vote
	Sums [Buckets][32]byte
}

// Digest returns a digest of the accepted ballots of each range.
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

// FetchRequest asks for the accepted cells of one range. Have are the hashes of the client's own
// copies; copies that are the same are left out of the reply.
type FetchRequest struct {
	Epoch  uint64
	Bucket int
	Have   map[BallotHash]bool
}

// copyHash identifies a copy of a key that was accepted under the ballot.
func copyHash(key string, accepted Ballot) BallotHash {
	accepted.Proposer += "/" + key
	return accepted.hash()
}

// Fetch returns the cells of a range.
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
