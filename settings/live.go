package settings

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// ReloadResult is the result of rereading a process's settings.
type ReloadResult struct {
	// Changed lists the settings that were applied in place.
	Changed []string `json:"changed,omitempty"`
	// Restart lists the settings that differ but keep their old values until the process
	// is restarted.
	Restart []string `json:"needs_restart,omitempty"`
	// Problems, if any, are the reasons why nothing was changed.
	Problems Problems `json:"problems,omitempty"`
}

// String returns a summary for logs and operators.
func (reloaded ReloadResult) String() string {
	switch {
	case len(reloaded.Problems) > 0:
		return "nothing was changed:\n" + reloaded.Problems.Error()
	case len(reloaded.Changed)+len(reloaded.Restart) == 0:
		return "nothing has changed"
	}
	var parts []string
	if len(reloaded.Changed) > 0 {
		parts = append(parts, "changed in place: "+strings.Join(reloaded.Changed, ", "))
	}
	if len(reloaded.Restart) > 0 {
		parts = append(parts, "needs a restart: "+strings.Join(reloaded.Restart, ", "))
	}
	return strings.Join(parts, "; ")
}

// LiveOptions configures the reloadable settings of a process.
type LiveOptions struct {
	Process Process
	// Read reads and checks the settings again.
	Read func() (*Process, error)
	// Apply, if set, carries out the changes for which storing the new value is not
	// enough. If it returns an error, the old settings stay in force, and it must have
	// left everything unchanged.
	Apply func(old, next Process) error
}

// Live holds the current settings of a process, which can be reloaded.
//
// Invariants: the settings that Now returns were checked as a whole; name, region, zone,
// wire, http, door and data never change while the process runs, as its peers, its
// listeners and its disk depend on them.
type Live struct {
	LiveOptions
	mutex   sync.Mutex // serializes reloads
	current atomic.Pointer[Process]
}

// NewLive returns reloadable settings that start as options.Process.
func NewLive(options LiveOptions) *Live {
	live := &Live{LiveOptions: options}
	live.current.Store(&options.Process)
	return live
}

// Now returns the settings in force.
func (live *Live) Now() Process { return *live.current.Load() }

// Seeds returns the seeds in force.
func (live *Live) Seeds() []string { return live.Now().Seeds }

// Reload rereads the settings and applies those that can change in place. If reading or
// applying them fails, the old ones stay in force.
func (live *Live) Reload() (out ReloadResult) {
	live.mutex.Lock()
	defer live.mutex.Unlock()
	read, err := live.Read()
	if err != nil {
		problems, isProblems := err.(Problems)
		if !isProblems {
			problems = Problems{{Path: "settings", Reason: err.Error()}}
		}
		return ReloadResult{Problems: problems}
	}
	old := live.Now()
	next := old
	for _, name := range []string{"name", "region", "zone", "wire", "http", "door", "data"} {
		if *old.stringField(name) != *read.stringField(name) {
			out.Restart = append(out.Restart, name)
		}
	}
	if !slices.Equal(old.Seeds, read.Seeds) {
		next.Seeds = read.Seeds
		out.Changed = append(out.Changed, "seeds")
	}
	if old.Log != read.Log {
		next.Log = read.Log
		out.Changed = append(out.Changed, "log")
	}
	if old.Grace != read.Grace {
		next.Grace = read.Grace
		out.Changed = append(out.Changed, "grace")
	}
	if old.Traces != read.Traces {
		next.Traces = read.Traces
		out.Changed = append(out.Changed, "traces")
	}
	if len(out.Changed) == 0 {
		return out
	}
	if live.Apply != nil {
		if err := live.Apply(old, next); err != nil {
			return ReloadResult{Problems: Problems{{Path: "$.traces", Reason: fmt.Sprint("can't apply the change: ", err)}}}
		}
	}
	live.current.Store(&next)
	return out
}

// Service is the RPC service by which control daemons make a peer reload its settings.
type Service struct{ Live *Live }

// Reload rereads the settings.
func (service Service) Reload(_ struct{}, out *ReloadResult) error {
	*out = service.Live.Reload()
	return nil
}
