package controlplane

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"swifttiller/duty"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/register"
	"swifttiller/rollout"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/verdict"
	"swifttiller/wire"
	"swifttiller/workflow"
)

// unknown is how an operator's step ends when its outcome can't be told.
func unknown(err error) *verdict.Mishap {
	return &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: "outcome_unknown", Status: 504, Cause: err,
		Message: "the outcome is unknown: " + err.Error() + "; look at `controlplane show` and `controlplane handover status` to find out"}
}

// Answer turns an error of the registers and objects into an operator's.
func Answer(err error) *verdict.Mishap {
	var mishap *verdict.Mishap
	var stale *register.Stale
	var problems settings.Problems
	var decline *rollout.Decline
	var outdated *Outdated
	switch {
	case err == nil:
		return nil
	case errors.As(err, &mishap):
		return mishap
	case errors.Is(err, register.ErrUncertain):
		return unknown(err)
	case errors.As(err, &stale):
		return verdict.Decline(409, "stale", fmt.Sprintf("expected serial %d, but the current serial is %d", stale.Want, stale.Have), 0)
	case errors.As(err, &outdated):
		return verdict.Decline(409, "stale", outdated.Error(), 0)
	case errors.As(err, &problems):
		return verdict.Decline(422, "invalid", problems.Error(), 0)
	case errors.As(err, &decline):
		return verdict.Decline(409, "declined", decline.Reason, 0)
	case errors.Is(err, workflow.ErrBusy), errors.Is(err, workflow.ErrOther), errors.Is(err, workflow.ErrUsed), errors.Is(err, register.ErrCoreChange):
		return verdict.Decline(409, "conflict", err.Error(), 0)
	case errors.Is(err, register.ErrNoMajority), errors.Is(err, register.ErrNoCore):
		return verdict.Decline(503, "no_majority", err.Error(), time.Second)
	}
	return verdict.Decline(500, "failed", err.Error(), 0)
}

// Apply checks a whole document and makes it the configuration. It returns once
// it is acknowledged.
func (daemon *Daemon) Apply(document []byte, expect *uint64, dry bool) (permit.Applied, error) {
	rest, origin := permit.Apart(document)
	tree, problems := daemon.Office.Parse(rest)
	if len(problems) > 0 {
		return permit.Applied{}, problems
	}
	if dry {
		return permit.Applied{}, nil
	}
	applied, err := daemon.Office.Change(expect, func(config permit.Config) (permit.Config, error) {
		config = config.Take(document, marked(tree.Label(), rest, origin))
		// An evacuation outlasts configurations; a zone that is no more does not.
		config.Evacuated = slices.DeleteFunc(slices.Clone(config.Evacuated), func(zone string) bool {
			_, known := tree.RegionOf(zone)
			return !known
		})
		return config, nil
	})
	return applied, err
}

// Outdated is the answer to an order that builds on another label than the current one.
type Outdated struct{ Have, Want uint64 }

// Error is one line.
func (outdated *Outdated) Error() string {
	return fmt.Sprintf("expected the configuration labelled %d, but the current one is %d", outdated.Want, outdated.Have)
}

// marked is the mark of a document, by what the operator sent: that which it was made
// from, if it says so. One without a label has none.
func marked(label uint64, rest, origin []byte) permit.Mark {
	if label == 0 {
		return ""
	}
	sent := origin
	if len(sent) == 0 {
		sent = rest
	}
	var compact bytes.Buffer
	_ = json.Compact(&compact, sent) // a tree was parsed from it
	sum := sha256.Sum256(compact.Bytes())
	return permit.Mark(fmt.Sprintf("%d/%s", label, base64.RawStdEncoding.EncodeToString(sum[:9])))
}

// Replace makes a document with a label the configuration, if the current one's label is
// the expected (0 when there is none), and returns once it is acknowledged. A document
// that was taken already, as far as the configuration remembers, is acknowledged again,
// also when others came since. Errors: settings.Problems, *Outdated, those of the
// registers; register.ErrUncertain alone leaves open whether it was taken.
func (daemon *Daemon) Replace(document []byte, expect uint64) (permit.Applied, error) {
	rest, origin := permit.Apart(document)
	tree, problems := daemon.Office.Parse(rest)
	if len(problems) > 0 {
		return permit.Applied{}, problems
	}
	mark := marked(tree.Label(), rest, origin)
	began := daemon.World.Now()
	if applied, isTaken := daemon.Office.Again(mark); isTaken {
		return daemon.ended(began, applied, nil)
	}
	return daemon.settle(func(config permit.Config) (permit.Config, error) {
		switch have := config.Label(); {
		case slices.Contains(config.Taken, mark):
			return config, permit.ErrSame
		case expect != have:
			return config, &Outdated{Have: have, Want: expect}
		case tree.Label() <= have:
			return config, settings.Problems{{Path: "$.label", Reason: fmt.Sprintf("%d is not above the current %d", tree.Label(), have)}}
		}
		return config.Take(document, mark), nil
	})
}

// settle carries out a change that may be made twice: what brings about the same again
// is ErrSame. So if the outcome of a first try can't be told, a second finds out: its
// ballot is higher, so that the first either lies beneath what it reads, or never will.
func (daemon *Daemon) settle(revise func(permit.Config) (permit.Config, error)) (permit.Applied, error) {
	began := daemon.World.Now()
	applied, err := daemon.Office.Change(nil, revise)
	if errors.Is(err, register.ErrUncertain) {
		applied, err = daemon.Office.Change(nil, revise)
		if errors.Is(err, register.ErrNoMajority) || errors.Is(err, register.ErrNoCore) {
			err = register.ErrUncertain // of the second try alone it is known that it wrote nothing
		}
	}
	return daemon.ended(began, applied, err)
}

// ended logs what became of an operator's change.
func (daemon *Daemon) ended(began time.Duration, applied permit.Applied, err error) (permit.Applied, error) {
	daemon.Log.Info("the operator's change has ended", zap.Uint64("serial", applied.Serial), zap.Duration("took", daemon.World.Now()-began),
		zap.Duration("acknowledged_in", applied.Took), zap.Int("holders", applied.Holders), zap.Strings("expired", applied.Expired), zap.Error(err))
	return applied, err
}

// Current is the newest document, read at a majority, with its label; nil when there is
// none yet.
func (daemon *Daemon) Current() (document []byte, label uint64, err error) {
	if err := daemon.Office.Refresh(); err != nil {
		return nil, 0, err
	}
	_, config, _ := daemon.Office.Current()
	return config.Whole(), config.Label(), nil
}

// Evacuate takes a zone out of service, or hands it back. Where the zone is so already,
// that is acknowledged again.
func (daemon *Daemon) Evacuate(zone string, back bool) (permit.Applied, error) {
	return daemon.settle(func(config permit.Config) (permit.Config, error) {
		if len(config.Document) == 0 {
			return config, verdict.Decline(409, "no_configuration", "there is no configuration yet", 0)
		}
		tree, problems := daemon.Office.Parse(config.Document)
		if len(problems) > 0 {
			return config, problems
		}
		isOut := slices.Contains(config.Evacuated, zone)
		if _, known := tree.RegionOf(zone); !known && !isOut {
			return config, verdict.Decline(404, "no_zone", fmt.Sprintf("the configuration has no zone %q", zone), 0)
		}
		if isOut != back {
			return config, permit.ErrSame
		}
		out := slices.DeleteFunc(slices.Clone(config.Evacuated), func(one string) bool { return one == zone })
		if !back {
			out = append(out, zone)
			slices.Sort(out)
		}
		config.Evacuated = out
		return config, nil
	})
}

// Reload has a member reread its process's settings.
func (daemon *Daemon) Reload(name string) (settings.Reloaded, error) {
	var out settings.Reloaded
	for _, one := range daemon.Table.Live("") {
		if one.Member.Name != name {
			continue
		}
		if name == daemon.Process.Name {
			out = daemon.Live.Reload()
		} else if err := daemon.Net.Call(one.Member.Wire, "Process.Reload", struct{}{}, &out, roundPatience); wire.Unsent(err) {
			return out, verdict.Decline(503, "unreached", err.Error(), time.Second)
		} else if err != nil {
			return out, &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: "outcome_unknown", Status: 504, Cause: err, Message: "the outcome is unknown: " + err.Error() + "; reloading again does no harm"}
		}
		if len(out.Problems) > 0 {
			return out, verdict.Decline(422, "invalid", out.String(), 0)
		}
		return out, nil
	}
	return out, verdict.Decline(404, "no_daemon", fmt.Sprintf("no daemon %q is a member", name), 0)
}

// Handover starts a run in each region, or joins it.
func (daemon *Daemon) Handover(id, model, version string, regions []string) (map[string]workflow.Run, error) {
	_, _, tree := daemon.Office.Current()
	if tree == nil {
		return nil, verdict.Decline(409, "no_configuration", "there is no configuration yet", 0)
	}
	if id == "" || version == "" {
		return nil, verdict.Decline(400, "bad_request", "a handover needs an id and a version", 0)
	}
	if len(regions) == 0 {
		for _, region := range tree.Regions() {
			if _, placed := tree.Placement(model, region); placed {
				regions = append(regions, region)
			}
		}
	}
	if len(regions) == 0 {
		return nil, verdict.Decline(404, "no_model", fmt.Sprintf("model %q is placed in no region", model), 0)
	}
	for _, region := range regions {
		if _, placed := tree.Placement(model, region); !placed {
			return nil, verdict.Decline(404, "no_model", fmt.Sprintf("model %q is not placed in region %q", model, region), 0)
		}
	}
	runs := map[string]workflow.Run{}
	for _, region := range regions {
		if placement, _ := tree.Placement(model, region); placement.Any() {
			return nil, verdict.Decline(409, "any_version", fmt.Sprintf("model %q holds any version in region %s: its replicas start by themselves; order a roll-out under a term", model, region), 0)
		}
	}
	for _, region := range regions {
		run, _, err := daemon.Book.Start(rollout.Key(model, region), id, rollout.Contents{Model: model, Region: region, Version: version})
		if err != nil {
			return runs, fmt.Errorf("region %s: %w", region, err)
		}
		runs[region] = run
	}
	return runs, nil
}

// RolloutState is how a model's newest roll-out under a term stands, over all regions.
type RolloutState struct {
	// State is running, done or back (rollout.Moving and its like); empty when there was
	// none.
	State   string `json:"state"`
	Version string `json:"version"`
	Reason  string `json:"reason,omitempty"` // why it was taken back
}

// open lists the regions that place the model with any version.
func open(tree *settings.Tree, model string) (regions []string) {
	if tree == nil {
		return nil
	}
	for _, region := range tree.Regions() {
		if placement, placed := tree.Placement(model, region); placed && placement.Any() {
			regions = append(regions, region)
		}
	}
	return regions
}

// BeginRollout orders that the model's traffic move, in all regions, to the replicas of
// a version within the term; these start by themselves. The same order again joins the
// one under way, or one that ended a short while ago; another one meanwhile is declined
// (409). The error is always a *verdict.Mishap. It returns once the order lasts; the
// holders of the regions' duties take it up.
func (daemon *Daemon) BeginRollout(model, version string, over time.Duration) error {
	_, _, tree := daemon.Office.Current()
	regions := open(tree, model)
	switch {
	case version == "" || over <= 0:
		return verdict.Decline(400, "bad_request", "a roll-out needs a version and a term", 0)
	case tree == nil:
		return verdict.Decline(409, "no_configuration", "there is no configuration yet", 0)
	case len(regions) == 0:
		return verdict.Decline(404, "no_model", fmt.Sprintf("model %q is placed in no region with any version", model), 0)
	}
	if _, err := daemon.Objects.Begin(model, version, over, regions); err != nil {
		return Answer(err)
	}
	return nil
}

// RolloutState tells how the model's newest roll-out under a term stands. The error is
// always a *verdict.Mishap.
func (daemon *Daemon) RolloutState(model string) (RolloutState, error) {
	have, err := daemon.Objects.Model(model)
	if err != nil {
		return RolloutState{}, Answer(err)
	}
	if have.Order == nil {
		return RolloutState{}, nil
	}
	_, _, tree := daemon.Office.Current()
	regions := open(tree, model)
	if tree == nil { // it started just now
		regions = have.Order.Regions
	}
	return RolloutState{State: have.Order.State(regions), Version: have.Order.Version, Reason: have.Order.Back}, nil
}

// ModelStatus is what an operator sees of a model.
type ModelStatus struct {
	rollout.Model
	Shelves  map[string]workflow.Shelf  `json:"runs"`
	Versions map[string]rollout.Version `json:"versions"`
}

// Handovers shows every model's routes, runs and versions.
func (daemon *Daemon) Handovers() (map[string]ModelStatus, error) {
	_, _, tree := daemon.Office.Current()
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
		one := ModelStatus{Model: object, Shelves: map[string]workflow.Shelf{}}
		for _, region := range tree.Regions() {
			shelf, _, err := daemon.Book.Read(rollout.Key(model, region))
			if err != nil {
				return nil, err
			}
			one.Shelves[region] = shelf
		}
		if one.Versions, err = daemon.Objects.Versions(model); err != nil {
			return nil, err
		}
		out[model] = one
	}
	return out, nil
}

// ChangeVotes changes who votes, by identity; the addresses come from the members.
func (daemon *Daemon) ChangeVotes(add, remove []string) (register.Core, error) {
	return daemon.ChangeCore(func(core register.Core) ([]register.Member, error) {
		var members []register.Member
		for _, member := range core.Members {
			if !slices.Contains(remove, member.ID) {
				members = append(members, member)
			}
		}
		for _, id := range remove {
			if !core.Has(id) {
				return nil, verdict.Decline(404, "no_acceptor", fmt.Sprintf("%q is not in the core", id), 0)
			}
		}
		for _, id := range add {
			if core.Has(id) {
				return nil, verdict.Decline(409, "in_core", fmt.Sprintf("%q is in the core already", id), 0)
			}
			address := daemon.Table.Locate(id)
			if address == "" {
				return nil, verdict.Decline(404, "no_acceptor", fmt.Sprintf("no member has the acceptor %q", id), 0)
			}
			members = append(members, register.Member{ID: id, Address: address})
		}
		if len(members) == 0 {
			return nil, verdict.Decline(409, "empty_core", "a core needs at least one acceptor", 0)
		}
		return members, nil
	})
}

// Local is what one control daemon knows by itself, asked by status and doctor.
// It needs no majority.
type Local struct {
	Member    session.Member         `json:"member"`
	Core      register.Core          `json:"core"`
	Acceptor  *register.About        `json:"acceptor,omitempty"`
	Serial    uint64                 `json:"serial"`
	Evacuated []string               `json:"evacuated"`
	Sessions  []session.Session      `json:"sessions"`
	Duties    map[string]duty.Duty   `json:"duties"`
	Changes   map[string]int         `json:"duty_changes"`
	Regions   map[string]RegionState `json:"regions"`
	Mended    int64                  `json:"mended"`
	Granted   uint64                 `json:"granted"`
	Rounds    any                    `json:"rounds"`
	Wall      time.Time              `json:"wall"`
	Watched   time.Duration          `json:"watched"`
}

// RegionState is what the holder of a region's duty sees.
type RegionState struct {
	Duty      uint64             `json:"duty"`
	Replicas  []standing.Replica `json:"replicas"`
	Standing  *standing.Standing `json:"standing"`
	ListError string             `json:"list_error,omitempty"`
	RollError string             `json:"roll_error,omitempty"`
}

// Local describes this daemon.
func (daemon *Daemon) Local() Local {
	serial, config, tree := daemon.Office.Current()
	out := Local{
		Member: daemon.Table.Self, Core: daemon.Core(), Serial: serial, Evacuated: config.Evacuated, Sessions: daemon.Table.Live(""),
		Regions: map[string]RegionState{}, Mended: daemon.mended.Load(), Rounds: daemon.Rounded(), Granted: daemon.Office.Grants(), Wall: daemon.World.Wall(), Watched: daemon.Table.Watched(),
	}
	out.Duties, out.Changes = daemon.Duties.Seen()
	if daemon.Acceptor != nil {
		out.Acceptor = new(register.About)
		_ = daemon.Acceptor.Describe(struct{}{}, out.Acceptor)
	}
	daemon.guard.Lock()
	regions := make([]*region, 0, len(daemon.regions))
	for _, one := range daemon.regions {
		regions = append(regions, one)
	}
	daemon.guard.Unlock()
	for _, one := range regions {
		if serial, held := daemon.Duties.Held(RegionDuty + one.name); held && tree != nil {
			one.guard.Lock()
			during := one.tenure
			state := RegionState{Duty: serial, Standing: one.before, ListError: one.listErr, RollError: one.failed}
			one.guard.Unlock()
			state.Replicas, _ = one.rows(tree, during)
			out.Regions[one.name] = state
		}
	}
	return out
}

// Status is the whole system as one control daemon finds it by asking the
// others.
type Status struct {
	Asked      string                   `json:"asked"`
	Majority   bool                     `json:"majority"`
	Trouble    string                   `json:"trouble,omitempty"`
	Serial     uint64                   `json:"serial"`
	Core       register.Core            `json:"core"`
	Locals     map[string]Local         `json:"locals"`
	Unreached  map[string]string        `json:"unreached,omitempty"`
	Models     map[string]ModelStatus   `json:"models,omitempty"`
	Document   json.RawMessage          `json:"document,omitempty"`
	SeedsUnmet []string                 `json:"seeds_unmet,omitempty"`
	Holders    map[string]permit.Record `json:"holders,omitempty"`
	// Skews are how far each daemon's calendar stands from the asked one's.
	Skews map[string]time.Duration `json:"skews,omitempty"`
	// Sums are the acceptors' digests, by identity, range by range.
	Sums map[string][]string `json:"sums,omitempty"`
}

// LocalReply carries a Local over the wire, as JSON: it holds interfaces.
type LocalReply struct{ Body []byte }

type localService struct{ daemon *Daemon }

// Local describes the daemon.
func (service localService) Local(_ struct{}, reply *LocalReply) (err error) {
	reply.Body, err = json.Marshal(service.daemon.Local())
	return err
}

// Status asks every control daemon and the registers. It works against a sick
// system and says what it could not ask.
func (daemon *Daemon) Status() Status {
	self := daemon.Local()
	out := Status{Asked: self.Member.Name, Core: self.Core, Locals: map[string]Local{self.Member.Name: self}, Unreached: map[string]string{}, Skews: map[string]time.Duration{}}
	addresses := map[string]string{} // by address: what it is
	for _, member := range self.Core.Members {
		at := daemon.Table.Locate(member.ID)
		if at == "" {
			at = member.Address
		}
		addresses[at] = "acceptor " + member.ID
	}
	for _, one := range self.Sessions {
		if one.Member.Role == session.Control {
			addresses[one.Member.Wire] = one.Member.Name
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
	type got struct {
		local Local
		err   error
	}
	loop.Gather(daemon.World, len(list), daemon.span(), func(index int) got {
		var reply LocalReply
		var one got
		if one.err = daemon.Net.Call(list[index], "Local.Local", struct{}{}, &reply, daemon.span()*3/4); one.err == nil {
			one.err = json.Unmarshal(reply.Body, &one.local)
		}
		return one
	}, func(index int, one got) bool {
		address := list[index]
		if one.err == nil {
			out.Locals[one.local.Member.Name] = one.local
			out.Skews[one.local.Member.Name] = one.local.Wall.Sub(daemon.World.Wall())
		} else {
			out.Unreached[address] = addresses[address] + ": " + one.err.Error()
			if slices.Contains(daemon.Live.Seeds(), address) {
				out.SeedsUnmet = append(out.SeedsUnmet, address)
			}
		}
		return false
	})
	for _, address := range list {
		answered := out.Unreached[address] != ""
		for _, one := range out.Locals {
			answered = answered || one.Member.Wire == address
		}
		if !answered {
			out.Unreached[address] = addresses[address] + ": no answer in time"
			if slices.Contains(daemon.Live.Seeds(), address) {
				out.SeedsUnmet = append(out.SeedsUnmet, address)
			}
		}
	}
	slices.Sort(out.SeedsUnmet)
	value, err := daemon.Read(permit.ConfigKey)
	if err != nil {
		out.Trouble = err.Error()
		out.Serial = self.Serial
		return out
	}
	out.Majority, out.Serial = true, value.Serial
	out.Sums = daemon.Compare()
	_ = daemon.Office.Learn(value)
	_, config, _ := daemon.Office.Current()
	out.Document = config.Whole()
	if out.Models, err = daemon.Handovers(); err != nil {
		out.Trouble = err.Error()
	}
	if out.Holders, err = daemon.Office.Holders(); err != nil {
		out.Trouble = err.Error()
	}
	return out
}

// effective gives every value that holds at a place, and where it came from.
func effective(tree *settings.Tree, place string) (map[string]map[string]any, bool) {
	leaves, known := tree.Effective(place)
	if !known {
		return nil, false
	}
	out := map[string]map[string]any{}
	for key, leaf := range leaves {
		out[key] = map[string]any{"value": leaf.Value.Value(), "from": leaf.From}
	}
	return out, true
}

func words(text string) []string {
	return slices.DeleteFunc(strings.Split(text, ","), func(word string) bool { return word == "" })
}
