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

// engineProxy is a data daemon's client of simulated engines. It gives the same guarantees as the
// real client, replica.Proxy.
type engineProxy struct {
	cluster *Cluster
	node    *sim.Node
	idle    map[string][]*engineConn
}

// engineConn is a connection to one process of an engine. Late counts the stale answers that
// will arrive on it before the answer to the next request.
type engineConn struct {
	life  string
	since time.Duration
	late  int
}

// Settings of the connections, as in the real client.
const (
	connIdleTimeout = 3 * time.Second
	maxStaleAnswers = 2
)

// engineStream is a routed request in flight between a daemon and an engine.
type engineStream struct {
	cluster  *Cluster
	mailbox  loop.Mailbox
	from     *sim.Node
	to       string
	engine   *Engine
	work     *engineRequest
	conn     *engineConn
	relayer  *engineProxy
	request  *replica.RoutedRequest
	deadline time.Duration
	// resetAt is when the kernel gives up the connection because the request was never
	// acknowledged; zero if it was delivered.
	resetAt                       time.Duration
	isEnded, isClosed, closesConn bool
}

// broken handles the death of the process dead at one end of the stream.
func (stream *engineStream) broken(dead string) {
	switch {
	case stream.isClosed:
	case dead == stream.to:
		if stream.from.Up() {
			stream.mailbox.Put(wireMessage{err: errReset})
		}
	case stream.engine != nil && stream.work != nil:
		stream.engine.drop(stream.work)
	}
}

// take returns an idle connection, or dials a new one. It returns nil if the engine can't be
// reached.
func (client *engineProxy) take(request *replica.RoutedRequest) *engineConn {
	cluster, node := client.cluster, client.node
	for {
		idle := client.idle[request.Address]
		if len(idle) == 0 {
			break
		}
		conn := idle[len(idle)-1]
		client.idle[request.Address] = idle[:len(idle)-1]
		if request.NewConnection {
			break
		}
		engine := cluster.Engines[request.Address]
		// A connection with an unsolicited answer is noticed as such only if the answer has
		// already arrived.
		if node.Now()-conn.since < connIdleTimeout && conn.life == request.Replica && engine.Life == conn.life && cluster.Node(request.Address).Up() && (conn.late == 0 || cluster.Draw(2) == 0) {
			return conn
		}
	}
	delay, isOpen := cluster.Reach(node.Name, request.Address)
	back, isOpenBack := cluster.Reach(request.Address, node.Name)
	target := cluster.Node(request.Address)
	switch {
	case !isOpen || !isOpenBack || target.Frozen():
		loop.Sleep(node, request.ConnectTimeout)
		return nil
	case delay+back > request.ConnectTimeout:
		loop.Sleep(node, request.ConnectTimeout)
		return nil
	}
	loop.Sleep(node, delay+back)
	if !target.Up() {
		return nil
	}
	cluster.EngineConnections++
	return &engineConn{life: cluster.Engines[request.Address].Life}
}

func (client *engineProxy) release(address string, conn *engineConn) {
	conn.since = client.node.Now()
	client.idle[address] = append(client.idle[address], conn)
}

// Send sends a routed request to an engine and waits for the head of its answer.
func (client *engineProxy) Send(request *replica.RoutedRequest) (*replica.Answer, *verdict.Error) {
	cluster, node := client.cluster, client.node
	conn := client.take(request)
	if conn == nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "replica_unreached", Status: 503}
	}
	if failure := request.Gate(); failure != nil {
		client.release(request.Address, conn)
		return nil, failure
	}
	sent := node.Now()
	stream := &engineStream{cluster: cluster, mailbox: node.Mailbox(), from: node, to: request.Address, relayer: client, conn: conn, request: request, deadline: sent + request.Remaining}
	cluster.engineStreams[request.Address] = append(cluster.engineStreams[request.Address], stream)
	cluster.engineStreams[node.Name] = append(cluster.engineStreams[node.Name], stream)
	if request.OnAbort != nil {
		request.OnAbort(func() { stream.mailbox.Put(wireMessage{err: errReset}) })
	}
	if _, isOpen := cluster.Reach(node.Name, request.Address); !isOpen {
		stream.resetAt = sent + request.UnackedTimeout
	}
	content, intended, after := cluster.requestContent(request.ID), request.Replica, tokenOf(request.After)
	urgency, remaining, tenant := request.Urgency, request.Remaining, request.Tenant
	cluster.Deliver(node, request.Address, func(at *sim.Node) {
		engine := cluster.Engines[request.Address]
		var messages sim.Stream
		send := func(message wireMessage) {
			if engine.Gone == 0 && !stream.isClosed {
				cluster.Send(&messages, at, node.Name, func(*sim.Node) { stream.mailbox.Put(message) })
			}
		}
		if engine.Life != conn.life {
			send(wireMessage{err: errReset})
			return // the connection broke when that process of the engine ended
		}
		if conn.late > 0 {
			conn.late--
			send(wireMessage{head: &replica.Head{Status: 200, OtherRequest: true}})
		}
		run := &Run{ID: request.ID, Engine: request.Address, Life: engine.Life, Model: engine.Model, Version: engine.Version, Daemon: node.Name, Tenant: tenant, Sent: sent, At: cluster.Now(), After: after}
		if engine.Life != intended {
			run.Elsewhere = true
			cluster.Runs = append(cluster.Runs, run)
			head := engine.load()
			head.Status, head.OtherReplica, head.Events = 421, true, false
			send(wireMessage{head: &head})
			return
		}
		work := &engineRequest{run: run, parts: content.parts, maxTokens: content.most, urgency: urgency, deadline: cluster.Now() + remaining, generated: after, resumedFrom: after, sent: after, send: send}
		for _, part := range content.parts {
			run.Prompt += part.Tokens
		}
		if stream.isClosed {
			return // the daemon has closed the connection meanwhile
		}
		stream.engine, stream.work = engine, work
		if engine.Grey.applies(engine, cluster.zones[node.Name]) {
			engine.failPartially(run, work)
			return
		}
		engine.arrive(run, work)
	})
	if stream.isFar() {
		for _, part := range content.parts {
			cluster.FarBytes += tokenBytes * part.Tokens
			cluster.FarPrompt += tokenBytes * part.Tokens
		}
	}
	cut := func(code string) (*replica.Answer, *verdict.Error) {
		if request.OnAbort != nil {
			request.OnAbort(nil)
		}
		stream.close()
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Code: code, Status: 502}
	}
	for stale := 0; ; stale++ {
		message, err := stream.wait(false)
		switch {
		case errors.Is(err, replica.ErrSilent):
			return cut("replica_silent")
		case errors.Is(err, errExpired):
			return cut("expired")
		case err != nil || message.err != nil || message.head == nil:
			return cut("replica_cut")
		}
		head := *message.head
		if head.OtherRequest {
			if stale >= maxStaleAnswers {
				return cut("replica_garbled")
			}
			continue
		}
		stream.closesConn = message.closesConn
		if head.NotRun || head.OtherReplica {
			stream.isEnded = true
			stream.Close()
			if head.OtherReplica {
				return nil, replica.Restarted()
			}
			return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "replica_declined", Status: 503}
		}
		return &replica.Answer{Head: head, Header: &fasthttp.ResponseHeader{}, Length: -1, Source: stream}, nil
	}
}

var errExpired = errors.New("the caller's deadline has passed")

// wait waits for the next message. At intervals it calls OnSilence to find out whether to give
// up.
func (stream *engineStream) wait(hasBegun bool) (wireMessage, error) {
	for {
		remaining := stream.deadline - stream.from.Now()
		if remaining <= 0 {
			return wireMessage{}, errExpired
		}
		if stream.request.OnSilence != nil && stream.request.SilenceInterval > 0 {
			remaining = min(remaining, stream.request.SilenceInterval)
		}
		if stream.resetAt > 0 {
			remaining = min(remaining, max(time.Microsecond, stream.resetAt-stream.from.Now()))
		}
		if item, has := stream.mailbox.Take(remaining); has {
			return item.(wireMessage), nil
		}
		if stream.resetAt > 0 && stream.from.Now() >= stream.resetAt {
			return wireMessage{}, errReset
		}
		if stream.request.OnSilence != nil && stream.request.OnSilence(hasBegun) {
			return wireMessage{}, replica.ErrSilent
		}
	}
}

// Next returns the next event.
func (stream *engineStream) Next() ([]byte, error) {
	if stream.isEnded {
		return nil, io.EOF
	}
	message, err := stream.wait(true)
	switch {
	case err != nil || message.err != nil || message.head != nil:
		return nil, replica.ErrCut
	case message.isEnd:
		stream.isEnded, stream.closesConn = true, stream.closesConn || message.closesConn
		return nil, io.EOF
	}
	if stream.isFar() {
		stream.cluster.FarBytes += len(message.event)
	}
	return message.event, nil
}

// tokenBytes is the number of bytes of one prompt token in a request's body.
const tokenBytes = 4

// isFar reports whether the request goes to another region.
func (stream *engineStream) isFar() bool {
	return Region(stream.cluster.zones[stream.from.Name]) != Region(stream.cluster.zones[stream.to])
}

// Close ends the stream. The connection is reused only if the answer was received completely.
func (stream *engineStream) Close() {
	if stream.request.OnAbort != nil {
		stream.request.OnAbort(nil)
	}
	stream.close()
}

func (stream *engineStream) close() {
	if stream.isClosed {
		return
	}
	stream.isClosed = true
	for _, name := range []string{stream.to, stream.from.Name} {
		list := stream.cluster.engineStreams[name]
		for at, other := range list {
			if other == stream {
				stream.cluster.engineStreams[name] = append(list[:at:at], list[at+1:]...)
				break
			}
		}
	}
	engine, work := stream.engine, stream.work
	switch {
	case stream.isEnded && !stream.closesConn:
		if engine != nil && engine.happens(engine.Repeats) {
			stream.conn.late++
			stream.cluster.DuplicateAnswers++
		}
		stream.relayer.release(stream.to, stream.conn)
	case engine != nil && !stream.isEnded:
		stream.cluster.Deliver(stream.from, stream.to, func(*sim.Node) { engine.drop(work) })
	}
}

// probeReply is the reply to a health check.
type probeReply struct {
	health replica.Health
	isFull bool
	// reportsUnhealthy is set if the engine reports itself unhealthy whatever its state.
	reportsUnhealthy bool
}

// engineDialect is how daemons health-check engines.
type engineDialect struct {
	replica.Dialect
	client *replicaClient
}

// Probe sends a health check to an engine.
func (dialect engineDialect) Probe(target replica.Target, timeout time.Duration) (replica.Health, error) {
	cluster, node := dialect.client.cluster, dialect.client.node
	mailbox := node.Mailbox()
	if cluster.Node(target.Address) == nil || !cluster.Node(target.Address).Up() {
		loop.Sleep(node, time.Millisecond)
		return replica.Health{}, errReset
	}
	cluster.Deliver(node, target.Address, func(at *sim.Node) {
		engine := cluster.Engines[target.Address]
		// Like a request, a health check waits for a slot or is rejected.
		for len(engine.active) >= engine.Slots && len(engine.waiting) < engine.Queue {
			loop.Sleep(at, 10*time.Millisecond)
		}
		isFull, reportsUnhealthy := len(engine.waiting) >= engine.Queue, engine.ReportsUnhealthy
		health := replica.Health{Boot: engine.Life, Load: -1, Leaving: engine.Leaving, Cold: max(0, engine.ColdUntil-cluster.Now())}
		cluster.Deliver(at, node.Name, func(*sim.Node) { mailbox.Put(probeReply{health, isFull, reportsUnhealthy}) })
	})
	item, has := mailbox.Take(timeout)
	if !has {
		return replica.Health{}, errors.New("no reply before the timeout")
	}
	health, isFull := item.(probeReply).health, item.(probeReply).isFull
	switch {
	case health.Boot != target.ID:
		return replica.Health{}, replica.Restarted()
	case isFull:
		// As in the real dialect, a status other than 200 is an error.
		return health, errors.New("health check was rejected with status 503")
	}
	// Whether the engine is leaving is known from the platform's list only.
	health.Unhealthy, health.Leaving = health.Leaving || item.(probeReply).reportsUnhealthy, false
	return health, nil
}

// ReplicaList is the simulated platform's list of engines. Changes show after a lag, and queries
// are rate limited.
type ReplicaList struct {
	cluster   *Cluster
	entries   []*listedEngine
	lastQuery map[string]time.Duration
	// Broken makes every query fail.
	Broken bool
}

type listedEngine struct {
	engine                         *Engine
	listedAt, leavingAt, removedAt time.Duration
}

func (register *ReplicaList) add(engine *Engine) {
	at := register.cluster.Now() + register.cluster.Plan.Lag
	if register.cluster.Now() == 0 {
		at = 0
	}
	// The previous process at the address has ended; it leaves the list after the same lag.
	for _, listed := range register.entries {
		if listed.engine.Name == engine.Name {
			listed.removedAt = min(listed.removedAt, at)
		}
	}
	register.entries = append(register.entries, &listedEngine{engine, at, Never, Never})
}

// Leave marks an engine's present process as leaving, after the lag.
func (register *ReplicaList) Leave(name string) { register.setEnd(name, true) }

// Remove removes an engine's present process from the list, after the lag.
func (register *ReplicaList) Remove(name string) { register.setEnd(name, false) }

func (register *ReplicaList) setEnd(name string, isLeaving bool) {
	at := register.cluster.Now() + register.cluster.Plan.Lag
	for _, listed := range register.entries {
		if listed.engine == register.cluster.Engines[name] {
			if isLeaving {
				listed.leavingAt = min(listed.leavingAt, at)
			} else {
				listed.removedAt = min(listed.removedAt, at)
			}
		}
	}
}

// engineListClient is a node's client of the list of engines.
type engineListClient struct {
	cluster *Cluster
	node    *sim.Node
}

// List queries the simulated list for the engines of a region.
func (client *engineListClient) List(address string, _ []string, _ time.Duration) ([]listing.Instance, error) {
	cluster, region := client.cluster, strings.TrimPrefix(address, "http://")
	loop.Sleep(client.node, 2*time.Millisecond)
	now := cluster.Now()
	register := cluster.EngineList
	if register.Broken {
		return nil, errors.New("simulated failure of the platform")
	}
	if last, isKnown := register.lastQuery[region]; isKnown && now-last < cluster.Plan.MinListInterval {
		return nil, &listing.RateLimitedError{RetryAfter: cluster.Plan.MinListInterval}
	}
	register.lastQuery[region] = now
	var out []listing.Instance
	for _, listed := range register.entries {
		engine := listed.engine
		if Region(engine.Zone) != region || listed.listedAt > now || listed.removedAt <= now {
			continue
		}
		entry := listing.Instance{ID: engine.Life, Address: engine.Name, Zone: engine.Zone, Model: engine.Model, Version: engine.Version, Cold: max(0, engine.ColdUntil-now), Leaving: listed.leavingAt <= now}
		if entry.Leaving {
			cluster.recordTermination(engine.Name, engine.Life)
		}
		out = append(out, entry)
	}
	return out, nil
}
