package drainer

import (
	"io"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// lingerTimeout is how long a connection that the client may still write to stays open after the client has received the
	// answer. A client may drop an answer that it has not read when it learns that its own bytes were rejected.
	lingerTimeout = 500 * time.Millisecond
	// maxLinger bounds the time for a client that does not read its answer.
	maxLinger = 10 * time.Second
	// maxLingering bounds how many connections linger at once before the drain: each holds a descriptor.
	maxLingering = 64
)

// linger ends the sending side and waits until the client has received the answer, if it could be lost otherwise: closing a connection
// with unread bytes resets it and discards what was not sent, and so may the exit of the process.
func (c *conn) linger() {
	if _, ok := c.Conn.(syscall.Conn); !ok {
		return
	}
	mayWrite := !c.bodyRead.Load() || c.pendingBytes(unix.SIOCINQ) > 0
	if !mayWrite && !c.drainer.draining.Load() {
		return // the system sends the rest
	}
	defer c.drainer.lingering.Add(-1)
	if c.drainer.lingering.Add(1) > maxLingering && !c.drainer.draining.Load() || c.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, 4096)
	for start := time.Now(); !c.drainer.ended.Load() && time.Since(start) < maxLinger; {
		if c.pendingBytes(unix.SIOCOUTQ) == 0 && (!mayWrite || time.Since(start) >= lingerTimeout) {
			return
		}
		if err := c.Conn.SetReadDeadline(time.Now().Add(sweepInterval)); err != nil {
			return
		}
		n, err := c.Conn.Read(buffer)
		mayWrite = mayWrite || n > 0
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, io.EOF):
			mayWrite = false
			time.Sleep(sweepInterval)
		default:
			return
		}
	}
}

// pendingBytes returns how many bytes are in the send queue (SIOCOUTQ) or in the receive queue (SIOCINQ) of the connection, or 0 if it
// is closed or no socket.
func (c *conn) pendingBytes(queue uint) int {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	err = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), queue)
		if err != nil {
			klog.InfoS("the queue of a connection is unknown", "error", err)
			return
		}
		count = n
	})
	if err != nil { // it is closed
		return 0
	}
	return count
}
