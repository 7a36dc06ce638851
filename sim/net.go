package sim

import (
	"bytes"
	"encoding/gob"
	"errors"
	"net/rpc"
	"reflect"
	"time"

	"swifttiller/loop"
	"swifttiller/wire"
)

// Link is what stands between two nodes, one way.
type Link struct {
	Cut   bool
	Delay time.Duration
}

// Cut cuts or mends the way from one node to the other, one way only.
func (sim *Sim) Cut(from, to string, cut bool) { sim.link(from, to).Cut = cut }

// Delay adds to the way from one node to the other, one way only.
func (sim *Sim) Delay(from, to string, delay time.Duration) { sim.link(from, to).Delay = delay }

func (sim *Sim) link(from, to string) *Link {
	key := [2]string{from, to}
	if sim.links[key] == nil {
		sim.links[key] = &Link{}
	}
	return sim.links[key]
}

// Split cuts every way between the two groups, or mends them.
func (sim *Sim) Split(left, right []string, cut bool) {
	for _, a := range left {
		for _, b := range right {
			sim.Cut(a, b, cut)
			sim.Cut(b, a, cut)
		}
	}
}

// Names are all nodes in the order in which they were made.
func (sim *Sim) Names() []string { return sim.names }

// Serve says which rpc server answers at the node.
func (node *Node) Serve(server *rpc.Server) {
	node.services = func(string) any { return server }
}

// Reach tells whether a message from a node gets to another now, and after
// which delay.
func (sim *Sim) Reach(from, to string) (time.Duration, bool) {
	link := sim.link(from, to)
	delay := sim.Latency + link.Delay + time.Duration(sim.Draw(int64(sim.Jitter)))
	return delay, !link.Cut
}

// Deliver runs a step on another node after the way there, if it gets there.
// Dropped ones vanish, as packets do.
func (sim *Sim) Deliver(from *Node, to string, run func(node *Node)) bool {
	target := sim.nodes[to]
	if target == nil {
		return false
	}
	delay, open := sim.Reach(from.Name, to)
	if !open {
		return true
	}
	sim.At(delay, func() {
		if target.up {
			target.Go(func() { run(target) })
		}
	})
	return true
}

// Lane is one connection's direction: what goes over it arrives in order or,
// once something was lost, not at all.
type Lane struct {
	last time.Duration
	lost bool
}

// Send delivers in the lane's order.
func (sim *Sim) Send(lane *Lane, from *Node, to string, run func(node *Node)) {
	target := sim.nodes[to]
	delay, open := sim.Reach(from.Name, to)
	if target == nil || !open || lane.lost {
		lane.lost = true
		return
	}
	lane.last = max(lane.last+1, sim.now+delay)
	sim.At(lane.last-sim.now, func() {
		if target.up {
			target.Go(func() { run(target) })
		}
	})
}

// Net is the node's net; addresses are node names.
type Net struct{ *Node }

// lateBy is how late a late call comes: after its caller has given it up.
const lateBy = 1300 * time.Millisecond

var errDeclined = errors.New("connection refused")

// Call sends the args as bytes, serves them on the callee and brings the reply.
func (net Net) Call(address, method string, args, reply any, patience time.Duration) error {
	sim := net.sim
	sim.Messages[method]++
	target := sim.nodes[address]
	box := net.Mailbox()
	if target == nil || !target.up {
		delay, open := sim.Reach(net.Name, address)
		if !open {
			delay = patience
		}
		box.Take(min(delay, patience))
		return &wire.Mishap{Address: address, Method: method, Cause: errDeclined}
	}
	sent := sim.copy(method+" args", args)
	sim.carried(net.Name, address, method)
	life := target.life
	fate := Passes
	if sim.OnCall != nil {
		fate = sim.OnCall(net.Name, address, method)
	}
	serve := func(node *Node) {
		if node.life != life || node.services == nil {
			return
		}
		if sim.ServeTime > 0 {
			node.busyUntil = max(node.busyUntil, sim.now) + sim.ServeTime
			loop.Sleep(node, node.busyUntil-sim.now)
			if node.life != life {
				return
			}
		}
		server := node.services(method).(*rpc.Server)
		codec := &codec{sim: sim, method: method, sent: sent, from: node.Name, to: net.Name}
		server.ServeRequest(codec)
		if fate != AnswerLost && !sim.happens(sim.Unruly.Lost) {
			sim.Deliver(node, net.Name, func(*Node) { box.Put(codec) })
		}
	}
	later := func() {
		sim.At(time.Duration(sim.Draw(int64(sim.Unruly.Latest))), func() { sim.Deliver(net.Node, address, serve) })
	}
	if sim.happens(sim.Unruly.Repeated) {
		later()
	}
	heldUp := func() { sim.At(lateBy, func() { sim.Deliver(net.Node, address, serve) }) }
	switch fate {
	case IsRepeated:
		heldUp()
	case IsLate:
		heldUp()
	case SenderDies:
		sim.Deliver(net.Node, address, serve)
		sim.Killed(net.Name)
	case ReceiverDies:
		sim.Killed(address)
	}
	switch {
	case fate == IsLost || fate == IsLate || fate == SenderDies:
	case sim.happens(sim.Unruly.Lost):
	case sim.happens(sim.Unruly.Late):
		later()
	default:
		sim.Deliver(net.Node, address, serve)
	}
	got, ok := box.Take(patience)
	if !ok {
		return &wire.Mishap{Address: address, Method: method, Sent: true, Cause: wire.ErrExpired}
	}
	answer := got.(*codec)
	if answer.trouble != "" {
		return &wire.Mishap{Address: address, Method: method, Sent: true, Cause: rpc.ServerError(answer.trouble)}
	}
	reflect.ValueOf(reply).Elem().Set(answer.out)
	return nil
}

// tape carries values of one type through gob, as the real wire does, with the
// type's description read only once.
type tape struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// carried counts the bytes of what was copied last.
func (sim *Sim) carried(from, to, method string) {
	sim.Bytes[method] += sim.copied
	if sim.OnBytes != nil {
		sim.OnBytes(from, to, method, sim.copied)
	}
}

// copy gives what arrives of a value that is sent, sharing nothing with it.
func (sim *Sim) copy(name string, value any) reflect.Value {
	one := sim.tapes[name]
	if one == nil {
		one = &tape{}
		one.encoder, one.decoder = gob.NewEncoder(&one.buffer), gob.NewDecoder(&one.buffer)
		sim.tapes[name] = one
	}
	kind := reflect.TypeOf(value)
	if kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	out := reflect.New(kind)
	sim.copied = 0
	if kind.Kind() == reflect.Struct && kind.NumField() == 0 {
		return out.Elem() // gob has no words for nothing
	}
	if err := one.encoder.Encode(value); err != nil {
		panic(err)
	}
	sim.copied = one.buffer.Len()
	if err := one.decoder.DecodeValue(out); err != nil {
		panic(err)
	}
	return out.Elem()
}

// codec feeds one request to a real rpc.Server.
type codec struct {
	sim     *Sim
	method  string
	sent    reflect.Value
	out     reflect.Value
	trouble string
	// from and to are the way of the answer.
	from, to string
}

func (codec *codec) ReadRequestHeader(request *rpc.Request) error {
	request.ServiceMethod, request.Seq = codec.method, 1
	return nil
}

func (codec *codec) ReadRequestBody(body any) error {
	if body != nil {
		reflect.ValueOf(body).Elem().Set(codec.sent)
	}
	return nil
}

func (codec *codec) WriteResponse(response *rpc.Response, body any) error {
	if response.Error != "" {
		codec.trouble = response.Error
		return nil
	}
	codec.out = codec.sim.copy(codec.method+" reply", body)
	codec.sim.carried(codec.from, codec.to, codec.method)
	return nil
}

func (codec *codec) Close() error { return nil }
