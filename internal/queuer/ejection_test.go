package queuer

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulatedServer is how a server of a simulated pool behaves.
type simulatedServer struct {
	rejects, fails float64 // shares of its requests that it rejects or fails at once
	hangs          bool
}

// poolSimulation sends requests to a queue's servers in simulated time. A rejected request is tried again, three times at most.
type poolSimulation struct {
	queue   Queue
	random  *rand.Rand
	servers map[string]simulatedServer
	trouble func(time.Duration) bool // whether the servers misbehave at a time after the start
	service time.Duration
	events  eventHeap
	waiting map[Ticket]*simulatedRequest

	sent                                               map[string]int
	offered, answered, late, refused, rejected, broken int
	mostEjected                                        int
}

// simulatedRequest is a client's request.
type simulatedRequest struct {
	arrived time.Time
	sends   int
	server  string // that it was sent to last
}

type event struct {
	at time.Time
	do func(now time.Time)
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	simulatedObjective = 800 * time.Millisecond
	simulatedTimeout   = 3 * time.Second
	rejectionTime      = 3 * time.Millisecond
)

func (p *poolSimulation) schedule(at time.Time, do func(now time.Time)) {
	heap.Push(&p.events, event{at: at, do: do})
}

// run plays a duration with a number of arrivals a second.
func (p *poolSimulation) run(duration time.Duration, rate float64) {
	p.waiting, p.sent = map[Ticket]*simulatedRequest{}, map[string]int{}
	end := start.Add(duration)
	for at := start; at.Before(end); at = at.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))) {
		p.schedule(at, func(now time.Time) {
			p.offered++
			p.offer(now, &simulatedRequest{arrived: now})
		})
	}
	for at := start; at.Before(end); at = at.Add(50 * time.Millisecond) {
		p.schedule(at, func(now time.Time) {
			p.apply(now, p.queue.Advance(now))
			ejected := 0
			for _, s := range p.queue.servers {
				if now.Before(s.ejectedUntil) {
					ejected++
				}
			}
			p.mostEjected = max(p.mostEjected, ejected)
		})
	}
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(event)
		e.do(e.at)
	}
}

func (p *poolSimulation) offer(now time.Time, r *simulatedRequest) {
	decision := p.queue.Offer(now, Request{
		Class: "c", Objective: r.arrived.Add(simulatedObjective), Deadline: r.arrived.Add(simulatedTimeout), AvoidServer: r.server,
	})
	switch d := decision.(type) {
	case Start:
		p.send(now, r, d.Server)
	case Wait:
		p.waiting[d.Ticket] = r
	case Refuse:
		p.refused++
	}
}

func (p *poolSimulation) apply(now time.Time, change Change) {
	for _, s := range change.Started {
		p.send(now, p.waiting[s.Ticket], s.Server)
		delete(p.waiting, s.Ticket)
	}
	for _, g := range change.Refused {
		p.refused++
		delete(p.waiting, g.Ticket)
	}
}

// send begins a request at a server and schedules its end.
func (p *poolSimulation) send(now time.Time, r *simulatedRequest, server string) {
	r.sends++
	r.server = server
	p.sent[server]++
	s, draw := p.servers[server], p.random.Float64()
	if !p.trouble(now.Sub(start)) {
		s = simulatedServer{}
	}
	outcome, took := Answered, time.Duration((0.6+0.8*p.random.Float64())*float64(p.service))
	switch {
	case s.hangs:
		outcome, took = TimedOut, r.arrived.Add(simulatedTimeout).Sub(now)
	case draw < s.rejects:
		outcome, took = Rejected, rejectionTime
	case draw < s.rejects+s.fails:
		outcome, took = Failed, rejectionTime
	}
	p.schedule(now.Add(took), func(now time.Time) {
		p.apply(now, p.queue.Done(now, server, "c", outcome, took))
		switch {
		case outcome == Rejected && r.sends < 4:
			p.offer(now, r)
		case outcome == Rejected:
			p.rejected++
		case outcome != Answered:
			p.broken++
		case now.Sub(r.arrived) > simulatedObjective:
			p.late++
		default:
			p.answered++
		}
	})
}

// TestEjection guards against the ejection of servers that are no worse than the rest of their pool, which refuses requests that
// they would have answered, and against servers that keep failing requests although others could execute them.
func TestEjection(t *testing.T) {
	const ms = time.Millisecond
	all := func(count int, s simulatedServer) []simulatedServer {
		list := make([]simulatedServer, count)
		for i := range list {
			list[i] = s
		}
		return list
	}
	one := func(s simulatedServer) []simulatedServer { return append(all(27, simulatedServer{}), s) }
	always := func(time.Duration) bool { return true }
	between := func(from, to time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at >= from && at < to }
	}
	tests := map[string]struct {
		servers     []simulatedServer
		trouble     func(time.Duration) bool
		load        float64
		answered    float64 // least share of requests that are answered within their objective
		mostEjected int     // at one time
		mostSent    int     // to the last server
		leastSent   int
	}{
		"all reject 40 % for 8.5 s": {
			servers: all(28, simulatedServer{rejects: 0.4}), trouble: between(2*time.Second, 10500*ms),
			load: 0.6, answered: 0.97, mostEjected: 4, mostSent: 1e9,
		},
		"all fail 40 % for 8.5 s": {
			servers: all(28, simulatedServer{fails: 0.4}), trouble: between(2*time.Second, 10500*ms),
			load: 0.6, answered: 0.7, mostEjected: 4, mostSent: 1e9,
		},
		"one rejects all": {servers: one(simulatedServer{rejects: 1}), trouble: always, load: 0.6, answered: 0.999, mostEjected: 1, mostSent: 20},
		"one fails all":   {servers: one(simulatedServer{fails: 1}), trouble: always, load: 0.6, answered: 0.995, mostEjected: 1, mostSent: 20},
		"one fails 45 %":  {servers: one(simulatedServer{fails: 0.45}), trouble: always, load: 0.6, answered: 0.99, mostEjected: 2, mostSent: 150},
		"one fails all under overload": {
			servers: append(all(7, simulatedServer{}), simulatedServer{fails: 1}), trouble: always, load: 1.3, answered: 0.6, mostEjected: 1, mostSent: 20,
		},
		"one fails 45 % under overload": { // the others can't take its load; it is ejected before the load is known
			servers: append(all(7, simulatedServer{}), simulatedServer{fails: 0.45}), trouble: always, load: 1.3, answered: 0.7, mostEjected: 1,
			mostSent: 1e9, leastSent: 400,
		},
		"one fails all for 5 s": {
			servers: one(simulatedServer{fails: 1}), trouble: between(2*time.Second, 7*time.Second), load: 0.6, answered: 0.99, mostEjected: 1,
			mostSent: 1e9, leastSent: 60,
		},
		"half of them fail all": {
			servers: append(all(14, simulatedServer{}), all(14, simulatedServer{fails: 1})...), trouble: always, load: 0.4, answered: 0.96,
			mostEjected: 14, mostSent: 20,
		},
		"one hangs": {servers: one(simulatedServer{hangs: true}), trouble: always, load: 0.6, answered: 0.99, mostEjected: 1, mostSent: 30},
		"four of five fail all": {
			servers: append(all(1, simulatedServer{}), all(4, simulatedServer{fails: 1})...), trouble: always,
			load: 0.15, answered: 0.85, mostEjected: 4, mostSent: 60,
		},
		"the only server rejects 40 %": {
			servers: all(1, simulatedServer{rejects: 0.4}), trouble: between(2*time.Second, 10500*ms),
			load: 0.6, answered: 0.85, mostSent: 1e9, leastSent: 180,
		},
		"the only server fails 45 %": {
			servers: all(1, simulatedServer{fails: 0.45}), trouble: between(2*time.Second, 10500*ms), load: 0.6, answered: 0.7, mostEjected: 1, mostSent: 1e9,
			leastSent: 160,
		},
		"the only server hangs": {
			servers: all(1, simulatedServer{hangs: true}), trouble: between(2*time.Second, 10500*ms), load: 0.6, answered: 0.15, mostEjected: 1, mostSent: 120,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &poolSimulation{
				random: rand.New(rand.NewSource(1)), servers: map[string]simulatedServer{}, trouble: test.trouble, service: 250 * ms,
			}
			var list []Server
			for i, s := range test.servers {
				list = append(list, Server{ID: fmt.Sprintf("s%02d", i), Slots: 6})
				p.servers[list[i].ID] = s
			}
			p.queue.SetServers(start, list)
			p.run(14*time.Second, test.load*float64(6*len(list))/p.service.Seconds())
			last := p.sent[list[len(list)-1].ID]
			t.Logf("%d requests: %d answered, %d late, %d refused, %d rejected, %d broken; %d ejected at once; %d sent to the last server",
				p.offered, p.answered, p.late, p.refused, p.rejected, p.broken, p.mostEjected, last)
			is.True(float64(p.answered) >= test.answered*float64(p.offered))
			is.True(p.mostEjected <= test.mostEjected)
			is.True(last <= test.mostSent && last >= test.leastSent)
		})
	}
}
