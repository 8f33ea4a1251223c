package forwarder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/allocator"
	"github.com/wasabibank/wasabibank/internal/meter"
)

const (
	// defaultMemoryBytes bounds the bodies of all requests and answers together, unless LimitBuffers is called.
	defaultMemoryBytes = 64 << 20
	// memoryInterval is the time between two looks at who waits for memory and who holds it.
	memoryInterval = 50 * time.Millisecond
)

// noMemoryError says that a request gets no memory for a body.
type noMemoryError struct{ allocator.Refuse }

// Error implements error.
func (e noMemoryError) Error() string {
	if e.TooLarge {
		return "body does not fit the memory of this instance"
	}
	return fmt.Sprintf("no memory for the body, likely in %v", e.RetryAfter)
}

// reason returns the reason of the refusal.
func (e noMemoryError) reason() string {
	if e.TooLarge {
		return "exceeds_memory"
	}
	return "no_memory"
}

// isNoMemory reports whether err is a noMemoryError.
func isNoMemory(err error) bool {
	var noMemory noMemoryError
	return errors.As(err, &noMemory)
}

// memory gives the memory for the bodies of all requests and answers. It is safe for concurrent use.
type memory struct {
	meter *meter.Meter

	mu        sync.Mutex
	allocator *allocator.Allocator
	holds     map[allocator.Ticket]*hold
	scheduled bool // an advance is scheduled
	pressure  bool // as it was logged last
}

// hold is the memory of one request. Its methods are called by the goroutine of the request.
type hold struct {
	memory   *memory
	ticket   allocator.Ticket
	body     int64                   // bytes for the header and the body of the request
	answer   int64                   // bytes for the answer that was read last
	reported int64                   // progress that the allocator knows
	decided  chan allocator.Decision // gets the end of a wait; buffered for its only value

	// Guarded by memory.mu.
	interrupt func() // ends the reading or writing that is going on; nil if it can't be ended
	dropped   bool
}

// newMemory returns a memory of so many bytes.
func newMemory(bytes int64, m *meter.Meter) *memory {
	return &memory{meter: m, allocator: allocator.New(bytes), holds: map[allocator.Ticket]*hold{}}
}

// LimitBuffers bounds the memory in bytes that the bodies of requests and answers may take together. It must be called before the first
// request.
func (f *Forwarder) LimitBuffers(bytes int64) { f.memory = newMemory(bytes, f.meter) }

// held returns how many bytes requests hold.
func (m *memory) held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allocator.Held()
}

// open waits for bytes for the body of a request that ends at deadline. interrupt ends the reading of the body. The error is a
// noMemoryError, or that of ctx.
func (m *memory) open(ctx context.Context, bytes int64, deadline time.Time, interrupt func()) (*hold, error) {
	now := time.Now()
	h := &hold{memory: m, body: bytes, interrupt: interrupt, decided: make(chan allocator.Decision, 1)}
	m.mu.Lock()
	var decision allocator.Decision
	h.ticket, decision = m.allocator.Open(now, bytes, deadline)
	if refusal, refused := decision.(allocator.Refuse); refused {
		m.observe(now)
		m.mu.Unlock()
		return nil, noMemoryError{refusal}
	}
	m.holds[h.ticket] = h
	m.observe(now)
	m.mu.Unlock()
	if err := h.await(ctx, decision); err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

// grow waits for more bytes, for an answer or for the body of the request. The errors are those of open.
func (h *hold) grow(ctx context.Context, bytes int64, answer bool) error {
	now := time.Now()
	h.memory.mu.Lock()
	decision := h.memory.allocator.Grow(now, h.ticket, bytes, answer)
	h.memory.observe(now)
	h.memory.mu.Unlock()
	if err := h.await(ctx, decision); err != nil {
		return err
	}
	if answer {
		h.answer += bytes
	} else {
		h.body += bytes
	}
	return nil
}

// await waits for the end of a wait.
func (h *hold) await(ctx context.Context, decision allocator.Decision) error {
	if _, waits := decision.(allocator.Wait); waits {
		select {
		case decision = <-h.decided:
		case <-ctx.Done():
			return context.Cause(ctx) // the caller closes the hold
		}
	}
	if refusal, refused := decision.(allocator.Refuse); refused {
		return noMemoryError{refusal}
	}
	return nil
}

// progress records how many bytes were read or written in this phase.
func (h *hold) progress(total int64) {
	if total-h.reported < minPieceBytes {
		return
	}
	h.reported = total
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.allocator.Progress(time.Now(), h.ticket, total)
}

// enter records the phase of the request. interrupt ends it and may be nil.
func (h *hold) enter(phase allocator.Phase, interrupt func()) {
	h.reported = 0
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.interrupt = interrupt
	h.memory.allocator.Enter(time.Now(), h.ticket, phase)
}

// wasDropped reports whether the request was dropped because it made no progress while others needed its memory.
func (h *hold) wasDropped() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.dropped
}

// releaseBody gives back the memory of the request's body, which the caller must not use any longer.
func (h *hold) releaseBody() {
	h.release(h.body)
	h.body = 0
}

// beginAnswer prepares for another answer. The memory of the one before stays held.
func (h *hold) beginAnswer() { h.answer = 0 }

// releaseAnswer gives back the memory of the answer that was read last, which the caller must not use any longer.
func (h *hold) releaseAnswer() {
	h.release(h.answer)
	h.answer = 0
}

// release gives back bytes.
func (h *hold) release(bytes int64) {
	now := time.Now()
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.apply(h.memory.allocator.Release(now, h.ticket, bytes))
	h.memory.observe(now)
}

// close gives back all memory.
func (h *hold) close() {
	now := time.Now()
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	delete(h.memory.holds, h.ticket)
	h.memory.apply(h.memory.allocator.Close(now, h.ticket))
	h.memory.observe(now)
}

// apply tells requests what has been decided about them. The caller holds mu.
func (m *memory) apply(c allocator.Change) {
	for _, ticket := range c.Granted {
		m.holds[ticket].decided <- allocator.Grant{}
	}
	for _, refusal := range c.Refused {
		m.holds[refusal.Ticket].decided <- refusal
	}
	for _, ticket := range c.Dropped {
		h := m.holds[ticket]
		h.dropped = true
		m.meter.Count(meter.BodiesDropped)
		if h.interrupt != nil {
			h.interrupt()
		}
	}
}

// observe updates the gauges, logs the begin and the end of pressure, and schedules the next advance. The caller holds mu.
func (m *memory) observe(now time.Time) {
	pressure := m.allocator.Pressure(now)
	m.meter.Set(meter.BodyBytes, m.allocator.Held())
	m.meter.Set(meter.BodiesWaiting, int64(m.allocator.Waiting()))
	if pressure != m.pressure {
		m.pressure = pressure
		message := "memory for bodies is no longer short"
		if pressure {
			message = "memory for bodies is short"
		}
		klog.InfoS(message, "held", m.allocator.Held(), "limit", m.allocator.Limit(), "requests", len(m.holds), "waiting", m.allocator.Waiting())
	}
	if !pressure || m.scheduled {
		return
	}
	m.scheduled = true
	time.AfterFunc(memoryInterval, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.scheduled = false
		now := time.Now()
		m.apply(m.allocator.Advance(now))
		m.observe(now)
	})
}

// errAnswerTooLong says that a server or an instance sends more than maxBodyBytes.
var errAnswerTooLong = errors.New("answer is too long")
