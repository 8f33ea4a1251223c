package drainer

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// pastDeadline is a deadline in the past: it makes pending reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection that tracks whether it is idle or has a request in progress.
//
// The Drainer closes an idle connection indirectly: it makes the server's pending read time out, and the server then closes
// the connection. If the Drainer closed it, a read could already have returned a request, which the server would execute
// without a connection to answer on.
type conn struct {
	net.Conn
	drainer     *Drainer
	answering   atomic.Bool // a request is in progress, or the client may not have received its answer
	bodyRead    atomic.Bool // the body of the last request was read completely
	largeBuffer atomic.Bool // its receive buffer is large
	header      headerUsage // of the request that is being read or in progress

	mu             sync.Mutex
	idleSince      time.Time     // when the connection became idle; zero while a request is in progress
	minIdle        time.Duration // how long it must be idle before it is closed
	closing        bool          // the read deadline is pastDeadline
	readingEnded   bool          // endReading was called
	closed         bool          // Close was called
	serverDeadline time.Time     // read deadline that applies unless the connection is closing
	writeDeadline  time.Time     // that the server or its handler has set; zero if none
	wait           wait          // for the client, within a request
	evicted        bool          // evict was called
	clock          clock         // used if Limits has Timeouts
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) && (c.keepForArrived() || c.extend(time.Now())) {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.headerIsLate() {
			err = c.refuseHeader(time.Now(), http.StatusRequestTimeout)
		}
		return n, err
	}
	if deadlineErr := c.markBusy(); deadlineErr != nil && err == nil {
		err = deadlineErr
	}
	if deadlineErr := c.beginHeader(time.Now(), p[:n]); deadlineErr != nil && err == nil {
		err = deadlineErr
	}
	if limitErr := c.countHeader(time.Now(), p[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeouts, ok := c.timeouts(); ok && !c.clock.observeDeadline(time.Now(), t) {
		t = c.clock.deadline(timeouts, c.minIdle)
	}
	c.serverDeadline = t
	if c.closing || c.evicted && c.wait.reason != ReasonAnswer {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. It may wait until the client has received the answer.
func (c *conn) Close() error {
	c.mu.Lock()
	lingers := !c.closed && !c.evicted // another connection waits for the place of an evicted one
	c.closed = true
	c.mu.Unlock()
	if lingers && c.unreceived() {
		c.linger()
	}
	c.endHeader()
	c.releaseReceiveBuffer()
	c.drainer.remove(c)
	return c.Conn.Close()
}

// CloseWrite ends the sending side of the connection. http.Server calls it if the connection has such a method.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// unreceived reports whether the client may not have received the last answer. While the process lives, the system sends the rest of one
// that has been written, unless the connection is reset.
func (c *conn) unreceived() bool {
	return c.answering.Load() || c.drainer.draining.Load() && c.pendingBytes(unix.SIOCOUTQ) > 0
}

// keepForArrived undoes closeIfIdle if bytes of a request have arrived that were not read in time, and reports whether it did.
func (c *conn) keepForArrived() bool {
	c.mu.Lock()
	closing := c.closing && !c.readingEnded
	c.mu.Unlock()
	return closing && c.pendingBytes(unix.SIOCINQ) > 0 && c.markBusy() == nil
}

// markBusy records that a request is being read or is in progress. It undoes closeIfIdle, because the request arrived before the read
// timed out.
func (c *conn) markBusy() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	if !c.closing {
		return nil
	}
	c.closing = false
	return c.Conn.SetReadDeadline(c.serverDeadline)
}

// markIdle records that the connection became idle at now, after a request.
func (c *conn) markIdle(now time.Time) {
	c.endHeader() // a request that the server answers without the handler, "OPTIONS *", has ended no header
	c.answering.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.minIdle, c.wait = now, minIdleTime, wait{}
	c.clock.enter(now, awaiting)
}

// closeIfIdle makes the server close the connection if it has been idle for at least minIdle.
func (c *conn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.idleSince.IsZero() || now.Sub(c.idleSince) < c.minIdle {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
}

// endReading makes the server's reads fail, whatever they are for.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingEnded = true
	if c.closing || c.closed {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
}
