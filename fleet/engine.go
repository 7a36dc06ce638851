package fleet

import (
	linked "container/list"
	"fmt"
	"sort"
	"time"

	"swifttiller/decide"
	"swifttiller/loop"
	"swifttiller/replica"
	"swifttiller/sim"
)

// EngineOptions say what a stand-in replica with an engine is like.
type EngineOptions struct {
	// Name is that of its machine, which is its address; its lives have ids.
	Name, Zone     string
	Model, Version string
	// Berths are the requests that it works on at once, Queue how many more wait.
	Berths, Queue int
	// CacheTokens are shared by running requests and kept parts.
	CacheTokens int
	// Stride is the tokens of one event, Chunk the prompt tokens read at once.
	Stride, Chunk int
	// A step gives each running request a token: Step, and StepEach for each of them.
	Step, StepEach time.Duration
	// Prefill is the prompt tokens read in a millisecond, First what a first piece
	// takes on top of reading.
	Prefill float64
	First   time.Duration
	// Cold is how long it is cold after a start, ColdRate the requests a second that it
	// bears meanwhile; it falls over at coldFall times that.
	Cold     time.Duration
	ColdRate float64
	// Reports makes it tell its load with its answers.
	Reports bool
	// Slower multiplies all its times; 0 is 1.
	Slower float64
	Troubles
	Grey Grey
	// SaysIll makes its probes' answers say so, whatever it does.
	SaysIll bool
}

// Grey is how a replica fails a share of its requests while its probes say that it is
// well; the zero value fails none.
type Grey struct {
	// How is "errors" (500), "shed" (turned away, though there are places), "hang" (run
	// and no answer), "reset" (the connection is, behind the request) or "mute" (as hang,
	// and nothing runs).
	How   string
	Share float64
	// Zone, if set, is that of the only daemons whose requests it fails.
	Zone string
}

func (grey Grey) happens(engine *Engine, zone string) bool {
	return grey.How != "" && (grey.Zone == "" || grey.Zone == zone) && engine.happens(grey.Share)
}

// greyed fails a request that came over a connection.
func (engine *Engine) greyed(run *Run, one *work) {
	run.Cold = engine.isCold()
	engine.park.Runs = append(engine.park.Runs, run)
	head := engine.load()
	head.Events = false
	switch engine.Grey.How {
	case "shed":
		run.NotRun, head.Status, head.NotRun = true, 503, true
		one.send(wirePiece{head: &head})
		return
	case "errors":
		head.Status = 500
		one.send(wirePiece{head: &head})
		one.send(wirePiece{isEnd: true})
	case "reset":
		one.send(wirePiece{err: errReset})
	}
	if engine.Grey.How != "mute" {
		run.Ran = engine.park.Now()
	}
	run.Ended = "failed"
}

// Troubles are shares of a replica's requests that end badly.
type Troubles struct {
	// Fails are answered 500; Breaks are broken off after an event; Loses run and are
	// never answered; Repeats are answered once more, late, on the same connection.
	Fails, Breaks, Loses, Repeats float64
	// Skips lack an event in the middle, which only a lying engine does.
	Skips float64
}

// coldFall is how many times its cold rate, and coldFallMore how many requests above
// that, a cold replica takes in a second before it falls over.
const (
	coldFall     = 2.5
	coldFallMore = 10
)

// Run is one request that arrived at an engine.
type Run struct {
	ID, Engine, Life, Model, Version, Daemon string
	// Tenant is whose request it is by its daemon's word, empty for nobody's.
	Tenant string
	// Sent is when its daemon let it go, At when it arrived, Ran when the engine began
	// to work on it, zero if it never did.
	Sent, At, Ran time.Duration
	// Elsewhere was meant for another life; NotRun is the engine's word.
	Elsewhere, NotRun bool
	// Cold tells whether the engine was cold when it came.
	Cold bool
	// Prompt are the prompt's tokens, Read those that the engine read, again ones
	// included; After is the token behind which it was to go on.
	Prompt, Read, After int
	Ended               string // ok, failed, broken, gone, lost
}

// Engine is a stand-in replica with an engine, in virtual time.
//
// Invariants: memory is the sum over kept, and over active of reserved and made; a kept
// part gives way only while nobody uses it; a request is in at most one of waiting and
// active.
type Engine struct {
	EngineOptions
	Life    string
	Leaving bool
	// Gone is when this life ended.
	Gone      time.Duration
	ColdUntil time.Duration
	// ReadTokens are all that it read, KeptTokens those that it did not have to. AgainTokens
	// are those that it read though some engine of the model had read them before.
	ReadTokens, KeptTokens, AgainTokens int
	// PutBack counts requests that lost their place while they ran.
	PutBack int

	park     *Park
	node     *sim.Node
	box      loop.Mailbox
	waiting  []*work
	active   []*work
	index    map[uint64]*linked.Element
	kept     *linked.List // of *keptPart, the least lately used first
	memory   int
	arrivals []time.Duration
	taken    uint64
	// isFalling is set when it ends for what it was sent while cold.
	isFalling bool
}

// readKey is a part of prompts that an engine of a model has read.
type readKey struct {
	model string
	part  uint64
}

type keptPart struct {
	id            uint64
	tokens, users int
}

// work is a request at an engine.
type work struct {
	run      *Run
	parts    []decide.Part
	most     int
	urgency  int
	expiry   time.Duration
	order    uint64
	todo     []decide.Part // what is to be read yet
	reserved int
	pinned   []*keptPart
	made     int // tokens, from the stream's beginning on
	from     int // made when it came
	sent     int // tokens that went out
	ready    time.Duration
	isBegun  bool
	send     func(wirePiece)
	breakAt  int // tokens after which it is broken off, zero for never
	isLost   bool
}

// wirePiece is what goes over a connection to a daemon: a head, an event or an end.
type wirePiece struct {
	head  *replica.Head
	event []byte
	isEnd bool
	err   error
	// closing tells that the connection is closed behind the answer.
	closing bool
}

func (park *Park) newEngine(options EngineOptions, isCold bool) *Engine {
	park.lives++
	engine := &Engine{EngineOptions: options, Life: fmt.Sprint("i-", park.lives), park: park, node: park.Node(options.Name), index: map[uint64]*linked.Element{}, kept: linked.New()}
	if engine.Slower == 0 {
		engine.Slower = 1
	}
	if isCold {
		engine.ColdUntil = park.Now() + options.Cold
	}
	return engine
}

// StartEngine starts a stand-in; one of the same name begins a new life there, cold
// unless the park itself begins.
func (park *Park) StartEngine(options EngineOptions) {
	if before := park.Engines[options.Name]; before != nil {
		before.Gone = park.Now()
		park.pastEngines = append(park.pastEngines, before)
	}
	park.zones[options.Name] = options.Zone
	engine := park.newEngine(options, park.Now() > 0)
	engine.box = engine.node.Mailbox()
	park.Engines[options.Name] = engine
	park.Start(options.Name, func(node *sim.Node) {
		// A mailbox belongs to a life.
		engine.box = node.Mailbox()
		engine.turn()
	})
	park.Listed.add(engine)
}

// isCold tells whether it is.
func (engine *Engine) isCold() bool { return engine.park.Now() < engine.ColdUntil }

// Chill makes it cold once more.
func (engine *Engine) Chill() { engine.ColdUntil = engine.park.Now() + engine.Cold }

// happens draws whether one of a share does.
func (engine *Engine) happens(share float64) bool {
	return share > 0 && float64(engine.park.Draw(1<<20)) < share*(1<<20)
}

func (engine *Engine) load() replica.Head {
	head := replica.Head{Status: 200, Events: true, HasLoad: engine.Reports}
	if engine.Reports {
		head.Running, head.Waiting, head.Slots = len(engine.active), len(engine.waiting), engine.Berths
	}
	return head
}

// arrive takes a request that came over a connection, or turns it away.
func (engine *Engine) arrive(run *Run, one *work) {
	now := engine.park.Now()
	run.Cold = engine.isCold()
	engine.park.Runs = append(engine.park.Runs, run)
	decline := func(status int) {
		run.NotRun = true
		head := engine.load()
		head.Status, head.NotRun, head.Events = status, true, false
		one.send(wirePiece{head: &head, closing: engine.Leaving})
	}
	engine.arrivals = append(engine.arrivals, now)
	for now-engine.arrivals[0] >= time.Second {
		engine.arrivals = engine.arrivals[1:]
	}
	if run.Cold && engine.ColdRate > 0 && float64(len(engine.arrivals)) > coldFall*engine.ColdRate+coldFallMore {
		if engine.isFalling {
			return
		}
		engine.isFalling = true
		engine.park.Fallen++
		engine.park.At(0, func() { engine.park.Crash(engine.Name) })
		return
	}
	size := one.most
	for _, part := range one.parts {
		size += part.Tokens
	}
	if size > engine.CacheTokens || len(engine.waiting) >= engine.Queue && !engine.isUrgent(one) {
		decline(503)
		return
	}
	engine.taken++
	one.order = engine.taken
	if engine.happens(engine.Breaks) {
		one.breakAt = one.from + 1 + int(engine.park.Draw(int64(max(1, one.most-one.from))))
	}
	one.isLost = engine.happens(engine.Loses)
	engine.waiting = append(engine.waiting, one)
	if len(engine.waiting) == 1 && len(engine.active) < engine.Berths {
		engine.seat()
	}
	if len(engine.waiting) > engine.Queue {
		// A more urgent one came in; the newest of the least urgent that wait goes.
		last := engine.least(engine.waiting)
		engine.waiting = without(engine.waiting, last)
		if last.run.Ran == 0 {
			one := last
			one.run.NotRun = true
			head := engine.load()
			head.Status, head.NotRun, head.Events = 503, true, false
			one.send(wirePiece{head: &head})
		} else {
			engine.end(last, "broken", wirePiece{err: errReset})
		}
	}
	engine.box.Put(nil)
}

// isUrgent tells whether a request is more urgent than some that waits and has not
// run.
func (engine *Engine) isUrgent(one *work) bool {
	for _, other := range engine.waiting {
		if other.urgency > one.urgency && other.run.Ran == 0 {
			return true
		}
	}
	return false
}

// least is the newest of the least urgent; of those that wait, one that has not run.
func (engine *Engine) least(all []*work) (last *work) {
	for _, one := range all {
		if last == nil || one.urgency > last.urgency || one.urgency == last.urgency && one.order > last.order {
			last = one
		}
	}
	return last
}

func without(all []*work, one *work) []*work {
	for at, other := range all {
		if other == one {
			return append(all[:at:at], all[at+1:]...)
		}
	}
	return all
}

// drop ends a request whose connection closed.
func (engine *Engine) drop(one *work) {
	if one.run.Ended != "" || one.run.NotRun {
		return
	}
	one.run.Ended = "gone"
	engine.free(one)
	engine.waiting, engine.active = without(engine.waiting, one), without(engine.active, one)
}

// free gives back the memory that a request uses.
func (engine *Engine) free(one *work) {
	isActive := false
	for _, other := range engine.active {
		isActive = isActive || other == one
	}
	if !isActive {
		return
	}
	engine.memory -= one.reserved + one.made - one.from
	one.reserved = 0
	for _, part := range one.pinned {
		part.users--
	}
	one.pinned = nil
}

// end takes a request out, with its last piece.
func (engine *Engine) end(one *work, how string, last wirePiece) {
	engine.free(one)
	engine.active = without(engine.active, one)
	one.run.Ended = how
	if !one.isLost {
		one.send(last)
	}
}

// putBack takes a running request out of its place; it is read again later.
func (engine *Engine) putBack(one *work) {
	engine.PutBack++
	engine.free(one)
	engine.active = without(engine.active, one)
	engine.waiting = append(engine.waiting, one)
}

// room makes room for so many tokens by letting unused parts go, the least lately used
// first; it tells whether there is.
func (engine *Engine) room(tokens int) bool {
	for at := engine.kept.Front(); at != nil && engine.memory+tokens > engine.CacheTokens; {
		next, part := at.Next(), at.Value.(*keptPart)
		if part.users == 0 {
			engine.kept.Remove(at)
			delete(engine.index, part.id)
			engine.memory -= part.tokens
		}
		at = next
	}
	return engine.memory+tokens <= engine.CacheTokens
}

// seat lets waiting requests in while there are berths and memory.
func (engine *Engine) seat() {
	now := engine.park.Now()
	sort.SliceStable(engine.waiting, func(a, b int) bool {
		x, y := engine.waiting[a], engine.waiting[b]
		return x.urgency < y.urgency || x.urgency == y.urgency && x.order < y.order
	})
	for len(engine.waiting) > 0 {
		one := engine.waiting[0]
		if now >= one.expiry {
			engine.waiting = engine.waiting[1:]
			if one.run.Ran > 0 {
				engine.end(one, "broken", wirePiece{err: errReset})
				continue
			}
			one.run.NotRun = true
			head := engine.load()
			head.Status, head.NotRun, head.Events = 503, true, false
			one.send(wirePiece{head: &head})
			continue
		}
		if len(engine.active) >= engine.Berths {
			last := engine.least(engine.active)
			if last.urgency <= one.urgency {
				return
			}
			engine.putBack(last)
		}
		var pinned []*keptPart
		var todo []decide.Part
		unread := 0
		for _, part := range one.parts {
			at, isKept := engine.index[part.ID]
			if isKept && len(todo) == 0 {
				engine.kept.MoveToBack(at)
				kept := at.Value.(*keptPart)
				kept.users++
				pinned = append(pinned, kept)
				continue
			}
			todo = append(todo, part)
			unread += part.Tokens
		}
		fresh := unread
		for _, part := range todo {
			if key := (readKey{engine.Model, part.ID}); engine.park.everRead[key] {
				fresh -= part.Tokens
			}
		}
		// What it made before it was put back is read as well.
		again := one.made - one.from
		if again > 0 {
			todo = append(todo, decide.Part{Tokens: again})
		}
		if !engine.room(unread + again + 1) {
			for _, part := range pinned {
				part.users--
			}
			if len(engine.active) > 0 {
				return
			}
			// Alone it always has room; what is left is pinned by nobody.
			panic("an engine without requests has no room")
		}
		engine.waiting = engine.waiting[1:]
		engine.active = append(engine.active, one)
		engine.memory += unread + again
		one.pinned, one.todo, one.reserved, one.ready = pinned, todo, unread, 0
		for _, part := range todo {
			if part.ID != 0 {
				engine.park.everRead[readKey{engine.Model, part.ID}] = true
			}
		}
		engine.AgainTokens += unread - fresh + again
		one.run.Read += unread + again
		engine.ReadTokens += unread + again
		engine.KeptTokens += one.run.Prompt - unread
		if one.run.Ran == 0 {
			one.run.Ran = now
		}
	}
}

// turn is the engine's loop: a piece of a prompt, and a token for each that runs.
func (engine *Engine) turn() {
	for {
		engine.seat()
		if len(engine.active) == 0 {
			engine.box.Take(loop.Forever)
			continue
		}
		now := engine.park.Now()
		var reads *work
		decoding, next := 0, loop.Forever
		for _, one := range engine.active {
			switch {
			case len(one.todo) > 0:
				if reads == nil || one.urgency < reads.urgency || one.urgency == reads.urgency && one.order < reads.order {
					reads = one
				}
			case one.ready > now:
				next = min(next, one.ready-now)
			default:
				decoding++
			}
		}
		if reads == nil && decoding == 0 {
			engine.box.Take(next)
			continue
		}
		span := time.Duration(0)
		if decoding > 0 {
			span += engine.Step + time.Duration(decoding)*engine.StepEach
		}
		read := 0
		if reads != nil {
			for _, part := range reads.todo {
				read += part.Tokens
			}
			read = min(read, engine.Chunk)
			span += time.Duration(float64(read) / engine.Prefill * float64(time.Millisecond))
		}
		loop.Sleep(engine.node, max(time.Microsecond, time.Duration(float64(span)*engine.Slower)))
		now = engine.park.Now()
		if reads != nil && reads.run.Ended == "" {
			engine.advance(reads, read, now)
		}
		for _, one := range append([]*work{}, engine.active...) {
			if len(one.todo) == 0 && one.ready <= now && one.run.Ended == "" {
				engine.token(one, now)
			}
		}
		for engine.memory > engine.CacheTokens && !engine.room(0) {
			engine.putBack(engine.least(engine.active))
		}
	}
}

// advance notes that a piece of a prompt was read.
func (engine *Engine) advance(one *work, read int, now time.Duration) {
	for read > 0 && len(one.todo) > 0 {
		part := &one.todo[0]
		step := min(read, part.Tokens)
		part.Tokens -= step
		read -= step
		if part.Tokens > 0 {
			break
		}
		id := part.ID
		one.todo = one.todo[1:]
		if id == 0 {
			continue // what it made itself
		}
		for _, whole := range one.parts {
			if whole.ID != id {
				continue
			}
			one.reserved -= whole.Tokens
			if at, isKept := engine.index[id]; isKept {
				// Another one read it meanwhile.
				engine.memory -= whole.Tokens
				kept := at.Value.(*keptPart)
				kept.users++
				one.pinned = append(one.pinned, kept)
			} else {
				kept := &keptPart{id: id, tokens: whole.Tokens, users: 1}
				engine.index[id] = engine.kept.PushBack(kept)
				one.pinned = append(one.pinned, kept)
			}
		}
	}
	if len(one.todo) == 0 {
		one.ready = now + time.Duration(float64(engine.First)*engine.Slower)
	}
}

// token makes the next token of a request, and sends an event when it is time.
func (engine *Engine) token(one *work, now time.Duration) {
	if now >= one.expiry {
		engine.end(one, "broken", wirePiece{err: errReset})
		return
	}
	if !one.isBegun {
		one.isBegun = true
		head := engine.load()
		if engine.happens(engine.Fails) {
			head.Status, head.Events = 500, false
			one.send(wirePiece{head: &head})
			engine.end(one, "failed", wirePiece{isEnd: true})
			return
		}
		if !one.isLost {
			one.send(wirePiece{head: &head})
		}
	}
	one.made++
	engine.memory++
	isWhole := one.made >= one.most
	if one.breakAt > 0 && one.made >= one.breakAt {
		engine.end(one, "broken", wirePiece{err: errReset})
		return
	}
	if (isWhole || one.made-one.sent >= engine.Stride) && !one.isLost {
		// The text names the run, so that a mix-up is seen by the caller.
		if one.sent == one.from || !engine.happens(engine.Skips) {
			one.send(wirePiece{event: fmt.Appendf(nil, "id: %d\ndata: %s %s %d %d\n\n", one.made, one.run.ID, one.run.Life, one.sent, one.made)})
		}
		one.sent = one.made
	}
	if isWhole {
		how := "ok"
		if one.isLost {
			how = "lost"
		}
		engine.end(one, how, wirePiece{isEnd: true, closing: engine.Leaving})
	}
}
