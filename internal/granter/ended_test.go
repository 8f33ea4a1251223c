package granter

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
)

// endingSimulation adds to a simulation servers that end, that start again under their id, and whose registrations are missing, leaders
// that learn of it late, and evidence of ended servers that reaches any leader at any time, again and again.
type endingSimulation struct {
	*simulation
	random *rand.Rand
	flaw   endingFlaw
	ended  map[string]int64 // latest incarnation of each server that has ended
}

// endingFlaw disables one mechanism.
type endingFlaw int

const (
	noEndingFlaw            endingFlaw = iota
	livingServerCountsEnded            // the evidence names the incarnation that lives
	grantsBeforeIncarnationIsStored
)

// step simulates one time step, with a random event first.
func (e *endingSimulation) step() {
	s := e.servers[e.random.Intn(len(e.servers))]
	id := s.registration.ID
	switch e.random.Intn(60) {
	case 0: // the server ends
		s.up, s.leases, s.lateGrants = false, nil, nil
		s.registration.State = cataloger.Gone
		e.ended[id] = s.registration.Incarnation
		e.updateServersLate()
	case 1: // it starts again under its id
		e.ended[id] = s.registration.Incarnation
		s.up, s.leases, s.highestFences, s.lateGrants = true, nil, map[int]uint64{}, nil
		s.registration.Incarnation++
		s.registration.State = cataloger.Ready
		e.updateServersLate()
	case 2: // the server lives, and its registration expires or comes back
		s.registration.State = cataloger.Gone - s.registration.State
		e.updateServersLate()
	case 3: // an election of a leader that has not read the registrations yet
		e.registrationsHidden = true
		e.elect()
		e.registrationsHidden = false
		e.updateServersLate()
	}
	if e.random.Intn(3) == 0 {
		incarnation := e.ended[id]
		if e.flaw == livingServerCountsEnded {
			incarnation = s.registration.Incarnation
		}
		e.leaders[e.random.Intn(len(e.leaders))].granter.ServerEnded(e.now, id, incarnation)
	}
	if e.flaw == grantsBeforeIncarnationIsStored {
		for _, l := range e.leaders {
			for _, o := range l.granter.ranges {
				o.incarnationSequence = 0
			}
		}
	}
	e.run(timeStep, 1)
}

// updateServersLate passes the registrations to each leader now, or up to 4 s later as they are then.
func (e *endingSimulation) updateServersLate() {
	for _, l := range e.leaders {
		e.schedule(time.Duration(e.random.Intn(4000))*time.Millisecond, func(sim *simulation) {
			sim.setServers(l)
		})
	}
}

// runEnding simulates 40 s with endings and faults, and then 30 s without.
func runEnding(seed int64, flaw endingFlaw, newSimulation func(int64, int, flaws) *simulation) *endingSimulation {
	e := &endingSimulation{
		simulation: newSimulation(seed, 5, flaws{}), random: rand.New(rand.NewSource(seed)), flaw: flaw, ended: map[string]int64{},
	}
	e.incarnationsMove = true
	for end := e.now.Add(40 * time.Second); e.now.Before(end) && e.violation == ""; {
		e.step()
	}
	for _, s := range e.servers {
		if e.ended[s.registration.ID] == s.registration.Incarnation {
			s.registration.Incarnation++ // an incarnation that has ended does not come back
		}
		s.up, s.registration.State = true, cataloger.Ready
	}
	e.updateServers()
	if e.violation == "" {
		e.run(30*time.Second, 0)
	}
	return e
}

// TestEndedServersLeaveOneOwner guards against a second owner of keys, and against keys that stay unserved, when leaders hear of ended
// servers at any time, several times, late and while a later incarnation lives. Servers' clocks run 2 % slow.
func TestEndedServersLeaveOneOwner(t *testing.T) {
	for seed := range int64(seeds) {
		if e := runEnding(seed, noEndingFlaw, newSimulation); e.violation != "" || e.unservedKeys() > 0 {
			t.Fatalf("seed %d: %s; %d keys unserved at the end", seed, e.violation, e.unservedKeys())
		}
		if e := runEnding(seed, noEndingFlaw, newPassingSimulation); e.violation != "" || e.unservedKeys() > 0 {
			t.Fatalf("seed %d, leases passed on: %s; %d keys unserved at the end", seed, e.violation, e.unservedKeys())
		}
	}
}

// TestEndingsDetectDisabledMechanisms guards against a simulation in which the mechanisms make no difference.
func TestEndingsDetectDisabledMechanisms(t *testing.T) {
	for name, flaw := range map[string]endingFlaw{
		"a server that lives counts as ended":                    livingServerCountsEnded,
		"a new incarnation gets leases before the plan names it": grantsBeforeIncarnationIsStored,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(flawSeeds) {
				if runEnding(seed, flaw, newSimulation).violation != "" {
					return
				}
			}
			t.Fatalf("no violation in %d seeds", flawSeeds)
		})
	}
}

// TestServerEndedFreesOnlyWhatIsCertain guards against a next owner while a lease may be valid: of a later incarnation, of one that
// the plan does not name, of one that is registered, or while another leader may have moved the range; and against keys that wait for
// leases that nobody can have.
func TestServerEndedFreesOnlyWhatIsCertain(t *testing.T) {
	registered := []cataloger.Server{{ID: "s0", Service: service, Slots: 1, Incarnation: 5}}
	tests := map[string]struct {
		planned, ended int64
		before         func(g *Granter)
		want           int
	}{
		"the incarnation of the plan":   {planned: 5, ended: 5, want: 1},
		"a later one":                   {planned: 5, ended: 6, want: 1},
		"an earlier one":                {planned: 5, ended: 4},
		"the plan does not name it":     {planned: 0, ended: 5},
		"it is registered":              {planned: 5, ended: 5, before: func(g *Granter) { g.SetServers(epoch, []string{service}, registered) }},
		"the owners are not certain":    {planned: 5, ended: 5, before: func(g *Granter) { g.Freeze() }},
		"the plan is not to be trusted": {planned: 5, ended: 5, before: func(g *Granter) { g.DistrustPlan(epoch.Add(time.Minute)) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, grant := inheritedRange(test.planned)
			if test.before != nil {
				test.before(g)
			}
			is.Equal(g.ServerEnded(epoch, "s0", test.ended), test.want)
			if free := g.Segments(epoch)[0]; test.want == 1 {
				is.True(free.Moving && free.PauseMS == 0) // requests wait, as s1 serves the keys once the plan is stored
			}
			g.CompleteGrant(epoch, grant, Unanswered) // a grant in flight does not delay the next owner
			_, sequence, _ := g.Plan()
			g.SetStoredPlans(sequence, sequence)
			granted := slices.ContainsFunc(g.Tick(epoch), func(order Order) bool {
				next, ok := order.(Grant)
				return ok && next.Server == "s1" && next.Incarnation == 7
			})
			is.Equal(granted, test.want == 1)
		})
	}
}
