package decide

import "swifttiller/permit"

// OpensTrial calls opensTrial with guard held.
func (decider *Decider) OpensTrial(view *permit.View, call *Call, region string) (string, bool) {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	return decider.opensTrial(view, call, region)
}

// Barred calls barred with guard held.
func (decider *Decider) Barred(view *permit.View, region, model, version string) bool {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	return decider.barred(view, region, model, version)
}

// Held returns the replicas of a region that are held for their failures.
func (decider *Decider) Held(region string) (names []string) {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	for name, state := range decider.engines {
		if state.health.isHeld && state.region == region {
			names = append(names, name)
		}
	}
	return names
}

// ForgetHealth resets this daemon's health record of a replica.
func (decider *Decider) ForgetHealth(replica string) {
	decider.guard.Lock()
	defer decider.guard.Unlock()
	decider.engine(replica).health = health{}
}

// RegionProbeInterval exports regionProbeInterval.
const RegionProbeInterval = regionProbeInterval
