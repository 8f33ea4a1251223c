package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/platform"
)

// lease is a server's right to a key range until it expires.
type lease struct {
	keys      partitioner.Range
	fence     uint64
	expiry    time.Time
	warmupEnd time.Time // end of the key warm-up
}

// leaseTable holds a server's leases and the highest fence that it has accepted for each key. The zero value has no
// leases.
type leaseTable struct {
	list          []lease
	highestFences [partitioner.MaxKey + 1]uint64
	releases      int // number of releases so far; makes handover tokens distinct
}

// grant applies a grant at now, which arrived at arrived; the two differ for late orders. The lease duration counts from the
// arrival. It reports false if a higher fence was accepted for one of the keys. Without a handover, keys that the server
// does not own yet are slower for keyWarmup.
func (t *leaseTable) grant(now, arrived time.Time, g granter.Grant, keyWarmup time.Duration) bool {
	for key := int(g.Range.First); key <= int(g.Range.Last); key++ {
		if t.highestFences[key] > g.Fence {
			return false
		}
	}
	for key := int(g.Range.First); key <= int(g.Range.Last); key++ {
		t.highestFences[key] = g.Fence
	}
	warmupEnd := now
	if g.Handover == "" {
		warmupEnd = t.warmupEnd(now, g.Range, now.Add(keyWarmup))
	}
	t.removeRange(g.Range)
	t.list = append(t.list, lease{keys: g.Range, fence: g.Fence, expiry: arrived.Add(g.LeaseDuration), warmupEnd: warmupEnd})
	return true
}

// warmupEnd returns the end of the key warm-up for a range that is granted without a handover: newEnd, or the end that
// is already known if the server owns the whole range under one lease, because a renewal doesn't restart the warm-up.
func (t *leaseTable) warmupEnd(now time.Time, r partitioner.Range, newEnd time.Time) time.Time {
	for _, l := range t.list {
		if l.keys.First <= r.First && r.Last <= l.keys.Last && now.Before(l.expiry) {
			return l.warmupEnd
		}
	}
	return newEnd
}

// removeRange removes a range from the leases, and shortens or splits those that overlap it.
func (t *leaseTable) removeRange(r partitioner.Range) {
	var kept []lease
	for _, l := range t.list {
		if !l.keys.Overlaps(r) {
			kept = append(kept, l)
			continue
		}
		if l.keys.First < r.First {
			left := l
			left.keys.Last = r.First - 1
			kept = append(kept, left)
		}
		if l.keys.Last > r.Last {
			right := l
			right.keys.First = r.Last + 1
			kept = append(kept, right)
		}
	}
	t.list = kept
}

// find returns the lease that contains the key and has not expired at now.
func (t *leaseTable) find(now time.Time, key uint16) (lease, bool) {
	for _, l := range t.list {
		if l.keys.Contains(key) && now.Before(l.expiry) {
			return l, true
		}
	}
	return lease{}, false
}

// Grant implements platform.OrderReceiver.
func (s *Server) Grant(g granter.Grant) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.grant(now, now, g, s.settings.KeyWarmup)
}

// Release implements platform.OrderReceiver. It removes the range from the leases, waits until no execution runs on it, and
// returns the handover token for the next owner. It does not check the fence.
func (s *Server) Release(ctx context.Context, r granter.Release) string {
	s.mu.Lock()
	s.leases.removeRange(r.Range)
	s.leases.releases++
	handover := s.settings.ID + "/" + strconv.Itoa(s.leases.releases)
	for s.anyRunning(r.Range) {
		ended := s.executionEnded
		s.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			abortConnection()
		}
		s.mu.Lock()
	}
	s.mu.Unlock()
	return handover
}

// anyRunning reports whether an execution is running on a key of the range. The caller holds mu.
func (s *Server) anyRunning(r partitioner.Range) bool {
	for j := range s.running {
		if j.keyed && r.Contains(j.key) {
			return true
		}
	}
	return false
}

// withLateOrders wraps the handler of orders (grants and releases) with the fault LateOrders.
func (s *Server) withLateOrders(orders http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.faults.consume(func(f *ServerFaults) *int { return &f.LateOrders }) {
			orders.ServeHTTP(w, r)
			return
		}
		delay := time.Duration(s.faults.get().LateMS) * time.Millisecond
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
		if err != nil {
			abortConnection()
		}
		// The order is applied after the request has ended, so it needs its own context and body.
		clone := r.Clone(context.Background())
		clone.Body = io.NopCloser(bytes.NewReader(body))
		arrived := time.Now()
		time.AfterFunc(delay, func() {
			platform.NewOrderHandler(lateOrderReceiver{Server: s, arrived: arrived}).
				ServeHTTP(&bufferedAnswer{header: http.Header{}}, clone)
		})
		abortConnection()
	})
}

// lateOrderReceiver applies orders that arrived earlier.
type lateOrderReceiver struct {
	*Server
	arrived time.Time
}

// Grant implements platform.OrderReceiver. The lease duration counts from the arrival of the grant.
func (l lateOrderReceiver) Grant(g granter.Grant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leases.grant(time.Now(), l.arrived, g, l.settings.KeyWarmup)
}
