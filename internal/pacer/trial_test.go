package pacer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOldLimitIsForgotten guards against a server that is held to a limit which it showed long ago, just when its room is needed.
func TestOldLimitIsForgotten(t *testing.T) {
	tests := map[string]struct {
		calm time.Duration // before the server is full again
		want int
	}{
		"full again at once": {calm: 500 * time.Millisecond, want: 2},
		"full after 6 s":     {calm: 6 * time.Second, want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			var p Pacer
			p.SetSlots(now, 4)
			p.limit, p.fullAt, p.nextTrial = 2, now, now.Add(time.Minute)
			now = now.Add(test.calm)
			p.Record(now, now.Add(-100*time.Millisecond), 2, 1)
			is.Equal(p.Learned(), test.want)
		})
	}
}

// TestLowerLimitIsConfirmed guards against a capacity that follows a limit which was lowered because of a pause, and against a lower
// limit that stays after it.
func TestLowerLimitIsConfirmed(t *testing.T) {
	tests := map[string]struct {
		ratio              float64 // of service times while the limit before is tried
		learned, confirmed int
	}{
		"slow by its load": {ratio: 4, learned: 2, confirmed: 2},
		"was a pause":      {ratio: 1, learned: 4, confirmed: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const took = 100 * time.Millisecond
			now := time.Unix(1000, 0)
			var p Pacer
			p.SetSlots(now, 4)
			answer := func(running int, ratio float64) {
				now = now.Add(20 * time.Millisecond)
				p.Record(now, now.Add(-took), running, ratio)
			}
			for range 60 {
				answer(4, 1)
			}
			p.lower(now, 2)
			is.Equal([]int{p.Learned(), p.Confirmed()}, []int{2, 4})
			for range 12 { // until the limit before is tried
				answer(2, 1)
			}
			is.Equal(p.Limit(), 4)
			for range 14 {
				answer(4, test.ratio)
				p.Advance(now)
			}
			is.Equal([]int{p.Learned(), p.Confirmed()}, []int{test.learned, test.confirmed})
		})
	}
}
