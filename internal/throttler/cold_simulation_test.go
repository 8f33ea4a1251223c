package throttler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/throttler"
)

// The servers of the simulation that turn cold: each at any moment by itself, and with each start.
const (
	simColdDemand = 24.0 // requests a second for each server: its slots, at simServiceTime, allow 40
	simColdRate   = 5.1
	simWarmupTime = 6 * time.Second
	simHeartbeat  = 870 * time.Millisecond
	// simStoreDelay is how late the store may show a registration, and simReadDelay how late an instance may read it then.
	simStoreDelay = 800 * time.Millisecond
	simReadDelay  = 300 * time.Millisecond
	// simColdKnown is when all instances know at the latest that a server has turned cold by itself.
	simColdKnown = simHeartbeat + simStoreDelay + simReadDelay + 100*time.Millisecond
	simTransit   = 20 * time.Millisecond // of a request to its server, at most
	simConnect   = 300 * time.Millisecond
)

var simColdRule = throttler.ColdRule{Overage: 1.5, Tolerance: 8}

// simCold is the part of a simulation that concerns cold servers.
type simCold struct {
	faultless bool
	flaws     simColdFlaws
}

// simColdFlaws disable single mechanisms, to show that the checks fail without them.
type simColdFlaws struct {
	unlimited   bool // cold servers are treated as warm
	noDoubt     bool // an instance that was suspended, cut off or has just started uses all of a dispatcher's rate
	noSuspicion bool // a server that has failed counts as warm until its registration is read
	noWindow    bool // requests that connections bring together are not spaced again
}

// simColdServer is the state of a server that turns cold.
type simColdServer struct {
	incarnation   int64
	upFrom        time.Time // it starts then, or has started
	coldFrom      time.Time // the present or latest time in which it is cold
	coldUntil     time.Time
	spans         []simColdSpan
	registrations []simRegistration
	nextBeat      time.Time
	inFlight      map[int]func(now time.Time) // what happens to requests at the server when it ends
	lastRequest   int
}

// simColdSpan is a time in which requests to a server count.
type simColdSpan struct{ from, until time.Time }

// simRegistration is a record in the store.
type simRegistration struct {
	shownAt time.Time
	throttler.Registration
}

// simColdInstance is what an instance knows of cold servers.
type simColdInstance struct {
	warmups throttler.Warmups
	windows map[string]*throttler.Window
	contact throttler.Contact
	read    map[string]int // registrations read, by server
	delay   time.Duration  // of its reads
}

func newColdSimulation(seed uint64, instances int, cold simCold) *simulation {
	s := newSimulation(seed, instances, simFlaws{})
	s.cold = &cold
	for _, server := range s.servers {
		server.limits = nil
		server.cold.inFlight = map[int]func(time.Time){}
		server.cold.nextBeat = simStart
		server.cold.incarnation = simStart.Add(-time.Hour).UnixMilli()
		at := simStart.Add(s.between(4*time.Second, 9*time.Second))
		for at.Before(simStart.Add(simCalmAfter)) {
			if s.random.IntN(2) == 0 {
				s.at(at, func(now time.Time) { s.turnCold(now, server, now.Add(simColdKnown)) })
			} else {
				down := s.between(50*time.Millisecond, 5*time.Second)
				s.at(at, func(now time.Time) { s.restart(now, server, now.Add(down)) })
				at = at.Add(down)
			}
			at = at.Add(simWarmupTime + s.between(time.Second, 6*time.Second))
		}
	}
	return s
}

// turnCold makes a server cold. Requests to it count from a given time on.
func (s *simulation) turnCold(now time.Time, server *simServer, counted time.Time) {
	c := &server.cold
	c.coldFrom, c.coldUntil = now, now.Add(simWarmupTime)
	c.spans = append(c.spans, simColdSpan{from: counted, until: c.coldUntil})
}

// restart ends a server, whose next incarnation starts at a given time and is cold.
func (s *simulation) restart(now time.Time, server *simServer, start time.Time) {
	c := &server.cold
	c.upFrom, c.nextBeat = start, start
	for _, fail := range c.inFlight {
		fail(now)
	}
	clear(c.inFlight)
	s.at(start, func(now time.Time) {
		c.incarnation = now.UnixMilli()
		s.turnCold(now, server, now)
	})
}

// stepCold lets servers write their registrations, and instances read them and ask servers.
func (s *simulation) stepCold(now time.Time) {
	for _, server := range s.servers {
		c := &server.cold
		if now.Before(c.nextBeat) || now.Before(c.upFrom) || c.incarnation == 0 {
			continue
		}
		c.nextBeat = now.Add(simHeartbeat)
		c.registrations = append(c.registrations, simRegistration{
			shownAt: now.Add(s.between(0, simStoreDelay)),
			Registration: throttler.Registration{
				Server: server.ID, Incarnation: c.incarnation, Started: time.UnixMilli(c.incarnation),
				Left: max(0, c.coldUntil.Sub(now)), WarmupTime: simWarmupTime,
			},
		})
	}
	for _, e := range s.instances {
		if !e.works(now) {
			continue
		}
		c := &e.cold
		if c.read == nil {
			c.read, c.windows, c.delay = map[string]int{}, map[string]*throttler.Window{}, s.between(0, simReadDelay)
		}
		if c.contact.Resume(now) {
			for _, q := range e.queues {
				q.queue.EmptyCold(now)
			}
		}
		c.contact.Step(now, now.Sub(e.lastContact))
		if now.Sub(simStart)%(50*time.Millisecond) != 0 {
			continue
		}
		for i, server := range s.servers {
			s.readRegistration(now, e, i)
			if e.queues[server.ID] == nil {
				continue
			}
			s.applyCold(now, e, server)
			if c.warmups.Ask(now, server.ID) {
				s.ask(now, e, i)
			}
		}
	}
}

// readRegistration lets an instance read the newest registration of a server that the store shows it.
func (s *simulation) readRegistration(now time.Time, e *simInstance, index int) {
	server, c := s.servers[index], &e.cold
	before, read := e.knownIncarnation(server), c.read[server.ID]
	for read < len(server.cold.registrations) && !now.Before(server.cold.registrations[read].shownAt.Add(c.delay)) {
		read++
	}
	if read == c.read[server.ID] {
		return
	}
	c.read[server.ID] = read
	r := server.cold.registrations[read-1].Registration
	r.ReadAt = now
	c.warmups.Register(now, r)
	if e.queues[server.ID] != nil && r.Incarnation > before {
		s.setServers(now, e, index)
	}
}

// ask asks a server whether it is cold, by a health check that may have to wait.
func (s *simulation) ask(now time.Time, e *simInstance, index int) {
	server := s.servers[index]
	incarnation := e.knownIncarnation(server) // the answer does not name one
	s.at(now.Add(s.between(simStep, 200*time.Millisecond)), func(arrived time.Time) {
		up, left := !arrived.Before(server.cold.upFrom), max(0, server.cold.coldUntil.Sub(arrived))
		s.at(arrived.Add(simStep), func(answered time.Time) {
			switch {
			case s.indexOf(e) < 0 || !e.works(answered):
			case up:
				e.cold.warmups.Answered(answered, now, server.ID, incarnation, left)
			default:
				e.cold.warmups.Suspect(answered, server.ID)
			}
		})
	})
}

// knownIncarnation returns the incarnation of a server that an instance has read last.
func (e *simInstance) knownIncarnation(server *simServer) int64 {
	incarnation := int64(0)
	for _, r := range server.cold.registrations[:e.cold.read[server.ID]] {
		incarnation = max(incarnation, r.Incarnation)
	}
	return incarnation
}

// coldness returns until when a server is cold for an instance, and what the instance may send to it until then.
func (s *simulation) coldness(now time.Time, e *simInstance, server *simServer) (time.Time, float64) {
	if s.cold == nil || s.cold.flaws.unlimited {
		return time.Time{}, 0
	}
	return e.cold.warmups.LimitedUntil(now, server.ID, e.knownIncarnation(server)), s.coldLimit(e, server).Rate
}

func (s *simulation) coldLimit(e *simInstance, server *simServer) throttler.ColdLimit {
	certain := e.cold.contact.Certain() || s.cold.flaws.noDoubt
	return simColdRule.Limit(simColdRate, certain && dispatcherOf(e.view, server).Instance == e.member.Instance)
}

func (s *simulation) isColdAt(now time.Time, e *simInstance, server *simServer) bool {
	if s.cold == nil || e.view == nil {
		return false
	}
	until, _ := s.coldness(now, e, server)
	return now.Before(until)
}

func (s *simulation) applyCold(now time.Time, e *simInstance, server *simServer) {
	if q := e.queues[server.ID]; q != nil && e.view != nil {
		until, rate := s.coldness(now, e, server)
		s.apply(now, e, q, q.queue.SetCold(now, server.ID, until, rate))
	}
}

// sendCold sends a request to a server over a connection that may have to be opened first.
func (s *simulation) sendCold(now time.Time, e *simInstance, r simRequest) {
	connect := time.Duration(0)
	if s.random.IntN(20) == 0 {
		connect = s.between(0, simConnect)
	}
	s.at(now.Add(connect), func(now time.Time) { s.sendOnConnection(now, now, e, r) })
}

func (s *simulation) sendOnConnection(now, connected time.Time, e *simInstance, r simRequest) {
	server := s.servers[r.server]
	if s.indexOf(e) < 0 {
		return
	}
	if now.Before(e.frozenUntil) {
		s.at(e.frozenUntil, func(now time.Time) { s.sendOnConnection(now, now, e, r) })
		return
	}
	e.cold.contact.Resume(now)
	w := e.cold.windows[server.ID]
	if w == nil {
		w = &throttler.Window{}
		e.cold.windows[server.ID] = w
	}
	if now.Before(e.cold.warmups.ColdUntil(server.ID, e.knownIncarnation(server))) && !s.cold.flaws.noWindow && !s.cold.flaws.unlimited {
		if delay := w.Delay(now, s.coldLimit(e, server).Most); delay > 0 {
			if now.Add(delay).Sub(connected) > 250*time.Millisecond {
				s.doneCold(now, e, r, queuer.Inconclusive)
				s.at(now.Add(50*time.Millisecond), func(now time.Time) { s.route(now, e, r, 2) })
				return
			}
			s.at(now.Add(delay), func(now time.Time) { s.sendOnConnection(now, connected, e, r) })
			return
		}
	}
	if !s.cold.flaws.noSuspicion && !s.cold.flaws.unlimited {
		hold := e.cold.warmups.Sending(now, server.ID, s.coldLimit(e, server).Most)
		if e.cold.warmups.Ask(now, server.ID) {
			s.ask(now, e, r.server)
		}
		if hold && now.Sub(connected) < 250*time.Millisecond {
			s.at(now.Add(2*simStep), func(now time.Time) { s.sendOnConnection(now, connected, e, r) })
			return
		}
		if hold {
			e.cold.warmups.Suspect(now, server.ID)
			s.doneCold(now, e, r, queuer.Inconclusive)
			s.at(now.Add(50*time.Millisecond), func(now time.Time) { s.route(now, e, r, 2) })
			return
		}
	}
	w.Add(now)
	s.at(now.Add(s.between(0, simTransit)), func(now time.Time) { s.arriveCold(now, e, r) })
}

// arriveCold lets a request arrive at its server. If the server is down or ends before its answer, the instance sees its
// connection closed.
func (s *simulation) arriveCold(now time.Time, e *simInstance, r simRequest) {
	server := s.servers[r.server]
	c := &server.cold
	fail := func(now time.Time) {
		s.doneCold(now, e, r, queuer.Failed)
		if s.indexOf(e) >= 0 && e.works(now) && !s.cold.flaws.noSuspicion && e.cold.warmups.Suspect(now, server.ID) {
			s.applyCold(now, e, server)
		}
	}
	if now.Before(c.upFrom) {
		fail(now)
		return
	}
	server.arrivals = append(server.arrivals, simArrival{at: now})
	c.lastRequest++
	request := c.lastRequest
	c.inFlight[request] = fail
	s.at(now.Add(simServiceTime), func(now time.Time) {
		if _, running := c.inFlight[request]; running {
			delete(c.inFlight, request)
			s.doneCold(now, e, r, queuer.Answered)
		}
	})
}

// doneCold passes the outcome of a request to the instance that sent it, when that runs.
func (s *simulation) doneCold(now time.Time, e *simInstance, r simRequest, outcome queuer.Outcome) {
	if s.indexOf(e) < 0 {
		return
	}
	if now.Before(e.frozenUntil) {
		s.at(e.frozenUntil, func(now time.Time) { s.doneCold(now, e, r, outcome) })
		return
	}
	q := e.queues[s.servers[r.server].ID]
	s.apply(now, e, q, q.queue.Done(now, s.servers[r.server].ID, "c", outcome, simServiceTime))
}

// mostWhileCold returns the most requests that arrived at a server within any second in which it was cold, and when.
func (s *simServer) mostWhileCold() (most int, at time.Time) {
	arrivals := slices.Clone(s.arrivals)
	slices.SortFunc(arrivals, func(a, b simArrival) int { return a.at.Compare(b.at) })
	for _, span := range s.cold.spans {
		first := 0
		for i, a := range arrivals {
			if a.at.Before(span.from) || a.at.After(span.until) {
				first = i + 1
				continue
			}
			for a.at.Sub(arrivals[first].at) >= time.Second {
				first++
			}
			if count := i - first + 1; count > most {
				most, at = count, a.at
			}
		}
	}
	return most, at
}

// fewestWhileCold returns the fewest requests that arrived at a server within 4 s in which it was cold.
func (s *simServer) fewestWhileCold() int {
	const window = 4 * time.Second
	fewest := 1 << 30
	for _, span := range s.cold.spans {
		for from := span.from; !from.Add(window).After(span.until); from = from.Add(100 * time.Millisecond) {
			count := 0
			for _, a := range s.arrivals {
				if !a.at.Before(from) && a.at.Before(from.Add(window)) {
					count++
				}
			}
			fewest = min(fewest, count)
		}
	}
	return fewest
}

// allowedWhileCold is what the rule allows within a second.
func allowedWhileCold() float64 {
	return simColdRate*simColdRule.Overage + simColdRule.Tolerance
}

// TestColdRuleHoldsInSimulation guards against cold servers that get more requests within a second than the rule allows, summed
// over all instances, in any sequence of kills, suspensions, cuts and losses of the leader, while servers turn cold by themselves
// or start again.
func TestColdRuleHoldsInSimulation(t *testing.T) {
	for name, test := range map[string]struct {
		instances int
		seeds     uint64
	}{
		"10 instances": {instances: 10, seeds: *simSeeds},
		"63 instances": {instances: 63, seeds: max(1, *simSeeds/4)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range test.seeds {
				s := newColdSimulation(seed, test.instances, simCold{})
				s.run()
				for _, server := range s.servers {
					if most, at := server.mostWhileCold(); float64(most) > allowedWhileCold() {
						t.Errorf("seed %d: %s got %d requests within a second before %v", seed, server.ID, most, at.Sub(simStart))
					}
				}
			}
		})
	}
}

// TestColdServersGetTheirShare guards against cold servers that are left idle while nothing else is wrong.
func TestColdServersGetTheirShare(t *testing.T) {
	for seed := range *simSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newColdSimulation(seed, 10, simCold{faultless: true})
			s.run()
			for _, server := range s.servers {
				if len(server.cold.spans) == 0 {
					continue
				}
				if fewest := server.fewestWhileCold(); float64(fewest) < 0.6*simColdRate*4 {
					t.Errorf("%s got only %d requests within 4 s", server.ID, fewest)
				}
				if most, at := server.mostWhileCold(); float64(most) > allowedWhileCold() {
					t.Errorf("%s got %d requests within a second before %v", server.ID, most, at.Sub(simStart))
				}
			}
		})
	}
}

// TestColdSimulationFindsFlaws shows that the check of the rule fails without each mechanism.
func TestColdSimulationFindsFlaws(t *testing.T) {
	most := simColdRule.Dispatcher(simColdRate).Most
	for name, test := range map[string]struct {
		flaws   simColdFlaws
		allowed float64
	}{
		"cold servers are not limited": {flaws: simColdFlaws{unlimited: true}, allowed: allowedWhileCold()},
		"no suspicion":                 {flaws: simColdFlaws{noSuspicion: true}, allowed: allowedWhileCold()},
		// Without these, the rule is exceeded in one of 100 seeds, but the parts of two dispatchers in many.
		"no doubt and no window": {flaws: simColdFlaws{noDoubt: true, noWindow: true}, allowed: float64(2 * most)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				s := newColdSimulation(seed, 10, simCold{flaws: test.flaws})
				s.run()
				for _, server := range s.servers {
					if most, at := server.mostWhileCold(); float64(most) > test.allowed {
						t.Logf("seed %d: %s got %d requests within a second before %v", seed, server.ID, most, at.Sub(simStart))
						return
					}
				}
			}
			t.Error("the flaw does not show")
		})
	}
}
