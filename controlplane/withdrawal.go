package controlplane

import (
	"time"

	"swifttiller/rollout"
	"swifttiller/settings"
)

// withdrawalCheckInterval is how often the leader of a region looks for roll-outs whose model
// no region places while the configuration stays the same: an order may be stored after the
// configuration that drops its model.
const withdrawalCheckInterval = 10 * time.Second

// withdrawalCheck is the last complete check of the models that no region places.
type withdrawalCheck struct {
	configSerial, term uint64
	at                 time.Duration
}

// endWithdrawnRollouts ends the timed roll-outs of models that the configuration no longer
// places in the regions that are not done. It returns the first error; the next call then
// tries again.
func (region *region) endWithdrawnRollouts(term uint64, placedHere []string) error {
	serial, _, tree := region.Issuer.Current()
	check := func(model string) rollout.PlacementCheck {
		return rollout.PlacementCheck{Model: model, Region: region.name, Term: term, ConfigSerial: serial, PlacedIn: regionsWithAnyVersion(tree, model)}
	}
	for _, model := range placedHere {
		if err := region.Objects.EndWithdrawn(check(model)); err != nil {
			return err
		}
	}
	now, last := region.World.Now(), region.lastWithdrawalCheck
	if last.configSerial == serial && last.term == term && now-last.at < withdrawalCheckInterval {
		return nil
	}
	models, err := region.Objects.Models()
	if err != nil {
		return err
	}
	for _, model := range models {
		if isPlacedAnywhere(tree, model) {
			continue // the leaders of the regions that place it see it when they read its routes
		}
		if err := region.Objects.EndWithdrawn(check(model)); err != nil {
			return err
		}
	}
	region.lastWithdrawalCheck = withdrawalCheck{configSerial: serial, term: term, at: now}
	return nil
}

// isPlacedAnywhere tells whether the configuration places the model in any region.
func isPlacedAnywhere(tree *settings.Tree, model string) bool {
	for _, region := range tree.Regions() {
		if _, placed := tree.Placement(model, region); placed {
			return true
		}
	}
	return false
}
