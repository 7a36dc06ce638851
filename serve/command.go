package serve

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"net/rpc"
	"os"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/subcommands"
	"go.uber.org/zap"

	"swifttiller/settings"
)

// Daemon holds the parts of a program's daemon that Command runs.
type Daemon struct {
	Services *rpc.Server
	App      *fiber.App
	// Apps, if any, are additional HTTP apps, by their listen addresses.
	Apps map[string]*fiber.App
	// Run starts the daemon's loops. Stop stops it gracefully and reports whether all
	// work has finished within the grace period. AfterStop, if set, is called last.
	Run       func()
	Stop      func(grace time.Duration) bool
	AfterStop func()
	// Running, if set, returns the number of requests in progress.
	Running func() int
	// RedirectTraces, if set, redirects traces to another file.
	RedirectTraces func(path string) error
}

// Command is a program's run command, which runs its daemon.
type Command struct {
	Program, Title, Help string
	// Load, if set, replaces the function that reads the settings from this program's own
	// settings file.
	Load Load
	// Make creates the daemon of a process whose settings were checked.
	Make func(process *Process) (Daemon, error)

	path  *string
	check bool
}

// Name returns the name of the command.
func (*Command) Name() string { return "run" }

// Synopsis returns a description of one line.
func (command *Command) Synopsis() string { return "run a " + command.Title }

// Usage returns the help text.
func (command *Command) Usage() string {
	return command.Program + " run [--settings FILE] [flags]\n  Runs until SIGTERM or SIGINT, then finishes running requests within the grace period.\n  SIGHUP (or controlplane reload NAME, or a change of the file, checked every second) rereads\n  the settings file: seeds, log, grace and traces\n  change in place, the rest needs a restart; after an error the old settings stay in force." + command.Help +
		"\n  Exit: 0 stopped as requested, 1 failed or not finished within the grace period, 2 the settings are invalid.\n"
}

// SetFlags registers the command's flags.
func (command *Command) SetFlags(set *flag.FlagSet) {
	command.path = settings.ProcessFlags(set)
	set.BoolVar(&command.check, "check", false, "check the settings and exit")
}

// Execute loads the settings, runs the daemon until a signal to stop, and stops it gracefully.
func (command *Command) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if command.Load == nil {
		command.Load = load
	}
	process, code := Start(command.Load, *command.path, set, command.check)
	if process == nil {
		return subcommands.ExitStatus(code)
	}
	daemon, err := command.Make(process)
	if err != nil {
		process.Log.Error("can't create the daemon", zap.Error(err))
		return subcommands.ExitFailure
	}
	if daemon.AfterStop != nil {
		defer daemon.AfterStop()
	}
	apps := map[string]*fiber.App{process.HTTP: daemon.App}
	maps.Copy(apps, daemon.Apps)
	closeListeners, err := process.Listen(daemon.Services, apps)
	if err != nil {
		process.Log.Error("can't open the listeners", zap.Error(err))
		return subcommands.ExitFailure
	}
	process.retrace = daemon.RedirectTraces
	daemon.Run()
	if process.settingsFile != "" {
		process.World.Go(func() { Watch(process.World, process.settingsFile, process.initialStamp, process.Reload) })
	}
	received := process.Wait()
	if !process.stop(daemon, received, closeListeners) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// stop stops the daemon gracefully within its grace period and reports whether all work in progress has finished.
func (process *Process) stop(daemon Daemon, received os.Signal, closeListeners func()) (finished bool) {
	grace := time.Duration(process.Live.Now().Grace) * time.Second
	began := process.World.Now()
	process.Log.Info("stopping", zap.Stringer("signal", received), zap.Duration("grace", grace), zap.Int("running", daemon.running()))
	finished = daemon.Stop(grace)
	closeListeners()
	process.World.End()
	process.World.Wait(time.Second)
	process.Log.Info("stopped", zap.Bool("finished", finished), zap.Duration("took", process.World.Now()-began), zap.Int("running", daemon.running()))
	return finished
}

// running returns the number of requests in progress, or zero for a daemon that doesn't count them.
func (daemon *Daemon) running() int {
	if daemon.Running == nil {
		return 0
	}
	return daemon.Running()
}

// Main registers the program's commands, run and those for operators, runs the one that the
// command line names, and exits with its status.
func Main(program string, run *Command, operators []subcommands.Command) {
	commander := subcommands.NewCommander(flag.CommandLine, program)
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(run, "daemon")
	for _, command := range operators {
		commander.Register(command, "operators")
	}
	flag.CommandLine.Usage = func() { commander.Explain(os.Stderr) }
	flag.Parse()
	if flag.NArg() == 0 {
		fmt.Fprintf(os.Stderr, "%[1]s: a command is required; see `%[1]s help`\n", program)
	}
	os.Exit(int(commander.Execute(context.Background())))
}
