// Package partitioner maps the keys of services, in ranges of raw keys, to the backend servers that own them.
package partitioner

import (
	"fmt"
	"slices"
	"time"
)

// MaxKey is the largest key.
const MaxKey = 1<<16 - 1

// Range is the keys from First to Last, both included.
type Range struct {
	First, Last uint16
}

// Contains reports whether key is in r.
func (r Range) Contains(key uint16) bool { return r.First <= key && key <= r.Last }

// Len returns the number of keys in r.
func (r Range) Len() int { return int(r.Last) - int(r.First) + 1 }

// Overlaps reports whether r and other share a key.
func (r Range) Overlaps(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// String implements fmt.Stringer.
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.First, r.Last) }

// Segment says who owns a range of a service's keys.
type Segment struct {
	Service string
	Range   Range
	Server  string // empty while nobody owns the range
	Moving  bool   // the owner does not serve the range at present
	// PauseMS is how many milliseconds after its publication a range that is Moving is expected to be served again; 0 is
	// unknown or soon.
	PauseMS uint32
	// PausedUntil is when that is by this instance's clock; zero where PauseMS is 0. It is not sent to others.
	PausedUntil time.Time
}

// SetPausedUntil sets PausedUntil of the segments that have a PauseMS, counted from now.
func SetPausedUntil(now time.Time, segments []Segment) {
	for i := range segments {
		if pause := segments[i].PauseMS; pause > 0 {
			segments[i].PausedUntil = now.Add(time.Duration(pause) * time.Millisecond)
		}
	}
}

// Version orders maps: by the term of the instance that published them, then by its count of changes.
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

// Map is an immutable map of keys to owners. A nil Map is empty.
type Map struct {
	version  Version
	services map[string][]Segment // in order of keys, without overlaps
}

// Version returns the version of the map.
func (m *Map) Version() Version {
	if m == nil {
		return Version{}
	}
	return m.version
}

// Find returns the segment of a key; ok is false where the map has none.
func (m *Map) Find(service string, key uint16) (Segment, bool) {
	if m == nil {
		return Segment{}, false
	}
	list := m.services[service]
	at, _ := slices.BinarySearchFunc(list, key, func(s Segment, key uint16) int { return int(s.Range.Last) - int(key) })
	if at == len(list) || !list[at].Range.Contains(key) {
		return Segment{}, false
	}
	return list[at], true
}

// Segments returns all segments of a service in order of keys. The caller must not change them.
func (m *Map) Segments(service string) []Segment {
	if m == nil {
		return nil
	}
	return m.services[service]
}

// All returns all segments, service by service.
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

// SameRouting reports whether requests for the whole range of s are routed by the map as s says: to the same owner, or
// held back for as long while the range is between two owners.
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

// With returns a map in which the changed segments replace what they overlap.
func (m *Map) With(version Version, changed []Segment) *Map {
	next := &Map{version: version, services: map[string][]Segment{}}
	if m != nil {
		for service, list := range m.services {
			next.services[service] = list
		}
	}
	for _, s := range changed {
		next.services[s.Service] = overlay(next.services[s.Service], s)
	}
	return next
}

// overlay returns a new list in which s replaces what it overlaps, joined with equal neighbours.
func overlay(list []Segment, s Segment) []Segment {
	var out []Segment
	placed := false
	place := func() {
		if !placed {
			placed = true
			out = appendJoined(out, s)
		}
	}
	for _, old := range list {
		if old.Range.Last < s.Range.First {
			out = appendJoined(out, old)
			continue
		}
		if old.Range.First < s.Range.First {
			left := old
			left.Range.Last = s.Range.First - 1
			out = appendJoined(out, left)
		}
		if old.Range.First > s.Range.Last {
			place()
			out = appendJoined(out, old)
			continue
		}
		if old.Range.Last > s.Range.Last {
			place()
			right := old
			right.Range.First = s.Range.Last + 1
			out = appendJoined(out, right)
		}
	}
	place()
	return out
}

func appendJoined(list []Segment, s Segment) []Segment {
	if len(list) > 0 {
		last := &list[len(list)-1]
		same := last.Server == s.Server && last.Moving == s.Moving && last.PauseMS == s.PauseMS && last.PausedUntil.Equal(s.PausedUntil)
		if same && int(last.Range.Last)+1 == int(s.Range.First) {
			last.Range.Last = s.Range.Last
			return list
		}
	}
	return append(list, s)
}

// Divide returns count ranges of nearly equal length that cover all keys.
func Divide(count int) []Range {
	ranges := make([]Range, 0, count)
	for i := range count {
		first := i * (MaxKey + 1) / count
		last := (i+1)*(MaxKey+1)/count - 1
		ranges = append(ranges, Range{First: uint16(first), Last: uint16(last)})
	}
	return ranges
}
