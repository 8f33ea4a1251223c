package granter

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// ChangedSegments returns the segments that have changed since the last call.
func (g *Granter) ChangedSegments(now time.Time) []partitioner.Segment {
	if len(g.changed) == 0 {
		return nil
	}
	var segments []partitioner.Segment
	for _, o := range g.sortedRanges() {
		if g.changed[o.id] {
			segments = append(segments, g.segment(now, o))
		}
	}
	clear(g.changed)
	return segments
}

// Segments returns the segments of all ranges.
func (g *Granter) Segments(now time.Time) []partitioner.Segment {
	var segments []partitioner.Segment
	for _, o := range g.sortedRanges() {
		segments = append(segments, g.segment(now, o))
	}
	return segments
}

// segment returns the segment of a range for the owner map.
func (g *Granter) segment(now time.Time, o *ownership) partitioner.Segment {
	s := partitioner.Segment{Service: o.Service, Range: o.Range, Server: o.Server}
	lost := g.ownerLost(o)
	s.Moving = o.state != granted && !(o.state == granting && o.inherited) || lost
	// Other pauses are short or of unknown length.
	if (o.state == releasing && (o.failing || o.released)) || o.state == planned || lost {
		s.PauseMS = uint32(max(0, g.pauseEnd(o).Sub(now).Milliseconds()))
	}
	return s
}

// pauseEnd returns the earliest time at which a range that is not served can be granted.
func (g *Granter) pauseEnd(o *ownership) time.Time {
	end := o.latestExpiry()
	if at, expected := g.endExpected[o.Server]; expected && o.mayHaveLease() && o.Incarnation != 0 && at.Before(end) {
		return at
	}
	return end
}

// ownerLost reports whether no instance can send requests for a range to its owner, which is not registered, or gone, and does not
// accept grants either. Until a grant has failed, the range may be released and served again within milliseconds.
func (g *Granter) ownerLost(o *ownership) bool {
	return o.failing && (o.state == granting || o.state == granted) && !g.takesRequests(o.Server)
}

// takesRequests reports whether instances send requests for keys to a server: it is registered and not gone.
func (g *Granter) takesRequests(server string) bool {
	s, known := g.servers[server]
	return known && s.State != cataloger.Gone
}
