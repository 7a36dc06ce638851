package dataplane

import (
	"sync"
	"time"

	"swifttiller/decide"
	"swifttiller/replica"
)

// maxProbes limits the replicas that are probed at once. unkeptProbeInterval is how often the
// daemon checks which replicas to probe while the routing table of a region has no daemon that
// maintains it.
const (
	maxProbes           = 16
	unkeptProbeInterval = 30 * time.Millisecond
)

// probeReplicas probes replicas while no daemon maintains the routing table of their region, as
// after a power cut of all daemons. Until a replica itself has reported that it is not cold, it
// gets only this daemon's share of the load that a cold replica can bear.
func (daemon *Daemon) probeReplicas() {
	daemon.prober.Run(daemon.World, func() time.Duration {
		if len(daemon.Holder.View().Unconfirmed) > 0 {
			return unkeptProbeInterval
		}
		return daemon.sessionInterval()
	}, func() bool {
		inquiries := daemon.Decider.HealthQueries()
		if len(inquiries) == 0 {
			return true
		}
		var mu sync.Mutex
		next := func() (inquiry decide.HealthQuery, ok bool) {
			mu.Lock()
			defer mu.Unlock()
			if ok = len(inquiries) > 0; ok {
				inquiry, inquiries = inquiries[0], inquiries[1:]
			}
			return inquiry, ok
		}
		timeout := daemon.Holder.View().Tree.Duration("dark_ms", daemon.Process.Region) / 2
		for range min(maxProbes, len(inquiries)) {
			daemon.World.Go(func() {
				for inquiry, ok := next(); ok; inquiry, ok = next() {
					sentAt := daemon.World.Now()
					health, err := daemon.Probe(replica.Target{ID: inquiry.Replica, Address: inquiry.Address, Path: inquiry.Path}, timeout)
					daemon.Decider.RecordHealthQuery(inquiry, sentAt, err == nil && health.Boot == inquiry.Boot && health.Cold <= 0 && !health.Rejected)
				}
			})
		}
		return true
	})
}
