package exerciser

import (
	"fmt"
	"sort"
	"time"

	"github.com/wasabibank/wasabibank/internal/assigner"
	"github.com/wasabibank/wasabibank/internal/detector"
	"github.com/wasabibank/wasabibank/pkg/hasher"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// BalancePolicy is a way to spread partitions over backend servers: ModuloHashing, RendezvousHashing,
// BoundedLoadHashing or Assignment.
type BalancePolicy interface{ balancePolicy() }

// ModuloHashing gives partition p to usable server p modulo their number.
type ModuloHashing struct{}

// RendezvousHashing gives a partition to the usable server with the highest hash.
type RendezvousHashing struct{}

// BoundedLoadHashing gives a partition to the first server in rendezvous order whose measured load has room under
// Bound times the mean, anew each Period.
type BoundedLoadHashing struct {
	Bound  float64
	Period time.Duration
}

// Assignment is package assigner: Place, and Rebalance each Period with at most Budget moves, between the bounds High
// and Low; a partition stays for Settling after a move. With Pins, hot keys get partitions of their own.
type Assignment struct {
	Period   time.Duration
	Budget   int
	Settling time.Duration
	High     float64
	Low      float64
	Pins     bool
	// PerMinute is the churn budget in moves a minute, 0 for none; what is left of it is saved up for a minute.
	PerMinute float64
}

func (ModuloHashing) balancePolicy()      {}
func (RendezvousHashing) balancePolicy()  {}
func (BoundedLoadHashing) balancePolicy() {}
func (Assignment) balancePolicy()         {}

// BalancePolicies returns the policies of the comparison.
func BalancePolicies() []BalancePolicy {
	fast := Assignment{Period: time.Second, Budget: 4, Settling: 10 * time.Second, High: 1.25, Low: 1.1}
	slow := Assignment{Period: 10 * time.Second, Budget: 2, Settling: time.Minute, High: 1.25, Low: 1.1}
	budgeted := pinnedAssignment()
	budgeted.PerMinute = 12
	return []BalancePolicy{
		ModuloHashing{},
		RendezvousHashing{},
		BoundedLoadHashing{Bound: 1.25, Period: 10 * time.Second},
		slow,
		fast,
		budgeted,
		pinnedAssignment(),
	}
}

// pinnedAssignment returns the policy that is judged by the targets.
func pinnedAssignment() Assignment {
	return Assignment{Period: time.Second, Budget: 4, Settling: 10 * time.Second, High: 1.25, Low: 1.1, Pins: true}
}

func balancePolicyName(p BalancePolicy) string {
	switch p := p.(type) {
	case ModuloHashing:
		return "plain hashing"
	case RendezvousHashing:
		return "rendezvous"
	case BoundedLoadHashing:
		return "bounded load"
	case Assignment:
		return assignmentName(p)
	}
	return ""
}

func assignmentName(p Assignment) string {
	name := "assigner, " + p.Period.String()
	if p.Pins {
		name += ", pins"
	}
	if p.PerMinute > 0 {
		name += fmt.Sprintf(", %.0f/min", p.PerMinute)
	}
	return name
}

// pin is a hot key with a partition of its own; an unused pin has key -1.
type pin struct {
	key   int
	since time.Time
}

// balancer is the state of a policy in one run.
type balancer struct {
	policy   BalancePolicy
	service  identifier.ServiceName
	keys     *keySpace
	servers  []assigner.Candidate
	owners   []identifier.ServerName
	pins     []pin
	pinIndex map[string]int
	loads    *detector.Loads
	hot      *detector.Detector
	moved    []time.Time // last move of each partition
	// returning are the pins that should go back to the servers of their bases.
	returning []int
	allowance float64 // moves left of the churn budget
	running   bool
	next      time.Time
}

func newBalancer(p BalancePolicy, d Deployment, k *keySpace) *balancer {
	b := &balancer{
		policy:   p,
		service:  d.Service,
		keys:     k,
		servers:  d.candidates(),
		owners:   make([]identifier.ServerName, len(k.population)),
		pinIndex: map[string]int{},
		loads:    &detector.Loads{},
		hot:      &detector.Detector{},
		moved:    make([]time.Time, len(k.population)),
		next:     start,
	}
	b.hot.SetCapacity(d.Service, float64(d.Slots))
	return b
}

// partition returns the partition of a key.
func (b *balancer) partition(key int) int {
	if p, ok := b.pinIndex[b.keys.names[key]]; ok {
		return p
	}
	return b.keys.partitions[key]
}

// observe counts one request.
func (b *balancer) observe(key int, weight float64, now time.Time) {
	switch p := b.policy.(type) {
	case BoundedLoadHashing:
		b.loads.Observe(b.id(b.partition(key)), weight, now)
	case Assignment:
		b.loads.Observe(b.id(b.partition(key)), weight, now)
		if p.Pins {
			b.hot.Observe(b.service, b.keys.names[key], weight, now)
		}
	}
}

func (b *balancer) id(partition int) identifier.PartitionID {
	return identifier.PartitionID{Service: b.service, Index: identifier.PartitionIndex(partition)}
}

// decide returns the owners at now; changed says that servers came or went since the last call.
func (b *balancer) decide(now time.Time, changed bool) []identifier.ServerName {
	switch p := b.policy.(type) {
	case ModuloHashing:
		if changed {
			return b.modulo()
		}
	case RendezvousHashing:
		if changed {
			return b.bounded(0, nil)
		}
	case BoundedLoadHashing:
		if changed || b.due(now, p.Period) {
			return b.bounded(p.Bound, b.measured(now))
		}
	case Assignment:
		return b.assign(p, now, changed)
	}
	return b.owners
}

func (b *balancer) due(now time.Time, period time.Duration) bool {
	if now.Before(b.next) {
		return false
	}
	b.next = now.Add(period)
	return true
}

// measured returns the load of each partition as the instances see it.
func (b *balancer) measured(now time.Time) []float64 {
	out := make([]float64, len(b.owners))
	for p := range out {
		out[p] = b.loads.Load(b.id(p), now)
	}
	for _, k := range b.hot.Hot(now) {
		if p, ok := b.pinIndex[k.Key]; ok {
			out[p] = k.Rate
		}
	}
	return out
}

func (b *balancer) usable() []assigner.Candidate {
	var out []assigner.Candidate
	for _, c := range b.servers {
		if c.Usable {
			out = append(out, c)
		}
	}
	return out
}

func (b *balancer) modulo() []identifier.ServerName {
	live := b.usable()
	out := make([]identifier.ServerName, len(b.owners))
	for p := range out {
		out[p] = live[p%len(live)].Name
	}
	return out
}

// bounded returns the first server with room in rendezvous order for each partition; bound 0 means no bound.
func (b *balancer) bounded(bound float64, loads []float64) []identifier.ServerName {
	live := b.usable()
	room := make([]float64, len(live))
	total := 0.0
	for _, l := range loads {
		total += l
	}
	for i := range room {
		room[i] = bound * total / float64(len(live))
	}
	out := make([]identifier.ServerName, len(b.owners))
	for p := range out {
		order := b.ranked(p, live)
		chosen := order[0]
		if total > 0 {
			chosen = firstWithRoom(order, room, loads[p])
			room[chosen] -= loads[p]
		}
		out[p] = live[chosen].Name
	}
	return out
}

// firstWithRoom returns the first of order with room for load, or the one with most room.
func firstWithRoom(order []int, room []float64, load float64) int {
	best := order[0]
	for _, i := range order {
		if room[i] >= load {
			return i
		}
		if room[i] > room[best] {
			best = i
		}
	}
	return best
}

// ranked returns the indexes of live in the rendezvous order of a partition.
func (b *balancer) ranked(partition int, live []assigner.Candidate) []int {
	scores := make([]uint64, len(live))
	order := make([]int, len(live))
	for i, c := range live {
		scores[i] = hasher.Rank(b.id(partition).String(), string(c.Name))
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool { return scores[order[i]] > scores[order[j]] })
	return order
}
