package decide

import "time"

// Choice records an attempt of a routed request for analysis: what was known when its replica
// was chosen, and how the attempt ended. It is recorded only if Options.OnChoice is set.
type Choice struct {
	// Request is the caller's id of the try, Route the name of its route.
	Request, Route, Model string
	// From is the region of the data daemon that chose. Replica is the chosen replica, Region
	// and Zone its location.
	From                  string
	Replica, Region, Zone string
	// Owner is the replica that should have the shared parts in its cache; empty if nothing is
	// shared or the owner may not get the request now. Rank is the rank of the chosen replica.
	Owner string
	Rank  Rank
	// Key is the key by which the owner is found, zero if nothing is shared.
	Key uint64
	// Tokens is the length of the prompt, Unread how many of its tokens were assumed not to be
	// cached at the replica, and UnreadShared how many of these are in shared parts.
	Tokens, Unread, UnreadShared int
	// Candidates is the number of replicas that could have got it. Running and Waiting are the
	// requests that were expected to run and to wait at the chosen one.
	Candidates       int
	Running, Waiting float64
	// Waited is the time from the request's arrival to the choice. Foreseen is the predicted
	// and First the actual time from the choice to the first token; First is zero if none came.
	Waited, Foreseen, First time.Duration
	// OwnerForeseen is the predicted time to first token at the owner.
	OwnerForeseen time.Duration
	// Target is the route's target for the time to first token, from the request's arrival.
	Target time.Duration
	// Code is the code of the failure that ended the attempt, empty for none.
	Code string
}

// Rank tells whether a replica owns the shared parts of a prompt.
type Rank string

// Ranks of a replica for the shared parts of a prompt.
const (
	RankOwner     Rank = "owner"
	RankSuccessor Rank = "successor"
	RankNone      Rank = "none"
)

// rank returns the rank of a candidate.
func (candidate *routeCandidate) rank() Rank {
	switch {
	case candidate.isOwner:
		return RankOwner
	case candidate.isSuccessor:
		return RankSuccessor
	}
	return RankNone
}

// recordChoice returns the record of the choice of best; nil unless Options.OnChoice is set.
func (decider *Decider) recordChoice(routed *Routed, best *routeCandidate, candidates []routeCandidate, now time.Duration) *Choice {
	if decider.OnChoice == nil {
		return nil
	}
	choice := &Choice{
		Request: routed.ID, Route: routed.Route.Name, Model: routed.Model,
		From: decider.Self.Region, Replica: best.row.Replica, Region: best.endpoint.Region, Zone: best.endpoint.Zone, Rank: best.rank(), Key: routed.ownerKey,
		Tokens: routed.Tokens, Unread: best.uncached, UnreadShared: best.uncachedShared, Candidates: len(candidates),
		Running: best.running, Waiting: best.waiting,
		Waited: now - routed.ReceivedAt, Foreseen: best.ttft, Target: routed.Route.Target,
	}
	for index := range candidates {
		if candidate := &candidates[index]; candidate.isOwner {
			choice.Owner, choice.OwnerForeseen = candidate.row.Replica, candidate.ttft
		}
	}
	return choice
}
