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

// operatorPause is the first pause of a simulated operator between two tries; it grows by
// half with each.
const operatorPause = 100 * time.Millisecond

// operatorWait is after which silence a simulated operator goes on to another daemon.
const operatorWait = time.Second

// simulatedOperator sends one order after the other, each to the daemons in turn until it
// gets a clear answer. Answers are lost on their way.
type simulatedOperator struct {
	name    string
	cluster *fleet.Park
	turn    int // of the daemon that is asked next
	next    func(operator *simulatedOperator) *simulatedOrder
	order   *simulatedOrder
	pause   time.Duration
	until   time.Duration // the try under way, or the pause after it, ends then
	waiting bool          // for an answer
	try     int
	ended   []*simulatedOrder
}

// simulatedOrder is an order and all that was ever answered to it, heard or lost.
type simulatedOrder struct {
	label, base  uint64 // of a configuration
	mark         string
	call         func(daemon *controlplane.Daemon) error
	acknowledged int
	refused      int
	heard        bool // an answer reached the operator, and was clear
	isTaken      bool // the answer heard was an acknowledgement
}

// orderTakers are whom operators ask.
var orderTakers = []string{"c1", "c2", "c3"}

// step lets the operator do what is due.
func (operator *simulatedOperator) step() {
	cluster := operator.cluster
	if operator.order != nil && operator.order.heard {
		operator.ended = append(operator.ended, operator.order)
		operator.order, operator.waiting = nil, false
	}
	if operator.order == nil {
		if operator.order = operator.next(operator); operator.order == nil {
			return
		}
		operator.pause, operator.until = operatorPause, 0
	}
	if cluster.Now() < operator.until {
		return
	}
	if operator.waiting { // in vain
		operator.waiting = false
		operator.until = cluster.Now() + operator.pause
		operator.pause += operator.pause / 2
		return
	}
	at := orderTakers[operator.turn%len(orderTakers)]
	operator.turn++
	operator.try++
	operator.waiting, operator.until = true, cluster.Now()+operatorWait
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
		order.heard, order.isTaken = true, status == 200
	})
}

// configures has an operator replace the configuration on top of the newest that it reads.
func configures(operator *simulatedOperator) *simulatedOrder {
	cluster := operator.cluster
	at := orderTakers[int(cluster.Draw(3))]
	if !cluster.Node(at).Up() {
		return nil
	}
	// What it builds on may be old by the time that it comes.
	_, config, _ := cluster.Controls[at].Issuer.Current()
	base := config.Label()
	order := &simulatedOrder{label: base + 1 + uint64(cluster.Draw(2)), base: base, mark: fmt.Sprint(operator.name, len(operator.ended))}
	document := labelled(cluster, order.label, order.mark)
	order.call = func(daemon *controlplane.Daemon) error {
		_, err := daemon.Replace(document, base)
		return err
	}
	return order
}

// evacuates has an operator take a zone out of service and bring it back, by turns.
func evacuates(zone string) func(operator *simulatedOperator) *simulatedOrder {
	return func(operator *simulatedOperator) *simulatedOrder {
		isBack := len(operator.ended)%2 == 1
		return &simulatedOrder{mark: fmt.Sprint(zone, isBack), call: func(daemon *controlplane.Daemon) error {
			_, err := daemon.Evacuate(zone, isBack)
			return err
		}}
	}
}

// disturb makes one mishap of the control side, within what a core of three bears.
func disturb(cluster *fleet.Park, turn int) {
	name := orderTakers[int(cluster.Draw(3))]
	switch turn % 5 {
	case 0:
		cluster.Freeze(name, 500*time.Millisecond+time.Duration(cluster.Draw(int64(2*time.Second))))
	case 1:
		cluster.Return(cluster.Lose(orderTakers)) // power
	case 2:
		rest := others(cluster, name)
		cluster.Split([]string{name}, rest, true)
		cluster.At(1500*time.Millisecond, func() { cluster.Split([]string{name}, rest, false) })
	case 3:
		cluster.Crash(name)
		cluster.At(700*time.Millisecond, func() { cluster.StartControl(name) })
	case 4:
		wipe(cluster, name) // the core changes
	}
}

// TestOperatorsWhoseAnswersAreLost: eight orders under way at once, two operators of which
// pick the same numbers, seven of ten answers lost, while control daemons freeze, are cut
// off, die, lose power and disks: an order is never both acknowledged and refused, of two
// under one number at most one is acknowledged, whoever has heard an answer has the truth,
// and what was acknowledged last stands.
func TestOperatorsWhoseAnswersAreLost(t *testing.T) {
	t.Parallel()
	var acknowledged, refused atomic.Int64
	eachSeed(t, func(t *testing.T, seed uint64) {
		plan := fleet.Sahayogi()
		plan.First, plan.Callers = true, nil
		cluster := fleet.NewBarePark(seed, plan)
		defer cluster.Close()
		if !cluster.Until(8*time.Second, func() bool { return len(core(cluster).Members) == 3 }) {
			t.Fatal("no core")
		}
		cluster.Plan.First = false
		if _, err := replace(cluster, "c1", labelled(cluster, 1, "first"), 0); err != nil {
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
					t.Errorf("order: %s under %d on top of %d was acknowledged %d times and refused %d times", order.mark, order.label, order.base, order.acknowledged, order.refused)
				}
				if order.acknowledged > 0 {
					if have := byLabel[order.label]; have != "" {
						t.Errorf("order: %s and %s were both acknowledged under %d", have, order.mark, order.label)
					}
					byLabel[order.label] = order.mark
					newest = max(newest, order.label)
					acknowledged.Add(1)
				}
				if order.heard && !order.isTaken {
					refused.Add(1)
				}
			}
		}
		label, _ := newestOf(t, cluster)
		if label < newest {
			t.Errorf("order: %d was acknowledged, %d stands", newest, label)
		}
		once(t, cluster)
	})
	t.Cleanup(func() {
		if t.Logf("%d acknowledged, %d refused", acknowledged.Load(), refused.Load()); acknowledged.Load() < 50 || refused.Load() < 10 {
			t.Error("vacuous")
		}
	})
}

// newestOf is the newest configuration's label as any daemon that has a majority tells it.
func newestOf(t *testing.T, cluster *fleet.Park) (label uint64, err error) {
	t.Helper()
	err = errors.New("nobody tells")
	for _, at := range orderTakers {
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
