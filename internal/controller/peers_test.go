package controller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
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

// TestMessagesWithoutEndAreCut guards against memory that another instance takes by sending an answer without end.
func TestMessagesWithoutEndAreCut(t *testing.T) {
	is := is.New(t)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for r.Context().Err() == nil {
			_, _ = w.Write(make([]byte, 1<<20))
		}
	}))
	defer peer.Close()
	peers := newPeers()
	_, err := peers.get(peer.Listener.Addr().String()).Report(context.Background(), &herald.ReportRequest{})
	is.True(err != nil)
}

// TestInvalidStatusOfInstanceIsNoAnswer guards against a message that is believed although the first line of the answer is no status line
// of HTTP/1, so that something else than an instance may have sent it.
func TestInvalidStatusOfInstanceIsNoAnswer(t *testing.T) {
	tests := map[string]struct {
		line  string
		valid bool
	}{
		"valid":                  {line: "HTTP/1.1 200 OK", valid: true},
		"status 000":             {line: "HTTP/1.1 000 OK"},
		"status 600":             {line: "HTTP/1.1 600 Odd"},
		"switching protocols":    {line: "HTTP/1.1 101 Switching Protocols"},
		"unknown version":        {line: "HTTP/3.7 200 OK"},
		"later version":          {line: "HTTP/2.0 200 OK"},
		"no version":             {line: "HTTP 200 OK"},
		"control byte in reason": {line: "HTTP/1.1 200 O\x00K"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				defer conn.Close()
				_, _ = io.WriteString(conn, test.line+"\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n")
			}))
			defer peer.Close()
			peers := newPeers()
			_, err := peers.get(peer.Listener.Addr().String()).Report(t.Context(), &herald.ReportRequest{})
			is.Equal(err == nil, test.valid)
		})
	}
}

// TestMemberListsFollowTermsAndVersions guards against a list of members of a leader that was replaced, or an older one of
// the same leader, that replaces a newer list.
func TestMemberListsFollowTermsAndVersions(t *testing.T) {
	tests := map[string]struct {
		term, version uint64
		applied       bool
	}{
		"later version":                  {term: 5, version: 8, applied: true},
		"same version":                   {term: 5, version: 7, applied: true},
		"earlier version":                {term: 5, version: 6},
		"first version of a later term":  {term: 6, version: 1, applied: true},
		"later version, in earlier term": {term: 4, version: 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestController(t, http.NotFound)
			c.applyMembers(&herald.Members{Term: 5, Version: 7, Members: []*herald.Member{{Instance: "a"}}})
			c.applyMembers(&herald.Members{Term: test.term, Version: test.version, Members: []*herald.Member{{Instance: "b"}}})
			want := "a"
			if test.applied {
				want = "b"
			}
			is.Equal(c.members, []resolver.Member{{Instance: want}})
		})
	}
}

// TestLeavingServersReachTheLeader guards against a server that says to one instance that it is leaving, and that stays in
// use because the report is lost, or because the leader does not tell others.
func TestLeavingServersReachTheLeader(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newTestController(t, http.NotFound)
	c.serverLeaves(now, "s1", 7)
	c.serverLeaves(now, "s1", 7) // each answer says so
	is.Equal(len(c.leavingServers.beginReport(1)), 1)
	c.leavingServers.reportFailed()
	reported := c.leavingServers.beginReport(1)
	is.Equal(len(reported), 1)
	c.leavingServers.reportAnswered()
	is.Equal(len(c.leavingServers.beginReport(1)), 0)

	leader := newTestController(t, http.NotFound)
	leader.leaderState = &leaderState{}
	for _, s := range reported {
		leader.serverLeaves(now, s.GetServer(), s.GetIncarnation())
	}
	other := newTestController(t, http.NotFound)
	list := leader.leavingFor(other.leavingServers.version)
	is.Equal(len(list.GetServers()), 1)
	other.applyLeaving(now, list)
	is.Equal(other.leavingServers.incarnations, map[string]int64{"s1": 7})
	is.Equal(leader.leavingFor(other.leavingServers.version), nil) // it knows all of them
}

// TestNewLeaderHearsOfLeavingServers guards against a server that stays in use because only a leader that was replaced, and
// those who told it, know that it is leaving.
func TestNewLeaderHearsOfLeavingServers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newTestController(t, http.NotFound)
	leader := elector.Leader{Identity: elector.Identity{Instance: "first", Address: "127.0.0.1:1"}, Term: 1}
	c.elector.ObserveLeader(now, leader)
	c.serverLeaves(now, "s2", 8)
	c.serverLeaves(now, "s1", 7)
	is.Equal(len(c.reportRequest(now, emptyLoads()).GetLeaving()), 2)
	c.leavingServers.reportAnswered()
	is.Equal(len(c.reportRequest(now, emptyLoads()).GetLeaving()), 0)
	c.leavingServers.reportAnswered()
	leader.Identity.Instance, leader.Term = "second", 2
	c.elector.ObserveLeader(now, leader)
	is.Equal(len(c.reportRequest(now, emptyLoads()).GetLeaving()), 2)
	c.leavingServers.reportFailed()
	is.Equal(len(c.reportRequest(now, emptyLoads()).GetLeaving()), 2)
	c.leavingServers.reportAnswered()
	is.Equal(len(c.reportRequest(now, emptyLoads()).GetLeaving()), 0)
}

// TestLeavingInstanceStopsDispatching guards against an instance that goes on dispatching beside its successor while it shuts
// down, so that servers get twice as many requests as they take.
func TestLeavingInstanceStopsDispatching(t *testing.T) {
	is := is.New(t)
	c := newTestController(t, http.NotFound)
	value, err := platform.EncodeConfig(bundler.New(1, nil, nil, bundler.Limits{}))
	is.NoErr(err)
	c.applyConfig(value)
	c.catalogRead = true
	c.step(timekeeper.Now())
	is.True(!c.view.Self.Leaving)
	c.AnnounceLeaving()
	for !c.leaving { // events of calls to the store may come before
		(<-c.events)(timekeeper.Now())
	}
	c.step(timekeeper.Now())
	is.True(c.view.Self.Leaving)
}

// TestLeaderPassesOnALostConfiguration guards against an instance that starts after the store came back from an older copy,
// and applies the older configuration that it finds there.
func TestLeaderPassesOnALostConfiguration(t *testing.T) {
	config := func(version uint64) []byte {
		value, err := platform.EncodeConfig(bundler.New(version, nil, nil, bundler.Limits{}))
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	tests := map[string]struct {
		era  uint64 // of the store at the report
		have uint64 // version that the instance has
		want uint64 // version that it has afterwards
	}{
		"lost":                       {era: 2, have: 5, want: 7},
		"not lost":                   {era: 1, have: 5, want: 5}, // the instance reads it from the store itself
		"the instance is up to date": {era: 2, have: 7, want: 7},
		"the instance has a newer":   {era: 2, have: 8, want: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := timekeeper.Now()
			leader, other := newTestController(t, http.NotFound), newTestController(t, http.NotFound)
			leader.elector.ObserveEra(now, 1)
			leader.applyConfig(config(7))
			leader.leaderState = &leaderState{
				leaderTerm: newLeaderTerm(now, leader.grantSettings, 1, elector.Election{Certain: true}, storedPlan{}),
				members:    map[string]*memberState{}, loads: map[string]*balancer.Load{},
			}
			leader.elector.ObserveEra(now, test.era)
			other.applyConfig(config(test.have))
			reply := leader.handleReport(now, other.reportRequest(now, emptyLoads()))
			other.handleReply(now, elector.Leader{}, reply)
			is.Equal(other.table.Version(), test.want)
		})
	}
}

// TestReplacedLeaderIsToldUntilItAnswers guards against a leader that goes on sending orders until its leader lease expires,
// because the one message that it was replaced was lost and it reports to nobody.
func TestReplacedLeaderIsToldUntilItAnswers(t *testing.T) {
	is := is.New(t)
	calls := make(chan struct{}, 16)
	previous := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusBadGateway)
	}))
	defer previous.Close()
	now := timekeeper.Now()
	c := newTestController(t, http.NotFound)
	member := resolver.Member{Instance: "old", Incarnation: 3, Address: previous.Listener.Addr().String()}
	c.leaderState = &leaderState{
		since: now, membersVersion: 1, members: map[string]*memberState{},
		predecessor:      elector.Identity{Instance: "old", Incarnation: 3, Address: member.Address},
		predecessorState: &memberState{member: member},
	}
	for range 3 {
		c.notifyPredecessor(now)
		<-calls
		(<-c.events)(now) // the message failed
		c.notifyPredecessor(now.Add(predecessorPublishInterval - 1))
		is.Equal(len(calls), 0)
		now = now.Add(predecessorPublishInterval)
	}
	c.notifyPredecessor(now.Add(ElectionSettings.LeaseDuration)) // it has certainly stopped
	is.True(!c.leaderState.predecessorState.publishing)
}

// TestUndecodablePlanGrantsNothingEarly guards against a new leader that takes a plan which it can't decode for none, and
// grants ranges that other servers have.
func TestUndecodablePlanGrantsNothingEarly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, err := decodePlan([]byte{0xff})
	is.True(err != nil)
	l := newLeaderTerm(now, GrantSettings, 7, elector.Election{Certain: true}, storedPlan{exists: true, err: err})
	servers := []cataloger.Server{{ID: "s1", Service: "desk", Slots: 2}}
	l.granter.SetServers(now, []string{"desk"}, servers)
	_, sequence, unstored := l.granter.Plan()
	is.True(unstored)
	l.granter.SetStoredPlans(sequence, sequence)
	expiry := now.Add(ElectionSettings.LeaseDuration + GrantSettings.MaxLeaseLifetime())
	is.Equal(len(l.granter.Tick(expiry.Add(-1))), 0)
	is.Equal(len(l.granter.Tick(expiry)), 1)
}
