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
	one, other, format, plot string
}

func (*experimentCommand) Name() string { return "experiment" }
func (*experimentCommand) Synopsis() string {
	return "play a load in virtual time on one machine, under two settings side by side"
}
func (*experimentCommand) Usage() string {
	return `fleet experiment [flags]
  Both sides get the same load from the same seed. A setting is LIMIT=VALUE, several by
  comma; the limits are those of the configuration (controlplane show --effective).
  Example: fleet experiment --shape small --a far_kb_ms=10 --b far_kb_ms=0
  Exit: 0 measured, 1 the plot could not be written, 2 wrong usage.
`
}

func (command *experimentCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&command.Shape, "shape", "small", "the fleet: "+strings.Join(slices.Sorted(maps.Keys(fleet.ExperimentShapes())), " or "))
	set.Float64Var(&command.Load, "load", 1, "callers, as a multiple of the shape's")
	set.Uint64Var(&command.Seed, "seed", 1, "the seed of both sides")
	set.DurationVar(&command.Warm, "warm", 10*time.Second, "virtual time before anything is measured")
	set.DurationVar(&command.Span, "span", 20*time.Second, "virtual time that is measured")
	set.StringVar(&command.one, "a", "", "settings of the first side")
	set.StringVar(&command.other, "b", "", "settings of the second side")
	set.StringVar(&command.format, "format", "both", "what is printed: table, json or both")
	set.StringVar(&command.plot, "plot", "", "a file (.svg, .png or .pdf) for the times to the first piece")
}

// limits reads settings.
func limits(text string) (map[string]float64, error) {
	out := map[string]float64{}
	for _, word := range words(text) {
		name, value, _ := strings.Cut(word, "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is no LIMIT=VALUE", word)
		}
		if _, isTwice := out[name]; isTwice {
			return nil, fmt.Errorf("%q is named twice", name)
		}
		out[name] = number
	}
	return out, nil
}

// Execute measures both sides, one after the other.
func (command *experimentCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	wrong := func(err error) subcommands.ExitStatus {
		fmt.Fprintln(os.Stderr, "fleet experiment:", err)
		return subcommands.ExitUsageError
	}
	if set.NArg() > 0 {
		return wrong(fmt.Errorf("%q is one word too many", set.Arg(0)))
	}
	if command.format != "table" && command.format != "json" && command.format != "both" {
		return wrong(fmt.Errorf("format %q is none of table, json, both", command.format))
	}
	if at := strings.LastIndexByte(command.plot, '.'); command.plot != "" && (at < 0 || !slices.Contains([]string{".svg", ".png", ".pdf"}, command.plot[at:])) {
		return wrong(fmt.Errorf("plot %q ends in none of .svg, .png, .pdf", command.plot))
	}
	type side struct {
		Settings string        `json:"settings"`
		Figures  fleet.Figures `json:"figures"`
	}
	var sides [2]side
	var options [2]fleet.ExperimentOptions
	for at, text := range []string{command.one, command.other} {
		options[at] = command.ExperimentOptions
		var err error
		if options[at].Limits, err = limits(text); err == nil {
			err = options[at].Check()
		}
		if err != nil {
			return wrong(err)
		}
		sides[at].Settings = text
	}
	for at := range sides {
		figures, err := fleet.Experiment(options[at])
		if err != nil {
			return wrong(err)
		}
		sides[at].Figures = figures
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

// table prints the sides beside each other.
func table(settings [2]string, one, other fleet.Figures) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name, format string, a, b any) {
		fmt.Fprintf(out, "%s\t"+format+"\t"+format+"\t\n", name, a, b)
	}
	row("settings", "%s", "a: "+settings[0], "b: "+settings[1])
	row("requests", "%d", one.Asked, other.Asked)
	row("answered", "%d", one.Answered, other.Answered)
	row("in time, share", "%.3f", one.InTime, other.InTime)
	for _, kind := range slices.Sorted(maps.Keys(one.First)) {
		for _, part := range []struct {
			name string
			a, b fleet.Quantiles
		}{{"first piece", one.First[kind], other.First[kind]}, {"longest pause", one.Pause[kind], other.Pause[kind]}} {
			row(kind+", "+part.name+", ms, p50", "%.1f", part.a.P50, part.b.P50)
			row("p90", "%.1f", part.a.P90, part.b.P90)
			row("p99", "%.1f", part.a.P99, part.b.P99)
		}
	}
	row("prompt tokens kept, share", "%.3f", one.KeptShare, other.KeptShare)
	row("tokens read again, a request", "%.0f", one.Again, other.Again)
	row("KB between regions, a request", "%.2f", one.FarKB, other.FarKB)
	row("dispatches to other regions, share", "%.3f", one.FarShare, other.FarShare)
	row("dispatches, a request", "%.3f", one.Dispatches, other.Dispatches)
	_ = out.Flush()
}

// draw plots which share of first pieces had come by a time.
func draw(path string, one, other []float64) error {
	picture := plot.New()
	picture.X.Label.Text, picture.Y.Label.Text = "ms to the first piece", "share of requests"
	picture.Y.Min, picture.Y.Max = 0, 1
	for at, list := range [][]float64{one, other} {
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
		line.Color = []color.Color{color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}}[at]
		picture.Add(line)
		picture.Legend.Add([]string{"a", "b"}[at], line)
	}
	return picture.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
