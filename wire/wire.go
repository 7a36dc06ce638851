// Package wire carries calls between the system's own processes: net/rpc over
// TCP, every call with an expiry.
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

// Net calls a method of the process at an address. The reply may be read only
// when the error is nil.
type Net interface {
	Call(address, method string, args, reply any, patience time.Duration) error
}

// Mishap tells how a call went wrong. Sent is false only when the callee can't
// have seen the call.
type Mishap struct {
	Address string
	Method  string
	Sent    bool
	Cause   error
}

// Error is one line for logs.
func (mishap *Mishap) Error() string {
	return fmt.Sprintf("call %s at %s: %v", mishap.Method, mishap.Address, mishap.Cause)
}

// Unwrap gives the cause.
func (mishap *Mishap) Unwrap() error { return mishap.Cause }

// Unsent tells whether the error proves that the callee saw nothing.
func Unsent(err error) bool {
	var mishap *Mishap
	return errors.As(err, &mishap) && !mishap.Sent
}

// ErrExpired is the cause when the patience ran out.
var ErrExpired = errors.New("expired")

// TCP is the real net.
//
// Invariant: a client in lines has had no call expire on it; one that has is
// forgotten, so that a frozen machine's old connection is not used again once it
// wakes, and closed soon after.
type TCP struct {
	World loop.World
	// Counter, if set, counts the calls made.
	Counter *Counter
	// Dial opens a connection; net.DialTimeout if not set.
	Dial  func(network, address string, patience time.Duration) (net.Conn, error)
	guard sync.Mutex
	lines map[string]*rpc.Client
	// opening has, by address, the line that began to open last.
	opening map[string]*opening
}

// opening is a line on its way: since when, and who waits for it besides who began it.
type opening struct {
	since   time.Duration
	waiters []loop.Mailbox
}

// dialParts is which part of a call's patience is spent on waiting for a line to open.
const dialParts = 2

// dialPatience is for how long a line may go on opening when the call that wanted it has
// given up: where machines are far apart, that alone takes longer than some calls may.
// It is below the second after which a lost opening packet is sent again.
const dialPatience = 900 * time.Millisecond

// joinSpan is for how long calls wait for a line that another call has begun to open: many
// that come at once would each open their own, and all but one be closed. Those that come
// later begin anew, as an opening packet may have been lost.
const joinSpan = 50 * time.Millisecond

// errOpening is the cause when a line did not open in the part of the patience for it.
var errOpening = errors.New("the connection is still opening")

func (tcp *TCP) line(address string, patience time.Duration) (*rpc.Client, error) {
	tcp.guard.Lock()
	line := tcp.lines[address]
	tcp.guard.Unlock()
	if line != nil {
		return line, nil
	}
	// An opening packet that is lost, as the machine is just starting, is sent again
	// only after a second or more. The caller had better try again, or elsewhere.
	part := patience / dialParts
	box := tcp.World.Mailbox()
	tcp.guard.Lock()
	one := tcp.opening[address]
	isFirst := one == nil || tcp.World.Now()-one.since > joinSpan
	if isFirst {
		if tcp.opening == nil {
			tcp.opening = map[string]*opening{}
		}
		one = &opening{since: tcp.World.Now()}
		tcp.opening[address] = one
	}
	one.waiters = append(one.waiters, box)
	tcp.guard.Unlock()
	if isFirst {
		go func() {
			line, err := tcp.open(address, max(part, dialPatience))
			tcp.guard.Lock()
			waiters := one.waiters
			if tcp.opening[address] == one {
				delete(tcp.opening, address)
			}
			tcp.guard.Unlock()
			for _, box := range waiters {
				box.Put(opened{line, err})
			}
		}()
	}
	got, ok := box.Take(part)
	if !ok {
		return nil, errOpening
	}
	came := got.(opened)
	return came.line, came.err
}

type opened struct {
	line *rpc.Client
	err  error
}

// open opens a line and keeps it for all calls to the address, unless there is one.
func (tcp *TCP) open(address string, patience time.Duration) (*rpc.Client, error) {
	dial := tcp.Dial
	if dial == nil {
		dial = net.DialTimeout
	}
	conn, err := dial("tcp", address, patience)
	if err != nil {
		return nil, err
	}
	var line *rpc.Client
	if tcp.Counter != nil {
		line = rpc.NewClientWithCodec(newCounted(conn, tcp.Counter, address))
	} else {
		line = rpc.NewClient(conn)
	}
	tcp.guard.Lock()
	defer tcp.guard.Unlock()
	if other := tcp.lines[address]; other != nil {
		line.Close()
		return other, nil
	}
	if tcp.lines == nil {
		tcp.lines = map[string]*rpc.Client{}
	}
	tcp.lines[address] = line
	return line, nil
}

// retire takes a line on which a call expired out of use. Calls that others wait for on
// it may yet end; they would all be lost for one slow one, and made anew, which slows a
// narrow way further. It is closed after as long as the expired one was waited for.
func (tcp *TCP) retire(address string, line *rpc.Client, patience time.Duration) {
	tcp.guard.Lock()
	if tcp.lines[address] == line {
		delete(tcp.lines, address)
	}
	tcp.guard.Unlock()
	tcp.World.Go(func() {
		loop.Sleep(tcp.World, patience)
		line.Close()
	})
}

func (tcp *TCP) forget(address string, line *rpc.Client) {
	tcp.guard.Lock()
	if tcp.lines[address] == line {
		delete(tcp.lines, address)
	}
	tcp.guard.Unlock()
	line.Close()
}

// Call makes the call and waits for at most the patience.
func (tcp *TCP) Call(address, method string, args, reply any, patience time.Duration) error {
	expiry := tcp.World.Now() + patience
	for try := 0; ; try++ {
		line, err := tcp.line(address, expiry-tcp.World.Now())
		if err != nil {
			return &Mishap{Address: address, Method: method, Cause: err}
		}
		box := tcp.World.Mailbox()
		// The library writes a call before it gives way, and one that does not read
		// would hold up the writer for good. What is closed when the patience runs
		// out ends that too.
		go func() { box.Put(line.Call(method, args, reply)) }()
		ended, ok := box.Take(expiry - tcp.World.Now())
		if !ok {
			tcp.retire(address, line, patience)
			return &Mishap{Address: address, Method: method, Sent: true, Cause: ErrExpired}
		}
		if ended == nil {
			return nil
		}
		trouble := ended.(error)
		var remote rpc.ServerError
		if errors.As(trouble, &remote) {
			return &Mishap{Address: address, Method: method, Sent: true, Cause: trouble}
		}
		tcp.forget(address, line)
		if errors.Is(trouble, rpc.ErrShutdown) && try == 0 {
			continue // the line was already closed: nothing was sent
		}
		return &Mishap{Address: address, Method: method, Sent: true, Cause: trouble}
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
