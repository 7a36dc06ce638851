// Package permit owns what lets a data daemon serve: a configuration's serial,
// the standings with their credits, and an expiry.
package permit

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

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

// span is a permit's length.
func (office *Office) span() time.Duration {
	_, _, tree := office.Current()
	return tree.Span("permit_ms", "")
}
