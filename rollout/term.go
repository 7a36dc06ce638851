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
	judgeShare = 0.75
	lateShare  = 0.8
	doneShare  = 0.95
	drainShare = 0.1
	overShare  = 0.5 // in drainShare's place once the term is over
	// most terms that a trial waits for answers.
	mostTerms = 2
	// marks are how often within the term a run records how much of it is over.
	marks = 8
)

// joinSpan is for how long after its end an order that comes again is the same one.
const joinSpan = 30 * time.Second

var errAgain = errors.New("the order is there already")

// Begin takes an order, or joins the same one. All regions' routes name the trial from
// that write on, so that no new replica is ever taken for one among equals. A Decline
// tells that another order is under way.
func (objects *Objects) Begin(model, version string, over time.Duration, regions []string) (Order, error) {
	return objects.BeginWithin(Fence{}, model, version, over, regions)
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
func (objects *Objects) BeginWithin(fence Fence, model, version string, over time.Duration, regions []string) (Order, error) {
	if fence.Silence == 0 {
		fence.Silence = objects.Keeper.Patience
	}
	have, err := objects.ModelWithin(model, fence.Silence)
	if err != nil {
		return Order{}, err
	}
	if is, err := have.again(version, over, regions, objects.World.Wall()); is || err != nil {
		return *orEmpty(have.Order), err
	}
	serials := map[string]uint64{}
	for _, region := range regions {
		if serials[region], err = objects.NextSerial(region); err != nil {
			return Order{}, err
		}
	}
	var order Order
	_, err = objects.changeWithin(fence.Silence, model, "", 0, func(model *Model) error {
		if is, err := model.again(version, over, regions, objects.World.Wall()); err != nil {
			return err
		} else if is {
			order = *model.Order
			return errAgain
		}
		if fence.IsAbandoned != nil && fence.IsAbandoned() {
			return ErrAbandoned
		}
		order = Order{Number: orEmpty(model.Order).Number + 1, Version: version, Over: over, Regions: regions, Proved: true}
		order.ID = fmt.Sprintf("term-%s-%d", version, order.Number)
		for _, region := range regions {
			order.Proved = order.Proved && model.Routes[region].Version == version && model.Failed[version] == ""
		}
		delete(model.Failed, version)
		for _, region := range regions {
			route := model.Routes[region]
			isSame := func(one string) bool { return one == version }
			route.Banned, route.Left = slices.DeleteFunc(route.Banned, isSame), slices.DeleteFunc(route.Left, isSame)
			route.Run, route.Trial, route.Watched, route.Serial = order.ID, version, false, serials[region]
			if order.Proved {
				route.Trial = ""
			}
			model.Routes[region] = route
		}
		model.Order = &order
		return nil
	})
	if errors.Is(err, errAgain) {
		err = nil
	}
	if err == nil {
		objects.seen(order.ID)
	}
	return order, err
}

// again tells whether the order is the newest one come again.
func (model *Model) again(version string, over time.Duration, regions []string, now time.Time) (bool, error) {
	order := model.Order
	if order == nil {
		return false, nil
	}
	isSame := order.Version == version && order.Over == over
	if order.State(regions) != Moving {
		return isSame && now.Sub(order.Ended).Abs() < joinSpan, nil
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

// seen is when this daemon first saw an order, on its own clock: a calendar may jump.
func (objects *Objects) seen(id string) time.Duration {
	objects.guard.Lock()
	defer objects.guard.Unlock()
	if objects.orders == nil {
		objects.orders = map[string]time.Duration{}
	}
	at, known := objects.orders[id]
	if !known {
		at = objects.World.Now()
		objects.orders[id] = at
	}
	return at
}

// term turns the region's part of the model's order: it begins its run, and forgets
// what is barred once no replica of it is listed.
func (runner *Runner) term(scene Scene, model string) (*workflow.Log, error) {
	have, err := runner.Objects.Model(model)
	if err != nil {
		return nil, err
	}
	order := orEmpty(have.Order)
	if order.Back != "" || order.Done[scene.Region] || !has(order.Regions, scene.Region) {
		return nil, runner.forget(scene, model, have)
	}
	key := Key(model, scene.Region)
	contents := Contents{Model: model, Region: scene.Region, Version: order.Version, Over: order.Over, Proved: order.Proved}
	run, joined, err := runner.Book.Start(key, order.ID, contents)
	if err != nil {
		return nil, err
	}
	if joined && run.State != workflow.Running {
		return nil, runner.takeBack(scene, order.ID, contents, "its run is over: "+run.Reason, false)
	}
	return runner.Book.Resume(key, scene.Duty)
}

// Spans after which a version that is listed no more is forgotten, as ratios of
// dark_ms: one that was left, whose replicas stop at once, and one that failed, whose
// replicas may yet come up late.
const (
	leftSpans   = 4
	bannedSpans = 50
)

// forget lifts what bars versions that no replica of the region is listed with.
func (runner *Runner) forget(scene Scene, model string, have Model) error {
	listed := map[string]bool{}
	for _, one := range scene.placed(model) {
		for _, version := range one.Versions(model) {
			listed[version] = true
		}
	}
	over := func(version string, spans time.Duration) bool {
		key := "absent " + Key(model, scene.Region) + "|" + version
		if listed[version] {
			delete(runner.began, key)
			return false
		}
		return runner.spent(key) > spans*scene.Tree.Span("dark_ms", scene.Region)
	}
	lift := func(list []string, spans time.Duration) (kept []string) {
		for _, version := range list {
			if !over(version, spans) {
				kept = append(kept, version)
			}
		}
		return kept
	}
	route := have.Routes[scene.Region]
	left, banned := lift(route.Left, leftSpans), lift(route.Banned, bannedSpans)
	if len(left) == len(route.Left) && len(banned) == len(route.Banned) {
		return nil
	}
	_, err := runner.Objects.Change(model, scene.Region, scene.Duty, func(model *Model) error {
		at := model.Routes[scene.Region]
		if at.Serial != route.Serial || at.Run != route.Run {
			return workflow.ErrWait // moved meanwhile; looked at anew
		}
		at.Left, at.Banned = left, banned
		model.Routes[scene.Region] = at
		return nil
	})
	return err
}

// elapsed is how much of the term is over, by this daemon's own clock: since it first
// saw the order, or since it took the run, on top of what the run has recorded.
func (runner *Runner) elapsed(log *workflow.Log, contents Contents) time.Duration {
	key := waits(log, contents, "term")
	base, known := runner.recorded[key]
	if !known {
		for at := 1; at <= marks; at++ {
			var mark time.Duration
			if log.Recorded(markName(at), &mark) {
				base = max(base, mark)
			}
		}
		runner.recorded[key] = base
	}
	return max(runner.World.Now()-runner.Objects.seen(log.Run().ID), base+runner.spent(key))
}

func markName(at int) string { return fmt.Sprintf("term-%d", at) }

// mark records how much of the term is over, for whoever takes the run next.
func (runner *Runner) mark(log *workflow.Log, contents Contents) error {
	elapsed := runner.elapsed(log, contents)
	at := min(marks, int(marks*elapsed/contents.Over))
	if at < 1 {
		return nil
	}
	return log.Step(markName(at), func() (any, error) { return elapsed, nil }, nil)
}

// part is a share of the term.
func (contents Contents) part(share float64) time.Duration {
	return time.Duration(share * float64(contents.Over))
}

// within goes through the steps of a run under a term.
func (runner *Runner) within(scene Scene, log *workflow.Log, contents Contents) error {
	var base map[string]standing.Outcome
	if err := runner.step(log, "validate", func() (any, error) {
		if placement, _ := scene.Tree.Placement(contents.Model, scene.Region); !placement.Any() {
			return nil, &workflow.Terminal{Reason: fmt.Sprintf("model %q is not placed in region %s with any version", contents.Model, scene.Region)}
		}
		return answered(scene, contents), runner.own(scene, log, contents, nil)
	}, &base); err != nil {
		return err
	}
	if !log.Recorded("live", nil) {
		have, err := runner.Objects.Model(contents.Model)
		if err == nil {
			err = have.owned(scene.Region, log.Run().ID)
		}
		if err != nil {
			return err
		}
	}
	if err := runner.mark(log, contents); err != nil {
		return err
	}
	// Every turn, whatever the step: what plainly fails goes back at once.
	if err := runner.fails(scene, contents, base); err != nil && !log.Recorded("live", nil) {
		return err
	}
	ending := Empty
	if err := runner.step(log, "ready", func() (any, error) {
		return runner.await(scene, log, contents)
	}, &ending); err != nil {
		return err
	}
	if err := runner.step(log, "trial-judge", func() (any, error) {
		return runner.judgeWithin(scene, log, contents, base, ending)
	}, nil); err != nil {
		return err
	}
	if err := runner.step(log, "pass", func() (any, error) {
		return nil, runner.own(scene, log, contents, func(order *Order, _ *standing.Route) {
			if order.Passed == nil {
				order.Passed = map[string]string{}
			}
			order.Passed[scene.Region] = ending
		})
	}, nil); err != nil {
		return err
	}
	if err := runner.step(log, "agree", func() (any, error) {
		return nil, runner.agree(scene, contents)
	}, nil); err != nil {
		return err
	}
	if err := runner.move(scene, log, contents, true, func(revise func(*standing.Route)) error {
		return runner.own(scene, log, contents, func(_ *Order, route *standing.Route) { revise(route) })
	}); err != nil {
		return err
	}
	if err := runner.step(log, "settle", func() (any, error) {
		return nil, runner.settle(scene, log, contents)
	}, nil); err != nil {
		return err
	}
	return runner.step(log, "live", func() (any, error) {
		return nil, runner.own(scene, log, contents, func(order *Order, route *standing.Route) {
			if order.Done == nil {
				order.Done = map[string]bool{}
			}
			order.Done[scene.Region], order.Ended = true, runner.World.Wall()
			route.Previous, route.Watched = "", false
			for _, one := range scene.placed(contents.Model) {
				for _, version := range one.Versions(contents.Model) {
					if version != contents.Version && !has(route.Left, version) && !route.Bears(version) {
						route.Left = append(route.Left, version)
					}
				}
			}
		})
	}, nil)
}

// own changes the order and the region's route while they are this run's; with nothing
// to revise, it only takes the region's fence.
func (runner *Runner) own(scene Scene, log *workflow.Log, contents Contents, revise func(*Order, *standing.Route)) error {
	_, err := runner.Objects.Change(contents.Model, scene.Region, scene.Duty, func(model *Model) error {
		if err := model.owned(scene.Region, log.Run().ID); err != nil {
			return err
		}
		route := model.Routes[scene.Region]
		if revise != nil {
			revise(model.Order, &route)
		}
		model.Routes[scene.Region] = route
		if model.Live = live(model); model.Live == "" {
			model.Live = route.Version
		}
		return nil
	})
	return err
}

// owned tells whether the run may go on with the region's route.
func (model *Model) owned(region, id string) error {
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

// answered sums what the version's replicas answered, by daemon incarnation, region
// and kind, of all regions: what fails in one is not tried on in another.
func answered(scene Scene, contents Contents) map[string]standing.Outcome {
	out := map[string]standing.Outcome{}
	for _, daemon := range scene.Daemons {
		for _, one := range daemon.Report.Total {
			if one.Model == contents.Model && one.Version == contents.Version {
				out[strings.Join([]string{scene.Incarnations[daemon.Name], one.Replica, one.Kind}, "|")] = one
			}
		}
	}
	return out
}

// evidence is what the version was answered since the base, and what all others were,
// by kind; the empty kind sums them.
func evidence(scene Scene, contents Contents, base map[string]standing.Outcome) (mine, other map[string]standing.Outcome) {
	mine, other = map[string]standing.Outcome{}, map[string]standing.Outcome{}
	add := func(table map[string]standing.Outcome, one standing.Outcome) {
		for _, kind := range []string{one.Kind, ""} {
			sum := table[kind]
			sum.Add(one)
			table[kind] = sum
		}
	}
	for key, one := range answered(scene, contents) {
		before := base[key]
		one.OK -= before.OK
		one.Mishaps -= before.Mishaps
		one.Slow -= before.Slow
		one.Late = max(0, one.Late-before.Late)
		add(mine, one)
	}
	for _, daemon := range scene.Daemons {
		for _, one := range daemon.Report.Total {
			if one.Model == contents.Model && one.Version != contents.Version {
				add(other, one)
			}
		}
	}
	return mine, other
}

// fails ends the run when the version's failures are plain in any region.
func (runner *Runner) fails(scene Scene, contents Contents, base map[string]standing.Outcome) error {
	mine, other := evidence(scene, contents, base)
	for _, kind := range sorted(mine) {
		one := mine[kind]
		if standing.PlainVersion(one, other[kind]) || standing.Worse(one, other[kind]) || standing.Slower(one, other[kind]) {
			return &Plainly{fmt.Sprintf("version %s fails on kind %q: of %d, %d failed, %d came late and %d slowly", contents.Version, kind, one.OK+one.Mishaps, one.Mishaps, one.Late, one.Slow)}
		}
	}
	// What the last seconds show counts by itself: a version may turn bad.
	if standing.TrialFails(contents.Model, standing.Route{Version: settings.AnyVersion, Trial: contents.Version}, standing.Gather(scene.Daemons)) {
		return &Plainly{fmt.Sprintf("version %s has turned bad", contents.Version)}
	}
	return nil
}

// await waits for replicas of the version, which start by themselves.
func (runner *Runner) await(scene Scene, log *workflow.Log, contents Contents) (any, error) {
	for _, one := range scene.placed(contents.Model) {
		if one.Alive && !one.Leaving && has(one.Versions(contents.Model), contents.Version) {
			return Ready, nil
		}
	}
	if elapsed := runner.elapsed(log, contents); elapsed < contents.part(judgeShare) {
		return nil, runner.wait(contents.part(judgeShare) - elapsed)
	}
	return Empty, nil
}

// thinShare is up to which part of all answers a kind need not be seen in a trial.
const thinShare = 0.01

// judgeWithin ends the trial once most of the term is over and every kind that comes
// often enough was answered.
func (runner *Runner) judgeWithin(scene Scene, log *workflow.Log, contents Contents, base map[string]standing.Outcome, ending string) (any, error) {
	if contents.Proved || ending == Empty {
		return Judgement{true, "nothing was tried"}, nil
	}
	elapsed := runner.elapsed(log, contents)
	if elapsed < contents.part(judgeShare) {
		return nil, runner.wait(contents.part(judgeShare) - elapsed)
	}
	if !scene.knows() {
		return nil, workflow.ErrWait
	}
	mine, other := evidence(scene, contents, base)
	for _, kind := range sorted(mine) {
		if one := mine[kind]; one.OK+one.Mishaps < standing.PlainMishaps && standing.Doubtful(one, other[kind]) {
			return nil, &Plainly{fmt.Sprintf("version %s had too few requests of kind %q, and did not stand the few: %d failed, %d were answered", contents.Version, kind, one.Mishaps+one.Late, one.OK)}
		}
	}
	all := mine[""].OK + mine[""].Mishaps
	// Half of what a trial without a term wants of each kind: the term is short.
	short := all < int(scene.Tree.Limit("trial_samples", scene.Region)/2) || standing.Unclear(mine[""], other[""])
	for _, kind := range sorted(other) {
		one := other[kind]
		short = short || float64(one.OK) > thinShare*float64(other[""].OK) && mine[kind].OK+mine[kind].Mishaps == 0
	}
	switch {
	case !short:
		return Judgement{true, "enough answers of every kind"}, nil
	case elapsed < contents.part(lateShare):
		return nil, runner.wait(contents.part(lateShare) - elapsed)
	case standing.Suspect(mine[""], other[""]):
		return nil, &Plainly{fmt.Sprintf("version %s failed too often for what it was tried: of %d, %d failed and %d came late", contents.Version, all, mine[""].Mishaps, mine[""].Late)}
	case all > 0:
		return Judgement{true, "few answers; what there was did not fail"}, nil
	case !asked(scene, contents.Model):
		return Judgement{true, "nobody asks for the model"}, nil
	case elapsed < mostTerms*contents.Over:
		return nil, workflow.ErrWait // unproved; it keeps its small share
	}
	return nil, &workflow.Terminal{Reason: fmt.Sprintf("version %s was never tried", contents.Version)}
}

// knows tells whether all data daemons that there are have been heard.
func (scene Scene) knows() bool { return scene.Watched > scene.Tree.Span("session_ms", "") }

// asked tells whether anybody asks for the model.
func asked(scene Scene, model string) bool {
	for _, daemon := range scene.Daemons {
		if daemon.Report.Demand[model] >= 0.5 {
			return true
		}
	}
	return false
}

// soon is when to look again at what takes others a moment.
func soon(scene Scene) time.Duration { return standing.Tick(scene.Tree.Span("permit_ms", "")) / 2 }

// agree waits until every region's trial has passed. Where no region has replicas of the
// version there is nothing to move to.
func (runner *Runner) agree(scene Scene, contents Contents) error {
	have, err := runner.Objects.Model(contents.Model)
	if err != nil {
		return err
	}
	isReady := false
	for _, region := range have.Order.Regions {
		if placement, _ := scene.Tree.Placement(contents.Model, region); !placement.Any() {
			continue
		}
		switch have.Order.Passed[region] {
		case "":
			return runner.wait(soon(scene))
		case Ready:
			isReady = true
		}
	}
	if !isReady {
		return &workflow.Terminal{Reason: fmt.Sprintf("no region has replicas of version %s", contents.Version)}
	}
	return nil
}

// settle waits, after the move, until every data daemon goes by it and nothing runs on
// the replicas that are to stop.
func (runner *Runner) settle(scene Scene, log *workflow.Log, contents Contents) error {
	key := waits(log, contents, "shown")
	if _, known := runner.shown[key]; !known && shows(scene, contents) {
		runner.shown[key] = scene.Standing.Serial
	}
	serial, isTaken := runner.shown[key]
	if isTaken {
		all := scene.knows()
		for _, daemon := range scene.Daemons {
			all = all && daemon.Report.Standing[scene.Region] >= serial
		}
		permit := scene.Tree.Span("permit_ms", "")
		isTaken = all || runner.spent(key) > permit+permit/4 // older permits have ended
	}
	if !isTaken {
		return runner.wait(soon(scene))
	}
	ends, elapsed := runner.spent(waits(log, contents, "drain")), runner.elapsed(log, contents)
	patience := contents.part(drainShare)
	if elapsed > contents.Over {
		patience = contents.part(overShare) // missed; no answer is broken off for it
	}
	isLate := elapsed > contents.part(doneShare) && ends > patience
	if !isLate && (!scene.knows() || running(scene, contents)) {
		return runner.wait(soon(scene))
	}
	return nil
}

// shows tells whether the region's standing has moved.
func shows(scene Scene, contents Contents) bool {
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

// running tells whether anything runs on the region's replicas of other versions.
func running(scene Scene, contents Contents) bool {
	for _, daemon := range scene.Daemons {
		for held, count := range daemon.Report.Streams {
			if held.Model == contents.Model && held.Version != contents.Version && count > 0 && inRegion(scene, held.Replica) {
				return true
			}
		}
	}
	return false
}

// takeBack ends the order in all regions by one write; an upsert.
func (runner *Runner) takeBack(scene Scene, id string, contents Contents, reason string, plainly bool) error {
	have, err := runner.Objects.Model(contents.Model)
	if err != nil {
		return err
	}
	over := func(order *Order) bool { return order.ID != id || order.Back != "" }
	if over(orEmpty(have.Order)) {
		return nil
	}
	runner.point("back")
	serials := map[string]uint64{}
	for _, region := range have.Order.Regions {
		if serials[region], err = runner.Objects.NextSerial(region); err != nil {
			return err
		}
	}
	_, err = runner.Objects.Change(contents.Model, scene.Region, scene.Duty, func(model *Model) error {
		if over(orEmpty(model.Order)) {
			return workflow.ErrWait // taken back, or over, meanwhile; looked at anew
		}
		model.Order.Back, model.Order.Ended = reason, runner.World.Wall()
		if plainly {
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
		model.Live = live(model)
		return nil
	})
	return err
}
