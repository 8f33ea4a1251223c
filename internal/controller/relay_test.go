package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/platform"
)

const servers = platform.TopicServers

// asked is an arbitrary time, for tests in which it is not compared with a reading of the clock.
var asked = time.Unix(1000, 0)

func records(from, count int) []platform.Record {
	var list []platform.Record
	for i := range count {
		list = append(list, platform.Record{Key: "k", Offset: int64(from + i)})
	}
	return list
}

func TestRelay(t *testing.T) {
	tests := map[string]struct {
		prepare func(r *relay)
		from    int64
		ok      bool
		want    []platform.Record
		next    int64
	}{
		"nothing read yet":  {prepare: func(*relay) {}},
		"up to date":        {prepare: func(r *relay) { r.add(servers, true, records(0, 3), 7, asked) }, from: 7, ok: true, next: 7},
		"before the whole":  {prepare: func(r *relay) { r.add(servers, true, records(0, 3), 7, asked) }, from: 6},
		"ahead of it":       {prepare: func(r *relay) { r.add(servers, true, records(0, 3), 7, asked) }, from: 8},
		"behind by changes": {prepare: func(r *relay) { r.add(servers, true, nil, 7, asked); r.add(servers, false, records(7, 3), 10, asked) }, from: 8, ok: true, want: records(8, 2), next: 10},
		"store lost": {prepare: func(r *relay) {
			r.add(servers, true, nil, 7, asked)
			r.add(servers, false, records(7, 3), 10, asked)
			r.lose(servers, asked)
		}, from: 8},
		"a gap starts anew": {prepare: func(r *relay) { r.add(servers, true, nil, 7, asked); r.add(servers, false, records(20, 2), 22, asked) }, from: 20},
		"too far behind": {prepare: func(r *relay) {
			r.add(servers, true, nil, 0, asked)
			r.add(servers, false, records(0, tailKept+1), tailKept+1, asked)
		}, from: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r relay
			test.prepare(&r)
			got, next, ok := r.read(context.Background(), servers, test.from, 0)
			is.Equal(ok, test.ok)
			is.Equal(len(got), len(test.want))
			for i := range got {
				is.Equal(got[i], test.want[i])
			}
			is.Equal(next, test.next)
		})
	}
}

func TestRelayWakesWhoWaits(t *testing.T) {
	tests := map[string]struct {
		happens func(r *relay)
		ok      bool
		count   int
	}{
		"news":       {happens: func(r *relay) { r.add(servers, false, records(7, 1), 8, asked) }, ok: true, count: 1},
		"store lost": {happens: func(r *relay) { r.lose(servers, asked) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r relay
			r.add(servers, true, nil, 7, asked)
			type answer struct {
				count int
				ok    bool
			}
			answers := make(chan answer)
			go func() {
				got, _, ok := r.read(context.Background(), servers, 7, time.Minute)
				answers <- answer{len(got), ok}
			}()
			test.happens(&r)
			is.Equal(<-answers, answer{test.count, test.ok})
		})
	}
}

func TestTrust(t *testing.T) {
	now := time.Unix(1000, 0)
	told := &trust{until: now.Add(time.Second), ends: map[string]int64{servers: 7}}
	tests := map[string]struct {
		trust         *trust
		after         time.Duration
		from          int64
		fresh, behind bool
	}{
		"leader never heard":          {from: 7},
		"as far as the leader":        {trust: told, from: 7, fresh: true},
		"further than the leader":     {trust: told, from: 9, fresh: true},
		"the leader has read more":    {trust: told, from: 6, fresh: true, behind: true},
		"leader's answer is overdue":  {trust: told, after: time.Second, from: 7},
		"leader's answer just in due": {trust: told, after: time.Second - 1, from: 7, fresh: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.trust.fresh(now.Add(test.after)), test.fresh)
			if test.trust != nil {
				is.Equal(test.trust.behind(servers, test.from), test.behind)
			}
		})
	}
}

func TestTrustIsGivenOnlyByALeaderThatReads(t *testing.T) {
	now := time.Unix(1000, 0)
	both := map[string]int64{platform.TopicOperators: 1, platform.TopicServers: 7}
	tests := map[string]struct {
		reply *herald.ReportReply
		want  bool
	}{
		"leader that has read both topics": {reply: &herald.ReportReply{Leading: true, Read: both}, want: true},
		"leader that misses a topic":       {reply: &herald.ReportReply{Leading: true, Read: map[string]int64{servers: 7}}},
		"leader without the store":         {reply: &herald.ReportReply{Leading: true, Read: both, StoreLost: true}},
		"leader that the store holds up":   {reply: &herald.ReportReply{Leading: true, Read: both, StoreSlow: true}},
		"another instance":                 {reply: &herald.ReportReply{Read: both}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(trustIn(now, time.Second, test.reply).fresh(now), test.want)
		})
	}
}
