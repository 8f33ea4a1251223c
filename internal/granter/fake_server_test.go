package granter

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// serverLease is a lease as a server records it.
type serverLease struct {
	keys   partitioner.Range
	fence  uint64
	expiry time.Time
}

// fakeServer is a simulated backend server with its leases and fences. Its clock runs slow by slowClockPercent.
type fakeServer struct {
	registration      cataloger.Server
	up                bool
	losesAnswers      bool // applies orders (a release half of the time), but its answers do not arrive
	appliesGrantsLate bool // applies grants after grantDelay and releases never, and answers neither
	repeatsAnswers    bool // answers grants by a copy of an earlier answer, unless they are confirmed, and applies them after grantDelay
	leases            []serverLease
	highestFences     map[int]uint64 // highest fence by checked key
	lateGrants        []lateGrant
}

// grantDelay is the time after which a server with appliesGrantsLate or repeatsAnswers applies a grant: longer than the timeout of a grant,
// shorter than a range lease.
const grantDelay = 2500 * time.Millisecond

// slowClockPercent is by how many percent the servers' clocks run slow, the most that the platform's rules allow. It is
// independent of maxClockErrorPercent, so that a smaller value there is not copied here.
const slowClockPercent = 2

// lateGrant is a grant that has reached its server at arrivedAt and is applied at applyAt.
type lateGrant struct {
	applyAt, arrivedAt time.Time
	grant              Grant
}

// applyGrant applies a grant that arrived at arrivedAt. It returns false if a higher fence was seen.
func (s *fakeServer) applyGrant(now, arrivedAt time.Time, g Grant, comparesFences bool) bool {
	for i := range checkedKeyCount {
		if g.Range.Contains(checkedKey(i)) && s.highestFences[i] > g.Fence && comparesFences {
			return false
		}
	}
	for i := range checkedKeyCount {
		if g.Range.Contains(checkedKey(i)) {
			s.highestFences[i] = max(s.highestFences[i], g.Fence)
		}
	}
	s.removeRange(g.Range)
	if expiry := arrivedAt.Add(g.LeaseDuration + g.LeaseDuration*slowClockPercent/100); expiry.After(now) {
		s.leases = append(s.leases, serverLease{keys: g.Range, fence: g.Fence, expiry: expiry})
	}
	return true
}

// removeRange removes a range from the server's leases.
func (s *fakeServer) removeRange(r partitioner.Range) {
	var remaining []serverLease
	for _, lease := range s.leases {
		if !lease.keys.Overlaps(r) {
			remaining = append(remaining, lease)
			continue
		}
		if lease.keys.First < r.First {
			left := lease
			left.keys.Last = r.First - 1
			remaining = append(remaining, left)
		}
		if lease.keys.Last > r.Last {
			right := lease
			right.keys.First = r.Last + 1
			remaining = append(remaining, right)
		}
	}
	s.leases = remaining
}

// owns reports whether the server is up and has a lease of key that has not expired.
func (s *fakeServer) owns(now time.Time, key uint16) bool {
	return s.up && slices.ContainsFunc(s.leases, func(lease serverLease) bool {
		return lease.keys.Contains(key) && now.Before(lease.expiry)
	})
}
