package modelcheck

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"swifttiller/loop"
	"swifttiller/register"
)

// LostDiskWorlds are the worlds of an even core that loses disks, by name.
//
// Invariants: an epoch has one core, wherever it is installed. If one member is silent and another
// one loses its disk, the core is restored and holds every acknowledged value.
var LostDiskWorlds = map[string]World{
	// Two daemons take a member of the other half for lost, though no disk is, and their requests
	// for promises reach their own half only.
	"halves-without-a-lost-disk": {
		Name: "halves-without-a-lost-disk", OrdersOnly: true,
		Start: func(run *Run) Instance {
			cluster := startLostDisk(run)
			run.isLost = isPrepareOfOtherHalf
			cluster.changeCore("p1", 0, 1, withoutMemberAt("a3"))
			cluster.changeCore("p2", 0, 1, withoutMemberAt("a1"))
			return cluster
		},
	},
	// A disk of each half may be lost while the other half's daemon waits for further votes.
	"disks-lost-while-votes-are-counted": {
		Name: "disks-lost-while-votes-are-counted", LossesOnly: true, Wipes: 2, Stores: []string{"a1", "a3"},
		Start: func(run *Run) Instance {
			cluster := startLostDisk(run)
			run.isLost = isPrepareOfOtherHalf
			run.transit = func(message *message) time.Duration {
				isSlowSeal := message.from == "p1" && message.method == "Register.Seal"
				isSlowInstall := message.from == "p2" && message.to == "a2" && message.method == "Register.Install"
				if message.isReply || !isSlowSeal && !isSlowInstall {
					return 0
				}
				return halfRound * 3 / 2
			}
			cluster.changeCore("p1", 0, 1, withoutMemberAt("a3"))
			cluster.changeCore("p2", halfRound, 1, withoutMemberAt("a1"))
			return cluster
		},
	},
	// One member is silent from the beginning.
	"disk-lost-beside-silent-member": {
		Name: "disk-lost-beside-silent-member", Wipes: 1, Stores: []string{"a1", "a2", "a3"},
		Start: func(run *Run) Instance {
			cluster := startLostDisk(run)
			run.crash("a4")
			cluster.isRestored = true
			cluster.write("p0", "x")
			cluster.changeCore("p1", 0, maxRestoreAttempts, cluster.withoutLost)
			cluster.changeCore("p2", halfRound, maxRestoreAttempts, cluster.withoutLost)
			return cluster
		},
	},
}

// halfRound is half of the time for which a proposer waits for the votes of a round.
const halfRound = timeout / 8

// isPrepareOfOtherHalf selects the requests for promises that a daemon sends to the half of the core
// that it does not reach.
func isPrepareOfOtherHalf(message *message) bool {
	isToFirstHalf := message.to == "a1" || message.to == "a2"
	return message.method == "Register.Prepare" && !message.isReply && isToFirstHalf != (message.from == "p1")
}

// lostDiskCluster is the instance of a world of lost disks: a core of a1 to a4.
type lostDiskCluster struct {
	*cluster
	// isRestored tells that the core must serve at the end of the run.
	isRestored bool
}

func startLostDisk(run *Run) *lostDiskCluster {
	return &lostDiskCluster{cluster: start(run, "a1", "a2", "a3", "a4")}
}

// maxRestoreAttempts bounds the attempts of a daemon to remove a lost member.
const maxRestoreAttempts = 4

// errNothingLost means that no member of the core has lost its disk.
var errNothingLost = errors.New("modelcheck: no member has lost its disk")

// changeCore runs a daemon that tries a few times, after a delay, to change the core.
func (cluster *lostDiskCluster) changeCore(name string, after time.Duration, attempts int, revise func(register.Core) ([]register.Member, error)) {
	cluster.client(name, func(proposer *register.Client) {
		loop.Sleep(cluster.run.node(name), after)
		for range attempts {
			if _, err := proposer.ChangeCoreAfterLoss(revise); err == nil || errors.Is(err, register.ErrCoreChange) {
				return
			}
			loop.Sleep(cluster.run.node(name), timeout)
		}
	})
}

// withoutMemberAt returns a change of the core that leaves out the member at the address.
func withoutMemberAt(address string) func(register.Core) ([]register.Member, error) {
	return func(core register.Core) ([]register.Member, error) {
		return slices.DeleteFunc(slices.Clone(core.Members), func(member register.Member) bool { return member.Address == address }), nil
	}
}

// withoutLost leaves out the first member that has lost its disk.
func (cluster *lostDiskCluster) withoutLost(core register.Core) ([]register.Member, error) {
	index := slices.IndexFunc(core.Members, func(member register.Member) bool {
		acceptor, isUp := cluster.run.node(member.Address).services["Register"].(*register.Acceptor)
		return isUp && acceptor.ID() != member.ID
	})
	if index < 0 {
		return nil, errNothingLost
	}
	return slices.Delete(slices.Clone(core.Members), index, index+1), nil
}

// Check returns an error if two cores of one epoch are installed.
func (cluster *lostDiskCluster) Check(run *Run) error {
	installed := map[uint64]string{}
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		acceptor, isUp := run.node(name).services["Register"].(*register.Acceptor)
		if !isUp {
			continue
		}
		var status register.Status
		_ = acceptor.Describe(struct{}{}, &status)
		var ids []string
		for _, member := range status.Core.Members {
			ids = append(ids, member.ID)
		}
		members := strings.Join(ids, " ")
		if other, isKnown := installed[status.Core.Epoch]; isKnown && other != members {
			return fmt.Errorf("epoch %d has two cores: %s and %s", status.Core.Epoch, other, members)
		}
		installed[status.Core.Epoch] = members
	}
	return cluster.cluster.Check(run)
}

// End lets one more daemon remove the lost member, and then checks that the core serves.
func (cluster *lostDiskCluster) End(run *Run) error {
	if !cluster.isRestored {
		return cluster.Check(run)
	}
	isOver := false
	cluster.client("restorer", func(proposer *register.Client) {
		for range maxRestoreAttempts {
			if _, err := proposer.ChangeCoreAfterLoss(cluster.withoutLost); err == nil || errors.Is(err, errNothingLost) {
				break
			}
			loop.Sleep(cluster.run.node("restorer"), time.Second)
		}
		isOver = true
	})
	run.settle()
	run.drain(func() bool { return isOver })
	return cluster.cluster.End(run)
}
