// Package rollout implements roll-outs: one durable run per model and region, the
// register objects that the runs work on, and the loop that reconciles replicas with
// the desired state. The design is described in DESIGN.
package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/routing"
	"swifttiller/workflow"
)

// Key prefixes of the registers that hold the objects. Writes to an object are
// serialized by its register's compare-and-set.
const (
	ModelPrefix   = "model/"
	VersionPrefix = "version/"
	SerialPrefix  = "serial/"
	DelayedPrefix = "delayed/"
)

// Desired states of a version in a region.
const (
	RUNNING  = "RUNNING"
	STANDBY  = "STANDBY"
	ARCHIVED = "ARCHIVED"
)

// Model is the object of one model: its routes in all regions and the version that is
// live.
//
// Invariants: it is written by Objects.Change only. Fences never decrease, and a write
// for a region by a leader whose term is lower than the region's fence is rejected.
type Model struct {
	Routes     map[string]routing.Route `json:"routes"`
	Live       string                   `json:"live"`
	RolledBack bool                     `json:"isRolledBack"`
	Fences     map[string]uint64        `json:"fences"`
	// Failed maps a version to the run whose trial or watch failed clearly. No region
	// continues that run, and no automatic run starts with the version, until an
	// operator promotes the model.
	Failed map[string]string `json:"failed,omitempty"`
	// Order is the newest timed roll-out, if the placement allows any version.
	Order *Order `json:"order,omitempty"`
	// Wanted is, by region, the version in the placement that was last acted on. It
	// lets automatic roll-outs follow changes of the placement without undoing what an
	// operator did.
	Wanted map[string]string `json:"wanted"`
}

// Objects reads and writes the register objects of roll-outs.
type Objects struct {
	World     loop.World
	Registers *register.Client
	// Name is part of each nonce and makes it unique across daemons.
	Name string
	// Changed, if set, is called after every write of a model's object by this daemon.
	Changed    func()
	nonceCount atomic.Uint64
	// ordersSeenAt maps the ID of each order to the time when this daemon first saw it.
	// It is protected by mutex, which is never held while waiting.
	mutex        sync.Mutex
	ordersSeenAt map[string]time.Duration
}

// Model reads a model's object.
func (objects *Objects) Model(model string) (Model, error) {
	return objects.ModelWithTimeout(model, objects.Registers.Patience)
}

// ModelWithTimeout is like Model, but gives up after the timeout if no quorum replies.
func (objects *Objects) ModelWithTimeout(model string, timeout time.Duration) (Model, error) {
	value, err := objects.Registers.ReadWithin(ModelPrefix+model, timeout)
	if err != nil {
		return Model{}, err
	}
	return objects.Open(value)
}

// Models returns the names of all models that have an object, also of those that no region
// places any more.
func (objects *Objects) Models() ([]string, error) {
	keys, err := objects.Registers.List(ModelPrefix)
	if err != nil {
		return nil, err
	}
	models := make([]string, 0, len(keys))
	for _, key := range keys {
		models = append(models, strings.TrimPrefix(key, ModelPrefix))
	}
	return models, nil
}

// Open decodes a model's object from the value of its register, and records when its
// order was first seen.
func (objects *Objects) Open(value register.Value) (Model, error) {
	object, err := OpenModel(value)
	if err == nil && object.Order != nil {
		objects.firstSeen(object.Order.ID)
	}
	return object, err
}

// OpenModel decodes a model's object from the value of its register.
func OpenModel(value register.Value) (Model, error) {
	object := Model{Routes: map[string]routing.Route{}, Fences: map[string]uint64{}, Wanted: map[string]string{}}
	if value.Serial == 0 {
		return object, nil
	}
	return object, json.Unmarshal(value.Data, &object)
}

// Change revises a model's object; routes are written here only. A region's leader
// passes its region and its term as the fence. Operators pass no region: their writes
// are serialized by the register's compare-and-set alone.
func (objects *Objects) Change(model, region string, fence uint64, revise func(*Model) error) (Model, error) {
	return objects.changeWithTimeout(objects.Registers.Patience, model, region, fence, revise)
}

// changeWithTimeout is like Change, but gives up after the timeout if no quorum
// replies.
func (objects *Objects) changeWithTimeout(timeout time.Duration, model, region string, fence uint64, revise func(*Model) error) (Model, error) {
	var object Model
	_, err := objects.Registers.UpdateWithin(ModelPrefix+model, timeout, func(value register.Value) ([]byte, error) {
		var err error
		if object, err = OpenModel(value); err != nil {
			return nil, err
		}
		if region != "" {
			if object.Fences[region] > fence {
				return nil, workflow.ErrFenced
			}
			object.Fences[region] = fence
		}
		if err := revise(&object); err != nil {
			return nil, err
		}
		return json.Marshal(object)
	})
	if err == nil && objects.Changed != nil {
		objects.Changed()
	}
	return object, err
}

// NextSerial returns the region's next serial. Serials of a region only increase.
func (objects *Objects) NextSerial(region string) (uint64, error) {
	value, err := objects.Registers.Update(SerialPrefix+region, func(value register.Value) ([]byte, error) {
		return json.Marshal(value.Serial + 1)
	})
	return value.Serial, err
}

// Desired is the desired state of a version in a region.
//
// Invariant: Nonce is that of the newest scheduled change, or empty if the state was
// set after it. A delayed order with any other nonce has no effect.
type Desired struct {
	State string `json:"state"`
	// Only names the replicas that load the version during a trial; empty means all.
	Only  []string  `json:"only,omitempty"`
	Nonce string    `json:"nonce,omitempty"`
	Since time.Time `json:"since"`
	// Order increases with every change and is part of the IDs of the orders sent to
	// replicas.
	Order uint64 `json:"order"`
	Fence uint64 `json:"fence"`
}

// Version is the object of one version of a model, by region.
type Version struct {
	Regions map[string]Desired `json:"regions"`
}

func versionKey(model, version string) string { return VersionPrefix + model + "/" + version }

// Version reads a version's object.
func (objects *Objects) Version(model, version string) (Version, error) {
	value, err := objects.Registers.Read(versionKey(model, version))
	if err != nil {
		return Version{}, err
	}
	return openVersion(value)
}

func openVersion(value register.Value) (Version, error) {
	object := Version{Regions: map[string]Desired{}}
	if value.Serial == 0 {
		return object, nil
	}
	return object, json.Unmarshal(value.Data, &object)
}

// errUnchanged is returned by a revision that has nothing to write.
var errUnchanged = errors.New("same")

// mutate revises the desired state of a version in a region. A fence of 0 is not
// checked.
func (objects *Objects) mutate(model, version, region string, fence uint64, revise func(*Desired) error) (Desired, error) {
	var desired Desired
	_, err := objects.Registers.Update(versionKey(model, version), func(value register.Value) ([]byte, error) {
		object, err := openVersion(value)
		if err != nil {
			return nil, err
		}
		desired = object.Regions[region]
		if fence > 0 && desired.Fence > fence {
			return nil, workflow.ErrFenced
		}
		if fence > 0 {
			desired.Fence = fence
		}
		if err := revise(&desired); err != nil {
			return nil, err
		}
		object.Regions[region] = desired
		return json.Marshal(object)
	})
	if errors.Is(err, errUnchanged) {
		err = nil
	}
	return desired, err
}

func (objects *Objects) nonce() string {
	return fmt.Sprintf("%s/%d/%x", objects.Name, objects.nonceCount.Add(1), objects.World.RandN(1<<40))
}

// Want sets a desired state immediately and clears the nonce, which invalidates every
// delayed order. It is an upsert: setting the same state and replicas again changes
// nothing else.
func (objects *Objects) Want(model, version, region string, fence uint64, state string, only []string) (Desired, error) {
	return objects.mutate(model, version, region, fence, func(desired *Desired) error {
		if desired.State == state && equalStrings(desired.Only, only) && desired.Nonce == "" {
			return errUnchanged
		}
		if desired.State != state || !equalStrings(desired.Only, only) {
			desired.Order++
			desired.Since = objects.World.WallTime()
		}
		desired.State, desired.Only, desired.Nonce = state, only, ""
		return nil
	})
}

func equalStrings(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for index := range a {
		if a[index] != b[index] {
			return false
		}
	}
	return true
}

// Delayed is a change of a desired state that is to take effect later.
type Delayed struct {
	Version string    `json:"version"`
	Region  string    `json:"region"`
	State   string    `json:"state"`
	At      time.Time `json:"at"`
	Nonce   string    `json:"nonce"`
}

// Schedule plans a change of a desired state after the delay. It replaces any earlier
// plan by writing a fresh nonce into the version's object. The delayed order, which
// carries the nonce, is written first: if the nonce is then never written to the
// object, the order has no effect.
func (objects *Objects) Schedule(model, version, region string, fence uint64, state string, delay time.Duration) error {
	order := Delayed{Version: version, Region: region, State: state, At: objects.World.WallTime().Add(delay), Nonce: objects.nonce()}
	_, err := objects.Registers.Update(DelayedPrefix+model, func(value register.Value) ([]byte, error) {
		orders, err := openDelayed(value)
		if err != nil {
			return nil, err
		}
		kept := orders[:0]
		for _, delayed := range orders {
			if delayed.Version != version || delayed.Region != region {
				kept = append(kept, delayed)
			}
		}
		return json.Marshal(append(kept, order))
	})
	if err != nil {
		return err
	}
	_, err = objects.mutate(model, version, region, fence, func(desired *Desired) error {
		desired.Nonce = order.Nonce
		return nil
	})
	return err
}

func openDelayed(value register.Value) (orders []Delayed, err error) {
	if value.Serial > 0 {
		err = json.Unmarshal(value.Data, &orders)
	}
	return orders, err
}

// Fire applies a delayed order if its nonce is still the newest, and reports whether it
// did.
func (objects *Objects) Fire(model string, order Delayed, fence uint64) (bool, error) {
	isFired := false
	_, err := objects.mutate(model, order.Version, order.Region, fence, func(desired *Desired) error {
		isFired = false
		if desired.Nonce != order.Nonce {
			return errUnchanged // the order is stale and has no effect
		}
		isFired = true
		desired.State, desired.Only, desired.Nonce = order.State, nil, ""
		desired.Since = objects.World.WallTime()
		desired.Order++
		return nil
	})
	return isFired, err
}

// FireDue applies the region's delayed orders that are due and removes them from the
// list.
func (objects *Objects) FireDue(model, region string, fence uint64, archive time.Duration) error {
	value, err := objects.Registers.Read(DelayedPrefix + model)
	if err != nil {
		return err
	}
	orders, err := openDelayed(value)
	if err != nil {
		return err
	}
	now := objects.World.WallTime()
	for _, order := range orders {
		if order.Region != region || now.Before(order.At) {
			continue
		}
		isFired, err := objects.Fire(model, order, fence)
		if err != nil {
			return err
		}
		if _, err := objects.Registers.Update(DelayedPrefix+model, func(value register.Value) ([]byte, error) {
			orders, err := openDelayed(value)
			if err != nil {
				return nil, err
			}
			kept := []Delayed{}
			for _, delayed := range orders {
				if delayed.Nonce != order.Nonce {
					kept = append(kept, delayed)
				}
			}
			return json.Marshal(kept)
		}); err != nil {
			return err
		}
		if isFired && order.State == STANDBY {
			// The time in standby is bounded: a version that stays idle for that long
			// is archived.
			if err := objects.Schedule(model, order.Version, region, fence, ARCHIVED, archive); err != nil {
				return err
			}
		}
	}
	return nil
}

// Versions returns the objects of all versions of a model, by version.
func (objects *Objects) Versions(model string) (map[string]Version, error) {
	keys, err := objects.Registers.List(VersionPrefix + model + "/")
	if err != nil || len(keys) == 0 {
		return nil, err
	}
	values, err := objects.Registers.ReadMany(keys...)
	if err != nil {
		return nil, err
	}
	versions := map[string]Version{}
	for key, value := range values {
		object, err := openVersion(value)
		if err != nil {
			return nil, err
		}
		versions[key[len(VersionPrefix+model+"/"):]] = object
	}
	return versions, nil
}

// Rejection is the error for an operator's step that is rejected in the present state.
type Rejection struct{ Reason string }

// Error returns the reason of the rejection.
func (rejection *Rejection) Error() string { return rejection.Reason }

// Rollback points a model's routes back to the previous version in one write, in the
// given regions, or in all if none are given. Automatic roll-outs are disabled until a
// promote.
func (objects *Objects) Rollback(model string, regions []string, standby time.Duration) (Model, error) {
	return objects.swapRoutes(model, regions, standby, true)
}

// Promote reverses a rollback and enables automatic roll-outs again. With stay, the
// routes are left as they are.
func (objects *Objects) Promote(model string, stay bool, standby time.Duration) (Model, error) {
	if stay {
		return objects.Change(model, "", 0, func(model *Model) error {
			model.RolledBack = false
			clearBans(model)
			return nil
		})
	}
	return objects.swapRoutes(model, nil, standby, false)
}

func clearBans(model *Model) {
	for region, route := range model.Routes {
		route.Banned = nil
		model.Routes[region] = route
	}
	model.Failed = nil
}

// swapRoutes exchanges the current and the previous version of each region's route. In
// a region with a trial, it ends the trial instead.
func (objects *Objects) swapRoutes(name string, regions []string, standby time.Duration, isRollback bool) (Model, error) {
	object, err := objects.Model(name)
	if err != nil {
		return Model{}, err
	}
	var moved []string
	for _, region := range sorted(object.Routes) {
		route := object.Routes[region]
		if len(regions) > 0 && !has(regions, region) {
			continue
		}
		if route.Previous == "" && route.Trial == "" {
			continue
		}
		moved = append(moved, region)
	}
	if len(moved) == 0 {
		return object, &Rejection{fmt.Sprintf("no region has a previous version of %q to roll back to", name)}
	}
	serials := map[string]uint64{}
	for _, region := range moved {
		route := object.Routes[region]
		if route.Trial != "" {
			serials[region], err = objects.NextSerial(region)
			if err != nil {
				return Model{}, err
			}
			continue
		}
		version, err := objects.Version(name, route.Previous)
		if err != nil {
			return Model{}, err
		}
		if isRollback && route.IsBanned(route.Previous) {
			return object, &Rejection{fmt.Sprintf("version %s failed in region %s and cannot be rolled back to; promote it to allow another try", route.Previous, region)}
		}
		if desired := version.Regions[region]; desired.State != RUNNING {
			return object, &Rejection{fmt.Sprintf("version %s is %s in region %s and is not loaded; start a handover to it instead", route.Previous, desired.State, region)}
		}
		// The target version is kept loaded before any route points to it.
		if _, err := objects.Want(name, route.Previous, region, 0, RUNNING, nil); err != nil {
			return Model{}, err
		}
		if serials[region], err = objects.NextSerial(region); err != nil {
			return Model{}, err
		}
	}
	changed, err := objects.Change(name, "", 0, func(model *Model) error {
		for _, region := range moved {
			route, before := model.Routes[region], object.Routes[region]
			if route.Version != before.Version || route.Previous != before.Previous || route.Trial != before.Trial {
				return &Rejection{"the routes were changed concurrently; check `handover status` and try again"}
			}
			if route.Trial != "" {
				if isRollback && !has(route.Banned, route.Trial) {
					route.Banned = append(route.Banned, route.Trial)
				}
			} else {
				route.Version, route.Previous, route.Watched, route.Handover = route.Previous, route.Version, false, nil
				route.Moved = objects.World.WallTime()
			}
			route.Trial, route.TrialReplicas, route.Run, route.Serial = "", nil, "", serials[region]
			model.Routes[region] = route
		}
		// Runs that have not reached their trial or move lose their claim too.
		for region, route := range model.Routes {
			if len(regions) == 0 || has(regions, region) {
				route.Run, route.TrialReplicas = "", nil
				model.Routes[region] = route
			}
		}
		model.RolledBack = isRollback
		if !isRollback {
			clearBans(model)
		}
		model.Live = liveVersion(model)
		return nil
	})
	if err != nil {
		return changed, err
	}
	for _, region := range moved {
		if before := object.Routes[region]; before.Trial != "" {
			if _, err := objects.Want(name, before.Trial, region, 0, ARCHIVED, nil); err != nil {
				return changed, err
			}
		} else if err := objects.Schedule(name, before.Version, region, 0, STANDBY, standby); err != nil {
			return changed, err
		}
	}
	return changed, nil
}

// liveVersion returns the version that the routes of all regions point to, or the
// present live version while they differ.
func liveVersion(model *Model) string {
	version := ""
	for _, region := range sorted(model.Routes) {
		if routed := model.Routes[region].Version; version == "" {
			version = routed
		} else if routed != version {
			return model.Live
		}
	}
	return version
}
