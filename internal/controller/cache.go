package controller

import (
	"context"
	"sync"
	"time"

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
	next       int64         // offset after the last record
	loaded     bool          // whether the topic was read at least once
	reachable  bool          // whether the last call to the store succeeded
	changed    chan struct{} // closed at each change of the tail
	asOf       time.Time     // the tail is up to date as of this time
	refreshing chan struct{} // semaphore of size 1 for refreshes
}

// add adds the records of a read and the offset after them. asOf is the time as of which the read is up to date. A full
// read replaces the tail. Records that are already present are skipped.
func (r *recordCache) add(topic string, full bool, records []platform.Record, next int64, asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(topic)
	added := max(0, min(int64(len(records)), next-t.next))
	switch {
	case !full && t.reachable && next <= t.next:
		// A concurrent read has already added these records.
	case full || t.next+added != next:
		t.records, t.next = nil, next
	default:
		t.records = append(t.records, records[int64(len(records))-added:]...)
		if extra := len(t.records) - maxTailRecords; extra > 0 {
			t.records = append([]platform.Record(nil), t.records[extra:]...)
		}
		t.next = next
	}
	t.reachable, t.loaded = true, true
	if asOf.After(t.asOf) {
		t.asOf = asOf
	}
	r.lastFailure = time.Time{}
	t.notify()
}

// nextOffsets returns the offset after the last record that was read, by topic. Topics whose last read failed are left
// out.
func (r *recordCache) nextOffsets() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[string]int64{}
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

// refreshDue reports whether the tail of a topic is not up to date as of a given time, and the offset to read from, which
// is negative if the topic was never read.
func (r *recordCache) refreshDue(topic string, asOf time.Time) (from int64, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(topic)
	if !t.loaded {
		return -1, true
	}
	return t.next, !t.reachable || !t.asOf.After(asOf)
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

// since returns the records from an offset on and the offset after them; ok is false if the tail does not contain them.
func (t *tail) since(from int64) (records []platform.Record, next int64, ok bool) {
	first := t.next - int64(len(t.records))
	if !t.reachable || from < first || from > t.next {
		return nil, 0, false
	}
	return t.records[from-first:], t.next, true
}

// read returns the records from an offset on as soon as there are any, or none after wait. ok is false if the tail does
// not contain them, or ctx ended.
func (r *recordCache) read(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (records []platform.Record, next int64, ok bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		t := r.tail(topic)
		records, next, ok = t.since(from)
		changed := t.changed
		r.mu.Unlock()
		if !ok || len(records) > 0 {
			return records, next, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, next, true
		case <-ctx.Done():
			return nil, 0, false
		}
	}
}
