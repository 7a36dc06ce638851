package replica

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"swifttiller/loop"
	"swifttiller/verdict"
)

// Field is one header field of a request.
type Field struct{ Name, Value []byte }

// RoutedRequest is a routed request that is sent to a replica. What the caller sent is forwarded byte for
// byte.
type RoutedRequest struct {
	// Replica is the id of the replica process that is to run the request; no other may run it.
	Replica, Address string
	ID               string
	Method, Host     []byte
	URI              []byte
	Header           []Field
	Body             []byte
	// Remaining is how long the caller still waits. The replica stops its work after that.
	Remaining time.Duration
	// Urgency is the priority class, 0 being the most urgent. After is the id of the last event
	// that the caller has received, empty if the answer is to start at its beginning. Version, if
	// set, is the only model version that may run the request.
	Urgency int
	After   string
	Version string
	// Tenant is the name of the tenant as sent to the replica; empty if the request has none.
	Tenant string
	// NotRepeatable is true if the request must not be sent again after a failure.
	NotRepeatable bool
	// NewConnection is true if the request must use a new connection, as only connecting shows in advance
	// whether the replica is there.
	NewConnection bool
	// Gate is called right before the first byte is sent, and may still reject the request.
	Gate func() *verdict.Error
	// OnAbort, if set, is called with the function that aborts the request from outside, and with nil
	// when nothing is running any more.
	OnAbort func(abort func())
	// ConnectTimeout is the timeout for a new connection, UnackedTimeout how long sent bytes may stay without a
	// TCP acknowledgement.
	ConnectTimeout, UnackedTimeout time.Duration
	// OnSilence, if set, is called each time the replica has sent nothing for another SilenceInterval, with
	// whether the answer has begun. If it returns true, the request is given up.
	OnSilence       func(hasBegun bool) bool
	SilenceInterval time.Duration
}

// ErrSilent is the error of a request that was given up because its replica was silent.
var ErrSilent = errors.New("the replica is silent")

// Head is the head of a replica's answer, as decoded by a Dialect.
type Head struct {
	Status int
	// OtherRequest is true for an answer to another request, which is skipped.
	OtherRequest bool
	// NotRun is true if the replica states that it did not run the request, OtherReplica if another
	// replica now has its address.
	NotRun, OtherReplica bool
	// Invalid says why the answer is invalid and must not be passed on; empty if it is valid.
	Invalid string
	// Running, Waiting and Slots are the load that the replica reports, if HasLoad.
	HasLoad                 bool
	Running, Waiting, Slots int
	// KeepAlive is how long the replica keeps the connection open; zero if it does not say.
	KeepAlive time.Duration
	Events    bool // the body is an event stream
}

// Dialect encodes routed requests in a protocol and decodes the answers. It only translates and
// takes no decisions.
type Dialect interface {
	// Write fills in the HTTP request for the replica.
	Write(request *RoutedRequest, httpRequest *fasthttp.Request)
	// Read decodes the head of the answer to a request.
	Read(request *RoutedRequest, httpResponse *fasthttp.Response) Head
	// Probe checks the health of a replica. The error is Restarted if another replica answers at its
	// address, which means that this one has ended.
	Probe(target Target, timeout time.Duration) (Health, error)
}

// Target is a replica that is to be probed.
type Target struct {
	ID, Address, Path string
}

// Proxy sends routed requests to replicas over pooled connections.
//
// Invariants: a connection is in idle only if every answer on it so far ended cleanly and was read
// to its end. A connection whose request did not end like that is closed, so that its late bytes
// reach nobody.
type Proxy struct {
	World   loop.World
	Dialect Dialect
	mu      sync.Mutex
	idle    map[string][]*connection
	// idleLimits holds, by address, how long a connection may be idle where replicas were seen to
	// drop idle ones. Until cautiousUntil, all replicas are assumed to drop idle connections, for
	// requests that must be sent only once.
	idleLimits    map[string]idleLimit
	cautiousUntil time.Duration
	// Opened counts the new connections.
	Opened uint64
}

// Source supplies the bytes of an answer. Next returns what can be passed on, whole events in the
// case of an event stream, valid until the next call. It returns io.EOF only after a clean end of
// the whole body; any other error means that the answer was cut off. Close may be called at any
// time, and ends the request at its replica if it is still running.
type Source interface {
	Next() ([]byte, error)
	Close()
}

// Answer is an answer that is being received.
type Answer struct {
	Head
	Header *fasthttp.ResponseHeader
	// Length is the length of the body, negative if it is not known in advance.
	Length int
	Source
}

// answerReader reads an answer from a connection.
type answerReader struct {
	events       bool
	keep         time.Duration
	proxy        *Proxy
	conn         *connection
	httpResponse *fasthttp.Response // kept because its buffers stay in use until the end
	request      *RoutedRequest
	deadline     time.Duration
	body         io.Reader
	buffer       []byte
	partial      []byte // start of an event that is not complete yet
	ended        bool
	mustClose    bool
	// untilClose says that the answer has neither a length nor chunks: an orderly end of the connection
	// is its end.
	untilClose bool
	closed     sync.Once
}

// lengthUntilClose is fasthttp's length of an answer that ends with its connection.
const lengthUntilClose = -2

// isPeerClosed reports whether the error means that the peer closed the connection, rather than
// this daemon.
func isPeerClosed(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// lastUse returns when the connection was last used; zero for nil.
func (conn *connection) lastUse() time.Duration {
	if conn == nil {
		return 0
	}
	return conn.lastUsed
}

// idleLimit is how long a connection may be idle, and when this limit is forgotten.
type idleLimit struct{ limit, forgetAt time.Duration }

// Limits of what is learned from an idle connection that the replica dropped without notice.
const (
	minIdleLimit      = 50 * time.Millisecond
	minLearnedIdle    = 200 * time.Millisecond
	cautiousIdleLimit = time.Second
	idleLimitLifetime = 20 * time.Second
	cautiousPeriod    = 5 * time.Second
	// resetWithin is within what time a dropped connection answers a request with a reset.
	resetWithin = 250 * time.Millisecond
)

// isReusable reports whether the connection was used recently enough to send the request on it. The
// caller holds mu.
func (proxy *Proxy) isReusable(request *RoutedRequest, conn *connection, now time.Duration) bool {
	learned := proxy.idleLimits[request.Address]
	reuseUntil := conn.expiresAt
	if now < learned.forgetAt {
		reuseUntil = min(reuseUntil, conn.lastUsed+learned.limit)
	}
	if request.NotRepeatable && now < proxy.cautiousUntil {
		reuseUntil = min(reuseUntil, conn.lastUsed+cautiousIdleLimit)
	}
	return now < reuseUntil
}

// noteDropped records that a replica dropped a connection that had been idle for the given time.
func (proxy *Proxy) noteDropped(address string, idle time.Duration) {
	if idle < minLearnedIdle {
		return // idleness was not the cause
	}
	now := proxy.World.Now()
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.idleLimits == nil {
		proxy.idleLimits = map[string]idleLimit{}
	}
	limit := max(minIdleLimit, idle/2)
	if previous := proxy.idleLimits[address]; now < previous.forgetAt {
		limit = min(limit, previous.limit)
	}
	proxy.idleLimits[address] = idleLimit{limit, now + idleLimitLifetime}
	proxy.cautiousUntil = now + cautiousPeriod
}

// maxIdleRouted limits the idle connections per replica.
const maxIdleRouted = 32

func (proxy *Proxy) acquire(request *RoutedRequest) (*connection, bool, error) {
	now := proxy.World.Now()
	for {
		proxy.mu.Lock()
		idle := proxy.idle[request.Address]
		if len(idle) == 0 {
			proxy.mu.Unlock()
			break
		}
		conn := idle[len(idle)-1]
		proxy.idle[request.Address] = idle[:len(idle)-1]
		isReusable := proxy.isReusable(request, conn, now)
		proxy.mu.Unlock()
		if request.NewConnection {
			conn.Close() // the new connection takes its place
			break
		}
		if isReusable && conn.boot == request.Replica && conn.isOpen() {
			return conn, true, nil
		}
		conn.Close()
	}
	dialer := net.Dialer{Timeout: request.ConnectTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(request.UnackedTimeout/time.Millisecond))
		})
	}}
	tcpConn, err := dialer.Dial("tcp", request.Address)
	if err != nil {
		return nil, false, err
	}
	proxy.mu.Lock()
	proxy.Opened++
	proxy.mu.Unlock()
	return &connection{Conn: tcpConn, reader: bufio.NewReaderSize(tcpConn, 4<<10), boot: request.Replica}, false, nil
}

func (proxy *Proxy) putIdle(address string, conn *connection, keep time.Duration) {
	now := proxy.World.Now()
	if keep <= 0 {
		keep = maxIdleTime
	}
	conn.lastUsed, conn.expiresAt = now, now+keep*3/4
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.idle == nil {
		proxy.idle = map[string][]*connection{}
	}
	if len(proxy.idle[address]) >= maxIdleRouted {
		conn.Close()
		return
	}
	proxy.idle[address] = append(proxy.idle[address], conn)
}

// Sweep closes connections that have been idle for too long.
func (proxy *Proxy) Sweep() {
	now := proxy.World.Now()
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for address, list := range proxy.idle {
		kept := list[:0]
		for _, conn := range list {
			if now < conn.expiresAt {
				kept = append(kept, conn)
			} else {
				conn.Close()
			}
		}
		if len(kept) == 0 {
			delete(proxy.idle, address)
		} else {
			proxy.idle[address] = kept
		}
	}
}

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// Send sends the request and waits for the head of its answer. A failure with verdict NotRun means
// that no replica has run the request or will run it.
func (proxy *Proxy) Send(request *RoutedRequest) (*Answer, *verdict.Error) {
	conn, reused, err := proxy.acquire(request)
	idle := proxy.World.Now() - conn.lastUse()
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "replica_unreached", Message: "the replica cannot be reached", Status: 503, Cause: err}
	}
	if failure := request.Gate(); failure != nil {
		proxy.putIdle(request.Address, conn, 0)
		return nil, failure
	}
	if request.OnAbort != nil {
		request.OnAbort(func() { conn.Close() })
	}
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	proxy.Dialect.Write(request, httpRequest)
	_ = conn.SetDeadline(time.Now().Add(request.Remaining))
	mayHaveRun := func(code string, err error) (*Answer, *verdict.Error) {
		if request.OnAbort != nil {
			request.OnAbort(nil)
		}
		conn.Close()
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Code: code, Message: "the replica may have run the request", Status: 502, Cause: err}
	}
	writer := writerPool.Get().(*bufio.Writer)
	writer.Reset(conn)
	err = httpRequest.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	writer.Reset(nil)
	writerPool.Put(writer)
	if err != nil {
		if reused && isPeerClosed(err) {
			proxy.noteDropped(request.Address, idle)
		}
		return mayHaveRun("replica_cut", err)
	}
	sent := proxy.World.Now()
	deadline := sent + request.Remaining
	for skipped := 0; ; skipped++ {
		if err := proxy.waitReadable(request, conn, deadline, false); err != nil {
			switch {
			case errors.Is(err, ErrSilent):
				return mayHaveRun("replica_silent", err)
			case isExpired(err):
				return mayHaveRun("expired", err)
			}
			if reused && isPeerClosed(err) && skipped == 0 && proxy.World.Now()-sent < resetWithin {
				// No replica gives up a request that fast, so the connection had already been
				// closed.
				proxy.noteDropped(request.Address, idle)
			}
			return mayHaveRun("replica_cut", err)
		}
		// The answer to a HEAD request has the length of a body that does not come.
		httpResponse := &fasthttp.Response{StreamBody: true, SkipBody: string(request.Method) == fasthttp.MethodHead}
		if err := httpResponse.ReadLimitBody(conn.reader, 0); err != nil {
			if isExpired(err) {
				return mayHaveRun("expired", err)
			}
			return mayHaveRun("replica_cut", err)
		}
		head := proxy.Dialect.Read(request, httpResponse)
		stream, hasBody := httpResponse.BodyStream(), true
		if stream == nil || httpResponse.Header.ContentLength() == 0 {
			stream, hasBody = bytes.NewReader(nil), false
		}
		if head.OtherRequest {
			// A duplicate answer to an earlier request came before the answer to this one.
			if _, err := io.Copy(io.Discard, stream); err != nil || skipped >= 2 {
				return mayHaveRun("replica_garbled", err)
			}
			continue
		}
		untilClose := hasBody && httpResponse.Header.ContentLength() == lengthUntilClose
		body := &answerReader{events: head.Events, untilClose: untilClose, keep: head.KeepAlive, proxy: proxy, conn: conn, httpResponse: httpResponse, request: request, deadline: deadline, body: stream, ended: !hasBody, mustClose: httpResponse.ConnectionClose() || untilClose}
		result := &Answer{Head: head, Header: &httpResponse.Header, Length: httpResponse.Header.ContentLength(), Source: body}
		if head.Invalid != "" {
			result.Close()
			return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Code: "replica_garbled", Message: "the replica sent an invalid answer: " + head.Invalid, Status: 502}
		}
		if head.NotRun || head.OtherReplica {
			if _, err := io.Copy(io.Discard, io.LimitReader(body.body, 64<<10)); err == nil {
				body.ended = true
			}
			result.Close()
			if head.OtherReplica {
				return nil, Restarted()
			}
			return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "replica_declined", Message: fmt.Sprintf("the replica answered %d without running it", head.Status), Status: 503}
		}
		return result, nil
	}
}

// waitReadable waits until a byte can be read, and calls request.OnSilence after each SilenceInterval without
// one.
func (proxy *Proxy) waitReadable(request *RoutedRequest, conn *connection, deadline time.Duration, hasBegun bool) error {
	for conn.reader.Buffered() == 0 {
		remaining := deadline - proxy.World.Now()
		if remaining <= 0 {
			return os.ErrDeadlineExceeded
		}
		if request.OnSilence != nil && request.SilenceInterval > 0 {
			remaining = min(remaining, request.SilenceInterval)
		}
		_ = conn.SetReadDeadline(time.Now().Add(remaining))
		if _, err := conn.reader.Peek(1); err == nil {
			break
		} else if !isExpired(err) {
			return err
		}
		if request.OnSilence != nil && request.OnSilence(hasBegun) {
			return ErrSilent
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(deadline - proxy.World.Now()))
	return nil
}

// isExpired reports whether an error means that the deadline set by this process has passed. A
// timeout by the kernel (ETIMEDOUT) does not count.
func isExpired(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() && !errors.Is(err, syscall.ETIMEDOUT)
}

// Next returns the next bytes to pass on. They are valid until the next call.
func (reader *answerReader) Next() ([]byte, error) {
	if reader.buffer == nil {
		reader.buffer = make([]byte, 2<<10)
	}
	for {
		if reader.ended {
			if len(reader.partial) > 0 {
				return nil, ErrCut // the body ended in the middle of an event
			}
			return nil, io.EOF
		}
		if err := reader.proxy.waitReadable(reader.request, reader.conn, reader.deadline, true); err != nil {
			if reader.untilClose && errors.Is(err, io.EOF) {
				reader.ended = true
				continue
			}
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, fmt.Errorf("%w: %w", ErrCut, err)
		}
		count, err := reader.body.Read(reader.buffer)
		if err == io.EOF {
			reader.ended = true
		} else if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrCut, err)
		}
		if count == 0 {
			continue
		}
		if !reader.events {
			return reader.buffer[:count], nil
		}
		received := reader.buffer[:count]
		if len(reader.partial) > 0 {
			received = append(reader.partial, received...)
		}
		end := bytes.LastIndex(received, []byte("\n\n"))
		if at := bytes.LastIndex(received, []byte("\r\n\r\n")); at >= 0 && at+2 > end {
			end = at + 2
		}
		if end < 0 {
			reader.partial = append([]byte{}, received...)
			continue
		}
		reader.partial = append([]byte{}, received[end+2:]...)
		return received[:end+2], nil
	}
}

// Close ends the answer. The connection is reused only after a clean end.
func (reader *answerReader) Close() {
	reader.closed.Do(func() {
		if reader.request.OnAbort != nil {
			reader.request.OnAbort(nil)
		}
		if reader.ended && !reader.mustClose && len(reader.partial) == 0 && reader.conn.reader.Buffered() == 0 {
			_ = reader.conn.SetDeadline(time.Time{})
			reader.proxy.putIdle(reader.request.Address, reader.conn, reader.keep)
			return
		}
		reader.conn.Close()
	})
}
