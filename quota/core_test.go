package quota

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var terms = Terms{Window: 5 * time.Second, Excess: 0.1, Slack: 20, Reserve: time.Minute}

const at = 10 * time.Second

// opened is a hub of as many daemons, which have told it that they are there.
func opened(name string, count, all int, limits *Limits) *hub {
	hub := newHub(name, limits)
	hub.look(at, limits, all, false, false)
	for index := range count {
		hub.report(at, Report{From: fmt.Sprint(name, index), Seq: 1})
	}
	hub.look(at, limits, all, false, false)
	return hub
}

// filled is one whose buckets have had the time to fill.
func filled(name string, count, all int, limits *Limits) (*hub, time.Duration) {
	hub := opened(name, count, all, limits)
	now := at
	for range 400 {
		now += 250 * time.Millisecond
		for index := range count {
			hub.report(now, Report{From: fmt.Sprint(name, index), Seq: hub.reporters[fmt.Sprint(name, index)].seq + 1})
		}
		hub.look(now, limits, all, false, false)
	}
	return hub, now
}

func TestLetters(t *testing.T) {
	sum := func(counts map[uint64]count) (used int64, asked uint64) {
		for _, one := range counts {
			used, asked = used+one.used, asked+one.asked
		}
		return used, asked
	}
	Convey("each request counts once, though answers are lost and letters come late, twice or not at all", t, func() {
		for seed := range uint64(200) {
			var out outbox
			var in inbox
			var letters []func()
			used, asked, taken, takenAsked := int64(0), uint64(0), int64(0), uint64(0)
			draw := seed
			next := func(below uint64) uint64 {
				draw = draw*6364136223846793005 + 1442695040888963407
				return draw >> 33 % below
			}
			for range 60 {
				key, back := next(3), int64(next(4)) == 0
				if back {
					out.add(key, -1, 0)
					used--
				} else {
					out.add(key, 1, 1)
					used, asked = used+1, asked+1
				}
				if next(3) > 0 {
					continue
				}
				seq, since, sums := out.write()
				arrive := func() {
					moreUsed, moreAsked := sum(in.take(seq, since, sums))
					taken, takenAsked = taken+moreUsed, takenAsked+moreAsked
				}
				letters = append(letters, arrive)
				switch next(4) {
				case 0: // lost
				case 1: // its answer is lost
					arrive()
				default:
					arrive()
					out.confirmed()
				}
				if next(3) == 0 {
					letters[next(uint64(len(letters)))]() // an old one once more
				}
			}
			seq, since, sums := out.write()
			moreUsed, moreAsked := sum(in.take(seq, since, sums))
			So(taken+moreUsed, ShouldEqual, used)
			So(takenAsked+moreAsked, ShouldEqual, asked)
		}
	})
}

func TestHub(t *testing.T) {
	limits := Index(terms, []Limit{{"one", 100, 100}, {"two", 1, 1}, {"free", 0, 5}})
	one := limits.named["one"]
	wants := func(hub *hub, now time.Duration, from string, count uint64) Word {
		hub.guard.Lock()
		seq := uint64(1)
		if in := hub.reporters[from]; in != nil {
			seq = in.seq + 1
		}
		hub.guard.Unlock()
		word, _ := hub.report(now, Report{From: from, Seq: seq, Keys: []uint64{one.key}, Wants: []uint64{count}})
		return word
	}
	Convey("a tenant without a rate has no limit", t, func() {
		So(limits.named["free"], ShouldBeNil)
	})
	Convey("the parts of the error sum up to it", t, func() {
		So(one.part*errorParts, ShouldAlmostEqual, 0.1*600+20)
		So(one.most, ShouldAlmostEqual, 100+one.part)
	})
	Convey("a full bucket gives what it holds, and then as it fills", t, func() {
		hub, now := filled("a", 4, 4, limits)
		So(hub.share, ShouldEqual, 1)
		So(wants(hub, now, "a0", 1000).Granted[0], ShouldEqual, uint64(one.most))
		word := wants(hub, now, "a1", 10)
		So(word.Granted[0], ShouldEqual, 0)
		So(word.Waits[0], ShouldBeGreaterThanOrEqualTo, 100)
		So(word.Pressure.Keys, ShouldContain, one.key)
		So(wants(hub, now+200*time.Millisecond, "a1", 1000).Granted[0], ShouldBeBetweenOrEqual, 20, 21)
	})
	Convey("a hub begins with a part of the error at the most, by the daemons that it hears", t, func() {
		hub := opened("a", 2, 4, limits)
		So(wants(hub, at, "a0", 1000).Granted[0], ShouldBeBetweenOrEqual, 1, uint64(one.part/2)+2)
	})
	Convey("a daemon that has moved brings no more than its hub before had", t, func() {
		hub := newHub("a", limits)
		hub.look(at, limits, 2, false, false)
		hub.report(at, Report{From: "a0", Seq: 1, Former: &Pressure{Keys: []uint64{one.key}, Levels: []float64{-8}, Share: 1}})
		So(hub.buckets[one.key].level, ShouldAlmostEqual, -4)
		bare := newHub("b", limits)
		bare.look(at, limits, 2, false, false)
		bare.report(at, Report{From: "b0", Seq: 1, IsBare: true})
		So(bare.buckets[one.key].level, ShouldEqual, 0)
	})
	Convey("one that stood still knows nothing any more", t, func() {
		hub, now := filled("a", 4, 4, limits)
		So(wants(hub, now+time.Second, "a0", 1000).Granted[0], ShouldBeLessThanOrEqualTo, uint64(one.part/4)+1)
	})
	Convey("who is not heard takes its share along", t, func() {
		hub, now := filled("a", 2, 4, limits)
		So(hub.share, ShouldEqual, 0.5)
		now += 250 * time.Millisecond
		hub.report(now, Report{From: "a0", Seq: hub.reporters["a0"].seq + 1})
		hub.look(now, limits, 4, false, false)
		So(hub.share, ShouldEqual, 0.5)
		now += 500 * time.Millisecond
		hub.report(now, Report{From: "a0", Seq: hub.reporters["a0"].seq + 1})
		hub.look(now, limits, 4, false, false)
		So(hub.share, ShouldEqual, 0.25)
		So(hub.buckets[one.key] == nil || hub.buckets[one.key].level <= one.most/4, ShouldBeTrue)
	})
	Convey("a daemon whose share is over grants nothing", t, func() {
		hub, now := filled("b", 1, 4, limits)
		hub.look(now, limits, 4, false, true)
		So(wants(hub, now, "b0", 1).Granted[0], ShouldEqual, 0)
	})
	Convey("two hubs that are in touch let through together what one bucket holds, and a part of the error", t, func() {
		a, now := filled("a", 2, 4, limits)
		b, _ := filled("b", 2, 4, limits)
		share := func() {
			for _, way := range [][2]*hub{{a, b}, {b, a}} {
				letter, _ := way[0].write(now, way[1].name, way[0].name)
				way[0].answered(now, way[1].name, letter, way[1].hear(now, letter))
			}
		}
		turn := func() {
			now += 250 * time.Millisecond
			for _, hub := range []*hub{a, b} {
				for _, from := range []string{hub.name + "0", hub.name + "1"} {
					hub.report(now, Report{From: from, Seq: hub.reporters[from].seq + 1})
				}
				hub.look(now, limits, 4, false, false)
			}
			share()
		}
		for range 40 {
			turn()
		}
		So(a.share, ShouldEqual, 1)
		So(b.share, ShouldEqual, 1)
		granted := wants(a, now, "a0", 1000).Granted[0]
		So(granted, ShouldBeLessThanOrEqualTo, uint64(one.most))
		granted += wants(b, now, "b0", 1000).Granted[0]
		share()
		for range 4 {
			granted += wants(a, now, "a1", 1000).Granted[0] + wants(b, now, "b1", 1000).Granted[0]
			share()
		}
		// Neither knew that the other is asked as well: each let through its whole part.
		So(float64(granted), ShouldBeLessThanOrEqualTo, 2*one.most)
		before := now
		granted = 0
		for range 40 {
			granted += wants(a, now, "a0", 1000).Granted[0] + wants(b, now, "b0", 1000).Granted[0]
			turn()
		}
		So(float64(granted), ShouldBeLessThanOrEqualTo, (now-before).Seconds()*100+one.part)
		So(float64(granted), ShouldBeGreaterThan, 0.85*((now-before).Seconds()*100-2*one.most))
	})
	Convey("a lower limit holds at the next look", t, func() {
		hub, now := filled("a", 4, 4, limits)
		wants(hub, now, "a0", 10)
		hub.look(now, Index(terms, []Limit{{"one", 10, 10}}), 4, false, false)
		So(wants(hub, now, "a0", 1000).Granted[0], ShouldBeLessThanOrEqualTo, 10+uint64(one.part))
	})
	Convey("hubs take calls from many tasks at once", t, func() {
		a, now := filled("a", 2, 4, limits)
		var group sync.WaitGroup
		for index := range 8 {
			group.Add(1)
			go func() {
				defer group.Done()
				for range 200 {
					a.report(now, Report{From: fmt.Sprint("a", index%2), Keys: []uint64{one.key}, Wants: []uint64{1}})
					letter, _ := a.write(now, "b", "a")
					a.answered(now, "b", letter, Heard{})
					a.hear(now, Letter{From: fmt.Sprint("c", index), Address: "c"})
					a.look(now, limits, 4, false, false)
				}
			}()
		}
		group.Wait()
		So(a.buckets[one.key].level, ShouldBeLessThan, 1)
		So(math.IsNaN(a.share), ShouldBeFalse)
	})
}

// TestAhead: hubs that know what the others are asked for let through together, while they do
// not hear of one another, no more than one bucket holds and a part of the error.
func TestAhead(t *testing.T) {
	limits := Index(terms, []Limit{{"one", 100, 100}})
	one := limits.named["one"]
	var hubs []*hub
	now := at
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		hub, last := filled(name, 1, 6, limits)
		hubs, now = append(hubs, hub), last
	}
	ask := func(hub *hub, count uint64) uint64 {
		from := hub.name + "0"
		word, _ := hub.report(now, Report{From: from, Seq: hub.reporters[from].seq + 1, Keys: []uint64{one.key}, Wants: []uint64{count}})
		return word.Granted[0]
	}
	for turn := range 40 {
		now += 250 * time.Millisecond
		for _, hub := range hubs {
			ask(hub, uint64(min(1, turn%3)))
			hub.look(now, limits, 6, false, false)
		}
		for _, from := range hubs {
			for _, to := range hubs {
				if from != to {
					letter, _ := from.write(now, to.name, from.name)
					from.answered(now, to.name, letter, to.hear(now, letter))
				}
			}
		}
	}
	granted := uint64(0)
	for _, hub := range hubs {
		if hub.share != 1 {
			t.Fatalf("vacuous: %s goes by %v of the limits", hub.name, hub.share)
		}
		for range 400 {
			granted += ask(hub, 1)
		}
	}
	if float64(granted) > one.most+one.part || float64(granted) < one.most/2 {
		t.Errorf("quota: %d at once, of %.0f in a bucket and %.0f of the error", granted, one.most, one.part)
	}
}

// TestYoung: a daemon that has only just had a list of the others grants nothing, however few
// are on it.
func TestYoung(t *testing.T) {
	limits := Index(terms, []Limit{{"one", 100, 100}})
	hub, now, granted := newHub("a", limits), at, uint64(0)
	hub.look(now, limits, 1, true, false)
	for seq := range uint64(5) {
		word, _ := hub.report(now, Report{From: "a", Seq: seq + 1, Keys: []uint64{limits.named["one"].key}, Wants: []uint64{1}})
		granted += word.Granted[0]
		now += 100 * time.Millisecond
		hub.look(now, limits, 1, true, false)
	}
	if granted > 0 {
		t.Errorf("quota: %d granted", granted)
	}
}
