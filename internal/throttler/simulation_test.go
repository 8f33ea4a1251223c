package throttler_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/throttler"
)

// This file simulates instances that dispatch requests to servers with limits, over a virtual clock. Instances are killed,
// suspended and cut off from the others, leaders fail, and limits change. The instances run the deciders of the traffic:
// resolver, queuer and throttler. File cold_simulation_test.go adds servers that are cold.

const (
	simStep     = 10 * time.Millisecond
	simDuration = 54 * time.Second
	// simCalmAfter is when the last fault begins and all limits are withdrawn.
	simCalmAfter = 38 * time.Second
	simServers   = 5
	// simDemand is the number of requests a second for each server.
	simDemand      = 12.0
	simTimeout     = 8 * time.Second
	simServiceTime = 100 * time.Millisecond
	// simExcused is how long after a kill, a suspension or a cut the requests of an instance do not count.
	simExcused = 3 * time.Second
	// simToldDelay is how long an instance must have known a limit for its requests to count.
	simToldDelay = 500 * time.Millisecond
	// simChangeDelay is how long a lower limit may take to be heard: an answer, and the delay after which it counts.
	simChangeDelay = time.Second + simServiceTime + simToldDelay
	simWindow      = 4 * time.Second
	// simCalmCheck is the time at the end in which all requests must be sent.
	simCalmCheck = 5 * time.Second
)

// simSeeds is the number of seeds of TestLimitHoldsInSimulation with 10 instances; with 195 it is a tenth, at least 1.
var simSeeds = flag.Uint64("sim.seeds", 4, "number of simulated series of faults")

var simStart = time.Unix(1_000_000, 0)

// simFlaws disable single mechanisms, to show that the checks fail without them.
type simFlaws struct {
	noHandOver bool // waiting requests stay at an instance that is no longer the dispatcher
	unspaced   bool // limits are not kept
	longWaits  bool // requests wait as long at substitutes as at dispatchers
}

// simServer is a backend server.
type simServer struct {
	cataloger.Server
	limits   []simLimit // in the order of their start
	offered  int        // requests of clients in the last simCalmCheck
	arrivals []simArrival
	cold     simColdServer
}

// simLimit is the limit that a server names from a time on; a negative rate means none.
type simLimit struct {
	from time.Time
	rate float64
}

// simArrival is a request that reaches a server.
type simArrival struct {
	at      time.Time
	counted bool // from an instance that knew the limit and was not disturbed
}

func (s *simServer) rateAt(now time.Time) float64 {
	rate := -1.0
	for _, l := range s.limits {
		if !now.Before(l.from) {
			rate = l.rate
		}
	}
	return rate
}

// simInstance is an entry instance.
type simInstance struct {
	member       resolver.Member
	view         *resolver.View
	viewVersion  int
	limits       throttler.Limits
	queues       map[string]*simQueue
	told         map[string]time.Time // when each server first named a limit to it
	unreachable  map[string]time.Time
	nextReport   time.Time
	lastContact  time.Time
	share        float64 // of the limits, as passed to the queues
	excusedUntil time.Time
	downUntil    time.Time
	frozenUntil  time.Time
	cutUntil     time.Time // from the other instances, not from servers and clients
	cold         simColdInstance
}

type simQueue struct {
	queue   queuer.Queue
	waiting map[queuer.Ticket]simRequest
}

type simRequest struct {
	server   int
	deadline time.Time
}

// simEvent happens at a time.
type simEvent struct {
	at  time.Time
	run func(now time.Time)
}

// simulation is one run.
type simulation struct {
	random    *rand.Rand
	flaws     simFlaws
	instances []*simInstance
	servers   []*simServer
	// members are those that the leader knows, with the version of the list.
	members     map[string]resolver.Member
	version     int
	reports     map[string]time.Time // last report of each member
	statements  map[string]throttler.Statement
	leaderless  time.Time // until then no instance leads
	events      []simEvent
	cold        *simCold // nil if no server turns cold
	refusedLate int      // requests that were refused or given up only at their deadline
}

func newSimulation(seed uint64, instances int, flaws simFlaws) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, uint64(instances))), flaws: flaws, members: map[string]resolver.Member{},
		reports: map[string]time.Time{}, statements: map[string]throttler.Statement{},
	}
	for i := range simServers {
		server := &simServer{Server: cataloger.Server{
			ID: fmt.Sprintf("s%d", i), Service: "desk", Domain: fmt.Sprintf("d%d", i%3), Slots: 4,
		}}
		for at := 5 * time.Second; at < simCalmAfter; at += time.Duration(3+s.random.IntN(12)) * time.Second {
			rate := 1 + math.Round(s.random.Float64()*70)/10
			if s.random.IntN(5) == 0 {
				rate = -1 // withdrawn
			}
			server.limits = append(server.limits, simLimit{from: simStart.Add(at), rate: rate})
		}
		server.limits = append(server.limits, simLimit{from: simStart.Add(simCalmAfter), rate: -1})
		s.servers = append(s.servers, server)
	}
	for i := range instances {
		m := resolver.Member{Instance: fmt.Sprintf("e%03d", i), Domain: fmt.Sprintf("d%d", i%3), Capacity: 320}
		s.instances = append(s.instances, s.newInstance(m))
		s.members[m.Instance], s.reports[m.Instance] = m, simStart
	}
	for _, e := range s.instances {
		e.nextReport, e.lastContact = simStart.Add(s.between(0, time.Second)), simStart
		s.updateView(simStart, e)
	}
	return s
}

func (s *simulation) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)+1))
}

func (s *simulation) newInstance(m resolver.Member) *simInstance {
	return &simInstance{
		member: m, share: 1, queues: map[string]*simQueue{}, told: map[string]time.Time{}, unreachable: map[string]time.Time{},
	}
}

func (s *simulation) at(t time.Time, run func(now time.Time)) {
	s.events = append(s.events, simEvent{at: t, run: run})
}

// run runs the simulation.
func (s *simulation) run() {
	for now := simStart; now.Before(simStart.Add(simDuration)); now = now.Add(simStep) {
		due := s.events
		s.events = nil
		for _, e := range due {
			if now.Before(e.at) {
				s.events = append(s.events, e)
				continue
			}
			e.run(now)
		}
		if now.Before(simStart.Add(simCalmAfter)) && (s.cold == nil || !s.cold.faultless) {
			s.drawFault(now)
		}
		if s.cold != nil {
			s.stepCold(now)
		}
		s.lead(now)
		for i := range s.servers {
			if s.random.Float64() < s.demand()*simStep.Seconds() {
				e := s.instances[s.random.IntN(len(s.instances))]
				if e.works(now) {
					if !now.Before(simStart.Add(simDuration - simCalmCheck)) {
						s.servers[i].offered++
					}
					s.route(now, e, simRequest{server: i, deadline: now.Add(simTimeout)}, 3)
				}
			}
		}
		for _, e := range s.instances {
			if e.works(now) {
				s.updateShare(now, e)
				s.advance(now, e)
			}
		}
	}
}

// excuse prolongs the time in which the requests of the instance do not count.
func (e *simInstance) excuse(until time.Time) {
	if until.After(e.excusedUntil) {
		e.excusedUntil = until
	}
}

func (e *simInstance) works(now time.Time) bool {
	return !now.Before(e.downUntil) && !now.Before(e.frozenUntil)
}

// drawFault starts a fault about every second.
func (s *simulation) drawFault(now time.Time) {
	if s.random.Float64() >= simStep.Seconds() {
		return
	}
	e := s.instances[s.random.IntN(len(s.instances))]
	if s.random.IntN(2) == 0 { // a dispatcher of some server
		server := s.servers[s.random.IntN(simServers)]
		for _, other := range s.instances {
			if other.view != nil && dispatcherOf(other.view, server).Instance == other.member.Instance {
				e = other
			}
		}
	}
	length := s.between(200*time.Millisecond, 9*time.Second)
	switch s.random.IntN(4) {
	case 0: // killed and started again
		index := s.indexOf(e)
		restarted := s.newInstance(e.member)
		restarted.member.Incarnation++
		restarted.downUntil = now.Add(length)
		restarted.nextReport = restarted.downUntil.Add(s.between(10*time.Millisecond, 300*time.Millisecond))
		restarted.excusedUntil = restarted.downUntil.Add(simExcused)
		s.instances[index] = restarted
	case 1: // suspended
		e.frozenUntil = now.Add(length)
		e.excuse(e.frozenUntil.Add(simExcused))
	case 2: // cut off from the other instances
		e.cutUntil = now.Add(length)
		e.excuse(e.cutUntil.Add(simExcused))
	case 3: // the leader fails
		s.leaderless = now.Add(s.between(time.Second, 8*time.Second))
		at := s.leaderless
		s.at(at, func(time.Time) { clear(s.statements) }) // a new leader hears them with the first reports
	}
}

func (s *simulation) demand() float64 {
	if s.cold != nil {
		return simColdDemand
	}
	return simDemand
}

func (s *simulation) indexOf(e *simInstance) int {
	for i, other := range s.instances {
		if other == e {
			return i
		}
	}
	return -1
}

// lead handles the reports that are due, and drops silent members.
func (s *simulation) lead(now time.Time) {
	for _, e := range s.instances {
		if now.Before(e.nextReport) || !e.works(now) {
			continue
		}
		e.nextReport = now.Add(s.between(400*time.Millisecond, time.Second))
		if now.Before(s.leaderless) || now.Before(e.cutUntil) {
			continue
		}
		name := e.member.Instance
		s.reports[name], e.lastContact = now, now
		if s.members[name] != e.member {
			s.members[name] = e.member
			s.version++
		}
		for _, server := range e.limits.All() {
			statement, _ := e.limits.Statement(server)
			if known, ok := s.statements[server]; !ok || statement.At.After(known.At) {
				s.statements[server] = statement
			}
		}
		for _, statement := range s.statements {
			if e.limits.Learn(statement) {
				s.limitChanged(now, e, statement.Server)
			}
		}
		if e.viewVersion != s.version || e.view == nil {
			s.updateView(now, e)
		}
	}
	if now.Before(s.leaderless) {
		for name := range s.reports {
			s.reports[name] = now // a new leader takes over all members
		}
		return
	}
	for name := range s.members {
		if now.Sub(s.reports[name]) > 4*time.Second {
			delete(s.members, name)
			s.version++
		}
	}
}

// updateView gives an instance the members that the leader knows.
func (s *simulation) updateView(now time.Time, e *simInstance) {
	var members []resolver.Member
	for _, other := range s.instances {
		if m, ok := s.members[other.member.Instance]; ok && m.Instance != e.member.Instance {
			members = append(members, m)
		}
	}
	var servers []cataloger.Server
	for _, server := range s.servers {
		servers = append(servers, server.Server)
	}
	before := e.view
	e.view, e.viewVersion = resolver.New(e.member, nil, servers, nil, members), s.version
	for _, server := range s.servers {
		q := e.queues[server.ID]
		if q == nil || before == nil || s.flaws.noHandOver {
			continue
		}
		_, limited := e.limits.Get(server.ID, 0)
		if (limited || s.isColdAt(now, e, server)) && dispatcherOf(before, server).Instance == e.member.Instance &&
			dispatcherOf(e.view, server).Instance != e.member.Instance {
			for ticket, r := range q.waiting {
				q.queue.Cancel(ticket)
				delete(q.waiting, ticket)
				s.at(now.Add(100*time.Millisecond), func(now time.Time) { s.route(now, e, r, 2) })
			}
		}
	}
}

func dispatcherOf(v *resolver.View, server *simServer) resolver.Member {
	return v.Dispatcher(poolOf(server), func(string) bool { return false })
}

func poolOf(server *simServer) resolver.ServerPool {
	return resolver.ServerPool{Service: server.Service, Server: server.ID, Domain: server.Domain}
}

// route passes a request to the dispatcher of its server, by the view of the instance that has it.
func (s *simulation) route(now time.Time, e *simInstance, r simRequest, tries int) {
	if e.view == nil || tries == 0 || !now.Before(r.deadline) {
		return
	}
	dispatcher := e.view.Dispatcher(poolOf(s.servers[r.server]), func(name string) bool { return now.Before(e.unreachable[name]) })
	if dispatcher.Instance == e.member.Instance {
		s.offer(now, e, r)
		return
	}
	var d *simInstance
	for _, other := range s.instances {
		if other.member.Instance == dispatcher.Instance {
			d = other
		}
	}
	delay := time.Duration(0)
	switch {
	case now.Before(d.downUntil): // its connections are refused
		delay = simStep
	case now.Before(d.frozenUntil): // nothing is acknowledged
		delay = 1200 * time.Millisecond
	case now.Before(d.cutUntil) || now.Before(e.cutUntil):
		delay = 300 * time.Millisecond
	default:
		s.offer(now, d, r)
		return
	}
	s.at(now.Add(delay), func(now time.Time) {
		e.unreachable[dispatcher.Instance] = now.Add(time.Second)
		s.route(now, e, r, tries-1)
	})
}

// updateShare passes the part of the limits that an instance may use to its queues.
func (s *simulation) updateShare(now time.Time, e *simInstance) {
	share := throttler.Share(now.Sub(e.lastContact))
	if share == e.share {
		return
	}
	e.share = share
	for _, server := range s.servers {
		s.limitChanged(now, e, server.ID)
	}
}

// offer queues a request at its dispatcher.
func (s *simulation) offer(now time.Time, e *simInstance, r simRequest) {
	if e.view == nil {
		return // it refuses requests until it knows the members
	}
	q := s.queueOf(now, e, r.server)
	request := queuer.Request{
		Class: "c", Objective: r.deadline, Deadline: r.deadline,
		Substitute: dispatcherOf(e.view, s.servers[r.server]).Instance != e.member.Instance && !s.flaws.longWaits,
	}
	switch d := q.queue.Offer(now, request).(type) {
	case queuer.Start:
		s.send(now, e, r)
	case queuer.Wait:
		q.waiting[d.Ticket] = r
	case queuer.Refuse:
	}
}

func (s *simulation) queueOf(now time.Time, e *simInstance, server int) *simQueue {
	id := s.servers[server].ID
	q := e.queues[id]
	if q == nil {
		q = &simQueue{waiting: map[queuer.Ticket]simRequest{}}
		e.queues[id] = q
		s.setServers(now, e, server)
	}
	return q
}

// setServers passes the limit of a server to its queue at an instance.
func (s *simulation) setServers(now time.Time, e *simInstance, server int) {
	limit, limited := e.limits.Get(s.servers[server].ID, 0)
	if s.flaws.unspaced {
		limited = false
	}
	id := s.servers[server].ID
	until, coldRate := s.coldness(now, e, s.servers[server])
	q := e.queues[id]
	s.apply(now, e, q, q.queue.SetServers(now, []queuer.Server{{
		ID: id, Slots: s.servers[server].Slots, Limited: limited, Rate: e.share * limit.Rate, ColdUntil: until, ColdRate: coldRate,
		Incarnation: e.knownIncarnation(s.servers[server]),
	}}))
}

func (s *simulation) limitChanged(now time.Time, e *simInstance, server string) {
	for i := range s.servers {
		if q := e.queues[server]; q != nil && s.servers[i].ID == server {
			limit, limited := e.limits.Get(server, 0)
			s.apply(now, e, q, q.queue.SetLimit(now, server, limited && !s.flaws.unspaced, e.share*limit.Rate))
		}
	}
}

// advance starts and refuses waiting requests, every 50 ms.
func (s *simulation) advance(now time.Time, e *simInstance) {
	if now.Sub(simStart)%(50*time.Millisecond) != 0 {
		return
	}
	for i := range s.servers {
		if q := e.queues[s.servers[i].ID]; q != nil && len(q.waiting) > 0 {
			s.apply(now, e, q, q.queue.Advance(now))
		}
	}
}

func (s *simulation) apply(now time.Time, e *simInstance, q *simQueue, change queuer.Change) {
	for _, started := range change.Started {
		r := q.waiting[started.Ticket]
		delete(q.waiting, started.Ticket)
		s.send(now, e, r)
	}
	for _, refused := range change.Refused {
		r := q.waiting[refused.Ticket]
		delete(q.waiting, refused.Ticket)
		if !now.Before(e.excusedUntil) && now.Add(simStep).After(r.deadline) {
			s.refusedLate++
		}
	}
}

// send sends a request to its server, which answers after its service time.
func (s *simulation) send(now time.Time, e *simInstance, r simRequest) {
	server := s.servers[r.server]
	if s.cold != nil {
		s.sendCold(now, e, r)
		return
	}
	told, knows := e.told[server.ID]
	server.arrivals = append(server.arrivals, simArrival{
		at:      now,
		counted: knows && now.Sub(told) >= simToldDelay && !now.Before(e.excusedUntil) && !now.Before(e.cutUntil),
	})
	s.at(now.Add(simServiceTime), func(now time.Time) { s.answer(now, now.Add(-simServiceTime), e, r) })
}

// answer passes the answer to a request to the instance that sent it, if that is still there and not suspended.
func (s *simulation) answer(now, sent time.Time, e *simInstance, r simRequest) {
	if s.indexOf(e) < 0 {
		return
	}
	if now.Before(e.frozenUntil) {
		s.at(e.frozenUntil, func(now time.Time) { s.answer(now, sent, e, r) })
		return
	}
	outcome, took := queuer.Answered, now.Sub(sent)
	if !now.Before(r.deadline) { // the forwarder has given up by then
		outcome, took = queuer.TimedOut, r.deadline.Sub(sent)
	}
	server := s.servers[r.server]
	rate := server.rateAt(now)
	changed := false
	if rate >= 0 {
		changed = e.limits.Named(now, server.ID, 0, rate)
		if _, ok := e.told[server.ID]; !ok {
			e.told[server.ID] = now
		}
	} else if changed = e.limits.NotNamed(now, sent, server.ID, 0); changed {
		delete(e.told, server.ID)
	}
	q := e.queues[server.ID]
	s.apply(now, e, q, q.queue.Done(now, server.ID, "c", outcome, took))
	if changed {
		s.limitChanged(now, e, server.ID)
	}
}

// excess returns by how many requests a server got more within any window than one and a half times its limit and five, and
// when.
func (s *simServer) excess() (most float64, at time.Time) {
	// allowed[i] is the integral of the limit until step i; in a time without a limit everything is allowed.
	steps := int(simDuration / simStep)
	allowed, counts := make([]float64, steps+1), make([]float64, steps+1)
	for i := range steps {
		now := simStart.Add(time.Duration(i) * simStep)
		rate := 0.0
		for back := now.Add(-simChangeDelay); !back.After(now); back = back.Add(simStep) {
			if r := s.rateAt(back); r < 0 {
				rate = math.Inf(1)
			} else {
				rate = max(rate, r)
			}
		}
		if named := s.namedSince(now); named < 3*time.Second {
			rate = math.Inf(1)
		}
		allowed[i+1] = allowed[i] + min(rate, 1e6)*simStep.Seconds()
	}
	for _, a := range s.arrivals {
		if a.counted {
			counts[int(a.at.Sub(simStart)/simStep)+1]++
		}
	}
	for i := range steps {
		counts[i+1] += counts[i]
	}
	window := int(simWindow / simStep)
	for i := window; i <= steps; i++ {
		over := counts[i] - counts[i-window] - 1.5*(allowed[i]-allowed[i-window]) - 5
		if over > most {
			most, at = over, simStart.Add(time.Duration(i)*simStep)
		}
	}
	return most, at
}

// namedSince returns for how long the server has named a limit without a break.
func (s *simServer) namedSince(now time.Time) time.Duration {
	var since time.Time
	for _, l := range s.limits {
		if now.Before(l.from) {
			break
		}
		switch {
		case l.rate < 0:
			since = time.Time{}
		case since.IsZero():
			since = l.from
		}
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// TestLimitHoldsInSimulation guards against servers that get more than their limits, summed over all instances, in any
// sequence of kills, suspensions, cuts, losses of the leader and changes of the limits, and against servers that get too little.
func TestLimitHoldsInSimulation(t *testing.T) {
	for name, test := range map[string]struct {
		instances int
		seeds     uint64
	}{
		"10 instances":  {instances: 10, seeds: *simSeeds},
		"195 instances": {instances: 195, seeds: max(1, *simSeeds/10)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range test.seeds {
				s := newSimulation(seed, test.instances, simFlaws{})
				s.run()
				for _, server := range s.servers {
					if over, at := server.excess(); over > 0 {
						t.Errorf("seed %d: %s got %.1f requests more than tolerated within %v before %v", seed, server.ID, over, simWindow, at.Sub(simStart))
					}
					late := 0 // with those that wait at the end
					for _, e := range s.instances {
						if q := e.queues[server.ID]; q != nil {
							late += len(q.waiting)
						}
					}
					for _, a := range server.arrivals {
						if !a.at.Before(simStart.Add(simDuration - simCalmCheck)) {
							late++
						}
					}
					if late < server.offered {
						t.Errorf("seed %d: %s got %d of %d requests long after its limit was withdrawn", seed, server.ID, late, server.offered)
					}
				}
				if s.refusedLate > 0 {
					t.Errorf("seed %d: %d requests were refused at their deadline", seed, s.refusedLate)
				}
			}
		})
	}
}

// TestLimitSimulationFindsFlaws shows that the checks of the simulation fail without each mechanism.
func TestLimitSimulationFindsFlaws(t *testing.T) {
	for name, test := range map[string]struct {
		flaws     simFlaws
		firstSeed uint64
	}{
		"limits are not kept": {flaws: simFlaws{unspaced: true}},
		"no hand-over":        {flaws: simFlaws{noHandOver: true}, firstSeed: 100},
		"long waits":          {flaws: simFlaws{longWaits: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			found := false
			for seed := test.firstSeed; seed < test.firstSeed+60 && !found; seed++ {
				s := newSimulation(seed, 10, test.flaws)
				s.run()
				for _, server := range s.servers {
					over, _ := server.excess()
					found = found || over > 0
				}
			}
			is.True(found)
		})
	}
}
