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
	// cacheBytes bounds the values that a keeper keeps, so that acceptors need not
	// send them again.
	cacheBytes    = 16 << 20
	minHedgeDelay = 20 * time.Millisecond
	maxHedgeDelay = 150 * time.Millisecond
	// surveyInterval is how many rounds pass between two that ask all, which show whether
	// an acceptor that was slow is still so.
	surveyInterval = 32
)

// valueCache are values last seen, by key, with the ballots that they were accepted under.
//
// Invariant: a ballot names one value for good, as a proposer uses each of its
// ballots once and an incarnation never comes again. So a value kept here under the
// ballot that an acceptor names is what that acceptor holds.
type valueCache struct {
	cells map[string]Cell
	sums  map[string]Sum // of those that are long
	order []string       // of their coming
	bytes int
}

func (cache *valueCache) add(key string, cell Cell) {
	cached, isCached := cache.cells[key]
	if cell.Accepted == (Ballot{}) || !cached.Accepted.Less(cell.Accepted) {
		return
	}
	if cache.cells == nil {
		cache.cells, cache.sums = map[string]Cell{}, map[string]Sum{}
	}
	delete(cache.sums, key)
	if cell.Value.isLong() {
		cache.sums[key] = cell.Value.sum()
	}
	if !isCached {
		cache.order = append(cache.order, key)
	}
	cache.cells[key] = Cell{Accepted: cell.Accepted, Value: cell.Value}
	cache.bytes += len(cell.Value.Data) - len(cached.Value.Data)
	for cache.bytes > cacheBytes && len(cache.order) > 1 {
		oldest := cache.order[0]
		cache.order = cache.order[1:]
		cache.bytes -= len(cache.cells[oldest].Value.Data)
		delete(cache.cells, oldest)
		delete(cache.sums, oldest)
	}
}

// addToCache takes a cell with its value into what is kept.
func (client *Keeper) addToCache(key string, cell Cell) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.cache.add(key, cell)
}

// cached gives the cell that is kept of a key, and its value's sum if that is long.
func (client *Keeper) cached(key string) (Cell, Sum) {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.cache.cells[key], client.cache.sums[key]
}

// readRequest is one ask for keys that waits for a round. It is answered by a round that
// began after it came, and by no other.
type readRequest struct {
	keys     []string
	deadline time.Duration
	replies  loop.Mailbox
}

// readResult is what a round tells: the values that are decided, and the keys whose
// copies differ at so many acceptors that none is.
type readResult struct {
	values    map[string]Value
	undecided map[string]bool
	// beingWritten are those of open that were last accepted in the present core.
	beingWritten map[string]bool
	err          error
}

// ReadMany reads several keys; in the quiet case in one round without a sync.
// Asks that come within a gap of a round's beginning wait for the next one, which
// reads the keys of them all. A key whose copies differ is completed first, in two rounds of
// its own. What it gives must not be changed: others may be given the same.
func (client *Keeper) ReadMany(keys ...string) (map[string]Value, error) {
	return client.ReadManyWithin(client.Patience, keys...)
}

// ReadManyWithin is ReadMany that gives up after the patience where no majority answers.
func (client *Keeper) ReadManyWithin(timeout time.Duration, keys ...string) (map[string]Value, error) {
	result, err := client.requestRead(keys, timeout)
	if err != nil {
		return nil, err
	}
	values, undecided := result.lookup(keys)
	// Most often somebody is just writing what differs. A change by each that reads it
	// would outvote the writer, and those of the others; so it comes only where nobody
	// seems to end it.
	for attempt := 0; attempt < writerWaitTries && result.areBeingWritten(undecided); attempt++ {
		client.backoff(1)
		if result, err = client.requestRead(undecided, timeout); err != nil {
			return nil, err
		}
		var more map[string]Value
		more, undecided = result.lookup(undecided)
		maps.Copy(values, more)
	}
	for _, key := range undecided {
		if values[key], err = client.complete(key); err != nil {
			return nil, err
		}
	}
	return values, nil
}

// ReadSettled reads several keys in one round, and leaves out those that are being
// written: whose copies differ, so that only a change that keeps the value could tell
// what it is. They are listed as open.
func (client *Keeper) ReadSettled(keys ...string) (values map[string]Value, undecided []string, err error) {
	result, err := client.requestRead(keys, client.Patience)
	if err != nil {
		return nil, nil, err
	}
	values, undecided = result.lookup(keys)
	return values, undecided, nil
}

// requestRead has several keys read in a round with whatever else is to be read.
func (client *Keeper) requestRead(keys []string, timeout time.Duration) (readResult, error) {
	request := &readRequest{keys: keys, deadline: client.World.Now() + timeout, replies: client.World.Mailbox()}
	client.mu.Lock()
	client.queuedReads = append(client.queuedReads, request)
	isFirst := !client.isReading
	client.isReading = true
	client.mu.Unlock()
	if isFirst {
		client.World.Go(client.runReads)
	}
	wait := timeout
	if timeout == client.Patience {
		wait += timeout / 4 // a last round may end
	}
	message, ok := request.replies.Take(wait)
	if !ok {
		return readResult{}, ErrNoMajority
	}
	result := message.(readResult)
	return result, result.err
}

// lookup gives the values of keys, and those whose copies differ.
func (result readResult) lookup(keys []string) (values map[string]Value, undecided []string) {
	values = make(map[string]Value, len(keys))
	for _, key := range keys {
		if result.undecided[key] {
			undecided = append(undecided, key)
		} else {
			values[key] = result.values[key]
		}
	}
	return values, undecided
}

// areBeingWritten tells whether somebody seems to be writing each of the keys that are open, in
// the present core. What a former one left open nobody ends but who reads it.
func (result readResult) areBeingWritten(undecided []string) bool {
	for _, key := range undecided {
		if !result.beingWritten[key] {
			return false
		}
	}
	return len(undecided) > 0
}

// writerWaitTries is how often what seems to be written is read again before it is completed.
const writerWaitTries = 3

// complete makes the newest value of a key whose copies differ decided. Of many
// that ask for it at a time one does it for those that came before it began.
func (client *Keeper) complete(key string) (Value, error) {
	replies := client.World.Mailbox()
	client.mu.Lock()
	if client.completing == nil {
		client.completing = map[string][]loop.Mailbox{}
	}
	_, isUnderWay := client.completing[key]
	client.completing[key] = append(client.completing[key], replies)
	client.mu.Unlock()
	if !isUnderWay {
		client.World.Go(func() {
			for {
				client.mu.Lock()
				waiting := client.completing[key]
				if len(waiting) == 0 {
					delete(client.completing, key)
					client.mu.Unlock()
					return
				}
				client.completing[key] = nil
				client.mu.Unlock()
				value, err := client.Change(key, func(Value) ([]byte, error) { return nil, errUnchanged })
				if errors.Is(err, errUnchanged) {
					err = nil
				}
				for _, waiter := range waiting {
					waiter.Put(completion{value, err})
				}
			}
		})
	}
	message, ok := replies.Take(2*client.Patience + client.Patience/2)
	if !ok {
		return Value{}, ErrNoMajority
	}
	result := message.(completion)
	return result.value, result.err
}

type completion struct {
	value Value
	err   error
}

// runReads makes rounds as long as somebody waits for one.
func (client *Keeper) runReads() {
	for {
		client.mu.Lock()
		requests := client.queuedReads
		client.queuedReads = nil
		if len(requests) == 0 {
			client.isReading = false
			client.mu.Unlock()
			return
		}
		client.mu.Unlock()
		core := client.Core()
		if core.Epoch == 0 {
			for _, request := range requests {
				request.replies.Put(readResult{err: ErrNoCore})
			}
			continue
		}
		var keys []string
		for _, request := range requests {
			keys = append(keys, request.keys...)
		}
		slices.Sort(keys)
		// The next round need not wait for this one's end: a far majority would make all
		// that ask meanwhile wait twice. It only does not follow at once.
		client.World.Go(func() { client.serveReads(core, slices.Compact(keys), requests) })
		loop.Sleep(client.World, client.readInterval(core))
	}
}

// readInterval is how much later than one round of reading the next one may begin: as much as the
// nearest majority takes to answer, within bounds, as whoever asks waits for it.
func (client *Keeper) readInterval(core Core) time.Duration {
	_, hedgeDelay := client.nearest(core)
	return max(minReadInterval, min(hedgeDelay/hedgeFactor, maxReadInterval))
}

const (
	minReadInterval = 20 * time.Millisecond
	maxReadInterval = 50 * time.Millisecond
	// hedgeFactor is how many times as long as the slowest of the nearest majority takes the
	// others are waited for.
	hedgeFactor = 3
)

// serveReads makes a round for the wishes; those that it does not satisfy go into a later
// one, while they have patience.
func (client *Keeper) serveReads(core Core, keys []string, requests []*readRequest) {
	result, epochVote := client.readRound(core, keys)
	if result.err == nil {
		for _, request := range requests {
			request.replies.Put(result)
		}
		return
	}
	if epochVote != nil {
		client.followEpoch(core, epochVote)
		client.finishPendingChange()
	}
	client.backoff(1)
	var left []*readRequest
	for _, request := range requests {
		if client.World.Now() < request.deadline && !client.World.Ended() {
			left = append(left, request)
		} else {
			request.replies.Put(result)
		}
	}
	client.mu.Lock()
	client.queuedReads = append(left, client.queuedReads...)
	isFirst := !client.isReading && len(left) > 0
	client.isReading = client.isReading || isFirst
	client.mu.Unlock()
	if isFirst {
		client.runReads()
	}
}

// nearest orders the acceptors by how soon they answer, this daemon's own first, and
// tells for how long to wait for the first majority of them.
func (client *Keeper) nearest(core Core) (order []int, hedgeDelay time.Duration) {
	client.mu.Lock()
	defer client.mu.Unlock()
	latency := func(index int) time.Duration {
		if id := core.Members[index].ID; id != client.Own {
			return client.latencies[id] + 1
		}
		return 0
	}
	for index := range core.Members {
		order = append(order, index)
	}
	sort.SliceStable(order, func(a, b int) bool { return latency(order[a]) < latency(order[b]) })
	hedgeDelay = hedgeFactor * latency(order[core.Majority()-1])
	return order, max(minHedgeDelay, min(hedgeDelay, maxHedgeDelay))
}

// recordLatency takes notice of how soon an acceptor answered, or that it did not.
func (client *Keeper) recordLatency(id string, latency time.Duration, hasReplied bool) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.latencies == nil {
		client.latencies = map[string]time.Duration{}
	}
	previous, isKnown := client.latencies[id]
	switch {
	case !hasReplied:
		client.latencies[id] = max(previous, latency, maxHedgeDelay)
	case !isKnown:
		client.latencies[id] = latency
	default:
		client.latencies[id] = (3*previous + latency) / 4
	}
}

// fetchKey names a long value on its way.
type fetchKey struct {
	key string
	sum Sum
}

// fetchResult is a long value that came, or did not.
type fetchResult struct {
	value   Value
	isFound bool
}

// fetch gets a long value from one of the members that hold it under the ballot, the
// nearest first. Of many that ask for it at a time one does it for all.
func (client *Keeper) fetch(core Core, key fetchKey, accepted Ballot, holders []Member) (Value, bool) {
	replies := client.World.Mailbox()
	client.mu.Lock()
	if client.cache.sums[key.key] == key.sum {
		value := client.cache.cells[key.key].Value
		client.mu.Unlock()
		return value, true
	}
	if client.fetching == nil {
		client.fetching = map[fetchKey][]loop.Mailbox{}
	}
	_, isUnderWay := client.fetching[key]
	client.fetching[key] = append(client.fetching[key], replies)
	client.mu.Unlock()
	timeout := client.Patience / 8
	if !isUnderWay {
		client.World.Go(func() {
			var result fetchResult
			for _, member := range holders {
				reply := new(QueryReply)
				err := client.Net.Call(client.address(member), "Register.Query", Query{Epoch: core.Epoch, Keys: []string{key.key}}, reply, timeout)
				if err != nil || isWrongAcceptor(reply, member) || reply.Kind != Granted {
					continue
				}
				if result.value = reply.Cells[key.key].Value; result.value.isLong() && result.value.sum() == key.sum {
					result.isFound = true
					break
				}
			}
			client.mu.Lock()
			waiting := client.fetching[key]
			delete(client.fetching, key)
			if result.isFound {
				client.cache.add(key.key, Cell{Accepted: accepted, Value: result.value})
			}
			client.mu.Unlock()
			for _, waiter := range waiting {
				waiter.Put(result)
			}
		})
	}
	message, ok := replies.Take(time.Duration(len(holders)+1) * timeout)
	if !ok {
		return Value{}, false
	}
	return message.(fetchResult).value, message.(fetchResult).isFound
}

// candidate is what a round has heard of one ballot of a key.
type candidate struct {
	cell    Cell
	isBrief bool // the value is left out, and sum is its sum
	sum     Sum
	holders []Member // in the order of asking
}

// loadValue fills in the value of what was sighted; false when it could not be had.
func (client *Keeper) loadValue(core Core, key string, candidate *candidate) bool {
	if candidate.isBrief {
		value, isFound := client.fetch(core, fetchKey{key, candidate.sum}, candidate.cell.Accepted, candidate.holders)
		if !isFound {
			return false
		}
		candidate.cell.Value, candidate.isBrief = value, false
	}
	return true
}

// readRound is one round: it asks the nearest majority, and the others once an answer
// stays out or copies differ. A value is decided if a majority holds it under the same
// ballot: whatever was decided before the round began is held by one of every
// majority, under that ballot or a higher one. Long values come from this daemon's own
// acceptor, or from one of those that hold them.
func (client *Keeper) readRound(core Core, keys []string) (readResult, *Vote) {
	query := Query{Epoch: core.Epoch, Keys: keys, Marks: make([]BallotHash, len(keys))}
	cached := make([]Cell, len(keys))
	for index, key := range keys {
		cached[index], _ = client.cached(key)
		query.Marks[index] = cached[index].Accepted.hash()
	}
	order, hedgeDelay := client.nearest(core)
	type memberReply struct {
		member Member
		reply  *QueryReply
		err    error
	}
	replies := client.World.Mailbox()
	timeout := client.Patience / 4
	began := client.World.Now()
	started, ended := 0, 0
	isAwaited := map[string]bool{}
	start := func(count int) {
		for ; started < min(count, len(order)); started++ {
			member := core.Members[order[started]]
			isAwaited[member.ID] = true
			remaining := timeout - (client.World.Now() - began)
			client.World.Go(func() {
				sentAt, reply := client.World.Now(), new(QueryReply)
				query := query
				query.Brief = member.ID != client.Own
				err := client.Net.Call(client.address(member), "Register.Query", query, reply, remaining)
				if err == nil && isWrongAcceptor(reply, member) {
					err = errWrongAcceptor
				}
				client.recordLatency(member.ID, client.World.Now()-sentAt, err == nil)
				replies.Put(memberReply{member, reply, err})
			})
		}
	}
	client.mu.Lock()
	client.readRounds++
	isSurvey := client.readRounds%surveyInterval == 0
	client.mu.Unlock()
	start(core.Majority())
	if isSurvey {
		start(len(order))
	}
	granted := 0
	cells := make([]map[Ballot]*candidate, len(keys))
	for index := range keys {
		cells[index] = map[Ballot]*candidate{}
	}
	var epochVote *Vote
	findUndecided := func() map[string]bool {
		out := map[string]bool{}
		for index, key := range keys {
			isDecided := false
			for ballot, candidate := range cells[index] {
				// What was accepted in a former core alone is completed in this candidate first.
				isCurrent := ballot.Epoch == core.Epoch || candidate.cell.Value.Serial == 0
				isDecided = isDecided || len(candidate.holders) >= core.Majority() && isCurrent
			}
			if !isDecided {
				out[key] = true
			}
		}
		return out
	}
	hedgeAt := began + hedgeDelay // when those that stay out are given up, or all are
	for ended < started {
		wait := timeout - (client.World.Now() - began)
		if started < len(order) || granted >= core.Majority() {
			wait = min(wait, hedgeAt-client.World.Now())
		}
		message, ok := replies.Take(wait)
		if !ok {
			if started == len(order) || client.World.Ended() {
				break
			}
			for _, member := range core.Members {
				if isAwaited[member.ID] {
					client.recordLatency(member.ID, client.World.Now()-began, false)
				}
			}
			start(len(order))
			continue
		}
		answer := message.(memberReply)
		ended++
		delete(isAwaited, answer.member.ID)
		if answer.err == nil && answer.reply.Kind == Granted {
			granted++
			for index, key := range keys {
				cell, isSent := answer.reply.Cells[key]
				if !isSent {
					cell = cached[index] // the same as what was named
				}
				sum, isBrief := answer.reply.Long[key]
				seen := cells[index][cell.Accepted]
				if seen == nil {
					seen = &candidate{cell: cell, isBrief: isBrief, sum: sum}
					cells[index][cell.Accepted] = seen
				} else if seen.isBrief && !isBrief {
					seen.cell, seen.isBrief = cell, false
				}
				seen.holders = append(seen.holders, answer.member)
			}
		} else {
			if answer.err == nil && answer.reply.Kind == WrongEpoch {
				epochVote = &answer.reply.Vote
			}
			start(started + 1)
		}
		if granted >= core.Majority() {
			if len(findUndecided()) == 0 {
				break
			}
			if started < len(order) {
				start(len(order))
			}
			hedgeAt = client.World.Now() + hedgeDelay
		}
	}
	if granted < core.Majority() {
		return readResult{err: ErrNoMajority}, epochVote
	}
	result := readResult{values: map[string]Value{}, undecided: findUndecided(), beingWritten: map[string]bool{}}
	client.mu.Lock()
	client.counters.Reads++
	for index, key := range keys {
		for ballot, candidate := range cells[index] {
			if result.undecided[key] && ballot.Epoch == core.Epoch {
				result.beingWritten[key] = true
			}
			if !candidate.isBrief {
				client.cache.add(key, candidate.cell)
			}
		}
	}
	client.mu.Unlock()
	for index, key := range keys {
		var newest *candidate
		for ballot, candidate := range cells[index] {
			if newest == nil || newest.cell.Accepted.Less(ballot) {
				newest = candidate
			}
			if len(candidate.holders) < core.Majority() {
				continue
			}
			if !client.loadValue(core, key, candidate) {
				return readResult{err: ErrNoMajority}, nil
			}
			result.values[key] = candidate.cell.Value
		}
		if result.undecided[key] {
			client.loadValue(core, key, newest) // whoever completes it need not be told it by all
		}
	}
	return result, nil
}
