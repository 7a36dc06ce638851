package session_test

import (
	"fmt"
	"net/rpc"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/register"
	"swifttiller/session"
	"swifttiller/sim"
	"swifttiller/standing"
)

type beating struct{ service }

func (beating beating) Beat(beat session.Beat, answer *session.Answer) error {
	return beating.Table.Beat(beat, answer)
}

// circle is a few control daemons that share sessions, each in its own region.
type circle struct {
	*sim.Sim
	tables map[string]*session.Table
	lives  int
}

func (circle *circle) start(name string) {
	circle.lives++
	life := fmt.Sprint(name, circle.lives)
	circle.Start(name, func(node *sim.Node) {
		table := session.NewTable(session.Options{
			World: node, Net: sim.Net{Node: node}, Seeds: func() []string { return []string{"x", "y", "z"} }, Keeper: &register.Keeper{}, Span: func() time.Duration { return time.Second },
			Self: session.Member{Name: name, Incarnation: life, Role: session.Control, Region: name, Wire: name},
		})
		circle.tables[name] = table
		server := rpc.NewServer()
		if err := server.RegisterName("Session", beating{service{table}}); err != nil {
			panic(err)
		}
		node.Serve(server)
		table.Run()
	})
}

// beats lets a data daemon at the control daemon say its report, which it asks for
// each time.
func (circle *circle) beats(name, at string, report func() standing.Report) {
	circle.Start(name, func(node *sim.Node) {
		client := &session.Client{
			World: node, Net: sim.Net{Node: node}, Seeds: func() []string { return []string{at} }, Span: func() time.Duration { return time.Second }, Region: at,
			Describe: func() session.Beat {
				return session.Beat{Member: session.Member{Name: name, Incarnation: name, Role: session.Data, Region: at, Wire: name, Uptime: node.Now()}, Report: report()}
			},
		}
		client.Run()
	})
}

func newCircle(seed uint64) *circle {
	circle := &circle{Sim: sim.New(seed), tables: map[string]*session.Table{}}
	for _, name := range []string{"x", "y", "z"} {
		circle.start(name)
	}
	return circle
}

func TestSharesTellWhatChanged(t *testing.T) {
	Convey("a session that stays the same costs a mark, and is as fresh as if it were told whole", t, func() {
		circle := newCircle(1)
		defer circle.Close()
		demand := 1.0
		for index := 0; index < 20; index++ {
			circle.beats(fmt.Sprint("d", index), "x", func() standing.Report {
				return standing.Report{Config: 3, Permit: 700 * time.Millisecond, Demand: map[string]float64{"some long name of a model": demand}}
			})
		}
		circle.Run(3 * time.Second)
		before := circle.Bytes["Session.Share"]
		circle.Run(10 * time.Second)
		So((circle.Bytes["Session.Share"]-before)/10, ShouldBeLessThan, 20*2*6*12) // 12 bytes a mark
		one, isLive := circle.tables["y"].Find("d7")
		So(isLive, ShouldBeTrue)
		So(one.Age, ShouldBeLessThan, 500*time.Millisecond)
		So(one.Report.Permit, ShouldEqual, 700*time.Millisecond)
		So(one.Member.Uptime+one.Age, ShouldAlmostEqual, circle.Now(), 20*time.Millisecond)
		Convey("and what changed is there a beat and a share later", func() {
			demand = 2
			circle.Run(500 * time.Millisecond)
			one, _ := circle.tables["z"].Find("d7")
			So(one.Report.Demand["some long name of a model"], ShouldEqual, 2.0)
		})
		Convey("and a colleague that began anew has all at its first share", func() {
			circle.Kill("y")
			circle.start("y")
			circle.Run(300 * time.Millisecond)
			So(len(circle.tables["y"].Live(session.Data)), ShouldEqual, 20)
		})
		Convey("and it ends when the daemon is dead, for all", func() {
			circle.Kill("d7")
			circle.Run(1600 * time.Millisecond)
			for _, name := range []string{"x", "y", "z"} {
				_, isLive := circle.tables[name].Find("d7")
				So(isLive, ShouldBeFalse)
			}
		})
	})
	Convey("with calls that come late, twice or not at all, what is said last is known to all in the end", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			circle := newCircle(seed)
			circle.Unruly = sim.Unruly{Lost: 0.15, Repeated: 0.15, Late: 0.15, Latest: 900 * time.Millisecond}
			said := 0.0
			circle.beats("d", "x", func() standing.Report { said++; return standing.Report{Demand: map[string]float64{"m": said}} })
			circle.Run(5 * time.Second)
			if seed%2 == 0 {
				circle.Kill("z")
				circle.start("z")
			}
			circle.Run(5 * time.Second)
			last := said
			circle.Unruly = sim.Unruly{}
			circle.Run(1500 * time.Millisecond)
			for _, name := range []string{"x", "y", "z"} {
				one, isLive := circle.tables[name].Find("d")
				So(isLive, ShouldBeTrue)
				So(one.Report.Demand["m"], ShouldBeGreaterThan, last)
			}
			circle.Close()
		}
	})
}

func TestMishapsTravelOnceASession(t *testing.T) {
	Convey("mishaps that change with every beat are told elsewhere once a session, and the last ones in the end", t, func() {
		circle := newCircle(1)
		defer circle.Close()
		mishaps, isOver := 0, false
		for index := 0; index < 20; index++ {
			circle.beats(fmt.Sprint("d", index), "x", func() standing.Report {
				if !isOver {
					mishaps++
				}
				return standing.Report{Near: []standing.Outcome{
					{Replica: "some replica", Model: "some model", Kind: "some kind", OK: 1 + mishaps, Mishaps: mishaps},
					{Replica: "another replica", Model: "some model", Kind: "some kind", OK: 1 + mishaps},
				}}
			})
		}
		circle.Run(3 * time.Second)
		before := circle.Bytes["Session.Share"]
		circle.Run(10 * time.Second)
		// A content has some 150 bytes, and is told to two; marks are as in calm. Told with
		// every beat it would be six times as much.
		So((circle.Bytes["Session.Share"]-before)/10, ShouldBeLessThan, 20*2*(6*20+200))
		isOver = true
		circle.Run(2 * time.Second)
		one, isLive := circle.tables["y"].Find("d7")
		So(isLive, ShouldBeTrue)
		So(len(one.Report.Near), ShouldEqual, 1)
		last, _ := circle.tables["x"].Find("d7")
		So(len(last.Report.Near), ShouldEqual, 2)
		So(one.Report.Near[0], ShouldResemble, last.Report.Near[0])
	})
	Convey("standings that a daemon applies are known a beat and a share later, for a few bytes", t, func() {
		circle := newCircle(2)
		defer circle.Close()
		serial := uint64(1)
		for index := 0; index < 20; index++ {
			circle.beats(fmt.Sprint("d", index), "x", func() standing.Report {
				return standing.Report{Demand: map[string]float64{"some long name of a model and more": 1}, Standing: map[string]uint64{"x": serial, "y": 7}}
			})
		}
		circle.Run(3 * time.Second)
		before := circle.Bytes["Session.Share"]
		circle.Run(time.Second)
		calm := circle.Bytes["Session.Share"] - before
		serial++
		circle.Run(500 * time.Millisecond)
		one, _ := circle.tables["y"].Find("d7")
		So(one.Report.Standing, ShouldResemble, map[string]uint64{"x": 2, "y": 7})
		circle.Run(500 * time.Millisecond)
		So(circle.Bytes["Session.Share"]-before-2*calm, ShouldBeLessThan, 20*2*20)
	})
}

func TestClientsStayInTheirRegion(t *testing.T) {
	Convey("a daemon beats at its own region's control daemon, at another while that is out, and comes back", t, func() {
		circle := newCircle(1)
		defer circle.Close()
		var client *session.Client
		circle.Start("d", func(node *sim.Node) {
			client = &session.Client{
				World: node, Net: sim.Net{Node: node}, Seeds: func() []string { return []string{"x", "y", "z"} }, Span: func() time.Duration { return time.Second }, Region: "z",
				Describe: func() session.Beat {
					return session.Beat{Member: session.Member{Name: "d", Incarnation: "d", Role: session.Data, Region: "z", Wire: "d"}}
				},
			}
			client.Run()
		})
		circle.Run(2 * time.Second)
		So(client.Controls()[0], ShouldEqual, "z")
		circle.Kill("z")
		circle.Run(time.Second)
		So(client.Controls()[0], ShouldNotEqual, "z")
		circle.start("z")
		circle.Run(8 * time.Second)
		So(client.Controls()[0], ShouldEqual, "z")
		_, isLive := circle.tables["x"].Find("d")
		So(isLive, ShouldBeTrue)
	})
}

func TestReportsOfManyArePacked(t *testing.T) {
	Convey("what many daemons tell of the same replicas costs little more than the counts", t, func() {
		circle := newCircle(1)
		defer circle.Close()
		beat := 0
		for index := 0; index < 40; index++ {
			circle.beats(fmt.Sprint("d", index), "x", func() standing.Report {
				beat++
				var out standing.Report
				for replica := range 20 {
					out.Near = append(out.Near, standing.Outcome{Replica: fmt.Sprintf("i-%010x", 7919*(replica+index%9)), Model: "daba27a", Version: "v1", Kind: "r-abkukgz", Boot: fmt.Sprintf("%016x", 104729*(replica+index%9)), OK: 1 + (beat+replica)%3, Mishaps: 1 + beat%2})
				}
				return out
			})
		}
		circle.Run(3 * time.Second)
		before := circle.Bytes["Session.Share"]
		circle.Run(10 * time.Second)
		bytes := (circle.Bytes["Session.Share"] - before) / 10
		t.Logf("%d bytes a second", bytes)
		// Once a second to two colleagues: as they are, 40 contents have some 50,000 bytes.
		So(bytes, ShouldBeLessThan, 40e3)
		one, isLive := circle.tables["y"].Find("d7")
		So(isLive, ShouldBeTrue)
		So(len(one.Report.Near), ShouldEqual, 20)
	})
}

func TestMarksTravel(t *testing.T) {
	Convey("marks come back as they were, and what is cut or spoiled ends nothing", t, func() {
		marks := session.Marks{{Serial: 1 << 40, Kept: []uint64{3, 500}}, {Slot: 1, Serial: 7, Age: 300, Permit: 1900}, {Slot: 9, Serial: 1<<64 - 1, Applied: []uint64{1, 2, 3}, Kept: []uint64{0}}}
		text, err := marks.GobEncode()
		So(err, ShouldBeNil)
		var back session.Marks
		So(back.GobDecode(text), ShouldBeNil)
		So(back, ShouldResemble, marks)
		So(back.GobDecode(text[:len(text)-1]), ShouldNotBeNil)
		for at := range text {
			for _, one := range []byte{0, 3, 127, 255} {
				spoiled := append([]byte{}, text...)
				spoiled[at] = one
				_ = back.GobDecode(spoiled)
			}
		}
	})
}
