package bundler

import (
	"slices"
	"time"
)

// Service is a set of backend servers that do the same work. The servers themselves register with the platform.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // that one server accepts, from all instances together
	Keyed          bool          // each key has one owning server; otherwise any server may answer
	KeyWarmup      time.Duration // how long keys stay slow at a server that got them without their handover
}

// Part is one of the services that share a route.
type Part struct {
	Service string
	Weight  int
}

// Route says how requests with a prefix are treated.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Idempotent  bool          // may run more than once
	Timeout     time.Duration // longest time until the final answer
	Objective   time.Duration // latency objective
	Priority    int           // 0 goes first
	MaxAttempts int           // servers that one request may be sent to
	Parts       []Part        // at least one
}

// equal reports whether two routes treat requests alike.
func (r Route) equal(other Route) bool {
	sameParts := slices.Equal(r.Parts, other.Parts)
	return sameParts && r.Name == other.Name && r.Host == other.Host && r.Prefix == other.Prefix &&
		r.Idempotent == other.Idempotent && r.Timeout == other.Timeout && r.Objective == other.Objective &&
		r.Priority == other.Priority && r.MaxAttempts == other.MaxAttempts
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
