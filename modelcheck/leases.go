package modelcheck

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"swifttiller/disk"
	"swifttiller/lease"
	"swifttiller/register"
	"swifttiller/routing"
	"swifttiller/session"
)

// LeaseWorlds are the worlds of leases, by name: data daemons hold leases, control daemons issue
// them, and the configuration changes meanwhile. All of these run the product's own code.
//
// Invariant: once a change is acknowledged, no daemon serves under an older configuration, as long
// as the clocks of the daemons drift by no more than lease.MaxClockDrift.
var LeaseWorlds = map[string]World{
	"lease-and-change": {
		Name: "lease-and-change", Delays: 2, Isolations: 1, Isolated: []string{"d1", "c1"},
		Start: func(run *Run) Instance {
			fleet := startLeases(run, leaseLength)
			fleet.issuer("c1")
			fleet.holder("d1", "c1")
			fleet.change("c1", document(leaseLength, 2))
			return fleet
		},
	},
	// Each grant arrives just before its holder times out, and the holder's clock is as slow as
	// the bound on drift allows.
	"lease-answers-late": {
		Name: "lease-answers-late", Delays: 1, Isolations: 1, Isolated: []string{"d1"},
		Start: func(run *Run) Instance {
			fleet := startLeases(run, leaseLength)
			fleet.issuer("c1")
			fleet.issuer("c2")
			run.node("d1").rate = 1 / (1 + lease.MaxClockDrift)
			fleet.holder("d1", "c2")
			run.isLate = func(message *message) bool { return message.isReply && message.method == "Permit.Renew" }
			fleet.change("c1", document(leaseLength, 2))
			return fleet
		},
	},
	// The change shortens the leases: the first configuration has leases of twice the length.
	"lease-shortened": {
		Name: "lease-shortened", Delays: 1, Isolations: 1, Isolated: []string{"d1"},
		Start: func(run *Run) Instance {
			fleet := startLeases(run, 2*leaseLength)
			fleet.issuer("c1")
			fleet.learn("c1")
			fleet.issuer("c2")
			fleet.holder("d1", "c2")
			fleet.change("c1", document(leaseLength, 2))
			return fleet
		},
	},
	// As above, but the control daemon that makes the change has not read the first configuration.
	"lease-shortened-unseen": {
		Name: "lease-shortened-unseen", Delays: 1, Isolations: 1, Isolated: []string{"d1"},
		Start: func(run *Run) Instance {
			fleet := startLeases(run, 2*leaseLength)
			fleet.issuer("c1")
			fleet.issuer("c2")
			fleet.holder("d1", "c2")
			fleet.change("c1", document(leaseLength, 2))
			return fleet
		},
	},
	// A daemon requests its first lease while the configuration changes, and the grant arrives late.
	"lease-first-and-change": {
		Name: "lease-first-and-change", Delays: 1, Isolations: 1, Isolated: []string{"d1"},
		Start: func(run *Run) Instance {
			fleet := startLeases(run, leaseLength)
			fleet.issuer("c1")
			fleet.issuer("c2")
			run.isLate = func(message *message) bool { return message.isReply && message.method == "Permit.Renew" }
			fleet.seeds["d1"] = "c2"
			fleet.Restart(run, "d1")
			fleet.change("c1", document(leaseLength, 2))
			return fleet
		},
	},
	// The holder restarts while a change waits for the acknowledgement of its previous incarnation.
	"lease-of-a-restarted-holder": {
		Name: "lease-of-a-restarted-holder", Delays: 1, Isolations: 1, Isolated: []string{"d1"}, Crashes: 1, Stores: []string{"d1"},
		Start: func(run *Run) Instance {
			fleet := startLeases(run, leaseLength)
			fleet.issuer("c1")
			fleet.holder("d1", "c1")
			fleet.change("c1", document(leaseLength, 2))
			return fleet
		},
	},
	// Two control daemons change the configuration at the same time.
	"lease-and-two-changes": {
		Name: "lease-and-two-changes", Delays: 1, Isolations: 1, Isolated: []string{"d1"},
		Start: func(run *Run) Instance {
			fleet := startLeases(run, leaseLength)
			fleet.issuer("c1")
			fleet.issuer("c2")
			fleet.holder("d1", "c1")
			fleet.change("c1", document(leaseLength, 2))
			fleet.change("c1", document(leaseLength, 3))
			fleet.change("c2", document(leaseLength, 4))
			return fleet
		},
	},
}

// leaseLength is the length of leases in most worlds.
const leaseLength = 1200 * time.Millisecond

// document returns a configuration with the length of leases and the number as its label.
func document(length time.Duration, number int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"label":%d,"whole":{"limits":{"permit_ms":%d}},"regions":{"east":{"platform":"http://east","zones":{"east-1":{}}}}}`, number, length.Milliseconds()))
}

// leaseFleet is the instance of a lease world: a core of one acceptor, lease issuers, and lease
// holders.
type leaseFleet struct {
	run           *Run
	core          register.Core
	issuers       map[string]*lease.Issuer
	holders       map[string]*lease.Holder
	seeds         map[string]string // control daemon to connect to, by holder
	servedVersion map[string]uint64 // highest version served under, by holder's incarnation
	// acknowledged is the highest acknowledged version; changes counts the unfinished changes.
	acknowledged uint64
	changes      int
	// observeUntil is when the run can end once the changes are done.
	observeUntil time.Duration
}

// startLeases creates a core that holds a configuration with the length of leases.
func startLeases(run *Run, length time.Duration) *leaseFleet {
	fleet := &leaseFleet{run: run, issuers: map[string]*lease.Issuer{}, holders: map[string]*lease.Holder{}, seeds: map[string]string{}, servedVersion: map[string]uint64{}}
	store := run.node("a1")
	store.Go(func() {
		acceptor, err := register.OpenAcceptor(disk.Options{World: store, Folder: store.folder, LogBytes: 1 << 20}, "a1-1")
		if err != nil {
			panic(err)
		}
		store.services["Register"] = acceptor
	})
	run.settle()
	initializer := run.node("init")
	isReady := false
	initializer.Go(func() {
		proposer := fleet.proposer("init")
		core, err := proposer.Init([]string{"a1"})
		if err != nil {
			panic(err)
		}
		fleet.core = core
		_, err = proposer.Update(lease.ConfigKey, func(register.Value) ([]byte, error) {
			return lease.Config{Document: document(length, 1)}.Pack()
		})
		isReady = err == nil
	})
	run.settle()
	if !run.drain(func() bool { return isReady }) {
		panic("modelcheck: writing the first configuration did not complete")
	}
	return fleet
}

// proposer returns a register client of the node, which knows the core if there is one yet.
func (fleet *leaseFleet) proposer(name string) *register.Client {
	node := fleet.run.node(name)
	proposer := &register.Client{Options: register.Options{World: node, Net: network{node}, Self: name, Patience: timeout}}
	if fleet.core.Epoch > 0 {
		proposer.LearnCore(fleet.core)
	}
	return proposer
}

// leaseService is the RPC service of a control daemon for lease holders.
type leaseService struct{ issuer *lease.Issuer }

// Renew grants or extends a lease.
func (service leaseService) Renew(request lease.Request, grant *lease.Grant) error {
	return service.issuer.Renew(request, grant)
}

// Fetch returns a configuration.
func (service leaseService) Fetch(request lease.FetchRequest, update *lease.ConfigUpdate) error {
	return service.issuer.Fetch(request, update)
}

// issuer starts a control daemon that issues leases.
func (fleet *leaseFleet) issuer(name string) {
	node := fleet.run.node(name)
	node.Go(func() {
		proposer := fleet.proposer(name)
		table := session.NewTable(session.Options{World: node, Net: network{node}, Seeds: func() []string { return nil }, SessionTimeout: func() time.Duration { return leaseLength }, Registers: proposer})
		issuer := &lease.Issuer{IssuerOptions: lease.IssuerOptions{
			World: node, Net: network{node}, Registers: proposer, Table: table,
			ConfirmedAge: func(string, routing.Table) (time.Duration, bool) { return 0, false },
		}}
		fleet.issuers[name] = issuer
		node.services["Permit"] = leaseService{issuer}
	})
	fleet.run.settle()
}

// learn makes the control daemon read the configuration and waits until it has done so.
func (fleet *leaseFleet) learn(name string) {
	isRead := false
	fleet.run.node(name).Go(func() { isRead = fleet.issuers[name].Refresh() == nil })
	fleet.run.settle()
	if !fleet.run.drain(func() bool { return isRead }) {
		panic("modelcheck: reading the configuration did not complete")
	}
}

// holder starts a data daemon that requests leases from the control daemon, and waits for the first
// lease.
func (fleet *leaseFleet) holder(name, seed string) {
	fleet.seeds[name] = seed
	fleet.Restart(fleet.run, name)
	if !fleet.run.drain(func() bool { return fleet.holders[name].View().IsValid(fleet.run.node(name).Now()) }) {
		panic("modelcheck: the first lease was not granted")
	}
}

// Restart starts the holder as a new incarnation.
func (fleet *leaseFleet) Restart(run *Run, name string) {
	node := run.node(name)
	node.Go(func() {
		incarnation := fmt.Sprintf("%s-%d", name, node.incarnation)
		holder := lease.NewHolder(lease.HolderOptions{
			World:  node,
			Client: &session.Client{World: node, Net: network{node}, Seeds: func() []string { return []string{fleet.seeds[name]} }, SessionTimeout: func() time.Duration { return leaseLength }},
			Self: func() session.Member {
				return session.Member{Name: name, Incarnation: incarnation, Role: session.Data, Wire: name}
			},
		})
		fleet.holders[name] = holder
		node.services["Permit"] = holder
		holder.Run()
	})
	run.settle()
}

// change makes the control daemon change the configuration, without waiting for the result.
func (fleet *leaseFleet) change(name string, next json.RawMessage) {
	fleet.changes++
	fleet.run.node(name).Go(func() {
		applied, err := fleet.issuers[name].Change(nil, func(config lease.Config) (lease.Config, error) {
			config.Document = next
			return config, nil
		})
		if err == nil {
			fleet.acknowledged = max(fleet.acknowledged, applied.Serial)
		}
		fleet.changes--
		fleet.observeUntil = fleet.run.now + 3*leaseLength
	})
}

// IsOver reports that the changes are done and all leases under older configurations have expired.
func (fleet *leaseFleet) IsOver(run *Run) bool {
	return fleet.changes == 0 && run.now >= fleet.observeUntil
}

// errOldConfig reports a violation of the worlds' invariant.
var errOldConfig = errors.New("old config: a daemon serves under a configuration older than one that was acknowledged")

// Check returns an error if a holder serves under a configuration older than one that was
// acknowledged, or older than one that the same incarnation served under before.
func (fleet *leaseFleet) Check(run *Run) error {
	for name, holder := range fleet.holders {
		node := run.node(name)
		view := holder.View()
		if !view.MayServe(node.Now()) {
			continue
		}
		if view.Serial < fleet.acknowledged {
			return fmt.Errorf("%w: %s serves under version %d, acknowledged version %d", errOldConfig, name, view.Serial, fleet.acknowledged)
		}
		incarnation := fmt.Sprint(name, node.incarnation)
		if view.Serial < fleet.servedVersion[incarnation] {
			return fmt.Errorf("old config: %s went back from version %d to %d", name, fleet.servedVersion[incarnation], view.Serial)
		}
		fleet.servedVersion[incarnation] = view.Serial
	}
	return nil
}

// End waits for the changes to complete and returns an error if they do not.
func (fleet *leaseFleet) End(run *Run) error {
	if !run.drain(func() bool { return fleet.changes == 0 }) {
		return errors.New("a change of the configuration does not complete")
	}
	return fleet.Check(run)
}
