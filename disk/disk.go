// Package disk keeps one value safe over crashes: two slots that are written in
// turn, with a short log between. Everything is checksummed, and nothing counts
// before the file and its folder are synced.
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

// Folder is the data folder. Real folders and simulated ones are alike.
type Folder interface {
	// Read gives a whole file; fs.ErrNotExist in the chain when there is none.
	Read(name string) ([]byte, error)
	// Open opens for appending, or empties the file first.
	Open(name string, emptied bool) (File, error)
	// Sync makes the names in the folder last.
	Sync() error
}

// File is an open file that grows.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Real is a folder of the machine.
type Real string

// Read gives a whole file.
func (real Real) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(real), name))
}

// Open opens for appending.
func (real Real) Open(name string, emptied bool) (File, error) {
	flags := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	if emptied {
		flags |= os.O_TRUNC
	}
	return os.OpenFile(filepath.Join(string(real), name), flags, 0o600)
}

// Sync syncs the folder itself.
func (real Real) Sync() error {
	folder, err := os.Open(string(real))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Corrupt says that what lies on the disk is not what was synced there. It is
// never mended by forgetting: the operator decides.
type Corrupt struct {
	File   string
	Reason string
}

// Error is one line for the operator.
func (corrupt *Corrupt) Error() string {
	return fmt.Sprintf("disk: %s: %s; this disk's memory can't be trusted: move the data folder away, start anew, and let the core admit the new acceptor", corrupt.File, corrupt.Reason)
}

// ErrBroken is every answer after a write or sync has failed, until a whole copy was written
// anew.
var ErrBroken = errors.New("disk: a write or sync failed; nothing is assumed to have lasted until the whole has been written anew")

// mendGap is how long tries to write the whole anew are apart.
const mendGap = 500 * time.Millisecond

const (
	slotMagic   = 0x53574c54
	recordMagic = 0x53575243
	headSize    = 4 + 8 + 8 + 4 + 4
)

// Options say where a store lies and when its log is folded into a slot.
type Options struct {
	World  loop.World
	Folder Folder
	// LogBytes is how long the log may grow.
	LogBytes int
	// Snapshot gives the whole value, with every record enqueued so far in it.
	// Records must be such that replaying any of them onto it in order ends at
	// the same value.
	Snapshot func() []byte
	// Folded, if set, is told that what Snapshot gave last has become durable. The writing
	// task calls it, before any later record is written.
	Folded func()
}

// Store is the two slots and the logs between.
//
// Invariants:
//   - slots of generation g lie in slot g%2; log g%2 holds the records that
//     follow it, each stamped g and numbered from 0 without a gap; record 0 is
//     the log's own opening.
//   - a log g is only opened after slot g has been synced, so a log newer than
//     every good slot means that a slot went bad.
//   - synced is never above queued; Append returns only once its record is
//     synced. After broken is set nothing is written to that log any more: what
//     it holds behind the last good record was never answered for. The first
//     write after it is the whole value, into the other slot, with a new log.
type Store struct {
	Options
	guard      sync.Mutex
	generation uint64 // this and the next three: the writing task's alone
	log        File
	length     int
	number     uint64
	waiting    [][]byte
	waiters    []loop.Mailbox
	writing    bool
	broken     error
	tried      time.Duration // when it was last tried to mend what is broken
	lastSync   time.Duration
	syncs      atomic.Uint64
	torn       bool
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

// unframe reads one frame; false when it is not whole or not right.
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

// Open finds what the folder holds: the newest slot's value and the records
// after it, or fresh true when the folder was never used.
func Open(options Options) (store *Store, value []byte, records [][]byte, fresh bool, err error) {
	store = &Store{Options: options}
	var seen bool
	var slots [2][]byte
	var best uint64
	for side := uint64(0); side < 2; side++ {
		data, err := options.Folder.Read(slotName(side))
		if errors.Is(err, os.ErrNotExist) {
			continue
		} else if err != nil {
			return nil, nil, nil, false, err
		}
		if len(data) > 0 {
			seen = true
		}
		generation, _, payload, _, ok := unframe(slotMagic, data)
		if !ok || generation%2 != side {
			continue
		}
		slots[side] = payload
		if generation > best {
			best = generation
		}
	}
	var logs [2][]byte
	for side := uint64(0); side < 2; side++ {
		data, err := options.Folder.Read(logName(side))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, nil, nil, false, err
		}
		logs[side] = data
		if generation, _, _, _, ok := unframe(recordMagic, data); ok {
			seen = true
			if generation > best {
				return nil, nil, nil, false, &Corrupt{slotName(generation), fmt.Sprintf("the log continues generation %d, but its slot is bad", generation)}
			}
		}
	}
	if best == 0 {
		// A torn very first slot, with no log, never held anything.
		if seen && (len(logs[0]) > 0 || len(logs[1]) > 0) {
			return nil, nil, nil, false, &Corrupt{"slot-0, slot-1", "both slots are bad"}
		}
		return store, nil, nil, true, nil
	}
	store.generation = best
	records, keep, err := replay(best, logs[best%2])
	if err != nil {
		return nil, nil, nil, false, err
	}
	store.number = uint64(len(records)) + 1
	store.log, err = options.Folder.Open(logName(best), keep == 0)
	if err != nil {
		return nil, nil, nil, false, err
	}
	if keep == 0 {
		err = store.begin()
	} else if store.length = keep; keep < len(logs[best%2]) {
		store.torn = true
		if err = store.log.Truncate(int64(keep)); err == nil {
			err = store.log.Sync()
		}
	}
	return store, slots[best%2], records, false, err
}

// replay reads the log of a generation: its records and how many bytes of it
// are good. A tail that was never finished is cut; a bad place with a good
// record behind it is corruption.
func replay(generation uint64, data []byte) (records [][]byte, keep int, err error) {
	if got, _, _, _, ok := unframe(recordMagic, data); !ok || got != generation {
		// Of an older generation, or its opening was never finished.
		for at := 1; ok == false && at+headSize <= len(data); at++ {
			if got, _, _, _, good := unframe(recordMagic, data[at:]); good && got == generation {
				return nil, 0, &Corrupt{logName(generation), "the opening is bad, with records behind it"}
			}
		}
		return nil, 0, nil
	}
	for number := uint64(0); keep < len(data); number++ {
		got, have, payload, size, ok := unframe(recordMagic, data[keep:])
		if !ok || got != generation || have != number {
			for at := keep + 1; at+headSize <= len(data); at++ {
				if got, have, _, _, good := unframe(recordMagic, data[at:]); good && got == generation && have >= number {
					return nil, 0, &Corrupt{logName(generation), fmt.Sprintf("bad bytes at %d, with good records behind them", keep)}
				}
			}
			return records, keep, nil
		}
		if number > 0 {
			records = append(records, bytes.Clone(payload))
		}
		keep += size
	}
	return records, keep, nil
}

// begin writes the log's opening.
func (store *Store) begin() error {
	opening := frame(recordMagic, store.generation, 0, nil)
	if _, err := store.log.Write(opening); err != nil {
		return err
	}
	store.syncs.Add(2)
	if err := store.log.Sync(); err != nil {
		return err
	}
	store.number, store.length = 1, len(opening)
	return store.Folder.Sync()
}

// Enqueue puts a record in line and gives the wait for it to last. It never
// waits itself, so it may be called under a table's lock: the order of records
// is then the order of the table's changes.
func (store *Store) Enqueue(record []byte) (wait func() error) {
	box := store.World.Mailbox()
	store.guard.Lock()
	defer store.guard.Unlock()
	if store.broken != nil && store.World.Now()-store.tried < mendGap {
		err := store.broken
		return func() error { return err }
	}
	store.waiting = append(store.waiting, record)
	store.waiters = append(store.waiters, box)
	if !store.writing {
		store.writing = true
		store.World.Go(store.drain)
	}
	return func() error {
		got, ok := box.Take(loop.Forever)
		if !ok {
			return ErrBroken
		}
		err, _ := got.(error)
		return err
	}
}

// drain writes what is in line, batch by batch.
func (store *Store) drain() {
	for {
		store.guard.Lock()
		batch, waiters := store.waiting, store.waiters
		store.waiting, store.waiters = nil, nil
		if len(batch) == 0 {
			store.writing = false
			store.guard.Unlock()
			return
		}
		err := store.broken
		store.guard.Unlock()
		began := store.World.Now()
		if err != nil {
			err = store.mend(err)
		}
		if err == nil {
			err = store.write(batch)
		}
		store.guard.Lock()
		store.lastSync = store.World.Now() - began
		if err != nil && store.broken == nil {
			store.broken, store.tried = fmt.Errorf("%w (%v)", ErrBroken, err), store.World.Now()
		}
		err = store.broken
		store.guard.Unlock()
		for _, box := range waiters {
			box.Put(err)
		}
	}
}

// mend tries to write the whole anew; what was broken is returned where that fails too, or
// where it was tried a short while ago.
func (store *Store) mend(broken error) error {
	store.guard.Lock()
	isDue := store.World.Now()-store.tried >= mendGap
	if isDue {
		store.tried = store.World.Now()
	}
	store.guard.Unlock()
	if !isDue || store.Fold() != nil {
		return broken
	}
	store.guard.Lock()
	defer store.guard.Unlock()
	store.broken = nil
	return nil
}

// write makes a batch last. A batch of nothing but barriers writes nothing.
func (store *Store) write(batch [][]byte) error {
	if store.length > store.LogBytes {
		if err := store.Fold(); err != nil {
			return err
		}
	}
	var all []byte
	for _, record := range batch {
		if record != nil {
			all = append(all, frame(recordMagic, store.generation, store.number, record)...)
			store.number++
		}
	}
	if len(all) == 0 {
		return nil
	}
	store.length += len(all)
	if _, err := store.log.Write(all); err != nil {
		return err
	}
	store.syncs.Add(1)
	return store.log.Sync()
}

// Fold writes the whole value into the other slot and begins a new log. Only
// the writing task calls it, and whoever has just opened a fresh store.
func (store *Store) Fold() error {
	next, old := store.generation+1, store.log
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
	if old != nil {
		old.Close()
	}
	if err := store.begin(); err != nil {
		return err
	}
	if store.Folded != nil {
		store.Folded()
	}
	return nil
}

// Vitals is what the doctor asks of a store.
type Vitals struct {
	Broken   string
	LastSync time.Duration
	// Syncs are those asked of the disk since the store was opened, folders' included.
	Syncs    uint64
	TornTail bool
}

// Vitals tells how the store does.
func (store *Store) Vitals() Vitals {
	store.guard.Lock()
	defer store.guard.Unlock()
	vitals := Vitals{LastSync: store.lastSync, Syncs: store.syncs.Load(), TornTail: store.torn}
	if store.broken != nil {
		vitals.Broken = store.broken.Error()
	}
	return vitals
}
