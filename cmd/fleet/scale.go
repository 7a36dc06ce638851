package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"image/color"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"swifttiller/fleet"
)

type scaleCommand struct {
	fleet.ScaleOptions
	size              fleet.ScaleSize
	vary              string
	values            []int
	list              string
	most              time.Duration
	out, plot, commit string
}

func (*scaleCommand) Name() string { return "scale" }
func (*scaleCommand) Synopsis() string {
	return "measure the resource use of daemons at several sizes, with real and simulated daemons"
}
func (*scaleCommand) Usage() string {
	return `fleet scale --vary DIMENSION --values N,N,... [flags]
  For each value in turn it starts real control daemons and two real data daemons as
  processes on loopback, simulates the other data daemons and the replicas in this process,
  and measures messages, bytes, processor time, memory, disk syncs and how long a change of
  the configuration takes. It exits by itself, after --most at the latest, and stops the
  processes it started. The programs controlplane and dataplane are expected in the folder
  of this program (or --programs).
  Dimensions: datas, replicas, regions, zones, routes, models, controls.
  Example: fleet scale --vary datas --values 6,25,100 --out datas.json --plot datas.svg
  Exit status: 0 every point was measured, 1 some were not, 2 invalid usage.
`
}

func (command *scaleCommand) SetFlags(set *flag.FlagSet) {
	program, _ := os.Executable()
	set.StringVar(&command.vary, "vary", "datas", "the dimension that varies between points")
	set.StringVar(&command.list, "values", "6,12,25", "comma-separated values of that dimension")
	set.IntVar(&command.size.Datas, "datas", 25, "data daemons, two of them real")
	set.IntVar(&command.size.Replicas, "replicas", 36, "replicas")
	set.IntVar(&command.size.Regions, "regions", 3, "regions")
	set.IntVar(&command.size.Zones, "zones", 6, "zones, in all regions together")
	set.IntVar(&command.size.Routes, "routes", 30, "routes of the configuration, one for each tenant")
	set.IntVar(&command.size.Models, "models", 2, "models")
	set.IntVar(&command.size.Controls, "controls", 3, "control daemons, all real, each with a disk")
	set.DurationVar(&command.Warm, "warm", 4*time.Second, "warm-up time before the measurement")
	set.DurationVar(&command.Span, "span", 8*time.Second, "duration of the measurement without changes")
	set.DurationVar(&command.Pause, "pause", 2*time.Second, "time between two changes of the configuration")
	set.IntVar(&command.Changes, "changes", 3, "changes of the configuration")
	set.DurationVar(&command.most, "most", 10*time.Minute, "maximum duration of the whole run, up to 1h")
	set.StringVar(&command.Programs, "programs", filepath.Dir(program), "the folder with the programs controlplane and dataplane")
	set.StringVar(&command.commit, "commit", "", "the commit that the programs were built from, recorded in the result")
	set.StringVar(&command.out, "out", "", "a file for the result (JSON); standard output when empty")
	set.StringVar(&command.plot, "plot", "", "a file (.svg, .png or .pdf) for a plot of a data daemon's resource use relative to its budget")
}

// check validates the flags and parses the values of the varied dimension.
func (command *scaleCommand) check(set *flag.FlagSet) error {
	if set.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", set.Arg(0))
	}
	for _, text := range splitList(command.list) {
		value, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("--values: %q is not an integer", text)
		}
		size, isDimension := command.size.With(command.vary, value)
		if !isDimension {
			return fmt.Errorf("--vary: unknown dimension %q", command.vary)
		}
		if err := size.Check(); err != nil {
			return err
		}
		command.values = append(command.values, value)
	}
	switch {
	case len(command.values) == 0:
		return fmt.Errorf("--values is empty")
	case command.Warm < 0 || command.Pause < 0 || command.Span < time.Second || command.Span > 10*time.Minute:
		return fmt.Errorf("--span must be between 1s and 10m, --warm and --pause must not be negative")
	case command.Changes < 0 || command.Changes > 1000:
		return fmt.Errorf("--changes must be between 0 and 1000")
	case command.most <= 0 || command.most > time.Hour:
		return fmt.Errorf("--most must be above 0 and at most 1h")
	}
	if at := strings.LastIndexByte(command.plot, '.'); command.plot != "" && (at < 0 || !slices.Contains([]string{".svg", ".png", ".pdf"}, command.plot[at:])) {
		return fmt.Errorf("--plot: %q must end in .svg, .png or .pdf", command.plot)
	}
	for _, name := range []string{"controlplane", "dataplane"} {
		if _, err := os.Stat(filepath.Join(command.Programs, name)); err != nil {
			return fmt.Errorf("--programs: %v", err)
		}
	}
	return nil
}

// scaleResult is the JSON output of a run.
type scaleResult struct {
	Commit string             `json:"commit,omitempty"`
	Vary   string             `json:"vary"`
	SpanMs int64              `json:"span_ms"`
	Points []fleet.ScalePoint `json:"points"`
	Slopes []fleet.ScaleSlope `json:"slopes"`
}

// Execute measures one point after the other. It stops at the first point that fails as a whole;
// a point with partial trouble is kept in the result. Either makes the exit status 1.
func (command *scaleCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := command.check(set); err != nil {
		fmt.Fprintln(os.Stderr, "fleet scale:", err)
		return subcommands.ExitUsageError
	}
	ctx, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer done()
	ctx, cancel := context.WithTimeout(ctx, command.most)
	defer cancel()
	progress := func(string, ...any) {}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		progress = func(format string, values ...any) { fmt.Fprintf(os.Stderr, "\r\x1b[K"+format, values...) }
	}
	result := scaleResult{Commit: command.commit, Vary: command.vary, SpanMs: command.Span.Milliseconds()}
	status := subcommands.ExitSuccess
	fail := func(err error) {
		progress("")
		fmt.Fprintln(os.Stderr, "fleet scale:", err)
		status = subcommands.ExitFailure
	}
	for index, value := range command.values {
		progress("%d of %d: %s %d", index+1, len(command.values), command.vary, value)
		size, _ := command.size.With(command.vary, value)
		point, err := fleet.MeasureScale(ctx, command.ScaleOptions, size)
		if err != nil {
			fail(fmt.Errorf("%s %d: %w", command.vary, value, err))
			break
		}
		if point.Trouble != "" {
			fail(fmt.Errorf("%s %d: %s", command.vary, value, point.Trouble))
		}
		result.Points = append(result.Points, point)
	}
	progress("")
	for _, name := range fleet.ScaleFigures(result.Points) {
		if slope, fits := fleet.Slope(result.Points, command.vary, name); fits {
			result.Slopes = append(result.Slopes, slope)
		}
	}
	text, _ := json.MarshalIndent(result, "", " ")
	var err error
	if command.out == "" {
		_, err = io.WriteString(os.Stdout, string(text)+"\n")
	} else {
		err = os.WriteFile(command.out, append(text, '\n'), 0o644)
	}
	if err != nil {
		fail(err)
	}
	if command.plot != "" {
		if err := drawScale(command.plot, command.vary, result.Points); err != nil {
			fail(err)
		}
	}
	return status
}

// drawScale plots the resource use of a data daemon as shares of its budget, and the processor
// time of the busiest control daemon.
func drawScale(path, vary string, points []fleet.ScalePoint) error {
	picture := plot.New()
	picture.X.Label.Text, picture.Y.Label.Text = vary, "share of the budget, or of a core"
	picture.Y.Min = 0
	picture.Legend.Top, picture.Legend.Left = true, true
	for _, series := range []struct {
		name, figure string
		budget       float64
		color        color.Color
	}{
		{"processor time of a data daemon, budget 1.2 % of a core", "data_cores", fleet.BudgetCores, color.RGBA{R: 200, A: 255}},
		{"memory of a data daemon, budget 64 MB", "data_mb", fleet.BudgetMB, color.RGBA{G: 140, A: 255}},
		{"control traffic of a data daemon, budget 20 KB per second", "data_bytes_s", fleet.BudgetBytes, color.RGBA{B: 200, A: 255}},
		{"processor time of the busiest control daemon, share of a core", "control_cores", 1, color.Gray{Y: 90}},
	} {
		var line plotter.XYs
		for _, point := range points {
			if value, known := point.Figures[series.figure]; known && point.Trouble == "" {
				line = append(line, plotter.XY{X: float64(point.Value(vary)), Y: value / series.budget})
			}
		}
		if len(line) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(line)
		if err != nil {
			return err
		}
		drawn.Color = series.color
		picture.Add(drawn)
		picture.Legend.Add(series.name, drawn)
	}
	return picture.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
