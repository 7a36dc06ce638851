package register

import (
	"slices"

	"swifttiller/loop"
)

// An even core has a majority of one more than half of its members, so half of them can decide
// nothing. That is more than safety asks for once a member has lost its disk for good: of the other
// members, any half shares a member with any other half, and any half of the core shares a member
// with every majority.
//
// Invariant: a ballot for the next core is decided by half of an even core only if a member was
// known to have lost its disk before the ballot was made, and only by votes for that ballot. Two
// such halves could differ completely only if each contained the member that the other one knew to
// be lost. Then each of these two members would have voted after the other one was lost.

// lostMembers are the members of one core that are known to have lost their disks. An acceptor
// whose disk is lost never votes again.
type lostMembers struct {
	epoch uint64
	ids   []string
}

// quorum returns the number of votes that decide a ballot that was made with this knowledge.
func (lost lostMembers) quorum(core Core) int {
	if lost.epoch == core.Epoch && len(lost.ids) > 0 {
		return core.blockingQuorum()
	}
	return core.Majority()
}

// blockingQuorum returns the smallest number of members that share a member with every majority:
// what was decided is known among them, and nothing more is decided without them.
func (core Core) blockingQuorum() int { return len(core.Members) - core.Majority() + 1 }

// findLostMembers asks at the members' addresses for acceptors that replaced them: a daemon that
// runs under a member's name at its address, with an acceptor of another identity, has lost the
// member's disk.
func (client *Client) findLostMembers(core Core) lostMembers {
	lost := lostMembers{epoch: core.Epoch}
	loop.Gather(client.World, len(core.Members), client.Patience/4, func(index int) (status Status) {
		_ = client.Net.Call(client.address(core.Members[index]), "Register.Describe", struct{}{}, &status, client.Patience/4)
		return status
	}, func(index int, status Status) bool {
		if core.Members[index].isReplacedBy(status) {
			lost.ids = append(lost.ids, core.Members[index].ID)
		}
		return false
	})
	slices.Sort(lost.ids)
	return lost
}

// isReplacedBy reports whether the reply comes from the member's daemon with another disk.
func (member Member) isReplacedBy(status Status) bool {
	return member.Name != "" && status.Name == member.Name && status.ID != "" && status.ID != member.ID
}

// ChangeCoreAfterLoss is ChangeCore for an even core that has lost its majority. Half of the core
// decides the change if a member has lost its disk; otherwise a majority is needed.
func (client *Client) ChangeCoreAfterLoss(revise func(Core) ([]Member, error)) (Core, error) {
	current := client.Core()
	return client.changeCore(current, client.findLostMembers(current), revise)
}
