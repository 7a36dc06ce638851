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

type hold struct {
	serial uint64
	seen   time.Duration // when a majority last confirmed it
}

// Keeper runs for vacant duties and knows which it has.
//
// Invariant: held has a duty only if the register named this incarnation as its
// holder no longer than a session ago, by this daemon's clock.
type Keeper struct {
	Options
	guard sync.Mutex
	held  map[string]hold
	stop  bool
	// Changes counts hands changed, as the doctor's sign of flapping.
	Changes map[string]int
	last    map[string]Duty
	// changed is when last was first read so.
	changed map[string]time.Duration
}

// Held gives the duty's serial if this daemon holds it now.
func (keeper *Keeper) Held(name string) (uint64, bool) {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	one, ok := keeper.held[name]
	if !ok || keeper.World.Now()-one.seen > keeper.Span() {
		return 0, false
	}
	return one.serial, true
}

// Holds gives all that this daemon holds now, by their serials.
func (keeper *Keeper) Holds() map[string]uint64 {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	out := map[string]uint64{}
	for name, one := range keeper.held {
		if keeper.World.Now()-one.seen <= keeper.Span() {
			out[name] = one.serial
		}
	}
	return out
}

// Last gives a duty as last read.
func (keeper *Keeper) Last(name string) (Duty, bool) {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	duty, known := keeper.last[name]
	return duty, known
}

// Seen gives the duties as last read, and how often each changed hands here.
func (keeper *Keeper) Seen() (map[string]Duty, map[string]int) {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	duties, changes := map[string]Duty{}, map[string]int{}
	for name, duty := range keeper.last {
		duties[name] = duty
		changes[name] = keeper.Changes[name]
	}
	return duties, changes
}

// Run watches the duties and runs for those that fall vacant. One that has begun anew
// looks more often: what was its own before it may have at once.
func (keeper *Keeper) Run() {
	loop.Every(keeper.World, func() time.Duration {
		if keeper.IsBack && keeper.Watched() < 3*keeper.Span()/2 {
			return keeper.Span() / 16
		}
		return keeper.Span() / 4
	}, func() bool {
		keeper.Turn()
		return true
	})
}

// Turn looks once at every duty.
func (keeper *Keeper) Turn() {
	names := keeper.Wanted()
	keys := make([]string, len(names))
	for index, name := range names {
		keys[index] = Prefix + name
	}
	if len(keys) == 0 {
		return
	}
	now := keeper.World.Now()
	values, err := keeper.Keeper.ReadMany(keys...)
	if err != nil {
		return // what is held expires by itself
	}
	before := map[string]Duty{}
	var own []string
	for index, name := range names {
		var duty Duty
		if value := values[keys[index]]; value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &duty)
		}
		keeper.note(name, duty, now)
		switch {
		case !keeper.vacant(name, duty):
		case duty.Holder == keeper.Name:
			before[name], own = duty, append(own, name)
		default:
			keeper.stand(name, duty)
		}
	}
	// What was this daemon's before it began anew nobody else runs for as soon: at once,
	// and all together, as each takes two rounds.
	loop.Gather(keeper.World, len(own), loop.Forever, func(index int) bool {
		keeper.stand(own[index], before[own[index]])
		return true
	}, func(int, bool) bool { return false })
}

// note takes what the register says into the tables.
func (keeper *Keeper) note(name string, duty Duty, asked time.Duration) {
	keeper.guard.Lock()
	defer keeper.guard.Unlock()
	if keeper.held == nil {
		keeper.held, keeper.last, keeper.Changes, keeper.changed = map[string]hold{}, map[string]Duty{}, map[string]int{}, map[string]time.Duration{}
	}
	before, known := keeper.last[name]
	if known && before.Serial != duty.Serial {
		keeper.Changes[name]++
	}
	if !known || before != duty {
		keeper.changed[name] = keeper.World.Now()
	}
	keeper.last[name] = duty
	if duty.Holder == keeper.Name && duty.Incarnation == keeper.Incarnation && !keeper.stop {
		keeper.held[name] = hold{duty.Serial, asked}
	} else {
		delete(keeper.held, name)
	}
}

// vacant tells whether the duty, as just read, is nobody's. A holder that is alive and
// for all that does not claim it can't reach a majority, and so can't do it; a new one
// is given time to say its word.
func (keeper *Keeper) vacant(name string, duty Duty) bool {
	keeper.guard.Lock()
	stopped, since := keeper.stop, keeper.World.Now()-keeper.changed[name]
	keeper.guard.Unlock()
	if stopped || duty.Holder == keeper.Name && duty.Incarnation == keeper.Incarnation {
		return false
	}
	// The holder was this daemon, before it began anew: nobody else needs to be known.
	if duty.Holder == keeper.Name {
		return true
	}
	// A daemon that has just started does not know the members yet and could
	// neither judge who is gone nor do the duty well.
	if keeper.Watched() < keeper.Span() {
		return false
	}
	if duty.Holder == "" || keeper.Reborn(duty.Holder, duty.Incarnation) {
		return true
	}
	if keeper.Watched() <= 2*keeper.Span() {
		return false
	}
	return !keeper.Alive(duty.Holder, duty.Incarnation) || since > 2*keeper.Span() && !keeper.Claims(name, duty)
}

var errTaken = errors.New("taken")

// stand runs for a duty that was seen in the given state.
func (keeper *Keeper) stand(name string, seen Duty) {
	// A draw keeps all from running at once; the registers decide in any case.
	if seen.Holder != keeper.Name {
		loop.Sleep(keeper.World, time.Duration(keeper.World.Draw(int64(keeper.Span()/10))))
	}
	asked := keeper.World.Now()
	next := Duty{Holder: keeper.Name, Incarnation: keeper.Incarnation, Serial: seen.Serial + 1}
	_, err := keeper.Keeper.Change(Prefix+name, func(value register.Value) ([]byte, error) {
		var duty Duty
		if value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &duty)
		}
		if duty != seen {
			return nil, errTaken
		}
		return json.Marshal(next)
	})
	if err == nil {
		keeper.note(name, next, asked)
	}
}

// Resign lets go of every duty, for a planned stop.
func (keeper *Keeper) Resign() {
	keeper.guard.Lock()
	keeper.stop = true
	held := keeper.held
	keeper.held = map[string]hold{}
	keeper.guard.Unlock()
	for _, name := range slices.Sorted(maps.Keys(held)) {
		one := held[name]
		_, _ = keeper.Keeper.Change(Prefix+name, func(value register.Value) ([]byte, error) {
			var duty Duty
			_ = json.Unmarshal(value.Data, &duty)
			if duty.Serial != one.serial {
				return nil, errTaken
			}
			return json.Marshal(Duty{Serial: one.serial})
		})
	}
}
