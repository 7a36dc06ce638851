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
	"swifttiller/routing"
	"swifttiller/settings"
	"swifttiller/workflow"
)

// Contents is the input of a roll-out run; it is stored with the run.
type Contents struct {
	Model     string `json:"model"`
	Region    string `json:"region"`
	Version   string `json:"version"`
	Automatic bool   `json:"automatic"`
	// Wanted is set for automatic runs only: the placement's version that started the
	// run.
	Wanted string `json:"wanted,omitempty"`
	// Over is the duration of a timed roll-out and zero for all others. Proved says
	// that the timed roll-out orders the version that the routes already point to, so
	// it needs no trial.
	Over   time.Duration `json:"over,omitempty"`
	Proved bool          `json:"proved,omitempty"`
}

// VersionFailure ends a run because the failures of its version are statistically
// clear. The version is then rolled back in all regions, not only in the run's own.
type VersionFailure struct{ Reason string }

// Error returns the reason of the failure.
func (failure *VersionFailure) Error() string { return failure.Reason }

// Unwrap makes the failure a terminal error of the run.
func (failure *VersionFailure) Unwrap() error { return &workflow.Terminal{Reason: failure.Reason} }

// Key returns the key of the run store of a model in a region.
func Key(model, region string) string { return model + "/" + region }

// RegionView is the state of a region that a runner works on in one pass.
type RegionView struct {
	Region    string
	Term      uint64
	Tree      *settings.Tree
	Evacuated map[string]bool
	Replicas  []routing.Replica
	Daemons   []routing.Daemon
	// Incarnations maps each daemon's name to its current incarnation, so that the
	// counters of a restarted daemon are distinguished from those before the restart.
	Incarnations map[string]string
	// Routes holds the region's route of each model, as last read.
	Routes map[string]routing.Route
	// RoutingTable is the region's routing table as last written, or nil if it is unknown.
	RoutingTable *routing.Table
	// SessionsWatched is how long this daemon has been receiving the other daemons' sessions.
	// Once it exceeds the session timeout, a data daemon that is missing from Daemons
	// does not exist.
	SessionsWatched time.Duration
	// Idle holds the models that have no run, never had one, and for which none can
	// start without an operator. Their registers are not read.
	Idle map[string]bool
}

// Runner advances the roll-out runs of a region and reconciles its replicas with the
// desired state.
type Runner struct {
	World   loop.World
	Objects *Objects
	Journal *workflow.Journal
	Client  replica.Client
	// Failpoint is a failpoint: if set, it is called with the name of each step before the
	// step runs, so that tests can inject faults.
	Failpoint func(name string)

	openRuns    map[string]*workflow.Log
	orderSentAt map[string]time.Duration // by replica and version: when the last order was sent
	// waitStart holds, by wait key, when this runner started to wait, on its own
	// monotonic clock. All durations within a run are measured this way, because the
	// wall clock may jump and may differ between leaders. A new leader therefore starts
	// each wait over.
	waitStart map[string]time.Duration
	// guardedRoutes holds, by model, the route that guardRoute is checking.
	guardedRoutes map[string]guardedRoute
	// recordedElapsed is, by wait key, how much of a timed run's duration had passed,
	// according to the run's records, when this runner took it over. movedSerial is the
	// serial of the first routing table that shows the run's new route.
	recordedElapsed map[string]time.Duration
	movedSerial     map[string]uint64
	// lastWrite is how long this runner's last write of a timed roll-out took.
	lastWrite time.Duration
	// retryAfter is the delay after which the next pass has something to do.
	retryAfter time.Duration
}

// RetryAfter returns the delay after which a timed run needs the next call of RunOnce. It is set
// by the last call of RunOnce.
func (runner *Runner) RetryAfter() time.Duration { return runner.retryAfter }

// wait returns workflow.ErrWait and asks for the next pass after the given delay at the
// latest.
func (runner *Runner) wait(delay time.Duration) error {
	runner.retryAfter = min(runner.retryAfter, delay)
	return workflow.ErrWait
}

// guardedRoute is a route without an active run. base holds the outcome counts from
// before the check started, which are not held against the version.
type guardedRoute struct {
	serial uint64
	base   map[string]routing.Outcome
}

// waited returns how long this runner has waited under the key. The first call with a
// key starts the wait.
func (runner *Runner) waited(key string) time.Duration {
	now := runner.World.Now()
	start, isKnown := runner.waitStart[key]
	if !isKnown {
		start = now
		runner.waitStart[key] = now
	}
	return now - start
}

// waitKey returns the key of a run's wait at a step.
func waitKey(log *workflow.Log, contents Contents, step string) string {
	return Key(contents.Model, contents.Region) + "|" + log.Run().ID + "|" + step
}

func (runner *Runner) failpoint(name string) {
	if runner.Failpoint != nil {
		runner.Failpoint(name)
	}
}

// RunOnce makes one pass over all models of the region and does whatever can be done
// without waiting. It returns the last error.
func (runner *Runner) RunOnce(scene RegionView) error {
	if runner.openRuns == nil {
		runner.openRuns, runner.orderSentAt, runner.waitStart, runner.guardedRoutes = map[string]*workflow.Log{}, map[string]time.Duration{}, map[string]time.Duration{}, map[string]guardedRoute{}
		runner.recordedElapsed, runner.movedSerial = map[string]time.Duration{}, map[string]uint64{}
	}
	var lastErr error
	runner.retryAfter = loop.Forever
	for _, model := range scene.Tree.Models(scene.Region) {
		if scene.Idle[model] {
			continue
		}
		if err := runner.runModel(scene, model); err != nil && !errors.Is(err, workflow.ErrWait) {
			lastErr = fmt.Errorf("roll-out of %s in %s: %w", model, scene.Region, err)
		}
	}
	return lastErr
}

// runModel resumes and advances the model's run, if it has one, and undoes what the run
// changed if it fails. Without a run, it may roll back a version that fails, or start
// an automatic run. Then it reconciles the model's replicas, unless the placement allows
// any version.
func (runner *Runner) runModel(scene RegionView, model string) error {
	key := Key(model, scene.Region)
	placement, _ := scene.Tree.Placement(model, scene.Region)
	log := runner.openRuns[key]
	if log == nil || log.Run().Fence != scene.Term {
		var err error
		if log, err = runner.Journal.Resume(key, scene.Term); err != nil {
			return err
		}
		if log == nil && placement.AcceptsAnyVersion() {
			if log, err = runner.startTimed(scene, model); err != nil {
				return err
			}
		}
	}
	if log != nil {
		runner.openRuns[key] = log
		err := runner.advance(scene, log)
		var terminal *workflow.Terminal
		switch {
		case err == nil:
			err = log.Finish(workflow.Done, "")
		case errors.As(err, &terminal):
			var failure *VersionFailure
			isVersionFailure := errors.As(err, &failure)
			err = nil
			if contents, readErr := readContents(log); readErr == nil && contents.Over > 0 {
				err = runner.revertOrder(scene, log.Run().ID, contents, terminal.Reason, isVersionFailure)
			} else if readErr == nil { // otherwise the run never started
				err = runner.undoRun(scene, runEffects{log.Run().ID, log.Recorded("route", nil), log.Recorded("trial-order", nil) || log.Recorded("order", nil)}, contents, isVersionFailure)
			}
			if err == nil {
				err = log.Finish(workflow.Failed, terminal.Reason)
			}
		}
		if !errors.Is(err, workflow.ErrWait) {
			delete(runner.openRuns, key) // finished, or must be read again
			isOver := func(name string) bool {
				return log.Run().State != workflow.Running && strings.HasPrefix(name, key+"|"+log.Run().ID+"|")
			}
			maps.DeleteFunc(runner.waitStart, func(name string, _ time.Duration) bool { return isOver(name) })
			maps.DeleteFunc(runner.recordedElapsed, func(name string, _ time.Duration) bool { return isOver(name) })
			maps.DeleteFunc(runner.movedSerial, func(name string, _ uint64) bool { return isOver(name) })
		}
		if err != nil && !errors.Is(err, workflow.ErrWait) {
			return err
		}
	} else if placement.AcceptsAnyVersion() {
		return nil // with any version placed, the control plane neither loads, guards nor reconciles versions
	} else if isRolledBack, err := runner.guardRoute(scene, model); err != nil || isRolledBack {
		return err
	} else if err := runner.startAutomatic(scene, model); err != nil {
		return err
	}
	if placement.AcceptsAnyVersion() {
		return nil
	}
	if err := runner.Objects.FireDue(model, scene.Region, scene.Term, scene.Tree.Duration("archive_ms", scene.Region)); err != nil {
		return err
	}
	return runner.reconcile(scene, model)
}

// startAutomatic starts a run when the configuration places a version other than the
// one that was last acted on.
func (runner *Runner) startAutomatic(scene RegionView, model string) error {
	placement, isPlaced := scene.Tree.Placement(model, scene.Region)
	if !isPlaced || !scene.Tree.AutomaticRollout(model, scene.Region) {
		return nil
	}
	object, err := runner.Objects.Model(model)
	if err != nil {
		return err
	}
	route := object.Routes[scene.Region]
	if object.Wanted[scene.Region] == placement.Version || object.RolledBack || route.IsBanned(placement.Version) || object.Failed[placement.Version] != "" {
		return nil
	}
	if route.Version == placement.Version {
		_, err := runner.Objects.Change(model, scene.Region, scene.Term, func(model *Model) error {
			model.Wanted[scene.Region] = placement.Version
			return nil
		})
		return err
	}
	contents := Contents{Model: model, Region: scene.Region, Version: placement.Version, Automatic: true, Wanted: placement.Version}
	id := fmt.Sprintf("auto-%s-from-%s-%d", placement.Version, orNone(route.Version), route.Serial)
	_, _, err = runner.Journal.Start(Key(model, scene.Region), id, contents)
	return err
}

func orNone(version string) string {
	if version == "" {
		return "none"
	}
	return version
}

// advance executes the steps of a run that have not been recorded yet.
func (runner *Runner) advance(scene RegionView, log *workflow.Log) error {
	contents, err := readContents(log)
	if err != nil {
		return &workflow.Terminal{Reason: err.Error()}
	}
	if contents.Over > 0 {
		return runner.advanceTimed(scene, log, contents)
	}
	if placement, _ := scene.Tree.Placement(contents.Model, scene.Region); placement.AcceptsAnyVersion() {
		return &workflow.Terminal{Reason: "the placement holds any version, of which none is loaded by order; a roll-out there needs a term"}
	}
	var validated struct{ Old string }
	if err := runner.step(log, "validate", func() (any, error) {
		old, err := runner.validate(scene, log, contents)
		return struct{ Old string }{old}, err
	}, &validated); err != nil {
		return err
	}
	if validated.Old == contents.Version {
		return nil // the route already points to the version
	}
	if validated.Old != "" {
		if err := runner.runTrial(scene, log, contents, validated.Old); err != nil {
			return err
		}
	}
	if err := runner.step(log, "order", func() (any, error) {
		return runner.orderLoad(scene, contents, nil)
	}, nil); err != nil {
		return err
	}
	if err := runner.step(log, "ready", func() (any, error) {
		return runner.awaitLoaded(scene, log, contents, "order", nil)
	}, nil); err != nil {
		return err
	}
	if err := runner.moveRoute(scene, log, contents, validated.Old != "", func(revise func(*routing.Route)) error {
		return runner.changeRoute(scene, log, contents, func(_ *Model, route *routing.Route) { revise(route) })
	}); err != nil {
		return err
	}
	if validated.Old != "" {
		if err := runner.watchVersion(scene, log, contents, validated.Old); err != nil {
			return err
		}
	}
	if err := runner.step(log, "live", func() (any, error) {
		return nil, runner.changeRoute(scene, log, contents, func(model *Model, route *routing.Route) {
			model.Live = liveVersion(model)
			route.Run, route.Watched = "", false
		})
	}, nil); err != nil {
		return err
	}
	if validated.Old == "" {
		return nil
	}
	return runner.step(log, "standby", func() (any, error) {
		return nil, runner.Objects.Schedule(contents.Model, validated.Old, scene.Region, scene.Term, STANDBY, scene.Tree.Duration("standby_ms", scene.Region))
	}, nil)
}

// step executes a step of the run unless it is already recorded, after calling the
// failpoint of the same name.
func (runner *Runner) step(log *workflow.Log, name string, action func() (any, error), result any) error {
	return log.Step(name, func() (any, error) {
		runner.failpoint(name)
		return action()
	}, result)
}

// moveRoute points the region's route to the run's version. The new route's serial is
// recorded in a step of its own first, so that a retry writes the same one. The change
// callback applies the given revision to the route if the run still owns it.
func (runner *Runner) moveRoute(scene RegionView, log *workflow.Log, contents Contents, isWatched bool, change func(revise func(*routing.Route)) error) error {
	var serial uint64
	if err := runner.step(log, "serial", func() (any, error) { return runner.Objects.NextSerial(scene.Region) }, &serial); err != nil {
		return err
	}
	return runner.step(log, "route", func() (any, error) {
		return nil, change(func(route *routing.Route) {
			if route.Version != contents.Version {
				route.Previous = route.Version
			}
			route.Version, route.Trial, route.TrialReplicas = contents.Version, "", nil
			route.Serial, route.Moved, route.Watched = serial, runner.World.WallTime(), isWatched
		})
	}, nil)
}

func readContents(log *workflow.Log) (contents Contents, err error) {
	return contents, unmarshal(log.Run().Contents, &contents)
}

// validate checks that the run may proceed and claims the region's route for it. It
// returns the version that the route points to now.
func (runner *Runner) validate(scene RegionView, log *workflow.Log, contents Contents) (string, error) {
	if _, isPlaced := scene.Tree.Placement(contents.Model, scene.Region); !isPlaced {
		return "", &workflow.Terminal{Reason: fmt.Sprintf("model %q is not placed in region %s", contents.Model, scene.Region)}
	}
	oldVersion := ""
	_, err := runner.Objects.Change(contents.Model, scene.Region, scene.Term, func(model *Model) error {
		route := model.Routes[scene.Region]
		oldVersion = route.Version
		if contents.Automatic {
			if model.RolledBack {
				return &workflow.Terminal{Reason: "the model was rolled back; automatic roll-outs wait for a promote"}
			}
			if route.IsBanned(contents.Version) || model.Failed[contents.Version] != "" {
				return &workflow.Terminal{Reason: fmt.Sprintf("version %s failed here before; promote to let it be tried again", contents.Version)}
			}
			model.Wanted[scene.Region] = contents.Wanted
		}
		route.Run = log.Run().ID
		model.Routes[scene.Region] = route
		return nil
	})
	return oldVersion, err
}

// changeRoute revises the region's route, provided that the run still owns it.
func (runner *Runner) changeRoute(scene RegionView, log *workflow.Log, contents Contents, revise func(*Model, *routing.Route)) error {
	_, err := runner.Objects.Change(contents.Model, scene.Region, scene.Term, func(model *Model) error {
		route := model.Routes[scene.Region]
		if err := checkClaim(model, route, log, contents); err != nil {
			return err
		}
		revise(model, &route)
		model.Routes[scene.Region] = route
		// Live depends on all routes, so it is computed after this one is set.
		if model.Live = liveVersion(model); model.Live == "" {
			model.Live = route.Version
		}
		return nil
	})
	return err
}

// orderLoad sets the version's desired state to RUNNING and sends load orders to the
// replicas at once. Replicas that miss their order, or are listed later, get it from
// reconcile.
func (runner *Runner) orderLoad(scene RegionView, contents Contents, only []string) (any, error) {
	desired, err := runner.Objects.Want(contents.Model, contents.Version, scene.Region, scene.Term, RUNNING, only)
	if err != nil {
		return nil, err
	}
	var retryAfter time.Duration
	var ordered []string
	for _, instance := range scene.placedReplicas(contents.Model) {
		if !instance.Alive || instance.Leaving || len(only) > 0 && !has(only, instance.ID) {
			continue
		}
		err := runner.sendOrder(scene, contents.Model, contents.Version, instance, desired, replica.Load)
		var rateLimited *replica.RateLimited
		var rejected *replica.Rejected
		switch {
		case errors.As(err, &rateLimited):
			retryAfter = max(retryAfter, rateLimited.RetryAfter)
		case errors.As(err, &rejected):
			return nil, &workflow.Terminal{Reason: fmt.Sprintf("replica %s: %v", instance.ID, err)}
		case err == nil:
			ordered = append(ordered, instance.ID)
		}
	}
	if retryAfter > 0 {
		return nil, &workflow.RateLimited{RetryAfter: retryAfter}
	}
	if len(ordered) == 0 {
		return nil, errors.New("no replica took the order")
	}
	return ordered, nil
}

// sendOrder sends an order to one replica. The order's ID is the same on every retry,
// so that the replica can detect duplicates.
func (runner *Runner) sendOrder(scene RegionView, model, version string, instance routing.Replica, desired Desired, state string) error {
	order := replica.Order{ID: fmt.Sprintf("%s/%s/%s/%d/%s", model, version, scene.Region, desired.Order, state), Fence: scene.Term, Model: model, Version: version, State: state}
	runner.failpoint("send")
	runner.orderSentAt[instance.ID+"|"+model+"/"+version] = runner.World.Now()
	return runner.Client.Order(instance.Address, order, scene.Tree.Duration("probe_ms", scene.Region)*2)
}

// awaitLoaded waits until a sufficient share of the replicas has loaded the version.
// With only, it waits for all replicas named there. It fails after load_ms.
func (runner *Runner) awaitLoaded(scene RegionView, log *workflow.Log, contents Contents, startStep string, only []string) (any, error) {
	var loaded, expected []string
	for _, instance := range scene.placedReplicas(contents.Model) {
		if only == nil && (!instance.Alive || instance.Leaving) || only != nil && !has(only, instance.ID) {
			continue
		}
		expected = append(expected, instance.ID)
		if instance.Alive && instance.Held[contents.Model+"/"+contents.Version] == routing.Ready {
			loaded = append(loaded, instance.ID)
		}
	}
	share := scene.Tree.Limit("ready_share", scene.Region)
	if only != nil {
		share = 1
	}
	if len(loaded) > 0 && float64(len(loaded)) >= share*float64(len(expected)) {
		return loaded, nil
	}
	if timeout := scene.Tree.Duration("load_ms", scene.Region); runner.waited(waitKey(log, contents, startStep)) > timeout {
		return nil, &workflow.Terminal{Reason: fmt.Sprintf("only %d of %d replicas loaded %s within %v", len(loaded), len(expected), contents.Version, timeout)}
	}
	return nil, workflow.ErrWait
}

// runTrial loads the version on a few replicas, sends them their normal load, and
// compares the version with the old one by kind of request.
func (runner *Runner) runTrial(scene RegionView, log *workflow.Log, contents Contents, old string) error {
	var selected []string
	if err := runner.step(log, "trial-select", func() (any, error) {
		return runner.selectTrialReplicas(scene, log, contents)
	}, &selected); err != nil {
		return err
	}
	if err := runner.step(log, "trial-order", func() (any, error) {
		return runner.orderLoad(scene, contents, selected)
	}, nil); err != nil {
		return err
	}
	if err := runner.step(log, "trial-ready", func() (any, error) {
		return runner.awaitLoaded(scene, log, contents, "trial-order", selected)
	}, nil); err != nil {
		return err
	}
	var base map[string]routing.Outcome
	if err := log.Step("trial-base", func() (any, error) { return outcomeTotals(scene, contents, old), nil }, &base); err != nil {
		return err
	}
	var serial uint64
	if err := log.Step("trial-serial", func() (any, error) { return runner.Objects.NextSerial(scene.Region) }, &serial); err != nil {
		return err
	}
	if err := runner.step(log, "trial-route", func() (any, error) {
		return nil, runner.changeRoute(scene, log, contents, func(_ *Model, route *routing.Route) {
			route.Trial, route.TrialReplicas, route.Serial = contents.Version, selected, serial
		})
	}, nil); err != nil {
		return err
	}
	return runner.step(log, "trial-judge", func() (any, error) {
		return runner.judgeTrial(scene, log, contents, old, base)
	}, nil)
}

// selectTrialReplicas picks the replicas for the trial. A model is on trial in one
// region at a time, so that its trial replicas stay a small share of all its replicas.
func (runner *Runner) selectTrialReplicas(scene RegionView, log *workflow.Log, contents Contents) ([]string, error) {
	count := int(scene.Tree.Limit("trial_replicas", scene.Region))
	var eligible []string
	for _, instance := range scene.placedReplicas(contents.Model) {
		if instance.Alive && !instance.Leaving && !scene.Evacuated[instance.Zone] {
			eligible = append(eligible, instance.ID)
		}
	}
	if len(eligible) == 0 {
		return nil, workflow.ErrWait
	}
	sort.Strings(eligible)
	selected := eligible[:min(count, len(eligible))]
	_, err := runner.Objects.Change(contents.Model, scene.Region, scene.Term, func(model *Model) error {
		for _, region := range sorted(model.Routes) {
			if other := model.Routes[region]; region != scene.Region && len(other.TrialReplicas) > 0 {
				return workflow.ErrWait
			}
		}
		route := model.Routes[scene.Region]
		if err := checkClaim(model, route, log, contents); err != nil {
			return err
		}
		// Recording the replicas before they get any traffic claims the trial for this
		// region.
		route.TrialReplicas = selected
		model.Routes[scene.Region] = route
		return nil
	})
	return selected, err
}

// outcomeTotals returns the outcome counts that the daemons report for the two versions
// in this region, by daemon incarnation, version and kind.
func outcomeTotals(scene RegionView, contents Contents, old string) map[string]routing.Outcome {
	sums := map[string]routing.Outcome{}
	for _, daemon := range scene.Daemons {
		for _, outcome := range daemon.Report.Total {
			if outcome.Model == contents.Model && outcome.Replica == scene.Region && (outcome.Version == contents.Version || outcome.Version == old) {
				sums[scene.Incarnations[daemon.Name]+"|"+outcome.Version+"|"+outcome.Kind] = outcome
			}
		}
	}
	return sums
}

// outcomesSince returns, by kind, the outcomes counted since base: those of the run's
// version and those of the old version.
func outcomesSince(scene RegionView, contents Contents, old string, base map[string]routing.Outcome) (candidate, others map[string]routing.Outcome) {
	candidate, others = map[string]routing.Outcome{}, map[string]routing.Outcome{}
	now := outcomeTotals(scene, contents, old)
	for _, key := range slices.Sorted(maps.Keys(now)) {
		outcome, before := now[key], base[key]
		outcome.OK -= before.OK
		outcome.Mishaps -= before.Mishaps
		outcome.Late = max(0, outcome.Late-before.Late)
		table := others
		if outcome.Version == contents.Version {
			table = candidate
		}
		sum := table[outcome.Kind]
		sum.Add(outcome)
		table[outcome.Kind] = sum
	}
	return candidate, others
}

// clearlyFails returns the first kind of request on which the version's failures are
// statistically clear.
func clearlyFails(scene RegionView, contents Contents, old string, candidate, others map[string]routing.Outcome) (string, bool) {
	for _, kind := range sorted(candidate) {
		if routing.VersionFailsClearly(candidate[kind], others[kind]) {
			return kind, true
		}
	}
	// The outcomes of the last seconds are also checked on their own, because a version
	// may start to fail only after the load has risen.
	recent := map[string]routing.Outcome{}
	recentOld := map[string]routing.Outcome{}
	for key, outcome := range routing.SumOutcomes(scene.Daemons) {
		if key.Model != contents.Model || !isInRegion(scene, key.Replica) {
			continue
		}
		table := recent
		if key.Version == old {
			table = recentOld
		} else if key.Version != contents.Version {
			continue
		}
		sum := table[key.Kind]
		sum.Add(outcome)
		table[key.Kind] = sum
	}
	for _, kind := range sorted(recent) {
		if routing.VersionFailsClearly(recent[kind], recentOld[kind]) {
			return kind, true
		}
	}
	return "", false
}

func isInRegion(scene RegionView, id string) bool {
	for _, instance := range scene.Replicas {
		if instance.ID == id {
			return true
		}
	}
	return false
}

// placedReplicas returns the replicas in the zones where the model is placed.
func (scene RegionView) placedReplicas(model string) (list []routing.Replica) {
	for _, instance := range scene.Replicas {
		if _, isPlaced := scene.Tree.Placement(model, instance.Zone); isPlaced {
			list = append(list, instance)
		}
	}
	return list
}

// Judgement is the result of a trial.
type Judgement struct {
	Good   bool
	Reason string
}

// judgeTrial fails the run if the version clearly fails. Otherwise the trial passes
// after trial_ms, once every kind that the old version gets has trial_samples requests,
// or after trial_most_ms at the latest if the few requests do not speak against it.
func (runner *Runner) judgeTrial(scene RegionView, log *workflow.Log, contents Contents, old string, base map[string]routing.Outcome) (any, error) {
	candidate, others := outcomesSince(scene, contents, old, base)
	if kind, fails := clearlyFails(scene, contents, old, candidate, others); fails {
		return nil, &VersionFailure{fmt.Sprintf("version %s fails on kind %q: %d of %d", contents.Version, kind, candidate[kind].Mishaps+candidate[kind].Late, max(candidate[kind].Mishaps+candidate[kind].OK, candidate[kind].Mishaps+candidate[kind].Late))}
	}
	if err := runner.verifyClaim(scene, log, contents); err != nil {
		return nil, err
	}
	waited := runner.waited(waitKey(log, contents, "trial-judge"))
	if waited < scene.Tree.Duration("trial_ms", scene.Region) {
		return nil, workflow.ErrWait
	}
	sparseKind := ""
	samples := int(scene.Tree.Limit("trial_samples", scene.Region))
	for _, kind := range sorted(others) {
		if outcome := candidate[kind]; outcome.OK+outcome.Mishaps < samples && others[kind].OK+others[kind].Mishaps > 0 {
			sparseKind = kind
		}
	}
	if (sparseKind != "" || len(candidate) == 0) && waited < scene.Tree.Duration("trial_most_ms", scene.Region) {
		return nil, workflow.ErrWait
	}
	if sparseKind != "" {
		// There are too few requests for a clear failure, but no evidence in favor of
		// the version either: a version that crashes its replica gets few requests and
		// answers none.
		for _, kind := range sorted(candidate) {
			if routing.MayFail(candidate[kind], others[kind]) {
				return nil, &VersionFailure{fmt.Sprintf("version %s had too few requests of kind %q, and did not stand the few: %d failed, %d were answered", contents.Version, kind, candidate[kind].Mishaps+candidate[kind].Late, candidate[kind].OK)}
			}
		}
	}
	reason := "enough answers of every kind"
	if sparseKind != "" {
		reason = fmt.Sprintf("kind %q had too few requests; what there was did not fail", sparseKind)
	}
	return Judgement{true, reason}, nil
}

// verifyClaim returns a terminal error if the run no longer owns the region's route,
// for example because an operator has changed it.
func (runner *Runner) verifyClaim(scene RegionView, log *workflow.Log, contents Contents) error {
	object, err := runner.Objects.Model(contents.Model)
	if err != nil {
		return err
	}
	return checkClaim(&object, object.Routes[scene.Region], log, contents)
}

// checkClaim returns a terminal error if the run may not continue.
func checkClaim(model *Model, route routing.Route, log *workflow.Log, contents Contents) error {
	if model.Failed[contents.Version] == log.Run().ID {
		return &workflow.Terminal{Reason: fmt.Sprintf("version %s failed in another region", contents.Version)}
	}
	if route.Run != log.Run().ID {
		return &workflow.Terminal{Reason: "superseded: the route was moved meanwhile"}
	}
	return nil
}

// watchVersion monitors the version for watch_ms after the route has moved, and fails
// the run if the version's failures become clear.
func (runner *Runner) watchVersion(scene RegionView, log *workflow.Log, contents Contents, old string) error {
	var base map[string]routing.Outcome
	if err := log.Step("watch-base", func() (any, error) { return outcomeTotals(scene, contents, old), nil }, &base); err != nil {
		return err
	}
	return runner.step(log, "watch", func() (any, error) {
		candidate, _ := outcomesSince(scene, contents, old, base)
		if kind, fails := clearlyFails(scene, contents, old, candidate, map[string]routing.Outcome{}); fails {
			return nil, &VersionFailure{fmt.Sprintf("version %s fails on kind %q after the route moved", contents.Version, kind)}
		}
		if err := runner.verifyClaim(scene, log, contents); err != nil {
			return nil, err
		}
		if runner.waited(waitKey(log, contents, "watch")) < scene.Tree.Duration("watch_ms", scene.Region) {
			return nil, workflow.ErrWait
		}
		return "no plain failures", nil
	}, nil)
}

// guardRoute keeps checking a version after its run has ended, for as long as the
// previous version is still loaded and rolling back takes only a pointer change. Some
// kinds of requests may reach a region only after the watch has ended, and the version
// may fail on exactly these. It considers all outcomes counted since the daemons
// started, so that a version that has long answered a kind is not rolled back because
// of a few broken streams. It reports whether it rolled back.
func (runner *Runner) guardRoute(scene RegionView, model string) (bool, error) {
	route, hasRoute := scene.Routes[model]
	if !hasRoute || route.Run != "" || route.Previous == "" || route.IsBanned(route.Previous) || route.Trial != "" {
		return false, nil
	}
	contents := Contents{Model: model, Region: scene.Region, Version: route.Version}
	failing := func(base map[string]routing.Outcome) string {
		current, _ := outcomesSince(scene, contents, route.Previous, base)
		for _, kind := range sorted(current) {
			if outcome := current[kind]; routing.VersionFailsClearly(outcome, routing.Outcome{}) && outcome.Mishaps+outcome.Late > outcome.OK {
				return kind
			}
		}
		return ""
	}
	guarded, isKnown := runner.guardedRoutes[model]
	if !isKnown || guarded.serial != route.Serial {
		guarded = guardedRoute{serial: route.Serial}
		if isKnown && failing(nil) != "" {
			// The version had already failed before this route pointed to it, and an
			// operator chose it nevertheless. Only new failures count.
			guarded.base = outcomeTotals(scene, contents, route.Previous)
		}
		runner.guardedRoutes[model] = guarded
	}
	if failing(guarded.base) == "" {
		return false, nil
	}
	version, err := runner.Objects.Version(model, route.Previous)
	if err != nil || version.Regions[scene.Region].State != RUNNING {
		return false, err
	}
	store, _, err := runner.Journal.Read(Key(model, scene.Region))
	if err != nil || store.Run == nil || store.Run.State == workflow.Running {
		return false, err
	}
	runner.failpoint("guard")
	return true, runner.undoRun(scene, runEffects{runID: store.Run.ID, movedRoute: true}, contents, true)
}

// runEffects is what a run has changed so far: whether it moved the route, and whether
// it ordered replicas to load its version.
type runEffects struct {
	runID                   string
	movedRoute, orderedLoad bool
}

// undoRun reverts what a failed run has changed, as far as the run still owns the
// route. If the version's failures are clear, the version is rolled back in all regions
// at once, so that the users of other regions are not exposed to it. Each part is an
// upsert, so a retry is safe.
func (runner *Runner) undoRun(scene RegionView, effects runEffects, contents Contents, isVersionFailure bool) error {
	object, err := runner.Objects.Model(contents.Model)
	if err != nil {
		return err
	}
	if object.Routes[scene.Region].Run != effects.runID && !isVersionFailure {
		return nil // another run or an operator has taken the route
	}
	serials := map[string]uint64{}
	fallback := map[string]string{} // the version that each region rolls back to
	for _, region := range sorted(object.Routes) {
		route := object.Routes[region]
		isAffected := region == scene.Region || isVersionFailure && (route.Trial == contents.Version || route.Version == contents.Version)
		if !isAffected {
			continue
		}
		if serials[region], err = runner.Objects.NextSerial(region); err != nil {
			return err
		}
		if route.Version == contents.Version && route.Previous != "" && (region != scene.Region || effects.movedRoute) {
			version, err := runner.Objects.Version(contents.Model, route.Previous)
			if err != nil {
				return err
			}
			if version.Regions[region].State == RUNNING {
				fallback[region] = route.Previous
			}
		}
	}
	for _, region := range sorted(fallback) {
		// The fallback version is kept loaded before any route points to it.
		if _, err := runner.Objects.Want(contents.Model, fallback[region], region, 0, RUNNING, nil); err != nil {
			return err
		}
	}
	_, err = runner.Objects.Change(contents.Model, scene.Region, scene.Term, func(model *Model) error {
		if isVersionFailure {
			if model.Failed == nil {
				model.Failed = map[string]string{}
			}
			model.Failed[contents.Version] = effects.runID
		}
		for _, region := range sorted(serials) {
			route := model.Routes[region]
			if region == scene.Region && route.Run != effects.runID && !isVersionFailure {
				continue
			}
			if isVersionFailure && !route.IsBanned(contents.Version) {
				route.Banned = append(route.Banned, contents.Version)
			}
			if region == scene.Region || route.Trial == contents.Version {
				route.Run, route.Trial, route.TrialReplicas, route.Watched = "", "", nil, false
			}
			if target := fallback[region]; target != "" && route.Version == contents.Version && route.Previous == target {
				route.Version, route.Previous, route.Run, route.Watched = target, contents.Version, "", false
				route.Moved = runner.World.WallTime()
				model.RolledBack = true
			}
			route.Serial = serials[region]
			model.Routes[region] = route
		}
		model.Live = liveVersion(model)
		return nil
	})
	if err != nil {
		return err
	}
	for _, region := range sorted(serials) {
		if fallback[region] != "" {
			err = runner.Objects.Schedule(contents.Model, contents.Version, region, 0, STANDBY, scene.Tree.Duration("standby_ms", region))
		} else if region != scene.Region || effects.orderedLoad {
			_, err = runner.Objects.Want(contents.Model, contents.Version, region, 0, ARCHIVED, nil)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// reconcile compares the state of each replica with the desired state and orders what
// differs. A version is unloaded once no stream runs on it, or unload_wait_ms after it
// stopped being desired there.
func (runner *Runner) reconcile(scene RegionView, model string) error {
	versions, err := runner.Objects.Versions(model)
	if err != nil {
		return err
	}
	streams := map[routing.ReplicaVersion]int{}
	for _, daemon := range scene.Daemons {
		for held, count := range daemon.Report.Streams {
			streams[held] += count
		}
	}
	now := runner.World.Now()
	for _, version := range sorted(versions) {
		desired, isKnown := versions[version].Regions[scene.Region]
		if !isKnown {
			continue
		}
		for _, instance := range scene.placedReplicas(model) {
			if !instance.Alive || instance.Leaving {
				continue
			}
			target := targetState(desired, instance.ID)
			actual := instance.Held[model+"/"+version]
			if actual == target || actual == routing.Loading && target == replica.Load || actual == "" && target != replica.Load {
				continue
			}
			unloadKey := fmt.Sprintf("unload %s/%s/%d/%s", model, version, desired.Order, instance.ID)
			if target != replica.Load && streams[routing.ReplicaVersion{Replica: instance.ID, Model: model, Version: version}] > 0 &&
				runner.waited(unloadKey) < scene.Tree.Duration("unload_wait_ms", scene.Region) {
				continue
			}
			if last, sent := runner.orderSentAt[instance.ID+"|"+model+"/"+version]; sent && now-last < 4*scene.Tree.Duration("probe_ms", scene.Region) {
				continue // the probes may not show the effect of the last order yet
			}
			delete(runner.waitStart, unloadKey)
			_ = runner.sendOrder(scene, model, version, instance, desired, target) // retried for as long as the state differs
		}
	}
	return nil
}

func targetState(desired Desired, id string) string {
	switch {
	case desired.State == RUNNING && (len(desired.Only) == 0 || has(desired.Only, id)):
		return replica.Load
	case desired.State == STANDBY:
		return replica.Standby
	}
	return replica.Drop
}
