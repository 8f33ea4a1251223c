package drainer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startServer starts a server with handler, and limits if there are any, and returns the Drainer of its connections.
func startServer(t *testing.T, handler http.HandlerFunc, limits ...Limits) *Drainer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	d := New(listener, server)
	for _, l := range limits {
		d.SetLimits(l)
	}
	go func() { _ = server.Serve(d) }()
	t.Cleanup(func() { _ = server.Close() })
	return d
}

// client is a client with one persistent connection.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dial(t *testing.T, d *Drainer) *client {
	t.Helper()
	conn, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (c *client) sendRequest() {
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.New(c.t).NoErr(err)
}

// readStatus reads the next answer and returns its status, or 0 if the connection is closed.
func (c *client) readStatus() int {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// waitForConns waits until count connections are open.
func (d *Drainer) waitForConns(count int) {
	for d.sweep(time.Time{}) < count {
		time.Sleep(time.Millisecond)
	}
}

// TestRequestDuringDrainIsAnswered guards against the loss of a request that arrives on a new connection after the first
// sweep, before the connection has been idle for long enough to be closed.
func TestRequestDuringDrainIsAnswered(t *testing.T) {
	is := is.New(t)
	d := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	c := dial(t, d)
	d.waitForConns(1)
	d.sweep(time.Now())
	c.sendRequest()
	is.Equal(c.readStatus(), 200)
	is.NoErr(d.Drain(context.Background()))
}

// fakeConn records its read deadline and whether it was closed. It has received a request when Read is called, but Read
// returns it only after resume is closed; meanwhile the test can make the Drainer close the connection.
type fakeConn struct {
	net.Conn
	readStarted, resume chan struct{}
	closed              bool
	deadline            time.Time
}

func (c *fakeConn) Read(p []byte) (int, error) {
	close(c.readStarted)
	<-c.resume
	return copy(p, "GET"), nil
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// TestReadRequestKeepsConnectionOpen guards against a connection that the Drainer closes while a read already returns a
// request: the server would execute the request but could not answer it.
func TestReadRequestKeepsConnectionOpen(t *testing.T) {
	is := is.New(t)
	inner := &fakeConn{readStarted: make(chan struct{}), resume: make(chan struct{})}
	start := time.Unix(1000, 0)
	serverDeadline := start.Add(time.Minute)
	d := &Drainer{conns: map[*conn]bool{}}
	c := &conn{Conn: inner, drainer: d, idleSince: start, minIdle: minIdleTime}
	d.conns[c] = true
	is.NoErr(c.SetReadDeadline(serverDeadline))
	read := make(chan int)
	go func() {
		n, _ := c.Read(make([]byte, 8))
		read <- n
	}()
	<-inner.readStarted
	is.Equal(d.sweep(start.Add(minIdleTime)), 1)
	close(inner.resume)
	is.Equal(<-read, 3)
	is.True(!inner.closed)
	is.Equal(inner.deadline, serverDeadline) // the server's own deadline, no longer pastDeadline
	is.Equal(d.sweep(start.Add(time.Hour)), 1)
	is.Equal(inner.deadline, serverDeadline) // unchanged, since a request is in progress
}

// TestConnectionIsClosedAfterMinIdle guards against connections that are closed too early or never, and against a server
// that revives a closing connection by setting its own read deadline.
func TestConnectionIsClosedAfterMinIdle(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		minIdle, idle time.Duration
		closed        bool
	}{
		"not idle for long enough after a request": {minIdle: minIdleTime, idle: minIdleTime - 1},
		"idle long enough after a request":         {minIdle: minIdleTime, idle: minIdleTime, closed: true},
		"new, first request may still arrive":      {minIdle: firstRequestTimeout, idle: firstRequestTimeout - 1},
		"new, first request is overdue":            {minIdle: firstRequestTimeout, idle: firstRequestTimeout, closed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner := &fakeConn{}
			c := &conn{Conn: inner, idleSince: start, minIdle: test.minIdle}
			c.closeIfIdle(start.Add(test.idle))
			is.Equal(inner.deadline.Equal(pastDeadline), test.closed)
			is.NoErr(c.SetReadDeadline(start)) // as the server does between two requests
			is.Equal(inner.deadline.Equal(pastDeadline), test.closed)
		})
	}
}

// TestDrainWaitsForRunningRequests guards against a drain that ends, so that the process exits, while a request is in
// progress.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan struct{}), make(chan struct{})
	d := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		close(started)
		<-finish
	})
	c := dial(t, d)
	c.sendRequest()
	<-started
	drained := make(chan error, 1)
	go func() { drained <- d.Drain(context.Background()) }()
	for {
		if _, err := net.Dial("tcp", d.Addr().String()); err != nil {
			break // the listener is closed
		}
	}
	is.Equal(len(drained), 0)
	close(finish)
	is.Equal(c.readStatus(), 200)
	is.NoErr(<-drained)
}

// TestDrainStopsWhenContextIsCancelled guards against a shutdown that never ends because of one request.
func TestDrainStopsWhenContextIsCancelled(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	d := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	})
	c := dial(t, d)
	c.sendRequest()
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(d.Drain(ctx) != nil)
}

// TestIdleConnectionsAreClosed guards against a drain that waits for connections without a request, used or not.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	d := startServer(t, func(http.ResponseWriter, *http.Request) {})
	c := dial(t, d)
	c.sendRequest()
	is.Equal(c.readStatus(), 200)
	unused := dial(t, d)
	d.waitForConns(2)
	for d.sweep(time.Now().Add(firstRequestTimeout)) > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(c.readStatus(), 0)
	is.Equal(unused.readStatus(), 0)
}

// TestPipelinedRequestIsAnswered guards against the end of a request that the server had already buffered with the one before, so that
// its connection counts as idle while the request is in progress.
func TestPipelinedRequestIsAnswered(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan struct{}), make(chan struct{})
	requests := 0
	d := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if requests++; requests == 1 {
			return
		}
		close(started)
		select {
		case <-finish:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	})
	c := dial(t, d)
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err := io.WriteString(c.conn, request+request)
	is.NoErr(err)
	is.Equal(c.readStatus(), 200)
	<-started
	for range 3 { // the deadline of the first sweep ends the server's pending read a little later
		d.sweep(time.Now().Add(time.Hour))
		time.Sleep(sweepInterval)
	}
	close(finish)
	is.Equal(c.readStatus(), 200)
	for d.sweep(time.Now().Add(time.Hour)) > 0 { // idle again
		time.Sleep(time.Millisecond)
	}
}

// TestArrivedRequestIsRead guards against the reset of a connection whose next request has arrived but, on a busy machine, is read only
// after the connection was to be closed.
func TestArrivedRequestIsRead(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	d := New(listener, &http.Server{Handler: http.NotFoundHandler()})
	c := dial(t, d)
	accepted, err := d.Accept()
	is.NoErr(err)
	defer accepted.Close()
	c.sendRequest()
	time.Sleep(50 * time.Millisecond) // it has arrived
	d.sweep(time.Now().Add(time.Hour))
	buffer := make([]byte, 4)
	_, err = io.ReadFull(accepted, buffer)
	is.NoErr(err)
	is.Equal(string(buffer), "GET ")
}
