package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"swifttiller/modelcheck"
)

// modelCommand explores the models of package modelcheck, with limits set by flags.
type modelCommand struct {
	world  string
	bounds modelcheck.Bounds
}

func (*modelCommand) Name() string { return "check-model" }
func (*modelCommand) Synopsis() string {
	return "explore small models of registers for schedules that violate an invariant"
}
func (*modelCommand) Usage() string {
	return `fleet check-model [--world NAME] [--runs COUNT] [--deviations COUNT]
  Explores schedules in which messages are delivered, lost, duplicated and reordered, and
  machines lose power. Prints how many states it visited and what it left out.
  Exit status: 0 nothing found, 1 an invariant was violated (the run is printed), 2 invalid usage.
`
}

func (command *modelCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&command.world, "world", "", "the model to explore: "+strings.Join(slices.Sorted(maps.Keys(modelcheck.AllWorlds())), ", ")+"; default all")
	set.IntVar(&command.bounds.Runs, "runs", 20000, "maximum number of runs of each model")
	set.IntVar(&command.bounds.Deviations, "deviations", 6, "maximum number of unusual steps in a run")
}

func (command *modelCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	names := slices.Sorted(maps.Keys(modelcheck.AllWorlds()))
	if command.world != "" {
		if _, isKnown := modelcheck.AllWorlds()[command.world]; !isKnown {
			fmt.Fprintf(os.Stderr, "fleet check-model: unknown model %q; the models are %s\n", command.world, strings.Join(names, ", "))
			return subcommands.ExitUsageError
		}
		names = []string{command.world}
	}
	status := subcommands.ExitSuccess
	for _, name := range names {
		report := modelcheck.Explore(modelcheck.AllWorlds()[name], command.bounds)
		fmt.Println(report)
		if report.Counterexample != nil {
			status = subcommands.ExitFailure
		}
	}
	return status
}
