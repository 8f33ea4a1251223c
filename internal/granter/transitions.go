package granter

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
)

// mergeInterval is the time between two checks for neighbours that can be merged, which sort all ranges. It is shorter than
// the time between two renewals, which merging saves.
const mergeInterval = 200 * time.Millisecond

// Tick returns the orders that are due. It frees the ranges whose leases have all expired.
func (g *Granter) Tick(now time.Time) []Order {
	if g.fenceCount >= maxFenceCount {
		return nil
	}
	if now.Sub(g.lastMerge) >= mergeInterval {
		g.lastMerge = now
		g.mergeNeighbours()
	}
	var orders []Order
	for _, o := range g.sortedRanges() {
		if !g.frozen {
			g.advanceRange(now, o)
		} else if o.state == releasing {
			continue
		}
		if o.orderInFlight || now.Before(o.nextOrderAt) {
			continue
		}
		switch o.state {
		case granting, granted:
			if g.incarnationStored(o) {
				orders = append(orders, g.grantOrder(now, o))
			}
		case releasing:
			if o.needsConfirmation() {
				if !g.incarnationStored(o) {
					continue
				}
				o.fence = g.nextFence()
				orders = append(orders, g.grantOrder(now, o))
				continue
			}
			o.orderInFlight = true
			orders = append(orders, Release{ID: o.id, Server: o.Server, Range: o.Range, Fence: o.fence})
		case free, planned:
		}
	}
	return orders
}

// grantOrder returns a grant for o. Each renewal has a new fence: the server may have restarted since the previous one
// while its registration does not show that yet, and a new incarnation accepts any fence.
func (g *Granter) grantOrder(now time.Time, o *ownership) Order {
	if o.state == granted {
		o.fence = g.nextFence()
	}
	o.orderInFlight = true
	o.nextOrderAt = now.Add(g.settings.RenewInterval)
	order := Grant{
		ID: o.id, Server: o.Server, Incarnation: o.Incarnation, Range: o.Range, Fence: o.fence,
		LeaseDuration: g.settings.LeaseDuration, Confirmed: o.state != granted || o.failing,
	}
	if order.Incarnation == 0 {
		order.Incarnation = g.servers[o.Server].Incarnation
	}
	if o.state == granting {
		order.Handover = o.handover
	}
	return order
}

// needsConfirmation reports whether a range that is being released needs a confirmed grant before the release: without it, the range
// waits for the end of its lease, which is later than that of grants without an answer.
func (o *ownership) needsConfirmation() bool {
	return o.unconfirmed && !o.confirmFailed && o.pendingExpiry().Before(o.leaseExpiry)
}

// advanceRange makes the state changes of o that depend only on the time, the known servers and the stored plan.
func (g *Granter) advanceRange(now time.Time, o *ownership) {
	expired := !now.Before(o.latestExpiry()) && !o.orderInFlight
	switch o.state {
	case granted, granting:
		switch {
		case slices.Contains(g.unreachable, o.Service):
		case o.failing && expired:
			g.markFree(o, "")
		case o.failing && !o.orderInFlight && o.unansweredExpiry.After(later(o.leaseExpiry, o.inheritedExpiry)) &&
			now.Sub(o.failingSince) >= g.settings.LeaseDuration:
			// No more grants are sent: each further one without an answer would delay the time at which the keys can be
			// granted to another server.
			g.excludeServer(now, o.Server)
			g.startRelease(now, o, "")
		case o.state == granted && !o.orderInFlight && g.shouldRelease(now, o):
			g.startRelease(now, o, "")
		}
	case releasing:
		if expired {
			g.markFree(o, o.handover)
		}
	case planned:
		switch {
		case o.planSequence <= g.storedSequence && expired:
			o.state, o.nextOrderAt = granting, now
			g.changed[o.id] = true
		case o.planSequence > g.maybeStoredSequence && expired && g.canReturn(now, o):
			g.returnToPreviousOwner(now, o)
		}
	case free:
	}
	if o.state == free {
		g.planOwner(now, o)
	}
}

// registrationWait is how long a range whose release would not free it stays with an owner that accepts grants but is not
// registered. A registration that has expired during a network partition reappears within about 2 s of its end.
const registrationWait = 2 * time.Second

// shouldRelease reports whether a range should be released because its server is not ready. That is as soon as the range
// could be granted to another server right after the release, or at once if the server no longer gets requests. If its
// registration is missing, it may reappear before the range could be granted to another server; see registrationWait.
func (g *Granter) shouldRelease(now time.Time, o *ownership) bool {
	s, known := g.servers[o.Server]
	switch {
	case known && s.State == cataloger.Ready:
		return false
	case !now.Before(o.pendingExpiry()) || known && s.State == cataloger.Gone:
		return true
	case known:
		return false
	}
	return o.failing || now.Sub(o.acceptedSince) >= registrationWait
}

// markFree records that no server owns o.
func (g *Granter) markFree(o *ownership, handover string) {
	o.state, o.handover, o.failing, o.inherited, o.previousOwner = free, handover, false, false, previousOwner{}
	g.changed[o.id] = true
}

// planOwner chooses the owner of a free range: its nextOwner or, if that is not assignable, the server with the fewest
// ranges. The range then waits until the plan is stored.
func (g *Granter) planOwner(now time.Time, o *ownership) {
	assignable := g.AssignableServers(now, o.Service)
	if len(assignable) == 0 {
		o.previousOwner = previousOwner{} // from now on plans name no server for the range, so it can't return
		return
	}
	server := o.nextOwner
	if !slices.Contains(assignable, server) {
		server = g.withFewestRanges(o, assignable)
	}
	g.planSequence++
	o.Server, o.nextOwner, o.state, o.planSequence = server, "", planned, g.planSequence
	o.Incarnation, o.incarnationSequence = g.servers[server].Incarnation, 0
	o.fence = g.nextFence()
	g.changed[o.id] = true
}

// canReturn reports whether a range has waited for its plan to be stored for long enough that it may return to its previous
// owner. It may return only soon after its release and only to the same incarnation of that server: a leader that was
// replaced may not know what has happened to the range since.
func (g *Granter) canReturn(now time.Time, o *ownership) bool {
	waited := now.Sub(o.previousOwner.releasedAt)
	if waited < g.settings.PersistTimeout || waited >= 2*g.settings.PersistTimeout {
		return false
	}
	s, known := g.servers[o.previousOwner.server]
	return known && s.State == cataloger.Ready && s.Incarnation == o.previousOwner.incarnation
}

// returnToPreviousOwner grants a range to its previous owner again, which the newest plan in the store still names.
func (g *Granter) returnToPreviousOwner(now time.Time, o *ownership) {
	g.planSequence++ // a newer plan replaces those with the other owner, none of which was sent
	o.Server, o.state, o.nextOrderAt = o.previousOwner.server, granting, now
	o.Incarnation, o.incarnationSequence = o.previousOwner.incarnation, 0
	o.fence = g.nextFence()
	g.changed[o.id] = true
}

// withFewestRanges returns the assignable server with the fewest ranges and, among those, the fewest keys. The previous
// owner of o is chosen only if there is no other.
func (g *Granter) withFewestRanges(o *ownership, assignable []string) string {
	type tally struct{ ranges, keys int }
	tallies := map[string]tally{}
	for _, other := range g.ranges {
		if other != o {
			s := tallies[other.Server]
			tallies[other.Server] = tally{s.ranges + 1, s.keys + other.Range.Len()}
		}
	}
	return slices.MinFunc(assignable, func(a, b string) int {
		if (a == o.Server) != (b == o.Server) {
			if a == o.Server {
				return 1
			}
			return -1
		}
		if d := tallies[a].ranges - tallies[b].ranges; d != 0 {
			return d
		}
		return tallies[a].keys - tallies[b].keys
	})
}

// mergeNeighbours merges adjacent ranges that are granted to the same server and have no order in flight or failing, so
// that one order renews them.
func (g *Granter) mergeNeighbours() {
	all := slices.Clone(g.sortedRanges())
	slices.SortFunc(all, func(a, b *ownership) int {
		if a.Service != b.Service {
			if a.Service < b.Service {
				return -1
			}
			return 1
		}
		return int(a.Range.First) - int(b.Range.First)
	})
	for i := 1; i < len(all); i++ {
		a, b := all[i-1], all[i]
		adjacent := a.Service == b.Service && a.Server == b.Server && a.Incarnation == b.Incarnation &&
			int(a.Range.Last)+1 == int(b.Range.First)
		if !adjacent || !a.stable() || !b.stable() {
			continue
		}
		b.Range.First = a.Range.First
		b.fence = g.nextFence()
		b.unconfirmed = a.unconfirmed || b.unconfirmed
		b.acceptedSince = later(a.acceptedSince, b.acceptedSince)
		b.leaseExpiry, b.unansweredExpiry =
			later(a.leaseExpiry, b.leaseExpiry), later(a.unansweredExpiry, b.unansweredExpiry)
		b.inheritedExpiry = later(a.inheritedExpiry, b.inheritedExpiry)
		if a.nextOrderAt.Before(b.nextOrderAt) {
			b.nextOrderAt = a.nextOrderAt
		}
		g.removeRange(a)
		g.changed[b.id] = true // otherwise an unpublished change of a would be lost
	}
}

// stable reports whether the owner has answered its grant, and no order is in flight or failing.
func (o *ownership) stable() bool { return o.state == granted && !o.orderInFlight && !o.failing }

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CompleteGrant records the outcome of a Grant.
func (g *Granter) CompleteGrant(now time.Time, order Grant, outcome Outcome) {
	o, ok := g.ranges[order.ID]
	if !ok {
		return
	}
	o.orderInFlight = false
	if outcome == Accepted || outcome == Unanswered {
		g.extendLease(now, o, outcome)
	}
	if outcome == Accepted {
		recorded := o.Incarnation
		o.unconfirmed = !order.Confirmed
		if o.Incarnation == 0 {
			o.Incarnation = order.Incarnation
		}
		if o.inherited && (o.Incarnation != recorded || !g.planRenewed) {
			// The next leader learns the incarnations from the plan, and relies on them only if this term has stored it.
			g.planSequence++
			g.planRenewed = true
		}
	}
	lost := g.ownerLost(o)
	if o.state == releasing {
		o.confirmFailed = outcome != Accepted
		o.nextOrderAt = now
	}
	if o.state != granting && o.state != granted {
		return
	}
	switch outcome {
	case Accepted:
		if o.state == granting || o.failing {
			o.acceptedSince = now
		}
		if o.state == granting {
			o.state = granted
			g.changed[o.id] = true
		}
		o.failing, o.inherited, o.handover = false, false, ""
		delete(g.exclusions, o.Server)
	case Fenced, NotSent, Unanswered:
		o.nextOrderAt = now.Add(g.settings.RetryDelay)
		if outcome == Unanswered && !o.failing {
			o.nextOrderAt = now // the first grant without an answer is sent again at once
		}
		if !o.failing {
			o.failing, o.failingSince = true, now
		}
		o.fence = g.nextFence() // the server may be a new incarnation
	}
	if g.ownerLost(o) != lost {
		g.changed[o.id] = true
	}
}

// extendLease records until when the lease of a grant with the given outcome may last.
func (g *Granter) extendLease(now time.Time, o *ownership, outcome Outcome) {
	expiry := now.Add(g.settings.MaxLeaseLifetime())
	switch {
	case outcome == Unanswered:
		o.unansweredExpiry = later(o.unansweredExpiry, expiry)
	case o.inherited:
		// From now on the server refuses orders of an earlier leader, except those that it has received already.
		o.leaseExpiry, o.inheritedExpiry = expiry, expiry
		if !o.inheritedUnanswered.IsZero() && o.inheritedUnanswered.Before(expiry) {
			o.inheritedExpiry = o.inheritedUnanswered
		}
	default:
		o.leaseExpiry = later(o.leaseExpiry, expiry)
	}
}

// CompleteRelease records the outcome of a Release.
func (g *Granter) CompleteRelease(now time.Time, order Release, outcome Outcome, handover string) {
	o, ok := g.ranges[order.ID]
	if !ok || o.state != releasing {
		return
	}
	o.orderInFlight = false
	if outcome != Accepted {
		o.nextOrderAt = now.Add(g.settings.RetryDelay)
		if !o.failing {
			o.failing = true
			g.changed[o.id] = true // the segment now says how long the range is expected not to be served
		}
		return
	}
	if o.unconfirmed {
		o.unansweredExpiry = later(o.unansweredExpiry, o.leaseExpiry)
	}
	// The server has ended its lease, but may still apply a grant that it has not answered. No further release is sent:
	// Tick frees the range at pendingExpiry.
	o.leaseExpiry = time.Time{}
	o.nextOrderAt = o.pendingExpiry().Add(g.settings.MaxLeaseLifetime())
	if !now.Before(o.pendingExpiry()) {
		releasedBy := previousOwner{server: o.Server, incarnation: g.servers[o.Server].Incarnation, releasedAt: now}
		if !g.incarnationStored(o) {
			releasedBy = previousOwner{} // no plan in the store names the incarnation to which the range would return
		}
		g.markFree(o, handover)
		o.previousOwner = releasedBy
		g.planOwner(now, o)
		return
	}
	o.handover, o.released = handover, true
	g.changed[o.id] = true // the segment now says when the range can be granted
}
