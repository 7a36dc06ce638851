package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"swifttiller/fleet"
)

// explainCommand sums up the choices that data daemons logged.
type explainCommand struct{}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "sum up why first pieces came late, from data daemons' logs"
}
func (*explainCommand) Usage() string {
	return "fleet explain [FILE...]\nreads logs of data daemons that run with --choices; standard input without files\n"
}
func (*explainCommand) SetFlags(*flag.FlagSet) {}

func (*explainCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	readers := []io.Reader{os.Stdin}
	if set.NArg() > 0 {
		readers = nil
	}
	for _, name := range set.Args() {
		file, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitUsageError
		}
		defer file.Close()
		readers = append(readers, file)
	}
	choices, err := fleet.ReadChoices(io.MultiReader(readers...))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if len(choices) == 0 {
		fmt.Fprintln(os.Stderr, "no choices in the logs: do the data daemons run with --choices?")
		return subcommands.ExitFailure
	}
	fleet.WriteExplained(os.Stdout, fleet.Explain(choices))
	return subcommands.ExitSuccess
}
