package fleet_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/rollout"
	"swifttiller/sim"
	"swifttiller/verdict"
)

// term is what the roll-outs here are given.
const term = 12 * time.Second

// openPlan is a deployment whose placement holds any version: the platform lists what
// its replicas serve, and their probes do not say.
func openPlan(name string) fleet.Plan {
	plan := fleet.Plans[name]()
	plan.Document = strings.NewReplacer(`"version":"v1"`, `"version":"any"`, `"warm_ms":6000`, `"warm_ms":0,"cold_share":1`).Replace(plan.Document)
	for index := range plan.Replicas {
		one := &plan.Replicas[index]
		one.Mute, one.ColdAnswers = true, 0
	}
	for index := range plan.Callers {
		plan.Callers[index].Rosters = 1 << 20 // no prompt is known anywhere
	}
	return plan
}

// joins starts a replica of v2 next to every one of the plan's.
func joins(park *fleet.Park, revise func(*fleet.ReplicaOptions)) (names []string) {
	for _, one := range park.Plan.Replicas {
		one.ID, one.Held = one.ID+"-next", []string{park.Model + "/v2"}
		if revise != nil {
			revise(&one)
		}
		if one.ID == "" {
			continue
		}
		park.StartReplica(one)
		park.List(one)
		names = append(names, one.ID)
	}
	return names
}

// order asks a running control daemon for v2 within the term.
func order(park *fleet.Park, version string) (err error) {
	for _, name := range []string{"c1", "c2", "c3", "c4"} {
		if park.Node(name).Up() && !park.Node(name).Frozen() {
			if err = park.Do(name, 4*time.Second, func(daemon *controlplane.Daemon) error {
				return daemon.BeginRollout(park.Model, version, term)
			}); err == nil {
				return nil
			}
		}
	}
	return err
}

// stands is how the order stands; empty while nobody tells.
func stands(park *fleet.Park) (out controlplane.RolloutState) {
	for _, name := range []string{"c1", "c2", "c3", "c4"} {
		if park.Node(name).Up() && !park.Node(name).Frozen() {
			if park.Do(name, 500*time.Millisecond, func(daemon *controlplane.Daemon) (err error) {
				out, err = daemon.RolloutState(park.Model)
				return err
			}) == nil {
				return out
			}
		}
	}
	return controlplane.RolloutState{}
}

// obey does as the platform does while an order is under way: on done the old replicas
// stop at once, on back the new ones drain some seconds later. It gives the end and how
// long that took, 0 if it never came.
func obey(t *testing.T, park *fleet.Park, began, span time.Duration, fresh []string) (string, time.Duration) {
	t.Helper()
	for park.Now() < began+span {
		switch state := stands(park); state.State {
		case rollout.Moved:
			took := park.Now() - began
			cut := 0
			for _, one := range park.Plan.Replicas {
				cut += park.Replicas[one.ID].Running()
				park.Crash(one.ID)
				park.Platform.Remove(one.ID)
			}
			if cut > 0 {
				t.Errorf("%d answers ran on the old replicas when they were stopped", cut)
			}
			return state.State, took
		case rollout.RolledBack:
			took := park.Now() - began
			t.Logf("taken back after %v: %s", took, state.Reason)
			park.Run(2 * time.Second)
			for _, name := range fresh {
				park.Platform.Leave(name)
			}
			return state.State, took
		}
		park.Run(100 * time.Millisecond)
	}
	return "", 0
}

// exposed checks what v2 got: at every moment until it was moved to no more than its
// small share of all since the order, and, of one that is bad, no more than a tenth of
// all and 50 within the term, and nothing later than 5 s after its 50th bad answer.
func exposed(t *testing.T, park *fleet.Park, began, moved time.Duration, isBad bool) (mine, whole int) {
	t.Helper()
	var bad []time.Duration
	for _, one := range park.Logs() {
		if one.Version == "v2" && one.Failed {
			bad = append(bad, one.FailedAt)
		}
	}
	slices.Sort(bad)
	told := false
	allWithin, mineWithin := 0, 0
	for _, one := range park.Logs() {
		if one.At < began {
			continue
		}
		whole++
		if one.At < began+term {
			allWithin++
			if one.Version == "v2" {
				mineWithin++
			}
		}
		if one.Version != "v2" {
			continue
		}
		mine++
		if !told && one.At < moved && float64(mine) > 0.08*float64(whole)+10 {
			told = true
			t.Errorf("bad version: at %v v2 had got %d of %d requests", one.At-began, mine, whole)
		}
		if isBad && len(bad) >= 50 && one.At > bad[49]+5*time.Second {
			t.Fatalf("bad version: v2 got a request %v after its 50th bad answer", one.At-bad[49])
		}
	}
	if isBad && float64(mineWithin) > 0.1*float64(allWithin)+50 {
		t.Errorf("bad version: v2 got %d of %d within the term", mineWithin, allWithin)
	}
	return mine, whole
}

// openCase is a version under a term.
type openCase struct {
	name string
	bad  func(since time.Duration, kind string, running int) bool
	how  fleet.Way
	// slower is by how many times its answers come more slowly.
	slower float64
	// late is when its replicas start; without says where there are none.
	late time.Duration
	// after says that it is bad only once a route has moved to it.
	after   bool
	without func(zone string) bool
	want    string
}

var openCases = []openCase{
	{name: "good", want: rollout.Moved},
	{name: "good, with replicas that come up late", late: 3 * time.Second, want: rollout.Moved},
	{name: "good, with none in one region", without: func(zone string) bool { return zone == "west-1" || zone == "sea-1" }, want: rollout.Moved},
	{name: "with no replicas at all", without: func(string) bool { return true }, want: rollout.RolledBack},
	{name: "bad at once", bad: func(time.Duration, string, int) bool { return true }, want: rollout.RolledBack},
	{name: "bad on one kind", bad: func(_ time.Duration, kind string, _ int) bool { return thin(kind) }, want: rollout.RolledBack},
	{name: "bad after 5 s", bad: func(since time.Duration, _ string, _ int) bool { return since > 5*time.Second }, want: rollout.RolledBack},
	{name: "bad after 8 s", bad: func(since time.Duration, _ string, _ int) bool { return since > 8*time.Second }, want: rollout.RolledBack},
	{name: "bad under load", bad: func(_ time.Duration, _ string, running int) bool { return running >= 2 }, want: rollout.RolledBack},
	{name: "hangs", how: fleet.Hangs, bad: func(time.Duration, string, int) bool { return true }, want: rollout.RolledBack},
	{name: "cuts its streams", how: fleet.Cut, bad: func(time.Duration, string, int) bool { return true }, want: rollout.RolledBack},
	{name: "four times slower", slower: 4, want: rollout.RolledBack},
	{name: "bad after the move only", after: true, bad: func(time.Duration, string, int) bool { return true }, want: rollout.RolledBack},
	{name: "three times slower", slower: 3, want: rollout.RolledBack},
}

// TestRolloutsUnderATerm: replicas of the version start next to the old ones; a good
// one is done within the term, a bad one taken back, and its share is bounded.
func TestRolloutsUnderATerm(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation; the race detector has one task at a time to look at")
	}
	for name := range fleet.Plans {
		for seed := *first; seed < *first+uint64(*seeds); seed++ {
			for _, one := range openCases {
				t.Run(fmt.Sprintf("%s/%s/%d", name, one.name, seed), func(t *testing.T) {
					t.Parallel()
					tryOpen(t, name, one, seed)
				})
			}
			t.Run(fmt.Sprintf("%s/bad in a fifth of its answers/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				count := 0
				tryOpen(t, name, openCase{bad: func(time.Duration, string, int) bool { count++; return count%5 == 0 }, want: rollout.RolledBack}, seed)
			})
		}
	}
}

func tryOpen(t *testing.T, name string, one openCase, seed uint64) {
	park := fleet.NewPark(seed, openPlan(name))
	defer park.Close()
	park.Run(warm)
	began := park.Now()
	if err := order(park, "v2"); err != nil {
		t.Fatal(err)
	}
	if one.late > 0 {
		park.Run(one.late)
	}
	isMoved := !one.after
	if one.after {
		park.SetHook("settle", func(*sim.Node, int) { isMoved = true })
	}
	fresh := joins(park, func(options *fleet.ReplicaOptions) {
		if one.without != nil && one.without(options.Zone) {
			options.ID = ""
		}
		options.How, options.Slower = one.how, one.slower
		if one.bad != nil {
			options.Bad = func(_, kind string, running int) bool { return isMoved && one.bad(park.Now()-began, kind, running) }
		}
	})
	park.Run(500 * time.Millisecond)
	if err := order(park, "v2"); err != nil {
		t.Errorf("the same order again: %v", err)
	}
	var mishap *verdict.Error
	if err := order(park, "v3"); stands(park).State == rollout.Moving && (!errors.As(err, &mishap) || mishap.Status != 409) {
		t.Errorf("another order meanwhile: %v", err)
	}
	state, took := obey(t, park, began, term, fresh)
	moved := began + took
	if state != one.want {
		t.Errorf("the end is %q, not %q", state, one.want)
	}
	if one.want == rollout.Moved {
		for _, route := range status(park).Routes {
			moved = min(moved, began+route.Moved.Sub(park.Node("c1").WallTime())+park.Now()-began)
		}
	}
	park.Run(8 * time.Second)
	if err := order(park, "v2"); err != nil || stands(park).State != state {
		t.Errorf("the same order after its end: %v, %v", err, stands(park))
	}
	from := park.Now()
	park.Run(5 * time.Second)
	answered, asked := fleet.Rate(park, from, park.Now())
	if answered*10 < asked*9 {
		t.Errorf("%d of %d were answered at the end", answered, asked)
	}
	for _, served := range park.Logs() {
		if served.At > from && (served.Version == "v2") != (state == rollout.Moved) {
			t.Fatalf("%s served %s at %v, after the end", served.Replica, served.Version, served.At-began)
		}
	}
	mine, whole := exposed(t, park, began, moved, one.want == rollout.RolledBack)
	t.Logf("%s after %v; v2 got %d of %d", state, took, mine, whole)
	if one.want == rollout.RolledBack && one.without == nil && mine == 0 {
		t.Error("vacuous: v2 was never tried")
	}
}

// TestOpenPlacementServesVersionsAsEquals: replicas replaced one by one with another
// version get their part without any order.
func TestOpenPlacementServesVersionsAsEquals(t *testing.T) {
	t.Parallel()
	park := fleet.NewPark(2, openPlan("sahayogi"))
	defer park.Close()
	park.Run(8 * time.Second)
	joins(park, func(options *fleet.ReplicaOptions) {
		if options.Zone != "east-1" {
			options.ID = ""
		}
	})
	for _, one := range park.Plan.Replicas {
		if one.Zone == "east-1" {
			park.Platform.Leave(one.ID)
		}
	}
	park.Run(4 * time.Second)
	from := park.Now()
	park.Run(5 * time.Second)
	mine := 0
	for _, one := range park.Logs() {
		if one.At > from && one.Version == "v2" {
			mine++
		}
	}
	if answered, asked := fleet.Rate(park, from, park.Now()); answered*10 < asked*9 || mine*4 < asked {
		t.Errorf("%d of %d were answered, %d by the new version", answered, asked, mine)
	}
	for name, one := range park.Replicas {
		if len(one.Loads) > 0 {
			t.Errorf("%s got orders: %v", name, one.Loads)
		}
	}
}

// TestRolloutUnderATermOutlives: whoever is lost at whichever step, the order lasts and
// ends as it should, and the share stays bounded.
func TestRolloutUnderATermOutlives(t *testing.T) {
	t.Parallel()
	steps := []string{"validate", "ready", "trial-judge", "pass", "agree", "serial", "route", "settle", "live"}
	if testing.Short() {
		steps = steps[6:7]
	}
	losses := map[string]func(park *fleet.Park, node *sim.Node){
		"its runner is killed": func(park *fleet.Park, node *sim.Node) {
			park.At(0, func() { park.Crash(node.Name) })
			park.At(6*time.Second, func() { park.StartControl(node.Name) })
			node.Crash()
		},
		"its runner sleeps": func(park *fleet.Park, node *sim.Node) { park.Freeze(node.Name, 7*time.Second) },
		"the core is killed": func(park *fleet.Park, node *sim.Node) {
			park.At(0, func() {
				for _, name := range []string{"c1", "c2", "c3", "c4"} {
					park.Crash(name)
				}
			})
			park.At(3*time.Second, func() {
				for _, name := range []string{"c1", "c2", "c3", "c4"} {
					park.StartControl(name)
				}
			})
			node.Crash()
		},
	}
	for what, lose := range losses {
		for _, step := range steps {
			for _, isBad := range []bool{false, true} {
				if isBad && !slices.Contains([]string{"validate", "ready", "trial-judge"}, step) {
					continue // it is taken back before
				}
				t.Run(fmt.Sprintf("%s at %s, bad %v", what, step, isBad), func(t *testing.T) {
					t.Parallel()
					outlive(t, step, isBad, lose)
				})
			}
		}
	}
	t.Run("the core is cut in two", func(t *testing.T) {
		for _, isBad := range []bool{false, true} {
			outlive(t, "ready", isBad, func(park *fleet.Park, node *sim.Node) {
				others := slices.DeleteFunc([]string{"c1", "c2", "c3"}, func(name string) bool { return name == node.Name })
				park.Split([]string{node.Name}, others, true)
				park.At(5*time.Second, func() { park.Split([]string{node.Name}, others, false) })
			})
		}
	})
	t.Run("taken back, and its runner is killed at that", func(t *testing.T) {
		t.Parallel()
		outlive(t, "back", true, losses["its runner is killed"])
	})
}

func outlive(t *testing.T, step string, isBad bool, lose func(*fleet.Park, *sim.Node)) {
	park := fleet.NewPark(3, openPlan("sahayogi"))
	defer park.Close()
	park.Run(10 * time.Second)
	isLost := false
	began := park.Now()
	if err := order(park, "v2"); err != nil {
		t.Fatal(err)
	}
	park.SetHook(step, func(node *sim.Node, _ int) {
		if !isLost {
			isLost = true
			lose(park, node)
		}
	})
	fresh := joins(park, func(options *fleet.ReplicaOptions) {
		if isBad {
			options.Bad = func(string, string, int) bool { return true }
		}
	})
	want := rollout.Moved
	if isBad {
		want = rollout.RolledBack
	}
	state, took := obey(t, park, began, 3*term, fresh)
	if state != want || !isLost {
		t.Fatalf("the end is %q after %v; lost %v", state, took, isLost)
	}
	moved := began + took
	for _, route := range status(park).Routes {
		if state == rollout.Moved {
			moved = min(moved, park.Now()+route.Moved.Sub(park.Node("c1").WallTime()))
		}
	}
	park.Run(12 * time.Second)
	if got := stands(park).State; got != state {
		t.Errorf("it was %s and is %s", state, got)
	}
	mine, whole := exposed(t, park, began, moved, isBad)
	t.Logf("%s after %v; v2 got %d of %d", state, took, mine, whole)
	for region, shelf := range status(park).Shelves {
		names := map[string]bool{}
		for _, one := range shelf.Run.Steps {
			if names[one.Name] {
				t.Errorf("%s: step %s is recorded twice", region, one.Name)
			}
			names[one.Name] = true
		}
	}
}
