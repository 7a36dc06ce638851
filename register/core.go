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
func (keeper *Keeper) ChangeCore(revise func(Core) ([]Member, error)) (Core, error) {
	present := keeper.Core()
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
	value, err := keeper.Change(coreKey, func(value Value) ([]byte, error) {
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
			if carried := keeper.advance(present, decided); carried != nil {
				return Core{}, carried
			}
		}
		return Core{}, err
	} else if err != nil {
		return Core{}, err
	}
	return next, keeper.advance(present, next)
}

// advance carries a decided change through: seal a majority of the old core,
// install what it gave up at a majority of the new one. Every part is an
// upsert, so any control daemon may do it, again or at the same time.
func (keeper *Keeper) advance(old, next Core) error {
	if keeper.carried(next) {
		keeper.Learn(next)
		return nil
	}
	given, err := keeper.seal(old, next)
	if err != nil {
		return err
	}
	installed := 0
	loop.Gather(keeper.World, len(next.Members), keeper.Patience/2, func(index int) *Vote {
		member, vote := next.Members[index], new(Vote)
		move := Move{Core: next, Cells: given.lacking(member.ID)}
		if keeper.Net.Call(keeper.address(member), "Register.Install", move, vote, keeper.Patience/2) != nil || stranger(vote, member) {
			vote.Kind = Sick
		}
		return vote
	}, func(_ int, vote *Vote) bool {
		if vote.Kind == Voted {
			installed++
		}
		return installed == len(next.Members)
	})
	if installed < next.Majority() {
		return fmt.Errorf("core %d is decided but a majority of it did not take it over yet: %w", next.Epoch, ErrNoMajority)
	}
	keeper.Learn(next)
	return nil
}

// given is what sealed acceptors gave up.
//
// Invariant: a sealed acceptor's copies only ever give way to newer ones, so what it was seen
// to hold need not be brought to it.
type given struct {
	merged map[string]Cell
	holds  map[string]map[string]Ballot // by acceptor and key: what a sealed one holds
}

// take takes a sealed acceptor's answer, which was told by their marks what is had already.
func (given *given) take(answer *Sealed, had map[Mark]string, accepted map[string]Ballot) {
	held := map[string]Ballot{}
	for mark, key := range had {
		if !answer.Absent[mark] {
			held[key] = accepted[key]
		}
	}
	for key, cell := range answer.Cells {
		held[key] = cell.Accepted
		if mine, known := given.merged[key]; !known || mine.Accepted.Less(cell.Accepted) {
			given.merged[key] = cell
		}
	}
	given.holds[answer.ID] = held
}

// lacking are the cells that the acceptor was not seen to hold.
func (given *given) lacking(id string) map[string]Cell {
	out := map[string]Cell{}
	for key, cell := range given.merged {
		if held, known := given.holds[id][key]; !known || held.Less(cell.Accepted) {
			out[key] = cell
		}
	}
	return out
}

// seal seals a majority of the old core. This daemon's own acceptor comes first, if it is of
// that core and its disk does not keep it waiting: the others then give up what it lacks.
func (keeper *Keeper) seal(old, next Core) (given, error) {
	out := given{merged: map[string]Cell{}, holds: map[string]map[string]Ballot{}}
	order := SealAsk{Epoch: old.Epoch, Next: next, Have: map[Mark]bool{}}
	had, accepted := map[Mark]string{}, map[string]Ballot{}
	for _, member := range old.Members {
		own := new(Sealed)
		if member.ID != keeper.Own || keeper.Net.Call(keeper.address(member), "Register.Seal", order, own, keeper.Patience/8) != nil || stranger(own, member) || own.Kind != Voted {
			continue
		}
		out.take(own, nil, nil)
		for key, cell := range own.Cells {
			mark := copied(key, cell.Accepted)
			order.Have[mark], had[mark], accepted[key] = true, key, cell.Accepted
		}
	}
	if len(out.holds) < old.Majority() {
		ask(keeper, old, "Seal", order, keeper.Patience/2, func(answer *Sealed, err error) bool {
			if err == nil && answer.Kind == Voted {
				out.take(answer, had, accepted)
			}
			return len(out.holds) >= old.Majority()
		})
	}
	if len(out.holds) < old.Majority() {
		return out, fmt.Errorf("core %d can't be sealed: %w", old.Epoch, ErrNoMajority)
	}
	return out, nil
}

// carried tells whether a majority of the core has taken over already.
func (keeper *Keeper) carried(next Core) bool {
	there := 0
	ask(keeper, next, "Describe", struct{}{}, keeper.Patience/4, func(about *About, err error) bool {
		if err == nil && about.Core.Epoch >= next.Epoch {
			there++
		}
		return there == next.Majority()
	})
	return there >= next.Majority()
}

// carry looks for a change of the core that was decided but not finished, at
// the members of the core that this keeper knows, and finishes it. Most often the
// one who decided it is about to: it gets a moment, as two who carry the same
// change through bring every copy twice.
func (keeper *Keeper) carry() {
	if old, next := keeper.unfinished(); next.Epoch == 0 || keeper.Core().Epoch > next.Epoch {
		return
	} else if loop.Sleep(keeper.World, keeper.Patience/unfinishedWait); keeper.carried(next) {
		keeper.Learn(next)
	} else if keeper.Core().Epoch <= next.Epoch {
		_ = keeper.advance(old, next) // the caller's next try shows how it went
	}
}

// unfinishedWait is the share of an operation's patience that whoever decided a change of
// the core gets to finish it before others do.
const unfinishedWait = 20

// unfinished asks the members of the cores that this keeper knows for a sealed epoch, and
// the core that it was sealed for; it learns of newer cores on the way.
func (keeper *Keeper) unfinished() (old, next Core) {
	keeper.guard.Lock()
	core, former := keeper.core, keeper.former
	keeper.guard.Unlock()
	both := Core{Epoch: core.Epoch, Members: append(append([]Member{}, core.Members...), former.Members...)}
	ask(keeper, both, "Describe", struct{}{}, keeper.Patience/4, func(about *About, err error) bool {
		if err != nil && !errors.Is(err, errStranger) {
			return false
		}
		if about.Sealed && about.Core.Epoch >= old.Epoch {
			old, next = about.Core, about.Next
		} else if about.Core.Epoch > core.Epoch {
			keeper.Learn(about.Core)
		}
		return false
	})
	return old, next
}

// Init makes a first core of the acceptors at the addresses. All must answer
// and be new, or belong to the very core that this makes, as after an Init that
// was cut short.
func (keeper *Keeper) Init(addresses []string) (Core, error) {
	core := Core{Epoch: 1}
	found := Core{}
	for _, address := range addresses {
		var about About
		if err := keeper.Net.Call(address, "Register.Describe", struct{}{}, &about, keeper.Patience/4); err != nil {
			return Core{}, fmt.Errorf("every seed must answer to make a core: %w", err)
		}
		if about.ID == "" {
			return Core{}, fmt.Errorf("the daemon at %s has no disk and can't be in a core", address)
		}
		if core.Has(about.ID) {
			return Core{}, fmt.Errorf("the address %s is the same acceptor as another one", address)
		}
		core.Members = append(core.Members, Member{ID: about.ID, Address: address, Name: about.Name})
		if about.Core.Epoch > 0 {
			found = about.Core
		}
	}
	sort.Slice(core.Members, func(a, b int) bool { return core.Members[a].ID < core.Members[b].ID })
	if found.Epoch > 0 {
		if found.Epoch != 1 || !found.alike(core) {
			return Core{}, fmt.Errorf("there is a core already (epoch %d); use `core add` and `core remove`", found.Epoch)
		}
		core = found
	}
	for _, member := range core.Members {
		var vote Vote
		if err := keeper.Net.Call(member.Address, "Register.Install", Move{Core: core}, &vote, keeper.Patience/2); err != nil {
			return Core{}, fmt.Errorf("the core is made in part; run init again: %w", err)
		}
		if vote.Kind != Voted {
			return Core{}, fmt.Errorf("the acceptor at %s declined (%s); run init again", member.Address, vote.Mishap)
		}
	}
	keeper.Learn(core)
	return core, nil
}

// Repair compares this acceptor's copies with its colleagues', range by range,
// and mends them from the newer. It gives how many cells it mended.
func (keeper *Keeper) Repair(acceptor *Acceptor) (mended int, err error) {
	var about About
	_ = acceptor.Describe(struct{}{}, &about)
	if about.Sealed {
		return 0, keeper.advance(about.Core, about.Next)
	}
	core := keeper.Core()
	if !core.Has(about.ID) {
		return 0, nil
	}
	if about.Core.Epoch < core.Epoch {
		return keeper.catchUp(acceptor, core)
	}
	var mine Digests
	if err := acceptor.Digest(Look{Epoch: core.Epoch}, &mine); err != nil || mine.Kind != Voted {
		return 0, err
	}
	for _, member := range core.Members {
		if member.ID == about.ID {
			continue
		}
		var theirs Digests
		if keeper.Net.Call(keeper.address(member), "Register.Digest", Look{Epoch: core.Epoch}, &theirs, keeper.Patience/4) != nil || theirs.Kind != Voted {
			continue
		}
		for bucket := 0; bucket < Buckets; bucket++ {
			if theirs.Sums[bucket] == mine.Sums[bucket] {
				continue
			}
			ask := Range{Epoch: core.Epoch, Bucket: bucket}
			var cells, local Seen
			if err := acceptor.Fetch(ask, &local); err != nil {
				return mended, err
			}
			// Of many copies most often one differs, which is just being written.
			ask.Have = make(map[Mark]bool, len(local.Cells))
			for key, cell := range local.Cells {
				ask.Have[copied(key, cell.Accepted)] = true
			}
			if keeper.Net.Call(keeper.address(member), "Register.Fetch", ask, &cells, keeper.Patience/4) != nil || cells.Kind != Voted || len(cells.Cells) == 0 {
				continue
			}
			local = Seen{}
			if err := acceptor.Fetch(Range{Epoch: core.Epoch, Bucket: bucket}, &local); err != nil {
				return mended, err
			}
			keys := make([]string, 0, len(cells.Cells))
			for key := range cells.Cells {
				keys = append(keys, key)
			}
			sort.Strings(keys)
			for _, key := range keys {
				cell := cells.Cells[key]
				if !local.Cells[key].Accepted.Less(cell.Accepted) {
					continue
				}
				// The same as the colleague's accept message, come late.
				var vote Vote
				if err := acceptor.Accept(Ask{Epoch: core.Epoch, Key: key, Ballot: cell.Accepted, Value: cell.Value}, &vote); err != nil {
					return mended, err
				}
				if vote.Kind == Outvoted {
					// A promise made since stands above it: complete the register.
					if _, err := keeper.Change(key, func(Value) ([]byte, error) { return nil, errKeep }); err != nil {
						continue
					}
				}
				mended++
			}
		}
	}
	return mended, nil
}

// Compare gives every acceptor's digests, by identity, for whoever wants to see
// whether copies differ. Acceptors that do not answer are left out.
func (keeper *Keeper) Compare() map[string][]string {
	core := keeper.Core()
	out := map[string][]string{}
	ask(keeper, core, "Digest", Look{Epoch: core.Epoch}, keeper.Patience/4, func(digests *Digests, err error) bool {
		if err == nil && digests.Kind == Voted {
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
func (keeper *Keeper) catchUp(acceptor *Acceptor, core Core) (int, error) {
	if core.Epoch == 1 {
		var vote Vote
		return 0, acceptor.Install(Move{Core: core}, &vote)
	}
	heard, merged := 0, map[string]Cell{}
	for bucket := 0; bucket < Buckets; bucket++ {
		heard = 0
		ask(keeper, core, "Fetch", Range{Epoch: core.Epoch, Bucket: bucket}, keeper.Patience/4, func(seen *Seen, err error) bool {
			if err != nil || seen.Kind != Voted {
				return false
			}
			heard++
			for key, cell := range seen.Cells {
				if mine, ok := merged[key]; !ok || mine.Accepted.Less(cell.Accepted) {
					merged[key] = cell
				}
			}
			return heard == core.Majority()
		})
		if heard < core.Majority() {
			keeper.carry()
			return 0, ErrNoMajority
		}
	}
	var vote Vote
	if err := acceptor.Install(Move{Core: core, Cells: merged}, &vote); err != nil {
		return 0, err
	}
	return len(merged), nil
}

// InStep tells which acceptors of the core hold its epoch, could vote in it now and
// answer under their own identity, and how many answer as themselves at all.
func (keeper *Keeper) InStep(core Core) (inStep map[string]bool, answered int) {
	inStep = map[string]bool{}
	ask(keeper, core, "Describe", struct{}{}, keeper.Patience/4, func(about *About, err error) bool {
		if err == nil {
			answered++
			if about.Core.Epoch == core.Epoch && !about.Sealed && about.Disk.Broken == "" {
				inStep[about.ID] = true
			}
		}
		return false
	})
	return inStep, answered
}

// Discover asks the daemons at the addresses for their core and learns it. While no
// core is known, the first word of one is enough.
func (keeper *Keeper) Discover(addresses []string) {
	isLost := keeper.Core().Epoch == 0
	loop.Gather(keeper.World, len(addresses), keeper.Patience/4, func(index int) Core {
		var about About
		if keeper.Net.Call(addresses[index], "Register.Describe", struct{}{}, &about, keeper.Patience/4) != nil {
			return Core{}
		}
		return about.Core
	}, func(_ int, core Core) bool {
		keeper.Learn(core)
		return isLost && core.Epoch > 0
	})
}
