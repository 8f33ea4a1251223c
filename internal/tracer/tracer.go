// Package tracer keeps the time line: a bounded ring of events in each process, stamped with the log offset that the
// process knew and a hybrid logical clock, and the merge of the rings of all processes into one order.
package tracer

import (
	"strings"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	// DefaultCapacity is the number of events that a Ring keeps unless told otherwise.
	DefaultCapacity = 4096
	// maxTextBytes bounds the subject and the detail of an event.
	maxTextBytes = 512
)

// Event is one change of state in one process.
type Event struct {
	// Time is wall time of the process.
	Time time.Time `json:"time"`
	// Clock is the reading of the hybrid logical clock.
	Clock HybridTime `json:"clock"`
	// Instance is the process that the event happened in.
	Instance identifier.InstanceID `json:"instance"`
	// Offset is the offset after the newest record that the process had folded.
	Offset identifier.Offset `json:"offset"`
	// Kind tells what happened.
	Kind Kind `json:"kind"`
	// Subject names what it happened to: an instance, a server, a partition, a bundle version.
	Subject string `json:"subject"`
	// Detail is a short text for a reader.
	Detail string `json:"detail"`
}

// Page is what one process knows of the time line.
type Page struct {
	Instance identifier.InstanceID `json:"instance"`
	// Overwritten counts the events that fell out of the ring.
	Overwritten uint64 `json:"overwritten"`
	// Events are in the order in which they happened.
	Events []Event `json:"events"`
}

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	instance identifier.InstanceID
	capacity int

	mu          sync.Mutex
	clock       hybridClock
	events      []Event
	oldest      int
	offset      identifier.Offset
	overwritten uint64
}

// NewRing returns a Ring of the process instance that keeps capacity events; a capacity below 1 is DefaultCapacity.
func NewRing(instance identifier.InstanceID, capacity int) *Ring {
	if capacity < 1 {
		capacity = DefaultCapacity
	}
	return &Ring{instance: instance, capacity: capacity}
}

// Add records that an event happened at now, when the process had folded the records before offset.
// An offset below that of an earlier event is raised to it, and long texts are cut.
func (r *Ring) Add(now time.Time, offset identifier.Offset, kind Kind, subject, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offset = max(r.offset, offset)
	r.put(Event{
		Time:     now.Round(0).UTC(),
		Clock:    r.clock.read(now),
		Instance: r.instance,
		Offset:   r.offset,
		Kind:     kind,
		Subject:  bounded(subject),
		Detail:   bounded(detail),
	})
}

// Read returns a reading of the hybrid logical clock, to send to another process.
func (r *Ring) Read(now time.Time) HybridTime {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.read(now)
}

// Observe takes in a reading that another process sent: later events here come after it.
func (r *Ring) Observe(now time.Time, remote HybridTime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.observe(now, remote)
}

// Overwritten returns how many events fell out of the ring.
func (r *Ring) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overwritten
}

// Page returns a copy of the ring.
func (r *Ring) Page() Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	events = append(events, r.events[r.oldest:]...)
	events = append(events, r.events[:r.oldest]...)
	return Page{Instance: r.instance, Overwritten: r.overwritten, Events: events}
}

func (r *Ring) put(e Event) {
	if len(r.events) < r.capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.oldest] = e
	r.oldest = (r.oldest + 1) % r.capacity
	r.overwritten++
}

// bounded returns text without the part over maxTextBytes and without a character that was cut in two.
func bounded(text string) string {
	if len(text) <= maxTextBytes {
		return strings.Clone(text)
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "…"
}
