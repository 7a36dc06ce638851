// Command ablations switches mechanisms off one at a time, each in a scratch clone of the last
// commit, plays days of a bench with and without it, and writes what each is worth. Exit: 0
// all were played, 1 one was not, 2 wrong usage or a mechanism that does not fit the code.
//
//	go run ./scripts/ablations -bench PROGRAM -site FILE -days scale-1,scale-2 -seeds 1,2
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"swifttiller/scripts/edits"
)

// options are the command's flags.
type options struct {
	bench, site, days, seeds, only, label string
	jobs                                  int
}

// play is one day with one seed.
type play struct{ day, seed string }

// worth is what a report says of a day; Broken names the rules that broke.
type worth struct {
	Value  float64        `json:"G"`
	Broken map[string]any `json:"breaks"`
}

// result is what one play without a mechanism gave, or why it gave nothing.
type result struct {
	mechanism string
	play      play
	worth     worth
	err       error
}

// nothing names the tree as it is.
const nothing = "nothing"

func main() {
	var opts options
	flag.StringVar(&opts.bench, "bench", "", "the bench's program")
	flag.StringVar(&opts.site, "site", "", "the site file")
	flag.StringVar(&opts.days, "days", "scale-1", "days, by comma")
	flag.StringVar(&opts.seeds, "seeds", "1", "seeds, by comma")
	flag.StringVar(&opts.only, "only", "", "only the mechanisms whose name has this in it")
	flag.StringVar(&opts.label, "label", "", "what the runs are for, for the journal")
	flag.IntVar(&opts.jobs, "jobs", 3, "how many days at a time")
	flag.Parse()
	list, err := mechanisms("scripts/ablations/all.ablation", opts.only)
	if err == nil && (opts.bench == "" || opts.site == "") {
		err = errors.New("-bench and -site are needed")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	results, err := run(opts, list)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Print(table(list, results))
	for _, one := range results {
		if one.err != nil {
			fmt.Fprintf(os.Stderr, "%s on %s, seed %s: %v\n", one.mechanism, one.play.day, one.play.seed, one.err)
			os.Exit(1)
		}
	}
}

// mechanisms reads those whose name has the word in it.
func mechanisms(path, word string) (list []edits.Edit, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	all, err := edits.Parse(string(text), "what")
	if err != nil {
		return nil, err
	}
	for _, one := range all {
		if strings.Contains(one.Name, word) {
			list = append(list, one)
		}
	}
	return list, nil
}

// run plays every day with the tree as it is, and without each mechanism.
func run(opts options, list []edits.Edit) (results []result, err error) {
	root, err := os.MkdirTemp("", "ablations")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(root)
	var guard sync.Mutex
	var group sync.WaitGroup
	free := make(chan struct{}, opts.jobs)
	for _, one := range append([]edits.Edit{{Name: nothing}}, list...) {
		clone, err := without(root, one)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", one.Name, err)
		}
		for _, day := range strings.Split(opts.days, ",") {
			for _, seed := range strings.Split(opts.seeds, ",") {
				group.Add(1)
				free <- struct{}{}
				go func() {
					defer func() { <-free; group.Done() }()
					got := played(opts, clone, one.Name, play{day, seed})
					guard.Lock()
					defer guard.Unlock()
					results = append(results, got)
				}()
			}
		}
	}
	group.Wait()
	return results, nil
}

// without makes a clone that lacks the mechanism.
func without(root string, one edits.Edit) (clone string, err error) {
	clone = filepath.Join(root, one.Name)
	if out, err := exec.Command("git", "clone", "-q", ".", clone).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	if one.Name == nothing {
		return clone, nil
	}
	code, err := one.Apply(clone)
	if err != nil {
		return "", err
	}
	return clone, os.WriteFile(filepath.Join(clone, one.File), code, 0o600)
}

// played plays one day in the clone, and takes its journal entry over.
func played(opts options, clone, mechanism string, one play) result {
	out := result{mechanism: mechanism, play: one}
	report := filepath.Join(clone, "target", one.day+"-"+one.seed+".json")
	why := fmt.Sprintf("ablation: without %s; %s", mechanism, opts.label)
	command := exec.Command(opts.bench, "run", opts.site, one.day, "--seed", one.seed, "--no-cpu", "--jobs", "1", "--report", report, "--why", why)
	command.Dir = clone
	if text, err := command.CombinedOutput(); err != nil {
		out.err = fmt.Errorf("%w: %s", err, text[max(0, len(text)-400):])
	}
	if text, err := os.ReadFile(report); err == nil {
		out.err = json.Unmarshal(text, &out.worth)
	} else if out.err == nil {
		out.err = err
	}
	if copied, err := exec.Command("cp", "-rn", filepath.Join(clone, "journal")+"/.", "journal").CombinedOutput(); err != nil && out.err == nil {
		out.err = fmt.Errorf("the journal entry was not kept: %s", copied)
	}
	return out
}

// table writes what each mechanism is worth: the worth with it less that without, its mean
// and spread over the plays, and which rules broke without it.
func table(list []edits.Edit, results []result) string {
	whole := map[play]float64{}
	for _, one := range results {
		if one.mechanism == nothing && one.err == nil {
			whole[one.play] = one.worth.Value
		}
	}
	out := &strings.Builder{}
	fmt.Fprintln(out, "| without | what it does | plays | worth, mean | spread | rules broken |\n| --- | --- | --- | --- | --- | --- |")
	for _, mechanism := range list {
		var gains []float64
		broken := 0
		for _, one := range results {
			with, isKnown := whole[one.play]
			if one.mechanism != mechanism.Name || one.err != nil || !isKnown {
				continue
			}
			gains = append(gains, with-one.worth.Value)
			broken += len(one.worth.Broken)
		}
		mean, spread := summary(gains)
		fmt.Fprintf(out, "| %s | %s | %d | %+.4f | %.4f | %d |\n", mechanism.Name, mechanism.What, len(gains), mean, spread, broken)
	}
	return out.String()
}

// summary gives the mean, and the mean distance from it.
func summary(values []float64) (mean, spread float64) {
	if len(values) == 0 {
		return math.NaN(), math.NaN()
	}
	for _, one := range values {
		mean += one / float64(len(values))
	}
	for _, one := range values {
		spread += math.Abs(one-mean) / float64(len(values))
	}
	return mean, spread
}
