package session

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"maps"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"time"

	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/routing"
	"swifttiller/wire"
)

// ShareMessage is the request in which one control daemon shares its sessions with a peer, and
// also the reply.
//
// Invariant: the Marks of a request name all sessions with heartbeats sent directly to the
// sender, and its own session as slot 0. Sessions holds those whose contents the receiver
// is not known to have.
type ShareMessage struct {
	From     string // the sender's incarnation
	Marks    Marks
	Sessions []Content
	// Packed replaces Sessions if they are many. Packing saves much, since sessions have
	// most of their contents in common, such as names of replicas.
	Packed []byte
	// Epoch is the epoch of the sender's core. Core is omitted if the receiver has it.
	Epoch uint64
	Core  register.Core
	// Lacks lists, in a reply, the slots whose contents the replying daemon lacks or has
	// only in an older version.
	Lacks []uint64
}

// minPacked is the number of contents from which on they are packed. Fewer are short
// anyway.
const minPacked = 4

// pack replaces Sessions by Packed if there are many of them.
func (message *ShareMessage) pack() {
	if len(message.Sessions) >= minPacked {
		message.Packed, message.Sessions = wire.EncodeCompressed(message.Sessions), nil
	}
}

// unpack restores Sessions from Packed.
func (message *ShareMessage) unpack() error {
	if len(message.Packed) == 0 {
		return nil
	}
	packed := message.Packed
	message.Packed = nil
	return wire.DecodeCompressed(packed, &message.Sessions)
}

// Mark says that a session is live: Serial is the latest version of its content at the
// sender, and the last heartbeat was Age ago. Times are in milliseconds and rounded to the
// safe side.
type Mark struct {
	Slot, Serial uint64
	Age          uint64
	// Permit is the time left of a data daemon's lease at its last heartbeat.
	Permit uint64
	// Kept holds the ages of the routing tables that a control daemon keeps up to date, in
	// the order of their regions.
	Kept []uint64
	// Applied holds the versions of the routing tables that a data daemon applies, in the
	// order of their regions. It is omitted if the receiver has them.
	Applied []uint64
}

// Marks are the marks of a request, in the order of their slots. They are encoded as
// differences from the previous mark, because most of the traffic between control daemons
// in steady state is marks.
type Marks []Mark

// Flags in the lowest bits of an encoded slot, which say whether lists follow.
const (
	hasKept    = 1
	hasApplied = 2
	flagBits   = 2
)

// GobEncode implements gob.GobEncoder.
func (marks Marks) GobEncode() ([]byte, error) {
	out := make([]byte, 0, 10*len(marks))
	list := func(numbers []uint64) {
		out = binary.AppendUvarint(out, uint64(len(numbers)))
		for _, number := range numbers {
			out = binary.AppendUvarint(out, number)
		}
	}
	var previous Mark
	for _, mark := range marks {
		flags := uint64(0)
		if len(mark.Kept) > 0 {
			flags |= hasKept
		}
		if len(mark.Applied) > 0 {
			flags |= hasApplied
		}
		out = binary.AppendUvarint(out, (mark.Slot-previous.Slot)<<flagBits|flags)
		out = binary.AppendVarint(out, int64(mark.Serial-previous.Serial))
		out = binary.AppendUvarint(out, mark.Age)
		out = binary.AppendUvarint(out, mark.Permit)
		if flags&hasKept > 0 {
			list(mark.Kept)
		}
		if flags&hasApplied > 0 {
			list(mark.Applied)
		}
		previous = mark
	}
	return out, nil
}

var errMarks = errors.New("session: malformed marks in a peer's message")

// GobDecode implements gob.GobDecoder.
func (marks *Marks) GobDecode(data []byte) error {
	*marks = nil
	isValid := true
	number := func() uint64 {
		out, read := binary.Uvarint(data)
		isValid = isValid && read > 0
		data = data[max(0, read):]
		return out
	}
	list := func() (out []uint64) {
		for count := number(); isValid && count > 0; count-- {
			out = append(out, number())
		}
		return out
	}
	var previous Mark
	for len(data) > 0 {
		head := number()
		delta, read := binary.Varint(data)
		isValid = isValid && read > 0
		data = data[max(0, read):]
		mark := Mark{Slot: previous.Slot + head>>flagBits, Serial: previous.Serial + uint64(delta), Age: number(), Permit: number()}
		if head&hasKept > 0 {
			mark.Kept = list()
		}
		if head&hasApplied > 0 {
			mark.Applied = list()
		}
		if !isValid {
			return errMarks
		}
		*marks, previous = append(*marks, mark), mark
	}
	return nil
}

// Content is the content of a session, at a version.
type Content struct {
	Slot, Serial uint64
	Session      Session
}

// announcement is what is announced to peers about a row: its content without the parts that marks
// carry, and the versions of that content for peers in the same region and for those in
// other regions.
//
// Invariant: hasUnsentFailures is true exactly while the content has failures that peers in
// other regions have not been sent.
type announcement struct {
	content                   Session
	localSerial, remoteSerial uint64
	remoteAt                  time.Duration // when remoteSerial was assigned
	hasContent                bool
	hasUnsentFailures         bool
}

// peerSessions holds the sessions that a peer has announced.
type peerSessions struct {
	lastHeard time.Duration
	slots     map[uint64]receivedContent
}

// receivedContent is the content of a session as received from a peer.
type receivedContent struct {
	serial uint64
	// session is the session as of at.
	session Session
	at      time.Duration
}

// peerState is what a peer is known to have of this daemon's sessions: the version of the
// content and the versions of the applied routing tables, by slot.
type peerState struct {
	serials   map[uint64]uint64
	applied   map[uint64][]uint64
	epoch     uint64
	lastReply time.Duration
}

// counterSpans is the time, in session timeouts, after which changes of counters alone are
// sent to other regions again.
const counterSpans = 20

// Checksum returns a checksum of the members' identities, in the given order. It doesn't depend
// on their uptimes, leaderships and routing tables.
func Checksum(members []Member) (sum uint64) {
	for at := range members {
		sum = combine(sum, members[at].checksum())
	}
	return max(1, sum)
}

// combine adds a member's checksum to the checksum of the members before it.
func combine(sum, member uint64) uint64 { return sum*1099511628211 + member }

// checksum returns the member's own checksum, an input to Checksum.
func (member *Member) checksum() uint64 {
	sum := fnv.New64a()
	for _, field := range []string{member.Name, member.Incarnation, member.Role, member.Region, member.Zone, member.Wire, member.HTTP, member.Door, member.Acceptor, strconv.FormatBool(member.Leaving)} {
		_, _ = sum.Write([]byte(field))
		_, _ = sum.Write([]byte{0})
	}
	return MixHash(sum.Sum64())
}

// contentOf returns the session without the parts that marks carry.
func contentOf(session Session) Session {
	session.Age, session.Member.Uptime, session.Report.Permit = 0, 0, 0
	keeps := session.Member.Keeps
	session.Member.Keeps = nil
	if session.Member.Role == Data {
		session.Report.Tenants = nil // the control daemon sends the total in its own session
	}
	if len(keeps) > 0 {
		session.Member.Keeps = map[string]TableStatus{}
		for region, status := range keeps {
			status.Age = 0
			session.Member.Keeps[region] = status
		}
	}
	applied := session.Report.Standing
	session.Report.Standing = nil
	if len(applied) > 0 {
		session.Report.Standing = map[string]uint64{}
		for region := range applied {
			session.Report.Standing[region] = 0
		}
	}
	return session
}

// nextAnnouncement returns the announcement of a session after a heartbeat.
//
// Peers in the same region get every change. Of the Near outcomes, peers in other regions
// only get those with failures, at most once per span. Changes of counters alone are sent
// to them rarely (see counterSpans).
func (table *Table) nextAnnouncement(previous announcement, session Session, now time.Duration) announcement {
	next := previous
	next.content = contentOf(session)
	isSame := previous.hasContent && reflect.DeepEqual(previous.content, next.content)
	if isSame && !previous.hasUnsentFailures {
		return previous
	}
	if table.lastSerial++; !isSame {
		next.localSerial, next.hasContent = table.lastSerial, true
	}
	oldContent, newContent := previous.content, next.content
	next.hasUnsentFailures = previous.hasUnsentFailures || !slices.Equal(routing.WithFailures(oldContent.Report.Near), routing.WithFailures(newContent.Report.Near))
	for _, session := range []*Session{&oldContent, &newContent} {
		session.Report.Near, session.Report.Declined = nil, nil
		session.Report.Demanded, session.Report.Retries, session.Report.Allowed, session.Report.Queue = 0, 0, 0, 0
	}
	age := now - previous.remoteAt
	if !previous.hasContent || age > counterSpans*table.SessionTimeout() || next.hasUnsentFailures && age >= table.SessionTimeout() || !reflect.DeepEqual(oldContent, newContent) {
		next.remoteSerial, next.remoteAt, next.hasUnsentFailures = table.lastSerial, now, false
	}
	return next
}

// record puts a row into the table. A member that is heard from directly and through peers
// in turn keeps its slot. The caller holds mu.
func (table *Table) record(added row, isDirect bool) {
	current := table.rows[added.Member.Name]
	if current == nil {
		index, _ := slices.BinarySearch(table.names, added.Member.Name)
		table.names = slices.Insert(table.names, index, added.Member.Name)
	} else if current.Member.Incarnation == added.Member.Incarnation {
		added.slot, added.announced, added.lastDirect = current.slot, current.announced, current.lastDirect
		if added.Report.Tenants == nil {
			added.Report.Tenants = current.Report.Tenants // reported only once per window
		}
	}
	if isDirect {
		added.lastDirect = max(added.lastDirect, added.lastHeard)
		if added.slot == 0 {
			table.lastSlot++
			added.slot = table.lastSlot
		}
	}
	if added.slot > 0 {
		added.announced = table.nextAnnouncement(added.announced, added.Session, table.World.Now())
	}
	added.checksum = added.Member.checksum()
	table.rows[added.Member.Name] = &added
}

// Share merges a peer's sessions into the table, and replies with the slots whose contents
// are missing.
func (table *Table) Share(message ShareMessage, reply *ShareMessage) error {
	if err := message.unpack(); err != nil {
		return err
	}
	table.Registers.LearnCore(message.Core)
	missing, sessions := table.resolve(message)
	table.merge(message.From, sessions)
	core := table.Registers.Core()
	*reply = ShareMessage{From: table.Self.Incarnation, Epoch: core.Epoch, Lacks: missing}
	if message.Epoch < core.Epoch {
		reply.Core = core
	}
	return nil
}

// resolve returns the sessions that the marks name, with the contents received now or
// earlier, and the slots for which the content is missing.
func (table *Table) resolve(message ShareMessage) (missing []uint64, sessions []Session) {
	now := table.World.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	peer := table.received[message.From]
	if peer == nil {
		peer = &peerSessions{}
		table.received[message.From] = peer
	}
	peer.lastHeard = now
	previous := peer.slots
	peer.slots = map[uint64]receivedContent{}
	sent := map[uint64]Content{}
	for _, content := range message.Sessions {
		sent[content.Slot] = content
	}
	for _, mark := range message.Marks {
		heardAt := now - time.Duration(mark.Age)*time.Millisecond
		held, known := previous[mark.Slot]
		if content, isSent := sent[mark.Slot]; isSent && (!known || held.serial < content.Serial) {
			held, known = receivedContent{content.Serial, content.Session, heardAt}, true
		}
		if known {
			held.session.Report.Standing = mergeApplied(held.session.Report.Standing, mark.Applied)
			peer.slots[mark.Slot] = held
		}
		if !known || held.serial < mark.Serial {
			missing = append(missing, mark.Slot)
		}
		// If the content is newer than its mark, a later request has overtaken this one,
		// and the mark says nothing new.
		if !known || held.serial != mark.Serial {
			continue
		}
		session := held.session
		session.Age = time.Duration(mark.Age) * time.Millisecond
		session.Member.Uptime += max(0, heardAt-held.at)
		session.Report.Permit = time.Duration(mark.Permit) * time.Millisecond
		if len(mark.Kept) == len(session.Member.Keeps) && len(mark.Kept) > 0 {
			keeps := map[string]TableStatus{}
			for index, region := range slices.Sorted(maps.Keys(session.Member.Keeps)) {
				status := session.Member.Keeps[region]
				status.Age = time.Duration(mark.Kept[index]) * time.Millisecond
				keeps[region] = status
			}
			session.Member.Keeps = keeps
		}
		sessions = append(sessions, session)
	}
	return missing, sessions
}

// mergeApplied returns the versions of the routing tables that a data daemon applies,
// updated from a mark. Versions only increase, so a late mark changes nothing.
func mergeApplied(current map[string]uint64, announced []uint64) map[string]uint64 {
	if len(announced) == 0 || len(announced) != len(current) {
		return current
	}
	out := make(map[string]uint64, len(current))
	for index, region := range slices.Sorted(maps.Keys(current)) {
		out[region] = max(current[region], announced[index])
	}
	return out
}

// merge records the sessions received from the peer with the incarnation from, including
// the peer's own session.
func (table *Table) merge(from string, sessions []Session) {
	now := table.World.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, received := range sessions {
		lastHeard := now - received.Age
		current := table.rows[received.Member.Name]
		_, hasEnded := table.ended[received.Member.Incarnation]
		if hasEnded || received.Member.Name == table.Self.Name || current != nil && current.lastHeard >= lastHeard {
			continue
		}
		// The peer's own session counts as a direct heartbeat and is shared with other
		// peers. Control daemons that are in nobody's seed list find each other this way.
		table.record(row{Session: received, lastHeard: lastHeard}, received.Member.Incarnation == from)
	}
}

// buildShare returns the request for a peer, without the contents that the peer is known to
// have, and the state that the peer has after receiving it.
func (table *Table) buildShare(address string) (ShareMessage, *peerState) {
	now := table.World.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	peer := table.peers[address]
	if peer == nil {
		peer = &peerState{}
	}
	isLocal := false
	for _, row := range table.rows {
		isLocal = isLocal || row.Member.Wire == address && row.Member.Region == table.Self.Region
	}
	core := table.Registers.Core()
	out := ShareMessage{From: table.Self.Incarnation, Epoch: core.Epoch}
	if core.Epoch > peer.epoch {
		out.Core = core
	}
	next := &peerState{serials: map[uint64]uint64{}, applied: map[uint64][]uint64{}}
	announce := func(slot uint64, announced announcement, session Session, age time.Duration) {
		mark := Mark{Slot: slot, Serial: announced.remoteSerial, Age: uint64((age + time.Millisecond - 1) / time.Millisecond), Permit: uint64(max(0, session.Report.Permit) / time.Millisecond)}
		if isLocal {
			mark.Serial = announced.localSerial
		}
		for _, region := range slices.Sorted(maps.Keys(session.Member.Keeps)) {
			mark.Kept = append(mark.Kept, uint64((session.Member.Keeps[region].Age+time.Millisecond-1)/time.Millisecond))
		}
		var tableVersions []uint64
		for _, region := range slices.Sorted(maps.Keys(session.Report.Standing)) {
			tableVersions = append(tableVersions, session.Report.Standing[region])
		}
		next.serials[slot], next.applied[slot] = mark.Serial, tableVersions
		isKnown := peer.serials[slot] == mark.Serial
		if isKnown && !slices.Equal(peer.applied[slot], tableVersions) {
			mark.Applied = tableVersions
		}
		out.Marks = append(out.Marks, mark)
		if isKnown {
			return
		}
		if !isLocal {
			session.Report.Near = routing.WithFailures(session.Report.Near)
		}
		if session.Member.Role == Data {
			session.Report.Tenants = nil
		}
		out.Sessions = append(out.Sessions, Content{slot, mark.Serial, session})
	}
	for _, row := range table.rows {
		if row.slot > 0 && now-row.lastDirect < table.SessionTimeout() && now-row.lastHeard < table.SessionTimeout() {
			announce(row.slot, row.announced, row.Session, now-row.lastHeard)
		}
	}
	self := table.ownSession()
	table.ownAnnounced = table.nextAnnouncement(table.ownAnnounced, self, now)
	announce(0, table.ownAnnounced, self, 0)
	sort.Slice(out.Marks, func(a, b int) bool { return out.Marks[a].Slot < out.Marks[b].Slot })
	sort.Slice(out.Sessions, func(a, b int) bool { return out.Sessions[a].Slot < out.Sessions[b].Slot })
	return out, next
}

// recordReply records a peer's state after its reply.
func (table *Table) recordReply(address string, state *peerState, reply *ShareMessage) {
	table.Registers.LearnCore(reply.Core)
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, slot := range reply.Lacks {
		delete(state.serials, slot)
	}
	state.epoch, state.lastReply = reply.Epoch, table.World.Now()
	table.peers[address] = state
}

// Run shares the sessions with all peers at regular intervals, and after urgent heartbeats, until
// World ends.
func (table *Table) Run() {
	table.shareWaker.Run(table.World, func() time.Duration { return table.SessionTimeout() / 6 }, func() bool {
		// The round ends when all members have replied; it doesn't wait for addresses of
		// non-members.
		addresses, members := table.peerAddresses()
		pending := members
		loop.Gather(table.World, len(addresses), table.SessionTimeout()/4, func(index int) bool {
			// A peer that lacks contents, for example after a restart, gets them at once.
			for attempt := 0; attempt < 2; attempt++ {
				message, next := table.buildShare(addresses[index])
				message.pack()
				reply := new(ShareMessage)
				if table.Net.Call(addresses[index], "Session.Share", message, reply, table.SessionTimeout()/4) != nil {
					break
				}
				table.recordReply(addresses[index], next, reply)
				if len(reply.Lacks) == 0 {
					break
				}
			}
			return index < members
		}, func(_ int, isMember bool) bool {
			if isMember {
				pending--
			}
			return members > 0 && pending == 0
		})
		table.sweep()
		return true
	})
}
