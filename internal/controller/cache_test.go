package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/platform"
)

const serversTopic = platform.TopicServers

// readTime is an arbitrary time, for tests that do not compare it with the clock.
var readTime = time.Unix(1000, 0)

func records(from, count int) []platform.Record {
	var list []platform.Record
	for i := range count {
		list = append(list, platform.Record{Key: "k", Offset: int64(from + i)})
	}
	return list
}

func TestCacheReturnsOnlyContiguousRecords(t *testing.T) {
	tests := map[string]struct {
		prepare func(r *recordCache)
		from    int64
		ok      bool
		want    []platform.Record
		next    int64
	}{
		"nothing read yet": {prepare: func(*recordCache) {}},
		"up to date": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, records(0, 3), 7, readTime)
		}, from: 7, ok: true, next: 7},
		"before the full read": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, records(0, 3), 7, readTime)
		}, from: 6},
		"after the last record": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, records(0, 3), 7, readTime)
		}, from: 8},
		"some changes behind": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, nil, 7, readTime)
			r.add(serversTopic, false, records(7, 3), 10, readTime)
		}, from: 8, ok: true, want: records(8, 2), next: 10},
		"store unreachable": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, nil, 7, readTime)
			r.add(serversTopic, false, records(7, 3), 10, readTime)
			r.markUnreachable(serversTopic, readTime)
		}, from: 8},
		"gap in the offsets": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, nil, 7, readTime)
			r.add(serversTopic, false, records(20, 2), 22, readTime)
		}, from: 20},
		"too far behind": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, nil, 0, readTime)
			r.add(serversTopic, false, records(0, maxTailRecords+1), maxTailRecords+1, readTime)
		}, from: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r recordCache
			test.prepare(&r)
			got, next, ok := r.read(context.Background(), serversTopic, test.from, 0)
			is.Equal(ok, test.ok)
			is.Equal(len(got), len(test.want))
			for i := range got {
				is.Equal(got[i], test.want[i])
			}
			is.Equal(next, test.next)
		})
	}
}

func TestCacheWakesWaitingReads(t *testing.T) {
	tests := map[string]struct {
		change func(r *recordCache)
		ok     bool
		count  int
	}{
		"new record": {change: func(r *recordCache) {
			r.add(serversTopic, false, records(7, 1), 8, readTime)
		}, ok: true, count: 1},
		"store unreachable": {change: func(r *recordCache) { r.markUnreachable(serversTopic, readTime) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r recordCache
			r.add(serversTopic, true, nil, 7, readTime)
			type answer struct {
				count int
				ok    bool
			}
			answers := make(chan answer)
			go func() {
				got, _, ok := r.read(context.Background(), serversTopic, 7, time.Minute)
				answers <- answer{len(got), ok}
			}()
			test.change(&r)
			is.Equal(<-answers, answer{test.count, test.ok})
		})
	}
}

func TestLeaderOffsets(t *testing.T) {
	now := time.Unix(1000, 0)
	offsets := &leaderOffsets{validUntil: now.Add(time.Second), offsets: map[string]int64{serversTopic: 7}}
	tests := map[string]struct {
		leader       *leaderOffsets
		after        time.Duration
		from         int64
		valid, ahead bool
	}{
		"leader never answered":        {from: 7},
		"as far as the leader":         {leader: offsets, from: 7, valid: true},
		"ahead of the leader":          {leader: offsets, from: 9, valid: true},
		"the leader has read more":     {leader: offsets, from: 6, valid: true, ahead: true},
		"leader's answer is overdue":   {leader: offsets, after: time.Second, from: 7},
		"leader's answer just in time": {leader: offsets, after: time.Second - 1, from: 7, valid: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.leader.valid(now.Add(test.after)), test.valid)
			if test.leader != nil {
				is.Equal(test.leader.ahead(serversTopic, test.from), test.ahead)
			}
		})
	}
}

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
