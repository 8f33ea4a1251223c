package queuer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// simClass is a class of requests in a simulated load.
type simClass struct {
	name             string
	priority         int
	service          time.Duration // mean at a server of usual speed
	objective, limit time.Duration
	rate             float64 // requests a second
	notIdempotent    bool
	batch            int                                // requests that arrive together; 0 means 1
	burst            float64                            // factor of the rate in the middle third of the run; 0 means none
	impatient        bool                               // its clients repeat refused requests every 10 ms until their time is up
	draw             func(rng *rand.Rand) time.Duration // service time; nil means shifted exponential with the mean service
}

// simLoad is a simulated load of the servers of one queue.
type simLoad struct {
	speeds   []float64 // of the servers, as factors of the service time
	slots    int
	classes  []simClass
	duration time.Duration
}

// simResult counts the requests of a class by how they ended.
type simResult struct {
	offered, inTime, late, refused, unknown int
	refusals                                int           // by the queue, also those after which the client came back
	returned                                int           // requests that came back after Retry-After
	refusedAgain                            int           // those of them that were refused again
	total                                   time.Duration // time to the answers
}

// share returns count as a part of the offered requests.
func (r *simResult) share(count int) float64 { return float64(count) / float64(max(1, r.offered)) }

// mean returns the mean time to an answer.
func (r *simResult) mean() time.Duration {
	return (r.total / time.Duration(max(1, r.inTime+r.late))).Round(time.Millisecond)
}

// add adds the counts of other.
func (r *simResult) add(other *simResult) {
	r.offered += other.offered
	r.inTime += other.inTime
	r.late += other.late
	r.refused += other.refused
	r.refusals += other.refusals
	r.returned += other.returned
	r.refusedAgain += other.refusedAgain
	r.unknown += other.unknown
	r.total += other.total
}

// String returns the shares of the offered requests, and the mean time to an answer.
func (r *simResult) String() string {
	return fmt.Sprintf("in time %.3f, late %.3f, refused %.3f, unknown %.3f, mean %v",
		r.share(r.inTime), r.share(r.late), r.share(r.refused), r.share(r.unknown), r.mean())
}

type simRequest struct {
	class    *simClass
	service  time.Duration
	arrived  time.Time
	deadline time.Time
	retried  bool
}

type simEvent struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// queueSimulation plays a load at one queue in simulated time.
type queueSimulation struct {
	load    simLoad
	queue   Queue
	rng     *rand.Rand
	events  simEvents
	seq     int
	waiting map[Ticket]*simRequest
	results map[string]*simResult
}

// simulate plays a load at a queue with the given settings and returns the results by class.
func simulate(load simLoad, settings Settings, seed uint64) map[string]*simResult {
	s := &queueSimulation{
		load: load, queue: New(&ServiceTimes{}, settings), rng: rand.New(rand.NewPCG(seed, 1)),
		waiting: map[Ticket]*simRequest{}, results: map[string]*simResult{},
	}
	var servers []Server
	for i := range load.speeds {
		servers = append(servers, Server{ID: string(rune('a' + i)), Slots: load.slots})
	}
	s.queue.SetServers(start, servers)
	for i := range load.classes {
		c := &load.classes[i]
		s.results[c.name] = &simResult{}
		// Each class draws its arrivals from a generator of its own, so that they are the same whatever the queue decides.
		s.scheduleArrival(start, c, rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	s.schedule(start, s.advance)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		e.do(e.at)
	}
	return s.results
}

func (s *queueSimulation) schedule(at time.Time, do func(now time.Time)) {
	s.seq++
	heap.Push(&s.events, simEvent{at: at, seq: s.seq, do: do})
}

// scheduleArrival schedules the next requests of a class, and the arrivals after them.
func (s *queueSimulation) scheduleArrival(now time.Time, c *simClass, rng *rand.Rand) {
	rate, third := c.rate/float64(max(1, c.batch)), s.load.duration/3
	if since := now.Sub(start); c.burst > 0 && since > third && since < 2*third {
		rate *= c.burst
	}
	at := now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	if at.Sub(start) > s.load.duration {
		return
	}
	s.schedule(at, func(now time.Time) {
		for range max(1, c.batch) {
			r := &simRequest{class: c, arrived: now, deadline: now.Add(c.limit)}
			if c.draw != nil {
				r.service = c.draw(rng)
			} else {
				r.service = time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(c.service))
			}
			s.results[c.name].offered++
			s.offer(now, r)
		}
		s.scheduleArrival(now, c, rng)
	})
}

func (s *queueSimulation) offer(now time.Time, r *simRequest) {
	// An entry instance does not know that a request is a repeat, and gives it a whole objective. The client counts from its first try.
	decision := s.queue.Offer(now, Request{
		Class: r.class.name, Priority: r.class.priority, Objective: now.Add(r.class.objective), Deadline: r.deadline,
		NotIdempotent: r.class.notIdempotent,
	})
	switch d := decision.(type) {
	case Start:
		s.send(now, r, d.Server)
	case Wait:
		s.waiting[d.Ticket] = r
	case Refuse:
		s.refuse(now, r, d.RetryAfter)
	}
}

// refuse lets the client repeat the request: once after retryAfter, or again and again if it is impatient.
func (s *queueSimulation) refuse(now time.Time, r *simRequest, retryAfter time.Duration) {
	s.results[r.class.name].refusals++
	if r.retried {
		s.results[r.class.name].refusedAgain++
	}
	left := r.deadline.Sub(now)
	delay := min(retryAfter, left/3)
	if r.class.impatient {
		delay = 10 * time.Millisecond
	}
	if left <= delay || r.retried && !r.class.impatient {
		s.results[r.class.name].refused++
		return
	}
	r.retried = true
	s.results[r.class.name].returned++
	s.schedule(now.Add(delay), func(now time.Time) { s.offer(now, r) })
}

func (s *queueSimulation) send(now time.Time, r *simRequest, server string) {
	service := time.Duration(float64(r.service) * s.load.speeds[server[0]-'a'])
	end, outcome := now.Add(service), Answered
	if end.After(r.deadline) {
		end, outcome = r.deadline, TimedOut
	}
	s.schedule(end, func(now2 time.Time) {
		result := s.results[r.class.name]
		switch {
		case outcome == TimedOut:
			result.unknown++
		case now2.Sub(r.arrived) <= r.class.objective:
			result.inTime++
		default:
			result.late++
		}
		if outcome == Answered {
			result.total += now2.Sub(r.arrived)
		}
		s.apply(now2, s.queue.Done(now2, server, r.class.name, outcome, now2.Sub(now)))
	})
}

func (s *queueSimulation) apply(now time.Time, change Change) {
	for _, started := range change.Started {
		r := s.waiting[started.Ticket]
		delete(s.waiting, started.Ticket)
		s.send(now, r, started.Server)
	}
	for _, refused := range change.Refused {
		r := s.waiting[refused.Ticket]
		delete(s.waiting, refused.Ticket)
		s.refuse(now, r, refused.RetryAfter)
	}
}

func (s *queueSimulation) advance(now time.Time) {
	s.apply(now, s.queue.Advance(now))
	if now.Sub(start) < s.load.duration+20*time.Second {
		s.schedule(now.Add(50*time.Millisecond), s.advance)
	}
}
