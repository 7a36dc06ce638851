package tenant

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// Ratios of the watch; spans are in windows.
const (
	// quick and slow are the shares by which the short and the long profile follow.
	quick = 0.5
	slow  = 1.0 / 16
	// settled is after how many windows a tenant is known; least how many requests the
	// short profile must stand on.
	settled = 16
	least   = 40
	// confirmed is in how many windows in a row a change must show, and followed which
	// part of it the long profile must have followed.
	confirmed = 2
	followed  = 0.25
	// stays is how long a placement stays at the least; each move that follows another
	// within stayTimes of that doubles it, up to stayMost times.
	stays, stayTimes, stayMost = 10, 4, 16
	// calm is how long a noticed change is left to show itself whole before a placement is
	// judged by it, and open for how long it then may lead to a move.
	calm, open = 2, 4
	// margin is by what times the gain that is foreseen must exceed the price.
	margin = 2
	// worthwhile is the least part of a tenant's long prompts that a move keeps near.
	worthwhile = 0.15
	// regionShare is the least part of a tenant's callers for which a region gets owners
	// of its own.
	regionShare = 0.25
	// half of what a region's replicas bear, keep and read is the most that is placed.
	half = 0.5
	// readRate is the tokens that a replica reads in a second between the tokens of others,
	// as is taken beforehand; mostBusy is as busy as an owner is taken to be at the most.
	readRate, mostBusy = 35000.0, 0.95
	// crowd is what a full replica adds to a first piece, in ms.
	crowd = 64.0
	// mostOwners bounds the owners of a hot beginning.
	mostOwners = 4
	// blind is for how many turns a new watch notices nothing, as it may not have heard all
	// yet; audible which part of a region's data daemons must be heard for a turn to count,
	// for deafness turns at the most: then there are fewer of them.
	blind, audible, deafness = 4, 0.75, 20
	// idle is the requests a second below which a tenant is forgotten.
	idle = 0.01
)

// Ground is what is known of a region's replicas of a model.
type Ground struct {
	// Replicas are those that may get requests of the model.
	Replicas      int
	Berths, Cache int
}

// Scene is what a turn is made by.
//
// Invariant: Now never falls from turn to turn of a watch.
type Scene struct {
	Now, Window time.Duration
	Duty        uint64
	// Grounds are by model and region.
	Grounds map[string]map[string]Ground
	// Homes gives the regions that may serve a tenant, none for one that is not there.
	Homes func(tenant string) []string
	// Far is the price of a way to another region in ms, FarKB of each KB on it, Again of
	// a thousand shared tokens that are read again.
	Far, FarKB, Again float64
	// Change is how far a tenant's work must have moved, and Budget which part of all
	// prompt tokens moves may make be read again.
	Change, Budget float64
}

// Notice is something that a turn noticed or planned, with its figures.
type Notice struct {
	Tenant, What, Reason string
	// Distance is how far the sessions have moved; Gain and Price are in ms of waiting,
	// the gain over the span that the placement stays at the least; Tokens are those
	// that are read again.
	Distance, Gain, Price, Tokens float64
	From, To                      []string
	Part                          int
}

// row is one tenant in the watch's table.
type row struct {
	short, long *Profile
	// basis is what the tenant was like when it was last found changed, or known; judged
	// is the one before, while the change has led to nothing yet: the next holder has to
	// notice it too.
	basis, judged *Profile
	turns         int
	// strange is in how many windows in a row it seemed changed; from and until are the
	// turns between which a noticed change may lead to a move, until is zero for none.
	strange     int
	from, until int
	// moved is when its placement last changed, stay for how long that stays.
	moved, stay time.Duration
}

// Watch is the duty holder's table of tenants, and the systems over it.
//
// Invariants: at most MostKept rows; bucket is never above what Budget allows in the
// span of a stay, and nothing is moved beyond it; no placement changes twice within a
// stay, and none that was there when the watch began within the first.
type Watch struct {
	rows   map[string]*row
	last   time.Duration
	bucket float64
	turn   int
	// heard is how many data daemons are usually heard, by region; deaf for how many turns
	// in a row too few were.
	heard map[string]float64
	deaf  int
}

// NewWatch begins a watch by what a former holder found usual.
func NewWatch(now time.Duration, usual []Profile) *Watch {
	watch := &Watch{rows: map[string]*row{}, last: now, heard: map[string]float64{}}
	for _, one := range usual[:min(len(usual), MostKept)] {
		if one.Rates != nil {
			watch.rows[one.Tenant] = &row{short: one.clone(), long: one.clone(), basis: one.clone(), moved: now}
		}
	}
	return watch
}

// Usual is what a next holder has to know: what the tenants were judged by.
func (watch *Watch) Usual() (out []Profile) {
	for _, name := range watch.names() {
		switch one := watch.rows[name]; {
		case one.until > 0 && one.judged != nil:
			out = append(out, *one.judged)
		case one.basis != nil:
			out = append(out, *one.basis)
		}
	}
	return out
}

// Seen is what the watch knows of a tenant, for operators.
type Seen struct {
	Tenant   string
	Short    Profile
	Long     Profile
	Distance float64
	By       string
	IsKnown  bool
}

// Seen lists the tenants, the heaviest first.
func (watch *Watch) Seen() (out []Seen) {
	for _, name := range watch.names() {
		one := watch.rows[name]
		seen := Seen{Tenant: name, Short: *one.short.clone(), Long: *one.long.clone(), IsKnown: one.basis != nil}
		if one.basis != nil {
			seen.Distance, seen.By = Distance(one.basis, one.short)
		}
		out = append(out, seen)
	}
	return out
}

// names are the tenants, the heaviest first.
func (watch *Watch) names() []string {
	names := slices.Sorted(maps.Keys(watch.rows))
	sort.SliceStable(names, func(a, b int) bool { return watch.rows[names[a]].weight() > watch.rows[names[b]].weight() })
	return names
}

func (row *row) weight() float64 { return row.long.Prompt + row.long.Answer }

// Turn takes what was gathered in a window, and gives the next book.
func (watch *Watch) Turn(scene Scene, sum Sum, book Book) (next Book, notices []Notice) {
	watch.turn++
	span := scene.Now - watch.last
	watch.last = scene.Now
	hears := watch.hears(sum.Heard)
	if hears {
		watch.learn(scene, profiles(sum.Tallies), span)
	}
	stay := stays * scene.Window
	flow := 0.0
	for _, one := range watch.rows {
		flow += one.long.Prompt
	}
	watch.bucket = min(watch.bucket+scene.Budget*flow*span.Seconds(), scene.Budget*flow*stay.Seconds())
	next = Book{Duty: scene.Duty}
	for _, one := range book.Placed {
		if one.Pinned || len(scene.Homes(one.Tenant)) > 0 {
			next.Placed = append(next.Placed, one)
		} else {
			notices = append(notices, Notice{Tenant: one.Tenant, What: "is gone", From: one.Now})
		}
	}
	for _, name := range watch.names() {
		one := watch.rows[name]
		if one.stay < stay {
			one.stay = stay
		}
		if hears {
			if notice, isNoticed := one.detect(scene, watch.turn); isNoticed {
				notices = append(notices, notice)
			}
		}
		have := Placement{Tenant: name}
		if found := next.Find(name); found != nil {
			have = *found
		}
		if have.Pinned {
			continue
		}
		plan := plan{scene: scene, profile: one.short, placement: have, used: watch.used(scene, next, name), stay: one.stay}
		switch {
		case have.Moving:
			have, notices = watch.step(plan, one, notices)
		case !hears || one.until == 0 || watch.turn < one.from || one.moved > 0 && scene.Now-one.moved < one.stay:
			continue
		default:
			have, notices = watch.begin(plan, one, notices)
		}
		if len(next.Placed) < MostKept || next.Find(name) != nil {
			next = next.With(have)
		}
	}
	// Moves of tenants that nothing is heard of end at once: nothing is read again.
	for _, one := range slices.Clone(next.Placed) {
		if one.Moving && watch.rows[one.Tenant] == nil && watch.turn > settled {
			one.Part = Parts
			if one.Back {
				one.Part = 0
			}
			next = next.With(one.ended())
			notices = append(notices, Notice{Tenant: one.Tenant, What: "has moved", From: one.Now, To: one.Next, Part: Parts, Reason: "it is idle"})
		}
	}
	return next, notices
}

// hears tells whether enough data daemons of every region were heard: a region that is cut
// off, or whose control daemon is gone, has not lost its callers.
func (watch *Watch) hears(heard map[string]int) bool {
	isDeaf := false
	for region, usual := range watch.heard {
		isDeaf = isDeaf || float64(heard[region]) < audible*usual
	}
	if isDeaf && watch.deaf < deafness {
		watch.deaf++
		return false
	}
	if isDeaf {
		watch.heard = map[string]float64{}
	}
	watch.deaf = 0
	for region, count := range heard {
		if usual, known := watch.heard[region]; known {
			watch.heard[region] = usual + (float64(count)-usual)/4
		} else {
			watch.heard[region] = float64(count)
		}
	}
	return true
}

// learn blends what was heard into the table, and lets the lightest go.
func (watch *Watch) learn(scene Scene, fresh map[string]*Profile, span time.Duration) {
	for name, one := range fresh {
		if watch.rows[name] == nil {
			watch.rows[name] = &row{short: one.clone(), long: one.clone()}
		}
	}
	for name, one := range watch.rows {
		now := fresh[name]
		if now == nil {
			now = &Profile{Tenant: name, Model: one.short.Model}
		}
		one.turns++
		one.short.blend(now, max(quick, 1/float64(one.turns)), span)
		one.long.blend(now, max(slow, 1/float64(one.turns)), span)
		if len(scene.Homes(name)) == 0 || one.long.Rate() < idle {
			delete(watch.rows, name)
		}
	}
	names := watch.names()
	for _, name := range names[min(len(names), MostKept):] {
		delete(watch.rows, name)
	}
}

// detect compares the short profile with what the tenant was judged by.
func (row *row) detect(scene Scene, turn int) (notice Notice, isNoticed bool) {
	if row.until > 0 && turn > row.until && scene.Now-row.moved >= row.stay {
		row.until, row.judged = 0, nil
	}
	if row.basis == nil {
		if row.turns >= settled {
			row.basis = row.long.clone()
		}
		return notice, false
	}
	samples := row.short.Rate() * scene.Window.Seconds() * (2 - quick) / quick
	short, by := Distance(row.basis, row.short)
	long, _ := Distance(row.basis, row.long)
	if turn <= blind || samples < least || short < scene.Change+doubt(samples) || long < followed*scene.Change {
		row.strange = 0
		return notice, false
	}
	if row.strange++; row.strange < confirmed {
		return notice, false
	}
	notice = Notice{Tenant: row.short.Tenant, What: "has changed", Distance: short, Reason: fmt.Sprintf("%s; %s, was %s", by, row.short, row.basis)}
	if row.until == 0 {
		row.judged = row.basis
	}
	row.strange, row.basis = 0, row.short.clone()
	row.from = turn + calm
	row.until = row.from + open
	if row.moved > 0 {
		row.until = max(row.until, turn+open+int(max(0, row.moved+row.stay-scene.Now)/scene.Window))
	}
	return notice, true
}

// String shows the profile's main figures.
func (profile *Profile) String() string {
	var shares []string
	for _, region := range slices.Sorted(maps.Keys(profile.Rates)) {
		shares = append(shares, fmt.Sprintf("%s %.0f%%", region, 100*profile.Share(region)))
	}
	return fmt.Sprintf("%.1f/s from %s, prompts of %.0f tokens, %.0f shared, answers of %.0f, %.0f ms each", profile.Rate(), strings.Join(shares, " "), each(profile.Prompt, profile.Rate()), each(profile.Shared, profile.Keyed), each(profile.Answer, profile.Rate()), each(profile.Held, profile.Ended))
}

// begin judges a tenant whose sessions have changed.
func (watch *Watch) begin(plan plan, one *row, notices []Notice) (Placement, []Notice) {
	have := plan.placement
	next, notice := plan.best()
	// A move is paid for part by part, all else at once.
	if notice.What == "" || !next.Moving && notice.Tokens > watch.bucket {
		return have, notices
	}
	if !next.Moving {
		watch.bucket -= notice.Tokens
	}
	if one.moved > 0 && plan.scene.Now-one.moved < stayTimes*one.stay {
		one.stay = min(2*one.stay, stayMost*stays*plan.scene.Window)
	} else {
		one.stay = stays * plan.scene.Window
	}
	one.judged = nil
	watch.touched(one, plan.scene)
	return next, append(notices, notice)
}

// touched notes that a placement has changed: it stays now, and is judged once more when
// that is over.
func (watch *Watch) touched(one *row, scene Scene) {
	one.moved = scene.Now
	one.until = watch.turn + int(one.stay/scene.Window) + open
}

// step takes a move on by as many parts as the bucket allows, or back.
func (watch *Watch) step(plan plan, one *row, notices []Notice) (Placement, []Notice) {
	have := plan.placement
	watch.touched(one, plan.scene)
	if !have.Back && one.turns > confirmed {
		// Is it still worth it? What was moved so far is paid.
		if gain := plan.gain(have.Now, have.Next); gain <= 0 {
			have.Back = true
			notices = append(notices, Notice{Tenant: have.Tenant, What: "goes back", Reason: "nothing is gained any more; " + plan.profile.String(), Gain: gain, From: have.Next, To: have.Now, Part: have.Part})
		}
	}
	tokens := plan.tokens(have.Now, have.Next)
	if have.Back {
		tokens = plan.tokens(have.Next, have.Now)
	}
	parts := Parts
	if tokens > 0 {
		parts = int(watch.bucket / tokens * Parts)
	}
	if parts <= 0 {
		return have, notices
	}
	before := have.Part
	if have.Back {
		have.Part = max(0, have.Part-parts)
	} else {
		have.Part = min(Parts, have.Part+parts)
	}
	watch.bucket -= tokens * math.Abs(float64(have.Part-before)) / Parts
	notice := Notice{Tenant: have.Tenant, What: "moves", Tokens: tokens * math.Abs(float64(have.Part-before)) / Parts, From: have.Now, To: have.Next, Part: have.Part}
	if ended := have.ended(); !ended.Moving {
		have, notice.What = ended, "has moved"
		if notice.Part == 0 {
			notice.What = "is back"
		}
	}
	return have, append(notices, notice)
}

// ended is the placement, settled if its move is at an end.
func (placement Placement) ended() Placement {
	switch {
	case placement.Part >= Parts && !placement.Back:
		placement.Now = placement.Next
	case placement.Part > 0 || !placement.Back:
		return placement
	}
	placement.Next, placement.Moving, placement.Part, placement.Back = nil, false, 0, false
	return placement
}
