package controller

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
)

// noticeCrash makes an instance notice that an incarnation of a server has ended under a request.
func noticeCrash(c *Controller, now time.Time, incarnation int64) {
	record := quarantiner.Record{Fingerprint: 7, Name: "GET h/x", Crashes: map[quarantiner.Crash]quarantiner.Sighting{
		{Server: "s", Incarnation: incarnation}: {At: time.Now(), Alone: true},
	}}
	c.options.Forwarder.MergeQuarantine(time.Now(), record)
	c.quarantineChanged(now, 7)
}

// isBarred reports whether an instance refuses the request of noticeCrash.
func isBarred(c *Controller) bool {
	record, _ := c.options.Forwarder.QuarantineRecord(7)
	var q quarantiner.Quarantine
	q.Merge(time.Now(), record)
	_, barred := q.VerdictOn(time.Now(), 7).(quarantiner.Barred)
	return barred
}

// TestCrashesAreAddedUpOverInstances guards against a request that crashes three servers at each instance, because a report was
// lost, the leader was replaced, or each instance counts alone.
func TestCrashesAreAddedUpOverInstances(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	first, second := newTestController(t, http.NotFound), newTestController(t, http.NotFound)
	leads := elector.Leader{Identity: elector.Identity{Instance: "leader", Address: "127.0.0.1:1"}, Term: 1}
	var reports []*herald.CrashRecord
	for i, c := range []*Controller{first, second} {
		c.elector.ObserveLeader(now, leads)
		noticeCrash(c, now, int64(2*i))
		c.reportRequest(now, emptyLoads())
		c.quarantineReports.reportFailed()
		noticeCrash(c, now, int64(2*i+1))
		reports = append(reports, c.reportRequest(now, emptyLoads()).GetCrashRecords()...)
		c.quarantineReports.reportAnswered()
		is.Equal(len(c.reportRequest(now, emptyLoads()).GetCrashRecords()), 0)
		is.True(!isBarred(c)) // two crashes each
	}
	leader, other := newTestController(t, http.NotFound), newTestController(t, http.NotFound)
	leader.leaderState = &leaderState{}
	for range 2 { // twice makes no difference
		leader.observeCrashReports(reports)
	}
	is.True(isBarred(leader))
	is.True(leader.leaderState.unpublished)
	list := leader.crashRecordsFor(other.quarantineReports.version)
	other.applyCrashRecords(list)
	is.True(isBarred(other))
	record, _ := other.options.Forwarder.QuarantineRecord(7)
	is.Equal(record.Name, "GET h/x")
	is.Equal(len(record.Crashes), 4)
	is.Equal(leader.crashRecordsFor(other.quarantineReports.version), nil)

	leads.Identity.Instance, leads.Term = "next", 2
	other.elector.ObserveLeader(now, leads)
	is.Equal(len(other.reportRequest(now, emptyLoads()).GetCrashRecords()), 1) // the new leader may not know it
	next := newTestController(t, http.NotFound)
	noticeCrash(next, now, 9)
	next.leaderState = &leaderState{}
	next.handOverQuarantine(next.leaderState)
	is.Equal(len(next.crashRecordsFor(changeVersion{}).GetRecords()), 1)
}

// TestCrashIsReportedSoon guards against a request that goes on crashing servers until the next regular report.
func TestCrashIsReportedSoon(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newTestController(t, http.NotFound)
	c.lastReport = now
	noticeCrash(c, now, 1)
	is.Equal(c.lastReport.Add(c.reportInterval()), now.Add(quarantineReportDelay))
}
