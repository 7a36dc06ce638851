package lease

import (
	"fmt"
	"net/rpc"
	"testing"
	"time"

	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/sim"
)

// slowControl is a control daemon that answers each fetch with a delay.
type slowControl struct {
	issuer *Issuer
	node   *sim.Node
	delay  time.Duration
}

// Renew grants a lease under the newest configuration.
func (control *slowControl) Renew(_ Request, grant *Grant) error {
	serial, _, tree := control.issuer.Current()
	*grant = Grant{Serial: serial, Length: tree.Duration("permit_ms", "")}
	return nil
}

// Fetch returns the configuration that was the newest at the time of the request, after the
// delay.
func (control *slowControl) Fetch(request FetchRequest, update *ConfigUpdate) error {
	if err := control.issuer.Fetch(request, update); err != nil {
		return err
	}
	loop.Sleep(control.node, control.delay)
	return nil
}

// holderService is the RPC service of a data daemon that takes offers.
type holderService struct{ holder *Holder }

// Take handles an offer.
func (service holderService) Take(offer Offer, reply *OfferReply) error {
	return service.holder.Take(offer, reply)
}

// TestChangesInQuickSuccessionReachSlowFetches guards against a data daemon that keeps
// serving under an old configuration during a series of changes, because each fetch takes
// longer than an offer waits and returns a newer configuration than the lease names.
func TestChangesInQuickSuccessionReachSlowFetches(t *testing.T) {
	const (
		lease   = 1800 * time.Millisecond
		delay   = 700 * time.Millisecond // longer than an offer waits, shorter than a fetch may take
		gap     = 330 * time.Millisecond
		bound   = 3 * time.Second // counted from the acknowledgement of a change
		changes = 40
	)
	world := sim.New(1)
	defer world.Close()
	control := &slowControl{delay: delay}
	document := func(label int) []byte {
		return fmt.Appendf(nil, `{"label":%d,"whole":{"limits":{"permit_ms":%d,"alone_ms":3600000}},"regions":{"a":{"zones":{"a-1":{}}}}}`, label, lease.Milliseconds())
	}
	decided := map[uint64]time.Duration{}
	change := func(serial uint64) {
		if err := control.issuer.applyConfig(serial, Config{Document: document(int(serial))}); err != nil {
			t.Fatal(err)
		}
		decided[serial] = world.Now()
	}
	world.Start("control", func(node *sim.Node) {
		control.issuer, control.node = &Issuer{IssuerOptions: IssuerOptions{World: node}}, node
		server := rpc.NewServer()
		if err := server.RegisterName("Permit", control); err != nil {
			panic(err)
		}
		node.Serve(server)
	})
	world.Run(time.Millisecond)
	change(1)
	var holder *Holder
	world.Start("data", func(node *sim.Node) {
		client := &session.Client{World: node, Net: sim.Net{Node: node}, Seeds: func() []string { return []string{"control"} }, SessionTimeout: func() time.Duration { return time.Second }}
		holder = NewHolder(HolderOptions{World: node, Client: client, Self: func() session.Member { return session.Member{Name: "data"} }})
		server := rpc.NewServer()
		if err := server.RegisterName("Permit", holderService{holder}); err != nil {
			panic(err)
		}
		node.Serve(server)
		holder.Run()
	})
	world.Run(5 * time.Second)
	if holder.View().Serial != 1 {
		t.Fatal("vacuous: the data daemon has no configuration")
	}
	worst := time.Duration(0)
	for serial := uint64(2); serial < 2+changes; serial++ {
		change(serial)
		control.node.Go(func() {
			// Like acknowledge: repeats the offer until older leases have expired.
			for deadline := control.node.Now() + lease + lease/20; control.node.Now() < deadline; {
				reply := new(OfferReply)
				timeout := lease / 4
				if (sim.Net{Node: control.node}).Call("data", "Permit.Take", Offer{Serial: serial, Patience: timeout * 4 / 5}, reply, timeout) == nil && reply.Serial >= serial {
					return
				}
				loop.Sleep(control.node, lease/20)
			}
		})
		world.Run(gap)
		oldest := world.Now()
		for at := holder.View().Serial + 1; at <= serial; at++ {
			oldest = min(oldest, decided[at])
		}
		worst = max(worst, world.Now()-oldest)
	}
	t.Logf("the data daemon was at most %v behind", worst)
	if most := lease + lease/20 + bound; worst > most {
		t.Errorf("the data daemon was %v behind, limit %v", worst, most)
	}
}
