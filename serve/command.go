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

// Daemon is what a program makes of a process.
type Daemon struct {
	Services *rpc.Server
	App      *fiber.App
	// Apps, if any, are further ones, by the address that each is served at.
	Apps map[string]*fiber.App
	// Run starts the loops; Stop is the planned stop and tells whether all was
	// finished; Closed, if set, is the last thing done.
	Run    func()
	Stop   func(grace time.Duration) bool
	Closed func()
	// Running, if set, counts the requests that have not ended yet.
	Running func() int
	// Retrace, if set, makes traces go to another file from now on.
	Retrace func(path string) error
}

// Command is the run command of a program.
type Command struct {
	Program, What, More string
	// Load, if set, is how settings are read elsewhere than in our own file.
	Load Load
	// Make makes the daemon of a process whose settings hold.
	Make func(process *Process) (Daemon, error)

	path  *string
	check bool
}

// Name is run.
func (*Command) Name() string { return "run" }

// Synopsis is one line.
func (command *Command) Synopsis() string { return "run a " + command.What }

// Usage is the help.
func (command *Command) Usage() string {
	return command.Program + " run [--settings FILE] [flags]\n  Runs until SIGTERM or SIGINT, then finishes what runs within the grace.\n  SIGHUP (or controlplane reload NAME, or a change of the file, looked for each second) rereads\n  the settings file: seeds, log, grace and traces\n  change in place, the rest needs a restart; on an error the old ones stay." + command.More +
		"\n  Exit: 0 stopped as asked, 1 failed or the grace ran out, 2 the settings do not hold.\n"
}

// SetFlags registers the flags.
func (command *Command) SetFlags(set *flag.FlagSet) {
	command.path = settings.ProcessFlags(set)
	set.BoolVar(&command.check, "check", false, "only check the settings")
}

// Execute runs the daemon from its settings to its planned stop.
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
		process.Log.Error("can't start", zap.Error(err))
		return subcommands.ExitFailure
	}
	if daemon.Closed != nil {
		defer daemon.Closed()
	}
	apps := map[string]*fiber.App{process.HTTP: daemon.App}
	maps.Copy(apps, daemon.Apps)
	closing, err := process.Listen(daemon.Services, apps)
	if err != nil {
		process.Log.Error("can't listen", zap.Error(err))
		return subcommands.ExitFailure
	}
	process.retrace = daemon.Retrace
	daemon.Run()
	if process.settingsFile != "" {
		process.World.Go(func() { Watch(process.World, process.settingsFile, process.initialStamp, process.Reload) })
	}
	received := process.Wait()
	if !process.stop(daemon, received, closing) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// stop ends the daemon in order, within its grace, and tells whether all that was under way has ended.
func (process *Process) stop(daemon Daemon, received os.Signal, closing func()) (finished bool) {
	grace := time.Duration(process.Live.Now().Grace) * time.Second
	began := process.World.Now()
	process.Log.Info("stopping", zap.Stringer("signal", received), zap.Duration("grace", grace), zap.Int("running", daemon.running()))
	finished = daemon.Stop(grace)
	closing()
	process.World.End()
	process.World.Wait(time.Second)
	process.Log.Info("stopped", zap.Bool("finished", finished), zap.Duration("took", process.World.Now()-began), zap.Int("running", daemon.running()))
	return finished
}

// running counts the requests that have not ended yet, none for a daemon that has no such count.
func (daemon *Daemon) running() int {
	if daemon.Running == nil {
		return 0
	}
	return daemon.Running()
}

// Main runs a program with its commands, by group.
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
		fmt.Fprintf(os.Stderr, "%[1]s: a command is needed; see `%[1]s help`\n", program)
	}
	os.Exit(int(commander.Execute(context.Background())))
}
