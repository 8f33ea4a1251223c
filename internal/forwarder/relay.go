package forwarder

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/exchanger"
)

// relayBytes is the size of a copy buffer. An answer that fits is read whole before any of it goes to the caller.
const relayBytes = 32 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBytes]byte) }}

// relayEnds are what relay calls when the answer has been read, before the last of it goes to the caller.
type relayEnds struct {
	whole   func()
	failed  func(error) result // returns what it means while nothing has gone to the caller
	dropped func()             // the caller does not take the answer
	now     func() time.Time
}

// relay passes an answer on to the caller, whole or visibly cut.
func (q *request) relay(answer *exchanger.Response, ends relayEnds) result {
	q.step(Answer{})
	buffer := relayBuffers.Get().(*[relayBytes]byte)
	defer relayBuffers.Put(buffer)
	n, err := readFull(answer.Body, buffer[:])
	switch {
	case errors.Is(err, io.EOF):
		answer.Close(ends.now(), true)
		ends.whole()
		q.step(Complete{})
		return q.writeWhole(answer, buffer[:n])
	case err != nil:
		answer.Close(ends.now(), false)
		q.step(Break{})
		return ends.failed(err)
	}
	return q.stream(answer, buffer, ends)
}

// readFull reads until p is full, with a nil error, or reading fails; the end of the body is io.EOF.
func readFull(from io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = from.Read(p[n:])
		n += more
	}
	return n, err
}

// writeWhole writes an answer that has been read whole. A caller that is gone can't be told.
func (q *request) writeWhole(answer *exchanger.Response, body []byte) result {
	q.writeHead(answer)
	_, err := q.w.Write(body)
	if err != nil && q.r.Method != http.MethodHead && bodyAllowed(answer.Status) {
		return finished{status: answer.Status, cut: true}
	}
	q.writeTrailer(answer)
	return finished{status: answer.Status}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// stream passes on a long answer piece by piece; a full buffer has been read.
func (q *request) stream(answer *exchanger.Response, buffer *[relayBytes]byte, ends relayEnds) result {
	control := http.NewResponseController(q.w)
	_ = control.SetWriteDeadline(q.deadline.Add(serverGrace))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	q.writeHead(answer)
	n, readErr := len(buffer), error(nil)
	for {
		_, writeErr := q.w.Write(buffer[:n])
		if writeErr == nil && readErr == nil {
			n, readErr = answer.Body.Read(buffer[:])
			continue
		}
		if writeErr != nil || !errors.Is(readErr, io.EOF) {
			return q.cut(answer, ends, writeErr, readErr)
		}
		answer.Close(ends.now(), true)
		ends.whole()
		q.step(Complete{})
		q.writeTrailer(answer)
		return finished{status: answer.Status}
	}
}

// cut ends an answer of which a part has gone to the caller.
func (q *request) cut(answer *exchanger.Response, ends relayEnds, writeErr, readErr error) result {
	answer.Close(ends.now(), false)
	if writeErr == nil {
		ends.failed(readErr)
	} else {
		ends.dropped()
	}
	q.step(Cut{})
	return finished{status: answer.Status, cut: true}
}

// writeHead writes the head of the answer. One whose length is unproved is passed on in the same form.
func (q *request) writeHead(answer *exchanger.Response) {
	exchanger.RemoveHopByHop(answer.Header)
	removePrivate(answer.Header)
	h := q.w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	q.setOwnHeaders(h, OutcomeAnswered)
	for name := range answer.Trailer {
		h.Add("Trailer", name)
	}
	if answer.UntilClose && q.r.Method != http.MethodHead && bodyAllowed(answer.Status) {
		h.Set("Transfer-Encoding", "identity")
	}
	q.w.WriteHeader(answer.Status)
}

func (q *request) writeTrailer(answer *exchanger.Response) {
	if len(answer.Trailer) == 0 {
		return
	}
	h := q.w.Header()
	for name, values := range answer.Trailer {
		if !strings.HasPrefix(name, headerPrefix) {
			h[name] = values
		}
	}
}

// inform passes on an interim answer.
func (q *request) inform(status int, header http.Header) {
	exchanger.RemoveHopByHop(header)
	removePrivate(header)
	h := q.w.Header()
	for name, values := range header {
		h[name] = values
	}
	q.w.WriteHeader(status)
	for name := range header {
		delete(h, name)
	}
}
