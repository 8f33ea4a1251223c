package conductor

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
	mu    sync.Mutex
	tails map[string]*tail
}

// tail is the end of a topic.
type tail struct {
	records []platform.Record
	next    int64         // offset after the last record
	live    bool          // the last call to the store succeeded
	news    chan struct{} // closed when anything changes
}

// add takes records that were read, and the offset after them. A whole reading starts the tail anew.
func (r *relay) add(topic string, whole bool, records []platform.Record, next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(topic)
	if whole || t.next+int64(len(records)) != next {
		t.records = nil
	} else {
		t.records = append(t.records, records...)
		if extra := len(t.records) - tailKept; extra > 0 {
			t.records = append([]platform.Record(nil), t.records[extra:]...)
		}
	}
	t.next, t.live = next, true
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

// lose takes note that the store does not answer.
func (r *relay) lose(topic string) {
	r.mu.Lock()
	defer r.mu.Unlock()
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
		r.tails[topic] = &tail{news: make(chan struct{})}
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
