package lease

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
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/tenant"
)

// Offer announces a newly decided configuration to a lease holder. The holder fetches the
// configuration unless the offer carries it.
type Offer struct {
	Serial uint64
	// Edition, if set, is the configuration as a delta against the previous one. It must
	// stay small, as an offer is repeated to every holder that does not answer.
	Edition *ConfigUpdate
	// Patience is how long the holder may take to answer.
	Patience time.Duration
}

// OfferReply is the holder's reply to an offer: the configuration that it applies from now on.
type OfferReply struct {
	Incarnation string
	Serial      uint64
}

// View is an immutable snapshot of everything that a data daemon serves by: its
// configuration, routing tables, members and lease deadline.
//
// Invariant: of two successive views, the later one has no lower Serial, no lower routing
// table version of any region that it has, and no earlier Deadline. A view that follows a
// lapse of the lease has only routing tables that were confirmed to be up to date since
// then: during the lapse, this daemon was not informed of what became of the replicas.
type View struct {
	Serial        uint64
	Tree          *settings.Tree
	Evacuated     map[string]bool
	RoutingTables map[string]routing.Table
	// ConfirmedAt has, by region, the latest time at which the routing table is known to have been
	// up to date.
	ConfirmedAt map[string]time.Duration
	// Unconfirmed has the regions whose routing table was not confirmed to be up to date since
	// this daemon received it. Their replicas may have restarted, so they count as cold.
	Unconfirmed map[string]bool
	// Members have their uptimes as of membersAt. The uptimes of all members were last
	// received at uptimesAt.
	Members  []session.Member
	Deadline time.Duration
	// HasVersionChange tells whether some routing table has a version on trial, or a former version
	// that is kept on standby.
	HasVersionChange bool
	membersSum       uint64
	evacuatedZones   []string // as received
	membersAt        time.Duration
	uptimesAt        time.Duration
	tableTexts       map[string]tableText // the last ones received, by region
	// Placements has the tenants' placements with the version PlacementsVersion; nil until the first
	// ones arrive.
	Placements        *tenant.Placements
	PlacementsVersion uint64
}

// Placement returns the tenant's placement, or nil if there is none or the lease has
// expired. After that the placement in force is unknown. So an old and a new placement are
// in force together for one lease length at most.
func (view *View) Placement(name string, now time.Duration) *tenant.Placement {
	if view.Placements == nil || !view.IsValid(now) {
		return nil
	}
	return view.Placements.Find(name)
}

// Config returns the configuration as it was distributed to data daemons.
func (view *View) Config() (out Config) {
	if view.Tree != nil {
		out = Config{Document: view.Tree.Document(), Evacuated: view.evacuatedZones}
	}
	return out
}

// IsValid tells whether the lease is valid at the time.
func (view *View) IsValid(now time.Duration) bool {
	return view != nil && view.Tree != nil && now < view.Deadline
}

// MayServe tells whether routed requests may be served at the time: while the lease is valid,
// and for alone_ms after it expired where the settings allow that. Such a daemon may serve
// by outdated state, but never returns to an older one.
func (view *View) MayServe(now time.Duration) bool {
	return view != nil && view.Tree != nil && now < view.Deadline+view.Tree.Duration("alone_ms", "")
}

// HolderOptions are the options of a Holder.
type HolderOptions struct {
	World  loop.World
	Client *session.Client
	// Self describes the daemon at the time of the call.
	Self func() session.Member
	// OnChange is called after each new view.
	OnChange func(view *View)
}

// Holder maintains a data daemon's lease.
//
// Invariants: minSerial is the highest version that was offered, and grants below it are
// rejected. Configurations are fetched, one fetch at a time, except for evacuations, which
// are carried by an offer; so no two copies of a document are in transit to the same
// holder. No view contains a replica incarnation of departed in a routing table below the
// version noted there.
type Holder struct {
	HolderOptions
	mutex     sync.Mutex // serializes replacements of the view
	minSerial uint64
	// departed has the replica incarnations that get no more requests, as notices
	// announced.
	departed map[DepartingReplica]departure
	view     atomic.Pointer[View]
	waker    *loop.Waker
	// failedRenewals counts the consecutive renewals that failed.
	failedRenewals atomic.Int64
	// isFetching tells whether a fetch is in progress, and fetchWaiters who waits for its
	// result. The mutex guards both.
	isFetching   bool
	fetchWaiters []loop.Mailbox
	RejectReason atomic.Pointer[string]
}

// NewHolder returns a holder without a lease, as after a restart of the daemon.
func NewHolder(options HolderOptions) *Holder {
	holder := &Holder{HolderOptions: options, waker: loop.NewWaker(options.World)}
	holder.view.Store(&View{RoutingTables: map[string]routing.Table{}})
	return holder
}

// View returns the current view. Callers check IsValid right before they act on it.
func (holder *Holder) View() *View { return holder.view.Load() }

// Run renews the lease until the process ends: every third of the lease length, so that two
// consecutive renewals may fail. It renews every sixth of the length after a failure, while
// some routing table is not confirmed, as its replicas count as cold, and while versions
// change, as a rollout waits until every daemon has seen the change.
func (holder *Holder) Run() {
	holder.waker.Run(holder.World, func() time.Duration {
		switch {
		case holder.View().Tree == nil:
			// Without a first lease nothing is served, so the retries are frequent. They
			// back off exponentially: when all daemons start at once and there is no
			// configuration yet, frequent retries would only slow each other down.
			return min(holder.leaseLength()/18<<min(holder.failedRenewals.Load(), 8)/2, holder.leaseLength()/RenewalsPerLease)
		case holder.failedRenewals.Load() > 0 || len(holder.View().Unconfirmed) > 0, holder.View().HasVersionChange:
			return holder.leaseLength() / 6
		}
		return holder.leaseLength() / RenewalsPerLease
	}, func() bool {
		if holder.Renew() {
			holder.failedRenewals.Store(0)
		} else {
			holder.failedRenewals.Add(1)
		}
		return true
	})
}

// hasMovingVersions tells whether a version is on trial or on standby in any of the routing
// tables.
func hasMovingVersions(tables map[string]routing.Table) bool {
	for _, table := range tables {
		for _, row := range table.Rows {
			if row.Trial || row.Back {
				return true
			}
		}
	}
	return false
}

// uptimesMaxAge is the age from which on the members' uptimes are requested again. In
// between they are extrapolated with the local clock, and clocks drift apart.
const uptimesMaxAge = 30 * time.Second

// RenewalsPerLease is how often a lease is renewed within its length.
const RenewalsPerLease = 3

func (holder *Holder) leaseLength() time.Duration {
	return holder.View().Tree.Duration("permit_ms", "")
}

// Renew makes one attempt to renew the lease. The new lease counts from before the request
// was sent.
func (holder *Holder) Renew() bool {
	sentAt := holder.World.Now()
	current := holder.View()
	request := Request{Holder: holder.Self(), Config: current.Serial, Standings: map[string]uint64{}, Placed: current.PlacementsVersion, Members: current.membersSum, IsStale: sentAt-current.uptimesAt >= uptimesMaxAge}
	for region, table := range current.RoutingTables {
		if current.tableTexts[region].serial == table.Serial {
			request.Standings[region] = table.Serial
		}
	}
	reply, err := holder.Client.Call("Permit.Renew", request, func() any { return new(Grant) }, func(reply any) bool { return reply.(*Grant).Declined == "" || reply.(*Grant).IsQueued }, holder.leaseLength()/2)
	if err != nil {
		reason := err.Error()
		holder.RejectReason.Store(&reason)
		return false
	}
	grant := reply.(*Grant)
	if grant.Declined != "" {
		holder.RejectReason.Store(&grant.Declined)
		return false
	}
	if err := grant.unpackMembers(); err != nil {
		reason := err.Error()
		holder.RejectReason.Store(&reason)
		return false
	}
	holder.RejectReason.Store(nil)
	return holder.applyGrant(grant, sentAt)
}

// applyGrant publishes a view with the contents of the grant, after fetching the
// configuration if it is newer. It returns false if the lease is not extended.
func (holder *Holder) applyGrant(grant *Grant, sentAt time.Duration) bool {
	var config *fetchedConfig
	// The result may be older than the grant if it is that of a fetch that was already in
	// progress.
	for grant.Serial > holder.View().Serial && (config == nil || config.serial < grant.Serial) {
		var err error
		if config, err = holder.awaitFetch(grant.Serial, loop.Forever); err != nil {
			reason := err.Error()
			holder.RejectReason.Store(&reason)
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
		// The lease was granted under an older configuration than this daemon has seen, or
		// under one that it doesn't have: it must not extend the current lease.
		holder.mutex.Unlock()
		return false
	}
	next.RoutingTables = map[string]routing.Table{}
	for region, table := range current.RoutingTables {
		if _, isKept := grant.Kept[region]; isKept || current.MayServe(sentAt) {
			next.RoutingTables[region] = table
		}
	}
	next.tableTexts = maps.Clone(current.tableTexts)
	if next.tableTexts == nil {
		next.tableTexts = map[string]tableText{}
	}
	for _, update := range grant.Standings {
		if update.Serial > next.RoutingTables[update.Region].Serial {
			if table, isRead := next.unpackTable(update, holder.World.Now()); isRead {
				next.RoutingTables[table.Region] = table
			} else {
				delete(grant.Kept, update.Region) // the grant confirms a version that could not be read
			}
		}
	}
	next.Unconfirmed = map[string]bool{}
	for _, update := range grant.Unkept {
		if held, known := next.RoutingTables[update.Region]; !known || update.Serial > held.Serial {
			if table, isRead := next.unpackTable(update, holder.World.Now()); isRead {
				next.RoutingTables[table.Region] = table
			}
		}
	}
	for region := range next.RoutingTables {
		if _, isKept := grant.Kept[region]; !isKept && (current.Unconfirmed[region] || current.RoutingTables[region].Serial == 0) {
			next.Unconfirmed[region] = true
		}
	}
	next.ConfirmedAt = map[string]time.Duration{}
	for region, keptAt := range current.ConfirmedAt {
		next.ConfirmedAt[region] = keptAt
	}
	for region, age := range grant.Kept {
		next.ConfirmedAt[region] = max(next.ConfirmedAt[region], sentAt-age)
	}
	for region, table := range next.RoutingTables {
		next.RoutingTables[region] = holder.withoutDeparted(table)
	}
	if placements, isRead := DecodePlacements(grant.Placed); isRead && grant.PlacedSerial > current.PlacementsVersion {
		next.Placements, next.PlacementsVersion = &placements, grant.PlacedSerial
	}
	next.membersAt, next.HasVersionChange = holder.World.Now(), hasMovingVersions(next.RoutingTables)
	next.updateMembers(current, grant)
	next.Deadline = max(current.Deadline, sentAt+grant.Length)
	holder.view.Store(&next)
	holder.mutex.Unlock()
	if holder.OnChange != nil {
		holder.OnChange(&next)
	}
	return true
}

// updateMembers sets the members of a view that is not published yet.
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
			// The incarnation is unchanged, so the member has been up for that much longer.
			member.Uptime += view.membersAt - previous.membersAt
			view.Members = append(view.Members, member)
		}
	}
	slices.SortFunc(view.Members, func(a, b session.Member) int { return strings.Compare(a.Name, b.Name) })
	view.membersSum = grant.Sum
	if grant.Base != 0 && (grant.Base != previous.membersSum || session.Checksum(view.Members) != grant.Sum) {
		view.membersSum = 0 // the list was replaced meanwhile; the next renewal requests it in full
	}
	if view.membersSum == grant.Sum && len(grant.Uptimes) == len(view.Members) {
		for index, uptime := range grant.Uptimes {
			view.Members[index].Uptime = time.Duration(uptime) * time.Millisecond
		}
		view.uptimesAt = view.membersAt
	}
}

// fetchedConfig is a configuration that was assembled from an update and verified.
type fetchedConfig struct {
	serial    uint64
	tree      *settings.Tree
	evacuated []string
}

// applyConfig sets the configuration of a view that is not published yet.
func (view *View) applyConfig(config *fetchedConfig) {
	view.Serial, view.Tree, view.evacuatedZones = config.serial, config.tree, config.evacuated
	view.Evacuated = map[string]bool{}
	for _, zone := range config.evacuated {
		view.Evacuated[zone] = true
	}
}

var errNotFetched = errors.New("could not fetch the configuration")

// awaitFetch fetches a configuration of the given version or a later one, without applying
// it. Callers that arrive while a fetch is in progress wait for the result of that one,
// until their timeout.
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

// assemble returns the configuration that the offer carries, assembled with the chunks of
// the current view. It returns nil if the offer carries none, or one against another base
// than the view's configuration.
func (offer Offer) assemble(current *View) *fetchedConfig {
	update := offer.Edition
	if update == nil || update.Serial < offer.Serial || update.Base != current.Serial || current.Tree == nil {
		return nil
	}
	tree, err := update.assemble(current.Tree.Chunks())
	if err != nil {
		return nil
	}
	return &fetchedConfig{update.Serial, tree, update.Evacuated}
}

type fetchResult struct {
	config *fetchedConfig
	err    error
}

// fetchConfig fetches a configuration as a delta against the current one, and in full if it
// can't be assembled from the delta.
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
			// A full configuration may take long and should not be transferred twice. If
			// the timeout was too short, the next one is longer.
			timeout = holder.leaseLength() << min(holder.failedRenewals.Load(), 2)
		}
		reply, err := holder.Client.Call("Permit.Fetch", FetchRequest{Serial: serial, Base: base}, func() any { return new(ConfigUpdate) }, func(reply any) bool { return reply.(*ConfigUpdate).Serial >= serial }, timeout)
		if err != nil {
			return nil, err
		}
		update := reply.(*ConfigUpdate)
		if update.Serial < serial {
			return nil, errNotFetched
		}
		var chunks []*settings.Chunk
		if update.Base > 0 {
			chunks = current.Tree.Chunks() // the chunks of the requested base
		}
		tree, err := update.assemble(chunks)
		if err == nil {
			return &fetchedConfig{update.Serial, tree, update.Evacuated}, nil
		}
		failure = fmt.Errorf("fetched configuration is invalid: %w", err)
		if update.Base == 0 {
			break // it was already the full configuration
		}
	}
	return nil, failure
}

// Take handles an offer and replies with the configuration version that this daemon
// applies. If the daemon has an older one and may serve, it first fetches and applies the
// new one. That does not extend the lease. A holder without a lease serves nothing and
// applies nothing until a grant brings the newest configuration; it is enough for the
// sender of the offer to know that the holder rejects all grants below the offered version.
func (holder *Holder) Take(offer Offer, reply *OfferReply) error {
	deadline := holder.World.Now() + offer.Patience
	holder.mutex.Lock()
	holder.minSerial = max(holder.minSerial, offer.Serial)
	holder.mutex.Unlock()
	before := holder.View()
	for {
		current := holder.View()
		now := holder.World.Now()
		if current.Serial >= offer.Serial || !current.MayServe(now) || now >= deadline {
			break
		}
		config := offer.assemble(current)
		if config == nil {
			// A fetch that was already in progress may have returned an older one.
			var err error
			if config, err = holder.awaitFetch(offer.Serial, deadline-now); err != nil {
				break
			}
		}
		holder.mutex.Lock()
		if current = holder.View(); config.serial > current.Serial && current.MayServe(holder.World.Now()) {
			next := *current
			next.applyConfig(config)
			holder.view.Store(&next)
		}
		holder.mutex.Unlock()
	}
	holder.mutex.Lock()
	view := holder.View()
	*reply = OfferReply{Incarnation: holder.Self().Incarnation, Serial: view.Serial}
	if !view.MayServe(holder.World.Now()) {
		reply.Serial = max(view.Serial, holder.minSerial)
	}
	holder.mutex.Unlock()
	if view != before && holder.OnChange != nil {
		holder.OnChange(view)
	}
	if before.Serial < offer.Serial {
		holder.waker.Wake()
	}
	return nil
}
