package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/leaser"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// succeeding returns a rig that has just taken the front of testServer from an expelled instance.
func succeeding(t *testing.T, unchecking bool) *rig {
	r := newRig(t)
	r.unchecking = unchecking
	for _, id := range []identifier.InstanceID{"old", "peer"} {
		r.join(id)
	}
	r.append("old", recorder.ClaimFronts{Claims: []recorder.FrontClaim{{Server: testServer}}})
	r.append("old", recorder.MeetServer{Server: testServer, Checks: !unchecking})
	move := recorder.PartitionMove{Index: 0, To: testServer}
	r.append("old", recorder.Assign{Service: testService, Moves: []recorder.PartitionMove{move}})
	r.run(time.Second)
	r.peers["old"] = false
	r.append("peer", recorder.Expel{Instance: "old"})
	if unchecking {
		r.append("peer", recorder.Release{Instance: "old", Lapsed: true})
	}
	r.runUntil(func() bool { return r.control.sessions[testServer] != nil })
	return r
}

// TestRevokeProvesNothingOfAStaleSender moves a partition off a server that turns nobody away, after its earlier
// fronting instance was lost. That one may be paused just before it sends: the move waits for the pause bound, whatever
// the server says to a revoke.
func TestRevokeProvesNothingOfAStaleSender(t *testing.T) {
	tests := map[string]struct {
		unchecking bool
		// found lets the server stop checking after the front was taken.
		found bool
		waits bool
	}{
		"checking":                 {},
		"not checking":             {unchecking: true, waits: true},
		"found at run time not to": {found: true, waits: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := succeeding(t, tc.unchecking)
			r.run(100 * time.Millisecond)
			if tc.found {
				r.unchecking = true
				r.run(200 * time.Millisecond)
				r.append("peer", recorder.Release{Instance: "old", Lapsed: true})
				r.run(tickTime)
			}
			widest := r.control.State().Widest()
			bound := r.now.Add(leaser.Stretch(widest.PauseBound, widest.ClockDrift))
			partition := identifier.PartitionID{Service: testService, Index: 0}
			is.Equal(r.control.ownedBy(testServer)[partition] > 0, true)
			r.control.close(r.now, r.control.sessions[testServer], partition, "render_02", true)
			r.runUntil(func() bool { return len(appended[recorder.Reassign](r)) > 0 })
			is.True(r.revokes > 0)
			early := r.now.Before(bound.Add(-time.Second))
			is.Equal(early, !tc.waits) // the move does not wait for a paused sender
		})
	}
}

// TestRevokeWaitsForWhatIsInFlight closes a partition while a request of it is under way.
func TestRevokeWaitsForWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	r := serving(t)
	partition := r.owned(testServer)[0]
	gate := r.table.Gate(testServer)
	_, err := gate.Enter(partition, r.control.ownedBy(testServer)[partition], r.now)
	is.NoErr(err)
	r.control.close(r.now, r.control.sessions[testServer], partition, "render_02", true)
	r.run(2 * time.Second)
	is.Equal(r.revokes, 0)
	is.Equal(len(appended[recorder.Reassign](r)), 0)
	gate.Leave(partition)
	r.runUntil(func() bool { return len(appended[recorder.Reassign](r)) > 0 })
	is.Equal(r.revokes, 1)
}
