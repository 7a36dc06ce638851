package permit

import (
	"encoding/json"
	"maps"
	"time"

	"swifttiller/register"
	"swifttiller/session"
	"swifttiller/standing"
	"swifttiller/tenant"
	"swifttiller/wire"
)

// Told is a region's standing on its way to a data daemon: its text packed against the
// text of an older one, which the asker has under the serial Base; zero for none.
type Told struct {
	Region       string
	Serial, Base uint64
	Packed       []byte
}

// PackStanding gives a standing as its register holds it.
func PackStanding(table standing.Standing) ([]byte, error) {
	text, err := json.Marshal(table)
	if err != nil {
		return nil, err
	}
	return wire.Pack(text, nil), nil
}

// OpenStanding reads a standing from its register, which must have been written, and
// gives its text, too.
func OpenStanding(value register.Value) (table standing.Standing, text []byte, err error) {
	if text, err = wire.Unpack(value.Data, nil); err != nil {
		return table, nil, err
	}
	if err = json.Unmarshal(text, &table); err != nil {
		return table, nil, err
	}
	table.Serial = value.Serial
	return table, text, nil
}

// PackPlaced gives tenants' placements as their register holds them, and as they travel.
func PackPlaced(placements tenant.Book) ([]byte, error) {
	text, err := json.Marshal(placements)
	if err != nil {
		return nil, err
	}
	return wire.Pack(text, nil), nil
}

// OpenPlaced reads tenants' placements; false where there are none.
func OpenPlaced(data []byte) (placements tenant.Book, isRead bool) {
	text, err := wire.Unpack(data, nil)
	return placements, len(data) > 0 && err == nil && json.Unmarshal(text, &placements) == nil
}

// maxStandingTexts is how many texts of a region's standings an office keeps.
const maxStandingTexts = 8

// textHistory keeps the texts of a region's last standings.
//
// Invariant: serials rise; packed has what was told of the last one, by base.
type textHistory struct {
	serials []uint64
	texts   [][]byte
	packed  map[uint64][]byte
}

// keepText keeps a text; who holds the guard calls it.
func (issuer *Office) keepText(region string, serial uint64, text []byte) {
	if issuer.standingTexts == nil {
		issuer.standingTexts = map[string]*textHistory{}
	}
	history := issuer.standingTexts[region]
	if history == nil {
		history = &textHistory{}
		issuer.standingTexts[region] = history
	}
	if len(history.serials) > 0 && history.serials[len(history.serials)-1] >= serial {
		return
	}
	history.serials, history.texts, history.packed = append(history.serials, serial), append(history.texts, text), map[uint64][]byte{}
	if excess := len(history.serials) - maxStandingTexts; excess > 0 {
		history.serials, history.texts = append([]uint64{}, history.serials[excess:]...), append([][]byte{}, history.texts[excess:]...)
	}
}

// packStanding packs a standing for one who has an older one; false if its text is not kept.
func (issuer *Office) packStanding(table standing.Standing, baseSerial uint64) (Told, bool) {
	issuer.mutex.Lock()
	defer issuer.mutex.Unlock()
	history := issuer.standingTexts[table.Region]
	if history == nil || history.serials[len(history.serials)-1] != table.Serial {
		return Told{}, false
	}
	var base []byte
	update := Told{Region: table.Region, Serial: table.Serial}
	for index, serial := range history.serials {
		if serial == baseSerial && baseSerial < table.Serial {
			base, update.Base = history.texts[index], baseSerial
		}
	}
	if history.packed[update.Base] == nil {
		history.packed[update.Base] = wire.Pack(history.texts[len(history.texts)-1], base)
	}
	update.Packed = history.packed[update.Base]
	return update, true
}

// unpackStanding reads what was told, by the texts that the view has, and keeps the new text.
func (view *View) unpackStanding(update Told) (table standing.Standing, isRead bool) {
	var base standingText
	if update.Base > 0 {
		if base = view.standingTexts[update.Region]; base.serial != update.Base {
			return table, false
		}
	}
	data, err := wire.Unpack(update.Packed, base.data)
	if err != nil || json.Unmarshal(data, &table) != nil || table.Region != update.Region {
		return table, false
	}
	table.Serial = update.Serial
	view.standingTexts[update.Region] = standingText{update.Serial, data}
	return table, true
}

// standingText is a standing as its register held it under the serial.
type standingText struct {
	serial uint64
	data   []byte
}

// Of how many lists of members an office knows when each was told, and from how many members
// on a difference is packed.
const (
	maxMemberLists   = 1024
	minPackedMembers = 8
)

// memberHistory are the lists of members that were told, as a history of their changes: where all
// daemons begin at once each ask finds another list, and who has an older one is told what
// has changed since.
//
// Invariants: turn rises with each other list; names are those of the last list, with the sum
// of each and the turn at which it came to be so; gone are those that were in a list before,
// and when they left. A sum names one list, and turns has when that was told last.
type memberHistory struct {
	revision  uint64
	lastSum   uint64 // the sum of the last list
	present   map[string]memberRevision
	removed   map[string]uint64
	revisions map[uint64]uint64
	sums      []uint64 // of turns' sums
	// packed is the last list that was told whole, with the uptimes as of at.
	packed    []byte
	packedSum uint64
	packedAt  time.Duration
}

// memberRevision is a member in the history: the sum of it, and the turn at which that came to be.
type memberRevision struct{ sum, revision uint64 }

// record takes a list into the history.
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
		memberSum := session.Sum(members[index : index+1])
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

// packAll gives all members of the last list, packed once for many who ask, and how long ago
// that was. A daemon that begins anew gets them.
func (history *memberHistory) packAll(members []session.Member, now time.Duration) ([]byte, time.Duration) {
	if history.packedSum != history.lastSum || now-history.packedAt > uptimesMaxAge {
		history.packed, history.packedSum, history.packedAt = wire.PackValue(members), history.lastSum, now
	}
	return history.packed, now - history.packedAt
}

// unpackMembers reads members that came packed, and lets them be up for as long as they were kept so.
func (grant *Grant) unpackMembers() error {
	if len(grant.Rolled) == 0 {
		return nil
	}
	if err := wire.UnpackValue(grant.Rolled, &grant.Members); err != nil {
		return err
	}
	for index := range grant.Members {
		grant.Members[index].Uptime += grant.Age
	}
	return nil
}

// fillMembers puts into a grant what the asker lacks of the members.
func (issuer *Office) fillMembers(members []session.Member, baseSum uint64, grant *Grant) {
	grant.Sum = session.Sum(members)
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
			grant.Rolled, grant.Members = wire.PackValue(grant.Members), nil
		}
	}
}
