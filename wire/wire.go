// Package wire carries RPC calls between the system's own processes: net/rpc over
// TCP, with a deadline on every call.
package wire

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"swifttiller/loop"
)

// Net calls an RPC method of the process at an address. The reply is valid only
// if the returned error is nil.
type Net interface {
	Call(address, method string, args, reply any, timeout time.Duration) error
}

// CallError is the error of a failed call. Sent is false only if the callee cannot
// have received the call.
type CallError struct {
	Address string
	Method  string
	Sent    bool
	Cause   error
}

// Error returns a one-line description with method, address and cause.
func (callError *CallError) Error() string {
	return fmt.Sprintf("call %s at %s: %v", callError.Method, callError.Address, callError.Cause)
}

// Unwrap returns the cause.
func (callError *CallError) Unwrap() error { return callError.Cause }

// NotSent reports whether the error proves that the callee did not receive the call.
func NotSent(err error) bool {
	var callError *CallError
	return errors.As(err, &callError) && !callError.Sent
}

// ErrTimeout is the cause of a call that got no reply within its timeout.
var ErrTimeout = errors.New("expired")

// TCP is the Net that uses real TCP connections, one per address, shared by all calls.
//
// Invariant: no call has timed out on a client that is in clients. A client on which one
// has is removed and closed soon after, so that the old connection to a frozen machine
// is not used again when the machine resumes.
type TCP struct {
	World loop.World
	// Counter, if set, counts the calls and their bytes.
	Counter *Counter
	// Dial opens a connection. The default is net.DialTimeout.
	Dial    func(network, address string, timeout time.Duration) (net.Conn, error)
	guard   sync.Mutex
	clients map[string]*rpc.Client
	// pending maps an address to the dial in progress that was started last.
	pending map[string]*pendingDial
}

// pendingDial is a dial in progress: its start time and the mailboxes of all calls that
// wait for its result.
type pendingDial struct {
	since   time.Duration
	waiters []loop.Mailbox
}

// dialTimeoutDivisor sets the share of a call's timeout that is spent on waiting for a
// connection: the timeout is divided by it.
const dialTimeoutDivisor = 2

// minDialTimeout is the minimum time that a dial is given, even if the call that started it
// has timed out: between distant machines, the TCP handshake alone takes longer than the
// timeout of some calls. It is less than the one second after which TCP retransmits a lost SYN.
const minDialTimeout = 900 * time.Millisecond

// dialShareWindow is how long after its start a dial is shared by further calls. Without
// sharing, concurrent calls would each open a connection, and all but one would be closed.
// Later calls start a new dial, as the SYN of the first may have been lost.
const dialShareWindow = 50 * time.Millisecond

// errConnecting is the cause if no connection was established within the call's share of
// time for dialing.
var errConnecting = errors.New("the connection is not established yet")

func (tcp *TCP) client(address string, timeout time.Duration) (*rpc.Client, error) {
	tcp.guard.Lock()
	client := tcp.clients[address]
	tcp.guard.Unlock()
	if client != nil {
		return client, nil
	}
	// TCP retransmits a lost SYN, as when the machine is just starting, only after a
	// second or more. It is better that the caller retries, or tries another address.
	dialWait := timeout / dialTimeoutDivisor
	mailbox := tcp.World.Mailbox()
	tcp.guard.Lock()
	dial := tcp.pending[address]
	isFirst := dial == nil || tcp.World.Now()-dial.since > dialShareWindow
	if isFirst {
		if tcp.pending == nil {
			tcp.pending = map[string]*pendingDial{}
		}
		dial = &pendingDial{since: tcp.World.Now()}
		tcp.pending[address] = dial
	}
	dial.waiters = append(dial.waiters, mailbox)
	tcp.guard.Unlock()
	if isFirst {
		go func() {
			client, err := tcp.connect(address, max(dialWait, minDialTimeout))
			tcp.guard.Lock()
			waiters := dial.waiters
			if tcp.pending[address] == dial {
				delete(tcp.pending, address)
			}
			tcp.guard.Unlock()
			for _, mailbox := range waiters {
				mailbox.Put(dialResult{client, err})
			}
		}()
	}
	message, ok := mailbox.Take(dialWait)
	if !ok {
		return nil, errConnecting
	}
	result := message.(dialResult)
	return result.client, result.err
}

type dialResult struct {
	client *rpc.Client
	err    error
}

// connect dials the address and stores the client for all calls to it. If another client
// has been stored meanwhile, it closes the new connection and returns the stored client.
func (tcp *TCP) connect(address string, timeout time.Duration) (*rpc.Client, error) {
	dial := tcp.Dial
	if dial == nil {
		dial = net.DialTimeout
	}
	conn, err := dial("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	var client *rpc.Client
	if tcp.Counter != nil {
		client = rpc.NewClientWithCodec(newCountingCodec(conn, tcp.Counter, address))
	} else {
		client = rpc.NewClient(conn)
	}
	tcp.guard.Lock()
	defer tcp.guard.Unlock()
	if existing := tcp.clients[address]; existing != nil {
		client.Close()
		return existing, nil
	}
	if tcp.clients == nil {
		tcp.clients = map[string]*rpc.Client{}
	}
	tcp.clients[address] = client
	return client, nil
}

// retire removes a client on which a call timed out, and closes it after another timeout
// of that call. Other calls that are in flight on the connection may still complete until
// then. Closing it at once would fail them all for one slow call, and their retries would
// load a slow network path further.
func (tcp *TCP) retire(address string, client *rpc.Client, timeout time.Duration) {
	tcp.guard.Lock()
	if tcp.clients[address] == client {
		delete(tcp.clients, address)
	}
	tcp.guard.Unlock()
	tcp.World.Go(func() {
		loop.Sleep(tcp.World, timeout)
		client.Close()
	})
}

func (tcp *TCP) drop(address string, client *rpc.Client) {
	tcp.guard.Lock()
	if tcp.clients[address] == client {
		delete(tcp.clients, address)
	}
	tcp.guard.Unlock()
	client.Close()
}

// Call calls the method and waits for the reply for at most the timeout.
func (tcp *TCP) Call(address, method string, args, reply any, timeout time.Duration) error {
	deadline := tcp.World.Now() + timeout
	for attempt := 0; ; attempt++ {
		client, err := tcp.client(address, deadline-tcp.World.Now())
		if err != nil {
			return &CallError{Address: address, Method: method, Cause: err}
		}
		mailbox := tcp.World.Mailbox()
		// net/rpc writes the request synchronously, so a callee that does not read
		// would block the writer forever. Closing the client after the timeout also
		// unblocks the writer.
		go func() { mailbox.Put(client.Call(method, args, reply)) }()
		outcome, ok := mailbox.Take(deadline - tcp.World.Now())
		if !ok {
			tcp.retire(address, client, timeout)
			return &CallError{Address: address, Method: method, Sent: true, Cause: ErrTimeout}
		}
		if outcome == nil {
			return nil
		}
		callErr := outcome.(error)
		var remote rpc.ServerError
		if errors.As(callErr, &remote) {
			return &CallError{Address: address, Method: method, Sent: true, Cause: callErr}
		}
		tcp.drop(address, client)
		if errors.Is(callErr, rpc.ErrShutdown) && attempt == 0 {
			continue // the client was already closed, so nothing was sent
		}
		return &CallError{Address: address, Method: method, Sent: true, Cause: callErr}
	}
}

// Serve answers calls on the listener until it is closed.
func Serve(world loop.World, listener net.Listener, server *rpc.Server) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if world.Ended() || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go server.ServeConn(conn)
	}
}
