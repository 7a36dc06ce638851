package quota

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var terms = Accuracy{Window: 5 * time.Second, Excess: 0.1, Slack: 20, Reserve: time.Minute}

const startTime = 10 * time.Second

// startedAggregator returns an aggregator to which count daemons have reported once.
func startedAggregator(incarnation string, count, allDaemons int, limits *Limits) *aggregator {
	agg := newAggregator(incarnation, limits)
	agg.update(startTime, limits, allDaemons, false, false)
	for index := range count {
		agg.report(startTime, Report{From: fmt.Sprint(incarnation, index), Seq: 1})
	}
	agg.update(startTime, limits, allDaemons, false, false)
	return agg
}

// filledAggregator returns an aggregator that has run for long enough to fill its buckets.
func filledAggregator(incarnation string, count, allDaemons int, limits *Limits) (*aggregator, time.Duration) {
	agg := startedAggregator(incarnation, count, allDaemons, limits)
	now := startTime
	for range 400 {
		now += 250 * time.Millisecond
		for index := range count {
			agg.report(now, Report{From: fmt.Sprint(incarnation, index), Seq: agg.reporters[fmt.Sprint(incarnation, index)].seq + 1})
		}
		agg.update(now, limits, allDaemons, false, false)
	}
	return agg, now
}

func TestMessageCounts(t *testing.T) {
	sum := func(counts map[uint64]usage) (used int64, requested uint64) {
		for _, entry := range counts {
			used, requested = used+entry.used, requested+entry.requested
		}
		return used, requested
	}
	Convey("each request counts once even if replies are lost and messages arrive late, twice or not at all", t, func() {
		for seed := range uint64(200) {
			var out outbox
			var in inbox
			var messages []func()
			used, requested, applied, appliedRequested := int64(0), uint64(0), int64(0), uint64(0)
			draw := seed
			next := func(below uint64) uint64 {
				draw = draw*6364136223846793005 + 1442695040888963407
				return draw >> 33 % below
			}
			for range 60 {
				key, isReturn := next(3), int64(next(4)) == 0
				if isReturn {
					out.add(key, -1, 0)
					used--
				} else {
					out.add(key, 1, 1)
					used, requested = used+1, requested+1
				}
				if next(3) > 0 {
					continue
				}
				seq, since, sums := out.compose()
				deliver := func() {
					newUsed, newRequested := sum(in.accept(seq, since, sums))
					applied, appliedRequested = applied+newUsed, appliedRequested+newRequested
				}
				messages = append(messages, deliver)
				switch next(4) {
				case 0: // the message is lost
				case 1: // the reply is lost
					deliver()
				default:
					deliver()
					out.confirm()
				}
				if next(3) == 0 {
					messages[next(uint64(len(messages)))]() // an old message arrives once more
				}
			}
			seq, since, sums := out.compose()
			newUsed, newRequested := sum(in.accept(seq, since, sums))
			So(applied+newUsed, ShouldEqual, used)
			So(appliedRequested+newRequested, ShouldEqual, requested)
		}
	})
}

func TestAggregator(t *testing.T) {
	limits := NewLimits(terms, []Limit{{"one", 100, 100}, {"two", 1, 1}, {"free", 0, 5}})
	limit := limits.byName["one"]
	request := func(agg *aggregator, now time.Duration, from string, count uint64) ReportReply {
		agg.mutex.Lock()
		seq := uint64(1)
		if in := agg.reporters[from]; in != nil {
			seq = in.seq + 1
		}
		agg.mutex.Unlock()
		reply, _ := agg.report(now, Report{From: from, Seq: seq, Keys: []uint64{limit.key}, Wants: []uint64{count}})
		return reply
	}
	Convey("a tenant without a rate has no limit", t, func() {
		So(limits.byName["free"], ShouldBeNil)
	})
	Convey("the parts of the error add up to the whole error", t, func() {
		So(limit.errorPart*errorParts, ShouldAlmostEqual, 0.1*600+20)
		So(limit.capacity, ShouldAlmostEqual, 100+limit.errorPart)
	})
	Convey("a full bucket grants its capacity at once, then requests at its refill rate", t, func() {
		agg, now := filledAggregator("a", 4, 4, limits)
		So(agg.share, ShouldEqual, 1)
		So(request(agg, now, "a0", 1000).Granted[0], ShouldEqual, uint64(limit.capacity))
		reply := request(agg, now, "a1", 10)
		So(reply.Granted[0], ShouldEqual, 0)
		So(reply.Waits[0], ShouldBeGreaterThanOrEqualTo, 100)
		So(reply.Pressure.Keys, ShouldContain, limit.key)
		So(request(agg, now+200*time.Millisecond, "a1", 1000).Granted[0], ShouldBeBetweenOrEqual, 20, 21)
	})
	Convey("a new aggregator starts with at most one part of the error, in proportion to its daemons", t, func() {
		agg := startedAggregator("a", 2, 4, limits)
		So(request(agg, startTime, "a0", 1000).Granted[0], ShouldBeBetweenOrEqual, 1, uint64(limit.errorPart/2)+2)
	})
	Convey("a daemon that changes its aggregator contributes no more than the former one had", t, func() {
		agg := newAggregator("a", limits)
		agg.update(startTime, limits, 2, false, false)
		agg.report(startTime, Report{From: "a0", Seq: 1, Former: &Pressure{Keys: []uint64{limit.key}, Levels: []float64{-8}, Share: 1}})
		So(agg.buckets[limit.key].level, ShouldAlmostEqual, -4)
		bare := newAggregator("b", limits)
		bare.update(startTime, limits, 2, false, false)
		bare.report(startTime, Report{From: "b0", Seq: 1, IsBare: true})
		So(bare.buckets[limit.key].level, ShouldEqual, 0)
	})
	Convey("an aggregator that was stalled starts with empty buckets", t, func() {
		agg, now := filledAggregator("a", 4, 4, limits)
		So(request(agg, now+time.Second, "a0", 1000).Granted[0], ShouldBeLessThanOrEqualTo, uint64(limit.errorPart/4)+1)
	})
	Convey("the share shrinks by the share of an unreachable daemon", t, func() {
		agg, now := filledAggregator("a", 2, 4, limits)
		So(agg.share, ShouldEqual, 0.5)
		now += 250 * time.Millisecond
		agg.report(now, Report{From: "a0", Seq: agg.reporters["a0"].seq + 1})
		agg.update(now, limits, 4, false, false)
		So(agg.share, ShouldEqual, 0.5)
		now += 500 * time.Millisecond
		agg.report(now, Report{From: "a0", Seq: agg.reporters["a0"].seq + 1})
		agg.update(now, limits, 4, false, false)
		So(agg.share, ShouldEqual, 0.25)
		So(agg.buckets[limit.key] == nil || agg.buckets[limit.key].level <= limit.capacity/4, ShouldBeTrue)
	})
	Convey("a daemon whose share has expired grants nothing", t, func() {
		agg, now := filledAggregator("b", 1, 4, limits)
		agg.update(now, limits, 4, false, true)
		So(request(agg, now, "b0", 1).Granted[0], ShouldEqual, 0)
	})
	Convey("two aggregators that reach each other grant together no more than one bucket and a part of the error", t, func() {
		a, now := filledAggregator("a", 2, 4, limits)
		b, _ := filledAggregator("b", 2, 4, limits)
		exchange := func() {
			for _, pair := range [][2]*aggregator{{a, b}, {b, a}} {
				message, _ := pair[0].composeGossip(now, pair[1].incarnation, pair[0].incarnation)
				pair[0].confirmGossip(now, pair[1].incarnation, message, pair[1].receiveGossip(now, message))
			}
		}
		step := func() {
			now += 250 * time.Millisecond
			for _, agg := range []*aggregator{a, b} {
				for _, from := range []string{agg.incarnation + "0", agg.incarnation + "1"} {
					agg.report(now, Report{From: from, Seq: agg.reporters[from].seq + 1})
				}
				agg.update(now, limits, 4, false, false)
			}
			exchange()
		}
		for range 40 {
			step()
		}
		So(a.share, ShouldEqual, 1)
		So(b.share, ShouldEqual, 1)
		granted := request(a, now, "a0", 1000).Granted[0]
		So(granted, ShouldBeLessThanOrEqualTo, uint64(limit.capacity))
		granted += request(b, now, "b0", 1000).Granted[0]
		exchange()
		for range 4 {
			granted += request(a, now, "a1", 1000).Granted[0] + request(b, now, "b1", 1000).Granted[0]
			exchange()
		}
		// Neither knew of the other's demand, so each granted its whole portion.
		So(float64(granted), ShouldBeLessThanOrEqualTo, 2*limit.capacity)
		before := now
		granted = 0
		for range 40 {
			granted += request(a, now, "a0", 1000).Granted[0] + request(b, now, "b0", 1000).Granted[0]
			step()
		}
		So(float64(granted), ShouldBeLessThanOrEqualTo, (now-before).Seconds()*100+limit.errorPart)
		So(float64(granted), ShouldBeGreaterThan, 0.85*((now-before).Seconds()*100-2*limit.capacity))
	})
	Convey("a lower limit takes effect at the next update", t, func() {
		agg, now := filledAggregator("a", 4, 4, limits)
		request(agg, now, "a0", 10)
		agg.update(now, NewLimits(terms, []Limit{{"one", 10, 10}}), 4, false, false)
		So(request(agg, now, "a0", 1000).Granted[0], ShouldBeLessThanOrEqualTo, 10+uint64(limit.errorPart))
	})
	Convey("aggregators accept concurrent calls", t, func() {
		a, now := filledAggregator("a", 2, 4, limits)
		var group sync.WaitGroup
		for index := range 8 {
			group.Add(1)
			go func() {
				defer group.Done()
				for range 200 {
					a.report(now, Report{From: fmt.Sprint("a", index%2), Keys: []uint64{limit.key}, Wants: []uint64{1}})
					message, _ := a.composeGossip(now, "b", "a")
					a.confirmGossip(now, "b", message, GossipReply{})
					a.receiveGossip(now, GossipMessage{From: fmt.Sprint("c", index), Address: "c"})
					a.update(now, limits, 4, false, false)
				}
			}()
		}
		group.Wait()
		So(a.buckets[limit.key].level, ShouldBeLessThan, 1)
		So(math.IsNaN(a.share), ShouldBeFalse)
	})
}

// TestConcurrentGrants guards against an overshoot when several aggregators grant at the same time: they know of
// one another's demand, but not yet of the grants. Together they may grant no more than one bucket
// holds plus a part of the error.
func TestConcurrentGrants(t *testing.T) {
	limits := NewLimits(terms, []Limit{{"one", 100, 100}})
	limit := limits.byName["one"]
	var aggregators []*aggregator
	now := startTime
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		agg, last := filledAggregator(name, 1, 6, limits)
		aggregators, now = append(aggregators, agg), last
	}
	request := func(agg *aggregator, count uint64) uint64 {
		from := agg.incarnation + "0"
		reply, _ := agg.report(now, Report{From: from, Seq: agg.reporters[from].seq + 1, Keys: []uint64{limit.key}, Wants: []uint64{count}})
		return reply.Granted[0]
	}
	for step := range 40 {
		now += 250 * time.Millisecond
		for _, agg := range aggregators {
			request(agg, uint64(min(1, step%3)))
			agg.update(now, limits, 6, false, false)
		}
		for _, from := range aggregators {
			for _, to := range aggregators {
				if from != to {
					message, _ := from.composeGossip(now, to.incarnation, from.incarnation)
					from.confirmGossip(now, to.incarnation, message, to.receiveGossip(now, message))
				}
			}
		}
	}
	granted := uint64(0)
	for _, agg := range aggregators {
		if agg.share != 1 {
			t.Fatalf("vacuous: aggregator %s has a share of %v of the limits, want 1", agg.incarnation, agg.share)
		}
		for range 400 {
			granted += request(agg, 1)
		}
	}
	if float64(granted) > limit.capacity+limit.errorPart || float64(granted) < limit.capacity/2 {
		t.Errorf("quota: the aggregators granted %d at once; a bucket holds %.0f and a part of the error is %.0f", granted, limit.capacity, limit.errorPart)
	}
}

// TestStartingAggregator guards against grants by a daemon that has only just received its first member list. The
// list may be short because it is incomplete, and the daemon would take too large a share.
func TestStartingAggregator(t *testing.T) {
	limits := NewLimits(terms, []Limit{{"one", 100, 100}})
	agg, now, granted := newAggregator("a", limits), startTime, uint64(0)
	agg.update(now, limits, 1, true, false)
	for seq := range uint64(5) {
		reply, _ := agg.report(now, Report{From: "a", Seq: seq + 1, Keys: []uint64{limits.byName["one"].key}, Wants: []uint64{1}})
		granted += reply.Granted[0]
		now += 100 * time.Millisecond
		agg.update(now, limits, 1, true, false)
	}
	if granted > 0 {
		t.Errorf("quota: %d requests granted by an aggregator that has just started", granted)
	}
}
