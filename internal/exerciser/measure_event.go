package exerciser

import (
	"container/heap"
	"time"
)

// event is something that is due at a time; events of the same time run in the order of their making.
type event struct {
	at    time.Time
	order int
	run   func()
}

// eventHeap is a heap of due events.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// agenda is virtual time with the events that are due.
type agenda struct {
	now    time.Time
	made   int
	events eventHeap
}

// after lets run happen when d has passed.
func (a *agenda) after(d time.Duration, run func()) {
	a.made++
	heap.Push(&a.events, event{at: a.now.Add(d), order: a.made, run: run})
}

// every lets run happen each period until end.
func (a *agenda) every(period time.Duration, end time.Time, run func()) {
	a.after(period, func() {
		run()
		if a.now.Before(end) {
			a.every(period, end, run)
		}
	})
}

// drain runs all events in order.
func (a *agenda) drain() {
	for len(a.events) > 0 {
		e := heap.Pop(&a.events).(event)
		a.now = e.at
		e.run()
	}
}
