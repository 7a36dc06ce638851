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
	return "measure what daemons cost at many sizes, real ones beside hollow ones"
}
func (*scaleCommand) Usage() string {
	return `fleet scale --vary DIMENSION --values N,N,... [flags]
  For each value in turn it starts real control daemons and two real data daemons as
  processes on loopback, hollow data daemons and replicas in this process, and counts
  messages, bytes, processor time, memory, disk syncs and how long a change of the
  configuration takes. It stops by itself, at the latest after --most, and ends what it
  started. The programs controlplane and dataplane lie beside this one (--programs).
  Dimensions: datas, replicas, regions, zones, routes, models, controls.
  Example: fleet scale --vary datas --values 6,25,100 --out datas.json --plot datas.svg
  Exit: 0 every point was measured, 1 some were not, 2 wrong usage.
`
}

func (command *scaleCommand) SetFlags(set *flag.FlagSet) {
	program, _ := os.Executable()
	set.StringVar(&command.vary, "vary", "datas", "the dimension that differs between points")
	set.StringVar(&command.list, "values", "6,12,25", "its values, by comma")
	set.IntVar(&command.size.Datas, "datas", 25, "data daemons, two of them real")
	set.IntVar(&command.size.Replicas, "replicas", 36, "replicas")
	set.IntVar(&command.size.Regions, "regions", 3, "regions")
	set.IntVar(&command.size.Zones, "zones", 6, "zones, over all regions")
	set.IntVar(&command.size.Routes, "routes", 30, "routes of the configuration, one for each tenant")
	set.IntVar(&command.size.Models, "models", 2, "models")
	set.IntVar(&command.size.Controls, "controls", 3, "control daemons, all real, each with a disk")
	set.DurationVar(&command.Warm, "warm", 4*time.Second, "calm before anything is measured")
	set.DurationVar(&command.Span, "span", 8*time.Second, "calm that is measured")
	set.DurationVar(&command.Pause, "pause", 2*time.Second, "time between two changes of the configuration")
	set.IntVar(&command.Changes, "changes", 3, "changes of the configuration")
	set.DurationVar(&command.most, "most", 10*time.Minute, "the whole run's longest time, up to 1h")
	set.StringVar(&command.Programs, "programs", filepath.Dir(program), "the folder of controlplane and dataplane")
	set.StringVar(&command.commit, "commit", "", "the commit that the programs were built from, for the record")
	set.StringVar(&command.out, "out", "", "a file for the result (JSON); standard output when empty")
	set.StringVar(&command.plot, "plot", "", "a file (.svg, .png or .pdf) for what a data daemon costs against its budget")
}

// check reads the flags.
func (command *scaleCommand) check(set *flag.FlagSet) error {
	if set.NArg() > 0 {
		return fmt.Errorf("%q is one word too many", set.Arg(0))
	}
	for _, word := range words(command.list) {
		value, err := strconv.Atoi(word)
		if err != nil {
			return fmt.Errorf("--values: %q is no whole number", word)
		}
		size, known := command.size.With(command.vary, value)
		if !known {
			return fmt.Errorf("--vary: %q is no dimension", command.vary)
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
		return fmt.Errorf("--span must be within 1s and 10m, --warm and --pause not below 0")
	case command.Changes < 0 || command.Changes > 1000:
		return fmt.Errorf("--changes must be within 0 and 1000")
	case command.most <= 0 || command.most > time.Hour:
		return fmt.Errorf("--most must be above 0 and at most 1h")
	}
	if at := strings.LastIndexByte(command.plot, '.'); command.plot != "" && (at < 0 || !slices.Contains([]string{".svg", ".png", ".pdf"}, command.plot[at:])) {
		return fmt.Errorf("--plot: %q ends in none of .svg, .png, .pdf", command.plot)
	}
	for _, name := range []string{"controlplane", "dataplane"} {
		if _, err := os.Stat(filepath.Join(command.Programs, name)); err != nil {
			return fmt.Errorf("--programs: %v", err)
		}
	}
	return nil
}

// scaled is the result of a run.
type scaled struct {
	Commit string             `json:"commit,omitempty"`
	Vary   string             `json:"vary"`
	SpanMs int64              `json:"span_ms"`
	Points []fleet.ScalePoint `json:"points"`
	Slopes []fleet.ScaleSlope `json:"slopes"`
}

// Execute measures one point after the other.
func (command *scaleCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := command.check(set); err != nil {
		fmt.Fprintln(os.Stderr, "fleet scale:", err)
		return subcommands.ExitUsageError
	}
	ctx, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer done()
	ctx, cancel := context.WithTimeout(ctx, command.most)
	defer cancel()
	say := func(string, ...any) {}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		say = func(format string, values ...any) { fmt.Fprintf(os.Stderr, "\r\x1b[K"+format, values...) }
	}
	result := scaled{Commit: command.commit, Vary: command.vary, SpanMs: command.Span.Milliseconds()}
	status := subcommands.ExitSuccess
	fail := func(err error) {
		say("")
		fmt.Fprintln(os.Stderr, "fleet scale:", err)
		status = subcommands.ExitFailure
	}
	for index, value := range command.values {
		say("%d of %d: %s %d", index+1, len(command.values), command.vary, value)
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
	say("")
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

// drawScale plots what a data daemon costs as shares of its budget, and the busiest
// control daemon's processor time.
func drawScale(path, vary string, points []fleet.ScalePoint) error {
	picture := plot.New()
	picture.X.Label.Text, picture.Y.Label.Text = vary, "share of the budget, or of a core"
	picture.Y.Min = 0
	picture.Legend.Top, picture.Legend.Left = true, true
	for _, one := range []struct {
		name, figure string
		budget       float64
		color        color.Color
	}{
		{"a data daemon's processor time, of 1.2 % of a core", "data_cores", fleet.BudgetCores, color.RGBA{R: 200, A: 255}},
		{"its memory, of 64 MB", "data_mb", fleet.BudgetMB, color.RGBA{G: 140, A: 255}},
		{"its control traffic, of 20 KB a second", "data_bytes_s", fleet.BudgetBytes, color.RGBA{B: 200, A: 255}},
		{"the busiest control daemon, of a core", "control_cores", 1, color.Gray{Y: 90}},
	} {
		var line plotter.XYs
		for _, point := range points {
			if value, known := point.Figures[one.figure]; known && point.Trouble == "" {
				line = append(line, plotter.XY{X: float64(point.Value(vary)), Y: value / one.budget})
			}
		}
		if len(line) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(line)
		if err != nil {
			return err
		}
		drawn.Color = one.color
		picture.Add(drawn)
		picture.Legend.Add(one.name, drawn)
	}
	return picture.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
