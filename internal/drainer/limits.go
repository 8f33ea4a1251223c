package drainer

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// headerAllowance is the memory in bytes that the header of a connection may always take; most headers take less.
	headerAllowance = 8 << 10
	// fieldBytes is the memory in bytes that a header field takes beside its name and value: entries in the map of the request, and in the
	// copies that are forwarded.
	fieldBytes = 320
	// closingConnections is how many connections may be open beyond the limit while idle ones are closed for them.
	closingConnections = 32
	// serverTimeout stands for the timeouts of the server whose deadlines the connection replaces.
	serverTimeout = time.Hour
)

// Limits bound what the connections of one server take. The zero Limits bound nothing.
type Limits struct {
	Connections int // open at the same time
	// HeaderMemory bounds the memory in bytes that the headers of all requests take that are being read or in progress.
	HeaderMemory int64
	// ReceiveBuffer is the size in bytes of the receive buffers of connections of which a large body is being read, maxLargeBuffers at the
	// same time. Others have smallReceiveBuffer. With 0 the system lets them grow.
	ReceiveBuffer int
	// HeaderLimit, if not nil, returns the size in bytes that a header may have at the moment. A larger one is answered with 431 once at
	// most readAhead bytes more have been read.
	HeaderLimit func() int
	// Timeouts, if not nil, returns the timeouts that are in force, in place of the server's ReadHeaderTimeout and IdleTimeout. Its
	// ReadTimeout must be 0.
	Timeouts func() Timeouts
	// OnHeaderRefused is called for each header that is refused because of HeaderLimit (431) or Timeouts (408).
	OnHeaderRefused func(status int)
	// OnRefuse is called for each connection that is closed to stay within the limits.
	OnRefuse func(Refusal)
}

// Reason says why a connection is closed to stay within the limits.
type Reason string

// The reasons of a Refusal.
const (
	ReasonLimit        Reason = "limit"         // new, while all others are in use
	ReasonIdle         Reason = "idle"          // closed for a new one, as are the next three
	ReasonHeader       Reason = "header"        // the header of its request was not complete
	ReasonBody         Reason = "body"          // the body of its request was not complete
	ReasonAnswer       Reason = "answer"        // its client did not read the answer
	ReasonHeaderMemory Reason = "header_memory" // its header is long, and all headers together take too much memory
)

// Refusal is a connection that is closed to stay within the limits.
type Refusal struct {
	Remote net.Addr
	Reason Reason
}

// SetLimits sets the limits. It must be called before Serve.
func (d *Drainer) SetLimits(l Limits) {
	d.limits = l
	if l.Timeouts != nil { // clock recognises the phases by deadlines that are not zero
		d.server.ReadHeaderTimeout, d.server.IdleTimeout = serverTimeout, serverTimeout
	}
}

// admit adds a connection that was accepted at now, and reports whether it may stay open. At the limit it closes the connection that has
// been idle for the longest time; without an idle one, the one that has waited for its client for the longest time within a request;
// without such a one, the new connection has to go.
func (d *Drainer) admit(now time.Time, c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if limit := d.limits.Connections; limit > 0 && len(d.conns) >= limit {
		if len(d.conns) >= limit+closingConnections || !d.closeLongestIdle(now) && !d.evictLongestWaiting(now) {
			return false
		}
	}
	d.conns[c] = true
	return true
}

// closeLongestIdle closes the connection that has been idle for the longest time, and reports whether there is one. The caller holds mu.
func (d *Drainer) closeLongestIdle(now time.Time) bool {
	for {
		longest, since := d.longestIdle(now)
		if longest == nil {
			return false
		}
		if longest.closeIdle(since) {
			d.refused(longest, ReasonIdle)
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

// refused reports that a connection is closed for a reason.
func (d *Drainer) refused(c *conn, reason Reason) {
	if d.limits.OnRefuse != nil {
		d.limits.OnRefuse(Refusal{Remote: c.RemoteAddr(), Reason: reason})
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

// headerUsage is what the header of a request takes. The zero headerUsage is that of none.
type headerUsage struct {
	bytes  atomic.Int64 // as they were received
	memory atomic.Int64 // bytes in memory
}

// countHeader counts bytes of a header that were read at now. The error, after which the server closes the connection without an answer,
// says that this header is too large, or that it is long and the headers of all connections take too much.
func (c *conn) countHeader(now time.Time, read []byte) error {
	if c.answering.Load() {
		return nil
	}
	memory := int64(len(read) + fieldBytes*bytes.Count(read, []byte("\n")))
	own, all := c.header.memory.Add(memory), c.drainer.headerMemory.Add(memory)
	limits := &c.drainer.limits
	if received := c.header.bytes.Add(int64(len(read))); limits.HeaderLimit != nil && received > int64(limits.HeaderLimit())+readAhead {
		return c.refuseHeader(now, http.StatusRequestHeaderFieldsTooLarge)
	}
	if limits.HeaderMemory <= 0 || own <= headerAllowance || all <= limits.HeaderMemory {
		return nil
	}
	c.drainer.refused(c, ReasonHeaderMemory)
	return c.readError()
}

// endHeader ends the counting of a header, because its request has ended or the connection is closed.
func (c *conn) endHeader() {
	c.header.bytes.Store(0)
	c.drainer.headerMemory.Add(-c.header.memory.Swap(0))
}
