// Package matcher finds the route of a request by its host and the longest prefix of its path, and picks among the services
// that share a route by their weights. A Table is immutable. Tables and Splitters are safe for concurrent use.
package matcher

import (
	"slices"
	"strings"
	"sync"

	"github.com/wasabibank/wasabibank/pkg/bundler"
)

// Table is one version of the bundle, indexed for lookups.
type Table struct {
	version  uint64
	services map[string]bundler.Service
	limits   bundler.Limits
	hosts    map[string][]*bundler.Route // longest prefix first
	uploads  map[string]bool             // services with a route that has large bodies
}

// NewTable returns the Table of a bundle.
func NewTable(b *bundler.Bundle) *Table {
	t := &Table{
		version: b.Version(), services: map[string]bundler.Service{}, limits: b.Limits(), hosts: map[string][]*bundler.Route{},
		uploads: map[string]bool{},
	}
	for _, s := range b.Services() {
		t.services[s.Name] = s
	}
	routes := b.Routes()
	for i := range routes {
		r := &routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
		if r.LargeBodies {
			for _, part := range r.Services {
				t.uploads[part.Service] = true
			}
		}
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *bundler.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Version returns the version of the bundle; a nil Table has version 0. The other methods must not be called on a nil Table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns the limits on what a client may send. IdleTimeout holds within a body, and between two requests.
func (t *Table) Limits() bundler.Limits { return t.limits }

// Service returns the service with a name.
func (t *Table) Service(name string) (bundler.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// TakesLargeBodies reports whether a service has a route whose requests have large bodies. For a nil Table, it has none.
func (t *Table) TakesLargeBodies(service string) bool { return t != nil && t.uploads[service] }

// KeyedServices returns the sorted names of the services whose requests are routed by key.
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

// Route returns the route of a request. host may have any case and may include a port; an IPv6 literal in
// brackets matches no route. In a bundle, hosts are in lower case and prefixes end with a slash, so that a prefix matches
// whole path segments.
func (t *Table) Route(host, path string) (*bundler.Route, bool) {
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

// Splitter divides the requests of each route among its services by smooth weighted round robin, so that short sequences of
// requests follow the weights as well. The zero Splitter is ready for use; it is safe for concurrent use. It may be kept
// when the Table is replaced: it identifies routes and services by name, and new weights apply from the next request.
type Splitter struct {
	mu             sync.Mutex
	currentWeights map[string]int // by route and service, separated by a zero byte
}

// Pick returns the service of the next request of r.
func (s *Splitter) Pick(r *bundler.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentWeights == nil {
		s.currentWeights = map[string]int{}
	}
	total, best, highest := 0, -1, 0
	for i, p := range r.Services {
		if p.Weight <= 0 {
			continue
		}
		key := r.Name + "\x00" + p.Service
		s.currentWeights[key] += p.Weight
		total += p.Weight
		if best < 0 || s.currentWeights[key] > highest {
			best, highest = i, s.currentWeights[key]
		}
	}
	if best < 0 {
		return r.Services[0].Service
	}
	s.currentWeights[r.Name+"\x00"+r.Services[best].Service] -= total
	return r.Services[best].Service
}
