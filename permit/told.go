package permit

import (
	"encoding/json"
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

// rolled is how many lists of members an office keeps.
const rolled = 16

// rolls are the lists of members that were told last, newest last.
type rolls []*roll

// roll is one of them.
//
// Invariant: packed has all members with their uptimes as of at.
type roll struct {
	sum    uint64
	marks  map[string]session.Member // by name, with nothing that the sum is not over
	packed []byte
	at     time.Duration
}

// whole gives all members, packed once for many who ask, and how long ago that was. A
// daemon that begins anew gets them, and where all begin at once each of many gets many.
func (roll *roll) whole(members []session.Member, now time.Duration) ([]byte, time.Duration) {
	if roll.packed == nil || now-roll.at > stale {
		roll.packed, roll.at = wire.PackValue(members), now
	}
	return roll.packed, now - roll.at
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

// marked is the member with nothing that a sum of members is not over.
func marked(member session.Member) session.Member {
	member.Uptime, member.Duties, member.Keeps = 0, nil, nil
	return member
}

// same tells whether two members that were marked are the same.
func same(a, b session.Member) bool {
	return session.Sum([]session.Member{a}) == session.Sum([]session.Member{b})
}

// list puts into a grant what the asker lacks of the members.
func (office *Office) list(members []session.Member, has uint64, grant *Grant) {
	grant.Sum = session.Sum(members)
	office.guard.Lock()
	defer office.guard.Unlock()
	var before, present *roll
	for _, one := range office.rolls {
		if one.sum == has {
			before = one
		}
		if one.sum == grant.Sum {
			present = one
		}
	}
	if present == nil {
		present = &roll{sum: grant.Sum, marks: make(map[string]session.Member, len(members))}
		for _, one := range members {
			present.marks[one.Name] = marked(one)
		}
		office.rolls = append(office.rolls, present)
		office.rolls = office.rolls[max(0, len(office.rolls)-rolled):]
	}
	switch {
	case has == grant.Sum:
	case before == nil:
		grant.Rolled, grant.Age = present.whole(members, office.World.Now())
	default:
		grant.Base = has
		now := make(map[string]bool, len(members))
		for _, one := range members {
			now[one.Name] = true
			if was, known := before.marks[one.Name]; !known || !same(was, marked(one)) {
				grant.Members = append(grant.Members, one)
			}
		}
		for name := range before.marks {
			if !now[name] {
				grant.Gone = append(grant.Gone, name)
			}
		}
	}
}
