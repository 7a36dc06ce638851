package controlplane

import (
	"testing"
	"time"

	"swifttiller/loop"
	"swifttiller/sim"
)

// TestPauseDetector checks that data that is read right after a freeze is dated to the beginning of
// the freeze, whether or not the detector's timer has fired since, and that data that is read at
// any other time is dated to now. If it were dated to now after a freeze, a command that had
// waited in a socket would be executed although its caller gave up on it.
func TestPauseDetector(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		world := sim.New(seed)
		var detector *pauseDetector
		var node *sim.Node
		world.Start("c", func(started *sim.Node) {
			node, detector = started, &pauseDetector{world: started}
			if got := detector.earliestArrival(); got != started.Now() {
				t.Errorf("order: before the detector runs, the earliest arrival is %v, not now", got)
			}
			detector.run(func() bool { return false })
		})
		world.Run(time.Second + time.Duration(seed)*7*time.Millisecond)
		if got, now := detector.earliestArrival(), node.Now(); got != now {
			t.Errorf("order: seed %d: without a freeze, the earliest arrival is %v, not now, %v", seed, got, now)
		}
		frozen := node.Now()
		world.Freeze("c", 2*time.Second)
		var reads []time.Duration
		node.Go(func() { // as the machine wakes
			reads = append(reads, detector.earliestArrival())
			loop.Sleep(node, pauseBacklog/2)
			reads = append(reads, detector.earliestArrival())
		})
		world.Run(2*time.Second + pauseBacklog/2 + 10*time.Millisecond)
		for at, got := range reads {
			if got > frozen || got < frozen-2*pauseInterval {
				t.Errorf("order: seed %d: the earliest arrival for read %d after the freeze at %v is %v", seed, at, frozen, got)
			}
		}
		if len(reads) != 2 {
			t.Errorf("vacuous: %d reads after the freeze, not 2", len(reads))
		}
		world.Run(pauseBacklog)
		if got, now := detector.earliestArrival(), node.Now(); got != now {
			t.Errorf("order: seed %d: long after the freeze, the earliest arrival is %v, not now, %v", seed, got, now)
		}
		world.Close()
	}
}
