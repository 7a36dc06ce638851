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

// Field is one header of a message.
type Field struct{ Name, Value []byte }

// Ask is a routed request on its way to a replica. What the caller sent is passed on
// byte by byte.
type Ask struct {
	// Replica is the life of the replica that it is meant for; no other runs it.
	Replica, Address string
	ID               string
	Method, Host     []byte
	URI              []byte
	Header           []Field
	Body             []byte
	// Left is how long the caller still waits; the replica stops its work then.
	Left time.Duration
	// Urgency is the rank, 0 first. After is the id of the last event that the caller
	// has, empty from the beginning. Version, if set, is the only one that may run it.
	Urgency int
	After   string
	Version string
	// Tenant is whose request it is, as the replica is told; empty for nobody's.
	Tenant string
	// Once tells that it may not be sent again after a mishap.
	Once bool
	// Anew tells that it shall go on a new connection, as only that shows beforehand
	// whether the replica is there.
	Anew bool
	// Gate is asked at the last moment before bytes go out.
	Gate func() *verdict.Mishap
	// Bind, if set, is told how to abort from outside; nil when nothing is under way.
	Bind func(abort func())
	// Connect bounds how long a new connection may take, Unheard how long sent bytes
	// may stay without the other machine's word of them.
	Connect, Unheard time.Duration
	// Silent, if set, is asked whenever the replica has said nothing for another Span,
	// and whether the answer has begun; true gives the request up there.
	Silent func(hasBegun bool) bool
	Span   time.Duration
}

// ErrSilent is how a request ends that was given up at a silent replica.
var ErrSilent = errors.New("the replica is silent")

// Head is the beginning of a replica's answer, as a dialect reads it.
type Head struct {
	Status int
	// Foreign answers belong to another request, and are passed over.
	Foreign bool
	// NotRun is the replica's own word that it did not run the request; Elsewhere that
	// another replica has its address by now.
	NotRun, Elsewhere bool
	// Unsound says why the answer is none that may be passed on; empty when it may.
	Unsound string
	// Running, Waiting and Slots are the replica's load, if HasLoad.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Keep is how long the replica keeps the connection, zero when it does not say.
	Keep   time.Duration
	Events bool // the body is a stream of events
}

// Dialect puts routed requests into a protocol's words, and reads its answers. It
// translates and decides nothing.
type Dialect interface {
	// Write fills in what goes to the replica.
	Write(ask *Ask, into *fasthttp.Request)
	// Read reads the head of an answer to the ask.
	Read(ask *Ask, answer *fasthttp.Response) Head
	// Probe asks a replica how it does; the error is Anew where another one answers at its
	// address, so that its life is over.
	Probe(target Target, patience time.Duration) (Vitals, error)
}

// Target is a replica to be probed.
type Target struct {
	ID, Address, Path string
}

// Relay sends routed requests to replicas over connections that are kept.
//
// Invariants: a connection lies in idle only if every answer on it so far ended
// cleanly and was read to its end. One that has carried a request whose answer did not
// end so is closed, so that late bytes reach nobody.
type Relay struct {
	World   loop.World
	Dialect Dialect
	guard   sync.Mutex
	idle    map[string][]*line
	// ages bound how old idle connections may get, by address, where replicas were seen
	// to drop them; wary is until when all replicas are taken to, for requests that may
	// be sent once only.
	ages map[string]age
	wary time.Duration
	// Opened counts new connections.
	Opened uint64
}

// Source is where an answer's bytes come from. Next gives what can be passed on, whole
// events where it is a stream of them, valid until the next call; io.EOF comes only
// after a clean end of the whole body, any other error means that it was cut. Close may
// be called at any time, and ends the request at its replica if it is under way.
type Source interface {
	Next() ([]byte, error)
	Close()
}

// Answer is an answer under way.
type Answer struct {
	Head
	Header *fasthttp.ResponseHeader
	// Length is that of the body, below zero when it is not told beforehand.
	Length int
	Source
}

// reading is an answer that is read off a connection.
type reading struct {
	events  bool
	keep    time.Duration
	relay   *Relay
	line    *line
	answer  *fasthttp.Response // its buffers stay in use until the end
	ask     *Ask
	expiry  time.Duration
	body    io.Reader
	buffer  []byte
	held    []byte // the beginning of an event that is not whole yet
	ended   bool
	closing bool
	closed  sync.Once
}

// isDropped tells whether the other side ended a connection, and not this daemon.
func isDropped(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
}

// idleSince is when the connection was last used; zero for none.
func (one *line) idleSince() time.Duration {
	if one == nil {
		return 0
	}
	return one.since
}

// age is how old an idle connection may get, which is forgotten at a time.
type age struct{ most, until time.Duration }

// Bounds of what is learned from an idle connection that was dropped without notice.
const (
	leastAge    = 50 * time.Millisecond
	leastIdle   = 200 * time.Millisecond
	wariestAge  = time.Second
	droppedSpan = 20 * time.Second
	warySpan    = 5 * time.Second
	// droppedSoon is how fast what was sent on one is answered by a reset.
	droppedSoon = 250 * time.Millisecond
)

// isFresh tells whether the connection was used so short a while ago that the request
// may go on it; who holds the guard calls it.
func (relay *Relay) isFresh(ask *Ask, one *line, now time.Duration) bool {
	bound := relay.ages[ask.Address]
	most := one.until
	if now < bound.until {
		most = min(most, one.since+bound.most)
	}
	if ask.Once && now < relay.wary {
		most = min(most, one.since+wariestAge)
	}
	return now < most
}

// dropped learns that a replica had dropped a connection after it was idle for so long.
func (relay *Relay) dropped(address string, idle time.Duration) {
	if idle < leastIdle {
		return // something else ended it
	}
	now := relay.World.Now()
	relay.guard.Lock()
	defer relay.guard.Unlock()
	if relay.ages == nil {
		relay.ages = map[string]age{}
	}
	most := max(leastAge, idle/2)
	if before := relay.ages[address]; now < before.until {
		most = min(most, before.most)
	}
	relay.ages[address] = age{most, now + droppedSpan}
	relay.wary = now + warySpan
}

// idleRoutedMost bounds how many connections wait per replica.
const idleRoutedMost = 32

func (relay *Relay) take(ask *Ask) (*line, bool, error) {
	now := relay.World.Now()
	for {
		relay.guard.Lock()
		list := relay.idle[ask.Address]
		if len(list) == 0 {
			relay.guard.Unlock()
			break
		}
		last := list[len(list)-1]
		relay.idle[ask.Address] = list[:len(list)-1]
		isFresh := relay.isFresh(ask, last, now)
		relay.guard.Unlock()
		if ask.Anew {
			last.Close() // in its place
			break
		}
		if isFresh && last.boot == ask.Replica && last.alive() {
			return last, true, nil
		}
		last.Close()
	}
	dialer := net.Dialer{Timeout: ask.Connect, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ask.Unheard/time.Millisecond))
		})
	}}
	conn, err := dialer.Dial("tcp", ask.Address)
	if err != nil {
		return nil, false, err
	}
	relay.guard.Lock()
	relay.Opened++
	relay.guard.Unlock()
	return &line{Conn: conn, reader: bufio.NewReaderSize(conn, 4<<10), boot: ask.Replica}, false, nil
}

func (relay *Relay) give(address string, one *line, keep time.Duration) {
	now := relay.World.Now()
	if keep <= 0 {
		keep = idleSpan
	}
	one.since, one.until = now, now+keep*3/4
	relay.guard.Lock()
	defer relay.guard.Unlock()
	if relay.idle == nil {
		relay.idle = map[string][]*line{}
	}
	if len(relay.idle[address]) >= idleRoutedMost {
		one.Close()
		return
	}
	relay.idle[address] = append(relay.idle[address], one)
}

// Sweep closes connections that have been idle for too long.
func (relay *Relay) Sweep() {
	now := relay.World.Now()
	relay.guard.Lock()
	defer relay.guard.Unlock()
	for address, list := range relay.idle {
		kept := list[:0]
		for _, one := range list {
			if now < one.until {
				kept = append(kept, one)
			} else {
				one.Close()
			}
		}
		if len(kept) == 0 {
			delete(relay.idle, address)
		} else {
			relay.idle[address] = kept
		}
	}
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// Send sends the request and waits for the head of its answer. A mishap of NotRun
// means that no replica has run it, or will.
func (relay *Relay) Send(ask *Ask) (*Answer, *verdict.Mishap) {
	one, isOld, err := relay.take(ask)
	idle := relay.World.Now() - one.idleSince()
	if err != nil {
		return nil, &verdict.Mishap{Verdict: verdict.NotRun, Code: "replica_unreached", Message: "the replica can't be reached", Status: 503, Cause: err}
	}
	if mishap := ask.Gate(); mishap != nil {
		relay.give(ask.Address, one, 0)
		return nil, mishap
	}
	if ask.Bind != nil {
		ask.Bind(func() { one.Close() })
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	relay.Dialect.Write(ask, request)
	_ = one.SetDeadline(time.Now().Add(ask.Left))
	cut := func(code string, err error) (*Answer, *verdict.Mishap) {
		if ask.Bind != nil {
			ask.Bind(nil)
		}
		one.Close()
		return nil, &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: code, Message: "the replica may have run the request", Status: 502, Cause: err}
	}
	writer := writers.Get().(*bufio.Writer)
	writer.Reset(one)
	err = request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	writer.Reset(nil)
	writers.Put(writer)
	if err != nil {
		if isOld && isDropped(err) {
			relay.dropped(ask.Address, idle)
		}
		return cut("replica_cut", err)
	}
	sent := relay.World.Now()
	expiry := sent + ask.Left
	for passed := 0; ; passed++ {
		if err := relay.wait(ask, one, expiry, false); err != nil {
			switch {
			case errors.Is(err, ErrSilent):
				return cut("replica_silent", err)
			case isExpired(err):
				return cut("expired", err)
			}
			if isOld && isDropped(err) && passed == 0 && relay.World.Now()-sent < droppedSoon {
				// No replica gives up a request that fast: the connection was gone.
				relay.dropped(ask.Address, idle)
			}
			return cut("replica_cut", err)
		}
		answer := &fasthttp.Response{StreamBody: true}
		if err := answer.ReadLimitBody(one.reader, 0); err != nil {
			if isExpired(err) {
				return cut("expired", err)
			}
			return cut("replica_cut", err)
		}
		head := relay.Dialect.Read(ask, answer)
		stream, hasBody := answer.BodyStream(), true
		if stream == nil || answer.Header.ContentLength() == 0 {
			stream, hasBody = bytes.NewReader(nil), false
		}
		if head.Foreign {
			// A second answer to an earlier request, in the place of this one's.
			if _, err := io.Copy(io.Discard, stream); err != nil || passed >= 2 {
				return cut("replica_garbled", err)
			}
			continue
		}
		body := &reading{events: head.Events, keep: head.Keep, relay: relay, line: one, answer: answer, ask: ask, expiry: expiry, body: stream, ended: !hasBody, closing: answer.ConnectionClose()}
		out := &Answer{Head: head, Header: &answer.Header, Length: answer.Header.ContentLength(), Source: body}
		if head.Unsound != "" {
			out.Close()
			return nil, &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: "replica_garbled", Message: "the replica's answer is no answer: " + head.Unsound, Status: 502}
		}
		if head.NotRun || head.Elsewhere {
			if _, err := io.Copy(io.Discard, io.LimitReader(body.body, 64<<10)); err == nil {
				body.ended = true
			}
			out.Close()
			if head.Elsewhere {
				return nil, Anew()
			}
			return nil, &verdict.Mishap{Verdict: verdict.NotRun, Code: "replica_declined", Message: fmt.Sprintf("the replica answered %d without running it", head.Status), Status: 503}
		}
		return out, nil
	}
}

// wait waits for a byte to be there, asking now and then whether to go on.
func (relay *Relay) wait(ask *Ask, one *line, expiry time.Duration, hasBegun bool) error {
	for one.reader.Buffered() == 0 {
		left := expiry - relay.World.Now()
		if left <= 0 {
			return os.ErrDeadlineExceeded
		}
		if ask.Silent != nil && ask.Span > 0 {
			left = min(left, ask.Span)
		}
		_ = one.SetReadDeadline(time.Now().Add(left))
		if _, err := one.reader.Peek(1); err == nil {
			break
		} else if !isExpired(err) {
			return err
		}
		if ask.Silent != nil && ask.Silent(hasBegun) {
			return ErrSilent
		}
	}
	_ = one.SetReadDeadline(time.Now().Add(expiry - relay.World.Now()))
	return nil
}

// isExpired tells whether the caller's own time ended a call.
func isExpired(err error) bool {
	var trouble net.Error
	return errors.As(err, &trouble) && trouble.Timeout() && !errors.Is(err, syscall.ETIMEDOUT)
}

// Next gives the next bytes to pass on. They are valid until the next call.
func (reading *reading) Next() ([]byte, error) {
	if reading.buffer == nil {
		reading.buffer = make([]byte, 2<<10)
	}
	for {
		if reading.ended {
			if len(reading.held) > 0 {
				return nil, ErrCut // the body ended within an event
			}
			return nil, io.EOF
		}
		if err := reading.relay.wait(reading.ask, reading.line, reading.expiry, true); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, fmt.Errorf("%w: %w", ErrCut, err)
		}
		count, err := reading.body.Read(reading.buffer)
		if err == io.EOF {
			reading.ended = true
		} else if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrCut, err)
		}
		if count == 0 {
			continue
		}
		if !reading.events {
			return reading.buffer[:count], nil
		}
		whole := reading.buffer[:count]
		if len(reading.held) > 0 {
			whole = append(reading.held, whole...)
		}
		end := bytes.LastIndex(whole, []byte("\n\n"))
		if at := bytes.LastIndex(whole, []byte("\r\n\r\n")); at >= 0 && at+2 > end {
			end = at + 2
		}
		if end < 0 {
			reading.held = append([]byte{}, whole...)
			continue
		}
		reading.held = append([]byte{}, whole[end+2:]...)
		return whole[:end+2], nil
	}
}

// Close ends the answer. The connection is kept only after a clean end.
func (reading *reading) Close() {
	reading.closed.Do(func() {
		if reading.ask.Bind != nil {
			reading.ask.Bind(nil)
		}
		if reading.ended && !reading.closing && len(reading.held) == 0 && reading.line.reader.Buffered() == 0 {
			_ = reading.line.SetDeadline(time.Time{})
			reading.relay.give(reading.ask.Address, reading.line, reading.keep)
			return
		}
		reading.line.Close()
	})
}
