package exchanger

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const bufferBytes = 4096

// meteredConn counts the bytes that the kernel took.
type meteredConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (m *meteredConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.written.Add(int64(n))
	return n, err
}

// limitedReader fails once it has read more than left bytes.
type limitedReader struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.from.Read(p)
	l.left -= int64(n)
	return n, err
}

// conn is one persistent connection.
type conn struct {
	net.Conn // the TLS connection where there is one
	metered  *meteredConn
	raw      syscall.RawConn // nil where the connection can't be looked into
	limit    limitedReader
	reader   *bufio.Reader
	writer   *bufio.Writer
	idleFrom time.Time
	peek     func(fd uintptr) bool // sets quiet
	quiet    bool                  // nothing can be read at present
	peeked   [1]byte
}

func newConn(plain net.Conn) *conn {
	metered := &meteredConn{Conn: plain}
	c := &conn{Conn: metered, metered: metered}
	if tcp, ok := plain.(syscall.Conn); ok {
		c.raw, _ = tcp.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		_, _, errno := syscall.Recvfrom(int(fd), c.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.quiet = errno == syscall.EAGAIN
		return true
	}
	return c
}

// buffers makes the buffers once the connection, with TLS or without, is established.
func (c *conn) buffers() {
	c.limit.from = c.Conn
	c.reader = bufio.NewReaderSize(&c.limit, bufferBytes)
	c.writer = bufio.NewWriterSize(c.Conn, bufferBytes)
}

// sent returns how many bytes the kernel has taken on this connection.
func (c *conn) sent() int64 { return c.metered.written.Load() }

// stale reports whether the other side has closed the idle connection or sent something unasked.
func (c *conn) stale() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	if c.raw == nil {
		return false
	}
	c.quiet = false
	err := c.raw.Read(c.peek)
	return err != nil || !c.quiet
}
