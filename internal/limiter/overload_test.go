package limiter

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// event is a due arrival or end.
type event struct {
	at     time.Time
	ticket Ticket // 0 is an arrival
	took   time.Duration
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// overload is a server of 3 slots whose requests take 20 ms on the mean, at load times its capacity.
type overload struct {
	queue    *Queue
	due      events
	source   *rand.Rand
	patients map[Ticket]bool
	end      time.Time
	served   int // until end, as are the others
	good     int // by their deadline
	patient  int // of the class that may wait
}

func runOverload(load float64, length time.Duration) *overload {
	o := &overload{queue: newQueue(3), source: rand.New(rand.NewPCG(7, 7)), patients: map[Ticket]bool{}, end: at(length)}
	gap := time.Duration(float64(20*time.Millisecond) / 3 / load)
	for now := start; now.Before(o.end); {
		now = now.Add(time.Duration(o.source.ExpFloat64() * float64(gap)))
		o.due = append(o.due, event{at: now})
	}
	heap.Init(&o.due)
	for nextExpire := start; len(o.due) > 0; {
		next := heap.Pop(&o.due).(event)
		for nextExpire.Before(next.at) {
			o.take(nextExpire, o.queue.Expire(nextExpire))
			nextExpire = nextExpire.Add(20 * time.Millisecond)
		}
		o.apply(next)
	}
	return o
}

func (o *overload) apply(e event) {
	if e.ticket == 0 {
		o.arrive(e.at)
		return
	}
	if e.at.Before(o.end) {
		o.count(e)
	}
	o.take(e.at, o.queue.Done(e.at, e.ticket, Served{Took: e.took}))
}

func (o *overload) count(e event) {
	o.served++
	if !e.at.After(o.queue.running[e.ticket].deadline) {
		o.good++
	}
	if o.patients[e.ticket] {
		o.patient++
	}
}

func (o *overload) arrive(now time.Time) {
	r := Request{Class: "preview", Deadline: now.Add(800 * time.Millisecond)}
	bulk := o.source.IntN(4) == 0
	if bulk {
		r = Request{Class: "bulk", Priority: 3, MayWait: true, Deadline: now.Add(time.Minute)}
	}
	switch d := o.queue.Offer(now, r).(type) {
	case Start:
		o.patients[d.Ticket] = bulk
		o.run(now, d.Ticket)
	case Wait:
		o.patients[d.Ticket] = bulk
	}
}

func (o *overload) take(now time.Time, c Change) {
	for _, ticket := range c.Started {
		o.run(now, ticket)
	}
}

func (o *overload) run(now time.Time, ticket Ticket) {
	took := time.Duration((0.5 + o.source.ExpFloat64()*0.5) * float64(20*time.Millisecond))
	heap.Push(&o.due, event{at: now.Add(took), ticket: ticket, took: took})
}

// TestOverload holds the goodput at twice the capacity, the share of late answers and the share of the patient class.
func TestOverload(t *testing.T) {
	const length = 30 * time.Second
	capacity := float64(length) / float64(20*time.Millisecond) * 3
	tests := map[string]struct {
		load    float64
		goodput float64 // least share of the capacity
	}{
		"half":  {load: 0.5, goodput: 0.48},
		"near":  {load: 0.9, goodput: 0.86},
		"over":  {load: 1.2, goodput: 0.95},
		"twice": {load: 2, goodput: 0.95},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := runOverload(test.load, length)
			counts := o.queue.Counts()
			goodput := float64(o.good) / capacity
			late := float64(o.served-o.good) / float64(o.served)
			share := float64(o.patient) / float64(o.served)
			t.Logf("goodput %.3f of capacity, late %.4f, patient share %.3f, counts %+v", goodput, late, share, counts)
			if goodput < test.goodput || late > 0.01 || share < 0.18 {
				t.Fail()
			}
		})
	}
}
