package rollout

import (
	"slices"

	"swifttiller/loop"
	"swifttiller/routing"
	"swifttiller/workflow"
)

// orderRevert describes the roll-back of an order.
type orderRevert struct {
	model, id string
	// region and term are those of the leader that rolls it back; the write is fenced by them.
	region string
	term   uint64
	reason string
	// isVersionFailure says that the version itself failed, so that it is not tried again.
	isVersionFailure bool
	// failpoint, if set, is called before the write.
	failpoint func(name string)
}

// revertOrder rolls an order back in all regions with one write. It is an upsert, so a
// retry is safe. An order that has ended is left as it is.
func (objects *Objects) revertOrder(revert orderRevert) error {
	object, err := objects.Model(revert.model)
	if err != nil {
		return err
	}
	isOver := func(order *Order) bool { return order.ID != revert.id || order.State() != Moving }
	if isOver(orEmpty(object.Order)) {
		return nil
	}
	if revert.failpoint != nil {
		revert.failpoint("back")
	}
	serials, err := objects.nextSerials(object.Order.Regions)
	if err != nil {
		return err
	}
	_, err = objects.Change(revert.model, revert.region, revert.term, func(model *Model) error {
		if isOver(orEmpty(model.Order)) {
			return workflow.ErrWait // it has ended or was superseded in the meantime; the next pass reads it again
		}
		now := objects.World.WallTime()
		model.Order.Back, model.Order.Ended = revert.reason, now
		version := model.Order.Version
		if revert.isVersionFailure {
			if model.Failed == nil {
				model.Failed = map[string]string{}
			}
			model.Failed[version] = revert.id
		}
		for _, region := range model.Order.Regions {
			route := model.Routes[region]
			if route.Version == version {
				route.Version, route.Moved = route.Previous, now
			}
			if !route.IsBanned(version) {
				route.Banned = append(route.Banned, version)
			}
			route.Run, route.Trial, route.Previous, route.Watched, route.Left, route.Handover = "", "", "", false, nil, nil
			route.Serial = serials[region]
			model.Routes[region] = route
		}
		model.Live = liveVersion(model)
		return nil
	})
	return err
}

// nextSerials returns the next serial of each region. It takes them in parallel, as a bad
// version gets requests until the roll-back is written.
func (objects *Objects) nextSerials(regions []string) (serials map[string]uint64, err error) {
	type result struct {
		serial uint64
		err    error
	}
	serials = map[string]uint64{}
	loop.Gather(objects.World, len(regions), loop.Forever, func(index int) (taken result) {
		taken.serial, taken.err = objects.NextSerial(regions[index])
		return taken
	}, func(index int, taken result) bool {
		serials[regions[index]] = taken.serial
		if taken.err != nil {
			err = taken.err
		}
		return false
	})
	return serials, err
}

// PlacementCheck describes where a configuration places a model.
type PlacementCheck struct {
	Model string
	// Region and Term are those of the leader that checks; its writes are fenced by them.
	Region string
	Term   uint64
	// ConfigSerial is the version of the configuration. PlacedIn are the regions where it
	// places the model with any version.
	ConfigSerial uint64
	PlacedIn     []string
}

// withdrawal is what a configuration means for an order.
type withdrawal int

// Withdrawals of an order: none; from all of its regions, which rolls it back; and from some
// when all others are done, which completes it.
const (
	notWithdrawn withdrawal = iota
	withdrawnEverywhere
	withdrawnFromRest
)

// withdrawalBy returns what the configuration means for the order. A configuration that is
// older than the one that the order was accepted under means nothing for it.
func (order *Order) withdrawalBy(check PlacementCheck) withdrawal {
	if order.ID == "" || order.State() != Moving || check.ConfigSerial < order.ConfigSerial {
		return notWithdrawn
	}
	placed, done := 0, 0
	for _, region := range order.Regions {
		if slices.Contains(check.PlacedIn, region) {
			placed++
			if order.Done[region] {
				done++
			}
		}
	}
	switch {
	case placed == 0:
		return withdrawnEverywhere
	case placed < len(order.Regions) && done == placed:
		return withdrawnFromRest
	}
	return notWithdrawn
}

// IsMoving reports whether the model has an order that has not ended.
func (model *Model) IsMoving() bool {
	return model.Order != nil && model.Order.State() == Moving
}

// IsWithdrawn reports whether the model has an order that EndWithdrawn would end.
func (model *Model) IsWithdrawn(check PlacementCheck) bool {
	return orEmpty(model.Order).withdrawalBy(check) != notWithdrawn
}

// EndWithdrawn ends the model's order if the configuration places the model in none of the
// order's regions that are not done. Only then is the order reported as ended, and it stays
// so if a later configuration places the model again: by then its new replicas may be gone.
func (objects *Objects) EndWithdrawn(check PlacementCheck) error {
	object, err := objects.Model(check.Model)
	if err != nil {
		return err
	}
	switch order := orEmpty(object.Order); order.withdrawalBy(check) {
	case withdrawnEverywhere:
		return objects.revertOrder(orderRevert{model: check.Model, id: order.ID, region: check.Region, term: check.Term, reason: "no region of the roll-out places the model with any version any more"})
	case withdrawnFromRest:
		return objects.completeOrder(check, order)
	}
	return nil
}

// completeOrder completes an order that is done in all regions that still place the model:
// the routes of the others point to its version as well, and away from those that it
// replaced, whose replicas stop once the order is done.
func (objects *Objects) completeOrder(check PlacementCheck, order *Order) error {
	serials, err := objects.nextSerials(order.Regions)
	if err != nil {
		return err
	}
	_, err = objects.Change(check.Model, check.Region, check.Term, func(model *Model) error {
		current := orEmpty(model.Order)
		if current.ID != order.ID || current.withdrawalBy(check) != withdrawnFromRest {
			return workflow.ErrWait // it changed in the meantime; the next pass reads it again
		}
		now := objects.World.WallTime()
		left := model.replacedVersions()
		for _, region := range current.Regions {
			if current.Done[region] {
				continue
			}
			route := model.Routes[region]
			model.Routes[region] = routing.Route{Version: current.Version, Serial: serials[region], Moved: now, Banned: route.Banned, Left: left}
			current.Done[region], current.Ended = true, now
		}
		model.Live = liveVersion(model)
		return nil
	})
	return err
}

// replacedVersions returns the versions that the routes of the order's finished regions have
// left, without duplicates.
func (model *Model) replacedVersions() (versions []string) {
	for _, region := range model.Order.Regions {
		if model.Order.Done[region] {
			versions = append(versions, model.Routes[region].Left...)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}
