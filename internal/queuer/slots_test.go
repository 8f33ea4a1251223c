package queuer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/pacer"
)

// TestManySlotsTakeLittleMemory guards against an instance that runs out of memory because a registration, perhaps one of another writer,
// names many slots, and against memory for learned limits where these are off.
func TestManySlotsTakeLittleMemory(t *testing.T) {
	tests := map[string]struct {
		slots    int
		adaptive bool
		paced    bool
	}{
		"limits are off":             {slots: 6},
		"limits are off, many slots": {slots: 1 << 16},
		"limits":                     {slots: 6, adaptive: true, paced: true},
		"limits, many slots":         {slots: 1 << 16, adaptive: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			q := New(&ServiceTimes{}, Settings{AdaptiveLimits: test.adaptive})
			q.SetServers(now, []Server{{ID: "s", Slots: test.slots}})
			is.Equal(q.Offer(now, Request{Class: "c", Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}), Start{Server: "s"})
			q.Done(now.Add(100*time.Millisecond), "s", "c", Answered, 100*time.Millisecond)
			state, ok := q.ServerState("s")
			is.True(ok)
			is.Equal(state.Slots, test.slots)
			is.Equal(state.Limit, test.slots)
			var none pacer.Pacer
			is.Equal(q.servers[0].pacer.Learned() != none.Learned(), test.paced)
		})
	}
}
