package register_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/register"
)

// member returns the core member for the acceptor that runs on the node now.
func (cluster *testCluster) member(name string) register.Member {
	var about register.Status
	_ = cluster.acceptors[name].Describe(struct{}{}, &about)
	return register.Member{ID: about.ID, Address: name}
}

// replaceMember replaces one acceptor of the core by another, or only adds it if no member is to
// be replaced.
func (cluster *testCluster) replaceMember(name string, out, in register.Member) (err error) {
	cluster.runOn(name, 20*time.Second, func(client *register.Client) {
		_, err = client.ChangeCore(func(core register.Core) ([]register.Member, error) {
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

func (cluster *testCluster) read(name, key string) (value register.Value, err error) {
	cluster.runOn(name, 20*time.Second, func(client *register.Client) { value, err = client.Read(key) })
	return value, err
}

func TestCoreChangeKeepsReadValues(t *testing.T) {
	Convey("a value read in a newer core isn't undone by a value that an acceptor accepted in an older core", t, func() {
		for seed := uint64(1); seed <= 5; seed++ {
			cluster := newTestCluster(seed)
			core := cluster.core("a", "b", "c")
			cluster.start("x", core)
			vote := func(name string, isAccept bool, round uint64, data string) {
				var vote register.Vote
				cluster.runOn(name, time.Second, func(*register.Client) {
					request := register.VoteRequest{Epoch: 1, Key: "k", Ballot: register.Ballot{Epoch: 1, Round: round, Proposer: "p"}, Value: register.Value{Serial: 1, Data: []byte(data)}}
					if isAccept {
						_ = cluster.acceptors[name].Accept(request, &vote)
					} else {
						_ = cluster.acceptors[name].Prepare(request, &vote)
					}
				})
				So(vote.Kind, ShouldEqual, register.Granted)
			}
			// Two writers propose values, and neither gets a majority to accept.
			vote("b", false, 50, "")
			vote("c", false, 50, "")
			vote("b", true, 50, "lower")
			vote("a", false, 90, "")
			vote("c", false, 90, "")
			vote("a", true, 90, "higher")
			a, c, x := cluster.member("a"), cluster.member("c"), cluster.member("x")
			cluster.Kill("a")
			So(cluster.replaceMember("b", a, x), ShouldBeNil)
			cluster.Kill("c") // and its promises with it
			first, err := cluster.read("b", "k")
			So(err, ShouldBeNil)
			So(string(first.Data), ShouldEqual, "lower")
			cluster.start("a", core)
			So(cluster.replaceMember("b", c, a), ShouldBeNil)
			verify := func(names ...string) {
				for _, name := range names {
					value, err := cluster.read(name, "k")
					So(err, ShouldBeNil)
					if string(value.Data) != "lower" {
						t.Errorf("fallback: seed %d: %s reads %q after %q was read before", seed, name, value.Data, first.Data)
					}
				}
			}
			verify("x", "b", "a")
			// With x, the two equal copies are a majority under any ballot. Without x, the higher
			// ballot decides.
			cluster.Kill("x")
			verify("b", "a")
			cluster.Close()
		}
	})
}

func TestReusedAddressVotesOnce(t *testing.T) {
	Convey("an acceptor at the address of a lost one does not vote for the lost one too", t, func() {
		cluster := newTestCluster(7)
		defer cluster.Close()
		core := cluster.core("a", "b", "c")
		lost := cluster.member("a")
		cluster.Kill("a")
		cluster.Node("a").Disk.Wipe()
		cluster.start("a", core)
		So(cluster.replaceMember("b", register.Member{}, cluster.member("a")), ShouldBeNil)
		So(cluster.clients["b"].Core().Has(lost.ID), ShouldBeTrue)
		So(len(cluster.clients["b"].Core().Members), ShouldEqual, 4)
		cluster.Kill("c")
		_, err := cluster.read("b", "k") // two of four are no majority
		if err != register.ErrNoMajority {
			t.Errorf("fallback: two of four acceptors were counted as a majority of a read: %v", err)
		}
		var writeErr error
		ended := cluster.runOn("b", 30*time.Second, func(client *register.Client) { _, writeErr = client.CompareAndSwap("k", 0, []byte("v")) })
		if !ended || writeErr == nil {
			t.Errorf("fallback: two of four acceptors were counted as a majority of a change: ended %v, error %v", ended, writeErr)
		}
		keys, err := []string(nil), error(nil)
		cluster.runOn("b", 30*time.Second, func(client *register.Client) { keys, err = client.List("") })
		if err != register.ErrNoMajority {
			t.Errorf("fallback: two of four acceptors were counted as a majority of a listing: keys %v, error %v", keys, err)
		}
	})
}

func TestInitMakesOneCore(t *testing.T) {
	Convey("concurrent creations of the first core result in the same core", t, func() {
		for seed := uint64(1); seed <= 10; seed++ {
			cluster := newTestCluster(seed)
			names := []string{"a", "b", "c"}
			for _, name := range names {
				cluster.start(name, register.Core{})
			}
			for _, name := range names {
				cluster.Node(name).Go(func() { _, _ = cluster.clients[name].Init(names) })
			}
			cluster.Run(2 * time.Second)
			for _, name := range names {
				So(cluster.clients[name].Core().Epoch, ShouldEqual, 1)
				So(cluster.clients[name].Core(), ShouldResemble, cluster.clients["a"].Core())
			}
			cluster.Close()
		}
	})
	Convey("a member of the first core that missed the installation joins once it learns of the core", t, func() {
		cluster := newTestCluster(3)
		defer cluster.Close()
		for _, name := range []string{"a", "b", "c"} {
			cluster.start(name, register.Core{})
		}
		core := register.Core{Epoch: 1, Members: []register.Member{cluster.member("a"), cluster.member("b"), cluster.member("c")}}
		other := register.Core{Epoch: 1, Members: []register.Member{cluster.member("a"), cluster.member("b")}}
		var vote register.Vote
		cluster.runOn("b", time.Second, func(*register.Client) { _ = cluster.acceptors["b"].Install(register.InstallRequest{Core: core}, &vote) })
		So(vote.Kind, ShouldEqual, register.Granted)
		cluster.runOn("b", time.Second, func(*register.Client) {
			_ = cluster.acceptors["b"].Install(register.InstallRequest{Core: other}, &vote)
		})
		So(vote.Kind, ShouldEqual, register.WrongEpoch) // an epoch has one core
		cluster.Kill("a")
		cluster.Node("a").Disk.Wipe()
		for _, name := range []string{"b", "c"} {
			cluster.clients[name].LearnCore(core)
			cluster.runOn(name, 5*time.Second, func(client *register.Client) { _, _ = client.Repair(cluster.acceptors[name]) })
		}
		_, err := cluster.read("b", "k")
		So(err, ShouldBeNil)
	})
}
