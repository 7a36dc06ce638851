package lease_test

import (
	"net/rpc"
	"testing"
	"time"

	"swifttiller/lease"
	"swifttiller/session"
	"swifttiller/sim"
)

// unconfiguredControl is a control daemon that has no configuration.
type unconfiguredControl struct {
	renewTimes []time.Duration
	fetchCount int
}

type unconfiguredService struct {
	*unconfiguredControl
	node *sim.Node
}

// Renew rejects every request.
func (service unconfiguredService) Renew(_ lease.Request, grant *lease.Grant) error {
	service.renewTimes = append(service.renewTimes, service.node.Now())
	grant.Declined = "there is no configuration yet"
	return nil
}

// Fetch returns no configuration.
func (service unconfiguredService) Fetch(lease.FetchRequest, *lease.ConfigUpdate) error {
	service.fetchCount++
	return nil
}

// TestRenewalBackoffWithoutConfiguration guards against wrong retry intervals of a daemon without a
// configuration: it must retry soon at first and then back off, but not beyond the usual
// renewal interval. An offer triggers an immediate renewal, but no fetch.
func TestRenewalBackoffWithoutConfiguration(t *testing.T) {
	cluster := sim.New(1)
	control := &unconfiguredControl{}
	cluster.Start("c", func(node *sim.Node) {
		server := rpc.NewServer()
		if err := server.RegisterName("Permit", unconfiguredService{control, node}); err != nil {
			panic(err)
		}
		node.Serve(server)
	})
	var holder *lease.Holder
	cluster.Start("d", func(node *sim.Node) {
		client := &session.Client{World: node, Net: sim.Net{Node: node}, Seeds: func() []string { return []string{"c"} }, SessionTimeout: func() time.Duration { return time.Second }}
		holder = lease.NewHolder(lease.HolderOptions{World: node, Client: client, Self: func() session.Member { return session.Member{Name: "d"} }})
		holder.Run()
	})
	cluster.Run(20 * time.Second)
	renewTimes := control.renewTimes
	if len(renewTimes) < 20 || len(renewTimes) > 40 {
		t.Fatalf("%d renewals in 20 s, want 20 to 40", len(renewTimes))
	}
	gap := func(index int) time.Duration { return renewTimes[index+1] - renewTimes[index] }
	if gap(0) > 200*time.Millisecond || gap(3) < 500*time.Millisecond {
		t.Errorf("wrong backoff, renewals at %v", renewTimes[:5])
	}
	for index := range len(renewTimes) - 1 {
		if gap(index) > 900*time.Millisecond {
			t.Errorf("no renewal for %v", gap(index))
		}
	}
	cluster.Run(100 * time.Millisecond)
	before := len(control.renewTimes)
	cluster.Node("d").Go(func() {
		if err := holder.Take(lease.Offer{Serial: 1, Patience: time.Second}, &lease.OfferReply{}); err != nil {
			t.Error(err)
		}
	})
	cluster.Run(50 * time.Millisecond)
	if len(control.renewTimes) != before+1 {
		t.Error("the offer did not trigger a renewal")
	}
	cluster.Run(time.Second)
	if control.fetchCount > 0 {
		t.Error("fallback: a daemon without a lease fetched the offered configuration")
	}
}
