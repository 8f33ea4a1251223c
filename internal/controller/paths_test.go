package controller

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/balancer"
	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/platform"
)

// newControllerWithServers returns a Controller that knows three servers of a keyed service at an address.
func newControllerWithServers(t *testing.T, address string) *Controller {
	t.Helper()
	is := is.New(t)
	c := newTestController(t, http.NotFound)
	value, err := platform.EncodeConfig(bundler.New(1, []bundler.Service{{Name: "desk", Keyed: true}}, nil, bundler.Limits{}))
	is.NoErr(err)
	c.applyConfig(value)
	c.catalogRead = true
	for _, id := range []string{"a", "b", "c"} {
		c.catalog.Put(timekeeper.Now(), 0, cataloger.Server{ID: id, Service: "desk", Address: address, Slots: 1, State: cataloger.Ready})
	}
	c.viewOutdated = true
	c.step(timekeeper.Now())
	return c
}

// awaitSteps runs the control loop until isMet returns true.
func awaitSteps(t *testing.T, c *Controller, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !isMet(); {
		if time.Now().After(deadline) {
			t.Fatal("timed out")
		}
		select {
		case event := <-c.events:
			event(timekeeper.Now())
		case <-time.After(10 * time.Millisecond):
		}
		c.step(timekeeper.Now())
	}
}

// TestLeaderWithoutPathsNamesServersToOthers guards against a leader that keeps its term although it reaches no server of a keyed
// service and others do.
func TestLeaderWithoutPathsNamesServersToOthers(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())

	leader := newControllerWithServers(t, closed.Addr().String())
	leader.leaderState = &leaderState{members: map[string]*memberState{}, loads: map[string]*balancer.Load{}}
	is.Equal(leader.unreachedServersFor(resolver.Member{}), nil)
	leader.options.Forwarder.CheckPaths(time.Now(), []string{"a"})
	for !leader.lost.Contains("desk") {
		time.Sleep(10 * time.Millisecond)
		leader.updatePaths(timekeeper.Now())
	}
	is.True(leader.isCutOff())
	is.Equal(leader.unreachedServersFor(resolver.Member{Lost: leader.lost}), nil)
	is.Equal(leader.unreachedServersFor(resolver.Member{Leaving: true}), nil)
	named := leader.unreachedServersFor(resolver.Member{})
	is.Equal(named, []string{"a", "b", "c"})

	tests := map[string]struct {
		address  string
		takeover bool
	}{
		"another instance reaches them":         {address: listener.Addr().String(), takeover: true},
		"another instance reaches none of them": {address: closed.Addr().String()},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			other := newControllerWithServers(t, tc.address)
			known := elector.Leader{Identity: elector.Identity{Instance: "leader"}, Term: 1}
			other.elector.ObserveLeader(timekeeper.Now(), known)
			other.handleReply(timekeeper.Now(), known, &herald.ReportReply{Leading: true, UnreachedServers: named})
			if tc.takeover {
				awaitSteps(t, other, other.reachesMoreThanLeader)
				return
			}
			awaitSteps(t, other, func() bool { return other.lost.Contains("desk") })
			is.True(!other.reachesMoreThanLeader())
			is.True(other.isCutOff())
		})
	}
}

// TestLeaderGivesUpServersThatNobodyReaches guards against keys that stay with servers which most instances don't reach, because the
// leader takes that for a fault of its own for ever.
func TestLeaderGivesUpServersThatNobodyReaches(t *testing.T) {
	tests := map[string]struct {
		reachesOne bool
		after      time.Duration
		held       bool
	}{
		"reaches none":                       {after: 10 * maxPathDoubt, held: true},
		"reaches one, lost a moment ago":     {reachesOne: true, held: true},
		"reaches one, nobody has taken over": {reachesOne: true, after: maxPathDoubt},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			is.NoErr(closed.Close())
			c := newControllerWithServers(t, closed.Addr().String())
			if tc.reachesOne {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer listener.Close()
				c.catalog.Put(timekeeper.Now(), 0, cataloger.Server{
					ID: "d", Service: "desk", Address: listener.Addr().String(), Slots: 1, State: cataloger.Ready,
				})
				c.viewOutdated = true
				c.step(timekeeper.Now())
			}
			c.options.Forwarder.CheckPaths(time.Now(), []string{"a", "b", "c"})
			for !c.lost.Contains("desk") {
				time.Sleep(10 * time.Millisecond)
				c.updatePaths(timekeeper.Now())
			}
			c.lostSince["desk"] = c.lostSince["desk"].Add(-tc.after)
			c.updatePaths(timekeeper.Now())
			is.Equal(len(c.held) > 0, tc.held)
		})
	}
}

// TestLostServicesReachOtherInstances guards against instances that go on choosing a dispatcher which has lost its paths.
func TestLostServicesReachOtherInstances(t *testing.T) {
	is := is.New(t)
	lost := resolver.NewLostServices([]resolver.LostService{{Service: "desk", Since: time.UnixMilli(1_700_000_000_001)}})
	c := newTestController(t, http.NotFound)
	c.lost = lost
	is.Equal(decodeMember(c.encodeSelf()).Lost, lost)
	leader := newTestController(t, http.NotFound)
	leader.leaderState = &leaderState{members: map[string]*memberState{}}
	leader.recordReport(timekeeper.Now(), decodeMember(c.encodeSelf()))
	is.True(leader.members[0].Lost.Contains("desk"))
	c.lost = resolver.LostServices{}
	leader.recordReport(timekeeper.Now(), decodeMember(c.encodeSelf()))
	is.True(!leader.members[0].Lost.Contains("desk"))
}
