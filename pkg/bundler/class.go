package bundler

import (
	"slices"
	"strings"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The wildcards of a match.
const (
	anyMethod   = "*"
	anySegment  = "*"
	anySegments = "**"
)

// Class says how requests of one kind are treated. The zero Class is at most once and has no deadline.
type Class struct {
	data *classData
}

type classData struct {
	name        identifier.ClassName
	patterns    []match
	idempotent  bool
	priority    int
	deadline    time.Duration
	mayWait     bool
	retries     int
	retryBudget float64
	hedged      bool
	bodyBytes   int64
}

var noClass classData

func (c Class) get() *classData {
	if c.data == nil {
		return &noClass
	}
	return c.data
}

// Name returns the name, unique within the service.
func (c Class) Name() identifier.ClassName { return c.get().name }

// Idempotent reports whether a request may run more than once; otherwise it runs at most once.
func (c Class) Idempotent() bool { return c.get().idempotent }

// Priority returns the rank in the queue; 0 goes first.
func (c Class) Priority() int { return c.get().priority }

// Deadline returns the longest time from a request's arrival to its answer.
func (c Class) Deadline() time.Duration { return c.get().deadline }

// MayWait reports whether requests may wait long but are never dropped while their deadline stands.
func (c Class) MayWait() bool { return c.get().mayWait }

// Retries returns how often a failed request may be sent again; 0 unless idempotent.
func (c Class) Retries() int { return c.get().retries }

// RetryBudget returns the share of requests that may be retries.
func (c Class) RetryBudget() float64 { return c.get().retryBudget }

// Hedged reports whether a slow request may be sent to a second server; false unless idempotent.
func (c Class) Hedged() bool { return c.get().hedged }

// BodyBytes returns the largest request body in bytes.
func (c Class) BodyBytes() int64 { return c.get().bodyBytes }

// match is a method and a path pattern; in the pattern * is one segment and a last ** is any number of them.
type match struct {
	method   string
	segments []string
}

func newMatch(method, path string) match {
	trimmed := strings.TrimPrefix(path, "/")
	if trimmed == "" {
		return match{method: method}
	}
	return match{method: method, segments: strings.Split(trimmed, "/")}
}

func (m match) equal(other match) bool {
	return m.method == other.method && slices.Equal(m.segments, other.segments)
}

// covers reports whether m takes every request that other takes.
func (m match) covers(other match) bool {
	if m.method != anyMethod && m.method != other.method {
		return false
	}
	for i, want := range m.segments {
		if want == anySegments {
			return true
		}
		if i >= len(other.segments) || other.segments[i] == anySegments {
			return false
		}
		if want != anySegment && want != other.segments[i] {
			return false
		}
	}
	return len(m.segments) == len(other.segments)
}

func (c *classData) matches(method, rest string) bool {
	for i := range c.patterns {
		if c.patterns[i].matches(method, rest) {
			return true
		}
	}
	return false
}

func (m *match) matches(method, rest string) bool {
	if m.method != anyMethod && m.method != method {
		return false
	}
	rest = strings.TrimPrefix(rest, "/")
	for _, want := range m.segments {
		if want == anySegments {
			return true
		}
		if rest == "" {
			return false
		}
		segment, tail, _ := strings.Cut(rest, "/")
		if want != anySegment && want != segment {
			return false
		}
		rest = tail
	}
	return rest == ""
}
