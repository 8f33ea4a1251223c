package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

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

// TestCacheReturnsOnlyContiguousRecords guards against an instance that misses records because its relay does not have them.
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
		"beyond the end of the cache": {prepare: func(r *recordCache) {
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

// TestCacheWakesWaitingReads guards against reads that wait until their timeout although there are new records, or
// although the store is unreachable.
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

// TestCacheIgnoresDuplicateRecords guards against records that are relayed twice because two reads ran at the same time.
func TestCacheIgnoresDuplicateRecords(t *testing.T) {
	is := is.New(t)
	var r recordCache
	r.add(serversTopic, true, nil, 7, readTime)
	r.add(serversTopic, false, records(7, 3), 10, readTime)
	r.add(serversTopic, false, records(7, 2), 9, readTime)  // a slower concurrent read
	r.add(serversTopic, false, records(8, 4), 12, readTime) // overlaps with known records
	got, next, ok := r.read(context.Background(), serversTopic, 7, 0)
	is.True(ok)
	is.Equal(next, int64(12))
	is.Equal(got, records(7, 5))
	_, due := r.refreshDue(serversTopic, readTime)
	is.True(due)
	_, due = r.refreshDue(serversTopic, readTime.Add(-time.Millisecond))
	is.True(!due)
}
