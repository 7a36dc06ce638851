package tenant_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/tenant"
)

const (
	window = 3 * time.Second
	model  = "m"
)

var regions = []string{"a", "b", "c"}

// traffic describes one tenant's requests: their rate per second in each of regions, the
// average tokens of a prompt, of its shared prefix and of an answer, the number of distinct
// prefixes, the fraction of long prompts, and the average duration.
type traffic struct {
	name                   string
	rates                  []float64
	prompt, shared, answer float64
	prefixes               int
	long                   float64
	durationMs             float64
	homes                  []string
}

// longPromptTenant returns a tenant with long prompts, most of which is a shared prefix.
func longPromptTenant(name string, rates ...float64) traffic {
	return traffic{name: name, rates: rates, prompt: 17000, shared: 13300, answer: 60, prefixes: 24, long: 1, durationMs: 1500}
}

// simulation feeds generated traffic to a watch, window by window.
type simulation struct {
	*rand.Rand
	testing.TB
	traffic    []traffic
	planner    *tenant.Planner
	placements tenant.Placements
	now        time.Duration
	budget     float64
	notices    []tenant.Notice
	noticedAt  []time.Duration
	// burst is how many requests arrive at a time. swing is the amplitude, as a fraction, of
	// a sine wave with a period of 26 s on all rates, with a different phase per region.
	burst int
	swing float64
	// recomputed and promptTokens are the tokens prefilled again because of moves, and all
	// prompt tokens, so far.
	recomputed   float64
	promptTokens float64
	// silent has the regions whose reports are lost.
	silent map[string]bool
}

func newSimulation(t testing.TB, seed uint64, tenants ...traffic) *simulation {
	sim := &simulation{TB: t, Rand: rand.New(rand.NewPCG(seed, 1)), traffic: tenants, budget: 0.1, burst: 1}
	sim.planner = tenant.NewPlanner(0, nil)
	return sim
}

// poisson draws from a Poisson distribution; above a mean of 40, from its normal
// approximation.
func (sim *simulation) poisson(mean float64) int {
	if mean > 40 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*sim.NormFloat64())))
	}
	count, limit := 0, math.Exp(-mean)
	for product := sim.Float64(); product > limit; product *= sim.Float64() {
		count++
	}
	return count
}

// sampleTotal draws the sum of count lengths from a distribution whose standard deviation
// is 1.5 times its mean.
func (sim *simulation) sampleTotal(count int, mean float64) int {
	if count == 0 {
		return 0
	}
	return max(0, int(float64(count)*mean+math.Sqrt(float64(count))*1.5*mean*sim.NormFloat64()))
}

func (sim *simulation) scene() tenant.TurnInputs {
	capacities := map[string]map[string]tenant.Capacity{model: {}}
	for index, region := range regions {
		capacities[model][region] = tenant.Capacity{Replicas: 6 - index, Slots: 64, Cache: 348621}
	}
	return tenant.TurnInputs{Now: sim.now, Window: window, Term: 1, Capacities: capacities, RemoteMs: 80, RemoteKBMs: 4, RecomputeMs: 60, Change: 0.25, Budget: sim.budget, Homes: func(name string) []string {
		for _, load := range sim.traffic {
			if load.name == name {
				if load.homes != nil {
					return load.homes
				}
				return regions
			}
		}
		return nil
	}}
}

// totals generates the requests of a window and returns the totals of the regions' reports.
func (sim *simulation) totals() tenant.Totals {
	var reports []tenant.RegionReport
	for index, region := range regions {
		report := &tenant.WindowReport{Serial: 1, Span: window}
		for _, load := range sim.traffic {
			wave := 1 + sim.swing*math.Sin(2*math.Pi*(sim.now.Seconds()/26+float64(index)/3))
			count := sim.burst * sim.poisson(load.rates[index]*wave*window.Seconds()/float64(sim.burst))
			if count == 0 {
				continue
			}
			counters := tenant.Counters{Tenant: load.name, Model: model, Count: count, Keyed: count, Ended: count, Long: int(load.long * float64(count)), Shared: int(load.shared) * count, Held: sim.sampleTotal(count, load.durationMs), Answer: sim.sampleTotal(count, load.answer)}
			counters.Prompt = counters.Shared + sim.sampleTotal(count, load.prompt-load.shared)
			counters.KB, counters.Weight = counters.Prompt/256, counters.Prompt+counters.Answer
			for prefix := range load.prefixes {
				counters.Marks |= 1 << (prefix * 7 % 64)
			}
			for prefix := range min(3, load.prefixes) {
				counters.Hot = append(counters.Hot, tenant.Hot{Key: uint64(prefix + 1), Count: count / load.prefixes})
			}
			report.Tallies = append(report.Tallies, counters)
		}
		if !sim.silent[region] {
			reports = append(reports, tenant.RegionReport{Region: region, Report: report})
		}
	}
	return tenant.Gather(reports)
}

// run simulates the given number of windows. It fails the test if moves exceed the budget.
func (sim *simulation) run(windows int) {
	for range windows {
		sim.now += window
		totals := sim.totals()
		for _, counters := range totals.Tallies {
			sim.promptTokens += float64(counters.Prompt) / 10 * window.Seconds()
		}
		next, notices := sim.planner.Step(sim.scene(), totals, sim.placements)
		for _, notice := range notices {
			if notice.Event != "has changed" && notice.Event != "begins to move" {
				sim.recomputed += notice.Tokens
			}
			sim.notices, sim.noticedAt = append(sim.notices, notice), append(sim.noticedAt, sim.now)
		}
		sim.placements = next
		// The tolerance of 1.1 allows for the last part of a move, whose budget may come from
		// prompts that are counted a little later.
		if sim.recomputed > 1.1*sim.budget*sim.promptTokens {
			sim.Fatalf("placed: moves caused %.0f tokens to be prefilled again after %v, of %.0f prompt tokens", sim.recomputed, sim.now, sim.promptTokens)
		}
	}
}

// changeLeader replaces the watch by that of a new leader, which has only what is stored in
// the registers.
func (sim *simulation) changeLeader(t *testing.T) {
	text, err := json.Marshal(sim.planner.Baselines())
	var baselines []tenant.Profile
	if err == nil {
		err = json.Unmarshal(text, &baselines)
	}
	if err != nil {
		t.Fatal(err)
	}
	sim.planner = tenant.NewPlanner(sim.now, baselines)
}

// count returns how many notices have the given Event.
func (sim *simulation) count(action string) (count int) {
	for _, notice := range sim.notices {
		if notice.Event == action {
			count++
		}
	}
	return count
}

// TestSketch checks that the heavy ones of 21,000 tenants are found, that their counters
// are close to the truth, and that neither the table nor the reports grow with the number
// of tenants.
func TestSketch(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	zipf := rand.NewZipf(random, 1.2, 1, 20999)
	var counter tenant.WindowCounter
	counter.Close(time.Second, window)
	truth := map[string]int{}
	for range 200000 {
		name := fmt.Sprintf("t%d.example/x/", zipf.Uint64())
		truth[name] += 1001 + 60
		counter.Count(tenant.Request{Tenant: name, Model: model, Key: 1 + random.Uint64N(6), Prompt: 1000, Shared: 800, Answer: 60, Bytes: 4000})
		counter.CountEnd(name, time.Second)
	}
	report := counter.Close(5*time.Second, window)
	if report == nil || len(report.Tallies) != tenant.MaxCounted {
		t.Fatalf("unexpected report of the window: %v", report)
	}
	total, heavy := 0, 0
	for _, weight := range truth {
		total += weight
	}
	for name, weight := range truth {
		if weight <= total/tenant.MaxCounted {
			continue
		}
		heavy++
		index := slices.IndexFunc(report.Tallies, func(counters tenant.Counters) bool { return counters.Tenant == name })
		if index < 0 {
			t.Errorf("%s, with weight %d, is not in the report", name, truth[name])
			continue
		}
		if counters := report.Tallies[index]; counters.Weight < truth[name] || counters.Weight-counters.Error > truth[name] || float64(counters.Count*1061) < 0.9*float64(truth[name]) {
			t.Errorf("%s: reported weight %d with an error of up to %d, and %d requests; its true weight is %d", name, counters.Weight, counters.Error, counters.Count, truth[name])
		}
	}
	if heavy < 3 {
		t.Errorf("vacuous: %d heavy tenants", heavy)
	}
	for _, counters := range report.Tallies {
		if counters.Weight < truth[counters.Tenant] || counters.Weight-counters.Error > truth[counters.Tenant] {
			t.Errorf("%s: reported weight %d with an error of up to %d; its true weight is %d", counters.Tenant, counters.Weight, counters.Error, truth[counters.Tenant])
		}
	}
	size := func(value any) int {
		var out bytes.Buffer
		if err := gob.NewEncoder(&out).Encode(value); err != nil {
			t.Fatal(err)
		}
		return out.Len()
	}
	// Compare a data daemon's report of a window with a control daemon's of 70 data daemons.
	var reports []tenant.RegionReport
	for index := range 70 {
		reports = append(reports, tenant.RegionReport{Region: regions[index%3], Report: report})
	}
	gathered := tenant.NewReport(1, tenant.Gather(reports))
	t.Logf("report of a data daemon: %d bytes per window, of a control daemon: %d", size(report), size(gathered))
	if size(report) > 4096 || size(gathered) > 8192 || len(gathered.Tallies) > tenant.MaxReported {
		t.Errorf("the report of a data daemon has %d bytes, that of a control daemon %d with %d tenants", size(report), size(gathered), len(gathered.Tallies))
	}
	if counter.Close(6*time.Second, window) != nil || counter.Close(20*time.Second, 0) != nil || !counter.IsEmpty() {
		t.Error("a window closed early, or requests are counted although counting is off")
	}
}

// TestCallersMove checks that callers that move to another region are detected within
// eight windows, that the placement follows them, and that the tokens prefilled again stay
// within the budget.
func TestCallersMove(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		sim := newSimulation(t, seed, longPromptTenant("h.example/one/", 8, 0.6, 0.6), longPromptTenant("h.example/two/", 5, 5, 5))
		sim.swing = 0.4
		sim.run(40)
		if len(sim.notices) > 0 {
			t.Fatalf("seed %d: notices before the traffic changed: %+v", seed, sim.notices)
		}
		changedAt := sim.now
		sim.traffic[0].rates = []float64{0.6, 0.6, 8}
		sim.run(40)
		if len(sim.notices) == 0 || sim.notices[0].Event != "has changed" || sim.noticedAt[0]-changedAt > 8*window {
			t.Fatalf("seed %d: change not detected in time: notices %+v at %v", seed, sim.notices, sim.noticedAt)
		}
		placement := sim.placements.Find("h.example/one/")
		if placement == nil || placement.Moving || !slices.Equal(placement.Now, []string{"c"}) {
			t.Errorf("seed %d: placement did not follow the callers to c: %+v", seed, placement)
		}
		if sim.placements.Find("h.example/two/") != nil {
			t.Errorf("seed %d: the unchanged tenant got a placement too", seed)
		}
		if sim.recomputed == 0 || sim.recomputed > sim.budget*sim.promptTokens {
			t.Errorf("seed %d: %.0f of %.0f tokens were prefilled again", seed, sim.recomputed, sim.promptTokens)
		}
		if seed == 1 {
			for index, notice := range sim.notices {
				t.Logf("%v after the change: %s %s (%s), gain %.0f, price %.0f, tokens %.0f, part %d", sim.noticedAt[index]-changedAt, notice.Tenant, notice.Event, notice.Reason, notice.Gain, notice.Cost, notice.Tokens, notice.Part)
			}
		}
	}
}

// TestNoFalseAlarms checks that tenants with noisy but unchanged traffic never cause a false
// alarm or a move, over a day of 28,800 windows for each seed.
func TestNoFalseAlarms(t *testing.T) {
	seeds := uint64(3)
	if testing.Short() {
		seeds = 1
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, longPromptTenant("h.example/one/", 8, 0.6, 0.6), longPromptTenant("h.example/two/", 5, 5, 5), longPromptTenant("h.example/few/", 0.5, 0.2, 0.1), longPromptTenant("h.example/clumped/", 4, 2, 2),
				traffic{name: "h.example/short/", rates: []float64{30, 10, 10}, prompt: 380, shared: 90, answer: 12, prefixes: 40, durationMs: 700},
				traffic{name: "h.example/mixed/", rates: []float64{3, 9, 3}, prompt: 3000, shared: 1500, answer: 200, prefixes: 12, long: 0.5, durationMs: 2500})
			sim.swing, sim.burst = 0.4, 2
			sim.run(28800)
			if len(sim.notices) > 0 || len(sim.placements.Placed) > 0 {
				t.Errorf("%d false alarms, the first at %v: %+v", len(sim.notices), sim.noticedAt[0], sim.notices[0])
			}
		})
	}
}

// TestMissingReports checks that a region whose reports are missing for up to a minute does not
// seem to have lost its callers, nor one whose reports reach a new leader late. If they
// stay missing, it does.
func TestMissingReports(t *testing.T) {
	sim := newSimulation(t, 1, longPromptTenant("h.example/one/", 6, 10, 0.6))
	sim.run(40)
	for _, region := range regions {
		sim.silent = map[string]bool{region: true}
		sim.run(19)
		sim.silent = nil
		sim.run(30)
		sim.silent = map[string]bool{region: true}
		sim.changeLeader(t)
		sim.run(2)
		sim.silent = nil
		sim.run(30)
	}
	if len(sim.notices) > 0 {
		t.Errorf("placed: %d false alarms, the first at %v: %+v", len(sim.notices), sim.noticedAt[0], sim.notices[0])
	}
	sim.silent = map[string]bool{"b": true}
	sim.run(60)
	if sim.count("has changed") == 0 {
		t.Error("vacuous: the missing region is never detected")
	}
}

// TestFlapping checks that callers that alternate between regions, at any period, move a
// tenant rarely and within the budget.
func TestFlapping(t *testing.T) {
	for _, period := range []int{1, 3, 5, 9, 15, 30, 60} {
		sim := newSimulation(t, uint64(period), longPromptTenant("h.example/one/", 8, 0.6, 0.6))
		sim.run(30)
		for turn := 0; sim.now < time.Hour; turn++ {
			sim.traffic[0].rates = [][]float64{{1, 1, 12}, {8, 0.6, 0.6}}[turn%2]
			sim.run(period)
		}
		moves := sim.count("begins to move")
		last := -time.Hour
		for index, notice := range sim.notices {
			if notice.Event != "begins to move" {
				continue
			}
			if sim.noticedAt[index]-last < 10*window {
				t.Errorf("placed: callers alternate every %d windows: moved at %v and again at %v", period, last, sim.noticedAt[index])
			}
			last = sim.noticedAt[index]
		}
		t.Logf("callers alternate every %d windows: %d changes detected, %d moves begun in an hour, %.0f of %.0f tokens prefilled again", period, sim.count("has changed"), moves, sim.recomputed, sim.promptTokens)
		// An hour has 120 minimum stays.
		if moves > 40 {
			t.Errorf("placed: callers alternate every %d windows: %d moves, %.0f of %.0f tokens prefilled again", period, moves, sim.recomputed, sim.promptTokens)
		}
	}
}

// TestLeaderChange checks that the next leader finishes a partly done move, or rolls it back
// if it no longer gains anything, and that it detects a change that the first leader had no
// time to detect.
func TestLeaderChange(t *testing.T) {
	startMove := func(seed uint64) *simulation {
		sim := newSimulation(t, seed, longPromptTenant("h.example/one/", 8, 0.6, 0.6))
		sim.budget = 0.001
		sim.run(40)
		sim.traffic[0].rates = []float64{0.6, 0.6, 8}
		for range 60 {
			sim.run(1)
			if placement := sim.placements.Find("h.example/one/"); placement != nil && placement.Moving && placement.Part > 0 {
				sim.changeLeader(t)
				return sim
			}
		}
		t.Fatalf("vacuous: no move was partly done: %+v", sim.notices)
		return nil
	}
	sim := startMove(1)
	partial := *sim.placements.Find("h.example/one/")
	sim.run(1200)
	if placement := sim.placements.Find("h.example/one/"); placement == nil || placement.Moving || !slices.Equal(placement.Now, []string{"c"}) {
		t.Errorf("the move, taken over at part %d, did not finish: %+v", partial.Part, placement)
	}
	sim = startMove(2)
	sim.traffic[0].rates = []float64{4, 4, 0.2}
	sim.run(1200)
	if placement := sim.placements.Find("h.example/one/"); sim.count("is back") != 1 || placement != nil && (placement.Moving || slices.Contains(placement.Now, "c")) {
		t.Errorf("the move was not rolled back: %+v; notices: %+v", placement, sim.notices)
	}
	sim = startMove(3)
	sim.traffic[0].rates = []float64{0, 0, 0}
	sim.run(200)
	if placement := sim.placements.Find("h.example/one/"); placement != nil && placement.Moving {
		t.Errorf("the move of an idle tenant did not end: %+v", placement)
	}
	sim = newSimulation(t, 4, longPromptTenant("h.example/one/", 8, 0.6, 0.6))
	sim.run(40)
	sim.traffic[0].rates = []float64{0.6, 0.6, 8}
	sim.run(1)
	sim.changeLeader(t)
	sim.run(40)
	if sim.count("has changed") != 1 {
		t.Errorf("want one change detected by the next leader, got %+v", sim.notices)
	}
}

// TestPlacementWithinHomes checks that, whatever the load, a placement lists only the tenant's home
// regions, each once, and that every prefix has a permitted home for each caller at every
// step of a move.
func TestPlacementWithinHomes(t *testing.T) {
	moves := 0
	for seed := uint64(1); seed <= 20; seed++ {
		load := longPromptTenant("h.example/one/", 8, 8, 1)
		load.homes = []string{"a", "c"}
		sim := newSimulation(t, seed, load)
		sim.run(30)
		for range 40 {
			sim.traffic[0].rates = []float64{20 * sim.Float64(), 20 * sim.Float64(), 20 * sim.Float64()}
			sim.run(10)
			placement := sim.placements.Find("h.example/one/")
			if placement == nil {
				continue
			}
			for _, list := range [][]string{placement.Now, placement.Next} {
				if slices.Contains(list, "b") {
					t.Fatalf("home: seed %d: placed outside of its homes: %+v", seed, placement)
				}
				if len(slices.Compact(slices.Sorted(slices.Values(list)))) != len(list) {
					t.Fatalf("seed %d: placement lists a region twice: %+v", seed, placement)
				}
			}
			for key := range uint64(50) {
				for _, region := range regions {
					home := placement.Home(key, region, func(region string) bool { return region != "c" })
					if home == "c" || home != "" && region == "a" && home != "a" {
						t.Fatalf("home: seed %d: %+v sends prefix %d of callers in %s to %s", seed, placement, key, region, home)
					}
				}
			}
		}
		moves += sim.count("begins to move")
	}
	if moves == 0 {
		t.Error("vacuous: nothing moved")
	}
}

// TestHotPrefixSpread checks that a prefix whose load exceeds one owner gets several, that a session
// stays with one of them, and that it has one owner again when the load falls.
func TestHotPrefixSpread(t *testing.T) {
	load := longPromptTenant("h.example/one/", 2, 2, 2)
	load.prefixes = 1
	sim := newSimulation(t, 3, load)
	sim.run(30)
	sim.traffic[0].rates = []float64{25, 25, 25}
	sim.run(60)
	placement := sim.placements.Find(load.name)
	if placement == nil || len(placement.Hot) != 1 || placement.Hot[0].Over < 2 {
		t.Fatalf("hot prefix was not spread: %+v; notices: %+v", placement, sim.notices)
	}
	owners := map[uint64]bool{}
	for session := range uint64(200) {
		first, again := placement.Owner(1, session), placement.Owner(1, session)
		if first != again || placement.Owner(2, session) != 2 {
			t.Error("a session does not stay with its owner")
		}
		owners[first] = true
	}
	if len(owners) != placement.Hot[0].Over || !owners[1] {
		t.Errorf("sessions use %d owners, or never the first one", len(owners))
	}
	sim.traffic[0].rates = []float64{2, 2, 2}
	sim.run(100)
	if placement := sim.placements.Find(load.name); placement != nil && len(placement.Hot) > 0 {
		t.Errorf("still spread after the load fell: %+v", placement)
	}
}

// TestPinned checks that a placement pinned by an operator stays when the traffic changes,
// and that the placements stay sorted.
func TestPinned(t *testing.T) {
	sim := newSimulation(t, 6, longPromptTenant("h.example/one/", 8, 0.6, 0.6))
	sim.placements = sim.placements.With(tenant.Placement{Tenant: "h.example/one/", Now: []string{"b"}, Pinned: true}).With(tenant.Placement{Tenant: "a.example/", Now: []string{"b"}, Pinned: true})
	sim.run(40)
	sim.traffic[0].rates = []float64{0.6, 0.6, 8}
	sim.run(60)
	if placement := sim.placements.Find("h.example/one/"); placement == nil || !slices.Equal(placement.Now, []string{"b"}) || sim.count("begins to move") > 0 || sim.count("has changed") != 1 {
		t.Errorf("pinned placement changed, or its change was not detected once: %+v; notices: %+v", placement, sim.notices)
	}
	if !slices.IsSortedFunc(sim.placements.Placed, func(a, b tenant.Placement) int { return strings.Compare(a.Tenant, b.Tenant) }) {
		t.Errorf("placements are not sorted by tenant: %+v", sim.placements)
	}
}
