// Package tracer keeps the time line: a bounded ring of events in each process, stamped with the log offset that the
// process knew and a hybrid logical clock, and the merge of the rings of all processes into one order.
package tracer

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	// DefaultCapacity is the number of events that a Ring keeps unless told otherwise.
	DefaultCapacity = 4096
	// foldTime is how long further events of requests that are alike are counted with the first one.
	foldTime = time.Second
	// maxFolds bounds the kinds of alike events that a Ring tells apart.
	maxFolds = 256
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
	// Further counts the events like this one within the next second; only events of requests are counted so.
	Further int `json:"further,omitempty"`
}

// Text returns the detail, with the count of further events where there are any.
func (e Event) Text() string {
	if e.Further == 0 {
		return e.Detail
	}
	return strings.TrimSpace(fmt.Sprintf("%s (and %d more within %v)", e.Detail, e.Further, foldTime))
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
	folds       map[foldKey]int
}

// foldKey is what events have in common that are counted together.
type foldKey struct {
	kind    Kind
	subject string
	detail  string
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
	e := Event{
		Time:     now.Round(0).UTC(),
		Clock:    r.clock.read(now),
		Instance: r.instance,
		Offset:   r.offset,
		Kind:     kind,
		Subject:  bounded(subject),
		Detail:   bounded(detail),
	}
	if kind.Group() == GroupRequest && r.fold(e) {
		return
	}
	r.put(e)
}

// fold counts e with an event like it that is not older than foldTime, so that a burst of requests does not push the
// rest out of the ring. It returns false where there is none, and then e is put in the next place.
func (r *Ring) fold(e Event) bool {
	key := foldKey{kind: e.Kind, subject: e.Subject, detail: e.Detail}
	if place, ok := r.folds[key]; ok {
		first := &r.events[place]
		alike := first.Kind == e.Kind && first.Subject == e.Subject && first.Detail == e.Detail
		if alike && e.Time.Sub(first.Time) < foldTime {
			first.Further++
			return true
		}
	}
	if r.folds == nil || len(r.folds) >= maxFolds {
		r.folds = map[foldKey]int{}
	}
	r.folds[key] = r.next()
	return false
}

// next returns the place of the next event.
func (r *Ring) next() int {
	if len(r.events) < r.capacity {
		return len(r.events)
	}
	return r.oldest
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
