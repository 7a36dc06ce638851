package register_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/register"
)

// member of a core, as the acceptor that runs there now.
func (bench *bench) member(name string) register.Member {
	var about register.About
	_ = bench.acceptors[name].Describe(struct{}{}, &about)
	return register.Member{ID: about.ID, Address: name}
}

// swap puts one acceptor in the place of another, or adds it if there is none.
func (bench *bench) swap(at string, out, in register.Member) (err error) {
	bench.do(at, 20*time.Second, func(keeper *register.Keeper) {
		_, err = keeper.ChangeCore(func(core register.Core) ([]register.Member, error) {
			members := []register.Member{in}
			for _, member := range core.Members {
				if member.ID != out.ID {
					members = append(members, member)
				}
			}
			return members, nil
		})
	})
	return err
}

func (bench *bench) read(at, key string) (value register.Value, err error) {
	bench.do(at, 20*time.Second, func(keeper *register.Keeper) { value, err = keeper.Read(key) })
	return value, err
}

func TestCoreChangeForgetsNothingThatWasSeen(t *testing.T) {
	Convey("what a newer core has shown isn't undone by what an acceptor took in an older one", t, func() {
		for seed := uint64(1); seed <= 5; seed++ {
			bench := newBench(seed)
			core := bench.core("a", "b", "c")
			bench.start("x", core)
			vote := func(name string, isAccept bool, round uint64, data string) {
				var vote register.Vote
				bench.do(name, time.Second, func(*register.Keeper) {
					one := register.Ask{Epoch: 1, Key: "k", Ballot: register.Ballot{Epoch: 1, Round: round, Proposer: "p"}, Value: register.Value{Serial: 1, Data: []byte(data)}}
					if isAccept {
						_ = bench.acceptors[name].Accept(one, &vote)
					} else {
						_ = bench.acceptors[name].Prepare(one, &vote)
					}
				})
				So(vote.Kind, ShouldEqual, register.Voted)
			}
			// Two writers, neither of which got a majority to accept.
			vote("b", false, 50, "")
			vote("c", false, 50, "")
			vote("b", true, 50, "lower")
			vote("a", false, 90, "")
			vote("c", false, 90, "")
			vote("a", true, 90, "higher")
			a, c, x := bench.member("a"), bench.member("c"), bench.member("x")
			bench.Kill("a")
			So(bench.swap("b", a, x), ShouldBeNil)
			bench.Kill("c") // with what it promised
			first, err := bench.read("b", "k")
			So(err, ShouldBeNil)
			So(string(first.Data), ShouldEqual, "lower")
			bench.start("a", core)
			So(bench.swap("b", c, a), ShouldBeNil)
			again := func(names ...string) {
				for _, name := range names {
					again, err := bench.read(name, "k")
					So(err, ShouldBeNil)
					if string(again.Data) != "lower" {
						t.Errorf("fallback: seed %d: %s reads %q where %q was shown", seed, name, again.Data, first.Data)
					}
				}
			}
			again("x", "b", "a")
			// With x the two copies alike are a majority under whatever ballot; without it
			// the higher ballot tells.
			bench.Kill("x")
			again("b", "a")
			bench.Close()
		}
	})
}

func TestAnAddressVotesOnce(t *testing.T) {
	Convey("an acceptor at the address of a lost one does not vote in its place as well", t, func() {
		bench := newBench(7)
		defer bench.Close()
		core := bench.core("a", "b", "c")
		lost := bench.member("a")
		bench.Kill("a")
		bench.Node("a").Disk.Lose()
		bench.start("a", core)
		So(bench.swap("b", register.Member{}, bench.member("a")), ShouldBeNil)
		So(bench.keepers["b"].Core().Has(lost.ID), ShouldBeTrue)
		So(len(bench.keepers["b"].Core().Members), ShouldEqual, 4)
		bench.Kill("c")
		_, err := bench.read("b", "k") // two of four are no majority
		if err != register.ErrNoMajority {
			t.Errorf("fallback: two of four were counted as a majority: %v", err)
		}
		var wrote error
		ended := bench.do("b", 30*time.Second, func(keeper *register.Keeper) { _, wrote = keeper.Swap("k", 0, []byte("v")) })
		if !ended || wrote == nil {
			t.Errorf("fallback: two of four took a change: ended %v, %v", ended, wrote)
		}
		keys, err := []string(nil), error(nil)
		bench.do("b", 30*time.Second, func(keeper *register.Keeper) { keys, err = keeper.List("") })
		if err != register.ErrNoMajority {
			t.Errorf("fallback: two of four were counted as a majority of a listing: %v %v", keys, err)
		}
	})
}

func TestInitMakesOneCore(t *testing.T) {
	Convey("all who make the first core at once make the same one", t, func() {
		for seed := uint64(1); seed <= 10; seed++ {
			bench := newBench(seed)
			names := []string{"a", "b", "c"}
			for _, name := range names {
				bench.start(name, register.Core{})
			}
			for _, name := range names {
				bench.Node(name).Go(func() { _, _ = bench.keepers[name].Init(names) })
			}
			bench.Run(2 * time.Second)
			for _, name := range names {
				So(bench.keepers[name].Core().Epoch, ShouldEqual, 1)
				So(bench.keepers[name].Core(), ShouldResemble, bench.keepers["a"].Core())
			}
			bench.Close()
		}
	})
	Convey("an acceptor of the first core that missed its making takes part once it hears of it", t, func() {
		bench := newBench(3)
		defer bench.Close()
		for _, name := range []string{"a", "b", "c"} {
			bench.start(name, register.Core{})
		}
		core := register.Core{Epoch: 1, Members: []register.Member{bench.member("a"), bench.member("b"), bench.member("c")}}
		other := register.Core{Epoch: 1, Members: []register.Member{bench.member("a"), bench.member("b")}}
		var vote register.Vote
		bench.do("b", time.Second, func(*register.Keeper) { _ = bench.acceptors["b"].Install(register.Move{Core: core}, &vote) })
		So(vote.Kind, ShouldEqual, register.Voted)
		bench.do("b", time.Second, func(*register.Keeper) { _ = bench.acceptors["b"].Install(register.Move{Core: other}, &vote) })
		So(vote.Kind, ShouldEqual, register.Elsewhere) // an epoch has one core
		bench.Kill("a")
		bench.Node("a").Disk.Lose()
		for _, name := range []string{"b", "c"} {
			bench.keepers[name].Learn(core)
			bench.do(name, 5*time.Second, func(keeper *register.Keeper) { _, _ = keeper.Repair(bench.acceptors[name]) })
		}
		_, err := bench.read("b", "k")
		So(err, ShouldBeNil)
	})
}
