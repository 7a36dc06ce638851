package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/register"
	"swifttiller/session"
	"swifttiller/sim"
)

// catchUp is the maximum time from the start of a core member until it votes.
const catchUp = 4 * time.Second

// startWithOwnCore starts a fleet in which the control daemons create the core themselves on their first
// start, with the given number of acceptors, at most six. It applies a configuration.
func startWithOwnCore(t *testing.T, seed uint64, votes int) *fleet.Cluster {
	t.Helper()
	plan := fleet.Sahayogi()
	plan.First, plan.Callers = true, nil
	for index, zone := range []string{"east-1", "middle-1", "west-1"} {
		if len(plan.Controls) < votes {
			plan.Controls = append(plan.Controls, fmt.Sprint("e", index+1, ":", zone))
		}
	}
	park := fleet.NewBareCluster(seed, plan)
	if !park.Until(6*time.Second, func() bool { return len(core(park).Members) == votes }) {
		t.Fatalf("seed %d: no core of the wanted size was created: %v", seed, core(park))
	}
	park.Plan.First = false
	if err := park.Apply(&fleet.Facts{}, "c2"); err != nil {
		t.Fatalf("seed %d: the first configuration was not applied: %v", seed, err)
	}
	park.Run(5 * time.Second)
	return park
}

// core returns the newest core configuration that a running control daemon has.
func core(park *fleet.Cluster) (newest register.Core) {
	for name, daemon := range park.Controls {
		if park.Node(name).Up() && daemon.Core().Epoch > newest.Epoch {
			newest = daemon.Core()
		}
	}
	return newest
}

// coreLeader returns the running control daemon that leads the core's election, whose membership
// reconciler replaces core members; "" if there is none.
func coreLeader(park *fleet.Cluster) string {
	for name, daemon := range park.Controls {
		if _, held := daemon.Elections.Term(controlplane.CoreElection); held && park.Node(name).Up() {
			return name
		}
	}
	return ""
}

// configVersion returns the version of the configuration as the daemon reads it from a majority, 0 if it
// can't.
func configVersion(park *fleet.Cluster, at string) (serial uint64) {
	_ = park.Do(at, 10*time.Second, func(daemon *controlplane.Daemon) error {
		err := daemon.Issuer.Refresh()
		if err == nil {
			serial, _, _ = daemon.Issuer.Current()
		}
		return err
	})
	return serial
}

// wipe restarts a machine with an empty disk.
func wipe(park *fleet.Cluster, name string) {
	park.Crash(name)
	park.Node(name).Disk.Wipe()
	park.StartControl(name)
	park.Run(50 * time.Millisecond)
}

// skipLong skips a long simulation under -short.
func skipLong(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("a long simulation with one task at a time, of little use under the race detector")
	}
}

// eachSeed runs the test step in a subtest for each of a few seeds; it skips under -short.
func eachSeed(t *testing.T, step func(t *testing.T, seed uint64)) {
	skipLong(t)
	for seed := *firstSeed; seed < *firstSeed+4+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { t.Parallel(); step(t, seed) })
	}
}

// TestFirstStartNeedsNoOperator checks that a fleet creates its core on the first start, keeps it
// over a restart, and takes an emptied member back, though the settings still declare a first start.
// A second core would lose acknowledged configurations.
func TestFirstStartNeedsNoOperator(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for votes := 3; votes <= 6; votes += 3 {
			park := startWithOwnCore(t, seed, votes)
			members := core(park).Members
			// Restarts everything from its disks; the settings still declare a first start.
			park.Plan.First = true
			park.RestartAll(park.CrashAll(park.NodeNames()))
			park.Run(4 * time.Second)
			if now := core(park); len(now.Members) != votes || !now.Has(members[0].ID) || configVersion(park, "c1") == 0 {
				t.Errorf("seed %d: after a restart the core is %v, the configuration's version %d", seed, now, configVersion(park, "c1"))
			}
			// One member restarts with an empty disk, still with the first-start setting.
			wipe(park, "c2")
			if !park.Until(catchUp, func() bool { return park.IsCoreMember("c2") }) || len(core(park).Members) != votes || configVersion(park, "c2") == 0 {
				t.Errorf("seed %d: a seed that came back empty made a core or did not join: %v", seed, core(park))
			}
			park.Close()
		}
	})
}

// TestAnEmptyDiskMakesNoCore checks that daemons with empty disks create no core unless the
// settings declare a first start.
func TestAnEmptyDiskMakesNoCore(t *testing.T) {
	t.Parallel()
	plan := fleet.Sahayogi()
	park := fleet.NewBareCluster(1, plan)
	defer park.Close()
	park.Run(10 * time.Second)
	if made := core(park); made.Epoch != 0 {
		t.Errorf("core %v was created though it is not the first start", made)
	}
}

// TestAWipedDiskAndNoPower restarts the whole fleet, with the disk of one core member empty each
// time. The member must rejoin with a vote, and no acknowledged configuration may be lost.
func TestAWipedDiskAndNoPower(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		park := startWithOwnCore(t, seed, 3)
		defer park.Close()
		lost := fmt.Sprint("c", 1+seed%3)
		for turn := 0; turn < 3; turn++ {
			facts := fleet.Facts{}
			if err := park.Apply(&facts, "c1"); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			acknowledged := configVersion(park, "c1")
			ends := park.CrashAll(park.NodeNames())
			park.Node(lost).Disk.Wipe()
			park.RestartAll(ends)
			park.Run(50 * time.Millisecond)
			if !park.Until(catchUp, func() bool { return park.IsCoreMember(lost) }) {
				t.Errorf("seed %d: %s has no vote in %v", seed, lost, core(park))
			}
			if read := configVersion(park, lost); read != acknowledged {
				t.Errorf("seed %d: version %d was acknowledged, but %d is read back", seed, acknowledged, read)
			}
			// Next, another member loses its disk, so the majority needs the rejoined member's copy.
			lost = fmt.Sprint("c", 1+(seed+uint64(turn)+1)%3)
		}
	})
}

// TestAMachineIsReplacedWithoutAnOperator replaces core members by new machines, one after the
// other, and then restarts the core. Each new machine must get a vote though some of its seed
// addresses are dead, and no acknowledged configuration may be lost.
func TestAMachineIsReplacedWithoutAnOperator(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for _, votes := range []int{3, 6} {
			park := startWithOwnCore(t, seed, votes)
			acknowledged := configVersion(park, "c1")
			// Three members of the first core are replaced, the leader first. Two seeds of each
			// new machine are dead or never existed.
			for turn := 0; turn < 3; turn++ {
				old := coreLeader(park)
				if old == "" {
					t.Fatalf("seed %d: no daemon leads the core's election", seed)
				}
				if turn > 0 || old == "c4" {
					for _, member := range core(park).Members {
						if member.Name != old && member.Name[0] != 'f' {
							old = member.Name
						}
					}
				}
				fresh := fmt.Sprint("f", turn, "-", votes)
				alive := ""
				for _, member := range core(park).Members {
					if member.Name != old {
						alive = member.Name
					}
				}
				park.SeedsOf = map[string][]string{fresh: {"nobody", old, alive}}
				park.Crash(old)
				park.Run(time.Duration(park.Draw(int64(3 * time.Second))))
				park.SetZone(fresh, "east-1")
				park.StartControl(fresh)
				if !park.Until(catchUp, func() bool { return park.IsCoreMember(fresh) }) {
					t.Errorf("seed %d: %s has no vote in %v", seed, fresh, core(park))
				}
				if now := core(park); len(now.Members) != votes {
					t.Errorf("seed %d: the core has %d votes, want %d", seed, len(now.Members), votes)
				}
				if read := configVersion(park, fresh); read != acknowledged {
					t.Errorf("seed %d: version %d was acknowledged, but %d is read back", seed, acknowledged, read)
				}
			}
			// Restarts the core from its disks; all seed addresses are dead by now.
			for name := range park.Controls {
				park.SeedsOf[name] = []string{"nobody", "gone"}
			}
			park.RestartAll(park.CrashAll(running(park)))
			park.Run(50 * time.Millisecond)
			if !park.Until(2*time.Second, func() bool { return allLive(park, votes) }) {
				t.Errorf("seed %d: the core members don't find each other after a restart", seed)
			}
			if read := configVersion(park, "f2-"+fmt.Sprint(votes)); read != acknowledged {
				t.Errorf("seed %d: version %d was acknowledged, but %d is read back", seed, acknowledged, read)
			}
			park.Close()
		}
	})
}

// TestMachinesReplacedByOnesThatComeFirst starts each new machine before the one that it replaces
// is stopped, or after a crash of it. The core must return to its size: votes of stopped
// machines that stay would cost the majority at the next failure.
func TestMachinesReplacedByOnesThatComeFirst(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for _, votes := range []int{3, 5} {
			park := startWithOwnCore(t, seed, votes)
			acknowledged := configVersion(park, "c1")
			for turn := 0; turn < 3; turn++ {
				// The first two new machines start before the replaced one stops in order, the
				// third after a machine crashed.
				var there []string
				for _, member := range core(park).Members {
					if park.Node(member.Name).Up() {
						there = append(there, member.Name)
					}
				}
				old := there[turn%2]
				fresh := fmt.Sprint("f", turn, "-", votes)
				park.SeedsOf = map[string][]string{fresh: {"nobody", old, there[2]}}
				park.SetZone(fresh, "east-1")
				if turn == 2 {
					park.Crash(old)
					park.Run(2 * time.Second)
				}
				park.StartControl(fresh)
				if !park.Until(catchUp, func() bool { return park.IsCoreMember(fresh) }) {
					t.Fatalf("seed %d: %s has no vote in %v", seed, fresh, core(park))
				}
				if turn < 2 {
					park.StopControl(old)
				}
				park.Run(2 * catchUp)
				if now := core(park); len(now.Members) != votes {
					t.Errorf("dead vote: seed %d: after %d replacements the core has %d votes, want %d", seed, turn+1, len(now.Members), votes)
				}
			}
			if read := configVersion(park, "f2-"+fmt.Sprint(votes)); read != acknowledged {
				t.Errorf("seed %d: version %d was acknowledged, but %d is read back", seed, acknowledged, read)
			}
			park.Close()
		}
	})
}

// running returns the control daemons with an acceptor that are up.
func running(park *fleet.Cluster) (names []string) {
	for _, name := range park.NodeNames() {
		if daemon := park.Controls[name]; daemon != nil && daemon.Acceptor != nil && park.Node(name).Up() {
			names = append(names, name)
		}
	}
	return names
}

// allLive reports whether every running acceptor has live sessions of at least votes acceptors.
func allLive(park *fleet.Cluster, votes int) bool {
	for _, name := range running(park) {
		count := 0
		for _, peer := range park.Controls[name].Sessions.Live(session.Control) {
			if peer.Member.Acceptor != "" {
				count++
			}
		}
		if count < votes {
			return false
		}
	}
	return true
}

// TestReconcilerCrashesInAReplacement crashes the membership reconciler's daemon at several moments of
// a change of the core. Its successor must finish the change, and no acknowledged configuration
// may be lost.
func TestReconcilerCrashesInAReplacement(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for at := 0; at < 6; at++ {
			park := startWithOwnCore(t, seed, 3)
			acknowledged := configVersion(park, "c1")
			killed, leader := "", coreLeader(park)
			lost := "c1"
			if leader == "c1" {
				lost = "c2"
			}
			park.SetHook("tender.change", func(node *sim.Node, _ int) {
				if killed == "" {
					killed = node.Name
					park.At(time.Duration(at)*2*time.Millisecond, func() { park.Crash(killed) })
				}
			})
			wipe(park, lost)
			park.Run(catchUp)
			park.SetHook("tender.change", nil)
			if killed == "" {
				t.Fatalf("seed %d: vacuous: no daemon was killed during a change of the core", seed)
			}
			park.StartControl(killed)
			park.Run(50 * time.Millisecond)
			if !park.Until(catchUp+2*time.Second, func() bool { return park.IsCoreMember(lost) }) || len(core(park).Members) != 3 {
				t.Errorf("seed %d, %d: %s has no vote in %v", seed, at, lost, core(park))
			}
			if read := configVersion(park, lost); read != acknowledged {
				t.Errorf("seed %d, %d: version %d was acknowledged, but %d is read back", seed, at, acknowledged, read)
			}
			park.Close()
		}
	})
}

// TestASplitInAReplacement partitions a core member from the others during a change of the core.
// After the partition heals, all three members must vote, and no acknowledged configuration may be
// lost.
func TestASplitInAReplacement(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		park := startWithOwnCore(t, seed, 3)
		defer park.Close()
		acknowledged := configVersion(park, "c1")
		cut, isCut := fmt.Sprint("c", 1+seed%3), false
		lost := fmt.Sprint("c", 1+(seed+1)%3)
		rest := func() (rest []string) {
			for _, name := range park.NodeNames() {
				if name != cut {
					rest = append(rest, name)
				}
			}
			return rest
		}
		park.SetHook("tender.change", func(*sim.Node, int) {
			if !isCut {
				isCut = true
				park.At(time.Duration(park.Draw(int64(20*time.Millisecond))), func() { park.Split([]string{cut}, rest(), true) })
			}
		})
		wipe(park, lost)
		park.Run(6 * time.Second)
		park.SetHook("tender.change", nil)
		if !isCut {
			t.Fatalf("seed %d: vacuous: no change of the core was interrupted by the partition", seed)
		}
		park.Split([]string{cut}, rest(), false)
		if !park.Until(catchUp, func() bool { return park.IsCoreMember(lost) && park.IsCoreMember(cut) }) || len(core(park).Members) != 3 {
			t.Errorf("seed %d: the core is %v", seed, core(park))
		}
		if read := configVersion(park, cut); read != acknowledged {
			t.Errorf("seed %d: version %d was acknowledged, but %d is read back", seed, acknowledged, read)
		}
	})
}

// TestTwoEmptyOfThreeLoseNothing empties the disks of two of three core members at once. The third
// alone must neither change the core nor acknowledge a configuration; when one disk comes back, the
// core recovers with all that it acknowledged.
func TestTwoEmptyOfThreeLoseNothing(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		park := startWithOwnCore(t, seed, 3)
		defer park.Close()
		acknowledged := configVersion(park, "c1")
		before := core(park)
		disk := park.Node("c1").Disk
		kept := *disk
		park.Crash("c1") // both at once: one after the other, the first would have recovered before the second is lost
		wipe(park, "c2")
		park.Node("c1").Disk.Wipe()
		park.StartControl("c1")
		park.Run(20 * time.Second)
		// No majority has the state left, so nothing may be decided, and no new core created.
		if now := core(park); now.Epoch != before.Epoch || park.Controls["c3"].Client.Core().Epoch != before.Epoch {
			t.Errorf("seed %d: the core moved without a majority: %v", seed, now)
		}
		if err := park.Do("c3", 8*time.Second, func(daemon *controlplane.Daemon) error {
			_, err := daemon.Apply([]byte(park.Document), nil, false)
			return err
		}); err == nil {
			t.Errorf("seed %d: a configuration was acknowledged without a majority", seed)
		}
		// One of the lost disks comes back.
		park.Crash("c1")
		*disk = kept
		park.StartControl("c1")
		park.Run(50 * time.Millisecond)
		if !park.Until(catchUp+2*time.Second, func() bool { return park.IsCoreMember("c2") && park.IsCoreMember("c1") }) {
			t.Errorf("seed %d: the core is %v", seed, core(park))
		}
		if read := configVersion(park, "c2"); read < acknowledged {
			t.Errorf("seed %d: version %d was acknowledged, but %d is read back", seed, acknowledged, read)
		}
	})
}

// TestAddressesOfTheCoreChange checks that the core follows a member that restarts with its disk at
// a new address, and that a diskless daemon finds the core by a single live seed.
func TestAddressesOfTheCoreChange(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		park := startWithOwnCore(t, seed, 3)
		defer park.Close()
		acknowledged := configVersion(park, "c1")
		// c2 restarts with its disk at another address, where c1 and c3 know it only from the
		// core's configuration. A diskless daemon has one live seed.
		park.Crash("c2")
		park.SetZone("c2-moved", "middle-1")
		park.Node("c2-moved").Disk.MoveFrom(park.Node("c2").Disk)
		park.StartControl("c2-moved")
		moved := func() bool {
			for _, member := range core(park).Members {
				if member.Address == "c2-moved" {
					return park.IsCoreMember("c2-moved")
				}
			}
			return false
		}
		if !park.Until(catchUp+2*time.Second, moved) || len(core(park).Members) != 3 {
			t.Errorf("seed %d: the core does not follow the member's new address: %v", seed, core(park))
		}
		park.SeedsOf = map[string][]string{"c4": {"nobody", "c3"}}
		park.Crash("c4")
		park.StartControl("c4")
		park.Run(2 * time.Second)
		if read := configVersion(park, "c4"); read != acknowledged {
			t.Errorf("seed %d: a diskless daemon with one live seed reads version %d, want %d", seed, read, acknowledged)
		}
	})
}
