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
	guard  sync.Mutex
	core   Core
	former Core // the one known before, which may hold an unfinished change
	round  uint64
	change uint64
	rounds Rounds
	kept   kept
	// wishes wait for the next round of reads; isReading is true exactly while a task
	// makes rounds, which ends only when nobody waits.
	wishes    []*wish
	isReading bool
	inquiries uint64
	// paces are how soon acceptors answer reads, smoothed.
	paces map[string]time.Duration
	// completing are who waits for the completion of a key after the one under way; a
	// key is in it exactly while a task completes it.
	completing map[string][]loop.Mailbox
	// fetching are who waits for a long value that is on its way; one is in it exactly
	// while a task fetches it.
	fetching map[fetched][]loop.Mailbox
}

// Rounds counts what a keeper did: reads and writes that went through, and
// tries that had to be repeated.
type Rounds struct{ Reads, Writes, Conflicts uint64 }

// Rounded gives the counts.
func (keeper *Keeper) Rounded() Rounds {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	return keeper.rounds
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
func (keeper *Keeper) Core() Core {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	return keeper.core
}

// Learn takes notice of a core; older ones change nothing.
func (keeper *Keeper) Learn(core Core) {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	if core.Epoch > keeper.core.Epoch {
		keeper.former, keeper.core = keeper.core, core
	}
}

func (keeper *Keeper) address(member Member) string {
	if keeper.Locate != nil {
		if address := keeper.Locate(member.ID); address != "" {
			return address
		}
	}
	return member.Address
}

func (keeper *Keeper) ballot(core Core, above Ballot) Ballot {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	keeper.round = max(keeper.round, above.Round) + 1
	return Ballot{Epoch: core.Epoch, Round: keeper.round, Proposer: keeper.Self}
}

// The answers tell whose they are.
func (vote *Vote) identity() string   { return vote.ID }
func (about *About) identity() string { return about.ID }

// errStranger: another acceptor answers at the member's address.
var errStranger = errors.New("register: another acceptor answers there")

// stranger tells whether an answer must not count as the member's. An address is
// used again by whoever comes after an acceptor, so two members may lead to one
// process, and its one vote would count twice. Where to turn to it may tell.
func stranger(answer any, member Member) bool {
	one, tells := answer.(interface{ identity() string })
	if !tells || one.identity() == member.ID {
		return false
	}
	switch one := answer.(type) {
	case *Vote:
		return one.Kind != Elsewhere
	case *Seen:
		return one.Kind != Elsewhere
	}
	return true
}

// ask calls the method at every member of the core and shows each answer.
func ask[A any](keeper *Keeper, core Core, method string, args any, patience time.Duration, enough func(answer *A, err error) bool) {
	askTwice(keeper, core, method, args, func(*A) any { return nil }, patience, enough)
}

// askTwice is ask where an answer may show that a member has to be asked once more.
func askTwice[A any](keeper *Keeper, core Core, method string, args any, more func(answer *A) any, patience time.Duration, enough func(answer *A, err error) bool) {
	type result struct {
		answer *A
		err    error
	}
	loop.Gather(keeper.World, len(core.Members), patience, func(index int) result {
		began := keeper.World.Now()
		for args := args; ; {
			answer := new(A)
			err := keeper.Net.Call(keeper.address(core.Members[index]), "Register."+method, args, answer, patience-(keeper.World.Now()-began))
			if err == nil && stranger(answer, core.Members[index]) {
				err = errStranger
			}
			if err != nil {
				return result{answer, err}
			}
			if args = more(answer); args == nil {
				return result{answer, nil}
			}
		}
	}, func(_ int, got result) bool { return enough(got.answer, got.err) })
}

// elsewhere follows a vote that points to another epoch.
func (keeper *Keeper) elsewhere(core Core, vote *Vote) {
	keeper.Learn(vote.Core)
	if vote.Core.Epoch == core.Epoch && vote.Sealed {
		keeper.Learn(vote.Next)
	}
}

// Read reads one key.
func (keeper *Keeper) Read(key string) (Value, error) {
	values, err := keeper.ReadMany(key)
	return values[key], err
}

// ReadWithin is Read that gives up after the span where no majority answers.
func (keeper *Keeper) ReadWithin(key string, span time.Duration) (Value, error) {
	values, err := keeper.ReadManyWithin(span, key)
	return values[key], err
}

// pause backs off, seeded and growing.
func (keeper *Keeper) pause(try int) {
	span := keeper.Patience / 100 * time.Duration(1<<min(try, 4))
	loop.Sleep(keeper.World, span/2+time.Duration(keeper.World.Draw(int64(span))))
}

// again backs off and tells whether time is left.
func (keeper *Keeper) again(expiry time.Duration, try int) bool {
	keeper.pause(try)
	return keeper.World.Now() < expiry && !keeper.World.Ended()
}

// errKeep is how a revision says that the value shall stay as it is.
var errKeep = errors.New("keep")

// Swap writes the data if the register's serial is the expected one.
func (keeper *Keeper) Swap(key string, expect uint64, data []byte) (Value, error) {
	return keeper.Change(key, func(value Value) ([]byte, error) {
		if value.Serial != expect {
			return nil, &Stale{Key: key, Have: value.Serial, Want: expect}
		}
		return data, nil
	})
}

// Change revises the register's value by the function, in two rounds. The
// function may run several times and must depend on its argument alone. Its
// error declines the change; then the value is as read, and nothing of this
// change was or will be written. ErrUncertain alone leaves that open.
func (keeper *Keeper) Change(key string, revise func(Value) ([]byte, error)) (Value, error) {
	return keeper.ChangeWithin(key, keeper.Patience, revise)
}

// ChangeWithin is Change that goes on only for the span given while no majority of the core
// answers: whoever waits for it may then turn to another daemon, which has a majority.
// The function may decline a change that has come to be unwanted: it runs right before each
// write.
func (keeper *Keeper) ChangeWithin(key string, silence time.Duration, revise func(Value) ([]byte, error)) (Value, error) {
	began := keeper.World.Now()
	change := &change{key: key, mark: keeper.mark(), revise: revise, silence: silence, expiry: began + keeper.Patience, quietUntil: began + silence}
	for try := 0; ; try++ {
		core := keeper.Core()
		if core.Epoch == 0 {
			return Value{}, ErrNoCore
		}
		if value, err, settled := keeper.attempt(core, change); settled {
			return value, err
		}
		keeper.guard.Lock()
		keeper.rounds.Conflicts++
		keeper.guard.Unlock()
		if !keeper.again(min(change.expiry, change.quietUntil), try) {
			if change.sent > 0 {
				return Value{}, ErrUncertain
			}
			return Value{}, ErrNoMajority
		}
	}
}

// change is one change of a register under way.
type change struct {
	key    string
	mark   string // names it in the trails of values
	revise func(Value) ([]byte, error)
	// expiry ends it; quietUntil ends it unless a majority answers before then, which puts
	// it off by silence.
	expiry, quietUntil, silence time.Duration
	// sent is the serial under which it may have been accepted somewhere; above is the
	// highest ballot that outvoted it.
	sent  uint64
	above Ballot
}

// round gives how long a round may take from now.
func (change *change) round(keeper *Keeper) time.Duration {
	now := keeper.World.Now()
	return min(keeper.Patience/4, change.expiry-now, change.quietUntil-now)
}

// heard takes notice of how many members answered a round.
func (change *change) heard(keeper *Keeper, core Core, answers int) {
	if answers >= core.Majority() {
		change.quietUntil = keeper.World.Now() + change.silence
	}
}

// attempt makes the two rounds once; settled is false when another try is due.
func (keeper *Keeper) attempt(core Core, change *change) (value Value, err error, settled bool) {
	ballot := keeper.ballot(core, change.above)
	var best Cell
	promises, answers := 0, 0
	have, sum := keeper.have(change.key)
	var astray *Vote
	ask(keeper, core, "Prepare", Ask{Epoch: core.Epoch, Key: change.key, Ballot: ballot, Have: have.Accepted, Sum: sum}, change.round(keeper), func(vote *Vote, err error) bool {
		if err != nil {
			return false
		}
		answers++
		switch vote.Kind {
		case Voted:
			promises++
			if vote.Cell.Accepted == have.Accepted || vote.IsHeld {
				vote.Cell.Value = have.Value
			}
			if best.Accepted.Less(vote.Cell.Accepted) {
				best = vote.Cell
			}
		case Outvoted:
			if change.above.Less(vote.Cell.Promised) {
				change.above = vote.Cell.Promised
			}
		case Elsewhere:
			astray = vote
		}
		return promises == core.Majority()
	})
	change.heard(keeper, core, answers)
	if promises >= core.Majority() {
		return keeper.propose(core, change, ballot, best.Value)
	}
	if astray != nil {
		keeper.elsewhere(core, astray)
		keeper.carry()
	}
	return Value{}, nil, false
}

// mark names a change in the trails of values.
func (keeper *Keeper) mark() string {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	keeper.change++
	return fmt.Sprintf("%s/%d", keeper.Self, keeper.change)
}

// propose is the second round; settled is false when another try is due.
func (keeper *Keeper) propose(core Core, change *change, ballot Ballot, have Value) (Value, error, bool) {
	key := change.key
	next := have
	var declined error
	mine := false
	for _, passed := range have.Trail {
		mine = mine || passed == change.mark
	}
	if change.sent > 0 && !mine && have.Serial >= change.sent+Trailing {
		return Value{}, ErrUncertain, true
	}
	if !mine {
		data, err := change.revise(have)
		if err != nil {
			declined = err
		} else {
			trail := append([]string{change.mark}, have.Trail...)
			next = Value{Serial: have.Serial + 1, Data: data, Trail: trail[:min(len(trail), Trailing)]}
			change.sent = next.Serial
		}
	}
	// The value as it is, too, is only known to be decided once a majority
	// accepted it under this ballot; an empty register needs no such round.
	if declined != nil && have.Serial == 0 {
		return have, declined, true
	}
	accepts, answers := 0, 0
	whole := Ask{Epoch: core.Epoch, Key: key, Ballot: ballot, Value: next}
	brief := whole
	if next.Serial == have.Serial && next.isLong() {
		// Most hold it already, as it stays what it was.
		brief.Value, brief.Sum = Value{}, next.sum()
	}
	askTwice(keeper, core, "Accept", brief, func(vote *Vote) any {
		if vote.Kind == Lacking {
			return whole
		}
		return nil
	}, change.round(keeper), func(vote *Vote, err error) bool {
		if err != nil {
			return false
		}
		answers++
		switch vote.Kind {
		case Voted:
			accepts++
		case Outvoted:
			if change.above.Less(vote.Cell.Promised) {
				change.above = vote.Cell.Promised
			}
		case Elsewhere:
			keeper.elsewhere(core, vote)
		}
		return accepts == core.Majority()
	})
	change.heard(keeper, core, answers)
	if accepts < core.Majority() {
		return Value{}, nil, false
	}
	keeper.guard.Lock()
	keeper.rounds.Writes++
	keeper.kept.see(key, Cell{Accepted: ballot, Value: next})
	keeper.guard.Unlock()
	if errors.Is(declined, errKeep) {
		declined = nil
	}
	return next, declined, true
}

// List gives the keys under a prefix that any of a majority holds.
func (keeper *Keeper) List(prefix string) ([]string, error) {
	expiry := keeper.World.Now() + keeper.Patience
	for try := 0; ; try++ {
		core := keeper.Core()
		if core.Epoch == 0 {
			return nil, ErrNoCore
		}
		heard, found := 0, map[string]bool{}
		var astray *Vote
		ask(keeper, core, "Query", Look{Epoch: core.Epoch, Prefix: prefix}, keeper.Patience/4, func(seen *Seen, err error) bool {
			if err == nil && seen.Kind == Elsewhere {
				astray = &seen.Vote
			}
			if err != nil || seen.Kind != Voted {
				return false
			}
			heard++
			for _, key := range seen.Names {
				found[key] = true
			}
			return heard == core.Majority()
		})
		if heard >= core.Majority() {
			keys := make([]string, 0, len(found))
			for key := range found {
				keys = append(keys, key)
			}
			sort.Strings(keys)
			return keys, nil
		}
		if astray != nil {
			keeper.elsewhere(core, astray)
			keeper.carry()
		}
		if !keeper.again(expiry, try) {
			return nil, ErrNoMajority
		}
	}
}
