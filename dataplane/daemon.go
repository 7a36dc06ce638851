// Package dataplane puts a data daemon together: a session, a permit, a decider
// and an executor, and the callers' endpoint.
package dataplane

import (
	"net/rpc"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"swifttiller/decide"
	"swifttiller/execute"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/quota"
	"swifttiller/replica"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/verdict"
	"swifttiller/wire"
)

// Options of a daemon: its place, and the outside world.
type Options struct {
	World   loop.World
	Net     wire.Net
	Process settings.Process
	// Live are the process's settings as they stand; nil when they never change.
	Live        *settings.Live
	Incarnation string
	Replicas    replica.Client
	// Relayer, if set, is the client for routed requests.
	Relayer execute.Relayer
	// Probe, if set, asks a replica of a model with an engine how it does.
	Probe  func(target replica.Target, patience time.Duration) (replica.Vitals, error)
	Log    *zap.Logger
	Traced func(execute.Record)
}

// Daemon is a data daemon.
type Daemon struct {
	Options
	Client   *session.Client
	Holder   *permit.Holder
	Decider  *decide.Decider
	Meter    *quota.Meter
	Executor *execute.Executor
	began    time.Duration
	leaving  atomic.Bool
	// wasMoving tells whether versions moved in the view before.
	wasMoving atomic.Bool
	attended  attended
	limited   atomic.Pointer[limited]
	inquirer  *loop.Waker
}

// New makes a daemon; it has no permit yet.
func New(options Options) *Daemon {
	if options.Live == nil {
		options.Live = settings.NewLive(settings.LiveOptions{Process: options.Process})
	}
	daemon := &Daemon{Options: options, began: options.World.Now(), inquirer: loop.NewWaker(options.World)}
	if daemon.Log == nil {
		daemon.Log = zap.NewNop()
	}
	daemon.Client = &session.Client{
		World: options.World, Net: options.Net, Seeds: options.Live.Seeds, Region: options.Process.Region, Zone: options.Process.Zone, Name: options.Process.Name, Span: daemon.span,
		Describe: func() session.Beat { return session.Beat{Member: daemon.Self(), Report: daemon.Decider.Report()} },
	}
	daemon.Meter = quota.NewMeter(quota.Options{World: options.World, Net: options.Net, Self: daemon.Self(), Limits: daemon.limits, Members: func() ([]session.Member, time.Duration) {
		view := daemon.Holder.View()
		return view.Members, view.Expiry
	}})
	daemon.Decider = decide.New(decide.Options{
		World: options.World, Net: options.Net, Self: daemon.Self(), Began: daemon.began, Quota: daemon.Meter,
		Holder: func() *permit.View { return daemon.Holder.View() }, Traced: daemon.choices(),
	})
	daemon.Holder = permit.NewHolder(permit.HolderOptions{
		World: options.World, Client: daemon.Client, Self: daemon.Self,
		Changed: func(view *permit.View) {
			daemon.Decider.Wake()
			if len(view.Unkept) > 0 {
				daemon.inquirer.Wake()
			}
			if daemon.wasMoving.Swap(view.IsMoving) || view.IsMoving {
				daemon.Client.Hurry() // a run waits for the word that this is seen
			}
		},
	})
	daemon.Executor = &execute.Executor{Options: execute.Options{
		World: options.World, Decider: daemon.Decider, Client: options.Replicas, Relayer: options.Relayer, Holder: daemon.Holder.View, Log: options.Log, Traced: options.Traced,
	}}
	return daemon
}

func (daemon *Daemon) span() time.Duration {
	var tree *settings.Tree
	if daemon.Holder != nil {
		tree = daemon.Holder.View().Tree
	}
	return tree.Span("session_ms", "")
}

// Leaving tells whether a planned stop has begun: callers are told to locate anew
// before their next request.
func (daemon *Daemon) Leaving() bool { return daemon.leaving.Load() }

// Self is this daemon as others know it.
func (daemon *Daemon) Self() session.Member {
	process := daemon.Process
	return session.Member{
		Name: process.Name, Incarnation: daemon.Incarnation, Role: session.Data, Region: process.Region, Zone: process.Zone,
		Wire: process.Wire, HTTP: process.HTTP, Door: process.Door, Uptime: daemon.World.Now() - daemon.began, Leaving: daemon.leaving.Load(),
	}
}

type (
	permitService struct{ holder *permit.Holder }
	ticketService struct{ decider *decide.Decider }
	healthService struct{ decider *decide.Decider }
)

// Take applies an offered configuration.
func (service permitService) Take(offer permit.Offer, taken *permit.Taken) error {
	return service.holder.Take(offer, taken)
}

// Heed takes the word that replicas are about to end.
func (service permitService) Heed(notice permit.Notice, heeded *bool) error {
	return service.holder.Heed(notice, heeded)
}

// Settle answers a claim on a ticket.
func (service ticketService) Settle(claim decide.Claim, claimed *decide.Claimed) error {
	return service.decider.Settle(claim, claimed)
}

// Inherit takes what a colleague that stops leaves.
func (service ticketService) Inherit(bequest decide.Bequest, taken *bool) error {
	return service.decider.Inherit(bequest, taken)
}

// Inherits tells whether an incarnation's tickets are decided about here.
func (service ticketService) Inherits(incarnation string, heir *string) error {
	return service.decider.Inherits(incarnation, heir)
}

// Report takes in what a colleague of the region holds against replicas.
func (service healthService) Report(reports decide.HealthReports, isTaken *bool) error {
	service.decider.TakeReports(reports)
	*isTaken = true
	return nil
}

// Services registers what others call.
func (daemon *Daemon) Services() *rpc.Server {
	server := rpc.NewServer()
	for name, service := range map[string]any{"Permit": permitService{daemon.Holder}, "Ticket": ticketService{daemon.Decider}, "Health": healthService{daemon.Decider}, "Process": settings.Service{Live: daemon.Live}, "Quota": quota.Service{Meter: daemon.Meter}} {
		if err := server.RegisterName(name, service); err != nil {
			panic(err) // only our own types come here
		}
	}
	return server
}

// Run starts the daemon's loops.
func (daemon *Daemon) Run() {
	daemon.World.Go(daemon.Client.Run)
	daemon.World.Go(daemon.Holder.Run)
	daemon.World.Go(daemon.Meter.Run)
	if relay, isRelay := daemon.Relayer.(*replica.Relay); isRelay {
		daemon.World.Go(func() { daemon.tend(relay) })
	}
	if daemon.Probe != nil {
		daemon.World.Go(daemon.inquire)
	}
	daemon.World.Go(daemon.logView)
}

// logView logs leases that begin or end, and each version of the configuration that it finds in force: with
// the control daemons' lines on changes that have ended, it tells which daemon followed one late. It runs by
// itself, as a log that is not written in time must not hold up the view.
func (daemon *Daemon) logView() {
	stood, before := false, uint64(0)
	loop.Every(daemon.World, func() time.Duration { return daemon.span() / 6 }, func() bool {
		view := daemon.Holder.View()
		if stands := view.Stands(daemon.World.Now()); stands != stood {
			stood = stands
			reason := ""
			if declined := daemon.Holder.Declined.Load(); declined != nil {
				reason = *declined
			}
			daemon.Log.Info("permit", zap.Bool("stands", stands), zap.Uint64("serial", view.Serial), zap.String("reason", reason))
		}
		if view.Tree != nil && view.Serial != before {
			daemon.Log.Info("a configuration is in force", zap.Uint64("serial", view.Serial), zap.Uint64("label", view.Tree.Label()), zap.Uint64("before", before),
				zap.Duration("lease_left", view.Expiry-daemon.World.Now()), zap.Bool("stopping", daemon.leaving.Load()))
			before = view.Serial
		}
		return true
	})
}

// Enter allows and weighs a call, or declines it. The body is asked for only
// once the headers have been allowed.
func (daemon *Daemon) Enter(call *decide.Call, body func() []byte) ([]byte, *verdict.Mishap) {
	if mishap := daemon.Decider.Allow(call); mishap != nil {
		daemon.Executor.Note(call, mishap)
		return nil, mishap
	}
	text := body()
	if mishap := daemon.Decider.Weigh(call, text); mishap != nil {
		daemon.Decider.Settled(call, mishap)
		daemon.Executor.Note(call, mishap)
		return nil, mishap
	}
	return text, nil
}

// Stop is a planned stop. The word goes out first, and the daemon serves on
// until nobody can be sent here any more and nobody comes, for half of the grace at the
// most; then it declines what comes and waits for what runs, at most for the grace. It
// tells whether all was finished.
func (daemon *Daemon) Stop(grace time.Duration) bool {
	began := daemon.World.Now()
	daemon.leaving.Store(true)
	daemon.Client.Say(session.Beat{Member: daemon.Self(), Report: daemon.Decider.Report()})
	// The word needs a beat, a share among control daemons and a renewal of the
	// colleagues' permits to get into every locate.
	length := daemon.Holder.View().Tree.Span("permit_ms", "")
	word := daemon.span()/3 + length/permit.Renewals + length/10
	loop.Sleep(daemon.World, min(word, grace/4))
	// Some callers go by older words than that, or can't get a new one: they are served
	// for as long as what they ask for has half of the grace to end in.
	for daemon.World.Now()-began < grace/2 && daemon.Decider.Quiet() < daemon.DoorSpan() {
		if !loop.Sleep(daemon.World, 20*time.Millisecond) {
			break
		}
	}
	daemon.Decider.Stop()
	for daemon.Decider.Running() > 0 && daemon.World.Now()-began < grace {
		if !loop.Sleep(daemon.World, 20*time.Millisecond) {
			break
		}
	}
	done := daemon.Decider.Running() == 0
	// Callers keep their tickets over this daemon's end.
	daemon.Decider.Bequeath()
	daemon.Client.Say(session.Beat{Member: daemon.Self(), Over: true})
	return done
}
