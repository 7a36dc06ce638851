package decide

import (
	"maps"
	"math"
	"slices"
	"time"

	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/session"
)

// Health reports: data daemons of a region share what their own requests have shown about a
// replica, so that each of them need not find out by failures of its own.

// HealthReport is the failure record of one data daemon about one run (boot) of a replica.
type HealthReport struct {
	Replica, Boot string
	Region, Model string
	// Bad is the decayed count of failures as of when the report was sent.
	Bad float64
	// Held is the remaining time of the daemon's ejection of the replica; zero if there is none.
	Held time.Duration
}

// HealthReports is what one data daemon sends to a peer of its region.
//
// Invariant: reports are hints. One that is lost, late, repeated or out of order costs a few
// requests at most: each replaces the previous one of the same daemon about the same replica,
// decays like own counts, and counts for no longer than an ejection may last.
type HealthReports struct {
	// From is the daemon's name, and Zone its zone.
	From, Zone string
	Replicas   []HealthReport
}

// Constants of reports.
const (
	// reportDelay is how long failures are collected before the first report about them.
	// reportIntervalPerPeer is how much each peer lengthens the interval between two reports,
	// so that the number of reports that a daemon receives in a second does not grow with the
	// region.
	reportDelay           = 10 * time.Millisecond
	reportIntervalPerPeer = 4 * time.Millisecond
	// reportTimeout bounds a call.
	reportTimeout = 500 * time.Millisecond
	// maxZoneFailures bounds what reports of one zone count, in failures of this daemon's own.
	maxZoneFailures = 1
	// minReportedFailures is the reported count from which a daemon ejects a replica that has
	// not failed it. It is more than one zone can reach, as the reports of a zone may be due
	// to its network path to the replica.
	minReportedFailures = 1.5 * maxZoneFailures
	// maxExtended bounds how long after its start reports may extend an ejection.
	maxExtended = 2 * maxEjection
)

// healthReport is a peer's report about a run of a replica, the time it came, and until when
// the peer ejects the replica.
type healthReport struct {
	boot, zone string
	failures   float64
	at, until  time.Duration
}

// remaining is what the report still counts after its decay.
func (report *healthReport) remaining(now time.Duration) float64 {
	return report.failures * math.Exp2(-(now-report.at).Seconds()/healthHalfLife.Seconds())
}

// outbound holds the reports that are yet to be sent.
type outbound struct {
	replicas  map[string]HealthReport
	isSending bool
}

// queueReport queues a report to the peers about the replica of a selection. The caller holds
// mu.
func (decider *Decider) queueReport(selection *Selection) {
	if len(decider.reportPeers()) == 0 {
		return
	}
	if decider.outbound.replicas == nil {
		decider.outbound.replicas = map[string]HealthReport{}
	}
	decider.outbound.replicas[selection.Replica] = HealthReport{Replica: selection.Replica, Boot: selection.Boot, Region: selection.Region, Model: selection.call.Model}
	if !decider.outbound.isSending {
		decider.outbound.isSending = true
		decider.World.Go(decider.sendReports)
	}
}

// reportPeers lists the peers of the region that get the reports.
func (decider *Decider) reportPeers() (list []session.Member) {
	if decider.Net == nil {
		return nil
	}
	for _, member := range decider.View().Members {
		if member.Role == session.Data && member.Region == decider.Self.Region && member.Name != decider.Self.Name && !member.Leaving && member.Wire != "" {
			list = append(list, member)
		}
	}
	return list
}

// sendReports sends the queued reports until none is left.
func (decider *Decider) sendReports() {
	span := reportDelay
	for loop.Sleep(decider.World, span) {
		reports, has := decider.takeOutbound()
		if !has {
			return
		}
		peers := decider.reportPeers()
		for _, peer := range peers {
			decider.World.Go(func() {
				var isTaken bool
				// A lost report is sent again with the next failure.
				_ = decider.Net.Call(peer.Wire, "Health.Report", reports, &isTaken, reportTimeout)
			})
		}
		span = max(reportDelay, time.Duration(len(peers))*reportIntervalPerPeer)
	}
}

// takeOutbound returns the queued reports; if there are none, it ends the sending.
func (decider *Decider) takeOutbound() (reports HealthReports, has bool) {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	now := decider.World.Now()
	reports.From, reports.Zone = decider.Self.Name, decider.Self.Zone
	for _, id := range slices.Sorted(maps.Keys(decider.outbound.replicas)) {
		report, state := decider.outbound.replicas[id], decider.replicas[id]
		if state == nil {
			continue
		}
		health := &state.health
		health.decay(now)
		report.Bad = health.failures
		if health.isEjected {
			report.Held = max(0, health.ejectedUntil-now)
		}
		reports.Replicas = append(reports.Replicas, report)
	}
	decider.outbound.replicas = nil
	decider.outbound.isSending = len(reports.Replicas) > 0
	return reports, decider.outbound.isSending
}

// TakeReports applies a peer's reports about replicas.
//
// Invariants: reports of one zone alone eject no replica: that also takes a failure of this
// daemon's own there, or reports of a second zone. None extends an ejection beyond maxExtended
// after its start, or after the replica has served a probe. No more replicas are ejected than
// mayEject allows.
func (decider *Decider) TakeReports(reports HealthReports) {
	view := decider.View()
	now := decider.World.Now()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	for _, report := range reports.Replicas {
		if boot, isShown := shownBoot(view, report.Region, report.Replica); !isShown || boot != report.Boot || !(report.Bad >= 0) {
			continue // another run of the replica, one this daemon sends nothing to, or no valid count
		}
		decider.takeReport(view, reports, report, now)
	}
}

func (decider *Decider) takeReport(view *lease.View, reports HealthReports, report HealthReport, now time.Duration) {
	state := decider.replicaState(report.Replica)
	if state.reports == nil {
		state.reports = map[string]healthReport{}
	}
	remaining := max(0, min(report.Held, maxEjection))
	state.reports[reports.From] = healthReport{report.Boot, reports.Zone, min(report.Bad, maxZoneFailures), now, now + remaining}
	if remaining == 0 {
		return
	}
	health := &state.health
	if health.isEjected {
		if health.probeSuccesses == 0 {
			// A random delay keeps the peers from probing it all at the same moment.
			health.extend(now + remaining + time.Duration(decider.World.RandN(int64(remaining/2)+1)))
		}
		return
	}
	health.decay(now)
	reported := state.reported(report.Boot, now)
	isSeen := health.failures >= minOutlierFailures || reported >= minReportedFailures
	if isSeen && health.isOutlier(decider.usualFailureShare(state, report.Region, report.Model, now), reported) && decider.mayEject(view, report.Region, report.Model) {
		state.region, state.model = report.Region, report.Model
		health.eject(now)
		health.extend(now + remaining)
	}
}

// shownBoot returns the run (boot) of a replica that the region's routing table shows.
func shownBoot(view *lease.View, region, replica string) (boot string, isShown bool) {
	endpoints := view.RoutingTables[region].Places
	for at := range endpoints {
		if endpoints[at].ID == replica {
			return endpoints[at].Boot, true
		}
	}
	return "", false
}

// reported sums what peers report against the present run of the replica, in failures, and
// forgets reports that no longer count.
func (state *replicaState) reported(boot string, now time.Duration) (failures float64) {
	if len(state.reports) == 0 {
		return 0
	}
	zones := map[string]float64{}
	for from, report := range state.reports {
		remaining := report.remaining(now)
		if report.boot != boot || remaining < minFailures && now >= report.until {
			delete(state.reports, from)
			continue
		}
		zones[report.zone] = max(zones[report.zone], remaining)
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		failures += zones[zone] // in a fixed order, as floating-point sums depend on it
	}
	return failures
}

// extend prolongs an ejection until the time, up to the bound.
func (health *health) extend(until time.Duration) {
	health.ejectedUntil = max(health.ejectedUntil, min(until, health.ejectedSince+maxExtended))
}
