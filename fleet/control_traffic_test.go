package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

// grownPlan returns the sahayogi plan resized to the given numbers of data daemons, replicas and
// control daemons (all with a disk), spread over its three regions. As in the users' deployments,
// the model is served by an engine, and replicas decide themselves which version they hold. There
// are no callers, as the simulated callers cannot send routed requests, the only kind that such a
// model gets.
func grownPlan(datas, replicas, controls int) fleet.Plan {
	plan := fleet.Sahayogi()
	replica := plan.Replicas[0]
	zones := []string{"east-1", "middle-1", "west-1"}
	plan.Controls, plan.Diskless, plan.Datas, plan.Replicas, plan.Callers = nil, nil, nil, nil, nil
	for index := range controls {
		plan.Controls = append(plan.Controls, fmt.Sprintf("c%d:%s", index+1, zones[index%3]))
	}
	for index := range datas {
		plan.Datas = append(plan.Datas, fmt.Sprintf("d%d:%s", index+1, zones[index%3]))
	}
	for index := range replicas {
		replica.Zone = zones[index%3]
		replica.ID = fmt.Sprintf("%s-r%d", replica.Zone, index+1)
		plan.Replicas = append(plan.Replicas, replica)
	}
	plan.Document = strings.Replace(plan.Document, `"version":"v1"`, `"version":"any"`, 1)
	plan.Document = strings.Replace(plan.Document, `"regions":`, `"engines":{"roster":{"probe_path":"/","conn_cap":64,"berths":16}},"regions":`, 1)
	return plan
}

// controlTraffic is the control traffic of a fleet at rest, per second.
type controlTraffic struct {
	queries         float64 // register queries of all daemons
	readRounds      float64 // read rounds of the busiest control daemon
	crossRegion     float64 // bytes between regions
	busiestBytes    float64 // bytes to and from the busiest data daemon
	dataBytes       float64 // bytes to and from all data daemons
	bodyBytes       float64 // the same without the per-call overhead
	busiestMessages float64 // messages to and from the busiest data daemon
}

func (traffic controlTraffic) String() string {
	return fmt.Sprintf("%.0f register queries, %.1f read rounds at the busiest control daemon, %.0f bytes between regions, %.0f bytes and %.1f messages at the busiest data daemon", traffic.queries, traffic.readRounds, traffic.crossRegion, traffic.busiestBytes, traffic.busiestMessages)
}

// between is the one-way network delay between regions.
const between = 35 * time.Millisecond

// measureTraffic measures the control traffic of a fleet at rest over 10 s. Traffic to replicas
// does not count.
func measureTraffic(seed uint64, plan fleet.Plan) controlTraffic {
	return measureTrafficFor(seed, plan, 10)
}

// measureTrafficFor is measureTraffic over the given number of seconds.
func measureTrafficFor(seed uint64, plan fleet.Plan, seconds int) (out controlTraffic) {
	cluster := fleet.NewCluster(seed, plan)
	defer cluster.Close()
	for _, from := range cluster.NodeNames() {
		for _, to := range cluster.NodeNames() {
			if fleet.Region(cluster.Zone(from)) != fleet.Region(cluster.Zone(to)) {
				cluster.Delay(from, to, between)
			}
		}
	}
	cluster.Run(15 * time.Second) // until all daemons are warm and have every value
	bytesByDaemon, messagesByDaemon := map[string]float64{}, map[string]float64{}
	isData := func(name string) bool { return cluster.Datas[name] != nil }
	cluster.OnBytes = func(from, to, method string, bytes int) {
		// The overhead of a call besides its body: the headers of net/rpc and of the packet.
		total := float64(bytes + len(method) + 80)
		if fleet.Region(cluster.Zone(from)) != fleet.Region(cluster.Zone(to)) {
			out.crossRegion += total
		}
		for _, name := range []string{from, to} {
			if isData(name) {
				bytesByDaemon[name] += total
				messagesByDaemon[name]++
				out.dataBytes += total
				out.bodyBytes += float64(bytes)
			}
		}
	}
	queries := cluster.Messages["Register.Query"]
	before := map[string]uint64{}
	for name, daemon := range cluster.Controls {
		before[name] = daemon.RoundCounters().Reads
	}
	cluster.Run(time.Duration(seconds) * time.Second)
	span := float64(seconds)
	out.queries = float64(cluster.Messages["Register.Query"]-queries) / span
	for name, daemon := range cluster.Controls {
		out.readRounds = max(out.readRounds, float64(daemon.RoundCounters().Reads-before[name])/span)
	}
	for name := range bytesByDaemon {
		out.busiestBytes, out.busiestMessages = max(out.busiestBytes, bytesByDaemon[name]/span), max(out.busiestMessages, messagesByDaemon[name]/span)
	}
	out.crossRegion, out.dataBytes, out.bodyBytes = out.crossRegion/span, out.dataBytes/span, out.bodyBytes/span
	return out
}

// relativeGrowth returns the growth factor of a value divided by that of the size: 1 if both
// grow equally fast.
func relativeGrowth(before, after, sizeBefore, sizeAfter float64) float64 {
	return (after / before) / (sizeAfter / sizeBefore)
}

// TestControlTrafficStaysSmall verifies the figures of control traffic in docs/CAPACITY.md:
// its volume and how it grows with the fleet.
func TestControlTrafficStaysSmall(t *testing.T) {
	t.Parallel()
	// From four control daemons on, the core has five acceptors, of which a round queries
	// three. That is a step and not a slope, so only fleets with the same core are compared.
	for _, sizes := range [][]fleetSize{{{6, 18, 3}, {24, 36, 3}}, {{24, 36, 6}, {88, 90, 6}}} {
		if testing.Short() && sizes[0].controls > 3 {
			continue
		}
		checkTrafficGrowth(t, sizes)
	}
}

// fleetSize is the number of daemons and replicas of a fleet.
type fleetSize struct{ datas, replicas, controls int }

// checkTrafficGrowth measures the control traffic of fleets of increasing size, bounds it, and
// compares each fleet with the one before.
func checkTrafficGrowth(t *testing.T, sizes []fleetSize) {
	var measured []controlTraffic
	for _, size := range sizes {
		traffic := measureTraffic(1, grownPlan(size.datas, size.replicas, size.controls))
		t.Logf("%d data daemons, %d replicas, %d control daemons, in a second: %v", size.datas, size.replicas, size.controls, traffic)
		measured = append(measured, traffic)
		if traffic.busiestBytes == 0 || traffic.queries == 0 || traffic.crossRegion == 0 {
			t.Fatal("vacuous")
		}
		if traffic.busiestBytes > 20e3 {
			t.Errorf("control traffic: the busiest data daemon sends and receives %.0f bytes a second", traffic.busiestBytes)
		}
		// A control daemon's rounds are bounded by the minimum interval between two rounds
		// and not by the number of daemons that send requests to it.
		if traffic.readRounds > 25 {
			t.Errorf("control traffic: %.1f read rounds a second at one control daemon", traffic.readRounds)
		}
	}
	if sizes[0].datas == 6 && measured[0].crossRegion > 25e3 {
		t.Errorf("control traffic: %.0f bytes a second between regions with 6 data daemons", measured[0].crossRegion)
	}
	for index := 1; index < len(sizes); index++ {
		smaller, larger := measured[index-1], measured[index]
		daemons := func(at int) float64 { return float64(sizes[at].datas + sizes[at].controls) }
		if by := relativeGrowth(smaller.crossRegion, larger.crossRegion, daemons(index-1), daemons(index)); by > 1 {
			t.Errorf("control traffic: traffic between regions grows faster than the daemons: %v, then %v", smaller, larger)
		}
		// Constant for each data daemon: routing tables list more replicas, but are sent once.
		if larger.busiestBytes > 1.25*smaller.busiestBytes {
			t.Errorf("control traffic: a data daemon's traffic grows with the number of daemons: %v, then %v", smaller, larger)
		}
		if larger.busiestMessages > 1.25*smaller.busiestMessages {
			t.Errorf("control traffic: a data daemon's messages grow with the number of daemons: %v, then %v", smaller, larger)
		}
		if by := relativeGrowth(smaller.queries, larger.queries, daemons(index-1), daemons(index)); by > 1 {
			t.Errorf("control traffic: register queries grow faster than the daemons: %v, then %v", smaller, larger)
		}
	}
}

// TestControlTrafficFollowsNoReplica compares two fleets at rest that differ only in the number of
// replicas: control traffic must not grow faster than that number.
func TestControlTrafficFollowsNoReplica(t *testing.T) {
	t.Parallel()
	few, many := measureTraffic(1, grownPlan(6, 18, 3)), measureTraffic(1, grownPlan(6, 90, 3))
	t.Logf("18 replicas: %v", few)
	t.Logf("90 replicas: %v", many)
	if relativeGrowth(few.crossRegion, many.crossRegion, 18, 90) > 1 || relativeGrowth(few.busiestBytes, many.busiestBytes, 18, 90) > 1 {
		t.Errorf("control traffic: traffic grows faster than the replicas: %v, then %v", few, many)
	}
}

// TestLeavingReplicaIsOutInTime verifies that a replica is removed from every data daemon's
// routing table within 1.5 s after the platform's list shows it as leaving.
func TestLeavingReplicaIsOutInTime(t *testing.T) {
	t.Parallel()
	for name, newPlan := range map[string]func() fleet.Plan{"sahayogi": fleet.Sahayogi, "an engine's": func() fleet.Plan { return grownPlan(6, 18, 3) }} {
		worst := time.Duration(0)
		for seed := uint64(1); seed <= 4; seed++ {
			cluster := fleet.NewCluster(seed, newPlan())
			cluster.Run(20 * time.Second)
			for turn := 0; turn < 3; turn++ {
				leaving := cluster.Plan.Replicas[turn].ID
				boot := cluster.Replicas[leaving].Boot
				cluster.MarkLeavingInList(leaving)
				if !cluster.Until(10*time.Second, func() bool { _, isLearned := cluster.TerminationLearned[leaving+"/"+boot]; return isLearned }) {
					t.Fatal("the platform's list never showed the replica as leaving")
				}
				isOut := func() bool {
					for _, daemon := range cluster.Datas {
						for _, table := range daemon.Holder.View().RoutingTables {
							for _, row := range table.Rows {
								if row.Replica == leaving {
									return false
								}
							}
						}
					}
					return true
				}
				if !cluster.Until(10*time.Second, isOut) {
					t.Fatal("the leaving replica was never removed from all routing tables")
				}
				worst = max(worst, cluster.Now()-cluster.TerminationLearned[leaving+"/"+boot])
				cluster.Run(time.Second)
			}
			cluster.Close()
		}
		t.Logf("%s: a leaving replica is removed at most %v after the list showed it", name, worst)
		if worst > 1500*time.Millisecond {
			t.Errorf("%s: a leaving replica was removed only after %v", name, worst)
		}
	}
}

// TestControlTrafficIsFlatForADataDaemon verifies the statement of docs/CAPACITY.md that a data
// daemon's traffic does not depend on the number of daemons: at each size it is within a tenth of
// that of the smallest fleet with the same core. The measured time is long enough that the
// member list, the part that grows, is sent to all daemons twice.
func TestControlTrafficIsFlatForADataDaemon(t *testing.T) {
	t.Parallel()
	sizes := []fleetSize{{6, 36, 3}, {25, 36, 3}, {88, 36, 3}}
	if testing.Short() {
		sizes = sizes[:2]
	}
	var first controlTraffic
	for index, size := range sizes {
		traffic := measureTrafficFor(1, grownPlan(size.datas, size.replicas, size.controls), 60)
		mean, meanBodies := traffic.dataBytes/float64(size.datas), traffic.bodyBytes/float64(size.datas)
		t.Logf("%d data daemons, a mean of %.0f bytes a second at each, %.0f of them bodies: %v", size.datas, mean, meanBodies, traffic)
		if mean == 0 || traffic.busiestMessages == 0 {
			t.Fatal("vacuous")
		}
		if index == 0 {
			first = traffic
			continue
		}
		if before := first.dataBytes / float64(sizes[0].datas); mean > 1.1*before || mean < before/1.1 {
			t.Errorf("control traffic: a data daemon's mean goes from %.0f to %.0f bytes a second", before, mean)
		}
		// Headers are the same for each message and would hide the growth of the bodies.
		if before := first.bodyBytes / float64(sizes[0].datas); meanBodies > 1.1*before || meanBodies < before/1.1 {
			t.Errorf("control traffic: a data daemon's mean goes from %.0f to %.0f bytes of bodies a second", before, meanBodies)
		}
		if traffic.busiestBytes > 1.1*first.busiestBytes || traffic.busiestMessages > 1.1*first.busiestMessages {
			t.Errorf("control traffic: the traffic of the busiest data daemon grows: %v, then %v", first, traffic)
		}
	}
}
