package simulator

import (
	"slices"
	"strconv"

	"github.com/wasabibank/wasabibank/internal/queuer"
)

// Policy decides when a request is sent to its server: NoQueue, FixedShare, FirstComeFirstServed or Dispatcher.
type Policy interface {
	// Name returns the name in the report.
	Name() string
	// policy restricts implementations to this package.
	policy()
}

// NoQueue sends each request to its server at once, without a queue.
type NoQueue struct{}

// FixedShare gives each entry instance a fixed share of each server's slots and queues further requests there, first come,
// first served.
type FixedShare struct{}

// FirstComeFirstServed keeps one queue per server in the order of arrival. It drops waiting requests after their deadline.
type FirstComeFirstServed struct{}

// Dispatcher keeps one queue per server with the order and the refusals of package queuer, as entry instances do.
type Dispatcher struct{}

// Name implements Policy.
func (NoQueue) Name() string { return "no queue" }

// Name implements Policy.
func (FixedShare) Name() string { return "fixed share of slots per entry instance" }

// Name implements Policy.
func (FirstComeFirstServed) Name() string { return "first come first served" }

// Name implements Policy.
func (Dispatcher) Name() string { return "dispatcher" }

func (NoQueue) policy()              {}
func (FixedShare) policy()           {}
func (FirstComeFirstServed) policy() {}
func (Dispatcher) policy()           {}

// Policies returns the policies that are compared.
func Policies() []Policy {
	return []Policy{NoQueue{}, FixedShare{}, FirstComeFirstServed{}, Dispatcher{}}
}

// scheduler queues requests for one server and decides when they are sent.
type scheduler interface {
	// offer adds a new request, which is sent, queued or refused.
	offer(s *simulation, r *request)
	// done reports the result of a request that was sent.
	done(s *simulation, r *request, outcome queuer.Outcome)
	// advance drops requests that can't be answered in time and sends those that can be sent now. It is called every
	// advanceInterval while requests wait.
	advance(s *simulation)
	// hasWaiting reports whether requests wait.
	hasWaiting() bool
}

// newScheduler returns a scheduler for a policy.
func newScheduler(p Policy) scheduler {
	switch p.(type) {
	case FixedShare:
		// At least one, because an entry instance could otherwise never send. All entry instances together can therefore
		// send more requests than the server has slots.
		return &fifo{maxRunning: max(1, slotsPerServer/entryCount)}
	case FirstComeFirstServed:
		return &fifo{maxRunning: slotsPerServer}
	case Dispatcher:
		q := &dispatcherQueue{tickets: map[queuer.Ticket]*request{}}
		q.queue.SetServers(epoch, []queuer.Server{{ID: "s", Slots: slotsPerServer}})
		return q
	}
	return &fifo{maxRunning: -1}
}

// fifo sends requests in the order of their arrival, at most maxRunning at once. If maxRunning is negative, there is no
// maximum.
type fifo struct {
	maxRunning int
	running    int
	waiting    []*request
}

func (q *fifo) offer(s *simulation, r *request) {
	q.waiting = append(q.waiting, r)
	q.advance(s)
}

func (q *fifo) done(s *simulation, _ *request, _ queuer.Outcome) {
	q.running--
	q.advance(s)
}

func (q *fifo) advance(s *simulation) {
	q.waiting = slices.DeleteFunc(q.waiting, func(r *request) bool {
		pastDeadline := s.now >= r.deadline
		if pastDeadline {
			r.finish(s, expired)
		}
		return pastDeadline
	})
	for len(q.waiting) > 0 && (q.maxRunning < 0 || q.running < q.maxRunning) {
		r := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		s.send(r)
	}
}

func (q *fifo) hasWaiting() bool { return len(q.waiting) > 0 }

// dispatcherQueue uses the queue that dispatchers use.
type dispatcherQueue struct {
	queue   queuer.Queue
	tickets map[queuer.Ticket]*request
}

func (q *dispatcherQueue) offer(s *simulation, r *request) {
	decision := q.queue.Offer(s.time(), queuer.Request{
		Class: r.class.name, Priority: r.class.priority,
		Objective: epoch.Add(r.at + r.class.objective), Deadline: epoch.Add(r.deadline),
	})
	switch d := decision.(type) {
	case queuer.Start:
		s.send(r)
	case queuer.Wait:
		q.tickets[d.Ticket] = r
	case queuer.Refuse:
		r.finish(s, refused)
	}
}

func (q *dispatcherQueue) done(s *simulation, r *request, outcome queuer.Outcome) {
	q.apply(s, q.queue.Done(s.time(), "s", r.class.name, outcome, s.now-r.sent))
}

func (q *dispatcherQueue) advance(s *simulation) { q.apply(s, q.queue.Advance(s.time())) }

// apply sends the requests that the queue has started and ends those that it has refused.
func (q *dispatcherQueue) apply(s *simulation, change queuer.Change) {
	for _, started := range change.Started {
		r := q.tickets[started.Ticket]
		delete(q.tickets, started.Ticket)
		s.send(r)
	}
	for _, g := range change.Refused {
		q.tickets[g.Ticket].finish(s, refused)
		delete(q.tickets, g.Ticket)
	}
}

func (q *dispatcherQueue) hasWaiting() bool { return q.queue.Waiting() > 0 }

// schedulerKey returns the key of the scheduler for a request: one per server or, for FixedShare, one per server and entry
// instance.
func schedulerKey(p Policy, a arrival) string {
	if _, ok := p.(FixedShare); ok {
		return strconv.Itoa(a.server) + "/" + strconv.Itoa(a.entry)
	}
	return strconv.Itoa(a.server)
}
