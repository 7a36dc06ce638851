package decide_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/decide"
)

// TestReportFollowsTables: the credits in a report follow the present view. The digest of a
// region's routing table is cached, and must be made again when a new view changes the table
// of this daemon's own region while those of other regions stay.
func TestReportFollowsTables(t *testing.T) {
	Convey("A daemon that holds a request", t, func() {
		cluster := newTestCluster("x")
		defer cluster.Close()
		var selection *decide.Selection
		cluster.do("x", func(decider *decide.Decider) {
			request := call("a")
			_, ticket, _, _ := decider.Locate("m", "k", "", "a-1", 7)
			request.Ticket = ticket.Seal()
			if decider.Allow(request) == nil {
				selection, _ = decider.Select(request, nil)
			}
		})
		So(selection, ShouldNotBeNil)
		So(cluster.deciders["x"].Report().Overflow["m"], ShouldEqual, 0)
		Convey("lacks credits once a new standing gives it none", func() {
			other := view([]string{"x"}, 0, false)
			next := *cluster.now
			next.RoutingTables = other.RoutingTables
			cluster.now = &next
			if overflow := cluster.deciders["x"].Report().Overflow["m"]; overflow <= 0 {
				t.Errorf("control traffic: the report follows the previous routing table: its overflow is %v", overflow)
			}
		})
	})
}
