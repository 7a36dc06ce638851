//go:build review

package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// route is a route of a configuration, in the platform's words.
type route struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Prefix   string   `json:"path_prefix"`
	Kind     string   `json:"kind"`
	Timeout  int      `json:"timeout_ms"`
	Target   int      `json:"target_ms"`
	Urgency  int      `json:"urgency"`
	Service  string   `json:"depot"`
	Attempts int      `json:"tries"`
	Sticky   bool     `json:"sticky"`
	Resume   bool     `json:"resume"`
	Gap      int      `json:"gap_target_ms"`
	Homes    []string `json:"home_regions"`
}

// configuration is a whole configuration as an operator sends it.
func configuration(edition int, routes []route, services ...string) []byte {
	depots := []any{}
	for _, name := range services {
		depots = append(depots, map[string]any{
			"name": name, "health_path": "/health", "conn_cap": 360, "protocol": "h1", "tls": false, "cold_s": 3.0, "cold_per_s": 26.0,
			"runtime": map[string]any{"berths": replicaSlots, "cache_tokens": cacheTokens, "token_bytes": 18432, "uplink_mbps": 88000.0, "spacing": 4, "models": []any{map[string]any{"name": "m"}}},
		})
	}
	out, _ := json.Marshal(map[string]any{"edition": edition, "lanes": routes, "depots": depots, "limits": map[string]int{"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000}})
	return out
}

// operator calls the control machines in turn, as the pages say: it goes on after a second of silence or a 5xx.
type operator struct {
	*record
	network string
	hosts   []int // of the control machines that the operator knows
	next    int
}

// host is the control machine that is called next.
func (operator *operator) host() int { return operator.hosts[operator.next%len(operator.hosts)] }

// call makes an operator's call until it gets a clear answer, for at most the given time. The status is 0 for none.
func (operator *operator) call(method, path, basedOn string, body []byte, within time.Duration) (status int, answer []byte) {
	client := &fasthttp.Client{ReadTimeout: time.Second, WriteTimeout: time.Second, MaxIdemponentCallAttempts: 1}
	for until := operator.now() + within; operator.now() < until; operator.next++ {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI(fmt.Sprintf("http://%s.%d:%d%s", operator.network, operator.host(), controlPort, path))
		request.Header.SetMethod(method)
		if basedOn != "" {
			request.Header.Set("Based-On", basedOn)
		}
		if body != nil {
			request.Header.SetContentType("application/json")
			request.SetBody(body)
		}
		err := client.DoTimeout(request, response, 3*time.Second)
		operator.line("operator: %s %s at .%d: %d %v %.120s", method, path, operator.host(), response.StatusCode(), err, response.Body())
		if status := response.StatusCode(); err == nil && status < 500 && status != 408 && status != 429 {
			return status, append([]byte{}, response.Body()...)
		}
		pause(200 * time.Millisecond)
	}
	return 0, nil
}

// attempt is one try of a client and what came of it.
type attempt struct {
	id, host, path string
	body           string
	machine        int
	sentAt, ended  time.Duration
	status         int
	answerID       string
	postmark       string
	answer         string
	err            error
}

// client sends requests to one data machine over connections that it keeps.
type client struct {
	*record
	ip      string
	machine int
	mutex   sync.Mutex
	idle    []*connection
}

// connection is a kept connection and when it was used last.
type connection struct {
	net.Conn
	reader *bufio.Reader
	usedAt time.Duration
}

// maxRest is how long a client lets a connection rest before it no longer takes it up.
const maxRest = 5 * time.Second

func (client *client) acquire() (*connection, error) {
	client.mutex.Lock()
	for len(client.idle) > 0 {
		last := client.idle[len(client.idle)-1]
		client.idle = client.idle[:len(client.idle)-1]
		if client.now()-last.usedAt < maxRest {
			client.mutex.Unlock()
			return last, nil
		}
		_ = last.Close()
	}
	client.mutex.Unlock()
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", client.ip, counterPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request and waits for the whole answer, for at most the given time.
func (client *client) send(method, id, host, path, body string, left time.Duration, more ...string) *attempt {
	out := &attempt{id: id, host: host, path: path, body: body, machine: client.machine, sentAt: client.now()}
	defer func() { out.ended = client.now() }()
	conn, err := client.acquire()
	if err != nil {
		out.err = err
		return out
	}
	_ = conn.SetDeadline(time.Now().Add(left))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left-Ms: %d\r\nModel: m\r\n", method, path, host, id, left.Milliseconds())
	for _, field := range more {
		text += field + "\r\n"
	}
	text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, out.err = conn.Write([]byte(text)); out.err != nil {
		_ = conn.Close()
		return out
	}
	response := &fasthttp.Response{}
	if out.err = response.Read(conn.reader); out.err != nil {
		_ = conn.Close()
		return out
	}
	out.status, out.answerID, out.postmark, out.answer = response.StatusCode(), string(response.Header.Peek("Attempt-Id")), string(response.Header.Peek("Postmark")), string(response.Body())
	if response.ConnectionClose() {
		_ = conn.Close()
		return out
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	conn.usedAt = client.now()
	client.idle = append(client.idle, conn)
	return out
}

// isReady asks whether a data machine is ready.
func (client *client) isReady() bool {
	status, _, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s:%d/ready", client.ip, readyPort), time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// directory is what a zone's clients hold of the directory's answers: the addresses for a host.
type directory struct {
	mutex sync.Mutex
	held  map[string][]string
}

// look asks a data machine of the zone, then the others, where a host's requests go, as clients do before anything else.
func (directory *directory) look(clients []*client, host string, zone zone, nearest int) {
	for offset := range clients {
		one := clients[(nearest+offset)%len(clients)]
		_, body, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s:%d/lookup?name=%s&region=%s&zone=%s", one.ip, directoryPort, host, zone.region, zone.name), time.Second)
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		if err == nil && json.Unmarshal(body, &answer) == nil && len(answer.Addresses) > 0 {
			directory.mutex.Lock()
			directory.held[host+"/"+zone.name] = answer.Addresses
			directory.mutex.Unlock()
			return
		}
	}
}

// pick gives one of the held addresses for a host by chance, empty for none.
func (directory *directory) pick(host string, zone zone) string {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	list := directory.held[host+"/"+zone.name]
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}
