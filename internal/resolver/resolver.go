// Package resolver holds the immutable view of the system that is used to resolve requests: routes, backend servers, key
// owners and entry instances. It also picks the dispatcher of each server pool.
package resolver

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"sync"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// Member is an entry instance.
type Member struct {
	Instance    string
	Incarnation uint64 // Unix time of its start in nanoseconds; higher after a restart under the same name
	Address     string // where other instances reach it
	Domain      string // failure domain
	Leaving     bool   // it is shutting down
	Capacity    int    // CPU capacity of its machine in thousandths of a core
	Lost        LostServices
}

// ServerPool identifies a set of servers that share one queue: a single server of a keyed service, or some servers of
// another service in one failure domain.
type ServerPool struct {
	Service string
	Server  string // empty for a service without keys
	Domain  string
	Subset  int // index of the subset of the domain's servers, for a service without keys
}

// maxSubsetServers is the maximum number of servers of a service without keys that share a queue. Larger subsets leave fewer
// slots idle; smaller ones spread the work over more dispatchers.
const maxSubsetServers = 8

// View is what an instance knows about the system. All of it is immutable.
type View struct {
	Self         Member
	Table        *matcher.Table
	Owners       *partitioner.Map
	Members      []Member // without Self
	servers      map[string]cataloger.Server
	pools        map[ServerPool][]cataloger.Server
	subsetCounts map[ServerPool]int  // number of subsets by service and domain, the only fields set in the keys
	domains      map[string][]string // domains with ready servers by service, those with the most servers first
	dispatchers  *dispatcherCache    // of Self and Members
}

// dispatcherCache holds the preferred dispatcher of each pool, which is found by a hash for each member. It is safe for
// concurrent use.
type dispatcherCache struct {
	mu     sync.RWMutex
	byPool map[ServerPool]Member
}

// get returns the preferred dispatcher of a pool, and calls find the first time.
func (c *dispatcherCache) get(p ServerPool, find func() Member) Member {
	c.mu.RLock()
	m, ok := c.byPool[p]
	c.mu.RUnlock()
	if ok {
		return m
	}
	m = find()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byPool[p] = m
	return m
}

// New returns the View of self. servers must be sorted by id, so that all instances form the same subsets.
func New(
	self Member, table *matcher.Table, servers []cataloger.Server, owners *partitioner.Map, members []Member,
) *View {
	v := &View{
		Self: self, Table: table, Owners: owners, Members: members,
		servers: map[string]cataloger.Server{}, pools: map[ServerPool][]cataloger.Server{}, subsetCounts: map[ServerPool]int{},
		domains: map[string][]string{}, dispatchers: &dispatcherCache{byPool: map[ServerPool]Member{}},
	}
	ready := map[ServerPool][]cataloger.Server{} // keys as in subsetCounts
	for _, s := range servers {
		v.servers[s.ID] = s
		if s.State != cataloger.Ready {
			continue
		}
		// As a key of ready and subsetCounts this means all subsets; as a key of pools it would be the subset 0.
		allSubsets := ServerPool{Service: s.Service, Domain: s.Domain}
		ready[allSubsets] = append(ready[allSubsets], s)
		if len(ready[allSubsets]) == 1 {
			v.domains[s.Service] = append(v.domains[s.Service], s.Domain)
		}
	}
	for allSubsets, list := range ready {
		v.subsetCounts[allSubsets] = (len(list) + maxSubsetServers - 1) / maxSubsetServers
		for i, s := range list {
			p := allSubsets
			p.Subset = i % v.subsetCounts[allSubsets]
			v.pools[p] = append(v.pools[p], s)
		}
	}
	for service, list := range v.domains {
		slices.SortStableFunc(list, func(a, b string) int {
			return len(ready[ServerPool{Service: service, Domain: b}]) - len(ready[ServerPool{Service: service, Domain: a}])
		})
	}
	return v
}

// WithOwners returns a View that differs from v only in the owner map. It shares everything else with v, which is much less
// work than New.
func (v *View) WithOwners(owners *partitioner.Map) *View {
	changed := *v
	changed.Owners = owners
	return &changed
}

// Server returns the server with an id, in any state.
func (v *View) Server(id string) (cataloger.Server, bool) {
	s, ok := v.servers[id]
	return s, ok
}

// AllServers returns the servers of configured services that are not gone, in no particular order. What is registered for another
// service may be no server at all.
func (v *View) AllServers() []cataloger.Server {
	list := make([]cataloger.Server, 0, len(v.servers))
	for _, s := range v.servers {
		if _, configured := v.Table.Service(s.Service); configured && s.State != cataloger.Gone {
			list = append(list, s)
		}
	}
	return list
}

// Evacuated returns the servers of evacuated failure domains, in no particular order.
func (v *View) Evacuated() []cataloger.Server {
	var list []cataloger.Server
	for _, s := range v.servers {
		if s.Evacuated {
			list = append(list, s)
		}
	}
	return list
}

// ServiceEvacuated reports whether a service has servers, but none outside evacuated failure domains to which requests may be sent.
func (v *View) ServiceEvacuated(service string, keyed bool) bool {
	evacuated := false
	for _, s := range v.servers {
		switch {
		case s.Service != service:
		case s.State == cataloger.Ready, keyed && s.State == cataloger.Draining:
			return false
		case s.Evacuated:
			evacuated = true
		}
	}
	return evacuated
}

// SharesServers reports whether two views have the same servers and members because one was made from the other by WithOwners.
func (v *View) SharesServers(other *View) bool {
	return other != nil && v.dispatchers == other.dispatchers
}

// Servers returns those servers of a pool to which requests may be sent. A server that owns keys gets requests for them
// until it has released them, even while it drains.
func (v *View) Servers(p ServerPool) []cataloger.Server {
	if p.Server == "" {
		return v.pools[p]
	}
	if s, ok := v.servers[p.Server]; ok && s.State != cataloger.Gone {
		return []cataloger.Server{s}
	}
	return nil
}

// KeyedPool returns the pool of a server that owns keys; ok is false if the server is unknown or gone.
func (v *View) KeyedPool(server string) (ServerPool, bool) {
	s, ok := v.servers[server]
	return ServerPool{Service: s.Service, Server: s.ID, Domain: s.Domain}, ok && s.State != cataloger.Gone
}

// Pools returns the pools of a service without keys in the order in which a request that entered here tries them: those
// of its own failure domain first. rotation shifts the order of the pools of each domain; it should differ from request to
// request, so that requests are spread over the pools.
func (v *View) Pools(service string, rotation uint64) []ServerPool {
	pools := v.domainPools(service, v.Self.Domain, rotation)
	for _, d := range v.domains[service] {
		if d != v.Self.Domain {
			pools = append(pools, v.domainPools(service, d, rotation)...)
		}
	}
	return pools
}

// domainPools returns the pools of a service without keys in a domain, rotated as for Pools.
func (v *View) domainPools(service, domain string, rotation uint64) []ServerPool {
	allSubsets := ServerPool{Service: service, Domain: domain}
	count := v.subsetCounts[allSubsets]
	pools := make([]ServerPool, 0, count)
	for i := range count {
		p := allSubsets
		p.Subset = int((rotation + uint64(i)) % uint64(count))
		pools = append(pools, p)
	}
	return pools
}

// Dispatcher returns the instance that keeps the queue of a pool: the one in the pool's failure domain with the highest
// score, so that all instances that know the same members pick the same one. Instances that are leaving are skipped, and so
// are those for which avoid returns true. If the domain has none left, the instances of all domains are considered. Instances
// that have lost the pool's service are considered after all others. Without any, it returns this instance, whatever avoid
// returns for it.
//
// A pool of a service without keys that takes large bodies is dispatched by an instance of the largest capacity that its domain
// has, because each body passes the dispatcher's link twice and would fill a slow one. The bodies for a service with keys are
// spread over one pool for each server.
func (v *View) Dispatcher(p ServerPool, avoid func(instance string) bool) Member {
	preferred := v.dispatchers.get(p, func() Member { return v.findDispatcher(p, func(string) bool { return false }) })
	if !avoid(preferred.Instance) {
		return preferred // it has the highest score of all, so also of those that are not avoided
	}
	return v.findDispatcher(p, avoid)
}

// findDispatcher implements Dispatcher without the cache.
func (v *View) findDispatcher(p ServerPool, avoid func(instance string) bool) Member {
	for _, withLost := range []bool{false, true} {
		for _, inDomain := range []bool{true, false} {
			if best, found := v.highestScored(p, inDomain, withLost, avoid); found {
				return best
			}
		}
	}
	return v.Self
}

// MembersByCapacity returns at most limit instances of p's failure domain, which may include this one, in the order in which
// they are chosen as the domain's relays: those on larger machines first, since a relay sends all data over its link once
// for each other instance of the domain. Equal ones are ordered by their scores for p, which only names the domain and feeds
// the hash of the scores; no servers need belong to it. Leaving instances and those for which avoid returns true, this one
// too, are left out.
func (v *View) MembersByCapacity(p ServerPool, avoid func(instance string) bool, limit int) []Member {
	var list []Member
	for _, m := range append([]Member{v.Self}, v.Members...) {
		if m.Domain == p.Domain && !m.Leaving && !avoid(m.Instance) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(score(p, b), score(p, a)))
	})
	return list[:min(limit, len(list))]
}

// highestScored returns the instance with the highest score for a pool, or false if all are skipped. With inDomain, only
// instances of the pool's failure domain are considered; without withLost, only those that have not lost the pool's service.
func (v *View) highestScored(p ServerPool, inDomain, withLost bool, avoid func(instance string) bool) (Member, bool) {
	var best Member
	var highest float64
	found, byCapacity := false, p.Server == "" && v.Table.TakesLargeBodies(p.Service)
	consider := func(m Member) {
		if m.Leaving || inDomain && m.Domain != p.Domain || !withLost && m.Lost.Contains(p.Service) || avoid(m.Instance) {
			return
		}
		if byCapacity && found && m.Capacity < best.Capacity {
			return
		}
		if s := score(p, m); !found || byCapacity && m.Capacity > best.Capacity || s > highest {
			best, highest, found = m, s, true
		}
	}
	consider(v.Self)
	for _, m := range v.Members {
		consider(m)
	}
	return best, found
}

// score returns the score of an instance for a pool by weighted rendezvous hashing: the part of all pools for which an
// instance has the highest score is proportional to its capacity. All instances must compute the same scores, because each
// picks dispatchers and relays by itself.
func score(p ServerPool, m Member) float64 {
	h := fnv.New64a()
	for _, part := range []string{p.Service, p.Server, p.Domain, strconv.Itoa(p.Subset), m.Instance} {
		_, _ = h.Write([]byte(part)) // never fails
		_, _ = h.Write([]byte{0})
	}
	hash := h.Sum64()
	hash ^= hash >> 33 // the last bytes written affect only the low bits of an FNV hash, so mix the bits
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(max(1, m.Capacity)) / math.Log(uniform)
}
