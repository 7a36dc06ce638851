package register

import (
	"errors"
	"fmt"
	"slices"
	"sort"

	"swifttiller/loop"
)

// The first core is formed from the seeds of the first start by whichever daemon comes first. It
// proposes a core of the acceptors that it finds at the seeds; once all of them have accepted
// that very proposal, it installs it. An acceptor accepts no proposal once a core is installed
// at it, and installs only the proposal that it accepted last.
//
// Invariant: a core is first installed at an acceptor only after all of its members have accepted
// it under one ballot; after that, at members that accept it again. A proposal of another core
// needs all of its members too, and those that have installed a core refuse it. So while at most one disk is lost, at most one first core is ever
// installed at a majority of its members. Proposals of different cores have different epochs, so
// that a core that was given up, as a member had lost its disk, is older than the one that was
// formed in its place.

// Proposal is a proposal for the first core.
type Proposal struct {
	Ballot Ballot
	Core   Core
	// IsCompletion says that the core is installed at one of its members already.
	IsCompletion bool
}

// isFor reports whether the proposal is one of this core.
func (proposal Proposal) isFor(core Core) bool {
	return proposal.Core.Epoch == core.Epoch && proposal.Core.hasSameMembers(core)
}

// supersedes reports whether an acceptor that accepted the other proposal accepts this one.
func (proposal Proposal) supersedes(other Proposal) bool {
	if proposal.Ballot.Less(other.Ballot) {
		return false
	}
	return proposal.IsCompletion || proposal.isFor(other.Core) || proposal.Core.Epoch > other.Core.Epoch
}

// FirstStart tells an acceptor that the whole system starts for the first time, and the addresses
// of its seeds.
type FirstStart struct{ Seeds []string }

// CoreExistsError is returned by Init if the system has another core than one of the seeds alone.
type CoreExistsError struct{ Core Core }

// Error tells the epoch of the core.
func (exists *CoreExistsError) Error() string {
	return fmt.Sprintf("a core exists already (epoch %d); use `core add` and `core remove`", exists.Core.Epoch)
}

// errOutbid is returned when an acceptor has accepted a proposal with a higher ballot.
var errOutbid = errors.New("register: another proposal for the first core came first")

// BeginFirstStart records the seeds of the first start durably, unless this acceptor belongs to a
// core, which it then returns, or has recorded seeds already.
func (acceptor *Acceptor) BeginFirstStart(start FirstStart, vote *Vote) error {
	vote.setDiskError(acceptor.applyOne(func(state *state) *record {
		vote.ID, vote.Core = state.ID, state.Core
		if state.Core.Epoch > 0 || len(state.FirstSeeds) > 0 || len(start.Seeds) == 0 {
			return nil
		}
		state.FirstSeeds = slices.Clone(start.Seeds)
		return &record{Whole: state}
	}))
	return nil
}

// EndFirstStart forgets the seeds of the first start, as the first core is formed.
func (acceptor *Acceptor) EndFirstStart() error {
	return acceptor.applyOne(func(state *state) *record {
		if len(state.FirstSeeds) == 0 {
			return nil
		}
		state.FirstSeeds = nil
		return &record{Whole: state}
	})
}

// FirstSeeds returns the seeds of the first start while this acceptor knows of no core that was
// formed since, or nothing.
func (acceptor *Acceptor) FirstSeeds() []string {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	return acceptor.state.FirstSeeds
}

// Propose accepts a proposal for the first core, unless a core is installed or the proposal that was
// accepted before has a higher ballot, or another core of the same or a later epoch.
func (acceptor *Acceptor) Propose(proposal Proposal, vote *Vote) error {
	vote.setDiskError(acceptor.applyOne(func(state *state) *record {
		vote.ID, vote.Core = state.ID, state.Core
		switch {
		case !proposal.Core.Has(state.ID) || state.Core.Epoch > 0:
			vote.Kind = WrongEpoch
			return nil
		case !proposal.supersedes(state.Proposal):
			vote.Kind, vote.Cell.Promised = Rejected, state.Proposal.Ballot
			return nil
		}
		state.Proposal = proposal
		return &record{Whole: state}
	}))
	return nil
}

// mayJoinEmpty reports whether the acceptor may join the core without any cells: it is the first
// core, and the last one that this acceptor accepted. Builds without proposals numbered the first
// core 1.
func (acceptor *Acceptor) mayJoinEmpty(core Core) bool {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	return acceptor.state.Proposal.isFor(core) || acceptor.state.Proposal.Core.Epoch == 0 && core.Epoch == 1
}

// seed is what an address replies that the first core is formed from.
type seed struct {
	Status
	address string
	err     error
}

// member returns the seed as a member of a core.
func (one seed) member() Member { return Member{ID: one.ID, Address: one.address, Name: one.Name} }

// holdsFirstCore reports whether the core that is installed at the seed is a first core, which
// started empty. Builds without proposals numbered it 1.
func (one seed) holdsFirstCore() bool {
	return one.Proposal.isFor(one.Core) || one.Proposal.Core.Epoch == 0 && one.Core.Epoch == 1
}

// Init forms the first core from the acceptors at the addresses, or completes the forming that
// another daemon has begun. If no core is installed at any of them, all must reply. It returns a
// CoreExistsError if there is a core with other members.
func (client *Client) Init(addresses []string) (Core, error) {
	deadline := client.World.Now() + client.Patience
	for attempt := 0; ; attempt++ {
		core, err := client.formOnce(addresses)
		if !errors.Is(err, errOutbid) || !client.retryBefore(deadline, attempt) {
			if err == nil {
				client.LearnCore(core)
			}
			return core, err
		}
	}
}

// formOnce makes one attempt to form the first core or to complete it.
func (client *Client) formOnce(addresses []string) (Core, error) {
	seeds, err := client.describeSeeds(addresses)
	newest := seed{}
	for _, one := range seeds {
		if one.Core.Epoch > newest.Core.Epoch {
			newest = one
		}
	}
	if newest.Core.Epoch > 0 {
		return client.completeCore(newest, seeds)
	}
	if err != nil {
		return Core{}, err
	}
	proposal := client.newProposal(seeds)
	return proposal.Core, client.proposeAndInstall(proposal, proposal.Core.Members, proposal.Core.Majority())
}

// describeSeeds returns the acceptors at the addresses that reply, and an error unless all do and
// can be members of a core.
func (client *Client) describeSeeds(addresses []string) (seeds []seed, err error) {
	loop.Gather(client.World, len(addresses), client.Patience/4, func(index int) seed {
		one := seed{address: addresses[index]}
		one.err = client.Net.Call(one.address, "Register.Describe", struct{}{}, &one.Status, client.Patience/4)
		return one
	}, func(_ int, one seed) bool {
		switch {
		case one.err != nil:
			err = fmt.Errorf("every seed must reply to create a core: %s: %w", one.address, one.err)
		case one.ID == "":
			err = fmt.Errorf("the daemon at %s has no disk and can't be a member of a core", one.address)
		case slices.ContainsFunc(seeds, func(other seed) bool { return other.ID == one.ID }):
			err = fmt.Errorf("the address %s leads to the same acceptor as another address", one.address)
		default:
			seeds = append(seeds, one)
		}
		return false
	})
	if err == nil && len(seeds) < len(addresses) {
		err = errors.New("every seed must reply to create a core")
	}
	return seeds, err
}

// nextBallot returns a ballot of this client's own above those that the seeds have accepted.
func (client *Client) nextBallot(seeds []seed) Ballot {
	highest := Ballot{}
	for _, one := range seeds {
		if highest.Less(one.Proposal.Ballot) {
			highest = one.Proposal.Ballot
		}
	}
	return client.ballot(Core{}, highest)
}

// newProposal returns a proposal of a core of the seeds. It has the epoch of the newest proposal
// that they have accepted if all with that epoch are of the same members, and the next one
// otherwise.
func (client *Client) newProposal(seeds []seed) Proposal {
	core := Core{Epoch: 1}
	for _, one := range seeds {
		core.Members = append(core.Members, one.member())
		core.Epoch = max(core.Epoch, one.Proposal.Core.Epoch)
	}
	sort.Slice(core.Members, func(a, b int) bool { return core.Members[a].ID < core.Members[b].ID })
	isTaken := func(one seed) bool { return one.Proposal.Core.Epoch == core.Epoch && !one.Proposal.isFor(core) }
	if slices.ContainsFunc(seeds, isTaken) {
		core.Epoch++
	}
	return Proposal{Ballot: client.nextBallot(seeds), Core: core}
}

// completeCore returns the core that is installed at a seed. If that is a first core that is not
// installed at a majority of its members yet, it is installed at the seeds that belong to it.
func (client *Client) completeCore(holder seed, seeds []seed) (Core, error) {
	core := holder.Core
	if client.isInstalled(core) {
		client.LearnCore(core)
		if !slices.ContainsFunc(seeds, func(one seed) bool { return !core.Has(one.ID) }) {
			return core, nil
		}
		return core, &CoreExistsError{Core: core}
	}
	if !holder.holdsFirstCore() {
		return core, &CoreExistsError{Core: core} // its members complete the change that made it
	}
	installed := 0
	var rest []Member
	for _, one := range seeds {
		switch {
		case !core.Has(one.ID):
		case one.Core.Epoch == core.Epoch:
			installed++
		case one.Core.Epoch == 0:
			rest = append(rest, one.member())
		}
	}
	completion := Proposal{Ballot: client.nextBallot(seeds), Core: core, IsCompletion: true}
	return core, client.proposeAndInstall(completion, rest, core.Majority()-installed)
}

// proposeAndInstall has all of the members accept the proposal and then installs it at them. It
// returns an error unless it was installed at as many as needed.
func (client *Client) proposeAndInstall(proposal Proposal, members []Member, needed int) error {
	if accepted, err := client.ask(members, "Register.Propose", proposal); err != nil {
		return fmt.Errorf("every seed must accept the core: %w", err)
	} else if accepted < len(members) {
		return errOutbid
	}
	installed, err := client.ask(members, "Register.Install", InstallRequest{Core: proposal.Core, Proposed: proposal.Ballot})
	if installed >= needed {
		return nil
	} else if err != nil {
		return fmt.Errorf("the core is only partly installed; run init again: %w", err)
	}
	return errOutbid
}

// ask calls the method at all members in parallel and returns how many granted the request, and
// the last error of a call.
func (client *Client) ask(members []Member, method string, request any) (granted int, err error) {
	type result struct {
		vote Vote
		err  error
	}
	loop.Gather(client.World, len(members), client.Patience/2, func(index int) (reply result) {
		reply.err = client.Net.Call(members[index].Address, method, request, &reply.vote, client.Patience/2)
		return reply
	}, func(index int, reply result) bool {
		switch {
		case reply.err != nil:
			err = reply.err
		case reply.vote.Kind == DiskFailed:
			err = fmt.Errorf("the disk of the acceptor at %s failed: %s", members[index].Address, reply.vote.Mishap)
		case reply.vote.Kind == Granted && reply.vote.ID == members[index].ID:
			granted++
		}
		return false
	})
	return granted, err
}
