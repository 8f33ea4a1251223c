package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// script answers the requests on one accepted connection; received counts the requests that were read completely.
type script func(c net.Conn, in *bufio.Reader, received *atomic.Int64)

// scriptedServer is a server that runs a script on each connection.
type scriptedServer struct {
	address  string
	received atomic.Int64
	accepted atomic.Int64
	closed   chan struct{} // one value for each connection that the server closed
}

func startScriptedServer(t *testing.T, run script) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{address: listener.Addr().String(), closed: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				run(c, bufio.NewReader(c), &s.received)
				_ = c.Close()
				s.closed <- struct{}{}
			}()
		}
	}()
	return s
}

// readRequest reads one request with its body and reports whether it was complete.
func readRequest(in *bufio.Reader, received *atomic.Int64) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	received.Add(1)
	return true
}

// answerAll answers each request with answer.
func answerAll(answer string) script {
	return func(c net.Conn, in *bufio.Reader, received *atomic.Int64) {
		for readRequest(in, received) {
			_, _ = io.WriteString(c, answer)
		}
	}
}

// answerOnce answers one request with answer and closes the connection.
func answerOnce(answer string) script {
	return func(c net.Conn, in *bufio.Reader, received *atomic.Int64) {
		if readRequest(in, received) {
			_, _ = io.WriteString(c, answer)
		}
	}
}

// resetAfterRead resets the connection after a request has been read completely.
func resetAfterRead(c net.Conn, in *bufio.Reader, received *atomic.Int64) {
	readRequest(in, received)
	_ = c.(*net.TCPConn).SetLinger(0)
}

// resetBeforeRead resets the connection before anything is read.
func resetBeforeRead(c net.Conn, _ *bufio.Reader, _ *atomic.Int64) {
	_ = c.(*net.TCPConn).SetLinger(0)
}

// newRequest returns a request with the raw path of the client's URI. net/http's Transport would send a request with an
// Idempotency-Key again after a failure; the empty User-Agent keeps Request.Write from adding its own.
func newRequest(method, body string) *http.Request {
	r := &http.Request{
		Method: method,
		URL:    &url.URL{Opaque: "/s/a%2Fb"},
		Host:   "server",
		Header: http.Header{"User-Agent": {""}, "Idempotency-Key": {"1"}},
	}
	if body != "" {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	return r
}

func do(p *Pool, r *http.Request) (*Response, error) {
	return doWithContext(context.Background(), p, r)
}

func doWithContext(ctx context.Context, p *Pool, r *http.Request) (*Response, error) {
	now := time.Now()
	c, err := p.Acquire(ctx, now, now.Add(testTimeout))
	if err != nil {
		return nil, err
	}
	return c.Do(ctx, r, now.Add(testTimeout), nil)
}

func readAndClose(r *Response) (string, error) {
	body, err := io.ReadAll(r.Body)
	r.Close(time.Now(), err == nil)
	return string(body), err
}
