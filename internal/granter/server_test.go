package granter

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// ownership is a grant at a server.
type ownership struct {
	r     partitioner.Range
	fence uint64
	until time.Time
}

// fakeServer keeps what a backend server keeps. Its clock runs 2 % slow.
type fakeServer struct {
	entry cataloger.Server
	up    bool
	mute  bool // takes orders, but its answers do not arrive
	slow  bool // takes grants when slowBy has passed, without an answer, and no releases
	held  []ownership
	seen  map[int]uint64 // highest fence by checked key
	late  []lateGrant
}

// slowBy is how late a slow server takes grants.
const slowBy = 2500 * time.Millisecond

type lateGrant struct {
	at, arrived time.Time
	grant       Grant
}

func checkedKey(i int) uint16 { return uint16(i * (partitioner.MaxKey + 1) / checked) }

// take carries out a grant that arrived at arrived.
func (s *fakeServer) take(now, arrived time.Time, g Grant, checks bool) bool {
	for i := range checked {
		if g.Range.Contains(checkedKey(i)) && s.seen[i] > g.Fence && checks {
			return false
		}
	}
	for i := range checked {
		if g.Range.Contains(checkedKey(i)) {
			s.seen[i] = max(s.seen[i], g.Fence)
		}
	}
	s.drop(g.Range)
	if until := arrived.Add(g.LeaseDuration + g.LeaseDuration*2/100); until.After(now) {
		s.held = append(s.held, ownership{r: g.Range, fence: g.Fence, until: until})
	}
	return true
}

// drop takes a range out of what the server holds.
func (s *fakeServer) drop(r partitioner.Range) {
	var kept []ownership
	for _, h := range s.held {
		if !h.r.Overlaps(r) {
			kept = append(kept, h)
			continue
		}
		if h.r.First < r.First {
			left := h
			left.r.Last = r.First - 1
			kept = append(kept, left)
		}
		if h.r.Last > r.Last {
			right := h
			right.r.First = r.Last + 1
			kept = append(kept, right)
		}
	}
	s.held = kept
}

func (s *fakeServer) owns(now time.Time, key uint16) bool {
	return s.up && slices.ContainsFunc(s.held, func(h ownership) bool { return h.r.Contains(key) && now.Before(h.until) })
}
