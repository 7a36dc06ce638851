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

// Observations records what an outside observer of a simulated cluster notes, for the checkers. Entries are
// never removed from its lists.
type Observations struct {
	Arrivals      []Arrival
	Outcomes      []AttemptOutcome
	LocateReplies []LocateReply
	Entered       []BodyRead
	Adopted       []Adopted
	// IdentityChecks counts new connections to replicas, on each of which the daemon asks for the
	// identity of the replica.
	IdentityChecks int
	// TerminationLearned holds the time at which the first daemon knew that a replica process is being
	// terminated, by id/boot.
	TerminationLearned map[string]time.Duration
	// terminatedBoot holds the process (boot ID) of each replica that was current when the platform was
	// told to terminate the replica.
	terminatedBoot map[string]string
	// Starts lists, in order, the starts of processes, and their resumptions after a freeze that
	// was longer than any lease.
	Starts []Start
	// adopted holds each process's latest configuration, by name and incarnation; highestSerial is
	// the highest document version that any process has used. frozen holds the processes that are
	// frozen now, with the time at which that began.
	adopted       map[string]Adopted
	highestSerial uint64
	frozen        map[string]Start
	// marks caches the hashes of contents, as they are needed at every observation.
	marks map[string]uint64
}

// Arrival is a request that reached a replica, whether the replica took it or not. Sent is when the
// daemon sent it; a frozen replica reads it only when it resumes, much later.
type Arrival struct {
	At, Sent              time.Duration
	Replica, Boot, Daemon string
	ID, Home              string
	Taken                 bool
	Try                   int
}

// AttemptOutcome is the outcome of one attempt, as the caller got it.
type AttemptOutcome struct {
	Sent, At                          time.Duration
	ID, Ticket, Daemon, Verdict, Code string
}

// LocateReply is a reply to a caller that asked which daemons to use.
type LocateReply struct {
	At       time.Duration
	By, Home string
	Zones    []string
}

// BodyRead is a request whose body a data daemon began to read.
type BodyRead struct {
	At               time.Duration
	ID, Daemon, Home string
}

// Adopted records that a process uses a configuration from this time on.
type Adopted struct {
	At           time.Duration
	Daemon, Life string
	Serial       uint64
	Mark         uint64 // hash of the contents
	tree         *settings.Tree
	evacuated    string // the evacuated zones, separated by |
}

// Start is a process that started, or resumed after a freeze. Least is the highest document version
// that any process had been seen to use by then.
type Start struct {
	At         time.Duration
	Daemon     string
	MinVersion uint64
}

func newObservations() Observations {
	return Observations{TerminationLearned: map[string]time.Duration{}, terminatedBoot: map[string]string{}, adopted: map[string]Adopted{}, frozen: map[string]Start{}, marks: map[string]uint64{}}
}

// mark returns a hash of the contents of a configuration.
func mark(config lease.Config) uint64 {
	hash := fnv.New64a()
	var compact bytes.Buffer // white space does not count as a difference
	_ = json.Compact(&compact, config.Document)
	_, _ = hash.Write(compact.Bytes())
	for _, zone := range config.Evacuated {
		_, _ = hash.Write([]byte("|" + zone))
	}
	return hash.Sum64()
}

// mark returns the hash of the contents, and caches it.
func (seen *Observations) mark(config lease.Config) uint64 {
	key := string(config.Document) + "|" + strings.Join(config.Evacuated, "|")
	sum, isKnown := seen.marks[key]
	if !isKnown {
		sum = mark(config)
		seen.marks[key] = sum
	}
	return sum
}

// recordTermination records the first time at which a daemon learned that a replica process is being
// terminated.
func (park *Cluster) recordTermination(id, boot string) {
	if _, known := park.TerminationLearned[id+"/"+boot]; !known {
		park.TerminationLearned[id+"/"+boot] = park.Now()
	}
}

// MarkLeavingInList marks a replica as leaving in the platform's list only; the replica itself does not
// know of it.
func (park *Cluster) MarkLeavingInList(id string) {
	park.terminatedBoot[id] = park.Replicas[id].Boot
	park.Platform.Leave(id)
}

// observeInterval is how often the observer reads the configurations of the processes.
const observeInterval = 10 * time.Millisecond

// startObserver records changes of every process's configuration from now on, every observeInterval.
func (park *Cluster) startObserver() {
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
		park.startObserver()
	})
}

// observe records the process's configuration if it has changed, and its resumption if it was frozen
// longer than a lease.
func (park *Cluster) observe(name string) {
	node := park.Node(name)
	if !node.Up() {
		return
	}
	var serial uint64
	var tree *settings.Tree
	var config func() lease.Config
	var life, evacuated string
	if daemon := park.Datas[name]; daemon != nil {
		view := daemon.Holder.View()
		serial, tree, config, life = view.Serial, view.Tree, view.Config, daemon.Incarnation
		evacuated = strings.Join(slices.Sorted(maps.Keys(view.Evacuated)), "|")
	} else {
		daemon := park.Controls[name]
		if daemon == nil {
			return
		}
		var contents lease.Config
		serial, contents, tree = daemon.Issuer.Current()
		config, life, evacuated = func() lease.Config { return contents }, daemon.Incarnation, strings.Join(contents.Evacuated, "|")
	}
	if node.Frozen() {
		freeze, known := park.frozen[name]
		if !known {
			freeze.At = park.Now()
		}
		freeze.MinVersion = park.highestSerial
		park.frozen[name] = freeze
		return
	}
	if freeze, wasFrozen := park.frozen[name]; wasFrozen {
		delete(park.frozen, name)
		if park.Now()-freeze.At > 3*time.Second {
			park.Starts = append(park.Starts, Start{park.Now(), name, freeze.MinVersion})
		}
	}
	key := name + "#" + life
	last := park.adopted[key]
	// A tree is immutable once published, so the same pointer means the same contents.
	if serial == last.Serial && (serial == 0 || tree == last.tree && evacuated == last.evacuated) {
		return
	}
	current := Adopted{At: park.Now(), Daemon: name, Life: life, Serial: serial, Mark: park.mark(config()), tree: tree, evacuated: evacuated}
	if serial == last.Serial && current.Mark == last.Mark {
		return
	}
	park.adopted[key] = current
	park.Adopted = append(park.Adopted, current)
	park.highestSerial = max(park.highestSerial, serial)
}

// recordStart records the start of a process.
func (park *Cluster) recordStart(name string) {
	delete(park.frozen, name)
	park.Starts = append(park.Starts, Start{park.Now(), name, park.highestSerial})
}
