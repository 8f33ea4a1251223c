package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessServer answers each request with a beginning, and then sends bytes without end until the connection is closed.
type endlessServer struct {
	beginning, repeated string
	sent                atomic.Int64 // bytes that the server could write
	closed              chan struct{}
}

// startEndlessServer starts an endlessServer and returns it with its address.
func startEndlessServer(t *testing.T, beginning, repeated string) (*endlessServer, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &endlessServer{beginning: beginning, repeated: strings.Repeat(repeated, 1<<10), closed: make(chan struct{}, 64)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, listener.Addr().String()
}

func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, s.beginning)
	for err == nil {
		var n int
		n, err = io.WriteString(conn, s.repeated)
		s.sent.Add(int64(n))
	}
	s.closed <- struct{}{}
}

// socketBytes is more than the sockets of both sides hold.
const socketBytes = 24 << 20

// TestAnswersWithoutEnd guards against memory and time that a server takes by sending bytes that are no answer until the
// caller closes the connection: the connection is closed, the client is told at once, and never that it has an answer.
func TestAnswersWithoutEnd(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\n"
	tests := map[string]struct {
		beginning, repeated string
		wantOnce            int   // status for a request that must not be repeated
		maxBytes            int64 // that are read of one answer
	}{
		"no HTTP":         {repeated: "noise", wantOnce: 502, maxBytes: 1 << 20},
		"status line":     {beginning: "HTTP/1.1 200 ", repeated: "OK", wantOnce: 502, maxBytes: 1 << 20},
		"header":          {beginning: header, repeated: "X-More: 1\r\n", wantOnce: 502, maxBytes: 1 << 20},
		"header value":    {beginning: header + "X-Long: ", repeated: "a", wantOnce: 502, maxBytes: 1 << 20},
		"interim answers": {repeated: "HTTP/1.1 103 Early Hints\r\n\r\n", wantOnce: 502, maxBytes: 1 << 20},
		"body of unknown length": {
			beginning: header + "\r\n", repeated: "a", wantOnce: 502, maxBytes: maxBodyBytes,
		},
		"body as announced": {
			beginning: header + "Content-Length: 99999999999\r\n\r\n", repeated: "a", wantOnce: 502, maxBytes: maxBodyBytes,
		},
		"chunks": {
			beginning: header + "Transfer-Encoding: chunked\r\n\r\n", repeated: "1000\r\n" + strings.Repeat("a", 4096) + "\r\n", wantOnce: 502,
			maxBytes: maxWireBytes,
		},
		"chunk extension": {
			beginning: header + "Transfer-Encoding: chunked\r\n\r\n1;", repeated: "a", wantOnce: 502, maxBytes: 1 << 20,
		},
		"trailer": {
			beginning: header + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "X-More: 1\r\n", wantOnce: 502,
			maxBytes: 1 << 20,
		},
		"after a whole answer": {
			beginning: header + "Content-Length: 2\r\n\r\nhi", repeated: "a", wantOnce: 200, maxBytes: 1 << 20,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, address := startEndlessServer(t, test.beginning, test.repeated)
			// The bounds of the answer end the request, not its deadline.
			f := newForwarderWithTimeout(t, &scriptedServer{address: address}, time.Minute)
			is.Equal(sendRequestWithTimeLeft(f, time.Minute, "POST", "/once/x", "", "").Code, test.wantOnce)
			if test.wantOnce != 200 {
				<-s.closed // the connection is not kept
			}
			is.True(s.sent.Load() <= test.maxBytes+socketBytes)
			is.Equal(f.memory.held(), int64(0))
		})
	}
}

// TestBuffersOfAnswersAreLimitedTogether guards against an instance that runs out of memory because many servers send long
// answers at the same time.
func TestBuffersOfAnswersAreLimitedTogether(t *testing.T) {
	is := is.New(t)
	long := "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("a", 100000)
	f := newForwarder(t, startScriptedServer(t, long))
	is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, 200)
	f.LimitBuffers(50000)
	is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, 502)
	is.Equal(f.memory.held(), int64(0))
}
