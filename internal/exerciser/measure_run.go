package exerciser

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wasabibank/wasabibank/internal/assigner"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The timetable of a traffic run, and the delays between processes.
const (
	trafficKeys   = 10_000
	entryCount    = 10
	measureFrom   = 30 * time.Second
	faultFrom     = 45 * time.Second
	faultUntil    = 60 * time.Second
	logBackAt     = 75 * time.Second
	trafficLength = 90 * time.Second
	hop           = 500 * time.Microsecond
	balancerLag   = time.Second // until the platform's balancer leaves out a lost entry
	expireEvery   = 20 * time.Millisecond
	hotServerLoad = 0.5 // the hot key's load over the mean load of a server
	liarFactor    = 8
	faultyServer  = 3
	faultyEntry   = 4
)

// Cell is one combination of the traffic comparison.
type Cell struct {
	Deployment Deployment
	Policy     TrafficPolicy
	Load       float64
	Fault      Fault
	Seed       uint64
}

// trafficRun is one run of a cell.
type trafficRun struct {
	agenda
	cell     Cell
	keys     *keySpace
	hotKeys  []int
	random   *rand.Rand
	servers  []*backend
	index    map[identifier.ServerName]int
	balancer *balancer
	away     map[int]time.Time // partitions that are moving
	entries  []bool            // live
	listed   []bool            // as the platform's balancer sees them
	healthy  []bool            // as the health endpoints say
	fronts   []int             // entry that fronts each server, -1 for none
	gates    []*gate           // by gateID; nil while unused
	holders  []*slotHolder
	requests []*request
	open     map[*request]struct{}
	logDown  bool
	tally    tally
}

// RunTraffic runs one cell.
func RunTraffic(c Cell) TrafficResult {
	t := newTrafficRun(c)
	t.place(true)
	t.scheduleFault()
	t.every(time.Second, start.Add(trafficLength), func() { t.place(false) })
	t.every(expireEvery, start.Add(trafficLength+20*time.Second), t.expire)
	t.scheduleArrival()
	t.drain()
	return t.finish()
}

func newTrafficRun(c Cell) *trafficRun {
	keys := newKeySpace(trafficKeys, balancePartitions, balanceExponent)
	t := &trafficRun{
		agenda:   agenda{now: start},
		cell:     c,
		keys:     keys,
		hotKeys:  keys.hotKeys(rand.New(rand.NewPCG(c.Seed, 1)), int(trafficLength/hotKeyPeriod)+1),
		random:   rand.New(rand.NewPCG(c.Seed, 2)),
		index:    map[identifier.ServerName]int{},
		away:     map[int]time.Time{},
		gates:    make([]*gate, entryCount*c.Deployment.Servers),
		open:     map[*request]struct{}{},
		balancer: newBalancer(pinnedAssignment(), c.Deployment, keys),
	}
	for i, candidate := range t.balancer.servers {
		t.index[candidate.Name] = i
		t.servers = append(t.servers, newBackend(&t.agenda, candidate.Slots, c.Deployment.Connections))
		t.holders = append(t.holders, newSlotHolder(t, i, candidate.Slots))
		t.healthy = append(t.healthy, true)
		t.fronts = append(t.fronts, -1)
	}
	for range entryCount {
		t.entries = append(t.entries, true)
		t.listed = append(t.listed, true)
	}
	t.front()
	t.tally = newTally(c.Deployment)
	return t
}

// scheduleArrival lets the next request arrive, as a Poisson process.
func (t *trafficRun) scheduleArrival() {
	rate := t.cell.Load * t.cell.Deployment.capacity() / t.cell.Deployment.cost().Seconds()
	gap := time.Duration(t.random.ExpFloat64() / rate * float64(time.Second))
	if t.now.Add(gap).After(start.Add(trafficLength)) {
		return
	}
	t.after(gap, func() {
		t.arrive(t.draw())
		t.scheduleArrival()
	})
}

// draw makes a request.
func (t *trafficRun) draw() *request {
	key := t.keys.draw(t.random)
	if t.random.Float64() < hotServerLoad/float64(t.cell.Deployment.Servers) {
		key = t.hotKeys[int(t.now.Sub(start)/hotKeyPeriod)]
	}
	class, pick := 0, t.random.Float64()
	for i, c := range t.cell.Deployment.Classes {
		if pick < c.Share {
			class = i
			break
		}
		pick -= c.Share
	}
	c := t.cell.Deployment.Classes[class]
	entry := t.random.IntN(entryCount)
	for !t.listed[entry] {
		entry = (entry + 1) % entryCount
	}
	r := &request{
		id:       len(t.requests),
		class:    class,
		key:      key,
		entry:    entry,
		arrived:  t.now,
		deadline: t.now.Add(c.Deadline),
		cost:     time.Duration((0.5 + 0.5*t.random.ExpFloat64()) * float64(c.Cost)),
		measured: t.now.Sub(start) >= measureFrom,
	}
	t.requests = append(t.requests, r)
	return r
}

// arrive takes a request at its entry.
func (t *trafficRun) arrive(r *request) {
	if !t.entries[r.entry] {
		t.conclude(r, outcomeNotRun, true)
		return
	}
	t.open[r] = struct{}{}
	t.after(r.deadline.Sub(t.now), func() { t.timeOut(r) })
	t.route(r)
}

// route sends a request on its way to the server of its key.
func (t *trafficRun) route(r *request) {
	if r.done() {
		return
	}
	if naive, ok := t.cell.Policy.(Naive); ok {
		t.sendNaively(naive, r)
		return
	}
	p := t.balancer.partition(r.key)
	if until, moving := t.away[p]; moving && t.now.Before(until) {
		t.after(until.Sub(t.now), func() { t.route(r) })
		return
	}
	server := t.index[t.balancer.owners[p]]
	t.observe(r, server)
	switch t.cell.Policy.(type) {
	case OwnEstimate:
		t.offer(gateID{entry: r.entry, server: server}, r)
	case LeasedSlots:
		t.holders[server].ask(r)
	case Fronting:
		t.passOn(server, r)
	}
}

// observe counts the load of a request on the server that first gets it.
func (t *trafficRun) observe(r *request, server int) {
	r.server = server
	if r.observed {
		return
	}
	r.observed = true
	t.tally.loadOn(t.now, server, r.cost)
	t.balancer.observe(r.key, r.cost.Seconds(), t.now)
}

// passOn hands a request to the entry that fronts server.
func (t *trafficRun) passOn(server int, r *request) {
	front := t.fronts[server]
	if front < 0 || !t.entries[front] {
		t.conclude(r, outcomeNotRun, true)
		return
	}
	if front == r.entry {
		t.offer(gateID{entry: front, server: server}, r)
		return
	}
	r.passed = true
	t.after(hop, func() { t.offer(gateID{entry: front, server: server}, r) })
}

// place lets the assigner move partitions; changed says that servers came or went.
func (t *trafficRun) place(changed bool) {
	if t.logDown {
		return
	}
	before := append([]identifier.ServerName(nil), t.balancer.owners...)
	after := t.balancer.decide(t.now, changed)
	for p, owner := range after {
		if p < len(before) && before[p] != "" && owner != "" && owner != before[p] {
			t.balancer.moved[p] = t.now
			t.tally.move(t.now)
			if t.balancer.servers[t.index[before[p]]].Usable {
				t.away[p] = t.now.Add(plannedGap)
			}
		}
	}
	t.balancer.owners = after
}

// front lets the assigner name the fronting entries.
func (t *trafficRun) front() {
	in := assigner.FrontsInput{}
	for i, live := range t.entries {
		domain := identifier.DomainName(fmt.Sprintf("domain-%d", i%t.cell.Deployment.Domains))
		in.Instances = append(in.Instances, assigner.FrontInstance{ID: entryID(i), Domain: domain, Usable: live})
	}
	for i, c := range t.balancer.servers {
		s := assigner.FrontServer{Name: c.Name, Domain: c.Domain}
		if t.fronts[i] >= 0 {
			s.Current = entryID(t.fronts[i])
		}
		in.Servers = append(in.Servers, s)
	}
	for _, target := range assigner.Fronts(in) {
		for i := range t.entries {
			if entryID(i) == target.Instance {
				t.fronts[t.index[target.Server]] = i
			}
		}
	}
}

func entryID(i int) identifier.InstanceID {
	return identifier.InstanceID(fmt.Sprintf("entry-%d", i))
}

// takeoverTime returns the time from an entry's loss to its servers having another fronting entry.
func takeoverTime() time.Duration {
	timings := bundler.DefaultTimings()
	return timings.Detection + 4*timings.Heartbeat
}
