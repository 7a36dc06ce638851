package fleet

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"swifttiller/dataplane"
	"swifttiller/decide"
)

// Cause is why a first piece came later than its route's target.
type Cause string

// Causes, in the order in which they are looked for.
const (
	// CauseTriedBefore: an earlier attempt of the same request failed.
	CauseTriedBefore Cause = "an earlier attempt failed"
	// CauseHeld: it waited at its daemon for a replica that it might have.
	CauseHeld Cause = "held at its daemon"
	// CauseTooLong: its prompt takes longer than the target, wherever it is read.
	CauseTooLong Cause = "longer to read than the target"
	// CauseReadAgain: its shared parts were read at another replica than their owner.
	CauseReadAgain Cause = "shared parts read elsewhere"
	// CauseQueuedAtOwner: the owner of its shared parts had more to do than was foreseen.
	CauseQueuedAtOwner Cause = "queued at the owner"
	// CauseFar: it went to another region, and would have been in time without the way.
	CauseFar Cause = "far way"
	// CauseQueued: the replica had more to do than was foreseen.
	CauseQueued Cause = "queued at the replica"
)

// causes in the order of the table.
var causes = []Cause{CauseTriedBefore, CauseHeld, CauseTooLong, CauseReadAgain, CauseQueuedAtOwner, CauseFar, CauseQueued}

// interRegionRoundTrip is what a way to another region and back is taken for, where it decides.
const interRegionRoundTrip = 110 * time.Millisecond

// ReadChoices takes the choices out of a log, whose lines may have something before the JSON.
// Lines that are no choices are passed over.
func ReadChoices(log io.Reader) (choices []decide.Choice, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 0, 1<<16), 1<<22)
	for lines.Scan() {
		text := lines.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 || !bytes.Contains(text, []byte(`"choice"`)) {
			continue
		}
		var line struct {
			Message string        `json:"msg"`
			Choice  decide.Choice `json:"choice"`
		}
		if json.Unmarshal(text[at:], &line) == nil && line.Message == dataplane.ChoiceMessage {
			choices = append(choices, line.Choice)
		}
	}
	return choices, lines.Err()
}

// Explained sums up the choices of one route.
type Explained struct {
	Route string
	// Attempts are dispatches, Failed those that ended in a failure, Late the first pieces
	// that came after the target.
	Attempts, Failed, Late int
	Causes                 map[Cause]int
	// Bias, Median and P95 are of the forecast's error: how much later the first piece came
	// than was foreseen.
	Bias, Median, P95 time.Duration
	// ReadAgain are shared tokens that were read at others than their owner.
	ReadAgain int
}

// Explain sums up choices by route, the busiest first. Choices stand in the order in which
// they ended.
func Explain(choices []decide.Choice) (out []Explained) {
	routes := map[string]*Explained{}
	misses := map[string][]time.Duration{}
	failed := map[string]bool{}
	for _, choice := range choices {
		one := routes[choice.Route]
		if one == nil {
			one = &Explained{Route: choice.Route, Causes: map[Cause]int{}}
			routes[choice.Route] = one
		}
		one.Attempts++
		if choice.Rank != decide.RankOwner && choice.Owner != "" {
			one.ReadAgain += choice.UnreadShared
		}
		if choice.First > 0 {
			misses[choice.Route] = append(misses[choice.Route], choice.First-choice.Foreseen)
			if choice.Target > 0 && choice.Waited+choice.First > choice.Target {
				one.Late++
				one.Causes[cause(choice, failed[choice.Request])]++
			}
		}
		if choice.Code != "" {
			one.Failed++
			failed[choice.Request] = true
		}
	}
	for name, one := range routes {
		one.Bias, one.Median, one.P95 = spread(misses[name])
		out = append(out, *one)
	}
	slices.SortFunc(out, func(a, b Explained) int {
		if a.Attempts != b.Attempts {
			return b.Attempts - a.Attempts
		}
		return strings.Compare(a.Route, b.Route)
	})
	return out
}

// cause is why a late first piece was late.
func cause(choice decide.Choice, hasFailed bool) Cause {
	switch {
	case hasFailed:
		return CauseTriedBefore
	case choice.First <= choice.Target:
		return CauseHeld
	case choice.Foreseen > choice.Target:
		return CauseTooLong
	case choice.Rank != decide.RankOwner && choice.UnreadShared > 0:
		return CauseReadAgain
	case choice.Rank == decide.RankOwner:
		return CauseQueuedAtOwner
	case choice.Region != choice.From && choice.First-interRegionRoundTrip <= choice.Target:
		return CauseFar
	}
	return CauseQueued
}

// spread gives mean, median and 95th percentile.
func spread(values []time.Duration) (mean, median, most time.Duration) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	slices.Sort(values)
	for _, one := range values {
		mean += one
	}
	return mean / time.Duration(len(values)), quantile(values, 0.5), quantile(values, 0.95)
}

// WriteExplained writes a table of the routes, and of why they were late.
func WriteExplained(out io.Writer, list []Explained) {
	fmt.Fprintf(out, "%-16s %9s %7s %6s %9s %9s %9s %12s\n", "route", "attempts", "failed", "late", "bias", "median", "p95", "read again")
	for _, one := range list {
		fmt.Fprintf(out, "%-16s %9d %7d %6d %9s %9s %9s %12d\n", one.Route, one.Attempts, one.Failed, one.Late,
			one.Bias.Round(time.Millisecond), one.Median.Round(time.Millisecond), one.P95.Round(time.Millisecond), one.ReadAgain)
		for _, cause := range causes {
			if count := one.Causes[cause]; count > 0 {
				fmt.Fprintf(out, "    %6d late: %s\n", count, cause)
			}
		}
	}
}
