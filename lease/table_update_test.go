package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"swifttiller/session"
	"swifttiller/sim"
)

// TestMemberListDeltas guards against deltas of the member list that don't lead to the present
// list, whichever of some hundred earlier lists a daemon has, and against sending unchanged
// members again.
func TestMemberListDeltas(t *testing.T) {
	cluster := sim.New(1)
	defer cluster.Close()
	var issuer *Issuer
	cluster.Start("c", func(node *sim.Node) { issuer = &Issuer{IssuerOptions: IssuerOptions{World: node}} })
	cluster.Run(1)
	random := rand.New(rand.NewPCG(1, 2))
	var members []session.Member
	member := func(index int) session.Member {
		return session.Member{Name: fmt.Sprintf("counter-some-hall-%03d", index), Incarnation: fmt.Sprintf("1a0bb07ed31-%08x", random.Uint32()), Role: session.Data, Region: "some", Zone: "some-hall", Wire: fmt.Sprintf("10.1.0.%d:7741", index)}
	}
	for index := range 300 {
		members = append(members, member(index))
	}
	views := []*View{{}}
	whole, deltas, largest := 0, 0, 0
	for range 400 {
		members = slices.Clone(members)
		switch at := random.IntN(len(members)); random.IntN(3) {
		case 0:
			members = slices.Delete(members, at, at+1)
		case 1:
			members[at].Incarnation = fmt.Sprintf("1a0bb07ed31-%08x", random.Uint32())
		default:
			added := member(random.IntN(400))
			at, isPresent := slices.BinarySearchFunc(members, added, func(a, b session.Member) int { return strings.Compare(a.Name, b.Name) })
			if !isPresent {
				members = slices.Insert(members, at, added)
			}
		}
		previous := views[max(0, len(views)-1-random.IntN(40))]
		grant := &Grant{}
		issuer.fillMembers(members, previous.membersSum, grant)
		size := len(grant.Rolled) + 150*len(grant.Members)
		if grant.Base != 0 || grant.Sum == previous.membersSum {
			deltas, largest = deltas+1, max(largest, size)
		} else {
			whole++
		}
		if err := grant.unpackMembers(); err != nil {
			t.Fatal(err)
		}
		next := *previous
		next.updateMembers(previous, grant)
		if next.membersSum != session.Checksum(members) || session.Checksum(next.Members) != next.membersSum || len(next.Members) != len(members) {
			t.Fatalf("assembled list has %d members or a wrong checksum, want %d members", len(next.Members), len(members))
		}
		views = append(views, &next)
	}
	t.Logf("%d lists were sent in full; the largest of %d deltas had %d bytes", whole, deltas, largest)
	if whole > 40 || deltas < 300 || largest > 8e3 {
		t.Errorf("control traffic: %d lists were sent in full; the largest of %d deltas had %d bytes", whole, deltas, largest)
	}
}
