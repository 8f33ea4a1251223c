package queuer

import (
	"slices"
	"time"
)

// schedule holds, in ascending order, the times from now at which the slots of the usable servers become free.
type schedule []time.Duration

// schedule returns when slots become free as the requests that run now end.
func (q *Queue) schedule(now time.Time) schedule {
	var times schedule
	for _, s := range q.servers {
		if !s.usable(now) {
			continue
		}
		for range s.maxRunning() - s.running {
			times = append(times, 0)
		}
	}
	for _, r := range q.runs {
		if r.server.usable(now) {
			times = append(times, q.remaining(r.class, now.Sub(r.since), 0))
		}
	}
	slices.Sort(times)
	return times
}

// add gives the next slot to a request with the service time need.
func (s schedule) add(need time.Duration) {
	if len(s) == 0 {
		return
	}
	end := s[0] + need
	i, _ := slices.BinarySearch(s[1:], end)
	copy(s, s[1:i+1])
	s[i] = end
}

// next returns when the next slot becomes free.
func (s schedule) next() time.Duration {
	if len(s) == 0 {
		return 0
	}
	return s[0]
}

// margin returns what is added to the expected service time of a request that must likely be answered in time. The schedule has no
// reserve, so that without it half of the requests that are just in time by it would be late.
func (q *Queue) margin(className string) time.Duration {
	if !q.settings.Reservation {
		return 0
	}
	_, deviation := q.expected(className)
	return deviation
}
