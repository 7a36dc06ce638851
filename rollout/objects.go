// Package rollout runs DESIGN's roll-out: one durable run per model and region,
// the keyed objects that it works through, and the loop that brings replicas to
// the wanted state.
package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"swifttiller/loop"
	"swifttiller/register"
	"swifttiller/standing"
	"swifttiller/workflow"
)

// Keys of the registers of the objects. Each object's calls are serialized by
// its register's compare-and-set.
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

// Model is the per-model serializer's object: the route rows and the pointer to
// the live version.
//
// Invariant: only Serializer.Change writes it; Fences never fall, and a write
// for a region by a duty with a lower serial than the region's fence is
// declined.
type Model struct {
	Routes     map[string]standing.Route `json:"routes"`
	Live       string                    `json:"live"`
	RolledBack bool                      `json:"isRolledBack"`
	Fences     map[string]uint64         `json:"fences"`
	// Failed names, by version, the run whose trial or watch failed plainly. No
	// region goes on with that run, and no automatic one takes the version up,
	// until a promote.
	Failed map[string]string `json:"failed,omitempty"`
	// Order is the newest roll-out under a term, where the placement holds any version.
	Order *Order `json:"order,omitempty"`
	// Wanted is, by region, the placement's version that was last acted on, so
	// that automatic roll-outs follow changes and do not fight operators.
	Wanted map[string]string `json:"wanted"`
}

// Objects gives access to the keyed objects.
type Objects struct {
	World  loop.World
	Keeper *register.Keeper
	// Name makes nonces unique.
	Name string
	// Changed, if set, is told after every write of a model's object from here.
	Changed    func()
	nonceCount atomic.Uint64
	// orders are when this daemon first saw an order, by its id, under guard, which
	// nothing waits under.
	mutex        sync.Mutex
	ordersSeenAt map[string]time.Duration
}

// Model reads a model's object.
func (objects *Objects) Model(model string) (Model, error) {
	return objects.ModelWithin(model, objects.Keeper.Patience)
}

// ModelWithin is Model that gives up after the span where no majority answers.
func (objects *Objects) ModelWithin(model string, timeout time.Duration) (Model, error) {
	value, err := objects.Keeper.ReadWithin(ModelPrefix+model, timeout)
	if err != nil {
		return Model{}, err
	}
	return objects.Open(value)
}

// Open reads a model's object from its register's value. It notes when an order was
// first seen.
func (objects *Objects) Open(value register.Value) (Model, error) {
	out, err := OpenModel(value)
	if err == nil && out.Order != nil {
		objects.firstSeen(out.Order.ID)
	}
	return out, err
}

// OpenModel reads a model's object from its register's value.
func OpenModel(value register.Value) (Model, error) {
	out := Model{Routes: map[string]standing.Route{}, Fences: map[string]uint64{}, Wanted: map[string]string{}}
	if value.Serial == 0 {
		return out, nil
	}
	return out, json.Unmarshal(value.Data, &out)
}

// Change is the per-model serializer: the only writer of route rows. A region
// and fence are given by the region's duty; operators give no region, and their
// step is serialized with the others by the register alone.
func (objects *Objects) Change(model, region string, fence uint64, revise func(*Model) error) (Model, error) {
	return objects.changeTimeout(objects.Keeper.Patience, model, region, fence, revise)
}

// changeTimeout is Change that goes on for the silence while no majority answers.
func (objects *Objects) changeTimeout(timeout time.Duration, model, region string, fence uint64, revise func(*Model) error) (Model, error) {
	var out Model
	_, err := objects.Keeper.ChangeWithin(ModelPrefix+model, timeout, func(value register.Value) ([]byte, error) {
		var err error
		if out, err = OpenModel(value); err != nil {
			return nil, err
		}
		if region != "" {
			if out.Fences[region] > fence {
				return nil, workflow.ErrFenced
			}
			out.Fences[region] = fence
		}
		if err := revise(&out); err != nil {
			return nil, err
		}
		return json.Marshal(out)
	})
	if err == nil && objects.Changed != nil {
		objects.Changed()
	}
	return out, err
}

// NextSerial is the per-region object: serials that only rise.
func (objects *Objects) NextSerial(region string) (uint64, error) {
	value, err := objects.Keeper.Change(SerialPrefix+region, func(value register.Value) ([]byte, error) {
		return json.Marshal(value.Serial + 1)
	})
	return value.Serial, err
}

// Desired is the wanted state of a version in a region.
//
// Invariant: Nonce is that of the newest schedule, or of the last change; a
// delayed order with any other nonce does nothing.
type Desired struct {
	State string `json:"state"`
	// Only names the replicas that hold it while on trial; empty means all.
	Only  []string  `json:"only,omitempty"`
	Nonce string    `json:"nonce,omitempty"`
	Since time.Time `json:"since"`
	// Order rises with every change; it names the orders that replicas get.
	Order uint64 `json:"order"`
	Fence uint64 `json:"fence"`
}

// Version is the per-version object, by region.
type Version struct {
	Regions map[string]Desired `json:"regions"`
}

func versionKey(model, version string) string { return VersionPrefix + model + "/" + version }

// Version reads a version's object.
func (objects *Objects) Version(model, version string) (Version, error) {
	value, err := objects.Keeper.Read(versionKey(model, version))
	if err != nil {
		return Version{}, err
	}
	return openVersion(value)
}

func openVersion(value register.Value) (Version, error) {
	out := Version{Regions: map[string]Desired{}}
	if value.Serial == 0 {
		return out, nil
	}
	return out, json.Unmarshal(value.Data, &out)
}

// errUnchanged says that nothing needs to be written.
var errUnchanged = errors.New("same")

// mutate changes a version's desired state in a region.
func (objects *Objects) mutate(model, version, region string, fence uint64, revise func(*Desired) error) (Desired, error) {
	var out Desired
	_, err := objects.Keeper.Change(versionKey(model, version), func(value register.Value) ([]byte, error) {
		object, err := openVersion(value)
		if err != nil {
			return nil, err
		}
		out = object.Regions[region]
		if fence > 0 && out.Fence > fence {
			return nil, workflow.ErrFenced
		}
		if fence > 0 {
			out.Fence = fence
		}
		if err := revise(&out); err != nil {
			return nil, err
		}
		object.Regions[region] = out
		return json.Marshal(object)
	})
	if errors.Is(err, errUnchanged) {
		err = nil
	}
	return out, err
}

func (objects *Objects) nonce() string {
	return fmt.Sprintf("%s/%d/%x", objects.Name, objects.nonceCount.Add(1), objects.World.Draw(1<<40))
}

// Want sets a state at once and clears the nonce, which makes every delayed
// order stale. It is an upsert: the same state and replicas again change nothing else.
func (objects *Objects) Want(model, version, region string, fence uint64, state string, only []string) (Desired, error) {
	return objects.mutate(model, version, region, fence, func(desired *Desired) error {
		if desired.State == state && equalStrings(desired.Only, only) && desired.Nonce == "" {
			return errUnchanged
		}
		if desired.State != state || !equalStrings(desired.Only, only) {
			desired.Order++
			desired.Since = objects.World.Wall()
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

// Delayed is an order for later.
type Delayed struct {
	Version string    `json:"version"`
	Region  string    `json:"region"`
	State   string    `json:"state"`
	At      time.Time `json:"at"`
	Nonce   string    `json:"nonce"`
}

// Schedule plans a change: a fresh nonce goes into the version's object, over
// any older one, and the delayed order carries it. The order is written first:
// one whose nonce never got into the object does nothing.
func (objects *Objects) Schedule(model, version, region string, fence uint64, state string, delay time.Duration) error {
	order := Delayed{Version: version, Region: region, State: state, At: objects.World.Wall().Add(delay), Nonce: objects.nonce()}
	_, err := objects.Keeper.Change(DelayedPrefix+model, func(value register.Value) ([]byte, error) {
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

// Fire carries out a delayed order if its nonce is still the newest, and tells
// whether it was.
func (objects *Objects) Fire(model string, order Delayed, fence uint64) (bool, error) {
	fired := false
	_, err := objects.mutate(model, order.Version, order.Region, fence, func(desired *Desired) error {
		fired = false
		if desired.Nonce != order.Nonce {
			return errUnchanged // stale: a no-op
		}
		fired = true
		desired.State, desired.Only, desired.Nonce = order.State, nil, ""
		desired.Since = objects.World.Wall()
		desired.Order++
		return nil
	})
	return fired, err
}

// FireDue fires the region's orders whose time has come and takes them off the list.
func (objects *Objects) FireDue(model, region string, fence uint64, archive time.Duration) error {
	value, err := objects.Keeper.Read(DelayedPrefix + model)
	if err != nil {
		return err
	}
	orders, err := openDelayed(value)
	if err != nil {
		return err
	}
	now := objects.World.Wall()
	for _, order := range orders {
		if order.Region != region || now.Before(order.At) {
			continue
		}
		fired, err := objects.Fire(model, order, fence)
		if err != nil {
			return err
		}
		if _, err := objects.Keeper.Change(DelayedPrefix+model, func(value register.Value) ([]byte, error) {
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
		if fired && order.State == STANDBY {
			// Standby is bounded: idle for long enough, a version is archived.
			if err := objects.Schedule(model, order.Version, region, fence, ARCHIVED, archive); err != nil {
				return err
			}
		}
	}
	return nil
}

// Versions lists a model's versions by name.
func (objects *Objects) Versions(model string) (map[string]Version, error) {
	keys, err := objects.Keeper.List(VersionPrefix + model + "/")
	if err != nil || len(keys) == 0 {
		return nil, err
	}
	values, err := objects.Keeper.ReadMany(keys...)
	if err != nil {
		return nil, err
	}
	out := map[string]Version{}
	for key, value := range values {
		object, err := openVersion(value)
		if err != nil {
			return nil, err
		}
		out[key[len(VersionPrefix+model+"/"):]] = object
	}
	return out, nil
}

// Decline is an operator's step that does not hold.
type Decline struct{ Reason string }

// Error is one line.
func (rejection *Decline) Error() string { return rejection.Reason }

// Rollback points the routes of a model back to the version before, in one
// step, in the regions given (all when empty), and bars automatic roll-outs
// until a promote.
func (objects *Objects) Rollback(model string, regions []string, standby time.Duration) (Model, error) {
	return objects.swapRoutes(model, regions, standby, true)
}

// Promote reverses a rollback and lets automatic roll-outs be. With stay, the
// routes are left where they are.
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

// swapRoutes swaps each region's pointer with the version before.
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
		return object, &Decline{fmt.Sprintf("no region has a version of %q to go back to", name)}
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
		if isRollback && route.Bears(route.Previous) {
			return object, &Decline{fmt.Sprintf("version %s failed in region %s and is not gone back to; promote it if it shall be tried again", route.Previous, region)}
		}
		if desired := version.Regions[region]; desired.State != RUNNING {
			return object, &Decline{fmt.Sprintf("version %s is %s in region %s and no longer loaded; start a handover to it instead", route.Previous, desired.State, region)}
		}
		// The target is kept loaded before anything points to it.
		if _, err := objects.Want(name, route.Previous, region, 0, RUNNING, nil); err != nil {
			return Model{}, err
		}
		if serials[region], err = objects.NextSerial(region); err != nil {
			return Model{}, err
		}
	}
	out, err := objects.Change(name, "", 0, func(model *Model) error {
		for _, region := range moved {
			route, before := model.Routes[region], object.Routes[region]
			if route.Version != before.Version || route.Previous != before.Previous || route.Trial != before.Trial {
				return &Decline{"the routes changed at the same time; look at `handover status` and try again"}
			}
			if route.Trial != "" {
				if isRollback && !has(route.Banned, route.Trial) {
					route.Banned = append(route.Banned, route.Trial)
				}
			} else {
				route.Version, route.Previous, route.Watched = route.Previous, route.Version, false
				route.Moved = objects.World.Wall()
			}
			route.Trial, route.TrialReplicas, route.Run, route.Serial = "", nil, "", serials[region]
			model.Routes[region] = route
		}
		// Runs that have not come as far lose their claim too.
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
		return out, err
	}
	for _, region := range moved {
		if before := object.Routes[region]; before.Trial != "" {
			if _, err := objects.Want(name, before.Trial, region, 0, ARCHIVED, nil); err != nil {
				return out, err
			}
		} else if err := objects.Schedule(name, before.Version, region, 0, STANDBY, standby); err != nil {
			return out, err
		}
	}
	return out, nil
}

// liveVersion is the version that every region points to, or the present one while
// regions differ.
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
