package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for one life of a model replica.
type replica struct {
	id, service, version, address, zone, region string
	history                                     *history
	server                                      *http.Server
	running                                     atomic.Int64
	hasEnded                                    atomic.Bool
	isBad                                       atomic.Bool   // part of what it answers fails
	warmAt                                      time.Duration // on the run's clock
	isLeaving                                   bool          // under its fleet's guard
	// answersAfter is how long the replica works on a request before its answer begins.
	answersAfter func() time.Duration
}

// eventGap is the pause between the events of a stand-in's stream.
const eventGap = 5 * time.Millisecond

// oneInTurnedAway is how rarely a stand-in turns a request away, one in so many.
const oneInTurnedAway = 50

// Of so many answers of a bad version, so many fail.
const (
	badCycle = 5
	badPart  = 2
)

// Headers by which a client tells a stand-in what its answer is to be.
const (
	headerEvents = "Soak-Events"
	headerLines  = "Soak-Lines"
)

// ServeHTTP answers probes and requests.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	head := writer.Header()
	load := fmt.Sprintf("%d,0,%d", replica.running.Load(), berths)
	if request.Method == http.MethodGet && request.URL.Path == "/health" {
		head.Set("Served-By", replica.id)
		head.Set("Server-Load", load)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	one := &arrival{
		id: request.Header.Get("Attempt-Id"), replica: replica.id, service: replica.service, version: replica.version, zone: replica.zone, region: replica.region,
		request: request.Method + " " + request.Host + request.RequestURI + " " + string(body), at: replica.history.now(), warmAt: replica.warmAt,
	}
	head.Set("Attempt-Id", one.id)
	expected := request.Header.Get("Expect-Instance")
	one.isOther = expected != "" && expected != replica.id
	one.number = replica.history.arrive(one)
	defer replica.history.leave(one)
	switch {
	case one.isOther:
		head.Set("Not-Run", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	case one.number%oneInTurnedAway == 0:
		head.Set("Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	one.hasRun = true
	if replica.isBad.Load() && one.number%badCycle < badPart {
		head.Set("Postmark", fmt.Sprintf("%s/%d/%d/%s", replica.service, one.at, one.number, one.id))
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	replica.running.Add(1)
	defer replica.running.Add(-1)
	head.Set("Postmark", fmt.Sprintf("%s/%d/%d/%s", replica.service, one.at, one.number, one.id))
	head.Set("Server-Load", load)
	head.Set("Weight-Versions", "1")
	select {
	case <-request.Context().Done():
		return
	case <-time.After(replica.answersAfter()):
	}
	if lines, err := strconv.Atoi(request.Header.Get(headerLines)); err == nil {
		one.isWhole = replica.plain(writer, one, lines)
	} else {
		one.isWhole = replica.stream(writer, request, one)
	}
	one.brokeOff = replica.hasEnded.Load()
}

// lineOf is a line of a plain answer.
func lineOf(id string, run, number, of int) string {
	return fmt.Sprintf("%s %d %d/%d\n", id, run, number, of)
}

// plain answers with lines, of a length that is told beforehand.
func (replica *replica) plain(writer http.ResponseWriter, one *arrival, lines int) (isWhole bool) {
	var text strings.Builder
	for number := 1; number <= lines; number++ {
		text.WriteString(lineOf(one.id, one.number, number, lines))
	}
	writer.Header().Set("Content-Length", strconv.Itoa(text.Len()))
	_, err := io.WriteString(writer, text.String())
	return err == nil
}

// stream answers with events, behind the one that the request names as its last.
func (replica *replica) stream(writer http.ResponseWriter, request *http.Request, one *arrival) (isWhole bool) {
	writer.Header().Set("Content-Type", "text/event-stream")
	events, err := strconv.Atoi(request.Header.Get(headerEvents))
	if err != nil {
		events = 2
	}
	one.after, _ = strconv.Atoi(request.Header.Get("Last-Event-Id"))
	flusher := writer.(http.Flusher)
	for number := one.after + 1; number <= events; number++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, strings.TrimSpace(lineOf(one.id, one.number, number, events))); err != nil {
			return false
		}
		flusher.Flush()
		select {
		case <-request.Context().Done():
			return false
		case <-time.After(eventGap):
		}
	}
	return true
}

// provider is the stand-in of the platform's list, with the replicas that it lists.
type provider struct {
	history  *history
	guard    sync.Mutex
	replicas []*replica
	lives    int
	joined   int             // addresses given to replicas of further versions
	retired  map[string]bool // versions that are over, by service and version
	isDown   atomic.Bool
	pause    atomic.Int64 // how long an answer takes, in nanoseconds
	server   *http.Server
	speeds   sync.Map // by service: how long its replicas work before an answer begins; none for a service that isn't there
}

// slowDown has the replicas of a service begin their answers after the given time.
func (provider *provider) slowDown(service string, answersAfter time.Duration) {
	provider.speeds.Store(service, answersAfter)
}

// answersAfter is how long the replicas of a service work before an answer begins.
func (provider *provider) answersAfter(service string) time.Duration {
	if speed, isSet := provider.speeds.Load(service); isSet {
		return speed.(time.Duration)
	}
	return 0
}

// begin starts another life of a replica at an address, cold for a while.
func (provider *provider) begin(service, version, address, zone, region string, cold time.Duration) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	provider.guard.Lock()
	provider.lives++
	one := &replica{id: fmt.Sprintf("i-%d", provider.lives), service: service, version: version, address: address, zone: zone, region: region, history: provider.history, warmAt: provider.history.now() + cold}
	one.answersAfter = func() time.Duration { return provider.answersAfter(service) }
	provider.replicas = append(provider.replicas, one)
	provider.guard.Unlock()
	one.server = &http.Server{Handler: one}
	go func() { _ = one.server.Serve(listener) }()
	return one, nil
}

// end closes a replica's server and takes it off the list.
func (provider *provider) end(one *replica) {
	one.hasEnded.Store(true)
	_ = one.server.Close()
	provider.guard.Lock()
	defer provider.guard.Unlock()
	provider.replicas = without(provider.replicas, one)
}

// freshAddress gives an address that no replica had before.
func (provider *provider) freshAddress(network string) string {
	provider.guard.Lock()
	defer provider.guard.Unlock()
	provider.joined++
	return fmt.Sprintf("%s.252.%d:%d", network, provider.joined, replicaPort)
}

// retire ends replicas whose version is over.
func (provider *provider) retire(replicas []*replica) {
	for _, one := range replicas {
		provider.guard.Lock()
		provider.retired[one.service+" "+one.version] = true
		provider.guard.Unlock()
		provider.end(one)
	}
}

// isRetired tells whether the version of a replica is over.
func (provider *provider) isRetired(one *replica) bool {
	provider.guard.Lock()
	defer provider.guard.Unlock()
	return provider.retired[one.service+" "+one.version]
}

// all lists the replicas.
func (provider *provider) all() []*replica {
	provider.guard.Lock()
	defer provider.guard.Unlock()
	return append([]*replica{}, provider.replicas...)
}

// leave lists a replica as leaving from now on.
func (provider *provider) leave(one *replica) {
	provider.guard.Lock()
	defer provider.guard.Unlock()
	one.isLeaving = true
	provider.history.leaving(one.id)
}

// ServeHTTP answers with the list.
func (provider *provider) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if wait := time.Duration(provider.pause.Load()); wait > 0 {
		<-time.After(wait)
	}
	if provider.isDown.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	zone := request.URL.Query().Get("zone")
	instances := []any{}
	provider.guard.Lock()
	for _, one := range provider.replicas {
		if zone != "" && one.zone != zone {
			continue
		}
		state := "in_service"
		if one.isLeaving {
			state = "winding_down"
		}
		instances = append(instances, map[string]any{
			"id": one.id, "depot": one.service, "address": one.address, "zone": one.zone, "edition": one.version, "berths": berths, "state": state,
			"cold_left_ms": max(0, one.warmAt-provider.history.now()).Milliseconds(), "phase": "both", "models": []any{map[string]any{"name": "m", "edition": 1, "adapters": []any{}}},
		})
	}
	provider.guard.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"instances": instances, "next_token": nil})
}

// serve begins to serve the list at an address.
func (provider *provider) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	provider.server = &http.Server{Handler: provider}
	go func() { _ = provider.server.Serve(listener) }()
	return nil
}

// close ends the list and all replicas.
func (provider *provider) close() {
	_ = provider.server.Close()
	for _, one := range provider.all() {
		provider.end(one)
	}
}
