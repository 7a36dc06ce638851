package tenant

import (
	"slices"
	"sort"
	"strings"
)

// Parts is the number of hash partitions of a tenant's shared prompt prefixes. A move
// transfers ownership partition by partition.
const Parts = 256

// Spread assigns a hot prefix several owners; its sessions are split between them.
type Spread struct {
	Key  uint64 `json:"key"`
	Over int    `json:"over"`
}

// Placement says in which regions the shared prefixes of a tenant's prompts have their
// owners, the replicas that are expected to have them cached. It affects nothing else:
// running streams end on the replica that serves them, the tenant's home regions remain
// mandatory, and requests are routed as if there were no placement when a region has no
// replica.
//
// Invariants: Now and Next list each region once. While Moving is false, Next is empty
// and Part is zero. While Moving is true, prefixes of the first Part partitions follow
// Next and all others follow Now, so each prefix has one placement at a time.
type Placement struct {
	Tenant string `json:"tenant"`
	// Now lists the regions that have owners of their own; callers in other regions use
	// the first one. If it is empty, each prefix has one owner across all regions, as
	// without a placement.
	Now    []string `json:"now,omitempty"`
	Next   []string `json:"next,omitempty"`
	Moving bool     `json:"moving,omitempty"`
	Part   int      `json:"part,omitempty"`
	// Back reports whether the move is being rolled back.
	Back bool     `json:"back,omitempty"`
	Hot  []Spread `json:"hot,omitempty"`
	// Pinned marks a placement that an operator set; it stays until released.
	Pinned bool   `json:"pinned,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// isEmpty reports whether the placement has no effect and need not be stored.
func (placement Placement) isEmpty() bool {
	return len(placement.Now) == 0 && !placement.Moving && len(placement.Hot) == 0 && !placement.Pinned
}

// regionsFor returns the regions that apply to a prefix: Next if its partition has
// moved, otherwise Now.
func (placement *Placement) regionsFor(key uint64) []string {
	if placement.Moving && int(hash(key)>>56) < placement.Part {
		return placement.Next
	}
	return placement.Now
}

// Home returns the region that has the owner of a prefix for callers in the given region,
// or "" if there is one owner across all regions. within reports whether the request may
// be served in a region.
func (placement *Placement) Home(key uint64, region string, within func(string) bool) string {
	first := ""
	for _, candidate := range placement.regionsFor(key) {
		if !within(candidate) {
			continue
		}
		if candidate == region {
			return candidate
		}
		if first == "" {
			first = candidate
		}
	}
	return first
}

// Owner returns the key that selects the owner of a prefix for a session. A hot prefix
// has several owners; the session's hash selects one of them.
func (placement *Placement) Owner(key, session uint64) uint64 {
	for _, spread := range placement.Hot {
		if spread.Key == key && spread.Over > 1 {
			if index := hash(session) % uint64(spread.Over); index > 0 {
				return hash(key + index)
			}
		}
	}
	return key
}

// Placements is the content of the register of placements.
//
// Invariants: Placed is sorted by tenant, has each tenant once and at most MaxTracked of
// them. Only the leader whose term is Duty, or an operator, writes the next version.
type Placements struct {
	Duty   uint64      `json:"duty"`
	Placed []Placement `json:"placed"`
}

// Find returns a tenant's placement, or nil if it has none.
func (placements *Placements) Find(tenant string) *Placement {
	if placements == nil {
		return nil
	}
	index, found := slices.BinarySearchFunc(placements.Placed, tenant, func(placement Placement, tenant string) int { return strings.Compare(placement.Tenant, tenant) })
	if !found {
		return nil
	}
	return &placements.Placed[index]
}

// With returns a copy of the placements in which the placement replaces that of its tenant. An
// empty placement is removed.
func (placements Placements) With(placement Placement) Placements {
	next := Placements{Duty: placements.Duty}
	for _, existing := range placements.Placed {
		if existing.Tenant != placement.Tenant {
			next.Placed = append(next.Placed, existing)
		}
	}
	if !placement.isEmpty() {
		next.Placed = append(next.Placed, placement)
	}
	sort.Slice(next.Placed, func(a, b int) bool { return next.Placed[a].Tenant < next.Placed[b].Tenant })
	return next
}
