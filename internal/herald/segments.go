// Package herald holds the messages between entry instances on the platform, and the records that leaders keep in its
// store.
package herald

import (
	"slices"

	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// EncodeSegments returns the message form of segments, which refer to their services by index, and the names of these
// services.
func EncodeSegments(segments []partitioner.Segment) (services []string, encoded []*Segment) {
	for _, s := range segments {
		index := slices.Index(services, s.Service)
		if index < 0 {
			index = len(services)
			services = append(services, s.Service)
		}
		encoded = append(encoded, &Segment{
			Service: uint32(index), First: uint32(s.Range.First), Last: uint32(s.Range.Last), Server: s.Server,
			Moving: s.Moving, PauseMs: s.PauseMS,
		})
	}
	return services, encoded
}

// DecodeSegments is the inverse of EncodeSegments, but for PausedUntil, which is not sent. Segments with an invalid range
// or an index without a service are skipped.
func DecodeSegments(services []string, encoded []*Segment) []partitioner.Segment {
	var segments []partitioner.Segment
	for _, s := range encoded {
		if int(s.GetService()) >= len(services) || s.GetFirst() > s.GetLast() || s.GetLast() > partitioner.MaxKey {
			continue
		}
		segments = append(segments, partitioner.Segment{
			Service: services[s.GetService()], Server: s.GetServer(), Moving: s.GetMoving(), PauseMS: s.GetPauseMs(),
			Range: partitioner.Range{First: uint16(s.GetFirst()), Last: uint16(s.GetLast())},
		})
	}
	return segments
}
