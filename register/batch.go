package register

import (
	"maps"
	"slices"
)

// VoteRequests are requests for votes on several keys.
type VoteRequests struct{ Asks []VoteRequest }

// Votes are the votes on several keys, in the order of the requests.
type Votes struct {
	ID    string
	Votes []Vote
}

func (votes *Votes) identity() string { return votes.ID }

// apply is applyOne for a step that returns several records, which become durable together.
func (acceptor *Acceptor) apply(step func(state *state) []*record) error {
	acceptor.mu.Lock()
	records := step(&acceptor.state)
	wait := func() error { return nil }
	for _, entry := range records {
		entry.snapshots = acceptor.snapshots
		acceptor.addPending(entry)
		wait = acceptor.store.Enqueue(entry.pack())
	}
	if len(records) == 0 {
		wait = acceptor.store.Enqueue(nil)
	}
	acceptor.mu.Unlock()
	// The store writes records in the order in which they are enqueued, so waiting for the last
	// one is enough.
	err := wait()
	acceptor.recordsWritten(records, err)
	return err
}

// voteAll votes on all requests and waits for the disk once.
func (acceptor *Acceptor) voteAll(requests VoteRequests, votes *Votes, vote func(state *state, request VoteRequest, vote *Vote) *record) {
	votes.Votes = make([]Vote, len(requests.Asks))
	err := acceptor.apply(func(state *state) (records []*record) {
		votes.ID = state.ID
		for index, request := range requests.Asks {
			if entry := vote(state, request, &votes.Votes[index]); entry != nil {
				records = append(records, entry)
			}
		}
		return records
	})
	for index := range votes.Votes {
		votes.Votes[index].setDiskError(err)
	}
}

// PrepareAll is Prepare for several keys.
func (acceptor *Acceptor) PrepareAll(requests VoteRequests, votes *Votes) error {
	acceptor.voteAll(requests, votes, acceptor.prepare)
	return nil
}

// AcceptAll is Accept for several keys.
func (acceptor *Acceptor) AcceptAll(requests VoteRequests, votes *Votes) error {
	acceptor.voteAll(requests, votes, acceptor.accept)
	return nil
}

// WriteAll writes the data of each key, whatever its register holds, in two rounds for all keys
// together; writing many records one by one costs every acceptor two calls per record. Keys that
// get no majority because of competing writers are retried together. As soon as the outcome of a
// key is known, done is called with nil or the error that Update would return.
func (client *Client) WriteAll(data map[string][]byte, done func(key string, err error)) {
	deadline := client.World.Now() + client.Patience
	remaining := slices.Sorted(maps.Keys(data))
	failure := ErrNoMajority
	var highestBallot Ballot
	for attempt := 0; len(remaining) > 0; attempt++ {
		core := client.Core()
		if core.Epoch == 0 {
			failure = ErrNoCore
			break
		}
		batch := &batch{Client: client, core: core, ballot: client.ballot(core, highestBallot), highestBallot: highestBallot}
		written, isSent := batch.write(remaining, data)
		if isSent {
			failure = ErrUncertain
		}
		highestBallot = batch.highestBallot
		remaining = slices.DeleteFunc(remaining, func(key string) bool {
			if written[key] {
				done(key, nil)
			}
			return written[key]
		})
		if len(remaining) == 0 {
			return
		}
		if batch.epochVote != nil {
			client.followEpoch(core, batch.epochVote)
			client.finishPendingChange()
		}
		client.mu.Lock()
		client.counters.Conflicts += uint64(len(remaining))
		client.mu.Unlock()
		if !batch.hasMajorityReplied {
			attempt = 0 // not outvoted but without a majority: acceptors that are missing may reply soon
		}
		if !client.retryBefore(deadline, attempt) {
			break
		}
	}
	for _, key := range remaining {
		done(key, failure)
	}
}

// batch is one attempt to write several keys under one ballot. A ballot can be shared because
// ballots of different keys are unrelated.
type batch struct {
	*Client
	core   Core
	ballot Ballot
	// highestBallot is the highest ballot that the batch was rejected for. epochVote is a reply
	// that points to another epoch.
	highestBallot Ballot
	epochVote     *Vote
	// hasMajorityReplied reports that a majority replied.
	hasMajorityReplied bool
}

// write runs both rounds and returns the keys whose data was decided. Once an accept request was
// sent, the outcome of the other keys is unknown, as after any accept round without a majority.
func (batch *batch) write(keys []string, data map[string][]byte) (written map[string]bool, isSent bool) {
	written = map[string]bool{}
	id := batch.newChangeID()
	requests := VoteRequests{Asks: make([]VoteRequest, len(keys))}
	cached, newest := make([]Cell, len(keys)), make([]Cell, len(keys))
	for index, key := range keys {
		var sum Sum
		cached[index], sum = batch.cached(key)
		requests.Asks[index] = VoteRequest{Epoch: batch.core.Epoch, Key: key, Ballot: batch.ballot, Have: cached[index].Accepted, Sum: sum}
	}
	promised := batch.collectVotes("PrepareAll", requests, func(index int, vote *Vote) {
		if vote.Cell.Accepted == cached[index].Accepted || vote.IsHeld {
			vote.Cell.Value = cached[index].Value
		}
		if newest[index].Accepted.Less(vote.Cell.Accepted) {
			newest[index] = vote.Cell
		}
	})
	requests = VoteRequests{}
	for index, key := range keys {
		if promised[index] {
			current := newest[index].Value
			trail := append([]string{id}, current.Trail...)
			next := Value{Serial: current.Serial + 1, Data: data[key], Trail: trail[:min(len(trail), TrailLength)]}
			requests.Asks = append(requests.Asks, VoteRequest{Epoch: batch.core.Epoch, Key: key, Ballot: batch.ballot, Value: next})
		}
	}
	if len(requests.Asks) == 0 {
		return written, false
	}
	for index, isAccepted := range batch.collectVotes("AcceptAll", requests, func(int, *Vote) {}) {
		if request := requests.Asks[index]; isAccepted {
			written[request.Key] = true
			batch.mu.Lock()
			batch.counters.Writes++
			batch.cache.add(request.Key, Cell{Accepted: batch.ballot, Value: request.Value})
			batch.mu.Unlock()
		}
	}
	return written, true
}

// collectVotes broadcasts vote requests until each request has a majority of votes, or a majority
// of the members replied and some requests have a majority. It passes each vote that counts to
// counted, and returns which requests have a majority.
func (batch *batch) collectVotes(method string, requests VoteRequests, counted func(index int, vote *Vote)) []bool {
	majority := batch.core.Majority()
	counts, isMajority := make([]int, len(requests.Asks)), make([]bool, len(requests.Asks))
	replies, missing := 0, len(counts)
	broadcast(batch.Client, batch.core, method, requests, batch.Patience/4, func(votes *Votes, err error) bool {
		if err != nil || len(votes.Votes) != len(counts) {
			return false
		}
		replies++
		batch.hasMajorityReplied = batch.hasMajorityReplied || replies >= majority
		for index := range votes.Votes {
			vote := &votes.Votes[index]
			switch vote.Kind {
			case Rejected:
				if batch.highestBallot.Less(vote.Cell.Promised) {
					batch.highestBallot = vote.Cell.Promised
				}
			case WrongEpoch:
				batch.epochVote = vote
			}
			if vote.Kind != Granted || isMajority[index] {
				continue
			}
			counted(index, vote)
			if counts[index]++; counts[index] == majority {
				isMajority[index] = true
				missing--
			}
		}
		return missing == 0 || replies >= majority && missing < len(counts)
	})
	return isMajority
}
