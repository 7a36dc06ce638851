package lease

import (
	"encoding/json"
	"testing"
	"time"

	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/sim"
	"swifttiller/wire"
)

// TestNoticesRemoveIncarnations guards against replica incarnations that reappear in a view after a
// notice removed them. One that shuts down must be in no later view; one that a written
// routing table no longer has must be in no older table. Other incarnations of the same
// replica stay, and a weaker notice must not replace a stronger one.
func TestNoticesRemoveIncarnations(t *testing.T) {
	cluster := sim.New(1)
	cluster.Start("d", func(*sim.Node) {})
	holder := NewHolder(HolderOptions{World: cluster.Node("d"), Self: func() session.Member { return session.Member{Name: "d"} }})
	applyTable := func(serial uint64, incarnations ...DepartingReplica) {
		table := routing.Table{Region: "r", Serial: serial}
		for _, incarnation := range incarnations {
			table.Places = append(table.Places, routing.Endpoint{ID: incarnation.Replica, Boot: incarnation.Boot})
			table.Rows = append(table.Rows, routing.Row{Replica: incarnation.Replica})
		}
		text, err := json.Marshal(table)
		if err != nil {
			t.Fatal(err)
		}
		grant := &Grant{Length: time.Second, Kept: map[string]time.Duration{"r": 0}, Standings: []TableUpdate{{Region: "r", Serial: serial, Packed: wire.Compress(text, nil)}}}
		if !holder.applyGrant(grant, cluster.Now()) {
			t.Fatal("the grant was rejected")
		}
	}
	notify := func(serial uint64, incarnation DepartingReplica) {
		acknowledged := false
		if err := holder.Heed(DepartureNotice{Region: "r", Leavers: []DepartingReplica{incarnation}, Serial: serial}, &acknowledged); err != nil || !acknowledged {
			t.Fatal(err)
		}
	}
	expectReplicas := func(when string, want ...string) {
		t.Helper()
		table := holder.View().RoutingTables["r"]
		var got []string
		for at, endpoint := range table.Places {
			got = append(got, endpoint.ID)
			if table.Rows[at].Replica != endpoint.ID {
				t.Errorf("%s: rows and places name different replicas", when)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("%s: got replicas %v, want %v", when, got, want)
		}
		for at := range want {
			if got[at] != want[at] {
				t.Errorf("%s: got replicas %v, want %v", when, got, want)
			}
		}
	}
	a, b, c := DepartingReplica{"a", "1"}, DepartingReplica{"b", "1"}, DepartingReplica{"c", "1"}
	applyTable(1, a, b, c)
	expectReplicas("before any notice", "a", "b", "c")
	notify(0, a)
	expectReplicas("a shuts down", "b", "c")
	notify(3, b)
	expectReplicas("b is in no version below 3", "c")
	notify(9, a)
	applyTable(2, a, b, c)
	expectReplicas("an older routing table arrives late", "c")
	applyTable(3, b, c)
	expectReplicas("b is in version 3 again", "b", "c")
	notify(2, b)
	expectReplicas("an outdated notice arrives late", "b", "c")
	applyTable(10, DepartingReplica{"a", "2"}, b, c)
	expectReplicas("another incarnation of a", "a", "b", "c")
	applyTable(11, a, b, c)
	expectReplicas("a that shuts down is in no later version", "b", "c")
	cluster.Run(departureRetention + time.Second)
	notify(0, c)
	applyTable(12, a, b, c)
	expectReplicas("after the retention, the departure of a is dropped", "a", "b")
}
