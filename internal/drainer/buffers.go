package drainer

import (
	"io"
	"time"

	"k8s.io/klog/v2"
)

const (
	// smallReceiveBuffer is the size in bytes of the receive buffer of a connection of which no large body is being read: what a client may
	// have sent to an instance that does not read yet. It holds a usual header. With 16 KiB,
	// bodies on loopback arrived at 4 MB/s after an enlargement, as the window stayed below a segment of 64 KiB; with 32 KiB at over 1 GB/s.
	smallReceiveBuffer = 32 << 10
	// maxLargeBuffers bounds how many connections have a larger one at the same time. With buffers of a 1,024th of the memory, which the
	// system doubles, they take a 16th of it.
	maxLargeBuffers = 32
)

// setReceiveBuffer sets the size in bytes of the connection's receive buffer.
func (c *conn) setReceiveBuffer(bytes int) {
	buffered, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error })
	if !ok {
		return
	}
	if err := buffered.SetReadBuffer(bytes); err != nil {
		klog.V(1).InfoS("receive buffer can't be set", "error", err) // the connection is closed
	}
}

// limitReceiveBuffer gives a new connection a small receive buffer. One that the system grows would keep megabytes of a body whose
// reading has to wait.
func (c *conn) limitReceiveBuffer() {
	if limit := c.drainer.limits.ReceiveBuffer; limit > 0 {
		c.setReceiveBuffer(min(limit, smallReceiveBuffer))
	}
}

// enlargeReceiveBuffer gives the connection a large receive buffer while the number of those is below its bound: a large body is being
// read, and would otherwise arrive slowly on paths with long delays.
func (c *conn) enlargeReceiveBuffer() {
	limit := c.drainer.limits.ReceiveBuffer
	if limit <= smallReceiveBuffer || !c.largeBuffer.CompareAndSwap(false, true) {
		return
	}
	if c.drainer.largeBuffers.Add(1) > maxLargeBuffers {
		if c.largeBuffer.Swap(false) {
			c.drainer.largeBuffers.Add(-1)
		}
		return
	}
	c.setReceiveBuffer(limit)
}

// releaseReceiveBuffer undoes enlargeReceiveBuffer.
func (c *conn) releaseReceiveBuffer() {
	if c.largeBuffer.Swap(false) {
		c.drainer.largeBuffers.Add(-1)
		c.setReceiveBuffer(smallReceiveBuffer)
	}
}

// trackedBody is the body of a request. It records whether the body was read completely, and gives the connection a large receive buffer
// while a large body is being read. The handler reads only bodies that it has memory for.
type trackedBody struct {
	io.ReadCloser
	conn      *conn
	announced int64         // length in bytes, or -1
	read      int64         // bytes
	mark      int64         // read, when the client made progress last
	waited    time.Duration // for the client since then
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	if max(b.announced, b.read) > smallReceiveBuffer {
		b.conn.enlargeReceiveBuffer()
	}
	start := time.Now()
	b.conn.beginWait(wait{since: start.Add(-b.waited), reason: ReasonBody})
	n, err := b.ReadCloser.Read(p)
	b.conn.endWait(err == nil || err == io.EOF)
	b.read += int64(n)
	b.waited += time.Since(start)
	if b.read-b.mark >= progressBytes {
		b.mark, b.waited = b.read, 0
	}
	if err == io.EOF {
		b.conn.bodyRead.Store(true)
		b.conn.releaseReceiveBuffer()
	}
	return n, err
}
