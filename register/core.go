package register

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"swifttiller/loop"
)

// coreKey is the register in which each epoch decides the next core.
const coreKey = "core"

// ErrCoreChange is returned when a competing change of the core was decided first.
var ErrCoreChange = errors.New("register: another change of the core was decided first; look at `members` and try again")

// ChangeCore decides the next core in the current epoch and installs it. revise receives the
// current core and returns the members of the next one.
func (client *Client) ChangeCore(revise func(Core) ([]Member, error)) (Core, error) {
	return client.changeCore(client.Core(), lostMembers{}, revise)
}

// changeCore is ChangeCore for the given core, of which some members are known to be lost.
func (client *Client) changeCore(current Core, lost lostMembers, revise func(Core) ([]Member, error)) (Core, error) {
	if current.Epoch == 0 {
		return Core{}, ErrNoCore
	}
	members, err := revise(current)
	if err != nil {
		return Core{}, err
	}
	sort.Slice(members, func(a, b int) bool { return members[a].ID < members[b].ID })
	next := Core{Epoch: current.Epoch + 1, Members: members}
	data, err := json.Marshal(next)
	if err != nil {
		return Core{}, err
	}
	// The first decided value of an epoch is final: a proposer that comes second finishes the
	// first one's change and returns ErrCoreChange.
	value, err := client.update(coreKey, client.Patience, lost, func(value Value) ([]byte, error) {
		var decided Core
		if value.Serial > 0 {
			if err := json.Unmarshal(value.Data, &decided); err != nil {
				return nil, err
			}
		}
		if decided.Epoch > current.Epoch {
			return nil, ErrCoreChange
		}
		return data, nil
	})
	if errors.Is(err, ErrCoreChange) {
		var decided Core
		if json.Unmarshal(value.Data, &decided) == nil && decided.Epoch == current.Epoch+1 {
			if finishErr := client.finishCoreChange(current, decided); finishErr != nil {
				return Core{}, finishErr
			}
		}
		return Core{}, err
	} else if err != nil {
		return Core{}, err
	}
	return next, client.finishCoreChange(current, next)
}

// finishCoreChange completes a decided change: it seals a blocking quorum of the old core and installs
// the sealed state at a majority of the new one. Every step is idempotent, so any control daemon
// may run it, repeatedly or concurrently.
func (client *Client) finishCoreChange(old, next Core) error {
	if client.isInstalled(next) {
		client.LearnCore(next)
		return nil
	}
	sealed, err := client.seal(old, next)
	if err != nil {
		return err
	}
	installed := 0
	loop.Gather(client.World, len(next.Members), client.Patience/2, func(index int) *Vote {
		member, vote := next.Members[index], new(Vote)
		request := InstallRequest{Core: next, Cells: sealed.missingAt(member.ID)}
		if client.Net.Call(client.address(member), "Register.Install", request, vote, client.Patience/2) != nil || isWrongAcceptor(vote, member) {
			vote.Kind = DiskFailed
		}
		return vote
	}, func(_ int, vote *Vote) bool {
		if vote.Kind == Granted {
			installed++
		}
		return installed == len(next.Members)
	})
	if installed < next.Majority() {
		return fmt.Errorf("core %d is decided but not yet installed at a majority of its members: %w", next.Epoch, ErrNoMajority)
	}
	client.LearnCore(next)
	return nil
}

// sealedState is the merged state of the sealed acceptors.
//
// Invariant: a copy at a sealed acceptor is only ever replaced by a newer one, so what a sealed
// acceptor was seen to hold need not be sent to it again.
type sealedState struct {
	merged map[string]Cell
	heldBy map[string]map[string]Ballot // the accepted ballots of each sealed acceptor, by acceptor and key
}

// add merges the reply of a sealed acceptor. known and accepted are the keys and ballots of the
// copies that the seal request listed as already known.
func (sealed *sealedState) add(reply *SealReply, known map[BallotHash]string, accepted map[string]Ballot) {
	held := map[string]Ballot{}
	for hash, key := range known {
		if !reply.Absent[hash] {
			held[key] = accepted[key]
		}
	}
	for key, cell := range reply.Cells {
		held[key] = cell.Accepted
		if newest, isKnown := sealed.merged[key]; !isKnown || newest.Accepted.Less(cell.Accepted) {
			sealed.merged[key] = cell
		}
	}
	sealed.heldBy[reply.ID] = held
}

// missingAt returns the cells that the acceptor was not seen to hold.
func (sealed *sealedState) missingAt(id string) map[string]Cell {
	out := map[string]Cell{}
	for key, cell := range sealed.merged {
		if held, isKnown := sealed.heldBy[id][key]; !isKnown || held.Less(cell.Accepted) {
			out[key] = cell
		}
	}
	return out
}

// seal seals a majority of the old core, or at least a blocking quorum if no more reply: what was
// decided there is held by one of its members, and no majority without them can decide more. The
// more are sealed, the fewer need all copies sent. This daemon's own acceptor goes first, if it is a member
// of that core and replies within an eighth of the timeout; the others then send only what it
// lacks.
func (client *Client) seal(old, next Core) (sealedState, error) {
	sealed := sealedState{merged: map[string]Cell{}, heldBy: map[string]map[string]Ballot{}}
	request := SealRequest{Epoch: old.Epoch, Next: next, Have: map[BallotHash]bool{}}
	known, accepted := map[BallotHash]string{}, map[string]Ballot{}
	for _, member := range old.Members {
		reply := new(SealReply)
		if member.ID != client.Own || client.Net.Call(client.address(member), "Register.Seal", request, reply, client.Patience/8) != nil || isWrongAcceptor(reply, member) || reply.Kind != Granted {
			continue
		}
		sealed.add(reply, nil, nil)
		for key, cell := range reply.Cells {
			hash := copyHash(key, cell.Accepted)
			request.Have[hash], known[hash], accepted[key] = true, key, cell.Accepted
		}
	}
	if len(sealed.heldBy) < old.Majority() {
		broadcast(client, old, "Seal", request, client.Patience/2, func(reply *SealReply, err error) bool {
			if err == nil && reply.Kind == Granted {
				sealed.add(reply, known, accepted)
			}
			return len(sealed.heldBy) >= old.Majority()
		})
	}
	if len(sealed.heldBy) < old.blockingQuorum() {
		return sealed, fmt.Errorf("can't seal enough members of core %d: %w", old.Epoch, ErrNoMajority)
	}
	return sealed, nil
}

// isInstalled reports whether a majority of the core has installed it already.
func (client *Client) isInstalled(core Core) bool {
	installed := 0
	broadcast(client, core, "Describe", struct{}{}, client.Patience/4, func(status *Status, err error) bool {
		if err == nil && status.Core.Epoch >= core.Epoch {
			installed++
		}
		return installed == core.Majority()
	})
	return installed >= core.Majority()
}

// finishPendingChange looks for a change of the core that was decided but not finished, at the
// members of the known core, and finishes it. Usually the client that decided the change is about
// to finish it. It gets a short time to do so, since two clients that finish the same change send
// every copy twice.
func (client *Client) finishPendingChange() {
	if old, next := client.findPendingChange(); next.Epoch == 0 || client.Core().Epoch > next.Epoch {
		return
	} else if loop.Sleep(client.World, client.Patience/pendingChangeWait); client.isInstalled(next) {
		client.LearnCore(next)
	} else if client.Core().Epoch <= next.Epoch {
		_ = client.finishCoreChange(old, next) // the caller's next attempt shows whether this succeeded
	}
}

// pendingChangeWait is the divisor of the operation timeout that gives the time for which others
// leave a decided change to the client that decided it.
const pendingChangeWait = 20

// findPendingChange looks for a sealed epoch at the members of the current and the previous known
// core, and returns its core and the core that it was sealed for. It also learns newer cores.
func (client *Client) findPendingChange() (old, next Core) {
	client.mu.Lock()
	core, previous := client.core, client.previous
	client.mu.Unlock()
	combined := Core{Epoch: core.Epoch, Members: append(append([]Member{}, core.Members...), previous.Members...)}
	broadcast(client, combined, "Describe", struct{}{}, client.Patience/4, func(status *Status, err error) bool {
		if err != nil && !errors.Is(err, errWrongAcceptor) {
			return false
		}
		if status.Sealed && status.Core.Epoch >= old.Epoch {
			old, next = status.Core, status.Next
		} else if status.Core.Epoch > core.Epoch {
			client.LearnCore(status.Core)
		}
		return false
	})
	return old, next
}

// Repair compares this acceptor's copies with those of its peers, bucket by bucket, and replaces
// older ones by newer ones. It returns the number of repaired cells.
func (client *Client) Repair(acceptor *Acceptor) (repaired int, err error) {
	var status Status
	_ = acceptor.Describe(struct{}{}, &status)
	if status.Sealed {
		return 0, client.finishCoreChange(status.Core, status.Next)
	}
	core := client.Core()
	if !core.Has(status.ID) {
		return 0, nil
	}
	if status.Core.Epoch < core.Epoch {
		return client.catchUp(acceptor, core)
	}
	var localDigests Digests
	if err := acceptor.Digest(Query{Epoch: core.Epoch}, &localDigests); err != nil || localDigests.Kind != Granted {
		return 0, err
	}
	for _, member := range core.Members {
		if member.ID == status.ID {
			continue
		}
		var peerDigests Digests
		if client.Net.Call(client.address(member), "Register.Digest", Query{Epoch: core.Epoch}, &peerDigests, client.Patience/4) != nil || peerDigests.Kind != Granted {
			continue
		}
		for bucket := 0; bucket < Buckets; bucket++ {
			if peerDigests.Sums[bucket] == localDigests.Sums[bucket] {
				continue
			}
			request := FetchRequest{Epoch: core.Epoch, Bucket: bucket}
			var peerCells, local QueryReply
			if err := acceptor.Fetch(request, &local); err != nil {
				return repaired, err
			}
			// Usually only one of many copies differs, because it is just being written.
			request.Have = make(map[BallotHash]bool, len(local.Cells))
			for key, cell := range local.Cells {
				request.Have[copyHash(key, cell.Accepted)] = true
			}
			if client.Net.Call(client.address(member), "Register.Fetch", request, &peerCells, client.Patience/4) != nil || peerCells.Kind != Granted || len(peerCells.Cells) == 0 {
				continue
			}
			local = QueryReply{}
			if err := acceptor.Fetch(FetchRequest{Epoch: core.Epoch, Bucket: bucket}, &local); err != nil {
				return repaired, err
			}
			keys := make([]string, 0, len(peerCells.Cells))
			for key := range peerCells.Cells {
				keys = append(keys, key)
			}
			sort.Strings(keys)
			for _, key := range keys {
				cell := peerCells.Cells[key]
				if !local.Cells[key].Accepted.Less(cell.Accepted) {
					continue
				}
				// This is equivalent to a delayed accept message for the peer's value.
				var vote Vote
				if err := acceptor.Accept(VoteRequest{Epoch: core.Epoch, Key: key, Ballot: cell.Accepted, Value: cell.Value}, &vote); err != nil {
					return repaired, err
				}
				if vote.Kind == Rejected {
					// A higher ballot was promised since: decide the register's value under a new
					// one.
					if _, err := client.Update(key, func(Value) ([]byte, error) { return nil, errUnchanged }); err != nil {
						continue
					}
				}
				repaired++
			}
		}
	}
	return repaired, nil
}

// CompareDigests returns the digests of every acceptor, by identity, to show whether copies differ.
// Acceptors that do not reply are left out.
func (client *Client) CompareDigests() map[string][]string {
	core := client.Core()
	out := map[string][]string{}
	broadcast(client, core, "Digest", Query{Epoch: core.Epoch}, client.Patience/4, func(digests *Digests, err error) bool {
		if err == nil && digests.Kind == Granted {
			for _, sum := range digests.Sums {
				out[digests.ID] = append(out[digests.ID], fmt.Sprintf("%x", sum[:6]))
			}
		}
		return false
	})
	return out
}

// catchUp joins this acceptor to a core that lists it as a member but whose installation it
// missed. The first core started empty, so a member of it that never joined lacks nothing.
func (client *Client) catchUp(acceptor *Acceptor, core Core) (int, error) {
	if acceptor.mayJoinEmpty(core) {
		var vote Vote
		return 0, acceptor.Install(InstallRequest{Core: core}, &vote)
	}
	replies, merged := 0, map[string]Cell{}
	for bucket := 0; bucket < Buckets; bucket++ {
		replies = 0
		broadcast(client, core, "Fetch", FetchRequest{Epoch: core.Epoch, Bucket: bucket}, client.Patience/4, func(reply *QueryReply, err error) bool {
			if err != nil || reply.Kind != Granted {
				return false
			}
			replies++
			for key, cell := range reply.Cells {
				if newest, ok := merged[key]; !ok || newest.Accepted.Less(cell.Accepted) {
					merged[key] = cell
				}
			}
			return replies == core.Majority()
		})
		if replies < core.Majority() {
			client.finishPendingChange()
			return 0, ErrNoMajority
		}
	}
	var vote Vote
	if err := acceptor.Install(InstallRequest{Core: core, Cells: merged}, &vote); err != nil {
		return 0, err
	}
	return len(merged), nil
}

// UpToDate reports which acceptors of the core have installed its epoch, are able to vote in it now,
// and reply under their own identity. It also returns how many acceptors reply under their own
// identity at all.
func (client *Client) UpToDate(core Core) (inStep map[string]bool, replies int) {
	inStep = map[string]bool{}
	broadcast(client, core, "Describe", struct{}{}, client.Patience/4, func(status *Status, err error) bool {
		if err == nil {
			replies++
			if status.Core.Epoch == core.Epoch && !status.Sealed && status.Disk.Broken == "" {
				inStep[status.ID] = true
			}
		}
		return false
	})
	return inStep, replies
}

// Discover asks the daemons at the addresses for their core and learns it. If no core is known
// yet, it stops at the first reply that has one.
func (client *Client) Discover(addresses []string) {
	hasNoCore := client.Core().Epoch == 0
	loop.Gather(client.World, len(addresses), client.Patience/4, func(index int) Core {
		var status Status
		if client.Net.Call(addresses[index], "Register.Describe", struct{}{}, &status, client.Patience/4) != nil {
			return Core{}
		}
		return status.Core
	}, func(_ int, core Core) bool {
		client.LearnCore(core)
		return hasNoCore && core.Epoch > 0
	})
}
