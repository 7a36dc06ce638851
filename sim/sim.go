// Package sim is a deterministic simulator. It runs the product's own code in virtual time, one
// task at a time, in an order that depends only on a seed, with simulated networks and disks.
package sim

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"swifttiller/loop"
)

// Sim is a simulated cluster of machines.
//
// Invariant: at any moment either the scheduler or exactly one task runs; the one that runs holds
// the execution token. All fields are accessed only by the holder of the token.
type Sim struct {
	Seed     uint64
	now      time.Duration
	queue    eventHeap
	sequence uint64
	random   *rand.Rand
	yielded  chan struct{}
	nodes    map[string]*Node
	names    []string
	links    map[[2]string]*Link
	// Latency is the base one-way network delay and Jitter the bound of the random delay added to
	// it. SyncTime is how long syncing a file takes.
	Latency, Jitter, SyncTime time.Duration
	// ServeTime is the processor time for each call that a node serves. Calls are served one after
	// the other, whether or not the caller still waits. Zero means that serving takes no time.
	ServeTime time.Duration
	Messages  map[string]int
	// Bytes counts the gob-encoded bytes of requests and responses by method.
	Bytes map[string]int
	// OnBytes, if set, is called with the size, sender and receiver of each request and response.
	OnBytes     func(from, to, method string, bytes int)
	streams     map[string]*gobStream
	copiedBytes int // size of the value that copy encoded last
	points      map[string]int
	hooks       map[string]func(node *Node, count int)
	panicked    any
	blocked     map[*task]bool
	closed      bool
	running     *task // the task that holds the token; nil if the scheduler holds it
	Steps       int
	// Faults sets the random faults of calls between processes.
	Faults NetworkFaults
	// OnCall, if set, decides the fate of each call.
	OnCall func(from, to, method string) Fate
	// OnKill, if set, replaces Kill where a fault kills a process; see ScheduleKill.
	OnKill func(name string)
}

// Fate is the outcome of one call on the network.
type Fate int

// Delivered delivers the call. RequestLost drops the request, and ResponseLost drops the response.
// RequestDelayed delivers the request only after its caller has timed out, and RequestDuplicated
// delivers it a second time then. SenderKilled kills the sender after the request was sent, and
// ReceiverKilled kills the receiver before the request arrives.
const (
	Delivered Fate = iota
	RequestLost
	ResponseLost
	RequestDelayed
	RequestDuplicated
	SenderKilled
	ReceiverKilled
)

// NetworkFaults sets random network faults. Lost is the probability that a request or a response is
// dropped, Duplicated that a request is delivered a second time, and Delayed that a request is delayed.
// The delay of repeated and late requests is below MaxDelay.
type NetworkFaults struct {
	Lost, Duplicated, Delayed float64
	MaxDelay                  time.Duration
}

func (sim *Sim) withProbability(probability float64) bool {
	return probability > 0 && float64(sim.Draw(1<<20)) < probability*(1<<20)
}

// New returns a simulator whose random decisions all derive from the seed.
func New(seed uint64) *Sim {
	return &Sim{
		Seed: seed, random: rand.New(rand.NewPCG(seed, 77)), yielded: make(chan struct{}),
		nodes: map[string]*Node{}, links: map[[2]string]*Link{},
		Latency: time.Millisecond, Jitter: 2 * time.Millisecond, SyncTime: 2 * time.Millisecond,
		Messages: map[string]int{}, Bytes: map[string]int{}, streams: map[string]*gobStream{}, blocked: map[*task]bool{}, points: map[string]int{}, hooks: map[string]func(*Node, int){},
	}
}

type event struct {
	at          time.Duration
	sequence    uint64
	node        *Node
	incarnation int
	run         func()
}

type eventHeap []*event

func (heap eventHeap) less(a, b int) bool {
	if heap[a].at != heap[b].at {
		return heap[a].at < heap[b].at
	}
	return heap[a].sequence < heap[b].sequence
}

func (heap *eventHeap) push(added *event) {
	*heap = append(*heap, added)
	for index := len(*heap) - 1; index > 0; {
		parent := (index - 1) / 2
		if !heap.less(index, parent) {
			return
		}
		(*heap)[index], (*heap)[parent] = (*heap)[parent], (*heap)[index]
		index = parent
	}
}

func (heap *eventHeap) pop() *event {
	events := *heap
	top := events[0]
	last := len(events) - 1
	events[0] = events[last]
	events[last] = nil
	*heap = events[:last]
	for index := 0; ; {
		smallest := index
		for child := 2*index + 1; child <= 2*index+2 && child < last; child++ {
			if heap.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == index {
			return top
		}
		(*heap)[index], (*heap)[smallest] = (*heap)[smallest], (*heap)[index]
		index = smallest
	}
}

// At schedules a step that runs in the scheduler and belongs to no node.
func (sim *Sim) At(delay time.Duration, run func()) { sim.schedule(delay, nil, run) }

func (sim *Sim) schedule(delay time.Duration, node *Node, run func()) {
	if delay < 0 {
		delay = 0
	}
	sim.sequence++
	scheduled := &event{at: sim.now + delay, sequence: sim.sequence, node: node, run: run}
	if node != nil {
		scheduled.incarnation = node.incarnation
	}
	sim.queue.push(scheduled)
}

// Run advances virtual time by the duration and runs the events that are due. It panics if a task
// panicked.
func (sim *Sim) Run(duration time.Duration) {
	if duration < 0 {
		panic("sim: negative duration: virtual time can not go backwards")
	}
	until := sim.now + duration
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		next := sim.queue.pop()
		if next.at > sim.now {
			sim.now = next.at
		}
		if next.node != nil {
			if next.node.incarnation != next.incarnation {
				continue
			}
			if next.node.frozenUntil > sim.now {
				next.at = next.node.frozenUntil
				sim.sequence++
				next.sequence = sim.sequence
				sim.queue.push(next)
				continue
			}
		}
		sim.Steps++
		next.run()
		if sim.panicked != nil {
			panic(fmt.Sprintf("seed %d at %v: %v", sim.Seed, sim.now, sim.panicked))
		}
	}
	sim.now = until
}

// Now returns the virtual time.
func (sim *Sim) Now() time.Duration { return sim.now }

// Draw returns a random number in [0, below) from the simulator's seeded source.
func (sim *Sim) Draw(below int64) int64 {
	if below <= 1 {
		return 0
	}
	return sim.random.Int64N(below)
}

// Node is one simulated machine with one process; it implements loop.World. Each start of the
// process begins a new incarnation; tasks of an older incarnation never run again.
type Node struct {
	Name        string
	sim         *Sim
	incarnation int
	frozenUntil time.Duration
	Disk        *Disk
	services    func(method string) any
	up          bool
	// Skew is the offset of the wall clock.
	Skew time.Duration
	// pace is the relative rate error of the machine's clock, positive if the clock is fast. It
	// applies since virtual time paceSetAt, when the machine's clock was at paceSetClock.
	pace                    float64
	paceSetAt, paceSetClock time.Duration
	// busyUntil is when the calls that have arrived so far will have been served.
	busyUntil time.Duration
}

type task struct {
	node        *Node
	incarnation int
	wake        chan bool
}

// Node returns the machine of that name, creating it if there is none.
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

// Now returns the machine's monotonic clock: virtual time at the machine's own rate. The clock goes
// on while the machine is frozen.
func (node *Node) Now() time.Duration {
	elapsed := node.sim.now - node.paceSetAt
	return node.paceSetClock + elapsed + time.Duration(node.pace*float64(elapsed))
}

// SetClockRate makes the machine's clock run at 1+pace times the rate of virtual time from now on.
func (node *Node) SetClockRate(pace float64) {
	node.paceSetClock, node.paceSetAt, node.pace = node.Now(), node.sim.now, pace
}

// WallTime returns the machine's wall clock, which starts at the beginning of 2026.
func (node *Node) WallTime() time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(node.sim.now + node.Skew)
}

// RandN returns a random number in [0, below) from the simulator's seeded source.
func (node *Node) RandN(below int64) int64 { return node.sim.Draw(below) }

// Ended always returns false: a task of an ended incarnation never runs, so it can not call Ended.
func (node *Node) Ended() bool { return false }

// Go starts a task on the node.
func (node *Node) Go(run func()) {
	sim := node.sim
	sim.schedule(0, node, func() {
		started := &task{node: node, incarnation: node.incarnation, wake: make(chan bool)}
		sim.running = started
		go func() {
			defer func() {
				if recovered := recover(); recovered != nil {
					stack := make([]byte, 4096)
					sim.panicked = fmt.Sprintf("task on %s: %v\n%s", node.Name, recovered, stack[:runtime.Stack(stack, false)])
				}
				sim.yielded <- struct{}{}
			}()
			run()
		}()
		<-sim.yielded
		sim.running = nil
	})
}

// block returns the token to the scheduler and blocks until the task is resumed.
func (task *task) block() {
	sim := task.node.sim
	sim.blocked[task] = true
	sim.yielded <- struct{}{}
	if !<-task.wake {
		runtime.Goexit()
	}
}

// resume hands the token to a parked task and waits until the task returns it.
func (sim *Sim) resume(task *task) {
	sim.running = task
	delete(sim.blocked, task)
	task.wake <- true
	<-sim.yielded
	sim.running = nil
}

// Close ends all tasks, including those of killed processes, which stay parked until then. Without
// Close the goroutines would keep a finished simulation in memory.
func (sim *Sim) Close() {
	sim.closed = true
	for task := range sim.blocked {
		task.wake <- false
		<-sim.yielded
	}
	sim.blocked, sim.queue = nil, nil
}

// Kill ends the node's process at once. Writes that were not synced are lost.
func (sim *Sim) Kill(name string) {
	node := sim.nodes[name]
	if !node.up {
		return
	}
	node.up = false
	node.incarnation++
	node.services = nil
	node.frozenUntil = 0
	node.Disk.crash()
	// Parked tasks stay parked until Close. They use only memory, and ending them now would run
	// their deferred functions, which a killed process never does.
}

// ScheduleKill schedules the kill of a process for when the running task yields. It calls OnKill if that
// is set, and Kill otherwise.
func (sim *Sim) ScheduleKill(name string) {
	sim.At(0, func() {
		if sim.OnKill != nil {
			sim.OnKill(name)
		} else {
			sim.Kill(name)
		}
	})
}

// Start starts a new incarnation of the node's process. It panics if the process is running.
func (sim *Sim) Start(name string, run func(node *Node)) {
	node := sim.Node(name)
	if node.up {
		panic("sim: node is already running: " + name)
	}
	node.up = true
	node.incarnation++
	node.Go(func() { run(node) })
}

// Up reports whether the node's process is running.
func (node *Node) Up() bool { return node.up }

// Freeze suspends the machine's tasks for the duration; its clock goes on.
func (sim *Sim) Freeze(name string, duration time.Duration) {
	sim.nodes[name].frozenUntil = sim.now + duration
}

// Frozen reports whether the machine is suspended.
func (node *Node) Frozen() bool { return node.frozenUntil > node.sim.now }

type mailbox struct {
	node        *Node
	incarnation int
	messages    []any
	waiting     *task
	waitNumber  int
}

// Mailbox returns a new mailbox that belongs to the node's present incarnation.
func (node *Node) Mailbox() loop.Mailbox { return &mailbox{node: node, incarnation: node.incarnation} }

func (box *mailbox) Put(message any) {
	box.messages = append(box.messages, message)
	if box.waiting != nil {
		box.scheduleResume(0)
	}
}

// scheduleResume schedules the resumption of the waiting task after the delay. The wait number makes
// a wakeup a no-op if its wait has ended by then.
func (box *mailbox) scheduleResume(delay time.Duration) {
	waitNumber := box.waitNumber
	if box.node.pace != 0 {
		// The delay is in time of the machine's own clock. Rounding up makes sure that the task
		// does not wake too early by that clock.
		delay = time.Duration(float64(delay)/(1+box.node.pace)) + 1
	}
	box.node.sim.schedule(delay, box.node, func() {
		if box.waiting == nil || box.waitNumber != waitNumber || box.incarnation != box.node.incarnation {
			return
		}
		waiter := box.waiting
		box.waiting = nil
		box.waitNumber++
		box.node.sim.resume(waiter)
	})
}

func (box *mailbox) Take(timeout time.Duration) (any, bool) {
	if box.node.sim.closed {
		runtime.Goexit() // called from a deferred function of a task that Close ends
	}
	if len(box.messages) == 0 && timeout > 0 {
		waiter := box.node.sim.running
		if waiter == nil {
			panic("sim: a mailbox can only be waited on from a task")
		}
		if waiter.incarnation != box.node.incarnation {
			waiter.block() // the task's incarnation was killed: block never returns
		}
		box.waitNumber++
		box.waiting = waiter
		if timeout < loop.Forever/2 {
			box.scheduleResume(timeout)
		}
		waiter.block()
	}
	if len(box.messages) == 0 {
		return nil, false
	}
	message := box.messages[0]
	box.messages = box.messages[1:]
	return message, true
}

// Point marks a point in the code where a fault can be injected. It calls the hook that is set for
// the name with the number of times that the point was passed, including this one.
func (sim *Sim) Point(node *Node, name string) {
	sim.points[name]++
	if hook := sim.hooks[name]; hook != nil {
		hook(node, sim.points[name])
	}
}

// SetHook sets the function that is called each time the point is passed.
func (sim *Sim) SetHook(name string, hook func(node *Node, count int)) { sim.hooks[name] = hook }

// PointCount returns how often the point was passed.
func (sim *Sim) PointCount(name string) int { return sim.points[name] }

// Crash kills the process of the running task, as if it crashed at this line. It does not return.
func (node *Node) Crash() {
	node.sim.Kill(node.Name)
	node.sim.running.block()
}
