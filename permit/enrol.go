package permit

import (
	"encoding/json"
	"errors"
	"time"

	"swifttiller/loop"
	"swifttiller/register"
)

// How many records of holders an office writes at a time. Each takes two rounds at all
// acceptors. When all daemons of a large fleet begin at once, and none of the acceptors can
// serve the rounds of all of them in time, no round is ever done. So there is one more with
// each that is written, but only the least once one took longer than a round is waited for,
// until none waits any more.
const (
	leastEnrolling = 16
	firstEnrolling = 32
)

// enrolment is a record that is to be written, or was.
type enrolment struct {
	key    string
	record Record
}

// enrolments are the records that wait to be written, in the order of their coming, and
// those that are being written.
//
// Invariants: a record is among them once, however often its holder asks. While any waits,
// no fewer than width are being written, and no more begin.
type enrolments struct {
	queue []enrolment
	// asking are who waits for each of them; a record is in it exactly while it waits or
	// is being written.
	asking  map[enrolment][]loop.Mailbox
	writing int
	written uint64 // counts those that were
	width   int
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
		line.asking = map[enrolment][]loop.Mailbox{}
	}
	if len(line.asking) == 0 {
		line.width = firstEnrolling
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

// begin begins writing as many records as may be; who holds the guard calls it.
func (office *Office) begin() {
	line := &office.enrolments
	for line.writing < line.width && len(line.queue) > 0 {
		one := line.queue[0]
		line.queue = line.queue[1:]
		line.writing++
		office.World.Go(func() { office.write(one) })
	}
}

// write writes a record.
func (office *Office) write(one enrolment) {
	began := office.World.Now()
	data, err := json.Marshal(one.record)
	if err == nil {
		_, err = office.Keeper.Change(one.key, func(register.Value) ([]byte, error) { return data, nil })
	}
	isSlow := err != nil || office.World.Now()-began > office.Keeper.Patience/4
	line := &office.enrolments
	office.guard.Lock()
	line.writing--
	if isSlow {
		line.width = leastEnrolling
	} else if line.width > leastEnrolling {
		line.width++
	}
	if err == nil {
		line.written++
		if office.enrolled == nil {
			office.enrolled = map[string]Record{}
		}
		office.enrolled[one.key] = one.record
	}
	asking := line.asking[one]
	delete(line.asking, one)
	office.begin()
	office.guard.Unlock()
	for _, box := range asking {
		box.Put(err)
	}
}
