package decide

import (
	"swifttiller/session"
)

// Doors: where callers are led.

// Doors gives the daemons that callers in the zone may go to with requests for the host:
// those in the zone; else in the region; else where all of the host's routes have a home;
// else those there that are about to stop, who serve late comers; else any. None while
// this daemon has no permit.
func (decider *Decider) Doors(host, region, zone string) []session.Member {
	view := decider.Holder()
	if !view.Serves(decider.World.Now()) {
		return nil
	}
	homes := map[string]bool{}
	for _, home := range view.Tree.Regions() {
		homes[home] = view.Tree.AtHome(host, home)
	}
	const none = 6
	distance := func(one session.Member) int {
		isHome := homes[one.Region]
		switch {
		case one.Role != session.Data || one.Door == "" || one.Leaving && one.Region != region && !isHome:
			return none
		case one.Leaving && one.Region == region:
			return 3
		case one.Leaving:
			return 4
		case one.Zone == zone:
			return 0
		case one.Region == region:
			return 1
		case isHome:
			return 2
		}
		return 5
	}
	var out []session.Member
	nearest := none
	for _, one := range view.Members {
		if at := distance(one); at < nearest {
			out, nearest = append(out[:0], one), at
		} else if at == nearest && at < none {
			out = append(out, one)
		}
	}
	return out
}
