// Package queuer orders the requests that wait for a set of backend servers, and decides which of them is sent next and
// which are refused. It does no I/O and never blocks; the current time is an argument.
//
// It handles overload: a server never gets more concurrent requests than it has slots, nor more a second than its limit, if it
// has one; requests that can still meet their latency objective are sent before late ones, those of a higher priority before
// others, and a request that would have to wait and can't be answered before its deadline is refused as soon as that is known.
package queuer

import (
	"math"
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/pacer"
)

// Request is what the queue needs to know about a request.
type Request struct {
	Class       string    // requests of a class have similar service times
	Priority    int       // lower values are sent first
	Objective   time.Time // an answer after it is late
	Deadline    time.Time // the client does not wait for an answer after it
	AvoidServer string    // used only if no other server has a free slot
	// NotIdempotent says that the request must not be repeated if it gets no answer. It is sent only if an answer before the
	// deadline is likely; others are sent if one is possible.
	NotIdempotent bool
	// Suspect says that a server may have crashed because of the request. It does not run beside another suspect, so that of
	// several requests the one that crashes servers shows. EndSuspect must be called when it has ended.
	Suspect bool
	// Substitute says that this instance stands in for the dispatcher of the servers, which may be back soon. The request waits
	// for the limit of a server for maxSubstituteWait at most, so that the two don't send beside each other for long.
	Substitute bool
}

// Ticket identifies a waiting request.
type Ticket uint64

// Decision is the queue's decision on a new request: Start, Wait or Refuse.
type Decision interface{ decision() }

// Start says that the request must be sent to a server now, and that Done must then be called exactly once.
type Start struct{ Server string }

// Wait says that the request waits.
type Wait struct {
	Ticket Ticket
	Held   bool // whether a slot is free that is kept for requests of higher priority
}

// Refuse says that the request can't be answered before its deadline or, under overload, before its objective. Its client
// may retry after RetryAfter.
type Refuse struct {
	RetryAfter time.Duration
	Reason     Reason
}

// Reason says why a request is refused.
type Reason int

// The reasons of refusals.
const (
	NoTurn        Reason = iota // others use the slots until it is too late
	TooLittleTime               // whatever slots are free, the time left does not suffice for the request's class
)

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Started is a waiting request that must be sent to a server now, as with Start.
type Started struct {
	Ticket Ticket
	Server string
}

// Refused is a waiting request that can no longer be answered before its deadline or, under overload, before its objective.
// Its client may retry after RetryAfter.
type Refused struct {
	Ticket     Ticket
	RetryAfter time.Duration
	Reason     Reason
}

// Change lists the waiting requests that were started or refused.
type Change struct {
	Started []Started
	Refused []Refused
}

// Outcome is the outcome of a request that was started.
type Outcome int

// The outcomes of a request that was started.
const (
	Answered     Outcome = iota // the server executed it and answered
	Rejected                    // the server answered that it did not execute it
	Failed                      // no complete answer, or one that says that the server failed
	TimedOut                    // no complete answer by the deadline, or one that says so
	ClientLeft                  // no complete answer by the time that the client left
	Inconclusive                // says nothing about the server, for example because it was not sent there
)

type waitingRequest struct {
	Request
	ticket   Ticket
	since    time.Time
	entitled bool   // see entitle
	refusal  Reason // if it is refused
}

// Queue holds the requests for a set of servers. The zero Queue has no servers, and shares no service times with other
// queues. It is not safe for concurrent use.
type Queue struct {
	settings      Settings
	times         *ServiceTimes
	paces         pacer.Classes // mean service times by class, for the limits of servers
	servers       []*server
	waiting       []*waitingRequest
	classes       map[string]*class
	lastTicket    Ticket
	load          float64 // requested service time per second and usable slot, averaged over loadWindow
	loadDecayedAt time.Time
	// With Settings.Reservation:
	demands    map[string]*demand // by class
	runs       []run
	lastStarts map[int]time.Time // by priority
}

// Settings are the optional decisions of a queue. The zero Settings has none of them.
type Settings struct {
	// Reservation keeps slots of each server for requests of higher priority that are likely to arrive.
	Reservation bool
	// AdaptiveLimits bounds the requests that run at a server by what it takes well, as far as its service times show.
	AdaptiveLimits bool
}

// New returns a queue without servers that shares times with other queues.
func New(times *ServiceTimes, settings Settings) Queue {
	return Queue{times: times, settings: settings}
}

// Server is a backend server and its slots.
type Server struct {
	ID          string
	Incarnation int64
	Slots       int
	PausedUntil time.Time // until then it wants no requests; the zero Time if it has not asked for a pause
	Limited     bool      // whether it names a limit
	Rate        float64   // the limit in requests a second
	ColdUntil   time.Time // until then it is cold; the zero Time if it is not
	ColdRate    float64   // requests a second that this instance may send while it is cold; 0 means none
}

// SetServers replaces the servers, and starts or refuses waiting requests accordingly. Requests that run on a removed
// server continue.
func (q *Queue) SetServers(now time.Time, list []Server) Change {
	for _, s := range q.servers {
		s.removed = true
	}
	for _, s := range list {
		known := q.findServer(s.ID)
		if known == nil {
			known = &server{id: s.ID}
			q.servers = append(q.servers, known)
		}
		known.removed = false
		known.pausedUntil = time.Time{} // a new incarnation of the server has not asked for the pause
		known.pause(now, s.PausedUntil)
		known.setLimit(now, s.Limited, s.Rate)
		known.setIncarnation(s.Incarnation)
		known.setSlots(now, s.Slots, q.settings.AdaptiveLimits)
		known.setCold(now, s.ColdUntil, s.ColdRate)
	}
	q.dropRemoved()
	return q.advance(now)
}

// dropRemoved drops the removed servers on which no request runs.
func (q *Queue) dropRemoved() {
	q.servers = slices.DeleteFunc(q.servers, func(s *server) bool { return s.removed && s.running == 0 })
}

func (q *Queue) findServer(id string) *server {
	for _, s := range q.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// Empty reports whether the queue has neither servers nor requests.
func (q *Queue) Empty() bool { return len(q.servers) == 0 && len(q.waiting) == 0 }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns how many requests run.
func (q *Queue) Running() int {
	total := 0
	for _, s := range q.servers {
		total += s.running
	}
	return total
}

// SetLimit sets the limit in requests a second that a server names, or ends it. Waiting requests that can't be answered in time
// are refused.
func (q *Queue) SetLimit(now time.Time, serverID string, limited bool, rate float64) Change {
	s := q.findServer(serverID)
	if s == nil {
		return Change{}
	}
	s.setLimit(now, limited, rate)
	return q.advance(now)
}

// Pause keeps requests from a server until a given time, because it has asked for that. Waiting requests that can't be
// answered in time are refused.
func (q *Queue) Pause(now time.Time, serverID string, until time.Time) Change {
	if s := q.findServer(serverID); s != nil {
		s.pause(now, until)
	}
	return q.advance(now)
}

// Offer adds a new request to the load, and starts it, lets it wait or refuses it.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	q.addLoad(now, r)
	decision := q.decide(now, r)
	if q.settings.Reservation {
		q.recordArrival(now, r, decision)
	}
	return decision
}

// decide starts a new request, lets it wait or refuses it.
func (q *Queue) decide(now time.Time, r Request) Decision {
	if !q.canAnswer(now, r, arrivalShare) { // the request counts in the load all the same
		return Refuse{RetryAfter: q.retryAfterTooLittleTime(now, r), Reason: TooLittleTime}
	}
	if len(q.waiting) == 0 && q.leavesRoom(now, r) {
		if s := q.pickServer(now, r); s != nil {
			q.start(now, s, r)
			return Start{Server: s.id}
		}
	}
	q.lastTicket++
	w := &waitingRequest{Request: r, ticket: q.lastTicket, since: now}
	q.waiting = append(q.waiting, w)
	q.sort(now)
	if q.settings.Reservation && len(q.waiting) > 1 {
		if s := q.startNew(now, w); s != nil {
			q.Cancel(w.ticket)
			q.start(now, s, r)
			return Start{Server: s.id}
		}
	}
	if !q.feasible(now, w) {
		q.Cancel(w.ticket)
		return Refuse{RetryAfter: q.retryAfter(now, r.Priority)}
	}
	return Wait{Ticket: w.ticket, Held: !q.leavesRoom(now, r) && q.pickServer(now, r) != nil}
}

// EndSuspect records that a suspect has ended at a server. Done must be called as well, after it.
func (q *Queue) EndSuspect(serverID string) {
	if s := q.findServer(serverID); s != nil {
		s.hasSuspect = false
	}
}

// pickServer returns the server for the next request, or nil if no slot is free within the limits: the one with the largest
// share of free slots, and among equals the fastest. AvoidServer is picked only if no other server has a free slot.
func (q *Queue) pickServer(now time.Time, r Request) *server {
	var best *server
	for _, s := range q.servers {
		if s.adaptive {
			s.pacer.Advance(now)
		}
		if !s.usable(now) || s.running >= s.maxRunning() || !s.allows(now) || r.Suspect && s.hasSuspect {
			continue
		}
		if best == nil || s.betterThan(now, best, r.AvoidServer) {
			best = s
		}
	}
	return best
}

// Done records the outcome of a request that was started, and how long it took; if it TimedOut, that is the time that it had.
func (q *Queue) Done(now time.Time, serverID, className string, outcome Outcome, took time.Duration) Change {
	s := q.findServer(serverID)
	if s == nil {
		return Change{}
	}
	counts := q.countsAt(s, className, outcome, took)
	if counts || outcome == TimedOut && q.hadEnoughTime(now, className, took) {
		q.recordPace(now, s, className, took)
	}
	if counts {
		s.meanBound = movedMean(s.meanBound, took)
	}
	s.running--
	q.endRun(now, s, className, took)
	switch outcome {
	case Answered:
		q.recordServiceTime(now, className, took)
		s.recordAnswer(now, took)
	case Failed:
		q.recordFailure(now, s)
	case TimedOut:
		if q.hadEnoughTime(now, className, took) {
			q.recordFailure(now, s)
		}
	case Rejected:
		q.recordRejection(now, s)
	case ClientLeft, Inconclusive:
	}
	q.dropRemoved()
	return q.advance(now)
}

// hadEnoughTime reports whether a request that had a given time at its server was likely to be answered by a sound one. Without
// a measurement of its class it is taken to be, so that a server that hangs from the start is found out.
func (q *Queue) hadEnoughTime(now time.Time, className string, given time.Duration) bool {
	return q.times == nil || given >= q.times.enough(now, className)
}

// Cancel removes a waiting request, for example because its client has left, its key has moved to another server, or it is
// refused on arrival.
func (q *Queue) Cancel(t Ticket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waitingRequest) bool { return w.ticket == t })
}

// LimitDeadlines moves the deadlines of waiting requests that are later than latest there, because this instance ends then. Those
// that can't be answered by then are refused.
func (q *Queue) LimitDeadlines(now, latest time.Time) Change {
	for _, w := range q.waiting {
		if w.Deadline.After(latest) {
			w.Deadline = latest
		}
	}
	return q.advance(now)
}

// Advance refuses the waiting requests that can no longer be answered before their deadlines, and starts those that can
// start, for example at a server whose ejection has ended. It must be called from time to time while requests wait.
func (q *Queue) Advance(now time.Time) Change { return q.advance(now) }

// advance implements Advance; SetServers and Done call it too.
func (q *Queue) advance(now time.Time) Change {
	var change Change
	if len(q.waiting) == 0 {
		return change
	}
	q.sort(now)
	held := math.MaxInt
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		// With a free slot, a request is started whatever its expected service time, unless no answer can be in time.
		if s := q.serverFor(now, w, &held); s != nil {
			if q.canAnswer(now, w.Request, waitingShare) {
				q.start(now, s, w.Request)
				change.Started = append(change.Started, Started{Ticket: w.ticket, Server: s.id})
				continue
			}
			w.refusal = TooLittleTime
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	change.Refused = q.refuseInfeasible(now)
	return change
}
