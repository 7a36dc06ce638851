// Command mutants disables the guards of never-happen rules one at a time, by
// `go test -overlay`, and tells whether the test named for each turns red with
// the rule's name. Exit: 0 all did, 1 one survived, 2 a mutant does not fit the
// code any more.
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

// mutant is one guard disabled.
type mutant = edits.Edit

// try runs the mutant's test over the changed file.
func try(folder string, one mutant) (killed bool, seen string, err error) {
	code, err := one.Apply(".")
	if err != nil {
		return false, "", err
	}
	changed := filepath.Join(folder, one.Name+".go")
	overlay := filepath.Join(folder, one.Name+".json")
	whole, err := filepath.Abs(one.File)
	if err != nil {
		return false, "", err
	}
	if err := os.WriteFile(changed, code, 0o600); err != nil {
		return false, "", err
	}
	text, _ := json.Marshal(map[string]map[string]string{"Replace": {whole: changed}})
	if err := os.WriteFile(overlay, text, 0o600); err != nil {
		return false, "", err
	}
	words := append([]string{"test", "-count=1"}, strings.Fields(one.Test)...)
	bound, done := context.WithTimeout(context.Background(), 10*time.Minute)
	defer done()
	command := exec.CommandContext(bound, "go", words...)
	// By the environment, so that what the test builds is changed as well.
	command.Env = append(os.Environ(), "GOFLAGS=-overlay="+overlay)
	out, err := command.CombinedOutput()
	if bytes.Contains(out, []byte("[build failed]")) || bytes.Contains(out, []byte("no tests to run")) {
		return false, "", fmt.Errorf("it does not build, or names no test: %s", out[:min(len(out), 600)])
	}
	red := regexp.MustCompile(`(?m)^.*\b` + regexp.QuoteMeta(one.Rule) + `(: | at ).*$`).FindString(string(out))
	return err != nil && red != "", strings.TrimSpace(red), nil
}

func main() {
	only := flag.String("only", "", "only the mutants whose name has this in it")
	jobs := flag.Int("jobs", 3, "how many at a time")
	flag.Parse()
	files, _ := filepath.Glob("scripts/mutants/*.mutant")
	var list []mutant
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil {
			var more []mutant
			more, err = edits.Parse(string(text), "rule", "test")
			list = append(list, more...)
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
	var guard sync.Mutex
	var group sync.WaitGroup
	free := make(chan struct{}, *jobs)
	killed, survived, unfit := 0, 0, 0
	for _, one := range list {
		if !strings.Contains(one.Name, *only) {
			continue
		}
		group.Add(1)
		free <- struct{}{}
		go func() {
			defer func() { <-free; group.Done() }()
			isKilled, seen, err := try(folder, one)
			guard.Lock()
			defer guard.Unlock()
			switch {
			case err != nil:
				unfit++
				fmt.Printf("UNFIT    %-28s %s: %v\n", one.Name, one.Rule, err)
			case isKilled:
				killed++
				fmt.Printf("killed   %-28s %s by %s: %s\n", one.Name, one.Rule, one.Test, seen)
			default:
				survived++
				fmt.Printf("SURVIVED %-28s %s under %s\n", one.Name, one.Rule, one.Test)
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
