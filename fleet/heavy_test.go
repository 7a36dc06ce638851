package fleet_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"swifttiller/fleet"
)

// tallied counts what goes between regions while the step runs, by method.
func tallied(park *fleet.Park, step func()) (bytes, calls map[string]int) {
	bytes, calls = map[string]int{}, map[string]int{}
	park.OnBytes = func(from, to, method string, count int) {
		if fleet.Region(park.Zone(from)) != fleet.Region(park.Zone(to)) {
			bytes[method] += count
			calls[method]++
		}
	}
	step()
	park.OnBytes = nil
	return bytes, calls
}

// TestLongValuesTravelOnce: what a long configuration costs the registers between regions
// goes by the acceptors and not by how often, nor by how many, it is read; and one that
// stays what it was is not sent again when the core changes.
func TestLongValuesTravelOnce(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("88 data daemons")
	}
	park := apart(1, grown(88, 90, 6))
	defer park.Close()
	far := func(what string, step func()) (queries, accepts, copies int) {
		bytes, calls := tallied(park, step)
		for _, method := range slices.Sorted(maps.Keys(bytes)) {
			t.Logf("%s: %s: %d messages, %d bytes", what, method, calls[method], bytes[method])
		}
		return bytes["Register.Query"], bytes["Register.Accept"], calls["Register.Accept"]
	}
	calm, _, _ := far("calm, 5 s", func() { park.Run(5 * time.Second) })
	packed := 0
	for label := uint64(1); label <= 3; label++ {
		document := manyRoutes(park.Document, label, 1400)
		queries, accepts, _ := far("a change, 2 s", func() {
			if _, err := replace(park, "c1", document, label-1); err != nil {
				t.Error(err)
			}
			park.Run(2 * time.Second)
		})
		// Three acceptors are in other regions than the writer, and each is told once.
		if packed = accepts / 3; packed < 50e3 {
			t.Fatalf("vacuous: the configuration has %d bytes", packed)
		}
		if queries > calm+2*packed {
			t.Errorf("control traffic: a change: %d bytes of queries between regions, %d in calm, for a configuration of %d", queries, calm, packed)
		}
	}
	queries, accepts, _ := far("a core machine that lost its disk, 10 s", func() {
		park.Crash("c3")
		park.Node("c3").Disk.Wipe()
		park.Run(time.Second)
		park.StartControl("c3")
		park.Run(9 * time.Second)
	})
	if queries > 4*calm+2*packed || accepts > 2*packed {
		t.Errorf("control traffic: a core machine that lost its disk: %d bytes of queries and %d of accepts between regions, %d of queries in calm, for a configuration of %d", queries, accepts, calm, packed)
	}
}

// crowded is a grown fleet whose engines have callers.
func crowded(busy float64) fleet.Plan {
	plan := fleet.RoutedShape{Regions: []string{"east", "middle", "west"}, Engines: []int{40, 30, 20}, Datas: []int{29, 31, 28}, Busy: busy, Reports: true}.Plan()
	for index, word := range plan.Controls {
		plan.Controls = append(plan.Controls, "c"+string(rune('4'+index))+word[2:])
	}
	return plan
}

// TestMishapsTravelSlowly: what control daemons tell each other, between regions, of data
// daemons with callers is within 900 bytes a second and data daemon in calm, and within
// 1,300 while replicas fail and after a region was cut off.
func TestMishapsTravelSlowly(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("88 data daemons")
	}
	park := apart(1, crowded(3))
	defer park.Close()
	shared := func(what string) int {
		bytes, calls := tallied(park, func() { park.Run(4 * time.Second) })
		t.Logf("%s, 4 s: %d shares between regions, %d bytes; %d requests and %d runs since the start", what, calls["Session.Share"], bytes["Session.Share"], len(park.RoutedRequests), len(park.Runs))
		return bytes["Session.Share"]
	}
	calm := shared("calm")
	if calm > 4*900*len(park.Datas) || calm == 0 {
		t.Errorf("control traffic: %d bytes of shares between regions in 4 s of calm", calm)
	}
	for index, options := range park.Plan.Engines {
		if index%8 == 0 {
			park.Engines[options.Name].Grey = fleet.Grey{How: "errors", Share: 0.5}
		}
	}
	before := len(park.Runs)
	if failing := shared("an eighth of the replicas fails"); failing > 4*1300*len(park.Datas) || len(park.Runs)-before < 500 {
		t.Errorf("control traffic: %d bytes of shares between regions in 4 s while replicas fail, %d in calm", failing, calm)
	}
	var west, rest []string
	for _, name := range park.NodeNames() {
		if fleet.Region(park.Zone(name)) == "west" {
			west = append(west, name)
		} else {
			rest = append(rest, name)
		}
	}
	park.Split(west, rest, true)
	park.Run(4 * time.Second) // what is sent meanwhile goes nowhere
	park.Split(west, rest, false)
	if healed := shared("a region is back"); healed > 4*1300*len(park.Datas) {
		t.Errorf("control traffic: %d bytes of shares between regions in 4 s after a cut, %d in calm", healed, calm)
	}
}

// TestStandingStaysOverConfigurations: a configuration that changes nothing of what a
// region's replicas may get writes no standing anew, for nobody is told one then.
func TestStandingStaysOverConfigurations(t *testing.T) {
	t.Parallel()
	skipLong(t)
	park := apart(3, grown(12, 36, 3))
	defer park.Close()
	serials := func() map[string]uint64 {
		out := map[string]uint64{}
		for region, one := range park.Datas["d1"].Holder.View().RoutingTables {
			out[region] = one.Serial
		}
		return out
	}
	before := serials()
	for label := uint64(1); label <= 4; label++ {
		if _, err := replace(park, "c1", manyRoutes(park.Document, label, 20), label-1); err != nil {
			t.Fatal(err)
		}
		park.Run(time.Second)
	}
	park.Run(2 * time.Second)
	if after := serials(); len(before) != 3 || !maps.Equal(before, after) {
		t.Errorf("control traffic: standings went from %v to %v over four configurations", before, after)
	}
	if label := park.Datas["d1"].Holder.View().Config().Label(); label != 4 {
		t.Errorf("vacuous: it goes by the configuration %d", label)
	}
	park.LeaveByPlatform(park.Plan.Replicas[0].ID)
	park.Run(3 * time.Second)
	if maps.Equal(before, serials()) {
		t.Error("vacuous: nothing writes a standing")
	}
}
