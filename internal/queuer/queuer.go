// Package queuer orders the requests that wait for a set of backend servers, and decides which of them runs next and
// which is refused. It is pure: the present time is an argument, and nothing in it waits.
//
// It answers overload: a server is never offered more than it has slots for, what can still be answered within its
// objective goes before what is late already, urgent classes go before others, and a request that can't be run within
// its time is refused as soon as that is known.
package queuer

import (
	"slices"
	"time"
)

const (
	// learning is the weight of a new service time in the mean.
	learning = 0.1
	// firstGuess is the service time of a class before any was measured.
	firstGuess = 100 * time.Millisecond
	// crowded is the share of the capacity in use at which requests that are late already are not kept.
	crowded = 0.97
	// loadSpan is the time over which the load is averaged.
	loadSpan = 2 * time.Second
	// failuresToEject is how many failures in a row take a server out for a while.
	failuresToEject = 3
	// ejection is how long a server is first left out; each further time doubles it, up to ejectionMax.
	ejection    = 500 * time.Millisecond
	ejectionMax = 4 * time.Second
	// minRetry and maxRetry bound the advice of when to come back.
	minRetry = 50 * time.Millisecond
	maxRetry = 2 * time.Second
)

// Request is what the queue has to know of a request.
type Request struct {
	Class       string
	Priority    int       // 0 goes first
	Objective   time.Time // when its answer is late
	Deadline    time.Time // when nobody waits for it any more
	AvoidServer string    // a server that it is not to be sent to if there is another one
}

// Ticket names a request that waits.
type Ticket uint64

// Decision is what the queue says to a new request.
type Decision interface{ decision() }

// Start says that the request is to be sent to a server now. Exactly one Done must follow.
type Start struct{ Server string }

// Wait says that the request waits.
type Wait struct{ Ticket Ticket }

// Refuse says that the request can't be run in time.
type Refuse struct{ RetryAfter time.Duration }

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Started is a waiting request that is to be sent to a server now.
type Started struct {
	Ticket Ticket
	Server string
}

// GivenUp is a waiting request that can't be run in time.
type GivenUp struct {
	Ticket     Ticket
	RetryAfter time.Duration
}

// Change is what became of waiting requests.
type Change struct {
	Started []Started
	GivenUp []GivenUp
}

// Result is what came of a request that was started.
type Result int

// The results of a request that was started.
const (
	Answered  Result = iota // by the server, after running it
	Rejected                // by the server, which did not run it
	Failed                  // no whole answer, or one that says that the server failed
	Abandoned               // nobody waited for it any more
)

// server is one backend server.
type server struct {
	id       string
	slots    int
	running  int
	mean     time.Duration // of its service times, over all classes
	failures int           // in a row
	ejected  time.Time     // left out until
	ejection time.Duration
	trial    bool // back after an ejection, and tried with one request first
	gone     bool // not offered anything, and dropped when nothing runs on it
}

type waiting struct {
	Request
	ticket Ticket
}

// class is what is known of the requests of a class.
type class struct {
	mean time.Duration
}

// Queue holds the requests for a set of servers. The zero Queue has no servers. It is not safe for concurrent use.
type Queue struct {
	servers []*server
	waiting []*waiting
	classes map[string]*class
	last    Ticket
	load    float64 // service time asked for in the last loadSpan, for each second of capacity
	loadAt  time.Time
}

// Server is a backend server and its slots.
type Server struct {
	ID    string
	Slots int
}

// SetServers sets the servers and returns what can start on new ones.
func (q *Queue) SetServers(now time.Time, list []Server) Change {
	for _, s := range q.servers {
		s.gone = true
	}
	for _, s := range list {
		known := q.find(s.ID)
		if known == nil {
			known = &server{id: s.ID}
			q.servers = append(q.servers, known)
		}
		known.slots, known.gone = s.Slots, false
	}
	q.dropGone()
	return q.advance(now)
}

func (q *Queue) dropGone() {
	q.servers = slices.DeleteFunc(q.servers, func(s *server) bool { return s.gone && s.running == 0 })
}

func (q *Queue) find(id string) *server {
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

// slots returns how many requests may run at once at now.
func (q *Queue) slots(now time.Time) int {
	total := 0
	for _, s := range q.servers {
		if s.usable(now) {
			total += s.room()
		}
	}
	return total
}

func (s *server) usable(now time.Time) bool { return !s.gone && !now.Before(s.ejected) }

// room returns how many requests the server may run at once.
func (s *server) room() int {
	if s.trial {
		return 1
	}
	return s.slots
}

// Offer decides on a new request.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	q.count(now, r)
	if !now.Before(r.Deadline) {
		return Refuse{RetryAfter: minRetry}
	}
	if len(q.waiting) == 0 {
		if s := q.pick(now, r.AvoidServer); s != nil {
			s.running++
			return Start{Server: s.id}
		}
	}
	q.last++
	w := &waiting{Request: r, ticket: q.last}
	q.waiting = append(q.waiting, w)
	if !q.feasible(now, w) {
		q.Cancel(w.ticket)
		return Refuse{RetryAfter: q.retryAfter(now)}
	}
	return Wait{Ticket: w.ticket}
}

// count adds a request to the measured load.
func (q *Queue) count(now time.Time, r Request) {
	q.fade(now)
	q.load += q.service(r).Seconds() / (loadSpan.Seconds() * float64(max(1, q.slots(now))))
}

func (q *Queue) fade(now time.Time) {
	if passed := now.Sub(q.loadAt); passed > 0 {
		q.load *= max(0, 1-passed.Seconds()/loadSpan.Seconds())
		q.loadAt = now
	}
}

// service returns the expected service time of a request.
func (q *Queue) service(r Request) time.Duration {
	if c := q.classes[r.Class]; c != nil {
		return c.mean
	}
	return firstGuess
}

// pick returns the server that is to run the next request, or nil when all slots are taken: the one with the most free
// slots for its size, and among these the fastest.
func (q *Queue) pick(now time.Time, avoid string) *server {
	var best *server
	for _, s := range q.servers {
		if !s.usable(now) || s.running >= s.room() {
			continue
		}
		if best == nil || s.better(best, avoid) {
			best = s
		}
	}
	return best
}

func (s *server) better(other *server, avoid string) bool {
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

// Done takes the result of a request that was started, and how long it took.
func (q *Queue) Done(now time.Time, id, className string, result Result, took time.Duration) Change {
	s := q.find(id)
	if s == nil {
		return Change{}
	}
	s.running--
	switch result {
	case Answered:
		q.learn(className, took)
		s.learn(took)
		s.failures, s.ejection, s.trial = 0, 0, false
	case Failed:
		s.fail(now)
	case Rejected:
		if q.others(s) {
			s.fail(now)
		}
	case Abandoned:
	}
	q.dropGone()
	return q.advance(now)
}

// others reports whether requests can run elsewhere than on s.
func (q *Queue) others(s *server) bool {
	return slices.ContainsFunc(q.servers, func(other *server) bool { return other != s && !other.gone })
}

func (s *server) learn(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += time.Duration(learning * float64(took-s.mean))
}

// fail counts a failure, and leaves the server out after several in a row.
func (s *server) fail(now time.Time) {
	s.failures++
	if s.failures >= failuresToEject {
		s.eject(now)
	}
}

func (s *server) eject(now time.Time) {
	s.ejection = min(max(ejection, 2*s.ejection), ejectionMax)
	s.ejected = now.Add(s.ejection)
	s.failures = failuresToEject - 1 // one more failure after it takes the server out again
	s.trial = true
}

func (q *Queue) learn(name string, took time.Duration) {
	c := q.classes[name]
	if c == nil {
		if q.classes == nil {
			q.classes = map[string]*class{}
		}
		q.classes[name] = &class{mean: took}
		return
	}
	c.mean += time.Duration(learning * float64(took-c.mean))
}

// Cancel takes a waiting request out, because nobody waits for its answer.
func (q *Queue) Cancel(t Ticket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiting) bool { return w.ticket == t })
}

// Expire gives up the requests that can't be run in time any more, and starts what can start.
func (q *Queue) Expire(now time.Time) Change { return q.advance(now) }

// advance gives up what is hopeless and starts what can start.
func (q *Queue) advance(now time.Time) Change {
	var change Change
	if len(q.waiting) == 0 {
		return change
	}
	q.sort(now)
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if s := q.pick(now, w.AvoidServer); s != nil && now.Before(w.Deadline) {
			s.running++
			change.Started = append(change.Started, Started{Ticket: w.ticket, Server: s.id})
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	change.GivenUp = q.giveUp(now)
	return change
}

// giveUp takes out the requests whose turn comes too late. The waiting requests are in order.
func (q *Queue) giveUp(now time.Time) []GivenUp {
	var given []GivenUp
	ahead := q.runningWork()
	slots := q.slots(now)
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		need := q.service(w.Request)
		if q.reaches(now, w, ahead, slots, need) {
			ahead += need
			kept = append(kept, w)
			continue
		}
		given = append(given, GivenUp{Ticket: w.ticket, RetryAfter: q.retryAfter(now)})
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return given
}

// back returns when the first server that is left out is tried again.
func (q *Queue) back(now time.Time) time.Time {
	first := now.Add(ejectionMax)
	for _, s := range q.servers {
		if !s.gone && s.ejected.Before(first) {
			first = s.ejected
		}
	}
	return first
}

// end returns when a request with so much work ahead of it would be answered.
func (q *Queue) end(now time.Time, ahead, need time.Duration) time.Time {
	return now.Add(ahead/time.Duration(max(1, q.slots(now))) + need)
}

// reaches reports whether a request with so much work ahead of it ends within its limit.
func (q *Queue) reaches(now time.Time, w *waiting, ahead time.Duration, slots int, need time.Duration) bool {
	if slots == 0 {
		back := q.back(now)
		return back.Sub(now) <= ejection && back.Add(need).Before(w.Deadline)
	}
	start := ahead / time.Duration(slots)
	if q.late(now, w) {
		if q.load >= crowded {
			return false
		}
		start = time.Duration(float64(start) / (1 - q.load))
	}
	return !now.Add(start + need).After(w.Deadline)
}

// runningWork returns about how much service time the requests that run still need.
func (q *Queue) runningWork() time.Duration {
	var total time.Duration
	for _, s := range q.servers {
		if !s.gone {
			total += time.Duration(s.running) * s.mean / 2
		}
	}
	return total
}

// feasible reports whether a request that has just been added would be run in time.
func (q *Queue) feasible(now time.Time, added *waiting) bool {
	q.sort(now)
	ahead := q.runningWork()
	for _, w := range q.waiting {
		need := q.service(w.Request)
		if w == added {
			if q.load >= crowded && q.end(now, ahead, need).After(w.Objective) {
				return false // late answers would make those behind them late as well
			}
			return q.reaches(now, w, ahead, q.slots(now), need)
		}
		ahead += need
	}
	return false
}

func compareTickets(a, b *waiting) int {
	if a.ticket < b.ticket {
		return -1
	}
	return 1
}

// late reports whether the answer to a request would come after its objective even if it ran now.
func (q *Queue) late(now time.Time, w *waiting) bool {
	return now.Add(q.service(w.Request)).After(w.Objective)
}

// sort puts the requests in the order in which they are to run: those that can meet their objective first, the urgent
// ones of these first, and among these the one whose objective ends first.
func (q *Queue) sort(now time.Time) {
	slices.SortFunc(q.waiting, func(a, b *waiting) int {
		lateA, lateB := q.late(now, a), q.late(now, b)
		switch {
		case lateA != lateB && lateA:
			return 1
		case lateA != lateB:
			return -1
		case a.Priority != b.Priority:
			return a.Priority - b.Priority
		case lateA:
			return orTicket(a, b, a.Deadline.Compare(b.Deadline))
		}
		return orTicket(a, b, a.Objective.Compare(b.Objective))
	})
}

func orTicket(a, b *waiting, order int) int {
	if order != 0 {
		return order
	}
	return compareTickets(a, b)
}

// retryAfter returns when what waits now will have been run.
func (q *Queue) retryAfter(now time.Time) time.Duration {
	total := q.runningWork()
	for _, w := range q.waiting {
		total += q.service(w.Request)
	}
	slots := q.slots(now)
	if slots == 0 {
		return max(minRetry, q.back(now).Sub(now))
	}
	return min(max(minRetry, total/time.Duration(slots)), maxRetry)
}

// MeanServiceTime returns the mean service time of a server, or 0 where none was measured.
func (q *Queue) MeanServiceTime(id string) time.Duration {
	if s := q.find(id); s != nil {
		return s.mean
	}
	return 0
}
