package decide

import (
	"swifttiller/session"
)

// Entry daemons: those that callers send requests to.

// EntryDaemons returns the daemons that callers in the zone may send requests for the host to, from
// the nearest of these groups that is not empty: those in the zone; those in the region;
// those in regions that are a home of all the host's routes; those of the caller's region,
// then of such homes, that are shutting down and still serve late requests; any other that
// is not shutting down. It returns none while this daemon has no valid lease.
func (decider *Decider) EntryDaemons(host, region, zone string) []session.Member {
	view := decider.View()
	if !view.MayServe(decider.World.Now()) {
		return nil
	}
	homes := map[string]bool{}
	for _, home := range view.Tree.Regions() {
		homes[home] = view.Tree.HostAllowed(host, home)
	}
	const none = 6
	distance := func(member session.Member) int {
		isHome := homes[member.Region]
		switch {
		case member.Role != session.Data || member.Door == "" || member.Leaving && member.Region != region && !isHome:
			return none
		case member.Leaving && member.Region == region:
			return 3
		case member.Leaving:
			return 4
		case member.Zone == zone:
			return 0
		case member.Region == region:
			return 1
		case isHome:
			return 2
		}
		return 5
	}
	var out []session.Member
	nearest := none
	for _, member := range view.Members {
		if at := distance(member); at < nearest {
			out, nearest = append(out[:0], member), at
		} else if at == nearest && at < none {
			out = append(out, member)
		}
	}
	return out
}
