// Package workflow runs durable workflows on the registers. A run has an ID that the
// caller supplies. Each of its steps is recorded once by name, and the current leader
// resumes the run after its last recorded step.
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

// Prefix is the key prefix of the registers that hold runs.
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
// Invariants: Steps holds each name at most once, in the order of execution. Fence
// never decreases, and only the leader whose term it is may write. After State has
// changed from running, nothing changes any more.
type Run struct {
	ID       string          `json:"id"`
	Digest   string          `json:"digest"`
	Contents json.RawMessage `json:"contents"`
	Fence    uint64          `json:"fence"`
	Steps    []Step          `json:"steps"`
	// Wake is the end of a durable sleep: no step is executed before it.
	Wake time.Time `json:"wake"`
	// At names the step in progress, Mishaps counts its transient errors so far, and
	// Last is the newest of them.
	At      string    `json:"at,omitempty"`
	Mishaps int       `json:"mishaps,omitempty"`
	Last    string    `json:"last,omitempty"`
	State   string    `json:"state"`
	Reason  string    `json:"reason,omitempty"`
	Began   time.Time `json:"began"`
	Ended   time.Time `json:"ended"`
}

// RunStore is the run store of one key, held in one register: the current run and a
// limited number of short records of earlier ones.
type RunStore struct {
	Run  *Run   `json:"run"`
	Past []Past `json:"past,omitempty"`
	// Used holds hashes of the IDs of all runs older than those in Past, so that an ID
	// is never run again, however old it is. Each takes twelve bytes and is kept
	// forever.
	Used []string `json:"used,omitempty"`
}

// Past is what is kept of an earlier run.
type Past struct {
	ID     string    `json:"id"`
	Digest string    `json:"digest"`
	State  string    `json:"state"`
	Reason string    `json:"reason,omitempty"`
	Ended  time.Time `json:"ended"`
}

// MaxPastRuns is how many earlier runs a run store keeps in full, and MaxResultBytes
// the maximum length of a step's encoded result.
const (
	MaxPastRuns    = 32
	MaxResultBytes = 64 << 10
)

// Errors that a step may return. ErrWait and ErrFenced are passed on as they are; any
// other error is transient, and the step is retried after a backoff.
type (
	// Terminal ends the run, because a retry cannot succeed.
	Terminal struct{ Reason string }
	// RateLimited makes the run sleep, durably, before the step is retried.
	RateLimited struct{ RetryAfter time.Duration }
)

// Error returns the reason why the run ended.
func (terminal *Terminal) Error() string { return terminal.Reason }

// Error returns the message with the delay before the retry.
func (rateLimited *RateLimited) Error() string {
	return "rate limited for " + rateLimited.RetryAfter.String()
}

var (
	// ErrWait is returned by a step that is not finished yet; the next pass tries it again.
	ErrWait = errors.New("not yet")
	// ErrFenced means that another runner has taken over the run, and this one must stop.
	ErrFenced = errors.New("workflow: another runner has taken over the run")
	// ErrBusy means that the run store holds another run that has not ended.
	ErrBusy = errors.New("workflow: another run is in progress")
	// ErrUsed means that the ID was used so long ago that nothing else is known of its run.
	ErrUsed = errors.New("workflow: this id was used long ago and cannot run again; use another id")
	// ErrContentsDiffer means that the ID was used with different contents.
	ErrContentsDiffer = errors.New("workflow: this id was used before with other contents")
)

// Journal is the journal of runs: it opens the run stores.
type Journal struct {
	World     loop.World
	Registers *register.Client
}

func digest(contents []byte) string {
	sum := sha256.Sum256(contents)
	return hex.EncodeToString(sum[:8])
}

// Read returns the run store of a key and the revision of its register.
func (journal *Journal) Read(key string) (RunStore, uint64, error) {
	value, err := journal.Registers.Read(Prefix + key)
	if err != nil {
		return RunStore{}, 0, err
	}
	store, err := openStore(value)
	return store, value.Serial, err
}

func openStore(value register.Value) (store RunStore, err error) {
	if value.Serial > 0 {
		err = json.Unmarshal(value.Data, &store)
	}
	return store, err
}

// Start starts a run. If the ID was used before with the same contents, it returns that
// run and joined is true. Otherwise it returns ErrContentsDiffer, ErrUsed or ErrBusy if the run
// may not start.
func (journal *Journal) Start(key, id string, contents any) (run Run, joined bool, err error) {
	body, err := json.Marshal(contents)
	if err != nil {
		return Run{}, false, err
	}
	contentsDigest := digest(body)
	_, err = journal.Registers.Update(Prefix+key, func(value register.Value) ([]byte, error) {
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
		run = Run{ID: id, Digest: contentsDigest, Contents: body, State: Running, Began: journal.World.WallTime()}
		store.Run = &run
		return json.Marshal(store)
	})
	if errors.Is(err, errJoined) {
		err = nil
	}
	if err == nil && joined && run.Digest != contentsDigest {
		err = ErrContentsDiffer
	}
	return run, joined, err
}

var errJoined = errors.New("joined")

// Log is a run that is being executed by its runner.
type Log struct {
	journal  *Journal
	key      string
	store    RunStore
	revision uint64
	fence    uint64
}

// Resume takes over the run in progress by writing the leader's term into it as the
// fence, which prevents older runners from writing. It returns nil if no run is in
// progress.
func (journal *Journal) Resume(key string, fence uint64) (*Log, error) {
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

// Run returns the run.
func (log *Log) Run() Run { return *log.store.Run }

// write changes the run in its register. It succeeds only if nothing else has written
// to the register since this runner's last read or write.
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
	value, err := log.journal.Registers.CompareAndSwap(Prefix+log.key, log.revision, data)
	var stale *register.SerialMismatch
	if errors.As(err, &stale) {
		return ErrFenced
	} else if err != nil {
		return err
	}
	log.store, log.revision = next, value.Serial
	return nil
}

// Recorded reports whether the step is recorded, and decodes its result.
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

// Step executes the named step unless it is recorded, and records its result. A
// recorded step is never executed again, but an interrupted one is, so each step must
// be an upsert.
func (log *Log) Step(name string, action func() (any, error), result any) error {
	if log.Recorded(name, result) {
		return nil
	}
	now := log.journal.World.WallTime()
	if now.Before(log.store.Run.Wake) {
		return ErrWait
	}
	output, err := action()
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
		// A transient error: the step is retried after an increasing backoff, which is
		// recorded and therefore survives this process.
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
		run.State, run.Reason, run.Ended, run.At, run.Wake = state, reason, log.journal.World.WallTime(), "", time.Time{}
	})
}
