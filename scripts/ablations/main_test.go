package main

import (
	"math"
	"strings"
	"testing"

	"swifttiller/scripts/edits"
)

// TestMechanismsFit checks that the old lines of each mechanism occur exactly once in its file.
func TestMechanismsFit(t *testing.T) {
	list, err := mechanisms("all.ablation", "")
	if err != nil || len(list) < 8 {
		t.Fatalf("%d mechanisms, want at least 8 and no error: %v", len(list), err)
	}
	for _, edit := range list {
		if _, err := edit.Apply("../.."); err != nil {
			t.Errorf("%s does not fit %s: %v", edit.Name, edit.File, err)
		}
	}
}

// TestTable checks that the benefit of a mechanism is the mean loss of score without it, over the
// runs that exist both with and without it.
func TestTable(t *testing.T) {
	first, second := benchmarkRun{"a", "1"}, benchmarkRun{"a", "2"}
	text := table([]edits.Edit{{Name: "owners", Description: "w"}, {Name: "unplayed"}}, []result{
		{mechanism: nothing, run: first, score: score{Value: 0.9}}, {mechanism: nothing, run: second, score: score{Value: 0.8}},
		{mechanism: "owners", run: first, score: score{Value: 0.7}}, {mechanism: "owners", run: second, score: score{Value: 0.7, Broken: map[string]any{"HOME": 1}}},
		{mechanism: "owners", run: benchmarkRun{"b", "1"}, score: score{Value: 0.1}},
	})
	if !strings.Contains(text, "| owners | w | 2 | +0.1500 | 0.0500 | 1 |") || !strings.Contains(text, "| unplayed |  | 0 | +NaN | NaN | 0 |") {
		t.Error(text)
	}
	if mean, _ := summary(nil); !math.IsNaN(mean) {
		t.Error("summary of no values: the mean is not NaN")
	}
}
