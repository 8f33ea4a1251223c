package commander

import (
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Refusal is the reason for which a backend server refuses a command or a request; "" is none.
type Refusal string

// The refusals of a backend server. Each is proof that nothing was executed.
const (
	RefusedStaleTerm  Refusal = "stale_term"
	RefusedStaleEpoch Refusal = "stale_epoch"
	RefusedNoGrant    Refusal = "no_grant"
	RefusedDraining   Refusal = "draining"
	RefusedShed       Refusal = "shed"
	RefusedExpired    Refusal = "expired"
	RefusedCancelled  Refusal = "cancelled"
	// RefusedEcho refuses a grant whose echo is unknown or whose time to live has run out since the nonce's issue.
	RefusedEcho Refusal = "echo"
)

// PartitionGrant is one partition of a grant, at the epoch of its ownership.
type PartitionGrant struct {
	ID    identifier.PartitionID
	Epoch identifier.Epoch
}

// Grant allows a backend server to execute requests of the listed partitions under Term. The server counts TTL from the
// time at which it issued the nonce that Echo returns, never from the receipt, so that a grant that waited in a buffer
// of a frozen server has run out when the server reads it. The list is the whole set: what is not listed is revoked.
type Grant struct {
	Issuer     identifier.InstanceID
	Term       identifier.Term
	TTL        time.Duration
	Echo       string
	Partitions []PartitionGrant
}

// GrantAnswer is a backend server's answer to a Grant.
type GrantAnswer struct {
	Accepted bool
	// Checks reports whether the server checks who orders it.
	Checks bool
	// Term is the newest term that the server has seen.
	Term    identifier.Term
	Refused string
	// Nonce is fresh in each answer, accepted or not; the next grant echoes it. It is empty when the server has no
	// nonces and counts TTL from the receipt.
	Nonce string
	// Running and Queued are the server's own count of requests; they may mislead.
	Running int
	Queued  int
}

// Revoke takes partitions from a backend server.
type Revoke struct {
	Issuer     identifier.InstanceID    `json:"issuer"`
	Term       identifier.Term          `json:"term"`
	Partitions []identifier.PartitionID `json:"partitions"`
}

// Drain tells a backend server to refuse new work and to finish what it has.
type Drain struct {
	Issuer identifier.InstanceID `json:"issuer"`
	Term   identifier.Term       `json:"term"`
}

// Cancel tells a backend server that nobody waits for the request that came with ExchangeID any more.
type Cancel struct {
	Issuer     identifier.InstanceID `json:"issuer"`
	Term       identifier.Term       `json:"term"`
	ExchangeID string                `json:"exchange_id"`
}

// Answer is a backend server's answer to Revoke, Drain and Cancel.
// An accepted Revoke says that nothing of the partitions runs any more.
type Answer struct {
	Accepted bool            `json:"accepted"`
	Term     identifier.Term `json:"term"`
	Refused  string          `json:"refused"`
	// NotRun reports, after a Cancel, that the request was not executed and will not be.
	NotRun bool `json:"not_run,omitempty"`
}

// Health is what a backend server says of itself; it may lag or mislead.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
}

// Load is a backend server's own count of its requests; it may lag or mislead.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// WireGrant is the body of POST /control/grant.
type WireGrant struct {
	Issuer     identifier.InstanceID `json:"issuer"`
	Term       identifier.Term       `json:"term"`
	TTL        int64                 `json:"ttl_ms"`
	Echo       string                `json:"echo"`
	Full       bool                  `json:"full"`
	Partitions []WirePartition       `json:"partitions"`
}

// WirePartition is one partition of a WireGrant.
type WirePartition struct {
	Service identifier.ServiceName    `json:"service"`
	Index   identifier.PartitionIndex `json:"index"`
	Epoch   identifier.Epoch          `json:"epoch"`
}

// WireGrantAnswer is the answer of POST /control/grant.
type WireGrantAnswer struct {
	Accepted bool            `json:"accepted"`
	Checks   bool            `json:"checks"`
	Term     identifier.Term `json:"term"`
	Refused  string          `json:"refused"`
	Nonce    string          `json:"nonce"`
	Load     Load            `json:"load"`
}

func newWireGrant(g Grant) WireGrant {
	wire := WireGrant{Issuer: g.Issuer, Term: g.Term, TTL: g.TTL.Milliseconds(), Echo: g.Echo, Full: true}
	wire.Partitions = make([]WirePartition, 0, len(g.Partitions))
	for _, p := range g.Partitions {
		wire.Partitions = append(wire.Partitions, WirePartition{Service: p.ID.Service, Index: p.ID.Index, Epoch: p.Epoch})
	}
	return wire
}

// Grant returns the Grant that w encodes.
func (w WireGrant) Grant() Grant {
	g := Grant{Issuer: w.Issuer, Term: w.Term, TTL: time.Duration(w.TTL) * time.Millisecond, Echo: w.Echo}
	for _, p := range w.Partitions {
		id := identifier.PartitionID{Service: p.Service, Index: p.Index}
		g.Partitions = append(g.Partitions, PartitionGrant{ID: id, Epoch: p.Epoch})
	}
	return g
}
