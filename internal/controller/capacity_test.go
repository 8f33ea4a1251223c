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
