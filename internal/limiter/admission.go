package limiter

import "time"

// refuse decides whether a request that can't start at once is turned away.
func (q *Queue) refuse(now time.Time, l *lane, r Request) (Refuse, bool) {
	if q.free(now) {
		return Refuse{}, false
	}
	if len(q.places) >= maxWaiting {
		return Refuse{Reason: ReasonQueueFull, RetryAfter: q.drainTime(now) / 2}, true
	}
	left := r.Deadline.Sub(now)
	wait := q.expectedWait(now, l, l.rank(waiting{ticket: q.last + 1, deadline: r.Deadline}))
	if missing := wait + l.needed() - left; missing > 0 {
		return Refuse{Reason: ReasonOverloaded, RetryAfter: max(missing, minRetry)}, true
	}
	return Refuse{}, false
}

// expectedWait returns how long a request at rank in l waits for its start.
func (q *Queue) expectedWait(now time.Time, l *lane, rank int) time.Duration {
	ahead := q.runningWork(now) + q.workAhead(l, rank)
	return ahead / time.Duration(q.ramp.usable(now))
}

// workAhead returns the service time of the waiting requests that start before rank in l.
func (q *Queue) workAhead(l *lane, rank int) time.Duration {
	own := l.work(rank)
	if l.mayWait {
		return min(own*mayWaitShare, own+q.otherWork(l))
	}
	ahead := own + q.otherWork(l)
	return ahead + min(q.mayWaitWork(l), ahead/(mayWaitShare-1))
}

// otherWork returns the service time of waiting requests in the lanes that go before l.
func (q *Queue) otherWork(l *lane) time.Duration {
	var work time.Duration
	for _, other := range q.lanes {
		if other != l && other.goesBefore(l) {
			work += other.work(len(other.requests))
		}
	}
	return work
}

// goesBefore reports whether the requests of l start before those of other, the reserved share aside.
func (l *lane) goesBefore(other *lane) bool {
	if l.priority != other.priority {
		return l.priority < other.priority
	}
	return other.mayWait || !l.mayWait
}

// mayWaitWork returns the service time of the waiting requests that take the reserved share.
func (q *Queue) mayWaitWork(l *lane) time.Duration {
	var work time.Duration
	for _, other := range q.lanes {
		if other != l && other.mayWait && !other.goesBefore(l) {
			work += other.work(len(other.requests))
		}
	}
	return work
}

// runningWork returns the service time that started requests still need.
func (q *Queue) runningWork(now time.Time) time.Duration {
	var work time.Duration
	for _, run := range q.running {
		work += remaining(run.lane.service(), now.Sub(run.started))
	}
	return work
}

// remaining returns how long a request that has run for elapsed still takes. One that overran its expected time by
// some duration is expected to need as long again, so that a stuck server is noticed.
func remaining(service, elapsed time.Duration) time.Duration {
	return (service - elapsed).Abs()
}

// drainTime returns how long the server needs for all that runs and waits.
func (q *Queue) drainTime(now time.Time) time.Duration {
	work := q.runningWork(now)
	for _, l := range q.lanes {
		work += l.work(len(l.requests))
	}
	return max(work/time.Duration(q.ramp.usable(now)), minRetry)
}

// advance starts waiting requests while slots are free.
func (q *Queue) advance(now time.Time) Change {
	var change Change
	for q.free(now) {
		l := q.pick()
		if l == nil {
			break
		}
		w := l.pop()
		delete(q.places, w.ticket)
		if q.late(now, l, w) {
			change.GivenUp = append(change.GivenUp, q.giveUp(now, l, w))
			continue
		}
		change.Started = append(change.Started, q.start(now, l, w))
	}
	return change
}

// late reports whether w would finish after its deadline if it started now.
// A request that alone waits, or that may wait, gets its chance while the deadline stands.
func (q *Queue) late(now time.Time, l *lane, w waiting) bool {
	if !now.Before(w.deadline) {
		return true
	}
	if l.mayWait || len(q.places) == 0 {
		return false
	}
	return now.Add(l.needed()).After(w.deadline)
}

// pick returns the lane whose first request starts next, or nil.
func (q *Queue) pick() *lane {
	first, patient := q.heads()
	if patient == nil || first == patient {
		q.passedBy = 0
		return first
	}
	q.passedBy++
	if q.passedBy >= mayWaitShare {
		q.passedBy = 0
		return patient
	}
	return first
}

// heads returns the lane that is first by priority, then deadline, and the same among classes that may wait.
func (q *Queue) heads() (first, patient *lane) {
	for _, l := range q.lanes {
		if len(l.requests) == 0 {
			continue
		}
		if first == nil || l.before(first) {
			first = l
		}
		if l.mayWait && (patient == nil || l.before(patient)) {
			patient = l
		}
	}
	return first, patient
}

// before reports whether the first request of l starts before that of other.
func (l *lane) before(other *lane) bool {
	if l.priority != other.priority {
		return l.priority < other.priority
	}
	return compareWaiting(l.requests[0], other.requests[0]) < 0
}

// expireLanes gives up what waits in vain. Classes that may wait are kept while their deadline stands.
func (q *Queue) expireLanes(now time.Time) []GivenUp {
	var gone []GivenUp
	for _, l := range q.lanes {
		kept := l.requests[:0]
		for _, w := range l.requests {
			if q.hopeless(now, l, w, len(kept)) {
				delete(q.places, w.ticket)
				gone = append(gone, q.giveUp(now, l, w))
				continue
			}
			kept = append(kept, w)
		}
		clear(l.requests[len(kept):])
		l.requests = kept
	}
	return gone
}

// hopeless reports whether w, which stands at rank, can't start in time.
func (q *Queue) hopeless(now time.Time, l *lane, w waiting, rank int) bool {
	if l.mayWait {
		return !now.Before(w.deadline)
	}
	if !now.Before(w.deadline) {
		return true
	}
	if q.free(now) {
		return false
	}
	wait := q.expectedWait(now, l, rank)
	return now.Add(wait + l.needed()).After(w.deadline)
}

func (q *Queue) giveUp(now time.Time, l *lane, w waiting) GivenUp {
	q.counts.GivenUp++
	if !now.Before(w.deadline) {
		return GivenUp{Ticket: w.ticket, Reason: ReasonExpired, RetryAfter: q.drainTime(now)}
	}
	return GivenUp{Ticket: w.ticket, Reason: ReasonOverloaded, RetryAfter: q.drainTime(now)}
}
