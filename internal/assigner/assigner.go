// Package assigner decides which backend server should own which partition and which instance should front which
// backend server. It is pure: the same input gives the same output on every instance.
package assigner

import (
	"sort"

	"github.com/wasabibank/wasabibank/pkg/hasher"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Candidate is a backend server as the assignment sees it.
type Candidate struct {
	Name   identifier.ServerName
	Domain identifier.DomainName
	// Slots is how many requests the server executes at a time; less than 1 counts as 1.
	Slots int
	// Usable is false for a server that may own nothing new and should lose what it owns: lost, leaving or draining.
	Usable bool
}

func (c Candidate) slots() float64 {
	return float64(max(c.Slots, 1))
}

// Each partition weighs its measured load plus this share of the mean load, so that partitions without load
// are spread too.
const baseShare = 0.05

// idleShare is the share of all slots that the partitions weigh together at the least, so that a few requests on an idle
// service do not draw every other partition away from one server.
const idleShare = 0.1

// weights returns the weight of n partitions with loads on servers that have slots together; each weighs 1 where no
// load is known.
func weights(loads []float64, n int, slots float64) []float64 {
	total := 0.0
	for i := 0; i < n && i < len(loads); i++ {
		total += loads[i]
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
	}
	if total <= 0 {
		return out
	}
	base := max(baseShare*total, idleShare*slots) / float64(n)
	for i := range out {
		out[i] = base
		if i < len(loads) {
			out[i] += loads[i]
		}
	}
	return out
}

// board keeps the weight that each usable server carries.
type board struct {
	service identifier.ServiceName
	// servers are the usable candidates in the order of their names.
	servers []Candidate
	index   map[identifier.ServerName]int
	carried []float64
	domains map[identifier.DomainName]*domainLoad
	weight  float64
	slots   float64
}

// domainLoad is the weight and the slots of one failure domain.
type domainLoad struct {
	carried float64
	slots   float64
}

func newBoard(service identifier.ServiceName, candidates []Candidate) *board {
	b := &board{
		service: service,
		index:   map[identifier.ServerName]int{},
		domains: map[identifier.DomainName]*domainLoad{},
	}
	for _, c := range candidates {
		if c.Usable {
			b.servers = append(b.servers, c)
		}
	}
	sort.Slice(b.servers, func(i, j int) bool { return b.servers[i].Name < b.servers[j].Name })
	b.carried = make([]float64, len(b.servers))
	for i, c := range b.servers {
		b.index[c.Name] = i
		b.slots += c.slots()
		if b.domains[c.Domain] == nil {
			b.domains[c.Domain] = &domainLoad{}
		}
		b.domains[c.Domain].slots += c.slots()
	}
	return b
}

// at returns the index of a usable server, or false.
func (b *board) at(name identifier.ServerName) (int, bool) {
	i, ok := b.index[name]
	return i, ok
}

// add puts weight w on server i; a negative w takes it off.
func (b *board) add(i int, w float64) {
	b.carried[i] += w
	b.weight += w
	b.domains[b.servers[i].Domain].carried += w
}

// perSlot returns the weight per slot of server i with w added.
func (b *board) perSlot(i int, w float64) float64 {
	return (b.carried[i] + w) / b.servers[i].slots()
}

// domainPerSlot returns the weight per slot of the failure domain of server i.
func (b *board) domainPerSlot(i int) float64 {
	d := b.domains[b.servers[i].Domain]
	return d.carried / d.slots
}

// mean returns the weight per slot over all usable servers.
func (b *board) mean() float64 {
	if b.slots == 0 {
		return 0
	}
	return b.weight / b.slots
}

// rank returns the indexes of the usable servers in the rendezvous order of a partition.
func (b *board) rank(partition int) []int {
	id := identifier.PartitionID{Service: b.service, Index: identifier.PartitionIndex(partition)}.String()
	scores := make([]uint64, len(b.servers))
	order := make([]int, len(b.servers))
	for i, c := range b.servers {
		scores[i] = hasher.Rank(id, string(c.Name))
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool { return scores[order[i]] > scores[order[j]] })
	return order
}

// Imbalance returns the greatest load per slot of a usable server over the mean load per slot of them all,
// 0 when there is no load. Loads of partitions whose owner is not usable do not count.
func Imbalance(servers []Candidate, owners []identifier.ServerName, loads []float64) float64 {
	b := newBoard("", servers)
	for p, owner := range owners {
		if i, ok := b.at(owner); ok && p < len(loads) {
			b.add(i, loads[p])
		}
	}
	if b.weight <= 0 {
		return 0
	}
	return b.highest() / b.mean()
}

// highest returns the greatest weight per slot.
func (b *board) highest() float64 {
	top := 0.0
	for i := range b.servers {
		top = max(top, b.perSlot(i, 0))
	}
	return top
}
