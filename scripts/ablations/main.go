// Command ablations measures the benefit of mechanisms. It switches them off one at a time, each in
// a temporary clone of the last commit, runs days of a benchmark with and without it, and prints a
// table of the differences. Exit status: 0 all runs succeeded, 1 a run failed, 2 invalid usage or a
// mechanism that no longer matches the source.
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

// options holds the command's flags.
type options struct {
	bench, site, days, seeds, only, label string
	jobs                                  int
}

// benchmarkRun is a benchmark run: a day and a seed.
type benchmarkRun struct{ day, seed string }

// score holds the fields read from the report of a run: its value, and the rules that were violated.
type score struct {
	Value  float64        `json:"G"`
	Broken map[string]any `json:"breaks"`
}

// result is the outcome of a run without a mechanism, or the error that prevented it.
type result struct {
	mechanism string
	run       benchmarkRun
	score     score
	err       error
}

// nothing is the mechanism name of runs on the unchanged tree.
const nothing = "nothing"

func main() {
	var opts options
	flag.StringVar(&opts.bench, "bench", "", "path of the benchmark program")
	flag.StringVar(&opts.site, "site", "", "path of the site file")
	flag.StringVar(&opts.days, "days", "scale-1", "comma-separated days")
	flag.StringVar(&opts.seeds, "seeds", "1", "comma-separated seeds")
	flag.StringVar(&opts.only, "only", "", "run only mechanisms whose name contains this text")
	flag.StringVar(&opts.label, "label", "", "purpose of the runs, recorded in the journal")
	flag.IntVar(&opts.jobs, "jobs", 3, "number of days that run at the same time")
	flag.Parse()
	list, err := mechanisms("scripts/ablations/all.ablation", opts.only)
	if err == nil && (opts.bench == "" || opts.site == "") {
		err = errors.New("-bench and -site are required")
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
	for _, result := range results {
		if result.err != nil {
			fmt.Fprintf(os.Stderr, "%s on %s, seed %s: %v\n", result.mechanism, result.run.day, result.run.seed, result.err)
			os.Exit(1)
		}
	}
}

// mechanisms parses the ablations in a file and returns those whose name contains part.
func mechanisms(path, part string) (list []edits.Edit, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	all, err := edits.Parse(string(text), "what")
	if err != nil {
		return nil, err
	}
	for _, edit := range all {
		if strings.Contains(edit.Name, part) {
			list = append(list, edit)
		}
	}
	return list, nil
}

// run runs every day with every seed on the unchanged tree, and without each mechanism.
func run(opts options, list []edits.Edit) (results []result, err error) {
	root, err := os.MkdirTemp("", "ablations")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(root)
	var mutex sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, opts.jobs)
	for _, edit := range append([]edits.Edit{{Name: nothing}}, list...) {
		clone, err := cloneWithout(root, edit)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", edit.Name, err)
		}
		for _, day := range strings.Split(opts.days, ",") {
			for _, seed := range strings.Split(opts.seeds, ",") {
				group.Add(1)
				slots <- struct{}{}
				go func() {
					defer func() { <-slots; group.Done() }()
					outcome := runDay(opts, clone, edit.Name, benchmarkRun{day, seed})
					mutex.Lock()
					defer mutex.Unlock()
					results = append(results, outcome)
				}()
			}
		}
	}
	group.Wait()
	return results, nil
}

// cloneWithout clones the repository below root and switches the mechanism off in the clone.
func cloneWithout(root string, edit edits.Edit) (clone string, err error) {
	clone = filepath.Join(root, edit.Name)
	if out, err := exec.Command("git", "clone", "-q", ".", clone).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	if edit.Name == nothing {
		return clone, nil
	}
	code, err := edit.Apply(clone)
	if err != nil {
		return "", err
	}
	return clone, os.WriteFile(filepath.Join(clone, edit.File), code, 0o600)
}

// runDay runs one day in the clone, and copies its journal entry to the journal of this tree.
func runDay(opts options, clone, mechanism string, run benchmarkRun) result {
	out := result{mechanism: mechanism, run: run}
	report := filepath.Join(clone, "target", run.day+"-"+run.seed+".json")
	reason := fmt.Sprintf("ablation: without %s; %s", mechanism, opts.label)
	command := exec.Command(opts.bench, "run", opts.site, run.day, "--seed", run.seed, "--no-cpu", "--jobs", "1", "--report", report, "--why", reason)
	command.Dir = clone
	if text, err := command.CombinedOutput(); err != nil {
		out.err = fmt.Errorf("%w: %s", err, text[max(0, len(text)-400):])
	}
	if text, err := os.ReadFile(report); err == nil {
		out.err = json.Unmarshal(text, &out.score)
	} else if out.err == nil {
		out.err = err
	}
	if copied, err := exec.Command("cp", "-rn", filepath.Join(clone, "journal")+"/.", "journal").CombinedOutput(); err != nil && out.err == nil {
		out.err = fmt.Errorf("the journal entry could not be copied: %s", copied)
	}
	return out
}

// table formats a Markdown table of the mechanisms. The benefit of a mechanism is the score with it
// minus the score without it; the table has its mean and mean absolute deviation over the runs that
// succeeded both ways, and the number of rules violated without the mechanism.
func table(list []edits.Edit, results []result) string {
	baseline := map[benchmarkRun]float64{}
	for _, result := range results {
		if result.mechanism == nothing && result.err == nil {
			baseline[result.run] = result.score.Value
		}
	}
	out := &strings.Builder{}
	fmt.Fprintln(out, "| without | what it does | plays | worth, mean | spread | rules broken |\n| --- | --- | --- | --- | --- | --- |")
	for _, mechanism := range list {
		var gains []float64
		broken := 0
		for _, result := range results {
			with, isKnown := baseline[result.run]
			if result.mechanism != mechanism.Name || result.err != nil || !isKnown {
				continue
			}
			gains = append(gains, with-result.score.Value)
			broken += len(result.score.Broken)
		}
		mean, spread := summary(gains)
		fmt.Fprintf(out, "| %s | %s | %d | %+.4f | %.4f | %d |\n", mechanism.Name, mechanism.Description, len(gains), mean, spread, broken)
	}
	return out.String()
}

// summary returns the mean and the mean absolute deviation, both NaN without values.
func summary(values []float64) (mean, spread float64) {
	if len(values) == 0 {
		return math.NaN(), math.NaN()
	}
	for _, value := range values {
		mean += value / float64(len(values))
	}
	for _, value := range values {
		spread += math.Abs(value-mean) / float64(len(values))
	}
	return mean, spread
}
