package limiter

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	maxWaiting   = 4096             // requests that one Queue holds
	mayWaitShare = 5                // one start in mayWaitShare is for classes that may wait, while any waits
	minRetry     = time.Millisecond // shortest advice to come back
)

// running is a started request.
type running struct {
	lane     *lane
	started  time.Time
	deadline time.Time
}

// place is where a waiting request stands.
type place struct {
	lane *lane
	at   waiting
}

// Queue orders the requests of one backend server and starts as many as the server has slots.
// The zero Queue has one slot. It is not safe for concurrent use.
type Queue struct {
	ramp     ramp
	lanes    []*lane // by priority, classes that may wait last within one
	running  map[Ticket]running
	places   map[Ticket]place
	last     Ticket
	passedBy int // starts since a waiting class that may wait had its turn
	counts   Counts
}

// Counts are totals since the Queue was made.
type Counts struct {
	Started      uint64
	Waited       uint64
	Refused      uint64
	GivenUp      uint64
	FinishedLate uint64 // served after the deadline passed
}

// SetSlots sets the slots of the server and how long its cold start lasts.
func (q *Queue) SetSlots(slots int, coldStart time.Duration) {
	q.ramp.slots = slots
	q.ramp.coldStart = coldStart
}

// Restart begins the server's cold start at now.
func (q *Queue) Restart(now time.Time) { q.ramp.started = now }

// Slots returns how many requests may run at once at now.
func (q *Queue) Slots(now time.Time) int { return q.ramp.usable(now) }

// Running returns how many requests run.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return len(q.places) }

// Service returns the measured service time of a class; ok is false before the first measurement.
func (q *Queue) Service(class identifier.ClassName) (mean time.Duration, ok bool) {
	for _, l := range q.lanes {
		if l.class == class {
			return l.mean, l.measured
		}
	}
	return 0, false
}

// Counts returns the totals.
func (q *Queue) Counts() Counts { return q.counts }

// Offer decides on a new request.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	if !now.Before(r.Deadline) {
		q.counts.Refused++
		return Refuse{Reason: ReasonExpired}
	}
	lane := q.lane(r)
	if q.free(now) && len(q.places) == 0 {
		return Start{Ticket: q.start(now, lane, waiting{ticket: q.next(), deadline: r.Deadline})}
	}
	if refusal, refused := q.refuse(now, lane, r); refused {
		q.counts.Refused++
		return refusal
	}
	w := waiting{ticket: q.next(), deadline: r.Deadline}
	expected := q.expectedWait(now, lane, lane.rank(w))
	q.wait(lane, w)
	return Wait{Ticket: w.ticket, Expected: expected}
}

// Done takes a started request off its slot and starts what can start now. An unknown ticket changes nothing.
func (q *Queue) Done(now time.Time, ticket Ticket, result Result) Change {
	run, ok := q.running[ticket]
	if !ok {
		return Change{}
	}
	delete(q.running, ticket)
	switch r := result.(type) {
	case Served:
		if now.After(run.deadline) {
			q.counts.FinishedLate++
		}
		run.lane.measure(r.Took)
		q.ramp.served()
	case Shed:
		q.ramp.shed(now)
	case Lost:
	}
	return q.advance(now)
}

// Cancel takes a waiting request out, because nobody waits for its answer.
func (q *Queue) Cancel(ticket Ticket) {
	p, ok := q.places[ticket]
	if !ok {
		return
	}
	p.lane.remove(p.at)
	delete(q.places, ticket)
}

// Expire gives up the waiting requests whose expected start misses their deadline, and starts what can start,
// for the usable slots may have grown with time.
func (q *Queue) Expire(now time.Time) Change {
	change := Change{GivenUp: q.expireLanes(now)}
	started := q.advance(now)
	change.Started = started.Started
	change.GivenUp = append(change.GivenUp, started.GivenUp...)
	return change
}

// ExpectedWait returns how long a new request of the highest priority class with the latest deadline would wait.
func (q *Queue) ExpectedWait(now time.Time) time.Duration {
	if q.free(now) && len(q.places) == 0 {
		return 0
	}
	if len(q.lanes) == 0 {
		return 0
	}
	first := q.lanes[0]
	return q.expectedWait(now, first, len(first.requests))
}

func (q *Queue) free(now time.Time) bool { return len(q.running) < q.ramp.usable(now) }

func (q *Queue) next() Ticket {
	q.last++
	return q.last
}

// lane returns the lane of the request's class, making it on first use.
func (q *Queue) lane(r Request) *lane {
	for _, l := range q.lanes {
		if l.class == r.Class && l.priority == r.Priority && l.mayWait == r.MayWait {
			return l
		}
	}
	l := &lane{class: r.Class, priority: r.Priority, mayWait: r.MayWait}
	at, _ := slices.BinarySearchFunc(q.lanes, l, compareLanes)
	q.lanes = slices.Insert(q.lanes, at, l)
	return l
}

func compareLanes(a, b *lane) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	if a.mayWait != b.mayWait {
		if a.mayWait {
			return 1
		}
		return -1
	}
	return compareNames(a.class, b.class)
}

func compareNames(a, b identifier.ClassName) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (q *Queue) start(now time.Time, l *lane, w waiting) Ticket {
	if q.running == nil {
		q.running = map[Ticket]running{}
	}
	q.running[w.ticket] = running{lane: l, started: now, deadline: w.deadline}
	q.counts.Started++
	return w.ticket
}

func (q *Queue) wait(l *lane, w waiting) {
	if q.places == nil {
		q.places = map[Ticket]place{}
	}
	l.insert(w)
	q.places[w.ticket] = place{lane: l, at: w}
	q.counts.Waited++
}
