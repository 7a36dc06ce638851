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

	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/register"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/tenant"
	"swifttiller/verdict"
)

// TenantDuty is the duty that watches tenants' sessions over all regions.
const TenantDuty = "tenants"

// UsualKey holds what the tenants were judged by, for the next holder of the duty.
const UsualKey = "tenants/usual"

// Numbered points of a turn of the watch, for faults in tests. A move goes on turn by
// turn; each turn writes the placements once.
const (
	PointRead    = "tenants.read"    // before anything is read
	PointPlanned = "tenants.planned" // the next placements are known, nothing is written
	PointWritten = "tenants.written" // they are
	PointUsual   = "tenants.usual"   // what tenants were judged by is written
)

// tenants is what a control daemon knows of tenants.
//
// Invariants: told is never changed once stored; watch is nil while this daemon does not
// hold the duty.
type tenants struct {
	told  atomic.Pointer[tenant.Told]
	begun sync.Once
	guard sync.Mutex
	duty  uint64
	watch *tenant.Watch
	// usual is the text last read of the register, or written; turn counts the turns.
	usual string
	turn  int
}

// usualTurns is every how many turns what tenants are judged by is written, if it changed.
const usualTurns = 4

// tenantSpan is how often tenants are looked at; sessions' span, and false, while never.
func (daemon *Daemon) tenantSpan() (time.Duration, bool) {
	if _, _, tree := daemon.Office.Current(); tree != nil {
		if span := tree.Span("tenant_ms", ""); span > 0 {
			return span, true
		}
	}
	return daemon.span(), false
}

// attendTenants begins to look at tenants once the settings first say so.
func (daemon *Daemon) attendTenants() {
	if _, isOn := daemon.tenantSpan(); isOn {
		daemon.tenants.begun.Do(func() {
			daemon.World.Go(daemon.tellTenants)
			daemon.World.Go(daemon.watchTenants)
		})
	}
}

// tellTenants adds up what data daemons tell this one, for whoever holds the duty.
func (daemon *Daemon) tellTenants() {
	serial := uint64(0)
	loop.Every(daemon.World, func() time.Duration { span, _ := daemon.tenantSpan(); return span / 2 }, func() bool {
		if _, isOn := daemon.tenantSpan(); !isOn {
			daemon.tenants.told.Store(nil)
			return !daemon.stopped.Load()
		}
		serial++
		daemon.tenants.told.Store(tenant.Tell(serial, tenant.Gather(heard(daemon.Table.FirstHand()))))
		return !daemon.stopped.Load()
	})
}

// heard is what sessions tell of tenants.
func heard(sessions []session.Session) (out []tenant.Heard) {
	for _, one := range sessions {
		out = append(out, tenant.Heard{Region: one.Member.Region, Told: one.Report.Tenants})
	}
	return out
}

// watchTenants watches and places while this daemon holds the duty.
func (daemon *Daemon) watchTenants() {
	loop.Every(daemon.World, func() time.Duration { span, _ := daemon.tenantSpan(); return span }, func() bool {
		serial, held := daemon.Duties.Held(TenantDuty)
		_, _, tree := daemon.Office.Current()
		span, isOn := daemon.tenantSpan()
		table := &daemon.tenants
		table.guard.Lock()
		if !held || !isOn || table.duty != serial {
			table.duty, table.watch, table.usual, table.turn = 0, nil, "", 0
		}
		table.guard.Unlock()
		if held && isOn {
			daemon.turnTenants(serial, span, tree)
		}
		return !daemon.stopped.Load()
	})
}

func (daemon *Daemon) point(name string) {
	if daemon.Point != nil {
		daemon.Point(name)
	}
}

// turnTenants is one turn of the watch: what was told, what was placed, what follows.
//
// Invariant: what is written is swapped against the very placements that it was planned
// from, and never over those of a later holder of the duty.
func (daemon *Daemon) turnTenants(serial uint64, span time.Duration, tree *settings.Tree) {
	daemon.point(PointRead)
	now := daemon.World.Now()
	keys := []string{permit.PlacedKey, UsualKey}
	for _, region := range tree.Regions() {
		keys = append(keys, permit.StandingPrefix+region)
	}
	values, err := daemon.ReadMany(keys...)
	if err != nil {
		return
	}
	placed := values[permit.PlacedKey]
	book, isRead := permit.OpenPlaced(placed.Data)
	if placed.Serial > 0 && !isRead || book.Duty > serial {
		daemon.Log.Warn("the tenants' placements are not this holder's to write", zap.Uint64("duty", serial), zap.Uint64("written_by", book.Duty))
		return
	}
	table := &daemon.tenants
	table.guard.Lock()
	if table.watch == nil {
		var usual []tenant.Profile
		if value := values[UsualKey]; value.Serial > 0 {
			_ = json.Unmarshal(value.Data, &usual)
			table.usual = string(value.Data)
		}
		table.duty, table.watch = serial, tenant.NewWatch(now, usual)
	}
	table.turn++
	scene := daemon.tenantScene(serial, span, tree, values)
	next, notices := table.watch.Turn(scene, tenant.Gather(heard(daemon.Table.Live(session.Control))), book)
	usual, _ := json.Marshal(table.watch.Usual())
	writesUsual := string(usual) != table.usual && (table.turn%usualTurns == 0 || len(notices) > 0)
	table.guard.Unlock()
	for _, one := range notices {
		daemon.Log.Info("a tenant "+one.What, zap.String("tenant", one.Tenant), zap.String("reason", one.Reason), zap.Float64("distance", one.Distance),
			zap.Float64("gain_ms", one.Gain), zap.Float64("price_ms", one.Price), zap.Float64("tokens", one.Tokens), zap.Strings("from", one.From), zap.Strings("to", one.To), zap.Int("part", one.Part))
	}
	daemon.point(PointPlanned)
	if !slices.EqualFunc(book.Placed, next.Placed, samePlacement) {
		data, err := permit.PackPlaced(next)
		if err != nil {
			daemon.Log.Error("tenants' placements can't be written", zap.Error(err))
			return
		}
		if _, err := daemon.Swap(permit.PlacedKey, placed.Serial, data); err != nil {
			daemon.Log.Info("tenants' placements were not written", zap.Error(err))
			return
		}
		daemon.point(PointWritten)
	}
	if writesUsual {
		if _, err := daemon.Swap(UsualKey, values[UsualKey].Serial, usual); err == nil {
			table.guard.Lock()
			table.usual = string(usual)
			table.guard.Unlock()
			daemon.point(PointUsual)
		}
	}
}

func samePlacement(a, b tenant.Placement) bool {
	left, _ := json.Marshal(a)
	right, _ := json.Marshal(b)
	return string(left) == string(right)
}

// tenantScene is what the watch plans by.
func (daemon *Daemon) tenantScene(serial uint64, span time.Duration, tree *settings.Tree, values map[string]register.Value) tenant.Scene {
	_, config, _ := daemon.Office.Current()
	grounds := map[string]map[string]tenant.Ground{}
	for _, region := range tree.Regions() {
		value := values[permit.StandingPrefix+region]
		if value.Serial == 0 {
			continue
		}
		one, _, err := permit.OpenStanding(value)
		if err != nil {
			continue
		}
		counts := map[string]int{}
		zones := map[string]string{}
		for _, place := range one.Places {
			zones[place.ID] = place.Zone
		}
		for _, row := range one.Rows {
			if !row.Trial && !row.Back && !slices.Contains(config.Evacuated, zones[row.Replica]) {
				counts[row.Model]++
			}
		}
		for model, count := range counts {
			engine := tree.Engine(model)
			if engine == nil {
				continue
			}
			if grounds[model] == nil {
				grounds[model] = map[string]tenant.Ground{}
			}
			grounds[model][region] = tenant.Ground{Replicas: count, Berths: engine.Berths, Cache: engine.CacheTokens}
		}
	}
	return tenant.Scene{
		Now: daemon.World.Now(), Window: span, Duty: serial, Grounds: grounds,
		Homes: func(name string) []string {
			route := tree.RouteAt(name)
			switch {
			case route == nil:
				return nil
			case len(route.Homes) > 0:
				return route.Homes
			}
			return tree.Regions()
		},
		Far: tree.Limit("far_ms", ""), FarKB: tree.Limit("far_kb_ms", ""), Again: tree.Limit("again_ms", ""),
		Change: tree.Limit("tenant_change", ""), Budget: tree.Limit("tenant_again", ""),
	}
}

// Tenants is what an operator sees of tenants.
type Tenants struct {
	Serial uint64             `json:"serial"`
	Duty   uint64             `json:"duty"`
	Holder string             `json:"holder"`
	IsOn   bool               `json:"is_on"`
	Placed []tenant.Placement `json:"placed"`
	// Seen are the heavy tenants as the duty's holder sees them; Trouble says why they
	// are missing.
	Seen    []tenant.Seen `json:"seen"`
	Trouble string        `json:"trouble,omitempty"`
}

type tenantService struct{ daemon *Daemon }

// Seen tells what this daemon, holding the duty, knows of tenants; as JSON.
func (service tenantService) Seen(_ struct{}, reply *LocalReply) (err error) {
	table := &service.daemon.tenants
	table.guard.Lock()
	defer table.guard.Unlock()
	if table.watch == nil {
		return errors.New("this daemon does not hold the duty")
	}
	reply.Body, err = json.Marshal(table.watch.Seen())
	return err
}

// Tenants shows the placements, read at a majority, and what the duty's holder sees.
func (daemon *Daemon) Tenants() (out Tenants, err error) {
	value, err := daemon.Read(permit.PlacedKey)
	if err != nil {
		return out, err
	}
	book, _ := permit.OpenPlaced(value.Data)
	out.Serial, out.Duty, out.Placed = value.Serial, book.Duty, book.Placed
	if _, out.IsOn = daemon.tenantSpan(); !out.IsOn {
		out.Trouble = "tenant_ms is 0: nobody looks at tenants, and no placement is in force"
		return out, nil
	}
	held, _ := daemon.Duties.Last(TenantDuty)
	out.Holder = held.Holder
	var reply LocalReply
	if held.Holder == daemon.Process.Name {
		err = tenantService{daemon}.Seen(struct{}{}, &reply)
	} else if holder, isThere := daemon.Table.Find(held.Holder); isThere {
		err = daemon.Net.Call(holder.Member.Wire, "Tenant.Seen", struct{}{}, &reply, daemon.span())
	} else {
		err = errors.New("nobody is known to hold the duty")
	}
	if err != nil {
		out.Trouble = err.Error()
		return out, nil
	}
	return out, json.Unmarshal(reply.Body, &out.Seen)
}

// Pin places a tenant in the regions, until it is released; no regions release it. It
// returns once the placement is decided; data daemons go by it within a permit's length.
// The error is always a *verdict.Mishap.
func (daemon *Daemon) Pin(name string, regions []string) (tenant.Placement, error) {
	_, _, tree := daemon.Office.Current()
	if tree == nil {
		return tenant.Placement{}, verdict.Decline(409, "no_configuration", "there is no configuration yet", 0)
	}
	route := tree.RouteAt(name)
	switch {
	case tree.Limit("tenant_ms", "") <= 0 && len(regions) > 0:
		return tenant.Placement{}, verdict.Decline(409, "off", "tenant_ms is 0: no placement would be in force", 0)
	case route == nil && len(regions) > 0:
		return tenant.Placement{}, verdict.Decline(404, "no_tenant", fmt.Sprintf("no route has the host and prefix %q", name), 0)
	}
	for at, region := range regions {
		switch {
		case !slices.Contains(tree.Regions(), region):
			return tenant.Placement{}, verdict.Decline(404, "no_region", fmt.Sprintf("the configuration has no region %q", region), 0)
		case !route.Within(region):
			return tenant.Placement{}, verdict.Decline(409, "not_home", fmt.Sprintf("%s may not be served in %s; its homes are %s", name, region, strings.Join(route.Homes, ", ")), 0)
		case slices.Contains(regions[:at], region):
			return tenant.Placement{}, verdict.Decline(400, "bad_request", fmt.Sprintf("region %q stands twice", region), 0)
		}
	}
	next := tenant.Placement{Tenant: name}
	if len(regions) > 0 {
		next = tenant.Placement{Tenant: name, Now: regions, Pinned: true, Reason: "an operator's"}
	}
	_, err := daemon.Change(permit.PlacedKey, func(value register.Value) ([]byte, error) {
		book, isRead := permit.OpenPlaced(value.Data)
		have := book.Find(name)
		switch {
		case value.Serial > 0 && !isRead:
			return nil, errors.New("the register of placements can't be read")
		case !next.Pinned && have == nil:
			return nil, verdict.Decline(404, "not_placed", fmt.Sprintf("tenant %q has no placement", name), 0)
		case have == nil && len(book.Placed) >= tenant.MostKept:
			return nil, verdict.Decline(409, "full", fmt.Sprintf("%d tenants are placed already; release one", len(book.Placed)), 0)
		}
		return permit.PackPlaced(book.With(next))
	})
	if err != nil {
		return tenant.Placement{}, Answer(err)
	}
	daemon.Log.Info("an operator placed a tenant", zap.String("tenant", name), zap.Strings("to", regions))
	return next, nil
}
