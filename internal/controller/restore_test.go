package controller

import (
	"flag"
	"math/rand"
	"testing"
	"time"
)

// simFaults are the faults that are paired with a return of the store. Each happens some time before or after the return.
var simFaults = map[string]func(s *restoreSim){
	"none":              func(*restoreSim) {},
	"leader killed":     func(s *restoreSim) { s.kill(s.leader(), time.Second) },
	"leader lost":       func(s *restoreSim) { s.kill(s.leader(), time.Minute) },
	"leader suspended":  func(s *restoreSim) { s.leader().suspendedUntil = s.now.Add(3 * time.Second) },
	"leader cut off":    func(s *restoreSim) { s.cutOff(s.leader(), 6*time.Second) },
	"leader isolated":   func(s *restoreSim) { s.cutOff(s.leader(), 15*time.Second) },
	"leader cut, store": func(s *restoreSim) { s.leader().cutFromStore = s.now.Add(5 * time.Second) },
	"leader cut, servers": func(s *restoreSim) {
		s.leader().cutFromServers = s.now.Add(5 * time.Second)
	},
	"late appends": func(s *restoreSim) {
		for _, n := range s.instances {
			n.appendsLate = s.now.Add(3 * time.Second)
		}
	},
	"all killed": func(s *restoreSim) {
		for _, n := range s.instances {
			s.kill(n, time.Second)
		}
	},
	"store away":     func(s *restoreSim) { s.storeDown = s.now.Add(4 * time.Second) },
	"second return":  func(s *restoreSim) { s.store.restore(s.now, 2*time.Second) },
	"cut, then lost": func(s *restoreSim) { s.cutThenKill() },
}

// cutOff cuts an instance off from the store and from other instances, but not from the servers.
func (s *restoreSim) cutOff(n *simInstance, d time.Duration) {
	n.cutFromStore, n.cutFromPeers = s.now.Add(d), s.now.Add(d)
}

// cutThenKill cuts the leader off until another instance leads, whose record the store may lose, and then isolates that one.
func (s *restoreSim) cutThenKill() {
	s.cutOff(s.leader(), 5*time.Second)
	s.after(3*time.Second, func() {
		for _, n := range s.instances {
			if n.term != nil && !s.now.Before(n.cutFromStore) {
				s.cutOff(n, 12*time.Second)
			}
		}
	})
}

// TestDrillDelaysMovesOnlyShortly guards against a leader that waits for its predecessors' leases after the store was away
// for a while and came back from an older copy, although all instances have confirmed that none of them has led meanwhile.
func TestDrillDelaysMovesOnlyShortly(t *testing.T) {
	for seed := range *restoreSeeds {
		s := newRestoreSim(seed, simFlaws{})
		s.run(6 * time.Second)
		leader := s.leader()
		s.storeDown = s.now.Add(4 * time.Second)
		s.after(4*time.Second, func() { s.store.restore(s.now, 6*time.Second) })
		s.run(13 * time.Second)
		if s.violation != "" || s.leader() != leader || leader.term.frozen || !leader.elector.Settled() {
			t.Fatalf("seed %d: %s; led by %s, frozen %v", seed, s.violation, s.leader().name, leader.term.frozen)
		}
	}
}

// runRestore simulates one return of the store from a copy as old as age, and a fault some time before or after it.
func runRestore(seed int64, flaws simFlaws, fault func(*restoreSim)) *restoreSim {
	s := newRestoreSim(seed, flaws)
	random := rand.New(rand.NewSource(seed))
	returnAt := 6*time.Second + time.Duration(random.Intn(3000))*time.Millisecond
	faultAt := returnAt + time.Duration(random.Intn(9000)-6000)*time.Millisecond
	age := time.Duration(200+random.Intn(7000)) * time.Millisecond
	s.after(returnAt, func() { s.store.restore(s.now, age) })
	s.after(faultAt, func() { fault(s) })
	s.run(simDuration)
	return s
}

// restoreSeeds is the number of simulations with each fault; each draws the moments of the return and of the fault.
var restoreSeeds = flag.Int64("restore.seeds", 20, "simulated returns of the store with each fault")

// simFlawSeeds is the number of seeds, from a given one on, within which a disabled mechanism must lead to a violation.
const simFlawSeeds = 40

// TestKeysHaveOneOwnerAfterTheStoreReturns guards against two owners of a key, fences that fall, and keys that stay
// without an owner, after the store came back from an older copy, at any moment of an election, a move or a renewal, singly
// and together with another fault.
func TestKeysHaveOneOwnerAfterTheStoreReturns(t *testing.T) {
	for name, fault := range simFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *restoreSeeds {
				s := runRestore(seed, simFlaws{}, fault)
				if s.violation != "" || s.unserved() > 0 {
					t.Fatalf("seed %d: %s; %d keys unserved at the end", seed, s.violation, s.unserved())
				}
			}
		})
	}
}

// TestStoreReturnsDetectDisabledMechanisms guards against checks that can't fail: with a mechanism disabled, the simulations
// of TestKeysHaveOneOwnerAfterTheStoreReturns must show a violation.
func TestStoreReturnsDetectDisabledMechanisms(t *testing.T) {
	tests := map[string]struct {
		flaws     simFlaws
		fault     string
		firstSeed int64
	}{
		"eras are ignored":              {flaws: simFlaws{ignoresEras: true}, fault: "cut, then lost"},
		"an old plan counts as certain": {flaws: simFlaws{trustsOldPlans: true}, fault: "leader cut, store"},
		"a leader always continues":     {flaws: simFlaws{alwaysContinues: true}, fault: "store away", firstSeed: 290},
		"appends of another era do count": {
			flaws: simFlaws{countsForeignAppends: true}, fault: "leader killed", firstSeed: 110,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range int64(simFlawSeeds) {
				s := runRestore(test.firstSeed+seed, test.flaws, simFaults[test.fault])
				if s.violation != "" {
					t.Logf("seed %d: %s", test.firstSeed+seed, s.violation)
					return
				}
			}
			t.Fatal("no violation")
		})
	}
}

// TestLiveLeaderGoesOnAfterTheStoreReturns guards against keys that are not served, or moved, because the store came back
// from an older copy while the leader lives: the leader stores the plan again at once, and finishes the moves in progress.
func TestLiveLeaderGoesOnAfterTheStoreReturns(t *testing.T) {
	for seed := range *restoreSeeds {
		s := newRestoreSim(seed, simFlaws{})
		s.run(6*time.Second + time.Duration(seed)*simStep)
		leader := s.leader()
		s.store.restore(s.now, 3*time.Second)
		s.moveUntil = s.now
		for range 100 {
			s.run(s.now.Sub(simStart) + 100*time.Millisecond)
			if s.now.Sub(s.moveUntil) > time.Second && s.unserved() > 0 {
				t.Fatalf("seed %d: %d keys unserved %v after the return", seed, s.unserved(), s.now.Sub(s.moveUntil))
			}
		}
		if s.violation != "" || s.leader() != leader || !leader.elector.Settled() {
			t.Fatalf("seed %d: %s; led by %s, settled %v", seed, s.violation, s.leader().name, leader.elector.Settled())
		}
		if _, plan := s.store.newest(); plan.term != leader.termNumber {
			t.Fatalf("seed %d: the plan was not stored again", seed)
		}
	}
}
