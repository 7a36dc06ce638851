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

// orderTimeout is Silence, or what stands for it.
func (issuer *Office) orderTimeout() time.Duration {
	if issuer.Silence > 0 {
		return issuer.Silence
	}
	return issuer.Keeper.Patience
}

// Office grants permits and acknowledges configurations, at any control daemon.
type Office struct {
	Options
	// learnMutex is over the reading of a configuration that is not known yet: the many who
	// ask for it at once have it read once. Nothing is waited for under it.
	learnMutex sync.Mutex
	mutex      sync.Mutex
	serial     uint64
	config     Config
	tree       *settings.Tree
	// seenAt is when serial was first seen here, by when it was decided; lapse is how long
	// permits under those before it, as far as they were seen, may stand from then on.
	seenAt, olderLeaseSpan time.Duration
	// versions are the configurations last seen, the newest last, which is config; editions
	// what was told of it, by base.
	versions []configVersion
	editions map[uint64]*Edition
	// parsedTree is the last that Parse made, of the document.
	parsedTree     *settings.Tree
	parsedDocument []byte
	// writtenRecords are the holders' records that were written here last, by key.
	writtenRecords map[string]Record
	recordQueue    recordQueue
	// absentSince is since when a holder has been without a session.
	absentSince map[string]time.Duration
	granted     uint64
	// holderKeys are the keys of the holders that were there the last time.
	holderKeys []string
	// acknowledged is the highest serial that was acknowledged here, which acknowledges
	// all before it.
	acknowledged uint64
	// standings are those last read, by region; they are never changed.
	standings     map[string]standing.Standing
	standingTexts map[string]*textHistory // their texts, by region
	memberHistory memberHistory           // members that were told last
	// pages are those of the history that were read, by number; they are never changed.
	pages map[uint64][]Mark
}

// Current is the newest configuration that this daemon has read.
func (issuer *Office) Current() (uint64, Config, *settings.Tree) {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	return issuer.serial, issuer.config, issuer.tree
}

// Grants counts the permits granted here.
func (issuer *Office) Grants() uint64 {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	return issuer.granted
}

// Learn takes a configuration that a register was seen to hold.
func (issuer *Office) Learn(value register.Value) error {
	if value.Serial == 0 {
		return nil
	}
	issuer.learnMutex.Lock()
	defer issuer.learnMutex.Unlock()
	if serial, _, _ := issuer.Current(); serial >= value.Serial {
		return nil
	}
	config, err := openConfig(value)
	if err != nil {
		return fmt.Errorf("the configuration's register can't be read: %w", err)
	}
	return issuer.applyConfig(value.Serial, config)
}

// applyConfig takes a configuration that a register was seen to hold under the serial.
func (issuer *Office) applyConfig(serial uint64, config Config) error {
	tree, problems := issuer.Parse(config.Document)
	if len(problems) > 0 {
		return problems
	}
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	if serial > issuer.serial {
		now, olderLeaseSpan := issuer.World.Now(), tree.Span("permit_ms", "")
		if issuer.tree != nil {
			olderLeaseSpan = max(olderLeaseSpan, issuer.tree.Span("permit_ms", ""), issuer.seenAt+issuer.olderLeaseSpan-now)
		}
		issuer.seenAt, issuer.olderLeaseSpan = now, olderLeaseSpan
		issuer.serial, issuer.config, issuer.tree = serial, config, tree
		issuer.keepVersion()
	}
	return nil
}

// firstSeen gives when the configuration under the serial was first seen here, and the lapse;
// false when this office knows another one.
func (issuer *Office) firstSeen(serial uint64) (seenAt, olderLeaseSpan time.Duration, isKnown bool) {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	return issuer.seenAt, issuer.olderLeaseSpan, issuer.serial == serial
}

// Parse is settings.Parse, which remembers the last document that had no problems, and
// shares with its tree what is the same.
func (issuer *Office) Parse(document []byte) (*settings.Tree, settings.Problems) {
	issuer.mutex.Lock()
	lastTree, lastDocument := issuer.parsedTree, issuer.parsedDocument
	issuer.mutex.Unlock()
	if lastTree != nil && bytes.Equal(lastDocument, document) {
		return lastTree, nil
	}
	tree, problems := lastTree.Revise(document)
	if len(problems) == 0 {
		issuer.mutex.Lock()
		issuer.parsedTree, issuer.parsedDocument = tree, document
		issuer.mutex.Unlock()
	}
	return tree, problems
}

// Refresh reads the configuration at a majority; without one it gives up after the silence
// that orders bear.
func (issuer *Office) Refresh() error {
	value, err := issuer.Keeper.ReadWithin(ConfigKey, issuer.orderTimeout())
	if err != nil {
		return err
	}
	return issuer.Learn(value)
}

// Renew grants a permit, or says why not.
func (issuer *Office) Renew(request Ask, grant *Grant) error {
	startedAt := issuer.World.Now()
	record := Record{Incarnation: request.Holder.Incarnation, Wire: request.Holder.Wire}
	holderKey := HolderPrefix + request.Holder.Name
	// The records first, the configuration after: see Record.
	if err := issuer.ensureRecord(holderKey, record, request.Config == 0); err != nil {
		grant.Declined, grant.IsQueued = err.Error(), errors.Is(err, errQueued)
		return nil
	}
	_, _, tree := issuer.Current()
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
		values, unsettled, err := issuer.Keeper.ReadSettled(keys...)
		value := values[ConfigKey]
		if err == nil && slices.Contains(unsettled, ConfigKey) {
			value, err = issuer.Keeper.Read(ConfigKey)
		}
		if err != nil {
			grant.Declined = err.Error()
			return nil
		}
		if value.Serial == 0 {
			grant.Declined = "there is no configuration yet"
			return nil
		}
		if err := issuer.Learn(value); err != nil {
			grant.Declined = err.Error()
			return nil
		}
		serial, _, newest := issuer.Current()
		if tree == nil || strings.Join(newest.Regions(), " ") != strings.Join(tree.Regions(), " ") {
			tree = newest
			continue // other regions: read their standings too
		}
		// The newest that this office knows of: it was decided before now, and
		// a later grant can't be older than an earlier one.
		grant.Serial, grant.Kept = serial, map[string]time.Duration{}
		for _, region := range newest.Regions() {
			value := values[StandingPrefix+region]
			table, isRead := issuer.readStanding(region, value)
			if slices.Contains(unsettled, StandingPrefix+region) {
				// It is being written: the one before stands until that is done.
				table, isRead = issuer.lastStanding(region)
			}
			// A standing that nobody keeps may be from before everything went
			// down; its replicas may be cold by now.
			if !isRead {
				continue
			}
			age, isKept := issuer.Kept(region, table)
			if table.Serial <= request.Standings[region] {
				if isKept {
					grant.Kept[region] = age
				}
				continue
			}
			update, isPacked := issuer.packStanding(table, request.Standings[region])
			switch {
			case isKept && isPacked:
				grant.Kept[region] = age
				grant.Standings = append(grant.Standings, update)
			case isPacked && newest.Limit("alone_ms", "") > 0:
				// Daemons that may serve alone would rather go by this than by none.
				grant.Unkept = append(grant.Unkept, update)
			}
		}
		if placements := values[PlacedKey]; placements.Serial > request.Placed {
			grant.Placed, grant.PlacedSerial = placements.Data, placements.Serial
		}
		if grant.Sum = issuer.Table.Sum(""); grant.Sum != request.Members || request.IsStale {
			members := issuer.Table.Members("")
			issuer.fillMembers(members, request.Members, grant)
			if request.IsStale && (grant.Base != 0 || grant.Sum == request.Members) {
				for _, member := range members {
					grant.Uptimes = append(grant.Uptimes, member.Uptime.Milliseconds())
				}
			}
		}
		grant.Length = newest.Span("permit_ms", "")
		// A daemon that slept between its readings may hold a configuration that
		// was replaced long ago; the holder counts from before it asked, so such
		// a grant is dead already, but there is no need to hand it out.
		if issuer.World.Now()-startedAt > grant.Length/2 {
			*grant = Grant{Declined: "the reading took too long"}
			return nil
		}
		issuer.mutex.Lock()
		issuer.granted++
		issuer.mutex.Unlock()
		return nil
	}
	grant.Declined = "the configuration changes too fast"
	return nil
}

// readStanding gives what the register of a region's standing holds, which it reads once.
func (issuer *Office) readStanding(region string, value register.Value) (standing.Standing, bool) {
	issuer.mutex.Lock()
	cached, known := issuer.standings[region]
	issuer.mutex.Unlock()
	if known && value.Serial > 0 && cached.Serial >= value.Serial {
		return cached, true // a newer one was decided before now, too
	}
	var table standing.Standing
	if value.Serial == 0 {
		return table, false
	}
	table, text, err := OpenStanding(value)
	if err != nil {
		return table, false
	}
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	issuer.keepText(region, value.Serial, text)
	if issuer.standings == nil {
		issuer.standings = map[string]standing.Standing{}
	}
	if issuer.standings[region].Serial < table.Serial {
		issuer.standings[region] = table
	}
	return table, true
}

// lastStanding gives the standing of the region that was read last.
func (issuer *Office) lastStanding(region string) (standing.Standing, bool) {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	table, isRead := issuer.standings[region]
	return table, isRead
}

// leaseLength is a permit's length.
func (issuer *Office) leaseLength() time.Duration {
	_, _, tree := issuer.Current()
	return tree.Span("permit_ms", "")
}
