package granter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// highestFence returns the highest fence of the ranges.
func highestFence(g *Granter) uint64 {
	highest := uint64(0)
	for _, o := range g.ranges {
		highest = max(highest, o.fence)
	}
	return highest
}

// TestFencesDoNotRunIntoTheNextTerm guards against fences of one term that equal those of a later leader, because the term
// has used up its fences: the granter asks for a new term in time, and sends no orders rather than use a fence again.
func TestFencesDoNotRunIntoTheNextTerm(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, flaws{})
	sim.run(time.Second, 0)
	g := sim.leader().granter
	is.True(!g.NeedsNewTerm())
	g.fenceCount = maxFenceCount - fenceReserve
	is.True(g.NeedsNewTerm())
	g.fenceCount = maxFenceCount - 1
	for range 5 {
		is.True(g.nextFence() < (g.term+1)<<fenceCountBits)
	}
	is.Equal(len(g.Tick(sim.now.Add(time.Minute))), 0)
	g.ContinueTerm(g.term + 1)
	is.True(!g.NeedsNewTerm())
	is.True(len(g.Tick(sim.now.Add(time.Minute))) > 0)
}

// TestContinuedTermRaisesFencesAndStoresThePlanAgain guards against fences that fall, keys that pause, and a plan that is
// missing from the store, when a leader goes on with a new term.
func TestContinuedTermRaisesFencesAndStoresThePlanAgain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, flaws{})
	sim.run(time.Second, 0)
	l := sim.leader()
	_, sequence, unstored := l.granter.Plan()
	is.True(!unstored)
	before := highestFence(l.granter)
	l.granter.ContinueTerm(l.granter.term + 1)
	for _, o := range l.granter.ranges {
		is.True(o.fence > before)
	}
	_, again, unstored := l.granter.Plan()
	is.True(unstored && again > sequence)
	l.storedSequence, l.maybeStoredSequence = 0, 0
	for range 40 {
		sim.run(100*time.Millisecond, 0)
		is.Equal(sim.unservedKeys(), 0)
	}
	is.Equal(sim.violation, "")
}

// TestFrozenGranterOnlyRenews guards against keys that move, or pause, while another leader may have moved them.
func TestFrozenGranterOnlyRenews(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, flaws{})
	sim.run(time.Second, 0)
	g := sim.leader().granter
	g.Freeze()
	r := partitioner.Range{First: 100, Last: 200}
	is.True(!g.StartMove(sim.now, service, r, "s1"))
	sim.servers[2].registration.State = cataloger.Draining // its keys would move
	sim.updateServers()
	for range 60 {
		sim.run(100*time.Millisecond, 0)
		is.Equal(sim.unservedKeys(), 0)
	}
	for _, o := range g.ranges {
		is.Equal(o.state, granted)
	}
	g.ContinueTerm(g.term + 1)
	is.True(g.StartMove(sim.now, service, r, "s1"))
}

// TestDistrustedPlanGrantsNothingEarly guards against keys that are granted on the strength of a plan that may be older than
// what another leader granted, and against clients that are not told how long that takes.
func TestDistrustedPlanGrantsNothingEarly(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, flaws{})
	sim.run(time.Second, 0)
	until := sim.now.Add(5 * time.Second)
	g := New(testSettings, sim.now, 9, sim.plan, sim.now)
	g.DistrustPlan(until)
	g.SetServers(sim.now, []string{service, "new"}, sim.registrations())
	_, sequence, unstored := g.Plan()
	is.True(unstored)
	g.SetStoredPlans(sequence, sequence)
	for now := sim.now; now.Before(until); now = now.Add(timeStep) {
		is.Equal(len(g.Tick(now)), 0)
	}
	for _, s := range g.Segments(sim.now) {
		is.True(s.Moving)
		is.Equal(s.PauseMS, uint32(5000))
	}
	is.Equal(len(g.Tick(until)), len(g.ranges))
}

// TestUngrantedRangesAreThoseOfTheService guards against moves of a service that wait for ranges of another one.
func TestUngrantedRangesAreThoseOfTheService(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, flaws{})
	sim.run(time.Second, 0)
	g := sim.leader().granter
	is.True(g.StartMove(sim.now, service, partitioner.Range{First: 100, Last: 200}, "s1"))
	is.Equal(g.UngrantedRanges(service), 1)
	is.Equal(g.UngrantedRanges("another"), 0)
}

// TestExclusionFollowsLeaseDuration guards against servers that are excluded for much longer than their leases last.
func TestExclusionFollowsLeaseDuration(t *testing.T) {
	is := is.New(t)
	settings := testSettings
	settings.LeaseDuration = time.Second
	g := New(settings, epoch, 1, nil, epoch)
	g.excludeServer(epoch, "s1")
	is.Equal(g.exclusions["s1"].until, epoch.Add(2*time.Second))
	for range 10 {
		g.excludeServer(g.exclusions["s1"].until, "s1")
	}
	is.Equal(g.exclusions["s1"].duration, 16*time.Second)
}

// TestReleasedRangePublishesWhenItCanBeGranted guards against clients that wait for a range which its owner has released, but
// which can be granted to no other server before the leases of an earlier leader's unanswered grants have expired.
func TestReleasedRangePublishesWhenItCanBeGranted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, flaws{})
	sim.run(time.Second, 0)
	sim.elect() // the ranges are inherited
	sim.run(200*time.Millisecond, 0)
	g := sim.leader().granter
	inherited := g.sortedRanges()[0]
	g.startRelease(sim.now, inherited, "") // as for a server that no longer gets requests
	for _, order := range g.Tick(sim.now) {
		if release, ok := order.(Release); ok {
			g.CompleteRelease(sim.now, release, Accepted, "state")
		}
	}
	is.Equal(inherited.state, releasing)
	pause := inherited.pendingExpiry().Sub(sim.now)
	is.True(pause > 3*time.Second)
	for _, s := range g.ChangedSegments(sim.now) {
		if s.Range == inherited.Range {
			is.Equal(s.PauseMS, uint32(pause.Milliseconds()))
			return
		}
	}
	t.Fatal("the pause was not published")
}
