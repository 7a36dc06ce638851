package permit

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

// Again acknowledges a document that was taken already, as far as this office knows; false
// where it knows nothing of that. It needs no round: what an office has was decided, and that
// a document was taken stays true. A change would take two, and outvote the very daemons that
// write what it waits for.
func (issuer *Office) Again(mark Mark) (applied Applied, isTaken bool, err error) {
	serial, config, tree := issuer.Current()
	seenAt, olderLeaseSpan, isKnown := issuer.firstSeen(serial)
	if mark == "" || !isKnown || !slices.Contains(config.Taken, mark) {
		return Applied{}, false, nil
	}
	applied, err = issuer.acknowledge(serial, seenAt, max(tree.Span("permit_ms", ""), olderLeaseSpan))
	return applied, true, err
}

// Stands acknowledges what a configuration says already, if the one that a majority has does.
// It reads and writes nothing: an order that comes again does not outvote those that are under
// way. isSo false tells nothing but that a change is needed; the error is that of the read.
//
// Invariant: what it acknowledges was in force after it was called.
func (issuer *Office) Stands(holds func(*settings.Tree, Config) bool) (applied Applied, isInForce bool, err error) {
	if _, config, tree := issuer.Current(); tree == nil || !holds(tree, config) {
		return Applied{}, false, nil // the order is new, as far as is known here
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
		return Applied{}, false, nil // it changes just now
	}
	applied, err = issuer.acknowledge(serial, seenAt, max(tree.Span("permit_ms", ""), olderLeaseSpan))
	return applied, true, err
}

// Applied is how a configuration came to be acknowledged.
type Applied struct {
	Serial  uint64        `json:"serial"`
	Took    time.Duration `json:"took"`
	Holders int           `json:"holders"`
	// Expired are holders that never answered and whose permits ran out.
	Expired []string `json:"expired,omitempty"`
}

// ErrSame is how a revision says that what it is to bring about stands already: nothing
// is written, and what stands is acknowledged again.
var ErrSame = errors.New("permit: it stands already")

// ErrUnconfirmed: the change is decided, but this process ends before every holder applies it
// or has no lease any more.
var ErrUnconfirmed = errors.New("permit: the change was decided, but not confirmed by all data daemons")

// Change revises the configuration and returns once it is acknowledged: every
// recorded holder applies it, or its permit has expired.
func (issuer *Office) Change(expect *uint64, revise func(Config) (Config, error)) (Applied, error) {
	var base register.Value // what was revised last
	value, err := issuer.Keeper.ChangeWithin(ConfigKey, issuer.orderTimeout(), func(value register.Value) ([]byte, error) {
		base = value
		if expect != nil && *expect != value.Serial {
			return nil, &register.Stale{Key: ConfigKey, Have: value.Serial, Want: *expect}
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
	if err != nil && !errors.Is(err, ErrSame) {
		return Applied{Serial: value.Serial}, err
	}
	decidedAt := issuer.World.Now()
	// The value may be a later change's that has this one beneath it, so what is
	// offered under its serial is read from it.
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
	leaseSpan := tree.Span("permit_ms", "")
	if before != nil {
		leaseSpan = max(leaseSpan, before.Span("permit_ms", ""))
	}
	if base.Serial > serial && base.Serial < value.Serial {
		// Permits were granted under it that this office has not seen.
		if current, err := openConfig(base); err == nil {
			if tree, problems := before.Revise(current.Document); len(problems) == 0 {
				leaseSpan = max(leaseSpan, tree.Span("permit_ms", ""))
			}
		}
	}
	if isKnown {
		// It was decided before this order came, by the same order at another daemon:
		// permits under those before it run out from then on, not from now.
		decidedAt, leaseSpan = seenAt, max(leaseSpan, olderLeaseSpan)
	}
	return issuer.acknowledge(value.Serial, decidedAt, leaseSpan)
}

// acknowledge tells the holders and waits for them, until the expiry of permits under
// older configurations at the latest, whatever else does not answer: the longest of those
// has the length, by the clock of its holder. An offer tells the serial alone, and may be
// made again and again: the holder fetches what it lacks. The error is ErrUnconfirmed.
func (issuer *Office) acknowledge(serial uint64, decidedAt, leaseSpan time.Duration) (Applied, error) {
	applied := Applied{Serial: serial}
	leaseSpan += time.Duration(Drift * float64(leaseSpan))
	deadline := decidedAt + leaseSpan
	edition := issuer.offerEdition(serial)
	// took has, by name, the incarnations that apply it, or a later one.
	confirmed := map[string]string{}
	sendOffer := func(address string, timeout time.Duration) string {
		var reply Taken
		offer := Offer{Serial: serial, Edition: edition, Patience: timeout * 4 / 5} // the answer needs its time, too
		if issuer.Net.Call(address, "Permit.Take", offer, &reply, timeout) != nil || reply.Serial < serial {
			return ""
		}
		return reply.Incarnation
	}
	var holders map[string]Record
	for round := 0; !issuer.isAcknowledged(serial) && (round > 0 || issuer.World.Now() < deadline); round++ {
		// Those that are members are told while the records are read, which say who else
		// there is.
		var sessions []session.Session
		if round == 0 {
			sessions = issuer.Table.Live(session.Data)
		}
		timeout := deadline - issuer.World.Now()
		if round == 0 {
			timeout = min(leaseSpan/4, timeout)
		}
		var found map[string]Record
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
			// A silent holder is waited for until its permit is over, no longer.
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

// ackResult is what a reading of the holders' records gave, or an offer meanwhile.
type ackResult struct {
	holders     map[string]Record
	err         error
	incarnation string // of an offer's taker
}

func (issuer *Office) isAcknowledged(serial uint64) bool {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	return issuer.acknowledged >= serial
}

// unconfirmed lists the holders of which no recorded incarnation applies it.
func (Applied) unconfirmed(holders map[string]Record, confirmed map[string]string) (names []string) {
	for name, record := range holders {
		if confirmed[name] != record.Incarnation {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
