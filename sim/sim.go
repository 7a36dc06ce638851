// Package sim runs the product's own code under virtual time: one task at a
// time, in an order that a seed decides, over a simulated network and disks.
package sim

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"swifttiller/loop"
)

// Sim is the virtual machine park.
//
// Invariant: at any moment either the scheduler or exactly one task runs; who
// runs holds the token. Everything below is touched only by the token's holder.
type Sim struct {
	Seed   uint64
	now    time.Duration
	queue  eventHeap
	order  uint64
	source *rand.Rand
	back   chan struct{}
	nodes  map[string]*Node
	names  []string
	links  map[[2]string]*Link
	// Latency of one way on the network, and of one sync.
	Latency, Jitter, SyncTime time.Duration
	// ServeTime is what a node's processor takes for each call that it serves, one after
	// the other, whether or not the caller still waits; none when zero.
	ServeTime time.Duration
	Messages  map[string]int
	// Bytes are the bytes of calls and answers as gob writes them, by method.
	Bytes map[string]int
	// OnBytes, if set, is told of each call's and answer's bytes, and of their way.
	OnBytes  func(from, to, method string, bytes int)
	tapes    map[string]*tape
	copied   int // bytes of the last copy
	points   map[string]int
	hooks    map[string]func(node *Node, count int)
	panicked any
	parked   map[*task]bool
	closed   bool
	running  *task // who holds the token, if not the scheduler
	Steps    int
	// Unruly is how calls between processes are mistreated.
	Unruly Unruly
	// OnCall, if set, is asked what becomes of a call.
	OnCall func(from, to, method string) Fate
	OnKill func(name string)
}

// Fate is what becomes of one call.
type Fate int

// The fates: it goes through; it is lost; its answer is lost; it comes late, or
// once more later on; its sender is killed once it was sent, or its receiver
// before it comes.
const (
	Passes Fate = iota
	IsLost
	AnswerLost
	IsLate
	IsRepeated
	SenderDies
	ReceiverDies
)

// Unruly are shares of calls that vanish on either way, that are served once
// more later on, and that are held up; the last two by up to Latest.
type Unruly struct {
	Lost, Repeated, Late float64
	Latest               time.Duration
}

func (sim *Sim) happens(share float64) bool {
	return share > 0 && float64(sim.Draw(1<<20)) < share*(1<<20)
}

// New makes a park from a seed.
func New(seed uint64) *Sim {
	return &Sim{
		Seed: seed, source: rand.New(rand.NewPCG(seed, 77)), back: make(chan struct{}),
		nodes: map[string]*Node{}, links: map[[2]string]*Link{},
		Latency: time.Millisecond, Jitter: 2 * time.Millisecond, SyncTime: 2 * time.Millisecond,
		Messages: map[string]int{}, Bytes: map[string]int{}, tapes: map[string]*tape{}, parked: map[*task]bool{}, points: map[string]int{}, hooks: map[string]func(*Node, int){},
	}
}

type event struct {
	at    time.Duration
	order uint64
	node  *Node
	life  int
	run   func()
}

type eventHeap []*event

func (heap eventHeap) less(a, b int) bool {
	if heap[a].at != heap[b].at {
		return heap[a].at < heap[b].at
	}
	return heap[a].order < heap[b].order
}

func (heap *eventHeap) push(one *event) {
	*heap = append(*heap, one)
	for at := len(*heap) - 1; at > 0; {
		up := (at - 1) / 2
		if !heap.less(at, up) {
			return
		}
		(*heap)[at], (*heap)[up] = (*heap)[up], (*heap)[at]
		at = up
	}
}

func (heap *eventHeap) pop() *event {
	list := *heap
	top := list[0]
	last := len(list) - 1
	list[0] = list[last]
	list[last] = nil
	*heap = list[:last]
	for at := 0; ; {
		least := at
		for child := 2*at + 1; child <= 2*at+2 && child < last; child++ {
			if heap.less(child, least) {
				least = child
			}
		}
		if least == at {
			return top
		}
		(*heap)[at], (*heap)[least] = (*heap)[least], (*heap)[at]
		at = least
	}
}

// At plans a step of the scheduler's own, on no node.
func (sim *Sim) At(after time.Duration, run func()) { sim.plan(after, nil, run) }

func (sim *Sim) plan(after time.Duration, node *Node, run func()) {
	if after < 0 {
		after = 0
	}
	sim.order++
	one := &event{at: sim.now + after, order: sim.order, node: node, run: run}
	if node != nil {
		one.life = node.life
	}
	sim.queue.push(one)
}

// Run lets virtual time pass for the span. It panics with a task's panic.
func (sim *Sim) Run(span time.Duration) {
	if span < 0 {
		panic("sim: time does not go back")
	}
	until := sim.now + span
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		one := sim.queue.pop()
		if one.at > sim.now {
			sim.now = one.at
		}
		if one.node != nil {
			if one.node.life != one.life {
				continue
			}
			if one.node.frozenUntil > sim.now {
				one.at = one.node.frozenUntil
				sim.order++
				one.order = sim.order
				sim.queue.push(one)
				continue
			}
		}
		sim.Steps++
		one.run()
		if sim.panicked != nil {
			panic(fmt.Sprintf("seed %d at %v: %v", sim.Seed, sim.now, sim.panicked))
		}
	}
	sim.now = until
}

// Now is the park's time.
func (sim *Sim) Now() time.Duration { return sim.now }

// Draw draws from the park's source.
func (sim *Sim) Draw(below int64) int64 {
	if below <= 1 {
		return 0
	}
	return sim.source.Int64N(below)
}

// Node is one simulated machine with one process; it is a loop.World. A new
// life begins with every start; tasks of an older life never run again.
type Node struct {
	Name        string
	sim         *Sim
	life        int
	frozenUntil time.Duration
	Disk        *Disk
	services    func(method string) any
	up          bool
	// Skew is added to the calendar clock.
	Skew time.Duration
	// pace is by how much the machine's clock is too fast since paced, when it
	// showed shown.
	pace         float64
	paced, shown time.Duration
	// busyUntil is when it will have served what came so far.
	busyUntil time.Duration
}

type task struct {
	node *Node
	life int
	wake chan bool
}

// Node makes a machine, or gives the one of that name.
func (sim *Sim) Node(name string) *Node {
	if node := sim.nodes[name]; node != nil {
		return node
	}
	node := &Node{Name: name, sim: sim}
	node.Disk = &Disk{node: node, files: map[string]*file{}}
	sim.nodes[name] = node
	sim.names = append(sim.names, name)
	return node
}

// Now is the machine's clock: virtual time at the machine's own pace. It runs
// through freezes.
func (node *Node) Now() time.Duration {
	since := node.sim.now - node.paced
	return node.shown + since + time.Duration(node.pace*float64(since))
}

// SetPace makes the machine's clock run too fast by the ratio from now on.
func (node *Node) SetPace(pace float64) {
	node.shown, node.paced, node.pace = node.Now(), node.sim.now, pace
}

// Wall is a calendar that starts in 2026.
func (node *Node) Wall() time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(node.sim.now + node.Skew)
}

// Draw draws from the park's source.
func (node *Node) Draw(below int64) int64 { return node.sim.Draw(below) }

// Ended is false: a task of an ended life never gets to ask.
func (node *Node) Ended() bool { return false }

// Go starts a task.
func (node *Node) Go(run func()) {
	sim := node.sim
	sim.plan(0, node, func() {
		one := &task{node: node, life: node.life, wake: make(chan bool)}
		sim.running = one
		go func() {
			defer func() {
				if trouble := recover(); trouble != nil {
					stack := make([]byte, 4096)
					sim.panicked = fmt.Sprintf("task on %s: %v\n%s", node.Name, trouble, stack[:runtime.Stack(stack, false)])
				}
				sim.back <- struct{}{}
			}()
			run()
		}()
		<-sim.back
		sim.running = nil
	})
}

// park gives the token back until resumed.
func (one *task) park() {
	sim := one.node.sim
	sim.parked[one] = true
	sim.back <- struct{}{}
	if !<-one.wake {
		runtime.Goexit()
	}
}

// resume hands the token to a parked task and waits for it back.
func (sim *Sim) resume(one *task) {
	sim.running = one
	delete(sim.parked, one)
	one.wake <- true
	<-sim.back
	sim.running = nil
}

// Close ends every task, also those of killed processes, which are kept parked
// until now. Without it a finished park would stay in memory.
func (sim *Sim) Close() {
	sim.closed = true
	for one := range sim.parked {
		one.wake <- false
		<-sim.back
	}
	sim.parked, sim.queue = nil, nil
}

// Kill ends the process on the node at once; unsynced writes are lost.
func (sim *Sim) Kill(name string) {
	node := sim.nodes[name]
	if !node.up {
		return
	}
	node.up = false
	node.life++
	node.services = nil
	node.frozenUntil = 0
	node.Disk.crash()
	// Parked tasks are left parked until Close: they hold nothing but memory,
	// and ending them now would run their deferred steps, which no killed
	// process does.
}

// Killed kills a process as soon as the running task gives way, with whatever OnKill
// does around it.
func (sim *Sim) Killed(name string) {
	sim.At(0, func() {
		if sim.OnKill != nil {
			sim.OnKill(name)
		} else {
			sim.Kill(name)
		}
	})
}

// Start begins a new life on the node.
func (sim *Sim) Start(name string, run func(node *Node)) {
	node := sim.Node(name)
	if node.up {
		panic("start of a running node " + name)
	}
	node.up = true
	node.life++
	node.Go(func() { run(node) })
}

// Up tells whether a process runs there.
func (node *Node) Up() bool { return node.up }

// Freeze stops the machine for the span; its clock runs on.
func (sim *Sim) Freeze(name string, span time.Duration) {
	sim.nodes[name].frozenUntil = sim.now + span
}

// Frozen tells whether the machine stands still.
func (node *Node) Frozen() bool { return node.frozenUntil > node.sim.now }

type mailbox struct {
	node    *Node
	life    int
	letters []any
	waiter  *task
	ticket  int
}

// Mailbox makes a mailbox.
func (node *Node) Mailbox() loop.Mailbox { return &mailbox{node: node, life: node.life} }

func (box *mailbox) Put(letter any) {
	box.letters = append(box.letters, letter)
	if box.waiter != nil {
		box.rouse(0)
	}
}

// rouse plans the waiter's resumption; the ticket makes late ones no-ops.
func (box *mailbox) rouse(after time.Duration) {
	ticket := box.ticket
	if box.node.pace != 0 {
		// A waiter's span is of its own clock; it never wakes too early by it.
		after = time.Duration(float64(after)/(1+box.node.pace)) + 1
	}
	box.node.sim.plan(after, box.node, func() {
		if box.waiter == nil || box.ticket != ticket || box.life != box.node.life {
			return
		}
		waiter := box.waiter
		box.waiter = nil
		box.ticket++
		box.node.sim.resume(waiter)
	})
}

func (box *mailbox) Take(patience time.Duration) (any, bool) {
	if box.node.sim.closed {
		runtime.Goexit() // a deferred step of a task that is being ended
	}
	if len(box.letters) == 0 && patience > 0 {
		one := box.node.sim.running
		if one == nil {
			panic("sim: a wait outside of any task")
		}
		if one.life != box.node.life {
			one.park() // of a killed life: never comes back
		}
		box.ticket++
		box.waiter = one
		if patience < loop.Forever/2 {
			box.rouse(patience)
		}
		one.park()
	}
	if len(box.letters) == 0 {
		return nil, false
	}
	letter := box.letters[0]
	box.letters = box.letters[1:]
	return letter, true
}

// Point marks a numbered place where a fault may be put; the hook for the name
// runs with how often the place was passed.
func (sim *Sim) Point(node *Node, name string) {
	sim.points[name]++
	if hook := sim.hooks[name]; hook != nil {
		hook(node, sim.points[name])
	}
}

// Hook puts a fault at a point.
func (sim *Sim) Hook(name string, hook func(node *Node, count int)) { sim.hooks[name] = hook }

// Passed tells how often a point was passed.
func (sim *Sim) Passed(name string) int { return sim.points[name] }

// Halt ends the running task's process from inside, as a crash at this line.
func (node *Node) Halt() {
	node.sim.Kill(node.Name)
	node.sim.running.park()
}
