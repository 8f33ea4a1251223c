package controller

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/platform"
)

// TestPreviousLeaderPassesItsLeases guards against keys that wait for leases which the previous leader knows to have ended, and against
// leases that end too early because an answer is about another term, or invalid.
func TestPreviousLeaderPassesItsLeases(t *testing.T) {
	tests := map[string]struct {
		before             func(previous *Controller, now time.Time)
		change             func(reply *herald.PublishReply)
		asked              uint64
		inherited, invalid int64
	}{
		"they last": {inherited: 2},
		"an order is in flight when the term ends": {
			before: func(previous *Controller, now time.Time) { previous.leaderState.granter.Tick(now.Add(time.Minute)) }, inherited: 2,
		},
		"another term is asked for": {asked: 6},
		"about another term":        {change: func(reply *herald.PublishReply) { reply.Leases.Term++ }},
		"no leases, an older build": {change: func(reply *herald.PublishReply) { reply.Leases = nil }},
		"it has restarted":          {change: func(reply *herald.PublishReply) { reply.Member.Incarnation++ }},
		"others may have granted":   {before: func(previous *Controller, _ time.Time) { previous.leaderState.granter.Freeze() }},
		"a time is negative":        {change: func(reply *herald.PublishReply) { reply.Leases.Ranges[0].AnsweredMs = -1 }, invalid: 1},
		"a time is too long":        {change: func(reply *herald.PublishReply) { reply.Leases.Ranges[1].UnansweredMs = math.MaxInt64 }, invalid: 1},
		"a service is missing":      {change: func(reply *herald.PublishReply) { reply.Leases.Services = nil }, invalid: 1},
		"a key is too high":         {change: func(reply *herald.PublishReply) { reply.Leases.Ranges[1].Last = 1 << 16 }, invalid: 1},
		"too many ranges": {change: func(reply *herald.PublishReply) {
			reply.Leases.Ranges = make([]*herald.RangeLease, maxPassedLeases+1)
		}, invalid: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			previous, now := newLeaderOfTwo(t)
			next, _ := newLeaderOfTwo(t)
			identity := elector.Identity{Instance: previous.options.Self.Instance, Incarnation: previous.options.Self.Incarnation}
			plan := storedPlan{exists: true, assignments: []granter.Assignment{
				{Service: "desk", Range: partitioner.Range{First: 0, Last: 32767}, Server: "a"},
				{Service: "desk", Range: partitioner.Range{First: 32768, Last: partitioner.MaxKey}, Server: "b"},
			}}
			l := next.leaderState
			l.leaderTerm = newLeaderTerm(now, next.grantSettings, 8, elector.Election{Certain: true, Predecessor: identity}, plan)
			l.predecessor, l.predecessorTerm = identity, 7
			if test.before != nil {
				test.before(previous, now)
			}
			is.Equal(l.leasesToAskFor("another"), uint64(0))
			request := &herald.PublishRequest{Lead: &herald.Lead{Term: 8, Member: &herald.Member{Instance: "next"}}}
			request.LeasesOfTerm = l.leasesToAskFor(identity.Instance)
			if test.asked != 0 {
				request.LeasesOfTerm = test.asked
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			go func() {
				for ctx.Err() == nil {
					select {
					case event := <-previous.events:
						event(now)
					case <-ctx.Done():
					}
				}
			}()
			reply, err := previous.Publish(ctx, request)
			is.NoErr(err)
			is.True(!reply.GetLeading())
			if test.change != nil {
				test.change(reply)
			}
			next.handlePublishReply(now, reply)
			is.Equal(next.options.Meter.Get(meter.LeasesInherited), test.inherited)
			is.Equal(next.options.Meter.Get(meter.InvalidLeases), test.invalid)
			is.Equal(l.predecessor, elector.Identity{}) // it has stopped in each case
			lifetime := next.grantSettings.MaxLeaseLifetime()
			for _, passed := range reply.GetLeases().GetRanges() {
				if test.change == nil && test.before == nil {
					is.Equal(passed.AnsweredMs, lifetime.Milliseconds())
					is.Equal(passed.UnansweredMs, int64(0))
				} else if test.change == nil {
					is.True(passed.UnansweredMs > lifetime.Milliseconds()) // it may still be sent
				}
			}
		})
	}
}

// TestGrantIsNotSentLate guards against a grant that is sent after the leases that its leader has passed on have ended, because the
// process was suspended between the decision and the sending.
func TestGrantIsNotSentLate(t *testing.T) {
	for name, test := range map[string]struct {
		late time.Duration
		want int64
	}{"in time": {want: 1}, "suspended": {late: platform.GrantTimeout}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now := newLeaderOfTwo(t)
			orders := c.leaderState.granter.Tick(now.Add(c.grantSettings.RenewInterval))
			var received atomic.Int64
			address := startTestServer(t, func(http.ResponseWriter, *http.Request) { received.Add(1) })
			c.sendGrant(time.Now().Add(-test.late), c.leaderState, address, orders[0].(granter.Grant))
			is.Equal(received.Load(), test.want)
		})
	}
}
