package lease

import (
	"encoding/json"
	"maps"
	"time"

	"swifttiller/register"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/tenant"
	"swifttiller/wire"
)

// TableUpdate is the transferred form of a region's routing table: its encoded form, packed
// against that of an older table, which the holder has with the version Base. Base is zero
// for none.
type TableUpdate struct {
	Region       string
	Serial, Base uint64
	Packed       []byte
	// Age is for how long the issuer has known the table, at least.
	Age time.Duration
}

// EncodeRoutingTable encodes a routing table for its register.
func EncodeRoutingTable(table routing.Table) ([]byte, error) {
	text, err := json.Marshal(table)
	if err != nil {
		return nil, err
	}
	return wire.Compress(text, nil), nil
}

// DecodeRoutingTable decodes a routing table from its register, which must have been written. It
// also returns the unpacked JSON text.
func DecodeRoutingTable(value register.Value) (table routing.Table, text []byte, err error) {
	if text, err = wire.Decompress(value.Data, nil); err != nil {
		return table, nil, err
	}
	if err = json.Unmarshal(text, &table); err != nil {
		return table, nil, err
	}
	table.Serial = value.Serial
	return table, text, nil
}

// EncodePlacements encodes the tenants' placements for their register and for transfer.
func EncodePlacements(placements tenant.Placements) ([]byte, error) {
	text, err := json.Marshal(placements)
	if err != nil {
		return nil, err
	}
	return wire.Compress(text, nil), nil
}

// DecodePlacements decodes the tenants' placements. It returns false if there are none.
func DecodePlacements(data []byte) (placements tenant.Placements, isRead bool) {
	text, err := wire.Decompress(data, nil)
	return placements, len(data) > 0 && err == nil && json.Unmarshal(text, &placements) == nil
}

// maxTableTexts is how many versions of a region's encoded routing table an issuer keeps
// as bases for deltas.
const maxTableTexts = 8

// textHistory keeps the last encoded routing tables of a region.
//
// Invariant: serials are ascending. packed has the deltas to the last version, by base
// version.
type textHistory struct {
	serials []uint64
	texts   [][]byte
	packed  map[uint64][]byte
}

// keepText adds a version to the region's history. The caller holds the mutex.
func (issuer *Issuer) keepText(region string, serial uint64, text []byte) {
	if issuer.tableTexts == nil {
		issuer.tableTexts = map[string]*textHistory{}
	}
	history := issuer.tableTexts[region]
	if history == nil {
		history = &textHistory{}
		issuer.tableTexts[region] = history
	}
	if len(history.serials) > 0 && history.serials[len(history.serials)-1] >= serial {
		return
	}
	history.serials, history.texts, history.packed = append(history.serials, serial), append(history.texts, text), map[uint64][]byte{}
	if excess := len(history.serials) - maxTableTexts; excess > 0 {
		history.serials, history.texts = append([]uint64{}, history.serials[excess:]...), append([][]byte{}, history.texts[excess:]...)
	}
}

// packTable packs a routing table for a holder that has the version baseSerial. It
// returns false if the table's encoded form is not kept.
func (issuer *Issuer) packTable(table routing.Table, baseSerial uint64) (TableUpdate, bool) {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	history := issuer.tableTexts[table.Region]
	if history == nil || history.serials[len(history.serials)-1] != table.Serial {
		return TableUpdate{}, false
	}
	var base []byte
	update := TableUpdate{Region: table.Region, Serial: table.Serial, Age: issuer.World.Now() - issuer.tablesReadAt[table.Region]}
	for index, serial := range history.serials {
		if serial == baseSerial && baseSerial < table.Serial {
			base, update.Base = history.texts[index], baseSerial
		}
	}
	if history.packed[update.Base] == nil {
		history.packed[update.Base] = wire.Compress(history.texts[len(history.texts)-1], base)
	}
	update.Packed = history.packed[update.Base]
	return update, true
}

// unpackTable decodes a received routing table, given the ones that the view has, and
// keeps its encoded form.
func (view *View) unpackTable(update TableUpdate, now time.Duration) (table routing.Table, isRead bool) {
	var base tableText
	if update.Base > 0 {
		if base = view.tableTexts[update.Region]; base.serial != update.Base {
			return table, false
		}
	}
	data, err := wire.Decompress(update.Packed, base.data)
	if err != nil || json.Unmarshal(data, &table) != nil || table.Region != update.Region {
		return table, false
	}
	table.Serial = update.Serial
	view.tableTexts[update.Region] = tableText{update.Serial, data, now - update.Age}
	return table, true
}

// tableText is the encoded routing table of one version.
type tableText struct {
	serial uint64
	data   []byte
	// writtenAt is when the version was written, at the latest.
	writtenAt time.Duration
}

// TableAge returns how long ago the region's routing table was written, at least.
func (view *View) TableAge(region string, now time.Duration) time.Duration {
	text, isKnown := view.tableTexts[region]
	if !isKnown || text.serial != view.RoutingTables[region].Serial {
		return 0
	}
	return now - text.writtenAt
}

// maxMemberLists is of how many sent member lists an issuer remembers the revision.
// minPackedMembers is the number of changed members from which on a delta is packed.
const (
	maxMemberLists   = 1024
	minPackedMembers = 8
)

// memberHistory is the history of changes of the member lists that were sent. When all
// daemons start at once, every request finds another list; a holder that has an older one
// gets only the changes since.
//
// Invariants: revision rises with each different list. present has the members of the last
// list, each with its checksum and the revision of its last change. removed has former
// members with the revision at which they were removed. A checksum identifies one list;
// revisions has, by checksum, the revision at which the list was last sent.
type memberHistory struct {
	revision  uint64
	lastSum   uint64 // checksum of the last list
	present   map[string]memberRevision
	removed   map[string]uint64
	revisions map[uint64]uint64
	sums      []uint64 // keys of revisions, the oldest first
	// packed is the last list that was packed in full, with the uptimes as of packedAt.
	packed    []byte
	packedSum uint64
	packedAt  time.Duration
}

// memberRevision is a present member: its checksum, and the revision since which it has
// that.
type memberRevision struct{ sum, revision uint64 }

// record adds a list to the history.
func (history *memberHistory) record(sum uint64, members []session.Member) {
	if sum == history.lastSum {
		return
	}
	if history.present == nil {
		history.present, history.removed, history.revisions = map[string]memberRevision{}, map[string]uint64{}, map[uint64]uint64{}
	}
	history.revision++
	isPresent := make(map[string]bool, len(members))
	for index := range members {
		memberSum := session.Checksum(members[index : index+1])
		isPresent[members[index].Name] = true
		if history.present[members[index].Name].sum != memberSum {
			history.present[members[index].Name] = memberRevision{memberSum, history.revision}
		}
		delete(history.removed, members[index].Name)
	}
	for name := range history.present {
		if !isPresent[name] {
			delete(history.present, name)
			history.removed[name] = history.revision
		}
	}
	if _, known := history.revisions[sum]; !known {
		history.sums = append(history.sums, sum)
	}
	history.lastSum, history.revisions[sum] = sum, history.revision
	if len(history.sums) > maxMemberLists {
		delete(history.revisions, history.sums[0])
		history.sums = history.sums[1:]
		oldest := history.revision
		for _, revision := range history.revisions {
			oldest = min(oldest, revision)
		}
		maps.DeleteFunc(history.removed, func(_ string, revision uint64) bool { return revision <= oldest })
	}
}

// packAll returns all members of the last list and how old their uptimes are. Daemons that
// have just started need them; the list is packed once for many requests.
func (history *memberHistory) packAll(members []session.Member, now time.Duration) ([]byte, time.Duration) {
	if history.packedSum != history.lastSum || now-history.packedAt > uptimesMaxAge {
		history.packed, history.packedSum, history.packedAt = wire.EncodeCompressed(members), history.lastSum, now
	}
	return history.packed, now - history.packedAt
}

// unpackMembers decodes packed members, and adds the time since they were packed to their
// uptimes.
func (grant *Grant) unpackMembers() error {
	if len(grant.Rolled) == 0 {
		return nil
	}
	if err := wire.DecodeCompressed(grant.Rolled, &grant.Members); err != nil {
		return err
	}
	for index := range grant.Members {
		grant.Members[index].Uptime += grant.Age
	}
	return nil
}

// fillMembers adds the changes to the grant that lead from the holder's list of members,
// identified by its checksum, to the present one. Unknown lists are replaced in full.
func (issuer *Issuer) fillMembers(members []session.Member, baseSum uint64, grant *Grant) {
	grant.Sum = session.Checksum(members)
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	history := &issuer.memberHistory
	history.record(grant.Sum, members)
	baseRevision, isKnown := history.revisions[baseSum]
	switch {
	case baseSum == grant.Sum:
	case !isKnown:
		grant.Rolled, grant.Age = history.packAll(members, issuer.World.Now())
	default:
		grant.Base = baseSum
		for _, member := range members {
			if history.present[member.Name].revision > baseRevision {
				grant.Members = append(grant.Members, member)
			}
		}
		for name, revision := range history.removed {
			if revision > baseRevision {
				grant.Gone = append(grant.Gone, name)
			}
		}
		if len(grant.Members) >= minPackedMembers {
			grant.Rolled, grant.Members = wire.EncodeCompressed(grant.Members), nil
		}
	}
}
