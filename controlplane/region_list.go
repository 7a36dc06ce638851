package controlplane

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"swifttiller/lease"
	"swifttiller/listing"
	"swifttiller/loop"
	"swifttiller/session"
	"swifttiller/settings"
)

// untilNextList is the time until the platform may be queried again; loop.Forever if it may be
// now.
func (region *region) untilNextList() time.Duration {
	region.mu.Lock()
	defer region.mu.Unlock()
	if remaining := region.nextListAt - region.World.Now(); remaining > 0 {
		return remaining + listTimerMargin
	}
	return loop.Forever
}

// listTimerMargin is added to the wait so that the loop's randomized timer seldom fires too early.
const listTimerMargin = 20 * time.Millisecond

// notifyLeaving sends data daemons the replicas' incarnations that the platform's list has just
// shown to be leaving, so that they need not wait for a new routing table to be computed, written
// and fetched with their next lease renewal; and those that a written routing table no longer
// has. It is best effort: a data daemon that it does not reach learns from the routing table.
func (region *region) notifyLeaving(leavers []lease.DepartingReplica, serial uint64) {
	if len(leavers) == 0 {
		return
	}
	notice := lease.DepartureNotice{Region: region.name, Leavers: leavers, Serial: serial}
	for _, dataDaemon := range region.Sessions.Live(session.Data) {
		region.World.Go(func() {
			for range notifyAttempts {
				acknowledged := false
				if region.Net.Call(dataDaemon.Member.Wire, "Permit.Heed", notice, &acknowledged, region.sessionTimeout()/4) == nil {
					return
				}
			}
		})
	}
}

// notifyAttempts is how many times a notice is sent to a data daemon that does not reply.
const notifyAttempts = 2

// list queries the platform for its replicas, no more often than configured and than the
// platform's rate limit allows.
func (region *region) list(_ uint64, tree *settings.Tree) {
	region.mu.Lock()
	wait := region.World.Now() < region.nextListAt
	region.mu.Unlock()
	address := tree.Platform(region.name)
	if wait || address == "" {
		return
	}
	interval := tree.Duration("platform_ms", region.name)
	listed, err := region.Platform.List(address, tree.Zones(region.name), min(interval, region.sessionTimeout()))
	leavers, hasNew := region.applyList(tree, listed, err)
	region.notifyLeaving(leavers, 0)
	if hasNew {
		region.probeSelected(tree, func(watched *watchedReplica) bool { return !watched.probed })
	}
}

// The list is queried lossListFactor times as often while a replica fails its health checks and
// for lossListWindow after, as replacements become known only through the list.
const (
	lossListFactor = 3
	lossListWindow = 8 * time.Second
)

// applyList merges the platform's list, or the error of the query, into the region's replicas. It
// gives the replicas' incarnations that this list is the first to show as leaving, and whether it
// has new replicas.
func (region *region) applyList(tree *settings.Tree, listed []listing.Instance, err error) (leavers []lease.DepartingReplica, hasNew bool) {
	interval := tree.Duration("platform_ms", region.name)
	now := region.World.Now()
	region.mu.Lock()
	defer region.mu.Unlock()
	for _, entry := range region.replicas {
		if entry.probed && !entry.leaving && !entry.unlisted && now-entry.answeredAt >= tree.Duration("dark_ms", region.name) {
			region.lastDarkAt = now
		}
	}
	region.nextListAt = now + interval
	if region.lastDarkAt > 0 && now-region.lastDarkAt < lossListWindow {
		region.nextListAt = now + interval/lossListFactor
	}
	var limited *listing.RateLimitedError
	if err != nil {
		// Query again soon, as there may be no list yet, but not before the time that the
		// platform asked for.
		region.nextListAt = now + min(interval, tree.Duration("dark_ms", region.name))
		if errors.As(err, &limited) {
			region.nextListAt = max(region.nextListAt, now+limited.RetryAfter)
		}
		region.listError = err.Error()
		return nil, false // the last list remains in use
	}
	region.listError = ""
	seen := map[string]bool{}
	for _, entry := range listed {
		if home, known := tree.RegionOf(entry.Zone); entry.Model != "" && (!known || home != region.name) {
			continue
		}
		seen[entry.ID] = true
		watched := region.replicas[entry.ID]
		if watched == nil || watched.Address != entry.Address {
			watched = &watchedReplica{Instance: entry, answeredAt: now}
			watched.probed, hasNew = false, true
			region.replicas[entry.ID] = watched
		}
		if entry.Leaving && !watched.leaving {
			region.Log.Info("replica is leaving", zap.String("region", region.name), zap.String("replica", entry.ID))
			if boot := watched.boot(tree); boot != "" {
				leavers = append(leavers, lease.DepartingReplica{Replica: entry.ID, Boot: boot})
			}
		}
		watched.Instance = entry
		watched.unlisted = false
		watched.leaving = watched.leaving || entry.Leaving
		watched.coldUntil = max(watched.coldUntil, now+entry.Cold)
	}
	for id, watched := range region.replicas {
		if !seen[id] {
			watched.unlisted = true
			if now-watched.answeredAt > 2*tree.Duration("dark_ms", region.name) {
				delete(region.replicas, id)
			}
		}
	}
	region.isFilled = true
	return leavers, hasNew
}
