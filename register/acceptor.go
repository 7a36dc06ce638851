// Package register implements replicated compare-and-set registers on the acceptors of the core.
// Each key is decided independently by a majority in two rounds, with the published single-decree
// Paxos protocol in its register form, CASPaxos. There is no replicated log and no leader; any
// control daemon may propose.
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

// state is everything that an acceptor must not lose in a crash.
//
// Invariant: Core.Epoch never decreases. Sealed, once true for an epoch, stays true until Core is
// replaced by the next core; a sealed acceptor grants no votes. Next is the core that the epoch
// was sealed for.
type state struct {
	ID     string
	Core   Core
	Sealed bool
	Next   Core
	Cells  map[string]Cell
	// FirstSeeds are the addresses of the seeds from which the first core is to be formed. They
	// are set while this acceptor knows of a first start whose core is not formed yet.
	FirstSeeds []string
	// Proposal is the newest proposal for the first core that this acceptor accepted.
	Proposal Proposal
}

// record is one state change in the log: a single cell, or the whole state.
type record struct {
	Key      string
	Cell     Cell
	Whole    *state `json:",omitempty"`
	previous Cell   // the cell that this record replaces; not written to the log
	// snapshots is the number of snapshots taken before this record; not written to the log.
	snapshots uint64
}

// pack encodes a record for the log as a line of JSON without the cell's data, followed by the raw
// data. Records must be decodable one by one, and gob would repeat its type descriptions in each
// of them. That makes decoding slow, and a restart after a power failure decodes hundreds of
// records before the control plane can serve.
func (entry record) pack() []byte {
	data := entry.Cell.Value.Data
	entry.Cell.Value.Data = nil
	head, err := json.Marshal(entry)
	if err != nil {
		panic(err) // only types of this package are encoded, which can't fail
	}
	return append(append(head, '\n'), data...)
}

// unpack decodes what pack encoded. It also reads the older format, in which a record is plain
// gob.
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

// Acceptor is one voting replica of the core.
//
// Lock order: mu before the store's own lock. Replies wait for the disk outside of mu, so a slow
// disk blocks no access to the state.
//
// Invariant: pending contains a key exactly while some record of that key may not be durable yet,
// together with the newest durable cell of the key. So a Query returns durable state only, and a
// slow, full or failing disk blocks no reader.
type Acceptor struct {
	mu            sync.Mutex
	state         state
	store         *disk.Store
	pending       map[string]*pendingKey
	pendingStates int // records of the whole state that may not be durable yet
	// snapshots counts the snapshots taken. durableSnapshot is the number of the last durable one,
	// which makes every earlier record durable too. failedRecords are the records that the disk
	// failed to write, grouped by key and by whether a snapshot has covered them; they are kept as
	// counts because a disk may stay full for a long time.
	snapshots, durableSnapshot uint64
	failedRecords              map[failedKey]*failedGroup
	sumCache                   map[string]cachedSum // digests of long values, by key
	// Moved, if set, is called with each core that this acceptor joins.
	Moved func(Core)
	// Name is the name of the acceptor's daemon, which Init records in the core.
	Name string
}

// failedKey identifies failed records that become durable with the same snapshot: the records of
// one key, or of the whole state if key is empty, and whether a snapshot has been taken since they
// were enqueued.
type failedKey struct {
	key       string
	isCovered bool
}

// failedGroup is the number of failed records of one failedKey, and the newest of them.
type failedGroup struct {
	count  int
	newest *record
}

// cachedSum is the digest of the value that was accepted under a ballot. A ballot identifies one
// value permanently.
type cachedSum struct {
	accepted Ballot
	sum      Sum
}

// sum returns the digest of a cell's value. The caller holds mu.
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

// pendingKey tracks a key with records that may not be durable yet.
type pendingKey struct {
	durable Cell
	records int
	// isSuperseded is set once a record of the whole state follows. From then on, only the order
	// of writes on the disk determines what is durable.
	isSuperseded bool
}

// OpenAcceptor restores an acceptor from its disk, or creates one with the given identity if the
// disk is new. A new acceptor belongs to no core and grants no votes.
func OpenAcceptor(options disk.Options, id string) (*Acceptor, error) {
	acceptor := &Acceptor{state: state{ID: id, Cells: map[string]Cell{}}, pending: map[string]*pendingKey{}}
	options.Snapshot, options.SnapshotDurable = acceptor.snapshot, acceptor.snapshotWritten
	store, value, records, fresh, err := disk.Open(options)
	if err != nil {
		return nil, err
	}
	acceptor.store = store
	if fresh {
		return acceptor, store.Compact()
	}
	if err := decode(value, &acceptor.state); err != nil {
		return nil, &disk.CorruptError{File: "slot", Reason: err.Error()}
	}
	if acceptor.state.Cells == nil {
		acceptor.state.Cells = map[string]Cell{}
	}
	for _, data := range records {
		var entry record
		if err := entry.unpack(data); err != nil {
			return nil, &disk.CorruptError{File: "log", Reason: err.Error()}
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
		panic(err) // only types of this package are encoded, which can't fail
	}
	return body.Bytes()
}

func decode(data []byte, value any) error { return gob.NewDecoder(bytes.NewReader(data)).Decode(value) }

// ID returns the acceptor's identity.
func (acceptor *Acceptor) ID() string {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	return acceptor.state.ID
}

// applyOne runs the step on the state under the lock, enqueues the record that it returns, and
// waits until everything enqueued so far is durable, so that no reply reveals state that a crash
// could still undo.
func (acceptor *Acceptor) applyOne(step func(state *state) *record) error {
	return acceptor.apply(func(state *state) []*record {
		if entry := step(state); entry != nil {
			return []*record{entry}
		}
		return nil
	})
}

// addPending registers a record that may not be durable yet.
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

// markDurable registers that a record is durable. Waiting writers may wake up out of order.
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

// snapshot encodes the whole state for a slot of the store. Records that are still queued are
// contained in it already; since each one holds a whole cell or state, writing them again
// afterwards results in the same state.
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

// addFailed counts records that the disk failed to write. The caller holds mu.
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

// snapshotWritten registers that the last snapshot is durable. A vote whose disk write failed was
// reported as failed; if the snapshot makes it durable after all, that is equivalent to a lost
// reply.
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

// recordsWritten registers the outcome of writing records to the disk.
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

// Kinds of replies to a vote request.
const (
	Granted      = iota // the vote is granted and durable
	Rejected            // a higher ballot was promised
	WrongEpoch          // the acceptor is in another epoch, sealed, or not a member
	DiskFailed          // the disk write failed
	ValueMissing        // the acceptor does not hold the value with the requested digest
)

// VoteRequest asks for a vote on one key. Epoch binds it to one core. Have is the ballot whose
// value the proposer has cached, and Sum is the digest of that value if it is long. An Accept with
// a Sum carries no value: it proposes the value that the acceptor holds, under whatever ballot.
type VoteRequest struct {
	Epoch  uint64
	Key    string
	Ballot Ballot
	Value  Value
	Have   Ballot
	Sum    Sum
}

// Vote is the reply to a VoteRequest. A granted vote omits the core, since it is the requested
// one. Cell.Promised is set only where a higher promise rejects the request, and Cell.Accepted
// only in a reply to Prepare. The value is left out if the proposer has it cached; IsHeld reports
// that it has, under another ballot.
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

// Prepare promises to reject lower ballots, and returns the last accepted value.
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

// Accept accepts a value unless a higher ballot was promised.
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

// Query asks for cells by key, without a promise, and for the names of keys with a prefix.
type Query struct {
	Epoch uint64
	Keys  Keys
	// Marks are the hashes of the ballots whose values the client has cached, in the order of
	// Keys; zero for none.
	Marks  []BallotHash
	Prefix string
	// Brief asks for the digests of long values instead of the values.
	Brief bool
}

// QueryReply is the reply to a Query. A requested key that is missing from Cells is held exactly
// as the client has it cached. For a key in Long, the digest there replaces the value, of which
// the cell has only the serial. Names are the keys with the prefix that were ever written.
type QueryReply struct {
	Vote
	Cells map[string]Cell
	Names Keys
	Long  map[string]Sum
}

// Query returns the acceptor's durable cells. For a key with queued disk writes it returns the
// newest durable cell, as if the query had arrived before those writes. It waits for the disk only
// while a change of the core is queued.
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

// Status describes an acceptor, also one whose disk has failed.
type Status struct {
	ID     string
	Name   string
	Core   Core
	Sealed bool
	Next   Core
	Keys   int
	Disk   disk.Health
	// Proposal is the newest proposal for the first core that the acceptor accepted.
	Proposal Proposal
}

// Cells returns a copy of all cells, for checks of the acceptor's invariants.
func (acceptor *Acceptor) Cells() map[string]Cell {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	return maps.Clone(acceptor.state.Cells)
}

// Describe returns a description of the acceptor. It never waits for the disk.
func (acceptor *Acceptor) Describe(_ struct{}, status *Status) error {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	state := &acceptor.state
	*status = Status{ID: state.ID, Name: acceptor.Name, Core: state.Core, Sealed: state.Sealed, Next: state.Next, Keys: len(state.Cells), Disk: acceptor.store.Health(), Proposal: state.Proposal}
	return nil
}
