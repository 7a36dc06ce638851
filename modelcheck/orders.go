package modelcheck

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"swifttiller/controlplane"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/settings"
)

// OrderWorlds are the worlds of operators, by name. Operators send orders to the control daemons in
// turn and retry if there is no reply. All but the operators is the product's own code.
//
// Invariants: of two configurations with the same base, at most one is acknowledged. An order that
// took effect is never rejected, however often it is sent. An order that its operator abandoned is
// not executed after the opposite order was acknowledged.
var OrderWorlds = map[string]World{
	"orders-of-two-operators": {
		Name: "orders-of-two-operators", Delays: 1,
		Start: func(run *Run) Instance {
			fleet := startOrders(run)
			fleet.replace("o1", replacement{document(leaseLength, 2), 1}, "c1", "c2")
			fleet.replace("o2", replacement{document(leaseLength+time.Millisecond, 2), 1}, "c2", "c1")
			return fleet
		},
	},
	// The second order is based on the first one, which can still arrive again.
	"orders-on-top-of-each-other": {
		Name: "orders-on-top-of-each-other", Delays: 1,
		Start: func(run *Run) Instance {
			fleet := startOrders(run)
			fleet.replace("o1", replacement{document(leaseLength, 2), 1}, "c1", "c2")
			fleet.replaceOnTop("o2", replacement{document(leaseLength, 3), 2}, "c2")
			return fleet
		},
	},
	// An operator evacuates a zone through a daemon that can't reach the core at that time, gives
	// up, evacuates it through another daemon, and returns the zone to service there.
	"orders-and-their-opposites": {
		Name: "orders-and-their-opposites", Delays: 2, Isolations: 1, Isolated: []string{"c1"},
		Start: func(run *Run) Instance {
			fleet := startOrders(run)
			until := run.now + orderTimeout + 150*time.Millisecond
			run.isLost = func(message *message) bool { return message.from == "c1" && message.to == "a1" && run.now < until }
			fleet.evacuateAndBack("o1", "c1", "c2")
			return fleet
		},
	},
}

// Statuses of replies to orders.
const (
	statusAccepted = 200
	statusRejected = 412
	statusRetry    = 503
)

// orderTimeout is how long an operator waits for a reply; maxAttempts bounds its attempts.
const (
	orderTimeout = time.Second
	maxAttempts  = 8
)

// settleTime is how long End waits for daemons that still execute orders after the operators have
// finished.
const settleTime = 4 * time.Second

// replacement is an order to replace the configuration. BasedOn is the label of the configuration
// that it was based on.
type replacement struct {
	Document json.RawMessage
	BasedOn  uint64
}

// evacuation is an order to take a zone out of service, or to return it if IsBack is set.
type evacuation struct {
	Zone   string
	IsBack bool
}

// orderReply is a daemon's reply to an order.
type orderReply struct{ Status int }

// orderService is the RPC service of a control daemon for operators.
type orderService struct{ daemon *controlplane.Daemon }

// statusOf returns the status that tells an operator about the error.
func statusOf(err error) int {
	var outdated *controlplane.Outdated
	var problems settings.Problems
	switch {
	case err == nil:
		return statusAccepted
	case errors.As(err, &outdated), errors.As(err, &problems):
		return statusRejected
	}
	return statusRetry
}

// Replace executes a replacement.
func (service orderService) Replace(order replacement, reply *orderReply) error {
	_, err := service.daemon.OperatorFor(controlplane.Caller{}).Replace(order.Document, order.BasedOn)
	reply.Status = statusOf(err)
	return nil
}

// Evacuate executes an evacuation.
func (service orderService) Evacuate(order evacuation, reply *orderReply) error {
	_, err := service.daemon.OperatorFor(controlplane.Caller{}).Evacuate(order.Zone, order.IsBack)
	reply.Status = statusOf(err)
	return nil
}

// orderFleet is the instance of an order world: a core of one acceptor, two control daemons, and
// operators.
type orderFleet struct {
	*leaseFleet
	// results has the result of each operator's replacement; status zero means unknown.
	results       map[string]orderResult
	operatorsLeft int // operators that have not finished
	// isZoneRestored reports that the order to return the zone to service was acknowledged.
	isZoneRestored bool
}

// orderResult is the last status that an operator received for its order; zero means none.
type orderResult struct {
	order  replacement
	status int
}

// startOrders creates the core and starts the control daemons.
func startOrders(run *Run) *orderFleet {
	fleet := &orderFleet{leaseFleet: startLeases(run, leaseLength), results: map[string]orderResult{}}
	for _, name := range []string{"c1", "c2"} {
		node := run.node(name)
		node.Go(func() {
			daemon, err := controlplane.New(controlplane.Options{World: node, Net: network{node}, Process: settings.Process{Name: name, Region: "east", Zone: "east-1", Wire: name}, Incarnation: name})
			if err != nil {
				panic(err)
			}
			daemon.LearnCore(fleet.core)
			node.services["Operator"] = orderService{daemon}
		})
	}
	run.settle()
	return fleet
}

// operate runs the work of an operator in a task on the named node.
func (fleet *orderFleet) operate(name string, work func(node *node)) {
	fleet.operatorsLeft++
	node := fleet.run.node(name)
	node.Go(func() {
		work(node)
		fleet.operatorsLeft--
	})
}

// send sends an order to the daemons in turn until one accepts or rejects it. It returns that
// daemon's status, or zero if there is none after maxAttempts attempts.
func send(node *node, method string, order any, daemons ...string) int {
	for attempt := range maxAttempts {
		var reply orderReply
		err := network{node}.Call(daemons[attempt%len(daemons)], method, order, &reply, orderTimeout)
		if err == nil && reply.Status != statusRetry {
			return reply.Status
		}
		loop.Sleep(node, time.Duration(attempt+1)*20*time.Millisecond)
	}
	return 0
}

// replace runs an operator that sends a replacement and records its result.
func (fleet *orderFleet) replace(name string, order replacement, daemons ...string) {
	fleet.results[name] = orderResult{order, 0}
	fleet.operate(name, func(node *node) {
		fleet.results[name] = orderResult{order, send(node, "Operator.Replace", order, daemons...)}
	})
}

// replaceOnTop runs an operator that sends a replacement until it is accepted, which needs the
// configuration that it is based on to be in place. It gives up after maxAttempts rejections.
func (fleet *orderFleet) replaceOnTop(name string, order replacement, daemons ...string) {
	fleet.operate(name, func(node *node) {
		for range maxAttempts {
			if send(node, "Operator.Replace", order, daemons...) == statusAccepted {
				return
			}
			loop.Sleep(node, 50*time.Millisecond)
		}
	})
}

// evacuateAndBack runs an operator that orders an evacuation once at the first daemon, and then the
// evacuation and the return of the zone at the second daemon.
func (fleet *orderFleet) evacuateAndBack(name, first, second string) {
	fleet.operate(name, func(node *node) {
		var reply orderReply
		_ = network{node}.Call(first, "Operator.Evacuate", evacuation{Zone: "east-1"}, &reply, orderTimeout)
		if send(node, "Operator.Evacuate", evacuation{Zone: "east-1"}, second) != statusAccepted {
			return
		}
		fleet.isZoneRestored = send(node, "Operator.Evacuate", evacuation{Zone: "east-1", IsBack: true}, second) == statusAccepted
	})
}

// IsOver reports that all operators have finished.
func (fleet *orderFleet) IsOver(*Run) bool { return fleet.operatorsLeft == 0 }

// Restart is never called, as no node of these worlds crashes.
func (fleet *orderFleet) Restart(*Run, string) {}

// Check returns an error if two replacements with the same base were acknowledged.
func (fleet *orderFleet) Check(*Run) error {
	if len(fleet.results) < 2 {
		return nil
	}
	acknowledged := 0
	for _, result := range fleet.results {
		if result.status == statusAccepted {
			acknowledged++
		}
	}
	if acknowledged > 1 {
		return errors.New("two configurations with the same base were acknowledged")
	}
	return nil
}

// End reads the configuration after all messages in flight have been delivered, and checks the
// operators' results against it.
func (fleet *orderFleet) End(run *Run) error {
	until := run.now + settleTime
	if !run.drain(func() bool {
		_, isWaiting := run.nextDeadline()
		return fleet.operatorsLeft == 0 && len(run.inFlight) == 0 && (!isWaiting || run.now >= until)
	}) {
		return errors.New("an operator or a message does not complete")
	}
	var config lease.Config
	isRead := false
	auditor := run.node("auditor")
	auditor.Go(func() {
		proposer := fleet.proposer("auditor")
		value, err := proposer.Read(lease.ConfigKey)
		if err == nil {
			config, err = lease.Unpack(value.Data)
		}
		isRead = err == nil
	})
	run.settle()
	if !run.drain(func() bool { return isRead }) {
		return errors.New("the final read of the configuration does not complete")
	}
	if fleet.isZoneRestored && len(config.Evacuated) > 0 {
		return errors.New("a zone is out of service, although its return was acknowledged last")
	}
	label := config.Label()
	for name, result := range fleet.results {
		isCurrent := string(config.Document) == string(result.order.Document)
		wasApplied := isCurrent || label > 2 // a configuration with a higher label is based on it
		switch {
		case result.status == statusAccepted && !wasApplied:
			return fmt.Errorf("the order of %s was acknowledged but has no effect", name)
		case result.status == statusRejected && wasApplied:
			return fmt.Errorf("the order of %s was rejected although it took effect", name)
		}
	}
	return nil
}
