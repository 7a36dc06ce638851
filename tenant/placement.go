package tenant

import (
	"slices"
	"sort"
	"strings"
)

// Parts of a tenant's shared beginnings, by a hash: a move takes them over part by part.
const Parts = 256

// Spread says that a hot beginning has so many owners, between which sessions are split.
type Spread struct {
	Key  uint64 `json:"key"`
	Over int    `json:"over"`
}

// Placement is where the shared parts of a tenant's prompts have their owners. It decides
// about nothing but whom the parts are taken to be kept by: running streams end where
// they run, homes bind, and a region without a replica leaves it as if there were none.
//
// Invariants: Now and Next have each region once; while Moving is false, Next is empty
// and Part is zero; while it is true, beginnings of the first Part parts go by Next, all
// others by Now, so each has one placement at a time.
type Placement struct {
	Tenant string `json:"tenant"`
	// Now are the regions that have owners of their own; callers elsewhere go to the
	// first. None means one owner over all regions, as without a placement.
	Now    []string `json:"now,omitempty"`
	Next   []string `json:"next,omitempty"`
	Moving bool     `json:"moving,omitempty"`
	Part   int      `json:"part,omitempty"`
	// Back tells that the move is being taken back.
	Back bool     `json:"back,omitempty"`
	Hot  []Spread `json:"hot,omitempty"`
	// Pinned ones are an operator's, and stay until released.
	Pinned bool   `json:"pinned,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// isPlain tells whether it says nothing.
func (placement Placement) isPlain() bool {
	return len(placement.Now) == 0 && !placement.Moving && len(placement.Hot) == 0 && !placement.Pinned
}

// regions are those by which a beginning goes.
func (placement *Placement) regions(key uint64) []string {
	if placement.Moving && int(mix(key)>>56) < placement.Part {
		return placement.Next
	}
	return placement.Now
}

// Home is the region that has the owner of a beginning for callers in the given one;
// empty for one owner over all. Within tells whether the request may go to a region.
func (placement *Placement) Home(key uint64, region string, within func(string) bool) string {
	first := ""
	for _, one := range placement.regions(key) {
		if !within(one) {
			continue
		}
		if one == region {
			return one
		}
		if first == "" {
			first = one
		}
	}
	return first
}

// Owner is the key by which a session's beginning finds its owner: of a hot one, one of
// several.
func (placement *Placement) Owner(key, session uint64) uint64 {
	for _, one := range placement.Hot {
		if one.Key == key && one.Over > 1 {
			if turn := mix(session) % uint64(one.Over); turn > 0 {
				return mix(key + turn)
			}
		}
	}
	return key
}

// Book is what the register of placements holds.
//
// Invariants: Placed is in the order of tenants, each once, at most MostKept; only the
// holder of the duty with the serial Duty, or an operator, writes the next one.
type Book struct {
	Duty   uint64      `json:"duty"`
	Placed []Placement `json:"placed"`
}

// Find gives a tenant's placement, nil where there is none.
func (book *Book) Find(tenant string) *Placement {
	if book == nil {
		return nil
	}
	at, has := slices.BinarySearchFunc(book.Placed, tenant, func(one Placement, tenant string) int { return strings.Compare(one.Tenant, tenant) })
	if !has {
		return nil
	}
	return &book.Placed[at]
}

// With gives the book with the placement in the place of its tenant's; plain ones go.
func (book Book) With(placement Placement) Book {
	next := Book{Duty: book.Duty}
	for _, one := range book.Placed {
		if one.Tenant != placement.Tenant {
			next.Placed = append(next.Placed, one)
		}
	}
	if !placement.isPlain() {
		next.Placed = append(next.Placed, placement)
	}
	sort.Slice(next.Placed, func(a, b int) bool { return next.Placed[a].Tenant < next.Placed[b].Tenant })
	return next
}
