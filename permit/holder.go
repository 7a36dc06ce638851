package permit

import (
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
)

// Offer tells a holder of a decided configuration.
type Offer struct {
	Serial uint64
	Config []byte // packed
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
	Config    Config // as data daemons are told it
	Tree      *settings.Tree
	Evacuated map[string]bool
	Standings map[string]standing.Standing
	// Kept is, by region, the latest time at which the standing is known to have
	// been up to date.
	Kept map[string]time.Duration
	// Unkept are regions whose standing nobody has kept up to date since this daemon has
	// it: its replicas may have begun anew, and count as cold.
	Unkept map[string]bool
	// Members have their uptimes as of told; they came, with their sum, at listed.
	Members []session.Member
	Expiry  time.Duration
	// IsMoving tells that some standing has a version on trial, or one that was left and
	// stands by.
	IsMoving bool
	sum      uint64
	told     time.Duration
	listed   time.Duration
	texts    map[string]text // of the standings that came last, by region
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
// Invariant: floor is the highest serial that was offered; no grant below it is
// taken.
type Holder struct {
	HolderOptions
	guard    sync.Mutex // over replacing the view
	floor    uint64
	view     atomic.Pointer[View]
	waker    *loop.Waker
	isLate   atomic.Bool // the last ask brought no grant
	Declined atomic.Pointer[string]
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
// sixth while asks bring none, so that two in a row may go unheard, or while versions
// move, as a run waits for every daemon to have seen that.
func (holder *Holder) Run() {
	holder.waker.Run(holder.World, func() time.Duration {
		switch {
		case holder.View().Tree == nil:
			return holder.span() / 18 // nothing is served until the first one
		case holder.isLate.Load(), holder.View().IsMoving:
			return holder.span() / 6
		}
		return holder.span() / Renewals
	}, func() bool {
		holder.isLate.Store(!holder.Renew())
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

// relisted is after which time members are asked for anew even if they are the same,
// as clocks part that uptimes are reckoned on by.
const relisted = 30 * time.Second

// Renewals is how often a permit is renewed in its length.
const Renewals = 3

func (holder *Holder) span() time.Duration {
	if tree := holder.View().Tree; tree != nil {
		return tree.Span("permit_ms", "")
	}
	return time.Duration(settings.Limits["permit_ms"].Default) * time.Millisecond
}

// Renew asks once. The time counts from before the ask.
func (holder *Holder) Renew() bool {
	asked := holder.World.Now()
	have := holder.View()
	ask := Ask{Holder: holder.Self(), Config: have.Serial, Standings: map[string]uint64{}}
	if asked-have.listed < relisted {
		ask.Members = have.sum
	}
	for region, one := range have.Standings {
		if have.texts[region].serial == one.Serial {
			ask.Standings[region] = one.Serial
		}
	}
	reply, err := holder.Client.Ask("Permit.Renew", ask, func() any { return new(Grant) }, func(reply any) bool { return reply.(*Grant).Declined == "" }, holder.span()/2)
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
	holder.Declined.Store(nil)
	return holder.take(grant, asked)
}

func (holder *Holder) take(grant *Grant, asked time.Duration) bool {
	holder.guard.Lock()
	have := holder.View()
	next := *have
	if grant.Config != nil && grant.Serial > have.Serial {
		if !next.adopt(grant.Serial, grant.Config) {
			holder.guard.Unlock()
			return false
		}
	}
	if grant.Serial < max(next.Serial, holder.floor) {
		// Granted under an older configuration than this daemon has seen: it
		// must not lengthen anything.
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
		view.Members, view.sum, view.listed = grant.Members, grant.Sum, view.told
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
}

// adopt sets the configuration of a view that is not shown yet.
func (view *View) adopt(serial uint64, packed []byte) bool {
	config, err := Unpack(packed)
	if err != nil {
		return false
	}
	tree, problems := settings.Parse(config.Document)
	if len(problems) > 0 {
		return false
	}
	view.Serial, view.Config, view.Tree = serial, config, tree
	view.Evacuated = map[string]bool{}
	for _, zone := range config.Evacuated {
		view.Evacuated[zone] = true
	}
	return true
}

// Take applies an offered configuration at once, while the permit stands. It
// lengthens no permit. A holder without one serves nothing, and goes by nothing
// until a grant brings the newest: an offer that waited in the line of a machine
// that slept may be old by now. That it will take no grant below the offer is all
// that the offerer has to know.
func (holder *Holder) Take(offer Offer, taken *Taken) error {
	holder.guard.Lock()
	have := holder.View()
	next := *have
	isHeld := true
	if offer.Serial > have.Serial && have.Serves(holder.World.Now()) {
		if isHeld = next.adopt(offer.Serial, offer.Config); isHeld {
			holder.view.Store(&next)
		}
	}
	if isHeld {
		holder.floor = max(holder.floor, offer.Serial)
	}
	now := holder.View()
	serial := max(now.Serial, holder.floor)
	holder.guard.Unlock()
	*taken = Taken{Incarnation: holder.Self().Incarnation, Serial: serial}
	if now != have && holder.Changed != nil {
		holder.Changed(now)
	}
	holder.waker.Wake()
	return nil
}

// Hurry asks for a renewal soon.
func (holder *Holder) Hurry() { holder.waker.Wake() }
