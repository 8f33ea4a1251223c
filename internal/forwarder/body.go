package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/allocator"
)

const (
	// maxBodyBytes bounds the body of an answer, which is read into memory before it is sent on.
	maxBodyBytes = 8 << 20
	// maxWireBytes bounds the body of an answer as it is on the wire, where chunks add to it.
	maxWireBytes = 2 * maxBodyBytes
	// minHopBodyBytes is the size up to which bodies from other instances are taken whatever this instance's configuration says, which
	// may be older than theirs.
	minHopBodyBytes = 8 << 20
	// defaultIdleTimeout is used if the configuration sets no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// renewInterval is the shortest time between two moves of a deadline on a connection that makes progress.
	renewInterval = 100 * time.Millisecond
	// unreadTimeout bounds the time for the rest of a body that a refusal does not need.
	unreadTimeout = time.Second
	// writeBytes is how much of an answer is written under one deadline.
	writeBytes = 32 << 10
)

var (
	errBodyTooLarge = errors.New("body is too large")
	errBodyStalled  = errors.New("body makes no progress")
)

// pastDeadline is a deadline in the past: it makes pending reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// connDeadline sets the deadlines of a connection until it is ended. It is safe for concurrent use.
type connDeadline struct {
	set func(time.Time) error

	mu      sync.Mutex
	ended   bool
	renewed time.Time
}

// move sets the deadline, unless it was moved less than renewInterval ago or end was called.
func (d *connDeadline) move(now, deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended || now.Sub(d.renewed) < renewInterval {
		return
	}
	d.renewed = now
	d.apply(deadline)
}

// clear removes the deadline, unless end was called.
func (d *connDeadline) clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ended {
		d.apply(time.Time{})
	}
}

// end makes pending and later calls fail.
func (d *connDeadline) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	d.apply(pastDeadline)
}

func (d *connDeadline) apply(deadline time.Time) {
	if err := d.set(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		klog.V(1).InfoS("deadline of a connection can't be set", "error", err) // it is closed, and the next call fails
	}
}

// idleTimeout returns how long a client may send or read nothing in the middle of a body.
func (f *Forwarder) idleTimeout() time.Duration {
	if v := f.view.Load(); v != nil && v.Table != nil && v.Table.Limits().IdleTimeout > 0 {
		return v.Table.Limits().IdleTimeout
	}
	return defaultIdleTimeout
}

// readBody reads the body of a request, which may have limit bytes, into memory. On success the memory is held by req.memory, which must
// be closed. The error is errBodyTooLarge, errBodyStalled, errShuttingDown, a noMemoryError, or that of the connection.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, req *clientRequest, limit int64) error {
	if r.ContentLength > limit {
		return errBodyTooLarge
	}
	deadline := &connDeadline{set: http.NewResponseController(w).SetReadDeadline}
	stop := context.AfterFunc(f.lifetime, deadline.end)
	defer stop()
	announced := r.ContentLength
	if r.Body == nil || r.Body == http.NoBody {
		announced = 0
	}
	h, err := f.memory.open(f.lifetime, max(announced, 0)+int64(headerBytes(r)), req.deadline, deadline.end)
	if err != nil {
		return err
	}
	if announced != 0 {
		req.body, err = f.readPieces(r.Body, h, deadline, req.deadline, announced, limit)
	}
	h.enter(allocator.Working, nil)
	switch {
	case err == nil && h.wasDropped(), errors.Is(err, os.ErrDeadlineExceeded) && f.lifetime.Err() == nil:
		err = errBodyStalled
	case err != nil && f.lifetime.Err() != nil:
		err = errShuttingDown
	}
	if err != nil {
		h.close()
		return err
	}
	if announced != 0 {
		deadline.clear()
	}
	req.memory = h
	return nil
}

// readPieces reads a body that announced its length, or -1. Each byte that arrives moves the deadline of the connection, up to the end.
func (f *Forwarder) readPieces(
	body io.Reader, h *hold, deadline *connDeadline, end time.Time, announced, limit int64,
) (payload, error) {
	idle := f.idleTimeout()
	moveDeadline := func() {
		now := time.Now()
		if next := now.Add(idle); next.Before(end) {
			deadline.move(now, next)
			return
		}
		deadline.move(now, end)
	}
	moveDeadline()
	var p payload
	for {
		remaining := int64(-1)
		if announced >= 0 {
			remaining = announced - p.size
		}
		size := max(1, p.nextPieceBytes(remaining)) // one byte more than announced finds the end
		if announced < 0 {
			if err := h.grow(f.lifetime, size, false); err != nil {
				return payload{}, err
			}
			moveDeadline() // the client may have sent bytes meanwhile
		}
		err := p.readPiece(body, size, func(total int64) {
			h.progress(total)
			moveDeadline()
		})
		switch {
		case p.size > limit:
			return payload{}, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return p, nil
		case err != nil:
			return payload{}, err
		}
	}
}

// readAnswer reads the body of an answer to req into memory, which is held by req.memory. A server may send bytes without end, so a body
// of more than maxBodyBytes is an error. After an error no memory is held for the answer.
func (f *Forwarder) readAnswer(req *clientRequest, body io.Reader) (payload, error) {
	req.memory.beginAnswer()
	p, err := f.readAnswerPieces(req, body)
	if err != nil {
		req.memory.releaseAnswer()
	}
	return p, err
}

// readAnswerPieces implements readAnswer. It leaves the memory held after an error.
func (f *Forwarder) readAnswerPieces(req *clientRequest, body io.Reader) (payload, error) {
	var p payload
	for {
		size := p.nextPieceBytes(-1)
		if err := req.memory.grow(f.lifetime, size, true); err != nil {
			return payload{}, err
		}
		err := p.readPiece(body, size, func(int64) {})
		switch {
		case p.size > maxBodyBytes:
			return payload{}, errAnswerTooLong
		case errors.Is(err, io.EOF):
			return p, nil
		case err != nil:
			return payload{}, err
		}
	}
}

// writeBody writes the body of an answer. A client that reads nothing for the idle timeout, or is dropped because others need the memory,
// gets only a part. Nothing uses the body of the request any longer.
func (f *Forwarder) writeBody(w http.ResponseWriter, req *clientRequest, body payload) error {
	req.body = payload{}
	req.memory.releaseBody()
	deadline := &connDeadline{set: http.NewResponseController(w).SetWriteDeadline}
	req.memory.enter(allocator.Writing, deadline.end)
	defer req.memory.enter(allocator.Working, nil)
	idle := f.idleTimeout()
	var total int64
	for _, piece := range body.pieces {
		for len(piece) > 0 {
			now := time.Now()
			deadline.move(now, now.Add(idle))
			n, err := w.Write(piece[:min(len(piece), writeBytes)])
			total += int64(n)
			req.memory.progress(total)
			if err != nil {
				return err
			}
			piece = piece[n:]
		}
	}
	return nil
}

// limitUnread bounds the time for which a client may leave the rest of a body open that is refused for a reason: the server reads some of
// it to find the next request.
func limitUnread(w http.ResponseWriter, r *http.Request, reason string) {
	if r.Body == nil || r.Body == http.NoBody || reason == reasonShuttingDown || reason == reasonBodyStalled { // its reading has ended
		return
	}
	deadline := &connDeadline{set: http.NewResponseController(w).SetReadDeadline}
	now := time.Now()
	deadline.move(now, now.Add(unreadTimeout))
}

// messageCopies is how many times the length of a message it takes before it is decoded: its bytes, and the copies of the reader, which
// doubles its buffer.
const messageCopies = 4

// HoldMessage reads a message from another instance, which has maxBytes at most and must have arrived before timeout, and holds memory for
// it. decodedBytes returns how many bytes it takes once it is decoded. The body of r is then the message in memory. release must be called
// when the message has been handled. The error says that there is no memory, or that the message can't be read.
func (f *Forwarder) HoldMessage(
	w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration, decodedBytes func(message []byte) int64,
) (release func(), err error) {
	now := time.Now()
	length := r.ContentLength
	if length < 0 { // instances announce it
		length = maxBytes
	}
	if length > maxBytes {
		return nil, errBodyTooLarge
	}
	deadline := &connDeadline{set: http.NewResponseController(w).SetReadDeadline}
	deadline.move(now, now.Add(timeout))
	h, err := f.memory.open(r.Context(), messageCopies*length, now.Add(timeout), deadline.end)
	if err != nil {
		return nil, err
	}
	message := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	if _, err = message.ReadFrom(&messageBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxBytes), hold: h}); err == nil {
		h.enter(allocator.Working, nil)
		err = h.grow(r.Context(), decodedBytes(message.Bytes()), false)
	}
	if err != nil {
		h.close()
		return nil, err
	}
	deadline.clear()
	r.Body = io.NopCloser(message)
	return h.close, nil
}

// messageBody is the body of a message. It records progress.
type messageBody struct {
	io.ReadCloser
	hold  *hold
	total int64
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.total += int64(n)
	b.hold.progress(b.total)
	return n, err
}
