package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"swifttiller/controlplane"
	"swifttiller/dataplane"
	"swifttiller/decide"
	"swifttiller/disk"
	"swifttiller/execute"
	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/replica"
	"swifttiller/settings"
	"swifttiller/sim"
	"swifttiller/verdict"
)

// Plan describes a simulated cluster: its machines, replicas and callers.
type Plan struct {
	Model    string
	Document string
	// Control daemons with a disk, control daemons without one, and data daemons, each as
	// name:zone.
	Controls, Diskless, Datas []string
	Replicas                  []ReplicaOptions
	Callers                   []Crowd
	// Engines are replicas with a simulated inference engine. Routed are the callers whose
	// requests are routed to them by host and path.
	Engines []EngineOptions
	Routed  []RoutedCrowd
	Shape   RoutedShape
	// Lag is the delay until a change shows in the platform's list, Least the minimum interval
	// between two queries of it, and Grace the time that the platform gives a replica to stop.
	Lag, Least, Grace time.Duration
	// First is whether daemons are started with the setting that the system starts for the
	// first time.
	First bool
}

// Crowd is a stream of similar requests from one zone.
type Crowd struct {
	Name, Zone, Kind, Home string
	Model                  string        // the plan's model, if empty
	Every                  time.Duration // mean time between requests
	Bytes, Tokens, Rosters int
	Retries                int
	// Eager callers retry at once with the same ticket, even if the request may have run.
	Eager bool
	// Hasty callers don't wait for the end of an answer: while the first attempt still
	// streams, they send the same ID again at once, to the same daemon and to another one,
	// with the ticket and without. Half of them give up the first attempt.
	Hasty bool
	// From and Until bound the time in which requests are sent; zero for both means always.
	From, Until time.Duration
	// Lanes is the number of connections that the callers keep; 0 and 1 mean one.
	Lanes int
	// Astray callers send their first attempt to a daemon outside the request's home region.
	Astray bool
	// Moves makes the callers locate through daemons of any zone.
	Moves bool
}

// Request is one caller's request as the caller saw it.
type Request struct {
	ID, Crowd, Kind, Home string
	At, End               time.Duration
	Tries                 int
	Verdict, Code         string // ok, or those of the last error
	Foreign, Whole        bool
	// Wholes counts the complete answers that reached the user, over all attempts.
	Wholes int
}

// Park is a whole simulated cluster that runs the product's own code.
type Park struct {
	*sim.Sim
	Plan
	Controls map[string]*controlplane.Daemon
	Datas    map[string]*dataplane.Daemon
	Replicas map[string]*Replica
	Platform *Platform
	Requests []*Request
	Troubles map[string]error
	Seen
	byID    map[string]*Request
	zones   map[string]string
	streams map[string][]*simStream // by replica and by data daemon
	lives   int
	past    []*Replica // replaced replicas, kept for their logs
	drawn   int
	Quiet   bool // no new requests are sent
	// SeedsOf overrides the seeds of a daemon, by name, from its next start on.
	SeedsOf map[string][]string
	// Spoilt names the daemons whose settings file is invalid.
	Spoilt map[string]bool
	varied int
	lanes  map[laneKey]callerLocation
	closed map[string]bool // daemons whose listeners are closed in a planned stop

	Engines map[string]*Engine
	Listed  *Register
	// Runs are all requests that arrived at engines, RoutedRequests all requests of routed
	// callers.
	Runs           []*Run
	RoutedRequests []*RoutedRequest
	// Dialled counts connections made to engines, Repeated the answers that an engine sent
	// twice, Fallen the cold engines that crashed from overload, and Strayed the weight orders
	// that engines received although they take none.
	Dialled, Repeated, Fallen, Strayed int

	// FarBytes counts the bytes between daemons and engines of other regions, FarPrompt those
	// of them that were prompts.
	FarBytes, FarPrompt int

	pastEngines []*Engine
	everRead    map[readKey]bool
	hops        map[string][]*engineStream // by engine and by data daemon
	links       map[string][]*callerConn   // by data daemon
	askedOf     map[string]asked
	tried       map[string]*RoutedTry
}

// Region returns the region of a zone in the plans: the part before the first dash.
func Region(zone string) string { return strings.SplitN(zone, "-", 2)[0] }

func split(assignment string) (name, zone string) {
	name, zone, _ = strings.Cut(assignment, ":")
	return name, zone
}

// NewPark starts a cluster, initializes its core, applies its configuration and starts its
// callers. It panics if the cluster isn't ready after 20 s.
func NewPark(seed uint64, plan Plan) *Park {
	park := NewBarePark(seed, plan)
	first, _ := split(plan.Controls[0])
	park.Must(first, func(daemon *controlplane.Daemon) error {
		_, err := daemon.Init(park.seeds())
		return err
	})
	park.Must(first, func(daemon *controlplane.Daemon) error {
		_, err := daemon.Apply([]byte(plan.Document), nil, false)
		return err
	})
	if !park.Until(20*time.Second, park.Ready) {
		panic(fmt.Sprintf("seed %d: the fleet never got ready", seed))
	}
	for index := range plan.Callers {
		park.crowd(&plan.Callers[index])
	}
	for index := range plan.Routed {
		park.crowdRouted(&plan.Routed[index])
	}
	return park
}

// NewBarePark starts only a cluster's machines: without a core, a configuration or callers.
func NewBarePark(seed uint64, plan Plan) *Park {
	park := &Park{Sim: sim.New(seed), Plan: plan, Controls: map[string]*controlplane.Daemon{}, Datas: map[string]*dataplane.Daemon{}, Replicas: map[string]*Replica{}, Troubles: map[string]error{}, Seen: newSeen(), byID: map[string]*Request{}, lanes: map[laneKey]callerLocation{}, Spoilt: map[string]bool{}, closed: map[string]bool{}, zones: map[string]string{}, streams: map[string][]*simStream{}}
	park.Engines, park.hops, park.links, park.askedOf, park.tried = map[string]*Engine{}, map[string][]*engineStream{}, map[string][]*callerConn{}, map[string]asked{}, map[string]*RoutedTry{}
	park.everRead = map[readKey]bool{}
	park.Listed = &Register{park: park, lastQuery: map[string]time.Duration{}}
	park.Platform = NewPlatform(park.Now, plan.Lag, plan.Least)
	park.watch()
	for _, assignment := range append(append([]string{}, plan.Controls...), plan.Diskless...) {
		name, zone := split(assignment)
		park.zones[name] = zone
		park.StartControl(name)
	}
	for _, options := range plan.Replicas {
		park.zones[options.ID] = options.Zone
		park.StartReplica(options)
		park.List(options)
	}
	for _, options := range plan.Engines {
		park.StartEngine(options)
	}
	for _, assignment := range plan.Datas {
		name, zone := split(assignment)
		park.zones[name] = zone
		park.StartData(name)
	}
	park.Run(300 * time.Millisecond)
	return park
}

// Ready reports whether every data daemon has a valid lease and a routing table with replicas
// for every region.
func (park *Park) Ready() bool {
	for _, daemon := range park.Datas {
		view := daemon.Holder.View()
		if !view.IsValid(park.Now()) {
			return false
		}
		for _, region := range view.Tree.Regions() {
			if len(view.RoutingTables[region].Rows) == 0 {
				return false
			}
		}
	}
	return true
}

func (park *Park) seeds() (seeds []string) {
	for _, assignment := range park.Plan.Controls[:min(3, len(park.Plan.Controls))] {
		name, _ := split(assignment)
		seeds = append(seeds, name)
	}
	return seeds
}

func (park *Park) process(name string) settings.Process {
	zone := park.zones[name]
	seeds := park.SeedsOf[name]
	if seeds == nil {
		seeds = park.seeds()
	}
	process := settings.Process{Name: name, Zone: zone, Region: Region(zone), Wire: name, HTTP: name, Seeds: seeds, First: park.First}
	if len(park.Plan.Engines) > 0 {
		process.Door = name
	}
	return process
}

// live returns a daemon's settings, which on a reload are read again from the same source as
// at its start.
func (park *Park) live(name string) *settings.Live {
	return settings.NewLive(settings.LiveOptions{Process: park.process(name), Read: func() (*settings.Process, error) {
		if park.Spoilt[name] {
			return nil, settings.Problems{{Path: "$.seeds.0", Reason: "is no IP:port"}}
		}
		process := park.process(name)
		return &process, nil
	}})
}

// StartControl starts a control daemon, or restarts it if it ran before.
func (park *Park) StartControl(name string) {
	park.lives++
	life := fmt.Sprint(park.lives)
	park.born(name)
	park.Start(name, func(node *sim.Node) {
		var folder disk.Folder = node.Disk
		for _, assignment := range park.Plan.Diskless {
			if diskless, _ := split(assignment); diskless == name {
				folder = nil
			}
		}
		options := controlplane.Options{
			World: node, Net: sim.Net{Node: node}, Process: park.process(name), Live: park.live(name), Folder: folder, Incarnation: life,
			Replicas: &replicaClient{park, node, map[string][]idleConn{}}, Platform: &platformClient{park, node}, Point: func(point string) { park.Point(node, point) },
		}
		if len(park.Plan.Engines) > 0 {
			options.Dialect, options.Platform = engineDialect{client: &replicaClient{park, node, nil}}, &engineListClient{park, node}
		}
		daemon, err := controlplane.New(options)
		park.Troubles[name] = err
		if err != nil {
			return
		}
		park.Controls[name] = daemon
		node.Serve(daemon.Services())
		daemon.Run()
	})
}

// StartData starts a data daemon, or restarts it if it ran before.
func (park *Park) StartData(name string) {
	park.lives++
	life := fmt.Sprint(park.lives)
	park.born(name)
	park.Start(name, func(node *sim.Node) {
		options := dataplane.Options{World: node, Net: sim.Net{Node: node}, Process: park.process(name), Live: park.live(name), Incarnation: life, Replicas: &replicaClient{park, node, map[string][]idleConn{}}, ProxyClient: &relayer{park, node, map[string][]*wireLine{}}}
		if len(park.Plan.Engines) > 0 {
			options.Probe = engineDialect{client: &replicaClient{park, node, nil}}.Probe
		}
		daemon := dataplane.New(options)
		park.Datas[name] = daemon
		node.Serve(daemon.Services())
		daemon.Run()
	})
}

// StartReplica starts a simulated replica. It replaces one with the same ID and starts cold.
func (park *Park) StartReplica(options ReplicaOptions) {
	park.lives++
	node := park.Node(options.ID)
	options.World, options.Boot, options.Address = node, fmt.Sprint("boot", park.lives), options.ID
	if before := park.Replicas[options.ID]; before != nil {
		before.Gone = park.Now()
		park.past = append(park.past, before)
	}
	park.zones[options.ID] = options.Zone
	park.Replicas[options.ID] = NewReplica(options)
	park.Start(options.ID, func(*sim.Node) {})
}

// List adds a replica to the platform's list.
func (park *Park) List(options ReplicaOptions) {
	model, version := "", ""
	if options.Mute {
		model, version, _ = strings.Cut(options.Held[0], "/")
	}
	park.Platform.AddServing(Region(options.Zone), options.ID, options.ID, options.Zone, model, version)
}

// Crash kills a process of any kind; its connections break.
func (park *Park) Crash(name string) {
	park.Kill(name)
	for _, stream := range park.streams[name] {
		stream.broken(name)
	}
	delete(park.streams, name)
	for _, hop := range append([]*engineStream{}, park.hops[name]...) {
		hop.broken(name)
	}
	delete(park.hops, name)
	for _, link := range park.links[name] {
		link.mailbox.Put(streamPiece{err: errReset})
	}
	delete(park.links, name)
}

// Do runs a step on a control daemon and waits for its end, at most the given time.
func (park *Park) Do(name string, span time.Duration, step func(*controlplane.Daemon) error) (err error) {
	done := false
	park.Node(name).Go(func() { err = step(park.Controls[name]); done = true })
	for spent := time.Duration(0); spent < span && !done; spent += 10 * time.Millisecond {
		park.Run(10 * time.Millisecond)
	}
	if !done {
		return errors.New("not done in time")
	}
	return err
}

// Must is Do with a limit of 20 s; it panics if the step fails.
func (park *Park) Must(name string, step func(*controlplane.Daemon) error) {
	if err := park.Do(name, 20*time.Second, step); err != nil {
		panic(fmt.Sprintf("seed %d at %v: step at %s: %v", park.Seed, park.Now(), name, err))
	}
}

// Until lets simulated time pass until the condition holds, at most the given time, and
// reports whether it holds.
func (park *Park) Until(span time.Duration, condition func() bool) bool {
	for spent := time.Duration(0); spent < span; spent += 50 * time.Millisecond {
		if condition() {
			return true
		}
		park.Run(50 * time.Millisecond)
	}
	return condition()
}

// Logs returns all requests that replicas accepted, in the order of arrival.
func (park *Park) Logs() (all []*Served) {
	for _, stub := range park.past {
		all = append(all, stub.Log...)
	}
	for _, name := range park.ids() {
		all = append(all, park.Replicas[name].Log...)
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].At < all[b].At })
	return all
}

func (park *Park) ids() (names []string) {
	for name := range park.Replicas {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Place sets the zone of a machine that isn't part of the plan.
func (park *Park) Place(name, zone string) { park.zones[name] = zone }

// Zone returns the zone of a machine.
func (park *Park) Zone(name string) string { return park.zones[name] }

// platformClient is a node's client of the simulated platform. No network partition affects
// it.
type platformClient struct {
	park *Park
	node *sim.Node
}

// List queries the simulated platform for the replicas of a region.
func (client *platformClient) List(region string, _ []string, patience time.Duration) ([]listing.Instance, error) {
	loop.Sleep(client.node, 2*time.Millisecond)
	status, body := client.park.Platform.List(strings.TrimPrefix(region, "http://"))
	listed, err := listing.ParseResponse(status, "", body)
	for _, instance := range listed {
		if instance.Leaving {
			client.park.learnLeaving(instance.ID, client.park.marked[instance.ID])
		}
	}
	return listed, err
}

// replicaClient is a node's client of simulated replicas. It gives the same guarantees as the
// real client.
type replicaClient struct {
	park      *Park
	node      *sim.Node
	idleConns map[string][]idleConn
}

// idleConn is a kept-alive connection without a request.
type idleConn struct {
	boot  string
	since time.Duration
}

// idleTimeout is how long an idle connection is kept, as in the real client.
const idleTimeout = 3 * time.Second

// takeIdle takes an idle connection to the replica that is neither expired nor broken by a
// restart, and returns the boot ID of the replica's process at its other end.
func (client *replicaClient) takeIdle(address string) (boot string, isKept bool) {
	for list := client.idleConns[address]; len(list) > 0; list = client.idleConns[address] {
		last := list[len(list)-1]
		client.idleConns[address] = list[:len(list)-1]
		if client.node.Now()-last.since < idleTimeout && client.park.Node(address).Up() && client.park.Replicas[address].Boot == last.boot {
			return last.boot, true
		}
	}
	return "", false
}

func (client *replicaClient) release(address, boot string) {
	client.idleConns[address] = append(client.idleConns[address], idleConn{boot, client.node.Now()})
}

type simStream struct {
	client       *replicaClient
	boot         string
	park         *Park
	mailbox      loop.Mailbox
	from         *sim.Node
	to           string
	answer       *Answer
	stallTimeout time.Duration
	deadline     time.Duration
	closed       bool
	ended        bool
	head         *streamPiece // received by Dispatch and returned by the first Next
}

type streamPiece struct {
	event     []byte
	err       error
	rejection *verdict.Error
	isFirst   bool
}

var errReset = errors.New("connection reset")

// broken handles the death of the process dead at one end of the stream: it notifies the other
// end.
func (stream *simStream) broken(dead string) {
	if dead == stream.to {
		if stream.from.Up() {
			stream.mailbox.Put(streamPiece{err: errReset})
		}
	} else if stream.answer != nil {
		stream.answer.Abort()
	}
	stream.closed = true
}

// Dispatch sends a request to a simulated replica and waits for the first piece of its answer.
func (client *replicaClient) Dispatch(request replica.Request) (replica.Stream, *verdict.Error) {
	park, node := client.park, client.node
	unreached := func(wait time.Duration) (replica.Stream, *verdict.Error) {
		loop.Sleep(node, wait)
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "replica_unreached", Status: 502}
	}
	boot, isKept := client.takeIdle(request.Address)
	if !isKept {
		delay, open := park.Reach(node.Name, request.Address)
		back, openBack := park.Reach(request.Address, node.Name)
		target := park.Node(request.Address)
		switch {
		case !open || !openBack || target.Frozen():
			return unreached(time.Second) // the dial times out
		case !target.Up():
			return unreached(delay + back)
		}
		loop.Sleep(node, delay+back)
		reply, err := client.exchange(request.Address, request.IdentifyTimeout, func(stub *Replica) (int, []byte) { return 200, stub.Probe() })
		if err != nil {
			return unreached(0)
		}
		health, _ := replica.ParseHealth(reply.body)
		boot = health.Boot
		park.Greeted++
	}
	if boot != request.Boot {
		client.release(request.Address, boot)
		return nil, replica.Restarted()
	}
	serial, failure := request.Gate()
	if failure != nil {
		return nil, failure
	}
	stream := &simStream{client: client, boot: boot, park: park, mailbox: node.Mailbox(), from: node, to: request.Address, stallTimeout: request.StallTimeout, deadline: node.Now() + request.Timeout}
	park.streams[request.Address] = append(park.streams[request.Address], stream)
	park.streams[node.Name] = append(park.streams[node.Name], stream)
	if request.OnAbort != nil {
		request.OnAbort(func() { stream.mailbox.Put(streamPiece{err: errReset}) })
	}
	body := bytes.Clone(request.Body)
	try, sent := park.tries(request.ID), park.Now()
	park.Deliver(node, request.Address, func(at *sim.Node) {
		stub := park.Replicas[request.Address]
		if stub.Boot != boot {
			park.Deliver(at, node.Name, func(*sim.Node) { stream.mailbox.Put(streamPiece{err: errReset}) })
			return // the connection broke when that process of the replica ended
		}
		answer, status, rejection := stub.Arrive(body, request.ID, request.Kind, request.Home, serial, node.Name)
		if answer != nil {
			answer.served.Sent = sent
		}
		park.Arrivals = append(park.Arrivals, Arrival{At: park.Now(), Sent: sent, Replica: request.Address, Boot: stub.Boot, Daemon: node.Name, ID: request.ID, Home: request.Home, Taken: answer != nil, Try: try})
		var channel sim.Stream
		send := func(piece streamPiece) {
			park.Send(&channel, at, node.Name, func(*sim.Node) { stream.mailbox.Put(piece) })
		}
		if answer == nil {
			send(streamPiece{rejection: replica.FailureFromAnswer(status, "", rejection)})
			return
		}
		stream.answer = answer
		first := true
		for {
			if stream.closed {
				answer.Abort()
				return
			}
			event, err := answer.Next()
			if err != nil {
				if first {
					send(streamPiece{rejection: replica.FailureFromAnswer(500, "", []byte(`{"error":{"message":"failed"}}`))})
				} else {
					send(streamPiece{err: err})
				}
				return
			}
			send(streamPiece{event: event, isFirst: first})
			first = false
		}
	})
	item, ok := stream.mailbox.Take(min(stream.stallTimeout, stream.deadline-node.Now()))
	mayHaveRun := func(code string) (replica.Stream, *verdict.Error) {
		stream.Close()
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Code: code, Status: 502}
	}
	if !ok {
		return mayHaveRun("replica_cut")
	}
	piece := item.(streamPiece)
	switch {
	case piece.rejection != nil:
		stream.Close()
		return nil, piece.rejection
	case piece.err != nil:
		return mayHaveRun("replica_cut")
	}
	stream.head = &piece
	return stream, nil
}

// Next returns the next event.
func (stream *simStream) Next() ([]byte, error) {
	if stream.ended {
		return nil, io.EOF
	}
	if head := stream.head; head != nil {
		stream.head = nil
		stream.ended = replica.IsTerminalEvent(head.event)
		return head.event, nil
	}
	item, ok := stream.mailbox.Take(min(stream.stallTimeout, stream.deadline-stream.from.Now()))
	if !ok {
		return nil, replica.ErrCut
	}
	piece := item.(streamPiece)
	if piece.err != nil && !errors.Is(piece.err, io.EOF) {
		return nil, replica.ErrCut
	}
	if errors.Is(piece.err, io.EOF) {
		return nil, io.EOF
	}
	stream.ended = replica.IsTerminalEvent(piece.event)
	return piece.event, nil
}

// Close ends the stream, and cancels the request if it is still running.
func (stream *simStream) Close() {
	if stream.closed {
		return
	}
	stream.closed = true
	if stream.ended && stream.client != nil { // a stream between caller and daemon has no client
		stream.client.release(stream.to, stream.boot)
	}
	for _, name := range []string{stream.to, stream.from.Name} {
		list := stream.park.streams[name]
		for index, other := range list {
			if other == stream {
				stream.park.streams[name] = append(list[:index:index], list[index+1:]...)
				break
			}
		}
	}
	if !stream.ended && stream.answer != nil {
		answer := stream.answer
		stream.park.Deliver(stream.from, stream.to, func(*sim.Node) { answer.Abort() })
	}
}

// Probe sends a health check to a simulated replica.
func (client *replicaClient) Probe(address string, timeout time.Duration) (replica.Health, error) {
	reply, err := client.exchange(address, timeout, func(stub *Replica) (int, []byte) { return 200, stub.Probe() })
	if err != nil {
		return replica.Health{}, err
	}
	health, err := replica.ParseHealth(reply.body)
	if err == nil && health.Leaving {
		client.park.learnLeaving(address, health.Boot)
	}
	return health, err
}

// Order sends an order to load or unload weights to a simulated replica.
func (client *replicaClient) Order(address string, order replica.Order, timeout time.Duration) error {
	reply, err := client.exchange(address, timeout, func(stub *Replica) (int, []byte) {
		if stub == nil { // an engine, which takes no orders
			client.park.Strayed++
			return 404, nil
		}
		return stub.Order(order)
	})
	if err != nil {
		return err
	}
	return replica.OrderError(reply.status, "", reply.body)
}

type httpReply struct {
	status int
	body   []byte
}

func (client *replicaClient) exchange(address string, timeout time.Duration, handle func(*Replica) (int, []byte)) (httpReply, error) {
	park, node := client.park, client.node
	mailbox := node.Mailbox()
	if target := park.Node(address); !target.Up() {
		loop.Sleep(node, time.Millisecond)
		return httpReply{}, errReset
	}
	park.Deliver(node, address, func(at *sim.Node) {
		status, body := handle(park.Replicas[address])
		park.Deliver(at, node.Name, func(*sim.Node) { mailbox.Put(httpReply{status, body}) })
	})
	item, ok := mailbox.Take(timeout)
	if !ok {
		return httpReply{}, errors.New("no answer")
	}
	return item.(httpReply), nil
}

// crowd starts a stream of requests.
func (park *Park) crowd(crowd *Crowd) {
	name := "caller-" + crowd.Name
	park.zones[name] = crowd.Zone
	park.Start(name, func(node *sim.Node) {
		loop.Sleep(node, crowd.From)
		for count := 0; ; count++ {
			gap := time.Duration(park.Draw(int64(2 * crowd.Every)))
			loop.Sleep(node, gap)
			if crowd.Until > 0 && node.Now() > crowd.Until {
				return
			}
			if park.Quiet {
				continue
			}
			park.drawn++
			request := &Request{ID: fmt.Sprintf("%s.%d", crowd.Name, park.drawn), Crowd: crowd.Name, Kind: crowd.Kind, Home: crowd.Home, At: node.Now()}
			park.Requests = append(park.Requests, request)
			park.byID[request.ID] = request
			number := count
			node.Go(func() { park.request(node, crowd, request, number) })
		}
	})
}

func (park *Park) modelOf(crowd *Crowd) string {
	if crowd.Model != "" {
		return crowd.Model
	}
	return park.Model
}

func (park *Park) tries(id string) int {
	if request := park.byID[id]; request != nil {
		return request.Tries
	}
	return 0
}

// request sends one request with its retries, as a caller does that keeps to the protocol: it
// sends the same ID with a new ticket only after not_run.
func (park *Park) request(node *sim.Node, crowd *Crowd, request *Request, sequence int) {
	var addresses []string
	ticket := ""
	defer func() { request.End = node.Now() }()
	inDoubt := false // whether an earlier attempt may have run
	lane := laneKey{crowd.Name, sequence % max(1, crowd.Lanes)}
	for try := 0; try <= crowd.Retries; try++ {
		if kept, has := park.lanes[lane]; has && try == 0 && park.Now() < kept.until {
			addresses, ticket = kept.addresses, kept.ticket
		}
		if ticket == "" {
			delete(park.lanes, lane)
			addresses, ticket = park.locate(node, crowd, sequence)
			park.lanes[lane] = callerLocation{addresses, ticket, park.Now() + 54*time.Second}
			if ticket == "" {
				delete(park.lanes, lane)
				request.Verdict, request.Code = "not_run", "nowhere"
				loop.Sleep(node, park.retryDelay(crowd, try))
				continue
			}
		}
		request.Tries = try + 1
		address := addresses[try%min(2, len(addresses))]
		if !crowd.Eager {
			address = addresses[0]
		}
		if crowd.Astray && try == 0 {
			address = park.datas()[len(park.Plan.Datas)-1]
		}
		if crowd.Hasty && try == 0 {
			park.sendConcurrently(node, crowd, request, sequence, addresses, ticket)
		} else {
			request.Verdict, request.Code = park.send(node, crowd, request, sequence, address, ticket, try, 30*time.Second)
		}
		if park.Datas[address].Leaving() {
			delete(park.lanes, lane) // as the answer's header tells the caller
		}
		switch {
		case request.Verdict == "ok":
			return
		case request.Verdict == "not_run" && (!inDoubt || request.Code != "unreached"):
			ticket = "" // unreached is about this attempt only, not about earlier ones
		case !crowd.Eager:
			delete(park.lanes, lane)
			return // a caller that keeps to the protocol doesn't retry
		}
		inDoubt = inDoubt || request.Verdict != "not_run"
		loop.Sleep(node, park.retryDelay(crowd, try))
	}
}

// callerLocation is the result of a locate query that a caller with a kept-alive connection
// reuses: the daemons' addresses and a ticket, for all requests on it until one fails.
type callerLocation struct {
	addresses []string
	ticket    string
	until     time.Duration
}

type laneKey struct {
	crowd  string
	number int
}

// sendConcurrently runs several attempts of one request at the same time. If any of them may
// have run, the request may have run.
func (park *Park) sendConcurrently(node *sim.Node, crowd *Crowd, request *Request, number int, addresses []string, ticket string) {
	type ending struct{ verdict, code string }
	mailbox := node.Mailbox()
	timeout := 30 * time.Second
	if number%2 == 0 {
		timeout = 60 * time.Millisecond // gives up on the first attempt while the others run
	}
	tries := []struct {
		address, ticket string
		timeout         time.Duration
	}{{addresses[0], ticket, timeout}, {addresses[0], ticket, 30 * time.Second}, {addresses[len(addresses)-1], ticket, 30 * time.Second}, {addresses[0], "", 30 * time.Second}, {addresses[len(addresses)-1], "", 30 * time.Second}}
	for index, try := range tries {
		request.Tries = index + 1
		node.Go(func() {
			verdict, code := park.send(node, crowd, request, number, try.address, try.ticket, index, try.timeout)
			mailbox.Put(ending{verdict, code})
		})
		loop.Sleep(node, time.Duration(park.Draw(int64(40*time.Millisecond))))
	}
	request.Verdict = ""
	for range tries {
		item, _ := mailbox.Take(40 * time.Second)
		end, _ := item.(ending)
		switch {
		case request.Verdict == "ok":
		case end.verdict == "ok", request.Verdict == "", request.Verdict == "not_run":
			request.Verdict, request.Code = end.verdict, end.code
		}
	}
}

func (park *Park) retryDelay(crowd *Crowd, try int) time.Duration {
	if crowd.Eager {
		return 50 * time.Millisecond
	}
	return time.Duration(200<<min(try, 3))*time.Millisecond + time.Duration(park.Draw(int64(200*time.Millisecond)))
}

// locate queries a daemon for the addresses to send to and for a ticket. Callers know all
// daemons by name.
func (park *Park) locate(node *sim.Node, crowd *Crowd, number int) ([]string, string) {
	var near, far []string
	for _, assignment := range park.Plan.Datas {
		name, zone := split(assignment)
		if zone == crowd.Zone && !crowd.Moves {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	shuffle := func(list []string) {
		for index := len(list) - 1; index > 0; index-- {
			other := int(park.Draw(int64(index + 1)))
			list[index], list[other] = list[other], list[index]
		}
	}
	shuffle(near)
	shuffle(far)
	for _, name := range append(near, far...)[:min(4, len(near)+len(far))] {
		mailbox := node.Mailbox()
		type location struct {
			addresses []string
			ticket    string
		}
		if !park.Node(name).Up() {
			loop.Sleep(node, time.Millisecond)
			continue
		}
		park.Deliver(node, name, func(at *sim.Node) {
			var out location
			members, ticket, _, failure := park.Datas[name].Decider.Locate(park.modelOf(crowd), crowd.Kind, crowd.Home, crowd.Zone, decide.Prefix([]byte(fmt.Sprint(crowd.Name, number%max(1, crowd.Rosters)))))
			if failure == nil {
				out.ticket = ticket.Seal()
				located := Located{At: park.Now(), By: name, Home: crowd.Home}
				for _, member := range members {
					out.addresses = append(out.addresses, member.HTTP)
					located.Zones = append(located.Zones, member.Zone)
				}
				park.Locates = append(park.Locates, located)
			}
			park.Deliver(at, node.Name, func(*sim.Node) { mailbox.Put(out) })
		})
		if answer, ok := mailbox.Take(500 * time.Millisecond); ok && answer.(location).ticket != "" {
			return answer.(location).addresses, answer.(location).ticket
		}
	}
	return nil, ""
}

// sink sends the events of an answer to a caller.
type sink struct {
	execute.CallerState
	park    *Park
	at      *sim.Node
	to      *sim.Node
	mailbox loop.Mailbox
	stream  *sim.Stream
	gone    *bool
}

// Event sends one event.
func (sink *sink) Event(event []byte) error {
	if *sink.gone {
		return errReset
	}
	sink.park.Send(sink.stream, sink.at, sink.to.Name, func(*sim.Node) { sink.mailbox.Put(bytes.Clone(event)) })
	return nil
}

var _ execute.Sink = (*sink)(nil)

// send makes one attempt at a daemon and records its result for the checkers.
func (park *Park) send(node *sim.Node, crowd *Crowd, request *Request, number int, address, ticket string, try int, timeout time.Duration) (string, string) {
	sent := node.Now()
	verdict, code := park.try(node, crowd, request, number, address, ticket, try, timeout)
	park.Told = append(park.Told, Told{Sent: sent, At: node.Now(), ID: request.ID, Ticket: ticket, Daemon: address, Verdict: verdict, Code: code})
	return verdict, code
}

func (park *Park) try(node *sim.Node, crowd *Crowd, request *Request, number int, address, ticket string, try int, timeout time.Duration) (string, string) {
	target := park.Node(address)
	delay, open := park.Reach(node.Name, address)
	if !open || target.Frozen() {
		loop.Sleep(node, time.Second)
		return "not_run", "unreached"
	}
	if !target.Up() || park.closed[address] {
		loop.Sleep(node, delay)
		return "not_run", "unreached"
	}
	mailbox := node.Mailbox()
	gone := false
	daemon := park.Datas[address]
	link := &simStream{park: park, mailbox: mailbox, from: node, to: address}
	var responder *sink
	park.streams[address] = append(park.streams[address], link)
	defer func() {
		gone = true
		link.ended = true
		link.Close()
		// The daemon checks the caller's connection a few times a second.
		if seen := responder; seen != nil {
			sim := park.Node(address)
			park.At(200*time.Millisecond, func() {
				if sim.Up() {
					sim.Go(seen.Disconnect)
				}
			})
		}
	}()
	park.Deliver(node, address, func(at *sim.Node) {
		call := &decide.Call{ID: request.ID, Ticket: ticket, Model: park.modelOf(crowd), Kind: crowd.Kind, Home: crowd.Home, Path: "/v1/completions", Retried: try > 0 && !(crowd.Hasty && number%3 == 0)}
		text, failure := daemon.Enter(call, func() []byte {
			park.Entered = append(park.Entered, Entered{At: park.Now(), ID: request.ID, Daemon: address, Home: crowd.Home})
			return Prompt(park.modelOf(crowd), number%max(1, crowd.Rosters), crowd.Bytes, crowd.Tokens, request.ID)
		})
		var lane sim.Stream
		if failure == nil {
			responder = &sink{park: park, at: at, to: node, mailbox: mailbox, stream: &lane, gone: &gone}
			failure = daemon.Executor.Serve(call, text, responder)
		}
		if failure != nil {
			park.Send(&lane, at, node.Name, func(*sim.Node) { mailbox.Put(failure) })
		}
	})
	events := 0
	deadline := node.Now() + timeout
	for {
		item, ok := mailbox.Take(deadline - node.Now())
		if !ok {
			return "cut", "silent"
		}
		switch item := item.(type) {
		case streamPiece:
			return "cut", "reset"
		case *verdict.Error:
			return item.Verdict.String(), item.Code
		case []byte:
			events++
			if replica.IsTerminalEvent(item) {
				request.Wholes++
				request.Whole = events == (crowd.Tokens+Chunk-1)/Chunk+1
				return "ok", "ok"
			}
			if !bytes.Contains(item, []byte(`"`+request.ID+":")) {
				request.Foreign = true
			}
		}
	}
}
