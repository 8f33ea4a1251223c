package granter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// inheritedRange returns the Granter of a new leader whose plan gives all keys to s0, and which has sent the first grant. Only s1 is
// registered, and the leases of the previous leader may last for 24.2 s.
func inheritedRange(incarnation int64) (*Granter, Grant) {
	g := New(testSettings, epoch, 2, []Assignment{
		{Service: service, Range: partitioner.Range{Last: partitioner.MaxKey}, Server: "s0", Incarnation: incarnation},
	}, epoch.Add(24200*time.Millisecond))
	g.SetServers(epoch, []string{service}, []cataloger.Server{{ID: "s1", Service: service, Slots: 1, Incarnation: 7}})
	return g, g.Tick(epoch)[0].(Grant)
}

// TestLostOwnerPublishesWhenItsKeysCanBeServed guards against requests that wait for keys whose owner is lost, and against refused
// requests for keys that are served or move within milliseconds.
func TestLostOwnerPublishesWhenItsKeysCanBeServed(t *testing.T) {
	is := is.New(t)
	g, grant := inheritedRange(5)
	is.Equal(g.Segments(epoch)[0].Moving, false) // s0 may accept the grant, and release the keys right after
	g.ChangedSegments(epoch)
	now := epoch.Add(300 * time.Millisecond)
	g.CompleteGrant(now, grant, NotSent)
	lost := partitioner.Segment{
		Service: service, Range: partitioner.Range{Last: partitioner.MaxKey}, Server: "s0", Moving: true, PauseMS: 23900,
	}
	is.Equal(g.ChangedSegments(now), []partitioner.Segment{lost})

	registered := []cataloger.Server{
		{ID: "s0", Service: service, Slots: 1, Incarnation: 5}, {ID: "s1", Service: service, Slots: 1, Incarnation: 7},
	}
	g.ExpectEnd("s0", now.Add(700*time.Millisecond))
	is.Equal(g.ChangedSegments(now)[0].PauseMS, uint32(700))
	g.ExpectEnd("s0", time.Time{}) // it was not confirmed
	is.Equal(g.ChangedSegments(now)[0].PauseMS, uint32(23900))
	g.ExpectEnd("s0", time.Time{})
	is.Equal(len(g.ChangedSegments(now)), 0)
	g.SetServers(now, []string{service}, registered) // instances send requests to it again
	is.Equal(g.ChangedSegments(now)[0].Moving, false)
	g.SetServers(now, []string{service}, registered[1:])
	is.Equal(g.ChangedSegments(now)[0].Moving, true)
	now = now.Add(testSettings.RetryDelay)
	g.CompleteGrant(now, g.Tick(now)[0].(Grant), Accepted)
	is.Equal(g.ChangedSegments(now)[0].Moving, false)
}
