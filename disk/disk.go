// Package disk stores one value durably across crashes: two snapshot slots that are
// written alternately, each followed by a short write-ahead log. All data has checksums,
// and nothing counts as durable before the file and its folder are synced.
package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"swifttiller/loop"
)

// Folder is the data folder, either a real one or one of the simulation.
type Folder interface {
	// Read returns the contents of a file. If there is none, the error wraps fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// Open opens a file for appending, creating it if needed. If truncate is true, it
	// truncates the file first.
	Open(name string, truncate bool) (File, error)
	// Sync makes the folder's entries durable.
	Sync() error
}

// File is a file opened for appending.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// OSFolder is the path of a folder in the machine's file system.
type OSFolder string

// Read returns the contents of a file.
func (root OSFolder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(root), name))
}

// Open opens a file for appending, creating or truncating it as needed.
func (root OSFolder) Open(name string, truncate bool) (File, error) {
	flags := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	if truncate {
		flags |= os.O_TRUNC
	}
	return os.OpenFile(filepath.Join(string(root), name), flags, 0o600)
}

// Sync syncs the folder itself.
func (root OSFolder) Sync() error {
	folder, err := os.Open(string(root))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// CorruptError is the error that the data on the disk differs from what was synced to it.
// The store never repairs this by discarding data: the operator decides.
type CorruptError struct {
	File   string
	Reason string
}

// Error returns a one-line message that tells the operator what to do.
func (corrupt *CorruptError) Error() string {
	return fmt.Sprintf("disk: %s: %s; the data on this disk can't be trusted: move the data folder away, restart with an empty one, and let the core admit the new acceptor", corrupt.File, corrupt.Reason)
}

// ErrBroken is the error of every append after a write or sync has failed, until a full
// snapshot has been written.
var ErrBroken = errors.New("disk: a write or sync failed; no record counts as durable until a full snapshot has been written")

// rewriteInterval is the minimum time between attempts to write a full snapshot after a failure.
const rewriteInterval = 500 * time.Millisecond

const (
	slotMagic   = 0x53574c54
	recordMagic = 0x53575243
	headSize    = 4 + 8 + 8 + 4 + 4
)

// Options configure where a store keeps its files and when its log is compacted into a
// snapshot slot.
type Options struct {
	World  loop.World
	Folder Folder
	// LogBytes is the log size in bytes above which the next write compacts the log first.
	LogBytes int
	// Snapshot returns the whole value, including every record enqueued so far.
	// Records must be idempotent: replaying any of them, in order, onto the snapshot
	// must result in the same value.
	Snapshot func() []byte
	// SnapshotDurable, if set, is called when the latest result of Snapshot has become durable. The
	// writing task calls it before it writes any later record.
	SnapshotDurable func()
}

// Store consists of two snapshot slots and their logs.
//
// Invariants:
//   - the snapshot of generation g is in slot g%2; log g%2 has the records that
//     follow it, each with generation g and numbered from 0 without a gap; record 0 is
//     the log's own header.
//   - log g is created only after slot g has been synced, so a log newer than
//     every valid slot means that a slot is corrupt.
//   - the wait that Enqueue returns ends without error only once the record is
//     synced. After broken is set, nothing more is written to that log: what
//     follows its last valid record was never acknowledged. The first
//     write after that is the whole value, into the other slot, with a new log.
type Store struct {
	Options
	guard       sync.Mutex
	generation  uint64 // this and the next three fields are accessed only by the writing task
	log         File
	logLength   int
	nextNumber  uint64
	queued      [][]byte
	waiters     []loop.Mailbox
	writing     bool
	broken      error
	lastRewrite time.Duration // time of the failure or of the last rewrite after it
	lastSync    time.Duration
	syncs       atomic.Uint64
	tornTail    bool
}

func frame(magic uint32, generation, number uint64, payload []byte) []byte {
	out := make([]byte, headSize, headSize+len(payload))
	binary.BigEndian.PutUint32(out[0:], magic)
	binary.BigEndian.PutUint64(out[4:], generation)
	binary.BigEndian.PutUint64(out[12:], number)
	binary.BigEndian.PutUint32(out[20:], uint32(len(payload)))
	sum := crc32.ChecksumIEEE(out[:24])
	binary.BigEndian.PutUint32(out[24:], crc32.Update(sum, crc32.IEEETable, payload))
	return append(out, payload...)
}

// unframe decodes the frame at the start of data; ok is false if it is incomplete or its
// checksum is wrong.
func unframe(magic uint32, data []byte) (generation, number uint64, payload []byte, size int, ok bool) {
	if len(data) < headSize || binary.BigEndian.Uint32(data) != magic {
		return
	}
	length := int(binary.BigEndian.Uint32(data[20:]))
	if length > len(data)-headSize {
		return
	}
	payload = data[headSize : headSize+length]
	sum := crc32.Update(crc32.ChecksumIEEE(data[:24]), crc32.IEEETable, payload)
	if sum != binary.BigEndian.Uint32(data[24:]) {
		return
	}
	return binary.BigEndian.Uint64(data[4:]), binary.BigEndian.Uint64(data[12:]), payload, headSize + length, true
}

func slotName(generation uint64) string { return fmt.Sprintf("slot-%d", generation%2) }
func logName(generation uint64) string  { return fmt.Sprintf("log-%d", generation%2) }

// Open recovers the store from its folder: the value of the newest slot and the records
// after it. The result fresh is true if the folder has never been used.
func Open(options Options) (store *Store, value []byte, records [][]byte, fresh bool, err error) {
	store = &Store{Options: options}
	var inUse bool
	var slots [2][]byte
	var newest uint64
	for index := uint64(0); index < 2; index++ {
		data, err := options.Folder.Read(slotName(index))
		if errors.Is(err, os.ErrNotExist) {
			continue
		} else if err != nil {
			return nil, nil, nil, false, err
		}
		if len(data) > 0 {
			inUse = true
		}
		generation, _, payload, _, ok := unframe(slotMagic, data)
		if !ok || generation%2 != index {
			continue
		}
		slots[index] = payload
		if generation > newest {
			newest = generation
		}
	}
	var logs [2][]byte
	for index := uint64(0); index < 2; index++ {
		data, err := options.Folder.Read(logName(index))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, nil, nil, false, err
		}
		logs[index] = data
		if generation, _, _, _, ok := unframe(recordMagic, data); ok {
			inUse = true
			if generation > newest {
				return nil, nil, nil, false, &CorruptError{slotName(generation), fmt.Sprintf("the log follows the snapshot of generation %d, but that slot is corrupt", generation)}
			}
		}
	}
	if newest == 0 {
		// A torn first slot without a log is left by a crash during the first snapshot; no
		// data was ever acknowledged.
		if inUse && (len(logs[0]) > 0 || len(logs[1]) > 0) {
			return nil, nil, nil, false, &CorruptError{"slot-0, slot-1", "both slots are corrupt"}
		}
		return store, nil, nil, true, nil
	}
	store.generation = newest
	records, goodLength, err := replay(newest, logs[newest%2])
	if err != nil {
		return nil, nil, nil, false, err
	}
	store.nextNumber = uint64(len(records)) + 1
	store.log, err = options.Folder.Open(logName(newest), goodLength == 0)
	if err != nil {
		return nil, nil, nil, false, err
	}
	if goodLength == 0 {
		err = store.writeLogHeader()
	} else if store.logLength = goodLength; goodLength < len(logs[newest%2]) {
		store.tornTail = true
		if err = store.log.Truncate(int64(goodLength)); err == nil {
			err = store.log.Sync()
		}
	}
	return store, slots[newest%2], records, false, err
}

// replay reads the log of a generation and returns its records and how many bytes of it
// are valid. A torn tail is dropped; an invalid frame with a valid record after it is
// corruption.
func replay(generation uint64, data []byte) (records [][]byte, goodLength int, err error) {
	if recordGeneration, _, _, _, ok := unframe(recordMagic, data); !ok || recordGeneration != generation {
		// The log is of an older generation, or its header was not written completely.
		for offset := 1; ok == false && offset+headSize <= len(data); offset++ {
			if recordGeneration, _, _, _, isGood := unframe(recordMagic, data[offset:]); isGood && recordGeneration == generation {
				return nil, 0, &CorruptError{logName(generation), "the log header is corrupt, with valid records after it"}
			}
		}
		return nil, 0, nil
	}
	for number := uint64(0); goodLength < len(data); number++ {
		recordGeneration, recordNumber, payload, size, ok := unframe(recordMagic, data[goodLength:])
		if !ok || recordGeneration != generation || recordNumber != number {
			for offset := goodLength + 1; offset+headSize <= len(data); offset++ {
				if recordGeneration, recordNumber, _, _, isGood := unframe(recordMagic, data[offset:]); isGood && recordGeneration == generation && recordNumber >= number {
					return nil, 0, &CorruptError{logName(generation), fmt.Sprintf("corrupt bytes at offset %d, with valid records after them", goodLength)}
				}
			}
			return records, goodLength, nil
		}
		if number > 0 {
			records = append(records, bytes.Clone(payload))
		}
		goodLength += size
	}
	return records, goodLength, nil
}

// writeLogHeader writes and syncs record 0 of the log, then syncs the folder.
func (store *Store) writeLogHeader() error {
	header := frame(recordMagic, store.generation, 0, nil)
	if _, err := store.log.Write(header); err != nil {
		return err
	}
	store.syncs.Add(2)
	if err := store.log.Sync(); err != nil {
		return err
	}
	store.nextNumber, store.logLength = 1, len(header)
	return store.Folder.Sync()
}

// Enqueue queues a record for writing and returns a function that waits until it is
// durable. Enqueue itself never waits, so it may be called under the lock of a table: the
// records are then in the order of the table's changes. A nil record writes nothing and is
// a barrier: its wait ends once all records before it are durable.
func (store *Store) Enqueue(record []byte) (wait func() error) {
	mailbox := store.World.Mailbox()
	store.guard.Lock()
	defer store.guard.Unlock()
	if store.broken != nil && store.World.Now()-store.lastRewrite < rewriteInterval {
		err := store.broken
		return func() error { return err }
	}
	store.queued = append(store.queued, record)
	store.waiters = append(store.waiters, mailbox)
	if !store.writing {
		store.writing = true
		store.World.Go(store.writeQueued)
	}
	return func() error {
		result, ok := mailbox.Take(loop.Forever)
		if !ok {
			return ErrBroken
		}
		err, _ := result.(error)
		return err
	}
}

// writeQueued writes the queued records, batch by batch, until the queue is empty.
func (store *Store) writeQueued() {
	for {
		store.guard.Lock()
		batch, waiters := store.queued, store.waiters
		store.queued, store.waiters = nil, nil
		if len(batch) == 0 {
			store.writing = false
			store.guard.Unlock()
			return
		}
		err := store.broken
		store.guard.Unlock()
		start := store.World.Now()
		if err != nil {
			err = store.rewrite(err)
		}
		if err == nil {
			err = store.write(batch)
		}
		store.guard.Lock()
		store.lastSync = store.World.Now() - start
		if err != nil && store.broken == nil {
			store.broken, store.lastRewrite = fmt.Errorf("%w (%v)", ErrBroken, err), store.World.Now()
		}
		err = store.broken
		store.guard.Unlock()
		for _, mailbox := range waiters {
			mailbox.Put(err)
		}
	}
}

// rewrite tries to write a full snapshot after a failure. It returns the given error if
// that fails too, or if the last attempt was less than rewriteInterval ago.
func (store *Store) rewrite(broken error) error {
	store.guard.Lock()
	isDue := store.World.Now()-store.lastRewrite >= rewriteInterval
	if isDue {
		store.lastRewrite = store.World.Now()
	}
	store.guard.Unlock()
	if !isDue || store.Compact() != nil {
		return broken
	}
	store.guard.Lock()
	defer store.guard.Unlock()
	store.broken = nil
	return nil
}

// write appends a batch to the log and syncs it. A batch with only barriers, which are
// nil records, writes nothing.
func (store *Store) write(batch [][]byte) error {
	if store.logLength > store.LogBytes {
		if err := store.Compact(); err != nil {
			return err
		}
	}
	var frames []byte
	for _, record := range batch {
		if record != nil {
			frames = append(frames, frame(recordMagic, store.generation, store.nextNumber, record)...)
			store.nextNumber++
		}
	}
	if len(frames) == 0 {
		return nil
	}
	store.logLength += len(frames)
	if _, err := store.log.Write(frames); err != nil {
		return err
	}
	store.syncs.Add(1)
	return store.log.Sync()
}

// Compact writes the whole value into the other slot and starts a new log. Only the writing
// task may call it, or the caller of Open before it uses the fresh store.
func (store *Store) Compact() error {
	next, oldLog := store.generation+1, store.log
	value := store.Snapshot()
	slot, err := store.Folder.Open(slotName(next), true)
	if err != nil {
		return err
	}
	defer slot.Close()
	if _, err = slot.Write(frame(slotMagic, next, 0, value)); err != nil {
		return err
	}
	store.syncs.Add(2)
	if err = slot.Sync(); err != nil {
		return err
	}
	if err = store.Folder.Sync(); err != nil {
		return err
	}
	log, err := store.Folder.Open(logName(next), true)
	if err != nil {
		return err
	}
	store.generation, store.log = next, log
	if oldLog != nil {
		oldLog.Close()
	}
	if err := store.writeLogHeader(); err != nil {
		return err
	}
	if store.SnapshotDurable != nil {
		store.SnapshotDurable()
	}
	return nil
}

// Health is the health of a store, as the doctor command reports it.
type Health struct {
	Broken   string
	LastSync time.Duration
	// Syncs counts the syncs requested since the store was opened, including those of the folder.
	Syncs    uint64
	TornTail bool
}

// Health returns the present health of the store.
func (store *Store) Health() Health {
	store.guard.Lock()
	defer store.guard.Unlock()
	health := Health{LastSync: store.lastSync, Syncs: store.syncs.Load(), TornTail: store.tornTail}
	if store.broken != nil {
		health.Broken = store.broken.Error()
	}
	return health
}
