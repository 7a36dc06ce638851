package register

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"swifttiller/loop"
)

// coreKey is the register that decides, within an epoch, the next core.
const coreKey = "core"

// ErrCoreChange is the answer when another change of the core was decided first.
var ErrCoreChange = errors.New("register: another change of the core was decided first; look at `members` and try again")

// ChangeCore decides the next core in the present epoch and carries it through.
// The revision gets the present core and gives the next one's members.
func (client *Keeper) ChangeCore(revise func(Core) ([]Member, error)) (Core, error) {
	present := client.Core()
	if present.Epoch == 0 {
		return Core{}, ErrNoCore
	}
	members, err := revise(present)
	if err != nil {
		return Core{}, err
	}
	sort.Slice(members, func(a, b int) bool { return members[a].ID < members[b].ID })
	next := Core{Epoch: present.Epoch + 1, Members: members}
	data, err := json.Marshal(next)
	if err != nil {
		return Core{}, err
	}
	// Once the epoch's value is decided it stays: whoever comes second carries
	// the first one's through and says so.
	value, err := client.Change(coreKey, func(value Value) ([]byte, error) {
		var decided Core
		if value.Serial > 0 {
			if err := json.Unmarshal(value.Data, &decided); err != nil {
				return nil, err
			}
		}
		if decided.Epoch > present.Epoch {
			return nil, ErrCoreChange
		}
		return data, nil
	})
	if errors.Is(err, ErrCoreChange) {
		var decided Core
		if json.Unmarshal(value.Data, &decided) == nil && decided.Epoch == present.Epoch+1 {
			if finishErr := client.finishCoreChange(present, decided); finishErr != nil {
				return Core{}, finishErr
			}
		}
		return Core{}, err
	} else if err != nil {
		return Core{}, err
	}
	return next, client.finishCoreChange(present, next)
}

// finishCoreChange carries a decided change through: seal a majority of the old core,
// install what it gave up at a majority of the new one. Every part is an
// upsert, so any control daemon may do it, again or at the same time.
func (client *Keeper) finishCoreChange(old, next Core) error {
	if client.isInstalled(next) {
		client.Learn(next)
		return nil
	}
	sealed, err := client.seal(old, next)
	if err != nil {
		return err
	}
	installed := 0
	loop.Gather(client.World, len(next.Members), client.Patience/2, func(index int) *Vote {
		member, vote := next.Members[index], new(Vote)
		move := InstallRequest{Core: next, Cells: sealed.missingAt(member.ID)}
		if client.Net.Call(client.address(member), "Register.Install", move, vote, client.Patience/2) != nil || isWrongAcceptor(vote, member) {
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
		return fmt.Errorf("core %d is decided but a majority of it did not take it over yet: %w", next.Epoch, ErrNoMajority)
	}
	client.Learn(next)
	return nil
}

// sealedState is what sealed acceptors gave up.
//
// Invariant: a sealed acceptor's copies only ever give way to newer ones, so what it was seen
// to hold need not be brought to it.
type sealedState struct {
	merged map[string]Cell
	heldBy map[string]map[string]Ballot // by acceptor and key: what a sealed one holds
}

// add takes a sealed acceptor's answer, which was told by their marks what is had already.
func (sealed *sealedState) add(reply *SealReply, known map[BallotHash]string, accepted map[string]Ballot) {
	held := map[string]Ballot{}
	for mark, key := range known {
		if !reply.Absent[mark] {
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

// missingAt are the cells that the acceptor was not seen to hold.
func (sealed *sealedState) missingAt(id string) map[string]Cell {
	out := map[string]Cell{}
	for key, cell := range sealed.merged {
		if held, isKnown := sealed.heldBy[id][key]; !isKnown || held.Less(cell.Accepted) {
			out[key] = cell
		}
	}
	return out
}

// seal seals a majority of the old core. This daemon's own acceptor comes first, if it is of
// that core and its disk does not keep it waiting: the others then give up what it lacks.
func (client *Keeper) seal(old, next Core) (sealedState, error) {
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
			mark := copyHash(key, cell.Accepted)
			request.Have[mark], known[mark], accepted[key] = true, key, cell.Accepted
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
	if len(sealed.heldBy) < old.Majority() {
		return sealed, fmt.Errorf("core %d can't be sealed: %w", old.Epoch, ErrNoMajority)
	}
	return sealed, nil
}

// isInstalled tells whether a majority of the core has taken over already.
func (client *Keeper) isInstalled(next Core) bool {
	installed := 0
	broadcast(client, next, "Describe", struct{}{}, client.Patience/4, func(status *About, err error) bool {
		if err == nil && status.Core.Epoch >= next.Epoch {
			installed++
		}
		return installed == next.Majority()
	})
	return installed >= next.Majority()
}

// finishPendingChange looks for a change of the core that was decided but not finished, at
// the members of the core that this keeper knows, and finishes it. Most often the
// one who decided it is about to: it gets a moment, as two who carry the same
// change through bring every copy twice.
func (client *Keeper) finishPendingChange() {
	if old, next := client.findPendingChange(); next.Epoch == 0 || client.Core().Epoch > next.Epoch {
		return
	} else if loop.Sleep(client.World, client.Patience/pendingChangeWait); client.isInstalled(next) {
		client.Learn(next)
	} else if client.Core().Epoch <= next.Epoch {
		_ = client.finishCoreChange(old, next) // the caller's next try shows how it went
	}
}

// pendingChangeWait is the share of an operation's patience that whoever decided a change of
// the core gets to finish it before others do.
const pendingChangeWait = 20

// findPendingChange asks the members of the cores that this keeper knows for a sealed epoch, and
// the core that it was sealed for; it learns of newer cores on the way.
func (client *Keeper) findPendingChange() (old, next Core) {
	client.mu.Lock()
	core, previous := client.core, client.previous
	client.mu.Unlock()
	combined := Core{Epoch: core.Epoch, Members: append(append([]Member{}, core.Members...), previous.Members...)}
	broadcast(client, combined, "Describe", struct{}{}, client.Patience/4, func(status *About, err error) bool {
		if err != nil && !errors.Is(err, errWrongAcceptor) {
			return false
		}
		if status.Sealed && status.Core.Epoch >= old.Epoch {
			old, next = status.Core, status.Next
		} else if status.Core.Epoch > core.Epoch {
			client.Learn(status.Core)
		}
		return false
	})
	return old, next
}

// Init makes a first core of the acceptors at the addresses. All must answer
// and be new, or belong to the very core that this makes, as after an Init that
// was cut short.
func (client *Keeper) Init(addresses []string) (Core, error) {
	core := Core{Epoch: 1}
	existing := Core{}
	for _, address := range addresses {
		var status About
		if err := client.Net.Call(address, "Register.Describe", struct{}{}, &status, client.Patience/4); err != nil {
			return Core{}, fmt.Errorf("every seed must answer to make a core: %w", err)
		}
		if status.ID == "" {
			return Core{}, fmt.Errorf("the daemon at %s has no disk and can't be in a core", address)
		}
		if core.Has(status.ID) {
			return Core{}, fmt.Errorf("the address %s is the same acceptor as another one", address)
		}
		core.Members = append(core.Members, Member{ID: status.ID, Address: address, Name: status.Name})
		if status.Core.Epoch > 0 {
			existing = status.Core
		}
	}
	sort.Slice(core.Members, func(a, b int) bool { return core.Members[a].ID < core.Members[b].ID })
	if existing.Epoch > 0 {
		if existing.Epoch != 1 || !existing.hasSameMembers(core) {
			return Core{}, fmt.Errorf("there is a core already (epoch %d); use `core add` and `core remove`", existing.Epoch)
		}
		core = existing
	}
	for _, member := range core.Members {
		var vote Vote
		if err := client.Net.Call(member.Address, "Register.Install", InstallRequest{Core: core}, &vote, client.Patience/2); err != nil {
			return Core{}, fmt.Errorf("the core is made in part; run init again: %w", err)
		}
		if vote.Kind != Granted {
			return Core{}, fmt.Errorf("the acceptor at %s declined (%s); run init again", member.Address, vote.Mishap)
		}
	}
	client.Learn(core)
	return core, nil
}

// Repair compares this acceptor's copies with its colleagues', range by range,
// and mends them from the newer. It gives how many cells it mended.
func (client *Keeper) Repair(acceptor *Acceptor) (repaired int, err error) {
	var status About
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
			// Of many copies most often one differs, which is just being written.
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
				// The same as the colleague's accept message, come late.
				var vote Vote
				if err := acceptor.Accept(VoteRequest{Epoch: core.Epoch, Key: key, Ballot: cell.Accepted, Value: cell.Value}, &vote); err != nil {
					return repaired, err
				}
				if vote.Kind == Rejected {
					// A promise made since stands above it: complete the register.
					if _, err := client.Change(key, func(Value) ([]byte, error) { return nil, errUnchanged }); err != nil {
						continue
					}
				}
				repaired++
			}
		}
	}
	return repaired, nil
}

// Compare gives every acceptor's digests, by identity, for whoever wants to see
// whether copies differ. Acceptors that do not answer are left out.
func (client *Keeper) Compare() map[string][]string {
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

// catchUp takes this acceptor into a core that names it and that it missed. The
// first core began with nothing, so one of it that never took part lacks nothing.
func (client *Keeper) catchUp(acceptor *Acceptor, core Core) (int, error) {
	if core.Epoch == 1 {
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

// InStep tells which acceptors of the core hold its epoch, could vote in it now and
// answer under their own identity, and how many answer as themselves at all.
func (client *Keeper) InStep(core Core) (inStep map[string]bool, replies int) {
	inStep = map[string]bool{}
	broadcast(client, core, "Describe", struct{}{}, client.Patience/4, func(status *About, err error) bool {
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

// Discover asks the daemons at the addresses for their core and learns it. While no
// core is known, the first word of one is enough.
func (client *Keeper) Discover(addresses []string) {
	hasNoCore := client.Core().Epoch == 0
	loop.Gather(client.World, len(addresses), client.Patience/4, func(index int) Core {
		var status About
		if client.Net.Call(addresses[index], "Register.Describe", struct{}{}, &status, client.Patience/4) != nil {
			return Core{}
		}
		return status.Core
	}, func(_ int, core Core) bool {
		client.Learn(core)
		return hasNoCore && core.Epoch > 0
	})
}
