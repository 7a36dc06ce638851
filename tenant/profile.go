package tenant

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

// Profile is what a tenant's sessions are like. Sums are per second.
type Profile struct {
	Tenant string `json:"tenant"`
	Model  string `json:"model"`
	// Rates are requests by the region that callers come from.
	Rates  map[string]float64 `json:"rates"`
	Keyed  float64            `json:"keyed"`
	Long   float64            `json:"long"`
	Ended  float64            `json:"ended"`
	Prompt float64            `json:"prompt"`
	Shared float64            `json:"shared"`
	Answer float64            `json:"answer"`
	KB     float64            `json:"kb"`
	Held   float64            `json:"held"`
	// Beginnings are the different shared beginnings of a window, Hot the rates of the
	// most frequent ones, by key.
	Beginnings float64            `json:"beginnings"`
	Hot        map[uint64]float64 `json:"hot,omitempty"`
	// Span is for how long it has been counted.
	Span time.Duration `json:"span"`
}

// profiles are those of gathered tallies, by tenant. What the sketches may have counted
// too much does not count.
func profiles(tallies []Tally) map[string]*Profile {
	out := map[string]*Profile{}
	marks := map[string]uint64{}
	hot := map[string]*Tally{}
	for _, tally := range tallies {
		one := out[tally.Tenant]
		if one == nil {
			one = &Profile{Tenant: tally.Tenant, Model: tally.Model, Rates: map[string]float64{}}
			out[tally.Tenant], hot[tally.Tenant] = one, &Tally{}
		}
		second := perSecond.Seconds()
		one.Rates[tally.Region] += float64(tally.Count) / second
		one.Keyed += float64(tally.Keyed) / second
		one.Long += float64(tally.Long) / second
		one.Ended += float64(tally.Ended) / second
		one.Prompt += float64(tally.Prompt) / second
		one.Shared += float64(tally.Shared) / second
		one.Answer += float64(tally.Answer) / second
		one.KB += float64(tally.KB) / second
		one.Held += float64(tally.Held) / second
		marks[tally.Tenant] |= tally.Marks
		for _, beginning := range tally.Hot {
			hot[tally.Tenant].add(beginning)
		}
	}
	for name, one := range out {
		one.Beginnings = distinct(marks[name])
		one.Hot = map[uint64]float64{}
		for _, beginning := range hot[name].Hot {
			if sure := beginning.Count - beginning.Error; sure > 0 {
				one.Hot[beginning.Key] = float64(sure) / perSecond.Seconds()
			}
		}
	}
	return out
}

// blend moves a profile by the share towards a fresh one.
func (profile *Profile) blend(fresh *Profile, share float64, span time.Duration) {
	toward := func(have *float64, fresh float64) { *have += (fresh - *have) * share }
	table := func(have map[string]float64, fresh map[string]float64) {
		for key := range fresh {
			have[key] += 0
		}
		for key, value := range have {
			if value += (fresh[key] - value) * share; value < 1e-4 {
				delete(have, key)
			} else {
				have[key] = value
			}
		}
	}
	table(profile.Rates, fresh.Rates)
	for _, pair := range [][2]*float64{{&profile.Keyed, &fresh.Keyed}, {&profile.Long, &fresh.Long}, {&profile.Ended, &fresh.Ended}, {&profile.Prompt, &fresh.Prompt}, {&profile.Shared, &fresh.Shared},
		{&profile.Answer, &fresh.Answer}, {&profile.KB, &fresh.KB}, {&profile.Held, &fresh.Held}, {&profile.Beginnings, &fresh.Beginnings}} {
		toward(pair[0], *pair[1])
	}
	hot := map[uint64]float64{}
	for _, key := range append(slices.Collect(maps.Keys(profile.Hot)), slices.Collect(maps.Keys(fresh.Hot))...) {
		hot[key] = profile.Hot[key] + (fresh.Hot[key]-profile.Hot[key])*share
	}
	keys := slices.Collect(maps.Keys(hot))
	sort.Slice(keys, func(a, b int) bool {
		return hot[keys[a]] > hot[keys[b]] || hot[keys[a]] == hot[keys[b]] && keys[a] < keys[b]
	})
	profile.Hot = map[uint64]float64{}
	for _, key := range keys[:min(len(keys), hottest)] {
		profile.Hot[key] = hot[key]
	}
	if fresh.Model != "" {
		profile.Model = fresh.Model
	}
	profile.Span += span
}

func (profile *Profile) clone() *Profile {
	out := *profile
	out.Rates, out.Hot = maps.Clone(profile.Rates), maps.Clone(profile.Hot)
	return &out
}

// Rate is requests a second, over all regions.
func (profile *Profile) Rate() (sum float64) {
	for _, region := range slices.Sorted(maps.Keys(profile.Rates)) {
		sum += profile.Rates[region]
	}
	return sum
}

// Share is the part of its requests that come from a region.
func (profile *Profile) Share(region string) float64 {
	return profile.Rates[region] / max(1e-9, profile.Rate())
}

// each is a sum for each request, or for each of another count.
func each(sum, count float64) float64 {
	if count <= 1e-9 {
		return 0
	}
	return sum / count
}

// pool is the tokens of its shared beginnings together.
func (profile *Profile) pool() float64 {
	return max(profile.Beginnings, 1) * each(profile.Shared, profile.Keyed)
}

// hottest is which part of its keyed requests has the most frequent beginning.
func (profile *Profile) hottest() (most float64) {
	for _, rate := range profile.Hot {
		most = max(most, each(rate, profile.Keyed))
	}
	return most
}

// logScale brings ratios to the scale of shares: nearly a tripling is a quarter.
const logScale = 4

// Distance is how far two profiles are apart, and by what: for the callers' regions, the
// part of the requests that would have to come from elsewhere (the total variation); for
// rates and lengths the logarithm of their ratio over logScale; for what is shared and
// how hot it is, the difference of the shares.
func Distance(from, to *Profile) (most float64, by string) {
	note := func(what string, value float64) {
		if value > most {
			most, by = value, what
		}
	}
	ratio := func(what string, from, to, least float64) {
		note(what, math.Abs(math.Log(max(to, least)/max(from, least)))/logScale)
	}
	apart := 0.0
	regions := maps.Clone(from.Rates)
	maps.Copy(regions, to.Rates)
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		apart += math.Abs(from.Share(region)-to.Share(region)) / 2
	}
	note("callers' regions", apart)
	ratio("requests a second", from.Rate(), to.Rate(), 0.1)
	ratio("prompts' length", each(from.Prompt, from.Rate()), each(to.Prompt, to.Rate()), 16)
	ratio("answers' length", each(from.Answer, from.Rate()), each(to.Answer, to.Rate()), 16)
	ratio("sessions' length", each(from.Held, from.Ended), each(to.Held, to.Ended), 50)
	note("what is shared", math.Abs(each(from.Shared, from.Prompt)-each(to.Shared, to.Prompt)))
	note("the hottest beginning", math.Abs(from.hottest()-to.hottest()))
	return most, by
}

// doubt is how far apart two profiles may seem to be by chance, from so many samples.
func doubt(samples float64) float64 { return doubtScale / math.Sqrt(max(1, samples)) }

// doubtScale: a share that is estimated from n requests is off by up to about half of
// one over the root of n; this is four times as much, as requests come in clumps.
const doubtScale = 2
