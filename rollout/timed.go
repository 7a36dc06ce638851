package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"swifttiller/routing"
	"swifttiller/settings"
	"swifttiller/workflow"
)

// Shares of the duration of a timed roll-out. The trial is judged at judgeShare, and
// at judgeEndShare if there have been too few answers by then. Streams on the old
// replicas may continue for maxDrainShare after the moment from which those may stop.
const (
	judgeShare    = 0.75
	judgeEndShare = 0.8
	maxDrainShare = 0.5
	// maxTrialDurations is how many times the roll-out's duration a trial waits for
	// answers at most.
	maxTrialDurations = 2
	// progressMarks is how many times during the roll-out a run records the elapsed
	// time.
	progressMarks = 8
)

// startTimed starts or resumes the region's run of the model's order. If there is
// nothing to run, it lifts the bars on versions that no replica is listed with any
// more.
func (runner *Runner) startTimed(scene RegionView, model string) (*workflow.Log, error) {
	object, err := runner.Objects.Model(model)
	if err != nil {
		return nil, err
	}
	order := orEmpty(object.Order)
	if order.Back != "" || order.Done[scene.Region] || !has(order.Regions, scene.Region) {
		return nil, runner.forgetAbsent(scene, model, object)
	}
	key := Key(model, scene.Region)
	contents := Contents{Model: model, Region: scene.Region, Version: order.Version, Over: order.Over, Proved: order.Proved}
	run, joined, err := runner.Journal.Start(key, order.ID, contents)
	if err != nil {
		return nil, err
	}
	if joined && run.State != workflow.Running {
		return nil, runner.revertOrder(scene, order.ID, contents, "its run is over: "+run.Reason, false)
	}
	return runner.Journal.Resume(key, scene.Term)
}

// Multiples of dark_ms after which the bar on a version that is no longer listed is
// lifted: for a version that traffic has left, whose replicas stop at once, and for one
// that failed, whose replicas may still start late.
const (
	leftForgetRatio   = 4
	bannedForgetRatio = 50
)

// forgetAbsent lifts the bars on versions that no replica of the region has been listed
// with for long enough.
func (runner *Runner) forgetAbsent(scene RegionView, model string, object Model) error {
	listed := map[string]bool{}
	for _, replica := range scene.placedReplicas(model) {
		for _, version := range replica.Versions(model) {
			listed[version] = true
		}
	}
	isExpired := func(version string, ratio time.Duration) bool {
		key := "absent " + Key(model, scene.Region) + "|" + version
		if listed[version] {
			delete(runner.waitStart, key)
			return false
		}
		return runner.waited(key) > ratio*scene.Tree.Duration("dark_ms", scene.Region)
	}
	retain := func(barred []string, ratio time.Duration) (kept []string) {
		for _, version := range barred {
			if !isExpired(version, ratio) {
				kept = append(kept, version)
			}
		}
		return kept
	}
	route := object.Routes[scene.Region]
	left, banned := retain(route.Left, leftForgetRatio), retain(route.Banned, bannedForgetRatio)
	if len(left) == len(route.Left) && len(banned) == len(route.Banned) {
		return nil
	}
	_, err := runner.Objects.Change(model, scene.Region, scene.Term, func(model *Model) error {
		current := model.Routes[scene.Region]
		if current.Serial != route.Serial || current.Run != route.Run {
			return workflow.ErrWait // the route changed in the meantime; the next pass reads it again
		}
		current.Left, current.Banned = left, banned
		model.Routes[scene.Region] = current
		return nil
	})
	return err
}

// elapsed returns how much of the roll-out's duration has passed by this daemon's
// monotonic clock: either since it first saw the order, or since it took over the run
// plus the time that the run has recorded, whichever is greater.
func (runner *Runner) elapsed(log *workflow.Log, contents Contents) time.Duration {
	key := waitKey(log, contents, "term")
	base, isKnown := runner.recordedElapsed[key]
	if !isKnown {
		for number := 1; number <= progressMarks; number++ {
			var recorded time.Duration
			if log.Recorded(progressStep(number), &recorded) {
				base = max(base, recorded)
			}
		}
		runner.recordedElapsed[key] = base
	}
	return max(runner.World.Now()-runner.Objects.firstSeen(log.Run().ID), base+runner.waited(key))
}

func progressStep(number int) string { return fmt.Sprintf("term-%d", number) }

// recordProgress records the elapsed time for the next leader that takes over the run.
func (runner *Runner) recordProgress(log *workflow.Log, contents Contents) error {
	elapsed := runner.elapsed(log, contents)
	number := min(progressMarks, int(progressMarks*elapsed/contents.Over))
	if number < 1 {
		return nil
	}
	return log.Step(progressStep(number), func() (any, error) { return elapsed, nil }, nil)
}

// fraction returns a share of the roll-out's duration.
func (contents Contents) fraction(share float64) time.Duration {
	return time.Duration(share * float64(contents.Over))
}

// advanceTimed executes the remaining steps of a timed roll-out.
func (runner *Runner) advanceTimed(scene RegionView, log *workflow.Log, contents Contents) error {
	var base map[string]routing.Outcome
	if err := runner.step(log, "validate", func() (any, error) {
		if placement, _ := scene.Tree.Placement(contents.Model, scene.Region); !placement.AcceptsAnyVersion() {
			return nil, &workflow.Terminal{Reason: fmt.Sprintf("model %q is not placed in region %s with any version", contents.Model, scene.Region)}
		}
		return versionOutcomes(scene, contents), runner.changeOwned(scene, log, contents, nil)
	}, &base); err != nil {
		return err
	}
	if !log.Recorded("live", nil) {
		object, err := runner.Objects.Model(contents.Model)
		if err == nil {
			err = object.checkOwned(scene.Region, log.Run().ID)
		}
		if err == nil {
			err = runner.checkReplicasRemain(scene, log, contents, object.Order)
		}
		if err != nil {
			return err
		}
	}
	if err := runner.recordProgress(log, contents); err != nil {
		return err
	}
	// Checked in every pass, whatever the step, so that a version that clearly fails is
	// rolled back immediately.
	if err := runner.checkFailures(scene, contents, base); err != nil && !log.Recorded("live", nil) {
		return err
	}
	ending := Empty
	if err := runner.step(log, "ready", func() (any, error) {
		return runner.awaitReplicas(scene, log, contents)
	}, &ending); err != nil {
		return err
	}
	if err := runner.step(log, "trial-judge", func() (any, error) {
		return runner.judgeTimedTrial(scene, log, contents, base, ending)
	}, nil); err != nil {
		return err
	}
	if err := runner.step(log, "pass", func() (any, error) {
		return nil, runner.changeOwned(scene, log, contents, func(order *Order, _ *routing.Route) {
			if order.Passed == nil {
				order.Passed = map[string]string{}
			}
			order.Passed[scene.Region] = ending
			if !scene.hasVersion(contents) {
				order.Passed[scene.Region] = Empty
			}
		})
	}, nil); err != nil {
		return err
	}
	if err := runner.step(log, "agree", func() (any, error) {
		return nil, runner.awaitAllRegions(scene, contents)
	}, nil); err != nil {
		return err
	}
	var lead time.Duration
	if err := runner.step(log, "lead", func() (any, error) { return runner.finishLead(contents), nil }, &lead); err != nil {
		return err
	}
	if err := runner.moveRoute(scene, log, contents, true, func(revise func(*routing.Route)) error {
		return runner.changeOwned(scene, log, contents, func(order *Order, route *routing.Route) {
			revise(route)
			route.Handover = order.scheduled(lead)
		})
	}); err != nil {
		return err
	}
	if err := runner.step(log, "settle", func() (any, error) {
		return nil, runner.awaitDrained(scene, log, contents, lead)
	}, nil); err != nil {
		return err
	}
	return runner.step(log, "live", func() (any, error) {
		return nil, runner.changeOwned(scene, log, contents, func(order *Order, route *routing.Route) {
			if order.Done == nil {
				order.Done = map[string]bool{}
			}
			order.Done[scene.Region], order.Ended = true, runner.World.WallTime()
			route.Previous, route.Watched, route.Handover = "", false, nil
			for _, replica := range scene.placedReplicas(contents.Model) {
				for _, version := range replica.Versions(contents.Model) {
					if version != contents.Version && !has(route.Left, version) && !route.IsBanned(version) {
						route.Left = append(route.Left, version)
					}
				}
			}
		})
	}, nil)
}

// changeOwned revises the order and the region's route while both belong to this run.
// Without a revision it only raises the region's fence.
func (runner *Runner) changeOwned(scene RegionView, log *workflow.Log, contents Contents, revise func(*Order, *routing.Route)) error {
	startedAt := runner.World.Now()
	defer func() { runner.lastWrite = runner.World.Now() - startedAt }()
	_, err := runner.Objects.Change(contents.Model, scene.Region, scene.Term, func(model *Model) error {
		if err := model.checkOwned(scene.Region, log.Run().ID); err != nil {
			return err
		}
		route := model.Routes[scene.Region]
		if revise != nil {
			revise(model.Order, &route)
		}
		model.Routes[scene.Region] = route
		if model.Live = liveVersion(model); model.Live == "" {
			model.Live = route.Version
		}
		return nil
	})
	return err
}

// checkOwned returns a terminal error if the run no longer owns the order or the
// region's route.
func (model *Model) checkOwned(region, id string) error {
	order := orEmpty(model.Order)
	switch {
	case order.ID != id:
		return &workflow.Terminal{Reason: "superseded: another roll-out was ordered"}
	case order.Back != "":
		return &workflow.Terminal{Reason: order.Back}
	case model.Routes[region].Run != id:
		return &workflow.Terminal{Reason: "superseded: the route was moved meanwhile"}
	}
	return nil
}

// versionOutcomes returns the outcomes of the version's requests by daemon incarnation,
// region and kind. It covers all regions: a version that fails in one must not be tried
// in another.
func versionOutcomes(scene RegionView, contents Contents) map[string]routing.Outcome {
	outcomes := map[string]routing.Outcome{}
	for _, daemon := range scene.Daemons {
		for _, outcome := range daemon.Report.Total {
			if outcome.Model == contents.Model && outcome.Version == contents.Version {
				outcomes[strings.Join([]string{scene.Incarnations[daemon.Name], outcome.Replica, outcome.Kind}, "|")] = outcome
			}
		}
	}
	return outcomes
}

// outcomesByKind returns, by kind, the outcomes of the version since base and those of
// all other versions. The empty kind holds the sum over all kinds.
func outcomesByKind(scene RegionView, contents Contents, base map[string]routing.Outcome) (candidate, others map[string]routing.Outcome) {
	candidate, others = map[string]routing.Outcome{}, map[string]routing.Outcome{}
	add := func(table map[string]routing.Outcome, outcome routing.Outcome) {
		for _, kind := range []string{outcome.Kind, ""} {
			sum := table[kind]
			sum.Add(outcome)
			table[kind] = sum
		}
	}
	for key, outcome := range versionOutcomes(scene, contents) {
		before := base[key]
		outcome.OK -= before.OK
		outcome.Mishaps -= before.Mishaps
		outcome.Slow -= before.Slow
		outcome.Late = max(0, outcome.Late-before.Late)
		add(candidate, outcome)
	}
	for _, daemon := range scene.Daemons {
		for _, outcome := range daemon.Report.Total {
			if outcome.Model == contents.Model && outcome.Version != contents.Version {
				add(others, outcome)
			}
		}
	}
	return candidate, others
}

// checkFailures returns a VersionFailure if the version clearly fails in any region.
func (runner *Runner) checkFailures(scene RegionView, contents Contents, base map[string]routing.Outcome) error {
	candidate, others := outcomesByKind(scene, contents, base)
	for _, kind := range sorted(candidate) {
		outcome := candidate[kind]
		if routing.VersionFailsClearly(outcome, others[kind]) || routing.FailsMore(outcome, others[kind]) || routing.IsSlower(outcome, others[kind]) {
			return &VersionFailure{fmt.Sprintf("version %s fails on kind %q: of %d, %d failed, %d came late and %d slowly", contents.Version, kind, outcome.OK+outcome.Mishaps, outcome.Mishaps, outcome.Late, outcome.Slow)}
		}
	}
	// The outcomes of the last seconds are also checked on their own, because a version
	// may turn bad later.
	if routing.TrialFails(contents.Model, routing.Route{Version: settings.AnyVersion, Trial: contents.Version}, routing.SumOutcomes(scene.Daemons)) {
		return &VersionFailure{fmt.Sprintf("version %s has turned bad", contents.Version)}
	}
	return nil
}

// awaitReplicas waits for replicas of the version, which start without an order. It
// returns Empty if there are none by the end of the trial.
func (runner *Runner) awaitReplicas(scene RegionView, log *workflow.Log, contents Contents) (any, error) {
	for _, replica := range scene.placedReplicas(contents.Model) {
		if replica.Alive && isListedWith(replica, contents) {
			return Ready, nil
		}
	}
	if elapsed := runner.elapsed(log, contents); elapsed < contents.fraction(judgeShare) {
		return nil, runner.wait(contents.fraction(judgeShare) - elapsed)
	}
	return Empty, nil
}

// isListedWith reports whether the replica holds the version of the run and is not about to end.
func isListedWith(replica routing.Replica, contents Contents) bool {
	return !replica.Leaving && has(replica.Versions(contents.Model), contents.Version)
}

// hasVersion reports whether the region has replicas of the run's version that are not about
// to end, whether they answer or not.
func (scene RegionView) hasVersion(contents Contents) bool {
	return slices.ContainsFunc(scene.placedReplicas(contents.Model), func(replica routing.Replica) bool { return isListedWith(replica, contents) })
}

// checkReplicasRemain keeps the region's result up to date after its trial: the replicas of the
// version may end before the order does. It returns a terminal error once no region has any,
// as the version would get all traffic and the old replicas would stop.
func (runner *Runner) checkReplicasRemain(scene RegionView, log *workflow.Log, contents Contents, order *Order) error {
	passed := order.Passed[scene.Region]
	if passed == "" {
		return nil
	}
	result := Ready
	if !scene.hasVersion(contents) {
		result = Empty
	}
	if result != passed {
		if err := runner.changeOwned(scene, log, contents, func(order *Order, _ *routing.Route) { order.Passed[scene.Region] = result }); err != nil {
			return err
		}
		return runner.wait(0) // the next pass sees what was written
	}
	for _, region := range order.Regions {
		if order.Passed[region] != Empty {
			return nil
		}
	}
	return &workflow.Terminal{Reason: fmt.Sprintf("no region has replicas of version %s any more", contents.Version)}
}

// rareKindShare is the share of all answers up to which a kind may be missing from a
// trial.
const rareKindShare = 0.01

// judgeTimedTrial ends the trial once most of the duration has passed and every kind
// that is not rare has been answered.
func (runner *Runner) judgeTimedTrial(scene RegionView, log *workflow.Log, contents Contents, base map[string]routing.Outcome, ending string) (any, error) {
	if contents.Proved || ending == Empty {
		return Judgement{true, "nothing was tried"}, nil
	}
	elapsed := runner.elapsed(log, contents)
	if elapsed < contents.fraction(judgeShare) {
		return nil, runner.wait(contents.fraction(judgeShare) - elapsed)
	}
	if !scene.knowsAllDaemons() {
		return nil, workflow.ErrWait
	}
	candidate, others := outcomesByKind(scene, contents, base)
	for _, kind := range sorted(candidate) {
		if outcome := candidate[kind]; outcome.OK+outcome.Mishaps < routing.MinFailures && routing.MayFail(outcome, others[kind]) {
			return nil, &VersionFailure{fmt.Sprintf("version %s had too few requests of kind %q, and did not stand the few: %d failed, %d were answered", contents.Version, kind, outcome.Mishaps+outcome.Late, outcome.OK)}
		}
	}
	total := candidate[""].OK + candidate[""].Mishaps
	// Half of the samples that a trial without a time limit needs of each kind, because
	// a timed one is short.
	tooFew := total < int(scene.Tree.Limit("trial_samples", scene.Region)/2) || routing.FailsAboveExpected(candidate[""], others[""])
	for _, kind := range sorted(others) {
		outcome := others[kind]
		tooFew = tooFew || float64(outcome.OK) > rareKindShare*float64(others[""].OK) && candidate[kind].OK+candidate[kind].Mishaps == 0
	}
	switch {
	case !tooFew:
		return Judgement{true, "enough answers of every kind"}, nil
	case elapsed < contents.fraction(judgeEndShare):
		return nil, runner.wait(contents.fraction(judgeEndShare) - elapsed)
	case routing.MayFailMore(candidate[""], others[""]):
		return nil, &VersionFailure{fmt.Sprintf("version %s failed too often for what it was tried: of %d, %d failed and %d came late", contents.Version, total, candidate[""].Mishaps, candidate[""].Late)}
	case total > 0:
		return Judgement{true, "few answers; what there was did not fail"}, nil
	case !hasDemand(scene, contents.Model):
		return Judgement{true, "nobody asks for the model"}, nil
	case elapsed < maxTrialDurations*contents.Over:
		return nil, workflow.ErrWait // not tried yet; the version keeps its small share of the traffic
	}
	return nil, &workflow.Terminal{Reason: fmt.Sprintf("version %s was never tried", contents.Version)}
}

// knowsAllDaemons reports whether every running data daemon has been heard from.
func (scene RegionView) knowsAllDaemons() bool {
	return scene.SessionsWatched > scene.Tree.Duration("session_ms", "")
}

// hasDemand reports whether there are requests for the model.
func hasDemand(scene RegionView, model string) bool {
	for _, daemon := range scene.Daemons {
		if daemon.Report.Demand[model] >= 0.5 {
			return true
		}
	}
	return false
}

// pollDelay returns when to check again for something that other daemons need a moment
// for.
func pollDelay(scene RegionView) time.Duration {
	return routing.RecomputeInterval(scene.Tree.Duration("permit_ms", "")) / 2
}

// awaitAllRegions waits until the trials of all regions have passed. If no region has
// replicas of the version, there is nothing to move to and the run fails.
func (runner *Runner) awaitAllRegions(scene RegionView, contents Contents) error {
	object, err := runner.Objects.Model(contents.Model)
	if err != nil {
		return err
	}
	isReady := false
	for _, region := range object.Order.Regions {
		if placement, _ := scene.Tree.Placement(contents.Model, region); !placement.AcceptsAnyVersion() {
			continue
		}
		switch object.Order.Passed[region] {
		case "":
			return runner.wait(pollDelay(scene))
		case Ready:
			isReady = true
		}
	}
	if !isReady {
		return &workflow.Terminal{Reason: fmt.Sprintf("no region has replicas of version %s", contents.Version)}
	}
	return nil
}

// revertOrder rolls the order of a run back in all regions.
func (runner *Runner) revertOrder(scene RegionView, id string, contents Contents, reason string, isVersionFailure bool) error {
	return runner.Objects.revertOrder(orderRevert{
		model: contents.Model, id: id, region: scene.Region, term: scene.Term, reason: reason,
		isVersionFailure: isVersionFailure, failpoint: runner.failpoint,
	})
}
