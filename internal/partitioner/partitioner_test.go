package partitioner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func segment(first, last uint16, server string) Segment {
	return Segment{Service: "desk", Range: Range{First: first, Last: last}, Server: server}
}

// TestWith guards against segments that overlap, are lost or stay unmerged after changes.
func TestWith(t *testing.T) {
	tests := map[string]struct {
		changes []Segment
		want    []Segment
	}{
		"no changes": {},
		"all keys": {
			changes: []Segment{segment(0, MaxKey, "a")},
			want:    []Segment{segment(0, MaxKey, "a")},
		},
		"splits a segment": {
			changes: []Segment{segment(0, 9, "a"), segment(3, 5, "b")},
			want:    []Segment{segment(0, 2, "a"), segment(3, 5, "b"), segment(6, 9, "a")},
		},
		"merges with both neighbours": {
			changes: []Segment{segment(0, 9, "a"), segment(3, 5, "b"), segment(3, 5, "a")},
			want:    []Segment{segment(0, 9, "a")},
		},
		"overlaps two segments": {
			changes: []Segment{segment(0, 4, "a"), segment(5, 9, "b"), segment(3, 6, "c")},
			want:    []Segment{segment(0, 2, "a"), segment(3, 6, "c"), segment(7, 9, "b")},
		},
		"lower keys after higher ones": {
			changes: []Segment{segment(5, 9, "a"), segment(0, 4, "b")},
			want:    []Segment{segment(0, 4, "b"), segment(5, 9, "a")},
		},
		"replaces all segments": {
			changes: []Segment{segment(0, 4, "a"), segment(5, 9, "b"), segment(0, 9, "c")},
			want:    []Segment{segment(0, 9, "c")},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := (*Map)(nil).With(Version{Term: 1}, test.changes)
			is.Equal(m.Segments("desk"), test.want)
		})
	}
}

// TestWithMatchesOwnerPerKey compares random changes of the map with an array that has one owner per key. It guards
// against keys that get a wrong owner when segments are split or merged.
func TestWithMatchesOwnerPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m *Map
		var owners [MaxKey + 1]string
		for i := range rapid.IntRange(0, 30).Draw(t, "changes") {
			first := rapid.Uint16().Draw(t, "first")
			last := rapid.Uint16Range(first, MaxKey).Draw(t, "last")
			server := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
			m = m.With(Version{Sequence: uint64(i)}, []Segment{segment(first, last, server)})
			for key := int(first); key <= int(last); key++ {
				owners[key] = server
			}
		}
		for key := range owners {
			if s, ok := m.Find("desk", uint16(key)); ok != (owners[key] != "") || s.Server != owners[key] {
				t.Fatalf("key %d: %q instead of %q", key, s.Server, owners[key])
			}
		}
	})
}

// TestWithManyChangesMatchesOneByOne compares changes that come together with the same changes one by one. It guards against
// a batch in which an earlier change wins, or that loses keys.
func TestWithManyChangesMatchesOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lastKey = 99
		drawChanges := func(label string) []Segment {
			return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Segment {
				first := rapid.Uint16Range(0, lastKey).Draw(t, "first")
				last := rapid.Uint16Range(first, min(lastKey, first+rapid.Uint16Range(0, 30).Draw(t, "length"))).Draw(t, "last")
				s := segment(first, last, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"))
				s.Service = rapid.SampledFrom([]string{"desk", "shelf"}).Draw(t, "service")
				return s
			}), 0, 12).Draw(t, label)
		}
		before := (*Map)(nil).With(Version{Sequence: 1}, drawChanges("before"))
		changes := drawChanges("changes")
		oneByOne := before
		for _, s := range changes {
			oneByOne = oneByOne.With(Version{Sequence: 2}, []Segment{s})
		}
		together := before.With(Version{Sequence: 2}, changes)
		for _, service := range []string{"desk", "shelf"} {
			for key := range uint16(lastKey + 1) {
				want, wantFound := oneByOne.Find(service, key)
				got, found := together.Find(service, key)
				if found != wantFound || got.Server != want.Server {
					t.Fatalf("%s, key %d: %q instead of %q", service, key, got.Server, want.Server)
				}
			}
			for i, s := range together.Segments(service) {
				if i > 0 && s.Range.First <= together.Segments(service)[i-1].Range.Last {
					t.Fatalf("%s: segments overlap or are out of order at %s", service, s.Range)
				}
			}
		}
	})
}

// BenchmarkWith applies a whole owner map, and a publication of many changes, at the size of hundreds of machines.
func BenchmarkWith(b *testing.B) {
	all := make([]Segment, 0, 1400)
	for i, r := range Divide(cap(all)) {
		all = append(all, segment(r.First, r.Last, fmt.Sprintf("server-%d", i%700)))
	}
	var changed []Segment
	for i := 0; i < len(all); i += 20 {
		changed = append(changed, segment(all[i].Range.First, all[i].Range.Last, "other"))
	}
	m := (*Map)(nil).With(Version{}, all)
	b.Run("whole map", func(b *testing.B) {
		for range b.N {
			(*Map)(nil).With(Version{}, all)
		}
	})
	b.Run("70 changes", func(b *testing.B) {
		for range b.N {
			m.With(Version{}, changed)
		}
	})
}

// TestDivide guards against keys that are in no range or in two.
func TestDivide(t *testing.T) {
	for _, count := range []int{1, 3, 16, 215} {
		is := is.New(t)
		ranges := Divide(count)
		is.Equal(len(ranges), count)
		next := 0
		for _, r := range ranges {
			is.Equal(int(r.First), next)
			next = int(r.Last) + 1
		}
		is.Equal(next, MaxKey+1)
	}
}

// TestVersionsAreOrderedByTermFirst guards against the owner map of a previous leader that replaces a newer one.
func TestVersionsAreOrderedByTermFirst(t *testing.T) {
	is := is.New(t)
	is.True(Version{Term: 1, Sequence: 9}.Less(Version{Term: 2, Sequence: 1}))
	is.True(Version{Term: 2, Sequence: 1}.Less(Version{Term: 2, Sequence: 2}))
	is.True(!Version{Term: 2, Sequence: 2}.Less(Version{Term: 2, Sequence: 2}))
}

// TestSameRouting guards against changes that are not published although they change the routing, and against needless
// publications.
func TestSameRouting(t *testing.T) {
	moving := segment(10, 19, "b")
	moving.Moving = true
	m := (*Map)(nil).With(Version{}, []Segment{segment(0, 9, "a"), moving})
	otherServer := moving
	otherServer.Server = "c"
	paused := moving
	paused.PauseMS = 500
	tests := map[string]struct {
		segment Segment
		want    bool
	}{
		"same":                  {segment: segment(0, 9, "a"), want: true},
		"part of a segment":     {segment: segment(3, 5, "a"), want: true},
		"other owner":           {segment: segment(3, 5, "b")},
		"overlaps two segments": {segment: segment(5, 12, "a")},
		"moving, other server":  {segment: otherServer, want: true},
		"moving, other pause":   {segment: paused},
		"no longer moving":      {segment: segment(10, 19, "b")},
		"not in the map":        {segment: segment(20, 29, "a")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(m.SameRouting(test.segment), test.want)
		})
	}
}
