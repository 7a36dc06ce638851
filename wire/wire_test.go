package wire_test

import (
	"bytes"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/loop"
	"swifttiller/wire"
)

// Note is an RPC service that counts the calls that reach it complete.
type Note struct {
	runs  atomic.Int64
	wrong atomic.Int64
}

// Text is the argument of Note.Take, long enough to be cut at many offsets.
type Text struct{ Body []byte }

// Take counts the call, and whether its argument differs from body.
func (note *Note) Take(text Text, length *int) error {
	note.runs.Add(1)
	if !bytes.Equal(text.Body, body) {
		note.wrong.Add(1)
	}
	*length = len(text.Body)
	return nil
}

var body = bytes.Repeat([]byte("abcdefgh"), 64)

// truncatingProxy forwards connections to target and closes each after a number of bytes
// in one direction.
type truncatingProxy struct {
	guard              sync.Mutex
	toServer, toClient int64 // bytes until the connection is closed; negative: unlimited
	target             string
}

func (proxy *truncatingProxy) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			upstream, err := net.Dial("tcp", proxy.target)
			if err != nil {
				return
			}
			defer upstream.Close()
			proxy.guard.Lock()
			limits := [2]int64{proxy.toServer, proxy.toClient}
			proxy.guard.Unlock()
			forward := func(direction int, to io.Writer, from io.Reader) {
				if limits[direction] >= 0 {
					from = io.LimitReader(from, limits[direction])
				}
				_, _ = io.Copy(to, from)
				conn.Close()
				upstream.Close()
			}
			var both sync.WaitGroup
			both.Go(func() { forward(0, upstream, conn) })
			both.Go(func() { forward(1, conn, upstream) })
			both.Wait()
		}()
	}
}

// TestTruncatedCalls closes the connection at many offsets of the request and of the
// response. A truncated request must not run, a call whose response is truncated must
// have run once, and NotSent must be false for both.
func TestTruncatedCalls(t *testing.T) {
	Convey("over real connections", t, func() {
		world := loop.NewMachine()
		note := &Note{}
		server := rpc.NewServer()
		So(server.Register(note), ShouldBeNil)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer inner.Close()
		go wire.Serve(world, inner, server)
		outer, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer outer.Close()
		proxy := &truncatingProxy{toServer: -1, toClient: -1, target: inner.Addr().String()}
		go proxy.run(outer)
		call := func(toServer, toClient int64) (ran int64, length int, err error) {
			proxy.guard.Lock()
			proxy.toServer, proxy.toClient = toServer, toClient
			proxy.guard.Unlock()
			caller := &wire.TCP{World: world}
			before := note.runs.Load()
			err = caller.Call(outer.Addr().String(), "Note.Take", Text{Body: body}, &length, time.Minute)
			return note.runs.Load() - before, length, err
		}
		ran, length, err := call(-1, -1)
		So(err, ShouldBeNil)
		So(ran, ShouldEqual, 1)
		So(length, ShouldEqual, len(body))
		cuts := 0
		for limit := int64(0); limit < int64(len(body))+28; limit += 7 {
			ran, _, err := call(limit, -1)
			So(err, ShouldNotBeNil)
			So(wire.NotSent(err), ShouldBeFalse)
			So(ran, ShouldEqual, 0)
			cuts++
		}
		for limit := int64(1); limit < 20; limit++ {
			ran, _, err := call(-1, limit)
			So(err, ShouldNotBeNil)
			So(wire.NotSent(err), ShouldBeFalse)
			So(ran, ShouldEqual, 1)
			cuts++
		}
		So(note.wrong.Load(), ShouldEqual, 0)
		So(cuts, ShouldBeGreaterThan, 90)
		outer.Close()
		var none int
		So(wire.NotSent((&wire.TCP{World: world}).Call(outer.Addr().String(), "Note.Take", Text{}, &none, time.Minute)), ShouldBeTrue)
	})
}

// newNoteServer returns an RPC server with a Note, not yet serving, and its listener.
func newNoteServer() (world *loop.Machine, server *rpc.Server, listener net.Listener) {
	server = rpc.NewServer()
	So(server.Register(&Note{}), ShouldBeNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	return loop.NewMachine(), server, listener
}

// TestDialOutlivesTimedOutCall guards against calls that can never succeed as connecting takes
// longer than their timeout: a dial goes on after its call has timed out, and a later call
// uses the connection.
func TestDialOutlivesTimedOutCall(t *testing.T) {
	Convey("over a connection that opens after the call gave up", t, func() {
		world, server, listener := newNoteServer()
		defer listener.Close()
		go wire.Serve(world, listener, server)
		var dials atomic.Int64
		var dialTimeout atomic.Int64 // the timeout that the first dial got
		isOpen := make(chan struct{})
		caller := &wire.TCP{World: world, Dial: func(network, address string, timeout time.Duration) (net.Conn, error) {
			if dials.Add(1) > 1 {
				return nil, io.EOF
			}
			dialTimeout.Store(int64(timeout))
			select {
			case <-isOpen:
				return net.Dial(network, address)
			case <-time.After(timeout):
				return nil, io.EOF
			}
		}}
		call := func(timeout time.Duration) (length int, err error) {
			err = caller.Call(listener.Addr().String(), "Note.Take", Text{Body: body}, &length, timeout)
			return length, err
		}
		_, err := call(10 * time.Millisecond)
		So(err, ShouldNotBeNil)
		So(wire.NotSent(err), ShouldBeTrue)
		So(time.Duration(dialTimeout.Load()), ShouldBeBetween, 300*time.Millisecond, time.Second)
		close(isOpen)
		length := 0
		for start := time.Now(); length == 0 && time.Since(start) < 10*time.Second; {
			length, _ = call(10 * time.Second)
		}
		So(length, ShouldEqual, len(body))
	})
}

// TestCounterMatchesConnectionBytes checks that the counts by method add up to the bytes that the server's
// connections saw in each direction, and that a client without a counter works alike.
func TestCounterMatchesConnectionBytes(t *testing.T) {
	Convey("over a real connection", t, func() {
		world, server, listener := newNoteServer()
		defer listener.Close()
		counted := &countingListener{Listener: listener}
		go wire.Serve(world, counted, server)
		address := listener.Addr().String()
		counter := &wire.Counter{}
		counting := &wire.TCP{World: world, Counter: counter}
		var calls sync.WaitGroup
		for turn := 0; turn < 20; turn++ {
			calls.Go(func() {
				var length int
				if err := counting.Call(address, "Note.Take", Text{Body: body}, &length, time.Minute); err != nil || length != len(body) {
					t.Errorf("call returned length %d, error %v", length, err)
				}
			})
		}
		calls.Wait()
		var none int
		So(counting.Call(address, "Note.None", Text{Body: body}, &none, time.Minute), ShouldNotBeNil)
		rows := counter.Snapshot()
		So(len(rows), ShouldEqual, 2)
		So(rows[0].Method, ShouldEqual, "Note.None")
		So(rows[1].Requests, ShouldEqual, 20)
		So(rows[1].Responses, ShouldEqual, 20)
		So(rows[1].SentBytes, ShouldBeGreaterThan, 20*len(body))
		So(int64(rows[0].SentBytes+rows[1].SentBytes), ShouldEqual, counted.in.Load())
		So(int64(rows[0].ReceivedBytes+rows[1].ReceivedBytes), ShouldEqual, counted.out.Load())
		bytesBefore := counted.in.Load()
		var length int
		So((&wire.TCP{World: world}).Call(address, "Note.Take", Text{Body: body}, &length, time.Minute), ShouldBeNil)
		So(counted.in.Load(), ShouldBeGreaterThan, bytesBefore)
		So(len((*wire.Counter)(nil).Snapshot()), ShouldEqual, 0)
	})
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

func (listener *countingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return &countingConn{conn, listener}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (conn *countingConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.listener.in.Add(int64(count))
	return count, err
}

func (conn *countingConn) Write(data []byte) (int, error) {
	conn.listener.out.Add(int64(len(data))) // counted before the caller can read the bytes
	return conn.Conn.Write(data)
}

// TestCallToNonReadingCalleeTimesOut calls a callee that never reads: the kernel of a
// frozen machine accepts data until its buffers are full, and then the writer blocks. A
// long request must still end at its timeout, and must not block other calls.
func TestCallToNonReadingCalleeTimesOut(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer frozen.Close()
	caller := &wire.TCP{World: loop.NewMachine()}
	var calls sync.WaitGroup
	var written atomic.Int64
	for turn := 0; turn < 3; turn++ {
		calls.Go(func() {
			var length int
			err := caller.Call(frozen.Addr().String(), "Note.Take", Text{Body: make([]byte, 32<<20)}, &length, 2*time.Second)
			if err == nil {
				t.Error("a call to a callee that does not read succeeded")
			}
			if !wire.NotSent(err) {
				written.Add(1)
			}
		})
	}
	calls.Wait() // blocks forever if a call hangs
	if written.Load() == 0 {
		t.Error("vacuous: no call was sent before its timeout")
	}
}

func TestConcurrentCallsShareDials(t *testing.T) {
	Convey("many calls at once to an address that no line leads to open few lines", t, func() {
		const calls = 20
		world, server, listener := newNoteServer()
		defer listener.Close()
		go wire.Serve(world, listener, server)
		var dials, begun atomic.Int64
		allBegun := make(chan struct{})
		caller := &wire.TCP{World: world, Dial: func(network, address string, _ time.Duration) (net.Conn, error) {
			dials.Add(1)
			<-allBegun // no connection is established before all calls have begun
			return net.Dial(network, address)
		}}
		var group sync.WaitGroup
		var served atomic.Int64
		for range calls {
			group.Go(func() {
				if begun.Add(1) == calls {
					close(allBegun)
				}
				length := 0
				if caller.Call(listener.Addr().String(), "Note.Take", Text{Body: body}, &length, 10*time.Second) == nil && length == len(body) {
					served.Add(1)
				}
			})
		}
		group.Wait()
		So(served.Load(), ShouldEqual, calls)
		So(dials.Load(), ShouldBeBetween, 0, calls/2)
	})
}
