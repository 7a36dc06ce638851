package replica_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/fleet"
	"swifttiller/loop"
	"swifttiller/replica"
	"swifttiller/verdict"
)

// closingListener closes its connections together with itself, as the end of a process does.
type closingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (listener *closingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err == nil {
		listener.mu.Lock()
		defer listener.mu.Unlock()
		listener.conns = append(listener.conns, conn)
	}
	return conn, err
}

func (listener *closingListener) Close() error {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for _, conn := range listener.conns {
		_ = conn.Close()
	}
	return listener.Listener.Close()
}

// serve starts the HTTP server of a simulated replica at the address. It returns the address, the
// replica and the function that stops both.
func serve(world loop.World, address, boot string, closesAfterAnswer bool) (string, *fleet.Replica, func()) {
	standIn := fleet.NewReplica(fleet.ReplicaOptions{World: world, ID: "r", Boot: boot, Capacity: 8, Held: []string{"m/v1"}})
	app := standIn.App()
	tcpListener, err := net.Listen("tcp", address)
	So(err, ShouldBeNil)
	listener := &closingListener{Listener: tcpListener}
	if closesAfterAnswer {
		app.Server().DisableKeepalive = true
	}
	ended := make(chan error, 1)
	go func() { ended <- app.Listener(listener) }()
	return listener.Addr().String(), standIn, func() {
		_ = listener.Close()
		_ = app.Shutdown()
		<-ended
	}
}

// TestRequestReachesOnlyItsProcess checks that a request which is meant for one process of a replica
// never reaches its successor at the same address, over new or pooled connections.
func TestRequestReachesOnlyItsProcess(t *testing.T) {
	Convey("over real connections", t, func() {
		world := loop.NewMachine()
		client := &replica.HTTP{World: world}
		gates := 0
		send := func(address, boot, id string) (string, *verdict.Error) {
			stream, failure := client.Send(replica.Request{
				Replica: "r", Address: address, Path: "/v1/completions", Body: []byte(`{"model":"m@v1","prompt":"x","max_tokens":16,"stream":true}`),
				Model: "m", Version: "v1", Kind: "k", ID: id, Boot: boot, IdentifyTimeout: 5 * time.Second, Timeout: 20 * time.Second, StallTimeout: 20 * time.Second,
				Gate: func() (uint64, *verdict.Error) { gates++; return 1, nil },
			})
			if failure != nil {
				return "", failure
			}
			defer stream.Close()
			text := ""
			for {
				event, err := stream.Next()
				if err == io.EOF {
					return text, nil
				}
				So(err, ShouldBeNil)
				text += string(event)
			}
		}
		for _, closesAfterAnswer := range []bool{false, true} {
			address, first, end := serve(world, "127.0.0.1:0", "a", closesAfterAnswer)
			for round := 0; round < 3; round++ { // first on a new connection, then on the pooled one
				text, failure := send(address, "a", fmt.Sprint("one", round))
				So(failure, ShouldBeNil)
				So(text, ShouldContainSubstring, fmt.Sprint("one", round, ":0"))
			}
			// The routing table names another boot id: nothing is sent, not even over the pooled
			// connection.
			before := gates
			_, failure := send(address, "z", "two")
			if failure == nil {
				t.Fatal("flooded: a request meant for another boot id was sent")
			}
			So(failure.Code, ShouldEqual, replica.RestartedCode)
			So(failure.Verdict, ShouldEqual, verdict.NotRun)
			So(len(first.Log), ShouldEqual, 3)
			// The restarted replica listens at the same address; the old connections are closed.
			end()
			_, second, end := serve(world, address, "b", closesAfterAnswer)
			_, failure = send(address, "a", "three")
			if failure == nil {
				t.Fatal("flooded: a request meant for the process before the restart was sent")
			}
			So(failure.Code, ShouldEqual, replica.RestartedCode)
			So(gates, ShouldEqual, before)
			So(len(second.Log), ShouldEqual, 0)
			text, failure := send(address, "b", "four")
			So(failure, ShouldBeNil)
			So(text, ShouldContainSubstring, "four:0")
			end()
			// Nothing listens at the address, so the request has certainly not run.
			_, failure = send(address, "b", "five")
			So(failure.Code, ShouldEqual, "replica_unreached")
			So(failure.Verdict, ShouldEqual, verdict.NotRun)
		}
		// A replica that accepts connections and never answers, like a frozen machine: the request
		// has not been sent, so it has certainly not run either.
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer silent.Close()
		stream, failure := client.Send(replica.Request{Address: silent.Addr().String(), Path: "/v1/completions", Boot: "a", IdentifyTimeout: 30 * time.Millisecond, Timeout: 20 * time.Second,
			Gate: func() (uint64, *verdict.Error) {
				t.Error("the gate was called for a replica that never answered")
				return 0, nil
			}})
		So(stream, ShouldBeNil)
		So(failure.Verdict, ShouldEqual, verdict.NotRun)
	})
}
