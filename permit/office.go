// Package permit owns what lets a data daemon serve: a configuration's serial,
// the standings with their credits, and an expiry.
package permit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/wire"
)

// Keys of the registers that a permit is made of.
const (
	ConfigKey      = "config"
	HolderPrefix   = "holder/"
	StandingPrefix = "standing/"
	// PlacedKey holds the placements of tenants (tenant.Book).
	PlacedKey = "tenants/placed"
)

// Config is what the configuration's register holds. Its serial is the
// register's.
//
// Invariant: Document has no origin of its own; what it was made from is Origin, which
// never goes to data daemons.
type Config struct {
	Document  json.RawMessage `json:"document"`
	Origin    json.RawMessage `json:"origin,omitempty"`
	Evacuated []string        `json:"evacuated,omitempty"`
	// Taken are the last documents that were taken under a label, newest last. Archived is
	// how many pages of those before them are in the history.
	Taken    []Mark `json:"taken,omitempty"`
	Archived uint64 `json:"archived,omitempty"`
}

// Mark is a document that was taken: the operator's label, a slash and a digest of what
// was sent. It tells a repeated order from a new one, and is short, as every permit's
// granting reads the configuration.
type Mark string

// Label is the label of the marked document.
func (mark Mark) Label() uint64 {
	label, _, _ := strings.Cut(string(mark), "/")
	number, _ := strconv.ParseUint(label, 10, 64) // made by whoever marks, of a number
	return number
}

// Label is the operator's number of the document, zero when there is none.
func (config Config) Label() uint64 { return gjson.GetBytes(config.Document, "label").Uint() }

// Record is what a holder's register holds.
//
// Invariant: a permit is granted only to a recorded, not retired incarnation,
// and the record is read before the configuration is. So whoever decides a
// configuration and then reads the records sees every holder that may still act
// on an older one.
type Record struct {
	Incarnation string `json:"incarnation"`
	Wire        string `json:"wire"`
	Retired     bool   `json:"retired,omitempty"`
}

// Drift is how far two clocks may part within a permit, as a ratio.
const Drift = 0.05

// Ask is a data daemon's wish for a permit.
type Ask struct {
	Holder session.Member
	// Config and Standings are what it has already.
	Config    uint64
	Standings map[string]uint64
	// Members is the sum of the members that it has. IsStale tells that their uptimes,
	// which it reckons on by its own clock, are to be told anew.
	Members uint64
	IsStale bool
	// Placed is the serial of the tenants' placements that it has.
	Placed uint64
}

// Grant is the permit. Its length counts from before the ask was sent.
type Grant struct {
	Serial    uint64 // of the configuration that it is granted under, to be fetched
	Standings []Told
	// Kept are the regions whose standing, as the asker has it now, is kept up to
	// date, and how long ago that was found: only these are handed out.
	Kept map[string]time.Duration
	// Unkept are the last standings of regions where nobody keeps them up to date now.
	Unkept []Told
	// Members are left out if the asker has them already, as their sum tells. What
	// control daemons tell only each other is not in them. If Base is not zero, they
	// are those that are not in the members of that sum, which the asker has, and Gone
	// the names of those that no longer are.
	Members   []session.Member
	Gone      []string
	Base, Sum uint64
	// Rolled has what Members would, packed, where that is long; the uptimes are as of Age
	// ago. If Base is zero it has all.
	Rolled []byte
	Age    time.Duration
	// Uptimes are of all members, in the order of their names and in milliseconds, if they
	// were asked for and Members has not all.
	Uptimes []int64
	Length  time.Duration
	// Placed are the tenants' placements, packed, when newer than the asker's.
	Placed       []byte
	PlacedSerial uint64
	// Declined says why there is none. IsQueued tells that the holder's record waits its
	// turn to be written where it asked, which is the place to ask again.
	Declined string
	IsQueued bool
}

// Options of an office.
type Options struct {
	World  loop.World
	Net    wire.Net
	Keeper *register.Keeper
	Table  *session.Table
	// Kept tells whether the region's standing is kept up to date, and how long ago
	// that was found.
	Kept func(region string, read standing.Standing) (time.Duration, bool)
	// Silence is for how long an operator's order goes on while no majority of the core
	// answers; zero is the keeper's patience.
	Silence time.Duration
}

// silence is Silence, or what stands for it.
func (office *Office) silence() time.Duration {
	if office.Silence > 0 {
		return office.Silence
	}
	return office.Keeper.Patience
}

// Office grants permits and acknowledges configurations, at any control daemon.
type Office struct {
	Options
	// reading is over the reading of a configuration that is not known yet: the many who
	// ask for it at once have it read once. Nothing is waited for under it.
	reading sync.Mutex
	guard   sync.Mutex
	serial  uint64
	config  Config
	tree    *settings.Tree
	// taken is when serial was first seen here, by when it was decided; lapse is how long
	// permits under those before it, as far as they were seen, may stand from then on.
	taken, lapse time.Duration
	// issues are the configurations last seen, the newest last, which is config; editions
	// what was told of it, by base.
	issues   []issue
	editions map[uint64]*Edition
	// parsed is the last that Parse made, of the document.
	parsed   *settings.Tree
	document []byte
	// enrolled are the holders' records that were written here last, by key.
	enrolled   map[string]Record
	enrolments enrolments
	// retiring is since when a holder has been without a session.
	retiring map[string]time.Duration
	granted  uint64
	// holderKeys are the keys of the holders that were there the last time.
	holderKeys []string
	// acknowledged is the highest serial that was acknowledged here, which acknowledges
	// all before it.
	acknowledged uint64
	// standings are those last read, by region; they are never changed.
	standings map[string]standing.Standing
	stacks    map[string]*stack // their texts, by region
	rolls     rolls             // members that were told last
	// pages are those of the history that were read, by number; they are never changed.
	pages map[uint64][]Mark
}

// Current is the newest configuration that this daemon has read.
func (office *Office) Current() (uint64, Config, *settings.Tree) {
	office.guard.Lock()
	defer office.guard.Unlock()
	return office.serial, office.config, office.tree
}

// Grants counts the permits granted here.
func (office *Office) Grants() uint64 {
	office.guard.Lock()
	defer office.guard.Unlock()
	return office.granted
}

// Learn takes a configuration that a register was seen to hold.
func (office *Office) Learn(value register.Value) error {
	if value.Serial == 0 {
		return nil
	}
	office.reading.Lock()
	defer office.reading.Unlock()
	if serial, _, _ := office.Current(); serial >= value.Serial {
		return nil
	}
	config, err := opened(value)
	if err != nil {
		return fmt.Errorf("the configuration's register can't be read: %w", err)
	}
	return office.take(value.Serial, config)
}

// take takes a configuration that a register was seen to hold under the serial.
func (office *Office) take(serial uint64, config Config) error {
	tree, problems := office.Parse(config.Document)
	if len(problems) > 0 {
		return problems
	}
	office.guard.Lock()
	defer office.guard.Unlock()
	if serial > office.serial {
		now, lapse := office.World.Now(), tree.Span("permit_ms", "")
		if office.tree != nil {
			lapse = max(lapse, office.tree.Span("permit_ms", ""), office.taken+office.lapse-now)
		}
		office.taken, office.lapse = now, lapse
		office.serial, office.config, office.tree = serial, config, tree
		office.issue()
	}
	return nil
}

// since gives when the configuration under the serial was first seen here, and the lapse;
// false when this office knows another one.
func (office *Office) since(serial uint64) (taken, lapse time.Duration, isKnown bool) {
	office.guard.Lock()
	defer office.guard.Unlock()
	return office.taken, office.lapse, office.serial == serial
}

// Parse is settings.Parse, which remembers the last document that had no problems, and
// shares with its tree what is the same.
func (office *Office) Parse(document []byte) (*settings.Tree, settings.Problems) {
	office.guard.Lock()
	last, text := office.parsed, office.document
	office.guard.Unlock()
	if last != nil && bytes.Equal(text, document) {
		return last, nil
	}
	tree, problems := last.Revise(document)
	if len(problems) == 0 {
		office.guard.Lock()
		office.parsed, office.document = tree, document
		office.guard.Unlock()
	}
	return tree, problems
}

// Refresh reads the configuration at a majority; without one it gives up after the silence
// that orders bear.
func (office *Office) Refresh() error {
	value, err := office.Keeper.ReadWithin(ConfigKey, office.silence())
	if err != nil {
		return err
	}
	return office.Learn(value)
}

// Renew grants a permit, or says why not.
func (office *Office) Renew(ask Ask, grant *Grant) error {
	began := office.World.Now()
	record := Record{Incarnation: ask.Holder.Incarnation, Wire: ask.Holder.Wire}
	holderKey := HolderPrefix + ask.Holder.Name
	// The records first, the configuration after: see Record.
	if err := office.recorded(holderKey, record, ask.Config == 0); err != nil {
		grant.Declined, grant.IsQueued = err.Error(), errors.Is(err, errQueued)
		return nil
	}
	_, _, tree := office.Current()
	for round := 0; round < 3; round++ {
		keys := []string{ConfigKey}
		if tree != nil {
			for _, region := range tree.Regions() {
				keys = append(keys, StandingPrefix+region)
			}
			if tree.Limit("tenant_ms", "") > 0 {
				keys = append(keys, PlacedKey)
			}
		}
		values, open, err := office.Keeper.ReadSettled(keys...)
		value := values[ConfigKey]
		if err == nil && slices.Contains(open, ConfigKey) {
			value, err = office.Keeper.Read(ConfigKey)
		}
		if err != nil {
			grant.Declined = err.Error()
			return nil
		}
		if value.Serial == 0 {
			grant.Declined = "there is no configuration yet"
			return nil
		}
		if err := office.Learn(value); err != nil {
			grant.Declined = err.Error()
			return nil
		}
		serial, _, fresh := office.Current()
		if tree == nil || strings.Join(fresh.Regions(), " ") != strings.Join(tree.Regions(), " ") {
			tree = fresh
			continue // other regions: read their standings too
		}
		// The newest that this office knows of: it was decided before now, and
		// a later grant can't be older than an earlier one.
		grant.Serial, grant.Kept = serial, map[string]time.Duration{}
		for _, region := range fresh.Regions() {
			value := values[StandingPrefix+region]
			one, isRead := office.standing(region, value)
			if slices.Contains(open, StandingPrefix+region) {
				// It is being written: the one before stands until that is done.
				one, isRead = office.settled(region)
			}
			// A standing that nobody keeps may be from before everything went
			// down; its replicas may be cold by now.
			if !isRead {
				continue
			}
			age, isKept := office.Kept(region, one)
			if one.Serial <= ask.Standings[region] {
				if isKept {
					grant.Kept[region] = age
				}
				continue
			}
			told, isTold := office.tell(one, ask.Standings[region])
			switch {
			case isKept && isTold:
				grant.Kept[region] = age
				grant.Standings = append(grant.Standings, told)
			case isTold && fresh.Limit("alone_ms", "") > 0:
				// Daemons that may serve alone would rather go by this than by none.
				grant.Unkept = append(grant.Unkept, told)
			}
		}
		if placed := values[PlacedKey]; placed.Serial > ask.Placed {
			grant.Placed, grant.PlacedSerial = placed.Data, placed.Serial
		}
		if grant.Sum = office.Table.Sum(""); grant.Sum != ask.Members || ask.IsStale {
			members := office.Table.Members("")
			office.list(members, ask.Members, grant)
			if ask.IsStale && (grant.Base != 0 || grant.Sum == ask.Members) {
				for _, one := range members {
					grant.Uptimes = append(grant.Uptimes, one.Uptime.Milliseconds())
				}
			}
		}
		grant.Length = fresh.Span("permit_ms", "")
		// A daemon that slept between its readings may hold a configuration that
		// was replaced long ago; the holder counts from before it asked, so such
		// a grant is dead already, but there is no need to hand it out.
		if office.World.Now()-began > grant.Length/2 {
			*grant = Grant{Declined: "the reading took too long"}
			return nil
		}
		office.guard.Lock()
		office.granted++
		office.guard.Unlock()
		return nil
	}
	grant.Declined = "the configuration changes too fast"
	return nil
}

// standing gives what the register of a region's standing holds, which it reads once.
func (office *Office) standing(region string, value register.Value) (standing.Standing, bool) {
	office.guard.Lock()
	have, known := office.standings[region]
	office.guard.Unlock()
	if known && value.Serial > 0 && have.Serial >= value.Serial {
		return have, true // a newer one was decided before now, too
	}
	var one standing.Standing
	if value.Serial == 0 {
		return one, false
	}
	one, text, err := OpenStanding(value)
	if err != nil {
		return one, false
	}
	office.guard.Lock()
	defer office.guard.Unlock()
	office.stack(region, value.Serial, text)
	if office.standings == nil {
		office.standings = map[string]standing.Standing{}
	}
	if office.standings[region].Serial < one.Serial {
		office.standings[region] = one
	}
	return one, true
}

// settled gives the standing of the region that was read last.
func (office *Office) settled(region string) (standing.Standing, bool) {
	office.guard.Lock()
	defer office.guard.Unlock()
	one, isRead := office.standings[region]
	return one, isRead
}

// recorded sees to it that the holder's record stands. That of one which begins anew is
// written unread, as it can't stand, but once: such a daemon may ask many times before its
// first permit, and all at once. From then on it is written only where a read shows another.
func (office *Office) recorded(key string, record Record, isNew bool) error {
	office.guard.Lock()
	isNew = isNew && office.enrolled[key] != record
	office.guard.Unlock()
	if !isNew {
		value, err := office.Keeper.Read(key)
		if err != nil {
			return err
		}
		var have Record
		if value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &have)
		}
		if have == record {
			return nil
		}
	}
	return office.enrol(enrolment{key, record}, office.span()/4)
}

// span is a permit's length.
func (office *Office) span() time.Duration {
	_, _, tree := office.Current()
	return tree.Span("permit_ms", "")
}

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

// errUnread: this process ended before the records of holders were read.
var errUnread = errors.New("permit: the records of holders were not read")

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

// Holders reads the records of all holders, retired ones too. Those that were there the last
// time are read while it is asked which there are: an order's acknowledgement waits for it.
//
// Invariant: whatever it gives was listed, and read, after it was called.
func (office *Office) Holders() (map[string]Record, error) {
	type part struct {
		keys   []string
		values map[string]register.Value
		err    error
	}
	office.guard.Lock()
	known := office.holderKeys
	office.guard.Unlock()
	var listed, early part
	isComplete := loop.Gather(office.World, 2, loop.Forever, func(index int) (out part) {
		if index == 0 {
			out.keys, out.err = office.Keeper.List(HolderPrefix)
		} else if len(known) > 0 {
			out.values, out.err = office.Keeper.ReadMany(known...)
		}
		return out
	}, func(index int, out part) bool {
		if index == 0 {
			listed = out
		} else {
			early = out
		}
		return false
	})
	if !isComplete {
		return nil, errUnread
	}
	if listed.err != nil || len(listed.keys) == 0 {
		return nil, listed.err
	}
	values := map[string]register.Value{}
	var missing []string
	for _, key := range listed.keys {
		if value, isRead := early.values[key]; isRead {
			values[key] = value
		} else {
			missing = append(missing, key)
		}
	}
	if len(missing) > 0 {
		more, err := office.Keeper.ReadMany(missing...)
		if err != nil {
			return nil, err
		}
		maps.Copy(values, more)
	}
	office.guard.Lock()
	office.holderKeys = listed.keys
	office.guard.Unlock()
	holders := map[string]Record{}
	for key, value := range values {
		var record Record
		if value.Serial > 0 && json.Unmarshal(value.Data, &record) == nil && record.Wire != "" {
			holders[strings.TrimPrefix(key, HolderPrefix)] = record
		}
	}
	return holders, nil
}

var errOther = errors.New("the record has changed")

// Sweep retires the records of holders long gone, and forgets them once no
// permit of theirs can stand. One daemon's duty calls it.
func (office *Office) Sweep() {
	_, _, tree := office.Current()
	if tree == nil {
		return
	}
	length := 2 * tree.Span("permit_ms", "")
	holders, err := office.Holders()
	if err != nil || office.Table.Watched() < 10*length {
		return
	}
	alive := map[string]bool{}
	for _, one := range office.Table.Live(session.Data) {
		alive[one.Member.Name+one.Member.Incarnation] = true
	}
	office.guard.Lock()
	if office.retiring == nil {
		office.retiring = map[string]time.Duration{}
	}
	office.guard.Unlock()
	names := make([]string, 0, len(holders))
	for name := range holders {
		names = append(names, name)
	}
	sort.Strings(names)
	now := office.World.Now()
	for _, name := range names {
		record := holders[name]
		key := name + record.Incarnation
		office.guard.Lock()
		since, waiting := office.retiring[key]
		if alive[key] {
			delete(office.retiring, key)
		} else if !waiting {
			office.retiring[key] = now
		}
		office.guard.Unlock()
		if alive[key] || !waiting || now-since < 5*length {
			continue
		}
		next := Record{} // forgotten
		if !record.Retired {
			next = record
			next.Retired = true
		}
		_, err := office.Keeper.Change(HolderPrefix+name, func(value register.Value) ([]byte, error) {
			var have Record
			_ = json.Unmarshal(value.Data, &have)
			if have != record {
				return nil, errOther
			}
			return json.Marshal(next)
		})
		if err == nil {
			office.guard.Lock()
			office.retiring[key] = now
			if next.Wire == "" {
				delete(office.retiring, key)
			}
			office.guard.Unlock()
		}
	}
}
