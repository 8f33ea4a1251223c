package drainer

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// arrivedTime is the time for reading what had arrived before a deadline and was not read in time, as on a busy machine.
	arrivedTime = 250 * time.Millisecond
	// readAhead is how many bytes beyond the end of a header the server may read together with it.
	readAhead = 4 << 10
	// refusalTimeout bounds the time for writing an answer to a header that is not read to its end.
	refusalTimeout = 100 * time.Millisecond
	// headerRefusal is the answer to a header that is not read to its end, with its status.
	headerRefusal = "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Timeouts bound how long a client may take between two requests.
type Timeouts struct {
	Idle   time.Duration // until the first byte of a request
	Header time.Duration // from the first byte of a request to the end of its header
}

// phase is what the server does with a connection.
type phase int

const (
	awaiting      phase = iota // it waits for a request
	readingHeader              // a part of a header has arrived
	executing                  // the header is complete; deadlines are those that the server and its handler set
)

// clock is the time that a client has in the present phase. Its fields are guarded by conn.mu.
type clock struct {
	phase       phase
	start       time.Time // of the phase
	extendedTo  time.Time // for bytes that arrived in time; zero if the phase was not extended
	deadlineSet bool      // the server has set a deadline in the phase awaiting
}

// enter begins a phase at now.
func (c *clock) enter(now time.Time, p phase) { *c = clock{phase: p, start: now} }

// deadline returns when the phase ends. A connection may be idle for minIdle at least.
func (c *clock) deadline(t Timeouts, minIdle time.Duration) time.Time {
	end := c.start.Add(max(t.Idle, minIdle))
	if c.phase == readingHeader {
		end = c.start.Add(t.Header)
	}
	if c.extendedTo.After(end) {
		return c.extendedTo
	}
	return end
}

// observeDeadline follows the calls by which the server sets deadlines: one when it begins to wait for a request, one when it begins to
// read a header, and none (the zero time) when it has read the header. It reports whether the server's deadline applies.
func (c *clock) observeDeadline(now, t time.Time) bool {
	switch {
	case c.phase == executing:
		return true
	case c.phase == readingHeader && t.IsZero():
		c.enter(now, executing)
		return true
	case c.phase == awaiting && c.deadlineSet: // the first bytes arrived with the request before
		c.enter(now, readingHeader)
	case c.phase == awaiting:
		c.deadlineSet = true
	}
	return false
}

// timeouts returns the timeouts in force, and false if the connection has those of the server.
func (c *conn) timeouts() (Timeouts, bool) {
	if c.drainer == nil || c.drainer.limits.Timeouts == nil {
		return Timeouts{}, false
	}
	return c.drainer.limits.Timeouts(), true
}

// beginHeader records that bytes were read at now, which may be the first ones of a header. An empty line before it does not start the
// timeout of the header: some clients send one after a body, and the server waits for the next request then.
func (c *conn) beginHeader(now time.Time, read []byte) error {
	if c.answering.Load() {
		return nil
	}
	timeouts, ok := c.timeouts()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait.reason == "" {
		c.wait = wait{since: now, reason: ReasonHeader}
	}
	if len(bytes.Trim(read, "\r\n")) == 0 {
		return nil
	}
	if !ok || c.clock.phase != awaiting {
		return nil
	}
	c.clock.enter(now, readingHeader)
	c.serverDeadline = c.clock.deadline(timeouts, c.minIdle)
	if c.closing || c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(c.serverDeadline)
}

// extend moves a deadline that has passed, and reports whether it did: if the timeouts have become longer since, or once for bytes that
// have arrived.
func (c *conn) extend(now time.Time) bool {
	timeouts, ok := c.timeouts()
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.evicted || c.clock.phase == executing {
		return false
	}
	deadline := c.clock.deadline(timeouts, c.minIdle)
	if !deadline.After(now) {
		if !c.clock.extendedTo.IsZero() || c.pendingBytes(unix.SIOCINQ) == 0 {
			return false
		}
		c.clock.extendedTo = now.Add(arrivedTime)
		deadline = c.clock.extendedTo
	}
	c.serverDeadline = deadline
	return c.Conn.SetReadDeadline(deadline) == nil
}

// headerIsLate reports whether a deadline that has passed is that of a header.
func (c *conn) headerIsLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.clock.phase == readingHeader || c.evicted && c.wait.reason == ReasonHeader) && !c.closing
}

// refuseHeader answers a header that can't be read to its end. The error ends the connection.
func (c *conn) refuseHeader(now time.Time, status int) error {
	if c.drainer.limits.OnHeaderRefused != nil {
		c.drainer.limits.OnHeaderRefused(status)
	}
	c.answering.Store(true) // Close waits until the client has received the answer
	c.bodyRead.Store(false)
	err := c.SetWriteDeadline(now.Add(refusalTimeout))
	if err == nil {
		_, err = fmt.Fprintf(c.Conn, headerRefusal, status, http.StatusText(status))
	}
	if err == nil {
		err = c.CloseWrite() // the server would answer a header that ends within a line with 400
	}
	if err != nil {
		klog.V(1).InfoS("refusal of a header was not written", "error", err) // the connection is closed in any case
	}
	return c.readError()
}

// readError returns an error of Read after which the server closes the connection without an answer.
func (c *conn) readError() error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.ErrDeadlineExceeded}
}
