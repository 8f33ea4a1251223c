package drainer

import (
	"net"
	"os"
	"time"

	"k8s.io/klog/v2"
)

const (
	// headerAllowance is how many bytes of a header a connection may always read; most headers have fewer.
	headerAllowance = 4 << 10
	// closingConnections is how many connections may be open beyond the limit while idle ones are closed for them.
	closingConnections = 32
)

// Limits bound what the connections of one server take. The zero Limits bound nothing.
type Limits struct {
	Connections int   // open at the same time
	HeaderBytes int64 // of all headers that are being read
	// ReceiveBuffer is the size in bytes of each connection's receive buffer; with 0 the system lets it grow.
	ReceiveBuffer int
	// OnRefuse is called for each connection that is closed to stay within the limits.
	OnRefuse func()
}

// SetLimits sets the limits. It must be called before Serve.
func (d *Drainer) SetLimits(l Limits) { d.limits = l }

// admit adds a connection that was accepted at now, and reports whether it may stay open. At the limit it closes the connection that has
// been idle for the longest time; without an idle one, the new connection has to go.
func (d *Drainer) admit(now time.Time, c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if limit := d.limits.Connections; limit > 0 && len(d.conns) >= limit {
		if len(d.conns) >= limit+closingConnections || !d.closeLongestIdle(now) {
			return false
		}
	}
	d.conns[c] = true
	return true
}

// limitReceiveBuffer sets the size of a connection's receive buffer. A buffer that the system has grown while a body was read would keep
// megabytes of its rest when the reading has to wait.
func (d *Drainer) limitReceiveBuffer(inner net.Conn) {
	buffered, ok := inner.(interface{ SetReadBuffer(bytes int) error })
	if !ok || d.limits.ReceiveBuffer <= 0 {
		return
	}
	if err := buffered.SetReadBuffer(d.limits.ReceiveBuffer); err != nil {
		klog.InfoS("receive buffer can't be set", "error", err)
	}
}

// closeLongestIdle closes the connection that has been idle for the longest time, and reports whether there is one. The caller holds mu.
func (d *Drainer) closeLongestIdle(now time.Time) bool {
	for {
		longest, since := d.longestIdle(now)
		if longest == nil {
			return false
		}
		if longest.closeIdle(since) {
			d.refused()
			return true
		}
	}
}

// longestIdle returns the connection that has been idle for the longest time, and since when, or nil. The caller holds mu.
func (d *Drainer) longestIdle(now time.Time) (longest *conn, since time.Time) {
	for c := range d.conns {
		if idle := c.idleFrom(); !idle.IsZero() && now.Sub(idle) >= minIdleTime && (longest == nil || idle.Before(since)) {
			longest, since = c, idle
		}
	}
	return longest, since
}

func (d *Drainer) refused() {
	if d.limits.OnRefuse != nil {
		d.limits.OnRefuse()
	}
}

// idleFrom returns when the connection became idle, or the zero time if it is not idle or is closing.
func (c *conn) idleFrom() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return time.Time{}
	}
	return c.idleSince
}

// closeIdle makes the server close the connection, unless a request arrives before, and reports whether it has been idle since a given time
// all along. The reads of a request that is in progress must not fail: the server would take its client to have left.
func (c *conn) closeIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.idleSince.Equal(since) {
		return false
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
	return true
}

// countHeader counts n bytes of a header that were read. The error, after which the server closes the connection without an answer, says
// that the headers of all connections take too much and this one is long.
func (c *conn) countHeader(n int) error {
	if c.answering.Load() || c.drainer.limits.HeaderBytes <= 0 {
		return nil
	}
	own, all := c.headerBytes.Add(int64(n)), c.drainer.headerBytes.Add(int64(n))
	if own <= headerAllowance || all <= c.drainer.limits.HeaderBytes {
		return nil
	}
	c.drainer.refused()
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.ErrDeadlineExceeded}
}

// endHeader ends the counting of the bytes of a header, because it is complete or the connection is closed.
func (c *conn) endHeader() { c.drainer.headerBytes.Add(-c.headerBytes.Swap(0)) }
