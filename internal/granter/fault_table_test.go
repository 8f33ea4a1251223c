package granter

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
)

const (
	settleTime      = 3 * time.Second  // time for the first grants
	observationTime = 10 * time.Second // simulated time after the second fault
	recoveryTimeout = 30 * time.Second // time within which all keys must be served again after the faults
)

// faultGaps are the times between two faults: none, while orders are in flight, and after a renewal.
var faultGaps = []time.Duration{0, 2 * timeStep, 1500 * time.Millisecond}

// grantSteps bring a simulation to the step in which the faults are injected. Server 0 is the owner of the range in
// question, server 1 its next owner. The sort order of their names decides which gaps are used.
var grantSteps = map[string]func(*simulation){
	"first grant": func(*simulation) {},
	"renewal":     func(sim *simulation) { sim.run(settleTime, 0) },
	"move": func(sim *simulation) {
		sim.run(settleTime, 0)
		sim.moveToNextOwner()
	},
	"grant after a move": func(sim *simulation) {
		sim.run(settleTime, 0)
		sim.moveToNextOwner()
		sim.run(timeStep, 0)
	},
	"release of a draining server": func(sim *simulation) {
		sim.run(settleTime, 0)
		sim.servers[0].registration.State = cataloger.Draining
		sim.updateServers()
	},
	"takeover": func(sim *simulation) {
		sim.run(settleTime, 0)
		sim.elect()
	},
	"move after a takeover": func(sim *simulation) {
		sim.run(settleTime, 0)
		sim.elect()
		sim.run(timeStep, 0)
		sim.moveToNextOwner()
	},
	"restart": func(sim *simulation) {
		sim.run(settleTime, 0)
		sim.restart(sim.servers[0])
	},
}

// faults are the faults of the table. The order of their names, and of those of the steps, decides which gap a pair of
// faults has at a step.
var faults = map[string]func(*simulation){
	"store down": func(sim *simulation) { sim.storeUnreachableUntil = sim.now.Add(3 * time.Second) },
	"store down past the leader's lease": func(sim *simulation) {
		sim.storeUnreachableUntil = sim.now.Add(leaderLease + time.Second)
	},
	"store refuses":                 func(sim *simulation) { sim.storeRefusesUntil = sim.now.Add(3 * time.Second) },
	"store's answers lost":          func(sim *simulation) { sim.storeLosesAnswersUntil = sim.now.Add(3 * time.Second) },
	"leader cut off from the store": (*simulation).elect,
	"leader killed":                 func(sim *simulation) { sim.killLeader(); sim.elect() },
	"leader frozen":                 (*simulation).suspendLeader,
	"all instances down": func(sim *simulation) {
		sim.killLeader()
		sim.schedule(2*time.Second, (*simulation).elect)
	},
	"entries missing":                   (*simulation).hideRegistrations,
	"owner killed":                      func(sim *simulation) { sim.killServer(sim.servers[0]) },
	"owner restarted":                   func(sim *simulation) { sim.restart(sim.servers[0]) },
	"owner marked draining":             func(sim *simulation) { sim.markDraining(sim.servers[0]) },
	"owner's answers lost":              func(sim *simulation) { sim.servers[0].losesAnswers = true },
	"owner slow to execute grants":      func(sim *simulation) { sim.servers[0].appliesGrantsLate = true },
	"owner out of reach":                func(sim *simulation) { sim.makeUnreachable(sim.servers[0]) },
	"the owner repeats answers":         func(sim *simulation) { sim.servers[0].repeatsAnswers = true },
	"the next owner repeats answers":    func(sim *simulation) { sim.servers[1].repeatsAnswers = true },
	"next owner killed":                 func(sim *simulation) { sim.killServer(sim.servers[1]) },
	"next owner restarted":              func(sim *simulation) { sim.restart(sim.servers[1]) },
	"next owner loses its answers":      func(sim *simulation) { sim.servers[1].losesAnswers = true },
	"next owner late to execute grants": func(sim *simulation) { sim.servers[1].appliesGrantsLate = true },
	"next owner out of reach":           func(sim *simulation) { sim.makeUnreachable(sim.servers[1]) },
}

// moveToNextOwner starts to move the ranges of server 0 to server 1.
func (sim *simulation) moveToNextOwner() {
	for _, p := range movable(sim.leader().granter.Placements(sim.now, service)) {
		if p.Server == sim.servers[0].registration.ID {
			sim.leader().granter.StartMove(sim.now, service, p.Range, sim.servers[1].registration.ID)
		}
	}
}

// killLeader ends the current leader, and its leader lease with it.
func (sim *simulation) killLeader() { sim.leader().leaseExpiry, sim.leader().killed = sim.now, true }

// suspendLeader suspends the leader for 6 s, while another one is elected after 1 s. The suspended leader then goes on,
// unaware that it was replaced.
func (sim *simulation) suspendLeader() {
	sim.leader().suspendedUntil = sim.now.Add(6 * time.Second)
	sim.schedule(time.Second, (*simulation).elect)
}

// hideRegistrations removes the registrations of all servers from the store for 2 s.
func (sim *simulation) hideRegistrations() {
	sim.registrationsHidden = true
	sim.updateServers()
	sim.schedule(2*time.Second, func(sim *simulation) {
		sim.registrationsHidden = false
		sim.updateServers()
	})
}

// killServer ends a server without a shutdown. Its registration is removed 3 s later.
func (sim *simulation) killServer(s *fakeServer) {
	s.up, s.leases, s.lateGrants = false, nil, nil
	sim.schedule(3*time.Second, func(sim *simulation) {
		s.registration.State = cataloger.Gone
		sim.updateServers()
	})
}

// markDraining marks a server as draining.
func (sim *simulation) markDraining(s *fakeServer) {
	s.registration.State = cataloger.Draining
	sim.updateServers()
}

// makeUnreachable prevents the current leader from reaching a server for 10 s.
func (sim *simulation) makeUnreachable(s *fakeServer) {
	sim.leader().unreachableServer, sim.leader().unreachableUntil = s.registration.ID, sim.now.Add(10*time.Second)
}

// clearFaults ends all faults, and elects a leader if the current one has no leader lease. The faults that it leaves out end
// within observationTime; late grants are still applied.
func (sim *simulation) clearFaults() {
	sim.storeUnreachableUntil, sim.storeRefusesUntil, sim.storeLosesAnswersUntil, sim.registrationsHidden =
		sim.now, sim.now, sim.now, false
	sim.scheduled = slices.DeleteFunc(sim.scheduled, func(e scheduledEvent) bool { return e.fault })
	for _, s := range sim.servers {
		if !s.up {
			s.up, s.highestFences = true, map[int]uint64{}
			s.registration.Incarnation++
		}
		s.losesAnswers, s.appliesGrantsLate, s.repeatsAnswers, s.registration.State = false, false, false, cataloger.Ready
	}
	if !sim.now.Before(sim.leader().leaseExpiry) {
		sim.elect()
	}
	sim.updateServers()
}

// recoverFromFaults ends all faults, goes on with the simulation and reports whether all keys are served within
// recoveryTimeout.
func (sim *simulation) recoverFromFaults() bool {
	sim.clearFaults()
	for end := sim.now.Add(recoveryTimeout); sim.now.Before(end) && sim.violation == ""; {
		sim.run(time.Second, 0)
		if sim.unservedKeys() == 0 {
			return true
		}
	}
	return false
}

// faultPair is a case of the table: two faults at a step. The same fault twice is a single fault, or one that occurs again.
type faultPair struct {
	first, second string
	gap           time.Duration
	passesLeases  bool // leaders pass the leases that they know of to the next one, and orders take time
}

// faultPairs returns all pairs of faults for the step with the given index. The gaps alternate, so that each pair has
// each gap at some steps.
func faultPairs(stepIndex int) []faultPair {
	names := slices.Sorted(maps.Keys(faults))
	var all []faultPair
	for i, first := range names {
		for j, second := range names {
			all = append(all, faultPair{first: first, second: second, gap: faultGaps[(stepIndex+i+j)%len(faultGaps)]})
		}
	}
	return all
}

// simulate runs a step, injects the two faults and returns the simulation at the end of the observation time.
func (pair faultPair) simulate(runStep func(*simulation), f flaws) *simulation {
	sim := newSimulation(1, 4, f)
	if pair.passesLeases {
		sim = newPassingSimulation(1, 4, f)
	}
	runStep(sim)
	faults[pair.first](sim)
	sim.run(pair.gap, 0)
	faults[pair.second](sim)
	sim.run(observationTime, 0)
	return sim
}

// TestKeysHaveOneOwnerInFaultTable guards against two owners of a key, and against keys that stay unserved after the faults.
// It simulates each step of a lease with each fault and each pair of faults.
func TestKeysHaveOneOwnerInFaultTable(t *testing.T) {
	for i, name := range slices.Sorted(maps.Keys(grantSteps)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, pair := range faultPairs(i) {
				for _, pair.passesLeases = range []bool{false, true} {
					sim := pair.simulate(grantSteps[name], flaws{})
					if sim.violation != "" {
						t.Errorf("%+v: %s", pair, sim.violation)
					} else if !sim.recoverFromFaults() {
						t.Errorf("%+v: %s; %d keys unserved", pair, sim.violation, sim.unservedKeys())
					}
				}
			}
		})
	}
}

// TestFaultTableDetectsDisabledMechanisms guards against a table that can't fail: with a mechanism disabled, some case of
// the table must show a violation.
func TestFaultTableDetectsDisabledMechanisms(t *testing.T) {
	for name, f := range disabledMechanisms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i, step := range slices.Sorted(maps.Keys(grantSteps)) {
				for _, pair := range faultPairs(i) {
					if sim := pair.simulate(grantSteps[step], f); sim.violation != "" {
						t.Logf("%s, %+v: %s", step, pair, sim.violation)
						return
					}
				}
			}
			t.Error("no violation")
		})
	}
}
