package decide

import (
	"strconv"

	"swifttiller/standing"
)

// Owners of shared prompt parts: rendezvous by slots that all daemons rank alike.

// ownerKey is what requests with the same shared parts have in common; zero when there
// is nothing shared.
func ownerKey(routed *Routed) uint64 {
	key := uint64(0)
	for at, part := range routed.Parts {
		if at == len(routed.Parts)-1 {
			break
		}
		key = key*0x9e3779b97f4a7c15 + part.ID + 1
	}
	return key
}

// successorShare is which part of the price of reading shared parts again their successor pays:
// less than others, so that all go to the same one, and not so little that they leave an owner
// that may get them.
const successorShare = 0.9

// claim marks whose the request's shared parts are among those that may get it now: the
// first by rendezvous is their owner, the next one their successor. All daemons rank alike, so
// what the owner can't get, as it is cold, held or has gone, they read again at one
// replica and not each at another. Where the home of a tenant's placement has some that
// may own, no others do.
func claim(routed *Routed, all []prospect, home string, isNear func(*standing.Place) bool) {
	if routed.owner == 0 && home == "" {
		return
	}
	var owner, successor *prospect
	var most, next uint64
	isPlaced := false
	for at := range all {
		one := &all[at]
		isHome := home != "" && one.place.Region == home
		if isHome && !isPlaced {
			isPlaced, owner, successor = true, nil, nil
		}
		if isPlaced && !isHome || !isPlaced && (!isNear(one.place) || routed.owner == 0) {
			continue
		}
		switch score := slotScore(routed.key, one.place); {
		case owner == nil || score > most:
			owner, successor, most, next = one, owner, score, most
		case successor == nil || score > next:
			successor, next = one, score
		}
	}
	if owner != nil {
		owner.isOwner = true
	}
	if successor != nil {
		successor.isSuccessor = true
	}
}

// slotScore is the rendezvous weight of a key at a place's slot.
func slotScore(key uint64, place *standing.Place) uint64 {
	return score(key, place.Region+"/"+strconv.Itoa(place.Slot))
}
