package controller

import (
	"context"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/wasabibank/wasabibank/internal/balancer"
	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

// TestOddLimitOfAServerIsNotLearned guards against a limit without a rate, which an instance that passes it on may have got from an odd
// server: the queue of the server would never send again, or divide by it.
func TestOddLimitOfAServerIsNotLearned(t *testing.T) {
	for name, rate := range map[string]float64{
		"no number": math.NaN(), "infinite": math.Inf(1), "negative": -1, "negative and infinite": math.Inf(-1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestController(t, http.NotFound)
			odd := &herald.ServerLimit{Server: "s", Incarnation: 1, Limited: true, Rate: rate}
			is.Equal(len(c.learnLimits([]*herald.ServerLimit{odd})), 0)
			_, limited := c.options.Forwarder.Limit("s", 1)
			is.True(!limited)
		})
	}
	t.Run("since before the beginning of time", func(t *testing.T) {
		is := is.New(t)
		c := newTestController(t, http.NotFound)
		odd := &herald.ServerLimit{Server: "s", Incarnation: 1, Limited: true, Rate: 1, LimitedMs: math.MaxUint64}
		is.Equal(len(c.learnLimits([]*herald.ServerLimit{odd})), 1)
		limit, _ := c.options.Forwarder.Limit("s", 1)
		is.True(limit.Since.Before(time.Now()))
	})
}

// newLeadingController returns an instance that leads, with one keyed service.
func newLeadingController(t *testing.T, now time.Time) *Controller {
	t.Helper()
	c := newTestController(t, http.NotFound)
	c.table = matcher.NewTable(bundler.New(1, []bundler.Service{{Name: "desk", Keyed: true}}, nil, bundler.Limits{}))
	c.catalogRead = true
	c.leaderState = &leaderState{
		leaderTerm: newLeaderTerm(now, c.grantSettings, 1, elector.Election{Certain: true}, storedPlan{}), since: now,
		members: map[string]*memberState{}, membersVersion: 1, loads: map[string]*balancer.Load{}, serviceTimes: map[string]*serviceTime{},
		lastBalance: now, plans: map[uint64][]byte{}, affectedDispatchers: map[string]bool{}, pausedUntil: map[string]time.Time{},
	}
	return c
}

// FuzzPeerMessages feeds odd messages of other instances to an instance that leads and to one that does not.
func FuzzPeerMessages(f *testing.F) {
	segment := &herald.Segment{Last: 65535, Server: "s"}
	member := &herald.Member{Instance: "b", Incarnation: 2, Address: "10.0.0.9:1", Domain: "d", Capacity: 1<<32 - 1}
	crash := &herald.CrashRecord{Fingerprint: 1, Crashes: []*herald.Crash{{Server: "s", AgeMs: 1<<32 - 1}}, AnswerAgeMs: 1<<32 - 1}
	limit := &herald.ServerLimit{Server: "s", Limited: true, Rate: math.NaN(), LimitedMs: math.MaxUint64}
	for _, message := range []proto.Message{
		&herald.ReportRequest{
			Member: member, MapSequence: math.MaxUint64, MembersVersion: math.MaxUint64, LeavingKnown: math.MaxUint64, LimitsVersion: math.MaxUint64,
			CrashesVersion: math.MaxUint64, LastLed: math.MaxUint64,
			Keys:    []*herald.KeyLoad{{Service: "desk", Keys: []uint32{1, 65536}, Requests: []uint32{1<<32 - 1}}},
			Servers: []*herald.ServerLoad{{Server: "s", Answers: 1<<32 - 1, WorkMs: 1<<32 - 1, PausedMs: 1<<32 - 1}},
			Leaving: []*herald.LeavingServer{{Server: "s", Incarnation: math.MaxInt64}}, Limits: []*herald.ServerLimit{limit},
			CrashRecords: []*herald.CrashRecord{crash},
		},
		&herald.PublishRequest{
			Lead:    &herald.Lead{Member: member, Term: 5},
			Owners:  &herald.Owners{Term: 5, Sequence: 1, Whole: true, Services: []string{"desk"}, Segments: []*herald.Segment{segment, segment}},
			Members: &herald.Members{Term: 5, Members: []*herald.Member{member, member, nil, {}}},
			Leaving: &herald.LeavingServers{Term: 5, Known: math.MaxUint64}, Limits: &herald.ServerLimits{Limits: []*herald.ServerLimit{limit}},
			CrashRecords: &herald.CrashRecords{Records: []*herald.CrashRecord{crash, nil}}, SpreadRecords: []*herald.CrashRecord{crash},
		},
		&herald.ReportReply{Leading: true, Lead: &herald.Lead{Term: math.MaxUint64}, Read: map[string]int64{"": math.MinInt64}, Config: []byte("{}")},
		&herald.FetchRequest{Topic: "odd", From: math.MinInt64, Era: math.MaxUint64, WaitMs: 1<<32 - 1},
	} {
		data, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1000, 0)
		leading, other := newLeadingController(t, now), newTestController(t, http.NotFound)
		other.table, other.catalogRead = leading.table, true
		if report := new(herald.ReportRequest); proto.Unmarshal(data, report) == nil {
			reply := leading.handleReport(now, report)
			other.handleReply(now, elector.Leader{Term: 1}, reply)
			other.handleReport(now, report)
		}
		if reply := new(herald.ReportReply); proto.Unmarshal(data, reply) == nil {
			other.handleReply(now, elector.Leader{Term: 1}, reply)
			leading.handleReply(now, elector.Leader{Term: 1}, reply)
		}
		if publication := new(herald.PublishRequest); proto.Unmarshal(data, publication) == nil {
			for _, c := range []*Controller{leading, other} {
				c.receiveSpreadRecords(now, publication.GetSpreadRecords())
				c.observeLeader(now, publication.GetLead())
				c.applyOwners(publication.GetOwners())
				c.applyMembers(publication.GetMembers())
				c.applyLeaving(now, publication.GetLeaving())
				c.applyLimits(publication.GetLimits())
				c.applyCrashRecords(publication.GetCrashRecords())
			}
		}
		if reply := new(herald.PublishReply); proto.Unmarshal(data, reply) == nil {
			leading.handlePublishReply(now, reply)
			leases, _ := decodeLeases(reply.GetLeases())
			leading.leaderState.granter.PredecessorStopped(now, leases, false)
		}
		if request := new(herald.FetchRequest); proto.Unmarshal(data, request) == nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			_, _ = other.Fetch(ctx, request)
		}
		for _, c := range []*Controller{leading, other} {
			c.updateView()
			c.reportRequest(now, emptyLoads())
		}
		for _, order := range leading.leaderState.granter.Tick(now) {
			if _, ok := order.(granter.Grant); ok {
				t.Fatal("a message of an instance made a server known")
			}
		}
	})
}
