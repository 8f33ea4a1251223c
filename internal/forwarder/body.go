package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wasabibank/wasabibank/internal/exchanger"
)

// maxReplayBytes is how much of a request body is kept, so that an attempt of which nothing was sent can be followed
// by another.
const maxReplayBytes = 64 << 10

// body is the body of a request: what was read ahead, and the rest.
type body struct {
	head  []byte
	rest  io.Reader // nil where head is all of it
	taken bool      // a byte of rest was read
}

// Read implements io.Reader over rest.
func (b *body) Read(p []byte) (int, error) {
	b.taken = true
	return b.rest.Read(p)
}

// replayable reports whether the body can be sent from its start.
func (b *body) replayable() bool { return b.rest == nil || !b.taken }

// readBody reads ahead, up to maxReplayBytes, before the request takes anyone's slot; ok is false when v refuses it.
func (q *request) readBody() (v verdict, ok bool) {
	if q.r.ContentLength == 0 || q.r.Body == nil {
		return verdict{}, true
	}
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(q.deadline)
	bounded := http.MaxBytesReader(q.w, q.r.Body, q.class.BodyBytes())
	head, whole, err := readAhead(bounded, q.r.ContentLength)
	if err != nil {
		return q.badBody(err), false
	}
	q.body.head = head
	if !whole {
		q.body.rest = bounded
		return verdict{}, true
	}
	_ = control.SetReadDeadline(time.Time{})
	return verdict{}, true
}

// readAhead returns the start of a body of length bytes, -1 where unknown, and whether that is all of it.
func readAhead(from io.Reader, length int64) (head []byte, whole bool, err error) {
	if length >= 0 && length <= maxReplayBytes {
		head = make([]byte, length)
		_, err = io.ReadFull(from, head)
		return head, true, err
	}
	if length > maxReplayBytes {
		return nil, false, nil
	}
	head, err = io.ReadAll(io.LimitReader(from, maxReplayBytes+1))
	return head, len(head) <= maxReplayBytes, err
}

// badBody returns the verdict on a body that could not be read.
func (q *request) badBody(err error) verdict {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(q.class)
	}
	return verdict{reason: ReasonBadBody, message: "the body could not be read: " + err.Error()}
}

// attach gives out the body of q.
func (b *body) attach(out *http.Request, q *request) {
	if len(q.r.Trailer) > 0 {
		out.Trailer = q.r.Trailer
	}
	if b.rest != nil {
		out.ContentLength = q.r.ContentLength
		out.Body = exchanger.NewStreamedBody(io.MultiReader(bytes.NewReader(b.head), b), q.stopReading)
		return
	}
	if len(b.head) == 0 && len(out.Trailer) == 0 {
		out.Body = http.NoBody
		return
	}
	out.Body = io.NopCloser(bytes.NewReader(b.head))
	out.ContentLength = int64(len(b.head))
	if len(out.Trailer) > 0 {
		out.ContentLength = -1
	}
}

// stopReading makes a read of the caller's body under way return.
func (q *request) stopReading() {
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Unix(1, 0))
}
