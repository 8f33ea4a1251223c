package assigner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestIsolate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 1, 0, 0, time.UTC)
	tests := map[string]struct {
		in   IsolateInput
		want Isolation
	}{
		"nothing": {},
		"the heaviest first": {
			in:   IsolateInput{Hot: []HeavyKey{{Key: "a", Load: 1}, {Key: "b", Load: 2}}, Pins: 1},
			want: Isolation{Pin: []string{"b"}},
		},
		"a pinned key stays while it is hot": {
			in: IsolateInput{Hot: []HeavyKey{{Key: "a", Load: 1}}, Pinned: []PinnedKey{{Key: "a"}}},
		},
		"a cool key returns after the hold": {
			in: IsolateInput{Pinned: []PinnedKey{
				{Key: "old", Since: now.Add(-DefaultHold)},
				{Key: "new", Since: now.Add(-DefaultHold + 1)},
			}},
			want: Isolation{Unpin: []string{"old"}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Isolate(tt.in, now), tt.want)
		})
	}
}
