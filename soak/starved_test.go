package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// A machine counts as slowed while a thread of its process waits for a processor for more than starvedWait of
// each starvedSample.
const (
	starvedSample = time.Second
	starvedWait   = 500 * time.Millisecond
)

// waits remembers how long each thread of a process had waited for a processor.
type waits map[string]time.Duration

// longest gives the longest wait of any thread since it was asked last, by the kernel's account.
func (before waits) longest(process int) (longest time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited time.Duration
		if _, err := fmt.Sscan(string(text), &ran, &waited); err != nil {
			continue
		}
		if last, isKnown := before[file]; isKnown {
			longest = max(longest, waited-last)
		}
		before[file] = waited
	}
	return longest
}

// watchWaits notes which machines the real machine slows, until the run is over. Clients, operators and stand-ins
// run in this very process: where it waits, what they saw says nothing of any machine.
func (cluster *cluster) watchWaits() {
	history := cluster.history
	processes := map[string]waits{}
	own := waits{}
	own.longest(os.Getpid())
	last := history.now()
	for cluster.wait(starvedSample) {
		now := history.now()
		ownWait := own.longest(os.Getpid())
		for _, machine := range append(cluster.of(control), cluster.of(data)...) {
			machine.guard.Lock()
			process := machine.process
			machine.guard.Unlock()
			if process == nil {
				continue
			}
			if processes[machine.name] == nil {
				processes[machine.name] = waits{}
			}
			if wait := max(ownWait, processes[machine.name].longest(process.Pid)); wait > starvedWait {
				// The kernel tells of a wait once it is over.
				history.slowed(machine.name, span{min(last, now-wait-starvedSample), now}, wait)
			}
		}
		last = now
	}
}

// slowed notes a disturbance that was found out afterwards.
func (history *history) slowed(machine string, during span, wait time.Duration) {
	history.note("%s: slowed, waited %v for a processor", machine, wait)
	history.guard.Lock()
	defer history.guard.Unlock()
	history.disturbances = append(history.disturbances, &disturbance{span: during, machine: machine, what: "slowed", isSlowed: true})
	history.starved += wait
}
