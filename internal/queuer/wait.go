package queuer

import "time"

const (
	// overloadThreshold is the load from which requests whose answers would be late are refused. At a load of 1 the requests
	// need all slots.
	overloadThreshold = 0.97
	// minRetryAfter and maxRetryAfter bound the delay after which the client of a refused request is asked to retry. Without
	// a usable server, the delay may be up to maxEjectionTime.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxLimitRetryAfter bounds the delay after which a client is asked to retry because of a server's limit. The limit may be
	// withdrawn, and keys move away from a server with a low one.
	maxLimitRetryAfter = 5 * time.Second
	// maxSubstituteWait is how long requests wait for the limits of servers at an instance that stands in for their dispatcher.
	maxSubstituteWait = time.Second
	// minServiceTime is the time that any request needs at least. One with less time left is not sent.
	minServiceTime = 2 * time.Millisecond
)

// limitDelay returns how long it takes until the limits of the usable servers let a request begin behind a number of others
// that wait.
func (q *Queue) limitDelay(now time.Time, ahead int) time.Duration {
	rates, first := 0.0, time.Duration(-1)
	for _, s := range q.servers {
		if !s.usable(now) {
			continue
		}
		rate, limited := s.rateLimit(now)
		if !limited {
			return 0
		}
		rates += rate
		if delay := s.limitDelay(now); first < 0 || delay < first {
			first = delay
		}
	}
	if first < 0 {
		return 0
	}
	return first + time.Duration(float64(ahead)/rates*float64(time.Second))
}

// canAnswer reports whether the time left until the request's deadline suffices for sending it now: whether it is at least
// the least service time that its class had of late, and, for a request that is not idempotent, the likely one.
func (q *Queue) canAnswer(now time.Time, r Request) bool {
	need := minServiceTime
	if q.times != nil {
		need = max(need, q.times.least(now, r.Class))
		if r.NotIdempotent {
			need = max(need, q.times.likely(now, r.Class))
		}
	}
	return !now.Add(need).After(r.Deadline)
}

// refuseInfeasible removes and returns the waiting requests for which mayWait is false. q.waiting must be sorted.
func (q *Queue) refuseInfeasible(now time.Time) []Refused {
	var refused []Refused
	ahead := q.runningWork()
	capacity := q.capacity(now)
	retryAfter := q.retryAfter(now) // before the loop compacts q.waiting
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		need := q.serviceTime(w.Request)
		if q.mayWait(now, w, waitAhead{work: ahead, requests: len(kept)}, capacity, need) {
			ahead += need
			kept = append(kept, w)
			continue
		}
		refused = append(refused, Refused{Ticket: w.ticket, RetryAfter: retryAfter})
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return refused
}

// nextUsable returns when the first server that is ejected or paused may be used again, or maxEjectionTime after now if
// there is no server. It is called only while no slot is usable.
func (q *Queue) nextUsable(now time.Time) time.Time {
	var first time.Time
	for _, s := range q.servers {
		if from := s.usableFrom(); !s.removed && (first.IsZero() || from.Before(first)) {
			first = from
		}
	}
	if first.IsZero() {
		return now.Add(maxEjectionTime)
	}
	return first
}

// waitAhead is what is executed before a waiting request.
type waitAhead struct {
	work     time.Duration // total service time, also of the requests that run
	requests int           // of those that wait
}

// delay returns how long it takes until a request behind ahead can begin, with a capacity of the servers or, without any, 1.
func (q *Queue) delay(now time.Time, ahead waitAhead, capacity float64) time.Duration {
	return max(time.Duration(float64(ahead.work)/capacity), q.limitDelay(now, ahead.requests))
}

// mayWait reports whether a request with the service time need may wait: whether it would be answered before its deadline if
// ahead is executed before it. Without a usable server, requests wait only for one that is usable within minEjectionTime. A
// request that misses its objective may not wait under overload; with less load, its wait is taken to grow with the load,
// because new requests run before it.
func (q *Queue) mayWait(now time.Time, w *waitingRequest, ahead waitAhead, capacity float64, need time.Duration) bool {
	if capacity == 0 {
		usable := q.nextUsable(now)
		return usable.Sub(now) <= minEjectionTime && usable.Add(need).Before(w.Deadline)
	}
	if !q.canAnswer(now, w.Request) {
		return false
	}
	limitDelay := q.limitDelay(now, ahead.requests)
	if w.Substitute && limitDelay > 0 && now.Add(limitDelay).After(w.since.Add(maxSubstituteWait)) {
		return false
	}
	start := q.delay(now, ahead, capacity)
	if q.missesObjective(now, w) {
		if q.load >= overloadThreshold {
			return false
		}
		start = time.Duration(float64(start) / (1 - q.load))
	}
	return !now.Add(start + need).After(w.Deadline)
}

// runningWork estimates the service time that the running requests still need: half of the mean for each.
func (q *Queue) runningWork() time.Duration {
	var total time.Duration
	for _, s := range q.servers {
		if !s.removed {
			total += time.Duration(s.running) * s.mean / 2
		}
	}
	return total
}

// feasible reports whether the request that was just added would be answered before its deadline and, under overload, before
// its objective.
func (q *Queue) feasible(now time.Time, added *waitingRequest) bool {
	q.sort(now)
	ahead := waitAhead{work: q.runningWork()}
	for _, w := range q.waiting {
		need := q.serviceTime(w.Request)
		if w == added {
			if q.load >= overloadThreshold && now.Add(q.delay(now, ahead, q.divisor(now))+need).After(w.Objective) {
				return false // its late answer would make those behind it late as well
			}
			return q.mayWait(now, w, ahead, q.capacity(now), need)
		}
		ahead.work += need
		ahead.requests++
	}
	return false
}

// retryAfter estimates how long it takes until all running and waiting requests are executed and the limits of the servers let
// another one begin, within the bounds of the delay after which a client is asked to retry. Without a usable server, it is the
// time until one may be used again.
func (q *Queue) retryAfter(now time.Time) time.Duration {
	total := q.runningWork()
	for _, w := range q.waiting {
		total += q.serviceTime(w.Request)
	}
	capacity := q.capacity(now)
	if capacity == 0 {
		return max(minRetryAfter, q.nextUsable(now).Sub(now))
	}
	work := min(time.Duration(float64(total)/capacity), maxRetryAfter)
	return max(minRetryAfter, work, min(q.limitDelay(now, len(q.waiting)), maxLimitRetryAfter))
}
