package rollout

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"swifttiller/loop"
	"swifttiller/replica"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/workflow"
)

// Contents is what a run is about.
type Contents struct {
	Model     string `json:"model"`
	Region    string `json:"region"`
	Version   string `json:"version"`
	Automatic bool   `json:"automatic"`
	// Wanted is set for automatic runs: the placement's version acted on.
	Wanted string `json:"wanted,omitempty"`
	// Over is the term of an order that has one, and Proved says that it asks for the
	// version that the last one brought.
	Over   time.Duration `json:"over,omitempty"`
	Proved bool          `json:"proved,omitempty"`
}

// Plainly ends a run because its version's failures are plain.
type Plainly struct{ Reason string }

// Error is one line.
func (plainly *Plainly) Error() string { return plainly.Reason }

// Unwrap makes it terminal.
func (plainly *Plainly) Unwrap() error { return &workflow.Terminal{Reason: plainly.Reason} }

// Key is a run's shelf.
func Key(model, region string) string { return model + "/" + region }

// Scene is what a runner sees of its region at one turn.
type Scene struct {
	Region    string
	Duty      uint64
	Tree      *settings.Tree
	Evacuated map[string]bool
	Replicas  []standing.Replica
	Daemons   []standing.Daemon
	// Incarnations of the daemons, so that a restarted one's counts are new.
	Incarnations map[string]string
	// Routes are the region's, as last read.
	Routes map[string]standing.Route
	// Standing is the region's as last written; nil when it is not known.
	Standing *standing.Standing
	// Watched is for how long this daemon has listened to the others' sessions; what
	// Daemons does not show after one session bound is not there.
	Watched time.Duration
	// Idle are models about which there is no run, nor ever was one, nor can be by
	// itself: nothing is read for them.
	Idle map[string]bool
}

// Runner turns a region's runs and brings its replicas to the wanted state.
type Runner struct {
	World   loop.World
	Objects *Objects
	Book    *workflow.Book
	Client  replica.Client
	// Point, if set, is told of each step's passing, for faults in tests.
	Point func(name string)

	logs   map[string]*workflow.Log
	orders map[string]time.Duration // when an order was last sent
	// began is when this runner first waited for what the key names, on its own
	// clock. Spans of a run go by it: a calendar may jump, and the next holder's may
	// stand elsewhere. A new holder waits a span anew.
	began map[string]time.Duration
	// guarded is, by model, the route that guard looks at.
	guarded map[string]guarded
	// recorded is how much of a run's term was over when this runner took it, and shown
	// the standing that first showed the run's move.
	recorded map[string]time.Duration
	shown    map[string]uint64
	// due is after which time the last turn left something to do.
	due time.Duration
}

// Due is after which time a run under a term has something to do that was left by the
// last turn; whoever turns the runs asks it.
func (runner *Runner) Due() time.Duration { return runner.due }

// wait is ErrWait, for no longer than the span.
func (runner *Runner) wait(span time.Duration) error {
	runner.due = min(runner.due, span)
	return workflow.ErrWait
}

// guarded is a route that no run is on, and the counts that came before it and say
// nothing of it.
type guarded struct {
	serial uint64
	base   map[string]standing.Outcome
}

// spent is for how long this runner has waited for what the key names.
func (runner *Runner) spent(key string) time.Duration {
	now := runner.World.Now()
	began, known := runner.began[key]
	if !known {
		began = now
		runner.began[key] = now
	}
	return now - began
}

// waits names a run's waiting at a step.
func waits(log *workflow.Log, contents Contents, step string) string {
	return Key(contents.Model, contents.Region) + "|" + log.Run().ID + "|" + step
}

func (runner *Runner) point(name string) {
	if runner.Point != nil {
		runner.Point(name)
	}
}

// Turn does what can be done now for every model of the region.
func (runner *Runner) Turn(scene Scene) error {
	if runner.logs == nil {
		runner.logs, runner.orders, runner.began, runner.guarded = map[string]*workflow.Log{}, map[string]time.Duration{}, map[string]time.Duration{}, map[string]guarded{}
		runner.recorded, runner.shown = map[string]time.Duration{}, map[string]uint64{}
	}
	var failed error
	runner.due = loop.Forever
	for _, model := range scene.Tree.Models(scene.Region) {
		if scene.Idle[model] {
			continue
		}
		if err := runner.turn(scene, model); err != nil && !errors.Is(err, workflow.ErrWait) {
			failed = fmt.Errorf("roll-out of %s in %s: %w", model, scene.Region, err)
		}
	}
	return failed
}

func (runner *Runner) turn(scene Scene, model string) error {
	key := Key(model, scene.Region)
	placement, _ := scene.Tree.Placement(model, scene.Region)
	log := runner.logs[key]
	if log == nil || log.Run().Fence != scene.Duty {
		var err error
		if log, err = runner.Book.Resume(key, scene.Duty); err != nil {
			return err
		}
		if log == nil && placement.Any() {
			if log, err = runner.term(scene, model); err != nil {
				return err
			}
		}
	}
	if log != nil {
		runner.logs[key] = log
		err := runner.advance(scene, log)
		var terminal *workflow.Terminal
		switch {
		case err == nil:
			err = log.Finish(workflow.Done, "")
		case errors.As(err, &terminal):
			var plainly *Plainly
			isPlain := errors.As(err, &plainly)
			err = nil
			if contents, broken := read(log); broken == nil && contents.Over > 0 {
				err = runner.takeBack(scene, log.Run().ID, contents, terminal.Reason, isPlain)
			} else if broken == nil { // else it never began
				err = runner.abandon(scene, work{log.Run().ID, log.Recorded("route", nil), log.Recorded("trial-order", nil) || log.Recorded("order", nil)}, contents, isPlain)
			}
			if err == nil {
				err = log.Finish(workflow.Failed, terminal.Reason)
			}
		}
		if !errors.Is(err, workflow.ErrWait) {
			delete(runner.logs, key) // finished, or to be read anew
			isOver := func(at string) bool {
				return log.Run().State != workflow.Running && strings.HasPrefix(at, key+"|"+log.Run().ID+"|")
			}
			maps.DeleteFunc(runner.began, func(at string, _ time.Duration) bool { return isOver(at) })
			maps.DeleteFunc(runner.recorded, func(at string, _ time.Duration) bool { return isOver(at) })
			maps.DeleteFunc(runner.shown, func(at string, _ uint64) bool { return isOver(at) })
		}
		if err != nil && !errors.Is(err, workflow.ErrWait) {
			return err
		}
	} else if placement.Any() {
		return nil // no version is ordered, guarded or brought about here
	} else if isBack, err := runner.guard(scene, model); err != nil || isBack {
		return err
	} else if err := runner.automatic(scene, model); err != nil {
		return err
	}
	if placement.Any() {
		return nil
	}
	if err := runner.Objects.Due(model, scene.Region, scene.Duty, scene.Tree.Span("archive_ms", scene.Region)); err != nil {
		return err
	}
	return runner.reconcile(scene, model)
}

// automatic starts a run when the tree names another version than it did.
func (runner *Runner) automatic(scene Scene, model string) error {
	placement, placed := scene.Tree.Placement(model, scene.Region)
	if !placed || !scene.Tree.Automatic(model, scene.Region) {
		return nil
	}
	have, err := runner.Objects.Model(model)
	if err != nil {
		return err
	}
	route := have.Routes[scene.Region]
	if have.Wanted[scene.Region] == placement.Version || have.RolledBack || route.Bears(placement.Version) || have.Failed[placement.Version] != "" {
		return nil
	}
	if route.Version == placement.Version {
		_, err := runner.Objects.Change(model, scene.Region, scene.Duty, func(model *Model) error {
			model.Wanted[scene.Region] = placement.Version
			return nil
		})
		return err
	}
	contents := Contents{Model: model, Region: scene.Region, Version: placement.Version, Automatic: true, Wanted: placement.Version}
	id := fmt.Sprintf("auto-%s-from-%s-%d", placement.Version, orNone(route.Version), route.Serial)
	_, _, err = runner.Book.Start(Key(model, scene.Region), id, contents)
	return err
}

func orNone(version string) string {
	if version == "" {
		return "none"
	}
	return version
}

// advance goes through the steps, past those that are recorded.
func (runner *Runner) advance(scene Scene, log *workflow.Log) error {
	contents, err := read(log)
	if err != nil {
		return &workflow.Terminal{Reason: err.Error()}
	}
	if contents.Over > 0 {
		return runner.within(scene, log, contents)
	}
	if placement, _ := scene.Tree.Placement(contents.Model, scene.Region); placement.Any() {
		return &workflow.Terminal{Reason: "the placement holds any version, of which none is loaded by order; a roll-out there needs a term"}
	}
	var base struct{ Old string }
	if err := runner.step(log, "validate", func() (any, error) {
		old, err := runner.validate(scene, log, contents)
		return struct{ Old string }{old}, err
	}, &base); err != nil {
		return err
	}
	if base.Old == contents.Version {
		return nil // there already
	}
	if base.Old != "" {
		if err := runner.trial(scene, log, contents, base.Old); err != nil {
			return err
		}
	}
	if err := runner.step(log, "order", func() (any, error) {
		return runner.order(scene, contents, nil)
	}, nil); err != nil {
		return err
	}
	if err := runner.step(log, "ready", func() (any, error) {
		return runner.ready(scene, log, contents, "order", nil)
	}, nil); err != nil {
		return err
	}
	if err := runner.move(scene, log, contents, base.Old != "", func(revise func(*standing.Route)) error {
		return runner.route(scene, log, contents, func(_ *Model, route *standing.Route) { revise(route) })
	}); err != nil {
		return err
	}
	if base.Old != "" {
		if err := runner.watch(scene, log, contents, base.Old); err != nil {
			return err
		}
	}
	if err := runner.step(log, "live", func() (any, error) {
		return nil, runner.route(scene, log, contents, func(model *Model, route *standing.Route) {
			model.Live = live(model)
			route.Run, route.Watched = "", false
		})
	}, nil); err != nil {
		return err
	}
	if base.Old == "" {
		return nil
	}
	return runner.step(log, "standby", func() (any, error) {
		return nil, runner.Objects.Schedule(contents.Model, base.Old, scene.Region, scene.Duty, STANDBY, scene.Tree.Span("standby_ms", scene.Region))
	}, nil)
}

// step is the log's, past a point of the same name.
func (runner *Runner) step(log *workflow.Log, name string, do func() (any, error), result any) error {
	return log.Step(name, func() (any, error) {
		runner.point(name)
		return do()
	}, result)
}

// move leads the region's route to the run's version, under a serial that is recorded
// before; change revises the route while it is the run's.
func (runner *Runner) move(scene Scene, log *workflow.Log, contents Contents, isWatched bool, change func(revise func(*standing.Route)) error) error {
	var serial uint64
	if err := runner.step(log, "serial", func() (any, error) { return runner.Objects.NextSerial(scene.Region) }, &serial); err != nil {
		return err
	}
	return runner.step(log, "route", func() (any, error) {
		return nil, change(func(route *standing.Route) {
			if route.Version != contents.Version {
				route.Previous = route.Version
			}
			route.Version, route.Trial, route.TrialReplicas = contents.Version, "", nil
			route.Serial, route.Moved, route.Watched = serial, runner.World.Wall(), isWatched
		})
	}, nil)
}

func read(log *workflow.Log) (contents Contents, err error) {
	return contents, unmarshal(log.Run().Contents, &contents)
}

// validate checks the record and claims the region's route for this run.
func (runner *Runner) validate(scene Scene, log *workflow.Log, contents Contents) (string, error) {
	if _, placed := scene.Tree.Placement(contents.Model, scene.Region); !placed {
		return "", &workflow.Terminal{Reason: fmt.Sprintf("model %q is not placed in region %s", contents.Model, scene.Region)}
	}
	old := ""
	_, err := runner.Objects.Change(contents.Model, scene.Region, scene.Duty, func(model *Model) error {
		route := model.Routes[scene.Region]
		old = route.Version
		if contents.Automatic {
			if model.RolledBack {
				return &workflow.Terminal{Reason: "the model was rolled back; automatic roll-outs wait for a promote"}
			}
			if route.Bears(contents.Version) || model.Failed[contents.Version] != "" {
				return &workflow.Terminal{Reason: fmt.Sprintf("version %s failed here before; promote to let it be tried again", contents.Version)}
			}
			model.Wanted[scene.Region] = contents.Wanted
		}
		route.Run = log.Run().ID
		model.Routes[scene.Region] = route
		return nil
	})
	return old, err
}

// route writes the region's row, while this run still has the claim to it.
func (runner *Runner) route(scene Scene, log *workflow.Log, contents Contents, revise func(*Model, *standing.Route)) error {
	_, err := runner.Objects.Change(contents.Model, scene.Region, scene.Duty, func(model *Model) error {
		route := model.Routes[scene.Region]
		if err := claim(model, route, log, contents); err != nil {
			return err
		}
		revise(model, &route)
		model.Routes[scene.Region] = route
		// The live pointer is of all routes, this one included.
		if model.Live = live(model); model.Live == "" {
			model.Live = route.Version
		}
		return nil
	})
	return err
}

// order wants the version loaded and orders it at once; what is missed, or
// comes later, the reconciling loop orders.
func (runner *Runner) order(scene Scene, contents Contents, only []string) (any, error) {
	desired, err := runner.Objects.Want(contents.Model, contents.Version, scene.Region, scene.Duty, RUNNING, only)
	if err != nil {
		return nil, err
	}
	var limited time.Duration
	var ordered []string
	for _, one := range scene.placed(contents.Model) {
		if !one.Alive || one.Leaving || len(only) > 0 && !has(only, one.ID) {
			continue
		}
		err := runner.send(scene, contents.Model, contents.Version, one, desired, replica.Load)
		var wait *replica.RateLimited
		var rejected *replica.Rejected
		switch {
		case errors.As(err, &wait):
			limited = max(limited, wait.ComeBack)
		case errors.As(err, &rejected):
			return nil, &workflow.Terminal{Reason: fmt.Sprintf("replica %s: %v", one.ID, err)}
		case err == nil:
			ordered = append(ordered, one.ID)
		}
	}
	if limited > 0 {
		return nil, &workflow.Limited{ComeBack: limited}
	}
	if len(ordered) == 0 {
		return nil, errors.New("no replica took the order")
	}
	return ordered, nil
}

// send gives one order; its name is the same however often it is given.
func (runner *Runner) send(scene Scene, model, version string, one standing.Replica, desired Desired, state string) error {
	order := replica.Order{ID: fmt.Sprintf("%s/%s/%s/%d/%s", model, version, scene.Region, desired.Order, state), Fence: scene.Duty, Model: model, Version: version, State: state}
	runner.point("send")
	runner.orders[one.ID+"|"+model+"/"+version] = runner.World.Now()
	return runner.Client.Order(one.Address, order, scene.Tree.Span("probe_ms", scene.Region)*2)
}

// ready waits until enough of the replicas hold the version.
func (runner *Runner) ready(scene Scene, log *workflow.Log, contents Contents, since string, only []string) (any, error) {
	var holding, wanted []string
	for _, one := range scene.placed(contents.Model) {
		if only == nil && (!one.Alive || one.Leaving) || only != nil && !has(only, one.ID) {
			continue
		}
		wanted = append(wanted, one.ID)
		if one.Alive && one.Held[contents.Model+"/"+contents.Version] == standing.Ready {
			holding = append(holding, one.ID)
		}
	}
	share := scene.Tree.Limit("ready_share", scene.Region)
	if only != nil {
		share = 1
	}
	if len(holding) > 0 && float64(len(holding)) >= share*float64(len(wanted)) {
		return holding, nil
	}
	if span := scene.Tree.Span("load_ms", scene.Region); runner.spent(waits(log, contents, since)) > span {
		return nil, &workflow.Terminal{Reason: fmt.Sprintf("only %d of %d replicas loaded %s within %v", len(holding), len(wanted), contents.Version, span)}
	}
	return nil, workflow.ErrWait
}

// trial puts the version on few replicas at their normal load and judges it by
// kind of request against the old one.
func (runner *Runner) trial(scene Scene, log *workflow.Log, contents Contents, old string) error {
	var selected []string
	if err := runner.step(log, "trial-select", func() (any, error) {
		return runner.selectTrial(scene, log, contents)
	}, &selected); err != nil {
		return err
	}
	if err := runner.step(log, "trial-order", func() (any, error) {
		return runner.order(scene, contents, selected)
	}, nil); err != nil {
		return err
	}
	if err := runner.step(log, "trial-ready", func() (any, error) {
		return runner.ready(scene, log, contents, "trial-order", selected)
	}, nil); err != nil {
		return err
	}
	var base map[string]standing.Outcome
	if err := log.Step("trial-base", func() (any, error) { return totals(scene, contents, old), nil }, &base); err != nil {
		return err
	}
	var serial uint64
	if err := log.Step("trial-serial", func() (any, error) { return runner.Objects.NextSerial(scene.Region) }, &serial); err != nil {
		return err
	}
	if err := runner.step(log, "trial-route", func() (any, error) {
		return nil, runner.route(scene, log, contents, func(_ *Model, route *standing.Route) {
			route.Trial, route.TrialReplicas, route.Serial = contents.Version, selected, serial
		})
	}, nil); err != nil {
		return err
	}
	return runner.step(log, "trial-judge", func() (any, error) {
		return runner.judge(scene, log, contents, old, base)
	}, nil)
}

// selectTrial picks the replicas; one region of a model tries at a time, so
// that the small share is one of the whole.
func (runner *Runner) selectTrial(scene Scene, log *workflow.Log, contents Contents) ([]string, error) {
	count := int(scene.Tree.Limit("trial_replicas", scene.Region))
	var able []string
	for _, one := range scene.placed(contents.Model) {
		if one.Alive && !one.Leaving && !scene.Evacuated[one.Zone] {
			able = append(able, one.ID)
		}
	}
	if len(able) == 0 {
		return nil, workflow.ErrWait
	}
	sort.Strings(able)
	selected := able[:min(count, len(able))]
	_, err := runner.Objects.Change(contents.Model, scene.Region, scene.Duty, func(model *Model) error {
		for _, region := range sorted(model.Routes) {
			if other := model.Routes[region]; region != scene.Region && len(other.TrialReplicas) > 0 {
				return workflow.ErrWait
			}
		}
		route := model.Routes[scene.Region]
		if err := claim(model, route, log, contents); err != nil {
			return err
		}
		// Named before any traffic goes there, and so claimed.
		route.TrialReplicas = selected
		model.Routes[scene.Region] = route
		return nil
	})
	return selected, err
}

// totals sums the daemons' counts of the two versions in the region, by daemon
// incarnation, version and kind.
func totals(scene Scene, contents Contents, old string) map[string]standing.Outcome {
	out := map[string]standing.Outcome{}
	for _, daemon := range scene.Daemons {
		for _, one := range daemon.Report.Total {
			if one.Model == contents.Model && one.Replica == scene.Region && (one.Version == contents.Version || one.Version == old) {
				out[scene.Incarnations[daemon.Name]+"|"+one.Version+"|"+one.Kind] = one
			}
		}
	}
	return out
}

// since gives what came on top of the base, by version and kind.
func since(scene Scene, contents Contents, old string, base map[string]standing.Outcome) (mine, other map[string]standing.Outcome) {
	mine, other = map[string]standing.Outcome{}, map[string]standing.Outcome{}
	now := totals(scene, contents, old)
	for _, key := range slices.Sorted(maps.Keys(now)) {
		one, before := now[key], base[key]
		one.OK -= before.OK
		one.Mishaps -= before.Mishaps
		one.Late = max(0, one.Late-before.Late)
		table := other
		if one.Version == contents.Version {
			table = mine
		}
		sum := table[one.Kind]
		sum.Add(one)
		table[one.Kind] = sum
	}
	return mine, other
}

// plain finds a kind on which the version's failures are plain.
func plain(scene Scene, contents Contents, old string, mine, other map[string]standing.Outcome) (string, bool) {
	for _, kind := range sorted(mine) {
		if standing.PlainVersion(mine[kind], other[kind]) {
			return kind, true
		}
	}
	// What the last seconds show counts by itself: a version may fail only
	// once load has risen.
	recent := map[string]standing.Outcome{}
	before := map[string]standing.Outcome{}
	for key, one := range standing.Gather(scene.Daemons) {
		if key.Model != contents.Model || !inRegion(scene, key.Replica) {
			continue
		}
		table := recent
		if key.Version == old {
			table = before
		} else if key.Version != contents.Version {
			continue
		}
		sum := table[key.Kind]
		sum.Add(one)
		table[key.Kind] = sum
	}
	for _, kind := range sorted(recent) {
		if standing.PlainVersion(recent[kind], before[kind]) {
			return kind, true
		}
	}
	return "", false
}

func inRegion(scene Scene, id string) bool {
	for _, one := range scene.Replicas {
		if one.ID == id {
			return true
		}
	}
	return false
}

// placed lists the replicas in the zones that hold the model.
func (scene Scene) placed(model string) (list []standing.Replica) {
	for _, one := range scene.Replicas {
		if _, isPlaced := scene.Tree.Placement(model, one.Zone); isPlaced {
			list = append(list, one)
		}
	}
	return list
}

// Judgement is a trial's outcome.
type Judgement struct {
	Good   bool
	Reason string
}

func (runner *Runner) judge(scene Scene, log *workflow.Log, contents Contents, old string, base map[string]standing.Outcome) (any, error) {
	mine, other := since(scene, contents, old, base)
	if kind, bad := plain(scene, contents, old, mine, other); bad {
		return nil, &Plainly{fmt.Sprintf("version %s fails on kind %q: %d of %d", contents.Version, kind, mine[kind].Mishaps+mine[kind].Late, max(mine[kind].Mishaps+mine[kind].OK, mine[kind].Mishaps+mine[kind].Late))}
	}
	if err := runner.claimed(scene, log, contents); err != nil {
		return nil, err
	}
	spent := runner.spent(waits(log, contents, "trial-judge"))
	if spent < scene.Tree.Span("trial_ms", scene.Region) {
		return nil, workflow.ErrWait
	}
	short := ""
	samples := int(scene.Tree.Limit("trial_samples", scene.Region))
	for _, kind := range sorted(other) {
		if one := mine[kind]; one.OK+one.Mishaps < samples && other[kind].OK+other[kind].Mishaps > 0 {
			short = kind
		}
	}
	if (short != "" || len(mine) == 0) && spent < scene.Tree.Span("trial_most_ms", scene.Region) {
		return nil, workflow.ErrWait
	}
	if short != "" {
		// Too few to be plain, but nothing speaks for it either: a version that
		// ends its replica gets few requests and answers none.
		for _, kind := range sorted(mine) {
			if standing.Doubtful(mine[kind], other[kind]) {
				return nil, &Plainly{fmt.Sprintf("version %s had too few requests of kind %q, and did not stand the few: %d failed, %d were answered", contents.Version, kind, mine[kind].Mishaps+mine[kind].Late, mine[kind].OK)}
			}
		}
	}
	reason := "enough answers of every kind"
	if short != "" {
		reason = fmt.Sprintf("kind %q had too few requests; what there was did not fail", short)
	}
	return Judgement{true, reason}, nil
}

// claimed ends the run when an operator has taken the route from it.
func (runner *Runner) claimed(scene Scene, log *workflow.Log, contents Contents) error {
	have, err := runner.Objects.Model(contents.Model)
	if err != nil {
		return err
	}
	return claim(&have, have.Routes[scene.Region], log, contents)
}

// claim tells whether the run may still go on.
func claim(model *Model, route standing.Route, log *workflow.Log, contents Contents) error {
	if model.Failed[contents.Version] == log.Run().ID {
		return &workflow.Terminal{Reason: fmt.Sprintf("version %s failed in another region", contents.Version)}
	}
	if route.Run != log.Run().ID {
		return &workflow.Terminal{Reason: "superseded: the route was moved meanwhile"}
	}
	return nil
}

// watch keeps an eye on the version after the move and takes it back when its
// failures become plain.
func (runner *Runner) watch(scene Scene, log *workflow.Log, contents Contents, old string) error {
	var base map[string]standing.Outcome
	if err := log.Step("watch-base", func() (any, error) { return totals(scene, contents, old), nil }, &base); err != nil {
		return err
	}
	return runner.step(log, "watch", func() (any, error) {
		mine, _ := since(scene, contents, old, base)
		if kind, bad := plain(scene, contents, old, mine, map[string]standing.Outcome{}); bad {
			return nil, &Plainly{fmt.Sprintf("version %s fails on kind %q after the route moved", contents.Version, kind)}
		}
		if err := runner.claimed(scene, log, contents); err != nil {
			return nil, err
		}
		if runner.spent(waits(log, contents, "watch")) < scene.Tree.Span("watch_ms", scene.Region) {
			return nil, workflow.ErrWait
		}
		return "no plain failures", nil
	}, nil)
}

// guard keeps an eye on a version whose run is over for as long as the one before it
// is loaded, so that going back is a pointer change. A kind of request may come to a
// region only once the watch is over, and the version may fail on just that. It goes
// by all counts since the daemons began, so that a kind which the version has answered
// for long is not given up for a few broken streams. It tells whether it went back.
func (runner *Runner) guard(scene Scene, model string) (bool, error) {
	route, known := scene.Routes[model]
	if !known || route.Run != "" || route.Previous == "" || route.Bears(route.Previous) || route.Trial != "" {
		return false, nil
	}
	contents := Contents{Model: model, Region: scene.Region, Version: route.Version}
	failing := func(base map[string]standing.Outcome) string {
		mine, _ := since(scene, contents, route.Previous, base)
		for _, kind := range sorted(mine) {
			if one := mine[kind]; standing.PlainVersion(one, standing.Outcome{}) && one.Mishaps+one.Late > one.OK {
				return kind
			}
		}
		return ""
	}
	at, isSeen := runner.guarded[model]
	if !isSeen || at.serial != route.Serial {
		at = guarded{serial: route.Serial}
		if isSeen && failing(nil) != "" {
			// It failed before this route pointed to it; an operator wants it all the
			// same, and it has to fail anew.
			at.base = totals(scene, contents, route.Previous)
		}
		runner.guarded[model] = at
	}
	if failing(at.base) == "" {
		return false, nil
	}
	version, err := runner.Objects.Version(model, route.Previous)
	if err != nil || version.Regions[scene.Region].State != RUNNING {
		return false, err
	}
	shelf, _, err := runner.Book.Read(Key(model, scene.Region))
	if err != nil || shelf.Run == nil || shelf.Run.State == workflow.Running {
		return false, err
	}
	runner.point("guard")
	return true, runner.abandon(scene, work{id: shelf.Run.ID, moved: true}, contents, true)
}

// work is what a run has done: whether it moved the route, and whether it ordered its
// version.
type work struct {
	id             string
	moved, ordered bool
}

// abandon takes back what a run that failed has done, as far as the route is
// still its own. Where the version's failures are plain it is taken back in
// every region at once: what fails in one is not tried on the others' users.
// Every part is an upsert.
func (runner *Runner) abandon(scene Scene, done work, contents Contents, plainly bool) error {
	have, err := runner.Objects.Model(contents.Model)
	if err != nil {
		return err
	}
	if have.Routes[scene.Region].Run != done.id && !plainly {
		return nil // the route has gone its own way
	}
	serials := map[string]uint64{}
	old := map[string]string{} // what each region goes back to
	for _, region := range sorted(have.Routes) {
		route := have.Routes[region]
		touched := region == scene.Region || plainly && (route.Trial == contents.Version || route.Version == contents.Version)
		if !touched {
			continue
		}
		if serials[region], err = runner.Objects.NextSerial(region); err != nil {
			return err
		}
		if route.Version == contents.Version && route.Previous != "" && (region != scene.Region || done.moved) {
			version, err := runner.Objects.Version(contents.Model, route.Previous)
			if err != nil {
				return err
			}
			if version.Regions[region].State == RUNNING {
				old[region] = route.Previous
			}
		}
	}
	for _, region := range sorted(old) {
		// Kept loaded before anything points to it.
		if _, err := runner.Objects.Want(contents.Model, old[region], region, 0, RUNNING, nil); err != nil {
			return err
		}
	}
	_, err = runner.Objects.Change(contents.Model, scene.Region, scene.Duty, func(model *Model) error {
		if plainly {
			if model.Failed == nil {
				model.Failed = map[string]string{}
			}
			model.Failed[contents.Version] = done.id
		}
		for _, region := range sorted(serials) {
			route := model.Routes[region]
			if region == scene.Region && route.Run != done.id && !plainly {
				continue
			}
			if plainly && !route.Bears(contents.Version) {
				route.Banned = append(route.Banned, contents.Version)
			}
			if region == scene.Region || route.Trial == contents.Version {
				route.Run, route.Trial, route.TrialReplicas, route.Watched = "", "", nil, false
			}
			if back := old[region]; back != "" && route.Version == contents.Version && route.Previous == back {
				route.Version, route.Previous, route.Run, route.Watched = back, contents.Version, "", false
				route.Moved = runner.World.Wall()
				model.RolledBack = true
			}
			route.Serial = serials[region]
			model.Routes[region] = route
		}
		model.Live = live(model)
		return nil
	})
	if err != nil {
		return err
	}
	for _, region := range sorted(serials) {
		if old[region] != "" {
			err = runner.Objects.Schedule(contents.Model, contents.Version, region, 0, STANDBY, scene.Tree.Span("standby_ms", region))
		} else if region != scene.Region || done.ordered {
			_, err = runner.Objects.Want(contents.Model, contents.Version, region, 0, ARCHIVED, nil)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// reconcile works out, replica by replica, what differs from the wanted state
// and orders that. A version is unloaded only once no stream runs on it, or
// unload_wait_ms after it was given up.
func (runner *Runner) reconcile(scene Scene, model string) error {
	versions, err := runner.Objects.Versions(model)
	if err != nil {
		return err
	}
	streams := map[standing.Held]int{}
	for _, daemon := range scene.Daemons {
		for held, count := range daemon.Report.Streams {
			streams[held] += count
		}
	}
	now := runner.World.Now()
	for _, version := range sorted(versions) {
		desired, known := versions[version].Regions[scene.Region]
		if !known {
			continue
		}
		for _, one := range scene.placed(model) {
			if !one.Alive || one.Leaving {
				continue
			}
			state := wanted(desired, one.ID)
			have := one.Held[model+"/"+version]
			if have == state || have == standing.Loading && state == replica.Load || have == "" && state != replica.Load {
				continue
			}
			unload := fmt.Sprintf("unload %s/%s/%d/%s", model, version, desired.Order, one.ID)
			if state != replica.Load && streams[standing.Held{Replica: one.ID, Model: model, Version: version}] > 0 &&
				runner.spent(unload) < scene.Tree.Span("unload_wait_ms", scene.Region) {
				continue
			}
			if last, sent := runner.orders[one.ID+"|"+model+"/"+version]; sent && now-last < 4*scene.Tree.Span("probe_ms", scene.Region) {
				continue // its effect may not show in the probes yet
			}
			delete(runner.began, unload)
			_ = runner.send(scene, model, version, one, desired, state) // tried again while it differs
		}
	}
	return nil
}

func wanted(desired Desired, id string) string {
	switch {
	case desired.State == RUNNING && (len(desired.Only) == 0 || has(desired.Only, id)):
		return replica.Load
	case desired.State == STANDBY:
		return replica.Standby
	}
	return replica.Drop
}
