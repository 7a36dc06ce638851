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
	sums  map[string]Sum // of those that are long
	order []string       // of their coming
	bytes int
}

func (kept *kept) see(key string, cell Cell) {
	have, known := kept.cells[key]
	if cell.Accepted == (Ballot{}) || !have.Accepted.Less(cell.Accepted) {
		return
	}
	if kept.cells == nil {
		kept.cells, kept.sums = map[string]Cell{}, map[string]Sum{}
	}
	delete(kept.sums, key)
	if cell.Value.isLong() {
		kept.sums[key] = cell.Value.sum()
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
		delete(kept.sums, oldest)
	}
}

// see takes a cell with its value into what is kept.
func (keeper *Keeper) see(key string, cell Cell) {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	keeper.kept.see(key, cell)
}

// have gives the cell that is kept of a key, and its value's sum if that is long.
func (keeper *Keeper) have(key string) (Cell, Sum) {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	return keeper.kept.cells[key], keeper.kept.sums[key]
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
// Asks that come within a gap of a round's beginning wait for the next one, which
// reads the keys of them all. A key whose copies differ is completed first, in two rounds of
// its own. What it gives must not be changed: others may be given the same.
func (keeper *Keeper) ReadMany(keys ...string) (map[string]Value, error) {
	return keeper.ReadManyWithin(keeper.Patience, keys...)
}

// ReadManyWithin is ReadMany that gives up after the patience where no majority answers.
func (keeper *Keeper) ReadManyWithin(patience time.Duration, keys ...string) (map[string]Value, error) {
	answer, err := keeper.ask(keys, patience)
	if err != nil {
		return nil, err
	}
	values, open := answer.of(keys)
	// Most often somebody is just writing what differs. A change by each that reads it
	// would outvote the writer, and those of the others; so it comes only where nobody
	// seems to end it.
	for try := 0; try < leftAlone && answer.isWritten(open); try++ {
		keeper.pause(1)
		if answer, err = keeper.ask(open, patience); err != nil {
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
	answer, err := keeper.ask(keys, keeper.Patience)
	if err != nil {
		return nil, nil, err
	}
	values, open = answer.of(keys)
	return values, open, nil
}

// ask has several keys read in a round with whatever else is to be read.
func (keeper *Keeper) ask(keys []string, patience time.Duration) (found, error) {
	one := &wish{keys: keys, expiry: keeper.World.Now() + patience, box: keeper.World.Mailbox()}
	keeper.guard.Lock()
	keeper.wishes = append(keeper.wishes, one)
	begins := !keeper.isReading
	keeper.isReading = true
	keeper.guard.Unlock()
	if begins {
		keeper.World.Go(keeper.read)
	}
	wait := patience
	if patience == keeper.Patience {
		wait += patience / 4 // a last round may end
	}
	got, ok := one.box.Take(wait)
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
		loop.Sleep(keeper.World, keeper.gap(core))
	}
}

// gap is how much later than one round of reading the next one may begin: as much as the
// nearest majority takes to answer, within bounds, as whoever asks waits for it.
func (keeper *Keeper) gap(core Core) time.Duration {
	_, stay := keeper.nearest(core)
	return max(leastGap, min(stay/stayed, mostGap))
}

const (
	leastGap = 20 * time.Millisecond
	mostGap  = 50 * time.Millisecond
	// stayed is how many times as long as the slowest of the nearest majority takes the
	// others are waited for.
	stayed = 3
)

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
	stay = stayed * pace(order[core.Majority()-1])
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

// fetched names a long value on its way.
type fetched struct {
	key string
	sum Sum
}

// landed is a long value that came, or did not.
type landed struct {
	value Value
	came  bool
}

// fetch gets a long value from one of the members that hold it under the ballot, the
// nearest first. Of many that ask for it at a time one does it for all.
func (keeper *Keeper) fetch(core Core, what fetched, accepted Ballot, holders []Member) (Value, bool) {
	box := keeper.World.Mailbox()
	keeper.guard.Lock()
	if keeper.kept.sums[what.key] == what.sum {
		value := keeper.kept.cells[what.key].Value
		keeper.guard.Unlock()
		return value, true
	}
	if keeper.fetching == nil {
		keeper.fetching = map[fetched][]loop.Mailbox{}
	}
	_, isUnderWay := keeper.fetching[what]
	keeper.fetching[what] = append(keeper.fetching[what], box)
	keeper.guard.Unlock()
	patience := keeper.Patience / 8
	if !isUnderWay {
		keeper.World.Go(func() {
			var out landed
			for _, member := range holders {
				seen := new(Seen)
				err := keeper.Net.Call(keeper.address(member), "Register.Query", Look{Epoch: core.Epoch, Keys: []string{what.key}}, seen, patience)
				if err != nil || stranger(seen, member) || seen.Kind != Voted {
					continue
				}
				if out.value = seen.Cells[what.key].Value; out.value.isLong() && out.value.sum() == what.sum {
					out.came = true
					break
				}
			}
			keeper.guard.Lock()
			waiting := keeper.fetching[what]
			delete(keeper.fetching, what)
			if out.came {
				keeper.kept.see(what.key, Cell{Accepted: accepted, Value: out.value})
			}
			keeper.guard.Unlock()
			for _, one := range waiting {
				one.Put(out)
			}
		})
	}
	got, ok := box.Take(time.Duration(len(holders)+1) * patience)
	if !ok {
		return Value{}, false
	}
	return got.(landed).value, got.(landed).came
}

// sighted is what a round has heard of one ballot of a key.
type sighted struct {
	cell    Cell
	isBrief bool // the value is left out, and sum is its sum
	sum     Sum
	holders []Member // in the order of asking
}

// whole fills in the value of what was sighted; false when it could not be had.
func (keeper *Keeper) whole(core Core, key string, one *sighted) bool {
	if one.isBrief {
		value, came := keeper.fetch(core, fetched{key, one.sum}, one.cell.Accepted, one.holders)
		if !came {
			return false
		}
		one.cell.Value, one.isBrief = value, false
	}
	return true
}

// inquire is one round: it asks the nearest majority, and the others once an answer
// stays out or copies differ. A value is decided if a majority holds it under the same
// ballot: whatever was decided before the round began is held by one of every
// majority, under that ballot or a higher one. Long values come from this daemon's own
// acceptor, or from one of those that hold them.
func (keeper *Keeper) inquire(core Core, keys []string) (found, *Vote) {
	look := Look{Epoch: core.Epoch, Keys: keys, Marks: make([]Mark, len(keys))}
	known := make([]Cell, len(keys))
	for index, key := range keys {
		known[index], _ = keeper.have(key)
		look.Marks[index] = known[index].Accepted.mark()
	}
	order, stay := keeper.nearest(core)
	type letter struct {
		member Member
		seen   *Seen
		err    error
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
				look := look
				look.Brief = member.ID != keeper.Own
				err := keeper.Net.Call(keeper.address(member), "Register.Query", look, seen, left)
				if err == nil && stranger(seen, member) {
					err = errStranger
				}
				keeper.paced(member.ID, keeper.World.Now()-asked, err == nil)
				box.Put(letter{member, seen, err})
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
	cells := make([]map[Ballot]*sighted, len(keys))
	for index := range keys {
		cells[index] = map[Ballot]*sighted{}
	}
	var astray *Vote
	open := func() map[string]bool {
		out := map[string]bool{}
		for index, key := range keys {
			isDecided := false
			for ballot, one := range cells[index] {
				// What was accepted in a former core alone is completed in this one first.
				isOf := ballot.Epoch == core.Epoch || one.cell.Value.Serial == 0
				isDecided = isDecided || len(one.holders) >= core.Majority() && isOf
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
		delete(isOut, one.member.ID)
		if one.err == nil && one.seen.Kind == Voted {
			heard++
			for index, key := range keys {
				cell, isSent := one.seen.Cells[key]
				if !isSent {
					cell = known[index] // the same as what was named
				}
				sum, isBrief := one.seen.Long[key]
				have := cells[index][cell.Accepted]
				if have == nil {
					have = &sighted{cell: cell, isBrief: isBrief, sum: sum}
					cells[index][cell.Accepted] = have
				} else if have.isBrief && !isBrief {
					have.cell, have.isBrief = cell, false
				}
				have.holders = append(have.holders, one.member)
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
	keeper.rounds.Reads++
	for index, key := range keys {
		for ballot, one := range cells[index] {
			if answer.open[key] && ballot.Epoch == core.Epoch {
				answer.written[key] = true
			}
			if !one.isBrief {
				keeper.kept.see(key, one.cell)
			}
		}
	}
	keeper.guard.Unlock()
	for index, key := range keys {
		var newest *sighted
		for ballot, one := range cells[index] {
			if newest == nil || newest.cell.Accepted.Less(ballot) {
				newest = one
			}
			if len(one.holders) < core.Majority() {
				continue
			}
			if !keeper.whole(core, key, one) {
				return found{err: ErrNoMajority}, nil
			}
			answer.values[key] = one.cell.Value
		}
		if answer.open[key] {
			keeper.whole(core, key, newest) // whoever completes it need not be told it by all
		}
	}
	return answer, nil
}
