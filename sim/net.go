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

// Link is the state of the network path from one node to another, in one direction.
type Link struct {
	Cut   bool
	Delay time.Duration
}

// Cut cuts or restores the network path from one node to the other, in this direction only.
func (sim *Sim) Cut(from, to string, cut bool) { sim.link(from, to).Cut = cut }

// Delay sets the additional delay from one node to the other, in this direction only.
func (sim *Sim) Delay(from, to string, delay time.Duration) { sim.link(from, to).Delay = delay }

func (sim *Sim) link(from, to string) *Link {
	key := [2]string{from, to}
	if sim.links[key] == nil {
		sim.links[key] = &Link{}
	}
	return sim.links[key]
}

// Split cuts or restores all network paths between the two groups, in both directions.
func (sim *Sim) Split(left, right []string, cut bool) {
	for _, a := range left {
		for _, b := range right {
			sim.Cut(a, b, cut)
			sim.Cut(b, a, cut)
		}
	}
}

// NodeNames returns the names of all nodes in the order of their creation.
func (sim *Sim) NodeNames() []string { return sim.names }

// Serve sets the RPC server that handles the node's incoming calls.
func (node *Node) Serve(server *rpc.Server) {
	node.services = func(string) any { return server }
}

// Reach returns the delay of a message that is sent from one node to another now, and whether the
// network path is open. It draws the jitter from the seeded source.
func (sim *Sim) Reach(from, to string) (time.Duration, bool) {
	link := sim.link(from, to)
	delay := sim.Latency + link.Delay + time.Duration(sim.Draw(int64(sim.Jitter)))
	return delay, !link.Cut
}

// Deliver runs a function on another node after the network delay, if the message gets there and the
// node is up. Messages on a cut path are silently dropped, as packets are. It returns false only if
// there is no node of that name.
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

// Stream is one direction of a connection. Messages arrive in order; after one message was lost, none
// arrives any more.
type Stream struct {
	last time.Duration
	lost bool
}

// Send runs a function on another node after the network delay, in order with the lane's other
// messages.
func (sim *Sim) Send(lane *Stream, from *Node, to string, run func(node *Node)) {
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

// Net is a node's client side of the network. Addresses are node names.
type Net struct{ *Node }

// lateDelay is the delay of a call whose fate is RequestDelayed or RequestDuplicated: it arrives after its caller
// has timed out.
const lateDelay = 1300 * time.Millisecond

var errRefused = errors.New("connection refused")

// Call sends the encoded args to the address, has the callee's RPC server handle them, and stores the
// response in reply. It fails if there is no response within the timeout.
func (net Net) Call(address, method string, args, reply any, timeout time.Duration) error {
	sim := net.sim
	sim.Messages[method]++
	target := sim.nodes[address]
	replies := net.Mailbox()
	if target == nil || !target.up {
		delay, open := sim.Reach(net.Name, address)
		if !open {
			delay = timeout
		}
		replies.Take(min(delay, timeout))
		return &wire.CallError{Address: address, Method: method, Cause: errRefused}
	}
	request := sim.copy(method+" args", args)
	sim.countBytes(net.Name, address, method)
	incarnation := target.incarnation
	fate := Delivered
	if sim.OnCall != nil {
		fate = sim.OnCall(net.Name, address, method)
	}
	serve := func(node *Node) {
		if node.incarnation != incarnation || node.services == nil {
			return
		}
		if sim.ServeTime > 0 {
			node.busyUntil = max(node.busyUntil, sim.now) + sim.ServeTime
			loop.Sleep(node, node.busyUntil-sim.now)
			if node.incarnation != incarnation {
				return
			}
		}
		server := node.services(method).(*rpc.Server)
		codec := &codec{sim: sim, method: method, request: request, from: node.Name, to: net.Name}
		server.ServeRequest(codec)
		if fate != ResponseLost && !sim.withProbability(sim.Faults.Lost) {
			sim.Deliver(node, net.Name, func(*Node) { replies.Put(codec) })
		}
	}
	deliverLater := func() {
		sim.At(time.Duration(sim.Draw(int64(sim.Faults.MaxDelay))), func() { sim.Deliver(net.Node, address, serve) })
	}
	if sim.withProbability(sim.Faults.Duplicated) {
		deliverLater()
	}
	deliverLate := func() { sim.At(lateDelay, func() { sim.Deliver(net.Node, address, serve) }) }
	switch fate {
	case RequestDuplicated:
		deliverLate()
	case RequestDelayed:
		deliverLate()
	case SenderKilled:
		sim.Deliver(net.Node, address, serve)
		sim.ScheduleKill(net.Name)
	case ReceiverKilled:
		sim.ScheduleKill(address)
	}
	switch {
	case fate == RequestLost || fate == RequestDelayed || fate == SenderKilled:
	case sim.withProbability(sim.Faults.Lost):
	case sim.withProbability(sim.Faults.Delayed):
		deliverLater()
	default:
		sim.Deliver(net.Node, address, serve)
	}
	received, ok := replies.Take(timeout)
	if !ok {
		return &wire.CallError{Address: address, Method: method, Sent: true, Cause: wire.ErrTimeout}
	}
	response := received.(*codec)
	if response.failure != "" {
		return &wire.CallError{Address: address, Method: method, Sent: true, Cause: rpc.ServerError(response.failure)}
	}
	reflect.ValueOf(reply).Elem().Set(response.body)
	return nil
}

// gobStream encodes and decodes values of one type with gob, as a real connection does. As on a
// connection, the type's description is sent only once.
type gobStream struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// countBytes adds the size of the value that was copied last to the method's bytes.
func (sim *Sim) countBytes(from, to, method string) {
	sim.Bytes[method] += sim.copiedBytes
	if sim.OnBytes != nil {
		sim.OnBytes(from, to, method, sim.copiedBytes)
	}
}

// copy encodes and decodes a value and returns the result, which shares no memory with the value.
func (sim *Sim) copy(name string, value any) reflect.Value {
	stream := sim.streams[name]
	if stream == nil {
		stream = &gobStream{}
		stream.encoder, stream.decoder = gob.NewEncoder(&stream.buffer), gob.NewDecoder(&stream.buffer)
		sim.streams[name] = stream
	}
	valueType := reflect.TypeOf(value)
	if valueType.Kind() == reflect.Pointer {
		valueType = valueType.Elem()
	}
	out := reflect.New(valueType)
	sim.copiedBytes = 0
	if valueType.Kind() == reflect.Struct && valueType.NumField() == 0 {
		return out.Elem() // gob can't encode a struct without fields
	}
	if err := stream.encoder.Encode(value); err != nil {
		panic(err)
	}
	sim.copiedBytes = stream.buffer.Len()
	if err := stream.decoder.DecodeValue(out); err != nil {
		panic(err)
	}
	return out.Elem()
}

// codec is an rpc.ServerCodec that passes one request to an rpc.Server and keeps its response.
type codec struct {
	sim     *Sim
	method  string
	request reflect.Value
	body    reflect.Value
	failure string
	// from and to are the sender and the receiver of the response.
	from, to string
}

func (codec *codec) ReadRequestHeader(request *rpc.Request) error {
	request.ServiceMethod, request.Seq = codec.method, 1
	return nil
}

func (codec *codec) ReadRequestBody(body any) error {
	if body != nil {
		reflect.ValueOf(body).Elem().Set(codec.request)
	}
	return nil
}

func (codec *codec) WriteResponse(response *rpc.Response, body any) error {
	if response.Error != "" {
		codec.failure = response.Error
		return nil
	}
	codec.body = codec.sim.copy(codec.method+" reply", body)
	codec.sim.countBytes(codec.from, codec.to, codec.method)
	return nil
}

func (codec *codec) Close() error { return nil }
