// Package controlplane assembles a control daemon from the replicated registers, the
// session table, leader elections, data daemon leases, and each region's routing table
// and roll-outs.
package controlplane

import (
	"net/rpc"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"swifttiller/disk"
	"swifttiller/election"
	"swifttiller/lease"
	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/replica"
	"swifttiller/rollout"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/wire"
	"swifttiller/workflow"
)

// Options are a daemon's settings and its access to the outside world.
type Options struct {
	World   loop.World
	Net     wire.Net
	Process settings.Process
	// Live gives the process's current settings; nil if they never change.
	Live *settings.Live
	// Folder is the data directory; nil for a daemon without a disk.
	Folder      disk.Folder
	Incarnation string
	Replicas    replica.Client
	// Dialect, if set, is the protocol for probing replicas of models with an engine.
	Dialect  replica.Dialect
	Platform listing.Client
	Log      *zap.Logger
	// Counter, if set, holds the counts of the RPCs made through Net.
	Counter *wire.Counter
	// Point, if set, is called at named points of the code, so that tests can inject faults.
	Point func(name string)
}

// Daemon is a control daemon. It combines an acceptor of the replicated registers, a member
// of the session protocol, and a candidate for the elections of all regions and of the core.
type Daemon struct {
	Options
	*register.Client
	Acceptor  *register.Acceptor // nil without a disk
	Sessions  *session.Table
	Elections *election.Elector
	Issuer    *lease.Issuer
	Objects   *rollout.Objects
	Runs      *workflow.Journal

	startedAt time.Duration
	mu        sync.Mutex
	regions   map[string]*region
	stopped   atomic.Bool
	repaired  atomic.Int64
	tenants   tenants
	pauses    pauseDetector
	// behind tracks the acceptors with missing or outdated copies, as seen by the leader of
	// the core; silent tracks those whose daemons have no session.
	behind, silent absenceTracker
}

// RegionElection is the prefix of the names of the regions' elections. A region's leader watches the
// region's replicas, writes its routing table and drives its roll-outs.
const RegionElection = "region/"

// JanitorElection is the election whose leader garbage-collects old lease holders' records.
const JanitorElection = "janitor"

// New makes a daemon and recovers the acceptor's state from its disk. A corrupt or unreadable
// disk is an error.
func New(options Options) (*Daemon, error) {
	if options.Live == nil {
		options.Live = settings.NewLive(settings.LiveOptions{Process: options.Process})
	}
	daemon := &Daemon{Options: options, startedAt: options.World.Now(), regions: map[string]*region{}, pauses: pauseDetector{world: options.World}}
	if daemon.Log == nil {
		daemon.Log = zap.NewNop()
	}
	daemon.Client = &register.Client{Options: register.Options{
		World: options.World, Net: options.Net, Self: options.Process.Name + "." + options.Incarnation, Patience: roundTimeout,
		Locate: func(id string) string { return daemon.Sessions.Locate(id) },
	}}
	identity := ""
	if options.Folder != nil {
		acceptor, err := register.OpenAcceptor(disk.Options{World: options.World, Folder: options.Folder, LogBytes: 4 << 20}, options.Process.Name+"-"+options.Incarnation)
		if err != nil {
			return nil, err
		}
		acceptor.Moved, acceptor.Name = daemon.LearnCore, options.Process.Name
		daemon.Acceptor = acceptor
		if err := daemon.recordFirstStart(); err != nil {
			return nil, err
		}
		identity = acceptor.ID()
		daemon.Client.Own = identity
		var about register.Status
		_ = acceptor.Describe(struct{}{}, &about)
		daemon.LearnCore(about.Core)
		if about.Sealed {
			daemon.LearnCore(about.Next)
		}
	}
	daemon.Sessions = session.NewTable(session.Options{
		World: options.World, Net: options.Net, Seeds: options.Live.Seeds, Registers: daemon.Client, SessionTimeout: daemon.sessionTimeout, Describe: daemon.describeSelf, Tenants: daemon.tenants.announcement.Load,
		Self: session.Member{Name: options.Process.Name, Incarnation: options.Incarnation, Role: session.Control, Region: options.Process.Region, Zone: options.Process.Zone, Wire: options.Process.Wire, HTTP: options.Process.HTTP, Acceptor: identity},
	})
	daemon.Issuer = &lease.Issuer{IssuerOptions: lease.IssuerOptions{World: options.World, Net: options.Net, Registers: daemon.Client, Table: daemon.Sessions, ConfirmedAge: daemon.tableAge, OrderTimeout: orderQuorumTimeout}}
	daemon.Elections = &election.Elector{Options: election.Options{
		World: options.World, Registers: daemon.Client, Name: options.Process.Name, Incarnation: options.Incarnation, SessionTimeout: daemon.sessionTimeout,
		IsAlive: daemon.isAlive, Claims: daemon.claimsLeadership, HasRestarted: daemon.hasRestarted, Watched: daemon.Sessions.Age, HasRestartedSelf: daemon.Core().Epoch > 0, Wanted: daemon.elections,
	}}
	daemon.Objects = &rollout.Objects{World: options.World, Registers: daemon.Client, Name: options.Process.Name + "." + options.Incarnation, Changed: daemon.routesChanged}
	daemon.Runs = &workflow.Journal{World: options.World, Registers: daemon.Client}
	return daemon, nil
}

// routesChanged wakes the regions that are executing a timed roll-out, so that a change of a
// model's routes is published in their routing tables at once.
func (daemon *Daemon) routesChanged() {
	_, _, tree := daemon.Issuer.Current()
	if tree == nil {
		return
	}
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	for _, region := range daemon.regions {
		if region.hasUrgentRollout(tree) {
			region.computeWaker.Wake()
		}
	}
}

// roundTimeout bounds one register operation.
const roundTimeout = 2 * time.Second

// sessionTimeout is the session timeout currently configured.
func (daemon *Daemon) sessionTimeout() time.Duration { return daemon.timeLimit("session_ms") }

// timeLimit is the current value of a system-wide duration setting.
func (daemon *Daemon) timeLimit(name string) time.Duration {
	var tree *settings.Tree
	if daemon.Issuer != nil {
		_, _, tree = daemon.Issuer.Current()
	}
	return tree.Duration(name, "")
}

// sessionFraction gives times/parts of the session timeout, as a loop's interval.
func (daemon *Daemon) sessionFraction(times, parts time.Duration) func() time.Duration {
	return func() time.Duration { return times * daemon.sessionTimeout() / parts }
}

// tableAge tells whether the region's leader is maintaining the given routing table, as far
// as this daemon knows, and how long ago the leader last verified it. A live leader alone is
// not enough: without a majority of the core it can't write what it observes.
func (daemon *Daemon) tableAge(region string, read routing.Table) (time.Duration, bool) {
	leadership, known := daemon.Elections.Last(RegionElection + region)
	if !known || leadership.Serial != read.Duty {
		return 0, false
	}
	leader, isAlive := daemon.leader(leadership)
	keeping, keeps := leader.Member.Keeps[region]
	_, _, tree := daemon.Issuer.Current()
	age := leader.Age + keeping.Age
	return age, isAlive && keeps && keeping.Duty == leadership.Serial && keeping.Serial <= read.Serial && tree != nil && age < tree.Duration("permit_ms", "")
}

// leader gives the session of the daemon that won an election, if that incarnation is a member.
func (daemon *Daemon) leader(held election.Leadership) (session.Session, bool) {
	found, isMember := daemon.Sessions.Find(held.Holder)
	return found, isMember && found.Member.Role == session.Control && found.Member.Incarnation == held.Incarnation
}

// describeSelf fills in what this daemon's heartbeats announce to its peers: the elections
// that it leads and the routing tables that it maintains.
func (daemon *Daemon) describeSelf(self *session.Member) {
	self.Duties, self.Keeps = daemon.Elections.Terms(), map[string]session.TableStatus{}
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	for name, region := range daemon.regions {
		if keeping, keeps := region.maintained(); keeps {
			self.Keeps[name] = keeping
		}
	}
}

// claimsLeadership tells whether the recorded leader itself announces that it leads in that term.
func (daemon *Daemon) claimsLeadership(name string, held election.Leadership) bool {
	found, isAlive := daemon.leader(held)
	return isAlive && found.Member.Duties[name] == held.Serial
}

// isAlive tells whether that incarnation of a control daemon is a member.
func (daemon *Daemon) isAlive(name, incarnation string) bool {
	_, isAlive := daemon.leader(election.Leadership{Holder: name, Incarnation: incarnation})
	return isAlive
}

// hasRestarted tells whether another incarnation of the named daemon is a member, which
// proves that the given one has ended.
func (daemon *Daemon) hasRestarted(name, incarnation string) bool {
	found, isMember := daemon.Sessions.Find(name)
	return isMember && found.Member.Role == session.Control && found.Member.Incarnation != incarnation
}

// elections lists the elections to stand in, in order of preference: the core and this
// daemon's own region first.
func (daemon *Daemon) elections() []string {
	_, _, tree := daemon.Issuer.Current()
	if tree == nil {
		if daemon.Elections.HasRestartedSelf && daemon.Sessions.Age() < daemon.sessionTimeout() {
			return nil // reads the configuration first, so as to stand in all elections at once
		}
		return []string{CoreElection}
	}
	names := []string{}
	for _, region := range tree.Regions() {
		names = append(names, RegionElection+region)
	}
	own := RegionElection + daemon.Process.Region
	sort.SliceStable(names, func(a, b int) bool { return names[a] == own && names[b] != own })
	names = append(append([]string{CoreElection}, names...), JanitorElection)
	if tree.Limit("tenant_ms", "") > 0 {
		names = append(names, TenantElection)
	}
	return names
}

// diskless serves the register protocol of a daemon without an acceptor.
type diskless struct{ *register.Client }

// Describe reports the newest core that the daemon knows.
func (diskless diskless) Describe(_ struct{}, about *register.Status) error {
	about.Core = diskless.Core()
	return nil
}

// Services makes the RPC server that peers and data daemons call.
func (daemon *Daemon) Services() *rpc.Server {
	server := rpc.NewServer()
	mustRegister := func(name string, service any) {
		if err := server.RegisterName(name, service); err != nil {
			panic(err) // unreachable: all services are types of this module
		}
	}
	if daemon.Acceptor != nil {
		mustRegister("Register", daemon.Acceptor)
	} else {
		mustRegister("Register", diskless{daemon.Client})
	}
	mustRegister("Session", tableService{daemon.Sessions})
	mustRegister("Permit", leaseService{daemon.Issuer})
	mustRegister("Local", localService{daemon})
	mustRegister("Tenant", tenantService{daemon})
	mustRegister("Process", settings.Service{Live: daemon.Live})
	return server
}

// The services expose only the methods that are meant to be called remotely.
type (
	tableService struct{ table *session.Table }
	leaseService struct{ issuer *lease.Issuer }
)

// Beat handles a daemon's heartbeat.
func (service tableService) Beat(heartbeat session.Heartbeat, reply *session.HeartbeatReply) error {
	return service.table.Beat(heartbeat, reply)
}

// Share exchanges session tables with a peer.
func (service tableService) Share(message session.ShareMessage, reply *session.ShareMessage) error {
	return service.table.Share(message, reply)
}

// Renew grants or renews a data daemon's lease.
func (service leaseService) Renew(request lease.Request, grant *lease.Grant) error {
	return service.issuer.Renew(request, grant)
}

// Fetch returns a configuration.
func (service leaseService) Fetch(request lease.FetchRequest, update *lease.ConfigUpdate) error {
	return service.issuer.Fetch(request, update)
}

// Run starts the daemon's loops.
func (daemon *Daemon) Run() {
	world := daemon.World
	world.Go(func() { daemon.pauses.run(daemon.stopped.Load) })
	world.Go(daemon.Sessions.Run)
	world.Go(daemon.discover)
	world.Go(daemon.Elections.Run)
	world.Go(daemon.watchConfig)
	world.Go(daemon.sweepRecords)
	world.Go(daemon.reconcileMembership)
	if daemon.Acceptor != nil {
		world.Go(daemon.repairCopies)
	}
}

// discover queries the seeds and the known peers for the core: every fifteenth of the session
// timeout until the first core is formed and known, and every 4 session timeouts after that.
func (daemon *Daemon) discover() {
	loop.Every(daemon.World, func() time.Duration {
		if daemon.Core().Epoch == 0 || daemon.hasFirstStart() {
			return daemon.sessionTimeout() / 15
		}
		return 4 * daemon.sessionTimeout()
	}, func() bool {
		daemon.Discover(daemon.Sessions.PeerAddresses())
		daemon.formFirstCore()
		return !daemon.stopped.Load()
	})
}

// watchConfig polls the configuration and starts the loops of each region that it names.
func (daemon *Daemon) watchConfig() {
	loop.Every(daemon.World, daemon.sessionFraction(1, 3), func() bool {
		if daemon.Core().Epoch > 0 {
			if err := daemon.Issuer.Refresh(); err != nil {
				daemon.Log.Debug("reading the configuration failed", zap.Error(err))
			}
		}
		if _, _, tree := daemon.Issuer.Current(); tree != nil {
			for _, name := range tree.Regions() {
				daemon.ensureRegion(name)
			}
			daemon.startTenantLoops()
		}
		return !daemon.stopped.Load()
	})
}

// ensureRegion starts the region's loops unless they run already.
func (daemon *Daemon) ensureRegion(name string) {
	daemon.mu.Lock()
	_, known := daemon.regions[name]
	if !known {
		daemon.regions[name] = newRegion(daemon, name)
	}
	region := daemon.regions[name]
	daemon.mu.Unlock()
	if !known {
		region.run()
	}
}

// repairCopies compares the acceptor's registers with its peers' (anti-entropy) every 24th
// round, and in every round while it has missed a change of the core.
func (daemon *Daemon) repairCopies() {
	round := 0
	loop.Every(daemon.World, daemon.sessionFraction(1, 6), func() bool {
		if round++; round%24 != 1 && !daemon.isBehind() {
			return !daemon.stopped.Load()
		}
		repaired, err := daemon.Repair(daemon.Acceptor)
		daemon.repaired.Add(int64(repaired))
		if repaired > 0 || err != nil {
			daemon.Log.Info("copies compared", zap.Int("mended", repaired), zap.Error(err))
		}
		return !daemon.stopped.Load()
	})
}

// isBehind tells whether the acceptor has not yet installed a core that it belongs to, or was
// sealed for one.
func (daemon *Daemon) isBehind() bool {
	var about register.Status
	_ = daemon.Acceptor.Describe(struct{}{}, &about)
	core := daemon.Core()
	return about.Sealed || core.Has(about.ID) && about.Core.Epoch < core.Epoch
}

// sweepRecords garbage-collects lease holders' records while this daemon is the janitor.
func (daemon *Daemon) sweepRecords() {
	loop.Every(daemon.World, daemon.sessionFraction(4, 1), func() bool {
		if _, held := daemon.Elections.Term(JanitorElection); held {
			daemon.Issuer.RetireRecords()
		}
		return !daemon.stopped.Load()
	})
}

// Stop resigns from all elections and announces the end of this daemon's session to its
// peers, for a planned shutdown.
func (daemon *Daemon) Stop() {
	daemon.stopped.Store(true)
	daemon.Elections.Resign()
	self := daemon.Sessions.Self
	for _, peer := range daemon.Sessions.Live(session.Control) {
		if peer.Member.Name != self.Name {
			_ = daemon.Net.Call(peer.Member.Wire, "Session.Beat", session.Heartbeat{Member: self, Over: true}, new(session.HeartbeatReply), daemon.sessionTimeout()/4)
		}
	}
}
