// Package drainer closes a server's connections without losing a request that a client has already sent on one of them.
//
// http.Server.Shutdown closes idle connections at once, even if the next request has arrived but has not been read yet. On a
// busy machine, reading it takes a while.
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// minIdleTime is how long a connection must be idle after a request before it is closed: a busy machine may take as long
	// to read a request that has already arrived.
	minIdleTime = 100 * time.Millisecond
	// firstRequestTimeout is how long a new connection may wait for its first request before a sweep closes it: two trips
	// over the slowest link.
	firstRequestTimeout = time.Second
	// sweepInterval is the time between sweeps over the open connections.
	sweepInterval = 20 * time.Millisecond
)

// Drainer is the listener of one server and tracks the server's connections. Use New; it is safe for concurrent use.
type Drainer struct {
	listener net.Listener
	server   *http.Server
	draining atomic.Bool // CloseIdle or Drain was called
	ended    atomic.Bool // FinishAnswers has returned
	// lingering is the number of connections that wait for their clients to receive an answer.
	lingering    atomic.Int32
	limits       Limits
	headerMemory atomic.Int64 // bytes, of the headers of all requests that are being read or in progress
	// largeBuffers is the number of connections with a large receive buffer.
	largeBuffers atomic.Int32

	mu    sync.Mutex
	conns map[*conn]bool
}

// connKey is the key of a request's conn in its context.
type connKey struct{}

// New returns a Drainer for the connections that listener accepts. It wraps the handler of server, which must not be nil,
// and sets its ConnState and ConnContext hooks; Serve must be called with the Drainer.
func New(listener net.Listener, server *http.Server) *Drainer {
	d := &Drainer{listener: listener, server: server, conns: map[*conn]bool{}}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.Handler = handler{server.Handler}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if tracked, ok := c.(*conn); ok && state == http.StateIdle {
			tracked.markIdle(time.Now())
		}
	}
	return d
}

// Accept implements net.Listener.
func (d *Drainer) Accept() (net.Conn, error) {
	for {
		inner, err := d.listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &conn{Conn: inner, drainer: d, idleSince: now, minIdle: firstRequestTimeout, clock: clock{start: now}}
		if d.admit(now, c) {
			c.limitReceiveBuffer()
			return c, nil
		}
		d.refused(c, ReasonLimit)
		_ = inner.Close() // nothing was read from it or written to it
	}
}

// Close implements net.Listener. Accepted connections stay open.
func (d *Drainer) Close() error { return d.listener.Close() }

// Addr implements net.Listener.
func (d *Drainer) Addr() net.Addr { return d.listener.Addr() }

// CloseIdle closes each connection once it is idle, until ctx ends. New connections are still accepted.
func (d *Drainer) CloseIdle(ctx context.Context) {
	d.draining.Store(true)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		d.sweep(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Drain stops accepting connections and closes each open one once it is idle, until none is left. Meanwhile the server's
// handler must ask clients to close their connections, or one on which requests keep arriving stays open until ctx ends. The
// error is that of closing the listener, or says that ctx ended before all connections were closed.
func (d *Drainer) Drain(ctx context.Context) error {
	d.draining.Store(true)
	err := d.Close()
	for {
		open := d.sweep(time.Now())
		if open == 0 {
			return errors.Wrap(err, "close the listener")
		}
		if ctx.Err() != nil {
			return errors.Errorf("%d connections are still open: %v", open, ctx.Err())
		}
		time.Sleep(sweepInterval)
	}
}

// FinishAnswers ends the reading of requests and waits until all answers that are being written have been received by their clients, or
// until ctx ends; the error says so. It is called after Drain.
func (d *Drainer) FinishAnswers(ctx context.Context) error {
	defer d.ended.Store(true)
	for {
		unreceived := d.countUnreceived()
		d.endReading()
		if unreceived == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("%d answers are incomplete: %v", unreceived, ctx.Err())
		}
		time.Sleep(sweepInterval)
	}
}

// countUnreceived returns how many connections have an answer that the client may not have received.
func (d *Drainer) countUnreceived() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for c := range d.conns {
		if c.unreceived() {
			count++
		}
	}
	return count
}

// endReading makes the reads of all connections fail.
func (d *Drainer) endReading() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.endReading()
	}
}

// sweep closes the connections that have been idle for long enough at now, and returns how many are open.
func (d *Drainer) sweep(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.closeIfIdle(now)
	}
	return len(d.conns)
}

// remove stops tracking a connection that is being closed.
func (d *Drainer) remove(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}
