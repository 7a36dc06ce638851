package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// span is a stretch of time since the run began.
type span struct{ from, to time.Duration }

// overlaps tells whether two spans share a moment.
func (one span) overlaps(other span) bool { return one.from <= other.to && other.from <= one.to }

// unfinished ends a span that is not over yet.
const unfinished = time.Duration(1<<62 - 1)

// disturbance is what was done to a machine and for how long.
type disturbance struct {
	span
	machine string
	what    string
}

// change is one configuration that an operator sent.
type change struct {
	edition, basedOn int
	document         document
	isInvalid        bool
	sent             time.Duration
	acknowledged     time.Duration // zero if it was not
	acknowledgedBy   string
	// isRefused is true once an answer said that it was not taken, and no earlier call of it ended
	// without a clear answer.
	isRefused, isUnclear bool
}

// outcome is what became of a client's request.
type outcome struct {
	machine  string
	life     int // of the machine's process
	host     string
	path     string
	sent     time.Duration
	answered time.Duration
	status   int
	service  string // that ran it
	// arrived is when the replica began to work on it, zero if none did.
	arrived time.Duration
}

// reading is a configuration that was read back.
type reading struct {
	machine        string
	sent, answered time.Duration
	edition        int
	body           []byte
}

// history is everything that was seen in a run.
type history struct {
	began        time.Time
	guard        sync.Mutex
	changes      []*change
	outcomes     []outcome
	readings     []reading
	disturbances []*disturbance
	notes        []string
	failures     []string
	contradicted map[string]bool
}

func newHistory() *history { return &history{began: time.Now(), contradicted: map[string]bool{}} }

// now is the time since the run began.
func (history *history) now() time.Duration { return time.Since(history.began) }

// note adds a line to the run's timeline.
func (history *history) note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f %s", history.now().Seconds(), fmt.Sprintf(format, values...))
	history.guard.Lock()
	defer history.guard.Unlock()
	history.notes = append(history.notes, line)
}

// fail reports a broken rule.
func (history *history) fail(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	history.guard.Lock()
	defer history.guard.Unlock()
	history.failures = append(history.failures, line)
}

// disturb begins a disturbance of a machine.
func (history *history) disturb(machine, what string) *disturbance {
	one := &disturbance{span: span{history.now(), unfinished}, machine: machine, what: what}
	history.note("%s: %s", machine, what)
	history.guard.Lock()
	defer history.guard.Unlock()
	history.disturbances = append(history.disturbances, one)
	return one
}

// settle ends a disturbance.
func (history *history) settle(one *disturbance) {
	history.guard.Lock()
	defer history.guard.Unlock()
	one.to = history.now()
}

// recent draws one of the editions that were sent last.
func (history *history) recent(random *rand.Rand) int {
	history.guard.Lock()
	defer history.guard.Unlock()
	last := history.changes[max(0, len(history.changes)-3):]
	return pick(random, last).edition
}

func (history *history) add(one outcome) {
	history.guard.Lock()
	defer history.guard.Unlock()
	history.outcomes = append(history.outcomes, one)
}

// timeline gives the notes in the order of their times.
func (history *history) timeline() []string {
	history.guard.Lock()
	defer history.guard.Unlock()
	out := append([]string{}, history.notes...)
	sort.Strings(out)
	return out
}
