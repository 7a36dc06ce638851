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

// attended are the callers' connections whose requests run, with what to tell when one
// of them is gone. The library tells of it only on writing.
//
// Invariant: an entry stands exactly while its request runs.
type attended struct {
	guard sync.Mutex
	table map[*execute.Leaver]syscall.RawConn
}

func (attended *attended) add(leaver *execute.Leaver, conn syscall.RawConn) {
	attended.guard.Lock()
	defer attended.guard.Unlock()
	if attended.table == nil {
		attended.table = map[*execute.Leaver]syscall.RawConn{}
	}
	attended.table[leaver] = conn
}

func (attended *attended) drop(leaver *execute.Leaver) {
	attended.guard.Lock()
	defer attended.guard.Unlock()
	delete(attended.table, leaver)
}

// look finds callers that went away.
func (attended *attended) look() {
	attended.guard.Lock()
	table := make(map[*execute.Leaver]syscall.RawConn, len(attended.table))
	for leaver, conn := range attended.table {
		table[leaver] = conn
	}
	attended.guard.Unlock()
	for leaver, conn := range table {
		if isGone(conn) {
			leaver.Leave()
		}
	}
}

// isGone tells whether the other end has closed a connection.
func isGone(conn syscall.RawConn) bool {
	isGone := false
	err := conn.Control(func(file uintptr) {
		var peeked [1]byte
		count, _, err := unix.Recvfrom(int(file), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isGone = err == nil && count == 0 || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return isGone || err != nil
}

// Passage is a routed answer under way, whose caller is attended to.
type Passage struct {
	*execute.Passage
	daemon *Daemon
	leaver *execute.Leaver
}

// Close ends it.
func (passage *Passage) Close() error {
	passage.daemon.attended.drop(passage.leaver)
	return passage.Passage.Close()
}

// Relay serves a directed request of the caller behind the connection. The passage has
// to be closed.
func (daemon *Daemon) Relay(ctx *fasthttp.RequestCtx, routed *decide.Routed, ask replica.Ask) (*Passage, *verdict.Mishap) {
	leaver := &execute.Leaver{}
	if conn, isRaw := ctx.Conn().(syscall.Conn); isRaw {
		if raw, err := conn.SyscallConn(); err == nil {
			daemon.attended.add(leaver, raw)
		}
	}
	passage, mishap := daemon.Executor.Relay(routed, ask, leaver)
	if mishap != nil {
		daemon.attended.drop(leaver)
		return nil, mishap
	}
	return &Passage{Passage: passage, daemon: daemon, leaver: leaver}, nil
}

// Serving tells whether callers may be sent here.
func (daemon *Daemon) Serving() bool {
	return daemon.Holder.View().Serves(daemon.World.Now()) && !daemon.leaving.Load()
}

// DoorSpan is how long a caller may go by what it was told of daemons.
func (daemon *Daemon) DoorSpan() time.Duration { return time.Second }

// tend looks after what routed requests leave behind.
func (daemon *Daemon) tend(relay *replica.Relay) {
	turn := 0
	loop.Every(daemon.World, func() time.Duration { return attendSpan }, func() bool {
		daemon.attended.look()
		if turn++; turn%4 == 0 {
			relay.Sweep()
			daemon.Decider.Sweep()
		}
		return true
	})
}

// attendSpan is how often callers' connections are looked at.
const attendSpan = 250 * time.Millisecond
