// Command fleet runs the simulated parts of a local fleet: replicas, a platform and callers.
// It is a tool for tests and measurements, not part of the product.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/subcommands"

	"swifttiller/fleet"
	"swifttiller/loop"
	"swifttiller/serve"
)

// serverFlags holds the flags of the simulated replica and the simulated platform.
type serverFlags struct {
	id, zone, http, held, bad, cuts string
	capacity, cold                  int
	loading, prefill, decode        time.Duration
	reports, odd                    bool
	lag, least                      time.Duration
	replicas                        string
}

type replicaCommand struct{ serverFlags }

func (*replicaCommand) Name() string     { return "replica" }
func (*replicaCommand) Synopsis() string { return "run a simulated replica" }
func (*replicaCommand) Usage() string    { return "fleet replica --id ID --http IP:PORT [flags]\n" }
func (command *replicaCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&command.id, "id", "r1", "the replica's id")
	set.StringVar(&command.zone, "zone", "", "its zone")
	set.StringVar(&command.http, "http", "127.0.0.1:7401", "IP:port")
	set.StringVar(&command.held, "held", "", "comma-separated versions that are loaded at the start, as model/version")
	set.StringVar(&command.bad, "bad", "", "a version that fails, as version or version/kind")
	set.StringVar(&command.cuts, "cuts", "", "a kind of request whose responses are cut off after the first event")
	set.BoolVar(&command.odd, "odd", false, "requests of the kinds odd-reset, odd-reset-head, odd-reset-stream, odd-silent, odd-hang, odd-bad-head, odd-bad-chunk, odd-half, odd-no-done and odd-other trigger connection and protocol faults")
	set.IntVar(&command.capacity, "capacity", 8, "capacity in concurrent cost units")
	set.IntVar(&command.cold, "cold", 20, "number of responses until it is warm")
	set.DurationVar(&command.loading, "loading", time.Second, "how long loading a version takes")
	set.DurationVar(&command.prefill, "prefill", 5*time.Millisecond, "prefill time per KiB of prompt that is not cached")
	set.DurationVar(&command.decode, "decode", time.Millisecond, "decode time per token")
	set.BoolVar(&command.reports, "reports", false, "report the load in responses to probes")
}

func (command *replicaCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	replica := fleet.NewReplica(fleet.ReplicaOptions{
		World: loop.NewMachine(), ID: command.id, Zone: command.zone, Address: command.http, Boot: serve.Incarnation(), Capacity: command.capacity,
		ColdShare: 0.125, ColdAnswers: command.cold, Loading: command.loading, Prefill: command.prefill, Decode: command.decode, Cached: 8, Reports: command.reports,
		Held: splitList(command.held), Cuts: command.cuts, Odd: command.odd,
		Bad: func(version, kind string, _ int) bool {
			badVersion, badKind, hasKind := strings.Cut(command.bad, "/")
			return command.bad != "" && version == badVersion && (!hasKind || kind == badKind)
		},
	})
	return listen(replica.App(), command.http)
}

type platformCommand struct{ serverFlags }

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run a simulated platform" }
func (*platformCommand) Usage() string {
	return "fleet platform --http IP:PORT --replicas region/zone/id=IP:PORT,...\n"
}
func (command *platformCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&command.http, "http", "127.0.0.1:7400", "IP:port")
	set.StringVar(&command.replicas, "replicas", "", "comma-separated replicas to list, as region/zone/id=IP:PORT")
	set.DurationVar(&command.lag, "lag", 500*time.Millisecond, "delay until a change appears in the list")
	set.DurationVar(&command.least, "least", 200*time.Millisecond, "minimum time between two requests for the same region")
}

func (command *platformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	world := loop.NewMachine()
	platform := fleet.NewPlatform(world.Now, command.lag, command.least)
	for _, entry := range splitList(command.replicas) {
		path, address, _ := strings.Cut(entry, "=")
		parts := strings.Split(path, "/")
		if len(parts) != 3 || address == "" {
			fmt.Fprintf(os.Stderr, "fleet: %q is not of the form region/zone/id=IP:PORT\n", entry)
			return subcommands.ExitUsageError
		}
		platform.Add(parts[0], parts[2], address, parts[1])
	}
	return listen(platform.App(), command.http)
}

type callCommand struct {
	fleet.CallerOptions
	at string
}

func (*callCommand) Name() string { return "call" }
func (*callCommand) Synopsis() string {
	return "send requests as a caller and count the outcomes"
}
func (*callCommand) Usage() string {
	return "fleet call --at IP:PORT[,IP:PORT] --model M --kind K [flags]\n  Exit status: 0 every request was answered completely, 1 some were not.\n"
}
func (command *callCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&command.at, "at", "127.0.0.1:7301", "comma-separated HTTP addresses of data daemons")
	set.StringVar(&command.Model, "model", "roster", "model")
	set.StringVar(&command.Kind, "kind", "check", "kind of request")
	set.StringVar(&command.Home, "home", "", "home tag")
	set.StringVar(&command.Zone, "zone", "", "the caller's zone")
	set.IntVar(&command.Count, "count", 10, "requests")
	set.IntVar(&command.Workers, "workers", 2, "number of concurrent callers")
	set.IntVar(&command.Bytes, "bytes", 4000, "prompt length in bytes")
	set.IntVar(&command.Tokens, "tokens", 32, "response length in tokens")
	set.IntVar(&command.Prefixes, "rosters", 3, "number of distinct prompt prefixes")
	set.DurationVar(&command.Pause, "pause", 0, "pause between a caller's requests")
	set.IntVar(&command.Retries, "retries", 3, "maximum retries of a request that was not run")
	set.StringVar(&command.Direct, "direct", "", "a replica's IP:PORT to send to directly, without a data daemon, for comparison (give --model as model@version)")
	set.BoolVar(&command.Show, "show", false, "print the outcome of each request")
}

func (command *callCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	command.At = splitList(command.at)
	counters := fleet.Call(command.CallerOptions)
	fmt.Println(counters)
	if counters.OK != command.Count {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// splitList splits a comma-separated list; an empty text gives no elements.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func listen(app *fiber.App, address string) subcommands.ExitStatus {
	go func() {
		serve.Wait()
		_ = app.ShutdownWithTimeout(time.Second)
		os.Exit(0)
	}()
	if err := app.Listen(address); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "fleet")
	for _, command := range []subcommands.Command{commander.HelpCommand(), commander.FlagsCommand(), &replicaCommand{}, &platformCommand{}, &callCommand{}, &experimentCommand{}, &explainCommand{}, &scaleCommand{}, &modelCommand{}} {
		commander.Register(command, "")
	}
	flag.CommandLine.Usage = func() { commander.Explain(os.Stderr) }
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
