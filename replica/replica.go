// Package replica is the client of the outside world's replicas: streamed
// completions, probes and orders, over HTTP/1.1 with JSON.
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

// Request is one dispatch.
type Request struct {
	Replica, Address string
	Path             string
	Body             []byte
	Model, Version   string
	Kind, Home, ID   string
	// Gate is asked at the last moment before bytes go out. It gives the serial
	// of the configuration that the dispatch is made under.
	Gate func() (uint64, *verdict.Mishap)
	// Bind, if set, is told how to abort the dispatch from outside.
	Bind func(abort func())
	// Patience bounds the whole dispatch, Stall the silence within it.
	Patience, Stall time.Duration
	// Boot is the life of the replica that the dispatch is meant for, and Greet how
	// long a new connection may take to tell whose it is.
	Boot  string
	Greet time.Duration
}

// AnewCode is the mishap of a dispatch whose replica has begun another life than
// the one that it was meant for. Nothing was sent.
const AnewCode = "replica_anew"

// Anew is that mishap.
func Anew() *verdict.Mishap {
	return verdict.Decline(503, AnewCode, "the replica has begun anew since it was last seen", 0)
}

// Stream is an answer under way. Next gives whole events; io.EOF comes only
// after the terminal event and a clean end of the body. Any other error means
// that the answer was cut. Close may be called at any time, once.
type Stream interface {
	Next() ([]byte, error)
	Close()
}

// Order tells a replica which state a version shall be in. ID names the order:
// a replica that has carried it out does nothing more. Fence is the serial of
// the duty that gives it; a replica heeds none below the highest it has seen.
type Order struct {
	ID      string `json:"order"`
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	State   string `json:"state"`
}

// States that an order can ask for.
const (
	Load    = "ready"
	Standby = "standby"
	Drop    = "gone"
)

// Vitals is a replica's answer to a probe. Load is below zero when it reports
// none.
type Vitals struct {
	Boot    string
	Leaving bool
	Held    map[string]string
	Load    float64
	// Cold is how much longer the replica stays cold, if it says so.
	Cold time.Duration
	// Ill tells that it answered, and said that it is not well.
	Ill bool
	// Declined tells that it turned the probe away for want of a place, and said no more.
	Declined bool
}

// Client is what the product knows of replicas.
type Client interface {
	Dispatch(request Request) (Stream, *verdict.Mishap)
	Probe(address string, patience time.Duration) (Vitals, error)
	// Order returns a RateLimited error when asked to come back later, and a
	// Rejected one when asking again can't help.
	Order(address string, order Order, patience time.Duration) error
}

// RateLimited says when to come back.
type RateLimited struct{ ComeBack time.Duration }

// Error is one line.
func (limited *RateLimited) Error() string {
	return "asked to come back in " + limited.ComeBack.String()
}

// Rejected is a final answer.
type Rejected struct{ Reason string }

// Error is one line.
func (rejected *Rejected) Error() string { return "rejected: " + rejected.Reason }

// Name is what a replica calls a version of a model.
func Name(model, version string) string { return model + "@" + version }

// Rename puts the replica's name of the version in place of the body's model,
// touching nothing else.
func Rename(body []byte, name string) ([]byte, bool) {
	found := gjson.GetBytes(body, "model")
	if !found.Exists() || found.Index == 0 {
		return nil, false
	}
	quoted, _ := json.Marshal(name)
	out := make([]byte, 0, len(body)+len(quoted))
	out = append(out, body[:found.Index]...)
	out = append(out, quoted...)
	return append(out, body[found.Index+len(found.Raw):]...), true
}

// HTTP is the real client.
//
// Invariants: a connection lies in idle only if every answer on it so far ended
// cleanly and was read to its end. It was told at its beginning which life of the
// replica it leads to; as it ends with that life, a request on it goes to no other.
type HTTP struct {
	World loop.World
	guard sync.Mutex
	idle  map[string][]*line
}

type line struct {
	net.Conn
	reader *bufio.Reader
	since  time.Duration
	until  time.Duration // of a relay's: when it is too old to be used
	boot   string
}

// idleMost bounds how long and how many connections wait per replica.
const (
	idleMost = 64
	idleSpan = 3 * time.Second
)

func (client *HTTP) take(address string, patience time.Duration) (*line, bool, error) {
	now := client.World.Now()
	client.guard.Lock()
	for list := client.idle[address]; len(list) > 0; list = client.idle[address] {
		last := list[len(list)-1]
		client.idle[address] = list[:len(list)-1]
		if now-last.since < idleSpan {
			client.guard.Unlock()
			return last, true, nil
		}
		last.Close()
	}
	client.guard.Unlock()
	fresh, err := dial(address, patience)
	return fresh, false, err
}

// greet asks over a new connection whose it is.
func (client *HTTP) greet(request Request, one *line) (*line, error) {
	patience := min(request.Patience, request.Greet)
	ask, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(ask)
	defer fasthttp.ReleaseResponse(answer)
	ask.SetRequestURI("http://" + request.Address + "/health")
	_ = one.SetDeadline(time.Now().Add(patience))
	writer := bufio.NewWriter(one)
	err := ask.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err == nil {
		err = answer.ReadLimitBody(one.reader, 1<<20)
	}
	if err == nil && answer.StatusCode() != fasthttp.StatusOK {
		err = fmt.Errorf("the probe was answered %d", answer.StatusCode())
	}
	var vitals Vitals
	if err == nil {
		vitals, err = ReadVitals(answer.Body())
	}
	if err == nil && answer.ConnectionClose() {
		// One that keeps no connection open after a probe has told whose it is, a
		// moment ago.
		one.Close()
		var fresh *line
		if fresh, err = dial(request.Address, patience); err == nil {
			one = fresh
		}
	}
	if err != nil {
		one.Close()
		return nil, err
	}
	one.boot = vitals.Boot
	return one, nil
}

func dial(address string, patience time.Duration) (*line, error) {
	conn, err := net.DialTimeout("tcp", address, min(patience, time.Second))
	if err != nil {
		return nil, err
	}
	return &line{Conn: conn, reader: bufio.NewReaderSize(conn, 16<<10)}, nil
}

func (client *HTTP) give(address string, one *line) {
	client.guard.Lock()
	defer client.guard.Unlock()
	if client.idle == nil {
		client.idle = map[string][]*line{}
	}
	if len(client.idle[address]) >= idleMost {
		one.Close()
		return
	}
	one.since = client.World.Now()
	_ = one.SetDeadline(time.Time{})
	client.idle[address] = append(client.idle[address], one)
}

// alive tells whether an idle connection is still open with nothing on it, so
// that a request is not written into a closed one and left in doubt. The kernel is
// asked itself: a read with a deadline that is over by then would not look at all.
func (one *line) alive() bool {
	inner, hasSocket := one.Conn.(syscall.Conn)
	if !hasSocket || one.reader.Buffered() > 0 {
		return false
	}
	socket, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = socket.Read(func(descriptor uintptr) bool {
		_, _, err := unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isOpen = err == unix.EAGAIN
		return true
	})
	return err == nil && isOpen
}

// Dispatch sends a request and waits for the head of its answer.
func (client *HTTP) Dispatch(request Request) (Stream, *verdict.Mishap) {
	var one *line
	for one == nil {
		got, old, err := client.take(request.Address, request.Patience)
		if err == nil && !old {
			got, err = client.greet(request, got)
		}
		if err != nil {
			return nil, &verdict.Mishap{Verdict: verdict.NotRun, Code: "replica_unreached", Message: "the replica can't be reached", Status: 502, Cause: err}
		}
		if old && !got.alive() {
			got.Close()
			continue
		}
		one = got
	}
	if one.boot != request.Boot {
		client.give(request.Address, one)
		return nil, Anew()
	}
	ask := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(ask)
	ask.Header.SetMethod(fasthttp.MethodPost)
	ask.SetRequestURI("http://" + request.Address + request.Path)
	ask.Header.SetContentType("application/json")
	ask.Header.Set("Swifttiller-Request-Id", request.ID)
	ask.Header.Set("Swifttiller-Kind", request.Kind)
	if request.Home != "" {
		ask.Header.Set("Swifttiller-Home", request.Home)
	}
	ask.SetBodyRaw(request.Body)
	expiry := time.Now().Add(request.Patience)
	_ = one.SetDeadline(earlier(expiry, request.Stall))
	// Nothing of the request has left yet.
	serial, mishap := request.Gate()
	if mishap != nil {
		one.Close()
		return nil, mishap
	}
	ask.Header.Set("Swifttiller-Serial", strconv.FormatUint(serial, 10))
	doubt := func(code string, err error) (Stream, *verdict.Mishap) {
		one.Close()
		return nil, &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: code, Message: "the replica may have run the request", Status: 502, Cause: err}
	}
	if request.Bind != nil {
		request.Bind(func() { one.Close() })
	}
	writer := bufio.NewWriterSize(one, 32<<10)
	if err := ask.Write(writer); err != nil {
		return doubt("replica_cut", err)
	}
	if err := writer.Flush(); err != nil {
		return doubt("replica_cut", err)
	}
	answer := &fasthttp.Response{StreamBody: true}
	if err := answer.ReadLimitBody(one.reader, 0); err != nil {
		return doubt("replica_cut", err)
	}
	if status := answer.StatusCode(); status != fasthttp.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(answer.BodyStream(), 64<<10))
		one.Close()
		return nil, Answered(status, string(answer.Header.Peek("Retry-After")), body)
	}
	return &stream{client: client, line: one, answer: answer, request: request, expiry: expiry}, nil
}

// Answered turns a replica's error answer into a mishap. 429 and 503 are the
// replica's own word that it did not take the request.
func Answered(status int, retryAfter string, body []byte) *verdict.Mishap {
	mishap := &verdict.Mishap{Verdict: verdict.Ran, Code: "replica_failed", Status: 502, Message: fmt.Sprintf("the replica answered %d: %s", status, message(body))}
	switch status {
	case 429, 503:
		mishap.Verdict, mishap.Code, mishap.Status = verdict.NotRun, "replica_declined", 503
		if seconds, err := strconv.Atoi(retryAfter); err == nil {
			mishap.ComeBack = time.Duration(seconds) * time.Second
		} else if status == 429 {
			mishap.ComeBack = time.Second
		}
	case 400, 404, 413, 422:
		mishap.Verdict, mishap.Code, mishap.Status = verdict.NotRun, "replica_rejected", status
	}
	return mishap
}

func message(body []byte) string {
	if text := gjson.GetBytes(body, "error.message"); text.Exists() {
		return text.String()
	}
	return string(body[:min(len(body), 200)])
}

func earlier(expiry time.Time, stall time.Duration) time.Time {
	if stall <= 0 {
		return expiry
	}
	if at := time.Now().Add(stall); at.Before(expiry) {
		return at
	}
	return expiry
}

// stream cuts the body into events.
type stream struct {
	client  *HTTP
	line    *line
	answer  *fasthttp.Response
	request Request
	expiry  time.Time
	pending []byte
	done    bool // the terminal event was seen
	ended   bool // the body ended cleanly
	guard   sync.Mutex
	closed  bool
}

// ErrCut is an answer that ended before its terminal event.
var ErrCut = errors.New("the answer was cut")

var terminal = []byte("data: [DONE]")

// Split takes one whole event off the front of the bytes.
func Split(pending []byte) (event, rest []byte) {
	end, width := bytes.Index(pending, []byte("\n\n")), 2
	if crlf := bytes.Index(pending, []byte("\r\n\r\n")); crlf >= 0 && (end < 0 || crlf < end) {
		end, width = crlf, 4
	}
	if end < 0 {
		return nil, pending
	}
	return pending[:end+width], pending[end+width:]
}

// Terminal tells whether the event is the last of an answer.
func Terminal(event []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(event), terminal) }

func (stream *stream) Next() ([]byte, error) {
	buffer := make([]byte, 8<<10)
	for {
		if stream.done && len(stream.pending) > 0 {
			return nil, io.EOF // what stands behind the end is nobody's; see Close
		}
		if event, rest := Split(stream.pending); event != nil {
			stream.pending = rest
			stream.done = stream.done || Terminal(event)
			return event, nil
		}
		if stream.ended {
			if stream.done && len(stream.pending) == 0 {
				return nil, io.EOF
			}
			return nil, ErrCut
		}
		_ = stream.line.SetReadDeadline(earlier(stream.expiry, stream.request.Stall))
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
	stream.guard.Lock()
	defer stream.guard.Unlock()
	if stream.closed {
		return
	}
	stream.closed = true
	clean := stream.ended && stream.done && len(stream.pending) == 0 && !stream.answer.ConnectionClose()
	if clean {
		stream.client.give(stream.request.Address, stream.line)
		return
	}
	stream.line.Close()
}

// do makes a small call with a whole answer.
func (client *HTTP) do(method, address, path string, body []byte, patience time.Duration) (int, string, []byte, error) {
	ask, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(ask)
	defer fasthttp.ReleaseResponse(answer)
	ask.Header.SetMethod(method)
	ask.SetRequestURI("http://" + address + path)
	if body != nil {
		ask.Header.SetContentType("application/json")
		ask.SetBody(body)
	}
	if err := small.DoTimeout(ask, answer, patience); err != nil {
		return 0, "", nil, err
	}
	return answer.StatusCode(), string(answer.Header.Peek("Retry-After")), bytes.Clone(answer.Body()), nil
}

var small = &fasthttp.Client{MaxIdleConnDuration: 2 * time.Second, MaxConnsPerHost: 16, MaxResponseBodySize: 1 << 20}

// Probe asks a replica how it does.
func (client *HTTP) Probe(address string, patience time.Duration) (Vitals, error) {
	status, _, body, err := client.do("GET", address, "/health", nil, patience)
	if err != nil {
		return Vitals{}, err
	}
	if status != 200 {
		return Vitals{}, fmt.Errorf("the probe was answered %d", status)
	}
	return ReadVitals(body)
}

// ReadVitals reads a probe's answer.
func ReadVitals(body []byte) (Vitals, error) {
	if !gjson.ValidBytes(body) {
		return Vitals{}, errors.New("the probe's answer is not JSON")
	}
	root := gjson.ParseBytes(body)
	vitals := Vitals{Boot: root.Get("boot").String(), Leaving: root.Get("leaving").Bool(), Held: map[string]string{}, Load: -1}
	if load := root.Get("load"); load.Type == gjson.Number {
		vitals.Load = load.Num
	}
	root.Get("versions").ForEach(func(_, one gjson.Result) bool {
		vitals.Held[one.Get("model").String()+"/"+one.Get("version").String()] = one.Get("state").String()
		return true
	})
	return vitals, nil
}

// Order gives an order.
func (client *HTTP) Order(address string, order Order, patience time.Duration) error {
	body, _ := json.Marshal(order)
	status, after, text, err := client.do("POST", address, "/weights", body, patience)
	if err != nil {
		return err
	}
	return Ordered(status, after, text)
}

// Ordered reads an order's answer.
func Ordered(status int, retryAfter string, body []byte) error {
	switch {
	case status < 300:
		return nil
	case status == 429:
		seconds, _ := strconv.Atoi(retryAfter)
		return &RateLimited{time.Duration(max(1, seconds)) * time.Second}
	case status < 500:
		return &Rejected{message(body)}
	}
	return fmt.Errorf("the order was answered %d: %s", status, message(body))
}
