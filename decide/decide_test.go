package decide_test

import (
	"fmt"
	"net/rpc"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/decide"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/sim"
	"swifttiller/verdict"
	"swifttiller/wire"
)

const document = `{"whole":{"placements":{"m":{"version":"v1","capacity":8}},"homes":{"inland":["a"]},"limits":{"queue_length":2,"queue_ms":400}},
 "regions":{"a":{"zones":{"a-1":{},"a-2":{}}},"b":{"zones":{"b-1":{}}}}}`

// view returns a view with three replicas in region a and one in region b, at which each daemon
// has the given credit. With trial set, the replica r1 also has a version on trial.
func view(daemons []string, credit int, trial bool) *lease.View {
	tree, problems := settings.Parse([]byte(document))
	if len(problems) > 0 {
		panic(problems)
	}
	out := &lease.View{Serial: 3, Tree: tree, Deadline: loop.Forever, Evacuated: map[string]bool{}, RoutingTables: map[string]routing.Table{}}
	for _, endpoint := range []struct{ region, zone, id string }{{"a", "a-1", "r1"}, {"a", "a-1", "r2"}, {"a", "a-2", "r3"}, {"b", "b-1", "far"}} {
		table := out.RoutingTables[endpoint.region]
		table.Region = endpoint.region
		credits := map[string]int{}
		for _, name := range daemons {
			credits[name] = credit
		}
		table.Places = append(table.Places, routing.Endpoint{ID: endpoint.id, Address: endpoint.id, Zone: endpoint.zone, Region: endpoint.region, Capacity: 8, Whole: 8, Warm: 1, Credits: credits})
		table.Rows = append(table.Rows, routing.Row{Replica: endpoint.id, Model: "m", Version: "v1"})
		if trial && endpoint.id == "r1" {
			table.Rows = append(table.Rows, routing.Row{Replica: endpoint.id, Model: "m", Version: "v2", Trial: true})
		}
		out.RoutingTables[endpoint.region] = table
	}
	return out
}

func call(id string) *decide.Call {
	ticket := decide.Ticket{ID: "own", Daemon: "x", Incarnation: "x#1", Wire: "x", Expiry: time.Minute}
	return &decide.Call{ID: id, Ticket: ticket.Seal(), Model: "m", Kind: "k", Bytes: 100, MaxAnswerTokens: 10, Prefix: 7}
}

// service exposes the methods that are called over the network.
type service struct{ decider *decide.Decider }

func (service service) Settle(claim decide.Claim, claimed *decide.Claimed) error {
	return service.decider.Settle(claim, claimed)
}

func (service service) Inherit(handover decide.TicketHandover, taken *bool) error {
	return service.decider.Inherit(handover, taken)
}

func (service service) Inherits(incarnation string, successor *string) error {
	return service.decider.Inherits(incarnation, successor)
}

// testCluster simulates a few data daemons, each with a decider; now is the view of them all.
type testCluster struct {
	*sim.Sim
	deciders map[string]*decide.Decider
	now      *lease.View
}

func newTestCluster(names ...string) *testCluster {
	cluster := &testCluster{Sim: sim.New(1), deciders: map[string]*decide.Decider{}, now: view(names, 4, false)}
	for _, name := range names {
		cluster.now.Members = append(cluster.now.Members, session.Member{Name: name, Incarnation: name + "#1", Role: session.Data, Region: "a", Zone: "a-1", Wire: name, HTTP: name})
		cluster.start(name, 1)
	}
	return cluster
}

func (cluster *testCluster) start(name string, incarnation int) {
	cluster.Start(name, func(node *sim.Node) {
		self := session.Member{Name: name, Incarnation: fmt.Sprint(name, "#", incarnation), Role: session.Data, Region: "a", Zone: "a-1", Wire: name, HTTP: name}
		decider := decide.New(decide.Options{World: node, Net: sim.Net{Node: node}, View: func() *lease.View { return cluster.now }, Self: self, StartedAt: node.Now()})
		cluster.deciders[name] = decider
		server := rpc.NewServer()
		if err := server.RegisterName("Ticket", service{decider}); err != nil {
			panic(err)
		}
		node.Serve(server)
	})
	cluster.Run(10 * time.Millisecond)
}

func (cluster *testCluster) do(name string, run func(*decide.Decider)) {
	cluster.Node(name).Go(func() { run(cluster.deciders[name]) })
	cluster.Run(1500 * time.Millisecond)
}

// admit sends a call with the ticket and request id to a daemon and returns whether it is admitted.
func (cluster *testCluster) admit(name, ticket, id string) (admitted *decide.Call, failure *verdict.Error) {
	admitted = call(id)
	admitted.Ticket = ticket
	cluster.do(name, func(decider *decide.Decider) { failure = decider.Allow(admitted) })
	return admitted, failure
}

// TestTicketsRunOnceAnywhere guards against a request that runs twice under one ticket, or that is
// reported as not run although it runs or ran, when its tries reach several daemons.
func TestTicketsRunOnceAnywhere(t *testing.T) {
	locate := func(cluster *testCluster) (ticket string, first string) {
		cluster.do("x", func(decider *decide.Decider) {
			members, located, _, _ := decider.Locate("m", "k", "", "a-1", 7)
			ticket, first = located.Seal(), members[0].Name
		})
		return ticket, first
	}
	others := func(first string) (rest []string) {
		for _, name := range []string{"x", "y", "z"} {
			if name != first {
				rest = append(rest, name)
			}
		}
		return rest
	}
	// A ticket's daemon hands the right to run an unseen request to the daemon that claims it.
	Convey("given away along a chain, a request that never ran may run at one place only", t, func() {
		cluster := newTestCluster("x", "y", "z")
		defer cluster.Close()
		ticket, first := locate(cluster)
		rest := others(first)
		at, failure := cluster.admit(rest[0], ticket, "q")
		So(failure, ShouldBeNil)
		_, failure = cluster.admit(first, ticket, "q")
		So(failure.Code, ShouldEqual, "elsewhere")
		_, failure = cluster.admit(rest[1], ticket, "q")
		So(failure.Verdict, ShouldEqual, verdict.MayHaveRun)
		So(failure.Code, ShouldEqual, "running")
		// It is rejected as not run there, and that reply is final.
		cluster.do(rest[0], func(decider *decide.Decider) {
			decider.Settled(at, verdict.Reject(503, "queue_full", "", 0))
		})
		for _, name := range rest {
			_, failure = cluster.admit(name, ticket, "q")
			if failure == nil || failure.Code != "declined_before" || failure.Verdict != verdict.NotRun {
				t.Errorf("twice: replied not_run, and then %v at %s", failure, name)
			}
		}
		at, failure = cluster.admit(rest[1], ticket, "r")
		So(failure, ShouldBeNil)
		cluster.do(rest[1], func(decider *decide.Decider) { decider.Settled(at, nil) })
		_, failure = cluster.admit(rest[1], ticket, "r")
		So(failure.Verdict, ShouldEqual, verdict.Ran)
		_, failure = cluster.admit(rest[0], ticket, "r")
		So(failure.Code, ShouldEqual, "ran")
	})
	Convey("when the daemon of the ticket is gone, or another life of it answers, it is never run", t, func() {
		cluster := newTestCluster("x", "y", "z")
		defer cluster.Close()
		ticket, first := locate(cluster)
		cluster.Kill(first)
		_, failure := cluster.admit(others(first)[0], ticket, "q")
		So(failure.Code, ShouldEqual, "daemon_gone")
		So(failure.Verdict, ShouldEqual, verdict.MayHaveRun)
		cluster.start(first, 2)
		_, failure = cluster.admit(first, ticket, "q")
		So(failure.Code, ShouldEqual, "daemon_gone")
		_, failure = cluster.admit(others(first)[1], ticket, "q")
		So(failure.Code, ShouldEqual, "daemon_gone")
	})
	// In a planned stop, a daemon hands its ticket rows over to one successor.
	Convey("a daemon that stops leaves what it knows to one heir, which alone decides about what was never seen", t, func() {
		cluster := newTestCluster("x", "y", "z")
		defer cluster.Close()
		ticket, first := locate(cluster)
		ran, failure := cluster.admit(first, ticket, "ran")
		So(failure, ShouldBeNil)
		cluster.do(first, func(decider *decide.Decider) { decider.Settled(ran, nil) })
		unrun, _ := cluster.admit(first, ticket, "unrun")
		cluster.do(first, func(decider *decide.Decider) { decider.Settled(unrun, verdict.Reject(503, "queue_full", "", 0)) })
		var isLeft bool
		cluster.do(first, func(decider *decide.Decider) {
			decider.Stop()
			isLeft = decider.HandOverTickets()
		})
		So(isLeft, ShouldBeTrue)
		// While it still runs, it must not admit requests that its successor does not know of.
		_, failure = cluster.admit(first, ticket, "late")
		So(failure.Code, ShouldEqual, "stopping")
		cluster.Kill(first)
		cluster.start(first, 2)
		cluster.now.Members[map[string]int{"x": 0, "y": 1, "z": 2}[first]].Incarnation = first + "#2"
		code := func(name, id string) string {
			if _, failure := cluster.admit(name, ticket, id); failure != nil {
				return failure.Code
			}
			return ""
		}
		for _, name := range []string{"x", "y", "z"} {
			So(code(name, "ran"), ShouldEqual, "ran")
			So(code(name, "unrun"), ShouldEqual, "declined_before")
			So(code(name, "late"), ShouldNotEqual, "")
		}
		// Requests never seen before are admitted at the first daemon that gets them, also at
		// the restarted one, and at no other.
		for index, name := range []string{"x", "y", "z"} {
			id := fmt.Sprint("new", index)
			So(code(name, id), ShouldEqual, "")
			So(code([]string{"y", "z", "x"}[index], id), ShouldNotEqual, "")
		}
	})
	Convey("an expired ticket is declined, and nothing is promised", t, func() {
		cluster := newTestCluster("x", "y", "z")
		defer cluster.Close()
		ticket, first := locate(cluster)
		cluster.Run(2 * time.Minute)
		for _, name := range []string{first, others(first)[0]} {
			_, failure := cluster.admit(name, ticket, "q")
			So(failure.Code, ShouldEqual, "ticket_expired")
			So(failure.Verdict, ShouldEqual, verdict.MayHaveRun)
		}
	})
}

// TestDecisions checks the admission, the selection and the retry budget of ticketed requests.
func TestDecisions(t *testing.T) {
	Convey("without a permit, in an evacuated zone, or outside a home everything is declined as not run", t, func() {
		cluster := newTestCluster("x")
		defer cluster.Close()
		count := 0
		code := func(change func(*lease.View), home string) string {
			next := view([]string{"x"}, 4, false)
			change(next)
			cluster.now = next
			count++
			request := call(fmt.Sprint("q", count))
			request.Home = home
			var failure *verdict.Error
			cluster.do("x", func(decider *decide.Decider) { failure = decider.Allow(request) })
			if failure == nil {
				return ""
			}
			So(failure.Verdict, ShouldEqual, verdict.NotRun)
			return failure.Code
		}
		So(code(func(*lease.View) {}, "inland"), ShouldEqual, "")
		So(code(func(view *lease.View) { view.Deadline = 0 }, ""), ShouldEqual, "no_permit")
		So(code(func(view *lease.View) { view.Evacuated["a-1"] = true }, ""), ShouldEqual, "evacuated")
		So(code(func(*lease.View) {}, "moon"), ShouldEqual, "outside_home")
	})
	Convey("a header's home and the placement's own both bind, in spill too", t, func() {
		cluster := newTestCluster("x")
		defer cluster.Close()
		tree, problems := settings.Parse([]byte(`{"whole":{"placements":{"m":{"version":"v1","home":"inland"}},"homes":{"inland":["a"],"wide":["a","b"]}},"regions":{"a":{"zones":{"a-1":{},"a-2":{}}},"b":{"zones":{"b-1":{}}}}}`))
		So(problems, ShouldBeEmpty)
		cluster.now = view([]string{"x"}, 1, false)
		cluster.now.Tree = tree
		used := map[string]int{}
		for index := 0; index < 8; index++ {
			cluster.Node("x").Go(func() {
				request := call(fmt.Sprint("h", index))
				request.Home = "wide"
				if failure := cluster.deciders["x"].Allow(request); failure != nil {
					panic(failure)
				}
				if selection, failure := cluster.deciders["x"].Select(request, nil); failure == nil {
					used[selection.Replica]++
				}
			})
		}
		cluster.Run(5 * time.Second)
		So(used, ShouldResemble, map[string]int{"r1": 1, "r2": 1, "r3": 1})
	})
	Convey("a ticket that names an address of no member is not asked there", t, func() {
		cluster := newTestCluster("x", "y")
		defer cluster.Close()
		cluster.do("x", func(*decide.Decider) {})
		claims := cluster.Messages["Ticket.Settle"]
		_, failure := cluster.admit("x", decide.Ticket{ID: "i", Daemon: "evil", Incarnation: "n", Wire: "elsewhere", Expiry: time.Hour}.Seal(), "q")
		So(failure.Code, ShouldEqual, "daemon_gone")
		So(cluster.Messages["Ticket.Settle"], ShouldEqual, claims)
	})
	Convey("a retry of what ran already costs no retry", t, func() {
		cluster := newTestCluster("x")
		defer cluster.Close()
		var ticket string
		cluster.do("x", func(decider *decide.Decider) {
			_, located, _, _ := decider.Locate("m", "k", "", "a-1", 7)
			ticket = located.Seal()
			done := call("done")
			done.Ticket = ticket
			if decider.Allow(done) != nil {
				panic("declined")
			}
			decider.Settled(done, nil)
			for try := 0; try < 50; try++ {
				again := call("done")
				again.Ticket, again.Retried = ticket, true
				if failure := decider.Allow(again); failure == nil || failure.Code != "ran" {
					panic(failure)
				}
			}
		})
	})
	Convey("the gate declines a selection whose permit ran out, or whose replica is no longer to be used", t, func() {
		cluster := newTestCluster("x")
		defer cluster.Close()
		cluster.do("x", func(decider *decide.Decider) {
			selection, _ := decider.Select(call("q"), nil)
			if _, failure := decider.Gate(selection); failure != nil {
				panic(failure)
			}
			cluster.now = view([]string{"x"}, 4, false)
			cluster.now.Evacuated[map[string]string{"r1": "a-1", "r2": "a-1", "r3": "a-2", "far": "b-1"}[selection.Replica]] = true
			if _, failure := decider.Gate(selection); failure == nil || failure.Code != "moved_on" {
				panic("passed the gate")
			}
			cluster.now = view([]string{"x"}, 4, false)
			cluster.now.Deadline = 0
			if _, failure := decider.Gate(selection); failure == nil || failure.Code != "no_permit" {
				panic("passed the gate")
			}
		})
	})
	Convey("credits bind, home goes before spill, and what can't be placed in time is declined at once or at its expiry", t, func() {
		cluster := newTestCluster("x")
		defer cluster.Close()
		used := map[string]int{}
		codes := map[string]int{}
		var waits []time.Duration
		for index := 0; index < 30; index++ {
			cluster.Node("x").Go(func() {
				request := call(fmt.Sprint("q", index))
				request.Home = "inland"
				began := cluster.Now()
				selection, failure := cluster.deciders["x"].Select(request, nil)
				if failure != nil {
					codes[failure.Code]++
					waits = append(waits, cluster.Now()-began)
					return
				}
				used[selection.Replica]++
			})
		}
		cluster.Run(2 * time.Second)
		So(used, ShouldResemble, map[string]int{"r1": 4, "r2": 4, "r3": 4})
		So(codes, ShouldResemble, map[string]int{"queue_full": 16, "too_late": 2})
		for _, wait := range waits {
			So(wait, ShouldBeLessThanOrEqualTo, 400*time.Millisecond)
		}
		var far *decide.Selection
		cluster.do("x", func(decider *decide.Decider) { far, _ = decider.Select(call("free"), nil) })
		So(far.Replica, ShouldEqual, "far")
		So(far.Spill, ShouldBeTrue)
	})
	Convey("a trial gets its small share of a kind and no more, and nothing once it plainly fails", t, func() {
		cluster := newTestCluster("x")
		defer cluster.Close()
		cluster.now = view([]string{"x"}, 4, true)
		trials := 0
		send := func(count int, fails bool) {
			for index := 0; index < count; index++ {
				decider := cluster.deciders["x"]
				cluster.Node("x").Go(func() {
					request := call(fmt.Sprint("t", cluster.Now()))
					request.Prefix = uint64(index) + 1
					if decider.Allow(request) != nil {
						return
					}
					selection, failure := decider.Select(request, nil)
					if failure != nil {
						return
					}
					var end *verdict.Error
					if selection.Version == "v2" {
						trials++
						if fails {
							end = &verdict.Error{Verdict: verdict.Ran, Code: "replica_failed"}
						}
					}
					decider.Release(selection, end, time.Millisecond)
				})
				cluster.Run(20 * time.Millisecond)
			}
		}
		send(300, false)
		So(trials, ShouldBeBetweenOrEqual, 15, 24) // 8 % of 300
		trials = 0
		send(200, true)
		So(trials, ShouldBeLessThanOrEqualTo, 16)
	})
	Convey("retries are let in up to a fifth of the real demand of the last seconds; nothing else is saved up", t, func() {
		cluster := newTestCluster("x")
		defer cluster.Close()
		count := 0
		allow := func(isRetry bool) bool {
			count++
			request := call(fmt.Sprint("r", count))
			request.Retried = isRetry
			return cluster.deciders["x"].Allow(request) == nil
		}
		again, fresh := 0, 0
		cluster.do("x", func(decider *decide.Decider) {
			for index := 0; index < 1000; index++ {
				if allow(false) {
					fresh++
				}
				for try := 0; try < 3; try++ {
					if allow(true) {
						again++
					}
				}
			}
		})
		So(fresh, ShouldEqual, 1000)
		So(again, ShouldEqual, 200)
		cluster.Run(20 * time.Second)
		again = 0
		cluster.do("x", func(decider *decide.Decider) {
			for try := 0; try < 50; try++ {
				if allow(true) {
					again++
				}
			}
		})
		So(again, ShouldEqual, 1) // one retry is always allowed; old demand earns none
	})
	Convey("no decline promises not_run while another try of the request runs or ran", t, func() {
		type rejectionCase struct {
			change func(cluster *testCluster)
			code   string
		}
		for name, rejection := range map[string]rejectionCase{
			"no permit":    {func(cluster *testCluster) { cluster.now.Deadline = 0 }, "no_permit"},
			"evacuated":    {func(cluster *testCluster) { cluster.now.Evacuated["a-1"] = true }, "evacuated"},
			"stopping":     {func(cluster *testCluster) { cluster.deciders["x"].Stop() }, "stopping"},
			"no such home": {func(cluster *testCluster) { cluster.now.Tree = treeOf(`"homes":{"inland":["b"]}`) }, "outside_home"},
			"no model":     {func(cluster *testCluster) { cluster.now.Tree = treeOf(`"placements":{"other":{"version":"v1"}}`) }, "no_model"},
			"retry budget": {func(cluster *testCluster) {
				for index := 0; index < 3; index++ {
					spent := call(fmt.Sprint("spent", index))
					spent.Retried = true
					cluster.deciders["x"].Allow(spent)
				}
			}, "retry_budget"},
		} {
			cluster := newTestCluster("x")
			cluster.now = view([]string{"x"}, 4, false)
			home := ""
			if name == "no such home" {
				home = "inland"
			}
			var codes []string
			var verdicts []verdict.Verdict
			cluster.do("x", func(decider *decide.Decider) {
				retry := func(id string) {
					again := call(id)
					again.Retried, again.Home = true, home
					failure := decider.Allow(again)
					if failure == nil {
						panic(name + ": admitted")
					}
					codes, verdicts = append(codes, failure.Code), append(verdicts, failure.Verdict)
				}
				runs, ran := call("runs"), call("ran")
				runs.Home, ran.Home = home, home
				if decider.Allow(runs) != nil || decider.Allow(ran) != nil {
					panic("declined")
				}
				decider.Settled(ran, nil)
				rejection.change(cluster)
				retry("runs")
				retry("ran")
				retry("never seen")
			})
			cluster.Close()
			So(codes, ShouldResemble, []string{"running", "ran", rejection.code})
			So(verdicts, ShouldResemble, []verdict.Verdict{verdict.MayHaveRun, verdict.Ran, verdict.NotRun})
		}
	})
	Convey("a try without a ticket is not run, and nothing is said of others", t, func() {
		cluster := newTestCluster("x")
		defer cluster.Close()
		_, failure := cluster.admit("x", "", "q")
		So(failure.Code, ShouldEqual, "ticket_needed")
		So(failure.Verdict, ShouldEqual, verdict.MayHaveRun)
	})
}

// treeOf returns the settings of document with one section of its "whole" part replaced.
func treeOf(section string) *settings.Tree {
	name, _, _ := strings.Cut(section, ":")
	text := document
	for _, old := range []string{`"placements":{"m":{"version":"v1","capacity":8}}`, `"homes":{"inland":["a"]}`} {
		if strings.HasPrefix(old, name) {
			text = strings.Replace(text, old, section, 1)
		}
	}
	tree, problems := settings.Parse([]byte(text))
	if len(problems) > 0 {
		panic(problems)
	}
	return tree
}

// BenchmarkDecision measures all decisions of a data daemon about one request.
func BenchmarkDecision(b *testing.B) {
	world := loop.NewMachine()
	now := view([]string{"x"}, 8, false)
	decider := decide.New(decide.Options{World: world, Net: &wire.TCP{World: world}, View: func() *lease.View { return now }, Self: session.Member{Name: "x", Incarnation: "x#1", Region: "a", Zone: "a-1"}})
	body := []byte(`{"model":"m","stream":true,"max_tokens":16,"prompt":"` + fmt.Sprintf("%06000d", 7) + `"}`)
	b.ReportAllocs()
	for b.Loop() {
		request := &decide.Call{ID: "q", Model: "m", Kind: "k"}
		if failure := decider.ReadCost(request, body); failure != nil {
			b.Fatal(failure)
		}
		selection, failure := decider.Select(request, nil)
		if failure != nil {
			b.Fatal(failure)
		}
		if _, failure := decider.Gate(selection); failure != nil {
			b.Fatal(failure)
		}
		decider.Release(selection, nil, time.Millisecond)
	}
}
