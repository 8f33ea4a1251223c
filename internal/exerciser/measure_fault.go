package exerciser

import "time"

// A server that is lost crashes some times before, and is back at once.
const (
	crashes     = 4
	crashPeriod = 250 * time.Millisecond
)

// scheduleFault lets the fault of the cell happen.
func (t *trafficRun) scheduleFault() {
	server := t.servers[faultyServer]
	switch t.cell.Fault {
	case FaultServerFrozen:
		t.after(faultFrom, func() { server.frozen = true })
		t.after(faultUntil, server.thaw)
		t.scheduleAbsence()
	case FaultServerLost:
		for i := range crashes {
			t.after(faultFrom-time.Duration(i+1)*crashPeriod, func() {
				server.crash()
				server.lost = false
			})
		}
		t.after(faultFrom, server.crash)
		t.after(faultUntil, func() { server.lost = false })
		t.scheduleAbsence()
	case FaultEntryLost:
		t.after(faultFrom, t.loseEntry)
	case FaultLogDown:
		t.after(faultFrom, func() { t.logDown = true })
		t.after(logBackAt, func() { t.logDown = false })
	case FaultLiar:
		t.after(faultFrom, func() { server.slow = liarFactor })
		t.after(faultUntil, func() { server.slow = 1 })
	case FaultNone:
	}
}

// scheduleAbsence lets the entries learn that the faulty server is gone, and that it is back.
func (t *trafficRun) scheduleAbsence() {
	t.after(faultFrom+lossGap(), func() {
		t.balancer.servers[faultyServer].Usable = false
		t.place(true)
		t.leave(faultyServer)
	})
	t.after(faultUntil+lossGap(), func() {
		t.balancer.servers[faultyServer].Usable = true
		t.place(true)
	})
	naive, ok := t.cell.Policy.(Naive)
	if !ok {
		return
	}
	t.after(faultFrom+naive.HealthLag, func() { t.healthy[faultyServer] = false })
	t.after(faultUntil+naive.HealthLag, func() { t.healthy[faultyServer] = true })
}

// leave sends what waits for a server that has lost its keys to their new owners. What was written to it goes again
// where the class allows, and is unknown otherwise.
func (t *trafficRun) leave(server int) {
	for _, g := range t.gatesOf(func(id gateID) bool { return id.server == server }) {
		t.abandon(g)
	}
	t.holders[server].reset()
	for _, r := range t.sortedOpen() {
		if r.at == server+1 {
			t.retryOrUnknown(r)
		}
	}
}

// loseEntry kills an entry: its callers lose their connections, and the servers it fronted get another entry.
func (t *trafficRun) loseEntry() {
	t.entries[faultyEntry] = false
	for _, r := range t.sortedOpen() {
		if r.entry == faultyEntry {
			t.conclude(r, outcomeUnknown, true)
		}
	}
	for _, g := range t.gatesOf(func(id gateID) bool { return id.entry == faultyEntry }) {
		t.breakGate(g)
	}
	for _, h := range t.holders {
		h.entryLost(faultyEntry)
	}
	t.after(balancerLag, func() { t.listed[faultyEntry] = false })
	t.after(takeoverTime(), t.front)
}

// breakGate concludes what other entries had passed to a gate whose entry is gone: they can't tell whether it was
// written. The caller's own entry answers at once.
func (t *trafficRun) breakGate(g *gate) {
	t.drop(g)
	for _, r := range t.sortedOpen() {
		if r.gate == g {
			r.written++
			t.conclude(r, outcomeUnknown, true)
		}
	}
}
