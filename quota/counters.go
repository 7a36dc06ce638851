package quota

import (
	"slices"
	"time"
)

// Sums are request counts by tenant key. Used counts the requests that were let through, less those
// that were returned because they did not run; Asked counts all requests.
type Sums struct {
	Keys  []uint64
	Used  []int64
	Asked []uint64
}

type usage struct {
	used      int64
	requested uint64
}

// outbox holds the counts that one receiver has not confirmed yet.
// Message seq is the latest one written, message since the latest one confirmed.
//
// Invariant: the counts in a message, plus those added to the outbox after it was written, are
// exactly what the receiver lacks after having applied message since.
type outbox struct {
	pending    map[uint64]usage
	seq, since uint64
	sent       map[uint64]usage // counts in the message in flight
}

func (outbox *outbox) add(key uint64, used int64, requested uint64) {
	if outbox.pending == nil {
		outbox.pending = map[uint64]usage{}
	}
	total := outbox.pending[key]
	total.used, total.requested = total.used+used, total.requested+requested
	if total == (usage{}) {
		delete(outbox.pending, key)
		return
	}
	outbox.pending[key] = total
}

// unconfirmed returns how many used requests of a tenant the receiver has not confirmed.
func (outbox *outbox) unconfirmed(key uint64) int64 { return outbox.pending[key].used }

// compose returns the contents of the next message.
func (outbox *outbox) compose() (seq, since uint64, sums Sums) {
	outbox.seq++
	outbox.sent = make(map[uint64]usage, len(outbox.pending))
	keys := make([]uint64, 0, len(outbox.pending))
	for key := range outbox.pending {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		counts := outbox.pending[key]
		outbox.sent[key] = counts
		sums.Keys, sums.Used, sums.Asked = append(sums.Keys, key), append(sums.Used, counts.used), append(sums.Asked, counts.requested)
	}
	return outbox.seq, outbox.since, sums
}

// confirm removes the counts of the message in flight, which the receiver has confirmed.
func (outbox *outbox) confirm() {
	for key, counts := range outbox.sent {
		outbox.add(key, -counts.used, -counts.requested)
	}
	outbox.sent, outbox.since = nil, outbox.seq
}

// discard drops all unconfirmed counts, so that the receiver is never charged for them.
func (outbox *outbox) discard() {
	outbox.pending, outbox.sent = nil, nil
	outbox.since = outbox.seq
}

// inbox holds what was received from one sender.
//
// Invariant: each request counts once, even if messages arrive twice, late or out of order.
type inbox struct {
	seq, since uint64
	applied    map[uint64]usage // counts applied from messages after since
	lastHeard  time.Duration
	// isUnreachable is set once the sender has timed out, until its next message.
	isUnreachable bool
}

// accept returns the counts in a message that were not applied before. A message with the same
// since as the one before repeats that one's counts, which are subtracted.
func (inbox *inbox) accept(seq, since uint64, sums Sums) map[uint64]usage {
	if seq <= inbox.seq || len(sums.Used) != len(sums.Keys) || len(sums.Asked) != len(sums.Keys) {
		return nil
	}
	reported := make(map[uint64]usage, len(sums.Keys))
	for i, key := range sums.Keys {
		reported[key] = usage{sums.Used[i], sums.Asked[i]}
	}
	out := reported
	if since == inbox.since && len(inbox.applied) > 0 {
		out = make(map[uint64]usage, len(reported))
		for key, counts := range reported {
			out[key] = counts
		}
		for key, counts := range inbox.applied {
			remaining := out[key]
			remaining.used, remaining.requested = remaining.used-counts.used, remaining.requested-counts.requested
			out[key] = remaining
		}
	}
	inbox.seq, inbox.since, inbox.applied = seq, since, reported
	return out
}
