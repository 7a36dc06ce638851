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

// traffic is one tenant's load: requests a second by region, and what they are like.
type traffic struct {
	name                   string
	rates                  []float64
	prompt, shared, answer float64
	prefixes               int
	long                   float64
	durationMs             float64
	homes                  []string
}

// longPromptTenant is a tenant with long prompts, of which most is shared.
func longPromptTenant(name string, rates ...float64) traffic {
	return traffic{name: name, rates: rates, prompt: 17000, shared: 13300, answer: 60, prefixes: 24, long: 1, durationMs: 1500}
}

// simulation plays windows over a watch.
type simulation struct {
	*rand.Rand
	testing.TB
	traffic   []traffic
	watch     *tenant.Watch
	book      tenant.Book
	now       time.Duration
	budget    float64
	notices   []tenant.Notice
	noticedAt []time.Duration
	// burst is how many requests come at a time, swing how far rates go up and down in
	// every 26 s, each region at its own phase.
	burst        int
	swing        float64
	recomputed   float64
	promptTokens float64
	// silent are regions that nothing is heard of.
	silent map[string]bool
}

func newSimulation(t testing.TB, seed uint64, crowds ...traffic) *simulation {
	day := &simulation{TB: t, Rand: rand.New(rand.NewPCG(seed, 1)), traffic: crowds, budget: 0.1, burst: 1}
	day.watch = tenant.NewWatch(0, nil)
	return day
}

func (day *simulation) poisson(mean float64) int {
	if mean > 40 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*day.NormFloat64())))
	}
	count, left := 0, math.Exp(-mean)
	for product := day.Float64(); product > left; product *= day.Float64() {
		count++
	}
	return count
}

// sampleTotal is the sum of so many lengths with a long tail.
func (day *simulation) sampleTotal(count int, mean float64) int {
	if count == 0 {
		return 0
	}
	return max(0, int(float64(count)*mean+math.Sqrt(float64(count))*1.5*mean*day.NormFloat64()))
}

func (day *simulation) scene() tenant.Scene {
	grounds := map[string]map[string]tenant.Ground{model: {}}
	for at, region := range regions {
		grounds[model][region] = tenant.Ground{Replicas: 6 - at, Berths: 64, Cache: 348621}
	}
	return tenant.Scene{Now: day.now, Window: window, Duty: 1, Grounds: grounds, Far: 80, FarKB: 4, Again: 60, Change: 0.25, Budget: day.budget, Homes: func(name string) []string {
		for _, one := range day.traffic {
			if one.name == name {
				if one.homes != nil {
					return one.homes
				}
				return regions
			}
		}
		return nil
	}}
}

// tallies are what is gathered of a window.
func (day *simulation) totals() tenant.Totals {
	var heard []tenant.Heard
	for at, region := range regions {
		told := &tenant.Told{Serial: 1, Span: window}
		for _, one := range day.traffic {
			wave := 1 + day.swing*math.Sin(2*math.Pi*(day.now.Seconds()/26+float64(at)/3))
			count := day.burst * day.poisson(one.rates[at]*wave*window.Seconds()/float64(day.burst))
			if count == 0 {
				continue
			}
			tally := tenant.Counters{Tenant: one.name, Model: model, Count: count, Keyed: count, Ended: count, Long: int(one.long * float64(count)), Shared: int(one.shared) * count, Held: day.sampleTotal(count, one.durationMs), Answer: day.sampleTotal(count, one.answer)}
			tally.Prompt = tally.Shared + day.sampleTotal(count, one.prompt-one.shared)
			tally.KB, tally.Weight = tally.Prompt/256, tally.Prompt+tally.Answer
			for beginning := range one.prefixes {
				tally.Marks |= 1 << (beginning * 7 % 64)
			}
			for beginning := range min(3, one.prefixes) {
				tally.Hot = append(tally.Hot, tenant.Hot{Key: uint64(beginning + 1), Count: count / one.prefixes})
			}
			told.Tallies = append(told.Tallies, tally)
		}
		if !day.silent[region] {
			heard = append(heard, tenant.Heard{Region: region, Told: told})
		}
	}
	return tenant.Gather(heard)
}

// run plays so many windows.
func (day *simulation) run(windows int) {
	for range windows {
		day.now += window
		sum := day.totals()
		for _, one := range sum.Tallies {
			day.promptTokens += float64(one.Prompt) / 10 * window.Seconds()
		}
		next, notices := day.watch.Turn(day.scene(), sum, day.book)
		for _, one := range notices {
			if one.What != "has changed" && one.What != "begins to move" {
				day.recomputed += one.Tokens
			}
			day.notices, day.noticedAt = append(day.notices, one), append(day.noticedAt, day.now)
		}
		day.book = next
		// The last part of a move may stand on what is counted a little later.
		if day.recomputed > 1.1*day.budget*day.promptTokens {
			day.Fatalf("placed: %.0f tokens are read again after %v, of %.0f", day.recomputed, day.now, day.promptTokens)
		}
	}
}

// changeLeader has another one take the duty, from the registers alone.
func (day *simulation) changeLeader(t *testing.T) {
	text, err := json.Marshal(day.watch.Usual())
	var usual []tenant.Profile
	if err == nil {
		err = json.Unmarshal(text, &usual)
	}
	if err != nil {
		t.Fatal(err)
	}
	day.watch = tenant.NewWatch(day.now, usual)
}

func (day *simulation) count(action string) (count int) {
	for _, one := range day.notices {
		if one.What == action {
			count++
		}
	}
	return count
}

// TestSketch: of 21,000 tenants the heavy ones are found, what is told of them is near
// the truth, and neither table nor word grows with the tenants.
func TestSketch(t *testing.T) {
	draw := rand.New(rand.NewPCG(7, 1))
	zipf := rand.NewZipf(draw, 1.2, 1, 20999)
	var counter tenant.Counter
	counter.Turn(time.Second, window)
	truth := map[string]int{}
	for range 200000 {
		name := fmt.Sprintf("t%d.example/x/", zipf.Uint64())
		truth[name] += 1001 + 60
		counter.Note(tenant.Request{Tenant: name, Model: model, Key: 1 + draw.Uint64N(6), Prompt: 1000, Shared: 800, Answer: 60, Bytes: 4000})
		counter.Ended(name, time.Second)
	}
	told := counter.Turn(5*time.Second, window)
	if told == nil || len(told.Tallies) != tenant.Heavy {
		t.Fatalf("told %v", told)
	}
	whole, heavy := 0, 0
	for _, weight := range truth {
		whole += weight
	}
	for name, weight := range truth {
		if weight <= whole/tenant.Heavy {
			continue
		}
		heavy++
		at := slices.IndexFunc(told.Tallies, func(one tenant.Counters) bool { return one.Tenant == name })
		if at < 0 {
			t.Errorf("%s, with %d, is not told of", name, truth[name])
			continue
		}
		if one := told.Tallies[at]; one.Weight < truth[name] || one.Weight-one.Error > truth[name] || float64(one.Count*1061) < 0.9*float64(truth[name]) {
			t.Errorf("%s: weight %d of which %d may be others', %d requests; it has %d", name, one.Weight, one.Error, one.Count, truth[name])
		}
	}
	if heavy < 3 {
		t.Errorf("vacuous: %d heavy tenants", heavy)
	}
	for _, one := range told.Tallies {
		if one.Weight < truth[one.Tenant] || one.Weight-one.Error > truth[one.Tenant] {
			t.Errorf("%s: weight %d of which %d may be others'; it has %d", one.Tenant, one.Weight, one.Error, truth[one.Tenant])
		}
	}
	size := func(value any) int {
		var out bytes.Buffer
		if err := gob.NewEncoder(&out).Encode(value); err != nil {
			t.Fatal(err)
		}
		return out.Len()
	}
	// A data daemon's word of a window, and a control daemon's of 70 data daemons.
	var heard []tenant.Heard
	for at := range 70 {
		heard = append(heard, tenant.Heard{Region: regions[at%3], Told: told})
	}
	sum := tenant.Tell(1, tenant.Gather(heard))
	t.Logf("a data daemon tells %d bytes a window, a control daemon %d", size(told), size(sum))
	if size(told) > 4096 || size(sum) > 8192 || len(sum.Tallies) > tenant.MaxReported {
		t.Errorf("a data daemon tells %d bytes, a control daemon %d of %d tenants", size(told), size(sum), len(sum.Tallies))
	}
	if counter.Turn(6*time.Second, window) != nil || counter.Turn(20*time.Second, 0) != nil || !counter.IsEmpty() {
		t.Error("windows end when they should not, or count where nothing is to be counted")
	}
}

// TestCallersMove: callers that move to another region are noticed within eight windows,
// the placement follows, and what is read again stays within the budget.
func TestCallersMove(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		day := newSimulation(t, seed, longPromptTenant("h.example/one/", 8, 0.6, 0.6), longPromptTenant("h.example/two/", 5, 5, 5))
		day.swing = 0.4
		day.run(40)
		if len(day.notices) > 0 {
			t.Fatalf("seed %d: noticed before anything happened: %+v", seed, day.notices)
		}
		began := day.now
		day.traffic[0].rates = []float64{0.6, 0.6, 8}
		day.run(40)
		if len(day.notices) == 0 || day.notices[0].What != "has changed" || day.noticedAt[0]-began > 8*window {
			t.Fatalf("seed %d: noticed %+v at %v", seed, day.notices, day.noticedAt)
		}
		placement := day.book.Find("h.example/one/")
		if placement == nil || placement.Moving || !slices.Equal(placement.Now, []string{"c"}) {
			t.Errorf("seed %d: placed %+v", seed, placement)
		}
		if day.book.Find("h.example/two/") != nil {
			t.Errorf("seed %d: the other tenant was placed, too", seed)
		}
		if day.recomputed == 0 || day.recomputed > day.budget*day.promptTokens {
			t.Errorf("seed %d: %.0f of %.0f tokens were read again", seed, day.recomputed, day.promptTokens)
		}
		if seed == 1 {
			for at, one := range day.notices {
				t.Logf("%v after the change: %s %s (%s), gain %.0f, price %.0f, tokens %.0f, part %d", day.noticedAt[at]-began, one.Tenant, one.What, one.Reason, one.Gain, one.Price, one.Tokens, one.Part)
			}
		}
	}
}

// TestSteadyDay: noisy tenants that stay as they are never move, nor are they noticed,
// over a day of 28,800 windows a seed.
func TestSteadyDay(t *testing.T) {
	seeds := uint64(3)
	if testing.Short() {
		seeds = 1
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			day := newSimulation(t, seed, longPromptTenant("h.example/one/", 8, 0.6, 0.6), longPromptTenant("h.example/two/", 5, 5, 5), longPromptTenant("h.example/few/", 0.5, 0.2, 0.1), longPromptTenant("h.example/clumped/", 4, 2, 2),
				traffic{name: "h.example/short/", rates: []float64{30, 10, 10}, prompt: 380, shared: 90, answer: 12, prefixes: 40, durationMs: 700},
				traffic{name: "h.example/mixed/", rates: []float64{3, 9, 3}, prompt: 3000, shared: 1500, answer: 200, prefixes: 12, long: 0.5, durationMs: 2500})
			day.swing, day.burst = 0.4, 2
			day.run(28800)
			if len(day.notices) > 0 || len(day.book.Placed) > 0 {
				t.Errorf("%d false alarms, the first at %v: %+v", len(day.notices), day.noticedAt[0], day.notices[0])
			}
		})
	}
}

// TestSilence: a region that nothing is heard of for up to a minute has not lost its
// callers, nor has one that a new holder hears late; in the end it has.
func TestSilence(t *testing.T) {
	day := newSimulation(t, 1, longPromptTenant("h.example/one/", 6, 10, 0.6))
	day.run(40)
	for _, region := range regions {
		day.silent = map[string]bool{region: true}
		day.run(19)
		day.silent = nil
		day.run(30)
		day.silent = map[string]bool{region: true}
		day.changeLeader(t)
		day.run(2)
		day.silent = nil
		day.run(30)
	}
	if len(day.notices) > 0 {
		t.Errorf("placed: %d false alarms, the first at %v: %+v", len(day.notices), day.noticedAt[0], day.notices[0])
	}
	day.silent = map[string]bool{"b": true}
	day.run(60)
	if day.count("has changed") == 0 {
		t.Error("vacuous: it is never noticed")
	}
}

// TestFlapping: callers that go to and fro, at any pace, move a tenant seldom, and within
// the budget.
func TestFlapping(t *testing.T) {
	for _, every := range []int{1, 3, 5, 9, 15, 30, 60} {
		day := newSimulation(t, uint64(every), longPromptTenant("h.example/one/", 8, 0.6, 0.6))
		day.run(30)
		for turn := 0; day.now < time.Hour; turn++ {
			day.traffic[0].rates = [][]float64{{1, 1, 12}, {8, 0.6, 0.6}}[turn%2]
			day.run(every)
		}
		moves := day.count("begins to move")
		last := -time.Hour
		for at, one := range day.notices {
			if one.What != "begins to move" {
				continue
			}
			if day.noticedAt[at]-last < 10*window {
				t.Errorf("placed: every %d windows: moved at %v and again at %v", every, last, day.noticedAt[at])
			}
			last = day.noticedAt[at]
		}
		t.Logf("to and fro every %d windows: noticed %d times, %d moves begun in an hour, %.0f of %.0f tokens read again", every, day.count("has changed"), moves, day.recomputed, day.promptTokens)
		// An hour has 120 of the shortest stays.
		if moves > 40 {
			t.Errorf("placed: every %d windows: %d moves, %.0f of %.0f tokens", every, moves, day.recomputed, day.promptTokens)
		}
	}
}

// TestNextHolder: a move that stands half done is finished by the next holder of the
// duty, or taken back where nothing is gained by it any more; a change that the first one
// had no time to notice is noticed by the next.
func TestNextHolder(t *testing.T) {
	begun := func(seed uint64) *simulation {
		day := newSimulation(t, seed, longPromptTenant("h.example/one/", 8, 0.6, 0.6))
		day.budget = 0.001
		day.run(40)
		day.traffic[0].rates = []float64{0.6, 0.6, 8}
		for range 60 {
			day.run(1)
			if one := day.book.Find("h.example/one/"); one != nil && one.Moving && one.Part > 0 {
				day.changeLeader(t)
				return day
			}
		}
		t.Fatalf("vacuous: no move was half done; %+v", day.notices)
		return nil
	}
	day := begun(1)
	half := *day.book.Find("h.example/one/")
	day.run(1200)
	if one := day.book.Find("h.example/one/"); one == nil || one.Moving || !slices.Equal(one.Now, []string{"c"}) {
		t.Errorf("from part %d on it ended as %+v", half.Part, one)
	}
	day = begun(2)
	day.traffic[0].rates = []float64{4, 4, 0.2}
	day.run(1200)
	if one := day.book.Find("h.example/one/"); day.count("is back") != 1 || one != nil && (one.Moving || slices.Contains(one.Now, "c")) {
		t.Errorf("it ended as %+v: %+v", one, day.notices)
	}
	day = begun(3)
	day.traffic[0].rates = []float64{0, 0, 0}
	day.run(200)
	if one := day.book.Find("h.example/one/"); one != nil && one.Moving {
		t.Errorf("idle, it ended as %+v", one)
	}
	day = newSimulation(t, 4, longPromptTenant("h.example/one/", 8, 0.6, 0.6))
	day.run(40)
	day.traffic[0].rates = []float64{0.6, 0.6, 8}
	day.run(1)
	day.changeLeader(t)
	day.run(40)
	if day.count("has changed") != 1 {
		t.Errorf("the next holder noticed %+v", day.notices)
	}
}

// TestHomesBind: whatever the load, a placement names homes alone, each once, and only
// regions with replicas; part by part a beginning has one home for each caller.
func TestHomesBind(t *testing.T) {
	moves := 0
	for seed := uint64(1); seed <= 20; seed++ {
		one := longPromptTenant("h.example/one/", 8, 8, 1)
		one.homes = []string{"a", "c"}
		day := newSimulation(t, seed, one)
		day.run(30)
		for range 40 {
			day.traffic[0].rates = []float64{20 * day.Float64(), 20 * day.Float64(), 20 * day.Float64()}
			day.run(10)
			placement := day.book.Find("h.example/one/")
			if placement == nil {
				continue
			}
			for _, list := range [][]string{placement.Now, placement.Next} {
				if slices.Contains(list, "b") {
					t.Fatalf("home: seed %d: placed %+v", seed, placement)
				}
				if len(slices.Compact(slices.Sorted(slices.Values(list)))) != len(list) {
					t.Fatalf("seed %d: placed %+v", seed, placement)
				}
			}
			for key := range uint64(50) {
				for _, region := range regions {
					home := placement.Home(key, region, func(region string) bool { return region != "c" })
					if home == "c" || home != "" && region == "a" && home != "a" {
						t.Fatalf("home: seed %d: %+v sends %d of %s to %s", seed, placement, key, region, home)
					}
				}
			}
		}
		moves += day.count("begins to move")
	}
	if moves == 0 {
		t.Error("vacuous: nothing moved")
	}
}

// TestGrows: a beginning that outgrows its owner gets several, and a session stays with
// one; it shrinks again.
func TestGrows(t *testing.T) {
	one := longPromptTenant("h.example/one/", 2, 2, 2)
	one.prefixes = 1
	day := newSimulation(t, 3, one)
	day.run(30)
	day.traffic[0].rates = []float64{25, 25, 25}
	day.run(60)
	placement := day.book.Find(one.name)
	if placement == nil || len(placement.Hot) != 1 || placement.Hot[0].Over < 2 {
		t.Fatalf("placed %+v: %+v", placement, day.notices)
	}
	seen := map[uint64]bool{}
	for session := range uint64(200) {
		first, again := placement.Owner(1, session), placement.Owner(1, session)
		if first != again || placement.Owner(2, session) != 2 {
			t.Error("a session does not stay with its owner")
		}
		seen[first] = true
	}
	if len(seen) != placement.Hot[0].Over || !seen[1] {
		t.Errorf("%d owners", len(seen))
	}
	day.traffic[0].rates = []float64{2, 2, 2}
	day.run(100)
	if placement := day.book.Find(one.name); placement != nil && len(placement.Hot) > 0 {
		t.Errorf("it is still placed %+v", placement)
	}
}

// TestPinned: what an operator pinned stays, whatever happens, and books keep their order.
func TestPinned(t *testing.T) {
	day := newSimulation(t, 6, longPromptTenant("h.example/one/", 8, 0.6, 0.6))
	day.book = day.book.With(tenant.Placement{Tenant: "h.example/one/", Now: []string{"b"}, Pinned: true}).With(tenant.Placement{Tenant: "a.example/", Now: []string{"b"}, Pinned: true})
	day.run(40)
	day.traffic[0].rates = []float64{0.6, 0.6, 8}
	day.run(60)
	if one := day.book.Find("h.example/one/"); one == nil || !slices.Equal(one.Now, []string{"b"}) || day.count("begins to move") > 0 || day.count("has changed") != 1 {
		t.Errorf("placed %+v: %+v", one, day.notices)
	}
	if !slices.IsSortedFunc(day.book.Placed, func(a, b tenant.Placement) int { return strings.Compare(a.Tenant, b.Tenant) }) {
		t.Errorf("out of order: %+v", day.book)
	}
}
