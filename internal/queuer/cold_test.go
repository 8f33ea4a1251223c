package queuer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestColdServer guards against requests to a cold server above its rate, and against servers that are left idle once they are
// warm.
func TestColdServer(t *testing.T) {
	for name, test := range map[string]struct {
		rate     float64
		coldFor  time.Duration
		deadline int           // in milliseconds
		started  int           // within a second
		first    time.Duration // until the first request
	}{
		"warm":                      {rate: 5, deadline: 5000, started: 8},
		"cold":                      {rate: 5, coldFor: 10 * time.Second, deadline: 5000, started: 5, first: 200 * time.Millisecond},
		"turns warm":                {rate: 5, coldFor: 500 * time.Millisecond, deadline: 5000, started: 8, first: 200 * time.Millisecond},
		"gets nothing":              {coldFor: 10 * time.Second, deadline: 5000},
		"gets nothing, turns warm":  {coldFor: 400 * time.Millisecond, deadline: 5000, started: 8, first: 400 * time.Millisecond},
		"too little time to wait":   {rate: 5, coldFor: 10 * time.Second, deadline: 150},
		"much time, but a low rate": {rate: 0.5, coldFor: 10 * time.Second, deadline: 5000, started: 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			q.SetServers(start, []Server{{ID: "a", Slots: 10, ColdUntil: start.Add(test.coldFor), ColdRate: test.rate}})
			started, first := 0, time.Duration(-1)
			begin := func(now time.Time) {
				if started++; first < 0 {
					first = now.Sub(start)
				}
			}
			for range 8 {
				if _, ok := q.Offer(start, request(0, test.deadline, test.deadline)).(Start); ok {
					begin(start)
				}
			}
			for now := start.Add(50 * time.Millisecond); !now.After(start.Add(time.Second)); now = now.Add(50 * time.Millisecond) {
				for range q.Advance(now).Started {
					begin(now)
				}
			}
			is.True(started >= test.started-1 && started <= test.started)
			if test.started > 0 {
				is.True(first >= test.first && first <= test.first+50*time.Millisecond)
			}
		})
	}
}

// TestNewIncarnationIsNotEjected guards against a server that has started again and stays idle for what its previous incarnation
// has failed.
func TestNewIncarnationIsNotEjected(t *testing.T) {
	for name, test := range map[string]struct {
		incarnation int64
		started     bool
	}{
		"the same": {incarnation: 1}, "a new one": {incarnation: 2, started: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			q.SetServers(start, []Server{{ID: "a", Slots: 1, Incarnation: 1}})
			for range failuresToEject {
				is.Equal(q.Offer(start, request(0, 1000, 1000)), Start{Server: "a"})
				q.Done(start, "a", "c", Failed, time.Millisecond)
			}
			q.SetServers(start, []Server{{ID: "a", Slots: 1, Incarnation: test.incarnation}})
			_, ok := q.Offer(start, request(0, 1000, 1000)).(Start)
			is.Equal(ok, test.started)
		})
	}
}

// TestEmptyCold guards against unused tokens of a cold server that are spent by an instance that was suspended.
func TestEmptyCold(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.SetServers(start, []Server{{ID: "a", Slots: 9, ColdUntil: start.Add(time.Minute), ColdRate: 5}})
	now := start.Add(5 * time.Second)
	q.EmptyCold(now)
	_, wait := q.Offer(now, request(0, 6000, 6000)).(Wait)
	is.True(wait)
	is.Equal(len(q.Advance(now.Add(201*time.Millisecond)).Started), 1)
}
