package elector

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1000, 0)
	times = Settings{
		LeaseDuration: 20 * time.Second, RenewInterval: time.Second, ElectionTimeout: 2 * time.Second, SuspicionTimeout: 900 * time.Millisecond,
		RetryDelay: 250 * time.Millisecond, RefusalThreshold: 2, MaxJitter: 200 * time.Millisecond,
	}
	self  = Identity{Instance: "self", Incarnation: 1, Address: "self:1"}
	other = Identity{Instance: "other", Incarnation: 2, Address: "other:1"}
)

// at returns the time after start.
func at(d time.Duration) time.Time { return start.Add(d) }

// follower returns an Elector that follows other, heard of at start.
func follower() *Elector {
	e := New(times, start, self, 0)
	_ = e.Tick(start)
	e.LeaderRead(start, 5, Leader{Identity: other, Term: 3}, 0)
	e.ReportAnswered(start, true, false)
	return e
}

// leader returns an Elector that took the lead at start.
func leader() *Elector {
	e := New(times, start, self, 0)
	_ = e.Tick(start)
	e.LeaderRead(start, 0, Leader{}, 0)
	take := e.Tick(at(times.RetryDelay))
	e.AppendAcknowledged(start, start, take, 0)
	return e
}

func TestFirstInstanceTakesTheLead(t *testing.T) {
	is := is.New(t)
	e := New(times, start, self, 0)
	is.Equal(e.Tick(start), ReadLeader{})
	is.Equal(e.Tick(at(time.Second)), nil) // one call at a time
	e.LeaderRead(start, 0, Leader{}, 0)
	take := e.Tick(at(times.RetryDelay))
	is.Equal(take, AppendLeader{Leader: Leader{Identity: self, Term: 1}, Offset: 0})
	is.True(!e.Active(at(times.RetryDelay)))
	e.AppendAcknowledged(at(time.Second), at(times.RetryDelay), take, 0)
	taken, before := e.NewlyElected()
	is.True(taken)
	is.Equal(before, Identity{})
	is.True(e.Active(at(times.LeaseDuration))) // counted from sending
	is.True(!e.Active(at(times.RetryDelay + times.LeaseDuration)))
}

func TestTakeover(t *testing.T) {
	tests := map[string]struct {
		happens func(e *Elector)
		after   time.Duration
		want    Call
	}{
		"heard": {
			happens: func(e *Elector) { e.ReportAnswered(at(1500*time.Millisecond), true, false) },
			after:   2200 * time.Millisecond, want: nil,
		},
		"silent, looked for in the store first": {
			happens: func(*Elector) {}, after: time.Second, want: ReadLeader{},
		},
		"silent for long": {
			happens: func(*Elector) {}, after: 2100 * time.Millisecond, want: AppendLeader{Leader: Leader{Identity: self, Term: 6}, Offset: 5},
		},
		"silent, but its record was renewed": {
			happens: func(e *Elector) { e.LeaderRead(at(1900*time.Millisecond), 6, Leader{Identity: other, Term: 3}, 0) },
			after:   2500 * time.Millisecond, want: nil,
		},
		"refused once": {
			happens: func(e *Elector) { e.ReportFailed(true) }, after: 500 * time.Millisecond, want: nil,
		},
		"refused twice": {
			happens: func(e *Elector) { e.ReportFailed(true); e.ReportFailed(true) }, after: 500 * time.Millisecond,
			want: AppendLeader{Leader: Leader{Identity: self, Term: 6}, Offset: 5},
		},
		"refused, then silent": {
			happens: func(e *Elector) { e.ReportFailed(true); e.ReportFailed(false); e.ReportFailed(true) }, after: 500 * time.Millisecond,
			want: nil,
		},
		"leader has lost the store, this instance asks first whether it reaches it": {
			happens: func(e *Elector) { e.ReportAnswered(at(10*time.Second), true, true) }, after: 10 * time.Second, want: ReadLeader{},
		},
		"leader has lost the store, this instance reaches it": {
			happens: func(e *Elector) {
				e.ReportAnswered(at(10*time.Second), true, true)
				e.LeaderRead(at(10*time.Second), 5, Leader{Identity: other, Term: 3}, 0)
			},
			after: 10300 * time.Millisecond, want: AppendLeader{Leader: Leader{Identity: self, Term: 6}, Offset: 5},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := follower()
			test.happens(e)
			_ = e.Tick(at(test.after)) // starts the jitter, which is 0 here
			if test.want != nil {
				e.calling = false
			}
			is.Equal(e.Tick(at(test.after)), test.want)
		})
	}
}

func TestLeaderIsDeposed(t *testing.T) {
	is := is.New(t)
	e := leader()
	call := e.Tick(at(1100 * time.Millisecond))
	is.Equal(call, AppendLeader{Leader: Leader{Identity: self, Term: 1}, Offset: 1})
	e.CallFailed(at(1200*time.Millisecond), call, false, true)
	is.Equal(e.Tick(at(1200*time.Millisecond)), ReadLeader{})
	e.LeaderRead(at(1200*time.Millisecond), 2, Leader{Identity: other, Term: 2}, 0)
	is.Equal(e.Term(), uint64(0))
	is.True(!e.Active(at(1200 * time.Millisecond)))
}

func TestAppendWithoutAnswerIsLookedUp(t *testing.T) {
	tests := map[string]struct {
		end  int64
		lead Leader
		term uint64
	}{
		"it was done":          {end: 1, lead: Leader{Identity: self, Term: 1}, term: 1},
		"it was not done":      {end: 0, lead: Leader{}, term: 0},
		"another was faster":   {end: 1, lead: Leader{Identity: other, Term: 1}, term: 0},
		"an earlier life took": {end: 1, lead: Leader{Identity: Identity{Instance: "self", Incarnation: 9}, Term: 1}, term: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := New(times, start, self, 0)
			_ = e.Tick(start)
			e.LeaderRead(start, 0, Leader{}, 0)
			take := e.Tick(at(time.Second))
			e.CallFailed(at(2*time.Second), take, false, false)
			is.Equal(e.Tick(at(3*time.Second)), ReadLeader{})
			e.LeaderRead(at(3*time.Second), test.end, test.lead, 0)
			is.Equal(e.Term(), test.term)
			is.True(!e.Active(at(3 * time.Second))) // not before an append was acknowledged
		})
	}
}

// TestTakeoverWithoutAnswerKnowsItsPredecessor: the record of the lead was appended, but the answer was lost.
func TestTakeoverWithoutAnswerKnowsItsPredecessor(t *testing.T) {
	is := is.New(t)
	e := follower()
	e.ReportFailed(true)
	e.ReportFailed(true)
	take := e.Tick(at(300 * time.Millisecond))
	e.CallFailed(at(time.Second), take, false, false)
	is.Equal(e.Tick(at(2*time.Second)), ReadLeader{})
	e.LeaderRead(at(2*time.Second), 6, Leader{Identity: self, Term: 6}, 0)
	taken, before := e.NewlyElected()
	is.True(taken)
	is.Equal(before, other)
}

func TestDoubtEndsTheRightToAct(t *testing.T) {
	is := is.New(t)
	e := leader()
	is.True(e.Active(at(500 * time.Millisecond)))
	e.SuspendLease(at(500 * time.Millisecond))
	is.True(!e.Active(at(500 * time.Millisecond)))
	call := e.Tick(at(500 * time.Millisecond))
	is.Equal(call, AppendLeader{Leader: Leader{Identity: self, Term: 1}, Offset: 1})
	e.AppendAcknowledged(at(510*time.Millisecond), at(500*time.Millisecond), call, 1)
	is.True(e.Active(at(510 * time.Millisecond)))
}

func TestPlanIsStoredOnlyWithTheRightToAct(t *testing.T) {
	is := is.New(t)
	e := leader()
	e.RequestPlan(4)
	call := e.Tick(at(100 * time.Millisecond))
	is.Equal(call, AppendPlan{Sequence: 4, Offset: 1})
	is.Equal(e.StoredPlan(), uint64(0))
	e.AppendAcknowledged(at(110*time.Millisecond), at(100*time.Millisecond), call, 1)
	is.Equal(e.StoredPlan(), uint64(4))
	e.RequestPlan(5)
	e.SuspendLease(at(200 * time.Millisecond))
	is.Equal(e.Tick(at(200*time.Millisecond)), AppendLeader{Leader: Leader{Identity: self, Term: 1}, Offset: 2})
}

// TestLeaderThatIsToldStopsWithoutTheStore: a leader that was cut off from the store learns from another instance that it
// was replaced.
func TestLeaderThatIsToldStopsWithoutTheStore(t *testing.T) {
	is := is.New(t)
	e := leader()
	e.ObserveLeader(at(time.Second), Leader{Identity: other, Term: 7})
	is.True(!e.Active(at(time.Second)))
	is.Equal(e.Term(), uint64(0))
	lead, _ := e.Leader()
	is.Equal(lead.Identity, other)
	is.Equal(e.Tick(at(time.Second)), nil) // it was just heard of
	e.ObserveLeader(at(time.Second), Leader{Identity: Identity{Instance: "third"}, Term: 6})
	lead, _ = e.Leader()
	is.Equal(lead.Identity, other) // an older lead changes nothing
	is.Equal(e.Tick(at(time.Second+times.ElectionTimeout)), ReadLeader{})
}

// TestFormerLeaderThatStartedAnewIsReplaced: it answers that it does not lead, and knows of no successor. This instance
// looks once more, since there may be one by now, and then takes the lead.
func TestFormerLeaderThatStartedAnewIsReplaced(t *testing.T) {
	tests := map[string]struct {
		found Leader
		want  Call
	}{
		"no successor":  {found: Leader{Identity: other, Term: 3}, want: AppendLeader{Leader: Leader{Identity: self, Term: 6}, Offset: 5}},
		"has successor": {found: Leader{Identity: Identity{Instance: "third"}, Term: 5}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := follower()
			e.next = start
			e.ReportAnswered(at(100*time.Millisecond), false, false)
			is.Equal(e.Tick(at(100*time.Millisecond)), ReadLeader{})
			e.LeaderRead(at(110*time.Millisecond), 5, test.found, 0)
			_ = e.Tick(at(400 * time.Millisecond))
			e.calling = false
			is.Equal(e.Tick(at(400*time.Millisecond)), test.want)
		})
	}
}

// TestMaybeStored: a plan that was sent may be in the store until the store has refused it.
func TestMaybeStored(t *testing.T) {
	tests := map[string]struct {
		answered, conflict, acknowledged bool
		want                             uint64
	}{
		"no answer":    {want: 4},
		"refused":      {answered: true, want: 0},
		"overtaken":    {answered: true, conflict: true, want: 0},
		"acknowledged": {acknowledged: true, want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := leader()
			e.RequestPlan(4)
			is.Equal(e.MaybeStoredPlan(), uint64(0))
			call := e.Tick(at(100 * time.Millisecond))
			is.Equal(e.MaybeStoredPlan(), uint64(4)) // under way
			if test.acknowledged {
				e.AppendAcknowledged(at(110*time.Millisecond), at(100*time.Millisecond), call, 1)
			} else {
				e.CallFailed(at(110*time.Millisecond), call, test.answered, test.conflict)
			}
			is.Equal(e.MaybeStoredPlan(), test.want)
		})
	}
}

func TestHealthyNeedsARecentAnswer(t *testing.T) {
	is := is.New(t)
	const slow = 100 * time.Millisecond
	e := leader()
	is.True(e.StoreHealthy(at(times.RenewInterval), slow))
	is.True(!e.StoreHealthy(at(times.RenewInterval+slow+1), slow))
	call := e.Tick(at(times.RenewInterval))
	is.True(e.StoreHealthy(at(times.RenewInterval+slow), slow))
	e.AppendAcknowledged(at(times.RenewInterval+slow), at(times.RenewInterval), call, 1)
	e.RequestPlan(9)
	_ = e.Tick(at(2 * times.RenewInterval))
	is.True(!e.StoreHealthy(at(2*times.RenewInterval+slow+1), slow)) // its call takes long
}

// TestUnfitInstanceDoesNotContend: an instance that has read neither bundle nor servers can't serve the lead.
func TestUnfitInstanceDoesNotContend(t *testing.T) {
	is := is.New(t)
	e := follower()
	e.SetEligible(false)
	e.ReportFailed(true)
	e.ReportFailed(true)
	is.Equal(e.Tick(at(300*time.Millisecond)), nil)
	e.SetEligible(true)
	is.Equal(e.Tick(at(310*time.Millisecond)), AppendLeader{Leader: Leader{Identity: self, Term: 6}, Offset: 5})
}
