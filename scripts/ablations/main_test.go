package main

import (
	"math"
	"strings"
	"testing"

	"swifttiller/scripts/edits"
)

// TestMechanismsFit: each mechanism's lines stand in its file, once.
func TestMechanismsFit(t *testing.T) {
	list, err := mechanisms("all.ablation", "")
	if err != nil || len(list) < 8 {
		t.Fatalf("%d mechanisms: %v", len(list), err)
	}
	for _, one := range list {
		if _, err := one.Apply("../.."); err != nil {
			t.Errorf("%s does not fit %s: %v", one.Name, one.File, err)
		}
	}
}

// TestTable: the worth of a mechanism is what the days lose without it, over those that were
// played both ways.
func TestTable(t *testing.T) {
	first, second := play{"a", "1"}, play{"a", "2"}
	text := table([]edits.Edit{{Name: "owners", What: "w"}, {Name: "unplayed"}}, []result{
		{mechanism: nothing, play: first, worth: worth{Value: 0.9}}, {mechanism: nothing, play: second, worth: worth{Value: 0.8}},
		{mechanism: "owners", play: first, worth: worth{Value: 0.7}}, {mechanism: "owners", play: second, worth: worth{Value: 0.7, Broken: map[string]any{"HOME": 1}}},
		{mechanism: "owners", play: play{"b", "1"}, worth: worth{Value: 0.1}},
	})
	if !strings.Contains(text, "| owners | w | 2 | +0.1500 | 0.0500 | 1 |") || !strings.Contains(text, "| unplayed |  | 0 | +NaN | NaN | 0 |") {
		t.Error(text)
	}
	if mean, _ := summary(nil); !math.IsNaN(mean) {
		t.Error("a mean of nothing")
	}
}
