package fleet_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/lease"
	"swifttiller/loop"
)

// answerBound is within which a control daemon answers an operator, whose call goes on to
// another daemon after a second.
const answerBound = time.Second

// operatorCall is one call of an operator in these tests.
type operatorCall struct {
	name string
	call func(daemon *controlplane.Daemon) error
}

// operatorCalls are all calls of the operator, each of them proper. The document builds on
// the label that it is given.
func operatorCalls(cluster *fleet.Park, label uint64) []operatorCall {
	zone := cluster.Zone(cluster.Plan.Replicas[0].ID)
	return []operatorCall{
		{"replace", func(daemon *controlplane.Daemon) error {
			_, err := daemon.Replace(labelled(cluster, label+1, "minority"), label)
			return err
		}},
		{"evacuate", func(daemon *controlplane.Daemon) error { _, err := daemon.Evacuate(zone, false); return err }},
		{"hand back", func(daemon *controlplane.Daemon) error { _, err := daemon.Evacuate(zone, true); return err }},
		{"begin a roll-out", func(daemon *controlplane.Daemon) error { return daemon.BeginRollout(cluster.Model, "v2", term) }},
		{"read a roll-out", func(daemon *controlplane.Daemon) error { _, err := daemon.RolloutState(cluster.Model); return err }},
		{"read the configuration", func(daemon *controlplane.Daemon) error { _, _, err := daemon.Current(); return err }},
	}
}

// TestMinorityAnswersAtOnce: a control daemon that is cut off from the others answers each
// call of an operator within a second, by a 5xx: it neither refuses nor confirms nor shows
// what it remembers, at any time of the cut.
func TestMinorityAnswersAtOnce(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		plan := openPlan("sahayogi")
		plan.Callers = nil
		cluster := fleet.NewPark(seed, plan)
		defer cluster.Close()
		cluster.Run(4 * time.Second)
		if _, err := replace(cluster, "c2", labelled(cluster, 1, "a"), 0); err != nil {
			t.Fatal(err)
		}
		cutAt := cluster.Now()
		cluster.Split([]string{"c1"}, []string{"c2", "c3"}, true)
		asked := 0
		for _, since := range []time.Duration{0, 4 * time.Second, 20 * time.Second} {
			if wait := cutAt + since - cluster.Now(); wait > 0 {
				cluster.Run(wait)
			}
			for _, one := range operatorCalls(cluster, 1) {
				began := cluster.Now()
				err := cluster.Do("c1", 10*time.Second, one.call)
				took := cluster.Now() - began
				if err == nil {
					t.Errorf("order: %v into the cut: %s: answered without a majority", since, one.name)
				} else if status := controlplane.OperatorError(err).Status; status < 500 {
					t.Errorf("order: %v into the cut: %s: answered %d: %v", since, one.name, status, err)
				}
				if took > answerBound {
					t.Errorf("order: %v into the cut: %s: answered after %v", since, one.name, took)
				}
				asked++
			}
		}
		if asked != 18 {
			t.Errorf("vacuous: %d calls", asked)
		}
		// Meanwhile the others went on; what the cut daemon shows from then on is that.
		if _, err := replace(cluster, "c3", labelled(cluster, 5, "b"), 1); err != nil {
			t.Fatal("the majority:", err)
		}
		cluster.Split([]string{"c1"}, []string{"c2", "c3"}, false)
		for until := cluster.Now() + 5*time.Second; cluster.Now() < until; cluster.Run(200 * time.Millisecond) {
			var label uint64
			err := cluster.Do("c1", 10*time.Second, func(daemon *controlplane.Daemon) (err error) {
				_, label, err = daemon.Current()
				return err
			})
			if err == nil && label != 5 {
				t.Errorf("after the cut: %d is shown", label)
			}
		}
		if label, _ := newest(t, cluster, "c1"); label != 5 {
			t.Errorf("long after the cut: %d is shown", label)
		}
	})
}

// TestAFrozenDaemonWritesNoOldOrder: a control daemon that is frozen while it carries out an
// order writes nothing of it when it wakes, as the opposite was acknowledged elsewhere since.
func TestAFrozenDaemonWritesNoOldOrder(t *testing.T) {
	t.Parallel()
	var frozenFirst atomic.Int64 // how often the order was not yet written when the freeze came
	eachSeed(t, func(t *testing.T, seed uint64) {
		for step := 0; step < 8; step++ {
			cluster := ordering(seed)
			cluster.Run(4 * time.Second)
			zone := cluster.Zone(cluster.Plan.Replicas[0].ID)
			evacuate := func(at string, back bool) error {
				return cluster.Do(at, 20*time.Second, func(daemon *controlplane.Daemon) error {
					_, err := daemon.Evacuate(zone, back)
					return err
				})
			}
			var late error
			isOver := false
			cluster.Node("c1").Go(func() {
				_, late = cluster.Controls["c1"].Evacuate(zone, false)
				isOver = true
			})
			cluster.Run(time.Duration(step) * 300 * time.Microsecond)
			cluster.Freeze("c1", 1300*time.Millisecond)
			if err := evacuate("c2", false); err != nil {
				t.Fatal("the order at another daemon:", err)
			}
			if err := evacuate("c2", true); err != nil {
				t.Fatal("its opposite:", err)
			}
			cluster.Run(20 * time.Second)
			if !isOver {
				t.Errorf("step %d: the late order has no end", step)
			}
			if late != nil {
				frozenFirst.Add(1)
			}
			if _, config := newest(t, cluster, "c3"); len(config.Evacuated) > 0 {
				t.Errorf("order: step %d: the zone is out of service, though it was handed back last (%v)", step, late)
			}
			cluster.Close()
		}
	})
	t.Cleanup(func() {
		if frozenFirst.Load() == 0 {
			t.Error("vacuous: each order was written before the freeze")
		}
	})
}

// TestAnOrderUnreadThroughAFreezeIsNotCarriedOut: an order that lies in the socket of a frozen
// daemon, whose caller keeps the connection open, is declined when the daemon wakes; one that
// comes a little later is carried out.
func TestAnOrderUnreadThroughAFreezeIsNotCarriedOut(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for step := range 6 {
			cluster := ordering(seed)
			cluster.Run(4 * time.Second)
			zone := cluster.Zone(cluster.Plan.Replicas[0].ID)
			evacuate := func(at string, back bool) error {
				return cluster.Do(at, 20*time.Second, func(daemon *controlplane.Daemon) error {
					_, err := daemon.Evacuate(zone, back)
					return err
				})
			}
			began := cluster.Now()
			cluster.Freeze("c1", 1500*time.Millisecond+time.Duration(step)*37*time.Millisecond)
			cluster.Run(time.Duration(step) * 20 * time.Millisecond)
			var late error
			isOver := false
			cluster.Node("c1").Go(func() { // runs when the machine wakes
				_, late = cluster.Controls["c1"].Evacuate(zone, false)
				isOver = true
			})
			if err := evacuate("c2", false); err != nil {
				t.Fatal("the order at another daemon:", err)
			}
			if err := evacuate("c2", true); err != nil {
				t.Fatal("its opposite:", err)
			}
			if took := cluster.Now() - began; took > 1400*time.Millisecond {
				t.Fatalf("vacuous: the other orders took %v", took)
			}
			cluster.Run(4 * time.Second)
			if !isOver || !errors.Is(late, controlplane.ErrAbandoned) {
				t.Errorf("order: step %d: what lay unread ended: %v, %v", step, isOver, late)
			}
			if _, config := newest(t, cluster, "c3"); len(config.Evacuated) > 0 {
				t.Errorf("order: step %d: the zone is out of service, though it was handed back last (%v)", step, late)
			}
			if err := evacuate("c1", false); err != nil {
				t.Errorf("a fresh order at the daemon that had been frozen: %v", err)
			}
			cluster.Close()
		}
	})
}

// TestNothingIsWrittenForACallerThatLeft: an order whose caller has closed its connection
// before it is written comes to nothing, and says so.
func TestNothingIsWrittenForACallerThatLeft(t *testing.T) {
	t.Parallel()
	cluster := fleet.NewPark(3, func() fleet.Plan { plan := openPlan("sahayogi"); plan.Callers = nil; return plan }())
	defer cluster.Close()
	cluster.Run(4 * time.Second)
	gone := controlplane.Caller{IsGone: func() bool { return true }}
	zone := cluster.Zone(cluster.Plan.Replicas[0].ID)
	for name, order := range map[string]func(daemon *controlplane.Daemon) error{
		"replace": func(daemon *controlplane.Daemon) error {
			_, err := daemon.OperatorFor(gone).Replace(labelled(cluster, 3, "a"), 0)
			return err
		},
		"apply": func(daemon *controlplane.Daemon) error {
			_, err := daemon.OperatorFor(gone).Apply(labelled(cluster, 3, "a"), nil, false)
			return err
		},
		"evacuate": func(daemon *controlplane.Daemon) error {
			_, err := daemon.OperatorFor(gone).Evacuate(zone, false)
			return err
		},
		"roll-out": func(daemon *controlplane.Daemon) error {
			return daemon.OperatorFor(gone).BeginRollout(cluster.Model, "v2", term)
		},
	} {
		err := cluster.Do("c1", 10*time.Second, order)
		if answer := controlplane.OperatorError(err); err == nil || answer.Status != 503 || answer.Code != "abandoned" {
			t.Errorf("order: %s: %v", name, err)
		}
	}
	// One that lies long between its arrival and its carrying out, as in a freeze.
	if err := cluster.Do("c1", 10*time.Second, func(daemon *controlplane.Daemon) error {
		operator := daemon.OperatorFor(controlplane.Caller{})
		loop.Sleep(daemon.World, 1100*time.Millisecond)
		_, err := operator.Evacuate(zone, false)
		return err
	}); !errors.Is(err, controlplane.ErrAbandoned) {
		t.Error("order: an old one:", err)
	}
	cluster.Run(3 * time.Second)
	if label, config := newest(t, cluster, "c2"); label != 0 || len(config.Evacuated) > 0 {
		t.Errorf("order: label %d stands, evacuated %v", label, config.Evacuated)
	}
	if state := stands(cluster); state.State != "" {
		t.Errorf("order: a roll-out is under way: %+v", state)
	}
}

// TestOrdersAreRememberedThroughManyChanges: after hundreds of changes each of them is
// acknowledged again, at each daemon, also one that has just begun; who lost a number is told
// so as long; and what leases read stays short.
func TestOrdersAreRememberedThroughManyChanges(t *testing.T) {
	t.Parallel()
	skipLong(t)
	const changes = 400
	cluster := ordering(21)
	defer cluster.Close()
	controls := []string{"c1", "c2", "c3"}
	for label := uint64(1); label <= changes; label++ {
		if _, err := replace(cluster, controls[label%3], labelled(cluster, label, "a"), label-1); err != nil {
			t.Fatalf("change %d: %v", label, err)
		}
		if label == changes/2 {
			cluster.Crash("c3")
			cluster.Run(time.Second)
			cluster.StartControl("c3")
			cluster.Run(3 * time.Second)
		}
	}
	_, config := newest(t, cluster, "c1")
	if len(config.Taken) > lease.MaxMarks+lease.MaxMarks/2 {
		t.Errorf("the configuration itself names %d orders", len(config.Taken))
	}
	cluster.Crash("c2")
	cluster.Run(time.Second)
	cluster.StartControl("c2")
	// It knows nothing of the configuration yet, and must ask.
	if _, err := replace(cluster, "c2", labelled(cluster, changes, "a"), changes-1); err != nil && controlplane.OperatorError(err).Status < 500 {
		t.Error("order: a repeat at a daemon that has just begun:", err)
	}
	cluster.Run(3 * time.Second)
	for _, label := range []uint64{1, 2, 31, 32, 33, 64, 65, 200, changes - 100, changes - 65, changes - 1, changes} {
		for _, at := range controls {
			if _, err := replace(cluster, at, labelled(cluster, label, "a"), label-1); err != nil {
				t.Errorf("order: %s: a repeat of %d: %v", at, label, err)
			}
			if _, err := replace(cluster, at, labelled(cluster, label, "lost"), label-1); label < changes && !isOutdated(err, changes, label-1) {
				t.Errorf("order: %s: who lost %d is told: %v", at, label, err)
			}
		}
	}
	if label, again := newest(t, cluster, "c3"); label != changes || !slices.Equal(again.Taken, config.Taken) {
		t.Errorf("repeats changed the configuration: %d stands", label)
	}
	once(t, cluster)
}

// TestHistorySaysWhatItForgot: an order older than all that is remembered gets no clear
// answer, as nobody can tell whether it was taken.
func TestHistorySaysWhatItForgot(t *testing.T) {
	t.Parallel()
	cluster := ordering(22)
	defer cluster.Close()
	if _, err := replace(cluster, "c1", labelled(cluster, 90000, "a"), 0); err != nil {
		t.Fatal(err)
	}
	// The registers as they are after so many orders that the first pages were replaced.
	const archived = lease.HistoryPages + 3
	forget := func(daemon *controlplane.Daemon) error {
		for number := uint64(3); number < archived; number++ {
			if err := lease.WritePage(daemon.Client, time.Second, lease.HistoryPage{Number: number, Marks: []lease.OrderMark{lease.OrderMark(fmt.Sprintf("%d/x", 100+number))}}); err != nil {
				return err
			}
		}
		_, err := daemon.Issuer.Change(nil, func(config lease.Config) (lease.Config, error) {
			config.Archived = archived
			return config, nil
		})
		return err
	}
	if err := cluster.Do("c1", 60*time.Second, forget); err != nil {
		t.Fatal(err)
	}
	for label, want := range map[uint64]int{102: 503, 103: 409, 200: 409} {
		_, err := replace(cluster, "c2", labelled(cluster, label, "b"), label-1)
		if got := controlplane.OperatorError(err).Status; got != want {
			t.Errorf("order: %d is answered %d (%v), not %d", label, got, err, want)
		}
	}
}

// TestAMinorityDoesNotArchive: orders go on, and are remembered, where a page of the history
// can't be written for a while.
func TestAMinorityDoesNotArchive(t *testing.T) {
	t.Parallel()
	full := lease.Config{}
	for label := 1; label <= 2*lease.MaxMarks; label++ {
		next, err := full.WithDocument([]byte("{}"), lease.OrderMark(fmt.Sprintf("%d/x", label)), 0)
		if err != nil {
			t.Fatalf("order %d: %v", label, err)
		}
		full = next
	}
	if _, err := full.WithDocument([]byte("{}"), "999/x", 0); !errors.Is(err, lease.ErrHistoryFull) {
		t.Error("order: one more than can be remembered:", err)
	}
	next, err := full.WithDocument([]byte("{}"), "999/x", 1)
	if err != nil || next.Archived != 1 || len(next.Taken) != len(full.Taken)-lease.MaxMarks/2+1 {
		t.Error("order: after a page was written:", err, next.Archived, len(next.Taken))
	}
	packed, err := next.Pack()
	if err != nil {
		t.Fatal(err)
	}
	if back, err := lease.Unpack(packed); err != nil || back.Archived != 1 || !bytes.Equal(back.Document, next.Document) {
		t.Error(back.Archived, err)
	}
}
