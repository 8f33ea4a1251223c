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

// owned is a range that a server owns until a time.
type owned struct {
	keys  partitioner.Range
	fence uint64
	until time.Time
	warm  time.Time // from when on its keys are warm
}

// keys is what a server owns, and the highest fence that it has seen for each key. The zero keys owns nothing.
type keys struct {
	list     []owned
	fences   [partitioner.MaxKey + 1]uint64
	released int
}

// grant takes a grant that arrived at arrived. It reports false where one of the keys has seen a higher fence.
func (k *keys) grant(now, arrived time.Time, g granter.Grant, cold time.Duration) bool {
	for key := int(g.Range.First); key <= int(g.Range.Last); key++ {
		if k.fences[key] > g.Fence {
			return false
		}
	}
	for key := int(g.Range.First); key <= int(g.Range.Last); key++ {
		k.fences[key] = g.Fence
	}
	warm := now
	if g.Handover == "" {
		warm = k.warmFrom(now, g.Range, now.Add(cold))
	}
	k.drop(g.Range)
	k.list = append(k.list, owned{keys: g.Range, fence: g.Fence, until: arrived.Add(g.LeaseDuration), warm: warm})
	return true
}

// warmFrom returns from when on a range is warm that is granted without a handover: keys that the server owns already
// stay as they are.
func (k *keys) warmFrom(now time.Time, r partitioner.Range, cold time.Time) time.Time {
	for _, o := range k.list {
		if o.keys.First <= r.First && r.Last <= o.keys.Last && now.Before(o.until) {
			return o.warm
		}
	}
	return cold
}

// drop takes a range out of what is owned.
func (k *keys) drop(r partitioner.Range) {
	var kept []owned
	for _, o := range k.list {
		if !o.keys.Overlaps(r) {
			kept = append(kept, o)
			continue
		}
		if o.keys.First < r.First {
			left := o
			left.keys.Last = r.First - 1
			kept = append(kept, left)
		}
		if o.keys.Last > r.Last {
			right := o
			right.keys.First = r.Last + 1
			kept = append(kept, right)
		}
	}
	k.list = kept
}

// find returns what is owned at now that has the key.
func (k *keys) find(now time.Time, key uint16) (owned, bool) {
	for _, o := range k.list {
		if o.keys.Contains(key) && now.Before(o.until) {
			return o, true
		}
	}
	return owned{}, false
}

// Grant implements platform.OrderReceiver.
func (s *Server) Grant(g granter.Grant) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys.grant(now, now, g, s.settings.KeyWarmup)
}

// Release implements platform.OrderReceiver.
func (s *Server) Release(ctx context.Context, r granter.Release) string {
	s.mu.Lock()
	s.keys.drop(r.Range)
	s.keys.released++
	handover := s.settings.ID + "/" + strconv.Itoa(s.keys.released)
	for s.busy(r.Range) {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			breakConnection()
		}
		s.mu.Lock()
	}
	s.mu.Unlock()
	return handover
}

// busy reports whether something runs on a range. The caller holds mu.
func (s *Server) busy(r partitioner.Range) bool {
	for w := range s.running {
		if w.keyed && r.Contains(w.key) {
			return true
		}
	}
	return false
}

// lateOrders carries some orders out late, without an answer.
func (s *Server) lateOrders(orders http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.faults.take(func(f *ServerFaults) *int { return &f.LateOrders }) {
			orders.ServeHTTP(w, r)
			return
		}
		late := time.Duration(s.faults.get().LateMS) * time.Millisecond
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
		if err != nil {
			breakConnection()
		}
		copied := r.Clone(context.Background())
		copied.Body = io.NopCloser(bytes.NewReader(body))
		arrived := time.Now()
		time.AfterFunc(late, func() {
			platform.NewOrderHandler(lateOrderReceiver{Server: s, arrived: arrived}).ServeHTTP(&heldAnswer{header: http.Header{}}, copied)
		})
		breakConnection()
	})
}

// lateOrderReceiver carries orders out later than they arrived.
type lateOrderReceiver struct {
	*Server
	arrived time.Time
}

// Grant implements platform.OrderReceiver. The lease lasts from the arrival of the grant.
func (l lateOrderReceiver) Grant(g granter.Grant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys.grant(time.Now(), l.arrived, g, l.settings.KeyWarmup)
}
