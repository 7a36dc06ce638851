package register

import (
	"maps"
	"slices"
)

// Asks are asks for votes on several keys at once.
type Asks struct{ Asks []Ask }

// Votes are the answers, in the order of the asks.
type Votes struct {
	ID    string
	Votes []Vote
}

func (votes *Votes) identity() string { return votes.ID }

// changes is change for a step that gives several records, which last together.
func (acceptor *Acceptor) changes(step func(state *state) []*record) error {
	acceptor.guard.Lock()
	records := step(&acceptor.state)
	wait := func() error { return nil }
	for _, one := range records {
		one.snapshots = acceptor.snapshots
		acceptor.begin(one)
		wait = acceptor.store.Enqueue(one.pack())
	}
	if len(records) == 0 {
		wait = acceptor.store.Enqueue(nil)
	}
	acceptor.guard.Unlock()
	// The store keeps them in the order of their coming.
	err := wait()
	acceptor.settled(records, err)
	return err
}

// each gives the votes on all asks, which wait for the disk once.
func (acceptor *Acceptor) each(asks Asks, votes *Votes, vote func(state *state, ask Ask, vote *Vote) *record) {
	votes.Votes = make([]Vote, len(asks.Asks))
	err := acceptor.changes(func(state *state) (records []*record) {
		votes.ID = state.ID
		for at, ask := range asks.Asks {
			if one := vote(state, ask, &votes.Votes[at]); one != nil {
				records = append(records, one)
			}
		}
		return records
	})
	for at := range votes.Votes {
		votes.Votes[at].settle(err)
	}
}

// PrepareAll is Prepare for several keys.
func (acceptor *Acceptor) PrepareAll(asks Asks, votes *Votes) error {
	acceptor.each(asks, votes, acceptor.prepare)
	return nil
}

// AcceptAll is Accept for several keys.
func (acceptor *Acceptor) AcceptAll(asks Asks, votes *Votes) error {
	acceptor.each(asks, votes, acceptor.accept)
	return nil
}

// WriteAll writes the data of each key, whatever its register holds, in two rounds for all of
// them: many records that are written one by one cost every acceptor two calls each. Those
// that get no majority, as others write them too, are tried again, together. It tells what
// became of each key as soon as that is known, by nil or what Change would give.
func (keeper *Keeper) WriteAll(data map[string][]byte, ended func(key string, err error)) {
	expiry := keeper.World.Now() + keeper.Patience
	left := slices.Sorted(maps.Keys(data))
	trouble := ErrNoMajority
	var above Ballot
	for try := 0; len(left) > 0; try++ {
		core := keeper.Core()
		if core.Epoch == 0 {
			trouble = ErrNoCore
			break
		}
		batch := &batch{Keeper: keeper, core: core, ballot: keeper.ballot(core, above), above: above}
		written, isSent := batch.write(left, data)
		if isSent {
			trouble = ErrUncertain
		}
		above = batch.above
		left = slices.DeleteFunc(left, func(key string) bool {
			if written[key] {
				ended(key, nil)
			}
			return written[key]
		})
		if len(left) == 0 {
			return
		}
		if batch.astray != nil {
			keeper.elsewhere(core, batch.astray)
			keeper.carry()
		}
		keeper.guard.Lock()
		keeper.rounds.Conflicts += uint64(len(left))
		keeper.guard.Unlock()
		if !batch.isHeard {
			try = 0 // nobody outvotes it: those who are not there yet may be soon
		}
		if !keeper.again(expiry, try) {
			break
		}
	}
	for _, key := range left {
		ended(key, trouble)
	}
}

// batch is one try to write several keys, under one ballot: each key has ballots of its own.
type batch struct {
	*Keeper
	core   Core
	ballot Ballot
	// above is the highest ballot that outvoted it; astray points to another epoch.
	above  Ballot
	astray *Vote
	// isHeard tells that a majority answered.
	isHeard bool
}

// write makes the two rounds, and gives the keys whose data were decided. Of the others
// nothing is known once something was sent, as after any round that got no majority.
func (batch *batch) write(keys []string, data map[string][]byte) (written map[string]bool, isSent bool) {
	written = map[string]bool{}
	mark := batch.mark()
	asks := Asks{Asks: make([]Ask, len(keys))}
	haves, best := make([]Cell, len(keys)), make([]Cell, len(keys))
	for at, key := range keys {
		var sum Sum
		haves[at], sum = batch.have(key)
		asks.Asks[at] = Ask{Epoch: batch.core.Epoch, Key: key, Ballot: batch.ballot, Have: haves[at].Accepted, Sum: sum}
	}
	promised := batch.poll("PrepareAll", asks, func(at int, vote *Vote) {
		if vote.Cell.Accepted == haves[at].Accepted || vote.IsHeld {
			vote.Cell.Value = haves[at].Value
		}
		if best[at].Accepted.Less(vote.Cell.Accepted) {
			best[at] = vote.Cell
		}
	})
	asks = Asks{}
	for at, key := range keys {
		if promised[at] {
			have := best[at].Value
			trail := append([]string{mark}, have.Trail...)
			next := Value{Serial: have.Serial + 1, Data: data[key], Trail: trail[:min(len(trail), Trailing)]}
			asks.Asks = append(asks.Asks, Ask{Epoch: batch.core.Epoch, Key: key, Ballot: batch.ballot, Value: next})
		}
	}
	if len(asks.Asks) == 0 {
		return written, false
	}
	for at, isAccepted := range batch.poll("AcceptAll", asks, func(int, *Vote) {}) {
		if one := asks.Asks[at]; isAccepted {
			written[one.Key] = true
			batch.guard.Lock()
			batch.rounds.Writes++
			batch.kept.see(one.Key, Cell{Accepted: batch.ballot, Value: one.Value})
			batch.guard.Unlock()
		}
	}
	return written, true
}

// poll asks for votes until each ask has a majority, or as many members have answered and
// some have; it shows each vote that counts, and tells which asks have a majority.
func (batch *batch) poll(method string, asks Asks, voted func(at int, vote *Vote)) []bool {
	majority := batch.core.Majority()
	counts, isMajority := make([]int, len(asks.Asks)), make([]bool, len(asks.Asks))
	heard, lacking := 0, len(counts)
	ask(batch.Keeper, batch.core, method, asks, batch.Patience/4, func(votes *Votes, err error) bool {
		if err != nil || len(votes.Votes) != len(counts) {
			return false
		}
		heard++
		batch.isHeard = batch.isHeard || heard >= majority
		for at := range votes.Votes {
			vote := &votes.Votes[at]
			switch vote.Kind {
			case Outvoted:
				if batch.above.Less(vote.Cell.Promised) {
					batch.above = vote.Cell.Promised
				}
			case Elsewhere:
				batch.astray = vote
			}
			if vote.Kind != Voted || isMajority[at] {
				continue
			}
			voted(at, vote)
			if counts[at]++; counts[at] == majority {
				isMajority[at] = true
				lacking--
			}
		}
		return lacking == 0 || heard >= majority && lacking < len(counts)
	})
	return isMajority
}
