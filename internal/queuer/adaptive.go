package queuer

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/pacer"
)

// maxAdaptiveSlots is the most slots of a server whose limit is learned. A pacer takes 240 bytes for each slot that a registration
// names, which may be 65,536.
const maxAdaptiveSlots = 1024

// setSlots sets the slots of a server, and whether a learned limit bounds its requests below them.
func (s *server) setSlots(now time.Time, slots int, adaptive bool) {
	s.slots, s.adaptive = slots, adaptive && slots <= maxAdaptiveSlots
	if !s.adaptive {
		s.pacer = pacer.Pacer{}
		return
	}
	s.pacer.SetSlots(now, slots)
}

// recordPace records how long a request took that ends at a server, before it is taken off the running ones.
func (q *Queue) recordPace(now time.Time, s *server, className string, took time.Duration) {
	if !s.adaptive {
		return
	}
	s.pacer.Record(now, now.Add(-took), s.running, q.paces.Ratio(className, took))
	q.paces.Record(now, className, took)
	s.classes.Record(now, className, took)
}

// Work returns the usual work of a request of a class relative to that of the classes which a server usually gets, as it shows at
// that server; 1 without adaptive limits.
func (q *Queue) Work(now time.Time, serverID, className string) float64 {
	if s := q.findServer(serverID); s != nil && s.adaptive {
		return s.classes.Work(now, className)
	}
	return 1
}

// ReportLoad records what a server said about its load in the answer to a request that has not been passed to Done yet.
func (q *Queue) ReportLoad(now time.Time, serverID string, load pacer.Load) {
	if s := q.findServer(serverID); s != nil && s.adaptive {
		s.pacer.Report(now, load, s.running)
	}
}

// ServerState is what a queue has found out about a server.
type ServerState struct {
	Slots        int
	Limit        int       // requests that it may run concurrently, as learned and confirmed, at most its slots
	EjectedUntil time.Time // the zero Time if it was never ejected
}

// ServerState returns what the queue has found out about a server, and false if it has no such server.
func (q *Queue) ServerState(serverID string) (ServerState, bool) {
	s := q.findServer(serverID)
	if s == nil {
		return ServerState{}, false
	}
	state := ServerState{Slots: s.slots, Limit: s.slots, EjectedUntil: s.ejectedUntil}
	if s.adaptive {
		state.Limit = s.pacer.Confirmed()
	}
	return state, true
}
