package dataplane

import (
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"swifttiller/decide"
	"swifttiller/execute"
	"swifttiller/loop"
	"swifttiller/replica"
	"swifttiller/verdict"
)

// callerWatch holds the connections of callers whose requests are running, with the leaver to
// notify when the caller disconnects. The HTTP library itself reports a closed connection only on a
// write.
//
// Invariant: an entry exists exactly while its request runs.
type callerWatch struct {
	mu    sync.Mutex
	table map[*execute.CallerState]syscall.RawConn
}

func (watch *callerWatch) add(leaver *execute.CallerState, conn syscall.RawConn) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.table == nil {
		watch.table = map[*execute.CallerState]syscall.RawConn{}
	}
	watch.table[leaver] = conn
}

func (watch *callerWatch) remove(leaver *execute.CallerState) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	delete(watch.table, leaver)
}

// abortGone finds callers that have disconnected and aborts their requests.
func (watch *callerWatch) abortGone() {
	watch.mu.Lock()
	callers := make(map[*execute.CallerState]syscall.RawConn, len(watch.table))
	for leaver, conn := range watch.table {
		callers[leaver] = conn
	}
	watch.mu.Unlock()
	for leaver, conn := range callers {
		if isGone(conn) {
			leaver.Disconnect()
		}
	}
}

// isGone reports whether the other end has closed a connection. It peeks at the socket, so that no
// bytes are consumed.
func isGone(conn syscall.RawConn) bool {
	isGone := false
	err := conn.Control(func(descriptor uintptr) {
		var peeked [1]byte
		count, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isGone = err == nil && count == 0 || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return isGone || err != nil
}

// Response is the answer to a routed request as it is streamed to the caller, while the caller's
// connection is watched.
type Response struct {
	*execute.Response
	daemon *Daemon
	leaver *execute.CallerState
}

// Close ends the response and stops watching the caller's connection.
func (response *Response) Close() error {
	response.daemon.callers.remove(response.leaver)
	return response.Response.Close()
}

// Proxy serves a routed request of the caller behind the connection. The returned response must be
// closed.
func (daemon *Daemon) Proxy(ctx *fasthttp.RequestCtx, routed *decide.Routed, request replica.RoutedRequest) (*Response, *verdict.Error) {
	leaver := &execute.CallerState{}
	if conn, hasSocket := ctx.Conn().(syscall.Conn); hasSocket {
		if raw, err := conn.SyscallConn(); err == nil {
			daemon.callers.add(leaver, raw)
		}
	}
	response, failure := daemon.Executor.Proxy(routed, request, leaver)
	if failure != nil {
		daemon.callers.remove(leaver)
		return nil, failure
	}
	return &Response{Response: response, daemon: daemon, leaver: leaver}, nil
}

// Serving reports whether callers may be sent to this daemon.
func (daemon *Daemon) Serving() bool {
	return daemon.Holder.View().MayServe(daemon.World.Now()) && !daemon.leaving.Load()
}

// LocateTTL is how long a caller may use a list of daemons that it was given.
func (daemon *Daemon) LocateTTL() time.Duration { return time.Second }

// maintain runs the periodic work for routed requests: it aborts those whose callers have
// disconnected and closes old idle connections.
func (daemon *Daemon) maintain(client *replica.Proxy) {
	rounds := 0
	loop.Every(daemon.World, func() time.Duration { return callerCheckInterval }, func() bool {
		daemon.callers.abortGone()
		if rounds++; rounds%4 == 0 {
			client.Sweep()
			daemon.Decider.DropUnlisted()
		}
		return true
	})
}

// callerCheckInterval is how often the connections of callers are checked.
const callerCheckInterval = 250 * time.Millisecond
