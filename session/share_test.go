package session_test

import (
	"fmt"
	"net/rpc"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/register"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/sim"
)

type beatService struct{ shareService }

func (service beatService) Beat(heartbeat session.Heartbeat, answer *session.HeartbeatReply) error {
	return service.Table.Beat(heartbeat, answer)
}

// testCluster is a simulated cluster of control daemons that share sessions, each in its own
// region.
type testCluster struct {
	*sim.Sim
	tables map[string]*session.Table
	starts int
}

func (cluster *testCluster) startControl(name string) {
	cluster.starts++
	incarnation := fmt.Sprint(name, cluster.starts)
	cluster.Start(name, func(node *sim.Node) {
		table := session.NewTable(session.Options{
			World: node, Net: sim.Net{Node: node}, Seeds: func() []string { return []string{"x", "y", "z"} }, Registers: &register.Client{}, SessionTimeout: func() time.Duration { return time.Second },
			Self: session.Member{Name: name, Incarnation: incarnation, Role: session.Control, Region: name, Wire: name},
		})
		cluster.tables[name] = table
		server := rpc.NewServer()
		if err := server.RegisterName("Session", beatService{shareService{table}}); err != nil {
			panic(err)
		}
		node.Serve(server)
		table.Run()
	})
}

// startData starts a data daemon that sends heartbeats to the given control daemon, in its
// region. report is called for each heartbeat.
func (cluster *testCluster) startData(name, control string, report func() routing.Report) {
	cluster.Start(name, func(node *sim.Node) {
		client := &session.Client{
			World: node, Net: sim.Net{Node: node}, Seeds: func() []string { return []string{control} }, SessionTimeout: func() time.Duration { return time.Second }, Region: control,
			Describe: func() session.Heartbeat {
				return session.Heartbeat{Member: session.Member{Name: name, Incarnation: name, Role: session.Data, Region: control, Wire: name, Uptime: node.Now()}, Report: report()}
			},
		}
		client.Run()
	})
}

func newTestCluster(seed uint64) *testCluster {
	cluster := &testCluster{Sim: sim.New(seed), tables: map[string]*session.Table{}}
	for _, name := range []string{"x", "y", "z"} {
		cluster.startControl(name)
	}
	return cluster
}

func TestSharesSendChangesOnly(t *testing.T) {
	Convey("an unchanged session is shared as a mark, and is as fresh as with its whole content", t, func() {
		cluster := newTestCluster(1)
		defer cluster.Close()
		demand := 1.0
		for index := 0; index < 20; index++ {
			cluster.startData(fmt.Sprint("d", index), "x", func() routing.Report {
				return routing.Report{Config: 3, Permit: 700 * time.Millisecond, Demand: map[string]float64{"some long name of a model": demand}}
			})
		}
		cluster.Run(3 * time.Second)
		before := cluster.Bytes["Session.Share"]
		cluster.Run(10 * time.Second)
		So((cluster.Bytes["Session.Share"]-before)/10, ShouldBeLessThan, 20*2*6*12) // 12 bytes a mark
		found, isLive := cluster.tables["y"].Find("d7")
		So(isLive, ShouldBeTrue)
		So(found.Age, ShouldBeLessThan, 500*time.Millisecond)
		So(found.Report.Permit, ShouldEqual, 700*time.Millisecond)
		So(found.Member.Uptime+found.Age, ShouldAlmostEqual, cluster.Now(), 20*time.Millisecond)
		Convey("and a change arrives after one heartbeat and one share", func() {
			demand = 2
			cluster.Run(500 * time.Millisecond)
			found, _ := cluster.tables["z"].Find("d7")
			So(found.Report.Demand["some long name of a model"], ShouldEqual, 2.0)
		})
		Convey("and a restarted peer has all sessions after the first share", func() {
			cluster.Kill("y")
			cluster.startControl("y")
			cluster.Run(300 * time.Millisecond)
			So(len(cluster.tables["y"].Live(session.Data)), ShouldEqual, 20)
		})
		Convey("and it ends at all control daemons when the daemon is dead", func() {
			cluster.Kill("d7")
			cluster.Run(1600 * time.Millisecond)
			for _, name := range []string{"x", "y", "z"} {
				_, isLive := cluster.tables[name].Find("d7")
				So(isLive, ShouldBeFalse)
			}
		})
	})
	Convey("with late, repeated and lost calls, the last report reaches all control daemons eventually", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			cluster := newTestCluster(seed)
			cluster.Faults = sim.NetworkFaults{Lost: 0.15, Duplicated: 0.15, Delayed: 0.15, MaxDelay: 900 * time.Millisecond}
			beats := 0.0
			cluster.startData("d", "x", func() routing.Report { beats++; return routing.Report{Demand: map[string]float64{"m": beats}} })
			cluster.Run(5 * time.Second)
			if seed%2 == 0 {
				cluster.Kill("z")
				cluster.startControl("z")
			}
			cluster.Run(5 * time.Second)
			lastBeat := beats
			cluster.Faults = sim.NetworkFaults{}
			cluster.Run(1500 * time.Millisecond)
			for _, name := range []string{"x", "y", "z"} {
				found, isLive := cluster.tables[name].Find("d")
				So(isLive, ShouldBeTrue)
				So(found.Report.Demand["m"], ShouldBeGreaterThan, lastBeat)
			}
			cluster.Close()
		}
	})
}

func TestFailuresAreSharedOncePerSession(t *testing.T) {
	Convey("failures that change with every heartbeat are sent to other regions once per span, and the last ones eventually", t, func() {
		cluster := newTestCluster(1)
		defer cluster.Close()
		failures, isOver := 0, false
		for index := 0; index < 20; index++ {
			cluster.startData(fmt.Sprint("d", index), "x", func() routing.Report {
				if !isOver {
					failures++
				}
				return routing.Report{Near: []routing.Outcome{
					{Replica: "some replica", Model: "some model", Kind: "some kind", OK: 1 + failures, Mishaps: failures},
					{Replica: "another replica", Model: "some model", Kind: "some kind", OK: 1 + failures},
				}}
			})
		}
		cluster.Run(3 * time.Second)
		before := cluster.Bytes["Session.Share"]
		cluster.Run(10 * time.Second)
		// A content has some 150 bytes and is sent to two peers, besides the usual marks. Sent
		// with every heartbeat, it would be six times as much.
		So((cluster.Bytes["Session.Share"]-before)/10, ShouldBeLessThan, 20*2*(6*20+200))
		isOver = true
		cluster.Run(2 * time.Second)
		remote, isLive := cluster.tables["y"].Find("d7")
		So(isLive, ShouldBeTrue)
		So(len(remote.Report.Near), ShouldEqual, 1)
		local, _ := cluster.tables["x"].Find("d7")
		So(len(local.Report.Near), ShouldEqual, 2)
		So(remote.Report.Near[0], ShouldResemble, local.Report.Near[0])
	})
	Convey("the routing table versions that a daemon applies arrive after one heartbeat and one share, in a few bytes", t, func() {
		cluster := newTestCluster(2)
		defer cluster.Close()
		serial := uint64(1)
		for index := 0; index < 20; index++ {
			cluster.startData(fmt.Sprint("d", index), "x", func() routing.Report {
				return routing.Report{Demand: map[string]float64{"some long name of a model and more": 1}, Standing: map[string]uint64{"x": serial, "y": 7}}
			})
		}
		cluster.Run(3 * time.Second)
		before := cluster.Bytes["Session.Share"]
		cluster.Run(time.Second)
		calm := cluster.Bytes["Session.Share"] - before
		serial++
		cluster.Run(500 * time.Millisecond)
		remote, _ := cluster.tables["y"].Find("d7")
		So(remote.Report.Standing, ShouldResemble, map[string]uint64{"x": 2, "y": 7})
		cluster.Run(500 * time.Millisecond)
		So(cluster.Bytes["Session.Share"]-before-2*calm, ShouldBeLessThan, 20*2*20)
	})
}

func TestClientsStayInTheirRegion(t *testing.T) {
	Convey("a daemon sends heartbeats to its region's control daemon, to another one while that is down, and returns", t, func() {
		cluster := newTestCluster(1)
		defer cluster.Close()
		var client *session.Client
		cluster.Start("d", func(node *sim.Node) {
			client = &session.Client{
				World: node, Net: sim.Net{Node: node}, Seeds: func() []string { return []string{"x", "y", "z"} }, SessionTimeout: func() time.Duration { return time.Second }, Region: "z",
				Describe: func() session.Heartbeat {
					return session.Heartbeat{Member: session.Member{Name: "d", Incarnation: "d", Role: session.Data, Region: "z", Wire: "d"}}
				},
			}
			client.Run()
		})
		cluster.Run(2 * time.Second)
		So(client.Controls()[0], ShouldEqual, "z")
		cluster.Kill("z")
		cluster.Run(time.Second)
		So(client.Controls()[0], ShouldNotEqual, "z")
		cluster.startControl("z")
		cluster.Run(8 * time.Second)
		So(client.Controls()[0], ShouldEqual, "z")
		_, isLive := cluster.tables["x"].Find("d")
		So(isLive, ShouldBeTrue)
	})
}

func TestReportsOfManyArePacked(t *testing.T) {
	Convey("reports of many daemons about the same replicas cost little more than the counts", t, func() {
		cluster := newTestCluster(1)
		defer cluster.Close()
		heartbeat := 0
		for index := 0; index < 40; index++ {
			cluster.startData(fmt.Sprint("d", index), "x", func() routing.Report {
				heartbeat++
				var out routing.Report
				for replica := range 20 {
					out.Near = append(out.Near, routing.Outcome{Replica: fmt.Sprintf("i-%010x", 7919*(replica+index%9)), Model: "daba27a", Version: "v1", Kind: "r-abkukgz", Boot: fmt.Sprintf("%016x", 104729*(replica+index%9)), OK: 1 + (heartbeat+replica)%3, Mishaps: 1 + heartbeat%2})
				}
				return out
			})
		}
		cluster.Run(3 * time.Second)
		before := cluster.Bytes["Session.Share"]
		cluster.Run(10 * time.Second)
		bytes := (cluster.Bytes["Session.Share"] - before) / 10
		t.Logf("%d bytes a second", bytes)
		// Once per second to two peers. Unpacked, 40 contents have some 50,000 bytes.
		So(bytes, ShouldBeLessThan, 40e3)
		remote, isLive := cluster.tables["y"].Find("d7")
		So(isLive, ShouldBeTrue)
		So(len(remote.Report.Near), ShouldEqual, 20)
	})
}

func TestMarksRoundTrip(t *testing.T) {
	Convey("decoded marks equal the encoded ones, and truncated or corrupted bytes cause no panic", t, func() {
		marks := session.Marks{{Serial: 1 << 40, Kept: []uint64{3, 500}}, {Slot: 1, Serial: 7, Age: 300, Permit: 1900}, {Slot: 9, Serial: 1<<64 - 1, Applied: []uint64{1, 2, 3}, Kept: []uint64{0}}}
		encoded, err := marks.GobEncode()
		So(err, ShouldBeNil)
		var decoded session.Marks
		So(decoded.GobDecode(encoded), ShouldBeNil)
		So(decoded, ShouldResemble, marks)
		So(decoded.GobDecode(encoded[:len(encoded)-1]), ShouldNotBeNil)
		for index := range encoded {
			for _, value := range []byte{0, 3, 127, 255} {
				corrupted := append([]byte{}, encoded...)
				corrupted[index] = value
				_ = decoded.GobDecode(corrupted)
			}
		}
	})
}
