package quota

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/wire"
)

// Options of a meter.
type Options struct {
	World loop.World
	Net   wire.Net
	Self  session.Member
	// Limits are those in force; never nil.
	Limits func() *Limits
	// Members are the daemons as they were last listed, this one among them, and Listed is
	// until when that list holds: who is not on it had no session then.
	Members func() (members []session.Member, listed time.Duration)
}

// Meter says whether a tenant's request is within its limit.
//
// Invariants: of a tenant that is not known to be near its limit this daemon lets through
// without asking no more than its hub has not heard of and ahead allows; of one that is, it
// lets through what the hub granted. What was let through and did not run is given back once.
type Meter struct {
	Options
	hub *hub

	guard sync.Mutex
	out   outbox
	// at is the address of the hub that answered last, heard when, told what it said.
	at    string
	heard time.Duration
	// moved is when it last took its share to another hub.
	moved   time.Duration
	told    Pressure
	pressed map[uint64]bool
	// began is when it first had a list; isReady tells that it may be its own hub though
	// others are there.
	began    time.Duration
	isReady  bool
	isFlying bool
	isDue    bool
	waiters  []*waiter
	// shunned are hubs of the region that gave no answer since they were last hailed,
	// avoided other colleagues that gave none, until when.
	shunned map[string]bool
	avoided map[string]time.Duration
	flights map[string]*flight
	crew
}

// waiter is a request that waits for its hub's word.
type waiter struct {
	limit *known
	box   loop.Mailbox
}

// answer is a waiter's.
type answer struct {
	isAllowed bool
	comeBack  time.Duration
}

// flight is the exchange with another hub: one is under way, or begins again at once.
type flight struct{ isUnderWay, isDue bool }

// crew are the data daemons as this one knows them.
type crew struct {
	list    []session.Member // as listed last
	members map[string]*mate
	// regions are the wire addresses of those listed that do not leave, in the order in
	// which they are hubs.
	regions map[string][]string
}

// mate is a data daemon.
type mate struct {
	session.Member
	// missed is since when it is not listed any more.
	missed time.Duration
	isHere bool
}

// NewMeter makes a meter.
func NewMeter(options Options) *Meter {
	meter := &Meter{Options: options, hub: newHub(options.Self.Incarnation, options.Limits()), shunned: map[string]bool{}, avoided: map[string]time.Duration{}, flights: map[string]*flight{}}
	meter.members = map[string]*mate{}
	return meter
}

// Ask tells whether a request of the tenant may go on, and if not when it may come back. It
// may wait for the hub.
func (meter *Meter) Ask(tenant string) (comeBack time.Duration, isAllowed bool) {
	limits := meter.Limits()
	limit := limits.named[tenant]
	if limit == nil {
		return 0, true
	}
	now := meter.World.Now()
	meter.guard.Lock()
	isFresh := meter.heard > 0 && now-meter.heard < limits.quiet()
	if isFresh && !meter.pressed[limit.key] && meter.out.used(limit.key) < meter.ahead(limit) {
		meter.out.add(limit.key, 1, 1)
		meter.guard.Unlock()
		return 0, true
	}
	mine := &waiter{limit, meter.World.Mailbox()}
	meter.waiters = append(meter.waiters, mine)
	meter.fly()
	meter.guard.Unlock()
	got, has := mine.box.Take(mostWaits * limits.wait())
	if !has {
		return limits.wait(), false
	}
	word := got.(answer)
	if !word.isAllowed {
		word.comeBack += time.Duration(meter.World.Draw(int64(word.comeBack) + 1))
	}
	return word.comeBack, word.isAllowed
}

// mostWaits is for how many answers of hubs a request waits at the most.
const mostWaits = 4

// ahead is how many of a tenant that is not near its limit may be unknown to the hub.
func (meter *Meter) ahead(limit *known) int64 {
	return max(1, int64(limit.part/float64(max(1, len(meter.members)))))
}

// Return gives back a request that was allowed and has not run.
func (meter *Meter) Return(tenant string) {
	if limit := meter.Limits().named[tenant]; limit != nil {
		meter.guard.Lock()
		meter.out.add(limit.key, -1, 0)
		meter.guard.Unlock()
	}
}

// fly begins an exchange with the hub unless one is under way; who holds the guard calls it.
func (meter *Meter) fly() {
	if meter.isFlying {
		meter.isDue = true
		return
	}
	meter.isFlying = true
	meter.World.Go(func() {
		for meter.exchange() {
		}
	})
}

// exchange tells the hub what was let through, and gives those that wait its word. It tells
// whether there is more to do.
func (meter *Meter) exchange() bool {
	limits := meter.Limits()
	meter.guard.Lock()
	waiters := meter.waiters
	meter.waiters, meter.isDue = nil, false
	meter.guard.Unlock()
	var word *Word
	report := Report{From: meter.Self.Incarnation}
	wants := map[*known]uint64{}
	var order []*known
	for _, one := range waiters {
		if wants[one.limit]++; wants[one.limit] == 1 {
			order = append(order, one.limit)
		}
	}
	for _, limit := range order {
		report.Keys, report.Wants = append(report.Keys, limit.key), append(report.Wants, wants[limit])
	}
	// Where two hubs in turn gave no answer, this daemon is its own hub until one is found.
	missed := ""
	for try := 0; word == nil; try++ {
		meter.guard.Lock()
		now := meter.World.Now()
		if try == mostTries {
			for _, address := range meter.regions[meter.Self.Region] {
				meter.shunned[address] = true
			}
		}
		address := meter.best()
		report.Former, report.Age = nil, 0
		if address != meter.at && meter.heard > 0 {
			told := meter.told
			report.Former, report.Age = &told, now-meter.heard
			report.IsBare = meter.moved > 0 && now-meter.moved < limits.Window
		}
		report.Seq, report.Since, report.Sums = meter.out.write()
		meter.guard.Unlock()
		word = meter.send(address, report, limits)
		meter.guard.Lock()
		now = meter.World.Now()
		if word == nil {
			// A call may be lost, or late, where nothing is wrong with the hub.
			if missed == address || try > 0 {
				meter.shunned[address] = true
			}
			missed = address
		} else {
			meter.out.confirmed()
			if address != meter.at && meter.heard > 0 && !report.IsBare {
				meter.moved = now
			}
			meter.at, meter.heard, meter.told = address, now, word.Pressure
			// Those that come behind it are as good as any once it is gone.
			addresses := meter.regions[meter.Self.Region]
			for _, other := range addresses[slices.Index(addresses, address)+1:] {
				delete(meter.shunned, other)
			}
			meter.pressed = make(map[uint64]bool, len(word.Pressure.Keys))
			for _, key := range word.Pressure.Keys {
				meter.pressed[key] = true
			}
		}
		meter.guard.Unlock()
	}
	for at, limit := range order {
		left, wait := uint64(0), time.Duration(0)
		if at < len(word.Granted) && at < len(word.Waits) {
			left, wait = word.Granted[at], time.Duration(word.Waits[at])*time.Millisecond
		}
		for _, one := range waiters {
			if one.limit != limit {
				continue
			}
			if left > 0 {
				left--
				one.box.Put(answer{isAllowed: true})
			} else {
				one.box.Put(answer{comeBack: wait})
			}
		}
	}
	meter.guard.Lock()
	defer meter.guard.Unlock()
	meter.isFlying = meter.isDue
	return meter.isFlying
}

// send gives a report to a hub; nil if it did not answer.
func (meter *Meter) send(address string, report Report, limits *Limits) *Word {
	if address == meter.Self.Wire {
		word := meter.report(report)
		return &word
	}
	word := new(Word)
	if meter.Net.Call(address, "Quota.Report", report, word, limits.wait()) != nil {
		return nil
	}
	return word
}

// mostTries is how many calls are made until a daemon goes by its own share: two to one hub
// and one to the next.
const mostTries = 3

// best is the hub to tell: the first of the region's daemons that answers.
func (meter *Meter) best() string {
	for _, address := range meter.regions[meter.Self.Region] {
		if address == meter.Self.Wire && meter.isReady || address != meter.Self.Wire && !meter.shunned[address] {
			return address
		}
	}
	return meter.Self.Wire
}

// enlist takes up the list of daemons. One that has left in order is gone at once. One that
// is not listed any more may be alive, and alone: it keeps its share for the reserve, and
// longer where those that hear one another are not the most of all.
func (meter *Meter) enlist(now time.Duration, list []session.Member, reserve time.Duration, isMost bool) {
	if len(list) != len(meter.list) || len(list) > 0 && &list[0] != &meter.list[0] {
		meter.list, meter.regions = list, map[string][]string{}
		for _, one := range meter.members {
			one.isHere = false
		}
		for _, one := range list {
			if one.Role != session.Data {
				continue
			}
			have := meter.members[one.Name]
			if have == nil {
				have = &mate{}
				meter.members[one.Name] = have
			}
			have.Member, have.isHere = one, true
			if !one.Leaving || one.Name == meter.Self.Name {
				meter.regions[one.Region] = append(meter.regions[one.Region], one.Wire)
			}
		}
		for region, addresses := range meter.regions {
			slices.SortFunc(addresses, func(a, b string) int { return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b)) })
			meter.regions[region] = slices.Compact(addresses)
		}
		for _, one := range meter.members {
			if !one.isHere && one.missed == 0 {
				one.missed = now
			} else if one.isHere {
				one.missed = 0
			}
		}
	}
	for name, one := range meter.members {
		if !one.isHere && name != meter.Self.Name && (one.Leaving || isMost && now-one.missed > reserve) {
			delete(meter.members, name)
		}
	}
}

// rank is by how much an address comes before others as a hub.
func rank(address string) uint64 { return weight(0, address) }

// Run tells the hub, and as a hub the others, until the world ends.
func (meter *Meter) Run() {
	loop.Every(meter.World, func() time.Duration { return meter.Limits().tell() }, func() bool {
		meter.turn()
		return true
	})
}

// turn is one step of Run.
func (meter *Meter) turn() {
	limits := meter.Limits()
	now := meter.World.Now()
	list, listed := meter.Members()
	if len(list) == 0 {
		return // it serves nobody yet, and can't count for others
	}
	meter.hub.guard.Lock()
	inTouch := meter.hub.inTouch
	meter.hub.guard.Unlock()
	meter.guard.Lock()
	if meter.began == 0 {
		meter.began = max(1, now)
	}
	isYoung := now-meter.began < limits.quiet()
	meter.enlist(now, list, limits.Reserve+limits.Window, 2*inTouch > len(meter.members))
	all := len(meter.members)
	// A daemon without a list for so long may have lost its share to the others.
	isOver := now > listed+limits.Reserve && 2*inTouch <= all
	if len(limits.named) == 0 {
		meter.guard.Unlock()
		return // nothing is to be counted
	}
	lost := meter.lost()
	isBetter := !meter.isReady && meter.at != meter.Self.Wire && rank(meter.Self.Wire) > rank(meter.at)
	meter.fly()
	meter.guard.Unlock()
	meter.hub.look(now, limits, all, isYoung, isOver)
	if isReady := !isBetter || meter.hub.prepare(now); isReady && !isYoung {
		meter.guard.Lock()
		meter.isReady = true
		meter.guard.Unlock()
	}
	for _, address := range lost {
		meter.World.Go(func() { meter.hail(address, limits.wait()) })
	}
	meter.share()
}

// lost are hubs that come before the one at hand and gave no answer, to be hailed: the first
// one, and some of the others by lot.
func (meter *Meter) lost() (out []string) {
	for _, address := range meter.regions[meter.Self.Region] {
		if address == meter.Self.Wire && !meter.isReady {
			continue
		}
		if !meter.shunned[address] || address == meter.Self.Wire {
			break
		}
		out = append(out, address)
	}
	for at := 1; at < len(out); at++ {
		other := at + int(meter.World.Draw(int64(len(out)-at)))
		out[at], out[other] = out[other], out[at]
	}
	return out[:min(len(out), mostHails)]
}

// mostHails is how many hubs that gave no answer are hailed at a time.
const mostHails = 4

// hail has a hub tried again if it answers.
func (meter *Meter) hail(address string, patience time.Duration) {
	answered := ""
	if meter.Net.Call(address, "Quota.Hail", meter.Self.Incarnation, &answered, patience) == nil {
		meter.guard.Lock()
		delete(meter.shunned, address)
		meter.guard.Unlock()
	}
}

// colleagues are the hubs to exchange with: of each other region the first that answers,
// those of this region that come before this one, and whoever told this hub of late.
func (meter *Meter) colleagues(now time.Duration) (out []string) {
	for _, addresses := range meter.regions {
		for _, address := range addresses {
			if address == meter.Self.Wire {
				break
			}
			if now >= meter.avoided[address] {
				out = append(out, address)
				break
			}
		}
	}
	return out
}

// share has each colleague told, but for those that are being told.
func (meter *Meter) share() {
	now := meter.World.Now()
	meter.hub.guard.Lock()
	isOpen := meter.hub.isOpen
	meter.hub.isHurried = false
	var addresses []string
	for address, one := range meter.hub.colleagues {
		if now-one.in.heard < 2*meter.hub.limits.quiet() && one.in.heard > 0 {
			addresses = append(addresses, address)
		}
	}
	meter.hub.guard.Unlock()
	if !isOpen {
		return
	}
	meter.guard.Lock()
	addresses = append(addresses, meter.colleagues(now)...)
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		one := meter.flights[address]
		if one == nil {
			one = &flight{}
			meter.flights[address] = one
		}
		one.isDue = true
		if one.isUnderWay {
			continue
		}
		one.isUnderWay = true
		meter.World.Go(func() {
			for meter.post(address, one) {
			}
		})
	}
	meter.guard.Unlock()
}

// post tells another hub once, and whether to tell it again.
func (meter *Meter) post(address string, flight *flight) bool {
	limits := meter.Limits()
	meter.guard.Lock()
	flight.isDue = false
	meter.guard.Unlock()
	letter, isOpen := meter.hub.write(meter.World.Now(), address, meter.Self.Wire)
	var heard Heard
	if isOpen {
		err := meter.Net.Call(address, "Quota.Share", letter, &heard, limits.quiet()/2)
		now := meter.World.Now()
		if err == nil {
			meter.hub.answered(now, address, letter, heard)
		} else {
			meter.guard.Lock()
			meter.avoided[address] = now + limits.Window/shunParts
			meter.guard.Unlock()
		}
		loop.Sleep(meter.World, limits.Window/hurryParts)
	}
	meter.guard.Lock()
	defer meter.guard.Unlock()
	flight.isUnderWay = flight.isDue && isOpen
	return flight.isUnderWay
}

// report takes a report as a hub, and tells others soon if that is due.
func (meter *Meter) report(report Report) Word {
	word, isHurried := meter.hub.report(meter.World.Now(), report)
	if isHurried {
		meter.share()
	}
	return word
}

// errNew is what a daemon answers that does not know the limits yet.
var errNew = errors.New("this daemon has no list of daemons yet")

// isNew tells whether it has none, or has had one for too short a time for it to be whole.
func (meter *Meter) isNew() bool {
	meter.guard.Lock()
	defer meter.guard.Unlock()
	return meter.began == 0 || meter.World.Now()-meter.began < meter.Limits().quiet()
}

// Service is what daemons call of one another.
type Service struct{ Meter *Meter }

// Report takes a daemon's report.
func (service Service) Report(report Report, word *Word) error {
	if service.Meter.isNew() {
		return errNew
	}
	*word = service.Meter.report(report)
	return nil
}

// Share takes another hub's letter.
func (service Service) Share(letter Letter, heard *Heard) error {
	*heard = service.Meter.hub.hear(service.Meter.World.Now(), letter)
	return nil
}

// Hail answers that this daemon is there.
func (service Service) Hail(_ string, incarnation *string) error {
	meter := service.Meter
	if meter.isNew() || !meter.hub.prepare(meter.World.Now()) {
		meter.share()
		return errNew
	}
	*incarnation = service.Meter.Self.Incarnation
	return nil
}

// Tenant is a tenant under pressure, as a daemon was told.
type Tenant struct {
	Name  string  `json:"tenant"`
	Level float64 `json:"level"`
	// PerSecond and Burst are its limit.
	PerSecond float64 `json:"per_s"`
	Burst     float64 `json:"burst"`
}

// Status is what a daemon knows of limits.
type Status struct {
	// Hub is the wire address of the daemon that this one tells, Age how long ago it
	// answered.
	Hub string `json:"hub"`
	Age int64  `json:"age_ms"`
	// Share is the part of the limits that daemons in touch with one another go by.
	Share float64  `json:"share"`
	Near  []Tenant `json:"near_limit"`
}

// Status tells it.
func (meter *Meter) Status() Status {
	limits := meter.Limits()
	meter.guard.Lock()
	defer meter.guard.Unlock()
	out := Status{Hub: meter.at, Age: (meter.World.Now() - meter.heard).Milliseconds(), Share: meter.told.Share, Near: []Tenant{}}
	for at, key := range meter.told.Keys {
		if limit := limits.keyed[key]; limit != nil {
			out.Near = append(out.Near, Tenant{limit.Tenant, meter.told.Levels[at], limit.PerSecond, limit.Burst})
		}
	}
	return out
}
