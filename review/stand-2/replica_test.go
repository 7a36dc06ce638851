//go:build review

package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Slots of a replica and what it may hold, as the small deployment has them.
const (
	replicaSlots = 64
	replicaQueue = 192
	cacheTokens  = 348621
)

// arrival is a request as a replica got it.
type arrival struct {
	id, service, version, replica, path string
	at                                  time.Duration
	hasRun, isBad                       bool
}

// platform is the stand-in of the platform: the list of replicas, and the replicas.
type platform struct {
	*record
	network  string
	mutex    sync.Mutex
	replicas []*replica
	arrivals []arrival
	lives    int
	// answer, if set, writes the answer to a request that runs, and reports whether the connection may be kept.
	answer func(call *call) (isKept bool)
}

// replica is one life of a model replica.
type replica struct {
	platform                            *platform
	id, service, version, address, zone string
	startedAt                           time.Duration
	listener                            net.Listener
	running                             atomic.Int64
	leavingAt, goneAt                   time.Duration // zero for never; under the platform's mutex
	connections                         map[net.Conn]bool
	kept                                map[string]bool // the parts of prompts that are kept; under the platform's mutex
}

// call is a request that a replica runs.
type call struct {
	*replica
	conn    net.Conn
	writer  *bufio.Writer
	request *fasthttp.Request
	id      string
	number  int // counts the arrivals
}

// start starts a replica of a service at an address of its own.
func (platform *platform) start(service, version, zoneName string) (*replica, error) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.lives++
	out := &replica{platform: platform, id: fmt.Sprintf("i-%08x", 0x7f3a0000+platform.lives), service: service, version: version, zone: zoneName, startedAt: platform.now(), connections: map[net.Conn]bool{}, kept: map[string]bool{}}
	out.address = fmt.Sprintf("%s.%d:%d", platform.network, 100+platform.lives, replicaPort)
	listener, err := net.Listen("tcp", out.address)
	if err != nil {
		return nil, err
	}
	out.listener = listener
	platform.replicas = append(platform.replicas, out)
	go out.serve()
	return out, nil
}

// coldSpan is how long a replica stays cold after a start during traffic.
const coldSpan = 3 * time.Second

// coldLeft is how long the replica still stays cold: those that are there from the beginning are warm.
func (replica *replica) coldLeft() time.Duration {
	if replica.startedAt < time.Second {
		return 0
	}
	return max(0, replica.startedAt+coldSpan-replica.platform.now())
}

// leave lists the replica as winding down and ends it after the given time.
func (replica *replica) leave(after time.Duration) {
	platform := replica.platform
	platform.mutex.Lock()
	replica.leavingAt = platform.now()
	platform.mutex.Unlock()
	time.AfterFunc(after, replica.end)
}

// end ends the replica at once.
func (replica *replica) end() {
	platform := replica.platform
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if replica.goneAt > 0 {
		return
	}
	replica.goneAt = platform.now()
	_ = replica.listener.Close()
	for conn := range replica.connections {
		_ = conn.Close()
	}
}

func (replica *replica) serve() {
	for {
		conn, err := replica.listener.Accept()
		if err != nil {
			return
		}
		replica.platform.mutex.Lock()
		replica.connections[conn] = true
		replica.platform.mutex.Unlock()
		go replica.serveConnection(conn)
	}
}

func (replica *replica) serveConnection(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		replica.platform.mutex.Lock()
		delete(replica.connections, conn)
		replica.platform.mutex.Unlock()
	}()
	reader, writer := bufio.NewReaderSize(conn, 32<<10), bufio.NewWriter(conn)
	for {
		request := &fasthttp.Request{}
		if request.Read(reader) != nil {
			return
		}
		if !replica.handle(conn, writer, request) || writer.Flush() != nil {
			return
		}
	}
}

// handle answers a probe or a request.
func (replica *replica) handle(conn net.Conn, writer *bufio.Writer, request *fasthttp.Request) bool {
	load := fmt.Sprintf("%d,0,%d", replica.running.Load(), replicaSlots)
	if string(request.Header.Method()) == "GET" && string(request.URI().Path()) == "/health" {
		fmt.Fprintf(writer, "HTTP/1.1 200 OK\r\nServed-By: %s\r\nServer-Load: %s\r\nCold-Ms: %d\r\nContent-Length: 0\r\n\r\n", replica.id, load, replica.coldLeft().Milliseconds())
		return true
	}
	platform := replica.platform
	id, expected := string(request.Header.Peek("Attempt-Id")), string(request.Header.Peek("Expect-Instance"))
	entry := arrival{id: id, service: replica.service, version: replica.version, replica: replica.id, path: string(request.Header.RequestURI()), at: platform.now()}
	isOther := expected != "" && expected != replica.id
	isFull := replica.running.Load() >= replicaSlots
	entry.hasRun = !isOther && !isFull
	platform.mutex.Lock()
	platform.arrivals = append(platform.arrivals, entry)
	number := len(platform.arrivals)
	platform.mutex.Unlock()
	switch {
	case isOther:
		fmt.Fprintf(writer, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	case isFull:
		fmt.Fprintf(writer, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Run: 1\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", id, load)
		return true
	}
	replica.running.Add(1)
	defer replica.running.Add(-1)
	return platform.answer(&call{replica: replica, conn: conn, writer: writer, request: request, id: id, number: number})
}

// markBad notes that a request was answered badly.
func (call *call) markBad() {
	call.platform.mutex.Lock()
	defer call.platform.mutex.Unlock()
	call.platform.arrivals[call.number-1].isBad = true
}

// head is the head of an answer with the replica's stamp.
func (call *call) head(status, more string) {
	fmt.Fprintf(call.writer, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nPostmark: %s.%d.%s\r\nServer-Load: %d,0,%d\r\nWeight-Versions: 1\r\n%s\r\n", status, call.id, call.replica.id, call.number, call.id, call.running.Load(), replicaSlots, more)
}

// fail answers with a failure of the replica's own, which counts as run.
func (call *call) fail() bool {
	call.markBad()
	call.head("500 Internal Server Error", "Content-Length: 0\r\n")
	return true
}

// stream answers with events, behind the one that the request names as its last.
func (call *call) stream(events int, gap time.Duration) bool {
	after, _ := strconv.Atoi(string(call.request.Header.Peek("Last-Event-Id")))
	call.head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	for number := after + 1; number <= events; number++ {
		event := fmt.Sprintf("id: %d\ndata: %s %d/%d\n\n", number, call.id, number, events)
		fmt.Fprintf(call.writer, "%x\r\n%s\r\n", len(event), event)
		if call.writer.Flush() != nil {
			return false
		}
		pause(gap)
	}
	_, err := call.writer.WriteString("0\r\n\r\n")
	return err == nil
}

// listed is the platform's list as it stood a while ago.
func (platform *platform) listed(zoneName string) []byte {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	then := platform.now() - listLag
	list := []any{}
	for _, one := range platform.replicas {
		if one.startedAt > then && one.startedAt > time.Second || one.goneAt > 0 && one.goneAt <= then || zoneName != "" && one.zone != zoneName {
			continue
		}
		state := "in_service"
		if one.leavingAt > 0 && one.leavingAt <= then {
			state = "winding_down"
		}
		list = append(list, map[string]any{"id": one.id, "depot": one.service, "address": one.address, "zone": one.zone, "edition": one.version, "berths": replicaSlots, "state": state, "cold_left_ms": one.coldLeft().Milliseconds(), "phase": "both", "models": []any{map[string]any{"name": "m", "edition": 1, "adapters": []any{}}}})
	}
	out, _ := json.Marshal(map[string]any{"instances": list, "next_token": nil})
	return out
}

// serveList serves the platform's list until the process ends.
func (platform *platform) serveList() error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", platform.network, providerPort))
	if err != nil {
		return err
	}
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("application/json")
			ctx.SetBody(platform.listed(string(ctx.QueryArgs().Peek("zone"))))
		})
	}()
	return nil
}

// tokensPerMs is how fast a replica reads a prompt.
const tokensPerMs = 54.6

// prefill is how long the replica reads the parts of the prompt that it has not kept.
func (call *call) prefill() time.Duration {
	call.platform.mutex.Lock()
	defer call.platform.mutex.Unlock()
	unread, isKept := 0, true
	for _, part := range strings.Split(string(call.request.Header.Peek("Prompt-Prefix")), ",") {
		name, tokens, _ := strings.Cut(part, ":")
		if isKept = isKept && call.kept[name]; !isKept {
			count, _ := strconv.Atoi(tokens)
			unread += count
		}
		call.kept[name] = true
	}
	return time.Duration(float64(unread) / tokensPerMs * float64(time.Millisecond))
}
