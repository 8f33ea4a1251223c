package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// TestBodyThatIsNotReadIsRefused guards against a body that is read although it is over the limit, that holds its connection and memory
// because it stops, or that has an answer which does not promise that the request was not executed.
func TestBodyThatIsNotReadIsRefused(t *testing.T) {
	const limit = 100 // of newForwarder's configuration
	tests := map[string]struct {
		request    string // its header lines and the start of its body
		memory     int64
		wantStatus int
	}{
		"over the limit, announced":     {request: "Content-Length: 101\r\n\r\n", memory: 1 << 20, wantStatus: 413},
		"over the limit, not announced": {request: "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", limit+1) + "\r\n", memory: 1 << 20, wantStatus: 413},
		"stops":                         {request: "Content-Length: 8\r\n\r\nhalf", memory: 1 << 20, wantStatus: 408},
		"stops between chunks":          {request: "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", memory: 1 << 20, wantStatus: 408},
		"does not fit the memory":       {request: "Content-Length: 90\r\n\r\n", memory: 80, wantStatus: 503},
		"outgrows the memory":           {request: "Transfer-Encoding: chunked\r\n\r\n8\r\nchunk 01\r\n", memory: 80, wantStatus: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			backend := startScriptedServer(t, answerOK)
			f := newForwarder(t, backend)
			f.LimitBuffers(test.memory)
			server := httptest.NewServer(f)
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
			_, err = io.WriteString(c, "POST /keyonce/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: 5\r\nX-Left: 300\r\n"+test.request)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.StatusCode, test.wantStatus)
			is.Equal(response.Header.Get("Retry-After") != "", test.wantStatus == 503)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			await(t, func() bool { return f.memory.held() == 0 })
			is.Equal(backend.requests.Load(), int64(0))
		})
	}
}

// TestStalledBodyMakesRoom guards against a body that stops and keeps the memory that another one needs.
func TestStalledBodyMakesRoom(t *testing.T) {
	is := is.New(t)
	m := newMemory(80<<20, newForwarder(t, startScriptedServer(t)).meter)
	dropped := make(chan struct{})
	deadline := time.Now().Add(time.Minute)
	stalled, err := m.open(context.Background(), 60<<20, deadline, func() { close(dropped) })
	is.NoErr(err)
	go func() {
		<-dropped
		stalled.close()
	}()
	other, err := m.open(context.Background(), 60<<20, deadline, func() {})
	is.NoErr(err)
	is.True(stalled.wasDropped())
	other.close()
	is.Equal(m.held(), int64(0))
}

// TestDispatcherWithoutMemoryRefusesHop guards against a request that ends as unknown because its dispatcher has no memory for its body,
// and says so before it has read it.
func TestDispatcherWithoutMemoryRefusesHop(t *testing.T) {
	is := is.New(t)
	backend := startScriptedServer(t, answerOK)
	dispatcher := newForwarder(t, backend)
	dispatcher.LimitBuffers(1 << 20)
	peer := httptest.NewServer(http.HandlerFunc(dispatcher.ServeHop))
	defer peer.Close()
	f := newForwarder(t, backend)
	now := time.Now()
	size := int64(4 << 20)
	req := &clientRequest{
		method: "POST", uri: "/keyonce/x", host: "h", header: http.Header{}, body: payload{pieces: [][]byte{make([]byte, size)}, size: size},
		pool: resolver.ServerPool{Service: "keyed", Server: "k", Domain: "d"}, route: "keyonce", keyed: true, key: 5,
		objective: now.Add(time.Minute), deadline: now.Add(time.Minute), ownerMapVersion: f.View().Owners.Version(),
	}
	var err error
	req.memory, err = f.memory.open(context.Background(), size, req.deadline, nil)
	is.NoErr(err)
	defer req.memory.close()
	got := f.forwardTo(context.Background(), req, resolver.Member{Instance: "peer", Address: peer.Listener.Addr().String()})
	is.Equal(got.outcome, refused)
	is.Equal(got.reason, "exceeds_memory")
	is.Equal(backend.requests.Load(), int64(0))
}

// TestUnreadBodyOfHopDoesNotHoldItsConnection guards against connections of the port for instances that unfinished bodies hold for ever,
// because the request is answered before its body is read.
func TestUnreadBodyOfHopDoesNotHoldItsConnection(t *testing.T) {
	hop := (&clientRequest{pool: resolver.ServerPool{Service: "plain", Domain: "d"}, route: "once"}).encodeHop(time.Now())
	tests := map[string]struct {
		hop        string
		noView     bool
		wantStatus int
	}{
		"hop that can't be decoded": {hop: "x", wantStatus: http.StatusBadRequest},
		"instance without a view":   {hop: hop, noView: true, wantStatus: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newForwarder(t, startScriptedServer(t, answerOK))
			if test.noView {
				f = New(testHeaders, nil, meter.New())
			}
			server := httptest.NewServer(http.HandlerFunc(f.ServeHop))
			defer server.CloseClientConnections()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(5 * unreadTimeout)))
			_, err = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\n"+HeaderHop+": "+test.hop+"\r\nContent-Length: 8\r\n\r\nhalf")
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.StatusCode, test.wantStatus)
		})
	}
}
