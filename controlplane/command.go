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

	"swifttiller/lease"
	"swifttiller/rollout"
	"swifttiller/settings"
	"swifttiller/verdict"
)

const (
	// orderQuorumTimeout bounds the attempts of a command while no majority of the core replies.
	// It is below the second after which operators fail over to another daemon.
	orderQuorumTimeout = roundTimeout * 2 / 5
	// orderMaxAge is how long after its arrival a command that names no base version may still
	// be written: a caller that gave up on it may since have had the opposite command
	// acknowledged by another daemon.
	orderMaxAge = roundTimeout / 2
	// documentMaxAge is the same bound for a document. It is longer, as a document is written
	// only on top of its base version.
	documentMaxAge = 2 * roundTimeout
)

// ErrAbandoned is the error for a command whose caller disconnected, or whose time ran out,
// before it was written. Nothing of it was or will be written.
var ErrAbandoned = errors.New("the command was abandoned before it was written")

// Caller is the client that waits for the outcome of a command.
type Caller struct {
	// IsGone, if set, tells whether the caller has closed its connection.
	IsGone func() bool
}

// Operator executes one caller's commands. Nothing is written once a command has passed its
// maximum age or the caller has disconnected, as may be the case after this daemon was frozen.
type Operator struct {
	daemon  *Daemon
	caller  Caller
	arrived time.Duration
}

// OperatorFor accepts a command that is read now. If it may have waited in a socket buffer while this
// daemon was frozen, the beginning of the freeze counts as its arrival.
func (daemon *Daemon) OperatorFor(caller Caller) *Operator {
	return &Operator{daemon: daemon, caller: caller, arrived: daemon.pauses.earliestArrival()}
}

// isAbandoned tells whether nothing may be written for the caller any more: the command is
// older than maxAge, or the caller has disconnected.
func (operator *Operator) isAbandoned(maxAge time.Duration) bool {
	return operator.daemon.World.Now()-operator.arrived > maxAge || operator.caller.IsGone != nil && operator.caller.IsGone()
}

// Apply is Operator.Apply for a caller that can't disconnect.
func (daemon *Daemon) Apply(document []byte, expect *uint64, dry bool) (lease.Applied, error) {
	return daemon.OperatorFor(Caller{}).Apply(document, expect, dry)
}

// Replace is Operator.Replace for a caller that can't disconnect.
func (daemon *Daemon) Replace(document []byte, expect uint64) (lease.Applied, error) {
	return daemon.OperatorFor(Caller{}).Replace(document, expect)
}

// Evacuate is Operator.Evacuate for a caller that can't disconnect.
func (daemon *Daemon) Evacuate(zone string, back bool) (lease.Applied, error) {
	return daemon.OperatorFor(Caller{}).Evacuate(zone, back)
}

// BeginRollout is Operator.BeginRollout for a caller that can't disconnect.
func (daemon *Daemon) BeginRollout(model, version string, over time.Duration) error {
	return daemon.OperatorFor(Caller{}).BeginRollout(model, version, over)
}

// Apply validates a whole document and makes it the configuration; dry only validates. It
// returns once every lease holder applies the document or has lost its lease.
func (operator *Operator) Apply(document []byte, expect *uint64, dry bool) (lease.Applied, error) {
	daemon := operator.daemon
	rest, origin := lease.SplitOrigin(document)
	tree, problems := daemon.Issuer.Parse(rest)
	if len(problems) > 0 {
		return lease.Applied{}, problems
	}
	for _, warning := range tree.Warnings() {
		daemon.Log.Warn("the document sets a setting that has no effect any more", zap.String("path", warning.Path), zap.String("reason", warning.Reason))
	}
	if dry {
		return lease.Applied{}, nil
	}
	archived := daemon.Issuer.Archive()
	return daemon.Issuer.Change(expect, operator.unlessAbandoned(documentMaxAge, func(config lease.Config) (lease.Config, error) {
		config, err := config.WithDocument(document, versionMark(tree.Label(), rest, origin), archived)
		// Evacuations persist over configuration changes, except those of removed zones.
		config.Evacuated = slices.DeleteFunc(slices.Clone(config.Evacuated), func(zone string) bool {
			_, known := tree.RegionOf(zone)
			return !known
		})
		return config, err
	}))
}

// Outdated is the error for a document whose base label is not the current one.
type Outdated struct{ Have, Want uint64 }

// Error names both labels.
func (outdated *Outdated) Error() string {
	return fmt.Sprintf("expected the configuration with label %d, but the current label is %d", outdated.Want, outdated.Have)
}

// versionMark makes a document's version mark, its label and a digest of what the operator
// sent: the origin that the document was made from, if it has one. A document without a label
// has no mark.
func versionMark(label uint64, rest, origin []byte) lease.OrderMark {
	if label == 0 {
		return ""
	}
	source := origin
	if len(source) == 0 {
		source = rest
	}
	var compact bytes.Buffer
	_ = json.Compact(&compact, source) // valid JSON: a tree was parsed from it
	sum := sha256.Sum256(compact.Bytes())
	return lease.OrderMark(fmt.Sprintf("%d/%s", label, base64.RawStdEncoding.EncodeToString(sum[:9])))
}

// Replace makes a labelled document the configuration if the current label is the expected
// one (0 for no configuration), and returns once it is acknowledged. It is idempotent: a
// document that the configuration or its history records as accepted is acknowledged again,
// even if others have followed. Errors are settings.Problems, *Outdated and those of the
// registers; only register.ErrUncertain leaves open whether the document was accepted.
func (operator *Operator) Replace(document []byte, expect uint64) (lease.Applied, error) {
	daemon := operator.daemon
	rest, origin := lease.SplitOrigin(document)
	tree, problems := daemon.Issuer.Parse(rest)
	if len(problems) > 0 {
		return lease.Applied{}, problems
	}
	mark := versionMark(tree.Label(), rest, origin)
	if applied, isTaken, err := daemon.Issuer.ReacknowledgeDocument(mark); isTaken {
		return daemon.logOutcome(operator.arrived, applied, err)
	}
	archived := daemon.Issuer.Archive()
	var base lease.Config // the configuration that the last attempt was based on
	applied, err := operator.changeRepeatable(documentMaxAge, func(config lease.Config) (lease.Config, error) {
		base = config
		switch label := config.Label(); {
		case slices.Contains(config.Taken, mark):
			return config, lease.ErrAlreadyInForce
		case expect != label:
			return config, &Outdated{Have: label, Want: expect}
		case tree.Label() <= label:
			return config, settings.Problems{{Path: "$.label", Reason: fmt.Sprintf("%d is not above the current %d", tree.Label(), label)}}
		}
		return config.WithDocument(document, mark, archived)
	})
	var outdated *Outdated
	if !errors.As(err, &outdated) || base.Archived == 0 || mark.Label() > base.Label() {
		return applied, err
	}
	// It may be an old document whose mark was moved to the archived history.
	isTaken, recallErr := daemon.Issuer.InHistory(base, mark, orderQuorumTimeout)
	switch {
	case recallErr != nil:
		return applied, recallErr
	case !isTaken:
		return applied, err
	}
	return operator.changeRepeatable(documentMaxAge, func(config lease.Config) (lease.Config, error) { return config, lease.ErrAlreadyInForce })
}

// unlessAbandoned wraps a revision so that it fails once the command is abandoned. The check
// runs right before each write, so that a daemon that was frozen in between notices it.
func (operator *Operator) unlessAbandoned(maxAge time.Duration, revise func(lease.Config) (lease.Config, error)) func(lease.Config) (lease.Config, error) {
	return func(config lease.Config) (lease.Config, error) {
		next, err := revise(config)
		if err == nil && operator.isAbandoned(maxAge) {
			err = ErrAbandoned
		}
		return next, err
	}
}

// changeRepeatable executes an idempotent change, whose revision gives lease.ErrAlreadyInForce if it
// has been made already. If the outcome is uncertain, sending it again settles it: the second
// attempt has a higher ballot, so that it either reads the first one's value or prevents it
// from ever being accepted.
func (operator *Operator) changeRepeatable(maxAge time.Duration, revise func(lease.Config) (lease.Config, error)) (lease.Applied, error) {
	applied, err := operator.daemon.Issuer.Change(nil, operator.unlessAbandoned(maxAge, revise))
	return operator.daemon.logOutcome(operator.arrived, applied, err)
}

// logOutcome logs the outcome of an operator's change.
func (daemon *Daemon) logOutcome(began time.Duration, applied lease.Applied, err error) (lease.Applied, error) {
	daemon.Log.Info("operator command finished", zap.Uint64("serial", applied.Serial), zap.Duration("took", daemon.World.Now()-began),
		zap.Duration("acknowledged_in", applied.Took), zap.Int("holders", applied.Holders), zap.Strings("expired", applied.Expired), zap.Error(err))
	return applied, err
}

// Current reads the newest document and its label from a majority; nil if there is none yet.
func (daemon *Daemon) Current() (document []byte, label uint64, err error) {
	if err := daemon.Issuer.Refresh(); err != nil {
		return nil, 0, err
	}
	_, config, _ := daemon.Issuer.Current()
	return config.WithOrigin(), config.Label(), nil
}

// Evacuate takes a zone out of service, or puts it back into service. It is idempotent.
func (operator *Operator) Evacuate(zone string, back bool) (lease.Applied, error) {
	daemon := operator.daemon
	if applied, isSo, err := daemon.Issuer.AcknowledgeInForce(func(tree *settings.Tree, config lease.Config) bool {
		_, isKnown := tree.RegionOf(zone)
		return isKnown && slices.Contains(config.Evacuated, zone) != back
	}); isSo || err != nil {
		return daemon.logOutcome(operator.arrived, applied, err)
	}
	return operator.changeRepeatable(orderMaxAge, func(config lease.Config) (lease.Config, error) {
		if len(config.Document) == 0 {
			return config, verdict.Reject(409, "no_configuration", "there is no configuration yet", 0)
		}
		tree, problems := daemon.Issuer.Parse(config.Document)
		if len(problems) > 0 {
			return config, problems
		}
		isOut := slices.Contains(config.Evacuated, zone)
		if _, known := tree.RegionOf(zone); !known && !isOut {
			return config, verdict.Reject(404, "no_zone", fmt.Sprintf("the configuration has no zone %q", zone), 0)
		}
		if isOut != back {
			return config, lease.ErrAlreadyInForce
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

// RolloutState is the state of a model's newest timed roll-out over all regions.
type RolloutState struct {
	// State is running, done or back (see rollout.Moving); empty if there was no roll-out.
	State   string `json:"state"`
	Version string `json:"version"`
	Reason  string `json:"reason,omitempty"` // why it was rolled back
}

// regionsWithAnyVersion lists the regions whose placement of the model accepts any version.
func regionsWithAnyVersion(tree *settings.Tree, model string) (regions []string) {
	if tree == nil {
		return nil
	}
	for _, region := range tree.Regions() {
		if placement, placed := tree.Placement(model, region); placed && placement.AcceptsAnyVersion() {
			regions = append(regions, region)
		}
	}
	return regions
}

// BeginRollout starts a timed roll-out: in all regions, the model's traffic moves to the
// replicas of the version within the given time. The replicas come up by themselves. The same
// command again joins the roll-out that is running or ended a short while ago; a different one
// while one is running is rejected (409). The error is always a *verdict.Error. It returns
// once the roll-out is stored durably; the regions' leaders execute it.
func (operator *Operator) BeginRollout(model, version string, over time.Duration) error {
	if version == "" || over <= 0 {
		return verdict.Reject(400, "bad_request", "a roll-out requires a version and a duration", 0)
	}
	daemon := operator.daemon
	// The cached configuration may be older than the one that the operator has seen.
	if err := daemon.Issuer.Refresh(); err != nil {
		return OperatorError(err)
	}
	serial, _, tree := daemon.Issuer.Current()
	regions := regionsWithAnyVersion(tree, model)
	switch {
	case tree == nil:
		return verdict.Reject(409, "no_configuration", "there is no configuration yet", 0)
	case len(regions) == 0:
		return verdict.Reject(404, "no_model", fmt.Sprintf("no region places model %q with any version", model), 0)
	}
	order := rollout.OrderOptions{
		Model: model, Version: version, Duration: over, Regions: regions, ConfigSerial: serial,
		Timeout: orderQuorumTimeout, IsAbandoned: func() bool { return operator.isAbandoned(orderMaxAge) },
	}
	if _, err := daemon.Objects.Begin(order); err != nil {
		return OperatorError(err)
	}
	return nil
}

// RolloutState reports the state of the model's newest timed roll-out. The error is always a
// *verdict.Error.
func (daemon *Daemon) RolloutState(model string) (RolloutState, error) {
	object, err := daemon.Objects.ModelWithTimeout(model, orderQuorumTimeout)
	if err != nil {
		return RolloutState{}, OperatorError(err)
	}
	if object.Order == nil {
		return RolloutState{}, nil
	}
	return RolloutState{State: object.Order.State(), Version: object.Order.Version, Reason: object.Order.Back}, nil
}
