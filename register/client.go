package register

import (
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"swifttiller/loop"
	"swifttiller/wire"
)

// Options configures a register client. Self must be unique among proposers, so it contains the
// incarnation of the process.
type Options struct {
	World loop.World
	Net   wire.Net
	Self  string
	// Patience is the timeout of one operation; a single round gets a quarter of it.
	Patience time.Duration
	// Locate returns the current address of an acceptor, or an empty string if it is unknown.
	Locate func(id string) string
	// Own is the identity of this daemon's own acceptor, if it has one.
	Own string
}

// Client is a register client: it proposes changes and reads registers. All access to the
// registers goes through it.
//
// Invariant: core.Epoch never decreases.
type Client struct {
	Options
	mu          sync.Mutex
	core        Core
	previous    Core // the core known before, which may contain an unfinished change
	lastRound   uint64
	changeCount uint64
	counters    RoundCounters
	cache       valueCache
	// queuedReads wait for the next read round. isReading is true exactly while a task runs read
	// rounds; the task ends only when no reads are queued.
	queuedReads []*readRequest
	isReading   bool
	readRounds  uint64
	// latencies are the smoothed reply times of the acceptors to reads.
	latencies map[string]time.Duration
	// completing contains, for each key that a task is completing, the callers that wait for the
	// completion after the current one.
	completing map[string][]loop.Mailbox
	// fetching contains, for each long value that a task is fetching, the callers that wait for
	// it.
	fetching map[fetchKey][]loop.Mailbox
}

// RoundCounters counts completed reads and writes, and attempts that had to be retried.
type RoundCounters struct{ Reads, Writes, Conflicts uint64 }

// RoundCounters returns the counters.
func (client *Client) RoundCounters() RoundCounters {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.counters
}

// Errors of operations that end without a value.
var (
	// ErrNoMajority means that no majority replied and nothing was written.
	ErrNoMajority = errors.New("register: no majority of the core answers")
	// ErrUncertain means that the write may or may not have been decided; a read finds out.
	ErrUncertain = errors.New("register: the outcome is unknown")
	// ErrNoCore means that this daemon knows of no core.
	ErrNoCore = errors.New("register: no core is known; create one with `controlplane init`")
)

// SerialMismatch is the error of a CompareAndSwap whose expected serial is not the current one.
type SerialMismatch struct {
	Key      string
	Current  uint64
	Expected uint64
}

// Error returns the message in one line.
func (stale *SerialMismatch) Error() string {
	return fmt.Sprintf("register %s: expected serial %d, but the current serial is %d", stale.Key, stale.Expected, stale.Current)
}

// Core returns the newest core that this client knows.
func (client *Client) Core() Core {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.core
}

// LearnCore records a core if its epoch is newer than that of the known core.
func (client *Client) LearnCore(core Core) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if core.Epoch > client.core.Epoch {
		client.previous, client.core = client.core, core
	}
}

func (client *Client) address(member Member) string {
	if client.Locate != nil {
		if address := client.Locate(member.ID); address != "" {
			return address
		}
	}
	return member.Address
}

func (client *Client) ballot(core Core, above Ballot) Ballot {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.lastRound = max(client.lastRound, above.Round) + 1
	return Ballot{Epoch: core.Epoch, Round: client.lastRound, Proposer: client.Self}
}

// The replies identify the acceptor that sent them.
func (vote *Vote) identity() string    { return vote.ID }
func (about *Status) identity() string { return about.ID }

// errWrongAcceptor means that another acceptor replied at the member's address.
var errWrongAcceptor = errors.New("register: another acceptor replies at the address of a member")

// isWrongAcceptor reports whether a reply must not be counted for the member. Another acceptor may
// reuse the address of a lost one, so the addresses of two members may lead to the same process,
// whose single vote would then count twice. Its WrongEpoch replies are still valid, as they only
// point to another core.
func isWrongAcceptor(reply any, member Member) bool {
	identified, hasIdentity := reply.(interface{ identity() string })
	if !hasIdentity || identified.identity() == member.ID {
		return false
	}
	switch identified := reply.(type) {
	case *Vote:
		return identified.Kind != WrongEpoch
	case *QueryReply:
		return identified.Kind != WrongEpoch
	}
	return true
}

// broadcast calls the method at every member of the core in parallel and passes each reply to
// isEnough, until that returns true or the timeout expires.
func broadcast[A any](client *Client, core Core, method string, args any, timeout time.Duration, isEnough func(answer *A, err error) bool) {
	broadcastRetry(client, core, method, args, func(*A) any { return nil }, timeout, isEnough)
}

// broadcastRetry is broadcast with follow-up calls: while followUp returns new arguments for a
// member's reply, that member is called again with them.
func broadcastRetry[A any](client *Client, core Core, method string, args any, followUp func(reply *A) any, timeout time.Duration, isEnough func(reply *A, err error) bool) {
	type result struct {
		reply *A
		err   error
	}
	loop.Gather(client.World, len(core.Members), timeout, func(index int) result {
		startedAt := client.World.Now()
		for args := args; ; {
			reply := new(A)
			err := client.Net.Call(client.address(core.Members[index]), "Register."+method, args, reply, timeout-(client.World.Now()-startedAt))
			if err == nil && isWrongAcceptor(reply, core.Members[index]) {
				err = errWrongAcceptor
			}
			if err != nil {
				return result{reply, err}
			}
			if args = followUp(reply); args == nil {
				return result{reply, nil}
			}
		}
	}, func(_ int, result result) bool { return isEnough(result.reply, result.err) })
}

// followEpoch learns the core that a WrongEpoch reply points to.
func (client *Client) followEpoch(core Core, vote *Vote) {
	client.LearnCore(vote.Core)
	if vote.Core.Epoch == core.Epoch && vote.Sealed {
		client.LearnCore(vote.Next)
	}
}

// Read reads one key.
func (client *Client) Read(key string) (Value, error) {
	values, err := client.ReadMany(key)
	return values[key], err
}

// ReadWithin is Read with a timeout of its own, after which it gives up if no majority replies.
func (client *Client) ReadWithin(key string, timeout time.Duration) (Value, error) {
	values, err := client.ReadManyWithin(timeout, key)
	return values[key], err
}

// backoff sleeps for an exponentially growing time with jitter from the world's seeded source.
func (client *Client) backoff(attempt int) {
	span := client.Patience / 100 * time.Duration(1<<min(attempt, 4))
	loop.Sleep(client.World, span/2+time.Duration(client.World.RandN(int64(span))))
}

// retryBefore backs off and reports whether there is time left for another attempt.
func (client *Client) retryBefore(deadline time.Duration, attempt int) bool {
	client.backoff(attempt)
	return client.World.Now() < deadline && !client.World.Ended()
}

// errUnchanged is returned by a revise function to keep the value as it is.
var errUnchanged = errors.New("keep")

// CompareAndSwap writes the data if the register's current serial is the expected one.
func (client *Client) CompareAndSwap(key string, expected uint64, data []byte) (Value, error) {
	return client.Update(key, func(value Value) ([]byte, error) {
		if value.Serial != expected {
			return nil, &SerialMismatch{Key: key, Current: value.Serial, Expected: expected}
		}
		return data, nil
	})
}

// Update replaces the register's value by what revise returns for it, in two rounds. revise may be
// called several times and must depend on its argument alone. If it returns an error, the change
// is rejected: Update returns the current value and the error, and nothing of this change was or
// will be written. Only ErrUncertain leaves open whether it was.
func (client *Client) Update(key string, revise func(Value) ([]byte, error)) (Value, error) {
	return client.UpdateWithin(key, client.Patience, revise)
}

// UpdateWithin is Update with a separate timeout for the time in which no majority of the core
// replies, so that the caller can turn to another daemon that reaches a majority. revise may
// reject a change that is no longer wanted, since it is called right before each write.
func (client *Client) UpdateWithin(key string, silenceTimeout time.Duration, revise func(Value) ([]byte, error)) (Value, error) {
	return client.update(key, silenceTimeout, lostMembers{}, revise)
}

// update is UpdateWithin for ballots that are made with the knowledge of lost members.
func (client *Client) update(key string, silenceTimeout time.Duration, lost lostMembers, revise func(Value) ([]byte, error)) (Value, error) {
	startedAt := client.World.Now()
	change := &change{key: key, id: client.newChangeID(), lost: lost, revise: revise, silenceTimeout: silenceTimeout, deadline: startedAt + client.Patience, silenceDeadline: startedAt + silenceTimeout}
	for attempt := 0; ; attempt++ {
		core := client.Core()
		if core.Epoch == 0 {
			return Value{}, ErrNoCore
		}
		if value, err, isDone := client.attempt(core, change); isDone {
			return value, err
		}
		client.mu.Lock()
		client.counters.Conflicts++
		client.mu.Unlock()
		if !client.retryBefore(min(change.deadline, change.silenceDeadline), attempt) {
			if change.sentSerial > 0 {
				return Value{}, ErrUncertain
			}
			return Value{}, ErrNoMajority
		}
	}
}

// change is the state of one change in progress.
type change struct {
	key    string
	id     string // identifies the change in the trails of values
	revise func(Value) ([]byte, error)
	// lost are the members that were known to be lost before the change made its first ballot.
	lost lostMembers
	// The change ends at deadline. It also ends at silenceDeadline, which each reply of a majority
	// postpones to silenceTimeout from then.
	deadline, silenceDeadline, silenceTimeout time.Duration
	// sentSerial is the serial under which the value may have been accepted by some acceptor.
	// highestBallot is the highest ballot that the change was rejected for.
	sentSerial    uint64
	highestBallot Ballot
}

// roundTimeout returns how long a round that starts now may take.
func (change *change) roundTimeout(client *Client) time.Duration {
	now := client.World.Now()
	return min(client.Patience/4, change.deadline-now, change.silenceDeadline-now)
}

// hasQuorum reports whether that many members of the core decide a round of the change.
func (client *Client) hasQuorum(core Core, change *change, votes int) bool {
	return votes >= change.lost.quorum(core)
}

// countReplies postpones silenceDeadline if a quorum of the members replied to a round.
func (change *change) countReplies(client *Client, core Core, replies int) {
	if client.hasQuorum(core, change, replies) {
		change.silenceDeadline = client.World.Now() + change.silenceTimeout
	}
}

// attempt runs the prepare round and, if a quorum promises, the accept round. isDone is false
// when another attempt is needed.
func (client *Client) attempt(core Core, change *change) (value Value, err error, isDone bool) {
	ballot := client.ballot(core, change.highestBallot)
	var newest Cell
	promises, replies := 0, 0
	cached, sum := client.cached(change.key)
	var epochVote *Vote
	broadcast(client, core, "Prepare", VoteRequest{Epoch: core.Epoch, Key: change.key, Ballot: ballot, Have: cached.Accepted, Sum: sum}, change.roundTimeout(client), func(vote *Vote, err error) bool {
		if err != nil {
			return false
		}
		replies++
		switch vote.Kind {
		case Granted:
			promises++
			if vote.Cell.Accepted == cached.Accepted || vote.IsHeld {
				vote.Cell.Value = cached.Value
			}
			if newest.Accepted.Less(vote.Cell.Accepted) {
				newest = vote.Cell
			}
		case Rejected:
			if change.highestBallot.Less(vote.Cell.Promised) {
				change.highestBallot = vote.Cell.Promised
			}
		case WrongEpoch:
			epochVote = vote
		}
		return client.hasQuorum(core, change, promises)
	})
	change.countReplies(client, core, replies)
	if client.hasQuorum(core, change, promises) {
		return client.propose(core, change, ballot, newest.Value)
	}
	if epochVote != nil {
		client.followEpoch(core, epochVote)
		client.finishPendingChange()
	}
	return Value{}, nil, false
}

// newChangeID returns a unique identifier for the trails of values.
func (client *Client) newChangeID() string {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.changeCount++
	return fmt.Sprintf("%s/%d", client.Self, client.changeCount)
}

// propose runs the accept round. isDone is false when another attempt is needed.
func (client *Client) propose(core Core, change *change, ballot Ballot, current Value) (Value, error, bool) {
	key := change.key
	next := current
	var rejection error
	isApplied := false
	for _, id := range current.Trail {
		isApplied = isApplied || id == change.id
	}
	if change.sentSerial > 0 && !isApplied && current.Serial >= change.sentSerial+TrailLength {
		return Value{}, ErrUncertain, true
	}
	if !isApplied {
		data, err := change.revise(current)
		if err != nil {
			rejection = err
		} else {
			trail := append([]string{change.id}, current.Trail...)
			next = Value{Serial: current.Serial + 1, Data: data, Trail: trail[:min(len(trail), TrailLength)]}
			change.sentSerial = next.Serial
		}
	}
	// Even an unchanged value is known to be decided only after a majority accepted it under this
	// ballot. An empty register does not need that round.
	if rejection != nil && current.Serial == 0 {
		return current, rejection, true
	}
	accepts, replies := 0, 0
	full := VoteRequest{Epoch: core.Epoch, Key: key, Ballot: ballot, Value: next}
	brief := full
	if next.Serial == current.Serial && next.isLong() {
		// Most acceptors hold the unchanged value already, so its digest is enough.
		brief.Value, brief.Sum = Value{}, next.sum()
	}
	broadcastRetry(client, core, "Accept", brief, func(vote *Vote) any {
		if vote.Kind == ValueMissing {
			return full
		}
		return nil
	}, change.roundTimeout(client), func(vote *Vote, err error) bool {
		if err != nil {
			return false
		}
		replies++
		switch vote.Kind {
		case Granted:
			accepts++
		case Rejected:
			if change.highestBallot.Less(vote.Cell.Promised) {
				change.highestBallot = vote.Cell.Promised
			}
		case WrongEpoch:
			client.followEpoch(core, vote)
		}
		return client.hasQuorum(core, change, accepts)
	})
	change.countReplies(client, core, replies)
	if !client.hasQuorum(core, change, accepts) {
		return Value{}, nil, false
	}
	client.mu.Lock()
	client.counters.Writes++
	client.cache.add(key, Cell{Accepted: ballot, Value: next})
	client.mu.Unlock()
	if errors.Is(rejection, errUnchanged) {
		rejection = nil
	}
	return next, rejection, true
}

// List returns the keys with the prefix that any acceptor of a majority holds.
func (client *Client) List(prefix string) ([]string, error) {
	deadline := client.World.Now() + client.Patience
	for attempt := 0; ; attempt++ {
		core := client.Core()
		if core.Epoch == 0 {
			return nil, ErrNoCore
		}
		replies, found := 0, map[string]bool{}
		var epochVote *Vote
		broadcast(client, core, "Query", Query{Epoch: core.Epoch, Prefix: prefix}, client.Patience/4, func(reply *QueryReply, err error) bool {
			if err == nil && reply.Kind == WrongEpoch {
				epochVote = &reply.Vote
			}
			if err != nil || reply.Kind != Granted {
				return false
			}
			replies++
			for _, key := range reply.Names {
				found[key] = true
			}
			return replies == core.Majority()
		})
		if replies >= core.Majority() {
			keys := make([]string, 0, len(found))
			for key := range found {
				keys = append(keys, key)
			}
			sort.Strings(keys)
			return keys, nil
		}
		if epochVote != nil {
			client.followEpoch(core, epochVote)
			client.finishPendingChange()
		}
		if !client.retryBefore(deadline, attempt) {
			return nil, ErrNoMajority
		}
	}
}
