package main

import (
	"os"
	"strings"
	"testing"

	"swifttiller/scripts/edits"
)

// TestMutantsFit checks that the old lines of each mutant occur exactly once in its file, and that
// each rule has at least two mutants. Mutants stop matching when the lines that they quote change.
func TestMutantsFit(t *testing.T) {
	text, err := os.ReadFile("all.mutant")
	if err != nil {
		t.Fatal(err)
	}
	list, err := edits.Parse(string(text), "rule", "test")
	if err != nil {
		t.Fatal(err)
	}
	rules := map[string]int{}
	for _, edit := range list {
		rules[edit.Rule]++
		if _, err := edit.Apply("../.."); err != nil {
			t.Errorf("%s does not fit %s (%v)", edit.Name, edit.File, err)
		}
	}
	for _, rule := range []string{"twice", "foreign", "lost", "old config", "fallback", "leaving", "bad version", "flooded", "home", "evacuated", "retries", "recovery", "keys", "tenant"} {
		if rules[rule] < 2 {
			t.Errorf("%d mutants for rule %q, want at least 2", rules[rule], rule)
		}
	}
	if _, err := edits.Parse("name: x\nrule: y\n<<<<\na\n====\nb\n>>>>\n", "rule", "test"); err == nil {
		t.Error("Parse accepted a mutant without file and test")
	}
}

// plantedInCI lists prefixes of the names of the mutants that CI runs each time; each takes seconds.
var plantedInCI = []string{"model-", "health-one", "health-extended", "health-of-any"}

// TestPlantedBugsAreSeen guards the checks of the control plane: with a bug planted by a mutant, the
// mutant's test must fail and report the violated rule.
func TestPlantedBugsAreSeen(t *testing.T) {
	if testing.Short() {
		t.Skip("these mutants run in the other half of CI")
	}
	text, err := os.ReadFile("all.mutant")
	if err != nil {
		t.Fatal(err)
	}
	list, err := edits.Parse(string(text), "rule", "test")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir("../..")
	folder, planted := t.TempDir(), 0
	for _, edit := range list {
		for _, prefix := range plantedInCI {
			if !strings.HasPrefix(edit.Name, prefix) {
				continue
			}
			planted++
			isKilled, violation, err := runMutant(folder, edit)
			if err != nil || !isKilled {
				t.Errorf("mutant %s is not detected by %s: %v", edit.Name, edit.Test, err)
			}
			t.Logf("%s: %s", edit.Name, violation)
		}
	}
	if planted < 15 {
		t.Errorf("only %d mutants were run, want at least 15", planted)
	}
}
