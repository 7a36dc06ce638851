package decide

import (
	"sort"
	"time"

	"swifttiller/routing"
)

// smoothedRate is a rate, smoothed over about two seconds.
type smoothedRate struct {
	value float64
	at    time.Duration
}

const smoothingSpan = 2 * time.Second

func (flow *smoothedRate) decay(now time.Duration) {
	if now <= flow.at {
		return
	}
	remaining := 1 - float64(now-flow.at)/float64(smoothingSpan)
	if remaining < 0 {
		remaining = 0
	}
	// One linear step approximates the exponential decay; it never goes below zero.
	flow.value *= remaining
	flow.at = now
}

func (flow *smoothedRate) add(now time.Duration, amount float64) {
	flow.decay(now)
	flow.value += amount
}

// rate returns the rate per second.
func (flow *smoothedRate) rate(now time.Duration) float64 {
	flow.decay(now)
	return flow.value / smoothingSpan.Seconds()
}

// window keeps the outcomes of the last seconds, in slices, and the totals since the start.
type window struct {
	slices [windowSlices]windowSlice
	totals map[routing.Outcome]routing.Outcome
}

type windowSlice struct {
	number int64
	counts map[routing.Outcome]routing.Outcome
}

const (
	windowSlices = 12
	sliceSpan    = routing.RecentWindow / windowSlices
)

func (window *window) add(now time.Duration, outcome routing.Outcome, region string) {
	number := int64(now / sliceSpan)
	slot := &window.slices[number%windowSlices]
	if slot.number != number || slot.counts == nil {
		*slot = windowSlice{number, map[routing.Outcome]routing.Outcome{}}
	}
	key := outcome.Key()
	sum, known := slot.counts[key]
	if !known {
		sum = key
	}
	sum.Add(outcome)
	slot.counts[key] = sum
	key.Replica, key.Boot = region, ""
	total, known := window.totals[key]
	if !known {
		total = key
	}
	total.Add(outcome)
	window.totals[key] = total
}

func (window *window) recent(now time.Duration) map[routing.Outcome]routing.Outcome {
	number := int64(now / sliceSpan)
	out := map[routing.Outcome]routing.Outcome{}
	for _, slot := range window.slices {
		if number-slot.number >= windowSlices {
			continue
		}
		for key, outcome := range slot.counts {
			sum, known := out[key]
			if !known {
				sum = key
			}
			sum.Add(outcome)
			out[key] = sum
		}
	}
	return out
}

func ordered(table map[routing.Outcome]routing.Outcome) []routing.Outcome {
	out := make([]routing.Outcome, 0, len(table))
	for _, outcome := range table {
		out = append(out, outcome)
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		return x.Replica+"\x00"+x.Model+"\x00"+x.Version+"\x00"+x.Kind+"\x00"+x.Boot < y.Replica+"\x00"+y.Model+"\x00"+y.Version+"\x00"+y.Kind+"\x00"+y.Boot
	})
	return out
}

// retryBudget counts first tries and retries of the last seconds, in slices.
type retryBudget [budgetSlices]budgetSlice

type budgetSlice struct {
	number              int64
	firstTries, retries int
}

const (
	budgetSlices = 40
	// budgetSpan is the time over which the share of retries is taken: short compared
	// with a retry storm, long compared with the burst that a planned shutdown causes.
	budgetSpan = 10 * time.Second
)

// slice returns the slice for the time, emptied if it was of an earlier span.
func (budget *retryBudget) slice(now time.Duration) *budgetSlice {
	number := int64(now / (budgetSpan / budgetSlices))
	slot := &budget[number%budgetSlices]
	if slot.number != number {
		*slot = budgetSlice{number: number}
	}
	return slot
}

// sums returns the first tries and retries within the span that ends now.
func (budget *retryBudget) sums(now time.Duration) (fresh, retries int) {
	number := int64(now / (budgetSpan / budgetSlices))
	for _, slot := range budget {
		if number-slot.number < budgetSlices {
			fresh += slot.firstTries
			retries += slot.retries
		}
	}
	return fresh, retries
}
