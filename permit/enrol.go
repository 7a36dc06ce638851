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
	// gatherSpan is how long records are gathered while others are being written: short
	// beside the two rounds that this takes.
	gatherSpan = 20 * time.Millisecond
	// mostBatches are how many batches an office writes at a time, mostEnrolling how many
	// records there are in one. Where rounds take long, more come together meanwhile.
	mostBatches   = 8
	mostEnrolling = 64
)

// enrolment is a record that is to be written, or was.
type enrolment struct {
	key    string
	record Record
}

// enrolments are the records that wait to be written, in the order of their coming, and
// those that are being written.
//
// Invariants: a record is among them once, however often its holder asks. No two batches
// have the same key. While any waits that is in none, isGathering is true or mostBatches are
// being written.
type enrolments struct {
	queue []enrolment
	// asking are who waits for each of them; a record is in it exactly while it waits or
	// is being written.
	asking  map[enrolment][]loop.Mailbox
	writing map[string]bool // the keys that are being written
	batches int
	written uint64 // counts those that were
	// isGathering is true exactly while a task waits to begin the next batch.
	isGathering bool
}

var (
	errQueued = errors.New("other holders' records are being written first; ask here again")
	errSlow   = errors.New("the holder's record could not be written in time")
)

// enrol records a holder. An older incarnation of the name is thereby gone. Who asks is
// told after the patience that others come first, if any was written meanwhile; else it
// waits four times as long at the most. The record may yet be written, in its turn.
func (office *Office) enrol(one enrolment, patience time.Duration) error {
	box := office.World.Mailbox()
	office.guard.Lock()
	line := &office.enrolments
	before := line.written
	if line.asking == nil {
		line.asking, line.writing = map[enrolment][]loop.Mailbox{}, map[string]bool{}
	}
	if _, isIn := line.asking[one]; !isIn {
		line.queue = append(line.queue, one)
	}
	line.asking[one] = append(line.asking[one], box)
	office.begin()
	office.guard.Unlock()
	for _, span := range []time.Duration{patience, 3 * patience} {
		if got, isOver := box.Take(span); isOver {
			err, _ := got.(error)
			return err
		}
		office.guard.Lock()
		moves := line.written > before
		office.guard.Unlock()
		if moves {
			return errQueued
		}
	}
	return errSlow
}

// begin sees to it that the next batch begins; who holds the guard calls it.
func (office *Office) begin() {
	line := &office.enrolments
	if line.isGathering || line.batches == mostBatches || !slices.ContainsFunc(line.queue, line.mayBegin) {
		return
	}
	line.isGathering = true
	isBusy := line.batches > 0
	office.World.Go(func() {
		if isBusy {
			loop.Sleep(office.World, gatherSpan)
		}
		office.guard.Lock()
		var batch []enrolment
		line.queue = slices.DeleteFunc(line.queue, func(one enrolment) bool {
			if len(batch) == mostEnrolling || !line.mayBegin(one) {
				return false
			}
			batch, line.writing[one.key] = append(batch, one), true
			return true
		})
		line.isGathering = false
		line.batches++
		office.begin()
		office.guard.Unlock()
		office.write(batch)
	})
}

// mayBegin tells whether no other record of the holder is being written.
func (line *enrolments) mayBegin(one enrolment) bool { return !line.writing[one.key] }

// write writes a batch of records.
func (office *Office) write(batch []enrolment) {
	data, of := map[string][]byte{}, map[string]enrolment{}
	for _, one := range batch {
		text, err := json.Marshal(one.record)
		if err != nil {
			panic(err) // only our own type comes here
		}
		data[one.key], of[one.key] = text, one
	}
	line := &office.enrolments
	office.Keeper.WriteAll(data, func(key string, err error) {
		one := of[key]
		office.guard.Lock()
		if err == nil {
			line.written++
			if office.enrolled == nil {
				office.enrolled = map[string]Record{}
			}
			office.enrolled[key] = one.record
		}
		asking := line.asking[one]
		delete(line.asking, one)
		delete(line.writing, key)
		office.guard.Unlock()
		for _, box := range asking {
			box.Put(err)
		}
	})
	office.guard.Lock()
	line.batches--
	office.begin()
	office.guard.Unlock()
}
