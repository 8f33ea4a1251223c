package granter

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
)

// Tick returns the orders that are due, and frees the ranges whose last grants have run out.
func (g *Granter) Tick(now time.Time) []Order {
	g.join()
	var orders []Order
	for _, h := range g.ordered() {
		g.settle(now, h)
		if h.calling || now.Before(h.next) {
			continue
		}
		switch h.state {
		case granting, held:
			orders = append(orders, g.grant(now, h))
		case releasing:
			h.calling = true
			orders = append(orders, Release{ID: h.id, Server: h.Server, Range: h.Range, Fence: h.fence})
		case free, planned:
		}
	}
	return orders
}

// grant returns an order for h. Each renewal has a fence of its own: the server may have started anew since the last one,
// without its entry saying so yet, and a new incarnation takes any fence.
func (g *Granter) grant(now time.Time, h *holding) Order {
	if h.state == held {
		h.fence = g.nextFence()
	}
	h.calling = true
	h.next = now.Add(g.settings.RenewInterval)
	order := Grant{ID: h.id, Server: h.Server, Range: h.Range, Fence: h.fence, LeaseDuration: g.settings.LeaseDuration}
	if h.state == granting {
		order.Handover = h.handover
	}
	return order
}

// settle moves h on where time alone or the store decides.
func (g *Granter) settle(now time.Time, h *holding) {
	lapsed := (h.ended || !now.Before(h.owned())) && !h.calling
	switch h.state {
	case held, granting:
		switch {
		case (h.failing || h.ended) && lapsed:
			g.free(h, "")
		case h.failing && !h.calling && h.uncertain.After(h.lapses) && now.Sub(h.since) >= g.settings.LeaseDuration:
			// Each further grant without an answer would put off the time at which the keys can move.
			g.exclude(now, h.Server)
			g.release(now, h, "")
		case h.state == held && !h.calling && g.leaves(now, h):
			g.release(now, h, "")
		}
	case releasing:
		if lapsed {
			g.free(h, h.handover)
		}
	case planned:
		switch {
		case h.plan <= g.stored && lapsed:
			h.state, h.next = granting, now
			g.changed[h.id] = true
		case h.plan > g.maybe && lapsed && g.returns(now, h):
			g.goBack(now, h)
		}
	case free:
	}
	if h.state == free {
		g.place(now, h)
	}
}

// leaves reports whether a range is to be taken from a server that leaves: as soon as it can be given to another one then,
// or when the server gets no requests any more.
func (g *Granter) leaves(now time.Time, h *holding) bool {
	s, known := g.servers[h.Server]
	if known && s.State == cataloger.Ready {
		return false
	}
	return !now.Before(h.uncertain) || !known || s.State == cataloger.Gone
}

// free takes note that nobody owns h.
func (g *Granter) free(h *holding, handover string) {
	h.state, h.handover, h.failing, h.kept, h.origin = free, handover, false, false, origin{}
	if h.ended {
		h.ended, h.lapses, h.uncertain = false, time.Time{}, time.Time{}
	}
	g.changed[h.id] = true
}

// place gives a free range to its target, or to the ready server with the fewest keys.
func (g *Granter) place(now time.Time, h *holding) {
	ready := g.AssignableServers(now, h.Service)
	if len(ready) == 0 {
		h.origin = origin{} // plans name nobody from now on
		return
	}
	to := h.target
	if !slices.Contains(ready, to) {
		to = g.fewest(h, ready)
	}
	g.plan++
	h.Server, h.target, h.state, h.plan = to, "", planned, g.plan
	h.fence = g.nextFence()
	g.changed[h.id] = true
}

// returns reports whether a range has waited for the store for long enough, and may go back. It may soon after its release
// only, and only to the same incarnation of its last owner: a leader that was replaced may not know what has happened to
// the range since.
func (g *Granter) returns(now time.Time, h *holding) bool {
	waited := now.Sub(h.origin.released)
	if waited < g.settings.PersistTimeout || waited >= 2*g.settings.PersistTimeout {
		return false
	}
	s, known := g.servers[h.origin.server]
	return known && s.State == cataloger.Ready && s.Incarnation == h.origin.born
}

// goBack gives a range back to its last owner, whom the newest plan in the store names.
func (g *Granter) goBack(now time.Time, h *holding) {
	g.plan++ // plans with the other owner, none of which was sent, are not to be stored any more
	h.Server, h.state, h.next = h.origin.server, granting, now
	h.fence = g.nextFence()
	g.changed[h.id] = true
}

// fewest returns the one of ready with the fewest ranges and, among those, the fewest keys; not the last owner of h,
// unless it is the only one.
func (g *Granter) fewest(h *holding, ready []string) string {
	type stock struct{ ranges, keys int }
	stocks := map[string]stock{}
	for _, other := range g.holdings {
		if other != h {
			s := stocks[other.Server]
			stocks[other.Server] = stock{s.ranges + 1, s.keys + other.Range.Len()}
		}
	}
	return slices.MinFunc(ready, func(a, b string) int {
		if (a == h.Server) != (b == h.Server) {
			if a == h.Server {
				return 1
			}
			return -1
		}
		if d := stocks[a].ranges - stocks[b].ranges; d != 0 {
			return d
		}
		return stocks[a].keys - stocks[b].keys
	})
}

// join makes one holding of neighbours that the same server has held for a while, so that one order renews both.
func (g *Granter) join() {
	all := g.ordered()
	slices.SortFunc(all, func(a, b *holding) int {
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
		near := a.Service == b.Service && a.Server == b.Server && int(a.Range.Last)+1 == int(b.Range.First)
		if !near || !a.settled() || !b.settled() {
			continue
		}
		b.Range.First = a.Range.First
		b.fence = g.nextFence()
		b.lapses, b.uncertain = later(a.lapses, b.lapses), later(a.uncertain, b.uncertain)
		if a.next.Before(b.next) {
			b.next = a.next
		}
		delete(g.holdings, a.id)
		delete(g.changed, a.id)
		g.changed[b.id] = true // or a change of a that was not told yet would be lost
	}
}

func (h *holding) settled() bool { return h.state == held && !h.calling && !h.failing }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CompleteGrant records the outcome of a Grant.
func (g *Granter) CompleteGrant(now time.Time, order Grant, outcome Outcome) {
	h, ok := g.holdings[order.ID]
	if !ok {
		return
	}
	h.calling = false
	if outcome == Accepted || outcome == Unanswered {
		g.extend(now, h, outcome)
	}
	if h.state != granting && h.state != held {
		return
	}
	switch outcome {
	case Accepted:
		if h.state == granting {
			h.state = held
			g.changed[h.id] = true
		}
		h.failing, h.kept, h.handover = false, false, ""
		delete(g.excluded, h.Server)
	case Fenced, NotSent, Unanswered:
		h.next = now.Add(g.settings.RetryDelay)
		if outcome == Unanswered && !h.failing {
			h.next = now // a lost answer is made up for at once
		}
		if !h.failing {
			h.failing, h.since = true, now
		}
		h.fence = g.nextFence() // the server may be a new incarnation
	}
}

func (g *Granter) extend(now time.Time, h *holding, outcome Outcome) {
	end := now.Add(g.settings.MaxLeaseLifetime())
	switch {
	case outcome == Unanswered:
		h.uncertain = later(h.uncertain, end)
	case h.kept:
		// From now on the server refuses what an earlier leader sends, but for what it has received already.
		h.lapses, h.uncertain = end, end
	default:
		h.lapses = later(h.lapses, end)
	}
}

// CompleteRelease records the outcome of a Release.
func (g *Granter) CompleteRelease(now time.Time, order Release, outcome Outcome, handover string) {
	h, ok := g.holdings[order.ID]
	if !ok || h.state != releasing {
		return
	}
	h.calling = false
	if outcome != Accepted {
		h.next = now.Add(g.settings.RetryDelay)
		if !h.failing {
			h.failing = true
			g.changed[h.id] = true // traffic is told how long the range will not be served
		}
		return
	}
	// The server has given up what it was granted, but a grant without an answer may still be carried out.
	h.lapses = time.Time{}
	h.next = h.uncertain.Add(g.settings.MaxLeaseLifetime())
	if !now.Before(h.uncertain) {
		released := origin{server: h.Server, born: g.servers[h.Server].Incarnation, released: now}
		g.free(h, handover)
		h.origin = released
		g.place(now, h)
		return
	}
	h.handover = handover
}
