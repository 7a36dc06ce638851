package routing_test

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"testing"

	"swifttiller/routing"
	"swifttiller/settings"
)

// anyVersionInput returns a region with three replicas at v1, two at v2 and one at v3, whose
// placement accepts any version.
func anyVersionInput(route routing.Route) routing.Input {
	tree, problems := settings.Parse([]byte(`{"whole":{"placements":{"m":{"version":"any","capacity":8}}},"regions":{"a":{"zones":{"a-1":{},"a-2":{}}},"b":{"zones":{"b-1":{}}}}}`))
	if len(problems) > 0 {
		panic(problems)
	}
	input := routing.Input{Region: "a", Tree: tree, Evacuated: map[string]bool{}, Routes: map[string]routing.Route{"m": route}}
	for index, version := range []string{"v1", "v1", "v1", "v2", "v2", "v3"} {
		zone := "a-1"
		if index == 2 || index == 4 {
			zone = "a-2"
		}
		input.Replicas = append(input.Replicas, routing.Replica{ID: fmt.Sprint("r", index), Zone: zone, Region: "a", Alive: true, Held: map[string]string{"m/" + version: routing.Ready, "mm/v9": routing.Ready}})
	}
	return input
}

// formatRows formats the rows of a routing table: ! marks a trial row, < a fallback row.
func formatRows(input routing.Input) string {
	var rows []string
	for _, row := range routing.Compute(input).Rows {
		mark := ""
		if row.Trial {
			mark = "!"
		}
		if row.Back {
			mark += "<"
		}
		rows = append(rows, row.Replica+mark+row.Version)
	}
	sort.Strings(rows)
	return strings.Join(rows, " ")
}

// TestRowsOfAnyVersion checks which rows each replica gets, before, during and after a rollout,
// when the placement accepts any version.
func TestRowsOfAnyVersion(t *testing.T) {
	fail := func(failures, slow int) func(*routing.Input) {
		return func(input *routing.Input) {
			input.Daemons = []routing.Daemon{{Name: "d", Region: "a", Zone: "a-1", Report: routing.Report{Recent: []routing.Outcome{
				{Replica: "r0", Model: "m", Version: "v1", Kind: "k", OK: 40}, {Replica: "r5", Model: "m", Version: "v3", Kind: "k", OK: 40},
				{Replica: "r3", Model: "m", Version: "v2", Kind: "k", OK: 10, Mishaps: failures, Slow: slow}}}}}
		}
	}
	without := func(versions ...string) func(*routing.Input) {
		return func(input *routing.Input) {
			input.Replicas = slices.DeleteFunc(input.Replicas, func(replica routing.Replica) bool {
				return slices.Contains(versions, replica.Versions("m")[0])
			})
		}
	}
	for _, test := range []struct {
		name   string
		route  routing.Route
		revise func(*routing.Input)
		want   string
	}{
		{"no rollout: all versions are equal", routing.Route{}, nil, "r0v1 r1v1 r2v1 r3v2 r4v2 r5v3"},
		{"after an earlier rollout: all versions are equal", routing.Route{Version: "v1"}, nil, "r0v1 r1v1 r2v1 r3v2 r4v2 r5v3"},
		{"a trial is active", routing.Route{Version: "v1", Trial: "v2"}, nil, "r0v1 r1v1 r2v1 r3!v2 r4!v2 r5v3"},
		{"a trial that fails", routing.Route{Trial: "v2"}, fail(4, 0), "r0v1 r1v1 r2v1 r5v3"},
		{"a trial that is slower", routing.Route{Trial: "v2"}, fail(0, 6), "r0v1 r1v1 r2v1 r5v3"},
		{"a trial that does well", routing.Route{Trial: "v2"}, fail(1, 1), "r0v1 r1v1 r2v1 r3!v2 r4!v2 r5v3"},
		{"a trial without other versions", routing.Route{Trial: "v2"}, without("v1", "v3"), "r3v2 r4v2"},
		{"moved, under watch", routing.Route{Version: "v2", Watched: true, Left: []string{"v1", "v3"}}, nil, "r0<v1 r1<v1 r2<v1 r3v2 r4v2 r5<v3"},
		{"done", routing.Route{Version: "v2", Left: []string{"v1", "v3"}}, nil, "r3v2 r4v2"},
		{"done, and another version appears", routing.Route{Version: "v2", Left: []string{"v1"}}, nil, "r3v2 r4v2 r5v3"},
		{"back", routing.Route{Banned: []string{"v2"}}, nil, "r0v1 r1v1 r2v1 r5v3"},
		{"rolled back, without other versions", routing.Route{Banned: []string{"v2"}}, without("v1", "v3"), ""},
		{"one replica leaves and one is unresponsive", routing.Route{Trial: "v2"}, func(input *routing.Input) {
			input.Replicas[0].Leaving, input.Replicas[3].Alive = true, false
		}, "r1v1 r2v1 r4!v2 r5v3"},
		{"a zone is evacuated", routing.Route{Trial: "v2"}, func(input *routing.Input) { input.Evacuated["a-2"] = true }, "r0v1 r1v1 r3!v2 r5v3"},
		{"one replica is loading and one is in a zone of another region", routing.Route{}, func(input *routing.Input) {
			input.Replicas[0].Held["m/v1"], input.Replicas[1].Zone = routing.Loading, "b-1"
		}, "r2v1 r3v2 r4v2 r5v3"},
	} {
		input := anyVersionInput(test.route)
		if test.revise != nil {
			test.revise(&input)
		}
		if rows := formatRows(input); rows != test.want {
			t.Errorf("%s: rows are %s, want %s", test.name, rows, test.want)
		}
	}
}

// TestWorse checks from which number of failures on a version is rejected before all traffic
// moves to it, given the failures of the other versions.
func TestWorse(t *testing.T) {
	for _, test := range []struct {
		ok, failures    int
		others, failing int
		want            bool
	}{
		{20, 0, 1000, 0, false}, {98, 2, 1000, 0, false}, {95, 5, 1000, 0, true}, {17, 3, 1000, 0, true},
		{95, 5, 950, 50, false}, {80, 20, 950, 50, true}, {992, 8, 1000, 0, false}, {960, 40, 1000, 0, true},
	} {
		if isWorse := routing.FailsMore(routing.Outcome{OK: test.ok, Mishaps: test.failures}, routing.Outcome{OK: test.others, Mishaps: test.failing}); isWorse != test.want {
			t.Errorf("%+v: FailsMore returned %v", test, isWorse)
		}
	}
}
