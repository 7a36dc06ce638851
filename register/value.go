package register

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Ballot orders proposals. The name of the proposer makes it unique.
//
// Invariant: a ballot of an epoch is higher than all ballots of earlier epochs. So a value that an
// acceptor accepted in an older core, and that was never decided, can't win against a value that a
// newer core decided.
type Ballot struct {
	Epoch    uint64
	Round    uint64
	Proposer string
}

// Less reports whether ballot is lower than other.
func (ballot Ballot) Less(other Ballot) bool {
	if ballot.Epoch != other.Epoch {
		return ballot.Epoch < other.Epoch
	}
	if ballot.Round != other.Round {
		return ballot.Round < other.Round
	}
	return ballot.Proposer < other.Proposer
}

// BallotHash represents a ballot where a client tells acceptors which values it has cached; the
// name of a proposer alone is longer. It is truncated from SHA-256, so two ballots have the same
// hash only with a probability of one in 2^64.
type BallotHash uint64

// hash returns the ballot's hash, or zero if nothing was accepted.
func (ballot Ballot) hash() BallotHash {
	if ballot == (Ballot{}) {
		return 0
	}
	text := make([]byte, 0, 16+len(ballot.Proposer))
	text = binary.BigEndian.AppendUint64(text, ballot.Epoch)
	text = binary.BigEndian.AppendUint64(text, ballot.Round)
	sum := sha256.Sum256(append(text, ballot.Proposer...))
	return BallotHash(binary.BigEndian.Uint64(sum[:]))
}

// Value is the content of a register.
//
// Invariant: Serial is the version of the register and increases by one with every decided change.
// Trail contains the identifiers of the last few changes, newest first, so that a writer that lost
// track of its own write can find out whether the value that it reads is based on it.
type Value struct {
	Serial uint64
	Data   []byte
	Trail  []string
}

// TrailLength is the maximum number of changes in a trail.
const TrailLength = 8

// longValueBytes is the size from which a value is sent only to clients that request it
// explicitly. Others get its digest.
const longValueBytes = 512

func (value Value) isLong() bool { return len(value.Data) >= longValueBytes }

// Sum is a digest of a whole value, including its serial and trail. Values with the same digest
// are the same, whatever ballots they were accepted under.
type Sum [16]byte

func (value Value) sum() (sum Sum) {
	digest := sha256.New()
	fmt.Fprintf(digest, "%d %d %q ", value.Serial, len(value.Data), value.Trail)
	digest.Write(value.Data)
	copy(sum[:], digest.Sum(nil))
	return sum
}

// Member is an acceptor of the core: the identity that was created with its disk, its last known
// address, and the name of its daemon if known.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Name    string `json:"name,omitempty"`
}

// Core is the set of acceptors of an epoch.
type Core struct {
	Epoch   uint64   `json:"epoch"`
	Members []Member `json:"members"`
}

// Majority returns the number of acceptors that decide.
func (core Core) Majority() int { return len(core.Members)/2 + 1 }

// Has reports whether the acceptor with this identity is a member of the core.
func (core Core) Has(id string) bool {
	for _, member := range core.Members {
		if member.ID == id {
			return true
		}
	}
	return false
}

// hasSameMembers reports whether both cores have the same acceptors.
func (core Core) hasSameMembers(other Core) bool {
	same := len(core.Members) == len(other.Members)
	for _, member := range core.Members {
		same = same && other.Has(member.ID)
	}
	return same
}

// Cell is an acceptor's state of one key.
//
// Invariant: Accepted is never higher than Promised, and neither ever decreases. Equal copies at a
// majority of a core are a decided value only if Accepted belongs to that core's epoch, since what
// was installed from the previous core may be one of several competing values.
type Cell struct {
	Promised Ballot
	Accepted Ballot
	Value    Value
}
