package fleet_test

import (
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/sim"
)

// redundancyOf asks the daemon how many copies there are.
func redundancyOf(t *testing.T, cluster *fleet.Park, at string) controlplane.Redundancy {
	t.Helper()
	var out controlplane.Redundancy
	err := cluster.Do(at, 10*time.Second, func(daemon *controlplane.Daemon) error {
		if redundancy := daemon.Status().Redundancy; redundancy != nil {
			out = *redundancy
		}
		return nil
	})
	if err != nil || out.Wanted == 0 {
		t.Fatalf("%s tells no redundancy: %v", at, err)
	}
	return out
}

// TestStatusTellsSinceWhenACopyIsMissing: whichever daemon is asked tells for how long an
// acceptor has been silent, and for how long one has been behind; and nothing once all are
// whole again.
func TestStatusTellsSinceWhenACopyIsMissing(t *testing.T) {
	t.Parallel()
	cluster := fleet.NewPark(1, fleet.Plans["sahayogi"]())
	defer cluster.Close()
	cluster.Run(6 * time.Second)
	lost := cluster.Controls["c3"].Acceptor.ID()
	cluster.Crash("c3")
	const span = 9 * time.Second
	cluster.Run(span)
	for _, at := range []string{"c1", "c2"} {
		redundancy := redundancyOf(t, cluster, at)
		if age := redundancy.LackingFor[lost]; age < span-3*time.Second || age > span+time.Second || len(redundancy.LackingFor) != 1 {
			t.Errorf("%s tells %v, %v after it was lost", at, redundancy.LackingFor, span)
		}
	}
	cluster.StartControl("c3")
	cluster.Run(8 * time.Second)
	if redundancy := redundancyOf(t, cluster, "c1"); !redundancy.IsWhole() || len(redundancy.LackingFor) > 0 {
		t.Errorf("whole again it tells %+v", redundancy)
	}
	// One that hears the others, and can't be told what they decide, stays behind.
	cluster.OnCall = func(from, to, method string) sim.Fate {
		isOfCopies := strings.HasPrefix(method, "Register.") && method != "Register.Digest" && method != "Register.Describe"
		if isOfCopies && (to == "c3" || from == "c3") {
			return sim.RequestLost
		}
		return sim.Delivered
	}
	change := func() {
		cluster.Must("c1", func(daemon *controlplane.Daemon) error {
			_, err := daemon.Apply(cluster.Vary(), nil, false)
			return err
		})
	}
	change()
	cluster.Run(span)
	redundancy := redundancyOf(t, cluster, "c2")
	if age := redundancy.LackingFor[lost]; len(redundancy.Behind) != 1 || age < span-5*time.Second || age > span+time.Second {
		t.Errorf("of one that is behind it tells %+v", redundancy)
	}
}
