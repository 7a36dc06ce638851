package serve

import (
	"os"
	"os/signal"
	"syscall"

	"swifttiller/loop"
)

// signals receives the signals that a daemon handles.
//
// Invariant: once caught, a signal stays caught until the process ends. Its default action would terminate the
// process immediately, with requests in progress.
type signals struct {
	// stop and reload are separate channels, as the runtime drops a signal when its channel is full:
	// with a shared channel, many reloads could make it drop the signal to stop.
	stop, reload chan os.Signal
}

// catchSignals catches the signals to stop (SIGTERM, SIGINT) and to reload the settings (SIGHUP). It ignores
// SIGPIPE, with which the runtime would terminate a process when the reader of its log is gone.
func catchSignals() *signals {
	caught := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(caught.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(caught.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return caught
}

// onReload calls reload for each signal to reload the settings until the world ends. Signals that arrive while
// reload runs are merged into one more call.
func (caught *signals) onReload(world loop.World, reload func()) {
	arrived := world.Mailbox()
	// This goroutine outlives the world, as only a signal can wake it.
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
