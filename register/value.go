package register

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Ballot orders proposals; the proposer's name makes it unique.
//
// Invariant: a ballot of an epoch stands above all of the epochs before. What an
// acceptor took in an older core, and nobody decided, so never wins against what a
// newer core decided.
type Ballot struct {
	Epoch    uint64
	Round    uint64
	Proposer string
}

// Less is the order of ballots.
func (ballot Ballot) Less(other Ballot) bool {
	if ballot.Epoch != other.Epoch {
		return ballot.Epoch < other.Epoch
	}
	if ballot.Round != other.Round {
		return ballot.Round < other.Round
	}
	return ballot.Proposer < other.Proposer
}

// BallotHash stands for a ballot where an acceptor is told which values the asker has: a proposer's
// name alone is longer. It is taken of SHA-256, so no two ballots share one but by a chance of
// one in 2^64.
type BallotHash uint64

// hash gives the ballot's mark; zero where nothing was accepted.
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

// Value is what a register holds.
//
// Invariant: Serial rises by one with every decided change. Trail names the
// last few changes, newest first, so that a writer that lost sight of its own
// write finds out whether it lies beneath the value that it reads.
type Value struct {
	Serial uint64
	Data   []byte
	Trail  []string
}

// TrailLength is how many changes a trail names.
const TrailLength = 8

// longValueBytes is from how many bytes on a value goes to who asks for it by name: others are
// told its sum.
const longValueBytes = 512

func (value Value) isLong() bool { return len(value.Data) >= longValueBytes }

// Sum is a digest of a whole value, its serial and its trail included. Values of one sum
// are the same, whatever ballots they were accepted under.
type Sum [16]byte

func (value Value) sum() (sum Sum) {
	digest := sha256.New()
	fmt.Fprintf(digest, "%d %d %q ", value.Serial, len(value.Data), value.Trail)
	digest.Write(value.Data)
	copy(sum[:], digest.Sum(nil))
	return sum
}

// Member is an acceptor of the core: an identity made with its disk, where it was
// last known to answer, and the name of its daemon, if that was known.
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

// Majority is how many acceptors decide.
func (core Core) Majority() int { return len(core.Members)/2 + 1 }

// Has tells whether the identity votes in this core.
func (core Core) Has(id string) bool {
	for _, member := range core.Members {
		if member.ID == id {
			return true
		}
	}
	return false
}

// hasSameMembers tells whether the same acceptors vote in both.
func (core Core) hasSameMembers(other Core) bool {
	same := len(core.Members) == len(other.Members)
	for _, member := range core.Members {
		same = same && other.Has(member.ID)
	}
	return same
}

// Cell is what an acceptor holds of a key.
//
// Invariant: Accepted is never above Promised, and neither ever falls. Copies that
// agree at a majority of a core are a decided value only if Accepted is of that
// core's epoch: what was installed from the core before may be one of several.
type Cell struct {
	Promised Ballot
	Accepted Ballot
	Value    Value
}
