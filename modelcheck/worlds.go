package modelcheck

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"swifttiller/disk"
	"swifttiller/register"
)

// timeout of the proposers' operations. Its value does not matter, as time passes only by steps.
const timeout = 2 * time.Second

// key is the key of the register that the worlds read and write.
const key = "config"

// Worlds are the worlds of registers, by name.
var Worlds = map[string]World{
	"two-writers": {
		Name: "two-writers", Crashes: 1, Stores: []string{"a1", "a2", "a3"},
		Start: func(run *Run) Instance {
			cluster := start(run, "a1", "a2", "a3")
			cluster.write("p1", "x")
			cluster.write("p2", "y")
			return cluster
		},
	},
	"two-writers-any-order": {
		Name: "two-writers-any-order", OrdersOnly: true, Symmetric: []string{"a1", "a2", "a3"},
		Start: func(run *Run) Instance {
			cluster := start(run, "a1", "a2", "a3")
			cluster.write("p1", "x")
			cluster.write("p2", "y")
			return cluster
		},
	},
	"writer-and-reader-any-order": {
		Name: "writer-and-reader-any-order", OrdersOnly: true, Symmetric: []string{"a1", "a2", "a3"},
		Start: func(run *Run) Instance {
			cluster := start(run, "a1", "a2", "a3")
			cluster.write("p1", "x")
			cluster.read("p2", 1)
			return cluster
		},
	},
	"writer-and-reader": {
		Name: "writer-and-reader", Crashes: 1, Stores: []string{"a1", "a2", "a3"},
		Start: func(run *Run) Instance {
			cluster := start(run, "a1", "a2", "a3")
			cluster.write("p1", "x")
			cluster.read("p2", 2)
			return cluster
		},
	},
	"replaced-member": {
		Name: "replaced-member", Crashes: 1, Stores: []string{"a1", "a2", "a3"},
		Start: func(run *Run) Instance {
			cluster := start(run, "a1", "a2", "a3")
			cluster.open("a4")
			cluster.write("p1", "x")
			cluster.replace("p2", "a3", "a4")
			return cluster
		},
	},
	"writes-during-replacement": {
		Name: "writes-during-replacement",
		Start: func(run *Run) Instance {
			cluster := start(run, "a1", "a2", "a3")
			cluster.open("a4")
			cluster.write("p1", "x", "y", "z")
			cluster.replace("p2", "a3", "a4")
			return cluster
		},
	},
	"writes-during-replacement-in-even-core": {
		Name: "writes-during-replacement-in-even-core",
		Start: func(run *Run) Instance {
			cluster := start(run, "a1", "a2", "a3", "a4")
			cluster.open("a5")
			cluster.write("p1", "x", "y", "z")
			cluster.replace("p2", "a4", "a5")
			return cluster
		},
	},
	"replaced-member-read": {
		Name: "replaced-member-read", Crashes: 0, Stores: []string{"a1", "a2", "a3"},
		Start: func(run *Run) Instance {
			cluster := start(run, "a1", "a2", "a3")
			cluster.open("a4")
			cluster.write("p1", "x")
			cluster.replace("p2", "a3", "a4")
			cluster.read("p3", 1)
			return cluster
		},
	},
	// Once the membership change is complete, any one disk can be lost: the copies of the remaining
	// members and of the new member are enough.
	"disk-lost-after-replacement": {
		Name: "disk-lost-after-replacement", Stores: []string{"a1", "a2", "a4"},
		Start: func(run *Run) Instance {
			cluster := start(run, "a1", "a2", "a3")
			cluster.open("a4")
			cluster.lostAfterReplacement = "a1"
			cluster.writeThenReplace("p1", "x", "a3", "a4")
			return cluster
		},
	},
}

// cluster is the instance of a register world: a core of acceptors and the history of its clients.
type cluster struct {
	run            *Run
	core           register.Core
	acceptorStarts int
	clientsLeft    int // clients that have not finished
	history        []porcupine.Operation
	unreturned     []*operation
	steps          int64
	// lostAfterReplacement is a node that loses its disk once the core's membership change is
	// complete; isReplaced reports that it is.
	lostAfterReplacement string
	isReplaced           bool
}

// operation is a client's call: an append of the tag, or a read if the tag is empty.
type operation struct{ tag string }

// outcome is the result of a call. isUnknown marks a write that may or may not have taken effect.
type outcome struct {
	content   string
	isUnknown bool
}

// appendModel is the sequential specification of a register to which tags are appended. A write with
// an unknown outcome may or may not take effect.
var appendModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		before, call, result := state.(string), input.(operation), output.(outcome)
		after := before + call.tag
		switch {
		case result.isUnknown:
			return []any{before, after}
		case result.content == after:
			return []any{after}
		}
		return nil
	},
}

// start starts acceptors and creates the first core of them.
func start(run *Run, names ...string) *cluster {
	cluster := &cluster{run: run}
	for _, name := range names {
		cluster.open(name)
	}
	client := run.node("init")
	client.Go(func() {
		core, err := cluster.proposer("init").Init(names)
		if err != nil {
			panic(err)
		}
		cluster.core = core
	})
	run.settle()
	if !run.drain(func() bool { return cluster.core.Epoch > 0 }) {
		panic("modelcheck: creating the first core did not complete")
	}
	return cluster
}

// open starts an acceptor on the node. It restores the acceptor from the node's disk, or gives it a
// new identity if the disk is empty.
func (cluster *cluster) open(name string) {
	cluster.acceptorStarts++
	identity := fmt.Sprintf("%s-%d", name, cluster.acceptorStarts)
	node := cluster.run.node(name)
	node.Go(func() {
		acceptor, err := register.OpenAcceptor(disk.Options{World: node, Folder: node.folder, LogBytes: 1 << 20}, identity)
		if err != nil {
			panic(err)
		}
		acceptor.Name = name
		node.services["Register"] = acceptor
	})
	cluster.run.settle()
}

// Restart starts the node's acceptor again from its disk.
func (cluster *cluster) Restart(_ *Run, name string) { cluster.open(name) }

// proposer returns a proposer on the node that knows the first core.
func (cluster *cluster) proposer(name string) *register.Client {
	node := cluster.run.node(name)
	proposer := &register.Client{Options: register.Options{World: node, Net: network{node}, Self: name, Patience: timeout}}
	proposer.LearnCore(cluster.core)
	return proposer
}

// client runs the work in a task on the node.
func (cluster *cluster) client(name string, work func(proposer *register.Client)) {
	cluster.clientsLeft++
	proposer := cluster.proposer(name)
	cluster.run.node(name).Go(func() {
		work(proposer)
		cluster.clientsLeft--
	})
}

// timestamp returns a logical time that orders calls and returns, as the run's clock can stand still.
func (cluster *cluster) timestamp() int64 {
	cluster.steps++
	return cluster.steps
}

// recordCall adds a call that has returned to the history.
func (cluster *cluster) recordCall(call operation, begin int64, result outcome) {
	end := cluster.timestamp()
	if result.isUnknown {
		end = 1 << 60 // it can take effect at any time after the call
	}
	cluster.history = append(cluster.history, porcupine.Operation{ClientId: len(cluster.history), Input: call, Call: begin, Output: result, Return: end})
}

// append appends the tag with the proposer and records the outcome.
func (cluster *cluster) append(proposer *register.Client, tag string) {
	begin := cluster.timestamp()
	cluster.unreturned = append(cluster.unreturned, &operation{tag})
	pending := cluster.unreturned[len(cluster.unreturned)-1]
	value, err := proposer.Update(key, func(value register.Value) ([]byte, error) {
		return append(append([]byte{}, value.Data...), tag...), nil
	})
	pending.tag = "" // it has returned
	switch {
	case errors.Is(err, register.ErrUncertain):
		cluster.recordCall(operation{tag}, begin, outcome{isUnknown: true})
	case err == nil:
		// The value can already contain later appends; up to its own tag it is the result of this one.
		content := string(value.Data)
		cluster.recordCall(operation{tag}, begin, outcome{content: content[:strings.Index(content, tag)+len(tag)]})
	}
	// After any other error nothing was written, and the history does not contain the call.
}

// write runs a client that appends the tags, one after the other.
func (cluster *cluster) write(name string, tags ...string) {
	cluster.client(name, func(proposer *register.Client) {
		for _, tag := range tags {
			cluster.append(proposer, tag)
		}
	})
}

// read runs a client that reads the register the given number of times.
func (cluster *cluster) read(name string, times int) {
	cluster.client(name, func(proposer *register.Client) {
		for range times {
			begin := cluster.timestamp()
			if value, err := proposer.Read(key); err == nil {
				cluster.recordCall(operation{}, begin, outcome{content: string(value.Data)})
			}
		}
	})
}

// change replaces the old member of the core by the added node, whose acceptor must be running.
func (cluster *cluster) change(proposer *register.Client, old, added string) error {
	newcomer := register.Member{ID: cluster.run.node(added).services["Register"].(*register.Acceptor).ID(), Address: added}
	_, err := proposer.ChangeCore(func(core register.Core) (members []register.Member, err error) {
		for _, member := range core.Members {
			if member.Address == old {
				member = newcomer
			}
			members = append(members, member)
		}
		return members, nil
	})
	return err
}

func (cluster *cluster) replace(name, old, added string) {
	cluster.client(name, func(proposer *register.Client) { _ = cluster.change(proposer, old, added) })
}

func (cluster *cluster) writeThenReplace(name, tag, old, added string) {
	cluster.client(name, func(proposer *register.Client) {
		cluster.append(proposer, tag)
		cluster.isReplaced = cluster.change(proposer, old, added) == nil
	})
}

// IsOver reports that all clients have finished.
func (cluster *cluster) IsOver(*Run) bool { return cluster.clientsLeft == 0 }

// Check returns an error if an acceptor has accepted a ballot that is higher than the ballot that it
// promised.
func (cluster *cluster) Check(run *Run) error {
	for name, node := range run.nodes {
		acceptor, isAcceptor := node.services["Register"].(*register.Acceptor)
		if !isAcceptor {
			continue
		}
		cells := acceptor.Cells()
		for cellKey, cell := range cells {
			if cell.Promised.Less(cell.Accepted) {
				return fmt.Errorf("%s: %s: the accepted ballot is higher than the promised one", name, cellKey)
			}
		}
	}
	return nil
}

// End reads the register with a proposer that knows only the first core, delivering the messages in
// flight meanwhile. It returns an error if the read does not complete or the history is not
// linearizable.
func (cluster *cluster) End(run *Run) error {
	if cluster.lostAfterReplacement != "" {
		if !cluster.isReplaced {
			return nil
		}
		run.crash(cluster.lostAfterReplacement)
		run.node(cluster.lostAfterReplacement).folder = newFolder()
	}
	for _, pending := range cluster.unreturned {
		if pending.tag != "" { // an append that never returned; it may have taken effect
			cluster.recordCall(*pending, 0, outcome{isUnknown: true})
		}
	}
	isRead := false
	cluster.client("auditor", func(proposer *register.Client) {
		for attempt := 0; attempt < 20 && !isRead; attempt++ {
			begin := cluster.timestamp()
			if value, err := proposer.Read(key); err == nil {
				isRead = true
				cluster.recordCall(operation{}, begin, outcome{content: string(value.Data)})
			}
		}
	})
	run.settle()
	if !run.drain(func() bool { return isRead }) {
		return errors.New("the final read of the register does not complete")
	}
	if !porcupine.CheckOperations(appendModel.ToModel(), cluster.history) {
		return fmt.Errorf("the history is not linearizable: %s", cluster.formatHistory())
	}
	return nil
}

// Observed returns the history so far, with the appends that have not returned.
func (cluster *cluster) Observed() string {
	out := cluster.formatHistory()
	for _, pending := range cluster.unreturned {
		out += " " + pending.tag
	}
	return out
}

// formatHistory returns the history as text.
func (cluster *cluster) formatHistory() string {
	var out []string
	for _, recorded := range cluster.history {
		call, result := recorded.Input.(operation), recorded.Output.(outcome)
		line := fmt.Sprintf("read gave %q", result.content)
		switch {
		case call.tag != "" && result.isUnknown:
			line = fmt.Sprintf("append %s: unknown", call.tag)
		case call.tag != "":
			line = fmt.Sprintf("append %s gave %q", call.tag, result.content)
		}
		out = append(out, fmt.Sprintf("%s (%d to %d)", line, recorded.Call, recorded.Return))
	}
	return strings.Join(out, "; ")
}
