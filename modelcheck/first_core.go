package modelcheck

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"swifttiller/disk"
	"swifttiller/loop"
	"swifttiller/register"
)

// FormingWorlds are the worlds of the first start, by name. Two daemons form the first core from
// three seeds, which lose power or a disk meanwhile, and one of the daemons may end.
//
// Invariants: at most one core is ever installed at a majority of its members. As soon as the seeds
// are up and reach each other, one is.
var FormingWorlds = map[string]World{
	"first-core": {
		Name: "first-core", Crashes: 1, Wipes: 1, Delays: 1, Stores: []string{"a1", "a2", "a3", "p1"},
		Start: twoDaemonsForm(0, nil),
	},
	"first-core-and-a-lost-disk": {
		Name: "first-core-and-a-lost-disk", Wipes: 1, Delays: 2, Stores: []string{"a1", "a2", "a3"},
		Start: twoDaemonsForm(0, nil),
	},
	// What the daemons propose is accepted at once, and installed only later.
	"first-core-installed-late": {
		Name: "first-core-installed-late", Wipes: 1, Crashes: 1, Stores: []string{"a1", "a2", "a3"},
		Start: twoDaemonsForm(0, func(message *message) bool { return message.method == "Register.Install" && message.from != auditor }),
	},
	// The second daemon finds no core, as the first one's is about to be installed, and its
	// proposal comes after that.
	"first-core-proposed-late": {
		Name: "first-core-proposed-late", Wipes: 1, Crashes: 1, Stores: []string{"a1", "a2", "a3"},
		Start: twoDaemonsForm(timeout/4, func(message *message) bool {
			return message.from == "p1" && message.method == "Register.Install" || message.from == "p2" && message.method == "Register.Propose"
		}),
	},
}

// twoDaemonsForm starts a world in which two daemons form the core, the second one after a delay. The
// selected requests are slow, if any are selected.
func twoDaemonsForm(delay time.Duration, isSlow func(message *message) bool) func(run *Run) Instance {
	return func(run *Run) Instance {
		if isSlow != nil {
			run.transit = slowRequests(isSlow)
		}
		forming := startForming(run, "a1", "a2", "a3")
		forming.form("p1", 0)
		forming.form("p2", delay)
		return forming
	}
}

// maxFormAttempts bounds the attempts of a daemon to form the first core.
const maxFormAttempts = 6

// forming is the instance of a world of the first start.
type forming struct {
	run    *Run
	seeds  []string
	starts int
	// formed is the core that was installed at a majority of its members, if any was.
	formed register.Core
	// attempts counts the daemons that still try, learned has the cores that the others ended with.
	attempts int
	learned  map[string]register.Core
}

// startForming starts blank acceptors at the seeds.
func startForming(run *Run, seeds ...string) *forming {
	forming := &forming{run: run, seeds: seeds, learned: map[string]register.Core{}}
	for _, name := range seeds {
		forming.Restart(run, name)
	}
	return forming
}

// Restart starts the node's acceptor from its disk, or as a blank one. Daemons that form the core
// are not started again.
func (forming *forming) Restart(run *Run, name string) {
	if !slices.Contains(forming.seeds, name) {
		return
	}
	forming.starts++
	identity := fmt.Sprintf("%s-%d", name, forming.starts)
	node := run.node(name)
	node.Go(func() {
		acceptor, err := register.OpenAcceptor(disk.Options{World: node, Folder: node.folder, LogBytes: 1 << 20}, identity)
		if err != nil {
			panic(err)
		}
		node.services["Register"] = acceptor
	})
	run.settle()
}

// slowTransit is how long a slow request is in transit; its caller still waits then.
const slowTransit = timeout * 3 / 8

// slowRequests returns the transit times of messages when the selected requests are slow.
func slowRequests(isSlow func(message *message) bool) func(message *message) time.Duration {
	return func(message *message) time.Duration {
		if message.isReply || !isSlow(message) {
			return 0
		}
		return slowTransit
	}
}

// form starts a daemon that tries, after a delay, to form the first core until it has.
func (forming *forming) form(name string, after time.Duration) {
	forming.attempts++
	node := forming.run.node(name)
	client := &register.Client{Options: register.Options{World: node, Net: network{node}, Self: name, Patience: timeout}}
	node.Go(func() {
		defer func() { forming.attempts-- }()
		loop.Sleep(node, after)
		for range maxFormAttempts {
			core, err := client.Init(forming.seeds)
			var exists *register.CoreExistsError
			if err == nil || errors.As(err, &exists) {
				forming.learned[name] = core
				return
			}
			loop.Sleep(node, timeout)
		}
	})
}

// statuses returns what the running acceptors hold.
func (forming *forming) statuses() (all []register.Status) {
	for _, name := range forming.seeds {
		if acceptor, isUp := forming.run.node(name).services["Register"].(*register.Acceptor); isUp {
			var status register.Status
			_ = acceptor.Describe(struct{}{}, &status)
			all = append(all, status)
		}
	}
	return all
}

// isSameCore reports whether two cores have the same epoch and members.
func isSameCore(a, b register.Core) bool {
	return a.Epoch == b.Epoch && slices.EqualFunc(a.Members, b.Members, func(one, other register.Member) bool { return one.ID == other.ID })
}

// installed returns the core that is installed at a majority of its members, if one is.
func (forming *forming) installed() (register.Core, bool) {
	all := forming.statuses()
	for _, holder := range all {
		count := 0
		for _, other := range all {
			if isSameCore(holder.Core, other.Core) && holder.Core.Has(other.ID) {
				count++
			}
		}
		if holder.Core.Epoch > 0 && count >= holder.Core.Majority() {
			return holder.Core, true
		}
	}
	return register.Core{}, false
}

// IsOver reports that no daemon tries any more.
func (forming *forming) IsOver(*Run) bool { return forming.attempts == 0 }

// Check returns an error if another core is installed at a majority of its members than before.
func (forming *forming) Check(*Run) error {
	core, isFormed := forming.installed()
	switch {
	case !isFormed:
		return nil
	case forming.formed.Epoch > 0 && !isSameCore(forming.formed, core):
		return fmt.Errorf("two first cores were formed: %v and %v", forming.formed, core)
	}
	forming.formed = core
	return nil
}

// auditor is the daemon that forms the core at the end of a run.
const auditor = "auditor"

// End lets one more daemon form the core, and returns an error unless that ends with the core that
// is installed at a majority of its members.
func (forming *forming) End(run *Run) error {
	forming.form(auditor, 0)
	run.settle()
	run.drain(func() bool { return forming.learned[auditor].Epoch > 0 })
	core, isFormed := forming.installed()
	if !isFormed || !isSameCore(core, forming.learned[auditor]) {
		return fmt.Errorf("the first core is not formed, though all seeds are up: %v was found, %+v", forming.learned[auditor], forming.statuses())
	}
	return forming.Check(run)
}

// Observed returns the number of daemons that still try, which the state of the nodes doesn't show.
func (forming *forming) Observed() string { return fmt.Sprint(forming.attempts) }
