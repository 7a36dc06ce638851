// Package session maintains the membership. A daemon is a member while it has a session
// with a control daemon, which it keeps with heartbeats. Control daemons share their
// sessions with each other.
package session

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/routing"
	"swifttiller/tenant"
	"swifttiller/wire"
)

// Roles of a daemon.
const (
	Data    = "data"
	Control = "control"
)

// Member describes a daemon to other daemons.
//
// Invariant: Name stays the same across restarts. Incarnation is never used again.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Role        string `json:"role"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Wire        string `json:"wire"`
	HTTP        string `json:"http"`
	// Door is the address for callers of routes, if it differs from HTTP.
	Door string `json:"door,omitempty"`
	// Acceptor is the identity that was created with the control daemon's disk, if it has
	// one.
	Acceptor string `json:"acceptor,omitempty"`
	// Uptime is the time since the member started, by its own clock, at its last heartbeat.
	// The expiry of tickets is measured by it.
	Uptime time.Duration `json:"uptime"`
	// Leaving is true once a planned shutdown has begun.
	Leaving bool `json:"leaving,omitempty"`
	// Duties are the leaderships that a control daemon holds, as a majority has confirmed
	// recently: the term of each, by name.
	Duties map[string]uint64 `json:"duties,omitempty"`
	// Keeps describes, by region, the routing tables that a control daemon keeps up to
	// date.
	Keeps map[string]TableStatus `json:"keeps,omitempty"`
}

// TableStatus describes a routing table that the region's leader found up to date or has
// updated.
//
// Invariant: the contents of the table were true when Age began. The age of the member's
// session has to be added to it.
type TableStatus struct {
	Duty   uint64        `json:"duty"`
	Serial uint64        `json:"serial"`
	Age    time.Duration `json:"age"`
}

// Session is the content of a member's last heartbeat, and its age when it is passed on.
type Session struct {
	Member Member
	Report routing.Report
	Age    time.Duration
}

// Heartbeat is a heartbeat, which keeps a daemon's session alive.
type Heartbeat struct {
	// IsUrgent asks the control daemon to share the session with its peers at once.
	IsUrgent bool
	Member   Member
	Report   routing.Report
	// Known is the checksum (see Checksum) of the control daemons that the daemon knows.
	Known uint64
	// Over ends the session at once.
	Over bool
}

// HeartbeatReply is the reply to a heartbeat. It lists the control daemons, unless the daemon's
// checksum shows that it knows them.
type HeartbeatReply struct {
	Controls []Member
	Sum      uint64
}

// row is a session in the table, with what is needed to announce it to other control
// daemons.
type row struct {
	Session
	lastHeard time.Duration
	// slot and announced are used for sharing the row with peers. They are set once the
	// member has sent a heartbeat directly to this daemon, most recently at lastDirect. The
	// row is shared for one span after that.
	slot       uint64
	announced  announcement
	lastDirect time.Duration
	checksum   uint64 // the member's checksum, an input to Checksum
}

// Options of a table.
type Options struct {
	World loop.World
	Net   wire.Net
	Self  Member
	Seeds func() []string
	// SessionTimeout is the session timeout: a member without a heartbeat for that long is no longer
	// a member.
	SessionTimeout func() time.Duration
	// Registers's core is exchanged together with the sessions.
	Registers *register.Client
	// Describe, if set, adds the leaderships and routing tables that this daemon has now to its
	// own entry.
	Describe func(self *Member)
	// Tenants, if set, returns the tenant statistics that this daemon announces.
	Tenants func() *tenant.WindowReport
}

// Table is a control daemon's view of all sessions.
//
// Invariants: a row is replaced and never changed. names are the sorted keys of rows. A
// row's lastHeard is never later than the member's last heartbeat to any daemon. The
// incarnations in ended are tombstones: they stay for longer than a session, so that an
// older message from a peer does not bring the member back.
type Table struct {
	Options
	mu        sync.Mutex
	rows      map[string]*row
	names     []string
	ended     map[string]time.Duration // incarnations that ended their session, and when
	startedAt time.Duration
	// lastSlot counts the assigned slots, and lastSerial the announced contents. Neither
	// ever decreases.
	lastSlot, lastSerial uint64
	ownAnnounced         announcement             // this daemon's own session
	received             map[string]*peerSessions // by incarnation: what a peer has announced
	peers                map[string]*peerState    // by address: what a peer has acknowledged
	// shareWaker wakes the loop that shares the sessions with the peers.
	shareWaker *loop.Waker
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{Options: options, rows: map[string]*row{}, ended: map[string]time.Duration{}, received: map[string]*peerSessions{}, peers: map[string]*peerState{}, startedAt: options.World.Now(), shareWaker: loop.NewWaker(options.World)}
}

// Beat processes a daemon's heartbeat.
func (table *Table) Beat(heartbeat Heartbeat, reply *HeartbeatReply) error {
	now := table.World.Now()
	table.mu.Lock()
	if heartbeat.Over {
		table.ended[heartbeat.Member.Incarnation] = now
		if current := table.rows[heartbeat.Member.Name]; current != nil && current.Member.Incarnation == heartbeat.Member.Incarnation {
			table.remove(heartbeat.Member.Name)
		}
	} else if _, hasEnded := table.ended[heartbeat.Member.Incarnation]; !hasEnded {
		table.record(row{Session: Session{Member: heartbeat.Member, Report: heartbeat.Report}, lastHeard: now}, true)
	}
	table.mu.Unlock()
	if heartbeat.IsUrgent {
		table.shareWaker.Wake()
	}
	if reply.Sum = table.Checksum(Control); reply.Sum != heartbeat.Known {
		reply.Controls = table.Members(Control)
		reply.Sum = Checksum(reply.Controls)
	}
	return nil
}

// self returns this daemon as a member, with its current uptime and leaderships.
func (table *Table) self() Member {
	self := table.Self
	self.Uptime = table.World.Now() - table.startedAt
	if table.Describe != nil {
		table.Describe(&self)
	}
	return self
}

// ownSession returns this daemon's own session.
func (table *Table) ownSession() Session {
	out := Session{Member: table.self()}
	if table.Tenants != nil {
		out.Report.Tenants = table.Tenants()
	}
	return out
}

// Direct lists the live sessions of data daemons that recently sent heartbeats directly
// to this daemon. Except for short moments, each data daemon is listed by exactly one
// control daemon.
func (table *Table) Direct() (out []Session) {
	now := table.World.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, row := range table.rows {
		if row.Member.Role == Data && row.slot > 0 && now-row.lastDirect < table.SessionTimeout() && now-row.lastHeard < table.SessionTimeout() {
			out = append(out, row.Session)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Member.Name < out[b].Member.Name })
	return out
}

// Live lists the live sessions of the role, or of all roles if it is empty, sorted by name.
// It includes this daemon's own session.
func (table *Table) Live(role string) []Session {
	table.mu.Lock()
	defer table.mu.Unlock()
	rows := table.live(role, table.ownSession)
	now := table.World.Now()
	out := make([]Session, len(rows))
	for index, row := range rows {
		out[index] = row.Session
		out[index].Age = now - row.lastHeard
	}
	return out
}

// Members lists the members of Live, without the fields that only control daemons exchange.
func (table *Table) Members(role string) []Member {
	table.mu.Lock()
	defer table.mu.Unlock()
	rows := table.live(role, func() Session {
		self := table.Self
		self.Uptime = table.World.Now() - table.startedAt
		return Session{Member: self}
	})
	out := make([]Member, len(rows))
	for index, row := range rows {
		out[index] = row.Member
		out[index].Duties, out[index].Keeps = nil, nil
	}
	return out
}

// Checksum returns the checksum of Members without building the list.
func (table *Table) Checksum(role string) (sum uint64) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, row := range table.live(role, func() Session { return Session{Member: table.Self} }) {
		sum = combine(sum, row.checksum)
	}
	return max(1, sum)
}

// live lists the rows of live sessions, including this daemon's own. The caller holds mu.
func (table *Table) live(role string, own func() Session) (out []*row) {
	now, span := table.World.Now(), table.SessionTimeout()
	for _, name := range table.names {
		if row := table.rows[name]; (role == "" || row.Member.Role == role) && now-row.lastHeard < span {
			out = append(out, row)
		}
	}
	if role == "" || role == table.Self.Role {
		index, _ := slices.BinarySearchFunc(out, table.Self.Name, func(row *row, name string) int { return strings.Compare(row.Member.Name, name) })
		self := row{Session: own(), lastHeard: now}
		self.checksum = self.Member.checksum()
		out = slices.Insert(out, index, &self)
	}
	return out
}

// remove deletes a name from the table. The caller holds mu.
func (table *Table) remove(name string) {
	delete(table.rows, name)
	if index, known := slices.BinarySearch(table.names, name); known {
		table.names = slices.Delete(table.names, index, index+1)
	}
}

// Find returns the live session of the named member, which may be this daemon itself.
func (table *Table) Find(name string) (Session, bool) {
	now := table.World.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	if name == table.Self.Name {
		return table.ownSession(), true
	}
	row := table.rows[name]
	if row == nil {
		return Session{}, false
	}
	session := row.Session
	session.Age = now - row.lastHeard
	return session, session.Age < table.SessionTimeout()
}

// AbsentFor returns for how long each known member has been without a session.
func (table *Table) AbsentFor() map[string]time.Duration {
	now := table.World.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	out := map[string]time.Duration{}
	for name, row := range table.rows {
		if silence := now - row.lastHeard; silence >= table.SessionTimeout() {
			out[name] = silence - table.SessionTimeout()
		}
	}
	return out
}

// Age returns the age of this table. A table younger than a session can't show that a
// member is gone.
func (table *Table) Age() time.Duration { return table.World.Now() - table.startedAt }

// Locate returns the current address of an acceptor, or "" if its daemon is not a recent
// member.
func (table *Table) Locate(acceptor string) string {
	if table.Self.Acceptor == acceptor {
		return table.Self.Wire
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, row := range table.rows {
		if row.Member.Acceptor == acceptor && table.World.Now()-row.lastHeard < 4*table.SessionTimeout() {
			return row.Member.Wire
		}
	}
	return ""
}

// PeerAddresses returns addresses at which there may be control daemons: those of members, of
// seeds, and the last known ones of the core's acceptors.
func (table *Table) PeerAddresses() []string {
	addresses, _ := table.peerAddresses()
	return addresses
}

// peerAddresses returns the addresses to share sessions with: first the live control
// daemons, whose number is members, then the seeds and the possible addresses of the core's
// acceptors. The core is read from disk, so daemons that all start at once find each other
// through it.
func (table *Table) peerAddresses() (addresses []string, members int) {
	seen := map[string]bool{table.Self.Wire: true}
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, session := range table.Live(Control) {
		add(session.Member.Wire)
	}
	members = len(addresses)
	for _, seed := range table.Seeds() {
		add(seed)
	}
	for _, member := range table.Registers.Core().Members {
		if address := table.Locate(member.ID); address != "" {
			add(address)
		} else {
			add(member.Address)
		}
	}
	return addresses, members
}

// sweep deletes outdated rows, tombstones and states of peers.
func (table *Table) sweep() {
	now := table.World.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	for name, row := range table.rows {
		if now-row.lastHeard > 100*table.SessionTimeout() {
			table.remove(name)
		}
	}
	for incarnation, peer := range table.received {
		if now-peer.lastHeard > 4*table.SessionTimeout() {
			delete(table.received, incarnation)
		}
	}
	for address, peer := range table.peers {
		if now-peer.lastReply > 100*table.SessionTimeout() {
			delete(table.peers, address)
		}
	}
	for incarnation, endedAt := range table.ended {
		if now-endedAt > 4*table.SessionTimeout() {
			delete(table.ended, incarnation)
		}
	}
}

// Client keeps a daemon's session with a control daemon.
type Client struct {
	World          loop.World
	Net            wire.Net
	Seeds          func() []string
	SessionTimeout func() time.Duration
	// Describe returns the daemon's current heartbeat.
	Describe func() Heartbeat
	// Region and Zone are preferred when there are several control daemons. Name determines
	// the order in which seeds are tried.
	Region, Zone, Name string

	mu          sync.Mutex
	controls    []Member
	controlsSum uint64 // checksum of controls
	current     string
	waker       *loop.Waker
	isUrgent    atomic.Bool // the next heartbeat is
	listings    uint64      // number of calls of Controls
	// deprioritizedUntil holds, by address, the time until which a control daemon that gave
	// no acceptable reply is tried last.
	deprioritizedUntil map[string]time.Duration
}

// ownZoneEvery is the number of calls after which a daemon tries the control daemons of its
// own zone first.
const ownZoneEvery = 32

// Controls returns the addresses of control daemons in the order in which to try them.
func (client *Client) Controls() []string {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.listings++
	var addresses []string
	seen := map[string]bool{}
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	addRegion := func(isOwn bool) {
		// Within the region, the control daemon that replied last comes first. Every
		// ownZoneEvery calls those of the own zone come first instead, because otherwise
		// all daemons of a region would stay with the region's seed.
		isLast := func(member Member) bool { return member.Wire == client.current }
		isHere := func(member Member) bool { return member.Zone == client.Zone }
		order := []func(member Member) bool{isLast, isHere, func(Member) bool { return true }}
		if client.listings%ownZoneEvery == 0 {
			order[0], order[1] = isHere, isLast
		}
		for _, matches := range order {
			for _, member := range client.controls {
				if (member.Region == client.Region) == isOwn && matches(member) && !member.Leaving {
					add(member.Wire)
				}
			}
		}
	}
	addRegion(true)
	add(client.current)
	addRegion(false)
	// Nothing but the address is known of a seed. If all daemons that start at the same
	// time tried the same seed first, they would overload it, so each uses an order of its
	// own.
	seeds := slices.Clone(client.Seeds())
	slices.SortStableFunc(seeds, func(a, b string) int {
		return cmp.Compare(rendezvousWeight(client.Name, a), rendezvousWeight(client.Name, b))
	})
	for _, seed := range seeds {
		add(seed)
	}
	now := client.World.Now()
	sort.SliceStable(addresses, func(a, b int) bool {
		return now >= client.deprioritizedUntil[addresses[a]] && now < client.deprioritizedUntil[addresses[b]]
	})
	return addresses
}

// rendezvousWeight returns the rendezvous weight of a control daemon's address for the
// named daemon.
func rendezvousWeight(name, address string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name + "/" + address))
	return MixHash(sum.Sum64())
}

// MixHash mixes the bits of an FNV hash so that it can serve as a rendezvous weight. FNV
// hashes of texts that differ only in their last bytes are nearly equal.
func MixHash(sum uint64) uint64 {
	sum ^= sum >> 32
	sum *= 0xd6e8feb86659fd93
	return sum ^ sum>>32
}

// deprioritizedSpans is the time, in session timeouts, for which a control daemon that gave
// no acceptable reply is tried last.
const deprioritizedSpans = 4

// A daemon that has just started and can't connect to the first control daemon in its order
// retries that one, startRetryPause apart, for 1/startRetryShare of the session timeout.
// After a power outage all daemons start at once, and without these retries all of them
// would move on to the control daemon that is up first.
const (
	startRetryShare = 4
	startRetryPause = 30 * time.Millisecond
)

// isNew reports whether this daemon has not received a list of control daemons yet.
func (client *Client) isNew() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.controlsSum == 0 && client.current == ""
}

// Call calls the control daemons in turn until one gives an acceptable reply, and prefers
// that one from then on. If none does, Call returns the last unacceptable reply, or the last
// error if there was no reply at all.
func (client *Client) Call(method string, args any, newReply func() any, isAcceptable func(reply any) bool, timeout time.Duration) (any, error) {
	var lastErr error
	var rejected any
	retryUntil := client.World.Now()
	if client.isNew() {
		retryUntil += client.SessionTimeout() / startRetryShare
	}
	for _, address := range client.Controls() {
		reply := newReply()
		err := client.Net.Call(address, method, args, reply, timeout)
		for wire.NotSent(err) && client.World.Now() < retryUntil && !client.World.Ended() {
			loop.Sleep(client.World, startRetryPause)
			err = client.Net.Call(address, method, args, reply, timeout)
		}
		if err == nil && isAcceptable(reply) {
			client.mu.Lock()
			client.current = address
			delete(client.deprioritizedUntil, address)
			client.mu.Unlock()
			return reply, nil
		}
		if err == nil {
			rejected = reply
		}
		lastErr = err
		client.mu.Lock()
		if client.current == address {
			client.current = ""
		}
		if client.deprioritizedUntil == nil {
			client.deprioritizedUntil = map[string]time.Duration{}
		}
		client.deprioritizedUntil[address] = client.World.Now() + deprioritizedSpans*client.SessionTimeout()
		client.mu.Unlock()
	}
	if rejected != nil {
		return rejected, nil
	}
	return nil, lastErr
}

// Run sends heartbeats at regular intervals until World ends.
func (client *Client) Run() {
	client.heartbeatWaker().Run(client.World, func() time.Duration { return client.SessionTimeout() / 6 }, func() bool {
		heartbeat := client.Describe()
		heartbeat.IsUrgent = client.isUrgent.Swap(false)
		client.SendHeartbeat(heartbeat)
		return true
	})
}

// HeartbeatNow sends the next heartbeat without waiting for the regular interval. All control
// daemons get it at once.
func (client *Client) HeartbeatNow() {
	client.isUrgent.Store(true)
	client.heartbeatWaker().Wake()
}

func (client *Client) heartbeatWaker() *loop.Waker {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.waker == nil {
		client.waker = loop.NewWaker(client.World)
	}
	return client.waker
}

// SendHeartbeat sends one heartbeat and updates the list of control daemons from the reply. It
// reports whether there was a reply.
func (client *Client) SendHeartbeat(heartbeat Heartbeat) bool {
	client.mu.Lock()
	heartbeat.Known = client.controlsSum
	client.mu.Unlock()
	reply, err := client.Call("Session.Beat", heartbeat, func() any { return new(HeartbeatReply) }, func(any) bool { return true }, client.SessionTimeout()/4)
	if err != nil {
		return false
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if answer := reply.(*HeartbeatReply); answer.Sum != client.controlsSum {
		client.controls, client.controlsSum = answer.Controls, answer.Sum
	}
	return true
}
