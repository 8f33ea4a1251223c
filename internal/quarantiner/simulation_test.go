package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file simulates instances that send requests to servers which crash under one of them, over a virtual clock. What they know
// goes through a leader, which fails at times, and with the request itself from the instance that gets it to its dispatcher and
// back.

const (
	simStep     = 10 * time.Millisecond
	simDuration = 30 * time.Second
	// simLatency is the time until a server crashes, and simServiceTime until it answers another request.
	simLatency     = 80 * time.Millisecond
	simServiceTime = 150 * time.Millisecond
	simDowntime    = 3 * time.Second
	// simNotice is how long after the third crash the request may be sent without bounds, and simRepeats how often after that.
	simNotice  = 3 * time.Second
	simRepeats = 3
	// simJoinTime is the longest time until a restarted instance first hears from a leader, and simStartSends how many requests it may
	// send until simNotice after its start: one, and those that are sent before that crash.
	simJoinTime   = 1500 * time.Millisecond
	simStartSends = 2
	// simPoisonRate and simInnocentRate are the numbers of requests a second.
	simPoisonRate, simInnocentRate = 15.0, 60.0
	// simInnocents is the number of different innocent requests, which come again and again.
	simInnocents = 6
)

// simFlaws disable single mechanisms, to show that the checks fail without them.
type simFlaws struct {
	noLeaderPath  bool // instances do not report
	noRequestPath bool // requests do not carry what is known about them
	noSpreading   bool // instances without contact to a leader tell no others
	noIsolation   bool // suspects share servers
	noCatchup     bool // instances that have just started send suspects
}

type simInstance struct {
	quarantine  Quarantine
	changed     map[Fingerprint]bool // not reported yet
	toSpread    map[Fingerprint]bool // not spread without a leader yet
	lastContact time.Time
	nextReport  time.Time
	known       uint64 // number of the leader's last change that it has
	frozenUntil time.Time
	cutUntil    time.Time // from other instances
	excused     time.Time // until then its requests do not count
	catchup     Catchup
	startedAt   time.Time // zero if it was not restarted
	joinsAt     time.Time // when it first hears from a leader
}

type simServer struct {
	dispatcher  int
	incarnation int64
	downUntil   time.Time
	running     []*simRequest
}

type simRequest struct {
	fingerprints Fingerprints
	poison       bool
	suspect      bool
	origin       int
	tries        int
	endsAt       time.Time
}

type simulation struct {
	random     *rand.Rand
	flaws      simFlaws
	instances  []*simInstance
	servers    []*simServer
	leader     Quarantine
	changes    map[Fingerprint]uint64
	lastChange uint64
	leaderless time.Time
	crashes    []time.Time
	repeats    int
	startSends map[time.Time]int // by the start of the instance
	barred     int               // refusals of innocent requests
}

func newSimulation(seed uint64, instances, dispatchers int, flaws simFlaws) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, uint64(instances))), flaws: flaws, changes: map[Fingerprint]uint64{}, startSends: map[time.Time]int{}}
	for range instances {
		s.instances = append(s.instances, newSimInstance(time.Unix(1_000_000, 0)))
	}
	for i := range dispatchers * 4 {
		s.servers = append(s.servers, &simServer{dispatcher: i % dispatchers, incarnation: int64(i) << 32})
	}
	return s
}

func newSimInstance(now time.Time) *simInstance {
	return &simInstance{changed: map[Fingerprint]bool{}, toSpread: map[Fingerprint]bool{}, lastContact: now}
}

func (e *simInstance) works(now time.Time) bool { return !now.Before(e.frozenUntil) }

func (s *simulation) run() {
	start := time.Unix(1_000_000, 0)
	if s.random.IntN(3) == 0 {
		s.leaderless = start.Add(simDuration) // no leader at all
	}
	for now := start; now.Before(start.Add(simDuration)); now = now.Add(simStep) {
		s.drawFault(now)
		s.report(now)
		s.spread(now)
		for _, e := range s.instances {
			if e.works(now) {
				e.catchup.Step(now, now.Sub(e.lastContact), 0)
			}
		}
		for _, server := range s.servers {
			s.serve(now, server)
		}
		if s.random.Float64() < simPoisonRate*simStep.Seconds() {
			s.receive(now, &simRequest{fingerprints: Fingerprints{1, 1}, poison: true})
		}
		if s.random.Float64() < simInnocentRate*simStep.Seconds() {
			f := Fingerprint(2 + s.random.IntN(simInnocents))
			s.receive(now, &simRequest{fingerprints: Fingerprints{f, f}})
		}
	}
}

func (s *simulation) drawFault(now time.Time) {
	if s.random.Float64() >= simStep.Seconds()/2 {
		return
	}
	e := s.instances[s.random.IntN(len(s.instances))]
	length := time.Duration(s.random.Int64N(int64(5 * time.Second)))
	switch s.random.IntN(4) {
	case 0: // restarted
		*e = *newSimInstance(now)
		e.frozenUntil, e.excused = now.Add(time.Second), now.Add(time.Second+simNotice)
		e.startedAt = e.frozenUntil
		e.joinsAt = e.frozenUntil.Add(time.Duration(s.random.Int64N(int64(simJoinTime))))
		e.catchup.Begin(e.frozenUntil)
	case 1:
		e.frozenUntil, e.excused = now.Add(length), now.Add(length+3*time.Second)
	case 2:
		e.cutUntil, e.excused = now.Add(length), now.Add(length+3*time.Second)
	case 3: // a new leader hears all with the first reports
		if now.After(s.leaderless) {
			s.leaderless = now.Add(length)
			s.leader = Quarantine{}
			s.changes, s.lastChange = map[Fingerprint]uint64{}, 0
			for _, other := range s.instances {
				other.known = 0
				for _, f := range other.quarantine.Fingerprints() {
					other.changed[f] = true
				}
			}
		}
	}
}

// report sends the reports that are due, and merges their answers.
func (s *simulation) report(now time.Time) {
	if now.Before(s.leaderless) || s.flaws.noLeaderPath {
		return
	}
	for _, e := range s.instances {
		if !e.works(now) || now.Before(e.cutUntil) || now.Before(e.joinsAt) || now.Before(e.nextReport) && len(e.changed) == 0 {
			continue
		}
		e.lastContact = now
		e.nextReport = now.Add(time.Duration(400+s.random.IntN(600)) * time.Millisecond)
		for f := range e.changed {
			if record, ok := e.quarantine.Get(f); ok && s.leader.Merge(now, record) {
				s.lastChange++
				s.changes[f] = s.lastChange
			}
			delete(e.changed, f)
		}
		for f, number := range s.changes {
			if record, ok := s.leader.Get(f); ok && number > e.known {
				e.quarantine.Merge(now, record)
			}
		}
		e.known = s.lastChange
	}
}

// spread makes instances without contact to a leader pass on what they have learned to a few others.
func (s *simulation) spread(now time.Time) {
	for _, e := range s.instances {
		if s.flaws.noSpreading || !e.works(now) || now.Before(e.cutUntil) || !ShouldSpread(now.Sub(e.lastContact)) {
			continue
		}
		for f := range e.toSpread {
			record, _ := e.quarantine.Get(f)
			for range SpreadFanOut {
				other := s.instances[s.random.IntN(len(s.instances))]
				if other != e && other.works(now) && !now.Before(other.cutUntil) && other.quarantine.Merge(now, record) {
					s.note(other, []Fingerprint{f})
				}
			}
			delete(e.toSpread, f)
		}
	}
}

// receive passes a request to an instance.
func (s *simulation) receive(now time.Time, r *simRequest) {
	r.origin = s.random.IntN(len(s.instances))
	if s.instances[r.origin].works(now) {
		s.send(now, r)
	}
}

// send passes a request to a dispatcher, and to one of its servers.
func (s *simulation) send(now time.Time, r *simRequest) {
	origin := s.instances[r.origin]
	if s.refused(now, origin, r) {
		return
	}
	server := s.pick(now, r)
	if server == nil {
		return
	}
	dispatcher := s.instances[server.dispatcher]
	if dispatcher != origin && (!dispatcher.works(now) || now.Before(dispatcher.cutUntil) || now.Before(origin.cutUntil)) {
		return
	}
	s.exchange(now, origin, dispatcher, r)
	if s.refused(now, dispatcher, r) {
		s.exchange(now, dispatcher, origin, r)
		return
	}
	_, r.suspect = dispatcher.quarantine.Verdict(now, r.fingerprints).(Suspect)
	if r.suspect && !s.flaws.noIsolation {
		for _, other := range server.running {
			if other.suspect {
				return // it waits, and its client gives up
			}
		}
	}
	if r.suspect && !s.flaws.noCatchup && dispatcher.catchup.Active(now) {
		return // it is held back, and its client gives up
	}
	r.tries++
	r.endsAt = now.Add(simServiceTime)
	if r.poison {
		r.endsAt = now.Add(simLatency)
		if len(s.crashes) >= 3 && now.After(s.crashes[2].Add(simNotice)) && !now.Before(dispatcher.excused) && !now.Before(origin.excused) {
			s.repeats++
		}
		if len(s.crashes) >= 3 && !dispatcher.startedAt.IsZero() && now.Before(dispatcher.joinsAt) && now.Before(dispatcher.startedAt.Add(catchupTimeout)) {
			s.startSends[dispatcher.startedAt]++
		}
	}
	server.running = append(server.running, r)
}

func (s *simulation) refused(now time.Time, e *simInstance, r *simRequest) bool {
	if _, barred := e.quarantine.Verdict(now, r.fingerprints).(Barred); !barred {
		return false
	}
	if !r.poison {
		s.barred++
	}
	return true
}

// exchange passes what one instance knows about a request to another, with the request or its answer.
func (s *simulation) exchange(now time.Time, from, to *simInstance, r *simRequest) {
	if s.flaws.noRequestPath || from == to {
		return
	}
	records, err := DecodeRecords(now, from.quarantine.Encode(now, r.fingerprints))
	if err != nil {
		panic(err)
	}
	for _, record := range records {
		if to.quarantine.Merge(now, record) {
			s.note(to, []Fingerprint{record.Fingerprint})
		}
	}
}

// pick returns a server that is up.
func (s *simulation) pick(now time.Time, _ *simRequest) *simServer {
	for range 8 {
		if server := s.servers[s.random.IntN(len(s.servers))]; !now.Before(server.downUntil) && len(server.running) < 4 {
			return server
		}
	}
	return nil
}

// serve ends the requests of a server that are due, or all if it crashes.
func (s *simulation) serve(now time.Time, server *simServer) {
	dispatcher := s.instances[server.dispatcher]
	var left, ended []*simRequest
	crashed := false
	for _, r := range server.running {
		switch {
		case now.Before(r.endsAt):
			left = append(left, r)
		case r.poison:
			crashed = true
			ended = append(ended, r)
		default:
			ended = append(ended, r)
		}
	}
	if !crashed {
		server.running = left
		for _, r := range ended {
			s.note(dispatcher, dispatcher.quarantine.Answered(now, r.fingerprints))
		}
		return
	}
	s.crashes = append(s.crashes, now)
	ended, server.running = server.running, nil
	crash := Crash{Server: "s", Incarnation: server.incarnation}
	server.incarnation++
	server.downUntil = now.Add(simDowntime)
	for _, r := range ended {
		s.note(dispatcher, dispatcher.quarantine.Crashed(now, r.fingerprints, "", crash, r.suspect))
		s.exchange(now, dispatcher, s.instances[r.origin], r)
	}
	for _, r := range ended {
		if r.tries < 2 && s.instances[r.origin].works(now) {
			s.send(now, r)
		}
	}
}

func (s *simulation) note(e *simInstance, changed []Fingerprint) {
	for _, f := range changed {
		e.changed[f], e.toSpread[f] = true, true
	}
}

// TestCrashingRequestInSimulation guards against a request that goes on crashing servers, summed over all instances, in any
// sequence of restarts, suspensions, cuts and losses of the leader, also without any leader, and against innocent requests
// that are barred.
func TestCrashingRequestInSimulation(t *testing.T) {
	for name, test := range map[string]struct {
		instances, dispatchers int
		seeds                  uint64
	}{
		"10 instances":  {instances: 10, dispatchers: 4, seeds: 100},
		"195 instances": {instances: 195, dispatchers: 40, seeds: 30},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range test.seeds {
				s := newSimulation(seed, test.instances, test.dispatchers, simFlaws{})
				s.run()
				if s.repeats > simRepeats || s.barred > 0 {
					t.Errorf("seed %d: %d crashes; %d sends later than %v after the third; %d innocent requests were barred",
						seed, len(s.crashes), s.repeats, simNotice, s.barred)
				}
			}
		})
	}
}

// maxStartSends returns how often a restarted instance sent the request that crashes servers before it heard from a leader, at most.
func (s *simulation) maxStartSends() int {
	most := 0
	for _, sends := range s.startSends {
		most = max(most, sends)
	}
	return most
}

// TestStartInSimulation guards against instances that send a request that crashes servers to three of them after each restart.
func TestStartInSimulation(t *testing.T) {
	tests := map[string]struct {
		flaws simFlaws
		want  bool // whether each start leads to simStartSends at most
	}{
		"as built":                       {want: true},
		"a start holds back no suspects": {flaws: simFlaws{noCatchup: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			most := 0
			for seed := range uint64(200) {
				s := newSimulation(seed, 4, 4, test.flaws)
				s.run()
				most = max(most, s.maxStartSends())
			}
			t.Log(most)
			is.Equal(most <= simStartSends, test.want)
		})
	}
}

// TestCrashSimulationFindsFlaws shows that the checks of the simulation fail without each mechanism.
func TestCrashSimulationFindsFlaws(t *testing.T) {
	for name, test := range map[string]struct {
		flaws                  simFlaws
		instances, dispatchers int
	}{
		"no way but the request": {simFlaws{noLeaderPath: true, noSpreading: true}, 195, 40},
		"no spreading":           {simFlaws{noSpreading: true}, 195, 40},
		"suspects share servers": {simFlaws{noIsolation: true}, 10, 4},
		"only spreading":         {simFlaws{noLeaderPath: true, noRequestPath: true, noIsolation: true}, 10, 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			found := ""
			for seed := uint64(0); seed < 100 && found == ""; seed++ {
				s := newSimulation(seed, test.instances, test.dispatchers, test.flaws)
				s.run()
				if s.repeats > simRepeats || s.barred > 0 {
					found = fmt.Sprintf("seed %d: %d crashes, %d sends, %d barred", seed, len(s.crashes), s.repeats, s.barred)
				}
			}
			t.Log(found)
			is.True(found != "")
		})
	}
}
