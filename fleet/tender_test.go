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

// catchUp is how long a core machine may take from its start until it votes.
const catchUp = 4 * time.Second

// selfMade starts a fleet that nobody makes a core for: the first six are its
// acceptors, or as many as are asked for.
func selfMade(t *testing.T, seed uint64, votes int) *fleet.Park {
	t.Helper()
	plan := fleet.Sahayogi()
	plan.First, plan.Callers = true, nil
	for index, zone := range []string{"east-1", "middle-1", "west-1"} {
		if len(plan.Controls) < votes {
			plan.Controls = append(plan.Controls, fmt.Sprint("e", index+1, ":", zone))
		}
	}
	park := fleet.NewBarePark(seed, plan)
	if !park.Until(6*time.Second, func() bool { return len(core(park).Members) == votes }) {
		t.Fatalf("seed %d: the core is %v", seed, core(park))
	}
	park.Plan.First = false
	if err := park.Apply(&fleet.Facts{}, "c2"); err != nil {
		t.Fatalf("seed %d: no configuration: %v", seed, err)
	}
	park.Run(5 * time.Second)
	return park
}

// core is the newest that a running daemon knows.
func core(park *fleet.Park) (newest register.Core) {
	for name, daemon := range park.Controls {
		if park.Node(name).Up() && daemon.Core().Epoch > newest.Epoch {
			newest = daemon.Core()
		}
	}
	return newest
}

// tending is the running daemon that holds the core's duty.
func tending(park *fleet.Park) string {
	for name, daemon := range park.Controls {
		if _, held := daemon.Elections.Term(controlplane.CoreElection); held && park.Node(name).Up() {
			return name
		}
	}
	return ""
}

// serial is the configuration's at a majority, 0 if there is none.
func serial(park *fleet.Park, at string) (serial uint64) {
	_ = park.Do(at, 10*time.Second, func(daemon *controlplane.Daemon) error {
		err := daemon.Issuer.Refresh()
		if err == nil {
			serial, _, _ = daemon.Issuer.Current()
		}
		return err
	})
	return serial
}

// wipe starts a machine again that lost its disk.
func wipe(park *fleet.Park, name string) {
	park.Crash(name)
	park.Node(name).Disk.Wipe()
	park.StartControl(name)
	park.Run(50 * time.Millisecond)
}

// skipLong leaves a long simulation to the run of all tests.
func skipLong(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("a long simulation; the race detector has one task at a time to look at")
	}
}

// eachSeed runs the step under a few seeds.
func eachSeed(t *testing.T, step func(t *testing.T, seed uint64)) {
	skipLong(t)
	for seed := *first; seed < *first+4+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { t.Parallel(); step(t, seed) })
	}
}

func TestFirstStartNeedsNoOperator(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for votes := 3; votes <= 6; votes += 3 {
			park := selfMade(t, seed, votes)
			members := core(park).Members
			// All of it again, from the disks; the file still says that it is the first time.
			park.Plan.First = true
			park.Return(park.Lose(park.NodeNames()))
			park.Run(4 * time.Second)
			if now := core(park); len(now.Members) != votes || !now.Has(members[0].ID) || serial(park, "c1") == 0 {
				t.Errorf("seed %d: after a restart the core is %v, the configuration %d", seed, now, serial(park, "c1"))
			}
			// One comes back empty, and is still told so.
			wipe(park, "c2")
			if !park.Until(catchUp, func() bool { return park.Votes("c2") }) || len(core(park).Members) != votes || serial(park, "c2") == 0 {
				t.Errorf("seed %d: a seed that came back empty made a core or did not join: %v", seed, core(park))
			}
			park.Close()
		}
	})
}

func TestAnEmptyDiskMakesNoCore(t *testing.T) {
	t.Parallel()
	plan := fleet.Sahayogi()
	park := fleet.NewBarePark(1, plan)
	defer park.Close()
	park.Run(10 * time.Second)
	if made := core(park); made.Epoch != 0 {
		t.Errorf("made %v though it is not the first start", made)
	}
}

func TestAWipedDiskAndNoPower(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		park := selfMade(t, seed, 3)
		defer park.Close()
		lost := fmt.Sprint("c", 1+seed%3)
		for turn := 0; turn < 3; turn++ {
			facts := fleet.Facts{}
			if err := park.Apply(&facts, "c1"); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			acknowledged := serial(park, "c1")
			ends := park.Lose(park.NodeNames())
			park.Node(lost).Disk.Wipe()
			park.Return(ends)
			park.Run(50 * time.Millisecond)
			if !park.Until(catchUp, func() bool { return park.Votes(lost) }) {
				t.Errorf("seed %d: %s has no vote in %v", seed, lost, core(park))
			}
			if read := serial(park, lost); read != acknowledged {
				t.Errorf("seed %d: acknowledged %d, read back %d", seed, acknowledged, read)
			}
			// The next one lost is another, so the newcomer's copy is needed.
			lost = fmt.Sprint("c", 1+(seed+uint64(turn)+1)%3)
		}
	})
}

func TestAMachineIsReplacedWithoutAnOperator(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for _, votes := range []int{3, 6} {
			park := selfMade(t, seed, votes)
			acknowledged := serial(park, "c1")
			// Every machine of the first core goes, the duty's holder first, and each new
			// one has two seeds that are gone or never were.
			for turn := 0; turn < 3; turn++ {
				old := tending(park)
				if old == "" {
					t.Fatalf("seed %d: nobody tends the core", seed)
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
				park.Place(fresh, "east-1")
				park.StartControl(fresh)
				if !park.Until(catchUp, func() bool { return park.Votes(fresh) }) {
					t.Errorf("seed %d: %s has no vote in %v", seed, fresh, core(park))
				}
				if now := core(park); len(now.Members) != votes {
					t.Errorf("seed %d: the core has %d votes, not %d", seed, len(now.Members), votes)
				}
				if read := serial(park, fresh); read != acknowledged {
					t.Errorf("seed %d: acknowledged %d, read back %d", seed, acknowledged, read)
				}
			}
			// All of it from the disks, with seeds that are all gone by now.
			for name := range park.Controls {
				park.SeedsOf[name] = []string{"nobody", "gone"}
			}
			park.Return(park.Lose(running(park)))
			park.Run(50 * time.Millisecond)
			if !park.Until(2*time.Second, func() bool { return allLive(park, votes) }) {
				t.Errorf("seed %d: the core's machines do not find each other", seed)
			}
			if read := serial(park, "f2-"+fmt.Sprint(votes)); read != acknowledged {
				t.Errorf("seed %d: acknowledged %d, read back %d", seed, acknowledged, read)
			}
			park.Close()
		}
	})
}

func TestMachinesReplacedByOnesThatComeFirst(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for _, votes := range []int{3, 5} {
			park := selfMade(t, seed, votes)
			acknowledged := serial(park, "c1")
			for turn := 0; turn < 3; turn++ {
				// The first two come before the one that they replace goes in order, the
				// third after a machine was lost.
				var there []string
				for _, member := range core(park).Members {
					if park.Node(member.Name).Up() {
						there = append(there, member.Name)
					}
				}
				old := there[turn%2]
				fresh := fmt.Sprint("f", turn, "-", votes)
				park.SeedsOf = map[string][]string{fresh: {"nobody", old, there[2]}}
				park.Place(fresh, "east-1")
				if turn == 2 {
					park.Crash(old)
					park.Run(2 * time.Second)
				}
				park.StartControl(fresh)
				if !park.Until(catchUp, func() bool { return park.Votes(fresh) }) {
					t.Fatalf("seed %d: %s has no vote in %v", seed, fresh, core(park))
				}
				if turn < 2 {
					park.StopControl(old)
				}
				park.Run(2 * catchUp)
				if now := core(park); len(now.Members) != votes {
					t.Errorf("dead vote: seed %d: after %d replacements the core has %d votes, not %d", seed, turn+1, len(now.Members), votes)
				}
			}
			if read := serial(park, "f2-"+fmt.Sprint(votes)); read != acknowledged {
				t.Errorf("seed %d: acknowledged %d, read back %d", seed, acknowledged, read)
			}
			park.Close()
		}
	})
}

// running are the control daemons with a disk that run.
func running(park *fleet.Park) (names []string) {
	for _, name := range park.NodeNames() {
		if daemon := park.Controls[name]; daemon != nil && daemon.Acceptor != nil && park.Node(name).Up() {
			names = append(names, name)
		}
	}
	return names
}

// allLive tells whether every acceptor that runs knows as many acceptors as members.
func allLive(park *fleet.Park, votes int) bool {
	for _, name := range running(park) {
		count := 0
		for _, one := range park.Controls[name].Sessions.Live(session.Control) {
			if one.Member.Acceptor != "" {
				count++
			}
		}
		if count < votes {
			return false
		}
	}
	return true
}

func TestTheTenderDiesInAReplacement(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		for at := 0; at < 6; at++ {
			park := selfMade(t, seed, 3)
			acknowledged := serial(park, "c1")
			killed, holder := "", tending(park)
			lost := "c1"
			if holder == "c1" {
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
				t.Fatalf("seed %d: vacuous: nobody was killed in a change", seed)
			}
			park.StartControl(killed)
			park.Run(50 * time.Millisecond)
			if !park.Until(catchUp+2*time.Second, func() bool { return park.Votes(lost) }) || len(core(park).Members) != 3 {
				t.Errorf("seed %d, %d: %s has no vote in %v", seed, at, lost, core(park))
			}
			if read := serial(park, lost); read != acknowledged {
				t.Errorf("seed %d, %d: acknowledged %d, read back %d", seed, at, acknowledged, read)
			}
			park.Close()
		}
	})
}

func TestASplitInAReplacement(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		park := selfMade(t, seed, 3)
		defer park.Close()
		acknowledged := serial(park, "c1")
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
			t.Fatalf("seed %d: vacuous: no change was cut", seed)
		}
		park.Split([]string{cut}, rest(), false)
		if !park.Until(catchUp, func() bool { return park.Votes(lost) && park.Votes(cut) }) || len(core(park).Members) != 3 {
			t.Errorf("seed %d: the core is %v", seed, core(park))
		}
		if read := serial(park, cut); read != acknowledged {
			t.Errorf("seed %d: acknowledged %d, read back %d", seed, acknowledged, read)
		}
	})
}

func TestTwoEmptyOfThreeLoseNothing(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		park := selfMade(t, seed, 3)
		defer park.Close()
		acknowledged := serial(park, "c1")
		before := core(park)
		disk := park.Node("c1").Disk
		kept := *disk
		park.Crash("c1") // both at once: one after the other, the first is whole before
		wipe(park, "c2")
		park.Node("c1").Disk.Wipe()
		park.StartControl("c1")
		park.Run(20 * time.Second)
		// No majority remembers: nothing is decided, and above all nothing new is made.
		if now := core(park); now.Epoch != before.Epoch || park.Controls["c3"].Client.Core().Epoch != before.Epoch {
			t.Errorf("seed %d: the core moved without a majority: %v", seed, now)
		}
		if err := park.Do("c3", 8*time.Second, func(daemon *controlplane.Daemon) error {
			_, err := daemon.Apply([]byte(park.Document), nil, false)
			return err
		}); err == nil {
			t.Errorf("seed %d: a configuration was acknowledged without a majority", seed)
		}
		// One disk is found again.
		park.Crash("c1")
		*disk = kept
		park.StartControl("c1")
		park.Run(50 * time.Millisecond)
		if !park.Until(catchUp+2*time.Second, func() bool { return park.Votes("c2") && park.Votes("c1") }) {
			t.Errorf("seed %d: the core is %v", seed, core(park))
		}
		if read := serial(park, "c2"); read < acknowledged {
			t.Errorf("seed %d: acknowledged %d, read back %d", seed, acknowledged, read)
		}
	})
}

func TestAddressesOfTheCoreChange(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		park := selfMade(t, seed, 3)
		defer park.Close()
		acknowledged := serial(park, "c1")
		// c2 comes back with its disk at another address; c1 and c3 know it by the core
		// alone, and a diskless daemon knows one seed.
		park.Crash("c2")
		park.Place("c2-moved", "middle-1")
		park.Node("c2-moved").Disk.MoveFrom(park.Node("c2").Disk)
		park.StartControl("c2-moved")
		moved := func() bool {
			for _, member := range core(park).Members {
				if member.Address == "c2-moved" {
					return park.Votes("c2-moved")
				}
			}
			return false
		}
		if !park.Until(catchUp+2*time.Second, moved) || len(core(park).Members) != 3 {
			t.Errorf("seed %d: the core does not follow an address: %v", seed, core(park))
		}
		park.SeedsOf = map[string][]string{"c4": {"nobody", "c3"}}
		park.Crash("c4")
		park.StartControl("c4")
		park.Run(2 * time.Second)
		if read := serial(park, "c4"); read != acknowledged {
			t.Errorf("seed %d: a diskless daemon with one seed reads %d, not %d", seed, read, acknowledged)
		}
	})
}
