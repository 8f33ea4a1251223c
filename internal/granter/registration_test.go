package granter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// TestRangeAwaitsRegistrationOfItsOwner guards against keys that are not served because they are released by an owner whose
// registration reappears before another server could get them, and against ones that stay with a server that ends.
func TestRangeAwaitsRegistrationOfItsOwner(t *testing.T) {
	tests := map[string]struct {
		acceptedFor  time.Duration   // for how long the owner has accepted grants before its registration is missing
		unanswered   bool            // then a renewal gets no answer
		state        cataloger.State // of the registration, if there is one
		registered   bool            // there is one
		reappears    time.Duration   // when it is ready again; 0 means never
		releasedWait time.Duration   // when the range is released, if it is
		released     bool
	}{
		"new leader, registration reappears":         {reappears: 1500 * time.Millisecond},
		"new leader, registration stays away":        {released: true, releasedWait: registrationWait},
		"new leader, server gone":                    {registered: true, state: cataloger.Gone, released: true},
		"no lease but that of the last grant":        {acceptedFor: 6 * time.Second, released: true},
		"lost answer, registration reappears":        {acceptedFor: 6 * time.Second, unanswered: true, reappears: time.Second},
		"lost answer, registration stays away":       {acceptedFor: 6 * time.Second, unanswered: true, released: true, releasedWait: registrationWait},
		"new leader, grants accepted since the wait": {acceptedFor: 3500 * time.Millisecond, released: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan := []Assignment{{Service: service, Range: partitioner.Range{Last: partitioner.MaxKey}, Server: "s0", Incarnation: 1}}
			g := New(testSettings, epoch, 2, plan, epoch.Add(time.Minute))
			owner, other := cataloger.Server{ID: "s0", Service: service, Incarnation: 1}, cataloger.Server{ID: "s1", Service: service}
			g.SetServers(epoch, []string{service}, []cataloger.Server{owner, other})
			now, outcome := epoch, Accepted
			// tick answers the grants that are due, and reports whether a release was due.
			tick := func() (released bool) {
				for _, order := range g.Tick(now) {
					switch o := order.(type) {
					case Grant:
						g.CompleteGrant(now, o, outcome)
						outcome = Accepted
					case Release:
						released = true
					}
				}
				return released
			}
			for ; now.Before(epoch.Add(test.acceptedFor)); now = now.Add(timeStep) {
				is.True(!tick())
			}
			if test.unanswered {
				outcome = Unanswered
				for ; outcome == Unanswered; now = now.Add(timeStep) {
					is.True(!tick())
				}
			}
			is.True(!tick())
			missing := []cataloger.Server{other}
			if test.registered {
				owner.State = test.state
				missing = append(missing, owner)
			}
			start := now
			g.SetServers(now, []string{service}, missing)
			for ; now.Before(start.Add(testSettings.MaxLeaseLifetime() - time.Second)); now = now.Add(timeStep) {
				if test.reappears > 0 && now.Sub(start) == test.reappears {
					owner.State = cataloger.Ready
					g.SetServers(now, []string{service}, []cataloger.Server{owner, other})
				}
				if tick() {
					is.True(test.released)
					is.True((now.Sub(start) - test.releasedWait).Abs() <= 2*timeStep) // with a grant that confirms the lease
					return
				}
			}
			is.True(!test.released)
		})
	}
}
