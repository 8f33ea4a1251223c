package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		method, text string
		status       int
		body         string
		kept         bool
		cut          bool
		untilClose   bool
		trailer      string
	}{
		"length":        {method: "GET", text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", status: 200, body: "hi", kept: true},
		"chunked":       {method: "GET", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", status: 200, body: "hi", kept: true},
		"trailer":       {method: "GET", text: "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Sum: 7\r\n\r\n", status: 200, body: "hi", kept: true, trailer: "7"},
		"head":          {method: "HEAD", text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", status: 200, kept: true},
		"no content":    {method: "POST", text: "HTTP/1.1 204 No Content\r\n\r\n", status: 204, kept: true},
		"interim":       {method: "GET", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", status: 200, body: "hi", kept: true},
		"close":         {method: "GET", text: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", status: 200, body: "hi"},
		"until close":   {method: "GET", text: "HTTP/1.0 200 OK\r\n\r\nhi", status: 200, body: "hi", untilClose: true},
		"more than due": {method: "GET", text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi!", status: 200, body: "hi"},
		"cut length":    {method: "GET", text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", status: 200, body: "hi", cut: true},
		"cut chunk":     {method: "GET", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhi", status: 200, body: "hi", cut: true},
		"no last chunk": {method: "GET", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", status: 200, body: "hi", cut: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startScripted(t, answeringOnce(test.text))
			p := New(Options{Address: s.address})
			r, err := do(p, newRequest(test.method, ""))
			is.NoErr(err)
			body, err := finish(r)
			is.Equal(r.Status, test.status)
			is.Equal(body, test.body)
			is.Equal(errors.Is(err, io.ErrUnexpectedEOF), test.cut)
			is.Equal(r.UntilClose, test.untilClose)
			is.Equal(r.Trailer.Get("X-Sum"), test.trailer)
			is.Equal(p.Idle() == 1, test.kept)
		})
	}
}

func TestFailuresAreNeverRepeated(t *testing.T) {
	tests := map[string]struct {
		run       script
		executed  int64
		maybeSent bool
	}{
		"closes after executing": {run: answeringOnce(""), executed: 1, maybeSent: true},
		"resets after executing": {run: resetAfter, executed: 1, maybeSent: true},
		"cuts the head":          {run: answeringOnce("HTTP/1.1 200 O"), executed: 1, maybeSent: true},
		"switches protocols":     {run: answeringOnce("HTTP/1.1 101 Switching Protocols\r\n\r\n"), executed: 1, maybeSent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startScripted(t, test.run)
			p := New(Options{Address: s.address})
			_, err := do(p, newRequest("POST", "order"))
			is.Equal(IsErrMaybeSent(err), test.maybeSent)
			<-s.closed
			is.Equal(s.executed.Load(), test.executed)
			is.Equal(s.accepted.Load(), int64(1))
			is.Equal(p.Open(), 0)
		})
	}
}

func TestResetBeforeReadIsNotExecuted(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, resetAtOnce)
	p := New(Options{Address: s.address})
	_, err := do(p, newRequest("POST", "order"))
	is.True(err != nil)
	<-s.closed
	is.Equal(s.executed.Load(), int64(0))
	is.Equal(s.accepted.Load(), int64(1))
}

func TestNoListenerIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = do(New(Options{Address: address}), newRequest("POST", "order"))
	is.True(IsErrNotSent(err))
}

// TestStaleConnection closes kept connections after the answer; the next request must use a fresh one and run once.
func TestStaleConnection(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, answeringOnce("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	p := New(Options{Address: s.address})
	for i := range int64(20) {
		r, err := do(p, newRequest("POST", "order"))
		is.NoErr(err)
		_, err = finish(r)
		is.NoErr(err)
		<-s.closed
		waitStale(p)
		is.Equal(s.executed.Load(), i+1)
	}
	is.Equal(s.accepted.Load(), int64(20))
}

// waitStale waits until the end of the idle connection has arrived.
func waitStale(p *Pool) {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		stale := len(p.idle) == 0 || p.idle[0].stale()
		p.mu.Unlock()
		if stale {
			return
		}
	}
}

func TestConnectionBound(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	p := New(Options{Address: s.address, MaxConnections: 1})
	held, err := do(p, newRequest("GET", ""))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = doUntil(ctx, p, newRequest("GET", ""))
	is.True(IsErrNotSent(err))
	_, err = finish(held)
	is.NoErr(err)
	r, err := do(p, newRequest("GET", ""))
	is.NoErr(err)
	_, err = finish(r)
	is.NoErr(err)
	is.Equal(s.accepted.Load(), int64(1))
}

func TestCancelEndsTheWait(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	s := startScripted(t, func(_ net.Conn, in *bufio.Reader, executed *atomic.Int64) {
		readRequest(in, executed)
		close(arrived)
		_, _ = in.ReadByte()
	})
	p := New(Options{Address: s.address})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := doUntil(ctx, p, newRequest("POST", "order"))
	is.True(IsErrMaybeSent(err))
	<-s.closed
	is.Equal(p.Open(), 0)
}

// TestStreamedBody covers a caller that fails in the middle of its body and a server that answers before its end.
func TestStreamedBody(t *testing.T) {
	tests := map[string]struct {
		run      script
		fail     error
		status   int
		executed int64
	}{
		"whole":        {run: answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), status: 200, executed: 1},
		"body fails":   {run: answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), fail: errors.New("gone")},
		"early answer": {run: earlyAnswer, status: 409},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startScripted(t, test.run)
			reader, writer := io.Pipe()
			stop := func() { _ = reader.CloseWithError(io.ErrClosedPipe) }
			go func() {
				_, _ = writer.Write(make([]byte, 100_000))
				if test.status != http.StatusConflict {
					_ = writer.CloseWithError(test.fail)
				}
			}()
			req := newRequest("POST", "")
			req.Body, req.ContentLength = NewStreamedBody(reader, stop), -1
			r, err := do(New(Options{Address: s.address}), req)
			if test.fail != nil {
				is.True(IsErrBody(err))
				is.True(IsErrMaybeSent(err))
				<-s.closed
			} else {
				is.NoErr(err)
				is.Equal(r.Status, test.status)
				_, err = finish(r)
				is.NoErr(err)
			}
			is.Equal(s.executed.Load(), test.executed)
		})
	}
}

// earlyAnswer answers after the head of the request and leaves the body unread.
func earlyAnswer(c net.Conn, in *bufio.Reader, _ *atomic.Int64) {
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
	_, _ = io.Copy(io.Discard, in)
}
