package tenant

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// load is what tenants occupy of a region's replicas of a model: request slots, tokens of
// the prefix cache, and prefill in tokens per second.
type load struct{ slots, tokens, prefill float64 }

// otherLoads returns the load of all other placed tenants of the same model by region. A
// tenant on the move counts in the regions that it moves to, unless it is moving back.
func (planner *Planner) otherLoads(scene TurnInputs, placements Placements, except string) map[string]load {
	out := map[string]load{}
	var model string
	if state := planner.tenants[except]; state != nil {
		model = state.short.Model
	}
	for _, placement := range placements.Placed {
		state := planner.tenants[placement.Tenant]
		if placement.Tenant == except || state == nil || state.short.Model != model {
			continue
		}
		regions := placement.Now
		if placement.Moving && !placement.Back {
			regions = placement.Next
		}
		for region, added := range loads(state.short, regions) {
			sum := out[region]
			out[region] = load{sum.slots + added.slots, sum.tokens + added.tokens, sum.prefill + added.prefill}
		}
	}
	return out
}

// loads returns a tenant's load by region if it is placed in the given regions. Callers of
// other regions go to the first one.
func loads(profile *Profile, regions []string) map[string]load {
	out := map[string]load{}
	elsewhere := 1.0
	for _, region := range regions {
		elsewhere -= profile.Share(region)
	}
	rate := profile.Rate()
	for index, region := range regions {
		share := profile.Share(region)
		if index == 0 {
			share += elsewhere
		}
		out[region] = load{
			slots:   share * rate * divide(profile.Held, profile.Ended) / 1000,
			tokens:  profile.prefixTokens(),
			prefill: share * max(0, profile.Prompt-profile.Shared),
		}
	}
	return out
}

// plan has the inputs for placing one tenant in one turn.
type plan struct {
	scene      TurnInputs
	profile    *Profile
	placement  Placement
	otherLoads map[string]load
	minStay    time.Duration
}

// capacities returns the regions' replicas of the tenant's model.
func (plan plan) capacities() map[string]Capacity { return plan.scene.Capacities[plan.profile.Model] }

// ownerShare returns the fraction of the tenant's shared prefixes that have an owner in the
// region.
func (plan plan) ownerShare(regions []string, region string) float64 {
	if len(regions) > 0 {
		if slices.Contains(regions, region) {
			return 1
		}
		return 0
	}
	total := 0
	for _, home := range plan.scene.Homes(plan.placement.Tenant) {
		total += plan.capacities()[home].Replicas
	}
	return divide(float64(plan.capacities()[region].Replicas), float64(total))
}

// remoteShare returns the fraction of the long requests that are sent to another region.
func (plan plan) remoteShare(regions []string) (share float64) {
	for _, region := range plan.scene.Homes(plan.placement.Tenant) {
		share += plan.profile.Share(region) * (1 - plan.ownerShare(regions, region))
	}
	return share
}

// remoteCost returns the cost in ms of sending a long request to another region, by the
// weights that data daemons use for routing.
func (plan plan) remoteCost() float64 {
	return 2*plan.scene.RemoteMs + plan.scene.RemoteKBMs*divide(plan.profile.KB, plan.profile.Rate())
}

// gain returns the predicted gain in ms of waiting over the minimum stay of the placement:
// saved network time to other regions, and shorter prefill queues at the owners.
func (plan plan) gain(from, to []string) float64 {
	saved := (plan.remoteShare(from)-plan.remoteShare(to))*plan.remoteCost() + plan.prefillWait(from) - plan.prefillWait(to)
	return plan.profile.Long * saved * plan.minStay.Seconds()
}

// ownerUtilization returns the fraction of its time that the busiest owner spends on
// prefill, including that of other tenants. The fewer prefixes there are, the more unevenly
// they are spread over the owners.
func (plan plan) ownerUtilization(prefill, others float64, owners int) float64 {
	if owners == 0 {
		return maxOwnerUtilization
	}
	count := float64(owners)
	share := min(1, (1+math.Sqrt(2*math.Log(count)*count/max(1, plan.profile.Beginnings)))/count)
	return min(maxOwnerUtilization, (prefill*share+others/count)/prefillRate)
}

// prefillWait returns for how many ms a prompt waits on average for the prefill of others at
// the busiest owners: half of a prompt's own prefill time, times the length of the queue
// before it (an M/D/1 queue).
func (plan plan) prefillWait(regions []string) (wait float64) {
	ownMs := divide(max(0, plan.profile.Prompt-plan.profile.Shared), plan.profile.Rate()) / prefillRate * 1000
	queueing := func(utilization float64) float64 { return ownMs * utilization / (2 * (1 - utilization)) }
	if len(regions) == 0 {
		owners, others := 0, 0.0
		for _, region := range plan.scene.Homes(plan.placement.Tenant) {
			owners += plan.capacities()[region].Replicas
			others += plan.otherLoads[region].prefill
		}
		return queueing(plan.ownerUtilization(max(0, plan.profile.Prompt-plan.profile.Shared), others, owners))
	}
	total := max(1, plan.profile.Prompt-plan.profile.Shared)
	for region, regionLoad := range loads(plan.profile, regions) {
		wait += regionLoad.prefill / total * queueing(plan.ownerUtilization(regionLoad.prefill, plan.otherLoads[region].prefill, plan.capacities()[region].Replicas))
	}
	return wait
}

// recomputedTokens returns how many cached tokens have to be prefilled again when the
// owners move from one set of regions to the other.
func (plan plan) recomputedTokens(from, to []string) (tokens float64) {
	for _, region := range plan.scene.Homes(plan.placement.Tenant) {
		tokens += plan.profile.prefixTokens() * max(0, plan.ownerShare(to, region)-plan.ownerShare(from, region))
	}
	return tokens
}

// recomputeCost returns the cost of prefilling the tokens again, in ms of waiting.
func (plan plan) recomputeCost(tokens float64) float64 {
	return tokens * (plan.scene.RecomputeMs + 1e6/prefillRate) / 1000
}

// fits reports whether the regions' replicas have capacity for the tenant in addition to
// the others: request slots, prefix cache and prefill.
func (plan plan) fits(regions []string) bool {
	for region, added := range loads(plan.profile, regions) {
		capacity, used := plan.capacities()[region], plan.otherLoads[region]
		switch {
		case capacity.Replicas == 0,
			used.slots+added.slots > maxUtilization*float64(capacity.Replicas*capacity.Slots),
			capacity.Cache > 0 && used.tokens+added.tokens > maxUtilization*float64(capacity.Replicas*capacity.Cache),
			plan.ownerUtilization(added.prefill, used.prefill, capacity.Replicas) > maxUtilization:
			return false
		}
	}
	return true
}

// candidates returns the sets of regions to compare: the one, two, three and so on regions
// with the most callers, and no regions if the tenant has a placement now.
func (plan plan) candidates() (out [][]string) {
	var regions []string
	for _, region := range plan.scene.Homes(plan.placement.Tenant) {
		if plan.profile.Share(region) >= minRegionShare && plan.capacities()[region].Replicas > 0 {
			regions = append(regions, region)
		}
	}
	sort.SliceStable(regions, func(a, b int) bool { return plan.profile.Share(regions[a]) > plan.profile.Share(regions[b]) })
	for count := 1; count <= len(regions); count++ {
		out = append(out, slices.Clone(regions[:count]))
	}
	if len(plan.placement.Now) > 0 {
		out = append(out, nil)
	}
	return out
}

// best returns the best next placement and a notice with its gain. If the current one is
// best, the notice's Event is empty.
func (plan plan) best() (Placement, Notice) {
	current := plan.placement
	notice := Notice{Tenant: current.Tenant, From: current.Now, To: current.Now}
	chosen, bestNet := []string(nil), 0.0
	for _, to := range plan.candidates() {
		tokens := plan.recomputedTokens(current.Now, to)
		gain, price := plan.gain(current.Now, to), plan.recomputeCost(tokens)
		net := gain - gainMargin*price
		if net <= bestNet || plan.remoteShare(current.Now)-plan.remoteShare(to) < minShareSaved || !plan.fits(to) {
			continue
		}
		chosen, bestNet = to, net
		notice.Event, notice.Gain, notice.Cost, notice.Tokens, notice.To = "begins to move", gain, price, tokens, to
		notice.Reason = fmt.Sprintf("%.0f%% of its long prompts go far, then %.0f%%; %s", 100*plan.remoteShare(current.Now), 100*plan.remoteShare(to), plan.profile)
	}
	if notice.Event != "" {
		current.Next, current.Moving, current.Part, current.Reason = chosen, true, 0, notice.Reason
		return current, notice
	}
	if next, spread, isBetter := plan.spreadHot(); isBetter {
		return next, spread
	}
	return plan.placement, notice
}

// spreadHot assigns hot prefixes as many owners as their load needs. It returns false if
// nothing changes or the change costs more than it gains.
func (plan plan) spreadHot() (Placement, Notice, bool) {
	current, profile := plan.placement, plan.profile
	slots, replicas := 0, 0
	for _, region := range plan.scene.Homes(current.Tenant) {
		slots = max(slots, plan.capacities()[region].Slots)
		replicas += plan.capacities()[region].Replicas
	}
	if slots == 0 || replicas == 0 {
		return current, Notice{}, false
	}
	ownTokens := divide(max(0, profile.Prompt-profile.Shared), profile.Rate())
	shared := divide(profile.Shared, profile.Keyed)
	largestShare := 1.0 // the largest fraction of a prefix's requests that one region's owner gets
	if len(current.Now) > 0 {
		largestShare = 0
		for _, regionLoad := range loads(profile, current.Now) {
			largestShare = max(largestShare, divide(regionLoad.prefill, max(0, profile.Prompt-profile.Shared)))
		}
	}
	next := current
	next.Hot = nil
	gain, tokens, highest := 0.0, 0.0, 0.0
	keys := make([]uint64, 0, len(profile.Hot))
	for key := range profile.Hot {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		rate := largestShare * profile.Hot[key]
		replicaLoad := max(rate*divide(profile.Held, profile.Ended)/1000/float64(slots), rate*ownTokens/prefillRate)
		owners, previous := max(1, min(maxOwners, replicas, int(math.Ceil(replicaLoad/maxUtilization)))), 1
		for _, spread := range current.Hot {
			if spread.Key == key {
				previous = spread.Over
			}
		}
		// Owners are removed only if one owner less would still be well below full load.
		if owners < previous && replicaLoad > maxUtilization*maxUtilization*float64(previous-1)*2 {
			owners = previous
		}
		if owners > 1 {
			next.Hot = append(next.Hot, Spread{Key: key, Over: owners})
		}
		if owners > previous {
			overloadMs := func(count int) float64 {
				share := replicaLoad / float64(count)
				return fullReplicaDelayMs * share * share
			}
			gain += rate * (overloadMs(previous) - overloadMs(owners)) * plan.minStay.Seconds()
			tokens += shared * float64(owners-previous)
		}
		highest = max(highest, replicaLoad)
	}
	if slices.Equal(next.Hot, current.Hot) || tokens > 0 && gain <= gainMargin*plan.recomputeCost(tokens) {
		return current, Notice{}, false
	}
	next.Reason = fmt.Sprintf("its hottest beginning takes up %.1f of a replica", highest)
	return next, Notice{Tenant: current.Tenant, Event: "changes the number of owners of its hot prefixes", Reason: next.Reason, Gain: gain, Cost: plan.recomputeCost(tokens), Tokens: tokens, From: current.Now, To: current.Now}, true
}
