package granter

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// Order is a call to a backend server: a Grant or a Release.
type Order interface{ order() }

// Grant gives a server the lease of a range, or renews it.
type Grant struct {
	ID     int // id of the range, for CompleteGrant
	Server string
	// Incarnation is the latest incarnation of Server to which the grant may be sent; 0 stands for any.
	Incarnation   int64
	Range         partitioner.Range
	Fence         uint64 // fencing token: the server refuses fences lower than the highest that it has seen for a key
	LeaseDuration time.Duration
	// Handover is the previous owner's answer to its release, an opaque text that lets the new owner serve the keys without
	// a warm-up. It is empty if there was no answered release, and for a renewal.
	Handover string
	// Confirmed demands an answer that can't be a late one to an earlier order. Without it, Accepted may come before the server has
	// applied this grant. Once a confirmed grant is accepted, the server refuses all earlier ones, whose fences are lower.
	Confirmed bool
}

// Release ends a server's lease of a range.
type Release struct {
	ID     int // id of the range, for CompleteRelease
	Server string
	Range  partitioner.Range
	Fence  uint64 // not lower than the fence of any grant of the range to this server
}

func (Grant) order() {}

func (Release) order() {}

// Outcome is the result of an order.
type Outcome int

// The outcomes of an order.
const (
	Accepted   Outcome = iota // the server has applied the order
	Fenced                    // refused: the server has seen a higher fence
	NotSent                   // the server has certainly not received it
	Unanswered                // the server may have applied it, or may apply it later
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"accepted", "fenced", "not_sent", "unanswered"}[o]
}
