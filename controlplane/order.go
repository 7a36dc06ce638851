package controlplane

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"swifttiller/permit"
	"swifttiller/rollout"
	"swifttiller/settings"
	"swifttiller/verdict"
)

const (
	// orderQuorumTimeout is for how long an order goes on while no majority of the core answers.
	// Operators turn to another daemon after a second.
	orderQuorumTimeout = roundTimeout * 2 / 5
	// orderMaxAge is how long after its arrival an order may still be written that builds on
	// no version: who gave it up may have had the opposite acknowledged elsewhere since.
	orderMaxAge = roundTimeout / 2
	// documentMaxAge is that of a document, which is written only on top of the one that it
	// builds on.
	documentMaxAge = 2 * roundTimeout
)

// ErrAbandoned: the caller of an order left, or its time is over, before it was written.
// Nothing of it was or will be.
var ErrAbandoned = errors.New("the order was given up before it was written")

// Caller is who waits for the outcome of an order.
type Caller struct {
	// IsGone, if set, tells whether the caller closed its connection.
	IsGone func() bool
}

// Operator carries out the orders of one caller. An order is bound to its arrival and to
// its caller: nothing is written once its time is over or the caller has left, as after a
// freeze of this daemon.
type Operator struct {
	daemon  *Daemon
	caller  Caller
	arrived time.Duration
}

// For takes an order that is read now. One that may have lain unread while this daemon was
// frozen counts as having arrived when the freeze began.
func (daemon *Daemon) For(caller Caller) *Operator {
	return &Operator{daemon: daemon, caller: caller, arrived: daemon.pauses.earliestArrival()}
}

// isAbandoned tells whether nothing may be written for the caller any more, the span after
// the order's arrival at the latest.
func (operator *Operator) isAbandoned(maxAge time.Duration) bool {
	return operator.daemon.World.Now()-operator.arrived > maxAge || operator.caller.IsGone != nil && operator.caller.IsGone()
}

// Apply is Operator.Apply for a caller that can't leave.
func (daemon *Daemon) Apply(document []byte, expect *uint64, dry bool) (permit.Applied, error) {
	return daemon.For(Caller{}).Apply(document, expect, dry)
}

// Replace is Operator.Replace for a caller that can't leave.
func (daemon *Daemon) Replace(document []byte, expect uint64) (permit.Applied, error) {
	return daemon.For(Caller{}).Replace(document, expect)
}

// Evacuate is Operator.Evacuate for a caller that can't leave.
func (daemon *Daemon) Evacuate(zone string, back bool) (permit.Applied, error) {
	return daemon.For(Caller{}).Evacuate(zone, back)
}

// BeginRollout is Operator.BeginRollout for a caller that can't leave.
func (daemon *Daemon) BeginRollout(model, version string, over time.Duration) error {
	return daemon.For(Caller{}).BeginRollout(model, version, over)
}

// Apply checks a whole document and makes it the configuration. It returns once
// it is acknowledged.
func (operator *Operator) Apply(document []byte, expect *uint64, dry bool) (permit.Applied, error) {
	daemon := operator.daemon
	rest, origin := permit.Apart(document)
	tree, problems := daemon.Office.Parse(rest)
	if len(problems) > 0 {
		return permit.Applied{}, problems
	}
	for _, warning := range tree.Warnings() {
		daemon.Log.Warn("a document sets what means nothing any more", zap.String("path", warning.Path), zap.String("reason", warning.Reason))
	}
	if dry {
		return permit.Applied{}, nil
	}
	archived := daemon.Office.Archive()
	return daemon.Office.Change(expect, operator.unlessAbandoned(documentMaxAge, func(config permit.Config) (permit.Config, error) {
		config, err := config.Take(document, versionMark(tree.Label(), rest, origin), archived)
		// An evacuation outlasts configurations; a zone that is no more does not.
		config.Evacuated = slices.DeleteFunc(slices.Clone(config.Evacuated), func(zone string) bool {
			_, known := tree.RegionOf(zone)
			return !known
		})
		return config, err
	}))
}

// Outdated is the answer to an order that builds on another label than the current one.
type Outdated struct{ Have, Want uint64 }

// Error is one line.
func (outdated *Outdated) Error() string {
	return fmt.Sprintf("expected the configuration labelled %d, but the current one is %d", outdated.Want, outdated.Have)
}

// versionMark is the mark of a document, by what the operator sent: that which it was made
// from, if it says so. One without a label has none.
func versionMark(label uint64, rest, origin []byte) permit.Mark {
	if label == 0 {
		return ""
	}
	source := origin
	if len(source) == 0 {
		source = rest
	}
	var compact bytes.Buffer
	_ = json.Compact(&compact, source) // a tree was parsed from it
	sum := sha256.Sum256(compact.Bytes())
	return permit.Mark(fmt.Sprintf("%d/%s", label, base64.RawStdEncoding.EncodeToString(sum[:9])))
}

// Replace makes a document with a label the configuration, if the current one's label is
// the expected (0 when there is none), and returns once it is acknowledged. A document
// that was taken already, as far as it or the history remembers, is acknowledged again,
// also when others came since. Errors: settings.Problems, *Outdated, those of the
// registers; register.ErrUncertain alone leaves open whether it was taken.
func (operator *Operator) Replace(document []byte, expect uint64) (permit.Applied, error) {
	daemon := operator.daemon
	rest, origin := permit.Apart(document)
	tree, problems := daemon.Office.Parse(rest)
	if len(problems) > 0 {
		return permit.Applied{}, problems
	}
	mark := versionMark(tree.Label(), rest, origin)
	if applied, isTaken, err := daemon.Office.Again(mark); isTaken {
		return daemon.logOutcome(operator.arrived, applied, err)
	}
	archived := daemon.Office.Archive()
	var base permit.Config // what was revised last
	applied, err := operator.changeRepeatable(documentMaxAge, func(config permit.Config) (permit.Config, error) {
		base = config
		switch label := config.Label(); {
		case slices.Contains(config.Taken, mark):
			return config, permit.ErrSame
		case expect != label:
			return config, &Outdated{Have: label, Want: expect}
		case tree.Label() <= label:
			return config, settings.Problems{{Path: "$.label", Reason: fmt.Sprintf("%d is not above the current %d", tree.Label(), label)}}
		}
		return config.Take(document, mark, archived)
	})
	var outdated *Outdated
	if !errors.As(err, &outdated) || base.Archived == 0 || mark.Label() > base.Label() {
		return applied, err
	}
	// It may have been taken long ago.
	isTaken, recallErr := daemon.Office.Recall(base, mark, orderQuorumTimeout)
	switch {
	case recallErr != nil:
		return applied, recallErr
	case !isTaken:
		return applied, err
	}
	return operator.changeRepeatable(documentMaxAge, func(config permit.Config) (permit.Config, error) { return config, permit.ErrSame })
}

// unlessAbandoned is the revision that declines to write for a caller that is gone. It runs right
// before each write, so that a daemon that was frozen meanwhile finds out.
func (operator *Operator) unlessAbandoned(maxAge time.Duration, revise func(permit.Config) (permit.Config, error)) func(permit.Config) (permit.Config, error) {
	return func(config permit.Config) (permit.Config, error) {
		next, err := revise(config)
		if err == nil && operator.isAbandoned(maxAge) {
			err = ErrAbandoned
		}
		return next, err
	}
}

// changeRepeatable carries out a change that may be made twice: what brings about the same again is
// ErrSame. Where its outcome can't be told, whoever sends it again finds out: the ballot of
// that is higher, so that the first either lies beneath what it reads, or never will.
func (operator *Operator) changeRepeatable(maxAge time.Duration, revise func(permit.Config) (permit.Config, error)) (permit.Applied, error) {
	applied, err := operator.daemon.Office.Change(nil, operator.unlessAbandoned(maxAge, revise))
	return operator.daemon.logOutcome(operator.arrived, applied, err)
}

// logOutcome logs what became of an operator's change.
func (daemon *Daemon) logOutcome(began time.Duration, applied permit.Applied, err error) (permit.Applied, error) {
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
func (operator *Operator) Evacuate(zone string, back bool) (permit.Applied, error) {
	daemon := operator.daemon
	if applied, isSo, err := daemon.Office.Stands(func(tree *settings.Tree, config permit.Config) bool {
		_, isKnown := tree.RegionOf(zone)
		return isKnown && slices.Contains(config.Evacuated, zone) != back
	}); isSo || err != nil {
		return daemon.logOutcome(operator.arrived, applied, err)
	}
	return operator.changeRepeatable(orderMaxAge, func(config permit.Config) (permit.Config, error) {
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
		zones := slices.DeleteFunc(slices.Clone(config.Evacuated), func(evacuated string) bool { return evacuated == zone })
		if !back {
			zones = append(zones, zone)
			slices.Sort(zones)
		}
		config.Evacuated = zones
		return config, nil
	})
}

// RolloutState is how a model's newest roll-out under a term stands, over all regions.
type RolloutState struct {
	// State is running, done or back (rollout.Moving and its like); empty when there was
	// none.
	State   string `json:"state"`
	Version string `json:"version"`
	Reason  string `json:"reason,omitempty"` // why it was taken back
}

// regionsWithAnyVersion lists the regions that place the model with any version.
func regionsWithAnyVersion(tree *settings.Tree, model string) (regions []string) {
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
func (operator *Operator) BeginRollout(model, version string, over time.Duration) error {
	if version == "" || over <= 0 {
		return verdict.Decline(400, "bad_request", "a roll-out needs a version and a term", 0)
	}
	daemon := operator.daemon
	// What this daemon remembers may be older than what the operator knows.
	if err := daemon.Office.Refresh(); err != nil {
		return Answer(err)
	}
	_, _, tree := daemon.Office.Current()
	regions := regionsWithAnyVersion(tree, model)
	switch {
	case tree == nil:
		return verdict.Decline(409, "no_configuration", "there is no configuration yet", 0)
	case len(regions) == 0:
		return verdict.Decline(404, "no_model", fmt.Sprintf("model %q is placed in no region with any version", model), 0)
	}
	fence := rollout.Fence{Silence: orderQuorumTimeout, IsAbandoned: func() bool { return operator.isAbandoned(orderMaxAge) }}
	if _, err := daemon.Objects.BeginWithin(fence, model, version, over, regions); err != nil {
		return Answer(err)
	}
	return nil
}

// RolloutState tells how the model's newest roll-out under a term stands. The error is
// always a *verdict.Mishap.
func (daemon *Daemon) RolloutState(model string) (RolloutState, error) {
	object, err := daemon.Objects.ModelWithin(model, orderQuorumTimeout)
	if err != nil {
		return RolloutState{}, Answer(err)
	}
	if object.Order == nil {
		return RolloutState{}, nil
	}
	_, _, tree := daemon.Office.Current()
	regions := regionsWithAnyVersion(tree, model)
	if tree == nil { // it started just now
		regions = object.Order.Regions
	}
	return RolloutState{State: object.Order.State(regions), Version: object.Order.Version, Reason: object.Order.Back}, nil
}
