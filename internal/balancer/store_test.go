package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// TestMovesWhileStoreIsSlow guards against servers that keep keys whose requests they can't answer because the store is slow, against
// moves that lose more requests than they gain, and against many ranges without an owner if the store stops answering.
func TestMovesWhileStoreIsSlow(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		callTime    time.Duration
		busy, other float64       // requests a second of the first server, and of each of the others
		capacity    float64       // of the first server; 4 of the others
		service     time.Duration // 200 ms and a capacity of 4 are 20 requests a second
		ungranted   int
		want        int
	}{
		"fast store, busy":               {callTime: 4 * ms, busy: 13, other: 5, capacity: 4, service: 200 * ms, want: 1},
		"fast store, nothing measured":   {callTime: 4 * ms, busy: 13, other: 5, capacity: 4, want: 1},
		"slow store, has free slots":     {callTime: 200 * ms, busy: 13, other: 5, capacity: 4, service: 200 * ms},
		"slow store, a little too busy":  {callTime: 250 * ms, busy: 7.3, other: 7, capacity: 2, service: 200 * ms},
		"slow store, others are busy":    {callTime: 250 * ms, busy: 18, other: 10, capacity: 4, service: 200 * ms},
		"slow store, all overloaded":     {callTime: 300 * ms, busy: 100, other: 40, capacity: 4, service: 200 * ms},
		"slow store, twice the load":     {callTime: 300 * ms, busy: 10, other: 8, capacity: 1, service: 200 * ms, want: 1},
		"very slow store":                {callTime: 501 * ms, busy: 10, other: 8, capacity: 1, service: 200 * ms},
		"store does not answer":          {callTime: 5 * time.Second, busy: 10, other: 8, capacity: 1, service: 200 * ms},
		"slow store, nothing measured":   {callTime: 300 * ms, busy: 10, other: 8, capacity: 1},
		"slow store, four ranges moving": {callTime: 300 * ms, busy: 10, other: 8, capacity: 1, service: 200 * ms, ungranted: 4},
		"fast store, four ranges moving": {callTime: 4 * ms, busy: 10, other: 8, capacity: 1, service: 200 * ms, ungranted: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var load Load
			var placements []granter.Placement
			capacities := map[string]float64{}
			for i, r := range partitioner.Divide(16) {
				id, rate := string(rune('a'+i)), test.other
				capacities[id] = 4
				if i == 0 {
					rate, capacities[id] = test.busy, test.capacity
				}
				for key := range uint16(100) {
					load.counts[r.First+key] = float32(rate * loadPerRate / 100)
				}
				load.total += rate * loadPerRate
				placements = append(placements, granter.Placement{Range: r, Server: id, Movable: true})
			}
			conditions := Conditions{CallTime: test.callTime, ServiceTime: test.service, Ungranted: test.ungranted}
			is.New(t).Equal(len(conditions.ChooseMoves(&load, placements, capacities)), test.want)
		})
	}
}
