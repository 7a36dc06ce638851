// Command mutants runs mutation tests: it disables the guards of safety rules one at a time,
// by `go test -overlay`, and checks that the test named for each mutant fails and reports the
// rule. Exit status: 0 all mutants were killed, 1 one survived, 2 a mutant no longer matches the
// source, or none was selected.
//
//	go run ./scripts/mutants [-only NAME] [-jobs N]
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"swifttiller/scripts/edits"
)

// mutant is an edit that disables one guard.
type mutant = edits.Edit

// runMutant runs the mutant's test with the changed file as an overlay, which it writes to the
// folder. A mutant is killed if the test fails and its output has a line with the rule's name
// followed by `: ` or ` at `; that line is returned.
func runMutant(folder string, edit mutant) (killed bool, line string, err error) {
	code, err := edit.Apply(".")
	if err != nil {
		return false, "", err
	}
	changed := filepath.Join(folder, edit.Name+".go")
	overlay := filepath.Join(folder, edit.Name+".json")
	original, err := filepath.Abs(edit.File)
	if err != nil {
		return false, "", err
	}
	if err := os.WriteFile(changed, code, 0o600); err != nil {
		return false, "", err
	}
	text, _ := json.Marshal(map[string]map[string]string{"Replace": {original: changed}})
	if err := os.WriteFile(overlay, text, 0o600); err != nil {
		return false, "", err
	}
	args := append([]string{"test", "-count=1"}, strings.Fields(edit.Test)...)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	command := exec.CommandContext(ctx, "go", args...)
	// The overlay is passed in the environment so that it also applies to programs that the test
	// builds.
	command.Env = append(os.Environ(), "GOFLAGS=-overlay="+overlay)
	out, err := command.CombinedOutput()
	if bytes.Contains(out, []byte("[build failed]")) || bytes.Contains(out, []byte("no tests to run")) {
		return false, "", fmt.Errorf("the mutant does not build, or its test does not exist: %s", out[:min(len(out), 600)])
	}
	violation := regexp.MustCompile(`(?m)^.*\b` + regexp.QuoteMeta(edit.Rule) + `(: | at ).*$`).FindString(string(out))
	return err != nil && violation != "", strings.TrimSpace(violation), nil
}

func main() {
	only := flag.String("only", "", "run only mutants whose name contains this text")
	jobs := flag.Int("jobs", 3, "number of mutants that run at the same time")
	flag.Parse()
	files, _ := filepath.Glob("scripts/mutants/*.mutant")
	var list []mutant
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil {
			var parsed []mutant
			parsed, err = edits.Parse(string(text), "rule", "test")
			list = append(list, parsed...)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, file, err)
			os.Exit(2)
		}
	}
	folder, err := os.MkdirTemp("", "mutants")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	defer os.RemoveAll(folder)
	var mutex sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, *jobs)
	killed, survived, unfit := 0, 0, 0
	for _, edit := range list {
		if !strings.Contains(edit.Name, *only) {
			continue
		}
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; group.Done() }()
			isKilled, line, err := runMutant(folder, edit)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case err != nil:
				unfit++
				fmt.Printf("UNFIT    %-28s %s: %v\n", edit.Name, edit.Rule, err)
			case isKilled:
				killed++
				fmt.Printf("killed   %-28s %s by %s: %s\n", edit.Name, edit.Rule, edit.Test, line)
			default:
				survived++
				fmt.Printf("SURVIVED %-28s %s under %s\n", edit.Name, edit.Rule, edit.Test)
			}
		}()
	}
	group.Wait()
	fmt.Printf("%d killed, %d survived, %d unfit\n", killed, survived, unfit)
	code := 0
	switch {
	case unfit > 0 || killed+survived == 0:
		code = 2
	case survived > 0:
		code = 1
	}
	os.RemoveAll(folder)
	os.Exit(code) //nolint:gocritic // the folder is gone already
}
