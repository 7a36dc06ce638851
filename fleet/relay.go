package fleet

import (
	"errors"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/replica"
	"swifttiller/sim"
	"swifttiller/verdict"
)

// relayer is a data daemon's client of engines, with the same promises as the real one
// (replica.Relay).
type relayer struct {
	park *Park
	node *sim.Node
	idle map[string][]*wireLine
}

// wireLine is a connection to one life of an engine. Late are answers that come on it
// in the place of others.
type wireLine struct {
	life  string
	since time.Duration
	late  int
}

// Spans of the connection, as a kernel and the real client have them.
const (
	lineKeep   = 3 * time.Second
	mostPassed = 2
)

// hop is a routed request under way between a daemon and an engine.
type hop struct {
	park    *Park
	box     loop.Mailbox
	from    *sim.Node
	to      string
	engine  *Engine
	one     *work
	line    *wireLine
	relayer *relayer
	ask     *replica.RoutedRequest
	expiry  time.Duration
	// cutAt is when the kernel gives the connection up, as nothing that was sent was
	// heard of; zero while all was.
	cutAt                     time.Duration
	isEnded, isClosed, closes bool
}

// broken ends it as one of its processes died.
func (hop *hop) broken(dead string) {
	switch {
	case hop.isClosed:
	case dead == hop.to:
		if hop.from.Up() {
			hop.box.Put(wirePiece{err: errReset})
		}
	case hop.engine != nil && hop.one != nil:
		hop.engine.drop(hop.one)
	}
}

// take gives a waiting connection, or makes one.
func (relayer *relayer) take(ask *replica.RoutedRequest) *wireLine {
	park, node := relayer.park, relayer.node
	for {
		waiting := relayer.idle[ask.Address]
		if len(waiting) == 0 {
			break
		}
		last := waiting[len(waiting)-1]
		relayer.idle[ask.Address] = waiting[:len(waiting)-1]
		if ask.NewConnection {
			break
		}
		engine := park.Engines[ask.Address]
		// One with bytes that nobody asked for, if they came already, shows it.
		if node.Now()-last.since < lineKeep && last.life == ask.Replica && engine.Life == last.life && park.Node(ask.Address).Up() && (last.late == 0 || park.Draw(2) == 0) {
			return last
		}
	}
	delay, isOpen := park.Reach(node.Name, ask.Address)
	back, isOpenBack := park.Reach(ask.Address, node.Name)
	target := park.Node(ask.Address)
	switch {
	case !isOpen || !isOpenBack || target.Frozen():
		loop.Sleep(node, ask.ConnectTimeout)
		return nil
	case delay+back > ask.ConnectTimeout:
		loop.Sleep(node, ask.ConnectTimeout)
		return nil
	}
	loop.Sleep(node, delay+back)
	if !target.Up() {
		return nil
	}
	park.Dialled++
	return &wireLine{life: park.Engines[ask.Address].Life}
}

func (relayer *relayer) give(address string, line *wireLine) {
	line.since = relayer.node.Now()
	relayer.idle[address] = append(relayer.idle[address], line)
}

// Send sends a routed request to an engine and waits for the head of its answer.
func (relayer *relayer) Send(ask *replica.RoutedRequest) (*replica.Answer, *verdict.Error) {
	park, node := relayer.park, relayer.node
	line := relayer.take(ask)
	if line == nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "replica_unreached", Status: 503}
	}
	if mishap := ask.Gate(); mishap != nil {
		relayer.give(ask.Address, line)
		return nil, mishap
	}
	sent := node.Now()
	hop := &hop{park: park, box: node.Mailbox(), from: node, to: ask.Address, relayer: relayer, line: line, ask: ask, expiry: sent + ask.Remaining}
	park.hops[ask.Address] = append(park.hops[ask.Address], hop)
	park.hops[node.Name] = append(park.hops[node.Name], hop)
	if ask.OnAbort != nil {
		ask.OnAbort(func() { hop.box.Put(wirePiece{err: errReset}) })
	}
	if _, isOpen := park.Reach(node.Name, ask.Address); !isOpen {
		hop.cutAt = sent + ask.UnackedTimeout
	}
	asked, meant, after := park.asked(ask.ID), ask.Replica, tokenOf(ask.After)
	urgency, left, tenant := ask.Urgency, ask.Remaining, ask.Tenant
	park.Deliver(node, ask.Address, func(at *sim.Node) {
		engine := park.Engines[ask.Address]
		var lane sim.Stream
		send := func(piece wirePiece) {
			if engine.Gone == 0 && !hop.isClosed {
				park.Send(&lane, at, node.Name, func(*sim.Node) { hop.box.Put(piece) })
			}
		}
		if engine.Life != line.life {
			send(wirePiece{err: errReset})
			return // the connection ended with the life that it led to
		}
		if line.late > 0 {
			line.late--
			send(wirePiece{head: &replica.Head{Status: 200, OtherRequest: true}})
		}
		run := &Run{ID: ask.ID, Engine: ask.Address, Life: engine.Life, Model: engine.Model, Version: engine.Version, Daemon: node.Name, Tenant: tenant, Sent: sent, At: park.Now(), After: after}
		if engine.Life != meant {
			run.Elsewhere = true
			park.Runs = append(park.Runs, run)
			head := engine.load()
			head.Status, head.OtherReplica, head.Events = 421, true, false
			send(wirePiece{head: &head})
			return
		}
		one := &work{run: run, parts: asked.parts, most: asked.most, urgency: urgency, expiry: park.Now() + left, made: after, from: after, sent: after, send: send}
		for _, part := range asked.parts {
			run.Prompt += part.Tokens
		}
		if hop.isClosed {
			return // its daemon has closed the connection meanwhile
		}
		hop.engine, hop.one = engine, one
		if engine.Grey.happens(engine, park.zones[node.Name]) {
			engine.greyed(run, one)
			return
		}
		engine.arrive(run, one)
	})
	if hop.isFar() {
		for _, part := range asked.parts {
			park.FarBytes += tokenBytes * part.Tokens
			park.FarPrompt += tokenBytes * part.Tokens
		}
	}
	cut := func(code string) (*replica.Answer, *verdict.Error) {
		if ask.OnAbort != nil {
			ask.OnAbort(nil)
		}
		hop.close()
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Code: code, Status: 502}
	}
	for passed := 0; ; passed++ {
		piece, err := hop.wait(false)
		switch {
		case errors.Is(err, replica.ErrSilent):
			return cut("replica_silent")
		case errors.Is(err, errExpired):
			return cut("expired")
		case err != nil || piece.err != nil || piece.head == nil:
			return cut("replica_cut")
		}
		head := *piece.head
		if head.OtherRequest {
			if passed >= mostPassed {
				return cut("replica_garbled")
			}
			continue
		}
		hop.closes = piece.closing
		if head.NotRun || head.OtherReplica {
			hop.isEnded = true
			hop.Close()
			if head.OtherReplica {
				return nil, replica.Restarted()
			}
			return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "replica_declined", Status: 503}
		}
		return &replica.Answer{Head: head, Header: &fasthttp.ResponseHeader{}, Length: -1, Source: hop}, nil
	}
}

var errExpired = errors.New("the caller's time is over")

// wait waits for the next piece, asking now and then whether to go on.
func (hop *hop) wait(hasBegun bool) (wirePiece, error) {
	for {
		left := hop.expiry - hop.from.Now()
		if left <= 0 {
			return wirePiece{}, errExpired
		}
		if hop.ask.OnSilence != nil && hop.ask.SilenceInterval > 0 {
			left = min(left, hop.ask.SilenceInterval)
		}
		if hop.cutAt > 0 {
			left = min(left, max(time.Microsecond, hop.cutAt-hop.from.Now()))
		}
		if got, has := hop.box.Take(left); has {
			return got.(wirePiece), nil
		}
		if hop.cutAt > 0 && hop.from.Now() >= hop.cutAt {
			return wirePiece{}, errReset
		}
		if hop.ask.OnSilence != nil && hop.ask.OnSilence(hasBegun) {
			return wirePiece{}, replica.ErrSilent
		}
	}
}

// Next gives the next event.
func (hop *hop) Next() ([]byte, error) {
	if hop.isEnded {
		return nil, io.EOF
	}
	piece, err := hop.wait(true)
	switch {
	case err != nil || piece.err != nil || piece.head != nil:
		return nil, replica.ErrCut
	case piece.isEnd:
		hop.isEnded, hop.closes = true, hop.closes || piece.closing
		return nil, io.EOF
	}
	if hop.isFar() {
		hop.park.FarBytes += len(piece.event)
	}
	return piece.event, nil
}

// tokenBytes are those of a prompt's token in a request's body.
const tokenBytes = 4

// isFar tells whether it goes to another region.
func (hop *hop) isFar() bool {
	return Region(hop.park.zones[hop.from.Name]) != Region(hop.park.zones[hop.to])
}

// Close ends it; the connection is kept only after a clean end.
func (hop *hop) Close() {
	if hop.ask.OnAbort != nil {
		hop.ask.OnAbort(nil)
	}
	hop.close()
}

func (hop *hop) close() {
	if hop.isClosed {
		return
	}
	hop.isClosed = true
	for _, name := range []string{hop.to, hop.from.Name} {
		list := hop.park.hops[name]
		for at, one := range list {
			if one == hop {
				hop.park.hops[name] = append(list[:at:at], list[at+1:]...)
				break
			}
		}
	}
	engine, one := hop.engine, hop.one
	switch {
	case hop.isEnded && !hop.closes:
		if engine != nil && engine.happens(engine.Repeats) {
			hop.line.late++
			hop.park.Repeated++
		}
		hop.relayer.give(hop.to, hop.line)
	case engine != nil && !hop.isEnded:
		hop.park.Deliver(hop.from, hop.to, func(*sim.Node) { engine.drop(one) })
	}
}

// probed is what a probe brings.
type probed struct {
	vitals replica.Health
	isFull bool
	// saysIll is a false word.
	saysIll bool
}

// engineDialect is how control daemons probe engines.
type engineDialect struct {
	replica.Dialect
	client *client
}

// Probe asks an engine how it does.
func (dialect engineDialect) Probe(target replica.Target, patience time.Duration) (replica.Health, error) {
	park, node := dialect.client.park, dialect.client.node
	box := node.Mailbox()
	if park.Node(target.Address) == nil || !park.Node(target.Address).Up() {
		loop.Sleep(node, time.Millisecond)
		return replica.Health{}, errReset
	}
	park.Deliver(node, target.Address, func(at *sim.Node) {
		engine := park.Engines[target.Address]
		// A probe waits for a slot, or is turned away, as a request is.
		for len(engine.active) >= engine.Berths && len(engine.waiting) < engine.Queue {
			loop.Sleep(at, 10*time.Millisecond)
		}
		isFull, saysIll := len(engine.waiting) >= engine.Queue, engine.SaysIll
		vitals := replica.Health{Boot: engine.Life, Load: -1, Leaving: engine.Leaving, Cold: max(0, engine.ColdUntil-park.Now())}
		park.Deliver(at, node.Name, func(*sim.Node) { box.Put(probed{vitals, isFull, saysIll}) })
	})
	got, has := box.Take(patience)
	if !has {
		return replica.Health{}, errors.New("no answer")
	}
	vitals, isFull := got.(probed).vitals, got.(probed).isFull
	switch {
	case vitals.Boot != target.ID:
		return replica.Health{}, replica.Restarted()
	case isFull:
		// As the real dialect: a status that is no 200 is no answer.
		return vitals, errors.New("the probe was answered 503")
	}
	// Whether it leaves only the list tells.
	vitals.Unhealthy, vitals.Leaving = vitals.Leaving || got.(probed).saysIll, false
	return vitals, nil
}

// Register is a stand-in platform's list of engines, that lags and limits how often it
// may be asked.
type Register struct {
	park    *Park
	entries []*listedEngine
	asked   map[string]time.Duration
	// Broken makes it answer nothing.
	Broken bool
}

type listedEngine struct {
	engine             *Engine
	at, leaving, until time.Duration
}

func (register *Register) add(engine *Engine) {
	at := register.park.Now() + register.park.Plan.Lag
	if register.park.Now() == 0 {
		at = 0
	}
	// The one before it at the address is gone, as the list finds in its time.
	for _, one := range register.entries {
		if one.engine.Name == engine.Name {
			one.until = min(one.until, at)
		}
	}
	register.entries = append(register.entries, &listedEngine{engine, at, Never, Never})
}

// Leave marks an engine's present life as leaving, after the lag; Remove takes it off.
func (register *Register) Leave(name string) { register.mark(name, true) }

// Remove takes an engine's present life off the list, after the lag.
func (register *Register) Remove(name string) { register.mark(name, false) }

func (register *Register) mark(name string, isLeaving bool) {
	at := register.park.Now() + register.park.Plan.Lag
	for _, one := range register.entries {
		if one.engine == register.park.Engines[name] {
			if isLeaving {
				one.leaving = min(one.leaving, at)
			} else {
				one.until = min(one.until, at)
			}
		}
	}
}

// engineList is the list as a node asks for it.
type engineList struct {
	park *Park
	node *sim.Node
}

// List asks the stand-in.
func (asks *engineList) List(address string, _ []string, _ time.Duration) ([]listing.Instance, error) {
	park, region := asks.park, strings.TrimPrefix(address, "http://")
	loop.Sleep(asks.node, 2*time.Millisecond)
	now := park.Now()
	register := park.Listed
	if register.Broken {
		return nil, errors.New("the platform is broken")
	}
	if last, isKnown := register.asked[region]; isKnown && now-last < park.Plan.Least {
		return nil, &listing.RateLimitedError{RetryAfter: park.Plan.Least}
	}
	register.asked[region] = now
	var out []listing.Instance
	for _, one := range register.entries {
		engine := one.engine
		if Region(engine.Zone) != region || one.at > now || one.until <= now {
			continue
		}
		entry := listing.Instance{ID: engine.Life, Address: engine.Name, Zone: engine.Zone, Model: engine.Model, Version: engine.Version, Cold: max(0, engine.ColdUntil-now), Leaving: one.leaving <= now}
		if entry.Leaving {
			park.learnLeaving(engine.Name, engine.Life)
		}
		out = append(out, entry)
	}
	return out, nil
}
