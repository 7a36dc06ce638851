package modelcheck

import (
	"hash/fnv"
	"io"
	"runtime"
	"time"

	"swifttiller/loop"
)

// Run is one execution of a world: tasks that run one at a time, messages in flight, and a clock that
// only certain steps advance.
//
// Invariant: at any moment either the scheduler or exactly one task runs.
type Run struct {
	now      time.Duration
	nodes    map[string]*node
	ready    []*task
	waiting  []*task
	inFlight []*message
	// delayed are messages in transit that can't be delivered before their due time.
	delayed []*message
	// isolated are nodes that receive no message that is sent after their isolation.
	isolated map[string]bool
	// symmetric are interchangeable nodes; see World.Symmetric.
	symmetric []string
	// isLate, if set, selects the messages that arrive just before their callers time out.
	isLate func(message *message) bool
	// transit, if set, returns for how long a message is in transit at least.
	transit func(message *message) time.Duration
	// isLost, if set, selects the messages that are lost when they are sent.
	isLost   func(message *message) bool
	sent     int
	yielded  chan struct{}
	panicked any
	// crashes, wipes, delays and isolations count the faults of the run so far; the world bounds
	// them.
	crashes, wipes, delays, isolations int
}

// node is a simulated process of a run; incarnation counts its crashes, and its end.
type node struct {
	run         *Run
	name        string
	incarnation int
	draws       int64
	folder      *folder
	// services are the node's RPC servers, by the part of a method's name before the dot.
	services map[string]any
	// rate is the rate of the node's clock relative to the run's; zero means the same rate.
	rate float64
	// history is a hash of all inputs of the node in their order. The behavior of its tasks depends
	// on nothing else.
	history uint64
	// inputs lists what history hashes. It is kept only in runs that have symmetric nodes.
	inputs []string
}

// task is a goroutine that runs only while the scheduler waits for it.
type task struct {
	node        *node
	incarnation int
	wake        chan struct{}
	mailbox     *mailbox // the mailbox that it waits on
	deadline    time.Duration
	timedOut    bool
}

func newRun() *Run {
	return &Run{nodes: map[string]*node{}, isolated: map[string]bool{}, yielded: make(chan struct{})}
}

func (run *Run) node(name string) *node {
	if run.nodes[name] == nil {
		run.nodes[name] = &node{run: run, name: name, folder: newFolder(), services: map[string]any{}}
	}
	return run.nodes[name]
}

// recordInput adds an input of the node to its history.
func (node *node) recordInput(input string) {
	sum := fnv.New64a()
	var previous [8]byte
	for index := range previous {
		previous[index] = byte(node.history >> (8 * index))
	}
	sum.Write(previous[:])
	_, _ = io.WriteString(sum, input)
	node.history = sum.Sum64()
	if len(node.run.symmetric) > 0 {
		node.inputs = append(node.inputs, input)
	}
}

// Now returns the node's clock.
func (node *node) Now() time.Duration {
	if node.rate == 0 {
		return node.run.now
	}
	return time.Duration(float64(node.run.now) * node.rate)
}

// deadline returns the time on the run's clock when the span has passed by the node's clock.
func (node *node) deadline(span time.Duration) time.Duration {
	switch {
	case node.rate > 0 && span < loop.Forever/2:
		return node.run.now + time.Duration(float64(span)/node.rate) + 1
	case span < loop.Forever-node.run.now:
		return node.run.now + span
	}
	return loop.Forever
}

// WallTime returns a wall clock that advances with the run's clock.
func (node *node) WallTime() time.Time { return time.Unix(0, 0).Add(node.run.now) }

// RandN returns deterministic numbers in [0, below) that differ between nodes and between draws.
func (node *node) RandN(below int64) int64 {
	if below <= 1 {
		return 0
	}
	node.draws++
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, node.name)
	return int64((sum.Sum64()>>1 + uint64(node.draws)*0x9e3779b97f4a7c15>>1) % uint64(below))
}

// Ended always returns false: a task of an ended incarnation never returns from waiting.
func (node *node) Ended() bool { return false }

// Go starts a task of the node's present incarnation.
func (node *node) Go(work func()) {
	task := &task{node: node, incarnation: node.incarnation, wake: make(chan struct{})}
	run := node.run
	run.ready = append(run.ready, task)
	go func() {
		defer func() {
			if recovered := recover(); recovered != nil {
				run.panicked = recovered
			}
			run.yielded <- struct{}{}
		}()
		<-task.wake
		if task.isOver() {
			return
		}
		work()
	}()
}

func (task *task) isOver() bool { return task.incarnation != task.node.incarnation }

// Mailbox returns a new mailbox that belongs to the node's present incarnation.
func (node *node) Mailbox() loop.Mailbox { return &mailbox{node: node, incarnation: node.incarnation} }

type mailbox struct {
	node        *node
	incarnation int
	messages    []any
	waiting     *task
}

// Put adds a message and wakes the waiting task.
func (box *mailbox) Put(message any) {
	box.messages = append(box.messages, message)
	if box.waiting != nil {
		box.node.run.makeReady(box.waiting)
		box.waiting = nil
	}
}

// Take waits for a message until the timeout.
func (box *mailbox) Take(timeout time.Duration) (any, bool) {
	run := box.node.run
	if len(box.messages) == 0 {
		if timeout <= 0 {
			return nil, false
		}
		task := &task{node: box.node, incarnation: box.incarnation, wake: make(chan struct{}), mailbox: box, deadline: box.node.deadline(timeout)}
		box.waiting = task
		run.waiting = append(run.waiting, task)
		run.yielded <- struct{}{}
		<-task.wake
		if task.isOver() {
			runtime.Goexit()
		}
		if task.timedOut {
			return nil, false
		}
	}
	message := box.messages[0]
	box.messages = box.messages[1:]
	return message, true
}

// makeReady moves a task from the waiting tasks to the ready ones.
func (run *Run) makeReady(task *task) {
	for index, other := range run.waiting {
		if other == task {
			run.waiting = append(run.waiting[:index], run.waiting[index+1:]...)
			break
		}
	}
	run.ready = append(run.ready, task)
}

// settle runs the ready tasks until every task waits or has ended.
func (run *Run) settle() {
	for len(run.ready) > 0 {
		task := run.ready[0]
		run.ready = run.ready[1:]
		task.wake <- struct{}{}
		<-run.yielded
		if run.panicked != nil {
			panic(run.panicked)
		}
	}
}

// nextDeadline returns the earliest time at which a waiting task times out or a delayed message is
// due; false if there is none.
func (run *Run) nextDeadline() (time.Duration, bool) {
	earliest := loop.Forever
	for _, task := range run.waiting {
		earliest = min(earliest, task.deadline)
	}
	for _, message := range run.delayed {
		earliest = min(earliest, message.due)
	}
	return earliest, earliest < loop.Forever
}

// tick advances the clock to the next deadline.
func (run *Run) tick() {
	deadline, isPending := run.nextDeadline()
	if !isPending {
		return
	}
	run.now = deadline
	run.releaseDelayed()
	var due []*task
	for _, task := range run.waiting {
		if task.deadline <= deadline {
			due = append(due, task)
		}
	}
	for _, task := range due {
		task.timedOut = true
		task.mailbox.waiting = nil
		task.node.recordInput("timeout")
		run.makeReady(task)
	}
}

// end ends all tasks of the run.
func (run *Run) end() {
	for _, node := range run.nodes {
		node.incarnation++
	}
	for len(run.waiting) > 0 {
		run.makeReady(run.waiting[0])
	}
	run.settle()
}
