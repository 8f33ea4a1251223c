package bundler

import (
	"slices"
	"time"
)

// Service is a group of backend servers that do the same work. The bundle doesn't list the servers; they register with
// the platform.
type Service struct {
	Name           string
	HealthPath     string        // path of the health check
	MaxConnections int           // connections that one server accepts, from all instances together
	Keyed          bool          // each key is owned by one server; otherwise any server may answer
	KeyWarmup      time.Duration // how long requests for a key are slow at a server that got it without a handover
	WarmupTime     time.Duration // how long a server is cold after its start during traffic, at most
	WarmupRate     float64       // requests a second that a cold server tolerates from all instances together; 0 means any number
}

// WeightedService is one of the services that share a route.
type WeightedService struct {
	Service string // its name
	Weight  int    // its share of the requests, relative to the other weights; 0 gets none
}

// Route defines how requests to a host and a path prefix are handled. A request that a server rejected without executing
// it may be sent again even after MaxAttempts sends.
type Route struct {
	Name        string
	Host        string            // without a port
	Prefix      string            // of the path; begins and ends with a slash
	Idempotent  bool              // a request may be executed more than once
	LargeBodies bool              // requests upload bodies that fill slow links
	Timeout     time.Duration     // time until the final answer, retries included
	Objective   time.Duration     // latency objective: an answer after this time is late
	Priority    int               // 0 is served first
	MaxAttempts int               // sends after which a failed request is not retried
	Services    []WeightedService // at least one
}

// equal reports whether two routes have the same name and settings.
func (r Route) equal(other Route) bool {
	sameServices := slices.Equal(r.Services, other.Services)
	return sameServices && r.Name == other.Name && r.Host == other.Host && r.Prefix == other.Prefix &&
		r.Idempotent == other.Idempotent && r.LargeBodies == other.LargeBodies && r.Timeout == other.Timeout && r.Objective == other.Objective &&
		r.Priority == other.Priority && r.MaxAttempts == other.MaxAttempts
}

// Limits are the limits that a bundle sets for clients' requests and connections.
type Limits struct {
	HeaderBytes   int           // size of a request's header
	BodyBytes     int64         // size of a request's body
	HeaderTimeout time.Duration // time for sending a request's header
	IdleTimeout   time.Duration // time for which a connection may stay open without a request
}
