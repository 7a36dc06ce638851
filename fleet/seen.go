package fleet

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"swifttiller/lease"
	"swifttiller/settings"
)

// Seen is what an outside watcher of a park notes, for the checkers. Nothing is
// ever taken out of it.
type Seen struct {
	Arrivals []Arrival
	Told     []Told
	Locates  []Located
	Entered  []Entered
	Adopted  []Adopted
	// Greeted counts new connections to replicas, each of which asked whose it is.
	Greeted int
	// Learned is when the first daemon knew that a life of a replica ends, by
	// id/boot.
	Learned map[string]time.Duration
	// marked is the life that was meant when the platform was told.
	marked map[string]string
	// Lives are the beginnings of processes, and their wakings from a freeze
	// longer than any permit, in order.
	Lives []Life
	// adopted is each process's last, by name and life; highest is by anyone.
	adopted       map[string]Adopted
	highestSerial uint64
	frozen        map[string]Life
	// marks are those of contents that were looked at, which is done often.
	marks map[string]uint64
}

// Arrival is a request that reached a replica, taken or not. Sent is when the
// daemon let it go; a frozen replica finds it when it wakes, much later.
type Arrival struct {
	At, Sent              time.Duration
	Replica, Boot, Daemon string
	ID, Home              string
	Taken                 bool
	Try                   int
}

// Told is the end of one try, as the caller was told it.
type Told struct {
	Sent, At                          time.Duration
	ID, Ticket, Daemon, Verdict, Code string
}

// Located is an answer to a caller that asked where to go.
type Located struct {
	At       time.Duration
	By, Home string
	Zones    []string
}

// Entered is a request whose body a data daemon began to read.
type Entered struct {
	At               time.Duration
	ID, Daemon, Home string
}

// Adopted is a process that goes by a configuration from now on.
type Adopted struct {
	At           time.Duration
	Daemon, Life string
	Serial       uint64
	Mark         uint64 // of the contents
	tree         *settings.Tree
	out          string // the evacuated zones
}

// Life is a process that began or woke. Least is the highest serial that anyone
// had been seen to go by then.
type Life struct {
	At     time.Duration
	Daemon string
	Least  uint64
}

func newSeen() Seen {
	return Seen{Learned: map[string]time.Duration{}, marked: map[string]string{}, adopted: map[string]Adopted{}, frozen: map[string]Life{}, marks: map[string]uint64{}}
}

// mark is a hash of a configuration's contents.
func mark(config lease.Config) uint64 {
	sum := fnv.New64a()
	var tight bytes.Buffer // white space is not content
	_ = json.Compact(&tight, config.Document)
	_, _ = sum.Write(tight.Bytes())
	for _, zone := range config.Evacuated {
		_, _ = sum.Write([]byte("|" + zone))
	}
	return sum.Sum64()
}

// mark is that of the contents, kept for the next time.
func (seen *Seen) mark(config lease.Config) uint64 {
	key := string(config.Document) + "|" + strings.Join(config.Evacuated, "|")
	out, isKnown := seen.marks[key]
	if !isKnown {
		out = mark(config)
		seen.marks[key] = out
	}
	return out
}

func (park *Park) learnLeaving(id, boot string) {
	if _, known := park.Learned[id+"/"+boot]; !known {
		park.Learned[id+"/"+boot] = park.Now()
	}
}

// LeaveByPlatform marks a replica at the platform, and nowhere else.
func (park *Park) LeaveByPlatform(id string) {
	park.marked[id] = park.Replicas[id].Boot
	park.Platform.Leave(id)
}

// observeInterval is how often the watcher looks at what the processes go by.
const observeInterval = 10 * time.Millisecond

// watch notes every process's configuration from now on, at every instant that
// the watcher looks.
func (park *Park) watch() {
	park.At(observeInterval, func() {
		var names []string
		for name := range park.Controls {
			names = append(names, name)
		}
		for name := range park.Datas {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			park.observe(name)
		}
		park.watch()
	})
}

func (park *Park) observe(name string) {
	node := park.Node(name)
	if !node.Up() {
		return
	}
	var serial uint64
	var tree *settings.Tree
	var config func() lease.Config
	var life, out string
	if daemon := park.Datas[name]; daemon != nil {
		view := daemon.Holder.View()
		serial, tree, config, life = view.Serial, view.Tree, view.Config, daemon.Incarnation
		out = strings.Join(slices.Sorted(maps.Keys(view.Evacuated)), "|")
	} else {
		daemon := park.Controls[name]
		if daemon == nil {
			return
		}
		var have lease.Config
		serial, have, tree = daemon.Issuer.Current()
		config, life, out = func() lease.Config { return have }, daemon.Incarnation, strings.Join(have.Evacuated, "|")
	}
	if node.Frozen() {
		began, known := park.frozen[name]
		if !known {
			began.At = park.Now()
		}
		began.Least = park.highestSerial
		park.frozen[name] = began
		return
	}
	if began, was := park.frozen[name]; was {
		delete(park.frozen, name)
		if park.Now()-began.At > 3*time.Second {
			park.Lives = append(park.Lives, Life{park.Now(), name, began.Least})
		}
	}
	key := name + "#" + life
	have := park.adopted[key]
	// A tree is never changed once it is shown, so the same one has the same contents.
	if serial == have.Serial && (serial == 0 || tree == have.tree && out == have.out) {
		return
	}
	now := Adopted{At: park.Now(), Daemon: name, Life: life, Serial: serial, Mark: park.mark(config()), tree: tree, out: out}
	if serial == have.Serial && now.Mark == have.Mark {
		return
	}
	park.adopted[key] = now
	park.Adopted = append(park.Adopted, now)
	park.highestSerial = max(park.highestSerial, serial)
}

func (park *Park) born(name string) {
	delete(park.frozen, name)
	park.Lives = append(park.Lives, Life{park.Now(), name, park.highestSerial})
}
