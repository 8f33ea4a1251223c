package faulter

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// fakeLog is the platform's log: total order, limited retention, no conditional append.
type fakeLog struct {
	records [][]byte
	first   int
	down    bool
	slow    time.Duration
	appends int
	waiters []func()
}

// append adds a record and wakes those who wait for it.
func (l *fakeLog) append(data []byte) {
	l.records = append(l.records, data)
	l.appends++
	waiters := l.waiters
	l.waiters = nil
	for _, wake := range waiters {
		wake()
	}
}

// from returns the retained records from an offset.
func (l *fakeLog) from(offset identifier.Offset) []reducer.Entry {
	var entries []reducer.Entry
	for i := int(offset); i < len(l.records); i++ {
		entries = append(entries, reducer.Entry{Offset: identifier.Offset(i), Data: l.records[i]})
	}
	return entries
}

// expire drops the records before an offset.
func (l *fakeLog) expire(before int) { l.first = max(l.first, before) }

// outage stops the log for d.
func (w *World) outage(d time.Duration) {
	w.log.down = true
	w.after(d, func() { w.log.down = false })
}

// fold returns the state of the whole log, as an instance that has never been away would have it.
func (w *World) fold() *reducer.State {
	for i := int(w.folded.Next()); i < len(w.log.records); i++ {
		if _, err := w.folded.Apply(identifier.Offset(i), w.log.records[i]); err != nil {
			w.broken(PromiseDurable, err.Error())
		}
	}
	return w.folded
}

// bundleInForce returns the bundle that the whole log puts in force.
func (w *World) bundleInForce() *bundler.Bundle { return w.fold().Bundle() }
