package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
)

// answeringLeader answers reports as a leader without crash records. Its other methods must not be called.
type answeringLeader struct{ herald.Herald }

// Report implements herald.Herald.
func (answeringLeader) Report(context.Context, *herald.ReportRequest) (*herald.ReportReply, error) {
	return &herald.ReportReply{Leading: true}, nil
}

// TestOnlyAnsweredReportEndsCatchup guards against an instance that has just started, or was suspended, and sends a request that
// crashes servers because a leader has called it: a publication has what an earlier incarnation lacked, and an answer that was on its
// way during a suspension lacks what others have noticed since.
func TestOnlyAnsweredReportEndsCatchup(t *testing.T) {
	leader := elector.Leader{Identity: elector.Identity{
		Instance: "leader", Incarnation: 1, Address: startTestServer(t, herald.NewHeraldServer(answeringLeader{}).ServeHTTP),
	}, Term: 5}
	published := func(c *Controller) {
		go func() { (<-c.events)(timekeeper.Now()) }()
		_, err := c.Publish(t.Context(), &herald.PublishRequest{Lead: &herald.Lead{
			Term: leader.Term, Member: &herald.Member{Instance: leader.Identity.Instance, Incarnation: 1, Address: leader.Identity.Address},
		}})
		is.New(t).NoErr(err)
	}
	report := func(c *Controller) (answer func(time.Time)) {
		c.elector.ObserveLeader(timekeeper.Now(), leader)
		c.lastReport = time.Time{}
		c.sendReport(timekeeper.Now())
		return <-c.events
	}
	tests := map[string]struct {
		events func(c *Controller, begin func())
		active bool
	}{
		"nothing":   {events: func(_ *Controller, begin func()) { begin() }, active: true},
		"published": {events: func(c *Controller, begin func()) { begin(); published(c) }, active: true},
		"answered":  {events: func(c *Controller, begin func()) { begin(); report(c)(timekeeper.Now()) }},
		"answered and then suspended": {
			events: func(c *Controller, begin func()) { answer := report(c); begin(); answer(timekeeper.Now()) }, active: true,
		},
		"answered after a suspension": {
			events: func(c *Controller, begin func()) {
				report(c)(timekeeper.Now())
				begin()
				report(c)(timekeeper.Now())
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestController(t, http.NotFound)
			var catchup quarantiner.Catchup
			test.events(c, func() {
				time.Sleep(2 * time.Millisecond)
				catchup.Begin(time.Now())
			})
			now := time.Now()
			catchup.Step(now, c.reportSilence(now), c.leadingTime(timekeeper.Now()))
			is.New(t).Equal(catchup.Active(now), test.active)
		})
	}
}
