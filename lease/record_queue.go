package lease

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"swifttiller/loop"
)

// When all daemons of a large fleet start at once, their records are written in batches.
// Written one by one, each record would cost every acceptor two calls, and acceptors that
// can't serve all of those in time would complete no round at all.
const (
	// batchDelay is how long records are collected for the next batch while others are
	// being written. It is short compared to the two rounds that a write takes.
	batchDelay = 20 * time.Millisecond
	// maxBatches is how many batches an issuer writes at the same time, and maxBatchRecords
	// how many records a batch has. The slower the rounds, the more records are collected
	// meanwhile.
	maxBatches      = 8
	maxBatchRecords = 64
)

// recordWrite is a record to be written, or one that was written.
type recordWrite struct {
	key    string
	record HolderRecord
}

// recordQueue has the records that wait to be written, in order of arrival, and those that
// are being written.
//
// Invariants: a record is in it only once, however often its holder sends requests. No two
// batches have the same key. While any record waits that could be started, isBatchScheduled
// is true or maxBatches batches are being written.
type recordQueue struct {
	pending []recordWrite
	// waiters has the mailboxes of the requests that wait for each record. A record is a
	// key exactly while it waits or is being written.
	waiters       map[recordWrite][]loop.Mailbox
	writingKeys   map[string]bool // keys of the records that are being written
	activeBatches int
	writtenCount  uint64 // number of records written so far
	// isBatchScheduled is true exactly while a task waits to start the next batch.
	isBatchScheduled bool
}

var (
	errQueued       = errors.New("the holder's record is queued behind those of other holders; retry with this control daemon")
	errWriteTimeout = errors.New("timed out writing the holder's record")
)

// writeRecord records a holder, which replaces an older incarnation of the same name. If
// the record isn't written within the timeout, but others were meanwhile, it returns
// errQueued; otherwise it waits up to four times the timeout in all. In either case the
// record may still be written later.
func (issuer *Issuer) writeRecord(write recordWrite, timeout time.Duration) error {
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

// startBatch schedules the next batch if there is one to write. The caller holds the mutex.
func (issuer *Issuer) startBatch() {
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

// canStart tells whether no other record of the same holder is being written.
func (queue *recordQueue) canStart(write recordWrite) bool { return !queue.writingKeys[write.key] }

// writeBatch writes a batch of records and notifies the requests that wait for them.
func (issuer *Issuer) writeBatch(batch []recordWrite) {
	data, writes := map[string][]byte{}, map[string]recordWrite{}
	for _, write := range batch {
		encoded, err := json.Marshal(write.record)
		if err != nil {
			panic(err) // can't fail for this type
		}
		data[write.key], writes[write.key] = encoded, write
	}
	queue := &issuer.recordQueue
	issuer.Registers.WriteAll(data, func(key string, err error) {
		write := writes[key]
		issuer.mutex.Lock()
		if err == nil {
			queue.writtenCount++
			if issuer.writtenRecords == nil {
				issuer.writtenRecords = map[string]HolderRecord{}
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
