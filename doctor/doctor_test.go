package doctor_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/decide"
	"swifttiller/doctor"
	"swifttiller/election"
	"swifttiller/fleet"
	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/rollout"
	"swifttiller/sim"
)

// look requests the status of a control daemon and passes it through JSON, as the command does.
func look(cluster *fleet.Cluster, at string) doctor.Snapshot {
	var out doctor.Snapshot
	if err := cluster.Do(at, 30*time.Second, func(daemon *controlplane.Daemon) error {
		body, err := json.Marshal(daemon.Status())
		if err != nil {
			return err
		}
		out.At = cluster.Node(at).WallTime()
		return json.Unmarshal(body, &out.Status)
	}); err != nil {
		panic(err)
	}
	return out
}

func examine(cluster *fleet.Cluster, at string) []doctor.Finding {
	first := look(cluster, at)
	cluster.Run(1500 * time.Millisecond)
	return doctor.Examine(first, look(cluster, at))
}

func names(findings []doctor.Finding) (list []string) {
	for _, finding := range findings {
		list = append(list, fmt.Sprintf("%s (%s)", finding.Name, finding.Evidence))
	}
	return list
}

func TestSoundFleetsYieldNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("a long simulation that runs one goroutine at a time, which gives the race detector nothing to check")
	}
	for name, plan := range fleet.Plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := fleet.NewCluster(1, plan())
			defer cluster.Close()
			cluster.Run(15 * time.Second)
			for turn := 0; turn < 3; turn++ {
				if found := examine(cluster, "c2"); len(found) > 0 {
					t.Errorf("found %v", names(found))
				}
				cluster.Run(3 * time.Second)
			}
		})
	}
}

func TestEachFindingHasItsCause(t *testing.T) {
	if testing.Short() {
		t.Skip("a long simulation that runs one goroutine at a time, which gives the race detector nothing to check")
	}
	type cause struct {
		finding string
		do      func(cluster *fleet.Cluster)
		change  func(plan *fleet.Plan)
		at      string
	}
	replace := func(old, fresh string) func(plan *fleet.Plan) {
		return func(plan *fleet.Plan) { plan.Document = strings.Replace(plan.Document, old, fresh, 1) }
	}
	for _, test := range []cause{
		{"no core majority", func(cluster *fleet.Cluster) {
			cluster.Crash("c2")
			cluster.Crash("c3")
			cluster.Run(4 * time.Second)
		}, nil, ""},
		{"not reached", func(cluster *fleet.Cluster) { cluster.Crash("c3"); cluster.Run(3 * time.Second) }, nil, ""},
		{"seed names nobody", func(cluster *fleet.Cluster) { cluster.Crash("c3"); cluster.Run(10 * time.Second) }, nil, ""},
		{"a copy is missing", func(cluster *fleet.Cluster) { cluster.Crash("c3"); cluster.Run(70 * time.Second) }, nil, ""},
		{"acceptor outside the core", func(cluster *fleet.Cluster) {
			// The core can't query the acceptor, so it does not add it.
			dropCalls(cluster, "c3", "Register.Describe")
			cluster.Crash("c3")
			cluster.Node("c3").Disk.Wipe()
			cluster.StartControl("c3")
			cluster.Run(4 * time.Second)
		}, nil, ""},
		{"disk does not keep", func(cluster *fleet.Cluster) { cluster.Node("c3").Disk.Full = true; cluster.Run(3 * time.Second) }, nil, ""},
		{"slow disk", func(cluster *fleet.Cluster) {
			cluster.Node("c3").Disk.SyncDelay = 400 * time.Millisecond
			cluster.Run(3 * time.Second)
		}, nil, ""},
		{"clock apart", func(cluster *fleet.Cluster) { cluster.Node("c2").Skew = time.Minute }, nil, ""},
		{"no permit", func(cluster *fleet.Cluster) {
			// The daemon can send its heartbeats but can't get its leases: every control daemon
			// except the one that receives its heartbeats is cut off from the core.
			cluster.Split([]string{"c4"}, []string{"c1", "c2", "c3"}, true)
			cluster.Split([]string{"d1"}, []string{"c1", "c2", "c3"}, true)
			cluster.Run(4 * time.Second)
		}, nil, "c4"},
		{"holder without session", func(cluster *fleet.Cluster) { cluster.Crash("d1"); cluster.Run(4 * time.Second) }, nil, ""},
		{"no data daemons", func(cluster *fleet.Cluster) {
			for _, name := range []string{"d1", "d2", "d3", "d4", "d5", "d6"} {
				cluster.Crash(name)
			}
			cluster.Run(4 * time.Second)
		}, nil, ""},
		{"replica listed but dark", func(cluster *fleet.Cluster) { cluster.Crash("west-1-r1"); cluster.Run(3 * time.Second) }, nil, ""},
		{"zone without replicas", func(cluster *fleet.Cluster) {
			for index := 1; index <= 5; index++ {
				cluster.Crash(fmt.Sprintf("west-1-r%d", index))
			}
			cluster.Run(3 * time.Second)
		}, nil, ""},
		{"home without replicas", func(cluster *fleet.Cluster) {
			for index := 1; index <= 5; index++ {
				cluster.Crash(fmt.Sprintf("west-1-r%d", index))
			}
			cluster.Run(3 * time.Second)
		}, replace(`"homes":{`, `"homes":{"far":["west"],`), ""},
		{"version wanted but not held", func(cluster *fleet.Cluster) {
			// The replica accepts the command and does nothing.
			cluster.Replicas["east-1-r2"].Idle = true
			cluster.Must("c1", func(daemon *controlplane.Daemon) error {
				_, err := daemon.Handover("h", "roster", "v2", []string{"east"})
				return err
			})
			cluster.Run(45 * time.Second)
		}, replace(`"trial_ms":6000,"trial_most_ms":20000`, `"trial_ms":500,"trial_most_ms":1000`), ""},
		{"roll-out stuck", func(cluster *fleet.Cluster) {
			for _, replica := range cluster.Replicas {
				replica.Idle = true
			}
			cluster.Must("c1", func(daemon *controlplane.Daemon) error {
				_, err := daemon.Handover("h", "roster", "v2", nil)
				return err
			})
			// East waits for its version to load, the other regions wait for east's trial.
			cluster.Run(14 * time.Second)
		}, replace(`"trial_most_ms":20000,"watch_ms":8000`, `"trial_most_ms":6000,"load_ms":8000,"watch_ms":1000`), ""},
		{"rolled back", func(cluster *fleet.Cluster) {
			cluster.Must("c1", func(daemon *controlplane.Daemon) error {
				_, err := daemon.Objects.Change("roster", "", 0, func(model *rollout.Model) error { model.RolledBack = true; return nil })
				return err
			})
		}, nil, ""},
		{"retry budget spent", func(cluster *fleet.Cluster) {
			for _, name := range []string{"d1", "d2"} {
				cluster.Node(name).Go(func() { sendRetries(cluster, name) })
			}
		}, nil, ""},
		{"slow replica", func(cluster *fleet.Cluster) {
			cluster.Replicas["east-1-r3"].Slowdown = 30
			cluster.Run(8 * time.Second)
		}, func(plan *fleet.Plan) {
			for index := range plan.Callers {
				plan.Callers[index].PromptGroups = 40
			}
		}, ""},
		{"acceptor behind", func(cluster *fleet.Cluster) {
			// c2 discards its state, as a change of the core demands, and receives no
			// messages of the new core.
			dropCalls(cluster, "c2", "Register.Install", "Register.Fetch", "Register.Digest")
			cluster.Crash("c3")
			cluster.Node("c3").Disk.Wipe()
			cluster.StartControl("c3")
			cluster.Run(6 * time.Second)
		}, nil, ""},
		{"serial behind", func(cluster *fleet.Cluster) {
			dropCalls(cluster, "c4", "Register.")
			if err := cluster.Apply(&fleet.Facts{}, "c1"); err != nil {
				panic(err)
			}
			cluster.Run(time.Second)
		}, nil, ""},
		{"platform does not list", func(cluster *fleet.Cluster) { cluster.Platform.Broken = true; cluster.Run(3 * time.Second) }, nil, ""},
		{"settings clash", func(*fleet.Cluster) {}, replace(`"trial_ms":6000`, `"trial_ms":60000`), ""},
	} {
		t.Run(test.finding, func(t *testing.T) {
			t.Parallel()
			plan := fleet.Sahayogi()
			if test.change != nil {
				test.change(&plan)
			}
			cluster := fleet.NewCluster(2, plan)
			defer cluster.Close()
			cluster.Run(8 * time.Second)
			test.do(cluster)
			at := test.at
			if at == "" {
				at = "c1"
			}
			found := examine(cluster, at)
			for _, finding := range found {
				if finding.Name == test.finding {
					if finding.Severity == "" || finding.Evidence == "" || finding.Advice == "" {
						t.Errorf("finding lacks a severity, evidence or advice: %+v", finding)
					}
					return
				}
			}
			t.Errorf("finding is missing; found: %v", names(found))
		})
	}
}

// sendRetries keeps sending calls that are marked as retries.
func sendRetries(cluster *fleet.Cluster, name string) {
	daemon := cluster.Datas[name]
	for turn := 0; turn < 400; turn++ {
		ticket := decide.Ticket{ID: "eager", Daemon: name, Incarnation: daemon.Incarnation, Wire: name, Expiry: daemon.Self().Uptime + time.Minute}
		call := &decide.Call{ID: fmt.Sprint(name, turn), Ticket: ticket.Seal(), Model: "roster", Kind: "check", Retried: true}
		if failure := daemon.Decider.Allow(call); failure == nil {
			daemon.Decider.Settled(call, nil)
		}
		loop.Sleep(cluster.Node(name), 10*time.Millisecond)
	}
}

func TestVacantLeadership(t *testing.T) {
	cluster := fleet.NewCluster(3, fleet.Sahayogi())
	defer cluster.Close()
	cluster.Run(6 * time.Second)
	// The leader for east crashes; until another one is elected, the leadership is vacant.
	leader := ""
	for _, name := range []string{"c1", "c2", "c3", "c4"} {
		if _, held := cluster.Controls[name].Elections.Term(controlplane.RegionElection + "east"); held {
			leader = name
		}
	}
	at := "c1"
	if leader == at {
		at = "c2"
	}
	cluster.Crash(leader)
	seen := cluster.Until(8*time.Second, func() bool {
		now := look(cluster, at)
		for _, finding := range doctor.Examine(now, now) {
			if finding.Name == "duty vacant" {
				return true
			}
		}
		return false
	})
	if !seen {
		t.Error("the vacant leadership was not reported")
	}
	cluster.Run(8 * time.Second)
	for _, finding := range examine(cluster, at) {
		if finding.Name == "duty vacant" {
			t.Errorf("still vacant: %s", finding.Evidence)
		}
	}
}

func TestDivergedAcceptor(t *testing.T) {
	cluster := fleet.NewCluster(4, fleet.Sahayogi())
	defer cluster.Close()
	cluster.Run(6 * time.Second)
	isReported := func(first, last doctor.Snapshot) bool {
		for _, finding := range doctor.Examine(first, last) {
			if finding.Name == "acceptors disagree" {
				return true
			}
		}
		return false
	}
	countReports := func() (count int) {
		for turn := 0; turn < 12; turn++ {
			first := look(cluster, "c1")
			cluster.Run(1500 * time.Millisecond)
			if isReported(first, look(cluster, "c1")) {
				count++
			}
		}
		return count
	}
	if count := countReports(); count > 0 {
		t.Errorf("reported %d times that acceptors disagree although they agree", count)
	}
	// c2's acceptor answers queries, but receives no writes, and its repair can't fetch
	// anything.
	dropCalls(cluster, "c2", "Register.Accept", "Register.Prepare", "Register.Fetch")
	if err := cluster.Apply(&fleet.Facts{}, "c1"); err != nil {
		t.Fatal(err)
	}
	cluster.Run(2 * time.Second)
	if countReports() == 0 {
		t.Error("an acceptor without updates was not reported")
	}
}

// dropCalls drops calls from and to a node whose method begins with one of the prefixes.
func dropCalls(cluster *fleet.Cluster, name string, methods ...string) {
	cluster.OnCall = func(from, to, method string) sim.Fate {
		for _, prefix := range methods {
			if (from == name || to == name) && strings.HasPrefix(method, prefix) {
				return sim.RequestLost
			}
		}
		return sim.Delivered
	}
}

// TestFindingsOfANewSystem checks the findings between a system's first start and its first
// configuration.
func TestFindingsOfANewSystem(t *testing.T) {
	cluster := fleet.NewBareCluster(6, fleet.Sahayogi())
	defer cluster.Close()
	has := func(finding string) bool {
		for _, reported := range examine(cluster, "c1") {
			if reported.Name == finding {
				return true
			}
		}
		return false
	}
	if !has("no core") || has("no configuration") {
		t.Error("before init: want \"no core\" and not \"no configuration\"")
	}
	cluster.Must("c1", func(daemon *controlplane.Daemon) error {
		_, err := daemon.Init([]string{"c1", "c2", "c3"})
		return err
	})
	if has("no core") || !has("no configuration") {
		t.Error("after init: want \"no configuration\" and not \"no core\"")
	}
	if err := cluster.Apply(&fleet.Facts{}, "c2"); err != nil {
		t.Fatal(err)
	}
	cluster.Run(8 * time.Second)
	if has("no core") || has("no configuration") {
		t.Error("\"no core\" or \"no configuration\" was reported after apply")
	}
}

func TestFlappingLeadership(t *testing.T) {
	cluster := fleet.NewCluster(5, fleet.Sahayogi())
	defer cluster.Close()
	cluster.Run(6 * time.Second)
	// Each leader in turn gives up its leadership, as when control daemons lose contact.
	for turn := 0; turn < 8; turn++ {
		for _, name := range []string{"c1", "c2", "c3", "c4"} {
			if term, held := cluster.Controls[name].Elections.Term(controlplane.RegionElection + "east"); held {
				cluster.Must(name, func(daemon *controlplane.Daemon) error {
					_, err := daemon.Update(election.Prefix+controlplane.RegionElection+"east", func(register.Value) ([]byte, error) {
						return json.Marshal(election.Leadership{Serial: term})
					})
					return err
				})
				break
			}
		}
		cluster.Run(1500 * time.Millisecond)
	}
	for _, finding := range examine(cluster, "c1") {
		if finding.Name == "duty flapping" {
			return
		}
	}
	t.Error("the flapping leadership was not reported")
}
