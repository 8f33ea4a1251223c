package granter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

const (
	// seeds is how many runs each check has.
	seeds = 200
	// flawSeeds is how many runs a flaw has to show itself in.
	flawSeeds = 2000
)

// TestOneOwnerUnderFaults plays crashes, restarts, moves, lost and late orders, leaving servers and leaders that don't
// know that they were replaced. Afterwards every key is served again.
func TestOneOwnerUnderFaults(t *testing.T) {
	for seed := range int64(seeds) {
		w := newWorld(seed, 5, flaws{})
		w.run(40*time.Second, 3)
		if w.breach != "" {
			t.Fatalf("seed %d: %s", seed, w.breach)
		}
		for _, s := range w.servers {
			s.up, s.entry.State = true, cataloger.Ready
		}
		w.tellServers()
		w.run(30*time.Second, 0)
		if w.breach != "" || w.unserved() > 0 {
			t.Fatalf("seed %d: %s; %d keys unserved at the end", seed, w.breach, w.unserved())
		}
	}
}

// mechanisms are what keeps keys from two owners; each can be taken away. A new incarnation that is not seen meets a renewal
// with a fence of its own, so that both mechanisms are taken away there.
var mechanisms = map[string]flaws{
	"an order without an answer counts as not sent": {trustsSilence: true},
	"an earlier leader counts as stopped":           {forgetsLeader: true},
	"grants before the plan is stored":              {grantsUnstored: true},
	"grants are taken to end early":                 {shortLapse: true},
	"servers ignore fences":                         {ignoresFencing: true},
	"a server's new incarnation is not seen":        {keepsReborn: true, repeatsFences: true},
	"a release without an answer counts as done":    {releasesBlindly: true},
	"a plan without an answer counts as not stored": {returnsBlindly: true},
}

// TestChecksSeeFlaws takes single mechanisms away; the same runs must then show a breach.
func TestChecksSeeFlaws(t *testing.T) {
	for name, f := range mechanisms {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(flawSeeds) {
				w := newWorld(seed, 5, f)
				w.run(40*time.Second, 3)
				if w.breach != "" {
					t.Logf("seed %d: %s", seed, w.breach)
					return
				}
			}
			t.Fatal("no breach")
		})
	}
}

func TestMoveKeepsItsHandover(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, flaws{})
	w.run(time.Second, 0)
	g := w.leaders[0].granter
	r := partitioner.Range{First: 100, Last: 200}
	is.True(g.StartMove(w.now, service, r, "s1"))
	orders := g.Tick(w.now)
	release := orders[len(orders)-1].(Release)
	is.Equal(release.Range, r)
	is.Equal(release.Server, "s0")
	g.CompleteRelease(w.now, release, Accepted, "state")
	_, sequence, stale := g.Plan()
	is.True(stale)
	for _, o := range g.Tick(w.now) {
		if grant, ok := o.(Grant); ok {
			is.True(grant.Server != "s1" || grant.Range != r) // the store does not know yet
		}
	}
	g.PlanStored(sequence, sequence)
	var given Grant
	for _, o := range g.Tick(w.now) {
		if grant, ok := o.(Grant); ok && grant.Range == r {
			given = grant
		}
	}
	is.Equal(given.Server, "s1")
	is.Equal(given.Handover, "state")
	is.True(given.Fence > release.Fence)
}

// TestReleasedRangeGoesBackWhileTheStoreIsDown: its next owner can't be named in the store, and its last one still is.
func TestReleasedRangeGoesBackWhileTheStoreIsDown(t *testing.T) {
	for name, sent := range map[string]bool{"not sent": false, "sent without an answer": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, 2, flaws{})
			w.run(time.Second, 0)
			l := w.leaders[0]
			r := partitioner.Range{First: 100, Last: 200}
			is.True(l.granter.StartMove(w.now, service, r, "s1"))
			w.down = w.now.Add(time.Minute)
			w.run(2*step, 0)
			if _, sequence, stale := l.granter.Plan(); stale && sent {
				l.maybe = sequence
			}
			w.run(testTimes.PersistTimeout+2*step, 0)
			owned := w.servers[0].owns(w.now, 150)
			is.Equal(owned, !sent)
			is.True(!w.servers[1].owns(w.now, 150))
			w.down = w.now
			w.run(time.Second, 0)
			is.Equal(w.unserved(), 0)
		})
	}
}

// TestRangeOfAnEarlierLeaderIsGrantedBeforeItIsReleased: until the server knows of this leader's fence, it goes on taking the
// renewals of an earlier one that does not know that it was replaced, also after a release.
func TestRangeOfAnEarlierLeaderIsGrantedBeforeItIsReleased(t *testing.T) {
	is := is.New(t)
	plan := []Assignment{{Service: service, Range: partitioner.Range{Last: partitioner.MaxKey}, Server: "leaving"}}
	g := New(testTimes, epoch, 2, plan, epoch.Add(time.Minute))
	g.SetServers(epoch, []string{service}, []cataloger.Server{
		{ID: "leaving", Service: service, State: cataloger.Draining}, {ID: "live", Service: service},
	})
	orders := g.Tick(epoch)
	is.Equal(len(orders), 1)
	grant, ok := orders[0].(Grant)
	is.True(ok)
	is.Equal(grant.Server, "leaving")
	g.CompleteGrant(epoch, grant, Accepted)
	is.Equal(len(g.Tick(epoch)), 0) // a grant of the earlier leader may still be on its way, so it serves on
	later := epoch.Add(testTimes.MaxLeaseLifetime())
	release, ok := g.Tick(later)[0].(Release)
	is.True(ok)
	g.CompleteRelease(later, release, Accepted, "state")
	is.Equal(g.Segments(later)[0].Server, "live")
}

func TestTakeoverServesOnWithoutAGap(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 4, flaws{})
	w.run(5*time.Second, 0)
	is.Equal(w.unserved(), 0)
	w.elect()
	for range 100 {
		w.run(step, 0)
		is.Equal(w.unserved(), 0)
	}
}

func TestLostServerIsReplacedAfterItsHold(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 4, flaws{})
	w.run(5*time.Second, 0)
	w.servers[2].up = false
	w.run(testTimes.MaxLeaseLifetime()+testTimes.RenewInterval+time.Second, 0)
	is.Equal(w.unserved(), 0)
}

// TestPredecessorThatStopsFreesItsServers: a server that the new leader can't reach waits for the old one's authority to
// end, or for the news that it has stopped.
// TestServerWhoseAnswersAreLostIsReplaced: renewals without an answer would let it own its keys for ever, though clients
// get no answers either.
func TestServerWhoseAnswersAreLostIsReplaced(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, flaws{})
	w.run(5*time.Second, 0)
	w.servers[0].mute = true
	w.run(testTimes.LeaseDuration+2*testTimes.MaxLeaseLifetime(), 0)
	is.Equal(w.breach, "")
	is.Equal(w.unserved(), 0)
	g := w.leaders[0].granter
	for _, s := range g.Segments(w.now) {
		is.True(s.Server != "s0")
	}
	is.Equal(g.AssignableServers(w.now, service), []string{"s1", "s2"}) // and gets nothing new for a while
	w.servers[0].mute = false
	w.run(exclusionFirst, 0)
	is.Equal(g.AssignableServers(w.now, service), []string{"s0", "s1", "s2"})
}

// TestServersGivenUpServeWhereThereIsNoOther: exclusion never leaves keys without an owner.
func TestServersGivenUpServeWhereThereIsNoOther(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, flaws{})
	w.run(5*time.Second, 0)
	w.servers[0].mute = true
	w.run(testTimes.LeaseDuration+2*testTimes.MaxLeaseLifetime(), 0)
	w.servers[0].mute = false
	w.run(2*testTimes.MaxLeaseLifetime(), 0)
	is.Equal(w.unserved(), 0)
}

func TestPredecessorThatStopsFreesItsServers(t *testing.T) {
	for name, told := range map[string]bool{"stopped": true, "not known": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan := []Assignment{{Service: service, Range: partitioner.Range{Last: partitioner.MaxKey}, Server: "dead"}}
			g := New(testTimes, epoch, 2, plan, epoch.Add(time.Minute))
			g.SetServers(epoch, []string{service}, []cataloger.Server{{ID: "dead", Service: service}, {ID: "live", Service: service}})
			if told {
				g.PredecessorStopped(epoch)
			}
			for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(step) {
				for _, o := range g.Tick(now) {
					if grant, ok := o.(Grant); ok && grant.Server == "dead" {
						g.CompleteGrant(now, grant, NotSent)
					}
				}
			}
			segments := g.Segments(epoch)
			is.Equal(segments[0].Server == "live", told)
		})
	}
}

// TestUnansweredReleaseTellsHowLongItTakes: traffic must be able to refuse at once what would wait for a lost server.
func TestUnansweredReleaseTellsHowLongItTakes(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, flaws{})
	w.run(time.Second, 0)
	g := w.leaders[0].granter
	r := partitioner.Range{First: 100, Last: 200}
	is.True(g.StartMove(w.now, service, r, "s1"))
	g.ChangedSegments(w.now)
	orders := g.Tick(w.now)
	g.CompleteRelease(w.now, orders[len(orders)-1].(Release), NotSent, "")
	changed := g.ChangedSegments(w.now)
	is.Equal(len(changed), 1)
	is.True(changed[0].Moving)
	is.True(changed[0].PauseMS > 2000 && changed[0].PauseMS <= uint32(testTimes.MaxLeaseLifetime().Milliseconds()))
}

// TestEndedServerFreesItsKeysAtOnce: the address of a server belongs to another one, so it has surely ended.
func TestEndedServerFreesItsKeysAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, flaws{})
	w.run(time.Second, 0)
	g := w.leaders[0].granter
	g.SetServers(w.now, []string{service}, w.entries()[1:])
	g.ServersEnded(map[string]bool{"s0": true})
	g.Tick(w.now)
	for _, h := range g.Segments(w.now) {
		is.Equal(h.Server, "s1")
	}
	_, _, stale := g.Plan()
	is.True(stale)
}

// TestRefusedOrdersDoNotExtendAGrant: whoever answers at the server's address takes no orders, so the last grant runs out.
// TestRenewalFindsANewIncarnation: a server starts anew between two renewals, before its entry says so. What it is granted
// then has a higher fence than what its last incarnation had.
func TestRenewalFindsANewIncarnation(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, flaws{})
	w.run(2*time.Second, 0)
	s := w.servers[0]
	s.held, s.seen = nil, map[int]uint64{}
	s.entry.Incarnation++
	w.run(2*testTimes.RenewInterval, 0)
	is.Equal(w.breach, "")
	is.Equal(w.unserved(), 0)
}

func TestRefusedOrdersDoNotExtendAGrant(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, flaws{})
	w.run(time.Second, 0)
	g := w.leaders[0].granter
	end := w.now.Add(testTimes.MaxLeaseLifetime() + time.Second)
	count := 0
	for ; w.now.Before(end); w.now = w.now.Add(step) {
		for _, o := range g.Tick(w.now) {
			grant, ok := o.(Grant)
			switch {
			case ok && grant.Server == "s0":
				count++
				g.CompleteGrant(w.now, grant, NotSent)
			case ok:
				g.CompleteGrant(w.now, grant, Accepted)
			}
		}
		if _, sequence, stale := g.Plan(); stale {
			g.PlanStored(sequence, sequence)
		}
	}
	is.True(count <= int(end.Sub(epoch)/testTimes.RetryDelay)+1) // no faster than told
	for _, h := range g.Segments(w.now) {
		is.Equal(h.Server, "s1")
	}
}

// TestSharesShowWhereTheLoadWillBe: a range counts at its next owner from the decision to move it, and one under an order
// stays counted.
func TestSharesShowWhereTheLoadWillBe(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, flaws{})
	w.run(2*time.Second, 0)
	g := w.leader().granter
	of := func(server string) (ranges, movable int) {
		for _, s := range g.Placements(w.now, service) {
			if s.Server != server {
				continue
			}
			ranges++
			if s.Movable {
				movable++
			}
		}
		return ranges, movable
	}
	is.True(g.StartMove(w.now, service, partitioner.Range{First: 0, Last: 999}, "s1"))
	ranges, movable := of("s1")
	is.Equal(ranges, 2)
	is.Equal(movable, 1)
	w.run(2*time.Second, 0)
	renewal := g.Tick(w.now.Add(testTimes.RenewInterval)) // orders to all ranges are under way
	is.Equal(len(renewal), 3)
	ranges, movable = of("s1")
	is.Equal(ranges, 2)
	is.Equal(movable, 0)
}
