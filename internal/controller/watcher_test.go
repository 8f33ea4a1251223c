package controller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/timekeeper"
	"github.com/wasabibank/wasabibank/platform"
)

// TestReadTellsHowLongOthersFailed guards against records that count as new although they could not be read for a while, and against the
// same for ones that come after a long wait.
func TestReadTellsHowLongOthersFailed(t *testing.T) {
	const outage, wait = 500 * time.Millisecond, 700 * time.Millisecond
	record := append(make([]byte, 16), 0, 0, 0, 3, 1, 'k', 'v') // the key k with the value v
	tests := map[string]struct {
		answer       func(w http.ResponseWriter, sinceFirst time.Duration)
		from, before time.Duration
	}{
		"the store fails": {from: outage / 2, before: time.Minute, answer: func(w http.ResponseWriter, sinceFirst time.Duration) {
			if sinceFirst < outage {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = w.Write(record)
		}},
		"nothing new for a while": {before: wait / 2, answer: func(w http.ResponseWriter, _ time.Duration) {
			time.Sleep(wait)
			_, _ = w.Write(record)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first atomic.Pointer[time.Time]
			c := newTestController(t, func(w http.ResponseWriter, r *http.Request) {
				if !strings.Contains(r.URL.RawQuery, "from=") {
					_, _ = io.WriteString(w, `{"items":[],"end":7}`)
					return
				}
				now := time.Now()
				first.CompareAndSwap(nil, &now)
				test.answer(w, time.Since(*first.Load()))
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			reads := make(chan topicRead, 2)
			go c.watchTopic(ctx, platform.TopicOperators, func(_ time.Time, read topicRead) { reads <- read })
			for len(reads) < 2 {
				event := <-c.events
				event(timekeeper.Now())
			}
			is.Equal((<-reads).missed, time.Duration(0)) // the first one
			missed := (<-reads).missed
			is.True(missed >= test.from && missed < test.before)
		})
	}
}

// TestReadLostByTheStoreIsRetried guards against missing records for up to readWait when the store loses a waiting read
// without an error: the read is retried once the leader has read more.
func TestReadLostByTheStoreIsRetried(t *testing.T) {
	is := is.New(t)
	waiting := make(chan struct{}, 1)
	c := newTestController(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("wait_ms") != "0" {
			waiting <- struct{}{}
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(append(make([]byte, 16), 0, 0, 0, 2, 1, 'k')) // one record with the key k and no value
	})
	c.cache.add(serversTopic, true, nil, platform.Position{Offset: 7}, readTime)
	w := &watcher{topic: serversTopic, next: platform.Position{Offset: 7}}
	done := make(chan platform.Position)
	go func() {
		_, next, err := c.readInterruptible(context.Background(), w, readWait)
		is.NoErr(err)
		done <- next
	}()
	<-waiting
	interrupt := *c.interrupt.Load()
	c.checkLeaderOffsets(&leaderOffsets{offsets: map[string]int64{serversTopic: 8}}) // the records may still be in flight
	is.Equal(*c.interrupt.Load(), interrupt)                                         // the read goes on waiting
	c.checkLeaderOffsets(&leaderOffsets{offsets: map[string]int64{serversTopic: 8}})
	is.Equal(<-done, platform.Position{Offset: 8})
}

// TestReadsAreInterruptedWithoutValidLeaderOffsets guards against waiting reads that nothing checks: they are interrupted as
// soon as the leader's offsets are no longer valid.
func TestReadsAreInterruptedWithoutValidLeaderOffsets(t *testing.T) {
	is := is.New(t)
	c := newTestController(t, http.NotFound)
	now := time.Unix(1000, 0)
	c.leaderOffsets.Store(&leaderOffsets{validUntil: now.Add(time.Second)})
	c.interruptOutdatedReads(now)
	interrupt := *c.interrupt.Load()
	c.interruptOutdatedReads(now.Add(time.Second - 1))
	select {
	case <-interrupt:
		t.Fatal("interrupted while the leader answers")
	default:
	}
	c.interruptOutdatedReads(now.Add(time.Second))
	<-interrupt
	is.True(!c.receivesChanges)
}

// TestRelayedReadIsInterrupted guards against a read through a relay that keeps waiting after an interrupt.
func TestRelayedReadIsInterrupted(t *testing.T) {
	is := is.New(t)
	waiting := make(chan struct{}, 1)
	relay := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // else the server does not notice that the client has disconnected
		waiting <- struct{}{}
		<-r.Context().Done()
	}))
	defer relay.Close()
	c := newTestController(t, http.NotFound)
	address := strings.TrimPrefix(relay.URL, "http://")
	c.leaderOffsets.Store(&leaderOffsets{validUntil: time.Unix(1<<40, 0)})
	done := make(chan error)
	go func() {
		_, _, err := c.readFromRelay(context.Background(), &watcher{topic: serversTopic, next: platform.Position{Offset: 7}}, address)
		done <- err
	}()
	<-waiting
	c.interruptReads()
	is.True(<-done != nil)
}
