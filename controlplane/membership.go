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

// CoreElection is the election whose leader reconciles the core's membership with the live acceptors.
const CoreElection = "core"

// MaxVotes is the size up to which the core grows automatically.
const MaxVotes = 7

// shrinkAfter is how many times replaceAfter an acceptor of an even core may be silent before it
// is removed without a replacement. That is longer than a region is usually unreachable, as each
// change of the core costs a copy of all registers. An acceptor whose daemon was shut down
// properly, or which has a successor in the core, is waited for only once replaceAfter.
const shrinkAfter = 20

// AcceptorView is what this daemon knows of an acceptor's daemon. SilentFor counts from the last
// sign of life, or, if there never was one, from when the acceptor was first missed.
type AcceptorView struct {
	Member    session.Member
	SilentFor time.Duration
	// IsMember tells whether it has a live session.
	IsMember bool
}

// CoreChange is one membership change of the core, by acceptor identity. Add and Remove may be
// empty; if both are, the change only updates an outdated address.
type CoreChange struct {
	Add, Remove string
	// NeedsAll tells that the change is made only while every acceptor of the core answers.
	NeedsAll bool
	// IsAfterLoss tells that the core has no majority, and that the removed acceptor's disk is lost.
	IsAfterLoss bool
}

// PlanCoreChange gives the next change of the core, if one is due. seen has every acceptor of the
// core and every control daemon's acceptor; replaceAfter is how long an acceptor of the core may
// be silent before another one replaces it.
//
// Invariants: a change adds at most one acceptor and removes at most one. A silent acceptor is
// removed without a replacement only if its daemon is back with another disk whose acceptor is in
// the core already, or if the core is even and has four or more acceptors, as it then tolerates
// as many losses without it. The core grows only while all of its acceptors are members.
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
	// Acceptors are spread over regions first, then over zones.
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
		if view.Member.Leaving || hasSuccessor(core, member, seen, replaceAfter) {
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

// hasSuccessor tells whether another acceptor of the core in the member's zone is live and was started
// at least replaceAfter later, to replace the member. The zone is then reachable, and the member is
// not. In a core that is even by design, acceptors of a zone start together.
func hasSuccessor(core register.Core, member register.Member, seen map[string]AcceptorView, replaceAfter time.Duration) bool {
	silent := seen[member.ID]
	return silent.Member.Zone != "" && slices.ContainsFunc(core.Members, func(other register.Member) bool {
		view := seen[other.ID]
		return view.IsMember && !view.Member.Leaving && view.Member.Zone == silent.Member.Zone && silent.startedFor()-view.startedFor() >= replaceAfter
	})
}

// startedFor is how long ago the acceptor's daemon was started.
func (view AcceptorView) startedFor() time.Duration { return view.Member.Uptime + view.SilentFor }

// hasLostDisk tells whether the member's daemon is back with another disk.
func hasLostDisk(member register.Member, seen map[string]AcceptorView) bool {
	for id, view := range seen {
		if id != member.ID && view.IsMember && member.Name != "" && view.Member.Name == member.Name {
			return true
		}
	}
	return false
}

// PlanAfterLoss gives the change that restores a majority of an even core of which exactly half can
// vote, if one of the others has lost its disk. inStep are the acceptors that can vote. The smaller
// core has that half as a majority, and every acknowledged value is held there.
func PlanAfterLoss(core register.Core, seen map[string]AcceptorView, inStep map[string]bool) (CoreChange, bool) {
	if len(core.Members)%2 != 0 || 2*len(inStep) != len(core.Members) {
		return CoreChange{}, false
	}
	for _, member := range core.Members {
		if !inStep[member.ID] && hasLostDisk(member, seen) {
			return CoreChange{Remove: member.ID, IsAfterLoss: true}, true
		}
	}
	return CoreChange{}, false
}

// replacementOf gives the acceptor with which a silent member's daemon has come back, or one
// outside of the core that now runs at the member's address.
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

// Next gives the members of the core after the change.
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

// isSafe tells whether the core can safely change to the next one now. inStep are the acceptors
// of the core that hold its epoch and can vote, and answered is how many answered at all.
//
// Invariant: the acceptors in step that remain are a majority of the next core even without the
// new one.
func (change CoreChange) isSafe(core, next register.Core, inStep map[string]bool, answered int) bool {
	remaining := 0
	for id := range inStep {
		if id != change.Remove {
			remaining++
		}
	}
	return remaining >= next.Majority() && (!change.NeedsAll || answered >= len(core.Members))
}

// membershipReconciler tracks the acceptors' signs of life and changes the core accordingly. All
// control daemons track them, so that a new leader knows for how long each has been silent.
type membershipReconciler struct {
	daemon     *Daemon
	lastSeenAt map[string]time.Duration  // by acceptor: its last sign of life, or when it was first missed
	seen       map[string]session.Member // by acceptor: its daemon, as last seen
	// rounds counts the rounds since this daemon became the leader of the core.
	rounds int
}

// silentAcceptors lists the acceptors of the core whose daemons have no live session.
func silentAcceptors(core register.Core, seen map[string]AcceptorView) (ids []string) {
	for _, member := range core.Members {
		if !seen[member.ID].IsMember {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// observe records which acceptors are alive now, and forgets those that are neither in the core
// nor members.
func (reconciler *membershipReconciler) observe(core register.Core) map[string]AcceptorView {
	daemon := reconciler.daemon
	now, seen := daemon.World.Now(), map[string]AcceptorView{}
	for _, peer := range daemon.Sessions.Live(session.Control) {
		if id := peer.Member.Acceptor; id != "" {
			reconciler.lastSeenAt[id], reconciler.seen[id] = now-peer.Age, peer.Member
			seen[id] = AcceptorView{Member: peer.Member, SilentFor: peer.Age, IsMember: true}
		}
	}
	for _, member := range core.Members {
		if _, isMember := seen[member.ID]; !isMember {
			if since, known := reconciler.lastSeenAt[member.ID]; !known {
				reconciler.lastSeenAt[member.ID] = now
			} else if last, wasMember := reconciler.seen[member.ID]; wasMember && now-since < daemon.sessionTimeout() {
				// A session times out only after sessionTimeout of silence, so this one was ended by
				// its daemon.
				last.Leaving = true
				reconciler.seen[member.ID] = last
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

// errCoreChanged is the error for a change that was planned for a core that is outdated by now.
var errCoreChanged = errors.New("the core has changed since the change was planned")

// reconcile runs one round: it observes the acceptors, restores a majority that was lost with a
// disk, and, on the leader of the core, makes the next change if one is due.
//
// Invariant: a change is made only while the remaining acceptors that hold the core's epoch and
// can vote are a majority of the next core too. All acknowledged values then are at a majority of
// the next core without the new acceptor's copy, and the next change waits until new acceptors
// hold their copies or are not needed for that. So however often machines are replaced, no
// majority consists of acceptors that hold nothing.
func (reconciler *membershipReconciler) reconcile() {
	daemon := reconciler.daemon
	core := daemon.Core()
	if core.Epoch == 0 {
		return
	}
	seen := reconciler.observe(core)
	daemon.silent.update(daemon.World.Now(), silentAcceptors(core, seen))
	if reconciler.restoreMajority(core, seen) {
		return
	}
	if _, held := daemon.Elections.Term(CoreElection); !held {
		daemon.behind.update(daemon.World.Now(), nil) // only the leader compares copies
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
	inStep, answered := daemon.UpToDate(core)
	reconciler.apply(change, core, seen, inStep, answered)
}

// restoreMajority makes the change that is due after the loss of a disk has taken the core's
// majority. Without one there is no leader, so every daemon whose own acceptor can vote tries to. It
// tells whether such a change was due.
func (reconciler *membershipReconciler) restoreMajority(core register.Core, seen map[string]AcceptorView) bool {
	daemon := reconciler.daemon
	isLost := func(member register.Member) bool { return hasLostDisk(member, seen) }
	if len(core.Members)%2 != 0 || !slices.ContainsFunc(core.Members, isLost) {
		return false
	}
	inStep, answered := daemon.UpToDate(core)
	change, isDue := PlanAfterLoss(core, seen, inStep)
	if !isDue || !inStep[daemon.Own] {
		return false
	}
	reconciler.apply(change, core, seen, inStep, answered)
	return true
}

// apply makes a change of the core if it is safe now. inStep and answered are as for isSafe.
func (reconciler *membershipReconciler) apply(change CoreChange, core register.Core, seen map[string]AcceptorView, inStep map[string]bool, answered int) {
	daemon := reconciler.daemon
	next := register.Core{Epoch: core.Epoch + 1, Members: change.Next(core, seen)}
	if !change.isSafe(core, next, inStep, answered) {
		daemon.Log.Info("a core change is due but not safe yet", zap.String("add", change.Add), zap.String("remove", change.Remove), zap.Int("in_step", len(inStep)))
		return
	}
	var about register.Status
	if change.Add != "" {
		err := daemon.Net.Call(seen[change.Add].Member.Wire, "Register.Describe", struct{}{}, &about, daemon.sessionTimeout()/4)
		if err != nil || about.ID != change.Add || about.Disk.Broken != "" {
			return
		}
	}
	if daemon.Point != nil {
		daemon.Point("tender.change")
	}
	changeCore := daemon.ChangeCore
	if change.IsAfterLoss {
		changeCore = daemon.ChangeCoreAfterLoss
	}
	_, err := changeCore(func(current register.Core) ([]register.Member, error) {
		if current.Epoch != core.Epoch {
			return nil, errCoreChanged
		}
		return next.Members, nil
	})
	daemon.Log.Info("core change finished", zap.Uint64("epoch", next.Epoch), zap.String("add", change.Add), zap.String("remove", change.Remove), zap.Bool("after_loss", change.IsAfterLoss), zap.Error(err))
}

// reconcileMembership runs the membership reconciler until the daemon stops.
func (daemon *Daemon) reconcileMembership() {
	reconciler := &membershipReconciler{daemon: daemon, lastSeenAt: map[string]time.Duration{}, seen: map[string]session.Member{}}
	loop.Every(daemon.World, daemon.sessionFraction(1, 6), func() bool {
		reconciler.reconcile()
		return !daemon.stopped.Load()
	})
}
