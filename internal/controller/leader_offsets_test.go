package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/platform"
)

// TestLeaderOffsetsExpireAndShowMissedRecords guards against a relay that is compared with outdated offsets of the leader,
// and against records that this instance misses although the leader has read them.
func TestLeaderOffsetsExpireAndShowMissedRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	offsets := &leaderOffsets{validUntil: now.Add(time.Second), era: 1, offsets: map[string]int64{serversTopic: 7}}
	tests := map[string]struct {
		leader             *leaderOffsets
		after              time.Duration
		era                uint64
		from               int64
		valid, leaderAhead bool
	}{
		"leader never answered":        {from: 7},
		"as far as the leader":         {leader: offsets, era: 1, from: 7, valid: true},
		"this instance has read more":  {leader: offsets, era: 1, from: 9, valid: true},
		"the leader has read more":     {leader: offsets, era: 1, from: 6, valid: true, leaderAhead: true},
		"the leader is in a later era": {leader: offsets, from: 9, valid: true, leaderAhead: true},
		"leader's answer is overdue":   {leader: offsets, era: 1, after: time.Second, from: 7},
		"leader's answer just in time": {leader: offsets, era: 1, after: time.Second - 1, from: 7, valid: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.leader.valid(now.Add(test.after)), test.valid)
			if test.leader != nil {
				is.Equal(test.leader.ahead(serversTopic, platform.Position{Era: test.era, Offset: test.from}), test.leaderAhead)
			}
		})
	}
}

// TestLeaderOffsetsNeedALeaderThatReadsTheStore guards against offsets of an instance that is not up to date itself.
func TestLeaderOffsetsNeedALeaderThatReadsTheStore(t *testing.T) {
	now := time.Unix(1000, 0)
	both := map[string]int64{platform.TopicOperators: 1, platform.TopicServers: 7}
	tests := map[string]struct {
		reply *herald.ReportReply
		want  bool
	}{
		"leader that has read both topics": {reply: &herald.ReportReply{Leading: true, Read: both}, want: true},
		"leader that has not read a topic": {reply: &herald.ReportReply{Leading: true, Read: map[string]int64{serversTopic: 7}}},
		"leader can't reach the store":     {reply: &herald.ReportReply{Leading: true, Read: both, StoreLost: true}},
		"leader with a slow store":         {reply: &herald.ReportReply{Leading: true, Read: both, StoreSlow: true}},
		"another instance":                 {reply: &herald.ReportReply{Read: both}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(decodeLeaderOffsets(now, time.Second, test.reply).valid(now), test.want)
		})
	}
}

// TestLeaderOffsetsStayValidAsMembersJoin guards against instances that take the leader's next answer for overdue because reports
// became less frequent, and all read the store at once when a large system starts.
func TestLeaderOffsetsStayValidAsMembersJoin(t *testing.T) {
	many := &herald.Members{Term: 1, Version: 2}
	for i := range 100 {
		many.Members = append(many.Members, &herald.Member{Instance: fmt.Sprintf("entry_%d", i)})
	}
	few := &herald.Members{Term: 1, Version: 3, Members: many.Members[:1]}
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		lists    []*herald.Members
		validFor time.Duration
	}{
		"no news":                   {validFor: minReportInterval + leaderOffsetsMargin},
		"many join":                 {lists: []*herald.Members{many}, validFor: maxReportInterval + leaderOffsetsMargin},
		"the same list comes again": {lists: []*herald.Members{many, many}, validFor: maxReportInterval + leaderOffsetsMargin},
		"many leave":                {lists: []*herald.Members{many, few}, validFor: maxReportInterval + leaderOffsetsMargin},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestController(t, http.NotFound)
			for _, list := range test.lists {
				c.applyMembers(list) // without offsets it has no effect on them
			}
			is.True(!c.leaderOffsets.Load().valid(now))
			c.members, c.membersVersion = nil, membersVersion{}
			c.leaderOffsets.Store(&leaderOffsets{validUntil: now.Add(c.reportInterval() + leaderOffsetsMargin)})
			for _, list := range test.lists {
				c.applyMembers(list)
			}
			is.True(c.leaderOffsets.Load().valid(now.Add(test.validFor - 1)))
			is.True(!c.leaderOffsets.Load().valid(now.Add(test.validFor)))
		})
	}
}
