package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/loop"
	"swifttiller/rollout"
	"swifttiller/routing"
	"swifttiller/sim"
	"swifttiller/workflow"
)

// quickPlan returns the sahayogi plan with short trials and watches, for tests of the rollout's steps.
func quickPlan() fleet.Plan {
	plan := fleet.Sahayogi()
	plan.Document = strings.Replace(plan.Document, `"trial_ms":6000,"trial_most_ms":20000,"watch_ms":8000`, `"trial_ms":1500,"trial_most_ms":3000,"watch_ms":1500`, 1)
	return plan
}

// beginHandover starts a handover to v2 in the given regions, or in all if there are none.
func beginHandover(park *fleet.Cluster, id string, regions ...string) {
	park.Must("c1", func(daemon *controlplane.Daemon) error {
		_, err := daemon.Handover(id, park.Model, "v2", regions)
		return err
	})
}

// status reads the model's state from the first control daemon that is up and answers.
func status(park *fleet.Cluster) (out controlplane.ModelStatus) {
	for _, name := range []string{"c1", "c2", "c3"} {
		if !park.Node(name).Up() {
			continue
		}
		if err := park.Do(name, 10*time.Second, func(daemon *controlplane.Daemon) error {
			models, err := daemon.Handovers()
			out = models[park.Model]
			return err
		}); err == nil {
			return out
		}
	}
	panic("no control daemon returned the model status")
}

// waitForRun waits up to span for the region's run to end and returns the run as last read.
func waitForRun(park *fleet.Cluster, region string, span time.Duration) workflow.Run {
	var run workflow.Run
	park.Until(span, func() bool {
		if rollouts := status(park).Shelves[region]; rollouts.Run != nil {
			run = *rollouts.Run
		}
		return run.State != workflow.Running && run.State != ""
	})
	return run
}

// withFailures makes every simulated replica of the plan fail the requests for which bad returns true.
func withFailures(plan fleet.Plan, bad func(version, kind string, running int) bool) fleet.Plan {
	for index := range plan.Replicas {
		plan.Replicas[index].Bad = bad
	}
	return plan
}

func TestRolloutMovesAndIsTakenBack(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation with one task at a time, of little use under the race detector")
	}
	Convey("a good version goes region by region, under load, and one step takes it back; nothing is lost", t, func() {
		park := fleet.NewCluster(1, quickPlan())
		defer park.Close()
		park.Run(warmupTime)
		beginHandover(park, "h1")
		for _, region := range []string{"east", "middle", "west"} {
			So(waitForRun(park, region, 60*time.Second).State, ShouldEqual, workflow.Done)
		}
		model := status(park)
		So(model.Live, ShouldEqual, "v2")
		Convey("the same id joins the finished run, with other contents it is declined", func() {
			park.Must("c2", func(daemon *controlplane.Daemon) error {
				runs, err := daemon.Handover("h1", "roster", "v2", nil)
				if err == nil && runs["east"].State != workflow.Done {
					return fmt.Errorf("got %+v", runs)
				}
				return err
			})
			err := park.Do("c2", 5*time.Second, func(daemon *controlplane.Daemon) error {
				_, err := daemon.Handover("h1", "roster", "v3", nil)
				return err
			})
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "other contents")
		})
		at := park.Now()
		park.Must("c3", func(daemon *controlplane.Daemon) error {
			_, err := daemon.Objects.Rollback("roster", nil, time.Minute)
			return err
		})
		took := park.Now() - at
		park.Run(8 * time.Second)
		last := time.Duration(0)
		for _, request := range park.Logs() {
			if request.Version == "v2" {
				last = request.At
			}
		}
		t.Logf("rollback took %v; the last request to v2 came %v after the rollback call", took, last-at)
		So(last-at, ShouldBeLessThan, 5*time.Second)
		model = status(park)
		So(model.RolledBack, ShouldBeTrue)
		So(model.Live, ShouldEqual, "v1")
		Convey("and no automatic roll-out starts until a promote", func() {
			park.Document = strings.Replace(park.Document, `"version":"v1"`, `"version":"v3"`, 1)
			So(park.Apply(&fleet.Facts{}, "c1"), ShouldBeNil)
			park.Run(5 * time.Second)
			So(status(park).Shelves["east"].Run.ID, ShouldEqual, "h1")
			park.Must("c1", func(daemon *controlplane.Daemon) error {
				_, err := daemon.Objects.Promote("roster", true, time.Minute)
				return err
			})
			park.Run(2 * time.Second)
			So(status(park).Shelves["east"].Run.ID, ShouldStartWith, "auto-v3")
		})
		park.Quiet = true
		park.Run(8 * time.Second)
		checkRules(t, park, factsSinceWarm(park, true))
	})
}

// badCase describes how a version fails.
type badCase struct {
	name string
	how  fleet.FailureMode
	bad  func(version, kind string, running int) bool
	// With after, the version fails only once a route has moved to it. With alone, it fails
	// in the last region only. With unseen, the rare kinds of requests reach no region before
	// the first region's watch is over.
	after, alone, unseen bool
	// plainly, if set, injects a further fault after the third failure, or after fewFailures.
	plainly func(park *fleet.Cluster)
}

// isRare reports whether requests of this kind are rare.
func isRare(kind string) bool { return kind == "notice" || kind == "chat" }

var badCases = []badCase{
	{name: "errors on every request"},
	{name: "errors on the thin kind", bad: func(_, kind string, _ int) bool { return isRare(kind) }},
	{name: "errors on the thin kind, which comes after the watch", unseen: true, bad: func(_, kind string, _ int) bool { return isRare(kind) }},
	{name: "errors under load", bad: func(_, _ string, running int) bool { return running >= 2 }},
	{name: "hangs", how: fleet.Hangs},
	{name: "cuts its streams", how: fleet.Cut},
	{name: "is very slow", how: fleet.Slow},
	{name: "answers nothing", how: fleet.Empty},
	{name: "answers garbage", how: fleet.Garbled},
	{name: "crashes its replica", how: fleet.Crashes},
	{name: "errors after the move only", after: true},
	{name: "hangs after the move only", after: true, how: fleet.Hangs},
	{name: "errors in one region only", alone: true},
	{name: "errors, and the runner is killed", plainly: killRunner},
	{name: "errors after the move, and the runner is killed", after: true, plainly: killRunner},
	{name: "errors after the move, and a data daemon freezes", after: true, plainly: func(park *fleet.Cluster) { park.Freeze("d1", 4*time.Second) }},
	{name: "errors after the move, and the core has no majority", after: true, plainly: func(park *fleet.Cluster) {
		ends := park.CrashAll([]string{"c2", "c3"})
		park.Run(9 * time.Second)
		park.RestartAll(ends)
	}},
	// Leases stay valid meanwhile, as reads wait for no disk, but no daemon can write a route.
	{name: "errors after the move, and no core disk writes", after: true, plainly: func(park *fleet.Cluster) {
		slow := func(span time.Duration) {
			for _, name := range []string{"c1", "c2", "c3"} {
				park.Node(name).Disk.SyncDelay = span
			}
		}
		slow(5 * time.Second)
		park.Run(9 * time.Second)
		slow(0)
	}},
}

// fewFailures is how long after a bad version's first failure the further fault is injected if
// there were fewer than three failures.
const fewFailures = 2 * time.Second

// killRunner crashes the leader of the first region and restarts it 9 s later.
func killRunner(park *fleet.Cluster) {
	if leader := park.RegionLeader(park.Regions()[0]); leader != "" {
		park.Crash(leader)
		park.Run(9 * time.Second)
		park.StartControl(leader)
	}
}

// TestBadVersions checks, for each way in which a version fails, that it gets no requests from
// five seconds after the failure is evident, that it gets at most its small share of each kind
// of requests of a region before the region's route moves, and that the route returns to the
// old version.
func TestBadVersions(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation with one task at a time, of little use under the race detector")
	}
	for name := range fleet.Plans {
		for _, failure := range badCases {
			for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
				t.Run(fmt.Sprintf("%s/%s/%d", name, failure.name, seed), func(t *testing.T) {
					t.Parallel()
					tryBad(t, name, failure, seed)
				})
			}
		}
	}
}

func tryBad(t *testing.T, name string, failure badCase, seed uint64) {
	plan := fleet.Plans[name]()
	plan.Document = strings.Replace(plan.Document, `"trial_ms":6000,"trial_most_ms":20000,"watch_ms":8000`, `"trial_ms":4000,"trial_most_ms":12000,"watch_ms":8000`, 1)
	var park *fleet.Cluster
	isMoved := false
	plan = withFailures(plan, func(version, kind string, running int) bool {
		return version == "v2" && (isMoved || !failure.after) && (failure.bad == nil || failure.bad(version, kind, running))
	})
	for index := range plan.Replicas {
		replica := &plan.Replicas[index]
		replica.Failure = failure.how
		replica.Down = func(id string) {
			park.At(0, func() { park.Crash(id) })
			park.At(3*time.Second, func() { park.RestartAll([]string{id}) })
		}
		if failure.alone && fleet.Region(replica.Zone) != fleet.Region(plan.Replicas[len(plan.Replicas)-1].Zone) {
			replica.Bad = nil
		}
	}
	for index := range plan.Callers {
		if isRare(plan.Callers[index].Kind) {
			plan.Callers[index].Every = 200 * time.Millisecond
			if failure.unseen {
				plan.Callers[index].From = 45 * time.Second
			}
		}
	}
	park = fleet.NewCluster(seed, plan)
	defer park.Close()
	park.Run(warmupTime)
	facts := factsSinceWarm(park, false)
	facts.Bad, facts.BadFrom, facts.SmallShare, facts.Moved = "v2", park.Now(), 0.08, map[string]time.Duration{}
	beginHandover(park, "h1")
	done, failed := false, 0
	var firstFailed time.Duration
	observe := func() {
		for region, route := range status(park).Routes {
			if route.Version == "v2" && facts.Moved[region] == 0 {
				facts.Moved[region], isMoved = park.Now(), true
			}
		}
		failed = 0
		for _, served := range park.Logs() {
			if served.Failed && served.FailedAt <= park.Now() {
				failed++
			}
		}
		if failed > 0 && firstFailed == 0 {
			firstFailed = park.Now()
		}
		// A small trial may end at its first failures, before a third: the fault is injected
		// fewFailures after the first one then.
		if !done && (failed >= 3 || failed > 0 && park.Now()-firstFailed >= fewFailures) {
			done = true
			if failure.plainly != nil {
				failure.plainly(park)
			}
		}
	}
	for until := park.Now() + 70*time.Second; park.Now() < until; park.Run(200 * time.Millisecond) {
		observe()
	}
	park.Quiet = true
	park.Run(14 * time.Second)
	newCount := 0
	for _, served := range park.Logs() {
		if served.Version == "v2" {
			newCount++
		}
	}
	var ends []string
	for _, region := range park.Regions() {
		run := waitForRun(park, region, 60*time.Second)
		ends = append(ends, fmt.Sprint(region, " ", run.State, " ", run.Reason))
		if at := status(park).Routes[region].Version; at != "v1" && (!failure.alone || region == park.Regions()[2]) {
			t.Errorf("%s serves %s", region, at)
		}
	}
	t.Logf("v2 got %d of %d requests, routes moved at %v; %s", newCount, len(park.Logs()), facts.Moved, strings.Join(ends, "; "))
	if failed == 0 || !done && failure.plainly != nil {
		t.Errorf("vacuous: %d failures, and no further fault was injected", failed)
	}
	checkRules(t, park, facts)
}

// orders counts the completed loads of v2 by replica.
func orders(park *fleet.Cluster) map[string]int {
	out := map[string]int{}
	for name, replica := range park.Replicas {
		for _, order := range replica.Loads {
			if strings.Contains(order, "/v2/") && strings.HasSuffix(order, "/ready") {
				out[name]++
			}
		}
	}
	return out
}

// TestRunnerCrashesAtEveryStep crashes the control daemon that runs a rollout at each of its
// steps. The run must be resumed and finished, with each step recorded once and no replica
// loaded again needlessly.
func TestRunnerCrashesAtEveryStep(t *testing.T) {
	t.Parallel()
	steps := []string{"validate", "trial-select", "trial-order", "send", "trial-ready", "trial-route", "trial-judge", "order", "ready", "serial", "route", "watch", "live", "standby"}
	if testing.Short() {
		steps = steps[4:6]
	}
	for _, step := range steps {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			park := fleet.NewCluster(3, quickPlan())
			defer park.Close()
			park.Run(6 * time.Second)
			crashed := ""
			park.SetHook(step, func(node *sim.Node, _ int) {
				if crashed == "" {
					crashed = node.Name
					park.At(0, func() { park.Crash(node.Name) })
					node.Crash()
				}
			})
			beginHandover(park, "h1", "east")
			if !park.Until(40*time.Second, func() bool { return crashed != "" }) {
				t.Fatal("the rollout never reached the step")
			}
			park.Run(5 * time.Second)
			park.StartControl(crashed)
			run := waitForRun(park, "east", 60*time.Second)
			if run.State != workflow.Done {
				t.Fatalf("the run ended %s (%s)", run.State, run.Reason)
			}
			names := map[string]bool{}
			for _, recorded := range run.Steps {
				if names[recorded.Name] {
					t.Errorf("step %s is recorded twice", recorded.Name)
				}
				names[recorded.Name] = true
			}
			// The trial replica gets one load order for the trial and one more when all
			// replicas do, which it acknowledges as done already. The others get one.
			for name, count := range orders(park) {
				if count > 2 || count > 1 && name != "east-1-r1" {
					t.Errorf("%s executed %d load orders: %v", name, count, park.Replicas[name].Loads)
				}
			}
			if at := status(park).Routes["east"].Version; at != "v2" {
				t.Errorf("east serves %s", at)
			}
		})
	}
}

// rollback returns the model's traffic to the old version, with up to five attempts where the
// daemon says to try again: another daemon that resumed the run may write the routes at the same
// time.
func rollback(daemon *controlplane.Daemon) (err error) {
	for range 5 {
		if _, err = daemon.Objects.Rollback("roster", nil, time.Minute); err == nil || !strings.Contains(err.Error(), "try again") {
			return err
		}
		loop.Sleep(daemon.World, 100*time.Millisecond)
	}
	return err
}

// TestPausedRunnerWritesNothing freezes the daemon that runs a rollout until another has resumed
// the run and rolled it back. After it resumes it must not write its outdated routes.
func TestPausedRunnerWritesNothing(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation with one task at a time, of little use under the race detector")
	}
	Convey("a runner that slept while another resumed its run changes nothing when it wakes", t, func() {
		for _, step := range []string{"trial-route", "order", "route", "watch"} {
			park := fleet.NewCluster(4, quickPlan())
			defer park.Close()
			park.Run(6 * time.Second)
			paused := ""
			park.SetHook(step, func(node *sim.Node, _ int) {
				if paused == "" {
					paused = node.Name
					park.Freeze(node.Name, 12*time.Second)
				}
			})
			beginHandover(park, "h1", "east")
			So(park.Until(30*time.Second, func() bool { return paused != "" }), ShouldBeTrue)
			park.Run(5 * time.Second)
			for _, other := range []string{"c1", "c2", "c3"} {
				if other != paused {
					park.Must(other, func(daemon *controlplane.Daemon) error {
						err := rollback(daemon)
						if err != nil && !strings.Contains(err.Error(), "no region") {
							return err
						}
						return nil
					})
					break
				}
			}
			before := status(park)
			park.Run(15 * time.Second) // the frozen runner resumes within this span
			after := status(park)
			if before.Routes["east"].Version == "v1" && before.RolledBack {
				So(after.Routes["east"].Version, ShouldEqual, "v1")
			}
			So(after.Routes["east"].Trial, ShouldEqual, "")
			park.Quiet = true
			park.Run(5 * time.Second)
			checkRules(t, park, factsSinceWarm(park, false))
		}
	})
}

// TestNonces checks that a scheduled change of state does nothing after a newer one replaced it,
// and that the newer one still works.
func TestNonces(t *testing.T) {
	t.Parallel()
	Convey("a newer schedule makes the older order a no-op", t, func() {
		park := fleet.NewCluster(5, quickPlan())
		defer park.Close()
		fired := map[string]bool{}
		park.Must("c1", func(daemon *controlplane.Daemon) error {
			objects := daemon.Objects
			if _, err := objects.Want("roster", "v9", "east", 0, rollout.RUNNING, nil); err != nil {
				return err
			}
			if err := objects.Schedule("roster", "v9", "east", 0, rollout.STANDBY, time.Second); err != nil {
				return err
			}
			version, err := objects.Version("roster", "v9")
			if err != nil {
				return err
			}
			stale := rollout.Delayed{Version: "v9", Region: "east", State: rollout.STANDBY, Nonce: version.Regions["east"].Nonce}
			if err := objects.Schedule("roster", "v9", "east", 0, rollout.ARCHIVED, time.Hour); err != nil {
				return err
			}
			if fired["stale"], err = objects.Fire("roster", stale, 0); err != nil {
				return err
			}
			if version, err = objects.Version("roster", "v9"); err != nil {
				return err
			}
			fresh := stale
			fresh.Nonce, fresh.State = version.Regions["east"].Nonce, rollout.ARCHIVED
			fired["state kept"] = version.Regions["east"].State == rollout.RUNNING
			fired["fresh"], err = objects.Fire("roster", fresh, 0)
			return err
		})
		So(fired, ShouldResemble, map[string]bool{"stale": false, "state kept": true, "fresh": true})
	})
}

// TestUnloadWaitsForStreams guards against streams that are cut because their version is unloaded
// while they run.
func TestUnloadWaitsForStreams(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation with one task at a time, of little use under the race detector")
	}
	Convey("a version given up is unloaded only when its streams have ended, or after unload_wait_ms", t, func() {
		for _, seed := range []uint64{3, 4, 6} {
			plan := quickPlan()
			plan.Document = strings.Replace(plan.Document, `"standby_ms":60000`, `"standby_ms":500,"unload_wait_ms":20000`, 1)
			for index := range plan.Callers {
				if plan.Callers[index].Kind == "notice" {
					plan.Callers[index].Tokens = 1500 // streams of six seconds
					plan.Callers[index].Every *= 4    // the same load as before
				}
			}
			park := fleet.NewCluster(seed, plan)
			park.Run(warmupTime)
			beginHandover(park, "h1", "east")
			So(waitForRun(park, "east", 60*time.Second).State, ShouldEqual, workflow.Done)
			unloaded := func() (count int) {
				for _, replica := range park.Replicas {
					for _, order := range replica.Loads {
						if strings.Contains(order, "/v1/east/") && strings.HasSuffix(order, "/standby") {
							count++
						}
					}
				}
				return count
			}
			So(park.Until(40*time.Second, func() bool { return unloaded() == 7 }), ShouldBeTrue)
			park.Quiet = true
			park.Run(20 * time.Second)
			checkRules(t, park, factsSinceWarm(park, true))
			park.Close()
		}
	})
}

// TestCalendarsThatJump checks that a trial and a watch last their full time while wall clocks
// jump by an hour: a version is not judged by wall-clock time.
func TestCalendarsThatJump(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation with one task at a time, of little use under the race detector")
	}
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		park := fleet.NewCluster(3, fleet.Sahayogi())
		park.Run(warmupTime)
		beginHandover(park, "h1", "east")
		jumps := func() {
			for _, name := range []string{"c1", "c2", "c3", "c4"} {
				park.Node(name).Skew += jump
			}
		}
		// lasts measures how long the route stays in a state, from when it is first observed.
		lasts := func(phase string, matches func(route routing.Route) bool) (span time.Duration) {
			route := func() routing.Route { return status(park).Routes["east"] }
			if !park.Until(30*time.Second, func() bool { return matches(route()) }) {
				t.Fatalf("vacuous: %s never began", phase)
			}
			began := park.Now()
			jumps()
			if !park.Until(60*time.Second, func() bool { return !matches(route()) }) {
				t.Errorf("%s never ended after a clock jump of %v", phase, jump)
			}
			return park.Now() - began
		}
		if span := lasts("a trial", func(route routing.Route) bool { return route.Trial == "v2" }); span < 5500*time.Millisecond {
			t.Errorf("bad version: a trial of 6 s ended after %v when wall clocks jumped by %v", span, jump)
		}
		if span := lasts("a watch", func(route routing.Route) bool { return route.Version == "v2" && route.Watched }); span < 7500*time.Millisecond {
			t.Errorf("bad version: a watch of 8 s ended after %v when wall clocks jumped by %v", span, jump)
		}
		park.Close()
	}
}
