package resolver

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

func avoidNone(string) bool { return false }

func members(count int, domains ...string) []Member {
	var list []Member
	for i := range count {
		list = append(list, Member{Instance: fmt.Sprint("m", i), Domain: domains[i%len(domains)], Capacity: 320})
	}
	return list
}

// TestEveryInstancePicksTheSameDispatcher guards against two queues for one pool while all instances know the same members.
func TestEveryInstancePicksTheSameDispatcher(t *testing.T) {
	is := is.New(t)
	all := members(8, "a", "b")
	for server := range 50 {
		p := ServerPool{Service: "s", Server: fmt.Sprint(server), Domain: "b"}
		first := ""
		for self := range all {
			var others []Member
			for i, m := range all {
				if i != self {
					others = append(others, m)
				}
			}
			dispatcher := New(all[self], nil, nil, nil, others).Dispatcher(p, avoidNone)
			is.Equal(dispatcher.Domain, "b")
			if first == "" {
				first = dispatcher.Instance
			}
			is.Equal(dispatcher.Instance, first)
		}
	}
}

// TestDispatchersFollowCapacity guards against small machines that dispatch as many pools as large ones.
func TestDispatchersFollowCapacity(t *testing.T) {
	is := is.New(t)
	all := members(6, "a")
	all[2].Capacity = 1600
	counts := map[string]int{}
	const pools = 2000
	for server := range pools {
		v := New(all[0], nil, nil, nil, all[1:])
		counts[v.Dispatcher(ServerPool{Service: "s", Server: fmt.Sprint(server), Domain: "a"}, avoidNone).Instance]++
	}
	is.True(counts["m2"] > pools*4/10 && counts["m2"] < pools*6/10) // m2 has half of the capacity
	for _, small := range []string{"m0", "m1", "m3", "m4", "m5"} {
		is.True(counts[small] > pools*6/100 && counts[small] < pools*14/100)
	}
}

// TestDispatcherSkipsLeavingAndAvoidedMembers guards against requests that are forwarded to an instance which is shutting
// down or unreachable, and against pools without a dispatcher.
func TestDispatcherSkipsLeavingAndAvoidedMembers(t *testing.T) {
	is := is.New(t)
	all := members(4, "a", "b") // m0, m2 in a; m1, m3 in b
	p := ServerPool{Service: "s", Server: "x", Domain: "b"}
	v := New(all[0], nil, nil, nil, all[1:])
	first := v.Dispatcher(p, avoidNone).Instance
	other := map[string]string{"m1": "m3", "m3": "m1"}[first]
	is.Equal(v.Dispatcher(p, func(name string) bool { return name == first }).Instance, other)
	none := v.Dispatcher(p, func(name string) bool { return name == "m1" || name == "m3" })
	is.Equal(none.Domain, "a") // the domain has no member left, so any instance
	for i := range all {
		all[i].Leaving = true
	}
	is.Equal(New(all[0], nil, nil, nil, all[1:]).Dispatcher(p, avoidNone).Instance, "m0")
}

// TestPoolsStartWithOwnDomain guards against requests that leave the failure domain without need, and against new requests
// for a draining server. After its own domain come those with the most ready servers; d has none.
func TestPoolsStartWithOwnDomain(t *testing.T) {
	is := is.New(t)
	server := func(id, domain string, state cataloger.State) cataloger.Server {
		return cataloger.Server{ID: id, Service: "s", Domain: domain, State: state}
	}
	v := New(Member{Domain: "a"}, nil, []cataloger.Server{
		server("1", "b", cataloger.Ready), server("2", "c", cataloger.Ready), server("3", "c", cataloger.Ready),
		server("4", "a", cataloger.Ready), server("5", "d", cataloger.Draining),
	}, nil, nil)
	var domains []string
	for _, p := range v.Pools("s", 7) { // each domain has one pool, so the rotation changes nothing
		domains = append(domains, p.Domain)
	}
	is.Equal(domains, []string{"a", "c", "b"})
	is.Equal(len(v.Servers(ServerPool{Service: "s", Server: "5"})), 1) // gets requests for its keys while it drains
	_, known := v.KeyedPool("6")
	is.True(!known)
}

// TestManyServersAreSplitIntoSubsets guards against one dispatcher for all servers of a domain, and against servers in no
// subset.
func TestManyServersAreSplitIntoSubsets(t *testing.T) {
	is := is.New(t)
	var servers []cataloger.Server
	for i := range 3*maxSubsetServers + 1 {
		servers = append(servers, cataloger.Server{ID: fmt.Sprintf("%03d", i), Service: "s", Domain: "a"})
	}
	v := New(Member{Domain: "a"}, nil, servers, nil, nil)
	first := v.Pools("s", 0)
	is.Equal(len(first), 4)
	is.Equal(v.Pools("s", 1)[0], first[1])
	total := 0
	for _, p := range first {
		total += len(v.Servers(p))
		is.True(len(v.Servers(p)) <= maxSubsetServers)
	}
	is.Equal(total, len(servers))
}

// TestMembersByCapacityPutsLargeMachinesFirst guards against a small machine as relay: it sends each record over its link
// once for every other instance of its domain.
func TestMembersByCapacityPutsLargeMachinesFirst(t *testing.T) {
	is := is.New(t)
	avoidNobody := func(string) bool { return false }
	var others []Member
	for i := range 20 {
		others = append(others, Member{Instance: fmt.Sprint("small", i), Domain: "d", Capacity: 160})
	}
	others = append(others,
		Member{Instance: "large", Domain: "d", Capacity: 800}, Member{Instance: "far", Domain: "e", Capacity: 900},
		Member{Instance: "leaving", Domain: "d", Capacity: 900, Leaving: true})
	self := Member{Instance: "self", Domain: "d", Capacity: 320}
	list := New(self, nil, nil, nil, others).MembersByCapacity(ServerPool{Service: "relays", Domain: "d"}, avoidNobody, 3)
	is.Equal(len(list), 3)
	is.Equal(list[0].Instance, "large")
	is.Equal(list[1].Instance, "self")
	for _, m := range others[:20] {
		is.Equal(New(m, nil, nil, nil, append(others, self)).MembersByCapacity(
			ServerPool{Service: "relays", Domain: "d"}, avoidNobody, 2)[0].Instance, "large")
	}
}

// TestDispatcherFromCache guards against a dispatcher that differs from the one that a search finds, when some instances are
// avoided, for a view that shares the cache.
func TestDispatcherFromCache(t *testing.T) {
	is := is.New(t)
	var members []Member
	for i := range 20 {
		members = append(members, Member{
			Instance: fmt.Sprint("entry_", i), Domain: fmt.Sprint("d", i%3), Capacity: 100 + 10*i, Leaving: i%7 == 0,
		})
	}
	first := New(members[5], nil, nil, nil, slices.Delete(slices.Clone(members), 5, 6))
	for round := range 4 {
		avoided := map[string]bool{}
		for i := range round * 5 {
			avoided[fmt.Sprint("entry_", i)] = true
		}
		avoid := func(instance string) bool { return avoided[instance] }
		for i := range 50 {
			p := ServerPool{Service: "desk", Server: fmt.Sprint("s", i), Domain: fmt.Sprint("d", i%4)}
			for _, v := range []*View{first, first.WithOwners(nil)} {
				is.Equal(v.Dispatcher(p, avoid), v.findDispatcher(p, avoid))
			}
		}
	}
}

// BenchmarkDispatcher measures the choice of a dispatcher among as many instances as the largest deployments have.
func BenchmarkDispatcher(b *testing.B) {
	var members []Member
	for i := range 195 {
		members = append(members, Member{Instance: fmt.Sprint("entry_", i), Domain: fmt.Sprint("d", i%6), Capacity: 100 + i})
	}
	v := New(members[0], nil, nil, nil, members[1:])
	p := ServerPool{Service: "desk", Server: "s1", Domain: "d1"}
	none := func(string) bool { return false }
	b.Run("cached", func(b *testing.B) {
		for b.Loop() {
			v.Dispatcher(p, none)
		}
	})
	b.Run("searched", func(b *testing.B) {
		for b.Loop() {
			v.findDispatcher(p, none)
		}
	})
}

// TestLargeBodiesAvoidSlowLinks guards against dispatchers whose links are filled by the bodies of uploads while instances with
// faster links are idle, and against pools that move although their bodies are small.
func TestLargeBodiesAvoidSlowLinks(t *testing.T) {
	all := members(12, "a", "b")
	for i := range all {
		all[i].Capacity = 120
	}
	all[2].Capacity, all[6].Capacity = 800, 800 // in domain a
	table := matcher.NewTable(bundler.New(1, []bundler.Service{{Name: "photos"}, {Name: "keyed", Keyed: true}, {Name: "small"}},
		[]bundler.Route{
			{Name: "upload", LargeBodies: true, Services: []bundler.WeightedService{{Service: "photos"}, {Service: "keyed"}}},
			{Name: "read", Services: []bundler.WeightedService{{Service: "small"}}},
		}, bundler.Limits{}))
	v, without := New(all[0], table, nil, nil, all[1:]), New(all[0], nil, nil, nil, all[1:])
	is := is.New(t)
	seen := map[string]bool{}
	for subset := range 40 {
		p := ServerPool{Service: "photos", Domain: "a", Subset: subset}
		preferred := v.Dispatcher(p, avoidNone).Instance
		seen[preferred] = true
		other := v.Dispatcher(p, func(instance string) bool { return instance == preferred }).Instance
		is.True(other != preferred && (other == "m2" || other == "m6"))
		last := v.Dispatcher(p, func(instance string) bool { return instance == "m2" || instance == "m6" })
		is.Equal(last.Domain, "a") // a small instance of the domain, not one of another domain
		for _, unchanged := range []ServerPool{
			{Service: "small", Domain: "a", Subset: subset}, {Service: "keyed", Server: fmt.Sprint(subset), Domain: "a"},
		} {
			is.Equal(v.Dispatcher(unchanged, avoidNone), without.Dispatcher(unchanged, avoidNone))
		}
	}
	is.Equal(seen, map[string]bool{"m2": true, "m6": true})
}

// TestServiceEvacuated guards against refusals that name an evacuation while there are servers outside of it, and the reverse.
func TestServiceEvacuated(t *testing.T) {
	ready := cataloger.Server{ID: "r", Service: "s"}
	draining := cataloger.Server{ID: "d", Service: "s", State: cataloger.Draining, Evacuated: true}
	gone := cataloger.Server{ID: "g", Service: "s", State: cataloger.Gone, Evacuated: true}
	other := cataloger.Server{ID: "o", Service: "other"}
	for name, test := range map[string]struct {
		servers          []cataloger.Server
		keyed, otherwise bool
	}{
		"no servers":            {servers: []cataloger.Server{other}},
		"ready ones":            {servers: []cataloger.Server{gone, ready}},
		"draining":              {servers: []cataloger.Server{draining, other}, otherwise: true},
		"draining and gone":     {servers: []cataloger.Server{draining, gone}, otherwise: true},
		"gone":                  {servers: []cataloger.Server{gone, other}, keyed: true, otherwise: true},
		"gone for other causes": {servers: []cataloger.Server{{ID: "x", Service: "s", State: cataloger.Gone}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := New(Member{}, nil, test.servers, nil, nil)
			is.Equal(v.ServiceEvacuated("s", true), test.keyed)
			is.Equal(v.ServiceEvacuated("s", false), test.otherwise)
		})
	}
}
