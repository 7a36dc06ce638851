// Package register keeps keyed compare-and-set registers on the core: each key
// is decided by itself, in two rounds at a majority, after the published
// single-decree protocol (Paxos, in the register form that CASPaxos gives it).
// There is no log and no leader; any control daemon proposes.
package register

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"maps"
	"sort"
	"strings"
	"sync"

	"swifttiller/disk"
)

// state is everything that an acceptor must not forget.
//
// Invariant: Core.Epoch never falls. Sealed, once true for an epoch, stays so
// until Core is replaced by the next one; while sealed no vote is given. Next is
// the core that the seal was made for.
type state struct {
	ID     string
	Core   Core
	Sealed bool
	Next   Core
	Cells  map[string]Cell
}

// record is one change of the state in the log.
type record struct {
	Key    string
	Cell   Cell
	Whole  *state `json:",omitempty"`
	before Cell   // the cell that this one replaces; not written
	// snapshots is how many were taken before it; not written.
	snapshots uint64
}

// pack is the record as it stands in the log: a line of JSON without the cell's data, and
// the data as they are. Each record stands by itself, and gob would describe its types in
// each anew: that is dear to read, and a start after a power cut reads hundreds of records
// before anybody serves.
func (one record) pack() []byte {
	data := one.Cell.Value.Data
	one.Cell.Value.Data = nil
	head, err := json.Marshal(one)
	if err != nil {
		panic(err) // only our own types come here
	}
	return append(append(head, '\n'), data...)
}

// unpack reads what pack wrote, or what was written before records had lines of JSON.
func (one *record) unpack(data []byte) error {
	if len(data) > 0 && data[0] != '{' {
		return decode(data, one)
	}
	head, tail, _ := bytes.Cut(data, []byte("\n"))
	if err := json.Unmarshal(head, one); err != nil {
		return err
	}
	if len(tail) > 0 {
		one.Cell.Value.Data = tail
	}
	return nil
}

// Acceptor is one vote of the core.
//
// Lock order: guard before the store's own. Replies wait for the disk outside
// guard, so a slow disk holds up no table.
//
// Invariant: pending has a key exactly while some record of it may not last yet,
// with the newest cell of it that does; so what a Query shows always lasts, and
// a disk that is slow, full or sick holds up no reader.
type Acceptor struct {
	guard   sync.Mutex
	state   state
	store   *disk.Store
	pending map[string]*pending
	whole   int // records of the whole state that may not last yet
	// snapshots counts those taken; durable is the number of the last one that lasts, and with
	// it each record from before it. failed are records that the disk did not keep, by key and
	// since the last snapshot or before it, as counts: a disk may stay full for long.
	snapshots, durable uint64
	failed             map[failure]*lapsed
	sums               map[string]summed // of long values, by key
	// Moved, if set, is told of a core that this acceptor has learned.
	Moved func(Core)
	// Name is its daemon's, for whoever makes a core.
	Name string
}

// failure names failed records that the same snapshot makes durable: of a key, or of the
// whole state where it is none, and whether they came before the last snapshot.
type failure struct {
	key       string
	isCovered bool
}

// lapsed are such records: how many, and the newest of them.
type lapsed struct {
	records int
	newest  *record
}

// summed is the sum of the value that was accepted under the ballot, which names one
// value for good.
type summed struct {
	accepted Ballot
	sum      Sum
}

// sum gives the sum of a cell's value; who holds the guard calls it.
func (acceptor *Acceptor) sum(key string, cell Cell) Sum {
	have := acceptor.sums[key]
	if have.accepted != cell.Accepted {
		if acceptor.sums == nil {
			acceptor.sums = map[string]summed{}
		}
		have = summed{cell.Accepted, cell.Value.sum()}
		acceptor.sums[key] = have
	}
	return have.sum
}

// pending is a key with records that may not last yet.
type pending struct {
	lasting Cell
	records int
	// overtaken by a record of the whole state, after which only the disk's order
	// tells what lasts.
	overtaken bool
}

// OpenAcceptor brings the acceptor back from its disk, or makes one with a new
// identity when the disk is new. A new one belongs to no core and votes on
// nothing.
func OpenAcceptor(options disk.Options, id string) (*Acceptor, error) {
	acceptor := &Acceptor{state: state{ID: id, Cells: map[string]Cell{}}, pending: map[string]*pending{}}
	options.Snapshot, options.Folded = acceptor.snapshot, acceptor.folded
	store, value, records, fresh, err := disk.Open(options)
	if err != nil {
		return nil, err
	}
	acceptor.store = store
	if fresh {
		return acceptor, store.Fold()
	}
	if err := decode(value, &acceptor.state); err != nil {
		return nil, &disk.Corrupt{File: "slot", Reason: err.Error()}
	}
	if acceptor.state.Cells == nil {
		acceptor.state.Cells = map[string]Cell{}
	}
	for _, data := range records {
		var one record
		if err := one.unpack(data); err != nil {
			return nil, &disk.Corrupt{File: "log", Reason: err.Error()}
		}
		if one.Whole != nil {
			acceptor.state = *one.Whole
			if acceptor.state.Cells == nil {
				acceptor.state.Cells = map[string]Cell{}
			}
		} else {
			acceptor.state.Cells[one.Key] = one.Cell
		}
	}
	return acceptor, nil
}

func encode(value any) []byte {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(value); err != nil {
		panic(err) // only our own types come here
	}
	return body.Bytes()
}

func decode(data []byte, value any) error { return gob.NewDecoder(bytes.NewReader(data)).Decode(value) }

// ID is the acceptor's identity.
func (acceptor *Acceptor) ID() string {
	acceptor.guard.Lock()
	defer acceptor.guard.Unlock()
	return acceptor.state.ID
}

// change runs the step on the state under the lock, enqueues the record that it
// gives, and waits for everything enqueued so far to last, so that no answer
// shows what a crash could still take away.
func (acceptor *Acceptor) change(step func(state *state) *record) error {
	return acceptor.changes(func(state *state) []*record {
		if one := step(state); one != nil {
			return []*record{one}
		}
		return nil
	})
}

// begin notes a record that may not last yet.
func (acceptor *Acceptor) begin(one *record) {
	if one.Whole != nil {
		acceptor.whole++
		for _, line := range acceptor.pending {
			line.overtaken = true
		}
		return
	}
	line := acceptor.pending[one.Key]
	if line == nil {
		line = &pending{lasting: one.before}
		acceptor.pending[one.Key] = line
	}
	line.records++
}

// lasts notes that a record lasts. Waiters may be woken out of order.
func (acceptor *Acceptor) lasts(one *record) {
	if one.Whole != nil {
		acceptor.whole--
		return
	}
	line := acceptor.pending[one.Key]
	if line.records--; line.records == 0 {
		delete(acceptor.pending, one.Key)
	} else if line.lasting.Accepted.Less(one.Cell.Accepted) || line.lasting.Promised.Less(one.Cell.Promised) {
		line.lasting = one.Cell
	}
}

// snapshot is the whole state for a slot. Records still in line are in it
// already; as each is a whole cell or state, writing them again after it ends
// at the same state.
func (acceptor *Acceptor) snapshot() []byte {
	acceptor.guard.Lock()
	defer acceptor.guard.Unlock()
	acceptor.snapshots++
	for at, one := range acceptor.failed {
		if !at.isCovered {
			delete(acceptor.failed, at)
			acceptor.lapse(failure{at.key, true}, one.newest, one.records)
		}
	}
	return encode(&acceptor.state)
}

// lapse counts records that the disk did not keep; who holds the guard calls it.
func (acceptor *Acceptor) lapse(at failure, newest *record, records int) {
	if acceptor.failed == nil {
		acceptor.failed = map[failure]*lapsed{}
	}
	one := acceptor.failed[at]
	if one == nil {
		one = &lapsed{}
		acceptor.failed[at] = one
	}
	one.records += records
	if one.newest == nil || one.newest.Cell.Accepted.Less(newest.Cell.Accepted) || one.newest.Cell.Promised.Less(newest.Cell.Promised) {
		one.newest = newest
	}
}

// folded notes that the last snapshot lasts. A vote that failed for the disk was told as
// failed; that what it wrote lasts after all is as if the answer had been lost.
func (acceptor *Acceptor) folded() {
	acceptor.guard.Lock()
	defer acceptor.guard.Unlock()
	acceptor.durable = acceptor.snapshots
	for at, one := range acceptor.failed {
		if !at.isCovered {
			continue
		}
		delete(acceptor.failed, at)
		for range one.records {
			acceptor.lasts(one.newest)
		}
	}
}

// settled notes what became of records on the disk.
func (acceptor *Acceptor) settled(records []*record, err error) {
	acceptor.guard.Lock()
	defer acceptor.guard.Unlock()
	for _, one := range records {
		if err == nil || one.snapshots < acceptor.durable {
			acceptor.lasts(one)
		} else {
			acceptor.lapse(failure{one.Key, one.snapshots < acceptor.snapshots}, one, 1)
		}
	}
}

// Standing of a vote.
const (
	Voted     = iota // the vote is given and lasts
	Outvoted         // a higher ballot was promised
	Elsewhere        // not of this epoch, or sealed, or no member
	Sick             // the disk does not keep
	Lacking          // the value of the sum is not held
)

// Ask is a request for a vote. Epoch binds it to one core. Have is the ballot whose
// value the asker holds already, and Sum that value's if it is long. An Accept with a sum
// has no value: it is the one that the acceptor holds under whatever ballot.
type Ask struct {
	Epoch  uint64
	Key    string
	Ballot Ballot
	Value  Value
	Have   Ballot
	Sum    Sum
}

// Vote answers an Ask. A given vote names no core, as it is the asked one; the cell
// has what was promised only where that outvotes the ask, and what was accepted only in an
// answer to Prepare, its value only if the asker does not hold it: IsHeld tells that it does,
// under another ballot.
type Vote struct {
	ID     string
	Kind   int
	Cell   Cell
	IsHeld bool
	Core   Core
	Sealed bool
	Next   Core
	Mishap string
}

func (acceptor *Acceptor) elsewhere(state *state, epoch uint64, vote *Vote) bool {
	vote.ID = state.ID
	if state.Core.Epoch == epoch && epoch > 0 && !state.Sealed && state.Core.Has(state.ID) {
		return false
	}
	vote.Kind, vote.Core, vote.Sealed, vote.Next = Elsewhere, state.Core, state.Sealed, state.Next
	return true
}

func (vote *Vote) settle(err error) {
	if err != nil {
		*vote = Vote{ID: vote.ID, Kind: Sick, Mishap: err.Error()}
	}
}

// Prepare promises to decline lower ballots and gives what was accepted.
func (acceptor *Acceptor) Prepare(ask Ask, vote *Vote) error {
	vote.settle(acceptor.change(func(state *state) *record { return acceptor.prepare(state, ask, vote) }))
	return nil
}

func (acceptor *Acceptor) prepare(state *state, ask Ask, vote *Vote) *record {
	if acceptor.elsewhere(state, ask.Epoch, vote) {
		return nil
	}
	cell := state.Cells[ask.Key]
	if !cell.Promised.Less(ask.Ballot) {
		vote.Kind, vote.Cell.Promised = Outvoted, cell.Promised
		return nil
	}
	vote.Cell.Accepted = cell.Accepted
	switch {
	case cell.Accepted == ask.Have:
	case ask.Sum != Sum{} && cell.Value.isLong() && acceptor.sum(ask.Key, cell) == ask.Sum:
		vote.IsHeld = true
	default:
		vote.Cell.Value = cell.Value
	}
	before := cell
	cell.Promised = ask.Ballot
	state.Cells[ask.Key] = cell
	return &record{Key: ask.Key, Cell: cell, before: before}
}

// Accept takes a value, unless a higher ballot was promised.
func (acceptor *Acceptor) Accept(ask Ask, vote *Vote) error {
	vote.settle(acceptor.change(func(state *state) *record { return acceptor.accept(state, ask, vote) }))
	return nil
}

func (acceptor *Acceptor) accept(state *state, ask Ask, vote *Vote) *record {
	if acceptor.elsewhere(state, ask.Epoch, vote) {
		return nil
	}
	cell := state.Cells[ask.Key]
	if ask.Ballot.Less(cell.Promised) {
		vote.Kind, vote.Cell.Promised = Outvoted, cell.Promised
		return nil
	}
	before := cell
	if (ask.Sum != Sum{}) {
		if !cell.Value.isLong() || acceptor.sum(ask.Key, cell) != ask.Sum {
			vote.Kind = Lacking
			return nil
		}
		ask.Value = cell.Value
	}
	cell = Cell{Promised: ask.Ballot, Accepted: ask.Ballot, Value: ask.Value}
	state.Cells[ask.Key] = cell
	return &record{Key: ask.Key, Cell: cell, before: before}
}

// Look asks for cells by key, without a promise, and for the names under a prefix.
type Look struct {
	Epoch uint64
	Keys  Keys
	// Marks are, in the order of the keys, those of the ballots whose values the asker
	// holds already; zero for nothing.
	Marks  []Mark
	Prefix string
	// Brief asks for the sums of long values in their place.
	Brief bool
}

// Seen answers a Look. A key that was asked for and is not in it is held as the asker
// has it. A key in Long has the sum there in place of its value, of which the cell has
// the serial alone. Names are those under the prefix that were ever written.
type Seen struct {
	Vote
	Cells map[string]Cell
	Names Keys
	Long  map[string]Sum
}

// Query shows what is held. What it shows lasts: of a key with records in line
// for the disk it shows the newest cell that does, as if it had come before them.
// It waits for the disk only while a change of the core is in line.
func (acceptor *Acceptor) Query(look Look, seen *Seen) error {
	isShown := false
	step := func(state *state) *record {
		if acceptor.elsewhere(state, look.Epoch, &seen.Vote) {
			return nil
		}
		seen.Cells = map[string]Cell{}
		show := func(key string) {
			cell := state.Cells[key]
			if line := acceptor.pending[key]; line != nil && isShown {
				cell = line.lasting
			}
			seen.Cells[key] = cell
		}
		for index, key := range look.Keys {
			show(key)
			cell := seen.Cells[key]
			switch {
			case index < len(look.Marks) && cell.Accepted.mark() == look.Marks[index]:
				delete(seen.Cells, key)
			case look.Brief && cell.Value.isLong():
				if seen.Long == nil {
					seen.Long = map[string]Sum{}
				}
				seen.Long[key] = acceptor.sum(key, cell)
				seen.Cells[key] = Cell{Accepted: cell.Accepted, Value: Value{Serial: cell.Value.Serial}}
			}
		}
		if look.Prefix != "" {
			for key, cell := range state.Cells {
				if strings.HasPrefix(key, look.Prefix) && cell.Value.Serial > 0 {
					seen.Names = append(seen.Names, key)
				}
			}
			sort.Strings(seen.Names)
		}
		return nil
	}
	acceptor.guard.Lock()
	isShown = acceptor.whole == 0
	for _, line := range acceptor.pending {
		isShown = isShown && !line.overtaken
	}
	if isShown {
		step(&acceptor.state)
	}
	acceptor.guard.Unlock()
	if isShown {
		return nil
	}
	if err := acceptor.change(step); err != nil {
		*seen = Seen{Vote: Vote{ID: seen.ID, Kind: Sick, Mishap: err.Error()}}
	}
	return nil
}

// About is what anyone may ask of an acceptor, sick or not.
type About struct {
	ID     string
	Name   string
	Core   Core
	Sealed bool
	Next   Core
	Keys   int
	Disk   disk.Vitals
}

// Cells are copies of all that the acceptor holds, for checks of its invariants.
func (acceptor *Acceptor) Cells() map[string]Cell {
	acceptor.guard.Lock()
	defer acceptor.guard.Unlock()
	return maps.Clone(acceptor.state.Cells)
}

// Describe tells of the acceptor. It never waits for the disk.
func (acceptor *Acceptor) Describe(_ struct{}, about *About) error {
	acceptor.guard.Lock()
	defer acceptor.guard.Unlock()
	state := &acceptor.state
	*about = About{ID: state.ID, Name: acceptor.Name, Core: state.Core, Sealed: state.Sealed, Next: state.Next, Keys: len(state.Cells), Disk: acceptor.store.Vitals()}
	return nil
}
