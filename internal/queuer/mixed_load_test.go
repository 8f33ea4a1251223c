package queuer

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulatedClass is a class of requests in a mixed load.
type simulatedClass struct {
	name                          string
	priority                      int
	service, objective, timeLimit time.Duration
	share                         float64 // of the work
	atMostOnce                    bool
	burst                         float64 // multiplies its arrivals for 2 of 10 seconds
}

// mixedLoad plays requests of several classes to servers of different speeds, a fifth of which is 3 times slower for 400 ms at a
// time. Clients repeat a refused request once.
type mixedLoad struct {
	queues    []*Queue // with one server, or a pool
	slots     int
	slowAbove int // running requests above which a server is 3 times slower; 0 if it is not
	hot       bool
	random    *rand.Rand
	pauses    [8][]bool // by server and 400 ms
	events    eventHeap
	waiting   map[*Queue]map[Ticket]mixedRequest
	running   map[string][]*mixedWork
	inTime    map[string]float64
	offered   map[string]float64
}

type mixedRequest struct {
	class    simulatedClass
	queue    *Queue
	arrived  time.Time
	repeated bool
	work     time.Duration // at a server of speed 1
}

type mixedWork struct {
	mixedRequest
	began time.Time
	left  time.Duration
}

const mixedStep = 5 * time.Millisecond

// slowness returns by how much service times at a server are multiplied.
func (m *mixedLoad) slowness(server string, number int, at time.Duration) float64 {
	factor := 0.7 + 0.1*float64(number) // 0.7 to 1.4 of the usual service time
	if m.pauses[number][at/(400*time.Millisecond)] {
		factor *= 3
	}
	if m.slowAbove > 0 && len(m.running[server]) > m.slowAbove {
		factor *= 3
	}
	return factor
}

func (m *mixedLoad) schedule(at time.Time, do func(now time.Time)) {
	heap.Push(&m.events, event{at: at, do: do})
}

// run plays 40 s at a load relative to all slots, and returns the share of each class that was answered in time.
func (m *mixedLoad) run(classes []simulatedClass, load float64) map[string]float64 {
	m.waiting, m.running = map[*Queue]map[Ticket]mixedRequest{}, map[string][]*mixedWork{}
	m.inTime, m.offered = map[string]float64{}, map[string]float64{}
	const duration = 40 * time.Second
	for i := range m.pauses {
		for range 200 {
			m.pauses[i] = append(m.pauses[i], m.random.Intn(5) == 0)
		}
	}
	for i, q := range m.queues {
		m.waiting[q] = map[Ticket]mixedRequest{}
		for n, class := range classes {
			rate := load * class.share * float64(m.slots*len(q.servers)) / class.service.Seconds()
			if m.hot && i == len(m.queues)-1 {
				rate *= 1.6
			}
			for at := time.Duration(0); at < duration; {
				present := rate
				if at%(10*time.Second) >= time.Duration(4+2*n)*time.Second && at%(10*time.Second) < time.Duration(6+2*n)*time.Second {
					present *= class.burst
				}
				at += time.Duration(m.random.ExpFloat64() / present * float64(time.Second))
				work := time.Duration((0.3 + 0.7*m.random.ExpFloat64()) * float64(class.service))
				r := mixedRequest{class: class, queue: q, work: work}
				m.schedule(start.Add(at), func(now time.Time) {
					m.offered[class.name]++
					r.arrived = now
					m.offer(now, r)
				})
			}
		}
	}
	for at := time.Duration(0); at < duration+5*time.Second; at += mixedStep {
		now := start.Add(at)
		for m.events.Len() > 0 && !m.events[0].at.After(now) {
			heap.Pop(&m.events).(event).do(now)
		}
		number := 0
		for _, q := range m.queues {
			for _, s := range q.servers {
				m.work(now, at, q, s.id, number)
				number++
			}
			if at%(50*time.Millisecond) == 0 {
				m.apply(now, q, q.Advance(now))
			}
		}
	}
	shares := map[string]float64{}
	for name, n := range m.offered {
		shares[name] = m.inTime[name] / n
	}
	return shares
}

// work continues the requests at a server for a step.
func (m *mixedLoad) work(now time.Time, at time.Duration, q *Queue, server string, number int) {
	step := time.Duration(float64(mixedStep) / m.slowness(server, number%8, at))
	var done, kept []*mixedWork
	for _, w := range m.running[server] {
		if w.left -= step; w.left <= 0 {
			done = append(done, w)
			continue
		}
		kept = append(kept, w)
	}
	m.running[server] = kept
	for _, w := range done {
		if now.Sub(w.arrived) <= w.class.objective {
			m.inTime[w.class.name]++
		}
		m.apply(now, q, q.Done(now, server, w.class.name, Answered, now.Sub(w.began)))
	}
}

func (m *mixedLoad) offer(now time.Time, r mixedRequest) {
	switch d := r.queue.Offer(now, Request{
		Class: r.class.name, Priority: r.class.priority, Objective: r.arrived.Add(r.class.objective), Deadline: r.arrived.Add(r.class.timeLimit),
		NotIdempotent: r.class.atMostOnce,
	}).(type) {
	case Start:
		m.begin(now, d.Server, r)
	case Wait:
		m.waiting[r.queue][d.Ticket] = r
	case Refuse:
		m.refuse(now, r, d.RetryAfter)
	}
}

func (m *mixedLoad) begin(now time.Time, server string, r mixedRequest) {
	m.running[server] = append(m.running[server], &mixedWork{mixedRequest: r, began: now, left: r.work})
}

func (m *mixedLoad) refuse(now time.Time, r mixedRequest, retryAfter time.Duration) {
	if r.repeated {
		return
	}
	r.repeated = true
	m.schedule(now.Add(min(retryAfter, r.arrived.Add(r.class.timeLimit).Sub(now)/3)), func(now time.Time) { m.offer(now, r) })
}

func (m *mixedLoad) apply(now time.Time, q *Queue, change Change) {
	for _, s := range change.Started {
		m.begin(now, s.Server, m.waiting[q][s.Ticket])
		delete(m.waiting[q], s.Ticket)
	}
	for _, g := range change.Refused {
		m.refuse(now, m.waiting[q][g.Ticket], g.RetryAfter)
		delete(m.waiting[q], g.Ticket)
	}
}

// mixedQueues returns a queue of eight servers, or eight queues of one each.
func mixedQueues(keyed, adaptive bool, slots int) []*Queue {
	var queues []*Queue
	var pool []Server
	for i := range 8 {
		s := Server{ID: fmt.Sprintf("s%d", i), Slots: slots}
		pool = append(pool, s)
		if keyed {
			q := New(&ServiceTimes{}, Settings{AdaptiveLimits: adaptive})
			q.SetServers(start, []Server{s})
			queues = append(queues, &q)
		}
	}
	if keyed {
		return queues
	}
	q := New(&ServiceTimes{}, Settings{AdaptiveLimits: adaptive})
	q.SetServers(start, pool)
	return []*Queue{&q}
}

// TestLimitsUnderMixedLoad guards against limits that are lowered because of a mix of short and long requests or of short pauses of
// a machine, which refuses requests of servers that have room for them.
func TestLimitsUnderMixedLoad(t *testing.T) {
	const ms = time.Millisecond
	bills := simulatedClass{name: "bill", service: 180 * ms, objective: 500 * ms, timeLimit: 2500 * ms, atMostOnce: true, share: 0.15, burst: 2.1}
	tariffs := simulatedClass{
		name: "tariff", priority: 2, service: time.Second, objective: 6 * time.Second, timeLimit: 12 * time.Second, share: 0.85, burst: 1.5,
	}
	mix := []simulatedClass{bills, tariffs}
	lookups := []simulatedClass{{name: "lookup", service: 210 * ms, objective: time.Second, timeLimit: 2500 * ms, share: 1, burst: 2.1}}
	tests := map[string]struct {
		classes   []simulatedClass
		keyed     bool
		slots     int
		slowAbove int
		load      float64
		gain      float64 // least difference from the share without limits, of each class
	}{
		"keyed, calm":                {classes: mix, keyed: true, slots: 6, load: 0.3, gain: -0.01},
		"keyed, half load":           {classes: mix, keyed: true, slots: 6, load: 0.4, gain: -0.01},
		"keyed, full":                {classes: mix, keyed: true, slots: 6, load: 0.6, gain: -0.01},
		"keyed, overload":            {classes: mix, keyed: true, slots: 6, load: 0.9, gain: -0.01},
		"keyed, one class":           {classes: lookups, keyed: true, slots: 4, load: 0.5, gain: -0.01},
		"keyed, one class, overload": {classes: lookups, keyed: true, slots: 4, load: 0.8, gain: -0.01},
		"pool, full":                 {classes: mix, slots: 6, load: 0.6, gain: -0.01},
		"pool, overload":             {classes: mix, slots: 6, load: 0.9, gain: -0.01},
		"pool, one class, overload":  {classes: lookups, slots: 4, load: 0.8, gain: -0.01},
		"keyed, slow above 3":        {classes: mix, keyed: true, slots: 6, slowAbove: 3, load: 0.4, gain: -0.01},
		// No limit is learned from requests of 1 s. The choice of a server favours the long ones: 0.011 more of them are in time.
		"pool, slow above 3": {classes: mix, slots: 6, slowAbove: 3, load: 0.4, gain: -0.03},
		"pool, one class, slow above 2": {
			classes: lookups, slots: 4, slowAbove: 2, load: 0.4, gain: 0.08,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const seeds = 3
			fixed, limited := map[string]float64{}, map[string]float64{}
			for seed := range int64(seeds) {
				for _, adaptive := range []bool{false, true} {
					m := &mixedLoad{
						queues: mixedQueues(test.keyed, adaptive, test.slots), slots: test.slots, slowAbove: test.slowAbove, hot: test.keyed,
						random: rand.New(rand.NewSource(seed)),
					}
					for class, share := range m.run(test.classes, test.load) {
						if adaptive {
							limited[class] += share / seeds
						} else {
							fixed[class] += share / seeds
						}
					}
				}
			}
			for _, class := range test.classes {
				t.Logf("%s: %.3f in time with fixed slots, %.3f with limits", class.name, fixed[class.name], limited[class.name])
			}
			for _, class := range test.classes {
				is.True(limited[class.name] >= fixed[class.name]+test.gain)
			}
		})
	}
}
