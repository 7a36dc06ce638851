package decide

import "time"

// Choice records one dispatch of a routed request for analysis: what was known when its
// replica was chosen, and what became of it. It is made only where somebody asks for it.
type Choice struct {
	// Request is the caller's id of the try, Route the name of its route.
	Request, Route, Model string
	// From is the region of the data daemon that chose. Replica is the one that was chosen,
	// Region and Zone where it is.
	From                  string
	Replica, Region, Zone string
	// Owner is the replica that should keep the shared parts, empty where nothing is shared
	// or the owner may not get the request now; Rank tells which claim the chosen one has.
	Owner string
	Rank  Rank
	// Key is what the owner is found by, zero where nothing is shared.
	Key uint64
	// Tokens are those of the prompt, Unread those that the replica was taken to have to
	// read, UnreadShared the part of these that others share.
	Tokens, Unread, UnreadShared int
	// Candidates is how many replicas might have got it; Running and Waiting what was
	// expected at the chosen one.
	Candidates       int
	Running, Waiting float64
	// Waited is the time from the request's arrival to the choice, Foreseen the time from
	// then to the first piece as foreseen, First the same as it was; zero if none came.
	Waited, Foreseen, First time.Duration
	// OwnerForeseen is what was foreseen at the owner.
	OwnerForeseen time.Duration
	// Target is the route's, from the request's arrival.
	Target time.Duration
	// Code is the mishap that ended it, empty for none.
	Code string
}

// Rank is a replica's claim on the shared parts of a prompt.
type Rank string

// Ranks.
const (
	RankOwner     Rank = "owner"
	RankSuccessor Rank = "successor"
	RankNone      Rank = "none"
)

// rank is the claim of a prospect.
func (prospect *prospect) rank() Rank {
	switch {
	case prospect.isOwner:
		return RankOwner
	case prospect.isSuccessor:
		return RankSuccessor
	}
	return RankNone
}

// chosen records the choice of best among all; nil where nobody asks.
func (decider *Decider) chosen(routed *Routed, best *prospect, all []prospect, now time.Duration) *Choice {
	if decider.Traced == nil {
		return nil
	}
	choice := &Choice{
		Request: routed.ID, Route: routed.Route.Name, Model: routed.Model,
		From: decider.Self.Region, Replica: best.row.Replica, Region: best.place.Region, Zone: best.place.Zone, Rank: best.rank(), Key: routed.key,
		Tokens: routed.Tokens, Unread: best.unread, UnreadShared: best.unreadShared, Candidates: len(all),
		Running: best.running, Waiting: best.waiting,
		Waited: now - routed.Came, Foreseen: best.foreseen, Target: routed.Route.Target,
	}
	for at := range all {
		if one := &all[at]; one.isOwner {
			choice.Owner, choice.OwnerForeseen = one.row.Replica, one.foreseen
		}
	}
	return choice
}
