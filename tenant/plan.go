package tenant

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// load is what placed tenants take up of a region's replicas of a model.
type load struct{ berths, tokens, reading float64 }

// used sums up what the other placed tenants take up, by region.
func (watch *Watch) used(scene Scene, book Book, but string) map[string]load {
	out := map[string]load{}
	var model string
	if one := watch.rows[but]; one != nil {
		model = one.short.Model
	}
	for _, placement := range book.Placed {
		one := watch.rows[placement.Tenant]
		if placement.Tenant == but || one == nil || one.short.Model != model {
			continue
		}
		regions := placement.Now
		if placement.Moving && !placement.Back {
			regions = placement.Next
		}
		for region, more := range loads(one.short, regions) {
			sum := out[region]
			out[region] = load{sum.berths + more.berths, sum.tokens + more.tokens, sum.reading + more.reading}
		}
	}
	return out
}

// loads is what a tenant takes up in the regions that it would be placed in.
func loads(profile *Profile, regions []string) map[string]load {
	out := map[string]load{}
	elsewhere := 1.0
	for _, region := range regions {
		elsewhere -= profile.Share(region)
	}
	rate := profile.Rate()
	for at, region := range regions {
		share := profile.Share(region)
		if at == 0 {
			share += elsewhere
		}
		out[region] = load{
			berths:  share * rate * each(profile.Held, profile.Ended) / 1000,
			tokens:  profile.pool(),
			reading: share * max(0, profile.Prompt-profile.Shared),
		}
	}
	return out
}

// plan is one tenant's judgement in a turn.
type plan struct {
	scene     Scene
	profile   *Profile
	placement Placement
	used      map[string]load
	stay      time.Duration
}

func (plan plan) grounds() map[string]Ground { return plan.scene.Grounds[plan.profile.Model] }

// holds is which part of the tenant's shared parts has an owner in the region.
func (plan plan) holds(regions []string, region string) float64 {
	if len(regions) > 0 {
		if slices.Contains(regions, region) {
			return 1
		}
		return 0
	}
	all := 0
	for _, one := range plan.scene.Homes(plan.placement.Tenant) {
		all += plan.grounds()[one].Replicas
	}
	return each(float64(plan.grounds()[region].Replicas), float64(all))
}

// far is which part of the long requests goes to another region.
func (plan plan) far(regions []string) (far float64) {
	for _, region := range plan.scene.Homes(plan.placement.Tenant) {
		far += plan.profile.Share(region) * (1 - plan.holds(regions, region))
	}
	return far
}

// way is what each long request pays for the way to another region, in ms, as daemons
// weigh it.
func (plan plan) way() float64 {
	return 2*plan.scene.Far + plan.scene.FarKB*each(plan.profile.KB, plan.profile.Rate())
}

// gain is what is foreseen to be gained, in ms of waiting, while the placement stays: ways
// that are saved, and what owners are less busy with.
func (plan plan) gain(from, to []string) float64 {
	saved := (plan.far(from)-plan.far(to))*plan.way() + plan.wait(from) - plan.wait(to)
	return plan.profile.Long * saved * plan.stay.Seconds()
}

// busiest is which part of its time the busiest of so many owners reads, beside what
// others have it read: few beginnings fall on owners unevenly.
func (plan plan) busiest(reading, others float64, owners int) float64 {
	if owners == 0 {
		return mostBusy
	}
	count := float64(owners)
	share := min(1, (1+math.Sqrt(2*math.Log(count)*count/max(1, plan.profile.Beginnings)))/count)
	return min(mostBusy, (reading*share+others/count)/readRate)
}

// wait is for how many ms a prompt waits on average until others are read, at the busiest
// owners: half a prompt's reading times what is before it.
func (plan plan) wait(regions []string) (wait float64) {
	own := each(max(0, plan.profile.Prompt-plan.profile.Shared), plan.profile.Rate()) / readRate * 1000
	queue := func(busy float64) float64 { return own * busy / (2 * (1 - busy)) }
	if len(regions) == 0 {
		owners, others := 0, 0.0
		for _, region := range plan.scene.Homes(plan.placement.Tenant) {
			owners += plan.grounds()[region].Replicas
			others += plan.used[region].reading
		}
		return queue(plan.busiest(max(0, plan.profile.Prompt-plan.profile.Shared), others, owners))
	}
	all := max(1, plan.profile.Prompt-plan.profile.Shared)
	for region, one := range loads(plan.profile, regions) {
		wait += one.reading / all * queue(plan.busiest(one.reading, plan.used[region].reading, plan.grounds()[region].Replicas))
	}
	return wait
}

// tokens are those that are read again when the owners go from one set of regions to the
// other.
func (plan plan) tokens(from, to []string) (tokens float64) {
	for _, region := range plan.scene.Homes(plan.placement.Tenant) {
		tokens += plan.profile.pool() * max(0, plan.holds(to, region)-plan.holds(from, region))
	}
	return tokens
}

// price is what so many tokens read again are worth, in ms of waiting.
func (plan plan) price(tokens float64) float64 {
	return tokens * (plan.scene.Again + 1e6/readRate) / 1000
}

// fits tells whether the regions' replicas bear the tenant beside the others.
func (plan plan) fits(regions []string) bool {
	for region, more := range loads(plan.profile, regions) {
		ground, used := plan.grounds()[region], plan.used[region]
		switch {
		case ground.Replicas == 0,
			used.berths+more.berths > half*float64(ground.Replicas*ground.Berths),
			ground.Cache > 0 && used.tokens+more.tokens > half*float64(ground.Replicas*ground.Cache),
			plan.busiest(more.reading, used.reading, ground.Replicas) > half:
			return false
		}
	}
	return true
}

// candidates are the sets of regions to weigh: those with the most callers, and none.
func (plan plan) candidates() (out [][]string) {
	var regions []string
	for _, region := range plan.scene.Homes(plan.placement.Tenant) {
		if plan.profile.Share(region) >= regionShare && plan.grounds()[region].Replicas > 0 {
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

// best gives the best next placement, and what is gained by it; the notice says
// nothing where the present one is best.
func (plan plan) best() (Placement, Notice) {
	have := plan.placement
	notice := Notice{Tenant: have.Tenant, From: have.Now, To: have.Now}
	regions, most := []string(nil), 0.0
	for _, to := range plan.candidates() {
		tokens := plan.tokens(have.Now, to)
		gain, price := plan.gain(have.Now, to), plan.price(tokens)
		net := gain - margin*price
		if net <= most || plan.far(have.Now)-plan.far(to) < worthwhile || !plan.fits(to) {
			continue
		}
		regions, most = to, net
		notice.What, notice.Gain, notice.Price, notice.Tokens, notice.To = "begins to move", gain, price, tokens, to
		notice.Reason = fmt.Sprintf("%.0f%% of its long prompts go far, then %.0f%%; %s", 100*plan.far(have.Now), 100*plan.far(to), plan.profile)
	}
	if notice.What != "" {
		have.Next, have.Moving, have.Part, have.Reason = regions, true, 0, notice.Reason
		return have, notice
	}
	if next, spread, isBetter := plan.spread(); isBetter {
		return next, spread
	}
	return plan.placement, notice
}

// spread gives hot beginnings as many owners as their load needs.
func (plan plan) spread() (Placement, Notice, bool) {
	have, profile := plan.placement, plan.profile
	berths, replicas := 0, 0
	for _, region := range plan.scene.Homes(have.Tenant) {
		berths = max(berths, plan.grounds()[region].Berths)
		replicas += plan.grounds()[region].Replicas
	}
	if berths == 0 || replicas == 0 {
		return have, Notice{}, false
	}
	own := each(max(0, profile.Prompt-profile.Shared), profile.Rate())
	shared := each(profile.Shared, profile.Keyed)
	busiest := 1.0 // which part of a beginning's requests one region's owner gets
	if len(have.Now) > 0 {
		busiest = 0
		for _, one := range loads(profile, have.Now) {
			busiest = max(busiest, each(one.reading, max(0, profile.Prompt-profile.Shared)))
		}
	}
	next := have
	next.Hot = nil
	gain, tokens, most := 0.0, 0.0, 0.0
	keys := make([]uint64, 0, len(profile.Hot))
	for key := range profile.Hot {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		rate := busiest * profile.Hot[key]
		full := max(rate*each(profile.Held, profile.Ended)/1000/float64(berths), rate*own/readRate)
		over, before := max(1, min(mostOwners, replicas, int(math.Ceil(full/half)))), 1
		for _, one := range have.Hot {
			if one.Key == key {
				before = one.Over
			}
		}
		// It shrinks only where it would still be well below at one owner less.
		if over < before && full > half*half*float64(before-1)*2 {
			over = before
		}
		if over > 1 {
			next.Hot = append(next.Hot, Spread{Key: key, Over: over})
		}
		if over > before {
			crowded := func(owners int) float64 { part := full / float64(owners); return crowd * part * part }
			gain += rate * (crowded(before) - crowded(over)) * plan.stay.Seconds()
			tokens += shared * float64(over-before)
		}
		most = max(most, full)
	}
	if slices.Equal(next.Hot, have.Hot) || tokens > 0 && gain <= margin*plan.price(tokens) {
		return have, Notice{}, false
	}
	next.Reason = fmt.Sprintf("its hottest beginning takes up %.1f of a replica", most)
	return next, Notice{Tenant: have.Tenant, What: "is spread", Reason: next.Reason, Gain: gain, Price: plan.price(tokens), Tokens: tokens, From: have.Now, To: have.Now}, true
}
