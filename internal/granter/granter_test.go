package granter

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

const (
	// randomFaultDuration and randomFaultPercent are the simulated time with random faults and their probability per time
	// step. Both tests use the same, so that the second shows what the first can detect.
	randomFaultDuration = 40 * time.Second
	randomFaultPercent  = 3
	// seeds is the number of simulations with random faults, each with its own seed.
	seeds = 200
	// flawSeeds is the number of seeds within which a disabled mechanism must lead to a violation.
	flawSeeds = 2000
)

// TestKeysHaveOneOwnerUnderRandomFaults guards against two owners of a key, fences that don't rise, an owner map that
// differs from its leader, and keys that stay unserved after the faults. It simulates server crashes and restarts, moves,
// lost and late orders, draining servers, an unreachable store, and leaders that do not know that they were replaced.
func TestKeysHaveOneOwnerUnderRandomFaults(t *testing.T) {
	for seed := range int64(seeds) {
		sim := newSimulation(seed, 5, flaws{})
		sim.run(randomFaultDuration, randomFaultPercent)
		if sim.violation != "" {
			t.Fatalf("seed %d: %s", seed, sim.violation)
		}
		for _, s := range sim.servers {
			s.up, s.registration.State = true, cataloger.Ready
		}
		sim.updateServers()
		sim.run(30*time.Second, 0)
		if sim.violation != "" || sim.unservedKeys() > 0 {
			t.Fatalf("seed %d: %s; %d keys unserved at the end", seed, sim.violation, sim.unservedKeys())
		}
	}
}

// disabledMechanisms lists flaws that each disable a mechanism against two owners of a key. An undetected new incarnation is
// still covered by the renewals, each of which has a new fence, so both mechanisms are disabled for it.
var disabledMechanisms = map[string]flaws{
	"an unanswered order counts as not sent":     {unansweredIsNotSent: true},
	"an earlier leader counts as stopped":        {ignoresPredecessor: true},
	"grants are sent before the plan is stored":  {grantsBeforeStored: true},
	"leases count as expired too early":          {expiresEarly: true},
	"servers ignore fences":                      {ignoresFences: true},
	"a server's new incarnation is not detected": {ignoresRegistrationChanges: true, reusesFences: true},
	"an unanswered release counts as done":       {unansweredReleaseIsDone: true},
	"an unanswered plan counts as not stored":    {unansweredPlanIsNotStored: true},
}

// TestLateAnswersDetectMissingConfirmations guards against a fault table in which a server that repeats its answers does no harm.
func TestLateAnswersDetectMissingConfirmations(t *testing.T) {
	for name, step := range grantSteps {
		for _, fault := range []string{"the owner repeats answers", "the next owner repeats answers"} {
			sim := faultPair{first: fault, second: fault}.simulate(func(sim *simulation) {
				step(sim)
				faults[fault](sim)
				sim.run(2*time.Second, 0)
				sim.moveToNextOwner()
			}, flaws{anyAnswerConfirms: true})
			if sim.violation != "" {
				t.Logf("%s, %s: %s", name, fault, sim.violation)
				return
			}
		}
	}
	t.Error("no violation")
}

// TestRandomFaultsDetectDisabledMechanisms guards against checks that can't fail: with a mechanism disabled, the simulations
// of TestKeysHaveOneOwnerUnderRandomFaults must show a violation.
func TestRandomFaultsDetectDisabledMechanisms(t *testing.T) {
	for name, f := range disabledMechanisms {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(flawSeeds) {
				sim := newSimulation(seed, 5, f)
				sim.run(randomFaultDuration, randomFaultPercent)
				if sim.violation != "" {
					t.Logf("seed %d: %s", seed, sim.violation)
					return
				}
			}
			t.Fatal("no violation")
		})
	}
}

// TestMovePassesHandoverAfterPlanIsStored guards against a grant to the next owner that is sent before its plan is stored,
// or that lacks the handover of the previous owner.
func TestMovePassesHandoverAfterPlanIsStored(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, flaws{})
	sim.run(time.Second, 0)
	g := sim.leaders[0].granter
	r := partitioner.Range{First: 100, Last: 200}
	is.True(g.StartMove(sim.now, service, r, "s1"))
	orders := g.Tick(sim.now)
	release := orders[len(orders)-1].(Release)
	is.Equal(release.Range, r)
	is.Equal(release.Server, "s0")
	g.CompleteRelease(sim.now, release, Accepted, "state")
	_, sequence, unstored := g.Plan()
	is.True(unstored)
	for _, o := range g.Tick(sim.now) {
		if grant, ok := o.(Grant); ok {
			is.True(grant.Server != "s1" || grant.Range != r) // the plan is not stored yet
		}
	}
	g.SetStoredPlans(sequence, sequence)
	var received Grant
	for _, o := range g.Tick(sim.now) {
		if grant, ok := o.(Grant); ok && grant.Range == r {
			received = grant
		}
	}
	is.Equal(received.Server, "s1")
	is.Equal(received.Handover, "state")
	is.True(received.Fence > release.Fence)
}

// TestLeaderWithoutPathsKeepsOwners guards against a leader that takes its own lost paths for failed servers, excludes all of them
// and leaves the keys without an owner when the paths are back.
func TestLeaderWithoutPathsKeepsOwners(t *testing.T) {
	tests := map[string]struct {
		unreachable []string
		kept        bool
	}{
		"paths lost":               {unreachable: []string{service}, kept: true},
		"paths of another service": {unreachable: []string{"other"}},
		"servers do not answer":    {},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 4, flaws{})
			sim.run(time.Second, 0)
			g := sim.leaders[0].granter
			before := g.Segments(sim.now)
			g.SetUnreachable(sim.now, tc.unreachable)
			for end := sim.now.Add(3 * testSettings.LeaseDuration); sim.now.Before(end); sim.now = sim.now.Add(50 * time.Millisecond) {
				for _, o := range g.Tick(sim.now) {
					if grant, ok := o.(Grant); ok {
						g.CompleteGrant(sim.now, grant, NotSent)
					}
				}
			}
			is.Equal(slices.EqualFunc(before, g.Segments(sim.now), func(a, b partitioner.Segment) bool {
				return a.Server == b.Server && !b.Moving
			}), tc.kept)
			g.SetUnreachable(sim.now, nil)
			if !tc.kept {
				return
			}
			for _, o := range g.Tick(sim.now) {
				g.CompleteGrant(sim.now, o.(Grant), Accepted)
			}
			is.Equal(g.UngrantedRanges(service), 0)
		})
	}
}

// TestReleasedRangeReturnsToPreviousOwnerWhileStoreIsUnreachable guards against keys that stay unserved meanwhile: the
// plan with the next owner can't be stored, and the stored plan still names the previous owner. If the new plan was sent but
// not answered, it may be in the store, so the range must not return.
func TestReleasedRangeReturnsToPreviousOwnerWhileStoreIsUnreachable(t *testing.T) {
	for name, planSent := range map[string]bool{"plan not sent": false, "plan sent without an answer": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 2, flaws{})
			sim.run(time.Second, 0)
			l := sim.leaders[0]
			r := partitioner.Range{First: 100, Last: 200}
			is.True(l.granter.StartMove(sim.now, service, r, "s1"))
			sim.storeUnreachableUntil = sim.now.Add(time.Minute)
			sim.run(2*timeStep, 0)
			if _, sequence, unstored := l.granter.Plan(); unstored && planSent {
				l.maybeStoredSequence = sequence
			}
			sim.run(testSettings.PersistTimeout+2*timeStep, 0)
			owned := sim.servers[0].owns(sim.now, 150)
			is.Equal(owned, !planSent)
			is.True(!sim.servers[1].owns(sim.now, 150))
			sim.storeUnreachableUntil = sim.now
			sim.run(time.Second, 0)
			is.Equal(sim.unservedKeys(), 0)
		})
	}
}

// TestInheritedRangeIsGrantedBeforeRelease guards against a server that owns a range after its release: until it has
// seen a fence of this leader, it accepts renewals of the previous leader, which may not know that it was replaced.
func TestInheritedRangeIsGrantedBeforeRelease(t *testing.T) {
	is := is.New(t)
	plan := []Assignment{{Service: service, Range: partitioner.Range{Last: partitioner.MaxKey}, Server: "draining"}}
	g := New(testSettings, epoch, 2, plan, epoch.Add(time.Minute))
	g.SetServers(epoch, []string{service}, []cataloger.Server{
		{ID: "draining", Service: service, State: cataloger.Draining}, {ID: "live", Service: service},
	})
	orders := g.Tick(epoch)
	is.Equal(len(orders), 1)
	grant, ok := orders[0].(Grant)
	is.True(ok)
	is.Equal(grant.Server, "draining")
	g.CompleteGrant(epoch, grant, Accepted)
	is.Equal(len(g.Tick(epoch)), 0) // a grant of the previous leader may still arrive, so the server keeps the range
	later := epoch.Add(testSettings.MaxLeaseLifetime())
	release, ok := g.Tick(later)[0].(Release)
	is.True(ok)
	g.CompleteRelease(later, release, Accepted, "state")
	is.Equal(g.Segments(later)[0].Server, "live")
}

// TestTakeoverKeepsAllKeysServed guards against keys that are not served for a while after a new leader is elected.
func TestTakeoverKeepsAllKeysServed(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4, flaws{})
	sim.run(5*time.Second, 0)
	is.Equal(sim.unservedKeys(), 0)
	sim.elect()
	for range 100 {
		sim.run(timeStep, 0)
		is.Equal(sim.unservedKeys(), 0)
	}
}

// TestKeysOfCrashedServerAreServedAgain guards against keys that stay with a server that no longer answers.
func TestKeysOfCrashedServerAreServedAgain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4, flaws{})
	sim.run(5*time.Second, 0)
	sim.servers[2].up = false
	sim.run(testSettings.MaxLeaseLifetime()+testSettings.RenewInterval+time.Second, 0)
	is.Equal(sim.unservedKeys(), 0)
}

// TestServerWhoseAnswersAreLostIsReplaced guards against renewals that extend the lease of a server indefinitely while none
// of its answers arrive: clients get no answers from it either.
func TestServerWhoseAnswersAreLostIsReplaced(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, flaws{})
	sim.run(5*time.Second, 0)
	sim.servers[0].losesAnswers = true
	sim.run(testSettings.LeaseDuration+2*testSettings.MaxLeaseLifetime(), 0)
	is.Equal(sim.violation, "")
	is.Equal(sim.unservedKeys(), 0)
	g := sim.leaders[0].granter
	for _, s := range g.Segments(sim.now) {
		is.True(s.Server != "s0")
	}
	is.Equal(g.AssignableServers(sim.now, service), []string{"s1", "s2"}) // s0 is excluded for a while
	sim.servers[0].losesAnswers = false
	sim.run(minExclusionLeases*testSettings.LeaseDuration, 0)
	is.Equal(g.AssignableServers(sim.now, service), []string{"s0", "s1", "s2"})
}

// TestExcludedServerServesWhenItIsTheOnlyOne guards against keys without an owner because all servers are excluded.
func TestExcludedServerServesWhenItIsTheOnlyOne(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, flaws{})
	sim.run(5*time.Second, 0)
	sim.servers[0].losesAnswers = true
	sim.run(testSettings.LeaseDuration+2*testSettings.MaxLeaseLifetime(), 0)
	sim.servers[0].losesAnswers = false
	sim.run(2*testSettings.MaxLeaseLifetime(), 0)
	is.Equal(sim.unservedKeys(), 0)
}

// TestStoppedPredecessorFreesRangesOfUnreachableServer guards against waiting too long or too short for a server that
// the new leader can't reach: its ranges are free once the leases of the previous leader have expired, which is earlier if
// that leader is known to have stopped.
func TestStoppedPredecessorFreesRangesOfUnreachableServer(t *testing.T) {
	for name, predecessorStopped := range map[string]bool{
		"predecessor stopped":                   true,
		"predecessor not known to have stopped": false,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan := []Assignment{{Service: service, Range: partitioner.Range{Last: partitioner.MaxKey}, Server: "dead"}}
			g := New(testSettings, epoch, 2, plan, epoch.Add(time.Minute))
			g.SetServers(epoch, []string{service}, []cataloger.Server{
				{ID: "dead", Service: service}, {ID: "live", Service: service},
			})
			if predecessorStopped {
				g.PredecessorStopped(epoch, nil, false)
			}
			for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(timeStep) {
				for _, o := range g.Tick(now) {
					if grant, ok := o.(Grant); ok && grant.Server == "dead" {
						g.CompleteGrant(now, grant, NotSent)
					}
				}
			}
			segments := g.Segments(epoch) // the time matters only for PauseMS
			is.Equal(segments[0].Server == "live", predecessorStopped)
		})
	}
}

// TestFailedReleasePublishesExpectedPause guards against requests that wait for an unreachable server: with the expected
// pause, instances can refuse them at once.
func TestFailedReleasePublishesExpectedPause(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, flaws{})
	sim.run(time.Second, 0)
	g := sim.leaders[0].granter
	r := partitioner.Range{First: 100, Last: 200}
	is.True(g.StartMove(sim.now, service, r, "s1"))
	g.ChangedSegments(sim.now)
	orders := g.Tick(sim.now)
	g.CompleteRelease(sim.now, orders[len(orders)-1].(Release), NotSent, "")
	changed := g.ChangedSegments(sim.now)
	is.Equal(len(changed), 1)
	is.True(changed[0].Moving)
	// The range was granted less than 2 s ago, so most of its lease is left.
	is.True(changed[0].PauseMS > 2000 && changed[0].PauseMS <= uint32(testSettings.MaxLeaseLifetime().Milliseconds()))
}

// TestRemovedServerKeepsItsRangesUntilItsLeasesEnd guards against keys that get another owner while a server that is missing from the
// store may still hold them: before it has answered a release, or before its leases have expired.
func TestRemovedServerKeepsItsRangesUntilItsLeasesEnd(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, flaws{})
	sim.run(time.Second, 0)
	g := sim.leaders[0].granter
	removed := sim.now
	g.SetServers(removed, []string{service}, sim.registrations()[1:])
	for now := removed; now.Sub(removed) < testSettings.MaxLeaseLifetime()-time.Second; now = now.Add(timeStep) {
		for _, order := range g.Tick(now) {
			switch o := order.(type) {
			case Grant:
				g.CompleteGrant(now, o, NotSent)
			case Release:
				is.Equal(o.Server, "s0")
				g.CompleteRelease(now, o, NotSent, "")
			}
		}
		owned := false
		for _, s := range g.Segments(now) {
			owned = owned || s.Server == "s0"
		}
		is.True(owned)
	}
	g.Tick(removed.Add(testSettings.MaxLeaseLifetime()))
	for _, s := range g.Segments(sim.now) {
		is.Equal(s.Server, "s1")
	}
	_, _, unstored := g.Plan()
	is.True(unstored)
}

// TestRenewalRaisesFenceForNewIncarnation guards against a fence that is not higher than those of the previous incarnation,
// after a server has restarted between two renewals and before its registration shows it.
func TestRenewalRaisesFenceForNewIncarnation(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, flaws{})
	sim.run(2*time.Second, 0)
	s := sim.servers[0]
	s.leases, s.highestFences = nil, map[int]uint64{}
	s.registration.Incarnation++
	sim.run(2*testSettings.RenewInterval, 0)
	is.Equal(sim.violation, "")
	is.Equal(sim.unservedKeys(), 0)
}

// TestUnsentGrantsDoNotExtendLease guards against waiting for grants that the server certainly has not received, as when
// another process answers at its address: the lease of the latest answered grant expires, and retries keep to the retry
// delay.
func TestUnsentGrantsDoNotExtendLease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, flaws{})
	sim.run(time.Second, 0)
	g := sim.leaders[0].granter
	end := sim.now.Add(testSettings.MaxLeaseLifetime() + time.Second)
	count := 0
	for ; sim.now.Before(end); sim.now = sim.now.Add(timeStep) {
		for _, o := range g.Tick(sim.now) {
			grant, ok := o.(Grant)
			switch {
			case ok && grant.Server == "s0":
				count++
				g.CompleteGrant(sim.now, grant, NotSent)
			case ok:
				g.CompleteGrant(sim.now, grant, Accepted)
			}
		}
		if _, sequence, unstored := g.Plan(); unstored {
			g.SetStoredPlans(sequence, sequence)
		}
	}
	is.True(count <= int(end.Sub(epoch)/testSettings.RetryDelay)+1) // no faster than the retry delay allows
	for _, s := range g.Segments(sim.now) {
		is.Equal(s.Server, "s1")
	}
}

// TestPlacementsCountMovingRangesAtNextOwner guards against load that is counted at the wrong server or not at all: a range
// counts at its next owner from the start of the move, and keeps counting while an order for it is in flight.
func TestPlacementsCountMovingRangesAtNextOwner(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, flaws{})
	sim.run(2*time.Second, 0)
	g := sim.leader().granter
	countPlacements := func(server string) (ranges, movable int) {
		for _, p := range g.Placements(sim.now, service) {
			if p.Server != server {
				continue
			}
			ranges++
			if p.Movable {
				movable++
			}
		}
		return ranges, movable
	}
	is.True(g.StartMove(sim.now, service, partitioner.Range{First: 0, Last: 999}, "s1"))
	ranges, movable := countPlacements("s1")
	is.Equal(ranges, 2)
	is.Equal(movable, 1)
	sim.run(2*time.Second, 0)
	renewals := g.Tick(sim.now.Add(testSettings.RenewInterval)) // now an order for each range is in flight
	is.Equal(len(renewals), 3)
	ranges, movable = countPlacements("s1")
	is.Equal(ranges, 2)
	is.Equal(movable, 0)
}

// TestReleaseAfterRenewalWaitsOnlyForOrdersWithoutAnswer guards against keys that wait for a lease of an answered renewal, because their
// server was gone before the orders of the previous leader had ended, so that no grant confirmed the lease before the release.
func TestReleaseAfterRenewalWaitsOnlyForOrdersWithoutAnswer(t *testing.T) {
	is := is.New(t)
	plan := []Assignment{{Service: service, Range: partitioner.Range{Last: partitioner.MaxKey}, Server: "s0"}}
	g := New(testSettings, epoch, 2, plan, epoch.Add(time.Minute))
	servers := []cataloger.Server{{ID: "s0", Service: service}, {ID: "s1", Service: service}}
	g.SetServers(epoch, []string{service}, servers)
	for now := epoch; g.Segments(now)[0].Server == "s0"; now = now.Add(timeStep) {
		is.True(now.Before(epoch.Add(testSettings.MaxLeaseLifetime() + 2*timeStep)))
		if now.Sub(epoch) == 3*time.Second { // the latest renewal was at 2.4 s
			servers[0].State = cataloger.Gone
			g.SetServers(now, []string{service}, servers)
		}
		for _, order := range g.Tick(now) {
			switch o := order.(type) {
			case Grant:
				g.CompleteGrant(now, o, Accepted)
			case Release:
				g.CompleteRelease(now, o, Accepted, "")
			}
		}
	}
}
