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
	Callers                   []CallerGroup
	// Engines are replicas with a simulated inference engine. Routed are the callers whose
	// requests are routed to them by host and path.
	Engines []EngineOptions
	Routed  []RoutedCallerGroup
	Shape   RoutedShape
	// Lag is the delay until a change shows in the platform's list, Least the minimum interval
	// between two queries of it, and Grace the time that the platform gives a replica to stop.
	Lag, MinListInterval, Grace time.Duration
	// First is whether daemons are started with the setting that the system starts for the
	// first time.
	First bool
}

// CallerGroup is a stream of similar requests from one zone.
type CallerGroup struct {
	Name, Zone, Kind, Home      string
	Model                       string        // the plan's model, if empty
	Every                       time.Duration // mean time between requests
	Bytes, Tokens, PromptGroups int
	Retries                     int
	// Eager callers retry at once with the same ticket, even if the request may have run.
	Eager bool
	// Concurrent callers don't wait for the end of an answer: while the first attempt still
	// streams, they send the same ID again at once, to the same daemon and to another one,
	// with the ticket and without. Half of them give up the first attempt.
	Concurrent bool
	// From and Until bound the time in which requests are sent; 0 and 0 mean always.
	From, Until time.Duration
	// Lanes is the number of connections that the callers keep; 0 and 1 mean one.
	Lanes int
	// WrongDaemonFirst callers send their first attempt to a daemon outside the request's home region.
	WrongDaemonFirst bool
	// AnyZone makes the callers locate through daemons of any zone.
	AnyZone bool
}

// Request is one caller's request as the caller saw it.
type Request struct {
	ID, Crowd, Kind, Home string
	At, End               time.Duration
	Tries                 int
	Verdict, Code         string // ok, or those of the last error
	WrongAnswer, Whole    bool
	// CompleteAnswers counts the complete answers that reached the user, over all attempts.
	CompleteAnswers int
}

// Cluster is a whole simulated cluster that runs the product's own code.
type Cluster struct {
	*sim.Sim
	Plan
	Controls map[string]*controlplane.Daemon
	Datas    map[string]*dataplane.Daemon
	Replicas map[string]*Replica
	Platform *Platform
	Requests []*Request
	Troubles map[string]error
	Observations
	requestsByID map[string]*Request
	zones        map[string]string
	streams      map[string][]*simStream // by replica and by data daemon
	lives        int
	pastReplicas []*Replica // replaced replicas, kept for their logs
	drawn        int
	Quiet        bool // no new requests are sent
	// SeedsOf overrides the seeds of a daemon, by name, from its next start on.
	SeedsOf map[string][]string
	// InvalidSettings names the daemons whose settings file is invalid.
	InvalidSettings map[string]bool
	varied          int
	locations       map[laneKey]callerLocation
	closed          map[string]bool // daemons whose listeners are closed in a planned stop

	Engines    map[string]*Engine
	EngineList *ReplicaList
	// Runs are all requests that arrived at engines, RoutedRequests all requests of routed
	// callers.
	Runs           []*Run
	RoutedRequests []*RoutedRequest
	// EngineConnections counts connections made to engines, Repeated the answers that an engine sent
	// twice, Fallen the cold engines that crashed from overload, and Strayed the weight orders
	// that engines received although they take none.
	EngineConnections, DuplicateAnswers, ColdCrashes, EngineOrders int

	// FarBytes counts the bytes between daemons and engines of other regions, FarPrompt those
	// of them that were prompts.
	FarBytes, FarPrompt int

	pastEngines      []*Engine
	everRead         map[readKey]bool
	engineStreams    map[string][]*engineStream // by engine and by data daemon
	callerConns      map[string][]*callerConn   // by data daemon
	contentByAttempt map[string]requestContent
	attempts         map[string]*RoutedAttempt
}

// Region returns the region of a zone in the plans: the part before the first dash.
func Region(zone string) string { return strings.SplitN(zone, "-", 2)[0] }

func split(assignment string) (name, zone string) {
	name, zone, _ = strings.Cut(assignment, ":")
	return name, zone
}

// NewCluster starts a cluster, initializes its core, applies its configuration and starts its
// callers. It panics if the cluster isn't ready after 20 s.
func NewCluster(seed uint64, plan Plan) *Cluster {
	cluster := NewBareCluster(seed, plan)
	first, _ := split(plan.Controls[0])
	cluster.Must(first, func(daemon *controlplane.Daemon) error {
		_, err := daemon.Init(cluster.seeds())
		return err
	})
	cluster.Must(first, func(daemon *controlplane.Daemon) error {
		_, err := daemon.Apply([]byte(plan.Document), nil, false)
		return err
	})
	if !cluster.Until(20*time.Second, cluster.Ready) {
		panic(fmt.Sprintf("seed %d: the cluster did not become ready within 20 s", seed))
	}
	for index := range plan.Callers {
		cluster.crowd(&plan.Callers[index])
	}
	for index := range plan.Routed {
		cluster.crowdRouted(&plan.Routed[index])
	}
	return cluster
}

// NewBareCluster starts only a cluster's machines: without a core, a configuration or callers.
func NewBareCluster(seed uint64, plan Plan) *Cluster {
	cluster := NewStartingCluster(seed, plan)
	cluster.Run(300 * time.Millisecond)
	return cluster
}

// NewStartingCluster is like NewBareCluster, but no time has passed since the start yet.
func NewStartingCluster(seed uint64, plan Plan) *Cluster {
	cluster := &Cluster{Sim: sim.New(seed), Plan: plan, Controls: map[string]*controlplane.Daemon{}, Datas: map[string]*dataplane.Daemon{}, Replicas: map[string]*Replica{}, Troubles: map[string]error{}, Observations: newObservations(), requestsByID: map[string]*Request{}, locations: map[laneKey]callerLocation{}, InvalidSettings: map[string]bool{}, closed: map[string]bool{}, zones: map[string]string{}, streams: map[string][]*simStream{}}
	cluster.Engines, cluster.engineStreams, cluster.callerConns, cluster.contentByAttempt, cluster.attempts = map[string]*Engine{}, map[string][]*engineStream{}, map[string][]*callerConn{}, map[string]requestContent{}, map[string]*RoutedAttempt{}
	cluster.everRead = map[readKey]bool{}
	cluster.EngineList = &ReplicaList{cluster: cluster, lastQuery: map[string]time.Duration{}}
	cluster.Platform = NewPlatform(cluster.Now, plan.Lag, plan.MinListInterval)
	cluster.startObserver()
	for _, assignment := range append(append([]string{}, plan.Controls...), plan.Diskless...) {
		name, zone := split(assignment)
		cluster.zones[name] = zone
		cluster.StartControl(name)
	}
	for _, options := range plan.Replicas {
		cluster.zones[options.ID] = options.Zone
		cluster.StartReplica(options)
		cluster.List(options)
	}
	for _, options := range plan.Engines {
		cluster.StartEngine(options)
	}
	for _, assignment := range plan.Datas {
		name, zone := split(assignment)
		cluster.zones[name] = zone
		cluster.StartData(name)
	}
	return cluster
}

// Ready reports whether every data daemon has a valid lease and a routing table with replicas
// for every region.
func (cluster *Cluster) Ready() bool {
	for _, daemon := range cluster.Datas {
		view := daemon.Holder.View()
		if !view.IsValid(cluster.Now()) {
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

func (cluster *Cluster) seeds() (seeds []string) {
	for _, assignment := range cluster.Plan.Controls[:min(3, len(cluster.Plan.Controls))] {
		name, _ := split(assignment)
		seeds = append(seeds, name)
	}
	return seeds
}

func (cluster *Cluster) process(name string) settings.Process {
	zone := cluster.zones[name]
	seeds := cluster.SeedsOf[name]
	if seeds == nil {
		seeds = cluster.seeds()
	}
	process := settings.Process{Name: name, Zone: zone, Region: Region(zone), Wire: name, HTTP: name, Seeds: seeds, First: cluster.First}
	if len(cluster.Plan.Engines) > 0 {
		process.Door = name
	}
	return process
}

// live returns a daemon's settings, which on a reload are read again from the same source as
// at its start.
func (cluster *Cluster) live(name string) *settings.Live {
	return settings.NewLive(settings.LiveOptions{Process: cluster.process(name), Read: func() (*settings.Process, error) {
		if cluster.InvalidSettings[name] {
			return nil, settings.Problems{{Path: "$.seeds.0", Reason: "is not an IP:port"}}
		}
		process := cluster.process(name)
		return &process, nil
	}})
}

// StartControl starts a control daemon, or restarts it if it ran before.
func (cluster *Cluster) StartControl(name string) {
	cluster.lives++
	life := fmt.Sprint(cluster.lives)
	cluster.recordStart(name)
	cluster.Start(name, func(node *sim.Node) {
		var folder disk.Folder = node.Disk
		for _, assignment := range cluster.Plan.Diskless {
			if diskless, _ := split(assignment); diskless == name {
				folder = nil
			}
		}
		options := controlplane.Options{
			World: node, Net: sim.Net{Node: node}, Process: cluster.process(name), Live: cluster.live(name), Folder: folder, Incarnation: life,
			Replicas: &replicaClient{cluster, node, map[string][]idleConn{}}, Platform: &platformClient{cluster, node}, Point: func(point string) { cluster.Point(node, point) },
		}
		if len(cluster.Plan.Engines) > 0 {
			options.Dialect, options.Platform = engineDialect{client: &replicaClient{cluster, node, nil}}, &engineListClient{cluster, node}
		}
		daemon, err := controlplane.New(options)
		cluster.Troubles[name] = err
		if err != nil {
			return
		}
		cluster.Controls[name] = daemon
		node.Serve(daemon.Services())
		daemon.Run()
	})
}

// StartData starts a data daemon, or restarts it if it ran before.
func (cluster *Cluster) StartData(name string) {
	cluster.lives++
	life := fmt.Sprint(cluster.lives)
	cluster.recordStart(name)
	cluster.Start(name, func(node *sim.Node) {
		options := dataplane.Options{World: node, Net: sim.Net{Node: node}, Process: cluster.process(name), Live: cluster.live(name), Incarnation: life, Replicas: &replicaClient{cluster, node, map[string][]idleConn{}}, ProxyClient: &engineProxy{cluster, node, map[string][]*engineConn{}}}
		if len(cluster.Plan.Engines) > 0 {
			options.Probe = engineDialect{client: &replicaClient{cluster, node, nil}}.Probe
		}
		daemon := dataplane.New(options)
		cluster.Datas[name] = daemon
		node.Serve(daemon.Services())
		daemon.Run()
	})
}

// StartReplica starts a simulated replica. It replaces one with the same ID and starts cold.
func (cluster *Cluster) StartReplica(options ReplicaOptions) {
	cluster.lives++
	node := cluster.Node(options.ID)
	options.World, options.Boot, options.Address = node, fmt.Sprint("boot", cluster.lives), options.ID
	if before := cluster.Replicas[options.ID]; before != nil {
		before.Gone = cluster.Now()
		cluster.pastReplicas = append(cluster.pastReplicas, before)
	}
	cluster.zones[options.ID] = options.Zone
	cluster.Replicas[options.ID] = NewReplica(options)
	cluster.Start(options.ID, func(*sim.Node) {})
}

// List adds a replica to the platform's list.
func (cluster *Cluster) List(options ReplicaOptions) {
	model, version := "", ""
	if options.HidesVersions {
		model, version, _ = strings.Cut(options.Held[0], "/")
	}
	cluster.Platform.AddServing(Region(options.Zone), options.ID, options.ID, options.Zone, model, version)
}

// Crash kills a process of any kind; its connections break.
func (cluster *Cluster) Crash(name string) {
	cluster.Kill(name)
	for _, stream := range cluster.streams[name] {
		stream.broken(name)
	}
	delete(cluster.streams, name)
	for _, hop := range append([]*engineStream{}, cluster.engineStreams[name]...) {
		hop.broken(name)
	}
	delete(cluster.engineStreams, name)
	for _, link := range cluster.callerConns[name] {
		link.mailbox.Put(streamPiece{err: errReset})
	}
	delete(cluster.callerConns, name)
}

// Do runs a step on a control daemon and waits for its end, at most the given time.
func (cluster *Cluster) Do(name string, span time.Duration, step func(*controlplane.Daemon) error) (err error) {
	done := false
	cluster.Node(name).Go(func() { err = step(cluster.Controls[name]); done = true })
	for spent := time.Duration(0); spent < span && !done; spent += 10 * time.Millisecond {
		cluster.Run(10 * time.Millisecond)
	}
	if !done {
		return errors.New("step did not finish in time")
	}
	return err
}

// Must is Do with a limit of 20 s; it panics if the step fails.
func (cluster *Cluster) Must(name string, step func(*controlplane.Daemon) error) {
	if err := cluster.Do(name, 20*time.Second, step); err != nil {
		panic(fmt.Sprintf("seed %d at %v: step at %s: %v", cluster.Seed, cluster.Now(), name, err))
	}
}

// Until lets simulated time pass until the condition holds, at most the given time, and
// reports whether it holds.
func (cluster *Cluster) Until(span time.Duration, condition func() bool) bool {
	for spent := time.Duration(0); spent < span; spent += 50 * time.Millisecond {
		if condition() {
			return true
		}
		cluster.Run(50 * time.Millisecond)
	}
	return condition()
}

// Logs returns all requests that replicas accepted, in the order of arrival.
func (cluster *Cluster) Logs() (all []*Served) {
	for _, stub := range cluster.pastReplicas {
		all = append(all, stub.Log...)
	}
	for _, name := range cluster.ids() {
		all = append(all, cluster.Replicas[name].Log...)
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].At < all[b].At })
	return all
}

func (cluster *Cluster) ids() (names []string) {
	for name := range cluster.Replicas {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// SetZone sets the zone of a machine that isn't part of the plan.
func (cluster *Cluster) SetZone(name, zone string) { cluster.zones[name] = zone }

// Zone returns the zone of a machine.
func (cluster *Cluster) Zone(name string) string { return cluster.zones[name] }

// platformClient is a node's client of the simulated platform. No network partition affects
// it.
type platformClient struct {
	cluster *Cluster
	node    *sim.Node
}

// List queries the simulated platform for the replicas of a region.
func (client *platformClient) List(region string, _ []string, timeout time.Duration) ([]listing.Instance, error) {
	loop.Sleep(client.node, 2*time.Millisecond)
	status, body := client.cluster.Platform.List(strings.TrimPrefix(region, "http://"))
	listed, err := listing.ParseResponse(status, "", body)
	for _, instance := range listed {
		if instance.Leaving {
			client.cluster.recordTermination(instance.ID, client.cluster.terminatedBoot[instance.ID])
		}
	}
	return listed, err
}

// replicaClient is a node's client of simulated replicas. It gives the same guarantees as the
// real client.
type replicaClient struct {
	cluster   *Cluster
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
		if client.node.Now()-last.since < idleTimeout && client.cluster.Node(address).Up() && client.cluster.Replicas[address].Boot == last.boot {
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
	cluster      *Cluster
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

// Send sends a request to a simulated replica and waits for the first piece of its answer.
func (client *replicaClient) Send(request replica.Request) (replica.Stream, *verdict.Error) {
	cluster, node := client.cluster, client.node
	unreached := func(wait time.Duration) (replica.Stream, *verdict.Error) {
		loop.Sleep(node, wait)
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "replica_unreached", Status: 502}
	}
	boot, isKept := client.takeIdle(request.Address)
	if !isKept {
		delay, open := cluster.Reach(node.Name, request.Address)
		back, openBack := cluster.Reach(request.Address, node.Name)
		target := cluster.Node(request.Address)
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
		cluster.IdentityChecks++
	}
	if boot != request.Boot {
		client.release(request.Address, boot)
		return nil, replica.Restarted()
	}
	serial, failure := request.Gate()
	if failure != nil {
		return nil, failure
	}
	stream := &simStream{client: client, boot: boot, cluster: cluster, mailbox: node.Mailbox(), from: node, to: request.Address, stallTimeout: request.StallTimeout, deadline: node.Now() + request.Timeout}
	cluster.streams[request.Address] = append(cluster.streams[request.Address], stream)
	cluster.streams[node.Name] = append(cluster.streams[node.Name], stream)
	if request.OnAbort != nil {
		request.OnAbort(func() { stream.mailbox.Put(streamPiece{err: errReset}) })
	}
	body := bytes.Clone(request.Body)
	try, sent := cluster.tries(request.ID), cluster.Now()
	cluster.Deliver(node, request.Address, func(at *sim.Node) {
		stub := cluster.Replicas[request.Address]
		if stub.Boot != boot {
			cluster.Deliver(at, node.Name, func(*sim.Node) { stream.mailbox.Put(streamPiece{err: errReset}) })
			return // the connection broke when that process of the replica ended
		}
		answer, status, rejection := stub.Arrive(body, request.ID, request.Kind, request.Home, serial, node.Name)
		if answer != nil {
			answer.served.Sent = sent
		}
		cluster.Arrivals = append(cluster.Arrivals, Arrival{At: cluster.Now(), Sent: sent, Replica: request.Address, Boot: stub.Boot, Daemon: node.Name, ID: request.ID, Home: request.Home, Taken: answer != nil, Try: try})
		var channel sim.Stream
		send := func(piece streamPiece) {
			cluster.Send(&channel, at, node.Name, func(*sim.Node) { stream.mailbox.Put(piece) })
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
		list := stream.cluster.streams[name]
		for index, other := range list {
			if other == stream {
				stream.cluster.streams[name] = append(list[:index:index], list[index+1:]...)
				break
			}
		}
	}
	if !stream.ended && stream.answer != nil {
		answer := stream.answer
		stream.cluster.Deliver(stream.from, stream.to, func(*sim.Node) { answer.Abort() })
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
		client.cluster.recordTermination(address, health.Boot)
	}
	return health, err
}

// Order sends an order to load or unload weights to a simulated replica.
func (client *replicaClient) Order(address string, order replica.Order, timeout time.Duration) error {
	reply, err := client.exchange(address, timeout, func(stub *Replica) (int, []byte) {
		if stub == nil { // an engine, which takes no orders
			client.cluster.EngineOrders++
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
	cluster, node := client.cluster, client.node
	mailbox := node.Mailbox()
	if target := cluster.Node(address); !target.Up() {
		loop.Sleep(node, time.Millisecond)
		return httpReply{}, errReset
	}
	cluster.Deliver(node, address, func(at *sim.Node) {
		status, body := handle(cluster.Replicas[address])
		cluster.Deliver(at, node.Name, func(*sim.Node) { mailbox.Put(httpReply{status, body}) })
	})
	item, ok := mailbox.Take(timeout)
	if !ok {
		return httpReply{}, errors.New("no reply before the timeout")
	}
	return item.(httpReply), nil
}

// crowd starts a stream of requests.
func (cluster *Cluster) crowd(crowd *CallerGroup) {
	name := "caller-" + crowd.Name
	cluster.zones[name] = crowd.Zone
	cluster.Start(name, func(node *sim.Node) {
		loop.Sleep(node, crowd.From)
		for count := 0; ; count++ {
			gap := time.Duration(cluster.Draw(int64(2 * crowd.Every)))
			loop.Sleep(node, gap)
			if crowd.Until > 0 && node.Now() > crowd.Until {
				return
			}
			if cluster.Quiet {
				continue
			}
			cluster.drawn++
			request := &Request{ID: fmt.Sprintf("%s.%d", crowd.Name, cluster.drawn), Crowd: crowd.Name, Kind: crowd.Kind, Home: crowd.Home, At: node.Now()}
			cluster.Requests = append(cluster.Requests, request)
			cluster.requestsByID[request.ID] = request
			number := count
			node.Go(func() { cluster.request(node, crowd, request, number) })
		}
	})
}

func (cluster *Cluster) modelOf(crowd *CallerGroup) string {
	if crowd.Model != "" {
		return crowd.Model
	}
	return cluster.Model
}

func (cluster *Cluster) tries(id string) int {
	if request := cluster.requestsByID[id]; request != nil {
		return request.Tries
	}
	return 0
}

// request sends one request with its retries, as a caller does that keeps to the protocol: it
// sends the same ID with a new ticket only after not_run.
func (cluster *Cluster) request(node *sim.Node, crowd *CallerGroup, request *Request, sequence int) {
	var addresses []string
	ticket := ""
	defer func() { request.End = node.Now() }()
	mayHaveRun := false // whether an earlier attempt may have run
	lane := laneKey{crowd.Name, sequence % max(1, crowd.Lanes)}
	for try := 0; try <= crowd.Retries; try++ {
		if location, isCached := cluster.locations[lane]; isCached && try == 0 && cluster.Now() < location.until {
			addresses, ticket = location.addresses, location.ticket
		}
		if ticket == "" {
			delete(cluster.locations, lane)
			addresses, ticket = cluster.locate(node, crowd, sequence)
			cluster.locations[lane] = callerLocation{addresses, ticket, cluster.Now() + 54*time.Second}
			if ticket == "" {
				delete(cluster.locations, lane)
				request.Verdict, request.Code = "not_run", "nowhere"
				loop.Sleep(node, cluster.retryDelay(crowd, try))
				continue
			}
		}
		request.Tries = try + 1
		address := addresses[try%min(2, len(addresses))]
		if !crowd.Eager {
			address = addresses[0]
		}
		if crowd.WrongDaemonFirst && try == 0 {
			address = cluster.dataDaemons()[len(cluster.Plan.Datas)-1]
		}
		if crowd.Concurrent && try == 0 {
			cluster.sendConcurrently(node, crowd, request, sequence, addresses, ticket)
		} else {
			request.Verdict, request.Code = cluster.send(node, crowd, request, sequence, address, ticket, try, 30*time.Second)
		}
		if cluster.Datas[address].Leaving() {
			delete(cluster.locations, lane) // as the answer's header tells the caller
		}
		switch {
		case request.Verdict == "ok":
			return
		case request.Verdict == "not_run" && (!mayHaveRun || request.Code != "unreached"):
			ticket = "" // unreached is about this attempt only, not about earlier ones
		case !crowd.Eager:
			delete(cluster.locations, lane)
			return // a caller that keeps to the protocol doesn't retry
		}
		mayHaveRun = mayHaveRun || request.Verdict != "not_run"
		loop.Sleep(node, cluster.retryDelay(crowd, try))
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
func (cluster *Cluster) sendConcurrently(node *sim.Node, crowd *CallerGroup, request *Request, number int, addresses []string, ticket string) {
	type outcome struct{ verdict, code string }
	mailbox := node.Mailbox()
	timeout := 30 * time.Second
	if number%2 == 0 {
		timeout = 60 * time.Millisecond // gives up on the first attempt while the others run
	}
	attempts := []struct {
		address, ticket string
		timeout         time.Duration
	}{{addresses[0], ticket, timeout}, {addresses[0], ticket, 30 * time.Second}, {addresses[len(addresses)-1], ticket, 30 * time.Second}, {addresses[0], "", 30 * time.Second}, {addresses[len(addresses)-1], "", 30 * time.Second}}
	for index, try := range attempts {
		request.Tries = index + 1
		node.Go(func() {
			verdict, code := cluster.send(node, crowd, request, number, try.address, try.ticket, index, try.timeout)
			mailbox.Put(outcome{verdict, code})
		})
		loop.Sleep(node, time.Duration(cluster.Draw(int64(40*time.Millisecond))))
	}
	request.Verdict = ""
	for range attempts {
		item, _ := mailbox.Take(40 * time.Second)
		end, _ := item.(outcome)
		switch {
		case request.Verdict == "ok":
		case end.verdict == "ok", request.Verdict == "", request.Verdict == "not_run":
			request.Verdict, request.Code = end.verdict, end.code
		}
	}
}

func (cluster *Cluster) retryDelay(crowd *CallerGroup, try int) time.Duration {
	if crowd.Eager {
		return 50 * time.Millisecond
	}
	return time.Duration(200<<min(try, 3))*time.Millisecond + time.Duration(cluster.Draw(int64(200*time.Millisecond)))
}

// locate queries a daemon for the addresses to send to and for a ticket. Callers know the
// addresses of all daemons.
func (cluster *Cluster) locate(node *sim.Node, crowd *CallerGroup, number int) ([]string, string) {
	var near, far []string
	for _, assignment := range cluster.Plan.Datas {
		name, zone := split(assignment)
		if zone == crowd.Zone && !crowd.AnyZone {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	shuffle := func(list []string) {
		for index := len(list) - 1; index > 0; index-- {
			other := int(cluster.Draw(int64(index + 1)))
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
		if !cluster.Node(name).Up() {
			loop.Sleep(node, time.Millisecond)
			continue
		}
		cluster.Deliver(node, name, func(at *sim.Node) {
			var out location
			members, ticket, _, failure := cluster.Datas[name].Decider.Locate(cluster.modelOf(crowd), crowd.Kind, crowd.Home, crowd.Zone, decide.Prefix([]byte(fmt.Sprint(crowd.Name, number%max(1, crowd.PromptGroups)))))
			if failure == nil {
				out.ticket = ticket.Seal()
				located := LocateReply{At: cluster.Now(), By: name, Home: crowd.Home}
				for _, member := range members {
					out.addresses = append(out.addresses, member.HTTP)
					located.Zones = append(located.Zones, member.Zone)
				}
				cluster.LocateReplies = append(cluster.LocateReplies, located)
			}
			cluster.Deliver(at, node.Name, func(*sim.Node) { mailbox.Put(out) })
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
	cluster  *Cluster
	at       *sim.Node
	to       *sim.Node
	mailbox  loop.Mailbox
	stream   *sim.Stream
	isClosed *bool
}

// Event sends one event.
func (sink *sink) Event(event []byte) error {
	if *sink.isClosed {
		return errReset
	}
	sink.cluster.Send(sink.stream, sink.at, sink.to.Name, func(*sim.Node) { sink.mailbox.Put(bytes.Clone(event)) })
	return nil
}

var _ execute.Sink = (*sink)(nil)

// send makes one attempt at a daemon and records its result for the checkers.
func (cluster *Cluster) send(node *sim.Node, crowd *CallerGroup, request *Request, number int, address, ticket string, try int, timeout time.Duration) (string, string) {
	sent := node.Now()
	verdict, code := cluster.try(node, crowd, request, number, address, ticket, try, timeout)
	cluster.Outcomes = append(cluster.Outcomes, AttemptOutcome{Sent: sent, At: node.Now(), ID: request.ID, Ticket: ticket, Daemon: address, Verdict: verdict, Code: code})
	return verdict, code
}

func (cluster *Cluster) try(node *sim.Node, crowd *CallerGroup, request *Request, number int, address, ticket string, try int, timeout time.Duration) (string, string) {
	target := cluster.Node(address)
	delay, open := cluster.Reach(node.Name, address)
	if !open || target.Frozen() {
		loop.Sleep(node, time.Second)
		return "not_run", "unreached"
	}
	if !target.Up() || cluster.closed[address] {
		loop.Sleep(node, delay)
		return "not_run", "unreached"
	}
	mailbox := node.Mailbox()
	isClosed := false
	daemon := cluster.Datas[address]
	conn := &simStream{cluster: cluster, mailbox: mailbox, from: node, to: address}
	var responder *sink
	cluster.streams[address] = append(cluster.streams[address], conn)
	defer func() {
		isClosed = true
		conn.ended = true
		conn.Close()
		// The daemon checks the caller's connection a few times a second.
		if callerSink := responder; callerSink != nil {
			machine := cluster.Node(address)
			cluster.At(200*time.Millisecond, func() {
				if machine.Up() {
					machine.Go(callerSink.Disconnect)
				}
			})
		}
	}()
	cluster.Deliver(node, address, func(at *sim.Node) {
		call := &decide.Call{ID: request.ID, Ticket: ticket, Model: cluster.modelOf(crowd), Kind: crowd.Kind, Home: crowd.Home, Path: "/v1/completions", Retried: try > 0 && !(crowd.Concurrent && number%3 == 0)}
		text, failure := daemon.Enter(call, func() []byte {
			cluster.Entered = append(cluster.Entered, BodyRead{At: cluster.Now(), ID: request.ID, Daemon: address, Home: crowd.Home})
			return Prompt(cluster.modelOf(crowd), number%max(1, crowd.PromptGroups), crowd.Bytes, crowd.Tokens, request.ID)
		})
		var messages sim.Stream
		if failure == nil {
			responder = &sink{cluster: cluster, at: at, to: node, mailbox: mailbox, stream: &messages, isClosed: &isClosed}
			failure = daemon.Executor.Serve(call, text, responder)
		}
		if failure != nil {
			cluster.Send(&messages, at, node.Name, func(*sim.Node) { mailbox.Put(failure) })
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
				request.CompleteAnswers++
				request.Whole = events == (crowd.Tokens+Chunk-1)/Chunk+1
				return "ok", "ok"
			}
			if !bytes.Contains(item, []byte(`"`+request.ID+":")) {
				request.WrongAnswer = true
			}
		}
	}
}
