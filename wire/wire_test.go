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

// Note is a service that counts what gets to it whole.
type Note struct {
	runs  atomic.Int64
	wrong atomic.Int64
}

// Text is long enough to be cut in many places.
type Text struct{ Body []byte }

// Take counts.
func (note *Note) Take(text Text, length *int) error {
	note.runs.Add(1)
	if !bytes.Equal(text.Body, body) {
		note.wrong.Add(1)
	}
	*length = len(text.Body)
	return nil
}

var body = bytes.Repeat([]byte("abcdefgh"), 64)

// cutter passes connections on, and cuts each after so many bytes of one way.
type cutter struct {
	guard       sync.Mutex
	there, back int64 // below zero: never
	target      string
}

func (cutter *cutter) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			onward, err := net.Dial("tcp", cutter.target)
			if err != nil {
				return
			}
			defer onward.Close()
			cutter.guard.Lock()
			bounds := [2]int64{cutter.there, cutter.back}
			cutter.guard.Unlock()
			pass := func(way int, to io.Writer, from io.Reader) {
				if bounds[way] >= 0 {
					from = io.LimitReader(from, bounds[way])
				}
				_, _ = io.Copy(to, from)
				conn.Close()
				onward.Close()
			}
			var both sync.WaitGroup
			both.Go(func() { pass(0, onward, conn) })
			both.Go(func() { pass(1, conn, onward) })
			both.Wait()
		}()
	}
}

// TestCallsCutAtEveryPlace: of a call that is cut in its middle nothing is served,
// one whose answer is cut was served once, and the caller is never told that nothing
// was seen when something may have been.
func TestCallsCutAtEveryPlace(t *testing.T) {
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
		cutter := &cutter{there: -1, back: -1, target: inner.Addr().String()}
		go cutter.run(outer)
		call := func(there, back int64) (ran int64, length int, err error) {
			cutter.guard.Lock()
			cutter.there, cutter.back = there, back
			cutter.guard.Unlock()
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
		for place := int64(0); place < int64(len(body))+28; place += 7 {
			ran, _, err := call(place, -1)
			So(err, ShouldNotBeNil)
			So(wire.Unsent(err), ShouldBeFalse)
			So(ran, ShouldEqual, 0)
			cuts++
		}
		for place := int64(1); place < 20; place++ {
			ran, _, err := call(-1, place)
			So(err, ShouldNotBeNil)
			So(wire.Unsent(err), ShouldBeFalse)
			So(ran, ShouldEqual, 1)
			cuts++
		}
		So(note.wrong.Load(), ShouldEqual, 0)
		So(cuts, ShouldBeGreaterThan, 90)
		outer.Close()
		var none int
		So(wire.Unsent((&wire.TCP{World: world}).Call(outer.Addr().String(), "Note.Take", Text{}, &none, time.Minute)), ShouldBeTrue)
	})
}

// noting is a server of notes that is to be served, and where it listens.
func noting() (world *loop.Machine, server *rpc.Server, listener net.Listener) {
	server = rpc.NewServer()
	So(server.Register(&Note{}), ShouldBeNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	return loop.NewMachine(), server, listener
}

// TestLinesThatOpenLate: where a connection takes longer to open than a call may wait for
// it, a later call goes over the one that opened meanwhile; otherwise none ever could.
func TestLinesThatOpenLate(t *testing.T) {
	Convey("over a connection that opens after the call gave up", t, func() {
		world, server, listener := noting()
		defer listener.Close()
		go wire.Serve(world, listener, server)
		var dials atomic.Int64
		var allowed atomic.Int64 // how long the first may take to open
		isOpen := make(chan struct{})
		caller := &wire.TCP{World: world, Dial: func(network, address string, patience time.Duration) (net.Conn, error) {
			if dials.Add(1) > 1 {
				return nil, io.EOF
			}
			allowed.Store(int64(patience))
			select {
			case <-isOpen:
				return net.Dial(network, address)
			case <-time.After(patience):
				return nil, io.EOF
			}
		}}
		call := func(patience time.Duration) (length int, err error) {
			err = caller.Call(listener.Addr().String(), "Note.Take", Text{Body: body}, &length, patience)
			return length, err
		}
		_, err := call(10 * time.Millisecond)
		So(err, ShouldNotBeNil)
		So(wire.Unsent(err), ShouldBeTrue)
		So(time.Duration(allowed.Load()), ShouldBeBetween, 300*time.Millisecond, time.Second)
		close(isOpen)
		length := 0
		for began := time.Now(); length == 0 && time.Since(began) < 10*time.Second; {
			length, _ = call(10 * time.Second)
		}
		So(length, ShouldEqual, len(body))
	})
}

// TestCountedCalls: counts are of every byte that went over the connection, by method,
// and a line without a counter says the same.
func TestCountedCalls(t *testing.T) {
	Convey("over a real connection", t, func() {
		world, server, listener := noting()
		defer listener.Close()
		measured := &measured{Listener: listener}
		go wire.Serve(world, measured, server)
		at := listener.Addr().String()
		counter := &wire.Counter{}
		counting := &wire.TCP{World: world, Counter: counter}
		var calls sync.WaitGroup
		for turn := 0; turn < 20; turn++ {
			calls.Go(func() {
				var length int
				if err := counting.Call(at, "Note.Take", Text{Body: body}, &length, time.Minute); err != nil || length != len(body) {
					t.Errorf("%d %v", length, err)
				}
			})
		}
		calls.Wait()
		var none int
		So(counting.Call(at, "Note.None", Text{Body: body}, &none, time.Minute), ShouldNotBeNil)
		rows := counter.Snapshot()
		So(len(rows), ShouldEqual, 2)
		So(rows[0].Method, ShouldEqual, "Note.None")
		So(rows[1].Calls, ShouldEqual, 20)
		So(rows[1].Answers, ShouldEqual, 20)
		So(rows[1].Sent, ShouldBeGreaterThan, 20*len(body))
		So(int64(rows[0].Sent+rows[1].Sent), ShouldEqual, measured.in.Load())
		So(int64(rows[0].Received+rows[1].Received), ShouldEqual, measured.out.Load())
		counted := measured.in.Load()
		var length int
		So((&wire.TCP{World: world}).Call(at, "Note.Take", Text{Body: body}, &length, time.Minute), ShouldBeNil)
		So(measured.in.Load(), ShouldBeGreaterThan, counted)
		So(len((*wire.Counter)(nil).Snapshot()), ShouldEqual, 0)
	})
}

// measured counts what goes over its connections.
type measured struct {
	net.Listener
	in, out atomic.Int64
}

func (measured *measured) Accept() (net.Conn, error) {
	conn, err := measured.Listener.Accept()
	return &measuredConn{conn, measured}, err
}

type measuredConn struct {
	net.Conn
	measured *measured
}

func (conn *measuredConn) Read(out []byte) (int, error) {
	count, err := conn.Conn.Read(out)
	conn.measured.in.Add(int64(count))
	return count, err
}

func (conn *measuredConn) Write(text []byte) (int, error) {
	conn.measured.out.Add(int64(len(text))) // before the caller can have read it
	return conn.Conn.Write(text)
}

// TestACallToOneThatDoesNotReadExpires: a frozen machine's kernel takes a little and
// then nothing; a long call must not wait for it beyond its patience, nor hold up
// others.
func TestACallToOneThatDoesNotReadExpires(t *testing.T) {
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
				t.Error("a call that nobody read was answered")
			}
			if !wire.Unsent(err) {
				written.Add(1)
			}
		})
	}
	calls.Wait() // for good, if a call hangs
	if written.Load() == 0 {
		t.Error("vacuous: no call got as far as being written")
	}
}

func TestCallsShareOpenings(t *testing.T) {
	Convey("many calls at once to an address that no line leads to open few lines", t, func() {
		const calls = 20
		world, server, listener := noting()
		defer listener.Close()
		go wire.Serve(world, listener, server)
		var dials, begun atomic.Int64
		areAll := make(chan struct{})
		caller := &wire.TCP{World: world, Dial: func(network, address string, _ time.Duration) (net.Conn, error) {
			dials.Add(1)
			<-areAll // no line opens before all calls have begun
			return net.Dial(network, address)
		}}
		var group sync.WaitGroup
		var served atomic.Int64
		for range calls {
			group.Go(func() {
				if begun.Add(1) == calls {
					close(areAll)
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
