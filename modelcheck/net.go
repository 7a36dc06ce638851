package modelcheck

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"swifttiller/loop"
	"swifttiller/wire"
)

// message is a request or a reply in flight.
type message struct {
	number   int
	from, to string
	method   string
	isReply  bool
	// body is the encoded arguments of a request, or the encoded reply.
	body    []byte
	replies *mailbox      // where the caller waits for the reply
	due     time.Duration // arrival time of a delayed message
}

func (message *message) String() string {
	kind := "request"
	if message.isReply {
		kind = "reply"
	}
	return fmt.Sprintf("%s %s from %s to %s", strings.TrimPrefix(message.method, "Register."), kind, message.from, message.to)
}

// network is a node's client side of the network.
type network struct{ node *node }

var errTimeout = errors.New("modelcheck: timeout waiting for the reply")

// Call sends a request and waits for its reply until the timeout.
func (network network) Call(address, method string, args, reply any, timeout time.Duration) error {
	node := network.node
	replies := node.Mailbox().(*mailbox)
	node.run.send(&message{from: node.name, to: address, method: method, body: encode(args), replies: replies})
	received, ok := replies.Take(timeout)
	if !ok {
		return &wire.CallError{Address: address, Method: method, Sent: true, Cause: errTimeout}
	}
	return decode(received.([]byte), reply)
}

// send puts a message in flight, unless it is lost.
func (run *Run) send(message *message) {
	run.sent++
	message.number = run.sent
	if run.isolated[message.to] || run.isLost != nil && run.isLost(message) {
		return
	}
	if run.transit != nil {
		if span := run.transit(message); span > 0 {
			message.due = run.now + span
			run.delayed = append(run.delayed, message)
			return
		}
	}
	run.inFlight = append(run.inFlight, message)
	if run.isLate != nil && run.isLate(message) {
		run.delay(len(run.inFlight) - 1)
	}
}

// lateMargin is how long before its caller's timeout a delayed message arrives.
const lateMargin = time.Microsecond

// maxTransit bounds how long an operator's order is in transit. An order in transit for longer can
// not be distinguished from an order that was sent later.
const maxTransit = 200 * time.Millisecond

// caller returns the task that waits for the reply to the message's request, or for the message
// itself if it is the reply; nil if no task waits any more.
func (run *Run) caller(message *message) *task {
	for _, waiting := range run.waiting {
		if waiting.mailbox == message.replies && waiting.deadline < loop.Forever {
			return waiting
		}
	}
	return nil
}

// delay makes a message in flight arrive just before its caller times out.
func (run *Run) delay(index int) {
	caller := run.caller(run.inFlight[index])
	if caller == nil || caller.deadline-lateMargin <= run.now {
		return
	}
	message := run.take(index)
	message.due = caller.deadline - lateMargin
	if run.isNeverRepeated(message) && !message.isReply {
		message.due = min(message.due, run.now+maxTransit)
	}
	run.delayed = append(run.delayed, message)
}

// releaseDelayed moves the delayed messages that are due to the messages in flight.
func (run *Run) releaseDelayed() {
	run.delayed = slices.DeleteFunc(run.delayed, func(message *message) bool {
		isDue := message.due <= run.now
		if isDue {
			run.inFlight = append(run.inFlight, message)
		}
		return isDue
	})
}

// take removes a message from those in flight and returns it.
func (run *Run) take(index int) *message {
	message := run.inFlight[index]
	run.inFlight = append(run.inFlight[:index], run.inFlight[index+1:]...)
	return message
}

// isNeverRepeated reports whether the network never duplicates the message. This holds for operators'
// orders: they come over connections, and only the operators send them again.
func (run *Run) isNeverRepeated(message *message) bool {
	return strings.HasPrefix(message.method, "Operator.")
}

// deliver delivers a message to its receiver. A request for a service that the node does not run is
// lost.
func (run *Run) deliver(delivered *message) {
	receiver := run.node(delivered.to)
	receiver.recordInput(delivered.String() + string(delivered.body))
	if delivered.isReply {
		if delivered.replies.incarnation == receiver.incarnation {
			delivered.replies.Put(delivered.body)
		}
		return
	}
	service, method, _ := strings.Cut(delivered.method, ".")
	server := receiver.services[service]
	if server == nil {
		return
	}
	receiver.Go(func() {
		if body, err := serve(server, method, delivered.body); err == nil {
			run.send(&message{from: delivered.to, to: delivered.from, method: delivered.method, isReply: true, body: body, replies: delivered.replies})
		}
	})
}

// serve calls a method of the server and returns the encoded reply.
func serve(server any, name string, body []byte) ([]byte, error) {
	method := reflect.ValueOf(server).MethodByName(name)
	if !method.IsValid() {
		return nil, fmt.Errorf("modelcheck: no method %s", name)
	}
	args := reflect.New(method.Type().In(0))
	if err := decode(body, args.Interface()); err != nil {
		return nil, err
	}
	reply := reflect.New(method.Type().In(1).Elem())
	if err, isError := method.Call([]reflect.Value{args.Elem(), reply})[0].Interface().(error); isError {
		return nil, err
	}
	return encode(reply.Interface()), nil
}

// encode returns the encoding of a value; equal values have equal encodings.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // only the product's own types are sent, and all of them can be encoded
	}
	return body
}

func decode(body []byte, value any) error { return json.Unmarshal(body, value) }
