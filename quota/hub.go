package quota

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Report is what a daemon tells its hub, and what it asks for.
type Report struct {
	// From is the daemon's incarnation.
	From       string
	Seq, Since uint64
	Sums       Sums
	// Keys are tenants that requests wait for, Wants how many.
	Keys, Wants []uint64
	// Former, if set, is what the hub before told it, Age ago: to a hub that is not that one.
	// IsBare tells that it has taken its share of the buckets to another hub in this window:
	// it brings none.
	Former *Pressure
	Age    time.Duration
	IsBare bool
}

// Word is a hub's answer.
type Word struct {
	Hub string
	// Granted are how many of what was wanted may go on, in the order of the wants; Waits
	// are for those that may not after how many ms the next one may.
	Granted, Waits []uint64
	Pressure       Pressure
}

// Pressure are the tenants near their limit, with what their buckets hold, and the share of
// the limits that is known to be in touch with who tells. Of others the buckets are at least
// half full.
type Pressure struct {
	Keys   []uint64
	Levels []float64
	Share  float64
}

// Letter is what a hub tells another.
type Letter struct {
	From, Address string
	Seq, Since    uint64
	Sums          Sums
	// Count is how many daemons tell this hub, InTouch how many tell the hubs that it hears
	// and that hear it, itself among them.
	Count, InTouch int
	// IsTouched tells that the receiver hears the sender and is heard, as the sender sees it;
	// IsParted that the sender goes by the share of its own daemons.
	IsTouched, IsParted bool
	// IsNew asks for the table of the buckets.
	IsNew bool
	// Age is for how long the sender has been a hub, in ms.
	Age      uint64
	Pressure Pressure
}

// Heard is the answer. Table, for a hub that is new, are all buckets that are not full.
type Heard struct {
	From  string
	Table *Pressure
}

// bucket is a tenant's, as far as this hub knows: it fills by PerSecond in a second, and falls
// by each request let through anywhere. Below zero it is in debt.
type bucket struct {
	level float64
	at    time.Duration
	// brought is what daemons brought to a hub that began with nothing.
	brought float64
	// own and all are what was asked for of late, here and by all hubs, fading.
	own, all float64
}

// colleague is another hub, or a daemon that may be one.
type colleague struct {
	address, incarnation string
	out                  outbox
	in                   inbox
	count                int
	// since is when it was first told or heard; answered when it last answered.
	since, answered time.Duration
	// isSilent tells that it was out of touch at the last look: neither is told what the
	// other lets through, as each goes by its share.
	isSilent bool
	// inTouch is how many daemons it takes to be in touch with one another, itself and those
	// that tell it among them.
	inTouch int
	// isAgreed tells that the colleague sees it in the same way that it is in touch, isParted
	// that it goes by the share of its own daemons all the same.
	isAgreed, isParted bool
}

// isHeeded tells whether what it has not heard of matters here.
func (colleague *colleague) isHeeded() bool { return colleague.answered > 0 && !colleague.isSilent }

// hub is the part of a daemon that counts for those that tell it.
//
// Invariants, on which the bound of the error rests (docs/notes/quota.md):
// a bucket that is not kept is full; a bucket is never raised but by time, and by what a hub
// before it is known to have had;
// all hubs that are in touch with one another fill their buckets by no more than their share,
// and the shares of hubs that are not add up to one at the most;
// a request is granted only while the bucket holds one, and while what others have not
// heard of stays within this hub's part of what the bucket holds, or of the error.
type hub struct {
	guard      sync.Mutex
	name       string // the daemon's incarnation
	lives      int
	isOpen     bool // daemons tell it
	isTaught   bool // another hub has given it its table
	isYoung    bool // its daemon has only just got a list of all
	hailed     time.Duration
	born       time.Duration
	looked     time.Duration
	limits     *Limits
	buckets    map[uint64]*bucket
	pressed    map[uint64]bool
	reporters  map[string]*inbox
	colleagues map[string]*colleague
	isHurried  bool // colleagues should be told soon
	// share is that of the limits by which the buckets fill.
	share float64
	// inTouch is as a letter tells it; agreed is when colleagues last told the same.
	inTouch int
	agreed  time.Duration
	all     int // how many daemons there are
}

func newHub(name string, limits *Limits) *hub {
	return &hub{name: name, limits: limits, buckets: map[uint64]*bucket{}, pressed: map[uint64]bool{}, reporters: map[string]*inbox{}, colleagues: map[string]*colleague{}}
}

func (hub *hub) id() string { return fmt.Sprint(hub.name, "/", hub.lives) }

// attend begins a hub's life with its first report, and anew if it stood still: what became
// of the tenants meanwhile it doesn't know.
func (hub *hub) attend(now time.Duration) {
	if hub.isOpen && now-hub.looked > hub.limits.quiet() {
		hub.isOpen = false
	}
	if hub.isOpen {
		return
	}
	hub.lives++
	hub.isOpen, hub.isTaught, hub.born, hub.looked, hub.agreed = true, false, now, now, now
	hub.reporters, hub.colleagues = map[string]*inbox{}, map[string]*colleague{}
	hub.buckets, hub.pressed = map[uint64]*bucket{}, map[uint64]bool{}
	hub.share = 0
	for _, limit := range hub.limits.named {
		hub.buckets[limit.key] = &bucket{at: now}
	}
}

// receive takes in a daemon that did not tell this hub of late. It brings its share of the
// limits, and of one part of the error, or of what its hub before told that a bucket held where
// that is less.
func (hub *hub) receive(now time.Duration, report Report) {
	one := 1 / float64(max(1, hub.all))
	hub.share = min(1, hub.share+one)
	levels := map[uint64]float64{}
	told := report.Former
	isTold := told != nil && told.Share > 0 && report.Age <= hub.limits.quiet()
	if isTold {
		for at, key := range told.Keys {
			levels[key] = told.Levels[at]
		}
	}
	for key, bucket := range hub.buckets {
		limit := hub.limits.keyed[key]
		if limit == nil {
			continue
		}
		level := limit.part
		if isTold {
			if held, isPressed := levels[key]; isPressed {
				level = min(max(held/told.Share, -limit.part), limit.part)
			}
		}
		hub.bucket(now, limit)
		if report.IsBare || hub.isYoung {
			level = min(0, level)
		}
		brought := hub.lot(limit, report.From, level*one)
		bucket.level = min(bucket.level+brought, hub.room(limit))
		bucket.brought += brought
		hub.press(limit, bucket)
	}
}

// lot makes whole requests of what a daemon brings, so that one alone may serve some tenants
// rather than none: over all daemons it comes to the same.
func (hub *hub) lot(limit *known, from string, level float64) float64 {
	if level <= 0 {
		return level
	}
	whole := math.Floor(level)
	if float64(weight(limit.key, from)>>1)/(1<<63) < level-whole {
		whole++
	}
	return whole
}

// room is what a bucket holds here.
func (hub *hub) room(limit *known) float64 {
	if hub.share <= 0 {
		return 0
	}
	return max(1, limit.most*hub.share)
}

// teach has the buckets begin with another hub's table, which goes before what daemons know,
// less what was let through since.
func (hub *hub) teach(now time.Duration, table *Pressure) {
	if table == nil || hub.isTaught || now-hub.born > hub.limits.quiet() {
		return
	}
	hub.isTaught = true
	hub.share = max(hub.share, table.Share)
	levels := make(map[uint64]float64, len(table.Keys))
	for at, key := range table.Keys {
		levels[key] = table.Levels[at]
	}
	for key, limit := range hub.limits.keyed {
		level, isTold := levels[key]
		if !isTold {
			level = limit.most * table.Share
		}
		one := hub.bucket(now, limit)
		one.level = min(level-max(0, one.brought-one.level), hub.room(limit))
		hub.press(limit, one)
	}
}

// bucket gives a tenant's bucket as it is now.
func (hub *hub) bucket(now time.Duration, limit *known) *bucket {
	one := hub.buckets[limit.key]
	if one == nil {
		one = &bucket{level: hub.room(limit), at: now}
		hub.buckets[limit.key] = one
		return one
	}
	if span := now - one.at; span > 0 {
		one.level += limit.PerSecond * hub.share * span.Seconds()
		fade := math.Exp(-float64(span) / float64(hub.limits.Window/errorParts))
		one.own, one.all, one.at = one.own*fade, one.all*fade, now
	}
	one.level = min(one.level, hub.room(limit))
	return one
}

// press notes whether a tenant is near its limit.
func (hub *hub) press(limit *known, one *bucket) {
	if hub.share <= 0 || one.level < hub.room(limit)/2 {
		hub.pressed[limit.key] = true
	} else {
		delete(hub.pressed, limit.key)
	}
}

// isTouched tells whether a colleague hears this hub and is heard, and sees it in the same way.
func (hub *hub) isTouched(now time.Duration, one *colleague) bool {
	return one.isAgreed && hub.isLive(now, one)
}

// isLive is what this hub can tell of that by itself.
func (hub *hub) isLive(now time.Duration, one *colleague) bool {
	return one.in.heard > 0 && one.answered > 0 && now-one.in.heard < hub.limits.quiet() && now-one.answered < hub.limits.quiet()
}

// unheard is the most that some colleague who may be in touch has not heard of a tenant: what
// was let through, and what was asked for; hubs is how many such colleagues there are.
func (hub *hub) unheard(key uint64) (most int64, asked float64, hubs int) {
	for _, one := range hub.colleagues {
		if one.isHeeded() {
			gathered := one.out.gathered[key]
			most, asked, hubs = max(most, gathered.used), max(asked, float64(gathered.asked)), hubs+1
		}
	}
	return most, asked, hubs
}

// ahead is how many a hub may let through whatever others know.
func (hub *hub) ahead(limit *known) float64 {
	rank, own, hubs := 0, weight(limit.key, hub.id()), 1
	for _, one := range hub.colleagues {
		if one.isHeeded() && one.count > 0 {
			if hubs++; weight(limit.key, one.incarnation) > own {
				rank++
			}
		}
	}
	whole := int(limit.part)
	out := whole / hubs
	if rank < whole%hubs {
		out++
	}
	return float64(out)
}

// tell gathers for all colleagues what happened here.
func (hub *hub) tell(limit *known, used int64, asked uint64) {
	most := int64(0)
	for _, one := range hub.colleagues {
		if one.isSilent {
			continue
		}
		one.out.add(limit.key, used, asked)
		if one.isHeeded() {
			most = max(most, one.out.used(limit.key))
		}
	}
	if used > 0 && most > 0 && (hub.pressed[limit.key] || float64(most) >= max(1, hub.ahead(limit))) {
		hub.isHurried = true
	}
}

// charge takes from a bucket what was let through.
func (hub *hub) charge(now time.Duration, limit *known, one count, isOwn bool) {
	bucket := hub.bucket(now, limit)
	// More debt than the whole error there can't be: it was charged twice.
	bucket.level = max(min(bucket.level-float64(one.used), hub.room(limit)), -errorParts*limit.part)
	bucket.all += float64(one.asked)
	if isOwn {
		bucket.own += float64(one.asked)
	}
	hub.press(limit, bucket)
	if isOwn {
		hub.tell(limit, one.used, one.asked)
	}
}

// grant lets through what it may of the wanted, and tells when the next one may be.
func (hub *hub) grant(now time.Duration, limit *known, wanted uint64) (granted uint64, wait time.Duration) {
	one := hub.bucket(now, limit)
	unheard, asked, hubs := hub.unheard(limit.key)
	// What others may do with the bucket meanwhile is in the measure of what is asked for
	// there, and what is asked for here in that of what they know of.
	part, ahead := 1.0, math.Inf(1)
	if hubs > 0 {
		own, all := max(0, one.own-asked), max(0, one.all-asked)
		part, ahead = (own+1)/(max(own, all)+1+float64(hubs)), hub.ahead(limit)
	}
	one.own, one.all = one.own+float64(wanted), one.all+float64(wanted)
	for granted < wanted && one.level >= 1 && float64(unheard+1) <= max(part*(one.level+float64(max(0, unheard))), ahead) {
		one.level--
		granted, unheard = granted+1, unheard+1
	}
	hub.press(limit, one)
	hub.tell(limit, int64(granted), wanted)
	if granted < wanted {
		rate := limit.PerSecond * hub.share
		if rate <= 0 {
			return granted, hub.limits.Window
		}
		// As long as others ask for more than there is, who comes back soon is declined again:
		// the further above the limit, the more of the window it is worth to wait.
		asked := one.all / (hub.limits.Window / errorParts).Seconds()
		wait = time.Duration(max(0, 1-one.level) / rate * float64(time.Second))
		wait = max(wait, hub.limits.Window/waitParts, time.Duration((1-rate/max(asked, rate))*float64(hub.limits.Window)))
		wait = min(wait, hub.limits.Window)
	}
	return granted, wait
}

// report takes a daemon's report and answers it.
func (hub *hub) report(now time.Duration, report Report) (word Word, isHurried bool) {
	hub.guard.Lock()
	defer hub.guard.Unlock()
	hub.attend(now)
	in := hub.reporters[report.From]
	if in == nil {
		in = &inbox{}
		hub.reporters[report.From] = in
	}
	if in.heard == 0 || in.isGone {
		hub.receive(now, report)
	}
	in.heard, in.isGone = now, false
	for key, one := range in.take(report.Seq, report.Since, report.Sums) {
		if limit := hub.limits.keyed[key]; limit != nil {
			hub.charge(now, limit, one, true)
		}
	}
	for at, key := range report.Keys[:min(len(report.Keys), len(report.Wants))] {
		granted, wait := report.Wants[at], time.Duration(0)
		if limit := hub.limits.keyed[key]; limit != nil {
			granted, wait = hub.grant(now, limit, granted)
		}
		word.Granted = append(word.Granted, granted)
		word.Waits = append(word.Waits, uint64((wait+time.Millisecond-1)/time.Millisecond))
	}
	word.Hub, word.Pressure = hub.id(), hub.pressure(now)
	return word, hub.isHurried
}

// pressure is what to tell of tenants near their limit.
func (hub *hub) pressure(now time.Duration) (out Pressure) {
	out.Share = hub.share
	for key := range hub.pressed {
		out.Keys = append(out.Keys, key)
	}
	slices.Sort(out.Keys)
	for _, key := range out.Keys {
		level := 0.0
		if limit := hub.limits.keyed[key]; limit != nil {
			level = math.Floor(hub.bucket(now, limit).level)
		}
		out.Levels = append(out.Levels, level)
	}
	return out
}

// hear takes another hub's letter.
func (hub *hub) hear(now time.Duration, letter Letter) (out Heard) {
	hub.guard.Lock()
	defer hub.guard.Unlock()
	if hub.isOpen && now-hub.looked > hub.limits.quiet() {
		hub.isOpen = false // it stood still, or nobody tells it any more
	}
	out.From = hub.id()
	if !hub.isOpen {
		return out
	}
	one := hub.colleague(now, letter.Address)
	if one.incarnation != letter.From {
		// It is new, and is told all from now on, what is in its table left out.
		*one = colleague{address: letter.Address, incarnation: letter.From, since: now, out: outbox{seq: one.out.seq, since: one.out.seq}}
	}
	one.in.heard, one.count, one.inTouch, one.isAgreed, one.isParted = now, letter.Count, letter.InTouch, letter.IsTouched, letter.IsParted
	if now-hub.born >= hub.limits.quiet() && letter.IsNew {
		// What happens from now on it is told, as it is a colleague now.
		out.Table = hub.table(now)
	}
	for key, count := range one.in.take(letter.Seq, letter.Since, letter.Sums) {
		if limit := hub.limits.keyed[key]; limit != nil && !one.isSilent {
			hub.charge(now, limit, count, false)
		}
	}
	if hub.isTouched(now, one) && !one.isSilent {
		age := time.Duration(letter.Age) * time.Millisecond
		if age >= min(now-hub.born, agedTimes*hub.limits.Window) && math.Abs(letter.Pressure.Share-hub.share) < noticed {
			hub.agree(now, letter.Pressure)
		}
	}
	return out
}

// agedTimes is after how many windows a hub knows as much as one that is older.
const agedTimes = 2

// agree brings buckets down to what a colleague has in them, but for a part of the error: what
// was lost on the way to one hub and not to another would keep them apart else.
func (hub *hub) agree(now time.Duration, told Pressure) {
	for at, key := range told.Keys[:min(len(told.Keys), len(told.Levels))] {
		if limit := hub.limits.keyed[key]; limit != nil {
			one := hub.bucket(now, limit)
			one.level = min(one.level, told.Levels[at]+limit.part/2)
			hub.press(limit, one)
		}
	}
}

// table is what this hub knows of buckets that are not full.
func (hub *hub) table(now time.Duration) *Pressure {
	out := &Pressure{Share: hub.share}
	for _, key := range slices.Sorted(maps.Keys(hub.buckets)) {
		if limit := hub.limits.keyed[key]; limit != nil {
			if one := hub.bucket(now, limit); one.level < hub.room(limit) {
				out.Keys, out.Levels = append(out.Keys, key), append(out.Levels, math.Floor(one.level))
			}
		}
	}
	return out
}

// prepare has a daemon that others hail become a hub: it learns from other hubs what the
// buckets hold before it is told anything. It tells whether that is done, or can't be.
func (hub *hub) prepare(now time.Duration) (isReady bool) {
	hub.guard.Lock()
	defer hub.guard.Unlock()
	if hub.isYoung {
		return false
	}
	hub.attend(now)
	hub.hailed = now
	return hub.isTaught || now-hub.born >= hub.limits.quiet()
}

// write gives what to tell a colleague; not open means that nobody tells this hub.
func (hub *hub) write(now time.Duration, address, own string) (letter Letter, isOpen bool) {
	hub.guard.Lock()
	defer hub.guard.Unlock()
	if !hub.isOpen {
		return Letter{}, false
	}
	one := hub.colleague(now, address)
	letter = Letter{From: hub.id(), Address: own, Count: hub.count(now), InTouch: hub.inTouch, IsTouched: hub.isLive(now, one), IsParted: hub.isParted(now), Pressure: hub.pressure(now), Age: uint64((now - hub.born) / time.Millisecond)}
	letter.IsNew = !hub.isTaught && now-hub.born < hub.limits.quiet()
	letter.Seq, letter.Since, letter.Sums = one.out.write()
	return letter, true
}

// answered notes that a colleague has a letter.
func (hub *hub) answered(now time.Duration, address string, letter Letter, heard Heard) {
	hub.guard.Lock()
	defer hub.guard.Unlock()
	one := hub.colleagues[address]
	if one == nil || letter.From != hub.id() || one.out.seq != letter.Seq {
		return
	}
	one.out.confirmed()
	one.answered = now
	hub.teach(now, heard.Table)
}

func (hub *hub) colleague(now time.Duration, address string) *colleague {
	one := hub.colleagues[address]
	if one == nil {
		one = &colleague{address: address, since: now}
		hub.colleagues[address] = one
	}
	return one
}

// count is how many daemons tell this hub.
func (hub *hub) count(now time.Duration) (count int) {
	for _, one := range hub.reporters {
		if one.isGone = one.isGone || now-one.heard >= hub.limits.quiet(); !one.isGone {
			count++
		}
	}
	return count
}

// look brings the hub's share up to date, and what follows from it.
//
// A daemon that is young knows too few of the others, and that has no share to give.
func (hub *hub) look(now time.Duration, limits *Limits, all int, isYoung, isOver bool) {
	hub.guard.Lock()
	defer hub.guard.Unlock()
	hub.all, hub.isYoung = all, isYoung
	hub.limits = limits
	if !hub.isOpen {
		return
	}
	if now-hub.looked > limits.quiet() {
		hub.isOpen = false
		return
	}
	hub.looked = now
	count := hub.count(now)
	if count == 0 && now-hub.hailed >= limits.quiet() {
		hub.isOpen = false
		return
	}
	for from, one := range hub.reporters {
		if now-one.heard > forgetTimes*limits.quiet() {
			delete(hub.reporters, from)
		}
	}
	hub.inTouch = count
	for _, one := range hub.colleagues {
		if hub.isTouched(now, one) {
			hub.inTouch += one.count
		}
	}
	hub.inTouch = min(hub.inTouch, max(1, all))
	isApart := hub.isApart(now, all)
	gone := map[*colleague]bool{}
	for address, one := range hub.colleagues {
		isTouched := hub.isTouched(now, one)
		// One that has only just become known is told all from then on.
		isSilent := isApart || one.isParted || !isTouched && now-one.since >= limits.quiet()
		if isSilent && !one.isSilent {
			gone[one] = true
		}
		one.isSilent = isSilent
		if !isTouched && now-max(one.since, one.in.heard, one.answered) > forgetTimes*limits.quiet() {
			delete(hub.colleagues, address)
		}
		if isTouched && !isSilent {
			count += one.count
		}
	}
	share := min(1, float64(count)/float64(max(1, all)))
	if hub.isTaught && now-hub.born < limits.quiet() {
		share = max(share, hub.share) // others are yet to come
	}
	if isYoung || isOver {
		share = 0
	}
	hub.rescale(now, share, gone)
	for one := range gone {
		// While it is out of touch each side goes by its share alone.
		one.out.drop()
	}
	for key, one := range hub.buckets {
		limit := limits.keyed[key]
		if limit == nil {
			delete(hub.buckets, key)
			delete(hub.pressed, key)
			continue
		}
		hub.bucket(now, limit)
		hub.press(limit, one)
		if one.level >= hub.room(limit) && one.all < forgotten {
			delete(hub.buckets, key)
		}
	}
}

// isApart tells whether hubs that are in touch with this one have for some time not been in
// touch with the same others: two that do not hear one another would both reckon with the
// share of a third that hears both. Then each goes by the share of its own daemons.
func (hub *hub) isApart(now time.Duration, all int) bool {
	isAgreed := true
	for _, one := range hub.colleagues {
		if hub.isTouched(now, one) && one.count > 0 && math.Abs(float64(one.inTouch-hub.inTouch)) > 1+noticed*float64(all) {
			isAgreed = false
		}
	}
	if isAgreed {
		hub.agreed = now
	}
	return hub.isParted(now)
}

func (hub *hub) isParted(now time.Duration) bool { return now-hub.agreed >= hub.limits.quiet() }

// forgetTimes is after how many times the span of being out of touch who is not heard is
// forgotten.
const forgetTimes = 4

// forgotten is what a tenant of a full bucket may have asked for of late to be let out of
// the table.
const forgotten = 0.1

// noticed is by how much a share must have grown for buckets that were full to be looked at
// again: they were full in the share before.
const noticed = 1.0 / 16

// rescale takes up another share of the limits. With a smaller one a bucket falls in its
// measure, less what who is out of touch now has not heard of; with a larger one it only
// fills faster.
func (hub *hub) rescale(now time.Duration, share float64, gone map[*colleague]bool) {
	if share == hub.share {
		return
	}
	before := hub.share
	if share > before+noticed {
		for _, limit := range hub.limits.named {
			hub.bucket(now, limit)
		}
	}
	for key, one := range hub.buckets {
		limit := hub.limits.keyed[key]
		if limit == nil {
			continue
		}
		hub.bucket(now, limit)
		if share < before && one.level > 0 {
			unheard := 0.0
			for colleague := range gone {
				unheard = max(unheard, float64(colleague.out.used(key)))
			}
			one.level = (one.level+unheard)*share/before - unheard
		}
	}
	hub.share = share
}
