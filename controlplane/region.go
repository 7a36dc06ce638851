package controlplane

import (
	"errors"
	"maps"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/register"
	"swifttiller/replica"
	"swifttiller/rollout"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/workflow"
)

// leadership is one holding of a duty without a break: under which serial, none when zero, and
// since when.
type leadership struct {
	term  uint64
	since time.Duration
}

// region is one region's tables and loops. They run while this daemon holds the
// region's duty and are emptied when it does not.
//
// Lock order: guard alone; nothing waits under it.
type region struct {
	*Daemon
	name string
	mu   sync.Mutex
	leadership
	replicas   map[string]*watchedReplica
	isFilled   bool // the table has been filled, from the last standing or the platform
	nextListAt time.Duration
	listError  string
	// lastDarkAt is when a replica that the list shows, and not as leaving, was last found dark;
	// zero for never in this tenure.
	lastDarkAt time.Duration
	table      *standing.Standing
	writtenAt  time.Duration
	// verifiedAt is when the last computation began that found before to be so, or
	// wrote it, under the duty.
	verifiedAt time.Duration
	routes     map[string]standing.Route // as last read
	// idle are models about which there is no run, nor ever was one, nor can be by
	// itself, as last read; nil before that.
	idle      map[string]bool
	runner    *rollout.Runner
	rollError string
	// computeWaker and roller are the loops that compute the standing and turn the runs: the
	// one is woken by what is written of a route, the other by a new standing.
	computeWaker, rollWaker *loop.Waker
	// endedBoots are lives that are over, to be told soon.
	endedBoots []permit.Leaver
	// evacuated are the zones that were, when the table was last read.
	evacuated map[string]bool
}

func newRegion(daemon *Daemon, name string) *region {
	return &region{Daemon: daemon, name: name, replicas: map[string]*watchedReplica{}, computeWaker: loop.NewWaker(daemon.World), rollWaker: loop.NewWaker(daemon.World)}
}

func (region *region) tree() *settings.Tree {
	_, _, tree := region.Office.Current()
	return tree
}

// run starts the region's loops: list, probe, compute, roll out.
func (region *region) run() {
	tick := func(tree *settings.Tree) time.Duration { return standing.Tick(tree.Span("permit_ms", "")) }
	region.World.Go(func() {
		// Much more often than the platform is asked, so that a new holder of the duty
		// asks at once; list itself keeps the platform's span.
		loop.Every(region.World, region.interval(func(tree *settings.Tree) time.Duration {
			return min(tree.Span("platform_ms", region.name)/2, tree.Span("dark_ms", region.name)/2, region.untilNextList())
		}), region.whileLeader(region.list))
	})
	region.World.Go(func() {
		loop.Every(region.World, region.interval(func(tree *settings.Tree) time.Duration { return tree.Span("probe_ms", region.name) }), region.whileLeader(region.probeAll))
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

// nextRunDue is after which time a run of the region has something to do. The loop that turns
// the runs alone asks it.
func (region *region) nextRunDue() time.Duration {
	region.mu.Lock()
	runner := region.runner
	region.mu.Unlock()
	if runner == nil {
		return loop.Forever
	}
	return runner.Due()
}

// hasUrgentRollout tells whether an order under a term is under way here.
func (region *region) hasUrgentRollout(tree *settings.Tree) bool {
	region.mu.Lock()
	defer region.mu.Unlock()
	for model, route := range region.routes {
		if placement, _ := tree.Placement(model, region.name); placement.Any() && (route.Trial != "" || route.Watched) {
			return true
		}
	}
	return false
}

// interval gives a loop's span as the settings have it at the time, and a part of it right
// after this daemon began anew: until a standing is written nobody keeps what data daemons
// go by up to date.
func (region *region) interval(interval func(tree *settings.Tree) time.Duration) func() time.Duration {
	return func() time.Duration {
		if region.hasJustRestarted() {
			return min(interval(region.tree()), region.tree().Span("dark_ms", region.name)/8)
		}
		return interval(region.tree())
	}
}

// hasJustRestarted tells whether this daemon has begun anew not long ago, may have had the duty
// before, and has not written a standing under it yet.
func (region *region) hasJustRestarted() bool {
	if !region.Duties.IsBack || region.Table.Watched() > 3*region.sessionTimeout() {
		return false
	}
	region.mu.Lock()
	defer region.mu.Unlock()
	return region.table == nil || region.table.Duty != region.term
}

// whileLeader makes a step that runs only under the duty.
func (region *region) whileLeader(step func(term uint64, tree *settings.Tree)) func() bool {
	return func() bool {
		term, held := region.Duties.Held(RegionDuty + region.name)
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

// replicaRows gives the replicas' table for the pure functions; false where it is not the table of
// the tenure any more, which was lost or began anew meanwhile: then the table was emptied.
func (region *region) replicaRows(tree *settings.Tree, expected leadership) ([]standing.Replica, bool) {
	now := region.World.Now()
	darkAfter := tree.Span("dark_ms", region.name)
	outcomes := region.recentOutcomes()
	region.mu.Lock()
	defer region.mu.Unlock()
	if region.leadership != expected || !region.isFilled {
		return nil, false
	}
	silent, total := 0, 0 // engines' replicas that do not answer probes, and all of them
	for _, watched := range region.replicas {
		if watched.engine(tree) != nil && !watched.leaving && !watched.unlisted && !watched.hasEnded {
			total++
			if !watched.probed || now-watched.answeredAt >= darkAfter {
				silent++
			}
		}
	}
	// Probes wait behind requests, and the way to a region may be cut here and not
	// there: where most do not answer, those that are listed stay in use, and data
	// daemons go by what their own requests tell.
	mayBePartitioned := 2*silent > total
	var out []standing.Replica
	for _, watched := range region.replicas {
		row := standing.Replica{
			ID: watched.ID, Address: watched.Address, Zone: watched.Zone, Region: region.name,
			Leaving: watched.leaving || watched.unlisted || watched.hasEnded, Alive: watched.probed && now-watched.answeredAt < darkAfter,
			Boot: watched.boot(tree), Held: watched.health.Held, Load: watched.health.Load, Cold: now < watched.coldUntil,
		}
		if watched.Version != "" {
			row.Held = maps.Clone(row.Held)
			if row.Held == nil {
				row.Held = map[string]string{}
			}
			row.Held[watched.Model+"/"+watched.Version] = standing.Ready
		}
		if watched.engine(tree) != nil {
			row.Alive = (row.Alive || mayBePartitioned && (watched.probed || now-region.since > 2*darkAfter)) && !watched.isExcluded(outcomes[watched.ID], now)
		}
		out = append(out, row)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out, true
}

// dataDaemons gives the data daemons' table.
func (daemon *Daemon) dataDaemons() (out []standing.Daemon, incarnations map[string]string) {
	incarnations = map[string]string{}
	for _, daemonSession := range daemon.Table.Live(session.Data) {
		out = append(out, standing.Daemon{Name: daemonSession.Member.Name, Zone: daemonSession.Member.Zone, Region: daemonSession.Member.Region, Report: daemonSession.Report})
		incarnations[daemonSession.Member.Name] = daemonSession.Member.Name + "#" + daemonSession.Member.Incarnation
	}
	return out, incarnations
}

// restore fills the table with the names of the last standing, so that a new
// holder of the duty does not take a region for empty while the platform lags.
// In which life the replicas are, and what they hold where that is ordered, only probes
// can say; until they do it is the life that was shown last. It is false, and nothing is filled, where the tenure is over.
func (region *region) restore(last standing.Standing, expected leadership) bool {
	now := region.World.Now()
	tree := region.tree()
	region.mu.Lock()
	defer region.mu.Unlock()
	if region.leadership != expected {
		return false
	}
	for _, endpoint := range last.Places {
		// The list may have come first.
		if listed := region.replicas[endpoint.ID]; listed != nil && !listed.probed && listed.health.Boot == "" && listed.Address == endpoint.Address {
			listed.health.Boot = endpoint.Boot
		}
		if region.replicas[endpoint.ID] == nil {
			watched := &watchedReplica{Listed: listing.Listed{ID: endpoint.ID, Address: endpoint.Address, Zone: endpoint.Zone}, answeredAt: now, health: replica.Vitals{Boot: endpoint.Boot}}
			for _, row := range last.Rows {
				// Whatever version it holds it holds for all of its life.
				if placement, _ := tree.Placement(row.Model, endpoint.Zone); row.Replica == endpoint.ID && placement.Any() {
					watched.Model, watched.Version = row.Model, row.Version
				}
			}
			region.replicas[endpoint.ID] = watched
		}
	}
	region.isFilled = region.isFilled || len(last.Places) > 0
	return true
}

// compute makes the standing and writes it when it says something new.
func (region *region) compute(term uint64, tree *settings.Tree) {
	now := region.World.Now()
	region.mu.Lock()
	before, isFilled, writtenAt, observed := region.table, region.isFilled, region.writtenAt, region.leadership
	region.mu.Unlock()
	models := tree.Models(region.name)
	keys := []string{permit.StandingPrefix + region.name}
	for _, model := range models {
		keys = append(keys, rollout.ModelPrefix+model, rollout.DelayedPrefix+model, workflow.Prefix+rollout.Key(model, region.name))
	}
	values, err := region.ReadMany(keys...)
	if err != nil {
		return
	}
	if value := values[keys[0]]; before == nil || before.Serial != value.Serial {
		var last standing.Standing
		if value.Serial > 0 {
			if last, _, err = permit.OpenStanding(value); err != nil {
				return
			}
		}
		if !region.restore(last, observed) {
			return
		}
		before, writtenAt, isFilled = &last, now, isFilled || len(last.Places) > 0
	}
	// Until every replica was probed or is dark, the last standing stays.
	if !isFilled || region.awaitsProbes(tree) {
		return
	}
	_, config, _ := region.Office.Current()
	evacuated := map[string]bool{}
	for _, zone := range config.Evacuated {
		evacuated[zone] = true
	}
	region.markReturnedCold(tree, evacuated)
	replicas, isLeader := region.replicaRows(tree, observed)
	if !isLeader {
		return
	}
	input := standing.Input{
		Region: region.name, Tree: tree, Duty: term, Evacuated: evacuated, Replicas: replicas,
		Gone: region.Table.Gone(), Routes: map[string]standing.Route{}, Before: before, Since: now - writtenAt,
	}
	input.Daemons, _ = region.dataDaemons()
	for _, model := range models {
		if object, err := region.Objects.Open(values[rollout.ModelPrefix+model]); err == nil {
			if route, known := object.Routes[region.name]; known {
				input.Routes[model] = route
			}
		}
	}
	idle := map[string]bool{}
	for _, model := range models {
		placement, _ := tree.Placement(model, region.name)
		idle[model] = placement.Any() && values[rollout.ModelPrefix+model].Serial == 0 && values[rollout.DelayedPrefix+model].Serial == 0 &&
			values[workflow.Prefix+rollout.Key(model, region.name)].Serial == 0
	}
	region.mu.Lock()
	region.routes, region.idle = input.Routes, idle
	region.mu.Unlock()
	next := standing.Compute(input)
	if before.Serial > 0 && standing.Same(*before, next) {
		region.recordTable(term, before, writtenAt, now)
		return
	}
	data, err := permit.PackStanding(next)
	if err != nil {
		region.Log.Error("a standing can't be written", zap.Error(err))
		return
	}
	// Swapped against the very standing that this one was computed from: a
	// paused holder that wakes writes nothing.
	value, err := region.Swap(keys[0], before.Serial, data)
	if err != nil {
		var stale *register.Stale
		if !errors.As(err, &stale) {
			region.Log.Debug("a standing was not written", zap.String("region", region.name), zap.Error(err))
		}
		region.recordTable(term, nil, 0, 0)
		return
	}
	next.Serial = value.Serial
	if region.hasUrgentRollout(tree) {
		region.rollWaker.Wake()
	}
	region.Log.Info("a standing was written", zap.String("region", region.name), zap.Uint64("serial", next.Serial), zap.String("changed", standing.Changed(*before, next)), zap.Strings("replicas", next.Shown()), zap.Duration("took", region.World.Now()-now))
	region.recordTable(term, &next, now, now)
	region.notifyLeaving(removedBoots(*before, next), next.Serial)
}

// removedBoots are the lives that were in the standing before and are not in the next one.
func removedBoots(before, next standing.Standing) (out []permit.Leaver) {
	remaining := map[permit.Leaver]bool{}
	for _, endpoint := range next.Places {
		remaining[permit.Leaver{Replica: endpoint.ID, Boot: endpoint.Boot}] = true
	}
	for _, endpoint := range before.Places {
		if boot := (permit.Leaver{Replica: endpoint.ID, Boot: endpoint.Boot}); !remaining[boot] && boot.Boot != "" {
			out = append(out, boot)
		}
	}
	return out
}

// markReturnedCold takes replicas of zones that are evacuated no more for cold: what became
// of them meanwhile nobody saw.
func (region *region) markReturnedCold(tree *settings.Tree, evacuated map[string]bool) {
	now := region.World.Now()
	region.mu.Lock()
	defer region.mu.Unlock()
	for _, watched := range region.replicas {
		if engine := watched.engine(tree); engine != nil && region.evacuated[watched.Zone] && !evacuated[watched.Zone] {
			watched.coldUntil = max(watched.coldUntil, now+engine.Cold)
		}
	}
	region.evacuated = evacuated
}

// awaitsProbes tells whether some replica may yet answer its first probe. Where most have
// answered none yet, that is so until they are taken for doubtful (see rows): between
// the two a new holder of the duty would show a region without replicas.
func (region *region) awaitsProbes(tree *settings.Tree) bool {
	now := region.World.Now()
	region.mu.Lock()
	defer region.mu.Unlock()
	darkAfter := tree.Span("dark_ms", region.name)
	// Only right after taking the duty; later a newcomer holds up nobody.
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

func (region *region) recordTable(term uint64, table *standing.Standing, writtenAt, verifiedAt time.Duration) {
	region.mu.Lock()
	defer region.mu.Unlock()
	if region.term == term {
		region.table, region.writtenAt, region.verifiedAt = table, writtenAt, verifiedAt
	}
}

// maintained is the standing that this daemon keeps up to date, if it does.
func (region *region) maintained() (session.Keeping, bool) {
	region.mu.Lock()
	defer region.mu.Unlock()
	if region.table == nil || region.table.Duty != region.term {
		return session.Keeping{}, false
	}
	return session.Keeping{Duty: region.term, Serial: region.table.Serial, Age: region.World.Now() - region.verifiedAt}, true
}

// advanceRollouts turns the region's runs.
func (region *region) advanceRollouts(term uint64, tree *settings.Tree) {
	region.mu.Lock()
	if region.runner == nil {
		region.runner = &rollout.Runner{World: region.World, Objects: region.Objects, Book: region.Book, Client: region.Replicas, Point: region.Point}
	}
	runner, routes, table, idle, observed := region.runner, region.routes, region.table, region.idle, region.leadership
	region.mu.Unlock()
	if idle == nil || region.awaitsProbes(tree) {
		return
	}
	replicas, isLeader := region.replicaRows(tree, observed)
	if !isLeader {
		return
	}
	_, config, _ := region.Office.Current()
	scene := rollout.Scene{Region: region.name, Duty: term, Tree: tree, Evacuated: map[string]bool{}, Replicas: replicas, Routes: routes, Standing: table, Watched: region.Table.Watched(), Idle: idle}
	scene.Daemons, scene.Incarnations = region.dataDaemons()
	for _, zone := range config.Evacuated {
		scene.Evacuated[zone] = true
	}
	err := runner.Turn(scene)
	region.mu.Lock()
	region.rollError = ""
	if err != nil {
		region.rollError = err.Error()
	}
	region.mu.Unlock()
	if err != nil {
		region.Log.Warn("roll-out turn", zap.String("region", region.name), zap.Error(err))
	}
}
