package fleet_test

import (
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
)

// operatorBackoff is the initial backoff of a simulated operator between two attempts; it grows by
// half with each attempt.
const operatorBackoff = 100 * time.Millisecond

// operatorTimeout is the timeout after which a simulated operator retries at another daemon.
const operatorTimeout = time.Second

// simulatedOperator sends one order after the other. It sends each to the daemons in turn until it
// gets a definite answer; most answers are lost.
type simulatedOperator struct {
	name    string
	cluster *fleet.Cluster
	turn    int // index of the daemon for the next attempt
	next    func(operator *simulatedOperator) *simulatedOrder
	order   *simulatedOrder
	pause   time.Duration
	until   time.Duration // end of the running attempt or of the backoff after it
	waiting bool          // for an answer to the running attempt
	try     int
	ended   []*simulatedOrder
}

// simulatedOrder is an order and the counts of all answers to it, including lost ones.
type simulatedOrder struct {
	label, base  uint64 // of a configuration
	mark         string
	call         func(daemon *controlplane.Daemon) error
	acknowledged int
	refused      int
	answered     bool // a definite answer reached the operator
	isAcked      bool // the answer that reached the operator was an acknowledgement
}

// orderDaemons are the daemons to which operators send orders.
var orderDaemons = []string{"c1", "c2", "c3"}

// step advances the operator: it starts its next order or attempt, or ends a timed-out one, if due.
func (operator *simulatedOperator) step() {
	cluster := operator.cluster
	if operator.order != nil && operator.order.answered {
		operator.ended = append(operator.ended, operator.order)
		operator.order, operator.waiting = nil, false
	}
	if operator.order == nil {
		if operator.order = operator.next(operator); operator.order == nil {
			return
		}
		operator.pause, operator.until = operatorBackoff, 0
	}
	if cluster.Now() < operator.until {
		return
	}
	if operator.waiting { // timed out
		operator.waiting = false
		operator.until = cluster.Now() + operator.pause
		operator.pause += operator.pause / 2
		return
	}
	at := orderDaemons[operator.turn%len(orderDaemons)]
	operator.turn++
	operator.try++
	operator.waiting, operator.until = true, cluster.Now()+operatorTimeout
	if !cluster.Node(at).Up() {
		return
	}
	order, try, isLost := operator.order, operator.try, cluster.Draw(10) < 7
	daemon := cluster.Controls[at]
	cluster.Node(at).Go(func() {
		err := order.call(daemon)
		status := 200
		if err != nil {
			status = controlplane.OperatorError(err).Status
		}
		switch {
		case status == 200:
			order.acknowledged++
		case status < 500:
			order.refused++
		}
		if isLost || status >= 500 || operator.try != try || operator.order != order {
			return
		}
		order.answered, order.isAcked = true, status == 200
	})
}

// configures returns an order that replaces the newest configuration that a random daemon has.
func configures(operator *simulatedOperator) *simulatedOrder {
	cluster := operator.cluster
	at := orderDaemons[int(cluster.Draw(3))]
	if !cluster.Node(at).Up() {
		return nil
	}
	// The label that it is based on may be outdated when the order arrives.
	_, config, _ := cluster.Controls[at].Issuer.Current()
	base := config.Label()
	order := &simulatedOrder{label: base + 1 + uint64(cluster.Draw(2)), base: base, mark: fmt.Sprint(operator.name, len(operator.ended))}
	document := withLabel(cluster, order.label, order.mark)
	order.call = func(daemon *controlplane.Daemon) error {
		_, err := daemon.Replace(document, base)
		return err
	}
	return order
}

// evacuates returns a source of orders that evacuate the zone and hand it back, alternately.
func evacuates(zone string) func(operator *simulatedOperator) *simulatedOrder {
	return func(operator *simulatedOperator) *simulatedOrder {
		isBack := len(operator.ended)%2 == 1
		return &simulatedOrder{mark: fmt.Sprint(zone, isBack), call: func(daemon *controlplane.Daemon) error {
			_, err := daemon.Evacuate(zone, isBack)
			return err
		}}
	}
}

// disturb injects one fault into the control daemons that a core of three must survive.
func disturb(cluster *fleet.Cluster, turn int) {
	name := orderDaemons[int(cluster.Draw(3))]
	switch turn % 5 {
	case 0:
		cluster.Freeze(name, 500*time.Millisecond+time.Duration(cluster.Draw(int64(2*time.Second))))
	case 1:
		cluster.RestartAll(cluster.CrashAll(orderDaemons)) // a power cut
	case 2:
		rest := otherNodes(cluster, name)
		cluster.Split([]string{name}, rest, true)
		cluster.At(1500*time.Millisecond, func() { cluster.Split([]string{name}, rest, false) })
	case 3:
		cluster.Crash(name)
		cluster.At(700*time.Millisecond, func() { cluster.StartControl(name) })
	case 4:
		wipe(cluster, name) // the membership of the core changes
	}
}

// TestOperatorsWhoseAnswersAreLost runs eight operators at once, some of which choose the same labels.
// Seven of ten answers are lost, and control daemons freeze, are partitioned, crash, or lose power or
// disks. No order may be both acknowledged and rejected, at most one order of a label may be
// acknowledged, an answer that an operator gets must be true, and the last acknowledged configuration
// must stay in force.
func TestOperatorsWhoseAnswersAreLost(t *testing.T) {
	t.Parallel()
	var acknowledged, refused atomic.Int64
	eachSeed(t, func(t *testing.T, seed uint64) {
		plan := fleet.Sahayogi()
		plan.First, plan.Callers = true, nil
		cluster := fleet.NewBareCluster(seed, plan)
		defer cluster.Close()
		if !cluster.Until(8*time.Second, func() bool { return len(core(cluster).Members) == 3 }) {
			t.Fatal("no core")
		}
		cluster.Plan.First = false
		if _, err := replace(cluster, "c1", withLabel(cluster, 1, "first"), 0); err != nil {
			t.Fatal(err)
		}
		var operators []*simulatedOperator
		for index := range 4 {
			operators = append(operators, &simulatedOperator{name: fmt.Sprint("o", index), cluster: cluster, next: configures, turn: index})
		}
		for index, zone := range []string{"east-1", "middle-1", "west-1"} {
			operators = append(operators, &simulatedOperator{name: zone, cluster: cluster, next: evacuates(zone), turn: index})
		}
		operators = append(operators, &simulatedOperator{name: "o4", cluster: cluster, next: configures})
		turn := 0
		for end := cluster.Now() + 60*time.Second; cluster.Now() < end; cluster.Run(20 * time.Millisecond) {
			for _, operator := range operators {
				operator.step()
			}
			if cluster.Now() > time.Duration(turn+1)*7*time.Second {
				disturb(cluster, turn)
				turn++
			}
		}
		cluster.Run(20 * time.Second)
		byLabel, newest := map[uint64]string{}, uint64(0)
		for _, operator := range operators {
			for _, order := range append(operator.ended, operator.order) {
				if order == nil || order.label == 0 {
					continue
				}
				if order.acknowledged > 0 && order.refused > 0 {
					t.Errorf("order: %s under %d on top of %d was acknowledged %d times and rejected %d times", order.mark, order.label, order.base, order.acknowledged, order.refused)
				}
				if order.acknowledged > 0 {
					if other := byLabel[order.label]; other != "" {
						t.Errorf("order: %s and %s were both acknowledged under %d", other, order.mark, order.label)
					}
					byLabel[order.label] = order.mark
					newest = max(newest, order.label)
					acknowledged.Add(1)
				}
				if order.answered && !order.isAcked {
					refused.Add(1)
				}
			}
		}
		label, _ := newestOf(t, cluster)
		if label < newest {
			t.Errorf("order: label %d was acknowledged, but the current one is %d", newest, label)
		}
		checkOneContentPerVersion(t, cluster)
	})
	t.Cleanup(func() {
		if t.Logf("%d acknowledged, %d rejected", acknowledged.Load(), refused.Load()); acknowledged.Load() < 50 || refused.Load() < 10 {
			t.Error("vacuous")
		}
	})
}

// newestOf returns the configuration's label from the first daemon that reaches a majority.
func newestOf(t *testing.T, cluster *fleet.Cluster) (label uint64, err error) {
	t.Helper()
	err = errors.New("no daemon reached a majority")
	for _, at := range orderDaemons {
		if err = cluster.Do(at, 10*time.Second, func(daemon *controlplane.Daemon) (err error) {
			_, label, err = daemon.Current()
			return err
		}); err == nil {
			return label, nil
		}
	}
	t.Error(err)
	return label, err
}
