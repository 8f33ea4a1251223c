package runner

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// gauge shows the state in the gauges.
func (l *loop) gauge(now time.Time) {
	state := l.control.State()
	members := int64(len(state.Members()))
	l.roster.Store(members)
	l.meter.Set(meter.RosterSize, members)
	l.meter.Set(meter.LogOffset, int64(state.Next()))
	l.meter.Set(meter.LeaseLeftMs, max(0, l.control.LeaseUntil().Sub(now).Milliseconds()))
	l.meter.Set(meter.FrontedServers, int64(l.control.Fronted()))
	l.meter.Set(meter.OwnedPartitions, l.countOwned())
	if b := state.Bundle(); b != nil {
		l.meter.Set(meter.BundleVersion, int64(b.Version()))
	}
	running, waiting := l.loads.totals()
	l.meter.Set(meter.RequestsRunning, int64(running))
	l.meter.Set(meter.RequestsWaiting, int64(waiting))
	overwritten := int64(l.ring.Overwritten())
	l.meter.Add(meter.EventsOverwritten, int(overwritten-l.meter.Get(meter.EventsOverwritten)))
}

// countOwned returns how many partitions the servers own that this instance fronts.
func (l *loop) countOwned() int64 {
	state := l.control.State()
	owned := 0
	for _, name := range state.ServerNames() {
		if known, ok := state.GetServerByName(name); ok && known.Front.Holder == l.control.ID() {
			owned += l.control.CountOwned(name)
		}
	}
	return int64(owned)
}

// countFolded counts the records of event that the control thread folded; the fold began at the offset before.
func (l *loop) countFolded(event controller.Event, before identifier.Offset, took time.Duration) {
	var brought int
	switch e := event.(type) {
	case controller.LogRead:
		brought = len(e.Entries)
	case controller.PeerAnswered:
		brought = len(e.Reply.Entries)
	}
	after := l.control.State().Next()
	if brought == 0 || after <= before {
		return
	}
	l.meter.Add(meter.RecordsFolded, min(brought, int(after-before)))
	l.meter.Observe(meter.FoldTime, took)
}
