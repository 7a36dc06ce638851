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

type shareService struct{ *session.Table }

func (service shareService) Share(message session.ShareMessage, back *session.ShareMessage) error {
	return service.Table.Share(message, back)
}

func TestControlDaemonsOutsideSeedListsFindEachOther(t *testing.T) {
	Convey("two control daemons that are in nobody's seed list find each other through one that is", t, func() {
		cluster := sim.New(1)
		tables := map[string]*session.Table{}
		for _, name := range []string{"seed", "x", "y"} {
			cluster.Start(name, func(node *sim.Node) {
				table := session.NewTable(session.Options{
					World: node, Net: sim.Net{Node: node}, Seeds: func() []string { return []string{"seed"} }, Registers: &register.Client{}, SessionTimeout: func() time.Duration { return time.Second },
					Self: session.Member{Name: name, Incarnation: name, Role: session.Control, Wire: name},
				})
				tables[name] = table
				server := rpc.NewServer()
				if err := server.RegisterName("Session", shareService{table}); err != nil {
					panic(err)
				}
				node.Serve(server)
				table.Run()
			})
		}
		names := func(name string) (names []string) {
			for _, control := range tables[name].Live(session.Control) {
				names = append(names, control.Member.Name)
			}
			return names
		}
		cluster.Run(2 * time.Second)
		So(names("x"), ShouldResemble, []string{"seed", "x", "y"})
		So(names("y"), ShouldResemble, []string{"seed", "x", "y"})
		cluster.Kill("y")
		cluster.Run(1500 * time.Millisecond)
		So(names("x"), ShouldResemble, []string{"seed", "x"})
	})
}

func TestSumsOfTables(t *testing.T) {
	Convey("a table's checksum is that of its members, whatever has changed", t, func() {
		cluster := newTestCluster(3)
		defer cluster.Close()
		check := func() {
			for _, name := range []string{"x", "y", "z"} {
				table := cluster.tables[name]
				for _, role := range []string{"", session.Data, session.Control} {
					So(table.Checksum(role), ShouldEqual, session.Checksum(table.Members(role)))
				}
			}
		}
		cluster.Run(time.Second)
		check()
		before := cluster.tables["x"].Checksum("")
		for index := 0; index < 20; index++ {
			cluster.startData(fmt.Sprint("d", index), "x", func() routing.Report { return routing.Report{} })
			cluster.Run(50 * time.Millisecond)
			check()
		}
		So(cluster.tables["x"].Checksum(""), ShouldNotEqual, before)
		all := cluster.tables["x"].Checksum("")
		cluster.Kill("d3")
		cluster.Kill("y")
		for range 30 {
			cluster.Run(100 * time.Millisecond)
			for _, name := range []string{"x", "z"} {
				table := cluster.tables[name]
				So(table.Checksum(""), ShouldEqual, session.Checksum(table.Members("")))
			}
		}
		So(cluster.tables["x"].Checksum(""), ShouldNotEqual, all)
		So(session.Checksum([]session.Member{{Name: "a"}, {Name: "b"}}), ShouldNotEqual, session.Checksum([]session.Member{{Name: "b"}, {Name: "a"}}))
	})
}
