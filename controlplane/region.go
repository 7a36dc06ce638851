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

// tenure is one holding of a duty without a break: under which serial, none when zero, and
// since when.
type tenure struct {
	duty  uint64
	since time.Duration
}

// region is one region's tables and loops. They run while this daemon holds the
// region's duty and are emptied when it does not.
//
// Lock order: guard alone; nothing waits under it.
type region struct {
	*Daemon
	name  string
	guard sync.Mutex
	tenure
	table   map[string]*watched
	seeded  bool // the table has been filled, from the last standing or the platform
	listAt  time.Duration
	listErr string
	// lostAt is when a replica that the list shows, and not as leaving, was last found dark;
	// zero for never in this tenure.
	lostAt  time.Duration
	before  *standing.Standing
	written time.Duration
	// proved is when the last computation began that found before to be so, or
	// wrote it, under the duty.
	proved time.Duration
	routes map[string]standing.Route // as last read
	// idle are models about which there is no run, nor ever was one, nor can be by
	// itself, as last read; nil before that.
	idle   map[string]bool
	runner *rollout.Runner
	failed string
	// computer and roller are the loops that compute the standing and turn the runs: the
	// one is woken by what is written of a route, the other by a new standing.
	computer, roller *loop.Waker
	// ended are lives that are over, to be told soon.
	ended []permit.Leaver
	// evacuated are the zones that were, when the table was last read.
	evacuated map[string]bool
}

func newRegion(daemon *Daemon, name string) *region {
	return &region{Daemon: daemon, name: name, table: map[string]*watched{}, computer: loop.NewWaker(daemon.World), roller: loop.NewWaker(daemon.World)}
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
		loop.Every(region.World, region.every(func(tree *settings.Tree) time.Duration {
			return min(tree.Span("platform_ms", region.name)/2, tree.Span("dark_ms", region.name)/2, region.unlisted())
		}), region.guarded(region.list))
	})
	region.World.Go(func() {
		loop.Every(region.World, region.every(func(tree *settings.Tree) time.Duration { return tree.Span("probe_ms", region.name) }), region.guarded(region.probe))
	})
	region.World.Go(func() {
		region.computer.Run(region.World, region.every(tick), region.guarded(region.compute))
	})
	region.World.Go(func() {
		region.roller.Run(region.World, region.every(func(tree *settings.Tree) time.Duration {
			if region.hurries(tree) {
				return min(tick(tree), max(tick(tree)/8, region.due()))
			}
			return 2 * tick(tree)
		}), region.guarded(region.roll))
	})
}

// due is after which time a run of the region has something to do. The loop that turns
// the runs alone asks it.
func (region *region) due() time.Duration {
	region.guard.Lock()
	runner := region.runner
	region.guard.Unlock()
	if runner == nil {
		return loop.Forever
	}
	return runner.Due()
}

// hurries tells whether an order under a term is under way here.
func (region *region) hurries(tree *settings.Tree) bool {
	region.guard.Lock()
	defer region.guard.Unlock()
	for model, route := range region.routes {
		if placement, _ := tree.Placement(model, region.name); placement.Any() && (route.Trial != "" || route.Watched) {
			return true
		}
	}
	return false
}

// every gives a loop's span as the settings have it at the time, and a part of it right
// after this daemon began anew: until a standing is written nobody keeps what data daemons
// go by up to date.
func (region *region) every(span func(tree *settings.Tree) time.Duration) func() time.Duration {
	return func() time.Duration {
		if region.isFresh() {
			return min(span(region.tree()), region.tree().Span("dark_ms", region.name)/8)
		}
		return span(region.tree())
	}
}

// isFresh tells whether this daemon has begun anew not long ago, may have had the duty
// before, and has not written a standing under it yet.
func (region *region) isFresh() bool {
	if !region.Duties.IsBack || region.Table.Watched() > 3*region.span() {
		return false
	}
	region.guard.Lock()
	defer region.guard.Unlock()
	return region.before == nil || region.before.Duty != region.duty
}

// guarded makes a step that runs only under the duty.
func (region *region) guarded(step func(serial uint64, tree *settings.Tree)) func() bool {
	return func() bool {
		serial, held := region.Duties.Held(RegionDuty + region.name)
		region.guard.Lock()
		if !held {
			region.tenure, region.seeded, region.before = tenure{}, false, nil
			region.table = map[string]*watched{}
			region.runner = nil
		} else if region.duty != serial {
			region.tenure = tenure{serial, region.World.Now()}
			region.seeded, region.before, region.idle = false, nil, nil
			region.runner, region.listAt, region.lostAt = nil, 0, 0
		}
		region.guard.Unlock()
		if tree := region.tree(); held && tree != nil {
			step(serial, tree)
		}
		return !region.stopped.Load()
	}
}

// rows gives the replicas' table for the pure functions; false where it is not the table of
// the tenure any more, which was lost or began anew meanwhile: then the table was emptied.
func (region *region) rows(tree *settings.Tree, during tenure) ([]standing.Replica, bool) {
	now := region.World.Now()
	dark := tree.Span("dark_ms", region.name)
	tallies := region.tallies()
	region.guard.Lock()
	defer region.guard.Unlock()
	if region.tenure != during || !region.seeded {
		return nil, false
	}
	dim, all := 0, 0 // engines' replicas that do not answer probes, and all of them
	for _, one := range region.table {
		if one.engine(tree) != nil && !one.leaving && !one.unlisted && !one.isOver {
			all++
			if !one.probed || now-one.answered >= dark {
				dim++
			}
		}
	}
	// Probes wait behind requests, and the way to a region may be cut here and not
	// there: where most do not answer, those that are listed stay in use, and data
	// daemons go by what their own requests tell.
	isDoubtful := 2*dim > all
	var out []standing.Replica
	for _, one := range region.table {
		row := standing.Replica{
			ID: one.ID, Address: one.Address, Zone: one.Zone, Region: region.name,
			Leaving: one.leaving || one.unlisted || one.isOver, Alive: one.probed && now-one.answered < dark,
			Boot: one.boot(tree), Held: one.vitals.Held, Load: one.vitals.Load, Cold: now < one.coldUntil,
		}
		if one.Version != "" {
			row.Held = maps.Clone(row.Held)
			if row.Held == nil {
				row.Held = map[string]string{}
			}
			row.Held[one.Model+"/"+one.Version] = standing.Ready
		}
		if one.engine(tree) != nil {
			row.Alive = (row.Alive || isDoubtful && (one.probed || now-region.since > 2*dark)) && !one.isOut(tallies[one.ID], now)
		}
		out = append(out, row)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out, true
}

// daemons gives the data daemons' table.
func (daemon *Daemon) daemons() (out []standing.Daemon, incarnations map[string]string) {
	incarnations = map[string]string{}
	for _, one := range daemon.Table.Live(session.Data) {
		out = append(out, standing.Daemon{Name: one.Member.Name, Zone: one.Member.Zone, Region: one.Member.Region, Report: one.Report})
		incarnations[one.Member.Name] = one.Member.Name + "#" + one.Member.Incarnation
	}
	return out, incarnations
}

// restore fills the table with the names of the last standing, so that a new
// holder of the duty does not take a region for empty while the platform lags.
// In which life the replicas are, and what they hold where that is ordered, only probes
// can say; until they do it is the life that was shown last. It is false, and nothing is filled, where the tenure is over.
func (region *region) restore(last standing.Standing, during tenure) bool {
	now := region.World.Now()
	tree := region.tree()
	region.guard.Lock()
	defer region.guard.Unlock()
	if region.tenure != during {
		return false
	}
	for _, place := range last.Places {
		// The list may have come first.
		if have := region.table[place.ID]; have != nil && !have.probed && have.vitals.Boot == "" && have.Address == place.Address {
			have.vitals.Boot = place.Boot
		}
		if region.table[place.ID] == nil {
			one := &watched{Listed: listing.Listed{ID: place.ID, Address: place.Address, Zone: place.Zone}, answered: now, vitals: replica.Vitals{Boot: place.Boot}}
			for _, row := range last.Rows {
				// Whatever version it holds it holds for all of its life.
				if placement, _ := tree.Placement(row.Model, place.Zone); row.Replica == place.ID && placement.Any() {
					one.Model, one.Version = row.Model, row.Version
				}
			}
			region.table[place.ID] = one
		}
	}
	region.seeded = region.seeded || len(last.Places) > 0
	return true
}

// compute makes the standing and writes it when it says something new.
func (region *region) compute(serial uint64, tree *settings.Tree) {
	now := region.World.Now()
	region.guard.Lock()
	before, seeded, written, during := region.before, region.seeded, region.written, region.tenure
	region.guard.Unlock()
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
		if !region.restore(last, during) {
			return
		}
		before, written, seeded = &last, now, seeded || len(last.Places) > 0
	}
	// Until every replica was probed or is dark, the last standing stays.
	if !seeded || region.unprobed(tree) {
		return
	}
	_, whole, _ := region.Office.Current()
	evacuated := map[string]bool{}
	for _, zone := range whole.Evacuated {
		evacuated[zone] = true
	}
	region.handedBack(tree, evacuated)
	replicas, isMine := region.rows(tree, during)
	if !isMine {
		return
	}
	input := standing.Input{
		Region: region.name, Tree: tree, Duty: serial, Evacuated: evacuated, Replicas: replicas,
		Gone: region.Table.Gone(), Routes: map[string]standing.Route{}, Before: before, Since: now - written,
	}
	input.Daemons, _ = region.daemons()
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
	region.guard.Lock()
	region.routes, region.idle = input.Routes, idle
	region.guard.Unlock()
	next := standing.Compute(input)
	if before.Serial > 0 && standing.Same(*before, next) {
		region.keep(serial, before, written, now)
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
		region.keep(serial, nil, 0, 0)
		return
	}
	next.Serial = value.Serial
	if region.hurries(tree) {
		region.roller.Wake()
	}
	region.Log.Info("a standing was written", zap.String("region", region.name), zap.Uint64("serial", next.Serial), zap.String("changed", standing.Changed(*before, next)), zap.Strings("replicas", next.Shown()), zap.Duration("took", region.World.Now()-now))
	region.keep(serial, &next, now, now)
	region.tell(dropped(*before, next), next.Serial)
}

// dropped are the lives that were in the standing before and are not in the next one.
func dropped(before, next standing.Standing) (out []permit.Leaver) {
	stays := map[permit.Leaver]bool{}
	for _, one := range next.Places {
		stays[permit.Leaver{Replica: one.ID, Boot: one.Boot}] = true
	}
	for _, one := range before.Places {
		if life := (permit.Leaver{Replica: one.ID, Boot: one.Boot}); !stays[life] && life.Boot != "" {
			out = append(out, life)
		}
	}
	return out
}

// handedBack takes replicas of zones that are evacuated no more for cold: what became
// of them meanwhile nobody saw.
func (region *region) handedBack(tree *settings.Tree, evacuated map[string]bool) {
	now := region.World.Now()
	region.guard.Lock()
	defer region.guard.Unlock()
	for _, one := range region.table {
		if engine := one.engine(tree); engine != nil && region.evacuated[one.Zone] && !evacuated[one.Zone] {
			one.coldUntil = max(one.coldUntil, now+engine.Cold)
		}
	}
	region.evacuated = evacuated
}

// unprobed tells whether some replica may yet answer its first probe. Where most have
// answered none yet, that is so until they are taken for doubtful (see rows): between
// the two a new holder of the duty would show a region without replicas.
func (region *region) unprobed(tree *settings.Tree) bool {
	now := region.World.Now()
	region.guard.Lock()
	defer region.guard.Unlock()
	dark := tree.Span("dark_ms", region.name)
	// Only right after taking the duty; later a newcomer holds up nobody.
	if now-region.since > 2*dark {
		return false
	}
	waiting, silent := 0, 0
	for _, one := range region.table {
		switch {
		case one.probed:
		case now-one.answered < dark:
			waiting++
		default:
			silent++
		}
	}
	return waiting > 0 || 2*silent > len(region.table)
}

func (region *region) keep(duty uint64, before *standing.Standing, written, proved time.Duration) {
	region.guard.Lock()
	defer region.guard.Unlock()
	if region.duty == duty {
		region.before, region.written, region.proved = before, written, proved
	}
}

// keeping is the standing that this daemon keeps up to date, if it does.
func (region *region) keeping() (session.Keeping, bool) {
	region.guard.Lock()
	defer region.guard.Unlock()
	if region.before == nil || region.before.Duty != region.duty {
		return session.Keeping{}, false
	}
	return session.Keeping{Duty: region.duty, Serial: region.before.Serial, Age: region.World.Now() - region.proved}, true
}

// roll turns the region's runs.
func (region *region) roll(serial uint64, tree *settings.Tree) {
	region.guard.Lock()
	if region.runner == nil {
		region.runner = &rollout.Runner{World: region.World, Objects: region.Objects, Book: region.Book, Client: region.Replicas, Point: region.Point}
	}
	runner, routes, before, idle, during := region.runner, region.routes, region.before, region.idle, region.tenure
	region.guard.Unlock()
	if idle == nil || region.unprobed(tree) {
		return
	}
	replicas, isMine := region.rows(tree, during)
	if !isMine {
		return
	}
	_, whole, _ := region.Office.Current()
	scene := rollout.Scene{Region: region.name, Duty: serial, Tree: tree, Evacuated: map[string]bool{}, Replicas: replicas, Routes: routes, Standing: before, Watched: region.Table.Watched(), Idle: idle}
	scene.Daemons, scene.Incarnations = region.daemons()
	for _, zone := range whole.Evacuated {
		scene.Evacuated[zone] = true
	}
	err := runner.Turn(scene)
	region.guard.Lock()
	region.failed = ""
	if err != nil {
		region.failed = err.Error()
	}
	region.guard.Unlock()
	if err != nil {
		region.Log.Warn("roll-out turn", zap.String("region", region.name), zap.Error(err))
	}
}
