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

// Cause is the reason why the first piece of an answer came later than the target of its route.
type Cause string

// Causes, in the order in which they are checked.
const (
	// CauseTriedBefore: an earlier attempt of the same request failed.
	CauseTriedBefore Cause = "an earlier attempt failed"
	// CauseHeld: the request was queued at its daemon until a replica had capacity.
	CauseHeld Cause = "held at its daemon"
	// CauseTooLong: the forecast alone exceeds the target, as the prefill of the prompt takes too
	// long on any replica.
	CauseTooLong Cause = "longer to read than the target"
	// CauseReadAgain: shared prefixes of the prompt were prefilled on a replica other than the
	// one that has them cached.
	CauseReadAgain Cause = "shared parts read elsewhere"
	// CauseQueuedAtOwner: the replica that has the shared prefixes cached had more load than
	// forecast.
	CauseQueuedAtOwner Cause = "queued at the owner"
	// CauseFar: the request went to another region, and would have met the target without the
	// round trip.
	CauseFar Cause = "far way"
	// CauseQueued: the replica had more load than forecast.
	CauseQueued Cause = "queued at the replica"
)

// causes lists the causes in the order of the table.
var causes = []Cause{CauseTriedBefore, CauseHeld, CauseTooLong, CauseReadAgain, CauseQueuedAtOwner, CauseFar, CauseQueued}

// interRegionRoundTrip is the assumed round trip to another region when deciding whether CauseFar
// applies.
const interRegionRoundTrip = 110 * time.Millisecond

// ReadChoices reads the routing decisions from a log. Lines may have a prefix before the JSON; lines
// that are not routing decisions are skipped.
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

// Explained summarizes the routing decisions of one route.
type Explained struct {
	Route string
	// Attempts counts the requests sent to replicas, Failed those that ended in a failure, and
	// Late the first pieces that came after the target.
	Attempts, Failed, Late int
	Causes                 map[Cause]int
	// Bias (the mean), Median and P95 describe the error of the forecast: how much later than
	// forecast the first piece came.
	Bias, Median, P95 time.Duration
	// ReadAgain counts tokens of shared prefixes that were prefilled on replicas other than their
	// owner.
	ReadAgain int
}

// Explain summarizes choices by route, the route with most attempts first. Choices must be in the
// order in which their attempts ended.
func Explain(choices []decide.Choice) (summaries []Explained) {
	routes := map[string]*Explained{}
	forecastErrors := map[string][]time.Duration{}
	failed := map[string]bool{}
	for _, choice := range choices {
		summary := routes[choice.Route]
		if summary == nil {
			summary = &Explained{Route: choice.Route, Causes: map[Cause]int{}}
			routes[choice.Route] = summary
		}
		summary.Attempts++
		if choice.Rank != decide.RankOwner && choice.Owner != "" {
			summary.ReadAgain += choice.UnreadShared
		}
		if choice.First > 0 {
			forecastErrors[choice.Route] = append(forecastErrors[choice.Route], choice.First-choice.Foreseen)
			if choice.Target > 0 && choice.Waited+choice.First > choice.Target {
				summary.Late++
				summary.Causes[cause(choice, failed[choice.Request])]++
			}
		}
		if choice.Code != "" {
			summary.Failed++
			failed[choice.Request] = true
		}
	}
	for name, summary := range routes {
		summary.Bias, summary.Median, summary.P95 = spread(forecastErrors[name])
		summaries = append(summaries, *summary)
	}
	slices.SortFunc(summaries, func(a, b Explained) int {
		if a.Attempts != b.Attempts {
			return b.Attempts - a.Attempts
		}
		return strings.Compare(a.Route, b.Route)
	})
	return summaries
}

// cause returns the reason why a late first piece was late.
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

// spread returns the mean, the median and the 95th percentile of the values, and sorts them.
func spread(values []time.Duration) (mean, median, p95 time.Duration) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	slices.Sort(values)
	for _, value := range values {
		mean += value
	}
	return mean / time.Duration(len(values)), quantile(values, 0.5), quantile(values, 0.95)
}

// WriteExplained writes a table of the routes, with the causes of their late first pieces.
func WriteExplained(out io.Writer, routes []Explained) {
	fmt.Fprintf(out, "%-16s %9s %7s %6s %9s %9s %9s %12s\n", "route", "attempts", "failed", "late", "bias", "median", "p95", "read again")
	for _, route := range routes {
		fmt.Fprintf(out, "%-16s %9d %7d %6d %9s %9s %9s %12d\n", route.Route, route.Attempts, route.Failed, route.Late,
			route.Bias.Round(time.Millisecond), route.Median.Round(time.Millisecond), route.P95.Round(time.Millisecond), route.ReadAgain)
		for _, cause := range causes {
			if count := route.Causes[cause]; count > 0 {
				fmt.Fprintf(out, "    %6d late: %s\n", count, cause)
			}
		}
	}
}
