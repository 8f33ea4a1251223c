// Package exerciser drives the deciders under virtual time with small fakes, and measures them.
package exerciser

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/wasabibank/wasabibank/internal/assigner"
	"github.com/wasabibank/wasabibank/pkg/hasher"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// start is the begin of virtual time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Deployment is one of the users' keyed services with its sizes.
type Deployment struct {
	Name    string
	Service identifier.ServiceName
	Servers int
	Domains int
	Slots   int
	// Connections is how many requests a server holds, executing and in its own queue.
	Connections int
	Classes     []Class
}

// Class is a class of requests of a deployment.
type Class struct {
	Name     identifier.ClassName
	Share    float64       // of the requests
	Cost     time.Duration // mean execution of one request
	Deadline time.Duration
	Priority int
	Repeats  bool // may run more than once
}

// cost returns the mean execution of one request over all classes.
func (d Deployment) cost() time.Duration {
	mean := 0.0
	for _, c := range d.Classes {
		mean += c.Share * float64(c.Cost)
	}
	return time.Duration(mean)
}

// Deployments returns the keyed services of both users, with the sizes of the brief.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "shashat", Service: "render_desk", Servers: 15, Domains: 4, Slots: 3, Connections: 100,
			Classes: []Class{
				{Name: "preview", Share: 0.9, Cost: 80 * time.Millisecond, Deadline: 800 * time.Millisecond, Repeats: true},
				{Name: "render_order", Share: 0.1, Cost: 240 * time.Millisecond, Deadline: 10 * time.Second, Priority: 1},
			},
		},
		{
			Name: "federation", Service: "checklist_desk", Servers: 15, Domains: 4, Slots: 2, Connections: 120,
			Classes: []Class{
				{Name: "lookup", Share: 0.9, Cost: 40 * time.Millisecond, Deadline: 500 * time.Millisecond, Repeats: true},
				{Name: "sign_off", Share: 0.1, Cost: 60 * time.Millisecond, Deadline: 5 * time.Second, Priority: 1},
			},
		},
	}
}

// candidates returns the servers of the deployment, all usable.
func (d Deployment) candidates() []assigner.Candidate {
	out := make([]assigner.Candidate, d.Servers)
	for i := range out {
		out[i] = assigner.Candidate{
			Name:   identifier.ServerName(fmt.Sprintf("%s-%02d", d.Service, i)),
			Domain: identifier.DomainName(fmt.Sprintf("domain-%d", i%d.Domains)),
			Slots:  d.Slots,
			Usable: true,
		}
	}
	return out
}

// capacity returns the slots of all servers.
func (d Deployment) capacity() float64 {
	return float64(d.Servers * d.Slots)
}

// The workload of the balance comparison.
const (
	balanceKeys       = 50_000
	balancePartitions = 480
	balanceExponent   = 0.9
	balanceLoad       = 0.5 // share of the capacity
	balanceLength     = 30 * time.Minute
	balanceStep       = 250 * time.Millisecond
	hotKeyPeriod      = time.Minute
)

// keySpace holds the keys of a service with their popularity.
type keySpace struct {
	names      []string
	partitions []int
	shares     []float64
	cumulative []float64
	population []int // keys in each partition
}

func newKeySpace(keys, partitions int, exponent float64) *keySpace {
	k := &keySpace{
		names:      make([]string, keys),
		partitions: make([]int, keys),
		shares:     make([]float64, keys),
		cumulative: make([]float64, keys),
		population: make([]int, partitions),
	}
	total := 0.0
	for i := range keys {
		k.names[i] = fmt.Sprintf("key-%d", i)
		k.partitions[i] = int(hasher.Partition(k.names[i], partitions))
		k.population[k.partitions[i]]++
		k.shares[i] = math.Pow(float64(i+1), -exponent)
		total += k.shares[i]
		k.cumulative[i] = total
	}
	for i := range keys {
		k.shares[i] /= total
		k.cumulative[i] /= total
	}
	return k
}

// draw returns a key by popularity.
func (k *keySpace) draw(r *rand.Rand) int {
	return min(sort.SearchFloat64s(k.cumulative, r.Float64()), len(k.names)-1)
}

// hotKeys returns the extra hot key of each period; it is one that is cold otherwise.
func (k *keySpace) hotKeys(r *rand.Rand, periods int) []int {
	out := make([]int, periods)
	for i := range out {
		out[i] = 100 + r.IntN(len(k.names)-100)
	}
	return out
}

// poisson returns a draw of a Poisson distribution with a small mean.
func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// change is a server that goes or comes back at a time.
type change struct {
	after  time.Duration
	server int
	usable bool
	lost   bool // gone without a drain
}

// serverChanges is the timetable of every run: a loss, a drain, and a failure domain's two servers lost at once.
func serverChanges() []change {
	return []change{
		{after: 6*time.Minute + 20*time.Second, server: 3, lost: true},
		{after: 10*time.Minute + 20*time.Second, server: 3, usable: true},
		{after: 14*time.Minute + 20*time.Second, server: 8},
		{after: 18*time.Minute + 20*time.Second, server: 8, usable: true},
		{after: 22*time.Minute + 20*time.Second, server: 1, lost: true},
		{after: 22*time.Minute + 20*time.Second, server: 5, lost: true},
		{after: 26*time.Minute + 20*time.Second, server: 1, usable: true},
		{after: 26*time.Minute + 20*time.Second, server: 5, usable: true},
	}
}
