package simulator

import (
	"container/heap"
	"time"

	"github.com/wasabibank/wasabibank/internal/queuer"
)

// outcome is how a request ended.
type outcome int

const (
	pending outcome = iota // not ended yet
	answered
	refused  // by the policy, on arrival or while it waited
	expired  // deadline passed before it was sent
	rejected // by the server, which did not execute it
	hung     // server never answered
)

// request is an arrival and its state in a simulation. Times count from the start of the simulation.
type request struct {
	arrival
	deadline  time.Duration // when the client stops waiting
	scheduler scheduler
	sent      time.Duration
	ended     time.Duration
	outcome   outcome
}

// finish sets the outcome of a request that has none yet.
func (r *request) finish(s *simulation, o outcome) {
	if r.outcome == pending {
		r.outcome, r.ended = o, s.now
	}
}

// event is a function that is called at a virtual time. Events of the same time are called in the order in which they were
// scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap of events.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// backend is the model of a backend server.
type backend struct {
	running int
	queue   []*request
}

// simulation is a run of one load with one policy in virtual time.
type simulation struct {
	load       Load
	now        time.Duration
	events     events
	scheduled  int // events so far
	backends   [serverCount]backend
	schedulers map[string]scheduler
}

// advanceInterval is the interval at which schedulers look for requests that can't be answered in time.
const advanceInterval = 50 * time.Millisecond

// epoch is the wall-clock time at which each simulation starts.
var epoch = time.Unix(0, 0)

// time returns the virtual time as a time.Time.
func (s *simulation) time() time.Time { return epoch.Add(s.now) }

// scheduleAfter schedules run to be called after d.
func (s *simulation) scheduleAfter(d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now + d, sequence: s.scheduled, run: run})
}

// simulate runs a load with a policy and returns its requests with their outcomes.
func simulate(l Load, p Policy, seed uint64) []*request {
	s := &simulation{load: l, schedulers: map[string]scheduler{}}
	var all []*request
	for _, a := range l.arrivals(seed) {
		r := &request{arrival: a, deadline: a.at + a.class.timeout}
		all = append(all, r)
		s.scheduleAfter(a.at, func() {
			key := schedulerKey(p, a)
			if s.schedulers[key] == nil {
				s.schedulers[key] = newScheduler(p)
			}
			r.scheduler = s.schedulers[key]
			r.scheduler.offer(s, r)
			s.advanceWhileWaiting(r.scheduler)
		})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return all
}

// advanceWhileWaiting advances a scheduler every advanceInterval for as long as requests wait.
func (s *simulation) advanceWhileWaiting(sched scheduler) {
	if !sched.hasWaiting() {
		return
	}
	s.scheduleAfter(advanceInterval, func() {
		sched.advance(s)
		s.advanceWhileWaiting(sched)
	})
}

// send sends a request to its server, which runs, queues or rejects it, or never answers.
func (s *simulation) send(r *request) {
	r.sent = s.now
	b := &s.backends[r.server]
	switch {
	case b.running < slotsPerServer:
		s.start(b, r)
	case len(b.queue) < queueLimit:
		b.queue = append(b.queue, r)
	case s.load.hangsWhenFull:
		// The client closes the connection at its deadline.
		s.scheduleAfter(r.deadline-s.now, func() {
			r.finish(s, hung)
			r.scheduler.done(s, r, queuer.TimedOut)
		})
	default:
		r.finish(s, rejected)
		s.scheduleAfter(0, func() { r.scheduler.done(s, r, queuer.Rejected) })
	}
}

// start runs a request in a free slot of its server.
func (s *simulation) start(b *backend, r *request) {
	b.running++
	s.scheduleAfter(r.serviceTime, func() {
		b.running--
		r.finish(s, answered)
		r.scheduler.done(s, r, queuer.Answered)
		s.startQueued(b)
	})
}

// startQueued starts the server's queued requests in its free slots. It rejects requests whose deadline has passed.
func (s *simulation) startQueued(b *backend) {
	for len(b.queue) > 0 && b.running < slotsPerServer {
		r := b.queue[0]
		b.queue = b.queue[1:]
		if s.now < r.deadline {
			s.start(b, r)
			continue
		}
		r.finish(s, rejected)
		s.scheduleAfter(0, func() { r.scheduler.done(s, r, queuer.Rejected) })
	}
}
