package exchanger

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// bufferBytes is the size of the read buffer and of the write buffer of a connection.
const bufferBytes = 4096

// countingConn counts the bytes that the kernel accepted for sending.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// limitedReader fails with errAnswerTooLong once remaining is used up.
type limitedReader struct {
	source    io.Reader
	remaining int64 // bytes
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	return n, err
}

// conn is one persistent connection.
type conn struct {
	net.Conn   // the TLS connection if the pool uses TLS
	counting   *countingConn
	raw        syscall.RawConn // nil if the connection gives no access to its file descriptor
	limit      limitedReader
	reader     *bufio.Reader
	writer     *bufio.Writer
	idleSince  time.Time
	inUseSince time.Time             // zero while idle; guarded by Pool.mu
	relaxed    bool                  // waitingTimeout is in force; guarded by Pool.mu
	used       bool                  // for an earlier exchange
	failedIDs  []string              // of requests that were answered with a failure; see AcquireFor
	peek       func(fd uintptr) bool // sets noData
	noData     bool                  // the last peek found an open connection without data to read
	peekBuffer [1]byte
}

func newConn(tcpConn net.Conn) *conn {
	counting := &countingConn{Conn: tcpConn}
	c := &conn{Conn: counting, counting: counting}
	if tcp, ok := tcpConn.(syscall.Conn); ok {
		c.raw, _ = tcp.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		_, _, errno := syscall.Recvfrom(int(fd), c.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.noData = errno == syscall.EAGAIN
		return true
	}
	return c
}

// initBuffers allocates the buffers. It is called once the connection, with or without TLS, is established.
func (c *conn) initBuffers() {
	c.limit.source = c.Conn
	c.reader = bufio.NewReaderSize(&c.limit, bufferBytes)
	c.writer = bufio.NewWriterSize(c.Conn, bufferBytes)
}

// setUserTimeout sets how long sent bytes may stay unacknowledged.
func (c *conn) setUserTimeout(timeout time.Duration) error {
	if c.raw == nil {
		return nil
	}
	return setUserTimeout(c.raw, timeout)
}

// resetOnClose makes Close discard bytes that were not sent, and reset the connection.
func (c *conn) resetOnClose() {
	if tcp, ok := c.counting.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
}

// sentBytes returns how many bytes the kernel has accepted for sending on this connection.
func (c *conn) sentBytes() int64 { return c.counting.written.Load() }

// stale reports whether the other side has closed the idle connection or sent data on it that no request asked for.
func (c *conn) stale() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	if c.raw == nil {
		return false
	}
	c.noData = false
	err := c.raw.Read(c.peek)
	return err != nil || !c.noData
}
