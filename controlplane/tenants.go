package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/tenant"
	"swifttiller/verdict"
)

// TenantElection is the election whose leader observes the tenants' load in all regions and places
// tenants.
const TenantElection = "tenants"

// BaselineKey is the register with the baseline profiles that tenants' load is compared with, for
// the next leader.
const BaselineKey = "tenants/usual"

// Points of a planning round, for fault injection in tests. A tenant's move extends over several
// rounds; each round writes the placements at most once.
const (
	PointRead            = "tenants.read"    // before anything is read
	PointPlanned         = "tenants.planned" // the next placements are planned, but not written
	PointWritten         = "tenants.written" // the placements are written
	PointBaselineWritten = "tenants.usual"   // the baseline profiles are written
)

// tenants is a control daemon's state for the placement of tenants.
//
// Invariants: what announcement points to never changes; watch is nil while this daemon is not
// the leader.
type tenants struct {
	announcement atomic.Pointer[tenant.WindowReport]
	started      sync.Once
	mu           sync.Mutex
	term         uint64
	watch        *tenant.Planner
	// baseline is the register's text as last read or written; rounds counts planning rounds.
	baseline string
	rounds   int
}

// baselineRounds is the number of rounds between two writes of the baseline profiles, if they
// have changed.
const baselineRounds = 4

// tenantInterval is the interval of planning rounds; false, and the session timeout, while the
// placement of tenants is off.
func (daemon *Daemon) tenantInterval() (time.Duration, bool) {
	if _, _, tree := daemon.Issuer.Current(); tree != nil {
		if interval := tree.Duration("tenant_ms", ""); interval > 0 {
			return interval, true
		}
	}
	return daemon.sessionTimeout(), false
}

// startTenantLoops starts the tenant loops once the configuration first turns them on.
func (daemon *Daemon) startTenantLoops() {
	if _, isOn := daemon.tenantInterval(); isOn {
		daemon.tenants.started.Do(func() {
			daemon.World.Go(daemon.aggregateTenants)
			daemon.World.Go(daemon.runTenantPlanner)
		})
	}
}

// aggregateTenants sums up the tenants' load that data daemons report to this daemon, and
// announces it to the leader.
func (daemon *Daemon) aggregateTenants() {
	serial := uint64(0)
	loop.Every(daemon.World, func() time.Duration { interval, _ := daemon.tenantInterval(); return interval / 2 }, func() bool {
		if _, isOn := daemon.tenantInterval(); !isOn {
			daemon.tenants.announcement.Store(nil)
			return !daemon.stopped.Load()
		}
		serial++
		daemon.tenants.announcement.Store(tenant.NewReport(serial, tenant.Gather(tenantReports(daemon.Sessions.Direct()))))
		return !daemon.stopped.Load()
	})
}

// tenantReports extracts the reports on tenants from sessions.
func tenantReports(sessions []session.Session) (out []tenant.RegionReport) {
	for _, reporter := range sessions {
		out = append(out, tenant.RegionReport{Region: reporter.Member.Region, Report: reporter.Report.Tenants})
	}
	return out
}

// runTenantPlanner runs planning rounds while this daemon is the leader.
func (daemon *Daemon) runTenantPlanner() {
	loop.Every(daemon.World, func() time.Duration { interval, _ := daemon.tenantInterval(); return interval }, func() bool {
		term, held := daemon.Elections.Term(TenantElection)
		_, _, tree := daemon.Issuer.Current()
		interval, isOn := daemon.tenantInterval()
		state := &daemon.tenants
		state.mu.Lock()
		if !held || !isOn || state.term != term {
			state.term, state.watch, state.baseline, state.rounds = 0, nil, "", 0
		}
		state.mu.Unlock()
		if held && isOn {
			daemon.planTenants(term, interval, tree)
		}
		return !daemon.stopped.Load()
	})
}

// point reports a point of a planning round to Options.Point.
func (daemon *Daemon) point(name string) {
	if daemon.Point != nil {
		daemon.Point(name)
	}
}

// planTenants runs one planning round: it reads the placements, plans the next ones from the
// reported load, and writes them.
//
// Invariant: the placements are written with a compare-and-swap against those that they were
// planned from, and never over those of a later term's leader.
func (daemon *Daemon) planTenants(term uint64, interval time.Duration, tree *settings.Tree) {
	daemon.point(PointRead)
	now := daemon.World.Now()
	keys := []string{lease.PlacementsKey, BaselineKey}
	for _, region := range tree.Regions() {
		keys = append(keys, lease.RoutingTablePrefix+region)
	}
	values, err := daemon.ReadMany(keys...)
	if err != nil {
		return
	}
	placed := values[lease.PlacementsKey]
	placements, isReadable := lease.DecodePlacements(placed.Data)
	if placed.Serial > 0 && !isReadable || placements.Duty > term {
		daemon.Log.Warn("skipping tenant placement: the register is unreadable or was written in a later term", zap.Uint64("duty", term), zap.Uint64("written_by", placements.Duty))
		return
	}
	state := &daemon.tenants
	state.mu.Lock()
	if state.watch == nil {
		var baseline []tenant.Profile
		if value := values[BaselineKey]; value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &baseline)
			state.baseline = string(value.Data)
		}
		state.term, state.watch = term, tenant.NewPlanner(now, baseline)
	}
	state.rounds++
	scene := daemon.tenantScene(term, interval, tree, values)
	next, notices := state.watch.Step(scene, tenant.Gather(tenantReports(daemon.Sessions.Live(session.Control))), placements)
	baseline, _ := json.Marshal(state.watch.Baselines())
	writesBaseline := string(baseline) != state.baseline && (state.rounds%baselineRounds == 0 || len(notices) > 0)
	state.mu.Unlock()
	for _, notice := range notices {
		daemon.Log.Info("a tenant "+notice.Event, zap.String("tenant", notice.Tenant), zap.String("reason", notice.Reason), zap.Float64("distance", notice.Distance),
			zap.Float64("gain_ms", notice.Gain), zap.Float64("price_ms", notice.Cost), zap.Float64("tokens", notice.Tokens), zap.Strings("from", notice.From), zap.Strings("to", notice.To), zap.Int("part", notice.Part))
	}
	daemon.point(PointPlanned)
	if !slices.EqualFunc(placements.Placed, next.Placed, samePlacement) {
		data, err := lease.EncodePlacements(next)
		if err != nil {
			daemon.Log.Error("encoding tenant placements failed", zap.Error(err))
			return
		}
		if _, err := daemon.CompareAndSwap(lease.PlacementsKey, placed.Serial, data); err != nil {
			daemon.Log.Info("writing tenant placements failed", zap.Error(err))
			return
		}
		daemon.point(PointWritten)
	}
	if writesBaseline {
		if _, err := daemon.CompareAndSwap(BaselineKey, values[BaselineKey].Serial, baseline); err == nil {
			state.mu.Lock()
			state.baseline = string(baseline)
			state.mu.Unlock()
			daemon.point(PointBaselineWritten)
		}
	}
}

// samePlacement tells whether two placements are encoded alike.
func samePlacement(a, b tenant.Placement) bool {
	left, _ := json.Marshal(a)
	right, _ := json.Marshal(b)
	return string(left) == string(right)
}

// tenantScene collects the input of a planning round: each region's capacity by model, the
// tenants' home regions, and the prices and limits of moves.
func (daemon *Daemon) tenantScene(term uint64, interval time.Duration, tree *settings.Tree, values map[string]register.Value) tenant.TurnInputs {
	_, config, _ := daemon.Issuer.Current()
	capacities := map[string]map[string]tenant.Capacity{}
	for _, region := range tree.Regions() {
		value := values[lease.RoutingTablePrefix+region]
		if value.Serial == 0 {
			continue
		}
		table, _, err := lease.DecodeRoutingTable(value)
		if err != nil {
			continue
		}
		counts := map[string]int{}
		zones := map[string]string{}
		for _, endpoint := range table.Places {
			zones[endpoint.ID] = endpoint.Zone
		}
		for _, row := range table.Rows {
			if !row.Trial && !row.Back && !slices.Contains(config.Evacuated, zones[row.Replica]) {
				counts[row.Model]++
			}
		}
		for model, count := range counts {
			engine := tree.Engine(model)
			if engine == nil {
				continue
			}
			if capacities[model] == nil {
				capacities[model] = map[string]tenant.Capacity{}
			}
			capacities[model][region] = tenant.Capacity{Replicas: count, Slots: engine.Slots, Cache: engine.CacheTokens}
		}
	}
	return tenant.TurnInputs{
		Now: daemon.World.Now(), Window: interval, Term: term, Capacities: capacities,
		Homes: func(name string) []string {
			route := tree.RouteByAddress(name)
			switch {
			case route == nil:
				return nil
			case len(route.Homes) > 0:
				return route.Homes
			}
			return tree.Regions()
		},
		RemoteMs: tree.Limit("far_ms", ""), RemoteKBMs: tree.Limit("far_kb_ms", ""), RecomputeMs: tree.Limit("again_ms", ""),
		Change: tree.Limit("tenant_change", ""), Budget: tree.Limit("tenant_again", ""),
	}
}

// Tenants is the state of tenant placement as reported to operators.
type Tenants struct {
	Serial uint64             `json:"serial"`
	Duty   uint64             `json:"duty"`
	Holder string             `json:"holder"`
	IsOn   bool               `json:"is_on"`
	Placed []tenant.Placement `json:"placed"`
	// Seen are the heavy tenants as the leader observes them; Trouble says why they are missing.
	Seen    []tenant.TenantStatus `json:"seen"`
	Trouble string                `json:"trouble,omitempty"`
}

type tenantService struct{ daemon *Daemon }

// Seen returns, as JSON, the tenants that this daemon observes; an error if it is not the leader.
func (service tenantService) Seen(_ struct{}, reply *LocalReply) (err error) {
	state := &service.daemon.tenants
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.watch == nil {
		return errors.New("this daemon is not the leader")
	}
	reply.Body, err = json.Marshal(state.watch.Statuses())
	return err
}

// Tenants reports the placements, read from a majority, and the tenants that the leader observes.
func (daemon *Daemon) Tenants() (out Tenants, err error) {
	value, err := daemon.Read(lease.PlacementsKey)
	if err != nil {
		return out, err
	}
	placements, _ := lease.DecodePlacements(value.Data)
	out.Serial, out.Duty, out.Placed = value.Serial, placements.Duty, placements.Placed
	if _, out.IsOn = daemon.tenantInterval(); !out.IsOn {
		out.Trouble = "tenant_ms is 0: tenant placement is off, and no placement is in force"
		return out, nil
	}
	leadership, _ := daemon.Elections.Last(TenantElection)
	out.Holder = leadership.Holder
	var reply LocalReply
	if leadership.Holder == daemon.Process.Name {
		err = tenantService{daemon}.Seen(struct{}{}, &reply)
	} else if leader, isMember := daemon.Sessions.Find(leadership.Holder); isMember {
		err = daemon.Net.Call(leader.Member.Wire, "Tenant.Seen", struct{}{}, &reply, daemon.sessionTimeout())
	} else {
		err = errors.New("no leader is known")
	}
	if err != nil {
		out.Trouble = err.Error()
		return out, nil
	}
	return out, json.Unmarshal(reply.Body, &out.Seen)
}

// Pin places a tenant in the regions until it is released; an empty list releases it. It returns
// once the placement is decided; data daemons apply it within the duration of a lease. The error
// is always a *verdict.Error.
func (daemon *Daemon) Pin(name string, regions []string) (tenant.Placement, error) {
	_, _, tree := daemon.Issuer.Current()
	if tree == nil {
		return tenant.Placement{}, verdict.Reject(409, "no_configuration", "there is no configuration yet", 0)
	}
	route := tree.RouteByAddress(name)
	switch {
	case tree.Limit("tenant_ms", "") <= 0 && len(regions) > 0:
		return tenant.Placement{}, verdict.Reject(409, "off", "tenant_ms is 0: no placement would be in force", 0)
	case route == nil && len(regions) > 0:
		return tenant.Placement{}, verdict.Reject(404, "no_tenant", fmt.Sprintf("no route has the host and path prefix %q", name), 0)
	}
	for index, region := range regions {
		switch {
		case !slices.Contains(tree.Regions(), region):
			return tenant.Placement{}, verdict.Reject(404, "no_region", fmt.Sprintf("the configuration has no region %q", region), 0)
		case !route.AllowedIn(region):
			return tenant.Placement{}, verdict.Reject(409, "not_home", fmt.Sprintf("%s may not be served in %s; its homes are %s", name, region, strings.Join(route.Homes, ", ")), 0)
		case slices.Contains(regions[:index], region):
			return tenant.Placement{}, verdict.Reject(400, "bad_request", fmt.Sprintf("region %q is listed twice", region), 0)
		}
	}
	next := tenant.Placement{Tenant: name}
	if len(regions) > 0 {
		next = tenant.Placement{Tenant: name, Now: regions, Pinned: true, Reason: "an operator's"}
	}
	_, err := daemon.Update(lease.PlacementsKey, func(value register.Value) ([]byte, error) {
		placements, isReadable := lease.DecodePlacements(value.Data)
		existing := placements.Find(name)
		switch {
		case value.Serial > 0 && !isReadable:
			return nil, errors.New("the register of placements is unreadable")
		case !next.Pinned && existing == nil:
			return nil, verdict.Reject(404, "not_placed", fmt.Sprintf("tenant %q has no placement", name), 0)
		case existing == nil && len(placements.Placed) >= tenant.MaxTracked:
			return nil, verdict.Reject(409, "full", fmt.Sprintf("%d tenants are placed already, which is the limit; release one", len(placements.Placed)), 0)
		}
		return lease.EncodePlacements(placements.With(next))
	})
	if err != nil {
		return tenant.Placement{}, OperatorError(err)
	}
	daemon.Log.Info("tenant placement changed by an operator", zap.String("tenant", name), zap.Strings("to", regions))
	return next, nil
}
