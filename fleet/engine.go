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

// EngineOptions describe a simulated replica with an inference engine.
type EngineOptions struct {
	// Name is the name of its machine and also its address. Each process on it has an ID of
	// its own, the Life.
	Name, Zone     string
	Model, Version string
	// Slots is the number of requests that run at once, Queue the number of others that may
	// wait.
	Slots, Queue int
	// CacheTokens is the memory that running requests and the prefix cache share.
	CacheTokens int
	// Stride is the number of tokens in one event, Chunk the number of prompt tokens that are
	// prefilled in one step.
	Stride, Chunk int
	// A decode step generates one token for each running request. It takes Step, and StepEach
	// for each of the requests.
	Step, StepEach time.Duration
	// Prefill is the number of prompt tokens that are prefilled in a millisecond. First is the
	// time from the end of prefill to the first token.
	Prefill float64
	First   time.Duration
	// Cold is how long the engine is cold after a start, and ColdRate the requests a second
	// that it can take meanwhile; it crashes at coldCrashFactor times ColdRate plus
	// coldCrashBurst.
	Cold     time.Duration
	ColdRate float64
	// Reports makes it report its load with its answers.
	Reports bool
	// Slower multiplies all times; 0 means 1.
	Slower float64
	Troubles
	Grey GrayFailure
	// ReportsUnhealthy makes health checks report the engine as unhealthy, whatever its state.
	ReportsUnhealthy bool
}

// GrayFailure is a gray failure: a replica fails a share of its requests while its health checks
// succeed. The zero value fails none.
type GrayFailure struct {
	// How is "errors" (answered with 500), "shed" (rejected although there is capacity),
	// "hang" (run, but never answered), "reset" (the connection breaks after the request was
	// sent) or "mute" (like hang, but the request doesn't run).
	How   string
	Share float64
	// Zone, if set, limits the failure to requests from daemons in that zone.
	Zone string
}

func (grey GrayFailure) applies(engine *Engine, zone string) bool {
	return grey.How != "" && (grey.Zone == "" || grey.Zone == zone) && engine.happens(grey.Share)
}

// failPartially fails a request in the way that Grey.How says.
func (engine *Engine) failPartially(run *Run, request *engineRequest) {
	run.Cold = engine.isCold()
	engine.cluster.Runs = append(engine.cluster.Runs, run)
	head := engine.load()
	head.Events = false
	switch engine.Grey.How {
	case "shed":
		run.NotRun, head.Status, head.NotRun = true, 503, true
		request.send(wireMessage{head: &head})
		return
	case "errors":
		head.Status = 500
		request.send(wireMessage{head: &head})
		request.send(wireMessage{isEnd: true})
	case "reset":
		request.send(wireMessage{err: errReset})
	}
	if engine.Grey.How != "mute" {
		run.Ran = engine.cluster.Now()
	}
	run.Ended = "failed"
}

// Troubles are the shares of a replica's requests that end badly.
type Troubles struct {
	// Fails are answered with 500. Breaks are cut off after an event. Loses run but are never
	// answered. Repeats are answered a second time, late, on the same connection.
	Fails, Breaks, Loses, Repeats float64
	// Skips lack an event in the middle, which only a faulty engine does.
	Skips float64
}

// A cold engine crashes when more than coldCrashFactor times its ColdRate plus coldCrashBurst
// requests arrive within one second.
const (
	coldCrashFactor = 2.5
	coldCrashBurst  = 10
)

// Run is one request that arrived at an engine.
type Run struct {
	ID, Engine, Life, Model, Version, Daemon string
	// Tenant is the tenant that the daemon named, empty if none.
	Tenant string
	// Sent is when the daemon sent the request, At when it arrived, and Ran when the engine
	// began to run it, zero if it never did.
	Sent, At, Ran time.Duration
	// Elsewhere is set if the request was meant for another process, NotRun if the engine
	// answered that the request did not run.
	Elsewhere, NotRun bool
	// Cold is whether the engine was cold when the request arrived.
	Cold bool
	// Prompt is the number of tokens of the prompt, Read the number that the engine prefilled,
	// repeated ones included. After is the token after which a resumed request continues.
	Prompt, Read, After int
	Ended               string // ok, failed, broken, gone, lost
}

// Engine is a simulated replica with an inference engine, in virtual time.
//
// Invariants: cacheUsed is the sum of the tokens of all parts in cache and of the reserved and
// generated tokens of all active requests. A cached part is evicted only while no request uses
// it. A request is in at most one of waiting and active.
type Engine struct {
	EngineOptions
	Life    string
	Leaving bool
	// Gone is when this process ended.
	Gone      time.Duration
	ColdUntil time.Duration
	// ReadTokens counts the prompt tokens that were prefilled, KeptTokens those that were
	// cached. AgainTokens counts the tokens that were prefilled although an engine of the same
	// model had prefilled them before.
	ReadTokens, CachedTokens, RereadTokens int
	// Preemptions counts preemptions: running requests that were put back into the queue.
	Preemptions int

	cluster    *Cluster
	node       *sim.Node
	mailbox    loop.Mailbox
	waiting    []*engineRequest
	active     []*engineRequest
	cacheIndex map[uint64]*linked.Element
	cache      *linked.List // of *cachedPart, the least recently used first
	cacheUsed  int
	arrivals   []time.Duration
	accepted   uint64
	// isCrashing is set once the engine crashes from the load that it received while cold.
	isCrashing bool
}

// readKey identifies a part of a prompt that some engine of a model has prefilled.
type readKey struct {
	model string
	part  uint64
}

type cachedPart struct {
	id            uint64
	tokens, users int
}

// engineRequest is a request at an engine.
type engineRequest struct {
	run          *Run
	parts        []decide.Part
	maxTokens    int
	urgency      int
	deadline     time.Duration
	arrivalOrder uint64
	unread       []decide.Part // parts that still have to be prefilled
	reserved     int
	pinned       []*cachedPart
	generated    int // tokens since the beginning of the stream, including those before a resumption
	resumedFrom  int // value of generated when the request arrived
	sent         int // tokens that were sent
	firstTokenAt time.Duration
	hasBegun     bool
	send         func(wireMessage)
	breakAfter   int // tokens after which the answer is cut off; zero for never
	isLost       bool
}

// wireMessage is what an engine sends to a daemon over a connection: a head, an event, the end
// or an error.
type wireMessage struct {
	head  *replica.Head
	event []byte
	isEnd bool
	err   error
	// closesConn is set if the connection closes after the answer.
	closesConn bool
}

func (cluster *Cluster) newEngine(options EngineOptions, isCold bool) *Engine {
	cluster.lives++
	engine := &Engine{EngineOptions: options, Life: fmt.Sprint("i-", cluster.lives), cluster: cluster, node: cluster.Node(options.Name), cacheIndex: map[uint64]*linked.Element{}, cache: linked.New()}
	if engine.Slower == 0 {
		engine.Slower = 1
	}
	if isCold {
		engine.ColdUntil = cluster.Now() + options.Cold
	}
	return engine
}

// StartEngine starts a simulated engine. It replaces one with the same name, and starts cold
// unless it starts together with the cluster.
func (cluster *Cluster) StartEngine(options EngineOptions) {
	if before := cluster.Engines[options.Name]; before != nil {
		before.Gone = cluster.Now()
		cluster.pastEngines = append(cluster.pastEngines, before)
	}
	cluster.zones[options.Name] = options.Zone
	engine := cluster.newEngine(options, cluster.Now() > 0)
	engine.mailbox = engine.node.Mailbox()
	cluster.Engines[options.Name] = engine
	cluster.Start(options.Name, func(node *sim.Node) {
		// A mailbox belongs to one process of a machine.
		engine.mailbox = node.Mailbox()
		engine.loop()
	})
	cluster.EngineList.add(engine)
}

// isCold reports whether the engine is cold.
func (engine *Engine) isCold() bool { return engine.cluster.Now() < engine.ColdUntil }

// MakeCold makes the engine cold again.
func (engine *Engine) MakeCold() { engine.ColdUntil = engine.cluster.Now() + engine.Cold }

// happens decides at random, with the probability share.
func (engine *Engine) happens(share float64) bool {
	return share > 0 && float64(engine.cluster.Draw(1<<20)) < share*(1<<20)
}

func (engine *Engine) load() replica.Head {
	head := replica.Head{Status: 200, Events: true, HasLoad: engine.Reports}
	if engine.Reports {
		head.Running, head.Waiting, head.Slots = len(engine.active), len(engine.waiting), engine.Slots
	}
	return head
}

// arrive puts a request into the queue, or rejects it.
func (engine *Engine) arrive(run *Run, request *engineRequest) {
	now := engine.cluster.Now()
	run.Cold = engine.isCold()
	engine.cluster.Runs = append(engine.cluster.Runs, run)
	reject := func(status int) {
		run.NotRun = true
		head := engine.load()
		head.Status, head.NotRun, head.Events = status, true, false
		request.send(wireMessage{head: &head, closesConn: engine.Leaving})
	}
	engine.arrivals = append(engine.arrivals, now)
	for now-engine.arrivals[0] >= time.Second {
		engine.arrivals = engine.arrivals[1:]
	}
	if run.Cold && engine.ColdRate > 0 && float64(len(engine.arrivals)) > coldCrashFactor*engine.ColdRate+coldCrashBurst {
		if engine.isCrashing {
			return
		}
		engine.isCrashing = true
		engine.cluster.ColdCrashes++
		engine.cluster.At(0, func() { engine.cluster.Crash(engine.Name) })
		return
	}
	size := request.maxTokens
	for _, part := range request.parts {
		size += part.Tokens
	}
	if size > engine.CacheTokens || len(engine.waiting) >= engine.Queue && !engine.outranksWaiting(request) {
		reject(503)
		return
	}
	engine.accepted++
	request.arrivalOrder = engine.accepted
	if engine.happens(engine.Breaks) {
		request.breakAfter = request.resumedFrom + 1 + int(engine.cluster.Draw(int64(max(1, request.maxTokens-request.resumedFrom))))
	}
	request.isLost = engine.happens(engine.Loses)
	engine.waiting = append(engine.waiting, request)
	if len(engine.waiting) == 1 && len(engine.active) < engine.Slots {
		engine.admit()
	}
	if len(engine.waiting) > engine.Queue {
		// A more urgent request arrived at a full queue: evict the newest of the least urgent
		// waiting requests.
		last := engine.leastUrgent(engine.waiting)
		engine.waiting = removeRequest(engine.waiting, last)
		if last.run.Ran == 0 {
			request := last
			request.run.NotRun = true
			head := engine.load()
			head.Status, head.NotRun, head.Events = 503, true, false
			request.send(wireMessage{head: &head})
		} else {
			engine.finish(last, "broken", wireMessage{err: errReset})
		}
	}
	engine.mailbox.Put(nil)
}

// outranksWaiting reports whether a request is more urgent than a waiting request that has not
// run yet.
func (engine *Engine) outranksWaiting(request *engineRequest) bool {
	for _, other := range engine.waiting {
		if other.urgency > request.urgency && other.run.Ran == 0 {
			return true
		}
	}
	return false
}

// leastUrgent returns the least urgent request, the newest if there are several.
func (engine *Engine) leastUrgent(all []*engineRequest) (last *engineRequest) {
	for _, request := range all {
		if last == nil || request.urgency > last.urgency || request.urgency == last.urgency && request.arrivalOrder > last.arrivalOrder {
			last = request
		}
	}
	return last
}

func removeRequest(all []*engineRequest, request *engineRequest) []*engineRequest {
	for at, other := range all {
		if other == request {
			return append(all[:at:at], all[at+1:]...)
		}
	}
	return all
}

// drop ends a request whose connection closed.
func (engine *Engine) drop(request *engineRequest) {
	if request.run.Ended != "" || request.run.NotRun {
		return
	}
	request.run.Ended = "gone"
	engine.freeMemory(request)
	engine.waiting, engine.active = removeRequest(engine.waiting, request), removeRequest(engine.active, request)
}

// freeMemory releases the memory that an active request uses.
func (engine *Engine) freeMemory(request *engineRequest) {
	isActive := false
	for _, other := range engine.active {
		isActive = isActive || other == request
	}
	if !isActive {
		return
	}
	engine.cacheUsed -= request.reserved + request.generated - request.resumedFrom
	request.reserved = 0
	for _, part := range request.pinned {
		part.users--
	}
	request.pinned = nil
}

// finish removes a request and sends its last message.
func (engine *Engine) finish(request *engineRequest, outcome string, last wireMessage) {
	engine.freeMemory(request)
	engine.active = removeRequest(engine.active, request)
	request.run.Ended = outcome
	if !request.isLost {
		request.send(last)
	}
}

// preempt puts a running request back into the queue. It is prefilled again later.
func (engine *Engine) preempt(request *engineRequest) {
	engine.Preemptions++
	engine.freeMemory(request)
	engine.active = removeRequest(engine.active, request)
	engine.waiting = append(engine.waiting, request)
}

// evictFor evicts unused cached parts, the least recently used first, until there is memory
// for the given number of tokens. It reports whether there is.
func (engine *Engine) evictFor(tokens int) bool {
	for at := engine.cache.Front(); at != nil && engine.cacheUsed+tokens > engine.CacheTokens; {
		next, part := at.Next(), at.Value.(*cachedPart)
		if part.users == 0 {
			engine.cache.Remove(at)
			delete(engine.cacheIndex, part.id)
			engine.cacheUsed -= part.tokens
		}
		at = next
	}
	return engine.cacheUsed+tokens <= engine.CacheTokens
}

// admit starts waiting requests while there are free slots and memory.
func (engine *Engine) admit() {
	now := engine.cluster.Now()
	sort.SliceStable(engine.waiting, func(a, b int) bool {
		x, y := engine.waiting[a], engine.waiting[b]
		return x.urgency < y.urgency || x.urgency == y.urgency && x.arrivalOrder < y.arrivalOrder
	})
	for len(engine.waiting) > 0 {
		request := engine.waiting[0]
		if now >= request.deadline {
			engine.waiting = engine.waiting[1:]
			if request.run.Ran > 0 {
				engine.finish(request, "broken", wireMessage{err: errReset})
				continue
			}
			request.run.NotRun = true
			head := engine.load()
			head.Status, head.NotRun, head.Events = 503, true, false
			request.send(wireMessage{head: &head})
			continue
		}
		if len(engine.active) >= engine.Slots {
			last := engine.leastUrgent(engine.active)
			if last.urgency <= request.urgency {
				return
			}
			engine.preempt(last)
		}
		var pinned []*cachedPart
		var uncached []decide.Part
		unread := 0
		for _, part := range request.parts {
			at, isKept := engine.cacheIndex[part.ID]
			if isKept && len(uncached) == 0 {
				engine.cache.MoveToBack(at)
				kept := at.Value.(*cachedPart)
				kept.users++
				pinned = append(pinned, kept)
				continue
			}
			uncached = append(uncached, part)
			unread += part.Tokens
		}
		neverRead := unread
		for _, part := range uncached {
			if key := (readKey{engine.Model, part.ID}); engine.cluster.everRead[key] {
				neverRead -= part.Tokens
			}
		}
		// The tokens that it generated before a preemption have to be prefilled as well.
		regenerated := request.generated - request.resumedFrom
		if regenerated > 0 {
			uncached = append(uncached, decide.Part{Tokens: regenerated})
		}
		if !engine.evictFor(unread + regenerated + 1) {
			for _, part := range pinned {
				part.users--
			}
			if len(engine.active) > 0 {
				return
			}
			// A request alone always fits: nothing else pins a cached part.
			panic("engine without active requests cannot fit a request into its cache memory")
		}
		engine.waiting = engine.waiting[1:]
		engine.active = append(engine.active, request)
		engine.cacheUsed += unread + regenerated
		request.pinned, request.unread, request.reserved, request.firstTokenAt = pinned, uncached, unread, 0
		for _, part := range uncached {
			if part.ID != 0 {
				engine.cluster.everRead[readKey{engine.Model, part.ID}] = true
			}
		}
		engine.RereadTokens += unread - neverRead + regenerated
		request.run.Read += unread + regenerated
		engine.ReadTokens += unread + regenerated
		engine.CachedTokens += request.run.Prompt - unread
		if request.run.Ran == 0 {
			request.run.Ran = now
		}
	}
}

// loop is the engine's loop. Each step prefills a chunk of one prompt and generates a token
// for each decoding request.
func (engine *Engine) loop() {
	for {
		engine.admit()
		if len(engine.active) == 0 {
			engine.mailbox.Take(loop.Forever)
			continue
		}
		now := engine.cluster.Now()
		var prefilling *engineRequest
		decoding, next := 0, loop.Forever
		for _, request := range engine.active {
			switch {
			case len(request.unread) > 0:
				if prefilling == nil || request.urgency < prefilling.urgency || request.urgency == prefilling.urgency && request.arrivalOrder < prefilling.arrivalOrder {
					prefilling = request
				}
			case request.firstTokenAt > now:
				next = min(next, request.firstTokenAt-now)
			default:
				decoding++
			}
		}
		if prefilling == nil && decoding == 0 {
			engine.mailbox.Take(next)
			continue
		}
		span := time.Duration(0)
		if decoding > 0 {
			span += engine.Step + time.Duration(decoding)*engine.StepEach
		}
		read := 0
		if prefilling != nil {
			for _, part := range prefilling.unread {
				read += part.Tokens
			}
			read = min(read, engine.Chunk)
			span += time.Duration(float64(read) / engine.Prefill * float64(time.Millisecond))
		}
		loop.Sleep(engine.node, max(time.Microsecond, time.Duration(float64(span)*engine.Slower)))
		now = engine.cluster.Now()
		if prefilling != nil && prefilling.run.Ended == "" {
			engine.recordPrefill(prefilling, read, now)
		}
		for _, request := range append([]*engineRequest{}, engine.active...) {
			if len(request.unread) == 0 && request.firstTokenAt <= now && request.run.Ended == "" {
				engine.generate(request, now)
			}
		}
		for engine.cacheUsed > engine.CacheTokens && !engine.evictFor(0) {
			engine.preempt(engine.leastUrgent(engine.active))
		}
	}
}

// recordPrefill records that a number of a request's prompt tokens were prefilled, and caches
// the parts that are complete.
func (engine *Engine) recordPrefill(request *engineRequest, read int, now time.Duration) {
	for read > 0 && len(request.unread) > 0 {
		part := &request.unread[0]
		step := min(read, part.Tokens)
		part.Tokens -= step
		read -= step
		if part.Tokens > 0 {
			break
		}
		id := part.ID
		request.unread = request.unread[1:]
		if id == 0 {
			continue // tokens that the request generated itself
		}
		for _, whole := range request.parts {
			if whole.ID != id {
				continue
			}
			request.reserved -= whole.Tokens
			if at, isKept := engine.cacheIndex[id]; isKept {
				// Another request has prefilled and cached it meanwhile.
				engine.cacheUsed -= whole.Tokens
				kept := at.Value.(*cachedPart)
				kept.users++
				request.pinned = append(request.pinned, kept)
			} else {
				kept := &cachedPart{id: id, tokens: whole.Tokens, users: 1}
				engine.cacheIndex[id] = engine.cache.PushBack(kept)
				request.pinned = append(request.pinned, kept)
			}
		}
	}
	if len(request.unread) == 0 {
		request.firstTokenAt = now + time.Duration(float64(engine.First)*engine.Slower)
	}
}

// generate generates the next token of a request, and sends an event when one is due.
func (engine *Engine) generate(request *engineRequest, now time.Duration) {
	if now >= request.deadline {
		engine.finish(request, "broken", wireMessage{err: errReset})
		return
	}
	if !request.hasBegun {
		request.hasBegun = true
		head := engine.load()
		if engine.happens(engine.Fails) {
			head.Status, head.Events = 500, false
			request.send(wireMessage{head: &head})
			engine.finish(request, "failed", wireMessage{isEnd: true})
			return
		}
		if !request.isLost {
			request.send(wireMessage{head: &head})
		}
	}
	request.generated++
	engine.cacheUsed++
	isWhole := request.generated >= request.maxTokens
	if request.breakAfter > 0 && request.generated >= request.breakAfter {
		engine.finish(request, "broken", wireMessage{err: errReset})
		return
	}
	if (isWhole || request.generated-request.sent >= engine.Stride) && !request.isLost {
		// The text names the attempt and the engine's process, so that the caller notices an
		// answer to another request.
		if request.sent == request.resumedFrom || !engine.happens(engine.Skips) {
			request.send(wireMessage{event: fmt.Appendf(nil, "id: %d\ndata: %s %s %d %d\n\n", request.generated, request.run.ID, request.run.Life, request.sent, request.generated)})
		}
		request.sent = request.generated
	}
	if isWhole {
		outcome := "ok"
		if request.isLost {
			outcome = "lost"
		}
		engine.finish(request, outcome, wireMessage{isEnd: true, closesConn: engine.Leaving})
	}
}
