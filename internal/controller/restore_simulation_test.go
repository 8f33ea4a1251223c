package controller

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// This file simulates instances, backend servers and a store that comes back from older copies of itself, over a virtual
// clock. The instances run the deciders of the control plane: elector, leaderTerm and granter.

const (
	simStep        = 50 * time.Millisecond
	simService     = "desk"
	simInstances   = 3
	simServers     = 4
	simCheckedKeys = 16
	// simMoveInterval is the time between two moves, and simMoveDuration how long there are any; then all keys must be served
	// again within simDuration.
	simMoveInterval = 400 * time.Millisecond
	simMoveDuration = 40 * time.Second
	simDuration     = 75 * time.Second
	// simSlowClockPercent is by how many percent the servers' clocks run slow, the most that the platform's rules allow.
	simSlowClockPercent = 2
)

var simStart = time.Unix(1_000_000, 0)

// simCheckedKey returns the i-th of the keys that are checked, evenly spaced.
func simCheckedKey(i int) uint16 { return uint16(i * (partitioner.MaxKey + 1) / simCheckedKeys) }

// simFlaws disable single mechanisms, to show that the checks fail without them.
type simFlaws struct {
	ignoresEras          bool // instances do not see the store's era
	trustsOldPlans       bool // a new leader treats a plan that may be older than the grants as certain
	alwaysContinues      bool // a leader goes on in a new era although it may have been replaced
	countsForeignAppends bool // an append that was acknowledged in another era than expected counts
}

// simRecord is a record of the topic with the leaders' records and plans.
type simRecord struct {
	at       time.Time
	leader   *elector.Leader
	term     uint64 // of the plan
	sequence uint64
	plan     []granter.Assignment
}

// simStore is the store.
type simStore struct {
	era     uint64
	records []simRecord
}

// restore brings the store back from a copy as old as age.
func (s *simStore) restore(now time.Time, age time.Duration) {
	s.era++
	for i, r := range s.records {
		if r.at.After(now.Add(-age)) {
			s.records = s.records[:i:i]
			return
		}
	}
}

// newest returns the newest leader's record and the newest plan.
func (s *simStore) newest() (leader elector.Leader, plan simRecord) {
	for _, r := range s.records {
		if r.leader != nil {
			leader = *r.leader
		} else {
			plan = r
		}
	}
	return leader, plan
}

// simServer is a backend server.
type simServer struct {
	id     string
	fences [simCheckedKeys]uint64
	leases []simLease
}

type simLease struct {
	keys   partitioner.Range
	fence  uint64
	expiry time.Time
}

func (s *simServer) owns(now time.Time, key uint16) bool {
	for _, l := range s.leases {
		if l.keys.Contains(key) && now.Before(l.expiry) {
			return true
		}
	}
	return false
}

// grant applies a grant that arrived at arrived. It reports false if a higher fence was seen.
func (s *simServer) grant(arrived time.Time, g granter.Grant) bool {
	for i := range simCheckedKeys {
		if g.Range.Contains(simCheckedKey(i)) && s.fences[i] > g.Fence {
			return false
		}
	}
	for i := range simCheckedKeys {
		if g.Range.Contains(simCheckedKey(i)) {
			s.fences[i] = g.Fence
		}
	}
	s.release(g.Range)
	expiry := arrived.Add(g.LeaseDuration + g.LeaseDuration*simSlowClockPercent/100)
	s.leases = append(s.leases, simLease{keys: g.Range, fence: g.Fence, expiry: expiry})
	return true
}

func (s *simServer) release(r partitioner.Range) {
	var kept []simLease
	for _, l := range s.leases {
		if !l.keys.Overlaps(r) {
			kept = append(kept, l)
			continue
		}
		if l.keys.First < r.First {
			left := l
			left.keys.Last = r.First - 1
			kept = append(kept, left)
		}
		if l.keys.Last > r.Last {
			right := l
			right.keys.First = r.Last + 1
			kept = append(kept, right)
		}
	}
	s.leases = kept
}

// simInstance is an entry instance. The cut times say until when it can't reach the store, other instances, or servers.
type simInstance struct {
	name           string
	incarnation    uint64
	elector        *elector.Elector
	term           *leaderTerm
	termNumber     uint64
	plan           simRecord // newest that it has read
	plans          map[uint64][]granter.Assignment
	lastReport     time.Time
	predecessor    elector.Identity
	downUntil      time.Time
	suspendedUntil time.Time
	suspended      bool
	cutFromStore   time.Time
	cutFromPeers   time.Time
	cutFromServers time.Time
	appendsLate    time.Time // until then its appends are executed 1.5 s late and not answered
}

// restoreSim is the simulation.
type restoreSim struct {
	random    *rand.Rand
	flaws     simFlaws
	now       time.Time
	store     simStore
	storeDown time.Time
	instances []*simInstance
	servers   []*simServer
	events    []simEvent
	lastMove  time.Time
	moveUntil time.Time // no moves start later
	violation string
	fences    [simCheckedKeys]map[string]uint64
}

type simEvent struct {
	at  time.Time
	run func()
}

func newRestoreSim(seed int64, flaws simFlaws) *restoreSim {
	s := &restoreSim{random: rand.New(rand.NewSource(seed)), flaws: flaws, now: simStart, store: simStore{era: 3},
		moveUntil: simStart.Add(simMoveDuration)}
	for i := range simServers {
		s.servers = append(s.servers, &simServer{id: fmt.Sprint("s", i)})
	}
	for i := range simInstances {
		n := &simInstance{name: fmt.Sprint("entry_", i)}
		s.instances = append(s.instances, n)
		s.startInstance(n, true)
	}
	for i := range s.fences {
		s.fences[i] = map[string]uint64{}
	}
	return s
}

func (s *restoreSim) after(d time.Duration, run func()) {
	s.events = append(s.events, simEvent{at: s.now.Add(d), run: run})
}

// startInstance starts a new incarnation of an instance.
func (s *restoreSim) startInstance(n *simInstance, first bool) {
	n.incarnation++
	self := elector.Identity{Instance: n.name, Incarnation: n.incarnation, Address: n.name}
	n.elector = elector.New(ElectionSettings, s.now, self, s.random.Float64(), first)
	n.term, n.plan, n.plans = nil, simRecord{}, nil
}

// registrations returns the servers, all ready.
func (s *restoreSim) registrations() []cataloger.Server {
	var list []cataloger.Server
	for _, server := range s.servers {
		list = append(list, cataloger.Server{ID: server.id, Service: simService, Slots: 2, Incarnation: 1})
	}
	return list
}

// era returns the era that an instance sees.
func (s *restoreSim) era() uint64 {
	if s.flaws.ignoresEras {
		return 0
	}
	return s.store.era
}

// run simulates until the given time after the start.
func (s *restoreSim) run(until time.Duration) {
	for end := simStart.Add(until); s.now.Before(end) && s.violation == ""; {
		s.now = s.now.Add(simStep)
		due := s.events
		s.events = nil
		for _, e := range due {
			if s.now.Before(e.at) {
				s.events = append(s.events, e)
				continue
			}
			e.run()
		}
		for _, n := range s.instances {
			s.stepInstance(n)
		}
		s.check()
	}
}

// stepInstance runs everything that is due in an instance.
func (s *restoreSim) stepInstance(n *simInstance) {
	switch {
	case s.now.Before(n.downUntil):
		return
	case s.now.Before(n.suspendedUntil):
		n.suspended = true
		return
	case n.suspended:
		n.suspended = false
		n.elector.InvalidateLease(s.now)
	}
	if call := n.elector.Tick(s.now); call != nil {
		s.callStore(n, call)
	}
	s.updateTerm(n)
	if n.term != nil {
		s.lead(n)
	}
	s.report(n)
}

// callStore sends a call to the store, which executes it after a step and answers after another one.
func (s *restoreSim) callStore(n *simInstance, call elector.Call) {
	sent, incarnation := s.now, n.incarnation
	answer := func(run func()) {
		s.after(simStep, func() {
			if n.incarnation == incarnation && !s.now.Before(n.downUntil) {
				run()
			}
		})
	}
	unanswered := func() { n.elector.CallFailed(s.now, call, 0, false, false) }
	if s.now.Before(n.cutFromStore) || s.now.Before(s.storeDown) {
		s.after(time.Second, func() { answer(unanswered) })
		return
	}
	if _, read := call.(elector.ReadLeader); !read && s.now.Before(n.appendsLate) {
		plans := n.plans
		s.after(1500*time.Millisecond, func() { s.execute(n.name, call, plans) })
		s.after(time.Second, func() { answer(unanswered) })
		return
	}
	plans := n.plans
	s.after(simStep, func() {
		if read, ok := call.(elector.ReadLeader); ok {
			era, next := s.era(), int64(len(s.store.records))
			leader, plan := s.store.newest()
			answer(func() { s.completeRead(n, read, era, next, leader, plan) })
			return
		}
		offset, ok := s.execute(n.name, call, plans)
		era := s.era()
		answer(func() {
			switch {
			case !ok:
				n.elector.CallFailed(s.now, call, era, true, true)
			case s.flaws.countsForeignAppends:
				n.elector.AppendAcknowledged(s.now, sent, call, n.elector.Era(), offset)
			default:
				n.elector.AppendAcknowledged(s.now, sent, call, era, offset)
			}
		})
	})
}

// execute executes an append at the store. ok is false if the topic does not end where the append demands.
func (s *restoreSim) execute(_ string, call elector.Call, plans map[uint64][]granter.Assignment) (offset int64, ok bool) {
	record := simRecord{at: s.now}
	var at int64
	switch c := call.(type) {
	case elector.AppendLeader:
		record.leader, at = &c.Leader, c.Offset
	case elector.AppendPlan:
		record.term, record.sequence, record.plan, at = 0, c.Sequence, plans[c.Sequence], c.Offset
		leader, _ := s.store.newest()
		record.term = leader.Term
	case elector.ReadLeader:
	}
	if at != int64(len(s.store.records)) {
		return 0, false
	}
	s.store.records = append(s.store.records, record)
	return at, true
}

// completeRead passes the store's answer to the elector, as Controller.handleLeaderRecords does.
func (s *restoreSim) completeRead(
	n *simInstance, _ elector.ReadLeader, era uint64, next int64, leader elector.Leader, plan simRecord,
) {
	if plan.plan != nil && plan.term >= n.plan.term {
		n.plan = plan
	}
	sequence := uint64(0)
	if plan.term == leader.Term {
		sequence = plan.sequence
	}
	n.elector.CompleteRead(s.now, era, next, leader, sequence)
}

// updateTerm begins, continues or ends the term of an instance, as Controller.updateLeadership and applyEra do.
func (s *restoreSim) updateTerm(n *simInstance) {
	if n.term != nil && elector.EraOf(n.termNumber) != n.elector.Era() {
		n.term.granter.Freeze()
	}
	election, elected := n.elector.NewlyElected()
	if s.flaws.trustsOldPlans && !election.Continued || s.flaws.alwaysContinues && election.Continued {
		election.Certain = true
	}
	switch term := n.elector.Term(); {
	case elected && term != 0 && election.Continued && n.term != nil:
		n.plans = map[uint64][]granter.Assignment{}
		n.term.continueWith(GrantSettings, term, election)
		n.termNumber = term
	case elected && term != 0:
		plan := storedPlan{assignments: n.plan.plan, exists: n.plan.plan != nil}
		state := newLeaderTerm(s.now, GrantSettings, term, election, plan)
		n.term, n.termNumber, n.plans, n.predecessor = &state, term, map[uint64][]granter.Assignment{}, election.Predecessor
		n.term.granter.SetServers(s.now, []string{simService}, s.registrations())
	case term == 0:
		n.term = nil
	}
}

// lead stores the plan, sends the orders that are due, and moves a range from time to time.
func (s *restoreSim) lead(n *simInstance) {
	g := n.term.granter
	if !n.elector.Settled() && n.term.advance(s.now, n.elector.Term(), n.elector.StoredPlan()) {
		n.elector.Settle(s.now)
	}
	g.SetStoredPlans(n.elector.StoredPlan(), n.elector.MaybeStoredPlan())
	if plan, sequence, unstored := g.Plan(); unstored {
		n.plans[sequence] = plan
		n.elector.RequestPlan(sequence)
	}
	if !n.elector.Active(s.now) {
		return
	}
	for _, order := range g.Tick(s.now) {
		s.deliver(n, order)
	}
	if s.now.Sub(s.lastMove) > simMoveInterval && s.now.Before(s.moveUntil) && n.elector.CallTime(s.now) <= 2*simStep {
		s.lastMove = s.now
		s.moveRandomRange(g)
	}
}

// moveRandomRange starts to move a part of a range to a random server.
func (s *restoreSim) moveRandomRange(g *granter.Granter) {
	placements := g.Placements(s.now, simService)
	if len(placements) == 0 {
		return
	}
	p := placements[s.random.Intn(len(placements))]
	if !p.Movable {
		return
	}
	part := p.Range
	part.Last = part.First + uint16(s.random.Intn(min(part.Len(), partitioner.MaxKey/2)))
	g.StartMove(s.now, simService, part, s.servers[s.random.Intn(len(s.servers))].id)
}

// deliver delivers an order and its outcome at once.
func (s *restoreSim) deliver(n *simInstance, order granter.Order) {
	reachable := !s.now.Before(n.cutFromServers)
	switch o := order.(type) {
	case granter.Grant:
		server := s.server(o.Server)
		switch {
		case !reachable:
			n.term.granter.CompleteGrant(s.now, o, granter.NotSent)
		case server.grant(s.now, o):
			s.checkFence(server, o)
			n.term.granter.CompleteGrant(s.now, o, granter.Accepted)
		default:
			n.elector.InvalidateLease(s.now)
			n.term.granter.CompleteGrant(s.now, o, granter.Fenced)
		}
	case granter.Release:
		if !reachable {
			n.term.granter.CompleteRelease(s.now, o, granter.NotSent, "")
			return
		}
		s.server(o.Server).release(o.Range)
		n.term.granter.CompleteRelease(s.now, o, granter.Accepted, "handover")
	}
}

func (s *restoreSim) server(id string) *simServer {
	for _, server := range s.servers {
		if server.id == id {
			return server
		}
	}
	return nil
}

// report sends the report of an instance to the leader that it knows, which answers at once.
func (s *restoreSim) report(n *simInstance) {
	leader, ok := n.elector.Leader()
	if !ok || leader.Identity.Instance == n.name || s.now.Sub(n.lastReport) < minReportInterval {
		return
	}
	n.lastReport = s.now
	for _, other := range s.instances {
		if other.name != leader.Identity.Instance {
			continue
		}
		switch {
		case s.now.Before(other.downUntil):
			n.elector.ReportFailed(leader, true)
		case s.now.Before(n.cutFromPeers) || s.now.Before(other.cutFromPeers) || s.now.Before(other.suspendedUntil):
			n.elector.ReportFailed(leader, false)
		default:
			other.elector.ObserveEra(s.now, n.elector.Era())
			s.updateTerm(other)
			if other.term != nil {
				if n.elector.Era() >= other.elector.Era() {
					other.term.observeReport(s.now, GrantSettings, n.name, n.incarnation, n.elector.LastLed())
				}
				other.term.observeMember(n.name, n.incarnation)
			}
			n.elector.ReportAnswered(s.now, leader, other.term != nil, other.elector.StoreUnreachable(s.now))
			n.elector.ObserveEra(s.now, other.elector.Era())
			if known, ok := other.elector.Leader(); ok {
				n.elector.ObserveLeader(s.now, known)
			}
		}
	}
}

// checkFence checks that the fence of a grant is above those of all other servers for the same key.
func (s *restoreSim) checkFence(server *simServer, o granter.Grant) {
	for i := range simCheckedKeys {
		if !o.Range.Contains(simCheckedKey(i)) {
			continue
		}
		for other, fence := range s.fences[i] {
			if other != server.id && fence >= o.Fence {
				s.violation = fmt.Sprintf("%v: key %d has fence %x at %s, not above %x at %s", s.now.Sub(simStart),
					simCheckedKey(i), o.Fence, server.id, fence, other)
			}
		}
		s.fences[i][server.id] = max(s.fences[i][server.id], o.Fence)
	}
}

// check checks that no key has two owners.
func (s *restoreSim) check() {
	for i := range simCheckedKeys {
		var owners []string
		for _, server := range s.servers {
			if server.owns(s.now, simCheckedKey(i)) {
				owners = append(owners, server.id)
			}
		}
		if len(owners) > 1 {
			s.violation = fmt.Sprintf("%v: key %d has owners %v", s.now.Sub(simStart), simCheckedKey(i), owners)
		}
	}
}

// unserved returns how many of the checked keys have no owner.
func (s *restoreSim) unserved() int {
	count := 0
	for i := range simCheckedKeys {
		owned := false
		for _, server := range s.servers {
			owned = owned || server.owns(s.now, simCheckedKey(i))
		}
		if !owned {
			count++
		}
	}
	return count
}

// leader returns the instance that leads, or the first one.
func (s *restoreSim) leader() *simInstance {
	for _, n := range s.instances {
		if n.term != nil && n.elector.Active(s.now) {
			return n
		}
	}
	return s.instances[0]
}

// kill kills an instance, which starts again after d.
func (s *restoreSim) kill(n *simInstance, d time.Duration) {
	n.downUntil, n.term = s.now.Add(d), nil
	n.incarnation++ // answers to its calls are lost
	s.after(d, func() { s.startInstance(n, false) })
}
