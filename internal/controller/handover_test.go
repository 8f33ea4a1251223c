package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/balancer"
	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
)

// newLeaderOfTwo returns the Controller of a leader at now. The servers a and b have half of the keys each, server c has none.
func newLeaderOfTwo(t *testing.T) (c *Controller, now time.Time) {
	t.Helper()
	c = newControllerWithServers(t, "127.0.0.1:1")
	now = timekeeper.Now()
	plan := storedPlan{exists: true, assignments: []granter.Assignment{
		{Service: "desk", Range: partitioner.Range{First: 0, Last: 32767}, Server: "a"},
		{Service: "desk", Range: partitioner.Range{First: 32768, Last: partitioner.MaxKey}, Server: "b"},
	}}
	began := now.Add(-time.Minute)
	c.leaderState = &leaderState{
		leaderTerm: newLeaderTerm(began, c.grantSettings, 7, elector.Election{Certain: true}, plan), since: began,
		members: map[string]*memberState{}, loads: map[string]*balancer.Load{}, serviceTimes: map[string]*serviceTime{},
		pausedUntil: map[string]time.Time{}, lastBalance: began,
	}
	c.setServers(began)
	for _, at := range []time.Time{began, now} {
		for _, order := range c.leaderState.granter.Tick(at) {
			c.leaderState.granter.CompleteGrant(at, order.(granter.Grant), granter.Accepted)
		}
	}
	is.New(t).Equal(c.leaderState.granter.UngrantedRanges("desk"), 0)
	return c, now
}

// TestLeavingLeaderMovesOnlyWhatMust guards against keys that are not served because the leader exits before a server has answered the
// release of a range that was moved for balance, and against keys that stay with a draining server.
func TestLeavingLeaderMovesOnlyWhatMust(t *testing.T) {
	tests := map[string]struct {
		leaving, drains bool
		want            int // ranges that move
	}{
		"stays, uneven load":    {want: 1},
		"leaves, uneven load":   {leaving: true},
		"leaves, server drains": {leaving: true, drains: true, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now := newLeaderOfTwo(t)
			c.leaving = test.leaving
			if test.drains {
				c.catalog.Put(now, time.Second, cataloger.Server{ID: "b", Service: "desk", Slots: 1, State: cataloger.Draining})
				c.setServers(now)
			}
			c.balanceLoad(now)
			c.leaderState.granter.Tick(now)
			is.Equal(c.leaderState.granter.UngrantedRanges("desk"), test.want)
		})
	}
}

// TestLeaderYieldsOnlyWhileNoKeysWait guards against a leader that asks a larger machine to take over while grants fail or ranges are
// about to move, so that their keys are served later, and against one that never asks.
func TestLeaderYieldsOnlyWhileNoKeysWait(t *testing.T) {
	tests := map[string]struct {
		change func(c *Controller, now time.Time)
		want   bool
	}{
		"all granted": {change: func(*Controller, time.Time) {}, want: true},
		"grant fails": {change: func(c *Controller, now time.Time) {
			orders := c.leaderState.granter.Tick(now.Add(c.grantSettings.RenewInterval))
			c.leaderState.granter.CompleteGrant(now, orders[0].(granter.Grant), granter.NotSent)
		}},
		"server drains": {change: func(c *Controller, now time.Time) {
			c.catalog.Put(now, time.Second, cataloger.Server{ID: "b", Service: "desk", Slots: 1, State: cataloger.Draining})
			c.setServers(now)
		}},
		"range is released": {change: func(c *Controller, now time.Time) {
			c.leaderState.granter.StartMove(now, "desk", partitioner.Range{First: 0, Last: 32767}, "c")
		}},
		"range has moved": {change: func(c *Controller, now time.Time) {
			c.leaderState.granter.StartMove(now, "desk", partitioner.Range{First: 0, Last: 32767}, "c")
			completeMove(c.leaderState.granter, now)
		}, want: true},
		"candidate is small": {change: func(c *Controller, _ time.Time) {
			c.leaderState.members["large"].member.Capacity = c.options.Self.Capacity
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := newLeaderOfTwo(t)
			c.options.Self.Capacity = 100
			c.leaderState.members["large"] = &memberState{member: resolver.Member{Instance: "large", Capacity: 800}}
			test.change(c, now)
			is.New(t).Equal(c.shouldYieldTo(now, "large"), test.want)
		})
	}
}

// TestLeavingInstanceTakesOverLast guards against an instance that becomes the leader while it is leaving, so that keys change their leader
// once more when it exits, and against one that never does although no other is left.
func TestLeavingInstanceTakesOverLast(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	takeover := func(leaving bool) time.Duration {
		c := newControllerWithServers(t, "127.0.0.1:1")
		for c.elector.PendingCallTime(timekeeper.Now()) > 0 { // its end must not reach the next elector
			(<-c.events)(timekeeper.Now())
		}
		c.elector = elector.New(ElectionSettings, now, elector.Identity{Instance: "self"}, 0, false)
		leader := elector.Leader{Identity: elector.Identity{Instance: "leader"}, Term: 1}
		c.elector.Tick(now)
		c.elector.CompleteRead(now, 0, 2, leader, 0)
		if leaving {
			c.AnnounceLeaving()
			for !c.leaving { // events of calls to the store may come before
				(<-c.events)(now)
			}
			c.lost = resolver.NewLostServices([]resolver.LostService{{Service: "desk", Since: now}})
			c.updatePaths(now) // the paths are back
			is.Equal(len(c.lost.All()), 0)
		}
		for range ElectionSettings.RefusalThreshold {
			c.elector.ReportFailed(leader, true)
		}
		for after := time.Duration(0); after < ElectionSettings.SuspicionTimeout; after += 10 * time.Millisecond {
			if _, ok := c.elector.Tick(now.Add(after)).(elector.AppendLeader); ok {
				return after
			}
		}
		return 0
	}
	is.Equal(takeover(true)-takeover(false), ElectionSettings.LastResortDelay)
}

// TestDrainWaitsForMoves guards against a leader that exits while a server releases a range, so that nobody serves its keys until the
// lease has expired, and against one that waits in vain.
func TestDrainWaitsForMoves(t *testing.T) {
	tests := map[string]struct{ moves, leads, ends bool }{
		"range moves":       {moves: true, leads: true},
		"range has moved":   {moves: true, leads: true, ends: true},
		"no range moves":    {leads: true, ends: true},
		"another one leads": {moves: true, ends: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now := newLeaderOfTwo(t)
			l := c.leaderState
			if test.moves {
				is.True(l.granter.StartMove(now, "desk", partitioner.Range{First: 0, Last: 32767}, "c"))
			}
			if !test.leads {
				c.leaderState = nil
			}
			if test.moves && test.leads && test.ends {
				time.AfterFunc(2*drainPollInterval, func() { c.post(func(time.Time) { completeMove(l.granter, now) }) })
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*drainPollInterval)
			defer cancel()
			go func() {
				for ctx.Err() == nil {
					select {
					case event := <-c.events:
						event(now)
					case <-ctx.Done():
					}
				}
			}()
			c.Drain(ctx)
			is.Equal(ctx.Err() == nil, test.ends)
		})
	}
}

// completeMove answers all orders of a granter until a range that moves has its next owner.
func completeMove(g *granter.Granter, now time.Time) {
	for range 4 { // a grant that confirms the lease, the release, the plan and the grant to the next owner
		sequence, _ := g.UnstoredPlan()
		g.SetStoredPlans(sequence, sequence)
		for _, order := range g.Tick(now) {
			switch o := order.(type) {
			case granter.Grant:
				g.CompleteGrant(now, o, granter.Accepted)
			case granter.Release:
				g.CompleteRelease(now, o, granter.Accepted, "")
			}
		}
	}
}
