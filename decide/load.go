package decide

import "time"

// regionLoad is the reported load of the replicas of a region that may get a request.
//
// Invariant: running, waiting and weight are sums over replicas that reported their load
// recently, each weighted by the freshness of its report.
type regionLoad struct {
	region                   string
	running, waiting, weight float64
}

// regionLoads are the loads of the regions as used in one decision.
type regionLoads []regionLoad

func (loads *regionLoads) of(region string) *regionLoad {
	for index := range *loads {
		if load := &(*loads)[index]; load.region == region {
			return load
		}
	}
	*loads = append(*loads, regionLoad{region: region})
	return &(*loads)[len(*loads)-1]
}

// loadLifetime is for how long a load report is used.
const loadLifetime = 2 * time.Second

// freshness is the weight of the last load report: one if it is new, zero once it is too old.
func (state *replicaState) freshness(now time.Duration) float64 {
	if state.loadAt == 0 {
		return 0
	}
	return max(0, 1-float64(now-state.loadAt)/float64(loadLifetime))
}

// add adds the load report of a replica.
func (load *regionLoad) add(state *replicaState, now time.Duration) {
	fresh := state.freshness(now)
	load.running += fresh * float64(state.load.Running)
	load.waiting += fresh * float64(state.load.Waiting)
	load.weight += fresh
}

// estimate returns how many requests are expected to run and to wait at the replica: its own
// report, mixed with the mean of its region the older the report is. A daemon among many
// hears from each replica seldom, so a replica without a recent report is assumed to be as busy
// as the others, not idle.
func (load *regionLoad) estimate(state *replicaState, now time.Duration) (running, waiting float64) {
	if load.weight > 0 {
		fresh := state.freshness(now)
		running = fresh*float64(state.load.Running) + (1-fresh)*load.running/load.weight
		waiting = fresh*float64(state.load.Waiting) + (1-fresh)*load.waiting/load.weight
	}
	return max(running, float64(state.running)), waiting
}
