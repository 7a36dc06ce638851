package rollout

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/workflow"
)

// Order is a model's newest roll-out under a term, of a placement that holds any
// version: replicas of the version start next to the old ones, nothing is ordered from
// them, and the traffic is to move to them before the term.
//
// Invariants: Number rises with every order, and the runs of all Regions have ID. Once
// Back is set or all regions are Done, nothing of it changes any more. No region's route
// moves before every region has Passed.
type Order struct {
	Number  uint64        `json:"number"`
	ID      string        `json:"id"`
	Version string        `json:"version"`
	Over    time.Duration `json:"over"` // the term, counted from the order
	// Proved orders ask for the version that the last one brought; it has no trial.
	Proved  bool     `json:"proved,omitempty"`
	Regions []string `json:"regions"`
	// Passed tells by region how its trial ended, Ready or Empty.
	Passed map[string]string `json:"passed,omitempty"`
	Done   map[string]bool   `json:"done,omitempty"`
	// Back is why it was taken back, empty when it was not.
	Back  string    `json:"back,omitempty"`
	Ended time.Time `json:"ended"`
}

// How a region's trial ended: it holds, or there were no replicas of the version.
const (
	Ready = "ready"
	Empty = "empty"
)

// States of an order.
const (
	Moving   = "running"
	Moved    = "done"
	GoneBack = "back"
)

// State is the order's over the regions that still place the model: back as soon as
// one region's trial failed, done once all regions are.
func (order *Order) State(placed []string) string {
	if order.Back != "" {
		return GoneBack
	}
	isAny := false
	for _, region := range order.Regions {
		if slices.Contains(placed, region) {
			isAny = true
			if !order.Done[region] {
				return Moving
			}
		}
	}
	if !isAny {
		return GoneBack // the model is placed nowhere that it was ordered for
	}
	return Moved
}

// Parts of the term. The trial lasts until judgeShare; what has had too few answers by
// then goes on until lateShare; what runs on the old replicas may end until doneShare, and for drainShare at the
// least.
// Why so late: docs/notes/rollouts.md.
const (
	judgeShare     = 0.75
	judgeEndShare  = 0.8
	drainEndShare  = 0.95
	minDrainShare  = 0.1
	lateDrainShare = 0.5 // in drainShare's place once the term is over
	// most terms that a trial waits for answers.
	maxTrialDurations = 2
	// progressMarks are how often within the term a run records how much of it is over.
	progressMarks = 8
)

// repeatWindow is for how long after its end an order that comes again is the same one.
const repeatWindow = 30 * time.Second

var errRepeated = errors.New("the order is there already")

// Begin takes an order, or joins the same one. All regions' routes name the trial from
// that write on, so that no new replica is ever taken for one among equals. A Decline
// tells that another order is under way.
func (objects *Objects) Begin(model, version string, duration time.Duration, regions []string) (Order, error) {
	return objects.BeginWithin(Fence{}, model, version, duration, regions)
}

// Fence bounds an operator's order.
type Fence struct {
	// Silence is for how long it goes on while no majority of the core answers; zero is
	// the keeper's patience.
	Silence time.Duration
	// IsAbandoned, if set, tells that nothing may be written for it any more.
	IsAbandoned func() bool
}

// ErrAbandoned: an order's fence said, before it was written, that it shall not be.
var ErrAbandoned = errors.New("rollout: the order was given up before it was written")

// BeginWithin is Begin with a fence, which is looked at right before the write.
func (objects *Objects) BeginWithin(fence Fence, model, version string, duration time.Duration, regions []string) (Order, error) {
	if fence.Silence == 0 {
		fence.Silence = objects.Keeper.Patience
	}
	object, err := objects.ModelWithin(model, fence.Silence)
	if err != nil {
		return Order{}, err
	}
	if isRepeat, err := object.isRepeat(version, duration, regions, objects.World.Wall()); isRepeat || err != nil {
		return *orEmpty(object.Order), err
	}
	serials := map[string]uint64{}
	for _, region := range regions {
		if serials[region], err = objects.NextSerial(region); err != nil {
			return Order{}, err
		}
	}
	var order Order
	_, err = objects.changeTimeout(fence.Silence, model, "", 0, func(model *Model) error {
		if isRepeat, err := model.isRepeat(version, duration, regions, objects.World.Wall()); err != nil {
			return err
		} else if isRepeat {
			order = *model.Order
			return errRepeated
		}
		if fence.IsAbandoned != nil && fence.IsAbandoned() {
			return ErrAbandoned
		}
		order = Order{Number: orEmpty(model.Order).Number + 1, Version: version, Over: duration, Regions: regions, Proved: true}
		order.ID = fmt.Sprintf("term-%s-%d", version, order.Number)
		for _, region := range regions {
			order.Proved = order.Proved && model.Routes[region].Version == version && model.Failed[version] == ""
		}
		delete(model.Failed, version)
		for _, region := range regions {
			route := model.Routes[region]
			isOrdered := func(banned string) bool { return banned == version }
			route.Banned, route.Left = slices.DeleteFunc(route.Banned, isOrdered), slices.DeleteFunc(route.Left, isOrdered)
			route.Run, route.Trial, route.Watched, route.Serial = order.ID, version, false, serials[region]
			if order.Proved {
				route.Trial = ""
			}
			model.Routes[region] = route
		}
		model.Order = &order
		return nil
	})
	if errors.Is(err, errRepeated) {
		err = nil
	}
	if err == nil {
		objects.firstSeen(order.ID)
	}
	return order, err
}

// isRepeat tells whether the order is the newest one come again.
func (model *Model) isRepeat(version string, duration time.Duration, regions []string, now time.Time) (bool, error) {
	order := model.Order
	if order == nil {
		return false, nil
	}
	isSame := order.Version == version && order.Over == duration
	if order.State(regions) != Moving {
		return isSame && now.Sub(order.Ended).Abs() < repeatWindow, nil
	}
	if !isSame {
		return false, &Decline{fmt.Sprintf("a roll-out of %s within %v is under way", order.Version, order.Over)}
	}
	return true, nil
}

func orEmpty(order *Order) *Order {
	if order == nil {
		return &Order{}
	}
	return order
}

// firstSeen is when this daemon first saw an order, on its own clock: a calendar may jump.
func (objects *Objects) firstSeen(id string) time.Duration {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	if objects.ordersSeenAt == nil {
		objects.ordersSeenAt = map[string]time.Duration{}
	}
	at, isKnown := objects.ordersSeenAt[id]
	if !isKnown {
		at = objects.World.Now()
		objects.ordersSeenAt[id] = at
	}
	return at
}

// startTimed turns the region's part of the model's order: it begins its run, and forgets
// what is barred once no replica of it is listed.
func (runner *Runner) startTimed(scene Scene, model string) (*workflow.Log, error) {
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
	run, joined, err := runner.Book.Start(key, order.ID, contents)
	if err != nil {
		return nil, err
	}
	if joined && run.State != workflow.Running {
		return nil, runner.revertOrder(scene, order.ID, contents, "its run is over: "+run.Reason, false)
	}
	return runner.Book.Resume(key, scene.Duty)
}

// Spans after which a version that is listed no more is forgotten, as ratios of
// dark_ms: one that was left, whose replicas stop at once, and one that failed, whose
// replicas may yet come up late.
const (
	leftForgetRatio   = 4
	bannedForgetRatio = 50
)

// forgetAbsent lifts what bars versions that no replica of the region is listed with.
func (runner *Runner) forgetAbsent(scene Scene, model string, object Model) error {
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
		return runner.waited(key) > ratio*scene.Tree.Span("dark_ms", scene.Region)
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
	_, err := runner.Objects.Change(model, scene.Region, scene.Duty, func(model *Model) error {
		current := model.Routes[scene.Region]
		if current.Serial != route.Serial || current.Run != route.Run {
			return workflow.ErrWait // moved meanwhile; looked at anew
		}
		current.Left, current.Banned = left, banned
		model.Routes[scene.Region] = current
		return nil
	})
	return err
}

// elapsed is how much of the term is over, by this daemon's own clock: since it first
// saw the order, or since it took the run, on top of what the run has recorded.
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

// recordProgress records how much of the term is over, for whoever takes the run next.
func (runner *Runner) recordProgress(log *workflow.Log, contents Contents) error {
	elapsed := runner.elapsed(log, contents)
	number := min(progressMarks, int(progressMarks*elapsed/contents.Over))
	if number < 1 {
		return nil
	}
	return log.Step(progressStep(number), func() (any, error) { return elapsed, nil }, nil)
}

// fraction is a share of the term.
func (contents Contents) fraction(share float64) time.Duration {
	return time.Duration(share * float64(contents.Over))
}

// advanceTimed goes through the steps of a run under a term.
func (runner *Runner) advanceTimed(scene Scene, log *workflow.Log, contents Contents) error {
	var base map[string]standing.Outcome
	if err := runner.step(log, "validate", func() (any, error) {
		if placement, _ := scene.Tree.Placement(contents.Model, scene.Region); !placement.Any() {
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
		if err != nil {
			return err
		}
	}
	if err := runner.recordProgress(log, contents); err != nil {
		return err
	}
	// Every turn, whatever the step: what plainly fails goes back at once.
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
		return nil, runner.changeOwned(scene, log, contents, func(order *Order, _ *standing.Route) {
			if order.Passed == nil {
				order.Passed = map[string]string{}
			}
			order.Passed[scene.Region] = ending
		})
	}, nil); err != nil {
		return err
	}
	if err := runner.step(log, "agree", func() (any, error) {
		return nil, runner.awaitAllRegions(scene, contents)
	}, nil); err != nil {
		return err
	}
	if err := runner.moveRoute(scene, log, contents, true, func(revise func(*standing.Route)) error {
		return runner.changeOwned(scene, log, contents, func(_ *Order, route *standing.Route) { revise(route) })
	}); err != nil {
		return err
	}
	if err := runner.step(log, "settle", func() (any, error) {
		return nil, runner.awaitDrained(scene, log, contents)
	}, nil); err != nil {
		return err
	}
	return runner.step(log, "live", func() (any, error) {
		return nil, runner.changeOwned(scene, log, contents, func(order *Order, route *standing.Route) {
			if order.Done == nil {
				order.Done = map[string]bool{}
			}
			order.Done[scene.Region], order.Ended = true, runner.World.Wall()
			route.Previous, route.Watched = "", false
			for _, replica := range scene.placedReplicas(contents.Model) {
				for _, version := range replica.Versions(contents.Model) {
					if version != contents.Version && !has(route.Left, version) && !route.Bears(version) {
						route.Left = append(route.Left, version)
					}
				}
			}
		})
	}, nil)
}

// changeOwned changes the order and the region's route while they are this run's; with nothing
// to revise, it only takes the region's fence.
func (runner *Runner) changeOwned(scene Scene, log *workflow.Log, contents Contents, revise func(*Order, *standing.Route)) error {
	_, err := runner.Objects.Change(contents.Model, scene.Region, scene.Duty, func(model *Model) error {
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

// checkOwned tells whether the run may go on with the region's route.
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

// versionOutcomes sums what the version's replicas answered, by daemon incarnation, region
// and kind, of all regions: what fails in one is not tried on in another.
func versionOutcomes(scene Scene, contents Contents) map[string]standing.Outcome {
	outcomes := map[string]standing.Outcome{}
	for _, daemon := range scene.Daemons {
		for _, outcome := range daemon.Report.Total {
			if outcome.Model == contents.Model && outcome.Version == contents.Version {
				outcomes[strings.Join([]string{scene.Incarnations[daemon.Name], outcome.Replica, outcome.Kind}, "|")] = outcome
			}
		}
	}
	return outcomes
}

// outcomesByKind is what the version was answered since the base, and what all others were,
// by kind; the empty kind sums them.
func outcomesByKind(scene Scene, contents Contents, base map[string]standing.Outcome) (candidate, others map[string]standing.Outcome) {
	candidate, others = map[string]standing.Outcome{}, map[string]standing.Outcome{}
	add := func(table map[string]standing.Outcome, outcome standing.Outcome) {
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

// checkFailures ends the run when the version's failures are plain in any region.
func (runner *Runner) checkFailures(scene Scene, contents Contents, base map[string]standing.Outcome) error {
	candidate, others := outcomesByKind(scene, contents, base)
	for _, kind := range sorted(candidate) {
		outcome := candidate[kind]
		if standing.PlainVersion(outcome, others[kind]) || standing.Worse(outcome, others[kind]) || standing.Slower(outcome, others[kind]) {
			return &VersionFailure{fmt.Sprintf("version %s fails on kind %q: of %d, %d failed, %d came late and %d slowly", contents.Version, kind, outcome.OK+outcome.Mishaps, outcome.Mishaps, outcome.Late, outcome.Slow)}
		}
	}
	// What the last seconds show counts by itself: a version may turn bad.
	if standing.TrialFails(contents.Model, standing.Route{Version: settings.AnyVersion, Trial: contents.Version}, standing.Gather(scene.Daemons)) {
		return &VersionFailure{fmt.Sprintf("version %s has turned bad", contents.Version)}
	}
	return nil
}

// awaitReplicas waits for replicas of the version, which start by themselves.
func (runner *Runner) awaitReplicas(scene Scene, log *workflow.Log, contents Contents) (any, error) {
	for _, replica := range scene.placedReplicas(contents.Model) {
		if replica.Alive && !replica.Leaving && has(replica.Versions(contents.Model), contents.Version) {
			return Ready, nil
		}
	}
	if elapsed := runner.elapsed(log, contents); elapsed < contents.fraction(judgeShare) {
		return nil, runner.wait(contents.fraction(judgeShare) - elapsed)
	}
	return Empty, nil
}

// rareKindShare is up to which part of all answers a kind need not be seen in a trial.
const rareKindShare = 0.01

// judgeTimedTrial ends the trial once most of the term is over and every kind that comes
// often enough was answered.
func (runner *Runner) judgeTimedTrial(scene Scene, log *workflow.Log, contents Contents, base map[string]standing.Outcome, ending string) (any, error) {
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
		if outcome := candidate[kind]; outcome.OK+outcome.Mishaps < standing.PlainMishaps && standing.Doubtful(outcome, others[kind]) {
			return nil, &VersionFailure{fmt.Sprintf("version %s had too few requests of kind %q, and did not stand the few: %d failed, %d were answered", contents.Version, kind, outcome.Mishaps+outcome.Late, outcome.OK)}
		}
	}
	total := candidate[""].OK + candidate[""].Mishaps
	// Half of what a trial without a term wants of each kind: the term is short.
	tooFew := total < int(scene.Tree.Limit("trial_samples", scene.Region)/2) || standing.Unclear(candidate[""], others[""])
	for _, kind := range sorted(others) {
		outcome := others[kind]
		tooFew = tooFew || float64(outcome.OK) > rareKindShare*float64(others[""].OK) && candidate[kind].OK+candidate[kind].Mishaps == 0
	}
	switch {
	case !tooFew:
		return Judgement{true, "enough answers of every kind"}, nil
	case elapsed < contents.fraction(judgeEndShare):
		return nil, runner.wait(contents.fraction(judgeEndShare) - elapsed)
	case standing.Suspect(candidate[""], others[""]):
		return nil, &VersionFailure{fmt.Sprintf("version %s failed too often for what it was tried: of %d, %d failed and %d came late", contents.Version, total, candidate[""].Mishaps, candidate[""].Late)}
	case total > 0:
		return Judgement{true, "few answers; what there was did not fail"}, nil
	case !hasDemand(scene, contents.Model):
		return Judgement{true, "nobody asks for the model"}, nil
	case elapsed < maxTrialDurations*contents.Over:
		return nil, workflow.ErrWait // unproved; it keeps its small share
	}
	return nil, &workflow.Terminal{Reason: fmt.Sprintf("version %s was never tried", contents.Version)}
}

// knowsAllDaemons tells whether all data daemons that there are have been heard.
func (scene Scene) knowsAllDaemons() bool { return scene.Watched > scene.Tree.Span("session_ms", "") }

// hasDemand tells whether anybody asks for the model.
func hasDemand(scene Scene, model string) bool {
	for _, daemon := range scene.Daemons {
		if daemon.Report.Demand[model] >= 0.5 {
			return true
		}
	}
	return false
}

// pollDelay is when to look again at what takes others a moment.
func pollDelay(scene Scene) time.Duration { return standing.Tick(scene.Tree.Span("permit_ms", "")) / 2 }

// awaitAllRegions waits until every region's trial has passed. Where no region has replicas of the
// version there is nothing to move to.
func (runner *Runner) awaitAllRegions(scene Scene, contents Contents) error {
	object, err := runner.Objects.Model(contents.Model)
	if err != nil {
		return err
	}
	isReady := false
	for _, region := range object.Order.Regions {
		if placement, _ := scene.Tree.Placement(contents.Model, region); !placement.Any() {
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

// awaitDrained waits, after the move, until every data daemon goes by it and nothing runs on
// the replicas that are to stop.
func (runner *Runner) awaitDrained(scene Scene, log *workflow.Log, contents Contents) error {
	key := waitKey(log, contents, "shown")
	if _, isKnown := runner.movedSerial[key]; !isKnown && tableMoved(scene, contents) {
		runner.movedSerial[key] = scene.Standing.Serial
	}
	serial, isApplied := runner.movedSerial[key]
	if isApplied {
		isEverywhere := scene.knowsAllDaemons()
		for _, daemon := range scene.Daemons {
			isEverywhere = isEverywhere && daemon.Report.Standing[scene.Region] >= serial
		}
		lease := scene.Tree.Span("permit_ms", "")
		isApplied = isEverywhere || runner.waited(key) > lease+lease/4 // older permits have ended
	}
	if !isApplied {
		return runner.wait(pollDelay(scene))
	}
	drained, elapsed := runner.waited(waitKey(log, contents, "drain")), runner.elapsed(log, contents)
	minDrain := contents.fraction(minDrainShare)
	if elapsed > contents.Over {
		minDrain = contents.fraction(lateDrainShare) // missed; no answer is broken off for it
	}
	isLate := elapsed > contents.fraction(drainEndShare) && drained > minDrain
	if !isLate && (!scene.knowsAllDaemons() || hasOldStreams(scene, contents)) {
		return runner.wait(pollDelay(scene))
	}
	return nil
}

// tableMoved tells whether the region's standing has moved.
func tableMoved(scene Scene, contents Contents) bool {
	if scene.Standing == nil {
		return false
	}
	for _, row := range scene.Standing.Rows {
		if row.Model == contents.Model && (row.Trial || row.Version != contents.Version && !row.Back) {
			return false
		}
	}
	return true
}

// hasOldStreams tells whether anything runs on the region's replicas of other versions.
func hasOldStreams(scene Scene, contents Contents) bool {
	for _, daemon := range scene.Daemons {
		for held, count := range daemon.Report.Streams {
			if held.Model == contents.Model && held.Version != contents.Version && count > 0 && isInRegion(scene, held.Replica) {
				return true
			}
		}
	}
	return false
}

// revertOrder ends the order in all regions by one write; an upsert.
func (runner *Runner) revertOrder(scene Scene, id string, contents Contents, reason string, isVersionFailure bool) error {
	object, err := runner.Objects.Model(contents.Model)
	if err != nil {
		return err
	}
	isOver := func(order *Order) bool { return order.ID != id || order.Back != "" }
	if isOver(orEmpty(object.Order)) {
		return nil
	}
	runner.failpoint("back")
	serials := map[string]uint64{}
	for _, region := range object.Order.Regions {
		if serials[region], err = runner.Objects.NextSerial(region); err != nil {
			return err
		}
	}
	_, err = runner.Objects.Change(contents.Model, scene.Region, scene.Duty, func(model *Model) error {
		if isOver(orEmpty(model.Order)) {
			return workflow.ErrWait // taken back, or over, meanwhile; looked at anew
		}
		model.Order.Back, model.Order.Ended = reason, runner.World.Wall()
		if isVersionFailure {
			if model.Failed == nil {
				model.Failed = map[string]string{}
			}
			model.Failed[contents.Version] = id
		}
		for _, region := range model.Order.Regions {
			route := model.Routes[region]
			if route.Version == contents.Version {
				route.Version, route.Moved = route.Previous, runner.World.Wall()
			}
			if !route.Bears(contents.Version) {
				route.Banned = append(route.Banned, contents.Version)
			}
			route.Run, route.Trial, route.Previous, route.Watched, route.Left = "", "", "", false, nil
			route.Serial = serials[region]
			model.Routes[region] = route
		}
		model.Live = liveVersion(model)
		return nil
	})
	return err
}
