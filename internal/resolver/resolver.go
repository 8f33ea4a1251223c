// Package resolver holds the immutable view of the system with which requests are resolved: routes, backend servers,
// owners of keys and entry instances. It also picks the instance that dispatches the requests of a pool of servers.
package resolver

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// Member is an entry instance.
type Member struct {
	Instance    string
	Incarnation uint64
	Address     string // where other instances reach it
	Domain      string
	Leaving     bool
	Capacity    int // what its machine can carry, relative to others
}

// ServerPool names a set of servers with one queue: a server of a keyed service, or some servers of another service in a
// failure domain.
type ServerPool struct {
	Service string
	Server  string // empty for a service without keys
	Domain  string
	Shard   int // of the domain's servers, for a service without keys
}

// shardServers is about how many servers of a service without keys share a queue. More servers to a queue waste less of
// them; fewer spread the work over more fronts.
const shardServers = 8

// View is what an instance knows of the system. All of it is immutable.
type View struct {
	Self    Member
	Table   *matcher.Table
	Owners  *partitioner.Map
	Members []Member // without Self; in order of their names
	servers map[string]cataloger.Server
	pools   map[ServerPool][]cataloger.Server
	shards  map[ServerPool]int  // of each service in each domain
	domains map[string][]string // of each service, those with ready servers, the one with the most first
}

// New returns a View.
func New(
	self Member, table *matcher.Table, servers []cataloger.Server, owners *partitioner.Map, members []Member,
) *View {
	v := &View{
		Self: self, Table: table, Owners: owners, Members: members,
		servers: map[string]cataloger.Server{}, pools: map[ServerPool][]cataloger.Server{}, shards: map[ServerPool]int{},
		domains: map[string][]string{},
	}
	ready := map[ServerPool][]cataloger.Server{}
	for _, s := range servers {
		v.servers[s.ID] = s
		if s.State != cataloger.Ready {
			continue
		}
		place := ServerPool{Service: s.Service, Domain: s.Domain}
		ready[place] = append(ready[place], s)
		if len(ready[place]) == 1 {
			v.domains[s.Service] = append(v.domains[s.Service], s.Domain)
		}
	}
	for place, list := range ready {
		v.shards[place] = (len(list) + shardServers - 1) / shardServers
		for i, s := range list {
			p := place
			p.Shard = i % v.shards[place]
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

// Server returns the server with an id, whatever its state.
func (v *View) Server(id string) (cataloger.Server, bool) {
	s, ok := v.servers[id]
	return s, ok
}

// Servers returns the servers of a pool that may get requests. A server that owns keys gets requests for them until they
// are taken from it, also while it drains.
func (v *View) Servers(p ServerPool) []cataloger.Server {
	if p.Server == "" {
		return v.pools[p]
	}
	if s, ok := v.servers[p.Server]; ok && s.State != cataloger.Gone {
		return []cataloger.Server{s}
	}
	return nil
}

// KeyedPool returns the pool of a server that owns keys; ok is false where the server is unknown or gone.
func (v *View) KeyedPool(server string) (ServerPool, bool) {
	s, ok := v.servers[server]
	return ServerPool{Service: s.Service, Server: s.ID, Domain: s.Domain}, ok && s.State != cataloger.Gone
}

// Pools returns the pools of a service without keys in the order in which a request that entered here tries them: those
// of its own failure domain first. turn spreads requests over the pools of a domain.
func (v *View) Pools(service string, turn uint64) []ServerPool {
	pools := v.domainPools(service, v.Self.Domain, turn)
	for _, d := range v.domains[service] {
		if d != v.Self.Domain {
			pools = append(pools, v.domainPools(service, d, turn)...)
		}
	}
	return pools
}

func (v *View) domainPools(service, domain string, turn uint64) []ServerPool {
	place := ServerPool{Service: service, Domain: domain}
	count := v.shards[place]
	pools := make([]ServerPool, 0, count)
	for i := range count {
		p := place
		p.Shard = int((turn + uint64(i)) % uint64(count))
		pools = append(pools, p)
	}
	return pools
}

// Dispatcher returns the instance that keeps the queue of a pool: the one of the pool's failure domain with the highest
// hash, so that each instance that knows the same members picks the same one. Members for which avoid is true, and those
// that leave, are skipped; without any in the domain, all others are considered, then this instance.
func (v *View) Dispatcher(p ServerPool, avoid func(instance string) bool) Member {
	best, found := v.highest(p, true, avoid)
	if !found {
		best, found = v.highest(p, false, avoid)
	}
	if !found {
		return v.Self
	}
	return best
}

// MembersByCapacity returns at most limit instances of the pool's failure domain in the order in which they relay for
// the others of it: those on larger machines first, since what they relay goes over their link once for each of the
// others.
func (v *View) MembersByCapacity(p ServerPool, avoid func(instance string) bool, limit int) []Member {
	var list []Member
	for _, m := range append([]Member{v.Self}, v.Members...) {
		if m.Domain == p.Domain && !m.Leaving && !avoid(m.Instance) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(rank(p, b), rank(p, a)))
	})
	return list[:min(limit, len(list))]
}

func (v *View) highest(p ServerPool, inDomain bool, avoid func(instance string) bool) (Member, bool) {
	var best Member
	var most float64
	found := false
	consider := func(m Member) {
		if m.Leaving || (inDomain && m.Domain != p.Domain) {
			return
		}
		if rank := rank(p, m); !found || rank > most {
			best, most, found = m, rank, true
		}
	}
	consider(v.Self)
	for _, m := range v.Members {
		if !avoid(m.Instance) {
			consider(m)
		}
	}
	return best, found
}

// rank returns the weight of an instance for a pool: it is highest for each instance as often as its capacity says
// (weighted rendezvous hashing).
func rank(p ServerPool, m Member) float64 {
	h := fnv.New64a()
	for _, part := range []string{p.Service, p.Server, p.Domain, strconv.Itoa(p.Shard), m.Instance} {
		_, _ = h.Write([]byte(part)) // never fails
		_, _ = h.Write([]byte{0})
	}
	sum := h.Sum64()
	sum ^= sum >> 33 // the last bytes reach only the low bits of an FNV hash
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	uniform := (float64(sum>>11) + 0.5) / (1 << 53)
	return -float64(max(1, m.Capacity)) / math.Log(uniform)
}
