package rollout

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"swifttiller/routing"
)

// Order is a model's newest timed roll-out, in a placement that allows any version.
// Replicas of the new version start next to the old ones without being ordered to load
// it, and the traffic moves to them before the roll-out's duration ends.
//
// Invariants: Number increases with every order, and the runs of all Regions have its
// ID. After Back is set, or all regions are Done, nothing in it changes any more, whatever
// later configurations place. No region's route moves before every region has Passed.
type Order struct {
	Number  uint64        `json:"number"`
	ID      string        `json:"id"`
	Version string        `json:"version"`
	Over    time.Duration `json:"over"` // the duration, counted from when the order was accepted
	// Proved says that the order names the version that the routes already point to and
	// that has not failed, so it needs no trial.
	Proved  bool     `json:"proved,omitempty"`
	Regions []string `json:"regions"`
	// ConfigSerial is the version of the configuration that placed the model when the order
	// was accepted; zero in orders of builds that did not record it.
	ConfigSerial uint64 `json:"config,omitempty"`
	// Passed says by region how its trial ended: Ready or Empty.
	Passed map[string]string `json:"passed,omitempty"`
	Done   map[string]bool   `json:"done,omitempty"`
	// Back is the reason why the order was rolled back, or empty if it was not.
	Back  string    `json:"back,omitempty"`
	Ended time.Time `json:"ended"`
}

// Results of a region's trial: the version passed, or had no replicas to try.
const (
	Ready = "ready"
	Empty = "empty"
)

// States of an order.
const (
	Moving     = "running"
	Moved      = "done"
	RolledBack = "back"
)

// State returns the state of the order: RolledBack as soon as the trial of one region
// fails, Moved once all regions are done. It depends on what is stored alone, so an order
// that was once reported as ended is never reported as running again.
func (order *Order) State() string {
	if order.Back != "" {
		return RolledBack
	}
	for _, region := range order.Regions {
		if !order.Done[region] {
			return Moving
		}
	}
	return Moved
}

// repeatWindow is how long after the end of an order the same order counts as a repeat
// rather than a new one.
const repeatWindow = 30 * time.Second

var errRepeated = errors.New("the order is there already")

// OrderOptions is an operator's order of a timed roll-out.
type OrderOptions struct {
	Model, Version string
	Duration       time.Duration
	// Regions are those that place the model with any version, by the configuration of
	// ConfigSerial.
	Regions      []string
	ConfigSerial uint64
	// Timeout is the timeout while no quorum of the core replies; 0 stands for the
	// default timeout of the register client.
	Timeout time.Duration
	// IsAbandoned, if set, reports that the order must no longer be written.
	IsAbandoned func() bool
}

// ErrAbandoned is returned if the order's IsAbandoned reported true before the order
// was written.
var ErrAbandoned = errors.New("rollout: the order was abandoned before it was written")

// Begin accepts an order, or joins one that is the same. From that write on, the routes
// of all regions name the trial version, so that a new replica is never treated as one
// of the established version. It returns a Rejection if another order is in progress.
func (objects *Objects) Begin(options OrderOptions) (Order, error) {
	version, regions := options.Version, options.Regions
	if options.Timeout == 0 {
		options.Timeout = objects.Registers.Patience
	}
	object, err := objects.ModelWithTimeout(options.Model, options.Timeout)
	if err != nil {
		return Order{}, err
	}
	if isRepeat, err := object.isRepeat(options, objects.World.WallTime()); isRepeat || err != nil {
		return *orEmpty(object.Order), err
	}
	serials, err := objects.nextSerials(regions)
	if err != nil {
		return Order{}, err
	}
	var order Order
	_, err = objects.changeWithTimeout(options.Timeout, options.Model, "", 0, func(model *Model) error {
		if isRepeat, err := model.isRepeat(options, objects.World.WallTime()); err != nil {
			return err
		} else if isRepeat {
			order = *model.Order
			return errRepeated
		}
		if options.IsAbandoned != nil && options.IsAbandoned() {
			return ErrAbandoned
		}
		order = Order{Number: orEmpty(model.Order).Number + 1, Version: version, Over: options.Duration, Regions: regions, ConfigSerial: options.ConfigSerial, Proved: true}
		order.ID = fmt.Sprintf("term-%s-%d", version, order.Number)
		for _, region := range regions {
			order.Proved = order.Proved && model.Routes[region].Version == version && model.Failed[version] == ""
		}
		delete(model.Failed, version)
		for _, region := range regions {
			route := model.Routes[region]
			isVersion := func(listed string) bool { return listed == version }
			route.Banned, route.Left = slices.DeleteFunc(route.Banned, isVersion), slices.DeleteFunc(route.Left, isVersion)
			route.Run, route.Trial, route.Watched, route.Serial = order.ID, version, false, serials[region]
			route.Handover = &routing.Handover{Run: order.ID, Version: version, Over: options.Duration}
			if order.Proved {
				route.Trial, route.Handover = "", nil
			}
			model.Routes[region] = route
		}
		model.Order = &order
		return nil
	})
	if errors.Is(err, errRepeated) {
		err = nil
	}
	if err == nil {
		objects.firstSeen(order.ID)
	}
	return order, err
}

// isRepeat reports whether the order repeats the newest one. It returns a Rejection if a
// different one is in progress.
func (model *Model) isRepeat(options OrderOptions, now time.Time) (bool, error) {
	order := model.Order
	if order == nil {
		return false, nil
	}
	isSame := order.Version == options.Version && order.Over == options.Duration
	if order.State() != Moving {
		return isSame && now.Sub(order.Ended).Abs() < repeatWindow, nil
	}
	if !isSame {
		return false, &Rejection{fmt.Sprintf("a roll-out of %s within %v is already in progress", order.Version, order.Over)}
	}
	return true, nil
}

func orEmpty(order *Order) *Order {
	if order == nil {
		return &Order{}
	}
	return order
}

// OrderAge returns how long ago this daemon first saw the order.
func (objects *Objects) OrderAge(id string) time.Duration {
	return objects.World.Now() - objects.firstSeen(id)
}

// firstSeen returns when this daemon first saw an order. It uses the monotonic clock,
// because the wall clock may jump.
func (objects *Objects) firstSeen(id string) time.Duration {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	if objects.ordersSeenAt == nil {
		objects.ordersSeenAt = map[string]time.Duration{}
	}
	at, isKnown := objects.ordersSeenAt[id]
	if !isKnown {
		at = objects.World.Now()
		objects.ordersSeenAt[id] = at
	}
	return at
}
