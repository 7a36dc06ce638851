package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutantsFit: each mutant's old lines stand in its file, once, and each rule
// has two of them at least.
func TestMutantsFit(t *testing.T) {
	text, err := os.ReadFile("all.mutant")
	if err != nil {
		t.Fatal(err)
	}
	list, err := parse(string(text))
	if err != nil {
		t.Fatal(err)
	}
	rules := map[string]int{}
	for _, one := range list {
		rules[one.rule]++
		code, err := os.ReadFile(filepath.Join("..", "..", one.file))
		if err != nil || strings.Count(string(code), one.old) != 1 {
			t.Errorf("%s does not fit %s (%v)", one.name, one.file, err)
		}
	}
	for _, rule := range []string{"twice", "foreign", "lost", "old config", "fallback", "leaving", "bad version", "flooded", "home", "evacuated", "retries", "recovery", "keys", "tenant"} {
		if rules[rule] < 2 {
			t.Errorf("only %d mutants for %q", rules[rule], rule)
		}
	}
	if _, err := parse("name: x\nrule: y\n<<<<\na\n====\nb\n>>>>\n"); err == nil {
		t.Error("a mutant without file and test was taken")
	}
}
