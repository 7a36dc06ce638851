package permit

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"swifttiller/loop"
)

// When all daemons of a large fleet begin at once, their records are written many at a time:
// one by one, each would cost every acceptor two calls, and acceptors that can't serve all
// those in time would have no round done.
const (
	// batchDelay is how long records are gathered while others are being written: short
	// beside the two rounds that this takes.
	batchDelay = 20 * time.Millisecond
	// maxBatches are how many batches an office writes at a time, mostEnrolling how many
	// records there are in one. Where rounds take long, more come together meanwhile.
	maxBatches      = 8
	maxBatchRecords = 64
)

// recordWrite is a record that is to be written, or was.
type recordWrite struct {
	key    string
	record Record
}

// recordQueue are the records that wait to be written, in the order of their coming, and
// those that are being written.
//
// Invariants: a record is among them once, however often its holder asks. No two batches
// have the same key. While any waits that is in none, isGathering is true or mostBatches are
// being written.
type recordQueue struct {
	pending []recordWrite
	// waiters are who waits for each of them; a record is in it exactly while it waits or
	// is being written.
	waiters       map[recordWrite][]loop.Mailbox
	writingKeys   map[string]bool // the keys that are being written
	activeBatches int
	writtenCount  uint64 // counts those that were
	// isBatchScheduled is true exactly while a task waits to begin the next batch.
	isBatchScheduled bool
}

var (
	errQueued       = errors.New("other holders' records are being written first; ask here again")
	errWriteTimeout = errors.New("the holder's record could not be written in time")
)

// writeRecord records a holder. An older incarnation of the name is thereby gone. Who asks is
// told after the patience that others come first, if any was written meanwhile; else it
// waits four times as long at the most. The record may yet be written, in its turn.
func (issuer *Office) writeRecord(write recordWrite, timeout time.Duration) error {
	mailbox := issuer.World.Mailbox()
	issuer.mutex.Lock()
	queue := &issuer.recordQueue
	writtenBefore := queue.writtenCount
	if queue.waiters == nil {
		queue.waiters, queue.writingKeys = map[recordWrite][]loop.Mailbox{}, map[string]bool{}
	}
	if _, isIn := queue.waiters[write]; !isIn {
		queue.pending = append(queue.pending, write)
	}
	queue.waiters[write] = append(queue.waiters[write], mailbox)
	issuer.startBatch()
	issuer.mutex.Unlock()
	for _, wait := range []time.Duration{timeout, 3 * timeout} {
		if result, isDone := mailbox.Take(wait); isDone {
			err, _ := result.(error)
			return err
		}
		issuer.mutex.Lock()
		hasProgress := queue.writtenCount > writtenBefore
		issuer.mutex.Unlock()
		if hasProgress {
			return errQueued
		}
	}
	return errWriteTimeout
}

// startBatch sees to it that the next batch begins; who holds the guard calls it.
func (issuer *Office) startBatch() {
	queue := &issuer.recordQueue
	if queue.isBatchScheduled || queue.activeBatches == maxBatches || !slices.ContainsFunc(queue.pending, queue.canStart) {
		return
	}
	queue.isBatchScheduled = true
	isBusy := queue.activeBatches > 0
	issuer.World.Go(func() {
		if isBusy {
			loop.Sleep(issuer.World, batchDelay)
		}
		issuer.mutex.Lock()
		var batch []recordWrite
		queue.pending = slices.DeleteFunc(queue.pending, func(write recordWrite) bool {
			if len(batch) == maxBatchRecords || !queue.canStart(write) {
				return false
			}
			batch, queue.writingKeys[write.key] = append(batch, write), true
			return true
		})
		queue.isBatchScheduled = false
		queue.activeBatches++
		issuer.startBatch()
		issuer.mutex.Unlock()
		issuer.writeBatch(batch)
	})
}

// canStart tells whether no other record of the holder is being written.
func (queue *recordQueue) canStart(write recordWrite) bool { return !queue.writingKeys[write.key] }

// writeBatch writes a batch of records.
func (issuer *Office) writeBatch(batch []recordWrite) {
	data, writes := map[string][]byte{}, map[string]recordWrite{}
	for _, write := range batch {
		encoded, err := json.Marshal(write.record)
		if err != nil {
			panic(err) // only our own type comes here
		}
		data[write.key], writes[write.key] = encoded, write
	}
	queue := &issuer.recordQueue
	issuer.Keeper.WriteAll(data, func(key string, err error) {
		write := writes[key]
		issuer.mutex.Lock()
		if err == nil {
			queue.writtenCount++
			if issuer.writtenRecords == nil {
				issuer.writtenRecords = map[string]Record{}
			}
			issuer.writtenRecords[key] = write.record
		}
		waiters := queue.waiters[write]
		delete(queue.waiters, write)
		delete(queue.writingKeys, key)
		issuer.mutex.Unlock()
		for _, mailbox := range waiters {
			mailbox.Put(err)
		}
	})
	issuer.mutex.Lock()
	queue.activeBatches--
	issuer.startBatch()
	issuer.mutex.Unlock()
}
