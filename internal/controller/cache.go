package controller

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/platform"
)

// maxTailRecords is the number of records that are kept of each topic. An instance that is further behind reads the store
// itself.
const maxTailRecords = 512

// recordCache keeps the newest records that this instance has read from the store, so that it can relay them to the other
// instances of its failure domain. The number of calls to the store then depends on the number of domains, not of
// instances. It is safe for concurrent use.
type recordCache struct {
	mu          sync.Mutex
	tails       map[string]*tail
	lastFailure time.Time // when the last call to the store failed; zero after a successful one
}

// tail holds the newest records of a topic.
type tail struct {
	records    []platform.Record
	next       platform.Position          // after the last record
	newest     map[string]platform.Record // of each key; nil unless the topic was read in full and without a gap since
	loaded     bool                       // whether the topic was read at least once
	reachable  bool                       // whether the last call to the store succeeded
	changed    chan struct{}              // closed at each change of the tail
	asOf       time.Time                  // the tail is up to date as of this time
	refreshing chan struct{}              // semaphore of size 1 for refreshes
}

// add adds the records of a read and the position after them. asOf is the time as of which the read is up to date. A full
// read replaces the tail. Records that are already present are skipped, and so is a read in an earlier era of the store.
func (r *recordCache) add(
	topic string, full bool, records []platform.Record, next platform.Position, asOf time.Time,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(topic)
	if next.Era < t.next.Era {
		return
	}
	added := max(0, min(int64(len(records)), next.Offset-t.next.Offset))
	switch {
	case !full && t.reachable && next.Era == t.next.Era && next.Offset <= t.next.Offset:
		// A concurrent read has already added these records.
	case full:
		t.records, t.next, t.newest = nil, next, map[string]platform.Record{}
		t.addNewest(records)
	case next.Era != t.next.Era || t.next.Offset+added != next.Offset:
		t.records, t.next, t.newest = nil, next, nil
	default:
		changes := records[int64(len(records))-added:]
		t.records = append(t.records, changes...)
		if extra := len(t.records) - maxTailRecords; extra > 0 {
			t.records = append([]platform.Record(nil), t.records[extra:]...)
		}
		t.next = next
		t.addNewest(changes)
	}
	t.reachable, t.loaded = true, true
	if asOf.After(t.asOf) {
		t.asOf = asOf
	}
	r.lastFailure = time.Time{}
	t.notify()
}

// addNewest adds records to newest, unless that is nil.
func (t *tail) addNewest(records []platform.Record) {
	for _, record := range records {
		switch {
		case t.newest == nil:
		case record.Value == nil:
			delete(t.newest, record.Key)
		default:
			t.newest[record.Key] = record
		}
	}
}

// snapshot returns the newest record of each key of a topic, in the order of their offsets, and the position after them. ok
// is false if the tail does not have them, or is not of the era of the store.
func (r *recordCache) snapshot(topic string, era uint64) (records []platform.Record, next platform.Position, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(topic)
	if !t.reachable || t.newest == nil || t.next.Era < era {
		return nil, platform.Position{}, false
	}
	for _, record := range t.newest {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return records, t.next, true
}

// nextPositions returns the position after the last record that was read, by topic. Topics whose last read failed are left
// out.
func (r *recordCache) nextPositions() map[string]platform.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[string]platform.Position{}
	for topic, t := range r.tails {
		if t.reachable {
			next[topic] = t.next
		}
	}
	return next
}

// isReachable reports whether the last call to the store for a topic succeeded.
func (r *recordCache) isReachable(topic string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tail(topic).reachable
}

// lastCallFailedAfter reports whether the last call to the store failed, and after a given time.
func (r *recordCache) lastCallFailedAfter(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastFailure.After(since)
}

// beginRefresh waits until no other goroutine refreshes a topic. done lets the next one start.
func (r *recordCache) beginRefresh(ctx context.Context, topic string) (done func(), err error) {
	r.mu.Lock()
	refreshing := r.tail(topic).refreshing
	r.mu.Unlock()
	select {
	case refreshing <- struct{}{}:
		return func() { <-refreshing }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// refreshDue reports whether the tail of a topic is not up to date as of a given time or not of an era, and the position to
// read from; loaded is false if the topic was never read.
func (r *recordCache) refreshDue(
	topic string, era uint64, asOf time.Time,
) (from platform.Position, loaded, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(topic)
	return t.next, t.loaded, !t.loaded || !t.reachable || t.next.Era < era || !t.asOf.After(asOf)
}

// markUnreachable records that a read of a topic failed, and wakes the reads that wait for it.
func (r *recordCache) markUnreachable(topic string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFailure = now
	t := r.tail(topic)
	if t.reachable {
		t.reachable = false
		t.notify()
	}
}

// tail returns the tail of a topic. The caller holds mu.
func (r *recordCache) tail(topic string) *tail {
	if r.tails == nil {
		r.tails = map[string]*tail{}
	}
	if r.tails[topic] == nil {
		r.tails[topic] = &tail{changed: make(chan struct{}), refreshing: make(chan struct{}, 1)}
	}
	return r.tails[topic]
}

// notify wakes the reads that wait for a change. The caller holds mu.
func (t *tail) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// errNotCached says that the tail does not have the records yet.
var errNotCached = errors.New("records are not here")

// since returns the records from a position on and the position after them. The error is errNotCached, or a
// platform.ErrExpired if the tail begins later or in a later era.
func (t *tail) since(from platform.Position) (records []platform.Record, next platform.Position, err error) {
	first := t.next.Offset - int64(len(t.records))
	switch {
	case !t.reachable || from.Era > t.next.Era || from.Era == t.next.Era && from.Offset > t.next.Offset:
		return nil, platform.Position{}, errNotCached
	case from.Era < t.next.Era || from.Offset < first:
		return nil, t.next, platform.ErrExpired{}
	}
	return t.records[from.Offset-first:], t.next, nil
}

// read returns the records from a position on as soon as there are any, or none after wait. The error is that of since, or
// that of ctx.
func (r *recordCache) read(
	ctx context.Context, topic string, from platform.Position, wait time.Duration,
) (records []platform.Record, next platform.Position, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		t := r.tail(topic)
		records, next, err = t.since(from)
		changed := t.changed
		r.mu.Unlock()
		if err != nil || len(records) > 0 {
			return records, next, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, next, ctx.Err()
		}
	}
}
