package lease

import (
	"errors"
	"slices"
	"sort"
	"time"

	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/session"
	"swifttiller/settings"
)

// ReacknowledgeDocument acknowledges a document once more if this issuer knows that it was accepted before;
// otherwise it returns false. It needs no quorum round for that: what an issuer knows was
// decided, and a document remains accepted. A change would take two rounds, with ballots
// that preempt those of the very daemons whose writes it waits for.
func (issuer *Issuer) ReacknowledgeDocument(mark OrderMark) (applied Applied, isTaken bool, err error) {
	serial, config, tree := issuer.Current()
	seenAt, olderLeaseSpan, isKnown := issuer.firstSeen(serial)
	if mark == "" || !isKnown || !slices.Contains(config.Taken, mark) {
		return Applied{}, false, nil
	}
	applied, err = issuer.acknowledge(serial, seenAt, max(tree.Duration("permit_ms", ""), olderLeaseSpan))
	return applied, true, err
}

// AcknowledgeInForce acknowledges the effect of an order that is already in force, if that holds for
// the configuration that a majority has. It only reads: a repeated order doesn't preempt
// the ballots of changes in progress. If isInForce is false, a change is needed. The error
// is that of the read.
//
// Invariant: what it acknowledges was in force at some time after the call.
func (issuer *Issuer) AcknowledgeInForce(holds func(*settings.Tree, Config) bool) (applied Applied, isInForce bool, err error) {
	if _, config, tree := issuer.Current(); tree == nil || !holds(tree, config) {
		return Applied{}, false, nil // the order is new, as far as this issuer knows
	}
	if err := issuer.Refresh(); err != nil {
		return Applied{}, false, err
	}
	serial, config, tree := issuer.Current()
	if !holds(tree, config) {
		return Applied{}, false, nil
	}
	seenAt, olderLeaseSpan, isKnown := issuer.firstSeen(serial)
	if !isKnown {
		return Applied{}, false, nil // the configuration is changing right now
	}
	applied, err = issuer.acknowledge(serial, seenAt, max(tree.Duration("permit_ms", ""), olderLeaseSpan))
	return applied, true, err
}

// Applied tells how a configuration came to be acknowledged.
type Applied struct {
	Serial  uint64        `json:"serial"`
	Took    time.Duration `json:"took"`
	Holders int           `json:"holders"`
	// Expired are the holders that never answered and whose leases ran out.
	Expired []string `json:"expired,omitempty"`
}

// ErrAlreadyInForce is returned by a revise function if its effect is already in force. Nothing is
// written then, and the present configuration is acknowledged again.
var ErrAlreadyInForce = errors.New("lease: the change is already in force")

// ErrUnconfirmed tells that the change is decided, but that this process ends before every
// holder has applied it or lost its lease.
var ErrUnconfirmed = errors.New("lease: the change was decided, but not confirmed by all data daemons before the process ended")

// Change revises the configuration and returns once it is acknowledged: every recorded
// holder has applied it, or its lease has expired.
func (issuer *Issuer) Change(expect *uint64, revise func(Config) (Config, error)) (Applied, error) {
	var base register.Value // the value that the last revision was based on
	value, err := issuer.Registers.UpdateWithin(ConfigKey, issuer.orderTimeout(), func(value register.Value) ([]byte, error) {
		base = value
		if expect != nil && *expect != value.Serial {
			return nil, &register.SerialMismatch{Key: ConfigKey, Current: value.Serial, Expected: *expect}
		}
		current, err := openConfig(value)
		if err != nil {
			return nil, err
		}
		next, err := revise(current)
		if err != nil {
			return nil, err
		}
		return next.Pack()
	})
	if err != nil && !errors.Is(err, ErrAlreadyInForce) {
		return Applied{Serial: value.Serial}, err
	}
	decidedAt := issuer.World.Now()
	// The value may be that of a later change which was based on this one, so the
	// configuration that is offered under its version is decoded from it.
	next, err := openConfig(value)
	if err != nil {
		return Applied{Serial: value.Serial}, err
	}
	serial, _, before := issuer.Current()
	seenAt, olderLeaseSpan, isKnown := issuer.firstSeen(value.Serial)
	if err := issuer.applyConfig(value.Serial, next); err != nil {
		return Applied{Serial: value.Serial}, err
	}
	_, _, tree := issuer.Current()
	leaseSpan := tree.Duration("permit_ms", "")
	if before != nil {
		leaseSpan = max(leaseSpan, before.Duration("permit_ms", ""))
	}
	if base.Serial > serial && base.Serial < value.Serial {
		// Leases were granted under this configuration, which this issuer has not seen.
		if current, err := openConfig(base); err == nil {
			if tree, problems := before.Revise(current.Document); len(problems) == 0 {
				leaseSpan = max(leaseSpan, tree.Duration("permit_ms", ""))
			}
		}
	}
	if isKnown {
		// The same order was already decided through another daemon. Leases under older
		// configurations run out counted from then, not from now.
		decidedAt, leaseSpan = seenAt, max(leaseSpan, olderLeaseSpan)
	}
	return issuer.acknowledge(value.Serial, decidedAt, leaseSpan)
}

// acknowledge offers the configuration to the holders and waits for their replies, at the
// latest until leases under older configurations have expired, whatever else doesn't
// answer: the longest of these lasts for leaseSpan by its holder's clock. An offer names
// the version and can be repeated freely: the holder fetches what it lacks. The only error
// is ErrUnconfirmed.
func (issuer *Issuer) acknowledge(serial uint64, decidedAt, leaseSpan time.Duration) (Applied, error) {
	applied := Applied{Serial: serial}
	leaseSpan += time.Duration(MaxClockDrift * float64(leaseSpan))
	deadline := decidedAt + leaseSpan
	update := issuer.offerUpdate(serial)
	// confirmed has, by name, the incarnations that apply this version or a later one.
	confirmed := map[string]string{}
	sendOffer := func(address string, timeout time.Duration) string {
		var reply OfferReply
		offer := Offer{Serial: serial, Edition: update, Patience: timeout * 4 / 5} // leaves time for the reply to arrive
		if issuer.Net.Call(address, "Permit.Take", offer, &reply, timeout) != nil || reply.Serial < serial {
			return ""
		}
		return reply.Incarnation
	}
	var holders map[string]HolderRecord
	for round := 0; !issuer.isAcknowledged(serial) && (round > 0 || issuer.World.Now() < deadline); round++ {
		// The members with a session get their offers while the records are read, which
		// tell about further holders.
		var sessions []session.Session
		if round == 0 {
			sessions = issuer.Table.Live(session.Data)
		}
		timeout := deadline - issuer.World.Now()
		if round == 0 {
			timeout = min(leaseSpan/4, timeout)
		}
		var found map[string]HolderRecord
		err := register.ErrNoMajority
		pending := 1 + len(sessions)
		loop.Gather(issuer.World, 1+len(sessions), timeout, func(index int) (out ackResult) {
			if index == 0 {
				out.holders, out.err = issuer.Holders()
			} else {
				out.incarnation = sendOffer(sessions[index-1].Member.Wire, timeout)
			}
			return out
		}, func(index int, out ackResult) bool {
			if index == 0 {
				found, err = out.holders, out.err
			} else if out.incarnation != "" {
				confirmed[sessions[index-1].Member.Name] = out.incarnation
			}
			pending--
			return pending == 0
		})
		if err == nil {
			holders = found
			names := applied.unconfirmed(holders, confirmed)
			// A holder that does not answer is waited for until its lease has expired, but
			// no longer.
			timeout := max(leaseSpan/100, min(leaseSpan/4, deadline-issuer.World.Now()))
			loop.Gather(issuer.World, len(names), timeout, func(index int) string {
				return sendOffer(holders[names[index]].Wire, timeout)
			}, func(index int, incarnation string) bool {
				if incarnation != "" {
					confirmed[names[index]] = incarnation
				}
				return false
			})
			applied.Holders = len(holders)
			if len(applied.unconfirmed(holders, confirmed)) == 0 {
				break
			}
		}
		if issuer.World.Now() >= deadline {
			applied.Expired = applied.unconfirmed(holders, confirmed)
			break
		}
		if !loop.Sleep(issuer.World, min(leaseSpan/20, deadline-issuer.World.Now())) {
			return applied, ErrUnconfirmed
		}
	}
	issuer.mutex.Lock()
	issuer.acknowledged = max(issuer.acknowledged, serial)
	issuer.mutex.Unlock()
	applied.Took = issuer.World.Now() - decidedAt
	return applied, nil
}

// ackResult is the result of reading the holders' records, or of an offer sent meanwhile.
type ackResult struct {
	holders     map[string]HolderRecord
	err         error
	incarnation string // of the holder that took the offer
}

func (issuer *Issuer) isAcknowledged(serial uint64) bool {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	return issuer.acknowledged >= serial
}

// unconfirmed lists the holders whose recorded incarnation hasn't confirmed, sorted by
// name.
func (Applied) unconfirmed(holders map[string]HolderRecord, confirmed map[string]string) (names []string) {
	for name, record := range holders {
		if confirmed[name] != record.Incarnation {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
