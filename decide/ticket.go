package decide

import (
	"encoding/base64"
	"encoding/json"
	"sort"
	"strconv"
	"time"

	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/verdict"
	"swifttiller/wire"
)

// Ticket binds a caller's requests to one incarnation of a data daemon.
//
// Invariant: Expiry is measured in the uptime of the daemon that the ticket is
// bound to, and only that daemon compares it with its own uptime. Clocks of two
// machines are never compared.
type Ticket struct {
	ID          string        `json:"i"`
	Daemon      string        `json:"d"`
	Incarnation string        `json:"n"`
	Wire        string        `json:"w"`
	Expiry      time.Duration `json:"e"`
}

// Seal encodes the ticket as the text that callers send back with each request.
func (ticket Ticket) Seal() string {
	body, _ := json.Marshal(ticket)
	return base64.RawURLEncoding.EncodeToString(body)
}

// Open decodes the text of a ticket. It reports false if the text is malformed or
// lacks the id, the incarnation or the address.
func Open(text string) (ticket Ticket, ok bool) {
	body, err := base64.RawURLEncoding.DecodeString(text)
	return ticket, err == nil && json.Unmarshal(body, &ticket) == nil && ticket.ID != "" && ticket.Incarnation != "" && ticket.Wire != ""
}

type ticketKey struct{ ticket, request string }

// States of a (ticket, request id) pair.
const (
	running       = iota
	ended         // the request ran or may have run
	rejectedUnrun // rejected without running; it never runs under this ticket
	transferred   // never ran here and never will: another daemon owns it
)

type ticketRow struct {
	state    int
	deadline time.Duration
	// ownerWire and incarnation are those of the daemon that owns the request, if
	// the state is transferred.
	ownerWire, incarnation string
	ran                    bool
}

// tickets remembers every (ticket, request id) until the ticket expires, so that a
// request runs at most once.
//
// Invariant: a key is admitted only if it has no row, and a row is removed only
// after its ticket has expired. A full table rejects new keys and never evicts a row.
// At most one daemon admits the unseen keys of a ticket: the one that it is bound to
// or, after that one's planned shutdown, its successor, which has received all its
// rows. A daemon that has a successor asks it before it decides anything.
type tickets struct {
	// inherited maps the incarnations whose rows this daemon has taken over to the
	// time at which each started, on this daemon's clock. No ticket of such an
	// incarnation is valid after inheritedUntil. successor is the daemon that took
	// over this daemon's own rows.
	inherited, inheritedUntil map[string]time.Duration
	successor                 *session.Member
	rows                      map[ticketKey]ticketRow
	recentIDs                 map[string]time.Duration // request ids seen recently, with their deadlines
	lastSweep                 time.Duration
}

const maxTickets = 200000

func (tickets *tickets) init() {
	tickets.rows, tickets.recentIDs = map[ticketKey]ticketRow{}, map[string]time.Duration{}
	tickets.inherited, tickets.inheritedUntil = map[string]time.Duration{}, map[string]time.Duration{}
}

func (tickets *tickets) isRecent(id string) bool { _, seen := tickets.recentIDs[id]; return seen }

func (tickets *tickets) sweep(now time.Duration) {
	if now-tickets.lastSweep < time.Second {
		return
	}
	tickets.lastSweep = now
	for key, row := range tickets.rows {
		if now > row.deadline && row.state != running {
			delete(tickets.rows, key)
		}
	}
	for id, deadline := range tickets.recentIDs {
		if now > deadline {
			delete(tickets.recentIDs, id)
		}
	}
	for incarnation, until := range tickets.inheritedUntil {
		if now > until {
			delete(tickets.inheritedUntil, incarnation)
			delete(tickets.inherited, incarnation)
		}
	}
}

// Locate returns the daemons that a call may be sent to, best first, and a ticket
// for the first one with its lifetime.
func (decider *Decider) Locate(model, kind, home, zone string, prefix uint64) ([]session.Member, *Ticket, time.Duration, *verdict.Error) {
	view := decider.View()
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	if !view.IsValid(now) {
		return nil, nil, 0, decider.reject(503, "no_permit", "this daemon holds no valid lease and can't locate others; try another daemon", time.Second)
	}
	list := eligibleDaemons(view, model, home)
	if len(list) == 0 {
		return nil, nil, 0, decider.reject(503, "nowhere", "no daemon can currently serve this model within this home", retryDelay(view))
	}
	if zone == "" {
		zone = decider.Self.Zone
	}
	region, _ := view.Tree.RegionOf(zone)
	distance := func(member session.Member) int {
		switch {
		case member.Zone == zone:
			return 0
		case member.Region == region:
			return 1
		}
		return 2
	}
	decider.counts.located++
	if prefix == 0 {
		prefix = decider.counts.located // no prompt to keep together, so spread the calls
	}
	// Callers that share the beginning of a prompt go to the same daemon of a zone, as
	// that one knows the load of the replica that has cached it. Rendezvous hashing of
	// the prefix selects the daemon.
	sort.SliceStable(list, func(a, b int) bool {
		if x, y := distance(list[a]), distance(list[b]); x != y {
			return x < y
		}
		return score(prefix, list[a].Name) > score(prefix, list[b].Name)
	})
	lifetime := view.Tree.Duration("ticket_ms", "")
	first := list[0]
	ticket := &Ticket{
		ID:     decider.Self.Incarnation + "." + strconv.FormatUint(decider.counts.located, 36),
		Daemon: first.Name, Incarnation: first.Incarnation, Wire: first.Wire, Expiry: first.Uptime + lifetime,
	}
	return list, ticket, lifetime, nil
}

// eligibleDaemons lists the daemons that may serve the model for requests with the
// home tag.
func eligibleDaemons(view *lease.View, model, home string) (list []session.Member) {
	for _, member := range view.Members {
		if member.Role != session.Data || member.Leaving || view.Evacuated[member.Zone] {
			continue
		}
		placement, placed := view.Tree.Placement(model, member.Zone)
		if placed && view.Tree.Allowed(home, member.Region) && view.Tree.Allowed(placement.Home, member.Region) {
			list = append(list, member)
		}
	}
	return list
}

// settle makes sure that a (ticket, request id) runs at most once on any daemon.
func (decider *Decider) settle(call *Call) *verdict.Error {
	now := decider.World.Now()
	ticket, ok := Open(call.Ticket)
	if !ok {
		decider.mu.Lock()
		defer decider.mu.Unlock()
		return decider.reject(400, "bad_ticket", "the ticket can't be decoded; call /v1/locate again", 0)
	}
	key := ticketKey{ticket.ID, call.ID}
	decider.mu.Lock()
	successor, isOurs := decider.tickets.successor, decider.decidesFor(ticket)
	decider.mu.Unlock()
	if isOurs && successor == nil {
		return decider.admitOwn(call, ticket, key)
	}
	// The ticket is bound to another daemon: check the local rows first, then ask
	// that daemon.
	if failure, known := decider.checkLocal(call, key); known {
		return failure
	}
	var timeLeft time.Duration
	failure := daemonGone()
	if bound := decider.boundDaemon(ticket); !isOurs && bound != nil {
		timeLeft, failure = decider.claim(ticket, call.ID, bound.Wire, bound.Incarnation, 0)
	}
	if failure != nil && failure.Code == daemonGoneCode {
		if !isOurs {
			successor = decider.findSuccessor(ticket)
		}
		if successor != nil {
			timeLeft, failure = decider.claim(ticket, call.ID, successor.Wire, successor.Incarnation, 0)
		}
	}
	decider.mu.Lock()
	defer decider.mu.Unlock()
	if failure != nil {
		decider.counts.Rejected[failure.Code]++
		return failure
	}
	return decider.admit(call, key, now+timeLeft)
}

// checkLocal returns the outcome by this daemon's own row for the key, if it has one.
func (decider *Decider) checkLocal(call *Call, key ticketKey) (*verdict.Error, bool) {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	row, known := decider.tickets.rows[key]
	if !known {
		return nil, false
	}
	return decider.rejectRepeated(call, key, row), true
}

// rejectRepeated returns the rejection for a call whose key already has a row.
func (decider *Decider) rejectRepeated(call *Call, key ticketKey, row ticketRow) *verdict.Error {
	switch row.state {
	case rejectedUnrun:
		return decider.reject(503, "declined_before", "this request was already rejected without running under this ticket; call /v1/locate for a new one", 0)
	case running:
		decider.counts.Rejected["running"]++
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: "running", Message: "this request is already running", Status: 409}
	case ended:
		decider.counts.Rejected["ran"]++
		verdictOf := verdict.MayHaveRun
		if row.ran {
			verdictOf = verdict.Ran
		}
		return &verdict.Error{Verdict: verdictOf, Code: "ran", Message: "this request has already run and is never run again", Status: 409}
	}
	decider.counts.Rejected["elsewhere"]++
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: "elsewhere", Message: "this request was transferred to daemon " + row.ownerWire, Status: 409}
}

// admitOwn decides about a ticket that is bound to this incarnation or to one whose
// rows it inherited.
func (decider *Decider) admitOwn(call *Call, ticket Ticket, key ticketKey) *verdict.Error {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	if decider.tickets.successor != nil {
		return daemonGone() // a successor has taken over since the caller checked
	}
	if row, known := decider.tickets.rows[key]; known {
		return decider.rejectRepeated(call, key, row)
	}
	left := decider.timeLeft(ticket)
	if left <= 0 {
		decider.counts.Rejected["ticket_expired"]++
		return ticketExpired()
	}
	return decider.admit(call, key, decider.World.Now()+left)
}

// timeLeft returns how long a ticket of this incarnation, or of an inherited one, is
// still valid. A ticket that expires implausibly late, after more than twice
// ticket_ms, counts as expired.
func (decider *Decider) timeLeft(ticket Ticket) time.Duration {
	began, isInherited := decider.tickets.inherited[ticket.Incarnation]
	if !isInherited {
		began = decider.StartedAt
	}
	left := ticket.Expiry - (decider.World.Now() - began)
	if view := decider.View(); view.Tree != nil && left > 2*view.Tree.Duration("ticket_ms", "") {
		return 0
	}
	return left
}

func ticketExpired() *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: "ticket_expired", Message: "the ticket has expired, and with it the record of whether this request ran; call /v1/locate again, and use a new request id only if running twice does no harm", Status: 409}
}

// admit adds a row for a key that has none yet.
func (decider *Decider) admit(call *Call, key ticketKey, deadline time.Duration) *verdict.Error {
	now := decider.World.Now()
	decider.tickets.sweep(now)
	if row, known := decider.tickets.rows[key]; known {
		return decider.rejectRepeated(call, key, row)
	}
	if len(decider.tickets.rows) >= maxTickets {
		// Without a row, a second run of this request could not be prevented.
		decider.counts.Rejected["tickets_full"]++
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: "tickets_full", Message: "the table of recent requests is full; retry later", Status: 503, ComeBack: 5 * time.Second}
	}
	decider.tickets.rows[key] = ticketRow{state: running, deadline: deadline}
	if len(decider.tickets.recentIDs) < maxTickets {
		decider.tickets.recentIDs[call.ID] = deadline
	}
	call.ticketKey = &key
	return nil
}

// Settled records the outcome of a call that Allow admitted.
func (decider *Decider) Settled(call *Call, failure *verdict.Error) {
	if call.ticketKey == nil {
		return
	}
	decider.mu.Lock()
	defer decider.mu.Unlock()
	row := decider.tickets.rows[*call.ticketKey]
	switch {
	case failure != nil && failure.Verdict == verdict.NotRun:
		row.state = rejectedUnrun
	default:
		row.state, row.ran = ended, failure == nil || failure.Verdict == verdict.Ran
	}
	decider.tickets.rows[*call.ticketKey] = row
}

// Claim is a request by another daemon to take over a (ticket, request id).
type Claim struct {
	Ticket  Ticket
	Request string
	// The claimant, which gets the request if it never ran.
	Daemon, Incarnation, Wire string
}

// Claimed is the reply to a Claim.
type Claimed struct {
	Incarnation string // of the daemon that replies
	Given       bool   // it never ran; it is now transferred to the claimant
	Running     bool
	Ran         bool
	Unrun       bool // its caller received not_run, which stays final
	Expired     bool
	Left        time.Duration
	// Next and NextIncarnation are those of the daemon that it was transferred to before.
	Next, NextIncarnation string
}

// Settle answers a claim. After a transfer this daemon never runs the request itself.
func (decider *Decider) Settle(claim Claim, claimed *Claimed) error {
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	claimed.Incarnation = decider.Self.Incarnation
	key := ticketKey{claim.Ticket.ID, claim.Request}
	row, known := decider.tickets.rows[key]
	if !known {
		left := decider.timeLeft(claim.Ticket)
		if !decider.decidesFor(claim.Ticket) || left <= 0 || len(decider.tickets.rows) >= maxTickets {
			// A claimant that follows a chain of transfers expects a row here; without
			// one, whether the request ran is unknown.
			claimed.Expired = true
			return nil
		}
		if successor := decider.tickets.successor; successor != nil {
			claimed.Next, claimed.NextIncarnation = successor.Wire, successor.Incarnation
			return nil
		}
		claimed.Left, claimed.Given = left, true
		decider.tickets.rows[key] = ticketRow{state: transferred, deadline: now + left, ownerWire: claim.Wire, incarnation: claim.Incarnation}
		return nil
	}
	claimed.Left = row.deadline - now
	switch row.state {
	case running:
		claimed.Running = true
	case ended:
		claimed.Ran = true
	case transferred:
		claimed.Next, claimed.NextIncarnation = row.ownerWire, row.incarnation
		// The claimant repeats its claim, as the first reply may have been lost.
		claimed.Given = row.incarnation == claim.Incarnation
	case rejectedUnrun:
		claimed.Unrun = true
	}
	return nil
}

// decidesFor reports whether this daemon decides about unseen requests of the ticket.
func (decider *Decider) decidesFor(ticket Ticket) bool {
	_, isInherited := decider.tickets.inherited[ticket.Incarnation]
	return isInherited || ticket.Incarnation == decider.Self.Incarnation
}

// boundDaemon returns the daemon that the ticket is bound to, if that is a member.
// Only members are contacted, as callers can write any address into a ticket. A daemon
// that has just started waits for its first lease, before which it knows no members.
func (decider *Decider) boundDaemon(ticket Ticket) *session.Member {
	deadline := decider.World.Now() + claimTimeout
	for decider.View().Tree == nil && decider.World.Now() < deadline {
		if !loop.Sleep(decider.World, claimTimeout/20) {
			return nil
		}
	}
	for _, member := range decider.View().Members {
		if member.Role == session.Data && member.Incarnation == ticket.Incarnation && member.Wire == ticket.Wire && member.Wire != decider.Self.Wire {
			return &member
		}
	}
	return nil
}

// findSuccessor asks the other daemons which one has inherited the ticket's rows.
func (decider *Decider) findSuccessor(ticket Ticket) *session.Member {
	var others []session.Member
	for _, member := range decider.View().Members {
		if member.Role == session.Data && member.Wire != decider.Self.Wire {
			others = append(others, member)
		}
	}
	var found *session.Member
	loop.Gather(decider.World, len(others), claimTimeout, func(index int) (successor string) {
		if decider.Net.Call(others[index].Wire, "Ticket.Inherits", ticket.Incarnation, &successor, claimTimeout) != nil {
			return ""
		}
		return successor
	}, func(index int, successor string) bool {
		if successor != "" {
			found = &others[index]
			found.Incarnation = successor // the member list may still show an earlier incarnation
		}
		return successor != ""
	})
	return found
}

// TicketHandover is everything that a daemon remembers about tickets. In a planned shutdown,
// once nothing runs any more, it is handed to a successor.
type TicketHandover struct {
	// Uptimes holds the uptimes of the incarnations whose tickets the daemon
	// decides about.
	Uptimes map[string]time.Duration
	Rows    []TicketHandoverRow
}

// TicketHandoverRow is one row of a TicketHandover.
type TicketHandoverRow struct {
	Ticket, Request     string
	Unrun, Ran          bool
	Holder, Incarnation string // the daemon that owns it, if it was transferred
	Left                time.Duration
}

// HandOverTickets hands all rows over to a peer, trying those of its own region first, and
// reports whether one has accepted them. From then on this daemon decides about no
// unseen request itself.
func (decider *Decider) HandOverTickets() bool {
	var near, far []session.Member
	for _, member := range decider.View().Members {
		switch {
		case member.Role != session.Data || member.Leaving || member.Incarnation == decider.Self.Incarnation:
		case member.Region == decider.Self.Region:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	for _, member := range append(near, far...) {
		decider.mu.Lock()
		decider.tickets.successor = &member
		handover := decider.bequest()
		decider.mu.Unlock()
		var taken bool
		// A peer that received the call and did not reply may have accepted. It stays
		// the successor, so that there are never two.
		err := decider.Net.Call(member.Wire, "Ticket.Inherit", handover, &taken, claimTimeout)
		if err == nil && taken || err != nil && !wire.NotSent(err) {
			return err == nil
		}
	}
	decider.mu.Lock()
	decider.tickets.successor = nil
	decider.mu.Unlock()
	return false
}

func (decider *Decider) bequest() TicketHandover {
	now := decider.World.Now()
	out := TicketHandover{Uptimes: map[string]time.Duration{decider.Self.Incarnation: now - decider.StartedAt}}
	for incarnation, began := range decider.tickets.inherited {
		out.Uptimes[incarnation] = now - began
	}
	for key, row := range decider.tickets.rows {
		if row.deadline > now {
			out.Rows = append(out.Rows, TicketHandoverRow{Ticket: key.ticket, Request: key.request, Unrun: row.state == rejectedUnrun, Ran: row.ran, Holder: row.ownerWire, Incarnation: row.incarnation, Left: row.deadline - now})
		}
	}
	return out
}

// Inherit takes over the rows of a peer that shuts down. Rows that this daemon already
// has are kept, as they are newer.
func (decider *Decider) Inherit(handover TicketHandover, taken *bool) error {
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	if decider.stopped || decider.tickets.successor != nil || len(decider.tickets.rows)+len(handover.Rows) > maxTickets {
		return nil
	}
	for incarnation, uptime := range handover.Uptimes {
		decider.tickets.inherited[incarnation] = now - uptime
		if view := decider.View(); view.Tree != nil {
			decider.tickets.inheritedUntil[incarnation] = now + 2*view.Tree.Duration("ticket_ms", "")
		}
	}
	for _, entry := range handover.Rows {
		key := ticketKey{entry.Ticket, entry.Request}
		// A request that was transferred to this daemon and has no row here was never
		// admitted: it has not arrived yet, or its transfer was lost.
		if _, known := decider.tickets.rows[key]; known || entry.Incarnation == decider.Self.Incarnation {
			continue
		}
		row := ticketRow{state: ended, deadline: now + entry.Left, ownerWire: entry.Holder, incarnation: entry.Incarnation, ran: entry.Ran}
		switch {
		case entry.Unrun:
			row.state = rejectedUnrun
		case entry.Holder != "":
			row.state = transferred
		}
		decider.tickets.rows[key] = row
	}
	*taken = true
	return nil
}

// Inherits replies with this daemon's incarnation if it has inherited the rows of the
// given incarnation.
func (decider *Decider) Inherits(incarnation string, successor *string) error {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	if _, isInherited := decider.tickets.inherited[incarnation]; isInherited {
		*successor = decider.Self.Incarnation
	}
	return nil
}

const daemonGoneCode = "daemon_gone"

func daemonGone() *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: daemonGoneCode, Message: "the daemon that the ticket is bound to is gone or unreachable; the request may have run there", Status: 409}
}

// maxHops bounds how many transfers of a request are followed from daemon to daemon.
const maxHops = 4

// claim asks the daemon at the address to transfer the request, and returns how long
// the ticket is still valid.
func (decider *Decider) claim(ticket Ticket, request, address, incarnation string, hops int) (time.Duration, *verdict.Error) {
	unknown := func(code, message string) (time.Duration, *verdict.Error) {
		return 0, &verdict.Error{Verdict: verdict.MayHaveRun, Code: code, Message: message, Status: 409}
	}
	claim := Claim{Ticket: ticket, Request: request, Daemon: decider.Self.Name, Incarnation: decider.Self.Incarnation, Wire: decider.Self.Wire}
	var claimed Claimed
	err := decider.Net.Call(address, "Ticket.Settle", claim, &claimed, claimTimeout)
	switch {
	case err != nil || claimed.Incarnation != incarnation:
		return 0, daemonGone()
	case claimed.Given && claimed.Left > 0:
		return claimed.Left, nil
	case claimed.Unrun:
		return 0, verdict.Reject(503, "declined_before", "this request was already rejected without running under this ticket; call /v1/locate for a new one", 0)
	case claimed.Running:
		return unknown("running", "this request is already running at another daemon")
	case claimed.Ran:
		return unknown("ran", "this request has already run at another daemon and is never run again")
	case claimed.NextIncarnation == decider.Self.Incarnation:
		return decider.awaitInheritance(ticket)
	case claimed.Next != "" && hops < maxHops:
		return decider.claim(ticket, request, claimed.Next, claimed.NextIncarnation, hops+1)
	}
	return 0, ticketExpired()
}

// awaitInheritance handles a claim that leads back to this daemon: it is the
// successor, and the rows may still be in transit.
func (decider *Decider) awaitInheritance(ticket Ticket) (time.Duration, *verdict.Error) {
	deadline := decider.World.Now() + claimTimeout
	for {
		decider.mu.Lock()
		isOurs, left := decider.decidesFor(ticket), decider.timeLeft(ticket)
		decider.mu.Unlock()
		switch {
		case isOurs && left > 0:
			return left, nil
		case isOurs:
			return 0, ticketExpired()
		case decider.World.Now() >= deadline || !loop.Sleep(decider.World, claimTimeout/20):
			return 0, daemonGone()
		}
	}
}

const claimTimeout = 700 * time.Millisecond
