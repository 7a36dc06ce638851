package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"swifttiller/controlplane"
	"swifttiller/doctor"
)

// doctorCommand returns the command that looks for common faults. It queries the given
// addresses in turn and uses the status of a daemon that sees a majority, if there is one.
func doctorCommand() *command {
	var pause time.Duration
	return &command{name: "doctor", synopsis: "look for common faults, read-only; its exit status is 0 for no findings, 1 for findings, 2 if no daemon could be queried", usage: "doctor [--pause 1.5s]",
		flags: func(set *flag.FlagSet) {
			set.DurationVar(&pause, "pause", 1500*time.Millisecond, "time between the two status queries that are compared")
		},
		run: func(command *command, args []string) subcommands.ExitStatus {
			if len(args) > 0 {
				return command.usageError()
			}
			first, unreachable, ok := command.query()
			if ok {
				time.Sleep(pause)
			}
			last, failures, ok := command.query()
			for address, reason := range failures {
				unreachable[address] = reason
			}
			if !ok {
				for address, reason := range unreachable {
					fmt.Fprintf(os.Stderr, "could not ask %s: %s\n", address, reason)
				}
				return subcommands.ExitStatus(2)
			}
			findings := doctor.Examine(first, last)
			if command.json {
				body, _ := json.Marshal(map[string]any{"asked": last.Status.Asked, "findings": findings, "could_not_ask": unreachable, "unreached": last.Status.Unreached})
				fmt.Println(string(body))
			} else {
				for address, reason := range unreachable {
					fmt.Printf("could not ask %s: %s\n", address, reason)
				}
				for _, finding := range findings {
					fmt.Printf("%-8s %s: %s\n         %s\n", finding.Severity, finding.Name, finding.Evidence, finding.Advice)
				}
				fmt.Printf("asked %s, %d findings\n", last.Status.Asked, len(findings))
			}
			if len(findings) > 0 {
				return subcommands.ExitStatus(1)
			}
			return subcommands.ExitStatus(0)
		}}
}

// query requests the status from each address until one sees a majority. Without any, it
// returns the first status received. The map has the error for each address that failed.
func (command *command) query() (doctor.Snapshot, map[string]string, bool) {
	unreachable := map[string]string{}
	var best doctor.Snapshot
	found := false
	for _, at := range strings.Split(command.at, ",") {
		daemon := remote{at: at}
		code, body, err := daemon.send("GET", "/v1/status", nil)
		var status controlplane.Status
		if err == nil && code != 200 {
			err = fmt.Errorf("HTTP status %d", code)
		}
		if err == nil {
			err = json.Unmarshal(body, &status)
		}
		if err != nil {
			unreachable[at] = err.Error()
			continue
		}
		if !found || status.Majority && !best.Status.Majority {
			best, found = doctor.Snapshot{At: time.Now(), Status: status}, true
		}
		if best.Status.Majority {
			break
		}
	}
	return best, unreachable, found
}
