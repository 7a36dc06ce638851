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

// answerBound is the maximum time for a control daemon to answer an operator call. An operator
// retries at another daemon after one second.
const answerBound = time.Second

// operatorCall is an operator request that these tests send to a daemon.
type operatorCall struct {
	name string
	call func(daemon *controlplane.Daemon) error
}

// operatorCalls returns one valid request of each operator call. The document in it replaces
// the configuration with the given label.
func operatorCalls(cluster *fleet.Cluster, label uint64) []operatorCall {
	zone := cluster.Zone(cluster.Plan.Replicas[0].ID)
	return []operatorCall{
		{"replace", func(daemon *controlplane.Daemon) error {
			_, err := daemon.Replace(withLabel(cluster, label+1, "minority"), label)
			return err
		}},
		{"evacuate", func(daemon *controlplane.Daemon) error { _, err := daemon.Evacuate(zone, false); return err }},
		{"hand back", func(daemon *controlplane.Daemon) error { _, err := daemon.Evacuate(zone, true); return err }},
		{"begin a roll-out", func(daemon *controlplane.Daemon) error { return daemon.BeginRollout(cluster.Model, "v2", term) }},
		{"read a roll-out", func(daemon *controlplane.Daemon) error { _, err := daemon.RolloutState(cluster.Model); return err }},
		{"read the configuration", func(daemon *controlplane.Daemon) error { _, _, err := daemon.Current(); return err }},
	}
}

// TestMinorityAnswersAtOnce checks that a control daemon partitioned from the majority answers
// each operator call within a second with a 5xx status, at any time of the partition. It must
// not reject or acknowledge the call, nor return its cached state.
func TestMinorityAnswersAtOnce(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		plan := openPlan("sahayogi")
		plan.Callers = nil
		cluster := fleet.NewCluster(seed, plan)
		defer cluster.Close()
		cluster.Run(4 * time.Second)
		if _, err := replace(cluster, "c2", withLabel(cluster, 1, "a"), 0); err != nil {
			t.Fatal(err)
		}
		cutAt := cluster.Now()
		cluster.Split([]string{"c1"}, []string{"c2", "c3"}, true)
		attempts := 0
		for _, since := range []time.Duration{0, 4 * time.Second, 20 * time.Second} {
			if wait := cutAt + since - cluster.Now(); wait > 0 {
				cluster.Run(wait)
			}
			for _, operation := range operatorCalls(cluster, 1) {
				began := cluster.Now()
				err := cluster.Do("c1", 10*time.Second, operation.call)
				took := cluster.Now() - began
				if err == nil {
					t.Errorf("order: %v into the partition: %s: succeeded without a majority", since, operation.name)
				} else if status := controlplane.OperatorError(err).Status; status < 500 {
					t.Errorf("order: %v into the partition: %s: got status %d, want 5xx: %v", since, operation.name, status, err)
				}
				if took > answerBound {
					t.Errorf("order: %v into the partition: %s: answer took %v", since, operation.name, took)
				}
				attempts++
			}
		}
		if attempts != 18 {
			t.Errorf("vacuous: made %d calls", attempts)
		}
		// The majority changes the configuration during the partition. After it heals, the daemon
		// must return the new configuration only.
		if _, err := replace(cluster, "c3", withLabel(cluster, 5, "b"), 1); err != nil {
			t.Fatal("replace at the majority:", err)
		}
		cluster.Split([]string{"c1"}, []string{"c2", "c3"}, false)
		for until := cluster.Now() + 5*time.Second; cluster.Now() < until; cluster.Run(200 * time.Millisecond) {
			var label uint64
			err := cluster.Do("c1", 10*time.Second, func(daemon *controlplane.Daemon) (err error) {
				_, label, err = daemon.Current()
				return err
			})
			if err == nil && label != 5 {
				t.Errorf("after the partition: the daemon returns configuration %d", label)
			}
		}
		if label, _ := currentConfig(t, cluster, "c1"); label != 5 {
			t.Errorf("long after the partition: the daemon returns configuration %d", label)
		}
	})
}

// TestAFrozenDaemonWritesNoOldOrder checks that a control daemon that freezes while it executes
// an order writes nothing of it after it resumes: another daemon has acknowledged the opposite
// order since.
func TestAFrozenDaemonWritesNoOldOrder(t *testing.T) {
	t.Parallel()
	var frozenFirst atomic.Int64 // runs in which the freeze came before the order was written
	eachSeed(t, func(t *testing.T, seed uint64) {
		for step := 0; step < 8; step++ {
			cluster := faultlessFleet(seed)
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
				t.Fatal("evacuate at another daemon:", err)
			}
			if err := evacuate("c2", true); err != nil {
				t.Fatal("hand back at another daemon:", err)
			}
			cluster.Run(20 * time.Second)
			if !isOver {
				t.Errorf("step %d: the frozen daemon's order never returned", step)
			}
			if late != nil {
				frozenFirst.Add(1)
			}
			if _, config := currentConfig(t, cluster, "c3"); len(config.Evacuated) > 0 {
				t.Errorf("order: step %d: the zone is still evacuated though handing it back was acknowledged last (frozen daemon's order: %v)", step, late)
			}
			cluster.Close()
		}
	})
	t.Cleanup(func() {
		if frozenFirst.Load() == 0 {
			t.Error("vacuous: every order was written before the freeze")
		}
	})
}

// TestAnOrderUnreadThroughAFreezeIsNotCarriedOut checks that an order left unread in the socket
// of a frozen daemon is rejected when the daemon resumes, even if the caller keeps the connection
// open. An order that arrives a little later is executed.
func TestAnOrderUnreadThroughAFreezeIsNotCarriedOut(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for step := range 6 {
			cluster := faultlessFleet(seed)
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
			cluster.Node("c1").Go(func() { // runs when the machine resumes
				_, late = cluster.Controls["c1"].Evacuate(zone, false)
				isOver = true
			})
			if err := evacuate("c2", false); err != nil {
				t.Fatal("evacuate at another daemon:", err)
			}
			if err := evacuate("c2", true); err != nil {
				t.Fatal("hand back at another daemon:", err)
			}
			if took := cluster.Now() - began; took > 1400*time.Millisecond {
				t.Fatalf("vacuous: the orders at the other daemon took %v", took)
			}
			cluster.Run(4 * time.Second)
			if !isOver || !errors.Is(late, controlplane.ErrAbandoned) {
				t.Errorf("order: step %d: the unread order: returned %v, error %v", step, isOver, late)
			}
			if _, config := currentConfig(t, cluster, "c3"); len(config.Evacuated) > 0 {
				t.Errorf("order: step %d: the zone is still evacuated though handing it back was acknowledged last (frozen daemon's order: %v)", step, late)
			}
			if err := evacuate("c1", false); err != nil {
				t.Errorf("new order at the daemon that was frozen: %v", err)
			}
			cluster.Close()
		}
	})
}

// TestNothingIsWrittenForACallerThatLeft checks that an order is abandoned, with an error that
// says so, if its caller closes the connection before the order is written.
func TestNothingIsWrittenForACallerThatLeft(t *testing.T) {
	t.Parallel()
	cluster := fleet.NewCluster(3, func() fleet.Plan { plan := openPlan("sahayogi"); plan.Callers = nil; return plan }())
	defer cluster.Close()
	cluster.Run(4 * time.Second)
	gone := controlplane.Caller{IsGone: func() bool { return true }}
	zone := cluster.Zone(cluster.Plan.Replicas[0].ID)
	for name, order := range map[string]func(daemon *controlplane.Daemon) error{
		"replace": func(daemon *controlplane.Daemon) error {
			_, err := daemon.OperatorFor(gone).Replace(withLabel(cluster, 3, "a"), 0)
			return err
		},
		"apply": func(daemon *controlplane.Daemon) error {
			_, err := daemon.OperatorFor(gone).Apply(withLabel(cluster, 3, "a"), nil, false)
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
	// An order that waits 1100 ms between its arrival and its execution, as in a freeze.
	if err := cluster.Do("c1", 10*time.Second, func(daemon *controlplane.Daemon) error {
		operator := daemon.OperatorFor(controlplane.Caller{})
		loop.Sleep(daemon.World, 1100*time.Millisecond)
		_, err := operator.Evacuate(zone, false)
		return err
	}); !errors.Is(err, controlplane.ErrAbandoned) {
		t.Error("order: an order executed too late:", err)
	}
	cluster.Run(3 * time.Second)
	if label, config := currentConfig(t, cluster, "c2"); label != 0 || len(config.Evacuated) > 0 {
		t.Errorf("order: current label is %d, evacuated zones %v", label, config.Evacuated)
	}
	if state := rolloutState(cluster); state.State != "" {
		t.Errorf("order: a rollout is running: %+v", state)
	}
}

// TestOrdersAreRememberedThroughManyChanges checks that after hundreds of changes every daemon,
// even one that has just started, still acknowledges a repeat of each change, and still reports
// the conflict to a caller whose label went to another document. The part of the record that
// lease issuers read must stay short.
func TestOrdersAreRememberedThroughManyChanges(t *testing.T) {
	t.Parallel()
	skipLong(t)
	const changes = 400
	cluster := faultlessFleet(21)
	defer cluster.Close()
	controls := []string{"c1", "c2", "c3"}
	for label := uint64(1); label <= changes; label++ {
		if _, err := replace(cluster, controls[label%3], withLabel(cluster, label, "a"), label-1); err != nil {
			t.Fatalf("change %d: %v", label, err)
		}
		if label == changes/2 {
			cluster.Crash("c3")
			cluster.Run(time.Second)
			cluster.StartControl("c3")
			cluster.Run(3 * time.Second)
		}
	}
	_, config := currentConfig(t, cluster, "c1")
	if len(config.Taken) > lease.MaxMarks+lease.MaxMarks/2 {
		t.Errorf("the configuration record itself lists %d orders", len(config.Taken))
	}
	cluster.Crash("c2")
	cluster.Run(time.Second)
	cluster.StartControl("c2")
	// It has no configuration yet and must read it from its peers.
	if _, err := replace(cluster, "c2", withLabel(cluster, changes, "a"), changes-1); err != nil && controlplane.OperatorError(err).Status < 500 {
		t.Error("order: a repeat at a daemon that has just started:", err)
	}
	cluster.Run(3 * time.Second)
	for _, label := range []uint64{1, 2, 31, 32, 33, 64, 65, 200, changes - 100, changes - 65, changes - 1, changes} {
		for _, at := range controls {
			if _, err := replace(cluster, at, withLabel(cluster, label, "a"), label-1); err != nil {
				t.Errorf("order: %s: repeat of change %d: %v", at, label, err)
			}
			if _, err := replace(cluster, at, withLabel(cluster, label, "lost"), label-1); label < changes && !isOutdated(err, changes, label-1) {
				t.Errorf("order: %s: conflicting document with label %d got: %v", at, label, err)
			}
		}
	}
	if label, again := currentConfig(t, cluster, "c3"); label != changes || !slices.Equal(again.Taken, config.Taken) {
		t.Errorf("repeats changed the configuration: current label is %d", label)
	}
	checkOneContentPerVersion(t, cluster)
}

// TestHistorySaysWhatItForgot checks that a repeat of an order older than the kept history gets
// a 503, which leaves the outcome open: no daemon knows any more whether it was applied.
func TestHistorySaysWhatItForgot(t *testing.T) {
	t.Parallel()
	cluster := faultlessFleet(22)
	defer cluster.Close()
	if _, err := replace(cluster, "c1", withLabel(cluster, 90000, "a"), 0); err != nil {
		t.Fatal(err)
	}
	// Writes the registers as they are after so many orders that the first history pages were
	// overwritten.
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
		_, err := replace(cluster, "c2", withLabel(cluster, label, "b"), label-1)
		if got := controlplane.OperatorError(err).Status; got != want {
			t.Errorf("order: label %d got status %d (%v), want %d", label, got, err, want)
		}
	}
}

// TestAMinorityDoesNotArchive checks that orders are still accepted and recorded while a history
// page can't be written, up to a limit of 2*lease.MaxMarks.
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
		t.Error("order: one order more than the history holds:", err)
	}
	next, err := full.WithDocument([]byte("{}"), "999/x", 1)
	if err != nil || next.Archived != 1 || len(next.Taken) != len(full.Taken)-lease.MaxMarks/2+1 {
		t.Error("order: after a history page was written:", err, next.Archived, len(next.Taken))
	}
	packed, err := next.Pack()
	if err != nil {
		t.Fatal(err)
	}
	if back, err := lease.Unpack(packed); err != nil || back.Archived != 1 || !bytes.Equal(back.Document, next.Document) {
		t.Error(back.Archived, err)
	}
}
