package drainer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unreadBytes is more of an answer than the buffers of a connection hold.
const unreadBytes = 16 << 20

// TestWaitingConnectionsMakeRoom guards against clients that keep others away with requests that they don't continue. The oldest one is
// closed, and not the others, which may be slow.
func TestWaitingConnectionsMakeRoom(t *testing.T) {
	tests := map[string]struct {
		sent   string
		reason Reason
		status int // of the refusal
	}{
		"nothing":           {sent: "", reason: ReasonIdle},
		"part of a header":  {sent: "GET / HT", reason: ReasonHeader, status: 408},
		"part of a body":    {sent: "POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx", reason: ReasonBody, status: 408},
		"part of a chunk":   {sent: "POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nx", reason: ReasonBody, status: 408},
		"answer not read":   {sent: "GET /long HTTP/1.1\r\nHost: h\r\n\r\n", reason: ReasonAnswer, status: 200},
		"request in calm":   {sent: "GET /work HTTP/1.1\r\nHost: h\r\n\r\n"},
		"body read to end":  {sent: "POST /work HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"},
		"answer being read": {sent: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", reason: ReasonIdle},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			refused := make(chan Refusal, 10)
			work := make(chan struct{})
			defer close(work)
			d := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					w.WriteHeader(http.StatusRequestTimeout)
				}
				switch r.URL.Path {
				case "/long":
					_, _ = w.Write(make([]byte, unreadBytes))
				case "/work":
					<-work
				}
			}, Limits{Connections: 2, OnRefuse: func(r Refusal) { refused <- r }})
			var stalled []*client
			for range 2 {
				c := dial(t, d)
				_, err := io.WriteString(c.conn, test.sent)
				is.NoErr(err)
				stalled = append(stalled, c)
				time.Sleep(2 * minIdleTime)
			}
			time.Sleep(minWait)
			later := dial(t, d)
			is.NoErr(later.conn.SetDeadline(time.Now().Add(20 * time.Second)))
			later.sendRequest()
			if test.reason == "" { // both are at work
				is.Equal(later.readStatus(), 0)
				is.Equal(nextRefusal(refused).Reason, ReasonLimit)
				return
			}
			is.Equal(later.readStatus(), 200)
			refusal := nextRefusal(refused)
			is.Equal(refusal.Reason, test.reason)
			is.Equal(refusal.Remote.String(), stalled[0].conn.LocalAddr().String())
			is.NoErr(stalled[0].conn.SetDeadline(time.Now().Add(20 * time.Second)))
			if name == "answer being read" {
				is.Equal(stalled[0].readStatus(), 200)
			} else {
				is.Equal(stalled[0].readStatus(), test.status)
			}
			_, err := io.Copy(io.Discard, stalled[0].in)
			is.True(err == nil || strings.Contains(err.Error(), "reset")) // it is closed
			is.Equal(len(refused), 0)
		})
	}
}

// nextRefusal returns the next refusal, or an empty one if there is none.
func nextRefusal(refused <-chan Refusal) Refusal {
	select {
	case refusal := <-refused:
		return refusal
	case <-time.After(time.Second):
		return Refusal{Remote: &net.TCPAddr{}}
	}
}

// TestUnreadAnswerEnds guards against connections whose clients read no answer: they would stay for ever, because the writing of a small
// answer has no time limit of the handler.
func TestUnreadAnswerEnds(t *testing.T) {
	timeouts := func() Timeouts { return Timeouts{Idle: minWait, Header: time.Minute} }
	tests := map[string]struct {
		handlerDeadline time.Duration
		refused         int32
	}{
		"of a handler without a time limit": {refused: 1},
		"of a handler with a time limit":    {handlerDeadline: minWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var refused atomic.Int32
			d := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if test.handlerDeadline > 0 {
					_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(test.handlerDeadline))
				}
				_, _ = w.Write(make([]byte, unreadBytes))
			}, Limits{Timeouts: timeouts, OnRefuse: func(Refusal) { refused.Add(1) }})
			c := dial(t, d)
			c.sendRequest()
			d.waitForConns(1)
			for start := time.Now(); d.sweep(time.Time{}) > 0; time.Sleep(time.Millisecond) {
				is.True(time.Since(start) < maxLinger+20*time.Second)
			}
			is.Equal(refused.Load(), test.refused)
		})
	}
}

// TestWriteDeadlineEndsWithItsRequest guards against the time limit of an answer that holds for the next request on the connection.
func TestWriteDeadlineEndsWithItsRequest(t *testing.T) {
	is := is.New(t)
	const limit = 100 * time.Millisecond
	d := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit))
		}
	}, Limits{Connections: 1})
	c := dial(t, d)
	c.sendRequest()
	is.Equal(c.readStatus(), 200)
	time.Sleep(2 * limit)
	_, err := io.WriteString(c.conn, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.Equal(c.readStatus(), 200)
}

// SetWriteDeadline implements net.Conn.
func (*fakeConn) SetWriteDeadline(time.Time) error { return nil }

// TestLateContinuationStays guards against the failure of a request whose client continues while its connection is being closed.
func TestLateContinuationStays(t *testing.T) {
	is := is.New(t)
	inner := &fakeConn{}
	start := time.Unix(1000, 0)
	c := &conn{Conn: inner, drainer: &Drainer{}}
	w := wait{since: start, reason: ReasonBody}
	c.beginWait(w)
	is.True(!c.evict(wait{since: start.Add(1), reason: ReasonBody})) // it waits for something else
	is.True(c.evict(w))
	is.Equal(inner.deadline, pastDeadline)
	is.NoErr(c.SetReadDeadline(start)) // the handler extends the time for the body
	is.Equal(inner.deadline, pastDeadline)
	c.endWait(true)
	is.Equal(inner.deadline, start)
	is.Equal(c.currentWait(), wait{})
	is.True(!c.evict(w))
	unread := wait{since: start, reason: ReasonAnswer}
	c.beginWait(unread)
	is.True(c.evict(unread))
	is.NoErr(c.SetReadDeadline(pastDeadline)) // the server ends its read, and waits until it has ended
	is.Equal(inner.deadline, pastDeadline)
}

// TestHeaderMemoryCountsFields guards against headers of many short lines, whose memory is many times their length, and against memory that
// is free as soon as the header has been read: it is in use until the request has been answered.
func TestHeaderMemoryCountsFields(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{})
	d := startServer(t, func(http.ResponseWriter, *http.Request) { started <- struct{}{}; <-release }, Limits{HeaderMemory: 1 << 20})
	c := dial(t, d)
	const fields = 500
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", fields)+"\r\n")
	is.NoErr(err)
	<-started
	is.True(d.headerMemory.Load() >= fields*fieldBytes)
	close(release)
	is.Equal(c.readStatus(), 200)
	for start := time.Now(); d.headerMemory.Load() != 0; time.Sleep(time.Millisecond) {
		is.True(time.Since(start) < 20*time.Second)
	}
}
