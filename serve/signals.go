package serve

import (
	"os"
	"os/signal"
	"syscall"

	"swifttiller/loop"
)

// signals are those that a daemon acts on.
//
// Invariant: a signal that was caught once is never given back, up to the end of the process. Its default
// action would end the process at once, with requests running.
type signals struct {
	// stop and reload are apart, so that no number of the one hides the other: the runtime drops a
	// signal for which there is no room.
	stop, reload chan os.Signal
}

// catchSignals catches the signals to stop (SIGTERM, SIGINT) and to reread the settings (SIGHUP). It ignores
// SIGPIPE, by which the runtime ends a process whose log has lost its reader.
func catchSignals() *signals {
	caught := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(caught.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(caught.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return caught
}

// onReload runs reload for each signal to reread the settings until the world ends. All that come while it
// runs have it run once more.
func (caught *signals) onReload(world loop.World, reload func()) {
	arrived := world.Mailbox()
	// It outlives the world, as it has nothing to wait for but the next signal.
	go func() {
		for received := range caught.reload {
			arrived.Put(received)
		}
	}()
	world.Go(func() {
		for !world.Ended() {
			_, ok := arrived.Take(loop.Forever)
			for more := ok; more; {
				_, more = arrived.Take(0)
			}
			if ok {
				reload()
			}
		}
	})
}
