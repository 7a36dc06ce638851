package dataplane

import (
	"sync"
	"time"

	"swifttiller/decide"
	"swifttiller/replica"
)

// inquireMost bounds how many replicas are asked at once; inquireSpan is how often it is
// looked who is to be asked while some region's standing is kept by nobody.
const (
	inquireMost = 16
	inquireSpan = 30 * time.Millisecond
)

// inquire asks replicas how they do while nobody keeps their region's standing up to date, as
// after a power cut of all daemons: until one has said itself that it is not cold, it gets
// only this daemon's part of what a cold one bears.
func (daemon *Daemon) inquire() {
	daemon.inquirer.Run(daemon.World, func() time.Duration {
		if len(daemon.Holder.View().Unkept) > 0 {
			return inquireSpan
		}
		return daemon.span()
	}, func() bool {
		list := daemon.Decider.Inquiries()
		if len(list) == 0 {
			return true
		}
		var guard sync.Mutex
		next := func() (one decide.Inquiry, has bool) {
			guard.Lock()
			defer guard.Unlock()
			if has = len(list) > 0; has {
				one, list = list[0], list[1:]
			}
			return one, has
		}
		patience := daemon.Holder.View().Tree.Span("dark_ms", daemon.Process.Region) / 2
		for range min(inquireMost, len(list)) {
			daemon.World.Go(func() {
				for one, has := next(); has; one, has = next() {
					asked := daemon.World.Now()
					vitals, err := daemon.Probe(replica.Target{ID: one.Replica, Address: one.Address, Path: one.Path}, patience)
					daemon.Decider.Inquired(one, asked, err == nil && vitals.Boot == one.Boot && vitals.Cold <= 0 && !vitals.Declined)
				}
			})
		}
		return true
	})
}
