// Package duty gives duties that one daemon does to one daemon: whenever a duty
// falls vacant, a round of ballots on its register decides who has it next.
package duty

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"swifttiller/loop"
	"swifttiller/register"
)

// Prefix of the registers of duties.
const Prefix = "duty/"

// Duty is what a duty's register holds.
//
// Invariant: Serial rises by one with every change of hands and never falls;
// it fences every write that the duty makes.
type Duty struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Serial      uint64 `json:"serial"`
}

// Options of a keeper of duties.
type Options struct {
	World       loop.World
	Keeper      *register.Keeper
	Name        string
	Incarnation string
	// Span is a session's bound.
	Span func() time.Duration
	// Alive tells whether the daemon of that incarnation is a member, and is
	// asked only once the membership has been watched for long enough.
	Alive func(name, incarnation string) bool
	// Claims tells whether the daemon, a member, says itself that it holds the duty.
	Claims func(name string, duty Duty) bool
	// Reborn tells whether another incarnation of the name is a member.
	Reborn func(name, incarnation string) bool
	// Watched tells for how long the membership has been watched.
	Watched func() time.Duration
	// IsBack tells that the daemon was in a core before it began.
	IsBack bool
	// Wanted lists the duties that there shall be, those first that this daemon
	// should rather have.
	Wanted func() []string
}

type leadership struct {
	term        uint64
	confirmedAt time.Duration // when a majority last confirmed it
}

// Keeper runs for vacant duties and knows which it has.
//
// Invariant: held has a duty only if the register named this incarnation as its
// holder no longer than a session ago, by this daemon's clock.
type Keeper struct {
	Options
	mu         sync.Mutex
	held       map[string]leadership
	isResigned bool
	// Changes counts hands changed, as the doctor's sign of flapping.
	Changes  map[string]int
	lastRead map[string]Duty
	// changedAt is when last was first read so.
	changedAt map[string]time.Duration
}

// Held gives the duty's serial if this daemon holds it now.
func (elector *Keeper) Held(name string) (uint64, bool) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	own, ok := elector.held[name]
	if !ok || elector.World.Now()-own.confirmedAt > elector.Span() {
		return 0, false
	}
	return own.term, true
}

// Holds gives all that this daemon holds now, by their serials.
func (elector *Keeper) Holds() map[string]uint64 {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	out := map[string]uint64{}
	for name, own := range elector.held {
		if elector.World.Now()-own.confirmedAt <= elector.Span() {
			out[name] = own.term
		}
	}
	return out
}

// Last gives a duty as last read.
func (elector *Keeper) Last(name string) (Duty, bool) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	duty, isKnown := elector.lastRead[name]
	return duty, isKnown
}

// Seen gives the duties as last read, and how often each changed hands here.
func (elector *Keeper) Seen() (map[string]Duty, map[string]int) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	duties, changes := map[string]Duty{}, map[string]int{}
	for name, duty := range elector.lastRead {
		duties[name] = duty
		changes[name] = elector.Changes[name]
	}
	return duties, changes
}

// Run watches the duties and runs for those that fall vacant. One that has begun anew
// looks more often: what was its own before it may have at once.
func (elector *Keeper) Run() {
	loop.Every(elector.World, func() time.Duration {
		if elector.IsBack && elector.Watched() < 3*elector.Span()/2 {
			return elector.Span() / 16
		}
		return elector.Span() / 4
	}, func() bool {
		elector.Turn()
		return true
	})
}

// Turn looks once at every duty.
func (elector *Keeper) Turn() {
	names := elector.Wanted()
	keys := make([]string, len(names))
	for index, name := range names {
		keys[index] = Prefix + name
	}
	if len(keys) == 0 {
		return
	}
	now := elector.World.Now()
	values, err := elector.Keeper.ReadMany(keys...)
	if err != nil {
		return // what is held expires by itself
	}
	reclaimable := map[string]Duty{}
	var ownNames []string
	for index, name := range names {
		var duty Duty
		if value := values[keys[index]]; value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &duty)
		}
		elector.record(name, duty, now)
		switch {
		case !elector.isVacant(name, duty):
		case duty.Holder == elector.Name:
			reclaimable[name], ownNames = duty, append(ownNames, name)
		default:
			elector.campaign(name, duty)
		}
	}
	// What was this daemon's before it began anew nobody else runs for as soon: at once,
	// and all together, as each takes two rounds.
	loop.Gather(elector.World, len(ownNames), loop.Forever, func(index int) bool {
		elector.campaign(ownNames[index], reclaimable[ownNames[index]])
		return true
	}, func(int, bool) bool { return false })
}

// record takes what the register says into the tables.
func (elector *Keeper) record(name string, duty Duty, readAt time.Duration) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.held == nil {
		elector.held, elector.lastRead, elector.Changes, elector.changedAt = map[string]leadership{}, map[string]Duty{}, map[string]int{}, map[string]time.Duration{}
	}
	previous, isKnown := elector.lastRead[name]
	if isKnown && previous.Serial != duty.Serial {
		elector.Changes[name]++
	}
	if !isKnown || previous != duty {
		elector.changedAt[name] = elector.World.Now()
	}
	elector.lastRead[name] = duty
	if duty.Holder == elector.Name && duty.Incarnation == elector.Incarnation && !elector.isResigned {
		elector.held[name] = leadership{duty.Serial, readAt}
	} else {
		delete(elector.held, name)
	}
}

// isVacant tells whether the duty, as just read, is nobody's. A holder that is alive and
// for all that does not claim it can't reach a majority, and so can't do it; a new one
// is given time to say its word.
func (elector *Keeper) isVacant(name string, duty Duty) bool {
	elector.mu.Lock()
	isResigned, unchanged := elector.isResigned, elector.World.Now()-elector.changedAt[name]
	elector.mu.Unlock()
	if isResigned || duty.Holder == elector.Name && duty.Incarnation == elector.Incarnation {
		return false
	}
	// The holder was this daemon, before it began anew: nobody else needs to be known.
	if duty.Holder == elector.Name {
		return true
	}
	// A daemon that has just started does not know the members yet and could
	// neither judge who is gone nor do the duty well.
	if elector.Watched() < elector.Span() {
		return false
	}
	if duty.Holder == "" || elector.Reborn(duty.Holder, duty.Incarnation) {
		return true
	}
	if elector.Watched() <= 2*elector.Span() {
		return false
	}
	return !elector.Alive(duty.Holder, duty.Incarnation) || unchanged > 2*elector.Span() && !elector.Claims(name, duty)
}

var errChanged = errors.New("taken")

// campaign runs for a duty that was seen in the given state.
func (elector *Keeper) campaign(name string, observed Duty) {
	// A draw keeps all from running at once; the registers decide in any case.
	if observed.Holder != elector.Name {
		loop.Sleep(elector.World, time.Duration(elector.World.Draw(int64(elector.Span()/10))))
	}
	startedAt := elector.World.Now()
	next := Duty{Holder: elector.Name, Incarnation: elector.Incarnation, Serial: observed.Serial + 1}
	_, err := elector.Keeper.Change(Prefix+name, func(value register.Value) ([]byte, error) {
		var duty Duty
		if value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &duty)
		}
		if duty != observed {
			return nil, errChanged
		}
		return json.Marshal(next)
	})
	if err == nil {
		elector.record(name, next, startedAt)
	}
}

// Resign lets go of every duty, for a planned stop.
func (elector *Keeper) Resign() {
	elector.mu.Lock()
	elector.isResigned = true
	held := elector.held
	elector.held = map[string]leadership{}
	elector.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(held)) {
		own := held[name]
		_, _ = elector.Keeper.Change(Prefix+name, func(value register.Value) ([]byte, error) {
			var duty Duty
			_ = json.Unmarshal(value.Data, &duty)
			if duty.Serial != own.term {
				return nil, errChanged
			}
			return json.Marshal(Duty{Serial: own.term})
		})
	}
}
