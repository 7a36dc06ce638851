package fleet_test

import (
	"testing"
	"time"

	"swifttiller/controlplane"
)

// TestARepeatedOrderIsNotWaitedForAnew checks an order that an operator retries at another daemon after
// a second. That daemon must not start a new wait for a crashed data daemon, nor acknowledge before
// the leases under the previous configuration have expired.
func TestARepeatedOrderIsNotWaitedForAnew(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for _, isCut := range []bool{false, true} {
			park := startWithOwnCore(t, seed, 3)
			park.Run(3 * time.Second)
			names := []string{}
			for name := range park.Datas {
				names = append(names, name)
			}
			if len(names) < 2 {
				t.Fatalf("seed %d: vacuous: %d data daemons", seed, len(names))
			}
			lost := names[0]
			length := time.Duration(1.05 * float64(park.Datas[lost].Holder.View().Tree.Duration("permit_ms", "")))
			if isCut {
				park.Split([]string{lost}, park.NodeNames(), true)
			} else {
				park.Crash(lost)
			}
			began := park.Now()
			evacuate := func(daemon *controlplane.Daemon) error {
				_, err := daemon.Evacuate("west-1", false)
				return err
			}
			// One attempt every second, each at another daemon.
			acknowledged := time.Duration(0)
			for turn, name := range []string{"c1", "c2", "c3", "c1", "c2", "c3"} {
				if err := park.Do(name, time.Second, evacuate); err == nil {
					acknowledged = park.Now()
					break
				}
				park.Run(time.Duration(turn+1)*time.Second - (park.Now() - began))
			}
			if acknowledged == 0 || acknowledged-began > length+300*time.Millisecond {
				t.Errorf("order: seed %d: acknowledged %v after the first attempt; leases expire after %v", seed, acknowledged-began, length)
			}
			if isCut {
				if view := park.Datas[lost].Holder.View(); acknowledged < view.Deadline {
					t.Errorf("order: seed %d: acknowledged at %v, but a daemon that was cut off served under the previous configuration until %v", seed, acknowledged, view.Deadline)
				}
			}
			park.Close()
		}
	})
}

// TestARepeatedOrderTakesNoRounds checks that a daemon which knows that an order was applied
// acknowledges it without consensus rounds: these would preempt the ballot of the peer that carries
// out the same order.
func TestARepeatedOrderTakesNoRounds(t *testing.T) {
	t.Parallel()
	park := faultlessFleet(5)
	defer park.Close()
	document := withLabel(park, 1, "a")
	first, err := replace(park, "c1", document, 0)
	if err != nil {
		t.Fatal(err)
	}
	park.Run(2 * time.Second)
	if _, config, _ := park.Controls["c2"].Issuer.Current(); len(config.Taken) == 0 {
		t.Fatal("vacuous: c2 does not have the change yet")
	}
	count := func() int { return park.Messages["Register.Prepare"] + park.Messages["Register.Accept"] }
	before := count()
	again, err := replace(park, "c2", document, 0)
	if err != nil || again.Serial != first.Serial {
		t.Errorf("order: the same order at another daemon: version %d, then %d %v", first.Serial, again.Serial, err)
	}
	if rounds := count() - before; before == 0 || rounds > 0 {
		t.Errorf("order: %d messages of consensus rounds for an order that is known to be applied", rounds)
	}
	if _, err := replace(park, "c2", withLabel(park, 1, "b"), 0); err == nil {
		t.Error("order: another document under the same label is acknowledged as the same")
	}
}
