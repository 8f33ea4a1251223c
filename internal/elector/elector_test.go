package elector

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start    = time.Unix(1000, 0)
	settings = Settings{
		LeaseDuration: 20 * time.Second, RenewInterval: time.Second, ElectionTimeout: 2 * time.Second,
		SuspicionTimeout: 900 * time.Millisecond, RetryDelay: 250 * time.Millisecond, RefusalThreshold: 2,
		MaxJitter: 200 * time.Millisecond,
	}
	self  = Identity{Instance: "self", Incarnation: 1, Address: "self:1"}
	other = Identity{Instance: "other", Incarnation: 2, Address: "other:1"}

	otherLeader = Leader{Identity: other, Term: 3}
)

// at returns the time d after start.
func at(d time.Duration) time.Time { return start.Add(d) }

// newNonLeader returns an Elector that does not lead and knows other as the leader, which answered a report at start.
func newNonLeader() *Elector {
	e := New(settings, start, self, 0)
	_ = e.Tick(start)
	e.CompleteRead(start, 5, Leader{Identity: other, Term: 3}, 0)
	e.ReportAnswered(start, otherLeader, true, false)
	return e
}

// newLeader returns an Elector that was elected at start.
func newLeader() *Elector {
	e := New(settings, start, self, 0)
	_ = e.Tick(start)
	e.CompleteRead(start, 0, Leader{}, 0)
	takeover := e.Tick(at(settings.RetryDelay))
	e.AppendAcknowledged(start, start, takeover, 0)
	return e
}

// TestFirstInstanceBecomesLeader guards against a cluster that never gets its first leader, and against a leader lease that
// lasts longer than LeaseDuration from the time at which the append was sent.
func TestFirstInstanceBecomesLeader(t *testing.T) {
	is := is.New(t)
	e := New(settings, start, self, 0)
	is.Equal(e.Tick(start), ReadLeader{})
	is.Equal(e.Tick(at(time.Second)), nil) // one call at a time
	e.CompleteRead(start, 0, Leader{}, 0)
	takeover := e.Tick(at(settings.RetryDelay))
	is.Equal(takeover, AppendLeader{Leader: Leader{Identity: self, Term: 1}, Offset: 0})
	is.True(!e.Active(at(settings.RetryDelay)))
	e.AppendAcknowledged(at(time.Second), at(settings.RetryDelay), takeover, 0)
	elected, predecessor := e.NewlyElected()
	is.True(elected)
	is.Equal(predecessor, Identity{})
	is.True(e.Active(at(settings.LeaseDuration))) // the leader lease starts when the append is sent
	is.True(!e.Active(at(settings.RetryDelay + settings.LeaseDuration)))
}

// TestTakeover guards against a takeover while the leader is alive, and against a missing takeover when it is not.
func TestTakeover(t *testing.T) {
	tests := map[string]struct {
		event func(e *Elector)
		after time.Duration
		want  Call
	}{
		"leader answered": {
			event: func(e *Elector) { e.ReportAnswered(at(1500*time.Millisecond), otherLeader, true, false) },
			after: 2200 * time.Millisecond, want: nil,
		},
		"no answer within the suspicion timeout, record is read": {
			event: func(*Elector) {}, after: time.Second, want: ReadLeader{},
		},
		"no answer within the election timeout": {
			event: func(*Elector) {}, after: 2100 * time.Millisecond,
			want: AppendLeader{Leader: Leader{Identity: self, Term: 6}, Offset: 5},
		},
		"no answer, but record renewed": {
			event: func(e *Elector) { e.CompleteRead(at(1900*time.Millisecond), 6, Leader{Identity: other, Term: 3}, 0) },
			after: 2500 * time.Millisecond, want: nil,
		},
		"one refused connection": {
			event: func(e *Elector) { e.ReportFailed(otherLeader, true) }, after: 500 * time.Millisecond, want: nil,
		},
		"two consecutive refused connections": {
			event: func(e *Elector) { e.ReportFailed(otherLeader, true); e.ReportFailed(otherLeader, true) }, after: 500 * time.Millisecond,
			want: AppendLeader{Leader: Leader{Identity: self, Term: 6}, Offset: 5},
		},
		"refused connections that are not consecutive": {
			event: func(e *Elector) {
				e.ReportFailed(otherLeader, true)
				e.ReportFailed(otherLeader, false)
				e.ReportFailed(otherLeader, true)
			},
			after: 500 * time.Millisecond, want: nil,
		},
		"leader can't reach the store, not known whether this instance can": {
			event: func(e *Elector) { e.ReportAnswered(at(10*time.Second), otherLeader, true, true) },
			after: 10 * time.Second, want: ReadLeader{},
		},
		"leader can't reach the store, this instance can": {
			event: func(e *Elector) {
				e.ReportAnswered(at(10*time.Second), otherLeader, true, true)
				e.CompleteRead(at(10*time.Second), 5, Leader{Identity: other, Term: 3}, 0)
			},
			after: 10300 * time.Millisecond, want: AppendLeader{Leader: Leader{Identity: self, Term: 6}, Offset: 5},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newNonLeader()
			test.event(e)
			_ = e.Tick(at(test.after)) // starts the jitter, which is 0 here
			if test.want != nil {
				e.callPending = false // drops the call of the first Tick, so that the second returns the call after the jitter
			}
			is.Equal(e.Tick(at(test.after)), test.want)
		})
	}
}

// TestLeaderEndsTermAfterConflict guards against a leader that keeps its term after another instance has appended its
// record.
func TestLeaderEndsTermAfterConflict(t *testing.T) {
	is := is.New(t)
	e := newLeader()
	call := e.Tick(at(1100 * time.Millisecond))
	is.Equal(call, AppendLeader{Leader: Leader{Identity: self, Term: 1}, Offset: 1})
	e.CallFailed(at(1200*time.Millisecond), call, false, true)
	is.Equal(e.Tick(at(1200*time.Millisecond)), ReadLeader{})
	e.CompleteRead(at(1200*time.Millisecond), 2, Leader{Identity: other, Term: 2}, 0)
	is.Equal(e.Term(), uint64(0))
	is.True(!e.Active(at(1200 * time.Millisecond)))
}

// TestUnansweredAppendIsReadBack guards against two leaders, or none, after the answer to an append was lost.
func TestUnansweredAppendIsReadBack(t *testing.T) {
	tests := map[string]struct {
		nextOffset int64
		record     Leader
		term       uint64
	}{
		"record was stored":            {nextOffset: 1, record: Leader{Identity: self, Term: 1}, term: 1},
		"record was not stored":        {nextOffset: 0, record: Leader{}, term: 0},
		"another instance was elected": {nextOffset: 1, record: Leader{Identity: other, Term: 1}, term: 0},
		"another incarnation was elected": {
			nextOffset: 1, record: Leader{Identity: Identity{Instance: "self", Incarnation: 9}, Term: 1}, term: 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := New(settings, start, self, 0)
			_ = e.Tick(start)
			e.CompleteRead(start, 0, Leader{}, 0)
			takeover := e.Tick(at(time.Second))
			e.CallFailed(at(2*time.Second), takeover, false, false)
			is.Equal(e.Tick(at(3*time.Second)), ReadLeader{})
			e.CompleteRead(at(3*time.Second), test.nextOffset, test.record, 0)
			is.Equal(e.Term(), test.term)
			is.True(!e.Active(at(3 * time.Second))) // the leader lease begins with the first acknowledged append
		})
	}
}

// TestUnansweredTakeoverReportsPredecessor guards against a new leader that treats the previous one as stopped because the
// answer to its own append was lost: the previous leader may still send orders.
func TestUnansweredTakeoverReportsPredecessor(t *testing.T) {
	is := is.New(t)
	e := newNonLeader()
	e.ReportFailed(otherLeader, true)
	e.ReportFailed(otherLeader, true)
	takeover := e.Tick(at(300 * time.Millisecond))
	e.CallFailed(at(time.Second), takeover, false, false)
	is.Equal(e.Tick(at(2*time.Second)), ReadLeader{})
	e.CompleteRead(at(2*time.Second), 6, Leader{Identity: self, Term: 6}, 0)
	elected, predecessor := e.NewlyElected()
	is.True(elected)
	is.Equal(predecessor, other)
}

// TestInvalidatedLeaseReturnsWithNextAppend guards against a leader lease that never becomes valid again, and against one
// that does before an append is acknowledged.
func TestInvalidatedLeaseReturnsWithNextAppend(t *testing.T) {
	is := is.New(t)
	e := newLeader()
	is.True(e.Active(at(500 * time.Millisecond)))
	e.InvalidateLease(at(500 * time.Millisecond))
	is.True(!e.Active(at(500 * time.Millisecond)))
	call := e.Tick(at(500 * time.Millisecond))
	is.Equal(call, AppendLeader{Leader: Leader{Identity: self, Term: 1}, Offset: 1})
	e.AppendAcknowledged(at(510*time.Millisecond), at(500*time.Millisecond), call, 1)
	is.True(e.Active(at(510 * time.Millisecond)))
}

// TestPlanIsAppendedOnlyWithValidLease guards against a plan that is appended by a leader whose leader lease may have
// expired.
func TestPlanIsAppendedOnlyWithValidLease(t *testing.T) {
	is := is.New(t)
	e := newLeader()
	e.RequestPlan(4)
	call := e.Tick(at(100 * time.Millisecond))
	is.Equal(call, AppendPlan{Sequence: 4, Offset: 1})
	is.Equal(e.StoredPlan(), uint64(0))
	e.AppendAcknowledged(at(110*time.Millisecond), at(100*time.Millisecond), call, 1)
	is.Equal(e.StoredPlan(), uint64(4))
	e.RequestPlan(5)
	e.InvalidateLease(at(200 * time.Millisecond))
	is.Equal(e.Tick(at(200*time.Millisecond)), AppendLeader{Leader: Leader{Identity: self, Term: 1}, Offset: 2})
}

// TestObservedLeaderEndsTermWithoutStore guards against a leader that can't reach the store and goes on sending orders
// although it learned from another instance that it was replaced.
func TestObservedLeaderEndsTermWithoutStore(t *testing.T) {
	is := is.New(t)
	e := newLeader()
	e.ObserveLeader(at(time.Second), Leader{Identity: other, Term: 7})
	is.True(!e.Active(at(time.Second)))
	is.Equal(e.Term(), uint64(0))
	known, _ := e.Leader()
	is.Equal(known.Identity, other)
	is.Equal(e.Tick(at(time.Second)), nil) // the new leader was just seen
	e.ObserveLeader(at(time.Second), Leader{Identity: Identity{Instance: "third"}, Term: 6})
	known, _ = e.Leader()
	is.Equal(known.Identity, other) // a leader with an older term changes nothing
	is.Equal(e.Tick(at(time.Second+settings.ElectionTimeout)), ReadLeader{})
}

// TestRestartedLeaderIsReplaced guards against a cluster without a leader after the leader has restarted: it answers that
// it does not lead, and knows no successor. This instance reads the store again, since there may be a successor by now, and
// takes over if there is none.
func TestRestartedLeaderIsReplaced(t *testing.T) {
	tests := map[string]struct {
		record Leader
		want   Call
	}{
		"no successor": {
			record: Leader{Identity: other, Term: 3},
			want:   AppendLeader{Leader: Leader{Identity: self, Term: 6}, Offset: 5},
		},
		"has successor": {record: Leader{Identity: Identity{Instance: "third"}, Term: 5}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newNonLeader()
			e.nextCallAt = start
			e.ReportAnswered(at(100*time.Millisecond), otherLeader, false, false)
			is.Equal(e.Tick(at(100*time.Millisecond)), ReadLeader{})
			e.CompleteRead(at(110*time.Millisecond), 5, test.record, 0)
			_ = e.Tick(at(400 * time.Millisecond)) // starts the jitter, which is 0 here
			e.callPending = false                  // drops the call, so that the next Tick returns it
			is.Equal(e.Tick(at(400*time.Millisecond)), test.want)
		})
	}
}

// TestMaybeStoredPlan guards against a plan that counts as not stored although it may be in the store: a server could then
// get keys that the stored plan assigns to another.
func TestMaybeStoredPlan(t *testing.T) {
	tests := map[string]struct {
		refused, conflict, acknowledged bool
		want                            uint64
	}{
		"no answer":    {want: 4},
		"refused":      {refused: true, want: 0},
		"conflict":     {refused: true, conflict: true, want: 0},
		"acknowledged": {acknowledged: true, want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newLeader()
			e.RequestPlan(4)
			is.Equal(e.MaybeStoredPlan(), uint64(0))
			call := e.Tick(at(100 * time.Millisecond))
			is.Equal(e.MaybeStoredPlan(), uint64(4)) // pending
			if test.acknowledged {
				e.AppendAcknowledged(at(110*time.Millisecond), at(100*time.Millisecond), call, 1)
			} else {
				e.CallFailed(at(110*time.Millisecond), call, test.refused, test.conflict)
			}
			is.Equal(e.MaybeStoredPlan(), test.want)
		})
	}
}

// TestStoreHealthyNeedsRecentAnswer guards against moves that begin while the store is slow: their keys would not be served
// until the plan is stored.
func TestStoreHealthyNeedsRecentAnswer(t *testing.T) {
	is := is.New(t)
	const slow = 100 * time.Millisecond
	e := newLeader()
	is.True(e.StoreHealthy(at(settings.RenewInterval), slow))
	is.True(!e.StoreHealthy(at(settings.RenewInterval+slow+1), slow))
	call := e.Tick(at(settings.RenewInterval))
	is.True(e.StoreHealthy(at(settings.RenewInterval+slow), slow))
	e.AppendAcknowledged(at(settings.RenewInterval+slow), at(settings.RenewInterval), call, 1)
	e.RequestPlan(9)
	_ = e.Tick(at(2 * settings.RenewInterval))
	is.True(!e.StoreHealthy(at(2*settings.RenewInterval+slow+1), slow)) // the pending call has taken too long
}

// TestIneligibleInstanceDoesNotTakeOver guards against a leader that can grant no ranges because it has read neither the
// configuration nor the servers' registrations.
func TestIneligibleInstanceDoesNotTakeOver(t *testing.T) {
	is := is.New(t)
	e := newNonLeader()
	e.SetEligible(false)
	e.ReportFailed(otherLeader, true)
	e.ReportFailed(otherLeader, true)
	is.Equal(e.Tick(at(300*time.Millisecond)), nil)
	e.SetEligible(true)
	is.Equal(e.Tick(at(310*time.Millisecond)), AppendLeader{Leader: Leader{Identity: self, Term: 6}, Offset: 5})
}

// TestAnswerOfReplacedLeaderIsIgnored guards against a needless takeover from a live leader: the answer of the leader before
// it, or the failure to reach that one, arrives after the replacement is known.
func TestAnswerOfReplacedLeaderIsIgnored(t *testing.T) {
	tests := map[string]func(e *Elector){
		"it no longer leads": func(e *Elector) { e.ReportAnswered(at(200*time.Millisecond), otherLeader, false, false) },
		"it can't reach the store": func(e *Elector) {
			e.ReportAnswered(at(200*time.Millisecond), otherLeader, true, true)
		},
		"its machine refuses connections": func(e *Elector) {
			e.ReportFailed(otherLeader, true)
			e.ReportFailed(otherLeader, true)
		},
	}
	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newNonLeader()
			third := Leader{Identity: Identity{Instance: "third"}, Term: 6}
			e.ObserveLeader(at(100*time.Millisecond), third)
			event(e)
			known, _ := e.Leader()
			is.Equal(known, third)
			for d := 400 * time.Millisecond; d < settings.SuspicionTimeout; d += 100 * time.Millisecond {
				is.Equal(e.Tick(at(d)), nil)
			}
		})
	}
}
