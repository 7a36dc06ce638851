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

// Options of a keeper. Self must be unique among proposers: it holds the
// process's incarnation.
type Options struct {
	World loop.World
	Net   wire.Net
	Self  string
	// Patience bounds one operation; a round gets a quarter of it.
	Patience time.Duration
	// Locate gives an acceptor's present address, or an empty string.
	Locate func(id string) string
	// Own is the identity of this daemon's own acceptor, if it has one.
	Own string
}

// Keeper proposes changes and reads. It is the only way to the registers.
//
// Invariant: core.Epoch never falls.
type Keeper struct {
	Options
	mu          sync.Mutex
	core        Core
	previous    Core // the one known before, which may hold an unfinished change
	lastRound   uint64
	changeCount uint64
	counters    Rounds
	cache       valueCache
	// queuedReads wait for the next round of reads; isReading is true exactly while a task
	// makes rounds, which ends only when nobody waits.
	queuedReads []*readRequest
	isReading   bool
	readRounds  uint64
	// latencies are how soon acceptors answer reads, smoothed.
	latencies map[string]time.Duration
	// completing are who waits for the completion of a key after the one under way; a
	// key is in it exactly while a task completes it.
	completing map[string][]loop.Mailbox
	// fetching are who waits for a long value that is on its way; one is in it exactly
	// while a task fetches it.
	fetching map[fetchKey][]loop.Mailbox
}

// Rounds counts what a keeper did: reads and writes that went through, and
// tries that had to be repeated.
type Rounds struct{ Reads, Writes, Conflicts uint64 }

// Rounded gives the counts.
func (client *Keeper) Rounded() Rounds {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.counters
}

// The ways in which an operation ends without a value.
var (
	// ErrNoMajority: nothing was written.
	ErrNoMajority = errors.New("register: no majority of the core answers")
	// ErrUncertain: the write may or may not have been decided; read to find out.
	ErrUncertain = errors.New("register: the outcome is unknown")
	// ErrNoCore: this daemon knows of no core.
	ErrNoCore = errors.New("register: no core is known; make one with `controlplane init`")
)

// Stale is the answer to an expectation that does not hold.
type Stale struct {
	Key  string
	Have uint64
	Want uint64
}

// Error is one line.
func (stale *Stale) Error() string {
	return fmt.Sprintf("register %s: expected serial %d, but the current serial is %d", stale.Key, stale.Want, stale.Have)
}

// Core is the newest core that this keeper knows of.
func (client *Keeper) Core() Core {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.core
}

// Learn takes notice of a core; older ones change nothing.
func (client *Keeper) Learn(core Core) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if core.Epoch > client.core.Epoch {
		client.previous, client.core = client.core, core
	}
}

func (client *Keeper) address(member Member) string {
	if client.Locate != nil {
		if address := client.Locate(member.ID); address != "" {
			return address
		}
	}
	return member.Address
}

func (client *Keeper) ballot(core Core, above Ballot) Ballot {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.lastRound = max(client.lastRound, above.Round) + 1
	return Ballot{Epoch: core.Epoch, Round: client.lastRound, Proposer: client.Self}
}

// The answers tell whose they are.
func (vote *Vote) identity() string   { return vote.ID }
func (about *About) identity() string { return about.ID }

// errWrongAcceptor: another acceptor answers at the member's address.
var errWrongAcceptor = errors.New("register: another acceptor answers there")

// isWrongAcceptor tells whether an answer must not count as the member's. An address is
// used again by whoever comes after an acceptor, so two members may lead to one
// process, and its one vote would count twice. Where to turn to it may tell.
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

// broadcast calls the method at every member of the core and shows each answer.
func broadcast[A any](client *Keeper, core Core, method string, args any, timeout time.Duration, isEnough func(answer *A, err error) bool) {
	broadcastRetry(client, core, method, args, func(*A) any { return nil }, timeout, isEnough)
}

// broadcastRetry is ask where an answer may show that a member has to be asked once more.
func broadcastRetry[A any](client *Keeper, core Core, method string, args any, followUp func(reply *A) any, timeout time.Duration, isEnough func(reply *A, err error) bool) {
	type result struct {
		reply *A
		err   error
	}
	loop.Gather(client.World, len(core.Members), timeout, func(index int) result {
		began := client.World.Now()
		for args := args; ; {
			reply := new(A)
			err := client.Net.Call(client.address(core.Members[index]), "Register."+method, args, reply, timeout-(client.World.Now()-began))
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

// followEpoch follows a vote that points to another epoch.
func (client *Keeper) followEpoch(core Core, vote *Vote) {
	client.Learn(vote.Core)
	if vote.Core.Epoch == core.Epoch && vote.Sealed {
		client.Learn(vote.Next)
	}
}

// Read reads one key.
func (client *Keeper) Read(key string) (Value, error) {
	values, err := client.ReadMany(key)
	return values[key], err
}

// ReadWithin is Read that gives up after the span where no majority answers.
func (client *Keeper) ReadWithin(key string, timeout time.Duration) (Value, error) {
	values, err := client.ReadManyWithin(timeout, key)
	return values[key], err
}

// backoff backs off, seeded and growing.
func (client *Keeper) backoff(attempt int) {
	span := client.Patience / 100 * time.Duration(1<<min(attempt, 4))
	loop.Sleep(client.World, span/2+time.Duration(client.World.Draw(int64(span))))
}

// retryBefore backs off and tells whether time is left.
func (client *Keeper) retryBefore(deadline time.Duration, attempt int) bool {
	client.backoff(attempt)
	return client.World.Now() < deadline && !client.World.Ended()
}

// errUnchanged is how a revision says that the value shall stay as it is.
var errUnchanged = errors.New("keep")

// Swap writes the data if the register's serial is the expected one.
func (client *Keeper) Swap(key string, expected uint64, data []byte) (Value, error) {
	return client.Change(key, func(value Value) ([]byte, error) {
		if value.Serial != expected {
			return nil, &Stale{Key: key, Have: value.Serial, Want: expected}
		}
		return data, nil
	})
}

// Change revises the register's value by the function, in two rounds. The
// function may run several times and must depend on its argument alone. Its
// error declines the change; then the value is as read, and nothing of this
// change was or will be written. ErrUncertain alone leaves that open.
func (client *Keeper) Change(key string, revise func(Value) ([]byte, error)) (Value, error) {
	return client.ChangeWithin(key, client.Patience, revise)
}

// ChangeWithin is Change that goes on only for the span given while no majority of the core
// answers: whoever waits for it may then turn to another daemon, which has a majority.
// The function may decline a change that has come to be unwanted: it runs right before each
// write.
func (client *Keeper) ChangeWithin(key string, silenceTimeout time.Duration, revise func(Value) ([]byte, error)) (Value, error) {
	began := client.World.Now()
	change := &change{key: key, id: client.newChangeID(), revise: revise, silenceTimeout: silenceTimeout, deadline: began + client.Patience, silenceDeadline: began + silenceTimeout}
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

// change is one change of a register under way.
type change struct {
	key    string
	id     string // names it in the trails of values
	revise func(Value) ([]byte, error)
	// deadline ends it; quietUntil ends it unless a majority answers before then, which puts
	// it off by silence.
	deadline, silenceDeadline, silenceTimeout time.Duration
	// sentSerial is the serial under which it may have been accepted somewhere; above is the
	// highest ballot that outvoted it.
	sentSerial    uint64
	highestBallot Ballot
}

// roundTimeout gives how long a round may take from now.
func (change *change) roundTimeout(client *Keeper) time.Duration {
	now := client.World.Now()
	return min(client.Patience/4, change.deadline-now, change.silenceDeadline-now)
}

// countReplies takes notice of how many members answered a round.
func (change *change) countReplies(client *Keeper, core Core, replies int) {
	if replies >= core.Majority() {
		change.silenceDeadline = client.World.Now() + change.silenceTimeout
	}
}

// attempt makes the two rounds once; settled is false when another try is due.
func (client *Keeper) attempt(core Core, change *change) (value Value, err error, isDone bool) {
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
		return promises == core.Majority()
	})
	change.countReplies(client, core, replies)
	if promises >= core.Majority() {
		return client.propose(core, change, ballot, newest.Value)
	}
	if epochVote != nil {
		client.followEpoch(core, epochVote)
		client.finishPendingChange()
	}
	return Value{}, nil, false
}

// newChangeID names a change in the trails of values.
func (client *Keeper) newChangeID() string {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.changeCount++
	return fmt.Sprintf("%s/%d", client.Self, client.changeCount)
}

// propose is the second round; settled is false when another try is due.
func (client *Keeper) propose(core Core, change *change, ballot Ballot, current Value) (Value, error, bool) {
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
	// The value as it is, too, is only known to be decided once a majority
	// accepted it under this ballot; an empty register needs no such round.
	if rejection != nil && current.Serial == 0 {
		return current, rejection, true
	}
	accepts, replies := 0, 0
	full := VoteRequest{Epoch: core.Epoch, Key: key, Ballot: ballot, Value: next}
	brief := full
	if next.Serial == current.Serial && next.isLong() {
		// Most hold it already, as it stays what it was.
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
		return accepts == core.Majority()
	})
	change.countReplies(client, core, replies)
	if accepts < core.Majority() {
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

// List gives the keys under a prefix that any of a majority holds.
func (client *Keeper) List(prefix string) ([]string, error) {
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
