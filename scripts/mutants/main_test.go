package main

import (
	"os"
	"testing"

	"swifttiller/scripts/edits"
)

// TestMutantsFit: each mutant's old lines stand in its file, once, and each rule
// has two of them at least.
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
	for _, one := range list {
		rules[one.Rule]++
		if _, err := one.Apply("../.."); err != nil {
			t.Errorf("%s does not fit %s (%v)", one.Name, one.File, err)
		}
	}
	for _, rule := range []string{"twice", "foreign", "lost", "old config", "fallback", "leaving", "bad version", "flooded", "home", "evacuated", "retries", "recovery", "keys", "tenant"} {
		if rules[rule] < 2 {
			t.Errorf("only %d mutants for %q", rules[rule], rule)
		}
	}
	if _, err := edits.Parse("name: x\nrule: y\n<<<<\na\n====\nb\n>>>>\n", "rule", "test"); err == nil {
		t.Error("a mutant without file and test was taken")
	}
}
