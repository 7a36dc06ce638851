// Package doctor looks for common faults in the status that a system reports about itself. It
// only reads, and reports what it could not observe.
package doctor

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"swifttiller/controlplane"
	"swifttiller/rollout"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/workflow"
)

// Severities of findings, from the most severe.
const (
	Critical = "critical" // a guarantee is violated or about to be
	Warning  = "warning"  // something works worse than it should
	Watch    = "watch"    // worth knowing
)

// Finding is one detected fault.
type Finding struct {
	Name     string `json:"name"`
	Severity string `json:"severity"`
	Evidence string `json:"evidence"`
	Advice   string `json:"advice"`
}

// Snapshot is the status of the system at one moment.
type Snapshot struct {
	At     time.Time
	Status controlplane.Status
}

type exam struct {
	first, last Snapshot
	tree        *settings.Tree
	sessions    map[string]session.Session
	findings    []Finding
}

func (exam *exam) find(name, severity, advice, evidence string, values ...any) {
	exam.findings = append(exam.findings, Finding{name, severity, fmt.Sprintf(evidence, values...), advice})
}

// Examine compares two status snapshots taken some time apart and returns the findings, the most
// severe first. A condition that clears by itself between the snapshots is not a finding.
func Examine(first, last Snapshot) []Finding {
	exam := &exam{first: first, last: last, sessions: sessions(last.Status)}
	if len(last.Status.Document) > 0 {
		exam.tree, _ = settings.Parse(last.Status.Document)
	}
	exam.core()
	exam.disks()
	exam.clocks()
	exam.count()
	exam.elections()
	exam.replicas()
	exam.rollouts()
	exam.settings()
	order := map[string]int{Critical: 0, Warning: 1, Watch: 2}
	slices.SortStableFunc(exam.findings, func(a, b Finding) int { return order[a.Severity] - order[b.Severity] })
	return exam.findings
}

// sessions returns, for each member, the most recent session that any daemon reported.
func sessions(status controlplane.Status) map[string]session.Session {
	out := map[string]session.Session{}
	for _, name := range slices.Sorted(maps.Keys(status.Locals)) {
		for _, report := range status.Locals[name].Sessions {
			if freshest, known := out[report.Member.Name]; !known || report.Age < freshest.Age {
				out[report.Member.Name] = report
			}
		}
	}
	return out
}

func (exam *exam) core() {
	status := exam.last.Status
	if status.Core.Epoch == 0 {
		exam.find("no core", Critical, "create one with `controlplane init`", "%s does not know of any core", status.Asked)
		return
	}
	if !status.Majority {
		exam.find("no core majority", Critical, "restore the acceptors or their network; without a majority leases expire and no requests are served", "%s", status.Trouble)
	} else if status.Serial == 0 {
		exam.find("no configuration", Warning, "apply one with `controlplane apply FILE`", "the configuration register is empty")
	}
	for _, address := range slices.Sorted(maps.Keys(status.Unreached)) {
		if strings.HasPrefix(status.Unreached[address], "seed") {
			continue
		}
		exam.find("not reached", Warning, "check that machine and the network paths to it; if it is permanently gone, remove its acceptor with `controlplane core remove`", "%s: %s", address, status.Unreached[address])
	}
	for _, seed := range status.SeedsUnmet {
		exam.find("seed names nobody", Warning, "start a control daemon there or change the seeds in the daemons' settings", "no control daemon answers at seed %s", seed)
	}
	for _, name := range slices.Sorted(maps.Keys(status.Locals)) {
		acceptor := status.Locals[name].Acceptor
		if acceptor == nil {
			continue
		}
		switch {
		case status.Core.Has(acceptor.ID) && acceptor.Core.Epoch < status.Core.Epoch:
			exam.find("acceptor behind", Warning, "it catches up by itself within seconds; if not, check its log", "%s (%s) is at core epoch %d of %d", name, acceptor.ID, acceptor.Core.Epoch, status.Core.Epoch)
		case !status.Core.Has(acceptor.ID):
			exam.find("acceptor outside the core", Watch, "it is added automatically within seconds, up to seven voters, while a majority responds; if not, check its disk and the network paths to it, or run `controlplane core add "+acceptor.ID+"`", "%s has a disk but is not a voting member (%s)", name, acceptor.ID)
		}
	}
	exam.copies()
	exam.redundancy()
}

// missingCopyAfter is how long an acceptor may lack copies before it is taken not to recover by
// itself: a restarted machine, or the copying of a whole disk, takes only seconds.
const missingCopyAfter = time.Minute

// redundancy finds acceptors that have lacked copies, or have not responded, for a long time.
func (exam *exam) redundancy() {
	redundancy := exam.last.Status.Redundancy
	if redundancy == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(redundancy.LackingFor)) {
		if age := redundancy.LackingFor[id]; age >= missingCopyAfter {
			exam.find("a copy is missing", Warning, "start its machine or add another one; if it is running, look for `copies compared` in its log",
				"acceptor %s has not responded or has been behind for at least %v; %d more disks may fail without loss of data", id, age.Round(time.Second), redundancy.Losable)
		}
	}
}

// copies finds an acceptor whose data has not changed between the snapshots and differs from that
// of the other acceptors, which all agree.
func (exam *exam) copies() {
	before, now := exam.first.Status.Sums, exam.last.Status.Sums
	if len(now) < 3 {
		return
	}
	ids := slices.Sorted(maps.Keys(now))
	for _, id := range ids {
		var stuck []int
		for bucket := range now[id] {
			if len(before[id]) <= bucket || before[id][bucket] != now[id][bucket] {
				continue
			}
			apart, agree := true, true
			var common string
			for _, other := range ids {
				if other == id {
					continue
				}
				if len(before[other]) <= bucket {
					agree = false
					break
				}
				apart = apart && now[other][bucket] != now[id][bucket] && before[other][bucket] != now[id][bucket]
				agree = agree && (common == "" || common == now[other][bucket])
				common = now[other][bucket]
			}
			if apart && agree {
				stuck = append(stuck, bucket)
			}
		}
		if len(stuck) > 0 {
			exam.find("acceptors disagree", Warning, "repair fixes this by itself within seconds; if it persists, that acceptor receives no writes: check its network and disk", "acceptor %s has not changed in ranges %v while the others agree", id, stuck)
		}
	}
}

// slowSyncLimit is the disk sync time from which a disk counts as slow; it is a share of the
// timeout of a quorum round.
const slowSyncLimit = 300 * time.Millisecond

func (exam *exam) disks() {
	for _, name := range slices.Sorted(maps.Keys(exam.last.Status.Locals)) {
		acceptor := exam.last.Status.Locals[name].Acceptor
		if acceptor == nil {
			continue
		}
		if acceptor.Disk.Broken != "" {
			exam.find("disk does not keep", Critical, "free up or replace the disk; the daemon votes again half a second after the disk accepts writes", "%s: %s", name, acceptor.Disk.Broken)
		}
		if acceptor.Disk.LastSync > slowSyncLimit {
			exam.find("slow disk", Warning, "move the data directory to a faster disk; only the replies of this acceptor are late", "%s: the last sync took %v", name, acceptor.Disk.LastSync.Round(time.Millisecond))
		}
	}
}

func (exam *exam) clocks() {
	for _, name := range slices.Sorted(maps.Keys(exam.last.Status.Skews)) {
		if skew := exam.last.Status.Skews[name]; skew.Abs() > 2*time.Second {
			exam.find("clock apart", Warning, "set the wall clock; only delayed orders (standby, archive) depend on it", "the clock of %s differs by %v from that of %s", name, skew.Round(time.Millisecond), exam.last.Status.Asked)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(exam.last.Status.Locals)) {
		if local := exam.last.Status.Locals[name]; exam.last.Status.Majority && local.Serial < exam.first.Status.Serial {
			exam.find("serial behind", Warning, "check the network paths from that control daemon to the core", "%s has read configuration version %d of %d", name, local.Serial, exam.last.Status.Serial)
		}
	}
}

func (exam *exam) count() {
	old := sessions(exam.first.Status)
	count := 0
	for _, name := range slices.Sorted(maps.Keys(exam.sessions)) {
		report := exam.sessions[name]
		if report.Member.Role != session.Data {
			continue
		}
		count++
		if report.Report.Permit <= report.Age {
			exam.find("no permit", Critical, "check its log and its network paths to the control daemons; it rejects all requests until it has a lease", "data daemon %s in %s has no lease", name, report.Member.Zone)
		}
		if exam.last.Status.Majority && report.Report.Config < exam.first.Status.Serial && report.Report.Permit > report.Age {
			exam.find("serial behind", Warning, "it should catch up within one lease renewal; check its log", "data daemon %s applies configuration version %d of %d", name, report.Report.Config, exam.last.Status.Serial)
		}
		if exam.tree != nil {
			if region, known := exam.tree.RegionOf(report.Member.Zone); !known || region != report.Member.Region {
				exam.find("settings clash", Warning, "add the zone to the configuration, or change the daemon's settings", "%s reports zone %s of region %s, which the configuration does not have", name, report.Member.Zone, report.Member.Region)
			}
		}
		before := old[name]
		if spent := report.Report.Declined["retry_budget"] - min(report.Report.Declined["retry_budget"], before.Report.Declined["retry_budget"]); before.Member.Incarnation == report.Member.Incarnation && spent > 0 {
			exam.find("retry budget spent", Warning, "callers send more retries than a fifth of the first attempts; look for the failing component first, then for callers that retry too often", "data daemon %s rejected %d retries between two status snapshots", name, spent)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(exam.last.Status.Holders)) {
		if _, here := exam.sessions[name]; !here && !exam.last.Status.Holders[name].Retired {
			exam.find("holder without session", Watch, "restart it or leave it: its record is retired automatically; until then each apply waits for its lease to expire", "data daemon %s had a lease and is not a member", name)
		}
	}
	if exam.last.Status.Majority && count == 0 {
		exam.find("no data daemons", Critical, "start data daemons", "no data daemon is a member")
	}
}

func (exam *exam) elections() {
	if exam.tree == nil || !exam.last.Status.Majority {
		return
	}
	names := []string{controlplane.JanitorElection}
	for _, region := range exam.tree.Regions() {
		names = append(names, controlplane.RegionElection+region)
	}
	if exam.tree.Limit("tenant_ms", "") > 0 {
		names = append(names, controlplane.TenantElection)
	}
	for _, name := range names {
		isLive, holder, serial := false, "", uint64(0)
		for _, local := range exam.last.Status.Locals {
			if leader, known := local.Duties[name]; known && leader.Serial >= serial {
				serial, holder = leader.Serial, leader.Holder
				isLive = false
				if report, here := exam.sessions[holder]; here && report.Member.Incarnation == leader.Incarnation {
					isLive = true
				}
			}
		}
		if !isLive {
			exam.find("duty vacant", Critical, "a control daemon is elected within a few seconds while the core has a majority; if not, check the control daemons' logs", "leadership %s has no live leader (last %s)", name, nameOrNobody(holder))
		}
		for _, local := range exam.last.Status.Locals {
			if changes := local.Changes[name]; changes >= 5 && local.Watched < time.Duration(changes)*20*time.Second {
				exam.find("duty flapping", Warning, "control daemons lose contact with each other: check their network and load", "leadership %s changed %d times within %v", name, changes, local.Watched.Round(time.Second))
				break
			}
		}
	}
}

func nameOrNobody(name string) string {
	if name == "" {
		return "nobody"
	}
	return name
}

// region returns the state of a region as its leader reports it: that of the highest term.
func (exam *exam) region(name string) (controlplane.RegionState, bool) {
	var out controlplane.RegionState
	found := false
	for _, local := range exam.last.Status.Locals {
		if state, known := local.Regions[name]; known && (!found || state.Duty > out.Duty) {
			out, found = state, true
		}
	}
	return out, found
}

func (exam *exam) replicas() {
	if exam.tree == nil {
		return
	}
	evacuated := map[string]bool{}
	for _, local := range exam.last.Status.Locals {
		for _, zone := range local.Evacuated {
			evacuated[zone] = true
		}
	}
	serving := map[string]map[string]bool{} // by model, the regions whose routing tables have rows for it
	unknown := map[string]bool{}
	for _, region := range exam.tree.Regions() {
		state, known := exam.region(region)
		if !known {
			unknown[region] = true
			continue
		}
		if state.ListError != "" && !strings.Contains(state.ListError, "asked again") {
			exam.find("platform does not list", Warning, "check the platform; the last list remains in use", "region %s: %s", region, state.ListError)
		}
		alive := map[string]int{}
		for _, replica := range state.Replicas {
			switch {
			case replica.Leaving:
			case !replica.Alive:
				exam.find("replica listed but dark", Warning, "check that replica; it gets no requests until it answers health checks", "%s at %s in %s does not answer health checks", replica.ID, replica.Address, replica.Zone)
			default:
				alive[replica.Zone]++
				exam.missingVersions(region, replica)
			}
		}
		for _, zone := range exam.tree.Zones(region) {
			if len(exam.tree.Models(zone)) > 0 && alive[zone] == 0 && !evacuated[zone] {
				exam.find("zone without replicas", Warning, "start replicas there, or evacuate the zone", "zone %s of region %s has no replica that answers health checks", zone, region)
			}
		}
		if state.Standing != nil {
			for _, row := range state.Standing.Rows {
				if serving[row.Model] == nil {
					serving[row.Model] = map[string]bool{}
				}
				serving[row.Model][region] = true
			}
			for _, endpoint := range state.Standing.Places {
				if endpoint.Slow {
					exam.find("slow replica", Warning, "check that replica; it gets half of its load until it keeps up with the other replicas", "%s in %s responds much later than the other replicas", endpoint.ID, endpoint.Zone)
				}
			}
		}
	}
	exam.homes(serving, unknown)
}

// missingVersions finds versions that a replica should have loaded and is not even loading.
func (exam *exam) missingVersions(region string, replica routing.Replica) {
	for _, model := range slices.Sorted(maps.Keys(exam.last.Status.Models)) {
		for _, version := range slices.Sorted(maps.Keys(exam.last.Status.Models[model].Versions)) {
			desired := exam.last.Status.Models[model].Versions[version].Regions[region]
			wanted := desired.State == rollout.RUNNING && (len(desired.Only) == 0 || slices.Contains(desired.Only, replica.ID))
			if state := replica.Held[model+"/"+version]; wanted && state != routing.Ready && state != routing.Loading && exam.last.At.Sub(desired.Since) > 5*time.Second {
				exam.find("version wanted but not held", Warning, "check that replica's log for why it does not load the version", "%s should have version %s of model %s loaded, but its state is %q", replica.ID, version, model, state)
			}
		}
	}
}

func (exam *exam) homes(serving map[string]map[string]bool, unknown map[string]bool) {
	seen := map[string]bool{}
	for _, region := range exam.tree.Regions() {
		leaves, _ := exam.tree.Effective(region)
		for _, key := range slices.Sorted(maps.Keys(leaves)) {
			tag, isHome := strings.CutPrefix(key, "homes.")
			if !isHome || seen[tag] {
				continue
			}
			seen[tag] = true
			homes, _ := exam.tree.Homes(tag, region)
			for _, model := range exam.tree.Models(region) {
				servable, undecided := false, false
				for _, home := range homes {
					servable = servable || serving[model][home]
					undecided = undecided || unknown[home]
				}
				if !servable && !undecided {
					exam.find("home without replicas", Critical, "start replicas in those regions; requests bound to a home are rejected, never served elsewhere", "no replica can serve %s for home %s (%s)", model, tag, strings.Join(homes, ", "))
				}
			}
		}
	}
}

func (exam *exam) rollouts() {
	for _, model := range slices.Sorted(maps.Keys(exam.last.Status.Models)) {
		state := exam.last.Status.Models[model]
		if state.RolledBack {
			exam.find("rolled back", Watch, "once the cause is known: `controlplane handover promote "+model+" --stay`", "model %s was rolled back; automatic rollouts are paused", model)
		}
		for _, region := range slices.Sorted(maps.Keys(state.Shelves)) {
			run := state.Shelves[region].Run
			if run == nil || run.State != workflow.Running || exam.tree == nil {
				continue
			}
			since := run.Began
			last := "none"
			if count := len(run.Steps); count > 0 {
				since, last = run.Steps[count-1].At, run.Steps[count-1].Name
			}
			bound := max(exam.tree.Duration("load_ms", region), exam.tree.Duration("trial_most_ms", region), exam.tree.Duration("watch_ms", region))
			if run.Mishaps >= 3 {
				exam.find("roll-out stuck", Warning, "fix the cause of the failures; the rollout continues by itself", "run %s of %s in %s: step %s failed %d times: %s", run.ID, model, region, run.At, run.Mishaps, run.Last)
			} else if stood := exam.last.At.Sub(since); stood > bound+bound/4 {
				exam.find("roll-out stuck", Warning, "check the region's leader, and the trials in other regions that it waits for", "run %s of %s in %s has made no progress for %v since step %s", run.ID, model, region, stood.Round(time.Second), last)
			}
		}
	}
}

func (exam *exam) settings() {
	if exam.tree == nil {
		return
	}
	clash := func(where, evidence string, values ...any) {
		exam.find("settings clash", Warning, "change the limits of that region", "%s: %s", where, fmt.Sprintf(evidence, values...))
	}
	for _, region := range exam.tree.Regions() {
		limit := func(name string) time.Duration { return exam.tree.Duration(name, region) }
		if limit("trial_ms") > limit("trial_most_ms") {
			clash(region, "trial_ms (%v) is above trial_most_ms (%v)", limit("trial_ms"), limit("trial_most_ms"))
		}
		if limit("dark_ms") < 2*limit("probe_ms") {
			clash(region, "dark_ms (%v) is less than two probes (probe_ms %v): one lost probe makes a replica count as down", limit("dark_ms"), limit("probe_ms"))
		}
		if limit("queue_ms") > limit("request_ms") {
			clash(region, "queue_ms (%v) is above request_ms (%v)", limit("queue_ms"), limit("request_ms"))
		}
		if limit("stall_ms") > limit("request_ms") {
			clash(region, "stall_ms (%v) is above request_ms (%v)", limit("stall_ms"), limit("request_ms"))
		}
		if exam.tree.Platform(region) == "" && len(exam.tree.Models(region)) > 0 {
			clash(region, "models are placed here, but no platform address is configured")
		}
	}
}
