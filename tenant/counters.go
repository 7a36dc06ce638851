// Package tenant detects when a tenant's traffic changes and plans in which regions the
// owners of its shared prompt prefixes are placed from then on. A tenant is a route with
// its requests. The package does no I/O and reads no clock: it consists of tables and
// functions over them, and callers pass in the time.
package tenant

import (
	"math"
	"math/bits"
	"sort"
	"time"
)

// Limits that keep counters, reports and stored state small however many tenants there are.
const (
	// MaxCounted is how many tenants a data daemon counts, MaxReported how many a control
	// daemon reports, and MaxTracked how many the leader tracks and the register holds.
	MaxCounted  = 24
	MaxReported = 48
	MaxTracked  = 64
	// maxHotPrefixes is how many shared prefixes are counted per tenant.
	maxHotPrefixes = 3
)

// Request has the properties of a request that are counted.
type Request struct {
	Tenant, Model string
	// Key identifies the shared prefix of the prompt; it is zero if there is none.
	Key                    uint64
	Prompt, Shared, Answer int
	Bytes                  int
	// Long reports whether the request is routed like those with long prompts.
	Long bool
}

// weight returns what the request adds to its tenant's weight: about the number of its
// prompt and answer tokens.
func (request Request) weight() int { return 1 + request.Prompt + request.Answer }

// Hot counts the requests that share a frequent prefix. Count is at most Error too high.
type Hot struct {
	Key          uint64
	Count, Error int
}

// Counters holds what a data daemon counted for one tenant in a window. Region is where
// the requests arrived; Gather fills it in.
//
// Invariant: Weight is never below the tenant's true weight and at most Error above it.
// All other counters cover only the requests since the tenant last entered the sketch.
type Counters struct {
	Tenant, Region, Model string
	Weight, Error         int
	// Count is the number of requests, Keyed of those with a shared prefix, Long of the
	// keyed ones that are routed like long prompts, and Ended of those that ended.
	Count, Keyed, Long, Ended int
	// Prompt, Shared and Answer are sums of tokens (Shared over the keyed requests), KB is
	// the sum of kilobytes sent, and Held the sum of the ended requests' durations in
	// milliseconds.
	Prompt, Shared, Answer, KB, Held int
	// Marks is a bitmap with one bit set per shared prefix, selected by its hash.
	Marks uint64
	Hot   []Hot
}

// WindowReport is a daemon's report of a window. Its counters are sums over Span.
type WindowReport struct {
	Serial  uint64
	Span    time.Duration
	Tallies []Counters
	// Heard is, in a control daemon's report, the number of data daemons by region whose
	// reports it contains; nil in a data daemon's report.
	Heard map[string]int
}

// Totals holds the counters of all reports, by tenant and region, and how many data
// daemons of each region they come from.
type Totals struct {
	Tallies   []Counters
	Reporters map[string]int
}

// hash mixes the bits of a key (the 64-bit finalizer of MurmurHash3).
func hash(key uint64) uint64 {
	key ^= key >> 33
	key *= 0xff51afd7ed558ccd
	key ^= key >> 33
	key *= 0xc4ceb9fe1a85ec53
	return key ^ key>>33
}

// addHot adds to a shared prefix's count by the Space-Saving algorithm.
func (counters *Counters) addHot(hot Hot) {
	lightest := -1
	for index := range counters.Hot {
		entry := &counters.Hot[index]
		if entry.Key == hot.Key {
			entry.Count += hot.Count
			entry.Error += hot.Error
			return
		}
		if lightest < 0 || entry.Count < counters.Hot[lightest].Count {
			lightest = index
		}
	}
	if len(counters.Hot) < maxHotPrefixes {
		counters.Hot = append(counters.Hot, hot)
		return
	}
	evictedCount := counters.Hot[lightest].Count
	counters.Hot[lightest] = Hot{Key: hot.Key, Count: evictedCount + hot.Count, Error: evictedCount + hot.Error}
}

// merge adds other counters of the same tenant.
func (counters *Counters) merge(other Counters) {
	counters.Weight += other.Weight
	counters.Error += other.Error
	counters.Count += other.Count
	counters.Keyed += other.Keyed
	counters.Long += other.Long
	counters.Ended += other.Ended
	counters.Prompt += other.Prompt
	counters.Shared += other.Shared
	counters.Answer += other.Answer
	counters.KB += other.KB
	counters.Held += other.Held
	counters.Marks |= other.Marks
	for _, hot := range other.Hot {
		counters.addHot(hot)
	}
}

// estimateDistinct estimates the number of distinct shared prefixes by linear counting.
// With 64 bits, the estimate saturates above some two hundred.
func estimateDistinct(marks uint64) float64 {
	empty := max(1, 64-bits.OnesCount64(marks))
	return -64 * math.Log(float64(empty)/64)
}

// Sketch counts the heaviest tenants of a window by the Space-Saving algorithm. However
// many tenants there are, it holds at most MaxCounted of them, and every tenant with more than
// 1/MaxCounted of the total weight is among them.
type Sketch struct {
	byTenant map[string]*Counters
}

// Count counts a request.
func (sketch *Sketch) Count(request Request) {
	if sketch.byTenant == nil {
		sketch.byTenant = make(map[string]*Counters, MaxCounted)
	}
	counters := sketch.byTenant[request.Tenant]
	if counters == nil {
		fresh := &Counters{Tenant: request.Tenant, Model: request.Model}
		if len(sketch.byTenant) >= MaxCounted {
			lightest := sketch.lightest()
			fresh.Weight, fresh.Error = lightest.Weight, lightest.Weight
			delete(sketch.byTenant, lightest.Tenant)
		}
		counters = fresh
		sketch.byTenant[request.Tenant] = counters
	}
	counters.Weight += request.weight()
	counters.Count++
	counters.Prompt += request.Prompt
	counters.Answer += request.Answer
	counters.KB += (request.Bytes + 512) / 1024
	if request.Key == 0 {
		return
	}
	counters.Keyed++
	counters.Shared += request.Shared
	counters.Marks |= 1 << (hash(request.Key) & 63)
	counters.addHot(Hot{Key: request.Key, Count: 1})
	if request.Long {
		counters.Long++
	}
}

// IsEmpty reports whether nothing has been counted.
func (sketch *Sketch) IsEmpty() bool { return len(sketch.byTenant) == 0 }

// CountEnd counts a request that ended after the given duration.
func (sketch *Sketch) CountEnd(tenant string, took time.Duration) {
	if counters := sketch.byTenant[tenant]; counters != nil {
		counters.Ended++
		counters.Held += int(took / time.Millisecond)
	}
}

// lightest returns the tenant to evict. Ties are broken by name, so every daemon evicts
// the same one.
func (sketch *Sketch) lightest() (lightest *Counters) {
	for _, counters := range sketch.byTenant {
		if lightest == nil || counters.Weight < lightest.Weight || counters.Weight == lightest.Weight && counters.Tenant < lightest.Tenant {
			lightest = counters
		}
	}
	return lightest
}

// byWeight returns copies of the sketch's counters, heaviest first.
func (sketch *Sketch) byWeight() []Counters {
	out := make([]Counters, 0, len(sketch.byTenant))
	for _, counters := range sketch.byTenant {
		out = append(out, *counters)
	}
	sortByWeight(out)
	return out
}

func sortByWeight(list []Counters) {
	sort.Slice(list, func(a, b int) bool {
		x, y := &list[a], &list[b]
		if x.Weight != y.Weight {
			return x.Weight > y.Weight
		}
		return x.Tenant+"\x00"+x.Region < y.Tenant+"\x00"+y.Region
	})
}

// WindowCounter counts requests window by window. The zero value has no window open.
type WindowCounter struct {
	Sketch
	windowStart time.Duration
	serial      uint64
}

// Close closes the window if it has lasted for span and returns its report; it returns nil
// while the window is open. A span of zero or less discards the counters and opens no
// window.
func (counter *WindowCounter) Close(now, span time.Duration) *WindowReport {
	switch {
	case span <= 0:
		*counter = WindowCounter{serial: counter.serial}
		return nil
	case counter.windowStart == 0:
		counter.windowStart = max(1, now)
		counter.byTenant = nil
		return nil
	case now-counter.windowStart < span:
		return nil
	}
	counter.serial++
	report := &WindowReport{Serial: counter.serial, Span: now - counter.windowStart, Tallies: counter.byWeight()}
	counter.windowStart, counter.byTenant = now, nil
	return report
}

// RegionReport is one daemon's report with the region that the daemon is in.
type RegionReport struct {
	Region string
	Report *WindowReport
}

// referenceSpan is the time span to which gathered counters are scaled.
const referenceSpan = 10 * time.Second

// Gather adds up the reports of daemons by tenant and region, scaled to referenceSpan, and
// keeps the MaxReported heaviest. Counters that name a region keep it; others get the
// region of the reporting daemon.
func Gather(reports []RegionReport) Totals {
	sums, reporters := map[[2]string]*Counters{}, map[string]int{}
	for _, report := range reports {
		if report.Report == nil || report.Report.Span <= 0 {
			continue
		}
		if report.Report.Heard == nil {
			reporters[report.Region]++
		}
		for region, count := range report.Report.Heard {
			reporters[region] += count
		}
		for _, counters := range report.Report.Tallies {
			if counters.Region == "" {
				counters.Region = report.Region
			}
			counters.scale(float64(referenceSpan) / float64(report.Report.Span))
			key := [2]string{counters.Tenant, counters.Region}
			if sums[key] == nil {
				sums[key] = &Counters{Tenant: counters.Tenant, Region: counters.Region, Model: counters.Model}
			}
			sums[key].merge(counters)
		}
	}
	out := make([]Counters, 0, len(sums))
	for _, counters := range sums {
		out = append(out, *counters)
	}
	sortByWeight(out)
	return Totals{Tallies: out[:min(len(out), MaxReported)], Reporters: reporters}
}

// NewReport returns a control daemon's report of the totals that it gathered.
func NewReport(serial uint64, totals Totals) *WindowReport {
	return &WindowReport{Serial: serial, Span: referenceSpan, Tallies: totals.Tallies, Heard: totals.Reporters}
}

// scale multiplies all sums by the factor. It copies Hot first, as reports share it.
func (counters *Counters) scale(factor float64) {
	for _, field := range []*int{&counters.Weight, &counters.Error, &counters.Count, &counters.Keyed, &counters.Long, &counters.Ended, &counters.Prompt, &counters.Shared, &counters.Answer, &counters.KB, &counters.Held} {
		*field = int(math.Round(float64(*field) * factor))
	}
	counters.Hot = append([]Hot{}, counters.Hot...)
	for index := range counters.Hot {
		counters.Hot[index].Count = int(math.Round(float64(counters.Hot[index].Count) * factor))
		counters.Hot[index].Error = int(math.Round(float64(counters.Hot[index].Error) * factor))
	}
}
