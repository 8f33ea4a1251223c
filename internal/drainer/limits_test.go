package drainer

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIdleConnectionsMakeRoom guards against clients that keep others away with open connections, and against descriptors beyond the
// limit.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	const limit = 4
	var refused atomic.Int32
	release := make(chan struct{})
	d := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			<-release
		}
	}, Limits{Connections: limit, OnRefuse: func(Refusal) { refused.Add(1) }})
	defer close(release)
	var idle []*client
	for range limit {
		c := dial(t, d)
		c.sendRequest()
		is.Equal(c.readStatus(), 200)
		idle = append(idle, c)
	}
	time.Sleep(2 * minIdleTime)
	later := dial(t, d)
	later.sendRequest()
	is.Equal(later.readStatus(), 200)
	is.Equal(idle[0].readStatus(), 0) // it was idle for the longest time
	is.Equal(refused.Load(), int32(1))
	for range limit { // takes the place of all that are idle
		_, err := io.WriteString(dial(t, d).conn, "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		time.Sleep(2 * minIdleTime)
	}
	extra := dial(t, d)
	is.NoErr(extra.conn.SetDeadline(time.Now().Add(20 * time.Second)))
	_, err := extra.in.ReadByte()
	is.Equal(err, io.EOF) // none is idle
}

// TestOnlyIdleConnectionsMakeRoom guards against the end of a request that arrives after its connection was chosen to be closed, and
// before it is closed: its reads would fail, as if the client had left.
func TestOnlyIdleConnectionsMakeRoom(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		event  func(c *conn)
		closed bool
	}{
		"nothing":               {event: func(*conn) {}, closed: true},
		"a request arrives":     {event: func(c *conn) { _ = c.markBusy() }},
		"a request is answered": {event: func(c *conn) { _ = c.markBusy(); c.markIdle(start.Add(time.Second)) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner := &fakeConn{}
			d := &Drainer{conns: map[*conn]bool{}}
			c := &conn{Conn: inner, drainer: d, idleSince: start, minIdle: minIdleTime}
			d.conns[c] = true
			chosen, since := d.longestIdle(start.Add(time.Second))
			is.Equal(chosen, c)
			test.event(c)
			is.Equal(c.closeIdle(since), test.closed)
			is.Equal(inner.deadline.Equal(pastDeadline), test.closed)
		})
	}
}

// TestHeadersAreLimitedTogether guards against memory that unfinished headers of many connections take, and against the end of a
// connection with a short header.
func TestHeadersAreLimitedTogether(t *testing.T) {
	is := is.New(t)
	d := startServer(t, func(http.ResponseWriter, *http.Request) {}, Limits{HeaderMemory: 20 << 10})
	for range 4 {
		c := dial(t, d)
		_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nX-Long: "+strings.Repeat("x", 10<<10))
		is.NoErr(err)
	}
	for open := 4; open > 2; time.Sleep(time.Millisecond) { // two of them are ended
		d.mu.Lock()
		open = len(d.conns)
		d.mu.Unlock()
	}
	c := dial(t, d)
	c.sendRequest()
	is.Equal(c.readStatus(), 200)
	is.True(d.headerMemory.Load() <= 20<<10)
}

// TestHeadersThatAreAnsweredAreNotCounted guards against headers that count as unfinished after their requests have been answered, until
// connections with longer headers are closed for them.
func TestHeadersThatAreAnsweredAreNotCounted(t *testing.T) {
	tests := map[string]struct {
		line string
		want int
	}{
		"ordinary request":      {line: "GET / HTTP/1.1", want: 200},
		"request to the server": {line: "OPTIONS * HTTP/1.1", want: 200}, // net/http answers it without the handler
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := startServer(t, func(http.ResponseWriter, *http.Request) {}, Limits{HeaderMemory: 20 << 10})
			c := dial(t, d)
			for range 10 {
				_, err := io.WriteString(c.conn, test.line+"\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 3<<10)+"\r\n\r\n")
				is.NoErr(err)
				is.Equal(c.readStatus(), test.want)
			}
			for start := time.Now(); d.headerMemory.Load() > 0 && time.Since(start) < 2*time.Second; {
				time.Sleep(time.Millisecond)
			}
			is.Equal(d.headerMemory.Load(), int64(0))
		})
	}
}
