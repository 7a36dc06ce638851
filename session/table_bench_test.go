package session_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/loop"
	"swifttiller/routing"
	"swifttiller/session"
)

// BenchmarkTable measures a control daemon's table with the sessions of 420 data daemons:
// processing one heartbeat, listing the sessions, and computing the checksum.
func BenchmarkTable(b *testing.B) {
	world := loop.NewMachine()
	defer world.End()
	table := session.NewTable(session.Options{World: world, Self: session.Member{Name: "c1", Incarnation: "c1", Role: session.Control}, SessionTimeout: func() time.Duration { return time.Hour }})
	beats := make([]session.Heartbeat, 420)
	for index := range beats {
		name := fmt.Sprintf("d%d", index+1)
		beats[index] = session.Heartbeat{Member: session.Member{Name: name, Incarnation: name, Role: session.Data, Wire: name}, Report: routing.Report{Standing: map[string]uint64{"g1": 1}}}
		if err := table.Beat(beats[index], new(session.HeartbeatReply)); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("beat", func(b *testing.B) {
		round := 0
		for b.Loop() {
			round++
			_ = table.Beat(beats[round%len(beats)], new(session.HeartbeatReply))
		}
	})
	b.Run("live", func(b *testing.B) {
		for b.Loop() {
			if len(table.Live("")) != 421 {
				b.Fatal("some sessions are not listed")
			}
		}
	})
	b.Run("sum", func(b *testing.B) {
		for b.Loop() {
			table.Checksum("")
		}
	})
	b.Run("members", func(b *testing.B) {
		for b.Loop() {
			session.Checksum(table.Members(""))
		}
	})
}
