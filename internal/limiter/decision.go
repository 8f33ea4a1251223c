// Package limiter decides which requests one backend server runs, in which order, and which are refused at once.
// It also limits callers, retries and repeated requests. It has no clock, goroutine or lock of its own:
// the present time is an argument, and whoever shares a value among goroutines guards it.
package limiter

import (
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Ticket identifies one request in a Queue; 0 is none.
type Ticket uint64

// Request is what a Queue needs to know of a request.
type Request struct {
	Class    identifier.ClassName
	Priority int // 0 starts first
	MayWait  bool
	Deadline time.Time // the answer must be complete by then
}

// Reason says why a request was refused or given up, in snake case.
type Reason string

// The reasons of refusals.
const (
	ReasonExpired    Reason = "expired"
	ReasonOverloaded Reason = "overloaded"
	ReasonQueueFull  Reason = "queue_full"
	ReasonRate       Reason = "caller_rate"
	ReasonConcurrent Reason = "caller_concurrent"
)

// Decision is what a Queue decides on a request: Start, Wait or Refuse.
type Decision interface{ decision() }

// Start lets the request run now, under Ticket.
type Start struct {
	Ticket Ticket
}

// Wait puts the request in the queue under Ticket; it is expected to start after Expected.
type Wait struct {
	Ticket   Ticket
	Expected time.Duration
}

// Refuse turns the request away; it was not run. Coming back after RetryAfter can help, unless it is 0.
type Refuse struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// GivenUp is a waiting request that can no longer meet its deadline; it was not run.
type GivenUp struct {
	Ticket     Ticket
	Reason     Reason
	RetryAfter time.Duration
}

// Change lists what a call did to waiting requests.
type Change struct {
	Started []Ticket
	GivenUp []GivenUp
}

// Result is what the server did with a started request: Served, Shed or Lost.
type Result interface{ result() }

// Served is a whole answer that took Took from its start.
type Served struct {
	Took time.Duration
}

// Shed is a refusal by the server because it has too much to do.
type Shed struct{}

// Lost is a request without a useful answer; it says nothing about service time.
type Lost struct{}

func (Served) result() {}
func (Shed) result()   {}
func (Lost) result()   {}
