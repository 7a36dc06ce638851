package permit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"swifttiller/session"
	"swifttiller/sim"
)

// TestListsFollow: whatever list of members a daemon had last, of some hundred that were told
// since, what it is told makes the present one of it, and what has changed alone is told.
func TestListsFollow(t *testing.T) {
	park := sim.New(1)
	defer park.Close()
	var office *Office
	park.Start("c", func(node *sim.Node) { office = &Office{Options: Options{World: node}} })
	park.Run(1)
	draw := rand.New(rand.NewPCG(1, 2))
	var members []session.Member
	member := func(index int) session.Member {
		return session.Member{Name: fmt.Sprintf("counter-some-hall-%03d", index), Incarnation: fmt.Sprintf("1a0bb07ed31-%08x", draw.Uint32()), Role: session.Data, Region: "some", Zone: "some-hall", Wire: fmt.Sprintf("10.1.0.%d:7741", index)}
	}
	for index := range 300 {
		members = append(members, member(index))
	}
	views := []*View{{}}
	whole, parts, most := 0, 0, 0
	for range 400 {
		members = slices.Clone(members)
		switch at := draw.IntN(len(members)); draw.IntN(3) {
		case 0:
			members = slices.Delete(members, at, at+1)
		case 1:
			members[at].Incarnation = fmt.Sprintf("1a0bb07ed31-%08x", draw.Uint32())
		default:
			one := member(draw.IntN(400))
			at, isThere := slices.BinarySearchFunc(members, one, func(a, b session.Member) int { return strings.Compare(a.Name, b.Name) })
			if !isThere {
				members = slices.Insert(members, at, one)
			}
		}
		have := views[max(0, len(views)-1-draw.IntN(40))]
		grant := &Grant{}
		office.list(members, have.sum, grant)
		size := len(grant.Rolled) + 150*len(grant.Members)
		if grant.Base != 0 || grant.Sum == have.sum {
			parts, most = parts+1, max(most, size)
		} else {
			whole++
		}
		if err := grant.unroll(); err != nil {
			t.Fatal(err)
		}
		next := *have
		next.enlist(have, grant)
		if next.sum != session.Sum(members) || session.Sum(next.Members) != next.sum || len(next.Members) != len(members) {
			t.Fatalf("%d members of %d", len(next.Members), len(members))
		}
		views = append(views, &next)
	}
	t.Logf("%d lists were told whole, of %d others the longest had %d bytes", whole, parts, most)
	if whole > 40 || parts < 300 || most > 8e3 {
		t.Errorf("control traffic: %d lists were told whole, of %d others the longest had %d bytes", whole, parts, most)
	}
}
