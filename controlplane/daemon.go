// Package controlplane puts a control daemon together: registers, sessions,
// duties, permits, and the regions' standings and roll-outs.
package controlplane

import (
	"net/rpc"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"swifttiller/disk"
	"swifttiller/duty"
	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/register"
	"swifttiller/replica"
	"swifttiller/rollout"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/wire"
	"swifttiller/workflow"
)

// Options of a daemon: its place, and the outside world.
type Options struct {
	World   loop.World
	Net     wire.Net
	Process settings.Process
	// Live are the process's settings as they stand; nil when they never change.
	Live *settings.Live
	// Folder is the data folder; nil for a daemon without a disk.
	Folder      disk.Folder
	Incarnation string
	Replicas    replica.Client
	// Dialect, if set, is how replicas of models with an engine are asked.
	Dialect  replica.Dialect
	Platform listing.Client
	Log      *zap.Logger
	// Counter, if set, is what Net counts its calls with.
	Counter *wire.Counter
	// Point is told of numbered points, for faults in tests.
	Point func(name string)
}

// Daemon is a control daemon.
type Daemon struct {
	Options
	*register.Keeper
	Acceptor *register.Acceptor // nil without a disk
	Table    *session.Table
	Duties   *duty.Keeper
	Office   *permit.Office
	Objects  *rollout.Objects
	Book     *workflow.Book

	mu       sync.Mutex
	regions  map[string]*region
	stopped  atomic.Bool
	repaired atomic.Int64
	tenants  tenants
	pauses   pauseDetector
	// behind are acceptors that lack copies, as the holder of the core's duty sees them, and
	// unheard those without a session.
	behind, silent absenceTracker
}

// RegionDuty is the duty that covers a region: its replicas, standing and runs.
const RegionDuty = "region/"

// JanitorDuty is the duty that retires old records.
const JanitorDuty = "janitor"

// New makes a daemon and brings its disk back; a bad disk is an error.
func New(options Options) (*Daemon, error) {
	if options.Live == nil {
		options.Live = settings.NewLive(settings.LiveOptions{Process: options.Process})
	}
	daemon := &Daemon{Options: options, regions: map[string]*region{}, pauses: pauseDetector{world: options.World}}
	if daemon.Log == nil {
		daemon.Log = zap.NewNop()
	}
	daemon.Keeper = &register.Keeper{Options: register.Options{
		World: options.World, Net: options.Net, Self: options.Process.Name + "." + options.Incarnation, Patience: roundTimeout,
		Locate: func(id string) string { return daemon.Table.Locate(id) },
	}}
	identity := ""
	if options.Folder != nil {
		acceptor, err := register.OpenAcceptor(disk.Options{World: options.World, Folder: options.Folder, LogBytes: 4 << 20}, options.Process.Name+"-"+options.Incarnation)
		if err != nil {
			return nil, err
		}
		acceptor.Moved, acceptor.Name = daemon.Learn, options.Process.Name
		daemon.Acceptor = acceptor
		identity = acceptor.ID()
		daemon.Keeper.Own = identity
		var about register.About
		_ = acceptor.Describe(struct{}{}, &about)
		daemon.Learn(about.Core)
		if about.Sealed {
			daemon.Learn(about.Next)
		}
	}
	daemon.Table = session.NewTable(session.Options{
		World: options.World, Net: options.Net, Seeds: options.Live.Seeds, Keeper: daemon.Keeper, Span: daemon.sessionTimeout, Tell: daemon.describeSelf, Tenants: daemon.tenants.announcement.Load,
		Self: session.Member{Name: options.Process.Name, Incarnation: options.Incarnation, Role: session.Control, Region: options.Process.Region, Zone: options.Process.Zone, Wire: options.Process.Wire, HTTP: options.Process.HTTP, Acceptor: identity},
	})
	daemon.Office = &permit.Office{Options: permit.Options{World: options.World, Net: options.Net, Keeper: daemon.Keeper, Table: daemon.Table, Kept: daemon.tableAge, Silence: orderQuorumTimeout}}
	daemon.Duties = &duty.Keeper{Options: duty.Options{
		World: options.World, Keeper: daemon.Keeper, Name: options.Process.Name, Incarnation: options.Incarnation, Span: daemon.sessionTimeout,
		Alive: daemon.isAlive, Claims: daemon.claimsLeadership, Reborn: daemon.hasRestarted, Watched: daemon.Table.Watched, IsBack: daemon.Core().Epoch > 0, Wanted: daemon.elections,
	}}
	daemon.Objects = &rollout.Objects{World: options.World, Keeper: daemon.Keeper, Name: options.Process.Name + "." + options.Incarnation, Changed: daemon.routesChanged}
	daemon.Book = &workflow.Book{World: options.World, Keeper: daemon.Keeper}
	return daemon, nil
}

// routesChanged makes the regions' standings show at once what was written of a model's routes,
// where an order under a term is under way.
func (daemon *Daemon) routesChanged() {
	_, _, tree := daemon.Office.Current()
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

// roundTimeout bounds one operation on a register.
const roundTimeout = 2 * time.Second

// sessionTimeout is the session bound in force.
func (daemon *Daemon) sessionTimeout() time.Duration { return daemon.timeLimit("session_ms") }

// timeLimit is a limit of time in force for the whole system.
func (daemon *Daemon) timeLimit(name string) time.Duration {
	var tree *settings.Tree
	if daemon.Office != nil {
		_, _, tree = daemon.Office.Current()
	}
	return tree.Span(name, "")
}

// sessionFraction is a ratio of the session bound, as a loop's span.
func (daemon *Daemon) sessionFraction(times, parts time.Duration) func() time.Duration {
	return func() time.Duration { return times * daemon.sessionTimeout() / parts }
}

// tableAge tells whether the region's standing, as read, is kept up to date, as far as
// this daemon has seen: how long ago the holder of the duty that it was written
// under found it to be so. That the holder is alive is not enough: without a
// majority of the core it can't write what it sees.
func (daemon *Daemon) tableAge(region string, read standing.Standing) (time.Duration, bool) {
	duty, known := daemon.Duties.Last(RegionDuty + region)
	if !known || duty.Serial != read.Duty {
		return 0, false
	}
	holder, isAlive := daemon.leader(duty)
	keeping, keeps := holder.Member.Keeps[region]
	_, _, tree := daemon.Office.Current()
	age := holder.Age + keeping.Age
	return age, isAlive && keeps && keeping.Duty == duty.Serial && keeping.Serial <= read.Serial && tree != nil && age < tree.Span("permit_ms", "")
}

// leader gives the session of a duty's holder, if it is a member.
func (daemon *Daemon) leader(held duty.Duty) (session.Session, bool) {
	found, isMember := daemon.Table.Find(held.Holder)
	return found, isMember && found.Member.Role == session.Control && found.Member.Incarnation == held.Incarnation
}

// describeSelf tells the colleagues which duties this daemon holds and which standings it
// keeps.
func (daemon *Daemon) describeSelf(self *session.Member) {
	self.Duties, self.Keeps = daemon.Duties.Holds(), map[string]session.Keeping{}
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	for name, region := range daemon.regions {
		if keeping, keeps := region.maintained(); keeps {
			self.Keeps[name] = keeping
		}
	}
}

// claimsLeadership tells whether the holder of a duty says itself that it holds it.
func (daemon *Daemon) claimsLeadership(name string, held duty.Duty) bool {
	found, isAlive := daemon.leader(held)
	return isAlive && found.Member.Duties[name] == held.Serial
}

func (daemon *Daemon) isAlive(name, incarnation string) bool {
	_, isAlive := daemon.leader(duty.Duty{Holder: name, Incarnation: incarnation})
	return isAlive
}

// hasRestarted tells whether another incarnation of that name is a member, which
// proves that the given one is gone.
func (daemon *Daemon) hasRestarted(name, incarnation string) bool {
	found, isMember := daemon.Table.Find(name)
	return isMember && found.Member.Role == session.Control && found.Member.Incarnation != incarnation
}

// elections lists what there is to do, the core and this daemon's own region first.
func (daemon *Daemon) elections() []string {
	_, _, tree := daemon.Office.Current()
	if tree == nil {
		if daemon.Duties.IsBack && daemon.Table.Watched() < daemon.sessionTimeout() {
			return nil // the configuration is read first, and then all are run for together
		}
		return []string{CoreDuty}
	}
	names := []string{}
	for _, region := range tree.Regions() {
		names = append(names, RegionDuty+region)
	}
	own := RegionDuty + daemon.Process.Region
	sort.SliceStable(names, func(a, b int) bool { return names[a] == own && names[b] != own })
	names = append(append([]string{CoreDuty}, names...), JanitorDuty)
	if tree.Limit("tenant_ms", "") > 0 {
		names = append(names, TenantDuty)
	}
	return names
}

// diskless answers for a daemon that is no acceptor.
type diskless struct{ *register.Keeper }

// Describe tells the core that the daemon knows.
func (diskless diskless) Describe(_ struct{}, about *register.About) error {
	about.Core = diskless.Core()
	return nil
}

// Services registers what colleagues call.
func (daemon *Daemon) Services() *rpc.Server {
	server := rpc.NewServer()
	register := func(name string, service any) {
		if err := server.RegisterName(name, service); err != nil {
			panic(err) // only our own types come here
		}
	}
	if daemon.Acceptor != nil {
		register("Register", daemon.Acceptor)
	} else {
		register("Register", diskless{daemon.Keeper})
	}
	register("Session", tableService{daemon.Table})
	register("Permit", officeService{daemon.Office})
	register("Local", localService{daemon})
	register("Tenant", tenantService{daemon})
	register("Process", settings.Service{Live: daemon.Live})
	return server
}

// The services show only what is meant for the wire.
type (
	tableService  struct{ table *session.Table }
	officeService struct{ office *permit.Office }
)

// Beat takes a daemon's word.
func (service tableService) Beat(beat session.Beat, answer *session.Answer) error {
	return service.table.Beat(beat, answer)
}

// Share exchanges sessions.
func (service tableService) Share(shared session.Shared, back *session.Shared) error {
	return service.table.Share(shared, back)
}

// Renew grants permits.
func (service officeService) Renew(ask permit.Ask, grant *permit.Grant) error {
	return service.office.Renew(ask, grant)
}

// Fetch gives configurations.
func (service officeService) Fetch(want permit.Want, edition *permit.Edition) error {
	return service.office.Fetch(want, edition)
}

// Run starts the daemon's loops.
func (daemon *Daemon) Run() {
	world := daemon.World
	world.Go(func() { daemon.pauses.run(daemon.stopped.Load) })
	world.Go(daemon.Table.Run)
	world.Go(daemon.discover)
	world.Go(daemon.Duties.Run)
	world.Go(daemon.watchConfig)
	world.Go(daemon.sweepRecords)
	world.Go(daemon.reconcileMembership)
	if daemon.Acceptor != nil {
		world.Go(daemon.repairCopies)
	}
}

// discover asks the seeds and whoever else is known for the core, often while none
// is known and seldom later.
func (daemon *Daemon) discover() {
	loop.Every(daemon.World, func() time.Duration {
		if daemon.Core().Epoch == 0 {
			return daemon.sessionTimeout() / 15
		}
		return 4 * daemon.sessionTimeout()
	}, func() bool {
		daemon.Discover(daemon.Table.Colleagues())
		daemon.initFirstCore()
		return !daemon.stopped.Load()
	})
}

// watchConfig reads the configuration and keeps one task per region.
func (daemon *Daemon) watchConfig() {
	loop.Every(daemon.World, daemon.sessionFraction(1, 3), func() bool {
		if daemon.Core().Epoch > 0 {
			if err := daemon.Office.Refresh(); err != nil {
				daemon.Log.Debug("the configuration can't be read", zap.Error(err))
			}
		}
		if _, _, tree := daemon.Office.Current(); tree != nil {
			for _, name := range tree.Regions() {
				daemon.ensureRegion(name)
			}
			daemon.startTenantLoops()
		}
		return !daemon.stopped.Load()
	})
}

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

// repairCopies compares this disk's copies with the colleagues', and at once where it has
// missed a change of the core.
func (daemon *Daemon) repairCopies() {
	turn := 0
	loop.Every(daemon.World, daemon.sessionFraction(1, 6), func() bool {
		if turn++; turn%24 != 1 && !daemon.isBehind() {
			return !daemon.stopped.Load()
		}
		mended, err := daemon.Repair(daemon.Acceptor)
		daemon.repaired.Add(int64(mended))
		if mended > 0 || err != nil {
			daemon.Log.Info("copies compared", zap.Int("mended", mended), zap.Error(err))
		}
		return !daemon.stopped.Load()
	})
}

// isBehind tells whether this acceptor belongs to a core that it has not taken over,
// or gave up what it holds for one.
func (daemon *Daemon) isBehind() bool {
	var about register.About
	_ = daemon.Acceptor.Describe(struct{}{}, &about)
	core := daemon.Core()
	return about.Sealed || core.Has(about.ID) && about.Core.Epoch < core.Epoch
}

func (daemon *Daemon) sweepRecords() {
	loop.Every(daemon.World, daemon.sessionFraction(4, 1), func() bool {
		if _, held := daemon.Duties.Held(JanitorDuty); held {
			daemon.Office.Sweep()
		}
		return !daemon.stopped.Load()
	})
}

// Stop lets go of duties and tells the colleagues, for a planned stop.
func (daemon *Daemon) Stop() {
	daemon.stopped.Store(true)
	daemon.Duties.Resign()
	self := daemon.Table.Self
	for _, peer := range daemon.Table.Live(session.Control) {
		if peer.Member.Name != self.Name {
			_ = daemon.Net.Call(peer.Member.Wire, "Session.Beat", session.Beat{Member: self, Over: true}, new(session.Answer), daemon.sessionTimeout()/4)
		}
	}
}
