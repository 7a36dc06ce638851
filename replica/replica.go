// Package replica is the client for the replicas that run models: streamed completions, health
// probes and orders over HTTP/1.1 with JSON.
package replica

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"swifttiller/loop"
	"swifttiller/verdict"
)

// Request is one attempt at a replica.
type Request struct {
	Replica, Address string
	Path             string
	Body             []byte
	Model, Version   string
	Kind, Home, ID   string
	// Gate is called right before the first byte is sent, and may still reject the attempt. It
	// returns the version of the configuration under which the attempt is made.
	Gate func() (uint64, *verdict.Error)
	// OnAbort, if set, is called with the function that aborts the attempt from outside.
	OnAbort func(abort func())
	// Timeout is the timeout of the whole attempt, StallTimeout that of each wait for bytes within it.
	Timeout, StallTimeout time.Duration
	// Boot is the boot id of the replica process that the attempt is meant for, and IdentifyTimeout the
	// timeout for learning the boot id behind a new connection.
	Boot            string
	IdentifyTimeout time.Duration
}

// RestartedCode is the code of the failure of an attempt whose replica has restarted, so that another
// process than the intended one is reached. Nothing was sent.
const RestartedCode = "replica_anew"

// Restarted returns the failure with the code RestartedCode.
func Restarted() *verdict.Error {
	return verdict.Reject(503, RestartedCode, "the replica has restarted since it was last seen", 0)
}

// Stream is an answer that is being received. Next returns whole events, and io.EOF only after the
// terminal event and a clean end of the body. Any other error means that the answer was cut off.
// Close may be called at any time, once.
type Stream interface {
	Next() ([]byte, error)
	Close()
}

// Order tells a replica which state a model version is to be in. ID identifies the order: a replica
// that has carried it out ignores a repeated one. Fence is the fencing token, the term of the
// leader that gives the order; a replica ignores orders with a token below the highest it has seen.
type Order struct {
	ID      string `json:"order"`
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	State   string `json:"state"`
}

// States that an order can request.
const (
	Load    = "ready"
	Standby = "standby"
	Drop    = "gone"
)

// Health is the health that a replica reports in reply to a probe. Load is negative if the replica
// reports none.
type Health struct {
	Boot    string
	Leaving bool
	Held    map[string]string
	Load    float64
	// Cold is how much longer the replica stays cold, if it reports that.
	Cold time.Duration
	// Unhealthy is true if the replica replied that it is unhealthy.
	Unhealthy bool
	// Rejected is true if the replica rejected the probe for lack of capacity and reported nothing
	// else.
	Rejected bool
}

// Client is the interface through which the daemons use replicas.
type Client interface {
	Send(request Request) (Stream, *verdict.Error)
	Probe(address string, timeout time.Duration) (Health, error)
	// Order returns a RateLimited error if it is to be retried later, and a Rejected error if a
	// retry cannot help.
	Order(address string, order Order, timeout time.Duration) error
}

// RateLimited is the error of a call that may be retried after RetryAfter.
type RateLimited struct{ RetryAfter time.Duration }

// Error implements error.
func (limited *RateLimited) Error() string {
	return "rate limited; retry in " + limited.RetryAfter.String()
}

// Rejected is the error of a call that must not be retried.
type Rejected struct{ Reason string }

// Error implements error.
func (rejected *Rejected) Error() string { return "rejected: " + rejected.Reason }

// VersionName returns the name under which replicas know a version of a model.
func VersionName(model, version string) string { return model + "@" + version }

// ReplaceModel replaces the value of the body's model field by the name and leaves every other byte
// unchanged. It returns false if there is no such field.
func ReplaceModel(body []byte, name string) ([]byte, bool) {
	model := gjson.GetBytes(body, "model")
	if !model.Exists() || model.Index == 0 {
		return nil, false
	}
	quoted, _ := json.Marshal(name)
	renamed := make([]byte, 0, len(body)+len(quoted))
	renamed = append(renamed, body[:model.Index]...)
	renamed = append(renamed, quoted...)
	return append(renamed, body[model.Index+len(model.Raw):]...), true
}

// HTTP is the Client that talks to replicas over HTTP.
//
// Invariants: a connection is in idle only if every answer on it so far ended cleanly and was read
// to its end. Each connection learned from its first answer the boot id of the replica process
// behind it. As the connection ends with that process, a request sent on it cannot reach another
// one.
type HTTP struct {
	World loop.World
	mu    sync.Mutex
	idle  map[string][]*connection
}

type connection struct {
	net.Conn
	reader    *bufio.Reader
	lastUsed  time.Duration
	expiresAt time.Duration // used by Proxy: when the connection is too old for reuse
	boot      string
}

// maxIdle limits the idle connections per replica, and maxIdleTime how long each is kept.
const (
	maxIdle     = 64
	maxIdleTime = 3 * time.Second
)

func (client *HTTP) acquire(address string, timeout time.Duration) (*connection, bool, error) {
	now := client.World.Now()
	client.mu.Lock()
	for idle := client.idle[address]; len(idle) > 0; idle = client.idle[address] {
		conn := idle[len(idle)-1]
		client.idle[address] = idle[:len(idle)-1]
		if now-conn.lastUsed < maxIdleTime {
			client.mu.Unlock()
			return conn, true, nil
		}
		conn.Close()
	}
	client.mu.Unlock()
	fresh, err := dial(address, timeout)
	return fresh, false, err
}

// identify asks the replica for its boot id over a new connection. If the replica closes the
// connection after the answer, the returned connection is a fresh one that is assumed to lead to
// the same process.
func (client *HTTP) identify(request Request, conn *connection) (*connection, error) {
	timeout := min(request.Timeout, request.IdentifyTimeout)
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	httpRequest.SetRequestURI("http://" + request.Address + "/health")
	_ = conn.SetDeadline(time.Now().Add(timeout))
	writer := bufio.NewWriter(conn)
	err := httpRequest.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err == nil {
		err = httpResponse.ReadLimitBody(conn.reader, 1<<20)
	}
	if err == nil && httpResponse.StatusCode() != fasthttp.StatusOK {
		err = fmt.Errorf("probe got status %d", httpResponse.StatusCode())
	}
	var health Health
	if err == nil {
		health, err = ParseHealth(httpResponse.Body())
	}
	if err == nil && httpResponse.ConnectionClose() {
		// This replica keeps no connection open after a probe. The process behind the fresh
		// connection is the one that reported its boot id a moment ago.
		conn.Close()
		var fresh *connection
		if fresh, err = dial(request.Address, timeout); err == nil {
			conn = fresh
		}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.boot = health.Boot
	return conn, nil
}

func dial(address string, timeout time.Duration) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, min(timeout, time.Second))
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, 16<<10)}, nil
}

func (client *HTTP) putIdle(address string, conn *connection) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.idle == nil {
		client.idle = map[string][]*connection{}
	}
	if len(client.idle[address]) >= maxIdle {
		conn.Close()
		return
	}
	conn.lastUsed = client.World.Now()
	_ = conn.SetDeadline(time.Time{})
	client.idle[address] = append(client.idle[address], conn)
}

// isOpen reports whether an idle connection is still open and has no unread bytes, so that a
// request is not written to a closed connection and its outcome left unknown. It asks the kernel
// directly: a read with a deadline that has passed would not look at the socket at all.
func (conn *connection) isOpen() bool {
	inner, hasSocket := conn.Conn.(syscall.Conn)
	if !hasSocket || conn.reader.Buffered() > 0 {
		return false
	}
	socket, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = socket.Read(func(descriptor uintptr) bool {
		_, _, err := unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = err == unix.EAGAIN
		return true
	})
	return err == nil && isQuiet
}

// Send sends a request and waits for the head of its answer.
func (client *HTTP) Send(request Request) (Stream, *verdict.Error) {
	var conn *connection
	for conn == nil {
		candidate, reused, err := client.acquire(request.Address, request.Timeout)
		if err == nil && !reused {
			candidate, err = client.identify(request, candidate)
		}
		if err != nil {
			return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "replica_unreached", Message: "the replica cannot be reached", Status: 502, Cause: err}
		}
		if reused && !candidate.isOpen() {
			candidate.Close()
			continue
		}
		conn = candidate
	}
	if conn.boot != request.Boot {
		client.putIdle(request.Address, conn)
		return nil, Restarted()
	}
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	httpRequest.Header.SetMethod(fasthttp.MethodPost)
	httpRequest.SetRequestURI("http://" + request.Address + request.Path)
	httpRequest.Header.SetContentType("application/json")
	httpRequest.Header.Set("Swifttiller-Request-Id", request.ID)
	httpRequest.Header.Set("Swifttiller-Kind", request.Kind)
	if request.Home != "" {
		httpRequest.Header.Set("Swifttiller-Home", request.Home)
	}
	httpRequest.SetBodyRaw(request.Body)
	deadline := time.Now().Add(request.Timeout)
	_ = conn.SetDeadline(earlierDeadline(deadline, request.StallTimeout))
	// No byte of the request has been sent yet.
	serial, failure := request.Gate()
	if failure != nil {
		conn.Close()
		return nil, failure
	}
	httpRequest.Header.Set("Swifttiller-Serial", strconv.FormatUint(serial, 10))
	mayHaveRun := func(code string, err error) (Stream, *verdict.Error) {
		conn.Close()
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Code: code, Message: "the replica may have run the request", Status: 502, Cause: err}
	}
	if request.OnAbort != nil {
		request.OnAbort(func() { conn.Close() })
	}
	writer := bufio.NewWriterSize(conn, 32<<10)
	if err := httpRequest.Write(writer); err != nil {
		return mayHaveRun("replica_cut", err)
	}
	if err := writer.Flush(); err != nil {
		return mayHaveRun("replica_cut", err)
	}
	httpResponse := &fasthttp.Response{StreamBody: true}
	if err := httpResponse.ReadLimitBody(conn.reader, 0); err != nil {
		return mayHaveRun("replica_cut", err)
	}
	if status := httpResponse.StatusCode(); status != fasthttp.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(httpResponse.BodyStream(), 64<<10))
		conn.Close()
		return nil, FailureFromAnswer(status, string(httpResponse.Header.Peek("Retry-After")), body)
	}
	return &stream{client: client, conn: conn, answer: httpResponse, request: request, deadline: deadline}, nil
}

// FailureFromAnswer converts an error answer of a replica to a failure. With status 429 or 503 the replica
// states that it did not accept the request.
func FailureFromAnswer(status int, retryAfter string, body []byte) *verdict.Error {
	failure := &verdict.Error{Verdict: verdict.Ran, Code: "replica_failed", Status: 502, Message: fmt.Sprintf("the replica answered %d: %s", status, errorMessage(body))}
	switch status {
	case 429, 503:
		failure.Verdict, failure.Code, failure.Status = verdict.NotRun, "replica_declined", 503
		if seconds, err := strconv.Atoi(retryAfter); err == nil {
			failure.ComeBack = time.Duration(seconds) * time.Second
		} else if status == 429 {
			failure.ComeBack = time.Second
		}
	case 400, 404, 413, 422:
		failure.Verdict, failure.Code, failure.Status = verdict.NotRun, "replica_rejected", status
	}
	return failure
}

func errorMessage(body []byte) string {
	if text := gjson.GetBytes(body, "error.message"); text.Exists() {
		return text.String()
	}
	return string(body[:min(len(body), 200)])
}

func earlierDeadline(deadline time.Time, stall time.Duration) time.Time {
	if stall <= 0 {
		return deadline
	}
	if stallDeadline := time.Now().Add(stall); stallDeadline.Before(deadline) {
		return stallDeadline
	}
	return deadline
}

// stream splits the body of an answer into events.
type stream struct {
	client   *HTTP
	conn     *connection
	answer   *fasthttp.Response
	request  Request
	deadline time.Time
	pending  []byte
	done     bool // the terminal event was read
	ended    bool // the body ended cleanly
	mu       sync.Mutex
	closed   bool
}

// ErrCut is the error of an answer that ended before its terminal event.
var ErrCut = errors.New("the answer ended early")

var terminalPrefix = []byte("data: [DONE]")

// SplitEvent removes one whole event from the front of pending. The event is nil if pending holds none.
func SplitEvent(pending []byte) (event, rest []byte) {
	end, width := bytes.Index(pending, []byte("\n\n")), 2
	if crlf := bytes.Index(pending, []byte("\r\n\r\n")); crlf >= 0 && (end < 0 || crlf < end) {
		end, width = crlf, 4
	}
	if end < 0 {
		return nil, pending
	}
	return pending[:end+width], pending[end+width:]
}

// IsTerminalEvent reports whether the event is the terminal event of an answer.
func IsTerminalEvent(event []byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(event), terminalPrefix)
}

func (stream *stream) Next() ([]byte, error) {
	buffer := make([]byte, 8<<10)
	for {
		if stream.done && len(stream.pending) > 0 {
			return nil, io.EOF // bytes after the terminal event belong to no answer; Close drops the connection
		}
		if event, rest := SplitEvent(stream.pending); event != nil {
			stream.pending = rest
			stream.done = stream.done || IsTerminalEvent(event)
			return event, nil
		}
		if stream.ended {
			if stream.done && len(stream.pending) == 0 {
				return nil, io.EOF
			}
			return nil, ErrCut
		}
		_ = stream.conn.SetReadDeadline(earlierDeadline(stream.deadline, stream.request.StallTimeout))
		count, err := stream.answer.BodyStream().Read(buffer)
		stream.pending = append(stream.pending[:len(stream.pending):len(stream.pending)], buffer[:count]...)
		if err == io.EOF {
			stream.ended = true
		} else if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrCut, err)
		}
	}
}

func (stream *stream) Close() {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if stream.closed {
		return
	}
	stream.closed = true
	isReusable := stream.ended && stream.done && len(stream.pending) == 0 && !stream.answer.ConnectionClose()
	if isReusable {
		stream.client.putIdle(stream.request.Address, stream.conn)
		return
	}
	stream.conn.Close()
}

// call makes a short request and returns status, Retry-After and body of the answer.
func (client *HTTP) call(method, address, path string, body []byte, timeout time.Duration) (int, string, []byte, error) {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	httpRequest.Header.SetMethod(method)
	httpRequest.SetRequestURI("http://" + address + path)
	if body != nil {
		httpRequest.Header.SetContentType("application/json")
		httpRequest.SetBody(body)
	}
	if err := shortCalls.DoTimeout(httpRequest, httpResponse, timeout); err != nil {
		return 0, "", nil, err
	}
	return httpResponse.StatusCode(), string(httpResponse.Header.Peek("Retry-After")), bytes.Clone(httpResponse.Body()), nil
}

var shortCalls = &fasthttp.Client{MaxIdleConnDuration: 2 * time.Second, MaxConnsPerHost: 16, MaxResponseBodySize: 1 << 20}

// Probe asks a replica for its health.
func (client *HTTP) Probe(address string, timeout time.Duration) (Health, error) {
	status, _, body, err := client.call("GET", address, "/health", nil, timeout)
	if err != nil {
		return Health{}, err
	}
	if status != 200 {
		return Health{}, fmt.Errorf("probe got status %d", status)
	}
	return ParseHealth(body)
}

// ParseHealth decodes the reply to a probe.
func ParseHealth(body []byte) (Health, error) {
	if !gjson.ValidBytes(body) {
		return Health{}, errors.New("probe reply is not JSON")
	}
	root := gjson.ParseBytes(body)
	health := Health{Boot: root.Get("boot").String(), Leaving: root.Get("leaving").Bool(), Held: map[string]string{}, Load: -1}
	if load := root.Get("load"); load.Type == gjson.Number {
		health.Load = load.Num
	}
	root.Get("versions").ForEach(func(_, version gjson.Result) bool {
		health.Held[version.Get("model").String()+"/"+version.Get("version").String()] = version.Get("state").String()
		return true
	})
	return health, nil
}

// Order sends an order to a replica.
func (client *HTTP) Order(address string, order Order, timeout time.Duration) error {
	body, _ := json.Marshal(order)
	status, retryAfter, reply, err := client.call("POST", address, "/weights", body, timeout)
	if err != nil {
		return err
	}
	return OrderError(status, retryAfter, reply)
}

// OrderError converts the answer to an order to an error, nil if the order was accepted.
func OrderError(status int, retryAfter string, body []byte) error {
	switch {
	case status < 300:
		return nil
	case status == 429:
		seconds, _ := strconv.Atoi(retryAfter)
		return &RateLimited{time.Duration(max(1, seconds)) * time.Second}
	case status < 500:
		return &Rejected{errorMessage(body)}
	}
	return fmt.Errorf("order got status %d: %s", status, errorMessage(body))
}
