package decide

import "time"

// way is a circuit breaker for another region: what this daemon knows of the way there.
// Where several of its replicas in a row are shunned for their connections or their silence,
// and nothing comes from any other there, the way is closed, and not each replica by itself.
//
// Invariants: missed are the replicas that were shunned since something last came from the
// region; the way is in doubt exactly while they are enough, and while it is, one request at
// a time goes there, wayTry apart, as long as others may serve what is asked. What may be
// sent once goes there on a new connection only, which finds out before anything is sent.
type way struct {
	missed map[*engine]bool
	tried  time.Duration
}

const (
	// wayMisses is how many replicas of a region in a row tell that it is out of reach.
	wayMisses = 3
	// wayTry is how long requests to a region in doubt are apart.
	wayTry = 600 * time.Millisecond
)

// isDoubted tells whether the region seems to be out of reach. Its own region never is:
// there each replica counts by itself.
func (decider *Decider) isDoubted(region string) bool {
	one := decider.ways[region]
	return one != nil && len(one.missed) >= wayMisses
}

// closed gives for how long nothing is to go to the region; zero when a request may.
func (decider *Decider) closed(region string, now time.Duration) time.Duration {
	if !decider.isDoubted(region) {
		return 0
	}
	return max(0, decider.ways[region].tried+wayTry-now)
}

// missed notes that a replica was shunned.
func (decider *Decider) missed(seat *engine, now time.Duration) {
	if seat.region == "" || seat.region == decider.Self.Region {
		return
	}
	one := decider.ways[seat.region]
	if one == nil {
		one = &way{missed: map[*engine]bool{}}
		decider.ways[seat.region] = one
	}
	one.missed[seat] = true
	if decider.isDoubted(seat.region) {
		one.tried = now
	}
}

// alive notes that something came from a replica.
func (decider *Decider) alive(seat *engine) { delete(decider.ways, seat.region) }
