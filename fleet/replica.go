// Package fleet is a test tool and not part of the product. It simulates what the system
// depends on (replicas, platforms and callers), over HTTP for local clusters and in memory for
// simulations.
package fleet

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"swifttiller/loop"
	"swifttiller/replica"
)

// ReplicaOptions describe a simulated replica.
type ReplicaOptions struct {
	World    loop.World
	ID, Zone string
	Address  string
	// Boot identifies the replica's process; it differs after every restart.
	Boot string
	// Capacity is the number of cost units that the warm replica can run at once. ColdShare is
	// the share of it that a cold replica can run, and ColdAnswers the number of answers after
	// which it is warm.
	Capacity    int
	ColdShare   float64
	ColdAnswers int
	// Loading is the time that it takes to load a version.
	Loading time.Duration
	// Prefill is the time per 1024 bytes of prompt that aren't in the prefix cache, Decode the
	// time per token.
	Prefill, Decode time.Duration
	// Cached is the number of prompt prefixes in the cache.
	Cached int
	// Reports is whether health checks report the load.
	Reports bool
	// Bad reports whether a version fails requests of a kind at a number of running requests.
	// How says in which way; the zero value is an error response.
	Bad     func(version, kind string, running int) bool
	Failure FailureMode
	// Odd makes requests of the kinds odd-… fail at the level of the connection (HTTP only).
	Odd bool
	// Down kills the replica's process, for the failure Crashes.
	Down func(id string)
	// Cuts is a kind of requests whose answers are cut off after the first event.
	Cuts string
	// RejectsOverload makes the replica reject requests beyond its current capacity with status 429.
	// The number rejected while it was cold shows how much overload it was offered.
	RejectsOverload bool
	// ServesWhileLeaving makes the replica accept requests after it has announced that it is leaving.
	ServesWhileLeaving bool
	// Slowdown multiplies all times; 0 means 1.
	Slowdown float64
	// Held are the versions that are loaded from the start, as model/version.
	Held []string
	// HidesVersions makes health checks report no versions. The platform's list then says that the
	// replica serves the first of Held.
	HidesVersions bool
}

// FailureMode is the way in which a version fails.
type FailureMode string

// The ways in which a version fails. A hanging or slow answer counts as failed once its caller
// has waited FailedAfter without receiving anything.
const (
	Errs    FailureMode = ""
	Hangs   FailureMode = "hangs"
	Cut     FailureMode = "cut"
	Slow    FailureMode = "slow"
	Empty   FailureMode = "empty"
	Garbled FailureMode = "garbled"
	Crashes FailureMode = "crashes"
)

// FailedAfter is the time without any output after which an answer has failed for its caller.
const FailedAfter = 2 * time.Second

// Served is one request as the replica saw it.
type Served struct {
	At, Sent                   time.Duration // when it was accepted; when its daemon sent it, if known
	Replica, Boot, ID          string
	Model, Version, Kind, Home string
	Serial                     uint64
	Hit                        bool // the prompt's prefix was cached
	Bytes                      int
	Ended                      string // ok, bad, cut, gone
	// Failed is set if the replica failed the request on purpose, at FailedAt.
	Failed   bool
	FailedAt time.Duration
	Took     time.Duration
	Daemon   string // the daemon that sent it, if known
}

// Replica is a simulated replica.
type Replica struct {
	ReplicaOptions
	mutex    sync.Mutex
	versions map[string]string // state by model/version
	loadedAt map[string]time.Duration
	orders   map[string]bool
	fences   map[string]uint64
	cache    []uint64
	running  int
	units    int
	answered int
	Leaving  bool
	// Idle makes the replica accept orders without carrying them out.
	Idle bool
	// Counters and logs for the checkers.
	Log            []*Served
	Loads          []string // IDs of the orders that were carried out
	Fenced         int
	Peak           int
	ColdOverload   int           // requests above the capacity that arrived while it was cold
	WarmOverload   int           // requests above the capacity that arrived while it was warm
	ColdRejections int           // requests rejected with 429 while it was cold
	ColdTaken      int           // requests accepted while it was cold
	Gone           time.Duration // when this process ended
	PrefillBytes   int
	HitBytes       int
}

// NewReplica makes a simulated replica.
func NewReplica(options ReplicaOptions) *Replica {
	stub := &Replica{ReplicaOptions: options, versions: map[string]string{}, loadedAt: map[string]time.Duration{}, orders: map[string]bool{}, fences: map[string]uint64{}}
	for _, held := range options.Held {
		stub.versions[held] = "ready"
	}
	if stub.Slowdown == 0 {
		stub.Slowdown = 1
	}
	return stub
}

// currentCapacity returns the cost units that the replica can run at once, which increase
// while it warms up.
func (stub *Replica) currentCapacity() int {
	if stub.ColdAnswers == 0 || stub.answered >= stub.ColdAnswers {
		return stub.Capacity
	}
	share := stub.ColdShare + (1-stub.ColdShare)*float64(stub.answered)/float64(stub.ColdAnswers)
	return max(1, int(share*float64(stub.Capacity)))
}

func (stub *Replica) finishLoading() {
	for name, at := range stub.loadedAt {
		if stub.World.Now() >= at && stub.versions[name] == "loading" {
			stub.versions[name] = "ready"
			delete(stub.loadedAt, name)
		}
	}
}

// Probe answers GET /health.
func (stub *Replica) Probe() []byte {
	stub.mutex.Lock()
	defer stub.mutex.Unlock()
	stub.finishLoading()
	type version struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		State   string `json:"state"`
	}
	out := map[string]any{"boot": stub.Boot, "leaving": stub.Leaving}
	list := []version{}
	for name, state := range stub.versions {
		if stub.HidesVersions {
			break
		}
		model, at, _ := strings.Cut(name, "/")
		list = append(list, version{model, at, state})
	}
	out["versions"] = list
	if stub.Reports {
		out["load"] = float64(stub.units) / float64(stub.Capacity)
	}
	body, _ := json.Marshal(out)
	return body
}

// Order answers POST /weights.
func (stub *Replica) Order(order replica.Order) (int, []byte) {
	stub.mutex.Lock()
	defer stub.mutex.Unlock()
	stub.finishLoading()
	if order.Fence < stub.fences[order.Model] {
		stub.Fenced++
		return 409, []byte(`{"error":{"message":"an older fence"}}`)
	}
	stub.fences[order.Model] = order.Fence
	if stub.orders[order.ID] {
		return 200, []byte(`{}`) // already carried out: orders are idempotent
	}
	if stub.Idle {
		return 200, []byte(`{}`)
	}
	stub.orders[order.ID] = true
	stub.Loads = append(stub.Loads, order.ID)
	name := order.Model + "/" + order.Version
	switch order.State {
	case replica.Load:
		if stub.versions[name] != "ready" {
			stub.versions[name] = "loading"
			stub.loadedAt[name] = stub.World.Now() + stub.Loading
		}
	case replica.Standby:
		if stub.versions[name] != "" {
			stub.versions[name] = "standby"
			delete(stub.loadedAt, name)
		}
	case replica.Drop:
		delete(stub.versions, name)
		delete(stub.loadedAt, name)
	default:
		return 422, []byte(`{"error":{"message":"no such state"}}`)
	}
	return 200, []byte(`{}`)
}

// Answer is a running request.
type Answer struct {
	replica *Replica
	served  *Served
	cost    int
	version string
	// timing and length, decided at arrival
	firstDelay, tokenDelay time.Duration
	tokens                 int
	sent                   int
	fails                  bool
	ended                  bool
}

// Arrive accepts a request, or rejects it with a status and an error body.
func (stub *Replica) Arrive(body []byte, id, kind, home string, serial uint64, daemon string) (*Answer, int, []byte) {
	stub.mutex.Lock()
	defer stub.mutex.Unlock()
	stub.finishLoading()
	reject := func(status int, message string) (*Answer, int, []byte) {
		text, _ := json.Marshal(map[string]any{"error": map[string]string{"message": message}})
		return nil, status, text
	}
	if stub.Leaving && !stub.ServesWhileLeaving {
		return reject(503, "leaving")
	}
	root := gjson.ParseBytes(body)
	model, version, _ := strings.Cut(root.Get("model").String(), "@")
	if state := stub.versions[model+"/"+version]; state != "ready" {
		return reject(503, fmt.Sprintf("%s@%s is not loaded", model, version))
	}
	prompt := root.Get("prompt").Raw
	if prompt == "" {
		prompt = root.Get("messages").Raw
	}
	tokens := int(root.Get("max_tokens").Int())
	if tokens <= 0 {
		tokens = 16
	}
	cost := min(8, 1+len(prompt)/8192+tokens/512)
	isCold := stub.currentCapacity() < stub.Capacity
	if stub.RejectsOverload && stub.running > 0 && stub.units+cost > stub.currentCapacity() {
		if isCold {
			stub.ColdRejections++
		}
		return reject(429, "full")
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(prompt[:min(len(prompt), 1024)]))
	served := &Served{At: stub.World.Now(), Replica: stub.ID, Boot: stub.Boot, ID: id, Model: model, Version: version, Kind: kind, Home: home, Serial: serial, Bytes: len(prompt), Daemon: daemon}
	served.Hit = stub.touchCache(hash.Sum64())
	stub.Log = append(stub.Log, served)
	if stub.currentCapacity() < stub.Capacity {
		stub.ColdTaken++
	}
	stub.running++
	stub.units += cost
	// A request that runs alone doesn't count as overload, whatever its cost.
	if stub.units > stub.currentCapacity() && stub.running > 1 {
		if stub.currentCapacity() < stub.Capacity {
			stub.ColdOverload++
		} else {
			stub.WarmOverload++
		}
	}
	stub.Peak = max(stub.Peak, stub.units)
	uncached := len(prompt)
	if served.Hit {
		stub.HitBytes += len(prompt)
		uncached /= 16 // the shared prefix is cached; only the rest is prefilled
	}
	stub.PrefillBytes += uncached
	overload := max(1, float64(stub.units)/float64(max(1, stub.currentCapacity())))
	slowdown := stub.Slowdown * overload
	out := &Answer{replica: stub, served: served, cost: cost, version: version, tokens: tokens,
		firstDelay: time.Duration(slowdown * float64(stub.Prefill) * float64(uncached) / 1024), tokenDelay: time.Duration(slowdown * float64(stub.Decode))}
	out.fails = stub.Bad != nil && stub.Bad(version, kind, stub.running)
	return out, 200, nil
}

func (stub *Replica) touchCache(prefix uint64) bool {
	for index, cached := range stub.cache {
		if cached == prefix {
			stub.cache = append(append(stub.cache[:index:index], stub.cache[index+1:]...), prefix)
			return true
		}
	}
	stub.cache = append(stub.cache, prefix)
	if over := len(stub.cache) - max(1, stub.Cached); over > 0 {
		stub.cache = stub.cache[over:]
	}
	return false
}

// Chunk is the number of tokens in one event.
const Chunk = 16

// Next waits until the next event is due and returns it, or io.EOF after the terminal event.
// Any other error is a failure of the replica.
func (answer *Answer) Next() ([]byte, error) {
	stub := answer.replica
	switch {
	case answer.ended:
		return nil, io.EOF
	case answer.sent == 0:
		loop.Sleep(stub.World, max(answer.firstDelay, time.Microsecond))
		if answer.fails {
			if event, err := answer.fail(); event != nil || err != nil {
				return event, err
			}
		}
	case answer.sent >= answer.tokens:
		answer.finish("ok")
		return []byte("data: [DONE]\n\n"), nil
	default:
		loop.Sleep(stub.World, answer.tokenDelay*Chunk)
		if answer.fails && stub.Failure == Cut || stub.Cuts != "" && answer.served.Kind == stub.Cuts {
			if answer.fails {
				answer.served.Failed, answer.served.FailedAt = true, stub.World.Now()
			}
			answer.finish("cut")
			return nil, fmt.Errorf("cut")
		}
	}
	// The text contains the request's ID, so that the caller notices an answer to another
	// request.
	text := fmt.Sprintf("%s:%d ", answer.served.ID, answer.sent)
	answer.sent += Chunk
	body, _ := json.Marshal(map[string]any{"model": answer.served.Model + "@" + answer.version, "choices": []any{map[string]any{"text": text}}})
	return append(append([]byte("data: "), body...), "\n\n"...), nil
}

// fail fails the first event in the configured way. Two nil results mean that the event is
// sent as usual and the failure follows later.
func (answer *Answer) fail() ([]byte, error) {
	stub := answer.replica
	failed := func(at time.Duration) { answer.served.Failed, answer.served.FailedAt = true, at }
	switch stub.Failure {
	case Hangs:
		failed(answer.served.At + FailedAfter)
		for !answer.ended {
			loop.Sleep(stub.World, time.Second)
		}
		return nil, fmt.Errorf("gone")
	case Slow:
		failed(answer.served.At + FailedAfter)
		loop.Sleep(stub.World, 2*FailedAfter)
		return nil, nil
	case Cut:
		return nil, nil
	case Empty:
		failed(stub.World.Now())
		answer.finish("ok")
		return []byte("data: [DONE]\n\n"), nil
	case Garbled:
		failed(stub.World.Now())
		answer.sent = answer.tokens
		return []byte("data: {\"choices\":[{\"te\n\n"), nil
	case Crashes:
		failed(stub.World.Now())
		stub.Down(stub.ID)
		loop.Sleep(stub.World, time.Millisecond) // a killed process doesn't return from here
	}
	failed(stub.World.Now())
	answer.finish("bad")
	return nil, fmt.Errorf("failed")
}

// Abort ends an answer whose caller has disconnected.
func (answer *Answer) Abort() { answer.finish("gone") }

func (answer *Answer) finish(outcome string) {
	stub := answer.replica
	stub.mutex.Lock()
	defer stub.mutex.Unlock()
	if answer.ended {
		return
	}
	answer.ended = true
	answer.served.Ended = outcome
	answer.served.Took = stub.World.Now() - answer.served.At
	stub.running--
	stub.units -= answer.cost
	if outcome == "ok" {
		stub.answered++
	}
}

// Running returns the number of running requests.
func (stub *Replica) Running() int {
	stub.mutex.Lock()
	defer stub.mutex.Unlock()
	return stub.running
}

// Units returns the number of running cost units.
func (stub *Replica) Units() int {
	stub.mutex.Lock()
	defer stub.mutex.Unlock()
	return stub.units
}

// Leave marks the replica as leaving.
func (stub *Replica) Leave() {
	stub.mutex.Lock()
	defer stub.mutex.Unlock()
	stub.Leaving = true
}
