// Package partitioner maps ranges of the shard keys of services to the backend servers that own them, and marks ranges that
// no server serves for now. Ranges hold the keys as they are sent, without hashing.
package partitioner

import (
	"fmt"
	"slices"
	"time"
)

// MaxKey is the largest key. The smallest is 0.
const MaxKey = 1<<16 - 1

// Range is the range of keys from First to Last, both inclusive.
type Range struct {
	First, Last uint16
}

// Contains reports whether key is in r.
func (r Range) Contains(key uint16) bool { return r.First <= key && key <= r.Last }

// Len returns the number of keys in r.
func (r Range) Len() int { return int(r.Last) - int(r.First) + 1 }

// Overlaps reports whether r and other have a key in common.
func (r Range) Overlaps(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// String implements fmt.Stringer.
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.First, r.Last) }

// Segment is a range of a service's keys and the server that owns it, if any, as instances route by it.
type Segment struct {
	Service string
	Range   Range
	Server  string // id of the owner; while Moving that of the previous or next owner, or empty
	Moving  bool   // no server serves the range for now, whether or not it is part of a move; named as on the wire
	// PauseMS is the time in milliseconds, from the publication of the segment, after which a range that is Moving is
	// expected to be served again. 0 means unknown or soon.
	PauseMS uint32
	// PausedUntil is the end of that time by this instance's clock. It is zero if PauseMS is 0, and is not sent to other
	// instances.
	PausedUntil time.Time
}

// SetPausedUntil sets PausedUntil to now plus PauseMS in each segment whose PauseMS is not 0.
func SetPausedUntil(now time.Time, segments []Segment) {
	for i := range segments {
		if pause := segments[i].PauseMS; pause > 0 {
			segments[i].PausedUntil = now.Add(time.Duration(pause) * time.Millisecond)
		}
	}
}

// Version is the version of an owner map. It orders owner maps by the term of the leader that published them, then by a
// sequence number that grows with each change.
type Version struct {
	Term, Sequence uint64
}

// Less reports whether v is older than other.
func (v Version) Less(other Version) bool {
	if v.Term != other.Term {
		return v.Term < other.Term
	}
	return v.Sequence < other.Sequence
}

// Map is the owner map: an immutable mapping of keys to the servers that own them. A nil Map is empty.
type Map struct {
	version  Version
	services map[string][]Segment // by service; sorted by keys, without overlaps
}

// Version returns the owner map version of m. That of a nil Map is zero.
func (m *Map) Version() Version {
	if m == nil {
		return Version{}
	}
	return m.version
}

// Find returns the segment of a service that contains key, or false if there is none.
func (m *Map) Find(service string, key uint16) (Segment, bool) {
	if m == nil {
		return Segment{}, false
	}
	list := m.services[service]
	i, _ := slices.BinarySearchFunc(list, key, func(s Segment, key uint16) int { return int(s.Range.Last) - int(key) })
	if i == len(list) || !list[i].Range.Contains(key) {
		return Segment{}, false
	}
	return list[i], true
}

// Segments returns all segments of a service, sorted by keys. The caller must not modify them.
func (m *Map) Segments(service string) []Segment {
	if m == nil {
		return nil
	}
	return m.services[service]
}

// All returns all segments, grouped by service in no particular order.
func (m *Map) All() []Segment {
	if m == nil {
		return nil
	}
	var all []Segment
	for _, list := range m.services {
		all = append(all, list...)
	}
	return all
}

// SameRouting reports whether the map routes requests for the whole range of s in the same way as s: to the same owner
// or, while the range is Moving, with the same PauseMS, whenever it was published. It may report false if several segments
// cover the range.
func (m *Map) SameRouting(s Segment) bool {
	have, ok := m.Find(s.Service, s.Range.First)
	if !ok || have.Range.Last < s.Range.Last || have.Moving != s.Moving {
		return false
	}
	if s.Moving {
		return have.PauseMS == s.PauseMS
	}
	return have.Server == s.Server
}

// With returns a copy of the map in which the changed segments replace what they overlap. If changed segments overlap each
// other, the later ones win.
func (m *Map) With(version Version, changed []Segment) *Map {
	next := &Map{version: version, services: map[string][]Segment{}}
	if m != nil {
		for service, list := range m.services {
			next.services[service] = list
		}
	}
	byService := map[string][]Segment{}
	for _, s := range changed {
		byService[s.Service] = append(byService[s.Service], s)
	}
	for service, list := range byService {
		next.services[service] = overlay(next.services[service], withoutOverlaps(list))
	}
	return next
}

// withoutOverlaps returns the changed segments sorted by keys. Where they overlap, the later one remains.
func withoutOverlaps(changed []Segment) []Segment {
	sorted := slices.SortedFunc(slices.Values(changed), func(a, b Segment) int {
		return int(a.Range.First) - int(b.Range.First)
	})
	for i := 1; i < len(sorted); i++ {
		if sorted[i].Range.Overlaps(sorted[i-1].Range) {
			var latest []Segment
			for _, s := range changed {
				latest = overlay(latest, []Segment{s})
			}
			return latest
		}
	}
	return sorted
}

// overlay returns a new list in which the changed segments, which must be sorted by keys and not overlap each other, replace
// what they overlap. Adjacent segments that differ only in range are merged.
func overlay(list, changed []Segment) []Segment {
	out := make([]Segment, 0, len(list)+2*len(changed))
	var old Segment // list[i], without the keys that were replaced
	i := -1
	advance := func() {
		if i++; i < len(list) {
			old = list[i]
		}
	}
	advance()
	for _, s := range changed {
		for ; i < len(list) && old.Range.Last < s.Range.First; advance() {
			out = appendMerged(out, old)
		}
		if i < len(list) && old.Range.First < s.Range.First {
			left := old
			left.Range.Last = s.Range.First - 1
			out = appendMerged(out, left)
		}
		out = appendMerged(out, s)
		for i < len(list) && old.Range.Last <= s.Range.Last {
			advance()
		}
		if i < len(list) && old.Range.First <= s.Range.Last {
			old.Range.First = s.Range.Last + 1
		}
	}
	for ; i < len(list); advance() {
		out = appendMerged(out, old)
	}
	return out
}

// appendMerged appends s to list, or extends the last segment if s follows it directly and differs only in range.
func appendMerged(list []Segment, s Segment) []Segment {
	if len(list) > 0 {
		last := &list[len(list)-1]
		sameExceptRange := last.Server == s.Server && last.Moving == s.Moving && last.PauseMS == s.PauseMS &&
			last.PausedUntil.Equal(s.PausedUntil)
		if sameExceptRange && int(last.Range.Last)+1 == int(s.Range.First) {
			last.Range.Last = s.Range.Last
			return list
		}
	}
	return append(list, s)
}

// Divide returns count adjacent ranges of nearly equal length that cover all keys.
func Divide(count int) []Range {
	ranges := make([]Range, 0, count)
	for i := range count {
		first := i * (MaxKey + 1) / count
		last := (i+1)*(MaxKey+1)/count - 1
		ranges = append(ranges, Range{First: uint16(first), Last: uint16(last)})
	}
	return ranges
}
