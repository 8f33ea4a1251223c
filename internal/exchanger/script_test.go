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

const bound = 10 * time.Second

// script answers the requests on one accepted connection; executed counts the requests read whole.
type script func(c net.Conn, in *bufio.Reader, executed *atomic.Int64)

// scripted is a server that runs a script on each connection.
type scripted struct {
	address  string
	executed atomic.Int64
	accepted atomic.Int64
	closed   chan struct{} // one value for each connection that the server closed
}

func startScripted(t *testing.T, run script) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{address: listener.Addr().String(), closed: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				run(c, bufio.NewReader(c), &s.executed)
				_ = c.Close()
				s.closed <- struct{}{}
			}()
		}
	}()
	return s
}

// readRequest reads one request whole.
func readRequest(in *bufio.Reader, executed *atomic.Int64) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	executed.Add(1)
	return true
}

// answering answers each request with text.
func answering(text string) script {
	return func(c net.Conn, in *bufio.Reader, executed *atomic.Int64) {
		for readRequest(in, executed) {
			_, _ = io.WriteString(c, text)
		}
	}
}

// answeringOnce answers one request with text and closes.
func answeringOnce(text string) script {
	return func(c net.Conn, in *bufio.Reader, executed *atomic.Int64) {
		if readRequest(in, executed) {
			_, _ = io.WriteString(c, text)
		}
	}
}

// resetAfter closes with a reset after the request has been read whole.
func resetAfter(c net.Conn, in *bufio.Reader, executed *atomic.Int64) {
	readRequest(in, executed)
	_ = c.(*net.TCPConn).SetLinger(0)
}

// resetAtOnce closes with a reset before anything is read.
func resetAtOnce(c net.Conn, _ *bufio.Reader, _ *atomic.Int64) {
	_ = c.(*net.TCPConn).SetLinger(0)
}

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
	return doUntil(context.Background(), p, r)
}

func doUntil(ctx context.Context, p *Pool, r *http.Request) (*Response, error) {
	now := time.Now()
	c, err := p.Connect(ctx, now, now.Add(bound))
	if err != nil {
		return nil, err
	}
	return c.Do(ctx, r, now.Add(bound), nil)
}

func finish(r *Response) (string, error) {
	body, err := io.ReadAll(r.Body)
	r.Close(time.Now(), err == nil)
	return string(body), err
}
