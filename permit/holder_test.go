package permit_test

import (
	"net/rpc"
	"testing"
	"time"

	"swifttiller/permit"
	"swifttiller/session"
	"swifttiller/sim"
)

// none is a control daemon that has no configuration.
type none struct {
	asked   []time.Duration
	fetched int
}

type noneService struct {
	*none
	node *sim.Node
}

// Renew grants nothing.
func (service noneService) Renew(_ permit.Ask, grant *permit.Grant) error {
	service.asked = append(service.asked, service.node.Now())
	grant.Declined = "there is no configuration yet"
	return nil
}

// Fetch brings nothing.
func (service noneService) Fetch(permit.Want, *permit.Edition) error {
	service.fetched++
	return nil
}

// TestAsksThatBringNothing: a daemon that has no configuration asks soon, then less and
// less often, but as often as others renew; an offer brings the next
// ask at once, and nothing else.
func TestAsksThatBringNothing(t *testing.T) {
	park := sim.New(1)
	control := &none{}
	park.Start("c", func(node *sim.Node) {
		server := rpc.NewServer()
		if err := server.RegisterName("Permit", noneService{control, node}); err != nil {
			panic(err)
		}
		node.Serve(server)
	})
	var holder *permit.Holder
	park.Start("d", func(node *sim.Node) {
		client := &session.Client{World: node, Net: sim.Net{Node: node}, Seeds: func() []string { return []string{"c"} }, Span: func() time.Duration { return time.Second }}
		holder = permit.NewHolder(permit.HolderOptions{World: node, Client: client, Self: func() session.Member { return session.Member{Name: "d"} }})
		holder.Run()
	})
	park.Run(20 * time.Second)
	asked := control.asked
	if len(asked) < 20 || len(asked) > 40 {
		t.Fatalf("%d asks in 20 s", len(asked))
	}
	gap := func(index int) time.Duration { return asked[index+1] - asked[index] }
	if gap(0) > 200*time.Millisecond || gap(3) < 500*time.Millisecond {
		t.Errorf("asked at %v", asked[:5])
	}
	for index := range len(asked) - 1 {
		if gap(index) > 900*time.Millisecond {
			t.Errorf("no ask for %v", gap(index))
		}
	}
	park.Run(100 * time.Millisecond)
	before := len(control.asked)
	park.Node("d").Go(func() {
		if err := holder.Take(permit.Offer{Serial: 1, Patience: time.Second}, &permit.Taken{}); err != nil {
			t.Error(err)
		}
	})
	park.Run(50 * time.Millisecond)
	if len(control.asked) != before+1 {
		t.Error("an offer brings no ask")
	}
	park.Run(time.Second)
	if control.fetched > 0 {
		t.Error("fallback: a daemon without a permit goes by an offer")
	}
}
