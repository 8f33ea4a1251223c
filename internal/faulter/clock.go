// Package faulter drives the control deciders of several instances in virtual time, with small fakes of the log, the
// peers and the backend servers, and breaks them at chosen steps. It serves the fault matrix and the measurements.
package faulter

import (
	"container/heap"
	"time"
)

// due is something to do at a time; order tells those of one time apart.
type due struct {
	at    time.Time
	order int
	do    func()
}

// agenda is a heap of what is due.
type agenda []due

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(due)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// clock is virtual time with a list of what is due. The zero clock begins at the zero time.
type clock struct {
	now    time.Time
	order  int
	agenda agenda
}

// after does f when d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.order++
	heap.Push(&c.agenda, due{at: c.now.Add(d), order: c.order, do: f})
}

// runUntil does all that is due up to the end.
func (c *clock) runUntil(end time.Time) {
	for len(c.agenda) > 0 && !c.agenda[0].at.After(end) {
		next := heap.Pop(&c.agenda).(due)
		c.now = next.at
		next.do()
	}
	c.now = end
}
