package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestDoReadsAnswers guards against answers that are read wrongly, truncated ones that count as complete, and connections
// that are used again although more data may arrive on them.
func TestDoReadsAnswers(t *testing.T) {
	tests := map[string]struct {
		method, answer     string
		wantStatus         int
		wantBody           string
		wantReused         bool // the connection returns to the pool
		wantTruncated      bool
		wantCloseDelimited bool
		wantTrailer        string
	}{
		"content length": {
			method:     "GET",
			answer:     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
			wantStatus: 200, wantBody: "hi", wantReused: true,
		},
		"chunked": {
			method:     "GET",
			answer:     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
			wantStatus: 200, wantBody: "hi", wantReused: true,
		},
		"trailer": {
			method:     "GET",
			answer:     "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Sum: 7\r\n\r\n",
			wantStatus: 200, wantBody: "hi", wantReused: true, wantTrailer: "7",
		},
		"HEAD request": {
			method:     "HEAD",
			answer:     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
			wantStatus: 200, wantReused: true,
		},
		"no content": {
			method:     "POST",
			answer:     "HTTP/1.1 204 No Content\r\n\r\n",
			wantStatus: 204, wantReused: true,
		},
		"informational answers": {
			method:     "GET",
			answer:     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
			wantStatus: 200, wantBody: "hi", wantReused: true,
		},
		"Connection: close": {
			method:     "GET",
			answer:     "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
			wantStatus: 200, wantBody: "hi",
		},
		"close-delimited": {
			method:     "GET",
			answer:     "HTTP/1.0 200 OK\r\n\r\nhi",
			wantStatus: 200, wantBody: "hi", wantCloseDelimited: true,
		},
		"data after the body": {
			method:     "GET",
			answer:     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi!",
			wantStatus: 200, wantBody: "hi",
		},
		"truncated body": {
			method:     "GET",
			answer:     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi",
			wantStatus: 200, wantBody: "hi", wantTruncated: true,
		},
		"truncated chunk": {
			method:     "GET",
			answer:     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhi",
			wantStatus: 200, wantBody: "hi", wantTruncated: true,
		},
		"missing last chunk": {
			method:     "GET",
			answer:     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
			wantStatus: 200, wantBody: "hi", wantTruncated: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startScriptedServer(t, answerOnce(test.answer))
			p := New(Options{Address: s.address})
			r, err := do(p, newRequest(test.method, ""))
			is.NoErr(err)
			body, err := readAndClose(r)
			is.Equal(r.Status, test.wantStatus)
			is.Equal(body, test.wantBody)
			is.Equal(errors.Is(err, io.ErrUnexpectedEOF), test.wantTruncated)
			is.Equal(r.CloseDelimited, test.wantCloseDelimited)
			is.Equal(r.Trailer.Get("X-Sum"), test.wantTrailer)
			is.Equal(p.Idle() == 1, test.wantReused)
		})
	}
}

// TestFailedRequestsAreNotRetried guards against a request that is sent a second time after a failure, and against an
// ErrNotSent for a request that the server received and may have executed.
func TestFailedRequestsAreNotRetried(t *testing.T) {
	tests := map[string]struct {
		script        script
		wantReceived  int64
		wantMaybeSent bool
	}{
		"closes after reading": {script: answerOnce(""), wantReceived: 1, wantMaybeSent: true},
		"resets after reading": {script: resetAfterRead, wantReceived: 1, wantMaybeSent: true},
		"truncates the header": {script: answerOnce("HTTP/1.1 200 O"), wantReceived: 1, wantMaybeSent: true},
		"switches protocols": {
			script: answerOnce("HTTP/1.1 101 Switching Protocols\r\n\r\n"), wantReceived: 1, wantMaybeSent: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startScriptedServer(t, test.script)
			p := New(Options{Address: s.address})
			_, err := do(p, newRequest("POST", "body"))
			is.Equal(IsErrMaybeSent(err), test.wantMaybeSent)
			<-s.closed
			is.Equal(s.received.Load(), test.wantReceived)
			is.Equal(s.accepted.Load(), int64(1))
			is.Equal(p.Open(), 0)
		})
	}
}

// TestResetBeforeReadIsNotRetried guards against a second connection after a reset: a part of the request may have been sent
// before it.
func TestResetBeforeReadIsNotRetried(t *testing.T) {
	is := is.New(t)
	s := startScriptedServer(t, resetBeforeRead)
	p := New(Options{Address: s.address})
	_, err := do(p, newRequest("POST", "body"))
	is.True(err != nil)
	<-s.closed
	is.Equal(s.received.Load(), int64(0))
	is.Equal(s.accepted.Load(), int64(1))
}

func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = do(New(Options{Address: address}), newRequest("POST", "body"))
	is.True(IsErrNotSent(err))
}

// TestStaleIdleConnectionIsNotReused guards against requests that fail on a connection which the server closed after its
// previous answer: each must use a new connection and be received once.
func TestStaleIdleConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	s := startScriptedServer(t, answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	p := New(Options{Address: s.address})
	for i := range int64(20) {
		r, err := do(p, newRequest("POST", "body"))
		is.NoErr(err)
		_, err = readAndClose(r)
		is.NoErr(err)
		<-s.closed
		waitUntilStale(t, p)
		is.Equal(s.received.Load(), i+1)
	}
	is.Equal(s.accepted.Load(), int64(20))
}

// waitUntilStale waits until the server's close of the idle connection has arrived.
func waitUntilStale(t *testing.T, p *Pool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		stale := len(p.idle) == 0 || p.idle[0].stale()
		p.mu.Unlock()
		if stale {
			return
		}
	}
	t.Fatal("the close of the idle connection has not arrived")
}

// TestRequestBeyondMaxConnectionsIsNotSent guards against more connections than a server allows, and against a connection
// that stays in use after its exchange.
func TestRequestBeyondMaxConnectionsIsNotSent(t *testing.T) {
	is := is.New(t)
	s := startScriptedServer(t, answerAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	p := New(Options{Address: s.address, MaxConnections: 1})
	inUse, err := do(p, newRequest("GET", ""))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = doWithContext(ctx, p, newRequest("GET", ""))
	is.True(IsErrNotSent(err))
	_, err = readAndClose(inUse)
	is.NoErr(err)
	r, err := do(p, newRequest("GET", ""))
	is.NoErr(err)
	_, err = readAndClose(r)
	is.NoErr(err)
	is.Equal(s.accepted.Load(), int64(1))
}

// TestReleasedConnectionIsUsedAgain guards against connections and places in the pool that are lost when a request is not sent after
// all.
func TestReleasedConnectionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	p := New(Options{Address: server.Listener.Addr().String(), MaxConnections: 1, ConnectTimeout: time.Second, IdleTimeout: time.Minute})
	defer p.Close()
	for range 3 {
		c, err := p.Acquire(context.Background(), time.Now(), time.Now().Add(time.Second))
		is.NoErr(err)
		is.True(!c.Reused())
		c.Release(time.Now())
		is.Equal(p.Open(), 1)
		is.Equal(p.Idle(), 1)
	}
}

// TestCancelEndsWaitForAnswer guards against requests that wait for an answer after their context has ended.
func TestCancelEndsWaitForAnswer(t *testing.T) {
	is := is.New(t)
	requestRead := make(chan struct{})
	s := startScriptedServer(t, func(_ net.Conn, in *bufio.Reader, received *atomic.Int64) {
		readRequest(in, received)
		close(requestRead)
		_, _ = in.ReadByte()
	})
	p := New(Options{Address: s.address})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-requestRead
		cancel()
	}()
	_, err := doWithContext(ctx, p, newRequest("POST", "body"))
	is.True(IsErrMaybeSent(err))
	<-s.closed
	is.Equal(p.Open(), 0)
}

// TestStreamedBody covers a body whose read fails halfway and a server that answers before the end of the body: neither may
// be mistaken for a failure of the connection.
func TestStreamedBody(t *testing.T) {
	tests := map[string]struct {
		script       script
		bodyErr      error
		wantStatus   int
		wantReceived int64
	}{
		"complete body": {
			script: answerAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), wantStatus: 200, wantReceived: 1,
		},
		"body fails": {
			script: answerAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), bodyErr: errors.New("read failed"),
		},
		"answer before body ends": {script: answerBeforeBody, wantStatus: 409},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startScriptedServer(t, test.script)
			reader, writer := io.Pipe()
			unblock := func() { _ = reader.CloseWithError(io.ErrClosedPipe) }
			go func() {
				_, _ = writer.Write(make([]byte, 100_000))
				if test.wantStatus != http.StatusConflict { // with answerBeforeBody the body does not end
					_ = writer.CloseWithError(test.bodyErr)
				}
			}()
			req := newRequest("POST", "")
			req.Body, req.ContentLength = NewStreamedBody(reader, unblock), -1
			r, err := do(New(Options{Address: s.address}), req)
			if test.bodyErr != nil {
				is.True(IsErrBody(err))
				is.True(IsErrMaybeSent(err))
				<-s.closed
			} else {
				is.NoErr(err)
				is.Equal(r.Status, test.wantStatus)
				_, err = readAndClose(r)
				is.NoErr(err)
			}
			is.Equal(s.received.Load(), test.wantReceived)
		})
	}
}

// answerBeforeBody answers once it has read the header of the request, before it reads the body.
func answerBeforeBody(c net.Conn, in *bufio.Reader, _ *atomic.Int64) {
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
	_, _ = io.Copy(io.Discard, in)
}

// TestAnswerBytesAreLimited guards against a server that sends an answer without end in the smallest chunks, which the
// length of the decoded body hardly limits.
func TestAnswerBytesAreLimited(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		flusher := w.(http.Flusher)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "a")
			flusher.Flush()
		}
	}))
	defer server.Close()
	const limit = 64 << 10
	pool := New(Options{Address: strings.TrimPrefix(server.URL, "http://"), MaxAnswerBytes: limit})
	now := time.Now()
	deadline := now.Add(time.Minute)
	connection, err := pool.Acquire(context.Background(), now, deadline)
	is.NoErr(err)
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	is.NoErr(err)
	response, err := connection.Do(context.Background(), request, deadline, nil)
	is.NoErr(err)
	read, err := io.Copy(io.Discard, response.Body)
	is.True(errors.Is(err, errAnswerTooLong))
	is.True(read < limit)
	response.Close(time.Now(), false)
	is.Equal(pool.Open(), 0)
}
