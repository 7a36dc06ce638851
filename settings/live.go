package settings

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Reloaded is what became of a reread of a process's settings.
type Reloaded struct {
	// Changed were applied in place.
	Changed []string `json:"changed,omitempty"`
	// Restart differ and stay as they were until the process starts anew.
	Restart []string `json:"needs_restart,omitempty"`
	// Problems, if any, are why nothing was changed.
	Problems Problems `json:"problems,omitempty"`
}

// String is one line for logs and operators.
func (reloaded Reloaded) String() string {
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

// LiveOptions of a process's settings.
type LiveOptions struct {
	Process Process
	// Read reads and checks them anew.
	Read func() (*Process, error)
	// Apply, if set, carries out what takes more than being looked up. Its error
	// keeps the old settings, and it must have left everything as it was.
	Apply func(old, next Process) error
}

// Live are a process's settings as they stand.
//
// Invariants: whatever Now gives was checked as a whole; name, region, zone, wire,
// http, door and data never change in a process's life, as its colleagues, its
// listeners and its disk go by them.
type Live struct {
	LiveOptions
	guard sync.Mutex // over reloads
	now   atomic.Pointer[Process]
}

// NewLive makes settings that can be reloaded.
func NewLive(options LiveOptions) *Live {
	live := &Live{LiveOptions: options}
	live.now.Store(&options.Process)
	return live
}

// Now is what holds.
func (live *Live) Now() Process { return *live.now.Load() }

// Seeds are the present seeds.
func (live *Live) Seeds() []string { return live.Now().Seeds }

// Reload rereads the settings.
func (live *Live) Reload() (out Reloaded) {
	live.guard.Lock()
	defer live.guard.Unlock()
	read, err := live.Read()
	if err != nil {
		problems, known := err.(Problems)
		if !known {
			problems = Problems{{Path: "settings", Reason: err.Error()}}
		}
		return Reloaded{Problems: problems}
	}
	old := live.Now()
	next := old
	for _, name := range []string{"name", "region", "zone", "wire", "http", "door", "data"} {
		if *old.place(name) != *read.place(name) {
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
			return Reloaded{Problems: Problems{{Path: "$.traces", Reason: fmt.Sprint("can't be applied: ", err)}}}
		}
	}
	live.now.Store(&next)
	return out
}

// Service lets control daemons ask a colleague to reload.
type Service struct{ Live *Live }

// Reload rereads the settings.
func (service Service) Reload(_ struct{}, out *Reloaded) error {
	*out = service.Live.Reload()
	return nil
}
