package tenant

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

// Profile describes a tenant's traffic. Its sums are per second; see Counters for their
// meaning.
type Profile struct {
	Tenant string `json:"tenant"`
	Model  string `json:"model"`
	// Rates has the requests per second by the callers' region.
	Rates  map[string]float64 `json:"rates"`
	Keyed  float64            `json:"keyed"`
	Long   float64            `json:"long"`
	Ended  float64            `json:"ended"`
	Prompt float64            `json:"prompt"`
	Shared float64            `json:"shared"`
	Answer float64            `json:"answer"`
	KB     float64            `json:"kb"`
	Held   float64            `json:"held"`
	// Beginnings is the number of distinct shared prefixes in a window, Hot has the rates
	// of the most frequent ones by key.
	Beginnings float64            `json:"beginnings"`
	Hot        map[uint64]float64 `json:"hot,omitempty"`
	// Span is how long the tenant has been counted.
	Span time.Duration `json:"span"`
}

// buildProfiles computes the tenants' profiles from gathered counters. The possible
// overcount of hot prefixes by the sketches is subtracted.
func buildProfiles(counts []Counters) map[string]*Profile {
	out := map[string]*Profile{}
	marks := map[string]uint64{}
	hot := map[string]*Counters{}
	for _, counters := range counts {
		profile := out[counters.Tenant]
		if profile == nil {
			profile = &Profile{Tenant: counters.Tenant, Model: counters.Model, Rates: map[string]float64{}}
			out[counters.Tenant], hot[counters.Tenant] = profile, &Counters{}
		}
		seconds := referenceSpan.Seconds()
		profile.Rates[counters.Region] += float64(counters.Count) / seconds
		profile.Keyed += float64(counters.Keyed) / seconds
		profile.Long += float64(counters.Long) / seconds
		profile.Ended += float64(counters.Ended) / seconds
		profile.Prompt += float64(counters.Prompt) / seconds
		profile.Shared += float64(counters.Shared) / seconds
		profile.Answer += float64(counters.Answer) / seconds
		profile.KB += float64(counters.KB) / seconds
		profile.Held += float64(counters.Held) / seconds
		marks[counters.Tenant] |= counters.Marks
		for _, prefix := range counters.Hot {
			hot[counters.Tenant].addHot(prefix)
		}
	}
	for name, profile := range out {
		profile.Beginnings = estimateDistinct(marks[name])
		profile.Hot = map[uint64]float64{}
		for _, prefix := range hot[name].Hot {
			if certain := prefix.Count - prefix.Error; certain > 0 {
				profile.Hot[prefix.Key] = float64(certain) / referenceSpan.Seconds()
			}
		}
	}
	return out
}

// blend moves the profile towards a fresh one by the weight, as an exponentially weighted
// moving average.
func (profile *Profile) blend(fresh *Profile, weight float64, span time.Duration) {
	blendValue := func(current *float64, fresh float64) { *current += (fresh - *current) * weight }
	blendRates := func(current map[string]float64, fresh map[string]float64) {
		for key := range fresh {
			current[key] += 0
		}
		for key, value := range current {
			if value += (fresh[key] - value) * weight; value < 1e-4 {
				delete(current, key)
			} else {
				current[key] = value
			}
		}
	}
	blendRates(profile.Rates, fresh.Rates)
	for _, pair := range [][2]*float64{{&profile.Keyed, &fresh.Keyed}, {&profile.Long, &fresh.Long}, {&profile.Ended, &fresh.Ended}, {&profile.Prompt, &fresh.Prompt}, {&profile.Shared, &fresh.Shared},
		{&profile.Answer, &fresh.Answer}, {&profile.KB, &fresh.KB}, {&profile.Held, &fresh.Held}, {&profile.Beginnings, &fresh.Beginnings}} {
		blendValue(pair[0], *pair[1])
	}
	hot := map[uint64]float64{}
	for _, key := range append(slices.Collect(maps.Keys(profile.Hot)), slices.Collect(maps.Keys(fresh.Hot))...) {
		hot[key] = profile.Hot[key] + (fresh.Hot[key]-profile.Hot[key])*weight
	}
	keys := slices.Collect(maps.Keys(hot))
	sort.Slice(keys, func(a, b int) bool {
		return hot[keys[a]] > hot[keys[b]] || hot[keys[a]] == hot[keys[b]] && keys[a] < keys[b]
	})
	profile.Hot = map[uint64]float64{}
	for _, key := range keys[:min(len(keys), maxHotPrefixes)] {
		profile.Hot[key] = hot[key]
	}
	if fresh.Model != "" {
		profile.Model = fresh.Model
	}
	profile.Span += span
}

// clone returns a copy that shares no map with the profile.
func (profile *Profile) clone() *Profile {
	out := *profile
	out.Rates, out.Hot = maps.Clone(profile.Rates), maps.Clone(profile.Hot)
	return &out
}

// Rate returns the requests per second over all regions. The sum goes by sorted region, so
// that its rounding is the same each time.
func (profile *Profile) Rate() (sum float64) {
	for _, region := range slices.Sorted(maps.Keys(profile.Rates)) {
		sum += profile.Rates[region]
	}
	return sum
}

// Share returns the fraction of the tenant's requests that come from a region.
func (profile *Profile) Share(region string) float64 {
	return profile.Rates[region] / max(1e-9, profile.Rate())
}

// divide returns the average of a sum over a count, or 0 if the count is 0.
func divide(sum, count float64) float64 {
	if count <= 1e-9 {
		return 0
	}
	return sum / count
}

// prefixTokens returns the total tokens of the tenant's distinct shared prefixes.
func (profile *Profile) prefixTokens() float64 {
	return max(profile.Beginnings, 1) * divide(profile.Shared, profile.Keyed)
}

// hottestShare returns the fraction of the keyed requests that have the most frequent
// prefix.
func (profile *Profile) hottestShare() (highest float64) {
	for _, rate := range profile.Hot {
		highest = max(highest, divide(rate, profile.Keyed))
	}
	return highest
}

// logScale maps the logarithm of a ratio to the scale of shares: a ratio of almost three
// counts as a distance of a quarter.
const logScale = 4

// Distance returns how far apart two profiles are and the dimension that differs most.
// The distance of the callers' regions is the total variation distance, the fraction of
// the requests that would have to come from another region. That of rates and lengths is
// the logarithm of their ratio over logScale. That of the shared prompt tokens and of the
// hottest prefix is the difference of the two fractions.
func Distance(from, to *Profile) (largest float64, dimension string) {
	note := func(name string, value float64) {
		if value > largest {
			largest, dimension = value, name
		}
	}
	noteRatio := func(name string, from, to, floor float64) {
		note(name, math.Abs(math.Log(max(to, floor)/max(from, floor)))/logScale)
	}
	shifted := 0.0
	regions := maps.Clone(from.Rates)
	maps.Copy(regions, to.Rates)
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		shifted += math.Abs(from.Share(region)-to.Share(region)) / 2
	}
	note("callers' regions", shifted)
	noteRatio("requests a second", from.Rate(), to.Rate(), 0.1)
	noteRatio("prompts' length", divide(from.Prompt, from.Rate()), divide(to.Prompt, to.Rate()), 16)
	noteRatio("answers' length", divide(from.Answer, from.Rate()), divide(to.Answer, to.Rate()), 16)
	noteRatio("sessions' length", divide(from.Held, from.Ended), divide(to.Held, to.Ended), 50)
	note("what is shared", math.Abs(divide(from.Shared, from.Prompt)-divide(to.Shared, to.Prompt)))
	note("the hottest beginning", math.Abs(from.hottestShare()-to.hottestShare()))
	return largest, dimension
}

// noiseMargin returns how far apart two profiles may seem by chance, given the number of
// samples.
func noiseMargin(samples float64) float64 { return noiseScale / math.Sqrt(max(1, samples)) }

// noiseScale is four times the standard error of a fraction estimated from n independent
// requests, which is at most about half of 1/sqrt(n), because requests arrive in bursts.
const noiseScale = 2
