package decide

import "time"

// crowd is what is known to run at replicas that are alike: those of a region that long
// prompts go to, or the others.
//
// Invariant: running, waiting and weight are sums over replicas that told their load of
// late, each by how fresh its word is; least is the emptiest by what this daemon knows.
type crowd struct {
	region                   string
	isReader                 bool
	running, waiting, weight float64
	filled, count            float64
	least                    float64
}

// crowds are those of one decision.
type crowds []crowd

func (crowds *crowds) of(region string, isReader bool) *crowd {
	for at := range *crowds {
		if one := &(*crowds)[at]; one.region == region && one.isReader == isReader {
			return one
		}
	}
	*crowds = append(*crowds, crowd{region: region, isReader: isReader, least: 1})
	return &(*crowds)[len(*crowds)-1]
}

// toldSpan is for how long a load that was told says something.
const toldSpan = 2 * time.Second

// freshness is how much the load that a replica told last is worth: one when it is new.
func (engine *engine) freshness(now time.Duration) float64 {
	if engine.loadAt == 0 {
		return 0
	}
	return max(0, 1-float64(now-engine.loadAt)/float64(toldSpan))
}

// note takes in what the replica told.
func (crowd *crowd) note(engine *engine, now time.Duration) {
	fresh := engine.freshness(now)
	crowd.running += fresh * float64(engine.load.Running)
	crowd.waiting += fresh * float64(engine.load.Waiting)
	crowd.weight += fresh
}

// expect is what is expected to run and to wait at the replica: what it told, and the less
// that is worth the more what those like it told. One daemon of many hears little of each;
// what it has heard nothing of is as busy as the others, not empty.
func (crowd *crowd) expect(engine *engine, now time.Duration) (running, waiting float64) {
	if crowd.weight > 0 {
		fresh := engine.freshness(now)
		running = fresh*float64(engine.load.Running) + (1-fresh)*crowd.running/crowd.weight
		waiting = fresh*float64(engine.load.Waiting) + (1-fresh)*crowd.waiting/crowd.weight
	}
	return max(running, float64(engine.running)), waiting
}

// fill is how full those are that short prompts should go to, as a share of half of their
// berths: on the average where loads are told, else the emptiest.
func (crowds crowds) fill(region string) float64 {
	for at := range crowds {
		if one := &crowds[at]; one.region == region && !one.isReader {
			if one.weight > 0 && one.count > 0 {
				return one.filled / one.count
			}
			return one.least
		}
	}
	return 1
}
