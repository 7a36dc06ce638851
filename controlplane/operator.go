package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"swifttiller/election"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/rollout"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/verdict"
	"swifttiller/wire"
	"swifttiller/workflow"
)

// outcomeUnknown makes the error for an operator's command that may or may not have taken effect.
func outcomeUnknown(err error) *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: "outcome_unknown", Status: 504, Cause: err,
		Message: "the outcome is unknown: " + err.Error() + "; look at `controlplane show` and `controlplane handover status` to find out"}
}

// OperatorError converts an error of the registers, objects and runs into the error that an operator
// gets, with its HTTP status and code.
func OperatorError(err error) *verdict.Error {
	var failure *verdict.Error
	var stale *register.SerialMismatch
	var problems settings.Problems
	var rejection *rollout.Rejection
	var outdated *Outdated
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failure):
		return failure
	case errors.Is(err, register.ErrUncertain), errors.Is(err, lease.ErrUnconfirmed):
		return outcomeUnknown(err)
	case errors.As(err, &stale):
		return verdict.Reject(409, "stale", fmt.Sprintf("expected serial %d, but the current serial is %d", stale.Expected, stale.Current), 0)
	case errors.As(err, &outdated):
		return verdict.Reject(409, "stale", outdated.Error(), 0)
	case errors.As(err, &problems):
		return verdict.Reject(422, "invalid", problems.Error(), 0)
	case errors.As(err, &rejection):
		return verdict.Reject(409, "declined", rejection.Reason, 0)
	case errors.Is(err, workflow.ErrBusy), errors.Is(err, workflow.ErrContentsDiffer), errors.Is(err, workflow.ErrUsed), errors.Is(err, register.ErrCoreChange):
		return verdict.Reject(409, "conflict", err.Error(), 0)
	case errors.Is(err, ErrAbandoned), errors.Is(err, rollout.ErrAbandoned):
		return verdict.Reject(503, "abandoned", err.Error(), time.Second)
	case errors.Is(err, lease.ErrBeforeHistory), errors.Is(err, lease.ErrHistoryFull):
		return verdict.Reject(503, "history", err.Error(), time.Second)
	case errors.Is(err, register.ErrNoMajority), errors.Is(err, register.ErrNoCore):
		return verdict.Reject(503, "no_majority", err.Error(), time.Second)
	}
	return verdict.Reject(500, "failed", err.Error(), 0)
}

// Reload makes the named member reread its process settings.
func (daemon *Daemon) Reload(name string) (settings.ReloadResult, error) {
	var out settings.ReloadResult
	for _, member := range daemon.Sessions.Live("") {
		if member.Member.Name != name {
			continue
		}
		if name == daemon.Process.Name {
			out = daemon.Live.Reload()
		} else if err := daemon.Net.Call(member.Member.Wire, "Process.Reload", struct{}{}, &out, roundTimeout); wire.NotSent(err) {
			return out, verdict.Reject(503, "unreached", err.Error(), time.Second)
		} else if err != nil {
			return out, &verdict.Error{Verdict: verdict.MayHaveRun, Code: "outcome_unknown", Status: 504, Cause: err, Message: "the outcome is unknown: " + err.Error() + "; it is safe to reload again"}
		}
		if len(out.Problems) > 0 {
			return out, verdict.Reject(422, "invalid", out.String(), 0)
		}
		return out, nil
	}
	return out, verdict.Reject(404, "no_daemon", fmt.Sprintf("no member is named %q", name), 0)
}

// Handover starts a roll-out run of the version in each of the regions (all that place the
// model if none are given), or joins the run that has this id already.
func (daemon *Daemon) Handover(id, model, version string, regions []string) (map[string]workflow.Run, error) {
	_, _, tree := daemon.Issuer.Current()
	if tree == nil {
		return nil, verdict.Reject(409, "no_configuration", "there is no configuration yet", 0)
	}
	if id == "" || version == "" {
		return nil, verdict.Reject(400, "bad_request", "a handover requires an id and a version", 0)
	}
	if len(regions) == 0 {
		for _, region := range tree.Regions() {
			if _, placed := tree.Placement(model, region); placed {
				regions = append(regions, region)
			}
		}
	}
	if len(regions) == 0 {
		return nil, verdict.Reject(404, "no_model", fmt.Sprintf("model %q is placed in no region", model), 0)
	}
	for _, region := range regions {
		if _, placed := tree.Placement(model, region); !placed {
			return nil, verdict.Reject(404, "no_model", fmt.Sprintf("model %q is not placed in region %q", model, region), 0)
		}
	}
	runs := map[string]workflow.Run{}
	for _, region := range regions {
		if placement, _ := tree.Placement(model, region); placement.AcceptsAnyVersion() {
			return nil, verdict.Reject(409, "any_version", fmt.Sprintf("model %q accepts any version in region %s: its replicas come up with a version loaded; start a timed roll-out instead", model, region), 0)
		}
	}
	for _, region := range regions {
		run, _, err := daemon.Runs.Start(rollout.Key(model, region), id, rollout.Contents{Model: model, Region: region, Version: version})
		if err != nil {
			return runs, fmt.Errorf("region %s: %w", region, err)
		}
		runs[region] = run
	}
	return runs, nil
}

// ModelStatus is a model's state as reported to operators.
type ModelStatus struct {
	rollout.Model
	Shelves  map[string]workflow.RunStore `json:"runs"`
	Versions map[string]rollout.Version   `json:"versions"`
}

// Handovers reports every model's routes, runs and versions.
func (daemon *Daemon) Handovers() (map[string]ModelStatus, error) {
	_, _, tree := daemon.Issuer.Current()
	out := map[string]ModelStatus{}
	if tree == nil {
		return out, nil
	}
	models := map[string]bool{}
	for _, region := range tree.Regions() {
		for _, model := range tree.Models(region) {
			models[model] = true
		}
	}
	for model := range models {
		object, err := daemon.Objects.Model(model)
		if err != nil {
			return nil, err
		}
		status := ModelStatus{Model: object, Shelves: map[string]workflow.RunStore{}}
		for _, region := range tree.Regions() {
			runs, _, err := daemon.Runs.Read(rollout.Key(model, region))
			if err != nil {
				return nil, err
			}
			status.Shelves[region] = runs
		}
		if status.Versions, err = daemon.Objects.Versions(model); err != nil {
			return nil, err
		}
		out[model] = status
	}
	return out, nil
}

// nameOfAcceptor returns the name of the daemon that runs the acceptor, or "" if it is no member.
func (daemon *Daemon) nameOfAcceptor(id string) string {
	for _, member := range daemon.Sessions.Members(session.Control) {
		if member.Acceptor == id {
			return member.Name
		}
	}
	return ""
}

// ChangeCoreMembers adds and removes acceptors of the core by identity. The addresses of new ones
// and names are looked up in the session table.
func (daemon *Daemon) ChangeCoreMembers(add, remove []string) (register.Core, error) {
	return daemon.ChangeCore(func(core register.Core) ([]register.Member, error) {
		var members []register.Member
		for _, member := range core.Members {
			if !slices.Contains(remove, member.ID) {
				members = append(members, member)
			}
		}
		for _, id := range remove {
			if !core.Has(id) {
				return nil, verdict.Reject(404, "no_acceptor", fmt.Sprintf("%q is not in the core", id), 0)
			}
		}
		for _, id := range add {
			if core.Has(id) {
				return nil, verdict.Reject(409, "in_core", fmt.Sprintf("%q is already in the core", id), 0)
			}
			address := daemon.Sessions.Locate(id)
			if address == "" {
				return nil, verdict.Reject(404, "no_acceptor", fmt.Sprintf("no member runs the acceptor %q", id), 0)
			}
			members = append(members, register.Member{ID: id, Address: address, Name: daemon.nameOfAcceptor(id)})
		}
		if len(members) == 0 {
			return nil, verdict.Reject(409, "empty_core", "a core needs at least one acceptor", 0)
		}
		return members, nil
	})
}

// Local is the local state of one control daemon, for the status and doctor commands. It is
// available without a majority of the core.
type Local struct {
	Member    session.Member                 `json:"member"`
	Core      register.Core                  `json:"core"`
	Acceptor  *register.Status               `json:"acceptor,omitempty"`
	Serial    uint64                         `json:"serial"`
	Evacuated []string                       `json:"evacuated"`
	Sessions  []session.Session              `json:"sessions"`
	Duties    map[string]election.Leadership `json:"duties"`
	Changes   map[string]int                 `json:"duty_changes"`
	Regions   map[string]RegionState         `json:"regions"`
	Mended    int64                          `json:"mended"`
	Granted   uint64                         `json:"granted"`
	Rounds    any                            `json:"rounds"`
	Wall      time.Time                      `json:"wall"`
	Watched   time.Duration                  `json:"watched"`
	// Lacking gives, by acceptor, for how many nanoseconds its copies have been incomplete or
	// its daemon has been silent.
	Lacking map[string]time.Duration `json:"lacking,omitempty"`
}

// RegionState is a region's state as its leader sees it.
type RegionState struct {
	Duty      uint64            `json:"duty"`
	Replicas  []routing.Replica `json:"replicas"`
	Standing  *routing.Table    `json:"standing"`
	ListError string            `json:"list_error,omitempty"`
	RollError string            `json:"roll_error,omitempty"`
}

// Local reports this daemon's local state.
func (daemon *Daemon) Local() Local {
	serial, config, tree := daemon.Issuer.Current()
	out := Local{
		Member: daemon.Sessions.Self, Core: daemon.Core(), Serial: serial, Evacuated: config.Evacuated, Sessions: daemon.Sessions.Live(""),
		Regions: map[string]RegionState{}, Mended: daemon.repaired.Load(), Rounds: daemon.RoundCounters(), Granted: daemon.Issuer.Grants(), Wall: daemon.World.WallTime(), Watched: daemon.Sessions.Age(),
		Lacking: daemon.lacking(),
	}
	out.Duties, out.Changes = daemon.Elections.Snapshot()
	if daemon.Acceptor != nil {
		out.Acceptor = new(register.Status)
		_ = daemon.Acceptor.Describe(struct{}{}, out.Acceptor)
	}
	daemon.mu.Lock()
	regions := make([]*region, 0, len(daemon.regions))
	for _, region := range daemon.regions {
		regions = append(regions, region)
	}
	daemon.mu.Unlock()
	for _, region := range regions {
		if term, held := daemon.Elections.Term(RegionElection + region.name); held && tree != nil {
			region.mu.Lock()
			observed := region.leadership
			state := RegionState{Duty: term, Standing: region.table, ListError: region.listError, RollError: region.rollError}
			region.mu.Unlock()
			state.Replicas, _ = region.replicaRows(tree, observed)
			out.Regions[region.name] = state
		}
	}
	return out
}

// Status is the state of the whole system, as collected by one control daemon from the others.
type Status struct {
	Asked      string                        `json:"asked"`
	Majority   bool                          `json:"majority"`
	Trouble    string                        `json:"trouble,omitempty"`
	Serial     uint64                        `json:"serial"`
	Core       register.Core                 `json:"core"`
	Locals     map[string]Local              `json:"locals"`
	Unreached  map[string]string             `json:"unreached,omitempty"`
	Models     map[string]ModelStatus        `json:"models,omitempty"`
	Document   json.RawMessage               `json:"document,omitempty"`
	SeedsUnmet []string                      `json:"seeds_unmet,omitempty"`
	Holders    map[string]lease.HolderRecord `json:"holders,omitempty"`
	// Skews are the differences between each daemon's wall clock and this daemon's.
	Skews map[string]time.Duration `json:"skews,omitempty"`
	// Sums are the acceptors' digests by identity, one per key range; Redundancy is how many
	// disk losses the core tolerates, derived from these.
	Sums       map[string][]string `json:"sums,omitempty"`
	Redundancy *Redundancy         `json:"redundancy,omitempty"`
}

// LocalReply carries a Local as JSON, since gob can't encode the interface values in it.
type LocalReply struct{ Body []byte }

type localService struct{ daemon *Daemon }

// Local reports the daemon's local state.
func (service localService) Local(_ struct{}, reply *LocalReply) (err error) {
	reply.Body, err = json.Marshal(service.daemon.Local())
	return err
}

// Status queries every control daemon and reads the registers. It also works while parts of
// the system are down, and lists what could not be reached.
func (daemon *Daemon) Status() Status {
	self := daemon.Local()
	out := Status{Asked: self.Member.Name, Core: self.Core, Locals: map[string]Local{self.Member.Name: self}, Unreached: map[string]string{}, Skews: map[string]time.Duration{}}
	addresses := map[string]string{} // by address: a description of who should answer there
	for _, member := range self.Core.Members {
		address := daemon.Sessions.Locate(member.ID)
		if address == "" {
			address = member.Address
		}
		addresses[address] = "acceptor " + member.ID
	}
	for _, entry := range self.Sessions {
		if entry.Member.Role == session.Control {
			addresses[entry.Member.Wire] = entry.Member.Name
		}
	}
	for _, seed := range daemon.Live.Seeds() {
		if _, known := addresses[seed]; !known {
			addresses[seed] = "seed"
		}
	}
	delete(addresses, self.Member.Wire)
	var list []string
	for address := range addresses {
		list = append(list, address)
	}
	slices.Sort(list)
	type localResult struct {
		local Local
		err   error
	}
	loop.Gather(daemon.World, len(list), daemon.sessionTimeout(), func(index int) localResult {
		var reply LocalReply
		var entry localResult
		if entry.err = daemon.Net.Call(list[index], "Local.Local", struct{}{}, &reply, daemon.sessionTimeout()*3/4); entry.err == nil {
			entry.err = json.Unmarshal(reply.Body, &entry.local)
		}
		return entry
	}, func(index int, entry localResult) bool {
		address := list[index]
		if entry.err == nil {
			out.Locals[entry.local.Member.Name] = entry.local
			out.Skews[entry.local.Member.Name] = entry.local.Wall.Sub(daemon.World.WallTime())
		} else {
			out.Unreached[address] = addresses[address] + ": " + entry.err.Error()
			if slices.Contains(daemon.Live.Seeds(), address) {
				out.SeedsUnmet = append(out.SeedsUnmet, address)
			}
		}
		return false
	})
	for _, address := range list {
		answered := out.Unreached[address] != ""
		for _, entry := range out.Locals {
			answered = answered || entry.Member.Wire == address
		}
		if !answered {
			out.Unreached[address] = addresses[address] + ": timed out"
			if slices.Contains(daemon.Live.Seeds(), address) {
				out.SeedsUnmet = append(out.SeedsUnmet, address)
			}
		}
	}
	slices.Sort(out.SeedsUnmet)
	value, err := daemon.ReadWithin(lease.ConfigKey, orderQuorumTimeout)
	if err != nil {
		out.Trouble = err.Error()
		out.Serial = self.Serial
		return out
	}
	out.Majority, out.Serial = true, value.Serial
	out.Sums = daemon.CompareDigests()
	redundancy := computeRedundancy(out.Core, out.Sums)
	redundancy.LackingFor = redundancy.lackingFor(out.Locals)
	out.Redundancy = &redundancy
	_ = daemon.Issuer.Adopt(value)
	_, config, _ := daemon.Issuer.Current()
	out.Document = config.WithOrigin()
	if out.Models, err = daemon.Handovers(); err != nil {
		out.Trouble = err.Error()
	}
	if out.Holders, err = daemon.Issuer.Holders(); err != nil {
		out.Trouble = err.Error()
	}
	return out
}

// effective gives every setting's value in a zone or region, and the level that set it.
func effective(tree *settings.Tree, scope string) (map[string]map[string]any, bool) {
	leaves, known := tree.Effective(scope)
	if !known {
		return nil, false
	}
	out := map[string]map[string]any{}
	for key, leaf := range leaves {
		out[key] = map[string]any{"value": leaf.Value.Value(), "from": leaf.From}
	}
	return out, true
}

// splitList splits a comma-separated list, leaving out empty items.
func splitList(text string) []string {
	return slices.DeleteFunc(strings.Split(text, ","), func(item string) bool { return item == "" })
}
