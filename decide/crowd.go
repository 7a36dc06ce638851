package decide

import "time"

// crowd is what is known to run at the replicas of a region that may get a request.
//
// Invariant: running, waiting and weight are sums over replicas that told their load of
// late, each by how fresh its word is.
type crowd struct {
	region                   string
	running, waiting, weight float64
}

// crowds are those of one decision.
type crowds []crowd

func (crowds *crowds) of(region string) *crowd {
	for at := range *crowds {
		if one := &(*crowds)[at]; one.region == region {
			return one
		}
	}
	*crowds = append(*crowds, crowd{region: region})
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
