package controller

import (
	"context"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/platform"
)

// tailKept is how many records of a topic are kept to hand on; a reader that is further behind reads the store itself.
const tailKept = 512

// relay keeps the newest records that this instance has read from the store, for the other instances of its failure
// domain, so that calls to the store grow with the domains and not with the instances. It is safe for concurrent use.
type relay struct {
	mu     sync.Mutex
	tails  map[string]*tail
	failed time.Time // when the store was last asked in vain; zero after it answered
}

// tail is the end of a topic.
type tail struct {
	records []platform.Record
	next    int64         // offset after the last record
	known   bool          // the topic was read at least once
	live    bool          // the last call to the store succeeded
	news    chan struct{} // closed when anything changes
	seen    time.Time     // when the store was asked for what it last answered
	looking chan struct{} // has one token, which whoever looks at the store holds
}

// add takes records that were read, and the offset after them; the store was asked at asked. A whole reading starts the
// tail anew. Records that are here already are left out.
func (r *relay) add(topic string, whole bool, records []platform.Record, next int64, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(topic)
	fresh := max(0, min(int64(len(records)), next-t.next))
	switch {
	case !whole && t.live && next <= t.next:
		// Another reading was faster.
	case whole || t.next+fresh != next:
		t.records, t.next = nil, next
	default:
		t.records = append(t.records, records[int64(len(records))-fresh:]...)
		if extra := len(t.records) - tailKept; extra > 0 {
			t.records = append([]platform.Record(nil), t.records[extra:]...)
		}
		t.next = next
	}
	t.live, t.known = true, true
	if asked.After(t.seen) {
		t.seen = asked
	}
	r.failed = time.Time{}
	t.wake()
}

// ends returns the offsets after the last records that were read, by topic.
func (r *relay) ends() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := map[string]int64{}
	for topic, t := range r.tails {
		if t.live {
			ends[topic] = t.next
		}
	}
	return ends
}

// isLive reports whether the last call to the store for a topic succeeded.
func (r *relay) isLive(topic string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tail(topic).live
}

// failedSince reports whether the store was asked in vain since a time, and has not answered after that.
func (r *relay) failedSince(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed.After(since)
}

// beginLook waits until nobody else looks at the store for a topic; done lets the next one look.
func (r *relay) beginLook(ctx context.Context, topic string) (done func(), err error) {
	r.mu.Lock()
	looking := r.tail(topic).looking
	r.mu.Unlock()
	select {
	case looking <- struct{}{}:
		return func() { <-looking }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// lookDue reports whether the store was last asked before a time, and from which offset to ask; that is negative where the
// topic was never read.
func (r *relay) lookDue(topic string, before time.Time) (from int64, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(topic)
	if !t.known {
		return -1, true
	}
	return t.next, !t.live || !t.seen.After(before)
}

// lose takes note that the store does not answer.
func (r *relay) lose(topic string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = now
	t := r.tail(topic)
	if t.live {
		t.live = false
		t.wake()
	}
}

// tail returns the tail of a topic. The caller holds mu.
func (r *relay) tail(topic string) *tail {
	if r.tails == nil {
		r.tails = map[string]*tail{}
	}
	if r.tails[topic] == nil {
		r.tails[topic] = &tail{news: make(chan struct{}), looking: make(chan struct{}, 1)}
	}
	return r.tails[topic]
}

func (t *tail) wake() {
	close(t.news)
	t.news = make(chan struct{})
}

// since returns the records from an offset on and the offset after them; ok is false where they are not here.
func (t *tail) since(from int64) (records []platform.Record, next int64, ok bool) {
	first := t.next - int64(len(t.records))
	if !t.live || from < first || from > t.next {
		return nil, 0, false
	}
	return t.records[from-first:], t.next, true
}

// read returns the records from an offset on, as soon as there are any, or none after wait.
func (r *relay) read(
	ctx context.Context, topic string, from int64, wait time.Duration,
) (records []platform.Record, next int64, ok bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		t := r.tail(topic)
		records, next, ok = t.since(from)
		news := t.news
		r.mu.Unlock()
		if !ok || len(records) > 0 {
			return records, next, ok
		}
		select {
		case <-news:
		case <-timer.C:
			return nil, next, true
		case <-ctx.Done():
			return nil, 0, false
		}
	}
}

// trust is why an instance may believe that it would hear through another one of what the store holds. The leader reads
// the store itself and tells with each answer to a report how far it is, so that a reader that was cut off shows.
type trust struct {
	until time.Time        // the next answer should be here
	ends  map[string]int64 // offsets after what the leader has read, by topic
}

// trustIn returns the trust that a leader's answer gives for a while, or nil where it gives none: the leader must reach the
// store itself, and must have read both topics.
func trustIn(now time.Time, lasts time.Duration, reply *herald.ReportReply) *trust {
	_, operators := reply.GetRead()[platform.TopicOperators]
	_, servers := reply.GetRead()[platform.TopicServers]
	if !reply.GetLeading() || reply.GetStoreLost() || reply.GetStoreSlow() || !operators || !servers {
		return nil
	}
	return &trust{until: now.Add(lasts), ends: reply.GetRead()}
}

// fresh reports whether the leader was heard of lately, so that a reader may be believed.
func (t *trust) fresh(now time.Time) bool { return t != nil && now.Before(t.until) }

// behind reports whether the leader has read more of a topic.
func (t *trust) behind(topic string, from int64) bool { return from < t.ends[topic] }
