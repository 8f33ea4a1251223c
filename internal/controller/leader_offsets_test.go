package controller

import (
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
