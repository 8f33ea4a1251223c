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
	"golang.org/x/sys/unix"
)

// TestClockFollowsTheServer guards against a deadline of the wrong phase: a connection that is closed although its client keeps within
// the timeouts, or stays open although it doesn't.
func TestClockFollowsTheServer(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	timeouts := Timeouts{Idle: 500 * time.Millisecond, Header: 100 * time.Millisecond}
	server := func(ms int) func(c *clock) { return func(c *clock) { c.observeDeadline(at(ms), at(9999)) } }
	headerRead := func(c *clock) { c.observeDeadline(at(0), time.Time{}) }
	firstByte := func(ms int) func(c *clock) { return func(c *clock) { c.enter(at(ms), readingHeader) } }
	idle := func(ms int) func(c *clock) { return func(c *clock) { c.enter(at(ms), awaiting) } }
	tests := map[string]struct {
		minIdle time.Duration
		events  []func(c *clock)
		want    time.Time // zero if the server's deadline applies
	}{
		"new":                       {events: []func(c *clock){server(0)}, want: at(500)},
		"new, short idle timeout":   {minIdle: time.Second, events: []func(c *clock){server(0)}, want: at(1000)},
		"first byte late":           {events: []func(c *clock){server(0), firstByte(400)}, want: at(500)},
		"server after first byte":   {events: []func(c *clock){server(0), firstByte(400), server(450)}, want: at(500)},
		"header read":               {events: []func(c *clock){server(0), firstByte(400), headerRead}},
		"deadline of a body":        {events: []func(c *clock){server(0), firstByte(400), headerRead, server(450)}},
		"idle again":                {events: []func(c *clock){server(0), firstByte(0), headerRead, idle(300), server(300)}, want: at(800)},
		"pipelined, header arrived": {events: []func(c *clock){server(0), firstByte(0), headerRead, idle(300), server(300), server(301)}, want: at(401)},
		"pipelined, header read":    {events: []func(c *clock){server(0), firstByte(0), headerRead, idle(300), server(300), server(301), headerRead}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := clock{start: start}
			for _, event := range test.events {
				event(&c)
			}
			is.Equal(c.phase == executing, test.want.IsZero())
			if !test.want.IsZero() {
				is.Equal(c.deadline(timeouts, test.minIdle), test.want)
			}
		})
	}
}

// TestTimeoutsAreThoseInForce guards against timeouts that hold only for connections that are opened after a change.
func TestTimeoutsAreThoseInForce(t *testing.T) {
	is := is.New(t)
	var current atomic.Pointer[Timeouts]
	set := func(idle, header time.Duration) { current.Store(&Timeouts{Idle: idle, Header: header}) }
	set(200*time.Millisecond, time.Minute)
	d := startServer(t, func(http.ResponseWriter, *http.Request) {}, Limits{Timeouts: func() Timeouts { return *current.Load() }})
	c, waiting, unfinished := dial(t, d), dial(t, d), dial(t, d)
	for _, client := range []*client{c, waiting, unfinished} {
		client.sendRequest()
		is.Equal(client.readStatus(), 200)
	}
	set(time.Minute, 200*time.Millisecond)
	time.Sleep(400 * time.Millisecond)
	waiting.sendRequest() // its idle timeout has become longer while it was idle
	is.Equal(waiting.readStatus(), 200)
	_, err := io.WriteString(waiting.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n") // an empty line too much
	is.NoErr(err)
	is.Equal(waiting.readStatus(), 200)
	time.Sleep(400 * time.Millisecond)
	waiting.sendRequest()
	is.Equal(waiting.readStatus(), 200)
	_, err = io.WriteString(unfinished.conn, "GET / HTTP/1.1\r\nHo")
	is.NoErr(err)
	is.Equal(unfinished.readStatus(), 408)
	is.Equal(unfinished.readStatus(), 0) // nothing follows
	set(200*time.Millisecond, time.Minute)
	c.sendRequest()
	is.Equal(c.readStatus(), 200)
	is.Equal(c.readStatus(), 0)
}

// TestArrivedBytesAreRead guards against the end of a connection whose client kept within the timeouts, because the instance was too busy
// to read in time, and against more than one extension.
func TestArrivedBytesAreRead(t *testing.T) {
	for name, phase := range map[string]phase{"idle": awaiting, "header": readingHeader} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			client, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer client.Close()
			inner, err := listener.Accept()
			is.NoErr(err)
			defer inner.Close()
			start := time.Now().Add(-time.Hour)
			d := &Drainer{limits: Limits{Timeouts: func() Timeouts { return Timeouts{Idle: time.Minute, Header: time.Minute} }}}
			c := &conn{Conn: inner, drainer: d, clock: clock{phase: phase, start: start}}
			is.True(c.extend(start.Add(time.Second))) // the timeout has become longer
			is.True(!c.extend(start.Add(time.Hour)))
			_, err = io.WriteString(client, "GET")
			is.NoErr(err)
			for c.pendingBytes(unix.SIOCINQ) == 0 {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(inner.SetReadDeadline(pastDeadline))
			n, err := c.Read(make([]byte, 8))
			is.NoErr(err)
			is.Equal(n, 3)
			c.clock.extendedTo = start
			is.True(!c.extend(time.Now().Add(time.Hour)))
		})
	}
}

// TestHeaderIsLimited guards against headers that take more memory than the configuration allows, against the loss of the answer that says
// so, and against a limit that does not change.
func TestHeaderIsLimited(t *testing.T) {
	var limit, refused atomic.Int64
	limit.Store(8 << 10)
	d := startServer(t, func(http.ResponseWriter, *http.Request) {}, Limits{
		HeaderLimit: func() int { return int(limit.Load()) }, OnHeaderRefused: func(int) { refused.Add(1) },
	})
	tests := []struct {
		limit, bytes int
		unfinished   bool
		want         int
	}{
		{limit: 8 << 10, bytes: 8000, want: 200},
		{limit: 8 << 10, bytes: 20 << 10, want: 431},
		{limit: 8 << 10, bytes: 20 << 10, unfinished: true, want: 431},
		{limit: 32 << 10, bytes: 20 << 10, want: 200},
	}
	for _, test := range tests {
		is := is.New(t)
		limit.Store(int64(test.limit))
		before := refused.Load()
		c := dial(t, d)
		header := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", test.bytes)
		if !test.unfinished {
			header += "\r\n\r\n"
		}
		_, err := io.WriteString(c.conn, header)
		is.NoErr(err)
		is.Equal(c.readStatus(), test.want)
		is.Equal(refused.Load()-before == 1, test.want == 431)
	}
}

// TestLargeBuffersAreBounded guards against receive buffers that together take the memory of the machine, and against one that is not
// given back.
func TestLargeBuffersAreBounded(t *testing.T) {
	is := is.New(t)
	d := startServer(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, Limits{ReceiveBuffer: 256 << 10})
	const header = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
	var clients []*client
	for range maxLargeBuffers + 8 {
		c := dial(t, d)
		_, err := io.WriteString(c.conn, header+strings.Repeat("x", 50_000))
		is.NoErr(err)
		clients = append(clients, c)
	}
	for until := time.Now().Add(20 * time.Second); d.largeBuffers.Load() < maxLargeBuffers && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(d.largeBuffers.Load(), int32(maxLargeBuffers))
	for _, c := range clients {
		_, err := io.WriteString(c.conn, strings.Repeat("x", 50_000))
		is.NoErr(err)
		is.Equal(c.readStatus(), 200)
	}
	is.Equal(d.largeBuffers.Load(), int32(0))
}

// TestEmptyLineBeginsNoHeader guards against the end of a connection that is idle for less than the idle timeout, because its client sent
// an empty line after the body of a request, as old ones do. The server ignores that.
func TestEmptyLineBeginsNoHeader(t *testing.T) {
	tests := map[string]struct {
		sent string // before the pause
		want int
	}{
		"empty line":          {sent: "\r\n", want: 200},
		"start of a request":  {sent: "PO", want: 408},
		"empty line and more": {sent: "\r\nP", want: 408},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := startServer(t, func(http.ResponseWriter, *http.Request) {}, Limits{
				Timeouts: func() Timeouts { return Timeouts{Idle: time.Minute, Header: 200 * time.Millisecond} },
			})
			const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
			c := dial(t, d)
			_, err := io.WriteString(c.conn, request)
			is.NoErr(err)
			is.Equal(c.readStatus(), 200)
			_, err = io.WriteString(c.conn, test.sent)
			is.NoErr(err)
			time.Sleep(500 * time.Millisecond)
			_, err = io.WriteString(c.conn, strings.TrimPrefix(request, strings.TrimPrefix(test.sent, "\r\n")))
			is.NoErr(err)
			is.Equal(c.readStatus(), test.want)
		})
	}
}
