package assigner

import (
	"sort"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// DefaultBound is the greatest load per slot over the mean that Place aims at.
const DefaultBound = 1.1

// PlaceInput is what Place decides from. The slices are indexed by partition.
type PlaceInput struct {
	Service identifier.ServiceName
	Servers []Candidate
	// Owners are the present owners, "" for none.
	Owners []identifier.ServerName
	// Loads are in slots kept busy (requests a second times seconds a request), 0 where not known; it may be short.
	Loads []float64
	// Bound is the greatest load per slot over the mean; 1 or less means DefaultBound.
	Bound float64
}

// Place returns the owner that each partition should have. A partition whose owner is usable keeps it; the others go
// where there is room under the bound. While no load is known the first server with room in rendezvous order takes the
// partition, else the server that would carry least. With no usable server all owners stay as they are.
func Place(in PlaceInput) []identifier.ServerName {
	target := append([]identifier.ServerName(nil), in.Owners...)
	b := newBoard(in.Service, in.Servers)
	if len(b.servers) == 0 {
		return target
	}
	w := weights(in.Loads, len(in.Owners), b.slots)
	var orphans []int
	total := 0.0
	for p, owner := range in.Owners {
		total += w[p]
		if i, ok := b.at(owner); ok {
			b.add(i, w[p])
			continue
		}
		orphans = append(orphans, p)
	}
	sort.SliceStable(orphans, func(i, j int) bool { return w[orphans[i]] > w[orphans[j]] })
	known := anyLoad(in.Loads)
	limit := bound(in.Bound) * total / b.slots
	for _, p := range orphans {
		i := b.choose(p, w[p], limit, known)
		b.add(i, w[p])
		target[p] = b.servers[i].Name
	}
	return target
}

func bound(b float64) float64 {
	if b <= 1 {
		return DefaultBound
	}
	return b
}

func anyLoad(loads []float64) bool {
	for _, l := range loads {
		if l > 0 {
			return true
		}
	}
	return false
}

// choose returns the server that takes an orphan of weight w.
func (b *board) choose(partition int, w, limit float64, known bool) int {
	ranked := b.rank(partition)
	if known {
		return b.leastLoaded(ranked, w)
	}
	for _, i := range ranked {
		if b.perSlot(i, w) <= limit {
			return i
		}
	}
	return b.leastLoaded(ranked, w)
}

// Servers whose load per slot differs by at most this share of the mean count as equally loaded.
const evenShare = 0.02

// leastLoaded returns the server of ranked with the least weight per slot once w is added. Of servers that are
// about even it takes the one whose failure domain carries least, then the first of ranked.
func (b *board) leastLoaded(ranked []int, w float64) int {
	least := b.perSlot(ranked[0], w)
	for _, i := range ranked {
		least = min(least, b.perSlot(i, w))
	}
	best := -1
	for _, i := range ranked {
		if b.perSlot(i, w) > least+evenShare*b.mean() {
			continue
		}
		if best < 0 || b.domainPerSlot(i) < b.domainPerSlot(best) {
			best = i
		}
	}
	return best
}
