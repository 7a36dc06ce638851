package controlplane

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/session"
)

// CoreDuty is the duty that keeps the core equal to the acceptors that live.
const CoreDuty = "core"

// MaxVotes is how far the core grows by itself.
const MaxVotes = 7

// shrinkAfter is how many bounds one of an even core may be unheard before its vote goes
// without another in its place: longer than a region is usually out of reach, as each
// change of the core costs a copy. One that went in order is waited for but once.
const shrinkAfter = 20

// AcceptorView is the last that was heard of an acceptor's daemon. Unheard counts from
// then, or from when this daemon began to look if it never heard of it.
type AcceptorView struct {
	Member    session.Member
	SilentFor time.Duration
	// IsMember is whether its session stands.
	IsMember bool
}

// CoreChange is one step for the core, by identities; Add and Remove may be empty, and
// if both are, an address in the core is out of date.
type CoreChange struct {
	Add, Remove string
	// NeedsAll steps are made only while every acceptor of the core answers.
	NeedsAll bool
}

// PlanCoreChange gives the next step for the core, if there is one. What was seen has every
// acceptor of the core and every control daemon's acceptor; bound is how long one of
// the core may be unheard before another takes its place.
//
// Invariants: one step adds at most one acceptor and removes at most one. One that is
// only silent is removed only for another in its place; without that, only one whose
// daemon is back with another disk, which has a vote already, or one of an even core of
// four or more, which bears no more losses with it than without. Growth waits for all.
func PlanCoreChange(core register.Core, seen map[string]AcceptorView, replaceAfter time.Duration) (CoreChange, bool) {
	var waiting []AcceptorView
	for id, view := range seen {
		if view.IsMember && !view.Member.Leaving && !core.Has(id) {
			waiting = append(waiting, view)
		}
	}
	regions, zones := map[string]int{}, map[string]int{}
	for _, member := range core.Members {
		if view := seen[member.ID]; view.IsMember {
			regions[view.Member.Region]++
			zones[view.Member.Zone]++
		}
	}
	// Votes are spread over regions, then over zones.
	slices.SortFunc(waiting, func(a, b AcceptorView) int {
		return cmp.Or(cmp.Compare(regions[a.Member.Region], regions[b.Member.Region]), cmp.Compare(zones[a.Member.Zone], zones[b.Member.Zone]), cmp.Compare(a.Member.Name, b.Member.Name))
	})
	allLive := true
	for _, member := range core.Members {
		if seen[member.ID].IsMember {
			continue
		}
		allLive = false
		if successor, isReplaced := replacementOf(core, member, seen); isReplaced {
			if core.Has(successor) {
				return CoreChange{Remove: member.ID}, true
			}
			return CoreChange{Add: successor, Remove: member.ID}, true
		}
	}
	for _, member := range core.Members {
		if view := seen[member.ID]; !view.IsMember && view.SilentFor >= replaceAfter && len(waiting) > 0 {
			return CoreChange{Add: waiting[0].Member.Acceptor, Remove: member.ID}, true
		}
	}
	for _, member := range core.Members {
		view, timeout := seen[member.ID], shrinkAfter*replaceAfter
		if view.Member.Leaving {
			timeout = replaceAfter
		}
		if !view.IsMember && view.SilentFor >= timeout && len(core.Members)%2 == 0 && len(core.Members) >= 4 {
			return CoreChange{Remove: member.ID}, true
		}
	}
	if allLive && len(waiting) > 0 && len(core.Members) < MaxVotes {
		return CoreChange{Add: waiting[0].Member.Acceptor, NeedsAll: true}, true
	}
	for _, member := range core.Members {
		if view := seen[member.ID]; view.IsMember && view.Member.Wire != member.Address {
			return CoreChange{NeedsAll: true}, true
		}
	}
	return CoreChange{}, false
}

// replacementOf gives the acceptor with which the daemon of a member that is not heard is
// back, or that waits at the member's address.
func replacementOf(core register.Core, member register.Member, seen map[string]AcceptorView) (string, bool) {
	ids := slices.Sorted(maps.Keys(seen))
	for _, id := range ids {
		if view := seen[id]; view.IsMember && view.Member.Name == member.Name {
			return id, true
		}
	}
	for _, id := range ids {
		if view := seen[id]; view.IsMember && view.Member.Wire == member.Address && !core.Has(id) {
			return id, true
		}
	}
	return "", false
}

// Next gives the members of the core after the step.
func (change CoreChange) Next(core register.Core, seen map[string]AcceptorView) (members []register.Member) {
	ids := []string{change.Add}
	for _, member := range core.Members {
		ids = append(ids, member.ID)
	}
	for index, id := range ids {
		if id == "" || id == change.Remove {
			continue
		}
		view := seen[id]
		member := register.Member{ID: id, Address: view.Member.Wire, Name: view.Member.Name}
		if index > 0 && !view.IsMember {
			member = core.Members[index-1]
		}
		members = append(members, member)
	}
	return members
}

// isSafe tells whether the step from one core to the next is safe now: which acceptors of
// the core hold its epoch and can vote, and how many answered at all.
//
// Invariant: those that stay are a majority of the next core without the newcomer.
func (change CoreChange) isSafe(core, next register.Core, inStep map[string]bool, answered int) bool {
	remaining := 0
	for id := range inStep {
		if id != change.Remove {
			remaining++
		}
	}
	return remaining >= next.Majority() && (!change.NeedsAll || answered >= len(core.Members))
}

// membershipReconciler is what a daemon remembers of acceptors. All daemons do, so that whoever
// gets the duty knows for how long one has been silent.
type membershipReconciler struct {
	daemon     *Daemon
	lastSeenAt map[string]time.Duration // by acceptor: when it was last heard, or first missed
	seen       map[string]session.Member
	// rounds counts those since this daemon holds the core's duty.
	rounds int
}

// silentAcceptors lists the acceptors of the core whose daemons have no session.
func silentAcceptors(core register.Core, seen map[string]AcceptorView) (ids []string) {
	for _, member := range core.Members {
		if !seen[member.ID].IsMember {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// observe notes who is heard now, and forgets whoever is neither in the core nor a member.
func (reconciler *membershipReconciler) observe(core register.Core) map[string]AcceptorView {
	daemon := reconciler.daemon
	now, seen := daemon.World.Now(), map[string]AcceptorView{}
	for _, view := range daemon.Table.Live(session.Control) {
		if id := view.Member.Acceptor; id != "" {
			reconciler.lastSeenAt[id], reconciler.seen[id] = now-view.Age, view.Member
			seen[id] = AcceptorView{Member: view.Member, SilentFor: view.Age, IsMember: true}
		}
	}
	for _, member := range core.Members {
		if _, isMember := seen[member.ID]; !isMember {
			if since, known := reconciler.lastSeenAt[member.ID]; !known {
				reconciler.lastSeenAt[member.ID] = now
			} else if view, isHeard := reconciler.seen[member.ID]; isHeard && now-since < daemon.sessionTimeout() {
				// Silence ends a session after a whole span: this one said that it was over.
				view.Leaving = true
				reconciler.seen[member.ID] = view
			}
			seen[member.ID] = AcceptorView{Member: reconciler.seen[member.ID], SilentFor: now - reconciler.lastSeenAt[member.ID]}
		}
	}
	for id := range reconciler.lastSeenAt {
		if _, kept := seen[id]; !kept {
			delete(reconciler.lastSeenAt, id)
			delete(reconciler.seen, id)
		}
	}
	return seen
}

// errCoreChanged: the core is another one than was looked at.
var errCoreChanged = errors.New("the core has changed meanwhile")

// reconcile looks at the core once and makes a step if it is this daemon's to make.
//
// Invariant: a step is made only while the acceptors of the core that stay, hold its
// epoch and can vote are a majority of the next core too. All that was acknowledged
// then lies at a majority of the next core without the newcomer's copy, and no step
// follows another before newcomers hold theirs, or are not needed: however often
// machines are replaced, no majority is made of acceptors that hold nothing.
func (reconciler *membershipReconciler) reconcile() {
	daemon := reconciler.daemon
	core := daemon.Core()
	if core.Epoch == 0 {
		return
	}
	seen := reconciler.observe(core)
	daemon.silent.update(daemon.World.Now(), silentAcceptors(core, seen))
	if _, held := daemon.Duties.Held(CoreDuty); !held {
		daemon.behind.update(daemon.World.Now(), nil) // the holder looks after that
		reconciler.rounds = 0
		return
	}
	if reconciler.rounds++; reconciler.rounds%compareRounds == 1 {
		daemon.compareCopies()
	}
	change, isDue := PlanCoreChange(core, seen, max(daemon.sessionTimeout(), daemon.timeLimit("replace_ms")))
	if !isDue {
		return
	}
	next := register.Core{Epoch: core.Epoch + 1, Members: change.Next(core, seen)}
	inStep, answered := daemon.InStep(core)
	if !change.isSafe(core, next, inStep, answered) {
		daemon.Log.Info("the core is due for a change that must wait", zap.String("add", change.Add), zap.String("remove", change.Remove), zap.Int("in_step", len(inStep)))
		return
	}
	var about register.About
	if change.Add != "" {
		err := daemon.Net.Call(seen[change.Add].Member.Wire, "Register.Describe", struct{}{}, &about, daemon.sessionTimeout()/4)
		if err != nil || about.ID != change.Add || about.Disk.Broken != "" {
			return
		}
	}
	if daemon.Point != nil {
		daemon.Point("tender.change")
	}
	_, err := daemon.ChangeCore(func(current register.Core) ([]register.Member, error) {
		if current.Epoch != core.Epoch {
			return nil, errCoreChanged
		}
		return next.Members, nil
	})
	daemon.Log.Info("the core was tended", zap.Uint64("epoch", next.Epoch), zap.String("add", change.Add), zap.String("remove", change.Remove), zap.Error(err))
}

// reconcileMembership keeps the core's membership.
func (daemon *Daemon) reconcileMembership() {
	reconciler := &membershipReconciler{daemon: daemon, lastSeenAt: map[string]time.Duration{}, seen: map[string]session.Member{}}
	loop.Every(daemon.World, daemon.sessionFraction(1, 6), func() bool {
		reconciler.reconcile()
		return !daemon.stopped.Load()
	})
}

// initFirstCore makes the first core of the seeds, where the whole system starts for the
// first time and nobody asked knows of a core.
func (daemon *Daemon) initFirstCore() {
	if !daemon.Process.First || daemon.Acceptor == nil || daemon.Core().Epoch > 0 {
		return
	}
	core, err := daemon.Init(daemon.Live.Seeds())
	if err != nil {
		daemon.Log.Debug("the first core is not made yet", zap.Error(err))
		return
	}
	daemon.Log.Info("the first core is made", zap.Any("core", core))
}
