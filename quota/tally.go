package quota

import (
	"slices"
	"time"
)

// Sums are counts of requests by tenants' keys: Used are those that were let through, less
// those that did not run after all; Asked are all.
type Sums struct {
	Keys  []uint64
	Used  []int64
	Asked []uint64
}

type count struct {
	used  int64
	asked uint64
}

// outbox has what one other daemon has not confirmed to have been told.
//
// Invariant: what a letter says, and what the outbox has gathered since it was written, is
// the whole that its receiver lacks as of the letter numbered since.
type outbox struct {
	gathered   map[uint64]count
	seq, since uint64
	sent       map[uint64]count // by the letter under way
}

func (outbox *outbox) add(key uint64, used int64, asked uint64) {
	if outbox.gathered == nil {
		outbox.gathered = map[uint64]count{}
	}
	one := outbox.gathered[key]
	one.used, one.asked = one.used+used, one.asked+asked
	if one == (count{}) {
		delete(outbox.gathered, key)
		return
	}
	outbox.gathered[key] = one
}

// used is how many the receiver is not known to know of.
func (outbox *outbox) used(key uint64) int64 { return outbox.gathered[key].used }

// write begins a letter.
func (outbox *outbox) write() (seq, since uint64, sums Sums) {
	outbox.seq++
	outbox.sent = make(map[uint64]count, len(outbox.gathered))
	keys := make([]uint64, 0, len(outbox.gathered))
	for key := range outbox.gathered {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		one := outbox.gathered[key]
		outbox.sent[key] = one
		sums.Keys, sums.Used, sums.Asked = append(sums.Keys, key), append(sums.Used, one.used), append(sums.Asked, one.asked)
	}
	return outbox.seq, outbox.since, sums
}

// confirmed takes out what the letter under way told.
func (outbox *outbox) confirmed() {
	for key, one := range outbox.sent {
		outbox.add(key, -one.used, -one.asked)
	}
	outbox.sent, outbox.since = nil, outbox.seq
}

// drop forgets what is not confirmed: it is not to be charged any more.
func (outbox *outbox) drop() {
	outbox.gathered, outbox.sent = nil, nil
	outbox.since = outbox.seq
}

// inbox has what was taken from one sender.
//
// Invariant: of letters that come twice, late or out of turn each request counts once.
type inbox struct {
	seq, since uint64
	taken      map[uint64]count // by letters behind since
	heard      time.Duration
	// isGone tells that its sender was out of touch since.
	isGone bool
}

// take gives what a letter says that was not taken yet.
func (inbox *inbox) take(seq, since uint64, sums Sums) map[uint64]count {
	if seq <= inbox.seq || len(sums.Used) != len(sums.Keys) || len(sums.Asked) != len(sums.Keys) {
		return nil
	}
	fresh := make(map[uint64]count, len(sums.Keys))
	for at, key := range sums.Keys {
		fresh[key] = count{sums.Used[at], sums.Asked[at]}
	}
	out := fresh
	if since == inbox.since && len(inbox.taken) > 0 {
		out = make(map[uint64]count, len(fresh))
		for key, one := range fresh {
			out[key] = one
		}
		for key, one := range inbox.taken {
			rest := out[key]
			rest.used, rest.asked = rest.used-one.used, rest.asked-one.asked
			out[key] = rest
		}
	}
	inbox.seq, inbox.since, inbox.taken = seq, since, fresh
	return out
}
