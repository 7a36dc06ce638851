package register

import (
	"errors"
	"maps"
	"slices"
	"sort"
	"time"

	"swifttiller/loop"
)

// Limits of the value cache, and of the time after which a read round asks the remaining acceptors
// as well.
const (
	// cacheBytes bounds the values that a client caches so that acceptors need not send them
	// again.
	cacheBytes    = 16 << 20
	minHedgeDelay = 20 * time.Millisecond
	maxHedgeDelay = 150 * time.Millisecond
	// surveyInterval is the number of read rounds between two that ask all acceptors, which show
	// whether an acceptor that was slow still is.
	surveyInterval = 32
)

// valueCache contains the last seen values by key, with the ballots that they were accepted under.
//
// Invariant: a ballot identifies one value permanently, since a proposer uses each of its ballots
// once and an incarnation is never reused. So a value that is cached under the ballot that an
// acceptor reports is the value that the acceptor holds.
type valueCache struct {
	cells map[string]Cell
	sums  map[string]Sum // digests of the long values
	order []string       // keys in the order of insertion
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

// addToCache adds a cell with its value to the cache.
func (client *Client) addToCache(key string, cell Cell) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.cache.add(key, cell)
}

// cached returns the cached cell of a key, and the digest of its value if that is long.
func (client *Client) cached(key string) (Cell, Sum) {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.cache.cells[key], client.cache.sums[key]
}

// readRequest is a request for keys that waits for a read round. Only a round that started after
// the request was queued may answer it.
type readRequest struct {
	keys     []string
	deadline time.Duration
	replies  loop.Mailbox
}

// readResult is the result of a round: the decided values, and the undecided keys, whose copies
// differ so that no ballot has a majority.
type readResult struct {
	values    map[string]Value
	undecided map[string]bool
	// beingWritten contains the undecided keys that some acceptor accepted in the current core.
	beingWritten map[string]bool
	err          error
}

// ReadMany reads several keys, in a single round without a disk sync if nobody writes them.
// Requests that arrive shortly after a round started are combined in the next round. A key whose
// copies differ is completed first, in two rounds of its own. Callers must not modify the result,
// since it may be shared with other callers.
func (client *Client) ReadMany(keys ...string) (map[string]Value, error) {
	return client.ReadManyWithin(client.Patience, keys...)
}

// ReadManyWithin is ReadMany with a timeout of its own, after which it gives up if no majority
// replies.
func (client *Client) ReadManyWithin(timeout time.Duration, keys ...string) (map[string]Value, error) {
	result, err := client.requestRead(keys, timeout)
	if err != nil {
		return nil, err
	}
	values, undecided := result.lookup(keys)
	// Copies usually differ because a writer is just writing them. If every reader completed the
	// key with a change of its own, the changes would outvote the writer and each other. So a
	// reader completes the key only if no writer seems to finish it.
	for attempt := 0; attempt < writerWaitTries && result.areBeingWritten(undecided); attempt++ {
		client.backoff(1)
		if result, err = client.requestRead(undecided, timeout); err != nil {
			return nil, err
		}
		var settled map[string]Value
		settled, undecided = result.lookup(undecided)
		maps.Copy(values, settled)
	}
	for _, key := range undecided {
		if values[key], err = client.complete(key); err != nil {
			return nil, err
		}
	}
	return values, nil
}

// ReadSettled reads several keys in one round. Keys that are being written, whose copies differ so
// that only a change that keeps the value would reveal it, are left out and returned as undecided.
func (client *Client) ReadSettled(keys ...string) (values map[string]Value, undecided []string, err error) {
	result, err := client.requestRead(keys, client.Patience)
	if err != nil {
		return nil, nil, err
	}
	values, undecided = result.lookup(keys)
	return values, undecided, nil
}

// requestRead queues a read of several keys and waits for the round that answers it together with
// the other queued reads.
func (client *Client) requestRead(keys []string, timeout time.Duration) (readResult, error) {
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
		wait += timeout / 4 // time for a round that has started already
	}
	message, ok := request.replies.Take(wait)
	if !ok {
		return readResult{}, ErrNoMajority
	}
	result := message.(readResult)
	return result, result.err
}

// lookup returns the values of the keys, and those keys whose copies differ.
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

// areBeingWritten reports whether each of the undecided keys seems to be written in the current
// core. Nobody finishes a key that was left undecided in a former core except its readers.
func (result readResult) areBeingWritten(undecided []string) bool {
	for _, key := range undecided {
		if !result.beingWritten[key] {
			return false
		}
	}
	return len(undecided) > 0
}

// writerWaitTries is how often a key that seems to be written is read again before the reader
// completes it.
const writerWaitTries = 3

// complete makes sure that the newest value of a key whose copies differ is decided. Concurrent
// calls for a key share one completion, if it starts after they arrived.
func (client *Client) complete(key string) (Value, error) {
	replies := client.World.Mailbox()
	client.mu.Lock()
	if client.completing == nil {
		client.completing = map[string][]loop.Mailbox{}
	}
	_, isRunning := client.completing[key]
	client.completing[key] = append(client.completing[key], replies)
	client.mu.Unlock()
	if !isRunning {
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
				value, err := client.Update(key, func(Value) ([]byte, error) { return nil, errUnchanged })
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

// runReads runs read rounds while requests are queued.
func (client *Client) runReads() {
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
		// The next round does not wait for this one to end: with a distant majority, all requests
		// that arrive meanwhile would wait for two rounds. It is only delayed by readInterval.
		client.World.Go(func() { client.serveReads(core, slices.Compact(keys), requests) })
		loop.Sleep(client.World, client.readInterval(core))
	}
}

// readInterval returns the time between the starts of two read rounds: the time that the nearest
// majority takes to reply, within bounds, since callers wait for it.
func (client *Client) readInterval(core Core) time.Duration {
	_, hedgeDelay := client.nearest(core)
	return max(minReadInterval, min(hedgeDelay/hedgeFactor, maxReadInterval))
}

const (
	minReadInterval = 20 * time.Millisecond
	maxReadInterval = 50 * time.Millisecond
	// hedgeFactor times the latency of the slowest of the nearest majority is the time that a
	// round waits before it asks the other acceptors.
	hedgeFactor = 3
)

// serveReads runs one round for the requests. Requests that it can't answer are queued for a later
// round until their deadlines.
func (client *Client) serveReads(core Core, keys []string, requests []*readRequest) {
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
	var remaining []*readRequest
	for _, request := range requests {
		if client.World.Now() < request.deadline && !client.World.Ended() {
			remaining = append(remaining, request)
		} else {
			request.replies.Put(result)
		}
	}
	client.mu.Lock()
	client.queuedReads = append(remaining, client.queuedReads...)
	isFirst := !client.isReading && len(remaining) > 0
	client.isReading = client.isReading || isFirst
	client.mu.Unlock()
	if isFirst {
		client.runReads()
	}
}

// nearest returns the acceptors in the order of their latencies, this daemon's own first, and how
// long to wait for the first majority of them.
func (client *Client) nearest(core Core) (order []int, hedgeDelay time.Duration) {
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

// recordLatency updates an acceptor's latency after a reply or a missing reply.
func (client *Client) recordLatency(id string, latency time.Duration, hasReplied bool) {
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

// fetchKey identifies a long value that is being fetched.
type fetchKey struct {
	key string
	sum Sum
}

// fetchResult is a fetched long value, if it was found.
type fetchResult struct {
	value   Value
	isFound bool
}

// fetch returns a long value from one of the members that hold it under the ballot, the nearest
// first. Concurrent calls for the same value share one fetch.
func (client *Client) fetch(core Core, key fetchKey, accepted Ballot, holders []Member) (Value, bool) {
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
	_, isRunning := client.fetching[key]
	client.fetching[key] = append(client.fetching[key], replies)
	client.mu.Unlock()
	timeout := client.Patience / 8
	if !isRunning {
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

// candidate is what a round has learned about one ballot of a key.
type candidate struct {
	cell    Cell
	isBrief bool // the value is left out, and sum is its digest
	sum     Sum
	holders []Member // in the order in which they replied
}

// loadValue fetches the candidate's value if it is left out. It returns false if no holder sent
// the value.
func (client *Client) loadValue(core Core, key string, candidate *candidate) bool {
	if candidate.isBrief {
		value, isFound := client.fetch(core, fetchKey{key, candidate.sum}, candidate.cell.Accepted, candidate.holders)
		if !isFound {
			return false
		}
		candidate.cell.Value, candidate.isBrief = value, false
	}
	return true
}

// readRound runs one round. It queries the nearest majority, and the other acceptors as soon as a
// reply is missing or copies differ. A value is decided if a majority holds it under the same
// ballot: whatever was decided before the round started is held by at least one member of every
// majority, under that ballot or a higher one. Long values come from this daemon's own acceptor or
// from one of the acceptors that hold them.
func (client *Client) readRound(core Core, keys []string) (readResult, *Vote) {
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
	startedAt := client.World.Now()
	started, received := 0, 0
	isAwaited := map[string]bool{}
	start := func(count int) {
		for ; started < min(count, len(order)); started++ {
			member := core.Members[order[started]]
			isAwaited[member.ID] = true
			remaining := timeout - (client.World.Now() - startedAt)
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
				// A value that was accepted only in a former core must be completed in this core
				// first.
				isCurrent := ballot.Epoch == core.Epoch || candidate.cell.Value.Serial == 0
				isDecided = isDecided || len(candidate.holders) >= core.Majority() && isCurrent
			}
			if !isDecided {
				out[key] = true
			}
		}
		return out
	}
	// when to ask the remaining acceptors or, if all were asked, to stop waiting
	hedgeAt := startedAt + hedgeDelay
	for received < started {
		wait := timeout - (client.World.Now() - startedAt)
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
					client.recordLatency(member.ID, client.World.Now()-startedAt, false)
				}
			}
			start(len(order))
			continue
		}
		answer := message.(memberReply)
		received++
		delete(isAwaited, answer.member.ID)
		if answer.err == nil && answer.reply.Kind == Granted {
			granted++
			for index, key := range keys {
				cell, isSent := answer.reply.Cells[key]
				if !isSent {
					cell = cached[index] // the value cached under the ballot that was listed in the query
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
			// caches the value, so that not every acceptor sends it to the client that completes
			// the key
			client.loadValue(core, key, newest)
		}
	}
	return result, nil
}
