package fleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/sim"
)

// tenants is the plan's document with a route for each tenant; that of moved, if it is
// one, has another host under each label.
func tenants(document string, label uint64, count, moved int) []byte {
	var routes []string
	for index := range count {
		host := fmt.Sprintf("t%d.example", index)
		if index == moved {
			host = fmt.Sprintf("moved-%d.example", label)
		}
		routes = append(routes, fmt.Sprintf(`{"name":"tenant-%d","host":%q,"prefix":"/","kind":"streamed","timeout_ms":10000,"target_ms":1000,"gap_ms":300,"tries":2,"shares":[{"model":"roster","weight":1}]}`, index, host))
	}
	return []byte(strings.Replace(document, "{", fmt.Sprintf(`{"label":%d,"routes":[%s],`, label, strings.Join(routes, ",")), 1))
}

// holders is the plan's document with so many tenants of two keys each, beside a few routes;
// one key of changed, if it is one, is another under each label.
func holders(document string, label uint64, count, changed int) []byte {
	var list []string
	for index := range count {
		drawn := uint64(0)
		if index == changed {
			drawn = label
		}
		list = append(list, fmt.Sprintf(`{"name":"tenant-%d","keys":["own-%d","drawn-%d-%d"],"per_s":131,"burst":131,"urgency":1}`, index, index, index, drawn))
	}
	return []byte(strings.Replace(string(tenants(document, label, 100, -1)), `"routes"`, `"tenants":[`+strings.Join(list, ",")+`],"routes"`, 1))
}

// routedFleet is a calm small fleet whose model may have routes.
func routedFleet(seed uint64) *fleet.Park {
	return fleet.NewPark(seed, grown(6, 18, 3))
}

// fetches are what configurations cost on their way to data daemons, and how many copies
// were under way to one at once.
type fetches struct {
	bytes  map[string]int // to and from each data daemon
	copies map[string]int // editions to each
	since  map[string]time.Duration
	most   int // copies under way to one holder at once
}

// follow follows fetches from now on. A copy is under way from its asking until it is
// answered, or its asker has given it up.
func follow(park *fleet.Park) *fetches {
	out := &fetches{bytes: map[string]int{}, copies: map[string]int{}, since: map[string]time.Duration{}}
	park.OnBytes = func(from, to, method string, bytes int) {
		if method != "Permit.Fetch" && method != "Permit.Take" {
			return
		}
		data, isAsk := to, false
		if park.Datas[from] != nil {
			data, isAsk = from, method == "Permit.Fetch"
		}
		out.bytes[data] += bytes
		switch {
		case isAsk:
			out.most = max(out.most, 1)
			if at, isUnderWay := out.since[data]; isUnderWay && park.Now()-at < time.Second {
				out.most = 2
			}
			out.since[data] = park.Now()
		case method == "Permit.Fetch":
			out.copies[data]++
			delete(out.since, data)
		}
	}
	return out
}

// going checks that all data daemons that are up go by the document, and nothing else.
func going(t *testing.T, park *fleet.Park, document []byte, zones ...string) {
	t.Helper()
	for name, daemon := range park.Datas {
		if view := daemon.Holder.View(); park.Node(name).Up() && (string(view.Config().Document) != tight(document) || !slices.Equal(view.Config().Evacuated, zones)) {
			t.Errorf("%s goes by label %d, serial %d, not by what was decided", name, view.Config().Label(), view.Serial)
		}
	}
}

// TestRouteTravelsAlone: a change of one route or tenant of many costs each data daemon some
// hundred bytes, however many there are; a daemon that begins anew gets the whole, once.
func TestRouteTravelsAlone(t *testing.T) {
	t.Parallel()
	sizes := []struct{ datas, count int }{{25, 21000}, {88, 1300}, {6, 30}}
	if testing.Short() {
		sizes = sizes[2:]
	}
	for _, size := range sizes {
		travelsAlone(t, size.datas, size.count, "routes", tenants)
		travelsAlone(t, size.datas, size.count, "tenants", holders)
	}
}

func travelsAlone(t *testing.T, datas, count int, what string, compose func(document string, label uint64, count, changed int) []byte) {
	park := apart(3, grown(datas, 36, 3))
	defer park.Close()
	label := uint64(1)
	if _, err := replace(park, "c1", compose(park.Document, 1, count, -1), 0); err != nil {
		t.Fatal(err)
	}
	park.Run(time.Second)
	for at, changed := range []int{count / 2, 0, count - 1} {
		seen := follow(park)
		label++
		document := compose(park.Document, label, count, changed)
		began := park.Now()
		if _, err := replace(park, fmt.Sprintf("c%d", 1+at), document, label-1); err != nil {
			t.Fatal(err)
		}
		took := park.Now() - began
		park.Run(2 * time.Second)
		going(t, park, document)
		most := 0
		for name := range park.Datas {
			most = max(most, seen.bytes[name])
			if seen.copies[name] != 1 {
				t.Errorf("%d daemons, %d %s: %d copies to %s", datas, count, what, seen.copies[name], name)
			}
		}
		t.Logf("%d daemons, %d %s, %d bytes: one changes: acknowledged after %v, %d bytes to and from a data daemon", datas, count, what, len(document), took, most)
		if most > 1200 || most == 0 || took > time.Second {
			t.Errorf("%d daemons, %d %s: acknowledged after %v, %d bytes to a data daemon", datas, count, what, took, most)
		}
	}
	seen := follow(park)
	park.Crash("d2")
	park.StartData("d2")
	park.Run(5 * time.Second)
	if view := park.Datas["d2"].Holder.View(); seen.copies["d2"] != 1 || !view.IsValid(park.Now()) || view.Config().Label() != label {
		t.Errorf("%d %s: a daemon that begins anew gets %d copies, and goes by %d", count, what, seen.copies["d2"], view.Config().Label())
	}
}

// TestFetchTrouble: whatever becomes of an offer or a copy, a change is acknowledged, all
// go by it, and no two copies of it are under way to a daemon.
func TestFetchTrouble(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for _, method := range []string{"Permit.Take", "Permit.Fetch"} {
		for name, fate := range map[string]sim.Fate{"lost": sim.RequestLost, "answer lost": sim.ResponseLost, "late": sim.RequestDelayed, "twice": sim.RequestDuplicated} {
			for _, count := range []int{1, 2} { // how many in a row
				park := routedFleet(21)
				if _, err := replace(park, "c1", tenants(park.Document, 1, 300, -1), 0); err != nil {
					t.Fatal(err)
				}
				park.Run(time.Second)
				seen, struck := follow(park), 0
				park.OnCall = func(from, to, called string) sim.Fate {
					if called == method && (from == "d1" || to == "d1") && struck < count {
						struck++
						return fate
					}
					return sim.Delivered
				}
				document := tenants(park.Document, 2, 300, 7)
				began := park.Now()
				applied, err := replace(park, "c1", document, 1)
				took := park.Now() - began
				for data, daemon := range park.Datas {
					if view := daemon.Holder.View(); view.MayServe(park.Now()) && view.Serial < applied.Serial {
						t.Errorf("old config: %s %s, %d times: %s serves by serial %d, and %d is acknowledged", method, name, count, data, view.Serial, applied.Serial)
					}
				}
				park.Run(3 * time.Second)
				going(t, park, document)
				if err != nil || took > 2500*time.Millisecond || struck == 0 || seen.most != 1 {
					t.Errorf("%s %s, %d times: %v %v after %v, struck %d, %d copies under way at once", method, name, count, applied, err, took, struck, seen.most)
				}
				park.Close()
			}
		}
	}
}

// TestFrozenOverChanges: a daemon that stood still over several changes, and one that was
// cut off from all, serve nothing by an old one, and then get what differs from what they
// have; the control daemon that they stayed with may have begun anew meanwhile, and then
// they get the whole.
func TestFrozenOverChanges(t *testing.T) {
	t.Parallel()
	skipLong(t)
	for name, isAnew := range map[string]bool{"same control daemons": false, "control daemons begun anew": true} {
		park := routedFleet(22)
		if _, err := replace(park, "c1", tenants(park.Document, 1, 300, -1), 0); err != nil {
			t.Fatal(err)
		}
		park.Run(time.Second)
		park.Freeze("d1", 14*time.Second)
		park.Split([]string{"d2"}, park.NodeNames()[:len(park.Plan.Controls)], true)
		var document []byte
		for label := uint64(2); label <= 6; label++ {
			document = tenants(park.Document, label, 300, int(label)*40)
			if _, err := replace(park, fmt.Sprintf("c%d", 1+label%3), document, label-1); err != nil {
				t.Fatal(err)
			}
		}
		if isAnew {
			for _, one := range []string{"c1", "c2", "c3"} {
				park.Crash(one)
				park.StartControl(one)
				park.Run(time.Second)
			}
		}
		seen := follow(park)
		if view := park.Datas["d2"].Holder.View(); view.Config().Label() != 1 || view.MayServe(park.Now()) {
			t.Errorf("vacuous: %s: one that was cut off goes by %d", name, view.Config().Label())
		}
		park.Split([]string{"d2"}, park.NodeNames()[:len(park.Plan.Controls)], false)
		park.Run(16 * time.Second)
		going(t, park, document)
		for _, one := range []string{"d1", "d2"} {
			if !park.Datas[one].Holder.View().IsValid(park.Now()) || seen.copies[one] != 1 {
				t.Errorf("%s: %s got %d copies", name, one, seen.copies[one])
			}
			if isSmall := seen.bytes[one] < 1500; isSmall == isAnew {
				t.Errorf("%s: %s got %d bytes", name, one, seen.bytes[one])
			}
		}
		once(t, park)
		park.Close()
	}
}

// TestSpoiledChunk: a daemon whose held chunk is not what it was goes by nothing that is
// put together with it; it fetches the whole and goes by what was decided.
func TestSpoiledChunk(t *testing.T) {
	t.Parallel()
	park := routedFleet(23)
	defer park.Close()
	if _, err := replace(park, "c1", tenants(park.Document, 1, 300, -1), 0); err != nil {
		t.Fatal(err)
	}
	park.Run(time.Second)
	spoiled := 0
	for _, chunk := range park.Datas["d1"].Holder.View().Tree.Chunks() {
		if strings.Contains(chunk.Text, `"tenant-200"`) {
			chunk.Text = strings.Replace(chunk.Text, "t200.example", "t999.example", 1)
			spoiled++
		}
	}
	seen := follow(park)
	document := tenants(park.Document, 2, 300, 7)
	if _, err := replace(park, "c1", document, 1); err != nil {
		t.Fatal(err)
	}
	park.Run(2 * time.Second)
	going(t, park, document)
	if view := park.Datas["d1"].Holder.View(); spoiled != 1 || seen.copies["d1"] != 2 || seen.copies["d2"] != 1 || !view.IsValid(park.Now()) {
		t.Errorf("%d spoiled, %d copies to it, %d to another", spoiled, seen.copies["d1"], seen.copies["d2"])
	}
	// From then on it has all of it again.
	seen = follow(park)
	document = tenants(park.Document, 3, 300, 7)
	if _, err := replace(park, "c2", document, 2); err != nil || seen.copies["d1"] != 1 || seen.bytes["d1"] > 1500 {
		t.Errorf("%v, %d copies, %d bytes", err, seen.copies["d1"], seen.bytes["d1"])
	}
	going(t, park, document)
}

// TestFetchStorm: changes that race, evacuations among them, over daemons that come, go
// and lose packets: nobody goes by a mix or goes back, and at the end all go by the last.
func TestFetchStorm(t *testing.T) {
	t.Parallel()
	seeds := uint64(4)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		park := routedFleet(31 + seed)
		if _, err := replace(park, "c1", tenants(park.Document, 1, 200, -1), 0); err != nil {
			t.Fatal(err)
		}
		park.Run(time.Second)
		seen := follow(park)
		zone := park.Zone(park.Plan.Replicas[0].ID)
		began, ended, taken := 0, 0, 0
		park.Faults = sim.NetworkFaults{Lost: 0.02, Duplicated: 0.02, Delayed: 0.02, MaxDelay: 800 * time.Millisecond}
		for index := range 60 {
			at := fmt.Sprintf("c%d", 1+index%3)
			park.At(time.Duration(index)*70*time.Millisecond, func() {
				if !park.Node(at).Up() {
					return
				}
				began++
				park.Node(at).Go(func() {
					defer func() { ended++ }()
					daemon := park.Controls[at]
					if index%10 == 9 {
						_, _ = daemon.Evacuate(zone, index%20 == 19)
						return
					}
					_, label, err := daemon.Current()
					if err != nil {
						return
					}
					if _, err := daemon.Replace(tenants(park.Document, label+1, 200+index%7, (index*13)%200), label); err == nil {
						taken++
					}
				})
			})
		}
		park.At(700*time.Millisecond, func() { park.Crash("d2") })
		park.At(1500*time.Millisecond, func() { park.StartData("d2") })
		park.At(time.Second, func() { park.Freeze("d1", 2*time.Second) })
		if !park.Until(40*time.Second, func() bool { return began >= 60 && ended == began }) {
			t.Fatalf("seed %d: %d of %d ended", seed, ended, began)
		}
		park.Faults = sim.NetworkFaults{}
		_, err := replace(park, "c2", tenants(park.Document, 1000, 200, 3), mustLabel(t, park))
		if err != nil {
			t.Fatal(err)
		}
		park.Run(3 * time.Second)
		label, config := newest(t, park, "c3")
		going(t, park, config.Document, config.Evacuated...)
		if label != 1000 || taken < 10 {
			t.Errorf("vacuous: seed %d: label %d, %d were taken", seed, label, taken)
		}
		if seen.most != 1 {
			t.Errorf("two copies: seed %d: of one serial were under way to one daemon", seed)
		}
		once(t, park)
		park.Close()
	}
}

func mustLabel(t *testing.T, park *fleet.Park) (label uint64) {
	t.Helper()
	label, _ = newest(t, park, "c1")
	return label
}

// prepared counts what acceptors were asked to promise, in whichever messages.
func prepared(park *fleet.Park) int {
	return park.Messages["Register.Prepare"] + park.Messages["Register.PrepareAll"]
}

// written counts the writes of registers that went through.
func written(park *fleet.Park) (count int) {
	for _, daemon := range park.Controls {
		count += int(daemon.Client.RoundCounters().Writes)
	}
	return count
}

// TestStartOfAll: daemons that all begin at once and
// hear nothing write their records once at each control daemon that they ask.
func TestStartOfAll(t *testing.T) {
	t.Parallel()
	skipLong(t)
	plan := grown(24, 18, 3)
	park := fleet.NewPark(6, plan)
	defer park.Close()
	park.Run(10 * time.Second)
	for name := range park.Datas {
		park.Crash(name)
	}
	park.Run(3 * time.Second)
	asks, writes, records := 0, prepared(park), written(park)
	park.OnCall = func(_, to, method string) sim.Fate {
		if method == "Permit.Renew" {
			asks++
			return sim.ResponseLost
		}
		return sim.Delivered
	}
	var names []string
	for name := range park.Datas {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		park.StartData(name)
	}
	park.Run(6 * time.Second)
	prepares := prepared(park) - writes
	t.Logf("24 daemons in 6 s: %d asks, %d prepares", asks, prepares)
	if asks < 24*6 {
		t.Error("vacuous")
	}
	// A prepare goes to each of three acceptors; standings are written meanwhile, too.
	if most := 24 * 3 * 3 * 3 / 2; prepares > most {
		t.Errorf("%d prepares, of %d at the most", prepares, most)
	}
	if wrote, most := written(park)-records, 24*3*3/2; wrote > most {
		t.Errorf("%d writes, of %d at the most", wrote, most)
	}
	park.OnCall = nil
	if !park.Until(6*time.Second, func() bool {
		for _, name := range names {
			if !park.Datas[name].Holder.View().IsValid(park.Now()) {
				return false
			}
		}
		return true
	}) {
		t.Error("not all have a permit in the end")
	}
}

// TestStartOfAllOnSlowMachines: as many data daemons as the target has begin at once, while
// the control daemons' machines are so slow that they could not serve the writes of all
// their records in time if all were begun together. Each round that nobody waits for any
// more would make the others late.
func TestStartOfAllOnSlowMachines(t *testing.T) {
	t.Parallel()
	skipLong(t)
	plan := grown(420, 36, 6)
	park := fleet.NewBarePark(6, plan)
	defer park.Close()
	for name := range park.Datas {
		park.Crash(name)
	}
	park.Must("c1", func(daemon *controlplane.Daemon) error {
		_, err := daemon.Init([]string{"c1", "c2", "c3"})
		return err
	})
	park.Must("c1", func(daemon *controlplane.Daemon) error {
		_, err := daemon.Apply([]byte(plan.Document), nil, false)
		return err
	})
	park.Run(10 * time.Second)
	for _, from := range park.NodeNames() {
		for _, to := range park.NodeNames() {
			if fleet.Region(park.Zone(from)) != fleet.Region(park.Zone(to)) {
				park.Delay(from, to, between)
			}
		}
	}
	park.SyncTime, park.ServeTime = 20*time.Millisecond, time.Millisecond
	began, writes := park.Now(), written(park)
	for _, word := range plan.Datas {
		name, _, _ := strings.Cut(word, ":")
		park.StartData(name)
	}
	stand := 0
	if !park.Until(10*time.Second, func() bool {
		stand = 0
		for _, daemon := range park.Datas {
			if daemon.Holder.View().IsValid(park.Now()) {
				stand++
			}
		}
		return stand == len(park.Datas)
	}) {
		t.Errorf("control traffic: %d of %d have a permit in the end", stand, len(park.Datas))
	}
	records := written(park) - writes
	t.Logf("%d of %d have a permit after %v, with %d writes", stand, len(park.Datas), park.Now()-began, records)
	if records < len(park.Datas) {
		t.Errorf("vacuous: %d writes", records)
	}
}
