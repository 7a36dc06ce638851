package register_test

import (
	"errors"
	"fmt"
	"net/rpc"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/disk"
	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/sim"
)

const patience = 2 * time.Second

// few is many, or less under the race detector.
func few(many, less int) int {
	if testing.Short() {
		return less
	}
	return many
}

// bench is a few simulated control machines that hold nothing but registers.
type bench struct {
	*sim.Sim
	keepers   map[string]*register.Keeper
	acceptors map[string]*register.Acceptor
	troubles  map[string]error
	lives     int
	logBytes  int
}

func newBench(seed uint64) *bench {
	return &bench{Sim: sim.New(seed), keepers: map[string]*register.Keeper{}, acceptors: map[string]*register.Acceptor{}, troubles: map[string]error{}, logBytes: 4000}
}

func (bench *bench) start(name string, core register.Core) {
	bench.lives++
	life := bench.lives
	bench.Start(name, func(node *sim.Node) {
		acceptor, err := register.OpenAcceptor(disk.Options{World: node, Folder: node.Disk, LogBytes: bench.logBytes}, fmt.Sprintf("%s-%d", name, life))
		bench.troubles[name] = err
		if err != nil {
			return
		}
		server := rpc.NewServer()
		if err := server.RegisterName("Register", acceptor); err != nil {
			panic(err)
		}
		node.Serve(server)
		keeper := &register.Keeper{Options: register.Options{World: node, Net: sim.Net{Node: node}, Self: fmt.Sprintf("%s.%d", name, life), Patience: patience}}
		keeper.Learn(core)
		bench.keepers[name], bench.acceptors[name] = keeper, acceptor
	})
	bench.Run(100 * time.Millisecond)
}

// do runs a task on a node to its end, or for at most the span.
func (bench *bench) do(name string, span time.Duration, run func(keeper *register.Keeper)) bool {
	done := false
	bench.Node(name).Go(func() { run(bench.keepers[name]); done = true })
	for spent := time.Duration(0); spent < span && !done; spent += 10 * time.Millisecond {
		bench.Run(10 * time.Millisecond)
	}
	return done
}

func (bench *bench) core(names ...string) register.Core {
	for _, name := range names {
		bench.start(name, register.Core{})
	}
	var core register.Core
	bench.do(names[0], 5*time.Second, func(keeper *register.Keeper) {
		made, err := keeper.Init(names)
		if err != nil {
			panic(err)
		}
		core = made
	})
	for _, name := range names {
		bench.keepers[name].Learn(core)
	}
	return core
}

// write swaps a key, from empty, so many times.
func (bench *bench) write(name string, turns int, key string) {
	var err error
	done := bench.do(name, 30*time.Second, func(keeper *register.Keeper) {
		for turn := 0; turn < turns && err == nil; turn++ {
			_, err = keeper.Swap(key, uint64(turn), []byte("v"))
		}
	})
	So(done, ShouldBeTrue)
	So(err, ShouldBeNil)
}

// operation is one entry of a history, as its caller saw it.
type operation struct {
	begin, end time.Duration
	write      bool
	value      string // read, or written
	before     string // for a write: the value that it replaced
	uncertain  bool
}

// linear looks for an order of the operations that a single register could have
// shown. Uncertain writes may have happened at any time after their beginning,
// or never.
func linear(history []operation) bool {
	done := make([]bool, len(history))
	dead := map[string]bool{}
	var search func(value string, left int) bool
	search = func(value string, left int) bool {
		if left == 0 {
			return true
		}
		key := value + fmt.Sprint(done)
		if dead[key] {
			return false
		}
		earliest := time.Duration(1 << 62)
		for index, one := range history {
			if !done[index] && !one.uncertain && one.end < earliest {
				earliest = one.end
			}
		}
		for index, one := range history {
			if done[index] || one.begin > earliest {
				continue
			}
			next := value
			if one.write {
				if one.before != value {
					continue
				}
				next = one.value
			} else if one.value != value {
				continue
			}
			done[index] = true
			less := left
			if !one.uncertain {
				less--
			}
			if search(next, less) {
				return true
			}
			done[index] = false
		}
		dead[key] = true
		return false
	}
	certain := 0
	for _, one := range history {
		if !one.uncertain {
			certain++
		}
	}
	return search("", certain)
}

func TestHistoryCheckerCanFail(t *testing.T) {
	Convey("a stale read after a finished write is no linear history", t, func() {
		good := []operation{{begin: 0, end: 1, write: true, value: "a"}, {begin: 2, end: 3, value: "a"}}
		So(linear(good), ShouldBeTrue)
		good[1].value = ""
		So(linear(good), ShouldBeFalse)
		lost := []operation{{begin: 0, end: 1, write: true, value: "a"}, {begin: 2, end: 3, write: true, value: "b"}}
		So(linear(lost), ShouldBeFalse) // b claims to have replaced the empty value
	})
}

// storm lets three machines change and read one register while the fault runs.
func storm(seed uint64, fault func(bench *bench, core register.Core)) []operation {
	bench := newBench(seed)
	defer bench.Close()
	names := []string{"a", "b", "c"}
	core := bench.core(names...)
	var entries []*operation
	for _, name := range names {
		var run func()
		keeper, node := bench.keepers[name], bench.Node(name)
		run = func() {
			for turn := 0; turn < 8; turn++ {
				// Until its end is seen, a write may have happened.
				one := &operation{begin: node.Now(), uncertain: true}
				var err error
				if turn%3 == 2 {
					var value register.Value
					value, err = keeper.Read("k")
					one.value = string(value.Data)
				} else {
					one.write = true
					one.value = name + strconv.Itoa(turn)
					entries = append(entries, one)
					_, err = keeper.Change("k", func(value register.Value) ([]byte, error) {
						one.before = string(value.Data)
						return []byte(one.value), nil
					})
				}
				one.end = node.Now()
				if err == nil {
					one.uncertain = false
					if !one.write {
						entries = append(entries, one)
					}
				} else if !errors.Is(err, register.ErrUncertain) {
					one.value = "never" // nothing was written, and never will be
				}
				loop.Sleep(node, time.Duration(node.Draw(int64(30*time.Millisecond))))
			}
		}
		node.Go(run)
	}
	fault(bench, core)
	bench.Run(60 * time.Second)
	var history []operation
	for _, one := range entries {
		if one.value != "never" {
			history = append(history, *one)
		}
	}
	// What lasts after all faults is read once more.
	for _, name := range names {
		if bench.Node(name).Up() {
			bench.do(name, 10*time.Second, func(keeper *register.Keeper) {
				begin := bench.Now()
				if value, err := keeper.Read("k"); err == nil {
					history = append(history, operation{begin: begin, end: bench.Now(), value: string(value.Data)})
				}
			})
		}
	}
	return history
}

func TestRegisterIsLinear(t *testing.T) {
	Convey("contending writers under cuts, freezes and kills keep one history", t, func() {
		for seed := uint64(1); seed <= uint64(few(25, 5)); seed++ {
			history := storm(seed, func(bench *bench, core register.Core) {
				bench.Run(time.Duration(bench.Draw(int64(200 * time.Millisecond))))
				switch seed % 5 {
				case 0:
					bench.Cut("a", "b", true)
				case 1:
					bench.Freeze("b", 3*time.Second)
				case 2:
					bench.Split([]string{"a"}, []string{"b", "c"}, true)
					bench.Run(time.Second)
					bench.Split([]string{"a"}, []string{"b", "c"}, false)
				case 3:
					bench.Kill("b")
					bench.Run(300 * time.Millisecond)
					bench.start("b", core)
				}
			})
			So(len(history), ShouldBeGreaterThan, 8)
			if !linear(history) {
				t.Fatalf("seed %d: not linear: %+v", seed, history)
			}
		}
	})
}

func TestCrashAtEveryDiskStep(t *testing.T) {
	Convey("a crash at each numbered disk point loses nothing that was acknowledged", t, func() {
		for _, point := range []string{"disk.write", "disk.sync", "disk.synced", "disk.folder"} {
			for at := 1; at <= few(24, 4); at++ {
				bench := newBench(uint64(at))
				defer bench.Close()
				core := bench.core("a", "b", "c")
				passed := 0
				bench.Hook(point, func(node *sim.Node, _ int) {
					if node.Name == "b" {
						if passed++; passed == at {
							node.Halt()
						}
					}
				})
				acknowledged := 0
				bench.do("a", 30*time.Second, func(keeper *register.Keeper) {
					for turn := 1; turn <= 12; turn++ {
						if _, err := keeper.Swap("k", uint64(turn-1), make([]byte, 400)); err == nil {
							acknowledged = turn
						}
					}
				})
				So(acknowledged, ShouldEqual, 12)
				if !bench.Node("b").Up() {
					bench.Hook(point, nil)
					bench.start("b", core)
					So(bench.troubles["b"], ShouldBeNil)
				}
				// Without a, b and c are the majority that must know.
				bench.Kill("a")
				var value register.Value
				var err error
				So(bench.do("b", 10*time.Second, func(keeper *register.Keeper) { value, err = keeper.Read("k") }), ShouldBeTrue)
				So(err, ShouldBeNil)
				So(value.Serial, ShouldEqual, 12)
			}
		}
	})
}

func TestSpoiledDiskIsNotEmptiness(t *testing.T) {
	Convey("a bad byte in a slot or in the middle of the log stops the acceptor with a message", t, func() {
		for _, spoil := range []struct {
			name       string
			at, writes int
		}{{"log-1", 200, 2}, {"slot-1", 40, 1}} {
			bench := newBench(3)
			core := bench.core("a", "b", "c")
			bench.write("a", spoil.writes, "k")
			bench.Kill("b")
			So(bench.Node("b").Disk.Spoil(spoil.name, spoil.at), ShouldBeTrue)
			bench.start("b", core)
			var corrupt *disk.Corrupt
			So(errors.As(bench.troubles["b"], &corrupt), ShouldBeTrue)
		}
	})
	Convey("a full disk stops the vote, not the core", t, func() {
		bench := newBench(4)
		bench.core("a", "b", "c")
		bench.Node("b").Disk.Full = true
		bench.write("a", 1, "k")
		var about register.About
		So(bench.acceptors["b"].Describe(struct{}{}, &about), ShouldBeNil)
		So(about.Disk.Broken, ShouldContainSubstring, "no space left")
		bench.Node("b").Disk.Full = false
		var vote register.Vote
		bench.do("b", time.Second, func(*register.Keeper) {
			_ = bench.acceptors["b"].Prepare(register.Ask{Epoch: 1, Key: "k", Ballot: register.Ballot{Round: 99}}, &vote)
		})
		So(vote.Kind, ShouldEqual, register.Sick) // nothing counts until the whole was written anew
	})
	Convey("a disk that takes writes again is voted on again, with all that was promised, also after a start", t, func() {
		for _, spoil := range []func(disk *sim.Disk, is bool){func(disk *sim.Disk, is bool) { disk.Full = is }, func(disk *sim.Disk, is bool) { disk.Sick = is }} {
			bench := newBench(5)
			core := bench.core("a", "b", "c")
			bench.write("a", 2, "k")
			spoil(bench.Node("b").Disk, true)
			bench.write("a", 3, "during")
			ask := func(round uint64) (vote register.Vote) {
				bench.do("b", time.Second, func(*register.Keeper) {
					_ = bench.acceptors["b"].Prepare(register.Ask{Epoch: 1, Key: "k", Ballot: register.Ballot{Epoch: 1, Round: round}}, &vote)
				})
				return vote
			}
			So(ask(90).Kind, ShouldEqual, register.Sick)
			spoil(bench.Node("b").Disk, false)
			bench.Run(600 * time.Millisecond)
			So(ask(99).Kind, ShouldEqual, register.Voted)
			var about register.About
			So(bench.acceptors["b"].Describe(struct{}{}, &about), ShouldBeNil)
			So(about.Disk.Broken, ShouldEqual, "")
			// What it shows lasts, and is not behind what it holds.
			var seen register.Seen
			bench.do("b", time.Second, func(*register.Keeper) {
				_ = bench.acceptors["b"].Query(register.Look{Epoch: 1, Keys: register.Keys{"k"}}, &seen)
			})
			So(seen.Cells["k"], ShouldResemble, bench.acceptors["b"].Cells()["k"])
			bench.write("a", 4, "after")
			bench.Kill("b")
			bench.start("b", core)
			bench.Run(time.Second)
			So(bench.troubles["b"], ShouldBeNil)
			So(ask(95).Kind, ShouldEqual, register.Outvoted) // 99 was promised before
			// With c gone, a and b are the majority.
			bench.Kill("c")
			var value register.Value
			var err error
			So(bench.do("a", 10*time.Second, func(proposer *register.Keeper) { value, err = proposer.Read("after") }), ShouldBeTrue)
			So(err, ShouldBeNil)
			So(value.Serial, ShouldEqual, 4)
		}
	})
}

func TestCoreChange(t *testing.T) {
	swapIn := func(out, in register.Member) func(register.Core) ([]register.Member, error) {
		return func(core register.Core) ([]register.Member, error) {
			members := []register.Member{in}
			for _, member := range core.Members {
				if member.ID != out.ID {
					members = append(members, member)
				}
			}
			return members, nil
		}
	}
	Convey("an acceptor that lost its disk has no vote until admitted", t, func() {
		bench := newBench(5)
		core := bench.core("a", "b", "c")
		bench.do("a", 9*time.Second, func(keeper *register.Keeper) { _, _ = keeper.Swap("k", 0, []byte("v")) })
		bench.Kill("c")
		bench.Node("c").Disk.Lose()
		bench.start("c", core)
		bench.Kill("b")
		var err error
		bench.do("a", 9*time.Second, func(keeper *register.Keeper) { _, err = keeper.Read("k") })
		So(err, ShouldEqual, register.ErrNoMajority)
		bench.start("b", core)
		Convey("and after admission, at any crash of the one who changes, its vote and memory count", func() {
			var newcomer register.About
			_ = bench.acceptors["c"].Describe(struct{}{}, &newcomer)
			for at := 1; at <= 12; at++ {
				bench := newBench(uint64(50 + at))
				core := bench.core("a", "b", "c")
				bench.do("b", 9*time.Second, func(keeper *register.Keeper) { _, _ = keeper.Swap("k", 0, []byte("v")) })
				bench.Kill("c")
				bench.Node("c").Disk.Lose()
				bench.start("c", core)
				_ = bench.acceptors["c"].Describe(struct{}{}, &newcomer)
				var gone register.Member
				for _, member := range core.Members {
					if member.Address == "c" {
						gone = member
					}
				}
				steps := 0
				crash := func(node *sim.Node, _ int) {
					if node.Name == "a" {
						if steps++; steps == at {
							node.Halt()
						}
					}
				}
				bench.Hook("disk.write", crash)
				bench.Hook("disk.synced", crash)
				bench.do("a", 9*time.Second, func(keeper *register.Keeper) {
					_, _ = keeper.ChangeCore(swapIn(gone, register.Member{ID: newcomer.ID, Address: "c"}))
				})
				bench.Hook("disk.write", nil)
				bench.Hook("disk.synced", nil)
				if !bench.Node("a").Up() {
					bench.start("a", core)
				}
				var err error
				bench.do("b", 20*time.Second, func(keeper *register.Keeper) {
					_, err = keeper.ChangeCore(swapIn(gone, register.Member{ID: newcomer.ID, Address: "c"}))
				})
				So(bench.keepers["b"].Core().Has(newcomer.ID), ShouldBeTrue)
				_ = err // the first change may have won; the core is what counts
				bench.Kill("a")
				var value register.Value
				bench.do("c", 20*time.Second, func(keeper *register.Keeper) { value, err = keeper.Read("k") })
				So(err, ShouldBeNil)
				So(string(value.Data), ShouldEqual, "v")
			}
		})
	})
	Convey("of two changes at once one wins, and the whole core may be replaced", t, func() {
		for seed := uint64(1); seed <= 8; seed++ {
			bench := newBench(seed)
			core := bench.core("a", "b", "c")
			for _, name := range []string{"d", "e", "f"} {
				bench.start(name, core)
			}
			bench.do("a", 9*time.Second, func(keeper *register.Keeper) { _, _ = keeper.Swap("k", 0, []byte("v")) })
			var all []register.Member
			for _, name := range []string{"d", "e", "f"} {
				var about register.About
				_ = bench.acceptors[name].Describe(struct{}{}, &about)
				all = append(all, register.Member{ID: about.ID, Address: name})
			}
			won := 0
			bench.Node("a").Go(func() {
				if _, err := bench.keepers["a"].ChangeCore(func(register.Core) ([]register.Member, error) { return all, nil }); err == nil {
					won++
				}
			})
			bench.do("b", 20*time.Second, func(keeper *register.Keeper) {
				if _, err := keeper.ChangeCore(swapIn(core.Members[0], all[0])); err == nil {
					won++
				}
			})
			bench.Run(20 * time.Second)
			So(won, ShouldEqual, 1)
			var value register.Value
			var err error
			bench.do("f", 20*time.Second, func(keeper *register.Keeper) { value, err = keeper.Read("k") })
			So(err, ShouldBeNil)
			So(string(value.Data), ShouldEqual, "v")
		}
	})
}

func TestRepairByDigests(t *testing.T) {
	Convey("a copy that missed writes is mended range by range, and a same one costs only digests", t, func() {
		bench := newBench(9)
		bench.core("a", "b", "c")
		bench.Split([]string{"c"}, []string{"a", "b"}, true)
		for turn := 0; turn < 10; turn++ {
			bench.write("a", 1, fmt.Sprint("k", turn))
		}
		bench.Split([]string{"c"}, []string{"a", "b"}, false)
		mend := func() (mended int) {
			bench.do("c", 20*time.Second, func(keeper *register.Keeper) { mended, _ = keeper.Repair(bench.acceptors["c"]) })
			return mended
		}
		So(mend(), ShouldEqual, 10)
		fetched := bench.Messages["Register.Fetch"]
		So(mend(), ShouldEqual, 0)
		So(bench.Messages["Register.Fetch"], ShouldEqual, fetched)
	})
}
