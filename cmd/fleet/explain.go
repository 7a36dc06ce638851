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

// explainCommand summarizes the routing decisions that data daemons logged.
type explainCommand struct{}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "summarize why the first pieces of responses were late, from the logs of data daemons"
}
func (*explainCommand) Usage() string {
	return "fleet explain [FILE...]\nReads the logs of data daemons that run with --choices; without files, reads standard input.\n"
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
		fmt.Fprintln(os.Stderr, "the logs contain no routing decisions; check that the data daemons run with --choices")
		return subcommands.ExitFailure
	}
	fleet.WriteExplained(os.Stdout, fleet.Explain(choices))
	return subcommands.ExitSuccess
}
