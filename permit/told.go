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
func PackStanding(one standing.Standing) ([]byte, error) {
	text, err := json.Marshal(one)
	if err != nil {
		return nil, err
	}
	return wire.Pack(text, nil), nil
}

// OpenStanding reads a standing from its register, which must have been written, and
// gives its text, too.
func OpenStanding(value register.Value) (one standing.Standing, text []byte, err error) {
	if text, err = wire.Unpack(value.Data, nil); err != nil {
		return one, nil, err
	}
	if err = json.Unmarshal(text, &one); err != nil {
		return one, nil, err
	}
	one.Serial = value.Serial
	return one, text, nil
}

// PackPlaced gives tenants' placements as their register holds them, and as they travel.
func PackPlaced(book tenant.Book) ([]byte, error) {
	text, err := json.Marshal(book)
	if err != nil {
		return nil, err
	}
	return wire.Pack(text, nil), nil
}

// OpenPlaced reads tenants' placements; false where there are none.
func OpenPlaced(data []byte) (book tenant.Book, isRead bool) {
	text, err := wire.Unpack(data, nil)
	return book, len(data) > 0 && err == nil && json.Unmarshal(text, &book) == nil
}

// stacked is how many texts of a region's standings an office keeps.
const stacked = 8

// stack keeps the texts of a region's last standings.
//
// Invariant: serials rise; packed has what was told of the last one, by base.
type stack struct {
	serials []uint64
	texts   [][]byte
	packed  map[uint64][]byte
}

// stack keeps a text; who holds the guard calls it.
func (office *Office) stack(region string, serial uint64, text []byte) {
	if office.stacks == nil {
		office.stacks = map[string]*stack{}
	}
	one := office.stacks[region]
	if one == nil {
		one = &stack{}
		office.stacks[region] = one
	}
	if len(one.serials) > 0 && one.serials[len(one.serials)-1] >= serial {
		return
	}
	one.serials, one.texts, one.packed = append(one.serials, serial), append(one.texts, text), map[uint64][]byte{}
	if over := len(one.serials) - stacked; over > 0 {
		one.serials, one.texts = append([]uint64{}, one.serials[over:]...), append([][]byte{}, one.texts[over:]...)
	}
}

// tell packs a standing for one who has an older one; false if its text is not kept.
func (office *Office) tell(one standing.Standing, has uint64) (Told, bool) {
	office.guard.Lock()
	defer office.guard.Unlock()
	have := office.stacks[one.Region]
	if have == nil || have.serials[len(have.serials)-1] != one.Serial {
		return Told{}, false
	}
	var base []byte
	out := Told{Region: one.Region, Serial: one.Serial}
	for at, serial := range have.serials {
		if serial == has && has < one.Serial {
			base, out.Base = have.texts[at], has
		}
	}
	if have.packed[out.Base] == nil {
		have.packed[out.Base] = wire.Pack(have.texts[len(have.texts)-1], base)
	}
	out.Packed = have.packed[out.Base]
	return out, true
}

// open reads what was told, by the texts that the view has, and keeps the new text.
func (view *View) open(told Told) (one standing.Standing, isRead bool) {
	var base text
	if told.Base > 0 {
		if base = view.texts[told.Region]; base.serial != told.Base {
			return one, false
		}
	}
	fresh, err := wire.Unpack(told.Packed, base.text)
	if err != nil || json.Unmarshal(fresh, &one) != nil || one.Region != told.Region {
		return one, false
	}
	one.Serial = told.Serial
	view.texts[told.Region] = text{told.Serial, fresh}
	return one, true
}

// text is a standing as its register held it under the serial.
type text struct {
	serial uint64
	text   []byte
}

// Of how many lists of members an office knows when each was told, and from how many members
// on a difference is packed.
const (
	rolled     = 1024
	packedFrom = 8
)

// rolls are the lists of members that were told, as a history of their changes: where all
// daemons begin at once each ask finds another list, and who has an older one is told what
// has changed since.
//
// Invariants: turn rises with each other list; names are those of the last list, with the sum
// of each and the turn at which it came to be so; gone are those that were in a list before,
// and when they left. A sum names one list, and turns has when that was told last.
type rolls struct {
	turn  uint64
	last  uint64 // the sum of the last list
	names map[string]enlisted
	gone  map[string]uint64
	turns map[uint64]uint64
	order []uint64 // of turns' sums
	// packed is the last list that was told whole, with the uptimes as of at.
	packed []byte
	of     uint64
	at     time.Duration
}

// enlisted is a member in the history: the sum of it, and the turn at which that came to be.
type enlisted struct{ sum, turn uint64 }

// learn takes a list into the history.
func (rolls *rolls) learn(sum uint64, members []session.Member) {
	if sum == rolls.last {
		return
	}
	if rolls.names == nil {
		rolls.names, rolls.gone, rolls.turns = map[string]enlisted{}, map[string]uint64{}, map[uint64]uint64{}
	}
	rolls.turn++
	now := make(map[string]bool, len(members))
	for at := range members {
		one := session.Sum(members[at : at+1])
		now[members[at].Name] = true
		if rolls.names[members[at].Name].sum != one {
			rolls.names[members[at].Name] = enlisted{one, rolls.turn}
		}
		delete(rolls.gone, members[at].Name)
	}
	for name := range rolls.names {
		if !now[name] {
			delete(rolls.names, name)
			rolls.gone[name] = rolls.turn
		}
	}
	if _, known := rolls.turns[sum]; !known {
		rolls.order = append(rolls.order, sum)
	}
	rolls.last, rolls.turns[sum] = sum, rolls.turn
	if len(rolls.order) > rolled {
		delete(rolls.turns, rolls.order[0])
		rolls.order = rolls.order[1:]
		oldest := rolls.turn
		for _, turn := range rolls.turns {
			oldest = min(oldest, turn)
		}
		maps.DeleteFunc(rolls.gone, func(_ string, turn uint64) bool { return turn <= oldest })
	}
}

// whole gives all members of the last list, packed once for many who ask, and how long ago
// that was. A daemon that begins anew gets them.
func (rolls *rolls) whole(members []session.Member, now time.Duration) ([]byte, time.Duration) {
	if rolls.of != rolls.last || now-rolls.at > stale {
		rolls.packed, rolls.of, rolls.at = wire.PackValue(members), rolls.last, now
	}
	return rolls.packed, now - rolls.at
}

// unroll reads members that came packed, and lets them be up for as long as they were kept so.
func (grant *Grant) unroll() error {
	if len(grant.Rolled) == 0 {
		return nil
	}
	if err := wire.UnpackValue(grant.Rolled, &grant.Members); err != nil {
		return err
	}
	for at := range grant.Members {
		grant.Members[at].Uptime += grant.Age
	}
	return nil
}

// list puts into a grant what the asker lacks of the members.
func (office *Office) list(members []session.Member, has uint64, grant *Grant) {
	grant.Sum = session.Sum(members)
	office.guard.Lock()
	defer office.guard.Unlock()
	rolls := &office.rolls
	rolls.learn(grant.Sum, members)
	since, isKnown := rolls.turns[has]
	switch {
	case has == grant.Sum:
	case !isKnown:
		grant.Rolled, grant.Age = rolls.whole(members, office.World.Now())
	default:
		grant.Base = has
		for _, one := range members {
			if rolls.names[one.Name].turn > since {
				grant.Members = append(grant.Members, one)
			}
		}
		for name, turn := range rolls.gone {
			if turn > since {
				grant.Gone = append(grant.Gone, name)
			}
		}
		if len(grant.Members) >= packedFrom {
			grant.Rolled, grant.Members = wire.PackValue(grant.Members), nil
		}
	}
}
