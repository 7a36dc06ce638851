package register

import (
	"errors"
	"maps"
	"slices"
	"sort"
	"time"

	"swifttiller/loop"
)

// What a keeper remembers of values, and for how long it waits for the acceptors
// that it asked before it asks the others too.
const (
	// keptBytes bounds the values that a keeper keeps, so that acceptors need not
	// send them again.
	keptBytes = 16 << 20
	leastStay = 20 * time.Millisecond
	mostStay  = 150 * time.Millisecond
	// surveyed is how many rounds pass between two that ask all, which show whether
	// an acceptor that was slow is still so.
	surveyed = 32
)

// kept are values last seen, by key, with the ballots that they were accepted under.
//
// Invariant: a ballot names one value for good, as a proposer uses each of its
// ballots once and an incarnation never comes again. So a value kept here under the
// ballot that an acceptor names is what that acceptor holds.
type kept struct {
	cells map[string]Cell
	order []string // of their coming
	bytes int
}

func (kept *kept) see(key string, cell Cell) {
	have, known := kept.cells[key]
	if cell.Accepted == (Ballot{}) || !have.Accepted.Less(cell.Accepted) {
		return
	}
	if kept.cells == nil {
		kept.cells = map[string]Cell{}
	}
	if !known {
		kept.order = append(kept.order, key)
	}
	kept.cells[key] = Cell{Accepted: cell.Accepted, Value: cell.Value}
	kept.bytes += len(cell.Value.Data) - len(have.Value.Data)
	for kept.bytes > keptBytes && len(kept.order) > 1 {
		oldest := kept.order[0]
		kept.order = kept.order[1:]
		kept.bytes -= len(kept.cells[oldest].Value.Data)
		delete(kept.cells, oldest)
	}
}

// see takes a cell with its value into what is kept.
func (keeper *Keeper) see(key string, cell Cell) {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	keeper.kept.see(key, cell)
}

// have gives the cell that is kept of a key.
func (keeper *Keeper) have(key string) Cell {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	return keeper.kept.cells[key]
}

// wish is one ask for keys that waits for a round. It is answered by a round that
// began after it came, and by no other.
type wish struct {
	keys   []string
	expiry time.Duration
	box    loop.Mailbox
}

// found is what a round tells: the values that are decided, and the keys whose
// copies differ at so many acceptors that none is.
type found struct {
	values map[string]Value
	open   map[string]bool
	// written are those of open that were last accepted in the present core.
	written map[string]bool
	err     error
}

// ReadMany reads several keys; in the quiet case in one round without a sync.
// Asks that come within roundGap of a round's beginning wait for the next one, which
// reads the keys of them all. A key whose copies differ is completed first, in two rounds of
// its own. What it gives must not be changed: others may be given the same.
func (keeper *Keeper) ReadMany(keys ...string) (map[string]Value, error) {
	answer, err := keeper.ask(keys)
	if err != nil {
		return nil, err
	}
	values, open := answer.of(keys)
	// Most often somebody is just writing what differs. A change by each that reads it
	// would outvote the writer, and those of the others; so it comes only where nobody
	// seems to end it.
	for try := 0; try < leftAlone && answer.isWritten(open); try++ {
		keeper.pause(1)
		if answer, err = keeper.ask(open); err != nil {
			return nil, err
		}
		var more map[string]Value
		more, open = answer.of(open)
		maps.Copy(values, more)
	}
	for _, key := range open {
		if values[key], err = keeper.complete(key); err != nil {
			return nil, err
		}
	}
	return values, nil
}

// ReadSettled reads several keys in one round, and leaves out those that are being
// written: whose copies differ, so that only a change that keeps the value could tell
// what it is. They are listed as open.
func (keeper *Keeper) ReadSettled(keys ...string) (values map[string]Value, open []string, err error) {
	answer, err := keeper.ask(keys)
	if err != nil {
		return nil, nil, err
	}
	values, open = answer.of(keys)
	return values, open, nil
}

// ask has several keys read in a round with whatever else is to be read.
func (keeper *Keeper) ask(keys []string) (found, error) {
	one := &wish{keys: keys, expiry: keeper.World.Now() + keeper.Patience, box: keeper.World.Mailbox()}
	keeper.guard.Lock()
	keeper.wishes = append(keeper.wishes, one)
	begins := !keeper.isReading
	keeper.isReading = true
	keeper.guard.Unlock()
	if begins {
		keeper.World.Go(keeper.read)
	}
	got, ok := one.box.Take(keeper.Patience + keeper.Patience/4)
	if !ok {
		return found{}, ErrNoMajority
	}
	answer := got.(found)
	return answer, answer.err
}

// of gives the values of keys, and those whose copies differ.
func (found found) of(keys []string) (values map[string]Value, open []string) {
	values = make(map[string]Value, len(keys))
	for _, key := range keys {
		if found.open[key] {
			open = append(open, key)
		} else {
			values[key] = found.values[key]
		}
	}
	return values, open
}

// isWritten tells whether somebody seems to be writing each of the keys that are open, in
// the present core. What a former one left open nobody ends but who reads it.
func (found found) isWritten(open []string) bool {
	for _, key := range open {
		if !found.written[key] {
			return false
		}
	}
	return len(open) > 0
}

// leftAlone is how often what seems to be written is read again before it is completed.
const leftAlone = 3

// complete makes the newest value of a key whose copies differ decided. Of many
// that ask for it at a time one does it for those that came before it began.
func (keeper *Keeper) complete(key string) (Value, error) {
	box := keeper.World.Mailbox()
	keeper.guard.Lock()
	if keeper.completing == nil {
		keeper.completing = map[string][]loop.Mailbox{}
	}
	_, isUnderWay := keeper.completing[key]
	keeper.completing[key] = append(keeper.completing[key], box)
	keeper.guard.Unlock()
	if !isUnderWay {
		keeper.World.Go(func() {
			for {
				keeper.guard.Lock()
				waiting := keeper.completing[key]
				if len(waiting) == 0 {
					delete(keeper.completing, key)
					keeper.guard.Unlock()
					return
				}
				keeper.completing[key] = nil
				keeper.guard.Unlock()
				value, err := keeper.Change(key, func(Value) ([]byte, error) { return nil, errKeep })
				if errors.Is(err, errKeep) {
					err = nil
				}
				for _, one := range waiting {
					one.Put(completed{value, err})
				}
			}
		})
	}
	got, ok := box.Take(2*keeper.Patience + keeper.Patience/2)
	if !ok {
		return Value{}, ErrNoMajority
	}
	answer := got.(completed)
	return answer.value, answer.err
}

type completed struct {
	value Value
	err   error
}

// read makes rounds as long as somebody waits for one.
func (keeper *Keeper) read() {
	for {
		keeper.guard.Lock()
		wishes := keeper.wishes
		keeper.wishes = nil
		if len(wishes) == 0 {
			keeper.isReading = false
			keeper.guard.Unlock()
			return
		}
		keeper.guard.Unlock()
		core := keeper.Core()
		if core.Epoch == 0 {
			for _, one := range wishes {
				one.box.Put(found{err: ErrNoCore})
			}
			continue
		}
		var keys []string
		for _, one := range wishes {
			keys = append(keys, one.keys...)
		}
		slices.Sort(keys)
		// The next round need not wait for this one's end: a far majority would make all
		// that ask meanwhile wait twice. It only does not follow at once.
		keeper.World.Go(func() { keeper.satisfy(core, slices.Compact(keys), wishes) })
		loop.Sleep(keeper.World, roundGap)
	}
}

// roundGap is how much later than one round of reading the next one may begin.
const roundGap = 20 * time.Millisecond

// satisfy makes a round for the wishes; those that it does not satisfy go into a later
// one, while they have patience.
func (keeper *Keeper) satisfy(core Core, keys []string, wishes []*wish) {
	answer, astray := keeper.inquire(core, keys)
	if answer.err == nil {
		for _, one := range wishes {
			one.box.Put(answer)
		}
		return
	}
	if astray != nil {
		keeper.elsewhere(core, astray)
		keeper.carry()
	}
	keeper.pause(1)
	var left []*wish
	for _, one := range wishes {
		if keeper.World.Now() < one.expiry && !keeper.World.Ended() {
			left = append(left, one)
		} else {
			one.box.Put(answer)
		}
	}
	keeper.guard.Lock()
	keeper.wishes = append(left, keeper.wishes...)
	begins := !keeper.isReading && len(left) > 0
	keeper.isReading = keeper.isReading || begins
	keeper.guard.Unlock()
	if begins {
		keeper.read()
	}
}

// nearest orders the acceptors by how soon they answer, this daemon's own first, and
// tells for how long to wait for the first majority of them.
func (keeper *Keeper) nearest(core Core) (order []int, stay time.Duration) {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	pace := func(index int) time.Duration {
		if id := core.Members[index].ID; id != keeper.Own {
			return keeper.paces[id] + 1
		}
		return 0
	}
	for index := range core.Members {
		order = append(order, index)
	}
	sort.SliceStable(order, func(a, b int) bool { return pace(order[a]) < pace(order[b]) })
	stay = 3 * pace(order[core.Majority()-1])
	return order, max(leastStay, min(stay, mostStay))
}

// paced takes notice of how soon an acceptor answered, or that it did not.
func (keeper *Keeper) paced(id string, took time.Duration, isAnswered bool) {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	if keeper.paces == nil {
		keeper.paces = map[string]time.Duration{}
	}
	before, known := keeper.paces[id]
	switch {
	case !isAnswered:
		keeper.paces[id] = max(before, took, mostStay)
	case !known:
		keeper.paces[id] = took
	default:
		keeper.paces[id] = (3*before + took) / 4
	}
}

// inquire is one round: it asks the nearest majority, and the others once an answer
// stays out or copies differ. A value is decided if a majority holds it under the same
// ballot: whatever was decided before the round began is held by one of every
// majority, under that ballot or a higher one.
func (keeper *Keeper) inquire(core Core, keys []string) (found, *Vote) {
	look := Look{Epoch: core.Epoch, Keys: keys, Have: make([]Ballot, len(keys))}
	known := make([]Cell, len(keys))
	for index, key := range keys {
		known[index] = keeper.have(key)
		look.Have[index] = known[index].Accepted
	}
	order, stay := keeper.nearest(core)
	type letter struct {
		id   string
		seen *Seen
		err  error
	}
	box := keeper.World.Mailbox()
	patience := keeper.Patience / 4
	began := keeper.World.Now()
	started, ended := 0, 0
	isOut := map[string]bool{}
	start := func(count int) {
		for ; started < min(count, len(order)); started++ {
			member := core.Members[order[started]]
			isOut[member.ID] = true
			left := patience - (keeper.World.Now() - began)
			keeper.World.Go(func() {
				asked, seen := keeper.World.Now(), new(Seen)
				err := keeper.Net.Call(keeper.address(member), "Register.Query", look, seen, left)
				if err == nil && stranger(seen, member) {
					err = errStranger
				}
				keeper.paced(member.ID, keeper.World.Now()-asked, err == nil)
				box.Put(letter{member.ID, seen, err})
			})
		}
	}
	keeper.guard.Lock()
	keeper.inquiries++
	isSurvey := keeper.inquiries%surveyed == 0
	keeper.guard.Unlock()
	start(core.Majority())
	if isSurvey {
		start(len(order))
	}
	heard := 0
	votes := make([]map[Ballot]int, len(keys))
	cells := make([]map[Ballot]Cell, len(keys))
	for index := range keys {
		votes[index], cells[index] = map[Ballot]int{}, map[Ballot]Cell{}
	}
	var astray *Vote
	open := func() map[string]bool {
		out := map[string]bool{}
		for index, key := range keys {
			isDecided := false
			for ballot, count := range votes[index] {
				// What was accepted in a former core alone is completed in this one first.
				isOf := ballot.Epoch == core.Epoch || cells[index][ballot].Value.Serial == 0
				isDecided = isDecided || count >= core.Majority() && isOf
			}
			if !isDecided {
				out[key] = true
			}
		}
		return out
	}
	until := began + stay // when those that stay out are given up, or all are
	for ended < started {
		wait := patience - (keeper.World.Now() - began)
		if started < len(order) || heard >= core.Majority() {
			wait = min(wait, until-keeper.World.Now())
		}
		got, ok := box.Take(wait)
		if !ok {
			if started == len(order) || keeper.World.Ended() {
				break
			}
			for _, member := range core.Members {
				if isOut[member.ID] {
					keeper.paced(member.ID, keeper.World.Now()-began, false)
				}
			}
			start(len(order))
			continue
		}
		one := got.(letter)
		ended++
		delete(isOut, one.id)
		if one.err == nil && one.seen.Kind == Voted {
			heard++
			for index, key := range keys {
				cell, isSent := one.seen.Cells[key]
				if !isSent {
					cell = known[index] // the same as what was named
				}
				votes[index][cell.Accepted]++
				cells[index][cell.Accepted] = cell
			}
		} else {
			if one.err == nil && one.seen.Kind == Elsewhere {
				astray = &one.seen.Vote
			}
			start(started + 1)
		}
		if heard >= core.Majority() {
			if len(open()) == 0 {
				break
			}
			if started < len(order) {
				start(len(order))
			}
			until = keeper.World.Now() + stay
		}
	}
	if heard < core.Majority() {
		return found{err: ErrNoMajority}, astray
	}
	answer := found{values: map[string]Value{}, open: open(), written: map[string]bool{}}
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	keeper.rounds.Reads++
	for index, key := range keys {
		for ballot, cell := range cells[index] {
			keeper.kept.see(key, cell)
			if answer.open[key] && ballot.Epoch == core.Epoch {
				answer.written[key] = true
			}
			if votes[index][ballot] >= core.Majority() {
				answer.values[key] = cell.Value
			}
		}
	}
	return answer, nil
}
