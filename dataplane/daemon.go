// Package dataplane assembles a data daemon: session client, lease holder, decider, executor, rate
// limiter and the HTTP endpoint for callers.
package dataplane

import (
	"net/rpc"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"swifttiller/decide"
	"swifttiller/execute"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/quota"
	"swifttiller/replica"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/verdict"
	"swifttiller/wire"
)

// Options configures a daemon: its identity and its connections to other processes.
type Options struct {
	World   loop.World
	Net     wire.Net
	Process settings.Process
	// Live holds the current settings of the process; nil if they never change.
	Live        *settings.Live
	Incarnation string
	Replicas    replica.Client
	// ProxyClient, if set, is the client for routed requests.
	ProxyClient execute.ProxyClient
	// Probe, if set, probes the health of a replica whose model has an engine.
	Probe      func(target replica.Target, timeout time.Duration) (replica.Health, error)
	Log        *zap.Logger
	OnFinished func(execute.Record)
}

// Daemon is a data daemon.
type Daemon struct {
	Options
	Client    *session.Client
	Holder    *lease.Holder
	Decider   *decide.Decider
	Limiter   *quota.Limiter
	Executor  *execute.Executor
	startedAt time.Duration
	leaving   atomic.Bool
	// wasMoving is true if the previous view had versions that were being moved.
	wasMoving    atomic.Bool
	callers      callerWatch
	cachedLimits atomic.Pointer[cachedLimits]
	prober       *loop.Waker
}

// New makes a daemon. It holds no lease yet.
func New(options Options) *Daemon {
	if options.Live == nil {
		options.Live = settings.NewLive(settings.LiveOptions{Process: options.Process})
	}
	daemon := &Daemon{Options: options, startedAt: options.World.Now(), prober: loop.NewWaker(options.World)}
	if daemon.Log == nil {
		daemon.Log = zap.NewNop()
	}
	daemon.Client = &session.Client{
		World: options.World, Net: options.Net, Seeds: options.Live.Seeds, Region: options.Process.Region, Zone: options.Process.Zone, Name: options.Process.Name, SessionTimeout: daemon.sessionInterval,
		Describe: func() session.Heartbeat {
			return session.Heartbeat{Member: daemon.Self(), Report: daemon.Decider.Report()}
		},
	}
	daemon.Limiter = quota.NewLimiter(quota.Options{World: options.World, Net: options.Net, Self: daemon.Self(), Limits: daemon.limits, Members: func() ([]session.Member, time.Duration) {
		view := daemon.Holder.View()
		return view.Members, view.Deadline
	}})
	daemon.Decider = decide.New(decide.Options{
		World: options.World, Net: options.Net, Self: daemon.Self(), StartedAt: daemon.startedAt, Quota: daemon.Limiter,
		View: func() *lease.View { return daemon.Holder.View() }, OnChoice: daemon.choices(),
		ReportNow: daemon.Client.HeartbeatNow,
	})
	daemon.Holder = lease.NewHolder(lease.HolderOptions{
		World: options.World, Client: daemon.Client, Self: daemon.Self,
		OnChange: func(view *lease.View) {
			daemon.Decider.WakeQueue()
			if len(view.Unconfirmed) > 0 {
				daemon.prober.Wake()
			}
			if daemon.wasMoving.Swap(view.HasVersionChange) || view.HasVersionChange {
				daemon.Client.HeartbeatNow() // a rollout step waits until this daemon has reported that it has seen the move
			}
		},
	})
	daemon.Executor = &execute.Executor{Options: execute.Options{
		World: options.World, Decider: daemon.Decider, Client: options.Replicas, ProxyClient: options.ProxyClient, Holder: daemon.Holder.View, Log: options.Log, OnFinished: options.OnFinished,
	}}
	return daemon
}

func (daemon *Daemon) sessionInterval() time.Duration {
	var tree *settings.Tree
	if daemon.Holder != nil {
		tree = daemon.Holder.View().Tree
	}
	return tree.Duration("session_ms", "")
}

// Leaving reports whether a planned stop has begun. Callers are then asked to locate another daemon
// before their next request.
func (daemon *Daemon) Leaving() bool { return daemon.leaving.Load() }

// Self returns the membership entry of this daemon.
func (daemon *Daemon) Self() session.Member {
	process := daemon.Process
	return session.Member{
		Name: process.Name, Incarnation: daemon.Incarnation, Role: session.Data, Region: process.Region, Zone: process.Zone,
		Wire: process.Wire, HTTP: process.HTTP, Door: process.Door, Uptime: daemon.World.Now() - daemon.startedAt, Leaving: daemon.leaving.Load(),
	}
}

type (
	leaseService  struct{ holder *lease.Holder }
	ticketService struct{ decider *decide.Decider }
	healthService struct{ decider *decide.Decider }
)

// Take applies a configuration that the lease issuer offers.
func (service leaseService) Take(offer lease.Offer, taken *lease.OfferReply) error {
	return service.holder.Take(offer, taken)
}

// Heed accepts an announcement that replicas are about to stop.
func (service leaseService) Heed(notice lease.DepartureNotice, acknowledged *bool) error {
	return service.holder.Heed(notice, acknowledged)
}

// Settle replies to a claim on a ticket.
func (service ticketService) Settle(claim decide.Claim, claimed *decide.Claimed) error {
	return service.decider.Settle(claim, claimed)
}

// Inherit takes over the tickets of a peer that stops.
func (service ticketService) Inherit(handover decide.TicketHandover, taken *bool) error {
	return service.decider.Inherit(handover, taken)
}

// Inherits replies with this daemon's incarnation if it took over the tickets of the given one.
func (service ticketService) Inherits(incarnation string, successor *string) error {
	return service.decider.Inherits(incarnation, successor)
}

// Report accepts the health reports on replicas of a peer in the region.
func (service healthService) Report(reports decide.HealthReports, isTaken *bool) error {
	service.decider.TakeReports(reports)
	*isTaken = true
	return nil
}

// Services registers the RPC services that other daemons call.
func (daemon *Daemon) Services() *rpc.Server {
	server := rpc.NewServer()
	for name, service := range map[string]any{"Permit": leaseService{daemon.Holder}, "Ticket": ticketService{daemon.Decider}, "Health": healthService{daemon.Decider}, "Process": settings.Service{Live: daemon.Live}, "Quota": quota.Service{Meter: daemon.Limiter}} {
		if err := server.RegisterName(name, service); err != nil {
			panic(err) // fails only if a service type of this package has no suitable methods
		}
	}
	return server
}

// Run starts the background loops of the daemon.
func (daemon *Daemon) Run() {
	daemon.World.Go(daemon.Client.Run)
	daemon.World.Go(daemon.Holder.Run)
	daemon.World.Go(daemon.Limiter.Run)
	if client, ok := daemon.ProxyClient.(*replica.Proxy); ok {
		daemon.World.Go(func() { daemon.maintain(client) })
	}
	if daemon.Probe != nil {
		daemon.World.Go(daemon.probeReplicas)
	}
	daemon.World.Go(daemon.logView)
	if daemon.Process.First {
		daemon.World.Go(daemon.announceFirstStart)
	}
}

// logView logs when the lease becomes valid or invalid, and each configuration version that it
// finds in force. Together with the log lines of the control daemons on finished changes this shows
// which daemon applied a change late. It runs in its own loop so that slow log writes do not delay
// the view.
func (daemon *Daemon) logView() {
	wasValid, before := false, uint64(0)
	loop.Every(daemon.World, func() time.Duration { return daemon.sessionInterval() / 6 }, func() bool {
		view := daemon.Holder.View()
		if isValid := view.IsValid(daemon.World.Now()); isValid != wasValid {
			wasValid = isValid
			reason := ""
			if rejected := daemon.Holder.RejectReason.Load(); rejected != nil {
				reason = *rejected
			}
			daemon.Log.Info("permit", zap.Bool("stands", isValid), zap.Uint64("serial", view.Serial), zap.String("reason", reason))
		}
		if view.Tree != nil && view.Serial != before {
			daemon.Log.Info("configuration version is in force", zap.Uint64("serial", view.Serial), zap.Uint64("label", view.Tree.Label()), zap.Uint64("before", before),
				zap.Duration("lease_left", view.Deadline-daemon.World.Now()), zap.Bool("stopping", daemon.leaving.Load()))
			before = view.Serial
		}
		return true
	})
}

// Enter admits a call and estimates its cost, or rejects it. The body is read only once the headers
// have been accepted.
func (daemon *Daemon) Enter(call *decide.Call, body func() []byte) ([]byte, *verdict.Error) {
	if failure := daemon.Decider.Allow(call); failure != nil {
		daemon.Executor.RecordRejected(call, failure)
		return nil, failure
	}
	content := body()
	if failure := daemon.Decider.ReadCost(call, content); failure != nil {
		daemon.Decider.Settled(call, failure)
		daemon.Executor.RecordRejected(call, failure)
		return nil, failure
	}
	return content, nil
}

// Limits of a planned stop.
const (
	// maxListLifetimes is for how many lifetimes callers use a list of daemons at most.
	maxListLifetimes = 3
	// stopSlack is how long a signal to stop may take to be noticed.
	stopSlack = 200 * time.Millisecond
	// finishDivisor is the part of the grace period that remains behind the deadlines of
	// requests that are admitted late.
	finishDivisor = 16
)

// drainLimits returns what the daemon admits during a stop that begins now. At first every
// request is admitted, as callers with older lists of daemons can't know better.
func (daemon *Daemon) drainLimits(grace time.Duration) decide.Drain {
	now := daemon.World.Now()
	return decide.Drain{
		OpenUntil: now + min(maxListLifetimes*daemon.LocateTTL(), grace/2) - stopSlack,
		EndsAt:    now + grace - grace/finishDivisor,
	}
}

// Stop runs a planned stop and reports whether all requests were finished. It first announces the
// stop and keeps serving until no caller can be directed here any more and none arrives, for at
// most half of the grace period; requests that might outlast it are rejected once callers have had
// time to learn of the stop. It then rejects all new requests and waits for the running ones, for
// at most the grace period in total.
func (daemon *Daemon) Stop(grace time.Duration) bool {
	startedAt := daemon.World.Now()
	daemon.leaving.Store(true)
	daemon.Decider.Drain(daemon.drainLimits(grace))
	daemon.Client.SendHeartbeat(session.Heartbeat{Member: daemon.Self(), Report: daemon.Decider.Report()})
	// To reach every locate reply, the announcement needs a heartbeat, an exchange among the
	// control daemons, and a lease renewal of the peers.
	leaseDuration := daemon.Holder.View().Tree.Duration("permit_ms", "")
	propagation := daemon.sessionInterval()/3 + leaseDuration/lease.RenewalsPerLease + leaseDuration/10
	loop.Sleep(daemon.World, min(propagation, grace/4))
	// Some callers use older lists of daemons or cannot get a new one.
	for daemon.World.Now()-startedAt < grace/2 && daemon.Decider.IdleTime() < daemon.LocateTTL() {
		if !loop.Sleep(daemon.World, 20*time.Millisecond) {
			break
		}
	}
	daemon.Decider.Stop()
	for daemon.Decider.Running() > 0 && daemon.World.Now()-startedAt < grace {
		if !loop.Sleep(daemon.World, 20*time.Millisecond) {
			break
		}
	}
	finished := daemon.Decider.Running() == 0
	// Callers keep their tickets when this daemon is gone.
	daemon.Decider.HandOverTickets()
	daemon.Client.SendHeartbeat(session.Heartbeat{Member: daemon.Self(), Over: true})
	return finished
}
