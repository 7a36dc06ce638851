// Package loop provides time, tasks and waiting. All select loops of the product
// are in this package: other code calls a World, and so the same code
// runs on the machine's clock (Machine) or in virtual time (package sim).
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

// World is the runtime of a daemon: clocks, tasks, waiting and random numbers.
//
// Invariant: no lock is held across a call that can wait (Mailbox.Take, Sleep,
// Gather, wire calls, disk syncs). The simulation relies on it, and so does the
// rule that a slow disk delays only the replies of its own acceptor.
type World interface {
	// Now is a monotonic clock that also counts time during which the machine is suspended.
	Now() time.Duration
	// WallTime is the wall clock; only durable sleeps use it.
	WallTime() time.Time
	// Go starts a task in the world's task group.
	Go(task func())
	// Mailbox returns a new, empty mailbox.
	Mailbox() Mailbox
	// RandN returns a random number from 0 up to, but not including, below, from the
	// world's own seeded source.
	RandN(below int64) int64
	// Ended reports whether the world has been asked to end.
	Ended() bool
}

// Mailbox is an unbounded queue. Its Take is the only primitive for waiting.
type Mailbox interface {
	Put(message any)
	// Take removes the first message, waiting for it for at most the timeout. It returns
	// false if the timeout has passed or the world has ended.
	Take(timeout time.Duration) (any, bool)
}

// Forever is a timeout longer than the lifetime of any daemon.
const Forever = time.Duration(1<<62 - 1)

// Sleep waits for the duration and reports whether the world is still running.
func Sleep(world World, duration time.Duration) bool {
	if duration > 0 {
		world.Mailbox().Take(duration)
	}
	return !world.Ended()
}

// Every runs the step now and after every interval until the world ends or the
// step returns false. The interval is read anew each time, as settings may change while
// the process runs, and gets a random jitter of up to a tenth in both directions, so
// that daemons do not synchronize.
func Every(world World, interval func() time.Duration, step func() bool) {
	for !world.Ended() {
		if !step() || !Sleep(world, jittered(world, interval())) {
			return
		}
	}
}

func jittered(world World, interval time.Duration) time.Duration {
	return interval - interval/10 + time.Duration(world.RandN(int64(interval)/5+1))
}

// Waker is a periodic loop that can also be woken before its interval is over.
type Waker struct {
	mailbox Mailbox
	armed   atomic.Bool
}

// NewWaker returns a Waker that waits in the world.
func NewWaker(world World) *Waker { return &Waker{mailbox: world.Mailbox()} }

// Wake makes the loop run its step soon. Several wakes before the step runs count as one.
func (waker *Waker) Wake() {
	if waker.armed.CompareAndSwap(false, true) {
		waker.mailbox.Put(nil)
	}
}

// Run is like Every, but also runs the step after each Wake.
func (waker *Waker) Run(world World, interval func() time.Duration, step func() bool) {
	for !world.Ended() {
		waker.armed.Store(false)
		if !step() {
			return
		}
		waker.mailbox.Take(jittered(world, interval()))
	}
}

// Gather runs call concurrently for each index below count and passes the answers to
// enough in order of arrival, until enough returns true, all answers have arrived,
// the timeout has passed or the world ends. Later answers are dropped. It reports whether
// enough returned true or all answers arrived; if not, a missing answer means nothing.
func Gather[T any](world World, count int, timeout time.Duration, call func(index int) T, enough func(index int, answer T) bool) (isComplete bool) {
	type result struct {
		index  int
		answer T
	}
	mailbox := world.Mailbox()
	for index := 0; index < count; index++ {
		world.Go(func() { mailbox.Put(result{index, call(index)}) })
	}
	deadline := world.Now() + timeout
	for remaining := count; remaining > 0; remaining-- {
		message, ok := mailbox.Take(deadline - world.Now())
		if !ok {
			return false
		}
		if received := message.(result); enough(received.index, received.answer) {
			return true
		}
	}
	return true
}

// Machine is the World of a real process. Its tasks run in one conc group.
//
// Invariant: a panic in one task ends all others too; OnPanic does not return.
type Machine struct {
	// OnPanic ends the process after a panic of a task and reports its value and stack.
	OnPanic func(recovered any, stack []byte)

	group conc.WaitGroup
	end   chan struct{}
	ended atomic.Bool
}

// NewMachine returns a World for this process. A panic of a task prints its stack and
// exits with status 2.
func NewMachine() *Machine {
	return &Machine{end: make(chan struct{}), OnPanic: func(recovered any, stack []byte) {
		fmt.Fprintf(os.Stderr, "panic: %v\n%s", recovered, stack)
		os.Exit(2)
	}}
}

// Now reads CLOCK_BOOTTIME, which also counts time during which the machine is suspended.
func (machine *Machine) Now() time.Duration {
	var spec unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec) != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(spec.Nano())
}

// WallTime returns the time of the wall clock.
func (machine *Machine) WallTime() time.Time { return time.Now() }

// Go starts a task in the group.
func (machine *Machine) Go(task func()) {
	machine.group.Go(func() {
		// The group would hold the panic back until its Wait is called.
		defer func() {
			if recovered := recover(); recovered != nil {
				machine.OnPanic(recovered, debug.Stack())
			}
		}()
		task()
	})
}

// RandN returns a random number below the limit, or 0 if the limit is 1 or less.
func (machine *Machine) RandN(limit int64) int64 {
	if limit <= 1 {
		return 0
	}
	return rand.Int64N(limit)
}

// Ended reports whether End was called.
func (machine *Machine) Ended() bool { return machine.ended.Load() }

// End makes all waiting Takes return.
func (machine *Machine) End() {
	if machine.ended.CompareAndSwap(false, true) {
		close(machine.end)
	}
}

// Wait waits until all tasks have returned, for at most the timeout, and reports whether
// they have.
func (machine *Machine) Wait(timeout time.Duration) bool {
	done := make(chan struct{})
	go func() { machine.group.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Mailbox returns a new mailbox that wakes its takers through a channel.
func (machine *Machine) Mailbox() Mailbox {
	return &mailbox{machine: machine, signal: make(chan struct{}, 1)}
}
