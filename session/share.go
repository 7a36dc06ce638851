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

// packedFrom is from how many contents on they are packed: fewer are short.
const packedFrom = 4

// pack packs the contents, if they are many.
func (shared *Shared) pack() {
	if len(shared.Sessions) >= packedFrom {
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
	var before Mark
	for _, one := range marks {
		flags := uint64(0)
		if len(one.Kept) > 0 {
			flags |= hasKept
		}
		if len(one.Applied) > 0 {
			flags |= hasApplied
		}
		out = binary.AppendUvarint(out, (one.Slot-before.Slot)<<flagBits|flags)
		out = binary.AppendVarint(out, int64(one.Serial-before.Serial))
		out = binary.AppendUvarint(out, one.Age)
		out = binary.AppendUvarint(out, one.Permit)
		if flags&hasKept > 0 {
			list(one.Kept)
		}
		if flags&hasApplied > 0 {
			list(one.Applied)
		}
		before = one
	}
	return out, nil
}

var errMarks = errors.New("session: marks that came can't be read")

// GobDecode reads them.
func (marks *Marks) GobDecode(data []byte) error {
	*marks = nil
	isWhole := true
	number := func() uint64 {
		out, read := binary.Uvarint(data)
		isWhole = isWhole && read > 0
		data = data[max(0, read):]
		return out
	}
	list := func() (out []uint64) {
		for count := number(); isWhole && count > 0; count-- {
			out = append(out, number())
		}
		return out
	}
	var before Mark
	for len(data) > 0 {
		head := number()
		delta, read := binary.Varint(data)
		isWhole = isWhole && read > 0
		data = data[max(0, read):]
		one := Mark{Slot: before.Slot + head>>flagBits, Serial: before.Serial + uint64(delta), Age: number(), Permit: number()}
		if head&hasKept > 0 {
			one.Kept = list()
		}
		if head&hasApplied > 0 {
			one.Applied = list()
		}
		if !isWhole {
			return errMarks
		}
		*marks, before = append(*marks, one), one
	}
	return nil
}

// Content is a session's content.
type Content struct {
	Slot, Serial uint64
	Session      Session
}

// told is what is told of a row: its content with what marks tell left out, and the
// serials that it has for colleagues in the same region and elsewhere.
//
// Invariant: isOwed exactly while colleagues elsewhere have not been told of mishaps that
// the content has.
type told struct {
	content    Session
	near, far  uint64
	at         time.Duration // when the far serial was given
	hasContent bool
	isOwed     bool
}

// tale is what a colleague tells.
type tale struct {
	heard time.Duration
	slots map[uint64]heard
}

type heard struct {
	serial uint64
	// session is as it was when it was heard, at.
	session Session
	at      time.Duration
}

// colleague is what another control daemon is known to have of this one's sessions:
// serials by slot, and the standings applied.
type colleague struct {
	serials  map[uint64]uint64
	applied  map[uint64][]uint64
	epoch    uint64
	answered time.Duration
}

// slowly is how many sessions apart counts alone are told again.
const slowly = 20

// Sum is a sum over who the members are, in their order, and not over how long they have been
// up, what they hold and what they keep.
func Sum(members []Member) (sum uint64) {
	for at := range members {
		sum = joined(sum, members[at].sum())
	}
	return max(1, sum)
}

// joined is the sum of some members and one more.
func joined(sum, one uint64) uint64 { return sum*1099511628211 + one }

// sum is a member's part of a sum.
func (member *Member) sum() uint64 {
	sum := fnv.New64a()
	for _, word := range []string{member.Name, member.Incarnation, member.Role, member.Region, member.Zone, member.Wire, member.HTTP, member.Door, member.Acceptor, strconv.FormatBool(member.Leaving)} {
		_, _ = sum.Write([]byte(word))
		_, _ = sum.Write([]byte{0})
	}
	return Spread(sum.Sum64())
}

// content is the session without what marks tell.
func content(session Session) Session {
	session.Age, session.Member.Uptime, session.Report.Permit = 0, 0, 0
	keeps := session.Member.Keeps
	session.Member.Keeps = nil
	if session.Member.Role == Data {
		session.Report.Tenants = nil // its control daemon tells the sum
	}
	if len(keeps) > 0 {
		session.Member.Keeps = map[string]Keeping{}
		for region, one := range keeps {
			one.Age = 0
			session.Member.Keeps[region] = one
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

// next gives what is told of a session from now on. Of the near outcomes colleagues
// elsewhere are told the mishaps alone, once a session at the most; counts alone make
// nobody listen again soon.
func (table *Table) next(before told, session Session, now time.Duration) told {
	next := before
	next.content = content(session)
	isSame := before.hasContent && reflect.DeepEqual(before.content, next.content)
	if isSame && !before.isOwed {
		return before
	}
	if table.serials++; !isSame {
		next.near, next.hasContent = table.serials, true
	}
	older, newer := before.content, next.content
	next.isOwed = before.isOwed || !slices.Equal(standing.Wrong(older.Report.Near), standing.Wrong(newer.Report.Near))
	for _, one := range []*Session{&older, &newer} {
		one.Report.Near, one.Report.Declined = nil, nil
		one.Report.Demanded, one.Report.Retries, one.Report.Allowed, one.Report.Queue = 0, 0, 0, 0
	}
	age := now - before.at
	if !before.hasContent || age > slowly*table.Span() || next.isOwed && age >= table.Span() || !reflect.DeepEqual(older, newer) {
		next.far, next.at, next.isOwed = table.serials, now, false
	}
	return next
}

// hear takes a row into the table; who holds the guard calls it. A member that is heard
// first hand and through others by turns keeps its slot.
func (table *Table) hear(one row, isFirstHand bool) {
	have := table.rows[one.Member.Name]
	if have == nil {
		at, _ := slices.BinarySearch(table.names, one.Member.Name)
		table.names = slices.Insert(table.names, at, one.Member.Name)
	} else if have.Member.Incarnation == one.Member.Incarnation {
		one.slot, one.told, one.firstHand = have.slot, have.told, have.firstHand
		if one.Report.Tenants == nil {
			one.Report.Tenants = have.Report.Tenants // told once a window
		}
	}
	if isFirstHand {
		one.firstHand = max(one.firstHand, one.heard)
		if one.slot == 0 {
			table.slots++
			one.slot = table.slots
		}
	}
	if one.slot > 0 {
		one.told = table.next(one.told, one.Session, table.World.Now())
	}
	one.sum = one.Member.sum()
	table.rows[one.Member.Name] = &one
}

// Share takes a colleague's sessions, and says what it did not understand.
func (table *Table) Share(shared Shared, back *Shared) error {
	if err := shared.unpack(); err != nil {
		return err
	}
	table.Keeper.Learn(shared.Core)
	lacks, sessions := table.understand(shared)
	table.take(shared.From, sessions)
	core := table.Keeper.Core()
	*back = Shared{From: table.Self.Incarnation, Epoch: core.Epoch, Lacks: lacks}
	if shared.Epoch < core.Epoch {
		back.Core = core
	}
	return nil
}

// understand fills marks with the contents that they name.
func (table *Table) understand(shared Shared) (lacks []uint64, sessions []Session) {
	now := table.World.Now()
	table.guard.Lock()
	defer table.guard.Unlock()
	tells := table.tales[shared.From]
	if tells == nil {
		tells = &tale{}
		table.tales[shared.From] = tells
	}
	tells.heard = now
	before := tells.slots
	tells.slots = map[uint64]heard{}
	fresh := map[uint64]Content{}
	for _, one := range shared.Sessions {
		fresh[one.Slot] = one
	}
	for _, mark := range shared.Marks {
		at := now - time.Duration(mark.Age)*time.Millisecond
		have, known := before[mark.Slot]
		if one, isSent := fresh[mark.Slot]; isSent && (!known || have.serial < one.Serial) {
			have, known = heard{one.Serial, one.Session, at}, true
		}
		if known {
			have.session.Report.Standing = applied(have.session.Report.Standing, mark.Applied)
			tells.slots[mark.Slot] = have
		}
		if !known || have.serial < mark.Serial {
			lacks = append(lacks, mark.Slot)
		}
		// A content that is newer than its mark belongs to a call that has overtaken
		// this one; nothing is to be learned.
		if !known || have.serial != mark.Serial {
			continue
		}
		session := have.session
		session.Age = time.Duration(mark.Age) * time.Millisecond
		session.Member.Uptime += max(0, at-have.at)
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

// applied gives the standings that a data daemon applies, of which a mark told some anew.
// They rise, so what comes late changes nothing.
func applied(have map[string]uint64, told []uint64) map[string]uint64 {
	if len(told) == 0 || len(told) != len(have) {
		return have
	}
	out := make(map[string]uint64, len(have))
	for index, region := range slices.Sorted(maps.Keys(have)) {
		out[region] = max(have[region], told[index])
	}
	return out
}

// take takes sessions that the incarnation of a colleague tells, its own among them.
func (table *Table) take(from string, sessions []Session) {
	now := table.World.Now()
	table.guard.Lock()
	defer table.guard.Unlock()
	for _, one := range sessions {
		heard := now - one.Age
		have := table.rows[one.Member.Name]
		_, gone := table.over[one.Member.Incarnation]
		if gone || one.Member.Name == table.Self.Name || have != nil && have.heard >= heard {
			continue
		}
		// A colleague's own word is heard first hand and passed on like a beat:
		// control daemons that are nobody's seed learn of each other by it.
		table.hear(row{Session: one, heard: heard}, one.Member.Incarnation == from)
	}
}

// give is what to tell a colleague that has what is given.
func (table *Table) give(address string) (Shared, *colleague) {
	now := table.World.Now()
	table.guard.Lock()
	defer table.guard.Unlock()
	have := table.colleaguesHave[address]
	if have == nil {
		have = &colleague{}
	}
	isNear := false
	for _, one := range table.rows {
		isNear = isNear || one.Member.Wire == address && one.Member.Region == table.Self.Region
	}
	core := table.Keeper.Core()
	out := Shared{From: table.Self.Incarnation, Epoch: core.Epoch}
	if core.Epoch > have.epoch {
		out.Core = core
	}
	next := &colleague{serials: map[uint64]uint64{}, applied: map[uint64][]uint64{}}
	tell := func(slot uint64, told told, session Session, age time.Duration) {
		mark := Mark{Slot: slot, Serial: told.far, Age: uint64((age + time.Millisecond - 1) / time.Millisecond), Permit: uint64(max(0, session.Report.Permit) / time.Millisecond)}
		if isNear {
			mark.Serial = told.near
		}
		for _, region := range slices.Sorted(maps.Keys(session.Member.Keeps)) {
			mark.Kept = append(mark.Kept, uint64((session.Member.Keeps[region].Age+time.Millisecond-1)/time.Millisecond))
		}
		var standings []uint64
		for _, region := range slices.Sorted(maps.Keys(session.Report.Standing)) {
			standings = append(standings, session.Report.Standing[region])
		}
		next.serials[slot], next.applied[slot] = mark.Serial, standings
		isTold := have.serials[slot] == mark.Serial
		if isTold && !slices.Equal(have.applied[slot], standings) {
			mark.Applied = standings
		}
		out.Marks = append(out.Marks, mark)
		if isTold {
			return
		}
		if !isNear {
			session.Report.Near = standing.Wrong(session.Report.Near)
		}
		if session.Member.Role == Data {
			session.Report.Tenants = nil
		}
		out.Sessions = append(out.Sessions, Content{slot, mark.Serial, session})
	}
	for _, one := range table.rows {
		if one.slot > 0 && now-one.firstHand < table.Span() && now-one.heard < table.Span() {
			tell(one.slot, one.told, one.Session, now-one.heard)
		}
	}
	self := table.word()
	table.own = table.next(table.own, self, now)
	tell(0, table.own, self, 0)
	sort.Slice(out.Marks, func(a, b int) bool { return out.Marks[a].Slot < out.Marks[b].Slot })
	sort.Slice(out.Sessions, func(a, b int) bool { return out.Sessions[a].Slot < out.Sessions[b].Slot })
	return out, next
}

// answered notes what a colleague has now.
func (table *Table) answered(address string, now *colleague, back *Shared) {
	table.Keeper.Learn(back.Core)
	table.guard.Lock()
	defer table.guard.Unlock()
	for _, slot := range back.Lacks {
		delete(now.serials, slot)
	}
	now.epoch, now.answered = back.Epoch, table.World.Now()
	table.colleaguesHave[address] = now
}

// Run shares the sessions with the colleagues until the world ends.
func (table *Table) Run() {
	loop.Every(table.World, func() time.Duration { return table.Span() / 6 }, func() bool {
		// Nobody waits for addresses that lead to no member while the members answer.
		addresses, members := table.colleagues()
		left := members
		loop.Gather(table.World, len(addresses), table.Span()/4, func(index int) bool {
			// One that lacks something, as it began anew, is told at once.
			for try := 0; try < 2; try++ {
				shared, next := table.give(addresses[index])
				shared.pack()
				back := new(Shared)
				if table.Net.Call(addresses[index], "Session.Share", shared, back, table.Span()/4) != nil {
					break
				}
				table.answered(addresses[index], next, back)
				if len(back.Lacks) == 0 {
					break
				}
			}
			return index < members
		}, func(_ int, isMember bool) bool {
			if isMember {
				left--
			}
			return members > 0 && left == 0
		})
		table.sweep()
		return true
	})
}
