package queuer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/pacer"
)

// adaptiveQueue returns a queue with adaptive limits and two servers, the slow one of which takes four times as long for a number of
// answers.
func adaptiveQueue(adaptive bool, answers int) *Queue {
	q := New(&ServiceTimes{}, Settings{AdaptiveLimits: adaptive})
	q.SetServers(start, []Server{{ID: "a_slow", Incarnation: 1, Slots: 6}, {ID: "b_fast", Incarnation: 1, Slots: 6}})
	for i := range answers {
		now := at(100 * i)
		q.servers[0].running, q.servers[1].running = 1, 1
		q.Done(now, "b_fast", "c", Answered, 100*time.Millisecond)
		q.Done(now, "a_slow", "c", Answered, 400*time.Millisecond)
	}
	return &q
}

// TestFasterServerGetsMore guards against a slow server that gets as many requests as a fast one, against one that gets none, and
// against a choice that changes where no adaptive limits are wanted.
func TestFasterServerGetsMore(t *testing.T) {
	tests := map[string]struct {
		adaptive bool
		report   pacer.Load // of the slow server
		slow     int        // of six requests
	}{
		"adaptive":                          {adaptive: true, slow: 1},
		"adaptive, it says that it is idle": {adaptive: true, report: pacer.Load{Slots: 6, Pace: 0.01}, slow: 2},
		"not adaptive":                      {slow: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := adaptiveQueue(test.adaptive, 20)
			if test.report.Slots > 0 {
				q.ReportLoad(at(2000), "a_slow", test.report)
			}
			for range 6 {
				_, ok := q.Offer(at(2000), request(1, 5000, 5000)).(Start)
				is.True(ok)
			}
			is.True(q.servers[0].running >= 1 && q.servers[0].running <= test.slow)
			is.Equal(q.servers[0].running+q.servers[1].running, 6)
		})
	}
}

// TestNewIncarnationBeginsAnew guards against a restarted server that is judged by what its predecessor showed.
func TestNewIncarnationBeginsAnew(t *testing.T) {
	tests := map[string]struct {
		incarnation int64
		kept        bool
	}{
		"same":    {incarnation: 1, kept: true},
		"restart": {incarnation: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := adaptiveQueue(true, 20)
			q.SetServers(at(2000), []Server{{ID: "a_slow", Incarnation: test.incarnation, Slots: 6}, {ID: "b_fast", Incarnation: 1, Slots: 6}})
			ratio := q.servers[0].pacer.Ratio(at(2000), 1)
			is.Equal(ratio > 1.2, test.kept)
			is.Equal(ratio == 1, !test.kept)
		})
	}
}

// TestLearnedLimitBoundsRequests guards against a server that makes fewer answers with all slots in use and keeps getting as many.
func TestLearnedLimitBoundsRequests(t *testing.T) {
	is := is.New(t)
	q := New(&ServiceTimes{}, Settings{AdaptiveLimits: true})
	q.SetServers(start, []Server{{ID: "a", Slots: 6}})
	for i := range 100 { // a request takes 100 ms beside two others, and 2 s beside five
		now, running, took := at(20*i), 3, 100*time.Millisecond
		if i%10 >= 5 {
			running, took = 6, 2*time.Second
		}
		q.servers[0].running = running
		q.Done(now, "a", "c", Answered, took)
	}
	state, ok := q.ServerState("a")
	is.True(ok)
	is.Equal(state, ServerState{Slots: 6, Limit: 3})
	q.servers[0].running = 0
	started := 0
	for range 6 {
		if _, ok := q.Offer(at(2000), request(1, 60_000, 60_000)).(Start); ok {
			started++
		}
	}
	is.Equal(started, 3)
}

// TestMixDoesNotLookSlow guards against a server of a pool that is avoided because it has got the long requests.
func TestMixDoesNotLookSlow(t *testing.T) {
	is := is.New(t)
	q := New(&ServiceTimes{}, Settings{AdaptiveLimits: true})
	q.SetServers(start, []Server{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}})
	for i := range 60 { // nearly all long requests go to a, and short ones to b
		q.servers[0].running, q.servers[1].running = 1, 1
		long, short := "a", "b"
		if i%10 == 0 {
			long, short = short, long
		}
		q.Done(at(100*i), long, "long", Answered, time.Second)
		q.Done(at(100*i), short, "short", Answered, 180*time.Millisecond)
	}
	for range 6 {
		_, ok := q.Offer(at(6000), request(1, 60_000, 60_000)).(Start)
		is.True(ok)
	}
	is.Equal([]int{q.servers[0].running, q.servers[1].running}, []int{3, 3})
}
