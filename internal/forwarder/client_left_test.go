package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

// TestDispatcherLearnsThatClientLeft guards against requests that are sent to a server although their client left while they were on
// their way to a dispatcher, or waited there.
func TestDispatcherLearnsThatClientLeft(t *testing.T) {
	for name, path := range map[string]string{"idempotent": "/idempotent/x", "at most once": "/once/x"} {
		t.Run(name, func(t *testing.T) {
			arrived, left := make(chan struct{}), make(chan struct{})
			dispatcher := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // else the server does not notice that the client has disconnected
				close(arrived)
				<-r.Context().Done()
				close(left)
			}))
			defer dispatcher.Close()
			f := newForwarderWithTimeout(t, startScriptedServer(t, answerOK), time.Minute, resolver.Member{
				Instance: "dispatcher", Domain: "d", Address: strings.TrimPrefix(dispatcher.URL, "http://"), Capacity: 1 << 30,
			})
			ctx, leave := context.WithCancel(t.Context())
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader("order"))
			r.Host = "h"
			r.Header.Set("X-Id", "r1")
			served := make(chan struct{})
			go func() {
				f.ServeHTTP(httptest.NewRecorder(), r)
				close(served)
			}()
			<-arrived
			leave()
			select {
			case <-left:
			case <-time.After(10 * time.Second):
				t.Error("the dispatcher does not learn that the client has left")
			}
			dispatcher.CloseClientConnections() // ends the wait if the test fails
			<-served
		})
	}
}

const (
	slowBitsPerSecond = 10_000_000
	slowBuffer        = 32 << 10 // bytes
	slowLatency       = 5 * time.Millisecond
)

// slowListener accepts connections that are read as if they came over a link of slowBitsPerSecond: bytes wait in the buffers of the
// sender, and the end of the connection arrives slowLatency after them.
type slowListener struct {
	net.Listener
	read chan struct{} // gets a value when a connection has been read for the first time
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetReadBuffer(slowBuffer); err != nil {
		return nil, err
	}
	return slowConn{Conn: conn, read: l.read}, nil
}

type slowConn struct {
	net.Conn
	read chan struct{}
}

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case c.read <- struct{}{}:
	default:
	}
	time.Sleep(time.Duration(n) * 8 * time.Second / slowBitsPerSecond)
	if err != nil {
		time.Sleep(slowLatency)
	}
	return n, err
}

// endsWithin reports whether a channel is closed or gets a value within a time.
func endsWithin(ended <-chan struct{}, limit time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// uploadTable returns a configuration that allows large bodies.
func uploadTable() *matcher.Table {
	var routes []bundler.Route
	for name, idempotent := range map[string]bool{"idempotent": true, "once": false} {
		routes = append(routes, bundler.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: time.Minute, Objective: time.Second,
			MaxAttempts: 2, Services: []bundler.WeightedService{{Service: "plain", Weight: 1}},
		})
	}
	limits := bundler.Limits{HeaderBytes: 1000, BodyBytes: 1 << 20}
	return matcher.NewTable(bundler.New(2, []bundler.Service{{Name: "plain"}}, routes, limits))
}

// TestRequestInSendBufferIsNotExecuted guards against requests that reach a server long after their clients have left, because the
// end of a hop still lets the bytes in its socket's buffer arrive, so that the dispatcher gets a whole request.
func TestRequestInSendBufferIsNotExecuted(t *testing.T) {
	for name, path := range map[string]string{"idempotent": "/idempotent/x", "at most once": "/once/x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startScriptedServer(t, answerOK)
			dispatcher := newForwarder(t, server)
			handled := make(chan struct{})
			peer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(handled)
				dispatcher.ServeHop(w, r)
			}))
			listener := slowListener{Listener: peer.Listener, read: make(chan struct{}, 1)}
			peer.Listener = listener
			peer.Start()
			defer peer.Close()
			f := newForwarderWithTimeout(t, server, time.Minute, resolver.Member{
				Instance: "dispatcher", Domain: "d", Address: peer.Listener.Addr().String(), Capacity: 1 << 30,
			})
			v := f.View()
			f.SetView(time.Now(), resolver.New(v.Self, uploadTable(), v.AllServers(), v.Owners, v.Members))
			ctx, leave := context.WithCancel(t.Context())
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(strings.Repeat("x", 360_000)))
			r.Host = "h"
			r.Header.Set("X-Id", "r1")
			served := make(chan struct{})
			go func() {
				f.ServeHTTP(httptest.NewRecorder(), r)
				close(served)
			}()
			is.True(endsWithin(listener.read, 10*time.Second))
			time.Sleep(50 * time.Millisecond) // the rest of the body is in the socket's buffer
			leave()
			is.True(endsWithin(served, 10*time.Second))
			is.True(endsWithin(handled, 10*time.Second))
			is.Equal(server.requests.Load(), int64(0))
		})
	}
}
