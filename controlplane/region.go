package controlplane

import (
	"errors"
	"maps"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"swifttiller/lease"
	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/replica"
	"swifttiller/rollout"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/workflow"
)

// leadership is one uninterrupted period of leading a region: its term, zero while not the
// leader, and its beginning.
type leadership struct {
	term  uint64
	since time.Duration
}

// region is the state and the loops of one region. The loops do their work while this daemon
// leads the region; the state is cleared when it does not.
//
// Locking: while mu is held, no other lock is taken and nothing waits.
type region struct {
	*Daemon
	name string
	mu   sync.Mutex
	leadership
	replicas   map[string]*watchedReplica
	isFilled   bool // replicas was filled, from the last routing table or the platform's list
	nextListAt time.Duration
	listError  string
	// lastDarkAt is when a listed replica that is not leaving was last found to fail its health
	// checks for dark_ms; zero for never during this leadership.
	lastDarkAt time.Duration
	table      *routing.Table // last read or written
	writtenAt  time.Duration
	// verifiedAt is when the last computation began that, during this leadership, wrote table
	// or found it to be up to date.
	verifiedAt time.Duration
	routes     map[string]routing.Route // as last read
	// idle are the models that, as last read, have and had no roll-out run and can't get one
	// without an operator; nil before the first read.
	idle      map[string]bool
	runner    *rollout.Runner
	rollError string
	// withdrawn are the models that this region places and whose roll-out, as last read, the
	// configuration ends.
	withdrawn []string
	// lastWithdrawalCheck is used only by the loop that advances the roll-outs.
	lastWithdrawalCheck withdrawalCheck
	// computeWaker wakes the loop that computes the routing table, after a change of routes;
	// rollWaker wakes the loop that advances the roll-outs, after a new routing table.
	computeWaker, rollWaker *loop.Waker
	// endedReplicas are replicas' incarnations that have ended, to be announced in a batch.
	endedReplicas []lease.DepartingReplica
	// evacuated are the zones that were evacuated at the last computation.
	evacuated map[string]bool
}

func newRegion(daemon *Daemon, name string) *region {
	return &region{Daemon: daemon, name: name, replicas: map[string]*watchedReplica{}, computeWaker: loop.NewWaker(daemon.World), rollWaker: loop.NewWaker(daemon.World)}
}

// tree is the current configuration; nil if there is none.
func (region *region) tree() *settings.Tree {
	_, _, tree := region.Issuer.Current()
	return tree
}

// run starts the region's loops: list, probe, compute, and advance roll-outs.
func (region *region) run() {
	tick := func(tree *settings.Tree) time.Duration {
		return routing.RecomputeInterval(tree.Duration("permit_ms", ""))
	}
	region.World.Go(func() {
		// This is much more often than the platform is queried, so that a new leader queries it
		// at once; list itself keeps to the platform's interval.
		loop.Every(region.World, region.interval(func(tree *settings.Tree) time.Duration {
			return min(tree.Duration("platform_ms", region.name)/2, tree.Duration("dark_ms", region.name)/2, region.untilNextList())
		}), region.whileLeader(region.list))
	})
	region.World.Go(func() {
		loop.Every(region.World, region.interval(func(tree *settings.Tree) time.Duration { return tree.Duration("probe_ms", region.name) }), region.whileLeader(region.probeAll))
	})
	region.World.Go(func() {
		region.computeWaker.Run(region.World, region.interval(tick), region.whileLeader(region.compute))
	})
	region.World.Go(func() {
		region.rollWaker.Run(region.World, region.interval(func(tree *settings.Tree) time.Duration {
			if region.hasUrgentRollout(tree) {
				return min(tick(tree), max(tick(tree)/8, region.nextRunDue()))
			}
			return 2 * tick(tree)
		}), region.whileLeader(region.advanceRollouts))
	})
}

// nextRunDue is the time until one of the region's runs has something to do. Only the loop that
// advances the runs calls it.
func (region *region) nextRunDue() time.Duration {
	region.mu.Lock()
	runner := region.runner
	region.mu.Unlock()
	if runner == nil {
		return loop.Forever
	}
	return runner.RetryAfter()
}

// hasUrgentRollout tells whether a timed roll-out is in progress in this region.
func (region *region) hasUrgentRollout(tree *settings.Tree) bool {
	region.mu.Lock()
	defer region.mu.Unlock()
	for model, route := range region.routes {
		if placement, _ := tree.Placement(model, region.name); placement.AcceptsAnyVersion() && (route.Trial != "" || route.Watched) {
			return true
		}
	}
	return false
}

// interval gives a loop's interval by the current settings, at most an eighth of dark_ms right
// after this daemon restarted: until it writes a routing table, nobody maintains the one that
// data daemons use.
func (region *region) interval(interval func(tree *settings.Tree) time.Duration) func() time.Duration {
	return func() time.Duration {
		if region.hasJustRestarted() {
			return min(interval(region.tree()), region.tree().Duration("dark_ms", region.name)/8)
		}
		return interval(region.tree())
	}
}

// hasJustRestarted tells whether this daemon restarted within the last 3 session timeouts, so
// that it may have led the region before, and has not written a routing table in this term yet.
func (region *region) hasJustRestarted() bool {
	if !region.Elections.HasRestartedSelf || region.Sessions.Age() > 3*region.sessionTimeout() {
		return false
	}
	region.mu.Lock()
	defer region.mu.Unlock()
	return region.table == nil || region.table.Duty != region.term
}

// whileLeader wraps a loop's step so that it runs only while this daemon leads the region. It
// also resets the region's state when leadership is lost or the term changes.
func (region *region) whileLeader(step func(term uint64, tree *settings.Tree)) func() bool {
	return func() bool {
		term, held := region.Elections.Term(RegionElection + region.name)
		region.mu.Lock()
		if !held {
			region.leadership, region.isFilled, region.table = leadership{}, false, nil
			region.replicas = map[string]*watchedReplica{}
			region.runner = nil
		} else if region.term != term {
			region.leadership = leadership{term, region.World.Now()}
			region.isFilled, region.table, region.idle = false, nil, nil
			region.runner, region.nextListAt, region.lastDarkAt = nil, 0, 0
		}
		region.mu.Unlock()
		if tree := region.tree(); held && tree != nil {
			step(term, tree)
		}
		return !region.stopped.Load()
	}
}

// replicaRows gives the replicas as input for computing the routing table and for the roll-outs. It
// is false if the leadership is not the expected one any more: it was lost or its term changed, and
// the region's state was reset.
func (region *region) replicaRows(tree *settings.Tree, expected leadership) ([]routing.Replica, bool) {
	now := region.World.Now()
	darkAfter := tree.Duration("dark_ms", region.name)
	outcomes := region.recentOutcomes()
	region.mu.Lock()
	defer region.mu.Unlock()
	if region.leadership != expected || !region.isFilled {
		return nil, false
	}
	silent, total := 0, 0 // replicas of engines that do not answer health checks, and all of them
	for _, watched := range region.replicas {
		if watched.engine(tree) != nil && !watched.leaving && !watched.unlisted && !watched.hasEnded {
			total++
			if !watched.probed || now-watched.answeredAt >= darkAfter {
				silent++
			}
		}
	}
	// Health checks queue behind requests, and this daemon may be partitioned from a region
	// that others can reach. So if more than half fail their checks, all that are listed stay
	// in use, and data daemons rely on the outcomes of their own requests.
	mayBePartitioned := 2*silent > total
	var out []routing.Replica
	for _, watched := range region.replicas {
		row := routing.Replica{
			ID: watched.ID, Address: watched.Address, Zone: watched.Zone, Region: region.name,
			Leaving: watched.leaving || watched.unlisted || watched.hasEnded, Alive: watched.probed && now-watched.answeredAt < darkAfter,
			Boot: watched.boot(tree), Held: watched.health.Held, Load: watched.health.Load, Cold: now < watched.coldUntil,
		}
		if watched.Version != "" {
			row.Held = maps.Clone(row.Held)
			if row.Held == nil {
				row.Held = map[string]string{}
			}
			row.Held[watched.Model+"/"+watched.Version] = routing.Ready
		}
		if watched.engine(tree) != nil {
			row.Alive = (row.Alive || mayBePartitioned && (watched.probed || now-region.since > 2*darkAfter)) && !watched.isExcluded(outcomes[watched.ID], now)
		}
		out = append(out, row)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out, true
}

// dataDaemons gives the live data daemons with their reports, and their incarnations by name.
func (daemon *Daemon) dataDaemons() (out []routing.Daemon, incarnations map[string]string) {
	incarnations = map[string]string{}
	for _, daemonSession := range daemon.Sessions.Live(session.Data) {
		out = append(out, routing.Daemon{Name: daemonSession.Member.Name, Zone: daemonSession.Member.Zone, Region: daemonSession.Member.Region, Report: daemonSession.Report})
		incarnations[daemonSession.Member.Name] = daemonSession.Member.Name + "#" + daemonSession.Member.Incarnation
	}
	return out, incarnations
}

// restore adds the replicas of the last routing table, so that a new leader does not take the
// region for empty while the platform's list is late. Only health checks can tell a replica's
// incarnation, and the versions that it loads on command; until then, the incarnation shown
// last is assumed. It is false, and nothing is added, if the leadership is not the expected
// one any more.
func (region *region) restore(last routing.Table, expected leadership) bool {
	now := region.World.Now()
	tree := region.tree()
	region.mu.Lock()
	defer region.mu.Unlock()
	if region.leadership != expected {
		return false
	}
	for _, endpoint := range last.Places {
		// The platform's list may have been applied first.
		if listed := region.replicas[endpoint.ID]; listed != nil && !listed.probed && listed.health.Boot == "" && listed.Address == endpoint.Address {
			listed.health.Boot = endpoint.Boot
		}
		if region.replicas[endpoint.ID] == nil {
			watched := &watchedReplica{Instance: listing.Instance{ID: endpoint.ID, Address: endpoint.Address, Zone: endpoint.Zone}, answeredAt: now, health: replica.Health{Boot: endpoint.Boot}}
			for _, row := range last.Rows {
				// With any version allowed, a replica keeps its version for its whole lifetime.
				if placement, _ := tree.Placement(row.Model, endpoint.Zone); row.Replica == endpoint.ID && placement.AcceptsAnyVersion() {
					watched.Model, watched.Version = row.Model, row.Version
				}
			}
			region.replicas[endpoint.ID] = watched
		}
	}
	region.isFilled = region.isFilled || len(last.Places) > 0
	return true
}

// compute computes the routing table and writes it if it has changed.
func (region *region) compute(term uint64, tree *settings.Tree) {
	now := region.World.Now()
	region.mu.Lock()
	before, isFilled, writtenAt, observed := region.table, region.isFilled, region.writtenAt, region.leadership
	region.mu.Unlock()
	models := tree.Models(region.name)
	keys := []string{lease.RoutingTablePrefix + region.name}
	for _, model := range models {
		keys = append(keys, rollout.ModelPrefix+model, rollout.DelayedPrefix+model, workflow.Prefix+rollout.Key(model, region.name))
	}
	values, err := region.ReadMany(keys...)
	if err != nil {
		return
	}
	if value := values[keys[0]]; before == nil || before.Serial != value.Serial {
		var last routing.Table
		if value.Serial > 0 {
			if last, _, err = lease.DecodeRoutingTable(value); err != nil {
				return
			}
		}
		if !region.restore(last, observed) {
			return
		}
		before, writtenAt, isFilled = &last, now, isFilled || len(last.Places) > 0
	}
	// The last routing table is kept until each replica has answered a health check or has
	// failed to for dark_ms.
	if !isFilled || region.awaitsProbes(tree) {
		return
	}
	_, config, _ := region.Issuer.Current()
	evacuated := map[string]bool{}
	for _, zone := range config.Evacuated {
		evacuated[zone] = true
	}
	region.markReturnedCold(tree, evacuated)
	replicas, isLeader := region.replicaRows(tree, observed)
	if !isLeader {
		return
	}
	input := routing.Input{
		Region: region.name, Tree: tree, Term: term, Evacuated: evacuated, Replicas: replicas,
		AbsentFor: region.Sessions.AbsentFor(), Routes: map[string]routing.Route{}, Elapsed: map[string]time.Duration{}, Previous: before, Since: now - writtenAt,
	}
	input.Daemons, _ = region.dataDaemons()
	serial, _, current := region.Issuer.Current()
	var withdrawn []string
	for _, model := range models {
		if object, err := region.Objects.Open(values[rollout.ModelPrefix+model]); err == nil {
			if object.IsMoving() && object.IsWithdrawn(rollout.PlacementCheck{Model: model, ConfigSerial: serial, PlacedIn: regionsWithAnyVersion(current, model)}) {
				withdrawn = append(withdrawn, model)
			}
			if route, known := object.Routes[region.name]; known {
				input.Routes[model] = route
			}
			if object.IsMoving() {
				input.Elapsed[model] = region.Objects.OrderAge(object.Order.ID)
			}
		}
	}
	idle := map[string]bool{}
	for _, model := range models {
		placement, _ := tree.Placement(model, region.name)
		idle[model] = placement.AcceptsAnyVersion() && values[rollout.ModelPrefix+model].Serial == 0 && values[rollout.DelayedPrefix+model].Serial == 0 &&
			values[workflow.Prefix+rollout.Key(model, region.name)].Serial == 0
	}
	region.mu.Lock()
	region.routes, region.idle, region.withdrawn = input.Routes, idle, withdrawn
	region.mu.Unlock()
	next := routing.Compute(input)
	if before.Serial > 0 && routing.Equivalent(*before, next) {
		region.recordTable(term, before, writtenAt, now)
		return
	}
	data, err := lease.EncodeRoutingTable(next)
	if err != nil {
		region.Log.Error("encoding the routing table failed", zap.Error(err))
		return
	}
	// Compare-and-swap against the routing table that this one was computed from, so that a
	// deposed leader that resumes after a pause can't overwrite a newer one.
	value, err := region.CompareAndSwap(keys[0], before.Serial, data)
	if err != nil {
		var stale *register.SerialMismatch
		if !errors.As(err, &stale) {
			region.Log.Debug("writing the routing table failed", zap.String("region", region.name), zap.Error(err))
		}
		region.recordTable(term, nil, 0, 0)
		return
	}
	next.Serial = value.Serial
	if region.hasUrgentRollout(tree) {
		region.rollWaker.Wake()
	}
	region.Log.Info("routing table written", zap.String("region", region.name), zap.Uint64("serial", next.Serial), zap.String("changed", routing.FirstDifference(*before, next)), zap.Strings("replicas", next.ReplicaNames()), zap.Duration("took", region.World.Now()-now))
	region.recordTable(term, &next, now, now)
	region.notifyLeaving(removedReplicas(*before, next), next.Serial)
}

// removedReplicas are the replicas' incarnations that the previous routing table has and the next
// one does not.
func removedReplicas(before, next routing.Table) (out []lease.DepartingReplica) {
	remaining := map[lease.DepartingReplica]bool{}
	for _, endpoint := range next.Places {
		remaining[lease.DepartingReplica{Replica: endpoint.ID, Boot: endpoint.Boot}] = true
	}
	for _, endpoint := range before.Places {
		if incarnation := (lease.DepartingReplica{Replica: endpoint.ID, Boot: endpoint.Boot}); !remaining[incarnation] && incarnation.Boot != "" {
			out = append(out, incarnation)
		}
	}
	return out
}

// markReturnedCold marks replicas as cold whose zone has just been put back into service:
// nobody observed them during the evacuation.
func (region *region) markReturnedCold(tree *settings.Tree, evacuated map[string]bool) {
	now := region.World.Now()
	region.mu.Lock()
	defer region.mu.Unlock()
	for _, watched := range region.replicas {
		if engine := watched.engine(tree); engine != nil && region.evacuated[watched.Zone] && !evacuated[watched.Zone] {
			watched.coldUntil = max(watched.coldUntil, now+engine.ColdPeriod)
		}
	}
	region.evacuated = evacuated
}

// awaitsProbes tells whether a replica's first health check may still be answered. If more than
// half have not answered any, it stays true until replicaRows assumes a partition: between the
// two, a new leader would publish a region without replicas.
func (region *region) awaitsProbes(tree *settings.Tree) bool {
	now := region.World.Now()
	region.mu.Lock()
	defer region.mu.Unlock()
	darkAfter := tree.Duration("dark_ms", region.name)
	// This applies only right after the election; later a new replica delays nothing.
	if now-region.since > 2*darkAfter {
		return false
	}
	waiting, silent := 0, 0
	for _, watched := range region.replicas {
		switch {
		case watched.probed:
		case now-watched.answeredAt < darkAfter:
			waiting++
		default:
			silent++
		}
	}
	return waiting > 0 || 2*silent > len(region.replicas)
}

// recordTable records the last routing table with its times, if the term is still the current one.
func (region *region) recordTable(term uint64, table *routing.Table, writtenAt, verifiedAt time.Duration) {
	region.mu.Lock()
	defer region.mu.Unlock()
	if region.term == term {
		region.table, region.writtenAt, region.verifiedAt = table, writtenAt, verifiedAt
	}
}

// maintained describes the routing table that this daemon maintains; false if it maintains none.
func (region *region) maintained() (session.TableStatus, bool) {
	region.mu.Lock()
	defer region.mu.Unlock()
	if region.table == nil || region.table.Duty != region.term {
		return session.TableStatus{}, false
	}
	return session.TableStatus{Duty: region.term, Serial: region.table.Serial, Age: region.World.Now() - region.verifiedAt}, true
}

// advanceRollouts runs the next steps of the region's roll-outs.
func (region *region) advanceRollouts(term uint64, tree *settings.Tree) {
	region.mu.Lock()
	if region.runner == nil {
		region.runner = &rollout.Runner{World: region.World, Objects: region.Objects, Journal: region.Runs, Client: region.Replicas, Failpoint: region.Point}
	}
	runner, routes, table, idle, observed, withdrawn := region.runner, region.routes, region.table, region.idle, region.leadership, region.withdrawn
	region.mu.Unlock()
	if err := region.endWithdrawnRollouts(term, withdrawn); err != nil && !errors.Is(err, workflow.ErrWait) {
		region.Log.Warn("ending the roll-outs of dropped models failed", zap.String("region", region.name), zap.Error(err))
	}
	if idle == nil || region.awaitsProbes(tree) {
		return
	}
	replicas, isLeader := region.replicaRows(tree, observed)
	if !isLeader {
		return
	}
	_, config, _ := region.Issuer.Current()
	scene := rollout.RegionView{Region: region.name, Term: term, Tree: tree, Evacuated: map[string]bool{}, Replicas: replicas, Routes: routes, RoutingTable: table, SessionsWatched: region.Sessions.Age(), Idle: idle}
	scene.Daemons, scene.Incarnations = region.dataDaemons()
	for _, zone := range config.Evacuated {
		scene.Evacuated[zone] = true
	}
	err := runner.RunOnce(scene)
	region.mu.Lock()
	region.rollError = ""
	if err != nil {
		region.rollError = err.Error()
	}
	region.mu.Unlock()
	if err != nil {
		region.Log.Warn("advancing roll-outs failed", zap.String("region", region.name), zap.Error(err))
	}
}
