package lease_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/routing"
	"swifttiller/session"
)

// fixedGrantNet answers every request with the same grant.
type fixedGrantNet struct{ grant lease.Grant }

// Call answers a lease request.
func (net *fixedGrantNet) Call(_, _ string, _, reply any, _ time.Duration) error {
	*reply.(*lease.Grant) = net.grant
	return nil
}

// largeTable returns the routing table of a region with the given number of replicas.
func largeTable(region string, serial uint64, replicas int) routing.Table {
	out := routing.Table{Region: region, Serial: serial, Duty: 1, Daemons: 420}
	for index := range replicas {
		id := fmt.Sprintf("%s-r%d", region, index+1)
		out.Rows = append(out.Rows, routing.Row{Replica: id, Model: fmt.Sprintf("m%d", index%22), Version: "v1"})
		out.Places = append(out.Places, routing.Endpoint{ID: id, Address: "127.0.0.1:40000", Zone: region + "-1", Region: region, Boot: "b-" + id, Capacity: 64, Whole: 64, Warm: 1, Slot: index})
	}
	return out
}

// BenchmarkRenew measures a renewal with 16 regions, 3,500 replicas and 420 other daemons:
// once with no changes, and once with a new routing table of one region.
func BenchmarkRenew(b *testing.B) {
	for _, updates := range []int{0, 1} {
		b.Run(fmt.Sprint(updates, " told"), func(b *testing.B) {
			world := loop.NewMachine()
			defer world.End()
			net := &fixedGrantNet{lease.Grant{Kept: map[string]time.Duration{}, Length: time.Minute, Sum: 1}}
			for index := range 420 {
				net.grant.Members = append(net.grant.Members, session.Member{Name: fmt.Sprintf("d%d", index), Role: session.Data})
			}
			client := &session.Client{World: world, Net: net, Seeds: func() []string { return []string{"c"} }, SessionTimeout: func() time.Duration { return time.Second }}
			holder := lease.NewHolder(lease.HolderOptions{World: world, Client: client, Self: func() session.Member { return session.Member{Name: "d"} }})
			addTable := func(region string, serial uint64) {
				packed, err := lease.EncodeRoutingTable(largeTable(region, serial, 219))
				if err != nil {
					b.Fatal(err)
				}
				net.grant.Standings = append(net.grant.Standings, lease.TableUpdate{Region: region, Serial: serial, Packed: packed})
			}
			for index := range 16 {
				region := fmt.Sprintf("g%d", index+1)
				net.grant.Kept[region] = 0
				addTable(region, 1)
			}
			if !holder.Renew() {
				b.Fatal("renewal failed")
			}
			net.grant.Standings, net.grant.Members = nil, nil
			if updates > 0 {
				addTable("g1", 2)
			}
			serial := uint64(2)
			for b.Loop() {
				for index := range net.grant.Standings {
					serial++
					net.grant.Standings[index].Serial = serial
				}
				if !holder.Renew() {
					b.Fatal("renewal failed")
				}
			}
		})
	}
}
