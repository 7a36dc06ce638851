package fleet_test

import (
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/sim"
)

// redundancyOf returns the state of the register's copies as the daemon reports it.
func redundancyOf(t *testing.T, cluster *fleet.Cluster, at string) controlplane.Redundancy {
	t.Helper()
	var result controlplane.Redundancy
	err := cluster.Do(at, 10*time.Second, func(daemon *controlplane.Daemon) error {
		if redundancy := daemon.Status().Redundancy; redundancy != nil {
			result = *redundancy
		}
		return nil
	})
	if err != nil || result.Wanted == 0 {
		t.Fatalf("%s reports no redundancy: %v", at, err)
	}
	return result
}

// TestStatusTellsSinceWhenACopyIsMissing verifies that the status of every daemon reports for how
// long an acceptor has been unreachable or behind, and nothing once all copies are complete
// again.
func TestStatusTellsSinceWhenACopyIsMissing(t *testing.T) {
	t.Parallel()
	cluster := fleet.NewCluster(1, fleet.Plans["sahayogi"]())
	defer cluster.Close()
	cluster.Run(6 * time.Second)
	lost := cluster.Controls["c3"].Acceptor.ID()
	cluster.Crash("c3")
	const span = 9 * time.Second
	cluster.Run(span)
	for _, at := range []string{"c1", "c2"} {
		redundancy := redundancyOf(t, cluster, at)
		if age := redundancy.LackingFor[lost]; age < span-3*time.Second || age > span+time.Second || len(redundancy.LackingFor) != 1 {
			t.Errorf("%s reports %v, %v after the acceptor was lost", at, redundancy.LackingFor, span)
		}
	}
	cluster.StartControl("c3")
	cluster.Run(8 * time.Second)
	if redundancy := redundancyOf(t, cluster, "c1"); !redundancy.IsWhole() || len(redundancy.LackingFor) > 0 {
		t.Errorf("all copies are complete again, but the status is %+v", redundancy)
	}
	// An acceptor that is reachable but does not receive decisions stays behind.
	cluster.OnCall = func(from, to, method string) sim.Fate {
		isOfCopies := strings.HasPrefix(method, "Register.") && method != "Register.Digest" && method != "Register.Describe"
		if isOfCopies && (to == "c3" || from == "c3") {
			return sim.RequestLost
		}
		return sim.Delivered
	}
	change := func() {
		cluster.Must("c1", func(daemon *controlplane.Daemon) error {
			_, err := daemon.Apply(cluster.VariedDocument(), nil, false)
			return err
		})
	}
	change()
	cluster.Run(span)
	redundancy := redundancyOf(t, cluster, "c2")
	if age := redundancy.LackingFor[lost]; len(redundancy.Behind) != 1 || age < span-5*time.Second || age > span+time.Second {
		t.Errorf("with one acceptor behind the status is %+v", redundancy)
	}
}
