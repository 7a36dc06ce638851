package controlplane

import (
	"errors"
	"net"
	"syscall"

	"github.com/gofiber/fiber/v2"
	"golang.org/x/sys/unix"
)

// CallerOf gives the client of a request. It is valid only while the request's handler runs.
func CallerOf(ctx *fiber.Ctx) Caller {
	conn := ctx.Context().Conn()
	return Caller{IsGone: func() bool { return isClosed(conn) }}
}

// isClosed tells whether the peer has closed the connection. It peeks without consuming data. A
// connection that can't be peeked at counts as open.
func isClosed(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = raw.Control(func(descriptor uintptr) {
		var peeked [1]byte
		count, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && count == 0 || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
	})
	return closed
}
