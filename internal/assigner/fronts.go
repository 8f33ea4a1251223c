package assigner

import (
	"sort"

	"github.com/wasabibank/wasabibank/pkg/hasher"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// FrontServer is a backend server with its present fronting instance, "" for none.
type FrontServer struct {
	Name    identifier.ServerName
	Domain  identifier.DomainName
	Current identifier.InstanceID
}

// FrontInstance is an entry instance; one that is not usable should front nothing.
type FrontInstance struct {
	ID     identifier.InstanceID
	Domain identifier.DomainName
	Usable bool
}

// FrontsInput is what Fronts decides from.
type FrontsInput struct {
	Servers   []FrontServer
	Instances []FrontInstance
}

// FrontTarget says which instance should front a server, "" when no instance is usable.
type FrontTarget struct {
	Server   identifier.ServerName
	Instance identifier.InstanceID
}

// Fronts returns a target for each server, in the order of their names. Usable instances front equally many servers,
// give or take one; a server keeps its fronting instance while that one is usable and has not too many, and otherwise
// gets one of its own failure domain where one has room.
func Fronts(in FrontsInput) []FrontTarget {
	f := newFronting(in)
	if len(f.instances) == 0 {
		return f.targets
	}
	f.keep(true)
	f.keep(false)
	f.fill()
	return f.targets
}

// fronting is the state of one call of Fronts.
type fronting struct {
	servers   []FrontServer
	instances []FrontInstance
	targets   []FrontTarget
	index     map[identifier.InstanceID]int
	counts    []int
	// floor is how many servers each instance fronts at least; spare of them front one more.
	floor int
	spare int
}

func newFronting(in FrontsInput) *fronting {
	f := &fronting{
		servers: append([]FrontServer(nil), in.Servers...),
		index:   map[identifier.InstanceID]int{},
	}
	sort.Slice(f.servers, func(i, j int) bool { return f.servers[i].Name < f.servers[j].Name })
	for _, instance := range in.Instances {
		if instance.Usable {
			f.instances = append(f.instances, instance)
		}
	}
	sort.Slice(f.instances, func(i, j int) bool { return f.instances[i].ID < f.instances[j].ID })
	for i, instance := range f.instances {
		f.index[instance.ID] = i
	}
	f.counts = make([]int, len(f.instances))
	f.targets = make([]FrontTarget, len(f.servers))
	for i, s := range f.servers {
		f.targets[i].Server = s.Name
	}
	if len(f.instances) > 0 {
		f.floor = len(f.servers) / len(f.instances)
		f.spare = len(f.servers) % len(f.instances)
	}
	return f
}

// room reports whether an instance may front one more server.
func (f *fronting) room(instance int) bool {
	return f.counts[instance] < f.floor || (f.counts[instance] == f.floor && f.spare > 0)
}

func (f *fronting) set(server, instance int) {
	if f.counts[instance] == f.floor {
		f.spare--
	}
	f.counts[instance]++
	f.targets[server].Instance = f.instances[instance].ID
}

// keep leaves servers with their instance while it has room: those in its own failure domain, or the others.
func (f *fronting) keep(near bool) {
	for i, s := range f.servers {
		current, usable := f.index[s.Current]
		if usable && f.near(s, current) == near && f.room(current) {
			f.set(i, current)
		}
	}
}

func (f *fronting) near(s FrontServer, instance int) bool {
	return s.Domain == f.instances[instance].Domain
}

// fill gives each server without an instance one that has room.
func (f *fronting) fill() {
	for i, s := range f.servers {
		if f.targets[i].Instance == "" {
			f.set(i, f.pick(s))
		}
	}
}

// pick returns the best instance that has room; there always is one while a server has none.
func (f *fronting) pick(s FrontServer) int {
	best := -1
	for i := range f.instances {
		if f.room(i) && (best < 0 || f.better(s, i, best)) {
			best = i
		}
	}
	return best
}

// better prefers the server's failure domain, then the instance that fronts fewer, then rendezvous order.
func (f *fronting) better(s FrontServer, a, b int) bool {
	if f.near(s, a) != f.near(s, b) {
		return f.near(s, a)
	}
	if f.counts[a] != f.counts[b] {
		return f.counts[a] < f.counts[b]
	}
	return f.score(s, a) > f.score(s, b)
}

func (f *fronting) score(s FrontServer, instance int) uint64 {
	return hasher.Rank(string(s.Name), string(f.instances[instance].ID))
}
