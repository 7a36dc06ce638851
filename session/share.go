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
	"swifttiller/standing"
	"swifttiller/wire"
)

// Shared is what one control daemon tells another, and the other's answer.
//
// Invariant: a call's Marks name all sessions that the caller has heard first hand,
// its own word (slot 0) included; Sessions are those of them whose contents the callee
// is not known to have.
type Shared struct {
	From     string // the incarnation of who tells
	Marks    Marks
	Sessions []Content
	// Packed are Sessions in their place, where they are many: most of what one daemon's
	// has, such as names of replicas, others' have, too.
	Packed []byte
	// Epoch is the teller's core's. Core is left out where the other knows it.
	Epoch uint64
	Core  register.Core
	// Lacks are, in an answer, the slots whose contents the callee does not have, or
	// has older.
	Lacks []uint64
}

// minPacked is from how many contents on they are packed: fewer are short.
const minPacked = 4

// pack packs the contents, if they are many.
func (shared *Shared) pack() {
	if len(shared.Sessions) >= minPacked {
		shared.Packed, shared.Sessions = wire.PackValue(shared.Sessions), nil
	}
}

// unpack gives contents that came packed back.
func (shared *Shared) unpack() error {
	if len(shared.Packed) == 0 {
		return nil
	}
	packed := shared.Packed
	shared.Packed = nil
	return wire.UnpackValue(packed, &shared.Sessions)
}

// Mark says that a session stands: its content under the serial is the teller's newest,
// and it was heard Age ago. Times are in milliseconds, rounded to the careful side.
type Mark struct {
	Slot, Serial uint64
	Age          uint64
	// Permit is what a data daemon's permit had left when it was heard.
	Permit uint64
	// Kept are, in the order of their regions, the ages of what a control daemon keeps.
	Kept []uint64
	// Applied are, in the order of their regions, the standings that a data daemon
	// applies; left out where the callee has been told them.
	Applied []uint64
}

// Marks are those of a call, in the order of their slots. On the wire each is told by what
// it differs in from the one before it: most of what control daemons tell each other in calm
// is marks.
type Marks []Mark

// What a mark's slot is told with: whether lists follow.
const (
	hasKept    = 1
	hasApplied = 2
	flagBits   = 2
)

// GobEncode gives them as they travel.
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

var errMarks = errors.New("session: marks that came can't be read")

// GobDecode reads them.
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

// Content is a session's content.
type Content struct {
	Slot, Serial uint64
	Session      Session
}

// announcement is what is told of a row: its content with what marks tell left out, and the
// serials that it has for colleagues in the same region and elsewhere.
//
// Invariant: isOwed exactly while colleagues elsewhere have not been told of mishaps that
// the content has.
type announcement struct {
	content                   Session
	localSerial, remoteSerial uint64
	remoteAt                  time.Duration // when the far serial was given
	hasContent                bool
	hasUnsentFailures         bool
}

// peerSessions is what a colleague tells.
type peerSessions struct {
	lastHeard time.Duration
	slots     map[uint64]receivedContent
}

type receivedContent struct {
	serial uint64
	// session is as it was when it was heard, at.
	session Session
	at      time.Duration
}

// peerState is what another control daemon is known to have of this one's sessions:
// serials by slot, and the standings applied.
type peerState struct {
	serials   map[uint64]uint64
	applied   map[uint64][]uint64
	epoch     uint64
	lastReply time.Duration
}

// counterSpans is how many sessions apart counts alone are told again.
const counterSpans = 20

// Sum is a sum over who the members are, in their order, and not over how long they have been
// up, what they hold and what they keep.
func Sum(members []Member) (sum uint64) {
	for at := range members {
		sum = combine(sum, members[at].checksum())
	}
	return max(1, sum)
}

// combine is the sum of some members and one more.
func combine(sum, member uint64) uint64 { return sum*1099511628211 + member }

// checksum is a member's part of a sum.
func (member *Member) checksum() uint64 {
	sum := fnv.New64a()
	for _, field := range []string{member.Name, member.Incarnation, member.Role, member.Region, member.Zone, member.Wire, member.HTTP, member.Door, member.Acceptor, strconv.FormatBool(member.Leaving)} {
		_, _ = sum.Write([]byte(field))
		_, _ = sum.Write([]byte{0})
	}
	return Spread(sum.Sum64())
}

// contentOf is the session without what marks tell.
func contentOf(session Session) Session {
	session.Age, session.Member.Uptime, session.Report.Permit = 0, 0, 0
	keeps := session.Member.Keeps
	session.Member.Keeps = nil
	if session.Member.Role == Data {
		session.Report.Tenants = nil // its control daemon tells the sum
	}
	if len(keeps) > 0 {
		session.Member.Keeps = map[string]Keeping{}
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

// nextAnnouncement gives what is told of a session from now on. Of the near outcomes colleagues
// elsewhere are told the mishaps alone, once a session at the most; counts alone make
// nobody listen again soon.
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
	next.hasUnsentFailures = previous.hasUnsentFailures || !slices.Equal(standing.Wrong(oldContent.Report.Near), standing.Wrong(newContent.Report.Near))
	for _, session := range []*Session{&oldContent, &newContent} {
		session.Report.Near, session.Report.Declined = nil, nil
		session.Report.Demanded, session.Report.Retries, session.Report.Allowed, session.Report.Queue = 0, 0, 0, 0
	}
	age := now - previous.remoteAt
	if !previous.hasContent || age > counterSpans*table.Span() || next.hasUnsentFailures && age >= table.Span() || !reflect.DeepEqual(oldContent, newContent) {
		next.remoteSerial, next.remoteAt, next.hasUnsentFailures = table.lastSerial, now, false
	}
	return next
}

// record takes a row into the table; who holds the guard calls it. A member that is heard
// first hand and through others by turns keeps its slot.
func (table *Table) record(added row, isDirect bool) {
	current := table.rows[added.Member.Name]
	if current == nil {
		index, _ := slices.BinarySearch(table.names, added.Member.Name)
		table.names = slices.Insert(table.names, index, added.Member.Name)
	} else if current.Member.Incarnation == added.Member.Incarnation {
		added.slot, added.announced, added.lastDirect = current.slot, current.announced, current.lastDirect
		if added.Report.Tenants == nil {
			added.Report.Tenants = current.Report.Tenants // told once a window
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

// Share takes a colleague's sessions, and says what it did not understand.
func (table *Table) Share(shared Shared, reply *Shared) error {
	if err := shared.unpack(); err != nil {
		return err
	}
	table.Keeper.Learn(shared.Core)
	lacks, sessions := table.resolve(shared)
	table.merge(shared.From, sessions)
	core := table.Keeper.Core()
	*reply = Shared{From: table.Self.Incarnation, Epoch: core.Epoch, Lacks: lacks}
	if shared.Epoch < core.Epoch {
		reply.Core = core
	}
	return nil
}

// resolve fills marks with the contents that they name.
func (table *Table) resolve(shared Shared) (lacks []uint64, sessions []Session) {
	now := table.World.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	peer := table.received[shared.From]
	if peer == nil {
		peer = &peerSessions{}
		table.received[shared.From] = peer
	}
	peer.lastHeard = now
	previous := peer.slots
	peer.slots = map[uint64]receivedContent{}
	sent := map[uint64]Content{}
	for _, one := range shared.Sessions {
		sent[one.Slot] = one
	}
	for _, mark := range shared.Marks {
		heardAt := now - time.Duration(mark.Age)*time.Millisecond
		held, known := previous[mark.Slot]
		if one, isSent := sent[mark.Slot]; isSent && (!known || held.serial < one.Serial) {
			held, known = receivedContent{one.Serial, one.Session, heardAt}, true
		}
		if known {
			held.session.Report.Standing = mergeApplied(held.session.Report.Standing, mark.Applied)
			peer.slots[mark.Slot] = held
		}
		if !known || held.serial < mark.Serial {
			lacks = append(lacks, mark.Slot)
		}
		// A content that is newer than its mark belongs to a call that has overtaken
		// this one; nothing is to be learned.
		if !known || held.serial != mark.Serial {
			continue
		}
		session := held.session
		session.Age = time.Duration(mark.Age) * time.Millisecond
		session.Member.Uptime += max(0, heardAt-held.at)
		session.Report.Permit = time.Duration(mark.Permit) * time.Millisecond
		if len(mark.Kept) == len(session.Member.Keeps) && len(mark.Kept) > 0 {
			keeps := map[string]Keeping{}
			for index, region := range slices.Sorted(maps.Keys(session.Member.Keeps)) {
				one := session.Member.Keeps[region]
				one.Age = time.Duration(mark.Kept[index]) * time.Millisecond
				keeps[region] = one
			}
			session.Member.Keeps = keeps
		}
		sessions = append(sessions, session)
	}
	return lacks, sessions
}

// mergeApplied gives the standings that a data daemon applies, of which a mark told some anew.
// They rise, so what comes late changes nothing.
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

// merge takes sessions that the incarnation of a colleague tells, its own among them.
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
		// A colleague's own word is heard first hand and passed on like a beat:
		// control daemons that are nobody's seed learn of each other by it.
		table.record(row{Session: received, lastHeard: lastHeard}, received.Member.Incarnation == from)
	}
}

// buildShare is what to tell a colleague that has what is given.
func (table *Table) buildShare(address string) (Shared, *peerState) {
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
	core := table.Keeper.Core()
	out := Shared{From: table.Self.Incarnation, Epoch: core.Epoch}
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
		var standings []uint64
		for _, region := range slices.Sorted(maps.Keys(session.Report.Standing)) {
			standings = append(standings, session.Report.Standing[region])
		}
		next.serials[slot], next.applied[slot] = mark.Serial, standings
		isKnown := peer.serials[slot] == mark.Serial
		if isKnown && !slices.Equal(peer.applied[slot], standings) {
			mark.Applied = standings
		}
		out.Marks = append(out.Marks, mark)
		if isKnown {
			return
		}
		if !isLocal {
			session.Report.Near = standing.Wrong(session.Report.Near)
		}
		if session.Member.Role == Data {
			session.Report.Tenants = nil
		}
		out.Sessions = append(out.Sessions, Content{slot, mark.Serial, session})
	}
	for _, row := range table.rows {
		if row.slot > 0 && now-row.lastDirect < table.Span() && now-row.lastHeard < table.Span() {
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

// recordReply notes what a colleague has now.
func (table *Table) recordReply(address string, state *peerState, reply *Shared) {
	table.Keeper.Learn(reply.Core)
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, slot := range reply.Lacks {
		delete(state.serials, slot)
	}
	state.epoch, state.lastReply = reply.Epoch, table.World.Now()
	table.peers[address] = state
}

// Run shares the sessions with the colleagues until the world ends.
func (table *Table) Run() {
	loop.Every(table.World, func() time.Duration { return table.Span() / 6 }, func() bool {
		// Nobody waits for addresses that lead to no member while the members answer.
		addresses, members := table.peerAddresses()
		pending := members
		loop.Gather(table.World, len(addresses), table.Span()/4, func(index int) bool {
			// One that lacks something, as it began anew, is told at once.
			for attempt := 0; attempt < 2; attempt++ {
				shared, next := table.buildShare(addresses[index])
				shared.pack()
				reply := new(Shared)
				if table.Net.Call(addresses[index], "Session.Share", shared, reply, table.Span()/4) != nil {
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
