package forwarder

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxBodyBytes bounds the body of an answer, and the body of a request that another instance forwards: both are read
	// into memory before they are sent on.
	maxBodyBytes = 8 << 20
	// maxWireBytes bounds the body of an answer as it is on the wire, where chunks add to it.
	maxWireBytes = 2 * maxBodyBytes
	// defaultBufferBytes bounds the bodies of all answers together, unless LimitBuffers is called.
	defaultBufferBytes = 64 << 20
	// minBufferBytes is the size of the first buffer for the body of an answer.
	minBufferBytes = 4 << 10
)

var (
	errAnswerTooLong = errors.New("answer is too long")
	errBuffersFull   = errors.New("too many bytes of other answers are in memory")
)

// bufferBudget bounds the memory that the bodies of answers take together. It is safe for concurrent use.
type bufferBudget struct {
	limit int64 // bytes; set before first use
	used  atomic.Int64
}

// acquire takes bytes from the budget, and reports whether it had as many.
func (b *bufferBudget) acquire(bytes int64) bool {
	if b.used.Add(bytes) <= b.limit {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// release gives bytes back to the budget.
func (b *bufferBudget) release(bytes int64) { b.used.Add(-bytes) }

// LimitBuffers bounds the memory in bytes that the bodies of answers may take together. It must be called before the first
// request.
func (f *Forwarder) LimitBuffers(bytes int64) { f.buffers.limit = bytes }

// readAnswer reads the body of an answer to req into memory, which it takes from the buffer budget. A server may send bytes
// without end, so a body of more than maxBodyBytes is an error.
func (f *Forwarder) readAnswer(req *clientRequest, body io.Reader) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := max(minBufferBytes, 2*cap(buffer))
			if size > 2*maxBodyBytes {
				return nil, errAnswerTooLong
			}
			if !f.buffers.acquire(int64(size - cap(buffer))) {
				return nil, errBuffersFull
			}
			req.buffered += int64(size - cap(buffer))
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) > maxBodyBytes:
			return nil, errAnswerTooLong
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}
