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
	Key      string
	Cell     Cell
	Whole    *state `json:",omitempty"`
	previous Cell   // the cell that this one replaces; not written
	// snapshots is how many were taken before it; not written.
	snapshots uint64
}

// pack is the record as it stands in the log: a line of JSON without the cell's data, and
// the data as they are. Each record stands by itself, and gob would describe its types in
// each anew: that is dear to read, and a start after a power cut reads hundreds of records
// before anybody serves.
func (entry record) pack() []byte {
	data := entry.Cell.Value.Data
	entry.Cell.Value.Data = nil
	head, err := json.Marshal(entry)
	if err != nil {
		panic(err) // only our own types come here
	}
	return append(append(head, '\n'), data...)
}

// unpack reads what pack wrote, or what was written before records had lines of JSON.
func (entry *record) unpack(data []byte) error {
	if len(data) > 0 && data[0] != '{' {
		return decode(data, entry)
	}
	head, tail, _ := bytes.Cut(data, []byte("\n"))
	if err := json.Unmarshal(head, entry); err != nil {
		return err
	}
	if len(tail) > 0 {
		entry.Cell.Value.Data = tail
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
	mu            sync.Mutex
	state         state
	store         *disk.Store
	pending       map[string]*pendingKey
	pendingStates int // records of the whole state that may not last yet
	// snapshots counts those taken; durable is the number of the last one that lasts, and with
	// it each record from before it. failed are records that the disk did not keep, by key and
	// since the last snapshot or before it, as counts: a disk may stay full for long.
	snapshots, durableSnapshot uint64
	failedRecords              map[failedKey]*failedGroup
	sumCache                   map[string]cachedSum // of long values, by key
	// Moved, if set, is told of a core that this acceptor has learned.
	Moved func(Core)
	// Name is its daemon's, for whoever makes a core.
	Name string
}

// failedKey names failed records that the same snapshot makes durable: of a key, or of the
// whole state where it is none, and whether they came before the last snapshot.
type failedKey struct {
	key       string
	isCovered bool
}

// failedGroup are such records: how many, and the newest of them.
type failedGroup struct {
	count  int
	newest *record
}

// cachedSum is the sum of the value that was accepted under the ballot, which names one
// value for good.
type cachedSum struct {
	accepted Ballot
	sum      Sum
}

// sum gives the sum of a cell's value; who holds the guard calls it.
func (acceptor *Acceptor) sum(key string, cell Cell) Sum {
	cached := acceptor.sumCache[key]
	if cached.accepted != cell.Accepted {
		if acceptor.sumCache == nil {
			acceptor.sumCache = map[string]cachedSum{}
		}
		cached = cachedSum{cell.Accepted, cell.Value.sum()}
		acceptor.sumCache[key] = cached
	}
	return cached.sum
}

// pendingKey is a key with records that may not last yet.
type pendingKey struct {
	durable Cell
	records int
	// isSuperseded by a record of the whole state, after which only the disk's order
	// tells what lasts.
	isSuperseded bool
}

// OpenAcceptor brings the acceptor back from its disk, or makes one with a new
// identity when the disk is new. A new one belongs to no core and votes on
// nothing.
func OpenAcceptor(options disk.Options, id string) (*Acceptor, error) {
	acceptor := &Acceptor{state: state{ID: id, Cells: map[string]Cell{}}, pending: map[string]*pendingKey{}}
	options.Snapshot, options.Folded = acceptor.snapshot, acceptor.snapshotWritten
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
		var entry record
		if err := entry.unpack(data); err != nil {
			return nil, &disk.Corrupt{File: "log", Reason: err.Error()}
		}
		if entry.Whole != nil {
			acceptor.state = *entry.Whole
			if acceptor.state.Cells == nil {
				acceptor.state.Cells = map[string]Cell{}
			}
		} else {
			acceptor.state.Cells[entry.Key] = entry.Cell
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
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	return acceptor.state.ID
}

// applyOne runs the step on the state under the lock, enqueues the record that it
// gives, and waits for everything enqueued so far to last, so that no answer
// shows what a crash could still take away.
func (acceptor *Acceptor) applyOne(step func(state *state) *record) error {
	return acceptor.apply(func(state *state) []*record {
		if entry := step(state); entry != nil {
			return []*record{entry}
		}
		return nil
	})
}

// addPending notes a record that may not last yet.
func (acceptor *Acceptor) addPending(entry *record) {
	if entry.Whole != nil {
		acceptor.pendingStates++
		for _, writes := range acceptor.pending {
			writes.isSuperseded = true
		}
		return
	}
	writes := acceptor.pending[entry.Key]
	if writes == nil {
		writes = &pendingKey{durable: entry.previous}
		acceptor.pending[entry.Key] = writes
	}
	writes.records++
}

// markDurable notes that a record lasts. Waiters may be woken out of order.
func (acceptor *Acceptor) markDurable(entry *record) {
	if entry.Whole != nil {
		acceptor.pendingStates--
		return
	}
	writes := acceptor.pending[entry.Key]
	if writes.records--; writes.records == 0 {
		delete(acceptor.pending, entry.Key)
	} else if writes.durable.Accepted.Less(entry.Cell.Accepted) || writes.durable.Promised.Less(entry.Cell.Promised) {
		writes.durable = entry.Cell
	}
}

// snapshot is the whole state for a slot. Records still in line are in it
// already; as each is a whole cell or state, writing them again after it ends
// at the same state.
func (acceptor *Acceptor) snapshot() []byte {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	acceptor.snapshots++
	for key, group := range acceptor.failedRecords {
		if !key.isCovered {
			delete(acceptor.failedRecords, key)
			acceptor.addFailed(failedKey{key.key, true}, group.newest, group.count)
		}
	}
	return encode(&acceptor.state)
}

// addFailed counts records that the disk did not keep; who holds the guard calls it.
func (acceptor *Acceptor) addFailed(key failedKey, newest *record, count int) {
	if acceptor.failedRecords == nil {
		acceptor.failedRecords = map[failedKey]*failedGroup{}
	}
	group := acceptor.failedRecords[key]
	if group == nil {
		group = &failedGroup{}
		acceptor.failedRecords[key] = group
	}
	group.count += count
	if group.newest == nil || group.newest.Cell.Accepted.Less(newest.Cell.Accepted) || group.newest.Cell.Promised.Less(newest.Cell.Promised) {
		group.newest = newest
	}
}

// snapshotWritten notes that the last snapshot lasts. A vote that failed for the disk was told as
// failed; that what it wrote lasts after all is as if the answer had been lost.
func (acceptor *Acceptor) snapshotWritten() {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	acceptor.durableSnapshot = acceptor.snapshots
	for key, group := range acceptor.failedRecords {
		if !key.isCovered {
			continue
		}
		delete(acceptor.failedRecords, key)
		for range group.count {
			acceptor.markDurable(group.newest)
		}
	}
}

// recordsWritten notes what became of records on the disk.
func (acceptor *Acceptor) recordsWritten(records []*record, err error) {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	for _, entry := range records {
		if err == nil || entry.snapshots < acceptor.durableSnapshot {
			acceptor.markDurable(entry)
		} else {
			acceptor.addFailed(failedKey{entry.Key, entry.snapshots < acceptor.snapshots}, entry, 1)
		}
	}
}

// Standing of a vote.
const (
	Granted      = iota // the vote is given and lasts
	Rejected            // a higher ballot was promised
	WrongEpoch          // not of this epoch, or sealed, or no member
	DiskFailed          // the disk does not keep
	ValueMissing        // the value of the sum is not held
)

// VoteRequest is a request for a vote. Epoch binds it to one core. Have is the ballot whose
// value the asker holds already, and Sum that value's if it is long. An Accept with a sum
// has no value: it is the one that the acceptor holds under whatever ballot.
type VoteRequest struct {
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

func (acceptor *Acceptor) rejectEpoch(state *state, epoch uint64, vote *Vote) bool {
	vote.ID = state.ID
	if state.Core.Epoch == epoch && epoch > 0 && !state.Sealed && state.Core.Has(state.ID) {
		return false
	}
	vote.Kind, vote.Core, vote.Sealed, vote.Next = WrongEpoch, state.Core, state.Sealed, state.Next
	return true
}

func (vote *Vote) setDiskError(err error) {
	if err != nil {
		*vote = Vote{ID: vote.ID, Kind: DiskFailed, Mishap: err.Error()}
	}
}

// Prepare promises to decline lower ballots and gives what was accepted.
func (acceptor *Acceptor) Prepare(request VoteRequest, vote *Vote) error {
	vote.setDiskError(acceptor.applyOne(func(state *state) *record { return acceptor.prepare(state, request, vote) }))
	return nil
}

func (acceptor *Acceptor) prepare(state *state, request VoteRequest, vote *Vote) *record {
	if acceptor.rejectEpoch(state, request.Epoch, vote) {
		return nil
	}
	cell := state.Cells[request.Key]
	if !cell.Promised.Less(request.Ballot) {
		vote.Kind, vote.Cell.Promised = Rejected, cell.Promised
		return nil
	}
	vote.Cell.Accepted = cell.Accepted
	switch {
	case cell.Accepted == request.Have:
	case request.Sum != Sum{} && cell.Value.isLong() && acceptor.sum(request.Key, cell) == request.Sum:
		vote.IsHeld = true
	default:
		vote.Cell.Value = cell.Value
	}
	previous := cell
	cell.Promised = request.Ballot
	state.Cells[request.Key] = cell
	return &record{Key: request.Key, Cell: cell, previous: previous}
}

// Accept takes a value, unless a higher ballot was promised.
func (acceptor *Acceptor) Accept(request VoteRequest, vote *Vote) error {
	vote.setDiskError(acceptor.applyOne(func(state *state) *record { return acceptor.accept(state, request, vote) }))
	return nil
}

func (acceptor *Acceptor) accept(state *state, request VoteRequest, vote *Vote) *record {
	if acceptor.rejectEpoch(state, request.Epoch, vote) {
		return nil
	}
	cell := state.Cells[request.Key]
	if request.Ballot.Less(cell.Promised) {
		vote.Kind, vote.Cell.Promised = Rejected, cell.Promised
		return nil
	}
	previous := cell
	if (request.Sum != Sum{}) {
		if !cell.Value.isLong() || acceptor.sum(request.Key, cell) != request.Sum {
			vote.Kind = ValueMissing
			return nil
		}
		request.Value = cell.Value
	}
	cell = Cell{Promised: request.Ballot, Accepted: request.Ballot, Value: request.Value}
	state.Cells[request.Key] = cell
	return &record{Key: request.Key, Cell: cell, previous: previous}
}

// Query asks for cells by key, without a promise, and for the names under a prefix.
type Query struct {
	Epoch uint64
	Keys  Keys
	// Marks are, in the order of the keys, those of the ballots whose values the asker
	// holds already; zero for nothing.
	Marks  []BallotHash
	Prefix string
	// Brief asks for the sums of long values in their place.
	Brief bool
}

// QueryReply answers a Look. A key that was asked for and is not in it is held as the asker
// has it. A key in Long has the sum there in place of its value, of which the cell has
// the serial alone. Names are those under the prefix that were ever written.
type QueryReply struct {
	Vote
	Cells map[string]Cell
	Names Keys
	Long  map[string]Sum
}

// Query shows what is held. What it shows lasts: of a key with records in line
// for the disk it shows the newest cell that does, as if it had come before them.
// It waits for the disk only while a change of the core is in line.
func (acceptor *Acceptor) Query(query Query, reply *QueryReply) error {
	isReadable := false
	step := func(state *state) *record {
		if acceptor.rejectEpoch(state, query.Epoch, &reply.Vote) {
			return nil
		}
		reply.Cells = map[string]Cell{}
		addCell := func(key string) {
			cell := state.Cells[key]
			if writes := acceptor.pending[key]; writes != nil && isReadable {
				cell = writes.durable
			}
			reply.Cells[key] = cell
		}
		for index, key := range query.Keys {
			addCell(key)
			cell := reply.Cells[key]
			switch {
			case index < len(query.Marks) && cell.Accepted.hash() == query.Marks[index]:
				delete(reply.Cells, key)
			case query.Brief && cell.Value.isLong():
				if reply.Long == nil {
					reply.Long = map[string]Sum{}
				}
				reply.Long[key] = acceptor.sum(key, cell)
				reply.Cells[key] = Cell{Accepted: cell.Accepted, Value: Value{Serial: cell.Value.Serial}}
			}
		}
		if query.Prefix != "" {
			for key, cell := range state.Cells {
				if strings.HasPrefix(key, query.Prefix) && cell.Value.Serial > 0 {
					reply.Names = append(reply.Names, key)
				}
			}
			sort.Strings(reply.Names)
		}
		return nil
	}
	acceptor.mu.Lock()
	isReadable = acceptor.pendingStates == 0
	for _, writes := range acceptor.pending {
		isReadable = isReadable && !writes.isSuperseded
	}
	if isReadable {
		step(&acceptor.state)
	}
	acceptor.mu.Unlock()
	if isReadable {
		return nil
	}
	if err := acceptor.applyOne(step); err != nil {
		*reply = QueryReply{Vote: Vote{ID: reply.ID, Kind: DiskFailed, Mishap: err.Error()}}
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
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	return maps.Clone(acceptor.state.Cells)
}

// Describe tells of the acceptor. It never waits for the disk.
func (acceptor *Acceptor) Describe(_ struct{}, status *About) error {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	state := &acceptor.state
	*status = About{ID: state.ID, Name: acceptor.Name, Core: state.Core, Sealed: state.Sealed, Next: state.Next, Keys: len(state.Cells), Disk: acceptor.store.Vitals()}
	return nil
}
