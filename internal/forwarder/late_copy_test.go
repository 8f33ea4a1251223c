package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// repeatingServer is a backend server that answers each request with the next of its answers, and repeats the last one. Before it
// answers on a connection that was used before, it writes the previous answer on that connection once more.
type repeatingServer struct {
	answers              []string
	requests, executions atomic.Int64
}

// start starts the server and returns it as a scriptedServer, of which only the address is used.
func (s *repeatingServer) start(t *testing.T) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return &scriptedServer{address: listener.Addr().String()}
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	previous := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := s.answers[min(int(s.requests.Add(1)), len(s.answers))-1]
		if !strings.Contains(answer, "X-Not-Executed") {
			s.executions.Add(1)
		}
		_, _ = io.WriteString(conn, previous+answer)
		previous = answer
	}
}

// TestLateCopyOfARejectionIsNoAnswerToTheNextAttempt guards against a request that is executed twice, or whose client is told that
// it was not executed, because a late copy of the rejection of its first attempt counts as the answer to the second.
func TestLateCopyOfARejectionIsNoAnswerToTheNextAttempt(t *testing.T) {
	tests := map[string]struct{ path, key string }{
		"keyed service":                    {path: "/keyonce/x", key: "5"},
		"service without keys":             {path: "/once/x"},
		"keyed service, idempotent":        {path: "/key/x", key: "5"},
		"service without keys, idempotent": {path: "/idempotent/x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := repeatingServer{answers: []string{answerNotExecuted, answerOK}}
			f := newForwarder(t, server.start(t))
			w := sendRequest(f, "POST", test.path, test.key, "")
			is.Equal(w.Code, 200)
			is.Equal(w.Body.String(), "hi")
			is.Equal(server.requests.Load(), int64(2)) // one was rejected
			is.Equal(server.executions.Load(), int64(1))
		})
	}
}

// TestLateCopyOfARejectionAcrossHops guards against the same when each attempt comes as a new request from another instance.
func TestLateCopyOfARejectionAcrossHops(t *testing.T) {
	is := is.New(t)
	server := repeatingServer{answers: []string{answerNotExecuted, answerOK}}
	f := newForwarder(t, server.start(t))
	for _, want := range []outcome{rejected, answered} {
		now := time.Now()
		req := clientRequest{
			service: "keyed", route: "keyonce", keyed: true, key: 5, objective: now.Add(time.Second), deadline: now.Add(time.Second),
			pool:            resolver.ServerPool{Service: "keyed", Server: "k", Domain: "d"},
			ownerMapVersion: partitioner.Version{Term: 1, Sequence: 1},
		}
		r := httptest.NewRequest(http.MethodPost, "/keyonce/x", nil)
		r.Header.Set("X-Id", "r1")
		r.Header.Set(HeaderHop, req.encodeHop(now))
		w := httptest.NewRecorder()
		f.ServeHop(w, r)
		var got result
		is.NoErr(got.decode(w.Header().Get(headerOutcome)))
		is.Equal(got.outcome, want)
	}
}

// TestLateCopyOfAnAnswerWithoutAnID guards against a late copy of the answer to another request without an id that counts as the
// answer to this one.
func TestLateCopyOfAnAnswerWithoutAnID(t *testing.T) {
	is := is.New(t)
	const withoutID = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\n"
	server := repeatingServer{answers: []string{withoutID + "a1", withoutID + "a2"}}
	f := newForwarder(t, server.start(t))
	for _, want := range []string{"a1", "a2"} {
		r := httptest.NewRequest(http.MethodPost, "/once/x", nil)
		r.Host = "h"
		w := httptest.NewRecorder()
		f.ServeHTTP(w, r)
		is.Equal(w.Code, 200)
		is.Equal(w.Body.String(), want)
	}
}
