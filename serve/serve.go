// Package serve has what the processes of both programs share: startup, logging, listeners,
// reloading of settings, and graceful stop.
package serve

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/rpc"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"swifttiller/loop"
	"swifttiller/settings"
	"swifttiller/wire"
)

// Process is a running process with its settings, event loop, network and log.
type Process struct {
	*settings.Process
	Live         *settings.Live
	level        zap.AtomicLevel
	retrace      func(path string) error
	signals      *signals
	settingsFile string // from which the settings were read, if any
	initialStamp Stamp  // of the settings file when it was first read
	World        *loop.Machine
	Net          *wire.TCP
	Log          *zap.Logger
	// Incarnation identifies this run of the process.
	Incarnation string
}

// Incarnation returns a new identifier for one run of a process: the time in milliseconds
// and a random suffix, so that no other run has the same.
func Incarnation() string {
	suffix := make([]byte, 4)
	for index := range suffix {
		suffix[index] = byte(rand.UintN(256))
	}
	return fmt.Sprintf("%x-%s", time.Now().UnixMilli(), hex.EncodeToString(suffix))
}

// Logger returns a logger that writes JSON lines to standard error, with a level that can be
// changed later.
func Logger(level zap.AtomicLevel) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(os.Stderr), level))
}

// Load reads a process's settings and returns them with the path of the file that they were
// read from, if any.
type Load func(path string, set *flag.FlagSet) (*settings.Process, string, error)

// load reads the settings from this program's own settings file and flags.
func load(path string, set *flag.FlagSet) (*settings.Process, string, error) {
	process, err := settings.LoadProcess(path, set)
	return process, path, err
}

// memoryShare is the part of the process's memory that is set as the Go runtime's limit; the
// rest is left for the kernel's buffers of its connections, which count too. gcPercent is
// the growth of the heap, in percent, that triggers the next garbage collection.
const (
	memoryShare = 0.8
	gcPercent   = 50
)

// Start reads the settings and creates the process. If that fails, it prints the error and
// returns nil and the exit code. With check it only checks the settings, and returns nil.
func Start(load Load, path string, set *flag.FlagSet, check bool) (*Process, int) {
	// Signals are caught before anything else, as one may arrive while the settings are read.
	caught := catchSignals()
	process, file, err := load(path, set)
	// The stamp is taken before the settings are read a second time: taken after the only
	// reading, it would hide a change of the file between the reading and the stamp.
	var stamp Stamp
	if err == nil {
		stamp = StampOf(file)
		process, file, err = load(path, set)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, 2
	}
	if check {
		fmt.Println("the settings are valid")
		return nil, 0
	}
	if process.Memory > 0 {
		// Garbage is collected more often than by default: a memory setting means that
		// memory is scarce.
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(float64(process.Memory) * memoryShare * (1 << 20)))
	}
	world := loop.NewMachine()
	incarnation := Incarnation()
	level, err := zap.ParseAtomicLevel(process.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, 2
	}
	log := Logger(level).With(zap.String("daemon", process.Name), zap.String("incarnation", incarnation))
	out := &Process{Process: process, World: world, Net: &wire.TCP{World: world}, Log: log, Incarnation: incarnation, level: level, signals: caught, settingsFile: file, initialStamp: stamp}
	if process.Count {
		out.Net.Counter = new(wire.Counter)
	}
	world.OnPanic = func(value any, stack []byte) {
		log.Fatal("a task panicked", zap.Any("trouble", value), zap.ByteString("stack", stack))
	}
	out.Live = settings.NewLive(settings.LiveOptions{
		Process: *process, Apply: out.apply,
		Read: func() (*settings.Process, error) {
			process, _, err := load(path, set)
			return process, err
		},
	})
	return out, 0
}

// apply applies the settings that changed in place. Traces come first: only they can fail,
// and a failure must leave everything unchanged.
func (process *Process) apply(old, next settings.Process) error {
	if old.Traces != next.Traces && process.retrace != nil {
		if err := process.retrace(next.Traces); err != nil {
			return err
		}
	}
	return process.level.UnmarshalText([]byte(next.Log))
}

// Reload rereads the settings and logs the result.
func (process *Process) Reload() {
	switch reloaded := process.Live.Reload(); {
	case len(reloaded.Problems) > 0:
		for _, problem := range reloaded.Problems {
			process.Log.Error("the settings were not reloaded", zap.String("path", problem.Path), zap.String("reason", problem.Reason))
		}
	default:
		process.Log.Info("the settings were reloaded", zap.Strings("changed", reloaded.Changed), zap.Strings("needs_restart", reloaded.Restart))
	}
}

// Listen opens the listeners for RPC calls and for the HTTP apps, each at its address, and
// serves them. It returns a function that closes all of them.
func (process *Process) Listen(server *rpc.Server, apps map[string]*fiber.App) (func(), error) {
	listener, err := net.Listen("tcp", process.Wire)
	if err != nil {
		return nil, err
	}
	opened := []net.Listener{listener}
	httpListeners := map[string]net.Listener{}
	for address := range apps {
		httpListener, err := net.Listen("tcp", address)
		if err != nil {
			for _, openListener := range opened {
				openListener.Close()
			}
			return nil, err
		}
		opened, httpListeners[address] = append(opened, httpListener), httpListener
	}
	process.World.Go(func() { wire.Serve(process.World, listener, server) })
	for address, app := range apps {
		process.World.Go(func() {
			if err := app.Listener(httpListeners[address]); err != nil && !process.World.Ended() {
				process.Log.Error("the HTTP listener failed", zap.String("at", address), zap.Error(err))
			}
		})
	}
	process.Log.Info("listening", zap.String("wire", process.Wire), zap.Strings("http", slices.Sorted(maps.Keys(apps))))
	return func() {
		// The apps are shut down concurrently, as each may take the whole second.
		loop.Gather(process.World, len(apps), 2*time.Second, func(index int) error {
			return apps[slices.Sorted(maps.Keys(apps))[index]].ShutdownWithTimeout(time.Second)
		}, func(int, error) bool { return false })
		listener.Close()
	}, nil
}

// Wait waits for SIGTERM or SIGINT.
func Wait() {
	stopContext, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	<-stopContext.Done()
}

// Wait waits for the signal to stop and returns it. From the call on, a SIGHUP makes the process reload its
// settings, also while it stops.
func (process *Process) Wait() (received os.Signal) {
	process.signals.onReload(process.World, process.Reload)
	return <-process.signals.stop
}
