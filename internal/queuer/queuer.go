// Package queuer orders the requests that wait for a set of backend servers, and decides which of them is sent next and
// which are refused. It does no I/O and never blocks; the current time is an argument.
//
// It handles overload: a server never gets more concurrent requests than it has slots, nor more a second than its limit, if it
// has one; requests that can still meet their latency objective are sent before late ones, those of a higher priority before
// others, and a request that would have to wait and can't be answered before its deadline is refused as soon as that is known.
package queuer

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/throttler"
)

const (
	// ewmaWeight is the weight of a new service time in the exponentially weighted moving average.
	ewmaWeight = 0.1
	// initialServiceTime is the assumed service time of a class before any was measured.
	initialServiceTime = 100 * time.Millisecond
	// overloadThreshold is the load from which requests whose answers would be late are refused. At a load of 1 the requests
	// need all slots.
	overloadThreshold = 0.97
	// loadWindow is the time over which the load is averaged.
	loadWindow = 2 * time.Second
	// failuresToEject is how many consecutive failures eject a server.
	failuresToEject = 3
	// minEjectionTime is how long a server is ejected for the first time. Each further ejection is twice as long, up to
	// maxEjectionTime.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 4 * time.Second
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
type Wait struct{ Ticket Ticket }

// Refuse says that the request can't be answered before its deadline or, under overload, before its objective. Its client
// may retry after RetryAfter.
type Refuse struct{ RetryAfter time.Duration }

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
	Inconclusive                // says nothing about the server, for example because the client left
)

// server is one backend server.
type server struct {
	id           string
	slots        int
	running      int
	mean         time.Duration // service time over all classes; 0 before any was measured
	failures     int           // consecutive
	ejectedUntil time.Time
	ejectionTime time.Duration // of the last ejection; 0 once a request was Answered
	probing      bool          // after an ejection or a pause: limited to one request at a time until one is Answered
	pausedUntil  time.Time     // until then the server wants no requests
	limit        throttler.Bucket
	hasSuspect   bool // whether a suspect runs on it
	removed      bool // gets no new requests, and is dropped when none runs on it
}

type waitingRequest struct {
	Request
	ticket Ticket
	since  time.Time
}

// class holds the measurements of a request class.
type class struct {
	mean time.Duration // service time
}

// Queue holds the requests for a set of servers. The zero Queue has no servers, and shares no service times with other
// queues. It is not safe for concurrent use.
type Queue struct {
	times         *ServiceTimes
	servers       []*server
	waiting       []*waitingRequest
	classes       map[string]*class
	lastTicket    Ticket
	load          float64 // requested service time per second and usable slot, averaged over loadWindow
	loadDecayedAt time.Time
}

// New returns a queue without servers that shares times with other queues.
func New(times *ServiceTimes) Queue { return Queue{times: times} }

// Server is a backend server and its slots.
type Server struct {
	ID          string
	Slots       int
	PausedUntil time.Time // until then it wants no requests; the zero Time if it has not asked for a pause
	Limited     bool      // whether it names a limit
	Rate        float64   // the limit in requests a second
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
		known.slots, known.removed = s.Slots, false
		known.pausedUntil = time.Time{} // a new incarnation of the server has not asked for the pause
		known.pause(now, s.PausedUntil)
		known.setLimit(now, s.Limited, s.Rate)
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

// capacity returns how many requests the usable servers are likely to run concurrently under load: as many as they have
// slots, or as many as their limits let begin within a service time.
func (q *Queue) capacity(now time.Time) float64 {
	total := 0.0
	for _, s := range q.servers {
		if s.usable(now) {
			total += s.capacity()
		}
	}
	return total
}

// capacity returns how many requests the server is likely to run concurrently under load.
func (s *server) capacity() float64 {
	slots := float64(s.maxRunning())
	rate, limited := s.limit.Rate()
	if !limited {
		return slots
	}
	mean := s.mean
	if mean == 0 {
		mean = initialServiceTime
	}
	return min(slots, rate*mean.Seconds())
}

// limitDelay returns how long it takes until the limits of the usable servers let a request begin behind a number of others
// that wait.
func (q *Queue) limitDelay(now time.Time, ahead int) time.Duration {
	rates, first := 0.0, time.Duration(-1)
	for _, s := range q.servers {
		if !s.usable(now) {
			continue
		}
		rate, limited := s.limit.Rate()
		if !limited {
			return 0
		}
		rates += rate
		if delay := s.limit.Delay(now); first < 0 || delay < first {
			first = delay
		}
	}
	if first < 0 {
		return 0
	}
	return first + time.Duration(float64(ahead)/rates*float64(time.Second))
}

func (s *server) usable(now time.Time) bool { return !s.removed && !now.Before(s.usableFrom()) }

// usableFrom returns when the server may get requests again.
func (s *server) usableFrom() time.Time {
	if s.pausedUntil.After(s.ejectedUntil) {
		return s.pausedUntil
	}
	return s.ejectedUntil
}

// pause keeps requests from the server until a given time. Then it gets one at a time until one is Answered. A pause that
// has ended, or that ends before the present one, changes nothing.
func (s *server) pause(now, until time.Time) {
	if now.Before(until) && until.After(s.pausedUntil) {
		s.pausedUntil, s.probing = until, true
	}
}

// setLimit sets or ends the limit of the server's requests a second.
func (s *server) setLimit(now time.Time, limited bool, rate float64) {
	if limited {
		s.limit.SetRate(now, rate)
		return
	}
	s.limit.Unlimit()
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

// maxRunning returns how many requests the server may run concurrently.
func (s *server) maxRunning() int {
	if s.probing {
		return 1
	}
	return s.slots
}

// Offer adds a new request to the load, and starts it, lets it wait or refuses it.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	q.addLoad(now, r)
	if !q.canAnswer(now, r) { // the request counts in the load all the same
		return Refuse{RetryAfter: minRetryAfter}
	}
	if len(q.waiting) == 0 {
		if s := q.pickServer(now, r); s != nil {
			s.start(now, r)
			return Start{Server: s.id}
		}
	}
	q.lastTicket++
	w := &waitingRequest{Request: r, ticket: q.lastTicket, since: now}
	q.waiting = append(q.waiting, w)
	if !q.feasible(now, w) {
		q.Cancel(w.ticket)
		return Refuse{RetryAfter: q.retryAfter(now)}
	}
	return Wait{Ticket: w.ticket}
}

// addLoad adds the expected service time of a request to the load.
func (q *Queue) addLoad(now time.Time, r Request) {
	q.decayLoad(now)
	q.load += q.serviceTime(r).Seconds() / (loadWindow.Seconds() * q.divisor(now))
}

// divisor returns the capacity, or 1 without a usable server, so that loads and times can be divided by it.
func (q *Queue) divisor(now time.Time) float64 {
	if capacity := q.capacity(now); capacity > 0 {
		return capacity
	}
	return 1
}

// start begins a request at the server.
func (s *server) start(now time.Time, r Request) {
	s.running++
	s.limit.Take(now)
	s.hasSuspect = s.hasSuspect || r.Suspect
}

// EndSuspect records that a suspect has ended at a server. Done must be called as well, after it.
func (q *Queue) EndSuspect(serverID string) {
	if s := q.findServer(serverID); s != nil {
		s.hasSuspect = false
	}
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

// decayLoad reduces the load by the fraction of loadWindow that has passed since its last reduction.
func (q *Queue) decayLoad(now time.Time) {
	if elapsed := now.Sub(q.loadDecayedAt); elapsed > 0 {
		q.load *= max(0, 1-elapsed.Seconds()/loadWindow.Seconds())
		q.loadDecayedAt = now
	}
}

// serviceTime returns the expected service time of a request.
func (q *Queue) serviceTime(r Request) time.Duration {
	if c := q.classes[r.Class]; c != nil {
		return c.mean
	}
	return initialServiceTime
}

// pickServer returns the server for the next request, or nil if no slot is free within the limits: the one with the largest
// share of free slots, and among equals the fastest. AvoidServer is picked only if no other server has a free slot.
func (q *Queue) pickServer(now time.Time, r Request) *server {
	var best *server
	for _, s := range q.servers {
		if !s.usable(now) || s.running >= s.maxRunning() || !s.limit.Allows(now) || r.Suspect && s.hasSuspect {
			continue
		}
		if best == nil || s.betterThan(best, r.AvoidServer) {
			best = s
		}
	}
	return best
}

// betterThan reports whether s is a better choice than other for the next request.
func (s *server) betterThan(other *server, avoid string) bool {
	if (s.id == avoid) != (other.id == avoid) {
		return other.id == avoid
	}
	if a, b := s.running*other.slots, other.running*s.slots; a != b {
		return a < b
	}
	if s.mean != other.mean {
		return s.mean < other.mean
	}
	return s.id < other.id
}

// Done records the outcome of a request that was started, and how long it took; if it TimedOut, that is the time that it had.
func (q *Queue) Done(now time.Time, serverID, className string, outcome Outcome, took time.Duration) Change {
	s := q.findServer(serverID)
	if s == nil {
		return Change{}
	}
	s.running--
	switch outcome {
	case Answered:
		q.recordServiceTime(now, className, took)
		s.recordServiceTime(took)
		s.failures, s.ejectionTime, s.probing = 0, 0, false
	case Failed:
		s.recordFailure(now)
	case TimedOut:
		if q.hadEnoughTime(now, className, took) {
			s.recordFailure(now)
		}
	case Rejected: // counts as a failure only if requests can be sent to another server
		if q.hasOtherServer(s) {
			s.recordFailure(now)
		}
	case Inconclusive:
	}
	q.dropRemoved()
	return q.advance(now)
}

// hadEnoughTime reports whether a request that had a given time at its server was likely to be answered by a sound one. Without
// a measurement of its class it is taken to be, so that a server that hangs from the start is found out.
func (q *Queue) hadEnoughTime(now time.Time, className string, given time.Duration) bool {
	return q.times == nil || given >= q.times.enough(now, className)
}

// hasOtherServer reports whether requests can be sent elsewhere than to s.
func (q *Queue) hasOtherServer(s *server) bool {
	return slices.ContainsFunc(q.servers, func(other *server) bool { return other != s && !other.removed })
}

func (s *server) recordServiceTime(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += time.Duration(ewmaWeight * float64(took-s.mean))
}

// recordFailure counts a failure, and ejects the server after several consecutive ones.
func (s *server) recordFailure(now time.Time) {
	s.failures++
	if s.failures >= failuresToEject {
		s.eject(now)
	}
}

// eject keeps requests from the server, for twice as long as the last time but at most maxEjectionTime.
func (s *server) eject(now time.Time) {
	s.ejectionTime = min(max(minEjectionTime, 2*s.ejectionTime), maxEjectionTime)
	s.ejectedUntil = now.Add(s.ejectionTime)
	s.failures = failuresToEject - 1 // the next failure ejects the server again
	s.probing = true
}

func (q *Queue) recordServiceTime(now time.Time, className string, took time.Duration) {
	if q.times == nil {
		q.times = &ServiceTimes{}
	}
	q.times.record(now, className, took)
	c := q.classes[className]
	if c == nil {
		if q.classes == nil {
			q.classes = map[string]*class{}
		}
		q.classes[className] = &class{mean: took}
		return
	}
	c.mean += time.Duration(ewmaWeight * float64(took-c.mean))
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
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		// With a free slot, a request is started whatever its expected service time, unless no answer can be in time.
		if s := q.pickServer(now, w.Request); s != nil && q.canAnswer(now, w.Request) {
			s.start(now, w.Request)
			change.Started = append(change.Started, Started{Ticket: w.ticket, Server: s.id})
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	change.Refused = q.refuseInfeasible(now)
	return change
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

// missesObjective reports whether a request would be late even if it were started now.
func (q *Queue) missesObjective(now time.Time, w *waitingRequest) bool {
	return now.Add(q.serviceTime(w.Request)).After(w.Objective)
}

// sort sorts the waiting requests in the order in which they are started: those that can meet their objective before late
// ones, then by priority, then by objective, or by deadline among late ones.
func (q *Queue) sort(now time.Time) {
	slices.SortFunc(q.waiting, func(a, b *waitingRequest) int {
		lateA, lateB := q.missesObjective(now, a), q.missesObjective(now, b)
		switch {
		case lateA != lateB && lateA:
			return 1
		case lateA != lateB:
			return -1
		case a.Priority != b.Priority:
			return a.Priority - b.Priority
		case lateA:
			return thenByTicket(a, b, a.Deadline.Compare(b.Deadline))
		}
		return thenByTicket(a, b, a.Objective.Compare(b.Objective))
	})
}

// thenByTicket returns order, or the order of the tickets if it is 0.
func thenByTicket(a, b *waitingRequest, order int) int {
	if order != 0 {
		return order
	}
	return compareTickets(a, b)
}

// compareTickets orders two different requests by their arrival.
func compareTickets(a, b *waitingRequest) int {
	if a.ticket < b.ticket {
		return -1
	}
	return 1
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
