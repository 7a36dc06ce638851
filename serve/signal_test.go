package serve

import (
	"errors"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"swifttiller/loop"
	"swifttiller/settings"
)

// TestStopSignalNotDroppedDuringReloads guards against a process that keeps running after SIGTERM because the
// signal was dropped: more SIGHUPs than its channel could hold had arrived during a reload.
func TestStopSignalNotDroppedDuringReloads(t *testing.T) {
	reading, release := make(chan struct{}, 100), make(chan struct{})
	process := &Process{
		World: loop.NewMachine(), Log: zap.NewNop(), signals: catchSignals(),
		Live: settings.NewLive(settings.LiveOptions{Read: func() (*settings.Process, error) {
			reading <- struct{}{}
			<-release
			return nil, errors.New("nothing to read")
		}}),
	}
	defer signal.Stop(process.signals.stop)
	defer signal.Stop(process.signals.reload)
	// SIGUSR1 serves as a barrier: once the runtime has delivered it, it has delivered the signal that was
	// sent before it.
	barrier := make(chan os.Signal, 1)
	signal.Notify(barrier, syscall.SIGUSR1)
	defer signal.Stop(barrier)
	send := func(sent syscall.Signal) {
		for _, next := range []syscall.Signal{sent, syscall.SIGUSR1} {
			if err := syscall.Kill(os.Getpid(), next); err != nil {
				t.Fatal(err)
			}
		}
		<-barrier
	}
	ended := make(chan struct{})
	go func() {
		process.Wait()
		close(ended)
	}()
	send(syscall.SIGHUP)
	<-reading
	for range 10 {
		send(syscall.SIGHUP)
	}
	send(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the process is still running after SIGTERM")
	}
	close(release)
}
