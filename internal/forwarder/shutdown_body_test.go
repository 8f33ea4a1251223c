package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/resolver"
)

// TestHalfReadBodyIsAnsweredBeforeExit guards against requests whose connections are cut when the instance exits because their bodies
// have not arrived, and against refusing one whose body arrives in time.
func TestHalfReadBodyIsAnsweredBeforeExit(t *testing.T) {
	const lengthHeader, chunkedHeader = "Content-Length: 8\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		header, start, rest string
		lastAnswer          time.Duration // after the start was sent
		wantStatus          int
	}{
		"body never completes": {
			header: lengthHeader, start: "half", lastAnswer: 100 * time.Millisecond, wantStatus: http.StatusServiceUnavailable,
		},
		"chunks never end": {
			header: chunkedHeader, start: "4\r\nhalf\r\n", lastAnswer: 100 * time.Millisecond, wantStatus: http.StatusServiceUnavailable,
		},
		"no byte of the body": {header: lengthHeader, lastAnswer: 100 * time.Millisecond, wantStatus: http.StatusServiceUnavailable},
		"body completes in time": {
			header: lengthHeader, start: "half", rest: "rest", lastAnswer: time.Minute, wantStatus: http.StatusOK,
		},
		"rest of the body is invalid": {
			header: chunkedHeader, start: "4\r\nhalf\r\n", rest: "no chunk\r\n", lastAnswer: time.Minute, wantStatus: http.StatusBadRequest,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			backend := startScriptedServer(t, answerOK)
			f := newForwarder(t, backend)
			server := httptest.NewServer(f)
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = io.WriteString(c, "POST /keyonce/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: 5\r\n"+test.header+test.start)
			is.NoErr(err)
			await(t, func() bool { return len(f.inFlight.oldestFirst()) == 1 })
			now := time.Now()
			f.BeginShutdown(now, now.Add(test.lastAnswer))
			_, err = io.WriteString(c, test.rest)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.StatusCode, test.wantStatus)
			is.True(response.Close) // Connection: close
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			if test.wantStatus != http.StatusOK {
				is.Equal(backend.requests.Load(), int64(0))
			}
		})
	}
}

// TestHalfReadHopIsHandedBackBeforeExit guards against a request of another instance that ends as unknown, because its body has not
// arrived when its dispatcher exits.
func TestHalfReadHopIsHandedBackBeforeExit(t *testing.T) {
	is := is.New(t)
	backend := startScriptedServer(t, answerOK)
	f := newForwarder(t, backend)
	server := httptest.NewServer(http.HandlerFunc(f.ServeHop))
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	now := time.Now()
	req := &clientRequest{
		pool: resolver.ServerPool{Service: "keyed", Server: "k", Domain: "d"}, route: "keyonce", keyed: true, key: 5,
		objective: now.Add(time.Minute), deadline: now.Add(time.Minute), ownerMapVersion: f.View().Owners.Version(),
	}
	_, err = io.WriteString(c, "POST /keyonce/x HTTP/1.1\r\nHost: h\r\n"+HeaderHop+": "+req.encodeHop(now)+"\r\nContent-Length: 8\r\n\r\nhalf")
	is.NoErr(err)
	await(t, func() bool { return f.hops.Load() == 1 })
	now = time.Now()
	f.BeginShutdown(now, now.Add(100*time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer response.Body.Close()
	var got result
	is.NoErr(got.decode(response.Header.Get(headerOutcome)))
	is.True(got.declined())
	is.Equal(backend.requests.Load(), int64(0))
}

// TestStalledBodyAtItsDeadlineDuringShutdown guards against a client that is told that its body was too slow, and not to come back, by
// an instance that stops while it reads it.
func TestStalledBodyAtItsDeadlineDuringShutdown(t *testing.T) {
	is := is.New(t)
	backend := startScriptedServer(t, answerOK)
	f := newForwarderWithTimeout(t, backend, 300*time.Millisecond)
	server := httptest.NewServer(f)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(c, "POST /keyonce/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: 5\r\nContent-Length: 8\r\n\r\nhalf")
	is.NoErr(err)
	await(t, func() bool { return len(f.inFlight.oldestFirst()) == 1 })
	now := time.Now()
	f.BeginShutdown(now, now.Add(time.Minute))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(backend.requests.Load(), int64(0))
}
