// Package exchanger is an HTTP client that sends one request over one persistent connection and reads the answer, the HTTP
// response. It never sends a request a second time, and its errors tell whether a byte of the request may have been sent.
package exchanger

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	maxAnswers = 16 // to one request: informational answers and the final one
	// maxHeaderBytes leaves room for one header of a megabyte, which a faulty server may send, beside the usual ones.
	maxHeaderBytes = 1<<20 + 64<<10 // of one answer, including its informational answers
	// maxFailedIDs is how many ids of failed attempts a connection remembers before it is closed.
	maxFailedIDs = 64
)

// pastDeadline is a deadline in the past: it makes pending reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// InformationalHandler is called with each 1xx answer that precedes the final one, except 100 Continue.
type InformationalHandler func(status int, header http.Header)

// Response is an answer whose header has been read. The Response must be closed. For its connection to be reused, Body
// must be read to its end first.
type Response struct {
	Status         int
	Header         http.Header
	ContentLength  int64 // -1 if unknown
	Trailer        http.Header
	Body           io.Reader // fails with io.ErrUnexpectedEOF when it is truncated
	Reused         bool      // the connection was used before, so that a late answer to an earlier request may arrive on it
	CloseDelimited bool      // the body ends when the connection is closed, so that a truncated one can't be recognised

	exchange     *exchange
	httpResponse *http.Response
}

// exchange is one request in progress on one connection.
type exchange struct {
	pool       *Pool
	conn       *conn
	sentBefore int64       // bytes sent on conn before this request
	unwatch    func() bool // stops watching the context; false if the context has ended already; its first result counts
	writeDone  chan error  // gets the result of the background write; nil if there is none or its result was received
	body       *StreamedBody
	reusable   bool
	reused     bool
	id         string // of the request; empty if it is unknown
}

// Connection is a connection that was taken out of a Pool for one request. Do or Release must be called, and only once.
type Connection struct {
	pool *Pool
	conn *conn
	id   string
}

// Acquire takes an idle connection out of the pool, or opens one. It waits first while MaxConnections are in use. The wait
// and the opening last at most ConnectTimeout each. The error is an ErrNotSent.
func (p *Pool) Acquire(ctx context.Context, now, deadline time.Time) (Connection, error) {
	c, err := p.get(ctx, now, deadline, func(*conn) bool { return true })
	if err != nil {
		return Connection{}, err
	}
	return Connection{pool: p, conn: c}, nil
}

// AcquireFor is Acquire for a request with an id that servers repeat in their answers. All attempts of a request have the same
// id, so a late copy of the answer to one can't be told from the answer to the next. The connection therefore has not delivered
// an answer of status 400 or higher to a request with this id. Without an id, the connection was not used before.
func (p *Pool) AcquireFor(ctx context.Context, now, deadline time.Time, id string) (Connection, error) {
	c, err := p.get(ctx, now, deadline, func(c *conn) bool { return id != "" && !slices.Contains(c.failedIDs, id) })
	if err != nil {
		return Connection{}, err
	}
	return Connection{pool: p, conn: c, id: id}, nil
}

// AcquireNew is Acquire for a request whose answer can't be told from a late answer to another request. It opens a connection.
func (p *Pool) AcquireNew(ctx context.Context, now, deadline time.Time) (Connection, error) {
	return p.AcquireFor(ctx, now, deadline, "")
}

// Reused reports whether the connection was used for an earlier request.
func (c Connection) Reused() bool { return c.conn.used }

// Release returns the connection to the pool unused.
func (c Connection) Release(now time.Time) { c.pool.put(c.conn, now) }

// Do sends req and reads the header of the answer. The whole exchange, including the body of the answer, is aborted at
// deadline or when ctx ends. The error is an ErrNotSent or an ErrMaybeSent; if its cause is an ErrBody, reading the body
// of req failed. onInformational may be nil.
func (c Connection) Do(
	ctx context.Context, req *http.Request, deadline time.Time, onInformational InformationalHandler,
) (*Response, error) {
	e := &exchange{pool: c.pool, conn: c.conn, sentBefore: c.conn.sentBytes(), reused: c.conn.used, id: c.id}
	c.conn.used = true
	if err := c.conn.SetDeadline(deadline); err != nil {
		return nil, e.fail(err)
	}
	e.unwatch = context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(pastDeadline) })
	if err := e.send(req); err != nil {
		return nil, e.fail(err)
	}
	response, err := e.readHeader(req, onInformational)
	if err != nil {
		return nil, e.fail(err)
	}
	return e.newResponse(response), nil
}

// send writes req. A request with a StreamedBody is written in the background, so that an answer that comes before the
// end of the body can be read.
func (e *exchange) send(req *http.Request) error {
	body, streamed := req.Body.(*StreamedBody)
	if !streamed {
		return e.write(req)
	}
	e.writeDone = make(chan error, 1)
	e.body = body
	go e.writeStreamed(req, e.writeDone)
	return nil
}

// writeStreamed writes req and sends the result to done, which is e.writeDone. If reading the body failed, it also ends the
// wait for the answer.
func (e *exchange) writeStreamed(req *http.Request, done chan<- error) {
	err := e.write(req)
	if e.body.err == nil {
		done <- err
		return
	}
	done <- e.body.err // before the wait ends, so that preferWriteError finds it
	_ = e.conn.SetDeadline(pastDeadline)
}

func (e *exchange) write(req *http.Request) error {
	if err := req.Write(e.conn.writer); err != nil {
		return err
	}
	return e.conn.writer.Flush()
}

// readHeader reads the header of the final answer.
func (e *exchange) readHeader(req *http.Request, onInformational InformationalHandler) (*http.Response, error) {
	e.conn.limit.remaining = maxHeaderBytes
	for range maxAnswers {
		if err := checkStatusLine(e.conn.reader); err != nil {
			return nil, e.preferWriteError(err)
		}
		response, err := http.ReadResponse(e.conn.reader, req)
		if err == nil {
			err = checkReason(response)
		}
		if err != nil {
			return nil, e.preferWriteError(unexpectedEOF(err))
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errInvalidAnswer{line: response.Proto + " " + response.Status} // no request asks for it
		}
		if response.StatusCode >= http.StatusOK {
			e.conn.limit.remaining = e.pool.options.MaxAnswerBytes
			return response, nil
		}
		if onInformational != nil && response.StatusCode != http.StatusContinue {
			onInformational(response.StatusCode, response.Header)
		}
	}
	return nil, errTooManyInformational
}

// preferWriteError returns the error of the background write or, if it has none, readErr. It aborts a write that is still in
// progress; the error that results from this is not returned.
func (e *exchange) preferWriteError(readErr error) error {
	if e.writeDone == nil {
		return readErr
	}
	select {
	case err := <-e.writeDone:
		e.writeDone = nil
		if err != nil {
			return err
		}
	default:
		_ = e.abortWrite()
	}
	return readErr
}

// abortWrite aborts the background write, waits for its end and returns its error.
func (e *exchange) abortWrite() error {
	if e.writeDone == nil {
		return nil
	}
	_ = e.conn.SetDeadline(pastDeadline)
	e.body.interrupt()
	err := <-e.writeDone
	e.writeDone = nil
	return err
}

// unexpectedEOF replaces io.EOF, the end of the connection before the answer, by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// fail closes the connection and returns err as an ErrNotSent or an ErrMaybeSent.
func (e *exchange) fail(err error) error {
	_ = e.abortWrite() // first, so that sentBytes is final
	unsent := e.conn.sentBytes() == e.sentBefore
	e.closeConn()
	if unsent {
		return ErrNotSent{cause: err}
	}
	return ErrMaybeSent{cause: err}
}

// closeConn closes the connection after the background write has ended. If the context of Do has ended, it resets the connection:
// after a close, bytes of the request that wait in the send buffer would still be sent, and the other side would execute a
// request that nobody waits for.
func (e *exchange) closeConn() {
	cancelled := e.unwatch != nil && !e.unwatch()
	_ = e.abortWrite()
	if cancelled {
		e.conn.resetOnClose()
	}
	e.pool.discardInUse(e.conn)
}

func (e *exchange) newResponse(response *http.Response) *Response {
	e.reusable = !response.Close
	return &Response{
		Status:         response.StatusCode,
		Header:         response.Header,
		ContentLength:  response.ContentLength,
		Trailer:        response.Trailer,
		Body:           response.Body,
		Reused:         e.reused,
		CloseDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		exchange:       e,
		httpResponse:   response,
	}
}

// Close ends the exchange. complete says that Body was read to its end without an error. The connection returns to the
// pool only if complete is true, the request was written completely, the server neither announced that it closes the
// connection nor sent data after the answer, and the context of Do has not ended. After a complete Body, Trailer holds all
// trailers. Further calls do nothing.
func (r *Response) Close(now time.Time, complete bool) {
	e := r.exchange
	if e == nil {
		return
	}
	r.exchange = nil
	r.Trailer = r.httpResponse.Trailer
	// written may receive the result of the write, and unwatch stops watching the context.
	if !complete || !e.reusable || !e.written() || e.conn.reader.Buffered() > 0 || !e.unwatch() {
		e.closeConn()
		return
	}
	if e.id != "" && r.Status >= http.StatusBadRequest {
		e.conn.failedIDs = append(e.conn.failedIDs, e.id)
	}
	if len(e.conn.failedIDs) >= maxFailedIDs {
		e.pool.discardInUse(e.conn) // not closeConn: the context has not ended, but unwatch was called before
		return
	}
	e.pool.put(e.conn, now)
}

// written reports whether the request has been written completely and without an error.
func (e *exchange) written() bool {
	if e.writeDone == nil {
		return true
	}
	select {
	case err := <-e.writeDone:
		e.writeDone = nil
		return err == nil
	default:
		return false
	}
}
