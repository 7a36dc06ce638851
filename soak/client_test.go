package soak

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// requestTimeout is how long a client waits for an answer.
const requestTimeout = 5 * time.Second

// longEvents are those of a stream that is still under way when its daemon is told to stop.
const longEvents = 1200

// slowAnswer is after which time a client goes on over another connection beside the one on which it
// still waits, and mostWaiting on how many it waits at the most.
const (
	slowAnswer  = 300 * time.Millisecond
	mostWaiting = 24
)

// client sends requests to one data daemon over a connection that it keeps until the other end
// closes it or the process is gone.
type client struct {
	cluster *cluster
	machine *machine
	author  *author
	random  *rand.Rand
	kept    *connection // the one to go on with, nil for none
	waiting atomic.Int64
}

// connection is one to a life of a data daemon.
type connection struct {
	net.Conn
	reader *bufio.Reader
	life   int
}

// requests counts the requests of all runs, for ids that never come again.
var requests atomic.Uint64

// run sends requests until the run is over or the machine is gone for good.
func (client *client) run() {
	for client.cluster.wait(client.pause()) {
		client.machine.guard.Lock()
		isWanted := client.machine.isWanted
		client.machine.guard.Unlock()
		if !isWanted && client.machine.lived() == 0 {
			break
		}
		if client.waiting.Load() < mostWaiting {
			client.step()
		}
	}
	if client.kept != nil {
		_ = client.kept.Close()
	}
}

// pause is mostly short; now and then a connection rests for longer.
func (client *client) pause() time.Duration {
	base := client.cluster.probePause
	if client.random.IntN(40) == 0 {
		return time.Duration(client.random.Int64N(int64(4 * time.Second)))
	}
	return base/2 + time.Duration(client.random.Int64N(int64(base)))
}

// open opens a connection.
func (client *client) open() (*connection, error) {
	life := client.machine.lived()
	if life == 0 {
		return nil, errors.New("no process")
	}
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", client.machine.ip, counterPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), life: life}, nil
}

// step sends a request on the kept connection or a new one, and leaves it behind where its answer is slow.
func (client *client) step() {
	on := client.kept
	client.kept = nil
	if on == nil {
		var err error
		if on, err = client.open(); err != nil {
			return
		}
	}
	host, path := client.target()
	events := 0
	if client.random.IntN(200) == 0 {
		events = longEvents
	}
	ended := make(chan bool, 1)
	client.waiting.Add(1)
	client.cluster.group.Go(func() {
		defer client.waiting.Add(-1)
		ended <- client.send(on, host, path, events)
	})
	select {
	case isKept := <-ended:
		if isKept {
			client.kept = on
		} else {
			_ = on.Close()
		}
	case <-time.After(slowAnswer):
		client.cluster.group.Go(func() {
			<-ended
			_ = on.Close()
		})
	}
}

// target draws what to ask for: mostly what shows by which version it is answered.
func (client *client) target() (host, path string) {
	switch draw := client.random.IntN(10); {
	case draw < 4:
		return markerHost, markerPrefix + "x"
	case draw < 7:
		return markerHost, ownPrefix(client.cluster.history.recent(client.random)) + "x"
	}
	return pick(client.random, client.author.hosts), pick(client.random, client.author.prefixes) + "x"
}

// send sends one request, notes what became of it and tells whether the connection may be used again.
func (client *client) send(on *connection, host, path string, events int) (isKept bool) {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.Header.SetMethod("POST")
	request.SetRequestURI(path)
	request.Header.SetHost(host)
	id := requests.Add(1)
	request.Header.Set("Attempt-Id", fmt.Sprintf("%016x", id))
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Count", "100,8")
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:100", id))
	request.Header.Set("Time-Left-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	if events > 0 {
		request.Header.Set("Soak-Events", fmt.Sprint(events))
	}
	request.SetBodyString("{}")
	one := outcome{machine: client.machine.name, life: on.life, host: host, path: path, sent: client.cluster.history.now()}
	_ = on.SetDeadline(time.Now().Add(requestTimeout + 2*longEvents*eventGap))
	writer := bufio.NewWriter(on)
	if request.Write(writer) != nil || writer.Flush() != nil || answer.Read(on.reader) != nil {
		return false
	}
	one.answered, one.status = client.cluster.history.now(), answer.StatusCode()
	service, at, _ := strings.Cut(string(answer.Header.Peek("Postmark")), "/")
	one.service = service
	_, _ = fmt.Sscan(at, &one.arrived)
	client.cluster.history.add(one)
	return !answer.ConnectionClose()
}
