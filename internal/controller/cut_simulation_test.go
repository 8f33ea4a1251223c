package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/detector"
	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// This file simulates instances of which some lose their paths to all servers, over a virtual clock: elections, reports, leases of
// servers, dispatchers and detours, with the product's own deciders. Time passes in steps of cutSimStep; a connection without a path
// fails after cutSimConnectTimeout.

const (
	cutSimStep           = 20 * time.Millisecond
	cutSimConnectTimeout = 300 * time.Millisecond
	cutSimGrantTimeout   = 500 * time.Millisecond
	cutSimCutAt          = 5 * time.Second
	cutSimCutLength      = 12 * time.Second
	cutSimEnd            = 22 * time.Second
	// cutSimRecovery is how long after the death of a leader keys may be without a lease.
	cutSimRecovery = 5 * time.Second
	// cutSimMaxProbes bounds the probes of an instance in a second, on average.
	cutSimMaxProbes = 40
	// cutSimMaxDetours is how many dispatchers without a path a request may meet.
	cutSimMaxDetours = 4
)

// cutFlaws disable single mechanisms, to show that the checks fail without them.
type cutFlaws struct {
	leaderStays  bool // nobody takes over from a leader that has lost its paths
	noDetours    bool // a request ends at a dispatcher without a path
	noProbes     bool // servers are not probed
	noAnnouncing bool // instances do not tell others that they have lost a service
}

type cutInstance struct {
	member     resolver.Member
	detector   detector.Detector
	elector    *elector.Elector
	call       elector.Call
	callSent   time.Time
	view       *resolver.View
	version    int // of the members in view
	nextReport time.Time
	cut        bool
	dead       bool
	named      []string // servers that the leader does not reach
	namedSince time.Time
	offered    bool
	since      map[string]time.Time
	declined   map[resolver.ServerPool]map[string]time.Time
	failures   map[time.Time][]string // servers by the time at which connections to them fail
}

type cutServer struct {
	cataloger.Server
	leaseUntil time.Time // of the keyed service
	nextGrant  time.Time
	down       bool
}

// cutSimulation is the system: instances, servers and the store's log of leaders.
type cutSimulation struct {
	random          *rand.Rand
	flaws           cutFlaws
	now             time.Time
	start           time.Time
	instances       []*cutInstance
	servers         []*cutServer
	instancesByName map[string]*cutInstance
	serversByID     map[string]*cutServer
	members         []resolver.Member // as the leader knows them
	version         int               // of members
	offset          int64
	record          elector.Leader
	killedAt        time.Time
	window          time.Duration // after which instances that are cut off must serve

	terms, detours, probes int
	sent, failed           map[bool]int // first tries by whether the instance is cut off
}

const (
	cutSimKeyed   = "desk"
	cutSimUnkeyed = "vault"
)

func newCutSimulation(seed uint64, instances, servers, domains int, flaws cutFlaws) *cutSimulation {
	s := &cutSimulation{
		random: rand.New(rand.NewPCG(seed, uint64(instances))), flaws: flaws, start: time.Unix(1_000_000, 0),
		sent: map[bool]int{}, failed: map[bool]int{}, window: 3 * time.Second,
		instancesByName: map[string]*cutInstance{}, serversByID: map[string]*cutServer{},
	}
	if instances >= smallClusterSize {
		s.window = 4 * time.Second
	}
	s.now = s.start
	for i := range servers {
		service := cutSimKeyed
		if i%3 == 0 {
			service = cutSimUnkeyed
		}
		s.servers = append(s.servers, &cutServer{Server: cataloger.Server{
			ID: fmt.Sprintf("s%03d", i), Service: service, Domain: fmt.Sprintf("d%d", i%domains), Slots: 2, State: cataloger.Ready,
		}})
	}
	for _, server := range s.servers {
		s.serversByID[server.ID] = server
	}
	for i := range instances {
		name := fmt.Sprintf("e%03d", i)
		e := &cutInstance{
			member: resolver.Member{Instance: name, Incarnation: uint64(s.random.Int64()), Domain: fmt.Sprintf("d%d", i%domains), Capacity: 320},
			since:  map[string]time.Time{}, declined: map[resolver.ServerPool]map[string]time.Time{}, failures: map[time.Time][]string{},
		}
		identity := elector.Identity{Instance: name, Incarnation: e.member.Incarnation}
		e.elector = elector.New(ElectionSettings, s.now, identity, jitterPosition(e.member), true)
		var list []detector.Server
		for _, server := range s.servers {
			list = append(list, detector.Server{ID: server.ID, Service: server.Service})
		}
		e.detector.SetServers(list)
		e.nextReport = s.now.Add(time.Duration(s.random.Int64N(int64(s.reportInterval(instances)))))
		s.instances = append(s.instances, e)
		s.instancesByName[name] = e
		s.members = append(s.members, e.member)
	}
	return s
}

func (s *cutSimulation) reportInterval(instances int) time.Duration {
	return min(max(minReportInterval, minReportInterval*time.Duration(instances)/smallClusterSize), maxReportInterval)
}

func (s *cutSimulation) elapsed() time.Duration { return s.now.Sub(s.start) }

// reaches reports whether an instance has a path to a server.
func (s *cutSimulation) reaches(e *cutInstance, server *cutServer) bool {
	return !server.down && !(e.cut && s.elapsed() >= cutSimCutAt && s.elapsed() < cutSimCutAt+cutSimCutLength)
}

func (s *cutSimulation) cutInForce() bool {
	return s.elapsed() >= cutSimCutAt && s.elapsed() < cutSimCutAt+cutSimCutLength
}

// contact makes an instance connect to a server, and reports whether it reaches it.
func (s *cutSimulation) contact(e *cutInstance, server *cutServer) bool {
	if s.reaches(e, server) {
		e.detector.Reached(s.now, server.ID)
		return true
	}
	at := s.now.Add(cutSimConnectTimeout)
	e.failures[at] = append(e.failures[at], server.ID)
	return false
}

// stepInstance runs the control loop of an instance.
func (s *cutSimulation) stepInstance(e *cutInstance) {
	for _, id := range e.failures[s.now] {
		e.detector.ConnectFailed(s.now, id)
	}
	delete(e.failures, s.now)
	if !s.flaws.noProbes && s.elapsed()%(3*cutSimStep) == 0 {
		for _, id := range e.detector.Tick(s.now) {
			s.probes++
			s.contact(e, s.serversByID[id])
		}
	}
	s.updateLost(e)
	if len(e.named) > 0 && !e.offered && e.elector.Term() == 0 && e.detector.ReachesMost(s.now, e.namedSince, e.named) {
		e.offered, e.nextReport = true, s.now
	}
	s.callStore(e)
	if e.elector.Term() != 0 {
		s.lead(e)
	} else {
		s.report(e)
	}
}

// updateLost announces the services that an instance has lost.
func (s *cutSimulation) updateLost(e *cutInstance) {
	var list []resolver.LostService
	for _, lost := range e.detector.LostServices(s.now) {
		if _, known := e.since[lost.Service]; !known {
			e.since[lost.Service] = lost.Since
		}
		list = append(list, resolver.LostService{Service: lost.Service, Since: e.since[lost.Service]})
	}
	lost := resolver.NewLostServices(list)
	if lost == e.member.Lost {
		return
	}
	for service := range e.since {
		if !lost.Contains(service) {
			delete(e.since, service)
		}
	}
	e.member.Lost = lost
	e.elector.SetLastResort(lost.Contains(cutSimKeyed))
	e.view = nil
	e.nextReport = s.now
	if e.elector.Term() != 0 {
		s.learnMember(e.member)
	}
}

// callStore makes the due call of an instance's elector, which is answered in the next step.
func (s *cutSimulation) callStore(e *cutInstance) {
	switch call := e.call.(type) {
	case elector.ReadLeader:
		e.elector.CompleteRead(s.now, 0, s.offset, s.record, 0)
	case elector.AppendLeader:
		if call.Offset != s.offset {
			e.elector.CallFailed(s.now, call, 0, false, true)
			break
		}
		s.record = call.Leader
		e.elector.AppendAcknowledged(s.now, e.callSent, call, 0, s.offset)
		s.offset++
	}
	if _, elected := e.elector.NewlyElected(); elected {
		s.terms++
		s.members = nil
		for _, other := range s.instances {
			if !other.dead {
				s.members = append(s.members, other.member)
			}
		}
		s.version++
		for _, server := range s.servers {
			server.nextGrant = s.now
		}
		if len(s.instances) < smallClusterSize {
			s.publish()
		}
	}
	e.call, e.callSent = e.elector.Tick(s.now), s.now
}

// lead renews the leases of the keyed servers.
func (s *cutSimulation) lead(e *cutInstance) {
	if !e.elector.Active(s.now) {
		return
	}
	for _, server := range s.servers {
		if server.Service != cutSimKeyed || s.now.Before(server.nextGrant) {
			continue
		}
		server.nextGrant = s.now.Add(GrantSettings.RenewInterval)
		if s.reaches(e, server) {
			e.detector.Reached(s.now, server.ID)
			server.leaseUntil = s.now.Add(GrantSettings.LeaseDuration)
			continue
		}
		server.nextGrant = s.now.Add(cutSimGrantTimeout + GrantSettings.RetryDelay)
		if !e.detector.ServerLost(server.ID) {
			e.detector.Check(s.now.Add(cutSimGrantTimeout), server.ID)
		}
	}
}

// report sends the report of an instance to the leader, which answers at once.
func (s *cutSimulation) report(e *cutInstance) {
	if s.now.Before(e.nextReport) {
		return
	}
	e.nextReport = s.now.Add(s.reportInterval(len(s.instances)))
	known, ok := e.elector.Leader()
	if !ok {
		return
	}
	leader := s.instancesByName[known.Identity.Instance]
	if leader.dead {
		e.elector.ReportFailed(known, false)
		return
	}
	before := e.named
	e.named = nil
	if leader.elector.Term() != 0 {
		s.learnMember(e.member)
		if leader.member.Lost.Contains(cutSimKeyed) && !e.member.Lost.Contains(cutSimKeyed) {
			e.named = leader.detector.UnreachedServers(s.now, cutSimKeyed, maxUnreachedServers)
			e.detector.Check(s.now, e.named...)
			if len(before) == 0 {
				e.namedSince, e.offered = s.now, false
			}
		}
		if e.version != s.version {
			s.learnMembers(e)
		}
	} else if newer, ok := leader.elector.Leader(); ok {
		e.elector.ObserveLeader(s.now, newer)
	}
	e.elector.ReportAnswered(s.now, known, leader.elector.Term() != 0,
		!s.flaws.leaderStays && len(e.named) > 0 && e.detector.ReachesMost(s.now, e.namedSince, e.named))
}

// learnMember updates a member at the leader. Small clusters learn of it at once.
func (s *cutSimulation) learnMember(m resolver.Member) {
	if s.flaws.noAnnouncing {
		return
	}
	for i := range s.members {
		if s.members[i].Instance == m.Instance && s.members[i] != m {
			s.members[i] = m
			s.version++
			if len(s.instances) < smallClusterSize {
				s.publish()
			}
		}
	}
}

// learnMembers makes an instance learn of the members that the leader knows.
func (s *cutSimulation) learnMembers(e *cutInstance) {
	e.view, e.version = nil, s.version
	for _, m := range s.members {
		for _, service := range m.Lost.Names() {
			e.detector.CheckService(s.now, service)
		}
	}
}

func (s *cutSimulation) publish() {
	for _, e := range s.instances {
		s.learnMembers(e)
		if newest := s.record; !e.dead && e.elector.Term() == 0 {
			e.elector.ObserveLeader(s.now, newest)
		}
	}
}

// viewOf returns the view of an instance.
func (s *cutSimulation) viewOf(e *cutInstance) *resolver.View {
	if e.view != nil {
		return e.view
	}
	var servers []cataloger.Server
	for _, server := range s.servers {
		servers = append(servers, server.Server)
	}
	var others []resolver.Member
	for _, m := range s.members {
		if m.Instance != e.member.Instance {
			others = append(others, m)
		}
	}
	e.view = resolver.New(e.member, nil, servers, nil, others)
	return e.view
}

// sendRequest sends a first try of a client to a random instance.
func (s *cutSimulation) sendRequest() {
	e := s.instances[s.random.IntN(len(s.instances))]
	if e.dead {
		return
	}
	server := s.servers[s.random.IntN(len(s.servers))]
	pool := resolver.ServerPool{Service: server.Service, Domain: server.Domain, Server: server.ID}
	if server.Service == cutSimUnkeyed {
		pools := s.viewOf(e).Pools(cutSimUnkeyed, s.random.Uint64())
		pool = pools[0]
	}
	served := s.dispatch(e, pool)
	judged := s.cutInForce() && s.elapsed() >= cutSimCutAt+s.window && !server.down &&
		(s.killedAt.IsZero() || s.now.Before(s.killedAt) || s.now.Sub(s.killedAt) > cutSimRecovery)
	if !judged {
		return
	}
	s.sent[e.cut]++
	if !served {
		s.failed[e.cut]++
	}
}

// dispatch passes a request to dispatchers of a pool until one reaches a server, and reports whether that serves it.
func (s *cutSimulation) dispatch(e *cutInstance, pool resolver.ServerPool) (served bool) {
	var tried []string
	failed := 0
	for range cutSimMaxDetours {
		avoid := func(instance string) bool {
			return slices.Contains(tried, instance) || s.now.Before(e.declined[pool][instance])
		}
		member := s.viewOf(e).Dispatcher(pool, avoid)
		if avoid(member.Instance) {
			return false
		}
		dispatcher := s.instancesByName[member.Instance]
		tried = append(tried, member.Instance)
		if dispatcher.dead {
			continue
		}
		lost := true
		for _, candidate := range s.viewOf(e).Servers(pool) {
			server := s.serversByID[candidate.ID]
			if dispatcher.detector.ServerLost(server.ID) {
				continue
			}
			lost = false
			if s.contact(dispatcher, server) {
				return pool.Service == cutSimUnkeyed || s.now.Before(server.leaseUntil)
			}
			failed++
			break
		}
		if s.flaws.noDetours || failed == 2 {
			return false
		}
		s.detours++
		if lost {
			if e.declined[pool] == nil {
				e.declined[pool] = map[string]time.Time{}
			}
			e.declined[pool][member.Instance] = s.now.Add(time.Second)
		}
	}
	return false
}

// drawCut draws which instances are cut off: a share of all, the leader among them or not, or a whole failure domain and more.
func (s *cutSimulation) drawCut(share float64) {
	for range int(2 * time.Second / cutSimStep) {
		for _, e := range s.instances {
			s.stepInstance(e)
		}
		s.now = s.now.Add(cutSimStep)
	}
	s.start = s.now
	wholeDomain := s.random.IntN(3) == 0
	order := s.random.Perm(len(s.instances))
	count := max(1, int(share*float64(len(s.instances))))
	for _, i := range order[:count] {
		s.instances[i].cut = true
	}
	spared := s.instances[order[len(order)-1]]
	if wholeDomain && share < 0.9 {
		for _, e := range s.instances {
			e.cut = e.cut || e.member.Domain == "d0"
		}
	}
	if s.random.IntN(3) > 0 {
		for _, e := range s.instances {
			e.cut = e.cut || e.elector.Term() != 0
		}
	}
	if share < 1 {
		spared.cut = false
	}
}

// kill ends the instance that leads.
func (s *cutSimulation) kill() {
	for _, e := range s.instances {
		if e.elector.Term() != 0 && !e.dead {
			e.dead, s.killedAt = true, s.now
		}
	}
}

// violation returns how the run breaks the target, or nothing: first tries at instances that are cut off are served at least two
// thirds as often as those at others, or no more than 10 and one in 50 of all fail there; few leaders follow each other.
func (s *cutSimulation) violation() string {
	total := s.sent[true] + s.sent[false]
	served := func(cut bool) float64 { return 1 - float64(s.failed[cut])/float64(max(1, s.sent[cut])) }
	switch {
	case s.failed[true] > 10+total/50 && served(true) < served(false)*2/3:
		return fmt.Sprintf("cut off: %d of %d failed; others: %d of %d", s.failed[true], s.sent[true], s.failed[false], s.sent[false])
	case s.failed[true]+s.failed[false] > 10+total/50:
		return fmt.Sprintf("%d of %d failed, %d of them at instances that are cut off", s.failed[true]+s.failed[false], total, s.failed[true])
	case s.probes > len(s.instances)*int(cutSimEnd.Seconds())*cutSimMaxProbes:
		return fmt.Sprintf("%d probes", s.probes)
	case s.terms > 4:
		return fmt.Sprintf("%d leaders", s.terms)
	}
	return ""
}

// cutSeeds is the number of seeds of each size; without it the test runs those of cutSizes.
var cutSeeds = flag.Int("cut.seeds", 0, "number of seeds of the simulations of instances that lose their paths")

// cutSizes are the sizes of the simulations, by name.
var cutSizes = map[string]struct{ instances, servers, domains, seeds int }{
	"10 instances":  {instances: 10, servers: 30, domains: 4, seeds: 40},
	"195 instances": {instances: 195, servers: 240, domains: 6, seeds: 2},
}

// TestInstancesThatLosePathsAreStoodInFor guards against instances whose clients are served worse while they have no path to the
// servers and others have.
func TestInstancesThatLosePathsAreStoodInFor(t *testing.T) {
	for name, size := range cutSizes {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(max(size.seeds, *cutSeeds)) {
				s := newCutSimulation(seed, size.instances, size.servers, size.domains, cutFlaws{})
				s.drawCut(0.2 + 0.7*s.random.Float64())
				if s.random.IntN(3) == 0 {
					s.servers[s.random.IntN(len(s.servers))].down = true
				}
				killAfter := time.Duration(0)
				if s.random.IntN(3) == 0 {
					killAfter = time.Duration(s.random.Int64N(int64(cutSimCutAt + cutSimCutLength)))
				}
				s.runWithKill(killAfter)
				if v := s.violation(); v != "" {
					t.Errorf("seed %d: %s", seed, v)
				}
			}
		})
	}
}

// runWithKill runs the simulation, and kills the leader after a time if that is not 0.
func (s *cutSimulation) runWithKill(after time.Duration) {
	for ; s.elapsed() < cutSimEnd; s.now = s.now.Add(cutSimStep) {
		if after > 0 && s.killedAt.IsZero() && s.elapsed() >= after {
			s.kill()
		}
		for _, e := range s.instances {
			if !e.dead {
				s.stepInstance(e)
			}
		}
		for range max(1, len(s.instances)/8) {
			s.sendRequest()
		}
	}
}

// TestCutSimulationDetectsDisabledMechanisms guards against checks that can't fail.
func TestCutSimulationDetectsDisabledMechanisms(t *testing.T) {
	tests := map[string]cutFlaws{
		"the leader stays":              {leaderStays: true},
		"no detours, nothing announced": {noDetours: true, noAnnouncing: true},
		"no probes":                     {noProbes: true},
	}
	size := cutSizes["10 instances"]
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(size.seeds) {
				s := newCutSimulation(seed, size.instances, size.servers, size.domains, f)
				s.drawCut(0.6)
				s.runWithKill(0)
				if v := s.violation(); v != "" {
					t.Logf("seed %d: %s", seed, v)
					return
				}
			}
			t.Fatal("no violation")
		})
	}
}

// TestLeaderStaysWhenAllAreCutOff guards against leaders that follow each other although none has a path.
func TestLeaderStaysWhenAllAreCutOff(t *testing.T) {
	for name, size := range cutSizes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newCutSimulation(1, size.instances, size.servers, size.domains, cutFlaws{})
			s.drawCut(1)
			terms := s.terms
			s.runWithKill(0)
			is.Equal(s.terms, terms)
			s.sent, s.failed = map[bool]int{}, map[bool]int{}
			now := s.now
			for _, e := range s.instances {
				is.True(!e.member.Lost.Contains(cutSimKeyed)) // the paths are back
			}
			for _, server := range s.servers {
				is.True(server.Service != cutSimKeyed || now.Before(server.leaseUntil))
			}
		})
	}
}
