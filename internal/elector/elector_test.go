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
		MaxJitter: 200 * time.Millisecond, LastResortDelay: 500 * time.Millisecond,
	}
	self  = Identity{Instance: "self", Incarnation: 1, Address: "self:1"}
	other = Identity{Instance: "other", Incarnation: 2, Address: "other:1"}

	otherLeader = Leader{Identity: other, Term: 3}
)

// at returns the time d after start.
func at(d time.Duration) time.Time { return start.Add(d) }

// newNonLeader returns an Elector that does not lead and knows other as the leader, which answered a report at start.
func newNonLeader() *Elector {
	e := New(settings, start, self, 0, true)
	_ = e.Tick(start)
	e.CompleteRead(start, 0, 5, Leader{Identity: other, Term: 3}, 0)
	e.ReportAnswered(start, otherLeader, true, false)
	return e
}

// newLeader returns an Elector that was elected at start.
func newLeader() *Elector {
	e := New(settings, start, self, 0, true)
	_ = e.Tick(start)
	e.CompleteRead(start, 0, 0, Leader{}, 0)
	takeover := e.Tick(at(settings.RetryDelay))
	e.AppendAcknowledged(start, start, takeover, 0, 0)
	return e
}

// TestFirstInstanceBecomesLeader guards against a cluster that never gets its first leader, and against a leader lease that
// lasts longer than LeaseDuration from the time at which the append was sent.
func TestFirstInstanceBecomesLeader(t *testing.T) {
	is := is.New(t)
	e := New(settings, start, self, 0, true)
	is.Equal(e.Tick(start), ReadLeader{})
	is.Equal(e.Tick(at(time.Second)), nil) // one call at a time
	e.CompleteRead(start, 0, 0, Leader{}, 0)
	takeover := e.Tick(at(settings.RetryDelay))
	is.Equal(takeover, AppendLeader{Leader: Leader{Identity: self, Term: 1, Settled: true, Sole: true}, Offset: 0})
	is.True(!e.Active(at(settings.RetryDelay)))
	e.AppendAcknowledged(at(time.Second), at(settings.RetryDelay), takeover, 0, 0)
	election, elected := e.NewlyElected()
	is.True(elected)
	is.Equal(election.Predecessor, Identity{})
	is.True(election.Certain && !election.Continued)
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
			want: AppendLeader{Leader: Leader{Identity: self, Term: 6, Settled: true}, Offset: 5},
		},
		"no answer, but record renewed": {
			event: func(e *Elector) { e.CompleteRead(at(1900*time.Millisecond), 0, 6, Leader{Identity: other, Term: 3}, 0) },
			after: 2500 * time.Millisecond, want: nil,
		},
		"one refused connection": {
			event: func(e *Elector) { e.ReportFailed(otherLeader, true) }, after: 500 * time.Millisecond, want: nil,
		},
		"two consecutive refused connections": {
			event: func(e *Elector) { e.ReportFailed(otherLeader, true); e.ReportFailed(otherLeader, true) }, after: 500 * time.Millisecond,
			want: AppendLeader{Leader: Leader{Identity: self, Term: 6, Settled: true}, Offset: 5},
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
				e.CompleteRead(at(10*time.Second), 0, 5, Leader{Identity: other, Term: 3}, 0)
			},
			after: 10300 * time.Millisecond, want: AppendLeader{Leader: Leader{Identity: self, Term: 6, Settled: true}, Offset: 5},
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
	is.Equal(call, AppendLeader{Leader: Leader{Identity: self, Term: 1, Settled: true, Sole: true}, Offset: 1})
	e.CallFailed(at(1200*time.Millisecond), call, 0, false, true)
	is.Equal(e.Tick(at(1200*time.Millisecond)), ReadLeader{})
	e.CompleteRead(at(1200*time.Millisecond), 0, 2, Leader{Identity: other, Term: 2}, 0)
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
			e := New(settings, start, self, 0, true)
			_ = e.Tick(start)
			e.CompleteRead(start, 0, 0, Leader{}, 0)
			takeover := e.Tick(at(time.Second))
			e.CallFailed(at(2*time.Second), takeover, 0, false, false)
			is.Equal(e.Tick(at(3*time.Second)), ReadLeader{})
			e.CompleteRead(at(3*time.Second), 0, test.nextOffset, test.record, 0)
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
	e.CallFailed(at(time.Second), takeover, 0, false, false)
	is.Equal(e.Tick(at(2*time.Second)), ReadLeader{})
	e.CompleteRead(at(2*time.Second), 0, 6, Leader{Identity: self, Term: 6}, 0)
	election, elected := e.NewlyElected()
	is.True(elected)
	is.Equal(election.Predecessor, other)
	is.Equal(election.PredecessorTerm, otherLeader.Term)
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
	is.Equal(call, AppendLeader{Leader: Leader{Identity: self, Term: 1, Settled: true, Sole: true}, Offset: 1})
	e.AppendAcknowledged(at(510*time.Millisecond), at(500*time.Millisecond), call, 0, 1)
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
	e.AppendAcknowledged(at(110*time.Millisecond), at(100*time.Millisecond), call, 0, 1)
	is.Equal(e.StoredPlan(), uint64(4))
	e.RequestPlan(5)
	e.InvalidateLease(at(200 * time.Millisecond))
	is.Equal(e.Tick(at(200*time.Millisecond)), AppendLeader{Leader: Leader{Identity: self, Term: 1, Settled: true, Sole: true}, Offset: 2})
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
			want:   AppendLeader{Leader: Leader{Identity: self, Term: 6, Settled: true}, Offset: 5},
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
			e.CompleteRead(at(110*time.Millisecond), 0, 5, test.record, 0)
			_ = e.Tick(at(400 * time.Millisecond)) // starts the jitter, which is 0 here
			e.callPending = false                  // drops the call, so that the next Tick returns it
			is.Equal(e.Tick(at(400*time.Millisecond)), test.want)
		})
	}
}

// TestInstanceThatLedBeforeItsRestartTakesOverAtOnce guards against keys that are not served after a restart of all instances
// while the previous leader waits as others do for a leader that may be alive.
func TestInstanceThatLedBeforeItsRestartTakesOverAtOnce(t *testing.T) {
	before := Identity{Instance: self.Instance, Incarnation: self.Incarnation - 1, Address: self.Address}
	tests := map[string]struct {
		record Identity
		want   Call
	}{
		"led before":        {record: before, want: AppendLeader{Leader: Leader{Identity: self, Term: 6, Settled: true}, Offset: 5}},
		"another one leads": {record: other},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := New(settings, start, self, 1, true)
			is.Equal(e.Tick(start), ReadLeader{})
			e.CompleteRead(at(4*time.Millisecond), 0, 5, Leader{Identity: test.record, Term: 3}, 0)
			is.Equal(e.Tick(at(4*time.Millisecond)), test.want)
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
				e.AppendAcknowledged(at(110*time.Millisecond), at(100*time.Millisecond), call, 0, 1)
			} else {
				e.CallFailed(at(110*time.Millisecond), call, 0, test.refused, test.conflict)
			}
			is.Equal(e.MaybeStoredPlan(), test.want)
		})
	}
}

// TestCallTimeShowsSlowStore guards against moves that begin while the store is slow: their keys would not be served until the plan is
// stored. It has the cases of the earlier check for a recent answer, and the duration of the last call.
func TestCallTimeShowsSlowStore(t *testing.T) {
	is := is.New(t)
	const slow = 100 * time.Millisecond
	e := newLeader()
	is.True(e.CallTime(at(settings.RenewInterval)) <= slow)
	is.Equal(e.CallTime(at(settings.RenewInterval+slow+1)), slow+1) // the answer is overdue
	call := e.Tick(at(settings.RenewInterval))
	is.Equal(e.CallTime(at(settings.RenewInterval+slow)), slow)
	e.AppendAcknowledged(at(settings.RenewInterval+slow), at(settings.RenewInterval), call, 0, 1)
	is.Equal(e.CallTime(at(settings.RenewInterval+slow)), slow) // the last call
	e.RequestPlan(9)
	call = e.Tick(at(2 * settings.RenewInterval))
	is.True(call != nil)
	is.Equal(e.CallTime(at(2*settings.RenewInterval+slow+1)), slow+1) // the pending call
	e.CallFailed(at(2*settings.RenewInterval+2*slow), call, 0, true, true)
	is.Equal(e.CallTime(at(2*settings.RenewInterval+2*slow)), 2*slow) // an answer that refuses the call
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
	is.Equal(e.Tick(at(310*time.Millisecond)), AppendLeader{Leader: Leader{Identity: self, Term: 6, Settled: true}, Offset: 5})
}

// TestLastResortTakesOverLast guards against a leader that has lost its paths to the servers, or is leaving, and is replaced by another
// such instance, and against keys that nobody grants because all instances are such and the leader is gone.
func TestLastResortTakesOverLast(t *testing.T) {
	takeover := AppendLeader{Leader: Leader{Identity: self, Term: 6, Settled: true}, Offset: 5}
	tests := map[string]struct {
		lastResort bool
		event      func(e *Elector)
		after      time.Duration
		want       Call
	}{
		"leader to be replaced":              {event: func(e *Elector) { e.ReportAnswered(start, otherLeader, true, true) }, after: 10 * time.Millisecond, want: takeover},
		"leader to be replaced, last resort": {lastResort: true, event: func(e *Elector) { e.ReportAnswered(start, otherLeader, true, true) }, after: 800 * time.Millisecond},
		"leader replaced already": {event: func(e *Elector) {
			e.ReportAnswered(start, Leader{Identity: Identity{Instance: "third"}, Term: 2}, true, true)
		}, after: 800 * time.Millisecond},
		"leader gone, last resort, before the delay": {lastResort: true, event: refuseTwice, after: settings.LastResortDelay - time.Millisecond},
		"leader gone, last resort":                   {lastResort: true, event: refuseTwice, after: settings.LastResortDelay, want: takeover},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newNonLeader()
			e.SetLastResort(tc.lastResort)
			e.nextCallAt = start
			tc.event(e)
			first := e.Tick(start) // starts the delay
			if first != nil {
				is.Equal(first, tc.want)
				return
			}
			is.Equal(e.Tick(at(tc.after)), tc.want)
		})
	}
}

func refuseTwice(e *Elector) {
	e.ReportFailed(otherLeader, true)
	e.ReportFailed(otherLeader, true)
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

// term returns the term of an offset in an era.
func term(t *testing.T, era uint64, offset int64) uint64 {
	t.Helper()
	term, ok := TermOf(era, offset)
	if !ok {
		t.Fatal("no term")
	}
	return term
}

// TestTermsRiseOverEras guards against a term, and so a fence, that is not above those of earlier eras, in which the offsets
// were higher, and against one that is cut because it does not fit into a fence.
func TestTermsRiseOverEras(t *testing.T) {
	is := is.New(t)
	is.True(term(t, 2, 0) > term(t, 1, 1<<30))
	is.Equal(EraOf(term(t, 7, 5)), uint64(7))
	is.Equal(NumberInEra(term(t, 7, 5)), uint64(6))
	is.Equal(term(t, 0, 5), uint64(6)) // as before stores had eras
	is.True(term(t, maxEra, 1<<termOffsetBits-2) < 1<<39)
	for _, position := range []struct {
		era    uint64
		offset int64
	}{{maxEra + 1, 0}, {0, 1<<termOffsetBits - 1}, {0, -1}} {
		_, ok := TermOf(position.era, position.offset)
		is.True(!ok)
	}
}

// newLeaderInEra returns an Elector that was elected at start in era 4 of the store, at offset 9.
func newLeaderInEra(t *testing.T) *Elector {
	t.Helper()
	e := New(settings, start, self, 0, true)
	_ = e.Tick(start)
	e.CompleteRead(start, 4, 9, Leader{}, 0)
	takeover := e.Tick(at(settings.RetryDelay))
	e.AppendAcknowledged(start, start, takeover, 4, 9)
	if _, elected := e.NewlyElected(); !elected {
		t.Fatal("not elected")
	}
	return e
}

// TestLeaderContinuesInNewEra guards against a leader that gives up, or goes on with its old term, after the store came back
// from an older copy, and against one that takes its state for certain although it may have been replaced for a while.
func TestLeaderContinuesInNewEra(t *testing.T) {
	tests := map[string]struct {
		learnsAt time.Duration // since its last acknowledged append was sent
		yields   bool
		certain  bool
		ends     bool // its leader lease has expired
	}{
		"just renewed":                            {learnsAt: 500 * time.Millisecond, certain: true},
		"others may have taken over":              {learnsAt: settings.ElectionTimeout - continuationMargin},
		"has asked another instance to take over": {learnsAt: 500 * time.Millisecond, yields: true},
		"leader lease expired":                    {learnsAt: settings.LeaseDuration, ends: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newLeaderInEra(t)
			old := e.Term()
			if test.yields {
				e.RecordYield()
			}
			now := at(test.learnsAt)
			e.ObserveEra(now, 5)
			is.Equal(e.Active(now), !test.ends) // its orders are valid as long as its lease
			is.Equal(e.Tick(now), ReadLeader{})
			e.CompleteRead(now, 5, 3, Leader{}, 0) // the copy is older than its record
			if test.ends {
				is.Equal(e.Term(), uint64(0))
				return
			}
			call := e.Tick(now)
			is.Equal(call, AppendLeader{Leader: Leader{Identity: self, Term: term(t, 5, 3), Sole: test.certain}, Offset: 3})
			e.AppendAcknowledged(now, now, call, 5, 3)
			election, elected := e.NewlyElected()
			is.True(elected && e.Term() > old)
			is.Equal(election, Election{
				Continued: true, Certain: test.certain, UncertainUntil: now.Add(settings.LeaseDuration),
			})
			is.True(!e.Settled())
			e.RequestPlan(1)
			call = e.Tick(now)
			is.Equal(call, AppendPlan{Sequence: 1, Offset: 4})
			e.AppendAcknowledged(now, now, call, 5, 4)
			e.Settle(now)
			is.Equal(e.Tick(now), AppendLeader{
				Leader: Leader{Identity: self, Term: term(t, 5, 3), Settled: true, Sole: test.certain}, Offset: 5,
			})
		})
	}
}

// TestAppendOfAnotherEraDoesNotCount guards against a term, a leader lease or a stored plan that rests on an append whose
// condition held by coincidence in a later era, or whose record the store has lost since.
func TestAppendOfAnotherEraDoesNotCount(t *testing.T) {
	tests := map[string]struct {
		learned  uint64 // era that the leader hears of while the append is in flight
		answered uint64 // era of the answer
	}{
		"acknowledged in a later era":      {learned: 4, answered: 5},
		"record was lost since":            {learned: 5, answered: 4},
		"executed in the era that follows": {learned: 5, answered: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newLeaderInEra(t)
			e.RequestPlan(4)
			call := e.Tick(at(100 * time.Millisecond))
			is.Equal(call, AppendPlan{Sequence: 4, Offset: 10})
			e.ObserveEra(at(110*time.Millisecond), test.learned)
			e.AppendAcknowledged(at(120*time.Millisecond), at(100*time.Millisecond), call, test.answered, 10)
			is.Equal(e.StoredPlan(), uint64(0))
			is.Equal(e.Tick(at(120*time.Millisecond)), ReadLeader{})
			is.Equal(e.Era(), uint64(5))
		})
	}
}

// TestSuccessorKnowsWhetherThePlanIsCertain guards against a new leader that trusts a plan which may be older than what was
// granted, and against one that waits although nothing was lost.
func TestSuccessorKnowsWhetherThePlanIsCertain(t *testing.T) {
	tests := map[string]struct {
		firstStart bool
		earlier    uint64 // era that this instance saw before; 0 if it has just started
		era        uint64
		record     Leader
		certain    bool
	}{
		"settled leader of this era": {
			era: 4, record: Leader{Identity: other, Term: 4<<termOffsetBits | 3, Settled: true}, certain: true,
		},
		"leader of this era that waits": {era: 4, record: Leader{Identity: other, Term: 4<<termOffsetBits | 3}},
		"leader of an earlier era": {
			era: 4, record: Leader{Identity: other, Term: 3<<termOffsetBits | 3, Settled: true},
		},
		"no record, first start":                    {era: 4, firstStart: true, certain: true},
		"no record, later start":                    {era: 4},
		"no record, the store has just come back":   {earlier: 3, era: 4, firstStart: true},
		"store without eras":                        {record: Leader{Identity: other, Term: 3}, certain: true},
		"record of a version without eras":          {era: 4, record: Leader{Identity: other, Term: 3}, certain: true},
		"the same, the store has just come back":    {earlier: 3, era: 4, record: Leader{Identity: other, Term: 3}},
		"store whose era was 0 came back meanwhile": {era: 1, record: Leader{Identity: other, Term: 3, Settled: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := New(settings, start, self, 0, test.firstStart)
			if test.earlier > 0 {
				e.ObserveEra(start, test.earlier)
			}
			_ = e.Tick(start)
			e.CompleteRead(start, test.era, 7, test.record, 0)
			known, _ := e.Leader()
			e.ReportFailed(known, true)
			e.ReportFailed(known, true)
			now := at(settings.RetryDelay)
			_ = e.Tick(now) // starts the jitter, which is 0 here
			e.callPending = false
			call := e.Tick(now)
			is.Equal(call, AppendLeader{
				Leader: Leader{
					Identity: self, Term: term(t, test.era, 7), Settled: test.certain, Sole: test.certain && test.record.Term == 0,
				}, Offset: 7,
			})
			e.AppendAcknowledged(now, now, call, test.era, 7)
			election, elected := e.NewlyElected()
			is.True(elected)
			is.Equal(election.Certain, test.certain)
			is.Equal(e.Settled(), test.certain)
		})
	}
}

// TestKnownLeaderSurvivesANewEra guards against a takeover from a live leader because the store has lost its record.
func TestKnownLeaderSurvivesANewEra(t *testing.T) {
	is := is.New(t)
	e := New(settings, start, self, 0, false)
	_ = e.Tick(start)
	lead := Leader{Identity: other, Term: term(t, 4, 5), Settled: true}
	e.CompleteRead(start, 4, 6, lead, 0)
	e.ReportAnswered(at(time.Second), lead, true, false)
	e.ObserveEra(at(time.Second), 5)
	_ = e.Tick(at(2 * time.Second))
	e.CompleteRead(at(2*time.Second), 5, 2, Leader{}, 0) // the copy has no leader
	known, _ := e.Leader()
	is.Equal(known, lead)
	e.ReportAnswered(at(2200*time.Millisecond), lead, true, false)
	is.Equal(e.Tick(at(3*time.Second)), nil)
	next := Leader{Identity: other, Term: term(t, 5, 2)}
	e.ObserveLeader(at(3*time.Second), next)
	known, _ = e.Leader()
	is.Equal(known, next)
}
