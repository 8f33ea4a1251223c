package controller

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/forwarder"
)

// TestSlowServerHasLessCapacity guards against keys that stay with a server whose reports show that it makes fewer answers, because
// it is slow or its dispatcher runs fewer requests there than it has slots, and against one that keeps a low capacity after later
// reports show otherwise.
func TestSlowServerHasLessCapacity(t *testing.T) {
	is := is.New(t)
	c := newTestController(t, http.NotFound)
	now := time.Unix(1000, 0)
	for _, id := range []string{"fast", "slow"} {
		c.catalog.Put(now, time.Second, cataloger.Server{ID: id, Service: "desk", Slots: 6})
	}
	c.leaderState = &leaderState{serviceTimes: map[string]*serviceTime{}, pausedUntil: map[string]time.Time{}}
	report := func(id string, mean time.Duration) {
		c.addLoads(now, forwarder.Loads{Answers: map[string]forwarder.AnswerStats{id: {Count: 100, TotalServiceTime: 100 * mean}}})
	}
	ratio := func() float64 {
		capacities := c.capacities(now, []string{"fast", "slow"})
		return capacities["slow"] / capacities["fast"]
	}
	report("fast", 100*time.Millisecond)
	report("slow", 200*time.Millisecond) // 100 ms with half of the slots
	is.True(ratio() < 0.6)
	report("slow", 100*time.Millisecond)
	is.True(math.Abs(ratio()-1) < 1e-9)
}

// TestMeanServiceTimeFollowsFewMeasurements guards against a server that turns slow and keeps its capacity until 40 of its few
// requests have ended, and against one that loses it by a single long request or by a small difference within a few seconds.
func TestMeanServiceTimeFollowsFewMeasurements(t *testing.T) {
	tests := map[string]struct {
		perSecond   int // after 10 s with ten service times of 200 ms a second
		seconds     int
		took        time.Duration
		least, most float64 // mean in seconds
	}{
		"12 times slower for 4 s": {perSecond: 2, seconds: 4, took: 1500 * time.Millisecond, least: 0.6, most: 1.5},
		"as fast as before":       {perSecond: 2, seconds: 4, took: 200 * time.Millisecond, least: 0.2, most: 0.2},
		"a fifth slower for 4 s":  {perSecond: 2, seconds: 4, took: 240 * time.Millisecond, least: 0.2, most: 0.208}, // 8 of 40
		"one long request":        {perSecond: 1, seconds: 1, took: 1500 * time.Millisecond, least: 0.2, most: 0.26},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s serviceTime
			now := time.Unix(1000, 0)
			add := func(seconds, count int, took time.Duration) {
				for range seconds {
					now = now.Add(time.Second)
					s.add(now, forwarder.AnswerStats{Count: count, TotalServiceTime: time.Duration(count) * took})
				}
			}
			add(10, 10, 200*time.Millisecond)
			add(test.seconds, test.perSecond, test.took)
			t.Logf("mean %.3f s", s.mean())
			is.New(t).True(s.mean() >= test.least-1e-9 && s.mean() <= test.most+1e-9)
		})
	}
}
