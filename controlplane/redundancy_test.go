package controlplane

import (
	"reflect"
	"testing"

	"swifttiller/register"
)

// coreOf makes a core of the acceptors.
func coreOf(ids ...string) (core register.Core) {
	core.Epoch = 1
	for _, id := range ids {
		core.Members = append(core.Members, register.Member{ID: id})
	}
	return core
}

// TestRedundancy checks that exactly the acceptors are counted as whole whose digests are those of
// a majority of the core in every range, so that an outdated copy does not count as redundancy.
func TestRedundancy(t *testing.T) {
	three := coreOf("a", "b", "c")
	for name, testCase := range map[string]struct {
		core register.Core
		sums map[string][]string
		want Redundancy
	}{
		"all alike":           {three, map[string][]string{"a": {"1", "2"}, "b": {"1", "2"}, "c": {"1", "2"}}, Redundancy{Whole: 3, Wanted: 3, Losable: 1}},
		"one silent":          {three, map[string][]string{"a": {"1", "2"}, "b": {"1", "2"}}, Redundancy{Whole: 2, Wanted: 3, Silent: []string{"c"}}},
		"one behind":          {three, map[string][]string{"a": {"1", "2"}, "b": {"1", "2"}, "c": {"1", "0"}}, Redundancy{Whole: 2, Wanted: 3, Behind: []string{"c"}}},
		"one empty":           {three, map[string][]string{"a": {"1", "2"}, "b": {"1", "2"}, "c": {}}, Redundancy{Whole: 2, Wanted: 3, Behind: []string{"c"}}},
		"no majority alike":   {three, map[string][]string{"a": {"1"}, "b": {"2"}, "c": {"3"}}, Redundancy{Wanted: 3, Behind: []string{"a", "b", "c"}}},
		"strangers don't add": {three, map[string][]string{"a": {"1"}, "x": {"1"}, "y": {"1"}}, Redundancy{Wanted: 3, Behind: []string{"a"}, Silent: []string{"b", "c"}}},
		"five of seven": {coreOf("a", "b", "c", "d", "e", "f", "g"), map[string][]string{"a": {"1"}, "b": {"1"}, "c": {"1"}, "d": {"1"}, "e": {"1"}, "f": {"0"}},
			Redundancy{Whole: 5, Wanted: 7, Losable: 1, Behind: []string{"f"}, Silent: []string{"g"}}},
		"half of four": {coreOf("a", "b", "c", "d"), map[string][]string{"a": {"1"}, "b": {"1"}, "c": {"0"}, "d": {"0"}}, Redundancy{Wanted: 4, Behind: []string{"a", "b", "c", "d"}}},
	} {
		got := computeRedundancy(testCase.core, testCase.sums)
		if !reflect.DeepEqual(got, testCase.want) {
			t.Errorf("%s: got %+v, want %+v", name, got, testCase.want)
		}
		if got.IsWhole() != (len(got.lacking()) == 0) {
			t.Errorf("%s: IsWhole is %v although %v are lacking", name, got.IsWhole(), got.lacking())
		}
	}
}
