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
func (office *Office) Again(mark Mark) (applied Applied, isTaken bool, err error) {
	serial, config, tree := office.Current()
	since, lapse, isKnown := office.since(serial)
	if mark == "" || !isKnown || !slices.Contains(config.Taken, mark) {
		return Applied{}, false, nil
	}
	applied, err = office.acknowledge(serial, since, max(tree.Span("permit_ms", ""), lapse))
	return applied, true, err
}

// Stands acknowledges what a configuration says already, if the one that a majority has does.
// It reads and writes nothing: an order that comes again does not outvote those that are under
// way. isSo false tells nothing but that a change is needed; the error is that of the read.
//
// Invariant: what it acknowledges was in force after it was called.
func (issuer *Office) Stands(says func(*settings.Tree, Config) bool) (applied Applied, isSo bool, err error) {
	if _, config, tree := issuer.Current(); tree == nil || !says(tree, config) {
		return Applied{}, false, nil // the order is new, as far as is known here
	}
	if err := issuer.Refresh(); err != nil {
		return Applied{}, false, err
	}
	serial, config, tree := issuer.Current()
	if !says(tree, config) {
		return Applied{}, false, nil
	}
	since, lapse, isKnown := issuer.since(serial)
	if !isKnown {
		return Applied{}, false, nil // it changes just now
	}
	applied, err = issuer.acknowledge(serial, since, max(tree.Span("permit_ms", ""), lapse))
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
func (office *Office) Change(expect *uint64, revise func(Config) (Config, error)) (Applied, error) {
	var under register.Value // what was revised last
	value, err := office.Keeper.ChangeWithin(ConfigKey, office.silence(), func(value register.Value) ([]byte, error) {
		under = value
		if expect != nil && *expect != value.Serial {
			return nil, &register.Stale{Key: ConfigKey, Have: value.Serial, Want: *expect}
		}
		have, err := opened(value)
		if err != nil {
			return nil, err
		}
		next, err := revise(have)
		if err != nil {
			return nil, err
		}
		return next.Pack()
	})
	if err != nil && !errors.Is(err, ErrSame) {
		return Applied{Serial: value.Serial}, err
	}
	decided := office.World.Now()
	// The value may be a later change's that has this one beneath it, so what is
	// offered under its serial is read from it.
	next, err := opened(value)
	if err != nil {
		return Applied{Serial: value.Serial}, err
	}
	serial, _, before := office.Current()
	taken, lapse, isKnown := office.since(value.Serial)
	if err := office.take(value.Serial, next); err != nil {
		return Applied{Serial: value.Serial}, err
	}
	_, _, tree := office.Current()
	length := tree.Span("permit_ms", "")
	if before != nil {
		length = max(length, before.Span("permit_ms", ""))
	}
	if under.Serial > serial && under.Serial < value.Serial {
		// Permits were granted under it that this office has not seen.
		if have, err := opened(under); err == nil {
			if tree, problems := before.Revise(have.Document); len(problems) == 0 {
				length = max(length, tree.Span("permit_ms", ""))
			}
		}
	}
	if isKnown {
		// It was decided before this order came, by the same order at another daemon:
		// permits under those before it run out from then on, not from now.
		decided, length = taken, max(length, lapse)
	}
	return office.acknowledge(value.Serial, decided, length)
}

// acknowledge tells the holders and waits for them, until the expiry of permits under
// older configurations at the latest, whatever else does not answer: the longest of those
// has the length, by the clock of its holder. An offer tells the serial alone, and may be
// made again and again: the holder fetches what it lacks. The error is ErrUnconfirmed.
func (office *Office) acknowledge(serial uint64, decided, length time.Duration) (Applied, error) {
	applied := Applied{Serial: serial}
	length += time.Duration(Drift * float64(length))
	expiry := decided + length
	edition := office.carried(serial)
	// took has, by name, the incarnations that apply it, or a later one.
	took := map[string]string{}
	call := func(address string, patience time.Duration) string {
		var taken Taken
		offer := Offer{Serial: serial, Edition: edition, Patience: patience * 4 / 5} // the answer needs its time, too
		if office.Net.Call(address, "Permit.Take", offer, &taken, patience) != nil || taken.Serial < serial {
			return ""
		}
		return taken.Incarnation
	}
	var holders map[string]Record
	for round := 0; !office.isAcknowledged(serial) && (round > 0 || office.World.Now() < expiry); round++ {
		// Those that are members are told while the records are read, which say who else
		// there is.
		var live []session.Session
		if round == 0 {
			live = office.Table.Live(session.Data)
		}
		patience := expiry - office.World.Now()
		if round == 0 {
			patience = min(length/4, patience)
		}
		var found map[string]Record
		err := register.ErrNoMajority
		left := 1 + len(live)
		loop.Gather(office.World, 1+len(live), patience, func(index int) (out read) {
			if index == 0 {
				out.holders, out.err = office.Holders()
			} else {
				out.incarnation = call(live[index-1].Member.Wire, patience)
			}
			return out
		}, func(index int, out read) bool {
			if index == 0 {
				found, err = out.holders, out.err
			} else if out.incarnation != "" {
				took[live[index-1].Member.Name] = out.incarnation
			}
			left--
			return left == 0
		})
		if err == nil {
			holders = found
			names := applied.waiting(holders, took)
			// A silent holder is waited for until its permit is over, no longer.
			patience := max(length/100, min(length/4, expiry-office.World.Now()))
			loop.Gather(office.World, len(names), patience, func(index int) string {
				return call(holders[names[index]].Wire, patience)
			}, func(index int, incarnation string) bool {
				if incarnation != "" {
					took[names[index]] = incarnation
				}
				return false
			})
			applied.Holders = len(holders)
			if len(applied.waiting(holders, took)) == 0 {
				break
			}
		}
		if office.World.Now() >= expiry {
			applied.Expired = applied.waiting(holders, took)
			break
		}
		if !loop.Sleep(office.World, min(length/20, expiry-office.World.Now())) {
			return applied, ErrUnconfirmed
		}
	}
	office.guard.Lock()
	office.acknowledged = max(office.acknowledged, serial)
	office.guard.Unlock()
	applied.Took = office.World.Now() - decided
	return applied, nil
}

// read is what a reading of the holders' records gave, or an offer meanwhile.
type read struct {
	holders     map[string]Record
	err         error
	incarnation string // of an offer's taker
}

func (office *Office) isAcknowledged(serial uint64) bool {
	office.guard.Lock()
	defer office.guard.Unlock()
	return office.acknowledged >= serial
}

// waiting lists the holders of which no recorded incarnation applies it.
func (Applied) waiting(holders map[string]Record, took map[string]string) (names []string) {
	for name, record := range holders {
		if took[name] != record.Incarnation {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
