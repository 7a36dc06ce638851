package decide_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/lease"
	"swifttiller/routing"
	"swifttiller/settings"
	"swifttiller/verdict"
)

// anyVersionView has a placement of any version, with r1 to r3 at v1 and r4 and r5 as newer sets them.
func anyVersionView(newer func(row *routing.Row), older func(row *routing.Row)) *lease.View {
	out := view([]string{"x"}, 64, false)
	tree, problems := settings.Parse([]byte(strings.NewReplacer(`"version":"v1"`, `"version":"any"`, `"queue_ms":400`, `"queue_ms":400,"stall_ms":2000`).Replace(document)))
	if len(problems) > 0 {
		panic(problems)
	}
	out.Tree = tree
	table := out.RoutingTables["a"]
	if older != nil {
		for index := range table.Rows {
			older(&table.Rows[index])
		}
	}
	for _, id := range []string{"r4", "r5"} {
		table.Places = append(table.Places, routing.Endpoint{ID: id, Address: id, Zone: "a-1", Region: "a", Capacity: 64, Whole: 64, Warm: 1, Credits: map[string]int{"x": 64}})
		row := routing.Row{Replica: id, Model: "m", Version: "v2"}
		newer(&row)
		table.Rows = append(table.Rows, row)
	}
	out.RoutingTables["a"] = table
	return out
}

func onTrial(row *routing.Row) { row.Trial = true }

// serveOne runs one request of the kind, with the time to first token that first gives for its
// version, and returns its selection; a negative time makes the request fail.
func serveOne(t *testing.T, cluster *testCluster, kind string, first func(version string) time.Duration) *decide.Selection {
	t.Helper()
	var selection *decide.Selection
	cluster.Node("x").Go(func() {
		request := call("q")
		request.Kind = kind
		var rejection *verdict.Error
		if selection, rejection = cluster.deciders["x"].Select(request, nil); rejection != nil {
			t.Errorf("request rejected: %v", rejection)
			return
		}
		if took := first(selection.Version); took < 0 {
			cluster.deciders["x"].Release(selection, &verdict.Error{Verdict: verdict.MayHaveRun, Code: "replica_failed"}, 0)
		} else {
			cluster.deciders["x"].Release(selection, nil, took)
		}
	})
	cluster.Run(10 * time.Millisecond)
	return selection
}

func constantTime(span time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return span }
}

// TestOpenTrialKeepsItsShare: from the trial's start on, never more than the small share of all
// requests goes to it, so that a bad version harms few. A rare kind gets an early trial request,
// and all trial requests go to few replicas.
func TestOpenTrialKeepsItsShare(t *testing.T) {
	cluster := newTestCluster("x")
	cluster.now = anyVersionView(onTrial, nil)
	trials, rareTrials, rareTotal := 0, 0, 0
	byReplica := map[string]int{}
	for total := 1; total <= 2000; total++ {
		kind := "often"
		if total%20 == 0 {
			kind = "seldom"
			rareTotal++
		}
		selection := serveOne(t, cluster, kind, constantTime(100*time.Millisecond))
		if selection.Trial != (selection.Version == "v2") {
			t.Fatalf("selection of version %s has Trial set to %v", selection.Version, selection.Trial)
		}
		if selection.Trial {
			trials++
			byReplica[selection.Replica]++
			if kind == "seldom" {
				rareTrials++
			}
		}
		if float64(trials) > 0.08*float64(total)+0.001 {
			t.Fatalf("bad version: %d of the first %d requests went to the trial, above its share", trials, total)
		}
		if total == 60 && rareTrials == 0 {
			t.Error("none of the first 60 requests of the rare kind went to the trial")
		}
	}
	if trials < 140 || len(byReplica) != 1 || float64(rareTrials) > 0.31*float64(rareTotal)+1 || rareTrials < 20 {
		t.Errorf("the trial got %d requests, and %d of the %d of the rare kind, at replicas %v", trials, rareTrials, rareTotal, byReplica)
	}
}

// TestFailingTrialIsClosed: a daemon closes a trial that fails by its own counts, and
// goes back from a failed version that it watches. The test calls opensTrial and barred as the
// selection of routed requests does.
func TestFailingTrialIsClosed(t *testing.T) {
	cluster := newTestCluster("x")
	cluster.now = anyVersionView(onTrial, nil)
	decider := cluster.deciders["x"]
	if !decider.Barred(cluster.now, "a", "m", "v2") || decider.Barred(cluster.now, "a", "m", "v1") || decider.Barred(cluster.now, "b", "m", "v1") {
		t.Error("the version on trial is not barred, or another one is")
	}
	isOpened, failed := 0, 0
	for range 600 {
		version, open := decider.OpensTrial(cluster.now, call("q"), "a")
		if version != "v2" {
			t.Fatalf("%q is on trial, want v2", version)
		}
		if _, elsewhere := decider.OpensTrial(cluster.now, call("q"), "b"); elsewhere {
			t.Fatal("a trial is open in a region that has none")
		}
		if open {
			isOpened++
		}
		serveOne(t, cluster, "k", func(version string) time.Duration {
			if version == "v2" {
				failed++
				return -1
			}
			return 100 * time.Millisecond
		})
	}
	if isOpened == 0 || failed < 3 || failed > 6 {
		t.Errorf("the trial was opened %d times and failed %d requests, want at least 1 opening and 3 to 6 failures", isOpened, failed)
	}
	cluster.now = anyVersionView(func(*routing.Row) {}, func(row *routing.Row) { row.Back = true })
	if !decider.Barred(cluster.now, "a", "m", "v2") || decider.Barred(cluster.now, "a", "m", "v1") {
		t.Error("the failed version that is watched is not barred, or the previous one is")
	}
	if selection := serveOne(t, cluster, "k", constantTime(time.Millisecond)); selection.Version != "v1" {
		t.Errorf("version %s was selected, want v1", selection.Version)
	}
}

// TestSeveralTimesSlowerIsNoticed: with first tokens after 100 ms and a stall_ms of 2000, a
// version that takes three times as long is found slower within 50 answers. One that takes as
// long, or longer only by its allowance, is not.
func TestSeveralTimesSlowerIsNoticed(t *testing.T) {
	for _, test := range []struct {
		took, allowance time.Duration
		part            int // one in this many of its answers takes that long
		want            bool
	}{{300 * time.Millisecond, 0, 1, true}, {300 * time.Millisecond, 0, 3, true}, {500 * time.Millisecond, 0, 1, true}, {100 * time.Millisecond, 0, 1, false}, {180 * time.Millisecond, 0, 1, false}, {400 * time.Millisecond, 300 * time.Millisecond, 1, false}} {
		cluster := newTestCluster("x")
		cluster.now = anyVersionView(onTrial, nil)
		decider := cluster.deciders["x"]
		answers, isNoticed := 0, false
		for turn := 0; turn < 2000 && answers < 50 && !isNoticed; turn++ {
			took := 80*time.Millisecond + time.Duration(turn%5)*10*time.Millisecond
			cluster.Node("x").Go(func() {
				selection, rejection := decider.Select(call("q"), nil)
				if rejection != nil {
					t.Errorf("request rejected: %v", rejection)
					return
				}
				if selection.Version == "v2" {
					if answers++; answers%test.part == 0 {
						took = test.took
					}
					selection.Allowance = test.allowance
				}
				decider.Release(selection, nil, took)
			})
			cluster.Run(5 * time.Millisecond)
			var trial, other routing.Outcome
			for _, outcome := range decider.Report().Total {
				if outcome.Version == "v2" {
					trial.Add(outcome)
				} else {
					other.Add(outcome)
				}
			}
			isNoticed = routing.IsSlower(trial, other) || routing.VersionFailsClearly(trial, other)
		}
		if isNoticed != test.want {
			t.Errorf("%+v: found slower: %v, after %d answers", test, isNoticed, answers)
		} else {
			t.Log(fmt.Sprintf("%+v: found slower: %v, after %d answers", test, isNoticed, answers))
		}
	}
}
