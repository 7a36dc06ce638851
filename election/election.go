// Package election elects a leader among the daemons for each task that only one daemon may do.
// Whenever a leadership is vacant, a compare-and-set on its register decides who gets it next.
package election

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

// Prefix is the key prefix of the registers of leaderships.
const Prefix = "duty/"

// Leadership is the content of a leadership's register.
//
// Invariant: Serial is the term. It increases by one with every change of the leader and never
// decreases, and it fences every write that the leader makes.
type Leadership struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Serial      uint64 `json:"serial"`
}

// Options configures an elector.
type Options struct {
	World       loop.World
	Registers   *register.Client
	Name        string
	Incarnation string
	// SessionTimeout returns the session timeout.
	SessionTimeout func() time.Duration
	// IsAlive reports whether the daemon of that incarnation is a member. It is called only after
	// the membership has been watched for long enough.
	IsAlive func(name, incarnation string) bool
	// Claims reports whether the daemon, a member, announces itself that it holds the leadership.
	Claims func(name string, duty Leadership) bool
	// HasRestarted reports whether another incarnation of the daemon is a member.
	HasRestarted func(name, incarnation string) bool
	// Watched returns for how long the membership has been watched.
	Watched func() time.Duration
	// HasRestartedSelf reports that the daemon was a member of a core before it restarted.
	HasRestartedSelf bool
	// Wanted returns the names of all leaderships, those first that this daemon should preferably
	// hold.
	Wanted func() []string
}

type leadership struct {
	term        uint64
	confirmedAt time.Duration // when a majority last confirmed it
}

// Elector campaigns for vacant leaderships and knows which ones this daemon holds.
//
// Invariant: held contains a leadership only if, no longer than a session timeout ago by this
// daemon's clock, the register named this incarnation as its leader.
type Elector struct {
	Options
	mu         sync.Mutex
	held       map[string]leadership
	isResigned bool
	// Changes counts the changes of the leader, by which the doctor recognizes flapping.
	Changes  map[string]int
	lastRead map[string]Leadership
	// changedAt is when the content in lastRead was first read.
	changedAt map[string]time.Duration
}

// Term returns the term of the leadership if this daemon holds it now.
func (elector *Elector) Term(name string) (uint64, bool) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	own, ok := elector.held[name]
	if !ok || elector.World.Now()-own.confirmedAt > elector.SessionTimeout() {
		return 0, false
	}
	return own.term, true
}

// Terms returns the terms of all leaderships that this daemon holds now.
func (elector *Elector) Terms() map[string]uint64 {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	out := map[string]uint64{}
	for name, own := range elector.held {
		if elector.World.Now()-own.confirmedAt <= elector.SessionTimeout() {
			out[name] = own.term
		}
	}
	return out
}

// Last returns a leadership as last read.
func (elector *Elector) Last(name string) (Leadership, bool) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	last, isKnown := elector.lastRead[name]
	return last, isKnown
}

// Snapshot returns all leaderships as last read, and how often this daemon saw each of them change its
// leader.
func (elector *Elector) Snapshot() (map[string]Leadership, map[string]int) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	leaderships, changes := map[string]Leadership{}, map[string]int{}
	for name, last := range elector.lastRead {
		leaderships[name] = last
		changes[name] = elector.Changes[name]
	}
	return leaderships, changes
}

// Run watches the leaderships and campaigns for vacant ones. A restarted daemon checks more often
// at first, as it can take back at once what it held before the restart.
func (elector *Elector) Run() {
	loop.Every(elector.World, func() time.Duration {
		if elector.HasRestartedSelf && elector.Watched() < 3*elector.SessionTimeout()/2 {
			return elector.SessionTimeout() / 16
		}
		return elector.SessionTimeout() / 4
	}, func() bool {
		elector.CheckAll()
		return true
	})
}

// CheckAll checks every leadership once.
func (elector *Elector) CheckAll() {
	names := elector.Wanted()
	keys := make([]string, len(names))
	for index, name := range names {
		keys[index] = Prefix + name
	}
	if len(keys) == 0 {
		return
	}
	now := elector.World.Now()
	values, err := elector.Registers.ReadMany(keys...)
	if err != nil {
		return // leaderships that this daemon holds expire by themselves
	}
	reclaimable := map[string]Leadership{}
	var ownNames []string
	for index, name := range names {
		var current Leadership
		if value := values[keys[index]]; value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &current)
		}
		elector.record(name, current, now)
		switch {
		case !elector.isVacant(name, current):
		case current.Holder == elector.Name:
			reclaimable[name], ownNames = current, append(ownNames, name)
		default:
			elector.campaign(name, current)
		}
	}
	// Other daemons don't campaign as early for what this daemon held before its restart. So it
	// campaigns for all of that at once and in parallel, since each campaign takes two rounds.
	loop.Gather(elector.World, len(ownNames), loop.Forever, func(index int) bool {
		elector.campaign(ownNames[index], reclaimable[ownNames[index]])
		return true
	}, func(int, bool) bool { return false })
}

// record updates the local state from the register's content.
func (elector *Elector) record(name string, current Leadership, readAt time.Duration) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.held == nil {
		elector.held, elector.lastRead, elector.Changes, elector.changedAt = map[string]leadership{}, map[string]Leadership{}, map[string]int{}, map[string]time.Duration{}
	}
	previous, isKnown := elector.lastRead[name]
	if isKnown && previous.Serial != current.Serial {
		elector.Changes[name]++
	}
	if !isKnown || previous != current {
		elector.changedAt[name] = elector.World.Now()
	}
	elector.lastRead[name] = current
	if current.Holder == elector.Name && current.Incarnation == elector.Incarnation && !elector.isResigned {
		elector.held[name] = leadership{current.Serial, readAt}
	} else {
		delete(elector.held, name)
	}
}

// isVacant reports whether the leadership, as just read, is vacant. A leader that is alive but
// does not claim its leadership can't reach a majority and so can't act as leader; a new leader is
// given time to announce its claim.
func (elector *Elector) isVacant(name string, current Leadership) bool {
	elector.mu.Lock()
	isResigned, unchanged := elector.isResigned, elector.World.Now()-elector.changedAt[name]
	elector.mu.Unlock()
	if isResigned || current.Holder == elector.Name && current.Incarnation == elector.Incarnation {
		return false
	}
	// The leader was this daemon before its restart; no knowledge of other members is needed.
	if current.Holder == elector.Name {
		return true
	}
	// A daemon that has just started does not know the members yet. It could neither judge whether
	// the leader is gone nor act well as leader.
	if elector.Watched() < elector.SessionTimeout() {
		return false
	}
	if current.Holder == "" || elector.HasRestarted(current.Holder, current.Incarnation) {
		return true
	}
	if elector.Watched() <= 2*elector.SessionTimeout() {
		return false
	}
	return !elector.IsAlive(current.Holder, current.Incarnation) || unchanged > 2*elector.SessionTimeout() && !elector.Claims(name, current)
}

var errChanged = errors.New("taken")

// campaign tries to take over a leadership whose register was observed with the given content.
func (elector *Elector) campaign(name string, observed Leadership) {
	// A random delay keeps the daemons from campaigning all at once; the register decides in any
	// case.
	if observed.Holder != elector.Name {
		loop.Sleep(elector.World, time.Duration(elector.World.RandN(int64(elector.SessionTimeout()/10))))
	}
	startedAt := elector.World.Now()
	next := Leadership{Holder: elector.Name, Incarnation: elector.Incarnation, Serial: observed.Serial + 1}
	_, err := elector.Registers.Update(Prefix+name, func(value register.Value) ([]byte, error) {
		var current Leadership
		if value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &current)
		}
		if current != observed {
			return nil, errChanged
		}
		return json.Marshal(next)
	})
	if err == nil {
		elector.record(name, next, startedAt)
	}
}

// Resign gives up every leadership, for a planned shutdown.
func (elector *Elector) Resign() {
	elector.mu.Lock()
	elector.isResigned = true
	held := elector.held
	elector.held = map[string]leadership{}
	elector.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(held)) {
		own := held[name]
		_, _ = elector.Registers.Update(Prefix+name, func(value register.Value) ([]byte, error) {
			var current Leadership
			_ = json.Unmarshal(value.Data, &current)
			if current.Serial != own.term {
				return nil, errChanged
			}
			return json.Marshal(Leadership{Serial: own.term})
		})
	}
}
