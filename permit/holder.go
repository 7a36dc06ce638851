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
	IsMoving       bool
	membersSum     uint64
	evacuatedZones []string // the evacuated zones, as they were told
	membersAt      time.Duration
	uptimesAt      time.Duration
	standingTexts  map[string]standingText // of the standings that came last, by region
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
		out = Config{Document: view.Tree.Document(), Evacuated: view.evacuatedZones}
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
	mutex     sync.Mutex // over replacing the view
	minSerial uint64
	// departed are lives that get nothing any more, as notices told.
	departed map[Leaver]departure
	view     atomic.Pointer[View]
	waker    *loop.Waker
	// failedRenewals counts the last asks in a row that brought no grant.
	failedRenewals atomic.Int64
	// isFetching tells that a fetch is under way, and fetchers who waits for what it
	// brings; both under guard.
	isFetching   bool
	fetchWaiters []loop.Mailbox
	Declined     atomic.Pointer[string]
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
			return min(holder.leaseLength()/18<<min(holder.failedRenewals.Load(), 8)/2, holder.leaseLength()/Renewals)
		case holder.failedRenewals.Load() > 0 || len(holder.View().Unkept) > 0, holder.View().IsMoving:
			return holder.leaseLength() / 6
		}
		return holder.leaseLength() / Renewals
	}, func() bool {
		if holder.Renew() {
			holder.failedRenewals.Store(0)
		} else {
			holder.failedRenewals.Add(1)
		}
		return true
	})
}

// hasMovingVersions tells whether versions move in any of the standings.
func hasMovingVersions(standings map[string]standing.Standing) bool {
	for _, table := range standings {
		for _, row := range table.Rows {
			if row.Trial || row.Back {
				return true
			}
		}
	}
	return false
}

// uptimesMaxAge is after which time the members' uptimes are asked for anew, as clocks part that
// they are reckoned on by.
const uptimesMaxAge = 30 * time.Second

// Renewals is how often a permit is renewed in its length.
const Renewals = 3

func (holder *Holder) leaseLength() time.Duration {
	return holder.View().Tree.Span("permit_ms", "")
}

// Renew asks once. The time counts from before the ask.
func (holder *Holder) Renew() bool {
	sentAt := holder.World.Now()
	current := holder.View()
	request := Ask{Holder: holder.Self(), Config: current.Serial, Standings: map[string]uint64{}, Placed: current.PlacedSerial, Members: current.membersSum, IsStale: sentAt-current.uptimesAt >= uptimesMaxAge}
	for region, table := range current.Standings {
		if current.standingTexts[region].serial == table.Serial {
			request.Standings[region] = table.Serial
		}
	}
	reply, err := holder.Client.Ask("Permit.Renew", request, func() any { return new(Grant) }, func(reply any) bool { return reply.(*Grant).Declined == "" || reply.(*Grant).IsQueued }, holder.leaseLength()/2)
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
	if err := grant.unpackMembers(); err != nil {
		reason := err.Error()
		holder.Declined.Store(&reason)
		return false
	}
	holder.Declined.Store(nil)
	return holder.applyGrant(grant, sentAt)
}

func (holder *Holder) applyGrant(grant *Grant, sentAt time.Duration) bool {
	var config *fetchedConfig
	// A fetch that was under way already may bring an older one.
	for grant.Serial > holder.View().Serial && (config == nil || config.serial < grant.Serial) {
		var err error
		if config, err = holder.awaitFetch(grant.Serial, loop.Forever); err != nil {
			reason := err.Error()
			holder.Declined.Store(&reason)
			return false
		}
	}
	holder.mutex.Lock()
	current := holder.View()
	next := *current
	if config != nil && config.serial > current.Serial {
		next.applyConfig(config)
	}
	if grant.Serial < max(next.Serial, holder.minSerial) || grant.Serial > next.Serial {
		// Granted under an older configuration than this daemon has seen, or under
		// one that it has not: it must not lengthen anything.
		holder.mutex.Unlock()
		return false
	}
	next.Standings = map[string]standing.Standing{}
	for region, table := range current.Standings {
		if _, isKept := grant.Kept[region]; isKept || current.Serves(sentAt) {
			next.Standings[region] = table
		}
	}
	next.standingTexts = maps.Clone(current.standingTexts)
	if next.standingTexts == nil {
		next.standingTexts = map[string]standingText{}
	}
	for _, update := range grant.Standings {
		if update.Serial > next.Standings[update.Region].Serial {
			if table, isRead := next.unpackStanding(update); isRead {
				next.Standings[table.Region] = table
			} else {
				delete(grant.Kept, update.Region) // what it has is not what was found to be kept
			}
		}
	}
	next.Unkept = map[string]bool{}
	for _, update := range grant.Unkept {
		if held, known := next.Standings[update.Region]; !known || update.Serial > held.Serial {
			if table, isRead := next.unpackStanding(update); isRead {
				next.Standings[table.Region] = table
			}
		}
	}
	for region := range next.Standings {
		if _, isKept := grant.Kept[region]; !isKept && (current.Unkept[region] || current.Standings[region].Serial == 0) {
			next.Unkept[region] = true
		}
	}
	next.Kept = map[string]time.Duration{}
	for region, keptAt := range current.Kept {
		next.Kept[region] = keptAt
	}
	for region, age := range grant.Kept {
		next.Kept[region] = max(next.Kept[region], sentAt-age)
	}
	for region, table := range next.Standings {
		next.Standings[region] = holder.withoutDeparted(table)
	}
	if placements, isRead := OpenPlaced(grant.Placed); isRead && grant.PlacedSerial > current.PlacedSerial {
		next.Placed, next.PlacedSerial = &placements, grant.PlacedSerial
	}
	next.membersAt, next.IsMoving = holder.World.Now(), hasMovingVersions(next.Standings)
	next.updateMembers(current, grant)
	next.Expiry = max(current.Expiry, sentAt+grant.Length)
	holder.view.Store(&next)
	holder.mutex.Unlock()
	if holder.Changed != nil {
		holder.Changed(&next)
	}
	return true
}

// updateMembers sets the members of a view that is not shown yet.
func (view *View) updateMembers(previous *View, grant *Grant) {
	isComplete := grant.Base == 0 && (grant.Members != nil || grant.Sum != previous.membersSum)
	if isComplete {
		view.Members, view.membersSum, view.uptimesAt = grant.Members, grant.Sum, view.membersAt
		return
	}
	isReplaced := map[string]bool{}
	for _, name := range grant.Gone {
		isReplaced[name] = true
	}
	for _, member := range grant.Members {
		isReplaced[member.Name] = true
	}
	view.Members = append(make([]session.Member, 0, len(previous.Members)+len(grant.Members)), grant.Members...)
	for _, member := range previous.Members {
		if !isReplaced[member.Name] {
			// The same incarnation: it has been up for as much longer.
			member.Uptime += view.membersAt - previous.membersAt
			view.Members = append(view.Members, member)
		}
	}
	slices.SortFunc(view.Members, func(a, b session.Member) int { return strings.Compare(a.Name, b.Name) })
	view.membersSum = grant.Sum
	if grant.Base != 0 && (grant.Base != previous.membersSum || session.Sum(view.Members) != grant.Sum) {
		view.membersSum = 0 // another list came meanwhile: the next ask brings the whole one
	}
	if view.membersSum == grant.Sum && len(grant.Uptimes) == len(view.Members) {
		for index, uptime := range grant.Uptimes {
			view.Members[index].Uptime = time.Duration(uptime) * time.Millisecond
		}
		view.uptimesAt = view.membersAt
	}
}

// fetchedConfig is a configuration that was put together, and checked.
type fetchedConfig struct {
	serial    uint64
	tree      *settings.Tree
	evacuated []string
}

// applyConfig sets the configuration of a view that is not shown yet.
func (view *View) applyConfig(config *fetchedConfig) {
	view.Serial, view.Tree, view.evacuatedZones = config.serial, config.tree, config.evacuated
	view.Evacuated = map[string]bool{}
	for _, zone := range config.evacuated {
		view.Evacuated[zone] = true
	}
}

var errNotFetched = errors.New("the configuration could not be fetched")

// awaitFetch brings a configuration of the serial or a later one; whoever comes while a fetch
// is under way waits for that one, as long as its patience lasts. What comes is not gone
// by yet.
func (holder *Holder) awaitFetch(serial uint64, timeout time.Duration) (*fetchedConfig, error) {
	mailbox := holder.World.Mailbox()
	holder.mutex.Lock()
	holder.fetchWaiters = append(holder.fetchWaiters, mailbox)
	if !holder.isFetching {
		holder.isFetching = true
		holder.World.Go(func() {
			result, err := holder.fetchConfig(serial)
			holder.mutex.Lock()
			waiters := holder.fetchWaiters
			holder.isFetching, holder.fetchWaiters = false, nil
			holder.mutex.Unlock()
			for _, mailbox := range waiters {
				mailbox.Put(fetchResult{result, err})
			}
		})
	}
	holder.mutex.Unlock()
	result, isReceived := mailbox.Take(timeout)
	if !isReceived {
		return nil, errNotFetched
	}
	fetched := result.(fetchResult)
	return fetched.config, fetched.err
}

// assemble is the configuration that the offer holds, put together by the view; nil where it
// holds none, or that is told against another than the view's.
func (offer Offer) assemble(current *View) *fetchedConfig {
	edition := offer.Edition
	if edition == nil || edition.Serial < offer.Serial || edition.Base != current.Serial || current.Tree == nil {
		return nil
	}
	tree, err := edition.assemble(current.Tree.Chunks())
	if err != nil {
		return nil
	}
	return &fetchedConfig{edition.Serial, tree, edition.Evacuated}
}

type fetchResult struct {
	config *fetchedConfig
	err    error
}

// fetchConfig fetches a configuration against the one that this daemon goes by, and whole if it
// can't be put together from that.
func (holder *Holder) fetchConfig(serial uint64) (*fetchedConfig, error) {
	current := holder.View()
	bases := []uint64{current.Serial, 0}
	if current.Serial == 0 {
		bases = bases[1:]
	}
	failure := errNotFetched
	for _, base := range bases {
		timeout := holder.leaseLength() / 2
		if base == 0 {
			// It may be long, and is not to be sent twice; if that is not enough, longer.
			timeout = holder.leaseLength() << min(holder.failedRenewals.Load(), 2)
		}
		reply, err := holder.Client.Ask("Permit.Fetch", Want{Serial: serial, Base: base}, func() any { return new(Edition) }, func(reply any) bool { return reply.(*Edition).Serial >= serial }, timeout)
		if err != nil {
			return nil, err
		}
		edition := reply.(*Edition)
		if edition.Serial < serial {
			return nil, errNotFetched
		}
		var chunks []*settings.Chunk
		if edition.Base > 0 {
			chunks = current.Tree.Chunks() // of the base that was named
		}
		tree, err := edition.assemble(chunks)
		if err == nil {
			return &fetchedConfig{edition.Serial, tree, edition.Evacuated}, nil
		}
		failure = fmt.Errorf("the configuration that came can't be gone by: %w", err)
		if edition.Base == 0 {
			break // it was whole already
		}
	}
	return nil, failure
}

// Take answers an offer by the serial that this daemon goes by, which it fetches and
// applies first, at once, if it lacks it and its permit stands. That lengthens no permit.
// A holder without one serves nothing, and goes by nothing until a grant brings the
// newest: that it will take no grant below the offer is all that the offerer has to know.
func (holder *Holder) Take(offer Offer, reply *Taken) error {
	deadline := holder.World.Now() + offer.Patience
	holder.mutex.Lock()
	holder.minSerial = max(holder.minSerial, offer.Serial)
	holder.mutex.Unlock()
	before := holder.View()
	for {
		current := holder.View()
		now := holder.World.Now()
		if current.Serial >= offer.Serial || !current.Serves(now) || now >= deadline {
			break
		}
		config := offer.assemble(current)
		if config == nil {
			// One that was under way already may have brought an older one.
			var err error
			if config, err = holder.awaitFetch(offer.Serial, deadline-now); err != nil {
				break
			}
		}
		holder.mutex.Lock()
		if current = holder.View(); config.serial > current.Serial && current.Serves(holder.World.Now()) {
			next := *current
			next.applyConfig(config)
			holder.view.Store(&next)
		}
		holder.mutex.Unlock()
	}
	holder.mutex.Lock()
	view := holder.View()
	*reply = Taken{Incarnation: holder.Self().Incarnation, Serial: view.Serial}
	if !view.Serves(holder.World.Now()) {
		reply.Serial = max(view.Serial, holder.minSerial)
	}
	holder.mutex.Unlock()
	if view != before && holder.Changed != nil {
		holder.Changed(view)
	}
	if before.Serial < offer.Serial {
		holder.waker.Wake()
	}
	return nil
}
