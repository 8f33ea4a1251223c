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
		expired bool // all records have to be read
		want    []platform.Record
		next    int64
	}{
		"nothing read yet": {prepare: func(*recordCache) {}},
		"up to date": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, records(0, 3), platform.Position{Offset: 7}, readTime)
		}, from: 7, ok: true, next: 7},
		"before the full read": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, records(0, 3), platform.Position{Offset: 7}, readTime)
		}, from: 6, expired: true},
		"beyond the end of the cache": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, records(0, 3), platform.Position{Offset: 7}, readTime)
		}, from: 8},
		"some changes behind": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, nil, platform.Position{Offset: 7}, readTime)
			r.add(serversTopic, false, records(7, 3), platform.Position{Offset: 10}, readTime)
		}, from: 8, ok: true, want: records(8, 2), next: 10},
		"store unreachable": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, nil, platform.Position{Offset: 7}, readTime)
			r.add(serversTopic, false, records(7, 3), platform.Position{Offset: 10}, readTime)
			r.markUnreachable(serversTopic, readTime)
		}, from: 8},
		"gap in the offsets": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, nil, platform.Position{Offset: 7}, readTime)
			r.add(serversTopic, false, records(20, 2), platform.Position{Offset: 22}, readTime)
		}, from: 20, expired: true},
		"too far behind": {prepare: func(r *recordCache) {
			r.add(serversTopic, true, nil, platform.Position{Offset: 0}, readTime)
			r.add(serversTopic, false, records(0, maxTailRecords+1), platform.Position{Offset: maxTailRecords + 1}, readTime)
		}, from: 0, expired: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r recordCache
			test.prepare(&r)
			got, next, err := r.read(context.Background(), serversTopic, platform.Position{Offset: test.from}, 0)
			is.Equal(err == nil, test.ok)
			is.Equal(platform.IsErrExpired(err), test.expired)
			is.Equal(len(got), len(test.want))
			for i := range got {
				is.Equal(got[i], test.want[i])
			}
			if test.ok {
				is.Equal(next.Offset, test.next)
			}
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
			r.add(serversTopic, false, records(7, 1), platform.Position{Offset: 8}, readTime)
		}, ok: true, count: 1},
		"store unreachable": {change: func(r *recordCache) { r.markUnreachable(serversTopic, readTime) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r recordCache
			r.add(serversTopic, true, nil, platform.Position{Offset: 7}, readTime)
			type answer struct {
				count int
				ok    bool
			}
			answers := make(chan answer)
			go func() {
				got, _, err := r.read(context.Background(), serversTopic, platform.Position{Offset: 7}, time.Minute)
				answers <- answer{len(got), err == nil}
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
	r.add(serversTopic, true, nil, platform.Position{Offset: 7}, readTime)
	r.add(serversTopic, false, records(7, 3), platform.Position{Offset: 10}, readTime)
	r.add(serversTopic, false, records(7, 2), platform.Position{Offset: 9}, readTime)  // a slower concurrent read
	r.add(serversTopic, false, records(8, 4), platform.Position{Offset: 12}, readTime) // overlaps with known records
	got, next, err := r.read(context.Background(), serversTopic, platform.Position{Offset: 7}, 0)
	is.NoErr(err)
	is.Equal(next, platform.Position{Offset: 12})
	is.Equal(got, records(7, 5))
	_, _, due := r.refreshDue(serversTopic, 0, readTime)
	is.True(due)
	_, _, due = r.refreshDue(serversTopic, 0, readTime.Add(-time.Millisecond))
	is.True(!due)
}

// TestCacheKeepsErasApart guards against records of one era that are relayed as those of another, after the store came back
// from an older copy and gave their offsets out again, and against a cache that goes back to an earlier era.
func TestCacheKeepsErasApart(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var r recordCache
	r.add(serversTopic, true, nil, platform.Position{Era: 1, Offset: 7}, readTime)
	r.add(serversTopic, false, records(7, 3), platform.Position{Era: 1, Offset: 10}, readTime)
	r.add(serversTopic, true, records(0, 2), platform.Position{Era: 2, Offset: 8}, readTime)
	r.add(serversTopic, false, records(10, 1), platform.Position{Era: 1, Offset: 11}, readTime) // a slow read of the earlier era
	_, next, err := r.read(ctx, serversTopic, platform.Position{Era: 1, Offset: 8}, 0)
	is.True(platform.IsErrExpired(err))
	is.Equal(next.Era, uint64(2))
	_, _, err = r.read(ctx, serversTopic, platform.Position{Era: 3, Offset: 8}, 0)
	is.True(err != nil && !platform.IsErrExpired(err)) // this cache is the one that is behind
	_, next, err = r.read(ctx, serversTopic, platform.Position{Era: 2, Offset: 8}, 0)
	is.NoErr(err)
	is.Equal(next, platform.Position{Era: 2, Offset: 8})
}

// TestSnapshotHoldsNewestRecords guards against a snapshot that lacks changes, has removed keys, or was not read in full.
func TestSnapshotHoldsNewestRecords(t *testing.T) {
	is := is.New(t)
	record := func(key string, offset int64, value ...byte) platform.Record {
		return platform.Record{Key: key, Offset: offset, Value: value}
	}
	var r recordCache
	_, _, ok := r.snapshot(serversTopic, 0)
	is.True(!ok)
	full := []platform.Record{record("a", 1, 1), record("b", 2, 1)}
	r.add(serversTopic, true, full, platform.Position{Era: 1, Offset: 7}, readTime)
	changes := []platform.Record{record("c", 7, 1), record("a", 8), record("b", 9, 2)}
	r.add(serversTopic, false, changes, platform.Position{Era: 1, Offset: 10}, readTime)
	got, next, ok := r.snapshot(serversTopic, 1)
	is.True(ok)
	is.Equal(next, platform.Position{Era: 1, Offset: 10})
	is.Equal(got, []platform.Record{record("c", 7, 1), record("b", 9, 2)})
	_, _, ok = r.snapshot(serversTopic, 2) // the store is in a later era
	is.True(!ok)
	r.add(serversTopic, false, records(20, 1), platform.Position{Era: 1, Offset: 21}, readTime) // a gap
	_, _, ok = r.snapshot(serversTopic, 1)
	is.True(!ok)
}
