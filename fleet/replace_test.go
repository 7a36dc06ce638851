package fleet_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/lease"
	"swifttiller/register"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/sim"
	"swifttiller/verdict"
)

// withLabel returns the plan's document with the label; the mark makes documents of the same label
// different.
func withLabel(park *fleet.Cluster, label uint64, mark string) []byte {
	document := strings.Replace(park.Document, "{", fmt.Sprintf(`{"label":%d,`, label), 1)
	last := strings.LastIndex(document, "}")
	return []byte(document[:last] + fmt.Sprintf(`,"origin":{ "mark":%q}}`, mark))
}

// faultlessFleet returns a fleet without callers and without faults.
func faultlessFleet(seed uint64) *fleet.Cluster {
	plan := quickPlan()
	plan.Callers = nil
	return fleet.NewCluster(seed, plan)
}

// replace sends a document that replaces the one with the label expect to a control daemon.
func replace(park *fleet.Cluster, at string, document []byte, expect uint64) (applied lease.Applied, err error) {
	err = park.Do(at, 30*time.Second, func(daemon *controlplane.Daemon) (err error) {
		applied, err = daemon.Replace(document, expect)
		return err
	})
	return applied, err
}

// currentConfig returns the label and the configuration that a majority has, as read by the daemon.
func currentConfig(t *testing.T, park *fleet.Cluster, at string) (label uint64, config lease.Config) {
	t.Helper()
	if err := park.Do(at, 10*time.Second, func(daemon *controlplane.Daemon) error {
		document, read, err := daemon.Current()
		if err != nil {
			return err
		}
		_, config, _ = daemon.Issuer.Current()
		if label = read; string(document) != string(config.WithOrigin()) {
			return errors.New("the returned document differs from the configuration's")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return label, config
}

func isOutdated(err error, current, want uint64) bool {
	var outdated *controlplane.Outdated
	return errors.As(err, &outdated) && *outdated == controlplane.Outdated{Have: current, Want: want} && controlplane.OperatorError(err).Status == 409
}

func hasProblem(err error, path string) bool {
	var problems settings.Problems
	return errors.As(err, &problems) && len(problems) == 1 && problems[0].Path == path
}

// TestReplace checks that a document replaces the one that it is based on, once, and that a repeat is
// acknowledged at any time and changes nothing.
func TestReplace(t *testing.T) {
	t.Parallel()
	park := faultlessFleet(11)
	defer park.Close()
	third, fifth := withLabel(park, 3, "a"), withLabel(park, 5, "a")
	first, err := replace(park, "c1", third, 0)
	if err != nil || first.Holders == 0 {
		t.Fatal(first, err)
	}
	if _, err := replace(park, "c1", third, 0); err != nil {
		t.Error("order: a repeat at the same daemon:", err)
	}
	// White space makes no difference, and the repeat may go to any daemon.
	if again, err := replace(park, "c2", []byte(strings.Replace(string(third), `{"label":3`, ` { "label" : 3 `, 1)), 0); err != nil || again.Serial != first.Serial {
		t.Error("a repeat at another daemon:", again, err)
	}
	// A document's identity is its label and a digest of its origin, so other settings that were
	// generated from the same origin make no difference.
	made := strings.Replace(strings.Replace(string(third), `"limits":{`, `"limits":{"archive_ms":5,`, 1), `{ "mark"`, `{"mark"`, 1)
	if again, err := replace(park, "c3", []byte(made), 0); err != nil || again.Serial != first.Serial {
		t.Error("order: a repeat with other settings from the same origin:", again, err)
	}
	for name, isReported := range map[string]bool{
		"built on none":  isOutdated(second(replace(park, "c2", withLabel(park, 4, "b"), 0)), 3, 0),
		"built on later": isOutdated(second(replace(park, "c2", withLabel(park, 4, "b"), 4)), 3, 4),
		"the same label": hasProblem(second(replace(park, "c2", withLabel(park, 3, "b"), 3)), "$.label"),
		"a lower label":  hasProblem(second(replace(park, "c2", withLabel(park, 2, "b"), 3)), "$.label"),
		"no label":       hasProblem(second(replace(park, "c2", []byte(park.Document), 3)), "$.label"),
		"invalid":        hasProblem(second(replace(park, "c2", []byte(strings.Replace(string(withLabel(park, 4, "b")), `"origin"`, `"oregano"`, 1)), 3)), "$.oregano"),
	} {
		if !isReported {
			t.Error("order:", name, "is not reported as such")
		}
	}
	if label, config := currentConfig(t, park, "c3"); label != 3 || string(config.WithOrigin()) != tight(third) {
		t.Errorf("label %d, %s", label, config.WithOrigin())
	}
	if _, err := replace(park, "c3", fifth, 3); err != nil {
		t.Error(err)
	}
	if _, err := replace(park, "c1", third, 0); err != nil {
		t.Error("a repeat after a newer order:", err)
	}
	if label, config := currentConfig(t, park, "c2"); label != 5 || string(config.WithOrigin()) != tight(fifth) {
		t.Errorf("label %d, %s", label, config.WithOrigin())
	}
	// All orders stay recorded, in the configuration itself or in the history pages.
	for label := uint64(6); label < 6+2*lease.MaxMarks; label++ {
		if _, err := replace(park, "c1", withLabel(park, label, "a"), label-1); err != nil {
			t.Fatal(err)
		}
	}
	last := uint64(5 + 2*lease.MaxMarks)
	if _, config := currentConfig(t, park, "c2"); len(config.Taken) > lease.MaxMarks || config.Archived == 0 || strings.HasPrefix(string(config.Taken[0]), "3/") {
		t.Errorf("orders recorded in the configuration itself: %v", config.Taken)
	}
	for _, document := range [][]byte{third, fifth, withLabel(park, 6, "a")} {
		if _, err := replace(park, "c2", document, 0); err != nil {
			t.Error("repeat of one of the first orders:", err)
		}
	}
	if _, err := replace(park, "c2", withLabel(park, 4, "b"), 0); !isOutdated(err, last, 0) {
		t.Error("an outdated order that was never applied:", err)
	}
	checkOneContentPerVersion(t, park)
}

func tight(document []byte) string {
	var out bytes.Buffer
	_ = json.Compact(&out, document)
	return out.String()
}

// TestAcknowledgedInTime checks that a change waits for a silent lease holder until its lease expires,
// once, and no longer if the core can't be read meanwhile. A change that every lease holder has
// acknowledged is not waited for again, though one has gone silent since and its lease is still valid.
func TestAcknowledgedInTime(t *testing.T) {
	t.Parallel()
	park := faultlessFleet(14)
	defer park.Close()
	took := func(at string, label, expect uint64) time.Duration {
		began := park.Now()
		if _, err := replace(park, at, withLabel(park, label, "a"), expect); err != nil {
			t.Fatal(err)
		}
		return park.Now() - began
	}
	first := took("c1", 1, 0)
	park.Freeze("d1", time.Minute)
	if again := took("c1", 1, 0); first > time.Second || again > 100*time.Millisecond {
		t.Errorf("order: acknowledged by all after %v, and the repeat, with one silent, after %v", first, again)
	}
	if first, again := took("c1", 2, 1), took("c1", 2, 1); first < time.Second || first > 2500*time.Millisecond || again > 100*time.Millisecond {
		t.Errorf("order: acknowledged after %v, the repeat after %v", first, again)
	}
	park.At(300*time.Millisecond, func() { park.Split([]string{"c1"}, []string{"c2", "c3"}, true) })
	if span := took("c1", 3, 2); span < time.Second || span > 2500*time.Millisecond {
		t.Errorf("order: without a majority, acknowledged after %v", span)
	}
}

func second[A, B any](_ A, b B) B { return b }

// checkOneContentPerVersion checks that no version of the configuration was ever in use with two contents.
func checkOneContentPerVersion(t *testing.T, park *fleet.Cluster) {
	t.Helper()
	marks := map[uint64]uint64{}
	for _, adopted := range park.Adopted {
		if mark, known := marks[adopted.Serial]; known && mark != adopted.Mark {
			t.Errorf("old config: seed %d: two contents are in use under version %d", park.Seed, adopted.Serial)
		}
		marks[adopted.Serial] = adopted.Mark
	}
}

// TestEvacuationsAgain checks that a repeated evacuation is acknowledged without a change, and that
// an evacuation outlasts a replacement of the configuration.
func TestEvacuationsAgain(t *testing.T) {
	t.Parallel()
	park := faultlessFleet(12)
	defer park.Close()
	evacuate := func(at, zone string, back bool) (applied lease.Applied, err error) {
		err = park.Do(at, 30*time.Second, func(daemon *controlplane.Daemon) (err error) {
			applied, err = daemon.Evacuate(zone, back)
			return err
		})
		return applied, err
	}
	zone := park.Zone(park.Plan.Replicas[0].ID)
	first, err := evacuate("c1", zone, false)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := evacuate("c2", zone, false); err != nil || again.Serial != first.Serial {
		t.Error(again, err)
	}
	if _, err := replace(park, "c3", withLabel(park, 2, "a"), 0); err != nil {
		t.Error(err)
	}
	if _, config := currentConfig(t, park, "c2"); len(config.Evacuated) != 1 || config.Evacuated[0] != zone {
		t.Error("evacuated:", config.Evacuated)
	}
	for name, daemon := range park.Datas {
		if !daemon.Holder.View().Evacuated[zone] {
			t.Error(name, "does not have the evacuation in its view")
		}
	}
	back, err := evacuate("c2", zone, true)
	if err != nil || back.Serial <= first.Serial {
		t.Error(back, err)
	}
	if again, err := evacuate("c1", zone, true); err != nil || again.Serial != back.Serial {
		t.Error(again, err)
	}
	for _, isBack := range []bool{false, true} {
		var failure *verdict.Error
		if _, err := evacuate("c1", "nowhere-1", isBack); !errors.As(err, &failure) || failure.Status != 404 {
			t.Error("evacuating an unknown zone:", err)
		}
	}
}

// TestReplaceRace checks that of two concurrent documents based on the same one, exactly one is applied.
func TestReplaceRace(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 12; seed++ {
		park := faultlessFleet(seed)
		errs := [2]error{errors.New("open"), errors.New("open")}
		done := 0
		labels := [2]uint64{7, 7 + seed%2} // one label, or two
		for index, at := range []string{"c1", "c2"} {
			park.At(time.Duration(park.Draw(int64(20*time.Millisecond))), func() {
				park.Node(at).Go(func() {
					_, errs[index] = park.Controls[at].Replace(withLabel(park, labels[index], at), 0)
					done++
				})
			})
		}
		if !park.Until(10*time.Second, func() bool { return done == 2 }) {
			t.Fatalf("seed %d: the two orders never ended", seed)
		}
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		if errs[winner] != nil || !isOutdated(errs[1-winner], labels[winner], 0) {
			t.Errorf("seed %d: %v, %v", seed, errs[0], errs[1])
		}
		if label, config := currentConfig(t, park, "c3"); label != labels[winner] || !strings.Contains(string(config.WithOrigin()), fmt.Sprintf(`"mark":"c%d"`, winner+1)) {
			t.Errorf("seed %d: the current label is %d, but c%d's document was acknowledged", seed, label, winner+1)
		}
		checkOneContentPerVersion(t, park)
		park.Close()
	}
}

// TestReplaceLostAnswer cuts a daemon off from all replies during its write. It must report soon that
// the outcome is unknown; a repeat at another daemon is acknowledged, and the document is applied
// once.
func TestReplaceLostAnswer(t *testing.T) {
	t.Parallel()
	decided, unwritten, open := 0, 0, 0
	for seed := uint64(1); seed <= 15; seed++ {
		park := faultlessFleet(seed)
		deaf := func(isDeaf bool) {
			for _, other := range []string{"c2", "c3"} {
				park.Cut(other, "c1", isDeaf)
			}
		}
		document := withLabel(park, 7, "a")
		park.At(time.Duration(seed)*time.Millisecond, func() { deaf(true) })
		span := 2300 * time.Millisecond // longer than one operation on a register
		isLong := seed%3 == 0
		if isLong {
			span = 5 * time.Second
		}
		park.At(span, func() { deaf(false) })
		began := park.Now()
		applied, err := replace(park, "c1", document, 0)
		took := park.Now() - began
		switch {
		case err == nil: // decided before replies were lost, and acknowledged when older leases had expired
			decided++
		case errors.Is(err, register.ErrUncertain):
			if open++; controlplane.OperatorError(err).Status != 504 {
				t.Errorf("seed %d: %v", seed, controlplane.OperatorError(err))
			}
		case errors.Is(err, register.ErrNoMajority):
			if unwritten++; controlplane.OperatorError(err).Status != 503 {
				t.Errorf("seed %d: %v", seed, controlplane.OperatorError(err))
			}
			// Nothing was written, so the document must not become current without a repeat.
			park.Run(3 * time.Second)
			if label, _ := currentConfig(t, park, "c2"); label != 0 {
				t.Errorf("order: seed %d: the daemon reported that nothing was written, but the current label is %d", seed, label)
			}
		default:
			t.Errorf("order: seed %d: %v after %v: %v", seed, applied, took, err)
		}
		if err != nil && took > answerBound || took > 2500*time.Millisecond {
			t.Errorf("seed %d: answered after %v", seed, took)
		}
		again, err := replace(park, "c2", document, 0)
		if err != nil {
			t.Errorf("seed %d: the repeat failed: %v", seed, err)
		}
		park.Run(3 * time.Second)
		if label, config := currentConfig(t, park, "c3"); label != 7 || len(config.Taken) != 1 {
			t.Errorf("seed %d: the current label is %d, applied orders are %v (repeat: %v)", seed, label, config.Taken, again)
		}
		checkOneContentPerVersion(t, park)
		park.Close()
	}
	if t.Logf("%d decided, %d not written, %d of unknown outcome", decided, unwritten, open); decided < 3 || unwritten < 1 || open < 3 {
		t.Error("vacuous")
	}
}

// TestReplaceBeneath checks a daemon that learns of the success of its own change only after a later
// change has followed: it must publish the later contents under the later version, not its own.
func TestReplaceBeneath(t *testing.T) {
	t.Parallel()
	beneath := 0
	for seed := uint64(1); seed <= 16; seed++ {
		park := faultlessFleet(seed)
		// One data daemon gets configurations from c1 alone, and c1 gets no replies for a while
		// after it sent its write.
		park.Split([]string{"d1"}, []string{"c2", "c3"}, true)
		deaf := func(isDeaf bool) {
			for _, other := range []string{"c2", "c3"} {
				park.Cut(other, "c1", isDeaf)
			}
		}
		park.At(time.Duration(seed)*500*time.Microsecond, func() { deaf(true) })
		// The time of healing decides whether c1's change, which is retried after half a second, or
		// another of its reads first returns the current configuration. In the former case it
		// might publish the wrong one.
		park.At(400*time.Millisecond+time.Duration(seed)*8*time.Millisecond, func() { deaf(false) })
		done := false
		var applied lease.Applied
		var err error
		park.Node("c1").Go(func() {
			applied, err = park.Controls["c1"].Replace(withLabel(park, 7, "a"), 0)
			done = true
		})
		park.Run(100 * time.Millisecond)
		later, laterErr := replace(park, "c2", withLabel(park, 8, "b"), 7)
		park.Until(10*time.Second, func() bool { return done })
		// If it has no time left to find out, it reports an unknown outcome.
		if !done || err != nil && controlplane.OperatorError(err).Status < 500 {
			t.Errorf("seed %d: %v", seed, err)
		}
		if laterErr == nil && applied.Serial == later.Serial {
			beneath++
		}
		park.Run(time.Second)
		checkOneContentPerVersion(t, park)
		park.Close()
	}
	if t.Logf("%d changes were found followed by a later one", beneath); beneath < 2 {
		t.Error("vacuous")
	}
}

// TestReplaceStorm checks that, with a change every 80 ms across all control daemons and a data daemon
// that is frozen or cut off, each change is acknowledged within 5 s.
func TestReplaceStorm(t *testing.T) {
	t.Parallel()
	const count = 40
	for name, hurt := range map[string]func(park *fleet.Cluster){
		"calm":   func(*fleet.Cluster) {},
		"frozen": func(park *fleet.Cluster) { park.Freeze("d1", time.Minute) },
		"cut":    func(park *fleet.Cluster) { park.Split([]string{"d1"}, []string{"c1", "c2", "c3"}, true) },
		"noisy": func(park *fleet.Cluster) {
			for at := time.Duration(0); at < 4*time.Second; at += 200 * time.Millisecond {
				park.At(at, func() { park.Cut("c2", "c1", true) })
				park.At(at+100*time.Millisecond, func() { park.Cut("c2", "c1", false) })
			}
		},
	} {
		park := faultlessFleet(13)
		hurt(park)
		ended, worst := 0, time.Duration(0)
		run := func(at string, order func(daemon *controlplane.Daemon) error) {
			park.Node(at).Go(func() {
				err := order(park.Controls[at])
				if ended++; err != nil {
					t.Errorf("%s: %v", name, err)
				}
			})
		}
		zone := park.Zone(park.Plan.Replicas[0].ID)
		for index := range uint64(count) {
			at := fmt.Sprintf("c%d", 1+index%3)
			park.At(time.Duration(index)*80*time.Millisecond, func() {
				run(at, func(daemon *controlplane.Daemon) error {
					// The previous change is still running and may not have been decided yet.
					for {
						if _, label, err := daemon.Current(); err == nil && label >= index {
							break
						}
						wait(daemon, 20*time.Millisecond)
					}
					began := park.Now()
					_, err := daemon.Replace(withLabel(park, index+1, "a"), index)
					worst = max(worst, park.Now()-began)
					return err
				})
				if index%8 == 0 {
					run(at, func(daemon *controlplane.Daemon) error {
						// An abandoned order is retried, as operators do.
						began := park.Now()
						for {
							_, err := daemon.Evacuate(zone, index%16 != 0)
							if worst = max(worst, park.Now()-began); !errors.Is(err, controlplane.ErrAbandoned) {
								return err
							}
						}
					})
				}
			})
		}
		if !park.Until(20*time.Second, func() bool { return ended == count+count/8 }) {
			t.Fatalf("%s: only %d orders ended", name, ended)
		}
		t.Logf("%s: the slowest order took %v", name, worst)
		if worst > 5*time.Second {
			t.Errorf("%s: an order was acknowledged after %v", name, worst)
		}
		if label, config := currentConfig(t, park, "c3"); label != count || len(config.Taken) != count {
			t.Errorf("%s: the current label is %d, %d orders were applied", name, label, len(config.Taken))
		}
		for at, daemon := range park.Datas {
			if view := daemon.Holder.View(); at != "d1" && view.Config().Label() != count {
				t.Errorf("%s: %s uses configuration %d", name, at, view.Config().Label())
			}
		}
		checkOneContentPerVersion(t, park)
		park.Close()
	}
}

// wait blocks for the span of simulated time.
func wait(daemon *controlplane.Daemon, span time.Duration) {
	daemon.World.(*sim.Node).Mailbox().Take(span)
}

// TestBegunGoesByTheNewest checks that a data daemon which starts right after a change was acknowledged
// uses that change from its first lease on, even if the control daemon that grants the lease does
// not have the change yet: no other data daemon fetches there, and it reads the configuration by
// itself only periodically.
func TestBegunGoesByTheNewest(t *testing.T) {
	t.Parallel()
	skipLong(t)
	unknown := 0
	for seed := uint64(1); seed <= 6; seed++ {
		park := faultlessFleet(seed)
		// No other data daemon reaches c1; the late one requests its lease there first.
		late := ""
		for at := 0; late == ""; at++ {
			client := &session.Client{World: park.Node("c3"), Seeds: func() []string { return []string{"c1", "c2", "c3"} }, SessionTimeout: func() time.Duration { return time.Second }, Name: fmt.Sprintf("late-%d", at)}
			if client.Controls()[0] == "c1" {
				late = client.Name
			}
		}
		park.OnCall = func(from, to, method string) sim.Fate {
			if to == "c1" && park.Datas[from] != nil && from != late && strings.HasPrefix(method, "Permit.") {
				return sim.RequestLost
			}
			return sim.Delivered
		}
		park.Run(4*time.Second + time.Duration(seed)*97*time.Millisecond)
		applied, err := replace(park, "c3", withLabel(park, 1, "a"), 0)
		if err != nil {
			t.Fatal(seed, err)
		}
		park.SetZone(late, park.Zone("c1"))
		park.StartData(late)
		if serial, _, _ := park.Controls["c1"].Issuer.Current(); serial < applied.Serial {
			unknown++
		}
		park.Run(time.Millisecond)
		view := park.Datas[late].Holder.View
		for spent := time.Duration(0); spent < 2*time.Second && view().Serial == 0; spent += time.Millisecond {
			park.Run(time.Millisecond)
		}
		if view().Serial < applied.Serial {
			t.Errorf("fallback: seed %d: the daemon starts with version %d, though %d was acknowledged", seed, view().Serial, applied.Serial)
		}
		park.Close()
	}
	if unknown < 3 {
		t.Errorf("vacuous: c1 already had the change in %d of 6 runs", 6-unknown)
	}
}
