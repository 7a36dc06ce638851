// Package tenant notices that a tenant's sessions have changed and plans where its work
// goes from then on. A tenant is a route with its requests. All here is pure: tables and
// functions over them, with the time handed in.
package tenant

import (
	"math"
	"math/bits"
	"sort"
	"time"
)

// Bounds of what is counted, told and kept, whatever there are of tenants.
const (
	// Heavy is how many tenants a data daemon counts, MostTold how many a control daemon
	// tells of, MostKept how many the duty's holder knows and a register holds.
	Heavy    = 24
	MostTold = 48
	MostKept = 64
	// hottest is how many shared beginnings of a tenant's prompts are counted.
	hottest = 3
)

// Request is what counts of a request.
type Request struct {
	Tenant, Model string
	// Key names the shared beginning of its prompt, zero where it has none.
	Key                    uint64
	Prompt, Shared, Answer int
	Bytes                  int
	// Long tells whether it goes where long prompts go.
	Long bool
}

// weight is what a request weighs among tenants: the tokens that it brings.
func (request Request) weight() int { return 1 + request.Prompt + request.Answer }

// Hot is a shared beginning that many requests have.
type Hot struct {
	Key          uint64
	Count, Error int
}

// Tally is what a data daemon counted of one tenant in a window. Region is where it
// arrived; whoever gathers tallies fills it in.
//
// Invariant: Weight is never below what the tenant brought, and at most Error above it;
// all else counts only requests since the tenant last came into the sketch.
type Tally struct {
	Tenant, Region, Model string
	Weight, Error         int
	// Count are its requests, Keyed those that share a beginning, Long those of them that
	// go where long prompts go, Ended those that ended.
	Count, Keyed, Long, Ended int
	// Prompt, Shared and Answer are sums of tokens, Shared of Keyed ones; KB of kilobytes
	// sent; Held of the milliseconds that Ended ones took.
	Prompt, Shared, Answer, KB, Held int
	// Marks has a bit for each shared beginning, by a hash.
	Marks uint64
	Hot   []Hot
}

// Told is what a daemon tells of a window: rates are sums over its Span.
type Told struct {
	Serial  uint64
	Span    time.Duration
	Tallies []Tally
	// Heard are, of a control daemon, the data daemons that it heard, by region.
	Heard map[string]int
}

// Sum is what was gathered of all that was told.
type Sum struct {
	Tallies []Tally
	Heard   map[string]int
}

// mix spreads a key over all bits.
func mix(key uint64) uint64 {
	key ^= key >> 33
	key *= 0xff51afd7ed558ccd
	key ^= key >> 33
	key *= 0xc4ceb9fe1a85ec53
	return key ^ key>>33
}

// add counts one shared beginning by the space-saving algorithm.
func (tally *Tally) add(hot Hot) {
	least := -1
	for at := range tally.Hot {
		one := &tally.Hot[at]
		if one.Key == hot.Key {
			one.Count += hot.Count
			one.Error += hot.Error
			return
		}
		if least < 0 || one.Count < tally.Hot[least].Count {
			least = at
		}
	}
	if len(tally.Hot) < hottest {
		tally.Hot = append(tally.Hot, hot)
		return
	}
	under := tally.Hot[least].Count
	tally.Hot[least] = Hot{Key: hot.Key, Count: under + hot.Count, Error: under + hot.Error}
}

// join adds another tally of the tenant.
func (tally *Tally) join(other Tally) {
	tally.Weight += other.Weight
	tally.Error += other.Error
	tally.Count += other.Count
	tally.Keyed += other.Keyed
	tally.Long += other.Long
	tally.Ended += other.Ended
	tally.Prompt += other.Prompt
	tally.Shared += other.Shared
	tally.Answer += other.Answer
	tally.KB += other.KB
	tally.Held += other.Held
	tally.Marks |= other.Marks
	for _, one := range other.Hot {
		tally.add(one)
	}
}

// distinct is how many shared beginnings there were, by linear counting; more than some
// two hundred can't be told apart.
func distinct(marks uint64) float64 {
	empty := max(1, 64-bits.OnesCount64(marks))
	return -64 * math.Log(float64(empty)/64)
}

// Sketch counts the heavy tenants of a window by the space-saving algorithm: however many
// there are, it holds Heavy of them, and every one that brings more than a Heavy-th of
// the whole weight is among them.
type Sketch struct {
	table map[string]*Tally
}

// Note counts a request.
func (sketch *Sketch) Note(request Request) {
	if sketch.table == nil {
		sketch.table = make(map[string]*Tally, Heavy)
	}
	tally := sketch.table[request.Tenant]
	if tally == nil {
		fresh := &Tally{Tenant: request.Tenant, Model: request.Model}
		if len(sketch.table) >= Heavy {
			least := sketch.least()
			fresh.Weight, fresh.Error = least.Weight, least.Weight
			delete(sketch.table, least.Tenant)
		}
		tally = fresh
		sketch.table[request.Tenant] = tally
	}
	tally.Weight += request.weight()
	tally.Count++
	tally.Prompt += request.Prompt
	tally.Answer += request.Answer
	tally.KB += (request.Bytes + 512) / 1024
	if request.Key == 0 {
		return
	}
	tally.Keyed++
	tally.Shared += request.Shared
	tally.Marks |= 1 << (mix(request.Key) & 63)
	tally.add(Hot{Key: request.Key, Count: 1})
	if request.Long {
		tally.Long++
	}
}

// IsEmpty tells whether nothing was counted.
func (sketch *Sketch) IsEmpty() bool { return len(sketch.table) == 0 }

// Ended counts a request's end.
func (sketch *Sketch) Ended(tenant string, took time.Duration) {
	if tally := sketch.table[tenant]; tally != nil {
		tally.Ended++
		tally.Held += int(took / time.Millisecond)
	}
}

// least is the tenant that gives way; of equal ones it is the same on every daemon.
func (sketch *Sketch) least() (least *Tally) {
	for _, one := range sketch.table {
		if least == nil || one.Weight < least.Weight || one.Weight == least.Weight && one.Tenant < least.Tenant {
			least = one
		}
	}
	return least
}

// tallies are those of the sketch, the heaviest first.
func (sketch *Sketch) tallies() []Tally {
	out := make([]Tally, 0, len(sketch.table))
	for _, one := range sketch.table {
		out = append(out, *one)
	}
	sortTallies(out)
	return out
}

func sortTallies(list []Tally) {
	sort.Slice(list, func(a, b int) bool {
		x, y := &list[a], &list[b]
		if x.Weight != y.Weight {
			return x.Weight > y.Weight
		}
		return x.Tenant+"\x00"+x.Region < y.Tenant+"\x00"+y.Region
	})
}

// Counter counts window by window. The zero value counts nothing yet.
type Counter struct {
	Sketch
	began  time.Duration
	serial uint64
}

// Turn ends the window if it is over, and gives what is to be told of it; nil while it
// lasts. A span of zero or less counts nothing.
func (counter *Counter) Turn(now, span time.Duration) *Told {
	switch {
	case span <= 0:
		*counter = Counter{serial: counter.serial}
		return nil
	case counter.began == 0:
		counter.began = max(1, now)
		counter.table = nil
		return nil
	case now-counter.began < span:
		return nil
	}
	counter.serial++
	told := &Told{Serial: counter.serial, Span: now - counter.began, Tallies: counter.tallies()}
	counter.began, counter.table = now, nil
	return told
}

// Heard is what one daemon told, and the region that it is in.
type Heard struct {
	Region string
	Told   *Told
}

// perSecond is the scale of gathered tallies: sums over this span.
const perSecond = 10 * time.Second

// Gather adds up what daemons told, by tenant and region, scaled to one span, and keeps
// the heaviest MostTold. Where tallies name their region themselves, that one counts.
func Gather(heard []Heard) Sum {
	sums, counts := map[[2]string]*Tally{}, map[string]int{}
	for _, one := range heard {
		if one.Told == nil || one.Told.Span <= 0 {
			continue
		}
		if one.Told.Heard == nil {
			counts[one.Region]++
		}
		for region, count := range one.Told.Heard {
			counts[region] += count
		}
		for _, tally := range one.Told.Tallies {
			if tally.Region == "" {
				tally.Region = one.Region
			}
			tally.scale(float64(perSecond) / float64(one.Told.Span))
			at := [2]string{tally.Tenant, tally.Region}
			if sums[at] == nil {
				sums[at] = &Tally{Tenant: tally.Tenant, Region: tally.Region, Model: tally.Model}
			}
			sums[at].join(tally)
		}
	}
	out := make([]Tally, 0, len(sums))
	for _, one := range sums {
		out = append(out, *one)
	}
	sortTallies(out)
	return Sum{Tallies: out[:min(len(out), MostTold)], Heard: counts}
}

// Tell is what a control daemon tells of what it gathered.
func Tell(serial uint64, sum Sum) *Told {
	return &Told{Serial: serial, Span: perSecond, Tallies: sum.Tallies, Heard: sum.Heard}
}

func (tally *Tally) scale(by float64) {
	for _, field := range []*int{&tally.Weight, &tally.Error, &tally.Count, &tally.Keyed, &tally.Long, &tally.Ended, &tally.Prompt, &tally.Shared, &tally.Answer, &tally.KB, &tally.Held} {
		*field = int(math.Round(float64(*field) * by))
	}
	tally.Hot = append([]Hot{}, tally.Hot...)
	for at := range tally.Hot {
		tally.Hot[at].Count = int(math.Round(float64(tally.Hot[at].Count) * by))
		tally.Hot[at].Error = int(math.Round(float64(tally.Hot[at].Error) * by))
	}
}
