package permit

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/tenant"
)

// Offer tells a holder that a configuration was decided, which it then fetches, unless the
// offer brings it.
type Offer struct {
	Serial uint64
	// Edition, if set, is the configuration against the one before it. It is small: an offer
	// is made again to whoever does not answer.
	Edition *Edition
	// Patience is how long the holder may take until it answers.
	Patience time.Duration
}

// Taken is the holder's answer: what it applies from now on.
type Taken struct {
	Incarnation string
	Serial      uint64
}

// View is what a data daemon goes by. It is never changed once shown.
//
// Invariant: of two views shown one after the other, the later has no lower
// Serial, no lower standing serial of any region that it has, and no earlier
// Expiry. A view that follows a lapse has only standings that were found to be up
// to date since: what replicas have become meanwhile nobody told this daemon.
type View struct {
	Serial    uint64
	Tree      *settings.Tree
	Evacuated map[string]bool
	Standings map[string]standing.Standing
	// Kept is, by region, the latest time at which the standing is known to have
	// been up to date.
	Kept map[string]time.Duration
	// Unkept are regions whose standing nobody has kept up to date since this daemon has
	// it: its replicas may have begun anew, and count as cold.
	Unkept map[string]bool
	// Members have their uptimes as of told; those of all came last at timed.
	Members []session.Member
	Expiry  time.Duration
	// IsMoving tells that some standing has a version on trial, or one that was left and
	// stands by.
	IsMoving bool
	sum      uint64
	out      []string // the evacuated zones, as they were told
	told     time.Duration
	timed    time.Duration
	texts    map[string]text // of the standings that came last, by region
	// Placed are the tenants' placements as of their serial; nil before any came.
	Placed       *tenant.Book
	PlacedSerial uint64
}

// Placement is a tenant's; nil where there is none, and once the permit has ended: what
// then may hold nobody knows, so two placements are in force for a permit's length at the
// longest.
func (view *View) Placement(name string, now time.Duration) *tenant.Placement {
	if view.Placed == nil || !view.Stands(now) {
		return nil
	}
	return view.Placed.Find(name)
}

// Config is the configuration as data daemons are told it, put together.
func (view *View) Config() (out Config) {
	if view.Tree != nil {
		out = Config{Document: view.Tree.Document(), Evacuated: view.out}
	}
	return out
}

// Stands tells whether the permit lets the daemon serve at the time.
func (view *View) Stands(now time.Duration) bool {
	return view != nil && view.Tree != nil && now < view.Expiry
}

// Serves tells whether routed requests may be served at the time: while the permit
// stands, and for alone_ms after it, where the settings allow that. What such a daemon
// goes by may be old; it never goes back.
func (view *View) Serves(now time.Duration) bool {
	return view != nil && view.Tree != nil && now < view.Expiry+view.Tree.Span("alone_ms", "")
}

// HolderOptions of a holder.
type HolderOptions struct {
	World  loop.World
	Client *session.Client
	// Self describes the daemon at the moment of asking.
	Self func() session.Member
	// Changed is woken after every new view.
	Changed func(view *View)
}

// Holder keeps a data daemon's permit.
//
// Invariants: floor is the highest serial that was offered; no grant below it is taken.
// Configurations come by fetches, one under way at a time, but for evacuations, which come
// with an offer: so no two copies of a document are on their way to a holder. No view shows a life that leavers has, below its serial.
type Holder struct {
	HolderOptions
	guard sync.Mutex // over replacing the view
	floor uint64
	// leavers are lives that get nothing any more, as notices told.
	leavers map[Leaver]left
	view    atomic.Pointer[View]
	waker   *loop.Waker
	// fruitless counts the last asks in a row that brought no grant.
	fruitless atomic.Int64
	// isFetching tells that a fetch is under way, and fetchers who waits for what it
	// brings; both under guard.
	isFetching bool
	fetchers   []loop.Mailbox
	Declined   atomic.Pointer[string]
}

// NewHolder makes a holder without a permit: a restarted daemon has none.
func NewHolder(options HolderOptions) *Holder {
	holder := &Holder{HolderOptions: options, waker: loop.NewWaker(options.World)}
	holder.view.Store(&View{Standings: map[string]standing.Standing{}})
	return holder
}

// View is what to go by now; ask its Stands at the last moment.
func (holder *Holder) View() *View { return holder.view.Load() }

// Run renews the permit until the world ends: each third of its length, and each
// sixth while asks bring none, so that two in a row may go unheard, or standings that
// nobody keeps up to date, by which replicas count as cold; and while versions move, as a
// run waits for every daemon to have seen that.
func (holder *Holder) Run() {
	holder.waker.Run(holder.World, func() time.Duration {
		switch {
		case holder.View().Tree == nil:
			// Nothing is served until the first one; but where all begin at once, and
			// there is none yet, they would only be in each other's way.
			return min(holder.span()/18<<min(holder.fruitless.Load(), 8)/2, holder.span()/Renewals)
		case holder.fruitless.Load() > 0 || len(holder.View().Unkept) > 0, holder.View().IsMoving:
			return holder.span() / 6
		}
		return holder.span() / Renewals
	}, func() bool {
		if holder.Renew() {
			holder.fruitless.Store(0)
		} else {
			holder.fruitless.Add(1)
		}
		return true
	})
}

// moving tells whether versions move in any of the standings.
func moving(standings map[string]standing.Standing) bool {
	for _, one := range standings {
		for _, row := range one.Rows {
			if row.Trial || row.Back {
				return true
			}
		}
	}
	return false
}

// stale is after which time the members' uptimes are asked for anew, as clocks part that
// they are reckoned on by.
const stale = 30 * time.Second

// Renewals is how often a permit is renewed in its length.
const Renewals = 3

func (holder *Holder) span() time.Duration {
	return holder.View().Tree.Span("permit_ms", "")
}

// Renew asks once. The time counts from before the ask.
func (holder *Holder) Renew() bool {
	asked := holder.World.Now()
	have := holder.View()
	ask := Ask{Holder: holder.Self(), Config: have.Serial, Standings: map[string]uint64{}, Placed: have.PlacedSerial, Members: have.sum, IsStale: asked-have.timed >= stale}
	for region, one := range have.Standings {
		if have.texts[region].serial == one.Serial {
			ask.Standings[region] = one.Serial
		}
	}
	reply, err := holder.Client.Ask("Permit.Renew", ask, func() any { return new(Grant) }, func(reply any) bool { return reply.(*Grant).Declined == "" || reply.(*Grant).IsQueued }, holder.span()/2)
	if err != nil {
		reason := err.Error()
		holder.Declined.Store(&reason)
		return false
	}
	grant := reply.(*Grant)
	if grant.Declined != "" {
		holder.Declined.Store(&grant.Declined)
		return false
	}
	if err := grant.unroll(); err != nil {
		reason := err.Error()
		holder.Declined.Store(&reason)
		return false
	}
	holder.Declined.Store(nil)
	return holder.take(grant, asked)
}

func (holder *Holder) take(grant *Grant, asked time.Duration) bool {
	var got *fetched
	// A fetch that was under way already may bring an older one.
	for grant.Serial > holder.View().Serial && (got == nil || got.serial < grant.Serial) {
		var err error
		if got, err = holder.fetch(grant.Serial, loop.Forever); err != nil {
			reason := err.Error()
			holder.Declined.Store(&reason)
			return false
		}
	}
	holder.guard.Lock()
	have := holder.View()
	next := *have
	if got != nil && got.serial > have.Serial {
		next.adopt(got)
	}
	if grant.Serial < max(next.Serial, holder.floor) || grant.Serial > next.Serial {
		// Granted under an older configuration than this daemon has seen, or under
		// one that it has not: it must not lengthen anything.
		holder.guard.Unlock()
		return false
	}
	next.Standings = map[string]standing.Standing{}
	for region, one := range have.Standings {
		if _, isKept := grant.Kept[region]; isKept || have.Serves(asked) {
			next.Standings[region] = one
		}
	}
	next.texts = maps.Clone(have.texts)
	if next.texts == nil {
		next.texts = map[string]text{}
	}
	for _, told := range grant.Standings {
		if told.Serial > next.Standings[told.Region].Serial {
			if one, isRead := next.open(told); isRead {
				next.Standings[one.Region] = one
			} else {
				delete(grant.Kept, told.Region) // what it has is not what was found to be kept
			}
		}
	}
	next.Unkept = map[string]bool{}
	for _, told := range grant.Unkept {
		if have, known := next.Standings[told.Region]; !known || told.Serial > have.Serial {
			if one, isRead := next.open(told); isRead {
				next.Standings[one.Region] = one
			}
		}
	}
	for region := range next.Standings {
		if _, isKept := grant.Kept[region]; !isKept && (have.Unkept[region] || have.Standings[region].Serial == 0) {
			next.Unkept[region] = true
		}
	}
	next.Kept = map[string]time.Duration{}
	for region, at := range have.Kept {
		next.Kept[region] = at
	}
	for region, age := range grant.Kept {
		next.Kept[region] = max(next.Kept[region], asked-age)
	}
	for region, one := range next.Standings {
		next.Standings[region] = holder.without(one)
	}
	if book, isRead := OpenPlaced(grant.Placed); isRead && grant.PlacedSerial > have.PlacedSerial {
		next.Placed, next.PlacedSerial = &book, grant.PlacedSerial
	}
	next.told, next.IsMoving = holder.World.Now(), moving(next.Standings)
	next.enlist(have, grant)
	next.Expiry = max(have.Expiry, asked+grant.Length)
	holder.view.Store(&next)
	holder.guard.Unlock()
	if holder.Changed != nil {
		holder.Changed(&next)
	}
	return true
}

// enlist sets the members of a view that is not shown yet.
func (view *View) enlist(have *View, grant *Grant) {
	isWhole := grant.Base == 0 && (grant.Members != nil || grant.Sum != have.sum)
	if isWhole {
		view.Members, view.sum, view.timed = grant.Members, grant.Sum, view.told
		return
	}
	isOut := map[string]bool{}
	for _, name := range grant.Gone {
		isOut[name] = true
	}
	for _, one := range grant.Members {
		isOut[one.Name] = true
	}
	view.Members = append(make([]session.Member, 0, len(have.Members)+len(grant.Members)), grant.Members...)
	for _, one := range have.Members {
		if !isOut[one.Name] {
			// The same incarnation: it has been up for as much longer.
			one.Uptime += view.told - have.told
			view.Members = append(view.Members, one)
		}
	}
	slices.SortFunc(view.Members, func(a, b session.Member) int { return strings.Compare(a.Name, b.Name) })
	view.sum = grant.Sum
	if grant.Base != 0 && (grant.Base != have.sum || session.Sum(view.Members) != grant.Sum) {
		view.sum = 0 // another list came meanwhile: the next ask brings the whole one
	}
	if view.sum == grant.Sum && len(grant.Uptimes) == len(view.Members) {
		for at, uptime := range grant.Uptimes {
			view.Members[at].Uptime = time.Duration(uptime) * time.Millisecond
		}
		view.timed = view.told
	}
}

// fetched is a configuration that was put together, and checked.
type fetched struct {
	serial    uint64
	tree      *settings.Tree
	evacuated []string
}

// adopt sets the configuration of a view that is not shown yet.
func (view *View) adopt(fetched *fetched) {
	view.Serial, view.Tree, view.out = fetched.serial, fetched.tree, fetched.evacuated
	view.Evacuated = map[string]bool{}
	for _, zone := range fetched.evacuated {
		view.Evacuated[zone] = true
	}
}

var errNotFetched = errors.New("the configuration could not be fetched")

// fetch brings a configuration of the serial or a later one; whoever comes while a fetch
// is under way waits for that one, as long as its patience lasts. What comes is not gone
// by yet.
func (holder *Holder) fetch(serial uint64, patience time.Duration) (*fetched, error) {
	box := holder.World.Mailbox()
	holder.guard.Lock()
	holder.fetchers = append(holder.fetchers, box)
	if !holder.isFetching {
		holder.isFetching = true
		holder.World.Go(func() {
			got, err := holder.bring(serial)
			holder.guard.Lock()
			waiting := holder.fetchers
			holder.isFetching, holder.fetchers = false, nil
			holder.guard.Unlock()
			for _, box := range waiting {
				box.Put(brought{got, err})
			}
		})
	}
	holder.guard.Unlock()
	got, isIn := box.Take(patience)
	if !isIn {
		return nil, errNotFetched
	}
	one := got.(brought)
	return one.fetched, one.err
}

// brings is the configuration that the offer holds, put together by the view; nil where it
// holds none, or that is told against another than the view's.
func (offer Offer) brings(have *View) *fetched {
	edition := offer.Edition
	if edition == nil || edition.Serial < offer.Serial || edition.Base != have.Serial || have.Tree == nil {
		return nil
	}
	tree, err := edition.assemble(have.Tree.Chunks())
	if err != nil {
		return nil
	}
	return &fetched{edition.Serial, tree, edition.Evacuated}
}

type brought struct {
	fetched *fetched
	err     error
}

// bring fetches a configuration against the one that this daemon goes by, and whole if it
// can't be put together from that.
func (holder *Holder) bring(serial uint64) (*fetched, error) {
	have := holder.View()
	bases := []uint64{have.Serial, 0}
	if have.Serial == 0 {
		bases = bases[1:]
	}
	trouble := errNotFetched
	for _, base := range bases {
		patience := holder.span() / 2
		if base == 0 {
			// It may be long, and is not to be sent twice; if that is not enough, longer.
			patience = holder.span() << min(holder.fruitless.Load(), 2)
		}
		reply, err := holder.Client.Ask("Permit.Fetch", Want{Serial: serial, Base: base}, func() any { return new(Edition) }, func(reply any) bool { return reply.(*Edition).Serial >= serial }, patience)
		if err != nil {
			return nil, err
		}
		edition := reply.(*Edition)
		if edition.Serial < serial {
			return nil, errNotFetched
		}
		var chunks []*settings.Chunk
		if edition.Base > 0 {
			chunks = have.Tree.Chunks() // of the base that was named
		}
		tree, err := edition.assemble(chunks)
		if err == nil {
			return &fetched{edition.Serial, tree, edition.Evacuated}, nil
		}
		trouble = fmt.Errorf("the configuration that came can't be gone by: %w", err)
		if edition.Base == 0 {
			break // it was whole already
		}
	}
	return nil, trouble
}

// Take answers an offer by the serial that this daemon goes by, which it fetches and
// applies first, at once, if it lacks it and its permit stands. That lengthens no permit.
// A holder without one serves nothing, and goes by nothing until a grant brings the
// newest: that it will take no grant below the offer is all that the offerer has to know.
func (holder *Holder) Take(offer Offer, taken *Taken) error {
	expiry := holder.World.Now() + offer.Patience
	holder.guard.Lock()
	holder.floor = max(holder.floor, offer.Serial)
	holder.guard.Unlock()
	before := holder.View()
	for {
		have := holder.View()
		now := holder.World.Now()
		if have.Serial >= offer.Serial || !have.Serves(now) || now >= expiry {
			break
		}
		got := offer.brings(have)
		if got == nil {
			// One that was under way already may have brought an older one.
			var err error
			if got, err = holder.fetch(offer.Serial, expiry-now); err != nil {
				break
			}
		}
		holder.guard.Lock()
		if have = holder.View(); got.serial > have.Serial && have.Serves(holder.World.Now()) {
			next := *have
			next.adopt(got)
			holder.view.Store(&next)
		}
		holder.guard.Unlock()
	}
	holder.guard.Lock()
	view := holder.View()
	*taken = Taken{Incarnation: holder.Self().Incarnation, Serial: view.Serial}
	if !view.Serves(holder.World.Now()) {
		taken.Serial = max(view.Serial, holder.floor)
	}
	holder.guard.Unlock()
	if view != before && holder.Changed != nil {
		holder.Changed(view)
	}
	if before.Serial < offer.Serial {
		holder.waker.Wake()
	}
	return nil
}
