package granter

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// StartMove starts to move a range, which must lie within one assignment, to nextOwner. It reports whether the
// move has started. A range is not moved while an order for it is in flight or failing, or while the lease of an unanswered
// grant may be valid.
func (g *Granter) StartMove(now time.Time, service string, r partitioner.Range, nextOwner string) bool {
	for _, o := range g.ranges {
		if g.frozen || o.Service != service || !o.stable() || o.Server == nextOwner || now.Before(o.pendingExpiry()) {
			continue
		}
		if o.Range.First <= r.First && r.Last <= o.Range.Last {
			g.startRelease(now, g.splitRange(o, r), nextOwner)
			return true
		}
	}
	return false
}

// splitRange splits o so that r has a separate ownership, and returns that. All parts keep the fence, the leases and the
// due time of o.
func (g *Granter) splitRange(o *ownership, r partitioner.Range) *ownership {
	if o.Range.First < r.First {
		left := *o
		left.Range.Last = r.First - 1
		g.addRange(&left)
	}
	if o.Range.Last > r.Last {
		right := *o
		right.Range.First = r.Last + 1
		g.addRange(&right)
	}
	o.Range = r
	g.changed[o.id] = true
	return o
}

// startRelease starts the release of a range. Its next owner is nextOwner, or chosen by planOwner if nextOwner is empty.
func (g *Granter) startRelease(now time.Time, o *ownership, nextOwner string) {
	o.state, o.nextOwner, o.nextOrderAt, o.failing, o.released, o.handover = releasing, nextOwner, now, false, false, ""
	o.confirmFailed = false
	g.changed[o.id] = true
}

// Placement is a range and the server that carries its load, or will carry it after a move in progress.
type Placement struct {
	Range   partitioner.Range
	Server  string
	Movable bool // no order or move is in progress, and no lease of an unanswered grant may be valid
}

// Placements returns the ranges of a service, except those whose next owner is not chosen yet.
func (g *Granter) Placements(now time.Time, service string) []Placement {
	var list []Placement
	for _, o := range g.sortedRanges() {
		server := o.Server
		if o.state == releasing || o.state == free {
			server = o.nextOwner
		}
		if o.Service == service && server != "" {
			list = append(list, Placement{
				Range: o.Range, Server: server, Movable: o.stable() && !now.Before(o.pendingExpiry()),
			})
		}
	}
	return list
}

// KeysWait reports whether the next leader would probably serve some keys later than this one: an order to their owner fails, they
// are about to be released or move, or the leases of an earlier owner have not expired. Keys without an assignable server don't
// count.
func (g *Granter) KeysWait(now time.Time) bool {
	for _, o := range g.ranges {
		switch o.state {
		case releasing, planned:
			return true
		case free:
			if now.Before(o.latestExpiry()) {
				return true
			}
		case granting, granted:
			if s, known := g.servers[o.Server]; o.failing || !known || s.State != cataloger.Ready {
				return true
			}
		}
	}
	return false
}

// UngrantedRanges returns the number of ranges of a service that are not granted: those that move, that have no owner, or
// whose owner has not answered this leader's first grant yet.
func (g *Granter) UngrantedRanges(service string) int {
	count := 0
	for _, o := range g.ranges {
		if o.Service == service && o.state != granted {
			count++
		}
	}
	return count
}
