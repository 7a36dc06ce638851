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
	one := &Replica{ReplicaOptions: options, versions: map[string]string{}, loadedAt: map[string]time.Duration{}, orders: map[string]bool{}, fences: map[string]uint64{}}
	for _, held := range options.Held {
		one.versions[held] = "ready"
	}
	if one.Slower == 0 {
		one.Slower = 1
	}
	return one
}

// bears is what the replica can take at once now.
func (one *Replica) bears() int {
	if one.ColdAnswers == 0 || one.answers >= one.ColdAnswers {
		return one.Capacity
	}
	share := one.ColdShare + (1-one.ColdShare)*float64(one.answers)/float64(one.ColdAnswers)
	return max(1, int(share*float64(one.Capacity)))
}

func (one *Replica) settle() {
	for name, at := range one.loadedAt {
		if one.World.Now() >= at && one.versions[name] == "loading" {
			one.versions[name] = "ready"
			delete(one.loadedAt, name)
		}
	}
}

// Probe answers GET /health.
func (one *Replica) Probe() []byte {
	one.guard.Lock()
	defer one.guard.Unlock()
	one.settle()
	type version struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		State   string `json:"state"`
	}
	out := map[string]any{"boot": one.Boot, "leaving": one.Leaving}
	list := []version{}
	for name, state := range one.versions {
		if one.Mute {
			break
		}
		model, at, _ := strings.Cut(name, "/")
		list = append(list, version{model, at, state})
	}
	out["versions"] = list
	if one.Reports {
		out["load"] = float64(one.units) / float64(one.Capacity)
	}
	body, _ := json.Marshal(out)
	return body
}

// Order answers POST /weights.
func (one *Replica) Order(order replica.Order) (int, []byte) {
	one.guard.Lock()
	defer one.guard.Unlock()
	one.settle()
	if order.Fence < one.fences[order.Model] {
		one.Fenced++
		return 409, []byte(`{"error":{"message":"an older fence"}}`)
	}
	one.fences[order.Model] = order.Fence
	if one.orders[order.ID] {
		return 200, []byte(`{}`) // carried out already
	}
	if one.Idle {
		return 200, []byte(`{}`)
	}
	one.orders[order.ID] = true
	one.Loads = append(one.Loads, order.ID)
	name := order.Model + "/" + order.Version
	switch order.State {
	case replica.Load:
		if one.versions[name] != "ready" {
			one.versions[name] = "loading"
			one.loadedAt[name] = one.World.Now() + one.Loading
		}
	case replica.Standby:
		if one.versions[name] != "" {
			one.versions[name] = "standby"
			delete(one.loadedAt, name)
		}
	case replica.Drop:
		delete(one.versions, name)
		delete(one.loadedAt, name)
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
	wait, step time.Duration
	tokens     int
	sent       int
	fails      bool
	ended      bool
}

// Arrive takes a request, or answers at once with a status and an error's body.
func (one *Replica) Arrive(body []byte, id, kind, home string, serial uint64, daemon string) (*Answer, int, []byte) {
	one.guard.Lock()
	defer one.guard.Unlock()
	one.settle()
	decline := func(status int, message string) (*Answer, int, []byte) {
		text, _ := json.Marshal(map[string]any{"error": map[string]string{"message": message}})
		return nil, status, text
	}
	if one.Leaving && !one.Lingers {
		return decline(503, "leaving")
	}
	root := gjson.ParseBytes(body)
	model, version, _ := strings.Cut(root.Get("model").String(), "@")
	if state := one.versions[model+"/"+version]; state != "ready" {
		return decline(503, fmt.Sprintf("%s@%s is not loaded", model, version))
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
	isCold := one.bears() < one.Capacity
	if one.Guards && one.running > 0 && one.units+cost > one.bears() {
		if isCold {
			one.TurnedAway++
		}
		return decline(429, "full")
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(prompt[:min(len(prompt), 1024)]))
	served := &Served{At: one.World.Now(), Replica: one.ID, Boot: one.Boot, ID: id, Model: model, Version: version, Kind: kind, Home: home, Serial: serial, Bytes: len(prompt), Daemon: daemon}
	served.Hit = one.recall(sum.Sum64())
	one.Log = append(one.Log, served)
	if one.bears() < one.Capacity {
		one.ColdTaken++
	}
	one.running++
	one.units += cost
	// One request alone it always bears.
	if one.units > one.bears() && one.running > 1 {
		if one.bears() < one.Capacity {
			one.Flooded++
		} else {
			one.Over++
		}
	}
	one.Peak = max(one.Peak, one.units)
	fresh := len(prompt)
	if served.Hit {
		one.HitBytes += len(prompt)
		fresh /= 16 // its shared beginning is kept; the rest is read
	}
	one.PrefillBytes += fresh
	crowd := max(1, float64(one.units)/float64(max(1, one.bears())))
	slower := one.Slower * crowd
	out := &Answer{replica: one, served: served, cost: cost, version: version, tokens: tokens,
		wait: time.Duration(slower * float64(one.Prefill) * float64(fresh) / 1024), step: time.Duration(slower * float64(one.Decode))}
	out.fails = one.Bad != nil && one.Bad(version, kind, one.running)
	return out, 200, nil
}

func (one *Replica) recall(mark uint64) bool {
	for index, have := range one.cache {
		if have == mark {
			one.cache = append(append(one.cache[:index:index], one.cache[index+1:]...), mark)
			return true
		}
	}
	one.cache = append(one.cache, mark)
	if over := len(one.cache) - max(1, one.Cached); over > 0 {
		one.cache = one.cache[over:]
	}
	return false
}

// Chunk is how many tokens one event carries.
const Chunk = 16

// Next gives the next event after its time, or io.EOF after the terminal one;
// any other error is the replica's failing.
func (answer *Answer) Next() ([]byte, error) {
	one := answer.replica
	switch {
	case answer.ended:
		return nil, io.EOF
	case answer.sent == 0:
		loop.Sleep(one.World, max(answer.wait, time.Microsecond))
		if answer.fails {
			if event, err := answer.fail(); event != nil || err != nil {
				return event, err
			}
		}
	case answer.sent >= answer.tokens:
		answer.end("ok")
		return []byte("data: [DONE]\n\n"), nil
	default:
		loop.Sleep(one.World, answer.step*Chunk)
		if answer.fails && one.How == Cut || one.Cuts != "" && answer.served.Kind == one.Cuts {
			if answer.fails {
				answer.served.Failed, answer.served.FailedAt = true, one.World.Now()
			}
			answer.end("cut")
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
	one := answer.replica
	failed := func(at time.Duration) { answer.served.Failed, answer.served.FailedAt = true, at }
	switch one.How {
	case Hangs:
		failed(answer.served.At + FailedAfter)
		for !answer.ended {
			loop.Sleep(one.World, time.Second)
		}
		return nil, fmt.Errorf("gone")
	case Slow:
		failed(answer.served.At + FailedAfter)
		loop.Sleep(one.World, 2*FailedAfter)
		return nil, nil
	case Cut:
		return nil, nil
	case Empty:
		failed(one.World.Now())
		answer.end("ok")
		return []byte("data: [DONE]\n\n"), nil
	case Garbled:
		failed(one.World.Now())
		answer.sent = answer.tokens
		return []byte("data: {\"choices\":[{\"te\n\n"), nil
	case Crashes:
		failed(one.World.Now())
		one.Down(one.ID)
		loop.Sleep(one.World, time.Millisecond) // a killed process never comes back from here
	}
	failed(one.World.Now())
	answer.end("bad")
	return nil, fmt.Errorf("failed")
}

// Abort ends an answer whose caller went away.
func (answer *Answer) Abort() { answer.end("gone") }

func (answer *Answer) end(how string) {
	one := answer.replica
	one.guard.Lock()
	defer one.guard.Unlock()
	if answer.ended {
		return
	}
	answer.ended = true
	answer.served.Ended = how
	answer.served.Took = one.World.Now() - answer.served.At
	one.running--
	one.units -= answer.cost
	if how == "ok" {
		one.answers++
	}
}

// Running tells how many requests run.
func (one *Replica) Running() int {
	one.guard.Lock()
	defer one.guard.Unlock()
	return one.running
}

// Units tells how many cost units run.
func (one *Replica) Units() int {
	one.guard.Lock()
	defer one.guard.Unlock()
	return one.units
}

// Leave begins the replica's end.
func (one *Replica) Leave() {
	one.guard.Lock()
	defer one.guard.Unlock()
	one.Leaving = true
}
