package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/leaser"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func TestPauseIsNotSilence(t *testing.T) {
	tests := map[string]struct {
		pause    time.Duration
		silence  time.Duration
		wantLost bool
	}{
		"all answer":            {silence: 0},
		"own pause":             {pause: 20 * time.Second},
		"own pause, then quiet": {pause: 20 * time.Second, silence: 300 * time.Millisecond},
		"others are silent":     {silence: 2 * time.Second, wantLost: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := serving(t)
			r.join("peer")
			r.run(time.Second)
			r.now = r.now.Add(tc.pause)
			if tc.silence > 0 {
				r.peers["peer"] = false
				r.silent[testServer] = true
				r.run(tc.silence)
			} else {
				r.step(Tick{})
			}
			is.Equal(len(appended[recorder.Expel](r)) > 0, tc.wantLost)
			is.Equal(r.control.ServerState(r.now, testServer) == "down", tc.wantLost)
		})
	}
}

func TestReassignStaysClosedUntilItsVerdict(t *testing.T) {
	is := is.New(t)
	r := serving(t)
	r.held = true
	r.silent[testServer] = true
	r.runUntil(func() bool { return len(appended[recorder.Reassign](r)) > 0 })
	record := appended[recorder.Reassign](r)[0]
	moving := identifier.PartitionID{Service: testService, Index: record.Moves[0].Index}
	r.silent[testServer] = false
	r.grants = nil
	r.runUntil(func() bool { return r.control.ServerState(r.now, testServer) == "up" })
	r.run(5 * time.Second)
	is.True(router.IsErrClosed(r.enter(testServer, moving))) // the server is back, the move is not decided
	for _, g := range r.grants {
		for _, p := range g.Grant.Partitions {
			is.True(g.Server != testServer || p.ID != moving)
		}
	}
	r.log = append(r.log, r.withheld[0])
	r.held = false
	r.run(2 * time.Second)
	owner := r.table.View().GetOwnerByPartition(moving)
	is.Equal(owner.Server, record.Moves[0].To)
	is.Equal(owner.Epoch, record.Moves[0].Epoch+1)
	is.NoErr(r.enter(record.Moves[0].To, moving))
	is.True(router.IsErrClosed(r.enter(testServer, moving)))
}

// TestGrantsEndBeforeTheLease lets the log go away and come back, with and without pledges, and looks at every grant
// and permit on the way.
func TestGrantsEndBeforeTheLease(t *testing.T) {
	tests := map[string]struct {
		peers int
	}{
		"alone":        {peers: 0},
		"with pledges": {peers: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := serving(t)
			for i := range tc.peers {
				r.join(identifier.InstanceID(rune('p' + i)))
			}
			r.run(3 * time.Second)
			r.logDown = true
			seen, acted := 0, 0
			for range 300 {
				r.grants = nil
				r.run(tickTime)
				lease := r.control.LeaseUntil()
				drift := r.control.timings().ClockDrift
				for _, g := range r.grants {
					seen++
					is.True(r.now.Before(lease))
					if g.Grant.Echo == "" {
						is.Equal(len(g.Grant.Partitions), 0) // no time to live without a nonce
						continue
					}
					ends := r.issued[g.Grant.Echo].Add(leaser.Stretch(g.Grant.TTL, drift))
					is.True(!ends.After(lease)) // the grant outlives the lease
				}
				for _, s := range r.control.sessions {
					permit := r.control.permitOf(r.now, s)
					is.True(!s.exclusive || !permit.Until().After(lease))
				}
				if r.now.Before(lease) {
					acted++
				}
			}
			is.True(seen > 0)
			is.Equal(acted == 300, tc.peers > 0) // with pledges all the time, alone until the lease ends
			partition := r.owned(testServer)
			if tc.peers == 0 {
				is.True(router.IsErrClosed(r.enter(testServer, partition[0])))
			}
		})
	}
}

func TestExpelledClosesAllAndLeaves(t *testing.T) {
	is := is.New(t)
	r := serving(t)
	r.join("peer")
	r.run(time.Second)
	partition := r.owned(testServer)[0]
	self := r.control.ID()
	gate := r.table.Gate(testServer)
	_, err := gate.Enter(partition, r.control.ownedBy(testServer)[partition], r.now)
	is.NoErr(err)
	r.append("peer", recorder.Expel{Instance: self})
	r.readLog()
	for _, name := range r.control.State().ServerNames() {
		_, err := r.table.Gate(name).Enter(partition, 1, r.now)
		is.True(router.IsErrClosed(err))
	}
	r.grants = nil
	r.run(2 * time.Second)
	is.Equal(len(r.grants), 0)
	is.Equal(len(appended[recorder.Leave](r)), 0) // a request is in flight
	gate.Leave(partition)
	r.run(100 * time.Millisecond)
	_, present := r.control.State().GetMemberByID(self)
	is.True(!present)               // it has left by its own word
	is.True(r.control.ID() != self) // and joins under a new id
	r.run(time.Second)
	is.True(r.control.Active())
}

func TestWitnessChangeNeedsBothSets(t *testing.T) {
	is := is.New(t)
	r := serving(t)
	r.join("p")
	r.runUntil(func() bool {
		m, _ := r.control.State().GetMemberByID(r.control.ID())
		return slices.Equal(m.Witnesses, []identifier.InstanceID{"p"})
	})
	is.Equal(len(r.control.witnessSets()), 1)
	r.held = true
	r.join("q")
	r.runUntil(func() bool { return r.control.pending(purposeWitnesses) })
	sets := r.control.witnessSets()
	is.Equal(len(sets), 2)
	is.Equal(sets[0].Witnesses, []identifier.InstanceID{"p"})
	is.Equal(sets[1].Witnesses, []identifier.InstanceID{"p", "q"})
	is.Equal(sets[1].Needed, 2)
	r.peers["q"] = false // the next set does not pledge
	r.logDown = true
	r.run(3 * time.Second)
	is.True(!r.now.Before(r.control.LeaseUntil()))
	r.peers["q"] = true
	r.run(time.Second)
	is.True(r.now.Before(r.control.LeaseUntil()))
}

func TestPledges(t *testing.T) {
	tests := map[string]struct {
		prepare func(r *rig)
		asker   identifier.InstanceID
		refused string
	}{
		"member":   {prepare: func(*rig) {}, asker: "peer"},
		"unknown":  {prepare: func(*rig) {}, asker: "stranger", refused: "unknown_instance"},
		"expelled": {prepare: func(r *rig) { r.append(r.control.ID(), recorder.Expel{Instance: "peer"}); r.readLog() }, asker: "peer", refused: "expelled"},
		"gone":     {prepare: func(r *rig) { r.append("peer", recorder.Leave{}); r.readLog() }, asker: "peer", refused: "unknown_instance"},
		"no lease": {prepare: func(r *rig) { r.peers["peer"] = false; r.logDown = true; r.run(3 * time.Second) }, asker: "peer", refused: "no_lease"},
		"stopping": {prepare: func(r *rig) { r.held = true; r.step(StopRequested{}) }, asker: "peer", refused: "no_lease"},
		"expired":  {prepare: func(r *rig) { r.step(LogExpired{FirstRetained: 1}) }, asker: "peer", refused: "not_loaded"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := serving(t)
			r.join("peer")
			r.run(2 * time.Second)
			tc.prepare(r)
			reply := r.control.RespondExchange(r.now, ExchangeRequest{Instance: tc.asker})
			is.Equal(reply.Refused, tc.refused)
			is.Equal(reply.Pledge > 0, tc.refused == "")
		})
	}
}
