// Package loop owns time, tasks and waiting. Every select loop of the product
// is one of the few here: the product's code calls a World, and the same code
// runs under the machine's clock (Machine) or under virtual time (package sim).
package loop

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// World is what a daemon needs of its surroundings to wait and to start tasks.
//
// Invariant: no lock is held across a call that can wait (Mailbox.Take, Sleep,
// Gather, wire calls, disk syncs). The simulation relies on it, and so does the
// rule that a slow disk costs only its own vote.
type World interface {
	// Now runs through machine sleep and never jumps.
	Now() time.Duration
	// Wall is the calendar clock; only durable sleeps use it.
	Wall() time.Time
	// Go starts a task in the world's group.
	Go(task func())
	// Mailbox makes a place to wait at.
	Mailbox() Mailbox
	// Draw gives a number from the world's own seeded source.
	Draw(below int64) int64
	// Ended tells whether the world has been asked to end.
	Ended() bool
}

// Mailbox is an unbounded queue with one waiting primitive.
type Mailbox interface {
	Put(letter any)
	// Take waits for at most the patience; false means that it ran out or
	// that the world ended.
	Take(patience time.Duration) (any, bool)
}

// Forever is longer than any daemon lives.
const Forever = time.Duration(1<<62 - 1)

// Sleep waits and tells whether the world still stands.
func Sleep(world World, span time.Duration) bool {
	if span > 0 {
		world.Mailbox().Take(span)
	}
	return !world.Ended()
}

// Every runs the step now and after every span until the world ends or the
// step answers false. The span is asked for each time, as settings change while a
// process lives, and drawn anew, within a tenth, so that herds of daemons do not
// march in step.
func Every(world World, span func() time.Duration, step func() bool) {
	for !world.Ended() {
		if !step() || !Sleep(world, drawn(world, span())) {
			return
		}
	}
}

func drawn(world World, span time.Duration) time.Duration {
	return span - span/10 + time.Duration(world.Draw(int64(span)/5+1))
}

// Waker is a loop that can also be woken between its wakeups.
type Waker struct {
	box   Mailbox
	armed atomic.Bool
}

// NewWaker makes a waker in the world.
func NewWaker(world World) *Waker { return &Waker{box: world.Mailbox()} }

// Wake makes the loop run its step soon; many wakes before it does are one.
func (waker *Waker) Wake() {
	if waker.armed.CompareAndSwap(false, true) {
		waker.box.Put(nil)
	}
}

// Run is Every, with wakes heeded.
func (waker *Waker) Run(world World, span func() time.Duration, step func() bool) {
	for !world.Ended() {
		waker.armed.Store(false)
		if !step() {
			return
		}
		waker.box.Take(drawn(world, span()))
	}
}

// Gather starts the ask for each of count and hands the answers to enough, in
// the order in which they come, until enough answers true, all have answered,
// the patience runs out or the world ends. Late answers are dropped. It tells whether
// enough or all have answered: else nothing follows from what did not come.
func Gather[T any](world World, count int, patience time.Duration, ask func(index int) T, enough func(index int, answer T) bool) (isComplete bool) {
	type letter struct {
		index  int
		answer T
	}
	box := world.Mailbox()
	for index := 0; index < count; index++ {
		world.Go(func() { box.Put(letter{index, ask(index)}) })
	}
	expiry := world.Now() + patience
	for left := count; left > 0; left-- {
		got, ok := box.Take(expiry - world.Now())
		if !ok {
			return false
		}
		if one := got.(letter); enough(one.index, one.answer) {
			return true
		}
	}
	return true
}

// Machine is the world of a real process. Its tasks run in one conc group.
//
// Invariant: no task's panic is outlived by the others; Panicked does not return.
type Machine struct {
	// Panicked ends the process for a task's panic, and says where it came from.
	Panicked func(trouble any, stack []byte)

	group conc.WaitGroup
	end   chan struct{}
	ended atomic.Bool
}

// NewMachine makes the world of this process.
func NewMachine() *Machine {
	return &Machine{end: make(chan struct{}), Panicked: func(trouble any, stack []byte) {
		fmt.Fprintf(os.Stderr, "panic: %v\n%s", trouble, stack)
		os.Exit(2)
	}}
}

// Now reads the clock that counts machine sleep as well.
func (machine *Machine) Now() time.Duration {
	var spec unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec) != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(spec.Nano())
}

// Wall is the calendar clock.
func (machine *Machine) Wall() time.Time { return time.Now() }

// Go starts a task in the group.
func (machine *Machine) Go(task func()) {
	machine.group.Go(func() {
		// The group would keep the panic until it is waited for.
		defer func() {
			if trouble := recover(); trouble != nil {
				machine.Panicked(trouble, debug.Stack())
			}
		}()
		task()
	})
}

// Draw draws from the process's source.
func (machine *Machine) Draw(below int64) int64 {
	if below <= 1 {
		return 0
	}
	return rand.Int64N(below)
}

// Ended tells whether End was called.
func (machine *Machine) Ended() bool { return machine.ended.Load() }

// End makes every wait return.
func (machine *Machine) End() {
	if machine.ended.CompareAndSwap(false, true) {
		close(machine.end)
	}
}

// Wait waits until all tasks have returned or the patience runs out.
func (machine *Machine) Wait(patience time.Duration) bool {
	done := make(chan struct{})
	go func() { machine.group.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(patience):
		return false
	}
}

// Mailbox makes a mailbox over a channel.
func (machine *Machine) Mailbox() Mailbox {
	return &box{machine: machine, signal: make(chan struct{}, 1)}
}
