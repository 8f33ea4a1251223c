package granter

import (
	"time"

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
	s.Moving = o.state != granted && !(o.state == granting && o.inherited)
	// Other pauses are short or of unknown length.
	if (o.state == releasing && (o.failing || o.released)) || o.state == planned {
		s.PauseMS = uint32(max(0, o.latestExpiry().Sub(now).Milliseconds()))
	}
	return s
}
