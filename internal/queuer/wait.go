package queuer

import (
	"slices"
	"time"
)

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
	// arrivalShare and waitingShare are the shares of the recent service times that the time left of a request that is not
	// idempotent must exceed when it arrives, and once it waits. Waiting uses up the time left of each request behind a busy server:
	// at a load of 0.98, 3.1 of 100 requests had an unknown outcome with a share of 0.5 for both, and 2.1 with these.
	arrivalShare = 0.5
	waitingShare = 0.9
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
// the least service time that its class had of late, and, for a request that is not idempotent, more than a share of the recent ones.
func (q *Queue) canAnswer(now time.Time, r Request, share float64) bool {
	need := minServiceTime
	if q.times != nil {
		need = max(need, q.times.least(now, r.Class))
		if r.NotIdempotent && !q.times.likelyWithin(now, r.Class, r.Deadline.Sub(now), share) {
			return false
		}
	}
	return !now.Add(need).After(r.Deadline)
}

// refuseInfeasible removes and returns the waiting requests for which mayWait is false. q.waiting must be sorted.
func (q *Queue) refuseInfeasible(now time.Time) []Refused {
	var infeasible []*waitingRequest
	ahead := q.aheadOfWaiting(now)
	capacity := q.capacity(now)
	for _, w := range q.waiting {
		need := q.serviceTime(w.Request)
		if q.mayWait(now, w, ahead, capacity, need) {
			ahead.add(need)
			continue
		}
		infeasible = append(infeasible, w)
	}
	if len(infeasible) == 0 {
		return nil
	}
	retryAfter := q.retryAfters(now) // with the refused requests, which may come back
	refused := make([]Refused, 0, len(infeasible))
	for _, w := range infeasible {
		refused = append(refused, Refused{Ticket: w.ticket, RetryAfter: retryAfter(w.Priority), Reason: w.refusal})
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waitingRequest) bool { return slices.Contains(infeasible, w) })
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
	// With reservation:
	slots     schedule        // when slots become free
	available map[int]float64 // by priority, see Queue.available; filled when needed
}

// aheadOfWaiting returns what is executed before the first waiting request.
func (q *Queue) aheadOfWaiting(now time.Time) waitAhead {
	ahead := waitAhead{work: q.runningWork()}
	if q.settings.Reservation {
		ahead.slots, ahead.available = q.schedule(now), map[int]float64{}
	}
	return ahead
}

// add puts a waiting request with the service time need before the others.
func (a *waitAhead) add(need time.Duration) {
	a.work += need
	a.requests++
	a.slots.add(need)
}

// delay returns how long it takes until a request of a priority behind ahead can begin, with a capacity of the servers or,
// without any, 1. With reservation it counts the requests of higher priority that are likely to arrive and to be started before.
func (q *Queue) delay(now time.Time, ahead waitAhead, capacity float64, priority int) time.Duration {
	start := time.Duration(float64(ahead.work) / capacity)
	if q.settings.Reservation {
		if _, known := ahead.available[priority]; !known {
			ahead.available[priority] = q.available(now, priority)
		}
		start = time.Duration(float64(ahead.slots.next()) * capacity / ahead.available[priority])
	}
	return max(start, q.limitDelay(now, ahead.requests))
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
	if !q.canAnswer(now, w.Request, waitingShare) {
		return false
	}
	limitDelay := q.limitDelay(now, ahead.requests)
	if w.Substitute && limitDelay > 0 && now.Add(limitDelay).After(w.since.Add(maxSubstituteWait)) {
		return false
	}
	start := q.delay(now, ahead, capacity, w.Priority)
	if q.missesObjective(now, w) {
		load := q.loadUpTo(now, w.Priority)
		if load >= overloadThreshold {
			return false
		}
		start = time.Duration(float64(start) / (1 - load))
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
// its objective. q.waiting must be sorted.
func (q *Queue) feasible(now time.Time, added *waitingRequest) bool {
	ahead := q.aheadOfWaiting(now)
	for _, w := range q.waiting {
		need := q.serviceTime(w.Request)
		if w == added {
			overload := q.loadUpTo(now, w.Priority) >= overloadThreshold
			if overload && now.Add(q.delay(now, ahead, q.divisor(now), w.Priority)+need+q.margin(w.Class)).After(w.Objective) {
				return false // its late answer would make those behind it late as well
			}
			return q.mayWait(now, w, ahead, q.capacity(now), need)
		}
		ahead.add(need)
	}
	return false
}

// retryAfter estimates how long it takes until all running and waiting requests are executed and the limits of the servers let
// another one begin, within the bounds of the delay after which a client is asked to retry. Without a usable server, it is the
// time until one may be used again. With reservation it is the time until a request of the priority is likely to be started
// behind the waiting ones that are started before it, times the load if that exceeds 1.
func (q *Queue) retryAfter(now time.Time, priority int) time.Duration {
	if q.settings.Reservation && q.capacity(now) > 0 {
		return q.retryAfterFor(now, priority)
	}
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

// retryAfters returns a function that returns retryAfter of a priority for the requests that wait now.
func (q *Queue) retryAfters(now time.Time) func(priority int) time.Duration {
	if !q.settings.Reservation {
		delay := q.retryAfter(now, 0)
		return func(int) time.Duration { return delay }
	}
	delays := map[int]time.Duration{}
	for _, w := range q.waiting {
		if _, known := delays[w.Priority]; !known {
			delays[w.Priority] = q.retryAfter(now, w.Priority)
		}
	}
	return func(priority int) time.Duration { return delays[priority] }
}

// retryAfterTooLittleTime returns the delay after which the client of a request that has too little time on arrival is asked to
// retry. Without reservation that is the least delay, because slots may be free.
func (q *Queue) retryAfterTooLittleTime(now time.Time, r Request) time.Duration {
	if !q.settings.Reservation {
		return minRetryAfter
	}
	return q.retryAfter(now, r.Priority)
}

// retryAfterFor implements retryAfter with reservation and a usable server.
func (q *Queue) retryAfterFor(now time.Time, priority int) time.Duration {
	ahead := q.aheadOfWaiting(now)
	for _, w := range q.waiting {
		if w.Priority <= priority {
			ahead.add(q.serviceTime(w.Request))
		}
	}
	delay := float64(q.delay(now, ahead, q.capacity(now), priority)) * max(1, q.loadUpTo(now, priority))
	return max(minRetryAfter, min(time.Duration(delay), maxLimitRetryAfter))
}
