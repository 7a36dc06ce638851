// Package lease implements the leases that allow data daemons to serve. A lease consists
// of a configuration version, the regions' routing tables with their capacity allocations,
// and a deadline.
package lease

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
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/wire"
)

// Keys of the registers that a lease is made of.
const (
	ConfigKey          = "config"
	HolderPrefix       = "holder/"
	RoutingTablePrefix = "standing/"
	// PlacementsKey holds the placements of tenants (tenant.Placements).
	PlacementsKey = "tenants/placed"
)

// MaxClockDrift is the largest drift between two clocks within a lease, as a ratio.
const MaxClockDrift = 0.05

// Request is a data daemon's request for a lease.
type Request struct {
	Holder session.Member
	// Config and Standings are the versions that it already has.
	Config    uint64
	Standings map[string]uint64
	// Members is the checksum of its member list. IsStale requests the uptimes of all
	// members anew, which it extrapolates with its own clock.
	Members uint64
	IsStale bool
	// Placed is the version of the tenants' placements that it has.
	Placed uint64
}

// Grant is a lease. Its length counts from before the request was sent.
type Grant struct {
	Serial    uint64 // version of the configuration that it is granted under, which the holder fetches
	Standings []TableUpdate
	// Kept has the regions whose routing table, in the version that the holder has after
	// this grant, is kept up to date, and how long ago that was confirmed. Only these
	// tables are handed out in Standings.
	Kept map[string]time.Duration
	// Unkept has the last routing tables of regions whose tables are not kept up to date
	// now.
	Unkept []TableUpdate
	// Members are omitted if the holder has the same list, which the checksum tells. They
	// don't include what only control daemons exchange among themselves. If Base is not
	// zero, Members has only those that are not in the list with the checksum Base, which
	// the holder has, and Gone the names of those that left it.
	Members   []session.Member
	Gone      []string
	Base, Sum uint64
	// Rolled is the packed form of Members, used for long lists, with uptimes that are as
	// old as Age. If Base is zero, it has all members.
	Rolled []byte
	Age    time.Duration
	// Uptimes are those of all members, in milliseconds and ordered by member name. They
	// are set if they were requested and Members is not the complete list.
	Uptimes []int64
	Length  time.Duration
	// Placed are the packed placements of tenants, if newer than the holder's.
	Placed       []byte
	PlacedSerial uint64
	// Declined is the reason why no lease was granted. IsQueued tells that the holder's
	// record waits in the queue of the issuer that was asked, so that the holder should
	// retry there.
	Declined string
	IsQueued bool
}

// IssuerOptions of a lease issuer.
type IssuerOptions struct {
	World     loop.World
	Net       wire.Net
	Registers *register.Client
	Table     *session.Table
	// ConfirmedAge tells whether the region's routing table is kept up to date, and how long ago
	// that was confirmed.
	ConfirmedAge func(region string, read routing.Table) (time.Duration, bool)
	// OrderTimeout is how long an operator's order is retried while no majority of the core
	// answers. Zero stands for the timeout of the register client.
	OrderTimeout time.Duration
}

// orderTimeout returns OrderTimeout or its default.
func (issuer *Issuer) orderTimeout() time.Duration {
	if issuer.OrderTimeout > 0 {
		return issuer.OrderTimeout
	}
	return issuer.Registers.Patience
}

// Issuer is a lease issuer: it grants leases and has data daemons acknowledge
// configurations. Every control daemon has one.
type Issuer struct {
	IssuerOptions
	// learnMutex serializes the parsing of a new configuration, so that many concurrent
	// requests have it parsed once. No I/O or waiting happens while it is locked.
	learnMutex sync.Mutex
	mutex      sync.Mutex
	serial     uint64
	config     Config
	tree       *settings.Tree
	// seenAt is when serial was first seen here; it was decided by then. olderLeaseSpan is
	// for how long after seenAt leases under older configurations may still be valid, as
	// far as this issuer saw those.
	seenAt, olderLeaseSpan time.Duration
	// versions are the last configurations seen, in ascending order, so that the last one
	// is config. updates are the packed forms of config, by base version.
	versions []configVersion
	updates  map[uint64]*ConfigUpdate
	// parsedTree is the last result of Parse without problems, of parsedDocument.
	parsedTree     *settings.Tree
	parsedDocument []byte
	// writtenRecords are the holder records that this issuer wrote last, by key.
	writtenRecords map[string]HolderRecord
	recordQueue    recordQueue
	// absentSince has the time since when a holder has had no session.
	absentSince map[string]time.Duration
	granted     uint64
	// holderKeys are the keys of the holders as last listed.
	holderKeys []string
	// acknowledged is the highest version that was acknowledged here. That implies the
	// acknowledgement of all versions before it.
	acknowledged uint64
	// tables are the routing tables last read, by region. They are immutable.
	tables map[string]routing.Table
	// tablesReadAt is when each of them was first read.
	tablesReadAt  map[string]time.Duration
	tableTexts    map[string]*textHistory // their encoded forms, by region
	memberHistory memberHistory           // the member lists last sent
	// pages are the history pages that were read, by number. They are immutable.
	pages map[uint64][]OrderMark
}

// Current returns the newest configuration that this daemon has read.
func (issuer *Issuer) Current() (uint64, Config, *settings.Tree) {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	return issuer.serial, issuer.config, issuer.tree
}

// Grants returns the number of leases granted here.
func (issuer *Issuer) Grants() uint64 {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	return issuer.granted
}

// Adopt adopts a configuration that was read from its register.
func (issuer *Issuer) Adopt(value register.Value) error {
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
		return fmt.Errorf("cannot decode the configuration's register: %w", err)
	}
	return issuer.applyConfig(value.Serial, config)
}

// applyConfig adopts a configuration that its register held as the given version.
func (issuer *Issuer) applyConfig(serial uint64, config Config) error {
	tree, problems := issuer.Parse(config.Document)
	if len(problems) > 0 {
		return problems
	}
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	if serial > issuer.serial {
		now, olderLeaseSpan := issuer.World.Now(), tree.Duration("permit_ms", "")
		if issuer.tree != nil {
			olderLeaseSpan = max(olderLeaseSpan, issuer.tree.Duration("permit_ms", ""), issuer.seenAt+issuer.olderLeaseSpan-now)
		}
		issuer.seenAt, issuer.olderLeaseSpan = now, olderLeaseSpan
		issuer.serial, issuer.config, issuer.tree = serial, config, tree
		issuer.keepVersion()
	}
	return nil
}

// firstSeen returns when the configuration of the given version was first seen here, and
// for how long after that leases under older ones may still be valid. It returns false if
// that version is not the issuer's current one.
func (issuer *Issuer) firstSeen(serial uint64) (seenAt, olderLeaseSpan time.Duration, isKnown bool) {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	return issuer.seenAt, issuer.olderLeaseSpan, issuer.serial == serial
}

// Parse is settings.Parse with a cache of the last document without problems. The new tree
// shares the unchanged parts with the previous one.
func (issuer *Issuer) Parse(document []byte) (*settings.Tree, settings.Problems) {
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

// Refresh reads the configuration from a majority of acceptors. Without a majority it gives
// up after the timeout for orders.
func (issuer *Issuer) Refresh() error {
	value, err := issuer.Registers.ReadWithin(ConfigKey, issuer.orderTimeout())
	if err != nil {
		return err
	}
	return issuer.Adopt(value)
}

// Renew grants a lease, or returns the reason for the rejection.
func (issuer *Issuer) Renew(request Request, grant *Grant) error {
	startedAt := issuer.World.Now()
	record := HolderRecord{Incarnation: request.Holder.Incarnation, Wire: request.Holder.Wire}
	holderKey := HolderPrefix + request.Holder.Name
	// The record must be stored before the configuration is read; see HolderRecord for the reason.
	if err := issuer.ensureRecord(holderKey, record, request.Config == 0); err != nil {
		grant.Declined, grant.IsQueued = err.Error(), errors.Is(err, errQueued)
		return nil
	}
	_, _, tree := issuer.Current()
	for round := 0; round < 3; round++ {
		keys := []string{ConfigKey}
		if tree != nil {
			for _, region := range tree.Regions() {
				keys = append(keys, RoutingTablePrefix+region)
			}
			if tree.Limit("tenant_ms", "") > 0 {
				keys = append(keys, PlacementsKey)
			}
		}
		values, unsettled, err := issuer.Registers.ReadSettled(keys...)
		value := values[ConfigKey]
		if err == nil && slices.Contains(unsettled, ConfigKey) {
			value, err = issuer.Registers.Read(ConfigKey)
		}
		if err != nil {
			grant.Declined = err.Error()
			return nil
		}
		if value.Serial == 0 {
			grant.Declined = "there is no configuration yet"
			return nil
		}
		if err := issuer.Adopt(value); err != nil {
			grant.Declined = err.Error()
			return nil
		}
		serial, _, newest := issuer.Current()
		if tree == nil || strings.Join(newest.Regions(), " ") != strings.Join(tree.Regions(), " ") {
			tree = newest
			continue // the regions have changed: read their routing tables, too
		}
		// This is the newest version that this issuer knows, which was decided before now.
		// So a later grant is never under an older configuration than an earlier one.
		grant.Serial, grant.Kept = serial, map[string]time.Duration{}
		for _, region := range newest.Regions() {
			value := values[RoutingTablePrefix+region]
			table, isRead := issuer.readTable(region, value)
			if slices.Contains(unsettled, RoutingTablePrefix+region) {
				// It is being written. The previous table applies until the write
				// completes.
				table, isRead = issuer.lastTable(region)
			}
			// A routing table that is not kept up to date may be from before a complete
			// outage, and its replicas may be cold by now.
			if !isRead {
				continue
			}
			age, isKept := issuer.ConfirmedAge(region, table)
			if table.Serial <= request.Standings[region] {
				if isKept {
					grant.Kept[region] = age
				}
				continue
			}
			update, isPacked := issuer.packTable(table, request.Standings[region])
			switch {
			case isKept && isPacked:
				grant.Kept[region] = age
				grant.Standings = append(grant.Standings, update)
			case isPacked && newest.Limit("alone_ms", "") > 0:
				// Daemons that may serve without a lease prefer this table to none.
				grant.Unkept = append(grant.Unkept, update)
			}
		}
		if placements := values[PlacementsKey]; placements.Serial > request.Placed {
			grant.Placed, grant.PlacedSerial = placements.Data, placements.Serial
		}
		if grant.Sum = issuer.Table.Checksum(""); grant.Sum != request.Members || request.IsStale {
			members := issuer.Table.Members("")
			issuer.fillMembers(members, request.Members, grant)
			if request.IsStale && (grant.Base != 0 || grant.Sum == request.Members) {
				for _, member := range members {
					grant.Uptimes = append(grant.Uptimes, member.Uptime.Milliseconds())
				}
			}
		}
		grant.Length = newest.Duration("permit_ms", "")
		// If this process was suspended between its reads, the configuration may have been
		// replaced long ago. The holder counts the lease from before its request, so such a
		// lease has already expired and need not be granted.
		if issuer.World.Now()-startedAt > grant.Length/2 {
			*grant = Grant{Declined: "reading the registers took too long"}
			return nil
		}
		issuer.mutex.Lock()
		issuer.granted++
		issuer.mutex.Unlock()
		return nil
	}
	grant.Declined = "the configuration changed too often during the request"
	return nil
}

// readTable returns the routing table that a region's register holds. Each version is
// decoded once.
func (issuer *Issuer) readTable(region string, value register.Value) (routing.Table, bool) {
	issuer.mutex.Lock()
	cached, known := issuer.tables[region]
	issuer.mutex.Unlock()
	if known && value.Serial > 0 && cached.Serial >= value.Serial {
		return cached, true // a newer version was also decided before now
	}
	var table routing.Table
	if value.Serial == 0 {
		return table, false
	}
	table, text, err := DecodeRoutingTable(value)
	if err != nil {
		return table, false
	}
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	issuer.keepText(region, value.Serial, text)
	if issuer.tables == nil {
		issuer.tables, issuer.tablesReadAt = map[string]routing.Table{}, map[string]time.Duration{}
	}
	if issuer.tables[region].Serial < table.Serial {
		issuer.tables[region], issuer.tablesReadAt[region] = table, issuer.World.Now()
	}
	return table, true
}

// lastTable returns the region's routing table that was read last.
func (issuer *Issuer) lastTable(region string) (routing.Table, bool) {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	table, isRead := issuer.tables[region]
	return table, isRead
}

// leaseLength returns the configured length of a lease.
func (issuer *Issuer) leaseLength() time.Duration {
	_, _, tree := issuer.Current()
	return tree.Duration("permit_ms", "")
}
