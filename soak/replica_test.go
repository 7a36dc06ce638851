package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for one life of a model replica.
type replica struct {
	id, service, address, zone, region string
	history                            *history
	server                             *http.Server
	running                            atomic.Int64
	isLeaving                          bool // under its fleet's guard
}

// eventGap is the pause between the events of a stand-in's stream.
const eventGap = 5 * time.Millisecond

// ServeHTTP answers probes and requests.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	head := writer.Header()
	load := fmt.Sprintf("%d,0,%d", replica.running.Load(), berths)
	if request.Method == http.MethodGet && request.URL.Path == "/health" {
		head.Set("Served-By", replica.id)
		head.Set("Server-Load", load)
		return
	}
	head.Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != replica.id {
		head.Set("Not-Run", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := replica.history.now()
	replica.running.Add(1)
	defer replica.running.Add(-1)
	head.Set("Postmark", fmt.Sprintf("%s/%d", replica.service, arrived))
	head.Set("Server-Load", load)
	head.Set("Weight-Versions", "1")
	head.Set("Content-Type", "text/event-stream")
	events := 2
	if asked, err := strconv.Atoi(request.Header.Get("Soak-Events")); err == nil {
		events = asked
	}
	flusher := writer.(http.Flusher)
	for number := 1; number <= events; number++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, replica.service); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(eventGap):
		}
	}
}

// provider is the stand-in of the platform's list, with the replicas that it lists.
type provider struct {
	history  *history
	guard    sync.Mutex
	replicas []*replica
	lives    int
	isDown   atomic.Bool
	pause    atomic.Int64 // how long an answer takes, in nanoseconds
	server   *http.Server
}

// begin starts another life of a replica at an address.
func (provider *provider) begin(service, address, zone, region string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	provider.guard.Lock()
	provider.lives++
	one := &replica{id: fmt.Sprintf("i-%d", provider.lives), service: service, address: address, zone: zone, region: region, history: provider.history}
	provider.replicas = append(provider.replicas, one)
	provider.guard.Unlock()
	one.server = &http.Server{Handler: one}
	go func() { _ = one.server.Serve(listener) }()
	return nil
}

// end closes a replica's server and takes it off the list.
func (provider *provider) end(one *replica) {
	_ = one.server.Close()
	provider.guard.Lock()
	defer provider.guard.Unlock()
	provider.replicas = without(provider.replicas, one)
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
			"id": one.id, "depot": one.service, "address": one.address, "zone": one.zone, "edition": "v1", "berths": berths, "state": state,
			"cold_left_ms": 0, "phase": "both", "models": []any{map[string]any{"name": "m", "edition": 1, "adapters": []any{}}},
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
