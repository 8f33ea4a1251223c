package controller

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/throttler"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

// learnFromAnswer makes an instance learn of a server's limit as if from an answer.
func learnFromAnswer(c *Controller, s throttler.Statement) {
	s.At = time.Now()
	c.options.Forwarder.LearnLimit(s.At, s)
	c.limitChanged(s.Server)
}

// TestServerLimitReachesOtherInstances guards against a new dispatcher that sends a server more than the limit that it named to
// its previous dispatcher, because a report was lost or the leader was replaced.
func TestServerLimitReachesOtherInstances(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	dispatcher, first, second, other := newTestController(t, http.NotFound), newTestController(t, http.NotFound),
		newTestController(t, http.NotFound), newTestController(t, http.NotFound)
	leads := elector.Leader{Identity: elector.Identity{Instance: "first", Address: "127.0.0.1:1"}, Term: 1}
	dispatcher.elector.ObserveLeader(now, leads)
	learnFromAnswer(dispatcher, throttler.Statement{Server: "s", Incarnation: 7, Limited: true, Limit: throttler.Limit{Rate: 2.5}})
	is.Equal(len(dispatcher.reportRequest(now, emptyLoads()).GetLimits()), 1)
	dispatcher.limitReports.reportFailed()
	report := dispatcher.reportRequest(now, emptyLoads())
	is.Equal(len(report.GetLimits()), 1) // reported again
	dispatcher.limitReports.reportAnswered()
	is.Equal(len(dispatcher.reportRequest(now, emptyLoads()).GetLimits()), 0)
	dispatcher.limitReports.reportAnswered()

	first.leaderState = &leaderState{}
	for _, server := range first.learnLimits(report.GetLimits()) {
		first.leaderState.limits.record(server)
	}
	list := first.limitsFor(other.limitReports.version)
	other.applyLimits(list)
	limit, limited := other.options.Forwarder.Limit("s", 7)
	is.True(limited)
	is.Equal(limit.Rate, 2.5)
	is.Equal(first.limitsFor(other.limitReports.version), nil) // it knows all of them

	leads.Identity.Instance, leads.Term = "second", 2
	dispatcher.elector.ObserveLeader(now, leads)
	report = dispatcher.reportRequest(now, emptyLoads())
	is.Equal(len(report.GetLimits()), 1) // the new leader may not know it
	second.leaderState = &leaderState{}
	is.Equal(second.learnLimits(report.GetLimits()), []string{"s"})
}

// TestNewLeaderPassesOnLimitsThatItKnows guards against limits that get lost with the leader that passed them on.
func TestNewLeaderPassesOnLimitsThatItKnows(t *testing.T) {
	is := is.New(t)
	c := newTestController(t, http.NotFound)
	learnFromAnswer(c, throttler.Statement{Server: "s", Incarnation: 7, Limited: true, Limit: throttler.Limit{Rate: 2.5}})
	c.leaderState = &leaderState{}
	c.handOverLimits(c.leaderState)
	is.Equal(len(c.limitsFor(changeVersion{}).GetLimits()), 1)
	c.leaderState.limits.retain(func(string) bool { return false }) // the server is gone
	is.Equal(len(c.limitsFor(changeVersion{}).GetLimits()), 0)
}

// TestWithdrawnLimitReachesOtherInstances guards against a server that gets few requests for long after it has withdrawn its
// limit.
func TestWithdrawnLimitReachesOtherInstances(t *testing.T) {
	is := is.New(t)
	leader, other := newTestController(t, http.NotFound), newTestController(t, http.NotFound)
	leader.leaderState = &leaderState{}
	learnFromAnswer(leader, throttler.Statement{Server: "s", Incarnation: 7, Limited: true, Limit: throttler.Limit{Rate: 2.5}})
	other.applyLimits(leader.limitsFor(other.limitReports.version))
	time.Sleep(5 * time.Millisecond) // times are passed on in milliseconds
	learnFromAnswer(leader, throttler.Statement{Server: "s", Incarnation: 7})
	other.applyLimits(leader.limitsFor(other.limitReports.version))
	_, limited := other.options.Forwarder.Limit("s", 7)
	is.True(!limited)
}

// TestLimitedServerHasLessCapacity guards against keys that stay with a server that can't take the requests for them, although
// other servers can.
func TestLimitedServerHasLessCapacity(t *testing.T) {
	is := is.New(t)
	c := newTestController(t, http.NotFound)
	now := time.Unix(1000, 0)
	for _, id := range []string{"free", "limited", "none"} {
		c.catalog.Put(now, time.Second, cataloger.Server{ID: id, Service: "desk", Slots: 2, Incarnation: 7})
	}
	c.leaderState = &leaderState{serviceTimes: map[string]*serviceTime{}}
	for _, id := range []string{"free", "limited", "none"} {
		c.leaderState.serviceTimes[id] = &serviceTime{longSeconds: 0.2, recentSeconds: 0.2, answers: 40}
	}
	learnFromAnswer(c, throttler.Statement{Server: "limited", Incarnation: 7, Limited: true, Limit: throttler.Limit{Rate: 2.5}})
	learnFromAnswer(c, throttler.Statement{Server: "none", Incarnation: 7, Limited: true})
	capacities := c.capacities(now, []string{"free", "limited", "none"})
	is.True(math.Abs(capacities["free"]-2) < 1e-9)
	is.True(math.Abs(capacities["limited"]-0.5) < 1e-9) // 2.5 requests a second of 0.2 s
	is.Equal(capacities["none"], minLimitedCapacity)
}

// TestColdServerHasLessCapacity guards against keys that stay with a cold server which can't take the requests for them, although
// other servers can.
func TestColdServerHasLessCapacity(t *testing.T) {
	is := is.New(t)
	c := newTestController(t, http.NotFound)
	c.options.Forwarder.SetColdRule(throttler.ColdRule{Overage: 1.5, Tolerance: 8})
	c.table = matcher.NewTable(bundler.New(1, []bundler.Service{
		{Name: "desk", Keyed: true, WarmupTime: 8 * time.Second, WarmupRate: 4},
	}, nil, bundler.Limits{}))
	c.catalogRead = true
	now := timekeeper.Now()
	c.leaderState = &leaderState{serviceTimes: map[string]*serviceTime{}}
	for id, left := range map[string]time.Duration{"warm": 0, "cold": 5 * time.Second} {
		c.catalog.Put(now, time.Second, cataloger.Server{ID: id, Service: "desk", Slots: 2, Incarnation: 7, WarmupLeft: left})
		c.leaderState.serviceTimes[id] = &serviceTime{longSeconds: 0.2, recentSeconds: 0.2, answers: 40}
	}
	c.updateView()
	capacities := c.capacities(now, []string{"warm", "cold"})
	is.True(math.Abs(capacities["warm"]-2) < 1e-9)
	is.True(math.Abs(capacities["cold"]-0.8) < 1e-9) // 4 requests a second of 0.2 s
}
