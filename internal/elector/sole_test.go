package elector

import (
	"testing"

	"github.com/matryer/is"
)

// TestSuccessorLearnsOfEarlierLeaders guards against a new leader that counts all earlier ones as stopped although only the previous one
// has, and against one that waits for leaders that have stopped.
func TestSuccessorLearnsOfEarlierLeaders(t *testing.T) {
	earlierSelf := Identity{Instance: self.Instance, Incarnation: self.Incarnation + 1}
	tests := map[string]struct {
		firstStart bool
		era        uint64
		record     Leader
		earlier    bool // earlier leaders may act
		sole       bool // this leader's first record is Sole
	}{
		"no record, first start":            {era: 4, firstStart: true, sole: true},
		"no record, store without eras":     {sole: true},
		"no record, later start":            {era: 4},
		"previous leader was sole":          {record: Leader{Identity: other, Term: 3, Sole: true}},
		"previous leader was not, or older": {record: Leader{Identity: other, Term: 3}, earlier: true},
		"own earlier incarnation was sole":  {record: Leader{Identity: earlierSelf, Term: 3, Sole: true}, sole: true},
		"own earlier incarnation was not":   {record: Leader{Identity: earlierSelf, Term: 3}, earlier: true},
		"record of a version without eras":  {era: 4, record: Leader{Identity: other, Term: 3}, earlier: true},
		"leader of an earlier era":          {era: 4, record: Leader{Identity: other, Term: 3<<termOffsetBits | 3}},
		"own incarnation of an earlier era": {era: 4, record: Leader{Identity: earlierSelf, Term: 3<<termOffsetBits | 3, Sole: true}},
		"leader of this era, sole":          {era: 4, record: Leader{Identity: other, Term: 4<<termOffsetBits | 3, Settled: true, Sole: true}},
		"leader of this era that waits":     {era: 4, record: Leader{Identity: other, Term: 4<<termOffsetBits | 3}, earlier: true},
		"own incarnation that waits, settled": {
			era: 4, record: Leader{Identity: earlierSelf, Term: 4<<termOffsetBits | 3, Settled: true}, earlier: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := New(settings, start, self, 0, test.firstStart)
			_ = e.Tick(start)
			e.CompleteRead(start, test.era, 7, test.record, 0)
			known, _ := e.Leader()
			e.ReportFailed(known, true)
			e.ReportFailed(known, true)
			now := at(settings.RetryDelay)
			takeover := e.Tick(now).(AppendLeader)
			is.Equal(takeover.Leader.Sole, test.sole)
			e.AppendAcknowledged(now, now, takeover, test.era, 7)
			election, elected := e.NewlyElected()
			is.True(elected)
			is.Equal(election.EarlierLeaders, test.earlier)
			renewal := e.Tick(now.Add(settings.RenewInterval)).(AppendLeader)
			is.Equal(renewal.Leader.Sole, test.sole)
		})
	}
}

// TestLeaderRecordsThatEarlierLeadersStopped guards against a leader that records it too early, and against a successor that waits because
// it was recorded late: the record is appended at once, before the next renewal is due, also if a plan was stored meanwhile.
func TestLeaderRecordsThatEarlierLeadersStopped(t *testing.T) {
	takeOver := func(e *Elector, offset int64, era uint64) {
		known, _ := e.Leader()
		e.ReportFailed(known, true)
		e.ReportFailed(known, true)
		takeover := e.Tick(start.Add(settings.RetryDelay))
		e.AppendAcknowledged(start, start, takeover, era, offset)
	}
	t.Run("previous leader has stopped", func(t *testing.T) {
		is := is.New(t)
		e := newNonLeader()
		takeOver(e, 5, 0)
		is.Equal(e.Tick(at(10)), nil)
		e.RequestPlan(1)
		e.RecordSole()
		plan := e.Tick(at(20))
		is.Equal(plan, AppendPlan{Sequence: 1, Offset: 6})
		e.AppendAcknowledged(at(30), at(20), plan, 0, 6)
		record := e.Tick(at(30))
		is.Equal(record, AppendLeader{Leader: Leader{Identity: self, Term: 6, Settled: true, Sole: true}, Offset: 7})
		e.AppendAcknowledged(at(40), at(30), record, 0, 7)
		is.Equal(e.Tick(at(50)), nil)
	})
	t.Run("leader leases of earlier leaders have expired", func(t *testing.T) {
		is := is.New(t)
		e := newNonLeader()
		takeOver(e, 5, 0)
		e.renewAt = at(2 * settings.LeaseDuration) // no renewal is due
		is.Equal(e.Tick(at(settings.LeaseDuration-1)), nil)
		record := e.Tick(at(settings.LeaseDuration))
		is.Equal(record, AppendLeader{Leader: Leader{Identity: self, Term: 6, Settled: true, Sole: true}, Offset: 6})
	})
	t.Run("leaders of earlier eras may act", func(t *testing.T) {
		is := is.New(t)
		e := New(settings, start, self, 0, false)
		_ = e.Tick(start)
		e.CompleteRead(start, 4, 5, Leader{Identity: other, Term: term(t, 3, 2), Settled: true, Sole: true}, 0)
		takeOver(e, 5, 4)
		e.RecordSole()
		is.Equal(e.Tick(at(10)), nil)
		is.True(e.Tick(at(settings.LeaseDuration)).(AppendLeader).Leader.Sole)
	})
	t.Run("another may have led before a term that continues", func(t *testing.T) {
		is := is.New(t)
		e := newLeaderInEra(t)
		now := at(settings.ElectionTimeout)
		e.ObserveEra(now, 5)
		_ = e.Tick(now)
		e.CompleteRead(now, 5, 3, Leader{}, 0)
		call := e.Tick(now)
		e.AppendAcknowledged(now, now, call, 5, 3)
		e.RecordSole()
		is.Equal(e.Tick(now), nil)
		is.True(!e.Tick(now.Add(settings.LeaseDuration - 1)).(AppendLeader).Leader.Sole)
		e.callPending = false
		is.True(e.Tick(now.Add(settings.LeaseDuration)).(AppendLeader).Leader.Sole)
	})
}
