package fleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
)

// newSelfFormedCore starts a fleet whose control daemons form a core with the given number of votes
// by themselves. If there are more votes than zones, a zone has two or three of them.
func newSelfFormedCore(t *testing.T, seed uint64, votes int) *fleet.Cluster {
	t.Helper()
	plan := fleet.Sahayogi()
	plan.First, plan.Callers = true, nil
	zones := []string{"east-1", "middle-1", "west-1"}
	for index := 0; len(plan.Controls) < votes; index++ {
		plan.Controls = append(plan.Controls, fmt.Sprintf("e%d:%s", index+1, zones[index%len(zones)]))
	}
	cluster := fleet.NewBareCluster(seed, plan)
	if !cluster.Until(8*time.Second, func() bool { return len(core(cluster).Members) == votes }) {
		t.Fatalf("the core did not form: %v", core(cluster))
	}
	cluster.Plan.First = false
	if err := cluster.Apply(&fleet.Facts{}, "c2"); err != nil {
		t.Fatal("cannot apply the first configuration:", err)
	}
	cluster.Run(5 * time.Second)
	return cluster
}

// isFullyReplicated reports whether all members of a core with the given number of votes hold all
// decided values.
func isFullyReplicated(cluster *fleet.Cluster, votes int) bool {
	for _, name := range running(cluster) {
		var status controlplane.Status
		err := cluster.Do(name, 5*time.Second, func(daemon *controlplane.Daemon) error {
			status = daemon.Status()
			return nil
		})
		if err == nil && status.Redundancy != nil {
			return status.Redundancy.IsWhole() && status.Redundancy.Wanted == votes
		}
	}
	return false
}

// runningMembers returns the running machines of the core, those with the oldest disks first.
func runningMembers(cluster *fleet.Cluster, since map[string]time.Duration) (names []string) {
	for _, member := range core(cluster).Members {
		if cluster.Node(member.Name).Up() {
			names = append(names, member.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if since[a] != since[b] {
			return int(since[a] - since[b])
		}
		return strings.Compare(a, b)
	})
	return names
}

// TestSecondLosses replaces a core machine, or wipes its disk, and gives it catch_up_s to catch
// up. Then all machines lose power soon after a change was sent, and as many disks are lost as a
// majority tolerates. Acknowledged changes must survive. The oldest disks are lost first, so that
// in the end every copy has been rebuilt.
func TestSecondLosses(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for votes := 3; votes <= 7; votes++ {
			cluster := newSelfFormedCore(t, seed, votes)
			since := map[string]time.Duration{}
			acknowledged := configVersion(cluster, "c2")
			for turn := 0; turn < 3; turn++ {
				first := runningMembers(cluster, since)[0]
				if turn%2 == 0 {
					cluster.Crash(first)
					cluster.Run(time.Duration(cluster.Draw(int64(time.Second))))
					first = fmt.Sprintf("f%d", turn)
					cluster.SetZone(first, cluster.Zone(runningMembers(cluster, since)[0]))
					cluster.StartControl(first)
				} else {
					wipe(cluster, first)
				}
				since[first] = cluster.Now()
				if !cluster.Until(catchUp, func() bool { return cluster.IsCoreMember(first) && isFullyReplicated(cluster, votes) }) {
					t.Errorf("lost: %d votes, turn %d: %s has not caught up after %v", votes, turn, first, catchUp)
				}
				// One acknowledged change, then another one, and the power loss soon after it.
				members := runningMembers(cluster, since)
				tolerated := votes - core(cluster).Majority()
				if err := cluster.Apply(&fleet.Facts{}, members[0]); err != nil {
					t.Fatalf("%d votes, turn %d: %v", votes, turn, err)
				}
				acknowledged = max(acknowledged, configVersion(cluster, members[0]))
				last := members[len(members)-1]
				cluster.Node(last).Go(func() {
					if applied, err := cluster.Controls[last].Evacuate("east-1", turn%2 == 1); err == nil {
						acknowledged = max(acknowledged, applied.Serial)
					}
				})
				cluster.Run(time.Duration(5+cluster.Draw(395)) * time.Millisecond)
				lost := cluster.CrashAll(cluster.NodeNames())
				for _, name := range members[:tolerated] {
					cluster.Node(name).Disk.Wipe()
					since[name] = cluster.Now()
				}
				cluster.RestartAll(lost)
				if !cluster.Until(12*time.Second, func() bool { return isFullyReplicated(cluster, votes) }) {
					t.Errorf("lost: %d votes, turn %d: the core is not fully replicated again: %v", votes, turn, core(cluster))
				}
				for _, name := range running(cluster) {
					if read := configVersion(cluster, name); read < acknowledged {
						t.Errorf("lost: %d votes, turn %d: acknowledged %d, read back %d at %s", votes, turn, acknowledged, read, name)
					}
				}
			}
			cluster.Close()
		}
	})
}

// TestManyChangesLeaveLittleToCatchUp verifies that after hundreds of changes a member that
// missed a few catches up in time by transferring what it lacks and not the whole history. Until
// then it must not return an old configuration. The disks must stay small.
func TestManyChangesLeaveLittleToCatchUp(t *testing.T) {
	t.Parallel()
	skipLong(t)
	const (
		changes = 600
		missed  = 30
		// diskBound covers two snapshot slots and two logs, one of which is being truncated. The
		// machines have 128 MB.
		diskBound = 12 << 20
	)
	cluster := faultlessFleet(31)
	defer cluster.Close()
	change := func(label uint64) {
		if _, err := replace(cluster, "c1", withLabel(cluster, label, "a"), label-1); err != nil {
			t.Fatalf("change %d: %v", label, err)
		}
	}
	for label := uint64(1); label <= changes-missed; label++ {
		change(label)
	}
	measureCatchUp := func(lost bool) (bytes int, took time.Duration) {
		cluster.OnBytes = func(_, to, method string, count int) {
			if to == "c3" && (method == "Register.Fetch" || method == "Register.Install" || method == "Register.Seal") {
				bytes += count
			}
		}
		defer func() { cluster.OnBytes = nil }()
		began := cluster.Now()
		if lost {
			cluster.Node("c3").Disk.Wipe()
		}
		cluster.StartControl("c3")
		// It returns the newest configuration or an error.
		for until := cluster.Now() + 400*time.Millisecond; cluster.Now() < until; cluster.Run(20 * time.Millisecond) {
			var label uint64
			err := cluster.Do("c3", 5*time.Second, func(daemon *controlplane.Daemon) (err error) {
				_, label, err = daemon.Current()
				return err
			})
			if newest, _ := currentConfig(t, cluster, "c1"); err == nil && label != newest {
				t.Errorf("old config: the member that is behind returns label %d, the newest is %d", label, newest)
			}
		}
		if !cluster.Until(catchUp, func() bool { return isFullyReplicated(cluster, 3) }) {
			t.Errorf("after %v the member has not caught up", catchUp)
		}
		return bytes, cluster.Now() - began
	}
	cluster.Crash("c3")
	for label := uint64(changes - missed + 1); label <= changes; label++ {
		change(label)
	}
	few, took := measureCatchUp(false)
	cluster.Crash("c3")
	all, tookAll := measureCatchUp(true)
	t.Logf("%d bytes in %v after %d missed changes, %d bytes in %v with an empty disk", few, took, missed, all, tookAll)
	if few > 60_000 || all > 200_000 {
		t.Errorf("a member that missed %d changes was sent %d bytes, one with an empty disk %d", missed, few, all)
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		if bytes := cluster.Node(name).Disk.Bytes(); bytes > diskBound {
			t.Errorf("%s: %d bytes on disk", name, bytes)
		} else {
			t.Logf("%s: %d bytes on disk", name, bytes)
		}
	}
}
