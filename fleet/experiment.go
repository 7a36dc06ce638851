package fleet

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"swifttiller/settings"
)

// ExperimentOptions are a load and the cluster that runs it in virtual time.
type ExperimentOptions struct {
	// Shape names one of ExperimentShapes; Load multiplies the number of its callers.
	Shape string
	Load  float64
	Seed  uint64
	// Warm is the time that runs before the measurement, Span the time that is measured.
	Warm, Span time.Duration
	// Limits are set in the document, by name.
	Limits map[string]float64
}

// Quantiles are quantiles of durations, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
}

// Figures are the results of an experiment, for the requests that began in its span.
type Figures struct {
	Asked    int `json:"asked"`
	Answered int `json:"answered"`
	// First is the time from a caller's first attempt to its first event, Pause the longest
	// pause between two events of a request, both by kind.
	First map[string]Quantiles `json:"first"`
	Pause map[string]Quantiles `json:"pause"`
	// InTime is the share of requests whose first event arrived within the target and whose
	// pauses were all in time.
	InTime float64 `json:"in_time"`
	// KeptShare is the share of prompt tokens that were cached and needed no prefill. Again is
	// the number of tokens per request that were prefilled although some replica had prefilled
	// them before.
	KeptShare float64 `json:"kept_share"`
	Again     float64 `json:"read_again_tokens_per_request"`
	// FarKB is the number of kilobytes between regions per request, FarShare the share of
	// attempts that went to another region.
	FarKB    float64 `json:"far_kb_per_request"`
	FarShare float64 `json:"far_share"`
	// Dispatches is the number of attempts per request.
	Dispatches float64 `json:"dispatches_per_request"`
	// Firsts are all times to the first event, sorted, in milliseconds.
	Firsts []float64 `json:"-"`
}

// Check returns the first problem of the options.
func (options ExperimentOptions) Check() error {
	shape, isKnown := ExperimentShapes()[options.Shape]
	switch {
	case !isKnown:
		return fmt.Errorf("shape %q is not one of %s", options.Shape, strings.Join(slices.Sorted(maps.Keys(ExperimentShapes())), ", "))
	case options.Load <= 0 || options.Load > 50:
		return fmt.Errorf("load %v is not above 0 and at most 50", options.Load)
	case options.Warm < time.Second || options.Warm > 10*time.Minute:
		return fmt.Errorf("warm %v is not between 1s and 10m", options.Warm)
	case options.Span < time.Second || options.Span > 10*time.Minute:
		return fmt.Errorf("span %v is not between 1s and 10m", options.Span)
	}
	for _, name := range slices.Sorted(maps.Keys(options.Limits)) {
		if _, isKnown := settings.Limits[name]; !isKnown {
			return fmt.Errorf("setting %q is not a limit", name)
		}
	}
	shape.Limits = options.Limits
	if _, problems := settings.Parse([]byte(shape.Document(shape.Routes()))); len(problems) > 0 {
		return problems
	}
	return nil
}

// Experiment runs the load and measures it.
func Experiment(options ExperimentOptions) (Figures, error) {
	if err := options.Check(); err != nil {
		return Figures{}, err
	}
	shape := ExperimentShapes()[options.Shape]
	shape.Limits = options.Limits
	shape.LoadFactor *= options.Load
	cluster := NewCluster(options.Seed, shape.Plan())
	defer cluster.Close()
	cluster.Run(options.Warm)
	from := cluster.Now()
	type sums struct{ read, kept, again, far int }
	sum := func() (out sums) {
		for _, engine := range cluster.engines() {
			out.read += engine.ReadTokens
			out.kept += engine.CachedTokens
			out.again += engine.RereadTokens
		}
		out.far = cluster.FarBytes
		return out
	}
	before, runsBefore := sum(), len(cluster.Runs)
	cluster.Run(options.Span)
	after, runs := sum(), cluster.Runs[runsBefore:]
	until := cluster.Now()
	cluster.Quiet = true
	cluster.Run(5 * time.Second)

	out := Figures{First: map[string]Quantiles{}, Pause: map[string]Quantiles{}}
	firsts, pauses := map[string][]float64{}, map[string][]float64{}
	inTime := 0
	for _, request := range cluster.RoutedRequests {
		if request.At < from || request.At >= until {
			continue
		}
		out.Asked++
		if request.Verdict != "ok" {
			continue
		}
		out.Answered++
		kind, _, _ := strings.Cut(request.Crowd.Name, "-")
		first := float64(request.First-request.At) / float64(time.Millisecond)
		firsts[kind] = append(firsts[kind], first)
		pauses[kind] = append(pauses[kind], float64(request.Pause)/float64(time.Millisecond))
		out.Firsts = append(out.Firsts, first)
		if request.First-request.At <= request.Crowd.Target && request.Pause <= request.Crowd.Gap {
			inTime++
		}
	}
	sort.Float64s(out.Firsts)
	for kind, list := range firsts {
		out.First[kind], out.Pause[kind] = quantiles(list), quantiles(pauses[kind])
	}
	requests := float64(max(1, out.Asked))
	out.InTime = float64(inTime) / requests
	read, kept := after.read-before.read, after.kept-before.kept
	out.KeptShare = float64(kept) / float64(max(1, read+kept))
	out.Again = float64(after.again-before.again) / requests
	out.FarKB = float64(after.far-before.far) / 1000 / requests
	far := 0
	for _, run := range runs {
		if Region(cluster.zones[run.Daemon]) != Region(cluster.zones[run.Engine]) {
			far++
		}
	}
	out.FarShare = float64(far) / float64(max(1, len(runs)))
	out.Dispatches = float64(len(runs)) / requests
	return out, nil
}

func quantiles(list []float64) Quantiles {
	sort.Float64s(list)
	return Quantiles{quantile(list, 0.5), quantile(list, 0.9), quantile(list, 0.99)}
}

// quantile returns the value below which the given share of a sorted, non-empty list lies.
func quantile[T any](sorted []T, share float64) T {
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
