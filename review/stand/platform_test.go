//go:build review

package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a replica has run.
type arrival struct {
	id, replica, version, method, uri, body string
	at                                      time.Duration
	// ended is when the replica had written its whole answer or found its connection closed.
	ended   time.Duration
	isWhole bool
}

// answerer writes the answer to a request that a replica runs. It reports whether the whole answer was
// written and whether the connection may be kept.
type answerer func(replica *replica, conn net.Conn, request *http.Request, body string, number int) (isWhole, isKept bool)

// replica is a stand-in for a model replica.
type replica struct {
	id, service, address, version string
	zone                          zone
	platform                      *platform
	answer                        answerer
	running                       atomic.Int64
	listener                      net.Listener
	startedAt                     time.Duration
	coldFor                       time.Duration
	isLeaving                     bool // under the platform's mutex
}

// platform keeps the list of replicas, and what they have run.
type platform struct {
	fleet    *fleet
	mutex    sync.Mutex
	replicas []*replica
	arrivals map[string][]*arrival // by request id
	number   atomic.Int64
}

func servePlatform(fleet *fleet, address string) (*platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	out := &platform{fleet: fleet, arrivals: map[string][]*arrival{}}
	go func() { _ = http.Serve(listener, out) }()
	return out, nil
}

// ServeHTTP answers with the list.
func (platform *platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	zone := request.URL.Query().Get("zone")
	instances := []any{}
	platform.mutex.Lock()
	for _, one := range platform.replicas {
		if zone == "" || one.zone.name == zone {
			state := "in_service"
			if one.isLeaving {
				state = "winding_down"
			}
			instances = append(instances, map[string]any{
				"id": one.id, "depot": one.service, "address": one.address, "zone": one.zone.name, "edition": one.version, "berths": 64, "state": state, "cold_left_ms": one.coldLeft().Milliseconds(),
				"phase": "both", "models": []any{map[string]any{"name": "m", "edition": 1, "adapters": []any{}}},
			})
		}
	}
	platform.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"instances": instances, "next_token": nil})
}

// coldLeft is for how long the replica is still cold.
func (replica *replica) coldLeft() time.Duration {
	return max(0, replica.startedAt+replica.coldFor-replica.platform.fleet.now())
}

// leave lists the replicas as leaving.
func (platform *platform) leave(replicas []*replica) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	for _, one := range replicas {
		one.isLeaving = true
	}
}

// end takes the replicas off the list and closes their sockets.
func (platform *platform) end(replicas []*replica) {
	platform.mutex.Lock()
	platform.replicas = slices.DeleteFunc(slices.Clone(platform.replicas), func(one *replica) bool { return slices.Contains(replicas, one) })
	platform.mutex.Unlock()
	for _, one := range replicas {
		one.listener.Close()
	}
}

// add starts a replica of the usual service, warm, and lists it.
func (platform *platform) add(zone zone, address, version string, answer answerer) error {
	_, err := platform.start(&replica{service: service, zone: zone, address: address, version: version, answer: answer})
	return err
}

// start starts a replica and lists it.
func (platform *platform) start(one *replica) (*replica, error) {
	listener, err := net.Listen("tcp", one.address)
	if err != nil {
		return nil, err
	}
	one.id, one.platform, one.listener, one.startedAt = fmt.Sprintf("i-%04d", platform.number.Add(1)), platform, listener, platform.fleet.now()
	platform.mutex.Lock()
	platform.replicas = append(platform.replicas, one)
	platform.mutex.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go one.serve(conn)
		}
	}()
	return one, nil
}

// head writes the head of an answer but for its framing.
func (replica *replica) head(id string, number int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nPostmark: %s.%d\r\nServer-Load: %d,0,64\r\nWeight-Versions: 1\r\n", id, replica.id, number, replica.running.Load())
}

// serve serves one request at a time on a connection.
func (replica *replica) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		load := fmt.Sprintf("%d,0,64", replica.running.Load())
		if request.Method == "GET" && request.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nServed-By: %s\r\nServer-Load: %s\r\nCold-Ms: %d\r\nContent-Length: 0\r\n\r\n", replica.id, load, replica.coldLeft().Milliseconds())
			continue
		}
		id := request.Header.Get("Attempt-Id")
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != replica.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Run: other\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		platform := replica.platform
		one := &arrival{id: id, replica: replica.id, version: replica.version, method: request.Method, uri: request.RequestURI, body: string(body), at: platform.fleet.now()}
		platform.mutex.Lock()
		platform.arrivals[id] = append(platform.arrivals[id], one)
		platform.mutex.Unlock()
		replica.running.Add(1)
		isWhole, isKept := replica.answer(replica, conn, request, string(body), int(platform.number.Add(1)))
		replica.running.Add(-1)
		platform.mutex.Lock()
		one.isWhole, one.ended = isWhole, platform.fleet.now()
		platform.mutex.Unlock()
		if !isWhole || !isKept {
			return
		}
	}
}

// stream answers with events at a pause, in chunks.
func stream(replica *replica, conn net.Conn, id string, number, events int, pause time.Duration) bool {
	if _, err := io.WriteString(conn, replica.head(id, number)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for event := 1; event <= events; event++ {
		text := eventText(id, event, events)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		if event < events {
			<-time.After(pause)
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

func eventText(id string, event, of int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", event, id, event, of)
}

func allEvents(id string, events int) string {
	var out strings.Builder
	for event := 1; event <= events; event++ {
		out.WriteString(eventText(id, event, events))
	}
	return out.String()
}
