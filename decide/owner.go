package decide

import (
	"strconv"

	"swifttiller/routing"
)

// Owners of shared prompt parts: rendezvous hashing by slots, which all daemons rank alike.

// sharedPrefixKey returns a hash that is the same for requests with the same shared parts; zero
// if nothing is shared.
func sharedPrefixKey(routed *Routed) uint64 {
	key := uint64(0)
	for index, part := range routed.Parts {
		if index == len(routed.Parts)-1 {
			break
		}
		key = key*0x9e3779b97f4a7c15 + part.ID + 1
	}
	return key
}

// successorCostShare is the share of the cost of duplicate prefill that the successor bears. It
// is below one, so that all requests that can't go to the owner go to the same replica, and not
// so low that they leave an owner that may get them.
const successorCostShare = 0.9

// assignOwners marks the owner and the successor of the request's shared parts among the
// candidates: the first and the second by rendezvous hashing. All daemons rank alike, so shared
// parts whose owner is cold, held or gone are prefilled again at one replica and not by each
// daemon at another one. If the tenant's placement has a home with candidates, only those are
// considered.
func assignOwners(routed *Routed, candidates []routeCandidate, home string, isNear func(*routing.Endpoint) bool) {
	if routed.sharedKey == 0 && home == "" {
		return
	}
	var owner, successor *routeCandidate
	var ownerScore, successorScore uint64
	isPlaced := false
	for index := range candidates {
		candidate := &candidates[index]
		isHome := home != "" && candidate.endpoint.Region == home
		if isHome && !isPlaced {
			isPlaced, owner, successor = true, nil, nil
		}
		if isPlaced && !isHome || !isPlaced && (!isNear(candidate.endpoint) || routed.sharedKey == 0) {
			continue
		}
		switch score := slotScore(routed.ownerKey, candidate.endpoint); {
		case owner == nil || score > ownerScore:
			owner, successor, ownerScore, successorScore = candidate, owner, score, ownerScore
		case successor == nil || score > successorScore:
			successor, successorScore = candidate, score
		}
	}
	if owner != nil {
		owner.isOwner = true
	}
	if successor != nil {
		successor.isSuccessor = true
	}
}

// slotScore returns the rendezvous weight of a key at an endpoint's slot.
func slotScore(key uint64, endpoint *routing.Endpoint) uint64 {
	return score(key, endpoint.Region+"/"+strconv.Itoa(endpoint.Slot))
}
