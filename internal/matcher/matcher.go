// Package matcher finds the route of a request: by host, by the longest prefix of the path, and by the weights of the
// services that share a route. A Table is immutable and safe for concurrent use, but for its Splitters.
package matcher

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Service is a set of backend servers that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that one server accepts, from all instances together
	Keyed          bool
	ColdKeys       time.Duration // how long keys stay slow at a server that got them without their handover
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
	Repeatable  bool          // may run more than once
	Timeout     time.Duration // longest time until the final answer
	Objective   time.Duration // latency objective
	Priority    int           // 0 goes first
	MaxAttempts int           // servers that one request may be sent to
	Parts       []Part        // at least one
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	version  uint64
	services map[string]Service
	limits   Limits
	hosts    map[string][]*Route // longest prefix first
}

// NewTable returns a Table.
func NewTable(version uint64, services []Service, routes []Route, limits Limits) *Table {
	t := &Table{version: version, services: map[string]Service{}, limits: limits, hosts: map[string][]*Route{}}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Version returns the version; a nil Table has version 0.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns what a client may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service of a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// KeyedServices returns the names of the services that are divided by key, in order.
func (t *Table) KeyedServices() []string {
	var names []string
	for name, s := range t.services {
		if s.Keyed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Route returns the route of a request. host may carry a port.
func (t *Table) Route(host, path string) (*Route, bool) {
	list, ok := t.hosts[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		list = t.hosts[strings.ToLower(name)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Splitter divides the requests of routes among their parts by smooth weighted round robin, so that short runs keep to
// the weights as well. The zero Splitter is ready; it is safe for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	current map[string]int // by route and service
}

// Pick returns the service of the next request of r.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		s.current = map[string]int{}
	}
	total, best, most := 0, -1, 0
	for i, p := range r.Parts {
		if p.Weight <= 0 {
			continue
		}
		key := r.Name + "\x00" + p.Service
		s.current[key] += p.Weight
		total += p.Weight
		if best < 0 || s.current[key] > most {
			best, most = i, s.current[key]
		}
	}
	if best < 0 {
		return r.Parts[0].Service
	}
	s.current[r.Name+"\x00"+r.Parts[best].Service] -= total
	return r.Parts[best].Service
}
