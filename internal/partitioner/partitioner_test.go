package partitioner

import (
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
