package controller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
	"github.com/wasabibank/wasabibank/internal/resolver"
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
	_, barred := record.Verdict(time.Now()).(quarantiner.Barred)
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
	status := other.barredStatus()
	is.Equal(len(status), 1)
	is.Equal(status[0].Fingerprint, "0000000000000007")
	is.Equal(status[0].Request, "GET h/x")
	is.Equal(status[0].Crashes, 4)

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

// TestCrashesAreSpreadWithoutLeader guards against a request that crashes three servers for each dispatcher while no leader passes
// on what they know, and against messages to others while there is one.
func TestCrashesAreSpreadWithoutLeader(t *testing.T) {
	is := is.New(t)
	calls := make(chan *herald.PublishRequest, 64)
	peer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var request herald.PublishRequest
		_ = proto.Unmarshal(body, &request)
		calls <- &request
	}))
	defer peer.Close()
	now := time.Unix(1000, 0)
	c := newTestController(t, http.NotFound)
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		c.members = append(c.members, resolver.Member{Instance: name, Address: peer.Listener.Addr().String()})
	}
	c.lastContact = now
	noticeCrash(c, now, 1)
	c.spreadCrashRecords(now.Add(time.Second)) // it is left to the leader
	is.Equal(len(calls), 0)
	now = now.Add(3 * time.Second)
	c.spreadCrashRecords(now)
	c.spreadCrashRecords(now) // once is enough
	var record *herald.CrashRecord
	for range quarantiner.SpreadFanOut {
		record = (<-calls).GetSpreadRecords()[0]
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(calls), 0)

	other := newTestController(t, http.NotFound)
	other.receiveSpreadRecords(now, []*herald.CrashRecord{record})
	is.Equal(len(other.unspread), 1) // it passes it on in turn
	clear(other.unspread)
	other.receiveSpreadRecords(now, []*herald.CrashRecord{record})
	is.Equal(len(other.unspread), 0) // but not what it knows
}
