package granter

import (
	"slices"
	"time"
)

// FailingServers returns the servers whose latest order for one of their ranges failed, and for each the earliest incarnation whose end
// would free such a range. Servers whose end would free none are left out; see ServerEnded.
func (g *Granter) FailingServers() map[string]int64 {
	failing := map[string]int64{}
	for _, o := range g.ranges {
		if g.frozen || !o.failing || !o.mayHaveLease() || o.Incarnation == 0 {
			continue
		}
		if earliest, found := failing[o.Server]; !found || o.Incarnation < earliest {
			failing[o.Server] = o.Incarnation
		}
	}
	return failing
}

// mayHaveLease reports whether the leases of o, if any, are leases of its present owner. Before, those of earlier owners have
// expired or were released.
func (o *ownership) mayHaveLease() bool {
	return o.state == granting || o.state == granted || o.state == releasing
}

// ServerEnded records that an incarnation of a server has certainly ended, and all earlier ones with it, and returns the number of
// ranges that this frees. All leases of these incarnations are over, whichever leader granted them; an order that is on its way
// reaches nobody who applies it.
//
// It has no effect on a range of which a later incarnation of the server may have a lease, or of which the latest one that may have
// is not known. It has none either while that incarnation is registered, since then the evidence is contradictory, and while the
// granter is frozen.
func (g *Granter) ServerEnded(now time.Time, server string, incarnation int64) int {
	if s, known := g.servers[server]; g.frozen || known && s.Incarnation <= incarnation {
		return 0
	}
	delete(g.endExpected, server)
	freed := 0
	for _, o := range slices.Clone(g.sortedRanges()) {
		if o.Server != server || !o.mayHaveLease() || o.Incarnation == 0 || o.Incarnation > incarnation {
			continue
		}
		// Under a new id, the outcome of an order in flight does not count.
		g.removeRange(o)
		next := &ownership{
			Assignment: o.Assignment, state: free, fence: g.nextFence(), nextOwner: o.nextOwner, leaseExpiry: g.uncertainUntil,
		}
		if o.state == releasing && o.released {
			next.handover = o.handover
		}
		g.planOwner(now, g.addRange(next))
		freed++
	}
	return freed
}

// ExpectEnd records that a server is expected to be known as ended at a time, so that requests for its ranges may wait until then. The
// zero time ends the expectation.
func (g *Granter) ExpectEnd(server string, at time.Time) {
	if g.endExpected[server].Equal(at) {
		return
	}
	g.endExpected[server] = at
	if at.IsZero() {
		delete(g.endExpected, server)
	}
	for _, o := range g.ranges {
		if o.Server == server && o.mayHaveLease() {
			g.changed[o.id] = true
		}
	}
}
