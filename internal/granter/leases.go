package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// RangeLease says for how much longer leases of a range may last that a leader or an earlier one granted. The times are counted from
// when the leader said so.
type RangeLease struct {
	Service    string
	Range      partitioner.Range
	Answered   time.Duration // leases of answered grants
	Unanswered time.Duration // leases of grants without an answer, which the server may still apply, and of all that are in flight
}

// Leases returns the leases of all ranges, for the next leader. This leader must have stopped sending orders. One that is in flight
// may reach its server until orderTimeout from now. ok is false if another leader may have granted ranges meanwhile, see Freeze.
func (g *Granter) Leases(now time.Time, orderTimeout time.Duration) (leases []RangeLease, ok bool) {
	if g.frozen {
		return nil, false
	}
	for _, o := range g.sortedRanges() {
		l := RangeLease{
			Service: o.Service, Range: o.Range, Answered: max(0, o.leaseExpiry.Sub(now)), Unanswered: max(0, o.pendingExpiry().Sub(now)),
		}
		if o.orderInFlight {
			l.Unanswered = max(l.Unanswered, orderTimeout+g.settings.MaxLeaseLifetime())
		}
		leases = append(leases, l)
	}
	return leases, true
}

// Term returns the term of this leader.
func (g *Granter) Term() uint64 { return g.term }

// PredecessorStopped records that the previous leader sends no orders from now on. Orders that were sent before may still arrive, so their
// leases are waited for as leases says, which the previous leader has just sent about the term before this one. Leases of ranges that
// it does not cover are waited for as if they had been granted now or, if leaders before the previous one may still send orders
// (earlierLeaders), as before. It returns the number of ranges that are covered.
func (g *Granter) PredecessorStopped(now time.Time, leases []RangeLease, earlierLeaders bool) (covered int) {
	leases = sortedLeases(leases)
	for _, o := range g.ranges {
		if !now.Before(o.inheritedExpiry) {
			continue
		}
		l, known := leaseOf(leases, o.Service, o.Range)
		if !known && earlierLeaders {
			continue
		}
		expiry := now.Add(g.settings.MaxLeaseLifetime())
		switch {
		case known && o.inherited:
			expiry, o.inheritedUnanswered = now.Add(max(l.Answered, l.Unanswered)), now.Add(l.Unanswered)
		case known:
			expiry = now.Add(l.Unanswered) // the answered ones were replaced by this leader's
		}
		if known {
			covered++
		}
		if expiry.Before(o.inheritedExpiry) {
			o.inheritedExpiry = expiry
			g.changed[o.id] = true // the segment may say how long the range is expected not to be served
		}
	}
	return covered
}

// sortedLeases returns leases sorted by service and keys, or none if some of them overlap, which those of a leader never do.
func sortedLeases(leases []RangeLease) []RangeLease {
	leases = slices.Clone(leases)
	slices.SortFunc(leases, func(a, b RangeLease) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Range.First, b.Range.First))
	})
	for i := 1; i < len(leases); i++ {
		if leases[i-1].Service == leases[i].Service && leases[i-1].Range.Overlaps(leases[i].Range) {
			return nil
		}
	}
	return leases
}

// leaseOf returns the longest of the leases that overlap a range. ok is false unless they cover all of it.
func leaseOf(sorted []RangeLease, service string, r partitioner.Range) (longest RangeLease, ok bool) {
	begin, _ := slices.BinarySearchFunc(sorted, r.First, func(l RangeLease, first uint16) int {
		return cmp.Or(cmp.Compare(l.Service, service), cmp.Compare(l.Range.Last, first))
	})
	next := int(r.First) // first key that is not covered yet
	for _, l := range sorted[begin:] {
		if l.Service != service || int(l.Range.First) > next || next > int(r.Last) {
			break
		}
		next = int(l.Range.Last) + 1
		longest.Answered, longest.Unanswered = max(longest.Answered, l.Answered), max(longest.Unanswered, l.Unanswered)
	}
	return longest, next > int(r.Last)
}
