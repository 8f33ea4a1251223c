package drainer

import (
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// minWait is how long a connection must have waited for its client before it is closed for another one. It covers a lost segment and its
	// retransmission.
	minWait = 500 * time.Millisecond
	// progressBytes is how many bytes of a body count as progress; else single bytes would.
	progressBytes = 16 << 10
	// writeBytes is how much of an answer is written under one deadline.
	writeBytes = 32 << 10
	// writeTimeout bounds the time for writeBytes of an answer if Limits has no Timeouts. Otherwise it is their idle timeout.
	writeTimeout = 10 * time.Second
)

// wait is the wait for a client within a request: for the rest of its header or of its body, or until it reads the answer. The zero wait
// is none.
type wait struct {
	since  time.Time
	reason Reason
}

// Write implements net.Conn. Without a deadline of the server or its handler, a client that reads nothing for the idle timeout is cut off.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		now := time.Now()
		limited, err := c.limitWrite(now)
		if err != nil {
			return written, err
		}
		c.beginWait(wait{since: now, reason: ReasonAnswer})
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		c.endWait(err == nil)
		written += n
		if limited && errors.Is(err, os.ErrDeadlineExceeded) && !c.isEvicted() {
			c.drainer.refused(c, ReasonAnswer)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// limitWrite sets the deadline of a write, unless the server or its handler has set one, and reports whether it did.
func (c *conn) limitWrite(now time.Time) (limited bool, err error) {
	timeout := writeTimeout
	if timeouts, ok := c.timeouts(); ok {
		timeout = timeouts.Idle
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeDeadline.IsZero() || c.evicted && c.wait.reason == ReasonAnswer {
		return false, nil
	}
	return true, c.Conn.SetWriteDeadline(now.Add(timeout))
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	if c.evicted && c.wait.reason == ReasonAnswer {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// beginRequest ends the wait for a header, and the deadline that was set for the answer to the request before.
func (c *conn) beginRequest() {
	c.endWait(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = time.Time{}
}

// beginWait records that the connection waits for its client.
func (c *conn) beginWait(w wait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted {
		c.wait = w
	}
}

// endWait records the end of a wait. done says that the client did what the connection waited for, at the last moment if it has been evicted
// meanwhile: it then stays open, because the server would take a failing read in a later part of the request for a client that has left.
func (c *conn) endWait(done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted {
		c.wait = wait{}
		return
	}
	if !done || c.closing || c.closed {
		return
	}
	c.evicted, c.wait = false, wait{}
	_ = c.Conn.SetReadDeadline(c.serverDeadline) // these fail only on a closed connection
	_ = c.Conn.SetWriteDeadline(c.writeDeadline)
}

// evictLongestWaiting closes the connection that has waited for its client for the longest time, and reports whether there is one. The
// caller holds mu.
func (d *Drainer) evictLongestWaiting(now time.Time) bool {
	for {
		var longest *conn
		var longestWait wait
		for c := range d.conns {
			w := c.currentWait()
			if w.reason != "" && now.Sub(w.since) >= minWait && (longest == nil || w.since.Before(longestWait.since)) {
				longest, longestWait = c, w
			}
		}
		if longest == nil {
			return false
		}
		if longest.evict(longestWait) {
			d.refused(longest, longestWait.reason)
			return true
		}
	}
}

// isEvicted reports whether evict has ended a wait of the connection.
func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// currentWait returns the wait of the connection, or none if it is being closed.
func (c *conn) currentWait() wait {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.closed || c.evicted {
		return wait{}
	}
	return c.wait
}

// evict ends a wait of the connection, whose request then fails, and reports whether it was still waiting. A request whose header or body
// is not complete is refused with 408.
func (c *conn) evict(w wait) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.closed || c.evicted || c.wait != w {
		return false
	}
	c.evicted = true
	if w.reason == ReasonAnswer {
		_ = c.Conn.SetWriteDeadline(pastDeadline) // fails only on a closed connection
		return true
	}
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
	return true
}
