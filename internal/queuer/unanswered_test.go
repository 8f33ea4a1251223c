package queuer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestServiceTimeOfUnansweredRequests guards against a server that seems fast because its slow requests don't count, and against one
// that seems fast because clients gave it little time or it rejects.
func TestServiceTimeOfUnansweredRequests(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		outcome Outcome
		took    time.Duration
		first   bool // nothing was measured before
		want    bool
	}{
		"answer":                           {outcome: Answered, took: 10 * ms, want: true},
		"timed out":                        {outcome: TimedOut, took: 1500 * ms, want: true},
		"timed out with little time":       {outcome: TimedOut, took: 50 * ms},
		"timed out, nothing measured":      {outcome: TimedOut, took: 1500 * ms, first: true, want: true},
		"little time, nothing measured":    {outcome: TimedOut, took: 5 * ms, first: true},
		"client left late":                 {outcome: ClientLeft, took: 300 * ms, want: true},
		"client left early":                {outcome: ClientLeft, took: 199 * ms},
		"client left early, nothing known": {outcome: ClientLeft, took: 50 * ms, first: true},
		"rejection, late":                  {outcome: Rejected, took: 900 * ms},
		"failure, late":                    {outcome: Failed, took: 900 * ms},
		"not sent":                         {outcome: Inconclusive, took: 900 * ms},
	}
	for name, test := range tests {
		for variant, adaptive := range map[string]bool{"": false, ", adaptive limits": true} {
			t.Run(name+variant, func(t *testing.T) {
				q := New(&ServiceTimes{}, Settings{AdaptiveLimits: adaptive})
				q.SetServers(start, []Server{{ID: "a", Slots: 2}})
				if !test.first {
					q.Offer(start, request(0, 5000, 5000))
					q.Done(at(200), "a", "c", Answered, 200*ms)
				}
				is.New(t).Equal(q.Counts("a", "c", test.outcome, test.took), test.want)
			})
		}
	}
}

// TestServerWithoutAnswersInTimeIsChosenLast guards against a pool that goes on choosing a server whose requests time out as if it
// were as fast as it was before.
func TestServerWithoutAnswersInTimeIsChosenLast(t *testing.T) {
	for name, adaptive := range map[string]bool{"fixed slots": false, "adaptive limits": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := New(&ServiceTimes{}, Settings{AdaptiveLimits: adaptive})
			q.SetServers(start, []Server{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}})
			for range 10 {
				for _, id := range []string{"a", "b"} {
					is.Equal(q.Offer(start, Request{Class: "c", Objective: at(9000), Deadline: at(9000), AvoidServer: other(id)}), Start{Server: id})
				}
				q.Done(at(100), "a", "c", Answered, 100*time.Millisecond)
				q.Done(at(100), "b", "c", Answered, 120*time.Millisecond)
			}
			is.Equal(q.Offer(at(100), request(100, 5000, 5000)), Start{Server: "a"})
			q.Done(at(1100), "a", "c", TimedOut, time.Second)
			is.Equal(q.Offer(at(1100), request(1100, 5000, 5000)), Start{Server: "b"})
		})
	}
}

// other returns the other one of the servers a and b.
func other(id string) string { return map[string]string{"a": "b", "b": "a"}[id] }
