package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"image/color"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"swifttiller/fleet"
)

type experimentCommand struct {
	fleet.ExperimentOptions
	first, second, format, plot string
}

func (*experimentCommand) Name() string { return "experiment" }
func (*experimentCommand) Synopsis() string {
	return "simulate a load in virtual time under two settings and compare the results"
}
func (*experimentCommand) Usage() string {
	return `fleet experiment [flags]
  Both simulations get the same load from the same seed. Settings are a comma-separated
  list of LIMIT=VALUE; the limits are those of the configuration (controlplane show --effective).
  Example: fleet experiment --shape small --a far_kb_ms=10 --b far_kb_ms=0
  Exit status: 0 measured, 1 the plot could not be written, 2 invalid usage.
`
}

func (command *experimentCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&command.Shape, "shape", "small", "the simulated fleet: "+strings.Join(slices.Sorted(maps.Keys(fleet.ExperimentShapes())), " or "))
	set.Float64Var(&command.Load, "load", 1, "number of callers, as a multiple of the shape's")
	set.Uint64Var(&command.Seed, "seed", 1, "the seed of both simulations")
	set.DurationVar(&command.Warm, "warm", 10*time.Second, "virtual warm-up time before the measurement")
	set.DurationVar(&command.Span, "span", 20*time.Second, "virtual time of the measurement")
	set.StringVar(&command.first, "a", "", "settings of the first simulation")
	set.StringVar(&command.second, "b", "", "settings of the second simulation")
	set.StringVar(&command.format, "format", "both", "output format: table, json or both")
	set.StringVar(&command.plot, "plot", "", "a file (.svg, .png or .pdf) for a plot of the times to the first piece")
}

// limits parses a comma-separated list of LIMIT=VALUE.
func limits(text string) (map[string]float64, error) {
	out := map[string]float64{}
	for _, setting := range splitList(text) {
		name, value, _ := strings.Cut(setting, "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not of the form LIMIT=VALUE", setting)
		}
		if _, isDuplicate := out[name]; isDuplicate {
			return nil, fmt.Errorf("%q is set twice", name)
		}
		out[name] = number
	}
	return out, nil
}

// Execute runs both simulations, one after the other.
func (command *experimentCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	invalid := func(err error) subcommands.ExitStatus {
		fmt.Fprintln(os.Stderr, "fleet experiment:", err)
		return subcommands.ExitUsageError
	}
	if set.NArg() > 0 {
		return invalid(fmt.Errorf("unexpected argument %q", set.Arg(0)))
	}
	if command.format != "table" && command.format != "json" && command.format != "both" {
		return invalid(fmt.Errorf("--format: %q must be one of table, json, both", command.format))
	}
	if at := strings.LastIndexByte(command.plot, '.'); command.plot != "" && (at < 0 || !slices.Contains([]string{".svg", ".png", ".pdf"}, command.plot[at:])) {
		return invalid(fmt.Errorf("--plot: %q must end in .svg, .png or .pdf", command.plot))
	}
	type side struct {
		Settings string        `json:"settings"`
		Figures  fleet.Figures `json:"figures"`
	}
	var sides [2]side
	var options [2]fleet.ExperimentOptions
	for index, text := range []string{command.first, command.second} {
		options[index] = command.ExperimentOptions
		var err error
		if options[index].Limits, err = limits(text); err == nil {
			err = options[index].Check()
		}
		if err != nil {
			return invalid(err)
		}
		sides[index].Settings = text
	}
	for index := range sides {
		figures, err := fleet.Experiment(options[index])
		if err != nil {
			return invalid(err)
		}
		sides[index].Figures = figures
	}
	if command.format != "json" {
		table([2]string{sides[0].Settings, sides[1].Settings}, sides[0].Figures, sides[1].Figures)
	}
	if command.format != "table" {
		text, _ := json.MarshalIndent(map[string]any{"shape": command.Shape, "load": command.Load, "seed": command.Seed, "warm_ms": command.Warm.Milliseconds(), "span_ms": command.Span.Milliseconds(), "a": sides[0], "b": sides[1]}, "", "  ")
		fmt.Println(string(text))
	}
	if command.plot != "" {
		if err := draw(command.plot, sides[0].Figures.Firsts, sides[1].Figures.Firsts); err != nil {
			fmt.Fprintln(os.Stderr, "fleet experiment:", err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// table prints the figures of both simulations in two columns.
func table(settings [2]string, first, second fleet.Figures) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name, format string, a, b any) {
		fmt.Fprintf(out, "%s\t"+format+"\t"+format+"\t\n", name, a, b)
	}
	row("settings", "%s", "a: "+settings[0], "b: "+settings[1])
	row("requests", "%d", first.Asked, second.Asked)
	row("answered", "%d", first.Answered, second.Answered)
	row("in time, share", "%.3f", first.InTime, second.InTime)
	for _, kind := range slices.Sorted(maps.Keys(first.First)) {
		for _, part := range []struct {
			name string
			a, b fleet.Quantiles
		}{{"first piece", first.First[kind], second.First[kind]}, {"longest pause", first.Pause[kind], second.Pause[kind]}} {
			row(kind+", "+part.name+", ms, p50", "%.1f", part.a.P50, part.b.P50)
			row("p90", "%.1f", part.a.P90, part.b.P90)
			row("p99", "%.1f", part.a.P99, part.b.P99)
		}
	}
	row("prompt tokens kept, share", "%.3f", first.KeptShare, second.KeptShare)
	row("tokens read again, a request", "%.0f", first.Again, second.Again)
	row("KB between regions, a request", "%.2f", first.FarKB, second.FarKB)
	row("dispatches to other regions, share", "%.3f", first.FarShare, second.FarShare)
	row("dispatches, a request", "%.3f", first.Dispatches, second.Dispatches)
	_ = out.Flush()
}

// draw plots the cumulative distribution of the time to the first piece for both simulations.
func draw(path string, first, second []float64) error {
	picture := plot.New()
	picture.X.Label.Text, picture.Y.Label.Text = "ms to the first piece", "share of requests"
	picture.Y.Min, picture.Y.Max = 0, 1
	for side, list := range [][]float64{first, second} {
		points := make(plotter.XYs, len(list))
		for index, value := range list {
			points[index] = plotter.XY{X: value, Y: float64(index+1) / float64(len(list))}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = []color.Color{color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}}[side]
		picture.Add(line)
		picture.Legend.Add([]string{"a", "b"}[side], line)
	}
	return picture.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
