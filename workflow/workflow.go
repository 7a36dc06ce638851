// Package workflow keeps durable runs on the registers: a run has an id that its
// starter supplies, its steps are recorded once each by name, and whoever holds
// the duty resumes it past its last recorded step.
package workflow

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"swifttiller/loop"
	"swifttiller/register"
)

// Prefix of the registers of runs.
const Prefix = "run/"

// States of a run.
const (
	Running = "running"
	Done    = "done"
	Failed  = "failed"
)

// Step is a recorded step.
type Step struct {
	Name   string          `json:"name"`
	Result json.RawMessage `json:"result,omitempty"`
	At     time.Time       `json:"at"`
}

// Run is a durable run.
//
// Invariants: a name stands in Steps at most once, in the order in which the
// steps were done; Fence never falls, and only the duty with that serial writes;
// after State has left running nothing changes any more.
type Run struct {
	ID       string          `json:"id"`
	Digest   string          `json:"digest"`
	Contents json.RawMessage `json:"contents"`
	Fence    uint64          `json:"fence"`
	Steps    []Step          `json:"steps"`
	// Wake is a durable sleep: nothing is done before it.
	Wake time.Time `json:"wake"`
	// At names the step under way and its transient mishaps so far.
	At      string    `json:"at,omitempty"`
	Mishaps int       `json:"mishaps,omitempty"`
	Last    string    `json:"last,omitempty"`
	State   string    `json:"state"`
	Reason  string    `json:"reason,omitempty"`
	Began   time.Time `json:"began"`
	Ended   time.Time `json:"ended"`
}

// Shelf is what a run's register holds: the present run and short notes on
// those before, bounded.
type Shelf struct {
	Run  *Run   `json:"run"`
	Past []Past `json:"past,omitempty"`
	// Used are marks of all ids older than those: an id never runs again, however
	// old it is. Twelve bytes a run, for good.
	Used []string `json:"used,omitempty"`
}

// Past is what is kept of a retired run.
type Past struct {
	ID     string    `json:"id"`
	Digest string    `json:"digest"`
	State  string    `json:"state"`
	Reason string    `json:"reason,omitempty"`
	Ended  time.Time `json:"ended"`
}

// MaxPastRuns is how many retired runs a shelf remembers, and MostBytes how long a
// step's result may be.
const (
	MaxPastRuns    = 32
	MaxResultBytes = 64 << 10
)

// The kinds of errors that a step may give. Any other error is transient: the
// step is tried again.
type (
	// Terminal ends the run; trying again can't help.
	Terminal struct{ Reason string }
	// RateLimited makes the run sleep, durably, before the step is tried again.
	RateLimited struct{ RetryAfter time.Duration }
)

// Error is one line.
func (terminal *Terminal) Error() string { return terminal.Reason }

// Error is one line.
func (rateLimited *RateLimited) Error() string {
	return "rate limited for " + rateLimited.RetryAfter.String()
}

var (
	// ErrWait: the step is not done yet; look again at the next turn.
	ErrWait = errors.New("not yet")
	// ErrFenced: another runner has the run; this one must let go.
	ErrFenced = errors.New("journal: the run has passed to another runner")
	// ErrBusy: another run stands on the shelf.
	ErrBusy = errors.New("journal: another run is under way")
	// ErrOther: the id was used with other contents.
	// ErrUsed: the id was used so long ago that only that is known.
	ErrUsed  = errors.New("journal: this id was used long ago, and an id never runs again; give another")
	ErrOther = errors.New("journal: this id was used before with other contents")
)

// Book opens shelves.
type Book struct {
	World  loop.World
	Keeper *register.Keeper
}

func digest(contents []byte) string {
	sum := sha256.Sum256(contents)
	return hex.EncodeToString(sum[:8])
}

// Read gives a shelf.
func (journal *Book) Read(key string) (Shelf, uint64, error) {
	value, err := journal.Keeper.Read(Prefix + key)
	if err != nil {
		return Shelf{}, 0, err
	}
	store, err := openStore(value)
	return store, value.Serial, err
}

func openStore(value register.Value) (store Shelf, err error) {
	if value.Serial > 0 {
		err = json.Unmarshal(value.Data, &store)
	}
	return store, err
}

// Start begins the run, or joins or reports the one that has the id already.
func (journal *Book) Start(key, id string, contents any) (run Run, joined bool, err error) {
	body, err := json.Marshal(contents)
	if err != nil {
		return Run{}, false, err
	}
	contentsDigest := digest(body)
	_, err = journal.Keeper.Change(Prefix+key, func(value register.Value) ([]byte, error) {
		joined = false
		store, err := openStore(value)
		if err != nil {
			return nil, err
		}
		if current := store.Run; current != nil && current.ID == id {
			joined, run = true, *current
			return nil, errJoined
		}
		for _, past := range store.Past {
			if past.ID == id {
				joined, run = true, Run{ID: id, Digest: past.Digest, State: past.State, Reason: past.Reason, Ended: past.Ended}
				return nil, errJoined
			}
		}
		if slices.Contains(store.Used, digest([]byte(id))[:12]) {
			return nil, ErrUsed
		}
		if current := store.Run; current != nil {
			if current.State == Running {
				return nil, ErrBusy
			}
			store.Past = append(store.Past, Past{current.ID, current.Digest, current.State, current.Reason, current.Ended})
			for len(store.Past) > MaxPastRuns {
				store.Used = append(store.Used, digest([]byte(store.Past[0].ID))[:12])
				store.Past = store.Past[1:]
			}
		}
		run = Run{ID: id, Digest: contentsDigest, Contents: body, State: Running, Began: journal.World.Wall()}
		store.Run = &run
		return json.Marshal(store)
	})
	if errors.Is(err, errJoined) {
		err = nil
	}
	if err == nil && joined && run.Digest != contentsDigest {
		err = ErrOther
	}
	return run, joined, err
}

var errJoined = errors.New("joined")

// Log is a run in the hands of its runner.
type Log struct {
	journal  *Book
	key      string
	store    Shelf
	revision uint64
	fence    uint64
}

// Resume takes the run on the shelf for the duty's serial, by writing that into
// it; nil when nothing is under way. An older runner can't write any more.
func (journal *Book) Resume(key string, fence uint64) (*Log, error) {
	log := &Log{journal: journal, key: key, fence: fence}
	store, revision, err := journal.Read(key)
	if err != nil || store.Run == nil || store.Run.State != Running {
		return nil, err
	}
	log.store, log.revision = store, revision
	if store.Run.Fence > fence {
		return nil, ErrFenced
	}
	if store.Run.Fence == fence {
		return log, nil
	}
	return log, log.write(func(run *Run) { run.Fence = fence })
}

// Run shows the run.
func (log *Log) Run() Run { return *log.store.Run }

// write changes the run on the register; only the holder of its fence and of
// its last serial can.
func (log *Log) write(change func(run *Run)) error {
	next := log.store
	run := *log.store.Run
	run.Steps = append([]Step{}, run.Steps...)
	change(&run)
	next.Run = &run
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	value, err := log.journal.Keeper.Swap(Prefix+log.key, log.revision, data)
	var stale *register.Stale
	if errors.As(err, &stale) {
		return ErrFenced
	} else if err != nil {
		return err
	}
	log.store, log.revision = next, value.Serial
	return nil
}

// Recorded tells whether the step is done, and reads its result.
func (log *Log) Recorded(name string, result any) bool {
	for _, step := range log.store.Run.Steps {
		if step.Name == name {
			if result != nil && len(step.Result) > 0 {
				return json.Unmarshal(step.Result, result) == nil
			}
			return true
		}
	}
	return false
}

// Step does the named step unless it is recorded, and records its result. A
// step that has been recorded is never done again; one that was cut short is,
// so each must be an upsert.
func (log *Log) Step(name string, do func() (any, error), result any) error {
	if log.Recorded(name, result) {
		return nil
	}
	now := log.journal.World.Wall()
	if now.Before(log.store.Run.Wake) {
		return ErrWait
	}
	output, err := do()
	var terminal *Terminal
	var rateLimited *RateLimited
	switch {
	case errors.Is(err, ErrWait), errors.Is(err, ErrFenced), errors.As(err, &terminal):
		return err
	case errors.As(err, &rateLimited):
		if writeErr := log.write(func(run *Run) { run.At, run.Wake, run.Last = name, now.Add(rateLimited.RetryAfter), err.Error() }); writeErr != nil {
			return writeErr
		}
		return ErrWait
	case err != nil:
		// Transient: tried again after a pause that grows, and outlives us.
		if writeErr := log.write(func(run *Run) {
			if run.At != name {
				run.At, run.Mishaps = name, 0
			}
			run.Mishaps++
			run.Last = err.Error()
			run.Wake = now.Add(min(10*time.Second, 200*time.Millisecond<<min(run.Mishaps, 6)))
		}); writeErr != nil {
			return writeErr
		}
		return ErrWait
	}
	body, err := json.Marshal(output)
	if err != nil {
		return err
	}
	if len(body) > MaxResultBytes {
		return &Terminal{fmt.Sprintf("the result of step %s is too long (%d bytes)", name, len(body))}
	}
	if err := log.write(func(run *Run) {
		run.Steps = append(run.Steps, Step{Name: name, Result: body, At: now})
		run.At, run.Mishaps, run.Last, run.Wake = "", 0, "", time.Time{}
	}); err != nil {
		return err
	}
	if result != nil {
		return json.Unmarshal(body, result)
	}
	return nil
}

// Finish ends the run.
func (log *Log) Finish(state, reason string) error {
	return log.write(func(run *Run) {
		run.State, run.Reason, run.Ended, run.At, run.Wake = state, reason, log.journal.World.Wall(), "", time.Time{}
	})
}
