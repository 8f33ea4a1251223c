package exchanger

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	maxInterim   = 16      // 1xx answers before a final one
	maxHeadBytes = 1 << 20 // heads of one answer, the interim ones included
)

// aLongTimeAgo is a deadline that makes reads and writes under way fail at once.
var aLongTimeAgo = time.Unix(1, 0)

// InformationalHandler is told of the 1xx answers that come before the final one, except 100.
type InformationalHandler func(status int, header http.Header)

// Response is an answer whose head has been read. Its Body must be read and then closed.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1 where unknown
	Trailer       http.Header
	Body          io.Reader // fails with io.ErrUnexpectedEOF when it is cut short
	UntilClose    bool      // the end of the body is the end of the connection, so that its whole length is unproved

	exchange *exchange
	answer   *http.Response
}

// exchange is one request under way on one connection.
type exchange struct {
	pool     *Pool
	conn     *conn
	mark     int64 // bytes sent on conn before this request
	stop     func() bool
	writing  chan error // nil where the request was written before the answer was awaited
	body     *StreamedBody
	reusable bool
}

// Connection is a connection that was taken out of a Pool for one request. Exactly one of Do and Return must be called.
type Connection struct {
	pool *Pool
	conn *conn
}

// Connect takes a connection out of the pool, or opens one. The error is an ErrNotSent.
func (p *Pool) Connect(ctx context.Context, now, deadline time.Time) (Connection, error) {
	c, err := p.get(ctx, now, deadline)
	if err != nil {
		return Connection{}, err
	}
	return Connection{pool: p, conn: c}, nil
}

// Return gives the connection back unused.
func (c Connection) Return(now time.Time) { c.pool.put(c.conn, now) }

// Do sends req and reads the head of the answer. All of the exchange, the body included, ends at deadline or when ctx
// ends. The error is an ErrNotSent or an ErrMaybeSent; where the cause is an ErrBody, the body of req failed.
// inform may be nil.
func (c Connection) Do(ctx context.Context, req *http.Request, deadline time.Time, inform InformationalHandler) (*Response, error) {
	e := &exchange{pool: c.pool, conn: c.conn, mark: c.conn.sent()}
	if err := c.conn.SetDeadline(deadline); err != nil {
		return nil, e.fail(err)
	}
	e.stop = context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(aLongTimeAgo) })
	if err := e.send(req); err != nil {
		return nil, e.fail(err)
	}
	answer, err := e.readHead(req, inform)
	if err != nil {
		return nil, e.fail(err)
	}
	return e.response(answer), nil
}

// send writes req whole, or starts to write it while the answer is awaited, when its body is streamed.
func (e *exchange) send(req *http.Request) error {
	body, streamed := req.Body.(*StreamedBody)
	if !streamed {
		return e.write(req)
	}
	e.writing = make(chan error, 1)
	e.body = body
	go e.stream(req, e.writing)
	return nil
}

// stream writes req; when its body fails, it also ends the wait for the answer.
func (e *exchange) stream(req *http.Request, done chan<- error) {
	err := e.write(req)
	if e.body.err != nil {
		err = e.body.err
		_ = e.conn.SetDeadline(aLongTimeAgo)
	}
	done <- err
}

func (e *exchange) write(req *http.Request) error {
	if err := req.Write(e.conn.writer); err != nil {
		return err
	}
	return e.conn.writer.Flush()
}

// readHead reads the head of the final answer.
func (e *exchange) readHead(req *http.Request, inform InformationalHandler) (*http.Response, error) {
	e.conn.limit.left = maxHeadBytes
	for range maxInterim {
		answer, err := http.ReadResponse(e.conn.reader, req)
		if err != nil {
			return nil, e.writeError(noEOF(err))
		}
		if answer.StatusCode == http.StatusSwitchingProtocols {
			return nil, errUpgrade
		}
		if answer.StatusCode >= http.StatusOK {
			e.conn.limit.left = math.MaxInt64
			return answer, nil
		}
		if inform != nil && answer.StatusCode != http.StatusContinue {
			inform(answer.StatusCode, answer.Header)
		}
	}
	return nil, errInterim
}

// writeError prefers the error of a failed write to that of the read that failed because of it.
func (e *exchange) writeError(read error) error {
	if e.writing == nil {
		return read
	}
	if err := e.join(); err != nil {
		return err
	}
	return read
}

// join ends a write under way and returns its error.
func (e *exchange) join() error {
	if e.writing == nil {
		return nil
	}
	_ = e.conn.SetDeadline(aLongTimeAgo)
	e.body.interrupt()
	err := <-e.writing
	e.writing = nil
	return err
}

// noEOF turns an end before the answer into an error that says so.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// fail closes the connection and returns the typed error.
func (e *exchange) fail(err error) error {
	_ = e.join()
	unsent := e.conn.sent() == e.mark
	e.abandon()
	if unsent {
		return ErrNotSent{cause: err}
	}
	return ErrMaybeSent{cause: err}
}

// abandon closes the connection once nothing uses it any more.
func (e *exchange) abandon() {
	if e.stop != nil {
		e.stop()
	}
	_ = e.join()
	e.pool.drop(e.conn)
}

func (e *exchange) response(answer *http.Response) *Response {
	e.reusable = !answer.Close
	return &Response{
		Status:        answer.StatusCode,
		Header:        answer.Header,
		ContentLength: answer.ContentLength,
		Trailer:       answer.Trailer,
		Body:          answer.Body,
		UntilClose:    answer.ContentLength < 0 && len(answer.TransferEncoding) == 0,
		exchange:      e,
		answer:        answer,
	}
}

// Close ends the exchange. The connection is kept only when whole is true, which says that Body was read to its end
// without an error, and the request had been written whole. Trailer is complete after a whole Body.
func (r *Response) Close(now time.Time, whole bool) {
	e := r.exchange
	if e == nil {
		return
	}
	r.exchange = nil
	r.Trailer = r.answer.Trailer
	if !whole || !e.reusable || !e.written() || e.conn.reader.Buffered() > 0 || !e.stop() {
		e.abandon()
		return
	}
	e.pool.put(e.conn, now)
}

// written reports whether the request has been written whole by now.
func (e *exchange) written() bool {
	if e.writing == nil {
		return true
	}
	select {
	case err := <-e.writing:
		e.writing = nil
		return err == nil
	default:
		return false
	}
}
