// Package serve is what both programs' processes share: start, logs, listeners
// and the graceful stop.
package serve

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"swifttiller/loop"
	"swifttiller/settings"
	"swifttiller/wire"
)

// Process is a running process: its settings, world, net and log.
type Process struct {
	*settings.Process
	Live        *settings.Live
	level       zap.AtomicLevel
	retrace     func(path string) error
	told        chan os.Signal // from the very start, as a SIGHUP may come early
	World       *loop.Machine
	Net         *wire.TCP
	Log         *zap.Logger
	Incarnation string
}

// Incarnation names one life of a process; it never comes again.
func Incarnation() string {
	mark := make([]byte, 4)
	for index := range mark {
		mark[index] = byte(rand.UintN(256))
	}
	return fmt.Sprintf("%x-%s", time.Now().UnixMilli(), hex.EncodeToString(mark))
}

// Logger writes JSON lines to standard error, at a level that can be changed.
func Logger(level zap.AtomicLevel) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(os.Stderr), level))
}

// Load reads a process's settings and gives the file that they stand in.
type Load func(path string, set *flag.FlagSet) (*settings.Process, string, error)

// Start reads the settings. With check it only says whether they hold.
func Start(load Load, path string, set *flag.FlagSet, check bool) (*Process, int) {
	process, _, err := load(path, set)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, 2
	}
	if check {
		fmt.Println("the settings hold")
		return nil, 0
	}
	world := loop.NewMachine()
	incarnation := Incarnation()
	level, err := zap.ParseAtomicLevel(process.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, 2
	}
	log := Logger(level).With(zap.String("daemon", process.Name), zap.String("incarnation", incarnation))
	out := &Process{Process: process, World: world, Net: &wire.TCP{World: world}, Log: log, Incarnation: incarnation, level: level, told: make(chan os.Signal, 4)}
	signal.Notify(out.told, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	world.Panicked = func(trouble any, stack []byte) {
		log.Fatal("a task panicked", zap.Any("trouble", trouble), zap.ByteString("stack", stack))
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

// apply carries out what changed in place; traces first, which alone may fail.
func (process *Process) apply(old, next settings.Process) error {
	if old.Traces != next.Traces && process.retrace != nil {
		if err := process.retrace(next.Traces); err != nil {
			return err
		}
	}
	return process.level.UnmarshalText([]byte(next.Log))
}

// Reload rereads the settings and says so in the log.
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

// Endpoint is one more place where a daemon is asked.
type Endpoint struct {
	Address string
	App     *fiber.App
}

// Listen serves the wire, HTTP and whatever more there is; it gives the function that
// closes all.
func (process *Process) Listen(server *rpc.Server, app *fiber.App, more ...Endpoint) (func(), error) {
	listener, err := net.Listen("tcp", process.Wire)
	if err != nil {
		return nil, err
	}
	endpoints := append([]Endpoint{{process.HTTP, app}}, more...)
	var fronts []net.Listener
	for _, one := range endpoints {
		front, err := net.Listen("tcp", one.Address)
		if err != nil {
			listener.Close()
			for _, opened := range fronts {
				opened.Close()
			}
			return nil, err
		}
		fronts = append(fronts, front)
	}
	process.World.Go(func() { wire.Serve(process.World, listener, server) })
	for index, one := range endpoints {
		process.World.Go(func() {
			if err := one.App.Listener(fronts[index]); err != nil && !process.World.Ended() {
				process.Log.Error("an HTTP listener ended", zap.String("address", one.Address), zap.Error(err))
			}
		})
	}
	process.Log.Info("listening", zap.String("wire", process.Wire), zap.String("http", process.HTTP))
	return func() {
		for _, one := range endpoints {
			_ = one.App.ShutdownWithTimeout(time.Second)
		}
		listener.Close()
	}, nil
}

// Wait waits for the word to stop.
func Wait() {
	told, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer done()
	<-told.Done()
}

// Wait waits for the word to stop, and reloads on SIGHUP meanwhile.
func (process *Process) Wait() {
	for one := range process.told {
		if one != syscall.SIGHUP {
			return
		}
		process.Reload()
	}
}
