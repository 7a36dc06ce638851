// Package fleet is a proof tool, not product: stand-ins for what the system
// meets outside (replicas, platforms, callers), over HTTP for local fleets and
// in memory for simulations.
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

// ReplicaOptions say what a stand-in replica is like.
type ReplicaOptions struct {
	World    loop.World
	ID, Zone string
	Address  string
	// Boot tells one life of the replica from the next.
	Boot string
	// Capacity is how many cost units it bears at once when warm, ColdShare the
	// share that it bears cold, and ColdAnswers how many answers warm it.
	Capacity    int
	ColdShare   float64
	ColdAnswers int
	// Loading is how long loading a version takes.
	Loading time.Duration
	// Prefill is per 1024 bytes of prompt not in its cache, Decode per token.
	Prefill, Decode time.Duration
	// Cached is how many prompt beginnings it keeps.
	Cached int
	// Reports tells whether its probes report load.
	Reports bool
	// Bad says whether a version fails a kind at a number of running requests, and
	// How in which way; the empty one is an error answer.
	Bad func(version, kind string, running int) bool
	How Way
	// Odd makes requests of the kinds odd-… go wrong on the wire (HTTP only).
	Odd bool
	// Down ends the replica's process, for the way Crashes.
	Down func(id string)
	// Cuts is a kind whose answers it cuts after the first event.
	Cuts string
	// Guards makes it turn away, with 429, what is more than it bears; how many it
	// turned away while cold is the flood that it was offered.
	Guards bool
	// Lingers makes it take requests although it has said that it leaves.
	Lingers bool
	// Slower multiplies all its times; 0 is 1.
	Slower float64
	// Held are versions loaded from the start, as model/version.
	Held []string
	// Mute makes its probes name no versions: the platform's list tells what it
	// serves, the first of Held.
	Mute bool
}

// Way is how a version fails.
type Way string

// The ways. A hanging or slow answer has failed once its user has waited for
// FailedAfter without a piece of it.
const (
	Errs    Way = ""
	Hangs   Way = "hangs"
	Cut     Way = "cut"
	Slow    Way = "slow"
	Empty   Way = "empty"
	Garbled Way = "garbled"
	Crashes Way = "crashes"
)

// FailedAfter is when an answer without a piece has failed for its user.
const FailedAfter = 2 * time.Second

// Served is one request as the replica saw it.
type Served struct {
	At, Sent                   time.Duration // taken; let go by its daemon, where known
	Replica, Boot, ID          string
	Model, Version, Kind, Home string
	Serial                     uint64
	Hit                        bool // its prompt's beginning was cached
	Bytes                      int
	Ended                      string // ok, bad, cut, gone
	// Failed says that the stand-in failed it on purpose, as of FailedAt.
	Failed   bool
	FailedAt time.Duration
	Took     time.Duration
	Daemon   string // who sent it, where the stand-in can know
}

// Replica is a stand-in.
type Replica struct {
	ReplicaOptions
	guard    sync.Mutex
	versions map[string]string // model/version: state
	loadedAt map[string]time.Duration
	orders   map[string]bool
	fences   map[string]uint64
	cache    []uint64
	running  int
	units    int
	answers  int
	Leaving  bool
	// Idle makes it take orders and do nothing.
	Idle bool
	// What was seen, for proofs.
	Log          []*Served
	Loads        []string // orders that were carried out, by name
	Fenced       int
	Peak         int
	Flooded      int           // requests that came, while it was cold, on top of all that it could bear
	Over         int           // the same while it was warm
	TurnedAway   int           // with 429 while it was cold
	ColdTaken    int           // requests taken while it was cold
	Gone         time.Duration // when this life ended
	PrefillBytes int
	HitBytes     int
}

// NewReplica makes a stand-in.
func NewReplica(options ReplicaOptions) *Replica {
	stub := &Replica{ReplicaOptions: options, versions: map[string]string{}, loadedAt: map[string]time.Duration{}, orders: map[string]bool{}, fences: map[string]uint64{}}
	for _, held := range options.Held {
		stub.versions[held] = "ready"
	}
	if stub.Slower == 0 {
		stub.Slower = 1
	}
	return stub
}

// currentCapacity is what the replica can take at once now.
func (stub *Replica) currentCapacity() int {
	if stub.ColdAnswers == 0 || stub.answers >= stub.ColdAnswers {
		return stub.Capacity
	}
	share := stub.ColdShare + (1-stub.ColdShare)*float64(stub.answers)/float64(stub.ColdAnswers)
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
	stub.guard.Lock()
	defer stub.guard.Unlock()
	stub.finishLoading()
	type version struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		State   string `json:"state"`
	}
	out := map[string]any{"boot": stub.Boot, "leaving": stub.Leaving}
	list := []version{}
	for name, state := range stub.versions {
		if stub.Mute {
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
	stub.guard.Lock()
	defer stub.guard.Unlock()
	stub.finishLoading()
	if order.Fence < stub.fences[order.Model] {
		stub.Fenced++
		return 409, []byte(`{"error":{"message":"an older fence"}}`)
	}
	stub.fences[order.Model] = order.Fence
	if stub.orders[order.ID] {
		return 200, []byte(`{}`) // carried out already
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
	// plan
	firstDelay, tokenDelay time.Duration
	tokens                 int
	sent                   int
	fails                  bool
	ended                  bool
}

// Arrive takes a request, or answers at once with a status and an error's body.
func (stub *Replica) Arrive(body []byte, id, kind, home string, serial uint64, daemon string) (*Answer, int, []byte) {
	stub.guard.Lock()
	defer stub.guard.Unlock()
	stub.finishLoading()
	reject := func(status int, message string) (*Answer, int, []byte) {
		text, _ := json.Marshal(map[string]any{"error": map[string]string{"message": message}})
		return nil, status, text
	}
	if stub.Leaving && !stub.Lingers {
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
	if stub.Guards && stub.running > 0 && stub.units+cost > stub.currentCapacity() {
		if isCold {
			stub.TurnedAway++
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
	// One request alone it always bears.
	if stub.units > stub.currentCapacity() && stub.running > 1 {
		if stub.currentCapacity() < stub.Capacity {
			stub.Flooded++
		} else {
			stub.Over++
		}
	}
	stub.Peak = max(stub.Peak, stub.units)
	uncached := len(prompt)
	if served.Hit {
		stub.HitBytes += len(prompt)
		uncached /= 16 // its shared beginning is kept; the rest is read
	}
	stub.PrefillBytes += uncached
	overload := max(1, float64(stub.units)/float64(max(1, stub.currentCapacity())))
	slowdown := stub.Slower * overload
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

// Chunk is how many tokens one event carries.
const Chunk = 16

// Next gives the next event after its time, or io.EOF after the terminal one;
// any other error is the replica's failing.
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
		if answer.fails && stub.How == Cut || stub.Cuts != "" && answer.served.Kind == stub.Cuts {
			if answer.fails {
				answer.served.Failed, answer.served.FailedAt = true, stub.World.Now()
			}
			answer.finish("cut")
			return nil, fmt.Errorf("cut")
		}
	}
	// The text names its request, so that a mix-up is seen by the caller.
	text := fmt.Sprintf("%s:%d ", answer.served.ID, answer.sent)
	answer.sent += Chunk
	body, _ := json.Marshal(map[string]any{"model": answer.served.Model + "@" + answer.version, "choices": []any{map[string]any{"text": text}}})
	return append(append([]byte("data: "), body...), "\n\n"...), nil
}

// fail fails the first piece in the stand-in's way; nothing at all means that it
// comes as usual, and the way shows later.
func (answer *Answer) fail() ([]byte, error) {
	stub := answer.replica
	failed := func(at time.Duration) { answer.served.Failed, answer.served.FailedAt = true, at }
	switch stub.How {
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
		loop.Sleep(stub.World, time.Millisecond) // a killed process never comes back from here
	}
	failed(stub.World.Now())
	answer.finish("bad")
	return nil, fmt.Errorf("failed")
}

// Abort ends an answer whose caller went away.
func (answer *Answer) Abort() { answer.finish("gone") }

func (answer *Answer) finish(outcome string) {
	stub := answer.replica
	stub.guard.Lock()
	defer stub.guard.Unlock()
	if answer.ended {
		return
	}
	answer.ended = true
	answer.served.Ended = outcome
	answer.served.Took = stub.World.Now() - answer.served.At
	stub.running--
	stub.units -= answer.cost
	if outcome == "ok" {
		stub.answers++
	}
}

// Running tells how many requests run.
func (stub *Replica) Running() int {
	stub.guard.Lock()
	defer stub.guard.Unlock()
	return stub.running
}

// Units tells how many cost units run.
func (stub *Replica) Units() int {
	stub.guard.Lock()
	defer stub.guard.Unlock()
	return stub.units
}

// Leave begins the replica's end.
func (stub *Replica) Leave() {
	stub.guard.Lock()
	defer stub.guard.Unlock()
	stub.Leaving = true
}
